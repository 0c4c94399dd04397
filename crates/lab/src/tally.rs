//! Counters of a run. Those of requests go by class and by the second in which the first try was sent.

use crate::server::Us;

/// How a request ended for its client. The order is that of [`Window::outcomes`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// Served within the target time.
    InTime,
    /// Served later.
    Late,
    /// Refused, and not retried further.
    Refused,
    /// Failed, and not retried further.
    Failed,
    /// The client gave up or left without an answer.
    Unanswered,
}

/// The requests of one class that were first sent in one second.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// The number of requests by outcome, in the order of [`RequestOutcome`].
    pub outcomes: [u64; 5],
    /// The worth of all requests.
    pub offered_worth: f64,
    /// The worth of the requests served in time.
    pub served_worth: f64,
    /// The times from the first try to the answer of served requests, in microseconds.
    pub latencies_us: Vec<u32>,
}

/// Counters of one second over all nodes and servers.
#[derive(Clone, Debug, Default)]
pub struct SecondCounts {
    /// Tries of clients.
    pub tries: u64,
    /// Attempts of nodes that reached a server.
    pub attempts: u64,
    /// The attempts that a server turned away.
    pub turned_away: u64,
    /// New connections to servers.
    pub connections: u64,
    /// Connections that a server refused.
    pub refused_connections: u64,
}

/// All counters of a run.
#[derive(Debug, Default)]
pub struct Tally {
    /// By class, then by second.
    pub windows: Vec<Vec<Window>>,
    /// By second.
    pub seconds: Vec<SecondCounts>,
    /// Attempts by server, then by second.
    pub attempts_by_server: Vec<Vec<u32>>,
    /// Attempts that crossed zones.
    pub cross_zone_attempts: u64,
    /// The worth of requests that ended unserved after their target time had passed.
    pub failed_late: f64,
    /// The work of served requests, in time or late.
    pub useful_work: f64,
    /// The work of all requests, each counted once.
    pub offered_work: f64,
    /// Answers that came after the client's timeout and its slack.
    pub overdue_answers: u64,
    /// New connections that a node closed without an answer.
    pub unanswered_closes: u64,
    /// Attempts that failed or were cancelled: at faulty servers, and at healthy ones.
    pub failed_attempts: [u64; 2],
    /// The servers that were in congestion collapse at some time.
    pub choked_servers: std::collections::BTreeSet<usize>,
}

/// The element of a second; the list grows to hold it.
fn element<T: Clone + Default>(of: &mut Vec<T>, second: usize) -> &mut T {
    if of.len() <= second {
        of.resize(second + 1, T::default());
    }
    &mut of[second]
}

impl Tally {
    /// Counters at zero, for a number of classes.
    pub fn new(classes: usize) -> Self {
        Self { windows: vec![Vec::new(); classes], ..Self::default() }
    }

    /// The counters of the second of a time.
    pub fn second_mut(&mut self, now: Us) -> &mut SecondCounts {
        element(&mut self.seconds, (now / 1_000_000) as usize)
    }

    /// Records a request whose first try is sent at `first_sent`.
    pub fn record_request(&mut self, class: usize, first_sent: Us, worth: f64) {
        element(&mut self.windows[class], (first_sent / 1_000_000) as usize).offered_worth += worth;
    }

    /// Records how a request ended, and its time from the first try, which was sent at `first_sent`.
    pub fn record_outcome(
        &mut self,
        class: usize,
        first_sent: Us,
        worth: f64,
        outcome: RequestOutcome,
        latency: Us,
    ) {
        let window = element(&mut self.windows[class], (first_sent / 1_000_000) as usize);
        window.outcomes[outcome as usize] += 1;
        if outcome == RequestOutcome::InTime {
            window.served_worth += worth;
        }
        if matches!(outcome, RequestOutcome::InTime | RequestOutcome::Late) {
            window.latencies_us.push(latency.min(u64::from(u32::MAX)) as u32);
        }
    }

    /// Records that an attempt reached a server, from another zone or not.
    pub fn record_attempt(&mut self, now: Us, server: usize, cross_zone: bool) {
        self.second_mut(now).attempts += 1;
        self.cross_zone_attempts += u64::from(cross_zone);
        *element(element(&mut self.attempts_by_server, server), (now / 1_000_000) as usize) += 1;
    }

    /// How unevenly attempts are spread: the attempts at the busiest server over the mean of all servers that got any,
    /// in the worst window of `span` seconds. The run's `length` in seconds is split into such windows.
    pub fn load_imbalance(&self, span: usize, length: usize) -> f64 {
        let window = |from: usize| {
            let sum = |load: &Vec<u32>| load.iter().skip(from).take(span).sum::<u32>();
            let loads: Vec<u32> = self.attempts_by_server.iter().map(sum).filter(|sum| *sum > 0).collect();
            let mean = f64::from(loads.iter().sum::<u32>()) / loads.len().max(1) as f64;
            f64::from(loads.iter().copied().max().unwrap_or(0)) / mean.max(f64::MIN_POSITIVE)
        };
        (0..(length / span).max(1)).map(|n| window(n * span)).fold(0.0, f64::max)
    }

    /// The worth served in time over the worth of all requests, of some classes and a span of seconds.
    pub fn served_share(&self, classes: impl Iterator<Item = usize>, seconds: std::ops::Range<usize>) -> f64 {
        let (mut offered, mut served) = (0.0, 0.0);
        for class in classes {
            for window in self.windows[class].iter().take(seconds.end).skip(seconds.start) {
                offered += window.offered_worth;
                served += window.served_worth;
            }
        }
        if offered > 0.0 {
            served / offered
        } else {
            1.0
        }
    }

    /// The smallest [`Tally::served_share`] of all classes in any `span` consecutive seconds of a run of `length`
    /// seconds.
    pub fn worst_served_share(&self, span: usize, length: usize) -> f64 {
        let last = length.saturating_sub(span.min(length));
        let shares =
            (0..=last).map(|from| self.served_share(0..self.windows.len(), from..(from + span).min(length)));
        shares.fold(1.0, f64::min)
    }
}
