//! The owner of the decision module: events in, actions out, the table of requests, the clock and the timer.

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
    Action, Balancer, Discovery, Entry, Event, Millis, Outcome, RequestId, ServerId, ServerState,
    ServerVerdict, Settings, SettingsError,
};
use xxhash_rust::xxh3::xxh3_64;

use super::bans::{BanError, Bans, Change};
use super::bodies::Budget;
use super::config::Config;
use super::gate::{Gate, Stop};
use super::log;
use super::metrics::{Metrics, Voting};
use super::pool::Pool;
use super::request::{Answer, Asked, Reply, To};
use super::votes::{self, Word};

/// How long the node waits for discovery before it serves by the saved list.
const READY_WITHIN: Duration = Duration::from_millis(2500);
/// How long after its start a process that inherited its listener may have an older one beside it: that is told
/// to end within 6 s, once this one is ready, and is killed 3.7 s later at the latest.
const OVERLAP: Duration = Duration::from_secs(10);

/// Descriptors that no client or server may take, where there are enough: for the standard streams, the runtime,
/// the listeners, discovery and operators' callers.
const ASIDE: usize = 24;
/// Turns of the runtime that what has come needs to be read: its connection, and the call on it.
const READ_FIRST: usize = 3;
/// What an open request takes of the memory that bodies leave, in bytes: its heads, mostly.
const OPEN_BYTES: usize = 16 * 1024;
/// For how long whoever is refused because of the gate should stay away, in milliseconds: a beat or two.
const HELD_AWAY: Millis = 500.0;
/// How often it is looked whether the node can serve.
const LOOK: Duration = Duration::from_millis(10);

/// What a process is of its node: with a listener that another one may have too, two serve as one node for a while,
/// and what they take of its limits must add up.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Part {
    /// All of it.
    Whole,
    /// It has just started, and an older one may still be there. Clients come over to it.
    New,
    /// It has been told to end, and a newer one may be there.
    Old,
}

/// Who does on sockets what the node decides. Each call begins something that goes on by itself, and tells the node
/// how it ended.
pub trait Hands {
    /// One attempt at a request.
    fn attempt(&self, node: Rc<Node>, to: To, asked: Rc<Asked>) -> AbortHandle;
    /// One probe of a server.
    fn probe(&self, node: Rc<Node>, server: ServerId);
    /// Asks discovery for a path; each step is told to the node's [`Node::discover`].
    fn call(&self, node: Rc<Node>, id: CallId, path: String) -> AbortHandle;
}

/// Monotonic time for the module, and its relation to Unix time at the start.
struct Clock {
    start: Instant,
    unix_start: Millis,
}

impl Clock {
    /// The one look at the wall clock: dates of other machines are taken as they are by it, within [`started`]'s bounds.
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

    /// That long ago; perhaps before the node's start.
    fn ago(&self, span: Duration) -> Millis {
        (self.start.elapsed().as_secs_f64() - span.as_secs_f64()) * 1000.0
    }
}

/// When a server has started by the module's time, `None` for long ago: `born` is the date that the list has by the same
/// offset, `before` what was taken of it at its last start. A date that can't be, as its clock or this node's was
/// stepped, counts as the moment when it is heard of: no server stays cold for longer than after a start just then, and
/// one that was seen to start anew is not warm at once.
fn started(born: Option<Millis>, before: Option<Option<Millis>>, now: Millis) -> Option<Millis> {
    let earliest = before.flatten().unwrap_or(f64::NEG_INFINITY);
    born.map(|born| if born > now || born < earliest { now } else { born })
}

/// A request that is open, or has attempts out.
struct Open {
    asked: Rc<Asked>,
    /// Where the final answer goes; taken when there is one, or when none is owed any more.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Try>,
}

struct Try {
    server: ServerId,
    sent: Instant,
    /// `None` once it has ended.
    task: Option<AbortHandle>,
}

/// What is known of a server besides what the module knows.
struct Host {
    name: String,
    dial: SocketAddr,
    born_ms: f64,
    started: Option<Millis>,
    /// The name of its zone, where there is a control group.
    zone: Option<Box<str>>,
    state: ServerState,
}

struct State {
    balancer: Balancer,
    events: VecDeque<Event>,
    feeding: bool,
    requests: HashMap<RequestId, Open>,
    last_id: u64,
    /// When the module wants to be woken.
    timer: Option<Instant>,
    hosts: HashMap<ServerId, Host>,
    bans: Bans,
    follower: ListWatcher,
    /// The calls to discovery that are out.
    calls: BTreeMap<CallId, AbortHandle>,
    /// The servers that the agreed policy takes out, by name.
    policy_bans: BTreeSet<String>,
    /// What the control group says of servers, while the agreed policy has votes.
    word: Option<Word>,
}

impl State {
    /// Is a server out, by operators' calls or by the agreed policy?
    fn out(&self, name: &str) -> bool {
        self.bans.hold(name) || self.policy_bans.contains(name)
    }

    /// Is a server of that name in the list?
    fn lists(&self, name: &str) -> bool {
        self.hosts.get(&ServerId(number_of(name))).is_some_and(|h| h.name == name)
    }
}

/// One node.
pub struct Node {
    /// Its configuration.
    pub config: Config,
    /// Its connections to servers.
    pub pool: Pool,
    /// The bytes that bodies may take: two thirds of the memory; the rest is for connections and all else.
    pub budget: Budget,
    /// What it counts.
    pub metrics: Rc<Metrics>,
    /// Since when the node is to end: answers then close their connections.
    pub closing: Cell<Option<Instant>>,
    /// Where discovery is now.
    pub discovery: Cell<SocketAddr>,
    /// Whether requests may be taken, where there is a control group.
    gate: Option<Rc<Gate>>,
    /// The most requests that may be open.
    open_cap: Cell<usize>,
    /// The longest that clients heed when they are told to stay away.
    max_retry_after: Cell<Millis>,
    hands: Box<dyn Hands>,
    clock: Clock,
    informed: Cell<bool>,
    state: RefCell<State>,
    rearmed: Notify,
}

/// The same number for a name at every node and after every restart.
fn number_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl Node {
    /// A node that knows the saved list and has not asked discovery yet.
    ///
    /// # Errors
    /// Where the module refuses the settings.
    pub fn new(
        mut config: Config,
        gate: Option<Rc<Gate>>,
        hands: Box<dyn Hands>,
    ) -> Result<Rc<Self>, SettingsError> {
        let balancer = Balancer::new(settings(&config.told), config.seed)?;
        // What is saved is all that there was, whatever form it says that it has.
        let known = config.known.take().map(|saved| Update { whole: true, ..saved });
        let mode = match config.told.settings.discovery {
            Discovery::Pushed => DeliveryMode::Push,
            Discovery::Subscribed => DeliveryMode::OnDemand,
        };
        let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
        let cold = span(config.told.settings.rules.warmup_time);
        let state = State {
            balancer,
            events: VecDeque::new(),
            feeding: false,
            requests: HashMap::new(),
            last_id: 0,
            timer: None,
            hosts: HashMap::new(),
            bans: Bans::new(folder, &config.name, cold),
            follower: ListWatcher::new(mode, known.as_ref(), 0),
            calls: BTreeMap::new(),
            policy_bans: BTreeSet::new(),
            word: None,
        };
        let node = Rc::new(Self {
            pool: Pool::new(&config),
            budget: Budget::new(config.memory / 3 * 2),
            metrics: Metrics::new(config.told.class_names.len()),
            discovery: Cell::new(config.discovery),
            open_cap: Cell::new(config.told.max_open_requests),
            max_retry_after: Cell::new(config.told.settings.limits.max_retry_after),
            config,
            closing: Cell::new(None),
            gate,
            hands,
            clock: Clock::new(),
            informed: Cell::new(false),
            state: RefCell::new(state),
            rearmed: Notify::new(),
        });
        let saved = known.unwrap_or(Update { version: 0, whole: true, hosts: Vec::new() });
        node.take_list(saved, true);
        node.ban(node.config.told.bans.iter().cloned().collect());
        node.look_at_bans();
        node.share_memory();
        node.discover(endpoints::Event::Tick);
        Ok(node)
    }

    /// Runs the timers of the module and of the list's follower; never ends.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let (module, list) = {
                let state = self.state.borrow();
                let list =
                    state.follower.next_deadline().map(|at| self.clock.start + Duration::from_millis(at));
                (state.timer, list)
            };
            let Some(due) = module.into_iter().chain(list).min() else {
                self.rearmed.notified().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => {}
                () = self.rearmed.notified() => continue,
            }
            if module.is_some_and(|at| at <= due) {
                self.state.borrow_mut().timer = None;
                self.feed(Event::Timer);
            }
            if list.is_some_and(|at| at <= due) {
                // A process that stood still first reads what has come meanwhile: nobody was silent.
                for _ in 0..READ_FIRST {
                    tokio::task::yield_now().await;
                }
                self.discover(endpoints::Event::Tick);
            }
        }
    }

    /// Can the node serve? Once discovery has answered, or soon with a saved list, and while its gate is open.
    pub fn ready(&self) -> bool {
        if self.closing.get().is_some() || self.admit().is_err() {
            return false;
        }
        let late = self.clock.start.elapsed() >= READY_WITHIN;
        self.informed.get() || (late && !self.state.borrow().hosts.is_empty())
    }

    /// Returns once the node can serve.
    pub async fn until_ready(&self) {
        while !self.ready() {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Leaves half of the memory for bodies to the other process while there may be one. To be called at the start
    /// and the end, and now and then.
    pub fn share_memory(&self) {
        self.budget.share(self.part() != Part::Whole);
    }

    /// Which part of the node this process is now.
    fn part(&self) -> Part {
        if self.config.inherited.is_none() {
            Part::Whole
        } else if self.closing.get().is_some() {
            Part::Old
        } else if self.clock.start.elapsed() < OVERLAP {
            Part::New
        } else {
            Part::Whole
        }
    }

    /// How many descriptors clients and servers may take together.
    fn descriptors(&self) -> usize {
        self.config.sockets - ASIDE.min(self.config.sockets / 4)
    }

    /// How many connections clients may have: at a new process no fewer than they hold, which is a third of all
    /// descriptors. What a new and an old process may have together, to servers as well, is no more than the whole.
    pub fn client_connections(&self) -> usize {
        let most = self.descriptors() * 4 / 7;
        match self.part() {
            Part::Whole => most,
            Part::New => most * 3 / 4,
            Part::Old => most / 4,
        }
    }

    /// How many connections there may be to servers.
    pub fn server_connections(&self) -> usize {
        let most = self.descriptors() * 3 / 7;
        match self.part() {
            Part::Whole => most,
            Part::New => most / 2,
            Part::Old => most / 4,
        }
    }

    /// Can the node serve, as the status of an answer?
    pub fn readiness(&self) -> StatusCode {
        if self.ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }

    // ---- Policy ----

    /// Whether a request may be taken right now, and under which epoch; none where there is no control group.
    ///
    /// # Errors
    /// Why not.
    pub fn admit(&self) -> Result<Option<Epoch>, Stop> {
        self.gate.as_ref().map(|gate| gate.admit()).transpose()
    }

    /// How long a client should stay away that was refused because of the gate.
    pub fn held_away(&self) -> Millis {
        self.max_retry_after.get().min(HELD_AWAY)
    }

    /// How many open requests a policy may ask this process to hold: each has a connection, and some memory of what
    /// bodies leave; what its own settings ask for is borne.
    pub fn room(&self) -> usize {
        let connections = self.descriptors() * 4 / 7;
        connections.min(self.config.memory / 3 / OPEN_BYTES).max(self.config.told.max_open_requests)
    }

    /// Judges by a policy from now on; what has been taken goes on under that by which it was.
    pub fn judge_by(self: &Rc<Self>, told: NodeSettings) {
        self.open_cap.set(told.max_open_requests);
        self.max_retry_after.set(told.settings.limits.max_retry_after);
        {
            let word = &mut self.state.borrow_mut().word;
            *word = told.settings.votes.is_some().then(|| word.take().unwrap_or_default());
        }
        self.feed(Event::Policy(Box::new(settings(&told))));
        self.ban(told.bans.into_iter().collect());
    }

    /// Has those servers out, and no other ones but those that operators' calls took out.
    fn ban(self: &Rc<Self>, bans: BTreeSet<String>) {
        let before = std::mem::replace(&mut self.state.borrow_mut().policy_bans, bans.clone());
        for name in bans.difference(&before).filter(|name| !self.state.borrow().bans.hold(name)) {
            self.out(name, ServerId(number_of(name)));
        }
        for name in before.difference(&bans).filter(|name| !self.state.borrow().bans.hold(name)) {
            self.back(name, ServerId(number_of(name)), Duration::ZERO);
        }
    }

    // ---- Votes ----

    /// What the next beat says of servers, and the version of the verdicts that are known; `None` while the agreed
    /// policy has no votes. `zone` is the node's own.
    pub fn votes(&self, zone: Option<&str>) -> Option<(VoteReport, u64)> {
        let state = self.state.borrow();
        let word = state.word.as_ref()?;
        let own = state.balancer.ballots();
        let ballots = own.ballots.into_iter().filter_map(|own| {
            let host = state.hosts.get(&own.server)?;
            Some(Ballot {
                server: host.name.clone(),
                born_ms: host.born_ms,
                zone: host.zone.as_deref().unwrap_or_default().to_owned(),
                vote: own.vote,
                evidence: own.evidence,
            })
        });
        let up = |host: &&Host| host.state == ServerState::Up && !state.policy_bans.contains(&host.name);
        let up = state.hosts.values().filter(up).map(|host| host.zone.as_deref().unwrap_or_default());
        Some((word.votes(zone, up, own.self_doubt, ballots.collect()), word.version()))
    }

    /// A leader has answered a beat that had votes: its word on servers is fresh, changed or not.
    pub fn answered(self: &Rc<Self>, zone: Option<&str>, asked: Vec<String>, verdicts: Option<Verdicts>) {
        let now = self.clock.at(Instant::now());
        let known = match &mut self.state.borrow_mut().word {
            Some(word) => {
                word.answered(asked, verdicts, now);
                true
            }
            None => false,
        };
        if known {
            self.rule(zone);
        }
    }

    /// A replica's watch has told what is in force for servers.
    pub fn news(self: &Rc<Self>, zone: Option<&str>, verdicts: Verdicts) {
        let newer = self.state.borrow_mut().word.as_mut().is_some_and(|word| word.news(verdicts));
        if newer {
            self.rule(zone);
        }
    }

    /// Has the module heed the verdicts that hold here.
    fn rule(self: &Rc<Self>, zone: Option<&str>) {
        let rulings = {
            let state = &mut *self.state.borrow_mut();
            let Some(word) = &mut state.word else { return };
            let hosts = &state.hosts;
            let born = |name: &str| {
                hosts.get(&ServerId(number_of(name))).filter(|h| h.name == name).map(|h| h.born_ms)
            };
            let held: BTreeMap<String, bool> = word
                .rulings(&self.config.name, zone, born)
                .map(|(server, probe)| (server.to_owned(), probe))
                .collect();
            let ruling =
                |(name, &probe): (&String, &bool)| ServerVerdict { server: ServerId(number_of(name)), probe };
            let rulings = held.iter().map(ruling).collect();
            for (name, turn) in word.note(held) {
                let server = ServerId(number_of(&name));
                let own = state.balancer.ballots().ballots.into_iter().find(|own| own.server == server);
                let words =
                    own.map_or("too few attempts of late".to_owned(), |own| votes::words(own.evidence));
                log::line(format!("{name} {turn} (version {}); from here: {words}", word.version()));
            }
            rulings
        };
        self.feed(Event::Verdicts(rulings));
    }

    /// What operators are shown of votes.
    fn voting(&self) -> Option<Voting> {
        let state = self.state.borrow();
        let word = state.word.as_ref()?;
        let own = state.balancer.ballots();
        Some(Voting {
            suspects: own.suspects,
            removed: word.held(),
            panic: own.panic_mode,
            alone: own.isolated,
            doubts: own.self_doubt,
            word_age_ms: word.age(self.clock.at(Instant::now())).map(|age| age as u64),
        })
    }

    // ---- Events ----

    /// Hands an event to the module and does what it says. Events that come of that wait their turn.
    fn feed(self: &Rc<Self>, event: Event) {
        {
            let mut state = self.state.borrow_mut();
            state.events.push_back(event);
            if state.feeding {
                return;
            }
            state.feeding = true;
        }
        let mut actions = Vec::new();
        loop {
            {
                let mut state = self.state.borrow_mut();
                let Some(event) = state.events.pop_front() else {
                    state.feeding = false;
                    return;
                };
                let now = self.clock.at(Instant::now());
                state.balancer.handle(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    /// Takes in a client's request; the final answer comes from the receiver. `deadline` is when the answer
    /// must be on its way.
    pub fn request(
        self: &Rc<Self>,
        asked: Asked,
        deadline: Instant,
    ) -> (RequestId, oneshot::Receiver<Answer>) {
        let (answer, answered) = oneshot::channel();
        let (class, tenant, again, work) = (asked.class, asked.tenant, asked.again, asked.work);
        let coming = asked.body.passage().is_some();
        let id = {
            let mut state = self.state.borrow_mut();
            state.last_id += 1;
            let id = RequestId(state.last_id);
            let open = Open { asked: Rc::new(asked), answer: Some(answer), attempts: Vec::new() };
            state.requests.insert(id, open);
            id
        };
        self.feed(Event::Request {
            id,
            class,
            tenant,
            deadline: self.clock.at(deadline),
            streaming_body: coming,
            is_retry: again,
            estimated_work: work,
        });
        (id, answered)
    }

    /// A request that was coming is whole; its answer must be on its way at `deadline`.
    pub fn whole(self: &Rc<Self>, id: RequestId, deadline: Instant) {
        if let Some(open) = self.state.borrow_mut().requests.get_mut(&id) {
            for out in open.attempts.iter_mut().filter(|t| t.task.is_some()) {
                out.sent = Instant::now();
            }
        }
        self.feed(Event::BodyComplete { id, deadline: self.clock.at(deadline) });
    }

    /// Does a request still await its final answer?
    pub fn awaits(&self, id: RequestId) -> bool {
        self.state.borrow().requests.get(&id).is_some_and(|r| r.answer.is_some())
    }

    /// How many requests await their final answer.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().requests.values().filter(|r| r.answer.is_some()).count()
    }

    /// What it holds, for the log.
    pub fn status(&self) -> String {
        let (connections, state) = (self.pool.held(), self.state.borrow());
        let version = state.follower.version();
        let heard = state.follower.last_received().map_or("never heard".into(), |at| {
            format!("heard {:.1} s ago", self.clock.ms().saturating_sub(at) as f64 / 1000.0)
        });
        let policy = match self.admit() {
            Ok(None) => String::new(),
            Ok(Some(epoch)) => format!(", epoch {epoch}"),
            Err(stop) => format!(", held: {}", stop.words()),
        };
        let (requests, module) = (state.requests.len(), state.balancer.status());
        format!("{requests} requests, {connections} to servers, list {version} {heard}, {module}{policy}")
    }

    /// The figures.
    pub fn figures(&self) -> String {
        let (voting, state) = (self.voting(), self.state.borrow());
        let policy =
            self.gate.as_ref().map(|gate| (gate.member.borrow().active_epoch(), gate.admit().is_err()));
        let (targets, avoided) = (state.hosts.len(), state.balancer.unavailable_servers());
        self.metrics.text(&self.config.told.class_names, targets, avoided, policy, voting)
    }

    /// Fails all that is still open: the node ends, and an answer is better than a reset.
    pub fn fail_open(self: &Rc<Self>) {
        let open: Vec<RequestId> = self.state.borrow().requests.keys().copied().collect();
        for id in open {
            self.answer(id, Answer::Failed);
            self.client_gone(id);
        }
    }

    /// May one more request be taken in?
    pub fn has_room(&self) -> bool {
        self.state.borrow().requests.len() < self.open_cap.get()
    }

    /// Nothing is owed any more: the client left, or has been answered in the module's place.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        {
            let mut state = self.state.borrow_mut();
            let Some(open) = state.requests.get_mut(&id) else { return };
            open.answer = None;
        }
        self.feed(Event::ClientGone(id));
        self.drop_if_over(id);
    }

    /// An attempt has ended.
    pub fn attempt_ended(
        self: &Rc<Self>,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        reply: Option<Reply>,
    ) {
        let event = {
            let state = &mut *self.state.borrow_mut();
            let Some(open) = state.requests.get_mut(&id) else { return };
            let Some(ended) = open.attempts.get_mut(attempt) else { return };
            // Cancelled before: that was its one outcome.
            if ended.task.take().is_none() {
                return;
            }
            let (server, took) = (ended.server, ended.sent.elapsed().as_secs_f64() * 1000.0);
            if outcome != Outcome::Success {
                let host = state.hosts.get(&server).map_or("an unlisted server", |h| h.name.as_str());
                log::trouble(|| {
                    format!("{}: attempt {attempt} at {host}: {outcome:?}, {took:.1} ms", open.asked.txn())
                });
            }
            match reply {
                Some(reply) => give(open, Answer::Served(Box::new(reply))),
                // Its server called it off: a request that is at fault.
                None if outcome == Outcome::Cancelled => give(open, Answer::Failed),
                None => {}
            }
            let finished = open.answer.is_none();
            Event::AttemptEnded { id, attempt, server, outcome, elapsed: took, answered: finished }
        };
        self.feed(event);
        self.drop_if_over(id);
    }

    /// A probe came back.
    pub fn probed(self: &Rc<Self>, server: ServerId, outcome: Outcome, took: Duration) {
        self.feed(Event::ProbeEnded { server, outcome, elapsed: took.as_secs_f64() * 1000.0 });
    }

    fn drop_if_over(&self, id: RequestId) {
        let mut state = self.state.borrow_mut();
        let over = |r: &Open| r.answer.is_none() && r.attempts.iter().all(|a| a.task.is_none());
        if state.requests.get(&id).is_some_and(over) {
            state.requests.remove(&id);
        }
    }

    // ---- Actions ----

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Refuse { id, retry_after } => self.answer(id, Answer::Refused(retry_after)),
            Action::Fail(id) => self.answer(id, Answer::Failed),
            Action::SetTimer(after) => self.set_timer(after),
            Action::Subscribe => self.discover(endpoints::Event::RefreshRequested),
            Action::Probe(server) => self.hands.probe(self.clone(), server),
        }
    }

    fn send(self: &Rc<Self>, id: RequestId, server: ServerId, timeout: Option<Millis>) {
        let mut state = self.state.borrow_mut();
        let Some(open) = state.requests.get_mut(&id) else { return };
        let now = Instant::now();
        let end = now + span(timeout.unwrap_or(f64::INFINITY));
        let attempt = open.attempts.len();
        let to = To { id, attempt, server, end };
        let task = self.hands.attempt(self.clone(), to, open.asked.clone());
        open.attempts.push(Try { server, sent: now, task: Some(task) });
    }

    /// Ending the task closes its connection.
    fn cancel(self: &Rc<Self>, id: RequestId, attempt: usize) {
        let ended = {
            let mut state = self.state.borrow_mut();
            let Some(open) = state.requests.get_mut(&id) else { return };
            let finished = open.answer.is_none();
            let Some(ended) = open.attempts.get_mut(attempt) else { return };
            let Some(task) = ended.task.take() else { return };
            task.abort();
            let took = ended.sent.elapsed().as_secs_f64() * 1000.0;
            Event::AttemptEnded {
                id,
                attempt,
                server: ended.server,
                outcome: Outcome::Cancelled,
                elapsed: took,
                answered: finished,
            }
        };
        self.feed(ended);
        self.drop_if_over(id);
    }

    fn answer(&self, id: RequestId, answer: Answer) {
        if let Some(open) = self.state.borrow_mut().requests.get_mut(&id) {
            let words = if matches!(answer, Answer::Refused(_)) { "refused" } else { "failed" };
            log::trouble(|| format!("{}: {words}, attempts {}", open.asked.txn(), open.attempts.len()));
            give(open, answer);
        }
        self.drop_if_over(id);
    }

    fn set_timer(&self, after: Millis) {
        let at = Instant::now() + span(after);
        let mut state = self.state.borrow_mut();
        if state.timer.is_none_or(|due| at < due) {
            state.timer = Some(at);
            self.rearmed.notify_one();
        }
    }

    // ---- The list ----

    /// Tells the follower of the list what happened, and does what it says.
    pub fn discover(self: &Rc<Self>, event: endpoints::Event<'_>) {
        let actions = {
            let state = &mut *self.state.borrow_mut();
            if let endpoints::Event::ResponseEnded(id) | endpoints::Event::CallFailed(id, _) = event {
                state.calls.remove(&id);
            }
            let due = state.follower.next_deadline();
            let actions = state.follower.handle(self.clock.ms(), event);
            if state.follower.next_deadline().is_some_and(|at| due.is_none_or(|due| at < due)) {
                self.rearmed.notify_one();
            }
            actions
        };
        for action in actions {
            match action {
                ListAction::StartCall(id, path) => {
                    let call = self.hands.call(self.clone(), id, path);
                    self.state.borrow_mut().calls.insert(id, call);
                }
                ListAction::CancelCall(id) => {
                    if let Some(call) = self.state.borrow_mut().calls.remove(&id) {
                        call.abort();
                    }
                }
                ListAction::ApplyUpdate(update) => {
                    let whole = update.whole;
                    self.take_list(update, false);
                    self.inform(whole);
                }
                ListAction::NoChanges => {
                    self.inform(false);
                    self.feed(Event::ListChange(Vec::new()));
                }
                ListAction::ReportFailure(why) => {
                    log::trouble(|| format!("discovery: {why}"));
                    self.feed(Event::ListFailed);
                }
            }
        }
    }

    /// Discovery has spoken. No news is no list: who has none by then is not ready by it.
    fn inform(&self, whole: bool) {
        let listed = whole || !self.state.borrow().hosts.is_empty();
        self.informed.set(self.informed.get() || listed);
    }

    /// Discovery is there from now on: what is followed ends, also where the address is the same. It may have been
    /// another one in between, and from the signal on there is one clock for all that it has to tell.
    pub fn move_discovery(self: &Rc<Self>, to: SocketAddr) {
        let from = self.discovery.replace(to);
        log::line(format!("discovery: {} {to}", if from == to { "asked anew at" } else { "moved to" }));
        self.discover(endpoints::Event::ServiceMoved);
    }

    fn take_list(self: &Rc<Self>, update: Update, saved: bool) {
        let entries = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            if update.whole {
                for host in state.hosts.values_mut() {
                    host.state = ServerState::Gone;
                }
            }
            let entries = update.hosts.into_iter().filter_map(|h| self.enter(&mut state.hosts, h)).collect();
            for (server, _) in state.hosts.iter().filter(|(_, h)| h.state == ServerState::Gone) {
                self.pool.forget(*server);
            }
            state.hosts.retain(|_, h| h.state != ServerState::Gone);
            entries
        };
        self.feed(if update.whole { Event::List { entries, saved } } else { Event::ListChange(entries) });
    }

    /// Notes what a line says of a server. It holds from now on, also for sends on their way.
    fn enter(&self, hosts: &mut HashMap<ServerId, Host>, host: endpoints::Host) -> Option<Entry> {
        let server = ServerId(number_of(&host.host));
        let state = listed(host.health);
        let before = hosts.get(&server);
        if let Some(other) = before.filter(|b| b.name != host.host) {
            log::line(format!("discovery: {} and {} have one number, left out", other.name, host.host));
            return None;
        }
        let dial = host.dial.or(before.map(|b| b.dial));
        if before.is_some_and(|b| b.born_ms != host.born_ms || Some(b.dial) != dial) {
            // Its connections ended with the old process.
            self.pool.forget(server);
        }
        let started = match before {
            Some(before) if before.born_ms == host.born_ms => before.started,
            _ => {
                let born = (host.born_ms > 0.0).then_some(host.born_ms - self.clock.unix_start);
                started(born, before.map(|before| before.started), self.clock.ago(Duration::ZERO))
            }
        };
        if let Some(dial) = dial {
            let zone = self.gate.is_some().then(|| host.zone.as_str().into());
            hosts.insert(server, Host { name: host.host, dial, born_ms: host.born_ms, started, zone, state });
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

    /// Takes a server out until it is given back, whatever the list says; false where nobody has that name.
    pub fn disable(self: &Rc<Self>, name: &str) -> bool {
        self.look_at_bans();
        let server = ServerId(number_of(name));
        {
            let mut state = self.state.borrow_mut();
            if !state.lists(name) && !state.out(name) {
                return false;
            }
            state.bans.take_out(name);
        }
        self.out(name, server);
        true
    }

    /// Gives a server back; false where nobody has that name.
    ///
    /// # Errors
    /// Where its ban can't be lifted.
    pub fn enable(self: &Rc<Self>, name: &str) -> Result<bool, BanError> {
        self.look_at_bans();
        let server = ServerId(number_of(name));
        let (listed, was_out) = {
            let mut state = self.state.borrow_mut();
            (state.lists(name), state.bans.give_back(name)?)
        };
        if was_out {
            self.unless_banned(name, server, Duration::ZERO);
        }
        Ok(listed || was_out || self.state.borrow().out(name))
    }

    /// Follows the bans that another process of this node has made or lifted.
    pub fn look_at_bans(self: &Rc<Self>) {
        let changes = self.state.borrow_mut().bans.changes();
        for (name, change) in changes {
            let server = ServerId(number_of(&name));
            match change {
                Change::Out => self.out(&name, server),
                Change::Back(ago) => self.unless_banned(&name, server, ago),
            }
        }
    }

    fn out(self: &Rc<Self>, name: &str, server: ServerId) {
        log::line(format!("{name} is out of use"));
        // It may be started anew before it comes back.
        self.pool.forget(server);
        self.feed(Event::Disable(server));
    }

    /// It is back where only operators' calls had it out: a ban of the agreed policy holds until a policy lifts it.
    fn unless_banned(self: &Rc<Self>, name: &str, server: ServerId, ago: Duration) {
        if self.state.borrow().policy_bans.contains(name) {
            log::line(format!("{name} stays out of use: the agreed policy bans it"));
        } else {
            self.back(name, server, ago);
        }
    }

    fn back(self: &Rc<Self>, name: &str, server: ServerId, ago: Duration) {
        log::line(format!("{name} is back in use"));
        self.feed(Event::Enable { server, enabled_at: self.clock.ago(ago) });
    }

    /// Where a server listens, if something new may be sent to it.
    pub fn dial(&self, server: ServerId) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let may = |h: &&Host| h.state == ServerState::Up && !state.out(&h.name);
        state.hosts.get(&server).filter(may).map(|h| h.dial)
    }
}

/// What the list's word for a state means to the module.
fn listed(health: Health) -> ServerState {
    match health {
        Health::Active => ServerState::Up,
        Health::Leaving => ServerState::Draining,
        Health::Left => ServerState::Gone,
    }
}

/// The module's part of the settings, which knows servers by their numbers.
fn settings(told: &NodeSettings) -> Settings {
    let weights = told.server_weights.iter().map(|(name, factor)| (ServerId(number_of(name)), *factor));
    Settings { server_weights: weights.collect(), ..told.settings.clone() }
}

fn give(open: &mut Open, answer: Answer) {
    if let Some(to) = open.answer.take() {
        // A client that has just left needs no answer.
        let _ = to.send(answer);
    }
}

/// A span of the module's as one of the runtime's, within what clocks can hold.
fn span(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 86_400_000.0) / 1000.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_clock_that_was_stepped_by_an_hour_keeps_no_server_cold_and_makes_none_warm_at_once() {
        const HOUR: Millis = 3_600_000.0;
        let now = 50_000.0;
        // As it should be: a start before this node's, and one a moment ago.
        assert_eq!(started(Some(-9000.0), None, now), Some(-9000.0));
        assert_eq!(started(Some(now - 400.0), Some(Some(-9000.0)), now), Some(now - 400.0));
        assert_eq!(started(None, Some(Some(-9000.0)), now), None);
        // The server's clock was put forward, or this node's back before it started.
        assert_eq!(started(Some(now - 400.0 + HOUR), Some(Some(-9000.0)), now), Some(now));
        // The other way round, at a start that was seen.
        assert_eq!(started(Some(now - 400.0 - HOUR), Some(Some(-9000.0)), now), Some(now));
    }
}
