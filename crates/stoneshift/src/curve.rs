//! `stoneshift lab curve`: goodput against offered load, and the recovery time after an overload.

use std::path::PathBuf;

use clap::Args;
use indicatif::ProgressBar;
use lab::curve::{self, Curve};
use lab::plan::Plan;

use crate::failure::Failure;
use crate::{create_folder, progress_style};

/// The largest load, as a share of capacity.
const MAX_LOAD: f64 = 10.0;
/// The most loads, and the most draws of each load.
const MAX_COUNT: usize = 100;

/// The arguments of `stoneshift lab curve`.
#[derive(Debug, Args)]
pub struct CurveArgs {
    /// The experiment's file; its fleet, servers, classes and clients are used, not its load and faults.
    file: PathBuf,
    /// The seed of the first draw, in place of the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// The number of draws of each load.
    #[arg(long, default_value_t = 3)]
    draws: usize,
    /// The smallest load, as a share of the fleet's capacity.
    #[arg(long, default_value_t = 0.5)]
    from: f64,
    /// The largest load.
    #[arg(long, default_value_t = 3.0)]
    to: f64,
    /// The number of loads.
    #[arg(long, default_value_t = 11)]
    loads: usize,
    /// An earlier curve.json, plotted together with this one.
    #[arg(long)]
    before: Option<PathBuf>,
    /// The folder for curve.json and curve.svg; created if it does not exist.
    #[arg(long, default_value = "target/lab")]
    out: PathBuf,
}

impl CurveArgs {
    /// Plays all draws at all loads, and writes the curve and its plot.
    ///
    /// # Errors
    /// A flag or a file is wrong, the modules reject the experiment, or the output can't be written.
    pub fn run(self) -> Result<bool, Failure> {
        let loads = self.loads()?;
        if !(1..=MAX_COUNT).contains(&self.draws) {
            return flag_error("--draws", format!("1 to {MAX_COUNT} expected, not {}", self.draws));
        }
        let plan = Plan::load(&self.file)?;
        let earlier = self.before.as_deref().map(Curve::read).transpose()?;
        let first = self.seed.unwrap_or(plan.seed);
        let seeds: Vec<u64> = (0..self.draws as u64).map(|n| first.wrapping_add(n)).collect();
        // indicatif hides the bar where standard error is not a terminal.
        let bar = ProgressBar::new((loads.len() * seeds.len()) as u64);
        bar.set_style(progress_style("{bar:40} {pos} of {len} plays"));
        let curve = curve::measure(&plan, &loads, &seeds, &|done, _| bar.set_position(done as u64));
        bar.finish_and_clear();
        let curve = curve?;
        create_folder(&self.out)?;
        curve.write(&self.out.join("curve.json")).map_err(Failure::Out)?;
        curve::write_plot(&curve, earlier.as_ref(), &self.out.join("curve.svg")).map_err(Failure::Out)?;
        print_table(&curve);
        println!("wrote curve.json and curve.svg in {}", self.out.display());
        Ok(true)
    }

    fn loads(&self) -> Result<Vec<f64>, Failure> {
        for (name, load) in [("--from", self.from), ("--to", self.to)] {
            if !(load > 0.0 && load <= MAX_LOAD) {
                return flag_error(name, format!("a load above 0 and up to {MAX_LOAD} expected, not {load}"));
            }
        }
        if !(1..=MAX_COUNT).contains(&self.loads) {
            return flag_error("--loads", format!("1 to {MAX_COUNT} expected, not {}", self.loads));
        }
        let step = (self.to - self.from) / (self.loads.max(2) - 1) as f64;
        Ok((0..self.loads).map(|n| self.from + step * n as f64).collect())
    }
}

fn flag_error<T>(flag: &'static str, reason: String) -> Result<T, Failure> {
    Err(Failure::Flag { flag, reason })
}

fn print_table(curve: &Curve) {
    let [nodes, servers] = curve.fleet;
    println!(
        "{}: {nodes} nodes, {servers} servers; shares of capacity, {} draws",
        curve.name,
        curve.seeds.len()
    );
    println!(
        "{:>6}{:>24}{:>14}{:>9}{:>9}  back after s",
        "load", "goodput", "worst class", "random", "oracle"
    );
    for point in &curve.points {
        let [min, mean, max] = point.goodput;
        let recovery = point.recover_s.iter().map(|s| s.map_or("never".to_string(), |s| format!("{s:.0}")));
        println!(
            "{:>6.2}{mean:>9.3} ({min:.3}, {max:.3}){:>13.3}{:>9.3}{:>9.3}  {}",
            point.load,
            point.worst_class,
            point.random,
            point.oracle,
            recovery.collect::<Vec<_>>().join(" ")
        );
    }
}
