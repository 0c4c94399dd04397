//! Disks that lose power, fill up, fail and are slow under the replicas.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use consensus::WriteError;
use store::faults::{FaultyDisk, UnsyncedWrites};
use store::Store;
use support::{Group, Note};

/// A group on disks in memory.
struct Disks {
    group: Group,
    disks: BTreeMap<u64, Arc<Mutex<FaultyDisk>>>,
}

impl Disks {
    fn started() -> Self {
        let mut group = Group::new(3, |config| {
            config.write_ms = 1000;
            config.snapshot_after = 30;
            config.retained_entries = 5;
        });
        let mut disks = BTreeMap::new();
        for (id, place) in &mut group.places {
            let disk = Arc::new(Mutex::new(FaultyDisk::new()));
            let current = Arc::clone(&disk);
            place.disk = Arc::new(move |owner| {
                let disk = current.lock().expect("no test panics with it").clone();
                Store::open_on(disk, owner).expect("the store opens")
            });
            place.start().expect("it starts");
            disks.insert(*id, disk);
        }
        Self { group, disks }
    }

    fn disk(&self, id: u64) -> FaultyDisk {
        self.disks[&id].lock().expect("no test panics with it").clone()
    }

    /// The power of these replicas goes at one moment; they are left with what a crash keeps.
    fn lose_power(&self, ids: &[u64], seed: u64) {
        for id in ids {
            self.disk(*id).power_off();
        }
        for id in ids {
            self.group.place(*id).kill();
            let kept = match seed % 4 {
                0 => UnsyncedWrites::Lost,
                1 => UnsyncedWrites::Kept,
                2 => UnsyncedWrites::PrefixKept { seed: seed + id },
                _ => UnsyncedWrites::SubsetKept { seed: seed + id },
            };
            let left = self.disk(*id).after_crash(kept);
            *self.disks[id].lock().expect("no test panics with it") = left;
        }
    }
}

/// The power of all goes in the middle of writes, again and again: what was acknowledged is there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_was_acknowledged_outlives_the_power() {
    let disks = Arc::new(Disks::started());
    let mut acknowledged = vec![disks.group.write().await];
    for seed in 0..8 {
        let writers: Vec<_> = (0..4)
            .map(|_| {
                let disks = Arc::clone(&disks);
                tokio::spawn(async move {
                    let mut done = Vec::new();
                    let until = Instant::now() + Duration::from_secs(20);
                    while Instant::now() < until {
                        let number = disks.group.number();
                        let mut running = false;
                        for place in disks.group.places.values() {
                            let written = place.write(number).await;
                            running |= written.is_some();
                            if let Some(Ok((version, _))) = written {
                                done.push((number, version));
                                break;
                            }
                        }
                        if !running {
                            break;
                        }
                    }
                    done
                })
            })
            .collect();
        for _ in 0..15 {
            acknowledged.push(disks.group.write().await);
        }
        let dark = Arc::clone(&disks);
        tokio::task::spawn_blocking(move || dark.lose_power(&[1, 2, 3], seed)).await.expect("they end");
        for writer in writers {
            acknowledged.extend(writer.await.expect("no writer panics"));
        }
        for place in disks.group.places.values() {
            place.start().expect("it starts again");
        }
    }
    assert!(acknowledged.len() > 100, "{}", acknowledged.len());
    disks.group.agree(&acknowledged).await;
}

/// A leader whose disk is full stands aside, says so, and goes on by itself once there is room; so does a follower.
#[tokio::test]
async fn a_full_disk_stands_aside() {
    let disks = Disks::started();
    let group = &disks.group;
    let mut acknowledged = vec![group.write().await];
    for leads in [true, false] {
        let mut leader = group.leader().await;
        let full = if leads { leader } else { leader % 3 + 1 };
        disks.disk(full).set_capacity(Some(0));
        // What was written before has room; something large has not.
        let replica = group.place(full).replica().expect("it runs");
        let end = Instant::now() + support::PATIENCE;
        while replica.status().stall_reason.is_none() {
            assert!(Instant::now() < end, "its disk does not fill up: {:?}", replica.status());
            let note = Note { number: group.number(), bytes: "x".repeat(100 << 10) };
            let number = note.number;
            match group
                .place(leader)
                .call(|replica| async move { replica.write(note).await })
                .await
                .expect("it runs")
            {
                Ok((version, _)) => acknowledged.push((number, version)),
                // Another was elected, as this one is full or the machine is busy.
                Err(WriteError::NotLeader { .. }) => leader = group.leader().await,
                Err(e) => assert!(matches!(e, WriteError::Unavailable { .. }), "{e:?}"),
            }
        }
        let why = replica.status().stall_reason;
        assert!(why.as_ref().is_some_and(|why| why.contains("full")), "{why:?}");
        let mut leading = group.place(full).replica().expect("it runs").watch_leadership();
        let aside = tokio::time::timeout(support::PATIENCE, leading.wait_for(|leading| !leading.is_local))
            .await
            .is_ok();
        assert!(aside, "it says that it leads");
        for _ in 0..5 {
            acknowledged.push(group.write().await);
        }
        assert_ne!(group.leader().await, full);
        disks.disk(full).set_capacity(None);
        group.status(full, |status| status.stall_reason.is_none()).await;
        group.applied(full, acknowledged.last().expect("some").1).await;
    }
    group.agree(&acknowledged).await;
}

/// A leader whose disk fails acknowledges nothing more, ends with one line, and comes back with all it had.
#[tokio::test]
async fn a_failed_disk_ends_the_replica() {
    let disks = Disks::started();
    let group = &disks.group;
    let mut acknowledged = vec![group.write().await];
    let leader = group.leader().await;
    let replica = group.place(leader).replica().expect("it runs");
    disks.disk(leader).power_off();
    let written = group.place(leader).write(group.number()).await.expect("it runs");
    // One that has just lost the lead meets its disk with the next leader's entry.
    assert!(matches!(written, Err(WriteError::Fatal(_) | WriteError::NotLeader { .. })), "{written:?}");
    acknowledged.push(group.write().await);
    let failure = tokio::time::timeout(support::PATIENCE, replica.fatal_error()).await.expect("it ends");
    let line = format!("{failure}: {}", failure.advice);
    assert!(line.starts_with("the replica can't go on: the disk") && !line.contains('\n'), "{line}");
    assert!(!replica.watch_leadership().borrow().is_local);
    assert_eq!(replica.status().role, "stopped");
    drop(replica);
    disks.lose_power(&[leader], 0);
    group.place(leader).start().expect("it starts again");
    group.agree(&acknowledged).await;
}

/// Disks that take longer than a heartbeat delay writes and do not stop them.
#[tokio::test]
async fn slow_disks_do_not_stop_the_group() {
    let disks = Disks::started();
    let mut acknowledged = vec![disks.group.write().await];
    for id in [1, 2, 3] {
        disks.disk(id).set_sync_delay(Duration::from_millis(60));
    }
    for _ in 0..5 {
        acknowledged.push(disks.group.write().await);
    }
    for id in [1, 2, 3] {
        disks.disk(id).set_sync_delay(Duration::ZERO);
    }
    disks.group.agree(&acknowledged).await;
}
