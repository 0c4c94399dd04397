//! The node's side of the session and of a change: pure, with times and messages in and what is to be done out.
//!
//! Need: a node takes a request under an epoch only while it may, however it is cut off, stopped or started anew.
//! Shape: [`Member::admit`] is asked at each admission with the time of that moment, so that a process that was
//! stopped finds its promise or lease over before it takes anything.
//!
//! Why each span holds:
//! - *Promise.* It runs from the check's end, before any beat tells of it, and is made longer only by an answer that
//!   shows the change still under way, counted from the sending of the beat that was answered. An answer shows what it
//!   tells, or, where it says [`Told::Same`], what was known when that beat was sent and is named by both. The leader made sure
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
//! [`Start::Saved`] buys service without a control group at the price of the bound: a process that has joined nobody
//! serves by an epoch that may be old by then, until it reaches a leader. A fenced fleet's node does not do so.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    Agreed, Answer, Beat, Change, ChangeId, Epoch, Known, Millis, Policy, Process, Stamp, Told, Word,
};

/// How long after a beat the next one is sent while no leader has said so, in milliseconds.
const BEAT_MS: Millis = 250.0;
/// The longest words of a refusal, in bytes.
const WORDS_MOST: usize = 256;

/// How a process comes to its first epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Start {
    /// It takes nothing until a leader has answered.
    Wait,
    /// If no leader has answered `after_ms` after the start, it serves by the epoch that was saved.
    Saved {
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
    pub life: SocketAddr,
    /// An older process of this node goes on beside it.
    pub beside: bool,
    /// How it comes to its first epoch.
    pub start: Start,
}

/// What a node keeps on its disk for [`Start::Saved`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Saved {
    /// The epoch that it judged by last.
    pub epoch: Epoch,
    /// Its policy.
    pub policy: Policy,
    /// The fleet was fenced: nothing is taken without a lease, whatever [`Start`] says.
    #[serde(default)]
    pub fenced: bool,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// See whether this node can bear the change, and say so by [`Member::checked`].
    Check(Change),
    /// From now on requests are judged by this policy.
    Activate {
        /// Its epoch.
        epoch: Epoch,
        /// The policy.
        policy: Policy,
    },
    /// Keep this on the disk in place of what was kept before.
    Save(Saved),
    /// The change takes hold nowhere: what was made ready for it can go.
    Discard(ChangeId),
    /// The next beat is due at once.
    BeatNow,
    /// One line for the operator.
    Tell(String),
}

/// Why nothing new is taken.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Held {
    /// No epoch is known yet.
    Unknown,
    /// The promise about a change has passed, and what became of it is not known.
    Doubt,
    /// The fleet is fenced and the lease has run out.
    Lease,
    /// Another process has this one's place, or operators have removed it.
    Superseded,
    /// It has closed its session.
    Leaving,
}

impl Held {
    /// In a few words, for a client and for the log.
    pub fn words(self) -> &'static str {
        match self {
            Self::Unknown => "no agreed policy known yet",
            Self::Doubt => "a change of policy is in doubt",
            Self::Lease => "no lease from the control group",
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
    known: Known,
    epoch: Epoch,
    change: Option<ChangeId>,
}

impl Stand {
    fn of(agreed: &Agreed) -> Self {
        let change = agreed.change.as_ref().map(|change| change.id);
        Self { known: agreed.known(), epoch: agreed.epoch, change }
    }
}

/// The member's state.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    config: MemberConfig,
    /// What the disk holds; of the active epoch, once there is one.
    saved: Option<Saved>,
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
    pub fn new(config: MemberConfig, saved: Option<Saved>, now: Millis) -> Self {
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
    pub fn beat(&mut self, now: Millis) -> Beat {
        self.beat_at = now;
        self.stand_at_beat = self.stand;
        self.next_beat = now + BEAT_MS;
        self.unsaid = false;
        Beat {
            process: self.config.process.clone(),
            life: self.config.life,
            beside: self.config.beside,
            echo: self.echo,
            active: self.active,
            known: self.stand.map(|stand| stand.known),
            change: self.change.as_ref().and_then(|(change, work)| match work {
                Work::Checking => None,
                Work::Staged { until } => {
                    Some(Word::Staged { change: change.id, left_ms: (until - now).max(0.0) })
                }
                Work::Refused { words } => Some(Word::Refused { change: change.id, words: words.clone() }),
            }),
            bye: self.leaving,
            votes: None,
            verdicts: None,
        }
    }

    /// When the next beat is due. One that got no answer is followed by another at this time, too.
    pub fn next_beat(&self) -> Millis {
        self.next_beat
    }

    /// When [`Member::wake`] is due, if ever.
    pub fn wakes_at(&self) -> Option<Millis> {
        match (self.config.start, &self.saved) {
            (Start::Saved { after_ms }, Some(saved)) if !self.joined && self.active.is_none() => {
                (!saved.fenced && !self.leaving).then_some(self.started + after_ms)
            }
            _ => None,
        }
    }

    /// Time has passed: with [`Start::Saved`] the saved epoch may be due.
    pub fn wake(&mut self, now: Millis) -> Vec<Effect> {
        if !self.wakes_at().is_some_and(|at| now >= at) {
            return Vec::new();
        }
        let Some(Saved { epoch, policy, .. }) = self.saved.clone() else { return Vec::new() };
        self.active = Some(epoch);
        let tell = format!(
            "no leader of the control group has answered: serving by the saved epoch {epoch}, which may be old; \
             see whether the replicas run and can be reached"
        );
        vec![Effect::Activate { epoch, policy }, Effect::Tell(tell)]
    }

    /// The leader has answered the beat that was handed out at `sent`.
    pub fn answered(&mut self, sent: Millis, answer: Answer, now: Millis) -> Vec<Effect> {
        if self.superseded {
            return Vec::new();
        }
        if answer.superseded {
            self.superseded = true;
            if self.leaving {
                return Vec::new();
            }
            return vec![Effect::Tell(
                "superseded: another process of this node has joined, or operators removed it; takes nothing more. \
                 If two nodes were given one name, give this one another; then start it anew"
                    .to_owned(),
            )];
        }
        let older = |echo: Stamp| (echo.term, echo.at) >= (answer.stamp.term, answer.stamp.at);
        if !self.echo.is_some_and(older) {
            self.echo = Some(answer.stamp);
        }
        self.joined = true;
        self.promise_ms = answer.promise_ms;
        self.next_beat = if self.unsaid { now } else { now + answer.beat_ms };
        let mut effects = Vec::new();
        self.fenced |= answer.fenced;
        let shown = match answer.told {
            Told::News(agreed) => {
                let shown = Stand::of(&agreed);
                if let Some(lost) = self.lost(sent, &agreed) {
                    effects.push(Effect::Tell(lost));
                    self.stand = None;
                }
                self.take(agreed, now, &mut effects);
                Some(shown)
            }
            // Of another state nothing is known here but its name.
            Told::Same(known) => self.stand_at_beat.filter(|stand| stand.known == known),
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
    fn lost(&self, sent: Millis, agreed: &Agreed) -> Option<String> {
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
    pub fn news(&mut self, agreed: Agreed, now: Millis) -> Vec<Effect> {
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
    pub fn checked(&mut self, change: ChangeId, result: Result<(), String>, now: Millis) -> Vec<Effect> {
        match &mut self.change {
            Some((asked, work)) if asked.id == change && *work == Work::Checking => {
                *work = match result {
                    Ok(()) => Work::Staged { until: now + self.promise_ms },
                    Err(words) => Work::Refused { words: cut(&words) },
                };
                self.say(now);
                vec![Effect::BeatNow]
            }
            _ => Vec::new(),
        }
    }

    /// Whether a request may be taken at `now`, and under which epoch.
    ///
    /// # Errors
    /// Why not.
    pub fn admit(&self, now: Millis) -> Result<Epoch, Held> {
        if self.superseded {
            return Err(Held::Superseded);
        }
        if self.leaving {
            return Err(Held::Leaving);
        }
        let active = self.active.ok_or(Held::Unknown)?;
        if matches!(&self.change, Some((_, Work::Staged { until })) if now >= *until) {
            return Err(Held::Doubt);
        }
        if self.fenced && !self.lease.is_some_and(|until| now < until) {
            return Err(Held::Lease);
        }
        Ok(active)
    }

    /// The node ends and has nothing open: it takes nothing more from here on, and its beats close the session.
    pub fn bye(&mut self, now: Millis) -> Vec<Effect> {
        self.leaving = true;
        self.say(now);
        vec![Effect::BeatNow]
    }

    /// The epoch that requests are judged by.
    pub fn active(&self) -> Option<Epoch> {
        self.active
    }

    /// A leader has answered since the start.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// The leader knows that the session is closed, or another process has this one's place.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// The change that this process has staged or looks at.
    pub fn change(&self) -> Option<ChangeId> {
        self.change.as_ref().map(|(change, _)| change.id)
    }

    /// Takes what is agreed if it is newer than what is known.
    fn take(&mut self, agreed: Agreed, now: Millis, effects: &mut Vec<Effect>) {
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
                    effects.push(Effect::Tell(format!(
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
                effects.push(Effect::BeatNow);
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
            let saved = Saved { epoch, policy, fenced: self.fenced };
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
