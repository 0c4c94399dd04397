//! Replicas are replaced one at a time under writes, until none of the first ones is left.

mod support;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use consensus::WriteError;
use support::{free_address, Group, ReplicaSlot};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replicas_are_replaced_one_at_a_time() {
    let mut group = Group::started(3, |config| {
        config.snapshot_after = 40;
        config.retained_entries = 5;
    });
    let mut config = group.slot(1).config.clone();
    for id in 4..=6 {
        (config.id, config.address, config.peers) = (id, free_address(), BTreeMap::new());
        group.slots.insert(id, ReplicaSlot::new(config.clone()));
    }
    let group = Arc::new(group);
    let done = Arc::new(AtomicBool::new(false));
    let writer = tokio::spawn({
        let (group, done) = (Arc::clone(&group), Arc::clone(&done));
        async move {
            let mut acknowledged = Vec::new();
            while !done.load(Ordering::Relaxed) {
                acknowledged.push(group.write().await);
            }
            acknowledged
        }
    });
    for new in 4..=6 {
        let old = new - 3;
        let slot = group.slot(new);
        slot.start().expect("the replica did not start");
        let address = slot.config.address;
        group.at_leader(move |replica| async move { replica.set_peer(new, address).await }).await;
        group.at_leader(move |replica| async move { replica.remove_peer(old).await }).await;
        let ended = Arc::clone(&group);
        tokio::task::spawn_blocking(move || ended.slot(old).kill()).await.expect("the replica did not end");
    }
    done.store(true, Ordering::Relaxed);
    let acknowledged = writer.await.expect("the writer panicked");
    let status = group
        .wait_for_status(6, |status| {
            status.replicas.iter().all(|peer| peer.voter) && !status.membership_changing
        })
        .await;
    assert_eq!(status.replicas.iter().map(|peer| peer.id).collect::<Vec<_>>(), [4, 5, 6], "{status:?}");
    group.assert_agreement(&acknowledged).await;

    // They survive a restart of all, although their own first start formed no group.
    for id in 4..=6 {
        group.slot(id).kill();
    }
    for id in 4..=6 {
        group.slot(id).start().expect("the replica did not start again");
    }
    group.assert_agreement(&acknowledged).await;
}

/// A replica that was removed and still runs does not cause elections.
#[tokio::test]
async fn a_removed_replica_does_not_disrupt_the_group() {
    let max_election_timeout = Duration::from_millis(2000);
    let group = Group::started(3, |config| config.election_ms = (1000, 2000));
    let first = group.write().await;
    let leader = group.leader().await;
    let removed = *group.slots.keys().find(|id| **id != leader).expect("there is no other replica");
    group.at_leader(move |replica| async move { replica.remove_peer(removed).await }).await;
    // On a busy machine the others may hold elections of their own; a replica that disrupts them never leaves them this
    // long without one.
    let mut acknowledged = vec![first];
    let deadline = Instant::now() + support::TEST_TIMEOUT;
    loop {
        let led_term = |status: consensus::Status| (status.role == "leader").then_some(status.term);
        let replica = group.slot(group.leader().await).replica().expect("the replica is not running");
        let (term, started) = (led_term(replica.status()), Instant::now());
        while started.elapsed() < 2 * max_election_timeout {
            acknowledged.push(group.write().await);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if term.is_some() && led_term(replica.status()) == term {
            break;
        }
        assert!(Instant::now() < deadline, "leaders do not last: {:?}", replica.status());
    }
    group.slot(removed).kill();
    group.assert_agreement(&acknowledged).await;
}

/// A replica that does not respond stays a learner and does not vote; the call ends and the group continues.
#[tokio::test]
async fn an_unreachable_replica_does_not_become_a_voter() {
    let group = Group::started(1, |config| config.catch_up_ms = 300);
    let first = group.write().await;
    let address = free_address();
    let added = group.slot(1).call(move |replica| async move { replica.set_peer(2, address).await }).await;
    assert!(matches!(added, Some(Err(WriteError::Unavailable { .. }))), "{added:?}");
    let status = group.wait_for_status(1, |status| status.replicas.len() == 2).await;
    assert!(!status.replicas[1].voter, "{status:?}");
    let last = group.slot(1).call(|replica| async move { replica.remove_peer(1).await }).await;
    assert!(matches!(last, Some(Err(WriteError::InvalidChange { .. }))), "{last:?}");
    group.at_leader(|replica| async move { replica.remove_peer(2).await }).await;
    group.assert_agreement(&[first]).await;
}
