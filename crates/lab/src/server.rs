//! One app server as a pure state machine over a virtual clock.
//!
//! Requests run first come first served, one to a core, with a bounded queue; one more is turned away. What it gets
//! done depends on its speed, how warm it is, slow spells, what another program takes, how many requests and
//! connections it holds, and whether crowding has choked it. Sent too much while cold, it falls over and stays down.

use std::collections::VecDeque;

/// A time or a span, in microseconds from the run's start.
pub type Us = u64;

/// While a server warms up its capacity is taken as constant for this long.
const WARMING_STEP: Us = 20_000;
/// What the fall rule allows beyond the budget, for chance: work in microseconds.
const FALL_SLACK: f64 = 200_000.0;

/// What a server is like. Work is in microseconds of one core at speed 1.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerParameters {
    /// Cores.
    pub cores: usize,
    /// Work that a core gets done in a microsecond.
    pub speed: f64,
    /// Requests that may wait.
    pub max_waiting: usize,
    /// Held requests for each core from which on it works less well ...
    pub thrash_threshold: f64,
    /// ... by this part for each further one.
    pub thrash_slowdown: f64,
    /// Capacity at the start, as a share.
    pub initial_warmth: f64,
    /// It is warm after this.
    pub warm_up: Us,
    /// The share of requests that fail.
    pub error_rate: f64,
    /// A cancelled request that waits is dropped.
    pub drops_cancelled: bool,
    /// The connections that it accepts.
    pub max_connections: usize,
    /// The share of capacity that a full table of them takes.
    pub connection_overhead: f64,
    /// The work of a new one.
    pub handshake_work: f64,
    /// Crowding.
    pub choke: ChokeParameters,
    /// The rule on cold servers: it falls when sent this many times its capacity ...
    pub overload_multiple: f64,
    /// ... over this window.
    pub overload_window: Us,
}

/// How a server is choked by crowding.
#[derive(Clone, Debug, PartialEq)]
pub struct ChokeParameters {
    /// More held requests for each core than this ...
    pub threshold: f64,
    /// ... for this long ...
    pub onset: Us,
    /// ... make it slower by this ...
    pub slowdown: f64,
    /// ... until it held fewer than this ...
    pub recovery_threshold: f64,
    /// ... for this long ...
    pub recovery: Us,
    /// ... or this has passed.
    pub max_duration: Us,
}

/// What became of a request that arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It runs or waits.
    Accepted,
    /// There was no room.
    TurnedAway,
    /// It was too much for a cold server, which is down from now on. `told` is the share of the work in the window
    /// that came from nodes which had been told of its start.
    Crashed {
        /// From 0 to 1.
        informed_share: f64,
    },
}

/// What a server was sent while it was cold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdLoad {
    /// The most in a window, as a part of what pushes it over.
    pub peak: f64,
    /// All of it, as work.
    pub sent: f64,
    /// All that it could have done meanwhile, as work.
    pub capacity: f64,
}

#[derive(Debug)]
struct Running {
    job: u64,
    left: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Choked {
    No { crowded: Option<Us> },
    Since { at: Us, rested: Option<Us> },
}

/// A server.
#[derive(Debug)]
pub struct Server {
    parameters: ServerParameters,
    now: Us,
    /// When it started; `None` where it has been warm all along.
    born: Option<Us>,
    running: Vec<Running>,
    waiting: VecDeque<(u64, f64)>,
    slower: f64,
    taken: f64,
    held_connections: usize,
    /// Work of handshakes that the next request to start has to wait for.
    handshakes: f64,
    choked: Choked,
    /// Work that arrived in the fall window: when, how much, from a node that was told of the start.
    pressure: VecDeque<(Us, f64, bool)>,
    cold_load: ColdLoad,
    /// Work that it has done in all.
    done: f64,
}

impl Server {
    /// A server that has been warm for long, or that starts at `born`.
    pub fn new(parameters: ServerParameters, born: Option<Us>) -> Self {
        Self {
            parameters,
            now: born.unwrap_or(0),
            born,
            running: Vec::new(),
            waiting: VecDeque::new(),
            slower: 1.0,
            taken: 0.0,
            held_connections: 0,
            handshakes: 0.0,
            choked: Choked::No { crowded: None },
            pressure: VecDeque::new(),
            cold_load: ColdLoad::default(),
            done: 0.0,
        }
    }

    /// What it is like.
    pub fn parameters(&self) -> &ServerParameters {
        &self.parameters
    }

    /// Requests that run or wait.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Work that it has done in all.
    pub fn work_done(&self) -> f64 {
        self.done
    }

    /// Work that it holds and has not done.
    pub fn backlog(&self) -> f64 {
        self.running.iter().map(|r| r.left).sum::<f64>() + self.waiting.iter().map(|w| w.1).sum::<f64>()
    }

    /// What it was sent while it was cold, up to now.
    pub fn cold_load(&self, now: Us) -> ColdLoad {
        let (f, age) = (&self.parameters, self.born.map_or(0, |born| now.saturating_sub(born)));
        let age = age.min(f.warm_up) as f64;
        let warmths =
            f.initial_warmth * age + (1.0 - f.initial_warmth) * age * age / (2.0 * f.warm_up.max(1) as f64);
        ColdLoad { capacity: f.speed * f.cores as f64 * warmths, ..self.cold_load }
    }

    /// Is it still warming up?
    pub fn is_cold(&self, now: Us) -> bool {
        self.born.is_some_and(|born| now < born + self.parameters.warm_up)
    }

    /// The share of its capacity that it has by its age.
    fn warmth(&self, now: Us) -> f64 {
        let from = self.parameters.initial_warmth;
        match self.born {
            Some(born) if now < born + self.parameters.warm_up => {
                from + (1.0 - from) * now.saturating_sub(born) as f64 / self.parameters.warm_up as f64
            }
            _ => 1.0,
        }
    }

    /// Work that a core gets done in a microsecond, as things are.
    fn rate(&self, now: Us) -> f64 {
        let f = &self.parameters;
        let crowd = (self.in_flight() as f64 / f.cores as f64 - f.thrash_threshold).max(0.0);
        let table = (self.held_connections as f64 / f.max_connections.max(1) as f64).min(1.0);
        let choke = if matches!(self.choked, Choked::Since { .. }) { f.choke.slowdown } else { 1.0 };
        f.speed * self.warmth(now) * (1.0 - self.taken) * (1.0 - f.connection_overhead * table)
            / (self.slower * choke * (1.0 + f.thrash_slowdown * crowd))
    }

    /// Work that it gets done in a microsecond with all cores busy.
    pub fn capacity(&self, now: Us) -> f64 {
        self.rate(now) * self.parameters.cores as f64
    }

    /// Makes it slower by a factor, and lets another program take a share of it.
    pub fn set_slowdown(&mut self, slower: f64, taken: f64) {
        (self.slower, self.taken) = (slower.max(0.01), taken.clamp(0.0, 0.99));
    }

    /// One more connection; false where it has no room for it.
    pub fn connect(&mut self) -> bool {
        if self.held_connections >= self.parameters.max_connections {
            return false;
        }
        self.held_connections += 1;
        self.handshakes += self.parameters.handshake_work;
        true
    }

    /// A connection ended.
    pub fn disconnect(&mut self) {
        self.held_connections = self.held_connections.saturating_sub(1);
    }

    /// A request arrives; [`Server::advance`] must have brought the server to this moment.
    pub fn arrive(&mut self, job: u64, work: f64, told: bool) -> Admission {
        if let Some(informed_share) = self.pressed(work, told) {
            return Admission::Crashed { informed_share };
        }
        if self.running.len() < self.parameters.cores {
            self.start(job, work);
        } else if self.waiting.len() < self.parameters.max_waiting {
            self.waiting.push_back((job, work));
        } else {
            return Admission::TurnedAway;
        }
        self.crowd();
        Admission::Accepted
    }

    /// Notes what a cold server was sent; the told share where it was too much.
    fn pressed(&mut self, work: f64, told: bool) -> Option<f64> {
        let (now, window) = (self.now, self.parameters.overload_window);
        if !self.is_cold(now) {
            self.pressure.clear();
            return None;
        }
        self.pressure.push_back((now, work, told));
        while self.pressure.front().is_some_and(|p| p.0 + window < now) {
            self.pressure.pop_front();
        }
        let sent: f64 = self.pressure.iter().map(|p| p.1).sum();
        let able = self.parameters.speed * self.warmth(now) * self.parameters.cores as f64;
        let budget = self.parameters.overload_multiple * able * window as f64 + FALL_SLACK;
        self.cold_load.sent += work;
        self.cold_load.peak = self.cold_load.peak.max(sent / budget);
        let from_told = || self.pressure.iter().filter(|p| p.2).map(|p| p.1).sum::<f64>() / sent;
        (sent > budget).then(from_told)
    }

    fn start(&mut self, job: u64, work: f64) {
        let left = work + std::mem::take(&mut self.handshakes);
        self.running.push(Running { job, left });
    }

    /// Its node no longer wants this; true where it waited and is dropped.
    pub fn cancel(&mut self, job: u64) -> bool {
        let place = self.waiting.iter().position(|w| w.0 == job);
        let dropped = self.parameters.drops_cancelled && place.is_some();
        if let (true, Some(place)) = (dropped, place) {
            self.waiting.remove(place);
            self.crowd();
        }
        dropped
    }

    /// Looks at how crowded it is, for how long, and what follows.
    fn crowd(&mut self) {
        let (now, choke) = (self.now, &self.parameters.choke);
        let held = self.in_flight() as f64 / self.parameters.cores as f64;
        self.choked = match self.choked {
            Choked::No { crowded } if held > choke.threshold => match crowded {
                Some(since) if now >= since + choke.onset => Choked::Since { at: now, rested: None },
                since => Choked::No { crowded: since.or(Some(now)) },
            },
            Choked::No { .. } => Choked::No { crowded: None },
            Choked::Since { at, .. } if now >= at + choke.max_duration => Choked::No { crowded: None },
            Choked::Since { at, rested } if held < choke.recovery_threshold => match rested {
                Some(since) if now >= since + choke.recovery => Choked::No { crowded: None },
                since => Choked::Since { at, rested: since.or(Some(now)) },
            },
            Choked::Since { at, .. } => Choked::Since { at, rested: None },
        };
    }

    /// Is it slow from crowding?
    pub fn is_choked(&self) -> bool {
        matches!(self.choked, Choked::Since { .. })
    }

    /// When something happens next, if nothing else comes.
    pub fn next_due(&self) -> Option<Us> {
        let f = &self.parameters;
        let choke = match self.choked {
            Choked::No { crowded } => crowded.map(|since| since + f.choke.onset),
            Choked::Since { at, rested } => {
                let most = at + f.choke.max_duration;
                Some(rested.map_or(most, |since| most.min(since + f.choke.recovery)))
            }
        };
        let least = self.running.iter().map(|r| r.left).min_by(f64::total_cmp);
        let done = least.map(|left| {
            let end = self.now + ((left / self.rate(self.now)).ceil() as Us).max(1);
            if self.is_cold(self.now) {
                end.min(self.now + WARMING_STEP)
            } else {
                end
            }
        });
        [choke, done].into_iter().flatten().min().map(|due| due.max(self.now))
    }

    /// Lets time pass; the requests that ended, with when they did.
    pub fn advance(&mut self, to: Us, ended: &mut Vec<(u64, Us)>) {
        while let Some(due) = self.next_due().filter(|due| *due <= to) {
            self.pass(due, ended);
        }
        self.pass(to, ended);
    }

    /// Lets time pass in which the rate is constant.
    fn pass(&mut self, to: Us, ended: &mut Vec<(u64, Us)>) {
        let span = to.saturating_sub(self.now) as f64;
        let step = span * self.rate(self.now);
        self.now = self.now.max(to);
        for running in &mut self.running {
            self.done += step.min(running.left);
            running.left -= step;
        }
        let over = |r: &Running| r.left <= 1e-6;
        ended.extend(self.running.iter().filter(|r| over(r)).map(|r| (r.job, to)));
        self.running.retain(|r| !over(r));
        while self.running.len() < self.parameters.cores {
            let Some((job, work)) = self.waiting.pop_front() else { break };
            self.start(job, work);
        }
        self.crowd();
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

    fn ends(server: &mut Server, to: Us) -> Vec<(u64, Us)> {
        let mut ended = Vec::new();
        server.advance(to, &mut ended);
        ended
    }

    #[test]
    fn two_run_four_wait_and_the_seventh_is_turned_away() {
        let mut server = Server::new(parameters(), None);
        let came: Vec<_> = (0..7).map(|job| server.arrive(job, 10_000.0, true)).collect();
        assert_eq!(came[..6], [Admission::Accepted; 6]);
        assert_eq!(came[6], Admission::TurnedAway);
        assert_eq!(ends(&mut server, 10_000), [(0, 10_000), (1, 10_000)]);
        assert!(server.cancel(5) && !server.cancel(2), "only what waits is dropped");
        assert_eq!(ends(&mut server, 40_000), [(2, 20_000), (3, 20_000), (4, 30_000)]);
        assert_eq!((server.in_flight(), server.work_done().round()), (0, 50_000.0));
    }

    #[test]
    fn a_cold_one_takes_longer_the_colder_it_is() {
        let mut server = Server::new(parameters(), Some(0));
        server.arrive(1, 10_000.0, true);
        let early = ends(&mut server, 1_000_000)[0].1;
        assert!((19_500..20_100).contains(&early), "{early}");
        ends(&mut server, 2_000_000);
        server.arrive(2, 10_000.0, true);
        let later = ends(&mut server, 3_000_000)[0].1 - 2_000_000;
        assert!((13_000..13_400).contains(&later), "at three quarters of its speed: {later}");
    }

    #[test]
    fn a_cold_one_sent_three_times_its_capacity_falls_and_a_warm_one_does_not() {
        let push = |born| {
            let mut server = Server::new(parameters(), born);
            (0..2000u64).find_map(|n| {
                ends(&mut server, n * 2_000);
                match server.arrive(n, 10_000.0, n % 4 != 0) {
                    Admission::Crashed { informed_share } => Some((n * 2_000, informed_share)),
                    _ => None,
                }
            })
        };
        // Five cores' worth of work a second against three times one to one and a half: by 1.5 s or so.
        let (at, told) = push(Some(0)).expect("it falls");
        assert!((900_000..1_600_000).contains(&at) && (0.74..0.76).contains(&told), "{at} {told}");
        assert_eq!(push(None), None);
    }

    #[test]
    fn a_cold_one_s_use_counts_until_it_is_warm() {
        let mut server = Server::new(parameters(), Some(0));
        for n in 0..100 {
            ends(&mut server, n * 50_000);
            server.arrive(n, 30_000.0, true);
        }
        // Cold for 4 s: 80 requests of 30 ms, and 0.75 of a core on average.
        let used = server.cold_load(5_000_000);
        assert_eq!(
            (used.sent, used.capacity),
            (80.0 * 30_000.0, 3_000_000.0 * server.parameters().cores as f64)
        );
        assert!(
            (0.1..0.2).contains(&used.peak),
            "0.6 of a core, over three times 1.2 and the slack: {used:?}"
        );
    }

    #[test]
    fn crowding_for_long_chokes_it_until_it_has_rested() {
        let mut server = Server::new(parameters(), None);
        for job in 0..6 {
            server.arrive(job, 200_000.0, true);
        }
        ends(&mut server, 90_000);
        assert!(!server.is_choked());
        ends(&mut server, 110_000);
        assert!(server.is_choked());
        // 100 ms of work are left of the first two, at half the speed.
        assert_eq!(ends(&mut server, 400_000), [(0, 300_000), (1, 300_000)]);
        let last = ends(&mut server, 1_200_000).last().copied();
        assert_eq!((last, server.is_choked()), (Some((5, 1_100_000)), false), "50 ms after the last");
    }

    #[test]
    fn it_has_room_for_so_many_connections_and_their_work_comes_first() {
        let mut server = Server::new(ServerParameters { handshake_work: 5_000.0, ..parameters() }, None);
        assert_eq!(
            [server.connect(), server.connect(), server.connect(), server.connect()],
            [true, true, true, false]
        );
        server.disconnect();
        assert!(server.connect());
        server.arrive(1, 10_000.0, true);
        assert_eq!(ends(&mut server, 100_000), [(1, 30_000)]);
    }

    #[test]
    fn the_same_inputs_give_the_same_trace_and_none_is_lost() {
        let play = || {
            let mut server = Server::new(ServerParameters { thrash_threshold: 1.0, ..parameters() }, Some(0));
            let mut trace = Vec::new();
            let mut taken = 0;
            for n in 0..300u64 {
                server.advance(n * 7_001, &mut trace);
                server.set_slowdown(if n % 50 < 25 { 1.0 } else { 3.0 }, 0.0);
                taken +=
                    usize::from(server.arrive(n, 1_000.0 * (n % 17) as f64, true) == Admission::Accepted);
            }
            server.advance(60_000_000, &mut trace);
            assert_eq!(trace.len(), taken);
            assert!(trace.is_sorted_by_key(|t| t.1));
            trace
        };
        assert_eq!(play(), play());
    }
}
