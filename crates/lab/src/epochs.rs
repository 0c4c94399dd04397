//! The referee's part on agreed policies: under which epoch each request was admitted, against what was agreed.
//!
//! A request is admitted at some moment between its client's send and its answer, so a breach is only what is one at
//! every such moment. An epoch is surely in force from the first answer under it on, or from when its change was
//! acknowledged to the operator.

use std::collections::BTreeMap;

use member::Epoch;
use serde::{Deserialize, Serialize};

use crate::referee::Rule;
use crate::server::Us;

/// What became of a change, as far as the operator was told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was committed as this epoch.
    Committed(Epoch),
    /// It was aborted, or never taken up: the answer's words.
    Aborted(String),
    /// Nobody said: it may have become the agreed policy or not.
    Unknown,
}

/// A change that was asked for.
#[derive(Clone, Debug)]
pub struct ProposedChange {
    /// When it was first sent.
    pub proposed: Us,
    /// When its outcome was heard.
    pub ended: Option<Us>,
    /// The outcome.
    pub outcome: Outcome,
    /// Which nodes ran when it was sent.
    running: Vec<bool>,
}

/// What is known of the requests that were admitted under one epoch.
#[derive(Clone, Copy, Debug)]
struct Span {
    /// The first answer.
    first: Us,
    /// The last send.
    last: Us,
    node: usize,
    ask: usize,
}

/// All epochs of a play.
#[derive(Clone, Debug)]
pub struct EpochTracker {
    /// How long after an epoch is in force a request may be admitted under an older one.
    bound: Us,
    spans: BTreeMap<Epoch, Span>,
    /// The first answer under each epoch, by node.
    nodes: Vec<BTreeMap<Epoch, Us>>,
    changes: Vec<ProposedChange>,
    gaps: Vec<Option<Us>>,
    answers: u64,
    held: u64,
}

/// A breach of one of these rules: the node and the client's try where there is one.
pub type EpochBreach = (Rule, Option<usize>, Option<usize>, String);

impl EpochTracker {
    /// For so many nodes, with the bound for requests under an older epoch.
    pub fn new(bound: Us, nodes: usize) -> Self {
        Self {
            bound,
            spans: BTreeMap::new(),
            nodes: vec![BTreeMap::new(); nodes],
            changes: Vec::new(),
            gaps: Vec::new(),
            answers: 0,
            held: 0,
        }
    }

    /// A node refused a request as it held back for want of an agreed policy.
    pub fn record_refusal(&mut self) {
        self.answers += 1;
        self.held += 1;
    }

    /// A request that was sent at `sent` was answered now, as admitted under an epoch.
    pub fn record_admission(
        &mut self,
        now: Us,
        node: usize,
        ask: usize,
        epoch: Epoch,
        sent: Us,
    ) -> Vec<EpochBreach> {
        self.answers += 1;
        let mut found = Vec::new();
        let newer = self.spans.range(epoch + 1..).map(|(e, span)| (span.first, *e));
        let agreed = self.changes.iter().filter_map(|w| match w.outcome {
            Outcome::Committed(e) if e > epoch => Some((w.ended?, e)),
            _ => None,
        });
        if let Some((from, e)) = newer.chain(agreed).min().filter(|(from, _)| sent > from + self.bound) {
            let words = format!(
                "admitted under epoch {epoch} {:.0} ms and more after epoch {e} was in force",
                (sent - from) as f64 / 1e3
            );
            found.push((Rule::Mixed, Some(node), Some(ask), words));
        }
        let own = &mut self.nodes[node];
        if let Some((e, _)) = own.range(epoch + 1..).find(|(_, first)| **first < sent) {
            let words = format!("admitted under epoch {epoch} after it had answered under epoch {e}");
            found.push((Rule::Backward, Some(node), Some(ask), words));
        }
        own.entry(epoch).or_insert(now);
        let span = self.spans.entry(epoch).or_insert(Span { first: now, last: sent, node, ask });
        span.last = span.last.max(sent);
        found
    }

    /// A change is asked for; its place among them.
    pub fn record_proposal(&mut self, now: Us, running: Vec<bool>) -> usize {
        self.changes.push(ProposedChange { proposed: now, ended: None, outcome: Outcome::Unknown, running });
        self.changes.len() - 1
    }

    /// The operator was told what became of a change.
    pub fn record_outcome(&mut self, now: Us, change: usize, outcome: Outcome) {
        (self.changes[change].ended, self.changes[change].outcome) = (Some(now), outcome);
    }

    /// How long nothing could be written after the leader was struck; `None` where it went on to the end.
    pub fn record_write_gap(&mut self, gap: Option<Us>) {
        self.gaps.push(gap);
    }

    /// The play is over, and the replicas that answer know this epoch at the most; `None` where the group is down.
    pub fn final_breaches(&self, agreed: Option<Epoch>) -> Vec<EpochBreach> {
        let mut found = Vec::new();
        for (epoch, span) in self.spans.range(1..) {
            // What nobody told the operator of may have been committed as any epoch.
            let may_be = |w: &ProposedChange| match &w.outcome {
                Outcome::Committed(e) => e == epoch,
                Outcome::Aborted(_) => false,
                Outcome::Unknown => true,
            };
            if !self.changes.iter().any(|w| may_be(w) && w.proposed <= span.first) {
                let words = format!("admitted under epoch {epoch}, which no change had become by then");
                found.push((Rule::Aborted, Some(span.node), Some(span.ask), words));
            }
        }
        let most = self.newest_acknowledged();
        if let (Some(most), Some(agreed)) = (most, agreed) {
            if agreed < most {
                let words = format!("epoch {most} was acknowledged, and the group knows {agreed} at the end");
                found.push((Rule::Lost, None, None, words));
            }
        }
        found
    }

    /// The newest epoch that was acknowledged.
    pub fn newest_acknowledged(&self) -> Option<Epoch> {
        let committed =
            |w: &ProposedChange| if let Outcome::Committed(e) = w.outcome { Some(e) } else { None };
        self.changes.iter().filter_map(committed).max()
    }

    /// The figures.
    pub fn metrics(&self) -> ControlMetrics {
        let ms = |us: Us| us as f64 / 1e3;
        let changes = self.changes.iter().map(|change| {
            let epoch = if let Outcome::Committed(e) = change.outcome { Some(e) } else { None };
            let active = epoch.and_then(|e| self.active_everywhere(change, e));
            ChangeMetrics {
                at_s: change.proposed as f64 / 1e6,
                outcome: change.outcome.clone(),
                outcome_known_ms: change.ended.map(|at| ms(at - change.proposed)),
                active_ms: active.map(|at| ms(at.saturating_sub(change.proposed))),
                mixed_ms: epoch.and_then(|e| self.mixed(e)).map(ms),
            }
        });
        ControlMetrics {
            changes: changes.collect(),
            write_gaps_ms: self.gaps.iter().map(|gap| gap.map(ms)).collect(),
            refused_share: self.held as f64 / self.answers.max(1) as f64,
        }
    }

    /// When each node that ran as a change was asked for had surely admitted something under it.
    fn active_everywhere(&self, change: &ProposedChange, epoch: Epoch) -> Option<Us> {
        let ran = self.nodes.iter().zip(&change.running).filter(|(_, running)| **running);
        ran.map(|(own, _)| own.range(epoch..).map(|(_, first)| *first).min())
            .collect::<Option<Vec<_>>>()?
            .into_iter()
            .max()
    }

    /// For how long requests were surely admitted under older epochs after the first one under this.
    fn mixed(&self, epoch: Epoch) -> Option<Us> {
        let first = self.spans.range(epoch..).map(|(_, span)| span.first).min()?;
        let last = self.spans.range(..epoch).map(|(_, span)| span.last).max()?;
        Some(last.saturating_sub(first))
    }
}

/// What came of the changes of policy.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ControlMetrics {
    /// The changes that were asked for, in order.
    pub changes: Vec<ChangeMetrics>,
    /// How long nothing could be written after each strike at the leader; `None` where it went on to the end.
    pub write_gaps_ms: Vec<Option<f64>>,
    /// The share of answers that refused for want of an agreed policy.
    #[serde(rename = "held")]
    pub refused_share: f64,
}

/// One change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangeMetrics {
    /// When it was asked for.
    pub at_s: f64,
    /// What became of it.
    pub outcome: Outcome,
    /// How long until the operator was told.
    #[serde(rename = "told_ms")]
    pub outcome_known_ms: Option<f64>,
    /// How long until each node that ran then had surely admitted something under it.
    pub active_ms: Option<f64>,
    /// For how long requests were surely admitted under an older epoch after the first one under this.
    pub mixed_ms: Option<f64>,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rules(found: &[EpochBreach]) -> Vec<Rule> {
        found.iter().map(|f| f.0).collect()
    }

    fn epochs() -> EpochTracker {
        let mut epochs = EpochTracker::new(2_000, 2);
        let change = epochs.record_proposal(1_000, vec![true, true]);
        epochs.record_outcome(1_500, change, Outcome::Committed(1));
        epochs
    }

    #[test]
    fn an_older_epoch_is_a_breach_only_where_it_surely_was_too_late() {
        let mut epochs = epochs();
        assert_eq!(epochs.record_admission(1_400, 0, 0, 1, 1_200), []);
        assert_eq!(
            epochs.record_admission(9_000, 1, 1, 0, 3_400),
            [],
            "it may have been admitted when it was sent"
        );
        assert_eq!(rules(&epochs.record_admission(9_000, 1, 2, 0, 3_401)), [Rule::Mixed]);
        assert_eq!(epochs.final_breaches(Some(1)), []);
        let figures = epochs.metrics();
        assert_eq!(figures.changes[0].mixed_ms, Some(2.001));
        assert_eq!(figures.changes[0].active_ms, None, "node 1 has not got there");
    }

    #[test]
    fn an_acknowledged_commit_counts_as_in_force_though_nobody_was_asked_under_it() {
        assert_eq!(rules(&epochs().record_admission(9_000, 1, 2, 0, 3_501)), [Rule::Mixed]);
    }

    #[test]
    fn a_node_that_goes_back_is_seen() {
        let mut epochs = epochs();
        epochs.record_admission(1_400, 0, 0, 1, 1_200);
        assert_eq!(epochs.record_admission(1_600, 0, 1, 0, 1_400), []);
        assert_eq!(rules(&epochs.record_admission(1_600, 0, 2, 0, 1_401)), [Rule::Backward]);
        assert_eq!(epochs.record_admission(1_600, 1, 3, 0, 1_401), [], "another node may lag");
    }

    #[test]
    fn what_no_change_has_become_and_what_is_lost_is_seen() {
        let mut aborted = EpochTracker::new(2_000, 1);
        let change = aborted.record_proposal(1_000, vec![true]);
        aborted.record_outcome(1_500, change, Outcome::Aborted("silent".into()));
        aborted.record_admission(2_000, 0, 0, 1, 1_900);
        assert_eq!(rules(&aborted.final_breaches(Some(0))), [Rule::Aborted]);
        aborted.record_proposal(2_100, vec![true]);
        assert_eq!(rules(&aborted.final_breaches(Some(0))), [Rule::Aborted], "that one came later");
        let mut early = epochs();
        early.record_admission(900, 0, 0, 1, 800);
        assert_eq!(rules(&early.final_breaches(None)), [Rule::Aborted], "before it was asked for");
        assert_eq!(rules(&epochs().final_breaches(Some(0))), [Rule::Lost]);
        assert_eq!(epochs().final_breaches(None), [], "nobody there to ask");
    }
}
