//! The rules by which a node takes requests, one test each.

use member::*;
use serde_json::json;

fn policy(slo: u64) -> Policy {
    Policy(json!({"Limits": {"OpenCap": slo}}).as_object().expect("it is one").clone())
}

fn member(start_mode: StartMode, saved: Option<SavedEpoch>) -> Member {
    let process = Process { name: "n1".to_owned(), boot: 7 };
    let liveness_addr = "127.0.0.1:9".parse().expect("an address");
    Member::new(
        MemberConfig { process, liveness_addr, coexists_with_previous: false, start_mode },
        saved,
        0.0,
    )
}

/// What is agreed at a version: an epoch (whose policy is told by its number) and maybe a change.
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

fn answer(at: Millis, agreed: AgreedState) -> HeartbeatReply {
    HeartbeatReply {
        stamp: Stamp { term: 1, time: at },
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

fn leased(at: Millis, agreed: AgreedState) -> HeartbeatReply {
    HeartbeatReply { lease_ms: Some(2000.0), fenced: true, ..answer(at, agreed) }
}

fn activated(effects: &[Effect]) -> Vec<Epoch> {
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
    member.on_reply(0.0, answer(0.0, agreed(8, 4, None)), 10.0);
    let effects = member.on_agreed_state(agreed(9, 4, Some((9, 5))), 900.0);
    assert!(matches!(&effects[..], [Effect::Check(change)] if change.id == ChangeId(9)), "{effects:?}");
    assert_eq!(member.on_check_result(ChangeId(9), Ok(()), 1000.0), [Effect::SendHeartbeat]);
    member
}

#[test]
fn nothing_is_taken_before_a_leader_has_answered() {
    let mut member = member(StartMode::Wait, None);
    assert!(member.on_agreed_state(agreed(8, 4, None), 5.0).is_empty(), "a watch makes no member");
    assert_eq!(member.admit(5.0), Err(AdmissionError::NoEpoch));
    member.heartbeat(6.0);
    let effects = member.on_reply(6.0, answer(100.0, agreed(8, 4, None)), 9.0);
    assert_eq!(activated(&effects), [4]);
    assert_eq!(member.admit(9.0), Ok(4));
}

#[test]
fn a_promise_runs_from_the_check_and_then_holds_all_back() {
    let mut member = staged();
    assert_eq!(member.admit(2999.0), Ok(4));
    assert_eq!(member.admit(3000.0), Err(AdmissionError::InDoubt));
    let word = member.heartbeat(1500.0).stage_reply;
    assert_eq!(word, Some(StageReply::Staged { change: ChangeId(9), remaining_ms: 1500.0 }));
}

#[test]
fn only_an_answer_makes_a_promise_longer_and_from_its_beats_sending() {
    let mut member = staged();
    member.heartbeat(1500.0);
    member.on_agreed_state(agreed(9, 4, Some((9, 5))), 1600.0);
    assert_eq!(member.admit(3000.0), Err(AdmissionError::InDoubt), "news make it no longer");
    member.on_reply(1500.0, answer(5.0, agreed(9, 4, Some((9, 5)))), 2900.0);
    assert_eq!(member.admit(3499.0), Ok(4));
    assert_eq!(member.admit(3500.0), Err(AdmissionError::InDoubt));
}

#[test]
fn news_end_a_doubt_either_way() {
    let mut committed = staged();
    let effects = committed.on_agreed_state(agreed(12, 5, None), 4000.0);
    assert_eq!(activated(&effects), [5]);
    assert!(!effects.contains(&Effect::Discard(ChangeId(9))));
    assert_eq!(committed.admit(4000.0), Ok(5));
    let mut aborted = staged();
    assert_eq!(aborted.on_agreed_state(agreed(12, 4, None), 4000.0), [Effect::Discard(ChangeId(9))]);
    assert_eq!(aborted.admit(4000.0), Ok(4));
}

#[test]
fn the_next_change_under_way_ends_the_one_before_it() {
    let mut member = staged();
    let effects = member.on_agreed_state(agreed(14, 4, Some((13, 6))), 4000.0);
    assert!(matches!(&effects[..], [Effect::Discard(ChangeId(9)), Effect::Check(next)] if next.epoch == 6));
    assert_eq!(member.admit(4000.0), Ok(4), "its doubt is over, and it has promised nothing new yet");
    assert!(
        member.on_check_result(ChangeId(9), Ok(()), 4100.0).is_empty(),
        "a check that comes late is of no use"
    );
}

#[test]
fn older_news_change_nothing() {
    let mut member = staged();
    member.on_agreed_state(agreed(12, 5, None), 1100.0);
    assert!(member.on_agreed_state(agreed(9, 4, Some((9, 5))), 1200.0).is_empty());
    member.heartbeat(1250.0);
    assert_eq!(activated(&member.on_reply(1200.0, answer(7.0, agreed(11, 4, None)), 1300.0)), [] as [u64; 0]);
    assert_eq!(member.admit(9000.0), Ok(5));
}

#[test]
fn a_lease_runs_from_the_beats_sending_and_for_the_agreed_epoch_only() {
    let mut member = member(StartMode::Wait, None);
    member.heartbeat(100.0);
    member.on_reply(100.0, leased(0.0, agreed(8, 4, None)), 900.0);
    assert_eq!(member.admit(2099.0), Ok(4));
    assert_eq!(member.admit(2100.0), Err(AdmissionError::NoLease));
    member.on_agreed_state(agreed(9, 5, None), 2200.0);
    member.heartbeat(2300.0);
    member.on_reply(2300.0, leased(1.0, agreed(8, 4, None)), 2400.0);
    assert_eq!(
        member.admit(2400.0),
        Err(AdmissionError::NoLease),
        "an answer about an older epoch grants nothing"
    );
    member.heartbeat(2500.0);
    member.on_reply(2500.0, HeartbeatReply { lease_ms: None, ..leased(2.0, agreed(9, 5, None)) }, 2600.0);
    assert_eq!(member.admit(2600.0), Err(AdmissionError::NoLease));
    member.heartbeat(2700.0);
    member.on_reply(2700.0, leased(3.0, agreed(9, 5, None)), 2800.0);
    assert_eq!(member.admit(2800.0), Ok(5));
}

#[test]
fn a_node_that_cannot_bear_a_change_says_why_in_one_line() {
    let mut member = member(StartMode::Wait, None);
    member.heartbeat(0.0);
    member.on_reply(0.0, answer(0.0, agreed(9, 4, Some((9, 5)))), 10.0);
    member.on_check_result(ChangeId(9), Err(format!("no class \"gold\"{}\nmore", "é".repeat(200))), 20.0);
    let Some(StageReply::Refused { change: ChangeId(9), reason: words }) = member.heartbeat(20.0).stage_reply
    else {
        panic!("refused")
    };
    assert!(words.starts_with("no class \"gold\"") && words.len() <= 256 && !words.contains('\n'));
    assert_eq!(member.admit(9000.0), Ok(4), "it has promised nothing");
}

#[test]
fn the_saved_epoch_serves_only_while_no_leader_answers() {
    let start = StartMode::UseSaved { after_ms: 1000.0 };
    let saved = SavedEpoch { epoch: 6, policy: policy(6), fenced: false };
    let mut member = member(start, Some(saved.clone()));
    assert_eq!((member.timer_due_at(), member.on_timer(999.0)), (Some(1000.0), Vec::new()));
    assert_eq!(member.admit(999.0), Err(AdmissionError::NoEpoch));
    assert_eq!(activated(&member.on_timer(1000.0)), [6]);
    assert_eq!(member.admit(1000.0), Ok(6));
    assert_eq!(
        activated(&member.on_agreed_state(agreed(30, 7, None), 1100.0)),
        [7],
        "forward by what it hears"
    );
    member.heartbeat(1200.0);
    assert_eq!(activated(&member.on_reply(1200.0, answer(0.0, agreed(40, 8, None)), 1300.0)), [8]);

    let fenced = self::member(start, Some(SavedEpoch { fenced: true, ..saved }));
    assert_eq!(fenced.timer_due_at(), None, "a fenced fleet's node waits for its lease");
}

#[test]
fn a_group_from_an_old_backup_takes_nobody_back() {
    let saved = SavedEpoch { epoch: 6, policy: policy(6), fenced: false };
    let mut member = member(StartMode::UseSaved { after_ms: 0.0 }, Some(saved));
    member.on_timer(0.0);
    member.heartbeat(1.0);
    let effects = member.on_reply(1.0, answer(0.0, agreed(3, 2, None)), 2.0);
    assert!(
        matches!(&effects[..], [Effect::NotifyOperator(words)] if words.contains("older")),
        "{effects:?}"
    );
    assert_eq!(member.admit(2.0), Ok(6));
    assert_eq!(member.heartbeat(3.0).active_epoch, Some(6), "the group hears of it");
    member.on_agreed_state(agreed(4, 2, Some((4, 3))), 4.0);
    assert!(
        matches!(member.heartbeat(5.0).stage_reply, Some(StageReply::Refused { .. })),
        "no number comes twice"
    );
    member.on_agreed_state(agreed(9, 7, None), 6.0);
    assert_eq!(member.admit(6.0), Ok(7));
}

#[test]
fn a_group_that_lost_its_log_is_heard_again() {
    let mut member = member(StartMode::Wait, None);
    member.heartbeat(0.0);
    member.on_reply(0.0, answer(0.0, agreed(100, 4, None)), 1.0);
    member.heartbeat(2.0);
    let effects = member.on_reply(2.0, answer(1.0, agreed(50, 4, None)), 3.0);
    assert!(matches!(&effects[..], [Effect::NotifyOperator(words)] if words.contains("lost")), "{effects:?}");
    assert_eq!(activated(&member.on_agreed_state(agreed(51, 5, None), 4.0)), [5]);
}

#[test]
fn who_is_superseded_or_leaves_takes_nothing_more() {
    let mut gone = staged();
    gone.heartbeat(1100.0);
    let effects = gone.on_reply(
        1100.0,
        HeartbeatReply { superseded: true, ..answer(0.0, agreed(9, 4, Some((9, 5)))) },
        1200.0,
    );
    assert!(matches!(&effects[..], [Effect::NotifyOperator(_)]));
    assert_eq!(gone.admit(1200.0), Err(AdmissionError::Superseded));
    assert!(gone.on_agreed_state(agreed(12, 5, None), 1300.0).is_empty());

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
        HeartbeatReply { stamp: Stamp { term: 2, time: 5.0 }, ..answer(0.0, agreed(9, 4, None)) },
        1200.0,
    );
    member.on_reply(1000.0, answer(900.0, agreed(9, 4, None)), 1300.0);
    assert_eq!(member.heartbeat(1400.0).echoed_stamp, Some(Stamp { term: 2, time: 5.0 }));
}

#[test]
fn what_a_beat_on_its_way_does_not_say_is_said_right_after_it() {
    let mut member = staged();
    member.heartbeat(1000.0);
    member.on_agreed_state(agreed(12, 4, Some((12, 6))), 1010.0);
    member.on_check_result(ChangeId(12), Ok(()), 1020.0);
    member.on_reply(1000.0, answer(1.0, agreed(12, 4, Some((12, 6)))), 1030.0);
    assert_eq!(member.next_heartbeat_at(), 1030.0);
    member.heartbeat(1030.0);
    member.on_reply(1030.0, answer(2.0, agreed(12, 4, Some((12, 6)))), 1040.0);
    assert_eq!(member.next_heartbeat_at(), 1290.0);
}

#[test]
fn an_answer_to_an_older_beat_makes_no_promise_shorter() {
    let mut member = staged();
    member.heartbeat(500.0);
    member.on_reply(500.0, answer(5.0, agreed(9, 4, Some((9, 5)))), 1100.0);
    assert_eq!(member.admit(2999.0), Ok(4));
}

#[test]
fn a_group_that_lost_its_log_ends_no_doubt() {
    let mut member = staged();
    member.heartbeat(1500.0);
    let effects = member.on_reply(1500.0, answer(1.0, agreed(5, 4, None)), 1600.0);
    assert!(matches!(&effects[..], [Effect::NotifyOperator(_)]), "{effects:?}");
    assert_eq!(member.admit(3000.0), Err(AdmissionError::InDoubt), "neither ended nor made longer");
}

#[test]
fn an_answer_that_tells_nothing_new_proves_what_its_beat_named() {
    let mut member = staged();
    let asked = member.heartbeat(1500.0).known_state.expect("it has taken news");
    let same =
        |known| HeartbeatReply { update: AgreedUpdate::Unchanged(known), ..answer(5.0, agreed(9, 4, None)) };
    member.on_reply(1500.0, same(asked), 2900.0);
    assert_eq!(member.admit(3499.0), Ok(4), "the change was under way after that beat was sent");
    assert_eq!(member.admit(3500.0), Err(AdmissionError::InDoubt));
    let at = member.heartbeat(3400.0).known_state;
    assert_eq!(at, Some(asked));
    for other in [
        StateId { version: 8, ..asked },
        StateId { version: 10, ..asked },
        StateId { fingerprint: 7, ..asked },
    ] {
        member.on_reply(3400.0, same(other), 3450.0);
        assert_eq!(member.admit(3500.0), Err(AdmissionError::InDoubt), "{other:?} is not what it said");
    }
    // News overtake the answer: it shows what was known before them, and leases of that epoch.
    member.heartbeat(3600.0);
    member.on_agreed_state(agreed(10, 5, None), 3700.0);
    let leased = HeartbeatReply { lease_ms: Some(2000.0), fenced: true, ..same(asked) };
    assert!(member.on_reply(3600.0, leased, 3800.0).is_empty());
    assert_eq!(member.admit(3800.0), Err(AdmissionError::NoLease), "a lease for the epoch before");
}
