//! Model checking of a change of policy: the real [`Member`], [`Leader`] and [`Agreement`] in a small world, in every
//! order of its events.
//!
//! The world: one change is proposed to a few nodes. Beats and answers are lost, late, out of order or repeated;
//! nodes stop (nothing happens at them for a while), die and start anew; the leader is deposed at any moment, does not
//! know it and goes on, and its last write may have been carried over or not; a write may be of unknown fate; watches
//! bring any state of the log. Clocks start at different times and differ in rate by as much as they may. The log's
//! order is given: that is the consensus library's business.
//!
//! Every state asks each node whether it would take a request now. So whatever a client could see, the model sees.

use std::fmt::{self, Write as _};
use std::hash::{Hash, Hasher};
use std::time::Instant;

use consensus::StateMachine as _;
use control::command::{Command, Outcome, PolicyCommand};
use control::leader::{Effect, Input, Leader, Terms, Unreachable};
use control::machine::Agreement;
use member::{
    AdmissionError, AgreedUpdate, Epoch, Heartbeat, HeartbeatReply, Member, MemberConfig, Millis, Policy,
    Process, StartMode, StateId, MAX_CLOCK_DRIFT,
};
use proptest::prelude::*;
use stateright::{Checker, Model, Property};

/// A world's tick on a clock that goes slowest, and on one that goes fastest.
const SLOW: Millis = 1000.0;
const FAST: Millis = 1009.0;
/// Promises and leases: a fast clock is past them at the second tick, a slow one is not.
const SPAN: Millis = 2010.0;
/// How many ticks a promise may last.
const BOUND: u8 = 2;

/// What is wrong with the program on purpose, to see that the model finds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutant {
    None,
    /// A member in doubt goes on.
    NoDoubt,
    /// A commit is decided although promises have passed.
    LateCommit,
    /// The leader counts a promise from the beat's coming.
    FromComing,
    /// The member counts what it is granted from the answer's coming.
    FromAnswer,
    /// Answers go out without a confirm.
    NoConfirm,
    /// The leader takes clocks to be alike.
    NoDrift,
    /// A member gets a lease also while a commit that counts it as fenced is on its way.
    NoFreeze,
    /// A member takes each answer for one that shows what it knew, also where that is over.
    OldNews,
}

const THREADS: usize = 8;
/// More states than any of these worlds has.
const MOST: usize = 20_000_000;

#[derive(Clone, Debug)]
struct Small {
    unreachable: Unreachable,
    nodes: usize,
    /// Beats that each node may send, besides the one that it joined by.
    beats: u8,
    /// How many of them may be on their way; more, and the oldest is lost.
    late: usize,
    ticks: u8,
    depositions: u8,
    /// A deposed leader goes on. All that it can bring about needs a confirm or a write, which it does not get: the
    /// larger worlds leave it out.
    ghosts: bool,
    restarts: u8,
    /// Messages that come twice.
    repeats: u8,
    /// Writes of unknown fate.
    unknown: u8,
    /// Ticks of the leaders' clocks and of each node's.
    leader_rate: Millis,
    node_rate: Millis,
    mutant: Mutant,
}

#[derive(Clone, Debug, PartialEq)]
struct Node {
    member: Member,
    boot: u64,
    /// The beat that waits for its answer, when it was handed out, and what it named.
    out: Option<(u8, Millis, Option<StateId>)>,
    sent: u8,
    /// The highest epoch that it took a request under.
    top: Epoch,
}

#[derive(Clone, Debug, PartialEq)]
struct Lead {
    term: u8,
    leader: Leader,
    /// What its replica has applied.
    view: Agreement,
    writes: Vec<Command>,
}

/// Of which process, and its how manieth beat.
type Token = (usize, u64, u8);

#[derive(Clone, Debug, PartialEq)]
struct State {
    tick: u8,
    log: Agreement,
    leads: Vec<Lead>,
    nodes: Vec<Node>,
    beats: Vec<(Token, Heartbeat)>,
    answers: Vec<(Token, HeartbeatReply)>,
    /// Writes of unknown fate.
    maybe: Vec<Command>,
    restarts: u8,
    repeats: u8,
    unknown: u8,
    /// When the change was committed: a node that watches may take requests under its epoch from then on.
    committed: Option<u8>,
    bad: Option<&'static str>,
}

/// The state's debug text is its identity: it tells all, and floats have no hash.
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
    /// A node sends a beat, and gives up the one that is out.
    Beat(usize),
    /// A beat (by its place) comes to a leader; and stays, to come again.
    Come(usize, usize, bool),
    /// An answer (by its place) comes.
    Answer(usize),
    /// A watch brings the state of the log.
    News(usize),
    /// The first of the leader's writes is applied, and it hears of it; or it does not hear.
    Write,
    Unknown,
    /// A write of unknown fate is applied after all.
    Late,
    /// Another replica leads; the first write of the old one was carried over, or not.
    Depose(bool),
    /// A process dies and another starts in its place.
    Restart(usize),
}

impl Small {
    fn terms(&self) -> Terms {
        let terms = Terms {
            unreachable: self.unreachable,
            beat_ms: 500.0,
            session_ms: 2100.0,
            stage_ms: 3000.0,
            promise_ms: SPAN,
            lease_ms: SPAN,
            reserve_ms: 5.0,
        };
        terms.check().expect("they hold");
        match self.mutant {
            Mutant::LateCommit => Terms { reserve_ms: -9000.0, ..terms },
            Mutant::NoDrift => Terms {
                lease_ms: SPAN / (1.0 + MAX_CLOCK_DRIFT),
                promise_ms: SPAN / (1.0 - MAX_CLOCK_DRIFT),
                ..terms
            },
            _ => terms,
        }
    }

    fn node_clock(&self, tick: u8, node: usize) -> Millis {
        70_000.0 * (node + 1) as Millis + self.node_rate * Millis::from(tick)
    }

    fn leader_clock(&self, tick: u8, term: u8) -> Millis {
        500_000.0 * Millis::from(term) + self.leader_rate * Millis::from(tick)
    }

    fn leader(&self, tick: u8, term: u8, log: &Agreement) -> Lead {
        let leader = Leader::new(self.terms(), u64::from(term), self.leader_clock(tick, term));
        Lead { term, leader, view: log.clone(), writes: Vec::new() }
    }

    fn process(&self, node: usize, boot: u64) -> Member {
        let process = Process { name: format!("n{node}"), boot };
        let liveness_addr = format!("127.0.0.1:{}", 100 * node as u64 + boot).parse().expect("an address");
        let config = MemberConfig {
            process,
            liveness_addr,
            coexists_with_previous: false,
            start_mode: StartMode::Wait,
        };
        Member::new(config, None, 0.0)
    }

    /// Whether a node would take a request now.
    fn admit(&self, state: &State, node: usize) -> Result<Epoch, AdmissionError> {
        let member = &state.nodes[node].member;
        match member.admit(self.node_clock(state.tick, node)) {
            Err(AdmissionError::InDoubt) if self.mutant == Mutant::NoDoubt => {
                member.active_epoch().ok_or(AdmissionError::NoEpoch)
            }
            result => result,
        }
    }

    /// A leader takes an input, and what it wants is done as far as it needs no event of its own.
    fn lead(&self, state: &mut State, lead: usize, input: Input) {
        let now = self.leader_clock(state.tick, state.leads[lead].term);
        let Lead { leader, view, .. } = &mut state.leads[lead];
        for effect in leader.handle(now, input, view) {
            match effect {
                Effect::Answer { token, answer } => self.answer(state, token, *answer),
                Effect::Refuse { .. } => {}
                Effect::Write(command) => {
                    self.decided(state, &command);
                    state.leads[lead].writes.push(command);
                }
                Effect::Confirm => {
                    if lead + 1 == state.leads.len() || self.mutant == Mutant::NoConfirm {
                        self.lead(state, lead, Input::Confirmed { asked: now });
                    }
                }
                Effect::Probe { process, .. } => {
                    let alive = state.nodes.iter().enumerate().any(|(node, other)| {
                        process == Process { name: format!("n{node}"), boot: other.boot }
                    });
                    self.lead(state, lead, Input::Probed { process, refused: !alive });
                }
            }
        }
    }

    fn answer(&self, state: &mut State, token: u64, mut answer: HeartbeatReply) {
        let token = ((token >> 16) as usize, (token >> 8) & 255, (token & 255) as u8);
        answer.promise_ms = SPAN;
        if answer.fenced && (self.mutant == Mutant::NoFreeze || answer.lease_ms.is_some()) {
            answer.lease_ms = Some(SPAN);
        }
        let node = &state.nodes[token.0];
        if node.boot == token.1 && node.out.is_some_and(|(sent, ..)| sent == token.2) {
            state.answers.push((token, answer));
        }
    }

    /// A commit is decided: each promise that it counts on must hold by the member's own clock.
    fn decided(&self, state: &mut State, command: &Command) {
        let Command::Policy(PolicyCommand::Commit { staged, .. }) = command else { return };
        for (node, other) in state.nodes.iter().enumerate() {
            let process = Process { name: format!("n{node}"), boot: other.boot };
            let doubt = other.member.admit(self.node_clock(state.tick, node)) == Err(AdmissionError::InDoubt);
            if doubt && staged.contains(&process) {
                state.bad = Some("a commit was decided when a promise had passed");
            }
        }
    }

    /// A command is committed.
    fn commit(&self, state: &mut State, command: &Command) -> Outcome {
        let before = state.log.agreed();
        let outcome = state.log.apply(state.log.version() + 1, command);
        if let (Command::Policy(PolicyCommand::Commit { fenced, .. }), Outcome::Done) = (command, &outcome) {
            for node in 0..state.nodes.len() {
                let process = Process { name: format!("n{node}"), boot: state.nodes[node].boot };
                if fenced.contains(&process) && self.admit(state, node) == Ok(before.epoch) {
                    state.bad = Some("a commit was made while a member that counts as fenced takes requests");
                }
            }
        }
        let agreed = state.log.agreed();
        if agreed.epoch < before.epoch || agreed.ended_changes.len() > 1 {
            state.bad = Some("the change has ended twice, or the agreed epoch has gone back");
        }
        if agreed.epoch > before.epoch {
            state.committed = Some(state.tick);
        }
        if let Some(lead) = state.leads.last_mut() {
            lead.view = state.log.clone();
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

    /// Each node is asked whether it would take a request now.
    fn observe(&self, state: &mut State) {
        for node in 0..state.nodes.len() {
            let Ok(epoch) = self.admit(state, node) else { continue };
            let aborted = |ended: &member::EndedChange| ended.epoch == epoch && ended.abort_reason.is_some();
            if state.log.book().ended().any(aborted) || epoch > state.log.book().epoch() {
                state.bad = Some("a request was taken under an epoch that was not agreed");
            }
            if epoch < state.nodes[node].top {
                state.bad = Some("a node's epoch has gone back");
            }
            state.nodes[node].top = epoch;
            let over = state.committed.is_some_and(|committed| state.tick > committed + BOUND);
            if epoch < state.log.book().epoch() && over {
                state.bad = Some("a request was taken under the old epoch too long after the commit");
            }
        }
        state.beats.sort_by_key(|flight| flight.0);
        state.answers.sort_by_key(|flight| flight.0);
    }

    fn act(&self, state: &mut State, action: Action) {
        let tick = state.tick;
        let current = state.leads.len() - 1;
        match action {
            Action::Tick => {
                state.tick += 1;
                for lead in 0..state.leads.len() {
                    self.lead(state, lead, Input::Tick);
                }
            }
            Action::Beat(node) => {
                let now = self.node_clock(tick, node);
                state.answers.retain(|(token, _)| token.0 != node);
                let other = &mut state.nodes[node];
                other.sent += 1;
                let beat = other.member.heartbeat(now);
                other.out = Some((other.sent, now, beat.known_state));
                state.beats.push(((node, other.boot, other.sent), beat));
                if state.beats.iter().filter(|(token, _)| token.0 == node).count() > self.late {
                    let oldest = state.beats.iter().position(|(token, _)| token.0 == node);
                    state.beats.remove(oldest.expect("there are some"));
                }
            }
            Action::Come(place, lead, again) => {
                let (token, mut beat) = state.beats[place].clone();
                if again {
                    state.repeats += 1;
                } else {
                    state.beats.remove(place);
                }
                let now = self.leader_clock(tick, state.leads[lead].term);
                match (&mut beat.echoed_stamp, &mut beat.stage_reply, self.mutant) {
                    (Some(echo), _, Mutant::FromComing) => echo.time = now,
                    (_, Some(member::StageReply::Staged { remaining_ms: left_ms, .. }), Mutant::NoDrift) => {
                        *left_ms /= 1.0 - MAX_CLOCK_DRIFT
                    }
                    _ => {}
                }
                let token = ((token.0 as u64) << 16) | (token.1 << 8) | u64::from(token.2);
                self.lead(state, lead, Input::Beat { token, beat });
            }
            Action::Answer(place) => {
                let ((node, ..), mut answer) = state.answers.remove(place);
                // A beat that came twice may have been answered twice; the caller takes the first answer.
                state.answers.retain(|(token, _)| token.0 != node);
                let now = self.node_clock(tick, node);
                let (_, mut sent, known) =
                    state.nodes[node].out.take().expect("answers to no beat are not kept");
                if self.mutant == Mutant::FromAnswer {
                    sent = now;
                }
                if let Some(known) = known.filter(|_| self.mutant == Mutant::OldNews) {
                    answer.update = AgreedUpdate::Unchanged(known);
                }
                let effects = state.nodes[node].member.on_reply(sent, answer, now);
                self.member_effects(state, node, effects);
            }
            Action::News(node) => {
                let now = self.node_clock(tick, node);
                let agreed = state.log.agreed();
                let effects = state.nodes[node].member.on_agreed_state(agreed, now);
                self.member_effects(state, node, effects);
            }
            Action::Write => {
                let command = state.leads[current].writes.remove(0);
                let outcome = Some(self.commit(state, &command));
                self.lead(state, current, Input::Written { command, outcome });
            }
            Action::Unknown => {
                state.unknown += 1;
                let command = state.leads[current].writes.remove(0);
                state.maybe.push(command.clone());
                self.lead(state, current, Input::Written { command, outcome: None });
            }
            Action::Late => {
                let command = state.maybe.remove(0);
                self.commit(state, &command);
                self.lead(state, current, Input::Applied);
            }
            Action::Depose(carried) => {
                let mut old = state.leads[current].clone();
                if let Some(command) = old.writes.first().filter(|_| carried) {
                    self.commit(state, command);
                }
                old.writes.clear();
                let next = self.leader(tick, old.term + 1, &state.log);
                state.maybe.clear();
                state.leads = if self.ghosts { vec![old, next] } else { vec![next] };
                self.lead(state, state.leads.len() - 1, Input::Applied);
            }
            Action::Restart(node) => {
                state.restarts += 1;
                let other = &mut state.nodes[node];
                other.boot += 1;
                other.out = None;
                other.member = self.process(node, other.boot);
                state.answers.retain(|(token, _)| token.0 != node);
            }
        }
        self.observe(state);
    }

    /// What may happen next.
    fn possible(&self, state: &State, actions: &mut Vec<Action>) {
        let current = state.leads.len() - 1;
        if state.tick < self.ticks {
            actions.push(Action::Tick);
        }
        for (node, other) in state.nodes.iter().enumerate() {
            if other.sent < self.beats + 1 {
                actions.push(Action::Beat(node));
            }
            actions.push(Action::News(node));
            if state.restarts < self.restarts {
                actions.push(Action::Restart(node));
            }
        }
        for place in 0..state.beats.len() {
            for lead in 0..state.leads.len() {
                actions.push(Action::Come(place, lead, false));
                if state.repeats < self.repeats {
                    actions.push(Action::Come(place, lead, true));
                }
            }
        }
        actions.extend((0..state.answers.len()).map(Action::Answer));
        let write = state.leads[current].writes.first();
        if write.is_some() {
            actions.push(Action::Write);
            if state.unknown < self.unknown {
                actions.push(Action::Unknown);
            }
        }
        if !state.maybe.is_empty() {
            actions.push(Action::Late);
        }
        if state.leads[current].term <= self.depositions {
            actions.push(Action::Depose(false));
            if write.is_some() {
                actions.push(Action::Depose(true));
            }
        }
    }

    /// All nodes have joined under the first leader, and a change is proposed.
    fn start(&self) -> State {
        let log = Agreement::new();
        let mut state = State {
            tick: 0,
            leads: vec![self.leader(0, 1, &log)],
            log,
            nodes: Vec::new(),
            beats: Vec::new(),
            answers: Vec::new(),
            maybe: Vec::new(),
            restarts: 0,
            repeats: 0,
            unknown: 0,
            committed: None,
            bad: None,
        };
        for node in 0..self.nodes {
            let member = self.process(node, 1);
            state.nodes.push(Node { member, boot: 1, out: None, sent: 0, top: 0 });
            self.act(&mut state, Action::Beat(node));
            self.act(&mut state, Action::Come(0, 0, false));
            self.act(&mut state, Action::Write);
            self.act(&mut state, Action::Answer(0));
        }
        let propose = PolicyCommand::Propose { base: 0, policy: Policy::default() };
        self.commit(&mut state, &Command::Policy(propose));
        self.lead(&mut state, 0, Input::Applied);
        state
    }
}

impl Model for Small {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.start()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        // When all is known everywhere, nothing more can come of it.
        let agreed = state.log.book();
        let settled = agreed.change().is_none()
            && state.nodes.iter().all(|node| {
                node.member.active_epoch() == Some(agreed.epoch()) && node.member.pending_change().is_none()
            });
        if state.bad.is_none() && !settled {
            self.possible(state, actions);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        self.act(&mut state, action);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the rules hold", |_, state: &State| state.bad.is_none()),
            Property::sometimes("a change takes hold everywhere", |model: &Small, state: &State| {
                (0..state.nodes.len()).all(|node| model.admit(state, node) == Ok(1))
            }),
            Property::sometimes("a change is aborted", |_, state: &State| {
                state.log.book().ended().any(|ended| ended.abort_reason.is_some())
            }),
        ]
    }
}

fn small(unreachable: Unreachable) -> Small {
    Small {
        unreachable,
        nodes: 1,
        beats: 3,
        late: 2,
        ticks: 4,
        depositions: 0,
        ghosts: false,
        restarts: 0,
        repeats: 0,
        unknown: 0,
        leader_rate: SLOW,
        node_rate: FAST,
        mutant: Mutant::None,
    }
}

/// Explores all of a world. What was found wrong, with the way there.
fn explore(model: Small) -> Option<String> {
    let (began, title, right) = (Instant::now(), format!("{model:?}"), model.mutant == Mutant::None);
    let checker = model.checker().threads(THREADS).target_state_count(MOST).spawn_dfs().join();
    let states = checker.unique_state_count();
    println!("{states} states, {:.1} s: {title}", began.elapsed().as_secs_f64());
    let wrong = checker.discovery("the rules hold").map(|path| {
        let bad = path.last_state().bad.expect("it is the counterexample");
        format!("{bad}: {:?}", path.into_actions())
    });
    if right && wrong.is_none() {
        assert!(states < MOST, "not all of it was explored");
        for outcome in ["a change takes hold everywhere", "a change is aborted"] {
            assert!(checker.discovery(outcome).is_some(), "never in this world: {outcome}");
        }
    }
    wrong
}

/// Each mode, with the clocks' rates either way.
fn modes() -> Vec<Small> {
    let mut modes = Vec::new();
    for unreachable in [Unreachable::Abort, Unreachable::Fence] {
        for (leader_rate, node_rate) in [(SLOW, FAST), (FAST, SLOW)] {
            modes.push(Small { leader_rate, node_rate, ..small(unreachable) });
        }
    }
    modes
}

fn hold(worlds: impl IntoIterator<Item = Small>) {
    for world in worlds {
        assert_eq!(explore(world), None);
    }
}

#[test]
fn the_rules_hold_in_small_worlds() {
    hold(modes().into_iter().map(|mode| Small { late: 1, ..mode }));
    for mode in [Unreachable::Abort, Unreachable::Fence] {
        hold([Small { beats: 2, late: 1, depositions: 1, ghosts: true, ..small(mode) }]);
    }
}

/// `cargo test --release -p control --test model -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes and an optimised build"]
fn the_rules_hold_in_larger_worlds() {
    hold(modes().into_iter().map(|mode| Small { depositions: 1, ..mode }));
    hold(modes().into_iter().map(|mode| Small { beats: 2, depositions: 1, restarts: 1, ..mode }));
    hold(modes().into_iter().map(|mode| Small { beats: 2, unknown: 1, repeats: 1, restarts: 1, ..mode }));
}

/// As above.
#[test]
#[ignore = "takes minutes and an optimised build"]
fn the_rules_hold_for_two_nodes() {
    hold(modes().into_iter().map(|mode| Small { nodes: 2, beats: 2, late: 1, ticks: 3, ..mode }));
}

#[test]
fn wrong_programs_are_found() {
    use Mutant::*;
    use Unreachable::*;
    for (unreachable, mutant) in [
        (Abort, NoDoubt),
        (Abort, LateCommit),
        (Abort, FromComing),
        (Abort, FromAnswer),
        (Abort, NoConfirm),
        (Abort, NoDrift),
        (Abort, OldNews),
        (Fence, FromAnswer),
        (Fence, NoConfirm),
        (Fence, NoDrift),
        (Fence, NoFreeze),
        (Fence, OldNews),
    ] {
        let others = u8::from(mutant == NoConfirm);
        let mut world =
            Small { mutant, depositions: others, ghosts: mutant == NoConfirm, ..small(unreachable) };
        if (unreachable, mutant) == (Fence, NoDrift) {
            (world.leader_rate, world.node_rate) = (FAST, SLOW);
        }
        let found = explore(world);
        println!("{unreachable:?}, {mutant:?}: {found:?}");
        assert!(found.is_some(), "{unreachable:?}, {mutant:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    /// Worlds too large to go through all of them: one way through each.
    #[test]
    fn the_rules_hold_on_some_ways_through_large_worlds(
        fence in any::<bool>(),
        fast_leader in any::<bool>(),
        choices in proptest::collection::vec(any::<prop::sample::Index>(), 150),
    ) {
        let (leader_rate, node_rate) = if fast_leader { (FAST, SLOW) } else { (SLOW, FAST) };
        let unreachable = if fence { Unreachable::Fence } else { Unreachable::Abort };
        let (nodes, beats, late, ticks, ghosts) = (3, 12, 3, 9, true);
        let (depositions, restarts, repeats, unknown) = (2, 2, 4, 2);
        let world = Small {
            unreachable, nodes, beats, late, ticks, depositions, ghosts, restarts, repeats, unknown,
            leader_rate, node_rate, mutant: Mutant::None,
        };
        let mut state = world.start();
        let mut way = Vec::new();
        for choice in choices {
            let mut actions = Vec::new();
            world.actions(&state, &mut actions);
            if actions.is_empty() {
                break;
            }
            let action = actions[choice.index(actions.len())];
            way.push(action);
            world.act(&mut state, action);
            prop_assert_eq!(state.bad, None, "{:?}", way);
        }
    }
}
