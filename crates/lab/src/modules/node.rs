//! One node round its module, as far as decisions depend on it: open requests, attempts, kept connections, the list.

use std::collections::BTreeMap;

use endpoints::{Health, ListState, Update};
use member::Stamp;
use serde_json::Value;
use tulipmount::wire::{parse_settings, NodeSettings};
use tulipmount::{
    Action, Balancer, BallotReport, Entry, Event, Outcome, RequestId, ServerId, ServerState, ServerVerdict,
    Status,
};

use crate::draw::ms;
use crate::error::ModelError;
use crate::server::Us;
use crate::world::Ask;

/// How long before a client's deadline the module's ends, at most, and as a part of the time.
const MARGIN: (Us, Us) = (20_000, 8);
/// The part of the servers' keep-alive for which a connection is kept.
const KEPT: f64 = 0.5;

/// A connection: its server, and the life of the server that it came in.
type Link = (usize, u32);

/// What a node wants done.
pub enum Want {
    /// To be woken.
    Timer(Us),
    /// A final answer.
    Answer {
        /// The client's try.
        ask: usize,
        /// The status.
        status: u16,
        /// When the client should come back.
        retry_after: Option<Us>,
        /// The attempt that served it.
        attempt: Option<usize>,
    },
    /// An attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: usize,
        /// Where to.
        server: usize,
        /// Until when.
        until: Us,
    },
    /// An attempt is no longer waited for, and its connection ends.
    Close {
        /// The world's number of it.
        attempt: Option<usize>,
        /// The connection.
        link: Option<Link>,
    },
}

struct Try {
    id: ServerId,
    server: usize,
    sent: Us,
    over: bool,
    /// The world's number of it and its connection, once it is written.
    written: Option<(usize, Link)>,
}

struct Open {
    ask: usize,
    owed: bool,
    tries: Vec<Try>,
}

/// A node.
pub struct Node {
    told: NodeSettings,
    balancer: Balancer,
    requests: BTreeMap<RequestId, Open>,
    /// Kept connections by server, each with its life and since when it has been idle.
    idle: BTreeMap<usize, Vec<(u32, Us)>>,
    servers: BTreeMap<ServerId, usize>,
    /// The newest answer of the control group: its stamp, and the servers that it asks about.
    pub answer: Option<(Stamp, Vec<String>)>,
    zones: Vec<String>,
    list: ListState,
    /// The calls for the list that were begun.
    calls: u64,
    watching: bool,
    ready: bool,
}

/// Milliseconds, the module's unit.
fn millis(at: Us) -> f64 {
    at as f64 / 1e3
}

/// A name's number: servers' names are random hex digits.
fn number(name: &str) -> ServerId {
    ServerId(name.get(2..).and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or(0))
}

impl Node {
    /// A node that has just started and knows no list.
    ///
    /// # Errors
    /// Where the settings are refused.
    pub fn new(settings: &Value, seed: u64, zones: &[String]) -> Result<Self, ModelError> {
        let told = parse_settings(settings).map_err(|e| ModelError::Settings(e.to_string()))?;
        let balancer =
            Balancer::new(told.settings.clone(), seed).map_err(|e| ModelError::Settings(e.to_string()))?;
        Ok(Self {
            told,
            balancer,
            requests: BTreeMap::new(),
            idle: BTreeMap::new(),
            servers: BTreeMap::new(),
            answer: None,
            zones: zones.to_vec(),
            list: ListState::new(None),
            calls: 0,
            watching: false,
            ready: false,
        })
    }

    /// What its module has seen.
    pub fn status(&self) -> Status {
        self.balancer.status()
    }

    /// Does it take requests?
    pub fn serves(&self) -> bool {
        self.ready
    }

    /// Does its watch stand?
    pub fn watches(&self) -> bool {
        self.watching
    }

    /// Its watch begins or ends.
    pub fn watch(&mut self, stands: bool) {
        self.watching = stands;
        self.calls += u64::from(stands);
    }

    /// The newest version of its list that counts.
    pub fn version(&self) -> u64 {
        self.list.version()
    }

    /// When an older list that stays is to be asked for again.
    pub fn confirm_at(&self) -> Option<Us> {
        self.list.rollback_confirm_at().map(|at| at * 1000)
    }

    /// Is anything open?
    pub fn busy(&self) -> bool {
        self.requests.values().any(|r| r.owed)
    }

    /// How long a connect may take.
    pub fn connect_time(&self) -> Us {
        ms(self.told.settings.limits.connect_timeout)
    }

    fn feed(&mut self, now: Us, event: Event) -> Vec<Want> {
        let mut wants = Vec::new();
        let mut events = std::collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(millis(now), event, &mut actions);
            for action in actions {
                match action {
                    Action::Send { id, server: to, timeout } => {
                        let Some(server) = self.servers.get(&to).copied() else { continue };
                        let Some(open) = self.requests.get_mut(&id) else { continue };
                        let attempt = open.tries.len();
                        open.tries.push(Try { id: to, server, sent: now, over: false, written: None });
                        let until = now + ms(timeout.unwrap_or(1e6));
                        wants.push(Want::Send { id, attempt, server, until });
                    }
                    Action::Cancel { id, attempt } => {
                        if let Some((closed, ended)) = self.close(now, id, attempt, Outcome::Cancelled) {
                            wants.push(closed);
                            events.push_back(ended);
                        }
                    }
                    Action::Refuse { id, retry_after } => {
                        let after = (retry_after > 0.0).then(|| ms(retry_after));
                        wants.extend(self.answer(id, 503, after, None));
                    }
                    Action::Fail(id) => wants.extend(self.answer(id, 502, None, None)),
                    Action::SetTimer(after) => wants.push(Want::Timer(now + ms(after).max(1))),
                    // The site's discovery is pushed, and nobody may probe.
                    Action::Subscribe | Action::Probe(_) => {}
                }
            }
        }
        let over = |r: &Open| !r.owed && r.tries.iter().all(|t| t.over);
        self.requests.retain(|_, r| !over(r));
        wants
    }

    fn answer(
        &mut self,
        id: RequestId,
        status: u16,
        retry_after: Option<Us>,
        attempt: Option<usize>,
    ) -> Option<Want> {
        let open = self.requests.get_mut(&id)?;
        let owed = std::mem::replace(&mut open.owed, false);
        owed.then_some(Want::Answer { ask: open.ask, status, retry_after, attempt })
    }

    /// An attempt that is still out ends here: its connection closes.
    fn close(&mut self, now: Us, id: RequestId, attempt: usize, outcome: Outcome) -> Option<(Want, Event)> {
        let open = self.requests.get_mut(&id)?;
        let finished = !open.owed;
        let out = open.tries.get_mut(attempt).filter(|t| !t.over)?;
        out.over = true;
        let closed = Want::Close { attempt: out.written.map(|w| w.0), link: out.written.map(|w| w.1) };
        Some((closed, self.end_of(now, id, attempt, outcome, finished)?))
    }

    fn end_of(
        &self,
        now: Us,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        finished: bool,
    ) -> Option<Event> {
        let out = self.requests.get(&id)?.tries.get(attempt)?;
        Some(Event::AttemptEnded {
            id,
            attempt,
            server: out.id,
            outcome,
            elapsed: millis(now - out.sent),
            answered: finished,
        })
    }

    /// A client's request.
    pub fn asked(&mut self, now: Us, ask: usize, asked: &Ask) -> Vec<Want> {
        let id = RequestId(ask as u64);
        self.requests.insert(id, Open { ask, owed: true, tries: Vec::new() });
        let margin = MARGIN.0.min(asked.wait / MARGIN.1);
        // Its time is counted from when it was sent.
        let deadline = millis((asked.at + asked.wait).saturating_sub(margin).max(now));
        self.feed(
            now,
            Event::Request {
                id,
                class: asked.class,
                tenant: None,
                deadline,
                streaming_body: false,
                is_retry: asked.again,
                estimated_work: Some(asked.guess / 1e3),
            },
        )
    }

    /// Its client left.
    pub fn left(&mut self, now: Us, id: RequestId) -> Vec<Want> {
        match self.requests.get_mut(&id) {
            Some(open) => open.owed = false,
            None => return Vec::new(),
        }
        self.feed(now, Event::ClientGone(id))
    }

    /// The module's timer.
    pub fn timer(&mut self, now: Us) -> Vec<Want> {
        self.feed(now, Event::Timer)
    }

    /// Has this attempt no connection yet?
    pub fn connecting(&self, id: RequestId, attempt: usize) -> bool {
        self.requests.get(&id).and_then(|r| r.tries.get(attempt)).is_some_and(|t| t.written.is_none())
    }

    /// An attempt was written.
    pub fn sent(&mut self, id: RequestId, attempt: usize, number: usize, link: Link) {
        if let Some(out) = self.requests.get_mut(&id).and_then(|r| r.tries.get_mut(attempt)) {
            out.written = Some((number, link));
        }
    }

    /// An attempt ended, if it was still out.
    pub fn ended(&mut self, now: Us, id: RequestId, attempt: usize, outcome: Outcome) -> Vec<Want> {
        if matches!(outcome, Outcome::Success | Outcome::Rejected | Outcome::Error) {
            return self.heard(now, id, attempt, outcome);
        }
        let Some((closed, ended)) = self.close(now, id, attempt, outcome) else { return Vec::new() };
        let mut wants = vec![closed];
        wants.extend(self.feed(now, ended));
        wants
    }

    /// A server's answer is there; its connection is kept.
    fn heard(&mut self, now: Us, id: RequestId, attempt: usize, outcome: Outcome) -> Vec<Want> {
        let Some(open) = self.requests.get_mut(&id) else { return Vec::new() };
        let Some(out) = open.tries.get_mut(attempt).filter(|t| !t.over) else { return Vec::new() };
        out.over = true;
        let written = out.written;
        let mut wants = Vec::new();
        if let Some((number, (server, life))) = written {
            self.idle.entry(server).or_default().push((life, now));
            if outcome == Outcome::Success {
                wants.extend(self.answer(id, 200, None, Some(number)));
            }
        }
        let finished = self.requests.get(&id).is_some_and(|r| !r.owed);
        if let Some(ended) = self.end_of(now, id, attempt, outcome, finished) {
            wants.extend(self.feed(now, ended));
        }
        wants
    }

    // ---- The control group ----

    /// What it holds of its servers, by their numbers.
    pub fn ballots(&self) -> (BallotReport, &BTreeMap<ServerId, usize>) {
        (self.balancer.ballots(), &self.servers)
    }

    /// An agreed policy takes hold.
    ///
    /// # Errors
    /// Where the settings are refused.
    pub fn agreed(&mut self, now: Us, settings: &Value) -> Result<Vec<Want>, ModelError> {
        self.told = parse_settings(settings).map_err(|e| ModelError::Settings(e.to_string()))?;
        let settings = self.told.settings.clone();
        Ok(self.feed(now, Event::Policy(Box::new(settings))))
    }

    /// The group's word: servers that are removed for this node, and whether it probes them.
    pub fn ruled<'a>(&mut self, now: Us, of: impl Iterator<Item = (&'a str, bool)>) -> Vec<Want> {
        let rulings = of.map(|(name, probe)| ServerVerdict { server: number(name), probe }).collect();
        self.feed(now, Event::Verdicts(rulings))
    }

    // ---- Connections ----

    fn keeps(&self) -> Us {
        ms(self.told.keepalive * KEPT)
    }

    /// The kept connection that was used last.
    pub fn take_link(&mut self, now: Us, server: usize) -> Option<u32> {
        let keeps = self.keeps();
        let links = self.idle.get_mut(&server)?;
        // The others are idle for longer still; they are closed at the next look.
        let (_, since) = links.last()?;
        if now - since < keeps {
            links.pop().map(|(life, _)| life)
        } else {
            None
        }
    }

    /// Takes out the connections that have been idle for too long.
    pub fn stale(&mut self, now: Us) -> Vec<Link> {
        let keeps = self.keeps();
        let mut stale = Vec::new();
        for (server, links) in &mut self.idle {
            stale.extend(
                links.extract_if(.., |(_, since)| now - *since >= keeps).map(|(life, _)| (*server, life)),
            );
        }
        stale
    }

    /// Its connections to a server are broken: the lives of the kept ones, and the attempts that were out.
    pub fn broken(&mut self, server: usize) -> (Vec<u32>, Vec<(RequestId, usize)>) {
        let idle = self.idle.remove(&server).unwrap_or_default();
        let out = |t: &Try| !t.over && t.server == server && t.written.is_some();
        let tries =
            self.requests.iter().flat_map(|(id, r)| r.tries.iter().enumerate().map(|(n, t)| (*id, n, t)));
        let broken = tries.filter(|(.., t)| out(t)).map(|(id, n, _)| (id, n)).collect();
        (idle.into_iter().map(|(life, _)| life).collect(), broken)
    }

    /// It ends: the tries that it owes an answer, the attempts that are out, and all connections.
    pub fn ends(self) -> (Vec<usize>, Vec<usize>, Vec<Link>) {
        let asks = self.requests.values().filter(|r| r.owed).map(|r| r.ask).collect();
        let out = self.requests.values().flat_map(|r| &r.tries).filter(|t| !t.over);
        let (attempts, busy): (Vec<usize>, Vec<Link>) = out.filter_map(|t| t.written).unzip();
        let idle =
            self.idle.iter().flat_map(|(server, links)| links.iter().map(|(life, _)| (*server, *life)));
        let links = busy.into_iter().chain(idle).collect();
        (asks, attempts, links)
    }

    // ---- The list ----

    /// The watch stands with no news.
    pub fn alive(&mut self, now: Us) -> Vec<Want> {
        self.feed(now, Event::ListChange(Vec::new()))
    }

    /// The whole list at its start.
    pub fn begin(&mut self, now: Us, saved: Update) -> Vec<Want> {
        self.list = ListState::new(Some(&saved));
        self.ready = true;
        self.news(now, saved, true)
    }

    /// A list or its changes come; true where only the whole list shows what was left out of them.
    pub fn told(&mut self, now: Us, update: Update) -> (Vec<Want>, bool) {
        let outcome = self.list.apply(update, self.calls, now / 1000);
        let wants = match outcome.accepted {
            Some(news) => self.news(now, news, false),
            None => self.alive(now),
        };
        (wants, outcome.needs_full_list)
    }

    /// What is to be believed of the list. Connections of a process that is gone have ended with it.
    fn news(&mut self, now: Us, update: Update, saved: bool) -> Vec<Want> {
        let entries = update.hosts.iter().map(|host| {
            let server = number(&host.host);
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
        self.feed(now, if update.whole { Event::List { entries, saved } } else { Event::ListChange(entries) })
    }
}
