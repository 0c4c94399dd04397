//! The decision modules of all nodes, played in the virtual clock against the same world as the real ones.
//!
//! Need: causes that lie in what many nodes do together have to be told apart, with every server's true state at hand,
//! in seconds and alike each time; and a mend needs a test without sockets. Shape: `node` is what is round the
//! module in a process, as far as decisions depend on it (open requests, attempts, kept connections); [`Fleet`] hands
//! the world's messages to the nodes and back. Nothing here takes processor time, and no descriptor is ever short.
//!
//! Rejected: real processes under a clock of the lab's own, as that takes a library loaded into them; and a second,
//! simpler model of a fleet, as it would have to be held against this one.

mod node;
mod votes;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::rc::Rc;

use member::votes::{Verdicts, Vote, VoteReport, MAX_BALLOTS};
use member::{Policy, Process, Stamp};
use serde_json::Value;
use tulipmount::{Outcome, RequestId, Status};

use self::node::{Node, Want};
use self::votes::{Group, BEAT};
use crate::draw::Draw;
use crate::epochs::Outcome as Agreed;
use crate::error::ModelError;
use crate::plan::{FaultKind, Plan};
use crate::server::Us;
use crate::settings::{fleet_settings, node_seed, node_settings};
use crate::world::{Got, Out, Reach, Reply, Signal, World};

/// From a node's start until it can serve.
const STARTS: Us = 20_000;
/// A watch that has ended is begun anew after this.
const WATCH_AGAIN: Us = 100_000;
/// After SIGTERM a node serves what comes for this long at the least.
const LINGERS: Us = 350_000;
/// How often kept connections are looked at, and whether a node that is to end has done its work.
const LOOK: Us = 500_000;

/// What is due, in the order in which it is looked at where it is due at once.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Wake {
    /// The module's timer.
    Timer,
    /// A connect has failed.
    NoConnection(RequestId, usize),
    /// An attempt's time is over.
    TimeOut(RequestId, usize),
    /// Kept connections are looked at.
    Look,
    /// It speaks to the control group.
    Beat,
    /// The watch is begun anew.
    Watch,
    /// An older list has stayed for long.
    Confirm,
    /// It can serve.
    Ready,
    /// It ends once nothing is open.
    End,
}

/// All nodes and the world round them.
pub struct Fleet {
    world: World,
    now: Us,
    settings: Value,
    nodes: Vec<Option<Node>>,
    /// Counts each node's starts; what is due belongs to one.
    lives: Vec<u32>,
    /// Nodes that stand still, with what reaches them meanwhile.
    stopped: BTreeMap<usize, Vec<Out>>,
    due: BinaryHeap<Reverse<(Us, usize, u32, Wake)>>,
    /// Where each attempt at a server comes from: node, its life, request, attempt.
    origins: Vec<(usize, u32, RequestId, usize)>,
    /// The control group, where a policy lets nodes vote.
    group: Option<Group>,
    liars: Vec<Liar>,
}

/// A member that lies of servers.
struct Liar {
    fault: usize,
    process: Process,
    zone: String,
    spoke: Us,
    stamp: Option<Stamp>,
}

/// What a look at the fleet shows; see [`play`].
pub struct Look<'a> {
    /// The time.
    pub now: Us,
    /// The world.
    pub world: &'a World,
    /// What the modules of the nodes that run have seen.
    pub nodes: Vec<Status>,
}

/// Who looks at a play, and how often.
pub type Watcher<'a> = (Us, &'a mut dyn FnMut(&Look<'_>));

/// Plays a draw to its end, and has someone look at it every so often.
///
/// # Errors
/// Where the modules refuse the plan's settings.
pub fn play(plan: &Plan, draw: &Rc<Draw>, look: Option<Watcher<'_>>) -> Result<World, ModelError> {
    run(plan, fleet_settings(plan, draw), draw, look)
}

/// The same with the settings that the modules are told.
fn run(
    plan: &Plan,
    settings: Value,
    draw: &Rc<Draw>,
    look: Option<Watcher<'_>>,
) -> Result<World, ModelError> {
    let dial = Rc::new(|server: usize, _: usize| SocketAddr::from(([127, 0, 0, 1], 1 + server as u16)));
    let nodes = draw.nodes.len();
    let mut fleet = Fleet {
        world: World::new(draw.clone(), plan.rules.clone(), 0.0, dial),
        now: 0,
        settings,
        nodes: (0..nodes).map(|_| None).collect(),
        lives: vec![0; nodes],
        stopped: BTreeMap::new(),
        due: BinaryHeap::new(),
        origins: Vec::new(),
        group: None,
        liars: Vec::new(),
    };
    if fleet.world.votes_wanted() {
        let mut group = Group::default();
        group.come(0);
        fleet.group = Some(group);
        fleet.world.expect_epochs(0);
    }
    for node in 0..nodes {
        fleet.start(node)?;
        fleet.ready(node);
    }
    fleet.run(look)?;
    Ok(fleet.world)
}

/// A node's process, in one of its lives.
fn process(node: usize, life: u32) -> Process {
    Process { name: format!("n{node}"), boot: life.into() }
}

impl Fleet {
    fn run(&mut self, mut look: Option<Watcher<'_>>) -> Result<(), ModelError> {
        let mut shown = 0;
        while !self.world.over() {
            let own = self.due.peek().map(|Reverse((at, ..))| *at);
            let Some(due) = [self.world.next_due(), own].into_iter().flatten().min() else { break };
            if let Some((every, look)) = &mut look {
                while shown + *every <= due {
                    shown += *every;
                    let nodes = self.nodes.iter().flatten().map(Node::status).collect();
                    look(&Look { now: shown, world: &self.world, nodes });
                }
            }
            self.now = due;
            self.world.advance(due);
            self.carry_out()?;
            while let Some(Reverse((at, node, life, wake))) =
                self.due.peek().copied().filter(|Reverse(d)| d.0 <= due)
            {
                self.due.pop();
                if self.lives[node] == life && !self.stands_still(node, at, wake) {
                    self.wake(node, wake);
                    self.carry_out()?;
                }
            }
        }
        Ok(())
    }

    /// What is due at a node that stands still waits until it goes on.
    fn stands_still(&mut self, node: usize, at: Us, wake: Wake) -> bool {
        let still = self.stopped.contains_key(&node);
        if still {
            self.due.push(Reverse((at + WATCH_AGAIN, node, self.lives[node], wake)));
        }
        still
    }

    fn at(&mut self, node: usize, at: Us, wake: Wake) {
        self.due.push(Reverse((at.max(self.now), node, self.lives[node], wake)));
    }

    fn carry_out(&mut self) -> Result<(), ModelError> {
        while let Some(out) = self.world.take() {
            let to = match &out {
                Out::Ask(ask) | Out::Leave(ask) => Some(self.world.asked(*ask).node),
                Out::Reply { attempt, .. } => Some(self.origins[*attempt].0),
                Out::Tell { node, .. } => Some(*node),
                _ => None,
            };
            match to.and_then(|node| self.stopped.get_mut(&node)) {
                Some(kept) => kept.push(out),
                None => self.reach(out)?,
            }
        }
        Ok(())
    }

    /// A message of the world's is there.
    fn reach(&mut self, out: Out) -> Result<(), ModelError> {
        match out {
            Out::Ask(ask) => {
                let asked = self.world.asked(ask);
                match &mut self.nodes[asked.node] {
                    Some(node) if node.serves() => {
                        let wants = node.asked(self.now, ask, &asked);
                        self.want(asked.node, wants);
                    }
                    _ => self.world.ask_ended(self.now, ask, Got::NotTaken),
                }
            }
            Out::Leave(ask) => {
                let node = self.world.asked(ask).node;
                let wants = self.nodes[node].as_mut().map(|n| n.left(self.now, RequestId(ask as u64)));
                self.want(node, wants.unwrap_or_default());
            }
            Out::Reply { attempt, reply } => {
                let outcome = match reply {
                    Reply::Served => Outcome::Success,
                    Reply::TurnedAway => Outcome::Rejected,
                    Reply::Error => Outcome::Error,
                    Reply::Garbled | Reply::Reset => Outcome::Reset,
                };
                let (node, life, id, n) = self.origins[attempt];
                if self.lives[node] == life {
                    self.ended(node, id, n, outcome);
                }
            }
            Out::Tell { node, from, to } => {
                if self.nodes[node].as_ref().is_some_and(Node::watches) {
                    self.tell(node, from, to);
                }
            }
            Out::EndWatches(node) => {
                if let Some(n) = &mut self.nodes[node] {
                    n.watch(false);
                    self.at(node, self.now + WATCH_AGAIN, Wake::Watch);
                }
            }
            Out::Drop { server, zone } => {
                for node in 0..self.nodes.len() {
                    if zone.is_none_or(|zone| zone == self.world.node_zone(node)) {
                        self.drop_connections(node, server);
                    }
                }
            }
            Out::Signal(node, Signal::Kill) => self.end(node),
            Out::Signal(node, Signal::Terminate) => {
                if self.nodes[node].is_some() {
                    self.at(node, self.now + LINGERS, Wake::End);
                }
            }
            Out::Signal(node, Signal::Stop) => {
                self.stopped.entry(node).or_default();
            }
            Out::Signal(node, Signal::Continue) => {
                for out in self.stopped.remove(&node).unwrap_or_default() {
                    self.reach(out)?;
                }
            }
            Out::Start(node) => {
                self.start(node)?;
                self.at(node, self.now + STARTS, Wake::Ready);
            }
            Out::Strike(fault) => self.strike(fault)?,
            Out::Heal(fault) => self.heal(fault),
            Out::Reach { .. } | Out::Crowd { .. } => {}
        }
        Ok(())
    }

    fn wake(&mut self, node: usize, wake: Wake) {
        match wake {
            Wake::Timer => {
                let wants = self.nodes[node].as_mut().map(|n| n.timer(self.now));
                self.want(node, wants.unwrap_or_default());
            }
            Wake::NoConnection(id, n) => self.ended(node, id, n, Outcome::ConnectFailed),
            Wake::TimeOut(id, n) => {
                let connecting = self.nodes[node].as_ref().is_some_and(|node| node.connecting(id, n));
                self.ended(node, id, n, if connecting { Outcome::NotSent } else { Outcome::TimedOut });
            }
            Wake::Look => {
                if let Some(n) = &mut self.nodes[node] {
                    for (server, life) in n.stale(self.now) {
                        self.world.disconnect(self.now, server, life);
                    }
                    self.at(node, self.now + LOOK, Wake::Look);
                }
            }
            Wake::Beat => {
                self.beat(node);
                self.at(node, self.now + BEAT, Wake::Beat);
            }
            Wake::Watch => {
                let version = self.world.version(node);
                if let Some(n) = &mut self.nodes[node] {
                    n.watch(true);
                    let from = n.version();
                    if from != version {
                        // One from the future gets the whole list.
                        self.tell(node, if from < version { from } else { 0 }, version);
                    }
                }
            }
            Wake::Confirm => {
                let due = self.nodes[node].as_ref().and_then(Node::confirm_at);
                if due.is_some_and(|at| at <= self.now) {
                    self.whole(node);
                }
            }
            Wake::Ready => {
                self.ready(node);
                self.world.node_ready(self.now, node);
            }
            Wake::End => match &self.nodes[node] {
                Some(n) if n.busy() => self.at(node, self.now + LOOK / 10, Wake::End),
                Some(_) => {
                    self.world.node_ended(self.now, node);
                    self.end(node);
                }
                None => {}
            },
        }
    }

    // ---- Starts and ends ----

    fn start(&mut self, node: usize) -> Result<(), ModelError> {
        self.lives[node] += 1;
        let draw = self.world.draw().clone();
        let life = self.lives[node] - 1;
        self.nodes[node] = Some(Node::new(
            &node_settings(&self.settings, &draw, node),
            node_seed(&draw, node, life),
            &draw.zones,
        )?);
        Ok(())
    }

    /// It has its list, and the watch stands.
    fn ready(&mut self, node: usize) {
        let version = self.world.version(node);
        let saved = self.world.line(node, 0, version);
        if let Some(n) = &mut self.nodes[node] {
            n.watch(true);
            let mut wants = n.begin(self.now, saved);
            wants.extend(n.alive(self.now));
            self.want(node, wants);
        }
        self.world.told(self.now, node, version);
        self.at(node, self.now + LOOK, Wake::Look);
        if let Some(group) = &mut self.group {
            group.join(process(node, self.lives[node]));
            // Nodes speak in turn.
            let own = BEAT * (node as Us + 1) / self.nodes.len() as Us;
            self.at(node, self.now + own, Wake::Beat);
        }
    }

    fn end(&mut self, node: usize) {
        self.stopped.remove(&node);
        self.lives[node] += 1;
        let Some(ended) = self.nodes[node].take() else { return };
        let (asks, attempts, links) = ended.ends();
        for ask in asks {
            self.world.ask_ended(self.now, ask, Got::Broken { begun: false });
        }
        for attempt in attempts {
            self.world.attempt_closed(self.now, attempt);
        }
        for (server, life) in links {
            self.world.disconnect(self.now, server, life);
        }
    }

    // ---- The control group ----

    /// The group's part in a fault begins. Where no policy lets nodes vote, there is no group, and the modules keep the
    /// settings that they were started with.
    fn strike(&mut self, n: usize) -> Result<(), ModelError> {
        let draw = self.world.draw().clone();
        let (fault, now) = (&draw.faults[n], self.now);
        let Some(group) = &mut self.group else { return Ok(()) };
        match fault.kind {
            FaultKind::Policy => {
                let wish = self.world.policy_proposed(now);
                let Some(epoch) = group.agree(Policy(fault.policy.clone())) else { return Ok(()) };
                self.world.policy_ended(now, wish, Agreed::Committed(epoch));
                for (field, value) in &fault.policy {
                    self.settings[field] = value.clone();
                }
                for node in 0..self.nodes.len() {
                    let settings = node_settings(&self.settings, &draw, node);
                    let Some(n) = &mut self.nodes[node] else { continue };
                    let wants = n.agreed(now, &settings)?;
                    self.want(node, wants);
                }
            }
            FaultKind::GroupOutage => group.go(),
            FaultKind::FaultyVoters => {
                for liar in 0..fault.factor as usize {
                    let process = Process { name: format!("liar-{n}-{liar}"), boot: 1 };
                    group.join(process.clone());
                    let zone = draw.zones[liar % draw.zones.len()].clone();
                    self.liars.push(Liar { fault: n, process, zone, spoke: now, stamp: None });
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// It ends.
    fn heal(&mut self, n: usize) {
        let Some(group) = &mut self.group else { return };
        if self.world.draw().faults[n].kind == FaultKind::GroupOutage {
            group.come(self.now);
        }
        for liar in self.liars.extract_if(.., |liar| liar.fault == n) {
            group.leave(liar.process.name);
        }
    }

    /// A node says what it holds of servers, and hears the group's word; so do liars whose time it is.
    fn beat(&mut self, node: usize) {
        let draw = self.world.draw().clone();
        let (Some(group), Some(n)) = (&mut self.group, &mut self.nodes[node]) else { return };
        let before = group.told();
        for liar in self.liars.iter_mut().filter(|liar| liar.spoke + BEAT <= self.now) {
            let (up, ballots) = self.world.lies(&draw.faults[liar.fault].targets);
            let votes =
                VoteReport { zone: Some(liar.zone.clone()), up_servers: up, abstains: false, ballots };
            let answer = group.beat(self.now, liar.process.clone(), liar.stamp, votes);
            (liar.spoke, liar.stamp) = (self.now, answer.map(|(stamp, _)| stamp));
        }
        let (own, servers) = n.ballots();
        let asked = n.answer.as_ref().map_or(&[][..], |(_, asked)| asked);
        let ballots = own.ballots.into_iter().filter_map(|own| {
            let ballot = self.world.ballot(*servers.get(&own.server)?, own.stand, own.evidence)?;
            (ballot.vote == Vote::For || asked.contains(&ballot.server)).then_some(ballot)
        });
        let mut ballots: Vec<_> = ballots.collect();
        ballots.sort_by_key(|ballot| (ballot.vote, std::cmp::Reverse(ballot.evidence.failures())));
        ballots.truncate(MAX_BALLOTS);
        let zone = Some(draw.zones[self.world.node_zone(node)].clone());
        let votes = VoteReport { zone, up_servers: self.world.up(), abstains: own.self_doubt, ballots };
        let echo = n.answer.as_ref().map(|(stamp, _)| *stamp);
        let Some(answer) = group.beat(self.now, process(node, self.lives[node]), echo, votes) else { return };
        n.answer = Some(answer);
        let Some(told) = group.told() else { return };
        // The watch tells all nodes what is new, the answer this one that it still is so.
        let new = before.is_none_or(|before| before.version != told.version);
        self.world.group_says(self.now, votes::word(told.clone()));
        for node in (0..self.nodes.len()).filter(|n| *n == node || new) {
            self.rule(node, &told);
        }
    }

    fn rule(&mut self, node: usize, told: &Verdicts) {
        let zone = &self.world.draw().zones[self.world.node_zone(node)];
        let Some(n) = self.nodes[node].as_mut().filter(|_| !self.stopped.contains_key(&node)) else { return };
        let name = format!("n{node}");
        let here = told.verdicts.iter().filter(|v| v.zones.is_empty() || v.zones.contains(zone));
        let here = here.filter(|v| self.world.born_ms(&v.server) == Some(v.born_ms));
        let wants = n.ruled(self.now, here.map(|v| (v.server.as_str(), v.probers.contains(&name))));
        self.want(node, wants);
    }

    // ---- What nodes do ----

    fn want(&mut self, node: usize, wants: Vec<Want>) {
        for want in wants {
            match want {
                Want::Timer(at) => self.at(node, at, Wake::Timer),
                Want::Answer { ask, status, retry_after, attempt } => {
                    self.world.ask_ended(self.now, ask, Got::Answer { status, retry_after, attempt });
                }
                Want::Send { id, attempt, server, until } => self.send(node, id, attempt, server, until),
                Want::Close { attempt, link } => {
                    if let Some(attempt) = attempt {
                        self.world.attempt_closed(self.now, attempt);
                    }
                    if let Some((server, life)) = link {
                        self.world.disconnect(self.now, server, life);
                    }
                }
            }
        }
    }

    fn send(&mut self, node: usize, id: RequestId, n: usize, server: usize, until: Us) {
        let (now, zone) = (self.now, self.world.node_zone(node));
        self.at(node, until, Wake::TimeOut(id, n));
        let kept = self.nodes[node].as_mut().and_then(|node| node.take_link(now, server));
        let fresh = kept.is_none();
        let life = kept.or_else(|| match self.world.reach(server, zone) {
            Reach::Open => self.world.connect(now, server),
            Reach::Refused | Reach::Dark => None,
        });
        let Some(life) = life else {
            let heard = match self.world.reach(server, zone) {
                Reach::Dark => now + self.nodes[node].as_ref().map_or(0, Node::connect_time),
                Reach::Refused | Reach::Open => now + 2 * self.world.delay(node, server),
            };
            return self.at(node, heard, Wake::NoConnection(id, n));
        };
        let txn = self.world.txn(id.0 as usize);
        let Some(at) = self.world.attempt(now, server, zone, &txn, fresh) else { return };
        // The world numbers attempts in this order.
        debug_assert_eq!(at, self.origins.len());
        self.origins.push((node, self.lives[node], id, n));
        if let Some(node) = &mut self.nodes[node] {
            node.sent(id, n, at, (server, life));
        }
    }

    fn ended(&mut self, node: usize, id: RequestId, n: usize, outcome: Outcome) {
        let wants = self.nodes[node].as_mut().map(|node| node.ended(self.now, id, n, outcome));
        self.want(node, wants.unwrap_or_default());
    }

    fn drop_connections(&mut self, node: usize, server: usize) {
        let Some(n) = &mut self.nodes[node] else { return };
        let (idle, out) = n.broken(server);
        for life in idle {
            self.world.disconnect(self.now, server, life);
        }
        for (id, attempt) in out {
            self.ended(node, id, attempt, Outcome::Reset);
        }
    }

    fn tell(&mut self, node: usize, from: u64, to: u64) {
        let line = self.world.line(node, from, to);
        let Some(n) = &mut self.nodes[node] else { return };
        let (wants, whole) = n.told(self.now, line);
        if let Some(at) = n.confirm_at() {
            self.at(node, at, Wake::Confirm);
        }
        self.world.told(self.now, node, to);
        self.want(node, wants);
        if whole {
            self.whole(node);
        }
    }

    /// It asks for the whole list, on a watch of its own.
    fn whole(&mut self, node: usize) {
        if let Some(n) = &mut self.nodes[node] {
            n.watch(true);
            let version = self.world.version(node);
            self.tell(node, 0, version);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::Rules;
    use crate::referee::Rule;

    /// A release; meanwhile the list tells less than it told.
    const DRAINS: &str = "[[fault]]\nkind = \"release\"\nat_s = 3\nfor_s = 12\nshare = 0.6\nsteps = 3\n\
        [[fault]]\nkind = \"stale-list\"\nat_s = 12\nfor_s = 8\nfactor = 12\n";

    fn played(more: &str) -> World {
        judged(more, |_| {})
    }

    /// Plays by the plan's rules, judged by others.
    fn judged(more: &str, rules: impl FnOnce(&mut Rules)) -> World {
        let text =
            format!("schema = 1\nname = \"x\"\nlength_s = 25\n[fleet]\nnodes = 9\nservers = 12\n{more}");
        let mut plan = Plan::read("x.toml", &text).expect("it can be played");
        let draw = Rc::new(Draw::new(&plan, 5));
        let told = fleet_settings(&plan, &draw);
        rules(&mut plan.rules);
        let world = run(&plan, told, &draw, None).expect("good settings");
        let ended: u64 = world.tally().windows.iter().flatten().flat_map(|w| w.outcomes).sum();
        assert_eq!(ended as usize, world.draw().arrivals.len(), "each request ends once");
        world
    }

    #[test]
    fn a_calm_fleet_of_modules_is_served_and_plays_alike_each_time() {
        let calm = "[load]\nof_capacity = 0.5\n";
        let world = played(calm);
        assert_eq!(world.breaches().0, 0, "{:?}", world.breaches().1);
        let served = world.tally().served_share(0..2, 0..25);
        assert!(served > 0.9, "{served}");
        assert_eq!(format!("{:?}", world.tally()), format!("{:?}", played(calm).tally()));
    }

    #[test]
    fn rules_hold_through_every_kind_of_fault() {
        let fault = |kind: &str, rest: &str| format!("[[fault]]\nkind = \"{kind}\"\nfor_s = 2\n{rest}\n");
        let faults = [
            fault("kill", "at_s = 2\nids = [0]"),
            fault("restart", "at_s = 2\nids = [1]"),
            fault("stop", "at_s = 5\nids = [2]"),
            fault("release", "at_s = 6\nids = [1]"),
            fault("replace", "at_s = 8\nids = [2]"),
            fault("lose", "at_s = 11\nids = [3]"),
            fault("cut", "at_s = 13\nzone = \"maipu\""),
            fault("break-links", "at_s = 16\nzone = \"maipu\""),
            fault("reset", "at_s = 17\nshare = 0.2\nfactor = 0.2"),
        ];
        let world = played(&format!("[load]\nof_capacity = 0.3\n{}", faults.concat()));
        assert_eq!(world.breaches().0, 0, "{:?}", world.breaches().1);
        let served = world.tally().served_share(0..2, 0..25);
        assert!(served > 0.8, "{served}");
    }

    /// A server fails for a while, and a member lies of all of them, where nodes vote.
    const VOTES: &str = "[control]\n[load]\nof_capacity = 0.4\n\
        [[fault]]\nkind = \"policy\"\nat_s = 1\nfor_s = 1\npolicy = { Votes = {} }\n\
        [[fault]]\nkind = \"errors\"\nat_s = 4\nfor_s = 5\nids = [3]\nfactor = 0.8\n\
        [[fault]]\nkind = \"liar\"\nat_s = 2\nfor_s = 20\nfactor = 1\n";

    #[test]
    fn a_server_that_fails_is_removed_by_votes_and_back_once_it_is_mended() {
        let votes = played(VOTES).votes().expect("a group");
        assert_eq!(
            (votes.removed, votes.wrong_removals, votes.attempts_after_removal),
            (1, 0, 0),
            "{votes:?}"
        );
        // For one zone first, perhaps; what it ends as is what is mended.
        let first = votes.removals.first().expect("a server was removed");
        let last = votes.removals.last().expect("a server was removed");
        assert!(first.remove_ms < Some(4_000.0) && last.recovered && last.return_ms.is_some(), "{votes:?}");
        assert!(played("").votes().is_none());
    }

    /// What an older list tells to be up again stays drained.
    #[test]
    fn a_list_that_falls_behind_brings_no_server_back() {
        let world = played(DRAINS);
        assert_eq!(world.breaches().0, 0, "{:?}", world.breaches().1);
    }

    #[test]
    fn what_breaks_a_rule_is_seen_here_too() {
        // The referee allows fewer attempts than the modules are told that they have.
        let fault = "[[fault]]\nkind = \"reset\"\nat_s = 5\nfor_s = 2\nshare = 0.2\nfactor = 0.2\n";
        let world = judged(fault, |rules| rules.attempts = 1);
        assert!(world.breaches().1.iter().any(|b| b.rule == Rule::Repeat));
    }
}
