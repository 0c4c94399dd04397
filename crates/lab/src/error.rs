//! Errors of the lab outside a live run: files that can't be read or written, and settings that the decision modules
//! reject.
//!
//! Each error of the lab says in one line what failed and where; `advice()` says in a few words what to do about it.

use std::path::{Path, PathBuf};

use thiserror::Error;

/// Why a file can't be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file can't be read.
    #[error("{}: can't be read: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file or folder can't be written.
    #[error("{}: can't be written: {reason}", file.display())]
    Write {
        /// The file or folder.
        file: PathBuf,
        /// The error.
        reason: String,
    },
    /// The file's content has the wrong form.
    #[error("{}: {field}: {reason}", file.display())]
    Format {
        /// The file.
        file: PathBuf,
        /// The field's path.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The file has a version that this program does not support.
    #[error("{}: schema: version {known} is supported, not {found}", file.display())]
    Schema {
        /// The file.
        file: PathBuf,
        /// The supported version.
        known: u32,
        /// The file's version.
        found: u32,
    },
    /// A folder has no result in it.
    #[error("{}: no result.json below it", folder.display())]
    NoResults {
        /// The folder.
        folder: PathBuf,
    },
}

impl FileError {
    /// Maps the I/O error of a failed read to an error with the file's name.
    pub fn read(file: &Path) -> impl FnOnce(std::io::Error) -> Self {
        let file = file.to_path_buf();
        move |source| Self::Read { file, source }
    }

    /// Maps the error of a failed write to an error with the file's name.
    pub fn write<E: std::fmt::Display>(file: &Path) -> impl FnOnce(E) -> Self {
        let file = file.to_path_buf();
        move |error| Self::Write { file, reason: error.to_string() }
    }

    /// What to do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Read { .. } => "name a file that exists and is readable",
            Self::Write { .. } => "name a writable place with enough space",
            Self::Format { .. } => "run the experiment again to write the file anew",
            Self::Schema { .. } => "use the program that wrote it, or run the experiment again",
            Self::NoResults { .. } => "name the --out folder of a run, or a folder with some below it",
        }
    }
}

/// Reads a JSON file and checks its version.
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

/// Why the decision modules could not be run.
#[derive(Debug, Error)]
pub enum ModelError {
    /// They reject the settings that were made from the plan.
    #[error("settings: the nodes' decision modules reject them: {0}")]
    Settings(String),
    /// A plan that was derived from the one that was read can't be played.
    #[error(transparent)]
    Plan(#[from] crate::plan::PlanError),
}

impl ModelError {
    /// What to do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Settings(_) => "correct [[class]], [rules] and [server] of the experiment's file",
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

    /// The message and advice of one error of each variant; a missing variant does not compile.
    macro_rules! one_of_each_variant {
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
        let mut all = one_of_each_variant! {
            FileError::Read { .. } => FileError::Read { file: file.clone(), source: io() },
            FileError::Write { .. } => FileError::Write { file: file.clone(), reason: reason.clone() },
            FileError::Format { .. } =>
                FileError::Format { file: file.clone(), field: field.clone(), reason: reason.clone() },
            FileError::Schema { .. } => FileError::Schema { file: file.clone(), known: 1, found: 2 },
            FileError::NoResults { .. } => FileError::NoResults { folder: file.clone() },
        };
        let plan = || PlanError::Read { file: "x".into(), source: io() };
        all.extend(one_of_each_variant! {
            PlanError::Read { .. } => plan(),
            PlanError::Format { .. } =>
                PlanError::Format { file: "x".into(), line: 1, field: field.clone(), reason: reason.clone() },
            PlanError::InvalidValue { .. } => PlanError::InvalidValue { file: "x".into(), line: 1, field, reason: reason.clone() },
        });
        all.extend(one_of_each_variant! {
            ModelError::Settings(_) => ModelError::Settings(reason.clone()),
            ModelError::Plan(_) => ModelError::Plan(plan()),
        });
        let at = ([127, 0, 0, 1], 1).into();
        all.extend(one_of_each_variant! {
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
