//! Model checking of a policy change: the real [`Member`], [`Leader`] and [`FleetState`] in a small world, with every
//! order of its events.
//!
//! The world: one change is proposed to a few nodes. Heartbeats and replies are lost, delayed, reordered or duplicated;
//! nodes pause, crash and restart; the leader is deposed at any moment, may continue without knowing it, and its last write may
//! have been committed or not; the outcome of a write may stay unknown; watches deliver any state of the log. Clocks
//! start at different times and differ in rate by the allowed maximum. The model assumes that the log has one order, because
//! that is tested with the consensus library.
//!
//! In every state each node is asked whether it would admit a request at that moment, so the model observes every
//! admission that a client could.

use std::fmt::{self, Write as _};
use std::hash::{Hash, Hasher};
use std::time::Instant;

use consensus::StateMachine as _;
use control::command::{Command, Outcome, PolicyCommand};
use control::leader::{Effect, Input, Leader, LeaderSettings, UnreachableAction};
use control::machine::FleetState;
use member::{
    AdmissionError, AgreedUpdate, Epoch, Heartbeat, HeartbeatReply, Member, MemberConfig, Millis, Policy,
    Process, StartMode, StateId, MAX_CLOCK_DRIFT,
};
use proptest::prelude::*;
use stateright::{Checker, Model, Property};

/// The duration of one tick on the slowest clock, in milliseconds.
const SLOW_TICK_MS: Millis = 1000.0;
/// The duration of one tick on the fastest clock, in milliseconds.
const FAST_TICK_MS: Millis = 1009.0;
/// The duration of promises and leases: after two ticks they have expired on a fast clock, but not on a slow one.
const PROMISE_MS: Millis = 2010.0;
/// The maximum duration of a promise, in ticks.
const MAX_PROMISE_TICKS: u8 = 2;

/// Deliberate defects, to show that the model finds them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutant {
    None,
    /// A member in doubt goes on admitting requests.
    AdmitsInDoubt,
    /// A commit is decided although promises have expired.
    CommitAfterPromise,
    /// The leader counts a promise from the heartbeat's arrival.
    PromiseFromArrival,
    /// The member counts its grants from the reply's arrival.
    GrantFromReply,
    /// Replies are sent without a confirmation of leadership.
    NoConfirmation,
    /// The leader ignores clock drift.
    NoDrift,
    /// A member gets a lease while a commit that counts it as fenced is in flight.
    LeaseDuringCommit,
    /// A member treats each reply as proof of the state that it knew, even if that is outdated.
    StaleProof,
}

/// The number of threads of the model checker.
const THREADS: usize = 8;
/// The number of states at which an exploration stops, and the test fails as incomplete; every world here has fewer.
const MAX_STATES: usize = 20_000_000;

#[derive(Clone, Debug)]
struct SmallWorld {
    unreachable_action: UnreachableAction,
    nodes: usize,
    /// The number of heartbeats that each node may send after the one that it joined with.
    heartbeats: u8,
    /// The number of them that may be in flight; beyond it the oldest is lost.
    max_in_flight: usize,
    /// The number of ticks until the end.
    ticks: u8,
    /// The maximum number of times that the leader is deposed.
    depositions: u8,
    /// A deposed leader continues. It can cause nothing without a confirmation or a write, which it does not get, so the
    /// larger worlds leave this out.
    deposed_leaders_continue: bool,
    /// The maximum number of times that a node restarts.
    restarts: u8,
    /// The maximum number of heartbeats that are delivered twice.
    duplicates: u8,
    /// The maximum number of writes with an unknown outcome.
    unknown_writes: u8,
    /// The duration of one tick on the leaders' clocks, in milliseconds.
    leader_tick: Millis,
    /// The duration of one tick on each node's clock, in milliseconds.
    node_tick: Millis,
    /// The defect that the world has.
    mutant: Mutant,
}

#[derive(Clone, Debug, PartialEq)]
struct Node {
    member: Member,
    boot: u64,
    /// The heartbeat that waits for its reply: its number, when it was created, and the state that it named.
    pending: Option<(u8, Millis, Option<StateId>)>,
    sent: u8,
    /// The highest epoch under which it admitted a request.
    highest_epoch: Epoch,
}

#[derive(Clone, Debug, PartialEq)]
struct LeaderReplica {
    term: u8,
    leader: Leader,
    /// The state that its replica has applied.
    applied: FleetState,
    writes: Vec<Command>,
}

/// A heartbeat: the node, its boot number, and the heartbeat's number.
type Token = (usize, u64, u8);

#[derive(Clone, Debug, PartialEq)]
struct State {
    tick: u8,
    log: FleetState,
    leaders: Vec<LeaderReplica>,
    nodes: Vec<Node>,
    heartbeats: Vec<(Token, Heartbeat)>,
    replies: Vec<(Token, HeartbeatReply)>,
    /// Writes with an unknown outcome.
    unknown_writes: Vec<Command>,
    restarts: u8,
    duplicates: u8,
    unknown_count: u8,
    /// When the change was committed: from then on a watching node may admit requests under its epoch.
    committed_at: Option<u8>,
    violation: Option<&'static str>,
}

/// Hashes the debug text, because floats implement no hash; the text contains the whole state.
impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        struct Text<'a, H>(&'a mut H);
        impl<H: Hasher> fmt::Write for Text<'_, H> {
            fn write_str(&mut self, text: &str) -> fmt::Result {
                self.0.write(text.as_bytes());
                Ok(())
            }
        }
        write!(Text(state), "{self:?}").expect("hashing never fails");
    }
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Action {
    Tick,
    /// A node sends a heartbeat, and gives up the pending one.
    SendHeartbeat(usize),
    /// A heartbeat (by index) arrives at a leader (by index), and stays in flight if it is duplicated.
    DeliverHeartbeat(usize, usize, bool),
    /// A reply (by index) arrives.
    DeliverReply(usize),
    /// A watch delivers the state of the log to a node.
    Watch(usize),
    /// The first of the leader's writes is applied, and the leader gets the outcome.
    Write,
    /// The outcome of the first of the leader's writes is unknown.
    LoseOutcome,
    /// A write with an unknown outcome is applied.
    ApplyUnknown,
    /// Another replica becomes leader; the first write of the old one was committed, or not.
    Depose(bool),
    /// A process crashes, and the node starts a new one.
    Restart(usize),
}

impl SmallWorld {
    fn settings(&self) -> LeaderSettings {
        let settings = LeaderSettings {
            unreachable_action: self.unreachable_action,
            heartbeat_interval_ms: 500.0,
            session_timeout_ms: 2100.0,
            stage_timeout_ms: 3000.0,
            promise_ms: PROMISE_MS,
            lease_ms: PROMISE_MS,
            commit_reserve_ms: 5.0,
        };
        settings.check().expect("valid settings");
        match self.mutant {
            Mutant::CommitAfterPromise => LeaderSettings { commit_reserve_ms: -9000.0, ..settings },
            Mutant::NoDrift => LeaderSettings {
                lease_ms: PROMISE_MS / (1.0 + MAX_CLOCK_DRIFT),
                promise_ms: PROMISE_MS / (1.0 - MAX_CLOCK_DRIFT),
                ..settings
            },
            _ => settings,
        }
    }

    fn node_clock(&self, tick: u8, node: usize) -> Millis {
        70_000.0 * (node + 1) as Millis + self.node_tick * Millis::from(tick)
    }

    fn leader_clock(&self, tick: u8, term: u8) -> Millis {
        500_000.0 * Millis::from(term) + self.leader_tick * Millis::from(tick)
    }

    fn new_leader(&self, tick: u8, term: u8, log: &FleetState) -> LeaderReplica {
        let leader = Leader::new(self.settings(), u64::from(term), self.leader_clock(tick, term));
        LeaderReplica { term, leader, applied: log.clone(), writes: Vec::new() }
    }

    fn new_member(&self, node: usize, boot: u64) -> Member {
        let process = Process { name: format!("n{node}"), boot };
        let liveness_addr =
            format!("127.0.0.1:{}", 100 * node as u64 + boot).parse().expect("a valid address");
        let config = MemberConfig {
            process,
            liveness_addr,
            coexists_with_previous: false,
            start_mode: StartMode::Wait,
        };
        Member::new(config, None, 0.0)
    }

    /// Returns the epoch under which a node would admit a request now.
    fn admit(&self, state: &State, node: usize) -> Result<Epoch, AdmissionError> {
        let member = &state.nodes[node].member;
        match member.admit(self.node_clock(state.tick, node)) {
            Err(AdmissionError::InDoubt) if self.mutant == Mutant::AdmitsInDoubt => {
                member.active_epoch().ok_or(AdmissionError::NoEpoch)
            }
            result => result,
        }
    }

    /// Lets a leader handle an input, and carries out those effects that are no action of their own.
    fn handle(&self, state: &mut State, index: usize, input: Input) {
        let now = self.leader_clock(state.tick, state.leaders[index].term);
        let LeaderReplica { leader, applied, .. } = &mut state.leaders[index];
        for effect in leader.handle(now, input, applied) {
            match effect {
                Effect::Reply { token, reply } => self.reply(state, token, *reply),
                Effect::Refuse { .. } => {}
                Effect::Write(command) => {
                    self.check_decision(state, &command);
                    state.leaders[index].writes.push(command);
                }
                Effect::ConfirmLeadership => {
                    if index + 1 == state.leaders.len() || self.mutant == Mutant::NoConfirmation {
                        self.handle(state, index, Input::Confirmed { requested_at: now });
                    }
                }
                Effect::Probe { process, .. } => {
                    let is_alive = state.nodes.iter().enumerate().any(|(node, other)| {
                        process == Process { name: format!("n{node}"), boot: other.boot }
                    });
                    self.handle(state, index, Input::ProbeResult { process, refused: !is_alive });
                }
            }
        }
    }

    fn reply(&self, state: &mut State, token: u64, mut reply: HeartbeatReply) {
        let token = ((token >> 16) as usize, (token >> 8) & 255, (token & 255) as u8);
        reply.promise_ms = PROMISE_MS;
        if reply.fenced && (self.mutant == Mutant::LeaseDuringCommit || reply.lease_ms.is_some()) {
            reply.lease_ms = Some(PROMISE_MS);
        }
        let node = &state.nodes[token.0];
        if node.boot == token.1 && node.pending.is_some_and(|(sent, ..)| sent == token.2) {
            state.replies.push((token, reply));
        }
    }

    /// Checks a decision to commit: each promise that it counts on must hold by the member's own clock.
    fn check_decision(&self, state: &mut State, command: &Command) {
        let Command::Policy(PolicyCommand::Commit { staged_members: staged, .. }) = command else { return };
        for (node, other) in state.nodes.iter().enumerate() {
            let process = Process { name: format!("n{node}"), boot: other.boot };
            let is_in_doubt =
                other.member.admit(self.node_clock(state.tick, node)) == Err(AdmissionError::InDoubt);
            if is_in_doubt && staged.contains(&process) {
                state.violation = Some("a commit was decided after a promise had expired");
            }
        }
    }

    /// Commits a command.
    fn commit(&self, state: &mut State, command: &Command) -> Outcome {
        let before = state.log.agreed_state();
        let outcome = state.log.apply(state.log.version() + 1, command);
        if let (Command::Policy(PolicyCommand::Commit { fenced_members: fenced, .. }), Outcome::Done) =
            (command, &outcome)
        {
            for node in 0..state.nodes.len() {
                let process = Process { name: format!("n{node}"), boot: state.nodes[node].boot };
                if fenced.contains(&process) && self.admit(state, node) == Ok(before.epoch) {
                    state.violation =
                        Some("a commit was made while a member that counts as fenced admits requests");
                }
            }
        }
        let agreed = state.log.agreed_state();
        if agreed.epoch < before.epoch || agreed.ended_changes.len() > 1 {
            state.violation = Some("the change has ended twice, or the agreed epoch has decreased");
        }
        if agreed.epoch > before.epoch {
            state.committed_at = Some(state.tick);
        }
        if let Some(current) = state.leaders.last_mut() {
            current.applied = state.log.clone();
        }
        outcome
    }

    fn member_effects(&self, state: &mut State, node: usize, effects: Vec<member::Effect>) {
        let now = self.node_clock(state.tick, node);
        for effect in effects {
            if let member::Effect::Check(change) = effect {
                state.nodes[node].member.on_check_result(change.id, Ok(()), now);
            }
        }
    }

    /// Asks each node whether it would admit a request now, and checks the answers.
    fn observe(&self, state: &mut State) {
        for node in 0..state.nodes.len() {
            let Ok(epoch) = self.admit(state, node) else { continue };
            let is_aborted =
                |ended: &member::EndedChange| ended.epoch == epoch && ended.abort_reason.is_some();
            if state.log.policy_state().ended_changes().any(is_aborted)
                || epoch > state.log.policy_state().epoch()
            {
                state.violation = Some("a request was admitted under an epoch that was not agreed");
            }
            if epoch < state.nodes[node].highest_epoch {
                state.violation = Some("a node's epoch has decreased");
            }
            state.nodes[node].highest_epoch = epoch;
            let is_overdue =
                state.committed_at.is_some_and(|committed| state.tick > committed + MAX_PROMISE_TICKS);
            if epoch < state.log.policy_state().epoch() && is_overdue {
                state.violation =
                    Some("a request was admitted under the old epoch too long after the commit");
            }
        }
        state.heartbeats.sort_by_key(|message| message.0);
        state.replies.sort_by_key(|message| message.0);
    }

    fn act(&self, state: &mut State, action: Action) {
        let tick = state.tick;
        let current = state.leaders.len() - 1;
        match action {
            Action::Tick => {
                state.tick += 1;
                for index in 0..state.leaders.len() {
                    self.handle(state, index, Input::Tick);
                }
            }
            Action::SendHeartbeat(node) => {
                let now = self.node_clock(tick, node);
                state.replies.retain(|(token, _)| token.0 != node);
                let other = &mut state.nodes[node];
                other.sent += 1;
                let heartbeat = other.member.heartbeat(now);
                other.pending = Some((other.sent, now, heartbeat.known_state));
                state.heartbeats.push(((node, other.boot, other.sent), heartbeat));
                if state.heartbeats.iter().filter(|(token, _)| token.0 == node).count() > self.max_in_flight {
                    let oldest = state.heartbeats.iter().position(|(token, _)| token.0 == node);
                    state.heartbeats.remove(oldest.expect("the sent heartbeat is in flight"));
                }
            }
            Action::DeliverHeartbeat(index, leader, duplicated) => {
                let (token, mut heartbeat) = state.heartbeats[index].clone();
                if duplicated {
                    state.duplicates += 1;
                } else {
                    state.heartbeats.remove(index);
                }
                let now = self.leader_clock(tick, state.leaders[leader].term);
                match (&mut heartbeat.echoed_stamp, &mut heartbeat.stage_reply, self.mutant) {
                    (Some(stamp), _, Mutant::PromiseFromArrival) => stamp.time = now,
                    (_, Some(member::StageReply::Staged { remaining_ms, .. }), Mutant::NoDrift) => {
                        *remaining_ms /= 1.0 - MAX_CLOCK_DRIFT
                    }
                    _ => {}
                }
                let token = ((token.0 as u64) << 16) | (token.1 << 8) | u64::from(token.2);
                self.handle(state, leader, Input::Heartbeat { token, heartbeat });
            }
            Action::DeliverReply(index) => {
                let ((node, ..), mut reply) = state.replies.remove(index);
                // A duplicated heartbeat may have two replies; the caller uses the first one.
                state.replies.retain(|(token, _)| token.0 != node);
                let now = self.node_clock(tick, node);
                let (_, mut sent_at, known) =
                    state.nodes[node].pending.take().expect("a reply is kept only for a pending heartbeat");
                if self.mutant == Mutant::GrantFromReply {
                    sent_at = now;
                }
                if let Some(known) = known.filter(|_| self.mutant == Mutant::StaleProof) {
                    reply.update = AgreedUpdate::Unchanged(known);
                }
                let effects = state.nodes[node].member.on_reply(sent_at, reply, now);
                self.member_effects(state, node, effects);
            }
            Action::Watch(node) => {
                let now = self.node_clock(tick, node);
                let agreed = state.log.agreed_state();
                let effects = state.nodes[node].member.on_agreed_state(agreed, now);
                self.member_effects(state, node, effects);
            }
            Action::Write => {
                let command = state.leaders[current].writes.remove(0);
                let outcome = Some(self.commit(state, &command));
                self.handle(state, current, Input::WriteResult { command, outcome });
            }
            Action::LoseOutcome => {
                state.unknown_count += 1;
                let command = state.leaders[current].writes.remove(0);
                state.unknown_writes.push(command.clone());
                self.handle(state, current, Input::WriteResult { command, outcome: None });
            }
            Action::ApplyUnknown => {
                let command = state.unknown_writes.remove(0);
                self.commit(state, &command);
                self.handle(state, current, Input::Applied);
            }
            Action::Depose(write_committed) => {
                let mut old = state.leaders[current].clone();
                if let Some(command) = old.writes.first().filter(|_| write_committed) {
                    self.commit(state, command);
                }
                old.writes.clear();
                let next = self.new_leader(tick, old.term + 1, &state.log);
                state.unknown_writes.clear();
                state.leaders = if self.deposed_leaders_continue { vec![old, next] } else { vec![next] };
                self.handle(state, state.leaders.len() - 1, Input::Applied);
            }
            Action::Restart(node) => {
                state.restarts += 1;
                let other = &mut state.nodes[node];
                other.boot += 1;
                other.pending = None;
                other.member = self.new_member(node, other.boot);
                state.replies.retain(|(token, _)| token.0 != node);
            }
        }
        self.observe(state);
    }

    /// Collects the actions that are possible next.
    fn possible_actions(&self, state: &State, actions: &mut Vec<Action>) {
        let current = state.leaders.len() - 1;
        if state.tick < self.ticks {
            actions.push(Action::Tick);
        }
        for (node, other) in state.nodes.iter().enumerate() {
            if other.sent < self.heartbeats + 1 {
                actions.push(Action::SendHeartbeat(node));
            }
            actions.push(Action::Watch(node));
            if state.restarts < self.restarts {
                actions.push(Action::Restart(node));
            }
        }
        for index in 0..state.heartbeats.len() {
            for leader in 0..state.leaders.len() {
                actions.push(Action::DeliverHeartbeat(index, leader, false));
                if state.duplicates < self.duplicates {
                    actions.push(Action::DeliverHeartbeat(index, leader, true));
                }
            }
        }
        actions.extend((0..state.replies.len()).map(Action::DeliverReply));
        let write = state.leaders[current].writes.first();
        if write.is_some() {
            actions.push(Action::Write);
            if state.unknown_count < self.unknown_writes {
                actions.push(Action::LoseOutcome);
            }
        }
        if !state.unknown_writes.is_empty() {
            actions.push(Action::ApplyUnknown);
        }
        if state.leaders[current].term <= self.depositions {
            actions.push(Action::Depose(false));
            if write.is_some() {
                actions.push(Action::Depose(true));
            }
        }
    }

    /// Returns the initial state: all nodes have joined under the first leader, and a change is proposed.
    fn initial_state(&self) -> State {
        let log = FleetState::new();
        let mut state = State {
            tick: 0,
            leaders: vec![self.new_leader(0, 1, &log)],
            log,
            nodes: Vec::new(),
            heartbeats: Vec::new(),
            replies: Vec::new(),
            unknown_writes: Vec::new(),
            restarts: 0,
            duplicates: 0,
            unknown_count: 0,
            committed_at: None,
            violation: None,
        };
        for node in 0..self.nodes {
            let member = self.new_member(node, 1);
            state.nodes.push(Node { member, boot: 1, pending: None, sent: 0, highest_epoch: 0 });
            self.act(&mut state, Action::SendHeartbeat(node));
            self.act(&mut state, Action::DeliverHeartbeat(0, 0, false));
            self.act(&mut state, Action::Write);
            self.act(&mut state, Action::DeliverReply(0));
        }
        let propose = PolicyCommand::Propose { base_epoch: 0, policy: Policy::default() };
        self.commit(&mut state, &Command::Policy(propose));
        self.handle(&mut state, 0, Input::Applied);
        state
    }
}

impl Model for SmallWorld {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        // Once every node knows the outcome, nothing more can happen.
        let agreed = state.log.policy_state();
        let is_settled = agreed.pending_change().is_none()
            && state.nodes.iter().all(|node| {
                node.member.active_epoch() == Some(agreed.epoch()) && node.member.pending_change().is_none()
            });
        if state.violation.is_none() && !is_settled {
            self.possible_actions(state, actions);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        self.act(&mut state, action);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the rules hold", |_, state: &State| state.violation.is_none()),
            Property::sometimes("a change takes hold everywhere", |model: &SmallWorld, state: &State| {
                (0..state.nodes.len()).all(|node| model.admit(state, node) == Ok(1))
            }),
            Property::sometimes("a change is aborted", |_, state: &State| {
                state.log.policy_state().ended_changes().any(|ended| ended.abort_reason.is_some())
            }),
        ]
    }
}

fn small_world(unreachable_action: UnreachableAction) -> SmallWorld {
    SmallWorld {
        unreachable_action,
        nodes: 1,
        heartbeats: 3,
        max_in_flight: 2,
        ticks: 4,
        depositions: 0,
        deposed_leaders_continue: false,
        restarts: 0,
        duplicates: 0,
        unknown_writes: 0,
        leader_tick: SLOW_TICK_MS,
        node_tick: FAST_TICK_MS,
        mutant: Mutant::None,
    }
}

/// Explores a world completely. Returns a violation, with the actions that lead to it.
fn explore(model: SmallWorld) -> Option<String> {
    let (started, title, is_correct) = (Instant::now(), format!("{model:?}"), model.mutant == Mutant::None);
    let checker = model.checker().threads(THREADS).target_state_count(MAX_STATES).spawn_dfs().join();
    let states = checker.unique_state_count();
    println!("{states} states, {:.1} s: {title}", started.elapsed().as_secs_f64());
    let violation = checker.discovery("the rules hold").map(|path| {
        let violation = path.last_state().violation.expect("the path is a counterexample");
        format!("{violation}: {:?}", path.into_actions())
    });
    if is_correct && violation.is_none() {
        assert!(states < MAX_STATES, "the world was not explored completely");
        for outcome in ["a change takes hold everywhere", "a change is aborted"] {
            assert!(checker.discovery(outcome).is_some(), "never reached in this world: {outcome}");
        }
    }
    violation
}

/// Returns a world for each action on unreachable members, with the leaders' clocks slower and faster than the nodes'.
fn modes() -> Vec<SmallWorld> {
    let mut modes = Vec::new();
    for unreachable_action in [UnreachableAction::Abort, UnreachableAction::Fence] {
        for (leader_tick, node_tick) in [(SLOW_TICK_MS, FAST_TICK_MS), (FAST_TICK_MS, SLOW_TICK_MS)] {
            modes.push(SmallWorld { leader_tick, node_tick, ..small_world(unreachable_action) });
        }
    }
    modes
}

fn assert_no_violation(worlds: impl IntoIterator<Item = SmallWorld>) {
    for world in worlds {
        assert_eq!(explore(world), None);
    }
}

#[test]
fn no_rule_is_violated_in_small_worlds() {
    assert_no_violation(modes().into_iter().map(|mode| SmallWorld { max_in_flight: 1, ..mode }));
    for mode in [UnreachableAction::Abort, UnreachableAction::Fence] {
        assert_no_violation([SmallWorld {
            heartbeats: 2,
            max_in_flight: 1,
            depositions: 1,
            deposed_leaders_continue: true,
            ..small_world(mode)
        }]);
    }
}

/// `cargo test --release -p control --test model -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes and an optimised build"]
fn no_rule_is_violated_in_larger_worlds() {
    assert_no_violation(modes().into_iter().map(|mode| SmallWorld { depositions: 1, ..mode }));
    assert_no_violation(modes().into_iter().map(|mode| SmallWorld {
        heartbeats: 2,
        depositions: 1,
        restarts: 1,
        ..mode
    }));
    assert_no_violation(modes().into_iter().map(|mode| SmallWorld {
        heartbeats: 2,
        unknown_writes: 1,
        duplicates: 1,
        restarts: 1,
        ..mode
    }));
}

/// Run it like `no_rule_is_violated_in_larger_worlds`.
#[test]
#[ignore = "takes minutes and an optimised build"]
fn no_rule_is_violated_with_two_nodes() {
    assert_no_violation(modes().into_iter().map(|mode| SmallWorld {
        nodes: 2,
        heartbeats: 2,
        max_in_flight: 1,
        ticks: 3,
        ..mode
    }));
}

#[test]
fn deliberate_defects_are_found() {
    use Mutant::*;
    use UnreachableAction::*;
    for (unreachable_action, mutant) in [
        (Abort, AdmitsInDoubt),
        (Abort, CommitAfterPromise),
        (Abort, PromiseFromArrival),
        (Abort, GrantFromReply),
        (Abort, NoConfirmation),
        (Abort, NoDrift),
        (Abort, StaleProof),
        (Fence, GrantFromReply),
        (Fence, NoConfirmation),
        (Fence, NoDrift),
        (Fence, LeaseDuringCommit),
        (Fence, StaleProof),
    ] {
        let depositions = u8::from(mutant == NoConfirmation);
        let mut world = SmallWorld {
            mutant,
            depositions,
            deposed_leaders_continue: mutant == NoConfirmation,
            ..small_world(unreachable_action)
        };
        if (unreachable_action, mutant) == (Fence, NoDrift) {
            (world.leader_tick, world.node_tick) = (FAST_TICK_MS, SLOW_TICK_MS);
        }
        let found = explore(world);
        println!("{unreachable_action:?}, {mutant:?}: {found:?}");
        assert!(found.is_some(), "{unreachable_action:?}, {mutant:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    /// One random path through each world, because these are too large to explore completely.
    #[test]
    fn no_rule_is_violated_on_random_paths_through_large_worlds(
        fence in any::<bool>(),
        fast_leader in any::<bool>(),
        choices in proptest::collection::vec(any::<prop::sample::Index>(), 150),
    ) {
        let (leader_tick, node_tick) = if fast_leader { (FAST_TICK_MS, SLOW_TICK_MS) } else { (SLOW_TICK_MS, FAST_TICK_MS) };
        let unreachable_action = if fence { UnreachableAction::Fence } else { UnreachableAction::Abort };
        let (nodes, heartbeats, max_in_flight, ticks, deposed_leaders_continue) = (3, 12, 3, 9, true);
        let (depositions, restarts, duplicates, unknown_writes) = (2, 2, 4, 2);
        let world = SmallWorld {
            unreachable_action, nodes, heartbeats, max_in_flight, ticks, depositions, deposed_leaders_continue, restarts,
            duplicates, unknown_writes, leader_tick, node_tick, mutant: Mutant::None,
        };
        let mut state = world.initial_state();
        let mut path = Vec::new();
        for choice in choices {
            let mut actions = Vec::new();
            world.actions(&state, &mut actions);
            if actions.is_empty() {
                break;
            }
            let action = actions[choice.index(actions.len())];
            path.push(action);
            world.act(&mut state, action);
            prop_assert_eq!(state.violation, None, "{:?}", path);
        }
    }
}
