//! The task that owns the [`Leader`] while this replica leads: it feeds events to it and carries out its effects. While
//! the agreed policy enables votes on servers, it also owns the [`Tally`].
//!
//! Each term has a leader of its own. When a term ends, everything that is in flight for it is dropped with it: callers
//! that wait for a reply learn that this replica does not lead, and whether a write took effect depends on the log.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use consensus::{Leadership, Replica};
use member::{Epoch, Heartbeat, HeartbeatReply, Millis, Process, StageReply};
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinError, JoinSet};
use tokio::time::{sleep, timeout, Instant};

use crate::command::{Command, Outcome, VerdictCommand};
use crate::leader::{Effect, Input, Leader, LeaderSettings, Refusal};
use crate::machine::FleetState;
use crate::tally::view::TallyView;
use crate::tally::{self, Tally};
use crate::verdicts::VoteResult;

/// The maximum number of queued calls.
const MAX_QUEUED_CALLS: usize = 4096;
/// The maximum number of events that the leader handles in one step.
const MAX_EVENTS_PER_STEP: usize = 512;
/// The timeout of a connection to a process's liveness address.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// A call to the leader on this replica; dropped without an answer if this replica does not lead.
enum Call {
    Heartbeat(Box<Heartbeat>, oneshot::Sender<Result<HeartbeatReply, Refusal>>),
    /// Returns the leader's view of the members.
    Nodes(oneshot::Sender<NodesView>),
    /// Returns the leader's view of the votes; `None` while votes are disabled.
    Votes(oneshot::Sender<Option<TallyView>>),
}

/// Why a call to the leader on this replica has failed.
#[derive(Debug)]
pub enum CallError {
    /// This replica does not lead, or no longer leads.
    NotLeader,
    /// The maximum number of calls is queued.
    QueueFull,
    /// The leader refused the heartbeat.
    Refused(Refusal),
}

/// The leader's view of the members.
#[derive(Debug, Serialize)]
pub struct NodesView {
    /// The log's version.
    pub version: u64,
    /// The leader's term.
    pub term: u64,
    /// The agreed epoch.
    pub epoch: Epoch,
    /// The pending change.
    pub change: Option<u64>,
    /// The processes.
    pub nodes: Vec<NodeView>,
}

/// A process of a node.
#[derive(Debug, Serialize)]
pub struct NodeView {
    /// The node's name.
    pub name: String,
    /// The process's number, see [`Process::boot`].
    pub boot: u64,
    /// The address that it listens on until it exits.
    #[serde(rename = "life")]
    pub liveness_addr: SocketAddr,
    /// It admits no request without a lease.
    pub fenced: bool,
    /// The time since its last heartbeat or, if there was none in this term, since the term's start.
    #[serde(rename = "heard_ms")]
    pub silence_ms: Millis,
    /// It has been silent for a session timeout.
    pub silent: bool,
    /// The epoch that it admits requests under, according to its last heartbeat in this term.
    #[serde(rename = "active")]
    pub active_epoch: Option<Epoch>,
    /// It has staged the pending change.
    pub staged: bool,
    /// Why it refuses that change.
    #[serde(rename = "refused")]
    pub refusal: Option<String>,
}

/// A handle for calls to the actor.
#[derive(Clone)]
pub struct Handle(mpsc::Sender<Call>);

impl Handle {
    /// Passes a heartbeat to the leader on this replica, and returns its reply.
    ///
    /// # Errors
    /// If this replica does not lead, or the leader refuses the heartbeat.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<HeartbeatReply, CallError> {
        let call = |reply| Call::Heartbeat(Box::new(heartbeat), reply);
        self.call(call).await?.map_err(CallError::Refused)
    }

    /// Returns the view of the members of the leader on this replica.
    ///
    /// # Errors
    /// If this replica does not lead.
    pub async fn nodes(&self) -> Result<NodesView, CallError> {
        self.call(Call::Nodes).await
    }

    /// Returns the view of votes of the leader on this replica; `None` while votes are disabled.
    ///
    /// # Errors
    /// If this replica does not lead.
    pub async fn votes(&self) -> Result<Option<TallyView>, CallError> {
        self.call(Call::Votes).await
    }

    async fn call<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> Result<T, CallError> {
        let (sender, answer) = oneshot::channel();
        self.0.try_send(call(sender)).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => CallError::QueueFull,
            mpsc::error::TrySendError::Closed(_) => CallError::NotLeader,
        })?;
        answer.await.map_err(|_| CallError::NotLeader)
    }
}

/// The number of bits of a stamp's term that hold the number of the replica's starts.
const STARTS_BITS: u32 = 24;

/// Creates the actor, which the caller must run, and a handle for it.
pub fn new(replica: Replica<FleetState>, starts: u64, settings: LeaderSettings) -> (Handle, Actor) {
    let (sender, calls) = mpsc::channel(MAX_QUEUED_CALLS);
    (Handle(sender), Actor { replica, starts, settings, calls, started_at: Instant::now() })
}

/// The actor's state between terms; see the module's documentation.
pub struct Actor {
    replica: Replica<FleetState>,
    /// The number of the replica's starts, including this one.
    starts: u64,
    settings: LeaderSettings,
    calls: mpsc::Receiver<Call>,
    started_at: Instant,
}

impl Actor {
    /// Runs a leader whenever this replica leads, until `stopping`.
    pub async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        let mut leading = self.replica.watch_leadership();
        let mut applied = self.replica.watch_applied();
        let mut term: Option<Term> = None;
        loop {
            let current = leading.borrow_and_update().clone();
            if term.as_ref().is_some_and(|term| !term.is_current(&current)) {
                tracing::info!(term = current.term, "leadership lost");
                term = None;
            }
            if current.is_local && term.is_none() {
                tracing::info!(term = current.term, "leadership acquired");
                term = Some(Term::new(&self, current.term));
            }
            let event = tokio::select! {
                changed = leading.changed() => if changed.is_err() { return } else { continue },
                _ = stopping.wait_for(|stopping| *stopping) => return,
                call = self.calls.recv() => match call {
                    Some(call) => Event::Call(call),
                    None => return,
                },
                Some(input) = next_input(&mut term) => Event::Input(Box::new(input)),
                changed = applied.changed(), if term.is_some() => {
                    if changed.is_err() { return }
                    Event::Input(Box::new(Input::Applied))
                }
            };
            // The result of a term's task counts for that term only, which may have ended meanwhile.
            if let Some(term) = term.as_mut().filter(|term| term.is_current(&leading.borrow())) {
                let events = term.collect_events(event, &mut self.calls);
                term.handle_events(events);
            }
        }
    }
}

enum Event {
    Call(Call),
    Input(Box<Input>),
}

/// Waits for the result of one of the term's tasks or for its timer; never returns without a term.
async fn next_input(term: &mut Option<Term>) -> Option<Input> {
    let Some(term) = term else { return std::future::pending().await };
    let ticks =
        term.leader.next_tick_at().into_iter().chain(term.tally.as_ref().and_then(Tally::next_tick_at));
    let delay = ticks.min_by(f64::total_cmp).map_or(Duration::MAX, |next| {
        let delay_ms = (next - term.now()).clamp(0.0, 60_000.0);
        Duration::from_secs_f64(delay_ms / 1000.0)
    });
    tokio::select! {
        Some(result) = term.tasks.join_next() => Some(task_input(result)),
        () = sleep(delay) => Some(Input::Tick),
    }
}

/// Returns the input from a finished task.
fn task_input(result: Result<Input, JoinError>) -> Input {
    // Tasks do not panic, and are aborted only together with the term.
    result.unwrap_or_else(|error| {
        tracing::error!(%error, "a task of the leader ended early");
        Input::Tick
    })
}

/// Returns the term for a leader's stamps, which includes the number of the replica's starts. A replica that led when it
/// stopped may lead again in the same term after a restart, and its clock then starts anew. With the raft term alone,
/// stamps from before the restart would be taken for times on the new clock.
fn stamp_term(term: u64, starts: u64) -> u64 {
    (term << STARTS_BITS) | (starts & ((1 << STARTS_BITS) - 1))
}

/// A caller that waits for the reply to a heartbeat.
struct PendingReply {
    sender: oneshot::Sender<Result<HeartbeatReply, Refusal>>,
    /// The version of the verdicts that the sender knows, if its heartbeat has votes.
    verdicts_version: Option<u64>,
}

/// One term in which this replica leads.
struct Term {
    number: u64,
    /// The term in the stamps of its replies, see [`stamp_term`].
    stamp_term: u64,
    leader: Leader,
    /// Present while the agreed policy enables votes.
    tally: Option<Tally>,
    replica: Replica<FleetState>,
    session_timeout_ms: Millis,
    started_at: Instant,
    /// The callers that wait for a reply, by token.
    pending_replies: HashMap<u64, PendingReply>,
    last_token: u64,
    /// Writes, confirmations and probes in flight; at most one per process, one for the change, and one confirmation.
    tasks: JoinSet<Input>,
    /// Each member's active epoch and stage reply, from its last heartbeat.
    last_reports: BTreeMap<Process, (Option<Epoch>, Option<StageReply>)>,
}

impl Term {
    fn new(actor: &Actor, number: u64) -> Self {
        let (now, stamp_term) = (to_millis(actor.started_at.elapsed()), stamp_term(number, actor.starts));
        Self {
            number,
            stamp_term,
            leader: Leader::new(actor.settings.clone(), stamp_term, now),
            tally: None,
            replica: actor.replica.clone(),
            session_timeout_ms: actor.settings.session_timeout_ms,
            started_at: actor.started_at,
            pending_replies: HashMap::new(),
            last_token: 0,
            tasks: JoinSet::new(),
            last_reports: BTreeMap::new(),
        }
    }

    fn now(&self) -> Millis {
        to_millis(self.started_at.elapsed())
    }

    fn is_current(&self, leading: &Leadership) -> bool {
        leading.is_local && leading.term == self.number
    }

    /// Returns the event together with all others that are queued. The leader iterates over all members once per step
    /// instead of once per event, so a burst of heartbeats does not overload it.
    fn collect_events(&mut self, first: Event, calls: &mut mpsc::Receiver<Call>) -> Vec<Event> {
        let mut events = vec![first];
        while events.len() < MAX_EVENTS_PER_STEP {
            match (calls.try_recv(), self.tasks.try_join_next()) {
                (Err(_), None) => break,
                (call, result) => {
                    events.extend(call.ok().map(Event::Call));
                    events.extend(result.map(|result| Event::Input(Box::new(task_input(result)))));
                }
            }
        }
        events
    }

    fn handle_events(&mut self, events: Vec<Event>) {
        let mut leader_inputs = Vec::with_capacity(events.len());
        let mut tally_inputs = Vec::new();
        for event in events {
            match event {
                Event::Input(input) => match *input {
                    Input::WriteResult { command: Command::Verdict(command), outcome } => {
                        log_verdict(&command, outcome.as_ref());
                        tally_inputs.push(tally::Input::WriteResult { command, outcome });
                    }
                    Input::Applied => {
                        tally_inputs.push(tally::Input::Applied);
                        leader_inputs.push(Input::Applied);
                    }
                    Input::Tick => {
                        tally_inputs.push(tally::Input::Tick);
                        leader_inputs.push(Input::Tick);
                    }
                    input => leader_inputs.push(input),
                },
                // The caller may have gone.
                Event::Call(Call::Nodes(sender)) => drop(sender.send(self.nodes_view())),
                Event::Call(Call::Votes(sender)) => drop(sender.send(self.tally_view())),
                Event::Call(Call::Heartbeat(mut heartbeat, sender)) => {
                    self.last_token += 1;
                    let verdicts_version = heartbeat
                        .vote_report
                        .as_ref()
                        .map(|_| heartbeat.verdicts_version.unwrap_or_default());
                    self.pending_replies.insert(self.last_token, PendingReply { sender, verdicts_version });
                    let (process, echoed_stamp) = (heartbeat.process.clone(), heartbeat.echoed_stamp);
                    let report = heartbeat.vote_report.take();
                    tally_inputs.push(tally::Input::Heartbeat { process, echoed_stamp, report });
                    leader_inputs.push(Input::Heartbeat { token: self.last_token, heartbeat: *heartbeat });
                }
            }
        }
        let (now, stamp_term) = (self.now(), self.stamp_term);
        let (leader, tally, last_reports, pending_replies) =
            (&mut self.leader, &mut self.tally, &mut self.last_reports, &self.pending_replies);
        let (effects, verdict_commands) = self.replica.read(|state, _| {
            let votes_enabled = state.policy_state().policy().0.contains_key("Votes");
            *tally = tally.take().filter(|_| votes_enabled);
            let verdict_commands = match votes_enabled {
                true => tally.get_or_insert_with(|| Tally::new(stamp_term, now)).handle_all(
                    now,
                    tally_inputs,
                    state,
                ),
                false => Vec::new(),
            };
            let is_member = |process: &Process| state.roster().member(process).is_some();
            for input in &leader_inputs {
                match input {
                    Input::Heartbeat { heartbeat, .. } if is_member(&heartbeat.process) => {
                        let report = (heartbeat.active_epoch, heartbeat.stage_reply.clone());
                        last_reports.insert(heartbeat.process.clone(), report);
                    }
                    Input::Applied => last_reports.retain(|process, _| is_member(process)),
                    _ => {}
                }
            }
            let mut effects = leader.handle_all(now, leader_inputs, state);
            if let Some(tally) = tally {
                for effect in &mut effects {
                    let Effect::Reply { token, reply } = effect else { continue };
                    let pending = pending_replies.get(token);
                    let Some(known) = pending.and_then(|pending| pending.verdicts_version) else {
                        continue;
                    };
                    reply.queried_servers = tally.queried_servers().to_vec();
                    // Any other version, not only a newer one: a group that was restored counts from a lower one.
                    if known != state.verdicts().version() {
                        reply.verdicts = Some(state.verdicts().in_force());
                    }
                }
            }
            (effects, verdict_commands)
        });
        for command in verdict_commands {
            self.carry_out(now, Effect::Write(Command::Verdict(command)));
        }
        for effect in effects {
            self.carry_out(now, effect);
        }
    }

    fn carry_out(&mut self, now: Millis, effect: Effect) {
        let replica = self.replica.clone();
        match effect {
            Effect::Reply { token, reply } => self.reply(token, Ok(*reply)),
            Effect::Refuse { token, reason } => self.reply(token, Err(reason)),
            Effect::Write(command) => {
                let term = self.number;
                self.tasks.spawn(async move {
                    // A decision of this term is void in the log of another one.
                    let written = replica.write_in_term(term, command.clone()).await;
                    let outcome = written.map(|(_, outcome)| outcome);
                    if let Err(error) = &outcome {
                        tracing::debug!(%error, ?command, "a write of the leader failed");
                    }
                    Input::WriteResult { command, outcome: outcome.ok() }
                });
            }
            Effect::ConfirmLeadership => {
                let term = self.number;
                self.tasks.spawn(async move {
                    let confirmed = replica.confirm_leadership().await.is_ok();
                    // `leading` is updated by a task and may lag; the status is the consensus core's own. A replica
                    // that was deposed and re-elected would otherwise confirm its next term.
                    let status = replica.status();
                    if confirmed && (status.role.as_str(), status.term) == ("leader", term) {
                        Input::Confirmed { requested_at: now }
                    } else {
                        Input::ConfirmFailed { requested_at: now }
                    }
                });
            }
            Effect::Probe { process, liveness_addr } => {
                self.tasks.spawn(async move {
                    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(liveness_addr)).await;
                    let refused = matches!(
                        connected,
                        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused
                    );
                    Input::ProbeResult { process, refused }
                });
            }
        }
    }

    fn reply(&mut self, token: u64, result: Result<HeartbeatReply, Refusal>) {
        if let Some(pending) = self.pending_replies.remove(&token) {
            // The caller may have gone.
            let _ = pending.sender.send(result);
        }
    }

    fn tally_view(&self) -> Option<TallyView> {
        let now = self.now();
        let tally = self.tally.as_ref()?;
        Some(self.replica.read(|state, _| tally.view(now, state)))
    }

    fn nodes_view(&self) -> NodesView {
        let now = self.now();
        let silence: BTreeMap<&Process, Millis> = self.leader.silence_by_member(now).collect();
        self.replica.read(|state, version| {
            let change = state.policy_state().pending_change().map(|change| change.id);
            let nodes = state.roster().members().map(|(process, entry)| {
                let silence_ms = silence.get(process).copied().unwrap_or_default();
                let (active_epoch, stage_reply) = self.last_reports.get(process).cloned().unwrap_or_default();
                let (staged, refusal) = match stage_reply {
                    Some(StageReply::Staged { change: about, .. }) => (change == Some(about), None),
                    Some(StageReply::Refused { change: about, reason }) if change == Some(about) => {
                        (false, Some(reason))
                    }
                    _ => (false, None),
                };
                NodeView {
                    name: process.name.clone(),
                    boot: process.boot,
                    liveness_addr: entry.liveness_addr,
                    fenced: entry.fenced,
                    silence_ms: silence_ms.round(),
                    silent: silence_ms >= self.session_timeout_ms,
                    active_epoch,
                    staged,
                    refusal,
                }
            });
            NodesView {
                version,
                term: self.number,
                epoch: state.policy_state().epoch(),
                change: change.map(|change| change.0),
                nodes: nodes.collect(),
            }
        })
    }
}

/// Logs one line for each server that is removed, probed or returned, with the votes.
fn log_verdict(command: &VerdictCommand, outcome: Option<&Outcome>) {
    let to_json = |result: &VoteResult| serde_json::to_string(result).unwrap_or_default();
    match (command, outcome) {
        (VerdictCommand::Remove { server, zone, zones, vote_result, .. }, Some(Outcome::Done)) => {
            tracing::info!(server, zone, ?zones, votes = to_json(vote_result), "removed by votes");
        }
        (VerdictCommand::Remove { server, zone, up_servers, .. }, Some(Outcome::CapReached)) => {
            tracing::info!(server, zone, up = up_servers, "not removed by votes: the zone's cap is reached");
        }
        (VerdictCommand::Probe { server, probers, .. }, Some(Outcome::Done)) => {
            tracing::info!(server, ?probers, "removed by votes, its term has ended: probed");
        }
        (VerdictCommand::Extend { server, vote_result, .. }, Some(Outcome::Done)) => {
            tracing::info!(server, votes = to_json(vote_result), "stays removed by votes for another term");
        }
        (VerdictCommand::Return { server, reason, vote_result, .. }, Some(Outcome::Done)) => {
            let votes = vote_result.as_ref().map(to_json).unwrap_or_default();
            tracing::info!(server, ?reason, votes, "back, no longer removed by votes");
        }
        _ => {}
    }
}

fn to_millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1000.0
}
