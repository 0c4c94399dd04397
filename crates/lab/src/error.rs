//! What fails round a play, besides the play itself: files that are read and written, and settings that modules refuse.
//!
//! Each error of the lab says what failed and where in one line, and `advice()` what to do about it in a few reason.

use std::path::{Path, PathBuf};

use thiserror::Error;

/// Why a file is of no use.
#[derive(Debug, Error)]
pub enum FileError {
    /// It can't be read.
    #[error("{}: can't be read: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// It can't be written.
    #[error("{}: can't be written: {reason}", file.display())]
    Write {
        /// The file or folder.
        file: PathBuf,
        /// Why not.
        reason: String,
    },
    /// It does not hold what it should.
    #[error("{}: {field}: {reason}", file.display())]
    Format {
        /// The file.
        file: PathBuf,
        /// The field's path.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// It is of a version that this program does not know.
    #[error("{}: schema: {known} is known, not {found}", file.display())]
    Schema {
        /// The file.
        file: PathBuf,
        /// The version that is known.
        known: u32,
        /// Its own.
        found: u32,
    },
    /// A folder holds no result.
    #[error("{}: no result.json below it", folder.display())]
    NoResults {
        /// The folder.
        folder: PathBuf,
    },
}

impl FileError {
    /// Puts a file's name to a failed read.
    pub fn read(file: &Path) -> impl FnOnce(std::io::Error) -> Self {
        let file = file.to_path_buf();
        move |source| Self::Read { file, source }
    }

    /// Puts a file's name to a failed write.
    pub fn write<E: std::fmt::Display>(file: &Path) -> impl FnOnce(E) -> Self {
        let file = file.to_path_buf();
        move |error| Self::Write { file, reason: error.to_string() }
    }

    /// What to do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Read { .. } => "name a file that is there and may be read",
            Self::Write { .. } => "name a place that may be written and has room",
            Self::Format { .. } => "play it again to have the file written anew",
            Self::Schema { .. } => "use the program that wrote it, or play it again",
            Self::NoResults { .. } => "name the --out of a run, or a folder of some",
        }
    }
}

/// Reads a JSON file of a known version.
pub(crate) fn read_json<T: serde::de::DeserializeOwned>(
    file: &Path,
    known: u32,
    schema: impl Fn(&T) -> u32,
) -> Result<T, FileError> {
    let text = std::fs::read_to_string(file).map_err(FileError::read(file))?;
    let read: T =
        serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(&text)).map_err(|e| {
            FileError::Format {
                file: file.into(),
                field: e.path().to_string(),
                reason: e.inner().to_string(),
            }
        })?;
    match schema(&read) {
        found if found == known => Ok(read),
        found => Err(FileError::Schema { file: file.into(), known, found }),
    }
}

/// Why the decision modules could not be played.
#[derive(Debug, Error)]
pub enum ModelError {
    /// They refuse the plan's settings.
    #[error("settings: the nodes' modules refuse them: {0}")]
    Settings(String),
    /// A plan that was made of the one that was read can't be played.
    #[error(transparent)]
    Plan(#[from] crate::plan::PlanError),
}

impl ModelError {
    /// What to do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Settings(_) => "mend [[class]], [rules] and [server] of the experiment's file",
            Self::Plan(error) => error.advice(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::live::LabError;
    use crate::plan::PlanError;

    fn io() -> std::io::Error {
        std::io::ErrorKind::PermissionDenied.into()
    }

    /// One error of each variant: a variant that is left out does not compile.
    macro_rules! each {
        ($($variant:pat => $error:expr),+ $(,)?) => {{
            let all = vec![$($error),+];
            for error in &all {
                match error { $($variant => {})+ }
            }
            all.into_iter().map(|e| (e.to_string(), e.advice().to_string())).collect::<Vec<_>>()
        }};
    }

    #[test]
    fn every_error_is_one_line_and_has_advice() {
        let (file, field, reason) = (PathBuf::from("x"), String::from("a.b"), String::from("no"));
        let mut all = each! {
            FileError::Read { .. } => FileError::Read { file: file.clone(), source: io() },
            FileError::Write { .. } => FileError::Write { file: file.clone(), reason: reason.clone() },
            FileError::Format { .. } =>
                FileError::Format { file: file.clone(), field: field.clone(), reason: reason.clone() },
            FileError::Schema { .. } => FileError::Schema { file: file.clone(), known: 1, found: 2 },
            FileError::NoResults { .. } => FileError::NoResults { folder: file.clone() },
        };
        let plan = || PlanError::Read { file: "x".into(), source: io() };
        all.extend(each! {
            PlanError::Read { .. } => plan(),
            PlanError::Format { .. } =>
                PlanError::Format { file: "x".into(), line: 1, field: field.clone(), reason: reason.clone() },
            PlanError::InvalidValue { .. } => PlanError::InvalidValue { file: "x".into(), line: 1, field, reason: reason.clone() },
        });
        all.extend(each! {
            ModelError::Settings(_) => ModelError::Settings(reason.clone()),
            ModelError::Plan(_) => ModelError::Plan(plan()),
        });
        let at = ([127, 0, 0, 1], 1).into();
        all.extend(each! {
            LabError::Addresses(_) => LabError::Addresses(reason.clone()),
            LabError::Listen { .. } => LabError::Listen { at, source: io() },
            LabError::Start { .. } => LabError::Start { process: "node n1".into(), reason },
            LabError::NotReady { .. } =>
                LabError::NotReady { process: "node n1".into(), timeout_s: 1.0, last_log_line: "on its way".into() },
            LabError::Io { .. } => LabError::Io { what: "logs".into(), source: io() },
            LabError::TaskLeak => LabError::TaskLeak,
        });
        for (line, advice) in all {
            assert!(!line.is_empty() && !line.contains('\n'), "{line}");
            assert!(advice.len() > 10 && !advice.contains('\n'), "{line}: advice: {advice:?}");
        }
    }
}
