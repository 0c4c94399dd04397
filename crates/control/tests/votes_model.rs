//! Model checking of votes on servers: the real [`Tally`] and [`FleetState`] in a small world, with every order of its
//! events.
//!
//! The world: nodes send their ballots; heartbeats are lost, delayed, reordered or duplicated, and replies are lost;
//! servers start to fail and restart; the outcome of a write may stay unknown and the write be applied late; the leader
//! is deposed, and its last write is committed or not. Faulty voters report a thousand failures of a good server, no
//! failures of the others, and a thousand servers that are up. All events of a tick happen before the tally evaluates.

use std::fmt::{self, Write as _};
use std::hash::{Hash, Hasher};
use std::time::Instant;

use consensus::StateMachine as _;
use control::command::{Command, Outcome, PolicyCommand, RosterCommand, VerdictCommand};
use control::machine::FleetState;
use control::tally::{Input, Tally};
use control::verdicts::max_removed;
use member::votes::{Ballot, Evidence, Vote, VoteReport, VoteSettings};
use member::{ChangeId, Millis, Policy, Process, Stamp};

use proptest::prelude::*;
use stateright::{Checker, Model, Property};

/// The duration of a tick, in milliseconds.
const TICK_MS: Millis = 100.0;
/// The lifetime of a ballot: a heartbeat echoes a reply of the previous tick at best, and is evaluated a tick later.
const BALLOT_TTL_MS: Millis = 250.0;
const EVIDENCE_WINDOW_MS: Millis = 100.0;
const VERDICT_TERM_MS: Millis = 200.0;
/// The number of servers that are up.
const UP_SERVERS: u32 = 3;
/// A server that never fails, and two that may.
const SERVERS: [&str; 3] = ["good", "bad", "worse"];
/// The number of threads of the model checker.
const THREADS: usize = 8;
/// The number of states at which an exploration stops, and the test fails as incomplete; every world here has fewer.
const MAX_STATES: usize = 30_000_000;

/// Deliberate defects, to show that the model finds them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutant {
    None,
    /// The log does not enforce the cap.
    NoCap,
    /// Ballots are valid from their arrival: late ones count, and nodes that were not queried seem to have answered.
    BallotFromArrival,
    /// Verdict terms are longer than the policy says.
    LongTerm,
    /// Replies contain no queries.
    NoQueries,
}

#[derive(Clone, Copy, Debug)]
struct SmallWorld {
    nodes: usize,
    /// The number of faulty voters, the last ones of the nodes.
    faulty_voters: usize,
    /// The number of votes that a removal needs.
    min_voters: u32,
    /// Whether nodes alternate between two zones; otherwise they have none.
    zones: bool,
    /// The number of ticks until the end.
    ticks: u8,
    /// The number of heartbeats of a node that may be in flight; beyond it the oldest is lost. Each node sends at most
    /// one per tick.
    max_in_flight: usize,
    /// The maximum number of heartbeats that are delivered twice.
    duplicates: u8,
    /// The maximum number of replies that are lost.
    lost_replies: u8,
    /// The maximum number of times that the leader is deposed.
    depositions: u8,
    /// The maximum number of writes with an unknown outcome.
    unknown_writes: u8,
    /// The number of servers that may fail, and then may restart and work again.
    failing_servers: usize,
    /// The maximum number of server restarts.
    restarts: u8,
    /// The defect that the world has.
    mutant: Mutant,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Node {
    /// When it last sent a heartbeat.
    sent_at: Option<u8>,
    /// The newest reply's stamp (term and time) and queries.
    stamp: Option<(u64, Millis)>,
    queried: Vec<String>,
    /// When it last voted for a server's removal, by server.
    voted_at: [Option<u8>; 3],
    /// The time that the newest heartbeat received by this leader echoes.
    echoed_time: Option<Millis>,
}

#[derive(Clone, Debug, PartialEq)]
struct InFlight {
    node: usize,
    sent_at: u8,
    stamp: Option<(u64, Millis)>,
    report: VoteReport,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    tick: u8,
    log: FleetState,
    term: u64,
    term_started_at: Millis,
    tally: Tally,
    writes: Vec<VerdictCommand>,
    /// Writes with an unknown outcome.
    unknown_writes: Vec<VerdictCommand>,
    nodes: Vec<Node>,
    in_flight: Vec<InFlight>,
    failing: [bool; 3],
    /// The number of restarts of each server.
    incarnations: [u8; 3],
    /// The version at which each verdict last changed, and when (or the start of this leader, if that is later).
    changed: [Option<(u64, Millis)>; 3],
    duplicates: u8,
    lost_replies: u8,
    unknown_count: u8,
    restarts: u8,
    /// When a write last failed.
    write_failed_at: Millis,
    has_returned: bool,
    violation: Option<&'static str>,
}

/// Hashes the debug text, because floats implement no hash; the text contains the whole state except for the constant
/// parts of the log.
impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        struct Text<'a, H>(&'a mut H);
        impl<H: Hasher> fmt::Write for Text<'_, H> {
            fn write_str(&mut self, text: &str) -> fmt::Result {
                self.0.write(text.as_bytes());
                Ok(())
            }
        }
        let Self {
            tick,
            log,
            term,
            tally,
            writes,
            unknown_writes,
            nodes,
            in_flight,
            failing,
            incarnations,
            changed,
            ..
        } = self;
        let counts = (
            self.duplicates,
            self.lost_replies,
            self.unknown_count,
            self.restarts,
            self.write_failed_at,
            self.has_returned,
            self.violation,
        );
        let verdicts = log.verdicts();
        let all = (
            tick,
            verdicts,
            term,
            tally,
            writes,
            unknown_writes,
            nodes,
            in_flight,
            failing,
            incarnations,
            changed,
            counts,
        );
        write!(Text(state), "{all:?}").expect("hashing never fails");
    }
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Action {
    Tick,
    /// A node sends a heartbeat, which arrives and is answered immediately.
    SendAndDeliver(usize),
    /// A node sends a heartbeat, which stays in flight.
    Send(usize),
    /// A heartbeat (by index) arrives; its reply arrives or is lost; it stays in flight if it is duplicated.
    Deliver(usize, bool, bool),
    /// A server starts to fail.
    StartFailing(usize),
    /// A failing server restarts, and works again.
    Restart(usize),
    /// The first write is applied, and the leader gets the outcome.
    Write,
    /// The outcome of the first write is unknown.
    LoseOutcome,
    /// A write with an unknown outcome is applied.
    ApplyUnknown,
    /// Another replica becomes leader; the first write of the old one was committed, or not.
    Depose(bool),
}

fn vote_settings(min_voters: u32) -> VoteSettings {
    VoteSettings {
        evidence_window: EVIDENCE_WINDOW_MS,
        ballot_ttl: BALLOT_TTL_MS,
        verdict_term: VERDICT_TERM_MS,
        min_voters,
        min_failures: 3,
        prober_count: 2,
        ..VoteSettings::default()
    }
}

fn fleet_state(nodes: usize, min_voters: u32) -> FleetState {
    let mut log = FleetState::new();
    let votes = serde_json::to_value(vote_settings(min_voters)).expect("settings serialize");
    let policy = Policy([("Votes".to_owned(), votes)].into_iter().collect());
    let commit =
        PolicyCommand::Commit { change: ChangeId(1), staged_members: vec![], fenced_members: vec![] };
    log.apply(1, &Command::Policy(PolicyCommand::Propose { base_epoch: 0, policy }));
    assert_eq!(log.apply(2, &Command::Policy(commit)), Outcome::Done);
    for node in 0..nodes {
        let (liveness_addr, process) = ("127.0.0.1:9".parse().expect("a valid address"), process(node));
        let join = RosterCommand::Join {
            process,
            liveness_addr,
            coexists_with_previous: false,
            fenced: false,
            active_epoch: None,
        };
        log.apply(log.version() + 1, &Command::Roster(join));
    }
    log
}

fn process(node: usize) -> Process {
    Process { name: format!("n{node}"), boot: 1 }
}

impl SmallWorld {
    fn now(state: &State) -> Millis {
        TICK_MS * Millis::from(state.tick) + 10_000.0 * state.term as Millis
    }

    fn is_faulty(&self, node: usize) -> bool {
        node >= self.nodes - self.faulty_voters
    }

    /// Returns a node's current report.
    fn report(&self, state: &State, node: usize) -> VoteReport {
        let known = state.log.verdicts().in_force();
        let mut ballots = Vec::new();
        for (server, name) in SERVERS.iter().enumerate() {
            let born_ms = f64::from(state.incarnations[server]);
            let verdict =
                known.verdicts.iter().find(|verdict| verdict.server == *name && verdict.born_ms == born_ms);
            let sends = verdict.is_none_or(|verdict| verdict.probers.contains(&format!("n{node}")));
            let is_faulty = self.is_faulty(node);
            let attempts = if is_faulty { 1000 } else { 3 };
            let fails = if is_faulty { server == 0 } else { state.failing[server] };
            let vote = if fails { Vote::For } else { Vote::Against };
            let is_queried = state.nodes[node].queried.iter().any(|queried| queried == name);
            if (is_faulty || sends) && (vote == Vote::For || is_queried) {
                let errors = if fails { attempts } else { 0 };
                let evidence = Evidence { attempts, errors, ..Evidence::default() };
                ballots.push(Ballot {
                    server: (*name).to_owned(),
                    born_ms,
                    zone: "z".to_owned(),
                    vote,
                    evidence,
                });
            }
        }
        let zone = self.zones.then(|| ["x", "y"][node % 2].to_owned());
        let up_servers = vec![("z".to_owned(), if self.is_faulty(node) { 1000 } else { UP_SERVERS })];
        VoteReport { zone, up_servers, abstains: false, ballots }
    }

    /// Lets the tally handle inputs, and queues its commands.
    fn handle(&self, state: &mut State, inputs: Vec<Input>) {
        let now = Self::now(state);
        let modified;
        let visible_log = match self.mutant {
            Mutant::LongTerm => {
                let log = String::from_utf8(state.log.snapshot()).expect("JSON");
                let log = log.replace("\"Term\":200.0", "\"Term\":1000.0");
                modified = FleetState::restore(log.as_bytes()).expect("a snapshot");
                &modified
            }
            _ => &state.log,
        };
        for command in state.tally.handle_all(now, inputs, visible_log) {
            self.check_decision(state, &command);
            state.writes.push(command);
        }
    }

    /// Checks a decision: it must be justified by the servers' real state and by valid ballots.
    fn check_decision(&self, state: &mut State, command: &VerdictCommand) {
        let now = Self::now(state);
        let VerdictCommand::Remove { server, vote_result, .. } = command else { return };
        let index = SERVERS.iter().position(|name| name == server).expect("a known server");
        let honest = 0..self.nodes - self.faulty_voters;
        if index == 0 {
            // Every valid voter has evidence that it is good, and so may those that this leader does not know yet.
            let is_valid = |node: &usize| {
                now < state.term_started_at + BALLOT_TTL_MS
                    || state.nodes[*node].echoed_time.is_some_and(|time| now < time + BALLOT_TTL_MS)
            };
            let against = honest.clone().filter(is_valid).count();
            let faulty_share = self.faulty_voters as f64 / (self.faulty_voters + against) as f64;
            if self.faulty_voters < self.min_voters as usize
                || faulty_share < VoteSettings::default().majority
            {
                state.violation = Some("a good server is removed");
            }
        }
        let has_expired = |node: &usize| {
            let is_valid = |voted_at: u8| TICK_MS * Millis::from(state.tick - voted_at) < BALLOT_TTL_MS;
            vote_result.in_favor.voter_names.contains(&format!("n{node}"))
                && !state.nodes[*node].voted_at[index].is_some_and(is_valid)
        };
        if honest.clone().any(|node| has_expired(&node)) {
            state.violation = Some("a removal counts an expired ballot");
        }
    }

    /// Commits a command.
    fn commit(&self, state: &mut State, mut command: VerdictCommand) -> Outcome {
        if let (VerdictCommand::Remove { up_servers, .. }, Mutant::NoCap) = (&mut command, self.mutant) {
            *up_servers = 1000;
        }
        let outcome = state.log.apply(state.log.version() + 1, &Command::Verdict(command.clone()));
        if state.log.verdicts().removed_count("z")
            > max_removed(VoteSettings::default().removal_cap, UP_SERVERS)
        {
            state.violation = Some("more servers are removed than the cap allows");
        }
        state.has_returned |= matches!(command, VerdictCommand::Return { .. }) && outcome == Outcome::Done;
        let now = Self::now(state);
        for (server, changed) in state.changed.iter_mut().enumerate() {
            let version = state.log.verdicts().get(SERVERS[server]).map(|entry| entry.changed_at);
            if version != changed.map(|(version, _)| version) {
                *changed = version.map(|version| (version, now));
            }
        }
        outcome
    }

    /// Checks that no verdict outlasts its term or its probing without a vote or a write in flight.
    fn check_terms(&self, state: &mut State) {
        let now = Self::now(state);
        for (server, changed) in state.changed.iter().enumerate() {
            let Some((_, since)) = changed else { continue };
            let entry = state.log.verdicts().get(SERVERS[server]).expect("a changed verdict is in force");
            let duration = match entry.probers.is_empty() {
                true => VERDICT_TERM_MS * Millis::from(1 << entry.term_index.min(3)),
                false => EVIDENCE_WINDOW_MS + BALLOT_TTL_MS,
            };
            // A new leader learns its voters within a ballot's lifetime; a failed write is retried later.
            let due = (since + duration)
                .max(state.term_started_at + BALLOT_TTL_MS)
                .max(state.write_failed_at + BALLOT_TTL_MS)
                + 2.0 * TICK_MS;
            let is_in_flight = state.writes.iter().any(|command| command.server() == SERVERS[server]);
            if now > due && !is_in_flight {
                state.violation = Some("a verdict has outlasted its term without a vote");
            }
        }
    }

    fn act(&self, state: &mut State, action: Action) {
        match action {
            Action::Tick => {
                state.tick += 1;
                self.handle(state, vec![Input::Tick]);
                self.check_terms(state);
            }
            Action::SendAndDeliver(node) => {
                self.act(state, Action::Send(node));
                let newest = state.in_flight.iter().rposition(|message| message.node == node);
                return self.act(
                    state,
                    Action::Deliver(newest.expect("the sent heartbeat is in flight"), true, false),
                );
            }
            Action::Send(node) => {
                let report = self.report(state, node);
                let other = &mut state.nodes[node];
                other.sent_at = Some(state.tick);
                for ballot in report.ballots.iter().filter(|ballot| ballot.vote == Vote::For) {
                    let index =
                        SERVERS.iter().position(|name| *name == ballot.server).expect("a known server");
                    other.voted_at[index] = Some(state.tick);
                }
                let (sent_at, stamp) = (state.tick, other.stamp);
                state.in_flight.push(InFlight { node, sent_at, stamp, report });
                let is_own = |message: &InFlight| message.node == node;
                if state.in_flight.iter().filter(|message| is_own(message)).count()
                    > self.max_in_flight.max(1)
                {
                    let oldest = state.in_flight.iter().position(is_own);
                    state.in_flight.remove(oldest.expect("the sent heartbeat is in flight"));
                }
            }
            Action::Deliver(index, reply_arrives, duplicated) => {
                let now = Self::now(state);
                let message = state.in_flight[index].clone();
                if duplicated {
                    state.duplicates += 1;
                } else {
                    state.in_flight.remove(index);
                }
                let mut echoed_stamp = message.stamp.map(|(term, time)| Stamp { term, time });
                if self.mutant == Mutant::BallotFromArrival {
                    echoed_stamp = Some(Stamp { term: state.term, time: now });
                }
                let process = process(message.node);
                let report = Some(message.report);
                self.handle(state, vec![Input::Heartbeat { process, echoed_stamp, report }]);
                let queried = match self.mutant {
                    Mutant::NoQueries => Vec::new(),
                    _ => state.tally.queried_servers().to_vec(),
                };
                let node = &mut state.nodes[message.node];
                let echoed_time = message.stamp.filter(|(term, _)| *term == state.term).map(|(_, time)| time);
                node.echoed_time =
                    if echoed_time > node.echoed_time { echoed_time } else { node.echoed_time };
                if reply_arrives {
                    (node.stamp, node.queried) = (Some((state.term, now)), queried);
                } else {
                    state.lost_replies += 1;
                }
            }
            Action::StartFailing(server) => state.failing[server] = true,
            Action::Restart(server) => {
                state.restarts += 1;
                state.failing[server] = false;
                state.incarnations[server] += 1;
            }
            Action::Write => {
                let command = state.writes.remove(0);
                let outcome = Some(self.commit(state, command.clone()));
                if outcome != Some(Outcome::Done) {
                    state.write_failed_at = Self::now(state);
                }
                self.handle(state, vec![Input::WriteResult { command, outcome }]);
            }
            Action::LoseOutcome => {
                state.unknown_count += 1;
                state.write_failed_at = Self::now(state);
                let command = state.writes.remove(0);
                state.unknown_writes.push(command.clone());
                self.handle(state, vec![Input::WriteResult { command, outcome: None }]);
            }
            Action::ApplyUnknown => {
                let command = state.unknown_writes.remove(0);
                self.commit(state, command);
                self.handle(state, vec![Input::Applied]);
            }
            Action::Depose(write_committed) => {
                if let Some(command) = state.writes.first().filter(|_| write_committed).cloned() {
                    self.commit(state, command);
                }
                state.writes.clear();
                state.unknown_writes.clear();
                state.term += 1;
                state.term_started_at = Self::now(state);
                state.tally = Tally::new(state.term, state.term_started_at);
                state.changed.iter_mut().flatten().for_each(|(_, since)| *since = state.term_started_at);
                state.nodes.iter_mut().for_each(|node| node.echoed_time = None);
                self.handle(state, vec![Input::Applied]);
            }
        }
        state.in_flight.sort_by_key(|message| (message.node, message.sent_at));
    }

    /// Collects the actions that are possible next.
    fn possible_actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.tick < self.ticks {
            actions.push(Action::Tick);
        }
        for node in (0..self.nodes).filter(|&node| state.nodes[node].sent_at != Some(state.tick)) {
            actions.push(Action::SendAndDeliver(node));
            if self.max_in_flight > 0 {
                actions.push(Action::Send(node));
            }
        }
        for index in 0..state.in_flight.len() {
            actions.push(Action::Deliver(index, true, false));
            if state.lost_replies < self.lost_replies {
                actions.push(Action::Deliver(index, false, false));
            }
            if state.duplicates < self.duplicates {
                actions.push(Action::Deliver(index, true, true));
            }
        }
        for server in 1..=self.failing_servers {
            if !state.failing[server] && state.incarnations[server] == 0 {
                actions.push(Action::StartFailing(server));
            }
            if state.failing[server] && state.restarts < self.restarts {
                actions.push(Action::Restart(server));
            }
        }
        if !state.writes.is_empty() {
            actions.push(Action::Write);
            if state.unknown_count < self.unknown_writes {
                actions.push(Action::LoseOutcome);
            }
        }
        if !state.unknown_writes.is_empty() {
            actions.push(Action::ApplyUnknown);
        }
        if state.term <= u64::from(self.depositions) {
            actions.push(Action::Depose(false));
            if !state.writes.is_empty() {
                actions.push(Action::Depose(true));
            }
        }
    }

    /// Returns the initial state: the first leader has just received a heartbeat from every node.
    fn initial_state(&self) -> State {
        let mut state = State {
            tick: 0,
            log: fleet_state(self.nodes, self.min_voters),
            term: 1,
            term_started_at: 10_000.0,
            tally: Tally::new(1, 10_000.0),
            writes: Vec::new(),
            unknown_writes: Vec::new(),
            nodes: vec![Node::default(); self.nodes],
            in_flight: Vec::new(),
            failing: [false; 3],
            incarnations: [0; 3],
            changed: [None; 3],
            duplicates: 0,
            lost_replies: 0,
            unknown_count: 0,
            restarts: 0,
            write_failed_at: 0.0,
            has_returned: false,
            violation: None,
        };
        (0..self.nodes).for_each(|node| self.act(&mut state, Action::SendAndDeliver(node)));
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
        if state.violation.is_none() {
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
            Property::sometimes("a bad server is removed", |_, state: &State| state.changed[1].is_some()),
            Property::sometimes("it is probed", |_, state: &State| {
                state.log.verdicts().entries().any(|(_, entry)| !entry.probers.is_empty())
            }),
            Property::sometimes("it is back", |_, state: &State| state.has_returned),
        ]
    }
}

fn small_world() -> SmallWorld {
    SmallWorld {
        nodes: 3,
        faulty_voters: 0,
        min_voters: 2,
        zones: false,
        ticks: 6,
        max_in_flight: 0,
        duplicates: 0,
        lost_replies: 0,
        depositions: 0,
        unknown_writes: 0,
        failing_servers: 1,
        restarts: 0,
        mutant: Mutant::None,
    }
}

/// Explores a world completely. Returns a violation, with the actions that lead to it.
fn explore(model: SmallWorld, outcomes: &[&'static str]) -> Option<String> {
    let started = Instant::now();
    let checker = model.checker().threads(THREADS).target_state_count(MAX_STATES).spawn_dfs().join();
    let states = checker.unique_state_count();
    println!("{states} states, {:.1} s: {model:?}", started.elapsed().as_secs_f64());
    let violation = checker.discovery("the rules hold").map(|path| {
        let violation = path.last_state().violation.expect("the path is a counterexample");
        format!("{violation}: {:?}", path.into_actions())
    });
    if violation.is_none() && model.mutant == Mutant::None {
        assert!(states < MAX_STATES, "the world was not explored completely");
        for outcome in outcomes {
            assert!(checker.discovery(outcome).is_some(), "never reached in this world: {outcome}");
        }
    }
    violation
}

const REMOVED: &str = "a bad server is removed";
const ALL: [&str; 3] = [REMOVED, "it is probed", "it is back"];

/// A world with one node, whose vote suffices.
fn single_voter() -> SmallWorld {
    SmallWorld { nodes: 1, min_voters: 1, ..small_world() }
}

/// A world with as many faulty voters as a removal needs, whose weight does not suffice.
fn faulty_voter() -> SmallWorld {
    SmallWorld { nodes: 2, faulty_voters: 1, min_voters: 1, failing_servers: 0, ..small_world() }
}

#[test]
fn no_rule_is_violated_in_small_worlds() {
    assert_eq!(explore(SmallWorld { ticks: 8, depositions: 1, ..single_voter() }, &ALL), None);
    assert_eq!(
        explore(SmallWorld { ticks: 5, failing_servers: 2, unknown_writes: 1, ..single_voter() }, &ALL),
        None
    );
    assert_eq!(
        explore(
            SmallWorld { ticks: 5, max_in_flight: 1, lost_replies: 1, duplicates: 1, ..single_voter() },
            &[REMOVED]
        ),
        None
    );
    assert_eq!(explore(SmallWorld { nodes: 2, ticks: 4, ..small_world() }, &[REMOVED]), None);
    assert_eq!(explore(faulty_voter(), &[]), None);
    assert_eq!(
        explore(SmallWorld { faulty_voters: 1, ticks: 3, zones: true, ..small_world() }, &[REMOVED]),
        None
    );
}

/// `cargo test --release -p control --test votes_model -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes and an optimised build"]
fn no_rule_is_violated_in_larger_worlds() {
    assert_eq!(explore(SmallWorld { nodes: 2, ticks: 7, depositions: 1, ..small_world() }, &ALL), None);
    assert_eq!(explore(SmallWorld { nodes: 2, ticks: 6, restarts: 1, ..small_world() }, &ALL), None);
    assert_eq!(
        explore(
            SmallWorld { nodes: 2, ticks: 5, failing_servers: 2, unknown_writes: 1, ..small_world() },
            &ALL
        ),
        None
    );
    assert_eq!(
        explore(SmallWorld { faulty_voters: 1, ticks: 3, max_in_flight: 1, ..small_world() }, &[REMOVED]),
        None
    );
    assert_eq!(explore(SmallWorld { nodes: 4, ticks: 3, zones: true, ..small_world() }, &[REMOVED]), None);
    assert_eq!(explore(SmallWorld { nodes: 3, ..faulty_voter() }, &[]), None);
    assert_eq!(explore(SmallWorld { depositions: 1, ..faulty_voter() }, &[]), None);
    assert_eq!(explore(SmallWorld { max_in_flight: 1, ticks: 5, ..faulty_voter() }, &[]), None);
}

#[test]
fn deliberate_defects_are_found() {
    for world in [
        SmallWorld {
            mutant: Mutant::NoCap,
            ticks: 5,
            failing_servers: 2,
            unknown_writes: 1,
            ..single_voter()
        },
        SmallWorld { mutant: Mutant::BallotFromArrival, ticks: 4, max_in_flight: 1, ..single_voter() },
        SmallWorld { mutant: Mutant::LongTerm, ticks: 7, ..single_voter() },
        SmallWorld { mutant: Mutant::NoQueries, ..faulty_voter() },
    ] {
        let found = explore(world, &[]);
        println!("{:?}: {found:?}", world.mutant);
        assert!(found.is_some(), "{:?}", world.mutant);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// One random path through each world, because these are too large to explore completely.
    #[test]
    fn no_rule_is_violated_on_random_paths_through_large_worlds(
        zones in any::<bool>(),
        faulty_voters in 0..2_usize,
        choices in proptest::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 200),
    ) {
        let (nodes, ticks, max_in_flight, duplicates, lost_replies) = (6, 40, 2, 4, 8);
        let (depositions, unknown_writes, failing_servers, restarts) = (2, 3, 2, 3);
        let world = SmallWorld {
            nodes, faulty_voters, min_voters: 2, zones, ticks, max_in_flight, duplicates, lost_replies, depositions,
            unknown_writes, failing_servers, restarts, mutant: Mutant::None,
        };
        let (mut state, mut path) = (world.initial_state(), Vec::new());
        for (choice, prefer_deliveries) in choices {
            let mut actions = Vec::new();
            world.possible_actions(&state, &mut actions);
            // Most heartbeats arrive immediately.
            let is_regular = |action: &Action| matches!(action, Action::SendAndDeliver(_) | Action::Write | Action::Tick);
            if prefer_deliveries && actions.iter().any(is_regular) {
                actions.retain(is_regular);
            }
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
