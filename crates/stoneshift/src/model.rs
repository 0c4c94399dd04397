//! `stoneshift lab model`: an experiment's draw in the virtual clock, with the decision modules in the nodes' place.

use std::path::PathBuf;
use std::rc::Rc;

use clap::Args;
use lab::baseline::{self, Policy};
use lab::draw::Draw;
use lab::live::Played;
use lab::modules::{self, Look, Watcher};
use lab::plan::Plan;
use lab::plot;
use lab::result::{RunResult, Verdict};

use crate::table;

#[derive(Debug, Args)]
pub struct Model {
    /// The experiment's file.
    file: PathBuf,
    /// The draw, in place of the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// How many draws, from that seed on.
    #[arg(long, default_value_t = 1)]
    draws: u64,
    /// Nodes, in place of the file's.
    #[arg(long)]
    nodes: Option<u32>,
    /// Where each draw's result and plots go; without it, nowhere.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Prints a line each second: true capacity, backlog, and what the modules say of themselves.
    #[arg(long)]
    seconds: bool,
}

impl Model {
    /// Plays it; true where all held.
    ///
    /// # Errors
    /// One line that says why it could not be played.
    pub fn play(self) -> Result<bool, String> {
        let mut plan = Plan::load(&self.file).map_err(|e| e.to_string())?;
        if let Some(nodes) = self.nodes {
            plan.fleet.get_mut().nodes = lab::plan::Range::Fixed(f64::from(nodes));
        }
        let first = self.seed.unwrap_or(plan.seed);
        let mut held = true;
        for seed in first..first.saturating_add(self.draws.max(1)) {
            let draw = Rc::new(Draw::new(&plan, seed));
            println!(
                "{}: seed {seed}, {} nodes, {} servers, {} requests",
                plan.name,
                draw.nodes.len(),
                draw.servers.len(),
                draw.arrivals.len()
            );
            let mut show = |look: &Look<'_>| second(look);
            let look: Option<Watcher<'_>> = if self.seconds { Some((1_000_000, &mut show)) } else { None };
            let world = modules::play(&plan, &draw, look)?;
            let [random, oracle] =
                [Policy::Random, Policy::Oracle].map(|policy| baseline::play(&draw, &plan.rules, policy));
            let played = Played { world, interrupted: false, held: (0.0, 0), busy: 0.0 };
            let result = RunResult::new(&plan, &played, &random, &oracle);
            if let Some(out) = &self.out {
                let out = out.join(seed.to_string());
                let fail = |e: std::io::Error| format!("--out: {}: {e}", out.display());
                std::fs::create_dir_all(&out).map_err(fail)?;
                result.write(&out.join("result.json")).map_err(fail)?;
                plot::write(&result, &out.join("run.svg"))?;
            }
            if self.seconds {
                for (s, second) in result.seconds.iter().enumerate() {
                    let e = second.ends;
                    let c = &played.world.tally().seconds[s];
                    println!(
                        "{s:>3}: asked {:>5} in time {:>5} late {:>4} refused {:>4} failed {:>4} none {:>4}; tries {:>5} attempts {:>5} away {:>4} connects {:>4} refused {:>4}",
                        e.all(), e.in_time, e.late, e.refused, e.failed, e.unanswered,
                        c.tries, c.attempts, c.turned_away, c.connections, c.refused_connections
                    );
                }
            }
            print!("{}", table::of(&result));
            held &= result.verdict == Verdict::Held;
        }
        Ok(held)
    }
}

fn second(look: &Look<'_>) {
    let f = look.world.fleet_state();
    let mut sums = [0.0; 10];
    let mut count = 0.0;
    for words in look.words.iter().flatten() {
        count += 1.0;
        let numbers =
            words.split(|c: char| !c.is_ascii_digit() && c != '.').filter_map(|w| w.parse::<f64>().ok());
        for (sum, n) in sums.iter_mut().zip(numbers) {
            *sum += n;
        }
    }
    let names = ["held", "out", "used", "servers", "ejected", "down", "cold", "limits", "fleet"];
    let figures: Vec<String> = names.iter().zip(sums).map(|(n, s)| format!("{n} {:.2}", s / count)).collect();
    println!(
        "{:>5.1} s: usable {:>3} idle {:>3} cold {:>3} capacity {:>6.1} held {:.2} most {:.1} done {:.0}; {}",
        look.now as f64 / 1e6,
        f.servers,
        f.idle,
        f.cold,
        f.capacity,
        f.held,
        f.most_held,
        f.done,
        figures.join(" ")
    );
}
