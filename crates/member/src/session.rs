//! The node's side of the session and of a change: pure, with times and messages in and what is to be done out.
//!
//! Need: a node takes a request under an epoch only while it may, however it is cut off, stopped or started anew.
//! Shape: [`Member::admit`] is asked at each admission with the time of that moment, so that a process that was
//! stopped finds its promise or lease over before it takes anything.
//!
//! Why each span holds:
//! - *Promise.* It runs from the check's end, before any beat tells of it, and is made longer only by an answer that
//!   shows the change still under way, counted from the sending of the beat that was answered. An answer shows what it
//!   tells, or, where it says [`AgreedUpdate::Unchanged`], what was known when that beat was sent and is named by both. The leader made sure
//!   after that beat came that it still led, so no commit had been made when the beat was sent: a commit at `T` finds
//!   each promise over by `T + promise_ms`. Past it the member is in doubt until it hears what became of the change.
//! - *Lease.* It runs from the beat's sending, and the leader counts it from its answer, which is later.
//! - *Join.* Nothing is taken before the first answer, and that comes only when the process stands in the roster:
//!   whoever takes requests is one whom a commit must count. A process started anew has lost its promise, and with it
//!   all right to take requests: it joins as somebody new and is asked anew.
//! - *Order.* What is agreed is taken only when it is newer (by version) than what is known; an answer to a beat that
//!   was sent when a newer version was known already shows that the group has lost what it had acknowledged.
//!
//! Epochs only grow. If the group's epoch is older than the active one (it was set up again from an old backup), the
//! member keeps its own, says so, and tells the group by its beats, which then gives no number again that a member
//! has known: the next change brings all of them forward. Where the fleet is fenced it has no lease meanwhile.
//!
//! [`StartMode::UseSaved`] buys service without a control group at the price of the bound: a process that has joined nobody
//! serves by an epoch that may be old by then, until it reaches a leader. A fenced fleet's node does not do so.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AgreedState, AgreedUpdate, Change, ChangeId, Epoch, Heartbeat, HeartbeatReply, Millis, Policy, Process,
    StageReply, Stamp, StateId,
};

/// How long after a beat the next one is sent while no leader has said so, in milliseconds.
const BEAT_MS: Millis = 250.0;
/// The longest words of a refusal, in bytes.
const WORDS_MOST: usize = 256;

/// How a process comes to its first epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StartMode {
    /// It takes nothing until a leader has answered.
    Wait,
    /// If no leader has answered `after_ms` after the start, it serves by the epoch that was saved.
    UseSaved {
        /// How long it tries first.
        after_ms: Millis,
    },
}

/// What a process is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberConfig {
    /// Who it is.
    pub process: Process,
    /// Where it listens as long as it lives.
    pub liveness_addr: SocketAddr,
    /// An older process of this node goes on beside it.
    pub coexists_with_previous: bool,
    /// How it comes to its first epoch.
    pub start_mode: StartMode,
}

/// What a node keeps on its disk for [`StartMode::UseSaved`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SavedEpoch {
    /// The epoch that it judged by last.
    pub epoch: Epoch,
    /// Its policy.
    pub policy: Policy,
    /// The fleet was fenced: nothing is taken without a lease, whatever [`StartMode`] says.
    #[serde(default)]
    pub fenced: bool,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// See whether this node can bear the change, and say so by [`Member::on_check_result`].
    Check(Change),
    /// From now on requests are judged by this policy.
    Activate {
        /// Its epoch.
        epoch: Epoch,
        /// The policy.
        policy: Policy,
    },
    /// Keep this on the disk in place of what was kept before.
    Save(SavedEpoch),
    /// The change takes hold nowhere: what was made ready for it can go.
    Discard(ChangeId),
    /// The next beat is due at once.
    SendHeartbeat,
    /// One line for the operator.
    NotifyOperator(String),
}

/// Why nothing new is taken.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AdmissionError {
    /// No epoch is known yet.
    NoEpoch,
    /// The promise about a change has passed, and what became of it is not known.
    InDoubt,
    /// The fleet is fenced and the lease has run out.
    NoLease,
    /// Another process has this one's place, or operators have removed it.
    Superseded,
    /// It has closed its session.
    Leaving,
}

impl AdmissionError {
    /// In a few words, for a client and for the log.
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

/// How far this process is with the change under way.
#[derive(Clone, Debug, PartialEq)]
enum Work {
    Checking,
    Staged { until: Millis },
    Refused { words: String },
}

/// A state of what is agreed, as far as answers go by it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Stand {
    known: StateId,
    epoch: Epoch,
    change: Option<ChangeId>,
}

impl Stand {
    fn of(agreed: &AgreedState) -> Self {
        let change = agreed.change.as_ref().map(|change| change.id);
        Self { known: agreed.state_id(), epoch: agreed.epoch, change }
    }
}

/// The member's state.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    config: MemberConfig,
    /// What the disk holds; of the active epoch, once there is one.
    saved: Option<SavedEpoch>,
    started: Millis,
    joined: bool,
    superseded: bool,
    leaving: bool,
    active: Option<Epoch>,
    /// The newest state that was taken, and the one known when the last beat was sent.
    stand: Option<Stand>,
    stand_at_beat: Option<Stand>,
    change: Option<(Change, Work)>,
    /// The sending of the newest beat, for which `stand_at_beat` holds.
    beat_at: Millis,
    echo: Option<Stamp>,
    fenced: bool,
    lease: Option<Millis>,
    promise_ms: Millis,
    next_beat: Millis,
    /// What the newest beat did not say yet.
    unsaid: bool,
    told_older: bool,
}

impl Member {
    /// A process that starts at `now`; `saved` is what the node's disk holds of [`Effect::Save`].
    pub fn new(config: MemberConfig, saved: Option<SavedEpoch>, now: Millis) -> Self {
        Self {
            config,
            saved,
            started: now,
            joined: false,
            superseded: false,
            leaving: false,
            active: None,
            stand: None,
            stand_at_beat: None,
            change: None,
            beat_at: now,
            echo: None,
            fenced: false,
            lease: None,
            promise_ms: 0.0,
            next_beat: now,
            unsaid: false,
            told_older: false,
        }
    }

    /// The beat to be sent right now. One is out at a time; the caller gives it up after a bound of its own.
    pub fn heartbeat(&mut self, now: Millis) -> Heartbeat {
        self.beat_at = now;
        self.stand_at_beat = self.stand;
        self.next_beat = now + BEAT_MS;
        self.unsaid = false;
        Heartbeat {
            process: self.config.process.clone(),
            liveness_addr: self.config.liveness_addr,
            coexists_with_previous: self.config.coexists_with_previous,
            echoed_stamp: self.echo,
            active_epoch: self.active,
            known_state: self.stand.map(|stand| stand.known),
            stage_reply: self.change.as_ref().and_then(|(change, work)| match work {
                Work::Checking => None,
                Work::Staged { until } => {
                    Some(StageReply::Staged { change: change.id, remaining_ms: (until - now).max(0.0) })
                }
                Work::Refused { words } => {
                    Some(StageReply::Refused { change: change.id, reason: words.clone() })
                }
            }),
            leaving: self.leaving,
            vote_report: None,
            verdicts_version: None,
        }
    }

    /// When the next beat is due. One that got no answer is followed by another at this time, too.
    pub fn next_heartbeat_at(&self) -> Millis {
        self.next_beat
    }

    /// When [`Member::on_timer`] is due, if ever.
    pub fn timer_due_at(&self) -> Option<Millis> {
        match (self.config.start_mode, &self.saved) {
            (StartMode::UseSaved { after_ms }, Some(saved)) if !self.joined && self.active.is_none() => {
                (!saved.fenced && !self.leaving).then_some(self.started + after_ms)
            }
            _ => None,
        }
    }

    /// Time has passed: with [`StartMode::UseSaved`] the saved epoch may be due.
    pub fn on_timer(&mut self, now: Millis) -> Vec<Effect> {
        if !self.timer_due_at().is_some_and(|at| now >= at) {
            return Vec::new();
        }
        let Some(SavedEpoch { epoch, policy, .. }) = self.saved.clone() else { return Vec::new() };
        self.active = Some(epoch);
        let tell = format!(
            "no leader of the control group has answered: serving by the saved epoch {epoch}, which may be old; \
             see whether the replicas run and can be reached"
        );
        vec![Effect::Activate { epoch, policy }, Effect::NotifyOperator(tell)]
    }

    /// The leader has answered the beat that was handed out at `sent`.
    pub fn on_reply(&mut self, sent: Millis, answer: HeartbeatReply, now: Millis) -> Vec<Effect> {
        if self.superseded {
            return Vec::new();
        }
        if answer.superseded {
            self.superseded = true;
            if self.leaving {
                return Vec::new();
            }
            return vec![Effect::NotifyOperator(
                "superseded: another process of this node has joined, or operators removed it; takes nothing more. \
                 If two nodes were given one name, give this one another; then start it anew"
                    .to_owned(),
            )];
        }
        let older = |echo: Stamp| (echo.term, echo.time) >= (answer.stamp.term, answer.stamp.time);
        if !self.echo.is_some_and(older) {
            self.echo = Some(answer.stamp);
        }
        self.joined = true;
        self.promise_ms = answer.promise_ms;
        self.next_beat = if self.unsaid { now } else { now + answer.heartbeat_interval_ms };
        let mut effects = Vec::new();
        self.fenced |= answer.fenced;
        let shown = match answer.update {
            AgreedUpdate::Changed(agreed) => {
                let shown = Stand::of(&agreed);
                if let Some(lost) = self.lost(sent, &agreed) {
                    effects.push(Effect::NotifyOperator(lost));
                    self.stand = None;
                }
                self.take(agreed, now, &mut effects);
                Some(shown)
            }
            // Of another state nothing is known here but its name.
            AgreedUpdate::Unchanged(known) => self.stand_at_beat.filter(|stand| stand.known == known),
        };
        let Some(Stand { epoch, change: asked, .. }) = shown else { return effects };
        if let Some((change, Work::Staged { until })) = &mut self.change {
            if asked == Some(change.id) {
                *until = until.max(sent + answer.promise_ms);
            }
        }
        if let Some(lease_ms) = answer.lease_ms.filter(|_| self.active == Some(epoch)) {
            let until = sent + lease_ms;
            self.lease = Some(self.lease.map_or(until, |lease| lease.max(until)));
        }
        effects
    }

    /// Words for the operator where the answer to the beat sent at `sent` tells of an older state than was known then.
    fn lost(&self, sent: Millis, agreed: &AgreedState) -> Option<String> {
        let before = self.stand_at_beat.filter(|_| sent == self.beat_at)?.known.version;
        (agreed.version < before).then(|| {
            format!(
                "the control group is at version {} and was at {before} before: it has lost what it had acknowledged \
                 (set up again from a backup?); propose the policy again",
                agreed.version
            )
        })
    }

    /// A replica's watch has brought news: they can end a doubt, and never make a promise or a lease longer.
    pub fn on_agreed_state(&mut self, agreed: AgreedState, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.superseded {
            return effects;
        }
        if self.joined {
            self.take(agreed, now, &mut effects);
        } else if self.active.is_some_and(|active| agreed.epoch > active) {
            // Serving by the saved epoch: forward only. What is under way comes with the first answer.
            self.activate(agreed.epoch, agreed.policy, &mut effects);
        }
        effects
    }

    /// How the check of a change ended; words if this node can't bear it.
    pub fn on_check_result(
        &mut self,
        change: ChangeId,
        result: Result<(), String>,
        now: Millis,
    ) -> Vec<Effect> {
        match &mut self.change {
            Some((asked, work)) if asked.id == change && *work == Work::Checking => {
                *work = match result {
                    Ok(()) => Work::Staged { until: now + self.promise_ms },
                    Err(words) => Work::Refused { words: cut(&words) },
                };
                self.say(now);
                vec![Effect::SendHeartbeat]
            }
            _ => Vec::new(),
        }
    }

    /// Whether a request may be taken at `now`, and under which epoch.
    ///
    /// # Errors
    /// Why not.
    pub fn admit(&self, now: Millis) -> Result<Epoch, AdmissionError> {
        if self.superseded {
            return Err(AdmissionError::Superseded);
        }
        if self.leaving {
            return Err(AdmissionError::Leaving);
        }
        let active = self.active.ok_or(AdmissionError::NoEpoch)?;
        if matches!(&self.change, Some((_, Work::Staged { until })) if now >= *until) {
            return Err(AdmissionError::InDoubt);
        }
        if self.fenced && !self.lease.is_some_and(|until| now < until) {
            return Err(AdmissionError::NoLease);
        }
        Ok(active)
    }

    /// The node ends and has nothing open: it takes nothing more from here on, and its beats close the session.
    pub fn leave(&mut self, now: Millis) -> Vec<Effect> {
        self.leaving = true;
        self.say(now);
        vec![Effect::SendHeartbeat]
    }

    /// The epoch that requests are judged by.
    pub fn active_epoch(&self) -> Option<Epoch> {
        self.active
    }

    /// A leader has answered since the start.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// The leader knows that the session is closed, or another process has this one's place.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// The change that this process has staged or looks at.
    pub fn pending_change(&self) -> Option<ChangeId> {
        self.change.as_ref().map(|(change, _)| change.id)
    }

    /// Takes what is agreed if it is newer than what is known.
    fn take(&mut self, agreed: AgreedState, now: Millis, effects: &mut Vec<Effect>) {
        if self.stand.is_some_and(|stand| agreed.version < stand.known.version) {
            return;
        }
        self.stand = Some(Stand::of(&agreed));
        let asked = agreed.change.as_ref().map(|change| change.id);
        match &self.change {
            Some((change, _)) if asked != Some(change.id) && agreed.version >= change.id.0 => {
                if agreed.epoch != change.epoch {
                    effects.push(Effect::Discard(change.id));
                }
                self.change = None;
            }
            _ => {}
        }
        match self.active {
            Some(active) if agreed.epoch < active => {
                if !std::mem::replace(&mut self.told_older, true) {
                    effects.push(Effect::NotifyOperator(format!(
                        "the control group's epoch {} is older than this node's {active}: it keeps its own; propose \
                         the policy again, it gets a number past {active}",
                        agreed.epoch
                    )));
                }
            }
            _ => self.activate(agreed.epoch, agreed.policy, effects),
        }
        if let Some(change) = agreed.change.filter(|_| self.change.is_none() && !self.leaving) {
            if self.active.is_some_and(|active| change.epoch <= active) {
                let words = format!("its epoch {} is not past this node's own", change.epoch);
                self.change = Some((change, Work::Refused { words }));
                self.say(now);
                effects.push(Effect::SendHeartbeat);
            } else {
                self.change = Some((change.clone(), Work::Checking));
                effects.push(Effect::Check(change));
            }
        }
    }

    /// A beat is due; if one is out, as soon as that is answered.
    fn say(&mut self, now: Millis) {
        self.unsaid = true;
        self.next_beat = now;
    }

    /// What is agreed is judged by and kept, where it is not already.
    fn activate(&mut self, epoch: Epoch, policy: Policy, effects: &mut Vec<Effect>) {
        let known = self.saved.as_ref().filter(|saved| saved.epoch == epoch && saved.policy == policy);
        if self.active != Some(epoch) || known.is_none() {
            effects.push(Effect::Activate { epoch, policy: policy.clone() });
        }
        if known.is_none_or(|saved| saved.fenced != self.fenced) {
            let saved = SavedEpoch { epoch, policy, fenced: self.fenced };
            self.saved = Some(saved.clone());
            effects.push(Effect::Save(saved));
        }
        self.active = Some(epoch);
    }
}

/// The words' first line, cut to the bound.
fn cut(words: &str) -> String {
    let line = words.lines().next().unwrap_or_default();
    let end = (0..=line.len().min(WORDS_MOST)).rev().find(|&at| line.is_char_boundary(at)).unwrap_or(0);
    line[..end].to_owned()
}
