//! The metrics that operators read. Each counter is raised in one place, where the counted event happens.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended, as counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered with a server's response.
    Success,
    /// Refused for lack of capacity or of a usable policy.
    Overload,
    /// Failed, or abandoned by its client.
    Error,
}

/// The metric labels of the outcomes, by discriminant.
const OUTCOME_LABELS: [&str; 3] = ["success", "overload", "error"];

/// What a node knows about the votes on servers.
#[derive(Clone, Copy, Debug)]
pub struct VotingStatus {
    /// Servers that this node suspects.
    pub suspects: usize,
    /// Servers that a verdict removes for this node.
    pub removed: usize,
    /// Verdicts would remove too many servers and are ignored.
    pub panic_mode: bool,
    /// The last contact with the group is too old: the node ejects servers by its own evidence.
    pub standalone: bool,
    /// The node suspects too many servers and abstains.
    pub abstains: bool,
    /// Whole milliseconds since a leader last answered; `None` if none has.
    pub last_contact_ms: Option<u64>,
}

/// Counters that run from the start of the process.
pub struct Metrics {
    /// For each class, how many requests ended in each way.
    completed: Vec<[Cell<u64>; 3]>,
    concurrent: Cell<u64>,
    dispatches: Rc<Cell<u64>>,
}

impl Metrics {
    /// All counters at zero.
    pub fn new(classes: usize) -> Rc<Self> {
        let completed = (0..classes).map(|_| Default::default()).collect();
        Rc::new(Self { completed, concurrent: Cell::new(0), dispatches: Rc::default() })
    }

    /// Counts a request as open until the guard is dropped.
    pub fn begin_request(self: &Rc<Self>, class: usize) -> RequestGuard {
        self.concurrent.set(self.concurrent.get() + 1);
        RequestGuard { metrics: self.clone(), class, outcome: RequestOutcome::Error }
    }

    /// The counter of attempts that were written to a server completely.
    pub fn dispatches(&self) -> Rc<Cell<u64>> {
        self.dispatches.clone()
    }

    /// All metrics, one `edge_balancer.NAME=VALUE` a line. `classes` are the names of the classes; `targets` is the
    /// number of listed servers and `disabled` how many of those nothing is sent to. `policy` is there if the node
    /// follows a control group: the epoch in force, if one is known, and whether new requests are refused. `votes`
    /// is there while the agreed policy has votes.
    pub fn render(
        &self,
        classes: &[String],
        targets: usize,
        disabled: usize,
        policy: Option<(Option<u64>, bool)>,
        votes: Option<VotingStatus>,
    ) -> String {
        let mut text = String::new();
        let mut write_line = |name: &str, value: u64| {
            // Writing to a `String` cannot fail.
            let _ = writeln!(text, "edge_balancer.{name}={value}");
        };
        for (class, counts) in classes.iter().zip(&self.completed) {
            for (outcome, count) in OUTCOME_LABELS.iter().zip(counts) {
                write_line(&format!("replies.{class}.{outcome}"), count.get());
            }
        }
        write_line("dispatches", self.dispatches.get());
        write_line("concurrent", self.concurrent.get());
        write_line("targets", targets as u64);
        write_line("targets_disabled", disabled as u64);
        if let Some((epoch, held)) = policy {
            if let Some(epoch) = epoch {
                write_line("policy.epoch", epoch);
            }
            write_line("policy.held", held.into());
        }
        if let Some(votes) = votes {
            write_line("votes.suspects", votes.suspects as u64);
            write_line("votes.removed", votes.removed as u64);
            write_line("votes.panic", votes.panic_mode.into());
            write_line("votes.alone", votes.standalone.into());
            write_line("votes.doubts", votes.abstains.into());
            if let Some(age) = votes.last_contact_ms {
                write_line("votes.word_age_ms", age);
            }
        }
        text
    }
}

/// An open request; dropping this counts its end.
pub struct RequestGuard {
    metrics: Rc<Metrics>,
    class: usize,
    /// What the request is counted as if it ends now.
    pub outcome: RequestOutcome,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let (metrics, outcome) = (&self.metrics, self.outcome as usize);
        metrics.concurrent.set(metrics.concurrent.get() - 1);
        let count = &metrics.completed[self.class][outcome];
        count.set(count.get() + 1);
    }
}
