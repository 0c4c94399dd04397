//! The figures that operators read. Each counter is raised in one place, where the thing happens.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Success,
    /// Refused.
    Overload,
    /// Failed, or left by its client.
    Error,
}

/// The names of the ends, in their order.
const ENDS: [&str; 3] = ["success", "overload", "error"];

/// What a node knows of votes on servers.
#[derive(Clone, Copy, Debug)]
pub struct Voting {
    /// Servers that it suspects.
    pub suspects: usize,
    /// Servers that a verdict holds for here.
    pub removed: usize,
    /// Too many are out: verdicts are not heeded.
    pub panic: bool,
    /// The group's word is too old: it ejects by its own evidence.
    pub alone: bool,
    /// It suspects too many, and abstains.
    pub doubts: bool,
    /// How long ago a leader answered, in whole milliseconds; `None` where none has.
    pub word_age_ms: Option<u64>,
}

/// Counts from the start of the process on.
pub struct Metrics {
    /// For each class, how many requests ended in which way.
    ended: Vec<[Cell<u64>; 3]>,
    concurrent: Cell<u64>,
    dispatches: Rc<Cell<u64>>,
}

impl Metrics {
    /// Nothing has happened yet.
    pub fn new(classes: usize) -> Rc<Self> {
        let ended = (0..classes).map(|_| Default::default()).collect();
        Rc::new(Self { ended, concurrent: Cell::new(0), dispatches: Rc::default() })
    }

    /// A request was taken.
    pub fn take(self: &Rc<Self>, class: usize) -> Taken {
        self.concurrent.set(self.concurrent.get() + 1);
        Taken { metrics: self.clone(), class, end: End::Error }
    }

    /// The counter of attempts that were written whole.
    pub fn dispatches(&self) -> Rc<Cell<u64>> {
        self.dispatches.clone()
    }

    /// All figures, one a line. `classes` are the names; `targets` and `disabled` how many servers the list has,
    /// and how many of those are avoided; `policy` the epoch that requests are judged by, if one is known, and
    /// whether none are taken, where there is a control group; `votes` what is known of votes on servers, while there
    /// are any.
    pub fn text(
        &self,
        classes: &[String],
        targets: usize,
        disabled: usize,
        policy: Option<(Option<u64>, bool)>,
        votes: Option<Voting>,
    ) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            // A string takes all that is written to it.
            let _ = writeln!(text, "edge_balancer.{name}={value}");
        };
        for (class, ended) in classes.iter().zip(&self.ended) {
            for (end, count) in ENDS.iter().zip(ended) {
                line(&format!("replies.{class}.{end}"), count.get());
            }
        }
        line("dispatches", self.dispatches.get());
        line("concurrent", self.concurrent.get());
        line("targets", targets as u64);
        line("targets_disabled", disabled as u64);
        if let Some((epoch, held)) = policy {
            if let Some(epoch) = epoch {
                line("policy.epoch", epoch);
            }
            line("policy.held", held.into());
        }
        if let Some(votes) = votes {
            line("votes.suspects", votes.suspects as u64);
            line("votes.removed", votes.removed as u64);
            line("votes.panic", votes.panic.into());
            line("votes.alone", votes.alone.into());
            line("votes.doubts", votes.doubts.into());
            if let Some(age) = votes.word_age_ms {
                line("votes.word_age_ms", age);
            }
        }
        text
    }
}

/// A request from when it was taken until its end, which is counted when this is dropped.
pub struct Taken {
    metrics: Rc<Metrics>,
    class: usize,
    /// What it counts as if it ends now.
    pub end: End,
}

impl Drop for Taken {
    fn drop(&mut self) {
        let (metrics, end) = (&self.metrics, self.end as usize);
        metrics.concurrent.set(metrics.concurrent.get() - 1);
        let count = &metrics.ended[self.class][end];
        count.set(count.get() + 1);
    }
}
