//! `stoneshift control`: one replica of a control group.

use std::path::PathBuf;
use std::process::ExitCode;

use ::control::config::Config;
use ::control::edge;
use clap::Args;

#[derive(Debug, Args)]
pub struct Control {
    /// The replica's configuration, TOML.
    #[arg(long)]
    config: PathBuf,
}

impl Control {
    /// Runs the replica until SIGTERM or SIGINT: 0 after either, 1 where it can't run, 2 where the file is wrong.
    pub fn run(self) -> ExitCode {
        let (words, code) = match Config::load(&self.config) {
            Ok(config) => match edge::run(config) {
                Ok(()) => return ExitCode::SUCCESS,
                Err(error) => (error.to_string(), 1),
            },
            Err(error) => (error.to_string(), 2),
        };
        eprintln!("stoneshift: {}", words.replace('\n', " "));
        ExitCode::from(code)
    }
}
