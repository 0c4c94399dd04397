//! The rules by which a leader answers and decides, and what the log makes of its commands.

use std::net::SocketAddr;

use consensus::StateMachine as _;
use control::command::{Command, Outcome, PolicyCommand, Proof, RosterCommand};
use control::leader::{Effect, Input, Leader, Refusal, Terms, Unreachable};
use control::machine::Agreement;
use control::{policy, roster};
use member::{
    AbortReason, AgreedUpdate, ChangeId, Epoch, Heartbeat, HeartbeatReply, Millis, Policy, Process,
    StageReply, Stamp, StateId,
};

const TERM: u64 = 3;

fn process(name: &str, boot: u64) -> Process {
    Process { name: name.to_owned(), boot }
}

fn life() -> SocketAddr {
    "127.0.0.1:9".parse().expect("an address")
}

fn beat(process: &Process, echo: Option<Millis>) -> Heartbeat {
    Heartbeat {
        process: process.clone(),
        liveness_addr: life(),
        coexists_with_previous: false,
        echoed_stamp: echo.map(|at| Stamp { term: TERM, time: at }),
        active_epoch: Some(0),
        known_state: None,
        stage_reply: None,
        leaving: false,
        vote_report: None,
        verdicts_version: None,
    }
}

fn staged(process: &Process, echo: Millis, change: ChangeId, left_ms: Millis) -> Heartbeat {
    Heartbeat {
        stage_reply: Some(StageReply::Staged { change, remaining_ms: left_ms }),
        ..beat(process, Some(echo))
    }
}

fn join(process: &Process, fenced: bool) -> Command {
    let (process, active) = (process.clone(), None);
    Command::Roster(RosterCommand::Join { process, life: life(), beside: false, fenced, active })
}

fn ended(process: &Process, proof: Proof) -> Command {
    Command::Roster(RosterCommand::Ended { process: process.clone(), proof })
}

fn propose(base: Epoch) -> Command {
    Command::Policy(PolicyCommand::Propose { base, policy: Policy::default() })
}

/// A leader on a log of one: what it writes is applied when the test says so.
struct Desk {
    leader: Leader,
    agreement: Agreement,
    tokens: u64,
}

impl Desk {
    fn new(unreachable: Unreachable, members: &[&Process]) -> Self {
        let mut agreement = Agreement::new();
        for (version, process) in members.iter().enumerate() {
            agreement.apply(version as u64 + 1, &join(process, unreachable == Unreachable::Fence));
        }
        let terms = Terms {
            unreachable,
            session_ms: 3000.0,
            promise_ms: 2000.0,
            lease_ms: 2000.0,
            ..Terms::default()
        };
        terms.check().expect("the defaults hold");
        Self { leader: Leader::new(terms, TERM, 0.0), agreement, tokens: 0 }
    }

    fn apply(&mut self, command: &Command) -> Outcome {
        self.agreement.apply(self.agreement.version() + 1, command)
    }

    fn propose(&mut self, now: Millis) -> ChangeId {
        self.apply(&propose(self.agreement.book().epoch()));
        self.input(now, Input::Applied);
        self.agreement.book().change().expect("it was just proposed").id
    }

    fn input(&mut self, now: Millis, input: Input) -> Vec<Effect> {
        self.leader.handle(now, input, &self.agreement)
    }

    fn beat(&mut self, now: Millis, beat: Heartbeat) -> Vec<Effect> {
        self.tokens += 1;
        self.input(now, Input::Beat { token: self.tokens, beat })
    }

    /// Applies what was to be written, and tells the leader.
    fn write(&mut self, now: Millis, command: &Command) -> Vec<Effect> {
        let outcome = Some(self.apply(command));
        self.input(now, Input::Written { command: command.clone(), outcome })
    }

    /// A beat and the confirm that it waits for.
    fn answered(&mut self, now: Millis, beat: Heartbeat) -> (Option<HeartbeatReply>, Vec<Command>) {
        let mut effects = self.beat(now, beat);
        if effects.contains(&Effect::Confirm) {
            effects.extend(self.input(now, Input::Confirmed { asked: now }));
        }
        let answers = effects.iter().find_map(|effect| match effect {
            Effect::Answer { answer, .. } => Some((**answer).clone()),
            _ => None,
        });
        (answers, written(&effects))
    }
}

fn written(effects: &[Effect]) -> Vec<Command> {
    let write = |effect: &Effect| match effect {
        Effect::Write(command) => Some(command.clone()),
        _ => None,
    };
    effects.iter().filter_map(write).collect()
}

fn answers(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Answer { .. })).count()
}

fn is_commit(commands: &[Command]) -> bool {
    matches!(commands, [Command::Policy(PolicyCommand::Commit { .. })])
}

fn silent(commands: &[Command]) -> Vec<String> {
    match commands {
        [Command::Policy(PolicyCommand::Abort { why: AbortReason::Unresponsive { nodes }, .. })] => {
            nodes.clone()
        }
        _ => Vec::new(),
    }
}

#[test]
fn an_answer_waits_for_a_confirm_begun_after_its_beat_came() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut desk = Desk::new(Unreachable::Abort, &[&a, &b]);
    assert_eq!(desk.beat(10.0, beat(&a, None)), [Effect::Confirm]);
    // The clock reads the same, yet the confirm was begun before.
    assert_eq!(desk.beat(10.0, beat(&b, None)), []);
    let effects = desk.input(11.0, Input::Confirmed { asked: 10.0 });
    assert_eq!((answers(&effects), effects.contains(&Effect::Confirm)), (1, true));
    assert_eq!(
        answers(&desk.input(12.0, Input::Confirmed { asked: 10.0 })),
        0,
        "an old one counts for nothing"
    );
    assert_eq!(answers(&desk.input(13.0, Input::Confirmed { asked: 11.0 })), 1);
    desk.beat(20.0, beat(&a, None));
    assert_eq!(answers(&desk.input(21.0, Input::Unconfirmed { asked: 20.0 })), 0);
    assert!(desk.input(500.0, Input::Tick).contains(&Effect::Confirm), "it is tried again");
}

#[test]
fn a_newcomer_is_answered_once_it_stands_in_the_roster() {
    let a = process("a", 1);
    let mut desk = Desk::new(Unreachable::Fence, &[]);
    let (answer, commands) = desk.answered(10.0, beat(&a, None));
    assert_eq!(answer, None);
    let [Command::Roster(RosterCommand::Join { fenced: true, active: Some(0), .. })] = &commands[..] else {
        panic!("{commands:?}")
    };
    let effects = desk.write(20.0, &commands[0]);
    let Some(Effect::Answer { answer, .. }) = effects.first() else { panic!("{effects:?}") };
    assert_eq!((answer.lease_ms, answer.fenced), (Some(2000.0), true));
    assert!(matches!(&answer.update, AgreedUpdate::Changed(agreed) if agreed.epoch == 0), "{answer:?}");
}

#[test]
fn only_news_are_told() {
    let a = process("a", 1);
    let mut desk = Desk::new(Unreachable::Abort, &[&a]);
    let tell = |desk: &mut Desk, now, known| {
        desk.answered(now, Heartbeat { known_state: known, ..beat(&a, None) }).0.expect("a member").update
    };
    let AgreedUpdate::Changed(none) = tell(&mut desk, 10.0, None) else { panic!("it knew nothing") };
    let known = none.state_id();
    desk.apply(&join(&process("b", 1), false));
    assert_eq!(tell(&mut desk, 20.0, Some(known)), AgreedUpdate::Unchanged(known), "who joins is no news");
    let other = Some(StateId { fingerprint: !known.fingerprint, ..known });
    assert_eq!(tell(&mut desk, 25.0, other), AgreedUpdate::Changed(none), "another log gave that version");
    let change = desk.propose(30.0);
    let AgreedUpdate::Changed(asked) = tell(&mut desk, 40.0, Some(known)) else {
        panic!("a change is under way")
    };
    let known = asked.state_id();
    assert_eq!(tell(&mut desk, 50.0, Some(known)), AgreedUpdate::Unchanged(known));
    desk.apply(&Command::Policy(PolicyCommand::Abort { change, why: AbortReason::Operator }));
    let AgreedUpdate::Changed(ended) = tell(&mut desk, 60.0, Some(known)) else { panic!("it has ended") };
    assert!(ended.version > asked.version && ended.change.is_none());
    let next = desk.propose(70.0);
    assert!(next.0 > ended.version);
}

#[test]
fn a_commit_needs_every_promise_by_this_terms_own_stamps() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut desk = Desk::new(Unreachable::Abort, &[&a, &b]);
    let change = desk.propose(100.0);
    assert!(!is_commit(&desk.answered(200.0, staged(&a, 190.0, change, 2000.0)).1));
    // b: another term's stamp, one from the future, a word on another change, a promise nearly over.
    let other = Heartbeat {
        echoed_stamp: Some(Stamp { term: TERM - 1, time: 190.0 }),
        ..staged(&b, 0.0, change, 2000.0)
    };
    for word in [
        other,
        staged(&b, 900.0, change, 2000.0),
        staged(&b, 190.0, ChangeId(77), 2000.0),
        staged(&b, 190.0, change, 300.0),
        staged(&b, 190.0, change, f64::NAN),
    ] {
        assert!(!is_commit(&desk.answered(300.0, word.clone()).1), "{word:?}");
    }
    let (_, commands) = desk.answered(400.0, staged(&b, 390.0, change, 2000.0));
    assert!(is_commit(&commands));
    desk.write(410.0, &commands[0]);
    assert_eq!((desk.agreement.book().epoch(), desk.agreement.book().change()), (1, None));
}

#[test]
fn a_promise_counts_from_the_echo_and_not_from_the_beats_coming() {
    let a = process("a", 1);
    let mut desk = Desk::new(Unreachable::Abort, &[&a]);
    let change = desk.propose(100.0);
    // It was 1800 ms on its way: at the member, 1980 - 1800 are left at most.
    assert!(!is_commit(&desk.answered(2000.0, staged(&a, 200.0, change, 2000.0)).1));
}

#[test]
fn a_word_that_comes_out_of_order_takes_no_promise_back() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut desk = Desk::new(Unreachable::Abort, &[&a, &b]);
    let change = desk.propose(100.0);
    desk.answered(1900.0, staged(&a, 1800.0, change, 2000.0));
    desk.answered(1950.0, staged(&a, 110.0, change, 2000.0));
    assert!(is_commit(&desk.answered(2050.0, staged(&b, 1800.0, change, 2000.0)).1));
}

#[test]
fn a_successor_waits_for_the_lease_of_the_silent_one() {
    let (old, new) = (process("a", 1), process("a", 2));
    let mut desk = Desk::new(Unreachable::Fence, &[&old]);
    desk.beat(10.0, beat(&old, None));
    // Its answer, with a lease, is late.
    assert_eq!(answers(&desk.input(1500.0, Input::Confirmed { asked: 10.0 })), 1);
    assert_eq!(written(&desk.beat(3500.0, beat(&new, None))), []);
    assert!(matches!(
        &written(&desk.input(3521.0, Input::Tick))[..],
        [Command::Roster(RosterCommand::Join { .. })]
    ));
}

#[test]
fn a_change_is_aborted_when_its_time_is_over_or_a_member_refuses() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut desk = Desk::new(Unreachable::Abort, &[&a, &b]);
    let change = desk.propose(100.0);
    desk.answered(200.0, staged(&a, 190.0, change, 2000.0));
    assert_eq!(silent(&written(&desk.input(2099.0, Input::Tick))), [] as [&str; 0]);
    desk.answered(2099.0, staged(&a, 2090.0, change, 2000.0));
    assert_eq!(silent(&written(&desk.input(2100.0, Input::Tick))), ["b"]);

    let mut desk = Desk::new(Unreachable::Abort, &[&a, &b]);
    let change = desk.propose(100.0);
    let words = "no class gold".to_owned();
    let no = Heartbeat {
        stage_reply: Some(StageReply::Refused { change, reason: words.clone() }),
        ..beat(&b, None)
    };
    let why = AbortReason::Refused { node: "b".to_owned(), reason: words };
    let abort = Command::Policy(PolicyCommand::Abort { change, why });
    assert_eq!(desk.answered(200.0, no).1, [abort]);
}

#[test]
fn a_silent_member_is_fenced_only_when_its_lease_is_over_and_gets_none_meanwhile() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut desk = Desk::new(Unreachable::Fence, &[&a, &b]);
    desk.input(0.0, Input::Tick);
    assert_eq!(desk.answered(50.0, beat(&b, None)).0.expect("a member").lease_ms, Some(2000.0));
    let change = desk.propose(100.0);
    for now in [500.0, 1000.0, 1500.0, 2070.0] {
        assert_eq!(desk.answered(now, staged(&a, now, change, 2000.0)).1, [], "at {now}");
    }
    // 50 + 2000 * 1.01
    let (_, commands) = desk.answered(2070.5, staged(&a, 2070.0, change, 2000.0));
    let [Command::Policy(PolicyCommand::Commit { staged: counted, fenced, .. })] = &commands[..] else {
        panic!("{commands:?}")
    };
    assert_eq!((&counted[..], &fenced[..]), (&[a.clone()][..], &[b.clone()][..]));
    // Its commit is on its way, and then of unknown fate: b is back and gets no lease.
    assert_eq!(desk.answered(2080.0, beat(&b, None)).0.expect("a member").lease_ms, None);
    desk.input(2090.0, Input::Written { command: commands[0].clone(), outcome: None });
    assert_eq!(desk.answered(2100.0, beat(&b, None)).0.expect("a member").lease_ms, None);
    desk.write(2200.0, &commands[0]);
    assert_eq!(desk.answered(2300.0, beat(&b, None)).0.expect("a member").lease_ms, Some(2000.0));
}

#[test]
fn a_void_commit_gives_the_lease_back_and_the_leader_waits_on() {
    let (a, b, c) = (process("a", 1), process("b", 1), process("c", 1));
    let mut desk = Desk::new(Unreachable::Fence, &[&a, &b]);
    desk.input(0.0, Input::Tick);
    let change = desk.propose(100.0);
    let (_, commands) = desk.answered(2025.0, staged(&a, 2020.0, change, 2000.0));
    assert!(is_commit(&commands));
    // c's join comes before it in the log.
    desk.apply(&join(&c, true));
    assert_eq!(desk.apply(&commands[0]), Outcome::Uncovered { missing: vec![c.clone()] });
    let outcome = Some(Outcome::Uncovered { missing: vec![c.clone()] });
    desk.input(2030.0, Input::Written { command: commands[0].clone(), outcome });
    assert_eq!(
        desk.answered(2030.0, staged(&b, 2030.0, change, 2000.0)).0.expect("a member").lease_ms,
        Some(2000.0)
    );
    let (_, commands) = desk.answered(2040.0, staged(&c, 2040.0, change, 2000.0));
    assert_eq!(desk.write(2050.0, &commands[0]), []);
    assert_eq!(desk.agreement.book().epoch(), 1);
}

#[test]
fn a_member_that_is_up_and_does_not_stage_has_it_aborted_and_so_has_one_without_leases() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut desk = Desk::new(Unreachable::Fence, &[&a, &b]);
    let change = desk.propose(100.0);
    for now in [1000.0, 2000.0, 2099.0] {
        desk.answered(now, staged(&a, now, change, 2000.0));
        assert_eq!(silent(&desk.answered(now, beat(&b, Some(now))).1), [] as [&str; 0]);
    }
    assert_eq!(silent(&desk.answered(2101.0, beat(&b, Some(2099.0))).1), ["b"]);

    let mut desk = Desk::new(Unreachable::Fence, &[&a]);
    desk.apply(&join(&b, false));
    desk.input(0.0, Input::Tick);
    let change = desk.propose(100.0);
    assert_eq!(desk.answered(2050.0, staged(&a, 2050.0, change, 2000.0)).1, []);
    let (_, commands) = desk.answered(2100.0, staged(&a, 2100.0, change, 2000.0));
    assert_eq!(silent(&commands), ["b"], "it joined a fleet that was not fenced");
}

#[test]
fn a_dead_process_is_found_by_its_address_and_its_successor_must_stage() {
    let (old, new) = (process("a", 1), process("a", 2));
    let mut desk = Desk::new(Unreachable::Abort, &[&old]);
    let change = desk.propose(100.0);
    desk.answered(200.0, staged(&old, 190.0, change, 100.0));
    let probe = Effect::Probe { process: old.clone(), life: life() };
    assert!(desk.beat(300.0, beat(&new, None)).contains(&probe));
    let effects = desk.input(310.0, Input::Probed { process: old.clone(), refused: true });
    assert_eq!(written(&effects), [ended(&old, Proof::Refused)]);
    let commands = written(&desk.write(320.0, &ended(&old, Proof::Refused)));
    let commands = if commands.is_empty() { written(&desk.input(330.0, Input::Tick)) } else { commands };
    assert!(matches!(&commands[..], [Command::Roster(RosterCommand::Join { .. })]), "{commands:?}");
    assert!(!is_commit(&written(&desk.write(340.0, &commands[0]))), "the newcomer counts");
    assert!(is_commit(&desk.answered(350.0, staged(&new, 345.0, change, 2000.0)).1));
}

#[test]
fn one_name_is_one_node() {
    let (old, new) = (process("a", 1), process("a", 2));
    let mut desk = Desk::new(Unreachable::Abort, &[&old]);
    desk.answered(10.0, beat(&old, None));
    desk.answered(20.0, beat(&new, None));
    let effects = desk.input(30.0, Input::Probed { process: old.clone(), refused: false });
    assert!(effects.contains(&Effect::Refuse { token: 2, why: Refusal::Alive }), "{effects:?}");
    // Silent for a session, its address neither refused nor heard: the name has gone elsewhere.
    let (_, commands) = desk.answered(3010.0, beat(&new, None));
    desk.write(3020.0, &commands[0]);
    let (answer, commands) = desk.answered(3030.0, beat(&old, Some(10.0)));
    assert!(answer.expect("it is told").superseded && commands.is_empty());
}

#[test]
fn in_a_hot_upgrade_both_are_members_until_the_older_closes() {
    let (old, new) = (process("a", 1), process("a", 2));
    let mut desk = Desk::new(Unreachable::Abort, &[&old]);
    let (_, commands) = desk.answered(10.0, Heartbeat { coexists_with_previous: true, ..beat(&new, None) });
    desk.write(20.0, &commands[0]);
    assert_eq!(desk.agreement.roster().len(), 2);
    let (answer, commands) = desk.answered(30.0, Heartbeat { leaving: true, ..beat(&old, None) });
    assert_eq!((answer, &commands[..]), (None, &[ended(&old, Proof::Closed)][..]));
    let effects = desk.write(40.0, &commands[0]);
    assert!(matches!(&effects[..], [Effect::Answer { answer, .. }] if answer.superseded), "{effects:?}");
    assert_eq!(desk.answered(50.0, beat(&old, None)).1, [], "a beat that was long on its way joins nobody");
    assert_eq!(desk.agreement.roster().len(), 1);
}

#[test]
fn an_epoch_that_a_member_has_known_is_given_to_no_other_policy() {
    let a = process("a", 1);
    let mut desk = Desk::new(Unreachable::Abort, &[&a]);
    let (_, commands) = desk.answered(10.0, Heartbeat { active_epoch: Some(7), ..beat(&a, None) });
    desk.write(20.0, &commands[0]);
    assert_eq!(desk.apply(&propose(0)), Outcome::Proposed { change: ChangeId(3), epoch: 8 });
    let far = Heartbeat { active_epoch: Some(u64::MAX), ..beat(&a, None) };
    assert_eq!(desk.answered(30.0, far).1, [], "nonsense is not believed");
}

#[test]
fn the_log_takes_one_change_at_a_time_and_gives_no_number_twice() {
    let mut log = Agreement::new();
    assert_eq!(log.apply(1, &propose(1)), Outcome::Stale { epoch: 0 });
    assert_eq!(log.apply(2, &propose(0)), Outcome::Proposed { change: ChangeId(2), epoch: 1 });
    assert_eq!(log.apply(3, &propose(0)), Outcome::Busy { change: ChangeId(2) });
    let abort = |change| Command::Policy(PolicyCommand::Abort { change, why: AbortReason::Operator });
    assert_eq!(log.apply(4, &abort(ChangeId(2))), Outcome::Done);
    assert_eq!(log.apply(5, &abort(ChangeId(2))), Outcome::Over);
    assert_eq!(log.apply(6, &propose(0)), Outcome::Proposed { change: ChangeId(6), epoch: 2 });
    let commit =
        Command::Policy(PolicyCommand::Commit { change: ChangeId(6), staged: vec![], fenced: vec![] });
    assert_eq!((log.apply(7, &commit), log.apply(8, &commit)), (Outcome::Done, Outcome::Over));
    let big = serde_json::json!({"ServerBans": vec!["x".repeat(64); 1100]});
    let big = Policy(big.as_object().expect("it is one").clone());
    let propose = Command::Policy(PolicyCommand::Propose { base: 2, policy: big });
    assert_eq!(log.apply(9, &propose), Outcome::TooMuch);
}

#[test]
fn the_log_fences_only_members_that_live_by_leases() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut log = Agreement::new();
    log.apply(1, &join(&a, true));
    log.apply(2, &join(&b, false));
    log.apply(3, &propose(0));
    let commit =
        |staged, fenced| Command::Policy(PolicyCommand::Commit { change: ChangeId(3), staged, fenced });
    let missing = vec![b.clone()];
    assert_eq!(log.apply(4, &commit(vec![], vec![a.clone(), b.clone()])), Outcome::Uncovered { missing });
    assert_eq!(log.apply(5, &commit(vec![b], vec![a])), Outcome::Done);
}

#[test]
fn what_the_log_holds_is_bounded() {
    let mut log = Agreement::new();
    for boot in 0..roster::MEMBERS_MOST as u64 {
        assert_eq!(log.apply(boot + 1, &join(&process(&format!("n{boot}"), boot), false)), Outcome::Done);
    }
    assert_eq!(log.apply(5000, &join(&process("more", 1), false)), Outcome::TooMuch);
    assert_eq!(log.apply(5001, &join(&process("n7", 1), false)), Outcome::Done, "in the place of another");
    assert_eq!(log.apply(5002, &join(&process("n7", 7), false)), Outcome::Superseded);
    let beside = |boot| {
        let (process, life) = (process("n7", boot), life());
        Command::Roster(RosterCommand::Join { process, life, beside: true, fenced: false, active: None })
    };
    log.apply(5003, &Command::Roster(RosterCommand::Remove { name: "n9".to_owned() }));
    assert_eq!(log.apply(5004, &beside(20)), Outcome::Done);
    assert_eq!(log.apply(5005, &join(&process(&"n".repeat(129), 1), false)), Outcome::TooMuch);
    for round in 0..40u64 {
        let id = ChangeId(6000 + 2 * round);
        log.apply(id.0, &propose(0));
        let why = AbortReason::Unresponsive { nodes: vec!["n".to_owned(); 4096] };
        log.apply(id.0 + 1, &Command::Policy(PolicyCommand::Abort { change: id, why }));
    }
    assert_eq!(log.book().ended().count(), policy::HISTORY);
    assert_eq!(log.agreed().ended_changes.len(), policy::TOLD);
    let named = |ended: &member::EndedChange| matches!(&ended.abort_reason, Some(AbortReason::Unresponsive { nodes }) if nodes.len() == 8);
    assert!(log.book().ended().all(named));
}

#[test]
fn a_snapshot_holds_all_and_a_newer_one_is_refused_by_name() {
    let mut log = Agreement::new();
    log.apply(1, &join(&process("a", u64::MAX), true));
    log.apply(2, &join(&process("a", 2), true));
    log.apply(3, &propose(0));
    assert_eq!(Agreement::restore(&log.snapshot()).expect("its own"), log);
    let newer = String::from_utf8(log.snapshot()).expect("JSON").replace("\"schema\":1", "\"schema\":3");
    let error = Agreement::restore(newer.as_bytes()).expect_err("it can't be read");
    assert!(error.contains("schema 3") && error.contains("up to 2"), "{error}");
    assert!(Agreement::restore(b"{\"schema\":1").is_err());
}

#[test]
fn terms_that_cannot_hold_are_named() {
    let terms = Terms { promise_ms: 600.0, ..Terms::default() };
    assert!(terms
        .check()
        .expect_err("two beats and the reserve")
        .to_string()
        .starts_with("promise_ms = 600"));
    assert!(
        Terms { session_ms: 2000.0, ..Terms::default() }.check().is_err(),
        "a lease would outlive a session"
    );
    assert!(Terms { beat_ms: f64::NAN, ..Terms::default() }.check().is_err());
}
