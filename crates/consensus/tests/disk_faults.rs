//! Replicas on disks that lose power, fill up, fail or are slow.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use consensus::WriteError;
use store::faults::{FaultyDisk, UnsyncedWrites};
use store::Store;
use support::{Group, TestCommand};

/// A group on in-memory disks.
struct FaultyGroup {
    group: Group,
    disks: BTreeMap<u64, Arc<Mutex<FaultyDisk>>>,
}

impl FaultyGroup {
    fn started() -> Self {
        let mut group = Group::new(3, |config| {
            config.write_ms = 1000;
            config.snapshot_after = 30;
            config.retained_entries = 5;
        });
        let mut disks = BTreeMap::new();
        for (id, slot) in &mut group.slots {
            let disk = Arc::new(Mutex::new(FaultyDisk::new()));
            let current = Arc::clone(&disk);
            slot.open_store = Arc::new(move |owner| {
                let disk = current.lock().expect("the lock is poisoned").clone();
                Store::open_on(disk, owner).expect("the store was not opened")
            });
            slot.start().expect("the replica did not start");
            disks.insert(*id, disk);
        }
        Self { group, disks }
    }

    fn disk(&self, id: u64) -> FaultyDisk {
        self.disks[&id].lock().expect("the lock is poisoned").clone()
    }

    /// Cuts the power of these replicas at the same moment; their disks are left as a crash leaves them.
    fn lose_power(&self, ids: &[u64], seed: u64) {
        for id in ids {
            self.disk(*id).power_off();
        }
        for id in ids {
            self.group.slot(*id).kill();
            let unsynced_writes = match seed % 4 {
                0 => UnsyncedWrites::Lost,
                1 => UnsyncedWrites::Kept,
                2 => UnsyncedWrites::PrefixKept { seed: seed + id },
                _ => UnsyncedWrites::SubsetKept { seed: seed + id },
            };
            let after_crash = self.disk(*id).after_crash(unsynced_writes);
            *self.disks[id].lock().expect("the lock is poisoned") = after_crash;
        }
    }
}

/// All replicas lose power in the middle of writes, repeatedly, and keep everything that was acknowledged.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn acknowledged_writes_survive_power_failures() {
    let faulty = Arc::new(FaultyGroup::started());
    let mut acknowledged = vec![faulty.group.write().await];
    for seed in 0..8 {
        let writers: Vec<_> = (0..4)
            .map(|_| {
                let faulty = Arc::clone(&faulty);
                tokio::spawn(async move {
                    let mut written = Vec::new();
                    let deadline = Instant::now() + Duration::from_secs(20);
                    while Instant::now() < deadline {
                        let number = faulty.group.next_number();
                        let mut running = false;
                        for slot in faulty.group.slots.values() {
                            let result = slot.write(number).await;
                            running |= result.is_some();
                            if let Some(Ok((version, _))) = result {
                                written.push((number, version));
                                break;
                            }
                        }
                        if !running {
                            break;
                        }
                    }
                    written
                })
            })
            .collect();
        for _ in 0..15 {
            acknowledged.push(faulty.group.write().await);
        }
        let powered_off = Arc::clone(&faulty);
        tokio::task::spawn_blocking(move || powered_off.lose_power(&[1, 2, 3], seed))
            .await
            .expect("the replicas did not end");
        for writer in writers {
            acknowledged.extend(writer.await.expect("a writer panicked"));
        }
        for slot in faulty.group.slots.values() {
            slot.start().expect("the replica did not start again");
        }
    }
    assert!(acknowledged.len() > 100, "{}", acknowledged.len());
    faulty.group.assert_agreement(&acknowledged).await;
}

/// A leader whose disk is full stops leading, reports the reason, and continues by itself once there is space; so does a
/// follower.
#[tokio::test]
async fn a_replica_with_a_full_disk_stops_leading_until_there_is_space() {
    let faulty = FaultyGroup::started();
    let group = &faulty.group;
    let mut acknowledged = vec![group.write().await];
    for fill_leader in [true, false] {
        let mut leader = group.leader().await;
        let full = if fill_leader { leader } else { leader % 3 + 1 };
        faulty.disk(full).set_capacity(Some(0));
        // Small writes still fit into allocated blocks; large ones do not.
        let replica = group.slot(full).replica().expect("the replica is not running");
        let deadline = Instant::now() + support::TEST_TIMEOUT;
        while replica.status().stall_reason.is_none() {
            assert!(Instant::now() < deadline, "its disk does not fill up: {:?}", replica.status());
            let command = TestCommand { number: group.next_number(), bytes: "x".repeat(100 << 10) };
            let number = command.number;
            match group
                .slot(leader)
                .call(|replica| async move { replica.write(command).await })
                .await
                .expect("the replica is not running")
            {
                Ok((version, _)) => acknowledged.push((number, version)),
                // Another was elected, as this one is full or the machine is busy.
                Err(WriteError::NotLeader { .. }) => leader = group.leader().await,
                Err(e) => assert!(matches!(e, WriteError::Unavailable { .. }), "{e:?}"),
            }
        }
        let reason = replica.status().stall_reason;
        assert!(reason.as_ref().is_some_and(|reason| reason.contains("full")), "{reason:?}");
        let mut leadership =
            group.slot(full).replica().expect("the replica is not running").watch_leadership();
        let stopped_leading = tokio::time::timeout(
            support::TEST_TIMEOUT,
            leadership.wait_for(|leadership| !leadership.is_local),
        )
        .await
        .is_ok();
        assert!(stopped_leading, "it reports that it leads");
        for _ in 0..5 {
            acknowledged.push(group.write().await);
        }
        assert_ne!(group.leader().await, full);
        faulty.disk(full).set_capacity(None);
        group.wait_for_status(full, |status| status.stall_reason.is_none()).await;
        group.wait_until_applied(full, acknowledged.last().expect("no write was acknowledged").1).await;
    }
    group.assert_agreement(&acknowledged).await;
}

/// A leader whose disk fails acknowledges nothing more, ends with one line, and keeps its data for the next start.
#[tokio::test]
async fn a_failing_disk_ends_the_replica() {
    let faulty = FaultyGroup::started();
    let group = &faulty.group;
    let mut acknowledged = vec![group.write().await];
    let leader = group.leader().await;
    let replica = group.slot(leader).replica().expect("the replica is not running");
    faulty.disk(leader).power_off();
    let written = group.slot(leader).write(group.next_number()).await.expect("the replica is not running");
    // A replica that has just lost leadership meets the fault with the next leader's entry.
    assert!(matches!(written, Err(WriteError::Fatal(_) | WriteError::NotLeader { .. })), "{written:?}");
    acknowledged.push(group.write().await);
    let error = tokio::time::timeout(support::TEST_TIMEOUT, replica.fatal_error())
        .await
        .expect("the replica did not end");
    let line = format!("{error}: {}", error.advice);
    assert!(line.starts_with("the replica cannot continue: the disk") && !line.contains('\n'), "{line}");
    assert!(!replica.watch_leadership().borrow().is_local);
    assert_eq!(replica.status().role, "stopped");
    drop(replica);
    faulty.lose_power(&[leader], 0);
    group.slot(leader).start().expect("the replica did not start again");
    group.assert_agreement(&acknowledged).await;
}

/// Disks whose syncs take longer than a heartbeat interval delay writes and do not stop them.
#[tokio::test]
async fn slow_disks_do_not_stop_the_group() {
    let faulty = FaultyGroup::started();
    let mut acknowledged = vec![faulty.group.write().await];
    for id in [1, 2, 3] {
        faulty.disk(id).set_sync_delay(Duration::from_millis(60));
    }
    for _ in 0..5 {
        acknowledged.push(faulty.group.write().await);
    }
    for id in [1, 2, 3] {
        faulty.disk(id).set_sync_delay(Duration::ZERO);
    }
    faulty.group.assert_agreement(&acknowledged).await;
}
