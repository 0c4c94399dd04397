//! The decisions; interface: `src/api.rs`.
//!
//! Each request goes to the server whose turn it is: a smooth weighted rotation over the sorted servers,
//! begun at the node's own offset, one send per turn, blind to load. A server that is not ready is passed
//! over in place. All else here settles who is ready, when an attempt is given up or repeated, and when a
//! request is refused.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::SplitMix64;

use crate::api::*;

/// Part of the cold budget that is used; the rest is for chance and for uneven nodes.
const SLOW_START_CAUTION: f64 = 0.5;
/// Nodes that share one server where there are many: their uneven traffic evens out, each sees it often.
const NODES_PER_SERVER: usize = 8;
/// The fewest servers that a node rotates over, so that there is a round, and another when one fails.
const SUBSET_LEAST: usize = 2;

/// In how many steps the subset follows the warmth of its servers.
const WARMTH_STEPS: f64 = 32.0;

/// Part of its aim that an answer should take on average: what is more makes too many late.
const PACE_TARGET: f64 = 0.35;
/// What an answer that came too late, or never, counts as, in parts of its aim.
const LATE: f64 = 1.25;
/// What an attempt that was cut off at its aim counts as: it would have taken about as long again.
const CUT: f64 = 2.0;
/// How strongly one answer moves the limit of its server, and how much it takes of one far from reached.
const LIMIT_GAIN: f64 = 0.25;
const LIMIT_FADE: f64 = 0.02;
/// Part of its aim beyond which an answer tells that its server has too many turns.
const SHARE_FROM: f64 = 0.25;
/// How strongly one answer moves the learned share of its server, and how much of it is forgotten.
const SHARE_GAIN: (f64, f64) = (0.05, 0.005);
/// How strongly one answer moves the usual time of its class on its kind of machine.
const TIME_GAIN: f64 = 0.02;
/// Attempts of all nodes out at a server at first, and the least own limit; below one, it rests between them.
const LIMITS: (f64, f64) = (8.0, 0.05);
/// Initial limit where the one above is at most one attempt per node sharing the server. It is lower, as many
/// nodes that may each send at once overload a server before any sees an answer.
const SPACED: f64 = 5.0;
/// How far the fleet's factor may rise above 1, so that a few late answers do not make it act.
const FLEET_RESERVE: f64 = 2.0;
/// Part of its aim that a request may be held at the node: in a burst, and in a lasting overload.
const HOLD: (f64, f64) = (0.25, 0.1);

/// A try with this part of the most time that one ever had left is not cut short; the rest is the way here.
const WHOLE_TRY: f64 = 0.98;
/// Part of its aim that the client of a refused request should stay away.
const STAY_AWAY: f64 = 0.25;

/// Over which time it is counted who is served how well.
const MEMORY: Millis = 60_000.0;
/// How far above the worst served part a class or tenant still counts nearly as the worst.
const NEAR_WORST: f64 = 0.05;

/// The decision module of one node.
pub struct Balancer {
    set: Arc<Settings>,
    /// How often requests that wait are looked at; no rarer than any of them needs.
    period: Millis,
    random: SplitMix64,
    now: Millis,
    servers: BTreeMap<ServerId, Server>,
    /// Those that operators have taken out, listed or not.
    disabled: BTreeSet<ServerId>,
    /// What the group has ruled, listed or not: is it probed from here, and when does the ruling lapse?
    rulings: BTreeMap<ServerId, (bool, Millis)>,
    /// When the group's newest word came.
    word: Millis,
    /// All servers that are up and not taken out, in the order in which this node would rather use them.
    order: Vec<ServerId>,
    /// Those that it rotates over, sorted, and when they were chosen.
    subset: Vec<ServerId>,
    chosen: Millis,
    requests: BTreeMap<RequestId, Request>,
    waiting: Vec<RequestId>,
    /// The turn that was taken last, and the server that it fell to.
    cursor: f64,
    cursor_at: Option<ServerId>,
    /// Since when some have been held without a break.
    held_since: Option<Millis>,
    /// When one was last refused that no server had room for.
    shed: Millis,
    classes: Vec<ClassStats>,
    tenants: Vec<TenantStats>,
    /// Factor to all limits where it is below 1: how far the fleet as a whole has slowed down.
    fleet: f64,
    /// Requests answered a second, for one unit of weight; those that came stand in until one has been.
    pace: Rate,
    arrivals: Rate,
    /// For each kind of machine, the usual time of each class on a server that has nothing else of ours.
    times: BTreeMap<u64, Vec<Millis>>,
    actions: Vec<Action>,
    /// When the timer comes that was asked for last, and when what time brings was last looked at.
    timer_due: Millis,
    swept: Millis,
    call: Call,
}

/// A server of the list, and what this node has seen of it.
#[derive(Default)]
struct Server {
    entry: Entry,
    /// Its size as far as the list tells, the operators' factor to that, and a learned one.
    size: f64,
    factor: f64,
    share: f64,
    /// When its next turn comes, the rotation takes the least; and its warmth when that was set.
    turn: f64,
    turn_warmth: f64,
    /// Own attempts that are out: request, attempt.
    out: Vec<(RequestId, usize)>,
    /// How many own attempts may be out while the fleet as a whole is not slow.
    limit: f64,
    last_sent: Millis,
    last_took: Millis,
    /// Time-outs and errors in a row.
    consecutive_failures: u32,
    /// Refused and broken connections in a row, and when the first of them came.
    consecutive_breaks: u32,
    broke: Millis,
    ejections: u32,
    /// Ejected; looked at again from then on.
    ejected: Option<Millis>,
    /// Ejected for refused or broken connections: a process that will come back cold.
    down: bool,
    probing: bool,
    /// Failed as one that is ejected, where that is left to votes; until it serves again.
    suspect: bool,
    /// Removed by the group; is it probed from here?
    ruled: Option<bool>,
    /// Evidence by halves of the window, each with the half's number.
    seen: [(i64, Evidence); 2],
    /// Of this, what came since the last good answer.
    run: [(i64, Evidence); 2],
    /// Came back at that time from what looked like a restart.
    returned: Option<Millis>,
    /// A part of 1, by which the first send to it is put off while it is cold.
    stagger: f64,
}

/// Where the body of a request is.
#[derive(Clone, Copy, PartialEq)]
enum Body {
    /// At the node, for as many attempts as it takes.
    Kept,
    /// On its way through; its server has no work of it yet.
    Coming,
    /// At its server alone.
    Passed,
}

struct Request {
    /// The settings that it came under: it is judged by them to its end.
    set: Arc<Settings>,
    body: Body,
    work: Option<Millis>,
    class: usize,
    /// Its tenant, where it is within that one's share.
    tenant: Option<usize>,
    worth: f64,
    /// When the client first asked, as far as its deadline tells, and when this try of it came.
    asked: Millis,
    came: Millis,
    deadline: Millis,
    attempts: Vec<Attempt>,
    streaming: bool,
}

#[derive(Clone)]
struct Attempt {
    /// Its server, as it was listed then.
    to: Entry,
    sent: Millis,
    /// The server was at half its limit at least with it, or had rested for less than twice its time.
    at_limit: bool,
    /// The server held nothing else of ours.
    alone: bool,
    outcome: Option<Outcome>,
}

/// What is usual for a class, and how well it is served.
#[derive(Default)]
struct ClassStats {
    mean: Millis,
    /// Mean work of those that were answered, as far as clients guess it.
    work: Millis,
    seen: u32,
    /// By how much of its aim answers exceed the target, on average.
    excess: f64,
    /// The most time that a request had left when it came.
    most_left: Millis,
    /// How many further attempts it may still have.
    retry_budget: f64,
    care: Care,
}

/// A tenant's use of its share, and how well it is served within it.
#[derive(Default)]
struct TenantStats {
    /// Own part of the share, in requests that may still come within it, and when that was counted.
    left: f64,
    counted: Millis,
    care: Care,
}

/// A rate that forgets.
#[derive(Default)]
struct Rate {
    per_s: f64,
    at: Millis,
}

/// Worth asked for and served.
#[derive(Default)]
struct Care {
    asked: Rate,
    served: Rate,
}

/// The state of the calls to discovery.
#[derive(PartialEq)]
enum Call {
    /// Not needed, or subscribed.
    Settled,
    /// Asked at this time, after so many failures.
    Asked(Millis, u32),
    /// To be asked at this time.
    AskAt(Millis, u32),
}

/// From 0 to 1.
fn chance(random: &mut SplitMix64) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

impl Rate {
    fn add(&mut self, now: Millis, span: Millis, amount: f64) {
        self.per_s = self.at(now, span) + amount * 1000.0 / span.max(1.0);
        self.at = now;
    }

    fn at(&self, now: Millis, span: Millis) -> f64 {
        self.per_s * (-(now - self.at).max(0.0) / span.max(1.0)).exp()
    }
}

impl ClassStats {
    /// How long ago the client first asked. One that comes back after a refusal still gives up when the time
    /// of its first asking ends; the most time that requests of its class ever had left is that of new ones.
    /// Where clients may repeat what they have given up, each try has a time of its own, cut short where the
    /// client's whole time ends sooner: of those marked as repeats, that tells when they first asked.
    fn age(&mut self, class: &Class, left: Millis, again: bool) -> Millis {
        self.most_left = self.most_left.max(if left.is_finite() { left } else { f64::NEG_INFINITY });
        let most = self.most_left;
        match class.idempotency {
            Idempotency::Safe | Idempotency::Keyed { scope: DedupScope::All, .. } => match class.deadline {
                all if !again || all.is_infinite() => 0.0,
                all if left < WHOLE_TRY * most => (all - left).max(0.0),
                // Asked at some time between now and when its try would have been cut short.
                all => ((all - most) / 2.0).max(0.0),
            },
            _ => (most - left).max(0.0),
        }
    }
}

impl Server {
    fn new(entry: Entry, factor: f64) -> Self {
        let (turn, limit, last_sent) = (f64::NAN, f64::NAN, f64::NEG_INFINITY);
        Self { entry, factor, share: 1.0, turn, turn_warmth: 1.0, limit, last_sent, ..Self::default() }
    }

    /// What was seen of the process before says nothing about the one that runs now.
    fn restarted(&mut self, returned: Option<Millis>) {
        (self.consecutive_failures, self.consecutive_breaks, self.ejections) = (0, 0, 0);
        (self.ejected, self.returned, self.turn) = (None, returned, f64::NAN);
        (self.suspect, self.seen, self.run) = Default::default();
        self.limit = if returned.is_some() { f64::NAN } else { self.limit };
    }

    /// Does it get nothing now?
    fn shut(&self) -> bool {
        self.ejected.is_some() || self.ruled == Some(false)
    }

    /// Does it get its full turns as far as that goes?
    fn trusted(&self) -> bool {
        self.ejected.is_none() && !self.suspect && self.ruled.is_none()
    }

    /// What was seen within the window that ends with this half.
    fn evidence(&self, half: i64) -> Evidence {
        let recent = self.seen.iter().filter(|(at, _)| *at == half || *at == half - 1);
        recent.fold(Evidence::default(), |sum, (_, more)| sum.combined(more))
    }

    /// How many own attempts may be out, with the fleet's factor and the least limit.
    fn allowed(&self, fleet: f64, least: f64) -> f64 {
        (self.limit * fleet.min(1.0)).max(least)
    }

    /// The part of its capacity that it has at the least, by the time since its start.
    fn warmth(&self, now: Millis, rules: &Rules) -> f64 {
        let start = self.entry.started_at.into_iter().chain(self.returned).fold(f64::NEG_INFINITY, f64::max);
        let age = (now - start).max(0.0);
        if age >= rules.warmup_time {
            return 1.0;
        }
        rules.cold_capacity + (1.0 - rules.cold_capacity) * age / rules.warmup_time
    }

    /// The part of its turns that it gets. Votes go by the whole server, as all classes share one rotation.
    fn part(&self, now: Millis, set: &Settings) -> f64 {
        let most = set.votes.as_ref().filter(|_| !self.trusted()).map_or(1.0, |v| v.trickle_share);
        self.warmth(now, &set.rules).min(most)
    }
}

impl Request {
    fn new(set: Arc<Settings>, now: Millis, class: usize, deadline: Millis) -> Self {
        let (body, work, tenant, worth, streaming) = (Body::Kept, None, None, 0.0, false);
        let (asked, came, attempts) = (now, now, Vec::new());
        Self { set, body, work, class, tenant, worth, asked, came, deadline, attempts, streaming }
    }

    /// Rule 2, for every further attempt and every refusal: is it harmless by what is known of the earlier
    /// ones? `to` is the server to send to; `None` asks about a refusal.
    fn may_repeat(&self, now: Millis, to: Option<&Entry>) -> bool {
        let limits = &self.set.limits;
        let mut ran = self.attempts.iter().filter(|a| !a.outcome.is_some_and(Outcome::never_ran));
        if to.is_some() {
            let most = if self.body == Body::Kept { limits.max_attempts } else { 1 };
            if self.attempts.len() >= most || (self.pending() && !limits.hedging) {
                return false;
            }
        }
        match self.class().idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => ran.next().is_none(),
            Idempotency::Keyed { scope, dedup_window } => ran.all(|a| match (scope, to) {
                (_, Some(_)) if now - a.sent >= dedup_window => false,
                (DedupScope::All, _) => true,
                (DedupScope::Zone, to) => to.is_some_and(|to| to.zone == a.to.zone),
                (DedupScope::Cell, to) => to.is_some_and(|to| to.cell == a.to.cell),
            }),
        }
    }

    fn class(&self) -> &Class {
        &self.set.classes[self.class]
    }

    /// Until when an answer has its full worth, less the way back to the client.
    fn useful_until(&self) -> Millis {
        (self.asked + self.class().slo - self.set.tick).min(self.deadline).min(self.known_until())
    }

    /// Until when an answer is worth anything.
    fn worth_until(&self) -> Millis {
        if self.class().late_worth > 0.0 {
            self.deadline.min(self.known_until())
        } else {
            self.useful_until()
        }
    }

    /// Until when servers surely know the key of what may have run: a further attempt has to be over by then.
    fn known_until(&self) -> Millis {
        let Idempotency::Keyed { dedup_window, .. } = self.class().idempotency else { return f64::INFINITY };
        let ran = self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran));
        ran.map_or(f64::INFINITY, |a| a.sent + dedup_window - self.set.tick)
    }

    /// How much of its aim an attempt took, by which it counts for its server.
    fn part(&self, outcome: Outcome, took: Millis) -> Option<f64> {
        let part = took / self.class().slo;
        match outcome {
            Outcome::Success => Some(part.min(LATE)),
            // Cut off when it was of no more use. One that had little time says little.
            Outcome::TimedOut if self.class().late_worth == 0.0 => Some(CUT * part.min(1.0)),
            Outcome::TimedOut | Outcome::Rejected => Some(LATE),
            _ => None,
        }
    }

    /// May it go there as far as votes go? A removed server is probed with what can go elsewhere after it.
    fn may_probe(&self, to: &Server) -> bool {
        let safe = matches!(
            self.class().idempotency,
            Idempotency::Safe | Idempotency::Keyed { scope: DedupScope::All, .. }
        );
        let first = self.attempts.is_empty() && self.set.limits.max_attempts > 1;
        to.ruled.is_none() || (safe && first && self.body == Body::Kept)
    }

    fn pending(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }

    /// Calls off all attempts that are out, where that is permitted.
    fn cancelled(&self, id: RequestId) -> impl Iterator<Item = Action> + '_ {
        let cancel = self.set.limits.cancel;
        let out = self.attempts.iter().enumerate().filter(move |(_, a)| cancel && a.outcome.is_none());
        out.map(move |(attempt, _)| Action::Cancel { id, attempt })
    }
}

impl Balancer {
    /// A node at its start. `seed` is for its random numbers and should differ from node to node.
    ///
    /// # Errors
    /// Where the settings make no sense; see [`Settings::check`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let asked = settings.discovery == Discovery::Subscribed;
        let call = if asked { Call::AskAt(f64::NEG_INFINITY, 0) } else { Call::Settled };
        let most_left = f64::NEG_INFINITY;
        let retry_budget = settings.retry_budget.max;
        let class =
            |c: &Class| ClassStats { mean: c.slo / 4.0, most_left, retry_budget, ..ClassStats::default() };
        let tenant = |_| TenantStats { counted: f64::NEG_INFINITY, ..TenantStats::default() };
        Ok(Self {
            period: settings.period(),
            classes: settings.classes.iter().map(class).collect(),
            tenants: settings.tenants.iter().map(tenant).collect(),
            set: Arc::new(settings),
            random: SplitMix64::seed_from_u64(seed),
            now: 0.0,
            servers: BTreeMap::new(),
            disabled: BTreeSet::new(),
            rulings: BTreeMap::new(),
            word: f64::NEG_INFINITY,
            order: Vec::new(),
            subset: Vec::new(),
            chosen: f64::NEG_INFINITY,
            requests: BTreeMap::new(),
            waiting: Vec::new(),
            cursor: 0.0,
            cursor_at: None,
            held_since: None,
            shed: f64::NEG_INFINITY,
            fleet: 1.0,
            pace: Rate::default(),
            arrivals: Rate::default(),
            times: BTreeMap::new(),
            actions: Vec::new(),
            timer_due: f64::INFINITY,
            swept: f64::NEG_INFINITY,
            call,
        })
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { entries, saved } => self.on_list(entries, !saved, true),
            Event::ListChange(entries) => self.on_list(entries, true, false),
            Event::ListFailed => self.on_list_failed(),
            Event::Disable(server) => {
                self.disabled.insert(server);
                self.regroup();
            }
            Event::Enable { server, enabled_at } => self.on_enabled(server, enabled_at),
            Event::Verdicts(rulings) => self.on_verdicts(rulings),
            Event::Policy(settings) => self.on_policy(*settings),
            Event::Request { id, class, tenant, deadline, streaming_body, is_retry, estimated_work } => {
                let body = if streaming_body { Body::Coming } else { Body::Kept };
                let new = Request::new(self.set.clone(), now, class, deadline);
                self.on_request(id, Request { body, tenant, work: estimated_work, ..new }, is_retry);
            }
            Event::BodyComplete { id, deadline } => self.on_whole(id, deadline),
            Event::Streaming { id, attempt } => self.on_streaming(id, attempt),
            Event::AttemptEnded { id, attempt, server, outcome, elapsed, answered } => {
                let elapsed = if elapsed.is_finite() { elapsed.max(0.0) } else { 0.0 };
                self.on_returned((id, attempt), server, outcome, elapsed);
                self.on_ended(id, attempt, outcome, elapsed, answered);
            }
            Event::ProbeEnded { server, outcome, .. } => self.on_probed(server, outcome),
            Event::ClientGone(id) => drop(self.forget(id)),
            Event::Timer => {}
        }
        if now >= self.next_due() {
            self.sweep();
        }
        // Timers cost CPU, of which a node has little: none is set but for what is to be done then.
        let due = self.next_due().max(now + self.set.tick.max(1.0));
        if due.is_finite() && (now >= self.timer_due || due < self.timer_due) {
            self.timer_due = due;
            self.actions.push(Action::SetTimer(due - now));
        }
        actions.append(&mut self.actions);
    }

    /// Who is ready, and how slow the fleet is.
    pub fn status(&self) -> Status {
        let count = |of: &dyn Fn(&Server) -> bool| self.rotated().filter(|s| of(s)).count();
        Status {
            queued: self.waiting.len(),
            in_flight: self.rotated().map(|s| s.out.len()).sum(),
            busy_servers: count(&|s| !s.out.is_empty()),
            servers: self.subset.len(),
            ejected: count(&|s| s.ejected.is_some()),
            down: count(&|s| s.ejected.is_some() && s.down),
            cold: count(&|s| s.warmth(self.now, &self.set.rules) < 1.0),
            total_limit: self.rotated().map(|s| s.limit).sum(),
            fleet_factor: self.fleet,
        }
    }

    /// How many listed servers nothing is sent to now, taken out by operators or ejected.
    pub fn unavailable_servers(&self) -> usize {
        let listed = self.servers.iter().filter(|(_, s)| s.entry.state != ServerState::Gone);
        listed.filter(|(id, s)| s.shut() || self.disabled.contains(id)).count()
    }

    /// What this node holds of its servers, for the group to count.
    pub fn ballots(&self) -> BallotReport {
        let Some(votes) = &self.set.votes else { return BallotReport::default() };
        let up = self.servers.values().filter(|s| s.entry.state == ServerState::Up);
        let seen = up.clone().map(|s| (s.entry.server, s.evidence(votes.half(self.now))));
        let ballot = |(server, evidence): (ServerId, Evidence)| {
            let failed =
                f64::from(evidence.failures()) >= votes.failure_threshold * f64::from(evidence.attempts);
            LocalBallot { server, stand: if failed { Vote::For } else { Vote::Against }, evidence }
        };
        let ballots: Vec<_> = seen.filter(|(_, e)| e.attempts >= votes.min_attempts).map(ballot).collect();
        // Of two servers that a node shares, one may be bad.
        let most = (votes.self_doubt_threshold * ballots.len() as f64).max(1.0);
        let self_doubt = ballots.iter().filter(|b| b.stand == Vote::For).count() as f64 > most;
        let panic_mode =
            self.servers.iter().any(|(id, s)| s.ruled.is_none() && self.rulings.contains_key(id));
        let (isolated, suspects) = (self.voted().is_none(), up.filter(|s| s.suspect).count());
        BallotReport { self_doubt, panic_mode, isolated, suspects, ballots }
    }

    /// The votes' figures while the group's word is fresh: no server is then ejected on own evidence alone.
    fn voted(&self) -> Option<&VoteSettings> {
        self.set.votes.as_ref().filter(|v| self.now - self.word < v.contact_timeout)
    }

    /// When time alone next calls for something.
    fn next_due(&self) -> Millis {
        let call = match self.call {
            Call::Settled => f64::INFINITY,
            Call::AskAt(at, _) => at.max(0.0),
            Call::Asked(at, _) => at + self.set.rules.discovery_deadline,
        };
        let held = if self.waiting.is_empty() { f64::INFINITY } else { self.swept + self.period };
        let probes = self.rotated().filter(|s| !s.probing).filter_map(|s| s.ejected);
        let lapses = self.rulings.values().map(|(_, lapse)| *lapse);
        probes.chain(lapses).fold(call.min(held).min(self.warmer_at()), f64::min)
    }

    /// When the subset next follows the warmth of its servers.
    fn warmer_at(&self) -> Millis {
        let step = self.set.rules.warmup_time / WARMTH_STEPS;
        self.rotated().find(|s| s.turn_warmth < 1.0).map_or(f64::INFINITY, |_| self.chosen + step)
    }

    /// Requests that are here keep to the settings that they came under.
    fn on_policy(&mut self, new: Settings) {
        if self.set.check_update(&new).is_err() {
            return;
        }
        for tenant in 0..self.tenants.len() {
            // Saved up under the old share; what is above the new one's most is cut when next asked for.
            (self.tenants[tenant].left, self.tenants[tenant].counted) = (self.quota_left(tenant), self.now);
        }
        for (stats, class) in self.classes.iter_mut().zip(&new.classes) {
            // New requests would else be taken for old ones.
            stats.most_left = stats.most_left.min(class.deadline);
            stats.retry_budget = stats.retry_budget.min(new.retry_budget.max);
        }
        for (id, server) in self.servers.iter_mut().filter(|(id, s)| s.factor != new.factor(**id)) {
            // The part of its round that it has waited for its turn stays the same.
            let was = std::mem::replace(&mut server.factor, new.factor(*id));
            server.turn = self.cursor + (server.turn - self.cursor) * was / server.factor;
        }
        self.period = self.period.min(new.period());
        self.set = Arc::new(new);
        if self.set.votes.is_none() {
            self.rulings.values_mut().for_each(|(_, lapse)| *lapse = self.now);
        }
    }

    // ---- The list of servers ----

    fn on_list(&mut self, entries: Vec<Entry>, answer: bool, whole: bool) {
        if answer {
            self.call = Call::Settled;
        }
        if whole {
            for server in self.servers.values_mut() {
                server.entry.state = ServerState::Gone;
            }
        }
        for mut entry in entries {
            entry.weight = Some(entry.weight).filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0);
            // Live weights are load in disguise, late and alike for all nodes. The most that a server was
            // ever listed at, when it held least, is its size.
            let factor = self.set.factor(entry.server);
            let server =
                self.servers.entry(entry.server).or_insert_with(|| Server::new(entry.clone(), factor));
            server.size = match self.set.weights {
                Weights::Static => entry.weight,
                Weights::Live => entry.weight.max(server.size),
                Weights::None => 1.0,
            };
            if entry.started_at != server.entry.started_at {
                // The group has ruled on the process before.
                server.restarted(None);
                self.rulings.remove(&entry.server);
            }
            if server.entry.state != ServerState::Up {
                server.turn = f64::NAN;
            }
            server.entry = entry;
        }
        // Kept while attempts are out, so that their outcomes still find it.
        self.servers.retain(|_, s| s.entry.state != ServerState::Gone || !s.out.is_empty());
        self.regroup();
    }

    /// Cold, as it was started anew, and as new to the rotation.
    fn on_enabled(&mut self, id: ServerId, returned: Millis) {
        self.disabled.remove(&id);
        if let Some(server) = self.servers.get_mut(&id) {
            server.restarted(Some(returned));
        }
        self.regroup();
    }

    /// Own evidence may keep own requests away for a short time; all else is the group's, once it is heard.
    fn on_verdicts(&mut self, rulings: Vec<ServerVerdict>) {
        let Some(votes) = &self.set.votes else { return };
        for server in self.servers.values_mut().filter(|s| !s.suspect && s.ejected.is_some()) {
            (server.suspect, server.probing, server.ejected) =
                (true, false, Some(self.now + votes.suspect_pause));
        }
        // Without news they lapse one by one: were all back at once, so would their failures be.
        let mut lapse = || self.now + votes.contact_timeout * (1.0 + chance(&mut self.random));
        self.rulings = rulings.iter().map(|r| (r.server, (r.probe, lapse()))).collect();
        self.word = self.now;
        self.regroup();
    }

    /// Follows a change of who is up, not taken out and not ruled out.
    fn regroup(&mut self) {
        let up =
            |(id, s): &(&ServerId, &Server)| s.entry.state == ServerState::Up && !self.disabled.contains(id);
        let members: Vec<_> = self.servers.iter().filter(up).map(|(id, _)| *id).collect();
        let mut known = self.order.clone();
        known.sort_unstable();
        if members != known {
            self.order = self.preference(&members);
        }
        // Where too few would be left, the votes are likelier wrong than the servers bad.
        let listed = self.servers.values().filter(|s| s.entry.state != ServerState::Gone).count();
        let left = members.iter().filter(|id| !self.rulings.contains_key(id)).count();
        for (id, server) in &mut self.servers {
            let ruled = self.rulings.get(id).filter(|_| 2 * left >= listed).map(|(probe, _)| *probe);
            let was = std::mem::replace(&mut server.ruled, ruled);
            if was != ruled && ruled != Some(false) {
                server.restarted(Some(self.now));
            }
        }
        let limit = self.first_limit();
        for server in self.servers.values_mut().filter(|s| s.limit.is_nan()) {
            server.limit = limit;
        }
        self.choose_subset();
    }

    fn on_list_failed(&mut self) {
        if self.set.discovery == Discovery::Subscribed {
            let failures = if let Call::Asked(_, failures) = self.call { failures + 1 } else { 1 };
            // Jittered, as nodes cut off together should not come back together; well within the time after
            // which a node that has not asked counts as told.
            let span = (self.set.rules.discovery_deadline / 40.0) * f64::from(1u32 << failures.min(4));
            self.call = Call::AskAt(self.now + span * (0.5 + 0.5 * chance(&mut self.random)), failures);
        }
    }

    fn rotated(&self) -> impl Iterator<Item = &Server> + Clone {
        self.subset.iter().filter_map(|id| self.servers.get(id))
    }

    /// How many warm servers a node rotates over. All of them, until that would be more nodes to a server
    /// than it should bear: connections, and what a node must send to learn of each, grow with both.
    fn subset_size(&self, up: usize) -> usize {
        (NODES_PER_SERVER * up).div_ceil(self.set.node_count).max(SUBSET_LEAST).min(up)
    }

    /// How many nodes send to a server.
    fn sharing(&self) -> f64 {
        let up = self.order.len().max(1);
        (self.set.node_count * self.subset_size(up)) as f64 / up as f64
    }

    /// How many times more nodes share a server than are wanted, where a subset can be no smaller. Were rests
    /// and least limits kept per node, the looks of a crowd alone would keep a slow server from its rest.
    fn crowd(&self) -> f64 {
        (self.sharing() / NODES_PER_SERVER as f64).max(1.0)
    }

    /// The concurrency limit that a server begins with.
    fn first_limit(&self) -> f64 {
        let sharing = self.sharing().max(1.0);
        (if sharing < LIMITS.0 { LIMITS.0 } else { SPACED }) / sharing
    }

    /// The least that a server's limit can fall to.
    fn least_limit(&self) -> f64 {
        LIMITS.1 / self.crowd()
    }

    /// The order in which this node prefers the sorted `members`. All nodes fill the same table (as Maglev
    /// does: each server in turn takes its next free place by an order of its own), of which each server has
    /// an even part and keeps most when the list changes. Each node reads it from a place of its own; first
    /// parts of the orders are thus an even cover of the fleet.
    fn preference(&self, members: &[ServerId]) -> Vec<ServerId> {
        if self.subset_size(members.len()) == members.len() {
            return members.to_vec();
        }
        let size = (SUBSET_LEAST * self.set.node_count).max(SUBSET_LEAST * members.len().next_power_of_two());
        // Ids may be near each other: a walk begins at the mixed id, which is what a step onto the id gives.
        let mixed = |id: u64| SplitMix64::seed_from_u64(id.wrapping_sub(0x9E37_79B9_7F4A_7C15)).next_u64();
        let mut walks: Vec<_> = members.iter().map(|id| SplitMix64::seed_from_u64(mixed(id.0))).collect();
        let mut table = vec![None; size];
        for filled in 0..size {
            let member = filled % members.len();
            let walk = &mut walks[member];
            let mut tries = 0;
            let free = loop {
                tries += 1;
                let place = walk.next_u64() as usize % size;
                // Not twice in what one node reads first, but where nothing else is left.
                let block = place - place % SUBSET_LEAST;
                let twice = table[block..block + SUBSET_LEAST].contains(&Some(member));
                if table[place].is_none() && (!twice || tries > size) {
                    break place;
                }
            };
            table[free] = Some(member);
        }
        let own = self.set.node_index * size / self.set.node_count;
        let mut seen = vec![false; members.len()];
        let places = (own..size).chain(0..own).filter_map(|place| table[place]);
        places.filter(|m| !std::mem::replace(&mut seen[*m], true)).map(|m| members[m]).collect()
    }

    /// Takes servers from the order until those that are not ejected make up enough warm ones: a subset of
    /// which many are down or cold widens, so that its node's traffic does not fall on the few others.
    fn choose_subset(&mut self) {
        let wanted = self.subset_size(self.order.len()) as f64;
        let (mut warm, mut subset) = (0.0, Vec::new());
        for server in self.order.iter().filter_map(|id| self.servers.get(id)) {
            if warm >= wanted {
                break;
            }
            warm += if server.trusted() { server.warmth(self.now, &self.set.rules) } else { 0.0 };
            subset.push(server.entry.server);
        }
        let probed = self.rulings.iter().filter(|(_, (probe, _))| *probe).map(|(id, _)| *id);
        subset.extend(probed.filter(|id| self.order.contains(id)));
        subset.sort_unstable();
        subset.dedup();
        for (_, server) in self.servers.iter_mut().filter(|(id, _)| subset.binary_search(id).is_err()) {
            server.turn = f64::NAN;
        }
        (self.subset, self.chosen) = (subset, self.now);
        self.place_newcomers();
    }

    // ---- The rotation ----

    /// Gives servers that are new to the rotation their place in it. A server of size w has its turns at (p +
    /// k) / w for k = 0, 1, ..., p being its place after the cursor, from 0 to 1: with equal sizes that is
    /// the plain cyclic order, with unequal ones an even interleaving. The others keep their turns: to begin
    /// again at each change of the list would favour the servers after the nodes' offsets.
    fn place_newcomers(&mut self) {
        let count = self.subset.len().max(1);
        let cursor_at = self.cursor_at.map(|at| self.subset.partition_point(|id| *id <= at));
        let next = cursor_at.unwrap_or(self.set.node_index) % count;
        for (place, id) in self.subset.iter().enumerate() {
            let Some(server) = self.servers.get_mut(id).filter(|s| s.turn.is_nan()) else { continue };
            let stagger = chance(&mut self.random);
            let warmth = server.part(self.now, &self.set);
            // Cold ones take a random place: by the cursors alone, many nodes would come at once.
            let after = (place + count - next) % count;
            let p = if warmth < 1.0 { stagger } else { after as f64 / count as f64 };
            server.turn = self.cursor + p / (server.size * server.factor * warmth);
            server.turn_warmth = warmth;
            (server.stagger, server.last_sent) = (stagger, server.last_sent.max(self.now));
        }
    }

    /// Takes turns until one falls to a server accepted by `ready`; the others just lose theirs.
    fn next_turn(&mut self, ready: impl Fn(&Self, &Server) -> bool) -> Option<ServerId> {
        if !self.rotated().any(|s| ready(self, s)) {
            return None;
        }
        for id in &self.subset {
            // As a cold one warms up its turns come closer.
            let Some(server) = self.servers.get_mut(id).filter(|s| s.turn_warmth < 1.0) else { continue };
            let warmth = server.part(self.now, &self.set);
            server.turn = self.cursor + (server.turn - self.cursor) * server.turn_warmth / warmth;
            server.turn_warmth = warmth;
        }
        loop {
            let id = self.rotated().min_by(|a, b| a.turn.total_cmp(&b.turn))?.entry.server;
            let passes = ready(self, &self.servers[&id]);
            let server = self.servers.get_mut(&id)?;
            (self.cursor, self.cursor_at) = (server.turn, Some(id));
            server.turn_warmth = server.part(self.now, &self.set);
            server.turn += 1.0 / (server.size * server.factor * server.share * server.turn_warmth);
            if passes {
                return Some(id);
            }
        }
    }

    fn ready(&self, server: &Server) -> bool {
        !server.shut() && self.within_slow_start(server) && self.has_room(server)
    }

    /// A server full with our own attempts is passed over: on turns alone a slow one keeps its full turn
    /// while its queue grows until nothing that it is sent comes in time.
    fn has_room(&self, server: &Server) -> bool {
        let limit = server.allowed(self.fleet, self.least_limit());
        let rested = limit >= 1.0 || self.now - server.last_sent >= self.rest(server);
        rested && (server.out.len() as f64) < limit.floor().max(1.0)
    }

    /// The pause between sends where the limit is below one: long enough to hold the average concurrency to
    /// the limit, short enough to notice recovery.
    fn rest(&self, server: &Server) -> Millis {
        let most = self.set.classes.iter().map(|c| 2.0 * c.slo).fold(0.0, f64::max);
        (server.last_took / server.allowed(self.fleet, self.least_limit())).min(most * self.crowd())
    }

    /// Rule 4: what all nodes send to a cold server in one window must stay below a multiple of what it can
    /// do by now. What a warm server of its size is seen to answer is the measure. Each node spaces its sends
    /// by its own traffic's part, as one send a window from each of many nodes would be too much; before the
    /// first it waits a random part of the space, or all would send at once when they hear of it.
    fn within_slow_start(&self, server: &Server) -> bool {
        let rules = &self.set.rules;
        let warmth = server.warmth(self.now, rules);
        let part = SLOW_START_CAUTION * rules.overload_multiple * warmth;
        let pace = if self.pace.per_s > 0.0 { self.pace.per_s } else { self.arrivals.per_s };
        let space = 1000.0 / (part * pace * server.size);
        warmth >= 1.0 || self.now - server.last_sent >= space * server.stagger
    }

    fn eject(&mut self, id: ServerId, sure: bool) {
        let up = self.rotated();
        let ejected = up.clone().filter(|s| !s.trusted()).count() + 1;
        let too_many = ejected as f64 > self.set.ejection.max_fraction * up.count() as f64;
        let aside = self.voted().map(|votes| votes.suspect_pause);
        let may = |s: &&mut Server| sure || !too_many || !s.trusted();
        let Some(server) = self.servers.get_mut(&id).filter(may) else { return };
        server.ejections += 1;
        let span = 4.0 * self.set.limits.connect_timeout * f64::from(1u32 << server.ejections.min(10));
        let span = aside.unwrap_or(span.min(self.set.rules.discovery_deadline / 4.0));
        (server.suspect, server.ejected) = (aside.is_some(), Some(self.now + span));
        // Of one that has changed, good answers from before would outweigh those that it is kept from now.
        server.seen = server.run;
        self.choose_subset();
    }

    fn on_probed(&mut self, id: ServerId, outcome: Outcome) {
        let (now, stagger) = (self.now, chance(&mut self.random));
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.probing = false;
        if server.ejected.is_none() && !server.suspect {
            return;
        }
        if outcome == Outcome::Success {
            // Only a process that was down is cold: in a jam that ejects each server once, the whole fleet
            // would else be on cold budgets.
            if server.down && server.returned.is_none() {
                (server.returned, server.last_sent, server.stagger) = (Some(now), now, stagger);
            }
            (server.ejected, server.suspect, server.consecutive_failures, server.down) =
                (None, false, 0, false);
            self.choose_subset();
        } else {
            self.eject(id, true);
        }
    }

    /// What an attempt's end says of its server.
    fn detect_outlier(&mut self, id: ServerId, outcome: Outcome, took: Millis, of: Option<Option<Millis>>) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(votes) = self.set.votes.as_ref().filter(|_| of == Some(server.entry.started_at)) {
            let half = votes.half(self.now);
            for seen in [&mut server.seen, &mut server.run] {
                let place = &mut seen[(half & 1) as usize];
                let before = if place.0 == half { place.1 } else { Evidence::default() };
                *place = (half, before.combined(&outcome.evidence()));
            }
        }
        match outcome {
            Outcome::Success => {
                (server.consecutive_failures, server.consecutive_breaks, server.ejections) = (0, 0, 0);
                server.run = Default::default();
                if server.suspect {
                    self.on_probed(id, outcome);
                }
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::Rejected => {}
            // A refusal is quick where the process is down, and takes the whole time where the way is cut.
            Outcome::ConnectFailed if took >= 0.9 * self.set.limits.connect_timeout => self.eject(id, true),
            // The network breaks single connections, or all for a moment. Where the process is down all are
            // refused or broken for as long as a connection may take at least.
            Outcome::ConnectFailed | Outcome::Reset => {
                if server.consecutive_breaks == 0 {
                    server.broke = self.now;
                }
                server.consecutive_breaks += 1;
                let lasting = self.now - server.broke >= self.set.limits.connect_timeout;
                if lasting && server.consecutive_breaks >= self.set.ejection.consecutive_failures {
                    (server.consecutive_breaks, server.down) = (0, true);
                    self.eject(id, true);
                }
            }
            Outcome::TimedOut | Outcome::Error => {
                server.consecutive_failures += 1;
                if server.consecutive_failures >= self.set.ejection.consecutive_failures {
                    server.consecutive_failures = 0;
                    self.eject(id, false);
                }
            }
        }
    }

    fn on_request(&mut self, id: RequestId, mut request: Request, again: bool) {
        if self.requests.contains_key(&id) {
            // An id never comes twice; the first is still owed, and an answer would be to both.
            return;
        }
        if request.class >= self.set.classes.len() {
            return self.actions.push(Action::Fail(id));
        }
        let budget = &mut self.classes[request.class].retry_budget;
        *budget = (*budget + self.set.retry_budget.ratio).min(self.set.retry_budget.max);
        let size: f64 = self.rotated().map(|s| s.size).sum();
        self.arrivals.add(self.now, self.set.rules.overload_window, 1.0 / size.max(1.0));
        request.tenant = request.tenant.filter(|t| *t < self.set.tenants.len());
        let within = request.tenant.is_none_or(|t| self.take_quota(t));
        request.tenant = request.tenant.filter(|_| within);
        request.worth = request.class().worth * if within { 1.0 } else { self.set.over_quota_worth };
        let left = request.deadline - self.now;
        request.asked -= self.classes[request.class].age(request.class(), left, again);
        self.tally(&request, |care| &mut care.asked);
        // What can't be in time, as it is a late repeat or more work than there is time for, is not begun: it
        // would only take the work of others that can. While none is refused for want of room, a longer shot
        // is taken the more the fleet has in reserve.
        let room = self.now - self.shed > self.set.rules.overload_window;
        let reserve = if room { self.fleet.max(1.0) } else { 1.0 };
        let left = (request.worth_until() - self.now) * reserve;
        let hopeless = (again || self.extra(&request) > 0.0) && left < self.usual(&request);
        self.requests.insert(id, request);
        self.waiting.push(id);
        if hopeless {
            self.conclude(id);
        }
        self.serve_waiting();
    }

    /// The time of a request that was coming counts from its last byte. Only then has its server work of it.
    fn on_whole(&mut self, id: RequestId, deadline: Millis) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.body == Body::Coming) else { return };
        let age = self.classes[request.class].age(request.class(), deadline - self.now, false);
        (request.body, request.came, request.deadline) = (Body::Passed, self.now, deadline);
        request.asked = self.now - age;
        for (attempt, a) in request.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none()) {
            if let Some(server) = self.servers.get_mut(&a.to.server) {
                server.out.push((id, attempt));
            }
        }
    }

    /// Is a request within its tenant's share?
    fn take_quota(&mut self, tenant: usize) -> bool {
        let left = self.quota_left(tenant);
        let within = left >= 1.0;
        let stats = &mut self.tenants[tenant];
        (stats.left, stats.counted) = (if within { left - 1.0 } else { left }, self.now);
        within
    }

    fn quota_left(&self, tenant: usize) -> f64 {
        let (own, stats) = (self.set.own_quota(tenant), &self.tenants[tenant]);
        (stats.left + own * (self.now - stats.counted) / 1000.0).min(own.max(1.0))
    }

    fn tally(&mut self, request: &Request, of: impl Fn(&mut Care) -> &mut Rate) {
        let (now, worth) = (self.now, request.worth);
        of(&mut self.classes[request.class].care).add(now, MEMORY, worth);
        if let Some(tenant) = request.tenant {
            of(&mut self.tenants[tenant].care).add(now, MEMORY, worth);
        }
    }

    /// What serving one unit of worth adds to the part of the goal that goes by the worst served, for each of
    /// `cares`: all of it for the worst, less for those above it.
    fn goal_weights<'a>(&self, cares: impl Iterator<Item = &'a Care> + Clone, goal: f64) -> Vec<f64> {
        let asked: Vec<f64> = cares.clone().map(|c| c.asked.at(self.now, MEMORY)).collect();
        let part = |(c, a): (&Care, &f64)| if *a > 0.0 { c.served.at(self.now, MEMORY) / a } else { 1.0 };
        let parts: Vec<f64> = cares.zip(&asked).map(part).collect();
        let worst = parts.iter().copied().fold(f64::INFINITY, f64::min);
        let near: Vec<f64> = parts.iter().map(|p| (-(p - worst) / NEAR_WORST).exp()).collect();
        let sum: f64 = near.iter().sum();
        let weight = |(n, a): (&f64, &f64)| if *a > 0.0 { goal * n / sum / a } else { 0.0 };
        near.iter().zip(&asked).map(weight).collect()
    }

    /// Whether the request may go to this server. The one that just failed it is avoided unless no other is
    /// allowed: it may be bound to the cell of its first attempt.
    fn may_go(&self, id: RequestId, to: &Server) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let may = |s: &Server| request.may_repeat(self.now, Some(&s.entry)) && request.may_probe(s);
        let last = request.attempts.last().map(|a| a.to.server);
        let again = last == Some(to.entry.server);
        may(to) && !(again && self.rotated().any(|s| Some(s.entry.server) != last && may(s)))
    }

    fn send(&mut self, id: RequestId, to: ServerId) {
        let Some(rest) = self.servers.get(&to).map(|s| self.rest(s)) else { return };
        let (least, Some(request)) = (self.least_limit(), self.requests.get_mut(&id)) else { return };
        let Some(server) = self.servers.get_mut(&to) else { return };
        let (alone, allowed) = (server.out.is_empty(), server.allowed(self.fleet, least));
        let timeout = request.worth_until() - self.now;
        if request.body == Body::Kept {
            server.out.push((id, request.attempts.len()));
        }
        let rested = self.now - server.last_sent;
        (server.last_sent, server.stagger) = (self.now, 1.0);
        let at_limit =
            if allowed < 1.0 { rested <= 2.0 * rest } else { 2.0 * server.out.len() as f64 >= allowed };
        let (entry, sent) = (server.entry.clone(), self.now);
        request.attempts.push(Attempt { to: entry, sent, at_limit, alone, outcome: None });
        self.actions.push(Action::Send { id, server: to, timeout: Some(timeout.max(0.001)) });
    }

    /// How long its answer would take by what is usual for its class, and by how its work differs from that.
    fn usual(&self, request: &Request) -> Millis {
        (self.classes[request.class].mean + self.extra(request)).max(0.0)
    }

    /// Its work beyond what is usual for its class.
    fn extra(&self, request: &Request) -> Millis {
        let usual = self.classes[request.class].work;
        request.work.filter(|_| usual > 0.0).map_or(0.0, |work| work - usual)
    }

    fn on_streaming(&mut self, id: RequestId, attempt: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        let others = request.cancelled(id).filter(|a| *a != Action::Cancel { id, attempt });
        self.actions.extend(others);
    }

    /// An attempt is no longer out at its server.
    fn on_returned(&mut self, of: (RequestId, usize), at: ServerId, outcome: Outcome, took: Millis) {
        if let Some(server) = self.servers.get_mut(&at) {
            server.out.retain(|o| *o != of);
        }
        // One that had little time says little of its server.
        let request = self.requests.get(&of.0);
        let aim = request.map_or(0.0, |r| r.class().slo);
        let started = request.and_then(|r| r.attempts.get(of.1)).map(|a| a.to.started_at);
        if outcome != Outcome::TimedOut || CUT * took >= aim {
            self.detect_outlier(at, outcome, took, started);
        }
        self.servers.retain(|_, s| s.entry.state != ServerState::Gone || !s.out.is_empty());
    }

    /// What becomes of a request when one of its attempts has ended.
    fn on_ended(&mut self, id: RequestId, attempt: usize, outcome: Outcome, took: Millis, finished: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ended) = request.attempts.get_mut(attempt).filter(|a| a.outcome.is_none()) else { return };
        ended.outcome = Some(outcome);
        let (class, work, ended) = (request.class, request.work, ended.clone());
        let open = request.pending() || request.streaming;
        if let Some(part) = request.part(outcome, took) {
            self.learn(class, work, &ended, took, part);
        }
        if finished {
            if let Some(served) = self.forget(id).filter(|r| self.now - r.asked <= r.class().slo) {
                self.tally(&served, |care| &mut care.served);
            }
        } else if !open {
            self.further(id, outcome);
        }
        self.serve_waiting();
    }

    /// What the end of an attempt says of its server's pace, for the limit, the share and the usual times.
    fn learn(&mut self, class: usize, work: Option<Millis>, of: &Attempt, took: Millis, part: f64) {
        let (id, now, rules, done) =
            (of.to.server, self.now, &self.set.rules, of.outcome == Some(Outcome::Success));
        let (first, least_limit) = (self.first_limit(), self.least_limit());
        let warm = |s: &Server| s.warmth(now, rules) >= 1.0;
        if done && self.subset.binary_search(&id).is_ok() && self.servers.get(&id).is_some_and(warm) {
            // Measured on warm servers alone: measured on cold ones too, a cold budget would feed on itself.
            // The weight of one that has left the rotation is no longer in it.
            let size: f64 = self.rotated().filter(|s| warm(s)).map(|s| s.size).sum();
            self.pace.add(now, rules.overload_window, 1.0 / size.max(f64::MIN_POSITIVE));
        }
        let pace = &mut self.classes[class];
        if done {
            pace.seen = pace.seen.saturating_add(1);
            let part = 1.0 / f64::from(pace.seen.min(200));
            pace.mean += (took - pace.mean) * part;
            // A guess is believed no further than the time that it took.
            pace.work += work.map_or(0.0, |work| (work.clamp(0.0, took) - pace.work) * part);
        }
        // All answers tell that the fleet slows down long before each limit has heard enough of its own.
        // Where half as many are late as come well in time, there is too much out.
        let step = LIMIT_GAIN * (LATE - PACE_TARGET) / (self.subset.len().max(1) as f64).sqrt();
        if part >= 1.0 {
            self.fleet = (self.fleet * (-2.0 * step).exp()).max(LIMITS.1);
        } else if part <= PACE_TARGET {
            self.fleet = (self.fleet * step.exp()).min(FLEET_RESERVE);
        }
        let Some(s) = self.servers.get_mut(&id) else { return };
        // To be turned away takes no time: rests that went by it would keep a full server full.
        s.last_took = if of.outcome == Some(Outcome::Rejected) { s.last_took } else { took };
        if done && of.alone {
            let classes = self.set.classes.len();
            let time = &mut self.times.entry(s.entry.kind).or_insert_with(|| vec![0.0; classes])[class];
            *time += (took - *time) * if *time > 0.0 { TIME_GAIN } else { 1.0 };
        }
        // Corrects for sizes not listed: a server whose latency above the threshold exceeds the fleet's has
        // too many turns. In calm no latency is above the threshold and turns stay even.
        let excess = (part - SHARE_FROM).max(0.0);
        pace.excess += (excess - pace.excess) * SHARE_GAIN.0;
        s.share = s.share.powf(1.0 - SHARE_GAIN.1) * (SHARE_GAIN.0 * (pace.excess - excess)).exp();
        let unused = s.allowed(self.fleet, least_limit) > 2.0 * (s.out.len() as f64 + 1.0);
        if unused || (s.limit < 1.0 && !of.at_limit) {
            // A limit that was never reached protects nobody when the fleet slows down at once.
            s.limit *= 1.0 - LIMIT_FADE;
        }
        if s.limit < first.min(1.0) && part <= PACE_TARGET && of.at_limit {
            // Answers are rare below one: a server that was slow for seconds would stay out for minutes. Only
            // to where limits begin: from there on many nodes would crowd it.
            s.limit *= (LIMIT_GAIN * (LATE - PACE_TARGET)).exp();
        } else if of.at_limit {
            // One attempt at a time that still comes in time is not too much, even where the whole fleet is
            // so slow that it misses the target.
            let least = if part < 1.0 { s.limit.min(1.0) } else { least_limit };
            s.limit = (s.limit * (LIMIT_GAIN * (PACE_TARGET - part)).exp()).max(least);
        }
    }

    /// What becomes of a request whose attempts have all failed.
    fn further(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get(&id) else { return };
        let time = request.worth_until() - self.now > self.usual(request);
        let free = outcome.never_ran();
        let may = self.rotated().any(|s| request.may_repeat(self.now, Some(&s.entry)));
        let budget = &mut self.classes[request.class].retry_budget;
        if time && may && (free || *budget >= 1.0) {
            *budget -= if free { 0.0 } else { 1.0 };
            self.waiting.push(id);
        } else {
            self.conclude(id);
        }
    }

    /// The final answer of a request that is not served: refused where rule 2 lets it, else failed.
    fn conclude(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let retry_after = (STAY_AWAY * request.class().slo).min(request.set.limits.max_retry_after);
        let harmless = request.may_repeat(self.now, None);
        self.actions.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        self.forget(id);
    }

    /// Drops a request that is over; attempts that are still out are of no use any more.
    fn forget(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.actions.extend(request.cancelled(id).filter(|_| !request.streaming));
        Some(request)
    }

    /// Sends what is held, in the order of what it adds to the goal for the work it takes, and answers what
    /// has waited too long. First come, first served would shed by the length of the aims, not by worth.
    fn serve_waiting(&mut self) {
        let last = 2.0 * self.period;
        let mut held = Vec::new();
        for id in std::mem::take(&mut self.waiting) {
            let Some(request) = self.requests.get(&id) else { continue };
            // As long as an answer may still come in time.
            let spare = request.useful_until() - self.usual(request);
            let end = if request.attempts.is_empty() {
                // In a lasting overload a long hold helps nobody: all that is served has lost its time.
                let aim = request.class().slo;
                let lasting = self.held_since.is_some_and(|since| self.now - since > aim);
                (request.came + aim * if lasting { HOLD.1 } else { HOLD.0 }).min(spare).max(request.came)
            } else {
                spare
            };
            if self.now <= end.min(request.deadline - last) {
                held.push(id);
                continue;
            }
            self.shed = if request.attempts.is_empty() { self.now } else { self.shed };
            self.conclude(id);
        }
        // A held request that no ready server may have would else use up the turns of all the others.
        while let Some(server) = self.next_turn(|b, s| b.ready(s) && held.iter().any(|id| b.may_go(*id, s))) {
            let Some(place) = self.best_held(&held, server) else { break };
            self.send(held.swap_remove(place), server);
        }
        if held.is_empty() {
            (self.held_since, self.period) = (None, self.set.period());
        } else {
            self.held_since.get_or_insert(self.now);
        }
        self.waiting = held;
    }

    /// Which held request this server's turn goes to: the one that adds most to the goal for the time that
    /// its class takes there; of equal ones the newest, as the oldest has lost the time of its hold.
    fn best_held(&self, held: &[RequestId], server: ServerId) -> Option<usize> {
        let to = self.servers.get(&server)?;
        let mut may = (0..held.len()).filter(|i| self.may_go(held[*i], to));
        if held.len() == 1 {
            return may.next_back();
        }
        let goal = &self.set.goal;
        let asked: f64 = self.classes.iter().map(|c| c.care.asked.at(self.now, MEMORY)).sum();
        let by_class = self.goal_weights(self.classes.iter().map(|c| &c.care), goal.worst_class);
        let by_tenant = self.goal_weights(self.tenants.iter().map(|t| &t.care), goal.worst_tenant);
        let times = self.times.get(&to.entry.kind);
        let key = |place: usize| {
            let r = self.requests.get(&held[place])?;
            let tenant = r.tenant.map_or(0.0, |t| by_tenant[t]);
            let slope = goal.worth / asked.max(f64::MIN_POSITIVE) + by_class[r.class] + tenant;
            let usual = self.classes[r.class].mean;
            let time = times.map_or(usual, |t| if t[r.class] > 0.0 { t[r.class] } else { usual });
            Some((r.worth * slope / time.max(f64::MIN_POSITIVE), r.came))
        };
        let keyed = may.filter_map(|place| Some((place, key(place)?)));
        let best = keyed.max_by(|(_, a), (_, b)| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(place, _)| place)
    }

    /// What time brings.
    fn sweep(&mut self) {
        let now = self.now;
        self.swept = now;
        match self.call {
            Call::AskAt(at, failures) if now >= at => {
                self.call = Call::Asked(now, failures);
                self.actions.push(Action::Subscribe);
            }
            // No answer at all: taken for a failure.
            Call::Asked(at, _) if now - at >= self.set.rules.discovery_deadline => self.on_list_failed(),
            _ => {}
        }
        let due = self.rotated().filter(|s| !s.probing && s.ejected.is_some_and(|at| now >= at));
        for id in due.map(|s| s.entry.server).collect::<Vec<_>>() {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            if server.suspect {
                server.ejected = None;
            } else if self.set.limits.probes {
                server.probing = true;
                self.actions.push(Action::Probe(id));
            } else {
                self.on_probed(id, Outcome::Success);
            }
        }
        if self.rulings.values().any(|(_, lapse)| now >= *lapse) {
            self.rulings.retain(|_, (_, lapse)| now < *lapse);
            self.regroup();
        }
        if now >= self.warmer_at() {
            self.choose_subset();
        }
        self.serve_waiting();
    }
}
