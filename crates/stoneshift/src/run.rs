//! `stoneshift lab run`: runs one experiment on real nodes.

use std::path::PathBuf;
use std::rc::Rc;

use clap::Args;
use indicatif::ProgressBar;
use lab::baseline::{self, BaselinePolicy};
use lab::draw::{Draw, MAX_ARRIVALS};
use lab::error::FileError;
use lab::live::{self, Options};
use lab::plan::{FaultKind, Plan};
use lab::plot;
use lab::result::{RunResult, RunVerdict};

use crate::failure::Failure;
use crate::{control_program, create_folder, node_program, progress_style, table};

/// The arguments of `stoneshift lab run`.
#[derive(Debug, Args)]
pub struct RunArgs {
    /// The experiment's file.
    file: PathBuf,
    /// The seed of the draw, in place of the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// The folder for the result, the plot and the nodes' logs; created if it does not exist.
    #[arg(long, default_value = "target/lab")]
    out: PathBuf,
    /// Leaves out the faults of a kind, such as policy, for comparison; may be given several times.
    #[arg(long, value_name = "KIND", value_parser = parse_kind)]
    without: Vec<FaultKind>,
    /// The node's program; by default `glenwood` in the folder of this program.
    #[arg(long)]
    node: Option<PathBuf>,
    /// The replicas' program, for experiments with a control group; by default this program.
    #[arg(long)]
    control: Option<PathBuf>,
}

impl RunArgs {
    /// Runs the experiment and prints its result; true where all expectations hold.
    ///
    /// # Errors
    /// The file or a program is wrong, the run failed, or the output can't be written.
    pub fn run(self) -> Result<bool, Failure> {
        let plan = Plan::load(&self.file)?.without(&self.without);
        let program = node_program(self.node)?;
        let control = control_program(self.control)?;
        create_folder(&self.out)?;
        let logs = self.out.join("logs");
        if logs.is_dir() {
            std::fs::remove_dir_all(&logs).map_err(FileError::write(&logs)).map_err(Failure::Out)?;
        }
        let draw = Rc::new(Draw::new(&plan, self.seed.unwrap_or(plan.seed)));
        if draw.arrivals.len() >= MAX_ARRIVALS {
            return Err(Failure::Load { file: self.file, max: MAX_ARRIVALS });
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
        let [random, oracle] = [BaselinePolicy::Random, BaselinePolicy::Oracle]
            .map(|policy| baseline::play(&draw, &plan.rules, policy));
        // indicatif hides the bar where standard error is not a terminal.
        let bar = ProgressBar::new(1000);
        bar.set_style(progress_style("{bar:40} {percent}% {msg}"));
        let progress = |share: f64, served: f64| {
            bar.set_position((share.min(1.0) * 1e3) as u64);
            bar.set_message(format!("served of late {served:.3}"));
        };
        let played = live::play(&plan, draw, &Options { program, control, logs: &logs, progress: &progress });
        bar.finish_and_clear();
        let played = played?;
        let result = RunResult::new(&plan, &played, &random, &oracle);
        result.write(&self.out.join("result.json")).map_err(Failure::Out)?;
        plot::write(&result, &self.out.join("run.svg")).map_err(Failure::Out)?;
        print!("{}", table::format_result(&result));
        println!("wrote result.json and run.svg in {}", self.out.display());
        Ok(result.verdict == RunVerdict::Held)
    }
}

/// Parses a fault's kind, written as in experiment files.
///
/// # Errors
/// There is no such kind; the error names all kinds.
pub fn parse_kind(name: &str) -> Result<FaultKind, serde::de::value::Error> {
    use serde::de::IntoDeserializer;
    serde::Deserialize::deserialize(name.into_deserializer())
}
