//! The owner of the decision module: passes events to it, performs its actions, and keeps the table of requests,
//! the clock and the timer.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use endpoints::{Action as ListAction, CallId, DeliveryMode, Health, ListWatcher, Ms, Update};
use hyper::StatusCode;
use member::votes::{Ballot, Verdicts, VoteReport};
use member::Epoch;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;
use tulipmount::wire::NodeSettings;
use tulipmount::{
    Action, Balancer, Discovery, Entry, Event, Idempotency, Millis, Outcome, RequestId, ServerId,
    ServerState, ServerVerdict, Settings, SettingsError,
};
use xxhash_rust::xxh3::xxh3_64;

use super::abandoned_ids::AbandonedIds;
use super::admission::{Admission, HoldReason};
use super::bans::{BanChange, BanError, Bans};
use super::capacity::Capacity;
use super::config::Config;
use super::log;
use super::metrics::{Metrics, VotingStatus};
use super::pool::Pool;
use super::request::{AttemptTarget, FinalResponse, ForwardedRequest, ServerResponse};
use super::votes::{self, VoteState};

/// How long the node waits for discovery before it serves by the saved list.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Turns of the runtime until data that has arrived is read: by the task of its connection, then by the call on it.
const READ_TURNS: usize = 3;
/// The `Retry-After` of requests refused by [`Node::admit`], in milliseconds: one or two heartbeats.
const HELD_RETRY_AFTER_MS: Millis = 500.0;
/// How often it is checked whether the node is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Starts the I/O that the node decides on. Each operation runs as a task and reports its result to the node.
pub trait NodeIo {
    /// Starts one attempt at a request.
    fn start_attempt(
        &self,
        node: Rc<Node>,
        target: AttemptTarget,
        request: Rc<ForwardedRequest>,
    ) -> AbortHandle;
    /// Starts one probe of a server.
    fn start_probe(&self, node: Rc<Node>, server: ServerId);
    /// Requests a path from discovery; each step is reported to [`Node::handle_discovery`].
    fn start_discovery_call(&self, node: Rc<Node>, id: CallId, path: String) -> AbortHandle;
}

/// Monotonic time for the decision module, and the Unix time at the start.
struct Clock {
    start: Instant,
    unix_start: Millis,
}

impl Clock {
    /// The only reading of the wall clock. Dates from other machines are converted by it, within the bounds of
    /// [`start_time`].
    #[expect(
        clippy::disallowed_methods,
        reason = "paired with monotonic time once, so that no step moves it"
    )]
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix_start: unix.as_secs_f64() * 1000.0 }
    }

    /// Whole milliseconds from the start until now.
    fn ms(&self) -> Ms {
        self.start.elapsed().as_millis() as Ms
    }

    fn at(&self, instant: Instant) -> Millis {
        instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// The time this long ago; negative if before the node's start.
    fn ago(&self, span: Duration) -> Millis {
        (self.start.elapsed().as_secs_f64() - span.as_secs_f64()) * 1000.0
    }
}

/// When a server's process started, in the decision module's time; `None` for long ago. `listed` is the date in the
/// list by the same clock, and `previous` the result for the server's last process. A date in the future, or before
/// the previous start, is wrong because the server's clock or this node's was stepped; it is replaced by the
/// present. So no server stays cold for longer than after a start just now, and one that was seen to restart is not
/// warm at once.
fn start_time(listed: Option<Millis>, previous: Option<Option<Millis>>, now: Millis) -> Option<Millis> {
    let earliest = previous.flatten().unwrap_or(f64::NEG_INFINITY);
    listed.map(|date| if date > now || date < earliest { now } else { date })
}

/// A request that awaits its final response, or has attempts in flight.
struct OpenRequest {
    request: Rc<ForwardedRequest>,
    /// Where the final response goes; `None` once it was sent or is no longer needed.
    response: Option<oneshot::Sender<FinalResponse>>,
    attempts: Vec<AttemptTask>,
}

/// One attempt at one server. Its index in [`OpenRequest::attempts`] is its number; it stays there after its end.
struct AttemptTask {
    server: ServerId,
    /// When it started; for a streamed body, when the body was complete. Its elapsed time counts from here.
    timed_from: Instant,
    /// `None` once the attempt has ended.
    task: Option<AbortHandle>,
}

/// What the node knows about a server in addition to the decision module.
struct ServerInfo {
    name: String,
    addr: SocketAddr,
    born_ms: f64,
    started: Option<Millis>,
    /// The name of its zone, if there is a control group.
    zone: Option<Box<str>>,
    state: ServerState,
}

struct State {
    balancer: Balancer,
    events: VecDeque<Event>,
    handling_event: bool,
    requests: HashMap<RequestId, OpenRequest>,
    last_id: u64,
    /// When the decision module wants to be called.
    timer: Option<Instant>,
    servers: HashMap<ServerId, ServerInfo>,
    bans: Bans,
    list_watcher: ListWatcher,
    /// The open calls to discovery.
    calls: BTreeMap<CallId, AbortHandle>,
    /// The names of the servers that the agreed policy bans.
    policy_bans: BTreeSet<String>,
    /// The control group's verdicts on servers, while the agreed policy has votes.
    votes: Option<VoteState>,
}

impl State {
    /// Whether a server is banned, by operators or by the agreed policy.
    fn is_banned(&self, name: &str) -> bool {
        self.bans.is_banned(name) || self.policy_bans.contains(name)
    }

    /// Whether the list has a server of that name.
    fn lists(&self, name: &str) -> bool {
        self.servers.get(&ServerId(number_of(name))).is_some_and(|h| h.name == name)
    }
}

/// One node.
pub struct Node {
    /// The configuration.
    pub config: Config,
    /// The connections to servers.
    pub pool: Pool,
    /// The part of the node's limits that this process may use.
    pub capacity: Capacity,
    /// The metrics.
    pub metrics: Rc<Metrics>,
    /// Since when the node has been shutting down; responses then close their connections.
    pub stopping_since: Cell<Option<Instant>>,
    /// The current address of discovery.
    pub discovery_addr: Cell<SocketAddr>,
    /// Whether requests may be taken, if there is a control group.
    admission: Option<Rc<Admission>>,
    /// The most requests that may be open.
    open_cap: Cell<usize>,
    /// The longest `Retry-After` that clients honour.
    max_retry_after: Cell<Millis>,
    io: Box<dyn NodeIo>,
    clock: Clock,
    discovery_answered: Cell<bool>,
    state: RefCell<State>,
    /// The ids of requests that must not run twice and may have run for a client that has left.
    abandoned_ids: RefCell<AbandonedIds>,
    timer_changed: Notify,
}

/// The number that stands for a name: the same at every node and after every restart.
fn number_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl Node {
    /// A node that knows the saved list and has not called discovery yet.
    ///
    /// # Errors
    /// [`SettingsError`] if the decision module refuses the settings.
    pub fn new(
        mut config: Config,
        admission: Option<Rc<Admission>>,
        io: Box<dyn NodeIo>,
    ) -> Result<Rc<Self>, SettingsError> {
        let balancer = Balancer::new(module_settings(&config.node_settings), config.seed)?;
        // A saved list is complete, whatever its `whole` field says.
        let saved_list = config.saved_list.take().map(|saved| Update { whole: true, ..saved });
        let mode = match config.node_settings.settings.discovery {
            Discovery::Pushed => DeliveryMode::Push,
            Discovery::Subscribed => DeliveryMode::OnDemand,
        };
        let temp_dir = std::env::var_os("TMPDIR").map(PathBuf::from);
        let cold_period = to_duration(config.node_settings.settings.rules.warmup_time);
        let state = State {
            balancer,
            events: VecDeque::new(),
            handling_event: false,
            requests: HashMap::new(),
            last_id: 0,
            timer: None,
            servers: HashMap::new(),
            bans: Bans::new(temp_dir.clone(), &config.name, cold_period),
            list_watcher: ListWatcher::new(mode, saved_list.as_ref(), 0),
            calls: BTreeMap::new(),
            policy_bans: BTreeSet::new(),
            votes: None,
        };
        let capacity = Capacity::new(&config);
        let shared_folder = temp_dir.as_deref().filter(|_| config.inherited_fd.is_some());
        let abandoned_ids =
            shared_folder.map(|folder| AbandonedIds::shared(folder, &config.name)).unwrap_or_default();
        let node = Rc::new(Self {
            pool: Pool::new(&config, capacity.memory_budget().clone()),
            capacity,
            metrics: Metrics::new(config.node_settings.class_names.len()),
            discovery_addr: Cell::new(config.discovery),
            open_cap: Cell::new(config.node_settings.max_open_requests),
            max_retry_after: Cell::new(config.node_settings.settings.limits.max_retry_after),
            config,
            stopping_since: Cell::new(None),
            admission,
            io,
            clock: Clock::new(),
            discovery_answered: Cell::new(false),
            state: RefCell::new(state),
            abandoned_ids: RefCell::new(abandoned_ids),
            timer_changed: Notify::new(),
        });
        let saved_list = saved_list.unwrap_or(Update { version: 0, whole: true, hosts: Vec::new() });
        node.apply_list(saved_list, true);
        node.set_policy_bans(node.config.node_settings.bans.iter().cloned().collect());
        node.poll_bans();
        node.handle_discovery(endpoints::Event::Tick);
        Ok(node)
    }

    /// Runs the timers of the decision module and of the list watcher; never returns.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let (module, list) = {
                let state = self.state.borrow();
                let list =
                    state.list_watcher.next_timer_at().map(|at| self.clock.start + Duration::from_millis(at));
                (state.timer, list)
            };
            let Some(due) = module.into_iter().chain(list).min() else {
                self.timer_changed.notified().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => {}
                () = self.timer_changed.notified() => continue,
            }
            if module.is_some_and(|at| at <= due) {
                self.state.borrow_mut().timer = None;
                self.handle_event(Event::Timer);
            }
            if list.is_some_and(|at| at <= due) {
                // After the process was stopped it first reads what has arrived meanwhile, so that nothing is taken
                // for silent by mistake.
                for _ in 0..READ_TURNS {
                    tokio::task::yield_now().await;
                }
                self.handle_discovery(endpoints::Event::Tick);
            }
        }
    }

    /// Whether the node can serve: once discovery has answered, or after [`DISCOVERY_TIMEOUT`] with a saved list,
    /// and while requests may be taken.
    pub fn ready(&self) -> bool {
        if self.stopping_since.get().is_some() || self.admit().is_err() {
            return false;
        }
        let late = self.clock.start.elapsed() >= DISCOVERY_TIMEOUT;
        self.discovery_answered.get() || (late && !self.state.borrow().servers.is_empty())
    }

    /// Returns once the node can serve.
    pub async fn until_ready(&self) {
        while !self.ready() {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// The HTTP status for readiness checks: 200 if the node can serve, else 503.
    pub fn ready_status(&self) -> StatusCode {
        if self.ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }

    // ---- Policy ----

    /// The epoch under which a request may be taken right now; `None` if there is no control group.
    ///
    /// # Errors
    /// A [`HoldReason`] if none may be taken.
    pub fn admit(&self) -> Result<Option<Epoch>, HoldReason> {
        self.admission.as_ref().map(|admission| admission.admit()).transpose()
    }

    /// The `Retry-After` of a request refused by [`Self::admit`], in milliseconds.
    pub fn held_retry_after(&self) -> Millis {
        self.max_retry_after.get().min(HELD_RETRY_AFTER_MS)
    }

    /// How many open requests a policy may allow at this process: each takes a connection, and memory that bodies
    /// leave. What its own settings allow is always within it.
    pub fn open_request_capacity(&self) -> usize {
        self.capacity.max_open_requests().max(self.config.node_settings.max_open_requests)
    }

    /// Applies a policy. Requests that were taken before keep to the policy under which they were taken.
    pub fn apply_policy(self: &Rc<Self>, settings: NodeSettings) {
        self.open_cap.set(settings.max_open_requests);
        self.max_retry_after.set(settings.settings.limits.max_retry_after);
        {
            let votes = &mut self.state.borrow_mut().votes;
            *votes = settings.settings.votes.is_some().then(|| votes.take().unwrap_or_default());
        }
        self.handle_event(Event::Policy(Box::new(module_settings(&settings))));
        self.set_policy_bans(settings.bans.into_iter().collect());
    }

    /// Bans exactly these servers by policy. Operators' bans stay.
    fn set_policy_bans(self: &Rc<Self>, bans: BTreeSet<String>) {
        let before = std::mem::replace(&mut self.state.borrow_mut().policy_bans, bans.clone());
        for name in bans.difference(&before).filter(|name| !self.state.borrow().bans.is_banned(name)) {
            self.take_out_of_use(name, ServerId(number_of(name)));
        }
        for name in before.difference(&bans).filter(|name| !self.state.borrow().bans.is_banned(name)) {
            self.put_back(name, ServerId(number_of(name)), Duration::ZERO);
        }
    }

    // ---- Votes ----

    /// The votes of the next heartbeat, and the version of the known verdicts; `None` while the agreed policy has
    /// no votes. `zone` is the node's own.
    pub fn heartbeat_votes(&self, zone: Option<&str>) -> Option<(VoteReport, u64)> {
        let state = self.state.borrow();
        let votes = state.votes.as_ref()?;
        let own_votes = state.balancer.ballots();
        let ballots = own_votes.ballots.into_iter().filter_map(|own| {
            let host = state.servers.get(&own.server)?;
            Some(Ballot {
                server: host.name.clone(),
                born_ms: host.born_ms,
                zone: host.zone.as_deref().unwrap_or_default().to_owned(),
                vote: own.vote,
                evidence: own.evidence,
            })
        });
        let up =
            |host: &&ServerInfo| host.state == ServerState::Up && !state.policy_bans.contains(&host.name);
        let up = state.servers.values().filter(up).map(|host| host.zone.as_deref().unwrap_or_default());
        Some((votes.heartbeat_votes(zone, up, own_votes.self_doubt, ballots.collect()), votes.version()))
    }

    /// A leader has answered a heartbeat that had votes. This counts as contact with the group even if no verdict
    /// changed.
    pub fn leader_answered(
        self: &Rc<Self>,
        zone: Option<&str>,
        queried: Vec<String>,
        verdicts: Option<Verdicts>,
    ) {
        let now = self.clock.at(Instant::now());
        let known = match &mut self.state.borrow_mut().votes {
            Some(votes) => {
                votes.leader_answered(queried, verdicts, now);
                true
            }
            None => false,
        };
        if known {
            self.apply_verdicts(zone);
        }
    }

    /// A replica's watch has reported the verdicts in force.
    pub fn verdicts_reported(self: &Rc<Self>, zone: Option<&str>, verdicts: Verdicts) {
        let newer = self.state.borrow_mut().votes.as_mut().is_some_and(|votes| votes.update(verdicts));
        if newer {
            self.apply_verdicts(zone);
        }
    }

    /// Passes the verdicts that apply here to the decision module, and logs changes.
    fn apply_verdicts(self: &Rc<Self>, zone: Option<&str>) {
        let verdicts = {
            let state = &mut *self.state.borrow_mut();
            let Some(votes) = &mut state.votes else { return };
            let servers = &state.servers;
            let born = |name: &str| {
                servers.get(&ServerId(number_of(name))).filter(|h| h.name == name).map(|h| h.born_ms)
            };
            let applying: BTreeMap<String, bool> = votes
                .verdicts_here(&self.config.name, zone, born)
                .map(|(server, probe)| (server.to_owned(), probe))
                .collect();
            let to_verdict =
                |(name, &probe): (&String, &bool)| ServerVerdict { server: ServerId(number_of(name)), probe };
            let verdicts = applying.iter().map(to_verdict).collect();
            for (name, change) in votes.set_applying(applying) {
                let server = ServerId(number_of(&name));
                let own = state.balancer.ballots().ballots.into_iter().find(|own| own.server == server);
                let evidence = own.map_or("too few attempts of late".to_owned(), |own| {
                    votes::describe_evidence(own.evidence)
                });
                log::line(format!(
                    "{name} {change} (version {}); this node counted {evidence}",
                    votes.version()
                ));
            }
            verdicts
        };
        self.handle_event(Event::Verdicts(verdicts));
    }

    /// The state of the votes for the metrics.
    fn voting_status(&self) -> Option<VotingStatus> {
        let state = self.state.borrow();
        let votes = state.votes.as_ref()?;
        let own = state.balancer.ballots();
        Some(VotingStatus {
            suspects: own.suspects,
            removed: votes.applying(),
            panic_mode: own.panic_mode,
            standalone: own.isolated,
            abstains: own.self_doubt,
            last_contact_ms: votes.last_contact(self.clock.at(Instant::now())).map(|age| age as u64),
        })
    }

    // ---- Events ----

    /// Passes an event to the decision module and performs its actions. Events that arise meanwhile are queued.
    fn handle_event(self: &Rc<Self>, event: Event) {
        {
            let mut state = self.state.borrow_mut();
            state.events.push_back(event);
            if state.handling_event {
                return;
            }
            state.handling_event = true;
        }
        let mut actions = Vec::new();
        loop {
            {
                let mut state = self.state.borrow_mut();
                let Some(event) = state.events.pop_front() else {
                    state.handling_event = false;
                    return;
                };
                let now = self.clock.at(Instant::now());
                state.balancer.handle(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                self.perform(action);
            }
        }
    }

    /// Takes a client's request; the receiver gets the final response. By `deadline` the response must be on its
    /// way.
    pub fn start_request(
        self: &Rc<Self>,
        request: ForwardedRequest,
        deadline: Instant,
    ) -> (RequestId, oneshot::Receiver<FinalResponse>) {
        let (sender, receiver) = oneshot::channel();
        let (class, tenant, resent, estimated_work) =
            (request.class, request.tenant, request.resent, request.estimated_work);
        let streaming = request.body.monitor().is_some();
        let id = {
            let mut state = self.state.borrow_mut();
            state.last_id += 1;
            let id = RequestId(state.last_id);
            let open =
                OpenRequest { request: Rc::new(request), response: Some(sender), attempts: Vec::new() };
            state.requests.insert(id, open);
            id
        };
        self.handle_event(Event::Request {
            id,
            class,
            tenant,
            deadline: self.clock.at(deadline),
            streaming_body: streaming,
            is_retry: resent,
            estimated_work,
        });
        (id, receiver)
    }

    /// The body of a streamed request has arrived completely; its response must be on its way by `deadline`.
    pub fn body_complete(self: &Rc<Self>, id: RequestId, deadline: Instant) {
        if let Some(open) = self.state.borrow_mut().requests.get_mut(&id) {
            for attempt in open.attempts.iter_mut().filter(|a| a.task.is_some()) {
                attempt.timed_from = Instant::now();
            }
        }
        self.handle_event(Event::BodyComplete { id, deadline: self.clock.at(deadline) });
    }

    /// Whether the request may have run before: it must not run twice, and has come again after its client had left.
    pub fn may_have_run(&self, request: &ForwardedRequest) -> bool {
        self.must_run_once(request) && self.abandoned_ids.borrow_mut().contains(request.txn(), Instant::now())
    }

    fn must_run_once(&self, request: &ForwardedRequest) -> bool {
        self.config.node_settings.settings.classes[request.class].idempotency == Idempotency::Unsafe
    }

    /// Whether a request still awaits its final response.
    pub fn awaits_response(&self, id: RequestId) -> bool {
        self.state.borrow().requests.get(&id).is_some_and(|r| r.response.is_some())
    }

    /// How many requests await their final response.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().requests.values().filter(|r| r.response.is_some()).count()
    }

    /// A summary of the node's state for the log.
    pub fn status(&self) -> String {
        let (connections, state) = (self.pool.open_connections(), self.state.borrow());
        let version = state.list_watcher.version();
        let last_contact = state.list_watcher.last_received().map_or("never heard".into(), |at| {
            format!("heard {:.1} s ago", self.clock.ms().saturating_sub(at) as f64 / 1000.0)
        });
        let policy = match self.admit() {
            Ok(None) => String::new(),
            Ok(Some(epoch)) => format!(", epoch {epoch}"),
            Err(reason) => format!(", held: {}", reason.description()),
        };
        let (requests, module) = (state.requests.len(), state.balancer.status());
        let memory = self.capacity.memory_budget().describe();
        format!(
            "{requests} requests, {connections} to servers, list {version} {last_contact}, {module}, {memory}{policy}"
        )
    }

    /// The metrics as text.
    pub fn metrics_text(&self) -> String {
        let (voting, state) = (self.voting_status(), self.state.borrow());
        let policy = self
            .admission
            .as_ref()
            .map(|admission| (admission.member.borrow().active_epoch(), admission.admit().is_err()));
        let (targets, unavailable) = (state.servers.len(), state.balancer.unavailable_servers());
        self.metrics.render(&self.config.node_settings.class_names, targets, unavailable, policy, voting)
    }

    /// Fails all open requests before the node exits: a response is better than a reset. Returns how many had no
    /// response yet.
    pub fn fail_open_requests(self: &Rc<Self>) -> usize {
        let unanswered = self.open_requests();
        let open: Vec<RequestId> = self.state.borrow().requests.keys().copied().collect();
        for id in open {
            self.respond(id, FinalResponse::Failed);
            self.client_gone(id);
        }
        unanswered
    }

    /// Whether one more request may be taken.
    pub fn has_request_capacity(&self) -> bool {
        self.state.borrow().requests.len() < self.open_cap.get()
    }

    /// A request needs no response any more: its client left, or was answered without the decision module.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        {
            let mut state = self.state.borrow_mut();
            let Some(open) = state.requests.get_mut(&id) else { return };
            open.response = None;
            if !open.attempts.is_empty() && self.must_run_once(&open.request) {
                self.abandoned_ids.borrow_mut().insert(open.request.txn(), Instant::now());
            }
        }
        self.handle_event(Event::ClientGone(id));
        self.remove_if_ended(id);
    }

    /// An attempt has ended.
    pub fn attempt_ended(
        self: &Rc<Self>,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        response: Option<ServerResponse>,
    ) {
        let event = {
            let state = &mut *self.state.borrow_mut();
            let Some(open) = state.requests.get_mut(&id) else { return };
            let Some(ended) = open.attempts.get_mut(attempt) else { return };
            // It was cancelled before, which was its one outcome.
            if ended.task.take().is_none() {
                return;
            }
            let (server, elapsed) = (ended.server, ended.timed_from.elapsed().as_secs_f64() * 1000.0);
            if outcome != Outcome::Success {
                let host = state.servers.get(&server).map_or("an unlisted server", |h| h.name.as_str());
                log::limited(|| {
                    format!(
                        "{}: attempt {attempt} at {host}: {outcome:?}, {elapsed:.1} ms",
                        open.request.txn()
                    )
                });
            }
            match response {
                Some(response) => send_response(open, FinalResponse::Served(Box::new(response))),
                // The server refused the request as faulty.
                None if outcome == Outcome::Cancelled => send_response(open, FinalResponse::Failed),
                None => {}
            }
            let answered = open.response.is_none();
            Event::AttemptEnded { id, attempt, server, outcome, elapsed, answered }
        };
        self.handle_event(event);
        self.remove_if_ended(id);
    }

    /// A probe has ended.
    pub fn probe_ended(self: &Rc<Self>, server: ServerId, outcome: Outcome, elapsed: Duration) {
        self.handle_event(Event::ProbeEnded { server, outcome, elapsed: elapsed.as_secs_f64() * 1000.0 });
    }

    fn remove_if_ended(&self, id: RequestId) {
        let mut state = self.state.borrow_mut();
        let ended = |r: &OpenRequest| r.response.is_none() && r.attempts.iter().all(|a| a.task.is_none());
        if state.requests.get(&id).is_some_and(ended) {
            state.requests.remove(&id);
        }
    }

    // ---- Actions ----

    fn perform(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.start_attempt(id, server, timeout),
            Action::Cancel { id, attempt } => self.cancel_attempt(id, attempt),
            Action::Refuse { id, retry_after } => self.respond(id, FinalResponse::Refused(retry_after)),
            Action::Fail(id) => self.respond(id, FinalResponse::Failed),
            Action::SetTimer(after) => self.set_timer(after),
            Action::Subscribe => self.handle_discovery(endpoints::Event::RefreshRequested),
            Action::Probe(server) => self.io.start_probe(self.clone(), server),
        }
    }

    fn start_attempt(self: &Rc<Self>, id: RequestId, server: ServerId, timeout: Option<Millis>) {
        let mut state = self.state.borrow_mut();
        let Some(open) = state.requests.get_mut(&id) else { return };
        let now = Instant::now();
        let deadline = now + to_duration(timeout.unwrap_or(f64::INFINITY));
        let attempt = open.attempts.len();
        let target = AttemptTarget { id, attempt, server, deadline };
        let task = self.io.start_attempt(self.clone(), target, open.request.clone());
        open.attempts.push(AttemptTask { server, timed_from: now, task: Some(task) });
    }

    /// Aborting the task closes its connection.
    fn cancel_attempt(self: &Rc<Self>, id: RequestId, attempt: usize) {
        let ended = {
            let mut state = self.state.borrow_mut();
            let Some(open) = state.requests.get_mut(&id) else { return };
            let answered = open.response.is_none();
            let Some(ended) = open.attempts.get_mut(attempt) else { return };
            let Some(task) = ended.task.take() else { return };
            task.abort();
            let elapsed = ended.timed_from.elapsed().as_secs_f64() * 1000.0;
            Event::AttemptEnded {
                id,
                attempt,
                server: ended.server,
                outcome: Outcome::Cancelled,
                elapsed,
                answered,
            }
        };
        self.handle_event(ended);
        self.remove_if_ended(id);
    }

    fn respond(&self, id: RequestId, response: FinalResponse) {
        if let Some(open) = self.state.borrow_mut().requests.get_mut(&id) {
            let result = if matches!(response, FinalResponse::Refused(_)) { "refused" } else { "failed" };
            log::limited(|| format!("{}: {result}, attempts {}", open.request.txn(), open.attempts.len()));
            send_response(open, response);
        }
        self.remove_if_ended(id);
    }

    fn set_timer(&self, after: Millis) {
        let at = Instant::now() + to_duration(after);
        let mut state = self.state.borrow_mut();
        if state.timer.is_none_or(|due| at < due) {
            state.timer = Some(at);
            self.timer_changed.notify_one();
        }
    }

    // ---- The list ----

    /// Passes an event to the list watcher and performs its actions.
    pub fn handle_discovery(self: &Rc<Self>, event: endpoints::Event<'_>) {
        let actions = {
            let state = &mut *self.state.borrow_mut();
            if let endpoints::Event::ResponseEnded(id) | endpoints::Event::CallFailed(id, _) = event {
                state.calls.remove(&id);
            }
            let due = state.list_watcher.next_timer_at();
            let actions = state.list_watcher.handle(self.clock.ms(), event);
            if state.list_watcher.next_timer_at().is_some_and(|at| due.is_none_or(|due| at < due)) {
                self.timer_changed.notify_one();
            }
            actions
        };
        for action in actions {
            match action {
                ListAction::StartCall(id, path) => {
                    let call = self.io.start_discovery_call(self.clone(), id, path);
                    self.state.borrow_mut().calls.insert(id, call);
                }
                ListAction::CancelCall(id) => {
                    if let Some(call) = self.state.borrow_mut().calls.remove(&id) {
                        call.abort();
                    }
                }
                ListAction::ApplyUpdate(update) => {
                    let whole = update.whole;
                    self.apply_list(update, false);
                    self.record_discovery_answer(whole);
                }
                ListAction::NoChanges => {
                    self.record_discovery_answer(false);
                    self.handle_event(Event::ListChange(Vec::new()));
                }
                ListAction::ReportFailure(reason) => {
                    log::limited(|| format!("discovery: {reason}"));
                    self.handle_event(Event::ListFailed);
                }
            }
        }
    }

    /// Discovery has answered. An answer without servers does not make a node ready that has none.
    fn record_discovery_answer(&self, whole: bool) {
        let listed = whole || !self.state.borrow().servers.is_empty();
        self.discovery_answered.set(self.discovery_answered.get() || listed);
    }

    /// Changes the address of discovery and drops the calls in progress, also if the address is the same: another
    /// service may have been there in between. The time after which an older list counts runs from this call.
    pub fn change_discovery(self: &Rc<Self>, to: SocketAddr) {
        let from = self.discovery_addr.replace(to);
        log::line(format!(
            "discovery: {} {to}",
            if from == to { "subscribing again at" } else { "moved to" }
        ));
        self.handle_discovery(endpoints::Event::ServiceMoved);
    }

    fn apply_list(self: &Rc<Self>, update: Update, saved: bool) {
        let entries = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            if update.whole {
                for host in state.servers.values_mut() {
                    host.state = ServerState::Gone;
                }
            }
            let entries =
                update.hosts.into_iter().filter_map(|h| self.update_server(&mut state.servers, h)).collect();
            for (server, _) in state.servers.iter().filter(|(_, h)| h.state == ServerState::Gone) {
                self.pool.close_idle(*server);
            }
            state.servers.retain(|_, h| h.state != ServerState::Gone);
            entries
        };
        self.handle_event(if update.whole {
            Event::List { entries, saved }
        } else {
            Event::ListChange(entries)
        });
    }

    /// Stores a list entry. It takes effect at once, also for attempts that are being started.
    fn update_server(
        &self,
        servers: &mut HashMap<ServerId, ServerInfo>,
        host: endpoints::Host,
    ) -> Option<Entry> {
        let server = ServerId(number_of(&host.host));
        let state = listed_state(host.health);
        let before = servers.get(&server);
        if let Some(other) = before.filter(|b| b.name != host.host) {
            log::line(format!(
                "discovery: {} and {} have the same number, the second is ignored",
                other.name, host.host
            ));
            return None;
        }
        let addr = host.dial.or(before.map(|b| b.addr));
        if before.is_some_and(|b| b.born_ms != host.born_ms || Some(b.addr) != addr) {
            // Its connections ended with its old process.
            self.pool.close_idle(server);
        }
        let started = match before {
            Some(before) if before.born_ms == host.born_ms => before.started,
            _ => {
                let listed = (host.born_ms > 0.0).then_some(host.born_ms - self.clock.unix_start);
                start_time(listed, before.map(|before| before.started), self.clock.ago(Duration::ZERO))
            }
        };
        if let Some(addr) = addr {
            let zone = self.admission.is_some().then(|| host.zone.as_str().into());
            servers.insert(
                server,
                ServerInfo { name: host.host, addr, born_ms: host.born_ms, started, zone, state },
            );
        }
        Some(Entry {
            server,
            zone: number_of(&host.zone),
            cell: host.cell,
            kind: number_of(&host.kind),
            state,
            weight: host.weight,
            started_at: started,
        })
    }

    // ---- Maintenance ----

    /// Bans a server until the ban is lifted, whatever the list says; false if no such server is known.
    pub fn disable(self: &Rc<Self>, name: &str) -> bool {
        self.poll_bans();
        let server = ServerId(number_of(name));
        {
            let mut state = self.state.borrow_mut();
            if !state.lists(name) && !state.is_banned(name) {
                return false;
            }
            state.bans.ban(name);
        }
        self.take_out_of_use(name, server);
        true
    }

    /// Lifts the ban on a server; false if no such server is known.
    ///
    /// # Errors
    /// [`BanError::NotLifted`].
    pub fn enable(self: &Rc<Self>, name: &str) -> Result<bool, BanError> {
        self.poll_bans();
        let server = ServerId(number_of(name));
        let (listed, was_banned) = {
            let mut state = self.state.borrow_mut();
            (state.lists(name), state.bans.unban(name)?)
        };
        if was_banned {
            self.put_back_unless_banned(name, server, Duration::ZERO);
        }
        Ok(listed || was_banned || self.state.borrow().is_banned(name))
    }

    /// Applies the bans that another process of this node has made or lifted.
    pub fn poll_bans(self: &Rc<Self>) {
        let changes = self.state.borrow_mut().bans.poll_changes();
        for (name, change) in changes {
            let server = ServerId(number_of(&name));
            match change {
                BanChange::Banned => self.take_out_of_use(&name, server),
                BanChange::Lifted(ago) => self.put_back_unless_banned(&name, server, ago),
            }
        }
    }

    fn take_out_of_use(self: &Rc<Self>, name: &str, server: ServerId) {
        log::line(format!("{name} is out of use"));
        // It may be restarted before it is enabled again.
        self.pool.close_idle(server);
        self.handle_event(Event::Disable(server));
    }

    /// Puts a server back in use, unless the agreed policy bans it as well; that ban holds until a policy lifts it.
    fn put_back_unless_banned(self: &Rc<Self>, name: &str, server: ServerId, ago: Duration) {
        if self.state.borrow().policy_bans.contains(name) {
            log::line(format!("{name} stays out of use: the agreed policy bans it"));
        } else {
            self.put_back(name, server, ago);
        }
    }

    fn put_back(self: &Rc<Self>, name: &str, server: ServerId, ago: Duration) {
        log::line(format!("{name} is back in use"));
        self.handle_event(Event::Enable { server, enabled_at: self.clock.ago(ago) });
    }

    /// The address of a server, if requests may be sent to it.
    pub fn server_addr(&self, server: ServerId) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let usable = |h: &&ServerInfo| h.state == ServerState::Up && !state.is_banned(&h.name);
        state.servers.get(&server).filter(usable).map(|h| h.addr)
    }
}

/// The list's health of a server in the decision module's terms.
fn listed_state(health: Health) -> ServerState {
    match health {
        Health::Active => ServerState::Up,
        Health::Leaving => ServerState::Draining,
        Health::Left => ServerState::Gone,
    }
}

/// The decision module's settings, which refer to servers by number.
fn module_settings(settings: &NodeSettings) -> Settings {
    let weights = settings.server_weights.iter().map(|(name, factor)| (ServerId(number_of(name)), *factor));
    Settings { server_weights: weights.collect(), ..settings.settings.clone() }
}

fn send_response(open: &mut OpenRequest, response: FinalResponse) {
    if let Some(sender) = open.response.take() {
        // A client that has just left needs no response.
        let _ = sender.send(response);
    }
}

/// A duration of the decision module, clamped to what clocks can represent.
fn to_duration(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 86_400_000.0) / 1000.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stepped_clock_keeps_no_server_cold_and_makes_none_warm_at_once() {
        const HOUR: Millis = 3_600_000.0;
        let now = 50_000.0;
        // Plausible dates: a start before this node's, and one a moment ago.
        assert_eq!(start_time(Some(-9000.0), None, now), Some(-9000.0));
        assert_eq!(start_time(Some(now - 400.0), Some(Some(-9000.0)), now), Some(now - 400.0));
        assert_eq!(start_time(None, Some(Some(-9000.0)), now), None);
        // The server's clock was set forward, or this node's was set back before it started.
        assert_eq!(start_time(Some(now - 400.0 + HOUR), Some(Some(-9000.0)), now), Some(now));
        // The opposite, at a restart that was seen.
        assert_eq!(start_time(Some(now - 400.0 - HOUR), Some(Some(-9000.0)), now), Some(now));
    }
}
