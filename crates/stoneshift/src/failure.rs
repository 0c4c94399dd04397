//! The errors of the program: each is one line, with advice on what to do.

use std::path::PathBuf;

use lab::error::{FileError, ModelError};
use lab::live::LabError;
use lab::plan::PlanError;
use thiserror::Error;

/// An error that ends the program with exit code 2.
#[derive(Debug, Error)]
pub enum Failure {
    /// An experiment's file can't be played.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A live run failed.
    #[error(transparent)]
    Lab(#[from] LabError),
    /// The decision modules could not be run.
    #[error(transparent)]
    Model(#[from] ModelError),
    /// A file can't be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The output folder can't be used.
    #[error("--out: {0}")]
    Out(FileError),
    /// A flag's value is out of its bounds.
    #[error("{flag}: {reason}")]
    Flag {
        /// The flag.
        flag: &'static str,
        /// What is wrong with the value.
        reason: String,
    },
    /// An experiment has more requests than a run can play.
    #[error("{}: load: more than {max} requests", file.display())]
    Load {
        /// The experiment's file.
        file: PathBuf,
        /// The limit.
        max: usize,
    },
    /// A program that has to be started does not exist.
    #[error("{flag}: {} does not exist", program.display())]
    Program {
        /// The flag that names the program.
        flag: &'static str,
        /// The program.
        program: PathBuf,
    },
    /// The path of this program can't be found.
    #[error("path of this program: {0}")]
    OwnPath(std::io::Error),
}

impl Failure {
    /// What to do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Plan(error) => error.advice(),
            Self::Lab(error) => error.advice(),
            Self::Model(error) => error.advice(),
            Self::File(error) | Self::Out(error) => error.advice(),
            Self::Flag { .. } => "give a value within the bounds; see --help",
            Self::Load { .. } => "lower [load] or length_s of the experiment",
            Self::Program { .. } => "build it with `cargo build --release --workspace`",
            Self::OwnPath(_) => "name the programs by their flags",
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_failure_is_one_line_and_has_advice() {
        let io = || std::io::Error::from(std::io::ErrorKind::NotFound);
        let file = || FileError::NoResults { folder: "x".into() };
        /// All errors of the list; a missing variant does not compile.
        macro_rules! each {
            ($($variant:pat => $failure:expr),+ $(,)?) => {{
                let all = [$($failure),+];
                for failure in &all {
                    match failure { $($variant => {})+ }
                }
                all
            }};
        }
        let all = each! {
            Failure::Plan(_) => Failure::Plan(PlanError::Read { file: "x".into(), source: io() }),
            Failure::Lab(_) => Failure::Lab(LabError::TaskLeak),
            Failure::Model(_) => Failure::Model(ModelError::Settings("no".into())),
            Failure::File(_) => Failure::File(file()),
            Failure::Out(_) => Failure::Out(file()),
            Failure::Flag { .. } => Failure::Flag { flag: "--draws", reason: "no".into() },
            Failure::Load { .. } => Failure::Load { file: "x".into(), max: 1 },
            Failure::Program { .. } => Failure::Program { flag: "--node", program: "x".into() },
            Failure::OwnPath(_) => Failure::OwnPath(io()),
        };
        for failure in all {
            let (line, advice) = (failure.to_string(), failure.advice());
            assert!(!line.is_empty() && !line.contains('\n'), "{line}");
            assert!(advice.len() > 10 && !advice.contains('\n'), "{line}: advice: {advice:?}");
        }
    }
}
