//! The state machine of one node process: its session with the leader, and policy changes. It does no I/O: it takes times
//! and messages, and returns the effects that the caller must carry out.
//!
//! Goal: a node admits a request under an epoch only while it is allowed to, even if it is partitioned, paused or
//! restarted. Design: [`Member::admit`] is called at each admission with the current time, so that a process that was
//! paused finds its promise or lease expired before it admits anything.
//!
//! Why each deadline is safe:
//! - *Promise.* It runs from the end of the check, before any heartbeat announces it, and is extended only by a reply
//!   that shows the change as still pending, counted from when the answered heartbeat was sent. A reply shows the state
//!   that it contains or, with [`AgreedUpdate::Unchanged`], the state that was known when that heartbeat was sent and
//!   that both of them name. The leader confirmed after receiving that heartbeat that it still led, so no commit had
//!   been written when the heartbeat was sent: at a commit at time `T`, every promise ends by `T + promise_ms`. After
//!   its promise the member is in doubt, and admits nothing, until it learns the outcome of the change.
//! - *Lease.* It runs from when the heartbeat was sent; the leader counts it from its reply, which is later.
//! - *Join.* Nothing is admitted before the first reply (except with [`StartMode::UseSaved`], see below), and that comes
//!   only once the process is in the roster, so every process that admits requests is one that a commit must count. A
//!   restarted process has lost its promise, and with it
//!   the right to admit requests: it joins as a new process and is asked to stage the change again.
//! - *Order.* An agreed state is applied only if it is newer (by version) than the known one. If the reply to a
//!   heartbeat shows an older version than the one known when that heartbeat was sent, the group has lost state that it
//!   had acknowledged.
//!
//! Epochs only grow. If the group's epoch is older than the active one (the group was restored from an old backup), the
//! member keeps its own, reports this to the operator, and names its epoch in its heartbeats. The group then never
//! reassigns the number of an epoch that a member has known, and the next change brings all members forward. In a fenced fleet the member has no
//! lease until then.
//!
//! [`StartMode::UseSaved`] trades the bound on mixed policies for service without a control group: a process that has
//! not joined yet serves by an epoch that may be outdated, until it reaches a leader. A fenced fleet's node does not.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AgreedState, AgreedUpdate, Change, ChangeId, Epoch, Heartbeat, HeartbeatReply, Millis, Policy, Process,
    StageReply, Stamp, StateId,
};

/// The heartbeat interval before a leader has set one, in milliseconds.
const DEFAULT_HEARTBEAT_INTERVAL_MS: Millis = 250.0;
/// The maximum length of the reason of a refusal, in bytes.
const MAX_REASON_BYTES: usize = 256;

/// How a process gets its first epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StartMode {
    /// It admits nothing until a leader has answered.
    Wait,
    /// If no leader has answered `after_ms` after the start, it serves by the saved epoch.
    UseSaved {
        /// How long it waits for a leader first.
        after_ms: Millis,
    },
}

/// The configuration of a [`Member`].
#[derive(Clone, Debug, PartialEq)]
pub struct MemberConfig {
    /// The identity of this process.
    pub process: Process,
    /// The address that this process listens on until it exits.
    pub liveness_addr: SocketAddr,
    /// An older process of this node remains a member next to this one.
    pub coexists_with_previous: bool,
    /// How the process gets its first epoch.
    pub start_mode: StartMode,
}

/// What a node stores on disk for [`StartMode::UseSaved`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SavedEpoch {
    /// The last active epoch.
    pub epoch: Epoch,
    /// Its policy.
    pub policy: Policy,
    /// The fleet was fenced: nothing is admitted without a lease, whatever the [`StartMode`].
    #[serde(default)]
    pub fenced: bool,
}

/// What the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Check whether this node can apply the change, and report the result by [`Member::on_check_result`].
    Check(Change),
    /// Apply this policy to requests from now on.
    Activate {
        /// Its epoch.
        epoch: Epoch,
        /// The policy.
        policy: Policy,
    },
    /// Store this on disk, replacing what was stored before.
    Save(SavedEpoch),
    /// The change was aborted: whatever was prepared for it can be dropped.
    Discard(ChangeId),
    /// Send the next heartbeat immediately.
    SendHeartbeat,
    /// Log one line for the operator.
    NotifyOperator(String),
}

/// Why no new request is admitted.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AdmissionError {
    /// The process has no active epoch yet.
    NoEpoch,
    /// The promise about a change has expired, and its outcome is unknown.
    InDoubt,
    /// The fleet is fenced and the lease has expired.
    NoLease,
    /// The session has ended: the leader's reply said that this process is no longer in the roster. Another process of
    /// this node has replaced it, operators have removed it, or its own leave is confirmed.
    Superseded,
    /// The process is closing its session.
    Leaving,
}

impl AdmissionError {
    /// Returns a short description for clients and the log.
    pub fn description(self) -> &'static str {
        match self {
            Self::NoEpoch => "no agreed policy known yet",
            Self::InDoubt => "a change of policy is in doubt",
            Self::NoLease => "no lease from the control group",
            Self::Superseded => "superseded by another process of this node",
            Self::Leaving => "leaving the fleet",
        }
    }
}

/// How far this process has got with staging the pending change.
#[derive(Clone, Debug, PartialEq)]
enum StageStatus {
    Checking,
    Staged { until: Millis },
    Refused { reason: String },
}

/// The parts of an agreed state that replies are checked against.
#[derive(Clone, Copy, Debug, PartialEq)]
struct StateSummary {
    id: StateId,
    epoch: Epoch,
    change: Option<ChangeId>,
}

impl StateSummary {
    fn of(agreed: &AgreedState) -> Self {
        let change = agreed.change.as_ref().map(|change| change.id);
        Self { id: agreed.state_id(), epoch: agreed.epoch, change }
    }
}

/// The state machine of one node process; see the module's documentation.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    config: MemberConfig,
    /// The last [`Effect::Save`], or what the disk contained at the start. Once an agreed epoch is active, it is that one.
    saved: Option<SavedEpoch>,
    started_at: Millis,
    /// The process has received a reply, so it has been in the roster.
    joined: bool,
    /// A reply said that the process is no longer in the roster.
    session_ended: bool,
    /// [`Member::leave`] was called.
    leaving: bool,
    /// The epoch that requests are admitted under.
    active_epoch: Option<Epoch>,
    /// The newest agreed state that was applied.
    state: Option<StateSummary>,
    /// The value of `state` when the newest heartbeat was sent.
    state_at_heartbeat: Option<StateSummary>,
    /// The pending change, and how far this process has got with it.
    change: Option<(Change, StageStatus)>,
    /// When the newest heartbeat was sent.
    heartbeat_at: Millis,
    /// The newest stamp received from any leader, which heartbeats echo.
    newest_stamp: Option<Stamp>,
    /// A reply said that this process is fenced: without a lease it admits nothing. Never reset.
    fenced: bool,
    /// When the lease expires.
    lease_until: Option<Millis>,
    /// How long a promise lasts, from the last reply; 0 before the first reply.
    promise_ms: Millis,
    next_heartbeat_at: Millis,
    /// The stage reply or `leaving` has changed since the newest heartbeat was created.
    heartbeat_outdated: bool,
    /// The operator was notified that the group's epoch is older than the active one.
    older_epoch_reported: bool,
}

impl Member {
    /// Creates the member for a process that starts at `now`; `saved` is what the last
    /// [`Effect::Save`] has stored on the node's disk.
    pub fn new(config: MemberConfig, saved: Option<SavedEpoch>, now: Millis) -> Self {
        Self {
            config,
            saved,
            started_at: now,
            joined: false,
            session_ended: false,
            leaving: false,
            active_epoch: None,
            state: None,
            state_at_heartbeat: None,
            change: None,
            heartbeat_at: now,
            newest_stamp: None,
            fenced: false,
            lease_until: None,
            promise_ms: 0.0,
            next_heartbeat_at: now,
            heartbeat_outdated: false,
            older_epoch_reported: false,
        }
    }

    /// Returns the heartbeat to send at `now`. At most one may be in flight; the caller applies its own timeout.
    pub fn heartbeat(&mut self, now: Millis) -> Heartbeat {
        self.heartbeat_at = now;
        self.state_at_heartbeat = self.state;
        self.next_heartbeat_at = now + DEFAULT_HEARTBEAT_INTERVAL_MS;
        self.heartbeat_outdated = false;
        Heartbeat {
            process: self.config.process.clone(),
            liveness_addr: self.config.liveness_addr,
            coexists_with_previous: self.config.coexists_with_previous,
            echoed_stamp: self.newest_stamp,
            active_epoch: self.active_epoch,
            known_state: self.state.map(|state| state.id),
            stage_reply: self.change.as_ref().and_then(|(change, status)| match status {
                StageStatus::Checking => None,
                StageStatus::Staged { until } => {
                    Some(StageReply::Staged { change: change.id, remaining_ms: (until - now).max(0.0) })
                }
                StageStatus::Refused { reason } => {
                    Some(StageReply::Refused { change: change.id, reason: reason.clone() })
                }
            }),
            leaving: self.leaving,
            vote_report: None,
            verdicts_version: None,
        }
    }

    /// Returns when the next heartbeat is due. While the last one has no reply, that is `DEFAULT_HEARTBEAT_INTERVAL_MS`
    /// after it was created, or earlier if the next one has something new to report.
    pub fn next_heartbeat_at(&self) -> Millis {
        self.next_heartbeat_at
    }

    /// Returns when [`Member::on_timer`] is due, if at all.
    pub fn timer_due_at(&self) -> Option<Millis> {
        match (self.config.start_mode, &self.saved) {
            (StartMode::UseSaved { after_ms }, Some(saved))
                if !self.joined && self.active_epoch.is_none() =>
            {
                (!saved.fenced && !self.leaving).then_some(self.started_at + after_ms)
            }
            _ => None,
        }
    }

    /// Handles the passage of time: with [`StartMode::UseSaved`], activates the saved epoch once it is due.
    pub fn on_timer(&mut self, now: Millis) -> Vec<Effect> {
        if !self.timer_due_at().is_some_and(|at| now >= at) {
            return Vec::new();
        }
        let Some(SavedEpoch { epoch, policy, .. }) = self.saved.clone() else { return Vec::new() };
        self.active_epoch = Some(epoch);
        let message = format!(
            "no leader of the control group has answered: serving by the saved epoch {epoch}, which may be outdated; \
             check that the replicas run and can be reached"
        );
        vec![Effect::Activate { epoch, policy }, Effect::NotifyOperator(message)]
    }

    /// Handles the leader's reply to the heartbeat that was created at `sent_at`.
    pub fn on_reply(&mut self, sent_at: Millis, reply: HeartbeatReply, now: Millis) -> Vec<Effect> {
        if self.session_ended {
            return Vec::new();
        }
        if reply.superseded {
            self.session_ended = true;
            if self.leaving {
                return Vec::new();
            }
            return vec![Effect::NotifyOperator(
                "superseded: another process of this node has joined, or operators removed this one; no new requests \
                 are admitted. If two nodes have the same name, rename one; then restart this node"
                    .to_owned(),
            )];
        }
        let is_at_least_as_new =
            |known: Stamp| (known.term, known.time) >= (reply.stamp.term, reply.stamp.time);
        if !self.newest_stamp.is_some_and(is_at_least_as_new) {
            self.newest_stamp = Some(reply.stamp);
        }
        self.joined = true;
        self.promise_ms = reply.promise_ms;
        self.next_heartbeat_at =
            if self.heartbeat_outdated { now } else { now + reply.heartbeat_interval_ms };
        let mut effects = Vec::new();
        self.fenced |= reply.fenced;
        let proven = match reply.update {
            AgreedUpdate::Changed(agreed) => {
                let proven = StateSummary::of(&agreed);
                if let Some(message) = self.lost_state_message(sent_at, &agreed) {
                    effects.push(Effect::NotifyOperator(message));
                    self.state = None;
                }
                self.apply(agreed, now, &mut effects);
                Some(proven)
            }
            // For any other ID, the state's epoch and change are not known here.
            AgreedUpdate::Unchanged(id) => self.state_at_heartbeat.filter(|state| state.id == id),
        };
        let Some(StateSummary { epoch, change: pending, .. }) = proven else { return effects };
        if let Some((change, StageStatus::Staged { until })) = &mut self.change {
            if pending == Some(change.id) {
                *until = until.max(sent_at + reply.promise_ms);
            }
        }
        if let Some(lease_ms) = reply.lease_ms.filter(|_| self.active_epoch == Some(epoch)) {
            let until = sent_at + lease_ms;
            self.lease_until = Some(self.lease_until.map_or(until, |lease| lease.max(until)));
        }
        effects
    }

    /// Returns a message for the operator if the reply to the heartbeat sent at `sent_at` shows an older state than was
    /// known then.
    fn lost_state_message(&self, sent_at: Millis, agreed: &AgreedState) -> Option<String> {
        let known = self.state_at_heartbeat.filter(|_| sent_at == self.heartbeat_at)?.id.version;
        (agreed.version < known).then(|| {
            format!(
                "the control group is at version {} and was at {known} before: it has lost state that it had \
                 acknowledged (restored from a backup?); propose the policy again",
                agreed.version
            )
        })
    }

    /// Handles an agreed state from a replica's watch. It may contain the outcome of a change whose promise has expired, but
    /// it never extends a promise or a lease.
    pub fn on_agreed_state(&mut self, agreed: AgreedState, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.session_ended {
            return effects;
        }
        if self.joined {
            self.apply(agreed, now, &mut effects);
        } else if self.active_epoch.is_some_and(|active| agreed.epoch > active) {
            // Serving by the saved epoch: move forward only. A pending change comes with the first reply.
            self.activate(agreed.epoch, agreed.policy, &mut effects);
        }
        effects
    }

    /// Handles the result of checking a change: the reason, if this node cannot apply it.
    pub fn on_check_result(
        &mut self,
        change: ChangeId,
        result: Result<(), String>,
        now: Millis,
    ) -> Vec<Effect> {
        match &mut self.change {
            Some((pending, status)) if pending.id == change && *status == StageStatus::Checking => {
                *status = match result {
                    Ok(()) => StageStatus::Staged { until: now + self.promise_ms },
                    Err(reason) => StageStatus::Refused { reason: truncate_reason(&reason) },
                };
                self.schedule_heartbeat(now);
                vec![Effect::SendHeartbeat]
            }
            _ => Vec::new(),
        }
    }

    /// Returns the epoch under which a request may be admitted at `now`.
    ///
    /// # Errors
    /// Why no request may be admitted.
    pub fn admit(&self, now: Millis) -> Result<Epoch, AdmissionError> {
        if self.session_ended {
            return Err(AdmissionError::Superseded);
        }
        if self.leaving {
            return Err(AdmissionError::Leaving);
        }
        let active = self.active_epoch.ok_or(AdmissionError::NoEpoch)?;
        if matches!(&self.change, Some((_, StageStatus::Staged { until })) if now >= *until) {
            return Err(AdmissionError::InDoubt);
        }
        if self.fenced && !self.lease_until.is_some_and(|until| now < until) {
            return Err(AdmissionError::NoLease);
        }
        Ok(active)
    }

    /// Closes the session, as the process is exiting and has no open requests. Nothing is admitted from now on, and the next
    /// heartbeats report it to the leader.
    pub fn leave(&mut self, now: Millis) -> Vec<Effect> {
        self.leaving = true;
        self.schedule_heartbeat(now);
        vec![Effect::SendHeartbeat]
    }

    /// Returns the epoch whose policy applies to requests.
    pub fn active_epoch(&self) -> Option<Epoch> {
        self.active_epoch
    }

    /// Returns whether this process has received a reply from a leader.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Returns whether a reply has said that this process is no longer in the roster: another process of this node has
    /// replaced it, operators have removed it, or its own leave is confirmed.
    pub fn is_session_ended(&self) -> bool {
        self.session_ended
    }

    /// Returns the change that this process is checking, has staged or has refused.
    pub fn pending_change(&self) -> Option<ChangeId> {
        self.change.as_ref().map(|(change, _)| change.id)
    }

    /// Applies an agreed state if it is newer than the known one.
    fn apply(&mut self, agreed: AgreedState, now: Millis, effects: &mut Vec<Effect>) {
        if self.state.is_some_and(|state| agreed.version < state.id.version) {
            return;
        }
        self.state = Some(StateSummary::of(&agreed));
        let pending = agreed.change.as_ref().map(|change| change.id);
        match &self.change {
            Some((change, _)) if pending != Some(change.id) && agreed.version >= change.id.0 => {
                if agreed.epoch != change.epoch {
                    effects.push(Effect::Discard(change.id));
                }
                self.change = None;
            }
            _ => {}
        }
        match self.active_epoch {
            Some(active) if agreed.epoch < active => {
                if !std::mem::replace(&mut self.older_epoch_reported, true) {
                    effects.push(Effect::NotifyOperator(format!(
                        "the control group's epoch {} is older than this node's {active}: the node keeps its own; \
                         propose the policy again, it will get a number above {active}",
                        agreed.epoch
                    )));
                }
            }
            _ => self.activate(agreed.epoch, agreed.policy, effects),
        }
        if let Some(change) = agreed.change.filter(|_| self.change.is_none() && !self.leaving) {
            if self.active_epoch.is_some_and(|active| change.epoch <= active) {
                let reason = format!("its epoch {} is not past this node's own", change.epoch);
                self.change = Some((change, StageStatus::Refused { reason }));
                self.schedule_heartbeat(now);
                effects.push(Effect::SendHeartbeat);
            } else {
                self.change = Some((change.clone(), StageStatus::Checking));
                effects.push(Effect::Check(change));
            }
        }
    }

    /// Makes a heartbeat due at `now`. If one is in flight, the next one is due as soon as that one is answered.
    fn schedule_heartbeat(&mut self, now: Millis) {
        self.heartbeat_outdated = true;
        self.next_heartbeat_at = now;
    }

    /// Activates and saves an agreed epoch, unless that is done already.
    fn activate(&mut self, epoch: Epoch, policy: Policy, effects: &mut Vec<Effect>) {
        let saved = self.saved.as_ref().filter(|saved| saved.epoch == epoch && saved.policy == policy);
        if self.active_epoch != Some(epoch) || saved.is_none() {
            effects.push(Effect::Activate { epoch, policy: policy.clone() });
        }
        if saved.is_none_or(|saved| saved.fenced != self.fenced) {
            let saved = SavedEpoch { epoch, policy, fenced: self.fenced };
            self.saved = Some(saved.clone());
            effects.push(Effect::Save(saved));
        }
        self.active_epoch = Some(epoch);
    }
}

/// Returns the first line of a reason, truncated to [`MAX_REASON_BYTES`].
fn truncate_reason(reason: &str) -> String {
    let line = reason.lines().next().unwrap_or_default();
    let end = (0..=line.len().min(MAX_REASON_BYTES)).rev().find(|&at| line.is_char_boundary(at)).unwrap_or(0);
    line[..end].to_owned()
}
