//! The rules by which a leader replies and decides, and the outcomes of its commands in the log.

use std::net::SocketAddr;

use consensus::StateMachine as _;
use control::command::{Command, Outcome, PolicyCommand, Proof, RosterCommand};
use control::leader::{Effect, Input, Leader, LeaderSettings, Refusal, UnreachableAction};
use control::machine::FleetState;
use control::{policy, roster};
use member::{
    AbortReason, AgreedUpdate, ChangeId, Epoch, Heartbeat, HeartbeatReply, Millis, Policy, Process,
    StageReply, Stamp, StateId,
};

const TERM: u64 = 3;

fn process(name: &str, boot: u64) -> Process {
    Process { name: name.to_owned(), boot }
}

/// Returns the liveness address of all processes; nothing connects to it in these tests.
fn liveness_addr() -> SocketAddr {
    "127.0.0.1:9".parse().expect("a valid address")
}

fn heartbeat(process: &Process, echoed_time: Option<Millis>) -> Heartbeat {
    Heartbeat {
        process: process.clone(),
        liveness_addr: liveness_addr(),
        coexists_with_previous: false,
        echoed_stamp: echoed_time.map(|time| Stamp { term: TERM, time }),
        active_epoch: Some(0),
        known_state: None,
        stage_reply: None,
        leaving: false,
        vote_report: None,
        verdicts_version: None,
    }
}

fn staged(process: &Process, echoed_time: Millis, change: ChangeId, remaining_ms: Millis) -> Heartbeat {
    Heartbeat {
        stage_reply: Some(StageReply::Staged { change, remaining_ms }),
        ..heartbeat(process, Some(echoed_time))
    }
}

fn join(process: &Process, fenced: bool) -> Command {
    let (process, active_epoch) = (process.clone(), None);
    Command::Roster(RosterCommand::Join {
        process,
        liveness_addr: liveness_addr(),
        coexists_with_previous: false,
        fenced,
        active_epoch,
    })
}

fn mark_ended(process: &Process, proof: Proof) -> Command {
    Command::Roster(RosterCommand::MarkEnded { process: process.clone(), proof })
}

fn propose(base_epoch: Epoch) -> Command {
    Command::Policy(PolicyCommand::Propose { base_epoch, policy: Policy::default() })
}

/// A leader and the fleet state that it reads. Its writes are applied only by the test.
struct LeaderHarness {
    leader: Leader,
    state: FleetState,
    last_token: u64,
}

impl LeaderHarness {
    fn new(unreachable_action: UnreachableAction, members: &[&Process]) -> Self {
        let mut state = FleetState::new();
        for (version, process) in members.iter().enumerate() {
            state.apply(version as u64 + 1, &join(process, unreachable_action == UnreachableAction::Fence));
        }
        let settings = LeaderSettings {
            unreachable_action,
            session_timeout_ms: 3000.0,
            promise_ms: 2000.0,
            lease_ms: 2000.0,
            ..LeaderSettings::default()
        };
        settings.check().expect("valid settings");
        Self { leader: Leader::new(settings, TERM, 0.0), state, last_token: 0 }
    }

    fn apply(&mut self, command: &Command) -> Outcome {
        self.state.apply(self.state.version() + 1, command)
    }

    fn propose(&mut self, now: Millis) -> ChangeId {
        self.apply(&propose(self.state.policy_state().epoch()));
        self.input(now, Input::Applied);
        self.state.policy_state().pending_change().expect("it was just proposed").id
    }

    fn input(&mut self, now: Millis, input: Input) -> Vec<Effect> {
        self.leader.handle(now, input, &self.state)
    }

    fn heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) -> Vec<Effect> {
        self.last_token += 1;
        self.input(now, Input::Heartbeat { token: self.last_token, heartbeat })
    }

    /// Applies a command, and reports the result to the leader.
    fn write(&mut self, now: Millis, command: &Command) -> Vec<Effect> {
        let outcome = Some(self.apply(command));
        self.input(now, Input::WriteResult { command: command.clone(), outcome })
    }

    /// Handles a heartbeat and the confirmation that it waits for; returns the reply and the commands to write.
    fn replied(&mut self, now: Millis, heartbeat: Heartbeat) -> (Option<HeartbeatReply>, Vec<Command>) {
        let mut effects = self.heartbeat(now, heartbeat);
        if effects.contains(&Effect::ConfirmLeadership) {
            effects.extend(self.input(now, Input::Confirmed { requested_at: now }));
        }
        let reply = effects.iter().find_map(|effect| match effect {
            Effect::Reply { reply, .. } => Some((**reply).clone()),
            _ => None,
        });
        (reply, written(&effects))
    }
}

fn written(effects: &[Effect]) -> Vec<Command> {
    let write = |effect: &Effect| match effect {
        Effect::Write(command) => Some(command.clone()),
        _ => None,
    };
    effects.iter().filter_map(write).collect()
}

fn reply_count(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Reply { .. })).count()
}

fn is_commit(commands: &[Command]) -> bool {
    matches!(commands, [Command::Policy(PolicyCommand::Commit { .. })])
}

fn unresponsive_nodes(commands: &[Command]) -> Vec<String> {
    match commands {
        [Command::Policy(PolicyCommand::Abort { reason: AbortReason::Unresponsive { nodes }, .. })] => {
            nodes.clone()
        }
        _ => Vec::new(),
    }
}

#[test]
fn a_reply_waits_for_a_confirmation_started_after_its_heartbeat_was_received() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut harness = LeaderHarness::new(UnreachableAction::Abort, &[&a, &b]);
    assert_eq!(harness.heartbeat(10.0, heartbeat(&a, None)), [Effect::ConfirmLeadership]);
    // The time is the same, but the confirmation was started before.
    assert_eq!(harness.heartbeat(10.0, heartbeat(&b, None)), []);
    let effects = harness.input(11.0, Input::Confirmed { requested_at: 10.0 });
    assert_eq!((reply_count(&effects), effects.contains(&Effect::ConfirmLeadership)), (1, true));
    assert_eq!(
        reply_count(&harness.input(12.0, Input::Confirmed { requested_at: 10.0 })),
        0,
        "an old confirmation counts for nothing"
    );
    assert_eq!(reply_count(&harness.input(13.0, Input::Confirmed { requested_at: 11.0 })), 1);
    harness.heartbeat(20.0, heartbeat(&a, None));
    assert_eq!(reply_count(&harness.input(21.0, Input::ConfirmFailed { requested_at: 20.0 })), 0);
    assert!(harness.input(500.0, Input::Tick).contains(&Effect::ConfirmLeadership), "it is retried");
}

#[test]
fn a_new_process_gets_a_reply_once_it_is_in_the_roster() {
    let a = process("a", 1);
    let mut harness = LeaderHarness::new(UnreachableAction::Fence, &[]);
    let (reply, commands) = harness.replied(10.0, heartbeat(&a, None));
    assert_eq!(reply, None);
    let [Command::Roster(RosterCommand::Join { fenced: true, active_epoch: Some(0), .. })] = &commands[..]
    else {
        panic!("{commands:?}")
    };
    let effects = harness.write(20.0, &commands[0]);
    let Some(Effect::Reply { reply, .. }) = effects.first() else { panic!("{effects:?}") };
    assert_eq!((reply.lease_ms, reply.fenced), (Some(2000.0), true));
    assert!(matches!(&reply.update, AgreedUpdate::Changed(agreed) if agreed.epoch == 0), "{reply:?}");
}

#[test]
fn the_agreed_state_is_sent_only_if_the_heartbeat_names_another_one() {
    let a = process("a", 1);
    let mut harness = LeaderHarness::new(UnreachableAction::Abort, &[&a]);
    let update = |harness: &mut LeaderHarness, now, known| {
        harness
            .replied(now, Heartbeat { known_state: known, ..heartbeat(&a, None) })
            .0
            .expect("a member")
            .update
    };
    let AgreedUpdate::Changed(none) = update(&mut harness, 10.0, None) else { panic!("it named no state") };
    let known = none.state_id();
    harness.apply(&join(&process("b", 1), false));
    assert_eq!(
        update(&mut harness, 20.0, Some(known)),
        AgreedUpdate::Unchanged(known),
        "a join does not change the agreed state"
    );
    let other = Some(StateId { fingerprint: !known.fingerprint, ..known });
    assert_eq!(
        update(&mut harness, 25.0, other),
        AgreedUpdate::Changed(none),
        "that version is from another log"
    );
    let change = harness.propose(30.0);
    let AgreedUpdate::Changed(pending) = update(&mut harness, 40.0, Some(known)) else {
        panic!("a change is pending")
    };
    let known = pending.state_id();
    assert_eq!(update(&mut harness, 50.0, Some(known)), AgreedUpdate::Unchanged(known));
    harness.apply(&Command::Policy(PolicyCommand::Abort { change, reason: AbortReason::Operator }));
    let AgreedUpdate::Changed(ended) = update(&mut harness, 60.0, Some(known)) else {
        panic!("the change has ended")
    };
    assert!(ended.version > pending.version && ended.change.is_none());
    let next = harness.propose(70.0);
    assert!(next.0 > ended.version);
}

#[test]
fn a_commit_needs_every_promise_with_stamps_of_this_term() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut harness = LeaderHarness::new(UnreachableAction::Abort, &[&a, &b]);
    let change = harness.propose(100.0);
    assert!(!is_commit(&harness.replied(200.0, staged(&a, 190.0, change, 2000.0)).1));
    // From b: a stamp of another term, one from the future, a reply about another change, a promise that is nearly over.
    let other = Heartbeat {
        echoed_stamp: Some(Stamp { term: TERM - 1, time: 190.0 }),
        ..staged(&b, 0.0, change, 2000.0)
    };
    for invalid in [
        other,
        staged(&b, 900.0, change, 2000.0),
        staged(&b, 190.0, ChangeId(77), 2000.0),
        staged(&b, 190.0, change, 300.0),
        staged(&b, 190.0, change, f64::NAN),
    ] {
        assert!(!is_commit(&harness.replied(300.0, invalid.clone()).1), "{invalid:?}");
    }
    let (_, commands) = harness.replied(400.0, staged(&b, 390.0, change, 2000.0));
    assert!(is_commit(&commands));
    harness.write(410.0, &commands[0]);
    assert_eq!(
        (harness.state.policy_state().epoch(), harness.state.policy_state().pending_change()),
        (1, None)
    );
}

#[test]
fn a_promise_counts_from_the_echoed_stamp_and_not_from_the_heartbeats_arrival() {
    let a = process("a", 1);
    let mut harness = LeaderHarness::new(UnreachableAction::Abort, &[&a]);
    let change = harness.propose(100.0);
    // The heartbeat took 1800 ms: on the member, at most 1980 - 1800 ms are left.
    assert!(!is_commit(&harness.replied(2000.0, staged(&a, 200.0, change, 2000.0)).1));
}

#[test]
fn a_stage_reply_out_of_order_does_not_shorten_a_promise() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut harness = LeaderHarness::new(UnreachableAction::Abort, &[&a, &b]);
    let change = harness.propose(100.0);
    harness.replied(1900.0, staged(&a, 1800.0, change, 2000.0));
    harness.replied(1950.0, staged(&a, 110.0, change, 2000.0));
    assert!(is_commit(&harness.replied(2050.0, staged(&b, 1800.0, change, 2000.0)).1));
}

#[test]
fn a_replacement_waits_for_the_lease_of_the_silent_process() {
    let (old, new) = (process("a", 1), process("a", 2));
    let mut harness = LeaderHarness::new(UnreachableAction::Fence, &[&old]);
    harness.heartbeat(10.0, heartbeat(&old, None));
    // The reply, which contains a lease, is late.
    assert_eq!(reply_count(&harness.input(1500.0, Input::Confirmed { requested_at: 10.0 })), 1);
    assert_eq!(written(&harness.heartbeat(3500.0, heartbeat(&new, None))), []);
    assert!(matches!(
        &written(&harness.input(3521.0, Input::Tick))[..],
        [Command::Roster(RosterCommand::Join { .. })]
    ));
}

#[test]
fn a_change_is_aborted_after_the_stage_timeout_or_if_a_member_refuses() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut harness = LeaderHarness::new(UnreachableAction::Abort, &[&a, &b]);
    let change = harness.propose(100.0);
    harness.replied(200.0, staged(&a, 190.0, change, 2000.0));
    assert_eq!(unresponsive_nodes(&written(&harness.input(2099.0, Input::Tick))), [] as [&str; 0]);
    harness.replied(2099.0, staged(&a, 2090.0, change, 2000.0));
    assert_eq!(unresponsive_nodes(&written(&harness.input(2100.0, Input::Tick))), ["b"]);

    let mut harness = LeaderHarness::new(UnreachableAction::Abort, &[&a, &b]);
    let change = harness.propose(100.0);
    let reason = "no class gold".to_owned();
    let refusal = Heartbeat {
        stage_reply: Some(StageReply::Refused { change, reason: reason.clone() }),
        ..heartbeat(&b, None)
    };
    let reason = AbortReason::Refused { node: "b".to_owned(), reason };
    let abort = Command::Policy(PolicyCommand::Abort { change, reason });
    assert_eq!(harness.replied(200.0, refusal).1, [abort]);
}

#[test]
fn a_silent_member_is_fenced_only_after_its_lease_and_gets_none_during_the_commit() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut harness = LeaderHarness::new(UnreachableAction::Fence, &[&a, &b]);
    harness.input(0.0, Input::Tick);
    assert_eq!(harness.replied(50.0, heartbeat(&b, None)).0.expect("a member").lease_ms, Some(2000.0));
    let change = harness.propose(100.0);
    for now in [500.0, 1000.0, 1500.0, 2070.0] {
        assert_eq!(harness.replied(now, staged(&a, now, change, 2000.0)).1, [], "at {now}");
    }
    // 50 + 2000 * 1.01
    let (_, commands) = harness.replied(2070.5, staged(&a, 2070.0, change, 2000.0));
    let [Command::Policy(PolicyCommand::Commit { staged_members, fenced_members, .. })] = &commands[..]
    else {
        panic!("{commands:?}")
    };
    assert_eq!((&staged_members[..], &fenced_members[..]), (&[a.clone()][..], &[b.clone()][..]));
    // While the commit is in flight, and while its outcome is unknown, b is back but gets no lease.
    assert_eq!(harness.replied(2080.0, heartbeat(&b, None)).0.expect("a member").lease_ms, None);
    harness.input(2090.0, Input::WriteResult { command: commands[0].clone(), outcome: None });
    assert_eq!(harness.replied(2100.0, heartbeat(&b, None)).0.expect("a member").lease_ms, None);
    harness.write(2200.0, &commands[0]);
    assert_eq!(harness.replied(2300.0, heartbeat(&b, None)).0.expect("a member").lease_ms, Some(2000.0));
}

#[test]
fn a_void_commit_lets_leases_continue_and_the_leader_wait() {
    let (a, b, c) = (process("a", 1), process("b", 1), process("c", 1));
    let mut harness = LeaderHarness::new(UnreachableAction::Fence, &[&a, &b]);
    harness.input(0.0, Input::Tick);
    let change = harness.propose(100.0);
    let (_, commands) = harness.replied(2025.0, staged(&a, 2020.0, change, 2000.0));
    assert!(is_commit(&commands));
    // c's join precedes the commit in the log.
    harness.apply(&join(&c, true));
    assert_eq!(harness.apply(&commands[0]), Outcome::MissingMembers { missing: vec![c.clone()] });
    let outcome = Some(Outcome::MissingMembers { missing: vec![c.clone()] });
    harness.input(2030.0, Input::WriteResult { command: commands[0].clone(), outcome });
    assert_eq!(
        harness.replied(2030.0, staged(&b, 2030.0, change, 2000.0)).0.expect("a member").lease_ms,
        Some(2000.0)
    );
    let (_, commands) = harness.replied(2040.0, staged(&c, 2040.0, change, 2000.0));
    assert_eq!(harness.write(2050.0, &commands[0]), []);
    assert_eq!(harness.state.policy_state().epoch(), 1);
}

#[test]
fn a_live_member_that_does_not_stage_and_a_silent_one_without_lease_abort_a_change() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut harness = LeaderHarness::new(UnreachableAction::Fence, &[&a, &b]);
    let change = harness.propose(100.0);
    for now in [1000.0, 2000.0, 2099.0] {
        harness.replied(now, staged(&a, now, change, 2000.0));
        assert_eq!(unresponsive_nodes(&harness.replied(now, heartbeat(&b, Some(now))).1), [] as [&str; 0]);
    }
    assert_eq!(unresponsive_nodes(&harness.replied(2101.0, heartbeat(&b, Some(2099.0))).1), ["b"]);

    let mut harness = LeaderHarness::new(UnreachableAction::Fence, &[&a]);
    harness.apply(&join(&b, false));
    harness.input(0.0, Input::Tick);
    let change = harness.propose(100.0);
    assert_eq!(harness.replied(2050.0, staged(&a, 2050.0, change, 2000.0)).1, []);
    let (_, commands) = harness.replied(2100.0, staged(&a, 2100.0, change, 2000.0));
    assert_eq!(unresponsive_nodes(&commands), ["b"], "it joined a fleet that was not fenced");
}

#[test]
fn a_dead_process_is_detected_by_its_address_and_its_replacement_must_stage() {
    let (old, new) = (process("a", 1), process("a", 2));
    let mut harness = LeaderHarness::new(UnreachableAction::Abort, &[&old]);
    let change = harness.propose(100.0);
    harness.replied(200.0, staged(&old, 190.0, change, 100.0));
    let probe = Effect::Probe { process: old.clone(), liveness_addr: liveness_addr() };
    assert!(harness.heartbeat(300.0, heartbeat(&new, None)).contains(&probe));
    let effects = harness.input(310.0, Input::ProbeResult { process: old.clone(), refused: true });
    assert_eq!(written(&effects), [mark_ended(&old, Proof::ConnectionRefused)]);
    let commands = written(&harness.write(320.0, &mark_ended(&old, Proof::ConnectionRefused)));
    let commands = if commands.is_empty() { written(&harness.input(330.0, Input::Tick)) } else { commands };
    assert!(matches!(&commands[..], [Command::Roster(RosterCommand::Join { .. })]), "{commands:?}");
    assert!(!is_commit(&written(&harness.write(340.0, &commands[0]))), "the new process counts");
    assert!(is_commit(&harness.replied(350.0, staged(&new, 345.0, change, 2000.0)).1));
}

#[test]
fn a_name_belongs_to_one_process_while_that_is_alive() {
    let (old, new) = (process("a", 1), process("a", 2));
    let mut harness = LeaderHarness::new(UnreachableAction::Abort, &[&old]);
    harness.replied(10.0, heartbeat(&old, None));
    harness.replied(20.0, heartbeat(&new, None));
    let effects = harness.input(30.0, Input::ProbeResult { process: old.clone(), refused: false });
    assert!(effects.contains(&Effect::Refuse { token: 2, reason: Refusal::NameInUse }), "{effects:?}");
    // Silent for a session timeout, with an address that does not refuse: the new process takes over the name.
    let (_, commands) = harness.replied(3010.0, heartbeat(&new, None));
    harness.write(3020.0, &commands[0]);
    let (reply, commands) = harness.replied(3030.0, heartbeat(&old, Some(10.0)));
    assert!(reply.expect("a former member").superseded && commands.is_empty());
}

#[test]
fn in_a_hot_upgrade_both_processes_are_members_until_the_older_one_leaves() {
    let (old, new) = (process("a", 1), process("a", 2));
    let mut harness = LeaderHarness::new(UnreachableAction::Abort, &[&old]);
    let (_, commands) =
        harness.replied(10.0, Heartbeat { coexists_with_previous: true, ..heartbeat(&new, None) });
    harness.write(20.0, &commands[0]);
    assert_eq!(harness.state.roster().len(), 2);
    let (reply, commands) = harness.replied(30.0, Heartbeat { leaving: true, ..heartbeat(&old, None) });
    assert_eq!((reply, &commands[..]), (None, &[mark_ended(&old, Proof::SessionClosed)][..]));
    let effects = harness.write(40.0, &commands[0]);
    assert!(matches!(&effects[..], [Effect::Reply { reply, .. }] if reply.superseded), "{effects:?}");
    assert_eq!(harness.replied(50.0, heartbeat(&old, None)).1, [], "a delayed heartbeat is no join");
    assert_eq!(harness.state.roster().len(), 1);
}

#[test]
fn an_epoch_known_to_a_member_is_not_assigned_to_another_policy() {
    let a = process("a", 1);
    let mut harness = LeaderHarness::new(UnreachableAction::Abort, &[&a]);
    let (_, commands) = harness.replied(10.0, Heartbeat { active_epoch: Some(7), ..heartbeat(&a, None) });
    harness.write(20.0, &commands[0]);
    assert_eq!(harness.apply(&propose(0)), Outcome::Proposed { change: ChangeId(3), epoch: 8 });
    let absurd = Heartbeat { active_epoch: Some(u64::MAX), ..heartbeat(&a, None) };
    assert_eq!(harness.replied(30.0, absurd).1, [], "an absurd epoch is ignored");
}

#[test]
fn the_log_has_one_pending_change_and_assigns_no_number_twice() {
    let mut log = FleetState::new();
    assert_eq!(log.apply(1, &propose(1)), Outcome::StaleEpoch { epoch: 0 });
    assert_eq!(log.apply(2, &propose(0)), Outcome::Proposed { change: ChangeId(2), epoch: 1 });
    assert_eq!(log.apply(3, &propose(0)), Outcome::ChangePending { change: ChangeId(2) });
    let abort = |change| Command::Policy(PolicyCommand::Abort { change, reason: AbortReason::Operator });
    assert_eq!(log.apply(4, &abort(ChangeId(2))), Outcome::Done);
    assert_eq!(log.apply(5, &abort(ChangeId(2))), Outcome::Obsolete);
    assert_eq!(log.apply(6, &propose(0)), Outcome::Proposed { change: ChangeId(6), epoch: 2 });
    let commit = Command::Policy(PolicyCommand::Commit {
        change: ChangeId(6),
        staged_members: vec![],
        fenced_members: vec![],
    });
    assert_eq!((log.apply(7, &commit), log.apply(8, &commit)), (Outcome::Done, Outcome::Obsolete));
    let bans = serde_json::json!({"ServerBans": vec!["x".repeat(64); 1100]});
    let too_large = Policy(bans.as_object().expect("a JSON object").clone());
    let propose = Command::Policy(PolicyCommand::Propose { base_epoch: 2, policy: too_large });
    assert_eq!(log.apply(9, &propose), Outcome::LimitExceeded);
}

#[test]
fn a_commit_may_fence_only_members_with_leases() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut log = FleetState::new();
    log.apply(1, &join(&a, true));
    log.apply(2, &join(&b, false));
    log.apply(3, &propose(0));
    let commit = |staged_members, fenced_members| {
        Command::Policy(PolicyCommand::Commit { change: ChangeId(3), staged_members, fenced_members })
    };
    let missing = vec![b.clone()];
    assert_eq!(
        log.apply(4, &commit(vec![], vec![a.clone(), b.clone()])),
        Outcome::MissingMembers { missing }
    );
    assert_eq!(log.apply(5, &commit(vec![b], vec![a])), Outcome::Done);
}

#[test]
fn the_replicated_state_is_bounded() {
    let mut log = FleetState::new();
    for boot in 0..roster::MAX_MEMBERS as u64 {
        assert_eq!(log.apply(boot + 1, &join(&process(&format!("n{boot}"), boot), false)), Outcome::Done);
    }
    assert_eq!(log.apply(5000, &join(&process("more", 1), false)), Outcome::LimitExceeded);
    assert_eq!(
        log.apply(5001, &join(&process("n7", 1), false)),
        Outcome::Done,
        "it replaces another process"
    );
    assert_eq!(log.apply(5002, &join(&process("n7", 7), false)), Outcome::Superseded);
    let coexisting = |boot| {
        let (process, liveness_addr) = (process("n7", boot), liveness_addr());
        Command::Roster(RosterCommand::Join {
            process,
            liveness_addr,
            coexists_with_previous: true,
            fenced: false,
            active_epoch: None,
        })
    };
    log.apply(5003, &Command::Roster(RosterCommand::RemoveNode { name: "n9".to_owned() }));
    assert_eq!(log.apply(5004, &coexisting(20)), Outcome::Done);
    assert_eq!(log.apply(5005, &join(&process(&"n".repeat(129), 1), false)), Outcome::LimitExceeded);
    for round in 0..40u64 {
        let id = ChangeId(6000 + 2 * round);
        log.apply(id.0, &propose(0));
        let reason = AbortReason::Unresponsive { nodes: vec!["n".to_owned(); 4096] };
        log.apply(id.0 + 1, &Command::Policy(PolicyCommand::Abort { change: id, reason }));
    }
    assert_eq!(log.policy_state().ended_changes().count(), policy::MAX_ENDED_CHANGES);
    assert_eq!(log.agreed_state().ended_changes.len(), policy::MAX_REPORTED_CHANGES);
    let is_truncated = |ended: &member::EndedChange| matches!(&ended.abort_reason, Some(AbortReason::Unresponsive { nodes }) if nodes.len() == 8);
    assert!(log.policy_state().ended_changes().all(is_truncated));
}

#[test]
fn a_snapshot_restores_the_state_and_a_newer_schema_is_refused() {
    let mut log = FleetState::new();
    log.apply(1, &join(&process("a", u64::MAX), true));
    log.apply(2, &join(&process("a", 2), true));
    log.apply(3, &propose(0));
    assert_eq!(FleetState::restore(&log.snapshot()).expect("a valid snapshot"), log);
    let newer = String::from_utf8(log.snapshot()).expect("JSON").replace("\"schema\":1", "\"schema\":3");
    let error = FleetState::restore(newer.as_bytes()).expect_err("a newer schema");
    assert!(error.contains("schema 3") && error.contains("up to 2"), "{error}");
    assert!(FleetState::restore(b"{\"schema\":1").is_err());
}

#[test]
fn invalid_settings_are_rejected_by_name() {
    let settings = LeaderSettings { promise_ms: 600.0, ..LeaderSettings::default() };
    assert!(settings
        .check()
        .expect_err("shorter than two heartbeats and the reserve")
        .to_string()
        .starts_with("promise_ms = 600"));
    assert!(
        LeaderSettings { session_timeout_ms: 2000.0, ..LeaderSettings::default() }.check().is_err(),
        "a lease would outlive a session"
    );
    assert!(LeaderSettings { heartbeat_interval_ms: f64::NAN, ..LeaderSettings::default() }.check().is_err());
}
