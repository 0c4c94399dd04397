//! The experiment file: a fleet, its load, faults on a timeline, and what must hold.
//!
//! A key that a file leaves out takes the value of the deployment. Where a value is a `[least, most]` pair, each
//! draw takes a random value between the two. A file that can't be played gives an error of one line with file, line
//! and key.

use std::path::Path;

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;
use toml::Spanned;

/// The version of the file format.
pub const SCHEMA: u32 = 1;
/// The most zones.
pub const MAX_ZONES: usize = 6;
/// The most nodes.
pub const MAX_NODES: usize = 400;
/// The most app servers that are listed at a time.
pub const MAX_SERVERS: usize = 400;
/// The most idle connections that a `crowd` fault opens to one node.
pub const MAX_IDLE_CONNECTIONS: f64 = 5000.0;
/// The most faulty voters of one `liar` fault.
pub const MAX_FAULTY_VOTERS: f64 = 16.0;
/// The most replicas of a control group.
pub const MAX_REPLICAS: usize = 7;
/// The longest run, in seconds.
pub const MAX_LENGTH_S: f64 = 3600.0;

/// The largest number that a file may have, in whatever unit: larger than any sensible value, and small enough for
/// clocks and counters.
pub const MAX_VALUE: f64 = 1e6;

/// A value, or the bounds that a draw takes one from; all between 0 and [`MAX_VALUE`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(try_from = "RangeSyntax")]
pub enum Range {
    /// The same value in each draw.
    Fixed(f64),
    /// The least and the greatest value; each draw takes one between them, uniformly.
    Between([f64; 2]),
}

/// A range as a file writes it, before its bounds are checked.
#[derive(Deserialize)]
#[serde(untagged, expecting = "a number or [least, most] expected")]
enum RangeSyntax {
    Fixed(f64),
    Between([f64; 2]),
}

impl TryFrom<RangeSyntax> for Range {
    type Error = String;

    fn try_from(syntax: RangeSyntax) -> Result<Self, String> {
        let (range, min, max) = match syntax {
            RangeSyntax::Fixed(v) => (Self::Fixed(v), v, v),
            RangeSyntax::Between([min, max]) => (Self::Between([min, max]), min, max),
        };
        check_bounds(min)?;
        check_bounds(max)?;
        if min > max {
            return Err(format!("[{min}, {max}]: the least comes first"));
        }
        Ok(range)
    }
}

impl Range {
    /// The least and the greatest value.
    pub fn bounds(self) -> (f64, f64) {
        match self {
            Self::Fixed(v) => (v, v),
            Self::Between([min, max]) => (min, max),
        }
    }
}

/// Rejects a number below 0, above [`MAX_VALUE`] or not finite.
fn check_bounds(value: f64) -> Result<f64, String> {
    if (0.0..=MAX_VALUE).contains(&value) {
        Ok(value)
    } else {
        Err(format!("{value} is not within 0 and {MAX_VALUE}"))
    }
}

fn bounded<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    check_bounds(f64::deserialize(deserializer)?).map_err(D::Error::custom)
}

fn bounded_option<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    bounded(deserializer).map(Some)
}

/// An experiment, as its file describes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The version of the file format; [`SCHEMA`] is supported.
    pub schema: u32,
    /// The experiment's name.
    pub name: String,
    /// What the experiment is for.
    #[serde(default)]
    pub about: String,
    /// The seed of the draw, where the command line names none.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// How long clients send requests, in seconds.
    pub length_s: Spanned<f64>,
    /// Zones, and how many nodes and app servers there are.
    #[serde(default = "without_span")]
    pub fleet: Spanned<Fleet>,
    /// What the app servers are like.
    #[serde(default = "without_span")]
    pub server: Spanned<ServerKind>,
    /// How much clients send.
    #[serde(default = "without_span")]
    pub load: Spanned<Load>,
    /// The classes of requests.
    #[serde(default = "default_classes", rename = "class")]
    pub classes: Spanned<Vec<Class>>,
    /// How clients behave.
    #[serde(default = "without_span")]
    pub clients: Spanned<Clients>,
    /// The network between zones.
    #[serde(default)]
    pub network: Network,
    /// How the list of servers reaches the nodes.
    #[serde(default)]
    pub discovery: Discovery,
    /// The limits of the referee's rules.
    #[serde(default)]
    pub rules: Rules,
    /// The resources that a node may use.
    #[serde(default)]
    pub node: NodeLimits,
    /// The control group that agrees on the nodes' policy; without it nodes keep their settings.
    #[serde(default)]
    pub control: Option<Spanned<ControlGroup>>,
    /// The faults of the timeline.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<Fault>>,
    /// What must hold.
    #[serde(default = "without_span", rename = "hold")]
    pub expectations: Spanned<Expectations>,
}

/// The default of a table that a file leaves out: it has no place in the text.
fn without_span<T: Default>() -> Spanned<T> {
    Spanned::new(0..0, T::default())
}

fn default_seed() -> u64 {
    1
}

/// Zones, nodes and app servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// The zones' names.
    pub zones: Vec<String>,
    /// How many nodes.
    pub nodes: Range,
    /// How many app servers.
    pub servers: Range,
    /// How unevenly app servers are spread over zones: 0 evenly, 1 from none to twice the mean.
    pub server_skew: Range,
    /// How long the front of a zone, which spreads clients over the zone's nodes, goes on sending to a dead node, in
    /// seconds.
    pub front_notice_s: Range,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            zones: ["maipu", "providencia", "quilicura"].map(String::from).to_vec(),
            nodes: Range::Fixed(3.0),
            servers: Range::Between([9.0, 10.0]),
            server_skew: Range::Between([0.2, 0.5]),
            front_notice_s: Range::Between([1.3, 3.7]),
        }
    }
}

/// What the app servers are like. Work is in milliseconds of one core at speed 1.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerKind {
    /// Cores; a request runs on one.
    pub cores: usize,
    /// The mean speed of the draw's servers.
    pub speed: Range,
    /// The coefficient of variation of the servers' speeds: standard deviation over mean.
    pub speed_cv: Range,
    /// The length of the request queue for each core; a request that finds it full is turned away.
    pub queue_per_core: Range,
    /// The number of running and queued requests for each core above which a server works less efficiently ...
    pub thrash_at: Range,
    /// ... by this share of its time for each further request.
    pub thrash: Range,
    /// The capacity of a cold server at its start, as a share of its warm capacity ...
    pub cold_from: Range,
    /// ... which grows linearly to 1 in this time.
    pub cold_s: Range,
    /// The share of requests that fail.
    pub error_rate: Range,
    /// The share of draws in which servers drop a queued request that is cancelled.
    pub drops_cancelled: Range,
    /// The connections that a server accepts, for each core.
    pub connections_per_core: Range,
    /// The share of capacity that a full connection table costs.
    pub full_tax: Range,
    /// The work of a new connection, in ms.
    pub handshake_ms: Range,
    /// The round trips of a new connection.
    pub handshake_trips: Range,
    /// A connection that is idle for this long is closed, in seconds.
    #[serde(deserialize_with = "bounded")]
    pub idle_s: f64,
    /// Congestion collapse of an overfull server: more running and queued requests for each core than this ...
    pub choke_at: Range,
    /// ... for this long ...
    pub choke_over_s: Range,
    /// ... make the server slower by this factor ...
    pub choke_slower: Range,
    /// ... until it has fewer than this for each core ...
    pub choke_below: Range,
    /// ... for this long ...
    pub choke_rest_s: Range,
    /// ... or until this time has passed since it became slow.
    pub choke_most_s: Range,
}

impl Default for ServerKind {
    fn default() -> Self {
        Self {
            cores: 2,
            speed: Range::Between([0.85, 1.1]),
            speed_cv: Range::Between([0.05, 0.2]),
            queue_per_core: Range::Between([10.0, 19.0]),
            thrash_at: Range::Between([5.0, 8.0]),
            thrash: Range::Between([0.04, 0.14]),
            cold_from: Range::Between([0.31, 0.5]),
            cold_s: Range::Between([3.0, 8.5]),
            error_rate: Range::Between([0.0, 0.001]),
            drops_cancelled: Range::Fixed(0.5),
            connections_per_core: Range::Between([600.0, 900.0]),
            full_tax: Range::Between([0.16, 0.38]),
            handshake_ms: Range::Between([1.8, 6.0]),
            handshake_trips: Range::Between([1.0, 3.0]),
            idle_s: 15.0,
            choke_at: Range::Between([4.0, 7.0]),
            choke_over_s: Range::Between([1.5, 2.5]),
            choke_slower: Range::Between([2.5, 3.3]),
            choke_below: Range::Between([0.25, 0.4]),
            choke_rest_s: Range::Between([2.2, 4.7]),
            choke_most_s: Range::Between([15.0, 35.0]),
        }
    }
}

/// How much clients send, and how it is spread.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// The work of first tries, as a share of the capacity of the warm fleet.
    pub of_capacity: Range,
    /// First tries a second, in place of `of_capacity`.
    pub per_s: Option<Range>,
    /// The rate rises by this share of itself until the middle of the run and falls again until its end.
    pub swing: Range,
    /// How unevenly traffic is spread over zones, as `server_skew`.
    pub zone_skew: Range,
    /// The coefficient of variation of the clients' estimates of a request's work, relative to its real work.
    pub guess_cv: Range,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            of_capacity: Range::Between([0.56, 0.8]),
            per_s: None,
            swing: Range::Between([0.16, 0.36]),
            zone_skew: Range::Between([0.25, 0.6]),
            guess_cv: Range::Fixed(0.2),
        }
    }
}

/// The probability distribution of the work of a class's requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum WorkDistribution {
    /// Exponential.
    #[serde(rename = "exp")]
    Exponential,
    /// Lognormal.
    Lognormal,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Idempotency {
    /// It may run any number of times.
    Safe,
    /// It carries an idempotency key by which all servers drop repeats, for a while.
    Keyed,
    /// It must run once at most.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The class's name, the first segment of the request path.
    pub name: String,
    /// The class's share of the first tries, relative to the shares of all classes, which need not add up to 1.
    #[serde(deserialize_with = "bounded")]
    pub share: f64,
    /// Mean work of a request, in ms of one core at speed 1; a draw takes one value from the range for the whole run.
    pub work_ms: Range,
    /// The distribution of the work.
    pub dist: WorkDistribution,
    /// The coefficient of variation of the work, for a lognormal distribution; of a range, the middle is used.
    #[serde(default = "default_cv")]
    pub cv: Range,
    /// The target for the time to an answer, in ms.
    #[serde(deserialize_with = "bounded")]
    pub aim_ms: f64,
    /// The client gives up after this, all tries together, in ms.
    #[serde(deserialize_with = "bounded")]
    pub deadline_ms: f64,
    /// The worth of an answer within the target, for each unit of the request's work: a request is worth this times its
    /// work.
    #[serde(deserialize_with = "bounded")]
    pub worth: f64,
    /// Whether a request may run more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// How long servers drop repeats of a keyed request, in ms.
    #[serde(default, rename = "window_ms", deserialize_with = "bounded")]
    pub idempotency_window_ms: f64,
}

fn default_cv() -> Range {
    Range::Fixed(1.0)
}

fn default_classes() -> Spanned<Vec<Class>> {
    let class = |name: &str, share, work, cv, deadline_ms, worth, idempotency, idempotency_window_ms| Class {
        name: name.into(),
        share,
        work_ms: Range::Between(work),
        dist: if idempotency == Idempotency::Safe {
            WorkDistribution::Exponential
        } else {
            WorkDistribution::Lognormal
        },
        cv: Range::Between(cv),
        aim_ms: 300.0,
        deadline_ms,
        worth,
        idempotency,
        idempotency_window_ms,
    };
    let lookup = class("lot-lookup", 0.55, [41.0, 73.0], [0.94, 1.4], 600.0, 3.0, Idempotency::Safe, 0.0);
    let request =
        class("cert-request", 0.45, [33.0, 59.0], [0.73, 1.2], 1000.0, 2.0, Idempotency::Keyed, 5000.0);
    Spanned::new(0..0, vec![lookup, request])
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// How often a client retries a request.
    pub retries: Range,
    /// The timeout of one try, as a share of the class's deadline.
    pub try_share: Range,
    /// The backoff before the first retry, doubled for each further one; a random wait between half of it and all of
    /// it is taken.
    pub backoff_ms: Range,
    /// The share of clients that honour the `Retry-After` of a refusal.
    pub honour: Range,
    /// The longest time for which they do.
    #[serde(deserialize_with = "bounded")]
    pub max_retry_after_ms: f64,
    /// The share of requests whose client closes the connection early.
    pub impatient: Range,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            retries: Range::Between([1.0, 2.99]),
            try_share: Range::Between([0.5, 0.8]),
            backoff_ms: Range::Between([24.0, 190.0]),
            honour: Range::Between([0.7, 1.0]),
            max_retry_after_ms: 500.0,
            impatient: Range::Between([0.0, 0.03]),
        }
    }
}

/// The network between zones. Each message has an exponential jitter on top of the delay.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// The one-way delay within a zone, in ms.
    pub same_ms: Range,
    /// The one-way delay between zones, in ms.
    pub cross_ms: Range,
    /// The one-way delay between a client and the nodes of its zone, in ms.
    pub client_ms: Range,
    /// The mean of the jitter, as a share of the delay.
    pub jitter: Range,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            same_ms: Range::Between([0.18, 0.31]),
            cross_ms: Range::Between([0.7, 1.3]),
            client_ms: Range::Between([0.2, 1.2]),
            jitter: Range::Between([0.06, 0.33]),
        }
    }
}

/// How the list of servers reaches the nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// The delay until a drain, or a server that shut down in order, is listed as such.
    pub notice_s: Range,
    /// The delay until a server that vanished is listed as gone.
    pub silent_notice_s: Range,
    /// The delay until a server that started is listed.
    pub add_s: Range,
    /// All nodes receive a version of the list within this time of each other.
    pub spread_ms: Range,
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            notice_s: Range::Between([1.1, 4.6]),
            silent_notice_s: Range::Between([5.8, 14.0]),
            add_s: Range::Between([0.45, 1.9]),
            spread_ms: Range::Between([54.0, 120.0]),
        }
    }
}

/// The limits of the referee's rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// A node sends nothing new to a server later than this after it was notified of the server's drain.
    #[serde(deserialize_with = "bounded")]
    pub drain_grace_ms: f64,
    /// A cold server fails when it is sent more than this many times its current capacity ...
    #[serde(deserialize_with = "bounded")]
    pub fall_multiple: f64,
    /// ... within a window of this length.
    #[serde(deserialize_with = "bounded")]
    pub fall_ms: f64,
    /// The most attempts for one try of a client.
    pub attempts: usize,
    /// Added to each time limit, for delays of sockets and the scheduler.
    #[serde(deserialize_with = "bounded")]
    pub slack_ms: f64,
    /// How long after its deadline a final answer may come.
    #[serde(deserialize_with = "bounded")]
    pub answer_slack_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace_ms: 300.0,
            fall_multiple: 3.0,
            fall_ms: 1500.0,
            attempts: 5,
            slack_ms: 50.0,
            answer_slack_ms: 20.0,
        }
    }
}

/// The resources that a node may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeLimits {
    /// The most resident memory, in MiB.
    #[serde(deserialize_with = "bounded")]
    pub memory_mb: f64,
    /// The most open file descriptors.
    pub sockets: u64,
    /// How long a node may take until it is ready, in seconds.
    #[serde(deserialize_with = "bounded")]
    pub ready_s: f64,
}

impl Default for NodeLimits {
    fn default() -> Self {
        Self { memory_mb: 192.0, sockets: 1024, ready_s: 20.0 }
    }
}

/// The control group: real replicas, with a relay on each link between replicas and from each node to each replica.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlGroup {
    /// The number of replicas.
    pub replicas: usize,
    /// What happens to a change of policy while a node can't be reached.
    pub unreachable: UnreachablePolicy,
    /// How nodes get their first epoch.
    pub start: StartMode,
    /// With `start = "saved"`: how long a node waits for the group before it uses its saved epoch, in ms.
    #[serde(deserialize_with = "bounded")]
    pub saved_after_ms: f64,
    /// Further keys for `[terms]` of the replicas' configuration.
    pub terms: toml::Table,
}

impl Default for ControlGroup {
    fn default() -> Self {
        Self {
            replicas: 3,
            unreachable: UnreachablePolicy::Abort,
            start: StartMode::Wait,
            saved_after_ms: 3000.0,
            terms: toml::Table::new(),
        }
    }
}

impl ControlGroup {
    /// The longest time for which two policies can be in force at once, in milliseconds: the length of a promise by the
    /// replicas' terms, plus the drift of the clocks at both ends.
    pub fn max_mixed_ms(&self) -> f64 {
        let configured = self.terms.get("promise_ms").and_then(toml::Value::as_integer);
        let promise =
            configured.map_or(control::leader::LeaderSettings::default().promise_ms, |ms| ms as f64);
        promise * (1.0 + 2.0 * member::MAX_CLOCK_DRIFT)
    }
}

/// What happens to a change of policy while a node can't be reached.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum UnreachablePolicy {
    /// The change is aborted.
    Abort,
    /// The change goes on without the node, which is fenced: it takes no more requests.
    Fence,
}

/// How nodes get their first epoch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StartMode {
    /// They wait for the control group.
    Wait,
    /// They use the epoch that they saved, after a while without an answer from the group.
    Saved,
}

/// The kinds of faults. `for_s`, `factor` and other keys are those of [`Fault`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nodes are killed, and started again after `for_s`.
    Kill,
    /// Nodes get a SIGTERM, and are started again once they have ended.
    Restart,
    /// Nodes are stopped for `for_s` by SIGSTOP.
    #[serde(rename = "stop")]
    Pause,
    /// `factor` connections are opened to each node for `for_s`; nothing is sent over them.
    #[serde(rename = "crowd")]
    IdleConnections,
    /// App servers become unreachable for `for_s`, with no reset of their connections, and come back cold.
    #[serde(rename = "lose")]
    Vanish,
    /// App servers end at once, which resets their connections, and come back cold after `for_s`.
    Crash,
    /// App servers are slower by `factor`.
    Slow,
    /// Another program takes the share `factor` of the app servers' capacity, on and off.
    #[serde(rename = "neighbour")]
    NoisyNeighbour,
    /// The share `factor` of requests at app servers fails.
    Errors,
    /// The share `factor` of answers is sent `slower_ms` late, and the share `garbled` is cut short.
    #[serde(rename = "gray")]
    GrayFailure,
    /// The share `factor` of answers is lost, as the connection is reset.
    #[serde(rename = "reset")]
    ResetConnections,
    /// Rolling release: app servers are drained, ended and restarted, in `steps` over `for_s`. The new version fails the
    /// share `factor` of requests, until the next release.
    Release,
    /// App servers are drained and others are started in their place, in `steps` over `for_s`; `factor` as in a release.
    Replace,
    /// Nothing passes between a zone and the others, or the zone `to` alone; connections stay up.
    #[serde(rename = "cut")]
    Partition,
    /// All connections between a zone and the others break once.
    #[serde(rename = "break-links")]
    BreakConnections,
    /// The bandwidth between a zone and each other zone is `factor` bytes a second each way; messages queue.
    #[serde(rename = "narrow")]
    LimitBandwidth,
    /// Discovery sends no updates.
    ListOutage,
    /// Discovery ends its watches and serves the list of `factor` versions ago; after `for_s` the newest again.
    StaleList,
    /// Discovery sends each pair of updates in reverse order.
    ReorderedList,
    /// The share `factor` of the requests from nodes to app servers is lost; half of the losses break the connection.
    #[serde(rename = "uplink")]
    UplinkLoss,
    /// The rate of first tries is multiplied by `factor`.
    Burst,
    /// An operator proposes `policy`, and repeats the proposal for `for_s` while its outcome is unknown.
    Policy,
    /// Replicas are killed, and started again after `for_s`.
    ReplicaKill,
    /// Replicas are stopped for `for_s` by SIGSTOP.
    #[serde(rename = "replica-stop")]
    ReplicaPause,
    /// Replicas get a SIGTERM, and are started again once they have ended.
    ReplicaRestart,
    /// All replicas are killed, and started again after `for_s`.
    #[serde(rename = "group-lost")]
    GroupOutage,
    /// Nothing passes between nodes and the replicas, both ways or one (`out`: from the nodes, `in`: to them).
    #[serde(rename = "cut-control")]
    PartitionControl,
    /// Nothing passes between replicas and all other replicas and nodes, both ways or one.
    #[serde(rename = "cut-replica")]
    PartitionReplica,
    /// `factor` members, spread over the zones in turn, serve nothing and vote for the removal of app servers.
    #[serde(rename = "liar")]
    FaultyVoters,
}

impl FaultKind {
    /// The name of the kind in experiments, results and error messages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Restart => "restart",
            Self::Pause => "stop",
            Self::IdleConnections => "crowd",
            Self::Vanish => "lose",
            Self::Crash => "crash",
            Self::Slow => "slow",
            Self::NoisyNeighbour => "neighbour",
            Self::Errors => "errors",
            Self::GrayFailure => "gray",
            Self::ResetConnections => "reset",
            Self::Release => "release",
            Self::Replace => "replace",
            Self::Partition => "cut",
            Self::BreakConnections => "break-links",
            Self::LimitBandwidth => "narrow",
            Self::ListOutage => "list-outage",
            Self::StaleList => "stale-list",
            Self::ReorderedList => "reordered-list",
            Self::UplinkLoss => "uplink",
            Self::Burst => "burst",
            Self::Policy => "policy",
            Self::ReplicaKill => "replica-kill",
            Self::ReplicaPause => "replica-stop",
            Self::ReplicaRestart => "replica-restart",
            Self::GroupOutage => "group-lost",
            Self::PartitionControl => "cut-control",
            Self::PartitionReplica => "cut-replica",
            Self::FaultyVoters => "liar",
        }
    }

    /// Whether the fault's targets are replicas, which are numbered from 1.
    pub fn targets_replicas(self) -> bool {
        matches!(self, Self::ReplicaKill | Self::ReplicaPause | Self::ReplicaRestart | Self::PartitionReplica)
    }

    /// Whether the fault's targets are nodes.
    pub fn targets_nodes(self) -> bool {
        matches!(
            self,
            Self::Kill
                | Self::Restart
                | Self::Pause
                | Self::IdleConnections
                | Self::UplinkLoss
                | Self::PartitionControl
        )
    }

    /// Whether the fault needs a control group.
    pub fn needs_control_group(self) -> bool {
        self.targets_replicas()
            || matches!(self, Self::Policy | Self::GroupOutage | Self::PartitionControl | Self::FaultyVoters)
    }
}

/// One fault of the timeline.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind.
    pub kind: FaultKind,
    /// When the fault begins, in seconds from the start of the run.
    #[serde(deserialize_with = "bounded")]
    pub at_s: f64,
    /// How long the fault lasts, in seconds.
    #[serde(default, deserialize_with = "bounded")]
    pub for_s: f64,
    /// Only targets in this zone.
    pub zone: Option<String>,
    /// Only this share of the targets, chosen at random.
    pub share: Option<f64>,
    /// Only targets with these numbers.
    pub ids: Option<Vec<usize>>,
    /// The strength; its meaning depends on the kind.
    #[serde(default, deserialize_with = "bounded_option")]
    pub factor: Option<f64>,
    /// The number of steps of a release.
    pub steps: Option<usize>,
    /// The added delay of answers in a gray failure.
    #[serde(default, deserialize_with = "bounded_option")]
    pub slower_ms: Option<f64>,
    /// The share of answers that are cut short in a gray failure.
    #[serde(default, deserialize_with = "bounded_option")]
    pub garbled: Option<f64>,
    /// The direction of a partition: `out` of the zone or `in`to it; both where absent.
    #[serde(rename = "way")]
    pub direction: Option<Direction>,
    /// The other zone of a partition or of links with limited bandwidth; all others where absent.
    #[serde(rename = "to")]
    pub peer_zone: Option<String>,
    /// The proposed policy: settings with their new values.
    pub policy: Option<serde_json::Map<String, serde_json::Value>>,
    /// The replica with this role when the fault begins, in place of `ids`.
    #[serde(rename = "which")]
    pub role: Option<ReplicaRole>,
}

/// The role of a replica.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaRole {
    /// The leader.
    Leader,
}

/// A direction between a zone, a node or a replica and all others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From it to the others.
    Out,
    /// From the others to it.
    In,
}

/// The conditions that a run must meet. A key that is absent is not checked. No rule may be broken in any case.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectations {
    /// The least share of the worth that is served within the target.
    pub served: Option<f64>,
    /// The same for the class that is served worst.
    pub worst_class: Option<f64>,
    /// The same for the worst 10 s.
    pub worst_window: Option<f64>,
    /// The same, relative to what the oracle serves on this draw.
    pub of_oracle: Option<f64>,
    /// The most for the 99th percentile of the time to a served answer, in ms.
    pub p99_ms: Option<f64>,
    /// The most attempts for each first try.
    pub attempts: Option<f64>,
    /// The largest share of attempts that cross zones.
    pub cross_zone: Option<f64>,
    /// The longest time from a fault's end until service has recovered, in seconds.
    pub recover_s: Option<f64>,
    /// The most attempts at the busiest server, relative to the mean, in any 5 s.
    pub spread: Option<f64>,
    /// The least number of policy changes that are committed.
    pub committed: Option<f64>,
    /// The exact number of policy changes that are aborted.
    pub aborted: Option<f64>,
    /// The longest time from a proposal until the change is active at each node, in ms.
    pub active_ms: Option<f64>,
    /// The longest time for which two policies are in force, in ms.
    pub mixed_ms: Option<f64>,
    /// The largest share of answers that are refusals because the node has no agreed policy.
    pub held: Option<f64>,
    /// The longest time without a successful write after a fault of the leader, in ms.
    pub write_gap_ms: Option<f64>,
    /// The least number of servers that votes removed while they were faulty.
    pub removed: Option<f64>,
    /// The most removals by votes of servers that were not faulty.
    pub wrong_removals: Option<f64>,
    /// The longest time from when a server became faulty until votes removed it, in ms.
    pub remove_ms: Option<f64>,
    /// The longest time from when a removed server was healthy again until it was back, in ms.
    pub return_ms: Option<f64>,
    /// The most attempts that failed at faulty servers.
    pub paid: Option<f64>,
}

/// Why an experiment file can't be played. Each message is one line.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The file can't be read.
    #[error("{file}: can't be read: {source}")]
    Read {
        /// The file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The text is not TOML, or has an unknown key or a value of the wrong type.
    #[error("{file}:{line}: {field}: {reason}")]
    Format {
        /// The file.
        file: String,
        /// The line, counted from 1.
        line: usize,
        /// The field's path.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A value out of its bounds, or an unknown name.
    #[error("{file}:{line}: {field}: {reason}")]
    InvalidValue {
        /// The file.
        file: String,
        /// The line, counted from 1.
        line: usize,
        /// The field's path.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl PlanError {
    /// What to do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Read { .. } => "name an experiment's file, such as experiments/calm.toml",
            Self::Format { .. } => "write the key as crates/lab/src/plan.rs has it",
            Self::InvalidValue { .. } => "give it a value within the bounds named",
        }
    }
}

/// An invalid value: its byte offset in the text, its field, and what is wrong.
struct InvalidField {
    offset: usize,
    field: String,
    reason: String,
}

fn invalid<T>(offset: usize, field: impl Into<String>, reason: impl Into<String>) -> Result<T, InvalidField> {
    Err(InvalidField { offset, field: field.into(), reason: reason.into() })
}

/// The path of a field, without the internal names under which [`Spanned`] is deserialized.
fn field_path(path: &serde_path_to_error::Path) -> String {
    let mut field = String::new();
    for segment in path.iter() {
        let name = segment.to_string();
        if name.starts_with("$__") {
            continue;
        }
        if !field.is_empty() && !name.starts_with('[') {
            field.push('.');
        }
        field.push_str(&name);
    }
    if field.is_empty() {
        field.push_str("the file");
    }
    field
}

impl Plan {
    /// Reads and checks an experiment file.
    ///
    /// # Errors
    /// The file can't be read, is not an experiment, or has a value that can't be played.
    pub fn load(path: &Path) -> Result<Self, PlanError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::read(&file, &text),
            Err(source) => Err(PlanError::Read { file, source }),
        }
    }

    /// The same plan without the faults of these kinds.
    pub fn without(mut self, kinds: &[FaultKind]) -> Self {
        self.faults.retain(|fault| !kinds.contains(&fault.get_ref().kind));
        self
    }

    /// Parses and checks the text of an experiment; `file` is the name for error messages.
    ///
    /// # Errors
    /// As [`Plan::load`].
    pub fn read(file: &str, text: &str) -> Result<Self, PlanError> {
        let line = |offset: usize| text.as_bytes().iter().take(offset).filter(|b| **b == b'\n').count() + 1;
        let format_error = |field: String, e: &toml::de::Error| PlanError::Format {
            file: file.into(),
            line: line(e.span().map_or(0, |s| s.start)),
            field,
            reason: e.message().replace('\n', " "),
        };
        let deserializer =
            toml::Deserializer::parse(text).map_err(|e| format_error("the file".into(), &e))?;
        let plan: Self = serde_path_to_error::deserialize(deserializer)
            .map_err(|e| format_error(field_path(e.path()), e.inner()))?;
        plan.check().map_err(|InvalidField { offset, field, reason }| PlanError::InvalidValue {
            file: file.into(),
            line: line(offset),
            field,
            reason,
        })?;
        Ok(plan)
    }

    /// Checks what types can't express; the error names the first invalid value.
    fn check(&self) -> Result<(), InvalidField> {
        if self.schema != SCHEMA {
            return invalid(0, "schema", format!("version {SCHEMA} is supported, not {}", self.schema));
        }
        let length = *self.length_s.get_ref();
        if !(length > 0.0 && length <= MAX_LENGTH_S) {
            let reason = format!("{length} is not in 0 to {MAX_LENGTH_S}");
            return invalid(self.length_s.span().start, "length_s", reason);
        }
        self.check_fleet(self.fleet.span().start)?;
        self.check_values()?;
        if let Some(control) = &self.control {
            let replicas = control.get_ref().replicas;
            if !(1..=MAX_REPLICAS).contains(&replicas) {
                let reason = format!("1 to {MAX_REPLICAS} are possible, not {replicas}");
                return invalid(control.span().start, "control.replicas", reason);
            }
        }
        for (n, fault) in self.faults.iter().enumerate() {
            let kind = fault.get_ref().kind.name();
            self.check_fault(fault.get_ref()).map_err(|(key, reason)| InvalidField {
                offset: fault.span().start,
                field: format!("fault[{n}].{key}"),
                reason: format!("{kind}: {reason}"),
            })?;
        }
        Ok(())
    }

    fn check_fleet(&self, offset: usize) -> Result<(), InvalidField> {
        let fleet = self.fleet.get_ref();
        if fleet.zones.is_empty() || fleet.zones.len() > MAX_ZONES {
            let reason = format!("1 to {MAX_ZONES} are possible, not {}", fleet.zones.len());
            return invalid(offset, "fleet.zones", reason);
        }
        for (key, range, limit) in
            [("fleet.nodes", fleet.nodes, MAX_NODES), ("fleet.servers", fleet.servers, MAX_SERVERS)]
        {
            let (min, max) = range.bounds();
            if !(min >= 1.0 && max <= limit as f64) {
                return invalid(offset, key, format!("1 to {limit} are possible"));
            }
        }
        check_share(offset, "fleet.server_skew", fleet.server_skew)
    }

    fn check_values(&self) -> Result<(), InvalidField> {
        let kind = self.server.get_ref();
        let offset = self.server.span().start;
        if kind.cores == 0 || kind.cores > 256 {
            return invalid(offset, "server.cores", "1 to 256 are possible");
        }
        for (key, range) in [
            ("server.speed", kind.speed),
            ("server.cold_from", kind.cold_from),
            ("server.choke_slower", kind.choke_slower),
            ("server.connections_per_core", kind.connections_per_core),
        ] {
            if !(range.bounds().0 > 0.0 && range.bounds().1.is_finite()) {
                return invalid(offset, key, "must be above 0");
            }
        }
        for (key, range) in [
            ("server.cold_from", kind.cold_from),
            ("server.error_rate", kind.error_rate),
            ("server.drops_cancelled", kind.drops_cancelled),
            ("server.full_tax", kind.full_tax),
        ] {
            check_share(offset, key, range)?;
        }
        let load = self.load.get_ref();
        let offset = self.load.span().start;
        check_share(offset, "load.zone_skew", load.zone_skew)?;
        check_share(offset, "load.swing", load.swing)?;
        check_share(offset, "load.guess_cv", load.guess_cv)?;
        let rate = load.per_s.unwrap_or(load.of_capacity).bounds();
        if !(rate.0 >= 0.0 && rate.1 <= 1e5) {
            return invalid(offset, "load", "the rate must be within 0 and 100000");
        }
        let offset = self.classes.span().start;
        if self.classes.get_ref().is_empty() {
            return invalid(offset, "class", "one is needed at least");
        }
        for class in self.classes.get_ref() {
            let name = &class.name;
            let values = [class.work_ms.bounds().0, class.aim_ms, class.deadline_ms, class.worth];
            if values.iter().any(|v| !(*v > 0.0 && v.is_finite())) || class.share < 0.0 {
                let reason = "work_ms, aim_ms, deadline_ms, worth must be above 0";
                return invalid(offset, format!("class {name}"), reason);
            }
        }
        let clients = self.clients.get_ref();
        let offset = self.clients.span().start;
        for (key, range) in [
            ("clients.try_share", clients.try_share),
            ("clients.honour", clients.honour),
            ("clients.impatient", clients.impatient),
        ] {
            check_share(offset, key, range)?;
        }
        if !(0.0..=10.0).contains(&clients.retries.bounds().1) {
            return invalid(offset, "clients.retries", "0 to 10 are possible");
        }
        Ok(())
    }

    /// Checks a fault; the error has its invalid key and the reason.
    fn check_fault(&self, fault: &Fault) -> Result<(), (&'static str, String)> {
        let length = *self.length_s.get_ref();
        let fail = |key: &'static str, reason: String| Err((key, reason));
        if !(fault.at_s >= 0.0 && fault.at_s < length) {
            return fail("at_s", format!("{} is not within the {length} s of the run", fault.at_s));
        }
        if !(fault.for_s >= 0.0 && fault.at_s + fault.for_s <= length) {
            return fail("for_s", format!("it ends after the {length} s of the run"));
        }
        let fleet = self.fleet.get_ref();
        if let Some(zone) = &fault.zone {
            if !fleet.zones.contains(zone) {
                return fail("zone", format!("{zone} is not in fleet.zones"));
            }
        }
        if let Some(to) = &fault.peer_zone {
            if !matches!(fault.kind, FaultKind::Partition | FaultKind::LimitBandwidth) {
                return fail("to", "only for cut and narrow".into());
            }
            if !fleet.zones.contains(to) || fault.zone.as_ref() == Some(to) {
                return fail("to", format!("{to} is not another one of fleet.zones"));
            }
        }
        if fault.share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
            return fail("share", "a share above 0 and up to 1 expected".into());
        }
        if fault.garbled.is_some_and(|s| !(0.0..=1.0).contains(&s)) {
            return fail("garbled", "a share from 0 to 1 expected".into());
        }
        let Some(replicas) = self.control.as_ref().map(|c| c.get_ref().replicas).or_else(|| {
            let independent = !fault.kind.needs_control_group();
            independent.then_some(0)
        }) else {
            return fail("kind", "[control] is missing: the fault needs a control group".into());
        };
        let (first, last) = match fault.kind {
            kind if kind.targets_nodes() => (0, fleet.nodes.bounds().0 as usize - 1),
            kind if kind.targets_replicas() => (1, replicas),
            _ => (0, fleet.servers.bounds().0 as usize - 1),
        };
        if let Some(id) = fault.ids.iter().flatten().find(|id| !(first..=last).contains(*id)) {
            return fail("ids", format!("{id} does not exist; numbers go from {first} to {last}"));
        }
        if fault.role.is_some() && (!fault.kind.targets_replicas() || fault.ids.is_some()) {
            return fail("which", "only for a replica, in place of ids".into());
        }
        match fault.kind {
            FaultKind::Partition | FaultKind::BreakConnections | FaultKind::LimitBandwidth
                if fault.zone.is_none() =>
            {
                fail("zone", "is missing".into())
            }
            FaultKind::Policy if fault.policy.is_none() => fail("policy", "is missing".into()),
            FaultKind::LimitBandwidth if !fault.factor.is_some_and(|f| f >= 1.0) => {
                fail("factor", "bytes a second expected, 1 at least".into())
            }
            FaultKind::IdleConnections
                if !fault.factor.is_some_and(|f| (1.0..=MAX_IDLE_CONNECTIONS).contains(&f)) =>
            {
                fail("factor", format!("1 to {MAX_IDLE_CONNECTIONS} connections expected"))
            }
            FaultKind::FaultyVoters
                if !fault
                    .factor
                    .is_some_and(|f| f.fract() == 0.0 && (1.0..=MAX_FAULTY_VOTERS).contains(&f)) =>
            {
                fail("factor", format!("a whole number of faulty voters expected, 1 to {MAX_FAULTY_VOTERS}"))
            }
            FaultKind::Release | FaultKind::Replace if fault.factor.is_some_and(|f| f > 1.0) => {
                fail("factor", "a share from 0 to 1 expected".into())
            }
            FaultKind::StaleList if !fault.factor.is_some_and(|f| f >= 1.0 && f.fract() == 0.0) => {
                fail("factor", "a whole number of versions expected, 1 at least".into())
            }
            FaultKind::Slow | FaultKind::Burst if !fault.factor.is_some_and(|f| f > 0.0 && f <= 1000.0) => {
                fail("factor", "a number above 0 and up to 1000 expected".into())
            }
            FaultKind::NoisyNeighbour
            | FaultKind::Errors
            | FaultKind::GrayFailure
            | FaultKind::ResetConnections
            | FaultKind::UplinkLoss
                if !fault.factor.is_some_and(|f| (0.0..=1.0).contains(&f)) =>
            {
                fail("factor", "a share from 0 to 1 expected".into())
            }
            _ => Ok(()),
        }
    }
}

fn check_share(offset: usize, key: &str, range: Range) -> Result<(), InvalidField> {
    let (min, max) = range.bounds();
    if min >= 0.0 && max <= 1.0 {
        Ok(())
    } else {
        invalid(offset, key, "a share from 0 to 1 expected")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The message for an experiment with an error in this text.
    fn error_of(text: &str) -> String {
        Plan::read("x.toml", &format!("schema = 1\nname = \"x\"\nlength_s = 10\n{text}"))
            .expect_err("can't be played")
            .to_string()
    }

    #[test]
    fn every_fault_kind_is_named_as_experiments_write_it() {
        let kinds = [
            FaultKind::Kill,
            FaultKind::Restart,
            FaultKind::Pause,
            FaultKind::IdleConnections,
            FaultKind::Vanish,
            FaultKind::Crash,
            FaultKind::Slow,
            FaultKind::NoisyNeighbour,
            FaultKind::Errors,
            FaultKind::GrayFailure,
            FaultKind::ResetConnections,
            FaultKind::Release,
            FaultKind::Replace,
            FaultKind::Partition,
            FaultKind::BreakConnections,
            FaultKind::LimitBandwidth,
            FaultKind::ListOutage,
            FaultKind::StaleList,
            FaultKind::ReorderedList,
            FaultKind::UplinkLoss,
            FaultKind::Burst,
            FaultKind::Policy,
            FaultKind::ReplicaKill,
            FaultKind::ReplicaPause,
            FaultKind::ReplicaRestart,
            FaultKind::GroupOutage,
            FaultKind::PartitionControl,
            FaultKind::PartitionReplica,
            FaultKind::FaultyVoters,
        ];
        for kind in kinds {
            let written = format!("kind = \"{}\"\nat_s = 1\n", kind.name());
            assert_eq!(toml::from_str::<Fault>(&written).expect("a fault").kind, kind);
        }
    }

    #[test]
    fn all_experiments_load_and_expect_mixed_policies_no_longer_than_a_promise() {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
        let files: Vec<_> =
            std::fs::read_dir(folder).expect("there").map(|f| f.expect("a file").path()).collect();
        assert!(files.len() > 20, "{files:?}");
        for file in files {
            let plan = Plan::load(&file).unwrap_or_else(|e| panic!("{e}"));
            let promised = plan.control.as_ref().map(|c| c.get_ref().max_mixed_ms());
            if let Some(expected) = plan.expectations.get_ref().mixed_ms {
                assert_eq!(Some(expected), promised, "{}", file.display());
            }
        }
    }

    #[test]
    fn an_invalid_experiment_gives_an_error_with_file_line_and_key() {
        assert!(error_of("[load]\nrats = 3\n").starts_with("x.toml:5: load.rats: unknown field `rats`"));
        let fault = |rest: &str| error_of(&format!("[[fault]]\nkind = \"cut\"\nat_s = 2\n{rest}"));
        assert_eq!(
            fault("zone = \"nowhere\"\n"),
            "x.toml:4: fault[0].zone: cut: nowhere is not in fleet.zones"
        );
        assert_eq!(fault("for_s = 9\n"), "x.toml:4: fault[0].for_s: cut: it ends after the 10 s of the run");
        assert!(error_of("[server]\ncores = 0\n").contains("server.cores"));
        assert!(error_of("[server]\nspeed = inf\n")
            .contains("x.toml:5: server.speed: inf is not within 0 and 1000000"));
        assert!(error_of("[server]\nspeed = [2, 1]\n").contains("the least comes first"));
        assert!(error_of("[clients]\nmax_retry_after_ms = -1\n")
            .contains("x.toml:5: clients.max_retry_after_ms: -1 is not within"));
        assert!(error_of("[server]\nspeed = \"fast\"\n").contains("a number or [least, most] expected"));
        assert!(error_of("[fleet]\nnodes = 4000\n").contains("fleet.nodes: 1 to 400"));
        assert!(error_of("[[fault]]\nkind = \"slow\"\nat_s = 1\n").contains("factor"));
        assert!(error_of("[[fault]]\nkind = \"stop\"\nids = [7]\nat_s = 1\n")
            .contains("fault[0].ids: stop: 7 does not exist"));
        assert!(error_of("[control]\nreplicas = 9\n").contains("x.toml:4: control.replicas: 1 to 7"));
        let group_lost = "[[fault]]\nkind = \"group-lost\"\nat_s = 1\n";
        assert!(error_of(group_lost).contains("fault[0].kind: group-lost: [control] is missing"));
        let with_group = |more: &str| error_of(&format!("[control]\n[[fault]]\nat_s = 1\n{more}"));
        assert!(with_group("kind = \"replica-kill\"\nids = [0]\n").contains("numbers go from 1 to 3"));
        assert!(
            with_group("kind = \"kill\"\nwhich = \"leader\"\n").contains("fault[0].which: kill: only for")
        );
        assert!(with_group("kind = \"liar\"\nfactor = 99\n")
            .contains("fault[0].factor: liar: a whole number of faulty voters"));
        assert!(with_group("kind = \"cut\"\nzone = \"maipu\"\nto = \"maipu\"\n")
            .contains("fault[0].to: cut: maipu is not"));
        assert!(with_group("kind = \"policy\"\n").contains("fault[0].policy: policy: is missing"));
        assert!(Plan::read("x.toml", "schema = 2\nname = \"x\"\nlength_s = 1").is_err());
    }
}
