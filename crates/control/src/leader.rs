//! The leader's state that is not in the log: sessions, promises and leases, measured by its own monotonic clock. It does
//! no I/O: it takes times and inputs, and returns what to write, reply and probe.
//!
//! Goal: the log says who is a member and what the pending change is. Whether all members have promised, and whether
//! silent ones have stopped, depends on time on one process's clock. Design: a [`Leader`] lives for one term. The next
//! one starts from the log alone and measures all durations anew, because members repeat what they have staged.
//!
//! Why each deadline is safe:
//! - *Promise.* A member's `remaining_ms` counts from when it sent the heartbeat, which is after it received the stamp
//!   that the heartbeat echoes. So `stamp + remaining_ms * (1 - MAX_CLOCK_DRIFT)` is no later than the promise's end. A
//!   late or duplicated heartbeat makes it no later, and one out of order changes nothing, because the latest end counts:
//!   promises about one change are only extended. Stamps of another term count for nothing. A commit is decided only
//!   while each promise has `commit_reserve_ms` left.
//! - *Lease.* A member counts it from when it sent the heartbeat, the leader from its reply, which is later; with
//!   `* (1 + MAX_CLOCK_DRIFT)` it expires on the member first. A new leader counts from its own start: any earlier
//!   leader confirmed its leadership after receiving the heartbeat, and so before this one was elected.
//! - *Replies.* Each is sent only after a confirmation of leadership that started after the heartbeat was received, so a
//!   leader that was deposed without knowing it extends no promise, and grants no lease that its successor does not
//!   count. The agreed state is sent in full unless the heartbeat names exactly that state;
//!   [`AgreedUpdate::Unchanged`] then proves as much.
//! - *Commit in flight.* From the decision until the outcome is known, no fenced member that the commit counts on gets a
//!   lease; if the write's outcome stays unknown, not until the change ends. Replies go on extending promises, because
//!   those are counted from before the commit.
//! - *Joins.* A new process gets a reply once it is in the roster. It learns of a commit written before its join from its
//!   first reply; a commit written after the join must count it, and is void if it does not: the leader then goes on
//!   waiting.
//! - *Two processes with one name.* A new process with `coexists_with_previous` is a member next to the older one until
//!   the older one closes its session, or is found to have ended. Any other waits until the older one has provably exited (its address refuses
//!   connections), or has been silent for a session timeout and has no lease; as long as it is alive the new one is
//!   refused. The leader cannot detect an older process that is alive, partitioned and not fenced: operators
//!   (or whoever assigns names) must prevent that.
//!
//! A refused connection counts as proof that a process has exited; firewalls in between must drop, not refuse.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use member::{
    AbortReason, AgreedUpdate, ChangeId, Epoch, Heartbeat, HeartbeatReply, Millis, Process, StageReply,
    Stamp, StateId, MAX_CLOCK_DRIFT,
};
use serde::{Deserialize, Serialize};

use crate::command::{Command, Outcome, PolicyCommand, Proof, RosterCommand};
use crate::machine::FleetState;
use crate::policy::{MAX_EPOCH, MAX_NAMED_MEMBERS};
use crate::roster::{MAX_MEMBERS, MAX_NODE_NAME_BYTES};

/// What happens to a change if members are unreachable.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnreachableAction {
    /// It is aborted: nodes go on serving under the old policy, even without the control group.
    #[default]
    Abort,
    /// It is committed once their leases have expired: nodes admit nothing while they cannot reach the group.
    Fence,
}

/// A leader's settings. All replicas of a group should have the same.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaderSettings {
    /// What happens to a change if members are unreachable. Applies to processes that join from now on.
    #[serde(rename = "unreachable")]
    pub unreachable_action: UnreachableAction,
    /// The delay from a reply to the member's next heartbeat.
    #[serde(rename = "beat_ms")]
    pub heartbeat_interval_ms: Millis,
    /// How long a member may be silent before its address is probed and a new process of its name is accepted.
    #[serde(rename = "session_ms")]
    pub session_timeout_ms: Millis,
    /// How long members have to stage a change.
    #[serde(rename = "stage_ms")]
    pub stage_timeout_ms: Millis,
    /// How long a promise lasts: the maximum time that two policies can be in service at once.
    pub promise_ms: Millis,
    /// How long a lease lasts.
    pub lease_ms: Millis,
    /// The minimum time left of every promise when a commit is decided: the time that its write may take.
    #[serde(rename = "reserve_ms")]
    pub commit_reserve_ms: Millis,
}

impl Default for LeaderSettings {
    fn default() -> Self {
        Self {
            unreachable_action: UnreachableAction::Abort,
            heartbeat_interval_ms: 250.0,
            session_timeout_ms: 4000.0,
            stage_timeout_ms: 2000.0,
            promise_ms: 3000.0,
            lease_ms: 3000.0,
            commit_reserve_ms: 200.0,
        }
    }
}

/// A duration of the settings is out of its range; all are in milliseconds.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field} = {value} must be at least {minimum} ms ({reason}) and at most {MAX_DURATION_MS} ms")]
pub struct LeaderSettingsError {
    field: &'static str,
    value: Millis,
    minimum: Millis,
    reason: &'static str,
}

/// The maximum of every duration in the settings, in milliseconds.
const MAX_DURATION_MS: Millis = 600_000.0;

impl LeaderSettings {
    /// Checks that the durations are in range and consistent with each other.
    ///
    /// # Errors
    /// Names the first invalid one.
    pub fn check(&self) -> Result<(), LeaderSettingsError> {
        let two_heartbeats = 2.0 * self.heartbeat_interval_ms;
        let lease_with_drift = self.lease_ms * (1.0 + 2.0 * MAX_CLOCK_DRIFT);
        let rules = [
            ("beat_ms", self.heartbeat_interval_ms, 1.0, "the minimum heartbeat interval"),
            ("reserve_ms", self.commit_reserve_ms, 1.0, "the minimum time for a write"),
            ("stage_ms", self.stage_timeout_ms, two_heartbeats, "2 beat_ms"),
            (
                "promise_ms",
                self.promise_ms,
                (two_heartbeats + self.commit_reserve_ms) / (1.0 - MAX_CLOCK_DRIFT),
                "2 beat_ms + reserve_ms, and clock drift",
            ),
            ("lease_ms", self.lease_ms, two_heartbeats, "2 beat_ms"),
            (
                "session_ms",
                self.session_timeout_ms,
                lease_with_drift.max(two_heartbeats),
                "lease_ms and clock drift, or 2 beat_ms",
            ),
        ];
        for (field, value, minimum, reason) in rules {
            if !(value >= minimum && value <= MAX_DURATION_MS) {
                return Err(LeaderSettingsError { field, value, minimum, reason });
            }
        }
        Ok(())
    }
}

/// An event that the leader handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A heartbeat was received.
    Heartbeat {
        /// Identifies the heartbeat for the reply; the caller never reuses one.
        token: u64,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// The confirmation that was requested at `requested_at` has succeeded: after that time this replica still led *in this
    /// term*, and the fleet state passed with this input contains everything that was committed by then.
    Confirmed {
        /// The time of the call that returned [`Effect::ConfirmLeadership`].
        requested_at: Millis,
    },
    /// The confirmation that was requested at `requested_at` has failed. If the term has ended, the caller drops this
    /// leader instead.
    ConfirmFailed {
        /// The time of the call that returned [`Effect::ConfirmLeadership`].
        requested_at: Millis,
    },
    /// The fleet state has changed.
    Applied,
    /// The result of an [`Effect::Probe`].
    ProbeResult {
        /// The process that was probed.
        process: Process,
        /// The connection was refused. Any other result (connected, reset, timed out) proves nothing.
        refused: bool,
    },
    /// The result of an [`Effect::Write`]. There is one for each; if there is an outcome, the fleet state already
    /// contains it.
    WriteResult {
        /// The command.
        command: Command,
        /// Its outcome; `None` if it is unknown whether it was written.
        outcome: Option<Outcome>,
    },
    /// Time has passed.
    Tick,
}

/// What the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Reply to a heartbeat, immediately.
    Reply {
        /// The heartbeat's token.
        token: u64,
        /// The reply.
        reply: Box<HeartbeatReply>,
    },
    /// Refuse a heartbeat.
    Refuse {
        /// The heartbeat's token.
        token: u64,
        /// Why.
        reason: Refusal,
    },
    /// Write this to the log, and report the result by [`Input::WriteResult`].
    Write(Command),
    /// Confirm that this replica still leads, and report the result by [`Input::Confirmed`] or
    /// [`Input::ConfirmFailed`]. At most one is in flight.
    ConfirmLeadership,
    /// Try to connect to a process's liveness address, and report the result by [`Input::ProbeResult`].
    Probe {
        /// The process.
        process: Process,
        /// Its address.
        liveness_addr: SocketAddr,
    },
}

/// Why a heartbeat gets no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The maximum number of members is reached.
    #[error("the roster is full, or this node has too many processes: remove nodes that are gone")]
    RosterFull,
    /// Another process of this name is alive.
    #[error("another process of this name is alive: stop it, or give this node another name")]
    NameInUse,
    /// The name is invalid.
    #[error("the node's name must have 1 to {MAX_NODE_NAME_BYTES} bytes")]
    InvalidName,
    /// The heartbeat has waited for a session timeout: this replica's leadership was not confirmed, the process's join was
    /// not written, or an older process of its name has not provably ended.
    #[error(
        "no reply within the session timeout: leadership was not confirmed, or the process could not join because of an \
         older process or a failed write; try again"
    )]
    TimedOut,
    /// The same process has sent another heartbeat since.
    #[error("a newer heartbeat of this process has arrived")]
    Superseded,
}

/// What this leader knows about a member.
#[derive(Clone, Debug, PartialEq)]
struct Session {
    /// When its last heartbeat was received, or when the session started.
    last_heartbeat_at: Millis,
    /// When the last reply that may contain a lease was written, or when the session started.
    lease_granted_at: Millis,
    /// The earliest time at which its promise about the pending change ends.
    promise_until: Option<Millis>,
    /// Why it cannot apply that change.
    refusal: Option<String>,
    /// When its address was last probed.
    probed_at: Millis,
    /// When a probe last ended without a refused connection.
    alive_at: Option<Millis>,
}

/// A heartbeat that has no reply yet.
#[derive(Clone, Debug, PartialEq)]
struct PendingHeartbeat {
    token: u64,
    received_at: Millis,
    /// The first confirmation of leadership that starts after it was received: a reply requires this one or a later one.
    round: u64,
    liveness_addr: SocketAddr,
    coexists_with_previous: bool,
    active_epoch: Option<Epoch>,
    known_state: Option<StateId>,
    leaving: bool,
}

/// The pending change.
#[derive(Clone, Debug, PartialEq)]
struct Staging {
    id: ChangeId,
    /// When this leader first saw it.
    started_at: Millis,
    /// Its commit or abort is being written.
    deciding: bool,
    /// Members that get no lease, because a commit in flight counts them as fenced.
    lease_denied: BTreeSet<Process>,
}

/// The leader of one term. Created when the replica becomes leader, dropped when the term ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Leader {
    settings: LeaderSettings,
    term: u64,
    /// The version of the fleet state that `sessions` and `staging` were last updated from.
    synced_version: Option<u64>,
    /// The ID of the agreed state at that version.
    agreed_state: Option<StateId>,
    sessions: BTreeMap<Process, Session>,
    pending_heartbeats: BTreeMap<Process, PendingHeartbeat>,
    staging: Option<Staging>,
    /// Processes with a command about them in flight.
    in_flight: BTreeSet<Process>,
    /// The number of confirmations of leadership that were started.
    rounds_started: u64,
    /// The number of the last confirmation that succeeded.
    rounds_confirmed: u64,
    /// When the confirmation in flight was requested.
    confirm_requested_at: Option<Millis>,
    /// The earliest time for the next confirmation, delayed after a failure.
    next_confirm_at: Millis,
    /// The earliest time for the next join, commit or abort, delayed after a failure.
    next_write_at: Millis,
    /// The earliest time to look for silent members to probe.
    next_probe_at: Millis,
    /// The time of the last call.
    now: Millis,
}

impl Leader {
    /// Creates the leader of a term that started before `now`.
    pub fn new(settings: LeaderSettings, term: u64, now: Millis) -> Self {
        Self {
            settings,
            term,
            synced_version: None,
            agreed_state: None,
            sessions: BTreeMap::new(),
            pending_heartbeats: BTreeMap::new(),
            staging: None,
            in_flight: BTreeSet::new(),
            rounds_started: 0,
            rounds_confirmed: 0,
            confirm_requested_at: None,
            next_confirm_at: now,
            next_write_at: now,
            next_probe_at: now,
            now,
        }
    }

    /// Handles an event; `state` is the replica's fleet state at this moment.
    pub fn handle(&mut self, now: Millis, input: Input, state: &FleetState) -> Vec<Effect> {
        self.handle_all(now, [input], state)
    }

    /// Handles `inputs` in order, all at the time `now`; `state` is the replica's fleet state at this moment. Replies,
    /// decisions and probes are determined once, after the last input, because that takes time proportional to the number of
    /// members.
    pub fn handle_all(
        &mut self,
        now: Millis,
        inputs: impl IntoIterator<Item = Input>,
        state: &FleetState,
    ) -> Vec<Effect> {
        self.now = now;
        let mut effects = Vec::new();
        self.sync(now, state);
        for input in inputs {
            self.handle_input(now, input, state, &mut effects);
        }
        self.admit_waiting_processes(now, state, &mut effects);
        self.reply_to_ready(now, state, &mut effects);
        self.decide_change(now, state, &mut effects);
        self.probe_silent(now, state, &mut effects);
        if self.confirm_requested_at.is_none()
            && now >= self.next_confirm_at
            && self.pending_heartbeats.values().any(|pending| pending.round > self.rounds_confirmed)
        {
            self.rounds_started += 1;
            self.confirm_requested_at = Some(now);
            effects.push(Effect::ConfirmLeadership);
        }
        effects
    }

    fn handle_input(&mut self, now: Millis, input: Input, state: &FleetState, effects: &mut Vec<Effect>) {
        match input {
            Input::Heartbeat { token, heartbeat } => self.on_heartbeat(now, token, heartbeat, state, effects),
            Input::Confirmed { requested_at } => {
                if self.confirm_requested_at == Some(requested_at) {
                    self.confirm_requested_at = None;
                    self.rounds_confirmed = self.rounds_started;
                }
            }
            Input::ConfirmFailed { requested_at } => {
                if self.confirm_requested_at == Some(requested_at) {
                    self.confirm_requested_at = None;
                    self.next_confirm_at = now + self.retry_delay();
                }
            }
            Input::ProbeResult { process, refused } => self.on_probe_result(now, process, refused, effects),
            Input::WriteResult { command, outcome } => self.on_write_result(now, &command, outcome, effects),
            Input::Applied | Input::Tick => {}
        }
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick_at(&self) -> Option<Millis> {
        let is_busy = self.staging.is_some() || !self.pending_heartbeats.is_empty();
        Some(self.now + if is_busy { self.retry_delay() } else { self.settings.heartbeat_interval_ms })
    }

    /// Returns the members, and for how long each has been silent.
    pub fn silence_by_member(&self, now: Millis) -> impl Iterator<Item = (&Process, Millis)> {
        self.sessions.iter().map(move |(process, session)| (process, now - session.last_heartbeat_at))
    }

    /// Returns the number of members whose promise about the pending change holds at `now`.
    pub fn staged_count(&self, now: Millis) -> usize {
        self.sessions
            .values()
            .filter(|session| session.promise_until.is_some_and(|until| until > now))
            .count()
    }

    fn retry_delay(&self) -> Millis {
        self.settings.heartbeat_interval_ms / 4.0
    }

    /// Updates the sessions from the roster and the pending change from the log.
    fn sync(&mut self, now: Millis, state: &FleetState) {
        if self.synced_version == Some(state.version()) {
            return;
        }
        self.synced_version = Some(state.version());
        if self.agreed_state.map(|id| id.version) != Some(state.policy_state().version()) {
            self.agreed_state = Some(state.agreed_state().state_id());
        }
        self.sessions.retain(|process, _| state.roster().member(process).is_some());
        for (process, _) in state.roster().members() {
            if !self.sessions.contains_key(process) {
                let session = Session {
                    last_heartbeat_at: now,
                    lease_granted_at: now,
                    promise_until: None,
                    refusal: None,
                    probed_at: now - MAX_DURATION_MS,
                    alive_at: None,
                };
                self.sessions.insert(process.clone(), session);
            }
        }
        let id = state.policy_state().pending_change().map(|change| change.id);
        if self.staging.as_ref().map(|staging| staging.id) != id {
            self.staging =
                id.map(|id| Staging { id, started_at: now, deciding: false, lease_denied: BTreeSet::new() });
            for session in self.sessions.values_mut() {
                (session.promise_until, session.refusal) = (None, None);
            }
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Millis,
        token: u64,
        heartbeat: Heartbeat,
        state: &FleetState,
        effects: &mut Vec<Effect>,
    ) {
        let Heartbeat {
            process,
            liveness_addr,
            coexists_with_previous,
            echoed_stamp,
            active_epoch,
            known_state,
            stage_reply,
            leaving,
            ..
        } = heartbeat;
        if process.name.is_empty() || process.name.len() > MAX_NODE_NAME_BYTES {
            effects.push(Effect::Refuse { token, reason: Refusal::InvalidName });
            return;
        }
        if let Some(session) = self.sessions.get_mut(&process) {
            session.last_heartbeat_at = now;
            let (staging, promise_ms) = (self.staging.as_ref(), self.settings.promise_ms);
            session.on_stage_reply(now, self.term, staging, echoed_stamp, stage_reply, promise_ms);
            if leaving {
                let proof = Proof::SessionClosed;
                self.write(&process, RosterCommand::MarkEnded { process: process.clone(), proof }, effects);
            } else if active_epoch
                .is_some_and(|active| active > state.policy_state().highest_epoch() && active <= MAX_EPOCH)
            {
                // The join changes nothing for a member, but reserves its epoch.
                let join = self.join_command(&process, liveness_addr, coexists_with_previous, active_epoch);
                self.write(&process, join, effects);
            }
        } else if self.pending_heartbeats.len() >= 2 * MAX_MEMBERS {
            effects.push(Effect::Refuse { token, reason: Refusal::RosterFull });
            return;
        }
        let pending = PendingHeartbeat {
            token,
            received_at: now,
            round: self.rounds_started + 1,
            liveness_addr,
            coexists_with_previous,
            active_epoch,
            known_state,
            leaving,
        };
        if let Some(older) = self.pending_heartbeats.insert(process, pending) {
            effects.push(Effect::Refuse { token: older.token, reason: Refusal::Superseded });
        }
    }

    fn join_command(
        &self,
        process: &Process,
        liveness_addr: SocketAddr,
        coexists_with_previous: bool,
        active_epoch: Option<Epoch>,
    ) -> RosterCommand {
        let fenced = self.settings.unreachable_action == UnreachableAction::Fence;
        let process = process.clone();
        RosterCommand::Join { process, liveness_addr, coexists_with_previous, fenced, active_epoch }
    }

    /// Writes a command about a process, unless one is in flight already.
    fn write(&mut self, process: &Process, command: RosterCommand, effects: &mut Vec<Effect>) {
        if self.in_flight.insert(process.clone()) {
            effects.push(Effect::Write(Command::Roster(command)));
        }
    }

    /// Writes the joins of waiting processes that no older process of the same name blocks. Refuses heartbeats that have
    /// waited for a session timeout: their senders have gone, or will send another one.
    fn admit_waiting_processes(&mut self, now: Millis, state: &FleetState, effects: &mut Vec<Effect>) {
        let session_timeout_ms = self.settings.session_timeout_ms;
        self.pending_heartbeats.retain(|_, pending| {
            let keep = now - pending.received_at < session_timeout_ms;
            if !keep {
                effects.push(Effect::Refuse { token: pending.token, reason: Refusal::TimedOut });
            }
            keep
        });
        if now < self.next_write_at {
            return;
        }
        let roster = state.roster();
        let waiting: Vec<Process> = self
            .pending_heartbeats
            .iter()
            .filter(|(process, pending)| {
                !pending.leaving && roster.member(process).is_none() && !roster.has_left(process)
            })
            .filter(|(process, _)| !self.in_flight.contains(*process))
            .map(|(process, _)| process.clone())
            .collect();
        for process in waiting {
            let PendingHeartbeat {
                token,
                received_at,
                liveness_addr,
                coexists_with_previous,
                active_epoch,
                ..
            } = self.pending_heartbeats[&process].clone();
            let mut is_blocked = false;
            let mut is_alive = false;
            let older = roster.processes_of(&process.name).filter(|_| !coexists_with_previous);
            for (older, entry) in older.collect::<Vec<_>>() {
                let session = &self.sessions[older];
                let is_silent = now - session.last_heartbeat_at >= self.settings.session_timeout_ms;
                if is_silent && (!entry.fenced || self.is_lease_expired(now, session)) {
                    continue;
                }
                is_blocked = true;
                is_alive |= session.alive_at.is_some_and(|alive_at| alive_at >= received_at);
                let interval = self.settings.heartbeat_interval_ms;
                self.probe(now, interval, older, entry.liveness_addr, effects);
            }
            if is_alive {
                self.pending_heartbeats.remove(&process);
                effects.push(Effect::Refuse { token, reason: Refusal::NameInUse });
            } else if !is_blocked {
                let join = self.join_command(&process, liveness_addr, coexists_with_previous, active_epoch);
                self.write(&process, join, effects);
            }
        }
    }

    /// Replies to members and former members whose heartbeats were received before a successful confirmation of leadership
    /// was started.
    fn reply_to_ready(&mut self, now: Millis, state: &FleetState, effects: &mut Vec<Effect>) {
        let roster = state.roster();
        let is_ready = |process: &Process, pending: &PendingHeartbeat| {
            let is_member = roster.member(process).is_some();
            pending.round <= self.rounds_confirmed
                && if pending.leaving { !is_member } else { is_member || roster.has_left(process) }
        };
        let ready: Vec<Process> = self
            .pending_heartbeats
            .iter()
            .filter(|(process, pending)| is_ready(process, pending))
            .map(|(process, _)| process.clone())
            .collect();
        if ready.is_empty() {
            return;
        }
        let agreed = OnceCell::new();
        for process in ready {
            let PendingHeartbeat { token, known_state, .. } =
                self.pending_heartbeats.remove(&process).expect("the process was found in this map");
            let update = match known_state.filter(|_| known_state == self.agreed_state) {
                Some(id) => AgreedUpdate::Unchanged(id),
                None => AgreedUpdate::Changed(agreed.get_or_init(|| state.agreed_state()).clone()),
            };
            let entry = roster.member(&process);
            let fenced = entry.is_some_and(|entry| entry.fenced);
            let is_lease_denied =
                self.staging.as_ref().is_some_and(|staging| staging.lease_denied.contains(&process));
            if let Some(session) = self.sessions.get_mut(&process).filter(|_| fenced && !is_lease_denied) {
                session.lease_granted_at = now;
            }
            let reply = Box::new(HeartbeatReply {
                stamp: Stamp { term: self.term, time: now },
                update,
                heartbeat_interval_ms: self.settings.heartbeat_interval_ms,
                lease_ms: (fenced && !is_lease_denied).then_some(self.settings.lease_ms),
                fenced,
                promise_ms: self.settings.promise_ms,
                superseded: entry.is_none(),
                queried_servers: Vec::new(),
                verdicts: None,
            });
            effects.push(Effect::Reply { token, reply });
        }
    }

    /// Returns whether the member's lease has expired, also by the member's own clock.
    fn is_lease_expired(&self, now: Millis, session: &Session) -> bool {
        now > session.lease_granted_at + self.settings.lease_ms * (1.0 + MAX_CLOCK_DRIFT)
    }

    /// Writes the commit or abort of the pending change, if one of them is possible now.
    fn decide_change(&mut self, now: Millis, state: &FleetState, effects: &mut Vec<Effect>) {
        let Some(staging) = self.staging.as_ref().filter(|staging| !staging.deciding) else { return };
        if now < self.next_write_at {
            return;
        }
        let (change, started_at) = (staging.id, staging.started_at);
        let stage_deadline = started_at + self.settings.stage_timeout_ms;
        let fence_deadline = stage_deadline
            + self.settings.lease_ms * (1.0 + MAX_CLOCK_DRIFT)
            + self.settings.heartbeat_interval_ms;
        let may_fence = self.settings.unreachable_action == UnreachableAction::Fence;
        let mut abort_reason = None;
        let (mut staged, mut fenced, mut missing) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
        let mut waits_for_lease = false;
        for (process, entry) in state.roster().members() {
            let session = &self.sessions[process];
            if let Some(reason) = &session.refusal {
                let (node, reason) = (process.name.clone(), reason.clone());
                abort_reason = Some(AbortReason::Refused { node, reason });
                break;
            }
            if session.promise_until.is_some_and(|until| until > now + self.settings.commit_reserve_ms) {
                staged.push(process.clone());
            } else if may_fence && entry.fenced && self.is_lease_expired(now, session) {
                fenced.insert(process.clone());
            } else {
                missing.insert(process.name.clone());
                // If the member has been silent since the deadline, waits on until its lease has expired.
                waits_for_lease |= may_fence
                    && entry.fenced
                    && session.last_heartbeat_at <= stage_deadline
                    && now < fence_deadline;
            }
        }
        let command = if let Some(reason) = abort_reason {
            PolicyCommand::Abort { change, reason }
        } else if missing.is_empty() {
            if !self.in_flight.is_empty() && now < stage_deadline {
                return; // A join in flight would make the commit void, or its process would not be asked to stage.
            }
            let (staged_members, fenced_members) = (staged, fenced.iter().cloned().collect());
            PolicyCommand::Commit { change, staged_members, fenced_members }
        } else if now >= stage_deadline && !waits_for_lease {
            let nodes = missing.into_iter().take(MAX_NAMED_MEMBERS).collect();
            PolicyCommand::Abort { change, reason: AbortReason::Unresponsive { nodes } }
        } else {
            return;
        };
        let staging = self.staging.as_mut().expect("a change is pending");
        staging.deciding = true;
        if matches!(command, PolicyCommand::Commit { .. }) {
            staging.lease_denied.append(&mut fenced);
        }
        effects.push(Effect::Write(Command::Policy(command)));
    }

    fn on_write_result(
        &mut self,
        now: Millis,
        command: &Command,
        outcome: Option<Outcome>,
        effects: &mut Vec<Effect>,
    ) {
        match command {
            Command::Roster(RosterCommand::Join { process, .. }) => {
                self.in_flight.remove(process);
                if outcome == Some(Outcome::LimitExceeded) {
                    if let Some(pending) = self.pending_heartbeats.remove(process) {
                        let reason = Refusal::RosterFull;
                        effects.push(Effect::Refuse { token: pending.token, reason });
                    }
                }
                if outcome.is_none() {
                    self.next_write_at = now + self.retry_delay();
                }
            }
            Command::Roster(RosterCommand::MarkEnded { process, .. }) => {
                self.in_flight.remove(process);
            }
            Command::Roster(RosterCommand::RemoveNode { .. }) => {}
            Command::Policy(PolicyCommand::Commit { change, .. } | PolicyCommand::Abort { change, .. }) => {
                let Some(staging) = self.staging.as_mut().filter(|staging| staging.id == *change) else {
                    return;
                };
                staging.deciding = false;
                match outcome {
                    Some(Outcome::MissingMembers { .. }) => staging.lease_denied.clear(),
                    Some(_) => {}
                    None => self.next_write_at = now + self.retry_delay(),
                }
            }
            // The tally handles verdicts.
            Command::Policy(PolicyCommand::Propose { .. }) | Command::Verdict(_) => {}
        }
    }

    /// Probes the addresses of silent members, at shorter intervals if a change waits for them.
    fn probe_silent(&mut self, now: Millis, state: &FleetState, effects: &mut Vec<Effect>) {
        if now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now + self.settings.heartbeat_interval_ms / 2.0;
        let has_staged = |session: &Session| session.promise_until.is_some_and(|until| until > now);
        for (process, entry) in state.roster().members() {
            let session = &self.sessions[process];
            let is_urgent = self.staging.is_some() && !has_staged(session);
            let interval = if is_urgent {
                2.0 * self.settings.heartbeat_interval_ms
            } else {
                self.settings.session_timeout_ms
            };
            if now - session.last_heartbeat_at >= interval {
                self.probe(now, interval, process, entry.liveness_addr, effects);
            }
        }
    }

    fn probe(
        &mut self,
        now: Millis,
        interval: Millis,
        process: &Process,
        liveness_addr: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        let session = self.sessions.get_mut(process).expect("each member has a session");
        if now - session.probed_at >= interval {
            session.probed_at = now;
            effects.push(Effect::Probe { process: process.clone(), liveness_addr });
        }
    }

    fn on_probe_result(&mut self, now: Millis, process: Process, refused: bool, effects: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get_mut(&process) else { return };
        if refused {
            let proof = Proof::ConnectionRefused;
            self.write(&process, RosterCommand::MarkEnded { process: process.clone(), proof }, effects);
        } else {
            session.alive_at = Some(now);
        }
    }
}

impl Session {
    /// Records a member's answer about the pending change.
    fn on_stage_reply(
        &mut self,
        now: Millis,
        term: u64,
        staging: Option<&Staging>,
        echoed_stamp: Option<Stamp>,
        stage_reply: Option<StageReply>,
        promise_ms: Millis,
    ) {
        let is_pending = |change: ChangeId| staging.is_some_and(|staging| staging.id == change);
        match stage_reply {
            Some(StageReply::Staged { change, remaining_ms }) if is_pending(change) => {
                let is_valid = |stamp: &Stamp| stamp.term == term && stamp.time <= now;
                let Some(stamp) = echoed_stamp.filter(is_valid) else { return };
                if remaining_ms.is_nan() {
                    return;
                }
                let until = stamp.time + remaining_ms.clamp(0.0, promise_ms) * (1.0 - MAX_CLOCK_DRIFT);
                self.promise_until = Some(self.promise_until.map_or(until, |known| known.max(until)));
            }
            Some(StageReply::Refused { change, reason }) if is_pending(change) => self.refusal = Some(reason),
            _ => {}
        }
    }
}
