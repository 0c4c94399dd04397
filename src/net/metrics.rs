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
    /// whether none are taken, where there is a control group.
    pub fn text(
        &self,
        classes: &[String],
        targets: usize,
        disabled: usize,
        policy: Option<(Option<u64>, bool)>,
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
