//! Goodput against offered load, and the recovery time after an overload, in the virtual clock.
//!
//! A fleet that sheds load well keeps its goodput at three times its capacity, and recovers at once when an overload
//! ends; a run at a single load shows neither. So the fleet of an experiment is played without faults at each load, with
//! the decision modules, with random choice and with the oracle, on the same draws. Rejected: real processes, as ninety
//! runs of them take most of an hour and their results differ by more than the steps of the curve.

mod plot;

use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::baseline::{self, BaselinePolicy};
use crate::draw::Draw;
use crate::error::{read_json, FileError, ModelError};
use crate::modules;
use crate::plan::{Plan, PlanError, Range};
use crate::result::{recovery, service};

pub use self::plot::write as write_plot;

/// The version of the file format.
pub const SCHEMA: u32 = 1;
/// The load before and after an overload, as a share of capacity.
const NORMAL_LOAD: f64 = 0.5;
/// The start and the length of the overload in a run that measures recovery, in seconds.
const BURST_S: (f64, f64) = (8.0, 8.0);
/// The length of each run, in seconds.
const LENGTH_S: f64 = 40.0;

/// The results at one offered load.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Point {
    /// The work of first tries, as a share of the capacity of the warm fleet.
    pub load: f64,
    /// The worth served in time, as a share of the worth of all capacity: minimum, mean and maximum over the draws.
    pub goodput: [f64; 3],
    /// The share served in time of the class that is served worst: the mean over the draws.
    pub worst_class: f64,
    /// The goodput of random choice: the mean over the draws.
    pub random: f64,
    /// The goodput of the oracle: the mean over the draws.
    pub oracle: f64,
    /// Seconds from the end of an overload of this load until service had recovered, by draw in increasing order;
    /// `None` where it had not by the end of the run. Empty for a load that is no overload.
    pub recover_s: Vec<Option<f64>>,
}

/// A measured curve.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Curve {
    /// The version of the file format.
    pub schema: u32,
    /// The experiment's name.
    pub name: String,
    /// The number of nodes and of servers of the first draw.
    pub fleet: [usize; 2],
    /// The seeds of the draws.
    pub seeds: Vec<u64>,
    /// The results, by load.
    pub points: Vec<Point>,
}

/// The results of one draw at one load.
struct DrawResult {
    served: f64,
    worst_class: f64,
    random: f64,
    oracle: f64,
    recover_s: Option<f64>,
}

/// The plan with a constant load, and with the faults of a text in place of its own.
fn with_load(plan: &Plan, load: f64, faults: &str) -> Result<Plan, PlanError> {
    let mut plan = plan.clone();
    let offered = plan.load.get_mut();
    (offered.of_capacity, offered.per_s, offered.swing) = (Range::Fixed(load), None, Range::Fixed(0.0));
    let timeline =
        Plan::read("curve", &format!("schema = 1\nname = \"curve\"\nlength_s = {LENGTH_S}\n{faults}"))?;
    (plan.faults, plan.length_s) = (timeline.faults, timeline.length_s);
    Ok(plan)
}

fn play(plan: &Plan, load: f64, seed: u64) -> Result<DrawResult, ModelError> {
    let steady = with_load(plan, load, "")?;
    let draw = Rc::new(Draw::new(&steady, seed));
    let modules = service(&modules::play(&steady, &draw, None)?);
    let [random, oracle] = [BaselinePolicy::Random, BaselinePolicy::Oracle]
        .map(|policy| service(&baseline::play(&draw, &steady.rules, policy)).served);
    let recover_s = if load > 1.0 {
        let (from, span) = BURST_S;
        let burst = format!(
            "[[fault]]\nkind = \"burst\"\nat_s = {from}\nfor_s = {span}\nfactor = {}\n",
            load / NORMAL_LOAD
        );
        let plan = with_load(plan, NORMAL_LOAD, &burst)?;
        let world = modules::play(&plan, &Rc::new(Draw::new(&plan, seed)), None)?;
        recovery(world.tally(), from as usize, (from + span) as usize, LENGTH_S as usize)
    } else {
        None
    };
    Ok(DrawResult { served: modules.served, worst_class: modules.worst_class, random, oracle, recover_s })
}

/// Plays a plan's fleet at each load, on draws of these seeds. `progress` is called with the number of jobs that are done
/// and of all jobs.
///
/// # Errors
/// The decision modules reject the plan's settings.
pub fn measure(
    plan: &Plan,
    loads: &[f64],
    seeds: &[u64],
    progress: &(dyn Fn(usize, usize) + Sync),
) -> Result<Curve, ModelError> {
    let jobs: Vec<(usize, u64)> =
        (0..loads.len()).flat_map(|l| seeds.iter().map(move |seed| (l, *seed))).collect();
    let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let results: Mutex<Vec<(usize, Result<DrawResult, ModelError>)>> = Mutex::default();
    let work = || {
        while let Some((load, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)).copied() {
            let result = play(plan, loads[load], seed);
            results.lock().unwrap_or_else(|e| e.into_inner()).push((load, result));
            progress(done.fetch_add(1, Ordering::Relaxed) + 1, jobs.len());
        }
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| (0..threads).for_each(|_| drop(scope.spawn(work))));
    let mut by_load: Vec<Vec<DrawResult>> = loads.iter().map(|_| Vec::new()).collect();
    for (load, result) in results.into_inner().unwrap_or_else(|e| e.into_inner()) {
        by_load[load].push(result?);
    }
    let draw = Draw::new(&with_load(plan, NORMAL_LOAD, "")?, seeds.first().copied().unwrap_or(0));
    Ok(Curve {
        schema: SCHEMA,
        name: plan.name.clone(),
        fleet: [draw.nodes.len(), draw.servers.len()],
        seeds: seeds.to_vec(),
        points: loads.iter().zip(by_load).map(|(load, results)| point(*load, &results)).collect(),
    })
}

fn point(load: f64, results: &[DrawResult]) -> Point {
    let mean = |of: fn(&DrawResult) -> f64| results.iter().map(of).sum::<f64>() / results.len().max(1) as f64;
    let min = results.iter().map(|p| p.served).fold(f64::INFINITY, f64::min);
    let max = results.iter().map(|p| p.served).fold(0.0, f64::max);
    let mut recover_s: Vec<Option<f64>> = results.iter().map(|p| p.recover_s).collect();
    recover_s.sort_by(|a, b| a.unwrap_or(f64::INFINITY).total_cmp(&b.unwrap_or(f64::INFINITY)));
    Point {
        load,
        goodput: [min, mean(|p| p.served), max].map(|share| share * load),
        worst_class: mean(|p| p.worst_class),
        random: mean(|p| p.random) * load,
        oracle: mean(|p| p.oracle) * load,
        recover_s: if load > 1.0 { recover_s } else { Vec::new() },
    }
}

impl Curve {
    /// Writes the curve as JSON.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&self, path: &Path) -> Result<(), FileError> {
        let text = serde_json::to_string_pretty(self).map_err(FileError::write(path))?;
        std::fs::write(path, text + "\n").map_err(FileError::write(path))
    }

    /// Reads a curve from JSON.
    ///
    /// # Errors
    /// The file can't be read, has another version, or has a wrong field, which the error names.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        read_json(path, SCHEMA, |curve: &Self| curve.schema)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn goodput_does_not_collapse_under_overload() {
        let plan =
            Plan::read("x.toml", "schema = 1\nname = \"x\"\nlength_s = 5\n[fleet]\nnodes = 6\nservers = 9\n");
        let curve = measure(&plan.expect("it can be played"), &[1.0, 2.5], &[1], &|_, _| ()).expect("played");
        let [at_capacity, overloaded] = [0, 1].map(|n| curve.points[n].goodput[1]);
        assert!(overloaded > 0.8 * at_capacity, "{at_capacity} {overloaded}");
        assert!(overloaded > 2.0 * curve.points[1].random);
        let recovery = &curve.points[1].recover_s;
        assert!(recovery.len() == 1 && recovery.iter().all(|s| s.is_some_and(|s| s <= 10.0)), "{recovery:?}");
    }
}
