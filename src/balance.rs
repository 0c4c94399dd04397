//! The decision logic of a node; its interface is `src/api.rs`.
//!
//! Requests go out by smooth weighted round robin over the servers sorted by id, starting at the node's own
//! offset: one turn per send, whatever the load. A server that is not ready loses its turn and keeps its
//! place. The rest decides who is ready, and when attempts end or are repeated and requests refused.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::SplitMix64;

use crate::api::*;

/// Part of a cold server's budget that is used; the rest absorbs chance and uneven traffic between nodes.
const SLOW_START_BUDGET_SHARE: f64 = 0.5;
/// Nodes per server in a large fleet: their uneven traffic averages out, and each sees the server often.
const NODES_PER_SERVER: usize = 8;
/// With two servers there is still a rotation, and one server left when the other fails.
const MIN_SUBSET: usize = 2;

/// Number of steps in which the subset is adapted while its servers warm up.
const WARMUP_STEPS: f64 = 32.0;

/// Target for the average latency, as a part of the class's `slo`; above it too many answers are late.
const TARGET_RATIO: f64 = 0.35;
/// Latency recorded for an answer that came late or never, as a part of the SLO.
const LATE_RATIO: f64 = 1.25;
/// Latency recorded for an attempt cut off at its SLO: it would have taken about as long again.
const CUT_OFF_RATIO: f64 = 2.0;
/// A timeout after less than the SLO divided by this had little time and says little about its server.
const CONCLUSIVE_TIMEOUT_DIVISOR: f64 = 2.0;
/// Effect of one answer on its server's limit, and the decay per answer of a limit that is far from reached.
const LIMIT_GAIN: f64 = 0.25;
const LIMIT_DECAY: f64 = 0.02;
/// Latency, as a part of the SLO, above which an answer indicates that its server gets too many turns.
const TURN_SHARE_THRESHOLD: f64 = 0.25;
/// Effect of one answer on the learned turn share of its server, and the decay of that share per answer.
const TURN_SHARE_GAIN: f64 = 0.05;
const TURN_SHARE_DECAY: f64 = 0.005;
/// Weight of one answer in the base latency of its class on its kind of machine.
const BASE_LATENCY_GAIN: f64 = 0.02;
/// Initial limit on all nodes' attempts at a server together, where fewer nodes than this share the server.
const INITIAL_LIMIT: f64 = 8.0;
/// Lower bound of one node's limit. Below 1 the node pauses between its attempts.
const MIN_LIMIT: f64 = 0.05;
/// Used instead of `INITIAL_LIMIT` where at least that many nodes share a server. It is lower, as many nodes
/// that may each send at once overload a server before any sees an answer.
const CROWDED_INITIAL_LIMIT: f64 = 5.0;
/// Upper bound of the fleet factor. The range above 1 keeps a few late answers from reducing limits.
const MAX_FLEET_FACTOR: f64 = 2.0;
/// Part of its SLO for which a request may be queued at the node: in a burst, and in a lasting overload.
const MAX_QUEUE_FRACTION: f64 = 0.25;
const OVERLOAD_QUEUE_FRACTION: f64 = 0.1;

/// A try with this part of the longest time seen was not cut short; the rest is transit time.
const FULL_TRY_FRACTION: f64 = 0.98;
/// Part of the SLO that the client of a refused request is told to wait.
const RETRY_AFTER_FRACTION: f64 = 0.25;

/// Time over which the worth requested and served is averaged.
const SERVICE_WINDOW: Millis = 60_000.0;
/// Difference in served share within which a class or tenant counts nearly as much as the worst-served one.
const WORST_SERVED_MARGIN: f64 = 0.05;

/// The decision module of one node.
pub struct Balancer {
    settings: Arc<Settings>,
    /// Interval between sweeps over the queue; short enough for the SLO of every request in it.
    sweep_interval: Millis,
    rng: SplitMix64,
    now: Millis,
    servers: BTreeMap<ServerId, Server>,
    /// Servers disabled by operators, listed or not.
    disabled: BTreeSet<ServerId>,
    /// Verdicts on servers, listed or not: whether this node probes the server, and when the verdict lapses.
    verdicts: BTreeMap<ServerId, (bool, Millis)>,
    last_group_contact: Millis,
    /// All servers that are up and not disabled, in this node's order of preference.
    preference: Vec<ServerId>,
    /// The servers of the rotation, sorted, and when they were chosen.
    subset: Vec<ServerId>,
    chosen_at: Millis,
    requests: BTreeMap<RequestId, Request>,
    queue: Vec<RequestId>,
    /// Time of the last turn, on the rotation's own scale, and the server that had it.
    cursor: f64,
    cursor_server: Option<ServerId>,
    /// Since when the queue has not been empty.
    queue_since: Option<Millis>,
    /// When a request was last refused because no server had capacity for it.
    last_shed: Millis,
    class_stats: Vec<ClassStats>,
    tenant_stats: Vec<TenantStats>,
    /// Factor applied to all limits where it is below 1: how far the fleet as a whole has slowed down.
    fleet_factor: f64,
    /// Requests answered per second and unit of server size; arrivals stand in until the first answer.
    service_rate: Rate,
    arrivals: Rate,
    /// For each kind of machine, the latency of each class on a server with no other attempt of this node.
    base_latency: BTreeMap<u64, Vec<Millis>>,
    actions: Vec<Action>,
    /// When the timer set last is due, and when time-driven work was last done.
    timer_due: Millis,
    last_sweep: Millis,
    subscription: Subscription,
}

/// A listed server and what this node has observed of it.
#[derive(Default)]
struct Server {
    entry: Entry,
    /// Size according to the list, the operators' weight for it, and a learned correction.
    size: f64,
    weight: f64,
    turn_share: f64,
    /// When its next turn comes on that scale, the lowest first; and its turn fraction when that was set.
    next_turn: f64,
    fraction: f64,
    /// This node's outstanding attempts: request and attempt number.
    in_flight: Vec<(RequestId, usize)>,
    /// Limit on this node's concurrent attempts, before the fleet factor.
    limit: f64,
    last_sent: Millis,
    last_latency: Millis,
    /// Timeouts and errors in a row.
    consecutive_failures: u32,
    /// Refused and broken connections in a row, and when the first of them occurred.
    connection_failures: u32,
    failing_since: Millis,
    ejections: u32,
    /// Set while ejected: when it is next probed.
    ejected_until: Option<Millis>,
    /// Ejected for refused or broken connections: its process will be cold when it returns.
    down: bool,
    probing: bool,
    /// Failed like an ejected server while removal is left to votes; cleared by a success.
    suspect: bool,
    /// Set while removed by the group: whether this node probes it.
    removal: Option<bool>,
    /// Evidence in two halves of the evidence window, each with the number of its half.
    evidence: [(i64, Evidence); 2],
    /// The part of `evidence` since the last success.
    failure_run: [(i64, Evidence); 2],
    /// When it came back from an apparent restart.
    restart: Option<Millis>,
    /// Random fraction, 0 to 1, by which the first send is delayed while the server is cold.
    stagger: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Body {
    /// Held at the node as a whole, for any number of attempts.
    Buffered,
    /// Forwarded as it arrives, for one attempt; the server has no work from it before it is complete.
    Streaming,
    /// Forwarded completely.
    Streamed,
}

struct Request {
    /// The settings in force when it arrived; they apply until it ends.
    settings: Arc<Settings>,
    body: Body,
    work: Option<Millis>,
    class: usize,
    /// Its tenant, if the request is within that tenant's quota.
    tenant: Option<usize>,
    worth: f64,
    /// When the client first asked, derived from its deadline; and when this try arrived.
    asked_at: Millis,
    arrived: Millis,
    deadline: Millis,
    attempts: Vec<Attempt>,
    streaming: bool,
}

#[derive(Clone)]
struct Attempt {
    /// The server as listed when the attempt was sent.
    entry: Entry,
    sent_at: Millis,
    /// At least half the limit was in use, with it; at a limit below 1: sent within two pauses of the last.
    near_limit: bool,
    /// This node had no other attempt in flight at the server.
    only_at_server: bool,
    outcome: Option<Outcome>,
}

#[derive(Default)]
struct ClassStats {
    latency: Millis,
    /// Mean of the clients' work estimates for requests that were answered.
    mean_work: Millis,
    answers: u32,
    /// Mean latency above `TURN_SHARE_THRESHOLD`, as a part of the SLO.
    mean_excess: f64,
    /// The longest time left that a request had on arrival.
    max_left: Millis,
    /// Retries that may still be sent.
    retry_budget: f64,
    service: ServiceShare,
}

#[derive(Default)]
struct TenantStats {
    /// This node's part of the quota still available, in requests, and when that was computed.
    remaining: f64,
    updated_at: Millis,
    service: ServiceShare,
}

/// An exponentially decaying rate.
#[derive(Default)]
struct Rate {
    per_s: f64,
    updated_at: Millis,
}

#[derive(Default)]
struct ServiceShare {
    requested: Rate,
    served: Rate,
}

#[derive(PartialEq)]
enum Subscription {
    /// Not needed, or established.
    Idle,
    /// Requested at this time, after this many failures.
    Pending(Millis, u32),
    /// To be requested at this time, after this many failures.
    Due(Millis, u32),
}

/// Uniform in [0, 1).
fn uniform(rng: &mut SplitMix64) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

impl Rate {
    fn add(&mut self, now: Millis, window: Millis, amount: f64) {
        self.per_s = self.at(now, window) + amount * 1000.0 / window.max(1.0);
        self.updated_at = now;
    }

    fn at(&self, now: Millis, window: Millis) -> f64 {
        self.per_s * (-(now - self.updated_at).max(0.0) / window.max(1.0)).exp()
    }
}

impl ClassStats {
    /// How long ago the client first asked. A client that returns after a refusal still gives up when its
    /// first try's time ends; the longest time left ever seen in the class is that of a new request. Where
    /// clients may repeat what they gave up, a try cut short by the deadline tells when they first asked.
    fn request_age(&mut self, class: &Class, left: Millis, is_retry: bool) -> Millis {
        self.max_left = self.max_left.max(if left.is_finite() { left } else { f64::NEG_INFINITY });
        let max = self.max_left;
        match class.idempotency {
            Idempotency::Safe | Idempotency::Keyed { scope: DedupScope::All, .. } => match class.deadline {
                all if !is_retry || all.is_infinite() => 0.0,
                all if left < FULL_TRY_FRACTION * max => (all - left).max(0.0),
                // First asked between now and the moment from which the try would have been cut short.
                all => ((all - max) / 2.0).max(0.0),
            },
            _ => (max - left).max(0.0),
        }
    }
}

impl Server {
    fn new(entry: Entry, weight: f64) -> Self {
        let (next_turn, limit, last_sent) = (f64::NAN, f64::NAN, f64::NEG_INFINITY);
        Self { entry, weight, turn_share: 1.0, next_turn, fraction: 1.0, limit, last_sent, ..Self::default() }
    }

    /// Discards what was observed of the previous process.
    fn reset_observations(&mut self, restart: Option<Millis>) {
        (self.consecutive_failures, self.connection_failures, self.ejections) = (0, 0, 0);
        (self.ejected_until, self.restart, self.next_turn) = (None, restart, f64::NAN);
        (self.suspect, self.evidence, self.failure_run) = Default::default();
        self.limit = if restart.is_some() { f64::NAN } else { self.limit };
    }

    fn is_excluded(&self) -> bool {
        self.ejected_until.is_some() || self.removal == Some(false)
    }

    /// Neither ejected, suspect nor removed by the group, so that only warm-up reduces its turns.
    fn is_healthy(&self) -> bool {
        self.ejected_until.is_none() && !self.suspect && self.removal.is_none()
    }

    fn recent_evidence(&self, half: i64) -> Evidence {
        let recent = self.evidence.iter().filter(|(at, _)| *at == half || *at == half - 1);
        recent.fold(Evidence::default(), |sum, (_, more)| sum.combined(more))
    }

    /// The limit on this node's attempts, after the fleet factor and the lower bound.
    fn usable_limit(&self, fleet_factor: f64, min_limit: f64) -> f64 {
        (self.limit * fleet_factor.min(1.0)).max(min_limit)
    }

    /// Lower bound of its available capacity, from 0 to 1, by the time since its start.
    fn warmth(&self, now: Millis, rules: &Rules) -> f64 {
        let start = self.entry.started_at.into_iter().chain(self.restart).fold(f64::NEG_INFINITY, f64::max);
        let age = (now - start).max(0.0);
        if age >= rules.warmup_time {
            return 1.0;
        }
        rules.cold_capacity + (1.0 - rules.cold_capacity) * age / rules.warmup_time
    }

    /// The part of its turns that it gets. Votes cover the whole server, as all classes share one rotation.
    fn turn_fraction(&self, now: Millis, settings: &Settings) -> f64 {
        let max = settings.votes.as_ref().filter(|_| !self.is_healthy()).map_or(1.0, |v| v.trickle_share);
        self.warmth(now, &settings.rules).min(max)
    }
}

impl Request {
    fn new(settings: Arc<Settings>, now: Millis, class: usize, deadline: Millis) -> Self {
        let (body, work, tenant, worth, streaming) = (Body::Buffered, None, None, 0.0, false);
        let (asked_at, arrived, attempts) = (now, now, Vec::new());
        Self { settings, body, work, class, tenant, worth, asked_at, arrived, deadline, attempts, streaming }
    }

    /// Rule 2, applied to every further attempt and every refusal: is it harmless given what is known of the
    /// earlier attempts? `to` is the server to send to, `None` for a refusal.
    fn may_repeat(&self, now: Millis, to: Option<&Entry>) -> bool {
        let limits = &self.settings.limits;
        let mut executed = self.attempts.iter().filter(|a| !a.outcome.is_some_and(Outcome::never_ran));
        if to.is_some() {
            let max_attempts = if self.body == Body::Buffered { limits.max_attempts } else { 1 };
            if self.attempts.len() >= max_attempts || (self.has_outstanding() && !limits.hedging) {
                return false;
            }
        }
        match self.class().idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => executed.next().is_none(),
            Idempotency::Keyed { scope, dedup_window } => executed.all(|a| match (scope, to) {
                (_, Some(_)) if now - a.sent_at >= dedup_window => false,
                (DedupScope::All, _) => true,
                (DedupScope::Zone, to) => to.is_some_and(|to| to.zone == a.entry.zone),
                (DedupScope::Cell, to) => to.is_some_and(|to| to.cell == a.entry.cell),
            }),
        }
    }

    fn class(&self) -> &Class {
        &self.settings.classes[self.class]
    }

    /// Until when an answer has its full worth, less the way back to the client.
    fn full_worth_until(&self) -> Millis {
        (self.asked_at + self.class().slo - self.settings.tick).min(self.deadline).min(self.key_known_until())
    }

    fn worth_until(&self) -> Millis {
        if self.class().late_worth > 0.0 {
            self.deadline.min(self.key_known_until())
        } else {
            self.full_worth_until()
        }
    }

    /// Until when servers surely know the key of what may have run: further attempts must end by then.
    fn key_known_until(&self) -> Millis {
        let Idempotency::Keyed { dedup_window, .. } = self.class().idempotency else { return f64::INFINITY };
        let executed = self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran));
        executed.map_or(f64::INFINITY, |a| a.sent_at + dedup_window - self.settings.tick)
    }

    /// Latency as a part of the SLO, as it counts for the server.
    fn latency_ratio(&self, outcome: Outcome, elapsed: Millis) -> Option<f64> {
        let part = elapsed / self.class().slo;
        match outcome {
            Outcome::Success => Some(part.min(LATE_RATIO)),
            // Cut off when an answer had no more worth. An attempt that had little time says little.
            Outcome::TimedOut if self.class().late_worth == 0.0 => Some(CUT_OFF_RATIO * part.min(1.0)),
            Outcome::TimedOut | Outcome::Rejected => Some(LATE_RATIO),
            _ => None,
        }
    }

    /// Whether votes permit it: a removed server is probed only with what can be repeated elsewhere.
    fn may_probe(&self, to: &Server) -> bool {
        let safe = matches!(
            self.class().idempotency,
            Idempotency::Safe | Idempotency::Keyed { scope: DedupScope::All, .. }
        );
        let first = self.attempts.is_empty() && self.settings.limits.max_attempts > 1;
        to.removal.is_none() || (safe && first && self.body == Body::Buffered)
    }

    fn has_outstanding(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }

    fn cancel_actions(&self, id: RequestId) -> impl Iterator<Item = Action> + '_ {
        let cancel = self.settings.limits.cancel;
        let open = self.attempts.iter().enumerate().filter(move |(_, a)| cancel && a.outcome.is_none());
        open.map(move |(attempt, _)| Action::Cancel { id, attempt })
    }
}

impl Balancer {
    /// A node at its start. `seed` is for its random numbers and should differ between nodes.
    ///
    /// # Errors
    /// Invalid settings, see [`Settings::check`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let wanted = settings.discovery == Discovery::Subscribed;
        let subscription = if wanted { Subscription::Due(f64::NEG_INFINITY, 0) } else { Subscription::Idle };
        let max_left = f64::NEG_INFINITY;
        let retry_budget = settings.retry_budget.max;
        let class =
            |c: &Class| ClassStats { latency: c.slo / 4.0, max_left, retry_budget, ..ClassStats::default() };
        let tenant = |_| TenantStats { updated_at: f64::NEG_INFINITY, ..TenantStats::default() };
        Ok(Self {
            sweep_interval: settings.sweep_interval(),
            class_stats: settings.classes.iter().map(class).collect(),
            tenant_stats: settings.tenants.iter().map(tenant).collect(),
            settings: Arc::new(settings),
            rng: SplitMix64::seed_from_u64(seed),
            now: 0.0,
            servers: BTreeMap::new(),
            disabled: BTreeSet::new(),
            verdicts: BTreeMap::new(),
            last_group_contact: f64::NEG_INFINITY,
            preference: Vec::new(),
            subset: Vec::new(),
            chosen_at: f64::NEG_INFINITY,
            requests: BTreeMap::new(),
            queue: Vec::new(),
            cursor: 0.0,
            cursor_server: None,
            queue_since: None,
            last_shed: f64::NEG_INFINITY,
            fleet_factor: 1.0,
            service_rate: Rate::default(),
            arrivals: Rate::default(),
            base_latency: BTreeMap::new(),
            actions: Vec::new(),
            timer_due: f64::INFINITY,
            last_sweep: f64::NEG_INFINITY,
            subscription,
        })
    }

    /// Handles one event and appends the resulting actions, in order. `now` never decreases.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { entries, saved } => self.on_list(entries, !saved, true),
            Event::ListChange(entries) => self.on_list(entries, true, false),
            Event::ListFailed => self.on_list_failed(),
            Event::Disable(server) => {
                self.disabled.insert(server);
                self.update_members();
            }
            Event::Enable { server, enabled_at } => self.on_enabled(server, enabled_at),
            Event::Verdicts(verdicts) => self.on_verdicts(verdicts),
            Event::Policy(settings) => self.on_policy(*settings),
            Event::Request { id, class, tenant, deadline, streaming_body, is_retry, estimated_work } => {
                let body = if streaming_body { Body::Streaming } else { Body::Buffered };
                let new = Request::new(self.settings.clone(), now, class, deadline);
                self.on_request(id, Request { body, tenant, work: estimated_work, ..new }, is_retry);
            }
            Event::BodyComplete { id, deadline } => self.on_body_complete(id, deadline),
            Event::Streaming { id, attempt } => self.on_streaming(id, attempt),
            Event::AttemptEnded { id, attempt, server, outcome, elapsed, answered } => {
                let elapsed = if elapsed.is_finite() { elapsed.max(0.0) } else { 0.0 };
                if self.is_outstanding(id, attempt, server) {
                    self.end_attempt((id, attempt), server, outcome, elapsed);
                    self.on_ended(id, attempt, outcome, elapsed, answered);
                }
            }
            Event::ProbeEnded { server, outcome, .. } => self.on_probe_ended(server, outcome),
            Event::ClientGone(id) => drop(self.remove_request(id)),
            Event::Timer => {}
        }
        if now >= self.next_due() {
            self.sweep();
        }
        // Timers cost CPU time, of which a node has little: one is set only when something will be due.
        let due = self.next_due().max(now + self.settings.tick.max(1.0));
        if due.is_finite() && (now >= self.timer_due || due < self.timer_due) {
            self.timer_due = due;
            self.actions.push(Action::SetTimer(due - now));
        }
        actions.append(&mut self.actions);
    }

    /// How this node's servers and requests are doing, for logs.
    pub fn status(&self) -> Status {
        let count = |of: &dyn Fn(&Server) -> bool| self.rotation().filter(|s| of(s)).count();
        Status {
            queued: self.queue.len(),
            in_flight: self.rotation().map(|s| s.in_flight.len()).sum(),
            busy_servers: count(&|s| !s.in_flight.is_empty()),
            servers: self.subset.len(),
            ejected: count(&|s| s.ejected_until.is_some()),
            down: count(&|s| s.ejected_until.is_some() && s.down),
            cold: count(&|s| s.warmth(self.now, &self.settings.rules) < 1.0),
            total_limit: self.rotation().map(|s| s.limit).sum(),
            fleet_factor: self.fleet_factor,
        }
    }

    /// The number of listed servers that get no requests now: disabled, ejected or removed.
    pub fn unavailable_servers(&self) -> usize {
        let listed = self.servers.iter().filter(|(_, s)| s.entry.state != ServerState::Gone);
        listed.filter(|(id, s)| s.is_excluded() || self.disabled.contains(id)).count()
    }

    /// This node's ballots on its servers, for the group to count.
    pub fn ballots(&self) -> BallotReport {
        let Some(votes) = &self.settings.votes else { return BallotReport::default() };
        let up = self.servers.values().filter(|s| s.entry.state == ServerState::Up);
        let seen = up.clone().map(|s| (s.entry.server, s.recent_evidence(votes.half_window(self.now))));
        let ballot = |(server, evidence): (ServerId, Evidence)| {
            let failed =
                f64::from(evidence.failures()) >= votes.failure_threshold * f64::from(evidence.attempts);
            LocalBallot { server, vote: if failed { Vote::For } else { Vote::Against }, evidence }
        };
        let ballots: Vec<_> = seen.filter(|(_, e)| e.attempts >= votes.min_attempts).map(ballot).collect();
        // Of two servers that a node shares, one may be bad.
        let max_removals = (votes.self_doubt_threshold * ballots.len() as f64).max(1.0);
        let self_doubt = ballots.iter().filter(|b| b.vote == Vote::For).count() as f64 > max_removals;
        let panic_mode =
            self.servers.iter().any(|(id, s)| s.removal.is_none() && self.verdicts.contains_key(id));
        let (isolated, suspects) = (self.active_votes().is_none(), up.filter(|s| s.suspect).count());
        BallotReport { self_doubt, panic_mode, isolated, suspects, ballots }
    }

    /// The vote settings while the group is in contact: no server is then ejected on own evidence alone.
    fn active_votes(&self) -> Option<&VoteSettings> {
        self.settings.votes.as_ref().filter(|v| self.now - self.last_group_contact < v.contact_timeout)
    }

    fn next_due(&self) -> Millis {
        let subscription = match self.subscription {
            Subscription::Idle => f64::INFINITY,
            Subscription::Due(at, _) => at.max(0.0),
            Subscription::Pending(at, _) => at + self.settings.rules.discovery_deadline,
        };
        let queue = if self.queue.is_empty() { f64::INFINITY } else { self.last_sweep + self.sweep_interval };
        let probes = self.rotation().filter(|s| !s.probing).filter_map(|s| s.ejected_until);
        let lapses = self.verdicts.values().map(|(_, lapse)| *lapse);
        probes.chain(lapses).fold(subscription.min(queue).min(self.next_warmup_step()), f64::min)
    }

    /// When the subset is next adapted to the warm-up of its servers.
    fn next_warmup_step(&self) -> Millis {
        let step = self.settings.rules.warmup_time / WARMUP_STEPS;
        self.rotation().find(|s| s.fraction < 1.0).map_or(f64::INFINITY, |_| self.chosen_at + step)
    }

    /// Requests already here keep the settings they arrived under.
    fn on_policy(&mut self, new: Settings) {
        if self.settings.check_update(&new).is_err() {
            return;
        }
        for tenant in 0..self.tenant_stats.len() {
            // Accrued under the old quota; what exceeds the new maximum is cut at the next use.
            (self.tenant_stats[tenant].remaining, self.tenant_stats[tenant].updated_at) =
                (self.quota_left(tenant), self.now);
        }
        for (stats, class) in self.class_stats.iter_mut().zip(&new.classes) {
            // Otherwise new requests would be taken for old ones.
            stats.max_left = stats.max_left.min(class.deadline);
            stats.retry_budget = stats.retry_budget.min(new.retry_budget.max);
        }
        for (id, server) in self.servers.iter_mut().filter(|(id, s)| s.weight != new.server_weight(**id)) {
            // The part of the round that it has already waited is kept.
            let was = std::mem::replace(&mut server.weight, new.server_weight(*id));
            server.next_turn = self.cursor + (server.next_turn - self.cursor) * was / server.weight;
        }
        self.sweep_interval = self.sweep_interval.min(new.sweep_interval());
        self.settings = Arc::new(new);
        if self.settings.votes.is_none() {
            self.verdicts.values_mut().for_each(|(_, lapse)| *lapse = self.now);
        }
    }

    fn on_list(&mut self, entries: Vec<Entry>, answer: bool, whole: bool) {
        if answer {
            self.subscription = Subscription::Idle;
        }
        if whole {
            for server in self.servers.values_mut() {
                server.entry.state = ServerState::Gone;
            }
        }
        for mut entry in entries {
            entry.weight = Some(entry.weight).filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0);
            // Live weights fall with the load of some time ago: the highest one listed is the size.
            let weight = self.settings.server_weight(entry.server);
            let server =
                self.servers.entry(entry.server).or_insert_with(|| Server::new(entry.clone(), weight));
            server.size = match self.settings.weights {
                Weights::Static => entry.weight,
                Weights::Live => entry.weight.max(server.size),
                Weights::None => 1.0,
            };
            if entry.started_at != server.entry.started_at {
                // The group's verdict was about the previous process.
                server.reset_observations(None);
                self.verdicts.remove(&entry.server);
            }
            if server.entry.state != ServerState::Up {
                server.next_turn = f64::NAN;
            }
            server.entry = entry;
        }
        // Servers with outstanding attempts are kept to receive their outcomes.
        self.servers.retain(|_, s| s.entry.state != ServerState::Gone || !s.in_flight.is_empty());
        self.update_members();
    }

    /// The server was restarted, so it is cold and new to the rotation.
    fn on_enabled(&mut self, id: ServerId, restart: Millis) {
        self.disabled.remove(&id);
        if let Some(server) = self.servers.get_mut(&id) {
            server.reset_observations(Some(restart));
        }
        self.update_members();
    }

    /// Own evidence may pause a server briefly; all else is the group's decision once it is in contact.
    fn on_verdicts(&mut self, verdicts: Vec<ServerVerdict>) {
        let Some(votes) = &self.settings.votes else { return };
        for server in self.servers.values_mut().filter(|s| !s.suspect && s.ejected_until.is_some()) {
            (server.suspect, server.probing, server.ejected_until) =
                (true, false, Some(self.now + votes.suspect_pause));
        }
        // Without news verdicts lapse one by one: if all servers returned at once, so would their failures.
        let mut lapse = || self.now + votes.contact_timeout * (1.0 + uniform(&mut self.rng));
        self.verdicts = verdicts.iter().map(|r| (r.server, (r.probe, lapse()))).collect();
        self.last_group_contact = self.now;
        self.update_members();
    }

    /// Updates order, removals, limits and subset when servers go up or down, are disabled or removed.
    fn update_members(&mut self) {
        let up =
            |(id, s): &(&ServerId, &Server)| s.entry.state == ServerState::Up && !self.disabled.contains(id);
        let members: Vec<_> = self.servers.iter().filter(up).map(|(id, _)| *id).collect();
        let mut known = self.preference.clone();
        known.sort_unstable();
        if members != known {
            self.preference = self.preference_order(&members);
        }
        // Where too few would be left, the votes are more likely wrong than the servers bad.
        let listed = self.servers.values().filter(|s| s.entry.state != ServerState::Gone).count();
        let left = members.iter().filter(|id| !self.verdicts.contains_key(id)).count();
        for (id, server) in &mut self.servers {
            let removal = self.verdicts.get(id).filter(|_| 2 * left >= listed).map(|(probe, _)| *probe);
            let was = std::mem::replace(&mut server.removal, removal);
            if was != removal && removal != Some(false) {
                server.reset_observations(Some(self.now));
            }
        }
        let limit = self.initial_limit();
        for server in self.servers.values_mut().filter(|s| s.limit.is_nan()) {
            server.limit = limit;
        }
        self.choose_subset();
    }

    fn on_list_failed(&mut self) {
        if self.settings.discovery == Discovery::Subscribed {
            let failures =
                if let Subscription::Pending(_, failures) = self.subscription { failures + 1 } else { 1 };
            // Jittered, as nodes cut off together must not return together; well within the deadline.
            let delay = (self.settings.rules.discovery_deadline / 40.0) * f64::from(1u32 << failures.min(4));
            self.subscription =
                Subscription::Due(self.now + delay * (0.5 + 0.5 * uniform(&mut self.rng)), failures);
        }
    }

    fn rotation(&self) -> impl Iterator<Item = &Server> + Clone {
        self.subset.iter().filter_map(|id| self.servers.get(id))
    }

    /// The number of warm servers in the rotation: all, unless that means more nodes per server than wanted,
    /// as connections and the traffic needed to observe each server grow with both.
    fn subset_size(&self, up: usize) -> usize {
        (NODES_PER_SERVER * up).div_ceil(self.settings.node_count).max(MIN_SUBSET).min(up)
    }

    fn nodes_per_server(&self) -> f64 {
        let up = self.preference.len().max(1);
        (self.settings.node_count * self.subset_size(up)) as f64 / up as f64
    }

    /// The factor by which more nodes than wanted share a server, as subsets have a lower bound. With pauses
    /// and minimum limits per node, the nodes' trial sends alone would keep a slow server from recovering.
    fn crowding(&self) -> f64 {
        (self.nodes_per_server() / NODES_PER_SERVER as f64).max(1.0)
    }

    fn initial_limit(&self) -> f64 {
        let nodes = self.nodes_per_server().max(1.0);
        (if nodes < INITIAL_LIMIT { INITIAL_LIMIT } else { CROWDED_INITIAL_LIMIT }) / nodes
    }

    fn min_limit(&self) -> f64 {
        MIN_LIMIT / self.crowding()
    }

    /// This node's order of preference among the sorted `members`. As in Maglev, the servers take turns to
    /// claim the next free slot of their own pseudo-random sequences in a table that all nodes fill alike;
    /// each gets an equal part and keeps most of it when the list changes. Nodes read it from offsets of
    /// their own, so the heads of their orders cover the fleet evenly.
    fn preference_order(&self, members: &[ServerId]) -> Vec<ServerId> {
        if self.subset_size(members.len()) == members.len() {
            return members.to_vec();
        }
        let len = (MIN_SUBSET * self.settings.node_count).max(MIN_SUBSET * members.len().next_power_of_two());
        // Ids may be close together: sequences are seeded with the mixed id, the value of a step onto the id.
        let mixed = |id: u64| SplitMix64::seed_from_u64(id.wrapping_sub(0x9E37_79B9_7F4A_7C15)).next_u64();
        let mut walks: Vec<_> = members.iter().map(|id| SplitMix64::seed_from_u64(mixed(id.0))).collect();
        let mut table = vec![None; len];
        for filled in 0..len {
            let member = filled % members.len();
            let walk = &mut walks[member];
            let mut steps = 0;
            let slot = loop {
                steps += 1;
                let slot_index = walk.next_u64() as usize % len;
                // Not twice within what one node reads first, unless nothing else is free.
                let block = slot_index - slot_index % MIN_SUBSET;
                let duplicate = table[block..block + MIN_SUBSET].contains(&Some(member));
                if table[slot_index].is_none() && (!duplicate || steps > len) {
                    break slot_index;
                }
            };
            table[slot] = Some(member);
        }
        let offset = self.settings.node_index * len / self.settings.node_count;
        let mut taken = vec![false; members.len()];
        let slots = (offset..len).chain(0..offset).filter_map(|slot_index| table[slot_index]);
        slots.filter(|m| !std::mem::replace(&mut taken[*m], true)).map(|m| members[m]).collect()
    }

    /// Takes servers in order of preference until the healthy ones have enough warm capacity. A subset with
    /// many servers down or cold grows, so that its traffic does not fall on the few others.
    fn choose_subset(&mut self) {
        let wanted = self.subset_size(self.preference.len()) as f64;
        let (mut warm, mut subset) = (0.0, Vec::new());
        for server in self.preference.iter().filter_map(|id| self.servers.get(id)) {
            if warm >= wanted {
                break;
            }
            warm += if server.is_healthy() { server.warmth(self.now, &self.settings.rules) } else { 0.0 };
            subset.push(server.entry.server);
        }
        let probed = self.verdicts.iter().filter(|(_, (probe, _))| *probe).map(|(id, _)| *id);
        subset.extend(probed.filter(|id| self.preference.contains(id)));
        subset.sort_unstable();
        subset.dedup();
        for (_, server) in self.servers.iter_mut().filter(|(id, _)| subset.binary_search(id).is_err()) {
            server.next_turn = f64::NAN;
        }
        (self.subset, self.chosen_at) = (subset, self.now);
        self.place_new_servers();
    }

    /// Places servers new to the rotation. A server of size w has turns at (p + k) / w for k = 0, 1, ...,
    /// where p is its position after the cursor, 0 to 1: cyclic order for equal sizes, interleaved for
    /// others. The rest keep their turns: a restart at each list change favoured servers after the offsets.
    fn place_new_servers(&mut self) {
        let count = self.subset.len().max(1);
        let cursor_position = self.cursor_server.map(|at| self.subset.partition_point(|id| *id <= at));
        let next = cursor_position.unwrap_or(self.settings.node_index) % count;
        for (place, id) in self.subset.iter().enumerate() {
            let Some(server) = self.servers.get_mut(id).filter(|s| s.next_turn.is_nan()) else { continue };
            let stagger = uniform(&mut self.rng);
            let warmth = server.turn_fraction(self.now, &self.settings);
            // Cold servers get a random position: by the cursors alone many nodes would reach them at once.
            let after = (place + count - next) % count;
            let p = if warmth < 1.0 { stagger } else { after as f64 / count as f64 };
            server.next_turn = self.cursor + p / (server.size * server.weight * warmth);
            server.fraction = warmth;
            (server.stagger, server.last_sent) = (stagger, server.last_sent.max(self.now));
        }
    }

    /// Takes turns until one falls to a server accepted by `ready`; the others just lose theirs.
    fn take_turn(&mut self, ready: impl Fn(&Self, &Server) -> bool) -> Option<ServerId> {
        if !self.rotation().any(|s| ready(self, s)) {
            return None;
        }
        for id in &self.subset {
            // As a cold server warms up its turns come closer together.
            let Some(server) = self.servers.get_mut(id).filter(|s| s.fraction < 1.0) else { continue };
            let warmth = server.turn_fraction(self.now, &self.settings);
            server.next_turn = self.cursor + (server.next_turn - self.cursor) * server.fraction / warmth;
            server.fraction = warmth;
        }
        loop {
            let id = self.rotation().min_by(|a, b| a.next_turn.total_cmp(&b.next_turn))?.entry.server;
            let passes = ready(self, &self.servers[&id]);
            let server = self.servers.get_mut(&id)?;
            (self.cursor, self.cursor_server) = (server.next_turn, Some(id));
            server.fraction = server.turn_fraction(self.now, &self.settings);
            server.next_turn += 1.0 / (server.size * server.weight * server.turn_share * server.fraction);
            if passes {
                return Some(id);
            }
        }
    }

    fn is_ready(&self, server: &Server) -> bool {
        !server.is_excluded() && self.within_slow_start(server) && self.has_capacity(server)
    }

    /// A server at this node's limit is passed over: by turns alone a slow server would keep its full share
    /// while its queue grows until nothing sent to it is answered in time.
    fn has_capacity(&self, server: &Server) -> bool {
        let limit = server.usable_limit(self.fleet_factor, self.min_limit());
        let pause_over = limit >= 1.0 || self.now - server.last_sent >= self.send_pause(server);
        pause_over && (server.in_flight.len() as f64) < limit.floor().max(1.0)
    }

    /// The pause between sends at a limit below 1: it holds the average to the limit, yet shows recovery.
    fn send_pause(&self, server: &Server) -> Millis {
        let max_pause = self.settings.classes.iter().map(|c| 2.0 * c.slo).fold(0.0, f64::max);
        (server.last_latency / server.usable_limit(self.fleet_factor, self.min_limit()))
            .min(max_pause * self.crowding())
    }

    /// Rule 4: what all nodes send to a cold server in a window must stay below a multiple of what it can do
    /// by now, measured by what a warm server of its size answers. Each node spaces sends by its own part of
    /// the traffic, as one send per window from each of many nodes would be too many. The first waits a
    /// random part of the interval, or all nodes would send as soon as they learn of the server.
    fn within_slow_start(&self, server: &Server) -> bool {
        let rules = &self.settings.rules;
        let warmth = server.warmth(self.now, rules);
        let part = SLOW_START_BUDGET_SHARE * rules.overload_multiple * warmth;
        let rate = if self.service_rate.per_s > 0.0 { self.service_rate.per_s } else { self.arrivals.per_s };
        let interval = 1000.0 / (part * rate * server.size);
        warmth >= 1.0 || self.now - server.last_sent >= interval * server.stagger
    }

    fn eject(&mut self, id: ServerId, conclusive: bool) {
        let up = self.rotation();
        let ejected = up.clone().filter(|s| !s.is_healthy()).count() + 1;
        let too_many = ejected as f64 > self.settings.ejection.max_fraction * up.count() as f64;
        let pause = self.active_votes().map(|votes| votes.suspect_pause);
        let may = |s: &&mut Server| conclusive || !too_many || !s.is_healthy();
        let Some(server) = self.servers.get_mut(&id).filter(may) else { return };
        server.ejections += 1;
        let length = 4.0 * self.settings.limits.connect_timeout * f64::from(1u32 << server.ejections.min(10));
        let length = pause.unwrap_or(length.min(self.settings.rules.discovery_deadline / 4.0));
        (server.suspect, server.ejected_until) = (pause.is_some(), Some(self.now + length));
        // If it changed, earlier successes would outweigh the few failures still seen.
        server.evidence = server.failure_run;
        self.choose_subset();
    }

    fn on_probe_ended(&mut self, id: ServerId, outcome: Outcome) {
        let (now, stagger) = (self.now, uniform(&mut self.rng));
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.probing = false;
        if server.ejected_until.is_none() && !server.suspect {
            return;
        }
        if outcome == Outcome::Success {
            // Only if it was down: an overload that ejects every server must not make the fleet cold.
            if server.down && server.restart.is_none() {
                (server.restart, server.last_sent, server.stagger) = (Some(now), now, stagger);
            }
            (server.ejected_until, server.suspect, server.consecutive_failures, server.down) =
                (None, false, 0, false);
            self.choose_subset();
        } else {
            self.eject(id, true);
        }
    }

    /// Records evidence and ejects outliers; `start` is that of the process which the attempt was sent to.
    fn observe(&mut self, id: ServerId, outcome: Outcome, elapsed: Millis, start: Option<Option<Millis>>) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(votes) = self.settings.votes.as_ref().filter(|_| start == Some(server.entry.started_at)) {
            let half = votes.half_window(self.now);
            for halves in [&mut server.evidence, &mut server.failure_run] {
                let slot = &mut halves[(half & 1) as usize];
                let before = if slot.0 == half { slot.1 } else { Evidence::default() };
                *slot = (half, before.combined(&outcome.evidence()));
            }
        }
        match outcome {
            Outcome::Success => {
                (server.consecutive_failures, server.connection_failures, server.ejections) = (0, 0, 0);
                server.failure_run = Default::default();
                if server.suspect {
                    self.on_probe_ended(id, outcome);
                }
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::Rejected => {}
            // A process that is down refuses at once; a broken network path takes the whole connect timeout.
            Outcome::ConnectFailed if elapsed >= 0.9 * self.settings.limits.connect_timeout => {
                self.eject(id, true)
            }
            // Networks break some connections, or all briefly; if the process is down, all fail for longer.
            Outcome::ConnectFailed | Outcome::Reset => {
                if server.connection_failures == 0 {
                    server.failing_since = self.now;
                }
                server.connection_failures += 1;
                let lasting = self.now - server.failing_since >= self.settings.limits.connect_timeout;
                if lasting && server.connection_failures >= self.settings.ejection.consecutive_failures {
                    (server.connection_failures, server.down) = (0, true);
                    self.eject(id, true);
                }
            }
            Outcome::TimedOut | Outcome::Error => {
                server.consecutive_failures += 1;
                if server.consecutive_failures >= self.settings.ejection.consecutive_failures {
                    server.consecutive_failures = 0;
                    self.eject(id, false);
                }
            }
        }
    }

    fn on_request(&mut self, id: RequestId, mut request: Request, is_retry: bool) {
        if self.requests.contains_key(&id) {
            // Ids are unique: the first request still awaits its answer, and one answer would go to both.
            return;
        }
        if request.class >= self.settings.classes.len() {
            return self.actions.push(Action::Fail(id));
        }
        let budget = &mut self.class_stats[request.class].retry_budget;
        *budget = (*budget + self.settings.retry_budget.ratio).min(self.settings.retry_budget.max);
        let size: f64 = self.rotation().map(|s| s.size).sum();
        self.arrivals.add(self.now, self.settings.rules.overload_window, 1.0 / size.max(1.0));
        request.tenant = request.tenant.filter(|t| *t < self.settings.tenants.len());
        let within = request.tenant.is_none_or(|t| self.take_quota(t));
        request.tenant = request.tenant.filter(|_| within);
        request.worth = request.class().worth * if within { 1.0 } else { self.settings.over_quota_worth };
        let left = request.deadline - self.now;
        request.asked_at -= self.class_stats[request.class].request_age(request.class(), left, is_retry);
        self.record_worth(&request, |service| &mut service.requested);
        // A retry or a request with much work that is expected to be late is not started: it would displace
        // requests that can be in time. While no request was shed lately, a fast fleet gives it more time.
        let has_capacity = self.now - self.last_shed > self.settings.rules.overload_window;
        let reserve = if has_capacity { self.fleet_factor.max(1.0) } else { 1.0 };
        let left = (request.worth_until() - self.now) * reserve;
        let late = (is_retry || self.extra_work(&request) > 0.0) && left < self.expected_latency(&request);
        self.requests.insert(id, request);
        self.queue.push(id);
        if late {
            self.conclude(id);
        }
        self.serve_queue();
    }

    /// The time of a streamed request counts from its last byte; only then does its server have work from it.
    fn on_body_complete(&mut self, id: RequestId, deadline: Millis) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.body == Body::Streaming) else { return };
        let age = self.class_stats[request.class].request_age(request.class(), deadline - self.now, false);
        (request.body, request.arrived, request.deadline) = (Body::Streamed, self.now, deadline);
        request.asked_at = self.now - age;
        for (attempt, a) in request.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none()) {
            if let Some(server) = self.servers.get_mut(&a.entry.server) {
                server.in_flight.push((id, attempt));
            }
        }
    }

    /// Takes one request from the tenant's quota; each node is assumed to receive an equal part.
    fn take_quota(&mut self, tenant: usize) -> bool {
        let left = self.quota_left(tenant);
        let within = left >= 1.0;
        let stats = &mut self.tenant_stats[tenant];
        (stats.remaining, stats.updated_at) = (if within { left - 1.0 } else { left }, self.now);
        within
    }

    fn quota_left(&self, tenant: usize) -> f64 {
        let (own, stats) = (self.settings.node_quota(tenant), &self.tenant_stats[tenant]);
        (stats.remaining + own * (self.now - stats.updated_at) / 1000.0).min(own.max(1.0))
    }

    fn record_worth(&mut self, request: &Request, of: impl Fn(&mut ServiceShare) -> &mut Rate) {
        let (now, worth) = (self.now, request.worth);
        of(&mut self.class_stats[request.class].service).add(now, SERVICE_WINDOW, worth);
        if let Some(tenant) = request.tenant {
            of(&mut self.tenant_stats[tenant].service).add(now, SERVICE_WINDOW, worth);
        }
    }

    /// For each of `shares`, what serving one unit of worth adds to the goal's part for the worst served.
    fn goal_gains<'a>(&self, shares: impl Iterator<Item = &'a ServiceShare> + Clone, goal: f64) -> Vec<f64> {
        let requested: Vec<f64> = shares.clone().map(|c| c.requested.at(self.now, SERVICE_WINDOW)).collect();
        let served_part = |(c, a): (&ServiceShare, &f64)| {
            if *a > 0.0 {
                c.served.at(self.now, SERVICE_WINDOW) / a
            } else {
                1.0
            }
        };
        let parts: Vec<f64> = shares.zip(&requested).map(served_part).collect();
        let worst = parts.iter().copied().fold(f64::INFINITY, f64::min);
        let closeness: Vec<f64> = parts.iter().map(|p| (-(p - worst) / WORST_SERVED_MARGIN).exp()).collect();
        let sum: f64 = closeness.iter().sum();
        let weight = |(n, a): (&f64, &f64)| if *a > 0.0 { goal * n / sum / a } else { 0.0 };
        closeness.iter().zip(&requested).map(weight).collect()
    }

    /// Whether the request may go to this server. The server that just failed it is avoided unless no other
    /// is allowed: a request bound to the cell of its first attempt would otherwise be queued for nothing.
    fn may_send_to(&self, id: RequestId, to: &Server) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let may = |s: &Server| request.may_repeat(self.now, Some(&s.entry)) && request.may_probe(s);
        let last = request.attempts.last().map(|a| a.entry.server);
        let same_server = last == Some(to.entry.server);
        may(to) && !(same_server && self.rotation().any(|s| Some(s.entry.server) != last && may(s)))
    }

    fn send(&mut self, id: RequestId, to: ServerId) {
        let Some(pause) = self.servers.get(&to).map(|s| self.send_pause(s)) else { return };
        let (min_limit, Some(request)) = (self.min_limit(), self.requests.get_mut(&id)) else { return };
        let Some(server) = self.servers.get_mut(&to) else { return };
        let (only_at_server, limit) =
            (server.in_flight.is_empty(), server.usable_limit(self.fleet_factor, min_limit));
        let timeout = request.worth_until() - self.now;
        if request.body == Body::Buffered {
            server.in_flight.push((id, request.attempts.len()));
        }
        let gap = self.now - server.last_sent;
        (server.last_sent, server.stagger) = (self.now, 1.0);
        let near_limit =
            if limit < 1.0 { gap <= 2.0 * pause } else { 2.0 * server.in_flight.len() as f64 >= limit };
        let (entry, sent_at) = (server.entry.clone(), self.now);
        request.attempts.push(Attempt { entry, sent_at, near_limit, only_at_server, outcome: None });
        self.actions.push(Action::Send { id, server: to, timeout: Some(timeout.max(0.001)) });
    }

    /// Expected time to an answer: the mean of its class, corrected by its extra work.
    fn expected_latency(&self, request: &Request) -> Millis {
        (self.class_stats[request.class].latency + self.extra_work(request)).max(0.0)
    }

    /// Its estimated work above the mean of its class.
    fn extra_work(&self, request: &Request) -> Millis {
        let usual = self.class_stats[request.class].mean_work;
        request.work.filter(|_| usual > 0.0).map_or(0.0, |work| work - usual)
    }

    fn on_streaming(&mut self, id: RequestId, attempt: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        let others = request.cancel_actions(id).filter(|a| *a != Action::Cancel { id, attempt });
        self.actions.extend(others);
    }

    /// Whether an attempt is not reported as ended yet. Its server alone knows it once the request is gone.
    fn is_outstanding(&self, id: RequestId, attempt: usize, server: ServerId) -> bool {
        match self.requests.get(&id) {
            Some(request) => request.attempts.get(attempt).is_some_and(|a| a.outcome.is_none()),
            None => self.servers.get(&server).is_some_and(|s| s.in_flight.contains(&(id, attempt))),
        }
    }

    /// Ends an attempt at its server: frees its place in the limit and records the outcome.
    fn end_attempt(&mut self, attempt: (RequestId, usize), id: ServerId, outcome: Outcome, elapsed: Millis) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.in_flight.retain(|o| *o != attempt);
        }
        // If the request is gone its SLO is unknown, and every timeout counts.
        let request = self.requests.get(&attempt.0);
        let slo = request.map_or(0.0, |r| r.class().slo);
        let start = request.and_then(|r| r.attempts.get(attempt.1)).map(|a| a.entry.started_at);
        if outcome != Outcome::TimedOut || CONCLUSIVE_TIMEOUT_DIVISOR * elapsed >= slo {
            self.observe(id, outcome, elapsed, start);
        }
        self.servers.retain(|_, s| s.entry.state != ServerState::Gone || !s.in_flight.is_empty());
    }

    fn on_ended(&mut self, id: RequestId, attempt: usize, outcome: Outcome, elapsed: Millis, answered: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ended) = request.attempts.get_mut(attempt).filter(|a| a.outcome.is_none()) else { return };
        ended.outcome = Some(outcome);
        let (class, work, ended) = (request.class, request.work, ended.clone());
        let open = request.has_outstanding() || request.streaming;
        if let Some(ratio) = request.latency_ratio(outcome, elapsed) {
            self.learn(class, work, &ended, elapsed, ratio);
        }
        if answered {
            if let Some(served) = self.remove_request(id).filter(|r| self.now - r.asked_at <= r.class().slo) {
                self.record_worth(&served, |service| &mut service.served);
            }
        } else if !open {
            self.retry_or_conclude(id, outcome);
        }
        self.serve_queue();
    }

    /// Updates limit, turn share and latency statistics; `ratio` is the attempt's latency by the SLO.
    fn learn(&mut self, class: usize, work: Option<Millis>, attempt: &Attempt, elapsed: Millis, ratio: f64) {
        let (id, now, rules, done) =
            (attempt.entry.server, self.now, &self.settings.rules, attempt.outcome == Some(Outcome::Success));
        let (initial_limit, min_limit) = (self.initial_limit(), self.min_limit());
        let warm = |s: &Server| s.warmth(now, rules) >= 1.0;
        if done && self.subset.binary_search(&id).is_ok() && self.servers.get(&id).is_some_and(warm) {
            // Only warm servers in the rotation, as in the sum: cold ones would raise their own budget.
            let size: f64 = self.rotation().filter(|s| warm(s)).map(|s| s.size).sum();
            self.service_rate.add(now, rules.overload_window, 1.0 / size.max(f64::MIN_POSITIVE));
        }
        let stats = &mut self.class_stats[class];
        if done {
            stats.answers = stats.answers.saturating_add(1);
            let gain = 1.0 / f64::from(stats.answers.min(200));
            stats.latency += (elapsed - stats.latency) * gain;
            // An estimate is trusted no further than the time that the request took.
            stats.mean_work += work.map_or(0.0, |work| (work.clamp(0.0, elapsed) - stats.mean_work) * gain);
        }
        // All answers together show a slowdown of the fleet long before each limit has seen enough of its
        // own. With half as many late as clearly timely ones, concurrency is too high.
        let step = LIMIT_GAIN * (LATE_RATIO - TARGET_RATIO) / (self.subset.len().max(1) as f64).sqrt();
        if ratio >= 1.0 {
            self.fleet_factor = (self.fleet_factor * (-2.0 * step).exp()).max(MIN_LIMIT);
        } else if ratio <= TARGET_RATIO {
            self.fleet_factor = (self.fleet_factor * step.exp()).min(MAX_FLEET_FACTOR);
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
        // A rejection takes no time: pauses based on it would keep an overloaded server overloaded.
        server.last_latency =
            if attempt.outcome == Some(Outcome::Rejected) { server.last_latency } else { elapsed };
        if done && attempt.only_at_server {
            let classes = self.settings.classes.len();
            let latency =
                &mut self.base_latency.entry(server.entry.kind).or_insert_with(|| vec![0.0; classes])[class];
            *latency += (elapsed - *latency) * if *latency > 0.0 { BASE_LATENCY_GAIN } else { 1.0 };
        }
        // Corrects for sizes not listed: a server whose latency above the threshold exceeds the fleet's has
        // too many turns. At low load no latency is above the threshold and turns stay even.
        let excess = (ratio - TURN_SHARE_THRESHOLD).max(0.0);
        stats.mean_excess += (excess - stats.mean_excess) * TURN_SHARE_GAIN;
        server.turn_share = server.turn_share.powf(1.0 - TURN_SHARE_DECAY)
            * (TURN_SHARE_GAIN * (stats.mean_excess - excess)).exp();
        let unused =
            server.usable_limit(self.fleet_factor, min_limit) > 2.0 * (server.in_flight.len() as f64 + 1.0);
        if unused || (server.limit < 1.0 && !attempt.near_limit) {
            // A limit that was never reached does not protect when the fleet suddenly slows down.
            server.limit *= 1.0 - LIMIT_DECAY;
        }
        if server.limit < initial_limit.min(1.0) && ratio <= TARGET_RATIO && attempt.near_limit {
            // Below one, answers are rare: a server slow for seconds would stay limited for minutes. Only up
            // to where limits begin: above that many nodes would overload it.
            server.limit *= (LIMIT_GAIN * (LATE_RATIO - TARGET_RATIO)).exp();
        } else if attempt.near_limit {
            // One attempt at a time that is in time is not too much, even if the fleet misses the target.
            let lower_bound = if ratio < 1.0 { server.limit.min(1.0) } else { min_limit };
            server.limit = (server.limit * (LIMIT_GAIN * (TARGET_RATIO - ratio)).exp()).max(lower_bound);
        }
    }

    /// Retries a request whose attempts have all failed, or gives up on it.
    fn retry_or_conclude(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get(&id) else { return };
        let has_time = request.worth_until() - self.now > self.expected_latency(request);
        let not_executed = outcome.never_ran();
        let may_repeat = self.rotation().any(|s| request.may_repeat(self.now, Some(&s.entry)));
        let budget = &mut self.class_stats[request.class].retry_budget;
        if has_time && may_repeat && (not_executed || *budget >= 1.0) {
            *budget -= if not_executed { 0.0 } else { 1.0 };
            self.queue.push(id);
        } else {
            self.conclude(id);
        }
    }

    /// The final answer of a request that is not served: a refusal if rule 2 allows it, else a failure.
    fn conclude(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let retry_after =
            (RETRY_AFTER_FRACTION * request.class().slo).min(request.settings.limits.max_retry_after);
        let harmless = request.may_repeat(self.now, None);
        self.actions.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        self.remove_request(id);
    }

    /// Drops a finished request; attempts still outstanding are of no more use.
    fn remove_request(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.actions.extend(request.cancel_actions(id).filter(|_| !request.streaming));
        Some(request)
    }

    /// Sends queued requests in the order of their gain for the goal per unit of work, and answers those
    /// queued too long. First come, first served would shed by the length of the SLOs, not by worth.
    fn serve_queue(&mut self) {
        let margin = 2.0 * self.sweep_interval;
        let mut queued = Vec::new();
        for id in std::mem::take(&mut self.queue) {
            let Some(request) = self.requests.get(&id) else { continue };
            let latest = request.full_worth_until() - self.expected_latency(request);
            let end = if request.attempts.is_empty() {
                // In a lasting overload long queueing helps nobody: whatever is served has lost its time.
                let slo = request.class().slo;
                let lasting = self.queue_since.is_some_and(|since| self.now - since > slo);
                (request.arrived + slo * if lasting { OVERLOAD_QUEUE_FRACTION } else { MAX_QUEUE_FRACTION })
                    .min(latest)
                    .max(request.arrived)
            } else {
                latest
            };
            if self.now <= end.min(request.deadline - margin) {
                queued.push(id);
                continue;
            }
            self.last_shed = if request.attempts.is_empty() { self.now } else { self.last_shed };
            self.conclude(id);
        }
        // A queued request that no ready server may take would otherwise use up the turns of all others.
        while let Some(server) =
            self.take_turn(|b, s| b.is_ready(s) && queued.iter().any(|id| b.may_send_to(*id, s)))
        {
            let Some(index) = self.best_queued(&queued, server) else { break };
            self.send(queued.swap_remove(index), server);
        }
        if queued.is_empty() {
            (self.queue_since, self.sweep_interval) = (None, self.settings.sweep_interval());
        } else {
            self.queue_since.get_or_insert(self.now);
        }
        self.queue = queued;
    }

    /// The queued request with the highest gain for the goal per unit of time that its class takes at this
    /// server; among equals the newest, as the oldest has lost the time it was queued.
    fn best_queued(&self, queued: &[RequestId], server: ServerId) -> Option<usize> {
        let to = self.servers.get(&server)?;
        let mut may = (0..queued.len()).filter(|i| self.may_send_to(queued[*i], to));
        if queued.len() == 1 {
            return may.next_back();
        }
        let goal = &self.settings.goal;
        let requested: f64 =
            self.class_stats.iter().map(|c| c.service.requested.at(self.now, SERVICE_WINDOW)).sum();
        let by_class = self.goal_gains(self.class_stats.iter().map(|c| &c.service), goal.worst_class);
        let by_tenant = self.goal_gains(self.tenant_stats.iter().map(|t| &t.service), goal.worst_tenant);
        let latencies = self.base_latency.get(&to.entry.kind);
        let score = |index: usize| {
            let r = self.requests.get(&queued[index])?;
            let tenant = r.tenant.map_or(0.0, |t| by_tenant[t]);
            let gain = goal.worth / requested.max(f64::MIN_POSITIVE) + by_class[r.class] + tenant;
            let mean = self.class_stats[r.class].latency;
            let time = latencies.map_or(mean, |t| if t[r.class] > 0.0 { t[r.class] } else { mean });
            Some((r.worth * gain / time.max(f64::MIN_POSITIVE), r.arrived))
        };
        let scored = may.filter_map(|index| Some((index, score(index)?)));
        let best = scored.max_by(|(_, a), (_, b)| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(index, _)| index)
    }

    fn sweep(&mut self) {
        let now = self.now;
        self.last_sweep = now;
        match self.subscription {
            Subscription::Due(at, failures) if now >= at => {
                self.subscription = Subscription::Pending(now, failures);
                self.actions.push(Action::Subscribe);
            }
            // No answer at all counts as a failure.
            Subscription::Pending(at, _) if now - at >= self.settings.rules.discovery_deadline => {
                self.on_list_failed()
            }
            _ => {}
        }
        let due = self.rotation().filter(|s| !s.probing && s.ejected_until.is_some_and(|at| now >= at));
        for id in due.map(|s| s.entry.server).collect::<Vec<_>>() {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            if server.suspect {
                server.ejected_until = None;
            } else if self.settings.limits.probes {
                server.probing = true;
                self.actions.push(Action::Probe(id));
            } else {
                self.on_probe_ended(id, Outcome::Success);
            }
        }
        if self.verdicts.values().any(|(_, lapse)| now >= *lapse) {
            self.verdicts.retain(|_, (_, lapse)| now < *lapse);
            self.update_members();
        }
        if now >= self.next_warmup_step() {
            self.choose_subset();
        }
        self.serve_queue();
    }
}
