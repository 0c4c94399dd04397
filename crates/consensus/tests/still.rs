//! A leader that stood still (stopped as by a signal, or its machine asleep) and goes on later.

mod support;

use std::time::Instant;

use consensus::WriteError;
use support::{Group, Note};

/// It confirms nothing and acknowledges nothing of what it thought to lead, and what was asked of it before and during
/// its sleep ends with an error.
#[tokio::test]
async fn a_leader_that_stood_still_confirms_nothing() {
    let group = Group::started(3, |_| {});
    let mut acknowledged = vec![group.write().await];
    let old = group.leader().await;
    let place = group.place(old);
    let replica = place.replica().expect("it runs");

    let frozen = place.freeze();
    // These wait in its queues; the ones in its listen queue come after them.
    let confirm = tokio::spawn({
        let replica = replica.clone();
        async move { replica.confirm_leadership().await }
    });
    let number = group.number();
    let write = tokio::spawn({
        let replica = replica.clone();
        async move { replica.write(Note { number, bytes: String::new() }).await }
    });
    let others: Vec<u64> = group.places.keys().copied().filter(|id| *id != old).collect();
    acknowledged.push(group.write_at(&others).await);
    assert!(replica.watch_leadership().borrow().is_local, "it does not know yet, or the test shows nothing");
    drop(frozen);

    let confirmed = confirm.await.expect("no panic");
    assert!(confirmed.is_err(), "a leader of the past confirmed");
    let written = write.await.expect("no panic");
    assert!(
        matches!(written, Err(WriteError::Unavailable { .. } | WriteError::NotLeader { .. })),
        "{written:?}"
    );
    let mut leading = replica.watch_leadership();
    let knows =
        tokio::time::timeout(support::PATIENCE, leading.wait_for(|leading| !leading.is_local)).await.is_ok();
    assert!(knows, "it still thinks that it leads");
    group.agree(&acknowledged).await;
    assert!(
        place.book().notes.iter().all(|(_, applied)| *applied != number),
        "a superseded write was applied"
    );
}

/// What a leader decided in its term is void as an entry of any other term, at each replica, also if the same replica
/// leads again.
#[tokio::test]
async fn what_was_decided_in_another_term_is_void() {
    let group = Group::started(3, |_| {});
    let note = |number| Note { number, bytes: String::new() };
    let late = group.number();
    // On a busy machine another may be elected between any two calls.
    let end = Instant::now() + support::PATIENCE;
    let (timely, version) = loop {
        assert!(Instant::now() < end, "no replica leads for two calls");
        let replica = group.place(group.leader().await).replica().expect("it runs");
        let term = replica.watch_leadership().borrow().term;
        // Neither one before it nor one that the group never comes to.
        for other in [term - 1, term + 1_000_000] {
            let written = replica.write_in_term(other, note(late)).await;
            assert!(
                matches!(written, Err(WriteError::NotLeader { .. } | WriteError::Unavailable { .. })),
                "term {other}: {written:?}"
            );
        }
        let timely = group.number();
        if let Ok((version, _)) = replica.write_in_term(term, note(timely)).await {
            break (timely, version);
        }
    };
    group.agree(&[(timely, version)]).await;
    for place in group.places.values() {
        assert!(place.book().notes.iter().all(|(_, number)| *number != late), "a void entry was applied");
    }
}
