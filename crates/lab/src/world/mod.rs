//! Everything round the nodes, as one pure state machine over a virtual clock: clients, fronts, app servers, the
//! list, links between zones, and the timeline of faults.
//!
//! Whoever drives it says what the nodes did ([`World::ask_ended`], [`World::attempt`] and so on), lets time pass
//! with [`World::advance`], and carries out what [`World::take`] gives. On sockets that is [`crate::live`]; in the
//! virtual clock [`crate::baseline`] plays the nodes, and a minute takes a fraction of a second. Messages carry
//! the links' delays here, so a socket only has to bring them when they are due.
//!
//! Rejected: a relay process for each pair of parties. It would cost two more sockets for each message, and the
//! kernel would accept connections that a cut should swallow; here the lab plays both ends of each link.

mod attempts;
mod clients;
mod control;
mod faults;
mod figures;
mod fleet;
mod list;
mod votes;

pub use self::figures::FleetState;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use endpoints::{Health, Update};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;

use crate::draw::{Draw, FaultSpec, ServerSpec};
use crate::epochs::EpochTracker;
use crate::plan::{Direction, FaultKind, Idempotency, Rules};
use crate::referee::{Breach, BreachSubject, Referee, Rule};
use crate::removals::RemovalReferee;
use crate::server::{Admission, ColdLoad, Server, Us};
use crate::server_list::{ServerEntry, ServerList};
use crate::tally::{RequestOutcome, Tally};

/// An answer that comes later than this after its time, or never, is lost.
const LOST_AFTER: Us = 500_000;
/// A new connection may be closed with no answer for one request in so many; further ones are lost.
const CLOSED_ONE_IN: u64 = 200;
/// A client with less time than this left does not try again.
const TRY_LEAST: Us = 20_000;
/// After SIGTERM the front goes on connecting for this long.
const FRONT_LINGERS: Us = 300_000;
/// SIGKILL follows SIGTERM after the longest deadline, at most this, ...
const LONGEST_MOST: Us = 3_000_000;
/// ... and this.
const KILL_AFTER: Us = 700_000;
/// A server that drains ends this long after its drain reached the list.
const DRAINS: Us = 2_500_000;
/// A server that ended in order starts again after this.
const STARTS: Us = 500_000;
/// The work of a repeat that is dropped; one that comes while the first still runs costs its work again.
const REPEAT: f64 = 1000.0;
/// An answer's bytes, for the links that limit them.
const ANSWER_BYTES: f64 = 400.0;
/// A request's.
const REQUEST_BYTES: f64 = 400.0;
/// A neighbour is on, or off, for between this and five times as long.
const NEIGHBOUR: Us = 1_000_000;

/// What whoever drives the world has to carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A client's request reaches its node.
    DeliverRequest(usize),
    /// Its client closes the connection.
    ClientDisconnect(usize),
    /// What an attempt gets reaches its node.
    DeliverReply {
        /// The attempt.
        attempt: usize,
        /// What it gets.
        reply: ServerReply,
    },
    /// How new connections from a zone to a server fare from now on.
    SetReachability {
        /// The server.
        server: usize,
        /// The zone of the nodes.
        zone: usize,
        /// How they fare.
        reachability: Reachability,
    },
    /// All connections to a server end; those from the nodes of one zone where it is named.
    CloseConnections {
        /// The server.
        server: usize,
        /// The zone.
        zone: Option<usize>,
    },
    /// A node's agent has a line for its watches.
    SendListUpdate {
        /// The node.
        node: usize,
        /// What it had before.
        from: u64,
        /// The version.
        to: u64,
    },
    /// The watches at a node's agent end.
    CloseWatches(usize),
    /// So many strangers connect to a node and say nothing, until that time.
    OpenIdleConnections {
        /// The node.
        node: usize,
        /// How many.
        count: usize,
        /// Until when they stay.
        until: Us,
    },
    /// A signal to a node.
    SignalNode(usize, Signal),
    /// A node is started anew.
    StartNode(usize),
    /// The control group's part in a fault begins.
    BeginGroupFault(usize),
    /// It ends.
    EndGroupFault(usize),
}

/// What an attempt gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerReply {
    /// 200 and a body.
    Served,
    /// 200 and a body that breaks off.
    Truncated,
    /// 500.
    Error,
    /// 503, turned away.
    TurnedAway,
    /// The connection breaks.
    Reset,
}

/// How new connections fare.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reachability {
    /// They are accepted.
    Open,
    /// They are refused: no process listens.
    Refused,
    /// They never come up.
    Unreachable,
}

/// A signal to a node's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Terminate,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
}

/// What a node's client got in the end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TryOutcome {
    /// A whole answer.
    Answer {
        /// Its status.
        status: u16,
        /// When to come back, where it says so.
        retry_after: Option<Us>,
        /// The attempt that its body names, where it does.
        attempt: Option<usize>,
    },
    /// No connection: the node never had it.
    NoConnection,
    /// The connection ended with no whole answer; `begun` where a part of one came.
    ConnectionLost {
        /// Part of an answer was received.
        partial_answer: bool,
    },
}

/// What a node is asked, for whoever writes it or plays the node.
#[derive(Clone, Copy, Debug)]
pub struct ClientTry {
    /// The node.
    pub node: usize,
    /// The class.
    pub class: usize,
    /// The request, the same for each try of it.
    pub request: usize,
    /// How long the client waits, from when it sent it.
    pub timeout: Us,
    /// When it sent it.
    pub sent_at: Us,
    /// Its work.
    pub work: f64,
    /// What its client guesses that to be.
    pub work_estimate: f64,
    /// It is a client's retry.
    pub is_retry: bool,
}

#[derive(Clone, Copy, Debug)]
enum Ev {
    Arrive(usize),
    Retry(usize),
    ToNode(usize),
    Leaves(usize),
    GivesUp(usize),
    Overdue(usize),
    Hear(usize),
    AtServer(usize),
    CancelAtServer(usize),
    Step(usize),
    ReplyAtNode(usize, ServerReply),
    Tell(usize, u64),
    Begin(usize),
    Finish(usize),
    Toggle(usize, bool),
    Drain(usize, bool),
    EndServer(usize, u32, bool),
    StartServer(usize),
    ListGone(usize, u32),
    ListBack(usize, u32),
    FrontNotices(usize),
    FrontLeaves(usize),
    RestartNode(usize),
    KillNode(usize, Us),
    StartNode(usize),
}

/// Something that is due; ties go by the order in which they were planned.
#[derive(Clone, Copy, Debug)]
struct Due {
    at: Us,
    order: u64,
    event: Ev,
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Due {}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Power {
    Up,
    /// Vanished: silent, its connections stay up.
    Dark,
    /// No process.
    Off,
}

#[derive(Debug)]
struct Place {
    spec: ServerSpec,
    model: Server,
    power: Power,
    /// Counts its starts.
    life: u32,
    born_ms: f64,
    /// Work that it did in its former lives.
    done_before: f64,
    due: Option<Us>,
    slower: f64,
    taken: f64,
    errors: f64,
    /// The share of requests that its release fails, and that the next one will.
    build: f64,
    next_build: f64,
    resets: f64,
    /// The share of late answers, how late, and the share that breaks off.
    gray: (f64, Us, f64),
}

#[derive(Debug)]
struct Node {
    zone: usize,
    /// The front of its zone sends to it.
    believed: bool,
    running: bool,
    /// Told to end at that time.
    terminated: Option<Us>,
    /// Started again once it has ended.
    restart: bool,
    /// Spans in which it was killed or stood still.
    away: Vec<(Us, Us)>,
    /// The version that its agent has.
    version: u64,
    /// The share of what it sends to servers that is lost.
    uplink: f64,
    /// The newest line waits to be overtaken; it brings the node on from this version.
    overtaken: Option<u64>,
}

#[derive(Debug)]
struct Request {
    tries: usize,
    ended: Option<RequestOutcome>,
    /// It has run, and until then its repeats are dropped.
    kept: Option<Us>,
    /// What its last try came to.
    last: RequestOutcome,
    rng: Pcg64,
}

#[derive(Debug)]
struct Try {
    request: usize,
    node: usize,
    at: Us,
    wait: Us,
    again: bool,
    got: Option<TryOutcome>,
    /// The client no longer waits for it.
    over: bool,
    /// It was written to its node.
    sent: bool,
    /// Its client has closed the connection.
    left: bool,
    /// A server has served it.
    served: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    OnWay,
    Held,
    Answered(ServerReply),
    Closed,
}

#[derive(Debug)]
struct Attempt {
    of: usize,
    place: usize,
    server: usize,
    life: u32,
    zone: usize,
    stage: Stage,
    told: bool,
    /// Something was wrong with the server when it was sent.
    ails: bool,
    /// What it got has reached its node.
    heard: bool,
}

/// One way from a zone to another.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    /// How many faults cut it.
    cuts: u32,
    /// What a byte takes where it is narrow; 0: nothing.
    us_per_byte: f64,
    /// When what was sent before is through.
    free: Us,
}

/// Where a server listens for the nodes of a zone.
pub type Dial = Rc<dyn Fn(usize, usize) -> SocketAddr>;

/// The world.
pub struct World {
    draw: Rc<Draw>,
    now: Us,
    /// How late, at most, something due was looked at, for each event.
    lateness: Vec<u32>,
    queue: BinaryHeap<Reverse<Due>>,
    order: u64,
    out: VecDeque<Effect>,
    chance: Pcg64,
    unix_start_ms: f64,
    dial: Dial,
    servers: Vec<Place>,
    nodes: Vec<Node>,
    turns: Vec<usize>,
    requests: Vec<Request>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    list: ServerList,
    silent: bool,
    /// By how many versions the list tells less than it knew.
    behind: u64,
    reordered: bool,
    links: Vec<Vec<Link>>,
    referee: Referee,
    tally: Tally,
    /// What servers' former lives were sent while cold.
    cold_before: Vec<ColdLoad>,
    epochs: Option<EpochTracker>,
    removals: RemovalReferee,
}

impl World {
    /// The world at the start; the clock starts with the first client.
    pub fn new(draw: Rc<Draw>, rules: Rules, unix_start_ms: f64, dial: Dial) -> Self {
        let servers: Vec<Place> =
            draw.servers.iter().map(|spec| Place::new(spec.clone(), None, 0.0)).collect();
        let entries = servers.iter().enumerate().map(|(n, p)| entry(&draw, n, p, Health::Active)).collect();
        let nodes = draw.nodes.iter().map(|zone| Node {
            zone: *zone,
            believed: true,
            running: true,
            terminated: None,
            restart: false,
            away: Vec::new(),
            version: 1,
            uplink: 0.0,
            overtaken: None,
        });
        let zones = draw.zones.len();
        let mut world = Self {
            now: 0,
            lateness: Vec::new(),
            queue: BinaryHeap::new(),
            order: 0,
            out: VecDeque::new(),
            chance: draw.network_rng(),
            unix_start_ms,
            dial,
            nodes: nodes.collect(),
            turns: vec![0; zones],
            requests: Vec::with_capacity(draw.arrivals.len()),
            tries: Vec::new(),
            attempts: Vec::new(),
            list: ServerList::new(entries),
            silent: false,
            behind: 0,
            reordered: false,
            links: vec![vec![Link::default(); zones]; zones],
            referee: Referee::new(rules, draw.nodes.len()),
            tally: Tally::new(draw.classes.len()),
            cold_before: Vec::new(),
            epochs: None,
            removals: RemovalReferee::new(votes::grace(&draw), &draw.zones),
            servers,
            draw,
        };
        for node in 0..world.nodes.len() {
            world.referee.node_started(0, node, 1, &world.list);
        }
        if !world.draw.arrivals.is_empty() {
            world.at(world.draw.arrivals[0].at, Ev::Arrive(0));
        }
        for fault in 0..world.draw.faults.len() {
            let FaultSpec { at, until, .. } = world.draw.faults[fault];
            world.at(at, Ev::Begin(fault));
            world.at(until, Ev::Finish(fault));
        }
        world
    }

    fn at(&mut self, due: Us, event: Ev) {
        self.order += 1;
        self.queue.push(Reverse(Due { at: due.max(self.now), order: self.order, event }));
    }

    /// When something happens next.
    pub fn next_due(&self) -> Option<Us> {
        self.queue.peek().map(|Reverse(due)| due.at)
    }

    /// Lets time pass up to now.
    pub fn advance(&mut self, now: Us) {
        while let Some(Reverse(due)) = self.pop(now) {
            self.now = due.at;
            self.lateness.push((now - due.at).min(u64::from(u32::MAX)) as u32);
            self.happen(due.event);
        }
        self.now = self.now.max(now);
    }

    fn pop(&mut self, now: Us) -> Option<Reverse<Due>> {
        let due = self.next_due().is_some_and(|due| due <= now);
        if due {
            self.queue.pop()
        } else {
            None
        }
    }

    /// What is to be carried out next.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.out.pop_front()
    }

    /// Is the play over: no client waits for anything, and no fault goes on?
    pub fn is_over(&self) -> bool {
        let faults = self.draw.faults.iter().map(|f| f.until).max().unwrap_or(0);
        let longest = self.draw.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let end = self.draw.length.max(faults) + longest + LOST_AFTER + 500_000;
        self.now >= end
    }

    /// The time.
    pub fn now(&self) -> Us {
        self.now
    }

    fn jittered(&mut self, delay: Us) -> Us {
        let jitter: f64 = Exp1.sample(&mut self.chance);
        (delay as f64 * (1.0 + self.draw.jitter * jitter)) as Us
    }

    fn happen(&mut self, event: Ev) {
        match event {
            Ev::Arrive(n) => self.arrive(n),
            Ev::Retry(request) => self.start_try(request),
            Ev::ToNode(ask) => self.reaches_node(ask),
            Ev::Leaves(ask) => self.leaves(ask),
            Ev::GivesUp(ask) => self.gives_up(ask),
            Ev::Overdue(ask) => self.overdue(ask),
            Ev::Hear(ask) => self.hear(ask),
            Ev::AtServer(attempt) => self.at_server(attempt),
            Ev::CancelAtServer(attempt) => self.cancel_at_server(attempt),
            Ev::Step(server) => self.step(server),
            Ev::ReplyAtNode(attempt, reply) => self.reply_at_node(attempt, reply),
            Ev::Tell(node, version) => self.tell(node, version),
            Ev::Begin(fault) => self.begin(fault),
            Ev::Finish(fault) => self.finish(fault),
            Ev::Toggle(fault, on) => self.toggle(fault, on),
            Ev::Drain(server, replace) => self.drain(server, replace),
            Ev::EndServer(server, life, replace) => self.end_server(server, life, replace),
            Ev::StartServer(server) => self.start_server(server),
            Ev::ListGone(server, life) => self.list_if(server, life, Health::Left),
            Ev::ListBack(server, life) => self.list_if(server, life, Health::Active),
            Ev::FrontNotices(node) => self.nodes[node].believed &= self.nodes[node].running,
            Ev::FrontLeaves(node) => self.nodes[node].believed &= self.nodes[node].terminated.is_none(),
            Ev::RestartNode(node) => self.restart_node(node),
            Ev::KillNode(node, told) => self.kill_if_running(node, told),
            Ev::StartNode(node) => self.start_node(node),
        }
    }
}

impl Place {
    fn new(spec: ServerSpec, born: Option<Us>, born_ms: f64) -> Self {
        Self {
            model: Server::new(spec.parameters.clone(), born),
            spec,
            power: Power::Up,
            life: 0,
            born_ms,
            done_before: 0.0,
            due: None,
            slower: 1.0,
            taken: 0.0,
            errors: 0.0,
            build: 0.0,
            next_build: 0.0,
            resets: 0.0,
            gray: (0.0, 0, 0.0),
        }
    }
}

impl Node {
    /// Need it not answer what came in a span? It was killed, started or stopped then or shortly before, or had been
    /// told to end for long.
    fn excused(&self, from: Us, to: Us) -> bool {
        let away = |(a, b): &(Us, Us)| *a <= to && *b + LOST_AFTER >= from;
        let told = self.terminated.is_some_and(|at| from > at + KILL_AFTER);
        !self.running || told || self.away.iter().any(away)
    }
}

/// The name of a server: the same at every node, and no hint of its place.
fn name_of(draw: &Draw, server: usize) -> String {
    let mut rng = Pcg64::new(u128::from(draw.seed), 0x1000 + server as u128);
    format!("s-{:08x}", rng.random::<u32>())
}

fn entry(draw: &Draw, server: usize, place: &Place, health: Health) -> ServerEntry {
    ServerEntry {
        name: name_of(draw, server),
        zone: draw.zones[place.spec.zone].clone(),
        cell: place.spec.cell,
        health,
        born_ms: place.born_ms,
    }
}
