//! A leader that is suspended (by a signal, or as its machine sleeps) and continues later.

mod support;

use std::time::Instant;

use consensus::WriteError;
use support::{Group, TestCommand};

/// It confirms nothing and acknowledges nothing as the leader it no longer is, and calls that were made before and during
/// its suspension end with an error.
#[tokio::test]
async fn a_leader_that_was_suspended_confirms_nothing() {
    let group = Group::started(3, |_| {});
    let mut acknowledged = vec![group.write().await];
    let old = group.leader().await;
    let slot = group.slot(old);
    let replica = slot.replica().expect("the replica is not running");

    let suspended = slot.suspend();
    // These wait in its queues; messages in its listen queue come after them.
    let confirm = tokio::spawn({
        let replica = replica.clone();
        async move { replica.confirm_leadership().await }
    });
    let number = group.next_number();
    let write = tokio::spawn({
        let replica = replica.clone();
        async move { replica.write(TestCommand { number, bytes: String::new() }).await }
    });
    let others: Vec<u64> = group.slots.keys().copied().filter(|id| *id != old).collect();
    acknowledged.push(group.write_at(&others).await);
    assert!(replica.watch_leadership().borrow().is_local, "it already knows, so the test would show nothing");
    drop(suspended);

    let confirmed = confirm.await.expect("a thread or task panicked");
    assert!(confirmed.is_err(), "a former leader confirmed its leadership");
    let written = write.await.expect("a thread or task panicked");
    assert!(
        matches!(written, Err(WriteError::Unavailable { .. } | WriteError::NotLeader { .. })),
        "{written:?}"
    );
    let mut leadership = replica.watch_leadership();
    let stepped_down =
        tokio::time::timeout(support::TEST_TIMEOUT, leadership.wait_for(|leadership| !leadership.is_local))
            .await
            .is_ok();
    assert!(stepped_down, "it still considers itself the leader");
    group.assert_agreement(&acknowledged).await;
    assert!(
        slot.state().applied.iter().all(|(_, applied)| *applied != number),
        "a superseded write was applied"
    );
}

/// A command that a leader decided in its term is void in the entry of any other term, at each replica, even if the same
/// replica leads again.
#[tokio::test]
async fn a_command_of_another_term_is_void() {
    let group = Group::started(3, |_| {});
    let command = |number| TestCommand { number, bytes: String::new() };
    let void = group.next_number();
    // On a busy machine another replica may be elected between any two calls.
    let deadline = Instant::now() + support::TEST_TIMEOUT;
    let (valid, version) = loop {
        assert!(Instant::now() < deadline, "no replica leads for two calls");
        let replica = group.slot(group.leader().await).replica().expect("the replica is not running");
        let term = replica.watch_leadership().borrow().term;
        // One term before the current one, and one that the group never reaches.
        for other in [term - 1, term + 1_000_000] {
            let written = replica.write_in_term(other, command(void)).await;
            assert!(
                matches!(written, Err(WriteError::NotLeader { .. } | WriteError::Unavailable { .. })),
                "term {other}: {written:?}"
            );
        }
        let valid = group.next_number();
        if let Ok((version, _)) = replica.write_in_term(term, command(valid)).await {
            break (valid, version);
        }
    };
    group.assert_agreement(&[(valid, version)]).await;
    for slot in group.slots.values() {
        assert!(slot.state().applied.iter().all(|(_, number)| *number != void), "a void entry was applied");
    }
}
