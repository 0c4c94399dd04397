//! The command line of the lab, and of a control group's replicas.
//!
//! Exit codes: 0 all expectations hold, 1 one does not or the run does not count, 2 a flag or a file is wrong. Of a
//! replica: 0 it ended on a signal, 1 it cannot go on, 2 its configuration is wrong.

mod control;
mod curve;
mod failure;
mod model;
mod run;
mod table;

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use indicatif::ProgressStyle;
use lab::compare;
use lab::error::FileError;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use self::failure::Failure;

/// Tools for the load-balancing node.
#[derive(Debug, Parser)]
#[command(
    name = "stoneshift",
    version,
    after_help = "Exit codes: 0 held, 1 did not hold, 2 usage or configuration."
)]
struct Cli {
    /// The format of log lines.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// The lowest level of log lines that are written: error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "warn")]
    log_level: LevelFilter,
    #[command(subcommand)]
    command: Command,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    /// key=value pairs.
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// The fleet lab: real nodes between emulated parties.
    Lab {
        #[command(subcommand)]
        command: LabCommand,
    },
    /// Runs one replica of the control group that agrees on a fleet's policy, until SIGTERM.
    Control(control::Control),
    /// Compares two runs, or two sets of runs: medians, ranges, and what moved beyond the range.
    Report {
        /// A result.json, or a folder with some below it.
        a: PathBuf,
        /// The result.json or folder to compare with.
        b: PathBuf,
    },
    /// Writes the completion script of a shell to standard output.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

#[derive(Debug, Subcommand)]
enum LabCommand {
    /// Runs an experiment on real nodes and evaluates its expectations.
    Run(run::RunArgs),
    /// Plays draws of an experiment in the virtual clock with the decision modules alone, without processes.
    Model(model::ModelArgs),
    /// Measures goodput against offered load, and the recovery time after an overload, in the virtual clock.
    Curve(curve::CurveArgs),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let log = tracing_subscriber::fmt().with_writer(io::stderr).with_max_level(cli.log_level);
    // openraft logs each of its steps at info. So its lines below warn are written only where debug or trace is set.
    let library_level = if cli.log_level > LevelFilter::INFO { cli.log_level } else { LevelFilter::WARN };
    let targets =
        Targets::new().with_default(cli.log_level).with_target("openraft", library_level.min(cli.log_level));
    match cli.log_format {
        LogFormat::Text => log.finish().with(targets).init(),
        LogFormat::Json => log.json().finish().with(targets).init(),
    }
    let result = match cli.command {
        Command::Lab { command: LabCommand::Run(args) } => args.run(),
        Command::Lab { command: LabCommand::Model(args) } => args.run(),
        Command::Lab { command: LabCommand::Curve(args) } => args.run(),
        Command::Control(replica) => return replica.run(),
        Command::Report { a, b } => report(&a, &b),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "stoneshift", &mut io::stdout());
            Ok(true)
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(failure) => {
            let line = format!("{failure}; {}", failure.advice());
            eprintln!("stoneshift: {}", line.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

fn report(a: &Path, b: &Path) -> Result<bool, Failure> {
    print!("{}", compare::compare(&compare::load(a)?, &compare::load(b)?));
    Ok(true)
}

/// The path of the node's program: the one that was given, or `glenwood` in the folder of this program.
fn node_program(given: Option<PathBuf>) -> Result<PathBuf, Failure> {
    let program = match given {
        Some(path) => path,
        None => {
            let own = std::env::current_exe().map_err(Failure::OwnPath)?;
            own.with_file_name("glenwood")
        }
    };
    absolute_path("--node", program)
}

/// The path of the replicas' program: the one that was given, or this program.
fn control_program(given: Option<PathBuf>) -> Result<PathBuf, Failure> {
    match given {
        Some(program) => absolute_path("--control", program),
        None => std::env::current_exe().map_err(Failure::OwnPath),
    }
}

/// A program's absolute path: a name without a folder would be searched for in `PATH`.
fn absolute_path(flag: &'static str, program: PathBuf) -> Result<PathBuf, Failure> {
    match program.canonicalize() {
        Ok(path) if path.is_file() => Ok(path),
        _ => Err(Failure::Program { flag, program }),
    }
}

/// Creates the output folder.
fn create_folder(out: &Path) -> Result<(), Failure> {
    std::fs::create_dir_all(out).map_err(FileError::write(out)).map_err(Failure::Out)
}

/// The style of a progress bar; the default style where the template is invalid.
fn progress_style(template: &str) -> ProgressStyle {
    ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar())
}
