//! The experiment's file: a fleet, its load, faults on a timeline, and what must hold.
//!
//! What a file leaves out has the deployment's figures. Where a `[least, most]` stands, each draw takes a figure
//! between the two. A file that can't be played is told in one line with file, line and key.

use std::path::Path;

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;
use toml::Spanned;

/// The version of the file's form.
pub const SCHEMA: u32 = 1;
/// The most zones, nodes, servers and first tries of one play.
pub const ZONES_MOST: usize = 6;
/// The most nodes.
pub const NODES_MOST: usize = 400;
/// The most servers that are listed at a time.
pub const SERVERS_MOST: usize = 400;
/// The most silent connections to one node.
pub const CROWD_MOST: f64 = 5000.0;
/// The most liars of one fault.
pub const LIARS_MOST: f64 = 16.0;
/// The most replicas of a control group.
pub const REPLICAS_MOST: usize = 7;
/// The longest play, in seconds.
pub const LENGTH_MOST: f64 = 3600.0;

/// The largest figure that a file may have, in whatever unit: beyond all that is sensible, and within all that clocks
/// and counters can hold.
pub const FIGURE_MOST: f64 = 1e6;

/// A figure, or the bounds that a draw takes one from; from 0 to [`FIGURE_MOST`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(try_from = "Written")]
pub enum Range {
    /// Always this.
    Fixed(f64),
    /// Something between the two.
    Between([f64; 2]),
}

/// A range as it is written.
#[derive(Deserialize)]
#[serde(untagged, expecting = "a number or [least, most] expected")]
enum Written {
    Fixed(f64),
    Between([f64; 2]),
}

impl TryFrom<Written> for Range {
    type Error = String;

    fn try_from(written: Written) -> Result<Self, String> {
        let (range, least, most) = match written {
            Written::Fixed(v) => (Self::Fixed(v), v, v),
            Written::Between([a, b]) => (Self::Between([a, b]), a, b),
        };
        sensible(least)?;
        sensible(most)?;
        if least > most {
            return Err(format!("[{least}, {most}]: the least comes first"));
        }
        Ok(range)
    }
}

impl Range {
    /// The least and the most.
    pub fn bounds(self) -> (f64, f64) {
        match self {
            Self::Fixed(v) => (v, v),
            Self::Between([least, most]) => (least, most),
        }
    }
}

/// A figure that can be played.
fn sensible(figure: f64) -> Result<f64, String> {
    if (0.0..=FIGURE_MOST).contains(&figure) {
        Ok(figure)
    } else {
        Err(format!("{figure} is not within 0 and {FIGURE_MOST}"))
    }
}

fn figure<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    sensible(f64::deserialize(from)?).map_err(D::Error::custom)
}

fn figure_or_none<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    figure(from).map(Some)
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The form's version.
    pub schema: u32,
    /// What it is called.
    pub name: String,
    /// What it is for.
    #[serde(default)]
    pub about: String,
    /// The draw, where the command line names none.
    #[serde(default = "one")]
    pub seed: u64,
    /// How long clients come, in seconds.
    pub length_s: Spanned<f64>,
    /// Parties and places.
    #[serde(default = "unplaced")]
    pub fleet: Spanned<Fleet>,
    /// The app servers' kind.
    #[serde(default = "unplaced")]
    pub server: Spanned<Kind>,
    /// What clients ask for.
    #[serde(default = "unplaced")]
    pub load: Spanned<Load>,
    /// The classes of requests.
    #[serde(default = "classes", rename = "class")]
    pub classes: Spanned<Vec<Class>>,
    /// How clients behave.
    #[serde(default = "unplaced")]
    pub clients: Spanned<Clients>,
    /// The network between zones.
    #[serde(default)]
    pub network: Network,
    /// How the list reaches the nodes.
    #[serde(default)]
    pub discovery: Discovery,
    /// The figures of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// What a node may take.
    #[serde(default)]
    pub node: NodeLimits,
    /// The group that the nodes' policy is agreed by; without it nodes keep their settings.
    #[serde(default)]
    pub control: Option<Spanned<Control>>,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<Fault>>,
    /// What must hold.
    #[serde(default = "unplaced")]
    pub hold: Spanned<Hold>,
}

/// What a file leaves out stands nowhere in it.
fn unplaced<T: Default>() -> Spanned<T> {
    Spanned::new(0..0, T::default())
}

fn one() -> u64 {
    1
}

/// Parties and places.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// The zones' names.
    pub zones: Vec<String>,
    /// How many nodes.
    pub nodes: Range,
    /// How many app servers.
    pub servers: Range,
    /// By how much zones differ in app servers: 0 alike, 1 from none to twice the mean.
    pub server_skew: Range,
    /// How long a front goes on sending to a dead node, in seconds.
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

/// A kind of app server. Work is in milliseconds of one core at speed 1.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    /// Cores; a request runs on one.
    pub cores: usize,
    /// The mean speed of the draw's servers.
    pub speed: Range,
    /// How the servers' speeds differ: standard deviation over mean.
    pub speed_cv: Range,
    /// Requests that may wait, for each core; one more is turned away.
    pub queue_per_core: Range,
    /// Held requests for each core from which on it works less well ...
    pub thrash_at: Range,
    /// ... by this much of its time for each further one.
    pub thrash: Range,
    /// The capacity that it starts with, as a share ...
    pub cold_from: Range,
    /// ... which grows evenly to 1 in this time.
    pub cold_s: Range,
    /// The share of requests that fail.
    pub error_rate: Range,
    /// The share of draws in which a cancelled request that waits is dropped.
    pub drops_cancelled: Range,
    /// The connections that it accepts, for each core.
    pub connections_per_core: Range,
    /// The share of capacity that a full table of connections takes.
    pub full_tax: Range,
    /// The work of a new connection, in ms.
    pub handshake_ms: Range,
    /// The round trips of a new connection.
    pub handshake_trips: Range,
    /// A connection that is idle for so long is closed.
    #[serde(deserialize_with = "figure")]
    pub idle_s: f64,
    /// Crowding: held requests for each core ...
    pub choke_at: Range,
    /// ... for this long ...
    pub choke_over_s: Range,
    /// ... make it slower by this factor ...
    pub choke_slower: Range,
    /// ... until it held fewer than this for each core ...
    pub choke_below: Range,
    /// ... for this long ...
    pub choke_rest_s: Range,
    /// ... or this has passed.
    pub choke_most_s: Range,
}

impl Default for Kind {
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

/// What clients ask for.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// First tries, as a share of what the warm fleet can do.
    pub of_capacity: Range,
    /// First tries a second, in place of that.
    pub per_s: Option<Range>,
    /// Over the run the rate rises by this share of itself and falls again.
    pub swing: Range,
    /// By how much zones differ in traffic.
    pub zone_skew: Range,
    /// Standard deviation over mean of what clients guess a request's work at, over what it is.
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

/// How the work of a class is spread.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Dist {
    /// Exponential.
    Exp,
    /// Lognormal.
    Lognormal,
}

/// May a request run again?
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Repeats are dropped by all servers, for a while.
    Keyed,
    /// Never.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, the first part of the path.
    pub name: String,
    /// Its share of the first tries.
    #[serde(deserialize_with = "figure")]
    pub share: f64,
    /// Mean work, in ms.
    pub work_ms: Range,
    /// How work is spread.
    pub dist: Dist,
    /// Standard deviation over mean, for a lognormal one.
    #[serde(default = "unit")]
    pub cv: Range,
    /// Wanted within.
    #[serde(deserialize_with = "figure")]
    pub aim_ms: f64,
    /// Given up after, all tries together.
    #[serde(deserialize_with = "figure")]
    pub deadline_ms: f64,
    /// Worth of an answer within the aim, for a unit of work.
    #[serde(deserialize_with = "figure")]
    pub worth: f64,
    /// May it run again?
    pub effect: Effect,
    /// How long repeats are dropped, where it is keyed.
    #[serde(default, deserialize_with = "figure")]
    pub window_ms: f64,
}

fn unit() -> Range {
    Range::Fixed(1.0)
}

fn classes() -> Spanned<Vec<Class>> {
    let class = |name: &str, share, work, cv, deadline_ms, worth, effect, window_ms| Class {
        name: name.into(),
        share,
        work_ms: Range::Between(work),
        dist: if effect == Effect::Safe { Dist::Exp } else { Dist::Lognormal },
        cv: Range::Between(cv),
        aim_ms: 300.0,
        deadline_ms,
        worth,
        effect,
        window_ms,
    };
    let lookup = class("lot-lookup", 0.55, [41.0, 73.0], [0.94, 1.4], 600.0, 3.0, Effect::Safe, 0.0);
    let file = class("cert-request", 0.45, [33.0, 59.0], [0.73, 1.2], 1000.0, 2.0, Effect::Keyed, 5000.0);
    Spanned::new(0..0, vec![lookup, file])
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Further tries of a request.
    pub retries: Range,
    /// A try is given up after this share of the class's time.
    pub try_share: Range,
    /// The wait before the first further try, doubled for each next one; each wait is between half and all of it.
    pub backoff_ms: Range,
    /// The share of clients that stay away for as long as a refusal says.
    pub honour: Range,
    /// The longest that they do.
    #[serde(deserialize_with = "figure")]
    pub max_retry_after_ms: f64,
    /// The share of tries whose client leaves early.
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

/// The network between zones; each message also has a jitter of its own.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One way within a zone, in ms.
    pub same_ms: Range,
    /// One way between zones, in ms.
    pub cross_ms: Range,
    /// One way between a client and its zone's nodes, in ms.
    pub client_ms: Range,
    /// Mean of the jitter, as a share of the delay.
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

/// How the list reaches the nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// A drain, or an end in order, is listed after this.
    pub notice_s: Range,
    /// A server that vanished is listed as gone after this.
    pub silent_notice_s: Range,
    /// A server that started is listed after this.
    pub add_s: Range,
    /// Nodes hear of a version within this of each other.
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

/// The figures of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Nothing new to a server later than this after its drain was told.
    #[serde(deserialize_with = "figure")]
    pub drain_grace_ms: f64,
    /// A cold server falls over when sent more than this many times what it can do ...
    #[serde(deserialize_with = "figure")]
    pub fall_multiple: f64,
    /// ... for this long.
    #[serde(deserialize_with = "figure")]
    pub fall_ms: f64,
    /// Attempts at a request.
    pub attempts: usize,
    /// Every time limit on sockets is longer by this.
    #[serde(deserialize_with = "figure")]
    pub slack_ms: f64,
    /// A final answer may come this much after its time.
    #[serde(deserialize_with = "figure")]
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

/// What a node may take.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeLimits {
    /// Resident memory.
    #[serde(deserialize_with = "figure")]
    pub memory_mb: f64,
    /// Descriptors.
    pub sockets: u64,
    /// How long it may take until it is ready.
    #[serde(deserialize_with = "figure")]
    pub ready_s: f64,
}

impl Default for NodeLimits {
    fn default() -> Self {
        Self { memory_mb: 192.0, sockets: 1024, ready_s: 20.0 }
    }
}

/// The control group: real replicas, with a relay on each link between them and from each node to each.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// How many replicas.
    pub replicas: usize,
    /// What becomes of a change while a node can't be reached.
    pub unreachable: Unreachable,
    /// How nodes come to their first epoch.
    pub start: Start,
    /// Where that is by what was saved: after how long without an answer of the group.
    #[serde(deserialize_with = "figure")]
    pub saved_after_ms: f64,
    /// What else stands in the `terms` of the replicas' configuration.
    pub terms: toml::Table,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            replicas: 3,
            unreachable: Unreachable::Abort,
            start: Start::Wait,
            saved_after_ms: 3000.0,
            terms: toml::Table::new(),
        }
    }
}

impl Control {
    /// For how long two policies can be in force at once, in milliseconds: a promise, as the replicas' terms have it, by
    /// clocks that differ in rate.
    pub fn mixed_ms(&self) -> f64 {
        let told = self.terms.get("promise_ms").and_then(toml::Value::as_integer);
        let promise = told.map_or(control::leader::Terms::default().promise_ms, |ms| ms as f64);
        promise * (1.0 + 2.0 * member::MAX_CLOCK_DRIFT)
    }
}

/// What becomes of a change while a node can't be reached.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Unreachable {
    /// It is aborted.
    Abort,
    /// The node stops taking requests, and the change goes on without it.
    Fence,
}

/// How nodes come to their first epoch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Start {
    /// They wait for the group.
    Wait,
    /// After a while without the group, by the one that they saved.
    Saved,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// Nodes are killed, and started again after `for_s`.
    Kill,
    /// Nodes are told to end, and started again once they have.
    Restart,
    /// Nodes stand still for `for_s`.
    Stop,
    /// `factor` connections to each node that never say a word, for `for_s`.
    Crowd,
    /// App servers vanish without a word for `for_s` and come back cold.
    Lose,
    /// App servers end at once, resetting what they had, and come back cold after `for_s`.
    Crash,
    /// App servers are slower by `factor`.
    Slow,
    /// Another program takes the share `factor` of app servers, on and off.
    Neighbour,
    /// The share `factor` of requests at app servers fails.
    Errors,
    /// The share `factor` of answers is sent `slower_ms` late, and the share `garbled` breaks off.
    Gray,
    /// The share `factor` of answers is lost with its connection.
    Reset,
    /// App servers are drained, ended and started anew, in `steps` over `for_s`. What they start as fails the share
    /// `factor` of requests, until the next release.
    Release,
    /// App servers are drained and others started in their place, in `steps` over `for_s`; with `factor` as a release.
    Replace,
    /// Nothing passes between a zone and the others, or the one that it is cut from; connections stay up.
    Cut,
    /// All connections between a zone and the others break, once.
    BreakLinks,
    /// `factor` bytes a second pass each way between a zone and each other; messages wait in turn.
    Narrow,
    /// The list is silent.
    ListOutage,
    /// The list ends its watches and knows only what it knew `factor` versions ago; then it has all again.
    StaleList,
    /// Each second line of the list overtakes the one before.
    ReorderedList,
    /// The share `factor` of what nodes send to app servers is lost; of half of that the connection breaks.
    Uplink,
    /// Load grows by `factor`.
    Burst,
    /// Operators ask for the `policy`; they go on asking for `for_s` while nobody says what became of it.
    Policy,
    /// Replicas are killed, and started again after `for_s`.
    ReplicaKill,
    /// Replicas stand still for `for_s`.
    ReplicaStop,
    /// Replicas are told to end, and started again once they have.
    ReplicaRestart,
    /// All replicas are killed, and started again after `for_s`.
    GroupLost,
    /// Nothing passes between nodes and the replicas, both ways or one (`out` of the nodes, `in`to them).
    CutControl,
    /// Nothing passes between replicas and all others, nodes too, both ways or one.
    CutReplica,
    /// So many members as `factor` says, in the zones in turn, serve nothing and vote for the removal of app servers.
    Liar,
}

impl Trouble {
    /// It strikes replicas, by number from 1 on.
    pub fn of_replicas(self) -> bool {
        matches!(self, Self::ReplicaKill | Self::ReplicaStop | Self::ReplicaRestart | Self::CutReplica)
    }

    /// It strikes nodes.
    pub fn of_nodes(self) -> bool {
        matches!(
            self,
            Self::Kill | Self::Restart | Self::Stop | Self::Crowd | Self::Uplink | Self::CutControl
        )
    }

    /// It needs a control group.
    pub fn of_control(self) -> bool {
        self.of_replicas() || matches!(self, Self::Policy | Self::GroupLost | Self::CutControl | Self::Liar)
    }
}

/// One line of the timeline.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What happens.
    pub kind: Trouble,
    /// When, in seconds from the first client on.
    #[serde(deserialize_with = "figure")]
    pub at_s: f64,
    /// For how long.
    #[serde(default, deserialize_with = "figure")]
    pub for_s: f64,
    /// To whom: those of a zone ...
    pub zone: Option<String>,
    /// ... a share of them ...
    pub share: Option<f64>,
    /// ... or certain ones, by number.
    pub ids: Option<Vec<usize>>,
    /// How strongly.
    #[serde(default, deserialize_with = "figure_or_none")]
    pub factor: Option<f64>,
    /// In how many steps.
    pub steps: Option<usize>,
    /// How late a gray server answers.
    #[serde(default, deserialize_with = "figure_or_none")]
    pub slower_ms: Option<f64>,
    /// The share of answers that break off.
    #[serde(default, deserialize_with = "figure_or_none")]
    pub garbled: Option<f64>,
    /// Of a cut: only what goes `out` of the zone, or `in`to it; both where absent.
    pub way: Option<Way>,
    /// The other zone of a cut, or of narrow links; all others where absent.
    pub to: Option<String>,
    /// The policy that is asked for: settings' fields with their new values.
    pub policy: Option<serde_json::Map<String, serde_json::Value>>,
    /// The replica that leads when the fault begins, in place of `ids`.
    pub which: Option<Which>,
}

/// A replica by its part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Which {
    /// The one that leads.
    Leader,
}

/// One way of a link.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Way {
    /// From the zone to the others.
    Out,
    /// From the others to the zone.
    In,
}

/// What must hold; what is absent is not asked for. No rule may be broken in any case.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Hold {
    /// Share of the worth that is served within the aim, at least.
    pub served: Option<f64>,
    /// The same for the class that is served worst.
    pub worst_class: Option<f64>,
    /// The same for the worst 10 s.
    pub worst_window: Option<f64>,
    /// The same, as a share of what the oracle serves on this draw.
    pub of_oracle: Option<f64>,
    /// The 99th percentile of the time to an answer that is served, at most.
    pub p99_ms: Option<f64>,
    /// Attempts for each first try, at most.
    pub attempts: Option<f64>,
    /// Share of attempts that cross zones, at most.
    pub cross_zone: Option<f64>,
    /// The longest time from a fault's end until service is back.
    pub recover_s: Option<f64>,
    /// Attempts at the server that gets most of them, over the mean, in any 5 s, at most.
    pub spread: Option<f64>,
    /// Changes of policy that are committed: so many at least.
    pub committed: Option<f64>,
    /// Changes of policy that are aborted: just so many.
    pub aborted: Option<f64>,
    /// The longest time from asking for a change until it is active at each node, at most.
    pub active_ms: Option<f64>,
    /// The longest time for which two policies were in force, at most.
    pub mixed_ms: Option<f64>,
    /// The share of answers that refused for want of an agreed policy, at most.
    pub held: Option<f64>,
    /// The longest time for which nothing could be written after the leader was struck, at most.
    pub write_gap_ms: Option<f64>,
    /// Servers that votes removed while something was wrong with them: so many at least.
    pub removed: Option<f64>,
    /// Removals by votes of servers that nothing was wrong with, at most.
    pub wrong_removals: Option<f64>,
    /// The longest time from when something was wrong with a server until votes removed it, at most.
    pub remove_ms: Option<f64>,
    /// The longest time from when a removed server was mended until it was back, at most.
    pub return_ms: Option<f64>,
    /// Attempts that failed at servers that something was wrong with, at most.
    pub paid: Option<f64>,
}

/// Why a file can't be played: one line.
#[derive(Debug, Error)]
pub enum PlanError {
    /// It can't be read.
    #[error("{file}: can't be read: {source}")]
    Read {
        /// The file.
        file: String,
        /// Why not.
        source: std::io::Error,
    },
    /// It is no experiment: a key or a value that has no place in one.
    #[error("{file}:{line}: {field}: {words}")]
    Form {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The field's path.
        field: String,
        /// What is wrong.
        words: String,
    },
    /// A figure or a name that can't be played.
    #[error("{file}:{line}: {field}: {words}")]
    Figure {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The field's path.
        field: String,
        /// What is wrong.
        words: String,
    },
}

impl PlanError {
    /// What to do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Read { .. } => "name an experiment's file, such as experiments/calm.toml",
            Self::Form { .. } => "write the key as crates/lab/src/plan.rs has it",
            Self::Figure { .. } => "give it a value within the bounds named",
        }
    }
}

/// What can't be played: where it stands in the text, its field, and what is wrong.
struct Bad {
    at: usize,
    field: String,
    words: String,
}

fn bad<T>(at: usize, field: impl Into<String>, words: impl Into<String>) -> Result<T, Bad> {
    Err(Bad { at, field: field.into(), words: words.into() })
}

/// A field's path, without the names that a [`Spanned`] is read under.
fn field_of(path: &serde_path_to_error::Path) -> String {
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
    /// Reads a file.
    ///
    /// # Errors
    /// One line that names what can't be played.
    pub fn load(path: &Path) -> Result<Self, PlanError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::read(&file, &text),
            Err(source) => Err(PlanError::Read { file, source }),
        }
    }

    /// The same without the faults of some kinds.
    pub fn without(mut self, kinds: &[Trouble]) -> Self {
        self.faults.retain(|fault| !kinds.contains(&fault.get_ref().kind));
        self
    }

    /// Reads a file's text.
    ///
    /// # Errors
    /// As [`Plan::load`].
    pub fn read(file: &str, text: &str) -> Result<Self, PlanError> {
        let line = |at: usize| text.as_bytes().iter().take(at).filter(|b| **b == b'\n').count() + 1;
        let form = |field: String, e: &toml::de::Error| PlanError::Form {
            file: file.into(),
            line: line(e.span().map_or(0, |s| s.start)),
            field,
            words: e.message().replace('\n', " "),
        };
        let from = toml::Deserializer::parse(text).map_err(|e| form("the file".into(), &e))?;
        let plan: Self =
            serde_path_to_error::deserialize(from).map_err(|e| form(field_of(e.path()), e.inner()))?;
        plan.check().map_err(|Bad { at, field, words }| PlanError::Figure {
            file: file.into(),
            line: line(at),
            field,
            words,
        })?;
        Ok(plan)
    }

    /// The first thing that can't be played.
    fn check(&self) -> Result<(), Bad> {
        if self.schema != SCHEMA {
            return bad(0, "schema", format!("{SCHEMA} is known, not {}", self.schema));
        }
        let length = *self.length_s.get_ref();
        if !(length > 0.0 && length <= LENGTH_MOST) {
            let words = format!("{length} is not in 0 to {LENGTH_MOST}");
            return bad(self.length_s.span().start, "length_s", words);
        }
        self.check_fleet(self.fleet.span().start)?;
        self.check_figures()?;
        if let Some(control) = &self.control {
            let replicas = control.get_ref().replicas;
            if !(1..=REPLICAS_MOST).contains(&replicas) {
                let words = format!("1 to {REPLICAS_MOST} are possible, not {replicas}");
                return bad(control.span().start, "control.replicas", words);
            }
        }
        for (n, fault) in self.faults.iter().enumerate() {
            let kind = format!("{:?}", fault.get_ref().kind).to_lowercase();
            self.check_fault(fault.get_ref()).map_err(|(key, words)| Bad {
                at: fault.span().start,
                field: format!("fault[{n}].{key}"),
                words: format!("{kind}: {words}"),
            })?;
        }
        Ok(())
    }

    fn check_fleet(&self, at: usize) -> Result<(), Bad> {
        let fleet = self.fleet.get_ref();
        if fleet.zones.is_empty() || fleet.zones.len() > ZONES_MOST {
            let words = format!("1 to {ZONES_MOST} are possible, not {}", fleet.zones.len());
            return bad(at, "fleet.zones", words);
        }
        for (key, range, most) in
            [("fleet.nodes", fleet.nodes, NODES_MOST), ("fleet.servers", fleet.servers, SERVERS_MOST)]
        {
            let (least, largest) = range.bounds();
            if !(least >= 1.0 && largest <= most as f64) {
                return bad(at, key, format!("1 to {most} are possible"));
            }
        }
        share(at, "fleet.server_skew", fleet.server_skew)
    }

    fn check_figures(&self) -> Result<(), Bad> {
        let kind = self.server.get_ref();
        let at = self.server.span().start;
        if kind.cores == 0 || kind.cores > 256 {
            return bad(at, "server.cores", "1 to 256 are possible");
        }
        for (key, range) in [
            ("server.speed", kind.speed),
            ("server.cold_from", kind.cold_from),
            ("server.choke_slower", kind.choke_slower),
            ("server.connections_per_core", kind.connections_per_core),
        ] {
            if !(range.bounds().0 > 0.0 && range.bounds().1.is_finite()) {
                return bad(at, key, "must be above 0");
            }
        }
        for (key, range) in [
            ("server.cold_from", kind.cold_from),
            ("server.error_rate", kind.error_rate),
            ("server.drops_cancelled", kind.drops_cancelled),
            ("server.full_tax", kind.full_tax),
        ] {
            share(at, key, range)?;
        }
        let load = self.load.get_ref();
        let at = self.load.span().start;
        share(at, "load.zone_skew", load.zone_skew)?;
        share(at, "load.swing", load.swing)?;
        share(at, "load.guess_cv", load.guess_cv)?;
        let rate = load.per_s.unwrap_or(load.of_capacity).bounds();
        if !(rate.0 >= 0.0 && rate.1 <= 1e5) {
            return bad(at, "load", "the rate must be within 0 and 100000");
        }
        let at = self.classes.span().start;
        if self.classes.get_ref().is_empty() {
            return bad(at, "class", "one is needed at least");
        }
        for class in self.classes.get_ref() {
            let name = &class.name;
            let figures = [class.work_ms.bounds().0, class.aim_ms, class.deadline_ms, class.worth];
            if figures.iter().any(|v| !(*v > 0.0 && v.is_finite())) || class.share < 0.0 {
                let words = "work_ms, aim_ms, deadline_ms, worth must be above 0";
                return bad(at, format!("class {name}"), words);
            }
        }
        let clients = self.clients.get_ref();
        let at = self.clients.span().start;
        for (key, range) in [
            ("clients.try_share", clients.try_share),
            ("clients.honour", clients.honour),
            ("clients.impatient", clients.impatient),
        ] {
            share(at, key, range)?;
        }
        if !(0.0..=10.0).contains(&clients.retries.bounds().1) {
            return bad(at, "clients.retries", "0 to 10 are possible");
        }
        Ok(())
    }

    /// The key of a fault that can't be played, and why.
    fn check_fault(&self, fault: &Fault) -> Result<(), (&'static str, String)> {
        let length = *self.length_s.get_ref();
        let fail = |key: &'static str, words: String| Err((key, words));
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
        if let Some(to) = &fault.to {
            if !matches!(fault.kind, Trouble::Cut | Trouble::Narrow) {
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
            let without = !fault.kind.of_control();
            without.then_some(0)
        }) else {
            return fail("kind", "[control] is missing: there is no group that it could strike".into());
        };
        let (least, most) = match fault.kind {
            kind if kind.of_nodes() => (0, fleet.nodes.bounds().0 as usize - 1),
            kind if kind.of_replicas() => (1, replicas),
            _ => (0, fleet.servers.bounds().0 as usize - 1),
        };
        if let Some(id) = fault.ids.iter().flatten().find(|id| !(least..=most).contains(*id)) {
            return fail("ids", format!("{id} is not there; they count from {least} to {most}"));
        }
        if fault.which.is_some() && (!fault.kind.of_replicas() || fault.ids.is_some()) {
            return fail("which", "only for a replica, in place of ids".into());
        }
        match fault.kind {
            Trouble::Cut | Trouble::BreakLinks | Trouble::Narrow if fault.zone.is_none() => {
                fail("zone", "is missing".into())
            }
            Trouble::Policy if fault.policy.is_none() => fail("policy", "is missing".into()),
            Trouble::Narrow if !fault.factor.is_some_and(|f| f >= 1.0) => {
                fail("factor", "bytes a second expected, 1 at least".into())
            }
            Trouble::Crowd if !fault.factor.is_some_and(|f| (1.0..=CROWD_MOST).contains(&f)) => {
                fail("factor", format!("1 to {CROWD_MOST} connections expected"))
            }
            Trouble::Liar
                if !fault.factor.is_some_and(|f| f.fract() == 0.0 && (1.0..=LIARS_MOST).contains(&f)) =>
            {
                fail("factor", format!("a whole number of liars expected, 1 to {LIARS_MOST}"))
            }
            Trouble::Release | Trouble::Replace if fault.factor.is_some_and(|f| f > 1.0) => {
                fail("factor", "a share from 0 to 1 expected".into())
            }
            Trouble::StaleList if !fault.factor.is_some_and(|f| f >= 1.0 && f.fract() == 0.0) => {
                fail("factor", "a whole number of versions expected, 1 at least".into())
            }
            Trouble::Slow | Trouble::Burst if !fault.factor.is_some_and(|f| f > 0.0 && f <= 1000.0) => {
                fail("factor", "a figure above 0 expected".into())
            }
            Trouble::Neighbour | Trouble::Errors | Trouble::Gray | Trouble::Reset | Trouble::Uplink
                if !fault.factor.is_some_and(|f| (0.0..=1.0).contains(&f)) =>
            {
                fail("factor", "a share from 0 to 1 expected".into())
            }
            _ => Ok(()),
        }
    }
}

fn share(at: usize, key: &str, range: Range) -> Result<(), Bad> {
    let (least, most) = range.bounds();
    if least >= 0.0 && most <= 1.0 {
        Ok(())
    } else {
        bad(at, key, "a share from 0 to 1 expected")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn words(text: &str) -> String {
        Plan::read("x.toml", &format!("schema = 1\nname = \"x\"\nlength_s = 10\n{text}"))
            .expect_err("can't be played")
            .to_string()
    }

    #[test]
    fn the_experiments_can_be_played_and_hold_mixed_policies_to_what_their_replicas_promise() {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
        let files: Vec<_> =
            std::fs::read_dir(folder).expect("there").map(|f| f.expect("a file").path()).collect();
        assert!(files.len() > 20, "{files:?}");
        for file in files {
            let plan = Plan::load(&file).unwrap_or_else(|e| panic!("{e}"));
            let promised = plan.control.as_ref().map(|c| c.get_ref().mixed_ms());
            if let Some(held) = plan.hold.get_ref().mixed_ms {
                assert_eq!(Some(held), promised, "{}", file.display());
            }
        }
    }

    #[test]
    fn what_can_t_be_played_is_told_with_file_line_and_key() {
        assert!(words("[load]\nrats = 3\n").starts_with("x.toml:5: load.rats: unknown field `rats`"));
        let fault = |rest: &str| words(&format!("[[fault]]\nkind = \"cut\"\nat_s = 2\n{rest}"));
        assert_eq!(
            fault("zone = \"nowhere\"\n"),
            "x.toml:4: fault[0].zone: cut: nowhere is not in fleet.zones"
        );
        assert_eq!(fault("for_s = 9\n"), "x.toml:4: fault[0].for_s: cut: it ends after the 10 s of the run");
        assert!(words("[server]\ncores = 0\n").contains("server.cores"));
        assert!(words("[server]\nspeed = inf\n")
            .contains("x.toml:5: server.speed: inf is not within 0 and 1000000"));
        assert!(words("[server]\nspeed = [2, 1]\n").contains("the least comes first"));
        assert!(words("[clients]\nmax_retry_after_ms = -1\n")
            .contains("x.toml:5: clients.max_retry_after_ms: -1 is not within"));
        assert!(words("[server]\nspeed = \"fast\"\n").contains("a number or [least, most] expected"));
        assert!(words("[fleet]\nnodes = 4000\n").contains("fleet.nodes: 1 to 400"));
        assert!(words("[[fault]]\nkind = \"slow\"\nat_s = 1\n").contains("factor"));
        assert!(words("[[fault]]\nkind = \"stop\"\nids = [7]\nat_s = 1\n")
            .contains("fault[0].ids: stop: 7 is not there"));
        assert!(words("[control]\nreplicas = 9\n").contains("x.toml:4: control.replicas: 1 to 7"));
        let lost = "[[fault]]\nkind = \"group-lost\"\nat_s = 1\n";
        assert!(words(lost).contains("fault[0].kind: grouplost: [control] is missing"));
        let of = |more: &str| words(&format!("[control]\n[[fault]]\nat_s = 1\n{more}"));
        assert!(of("kind = \"replica-kill\"\nids = [0]\n").contains("they count from 1 to 3"));
        assert!(of("kind = \"kill\"\nwhich = \"leader\"\n").contains("fault[0].which: kill: only for"));
        assert!(
            of("kind = \"liar\"\nfactor = 99\n").contains("fault[0].factor: liar: a whole number of liars")
        );
        assert!(of("kind = \"cut\"\nzone = \"maipu\"\nto = \"maipu\"\n")
            .contains("fault[0].to: cut: maipu is not"));
        assert!(of("kind = \"policy\"\n").contains("fault[0].policy: policy: is missing"));
        assert!(Plan::read("x.toml", "schema = 2\nname = \"x\"\nlength_s = 1").is_err());
    }
}
