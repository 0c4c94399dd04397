//! The rules by which a node admits requests, one test each.

use member::*;
use serde_json::json;

fn policy(open_cap: u64) -> Policy {
    Policy(json!({"Limits": {"OpenCap": open_cap}}).as_object().expect("a JSON object").clone())
}

fn member(start_mode: StartMode, saved: Option<SavedEpoch>) -> Member {
    let process = Process { name: "n1".to_owned(), boot: 7 };
    let liveness_addr = "127.0.0.1:9".parse().expect("a valid address");
    Member::new(
        MemberConfig { process, liveness_addr, coexists_with_previous: false, start_mode },
        saved,
        0.0,
    )
}

/// The agreed state at a version: an epoch (its policy contains the epoch's number) and possibly a pending change.
fn agreed(version: u64, epoch: Epoch, change: Option<(u64, Epoch)>) -> AgreedState {
    let change = change.map(|(id, epoch)| Change { id: ChangeId(id), epoch, policy: policy(epoch) });
    AgreedState {
        version,
        fingerprint: epoch,
        epoch,
        policy: policy(epoch),
        change,
        ended_changes: Vec::new(),
    }
}

fn reply(leader_time: Millis, agreed: AgreedState) -> HeartbeatReply {
    HeartbeatReply {
        stamp: Stamp { term: 1, time: leader_time },
        update: AgreedUpdate::Changed(agreed),
        heartbeat_interval_ms: 250.0,
        lease_ms: None,
        fenced: false,
        promise_ms: 2000.0,
        superseded: false,
        queried_servers: Vec::new(),
        verdicts: None,
    }
}

fn reply_with_lease(leader_time: Millis, agreed: AgreedState) -> HeartbeatReply {
    HeartbeatReply { lease_ms: Some(2000.0), fenced: true, ..reply(leader_time, agreed) }
}

fn activated_epochs(effects: &[Effect]) -> Vec<Epoch> {
    let epoch = |effect: &Effect| match effect {
        Effect::Activate { epoch, .. } => Some(*epoch),
        _ => None,
    };
    effects.iter().filter_map(epoch).collect()
}

/// A member that has staged change 9 (epoch 4 to 5) at 1000.
fn staged() -> Member {
    let mut member = member(StartMode::Wait, None);
    member.heartbeat(0.0);
    member.on_reply(0.0, reply(0.0, agreed(8, 4, None)), 10.0);
    let effects = member.on_agreed_state(agreed(9, 4, Some((9, 5))), 900.0);
    assert!(matches!(&effects[..], [Effect::Check(change)] if change.id == ChangeId(9)), "{effects:?}");
    assert_eq!(member.on_check_result(ChangeId(9), Ok(()), 1000.0), [Effect::SendHeartbeat]);
    member
}

#[test]
fn nothing_is_admitted_before_a_leader_has_answered() {
    let mut member = member(StartMode::Wait, None);
    assert!(
        member.on_agreed_state(agreed(8, 4, None), 5.0).is_empty(),
        "a watch does not replace the first reply"
    );
    assert_eq!(member.admit(5.0), Err(AdmissionError::NoEpoch));
    member.heartbeat(6.0);
    let effects = member.on_reply(6.0, reply(100.0, agreed(8, 4, None)), 9.0);
    assert_eq!(activated_epochs(&effects), [4]);
    assert_eq!(member.admit(9.0), Ok(4));
}

#[test]
fn a_promise_runs_from_the_check_and_stops_admission_at_its_end() {
    let mut member = staged();
    assert_eq!(member.admit(2999.0), Ok(4));
    assert_eq!(member.admit(3000.0), Err(AdmissionError::InDoubt));
    let stage_reply = member.heartbeat(1500.0).stage_reply;
    assert_eq!(stage_reply, Some(StageReply::Staged { change: ChangeId(9), remaining_ms: 1500.0 }));
}

#[test]
fn only_a_reply_extends_a_promise_counted_from_the_heartbeats_sending() {
    let mut member = staged();
    member.heartbeat(1500.0);
    member.on_agreed_state(agreed(9, 4, Some((9, 5))), 1600.0);
    assert_eq!(member.admit(3000.0), Err(AdmissionError::InDoubt), "a watch does not extend it");
    member.on_reply(1500.0, reply(5.0, agreed(9, 4, Some((9, 5)))), 2900.0);
    assert_eq!(member.admit(3499.0), Ok(4));
    assert_eq!(member.admit(3500.0), Err(AdmissionError::InDoubt));
}

#[test]
fn a_watch_ends_the_doubt_after_a_commit_or_an_abort() {
    let mut committed = staged();
    let effects = committed.on_agreed_state(agreed(12, 5, None), 4000.0);
    assert_eq!(activated_epochs(&effects), [5]);
    assert!(!effects.contains(&Effect::Discard(ChangeId(9))));
    assert_eq!(committed.admit(4000.0), Ok(5));
    let mut aborted = staged();
    assert_eq!(aborted.on_agreed_state(agreed(12, 4, None), 4000.0), [Effect::Discard(ChangeId(9))]);
    assert_eq!(aborted.admit(4000.0), Ok(4));
}

#[test]
fn a_newer_pending_change_ends_the_previous_one() {
    let mut member = staged();
    let effects = member.on_agreed_state(agreed(14, 4, Some((13, 6))), 4000.0);
    assert!(matches!(&effects[..], [Effect::Discard(ChangeId(9)), Effect::Check(next)] if next.epoch == 6));
    assert_eq!(member.admit(4000.0), Ok(4), "the doubt is resolved, and nothing new is promised yet");
    assert!(
        member.on_check_result(ChangeId(9), Ok(()), 4100.0).is_empty(),
        "the result of a late check is ignored"
    );
}

#[test]
fn an_older_state_changes_nothing() {
    let mut member = staged();
    member.on_agreed_state(agreed(12, 5, None), 1100.0);
    assert!(member.on_agreed_state(agreed(9, 4, Some((9, 5))), 1200.0).is_empty());
    member.heartbeat(1250.0);
    assert_eq!(
        activated_epochs(&member.on_reply(1200.0, reply(7.0, agreed(11, 4, None)), 1300.0)),
        [] as [u64; 0]
    );
    assert_eq!(member.admit(9000.0), Ok(5));
}

#[test]
fn a_lease_runs_from_the_heartbeats_sending_and_for_the_agreed_epoch_only() {
    let mut member = member(StartMode::Wait, None);
    member.heartbeat(100.0);
    member.on_reply(100.0, reply_with_lease(0.0, agreed(8, 4, None)), 900.0);
    assert_eq!(member.admit(2099.0), Ok(4));
    assert_eq!(member.admit(2100.0), Err(AdmissionError::NoLease));
    member.on_agreed_state(agreed(9, 5, None), 2200.0);
    member.heartbeat(2300.0);
    member.on_reply(2300.0, reply_with_lease(1.0, agreed(8, 4, None)), 2400.0);
    assert_eq!(
        member.admit(2400.0),
        Err(AdmissionError::NoLease),
        "a reply with an older epoch grants nothing"
    );
    member.heartbeat(2500.0);
    member.on_reply(
        2500.0,
        HeartbeatReply { lease_ms: None, ..reply_with_lease(2.0, agreed(9, 5, None)) },
        2600.0,
    );
    assert_eq!(member.admit(2600.0), Err(AdmissionError::NoLease));
    member.heartbeat(2700.0);
    member.on_reply(2700.0, reply_with_lease(3.0, agreed(9, 5, None)), 2800.0);
    assert_eq!(member.admit(2800.0), Ok(5));
}

#[test]
fn a_node_that_cannot_apply_a_change_gives_the_reason_in_one_line() {
    let mut member = member(StartMode::Wait, None);
    member.heartbeat(0.0);
    member.on_reply(0.0, reply(0.0, agreed(9, 4, Some((9, 5)))), 10.0);
    member.on_check_result(ChangeId(9), Err(format!("no class \"gold\"{}\nmore", "é".repeat(200))), 20.0);
    let Some(StageReply::Refused { change: ChangeId(9), reason }) = member.heartbeat(20.0).stage_reply else {
        panic!("refused")
    };
    assert!(reason.starts_with("no class \"gold\"") && reason.len() <= 256 && !reason.contains('\n'));
    assert_eq!(member.admit(9000.0), Ok(4), "no promise was made");
}

#[test]
fn the_saved_epoch_serves_only_while_no_leader_answers() {
    let start_mode = StartMode::UseSaved { after_ms: 1000.0 };
    let saved = SavedEpoch { epoch: 6, policy: policy(6), fenced: false };
    let mut member = member(start_mode, Some(saved.clone()));
    assert_eq!((member.timer_due_at(), member.on_timer(999.0)), (Some(1000.0), Vec::new()));
    assert_eq!(member.admit(999.0), Err(AdmissionError::NoEpoch));
    assert_eq!(activated_epochs(&member.on_timer(1000.0)), [6]);
    assert_eq!(member.admit(1000.0), Ok(6));
    assert_eq!(
        activated_epochs(&member.on_agreed_state(agreed(30, 7, None), 1100.0)),
        [7],
        "a watch moves it forward"
    );
    member.heartbeat(1200.0);
    assert_eq!(activated_epochs(&member.on_reply(1200.0, reply(0.0, agreed(40, 8, None)), 1300.0)), [8]);

    let fenced = self::member(start_mode, Some(SavedEpoch { fenced: true, ..saved }));
    assert_eq!(fenced.timer_due_at(), None, "a node of a fenced fleet waits for its lease");
}

#[test]
fn a_group_restored_from_an_old_backup_does_not_lower_a_nodes_epoch() {
    let saved = SavedEpoch { epoch: 6, policy: policy(6), fenced: false };
    let mut member = member(StartMode::UseSaved { after_ms: 0.0 }, Some(saved));
    member.on_timer(0.0);
    member.heartbeat(1.0);
    let effects = member.on_reply(1.0, reply(0.0, agreed(3, 2, None)), 2.0);
    assert!(
        matches!(&effects[..], [Effect::NotifyOperator(message)] if message.contains("older")),
        "{effects:?}"
    );
    assert_eq!(member.admit(2.0), Ok(6));
    assert_eq!(member.heartbeat(3.0).active_epoch, Some(6), "the heartbeat names it");
    member.on_agreed_state(agreed(4, 2, Some((4, 3))), 4.0);
    assert!(
        matches!(member.heartbeat(5.0).stage_reply, Some(StageReply::Refused { .. })),
        "no epoch is used twice"
    );
    member.on_agreed_state(agreed(9, 7, None), 6.0);
    assert_eq!(member.admit(6.0), Ok(7));
}

#[test]
fn a_group_that_lost_its_log_is_followed_again() {
    let mut member = member(StartMode::Wait, None);
    member.heartbeat(0.0);
    member.on_reply(0.0, reply(0.0, agreed(100, 4, None)), 1.0);
    member.heartbeat(2.0);
    let effects = member.on_reply(2.0, reply(1.0, agreed(50, 4, None)), 3.0);
    assert!(
        matches!(&effects[..], [Effect::NotifyOperator(message)] if message.contains("lost")),
        "{effects:?}"
    );
    assert_eq!(activated_epochs(&member.on_agreed_state(agreed(51, 5, None), 4.0)), [5]);
}

#[test]
fn a_superseded_or_leaving_process_admits_nothing_more() {
    let mut replaced = staged();
    replaced.heartbeat(1100.0);
    let effects = replaced.on_reply(
        1100.0,
        HeartbeatReply { superseded: true, ..reply(0.0, agreed(9, 4, Some((9, 5)))) },
        1200.0,
    );
    assert!(matches!(&effects[..], [Effect::NotifyOperator(_)]));
    assert_eq!(replaced.admit(1200.0), Err(AdmissionError::Superseded));
    assert!(replaced.on_agreed_state(agreed(12, 5, None), 1300.0).is_empty());

    let mut leaving = staged();
    assert_eq!(leaving.leave(1100.0), [Effect::SendHeartbeat]);
    assert!(leaving.heartbeat(1100.0).leaving);
    assert_eq!(leaving.admit(1100.0), Err(AdmissionError::Leaving));
}

#[test]
fn the_newest_stamp_is_echoed() {
    let mut member = staged();
    member.heartbeat(1100.0);
    member.on_reply(
        1100.0,
        HeartbeatReply { stamp: Stamp { term: 2, time: 5.0 }, ..reply(0.0, agreed(9, 4, None)) },
        1200.0,
    );
    member.on_reply(1000.0, reply(900.0, agreed(9, 4, None)), 1300.0);
    assert_eq!(member.heartbeat(1400.0).echoed_stamp, Some(Stamp { term: 2, time: 5.0 }));
}

#[test]
fn a_stage_reply_made_during_a_heartbeat_in_flight_is_sent_right_after_its_reply() {
    let mut member = staged();
    member.heartbeat(1000.0);
    member.on_agreed_state(agreed(12, 4, Some((12, 6))), 1010.0);
    member.on_check_result(ChangeId(12), Ok(()), 1020.0);
    member.on_reply(1000.0, reply(1.0, agreed(12, 4, Some((12, 6)))), 1030.0);
    assert_eq!(member.next_heartbeat_at(), 1030.0);
    member.heartbeat(1030.0);
    member.on_reply(1030.0, reply(2.0, agreed(12, 4, Some((12, 6)))), 1040.0);
    assert_eq!(member.next_heartbeat_at(), 1290.0);
}

#[test]
fn a_reply_to_an_older_heartbeat_does_not_shorten_a_promise() {
    let mut member = staged();
    member.heartbeat(500.0);
    member.on_reply(500.0, reply(5.0, agreed(9, 4, Some((9, 5)))), 1100.0);
    assert_eq!(member.admit(2999.0), Ok(4));
}

#[test]
fn a_reply_with_a_lost_log_neither_ends_nor_extends_a_promise() {
    let mut member = staged();
    member.heartbeat(1500.0);
    let effects = member.on_reply(1500.0, reply(1.0, agreed(5, 4, None)), 1600.0);
    assert!(matches!(&effects[..], [Effect::NotifyOperator(_)]), "{effects:?}");
    assert_eq!(
        member.admit(3000.0),
        Err(AdmissionError::InDoubt),
        "the promise was neither ended nor extended"
    );
}

#[test]
fn an_unchanged_reply_proves_the_state_that_its_heartbeat_named() {
    let mut member = staged();
    let named = member.heartbeat(1500.0).known_state.expect("a state is known");
    let unchanged =
        |id| HeartbeatReply { update: AgreedUpdate::Unchanged(id), ..reply(5.0, agreed(9, 4, None)) };
    member.on_reply(1500.0, unchanged(named), 2900.0);
    assert_eq!(member.admit(3499.0), Ok(4), "the change was pending after that heartbeat was sent");
    assert_eq!(member.admit(3500.0), Err(AdmissionError::InDoubt));
    let named_again = member.heartbeat(3400.0).known_state;
    assert_eq!(named_again, Some(named));
    for other in [
        StateId { version: 8, ..named },
        StateId { version: 10, ..named },
        StateId { fingerprint: 7, ..named },
    ] {
        member.on_reply(3400.0, unchanged(other), 3450.0);
        assert_eq!(
            member.admit(3500.0),
            Err(AdmissionError::InDoubt),
            "{other:?} is not the state that it named"
        );
    }
    // A watch overtakes the reply, which shows the state known before it, and a lease for that epoch.
    member.heartbeat(3600.0);
    member.on_agreed_state(agreed(10, 5, None), 3700.0);
    let with_lease = HeartbeatReply { lease_ms: Some(2000.0), fenced: true, ..unchanged(named) };
    assert!(member.on_reply(3600.0, with_lease, 3800.0).is_empty());
    assert_eq!(member.admit(3800.0), Err(AdmissionError::NoLease), "the lease is for the previous epoch");
}
