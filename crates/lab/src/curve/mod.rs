//! Goodput against offered load, and how long service takes to be back after an overload, in the virtual clock.
//!
//! Need: a fleet that sheds well does as much of use at three times its capacity as at one, and is back at once when
//! the overload ends; one play at one load shows neither. Shape: an experiment's fleet without its faults is played
//! at each load, with the modules, with random choice and with the oracle on the same draws. Rejected: real processes,
//! as ninety plays of them take the better part of an hour and lie further apart than the curve's steps.

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

/// The version of the file's form.
pub const SCHEMA: u32 = 1;
/// The load before and after an overload, as a share of capacity.
const CALM: f64 = 0.5;
/// The overload that service has to come back from: from when, and for how long, in seconds.
const BURST: (f64, f64) = (8.0, 8.0);
/// How long such a play is, in seconds.
const LENGTH: f64 = 40.0;

/// One offered load.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Point {
    /// First tries, as a share of what the warm fleet can do.
    pub load: f64,
    /// Worth served in time, as a share of what would be with all capacity put to use: the least, the mean and the
    /// most over the draws.
    pub goodput: [f64; 3],
    /// The same of the class that is served worst, as a share of its worth: the mean.
    pub worst_class: f64,
    /// What random choice comes to: the mean.
    pub random: f64,
    /// What the oracle comes to: the mean.
    pub oracle: f64,
    /// Seconds from the end of an overload of this load until service was back, by draw; `None` where it was not
    /// before the play's end, or where the load is no overload.
    pub recover_s: Vec<Option<f64>>,
}

/// A curve.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Curve {
    /// The form's version.
    pub schema: u32,
    /// The experiment.
    pub name: String,
    /// Nodes and servers of the first draw.
    pub fleet: [usize; 2],
    /// The draws.
    pub seeds: Vec<u64>,
    /// By load.
    pub points: Vec<Point>,
}

/// What one draw comes to at one load.
struct Played {
    served: f64,
    worst_class: f64,
    random: f64,
    oracle: f64,
    recover_s: Option<f64>,
}

/// The plan with another load and other faults.
fn at(plan: &Plan, load: f64, more: &str) -> Result<Plan, PlanError> {
    let mut plan = plan.clone();
    let shape = plan.load.get_mut();
    (shape.of_capacity, shape.per_s, shape.swing) = (Range::Fixed(load), None, Range::Fixed(0.0));
    let faults = Plan::read("curve", &format!("schema = 1\nname = \"curve\"\nlength_s = {LENGTH}\n{more}"))?;
    (plan.faults, plan.length_s) = (faults.faults, faults.length_s);
    Ok(plan)
}

fn play(plan: &Plan, load: f64, seed: u64) -> Result<Played, ModelError> {
    let steady = at(plan, load, "")?;
    let draw = Rc::new(Draw::new(&steady, seed));
    let own = service(&modules::play(&steady, &draw, None)?);
    let [random, oracle] = [BaselinePolicy::Random, BaselinePolicy::Oracle]
        .map(|policy| service(&baseline::play(&draw, &steady.rules, policy)).served);
    let recover_s = if load > 1.0 {
        let (from, span) = BURST;
        let burst =
            format!("[[fault]]\nkind = \"burst\"\nat_s = {from}\nfor_s = {span}\nfactor = {}\n", load / CALM);
        let plan = at(plan, CALM, &burst)?;
        let world = modules::play(&plan, &Rc::new(Draw::new(&plan, seed)), None)?;
        recovery(world.tally(), from as usize, (from + span) as usize, LENGTH as usize)
    } else {
        None
    };
    Ok(Played { served: own.served, worst_class: own.worst_class, random, oracle, recover_s })
}

/// Plays a plan's fleet at each load, on draws of these seeds. `progress` hears how many plays of how many are done.
///
/// # Errors
/// Where the plan can't be played so.
pub fn measure(
    plan: &Plan,
    loads: &[f64],
    seeds: &[u64],
    progress: &(dyn Fn(usize, usize) + Sync),
) -> Result<Curve, ModelError> {
    let jobs: Vec<(usize, u64)> =
        (0..loads.len()).flat_map(|l| seeds.iter().map(move |seed| (l, *seed))).collect();
    let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let results: Mutex<Vec<(usize, Result<Played, ModelError>)>> = Mutex::default();
    let work = || {
        while let Some((load, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)).copied() {
            let played = play(plan, loads[load], seed);
            results.lock().unwrap_or_else(|e| e.into_inner()).push((load, played));
            progress(done.fetch_add(1, Ordering::Relaxed) + 1, jobs.len());
        }
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| (0..threads).for_each(|_| drop(scope.spawn(work))));
    let mut by_load: Vec<Vec<Played>> = loads.iter().map(|_| Vec::new()).collect();
    for (load, played) in results.into_inner().unwrap_or_else(|e| e.into_inner()) {
        by_load[load].push(played?);
    }
    let draw = Draw::new(&at(plan, CALM, "")?, seeds.first().copied().unwrap_or(0));
    Ok(Curve {
        schema: SCHEMA,
        name: plan.name.clone(),
        fleet: [draw.nodes.len(), draw.servers.len()],
        seeds: seeds.to_vec(),
        points: loads.iter().zip(by_load).map(|(load, played)| point(*load, &played)).collect(),
    })
}

fn point(load: f64, played: &[Played]) -> Point {
    let mean = |of: fn(&Played) -> f64| played.iter().map(of).sum::<f64>() / played.len().max(1) as f64;
    let least = played.iter().map(|p| p.served).fold(f64::INFINITY, f64::min);
    let most = played.iter().map(|p| p.served).fold(0.0, f64::max);
    let mut recover_s: Vec<Option<f64>> = played.iter().map(|p| p.recover_s).collect();
    recover_s.sort_by(|a, b| a.unwrap_or(f64::INFINITY).total_cmp(&b.unwrap_or(f64::INFINITY)));
    Point {
        load,
        goodput: [least, mean(|p| p.served), most].map(|share| share * load),
        worst_class: mean(|p| p.worst_class),
        random: mean(|p| p.random) * load,
        oracle: mean(|p| p.oracle) * load,
        recover_s: if load > 1.0 { recover_s } else { Vec::new() },
    }
}

impl Curve {
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
        read_json(path, SCHEMA, |curve: &Self| curve.schema)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn goodput_keeps_up_when_far_more_is_asked_for_than_can_be_done() {
        let plan =
            Plan::read("x.toml", "schema = 1\nname = \"x\"\nlength_s = 5\n[fleet]\nnodes = 6\nservers = 9\n");
        let curve = measure(&plan.expect("it can be played"), &[1.0, 2.5], &[1], &|_, _| ()).expect("played");
        let [at_one, beyond] = [0, 1].map(|n| curve.points[n].goodput[1]);
        assert!(beyond > 0.8 * at_one, "{at_one} {beyond}");
        assert!(beyond > 2.0 * curve.points[1].random);
        let back = &curve.points[1].recover_s;
        assert!(back.len() == 1 && back.iter().all(|s| s.is_some_and(|s| s <= 10.0)), "{back:?}");
    }
}
