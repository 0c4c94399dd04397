//! The referee of agreed policies: compares the epoch under which each request was admitted with the agreed epochs.
//!
//! The referee does not see the moment of admission, only that it lies between the client's send and the answer. So it
//! reports a breach only where every such moment would be one. An epoch is known to be in force from the first answer
//! under it, or from when its change was acknowledged to the operator.

use std::collections::BTreeMap;

use member::Epoch;
use serde::{Deserialize, Serialize};

use crate::referee::Rule;
use crate::server::Us;

/// The outcome of a policy change, as far as the operator knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The change was committed as this epoch.
    Committed(Epoch),
    /// The change was aborted or not accepted, for the reason in the answer.
    Aborted(String),
    /// No answer came: the change may have been committed or not.
    Unknown,
}

/// A proposed change of policy.
#[derive(Clone, Debug)]
pub struct ProposedChange {
    /// When the proposal was first sent.
    pub proposed_at: Us,
    /// When the operator learned the outcome.
    pub decided_at: Option<Us>,
    /// The outcome.
    pub outcome: Outcome,
    /// Which nodes were running when the proposal was sent.
    running_nodes: Vec<bool>,
}

/// The requests that were admitted under one epoch.
#[derive(Clone, Copy, Debug)]
struct EpochUse {
    first_answer: Us,
    /// The latest time at which one of the requests was sent.
    last_send: Us,
    /// The node that gave the first answer.
    node: usize,
    /// The client's try that got the first answer.
    request: usize,
}

/// Tracks the epochs of a run and checks each answer against them.
#[derive(Clone, Debug)]
pub struct EpochTracker {
    /// How long after an epoch is in force a request may still be admitted under an older one.
    max_overlap: Us,
    uses: BTreeMap<Epoch, EpochUse>,
    /// The time of the first answer under each epoch, by node.
    first_answers: Vec<BTreeMap<Epoch, Us>>,
    changes: Vec<ProposedChange>,
    write_gaps: Vec<Option<Us>>,
    answers: u64,
    refusals: u64,
}

/// A breach: the rule, the node and the client's try where there is one, and a description.
pub type EpochBreach = (Rule, Option<usize>, Option<usize>, String);

impl EpochTracker {
    /// A tracker for a number of nodes. `max_overlap` is how long after an epoch is in force a request may still be
    /// admitted under an older one.
    pub fn new(max_overlap: Us, nodes: usize) -> Self {
        Self {
            max_overlap,
            uses: BTreeMap::new(),
            first_answers: vec![BTreeMap::new(); nodes],
            changes: Vec::new(),
            write_gaps: Vec::new(),
            answers: 0,
            refusals: 0,
        }
    }

    /// Records that a node refused a request because it has no agreed policy.
    pub fn record_refusal(&mut self) {
        self.answers += 1;
        self.refusals += 1;
    }

    /// Records that a request sent at `sent` was answered now, and that it was admitted under this epoch. Returns the
    /// breaches that this shows.
    pub fn record_admission(
        &mut self,
        now: Us,
        node: usize,
        request: usize,
        epoch: Epoch,
        sent: Us,
    ) -> Vec<EpochBreach> {
        self.answers += 1;
        let mut breaches = Vec::new();
        let answered = self.uses.range(epoch + 1..).map(|(newer, usage)| (usage.first_answer, *newer));
        let acknowledged = self.changes.iter().filter_map(|change| match change.outcome {
            Outcome::Committed(newer) if newer > epoch => Some((change.decided_at?, newer)),
            _ => None,
        });
        let in_force = answered.chain(acknowledged).min();
        if let Some((since, newer)) = in_force.filter(|(since, _)| sent > since + self.max_overlap) {
            let description = format!(
                "admitted under epoch {epoch} {:.0} ms and more after epoch {newer} was in force",
                (sent - since) as f64 / 1e3
            );
            breaches.push((Rule::Mixed, Some(node), Some(request), description));
        }
        let first_answers = &mut self.first_answers[node];
        if let Some((newer, _)) = first_answers.range(epoch + 1..).find(|(_, first)| **first < sent) {
            let description =
                format!("admitted under epoch {epoch} after it had answered under epoch {newer}");
            breaches.push((Rule::Backward, Some(node), Some(request), description));
        }
        first_answers.entry(epoch).or_insert(now);
        let first_use = EpochUse { first_answer: now, last_send: sent, node, request };
        let usage = self.uses.entry(epoch).or_insert(first_use);
        usage.last_send = usage.last_send.max(sent);
        breaches
    }

    /// Records that a change was proposed now. Returns the change's index.
    pub fn record_proposal(&mut self, now: Us, running_nodes: Vec<bool>) -> usize {
        self.changes.push(ProposedChange {
            proposed_at: now,
            decided_at: None,
            outcome: Outcome::Unknown,
            running_nodes,
        });
        self.changes.len() - 1
    }

    /// Records that the operator learned the outcome of a change now.
    pub fn record_outcome(&mut self, now: Us, change: usize, outcome: Outcome) {
        (self.changes[change].decided_at, self.changes[change].outcome) = (Some(now), outcome);
    }

    /// Records how long no write succeeded after a fault of the leader; `None`: until the end of the run.
    pub fn record_write_gap(&mut self, gap: Option<Us>) {
        self.write_gaps.push(gap);
    }

    /// The breaches that only the end of the run shows. `agreed` is the newest epoch that the replicas know then; `None`
    /// where no replica answers.
    pub fn final_breaches(&self, agreed: Option<Epoch>) -> Vec<EpochBreach> {
        let mut breaches = Vec::new();
        for (epoch, usage) in self.uses.range(1..) {
            // A change with an unknown outcome may have been committed as any epoch.
            let may_be = |change: &ProposedChange| match &change.outcome {
                Outcome::Committed(committed) => committed == epoch,
                Outcome::Aborted(_) => false,
                Outcome::Unknown => true,
            };
            if !self.changes.iter().any(|c| may_be(c) && c.proposed_at <= usage.first_answer) {
                let description = format!("admitted under epoch {epoch}, which no change had become by then");
                breaches.push((Rule::Aborted, Some(usage.node), Some(usage.request), description));
            }
        }
        if let (Some(acknowledged), Some(agreed)) = (self.newest_acknowledged(), agreed) {
            if agreed < acknowledged {
                let description =
                    format!("epoch {acknowledged} was acknowledged, and the group knows {agreed} at the end");
                breaches.push((Rule::Lost, None, None, description));
            }
        }
        breaches
    }

    /// The newest epoch whose commit was acknowledged to the operator.
    pub fn newest_acknowledged(&self) -> Option<Epoch> {
        let committed =
            |c: &ProposedChange| if let Outcome::Committed(epoch) = c.outcome { Some(epoch) } else { None };
        self.changes.iter().filter_map(committed).max()
    }

    /// What the run's policy changes came to.
    pub fn metrics(&self) -> ControlMetrics {
        let ms = |us: Us| us as f64 / 1e3;
        let changes = self.changes.iter().map(|change| {
            let epoch = if let Outcome::Committed(epoch) = change.outcome { Some(epoch) } else { None };
            let active_at = epoch.and_then(|epoch| self.active_on_all_nodes(change, epoch));
            ChangeMetrics {
                at_s: change.proposed_at as f64 / 1e6,
                outcome: change.outcome.clone(),
                outcome_known_ms: change.decided_at.map(|at| ms(at - change.proposed_at)),
                active_ms: active_at.map(|at| ms(at.saturating_sub(change.proposed_at))),
                mixed_ms: epoch.and_then(|epoch| self.mixed_time(epoch)).map(ms),
            }
        });
        ControlMetrics {
            changes: changes.collect(),
            write_gaps_ms: self.write_gaps.iter().map(|gap| gap.map(ms)).collect(),
            refused_share: self.refusals as f64 / self.answers.max(1) as f64,
        }
    }

    /// The time by which each node that was running at the proposal had answered a request under the epoch or a newer
    /// one.
    fn active_on_all_nodes(&self, change: &ProposedChange, epoch: Epoch) -> Option<Us> {
        let running = self.first_answers.iter().zip(&change.running_nodes).filter(|(_, running)| **running);
        running
            .map(|(first_answers, _)| first_answers.range(epoch..).map(|(_, first)| *first).min())
            .collect::<Option<Vec<_>>>()?
            .into_iter()
            .max()
    }

    /// For how long requests were still sent that were admitted under older epochs, after the first answer under this
    /// epoch or a newer one.
    fn mixed_time(&self, epoch: Epoch) -> Option<Us> {
        let first = self.uses.range(epoch..).map(|(_, usage)| usage.first_answer).min()?;
        let last = self.uses.range(..epoch).map(|(_, usage)| usage.last_send).max()?;
        Some(last.saturating_sub(first))
    }
}

/// What the policy changes of a run came to.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ControlMetrics {
    /// The proposed changes, in order.
    pub changes: Vec<ChangeMetrics>,
    /// How long no write succeeded after each fault of the leader; `None`: until the end of the run.
    pub write_gaps_ms: Vec<Option<f64>>,
    /// The share of answers that are refusals because the node has no agreed policy.
    #[serde(rename = "held")]
    pub refused_share: f64,
}

/// What one policy change came to.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangeMetrics {
    /// When the change was proposed, in seconds from the start of the run.
    pub at_s: f64,
    /// The outcome.
    pub outcome: Outcome,
    /// The time from the proposal until the operator learned the outcome.
    #[serde(rename = "told_ms")]
    pub outcome_known_ms: Option<f64>,
    /// The time from the proposal until each node that was running at it had answered a request under the new epoch.
    pub active_ms: Option<f64>,
    /// For how long requests were still sent that were admitted under an older epoch, after the first answer under the
    /// new one.
    pub mixed_ms: Option<f64>,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rules(breaches: &[EpochBreach]) -> Vec<Rule> {
        breaches.iter().map(|b| b.0).collect()
    }

    /// A tracker for two nodes and an overlap of 2 ms, with epoch 1 proposed at 1 ms and acknowledged at 1.5 ms.
    fn tracker() -> EpochTracker {
        let mut epochs = EpochTracker::new(2_000, 2);
        let change = epochs.record_proposal(1_000, vec![true, true]);
        epochs.record_outcome(1_500, change, Outcome::Committed(1));
        epochs
    }

    #[test]
    fn an_older_epoch_is_a_breach_only_when_sent_after_the_overlap() {
        let mut epochs = tracker();
        assert_eq!(epochs.record_admission(1_400, 0, 0, 1, 1_200), []);
        assert_eq!(
            epochs.record_admission(9_000, 1, 1, 0, 3_400),
            [],
            "it may have been admitted as soon as it was sent"
        );
        assert_eq!(rules(&epochs.record_admission(9_000, 1, 2, 0, 3_401)), [Rule::Mixed]);
        assert_eq!(epochs.final_breaches(Some(1)), []);
        let metrics = epochs.metrics();
        assert_eq!(metrics.changes[0].mixed_ms, Some(2.001));
        assert_eq!(metrics.changes[0].active_ms, None, "node 1 has not answered under it");
    }

    #[test]
    fn an_acknowledged_epoch_is_in_force_before_any_answer_under_it() {
        assert_eq!(rules(&tracker().record_admission(9_000, 1, 2, 0, 3_501)), [Rule::Mixed]);
    }

    #[test]
    fn a_node_that_returns_to_an_older_epoch_is_a_breach() {
        let mut epochs = tracker();
        epochs.record_admission(1_400, 0, 0, 1, 1_200);
        assert_eq!(epochs.record_admission(1_600, 0, 1, 0, 1_400), []);
        assert_eq!(rules(&epochs.record_admission(1_600, 0, 2, 0, 1_401)), [Rule::Backward]);
        assert_eq!(epochs.record_admission(1_600, 1, 3, 0, 1_401), [], "another node may lag");
    }

    #[test]
    fn an_epoch_of_no_change_and_a_lost_commit_are_breaches() {
        let mut aborted = EpochTracker::new(2_000, 1);
        let change = aborted.record_proposal(1_000, vec![true]);
        aborted.record_outcome(1_500, change, Outcome::Aborted("silent".into()));
        aborted.record_admission(2_000, 0, 0, 1, 1_900);
        assert_eq!(rules(&aborted.final_breaches(Some(0))), [Rule::Aborted]);
        aborted.record_proposal(2_100, vec![true]);
        assert_eq!(
            rules(&aborted.final_breaches(Some(0))),
            [Rule::Aborted],
            "the second change was proposed after the answer"
        );
        let mut early = tracker();
        early.record_admission(900, 0, 0, 1, 800);
        assert_eq!(rules(&early.final_breaches(None)), [Rule::Aborted], "answered before the proposal");
        assert_eq!(rules(&tracker().final_breaches(Some(0))), [Rule::Lost]);
        assert_eq!(tracker().final_breaches(None), [], "no replica answers");
    }
}
