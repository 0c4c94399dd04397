//! What came of a run: figures, whether what must hold did, and the file that keeps both.
//!
//! `result.json` has [`SCHEMA`] as its version: fields may be added under one version, never renamed or given another
//! meaning. Times are in the unit that their name ends with; shares go from 0 to 1.

use std::fmt;
use std::path::Path;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::draw::Draw;
use crate::epochs::{ChangeMetrics, ControlMetrics, Outcome};
use crate::error::{read_json, FileError};
use crate::live::CompletedRun;
use crate::plan::{FaultKind, Plan};
use crate::referee::Breach;
use crate::removals::VoteMetrics;
use crate::tally::Tally;
use crate::world::World;

/// The version of the file's form.
pub const SCHEMA: u32 = 1;
/// The lab's own lateness from which on a run does not count: its 99th percentile, in ms.
pub const MAX_LAB_LATENESS_MS: f64 = 5.0;
/// The worst stretch that counts, in seconds.
const STRETCH: usize = 10;
/// The windows in which the spread of attempts is looked at, in seconds.
const SPREAD_OVER: usize = 5;
/// Service is back when it has this share of what it had in the seconds before a fault ...
const BACK: f64 = 0.95;
/// ... so many seconds before ...
const BEFORE: usize = 5;
/// ... for so many seconds in a row.
const IN_A_ROW: usize = 2;

/// A run's result.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunResult {
    /// The form's version.
    pub schema: u32,
    /// The experiment.
    pub name: String,
    /// The draw.
    pub seed: u64,
    /// How long clients came.
    pub length_s: f64,
    /// Nodes, servers and zones.
    pub fleet: FleetSize,
    /// What was served.
    pub service: Service,
    /// What the policies of the virtual clock serve on this draw.
    pub baselines: Baselines,
    /// By class.
    pub classes: Vec<ClassResult>,
    /// What it cost.
    pub cost: Cost,
    /// By second of asking.
    pub seconds: Vec<SecondResult>,
    /// Attempts a second, by server and second.
    pub server_load: Vec<Vec<u32>>,
    /// The faults, and how long service took to be back.
    pub faults: Vec<FaultResult>,
    /// What came of the changes of policy, where a control group agrees on them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<ControlMetrics>,
    /// What came of votes on servers, where the group was heard of them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub votes: Option<VoteMetrics>,
    /// How many rules were broken, and the first of them.
    pub breaches: usize,
    /// Their words.
    #[serde(rename = "broken")]
    pub first_breaches: Vec<Breach>,
    /// The lab's own lateness and load.
    pub lab: LabMetrics,
    /// What had to hold.
    #[serde(rename = "held")]
    pub expectations: Vec<ExpectationResult>,
    /// The verdict.
    pub verdict: Verdict,
}

/// How large the fleet was.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct FleetSize {
    /// Nodes.
    pub nodes: usize,
    /// App servers at the start.
    pub servers: usize,
    /// Zones.
    pub zones: usize,
}

/// Shares of the worth asked for that was served within the aim.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Service {
    /// Over the run.
    pub served: f64,
    /// Of the class that was served worst.
    pub worst_class: f64,
    /// Of the worst 10 s.
    pub worst_window: f64,
    /// The mix of these three that counts, less what the run cost.
    pub g: f64,
}

/// What policies serve in the virtual clock.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Baselines {
    /// Random choice among the listed servers.
    pub random: Service,
    /// One that sees the true state of every server.
    pub oracle: Service,
}

/// One class.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClassResult {
    /// Its name.
    pub name: String,
    /// First tries.
    pub requests: u64,
    /// Share of its worth that was served in time.
    pub served: f64,
    /// Requests served in time, late, refused, failed, unanswered.
    pub ends: Ends,
    /// Percentiles of the time to an answer, from the first try on.
    pub took_ms: Percentiles,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Ends {
    /// Served within the aim.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Refused at last.
    pub refused: u64,
    /// Failed at last.
    pub failed: u64,
    /// Given up without an answer.
    pub unanswered: u64,
}

/// Percentiles, in ms.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 90th.
    pub p90: f64,
    /// The 99th.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

/// What it cost.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Cost {
    /// First tries.
    pub requests: u64,
    /// Tries of clients for each first one.
    pub tries: f64,
    /// Attempts for each first try.
    pub attempts: f64,
    /// Attempts that were turned away, as a share.
    pub turned_away: f64,
    /// New connections for each first try.
    pub connections: f64,
    /// Attempts that crossed zones, for each first try.
    pub cross_zone: f64,
    /// Work of servers that no client had anything of, over the work asked for.
    pub wasted: f64,
    /// Worth that ended unserved only after its aim, over the worth asked for.
    pub failed_late: f64,
    /// The share of servers that crowding choked.
    pub overdriven: f64,
    /// Attempts at the server that got most of them, over the mean, in the worst 5 s.
    #[serde(default)]
    pub spread: f64,
    /// Work that a cold server was sent in its worst window, as a part of what pushes it over.
    #[serde(default)]
    pub cold_most: f64,
    /// Work that all servers were sent while cold, over what they could have done meanwhile.
    #[serde(default)]
    pub cold_sent: f64,
    /// The most memory that a node held, in MiB.
    pub node_memory_mb: f64,
    /// The most descriptors that a node held.
    pub node_descriptors: u64,
    /// Answers that came later than their time and its slack, and within half a second.
    pub overdue: u64,
    /// Attempts that failed, or were given up, at servers that something was wrong with. Connections that never came up
    /// are not among them: the lab does not see those.
    #[serde(default, rename = "paid")]
    pub failures_at_faulty: u64,
    /// The same at servers that nothing was wrong with.
    #[serde(default, rename = "failures")]
    pub failures_at_healthy: u64,
}

/// One second.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct SecondResult {
    /// How its requests ended.
    pub ends: Ends,
    /// Share of the worth that was served in time.
    pub served: f64,
    /// Percentiles of the time to an answer.
    pub took_ms: Percentiles,
    /// Tries of clients.
    pub tries: u64,
    /// Attempts at servers.
    pub attempts: u64,
}

/// One fault.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FaultResult {
    /// Its kind.
    pub kind: String,
    /// From when ...
    pub at_s: f64,
    /// ... until when.
    pub until_s: f64,
    /// How many parties it struck.
    pub targets: usize,
    /// From its end until service was back; `None` where it was not before the run's end.
    pub recover_s: Option<f64>,
}

/// The lab's own figures.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct LabMetrics {
    /// How late things that were due were done.
    pub late_ms: Percentiles,
    /// Processor time of the lab, as a share of one core.
    pub busy: f64,
    /// Requests a second that went through, client tries and attempts alike.
    pub messages_per_s: f64,
}

/// Something that had to hold.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExpectationResult {
    /// The key in the file.
    pub key: String,
    /// What was asked for.
    pub wanted: f64,
    /// What it was; `None` where it can't be told, which does not hold.
    pub got: Option<f64>,
    /// Did it hold?
    pub held: bool,
}

/// The verdict.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// All held, and no rule was broken.
    Held,
    /// A rule was broken, or something did not hold.
    NotHeld,
    /// The lab itself ran late: the run does not count.
    LabLate,
    /// It was broken off.
    Interrupted,
}

impl Verdict {
    /// A lab that is late may see rules broken that were not, and what does not hold: such a run says nothing.
    fn of(interrupted: bool, late_ms: f64, held: bool) -> Self {
        if interrupted {
            Self::Interrupted
        } else if late_ms > MAX_LAB_LATENESS_MS {
            Self::LabLate
        } else if held {
            Self::Held
        } else {
            Self::NotHeld
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Held => "held",
            Self::NotHeld => "did not hold",
            Self::LabLate => "does not count: the lab itself ran late",
            Self::Interrupted => "does not count: broken off",
        })
    }
}

/// Percentiles of microseconds, in ms.
fn percentiles(of: impl Iterator<Item = u32>) -> Percentiles {
    // Three digits from a microsecond to beyond all that a u32 holds: such bounds are always accepted.
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 1 << 33, 3) else {
        return Percentiles::default();
    };
    for us in of {
        histogram.saturating_record(u64::from(us));
    }
    if histogram.is_empty() {
        return Percentiles::default();
    }
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    Percentiles { p50: at(0.5), p90: at(0.9), p99: at(0.99), max: histogram.max() as f64 / 1e3 }
}

fn ends(counts: impl Iterator<Item = [u64; 5]>) -> Ends {
    counts.fold(Ends::default(), |sum, [in_time, late, refused, failed, unanswered]| Ends {
        in_time: sum.in_time + in_time,
        late: sum.late + late,
        refused: sum.refused + refused,
        failed: sum.failed + failed,
        unanswered: sum.unanswered + unanswered,
    })
}

impl Ends {
    /// All requests.
    pub fn all(&self) -> u64 {
        self.in_time + self.late + self.refused + self.failed + self.unanswered
    }
}

fn seconds_of(draw: &Draw) -> usize {
    (draw.length.div_ceil(1_000_000)) as usize
}

/// What a world has served, by the agency's count: prices are those of its brief.
pub fn service(world: &World) -> Service {
    let (tally, draw) = (world.tally(), world.draw());
    let (classes, seconds) = (draw.classes.len(), seconds_of(draw));
    let served = tally.served_share(0..classes, 0..seconds);
    let worst_class = (0..classes).map(|c| tally.served_share(c..c + 1, 0..seconds)).fold(1.0, f64::min);
    let worst_window = tally.worst_served_share(STRETCH, seconds);
    let cost = cost(world, (0.0, 0));
    let price = 0.036 * cost.wasted
        + 0.032 * cost.connections
        + 0.03 * cost.failed_late
        + 0.0081 * cost.cross_zone
        + 0.08 * cost.overdriven;
    let g = 0.55 * served + 0.15 * worst_window + 0.3 * worst_class - price;
    Service { served, worst_class, worst_window, g }
}

fn cost(world: &World, held: (f64, u64)) -> Cost {
    let tally = world.tally();
    let requests = world.draw().arrivals.len() as u64;
    let sum = |of: fn(&crate::tally::SecondCounts) -> u64| tally.seconds.iter().map(of).sum::<u64>() as f64;
    let each = |count: f64| count / requests.max(1) as f64;
    let attempts = sum(|s| s.attempts);
    let asked: f64 = tally.windows.iter().flatten().map(|w| w.offered_worth).sum();
    let (cold_most, cold_sent) = world.cold_load();
    Cost {
        requests,
        tries: each(sum(|s| s.tries)),
        attempts: each(attempts),
        turned_away: sum(|s| s.turned_away) / attempts.max(1.0),
        connections: each(sum(|s| s.connections)),
        cross_zone: each(tally.cross_zone_attempts as f64),
        wasted: world.wasted_share(),
        failed_late: tally.failed_late / asked.max(f64::MIN_POSITIVE),
        overdriven: world.choked_share(),
        spread: tally.load_imbalance(SPREAD_OVER, seconds_of(world.draw())),
        cold_most,
        cold_sent,
        node_memory_mb: held.0,
        node_descriptors: held.1,
        overdue: tally.overdue_answers,
        failures_at_faulty: tally.failed_attempts[0],
        failures_at_healthy: tally.failed_attempts[1],
    }
}

/// From a fault's end until service was back, in seconds.
pub fn recovery(tally: &Tally, at: usize, until: usize, length: usize) -> Option<f64> {
    let classes = tally.windows.len();
    let before = tally.served_share(0..classes, at.saturating_sub(BEFORE)..at.max(1));
    let back = |second: usize| tally.served_share(0..classes, second..second + 1) >= BACK * before;
    let from = (until..length.saturating_sub(IN_A_ROW - 1)).find(|s| (*s..*s + IN_A_ROW).all(back))?;
    Some((from - until) as f64)
}

impl RunResult {
    /// What came of a run.
    pub fn new(plan: &Plan, played: &CompletedRun, random: &World, oracle: &World) -> Self {
        let world = &played.world;
        let (tally, draw) = (world.tally(), world.draw());
        let length = seconds_of(draw);
        let classes = draw.classes.iter().zip(&tally.windows).enumerate().map(|(n, (class, windows))| {
            let ends = ends(windows.iter().map(|w| w.outcomes));
            ClassResult {
                name: class.name.clone(),
                requests: ends.all(),
                served: tally.served_share(n..n + 1, 0..length),
                ends,
                took_ms: percentiles(windows.iter().flat_map(|w| w.latencies_us.iter().copied())),
            }
        });
        let seconds = (0..length).map(|s| {
            let windows = || tally.windows.iter().filter_map(move |of| of.get(s));
            let counts = tally.seconds.get(s).cloned().unwrap_or_default();
            SecondResult {
                ends: ends(windows().map(|w| w.outcomes)),
                served: tally.served_share(0..draw.classes.len(), s..s + 1),
                took_ms: percentiles(windows().flat_map(|w| w.latencies_us.iter().copied())),
                tries: counts.tries,
                attempts: counts.attempts,
            }
        });
        // What came of policies is told apart.
        let faults = draw.faults.iter().filter(|f| f.kind != FaultKind::Policy).map(|f| {
            let (at, until) = (f.at / 1_000_000, f.until.div_ceil(1_000_000));
            FaultResult {
                kind: f.kind.name().to_string(),
                at_s: f.at as f64 / 1e6,
                until_s: f.until as f64 / 1e6,
                targets: f.targets.len(),
                recover_s: recovery(tally, at as usize, until as usize, length),
            }
        });
        let (breaches, broken) = world.breaches();
        let late_ms = percentiles(world.event_lateness_us().iter().copied());
        let messages: u64 = tally.seconds.iter().map(|s| s.tries + s.attempts).sum();
        let mut result = Self {
            schema: SCHEMA,
            name: plan.name.clone(),
            seed: draw.seed,
            length_s: draw.length as f64 / 1e6,
            fleet: FleetSize {
                nodes: draw.nodes.len(),
                servers: draw.servers.len(),
                zones: draw.zones.len(),
            },
            service: service(world),
            baselines: Baselines { random: service(random), oracle: service(oracle) },
            classes: classes.collect(),
            cost: cost(world, played.node_peak_usage),
            seconds: seconds.collect(),
            server_load: tally.attempts_by_server.clone(),
            faults: faults.collect(),
            control: world.control_metrics(),
            votes: world.vote_metrics(),
            breaches,
            first_breaches: broken,
            lab: LabMetrics {
                late_ms,
                busy: played.lab_cpu_share,
                messages_per_s: messages as f64 / (draw.length as f64 / 1e6),
            },
            expectations: Vec::new(),
            verdict: Verdict::Held,
        };
        result.judge(plan, played.interrupted);
        result
    }

    fn judge(&mut self, plan: &Plan, interrupted: bool) {
        let hold = plan.expectations.get_ref();
        let least = |key: &str, wanted: Option<f64>, got: f64| {
            wanted.map(|wanted| ExpectationResult {
                key: key.into(),
                wanted,
                got: Some(got),
                held: got >= wanted,
            })
        };
        let most = |key: &str, wanted: Option<f64>, got: Option<f64>| {
            let held = |wanted: f64| got.is_some_and(|got| got <= wanted);
            wanted.map(|wanted| ExpectationResult { key: key.into(), wanted, got, held: held(wanted) })
        };
        let exactly = |key: &str, wanted: Option<f64>, got: Option<f64>| {
            wanted.map(|wanted| ExpectationResult { key: key.into(), wanted, got, held: got == Some(wanted) })
        };
        let control = self.control.as_ref();
        let count = |of: fn(&Outcome) -> bool| {
            control.map(|c| c.changes.iter().filter(|change| of(&change.outcome)).count() as f64)
        };
        let committed = count(|o| matches!(o, Outcome::Committed(_))).unwrap_or(0.0);
        // Of the changes that were committed.
        let longest = |of: fn(&ChangeMetrics) -> Option<f64>| {
            let committed = |c: &&ChangeMetrics| matches!(c.outcome, Outcome::Committed(_));
            let all: Option<Vec<f64>> = control?.changes.iter().filter(committed).map(of).collect();
            all.map(|all| all.into_iter().fold(0.0, f64::max))
        };
        let gap = control.and_then(|c| {
            c.write_gaps_ms.iter().copied().try_fold(0.0, |most, gap| gap.map(|gap| f64::max(most, gap)))
        });
        let votes = self.votes.as_ref();
        let s = self.service;
        let recovered: Option<Vec<f64>> = self.faults.iter().map(|f| f.recover_s).collect();
        let recovered = recovered.map(|all| all.into_iter().fold(0.0, f64::max));
        let p99 = self.classes.iter().map(|c| c.took_ms.p99).fold(0.0, f64::max);
        let held = [
            least("served", hold.served, s.served),
            least("worst_class", hold.worst_class, s.worst_class),
            least("worst_window", hold.worst_window, s.worst_window),
            least("of_oracle", hold.of_oracle, s.served / self.baselines.oracle.served.max(1e-9)),
            most("p99_ms", hold.p99_ms, Some(p99)),
            most("attempts", hold.attempts, Some(self.cost.attempts)),
            most("cross_zone", hold.cross_zone, Some(self.cost.cross_zone / self.cost.attempts.max(1e-9))),
            most("recover_s", hold.recover_s, recovered),
            most("spread", hold.spread, Some(self.cost.spread)),
            least("committed", hold.committed, committed),
            exactly("aborted", hold.aborted, count(|o| matches!(o, Outcome::Aborted(_)))),
            most("active_ms", hold.active_ms, longest(|c| c.active_ms)),
            most("mixed_ms", hold.mixed_ms, longest(|c| c.mixed_ms)),
            most("held", hold.held, control.map(|c| c.refused_share)),
            most("write_gap_ms", hold.write_gap_ms, gap),
            least("removed", hold.removed, votes.map_or(0.0, |v| v.removed as f64)),
            most("wrong_removals", hold.wrong_removals, votes.map(|v| v.wrong_removals as f64)),
            most("remove_ms", hold.remove_ms, votes.and_then(VoteMetrics::remove_ms)),
            most("return_ms", hold.return_ms, votes.and_then(VoteMetrics::return_ms)),
            most("paid", hold.paid, Some(self.cost.failures_at_faulty as f64)),
        ];
        self.expectations = held.into_iter().flatten().collect();
        let held = self.breaches == 0 && self.expectations.iter().all(|h| h.held);
        self.verdict = Verdict::of(interrupted, self.lab.late_ms.p99, held);
    }

    /// Writes the file.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn write(&self, path: &Path) -> Result<(), FileError> {
        let text = serde_json::to_string_pretty(self).map_err(FileError::write(path))?;
        std::fs::write(path, text + "\n").map_err(FileError::write(path))
    }

    /// Reads the file.
    ///
    /// # Errors
    /// Names the file and the field that is wrong.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        read_json(path, SCHEMA, |result: &Self| result.schema)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_run_counts_only_where_it_was_whole_and_the_lab_in_time() {
        assert_eq!(Verdict::of(false, 5.0, true), Verdict::Held);
        assert_eq!(Verdict::of(false, 5.0, false), Verdict::NotHeld);
        assert_eq!(Verdict::of(false, 5.1, false), Verdict::LabLate);
        assert_eq!(Verdict::of(false, 5.1, true), Verdict::LabLate);
        assert_eq!(Verdict::of(true, 0.1, true), Verdict::Interrupted);
    }
}
