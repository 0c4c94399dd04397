//! Votes of a simulated fleet in virtual time: the real tally and state machine, and minimal nodes, with links and disks
//! drawn from a seed. The bytes counted are those that votes add to heartbeats, replies and watches.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

use consensus::StateMachine as _;
use control::command::{Command, PolicyCommand, RosterCommand, VerdictCommand};
use control::machine::FleetState;
use control::tally::{Input, Tally};
use member::votes::{Ballot, Evidence, Verdicts, Vote, VoteReport, VoteSettings, MAX_BALLOTS};
use member::{ChangeId, Millis, Policy, Process, Stamp};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

const HEARTBEAT_INTERVAL_MS: Millis = 250.0;
const ZONES: usize = 3;
/// The number of consecutive failures that make a server a suspect or, for nodes without votes, an outlier.
pub const OUTLIER_FAILURES: u32 = 3;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of servers.
    pub servers: usize,
    /// The number of servers that each node sends to.
    pub servers_per_node: usize,
    /// The requests per second from each node to each of its servers.
    pub rate: f64,
    /// The fraction of requests to a good server that fail.
    pub good_failure_ratio: f64,
    /// When the first server stops answering; `None` for never.
    pub bad_at: Option<Millis>,
    /// When the simulation ends.
    pub end: Millis,
    /// The seed of all random delays and failures.
    pub seed: u64,
}

/// The results of a simulation; times in milliseconds of virtual time.
#[derive(Debug, Default)]
pub struct Report {
    /// From the first failure of the bad server to the verdict.
    pub removed_ms: Option<Millis>,
    /// From the first failure of the bad server until the last node knows the verdict.
    pub known_everywhere_ms: Option<Millis>,
    /// The number of failures of the bad server until then, on all nodes.
    pub failures: u64,
    /// The number of verdicts on good servers.
    pub wrong_verdicts: u64,
    /// The bytes that votes add per node and second before the server turns bad.
    pub idle_bytes_per_s: f64,
    /// The same from then to the verdict.
    pub suspect_bytes_per_s: f64,
}

enum Event {
    SendRequest(usize),
    SendHeartbeat(usize),
    HeartbeatArrives { node: usize, echoed_stamp: Option<Stamp>, report: VoteReport },
    ReplyArrives { node: usize, stamp: Stamp, queried: Rc<Vec<String>> },
    VerdictsArrive { node: usize, verdicts: Rc<Verdicts> },
    Written(VerdictCommand),
    Tick,
}

/// A node's observations of a server.
#[derive(Clone, Copy, Default)]
struct Observations {
    /// Attempts and failures in the current half of the evidence window, and in the previous one.
    current: (u32, u32),
    previous: (u32, u32),
    /// The index of the current half window.
    half: u64,
    consecutive_failures: u32,
    /// A suspect gets no requests until then, and few afterwards.
    paused_until: Millis,
}

struct Node {
    servers: Vec<usize>,
    observations: BTreeMap<usize, Observations>,
    stamp: Option<Stamp>,
    queried: Rc<Vec<String>>,
    verdicts: Rc<Verdicts>,
}

struct Fleet {
    config: SimulationConfig,
    settings: VoteSettings,
    rng: Pcg64Mcg,
    now: Millis,
    last_event_id: u64,
    /// The due times of events, in microseconds, and their IDs.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    nodes: Vec<Node>,
    log: FleetState,
    tally: Tally,
    next_tick_at: Option<Millis>,
    /// When the last write is on the disks of a majority.
    synced_at: Millis,
    /// When a request to the bad server first failed.
    first_failure_at: Option<Millis>,
    /// The number of nodes that do not know the verdict on the bad server yet.
    unaware_nodes: usize,
    /// The bytes before the server turns bad, and from then to the verdict.
    bytes: (u64, u64),
    report: Report,
}

fn server_name(server: usize) -> String {
    format!("server-{server}")
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

fn process(node: usize) -> Process {
    Process { name: format!("node-{node}"), boot: 1 }
}

/// Runs a simulation to its end, or until all nodes know the verdict on the bad server.
pub fn run(config: SimulationConfig) -> Report {
    let settings = VoteSettings::default();
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
    let mut log = FleetState::new();
    let policy = Policy(
        [("Votes".to_owned(), serde_json::to_value(&settings).expect("settings serialize"))]
            .into_iter()
            .collect(),
    );
    log.apply(1, &Command::Policy(PolicyCommand::Propose { base_epoch: 0, policy }));
    let commit =
        PolicyCommand::Commit { change: ChangeId(1), staged_members: vec![], fenced_members: vec![] };
    log.apply(2, &Command::Policy(commit));
    let mut nodes = Vec::new();
    for node in 0..config.nodes {
        let (liveness_addr, process) = ("127.0.0.1:9".parse().expect("a valid address"), process(node));
        let join = RosterCommand::Join {
            process,
            liveness_addr,
            coexists_with_previous: false,
            fenced: false,
            active_epoch: None,
        };
        log.apply(log.version() + 1, &Command::Roster(join));
        let mut servers: Vec<usize> = (0..config.servers).collect();
        for index in 0..config.servers_per_node {
            let other = rng.random_range(index..config.servers);
            servers.swap(index, other);
        }
        servers.truncate(config.servers_per_node);
        nodes.push(Node {
            servers,
            observations: BTreeMap::new(),
            stamp: None,
            queried: Rc::default(),
            verdicts: Rc::default(),
        });
    }
    let mut fleet = Fleet {
        settings,
        rng,
        now: 0.0,
        last_event_id: 0,
        due: BinaryHeap::new(),
        events: BTreeMap::new(),
        nodes,
        log,
        tally: Tally::new(1, 0.0),
        next_tick_at: None,
        synced_at: 0.0,
        first_failure_at: None,
        unaware_nodes: 0,
        bytes: (0, 0),
        report: Report::default(),
        config,
    };
    for node in 0..fleet.config.nodes {
        let delay = fleet.rng.random_range(0.0..HEARTBEAT_INTERVAL_MS);
        fleet.after(delay, Event::SendHeartbeat(node));
        fleet.schedule_request(node);
    }
    fleet.run();
    fleet.report
}

impl Fleet {
    fn run(&mut self) {
        let bad_at = self.config.bad_at.unwrap_or(self.config.end);
        let per_node_and_s =
            |bytes: u64, ms: Millis, nodes: usize| bytes as f64 * 1000.0 / ms.max(1.0) / nodes as f64;
        while let Some(Reverse((due_us, id))) = self.due.pop() {
            self.now = due_us as Millis / 1000.0;
            if self.now > self.config.end || self.report.known_everywhere_ms.is_some() {
                break;
            }
            let event = self.events.remove(&id).expect("each due event exists");
            self.handle(event);
        }
        self.report.idle_bytes_per_s = per_node_and_s(self.bytes.0, bad_at, self.config.nodes);
        let removed_at = self.first_failure_at.unwrap_or(0.0) + self.report.removed_ms.unwrap_or(0.0);
        self.report.suspect_bytes_per_s =
            per_node_and_s(self.bytes.1, removed_at - bad_at, self.config.nodes);
    }

    fn after(&mut self, delay: Millis, event: Event) {
        self.last_event_id += 1;
        self.due.push(Reverse((((self.now + delay) * 1000.0).round() as u64, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    /// Draws the one-way delay of a link; a lost packet is retransmitted 200 ms later.
    fn link_delay(&mut self) -> Millis {
        let retransmission = if self.rng.random_bool(0.01) { 200.0 } else { 0.0 };
        retransmission + self.rng.random_range(1.0..20.0)
    }

    fn count_bytes(&mut self, bytes: usize) {
        if self.config.bad_at.is_none_or(|bad_at| self.now < bad_at) {
            self.bytes.0 += bytes as u64;
        } else if self.report.removed_ms.is_none() {
            self.bytes.1 += bytes as u64;
        }
    }

    fn schedule_request(&mut self, node: usize) {
        let rate = self.config.rate * self.nodes[node].servers.len() as f64;
        let delay = -1000.0 / rate * (1.0 - self.rng.random::<f64>()).ln();
        self.after(delay, Event::SendRequest(node));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SendRequest(node) => {
                self.schedule_request(node);
                self.send_request(node);
            }
            Event::SendHeartbeat(node) => {
                let report = self.vote_report(node);
                self.count_bytes(serde_json::to_vec(&report).expect("votes serialize").len());
                let (echoed_stamp, delay) = (self.nodes[node].stamp, self.link_delay());
                self.after(delay, Event::HeartbeatArrives { node, echoed_stamp, report });
            }
            Event::HeartbeatArrives { node, echoed_stamp, report } => {
                let (process, report) = (process(node), Some(report));
                self.handle_inputs(vec![Input::Heartbeat { process, echoed_stamp, report }]);
                // The leader replies once it has confirmed its leadership.
                let confirmation = self.rng.random_range(1.0..6.0);
                let stamp = Stamp { term: 1, time: self.now + confirmation };
                let queried = Rc::new(self.tally.queried_servers().to_vec());
                if !queried.is_empty() {
                    self.count_bytes(serde_json::to_vec(&*queried).expect("names serialize").len());
                }
                let delay = self.link_delay();
                self.after(confirmation + delay, Event::ReplyArrives { node, stamp, queried });
            }
            Event::ReplyArrives { node, stamp, queried } => {
                let node_state = &mut self.nodes[node];
                (node_state.stamp, node_state.queried) = (Some(stamp), queried);
                self.after(HEARTBEAT_INTERVAL_MS, Event::SendHeartbeat(node));
            }
            Event::VerdictsArrive { node, verdicts } => self.on_verdicts(node, verdicts),
            Event::Written(command) => self.on_written(command),
            Event::Tick => {
                self.next_tick_at = None;
                self.handle_inputs(vec![Input::Tick]);
            }
        }
    }

    /// Lets a node send a request to one of its servers, if the server gets requests.
    fn send_request(&mut self, node: usize) {
        let index = self.rng.random_range(0..self.nodes[node].servers.len());
        let server = self.nodes[node].servers[index];
        let is_suspect_turn = self.rng.random_bool(self.settings.suspect_share);
        let (now, half) = (self.now, (self.now / (self.settings.evidence_window / 2.0)) as u64);
        let node_state = &mut self.nodes[node];
        let own_name = format!("node-{node}");
        let verdict =
            node_state.verdicts.verdicts.iter().find(|verdict| verdict.server == server_name(server));
        let observed = node_state.observations.entry(server).or_default();
        let is_suspect = observed.consecutive_failures >= OUTLIER_FAILURES;
        if verdict.is_some_and(|verdict| !verdict.probers.contains(&own_name))
            || is_suspect && (now < observed.paused_until || !is_suspect_turn)
        {
            return;
        }
        observed.advance_to(half);
        let is_bad = server == 0 && self.config.bad_at.is_some_and(|bad_at| now >= bad_at);
        let fails = is_bad || self.rng.random_bool(self.config.good_failure_ratio);
        observed.current.0 += 1;
        observed.current.1 += u32::from(fails);
        observed.consecutive_failures = if fails { observed.consecutive_failures + 1 } else { 0 };
        if observed.consecutive_failures >= OUTLIER_FAILURES {
            observed.paused_until = now + self.settings.suspect_pause;
        }
        if is_bad {
            self.first_failure_at.get_or_insert(now);
            self.report.failures += 1;
        }
    }

    /// Returns a node's current report.
    fn vote_report(&mut self, node: usize) -> VoteReport {
        let half = (self.now / (self.settings.evidence_window / 2.0)) as u64;
        let (mut ballots, mut known, mut suspects) = (Vec::new(), 0, 0);
        let Node { observations, queried, .. } = &mut self.nodes[node];
        for (&server, observed) in observations.iter_mut() {
            observed.advance_to(half);
            let attempts = observed.current.0 + observed.previous.0;
            let failures = observed.current.1 + observed.previous.1;
            if attempts < self.settings.min_attempts {
                continue;
            }
            known += 1;
            let is_suspect = observed.consecutive_failures >= OUTLIER_FAILURES;
            let is_in_favor =
                is_suspect || f64::from(failures) >= self.settings.failure_ratio * f64::from(attempts);
            suspects += usize::from(is_in_favor);
            if !is_in_favor && !queried.contains(&server_name(server)) {
                continue;
            }
            // For a suspect only the failures that made it one count.
            let attempts = if is_suspect { observed.consecutive_failures.min(attempts) } else { attempts };
            let connect_failures = failures.min(attempts);
            let evidence = Evidence { attempts, connect_failures, ..Evidence::default() };
            let vote = if is_in_favor { Vote::For } else { Vote::Against };
            ballots.push(Ballot {
                server: server_name(server),
                born_ms: 1.0,
                zone: zone(server),
                vote,
                evidence,
            });
        }
        ballots.sort_by_key(|ballot| ballot.vote);
        ballots.truncate(MAX_BALLOTS);
        let abstains = suspects >= 2 && suspects as f64 > self.settings.abstain_ratio * f64::from(known);
        if abstains {
            ballots.clear();
        }
        let up_servers =
            (0..ZONES).map(|index| (zone(index), ((self.config.servers + ZONES - 1 - index) / ZONES) as u32));
        VoteReport { zone: Some(zone(node)), up_servers: up_servers.collect(), abstains, ballots }
    }

    fn on_verdicts(&mut self, node: usize, verdicts: Rc<Verdicts>) {
        let node_state = &mut self.nodes[node];
        if verdicts.version <= node_state.verdicts.version {
            return;
        }
        let was_removed = node_state.verdicts.verdicts.iter().any(|verdict| verdict.server == server_name(0));
        let is_removed = verdicts.verdicts.iter().any(|verdict| verdict.server == server_name(0));
        for verdict in
            verdicts.verdicts.iter().filter(|verdict| !node_state.verdicts.verdicts.contains(verdict))
        {
            // When a server is removed, and when it is probed, earlier observations no longer count.
            node_state.observations.retain(|server, _| server_name(*server) != verdict.server);
        }
        node_state.verdicts = verdicts;
        if is_removed && !was_removed && node_state.servers.contains(&0) && self.unaware_nodes > 0 {
            self.unaware_nodes -= 1;
            if self.unaware_nodes == 0 {
                self.report.known_everywhere_ms = self.first_failure_at.map(|first| self.now - first);
            }
        }
    }

    /// Lets the tally handle inputs, and writes its commands.
    fn handle_inputs(&mut self, inputs: Vec<Input>) {
        let commands = self.tally.handle_all(self.now, inputs, &self.log);
        for command in commands {
            // Writes are synced in order.
            let sync = self.rng.random_range(2.0..15.0);
            self.synced_at = self.synced_at.max(self.now + sync);
            self.after(self.synced_at - self.now, Event::Written(command));
        }
        if let Some(next) = self.tally.next_tick_at().filter(|_| self.next_tick_at.is_none()) {
            self.next_tick_at = Some(next);
            self.after((next - self.now).max(0.0) + 0.001, Event::Tick);
        }
    }

    fn on_written(&mut self, command: VerdictCommand) {
        let before = self.log.verdicts().version();
        let outcome = self.log.apply(self.log.version() + 1, &Command::Verdict(command.clone()));
        if let (VerdictCommand::Remove { server, .. }, true) =
            (&command, self.log.verdicts().version() > before)
        {
            if *server != server_name(0) || self.first_failure_at.is_none() {
                self.report.wrong_verdicts += 1;
            } else if self.report.removed_ms.is_none() {
                self.report.removed_ms = self.first_failure_at.map(|first| self.now - first);
                self.unaware_nodes = self.nodes.iter().filter(|node| node.servers.contains(&0)).count();
            }
        }
        let verdicts = Rc::new(self.log.verdicts().in_force());
        for node in 0..self.nodes.len() {
            let delay = self.rng.random_range(1.0..10.0) + self.link_delay();
            self.after(delay, Event::VerdictsArrive { node, verdicts: verdicts.clone() });
        }
        self.handle_inputs(vec![Input::WriteResult { command, outcome: Some(outcome) }]);
    }
}

impl Observations {
    /// Moves on to a half window, and drops observations from before the previous one.
    fn advance_to(&mut self, half: u64) {
        if half > self.half {
            self.previous = if half == self.half + 1 { self.current } else { (0, 0) };
            (self.current, self.half) = ((0, 0), half);
        }
    }
}

/// Simulates the same bad server for nodes without votes, each of which ejects it after [`OUTLIER_FAILURES`] consecutive
/// failures. Returns the time from the first failure to the last node's ejection, and the number of failures.
pub fn without_votes(config: &SimulationConfig) -> (Millis, u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
    let (mut first, mut last, mut failures) = (Millis::INFINITY, 0.0_f64, 0);
    for _ in 0..config.nodes {
        if !rng.random_bool(config.servers_per_node as f64 / config.servers as f64) {
            continue;
        }
        let mut at = 0.0;
        for failure in 0..OUTLIER_FAILURES {
            at -= 1000.0 / config.rate * (1.0 - rng.random::<f64>()).ln();
            first = if failure == 0 { first.min(at) } else { first };
            failures += 1;
        }
        last = last.max(at);
    }
    ((last - first).max(0.0), failures)
}
