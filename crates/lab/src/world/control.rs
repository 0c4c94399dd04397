//! Policy changes: what operators proposed, and the epoch under which each request was admitted.

use member::Epoch;

use super::*;
use crate::epochs::{ControlMetrics, EpochBreach, Outcome};

impl World {
    /// Enables the epoch checks: a control group agrees on the nodes' policy, and a request may be admitted under an
    /// older epoch for at most `bound` after a newer one is in force.
    pub fn expect_epochs(&mut self, bound: Us) {
        self.epochs = Some(EpochTracker::new(bound, self.nodes.len()));
    }

    /// Records the epoch under which a node's answer says that a try was admitted; `None` if the node refused the try
    /// because it had no epoch.
    pub fn record_admission(&mut self, now: Us, try_id: usize, epoch: Option<Epoch>) {
        self.advance(now);
        let (node, sent_at) = (self.tries[try_id].node, self.tries[try_id].sent_at);
        let Some(epochs) = &mut self.epochs else { return };
        let breaches = match epoch {
            Some(epoch) => epochs.record_admission(now, node, try_id, epoch, sent_at),
            None => {
                epochs.record_refusal();
                Vec::new()
            }
        };
        self.record_breaches(now, breaches);
    }

    /// Records that an operator proposed a policy; returns the proposal's number.
    pub fn policy_proposed(&mut self, now: Us) -> usize {
        self.advance(now);
        let running = self.nodes.iter().map(|n| n.running).collect();
        self.epochs.as_mut().map_or(0, |epochs| epochs.record_proposal(now, running))
    }

    /// Records the outcome of a proposal.
    pub fn policy_ended(&mut self, now: Us, proposal: usize, outcome: Outcome) {
        self.advance(now);
        if let Some(epochs) = &mut self.epochs {
            epochs.record_outcome(now, proposal, outcome);
        }
    }

    /// Records for how long no write succeeded after a fault hit the leader; `None` if that lasted until the end.
    pub fn record_write_gap(&mut self, gap: Option<Us>) {
        if let Some(epochs) = &mut self.epochs {
            epochs.record_write_gap(gap);
        }
    }

    /// Records the newest epoch that the replicas agree on at the end of the run; `None` if no majority runs.
    pub fn record_final_epoch(&mut self, now: Us, agreed: Option<Epoch>) {
        self.advance(now);
        let breaches = self.epochs.as_ref().map_or(Vec::new(), |epochs| epochs.final_breaches(agreed));
        self.record_breaches(now, breaches);
    }

    /// Newest epoch that was acknowledged to the operator, or 0.
    pub fn acknowledged_epoch(&self) -> Epoch {
        self.epochs.as_ref().and_then(EpochTracker::newest_acknowledged).unwrap_or(0)
    }

    /// Records a breach: a replica's process ended unexpectedly.
    pub fn replica_ended(&mut self, now: Us, replica: usize, reason: String) {
        self.advance(now);
        self.referee.record_breach(
            Rule::Alive,
            now,
            BreachSubject::default(),
            format!("replica r{replica}: {reason}"),
        );
    }

    /// Metrics of the policy changes; `None` without a control group.
    pub fn control_metrics(&self) -> Option<ControlMetrics> {
        self.epochs.as_ref().map(EpochTracker::metrics)
    }

    fn record_breaches(&mut self, now: Us, breaches: Vec<EpochBreach>) {
        for (rule, node, request, reason) in breaches {
            self.referee.record_breach(rule, now, BreachSubject { node, server: None, request }, reason);
        }
    }
}
