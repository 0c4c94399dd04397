//! The agreed epoch, the change under way and how changes ended, on the log.
//!
//! Need: one change at a time, with one outcome, and no number of an epoch that stands for two policies. Shape: a
//! number is given when a change is proposed and never again, so that "nothing was admitted under an aborted epoch"
//! can be told from requests alone. A member may have known a higher number than the log does (a group that was set up
//! again from an old backup): [`Book::raise`] keeps clear of it.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hasher as _};

use member::{AbortReason, AgreedState, Change, ChangeId, EndedChange, Epoch, Policy, Process};
use serde::{Deserialize, Serialize};

use crate::command::{Outcome, PolicyCommand};
use crate::roster::Roster;

/// The largest policy, in bytes of JSON.
pub const POLICY_MOST: usize = 64 * 1024;
/// How many ended changes are kept.
pub const HISTORY: usize = 32;
/// How many of them each [`AgreedState`] tells of.
pub const TOLD: usize = 4;
/// How many nodes or processes a list of missing ones names.
pub const NAMED: usize = 8;
/// The longest words of a refusal, in bytes.
const WORDS_MOST: usize = 256;
/// The highest number that is believed of a member: far from where counting on would overflow.
pub const EPOCH_MOST: Epoch = 1 << 52;

/// What is agreed on policy.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Book {
    epoch: Epoch,
    policy: Policy,
    /// The highest number that was given, or that a member has known.
    given: Epoch,
    change: Option<Change>,
    ended: VecDeque<EndedChange>,
}

impl Book {
    /// Takes a command at a version of the log; `roster` is the one at this entry.
    pub fn apply(&mut self, version: u64, command: &PolicyCommand, roster: &Roster) -> Outcome {
        match command {
            PolicyCommand::Propose { base, policy } => self.propose(version, *base, policy),
            PolicyCommand::Commit { change, staged, fenced } => {
                if self.change.as_ref().map(|change| change.id) != Some(*change) {
                    return Outcome::Over;
                }
                let staged: BTreeSet<&Process> = staged.iter().collect();
                let fenced: BTreeSet<&Process> = fenced.iter().collect();
                let covered = |process: &Process, may: bool| {
                    staged.contains(process) || (may && fenced.contains(process))
                };
                let missing: Vec<Process> = roster
                    .members()
                    .filter(|(process, seat)| !covered(process, seat.fenced))
                    .map(|(process, _)| process.clone())
                    .take(NAMED)
                    .collect();
                if missing.is_empty() {
                    self.end(None);
                    Outcome::Done
                } else {
                    Outcome::Uncovered { missing }
                }
            }
            PolicyCommand::Abort { change, why } => match &self.change {
                Some(under_way) if under_way.id == *change => {
                    self.end(Some(bounded(why)));
                    Outcome::Done
                }
                _ => Outcome::Over,
            },
        }
    }

    /// A member has known this epoch: no number up to it is given again.
    pub fn raise(&mut self, known: Epoch) {
        if known <= EPOCH_MOST {
            self.given = self.given.max(known);
        }
    }

    /// The agreed epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The agreed policy.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// The highest number that was given, or that a member has known.
    pub fn given(&self) -> Epoch {
        self.given
    }

    /// The change under way.
    pub fn change(&self) -> Option<&Change> {
        self.change.as_ref()
    }

    /// How the last changes ended, newest last.
    pub fn ended(&self) -> impl DoubleEndedIterator<Item = &EndedChange> {
        self.ended.iter()
    }

    /// The version of what nodes are told: the number of the change under way, or one past that of the last one that
    /// ended. Who joins or leaves moves the log and not this; the next change's number is greater than both, as an
    /// entry of the log ended the one before it.
    pub fn version(&self) -> u64 {
        match (&self.change, self.ended.back()) {
            (Some(change), _) => change.id.0,
            (None, Some(ended)) => ended.id.0 + 1,
            (None, None) => 0,
        }
    }

    /// What nodes are told.
    pub fn agreed(&self) -> AgreedState {
        let told = self.ended.len().saturating_sub(TOLD);
        let mut agreed = AgreedState {
            version: self.version(),
            fingerprint: 0,
            epoch: self.epoch,
            policy: self.policy.clone(),
            change: self.change.clone(),
            ended_changes: self.ended.iter().skip(told).cloned().collect(),
        };
        let mut hasher = DefaultHasher::new();
        hasher.write(&serde_json::to_vec(&agreed).expect("names and JSON values always serialize"));
        agreed.fingerprint = hasher.finish();
        agreed
    }

    fn propose(&mut self, version: u64, base: Epoch, policy: &Policy) -> Outcome {
        if let Some(change) = &self.change {
            return Outcome::Busy { change: change.id };
        }
        if base != self.epoch {
            return Outcome::Stale { epoch: self.epoch };
        }
        let size = serde_json::to_vec(policy).map_or(usize::MAX, |bytes| bytes.len());
        if size > POLICY_MOST {
            return Outcome::TooMuch;
        }
        self.given += 1;
        let (id, epoch) = (ChangeId(version), self.given);
        self.change = Some(Change { id, epoch, policy: policy.clone() });
        Outcome::Proposed { change: id, epoch }
    }

    fn end(&mut self, aborted: Option<AbortReason>) {
        let Some(change) = self.change.take() else { return };
        self.ended.push_back(EndedChange {
            id: change.id,
            epoch: change.epoch,
            abort_reason: aborted.clone(),
        });
        if self.ended.len() > HISTORY {
            self.ended.pop_front();
        }
        if aborted.is_none() {
            (self.epoch, self.policy) = (change.epoch, change.policy);
        }
    }
}

/// The reason with its lists and words cut to their bounds.
fn bounded(why: &AbortReason) -> AbortReason {
    match why {
        AbortReason::Refused { node, reason: words } => {
            let end = (0..=words.len().min(WORDS_MOST)).rev().find(|&at| words.is_char_boundary(at));
            AbortReason::Refused { node: node.clone(), reason: words[..end.unwrap_or(0)].to_owned() }
        }
        AbortReason::Unresponsive { nodes } => {
            AbortReason::Unresponsive { nodes: nodes.iter().take(NAMED).cloned().collect() }
        }
        AbortReason::Operator => AbortReason::Operator,
        AbortReason::NoLeader => AbortReason::NoLeader,
    }
}
