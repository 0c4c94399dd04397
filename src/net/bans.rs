//! Bans that outlive the process: one empty file for each in a folder that it shares with its successor, and one
//! for each server that came back, whose time tells since when it is cold.
//!
//! A file is made or removed whole and names one server alone, so two processes need no lock and lose nothing
//! of each other's. What the folder can't keep holds in memory.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use thiserror::Error;

use super::fault::Advice;
use super::log;

/// What a server's file begins with while it is out, and once it is back.
const OUT: &str = "out-";
const BACK: &str = "back-";

/// What has changed for a server.
#[derive(Debug, PartialEq, Eq)]
pub enum Change {
    /// It is out.
    Out,
    /// It came back so long ago, as far as the clock tells.
    Back(Duration),
}

/// What the folder can't do.
#[derive(Debug, Error)]
pub enum BanError {
    /// A ban can't be written.
    #[error("the ban of {name} holds in this process alone: {error}")]
    Unkept {
        /// The server.
        name: String,
        /// What the system says.
        error: io::Error,
    },
    /// That a server is back can't be written.
    #[error("that {name} came back is known to this process alone: {error}")]
    ReturnUnkept {
        /// The server.
        name: String,
        /// What the system says.
        error: io::Error,
    },
    /// A ban can't be lifted.
    #[error("{name} stays out of use: {error}")]
    Unlifted {
        /// The server.
        name: String,
        /// What the system says.
        error: io::Error,
    },
    /// The folder can't be read.
    #[error("bans can't be read, those known hold: {error}")]
    Unread {
        /// What the system says.
        error: io::Error,
    },
}

impl Advice for BanError {
    fn advice(&self) -> String {
        match self {
            Self::Unkept { .. } => "ban it again after an upgrade, or make room under TMPDIR".into(),
            Self::ReturnUnkept { .. } => "give it back at the other process as well".into(),
            Self::Unlifted { .. } => {
                "remove its file from the node's folder under TMPDIR, or call again".into()
            }
            Self::Unread { .. } => "let the node's user read its folder under TMPDIR".into(),
        }
    }
}

/// The servers that operators have taken out, by name.
pub struct Bans {
    /// `None` where bans are not kept.
    folder: Option<PathBuf>,
    /// How long it matters that a server came back.
    cold: Duration,
    out: BTreeSet<String>,
    /// Those of them that the folder does not hold.
    unkept: BTreeSet<String>,
    /// When others came back, as the folder tells.
    back: BTreeMap<String, SystemTime>,
}

impl Bans {
    /// No bans yet; those of the node `name` are kept in a folder of its own below `parent`.
    pub fn new(parent: Option<PathBuf>, name: &str, cold: Duration) -> Self {
        let folder = parent.map(|p| p.join(format!("bans-{}", hex(name))));
        Self { folder, cold, out: BTreeSet::new(), unkept: BTreeSet::new(), back: BTreeMap::new() }
    }

    /// Is the server out?
    pub fn hold(&self, name: &str) -> bool {
        self.out.contains(name)
    }

    /// Takes a server out.
    pub fn take_out(&mut self, name: &str) {
        self.back.remove(name);
        self.out.insert(name.to_string());
        // The ban first: cut off in between, it holds.
        match self.make(OUT, name).and_then(|()| self.remove(BACK, name)) {
            Ok(()) => self.unkept.remove(name),
            Err(error) => {
                log::line(BanError::Unkept { name: name.to_string(), error }.line());
                self.unkept.insert(name.to_string())
            }
        };
    }

    /// Gives a server back; false where it is not out.
    ///
    /// # Errors
    /// Where its file can't be removed, and takes it out again.
    pub fn give_back(&mut self, name: &str) -> Result<bool, BanError> {
        if !self.out.contains(name) {
            return Ok(false);
        }
        if !self.unkept.remove(name) {
            if let Err(error) = self.make(BACK, name) {
                log::line(BanError::ReturnUnkept { name: name.to_string(), error }.line());
            }
            let lifted = self.remove(OUT, name).and_then(|()| self.files());
            self.back = lifted.map_err(|error| BanError::Unlifted { name: name.to_string(), error })?.1;
        }
        self.out.remove(name);
        Ok(true)
    }

    /// What other processes have changed since the last look, this one's start included.
    pub fn changes(&mut self) -> Vec<(String, Change)> {
        let (out, back) = match self.files() {
            Ok(files) => files,
            Err(error) => {
                log::trouble(|| BanError::Unread { error }.line());
                return Vec::new();
            }
        };
        let mut changes = Vec::new();
        for name in out.difference(&self.out) {
            changes.push((name.clone(), Change::Out));
        }
        let news =
            |(name, at): &(&String, &SystemTime)| !out.contains(*name) && self.back.get(*name) != Some(*at);
        for (name, at) in back.iter().filter(news) {
            changes.push((name.clone(), Change::Back(ago(*at))));
        }
        for name in self.out.iter().filter(|n| !out.contains(*n) && !self.unkept.contains(*n)) {
            if !back.contains_key(name) {
                changes.push((name.clone(), Change::Back(Duration::ZERO)));
            }
        }
        self.out = out.union(&self.unkept).cloned().collect();
        self.back = back;
        changes
    }

    /// The servers that the folder has as out, and when others came back. What no longer matters is removed.
    fn files(&self) -> io::Result<(BTreeSet<String>, BTreeMap<String, SystemTime>)> {
        let (mut out, mut back) = (BTreeSet::new(), BTreeMap::new());
        let Some(folder) = &self.folder else { return Ok((out, back)) };
        let entries = match fs::read_dir(folder) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok((out, back)),
            entries => entries?,
        };
        for entry in entries {
            let entry = entry?;
            let file = entry.file_name();
            let Some(file) = file.to_str() else { continue };
            if let Some(name) = file.strip_prefix(OUT).and_then(unhex) {
                out.insert(name);
            } else if let Some(name) = file.strip_prefix(BACK).and_then(unhex) {
                // Removed by the other process meanwhile: no news.
                let Ok(at) = entry.metadata().and_then(|m| m.modified()) else { continue };
                if ago(at) > self.cold {
                    let _ = fs::remove_file(entry.path());
                } else {
                    back.insert(name, at);
                }
            }
        }
        Ok((out, back))
    }

    fn path(&self, kind: &str, name: &str) -> io::Result<PathBuf> {
        let folder = self.folder.as_ref().ok_or_else(|| io::Error::other("TMPDIR is not set"))?;
        Ok(folder.join(format!("{kind}{}", hex(name))))
    }

    /// Makes a server's file, with the present time.
    #[expect(
        clippy::disallowed_methods,
        reason = "a file's time; see `ago` for what a step of the clock does"
    )]
    fn make(&self, kind: &str, name: &str) -> io::Result<()> {
        let path = self.path(kind, name)?;
        if let Some(folder) = path.parent() {
            fs::create_dir_all(folder)?;
        }
        File::create(path)?.set_modified(SystemTime::now())
    }

    fn remove(&self, kind: &str, name: &str) -> io::Result<()> {
        match fs::remove_file(self.path(kind, name)?) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            done => done,
        }
    }
}

/// How long ago a file was made, by the clock that two processes share. Where that was put back meanwhile, the server
/// counts as back just now and no later; where it was put forward, as warm too soon, which its limit then learns.
#[expect(clippy::disallowed_methods, reason = "one process's monotonic time means nothing to another")]
fn ago(at: SystemTime) -> Duration {
    at.elapsed().unwrap_or_default()
}

/// A name as part of a file's: never a path, whatever it holds.
fn hex(name: &str) -> String {
    name.bytes().map(|b| format!("{b:02x}")).collect()
}

fn unhex(digits: &str) -> Option<String> {
    let byte = |at: usize| digits.get(at..at + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
    let bytes: Option<Vec<u8>> = (0..digits.len()).step_by(2).map(byte).collect();
    String::from_utf8(bytes?).ok()
}

#[cfg(test)]
mod tests {
    use std::path::Path;

    use super::super::fault::tests::each_has_its_advice;
    use super::*;

    #[test]
    fn each_error_has_its_advice() {
        use BanError::*;
        let (name, error) = (|| "s1".to_string(), || io::Error::other("TMPDIR is not set"));
        each_has_its_advice(|before| match before {
            None => Some(Unkept { name: name(), error: error() }),
            Some(Unkept { .. }) => Some(ReturnUnkept { name: name(), error: error() }),
            Some(ReturnUnkept { .. }) => Some(Unlifted { name: name(), error: error() }),
            Some(Unlifted { .. }) => Some(Unread { error: error() }),
            Some(Unread { .. }) => None,
        });
    }

    const COLD: Duration = Duration::from_secs(60);

    fn folder(test: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        folder
    }

    fn bans(folder: &Path, cold: Duration) -> Bans {
        Bans::new(Some(folder.to_path_buf()), "n0", cold)
    }

    /// What one process does, the other sees, once; neither is told of its own.
    #[test]
    fn two_processes_share_their_bans() {
        let folder = folder("shared");
        let [mut old, mut new] = [(); 2].map(|()| bans(&folder, COLD));
        assert_eq!(old.changes(), []);
        old.take_out("s/1");
        old.take_out("s2");
        old.take_out("s2");
        assert_eq!(new.changes(), [("s/1".to_string(), Change::Out), ("s2".to_string(), Change::Out)]);
        assert!(new.hold("s/1") && new.changes().is_empty() && old.changes().is_empty());
        assert!(new.give_back("s2").expect("removed") && !new.give_back("s2").expect("nothing to do"));
        let seen = old.changes();
        assert!(matches!(seen.as_slice(), [(name, Change::Back(_))] if name == "s2"), "{seen:?}");
        assert!(!old.hold("s2") && old.hold("s/1"));
        assert!(old.changes().is_empty() && new.changes().is_empty());
    }

    /// A process that starts later is told who is out, and who came back a moment ago.
    #[test]
    fn a_successor_is_told_of_a_return() {
        let folder = folder("return");
        let mut old = bans(&folder, COLD);
        old.take_out("s1");
        assert!(old.give_back("s1").expect("removed"));
        let mut new = bans(&folder, COLD);
        let seen = new.changes();
        assert!(matches!(seen.as_slice(), [(name, Change::Back(_))] if name == "s1"), "{seen:?}");
        assert!(new.changes().is_empty());
        std::thread::sleep(Duration::from_millis(5));
        assert!(bans(&folder, Duration::from_millis(1)).changes().is_empty(), "long ago");
    }

    /// A clock that was put back or forward by an hour after a return: never longer cold than after one just now.
    #[test]
    fn a_stepped_clock_keeps_no_server_cold() {
        let folder = folder("stepped");
        let hour = Duration::from_secs(3600);
        let mut old = bans(&folder, COLD);
        old.take_out("s1");
        assert!(old.give_back("s1").expect("removed"));
        let file = File::options().write(true).open(old.path(BACK, "s1").expect("a path")).expect("the file");
        let made = file.metadata().and_then(|meta| meta.modified()).expect("its time");
        file.set_modified(made + hour).expect("set");
        assert_eq!(bans(&folder, COLD).changes(), [("s1".to_string(), Change::Back(Duration::ZERO))]);
        file.set_modified(made - hour).expect("set");
        assert_eq!(bans(&folder, COLD).changes(), []);
    }

    /// What can't be kept holds all the same: no folder, and a name that no file can have.
    #[test]
    fn a_ban_that_can_not_be_kept_holds() {
        let long = "x".repeat(300);
        for (mut bans, name) in
            [(bans(&folder("unkept"), COLD), long.as_str()), (Bans::new(None, "n0", COLD), "s1")]
        {
            bans.take_out(name);
            assert!(bans.changes().is_empty() && bans.hold(name));
            assert!(bans.give_back(name).expect("nothing to remove") && !bans.hold(name));
            assert!(bans.changes().is_empty() && !bans.hold(name));
        }
    }
}
