//! Model of one node: its decision module, and the state of the node that decisions depend on, namely open requests,
//! attempts, kept connections and the list of servers.

use std::collections::BTreeMap;

use endpoints::{Health, ListState, Update};
use member::Stamp;
use serde_json::Value;
use tulipmount::wire::{parse_settings, NodeSettings};
use tulipmount::{
    Action, Balancer, BallotReport, Entry, Event, Outcome, RequestId, ServerId, ServerState, ServerVerdict,
    Status,
};

use crate::draw::us_from_ms;
use crate::error::ModelError;
use crate::server::Us;
use crate::world::ClientTry;

/// Margin by which the module's deadline ends before the client's: the first value (µs), but at most the client's
/// timeout divided by the second value.
const DEADLINE_MARGIN: (Us, Us) = (20_000, 8);
/// Share of the servers' keep-alive time for which the node keeps an idle connection.
const KEEP_ALIVE_SHARE: f64 = 0.5;

/// A connection: its server, and the server's incarnation.
type ConnectionId = (usize, u32);

/// Something that a node asks its driver to do.
pub enum NodeEffect {
    /// Wake the node at this time.
    Timer(Us),
    /// Send the final answer to a client.
    Answer {
        /// The client's try.
        try_id: usize,
        /// The status.
        status: u16,
        /// Retry-After, in microseconds.
        retry_after: Option<Us>,
        /// The world's number of the attempt that was served.
        attempt: Option<usize>,
    },
    /// Send an attempt to a server.
    Send {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: usize,
        /// The server.
        server: usize,
        /// Time at which the attempt times out.
        until: Us,
    },
    /// Give up an attempt, and close its connection.
    Close {
        /// Number of the attempt in the world.
        attempt: Option<usize>,
        /// The connection.
        connection: Option<ConnectionId>,
    },
}

/// An attempt at a request.
struct Attempt {
    server_id: ServerId,
    server: usize,
    sent: Us,
    ended: bool,
    /// Number of the attempt in the world, and its connection, once the request is sent.
    sent_as: Option<(usize, ConnectionId)>,
}

/// A request with an answer due or with open attempts.
struct OpenRequest {
    try_id: usize,
    answer_due: bool,
    attempts: Vec<Attempt>,
}

/// Model of a node's process.
pub struct Node {
    node_settings: NodeSettings,
    balancer: Balancer,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// Kept connections by server, each with the server's incarnation and the time since when it is idle.
    idle: BTreeMap<usize, Vec<(u32, Us)>>,
    servers: BTreeMap<ServerId, usize>,
    /// Newest reply of the control group: its stamp, and the names of the servers on which it requests ballots.
    pub group_answer: Option<(Stamp, Vec<String>)>,
    zones: Vec<String>,
    list: ListState,
    /// Number of watches that were opened.
    list_calls: u64,
    watching: bool,
    ready: bool,
}

/// Converts microseconds to milliseconds, the module's unit.
fn ms_from_us(at: Us) -> f64 {
    at as f64 / 1e3
}

/// Id of a server from its name, `s-` and random hex digits.
fn server_id(name: &str) -> ServerId {
    ServerId(name.get(2..).and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or(0))
}

impl Node {
    /// Creates a node that has just started and has no list.
    ///
    /// # Errors
    /// Fails if the settings are rejected.
    pub fn new(settings: &Value, seed: u64, zones: &[String]) -> Result<Self, ModelError> {
        let node_settings = parse_settings(settings).map_err(|e| ModelError::Settings(e.to_string()))?;
        let balancer = Balancer::new(node_settings.settings.clone(), seed)
            .map_err(|e| ModelError::Settings(e.to_string()))?;
        Ok(Self {
            node_settings,
            balancer,
            requests: BTreeMap::new(),
            idle: BTreeMap::new(),
            servers: BTreeMap::new(),
            group_answer: None,
            zones: zones.to_vec(),
            list: ListState::new(None),
            list_calls: 0,
            watching: false,
            ready: false,
        })
    }

    /// Status of its decision module.
    pub fn status(&self) -> Status {
        self.balancer.status()
    }

    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether its watch of the list is open.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Opens or closes its watch.
    pub fn set_watching(&mut self, watching: bool) {
        self.watching = watching;
        self.list_calls += u64::from(watching);
    }

    /// Newest version of its list.
    pub fn list_version(&self) -> u64 {
        self.list.version()
    }

    /// When a rolled-back list is to be confirmed by requesting the full list.
    pub fn confirm_rollback_at(&self) -> Option<Us> {
        self.list.rollback_confirm_at().map(|at| at * 1000)
    }

    /// Whether a client still waits for an answer.
    pub fn has_open_requests(&self) -> bool {
        self.requests.values().any(|r| r.answer_due)
    }

    /// Connect timeout.
    pub fn connect_time(&self) -> Us {
        us_from_ms(self.node_settings.settings.limits.connect_timeout)
    }

    /// Passes an event to the module, and translates its actions.
    fn handle_event(&mut self, now: Us, event: Event) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        let mut events = std::collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(ms_from_us(now), event, &mut actions);
            for action in actions {
                match action {
                    Action::Send { id, server: server_id, timeout } => {
                        let Some(server) = self.servers.get(&server_id).copied() else { continue };
                        let Some(open) = self.requests.get_mut(&id) else { continue };
                        let attempt = open.attempts.len();
                        open.attempts.push(Attempt {
                            server_id,
                            server,
                            sent: now,
                            ended: false,
                            sent_as: None,
                        });
                        let until = now + us_from_ms(timeout.unwrap_or(1e6));
                        effects.push(NodeEffect::Send { id, attempt, server, until });
                    }
                    Action::Cancel { id, attempt } => {
                        if let Some((closed, ended)) = self.close(now, id, attempt, Outcome::Cancelled) {
                            effects.push(closed);
                            events.push_back(ended);
                        }
                    }
                    Action::Refuse { id, retry_after } => {
                        let retry_after = (retry_after > 0.0).then(|| us_from_ms(retry_after));
                        effects.extend(self.answer(id, 503, retry_after, None));
                    }
                    Action::Fail(id) => effects.extend(self.answer(id, 502, None, None)),
                    Action::SetTimer(after) => {
                        effects.push(NodeEffect::Timer(now + us_from_ms(after).max(1)))
                    }
                    // The site's discovery pushes changes, and servers may not be probed.
                    Action::Subscribe | Action::Probe(_) => {}
                }
            }
        }
        let is_finished = |r: &OpenRequest| !r.answer_due && r.attempts.iter().all(|a| a.ended);
        self.requests.retain(|_, r| !is_finished(r));
        effects
    }

    /// Returns the effect that answers a request, or `None` if it has been answered or its client has left.
    /// `retry_after` is in microseconds; `attempt` is the world's number of the attempt that was served.
    fn answer(
        &mut self,
        id: RequestId,
        status: u16,
        retry_after: Option<Us>,
        attempt: Option<usize>,
    ) -> Option<NodeEffect> {
        let open = self.requests.get_mut(&id)?;
        let answer_due = std::mem::replace(&mut open.answer_due, false);
        answer_due.then_some(NodeEffect::Answer { try_id: open.try_id, status, retry_after, attempt })
    }

    /// Ends an attempt that is still open, and closes its connection.
    fn close(
        &mut self,
        now: Us,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
    ) -> Option<(NodeEffect, Event)> {
        let open = self.requests.get_mut(&id)?;
        let answered = !open.answer_due;
        let open_attempt = open.attempts.get_mut(attempt).filter(|a| !a.ended)?;
        open_attempt.ended = true;
        let closed = NodeEffect::Close {
            attempt: open_attempt.sent_as.map(|(attempt_id, _)| attempt_id),
            connection: open_attempt.sent_as.map(|(_, connection)| connection),
        };
        Some((closed, self.attempt_end_event(now, id, attempt, outcome, answered)?))
    }

    /// The event that reports the end of an attempt to the module.
    fn attempt_end_event(
        &self,
        now: Us,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        answered: bool,
    ) -> Option<Event> {
        let open_attempt = self.requests.get(&id)?.attempts.get(attempt)?;
        Some(Event::AttemptEnded {
            id,
            attempt,
            server: open_attempt.server_id,
            outcome,
            elapsed: ms_from_us(now - open_attempt.sent),
            answered,
        })
    }

    /// Handles a client's request.
    pub fn client_request(&mut self, now: Us, try_id: usize, client_try: &ClientTry) -> Vec<NodeEffect> {
        let id = RequestId(try_id as u64);
        self.requests.insert(id, OpenRequest { try_id, answer_due: true, attempts: Vec::new() });
        let margin = DEADLINE_MARGIN.0.min(client_try.timeout / DEADLINE_MARGIN.1);
        // The timeout counts from when the client sent the request.
        let deadline = ms_from_us((client_try.sent_at + client_try.timeout).saturating_sub(margin).max(now));
        self.handle_event(
            now,
            Event::Request {
                id,
                class: client_try.class,
                tenant: None,
                deadline,
                streaming_body: false,
                is_retry: client_try.is_retry,
                estimated_work: Some(client_try.work_estimate / 1e3),
            },
        )
    }

    /// The client has closed its connection.
    pub fn client_left(&mut self, now: Us, id: RequestId) -> Vec<NodeEffect> {
        match self.requests.get_mut(&id) {
            Some(open) => open.answer_due = false,
            None => return Vec::new(),
        }
        self.handle_event(now, Event::ClientGone(id))
    }

    /// Passes an expired timer to the module.
    pub fn timer(&mut self, now: Us) -> Vec<NodeEffect> {
        self.handle_event(now, Event::Timer)
    }

    /// Whether an attempt has no connection yet.
    pub fn is_connecting(&self, id: RequestId, attempt: usize) -> bool {
        self.requests.get(&id).and_then(|r| r.attempts.get(attempt)).is_some_and(|a| a.sent_as.is_none())
    }

    /// An attempt was sent to its server.
    pub fn attempt_sent(
        &mut self,
        id: RequestId,
        attempt: usize,
        attempt_id: usize,
        connection: ConnectionId,
    ) {
        if let Some(open_attempt) = self.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(attempt)) {
            open_attempt.sent_as = Some((attempt_id, connection));
        }
    }

    /// An attempt ended; ignored unless it was still open.
    pub fn attempt_ended(
        &mut self,
        now: Us,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
    ) -> Vec<NodeEffect> {
        if matches!(outcome, Outcome::Success | Outcome::Rejected | Outcome::Error) {
            return self.answer_received(now, id, attempt, outcome);
        }
        let Some((closed, ended)) = self.close(now, id, attempt, outcome) else { return Vec::new() };
        let mut effects = vec![closed];
        effects.extend(self.handle_event(now, ended));
        effects
    }

    /// A server's answer has arrived; its connection is kept.
    fn answer_received(
        &mut self,
        now: Us,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
    ) -> Vec<NodeEffect> {
        let Some(open) = self.requests.get_mut(&id) else { return Vec::new() };
        let Some(open_attempt) = open.attempts.get_mut(attempt).filter(|a| !a.ended) else {
            return Vec::new();
        };
        open_attempt.ended = true;
        let sent_as = open_attempt.sent_as;
        let mut effects = Vec::new();
        if let Some((attempt_id, (server, incarnation))) = sent_as {
            self.idle.entry(server).or_default().push((incarnation, now));
            if outcome == Outcome::Success {
                effects.extend(self.answer(id, 200, None, Some(attempt_id)));
            }
        }
        let answered = self.requests.get(&id).is_some_and(|r| !r.answer_due);
        if let Some(ended) = self.attempt_end_event(now, id, attempt, outcome, answered) {
            effects.extend(self.handle_event(now, ended));
        }
        effects
    }

    // ---- The control group ----

    /// Ballots on its servers, and the number of each server in the world.
    pub fn ballots(&self) -> (BallotReport, &BTreeMap<ServerId, usize>) {
        (self.balancer.ballots(), &self.servers)
    }

    /// Applies an agreed policy.
    ///
    /// # Errors
    /// Fails if the settings are rejected.
    pub fn apply_policy(&mut self, now: Us, settings: &Value) -> Result<Vec<NodeEffect>, ModelError> {
        self.node_settings = parse_settings(settings).map_err(|e| ModelError::Settings(e.to_string()))?;
        let settings = self.node_settings.settings.clone();
        Ok(self.handle_event(now, Event::Policy(Box::new(settings))))
    }

    /// Applies the group's verdicts: the servers that are removed for this node, and whether this node probes them.
    pub fn apply_verdicts<'a>(
        &mut self,
        now: Us,
        removed: impl Iterator<Item = (&'a str, bool)>,
    ) -> Vec<NodeEffect> {
        let verdicts =
            removed.map(|(name, probe)| ServerVerdict { server: server_id(name), probe }).collect();
        self.handle_event(now, Event::Verdicts(verdicts))
    }

    // ---- Connections ----

    /// How long an idle connection is kept.
    fn keep_alive(&self) -> Us {
        us_from_ms(self.node_settings.keepalive * KEEP_ALIVE_SHARE)
    }

    /// Takes the most recently used kept connection to a server.
    pub fn take_connection(&mut self, now: Us, server: usize) -> Option<u32> {
        let keep_alive = self.keep_alive();
        let connections = self.idle.get_mut(&server)?;
        // The others have been idle for longer still; they are closed at the next check.
        let (_, since) = connections.last()?;
        if now - since < keep_alive {
            connections.pop().map(|(incarnation, _)| incarnation)
        } else {
            None
        }
    }

    /// Removes the connections that have been idle for too long.
    pub fn remove_expired_connections(&mut self, now: Us) -> Vec<ConnectionId> {
        let keep_alive = self.keep_alive();
        let mut stale = Vec::new();
        for (server, connections) in &mut self.idle {
            stale.extend(
                connections
                    .extract_if(.., |(_, since)| now - *since >= keep_alive)
                    .map(|(incarnation, _)| (*server, incarnation)),
            );
        }
        stale
    }

    /// Removes the connections to a server, which were closed. Returns the incarnations of the kept ones, and the
    /// attempts that were open.
    pub fn connections_lost(&mut self, server: usize) -> (Vec<u32>, Vec<(RequestId, usize)>) {
        let idle = self.idle.remove(&server).unwrap_or_default();
        let is_open = |a: &Attempt| !a.ended && a.server == server && a.sent_as.is_some();
        let attempts =
            self.requests.iter().flat_map(|(id, r)| r.attempts.iter().enumerate().map(|(n, a)| (*id, n, a)));
        let broken = attempts.filter(|(.., a)| is_open(a)).map(|(id, n, _)| (id, n)).collect();
        (idle.into_iter().map(|(incarnation, _)| incarnation).collect(), broken)
    }

    /// Ends the node. Returns the tries that wait for an answer, the open attempts, and all connections.
    pub fn into_open_work(self) -> (Vec<usize>, Vec<usize>, Vec<ConnectionId>) {
        let tries = self.requests.values().filter(|r| r.answer_due).map(|r| r.try_id).collect();
        let open_attempts = self.requests.values().flat_map(|r| &r.attempts).filter(|a| !a.ended);
        let (attempts, busy): (Vec<usize>, Vec<ConnectionId>) =
            open_attempts.filter_map(|a| a.sent_as).unzip();
        let idle = self.idle.iter().flat_map(|(server, connections)| {
            connections.iter().map(|(incarnation, _)| (*server, *incarnation))
        });
        let connections = busy.into_iter().chain(idle).collect();
        (tries, attempts, connections)
    }

    // ---- The list ----

    /// Reports to the module that the list is current without changes.
    pub fn list_unchanged(&mut self, now: Us) -> Vec<NodeEffect> {
        self.handle_event(now, Event::ListChange(Vec::new()))
    }

    /// Starts with the saved full list.
    pub fn start_with_list(&mut self, now: Us, saved: Update) -> Vec<NodeEffect> {
        self.list = ListState::new(Some(&saved));
        self.ready = true;
        self.apply_list(now, saved, true)
    }

    /// Applies a list or its changes. Returns true if a full list is needed to learn what was left out.
    pub fn apply_list_update(&mut self, now: Us, update: Update) -> (Vec<NodeEffect>, bool) {
        let outcome = self.list.apply(update, self.list_calls, now / 1000);
        let effects = match outcome.accepted {
            Some(update) => self.apply_list(now, update, false),
            None => self.list_unchanged(now),
        };
        (effects, outcome.needs_full_list)
    }

    /// Passes accepted list entries to the module. Connections to a process that is gone have ended with it.
    fn apply_list(&mut self, now: Us, update: Update, saved: bool) -> Vec<NodeEffect> {
        let entries = update.hosts.iter().map(|host| {
            let server = server_id(&host.host);
            let state = match host.health {
                Health::Active => ServerState::Up,
                Health::Leaving => ServerState::Draining,
                Health::Left => ServerState::Gone,
            };
            if let Some(dial) = host.dial {
                self.servers.insert(server, usize::from(dial.port()) - 1);
            }
            let zone = self.zones.iter().position(|z| *z == host.zone).unwrap_or(0) as u64;
            let started = (host.born_ms > 0.0).then_some(host.born_ms);
            Entry { server, zone, cell: host.cell, kind: 0, state, weight: host.weight, started_at: started }
        });
        let entries = entries.collect();
        self.handle_event(
            now,
            if update.whole { Event::List { entries, saved } } else { Event::ListChange(entries) },
        )
    }
}
