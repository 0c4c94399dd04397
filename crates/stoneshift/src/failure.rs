//! Why a call could not be carried out: one line, and what to do about it.

use std::path::PathBuf;

use lab::error::{FileError, ModelError};
use lab::live::LabError;
use lab::plan::PlanError;
use thiserror::Error;

/// What ends the program with exit code 2.
#[derive(Debug, Error)]
pub enum Failure {
    /// An experiment's file can't be played.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A run could not be played.
    #[error(transparent)]
    Lab(#[from] LabError),
    /// The decision modules could not be played.
    #[error(transparent)]
    Model(#[from] ModelError),
    /// A file that is read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// Where results go can't be used.
    #[error("--out: {0}")]
    Out(FileError),
    /// A flag's value is out of its bounds.
    #[error("{flag}: {words}")]
    Flag {
        /// The flag.
        flag: &'static str,
        /// What is wrong.
        words: String,
    },
    /// An experiment asks for more than a run can hold.
    #[error("{}: load: more than {most} requests", file.display())]
    Load {
        /// The experiment's file.
        file: PathBuf,
        /// How many are possible.
        most: usize,
    },
    /// A program that is to be started is not there.
    #[error("{flag}: {} is not there", program.display())]
    Program {
        /// The flag that names it.
        flag: &'static str,
        /// The program.
        program: PathBuf,
    },
    /// This program can't find itself.
    #[error("own program: {0}")]
    Own(std::io::Error),
}

impl Failure {
    /// What to do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Plan(error) => error.advice(),
            Self::Lab(error) => error.advice(),
            Self::Model(error) => error.advice(),
            Self::File(error) | Self::Out(error) => error.advice(),
            Self::Flag { .. } => "give a value within the bounds; --help tells them",
            Self::Load { .. } => "ask for less in [load], or for a shorter length_s",
            Self::Program { .. } => "build it with `cargo build --release --workspace`",
            Self::Own(_) => "name the programs by their flags",
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
        /// A variant that is left out does not compile.
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
            Failure::Flag { .. } => Failure::Flag { flag: "--draws", words: "no".into() },
            Failure::Load { .. } => Failure::Load { file: "x".into(), most: 1 },
            Failure::Program { .. } => Failure::Program { flag: "--node", program: "x".into() },
            Failure::Own(_) => Failure::Own(io()),
        };
        for failure in all {
            let (line, advice) = (failure.to_string(), failure.advice());
            assert!(!line.is_empty() && !line.contains('\n'), "{line}");
            assert!(advice.len() > 10 && !advice.contains('\n'), "{line}: advice: {advice:?}");
        }
    }
}
