//! The epoch that a node judged by last, on its disk: one file, replaced whole, for a start without the control group.
//!
//! The first line says which form the file has and what the rest of it hashes to; the rest is JSON. What is not this
//! node's, or is of a form to come, is left as it is.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use member::SavedEpoch;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use super::fault::Advice;

/// The file's name in its folder; what it is written to first has more after it.
const NAME: &str = "agreed-epoch";
const UNDER_WAY: &str = "agreed-epoch.new-";
/// What the file begins with, and the form that is written here.
const MARK: &str = "agreed-epoch";
const FORM: u32 = 1;
/// A longer file is none of ours: a policy has 64 KiB at the most.
const MOST: u64 = 256 * 1024;

/// What is wrong with the file.
#[derive(Debug, Error)]
pub enum SavedError {
    /// It can't be read.
    #[error("state_dir: {path}: {error}")]
    Unread {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// It is not as it was written.
    #[error("state_dir: {path}: damaged, left out: {words}")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        words: &'static str,
    },
    /// It is another node's.
    #[error("state_dir: {path}: of node {node:?}, left out")]
    Foreign {
        /// The file.
        path: PathBuf,
        /// Whose it is.
        node: String,
    },
    /// A later version of the program wrote it.
    #[error("state_dir: {path}: of form {form}, newer than {FORM}, left out")]
    Newer {
        /// The file.
        path: PathBuf,
        /// Its form.
        form: u32,
    },
    /// It can't be written.
    #[error("state_dir: {path}: the epoch is not saved: {error}")]
    Unwritten {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: io::Error,
    },
}

impl Advice for SavedError {
    fn advice(&self) -> String {
        match self {
            Self::Unread { .. } => "let the node's user read it".into(),
            Self::Damaged { .. } => {
                "nothing need be done, the next epoch replaces it; look at the disk".into()
            }
            Self::Foreign { .. } => {
                "give each node a state_dir of its own; nothing is saved until then".into()
            }
            Self::Newer { .. } => {
                "run the version that wrote it, or remove it; nothing is saved until then".into()
            }
            Self::Unwritten { error, .. } => {
                let mend = match error.kind() {
                    io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => "make room there",
                    io::ErrorKind::PermissionDenied | io::ErrorKind::ReadOnlyFilesystem => {
                        "let the node's user write there"
                    }
                    _ => "look at the folder and its disk",
                };
                format!("{mend}; the node serves on and tries again")
            }
        }
    }
}

/// What the file holds after its first line.
#[derive(Deserialize, Serialize)]
struct Content {
    node: String,
    #[serde(flatten)]
    saved: SavedEpoch,
}

/// A node's file.
#[derive(Clone)]
pub struct Place {
    path: PathBuf,
    node: String,
}

impl Place {
    /// The file of a node in its folder.
    pub fn new(folder: &Path, node: &str) -> Self {
        Self { path: folder.join(NAME), node: node.to_string() }
    }

    /// What was saved, if anything was. To be called at the start: what earlier processes left half written goes.
    ///
    /// # Errors
    /// Where there is a file that can't be used.
    pub fn read(&self) -> Result<Option<SavedEpoch>, SavedError> {
        self.sweep();
        let mut bytes = Vec::new();
        match File::open(&self.path).and_then(|file| file.take(MOST).read_to_end(&mut bytes)) {
            Ok(_) => self.decode(&bytes).map(Some),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(SavedError::Unread { path: self.path.clone(), error }),
        }
    }

    /// Replaces what was saved; on the disk once this returns.
    ///
    /// # Errors
    /// Where it can't be written; what was saved before then still is.
    pub fn write(&self, saved: &SavedEpoch) -> Result<(), SavedError> {
        let content = Content { node: self.node.clone(), saved: saved.clone() };
        let new = self.path.with_file_name(format!("{UNDER_WAY}{}", std::process::id()));
        let write = || {
            let json = serde_json::to_string(&content)?;
            let mut file = File::create(&new)?;
            write!(file, "{MARK} {FORM} {:016x}\n{json}", xxh3_64(json.as_bytes()))?;
            file.sync_all()?;
            fs::rename(&new, &self.path)?;
            // The name is only there for good once its folder is.
            File::open(self.path.parent().unwrap_or(Path::new(".")))?.sync_all()
        };
        write().map_err(|error| {
            let _ = fs::remove_file(&new);
            SavedError::Unwritten { path: self.path.clone(), error }
        })
    }

    fn decode(&self, bytes: &[u8]) -> Result<SavedEpoch, SavedError> {
        let path = || self.path.clone();
        let damaged = |words| SavedError::Damaged { path: path(), words };
        let text = std::str::from_utf8(bytes).map_err(|_| damaged("not text"))?;
        let (head, json) = text.split_once('\n').ok_or(damaged("cut off"))?;
        let mut head = head.split(' ');
        if head.next() != Some(MARK) {
            return Err(damaged("not a saved epoch"));
        }
        match head.next().and_then(|n| n.parse().ok()) {
            Some(FORM) => {}
            Some(form) if form > FORM => return Err(SavedError::Newer { path: path(), form }),
            _ => return Err(damaged("of no form")),
        }
        if head.next() != Some(&format!("{:016x}", xxh3_64(json.as_bytes()))) {
            return Err(damaged("its hash is another"));
        }
        let content: Content = serde_json::from_str(json).map_err(|_| damaged("not JSON as expected"))?;
        if content.node != self.node {
            return Err(SavedError::Foreign { path: path(), node: content.node });
        }
        Ok(content.saved)
    }

    fn sweep(&self) {
        let Some(Ok(files)) = self.path.parent().map(fs::read_dir) else { return };
        for file in files.flatten() {
            if file.file_name().to_string_lossy().starts_with(UNDER_WAY) {
                // Of an older process that is about to rename it: that one tries again.
                let _ = fs::remove_file(file.path());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use member::Policy;
    use serde_json::json;

    use super::super::fault::tests::each_has_its_advice;
    use super::*;

    fn folder(test: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    fn saved(epoch: u64) -> SavedEpoch {
        let policy = json!({"Limits": {"OpenCap": 7}}).as_object().expect("an object").clone();
        SavedEpoch { epoch, policy: Policy(policy), fenced: epoch > 1 }
    }

    #[test]
    fn what_was_saved_last_is_read() {
        let folder = folder("saved");
        let place = Place::new(&folder, "n0");
        assert!(place.read().expect("no file yet").is_none());
        fs::write(folder.join(format!("{UNDER_WAY}1")), "half").expect("a file");
        for epoch in [1, 2] {
            place.write(&saved(epoch)).expect("room");
            assert_eq!(place.read().expect("whole"), Some(saved(epoch)));
        }
        assert_eq!(fs::read_dir(&folder).expect("a folder").count(), 1, "nothing half written stays");
    }

    /// A bit that is another one, anywhere, and a file that is cut off anywhere, are found.
    #[test]
    fn a_damaged_file_is_found() {
        let folder = folder("damaged");
        let place = Place::new(&folder, "n0");
        place.write(&saved(1)).expect("room");
        let path = folder.join(NAME);
        let whole = fs::read(&path).expect("a file");
        for at in 0..whole.len() {
            let mut spoilt = whole.clone();
            spoilt[at] ^= 1;
            for bytes in [&spoilt[..], &whole[..at]] {
                fs::write(&path, bytes).expect("room");
                let read = place.read();
                assert!(read.is_err(), "byte {at}: {read:?}");
            }
        }
    }

    #[test]
    fn another_nodes_file_and_a_newer_one_are_named() {
        let folder = folder("foreign");
        Place::new(&folder, "n1").write(&saved(1)).expect("room");
        let place = Place::new(&folder, "n0");
        assert!(matches!(place.read(), Err(SavedError::Foreign { node, .. }) if node == "n1"));
        fs::write(folder.join(NAME), format!("{MARK} 2 0\n")).expect("room");
        assert!(matches!(place.read(), Err(SavedError::Newer { form: 2, .. })));
    }

    /// Where there is no room, what was saved before stays.
    #[test]
    fn a_full_disk_loses_nothing() {
        let folder = folder("full");
        let place = Place::new(&folder, "n0");
        place.write(&saved(1)).expect("room");
        let new = folder.join(format!("{UNDER_WAY}{}", std::process::id()));
        std::os::unix::fs::symlink("/dev/full", new).expect("a link");
        let error = place.write(&saved(2)).expect_err("no room");
        assert!(error.line().contains("make room"), "{}", error.line());
        assert_eq!(place.read().expect("whole"), Some(saved(1)));
    }

    #[test]
    fn each_error_has_its_advice() {
        use SavedError::*;
        let path = || PathBuf::from("/state");
        each_has_its_advice(|before| match before {
            None => Some(Unread { path: path(), error: io::ErrorKind::PermissionDenied.into() }),
            Some(Unread { .. }) => Some(Damaged { path: path(), words: "cut off" }),
            Some(Damaged { .. }) => Some(Foreign { path: path(), node: "n1".into() }),
            Some(Foreign { .. }) => Some(Newer { path: path(), form: 2 }),
            Some(Newer { .. }) => Some(Unwritten { path: path(), error: io::ErrorKind::StorageFull.into() }),
            Some(Unwritten { .. }) => None,
        });
    }
}
