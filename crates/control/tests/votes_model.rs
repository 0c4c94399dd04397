//! Model checking of votes on servers: the real [`Tally`] and [`Agreement`] in a small world, in every order of its events.
//!
//! The world: nodes send their ballots; beats are lost, late, out of order or repeated, answers are lost; servers begin to
//! fail and start anew; writes are of unknown fate and may be applied late; the leader is deposed, its last write carried
//! over or not. Liars say that a good server has failed a thousand times, that nothing is wrong with the others, and that
//! a thousand servers are up. All that happens within a tick happens before the tally judges.

use std::fmt::{self, Write as _};
use std::hash::{Hash, Hasher};
use std::time::Instant;

use consensus::StateMachine as _;
use control::command::{Command, Outcome, PolicyCommand, RosterCommand, VerdictCommand};
use control::machine::Agreement;
use control::tally::{Input, Tally};
use control::verdicts::allowed;
use member::votes::{Ballot, Evidence, Vote, VoteReport, VoteSettings};
use member::{ChangeId, Millis, Policy, Process, Stamp};

use proptest::prelude::*;
use stateright::{Checker, Model, Property};

const TICK: Millis = 100.0;
/// A beat echoes an answer of the tick before at best, and is judged a tick later.
const BALLOT: Millis = 250.0;
const WINDOW: Millis = 100.0;
const TERM: Millis = 200.0;
const UP: u32 = 3;
/// The good one, and those that may fail.
const SERVERS: [&str; 3] = ["good", "bad", "worse"];
const THREADS: usize = 8;
/// More states than any of these worlds has.
const MOST: usize = 30_000_000;

/// What is wrong with the program on purpose, to see that the model finds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutant {
    None,
    /// The log does not hold the cap.
    NoCap,
    /// Ballots count from their coming: late ones stand, and who has not been asked seems to have answered.
    FromComing,
    /// Terms are longer than agreed.
    LongTerm,
    /// Answers don't ask.
    Unasked,
}

#[derive(Clone, Copy, Debug)]
struct Small {
    nodes: usize,
    /// The last ones of them.
    liars: usize,
    /// Votes that a removal needs.
    voters: u32,
    /// Nodes are of two zones, in turn.
    zones: bool,
    ticks: u8,
    /// How many beats of a node may be on their way; more, and the oldest is lost. Each sends one a tick at the most.
    late: usize,
    repeats: u8,
    /// Answers that don't come.
    lost: u8,
    depositions: u8,
    unknown: u8,
    /// Servers that may fail, and may start anew, good.
    fails: usize,
    restarts: u8,
    mutant: Mutant,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Node {
    /// When it sent last.
    sent: Option<u8>,
    /// Of the newest answer: term, time, and what it asked about.
    echo: Option<(u64, Millis)>,
    asked: Vec<String>,
    /// When it last said that it is for a server's removal, by server.
    said: [Option<u8>; 3],
    /// The echo of the newest beat that came to this leader.
    stands: Option<Millis>,
}

#[derive(Clone, Debug, PartialEq)]
struct Flight {
    node: usize,
    sent: u8,
    echo: Option<(u64, Millis)>,
    votes: VoteReport,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    tick: u8,
    log: Agreement,
    term: u64,
    began: Millis,
    tally: Tally,
    writes: Vec<VerdictCommand>,
    /// Writes of unknown fate.
    maybe: Vec<VerdictCommand>,
    nodes: Vec<Node>,
    flights: Vec<Flight>,
    failing: [bool; 3],
    born: [u8; 3],
    /// When each verdict last changed (or this leader began, if later), and at which version.
    changed: [Option<(u64, Millis)>; 3],
    repeats: u8,
    lost: u8,
    unknown: u8,
    restarts: u8,
    /// When a write failed last.
    failed: Millis,
    returned: bool,
    bad: Option<&'static str>,
}

/// The state's debug text is its identity: it tells all, and floats have no hash. Of the log only verdicts change.
impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        struct Text<'a, H>(&'a mut H);
        impl<H: Hasher> fmt::Write for Text<'_, H> {
            fn write_str(&mut self, text: &str) -> fmt::Result {
                self.0.write(text.as_bytes());
                Ok(())
            }
        }
        let Self { tick, log, term, tally, writes, maybe, nodes, flights, failing, born, changed, .. } = self;
        let counts =
            (self.repeats, self.lost, self.unknown, self.restarts, self.failed, self.returned, self.bad);
        let verdicts = log.verdicts();
        let all =
            (tick, verdicts, term, tally, writes, maybe, nodes, flights, failing, born, changed, counts);
        write!(Text(state), "{all:?}").expect("hashing never fails");
    }
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Action {
    Tick,
    /// A node sends its ballots, and they come and are answered at once.
    Beat(usize),
    /// They are on their way.
    Send(usize),
    /// A beat (by its place) comes; is answered or its answer is lost; stays, to come again.
    Come(usize, bool, bool),
    /// A server fails from now on; or starts anew.
    Fails(usize),
    Restart(usize),
    /// The first write is applied, and the leader hears of it; or it does not hear.
    Write,
    Unknown,
    /// A write of unknown fate is applied after all.
    Late,
    /// Another replica leads; the first write of the old one was carried over, or not.
    Depose(bool),
}

fn figures(voters: u32) -> VoteSettings {
    let (window, ballot, term) = (WINDOW, BALLOT, TERM);
    VoteSettings {
        evidence_window: window,
        ballot_ttl: ballot,
        verdict_term: term,
        min_voters: voters,
        min_failures: 3,
        prober_count: 2,
        ..VoteSettings::default()
    }
}

fn agreement(nodes: usize, voters: u32) -> Agreement {
    let mut log = Agreement::new();
    let votes = serde_json::to_value(figures(voters)).expect("figures serialize");
    let policy = Policy([("Votes".to_owned(), votes)].into_iter().collect());
    let commit = PolicyCommand::Commit { change: ChangeId(1), staged: vec![], fenced: vec![] };
    log.apply(1, &Command::Policy(PolicyCommand::Propose { base: 0, policy }));
    assert_eq!(log.apply(2, &Command::Policy(commit)), Outcome::Done);
    for node in 0..nodes {
        let (life, process) = ("127.0.0.1:9".parse().expect("an address"), process(node));
        let join = RosterCommand::Join { process, life, beside: false, fenced: false, active: None };
        log.apply(log.version() + 1, &Command::Roster(join));
    }
    log
}

fn process(node: usize) -> Process {
    Process { name: format!("n{node}"), boot: 1 }
}

impl Small {
    fn now(state: &State) -> Millis {
        TICK * Millis::from(state.tick) + 10_000.0 * state.term as Millis
    }

    fn liar(&self, node: usize) -> bool {
        node >= self.nodes - self.liars
    }

    /// What a node says now.
    fn votes(&self, state: &State, node: usize) -> VoteReport {
        let told = state.log.verdicts().told();
        let mut ballots = Vec::new();
        for (server, name) in SERVERS.iter().enumerate() {
            let born_ms = f64::from(state.born[server]);
            let verdict =
                told.verdicts.iter().find(|verdict| verdict.server == *name && verdict.born_ms == born_ms);
            let sends = verdict.is_none_or(|verdict| verdict.probers.contains(&format!("n{node}")));
            let lies = self.liar(node);
            let attempts = if lies { 1000 } else { 3 };
            let fails = if lies { server == 0 } else { state.failing[server] };
            let stand = if fails { Vote::For } else { Vote::Against };
            let asked = state.nodes[node].asked.iter().any(|asked| asked == name);
            if (lies || sends) && (stand == Vote::For || asked) {
                let errors = if fails { attempts } else { 0 };
                let evidence = Evidence { attempts, errors, ..Evidence::default() };
                ballots.push(Ballot {
                    server: (*name).to_owned(),
                    born_ms,
                    zone: "z".to_owned(),
                    vote: stand,
                    evidence,
                });
            }
        }
        let zone = self.zones.then(|| ["x", "y"][node % 2].to_owned());
        let up = vec![("z".to_owned(), if self.liar(node) { 1000 } else { UP })];
        VoteReport { zone, up_servers: up, abstains: false, ballots }
    }

    fn feed(&self, state: &mut State, inputs: Vec<Input>) {
        let now = Self::now(state);
        let seen;
        let view = match self.mutant {
            Mutant::LongTerm => {
                let log = String::from_utf8(state.log.snapshot()).expect("JSON");
                let log = log.replace("\"Term\":200.0", "\"Term\":1000.0");
                seen = Agreement::restore(log.as_bytes()).expect("a snapshot");
                &seen
            }
            _ => &state.log,
        };
        for command in state.tally.handle_all(now, inputs, view) {
            self.decided(state, &command);
            state.writes.push(command);
        }
    }

    /// A command was decided on: it must follow from what is true and stands.
    fn decided(&self, state: &mut State, command: &VerdictCommand) {
        let now = Self::now(state);
        let VerdictCommand::Remove { server, case, .. } = command else { return };
        let place = SERVERS.iter().position(|name| name == server).expect("one of them");
        let honest = 0..self.nodes - self.liars;
        if place == 0 {
            // Whoever stands has evidence that it is good, and so may whoever this leader does not know yet.
            let stands = |node: &usize| {
                now < state.began + BALLOT
                    || state.nodes[*node].stands.is_some_and(|echo| now < echo + BALLOT)
            };
            let against = honest.clone().filter(stands).count();
            let part = self.liars as f64 / (self.liars + against) as f64;
            if self.liars < self.voters as usize || part < VoteSettings::default().majority {
                state.bad = Some("a good server is removed");
            }
        }
        let late = |node: &usize| {
            let of = |said: u8| TICK * Millis::from(state.tick - said) < BALLOT;
            case.favour.named.contains(&format!("n{node}")) && !state.nodes[*node].said[place].is_some_and(of)
        };
        if honest.clone().any(|node| late(&node)) {
            state.bad = Some("a removal counts a ballot that has lapsed");
        }
    }

    /// A command is committed.
    fn commit(&self, state: &mut State, mut command: VerdictCommand) -> Outcome {
        if let (VerdictCommand::Remove { up, .. }, Mutant::NoCap) = (&mut command, self.mutant) {
            *up = 1000;
        }
        let outcome = state.log.apply(state.log.version() + 1, &Command::Verdict(command.clone()));
        if state.log.verdicts().removed("z") > allowed(VoteSettings::default().removal_cap, UP) {
            state.bad = Some("more servers are removed than the cap allows");
        }
        state.returned |= matches!(command, VerdictCommand::Return { .. }) && outcome == Outcome::Done;
        let now = Self::now(state);
        for (server, changed) in state.changed.iter_mut().enumerate() {
            let at = state.log.verdicts().get(SERVERS[server]).map(|entry| entry.at);
            if at != changed.map(|(at, _)| at) {
                *changed = at.map(|at| (at, now));
            }
        }
        outcome
    }

    /// No verdict has lasted beyond its term, or beyond its probing, without a vote or a write on its way.
    fn terms(&self, state: &mut State) {
        let now = Self::now(state);
        for (server, changed) in state.changed.iter().enumerate() {
            let Some((_, since)) = changed else { continue };
            let entry = state.log.verdicts().get(SERVERS[server]).expect("it has changed");
            let span = match entry.probers.is_empty() {
                true => TERM * Millis::from(1 << entry.terms.min(3)),
                false => WINDOW + BALLOT,
            };
            // A leader may take the time of a ballot to know its voters; a failed write is tried again later.
            let due = (since + span).max(state.began + BALLOT).max(state.failed + BALLOT) + 2.0 * TICK;
            let on_its_way = state.writes.iter().any(|command| command.server() == SERVERS[server]);
            if now > due && !on_its_way {
                state.bad = Some("a verdict has outlived its term without a vote");
            }
        }
    }

    fn act(&self, state: &mut State, action: Action) {
        match action {
            Action::Tick => {
                state.tick += 1;
                self.feed(state, vec![Input::Tick]);
                self.terms(state);
            }
            Action::Beat(node) => {
                self.act(state, Action::Send(node));
                let newest = state.flights.iter().rposition(|flight| flight.node == node);
                return self.act(state, Action::Come(newest.expect("it was just sent"), true, false));
            }
            Action::Send(node) => {
                let votes = self.votes(state, node);
                let other = &mut state.nodes[node];
                other.sent = Some(state.tick);
                for ballot in votes.ballots.iter().filter(|ballot| ballot.vote == Vote::For) {
                    let place = SERVERS.iter().position(|name| *name == ballot.server).expect("one of them");
                    other.said[place] = Some(state.tick);
                }
                let (sent, echo) = (state.tick, other.echo);
                state.flights.push(Flight { node, sent, echo, votes });
                if state.flights.iter().filter(|flight| flight.node == node).count() > self.late.max(1) {
                    let oldest = state.flights.iter().position(|flight| flight.node == node);
                    state.flights.remove(oldest.expect("there are some"));
                }
            }
            Action::Come(place, answered, again) => {
                let now = Self::now(state);
                let flight = state.flights[place].clone();
                if again {
                    state.repeats += 1;
                } else {
                    state.flights.remove(place);
                }
                let mut echo = flight.echo.map(|(term, at)| Stamp { term, time: at });
                if self.mutant == Mutant::FromComing {
                    echo = Some(Stamp { term: state.term, time: now });
                }
                let process = process(flight.node);
                self.feed(state, vec![Input::Beat { process, echo, votes: Some(flight.votes) }]);
                let asked = match self.mutant {
                    Mutant::Unasked => Vec::new(),
                    _ => state.tally.asked().to_vec(),
                };
                let node = &mut state.nodes[flight.node];
                let echo = flight.echo.filter(|(term, _)| *term == state.term).map(|(_, at)| at);
                node.stands = if echo > node.stands { echo } else { node.stands };
                if answered {
                    (node.echo, node.asked) = (Some((state.term, now)), asked);
                } else {
                    state.lost += 1;
                }
            }
            Action::Fails(server) => state.failing[server] = true,
            Action::Restart(server) => {
                state.restarts += 1;
                state.failing[server] = false;
                state.born[server] += 1;
            }
            Action::Write => {
                let command = state.writes.remove(0);
                let outcome = Some(self.commit(state, command.clone()));
                if outcome != Some(Outcome::Done) {
                    state.failed = Self::now(state);
                }
                self.feed(state, vec![Input::Written { command, outcome }]);
            }
            Action::Unknown => {
                state.unknown += 1;
                state.failed = Self::now(state);
                let command = state.writes.remove(0);
                state.maybe.push(command.clone());
                self.feed(state, vec![Input::Written { command, outcome: None }]);
            }
            Action::Late => {
                let command = state.maybe.remove(0);
                self.commit(state, command);
                self.feed(state, vec![Input::Applied]);
            }
            Action::Depose(carried) => {
                if let Some(command) = state.writes.first().filter(|_| carried).cloned() {
                    self.commit(state, command);
                }
                state.writes.clear();
                state.maybe.clear();
                state.term += 1;
                state.began = Self::now(state);
                state.tally = Tally::new(state.term, state.began);
                state.changed.iter_mut().flatten().for_each(|(_, since)| *since = state.began);
                state.nodes.iter_mut().for_each(|node| node.stands = None);
                self.feed(state, vec![Input::Applied]);
            }
        }
        state.flights.sort_by_key(|flight| (flight.node, flight.sent));
    }

    fn possible(&self, state: &State, actions: &mut Vec<Action>) {
        if state.tick < self.ticks {
            actions.push(Action::Tick);
        }
        for node in (0..self.nodes).filter(|&node| state.nodes[node].sent != Some(state.tick)) {
            actions.push(Action::Beat(node));
            if self.late > 0 {
                actions.push(Action::Send(node));
            }
        }
        for place in 0..state.flights.len() {
            actions.push(Action::Come(place, true, false));
            if state.lost < self.lost {
                actions.push(Action::Come(place, false, false));
            }
            if state.repeats < self.repeats {
                actions.push(Action::Come(place, true, true));
            }
        }
        for server in 1..=self.fails {
            if !state.failing[server] && state.born[server] == 0 {
                actions.push(Action::Fails(server));
            }
            if state.failing[server] && state.restarts < self.restarts {
                actions.push(Action::Restart(server));
            }
        }
        if !state.writes.is_empty() {
            actions.push(Action::Write);
            if state.unknown < self.unknown {
                actions.push(Action::Unknown);
            }
        }
        if !state.maybe.is_empty() {
            actions.push(Action::Late);
        }
        if state.term <= u64::from(self.depositions) {
            actions.push(Action::Depose(false));
            if !state.writes.is_empty() {
                actions.push(Action::Depose(true));
            }
        }
    }

    /// The first leader has just heard of all nodes.
    fn start(&self) -> State {
        let mut state = State {
            tick: 0,
            log: agreement(self.nodes, self.voters),
            term: 1,
            began: 10_000.0,
            tally: Tally::new(1, 10_000.0),
            writes: Vec::new(),
            maybe: Vec::new(),
            nodes: vec![Node::default(); self.nodes],
            flights: Vec::new(),
            failing: [false; 3],
            born: [0; 3],
            changed: [None; 3],
            repeats: 0,
            lost: 0,
            unknown: 0,
            restarts: 0,
            failed: 0.0,
            returned: false,
            bad: None,
        };
        (0..self.nodes).for_each(|node| self.act(&mut state, Action::Beat(node)));
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
        if state.bad.is_none() {
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
            Property::sometimes("a bad server is removed", |_, state: &State| state.changed[1].is_some()),
            Property::sometimes("it is probed", |_, state: &State| {
                state.log.verdicts().entries().any(|(_, entry)| !entry.probers.is_empty())
            }),
            Property::sometimes("it is back", |_, state: &State| state.returned),
        ]
    }
}

fn small() -> Small {
    Small {
        nodes: 3,
        liars: 0,
        voters: 2,
        zones: false,
        ticks: 6,
        late: 0,
        repeats: 0,
        lost: 0,
        depositions: 0,
        unknown: 0,
        fails: 1,
        restarts: 0,
        mutant: Mutant::None,
    }
}

/// Explores all of a world. What was found wrong, with the way there.
fn explore(model: Small, outcomes: &[&'static str]) -> Option<String> {
    let began = Instant::now();
    let checker = model.checker().threads(THREADS).target_state_count(MOST).spawn_dfs().join();
    let states = checker.unique_state_count();
    println!("{states} states, {:.1} s: {model:?}", began.elapsed().as_secs_f64());
    let wrong = checker.discovery("the rules hold").map(|path| {
        let bad = path.last_state().bad.expect("it is the counterexample");
        format!("{bad}: {:?}", path.into_actions())
    });
    if wrong.is_none() && model.mutant == Mutant::None {
        assert!(states < MOST, "not all of it was explored");
        for outcome in outcomes {
            assert!(checker.discovery(outcome).is_some(), "never in this world: {outcome}");
        }
    }
    wrong
}

const REMOVED: &str = "a bad server is removed";
const ALL: [&str; 3] = [REMOVED, "it is probed", "it is back"];

/// One node, whose vote is enough.
fn lone() -> Small {
    Small { nodes: 1, voters: 1, ..small() }
}

/// As many liars as a removal needs, but they weigh less than it needs.
fn lied_to() -> Small {
    Small { nodes: 2, liars: 1, voters: 1, fails: 0, ..small() }
}

#[test]
fn the_rules_hold_in_small_worlds() {
    assert_eq!(explore(Small { ticks: 8, depositions: 1, ..lone() }, &ALL), None);
    assert_eq!(explore(Small { ticks: 5, fails: 2, unknown: 1, ..lone() }, &ALL), None);
    assert_eq!(explore(Small { ticks: 5, late: 1, lost: 1, repeats: 1, ..lone() }, &[REMOVED]), None);
    assert_eq!(explore(Small { nodes: 2, ticks: 4, ..small() }, &[REMOVED]), None);
    assert_eq!(explore(lied_to(), &[]), None);
    assert_eq!(explore(Small { liars: 1, ticks: 3, zones: true, ..small() }, &[REMOVED]), None);
}

/// `cargo test --release -p control --test votes_model -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes and an optimised build"]
fn the_rules_hold_in_larger_worlds() {
    assert_eq!(explore(Small { nodes: 2, ticks: 7, depositions: 1, ..small() }, &ALL), None);
    assert_eq!(explore(Small { nodes: 2, ticks: 6, restarts: 1, ..small() }, &ALL), None);
    assert_eq!(explore(Small { nodes: 2, ticks: 5, fails: 2, unknown: 1, ..small() }, &ALL), None);
    assert_eq!(explore(Small { liars: 1, ticks: 3, late: 1, ..small() }, &[REMOVED]), None);
    assert_eq!(explore(Small { nodes: 4, ticks: 3, zones: true, ..small() }, &[REMOVED]), None);
    assert_eq!(explore(Small { nodes: 3, ..lied_to() }, &[]), None);
    assert_eq!(explore(Small { depositions: 1, ..lied_to() }, &[]), None);
    assert_eq!(explore(Small { late: 1, ticks: 5, ..lied_to() }, &[]), None);
}

#[test]
fn wrong_programs_are_found() {
    for world in [
        Small { mutant: Mutant::NoCap, ticks: 5, fails: 2, unknown: 1, ..lone() },
        Small { mutant: Mutant::FromComing, ticks: 4, late: 1, ..lone() },
        Small { mutant: Mutant::LongTerm, ticks: 7, ..lone() },
        Small { mutant: Mutant::Unasked, ..lied_to() },
    ] {
        let found = explore(world, &[]);
        println!("{:?}: {found:?}", world.mutant);
        assert!(found.is_some(), "{:?}", world.mutant);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Worlds too large to go through all of them: one way through each.
    #[test]
    fn the_rules_hold_on_some_ways_through_large_worlds(
        zones in any::<bool>(),
        liars in 0..2_usize,
        choices in proptest::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 200),
    ) {
        let (nodes, ticks, late, repeats, lost) = (6, 40, 2, 4, 8);
        let (depositions, unknown, fails, restarts) = (2, 3, 2, 3);
        let world = Small {
            nodes, liars, voters: 2, zones, ticks, late, repeats, lost, depositions, unknown, fails, restarts,
            mutant: Mutant::None,
        };
        let (mut state, mut way) = (world.start(), Vec::new());
        for (choice, beats) in choices {
            let mut actions = Vec::new();
            world.possible(&state, &mut actions);
            // Most of what happens is a beat that comes.
            let calm = |action: &Action| matches!(action, Action::Beat(_) | Action::Write | Action::Tick);
            if beats && actions.iter().any(calm) {
                actions.retain(calm);
            }
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
