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

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use endpoints::{Health, Update};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;

use crate::draw::{ms, Draw, FaultSpec, ServerSpec};
use crate::listing::{Entry, List};
use crate::plan::{Rules, Trouble, Way};
use crate::referee::{About, Breach, Referee, Rule};
use crate::server::{Arrived, Server, Us};
use crate::tally::{End, Tally};

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
/// An answer's bytes, for the links that limit them.
const ANSWER_BYTES: f64 = 400.0;
/// A neighbour is on, or off, for between this and five times as long.
const NEIGHBOUR: Us = 1_000_000;

/// What whoever drives the world has to carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Out {
    /// A client's request reaches its node.
    Ask(usize),
    /// Its client closes the connection.
    Leave(usize),
    /// What an attempt gets reaches its node.
    Reply {
        /// The attempt.
        attempt: usize,
        /// What it gets.
        reply: Reply,
    },
    /// How new connections from a zone to a server fare from now on.
    Reach {
        /// The server.
        server: usize,
        /// The zone of the nodes.
        zone: usize,
        /// How they fare.
        reach: Reach,
    },
    /// All connections to a server end.
    Drop(usize),
    /// A node's agent has a version of the list.
    Tell {
        /// The node.
        node: usize,
        /// What it had before.
        from: u64,
        /// The version.
        to: u64,
    },
    /// The list falls silent, or speaks again.
    Silence(bool),
    /// A signal to a node.
    Signal(usize, Signal),
    /// A node is started anew.
    Start(usize),
}

/// What an attempt gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// 200 and a body.
    Served,
    /// 200 and a body that breaks off.
    Garbled,
    /// 500.
    Error,
    /// 503, turned away.
    TurnedAway,
    /// The connection breaks.
    Reset,
}

/// How new connections fare.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// They are accepted.
    Open,
    /// They are refused: no process listens.
    Refused,
    /// They never come up.
    Dark,
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
pub enum Got {
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
    NotTaken,
    /// The connection ended with no whole answer; `begun` where a part of one came.
    Broken {
        /// Some of an answer came.
        begun: bool,
    },
}

/// What a node is asked, for whoever writes it or plays the node.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// The node.
    pub node: usize,
    /// The class.
    pub class: usize,
    /// The request, the same for each try of it.
    pub request: usize,
    /// How long the client waits, from when it sent it.
    pub wait: Us,
    /// When it sent it.
    pub at: Us,
    /// Its work.
    pub work: f64,
    /// It is a client's retry.
    pub again: bool,
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
    ReplyAtNode(usize, Reply),
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
}

#[derive(Debug)]
struct Request {
    tries: usize,
    /// The try that the client waits for.
    current: Option<usize>,
    ended: Option<End>,
    /// What its last try came to.
    last: End,
    rng: Pcg64,
}

#[derive(Debug)]
struct Try {
    request: usize,
    node: usize,
    at: Us,
    wait: Us,
    again: bool,
    got: Option<Got>,
    /// The client no longer waits for it.
    over: bool,
    /// It was written to its node.
    sent: bool,
    /// Its client has closed the connection.
    left: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    OnWay,
    Held,
    Answered(Reply),
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
    out: VecDeque<Out>,
    chance: Pcg64,
    unix_start_ms: f64,
    dial: Dial,
    servers: Vec<Place>,
    nodes: Vec<Node>,
    turns: Vec<usize>,
    requests: Vec<Request>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    list: List,
    silent: bool,
    cuts: Vec<Vec<u32>>,
    referee: Referee,
    tally: Tally,
    first_servers: usize,
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
        });
        let zones = draw.zones.len();
        let mut world = Self {
            now: 0,
            lateness: Vec::new(),
            queue: BinaryHeap::new(),
            order: 0,
            out: VecDeque::new(),
            chance: draw.network_chance(),
            unix_start_ms,
            dial,
            nodes: nodes.collect(),
            turns: vec![0; zones],
            requests: Vec::with_capacity(draw.arrivals.len()),
            tries: Vec::new(),
            attempts: Vec::new(),
            list: List::new(entries),
            silent: false,
            cuts: vec![vec![0; zones]; zones],
            referee: Referee::new(rules, draw.nodes.len()),
            tally: Tally::new(draw.classes.len()),
            first_servers: servers.len(),
            servers,
            draw,
        };
        for node in 0..world.nodes.len() {
            world.referee.started(0, node, 1, &world.list);
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

    // ---- Time ----

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
    pub fn take(&mut self) -> Option<Out> {
        self.out.pop_front()
    }

    /// Is the play over: no client waits for anything, and no fault goes on?
    pub fn over(&self) -> bool {
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

    // ---- Clients and fronts ----

    fn arrive(&mut self, n: usize) {
        let draw = self.draw.clone();
        let arrival = &draw.arrivals[n];
        if let Some(next) = draw.arrivals.get(n + 1) {
            self.at(next.at, Ev::Arrive(n + 1));
        }
        self.requests.push(Request {
            tries: 0,
            current: None,
            ended: None,
            last: End::Unanswered,
            rng: Pcg64::seed_from_u64(arrival.chance),
        });
        self.tally.asked(arrival.class, arrival.at, self.worth(n));
        self.tally.work += arrival.work;
        self.start_try(n);
    }

    fn worth(&self, request: usize) -> f64 {
        let arrival = &self.draw.arrivals[request];
        self.draw.classes[arrival.class].worth * arrival.work
    }

    fn start_try(&mut self, request: usize) {
        let draw = self.draw.clone();
        let (arrival, now) = (&draw.arrivals[request], self.now);
        let class = &draw.classes[arrival.class];
        let Some(left) = (arrival.at + class.deadline).checked_sub(now).filter(|left| *left >= TRY_LEAST)
        else {
            return self.end(request, None);
        };
        let wait = left.min((class.deadline as f64 * draw.clients.try_share) as Us);
        let node = self.front(arrival.zone);
        let ask = self.tries.len();
        let again = self.requests[request].tries > 0;
        self.requests[request].tries += 1;
        self.requests[request].current = Some(ask);
        self.tries.push(Try {
            request,
            node,
            at: now,
            wait,
            again,
            got: None,
            over: false,
            sent: false,
            left: false,
        });
        self.referee.asked(node, class);
        self.tally.second(now).tries += 1;
        let there = now + self.jittered(draw.client_delay);
        self.at(there, Ev::ToNode(ask));
        self.at(now + wait, Ev::GivesUp(ask));
        self.at(now + wait + LOST_AFTER, Ev::Overdue(ask));
        if let Some(share) = arrival.leaves.filter(|_| !again) {
            self.at(now + (wait as f64 * share) as Us, Ev::Leaves(ask));
        }
    }

    /// The node that the front of a zone takes next: each in turn that it believes to be there.
    fn front(&mut self, zone: usize) -> usize {
        let own = |n: &usize| self.nodes[*n].zone == zone;
        let mut nodes: Vec<usize> = (0..self.nodes.len()).filter(own).collect();
        if nodes.is_empty() {
            nodes = (0..self.nodes.len()).collect();
        }
        let believed: Vec<usize> = nodes.iter().copied().filter(|n| self.nodes[*n].believed).collect();
        let nodes = if believed.is_empty() { nodes } else { believed };
        self.turns[zone] += 1;
        nodes[self.turns[zone] % nodes.len()]
    }

    fn reaches_node(&mut self, ask: usize) {
        // Whoever leaves sooner than its request is there was never heard of.
        if !self.tries[ask].left {
            self.tries[ask].sent = true;
            self.out.push_back(Out::Ask(ask));
        }
    }

    /// The client closes its connection.
    fn leave(&mut self, ask: usize) {
        self.tries[ask].left = true;
        if self.tries[ask].sent {
            self.out.push_back(Out::Leave(ask));
        }
    }

    fn leaves(&mut self, ask: usize) {
        if self.tries[ask].got.is_none() && !self.tries[ask].over {
            self.tries[ask].over = true;
            self.leave(ask);
            self.end(self.tries[ask].request, Some(End::Unanswered));
        }
    }

    fn gives_up(&mut self, ask: usize) {
        if !self.tries[ask].over {
            self.tries[ask].over = true;
            self.requests[self.tries[ask].request].last = End::Unanswered;
            self.again(self.tries[ask].request, None);
        }
    }

    /// The client's machine goes on listening for a while after its client gave up; what has not come by now is lost.
    fn overdue(&mut self, ask: usize) {
        let t = &self.tries[ask];
        if t.got.is_some() || t.left {
            return;
        }
        let (from, to) = (t.at, self.now);
        let late = self.nodes[t.node].terminated.is_some_and(|at| from > at + KILL_AFTER);
        if !late && !self.nodes[t.node].was_away(from, to) {
            let about = About { node: Some(t.node), server: None, request: Some(ask) };
            self.referee.note(Rule::Answer, self.now, about, "no final answer");
        }
        self.leave(ask);
    }

    /// What a node is asked.
    pub fn asked(&self, ask: usize) -> Ask {
        let t = &self.tries[ask];
        let arrival = &self.draw.arrivals[t.request];
        Ask {
            node: t.node,
            class: arrival.class,
            request: t.request,
            wait: t.wait,
            at: t.at,
            work: arrival.work,
            again: t.again,
        }
    }

    /// A node's answer to a client, or what became of the connection.
    pub fn ask_ended(&mut self, now: Us, ask: usize, got: Got) {
        self.advance(now);
        if self.tries[ask].got.is_some() || self.tries[ask].left {
            return;
        }
        self.tries[ask].got = Some(got);
        let t = &self.tries[ask];
        let (node, from, due) = (t.node, t.at, t.at + t.wait);
        match got {
            Got::Answer { status, attempt, .. } => {
                let served = |a: usize| {
                    self.attempts
                        .get(a)
                        .is_some_and(|a| a.of == ask && a.stage == Stage::Answered(Reply::Served))
                };
                let genuine = attempt.is_some_and(served);
                self.referee.answered(now, ask, status, genuine);
                if now > due + ms(70.0) {
                    self.tally.overdue += 1;
                }
            }
            Got::Broken { begun: false } => {
                let late = self.nodes[node].terminated.is_some_and(|at| from > at + KILL_AFTER);
                if !late && !self.nodes[node].was_away(from, now) {
                    self.tally.closed += 1;
                    if self.tally.closed * CLOSED_ONE_IN > self.draw.arrivals.len() as u64 {
                        let about = About { node: Some(node), server: None, request: Some(ask) };
                        let words = "connections that end with no answer, beyond one request in 200";
                        self.referee.note(Rule::Answer, now, about, words);
                    }
                }
            }
            Got::NotTaken | Got::Broken { begun: true } => {}
        }
        let back = now + self.jittered(self.draw.client_delay);
        self.at(back, Ev::Hear(ask));
    }

    /// The client hears how its try ended, if it still waits.
    fn hear(&mut self, ask: usize) {
        if std::mem::replace(&mut self.tries[ask].over, true) {
            return;
        }
        let request = self.tries[ask].request;
        let arrival = &self.draw.arrivals[request];
        match self.tries[ask].got {
            Some(Got::Answer { status: 200, .. }) => {
                let late = self.now > arrival.at + self.draw.classes[arrival.class].aim;
                self.tally.useful += arrival.work;
                self.end(request, Some(if late { End::Late } else { End::InTime }));
            }
            Some(Got::Answer { status: 429 | 503, retry_after, .. }) => {
                self.requests[request].last = End::Refused;
                self.again(request, retry_after);
            }
            _ => {
                self.requests[request].last = End::Failed;
                self.again(request, None);
            }
        }
    }

    /// The client tries again after a wait, if it may.
    fn again(&mut self, request: usize, told: Option<Us>) {
        let draw = self.draw.clone();
        let r = &mut self.requests[request];
        if r.tries > draw.clients.retries {
            return self.end(request, None);
        }
        let full = draw.clients.backoff << (r.tries - 1).min(10);
        let mut wait = (full as f64 * r.rng.random_range(0.5..1.0)) as Us;
        if let Some(told) = told.filter(|_| draw.arrivals[request].honours) {
            wait = wait.max(told.min(draw.clients.max_retry_after));
        }
        self.at(self.now + wait, Ev::Retry(request));
    }

    fn end(&mut self, request: usize, end: Option<End>) {
        let r = &mut self.requests[request];
        let end = end.unwrap_or(r.last);
        if r.ended.replace(end).is_some() {
            return;
        }
        let arrival = &self.draw.arrivals[request];
        let (took, worth) = (self.now - arrival.at, self.worth(request));
        self.tally.ended(arrival.class, arrival.at, worth, end, took);
        if !matches!(end, End::InTime | End::Late) && took > self.draw.classes[arrival.class].aim {
            self.tally.failed_late += worth;
        }
    }

    // ---- Attempts ----

    /// The text that names a try on the wire.
    pub fn txn(&self, ask: usize) -> String {
        format!("{:08x}{:08x}", self.draw.seed as u32 ^ 0x5bd1_e995, ask)
    }

    /// The try that a text names.
    pub fn named(&self, txn: &str) -> Option<usize> {
        let ask = usize::from_str_radix(txn.get(8..)?, 16).ok()?;
        (ask < self.tries.len() && self.txn(ask) == txn).then_some(ask)
    }

    /// A connection to a server; the server's life, which ends with its process, or `None` where it is refused.
    pub fn connect(&mut self, now: Us, server: usize) -> Option<u32> {
        self.advance(now);
        self.settle(server);
        let accepted = self.servers[server].power != Power::Off && self.servers[server].model.connect();
        let second = self.tally.second(now);
        second.connections += 1;
        second.refused_connections += u64::from(!accepted);
        accepted.then_some(self.servers[server].life)
    }

    /// A connection to a server ended that came in this life of it.
    pub fn disconnect(&mut self, now: Us, server: usize, life: u32) {
        self.advance(now);
        self.settle(server);
        if self.servers[server].life == life {
            self.servers[server].model.disconnect();
        }
    }

    /// The play begins at this Unix time.
    pub fn begin_at(&mut self, unix_ms: f64) {
        self.unix_start_ms = unix_ms;
    }

    /// An attempt at a try, whole at the server's machine; `fresh` where it is its connection's first. `None` where
    /// the text names no try: the referee notes that.
    pub fn attempt(&mut self, now: Us, server: usize, zone: usize, txn: &str, fresh: bool) -> Option<usize> {
        self.advance(now);
        let Some(of) = self.named(txn) else {
            let about = About { server: Some(server), ..About::default() };
            self.referee.note(Rule::Unknown, now, about, format!("no client sent {txn:?}"));
            return None;
        };
        let place = self.referee.sent(now, of, server, now, &self.list);
        let node = self.tries[of].node;
        let told = self.referee.told_of_start(node, server, self.servers[server].born_ms);
        self.tally.attempt(now, server, self.servers[server].spec.zone != zone);
        let attempt = self.attempts.len();
        let life = self.servers[server].life;
        self.attempts.push(Attempt { of, place, server, life, zone, stage: Stage::OnWay, told });
        if self.passes(zone, self.servers[server].spec.zone) && self.servers[server].power != Power::Dark {
            let mut delay = self.draw.delays[zone][self.servers[server].spec.zone];
            if fresh {
                delay += (2.0 * delay as f64 * self.draw.handshake_trips) as Us;
            }
            let there = now + self.jittered(delay);
            self.at(there, Ev::AtServer(attempt));
        }
        Some(attempt)
    }

    /// The node no longer waits for an attempt.
    pub fn attempt_closed(&mut self, now: Us, attempt: usize) {
        self.advance(now);
        let a = &self.attempts[attempt];
        if matches!(a.stage, Stage::Held | Stage::OnWay) {
            let delay = self.draw.delays[a.zone][self.servers[a.server].spec.zone];
            let there = now + self.jittered(delay);
            self.at(there, Ev::CancelAtServer(attempt));
        }
    }

    /// May messages pass from a zone to another?
    fn passes(&self, from: usize, to: usize) -> bool {
        self.cuts[from][to] == 0
    }

    fn at_server(&mut self, attempt: usize) {
        let a = &self.attempts[attempt];
        let (server, told) = (a.server, a.told);
        if a.stage != Stage::OnWay || !self.same_life(attempt) {
            return;
        }
        self.settle(server);
        let place = &mut self.servers[server];
        let fails = place.errors.max(place.spec.figures.error_rate);
        if self.chance.random::<f64>() < fails {
            return self.answer(attempt, self.now, Reply::Error);
        }
        let work = self.draw.arrivals[self.tries[self.attempts[attempt].of].request].work;
        match place.model.arrive(attempt as u64, work, told) {
            Arrived::Taken => self.attempts[attempt].stage = Stage::Held,
            Arrived::TurnedAway => {
                self.tally.second(self.now).turned_away += 1;
                self.answer(attempt, self.now, Reply::TurnedAway);
            }
            Arrived::Fell { told } => self.falls(attempt, told),
        }
        self.schedule(server);
    }

    fn same_life(&self, attempt: usize) -> bool {
        let a = &self.attempts[attempt];
        self.servers[a.server].life == a.life && self.servers[a.server].power == Power::Up
    }

    /// It was sent too much while cold: it ends, and stays down.
    fn falls(&mut self, attempt: usize, told: f64) {
        let a = &self.attempts[attempt];
        let (server, node) = (a.server, self.tries[a.of].node);
        if told >= 2.0 / 3.0 {
            let about = About { node: Some(node), server: Some(server), request: Some(a.of) };
            let words =
                format!("pushed over, by {:.0}% from nodes that were told of its start", told * 100.0);
            self.referee.note(Rule::Cold, self.now, about, words);
        }
        self.power_off(server);
    }

    fn cancel_at_server(&mut self, attempt: usize) {
        if !self.same_life(attempt) {
            return;
        }
        let server = self.attempts[attempt].server;
        self.settle(server);
        match self.attempts[attempt].stage {
            Stage::OnWay => self.attempts[attempt].stage = Stage::Closed,
            Stage::Held if self.servers[server].model.cancel(attempt as u64) => {
                self.attempts[attempt].stage = Stage::Closed;
            }
            _ => {}
        }
        self.schedule(server);
    }

    fn step(&mut self, server: usize) {
        if self.servers[server].due.is_some_and(|due| due <= self.now) {
            self.servers[server].due = None;
        }
        self.settle(server);
        self.schedule(server);
    }

    /// Brings a server to now, and answers what it has done.
    fn settle(&mut self, server: usize) {
        if self.servers[server].power == Power::Off {
            return;
        }
        let mut ended = Vec::new();
        self.servers[server].model.advance(self.now, &mut ended);
        if self.servers[server].model.choked() {
            self.tally.choked.insert(server);
        }
        for (attempt, at) in ended {
            let place = &self.servers[server];
            let (late, by, garbled) = place.gray;
            let chance: f64 = self.chance.random();
            let reply = if self.chance.random::<f64>() < place.resets {
                Reply::Reset
            } else if chance < garbled {
                Reply::Garbled
            } else {
                Reply::Served
            };
            let by = if (garbled..garbled + late).contains(&chance) { by } else { 0 };
            self.answer(attempt as usize, at + by, reply);
        }
    }

    fn schedule(&mut self, server: usize) {
        let place = &mut self.servers[server];
        if place.power == Power::Off {
            return;
        }
        if let Some(due) = place.model.next_due().filter(|due| place.due.is_none_or(|d| *due < d)) {
            place.due = Some(due);
            self.at(due, Ev::Step(server));
        }
    }

    /// What a server sends back at a time; it arrives if the way is open.
    fn answer(&mut self, attempt: usize, at: Us, reply: Reply) {
        self.attempts[attempt].stage = Stage::Answered(reply);
        let a = &self.attempts[attempt];
        let (from, to) = (self.servers[a.server].spec.zone, a.zone);
        if self.servers[a.server].power == Power::Up && self.passes(from, to) {
            let slow = if from == to { 0.0 } else { ANSWER_BYTES * self.draw.us_per_byte };
            let delay = self.jittered(self.draw.delays[from][to]) + slow as Us;
            self.at(at + delay, Ev::ReplyAtNode(attempt, reply));
        }
    }

    fn reply_at_node(&mut self, attempt: usize, reply: Reply) {
        let a = &self.attempts[attempt];
        if self.servers[a.server].life != a.life {
            return;
        }
        if reply == Reply::TurnedAway {
            self.referee.never_ran(a.of, a.place);
        }
        self.out.push_back(Out::Reply { attempt, reply });
    }

    /// What the body of a served attempt says.
    pub fn body(&self, attempt: usize) -> String {
        format!("{attempt} served {}\n{:.<200}\n", self.txn(self.attempts[attempt].of), "")
    }

    /// The attempt that a body names, if it is whole.
    pub fn of_body(&self, body: &[u8]) -> Option<usize> {
        let text = std::str::from_utf8(body).ok()?;
        let attempt = text.split(' ').next()?.parse().ok()?;
        (attempt < self.attempts.len() && self.body(attempt) == text).then_some(attempt)
    }

    // ---- The list ----

    fn unix_ms(&self, at: Us) -> f64 {
        (self.unix_start_ms + at as f64 / 1e3).round()
    }

    /// Lists a server's state, where it still has the life that this is about.
    fn list_if(&mut self, server: usize, life: u32, health: Health) {
        let place = &self.servers[server];
        let holds = match health {
            Health::Left => place.power != Power::Up,
            Health::Active | Health::Leaving => place.power == Power::Up,
        };
        if place.life == life && holds {
            self.list(server, health);
        }
    }

    fn list(&mut self, server: usize, health: Health) {
        if self.list.newest(server).is_none() && health != Health::Active {
            return;
        }
        let listed = entry(&self.draw, server, &self.servers[server], health);
        let version = self.list.change(server, listed);
        for node in 0..self.nodes.len() {
            let after = (self.draw.list.spread as f64 * self.chance.random::<f64>()) as Us;
            self.at(self.now + after, Ev::Tell(node, version));
        }
    }

    /// News reach a node's agent, once the list speaks.
    fn tell(&mut self, node: usize, version: u64) {
        let from = self.nodes[node].version;
        if self.silent || version <= from {
            return;
        }
        self.nodes[node].version = version;
        self.referee.has(self.now, node, version);
        self.out.push_back(Out::Tell { node, from, to: version });
    }

    /// The version that a node's agent has.
    pub fn version(&self, node: usize) -> u64 {
        self.nodes[node].version
    }

    /// Is the list silent?
    pub fn silent(&self) -> bool {
        self.silent
    }

    /// The line that brings a node from a version to another; the whole list from 0 on.
    pub fn line(&self, node: usize, from: u64, to: u64) -> Update {
        let zone = self.nodes[node].zone;
        let dial = |server| (self.dial)(server, zone);
        if from == 0 {
            self.list.whole(to, dial)
        } else {
            self.list.line(from, to, dial)
        }
    }

    /// A version was written to a node.
    pub fn told(&mut self, now: Us, node: usize, version: u64) {
        self.advance(now);
        self.referee.told(now, node, version, &self.list);
    }

    // ---- Nodes ----

    /// A node can serve.
    pub fn node_ready(&mut self, now: Us, node: usize) {
        self.advance(now);
        self.nodes[node].believed = true;
    }

    /// A node's process ended.
    pub fn node_ended(&mut self, now: Us, node: usize) {
        self.advance(now);
        let n = &mut self.nodes[node];
        if !std::mem::replace(&mut n.running, false) {
            return;
        }
        n.away.push((now, now));
        if n.terminated.is_none() {
            let about = About { node: Some(node), ..About::default() };
            self.referee.note(Rule::Alive, now, about, "the process ended by itself");
        }
        if n.restart {
            self.at(now + 1, Ev::StartNode(node));
        }
        self.at(now + self.draw.front_notice, Ev::FrontNotices(node));
    }

    /// What a node holds, against what it may.
    pub fn over_limits(&mut self, now: Us, node: usize, words: String) {
        self.advance(now);
        let about = About { node: Some(node), ..About::default() };
        self.referee.note(Rule::Limits, now, about, words);
    }

    fn kill(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if std::mem::replace(&mut n.running, false) {
            n.away.push((self.now, self.now));
            self.out.push_back(Out::Signal(node, Signal::Kill));
            self.at(self.now + self.draw.front_notice, Ev::FrontNotices(node));
        }
    }

    /// SIGKILL, some time after SIGTERM, where the process is still there.
    fn kill_if_running(&mut self, node: usize, told: Us) {
        if self.nodes[node].terminated == Some(told) && self.nodes[node].running {
            self.kill(node);
            self.at(self.now + 1, Ev::StartNode(node));
        }
    }

    fn start_node(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if n.running {
            return;
        }
        (n.running, n.restart, n.terminated) = (true, false, None);
        n.away.push((self.now, self.now));
        self.referee.started(self.now, node, self.nodes[node].version, &self.list);
        self.out.push_back(Out::Start(node));
    }

    fn restart_node(&mut self, node: usize) {
        let now = self.now;
        let n = &mut self.nodes[node];
        if !n.running {
            return;
        }
        (n.terminated, n.restart) = (Some(now), true);
        self.out.push_back(Out::Signal(node, Signal::Terminate));
        let longest = self.draw.classes.iter().map(|c| c.deadline).max().unwrap_or(0).min(LONGEST_MOST);
        self.at(now + FRONT_LINGERS, Ev::FrontLeaves(node));
        self.at(now + longest + KILL_AFTER, Ev::KillNode(node, now));
    }

    // ---- Servers ----

    fn reaches(&mut self, server: usize) {
        for zone in 0..self.draw.zones.len() {
            let reach = self.reach(server, zone);
            self.out.push_back(Out::Reach { server, zone, reach });
        }
    }

    /// How new connections from a zone to a server fare.
    pub fn reach(&self, server: usize, zone: usize) -> Reach {
        let place = &self.servers[server];
        let both = self.passes(zone, place.spec.zone) && self.passes(place.spec.zone, zone);
        match place.power {
            Power::Dark => Reach::Dark,
            _ if !both => Reach::Dark,
            Power::Off => Reach::Refused,
            Power::Up => Reach::Open,
        }
    }

    fn power_off(&mut self, server: usize) {
        self.settle(server);
        let place = &mut self.servers[server];
        place.power = Power::Off;
        place.due = None;
        let life = place.life;
        self.out.push_back(Out::Drop(server));
        self.reaches(server);
        self.at(self.now + self.draw.list.silent_notice, Ev::ListGone(server, life));
    }

    /// A server starts, cold; the list has it a little later.
    fn start_server(&mut self, server: usize) {
        let (now, born_ms) = (self.now, self.unix_ms(self.now));
        let place = &mut self.servers[server];
        if place.power == Power::Up {
            return;
        }
        place.done_before += place.model.work_done();
        place.model = Server::new(place.spec.figures.clone(), Some(now));
        place.model.burden(place.slower, place.taken);
        (place.power, place.born_ms, place.life, place.due) = (Power::Up, born_ms, place.life + 1, None);
        let life = place.life;
        self.out.push_back(Out::Drop(server));
        self.reaches(server);
        self.at(now + self.draw.list.add, Ev::ListBack(server, life));
    }

    fn drain(&mut self, server: usize, replace: bool) {
        if self.servers[server].power != Power::Up {
            return;
        }
        let life = self.servers[server].life;
        self.list(server, Health::Leaving);
        let ends = self.now + self.draw.list.spread + DRAINS;
        self.at(ends, Ev::EndServer(server, life, replace));
    }

    /// A server that has drained ends, and starts anew, or another does in its place.
    fn end_server(&mut self, server: usize, life: u32, replace: bool) {
        if self.servers[server].life != life || self.servers[server].power != Power::Up {
            return;
        }
        self.settle(server);
        let place = &mut self.servers[server];
        (place.power, place.due) = (Power::Off, None);
        self.out.push_back(Out::Drop(server));
        self.reaches(server);
        let next = if replace {
            let mut heir = Place::new(self.servers[server].spec.clone(), None, 0.0);
            heir.power = Power::Off;
            self.servers.push(heir);
            self.at(self.now + self.draw.list.notice, Ev::ListGone(server, life));
            self.servers.len() - 1
        } else {
            server
        };
        self.at(self.now + STARTS, Ev::StartServer(next));
    }

    // ---- Faults ----

    fn begin(&mut self, n: usize) {
        let draw = self.draw.clone();
        let fault = &draw.faults[n];
        let step = |k: usize| (k * fault.steps / fault.targets.len().max(1)) as u64;
        let pause = (fault.until - fault.at) / fault.steps as u64;
        match fault.kind {
            Trouble::Kill => fault.targets.iter().for_each(|t| self.kill(*t)),
            Trouble::Restart => {
                for (k, node) in fault.targets.iter().enumerate() {
                    self.at(self.now + step(k) * pause, Ev::RestartNode(*node));
                }
            }
            Trouble::Stop => {
                for node in &fault.targets {
                    self.nodes[*node].away.push((self.now, fault.until));
                    self.out.push_back(Out::Signal(*node, Signal::Stop));
                }
            }
            Trouble::Lose => {
                for server in &fault.targets {
                    self.settle(*server);
                    self.servers[*server].power = Power::Dark;
                    let life = self.servers[*server].life;
                    self.reaches(*server);
                    self.at(self.now + draw.list.silent_notice, Ev::ListGone(*server, life));
                }
            }
            Trouble::Crash => fault.targets.iter().for_each(|t| self.power_off(*t)),
            Trouble::Slow | Trouble::Errors | Trouble::Gray | Trouble::Reset => self.strain(fault, true),
            Trouble::Neighbour => self.toggle(n, true),
            Trouble::Release | Trouble::Replace => {
                let replace = fault.kind == Trouble::Replace;
                for (k, server) in fault.targets.iter().enumerate() {
                    let listed = self.now + step(k) * pause + draw.list.notice;
                    self.at(listed, Ev::Drain(*server, replace));
                }
            }
            Trouble::Cut => self.cut(fault, true),
            Trouble::ListOutage => self.silence(true),
            // Drawn with the arrivals.
            Trouble::Burst => {}
        }
    }

    fn finish(&mut self, n: usize) {
        let draw = self.draw.clone();
        let fault = &draw.faults[n];
        match fault.kind {
            Trouble::Kill => fault.targets.iter().for_each(|t| self.start_node(*t)),
            Trouble::Stop => {
                let signal = |t: &usize| Out::Signal(*t, Signal::Continue);
                self.out.extend(fault.targets.iter().map(signal));
            }
            Trouble::Lose | Trouble::Crash => fault.targets.iter().for_each(|t| self.start_server(*t)),
            Trouble::Slow | Trouble::Errors | Trouble::Gray | Trouble::Reset => self.strain(fault, false),
            Trouble::Neighbour => self.burden(fault, |place| place.taken = 0.0),
            Trouble::Cut => self.cut(fault, false),
            Trouble::ListOutage => self.silence(false),
            Trouble::Restart | Trouble::Release | Trouble::Replace | Trouble::Burst => {}
        }
    }

    fn strain(&mut self, fault: &FaultSpec, on: bool) {
        let share = if on { fault.factor } else { 0.0 };
        let garbled = if on { fault.garbled } else { 0.0 };
        self.burden(fault, |place| match fault.kind {
            Trouble::Slow => place.slower = if on { fault.factor } else { 1.0 },
            Trouble::Errors => place.errors = share,
            Trouble::Reset => place.resets = share,
            _ => place.gray = (share, fault.slower, garbled),
        });
    }

    fn burden(&mut self, fault: &FaultSpec, change: impl Fn(&mut Place)) {
        for server in &fault.targets {
            self.settle(*server);
            let place = &mut self.servers[*server];
            change(place);
            place.model.burden(place.slower, place.taken);
            self.schedule(*server);
        }
    }

    /// A neighbour comes or goes, until the fault is over.
    fn toggle(&mut self, n: usize, on: bool) {
        let draw = self.draw.clone();
        let fault = &draw.faults[n];
        if self.now >= fault.until {
            return;
        }
        let taken = if on { fault.factor } else { 0.0 };
        self.burden(fault, |place| place.taken = taken);
        let span = self.chance.random_range(NEIGHBOUR..5 * NEIGHBOUR);
        self.at((self.now + span).min(fault.until), Ev::Toggle(n, !on));
    }

    fn cut(&mut self, fault: &FaultSpec, on: bool) {
        for zone in &fault.targets {
            for other in (0..self.draw.zones.len()).filter(|z| z != zone) {
                for (way, from, to) in [(Way::Out, *zone, other), (Way::In, other, *zone)] {
                    if fault.way.is_none_or(|w| w == way) {
                        let cuts = &mut self.cuts[from][to];
                        *cuts = if on { *cuts + 1 } else { cuts.saturating_sub(1) };
                    }
                }
            }
        }
        for server in 0..self.servers.len() {
            self.reaches(server);
        }
    }

    fn silence(&mut self, on: bool) {
        self.silent = on;
        self.out.push_back(Out::Silence(on));
        if !on {
            let version = self.list.version();
            for node in 0..self.nodes.len() {
                self.at(self.now, Ev::Tell(node, version));
            }
        }
    }

    // ---- What came of it ----

    /// The figures, for the result.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// The draw that it plays.
    pub fn draw(&self) -> &Rc<Draw> {
        &self.draw
    }

    /// How late each event was looked at, in microseconds.
    pub fn lateness(&self) -> &[u32] {
        &self.lateness
    }

    /// Work that servers have done, over work that was asked for, without what answers brought their clients.
    pub fn wasted(&self) -> f64 {
        let done: f64 = self.servers.iter().map(|p| p.done_before + p.model.work_done()).sum();
        (done - self.tally.useful).max(0.0) / self.tally.work.max(1.0)
    }

    /// The share of servers that were choked by crowding.
    pub fn overdriven(&self) -> f64 {
        self.tally.choked.len() as f64 / self.first_servers as f64
    }

    /// The name of a server.
    pub fn server_name(&self, server: usize) -> String {
        name_of(&self.draw, server)
    }

    /// How many rules were broken, and the first of them with names.
    pub fn breaches(&self) -> (usize, Vec<Breach>) {
        let (count, kept) = self.referee.breaches();
        let named = kept.iter().map(|(rule, at, about, words)| Breach {
            rule: *rule,
            at_ms: *at as f64 / 1e3,
            node: about.node.map(|n| format!("n{n}")),
            server: about.server.map(|s| name_of(&self.draw, s)),
            request: about.request.map(|r| self.txn(r)),
            words: words.clone(),
        });
        (count, named.collect())
    }

    /// True capacity and backlog of a server, for a policy that sees them; `None` where it is not up.
    pub fn truth(&self, server: usize) -> Option<(f64, f64)> {
        let place = self.servers.get(server).filter(|p| p.power == Power::Up)?;
        Some((place.model.capacity(self.now), place.model.backlog()))
    }

    /// The servers that a node's agent has listed as in service.
    pub fn listed(&self, node: usize) -> Vec<usize> {
        let mut active = BTreeMap::new();
        for (server, entry) in self.list.between(0, self.nodes[node].version) {
            active.insert(server, entry.health == Health::Active);
        }
        active.into_iter().filter(|(_, on)| *on).map(|(server, _)| server).collect()
    }

    /// The zone of a node.
    pub fn node_zone(&self, node: usize) -> usize {
        self.nodes[node].zone
    }

    /// One way between a node's zone and a server.
    pub fn delay(&self, node: usize, server: usize) -> Us {
        self.draw.delays[self.nodes[node].zone][self.servers[server].spec.zone]
    }

    /// How many servers there have been.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }
}

impl Place {
    fn new(spec: ServerSpec, born: Option<Us>, born_ms: f64) -> Self {
        Self {
            model: Server::new(spec.figures.clone(), born),
            spec,
            power: Power::Up,
            life: 0,
            born_ms,
            done_before: 0.0,
            due: None,
            slower: 1.0,
            taken: 0.0,
            errors: 0.0,
            resets: 0.0,
            gray: (0.0, 0, 0.0),
        }
    }
}

impl Node {
    /// Was it killed, started or stopped within a span, or shortly before it?
    fn was_away(&self, from: Us, to: Us) -> bool {
        !self.running || self.away.iter().any(|(a, b)| *a <= to && *b + LOST_AFTER >= from)
    }
}

/// The name of a server: the same at every node, and no hint of its place.
fn name_of(draw: &Draw, server: usize) -> String {
    let mut rng = Pcg64::new(u128::from(draw.seed), 0x1000 + server as u128);
    format!("s-{:08x}", rng.random::<u32>())
}

fn entry(draw: &Draw, server: usize, place: &Place, health: Health) -> Entry {
    Entry {
        name: name_of(draw, server),
        zone: draw.zones[place.spec.zone].clone(),
        cell: place.spec.cell,
        health,
        born_ms: place.born_ms,
    }
}
