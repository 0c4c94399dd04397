//! A simulated fleet in virtual time: the real state machines, with links, disks and elections drawn from a seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use consensus::StateMachine as _;
use control::command::{Command, PolicyCommand};
use control::leader::{Effect, Input, Leader, LeaderSettings};
use control::machine::FleetState;
use member::{
    AgreedState, ChangeId, Epoch, Heartbeat, HeartbeatReply, Member, MemberConfig, Millis, Policy, Process,
    StartMode, MAX_CLOCK_DRIFT,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// The timeout of a heartbeat without a reply.
const HEARTBEAT_TIMEOUT_MS: Millis = 500.0;
/// The interval between proposals.
const PROPOSAL_INTERVAL_MS: Millis = 6000.0;

/// The parameters of a simulation. The changes are proposed one after the other, 6 s apart.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of changes.
    pub changes: usize,
    /// The number of classes in each policy, of about 32 bytes each.
    pub classes: usize,
    /// Whether the leader is killed, up to 60 ms after each proposal.
    pub leader_dies: bool,
    /// The seed of all random delays, clock rates and elections.
    pub seed: u64,
}

/// The results of a simulation; times in milliseconds of virtual time.
#[derive(Debug, Default)]
pub struct Report {
    /// From a proposal to its commit, sorted.
    pub commit_ms: Vec<Millis>,
    /// From a proposal to its activation on the last node, sorted.
    pub active_everywhere_ms: Vec<Millis>,
    /// From the first possible admission under a new epoch to the last one under the old epoch, sorted.
    pub mixed_ms: Vec<Millis>,
    /// The number of messages from each proposal to its activation on the last node, summed over all changes.
    pub messages: u64,
    /// The size of these messages, in bytes of JSON.
    pub bytes: u64,
    /// The number of messages in the last second of the simulation, while no change is pending.
    pub idle_messages: f64,
    /// The size of these messages, in bytes of JSON.
    pub idle_bytes: f64,
    /// The number of changes that were aborted.
    pub aborted_count: usize,
}

/// Returns the maximum time that two policies may be in service at once.
pub fn max_mixed_ms() -> Millis {
    LeaderSettings::default().promise_ms * (1.0 + 2.0 * MAX_CLOCK_DRIFT)
}

/// Returns a quantile of sorted values.
pub fn quantile(sorted: &[Millis], fraction: f64) -> Millis {
    sorted
        .get(((sorted.len() as f64 * fraction) as usize).min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

enum Event {
    SendHeartbeat(usize),
    HeartbeatArrives { node: usize, token: u64, heartbeat: Heartbeat },
    HeartbeatFails { node: usize, token: u64 },
    ReplyArrives { node: usize, token: u64, reply: Box<HeartbeatReply> },
    WatchEventArrives { node: usize, agreed: Box<AgreedState> },
    Checked { node: usize, change: ChangeId },
    Confirmed { term: u64, requested_at: Millis },
    Written { term: u64, command: Command },
    Tick { term: u64 },
    Propose,
    LeaderDies,
    LeaderElected,
}

struct Node {
    member: Member,
    clock_offset: Millis,
    clock_rate: f64,
    /// The token of the heartbeat in flight, and when it was sent by the node's clock.
    pending: Option<(u64, Millis)>,
}

impl Node {
    fn clock(&self, now: Millis) -> Millis {
        self.clock_offset + self.clock_rate * now
    }

    fn admits(&self, now: Millis) -> bool {
        self.member.admit(self.clock(now)).is_ok()
    }
}

/// The change that is being measured.
struct MeasuredChange {
    proposed_at: Millis,
    epoch: Epoch,
    /// The number of nodes on which it is not yet active.
    missing_nodes: usize,
    first_new_at: Option<Millis>,
    last_old_at: Millis,
}

struct Fleet {
    config: SimulationConfig,
    rng: Pcg64Mcg,
    now: Millis,
    last_event_id: u64,
    /// The due times of events, in microseconds, and their IDs.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    nodes: Vec<Node>,
    last_token: u64,
    /// The senders of the heartbeats at the leader, by token.
    waiting: BTreeMap<u64, usize>,
    log: FleetState,
    /// The number of elections so far.
    term: u64,
    /// The leader of this term, unless it has died.
    leader: Option<Leader>,
    /// When the last write is on the disks of a majority.
    synced_at: Millis,
    measured: Option<MeasuredChange>,
    /// Messages and bytes since the last proposal.
    traffic: (u64, u64),
    report: Report,
}

/// Runs a simulation.
pub fn run(config: SimulationConfig) -> Report {
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
    let nodes = (0..config.nodes).map(|node| {
        let process = Process { name: format!("node-{node}"), boot: rng.random() };
        // The simulation makes no connection, so any address will do.
        let liveness_addr = "127.0.0.1:9".parse().expect("a valid address");
        let config = MemberConfig {
            process,
            liveness_addr,
            coexists_with_previous: false,
            start_mode: StartMode::Wait,
        };
        let (clock_offset, clock_rate) = (rng.random_range(0.0..1e6), rng.random_range(0.9955..1.0045));
        Node { member: Member::new(config, None, clock_offset), clock_offset, clock_rate, pending: None }
    });
    let nodes = nodes.collect();
    let mut fleet = Fleet {
        config,
        rng,
        now: 0.0,
        last_event_id: 0,
        due: BinaryHeap::new(),
        events: BTreeMap::new(),
        nodes,
        last_token: 0,
        waiting: BTreeMap::new(),
        log: FleetState::new(),
        term: 0,
        leader: None,
        synced_at: 0.0,
        measured: None,
        traffic: (0, 0),
        report: Report::default(),
    };
    fleet.after(0.0, Event::LeaderElected);
    for node in 0..config.nodes {
        let delay = fleet.rng.random_range(0.0..1000.0);
        fleet.after(delay, Event::SendHeartbeat(node));
    }
    for change in 0..config.changes {
        fleet.after(10_000.0 + PROPOSAL_INTERVAL_MS * change as Millis, Event::Propose);
    }
    fleet.run(10_000.0 + PROPOSAL_INTERVAL_MS * config.changes as Millis);
    let report = &mut fleet.report;
    for values in [&mut report.commit_ms, &mut report.active_everywhere_ms, &mut report.mixed_ms] {
        values.sort_by(f64::total_cmp);
    }
    fleet.report
}

impl Fleet {
    fn run(&mut self, end: Millis) {
        let mut idle_start = None;
        while let Some(Reverse((due_us, id))) = self.due.pop() {
            self.now = due_us as Millis / 1000.0;
            if self.now > end {
                break;
            }
            if self.now > end - 1000.0 && idle_start.is_none() {
                idle_start = Some(self.traffic);
            }
            let event = self.events.remove(&id).expect("each due event exists");
            self.handle(event);
        }
        let (messages, bytes) = idle_start.unwrap_or_default();
        self.report.idle_messages = (self.traffic.0 - messages) as f64;
        self.report.idle_bytes = (self.traffic.1 - bytes) as f64;
    }

    fn after(&mut self, delay: Millis, event: Event) {
        self.last_event_id += 1;
        self.due.push(Reverse((((self.now + delay) * 1000.0).round() as u64, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    /// Draws the one-way delay of a link; a lost packet is retransmitted 200 ms later.
    fn link_delay(&mut self) -> Millis {
        let retransmission = if self.rng.random_bool(0.01) { 200.0 } else { 0.0 };
        retransmission + self.rng.random_range(1.0..20.0)
    }

    fn count_message(&mut self, message: &impl serde::Serialize) {
        let bytes = serde_json::to_vec(message).expect("messages serialize").len();
        self.traffic.0 += 1;
        self.traffic.1 += bytes as u64;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SendHeartbeat(node) => {
                let clock = self.nodes[node].clock(self.now);
                let node_state = &mut self.nodes[node];
                if node_state.pending.is_some() || clock + 0.001 < node_state.member.next_heartbeat_at() {
                    return; // An earlier event has already sent it.
                }
                self.last_token += 1;
                let token = self.last_token;
                node_state.pending = Some((token, clock));
                let heartbeat = node_state.member.heartbeat(clock);
                self.count_message(&heartbeat);
                let delay = self.link_delay();
                self.after(delay, Event::HeartbeatArrives { node, token, heartbeat });
                self.after(HEARTBEAT_TIMEOUT_MS, Event::HeartbeatFails { node, token });
            }
            Event::HeartbeatArrives { node, token, heartbeat } => {
                if self.leader.is_none() {
                    let delay = self.link_delay();
                    return self.after(delay, Event::HeartbeatFails { node, token });
                }
                self.waiting.insert(token, node);
                self.handle_input(Input::Heartbeat { token, heartbeat });
            }
            Event::HeartbeatFails { node, token } => {
                if self.nodes[node].pending.is_some_and(|(pending, _)| pending == token) {
                    self.nodes[node].pending = None;
                    self.schedule_heartbeat(node);
                }
            }
            Event::ReplyArrives { node, token, reply } => {
                let now = self.now;
                let node_state = &mut self.nodes[node];
                let Some((_, sent_at)) = node_state.pending.take_if(|(pending, _)| *pending == token) else {
                    return;
                };
                let (clock, before, admits) =
                    (node_state.clock(now), node_state.member.active_epoch(), node_state.admits(now));
                let effects = node_state.member.on_reply(sent_at, *reply, clock);
                self.carry_out(node, effects, before, admits);
                self.schedule_heartbeat(node);
            }
            Event::WatchEventArrives { node, agreed } => {
                let now = self.now;
                let node_state = &mut self.nodes[node];
                let (clock, before, admits) =
                    (node_state.clock(now), node_state.member.active_epoch(), node_state.admits(now));
                let effects = node_state.member.on_agreed_state(*agreed, clock);
                self.carry_out(node, effects, before, admits);
            }
            Event::Checked { node, change } => {
                let clock = self.nodes[node].clock(self.now);
                self.nodes[node].member.on_check_result(change, Ok(()), clock);
                self.schedule_heartbeat(node);
            }
            Event::Confirmed { term, requested_at } if term == self.term => {
                self.handle_input(Input::Confirmed { requested_at })
            }
            Event::Written { term, command } if term == self.term && self.leader.is_some() => {
                let outcome = Some(self.apply(&command));
                self.handle_input(Input::WriteResult { command, outcome });
            }
            Event::Tick { term } if term == self.term => self.handle_input(Input::Tick),
            Event::Confirmed { .. } | Event::Written { .. } | Event::Tick { .. } => {}
            Event::Propose => self.propose(),
            Event::LeaderDies => {
                self.leader = None;
                let election = self.rng.random_range(300.0..900.0);
                self.after(election, Event::LeaderElected);
            }
            Event::LeaderElected => {
                self.term += 1;
                self.waiting.clear();
                self.synced_at = self.now;
                self.leader = Some(Leader::new(LeaderSettings::default(), self.term, self.now));
                self.handle_input(Input::Applied);
                self.after(0.0, Event::Tick { term: self.term });
            }
        }
    }

    fn schedule_heartbeat(&mut self, node: usize) {
        let node_state = &self.nodes[node];
        let delay = (node_state.member.next_heartbeat_at() - node_state.clock(self.now)).max(0.0)
            / node_state.clock_rate;
        self.after(delay + 0.001, Event::SendHeartbeat(node));
    }

    fn propose(&mut self) {
        let classes =
            (0..self.config.classes).map(|class| format!("{{\"Name\":\"class-{class}\",\"Slo\":0.2}}"));
        let policy = format!("{{\"Classes\":[{}]}}", classes.collect::<Vec<_>>().join(","));
        let policy: Policy = serde_json::from_str(&policy).expect("JSON");
        let base_epoch = self.log.policy_state().epoch();
        self.traffic = (0, 0);
        self.apply(&Command::Policy(PolicyCommand::Propose { base_epoch, policy }));
        let epoch = self.log.policy_state().highest_epoch();
        self.measured = Some(MeasuredChange {
            proposed_at: self.now,
            epoch,
            missing_nodes: self.config.nodes,
            first_new_at: None,
            last_old_at: self.now,
        });
        self.handle_input(Input::Applied);
        if self.config.leader_dies {
            let delay = self.rng.random_range(0.0..60.0);
            self.after(delay, Event::LeaderDies);
        }
    }

    /// Commits a command: replicas apply it and notify their watchers.
    fn apply(&mut self, command: &Command) -> control::command::Outcome {
        let before = (self.log.policy_state().epoch(), self.log.policy_state().pending_change().cloned());
        let outcome = self.log.apply(self.log.version() + 1, command);
        let agreed = self.log.agreed_state();
        if before == (agreed.epoch, agreed.change.clone()) {
            return outcome;
        }
        if agreed.epoch > before.0 {
            let measured = self.measured.as_ref().expect("a change was proposed");
            self.report.commit_ms.push(self.now - measured.proposed_at);
        } else if agreed.change.is_none() {
            self.report.aborted_count += 1;
            self.measured = None;
        }
        for node in 0..self.nodes.len() {
            self.count_message(&agreed);
            let delay = self.rng.random_range(1.0..10.0) + self.link_delay();
            self.after(delay, Event::WatchEventArrives { node, agreed: Box::new(agreed.clone()) });
        }
        outcome
    }

    /// Lets the leader handle an input, and carries out its effects.
    fn handle_input(&mut self, input: Input) {
        let Some(leader) = &mut self.leader else { return };
        let is_tick = input == Input::Tick;
        let effects = leader.handle(self.now, input, &self.log);
        if let Some(next) = leader.next_tick_at().filter(|_| is_tick) {
            let event = Event::Tick { term: self.term };
            self.after(next - self.now, event);
        }
        let (term, requested_at) = (self.term, self.now);
        for effect in effects {
            match effect {
                Effect::Reply { token, reply } => {
                    self.count_message(&reply);
                    let node = self.waiting.remove(&token).expect("the heartbeat is waiting");
                    let delay = self.link_delay();
                    self.after(delay, Event::ReplyArrives { node, token, reply });
                }
                Effect::Refuse { token, .. } => {
                    self.waiting.remove(&token);
                }
                Effect::Write(command) => {
                    // Writes are synced in order.
                    let sync = self.rng.random_range(2.0..15.0);
                    self.synced_at = self.synced_at.max(self.now + sync);
                    self.after(self.synced_at - self.now, Event::Written { term, command });
                }
                Effect::ConfirmLeadership => {
                    let round_trip = self.rng.random_range(1.0..6.0);
                    self.after(round_trip, Event::Confirmed { term, requested_at });
                }
                Effect::Probe { .. } => {} // All nodes are alive, and a connection that is made proves nothing.
            }
        }
    }

    /// Carries out a member's effects; `before` and `admits` are its epoch and whether it admitted requests before.
    fn carry_out(&mut self, node: usize, effects: Vec<member::Effect>, before: Option<Epoch>, admits: bool) {
        for effect in effects {
            match effect {
                member::Effect::Check(change) => {
                    let check = self.rng.random_range(1.0..5.0);
                    self.after(check, Event::Checked { node, change: change.id });
                }
                member::Effect::Activate { epoch, .. } if before.is_some() => {
                    self.record_activation(epoch, admits)
                }
                member::Effect::SendHeartbeat => self.schedule_heartbeat(node),
                _ => {}
            }
        }
    }

    fn record_activation(&mut self, epoch: Epoch, admitted: bool) {
        let now = self.now;
        let Some(measured) = self.measured.as_mut().filter(|measured| measured.epoch == epoch) else {
            return;
        };
        measured.first_new_at.get_or_insert(now);
        if admitted {
            measured.last_old_at = now; // Otherwise it was in doubt, and last admitted a request within its promise.
        }
        measured.missing_nodes -= 1;
        if measured.missing_nodes == 0 {
            self.report.active_everywhere_ms.push(now - measured.proposed_at);
            let first_new_at = measured.first_new_at.unwrap_or(now);
            self.report.mixed_ms.push(measured.last_old_at - first_new_at);
            self.report.messages += self.traffic.0;
            self.report.bytes += self.traffic.1;
        }
    }
}
