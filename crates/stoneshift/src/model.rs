//! `stoneshift lab model`: draws of an experiment in the virtual clock, with the decision modules in place of nodes.

use std::path::PathBuf;
use std::rc::Rc;

use clap::Args;
use lab::baseline::{self, BaselinePolicy};
use lab::draw::Draw;
use lab::live::CompletedRun;
use lab::modules::{self, Snapshot, SnapshotObserver};
use lab::plan::{FaultKind, Plan};
use lab::plot;
use lab::result::{OutcomeCounts, RunResult, RunVerdict};
use lab::tally::SecondCounts;
use lab::world::World;
use tulipmount::Status;

use crate::failure::Failure;
use crate::{create_folder, table};

/// The arguments of `stoneshift lab model`.
#[derive(Debug, Args)]
pub struct ModelArgs {
    /// The experiment's file.
    file: PathBuf,
    /// The seed of the first draw, in place of the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// The number of draws, with consecutive seeds.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    draws: u64,
    /// Leaves out the faults of a kind, such as policy, for comparison; may be given several times.
    #[arg(long, value_name = "KIND", value_parser = crate::run::parse_kind)]
    without: Vec<FaultKind>,
    /// The number of nodes, in place of the file's.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=1000))]
    nodes: Option<u32>,
    /// The folder for each draw's result and plot; without it they are not written.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Prints lines for each second: the servers' real state, the modules' view of it, and the outcomes of requests.
    #[arg(long)]
    seconds: bool,
}

impl ModelArgs {
    /// Plays the draws and prints their results; true where all expectations hold.
    ///
    /// # Errors
    /// The file is wrong, the modules reject the experiment, or the output can't be written.
    pub fn run(self) -> Result<bool, Failure> {
        let mut plan = Plan::load(&self.file)?.without(&self.without);
        if let Some(nodes) = self.nodes {
            plan.fleet.get_mut().nodes = lab::plan::Range::Fixed(f64::from(nodes));
        }
        let first = self.seed.unwrap_or(plan.seed);
        let mut all_held = true;
        for seed in first..first.saturating_add(self.draws) {
            let draw = Rc::new(Draw::new(&plan, seed));
            println!(
                "{}: seed {seed}, {} nodes, {} servers, {} requests",
                plan.name,
                draw.nodes.len(),
                draw.servers.len(),
                draw.arrivals.len()
            );
            let mut show = |look: &Snapshot<'_>| print_state(look);
            let look: Option<SnapshotObserver<'_>> =
                if self.seconds { Some((1_000_000, &mut show)) } else { None };
            let world = modules::play(&plan, &draw, look)?;
            let [random, oracle] = [BaselinePolicy::Random, BaselinePolicy::Oracle]
                .map(|policy| baseline::play(&draw, &plan.rules, policy));
            let played =
                CompletedRun { world, interrupted: false, node_peak_usage: (0.0, 0), lab_cpu_share: 0.0 };
            let result = RunResult::new(&plan, &played, &random, &oracle);
            if let Some(out) = &self.out {
                let out = out.join(seed.to_string());
                create_folder(&out)?;
                result.write(&out.join("result.json")).map_err(Failure::Out)?;
                plot::write(&result, &out.join("run.svg")).map_err(Failure::Out)?;
            }
            if self.seconds {
                print_seconds(&result, &played.world);
            }
            print!("{}", table::format_result(&result));
            all_held &= result.verdict == RunVerdict::Held;
        }
        Ok(all_held)
    }
}

/// Prints the real state of the servers, and the mean of the modules' view of it.
fn print_state(look: &Snapshot<'_>) {
    let f = look.world.fleet_state();
    let mean =
        |of: fn(&Status) -> f64| look.nodes.iter().map(of).sum::<f64>() / look.nodes.len().max(1) as f64;
    println!(
        "{:>4.0} s: {:>3} servers usable, {:>3} idle, {:>3} cold, capacity {:>6.1}, done {:>6.0}, {:>4.1} held a core, {:>4.1} most; \
         a node: {:.1} servers, {:.1} cold, {:.1} ejected, {:.1} out, {:.1} held, limits {:.1} x {:.2}",
        look.now as f64 / 1e6,
        f.servers,
        f.idle,
        f.cold,
        f.capacity,
        f.work_done_s,
        f.in_flight_per_core,
        f.max_in_flight_per_core,
        mean(|s| s.servers as f64),
        mean(|s| s.cold as f64),
        mean(|s| s.ejected as f64),
        mean(|s| s.in_flight as f64),
        mean(|s| s.queued as f64),
        mean(|s| s.total_limit),
        mean(|s| s.fleet_factor),
    );
}

/// Prints the requests of each second and their outcomes.
fn print_seconds(result: &RunResult, world: &World) {
    for (s, (second, counts)) in result.seconds.iter().zip(&world.tally().seconds).enumerate() {
        let OutcomeCounts { in_time, late, refused, failed, unanswered } = second.ends;
        let SecondCounts { tries, attempts, turned_away, connections, refused_connections } = counts;
        println!(
            "{s:>4} s: {:>5} asked, {in_time:>5} in time, {late:>4} late, {refused:>4} refused, {failed:>4} failed, \
             {unanswered:>3} unanswered; {tries:>5} tries, {attempts:>5} attempts, {turned_away:>4} turned away, \
             {connections:>4} connections, {refused_connections:>3} refused",
            second.ends.all()
        );
    }
}
