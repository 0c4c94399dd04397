//! Votes of a fleet in virtual time: the real tally and log, and nodes as simple as may be, with links and disks drawn from
//! a seed. What is counted in bytes is what votes add to beats, answers and watches.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

use consensus::StateMachine as _;
use control::command::{Command, PolicyCommand, RosterCommand, VerdictCommand};
use control::machine::Agreement;
use control::tally::{Input, Tally};
use member::votes::{Ballot, Evidence, Verdicts, Vote, VoteReport, VoteSettings, MAX_BALLOTS};
use member::{ChangeId, Millis, Policy, Process, Stamp};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

const BEAT_MS: Millis = 250.0;
const ZONES: usize = 3;
/// Failures in a row that make a suspect, or an outlier of a node that is alone.
pub const IN_A_ROW: u32 = 3;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub servers: usize,
    /// To how many of the servers each node sends, and how many requests a second to each of them.
    pub fan: usize,
    pub rate: f64,
    /// Part of the requests to a good server that fail.
    pub honest: f64,
    /// From when on the first server answers nothing.
    pub bad_at: Option<Millis>,
    pub end: Millis,
    pub seed: u64,
}

/// What came of it; times in milliseconds of the world.
#[derive(Debug, Default)]
pub struct Report {
    /// From the first failure of the bad server to the verdict, and to the last node having heard it.
    pub removed: Option<Millis>,
    pub heard: Option<Millis>,
    /// Failures of the bad server until then, all nodes together.
    pub paid: u64,
    /// Verdicts on good servers.
    pub wrong: u64,
    /// Bytes that votes add a node and second: before the server is bad, and from then to the verdict.
    pub calm: f64,
    pub suspect: f64,
}

enum Event {
    Request(usize),
    Beat(usize),
    Comes { node: usize, echo: Option<Stamp>, votes: VoteReport },
    Answer { node: usize, stamp: Stamp, asked: Rc<Vec<String>> },
    News { node: usize, told: Rc<Verdicts> },
    Written(VerdictCommand),
    Tick,
}

/// What a node has seen of a server.
#[derive(Clone, Copy, Default)]
struct Seen {
    /// Attempts and failures in this half of a window and in the one before.
    now: (u32, u32),
    before: (u32, u32),
    half: u64,
    row: u32,
    /// A suspect gets nothing until then, and little from then on.
    aside: Millis,
}

struct Node {
    servers: Vec<usize>,
    seen: BTreeMap<usize, Seen>,
    echo: Option<Stamp>,
    asked: Rc<Vec<String>>,
    told: Rc<Verdicts>,
}

struct Fleet {
    plan: Plan,
    figures: VoteSettings,
    draw: Pcg64Mcg,
    now: Millis,
    order: u64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    nodes: Vec<Node>,
    log: Agreement,
    tally: Tally,
    ticks: Option<Millis>,
    synced: Millis,
    first: Option<Millis>,
    unheard: usize,
    bytes: (u64, u64),
    report: Report,
}

fn name(server: usize) -> String {
    format!("server-{server}")
}

fn zone(place: usize) -> String {
    format!("zone-{}", place % ZONES)
}

fn process(node: usize) -> Process {
    Process { name: format!("node-{node}"), boot: 1 }
}

/// Runs a plan to its end, or until the bad server is gone from all nodes.
pub fn run(plan: Plan) -> Report {
    let figures = VoteSettings::default();
    let mut draw = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut log = Agreement::new();
    let policy = Policy(
        [("Votes".to_owned(), serde_json::to_value(&figures).expect("figures serialize"))]
            .into_iter()
            .collect(),
    );
    log.apply(1, &Command::Policy(PolicyCommand::Propose { base: 0, policy }));
    let commit = PolicyCommand::Commit { change: ChangeId(1), staged: vec![], fenced: vec![] };
    log.apply(2, &Command::Policy(commit));
    let mut nodes = Vec::new();
    for node in 0..plan.nodes {
        let (life, process) = ("127.0.0.1:9".parse().expect("an address"), process(node));
        let join = RosterCommand::Join { process, life, beside: false, fenced: false, active: None };
        log.apply(log.version() + 1, &Command::Roster(join));
        let mut servers: Vec<usize> = (0..plan.servers).collect();
        for place in 0..plan.fan {
            let other = draw.random_range(place..plan.servers);
            servers.swap(place, other);
        }
        servers.truncate(plan.fan);
        nodes.push(Node {
            servers,
            seen: BTreeMap::new(),
            echo: None,
            asked: Rc::default(),
            told: Rc::default(),
        });
    }
    let mut fleet = Fleet {
        figures,
        draw,
        now: 0.0,
        order: 0,
        due: BinaryHeap::new(),
        events: BTreeMap::new(),
        nodes,
        log,
        tally: Tally::new(1, 0.0),
        ticks: None,
        synced: 0.0,
        first: None,
        unheard: 0,
        bytes: (0, 0),
        report: Report::default(),
        plan,
    };
    for node in 0..fleet.plan.nodes {
        let at = fleet.draw.random_range(0.0..BEAT_MS);
        fleet.after(at, Event::Beat(node));
        fleet.next_request(node);
    }
    fleet.run();
    fleet.report
}

impl Fleet {
    fn run(&mut self) {
        let bad_at = self.plan.bad_at.unwrap_or(self.plan.end);
        let part = |bytes: u64, ms: Millis, nodes: usize| bytes as f64 * 1000.0 / ms.max(1.0) / nodes as f64;
        while let Some(Reverse((at, order))) = self.due.pop() {
            self.now = at as Millis / 1000.0;
            if self.now > self.plan.end || self.report.heard.is_some() {
                break;
            }
            let event = self.events.remove(&order).expect("each that is due is kept");
            self.event(event);
        }
        self.report.calm = part(self.bytes.0, bad_at, self.plan.nodes);
        let ended = self.first.unwrap_or(0.0) + self.report.removed.unwrap_or(0.0);
        self.report.suspect = part(self.bytes.1, ended - bad_at, self.plan.nodes);
    }

    fn after(&mut self, delay: Millis, event: Event) {
        self.order += 1;
        self.due.push(Reverse((((self.now + delay) * 1000.0).round() as u64, self.order)));
        self.events.insert(self.order, event);
    }

    /// One way over a link: a lost packet is sent again 200 ms later.
    fn link(&mut self) -> Millis {
        let again = if self.draw.random_bool(0.01) { 200.0 } else { 0.0 };
        again + self.draw.random_range(1.0..20.0)
    }

    fn count(&mut self, bytes: usize) {
        if self.plan.bad_at.is_none_or(|bad_at| self.now < bad_at) {
            self.bytes.0 += bytes as u64;
        } else if self.report.removed.is_none() {
            self.bytes.1 += bytes as u64;
        }
    }

    fn next_request(&mut self, node: usize) {
        let rate = self.plan.rate * self.nodes[node].servers.len() as f64;
        let delay = -1000.0 / rate * (1.0 - self.draw.random::<f64>()).ln();
        self.after(delay, Event::Request(node));
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Request(node) => {
                self.next_request(node);
                self.request(node);
            }
            Event::Beat(node) => {
                let votes = self.votes(node);
                self.count(serde_json::to_vec(&votes).expect("votes serialize").len());
                let (echo, link) = (self.nodes[node].echo, self.link());
                self.after(link, Event::Comes { node, echo, votes });
            }
            Event::Comes { node, echo, votes } => {
                self.lead(vec![Input::Beat { process: process(node), echo, votes: Some(votes) }]);
                // The leader answers once it has made sure that it leads.
                let confirm = self.draw.random_range(1.0..6.0);
                let (stamp, asked) =
                    (Stamp { term: 1, time: self.now + confirm }, Rc::new(self.tally.asked().to_vec()));
                if !asked.is_empty() {
                    self.count(serde_json::to_vec(&*asked).expect("names serialize").len());
                }
                let link = self.link();
                self.after(confirm + link, Event::Answer { node, stamp, asked });
            }
            Event::Answer { node, stamp, asked } => {
                let other = &mut self.nodes[node];
                (other.echo, other.asked) = (Some(stamp), asked);
                self.after(BEAT_MS, Event::Beat(node));
            }
            Event::News { node, told } => self.news(node, told),
            Event::Written(command) => self.written(command),
            Event::Tick => {
                self.ticks = None;
                self.lead(vec![Input::Tick]);
            }
        }
    }

    /// A node sends a request to one of its servers, if it may.
    fn request(&mut self, node: usize) {
        let place = self.draw.random_range(0..self.nodes[node].servers.len());
        let server = self.nodes[node].servers[place];
        let keeps = self.draw.random_bool(self.figures.suspect_share);
        let (now, half) = (self.now, (self.now / (self.figures.evidence_window / 2.0)) as u64);
        let other = &mut self.nodes[node];
        let me = format!("node-{node}");
        let out = other.told.verdicts.iter().find(|verdict| verdict.server == name(server));
        let seen = other.seen.entry(server).or_default();
        let suspect = seen.row >= IN_A_ROW;
        if out.is_some_and(|verdict| !verdict.probers.contains(&me))
            || suspect && (now < seen.aside || !keeps)
        {
            return;
        }
        seen.turn(half);
        let bad = server == 0 && self.plan.bad_at.is_some_and(|bad_at| now >= bad_at);
        let fails = bad || self.draw.random_bool(self.plan.honest);
        seen.now.0 += 1;
        seen.now.1 += u32::from(fails);
        seen.row = if fails { seen.row + 1 } else { 0 };
        if seen.row >= IN_A_ROW {
            seen.aside = now + self.figures.suspect_pause;
        }
        if bad {
            self.first.get_or_insert(now);
            self.report.paid += 1;
        }
    }

    /// What a node says of servers.
    fn votes(&mut self, node: usize) -> VoteReport {
        let half = (self.now / (self.figures.evidence_window / 2.0)) as u64;
        let (mut ballots, mut known, mut suspects) = (Vec::new(), 0, 0);
        let Node { seen, asked, .. } = &mut self.nodes[node];
        for (&server, seen) in seen.iter_mut() {
            seen.turn(half);
            let (attempts, failed) = (seen.now.0 + seen.before.0, seen.now.1 + seen.before.1);
            if attempts < self.figures.min_attempts {
                continue;
            }
            known += 1;
            let suspect = seen.row >= IN_A_ROW;
            let favour = suspect || f64::from(failed) >= self.figures.failure_ratio * f64::from(attempts);
            suspects += usize::from(favour);
            if !favour && !asked.contains(&name(server)) {
                continue;
            }
            // Of a suspect, what has made it one.
            let attempts = if suspect { seen.row.min(attempts) } else { attempts };
            let evidence =
                Evidence { attempts, connect_failures: failed.min(attempts), ..Evidence::default() };
            let stand = if favour { Vote::For } else { Vote::Against };
            ballots.push(Ballot {
                server: name(server),
                born_ms: 1.0,
                zone: zone(server),
                vote: stand,
                evidence,
            });
        }
        ballots.sort_by_key(|ballot| ballot.vote);
        ballots.truncate(MAX_BALLOTS);
        let doubts = suspects >= 2 && suspects as f64 > self.figures.abstain_ratio * f64::from(known);
        if doubts {
            ballots.clear();
        }
        let up =
            (0..ZONES).map(|place| (zone(place), ((self.plan.servers + ZONES - 1 - place) / ZONES) as u32));
        VoteReport { zone: Some(zone(node)), up_servers: up.collect(), abstains: doubts, ballots }
    }

    fn news(&mut self, node: usize, told: Rc<Verdicts>) {
        let other = &mut self.nodes[node];
        if told.version <= other.told.version {
            return;
        }
        let had = other.told.verdicts.iter().any(|verdict| verdict.server == name(0));
        let has = told.verdicts.iter().any(|verdict| verdict.server == name(0));
        for verdict in told.verdicts.iter().filter(|verdict| !other.told.verdicts.contains(verdict)) {
            // Removed, and probed: what it has seen before says no more.
            other.seen.retain(|server, _| name(*server) != verdict.server);
        }
        other.told = told;
        if has && !had && other.servers.contains(&0) && self.unheard > 0 {
            self.unheard -= 1;
            if self.unheard == 0 {
                self.report.heard = self.first.map(|first| self.now - first);
            }
        }
    }

    fn lead(&mut self, inputs: Vec<Input>) {
        let commands = self.tally.handle_all(self.now, inputs, &self.log);
        for command in commands {
            // Writes come to be synced in their order.
            let sync = self.draw.random_range(2.0..15.0);
            self.synced = self.synced.max(self.now + sync);
            self.after(self.synced - self.now, Event::Written(command));
        }
        if let Some(next) = self.tally.next().filter(|_| self.ticks.is_none()) {
            self.ticks = Some(next);
            self.after((next - self.now).max(0.0) + 0.001, Event::Tick);
        }
    }

    fn written(&mut self, command: VerdictCommand) {
        let before = self.log.verdicts().version();
        let outcome = self.log.apply(self.log.version() + 1, &Command::Verdict(command.clone()));
        if let (VerdictCommand::Remove { server, .. }, true) =
            (&command, self.log.verdicts().version() > before)
        {
            if *server != name(0) || self.first.is_none() {
                self.report.wrong += 1;
            } else if self.report.removed.is_none() {
                self.report.removed = self.first.map(|first| self.now - first);
                self.unheard = self.nodes.iter().filter(|node| node.servers.contains(&0)).count();
            }
        }
        let told = Rc::new(self.log.verdicts().told());
        for node in 0..self.nodes.len() {
            let delay = self.draw.random_range(1.0..10.0) + self.link();
            self.after(delay, Event::News { node, told: told.clone() });
        }
        self.lead(vec![Input::Written { command, outcome: Some(outcome) }]);
    }
}

impl Seen {
    fn turn(&mut self, half: u64) {
        if half > self.half {
            self.before = if half == self.half + 1 { self.now } else { (0, 0) };
            (self.now, self.half) = ((0, 0), half);
        }
    }
}

/// The same server bad for nodes that are alone: each takes it out after so many failures in a row. From the first
/// failure to the last node's, and failures paid until then.
pub fn alone(plan: &Plan) -> (Millis, u64) {
    let mut draw = Pcg64Mcg::seed_from_u64(plan.seed);
    let (mut first, mut last, mut paid) = (Millis::INFINITY, 0.0_f64, 0);
    for _ in 0..plan.nodes {
        if !draw.random_bool(plan.fan as f64 / plan.servers as f64) {
            continue;
        }
        let mut at = 0.0;
        for row in 0..IN_A_ROW {
            at -= 1000.0 / plan.rate * (1.0 - draw.random::<f64>()).ln();
            first = if row == 0 { first.min(at) } else { first };
            paid += 1;
        }
        last = last.max(at);
    }
    ((last - first).max(0.0), paid)
}
