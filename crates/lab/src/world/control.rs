//! Changes of policy: what operators asked for, and under which epoch each request was admitted.

use member::Epoch;

use super::*;
use crate::epochs::{ControlMetrics, EpochBreach, Outcome};

impl World {
    /// A control group agrees on the nodes' policy; a request may be admitted under an older epoch for `bound` once a
    /// newer one is in force.
    pub fn expect_epochs(&mut self, bound: Us) {
        self.epochs = Some(EpochTracker::new(bound, self.nodes.len()));
    }

    /// A node's answer to a client's try says under which epoch it was admitted; `None` where it was held back for want
    /// of one.
    pub fn record_admission(&mut self, now: Us, ask: usize, epoch: Option<Epoch>) {
        self.advance(now);
        let (node, sent) = (self.tries[ask].node, self.tries[ask].at);
        let Some(epochs) = &mut self.epochs else { return };
        let found = match epoch {
            Some(epoch) => epochs.record_admission(now, node, ask, epoch, sent),
            None => {
                epochs.record_refusal();
                Vec::new()
            }
        };
        self.note_all(now, found);
    }

    /// Operators ask for a policy; the wish's number.
    pub fn policy_proposed(&mut self, now: Us) -> usize {
        self.advance(now);
        let running = self.nodes.iter().map(|n| n.running).collect();
        self.epochs.as_mut().map_or(0, |epochs| epochs.record_proposal(now, running))
    }

    /// What became of a wish.
    pub fn policy_ended(&mut self, now: Us, wish: usize, outcome: Outcome) {
        self.advance(now);
        if let Some(epochs) = &mut self.epochs {
            epochs.record_outcome(now, wish, outcome);
        }
    }

    /// How long nothing could be written after the leader was struck; `None` where it went on to the end.
    pub fn record_write_gap(&mut self, gap: Option<Us>) {
        if let Some(epochs) = &mut self.epochs {
            epochs.record_write_gap(gap);
        }
    }

    /// The play is over; the newest epoch that the replicas know, `None` where none answers.
    pub fn record_final_epoch(&mut self, now: Us, agreed: Option<Epoch>) {
        self.advance(now);
        let found = self.epochs.as_ref().map_or(Vec::new(), |epochs| epochs.final_breaches(agreed));
        self.note_all(now, found);
    }

    /// The newest epoch that was acknowledged to the operator.
    pub fn acknowledged_epoch(&self) -> Epoch {
        self.epochs.as_ref().and_then(EpochTracker::newest_acknowledged).unwrap_or(0)
    }

    /// A replica's process ended by itself.
    pub fn replica_ended(&mut self, now: Us, replica: usize, words: String) {
        self.advance(now);
        self.referee.record_breach(
            Rule::Alive,
            now,
            BreachSubject::default(),
            format!("replica r{replica}: {words}"),
        );
    }

    /// What came of the changes of policy; `None` where no group agrees on any.
    pub fn control_metrics(&self) -> Option<ControlMetrics> {
        self.epochs.as_ref().map(EpochTracker::metrics)
    }

    fn note_all(&mut self, now: Us, found: Vec<EpochBreach>) {
        for (rule, node, request, words) in found {
            self.referee.record_breach(rule, now, BreachSubject { node, server: None, request }, words);
        }
    }
}
