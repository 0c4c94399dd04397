//! The file that keeps the epoch in force, for a start without the control group. It is replaced as a intact.
//!
//! The first line has the format version and the hash of the rest; the rest is JSON. A file of another node or of a
//! newer format is left as it is.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use member::SavedEpoch;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use super::advice::Advice;

/// The file's name in its folder, and the prefix of the temporary file that is renamed to it.
const FILE_NAME: &str = "agreed-epoch";
const TEMP_PREFIX: &str = "agreed-epoch.new-";
/// The first word of the file, and the format version that is written here.
const MAGIC: &str = "agreed-epoch";
const FORMAT_VERSION: u32 = 1;
/// A longer file was not written here: a policy has at most 64 KiB.
const MAX_FILE_BYTES: u64 = 256 * 1024;

/// What is wrong with the file.
#[derive(Debug, Error)]
pub enum EpochFileError {
    /// It cannot be read.
    #[error("state_dir: {path}: {error}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// Its content is not what was written.
    #[error("state_dir: {path}: damaged, ignored: {reason}")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// It belongs to another node.
    #[error("state_dir: {path}: of node {node:?}, ignored")]
    OtherNode {
        /// The file.
        path: PathBuf,
        /// The name of that node.
        node: String,
    },
    /// A newer version of the program wrote it.
    #[error("state_dir: {path}: format {format} is newer than {FORMAT_VERSION}, ignored")]
    NewerFormat {
        /// The file.
        path: PathBuf,
        /// Its format version.
        format: u32,
    },
    /// It cannot be written.
    #[error("state_dir: {path}: the epoch is not saved: {error}")]
    WriteFailed {
        /// The file.
        path: PathBuf,
        /// The system's error.
        error: io::Error,
    },
}

impl Advice for EpochFileError {
    fn advice(&self) -> String {
        match self {
            Self::Unreadable { .. } => "let the node's user read it".into(),
            Self::Damaged { .. } => "nothing to do, the next epoch replaces it; check the disk".into(),
            Self::OtherNode { .. } => {
                "give each node a state_dir of its own; nothing is saved until then".into()
            }
            Self::NewerFormat { .. } => {
                "run the version that wrote it, or remove it; nothing is saved until then".into()
            }
            Self::WriteFailed { error, .. } => {
                let remedy = match error.kind() {
                    io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => "free space there",
                    io::ErrorKind::PermissionDenied | io::ErrorKind::ReadOnlyFilesystem => {
                        "let the node's user write there"
                    }
                    _ => "check the folder and its disk",
                };
                format!("{remedy}; the node keeps serving and tries again")
            }
        }
    }
}

/// The content of the file after its first line.
#[derive(Deserialize, Serialize)]
struct Content {
    node: String,
    #[serde(flatten)]
    saved: SavedEpoch,
}

/// The file of one node.
#[derive(Clone)]
pub struct EpochFile {
    path: PathBuf,
    node: String,
}

impl EpochFile {
    /// The file of node `node` in `folder`.
    pub fn new(folder: &Path, node: &str) -> Self {
        Self { path: folder.join(FILE_NAME), node: node.to_string() }
    }

    /// The saved epoch, if there is one. To be called at the start: it removes temporary files of earlier
    /// processes.
    ///
    /// # Errors
    /// An [`EpochFileError`] if there is a file that cannot be used.
    pub fn read(&self) -> Result<Option<SavedEpoch>, EpochFileError> {
        self.remove_temp_files();
        let mut bytes = Vec::new();
        match File::open(&self.path).and_then(|file| file.take(MAX_FILE_BYTES).read_to_end(&mut bytes)) {
            Ok(_) => self.decode(&bytes).map(Some),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(EpochFileError::Unreadable { path: self.path.clone(), error }),
        }
    }

    /// Replaces the saved epoch; it is on disk once this returns.
    ///
    /// # Errors
    /// [`EpochFileError::WriteFailed`]; the epoch saved before is then still there.
    pub fn write(&self, saved: &SavedEpoch) -> Result<(), EpochFileError> {
        let content = Content { node: self.node.clone(), saved: saved.clone() };
        let temp = self.path.with_file_name(format!("{TEMP_PREFIX}{}", std::process::id()));
        let write = || {
            let json = serde_json::to_string(&content)?;
            let mut file = File::create(&temp)?;
            write!(file, "{MAGIC} {FORMAT_VERSION} {:016x}\n{json}", xxh3_64(json.as_bytes()))?;
            file.sync_all()?;
            fs::rename(&temp, &self.path)?;
            // The rename is durable only once the folder is synced.
            File::open(self.path.parent().unwrap_or(Path::new(".")))?.sync_all()
        };
        write().map_err(|error| {
            let _ = fs::remove_file(&temp);
            EpochFileError::WriteFailed { path: self.path.clone(), error }
        })
    }

    fn decode(&self, bytes: &[u8]) -> Result<SavedEpoch, EpochFileError> {
        let path = || self.path.clone();
        let damaged = |reason| EpochFileError::Damaged { path: path(), reason };
        let text = std::str::from_utf8(bytes).map_err(|_| damaged("not text"))?;
        let (head, json) = text.split_once('\n').ok_or(damaged("cut off"))?;
        let mut head = head.split(' ');
        if head.next() != Some(MAGIC) {
            return Err(damaged("not a saved epoch"));
        }
        match head.next().and_then(|n| n.parse().ok()) {
            Some(FORMAT_VERSION) => {}
            Some(format) if format > FORMAT_VERSION => {
                return Err(EpochFileError::NewerFormat { path: path(), format })
            }
            _ => return Err(damaged("no known format")),
        }
        if head.next() != Some(&format!("{:016x}", xxh3_64(json.as_bytes()))) {
            return Err(damaged("hash mismatch"));
        }
        let content: Content = serde_json::from_str(json).map_err(|_| damaged("not JSON as expected"))?;
        if content.node != self.node {
            return Err(EpochFileError::OtherNode { path: path(), node: content.node });
        }
        Ok(content.saved)
    }

    fn remove_temp_files(&self) {
        let Some(Ok(files)) = self.path.parent().map(fs::read_dir) else { return };
        for file in files.flatten() {
            if file.file_name().to_string_lossy().starts_with(TEMP_PREFIX) {
                // It may belong to an older process that is about to rename it; that process then tries again.
                let _ = fs::remove_file(file.path());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use member::Policy;
    use serde_json::json;

    use super::super::advice::tests::assert_each_has_advice;
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
    fn the_epoch_saved_last_is_read() {
        let folder = folder("saved");
        let epoch_file = EpochFile::new(&folder, "n0");
        assert!(epoch_file.read().expect("no file yet").is_none());
        fs::write(folder.join(format!("{TEMP_PREFIX}1")), "half").expect("a file");
        for epoch in [1, 2] {
            epoch_file.write(&saved(epoch)).expect("room");
            assert_eq!(epoch_file.read().expect("whole"), Some(saved(epoch)));
        }
        assert_eq!(fs::read_dir(&folder).expect("a folder").count(), 1, "temporary files are removed");
    }

    /// A flipped bit and a truncation, anywhere in the file, are both detected.
    #[test]
    fn a_damaged_file_is_detected() {
        let folder = folder("damaged");
        let epoch_file = EpochFile::new(&folder, "n0");
        epoch_file.write(&saved(1)).expect("room");
        let path = folder.join(FILE_NAME);
        let intact = fs::read(&path).expect("a file");
        for at in 0..intact.len() {
            let mut altered = intact.clone();
            altered[at] ^= 1;
            for bytes in [&altered[..], &intact[..at]] {
                fs::write(&path, bytes).expect("room");
                let read = epoch_file.read();
                assert!(read.is_err(), "byte {at}: {read:?}");
            }
        }
    }

    #[test]
    fn files_of_other_nodes_and_newer_formats_are_refused() {
        let folder = folder("foreign");
        EpochFile::new(&folder, "n1").write(&saved(1)).expect("room");
        let epoch_file = EpochFile::new(&folder, "n0");
        assert!(matches!(epoch_file.read(), Err(EpochFileError::OtherNode { node, .. }) if node == "n1"));
        fs::write(folder.join(FILE_NAME), format!("{MAGIC} 2 0\n")).expect("room");
        assert!(matches!(epoch_file.read(), Err(EpochFileError::NewerFormat { format: 2, .. })));
    }

    /// A write that finds the disk full leaves the epoch saved before.
    #[test]
    fn a_full_disk_keeps_the_epoch_saved_before() {
        let folder = folder("full");
        let epoch_file = EpochFile::new(&folder, "n0");
        epoch_file.write(&saved(1)).expect("room");
        let temp = folder.join(format!("{TEMP_PREFIX}{}", std::process::id()));
        std::os::unix::fs::symlink("/dev/full", temp).expect("a link");
        let error = epoch_file.write(&saved(2)).expect_err("no room");
        assert!(error.line().contains("free space"), "{}", error.line());
        assert_eq!(epoch_file.read().expect("whole"), Some(saved(1)));
    }

    #[test]
    fn each_error_is_one_line_with_advice() {
        use EpochFileError::*;
        let path = || PathBuf::from("/state");
        assert_each_has_advice(|before| match before {
            None => Some(Unreadable { path: path(), error: io::ErrorKind::PermissionDenied.into() }),
            Some(Unreadable { .. }) => Some(Damaged { path: path(), reason: "cut off" }),
            Some(Damaged { .. }) => Some(OtherNode { path: path(), node: "n1".into() }),
            Some(OtherNode { .. }) => Some(NewerFormat { path: path(), format: 2 }),
            Some(NewerFormat { .. }) => {
                Some(WriteFailed { path: path(), error: io::ErrorKind::StorageFull.into() })
            }
            Some(WriteFailed { .. }) => None,
        });
    }
}
