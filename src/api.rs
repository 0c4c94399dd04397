//! The interface of the decision module: settings, events, actions. Times are in milliseconds.

use std::collections::BTreeMap;
use std::fmt;

pub use member::votes::{Evidence, Vote};

/// A time or a span, in milliseconds; the clock may start anywhere but never runs backwards.
pub type Millis = f64;

/// A server, as the list names it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A client request; never used twice in the life of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Which servers drop the repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// May a request run again?
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Any number of times.
    Safe,
    /// Repeats are dropped by the servers of one group, for `dedup_window` after the first send.
    Keyed {
        /// The servers that know of each other's work.
        scope: DedupScope,
        /// How long they remember it.
        dedup_window: Millis,
    },
    /// Never.
    Unsafe,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time has its full worth.
    pub slo: Millis,
    /// How long a client waits in all, over its repeats too; infinite where that is not told.
    pub deadline: Millis,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Part of the worth that a later answer still has.
    pub late_worth: f64,
    /// May it run again?
    pub idempotency: Idempotency,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its share, over all nodes.
    pub quota_per_s: f64,
}

/// How much each part of the service counts for the operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Goal {
    /// The worth served, over all and in the worst stretch.
    pub worth: f64,
    /// The class that is served worst.
    pub worst_class: f64,
    /// The tenant that is served worst, within its share.
    pub worst_tenant: f64,
}

/// What the deployment permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts for one request.
    pub max_attempts: usize,
    /// Two attempts of a request may be out at the same time.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// A connection that takes longer has failed.
    pub connect_timeout: Millis,
    /// The longest that a refused client can be told to stay away; 0: it can't be told.
    pub max_retry_after: Millis,
}

/// How much may be tried again.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Further attempts that may have cost work, as a part of the first ones.
    pub ratio: f64,
    /// The most of them that may be saved up.
    pub max: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { ratio: 0.1, max: 10.0 }
    }
}

/// When a server is left out because of what was seen of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection {
    /// Consecutive failures that make a server an outlier, where a single one proves nothing.
    pub consecutive_failures: u32,
    /// The most of the fleet that time-outs may eject, from 0 to 1: beyond it, the fault is likelier the
    /// work's or the fleet's.
    pub max_fraction: f64,
}

impl Default for Ejection {
    fn default() -> Self {
        Self { consecutive_failures: 3, max_fraction: 0.5 }
    }
}

/// Votes before a server is removed: while the group's word is fresh, what would else eject a server makes it a
/// suspect of this node, and only what the group rules takes it out of the turns.
#[derive(Clone, Debug, PartialEq)]
pub struct VoteSettings {
    /// Evidence counts that is no older.
    pub evidence_window: Millis,
    /// Attempts within the window that a ballot needs.
    pub min_attempts: u32,
    /// Failed part of them from which on the ballot is for the removal, from 0 to 1.
    pub failure_threshold: f64,
    /// A node that is for the removal of a larger part of the servers that it has evidence on doubts itself, from
    /// 0 to 1; a single one is no cause to doubt.
    pub self_doubt_threshold: f64,
    /// How long a suspect gets nothing.
    pub suspect_pause: Millis,
    /// Part of its turns that it gets after that, and that a server gets that is probed; above 0, up to 1.
    pub trickle_share: f64,
    /// How old the group's newest word may be. After that rulings lapse one by one over the same time again, and
    /// the node ejects by its own evidence.
    pub contact_timeout: Millis,
}

impl VoteSettings {
    /// The number of the half of a window that a time falls into.
    pub(crate) fn half(&self, at: Millis) -> i64 {
        (2.0 * at / self.evidence_window).floor() as i64
    }
}

/// What the group has ruled of a server: it gets nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerVerdict {
    /// The server.
    pub server: ServerId,
    /// But a little of what may be repeated, from this node, to see how it does.
    pub probe: bool,
}

/// The figures of the four rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Where the list is asked for: the longest a node may leave off asking.
    pub discovery_deadline: Millis,
    /// Part of its capacity that a started server has at least.
    pub cold_capacity: f64,
    /// When it has all of it at the latest.
    pub warmup_time: Millis,
    /// A cold server falls over when sent more than this many times its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Millis,
}

/// How news of the servers arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// By itself.
    Pushed,
    /// Once the node has subscribed or asked.
    Subscribed,
}

/// What the listed weights stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Nothing.
    None,
    /// The size of the server, exact or nearly so.
    Static,
    /// Size divided by one more than the requests a core held a while ago.
    Live,
}

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its own number, from 0.
    pub node_index: usize,
    /// How many nodes there are.
    pub node_count: usize,
    /// The request classes; events name them by their index.
    pub classes: Vec<Class>,
    /// The tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its class's.
    pub over_quota_worth: f64,
    /// What counts how much.
    pub goal: Goal,
    /// What is permitted.
    pub limits: Limits,
    /// How much is tried again.
    pub retry_budget: RetryBudget,
    /// When a server is left out.
    pub ejection: Ejection,
    /// Votes on that; `None`: each node acts on its own evidence alone.
    pub votes: Option<VoteSettings>,
    /// The operators' factors to the sizes of single servers, listed or not; 1 where there is none.
    pub server_weights: BTreeMap<ServerId, f64>,
    /// The figures of the four rules.
    pub rules: Rules,
    /// How the list arrives.
    pub discovery: Discovery,
    /// What its weights mean.
    pub weights: Weights,
    /// Events come in at most this often.
    pub tick: Millis,
}

/// The least and the most factor to a server's size.
pub const SERVER_WEIGHT_RANGE: std::ops::RangeInclusive<f64> = 0.01..=100.0;

/// Why settings were refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that the settings make sense.
    ///
    /// # Errors
    /// Names the first field that does not, and its bound: no classes, a time or amount that is negative or
    /// not finite, an own number not below the count of nodes, a share outside 0 to 1, a server's factor
    /// outside [`SERVER_WEIGHT_RANGE`].
    pub fn check(&self) -> Result<(), SettingsError> {
        let fail = |what: String| Err(SettingsError(what));
        if self.classes.is_empty() {
            return fail("classes: no classes, one is needed at least".into());
        }
        if self.node_index >= self.node_count {
            return fail("node_index: must be below node_count".into());
        }
        if self.limits.max_attempts == 0 {
            return fail("limits.max_attempts: no attempts allowed, one is needed at least".into());
        }
        let (l, r, g) = (&self.limits, &self.rules, &self.goal);
        let mut amounts = vec![
            ("limits.connect_timeout".to_string(), l.connect_timeout),
            ("limits.max_retry_after".into(), l.max_retry_after),
            ("rules.discovery_deadline".into(), r.discovery_deadline),
            ("rules.warmup_time".into(), r.warmup_time),
            ("rules.overload_multiple".into(), r.overload_multiple),
            ("rules.overload_window".into(), r.overload_window),
            ("tick".into(), self.tick),
            ("retry_budget.max".into(), self.retry_budget.max),
            ("goal.worth".into(), g.worth),
            ("goal.worst_class".into(), g.worst_class),
            ("goal.worst_tenant".into(), g.worst_tenant),
        ];
        let mut shares = vec![
            ("rules.cold_capacity".to_string(), r.cold_capacity),
            ("over_quota_worth".into(), self.over_quota_worth),
            ("retry_budget.ratio".into(), self.retry_budget.ratio),
            ("ejection.max_fraction".into(), self.ejection.max_fraction),
        ];
        if let Some(v) = &self.votes {
            amounts.extend([
                ("votes.evidence_window".into(), v.evidence_window),
                ("votes.suspect_pause".into(), v.suspect_pause),
            ]);
            amounts.push(("votes.contact_timeout".into(), v.contact_timeout));
            shares.extend([
                ("votes.failure_threshold".into(), v.failure_threshold),
                ("votes.self_doubt_threshold".into(), v.self_doubt_threshold),
            ]);
            shares.push(("votes.trickle_share".into(), v.trickle_share));
            if v.trickle_share <= 0.0 || v.evidence_window <= 0.0 {
                return fail("votes: trickle_share and evidence_window must be above 0".into());
            }
        }
        if self.ejection.consecutive_failures == 0 {
            return fail("ejection.consecutive_failures: none, one is needed at least".into());
        }
        if let Some((server, factor)) =
            self.server_weights.iter().find(|(_, w)| !SERVER_WEIGHT_RANGE.contains(w))
        {
            let (least, most) = SERVER_WEIGHT_RANGE.into_inner();
            return fail(format!("server_weights[{}]: {factor} is outside {least} to {most}", server.0));
        }
        for (n, class) in self.classes.iter().enumerate() {
            amounts.push((format!("classes[{n}].slo"), class.slo));
            amounts.push((format!("classes[{n}].worth"), class.worth));
            if let Idempotency::Keyed { dedup_window, .. } = class.idempotency {
                amounts.push((format!("classes[{n}].idempotency.dedup_window"), dedup_window));
            }
            shares.push((format!("classes[{n}].late_worth"), class.late_worth));
            for (name, value) in [("slo", class.slo), ("deadline", class.deadline)] {
                if value.is_nan() || value <= 0.0 {
                    return fail(format!("classes[{n}].{name}: must be above 0"));
                }
            }
        }
        for (n, tenant) in self.tenants.iter().enumerate() {
            amounts.push((format!("tenants[{n}].quota_per_s"), tenant.quota_per_s));
        }
        if let Some((name, value)) = amounts.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
            return fail(format!("{name}: {value} is negative or not finite"));
        }
        if let Some((name, value)) = shares.iter().find(|(_, v)| !(0.0..=1.0).contains(v)) {
            return fail(format!("{name}: {value} is a share outside 0 to 1"));
        }
        Ok(())
    }

    /// How often requests that wait are looked at: far below every aim, and often enough that an answer at the
    /// deadline comes within its slack.
    pub(crate) fn period(&self) -> Millis {
        let aim = self.classes.iter().map(|c| c.slo).fold(f64::INFINITY, f64::min);
        (aim / 20.0).max(self.tick).max(1.0)
    }

    /// A node's own part of a tenant's share, in requests a second: each is taken to get an even part.
    pub(crate) fn own_quota(&self, tenant: usize) -> f64 {
        self.tenants[tenant].quota_per_s / self.node_count as f64
    }

    /// The operators' factor to a server's size.
    pub(crate) fn factor(&self, server: ServerId) -> f64 {
        self.server_weights.get(&server).copied().unwrap_or(1.0)
    }

    /// May a node that is in service go over to `new`? What a request may do twice, the rules and who the
    /// node is hold from its start to its end.
    ///
    /// # Errors
    /// Names the first field that may not change in service, or that makes no sense.
    pub fn check_update(&self, new: &Self) -> Result<(), SettingsError> {
        new.check()?;
        let (l, n) = (&self.limits, &new.limits);
        let effects = |s: &Self| s.classes.iter().map(|c| c.idempotency).collect::<Vec<_>>();
        let same = [
            ("node_index", self.node_index == new.node_index),
            ("node_count", self.node_count == new.node_count),
            ("classes: their number", self.classes.len() == new.classes.len()),
            ("classes: an effect", effects(self) == effects(new)),
            ("tenants: their number", self.tenants.len() == new.tenants.len()),
            ("over_quota_worth", self.over_quota_worth == new.over_quota_worth),
            ("goal", self.goal == new.goal),
            ("limits.hedging", l.hedging == n.hedging),
            ("limits.cancel", l.cancel == n.cancel),
            ("limits.probes", l.probes == n.probes),
            ("limits.connect_timeout", l.connect_timeout == n.connect_timeout),
            ("rules", self.rules == new.rules),
            ("discovery", self.discovery == new.discovery),
            ("weights", self.weights == new.weights),
            ("tick", self.tick == new.tick),
        ];
        match same.iter().find(|(_, same)| !same) {
            Some((name, _)) => Err(SettingsError(format!("{name}: may not change in service"))),
            None => Ok(()),
        }
    }
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// In service.
    Up,
    /// Finishing its work; nothing new may be sent.
    Draining,
    /// Gone.
    #[default]
    Gone,
}

/// One entry of the list.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Its zone, as a number.
    pub zone: u64,
    /// The cell that it shares its memory of keys with.
    pub cell: u64,
    /// Its kind of machine, as a number.
    pub kind: u64,
    /// Its state.
    pub state: ServerState,
    /// A figure to compare with other servers'.
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Millis>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// Answered by an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run, or may still.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Does this outcome prove that the request never ran?
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }

    /// What it says of its server.
    pub fn evidence(self) -> Evidence {
        let one = |kind| u32::from(self == kind);
        Evidence {
            attempts: u32::from(!matches!(self, Self::Rejected | Self::Cancelled | Self::NotSent)),
            connect_failures: one(Self::ConnectFailed),
            connection_resets: one(Self::Reset),
            timeouts: one(Self::TimedOut),
            errors: one(Self::Error),
        }
    }
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// The whole list: what it leaves out is gone.
    List {
        /// Its entries.
        entries: Vec<Entry>,
        /// As last seen before a restart: perhaps out of date, and no answer to a call.
        saved: bool,
    },
    /// The entries that changed.
    ListChange(Vec<Entry>),
    /// Asking failed, or the subscription dropped.
    ListFailed,
    /// Operators take a server out: nothing new may go to it, whatever the list says, until they give it back.
    Disable(ServerId),
    /// Operators have given a server back, which they started anew meanwhile.
    Enable {
        /// The server.
        server: ServerId,
        /// When they did; perhaps before this node's own start.
        enabled_at: Millis,
    },
    /// The settings from now on. What came before keeps to those that it came under; the limits, paces and
    /// allowances that were learned or saved up stay, as far as the new ones let them. Settings that the
    /// present ones may not become, see [`Settings::check_update`], change nothing.
    Policy(Box<Settings>),
    /// The group's newest word, whole: the rulings in force for this node; what it leaves out has come back. To be
    /// given at each answer of the group, also when nothing has changed, as it tells how old the word is.
    Verdicts(Vec<ServerVerdict>),
    /// A client asks for something; one final answer is owed from now on.
    Request {
        /// The request.
        id: RequestId,
        /// Its class, an index into the settings'.
        class: usize,
        /// Its tenant, if any.
        tenant: Option<usize>,
        /// When the client gives up. A repeat of a refused request whose client still counts from its first
        /// asking comes with less time than a new one, and is treated as the older one that it is.
        deadline: Millis,
        /// Its body is passed on as it comes. Until it is whole its server has no work of it; it can be sent
        /// just once.
        streaming_body: bool,
        /// Its client has marked it as a repeat of one that was refused, failed or given up.
        is_retry: bool,
        /// How much work it is, as time on a standard core, where its client guesses it.
        estimated_work: Option<Millis>,
    },
    /// A request that was coming is whole: its time counts from now on.
    BodyComplete {
        /// The request.
        id: RequestId,
        /// When the client gives up.
        deadline: Millis,
    },
    /// A streamed answer has begun; the client is bound to this attempt.
    Streaming {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: usize,
        /// Where it was sent.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Millis,
        /// The client has its final answer.
        answered: bool,
    },
    /// A probe came back.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Millis,
    },
    /// The client left; nothing is owed any more.
    ClientGone(RequestId),
    /// The timer asked for is due.
    Timer,
}

/// What a node does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt; attempts are numbered from 0.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Give it up after this; `None`: when the client does.
        timeout: Option<Millis>,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0: no advice.
        retry_after: Millis,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Send [`Event::Timer`] after this time; an earlier one still holds.
    SetTimer(Millis),
    /// Ask for the list's changes from now on.
    Subscribe,
    /// Probe a server.
    Probe(ServerId),
}

/// What a node holds of its servers, as of the last event, where votes are on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BallotReport {
    /// It is for the removal of so many that the fault is likelier its own.
    pub self_doubt: bool,
    /// Rulings, bans and drains would leave less than half of the listed servers: rulings are not heeded.
    pub panic_mode: bool,
    /// The group's word is too old: the node acts on its own evidence.
    pub isolated: bool,
    /// How many servers it suspects.
    pub suspects: usize,
    /// One for each listed server that it has enough evidence on, sorted by server.
    pub ballots: Vec<LocalBallot>,
}

/// What a node holds of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalBallot {
    /// The server.
    pub server: ServerId,
    /// Should it be removed, or stay so?
    pub stand: Vote,
    /// What was seen within the window of the process that is listed.
    pub evidence: Evidence,
}

/// How a node's servers are doing, as far as the module has seen; the servers are those that it rotates over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// Requests held at the node.
    pub queued: usize,
    /// Attempts that are out.
    pub in_flight: usize,
    /// Servers that have some of them.
    pub busy_servers: usize,
    /// Servers.
    pub servers: usize,
    /// Those that are ejected.
    pub ejected: usize,
    /// Of these, those that seem to have no process.
    pub down: usize,
    /// Those that are warming up.
    pub cold: usize,
    /// The sum of their limits on attempts.
    pub total_limit: f64,
    /// The factor to all limits, where it is below 1.
    pub fleet_factor: f64,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { queued, in_flight, busy_servers, servers, ejected, down, cold, total_limit, fleet_factor } =
            self;
        write!(f, "{queued} held, {in_flight} out at {busy_servers} of {servers} servers, ")?;
        write!(f, "{ejected} ejected ({down} down), {cold} cold, limits {total_limit:.1} x {fleet_factor:.2}")
    }
}
