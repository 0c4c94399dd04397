//! The interface of the decision module: settings, events and actions. All times are in milliseconds.

use std::collections::BTreeMap;
use std::fmt;

pub use member::votes::{Evidence, Vote};

/// A point in time or a duration, in milliseconds. The clock may start at any value but never runs backwards.
pub type Millis = f64;

/// Identifies a server of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// Identifies a client request; unique for the lifetime of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The set of servers that drop duplicates of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Safe,
    /// Servers within `scope` drop duplicates for `dedup_window` after the first send.
    Keyed {
        /// The servers that share the record of executed keys.
        scope: DedupScope,
        /// How long they remember a key.
        dedup_window: Millis,
    },
    /// It must not be executed twice.
    Unsafe,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective: an answer within this time has its full worth.
    pub slo: Millis,
    /// How long a client waits in total, including its retries; infinite if unknown.
    pub deadline: Millis,
    /// Worth of an answer within the objective.
    pub worth: f64,
    /// Part of the worth that a later answer still has, from 0 to 1.
    pub late_worth: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within its quota, over all nodes.
    pub quota_per_s: f64,
}

/// The weight of each part of the operators' objective.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Goal {
    /// The worth served, in total and in the worst window.
    pub worth: f64,
    /// The service of the worst-served class.
    pub worst_class: f64,
    /// The service of the worst-served tenant, within its quota.
    pub worst_tenant: f64,
}

/// What the deployment permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts per request, at least 1.
    pub max_attempts: usize,
    /// Whether a request may have several attempts in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether servers may be probed.
    pub probes: bool,
    /// A connection attempt that takes longer has failed.
    pub connect_timeout: Millis,
    /// The longest that refused clients can be told to wait; 0 if they cannot be told.
    pub max_retry_after: Millis,
}

/// The budget for retries.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that may have cost work, per first attempt, from 0 to 1.
    pub ratio: f64,
    /// Upper bound of the retries that may be accumulated.
    pub max: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { ratio: 0.1, max: 10.0 }
    }
}

/// When a server is ejected as an outlier.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection {
    /// Failures in a row that eject a server, where a single one proves nothing.
    pub consecutive_failures: u32,
    /// Part of the fleet, from 0 to 1, that timeouts and errors may eject; beyond it the fault is more likely
    /// with the requests or the fleet as a whole.
    pub max_fraction: f64,
}

impl Default for Ejection {
    fn default() -> Self {
        Self { consecutive_failures: 3, max_fraction: 0.5 }
    }
}

/// Settings for removing servers by vote. While the group is in contact, the failures that would eject a
/// server make it a suspect at this node, and only the group's verdict takes it out of the rotation.
#[derive(Clone, Debug, PartialEq)]
pub struct VoteSettings {
    /// Maximum age of evidence that counts.
    pub evidence_window: Millis,
    /// Attempts within the window that a ballot requires.
    pub min_attempts: u32,
    /// The ballot is for removal from this part of failed attempts on, from 0 to 1.
    pub failure_threshold: f64,
    /// A node that is for the removal of more than this part of the servers it has evidence on doubts itself,
    /// from 0 to 1; one server is never too many.
    pub self_doubt_threshold: f64,
    /// How long a suspect gets no requests.
    pub suspect_pause: Millis,
    /// Part of its turns that a suspect gets after the pause, and that a probed server gets; above 0, up to
    /// 1.
    pub trickle_share: f64,
    /// Maximum age of the group's newest message. Then verdicts lapse one by one over the same time again,
    /// and the node ejects by its own evidence.
    pub contact_timeout: Millis,
}

impl VoteSettings {
    /// The number of the half window that a time falls into.
    pub(crate) fn half_window(&self, at: Millis) -> i64 {
        (2.0 * at / self.evidence_window).floor() as i64
    }
}

/// A verdict of the group: the server is removed and gets no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerVerdict {
    /// The server.
    pub server: ServerId,
    /// This node probes the server with a few requests that may be repeated.
    pub probe: bool,
}

/// The parameters of the four rules:
///
/// 1. Each request gets exactly one final answer, in time.
/// 2. A request is sent again, or refused as safe to repeat, only if a second execution is harmless or there was
///    no first one.
/// 3. A draining server gets no new requests.
/// 4. A cold server is sent less than `overload_multiple` of its present capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// With [`Discovery::Subscribed`]: timeout of a request for the list, and the bound of the delay after a
    /// failure until the list is requested again.
    pub discovery_deadline: Millis,
    /// Part of its capacity that a server has at least when it starts, from 0 to 1.
    pub cold_capacity: f64,
    /// Time from its start until a server has its full capacity.
    pub warmup_time: Millis,
    /// A cold server fails when it is sent more than this multiple of its present capacity for the duration of
    /// `overload_window`.
    pub overload_multiple: f64,
    /// How long such an overload must last to make the server fail.
    pub overload_window: Millis,
}

/// How list updates arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Without being asked for.
    Pushed,
    /// After the node has subscribed or asked.
    Subscribed,
}

/// The meaning of the listed weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// None: listed weights are ignored and each server has size 1.
    None,
    /// The size of the server, exact or approximate.
    Static,
    /// Its size divided by one more than the requests that a core held some time ago; the same at all nodes.
    /// The highest weight seen counts as the size.
    Live,
}

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Index of this node, from 0.
    pub node_index: usize,
    /// Number of nodes.
    pub node_count: usize,
    /// The request classes; events refer to them by index.
    pub classes: Vec<Class>,
    /// The tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's quota, as a part of its class's worth, from 0 to 1.
    pub over_quota_worth: f64,
    /// The operators' objective.
    pub goal: Goal,
    /// What is permitted.
    pub limits: Limits,
    /// The budget for retries.
    pub retry_budget: RetryBudget,
    /// When a server is ejected.
    pub ejection: Ejection,
    /// Removal of servers by vote; `None`: each node acts on its own evidence alone.
    pub votes: Option<VoteSettings>,
    /// The operators' factors for the sizes of single servers, listed or not; 1 where absent.
    pub server_weights: BTreeMap<ServerId, f64>,
    /// The parameters of the four rules, see [`Rules`].
    pub rules: Rules,
    /// How the list arrives.
    pub discovery: Discovery,
    /// The meaning of its weights.
    pub weights: Weights,
    /// Granularity of time: the shortest interval between events.
    pub tick: Millis,
}

/// Range of the operators' factors for servers' sizes.
pub const SERVER_WEIGHT_RANGE: std::ops::RangeInclusive<f64> = 0.01..=100.0;

/// Why settings were refused: the field and its bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks the settings.
    ///
    /// # Errors
    /// Names the first invalid field and its bound: no classes, a time or amount that is negative or not
    /// finite, a node index not below the node count, a share outside 0 to 1, a server's factor outside
    /// [`SERVER_WEIGHT_RANGE`].
    pub fn check(&self) -> Result<(), SettingsError> {
        let fail = |what: String| Err(SettingsError(what));
        if self.classes.is_empty() {
            return fail("classes: no classes, at least one is required".into());
        }
        if self.node_index >= self.node_count {
            return fail("node_index: must be below node_count".into());
        }
        if self.limits.max_attempts == 0 {
            return fail("limits.max_attempts: must be at least 1".into());
        }
        let Self { limits, rules, goal, .. } = self;
        let mut amounts = vec![
            ("limits.connect_timeout".to_string(), limits.connect_timeout),
            ("limits.max_retry_after".into(), limits.max_retry_after),
            ("rules.discovery_deadline".into(), rules.discovery_deadline),
            ("rules.warmup_time".into(), rules.warmup_time),
            ("rules.overload_multiple".into(), rules.overload_multiple),
            ("rules.overload_window".into(), rules.overload_window),
            ("tick".into(), self.tick),
            ("retry_budget.max".into(), self.retry_budget.max),
            ("goal.worth".into(), goal.worth),
            ("goal.worst_class".into(), goal.worst_class),
            ("goal.worst_tenant".into(), goal.worst_tenant),
        ];
        let mut shares = vec![
            ("rules.cold_capacity".to_string(), rules.cold_capacity),
            ("over_quota_worth".into(), self.over_quota_worth),
            ("retry_budget.ratio".into(), self.retry_budget.ratio),
            ("ejection.max_fraction".into(), self.ejection.max_fraction),
        ];
        if let Some(votes) = &self.votes {
            amounts.extend([
                ("votes.evidence_window".into(), votes.evidence_window),
                ("votes.suspect_pause".into(), votes.suspect_pause),
            ]);
            amounts.push(("votes.contact_timeout".into(), votes.contact_timeout));
            shares.extend([
                ("votes.failure_threshold".into(), votes.failure_threshold),
                ("votes.self_doubt_threshold".into(), votes.self_doubt_threshold),
            ]);
            shares.push(("votes.trickle_share".into(), votes.trickle_share));
            if votes.trickle_share <= 0.0 || votes.evidence_window <= 0.0 {
                return fail("votes: trickle_share and evidence_window must be above 0".into());
            }
        }
        if self.ejection.consecutive_failures == 0 {
            return fail("ejection.consecutive_failures: must be at least 1".into());
        }
        if let Some((server, factor)) =
            self.server_weights.iter().find(|(_, w)| !SERVER_WEIGHT_RANGE.contains(w))
        {
            let (min, max) = SERVER_WEIGHT_RANGE.into_inner();
            return fail(format!("server_weights[{}]: {factor} is outside {min} to {max}", server.0));
        }
        for (index, class) in self.classes.iter().enumerate() {
            amounts.push((format!("classes[{index}].slo"), class.slo));
            amounts.push((format!("classes[{index}].worth"), class.worth));
            if let Idempotency::Keyed { dedup_window, .. } = class.idempotency {
                amounts.push((format!("classes[{index}].idempotency.dedup_window"), dedup_window));
            }
            shares.push((format!("classes[{index}].late_worth"), class.late_worth));
            for (name, value) in [("slo", class.slo), ("deadline", class.deadline)] {
                if value.is_nan() || value <= 0.0 {
                    return fail(format!("classes[{index}].{name}: must be above 0"));
                }
            }
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            amounts.push((format!("tenants[{index}].quota_per_s"), tenant.quota_per_s));
        }
        if let Some((name, value)) = amounts.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
            return fail(format!("{name}: {value} is negative or not finite"));
        }
        if let Some((name, value)) = shares.iter().find(|(_, v)| !(0.0..=1.0).contains(v)) {
            return fail(format!("{name}: {value} is a share outside 0 to 1"));
        }
        Ok(())
    }

    /// Interval between sweeps over the queue: far below every SLO, and short enough that a final answer due at the
    /// deadline is still given within its tolerance.
    pub(crate) fn sweep_interval(&self) -> Millis {
        let min_slo = self.classes.iter().map(|c| c.slo).fold(f64::INFINITY, f64::min);
        (min_slo / 20.0).max(self.tick).max(1.0)
    }

    /// This node's part of a tenant's quota, in requests per second; each node is assumed to receive an equal
    /// part.
    pub(crate) fn node_quota(&self, tenant: usize) -> f64 {
        self.tenants[tenant].quota_per_s / self.node_count as f64
    }

    /// The operators' factor for a server's size.
    pub(crate) fn server_weight(&self, server: ServerId) -> f64 {
        self.server_weights.get(&server).copied().unwrap_or(1.0)
    }

    /// Checks that a node in service may change to `new`. Idempotency, the rules and the node's identity are
    /// fixed while it runs.
    ///
    /// # Errors
    /// Names the first field that is invalid or may not change in service.
    pub fn check_update(&self, new: &Self) -> Result<(), SettingsError> {
        new.check()?;
        let (old_limits, new_limits) = (&self.limits, &new.limits);
        let idempotency = |s: &Self| s.classes.iter().map(|c| c.idempotency).collect::<Vec<_>>();
        let same = [
            ("node_index", self.node_index == new.node_index),
            ("node_count", self.node_count == new.node_count),
            ("classes: count", self.classes.len() == new.classes.len()),
            ("classes: idempotency", idempotency(self) == idempotency(new)),
            ("tenants: count", self.tenants.len() == new.tenants.len()),
            ("over_quota_worth", self.over_quota_worth == new.over_quota_worth),
            ("goal", self.goal == new.goal),
            ("limits.hedging", old_limits.hedging == new_limits.hedging),
            ("limits.cancel", old_limits.cancel == new_limits.cancel),
            ("limits.probes", old_limits.probes == new_limits.probes),
            ("limits.connect_timeout", old_limits.connect_timeout == new_limits.connect_timeout),
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

/// State of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// In service.
    Up,
    /// Finishing its work; nothing new may be sent to it.
    Draining,
    /// Gone.
    #[default]
    Gone,
}

/// An entry of the list.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Its zone, as a number.
    pub zone: u64,
    /// Its cell: servers that share the record of executed keys.
    pub cell: u64,
    /// Its kind of machine, as a number.
    pub kind: u64,
    /// Its state.
    pub state: ServerState,
    /// Relative weight without a unit, see [`Weights`]; one that is not finite or not above 0 counts as 1.
    pub weight: f64,
    /// When it last started; `None` for long ago.
    pub started_at: Option<Millis>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered successfully.
    Success,
    /// Answered with an error; it may have been executed.
    Error,
    /// Rejected by the server without being looked at.
    Rejected,
    /// No answer in time; it may have been executed, or may still be.
    TimedOut,
    /// Connecting failed; it was not executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Not sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the request was not executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }

    /// What the outcome says about the server, as evidence for ballots.
    pub fn evidence(self) -> Evidence {
        let count = |kind| u32::from(self == kind);
        Evidence {
            attempts: u32::from(!matches!(self, Self::Rejected | Self::Cancelled | Self::NotSent)),
            connect_failures: count(Self::ConnectFailed),
            connection_resets: count(Self::Reset),
            timeouts: count(Self::TimedOut),
            errors: count(Self::Error),
        }
    }
}

/// Something that happened to the node.
#[derive(Clone, Debug)]
pub enum Event {
    /// The whole list; servers that it omits are gone.
    List {
        /// Its entries.
        entries: Vec<Entry>,
        /// Restored from before a restart: possibly out of date, and not an answer from discovery.
        saved: bool,
    },
    /// The entries that changed.
    ListChange(Vec<Entry>),
    /// Asking for the list failed, or the subscription broke.
    ListFailed,
    /// Operators disabled a server: it gets nothing new until it is enabled, whatever the list says.
    Disable(ServerId),
    /// Operators enabled a server, which was restarted meanwhile.
    Enable {
        /// The server.
        server: ServerId,
        /// When it was enabled; possibly before this node's start.
        enabled_at: Millis,
    },
    /// New settings. Requests already here keep the ones they arrived under; learned limits, rates and
    /// budgets are kept within the new bounds. Settings that [`Settings::check_update`] refuses change
    /// nothing.
    Policy(Box<Settings>),
    /// All verdicts in force for this node; servers that it omits are back. To be given on every answer of
    /// the group, changed or not, as it also tells the age of the group's message.
    Verdicts(Vec<ServerVerdict>),
    /// A client's request; it must get exactly one final answer.
    Request {
        /// The request.
        id: RequestId,
        /// Index of its class in the settings.
        class: usize,
        /// Index of its tenant, if any.
        tenant: Option<usize>,
        /// When the client gives up. A repeat of a refused request whose client counts from its first try
        /// arrives with less time than a new request, and is treated as that old.
        deadline: Millis,
        /// The body is forwarded as it arrives: it can be sent only once, and gives its server no work before
        /// it is complete.
        streaming_body: bool,
        /// The client marked it as a repeat of a request that was refused, failed or given up.
        is_retry: bool,
        /// The client's estimate of its work, as time on a standard core.
        estimated_work: Option<Millis>,
    },
    /// A streamed body is complete; the request's time counts from now on.
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
        /// The server that it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Millis,
        /// The client has its final answer.
        answered: bool,
    },
    /// A probe ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Millis,
    },
    /// The client is gone and needs no answer any more.
    ClientGone(RequestId),
    /// A timer set by [`Action::SetTimer`] is due.
    Timer,
}

/// Something the node is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request; attempts are numbered from 0.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// When to give the attempt up; `None`: when the client does.
        timeout: Option<Millis>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Final answer: refused; repeating it is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before repeating it; 0 for no advice.
        retry_after: Millis,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Deliver [`Event::Timer`] after this time; timers set earlier stay set.
    SetTimer(Millis),
    /// Subscribe to the list.
    Subscribe,
    /// Probe a server.
    Probe(ServerId),
}

/// A node's ballots on its servers, as of the last event, if votes are on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BallotReport {
    /// It is for the removal of so many servers that the fault is more likely its own.
    pub self_doubt: bool,
    /// Verdicts, disabled and draining servers would leave less than half of the listed ones: verdicts are
    /// ignored.
    pub panic_mode: bool,
    /// The group's last message is too old: the node acts on its own evidence.
    pub isolated: bool,
    /// Number of servers that it suspects.
    pub suspects: usize,
    /// One for each listed server with enough evidence, sorted by server.
    pub ballots: Vec<LocalBallot>,
}

/// A node's ballot on one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalBallot {
    /// The server.
    pub server: ServerId,
    /// For or against its removal.
    pub vote: Vote,
    /// Observed within the window, of the server's listed process.
    pub evidence: Evidence,
}

/// How a node's servers are doing; "servers" are those in its rotation.
/// Its `Display` text is part of the node's status output.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// Requests queued at the node.
    pub queued: usize,
    /// Outstanding attempts.
    pub in_flight: usize,
    /// Servers with outstanding attempts.
    pub busy_servers: usize,
    /// Servers in the rotation.
    pub servers: usize,
    /// Ejected servers.
    pub ejected: usize,
    /// Of these, those whose process seems to be down.
    pub down: usize,
    /// Servers that are warming up.
    pub cold: usize,
    /// The sum of their concurrency limits.
    pub total_limit: f64,
    /// Factor applied to all limits where it is below 1.
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
