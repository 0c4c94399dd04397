//! The decision module with a simulated clock, and a referee that checks the four rules on its events and actions.
#![allow(dead_code)]

use std::collections::BTreeMap;

use tulipmount::*;

/// Index of the class whose requests may be executed any number of times.
pub const SAFE: usize = 0;
/// Index of the class whose repeated requests the servers of one cell recognise by their key and drop, for
/// [`KEY_MEMORY_MS`] after the first attempt was sent.
pub const KEYED: usize = 1;
/// Index of the class whose requests may be executed only once.
pub const UNSAFE: usize = 2;
/// Time for which servers remember the key of a keyed request, counted from the start of the attempt, in ms.
pub const KEY_MEMORY_MS: f64 = 600.0;
/// Time from a request to its deadline, after which its client gives up, in ms.
pub const CLIENT_TIMEOUT_MS: f64 = 500.0;
/// Time for which the referee accepts attempts at a server that drains or is gone, in ms. None, as the module must
/// stop as soon as it receives the list.
pub const DRAIN_GRACE_MS: f64 = 0.0;

/// Settings of one of two nodes, with the classes [`SAFE`], [`KEYED`] and [`UNSAFE`].
pub fn settings() -> Settings {
    let class = |slo, worth, idempotency| Class {
        slo,
        deadline: 2.0 * CLIENT_TIMEOUT_MS,
        worth,
        late_worth: 0.0,
        idempotency,
    };
    Settings {
        node_index: 0,
        node_count: 2,
        classes: vec![
            class(100.0, 1.0, Idempotency::Safe),
            class(200.0, 3.0, Idempotency::Keyed { scope: DedupScope::Cell, dedup_window: KEY_MEMORY_MS }),
            class(100.0, 10.0, Idempotency::Unsafe),
        ],
        tenants: Vec::new(),
        over_quota_worth: 0.2,
        goal: Goal { worth: 0.8, worst_class: 0.2, worst_tenant: 0.0 },
        limits: Limits {
            max_attempts: 4,
            hedging: true,
            cancel: true,
            probes: true,
            connect_timeout: 50.0,
            max_retry_after: 1000.0,
        },
        retry_budget: RetryBudget::default(),
        ejection: Ejection::default(),
        votes: None,
        server_weights: Default::default(),
        rules: Rules {
            discovery_deadline: 10_000.0,
            cold_capacity: 0.15,
            warmup_time: 20_000.0,
            overload_multiple: 3.0,
            overload_window: 1000.0,
        },
        discovery: Discovery::Pushed,
        weights: Weights::Static,
        tick: 2.0,
    }
}

/// The list entry of a server that is up; zone and cell are its number modulo 2.
pub fn entry(server: u64, weight: f64) -> Entry {
    let state = ServerState::Up;
    Entry {
        server: ServerId(server),
        zone: server % 2,
        cell: server % 2,
        kind: 0,
        state,
        weight,
        started_at: None,
    }
}

/// A balancer with a simulated clock, which records the attempts it sends.
pub struct Node {
    pub balancer: Balancer,
    pub now: f64,
    next_id: u64,
    /// Server and start of each attempt.
    attempts: BTreeMap<RequestId, Vec<(ServerId, f64)>>,
}

impl Node {
    /// A node with this list and seed 1.
    pub fn new(settings: Settings, entries: Vec<Entry>) -> Self {
        Self::new_seeded(settings, entries, 1)
    }

    /// A node with this list and seed.
    pub fn new_seeded(settings: Settings, entries: Vec<Entry>, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("the settings were refused");
        let mut node = Self { balancer, now: 1000.0, next_id: 0, attempts: BTreeMap::new() };
        node.event(Event::List { entries, saved: true });
        node
    }

    /// A node with this number of servers of equal weight.
    pub fn with_servers(settings: Settings, servers: u64) -> Self {
        Self::new(settings, (0..servers).map(|id| entry(id, 1.0)).collect())
    }

    /// Passes an event to the balancer at the current time; returns the actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Send { id, server, .. } = action {
                self.attempts.entry(*id).or_default().push((*server, self.now));
            }
        }
        actions
    }

    /// Passes in a request of a class.
    pub fn ask(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.ask_for(class, None)
    }

    /// Passes in a request of a tenant.
    pub fn ask_for(&mut self, class: usize, tenant: Option<usize>) -> (RequestId, Vec<Action>) {
        self.ask_with_timeout(class, tenant, CLIENT_TIMEOUT_MS)
    }

    /// Passes in a request whose client gives up after `timeout`.
    pub fn ask_with_timeout(
        &mut self,
        class: usize,
        tenant: Option<usize>,
        timeout: f64,
    ) -> (RequestId, Vec<Action>) {
        self.send_request(class, tenant, timeout, false, None)
    }

    /// Passes in a request that is marked as a repeat, whose client gives up after `timeout`.
    pub fn ask_repeat(&mut self, class: usize, timeout: f64) -> (RequestId, Vec<Action>) {
        self.send_request(class, None, timeout, true, None)
    }

    /// Passes in a request whose client estimates its work.
    pub fn ask_with_estimate(&mut self, class: usize, work: f64) -> (RequestId, Vec<Action>) {
        self.send_request(class, None, CLIENT_TIMEOUT_MS, false, Some(work))
    }

    fn send_request(
        &mut self,
        class: usize,
        tenant: Option<usize>,
        timeout: f64,
        again: bool,
        work: Option<f64>,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let deadline = self.now + timeout;
        (
            id,
            self.event(Event::Request {
                id,
                class,
                tenant,
                deadline,
                streaming_body: false,
                is_retry: again,
                estimated_work: work,
            }),
        )
    }

    /// Passes in a request whose body is still arriving.
    pub fn ask_streaming(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let deadline = self.now + CLIENT_TIMEOUT_MS;
        (
            id,
            self.event(Event::Request {
                id,
                class,
                tenant: None,
                deadline,
                streaming_body: true,
                is_retry: false,
                estimated_work: None,
            }),
        )
    }

    /// Ends the request's newest attempt.
    pub fn end(&mut self, id: RequestId, outcome: Outcome) -> Vec<Action> {
        let sent = &self.attempts[&id];
        let attempt = sent.len() - 1;
        let (server, at) = sent[attempt];
        let took = self.now - at;
        let finished = outcome == Outcome::Success;
        self.event(Event::AttemptEnded { id, attempt, server, outcome, elapsed: took, answered: finished })
    }

    /// Passes in a request that is served after `took`; returns its server, if it was sent.
    pub fn serve(&mut self, class: usize, took: f64) -> Option<ServerId> {
        let request = self.ask(class);
        self.serve_sent(request, took)
    }

    /// The same, but waits while the request is held.
    pub fn serve_after_hold(&mut self, class: usize, took: f64) -> Option<ServerId> {
        let (id, mut actions) = self.ask(class);
        while sent_to(&actions).is_none() && !refused(&actions, id) && !failed(&actions, id) {
            actions = self.wait(5.0);
        }
        self.serve_sent((id, actions), took)
    }

    fn serve_sent(&mut self, (id, actions): (RequestId, Vec<Action>), took: f64) -> Option<ServerId> {
        let server = sent_to(&actions);
        self.now += took;
        if server.is_some() {
            self.end(id, Outcome::Success);
        }
        server
    }

    /// Lets time pass, with a timer event every 5 ms; returns all actions.
    pub fn wait(&mut self, span: f64) -> Vec<Action> {
        let until = self.now + span;
        let mut all = Vec::new();
        while self.now < until {
            self.now = (self.now + 5.0).min(until);
            all.extend(self.event(Event::Timer));
        }
        all
    }
}

/// The server of the first attempt that is sent.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
}

/// The requests of all attempts that are sent.
pub fn sends(actions: &[Action]) -> Vec<RequestId> {
    actions.iter().filter_map(|a| if let Action::Send { id, .. } = a { Some(*id) } else { None }).collect()
}

/// Whether these actions refuse this request.
pub fn refused(actions: &[Action], request: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id, .. } if *id == request))
}

/// Whether these actions contain the final answer `Fail` to this request.
pub fn failed(actions: &[Action], request: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(id) if *id == request))
}

/// A request as the referee has recorded it.
struct RequestState {
    class: usize,
    deadline: f64,
    /// Whether it has been answered, or its client has left.
    finished: bool,
    /// Server, its cell, start and outcome of each attempt.
    attempts: Vec<(ServerId, u64, f64, Option<Outcome>)>,
}

/// Vote settings for simulated runs of a few seconds.
pub fn votes() -> VoteSettings {
    let (evidence_window, suspect_pause, contact_timeout) = (500.0, 50.0, 500.0);
    VoteSettings {
        evidence_window,
        min_attempts: 3,
        failure_threshold: 0.5,
        self_doubt_threshold: 0.4,
        suspect_pause,
        trickle_share: 0.1,
        contact_timeout,
    }
}

/// Follows the events and actions of a node and records each breach of a rule.
#[derive(Default)]
pub struct Referee {
    /// The servers that the group has removed by votes, each with whether this node may probe it, and whether the
    /// verdict is about the process that runs now.
    verdicts: BTreeMap<ServerId, (bool, bool)>,
    /// When verdicts were last received.
    last_verdicts_at: f64,
    votes_off: bool,
    requests: BTreeMap<RequestId, RequestState>,
    /// The entry of each server, and since when it has not been up.
    servers: BTreeMap<ServerId, (Entry, Option<f64>)>,
    warm_sends: Vec<(ServerId, f64)>,
    cold_sends: Vec<(ServerId, f64)>,
    requested_at: Vec<f64>,
    /// The breaches found, each beginning with the name of its rule.
    pub breaches: Vec<String>,
}

impl Referee {
    /// Records an event handed to the node.
    pub fn observe_event(&mut self, now: f64, event: &Event) {
        match event {
            Event::List { entries, .. } => {
                for (entry, gone) in self.servers.values_mut() {
                    entry.state = ServerState::Gone;
                    gone.get_or_insert(now);
                }
                self.update_servers(now, entries);
            }
            Event::ListChange(entries) => self.update_servers(now, entries),
            Event::Verdicts(verdicts) if !self.votes_off => {
                self.verdicts = verdicts.iter().map(|v| (v.server, (v.probe, true))).collect();
                self.last_verdicts_at = now;
            }
            Event::Policy(new) => {
                self.votes_off = new.votes.is_none();
                self.verdicts.retain(|_, _| !self.votes_off);
            }
            Event::Request { id, class, deadline, .. } => {
                let request = RequestState {
                    class: *class,
                    deadline: *deadline,
                    finished: false,
                    attempts: Vec::new(),
                };
                self.requests.insert(*id, request);
                self.requested_at.push(now);
            }
            Event::AttemptEnded { id, attempt, outcome, answered, .. } => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.attempts[*attempt].3 = Some(*outcome);
                    request.finished |= *answered;
                }
            }
            Event::ClientGone(id) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.finished = true;
                }
            }
            _ => {}
        }
    }

    fn update_servers(&mut self, now: f64, entries: &[Entry]) {
        for entry in entries {
            let gone = (entry.state != ServerState::Up).then_some(now);
            let known = self.servers.entry(entry.server).or_insert((entry.clone(), gone));
            if known.0.started_at != entry.started_at {
                self.verdicts.entry(entry.server).and_modify(|(_, current)| *current = false);
            }
            known.1 = if gone.is_some() { known.1.or(gone) } else { None };
            known.0 = entry.clone();
        }
    }

    /// `Some` if a server is removed by votes, with whether this node may probe it. A verdict is void if it is stale, or
    /// if fewer than half of the listed servers would be left.
    fn removed(&self, settings: &Settings, now: f64, server: ServerId) -> Option<bool> {
        let fresh = settings.votes.as_ref().is_some_and(|v| now - self.last_verdicts_at < v.contact_timeout);
        let listed = self.servers.values().filter(|(e, _)| e.state != ServerState::Gone).count();
        let up = self.servers.iter().filter(|(_, (e, _))| e.state == ServerState::Up);
        let left = up.filter(|(id, _)| !self.verdicts.contains_key(id)).count();
        let verdict = self.verdicts.get(&server);
        let in_force = verdict.filter(|(_, current)| *current && fresh && 2 * left >= listed);
        in_force.map(|(probe, _)| *probe)
    }

    /// Checks an action of the node.
    pub fn observe_action(&mut self, settings: &Settings, now: f64, action: &Action) {
        if let Action::Send { id, server, .. } = action {
            let request = self.requests.get(id);
            let may_probe = request.is_some_and(|r| r.attempts.is_empty() && r.class == SAFE);
            match self.removed(settings, now, *server) {
                Some(false) => self.breaches.push(format!("votes: {server:?} is removed")),
                Some(true) if !may_probe => self.breaches.push(format!("votes: {id:?} may not probe")),
                _ => {}
            }
        }
        let mut breach = |text: String| self.breaches.push(text);
        match action {
            Action::Send { id, server, .. } => {
                let Some(request) = self.requests.get_mut(id) else {
                    return breach(format!("{id:?} is unknown"));
                };
                let Some((entry, gone)) = self.servers.get(server) else { return breach("no server".into()) };
                if request.finished {
                    breach(format!("rule 1: {id:?} sent after its end"));
                }
                if gone.is_some_and(|at| now > at + DRAIN_GRACE_MS) {
                    breach(format!("rule 3: {server:?} got a request after its drain"));
                }
                let mut may_have_run =
                    request.attempts.iter().filter(|a| !a.3.is_some_and(Outcome::never_ran));
                let harmless = match settings.classes[request.class].idempotency {
                    Idempotency::Safe => true,
                    Idempotency::Unsafe => may_have_run.next().is_none(),
                    Idempotency::Keyed { dedup_window, .. } => {
                        may_have_run.all(|a| a.1 == entry.cell && now < a.2 + dedup_window)
                    }
                };
                if !harmless {
                    breach(format!("rule 2: {id:?} sent again"));
                }
                request.attempts.push((*server, entry.cell, now, None));
                let age = entry.started_at.map_or(f64::INFINITY, |t| now - t);
                let cold = age < settings.rules.warmup_time;
                let sends = if cold { &mut self.cold_sends } else { &mut self.warm_sends };
                sends.push((*server, now));
                if cold {
                    self.check_cold(settings, now, *server, age);
                }
            }
            Action::Refuse { id, .. } => {
                let Some(request) = self.requests.get_mut(id) else {
                    return breach(format!("{id:?} is unknown"));
                };
                let may_have_run = request.attempts.iter().any(|a| !a.3.is_some_and(Outcome::never_ran));
                if may_have_run && settings.classes[request.class].idempotency != Idempotency::Safe {
                    breach(format!("rule 2: {id:?} refused though it may have run"));
                }
                Self::record_answer(request, settings, now, *id, &mut self.breaches);
            }
            Action::Fail(id) => {
                if let Some(request) = self.requests.get_mut(id) {
                    Self::record_answer(request, settings, now, *id, &mut self.breaches);
                }
            }
            _ => {}
        }
    }

    /// Rule 1: each request is answered once, and in time.
    fn record_answer(
        request: &mut RequestState,
        settings: &Settings,
        now: f64,
        id: RequestId,
        breaches: &mut Vec<String>,
    ) {
        if request.finished {
            breaches.push(format!("rule 1: {id:?} answered twice"));
        }
        if now > request.deadline + 2.0 * settings.tick {
            breaches.push(format!("rule 1: {id:?} answered late"));
        }
        request.finished = true;
    }

    /// Rule 4: checks the sends to a cold server against this node's part of its budget. The measure of a warm server
    /// is what the busiest one got or, if more, an even share of all requests.
    fn check_cold(&mut self, settings: &Settings, now: f64, server: ServerId, age: f64) {
        let rules = &settings.rules;
        let recent = |sends: &[(ServerId, f64)], s: ServerId| {
            sends.iter().filter(|x| x.0 == s && x.1 > now - rules.overload_window).count()
        };
        let warm = self.warm_sends.iter().map(|x| recent(&self.warm_sends, x.0)).max().unwrap_or(0);
        let requested = self.requested_at.iter().filter(|t| **t > now - rules.overload_window).count();
        let up = self.servers.values().filter(|(_, gone)| gone.is_none()).count().max(1);
        let warm = (warm as f64).max(requested as f64 / up as f64);
        let share = rules.cold_capacity + (1.0 - rules.cold_capacity) * age / rules.warmup_time;
        let budget = rules.overload_multiple * share * warm;
        if recent(&self.cold_sends, server) as f64 > budget.max(1.0) + 1.0 {
            self.breaches.push(format!("rule 4: {server:?} pushed"));
        }
    }

    /// Checks that every request was answered; to be called once all deadlines have passed.
    pub fn finish(&mut self) {
        for (id, request) in &self.requests {
            if !request.finished {
                self.breaches.push(format!("rule 1: {id:?} has no answer"));
            }
        }
    }
}
