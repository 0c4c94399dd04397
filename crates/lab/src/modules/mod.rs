//! Runs the decision modules of all nodes in virtual time against the same emulated world as real nodes.
//!
//! Purpose: reproduces effects of many nodes acting together, deterministically, in seconds and with every server's
//! true state at hand, and tests a fix without sockets. `node` emulates what surrounds the module in a process as far
//! as decisions depend on it (open requests, attempts, kept connections); [`FleetModel`] passes messages between the
//! world and the nodes. Nothing here takes CPU time, and no descriptor is ever short.
//!
//! Rejected: real processes under a simulated clock, which takes a library loaded into them; and a second, simpler
//! model of a fleet, which would have to be validated against this one.

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

use self::node::{Node, NodeEffect};
use self::votes::{ControlGroup, HEARTBEAT_INTERVAL_US};
use crate::draw::Draw;
use crate::epochs::Outcome as PolicyOutcome;
use crate::error::ModelError;
use crate::plan::{FaultKind, Plan};
use crate::server::Us;
use crate::settings::{fleet_settings, node_seed, node_settings};
use crate::world::{Effect, Reachability, ServerReply, Signal, TryOutcome, World};

/// Time from a node's start until it is ready.
const NODE_START_US: Us = 20_000;
/// Delay before a closed watch is reopened; also how long work for a stopped node is deferred.
const WATCH_RETRY_DELAY_US: Us = 100_000;
/// After SIGTERM a node serves arriving requests for at least this long.
const NODE_MIN_DRAIN_US: Us = 350_000;
/// Interval of the check for expired kept connections; a node that is to exit checks for open requests ten times as
/// often.
const CHECK_INTERVAL_US: Us = 500_000;

/// Scheduled work of a node. Variants that are due at the same time run in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Wake {
    /// The module's timer.
    Timer,
    /// A connect attempt fails.
    ConnectFailed(RequestId, usize),
    /// An attempt times out.
    AttemptTimeout(RequestId, usize),
    /// Expired kept connections are closed.
    CheckConnections,
    /// The node sends a heartbeat to the control group.
    Heartbeat,
    /// The watch of the list is reopened.
    ReopenWatch,
    /// The list has been rolled back for long enough to be confirmed with a full list.
    ConfirmRollback,
    /// The node is ready.
    Ready,
    /// The node exits once no request is open.
    Exit,
}

/// All nodes, and the world around them.
pub struct FleetModel {
    world: World,
    now: Us,
    settings: Value,
    nodes: Vec<Option<Node>>,
    /// Number of starts and ends of each node; scheduled work belongs to one of them.
    incarnations: Vec<u32>,
    /// Stopped nodes (SIGSTOP), with the effects that reach them meanwhile.
    stopped: BTreeMap<usize, Vec<Effect>>,
    due: BinaryHeap<Reverse<(Us, usize, u32, Wake)>>,
    /// Origin of each attempt at a server: node, its incarnation, request, number of the attempt.
    origins: Vec<(usize, u32, RequestId, usize)>,
    /// The control group, if a policy enables votes.
    group: Option<ControlGroup>,
    faulty_voters: Vec<FaultyVoter>,
}

/// A member that reports false ballots on servers.
struct FaultyVoter {
    fault: usize,
    process: Process,
    zone: String,
    last_heartbeat: Us,
    stamp: Option<Stamp>,
}

/// State of the fleet at one moment; see [`play`].
pub struct Snapshot<'a> {
    /// Current time.
    pub now: Us,
    /// The world.
    pub world: &'a World,
    /// Status of the modules of all running nodes.
    pub nodes: Vec<Status>,
}

/// Interval in microseconds between snapshots, and the callback that receives them.
pub type SnapshotObserver<'a> = (Us, &'a mut dyn FnMut(&Snapshot<'_>));

/// Plays a draw to its end, and passes a snapshot to the observer at its interval.
///
/// # Errors
/// Fails if the modules reject the plan's settings.
pub fn play(
    plan: &Plan,
    draw: &Rc<Draw>,
    observer: Option<SnapshotObserver<'_>>,
) -> Result<World, ModelError> {
    run(plan, fleet_settings(plan, draw), draw, observer)
}

/// Like [`play`], with explicit settings for the modules.
fn run(
    plan: &Plan,
    settings: Value,
    draw: &Rc<Draw>,
    observer: Option<SnapshotObserver<'_>>,
) -> Result<World, ModelError> {
    let dial = Rc::new(|server: usize, _: usize| SocketAddr::from(([127, 0, 0, 1], 1 + server as u16)));
    let nodes = draw.nodes.len();
    let mut fleet = FleetModel {
        world: World::new(draw.clone(), plan.rules.clone(), 0.0, dial),
        now: 0,
        settings,
        nodes: (0..nodes).map(|_| None).collect(),
        incarnations: vec![0; nodes],
        stopped: BTreeMap::new(),
        due: BinaryHeap::new(),
        origins: Vec::new(),
        group: None,
        faulty_voters: Vec::new(),
    };
    if fleet.world.voting_enabled() {
        let mut group = ControlGroup::default();
        group.start(0);
        fleet.group = Some(group);
        fleet.world.expect_epochs(0);
    }
    for node in 0..nodes {
        fleet.start(node)?;
        fleet.ready(node);
    }
    fleet.run(observer)?;
    Ok(fleet.world)
}

/// Identity of a node's process in one of its incarnations.
fn process(node: usize, incarnation: u32) -> Process {
    Process { name: format!("n{node}"), boot: incarnation.into() }
}

impl FleetModel {
    /// Runs until the world is over.
    fn run(&mut self, mut observer: Option<SnapshotObserver<'_>>) -> Result<(), ModelError> {
        let mut last_snapshot = 0;
        while !self.world.is_over() {
            let own_due = self.due.peek().map(|Reverse((at, ..))| *at);
            let Some(due) = [self.world.next_due(), own_due].into_iter().flatten().min() else { break };
            if let Some((every, observer)) = &mut observer {
                while last_snapshot + *every <= due {
                    last_snapshot += *every;
                    let nodes = self.nodes.iter().flatten().map(Node::status).collect();
                    observer(&Snapshot { now: last_snapshot, world: &self.world, nodes });
                }
            }
            self.now = due;
            self.world.advance(due);
            self.carry_out_effects()?;
            while let Some(Reverse((at, node, incarnation, wake))) =
                self.due.peek().copied().filter(|Reverse(d)| d.0 <= due)
            {
                self.due.pop();
                if self.incarnations[node] == incarnation && !self.defer_if_stopped(node, at, wake) {
                    self.handle_wake(node, wake);
                    self.carry_out_effects()?;
                }
            }
        }
        Ok(())
    }

    /// Defers scheduled work of a stopped node until it continues; returns true if it did.
    fn defer_if_stopped(&mut self, node: usize, at: Us, wake: Wake) -> bool {
        let stopped = self.stopped.contains_key(&node);
        if stopped {
            self.due.push(Reverse((at + WATCH_RETRY_DELAY_US, node, self.incarnations[node], wake)));
        }
        stopped
    }

    /// Schedules work for the node's current incarnation.
    fn schedule(&mut self, node: usize, at: Us, wake: Wake) {
        self.due.push(Reverse((at.max(self.now), node, self.incarnations[node], wake)));
    }

    /// Handles the world's effects; those for a stopped node are kept until it continues.
    fn carry_out_effects(&mut self) -> Result<(), ModelError> {
        while let Some(effect) = self.world.next_effect() {
            let to = match &effect {
                Effect::DeliverRequest(try_id) | Effect::ClientDisconnect(try_id) => {
                    Some(self.world.client_try(*try_id).node)
                }
                Effect::DeliverReply { attempt, .. } => Some(self.origins[*attempt].0),
                Effect::SendListUpdate { node, .. } => Some(*node),
                _ => None,
            };
            match to.and_then(|node| self.stopped.get_mut(&node)) {
                Some(deferred) => deferred.push(effect),
                None => self.handle_effect(effect)?,
            }
        }
        Ok(())
    }

    /// Handles an effect of the world.
    fn handle_effect(&mut self, effect: Effect) -> Result<(), ModelError> {
        match effect {
            Effect::DeliverRequest(try_id) => {
                let client_try = self.world.client_try(try_id);
                match &mut self.nodes[client_try.node] {
                    Some(node) if node.is_ready() => {
                        let effects = node.client_request(self.now, try_id, &client_try);
                        self.apply_effects(client_try.node, effects);
                    }
                    _ => self.world.try_ended(self.now, try_id, TryOutcome::NoConnection),
                }
            }
            Effect::ClientDisconnect(try_id) => {
                let node = self.world.client_try(try_id).node;
                let effects =
                    self.nodes[node].as_mut().map(|n| n.client_left(self.now, RequestId(try_id as u64)));
                self.apply_effects(node, effects.unwrap_or_default());
            }
            Effect::DeliverReply { attempt, reply } => {
                let outcome = match reply {
                    ServerReply::Served => Outcome::Success,
                    ServerReply::TurnedAway => Outcome::Rejected,
                    ServerReply::Error => Outcome::Error,
                    ServerReply::Truncated | ServerReply::Reset => Outcome::Reset,
                };
                let (node, incarnation, id, n) = self.origins[attempt];
                if self.incarnations[node] == incarnation {
                    self.ended(node, id, n, outcome);
                }
            }
            Effect::SendListUpdate { node, from, to } => {
                if self.nodes[node].as_ref().is_some_and(Node::is_watching) {
                    self.send_list_update(node, from, to);
                }
            }
            Effect::CloseWatches(node) => {
                if let Some(n) = &mut self.nodes[node] {
                    n.set_watching(false);
                    self.schedule(node, self.now + WATCH_RETRY_DELAY_US, Wake::ReopenWatch);
                }
            }
            Effect::CloseConnections { server, zone } => {
                for node in 0..self.nodes.len() {
                    if zone.is_none_or(|zone| zone == self.world.node_zone(node)) {
                        self.drop_connections(node, server);
                    }
                }
            }
            Effect::SignalNode(node, Signal::Kill) => self.end(node),
            Effect::SignalNode(node, Signal::Terminate) => {
                if self.nodes[node].is_some() {
                    self.schedule(node, self.now + NODE_MIN_DRAIN_US, Wake::Exit);
                }
            }
            Effect::SignalNode(node, Signal::Stop) => {
                self.stopped.entry(node).or_default();
            }
            Effect::SignalNode(node, Signal::Continue) => {
                for effect in self.stopped.remove(&node).unwrap_or_default() {
                    self.handle_effect(effect)?;
                }
            }
            Effect::StartNode(node) => {
                self.start(node)?;
                self.schedule(node, self.now + NODE_START_US, Wake::Ready);
            }
            Effect::BeginGroupFault(fault) => self.begin_group_fault(fault)?,
            Effect::EndGroupFault(fault) => self.end_group_fault(fault),
            Effect::SetReachability { .. } | Effect::OpenIdleConnections { .. } => {}
        }
        Ok(())
    }

    /// Handles scheduled work of a node.
    fn handle_wake(&mut self, node: usize, wake: Wake) {
        match wake {
            Wake::Timer => {
                let effects = self.nodes[node].as_mut().map(|n| n.timer(self.now));
                self.apply_effects(node, effects.unwrap_or_default());
            }
            Wake::ConnectFailed(id, n) => self.ended(node, id, n, Outcome::ConnectFailed),
            Wake::AttemptTimeout(id, n) => {
                let connecting = self.nodes[node].as_ref().is_some_and(|node| node.is_connecting(id, n));
                self.ended(node, id, n, if connecting { Outcome::NotSent } else { Outcome::TimedOut });
            }
            Wake::CheckConnections => {
                if let Some(n) = &mut self.nodes[node] {
                    for (server, incarnation) in n.remove_expired_connections(self.now) {
                        self.world.disconnect(self.now, server, incarnation);
                    }
                    self.schedule(node, self.now + CHECK_INTERVAL_US, Wake::CheckConnections);
                }
            }
            Wake::Heartbeat => {
                self.exchange_heartbeat(node);
                self.schedule(node, self.now + HEARTBEAT_INTERVAL_US, Wake::Heartbeat);
            }
            Wake::ReopenWatch => {
                let version = self.world.agent_version(node);
                if let Some(n) = &mut self.nodes[node] {
                    n.set_watching(true);
                    let from = n.list_version();
                    if from != version {
                        // A node with a version that the list does not know yet gets the full list.
                        self.send_list_update(node, if from < version { from } else { 0 }, version);
                    }
                }
            }
            Wake::ConfirmRollback => {
                let due = self.nodes[node].as_ref().and_then(Node::confirm_rollback_at);
                if due.is_some_and(|at| at <= self.now) {
                    self.send_full_list(node);
                }
            }
            Wake::Ready => {
                self.ready(node);
                self.world.node_ready(self.now, node);
            }
            Wake::Exit => match &self.nodes[node] {
                Some(n) if n.has_open_requests() => {
                    self.schedule(node, self.now + CHECK_INTERVAL_US / 10, Wake::Exit)
                }
                Some(_) => {
                    self.world.node_ended(self.now, node);
                    self.end(node);
                }
                None => {}
            },
        }
    }

    // ---- Starts and ends ----

    /// Starts a new incarnation of a node.
    fn start(&mut self, node: usize) -> Result<(), ModelError> {
        self.incarnations[node] += 1;
        let draw = self.world.draw().clone();
        let incarnation = self.incarnations[node] - 1;
        self.nodes[node] = Some(Node::new(
            &node_settings(&self.settings, &draw, node),
            node_seed(&draw, node, incarnation),
            &draw.zones,
        )?);
        Ok(())
    }

    /// The node has its list, and the watch is open.
    fn ready(&mut self, node: usize) {
        let version = self.world.agent_version(node);
        let saved = self.world.list_update(node, 0, version);
        if let Some(n) = &mut self.nodes[node] {
            n.set_watching(true);
            let mut effects = n.start_with_list(self.now, saved);
            effects.extend(n.list_unchanged(self.now));
            self.apply_effects(node, effects);
        }
        self.world.list_delivered(self.now, node, version);
        self.schedule(node, self.now + CHECK_INTERVAL_US, Wake::CheckConnections);
        if let Some(group) = &mut self.group {
            group.join(process(node, self.incarnations[node]));
            // Heartbeats of the nodes are spread over the interval.
            let first_heartbeat = HEARTBEAT_INTERVAL_US * (node as Us + 1) / self.nodes.len() as Us;
            self.schedule(node, self.now + first_heartbeat, Wake::Heartbeat);
        }
    }

    /// Ends a node at once; its open requests lose their connections.
    fn end(&mut self, node: usize) {
        self.stopped.remove(&node);
        self.incarnations[node] += 1;
        let Some(ended) = self.nodes[node].take() else { return };
        let (tries, attempts, connections) = ended.into_open_work();
        for try_id in tries {
            self.world.try_ended(self.now, try_id, TryOutcome::ConnectionLost { partial_answer: false });
        }
        for attempt in attempts {
            self.world.attempt_closed(self.now, attempt);
        }
        for (server, incarnation) in connections {
            self.world.disconnect(self.now, server, incarnation);
        }
    }

    // ---- The control group ----

    /// Begins a fault of the control group. Without a policy that enables votes there is no group, and the modules
    /// keep the settings that they were started with.
    fn begin_group_fault(&mut self, n: usize) -> Result<(), ModelError> {
        let draw = self.world.draw().clone();
        let (fault, now) = (&draw.faults[n], self.now);
        let Some(group) = &mut self.group else { return Ok(()) };
        match fault.kind {
            FaultKind::Policy => {
                let proposal = self.world.policy_proposed(now);
                let Some(epoch) = group.commit_policy(Policy(fault.policy.clone())) else { return Ok(()) };
                self.world.policy_ended(now, proposal, PolicyOutcome::Committed(epoch));
                for (field, value) in &fault.policy {
                    self.settings[field] = value.clone();
                }
                for node in 0..self.nodes.len() {
                    let settings = node_settings(&self.settings, &draw, node);
                    let Some(n) = &mut self.nodes[node] else { continue };
                    let effects = n.apply_policy(now, &settings)?;
                    self.apply_effects(node, effects);
                }
            }
            FaultKind::GroupOutage => group.stop(),
            FaultKind::FaultyVoters => {
                for index in 0..fault.factor as usize {
                    let process = Process { name: format!("liar-{n}-{index}"), boot: 1 };
                    group.join(process.clone());
                    let zone = draw.zones[index % draw.zones.len()].clone();
                    self.faulty_voters.push(FaultyVoter {
                        fault: n,
                        process,
                        zone,
                        last_heartbeat: now,
                        stamp: None,
                    });
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Ends a fault of the control group.
    fn end_group_fault(&mut self, n: usize) {
        let Some(group) = &mut self.group else { return };
        if self.world.draw().faults[n].kind == FaultKind::GroupOutage {
            group.start(self.now);
        }
        for voter in self.faulty_voters.extract_if(.., |voter| voter.fault == n) {
            group.leave(voter.process.name);
        }
    }

    /// A node sends its ballots in a heartbeat, and receives the group's verdicts; so do faulty voters that are due.
    fn exchange_heartbeat(&mut self, node: usize) {
        let draw = self.world.draw().clone();
        let (Some(group), Some(n)) = (&mut self.group, &mut self.nodes[node]) else { return };
        let before = group.verdicts();
        for voter in self
            .faulty_voters
            .iter_mut()
            .filter(|voter| voter.last_heartbeat + HEARTBEAT_INTERVAL_US <= self.now)
        {
            let (up_servers, ballots) = self.world.false_vote_report(&draw.faults[voter.fault].targets);
            let votes = VoteReport { zone: Some(voter.zone.clone()), up_servers, abstains: false, ballots };
            let answer = group.heartbeat(self.now, voter.process.clone(), voter.stamp, votes);
            (voter.last_heartbeat, voter.stamp) = (self.now, answer.map(|(stamp, _)| stamp));
        }
        let (report, servers) = n.ballots();
        let requested_ballots = n.group_answer.as_ref().map_or(&[][..], |(_, requested)| requested);
        let ballots = report.ballots.into_iter().filter_map(|own| {
            let ballot = self.world.ballot(*servers.get(&own.server)?, own.vote, own.evidence)?;
            (ballot.vote == Vote::For || requested_ballots.contains(&ballot.server)).then_some(ballot)
        });
        let mut ballots: Vec<_> = ballots.collect();
        ballots.sort_by_key(|ballot| (ballot.vote, std::cmp::Reverse(ballot.evidence.failures())));
        ballots.truncate(MAX_BALLOTS);
        let zone = Some(draw.zones[self.world.node_zone(node)].clone());
        let votes = VoteReport {
            zone,
            up_servers: self.world.active_by_zone(),
            abstains: report.self_doubt,
            ballots,
        };
        let echo = n.group_answer.as_ref().map(|(stamp, _)| *stamp);
        let Some(answer) = group.heartbeat(self.now, process(node, self.incarnations[node]), echo, votes)
        else {
            return;
        };
        n.group_answer = Some(answer);
        let Some(verdicts) = group.verdicts() else { return };
        // A change of the verdicts goes to all nodes through their watches; unchanged verdicts are confirmed only to
        // this node.
        let changed = before.is_none_or(|before| before.version != verdicts.version);
        self.world.record_verdicts(self.now, votes::group_verdicts(verdicts.clone()));
        for node in (0..self.nodes.len()).filter(|n| *n == node || changed) {
            self.apply_verdicts(node, &verdicts);
        }
    }

    /// Applies the verdicts for the zone of a node.
    fn apply_verdicts(&mut self, node: usize, verdicts: &Verdicts) {
        let zone = &self.world.draw().zones[self.world.node_zone(node)];
        let Some(n) = self.nodes[node].as_mut().filter(|_| !self.stopped.contains_key(&node)) else { return };
        let name = format!("n{node}");
        let verdicts_here = verdicts.verdicts.iter().filter(|v| v.zones.is_empty() || v.zones.contains(zone));
        let verdicts_here = verdicts_here.filter(|v| self.world.born_ms(&v.server) == Some(v.born_ms));
        let effects =
            n.apply_verdicts(self.now, verdicts_here.map(|v| (v.server.as_str(), v.probers.contains(&name))));
        self.apply_effects(node, effects);
    }

    // ---- What nodes do ----

    /// Carries out what a node asks for.
    fn apply_effects(&mut self, node: usize, effects: Vec<NodeEffect>) {
        for effect in effects {
            match effect {
                NodeEffect::Timer(at) => self.schedule(node, at, Wake::Timer),
                NodeEffect::Answer { try_id, status, retry_after, attempt } => {
                    self.world.try_ended(
                        self.now,
                        try_id,
                        TryOutcome::Answer { status, retry_after, attempt },
                    );
                }
                NodeEffect::Send { id, attempt, server, until } => {
                    self.send(node, id, attempt, server, until)
                }
                NodeEffect::Close { attempt, connection } => {
                    if let Some(attempt) = attempt {
                        self.world.attempt_closed(self.now, attempt);
                    }
                    if let Some((server, incarnation)) = connection {
                        self.world.disconnect(self.now, server, incarnation);
                    }
                }
            }
        }
    }

    /// Sends an attempt on a kept connection, or connects first.
    fn send(&mut self, node: usize, id: RequestId, n: usize, server: usize, until: Us) {
        let (now, zone) = (self.now, self.world.node_zone(node));
        self.schedule(node, until, Wake::AttemptTimeout(id, n));
        let kept_connection = self.nodes[node].as_mut().and_then(|node| node.take_connection(now, server));
        let fresh = kept_connection.is_none();
        let incarnation = kept_connection.or_else(|| match self.world.reachability(server, zone) {
            Reachability::Open => self.world.connect(now, server),
            Reachability::Refused | Reachability::Unreachable => None,
        });
        let Some(incarnation) = incarnation else {
            let failed_at = match self.world.reachability(server, zone) {
                Reachability::Unreachable => now + self.nodes[node].as_ref().map_or(0, Node::connect_time),
                Reachability::Refused | Reachability::Open => now + 2 * self.world.link_delay(node, server),
            };
            return self.schedule(node, failed_at, Wake::ConnectFailed(id, n));
        };
        let txn = self.world.txn(id.0 as usize);
        let Some(at) = self.world.start_attempt(now, server, zone, &txn, fresh) else { return };
        // The world numbers attempts in the same order.
        debug_assert_eq!(at, self.origins.len());
        self.origins.push((node, self.incarnations[node], id, n));
        if let Some(node) = &mut self.nodes[node] {
            node.attempt_sent(id, n, at, (server, incarnation));
        }
    }

    /// Reports the end of an attempt to its node.
    fn ended(&mut self, node: usize, id: RequestId, n: usize, outcome: Outcome) {
        let effects = self.nodes[node].as_mut().map(|node| node.attempt_ended(self.now, id, n, outcome));
        self.apply_effects(node, effects.unwrap_or_default());
    }

    /// Closes the connections of a node to a server.
    fn drop_connections(&mut self, node: usize, server: usize) {
        let Some(n) = &mut self.nodes[node] else { return };
        let (idle, open_attempts) = n.connections_lost(server);
        for incarnation in idle {
            self.world.disconnect(self.now, server, incarnation);
        }
        for (id, attempt) in open_attempts {
            self.ended(node, id, attempt, Outcome::Reset);
        }
    }

    /// Delivers a list update to a node.
    fn send_list_update(&mut self, node: usize, from: u64, to: u64) {
        let line = self.world.list_update(node, from, to);
        let Some(n) = &mut self.nodes[node] else { return };
        let (effects, needs_full_list) = n.apply_list_update(self.now, line);
        if let Some(at) = n.confirm_rollback_at() {
            self.schedule(node, at, Wake::ConfirmRollback);
        }
        self.world.list_delivered(self.now, node, to);
        self.apply_effects(node, effects);
        if needs_full_list {
            self.send_full_list(node);
        }
    }

    /// The node requests the full list on a new watch.
    fn send_full_list(&mut self, node: usize) {
        if let Some(n) = &mut self.nodes[node] {
            n.set_watching(true);
            let version = self.world.agent_version(node);
            self.send_list_update(node, 0, version);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::Rules;
    use crate::referee::Rule;

    /// A release, during which the list is stale.
    const RELEASE_AND_STALE_LIST: &str =
        "[[fault]]\nkind = \"release\"\nat_s = 3\nfor_s = 12\nshare = 0.6\nsteps = 3\n\
        [[fault]]\nkind = \"stale-list\"\nat_s = 12\nfor_s = 8\nfactor = 12\n";

    fn play_plan(more: &str) -> World {
        play_with_rules(more, |_| {})
    }

    /// Plays a plan, with the referee's rules changed by `rules`.
    fn play_with_rules(more: &str, rules: impl FnOnce(&mut Rules)) -> World {
        let text =
            format!("schema = 1\nname = \"x\"\nlength_s = 25\n[fleet]\nnodes = 9\nservers = 12\n{more}");
        let mut plan = Plan::read("x.toml", &text).expect("a valid plan");
        let draw = Rc::new(Draw::new(&plan, 5));
        let settings = fleet_settings(&plan, &draw);
        rules(&mut plan.rules);
        let world = run(&plan, settings, &draw, None).expect("good settings");
        let ended: u64 = world.tally().windows.iter().flatten().flat_map(|w| w.outcomes).sum();
        assert_eq!(ended as usize, world.draw().arrivals.len(), "each request ends once");
        world
    }

    #[test]
    fn a_calm_fleet_is_served_and_two_runs_are_identical() {
        let calm = "[load]\nof_capacity = 0.5\n";
        let world = play_plan(calm);
        assert_eq!(world.breaches().0, 0, "{:?}", world.breaches().1);
        let served = world.tally().served_share(0..2, 0..25);
        assert!(served > 0.9, "{served}");
        assert_eq!(format!("{:?}", world.tally()), format!("{:?}", play_plan(calm).tally()));
    }

    /// The faults are kills, restarts and pauses of nodes, a release, a replaced server and a vanished one, a
    /// partition, broken connections, and resets.
    #[test]
    fn no_rule_is_broken_under_nine_kinds_of_faults() {
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
        let world = play_plan(&format!("[load]\nof_capacity = 0.3\n{}", faults.concat()));
        assert_eq!(world.breaches().0, 0, "{:?}", world.breaches().1);
        let served = world.tally().served_share(0..2, 0..25);
        assert!(served > 0.8, "{served}");
    }

    /// With votes enabled, a server fails for a while, and one faulty voter reports false ballots on all servers.
    const VOTES: &str = "[control]\n[load]\nof_capacity = 0.4\n\
        [[fault]]\nkind = \"policy\"\nat_s = 1\nfor_s = 1\npolicy = { Votes = {} }\n\
        [[fault]]\nkind = \"errors\"\nat_s = 4\nfor_s = 5\nids = [3]\nfactor = 0.8\n\
        [[fault]]\nkind = \"liar\"\nat_s = 2\nfor_s = 20\nfactor = 1\n";

    #[test]
    fn a_failing_server_is_removed_by_votes_and_returns_once_it_has_recovered() {
        let votes = play_plan(VOTES).vote_metrics().expect("a group");
        assert_eq!(
            (votes.removed, votes.wrong_removals, votes.attempts_after_removal),
            (1, 0, 0),
            "{votes:?}"
        );
        // It may be removed for one zone first; the last removal must be of a server that has recovered.
        let first = votes.removals.first().expect("a server was removed");
        let last = votes.removals.last().expect("a server was removed");
        assert!(first.remove_ms < Some(4_000.0) && last.recovered && last.return_ms.is_some(), "{votes:?}");
        assert!(play_plan("").vote_metrics().is_none());
    }

    /// A server that an older list shows as in service again must stay drained.
    #[test]
    fn a_stale_list_does_not_return_a_drained_server_to_service() {
        let world = play_plan(RELEASE_AND_STALE_LIST);
        assert_eq!(world.breaches().0, 0, "{:?}", world.breaches().1);
    }

    #[test]
    fn the_referee_reports_a_broken_rule() {
        // The referee allows fewer attempts than the modules are configured for.
        let fault = "[[fault]]\nkind = \"reset\"\nat_s = 5\nfor_s = 2\nshare = 0.2\nfactor = 0.2\n";
        let world = play_with_rules(fault, |rules| rules.attempts = 1);
        assert!(world.breaches().1.iter().any(|b| b.rule == Rule::Repeat));
    }
}
