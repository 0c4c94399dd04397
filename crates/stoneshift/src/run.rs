//! `stoneshift lab run`: one experiment, from its file to its verdict.

use std::path::PathBuf;
use std::rc::Rc;

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use lab::baseline::{self, Policy};
use lab::draw::{Draw, ARRIVALS_MOST};
use lab::live::{self, Options};
use lab::plan::Plan;
use lab::plot;
use lab::result::{RunResult, Verdict};

use crate::{node_program, table};

#[derive(Debug, Args)]
pub struct Run {
    /// The experiment's file.
    file: PathBuf,
    /// The draw, in place of the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// Where result, plots and the nodes' logs go; made where it is not there.
    #[arg(long, default_value = "target/lab")]
    out: PathBuf,
    /// The node's program; without it, the `glenwood` beside this program.
    #[arg(long)]
    node: Option<PathBuf>,
}

impl Run {
    /// Plays it; true where all held.
    ///
    /// # Errors
    /// One line that says why it could not be played.
    pub fn play(self) -> Result<bool, String> {
        let plan = Plan::load(&self.file).map_err(|e| e.to_string())?;
        let program = node_program(self.node)?;
        let program = program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?;
        let out = |what: &str, e: std::io::Error| format!("--out: {}: {what}: {e}", self.out.display());
        std::fs::create_dir_all(&self.out).map_err(|e| out("folder", e))?;
        let logs = self.out.join("logs");
        if logs.is_dir() {
            std::fs::remove_dir_all(&logs).map_err(|e| out("old logs", e))?;
        }
        let draw = Rc::new(Draw::new(&plan, self.seed.unwrap_or(plan.seed)));
        if draw.arrivals.len() >= ARRIVALS_MOST {
            return Err(format!("{}: load: more than {ARRIVALS_MOST} requests", self.file.display()));
        }
        println!(
            "{}: seed {}, {} nodes, {} servers in {} zones, {} requests in {} s",
            plan.name,
            draw.seed,
            draw.nodes.len(),
            draw.servers.len(),
            draw.zones.len(),
            draw.arrivals.len(),
            draw.length as f64 / 1e6
        );
        let [random, oracle] =
            [Policy::Random, Policy::Oracle].map(|policy| baseline::play(&draw, &plan.rules, policy));
        // Hidden where standard error is not a terminal.
        let bar = ProgressBar::new(1000);
        let style = ProgressStyle::with_template("{bar:40} {percent}% {msg}").map_err(|e| e.to_string())?;
        bar.set_style(style);
        let progress = |share: f64, served: f64| {
            bar.set_position((share.min(1.0) * 1e3) as u64);
            bar.set_message(format!("served of late {served:.3}"));
        };
        let played = live::play(&plan, draw, &Options { program, logs: &logs, progress: &progress });
        bar.finish_and_clear();
        let played = played.map_err(|e| e.to_string())?;
        let result = RunResult::new(&plan, &played, &random, &oracle);
        result.write(&self.out.join("result.json")).map_err(|e| out("result.json", e))?;
        plot::write(&result, &self.out.join("run.svg"))?;
        print!("{}", table::of(&result));
        println!("wrote result.json and run.svg in {}", self.out.display());
        Ok(result.verdict == Verdict::Held)
    }
}
