//! The emulated surroundings of the nodes, as one pure state machine over a virtual clock: clients, the load balancers
//! in front of the nodes (one front per zone), app servers, service discovery, links between zones, and the timeline
//! of faults.
//!
//! The driver reports what the nodes did ([`World::try_ended`], [`World::start_attempt`] and so on), advances the
//! clock with [`World::advance`], and carries out each [`Effect`] that [`World::next_effect`] returns. [`crate::live`]
//! drives it on sockets in real time; [`crate::baseline`] and [`crate::modules`] drive it in virtual time, where a
//! minute takes a fraction of a second. Link delays are simulated here, so a socket only has to deliver messages when
//! they are due.
//!
//! Rejected: a relay process for each pair of parties. It would cost two more sockets for each message, and the kernel
//! would accept connections that a partition should swallow; here the lab plays both ends of each link.

mod attempts;
mod clients;
mod control;
mod faults;
mod fleet;
mod list;
mod metrics;
mod votes;

pub use self::metrics::FleetState;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
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

/// An answer that is later than this after the client's timeout, or never comes, counts as lost.
const ANSWER_GRACE_US: Us = 500_000;
/// A connection may close without an answer for one request in this many; more is a breach.
const REQUESTS_PER_ALLOWED_CLOSE: u64 = 200;
/// A client with less time left than this does not try again.
const MIN_TRY_TIME_US: Us = 20_000;
/// The front keeps sending to a node for this long after its SIGTERM.
const FRONT_DRAIN_DELAY_US: Us = 300_000;
/// SIGKILL follows SIGTERM after the longest client deadline, at most this, ...
const MAX_TERMINATION_DEADLINE_US: Us = 3_000_000;
/// ... plus this.
const KILL_GRACE_US: Us = 700_000;
/// A draining server ends this long after all nodes can have its drain from the list.
const SERVER_DRAIN_US: Us = 2_500_000;
/// A server that drained and ended starts again after this.
const SERVER_RESTART_DELAY_US: Us = 500_000;
/// Work (µs) of a duplicate that a server drops; one that arrives while the first still runs costs its full work
/// again.
const DUPLICATE_WORK_US: f64 = 1000.0;
/// Size of an answer in bytes, for links with limited bandwidth.
const ANSWER_BYTES: f64 = 400.0;
/// Size of a request in bytes.
const REQUEST_BYTES: f64 = 400.0;
/// A noisy neighbour is active, or inactive, for between this and five times as long.
const MIN_NEIGHBOUR_SPAN_US: Us = 1_000_000;

/// Something that the driver has to carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Deliver a client's request (the number of the client's try) to its node.
    DeliverRequest(usize),
    /// The client of this try closes its connection.
    ClientDisconnect(usize),
    /// Deliver a server's reply to the node that made the attempt.
    DeliverReply {
        /// The attempt.
        attempt: usize,
        /// The reply.
        reply: ServerReply,
    },
    /// Set how new connections from a zone to a server fare from now on.
    SetReachability {
        /// The server.
        server: usize,
        /// The zone of the nodes.
        zone: usize,
        /// The new state.
        reachability: Reachability,
    },
    /// Close all connections to a server, or only those from the nodes of `zone`.
    CloseConnections {
        /// The server.
        server: usize,
        /// The zone.
        zone: Option<usize>,
    },
    /// Send a list update to a node's watches.
    SendListUpdate {
        /// The node.
        node: usize,
        /// Version that the node had before.
        from: u64,
        /// Version that the update brings.
        to: u64,
    },
    /// Close the watches at a node's discovery agent.
    CloseWatches(usize),
    /// Open idle connections to a node that send nothing, until the given time.
    OpenIdleConnections {
        /// The node.
        node: usize,
        /// Number of connections.
        count: usize,
        /// Time at which they close.
        until: Us,
    },
    /// Send a signal to a node's process.
    SignalNode(usize, Signal),
    /// Start a node's process again.
    StartNode(usize),
    /// Begin a fault of the control group (its number in the draw).
    BeginGroupFault(usize),
    /// End a fault of the control group.
    EndGroupFault(usize),
}

/// A server's reply to an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerReply {
    /// 200 and a body.
    Served,
    /// 200 and a truncated body.
    Truncated,
    /// 500.
    Error,
    /// 503: the server's queue was full.
    TurnedAway,
    /// The connection breaks.
    Reset,
}

/// How new connections to a server fare.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reachability {
    /// They are accepted.
    Open,
    /// They are refused: no process listens.
    Refused,
    /// They time out.
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

/// Outcome of a client's try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TryOutcome {
    /// A complete answer.
    Answer {
        /// Its status.
        status: u16,
        /// Its Retry-After.
        retry_after: Option<Us>,
        /// The attempt that its body names, if any.
        attempt: Option<usize>,
    },
    /// No connection: the node never received the request.
    NoConnection,
    /// The connection ended before a complete answer.
    ConnectionLost {
        /// Part of an answer was received.
        partial_answer: bool,
    },
}

/// A client's try of a request, as sent to a node.
#[derive(Clone, Copy, Debug)]
pub struct ClientTry {
    /// The node.
    pub node: usize,
    /// The class.
    pub class: usize,
    /// The request; the same for each of its tries.
    pub request: usize,
    /// How long the client waits, from `sent_at` on.
    pub timeout: Us,
    /// When the client sent it.
    pub sent_at: Us,
    /// Its work in microseconds at speed 1.
    pub work: f64,
    /// The client's estimate of the work.
    pub work_estimate: f64,
    /// Whether it is a retry by the client.
    pub is_retry: bool,
}

/// Events on the timeline.
#[derive(Clone, Copy, Debug)]
enum Event {
    ClientArrives(usize),
    ClientRetries(usize),
    RequestAtNode(usize),
    ClientLeaves(usize),
    TryTimesOut(usize),
    AnswerOverdue(usize),
    AnswerAtClient(usize),
    RequestAtServer(usize),
    CancelAtServer(usize),
    ServerStep(usize),
    ReplyAtNode(usize, ServerReply),
    ListVersionAtAgent(usize, u64),
    FaultBegins(usize),
    FaultEnds(usize),
    NeighbourToggles(usize, bool),
    ServerDrains(usize, bool),
    EndServer(usize, u32, bool),
    StartServer(usize),
    ListRemovesServer(usize, u32),
    ListAddsServer(usize, u32),
    FrontDetectsNodeDown(usize),
    FrontDrainsNode(usize),
    RestartNode(usize),
    KillNode(usize, Us),
    StartNode(usize),
}

/// A scheduled event; events due at the same time run in the order in which they were scheduled.
#[derive(Clone, Copy, Debug)]
struct Due {
    at: Us,
    order: u64,
    event: Event,
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

/// State of a server process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProcessState {
    /// The process runs and can be reached.
    Up,
    /// The process cannot be reached: it sends nothing and its connections stay open.
    Unreachable,
    /// No process runs: it has ended, or has not started yet.
    NotRunning,
}

/// A server and its state; a replacement is a new instance.
#[derive(Debug)]
struct ServerInstance {
    spec: ServerSpec,
    model: Server,
    process_state: ProcessState,
    /// Number of restarts so far; identifies the process.
    incarnation: u32,
    born_ms: f64,
    /// Work done by its earlier processes.
    earlier_work_done: f64,
    /// Time of the next scheduled state change.
    next_step: Option<Us>,
    slowdown: f64,
    stolen_share: f64,
    error_rate: f64,
    /// Share of requests that fail because of the running release, and because of the next one.
    release_error_rate: f64,
    next_release_error_rate: f64,
    reset_rate: f64,
    /// Gray failure, in this order: share of late answers, delay of these answers, and share of truncated answers.
    gray_failure: (f64, Us, f64),
}

/// A node, as seen from outside.
#[derive(Debug)]
struct Node {
    zone: usize,
    /// Whether the fronts send requests to it.
    in_rotation: bool,
    running: bool,
    /// When it was sent SIGTERM.
    terminated_at: Option<Us>,
    /// Whether it is started again once it has ended.
    restart_after_exit: bool,
    /// Times at which it was killed or started, and spans in which it was stopped.
    outages: Vec<(Us, Us)>,
    /// Version of the list that its discovery agent has.
    agent_version: u64,
    /// Share of the requests it sends to servers that are lost.
    uplink_loss: f64,
    /// Set while the newest update is delayed so that the next one overtakes it: the version from which the delayed
    /// update continues.
    delayed_from: Option<u64>,
}

/// A client's request.
#[derive(Debug)]
struct Request {
    try_count: usize,
    outcome: Option<RequestOutcome>,
    /// Set once it has run: duplicates are dropped until this time.
    dedup_until: Option<Us>,
    /// Outcome of its last try.
    last_outcome: RequestOutcome,
    rng: Pcg64,
}

/// A try of a request.
#[derive(Debug)]
struct Try {
    request: usize,
    node: usize,
    sent_at: Us,
    timeout: Us,
    is_retry: bool,
    outcome: Option<TryOutcome>,
    /// The client no longer waits.
    client_done: bool,
    /// It was delivered to its node.
    delivered: bool,
    /// Its client has closed the connection.
    disconnected: bool,
    /// A server's answer has reached the node.
    served: bool,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// On its way to the server.
    InTransit,
    /// Runs or waits at the server.
    AtServer,
    Answered(ServerReply),
    /// Cancelled.
    Closed,
}

/// A node's attempt at a server.
#[derive(Debug)]
struct Attempt {
    try_id: usize,
    /// Number of this attempt within its try, as the referee counts.
    attempt_in_try: usize,
    server: usize,
    incarnation: u32,
    zone: usize,
    stage: Stage,
    /// The node had been notified of the server's start when it sent the attempt.
    informed: bool,
    /// The server was faulty when the attempt was sent.
    server_faulty: bool,
    /// Its reply has reached the node.
    reply_received: bool,
}

/// One direction of the link between two zones.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    /// Number of active partitions that cut the link; messages pass only if it is 0.
    cuts: u32,
    /// Transmission time per byte, in microseconds, if bandwidth is limited; 0 if it is not. Of several limits the
    /// last one to begin applies.
    us_per_byte: f64,
    /// Time at which the link is free to transmit the next message, if bandwidth is limited.
    free_at: Us,
}

/// Address at which the nodes of a zone reach a server, from the numbers of the server and the zone.
pub type ServerAddressFn = Rc<dyn Fn(usize, usize) -> SocketAddr>;

/// State of the emulated surroundings; see the module's documentation.
pub struct World {
    draw: Rc<Draw>,
    now: Us,
    /// How late each event was handled, in microseconds.
    lateness: Vec<u32>,
    queue: BinaryHeap<Reverse<Due>>,
    last_order: u64,
    effects: VecDeque<Effect>,
    rng: Pcg64,
    unix_start_ms: f64,
    server_address: ServerAddressFn,
    servers: Vec<ServerInstance>,
    nodes: Vec<Node>,
    front_turns: Vec<usize>,
    requests: Vec<Request>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    list: ServerList,
    /// The numbers of the faults that have begun and not ended, in the order of their beginning.
    active_faults: Vec<usize>,
    /// Those noisy neighbours among them that take processor time now.
    running_neighbours: BTreeSet<usize>,
    list_outage: bool,
    /// Number of versions by which a stale list is behind.
    list_lag: u64,
    list_reordered: bool,
    links: Vec<Vec<Link>>,
    referee: Referee,
    tally: Tally,
    /// Cold load of servers' earlier processes.
    earlier_cold_loads: Vec<ColdLoad>,
    epochs: Option<EpochTracker>,
    removals: RemovalReferee,
}

impl World {
    /// Creates the world at time 0. `unix_start_ms` is the wall-clock time of the start.
    pub fn new(draw: Rc<Draw>, rules: Rules, unix_start_ms: f64, server_address: ServerAddressFn) -> Self {
        let servers: Vec<ServerInstance> =
            draw.servers.iter().map(|spec| ServerInstance::new(spec.clone(), None, 0.0)).collect();
        let entries = servers
            .iter()
            .enumerate()
            .map(|(n, instance)| entry(&draw, n, instance, Health::Active))
            .collect();
        let nodes = draw.nodes.iter().map(|zone| Node {
            zone: *zone,
            in_rotation: true,
            running: true,
            terminated_at: None,
            restart_after_exit: false,
            outages: Vec::new(),
            agent_version: 1,
            uplink_loss: 0.0,
            delayed_from: None,
        });
        let zones = draw.zones.len();
        let mut world = Self {
            now: 0,
            lateness: Vec::new(),
            queue: BinaryHeap::new(),
            last_order: 0,
            effects: VecDeque::new(),
            rng: draw.network_rng(),
            unix_start_ms,
            server_address,
            nodes: nodes.collect(),
            front_turns: vec![0; zones],
            requests: Vec::with_capacity(draw.arrivals.len()),
            tries: Vec::new(),
            attempts: Vec::new(),
            list: ServerList::new(entries),
            active_faults: Vec::new(),
            running_neighbours: BTreeSet::new(),
            list_outage: false,
            list_lag: 0,
            list_reordered: false,
            links: vec![vec![Link::default(); zones]; zones],
            referee: Referee::new(rules, draw.nodes.len()),
            tally: Tally::new(draw.classes.len()),
            earlier_cold_loads: Vec::new(),
            epochs: None,
            removals: RemovalReferee::new(votes::evidence_lifetime(&draw), &draw.zones),
            servers,
            draw,
        };
        for node in 0..world.nodes.len() {
            world.referee.node_started(0, node, 1, &world.list);
        }
        if !world.draw.arrivals.is_empty() {
            world.schedule_event(world.draw.arrivals[0].at, Event::ClientArrives(0));
        }
        for fault in 0..world.draw.faults.len() {
            let FaultSpec { at, until, .. } = world.draw.faults[fault];
            world.schedule_event(at, Event::FaultBegins(fault));
            world.schedule_event(until, Event::FaultEnds(fault));
        }
        world
    }

    /// Schedules an event, not earlier than now.
    fn schedule_event(&mut self, due: Us, event: Event) {
        self.last_order += 1;
        self.queue.push(Reverse(Due { at: due.max(self.now), order: self.last_order, event }));
    }

    /// Time of the next event, if any.
    pub fn next_due(&self) -> Option<Us> {
        self.queue.peek().map(|Reverse(due)| due.at)
    }

    /// Handles all events up to `now`.
    pub fn advance(&mut self, now: Us) {
        while let Some(Reverse(due)) = self.pop_due(now) {
            self.now = due.at;
            self.lateness.push((now - due.at).min(u64::from(u32::MAX)) as u32);
            self.handle_event(due.event);
        }
        self.now = self.now.max(now);
    }

    /// Removes the next event that is due by `now`.
    fn pop_due(&mut self, now: Us) -> Option<Reverse<Due>> {
        let due = self.next_due().is_some_and(|due| due <= now);
        if due {
            self.queue.pop()
        } else {
            None
        }
    }

    /// Takes the next effect to carry out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Whether the run is over: no client waits for anything, and no fault goes on.
    pub fn is_over(&self) -> bool {
        let faults = self.draw.faults.iter().map(|f| f.until).max().unwrap_or(0);
        let longest = self.draw.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let end = self.draw.length.max(faults) + longest + ANSWER_GRACE_US + 500_000;
        self.now >= end
    }

    /// Current time.
    pub fn now(&self) -> Us {
        self.now
    }

    /// A link delay with random jitter.
    fn jittered(&mut self, delay: Us) -> Us {
        let jitter: f64 = Exp1.sample(&mut self.rng);
        (delay as f64 * (1.0 + self.draw.jitter * jitter)) as Us
    }

    /// Handles an event.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ClientArrives(n) => self.client_arrives(n),
            Event::ClientRetries(request) => self.start_try(request),
            Event::RequestAtNode(try_id) => self.request_at_node(try_id),
            Event::ClientLeaves(try_id) => self.client_leaves(try_id),
            Event::TryTimesOut(try_id) => self.try_times_out(try_id),
            Event::AnswerOverdue(try_id) => self.answer_overdue(try_id),
            Event::AnswerAtClient(try_id) => self.answer_at_client(try_id),
            Event::RequestAtServer(attempt) => self.request_at_server(attempt),
            Event::CancelAtServer(attempt) => self.cancel_at_server(attempt),
            Event::ServerStep(server) => self.server_step(server),
            Event::ReplyAtNode(attempt, reply) => self.reply_at_node(attempt, reply),
            Event::ListVersionAtAgent(node, version) => self.list_version_at_agent(node, version),
            Event::FaultBegins(fault) => self.begin_fault(fault),
            Event::FaultEnds(fault) => self.end_fault(fault),
            Event::NeighbourToggles(fault, on) => self.toggle_neighbour(fault, on),
            Event::ServerDrains(server, replace) => self.drain_server(server, replace),
            Event::EndServer(server, incarnation, replace) => self.end_server(server, incarnation, replace),
            Event::StartServer(server) => self.start_server(server),
            Event::ListRemovesServer(server, incarnation) => {
                self.change_list_entry_if_current(server, incarnation, Health::Left)
            }
            Event::ListAddsServer(server, incarnation) => {
                self.change_list_entry_if_current(server, incarnation, Health::Active)
            }
            Event::FrontDetectsNodeDown(node) => self.nodes[node].in_rotation &= self.nodes[node].running,
            Event::FrontDrainsNode(node) => {
                self.nodes[node].in_rotation &= self.nodes[node].terminated_at.is_none()
            }
            Event::RestartNode(node) => self.restart_node(node),
            Event::KillNode(node, terminated_at) => self.kill_if_running(node, terminated_at),
            Event::StartNode(node) => self.start_node(node),
        }
    }
}

impl ServerInstance {
    fn new(spec: ServerSpec, started_at: Option<Us>, born_ms: f64) -> Self {
        Self {
            model: Server::new(spec.parameters.clone(), started_at),
            spec,
            process_state: ProcessState::Up,
            incarnation: 0,
            born_ms,
            earlier_work_done: 0.0,
            next_step: None,
            slowdown: 1.0,
            stolen_share: 0.0,
            error_rate: 0.0,
            release_error_rate: 0.0,
            next_release_error_rate: 0.0,
            reset_rate: 0.0,
            gray_failure: (0.0, 0, 0.0),
        }
    }
}

impl Node {
    /// Whether the node may leave a request of this span unanswered: it was killed, started or stopped within the span
    /// or shortly before, or its SIGTERM was long before the request.
    fn excused(&self, from: Us, to: Us) -> bool {
        let overlaps = |(a, b): &(Us, Us)| *a <= to && *b + ANSWER_GRACE_US >= from;
        let terminated_long_ago = self.terminated_at.is_some_and(|at| from > at + KILL_GRACE_US);
        !self.running || terminated_long_ago || self.outages.iter().any(overlaps)
    }
}

/// Name of a server: the same at every node, and unrelated to its position.
fn name_of(draw: &Draw, server: usize) -> String {
    let mut rng = Pcg64::new(u128::from(draw.seed), 0x1000 + server as u128);
    format!("s-{:08x}", rng.random::<u32>())
}

/// List entry of a server.
fn entry(draw: &Draw, server: usize, instance: &ServerInstance, health: Health) -> ServerEntry {
    ServerEntry {
        name: name_of(draw, server),
        zone: draw.zones[instance.spec.zone].clone(),
        cell: instance.spec.cell,
        health,
        born_ms: instance.born_ms,
    }
}
