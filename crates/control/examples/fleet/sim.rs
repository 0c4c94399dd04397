//! A fleet in virtual time: the real cores, with links, disks and elections drawn from a seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use consensus::StateMachine as _;
use control::command::{Command, PolicyCommand};
use control::leader::{Effect, Input, Leader, Terms};
use control::machine::Agreement;
use member::{
    AgreedState, ChangeId, Epoch, Heartbeat, HeartbeatReply, Member, MemberConfig, Millis, Policy, Process,
    StartMode, MAX_CLOCK_DRIFT,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// A beat that got no answer is given up after this.
const GIVE_UP_MS: Millis = 500.0;
/// From one proposal to the next.
const APART_MS: Millis = 6000.0;

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// How many nodes.
    pub nodes: usize,
    /// How many changes are proposed, one after the other.
    pub changes: usize,
    /// How many classes each policy names, at some 32 bytes.
    pub classes: usize,
    /// The leader dies shortly after each proposal.
    pub losses: bool,
    pub seed: u64,
}

/// What came of it; times in milliseconds of the world.
#[derive(Debug, Default)]
pub struct Report {
    /// From a proposal to its commit, and to being active at the last node; sorted.
    pub commit: Vec<Millis>,
    pub everywhere: Vec<Millis>,
    /// From the first request that may be taken under a new epoch to the last one under the old; sorted.
    pub mixed: Vec<Millis>,
    /// Messages of all kinds and their bytes, from a proposal to the change being active everywhere; sum.
    pub messages: u64,
    pub bytes: u64,
    /// The same, in the last second, at rest under the last policy.
    pub idle_messages: f64,
    pub idle_bytes: f64,
    pub aborted: usize,
}

/// The longest that two policies may be in service at once.
pub fn bound() -> Millis {
    Terms::default().promise_ms * (1.0 + 2.0 * MAX_CLOCK_DRIFT)
}

/// A quantile of sorted figures.
pub fn quantile(sorted: &[Millis], part: f64) -> Millis {
    sorted
        .get(((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

enum Event {
    Beat(usize),
    BeatComes { node: usize, token: u64, beat: Heartbeat },
    NoAnswer { node: usize, token: u64 },
    AnswerComes { node: usize, token: u64, answer: Box<HeartbeatReply> },
    NewsComes { node: usize, agreed: Box<AgreedState> },
    Checked { node: usize, change: ChangeId },
    Confirmed { term: u64, asked: Millis },
    Written { term: u64, command: Command },
    Tick { term: u64 },
    Propose,
    Lost,
    Elected,
}

struct Node {
    member: Member,
    offset: Millis,
    rate: f64,
    /// The beat that is out, and its sending by the node's clock.
    out: Option<(u64, Millis)>,
}

impl Node {
    fn clock(&self, now: Millis) -> Millis {
        self.offset + self.rate * now
    }

    fn admits(&self, now: Millis) -> bool {
        self.member.admit(self.clock(now)).is_ok()
    }
}

/// A change on its way.
struct Watched {
    proposed: Millis,
    epoch: Epoch,
    missing: usize,
    first: Option<Millis>,
    last_old: Millis,
}

struct Fleet {
    plan: Plan,
    draw: Pcg64Mcg,
    now: Millis,
    order: u64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    nodes: Vec<Node>,
    tokens: u64,
    waiting: BTreeMap<u64, usize>,
    log: Agreement,
    /// Elections so far; the leader of this term, unless it is lost.
    term: u64,
    leader: Option<Leader>,
    /// When the last write was on a majority's disks.
    synced: Millis,
    watched: Option<Watched>,
    traffic: (u64, u64),
    report: Report,
}

/// Runs a plan to its end.
pub fn run(plan: Plan) -> Report {
    let mut draw = Pcg64Mcg::seed_from_u64(plan.seed);
    let nodes = (0..plan.nodes).map(|node| {
        let process = Process { name: format!("node-{node}"), boot: draw.random() };
        let liveness_addr = "127.0.0.1:9".parse().expect("an address");
        let config = MemberConfig {
            process,
            liveness_addr,
            coexists_with_previous: false,
            start_mode: StartMode::Wait,
        };
        let (offset, rate) = (draw.random_range(0.0..1e6), draw.random_range(0.9955..1.0045));
        Node { member: Member::new(config, None, offset), offset, rate, out: None }
    });
    let nodes = nodes.collect();
    let mut fleet = Fleet {
        plan,
        draw,
        now: 0.0,
        order: 0,
        due: BinaryHeap::new(),
        events: BTreeMap::new(),
        nodes,
        tokens: 0,
        waiting: BTreeMap::new(),
        log: Agreement::new(),
        term: 0,
        leader: None,
        synced: 0.0,
        watched: None,
        traffic: (0, 0),
        report: Report::default(),
    };
    fleet.after(0.0, Event::Elected);
    for node in 0..plan.nodes {
        let at = fleet.draw.random_range(0.0..1000.0);
        fleet.after(at, Event::Beat(node));
    }
    for change in 0..plan.changes {
        fleet.after(10_000.0 + APART_MS * change as Millis, Event::Propose);
    }
    fleet.run(10_000.0 + APART_MS * plan.changes as Millis);
    let report = &mut fleet.report;
    for figures in [&mut report.commit, &mut report.everywhere, &mut report.mixed] {
        figures.sort_by(f64::total_cmp);
    }
    fleet.report
}

impl Fleet {
    fn run(&mut self, end: Millis) {
        let mut rested = None;
        while let Some(Reverse((at, order))) = self.due.pop() {
            self.now = at as Millis / 1000.0;
            if self.now > end {
                break;
            }
            if self.now > end - 1000.0 && rested.is_none() {
                rested = Some(self.traffic);
            }
            let event = self.events.remove(&order).expect("each that is due is kept");
            self.event(event);
        }
        let (messages, bytes) = rested.unwrap_or_default();
        self.report.idle_messages = (self.traffic.0 - messages) as f64;
        self.report.idle_bytes = (self.traffic.1 - bytes) as f64;
    }

    fn after(&mut self, delay: Millis, event: Event) {
        self.order += 1;
        self.due.push(Reverse((((self.now + delay) * 1000.0).round() as u64, self.order)));
        self.events.insert(self.order, event);
    }

    /// One way over a link: a lost packet is sent again 200 ms later.
    fn link(&mut self) -> Millis {
        let again = if self.draw.random_bool(0.01) { 200.0 } else { 0.0 };
        again + self.draw.random_range(1.0..20.0)
    }

    fn count(&mut self, message: &impl serde::Serialize) {
        let bytes = serde_json::to_vec(message).expect("messages serialize").len();
        self.traffic.0 += 1;
        self.traffic.1 += bytes as u64;
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Beat(node) => {
                let clock = self.nodes[node].clock(self.now);
                let other = &mut self.nodes[node];
                if other.out.is_some() || clock + 0.001 < other.member.next_heartbeat_at() {
                    return; // It was due earlier for another reason.
                }
                self.tokens += 1;
                let token = self.tokens;
                other.out = Some((token, clock));
                let beat = other.member.heartbeat(clock);
                self.count(&beat);
                let link = self.link();
                self.after(link, Event::BeatComes { node, token, beat });
                self.after(GIVE_UP_MS, Event::NoAnswer { node, token });
            }
            Event::BeatComes { node, token, beat } => {
                if self.leader.is_none() {
                    let link = self.link();
                    return self.after(link, Event::NoAnswer { node, token });
                }
                self.waiting.insert(token, node);
                self.lead(Input::Beat { token, beat });
            }
            Event::NoAnswer { node, token } => {
                if self.nodes[node].out.is_some_and(|(out, _)| out == token) {
                    self.nodes[node].out = None;
                    self.next_beat(node);
                }
            }
            Event::AnswerComes { node, token, answer } => {
                let now = self.now;
                let other = &mut self.nodes[node];
                let Some((_, sent)) = other.out.take_if(|(out, _)| *out == token) else { return };
                let (clock, before, admits) =
                    (other.clock(now), other.member.active_epoch(), other.admits(now));
                let effects = other.member.on_reply(sent, *answer, clock);
                self.told(node, effects, before, admits);
                self.next_beat(node);
            }
            Event::NewsComes { node, agreed } => {
                let now = self.now;
                let other = &mut self.nodes[node];
                let (clock, before, admits) =
                    (other.clock(now), other.member.active_epoch(), other.admits(now));
                let effects = other.member.on_agreed_state(*agreed, clock);
                self.told(node, effects, before, admits);
            }
            Event::Checked { node, change } => {
                let clock = self.nodes[node].clock(self.now);
                self.nodes[node].member.on_check_result(change, Ok(()), clock);
                self.next_beat(node);
            }
            Event::Confirmed { term, asked } if term == self.term => self.lead(Input::Confirmed { asked }),
            Event::Written { term, command } if term == self.term && self.leader.is_some() => {
                let outcome = Some(self.apply(&command));
                self.lead(Input::Written { command, outcome });
            }
            Event::Tick { term } if term == self.term => self.lead(Input::Tick),
            Event::Confirmed { .. } | Event::Written { .. } | Event::Tick { .. } => {}
            Event::Propose => self.propose(),
            Event::Lost => {
                self.leader = None;
                let election = self.draw.random_range(300.0..900.0);
                self.after(election, Event::Elected);
            }
            Event::Elected => {
                self.term += 1;
                self.waiting.clear();
                self.synced = self.now;
                self.leader = Some(Leader::new(Terms::default(), self.term, self.now));
                self.lead(Input::Applied);
                self.after(0.0, Event::Tick { term: self.term });
            }
        }
    }

    fn next_beat(&mut self, node: usize) {
        let other = &self.nodes[node];
        let delay = (other.member.next_heartbeat_at() - other.clock(self.now)).max(0.0) / other.rate;
        self.after(delay + 0.001, Event::Beat(node));
    }

    fn propose(&mut self) {
        let fields =
            (0..self.plan.classes).map(|class| format!("{{\"Name\":\"class-{class}\",\"Slo\":0.2}}"));
        let policy = format!("{{\"Classes\":[{}]}}", fields.collect::<Vec<_>>().join(","));
        let policy: Policy = serde_json::from_str(&policy).expect("JSON");
        let base = self.log.book().epoch();
        self.traffic = (0, 0);
        self.apply(&Command::Policy(PolicyCommand::Propose { base, policy }));
        let epoch = self.log.book().given();
        let missing = self.plan.nodes;
        self.watched = Some(Watched { proposed: self.now, epoch, missing, first: None, last_old: self.now });
        self.lead(Input::Applied);
        if self.plan.losses {
            let at = self.draw.random_range(0.0..60.0);
            self.after(at, Event::Lost);
        }
    }

    /// A command is committed: replicas apply it, and their watchers hear.
    fn apply(&mut self, command: &Command) -> control::command::Outcome {
        let before = (self.log.book().epoch(), self.log.book().change().cloned());
        let outcome = self.log.apply(self.log.version() + 1, command);
        let agreed = self.log.agreed();
        if before == (agreed.epoch, agreed.change.clone()) {
            return outcome;
        }
        if agreed.epoch > before.0 {
            let watched = self.watched.as_ref().expect("it was proposed");
            self.report.commit.push(self.now - watched.proposed);
        } else if agreed.change.is_none() {
            self.report.aborted += 1;
            self.watched = None;
        }
        for node in 0..self.nodes.len() {
            self.count(&agreed);
            let delay = self.draw.random_range(1.0..10.0) + self.link();
            self.after(delay, Event::NewsComes { node, agreed: Box::new(agreed.clone()) });
        }
        outcome
    }

    fn lead(&mut self, input: Input) {
        let Some(leader) = &mut self.leader else { return };
        let tick = input == Input::Tick;
        let effects = leader.handle(self.now, input, &self.log);
        if let Some(next) = leader.next().filter(|_| tick) {
            let event = Event::Tick { term: self.term };
            self.after(next - self.now, event);
        }
        let (term, asked) = (self.term, self.now);
        for effect in effects {
            match effect {
                Effect::Answer { token, answer } => {
                    self.count(&answer);
                    let node = self.waiting.remove(&token).expect("it was asked");
                    let link = self.link();
                    self.after(link, Event::AnswerComes { node, token, answer });
                }
                Effect::Refuse { token, .. } => {
                    self.waiting.remove(&token);
                }
                Effect::Write(command) => {
                    // Writes come to be synced in their order.
                    let sync = self.draw.random_range(2.0..15.0);
                    self.synced = self.synced.max(self.now + sync);
                    self.after(self.synced - self.now, Event::Written { term, command });
                }
                Effect::Confirm => {
                    let round = self.draw.random_range(1.0..6.0);
                    self.after(round, Event::Confirmed { term, asked });
                }
                Effect::Probe { .. } => {} // All nodes live; a connection that is made says nothing.
            }
        }
    }

    fn told(&mut self, node: usize, effects: Vec<member::Effect>, before: Option<Epoch>, admitted: bool) {
        for effect in effects {
            match effect {
                member::Effect::Check(change) => {
                    let check = self.draw.random_range(1.0..5.0);
                    self.after(check, Event::Checked { node, change: change.id });
                }
                member::Effect::Activate { epoch, .. } if before.is_some() => self.active(epoch, admitted),
                member::Effect::SendHeartbeat => self.next_beat(node),
                _ => {}
            }
        }
    }

    fn active(&mut self, epoch: Epoch, admitted: bool) {
        let now = self.now;
        let Some(watched) = self.watched.as_mut().filter(|watched| watched.epoch == epoch) else { return };
        watched.first.get_or_insert(now);
        if admitted {
            watched.last_old = now; // Otherwise it was in doubt: it took its last request within its promise.
        }
        watched.missing -= 1;
        if watched.missing == 0 {
            self.report.everywhere.push(now - watched.proposed);
            self.report.mixed.push(watched.last_old - watched.first.unwrap_or(now));
            self.report.messages += self.traffic.0;
            self.report.bytes += self.traffic.1;
        }
    }
}
