//! `stoneshift lab curve`: goodput against offered load, and the time back after an overload.

use std::path::PathBuf;

use clap::Args;
use indicatif::ProgressBar;
use lab::curve::{self, Curve};
use lab::plan::Plan;

use crate::failure::Failure;
use crate::{make_folder, style};

/// The largest load that is played, as a share of capacity.
const LOAD_MOST: f64 = 10.0;
/// The most loads, and the most draws of each.
const PLAYS_MOST: usize = 100;

#[derive(Debug, Args)]
pub struct Plays {
    /// The experiment's file; its fleet, servers, classes and clients are taken, not its load and faults.
    file: PathBuf,
    /// The first draw, in place of the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// How many draws of each load.
    #[arg(long, default_value_t = 3)]
    draws: usize,
    /// The least load, as a share of what the fleet can do.
    #[arg(long, default_value_t = 0.5)]
    from: f64,
    /// The largest load.
    #[arg(long, default_value_t = 3.0)]
    to: f64,
    /// How many loads.
    #[arg(long, default_value_t = 11)]
    loads: usize,
    /// An earlier curve.json, drawn beside this one.
    #[arg(long)]
    before: Option<PathBuf>,
    /// Where curve.json and curve.svg go; made where it is not there.
    #[arg(long, default_value = "target/lab")]
    out: PathBuf,
}

impl Plays {
    /// Plays all and writes the curve.
    ///
    /// # Errors
    /// Why it could not be played.
    pub fn play(self) -> Result<bool, Failure> {
        let loads = self.loads()?;
        if !(1..=PLAYS_MOST).contains(&self.draws) {
            return flag("--draws", format!("1 to {PLAYS_MOST} expected, not {}", self.draws));
        }
        let plan = Plan::load(&self.file)?;
        let before = self.before.as_deref().map(Curve::read).transpose()?;
        let first = self.seed.unwrap_or(plan.seed);
        let seeds: Vec<u64> = (0..self.draws as u64).map(|n| first.wrapping_add(n)).collect();
        // Hidden where standard error is not a terminal.
        let bar = ProgressBar::new((loads.len() * seeds.len()) as u64);
        bar.set_style(style("{bar:40} {pos} of {len} plays"));
        let curve = curve::measure(&plan, &loads, &seeds, &|done, _| bar.set_position(done as u64));
        bar.finish_and_clear();
        let curve = curve?;
        make_folder(&self.out)?;
        curve.write(&self.out.join("curve.json")).map_err(Failure::Out)?;
        curve::write_plot(&curve, before.as_ref(), &self.out.join("curve.svg")).map_err(Failure::Out)?;
        table(&curve);
        println!("wrote curve.json and curve.svg in {}", self.out.display());
        Ok(true)
    }

    fn loads(&self) -> Result<Vec<f64>, Failure> {
        for (name, load) in [("--from", self.from), ("--to", self.to)] {
            if !(load > 0.0 && load <= LOAD_MOST) {
                return flag(name, format!("a load above 0 and up to {LOAD_MOST} expected, not {load}"));
            }
        }
        if !(1..=PLAYS_MOST).contains(&self.loads) {
            return flag("--loads", format!("1 to {PLAYS_MOST} expected, not {}", self.loads));
        }
        let step = (self.to - self.from) / (self.loads.max(2) - 1) as f64;
        Ok((0..self.loads).map(|n| self.from + step * n as f64).collect())
    }
}

fn flag<T>(flag: &'static str, words: String) -> Result<T, Failure> {
    Err(Failure::Flag { flag, words })
}

fn table(curve: &Curve) {
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
    for p in &curve.points {
        let [least, mean, most] = p.goodput;
        let back = p.recover_s.iter().map(|s| s.map_or("never".to_string(), |s| format!("{s:.0}")));
        println!(
            "{:>6.2}{mean:>9.3} ({least:.3}, {most:.3}){:>13.3}{:>9.3}{:>9.3}  {}",
            p.load,
            p.worst_class,
            p.random,
            p.oracle,
            back.collect::<Vec<_>>().join(" ")
        );
    }
}
