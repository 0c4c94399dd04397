//! What is counted while an experiment runs, by class and second of asking.

use crate::server::Us;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// Served within the aim.
    InTime,
    /// Served after it.
    Late,
    /// Refused at last.
    Refused,
    /// Failed at last.
    Failed,
    /// Given up, or left, without an answer.
    Unanswered,
}

/// One class's requests of one second.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// How many ended in which way, in the order of [`RequestOutcome`].
    pub outcomes: [u64; 5],
    /// Worth asked for.
    pub offered_worth: f64,
    /// Worth served in time.
    pub served_worth: f64,
    /// The times to the answers that were served, in microseconds.
    pub latencies_us: Vec<u32>,
}

/// Counts of one second over all nodes and servers.
#[derive(Clone, Debug, Default)]
pub struct SecondCounts {
    /// Tries of clients.
    pub tries: u64,
    /// Attempts that reached servers' machines.
    pub attempts: u64,
    /// Of those, turned away.
    pub turned_away: u64,
    /// New connections to servers.
    pub connections: u64,
    /// Connections that a server refused.
    pub refused_connections: u64,
}

/// All counts.
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
    /// Worth that ended unserved only after its aim had passed.
    pub failed_late: f64,
    /// Work of answers that reached their client in time or late.
    pub useful_work: f64,
    /// Work asked for, first tries alone.
    pub offered_work: f64,
    /// Answers after the time that the client gave and its slack.
    pub overdue_answers: u64,
    /// New connections that a node closed with no answer.
    pub unanswered_closes: u64,
    /// Attempts that failed or were given up at servers that something was wrong with, and at others.
    pub failed_attempts: [u64; 2],
    /// Servers that were choked by crowding at some time.
    pub choked_servers: std::collections::BTreeSet<usize>,
}

/// The element of a second, made where it is the first of it.
fn at<T: Clone + Default>(of: &mut Vec<T>, second: usize) -> &mut T {
    if of.len() <= second {
        of.resize(second + 1, T::default());
    }
    &mut of[second]
}

impl Tally {
    /// Nothing has happened yet.
    pub fn new(classes: usize) -> Self {
        Self { windows: vec![Vec::new(); classes], ..Self::default() }
    }

    /// The counts of a moment's second.
    pub fn second_mut(&mut self, now: Us) -> &mut SecondCounts {
        at(&mut self.seconds, (now / 1_000_000) as usize)
    }

    /// A request of this worth was asked for.
    pub fn record_request(&mut self, class: usize, when: Us, worth: f64) {
        at(&mut self.windows[class], (when / 1_000_000) as usize).offered_worth += worth;
    }

    /// It ended.
    pub fn record_outcome(&mut self, class: usize, when: Us, worth: f64, end: RequestOutcome, took: Us) {
        let window = at(&mut self.windows[class], (when / 1_000_000) as usize);
        window.outcomes[end as usize] += 1;
        if end == RequestOutcome::InTime {
            window.served_worth += worth;
        }
        if matches!(end, RequestOutcome::InTime | RequestOutcome::Late) {
            window.latencies_us.push(took.min(u64::from(u32::MAX)) as u32);
        }
    }

    /// An attempt reached a server's machine.
    pub fn record_attempt(&mut self, now: Us, server: usize, crossed: bool) {
        self.second_mut(now).attempts += 1;
        self.cross_zone_attempts += u64::from(crossed);
        *at(at(&mut self.attempts_by_server, server), (now / 1_000_000) as usize) += 1;
    }

    /// How unevenly attempts are spread: those at the server that gets most of them over the mean of all that get any,
    /// in the worst of the windows of `span` seconds that `length` seconds have.
    pub fn load_imbalance(&self, span: usize, length: usize) -> f64 {
        let window = |from: usize| {
            let sum = |load: &Vec<u32>| load.iter().skip(from).take(span).sum::<u32>();
            let loads: Vec<u32> = self.attempts_by_server.iter().map(sum).filter(|sum| *sum > 0).collect();
            let mean = f64::from(loads.iter().sum::<u32>()) / loads.len().max(1) as f64;
            f64::from(loads.iter().copied().max().unwrap_or(0)) / mean.max(f64::MIN_POSITIVE)
        };
        (0..(length / span).max(1)).map(|n| window(n * span)).fold(0.0, f64::max)
    }

    /// Worth served over worth asked for, of some classes and a span of seconds.
    pub fn served_share(&self, classes: impl Iterator<Item = usize>, seconds: std::ops::Range<usize>) -> f64 {
        let (mut asked, mut served) = (0.0, 0.0);
        for class in classes {
            for window in self.windows[class].iter().take(seconds.end).skip(seconds.start) {
                asked += window.offered_worth;
                served += window.served_worth;
            }
        }
        if asked > 0.0 {
            served / asked
        } else {
            1.0
        }
    }

    /// The worst share of any `span` seconds in a row, of `length` seconds.
    pub fn worst_served_share(&self, span: usize, length: usize) -> f64 {
        let last = length.saturating_sub(span.min(length));
        let shares =
            (0..=last).map(|from| self.served_share(0..self.windows.len(), from..(from + span).min(length)));
        shares.fold(1.0, f64::min)
    }
}
