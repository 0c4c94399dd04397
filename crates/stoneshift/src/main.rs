//! The command line: experiments on real nodes.
//!
//! Exit codes: 0 what must hold held, 1 it did not or the run does not count, 2 the call or a file is wrong. Of a
//! replica: 0 it was told to end, 1 it can't go on, 2 its configuration is wrong.

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

/// Tools round the load-balancing node.
#[derive(Debug, Parser)]
#[command(
    name = "stoneshift",
    version,
    after_help = "Exit codes: 0 held, 1 did not hold, 2 usage or configuration."
)]
struct Cli {
    /// How log lines look.
    #[arg(long, global = true, value_enum, default_value_t = Form::Text)]
    log_format: Form,
    /// Which log lines are written: error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "warn")]
    log_level: LevelFilter,
    #[command(subcommand)]
    command: Command,
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Form {
    /// key=value.
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// The fleet lab: real nodes between emulated parties.
    Lab {
        #[command(subcommand)]
        command: Lab,
    },
    /// One replica of the control group that a fleet agrees on its policy by; runs until SIGTERM.
    Control(control::Control),
    /// Compares two runs, or two sets of plays: medians, spread, what moved beyond it.
    Report {
        /// A result.json, or a folder with some below it.
        a: PathBuf,
        /// What it is compared with.
        b: PathBuf,
    },
    /// Writes a shell's completions to standard output.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

#[derive(Debug, Subcommand)]
enum Lab {
    /// Plays an experiment and says whether what must hold did.
    Run(run::Run),
    /// Plays an experiment's draw in the virtual clock with the decision modules alone, without processes.
    Model(model::Model),
    /// Goodput against offered load, and the time back after an overload, in the virtual clock.
    Curve(curve::Plays),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let log = tracing_subscriber::fmt().with_writer(io::stderr).with_max_level(cli.log_level);
    // The consensus library tells each of its steps at info: of use to who looks into the library alone.
    let library = if cli.log_level > LevelFilter::INFO { cli.log_level } else { LevelFilter::WARN };
    let targets =
        Targets::new().with_default(cli.log_level).with_target("openraft", library.min(cli.log_level));
    match cli.log_format {
        Form::Text => log.finish().with(targets).init(),
        Form::Json => log.json().finish().with(targets).init(),
    }
    let done = match cli.command {
        Command::Lab { command: Lab::Run(run) } => run.play(),
        Command::Lab { command: Lab::Model(model) } => model.play(),
        Command::Lab { command: Lab::Curve(plays) } => plays.play(),
        Command::Control(replica) => return replica.run(),
        Command::Report { a, b } => report(&a, &b),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "stoneshift", &mut io::stdout());
            Ok(true)
        }
    };
    match done {
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

/// The node's program: what was named, or the one beside this program.
fn node_program(named: Option<PathBuf>) -> Result<PathBuf, Failure> {
    let program = match named {
        Some(path) => path,
        None => {
            let own = std::env::current_exe().map_err(Failure::Own)?;
            own.with_file_name("glenwood")
        }
    };
    whole("--node", program)
}

/// The replicas' program: what was named, or this one.
fn control_program(named: Option<PathBuf>) -> Result<PathBuf, Failure> {
    match named {
        Some(program) => whole("--control", program),
        None => std::env::current_exe().map_err(Failure::Own),
    }
}

/// A program's whole path: a name without a folder would be searched for elsewhere.
fn whole(flag: &'static str, program: PathBuf) -> Result<PathBuf, Failure> {
    match program.canonicalize() {
        Ok(path) if path.is_file() => Ok(path),
        _ => Err(Failure::Program { flag, program }),
    }
}

/// Makes the folder that results go to.
fn make_folder(out: &Path) -> Result<(), Failure> {
    std::fs::create_dir_all(out).map_err(FileError::write(out)).map_err(Failure::Out)
}

/// How a progress bar looks; as ever where the template is not one.
fn style(template: &str) -> ProgressStyle {
    ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar())
}
