//! Model of one app server: a pure state machine over a virtual clock.
//!
//! Requests are served in arrival order, one per core, with a bounded queue; a request that finds the queue full is
//! turned away with 503. The service rate depends on the server's speed, its warm-up, injected slowdowns, the share of
//! CPU that a noisy neighbour takes, the number of requests and connections in flight, and whether the server
//! is in congestion collapse (choked). A cold server that receives far more work than it can do crashes and stays down.

use std::collections::VecDeque;

/// A time since the start of the run, or a duration, in microseconds.
pub type Us = u64;

/// While a server warms up, its service rate is treated as constant over steps of this length.
const WARM_UP_STEP_US: Us = 20_000;
/// Work (µs at speed 1) that a cold server may receive beyond `overload_multiple` before it crashes, so that random
/// clustering of arrivals alone does not crash it.
const OVERLOAD_SLACK_US: f64 = 200_000.0;

/// Parameters of one server. Work is in microseconds of one core at speed 1.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerParameters {
    /// Number of cores.
    pub cores: usize,
    /// Work that one core does per microsecond.
    pub speed: f64,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Requests in flight per core above which the server loses efficiency.
    pub thrash_threshold: f64,
    /// Slowdown per request in flight per core above `thrash_threshold`.
    pub thrash_slowdown: f64,
    /// Share of full capacity that a server has when it starts.
    pub initial_warmth: f64,
    /// Time from start until full capacity.
    pub warm_up: Us,
    /// Share of requests that fail with 500.
    pub error_rate: f64,
    /// Whether a cancelled request is removed from the queue.
    pub drops_cancelled: bool,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Share of capacity lost when the connection table is full; proportional below that.
    pub connection_overhead: f64,
    /// Work of one connection handshake.
    pub handshake_work: f64,
    /// Congestion collapse under too many requests in flight.
    pub choke: ChokeParameters,
    /// A cold server crashes when the work it receives within `overload_window` exceeds this many times its capacity.
    pub overload_multiple: f64,
    /// Length of the window for `overload_multiple`.
    pub overload_window: Us,
}

/// Congestion collapse of a server: too many requests in flight for some time choke it, that is, slow it down until it
/// recovers.
#[derive(Clone, Debug, PartialEq)]
pub struct ChokeParameters {
    /// The server begins to choke above this number of requests in flight per core.
    pub threshold: f64,
    /// How long the requests in flight must stay above `threshold` to choke the server.
    pub onset: Us,
    /// Factor by which a choked server is slower.
    pub slowdown: f64,
    /// A choked server begins to recover below this number of requests in flight per core.
    pub recovery_threshold: f64,
    /// How long the requests in flight must stay below `recovery_threshold` to end the choke.
    pub recovery: Us,
    /// Longest time for which a server stays choked.
    pub max_duration: Us,
}

/// Outcome of a request's arrival at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request runs or waits.
    Accepted,
    /// The queue was full.
    TurnedAway,
    /// The request overloaded a cold server, which crashed and is down from now on. `informed_share` is the share of
    /// the work in the window that came from nodes which had been notified of the server's start.
    Crashed {
        /// From 0 to 1.
        informed_share: f64,
    },
}

/// Work that a server received while it was cold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdLoad {
    /// Highest amount within one window, as a fraction of what crashes the server.
    pub peak: f64,
    /// Total work received.
    pub sent: f64,
    /// Total work that the server could have done in that time.
    pub capacity: f64,
}

/// A request that occupies a core.
#[derive(Debug)]
struct RunningRequest {
    request: u64,
    /// Work left, in microseconds of one core at speed 1.
    remaining_work: f64,
}

/// Whether the server is choked, that is, slowed down by congestion collapse.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ChokeState {
    /// `above_threshold_since` is when the requests in flight rose above [`ChokeParameters::threshold`], if they are
    /// above it.
    Normal { above_threshold_since: Option<Us> },
    /// `below_recovery_since` is when the requests in flight fell below [`ChokeParameters::recovery_threshold`], if
    /// they are below it.
    Choked { since: Us, below_recovery_since: Option<Us> },
}

/// Simulated app server.
#[derive(Debug)]
pub struct Server {
    parameters: ServerParameters,
    now: Us,
    /// Start time; `None` if the server has been warm from the start of the run.
    started_at: Option<Us>,
    running: Vec<RunningRequest>,
    waiting: VecDeque<(u64, f64)>,
    slowdown: f64,
    stolen_share: f64,
    open_connections: usize,
    /// Handshake work that is added to the next request to start.
    pending_handshake_work: f64,
    choke_state: ChokeState,
    /// Work received within the overload window: time, amount, and whether the sending node had been notified of this
    /// server's start.
    cold_arrivals: VecDeque<(Us, f64, bool)>,
    cold_load: ColdLoad,
    /// Total work done.
    work_done: f64,
}

impl Server {
    /// Creates a server that is already warm, or one that starts cold at `started_at`.
    pub fn new(parameters: ServerParameters, started_at: Option<Us>) -> Self {
        Self {
            parameters,
            now: started_at.unwrap_or(0),
            started_at,
            running: Vec::new(),
            waiting: VecDeque::new(),
            slowdown: 1.0,
            stolen_share: 0.0,
            open_connections: 0,
            pending_handshake_work: 0.0,
            choke_state: ChokeState::Normal { above_threshold_since: None },
            cold_arrivals: VecDeque::new(),
            cold_load: ColdLoad::default(),
            work_done: 0.0,
        }
    }

    /// Returns the server's parameters.
    pub fn parameters(&self) -> &ServerParameters {
        &self.parameters
    }

    /// Number of requests that run or wait.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Total work done.
    pub fn work_done(&self) -> f64 {
        self.work_done
    }

    /// Remaining work of all requests that run or wait.
    pub fn backlog(&self) -> f64 {
        self.running.iter().map(|r| r.remaining_work).sum::<f64>()
            + self.waiting.iter().map(|w| w.1).sum::<f64>()
    }

    /// Work received while cold, and the capacity over that time, up to `now`.
    pub fn cold_load(&self, now: Us) -> ColdLoad {
        let (parameters, age) =
            (&self.parameters, self.started_at.map_or(0, |started_at| now.saturating_sub(started_at)));
        let age = age.min(parameters.warm_up) as f64;
        let average_warmth_time = parameters.initial_warmth * age
            + (1.0 - parameters.initial_warmth) * age * age / (2.0 * parameters.warm_up.max(1) as f64);
        ColdLoad {
            capacity: parameters.speed * parameters.cores as f64 * average_warmth_time,
            ..self.cold_load
        }
    }

    /// Whether the server is still warming up.
    pub fn is_cold(&self, now: Us) -> bool {
        self.started_at.is_some_and(|started_at| now < started_at + self.parameters.warm_up)
    }

    /// Share of full capacity that the server has at its age.
    fn warmth(&self, now: Us) -> f64 {
        let from = self.parameters.initial_warmth;
        match self.started_at {
            Some(started_at) if now < started_at + self.parameters.warm_up => {
                from + (1.0 - from) * now.saturating_sub(started_at) as f64 / self.parameters.warm_up as f64
            }
            _ => 1.0,
        }
    }

    /// Work that one core does per microsecond in the current state.
    fn rate(&self, now: Us) -> f64 {
        let parameters = &self.parameters;
        let excess =
            (self.in_flight() as f64 / parameters.cores as f64 - parameters.thrash_threshold).max(0.0);
        let table_fill = (self.open_connections as f64 / parameters.max_connections.max(1) as f64).min(1.0);
        let choke = if matches!(self.choke_state, ChokeState::Choked { .. }) {
            parameters.choke.slowdown
        } else {
            1.0
        };
        parameters.speed
            * self.warmth(now)
            * (1.0 - self.stolen_share)
            * (1.0 - parameters.connection_overhead * table_fill)
            / (self.slowdown * choke * (1.0 + parameters.thrash_slowdown * excess))
    }

    /// Work done per microsecond with all cores busy.
    pub fn capacity(&self, now: Us) -> f64 {
        self.rate(now) * self.parameters.cores as f64
    }

    /// Sets the factor by which the server is slowed down, and the share of its CPU that another program takes.
    pub fn set_slowdown(&mut self, slowdown: f64, stolen_share: f64) {
        (self.slowdown, self.stolen_share) = (slowdown.max(0.01), stolen_share.clamp(0.0, 0.99));
    }

    /// Opens a connection; returns false if the connection table is full.
    pub fn connect(&mut self) -> bool {
        if self.open_connections >= self.parameters.max_connections {
            return false;
        }
        self.open_connections += 1;
        self.pending_handshake_work += self.parameters.handshake_work;
        true
    }

    /// Closes a connection.
    pub fn disconnect(&mut self) {
        self.open_connections = self.open_connections.saturating_sub(1);
    }

    /// Handles the arrival of a request; [`Server::advance`] must have been called for this moment. `informed` tells
    /// whether the sending node had been notified of this server's start.
    pub fn arrive(&mut self, request: u64, work: f64, informed: bool) -> Admission {
        if let Some(informed_share) = self.record_cold_arrival(work, informed) {
            return Admission::Crashed { informed_share };
        }
        if self.running.len() < self.parameters.cores {
            self.start(request, work);
        } else if self.waiting.len() < self.parameters.max_waiting {
            self.waiting.push_back((request, work));
        } else {
            return Admission::TurnedAway;
        }
        self.update_choke_state();
        Admission::Accepted
    }

    /// Records work that arrives at a cold server. Returns the share that came from informed nodes if the server is
    /// now overloaded.
    fn record_cold_arrival(&mut self, work: f64, informed: bool) -> Option<f64> {
        let (now, window) = (self.now, self.parameters.overload_window);
        if !self.is_cold(now) {
            self.cold_arrivals.clear();
            return None;
        }
        self.cold_arrivals.push_back((now, work, informed));
        while self.cold_arrivals.front().is_some_and(|p| p.0 + window < now) {
            self.cold_arrivals.pop_front();
        }
        let sent: f64 = self.cold_arrivals.iter().map(|p| p.1).sum();
        let capacity = self.parameters.speed * self.warmth(now) * self.parameters.cores as f64;
        let budget = self.parameters.overload_multiple * capacity * window as f64 + OVERLOAD_SLACK_US;
        self.cold_load.sent += work;
        self.cold_load.peak = self.cold_load.peak.max(sent / budget);
        let informed_share = || self.cold_arrivals.iter().filter(|p| p.2).map(|p| p.1).sum::<f64>() / sent;
        (sent > budget).then(informed_share)
    }

    /// Starts a request on a free core.
    fn start(&mut self, request: u64, work: f64) {
        let remaining_work = work + std::mem::take(&mut self.pending_handshake_work);
        self.running.push(RunningRequest { request, remaining_work });
    }

    /// Cancels a request for its node; returns true if it was waiting and was dropped.
    pub fn cancel(&mut self, request: u64) -> bool {
        let position = self.waiting.iter().position(|w| w.0 == request);
        let dropped = self.parameters.drops_cancelled && position.is_some();
        if let (true, Some(position)) = (dropped, position) {
            self.waiting.remove(position);
            self.update_choke_state();
        }
        dropped
    }

    /// Updates the choke state from the current number of requests in flight, and from how long it has been above or
    /// below the thresholds.
    fn update_choke_state(&mut self) {
        let (now, choke) = (self.now, &self.parameters.choke);
        let in_flight = self.in_flight() as f64 / self.parameters.cores as f64;
        self.choke_state = match self.choke_state {
            ChokeState::Normal { above_threshold_since } if in_flight > choke.threshold => {
                match above_threshold_since {
                    Some(since) if now >= since + choke.onset => {
                        ChokeState::Choked { since: now, below_recovery_since: None }
                    }
                    since => ChokeState::Normal { above_threshold_since: since.or(Some(now)) },
                }
            }
            ChokeState::Normal { .. } => ChokeState::Normal { above_threshold_since: None },
            ChokeState::Choked { since, .. } if now >= since + choke.max_duration => {
                ChokeState::Normal { above_threshold_since: None }
            }
            ChokeState::Choked { since, below_recovery_since } if in_flight < choke.recovery_threshold => {
                match below_recovery_since {
                    Some(below_since) if now >= below_since + choke.recovery => {
                        ChokeState::Normal { above_threshold_since: None }
                    }
                    below_since => {
                        ChokeState::Choked { since, below_recovery_since: below_since.or(Some(now)) }
                    }
                }
            }
            ChokeState::Choked { since, .. } => ChokeState::Choked { since, below_recovery_since: None },
        };
    }

    /// Whether the server is in congestion collapse.
    pub fn is_choked(&self) -> bool {
        matches!(self.choke_state, ChokeState::Choked { .. })
    }

    /// Time of the next state change if no request arrives before it.
    pub fn next_due(&self) -> Option<Us> {
        let parameters = &self.parameters;
        let choke = match self.choke_state {
            ChokeState::Normal { above_threshold_since } => {
                above_threshold_since.map(|since| since + parameters.choke.onset)
            }
            ChokeState::Choked { since, below_recovery_since } => {
                let latest = since + parameters.choke.max_duration;
                Some(
                    below_recovery_since
                        .map_or(latest, |below_since| latest.min(below_since + parameters.choke.recovery)),
                )
            }
        };
        let min_remaining_work = self.running.iter().map(|r| r.remaining_work).min_by(f64::total_cmp);
        let done = min_remaining_work.map(|remaining_work| {
            let end = self.now + ((remaining_work / self.rate(self.now)).ceil() as Us).max(1);
            if self.is_cold(self.now) {
                end.min(self.now + WARM_UP_STEP_US)
            } else {
                end
            }
        });
        [choke, done].into_iter().flatten().min().map(|due| due.max(self.now))
    }

    /// Advances the clock to `to`, and appends the requests that ended and their end times.
    pub fn advance(&mut self, to: Us, ended: &mut Vec<(u64, Us)>) {
        while let Some(due) = self.next_due().filter(|due| *due <= to) {
            self.advance_constant_rate(due, ended);
        }
        self.advance_constant_rate(to, ended);
    }

    /// Advances the clock over a span with a constant service rate.
    fn advance_constant_rate(&mut self, to: Us, ended: &mut Vec<(u64, Us)>) {
        let span = to.saturating_sub(self.now) as f64;
        let step = span * self.rate(self.now);
        self.now = self.now.max(to);
        for running in &mut self.running {
            self.work_done += step.min(running.remaining_work);
            running.remaining_work -= step;
        }
        let is_done = |r: &RunningRequest| r.remaining_work <= 1e-6;
        ended.extend(self.running.iter().filter(|r| is_done(r)).map(|r| (r.request, to)));
        self.running.retain(|r| !is_done(r));
        while self.running.len() < self.parameters.cores {
            let Some((request, work)) = self.waiting.pop_front() else { break };
            self.start(request, work);
        }
        self.update_choke_state();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parameters() -> ServerParameters {
        ServerParameters {
            cores: 2,
            speed: 1.0,
            max_waiting: 4,
            thrash_threshold: 100.0,
            thrash_slowdown: 0.1,
            initial_warmth: 0.5,
            warm_up: 4_000_000,
            error_rate: 0.0,
            drops_cancelled: true,
            max_connections: 3,
            connection_overhead: 0.0,
            handshake_work: 0.0,
            choke: ChokeParameters {
                threshold: 2.0,
                onset: 100_000,
                slowdown: 2.0,
                recovery_threshold: 0.5,
                recovery: 50_000,
                max_duration: 9_000_000,
            },
            overload_multiple: 3.0,
            overload_window: 1_500_000,
        }
    }

    fn advance_to(server: &mut Server, to: Us) -> Vec<(u64, Us)> {
        let mut ended = Vec::new();
        server.advance(to, &mut ended);
        ended
    }

    #[test]
    fn a_request_beyond_cores_and_queue_is_turned_away() {
        let mut server = Server::new(parameters(), None);
        let admissions: Vec<_> = (0..7).map(|request| server.arrive(request, 10_000.0, true)).collect();
        assert_eq!(admissions[..6], [Admission::Accepted; 6]);
        assert_eq!(admissions[6], Admission::TurnedAway);
        assert_eq!(advance_to(&mut server, 10_000), [(0, 10_000), (1, 10_000)]);
        assert!(server.cancel(5) && !server.cancel(2), "only a waiting request is dropped");
        assert_eq!(advance_to(&mut server, 40_000), [(2, 20_000), (3, 20_000), (4, 30_000)]);
        assert_eq!((server.in_flight(), server.work_done().round()), (0, 50_000.0));
    }

    #[test]
    fn service_time_shrinks_as_a_cold_server_warms_up() {
        let mut server = Server::new(parameters(), Some(0));
        server.arrive(1, 10_000.0, true);
        let early = advance_to(&mut server, 1_000_000)[0].1;
        assert!((19_500..20_100).contains(&early), "{early}");
        advance_to(&mut server, 2_000_000);
        server.arrive(2, 10_000.0, true);
        let later = advance_to(&mut server, 3_000_000)[0].1 - 2_000_000;
        assert!((13_000..13_400).contains(&later), "at 3/4 of full speed: {later}");
    }

    #[test]
    fn a_cold_server_sent_three_times_its_capacity_crashes_and_a_warm_one_does_not() {
        let overload = |started_at| {
            let mut server = Server::new(parameters(), started_at);
            (0..2000u64).find_map(|n| {
                advance_to(&mut server, n * 2_000);
                match server.arrive(n, 10_000.0, n % 4 != 0) {
                    Admission::Crashed { informed_share } => Some((n * 2_000, informed_share)),
                    _ => None,
                }
            })
        };
        // 5 core-seconds of work arrive per second; the budget is 3 times a capacity of 1 to 1.5.
        let (crashed_at, informed_share) = overload(Some(0)).expect("the server crashes");
        assert!(
            (900_000..1_600_000).contains(&crashed_at) && (0.74..0.76).contains(&informed_share),
            "{crashed_at} {informed_share}"
        );
        assert_eq!(overload(None), None);
    }

    #[test]
    fn cold_load_counts_only_until_the_server_is_warm() {
        let mut server = Server::new(parameters(), Some(0));
        for n in 0..100 {
            advance_to(&mut server, n * 50_000);
            server.arrive(n, 30_000.0, true);
        }
        // Cold for 4 s: 80 requests of 30 ms, and on average 0.75 of each core.
        let used = server.cold_load(5_000_000);
        assert_eq!(
            (used.sent, used.capacity),
            (80.0 * 30_000.0, 3_000_000.0 * server.parameters().cores as f64)
        );
        assert!(
            (0.1..0.2).contains(&used.peak),
            "0.6 of a core against 3 times 1.2 cores plus the slack: {used:?}"
        );
    }

    #[test]
    fn too_many_requests_in_flight_choke_a_server_until_it_recovers() {
        let mut server = Server::new(parameters(), None);
        for request in 0..6 {
            server.arrive(request, 200_000.0, true);
        }
        advance_to(&mut server, 90_000);
        assert!(!server.is_choked());
        advance_to(&mut server, 110_000);
        assert!(server.is_choked());
        // The first two have 100 ms of work left, at half speed.
        assert_eq!(advance_to(&mut server, 400_000), [(0, 300_000), (1, 300_000)]);
        let last = advance_to(&mut server, 1_200_000).last().copied();
        assert_eq!((last, server.is_choked()), (Some((5, 1_100_000)), false), "50 ms after the last");
    }

    #[test]
    fn connections_are_limited_and_handshakes_delay_the_next_request() {
        let mut server = Server::new(ServerParameters { handshake_work: 5_000.0, ..parameters() }, None);
        assert_eq!(
            [server.connect(), server.connect(), server.connect(), server.connect()],
            [true, true, true, false]
        );
        server.disconnect();
        assert!(server.connect());
        server.arrive(1, 10_000.0, true);
        assert_eq!(advance_to(&mut server, 100_000), [(1, 30_000)]);
    }

    #[test]
    fn equal_inputs_give_equal_traces_and_no_request_is_lost() {
        let run = || {
            let mut server = Server::new(ServerParameters { thrash_threshold: 1.0, ..parameters() }, Some(0));
            let mut trace = Vec::new();
            let mut accepted = 0;
            for n in 0..300u64 {
                server.advance(n * 7_001, &mut trace);
                server.set_slowdown(if n % 50 < 25 { 1.0 } else { 3.0 }, 0.0);
                accepted +=
                    usize::from(server.arrive(n, 1_000.0 * (n % 17) as f64, true) == Admission::Accepted);
            }
            server.advance(60_000_000, &mut trace);
            assert_eq!(trace.len(), accepted);
            assert!(trace.is_sorted_by_key(|t| t.1));
            trace
        };
        assert_eq!(run(), run());
    }
}
