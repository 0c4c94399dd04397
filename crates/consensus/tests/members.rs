//! Replicas replaced one at a time under writes, until none of the first ones is left.

mod support;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use consensus::WriteError;
use support::{free, Group, Place};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replicas_are_replaced_one_at_a_time() {
    let mut group = Group::started(3, |config| {
        config.snapshot_after = 40;
        config.retained_entries = 5;
    });
    let mut config = group.place(1).config.clone();
    for id in 4..=6 {
        (config.id, config.address, config.peers) = (id, free(), BTreeMap::new());
        group.places.insert(id, Place::new(config.clone()));
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
        let place = group.place(new);
        place.start().expect("it starts");
        let address = place.config.address;
        group.at_leader(move |replica| async move { replica.set_peer(new, address).await }).await;
        group.at_leader(move |replica| async move { replica.remove_peer(old).await }).await;
        let ended = Arc::clone(&group);
        tokio::task::spawn_blocking(move || ended.place(old).kill()).await.expect("it ends");
    }
    done.store(true, Ordering::Relaxed);
    let acknowledged = writer.await.expect("the writer ends");
    let status = group
        .status(6, |status| status.replicas.iter().all(|peer| peer.voter) && !status.membership_changing)
        .await;
    assert_eq!(status.replicas.iter().map(|peer| peer.id).collect::<Vec<_>>(), [4, 5, 6], "{status:?}");
    group.agree(&acknowledged).await;

    // They outlive a start of all, as their first start formed nothing.
    for id in 4..=6 {
        group.place(id).kill();
    }
    for id in 4..=6 {
        group.place(id).start().expect("it starts again");
    }
    group.agree(&acknowledged).await;
}

/// A replica that was removed and still runs does not disturb the others.
#[tokio::test]
async fn a_removed_replica_does_not_disturb() {
    let longest = Duration::from_millis(2000);
    let group = Group::started(3, |config| config.election_ms = (1000, 2000));
    let first = group.write().await;
    let leader = group.leader().await;
    let removed = *group.places.keys().find(|id| **id != leader).expect("two others");
    group.at_leader(move |replica| async move { replica.remove_peer(removed).await }).await;
    // On a busy machine they may elect by themselves; who disturbs leaves them no such time in peace.
    let mut acknowledged = vec![first];
    let end = Instant::now() + support::PATIENCE;
    loop {
        let leads = |status: consensus::Status| (status.role == "leader").then_some(status.term);
        let replica = group.place(group.leader().await).replica().expect("it runs");
        let (term, begun) = (leads(replica.status()), Instant::now());
        while begun.elapsed() < 2 * longest {
            acknowledged.push(group.write().await);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if term.is_some() && leads(replica.status()) == term {
            break;
        }
        assert!(Instant::now() < end, "leaders don't last: {:?}", replica.status());
    }
    group.place(removed).kill();
    group.agree(&acknowledged).await;
}

/// A replica that nobody answers for is a learner and does not count; the call ends and the group goes on.
#[tokio::test]
async fn a_replica_that_is_not_there_is_not_made_to_count() {
    let group = Group::started(1, |config| config.catch_up_ms = 300);
    let first = group.write().await;
    let address = free();
    let added = group.place(1).call(move |replica| async move { replica.set_peer(2, address).await }).await;
    assert!(matches!(added, Some(Err(WriteError::Unavailable { .. }))), "{added:?}");
    let status = group.status(1, |status| status.replicas.len() == 2).await;
    assert!(!status.replicas[1].voter, "{status:?}");
    let last = group.place(1).call(|replica| async move { replica.remove_peer(1).await }).await;
    assert!(matches!(last, Some(Err(WriteError::InvalidChange { .. }))), "{last:?}");
    group.at_leader(|replica| async move { replica.remove_peer(2).await }).await;
    group.agree(&[first]).await;
}
