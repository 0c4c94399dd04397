//! `stoneshift control`: runs one replica of a control group.

use std::path::PathBuf;
use std::process::ExitCode;

use ::control::config::Config;
use ::control::edge;
use clap::Args;

/// The arguments of `stoneshift control`.
#[derive(Debug, Args)]
pub struct Control {
    /// The replica's configuration file, TOML.
    #[arg(long)]
    config: PathBuf,
}

impl Control {
    /// Runs the replica until SIGTERM or SIGINT. The exit code is 0 after either signal, 1 where the replica can't run,
    /// and 2 where the configuration is wrong.
    pub fn run(self) -> ExitCode {
        let (message, code) = match Config::load(&self.config) {
            Ok(config) => match edge::run(config) {
                Ok(()) => return ExitCode::SUCCESS,
                Err(error) => (error.to_string(), 1),
            },
            Err(error) => (error.to_string(), 2),
        };
        eprintln!("stoneshift: {}", message.replace('\n', " "));
        ExitCode::from(code)
    }
}
