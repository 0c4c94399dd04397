//! Bans on servers that outlive the process: an empty marker file for each banned server, in a folder that the
//! process shares with its successor, and one for each server whose ban was lifted, whose modification time tells
//! how long the server counts as cold.
//!
//! A marker is created or removed as a whole and names a single server, so two processes need no lock and lose none
//! of each other's changes. A ban whose marker cannot be written is kept in memory only.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use thiserror::Error;

use super::advice::Advice;
use super::log;

/// File name prefixes: of the marker of a banned server, and of one whose ban was lifted.
const BANNED_PREFIX: &str = "out-";
const RETURNED_PREFIX: &str = "back-";

/// A change made by another process of this node.
#[derive(Debug, PartialEq, Eq)]
pub enum BanChange {
    /// The server was banned.
    Banned,
    /// The ban was lifted this long ago, by the wall clock.
    Lifted(Duration),
}

/// Why the folder of markers could not be used.
#[derive(Debug, Error)]
pub enum BanError {
    /// A ban could not be saved.
    #[error("the ban of {name} is not saved and holds in this process only: {error}")]
    BanNotSaved {
        /// The server.
        name: String,
        /// The system's error.
        error: io::Error,
    },
    /// The marker of an earlier return could not be removed. The ban is saved and holds.
    #[error("the mark of an earlier return of {name} stays beside its ban: {error}")]
    ReturnNotRemoved {
        /// The server.
        name: String,
        /// The system's error.
        error: io::Error,
    },
    /// The lifting of a ban could not be saved.
    #[error("the return of {name} is not saved and is known to this process only: {error}")]
    ReturnNotSaved {
        /// The server.
        name: String,
        /// The system's error.
        error: io::Error,
    },
    /// A ban could not be lifted.
    #[error("the ban of {name} cannot be lifted: {error}")]
    NotLifted {
        /// The server.
        name: String,
        /// The system's error.
        error: io::Error,
    },
    /// The folder could not be read.
    #[error("the folder of bans cannot be read, known bans stay in force: {error}")]
    FolderUnreadable {
        /// The system's error.
        error: io::Error,
    },
}

impl Advice for BanError {
    fn advice(&self) -> String {
        match self {
            Self::BanNotSaved { .. } => {
                "free space under TMPDIR and ban it again, or ban it again after an upgrade".into()
            }
            Self::ReturnNotRemoved { .. } => {
                "nothing need be done; remove its back- entry from the node's folder under TMPDIR if it remains".into()
            }
            Self::ReturnNotSaved { .. } => "enable it at the other process of this node as well".into(),
            Self::NotLifted { .. } => {
                "remove its out- file from the node's folder under TMPDIR, or enable it again".into()
            }
            Self::FolderUnreadable { .. } => "let the node's user read its bans- folder under TMPDIR".into(),
        }
    }
}

/// The servers that operators have banned, by name.
pub struct Bans {
    /// Where the markers are; `None` if bans are not saved.
    folder: Option<PathBuf>,
    /// How long a returned server counts as cold.
    cold_period: Duration,
    banned: BTreeSet<String>,
    /// Those of the banned servers that have no marker.
    unsaved: BTreeSet<String>,
    /// When other servers' bans were lifted, by their markers.
    returned: BTreeMap<String, SystemTime>,
}

impl Bans {
    /// No bans yet. Markers are kept in a folder of node `name` below `parent`; without `parent` bans are not saved.
    pub fn new(parent: Option<PathBuf>, name: &str, cold_period: Duration) -> Self {
        let folder = parent.map(|p| p.join(format!("bans-{}", encode_hex(name))));
        Self {
            folder,
            cold_period,
            banned: BTreeSet::new(),
            unsaved: BTreeSet::new(),
            returned: BTreeMap::new(),
        }
    }

    /// Whether the server is banned.
    pub fn is_banned(&self, name: &str) -> bool {
        self.banned.contains(name)
    }

    /// Bans a server.
    pub fn ban(&mut self, name: &str) {
        self.returned.remove(name);
        self.banned.insert(name.to_string());
        // The ban's marker comes first: if the process ends between the two steps, the ban holds.
        match self.create_marker(BANNED_PREFIX, name) {
            Ok(()) => {
                self.unsaved.remove(name);
            }
            Err(error) => {
                log::line(BanError::BanNotSaved { name: name.to_string(), error }.line());
                self.unsaved.insert(name.to_string());
            }
        }
        if let Err(error) = self.remove_marker(RETURNED_PREFIX, name) {
            if !self.unsaved.contains(name) {
                log::line(BanError::ReturnNotRemoved { name: name.to_string(), error }.line());
            }
        }
    }

    /// Lifts the ban on a server; false if there is none.
    ///
    /// # Errors
    /// [`BanError::NotLifted`] if the marker cannot be removed; the server then stays banned.
    pub fn unban(&mut self, name: &str) -> Result<bool, BanError> {
        if !self.banned.contains(name) {
            return Ok(false);
        }
        // A ban that counts as unsaved may have a marker all the same, whose date could not be set.
        if !self.unsaved.contains(name) || self.has_marker(BANNED_PREFIX, name) {
            if let Err(error) = self.create_marker(RETURNED_PREFIX, name) {
                log::line(BanError::ReturnNotSaved { name: name.to_string(), error }.line());
            }
            self.remove_marker(BANNED_PREFIX, name)
                .map_err(|error| BanError::NotLifted { name: name.to_string(), error })?;
            // Its own return is no change to report. Without a date that can be read it is reported once, which does
            // no harm.
            if let Ok(at) = self.marker_date(RETURNED_PREFIX, name) {
                self.returned.insert(name.to_string(), at);
            }
        }
        self.unsaved.remove(name);
        self.banned.remove(name);
        Ok(true)
    }

    /// The changes that other processes have made since the last call. The first call returns all saved bans.
    pub fn poll_changes(&mut self) -> Vec<(String, BanChange)> {
        let (banned, returned) = match self.read_folder() {
            Ok(files) => files,
            Err(error) => {
                log::limited(|| BanError::FolderUnreadable { error }.line());
                return Vec::new();
            }
        };
        let mut changes = Vec::new();
        for name in banned.difference(&self.banned) {
            changes.push((name.clone(), BanChange::Banned));
        }
        let is_new = |(name, at): &(&String, &SystemTime)| {
            !banned.contains(*name) && self.returned.get(*name) != Some(*at)
        };
        for (name, at) in returned.iter().filter(is_new) {
            changes.push((name.clone(), BanChange::Lifted(age(*at))));
        }
        for name in self.banned.iter().filter(|n| !banned.contains(*n) && !self.unsaved.contains(*n)) {
            if !returned.contains_key(name) {
                changes.push((name.clone(), BanChange::Lifted(Duration::ZERO)));
            }
        }
        self.banned = banned.union(&self.unsaved).cloned().collect();
        self.returned = returned;
        changes
    }

    /// Reads which servers are banned and when others' bans were lifted, and removes markers older than the cold
    /// period.
    fn read_folder(&self) -> io::Result<(BTreeSet<String>, BTreeMap<String, SystemTime>)> {
        let (mut banned, mut returned) = (BTreeSet::new(), BTreeMap::new());
        let Some(folder) = &self.folder else { return Ok((banned, returned)) };
        let entries = match fs::read_dir(folder) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok((banned, returned)),
            entries => entries?,
        };
        for entry in entries {
            let entry = entry?;
            let file = entry.file_name();
            let Some(file) = file.to_str() else { continue };
            if let Some(name) = file.strip_prefix(BANNED_PREFIX).and_then(decode_hex) {
                banned.insert(name);
            } else if let Some(name) = file.strip_prefix(RETURNED_PREFIX).and_then(decode_hex) {
                // The other process removed it meanwhile.
                let Ok(at) = entry.metadata().and_then(|m| m.modified()) else { continue };
                if age(at) > self.cold_period {
                    let _ = fs::remove_file(entry.path());
                } else {
                    returned.insert(name, at);
                }
            }
        }
        Ok((banned, returned))
    }

    fn marker_path(&self, kind: &str, name: &str) -> io::Result<PathBuf> {
        let folder = self.folder.as_ref().ok_or_else(|| io::Error::other("TMPDIR is not set"))?;
        Ok(folder.join(format!("{kind}{}", encode_hex(name))))
    }

    /// Creates a server's marker, dated now.
    #[expect(
        clippy::disallowed_methods,
        reason = "a file's time; see `age` for what a step of the clock does"
    )]
    fn create_marker(&self, kind: &str, name: &str) -> io::Result<()> {
        let path = self.marker_path(kind, name)?;
        if let Some(folder) = path.parent() {
            fs::create_dir_all(folder)?;
        }
        File::create(path)?.set_modified(SystemTime::now())
    }

    fn has_marker(&self, kind: &str, name: &str) -> bool {
        self.marker_path(kind, name).is_ok_and(|path| path.exists())
    }

    fn marker_date(&self, kind: &str, name: &str) -> io::Result<SystemTime> {
        fs::metadata(self.marker_path(kind, name)?)?.modified()
    }

    fn remove_marker(&self, kind: &str, name: &str) -> io::Result<()> {
        match fs::remove_file(self.marker_path(kind, name)?) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            done => done,
        }
    }
}

/// The age of a marker by the wall clock, which both processes share. If that clock was set back meanwhile, the
/// server counts as just returned, so it is never cold for longer than that; if it was set forward, the server
/// counts as warm too soon, and its concurrency limit adapts.
#[expect(clippy::disallowed_methods, reason = "one process's monotonic time means nothing to another")]
fn age(at: SystemTime) -> Duration {
    at.elapsed().unwrap_or_default()
}

/// A name as part of a file name: hex digits, so it is never a path.
pub fn encode_hex(name: &str) -> String {
    name.bytes().map(|b| format!("{b:02x}")).collect()
}

fn decode_hex(digits: &str) -> Option<String> {
    let byte = |at: usize| digits.get(at..at + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
    let bytes: Option<Vec<u8>> = (0..digits.len()).step_by(2).map(byte).collect();
    String::from_utf8(bytes?).ok()
}

#[cfg(test)]
mod tests {
    use std::path::Path;

    use super::super::advice::tests::assert_each_has_advice;
    use super::*;

    #[test]
    fn each_error_is_one_line_with_advice() {
        use BanError::*;
        let (name, error) = (|| "s1".to_string(), || io::Error::other("TMPDIR is not set"));
        assert_each_has_advice(|before| match before {
            None => Some(BanNotSaved { name: name(), error: error() }),
            Some(BanNotSaved { .. }) => Some(ReturnNotRemoved { name: name(), error: error() }),
            Some(ReturnNotRemoved { .. }) => Some(ReturnNotSaved { name: name(), error: error() }),
            Some(ReturnNotSaved { .. }) => Some(NotLifted { name: name(), error: error() }),
            Some(NotLifted { .. }) => Some(FolderUnreadable { error: error() }),
            Some(FolderUnreadable { .. }) => None,
        });
    }

    const COLD: Duration = Duration::from_secs(60);

    fn folder(test: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        folder
    }

    fn bans(folder: &Path, cold_period: Duration) -> Bans {
        Bans::new(Some(folder.to_path_buf()), "n0", cold_period)
    }

    /// What one process changes, the other reports once; none reports its own changes.
    #[test]
    fn two_processes_share_their_bans() {
        let folder = folder("shared");
        let [mut old, mut new] = [(); 2].map(|()| bans(&folder, COLD));
        assert_eq!(old.poll_changes(), []);
        old.ban("s/1");
        old.ban("s2");
        old.ban("s2");
        assert_eq!(
            new.poll_changes(),
            [("s/1".to_string(), BanChange::Banned), ("s2".to_string(), BanChange::Banned)]
        );
        assert!(new.is_banned("s/1") && new.poll_changes().is_empty() && old.poll_changes().is_empty());
        assert!(new.unban("s2").expect("removed") && !new.unban("s2").expect("nothing to do"));
        let seen = old.poll_changes();
        assert!(matches!(seen.as_slice(), [(name, BanChange::Lifted(_))] if name == "s2"), "{seen:?}");
        assert!(!old.is_banned("s2") && old.is_banned("s/1"));
        assert!(old.poll_changes().is_empty() && new.poll_changes().is_empty());
    }

    /// Makes the marker of a server's return an entry that cannot be removed as a file, nor written.
    fn block_return_marker(bans: &Bans, name: &str) -> PathBuf {
        let path = bans.marker_path(RETURNED_PREFIX, name).expect("a path");
        fs::create_dir_all(path.join("entry")).expect("created");
        path
    }

    /// Guards against a ban that comes back at the next start: its marker was written, but as an earlier return's could
    /// not be removed it counted as not saved, and lifting it left the marker.
    #[test]
    fn a_ban_beside_a_stuck_return_marker_is_saved_and_is_lifted_for_good() {
        let folder = folder("stuck-return");
        let mut old = bans(&folder, COLD);
        block_return_marker(&old, "s1");
        old.ban("s1");
        let banned = [("s1".to_string(), BanChange::Banned)];
        assert_eq!(bans(&folder, COLD).poll_changes()[..1], banned, "another process knows of it");
        assert!(old.unban("s1").expect("its marker is removed"));
        old.poll_changes();
        assert!(!old.is_banned("s1"));
        let next = bans(&folder, COLD).poll_changes();
        assert!(!next.contains(&banned[0]), "it holds again after a restart: {next:?}");
    }

    /// Guards against the loss of another process's change: lifting a ban took over the whole folder as reported.
    #[test]
    fn lifting_a_ban_leaves_what_another_process_lifted_to_be_reported() {
        let folder = folder("both-lift");
        let [mut old, mut new] = [(); 2].map(|()| bans(&folder, COLD));
        old.ban("s1");
        old.ban("s2");
        new.poll_changes();
        assert!(new.unban("s2").expect("removed"));
        assert!(old.unban("s1").expect("removed"));
        let seen = old.poll_changes();
        assert!(matches!(seen.as_slice(), [(name, BanChange::Lifted(_))] if name == "s2"), "{seen:?}");
        assert!(!old.is_banned("s2"));
    }

    /// A process that starts later learns of bans and of recent returns.
    #[test]
    fn a_successor_learns_of_a_recent_return() {
        let folder = folder("return");
        let mut old = bans(&folder, COLD);
        old.ban("s1");
        assert!(old.unban("s1").expect("removed"));
        let mut new = bans(&folder, COLD);
        let seen = new.poll_changes();
        assert!(matches!(seen.as_slice(), [(name, BanChange::Lifted(_))] if name == "s1"), "{seen:?}");
        assert!(new.poll_changes().is_empty());
        std::thread::sleep(Duration::from_millis(5));
        assert!(bans(&folder, Duration::from_millis(1)).poll_changes().is_empty(), "long ago");
    }

    /// The clock is set back or forward by an hour after a return: the server is never cold for longer than after a
    /// return just now.
    #[test]
    fn a_stepped_clock_keeps_no_server_cold() {
        let folder = folder("stepped");
        let hour = Duration::from_secs(3600);
        let mut old = bans(&folder, COLD);
        old.ban("s1");
        assert!(old.unban("s1").expect("removed"));
        let file = File::options()
            .write(true)
            .open(old.marker_path(RETURNED_PREFIX, "s1").expect("a path"))
            .expect("the file");
        let made = file.metadata().and_then(|meta| meta.modified()).expect("its time");
        file.set_modified(made + hour).expect("set");
        assert_eq!(
            bans(&folder, COLD).poll_changes(),
            [("s1".to_string(), BanChange::Lifted(Duration::ZERO))]
        );
        file.set_modified(made - hour).expect("set");
        assert_eq!(bans(&folder, COLD).poll_changes(), []);
    }

    /// Without a folder, or with a name too long for a file, a ban holds in memory.
    #[test]
    fn a_ban_that_cannot_be_saved_holds_in_memory() {
        let long = "x".repeat(300);
        for (mut bans, name) in
            [(bans(&folder("unkept"), COLD), long.as_str()), (Bans::new(None, "n0", COLD), "s1")]
        {
            bans.ban(name);
            assert!(bans.poll_changes().is_empty() && bans.is_banned(name));
            assert!(bans.unban(name).expect("nothing to remove") && !bans.is_banned(name));
            assert!(bans.poll_changes().is_empty() && !bans.is_banned(name));
        }
    }
}
