//! The result of a run: its metrics, whether the expectations of the plan hold, and the file for both.
//!
//! `result.json` has [`SCHEMA`] as its version: within one version fields may be added, but never renamed or given
//! another meaning. Times are in the unit that their name ends with; shares go from 0 to 1.

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

/// The version of the file format.
pub const SCHEMA: u32 = 1;
/// A run does not count where the 99th percentile of the lab's own lateness is above this, in ms.
pub const MAX_LAB_LATENESS_MS: f64 = 5.0;
/// The length of [`Service::worst_window`].
const WORST_WINDOW_S: usize = 10;
/// The length of the windows for [`Cost::spread`].
const SPREAD_WINDOW_S: usize = 5;
/// Service counts as recovered from a fault once the served share reaches this part of its mean before the fault.
const RECOVERED_SHARE: f64 = 0.95;
/// The mean before a fault is taken over this many seconds.
const REFERENCE_S: usize = 5;
/// The served share must stay at that level for this many consecutive seconds to count as recovered.
const RECOVERED_FOR_S: usize = 2;

/// The result of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunResult {
    /// The version of the file format.
    pub schema: u32,
    /// The experiment's name.
    pub name: String,
    /// The seed of the draw.
    pub seed: u64,
    /// How long clients sent requests.
    pub length_s: f64,
    /// The number of nodes, servers and zones.
    pub fleet: FleetSize,
    /// How much was served.
    pub service: Service,
    /// How much the baseline policies serve on this draw.
    pub baselines: Baselines,
    /// The results of each class.
    pub classes: Vec<ClassResult>,
    /// The resources used.
    pub cost: Cost,
    /// The results of each second, by the second of the first try.
    pub seconds: Vec<SecondResult>,
    /// Attempts by server and second.
    pub server_load: Vec<Vec<u32>>,
    /// The faults, and how long service took to recover.
    pub faults: Vec<FaultResult>,
    /// Metrics of the policy changes; present only if there is a control group.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<ControlMetrics>,
    /// Metrics of the votes on servers; present only if a replica reported removals.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub votes: Option<VoteMetrics>,
    /// The number of breaches of rules.
    pub breaches: usize,
    /// The first breaches.
    #[serde(rename = "broken")]
    pub first_breaches: Vec<Breach>,
    /// The lab's own lateness and load.
    pub lab: LabMetrics,
    /// The expectations of the plan, and whether each holds.
    #[serde(rename = "held")]
    pub expectations: Vec<ExpectationResult>,
    /// The verdict on the run.
    pub verdict: RunVerdict,
}

/// The size of the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct FleetSize {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of app servers at the start.
    pub servers: usize,
    /// The number of zones.
    pub zones: usize,
}

/// Shares of the worth of all requests that was served within the target time.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Service {
    /// Over the run.
    pub served: f64,
    /// For the class that was served worst.
    pub worst_class: f64,
    /// For the worst 10 s.
    pub worst_window: f64,
    /// The weighted sum of these three less the price of the resources used; see [`service`].
    pub g: f64,
}

/// What the baseline policies serve in the virtual clock.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Baselines {
    /// Random choice among the listed servers.
    pub random: Service,
    /// A policy that sees the true state of every server.
    pub oracle: Service,
}

/// The result of one class.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClassResult {
    /// The class's name.
    pub name: String,
    /// The number of requests, each counted once.
    pub requests: u64,
    /// The share of the class's worth that was served in time.
    pub served: f64,
    /// The number of requests by outcome.
    pub ends: OutcomeCounts,
    /// Percentiles of the time from the first try to a served answer.
    pub took_ms: Percentiles,
}

/// The number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct OutcomeCounts {
    /// Served within the target time.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Refused, and not retried further.
    pub refused: u64,
    /// Failed, and not retried further.
    pub failed: u64,
    /// The client gave up or left without an answer.
    pub unanswered: u64,
}

/// Percentiles, in ms.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    pub max: f64,
}

/// The resources that a run used.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Cost {
    /// The number of requests, each counted once.
    pub requests: u64,
    /// Clients' tries for each request.
    pub tries: f64,
    /// Attempts at servers for each request.
    pub attempts: f64,
    /// The share of attempts that servers turned away.
    pub turned_away: f64,
    /// New connections to servers for each request.
    pub connections: f64,
    /// Attempts that crossed zones, for each request.
    pub cross_zone: f64,
    /// Work of servers that served no client, over the work of all requests.
    pub wasted: f64,
    /// The worth of requests that ended unserved after their target time, over the worth of all requests.
    pub failed_late: f64,
    /// The share of servers that were in congestion collapse at some time.
    pub overdriven: f64,
    /// Attempts at the busiest server over the mean, in the worst 5 s.
    #[serde(default)]
    pub spread: f64,
    /// The most work that a cold server was sent in a window, as a share of the work at which it fails.
    #[serde(default)]
    pub cold_most: f64,
    /// The work that all servers were sent while cold, over their capacity in that time.
    #[serde(default)]
    pub cold_sent: f64,
    /// The most memory that a node used, in MiB.
    pub node_memory_mb: f64,
    /// The most descriptors that a node had open.
    pub node_descriptors: u64,
    /// Answers that came after their deadline and its slack, but within half a second.
    pub overdue: u64,
    /// Attempts that failed or were cancelled at faulty servers. Failed connects are not counted, as the lab does not see
    /// them.
    #[serde(default, rename = "paid")]
    pub failures_at_faulty: u64,
    /// Attempts that failed or were cancelled at healthy servers.
    #[serde(default, rename = "failures")]
    pub failures_at_healthy: u64,
}

/// The result of one second.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct SecondResult {
    /// The number of requests by outcome.
    pub ends: OutcomeCounts,
    /// The share of the worth that was served in time.
    pub served: f64,
    /// Percentiles of the time from the first try to a served answer.
    pub took_ms: Percentiles,
    /// Clients' tries.
    pub tries: u64,
    /// Attempts at servers.
    pub attempts: u64,
}

/// A fault, and the recovery from it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FaultResult {
    /// The kind, as in the experiment file.
    pub kind: String,
    /// When the fault began.
    pub at_s: f64,
    /// When the fault ended.
    pub until_s: f64,
    /// The number of targets.
    pub targets: usize,
    /// The time from the fault's end until service had recovered; `None` where it had not by the end of the run.
    pub recover_s: Option<f64>,
}

/// Metrics of the lab itself.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct LabMetrics {
    /// How late the lab handled due events.
    pub late_ms: Percentiles,
    /// The CPU time of the lab, as a share of one core.
    pub busy: f64,
    /// Clients' tries and attempts at servers, together, a second.
    pub messages_per_s: f64,
}

/// An expectation of the plan, and whether it holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExpectationResult {
    /// The key in `[hold]` of the experiment file.
    pub key: String,
    /// The expected value or bound.
    pub wanted: f64,
    /// The measured value; `None` where there is none, in which case the expectation does not hold.
    pub got: Option<f64>,
    /// Whether the expectation holds.
    pub held: bool,
}

/// The verdict on a run. If several apply, the first in this order counts: interrupted, lab late, not held, held.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// All expectations hold, and no rule was broken.
    Held,
    /// A rule was broken, or an expectation does not hold.
    NotHeld,
    /// The lab itself ran late: the run does not count.
    LabLate,
    /// The run was interrupted: it does not count.
    Interrupted,
}

impl RunVerdict {
    /// Determines the verdict. `late_ms` is the 99th percentile of the lab's own lateness; `held` is whether all
    /// expectations hold and no rule was broken. A late lab may report breaches that did not happen and wrong metrics,
    /// so such a run does not count.
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

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Held => "held",
            Self::NotHeld => "did not hold",
            Self::LabLate => "does not count: the lab itself ran late",
            Self::Interrupted => "does not count: broken off",
        })
    }
}

/// The percentiles, in ms, of times in microseconds.
fn percentiles(times: impl Iterator<Item = u32>) -> Percentiles {
    // Three significant digits, from 1 us to more than the largest u32: such bounds are always accepted.
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 1 << 33, 3) else {
        return Percentiles::default();
    };
    for us in times {
        histogram.saturating_record(u64::from(us));
    }
    if histogram.is_empty() {
        return Percentiles::default();
    }
    let quantile = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    let max = histogram.max() as f64 / 1e3;
    Percentiles { p50: quantile(0.5), p90: quantile(0.9), p99: quantile(0.99), max }
}

/// The sum of the counts by outcome.
fn sum_outcomes(counts: impl Iterator<Item = [u64; 5]>) -> OutcomeCounts {
    counts.fold(OutcomeCounts::default(), |sum, [in_time, late, refused, failed, unanswered]| OutcomeCounts {
        in_time: sum.in_time + in_time,
        late: sum.late + late,
        refused: sum.refused + refused,
        failed: sum.failed + failed,
        unanswered: sum.unanswered + unanswered,
    })
}

impl OutcomeCounts {
    /// The number of all requests.
    pub fn all(&self) -> u64 {
        self.in_time + self.late + self.refused + self.failed + self.unanswered
    }
}

/// The length of a run in seconds, rounded up.
fn length_in_seconds(draw: &Draw) -> usize {
    (draw.length.div_ceil(1_000_000)) as usize
}

/// How much of the worth was served in a run. The weights and prices of `g` are those of the agency's brief.
pub fn service(world: &World) -> Service {
    let (tally, draw) = (world.tally(), world.draw());
    let (classes, seconds) = (draw.classes.len(), length_in_seconds(draw));
    let served = tally.served_share(0..classes, 0..seconds);
    let worst_class = (0..classes).map(|c| tally.served_share(c..c + 1, 0..seconds)).fold(1.0, f64::min);
    let worst_window = tally.worst_served_share(WORST_WINDOW_S, seconds);
    let cost = cost(world, (0.0, 0));
    let price = 0.036 * cost.wasted
        + 0.032 * cost.connections
        + 0.03 * cost.failed_late
        + 0.0081 * cost.cross_zone
        + 0.08 * cost.overdriven;
    let g = 0.55 * served + 0.15 * worst_window + 0.3 * worst_class - price;
    Service { served, worst_class, worst_window, g }
}

/// The resources used. `node_usage` has the most memory in MiB and the most descriptors of a node.
fn cost(world: &World, node_usage: (f64, u64)) -> Cost {
    let tally = world.tally();
    let requests = world.draw().arrivals.len() as u64;
    let sum = |of: fn(&crate::tally::SecondCounts) -> u64| tally.seconds.iter().map(of).sum::<u64>() as f64;
    let per_request = |count: f64| count / requests.max(1) as f64;
    let attempts = sum(|s| s.attempts);
    let offered_worth: f64 = tally.windows.iter().flatten().map(|w| w.offered_worth).sum();
    let (cold_most, cold_sent) = world.cold_load();
    Cost {
        requests,
        tries: per_request(sum(|s| s.tries)),
        attempts: per_request(attempts),
        turned_away: sum(|s| s.turned_away) / attempts.max(1.0),
        connections: per_request(sum(|s| s.connections)),
        cross_zone: per_request(tally.cross_zone_attempts as f64),
        wasted: world.wasted_share(),
        failed_late: tally.failed_late / offered_worth.max(f64::MIN_POSITIVE),
        overdriven: world.choked_share(),
        spread: tally.load_imbalance(SPREAD_WINDOW_S, length_in_seconds(world.draw())),
        cold_most,
        cold_sent,
        node_memory_mb: node_usage.0,
        node_descriptors: node_usage.1,
        overdue: tally.overdue_answers,
        failures_at_faulty: tally.failed_attempts[0],
        failures_at_healthy: tally.failed_attempts[1],
    }
}

/// The seconds from the end of a fault until service had recovered; `None` where it had not within `length` seconds. The
/// fault lasts from the second `at` to the second `until`.
pub fn recovery(tally: &Tally, at: usize, until: usize, length: usize) -> Option<f64> {
    let classes = tally.windows.len();
    let before = tally.served_share(0..classes, at.saturating_sub(REFERENCE_S)..at.max(1));
    let recovered =
        |second: usize| tally.served_share(0..classes, second..second + 1) >= RECOVERED_SHARE * before;
    let from = (until..length.saturating_sub(RECOVERED_FOR_S - 1))
        .find(|s| (*s..*s + RECOVERED_FOR_S).all(recovered))?;
    Some((from - until) as f64)
}

impl RunResult {
    /// The result of a run, with those of the baseline policies on the same draw.
    pub fn new(plan: &Plan, played: &CompletedRun, random: &World, oracle: &World) -> Self {
        let world = &played.world;
        let (tally, draw) = (world.tally(), world.draw());
        let length = length_in_seconds(draw);
        let classes = draw.classes.iter().zip(&tally.windows).enumerate().map(|(n, (class, windows))| {
            let ends = sum_outcomes(windows.iter().map(|w| w.outcomes));
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
                ends: sum_outcomes(windows().map(|w| w.outcomes)),
                served: tally.served_share(0..draw.classes.len(), s..s + 1),
                took_ms: percentiles(windows().flat_map(|w| w.latencies_us.iter().copied())),
                tries: counts.tries,
                attempts: counts.attempts,
            }
        });
        // Policy changes are reported in `control`.
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
        let (breaches, first_breaches) = world.breaches();
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
            first_breaches,
            lab: LabMetrics {
                late_ms,
                busy: played.lab_cpu_share,
                messages_per_s: messages as f64 / (draw.length as f64 / 1e6),
            },
            expectations: Vec::new(),
            verdict: RunVerdict::Held,
        };
        result.evaluate(plan, played.interrupted);
        result
    }

    /// Compares the metrics with the expectations of the plan, and sets the verdict.
    fn evaluate(&mut self, plan: &Plan, interrupted: bool) {
        let expected = plan.expectations.get_ref();
        let at_least = |key: &str, wanted: Option<f64>, got: f64| {
            wanted.map(|wanted| ExpectationResult {
                key: key.into(),
                wanted,
                got: Some(got),
                held: got >= wanted,
            })
        };
        let at_most = |key: &str, wanted: Option<f64>, got: Option<f64>| {
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
        // The longest of some time of the committed changes.
        let longest = |of: fn(&ChangeMetrics) -> Option<f64>| {
            let committed = |c: &&ChangeMetrics| matches!(c.outcome, Outcome::Committed(_));
            let all: Option<Vec<f64>> = control?.changes.iter().filter(committed).map(of).collect();
            all.map(|all| all.into_iter().fold(0.0, f64::max))
        };
        let gap = control.and_then(|c| {
            c.write_gaps_ms
                .iter()
                .copied()
                .try_fold(0.0, |longest, gap| gap.map(|gap| f64::max(longest, gap)))
        });
        let votes = self.votes.as_ref();
        let service = self.service;
        let recovered: Option<Vec<f64>> = self.faults.iter().map(|f| f.recover_s).collect();
        let recovered = recovered.map(|all| all.into_iter().fold(0.0, f64::max));
        let p99 = self.classes.iter().map(|c| c.took_ms.p99).fold(0.0, f64::max);
        let expectations = [
            at_least("served", expected.served, service.served),
            at_least("worst_class", expected.worst_class, service.worst_class),
            at_least("worst_window", expected.worst_window, service.worst_window),
            at_least(
                "of_oracle",
                expected.of_oracle,
                service.served / self.baselines.oracle.served.max(1e-9),
            ),
            at_most("p99_ms", expected.p99_ms, Some(p99)),
            at_most("attempts", expected.attempts, Some(self.cost.attempts)),
            at_most(
                "cross_zone",
                expected.cross_zone,
                Some(self.cost.cross_zone / self.cost.attempts.max(1e-9)),
            ),
            at_most("recover_s", expected.recover_s, recovered),
            at_most("spread", expected.spread, Some(self.cost.spread)),
            at_least("committed", expected.committed, committed),
            exactly("aborted", expected.aborted, count(|o| matches!(o, Outcome::Aborted(_)))),
            at_most("active_ms", expected.active_ms, longest(|c| c.active_ms)),
            at_most("mixed_ms", expected.mixed_ms, longest(|c| c.mixed_ms)),
            at_most("held", expected.held, control.map(|c| c.refused_share)),
            at_most("write_gap_ms", expected.write_gap_ms, gap),
            at_least("removed", expected.removed, votes.map_or(0.0, |v| v.removed as f64)),
            at_most("wrong_removals", expected.wrong_removals, votes.map(|v| v.wrong_removals as f64)),
            at_most("remove_ms", expected.remove_ms, votes.and_then(VoteMetrics::remove_ms)),
            at_most("return_ms", expected.return_ms, votes.and_then(VoteMetrics::return_ms)),
            at_most("paid", expected.paid, Some(self.cost.failures_at_faulty as f64)),
        ];
        self.expectations = expectations.into_iter().flatten().collect();
        let held = self.breaches == 0 && self.expectations.iter().all(|h| h.held);
        self.verdict = RunVerdict::of(interrupted, self.lab.late_ms.p99, held);
    }

    /// Writes the result as JSON.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&self, path: &Path) -> Result<(), FileError> {
        let text = serde_json::to_string_pretty(self).map_err(FileError::write(path))?;
        std::fs::write(path, text + "\n").map_err(FileError::write(path))
    }

    /// Reads a result from JSON.
    ///
    /// # Errors
    /// The file can't be read, has another version, or has a wrong field, which the error names.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        read_json(path, SCHEMA, |result: &Self| result.schema)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_interrupted_run_or_a_late_lab_does_not_count() {
        assert_eq!(RunVerdict::of(false, 5.0, true), RunVerdict::Held);
        assert_eq!(RunVerdict::of(false, 5.0, false), RunVerdict::NotHeld);
        assert_eq!(RunVerdict::of(false, 5.1, false), RunVerdict::LabLate);
        assert_eq!(RunVerdict::of(false, 5.1, true), RunVerdict::LabLate);
        assert_eq!(RunVerdict::of(true, 0.1, true), RunVerdict::Interrupted);
    }
}
