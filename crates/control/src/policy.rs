//! The replicated state of the policy: the agreed epoch, the pending change and the outcomes of past changes.
//!
//! Goal: at most one pending change, exactly one outcome per change, and no epoch number that stands for two policies.
//! Design: a number is assigned when a change is proposed and never reused, so that "no request was admitted under an
//! aborted epoch" can be checked from the requests alone. A member may know a higher number than the log does (if the
//! group was restored from an old backup): [`PolicyState::reserve_epochs_up_to`] skips those.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hasher as _};

use member::{AbortReason, AgreedState, Change, ChangeId, EndedChange, Epoch, Policy, Process};
use serde::{Deserialize, Serialize};

use crate::command::{Outcome, PolicyCommand};
use crate::roster::Roster;

/// The maximum size of a policy, in bytes of JSON.
pub const MAX_POLICY_BYTES: usize = 64 * 1024;
/// The number of ended changes that are kept.
pub const MAX_ENDED_CHANGES: usize = 32;
/// The number of ended changes that each [`AgreedState`] contains.
pub const MAX_REPORTED_CHANGES: usize = 4;
/// The maximum number of missing nodes or processes that are listed by name.
pub const MAX_NAMED_MEMBERS: usize = 8;
/// The maximum length of the reason of a refusal, in bytes.
const MAX_REASON_BYTES: usize = 256;
/// The highest epoch that is accepted from a member, so that counting on from it cannot overflow.
pub const MAX_EPOCH: Epoch = 1 << 52;

/// The replicated state of the policy.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PolicyState {
    epoch: Epoch,
    policy: Policy,
    /// The highest number that was assigned, or that a member has known.
    #[serde(rename = "given")]
    highest_epoch: Epoch,
    change: Option<Change>,
    #[serde(rename = "ended")]
    ended_changes: VecDeque<EndedChange>,
}

impl PolicyState {
    /// Applies a command at a version of the log; `roster` is the roster at this entry.
    pub fn apply(&mut self, version: u64, command: &PolicyCommand, roster: &Roster) -> Outcome {
        match command {
            PolicyCommand::Propose { base_epoch, policy } => self.propose(version, *base_epoch, policy),
            PolicyCommand::Commit { change, staged_members, fenced_members } => {
                if self.change.as_ref().map(|change| change.id) != Some(*change) {
                    return Outcome::Obsolete;
                }
                let staged: BTreeSet<&Process> = staged_members.iter().collect();
                let fenced: BTreeSet<&Process> = fenced_members.iter().collect();
                let is_covered = |process: &Process, needs_lease: bool| {
                    staged.contains(process) || (needs_lease && fenced.contains(process))
                };
                let missing: Vec<Process> = roster
                    .members()
                    .filter(|(process, entry)| !is_covered(process, entry.fenced))
                    .map(|(process, _)| process.clone())
                    .take(MAX_NAMED_MEMBERS)
                    .collect();
                if missing.is_empty() {
                    self.end(None);
                    Outcome::Done
                } else {
                    Outcome::MissingMembers { missing }
                }
            }
            PolicyCommand::Abort { change, reason } => match &self.change {
                Some(pending) if pending.id == *change => {
                    self.end(Some(truncated(reason)));
                    Outcome::Done
                }
                _ => Outcome::Obsolete,
            },
        }
    }

    /// Ensures that no number up to `known`, which a member has known, is assigned again.
    pub fn reserve_epochs_up_to(&mut self, known: Epoch) {
        if known <= MAX_EPOCH {
            self.highest_epoch = self.highest_epoch.max(known);
        }
    }

    /// Returns the agreed epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the agreed policy.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Returns the highest number that was assigned, or that a member has known.
    pub fn highest_epoch(&self) -> Epoch {
        self.highest_epoch
    }

    /// Returns the pending change.
    pub fn pending_change(&self) -> Option<&Change> {
        self.change.as_ref()
    }

    /// Returns the last changes and their outcomes, newest last.
    pub fn ended_changes(&self) -> impl DoubleEndedIterator<Item = &EndedChange> {
        self.ended_changes.iter()
    }

    /// Returns the version of the [`AgreedState`]: the number of the pending change, or one more than that of the last
    /// ended one. Joins and leaves advance the log but not this version. The next change's number is greater than both,
    /// because an entry of the log ended the previous change.
    pub fn version(&self) -> u64 {
        match (&self.change, self.ended_changes.back()) {
            (Some(change), _) => change.id.0,
            (None, Some(ended)) => ended.id.0 + 1,
            (None, None) => 0,
        }
    }

    /// Returns the state as it is sent to nodes.
    pub fn agreed_state(&self) -> AgreedState {
        let skipped = self.ended_changes.len().saturating_sub(MAX_REPORTED_CHANGES);
        let mut agreed = AgreedState {
            version: self.version(),
            fingerprint: 0,
            epoch: self.epoch,
            policy: self.policy.clone(),
            change: self.change.clone(),
            ended_changes: self.ended_changes.iter().skip(skipped).cloned().collect(),
        };
        let mut hasher = DefaultHasher::new();
        hasher.write(&serde_json::to_vec(&agreed).expect("names and JSON values always serialize"));
        agreed.fingerprint = hasher.finish();
        agreed
    }

    fn propose(&mut self, version: u64, base_epoch: Epoch, policy: &Policy) -> Outcome {
        if let Some(change) = &self.change {
            return Outcome::ChangePending { change: change.id };
        }
        if base_epoch != self.epoch {
            return Outcome::StaleEpoch { epoch: self.epoch };
        }
        let size = serde_json::to_vec(policy).map_or(usize::MAX, |bytes| bytes.len());
        if size > MAX_POLICY_BYTES {
            return Outcome::LimitExceeded;
        }
        self.highest_epoch += 1;
        let (id, epoch) = (ChangeId(version), self.highest_epoch);
        self.change = Some(Change { id, epoch, policy: policy.clone() });
        Outcome::Proposed { change: id, epoch }
    }

    /// Ends the pending change; without a reason it is committed.
    fn end(&mut self, abort_reason: Option<AbortReason>) {
        let Some(change) = self.change.take() else { return };
        let ended = EndedChange { id: change.id, epoch: change.epoch, abort_reason: abort_reason.clone() };
        self.ended_changes.push_back(ended);
        if self.ended_changes.len() > MAX_ENDED_CHANGES {
            self.ended_changes.pop_front();
        }
        if abort_reason.is_none() {
            (self.epoch, self.policy) = (change.epoch, change.policy);
        }
    }
}

/// Returns the reason with its lists and texts truncated to their limits.
fn truncated(reason: &AbortReason) -> AbortReason {
    match reason {
        AbortReason::Refused { node, reason } => {
            let end = (0..=reason.len().min(MAX_REASON_BYTES)).rev().find(|&at| reason.is_char_boundary(at));
            AbortReason::Refused { node: node.clone(), reason: reason[..end.unwrap_or(0)].to_owned() }
        }
        AbortReason::Unresponsive { nodes } => {
            AbortReason::Unresponsive { nodes: nodes.iter().take(MAX_NAMED_MEMBERS).cloned().collect() }
        }
        AbortReason::Operator => AbortReason::Operator,
        AbortReason::NoLeader => AbortReason::NoLeader,
    }
}
