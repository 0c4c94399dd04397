//! The ids of requests that must not run twice and may have run for clients that have left.

use std::collections::{HashSet, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::bans::encode_hex;
use super::log;

/// How long an id is known: longer than a client waits before it sends its request again.
const KEEP_TIME: Duration = Duration::from_secs(60);
/// The most ids that are known; the oldest are forgotten first.
const MAX_IDS: usize = 16 * 1024;
/// The size of an entry of the file: an id's hash.
const ENTRY_BYTES: usize = 8;

/// The ids, by their hashes.
#[derive(Default)]
pub struct AbandonedIds {
    known: HashSet<u64>,
    /// The known ones, and since when, oldest first.
    abandoned: VecDeque<(u64, Instant)>,
    /// What it shares with the other processes of the node.
    shared: Option<SharedFile>,
}

impl AbandonedIds {
    /// No ids, but for those that other processes of node `name` have left in a file below `folder`.
    pub fn shared(folder: &Path, name: &str) -> Self {
        let path = folder.join(format!("abandoned-{}", encode_hex(name)));
        let opened = SharedFile::open(&path);
        let shared = opened.map_err(|error| log::line(format!("{}: {error}", path.display()))).ok();
        Self { shared, ..Self::default() }
    }

    /// Notes that the client of the request of this id has left.
    pub fn insert(&mut self, id: &str, now: Instant) {
        let hash = xxh3_64(id.as_bytes());
        self.add(hash, now);
        if let Some(Err(error)) = self.shared.as_ref().map(|shared| shared.append(hash)) {
            log::limited(|| format!("{id}: not told to another process: {error}"));
        }
    }

    /// Whether the client of a request of this id has left.
    pub fn contains(&mut self, id: &str, now: Instant) -> bool {
        for hash in self.shared.as_mut().map(SharedFile::read_new).unwrap_or_default() {
            self.add(hash, now);
        }
        self.forget(now);
        self.known.contains(&xxh3_64(id.as_bytes()))
    }

    fn add(&mut self, hash: u64, now: Instant) {
        self.forget(now);
        if self.known.insert(hash) {
            self.abandoned.push_back((hash, now));
        }
    }

    /// Forgets what is too old, and leaves room for one more.
    fn forget(&mut self, now: Instant) {
        while let Some((hash, at)) = self.abandoned.front() {
            if self.abandoned.len() < MAX_IDS && now.saturating_duration_since(*at) < KEEP_TIME {
                return;
            }
            self.known.remove(hash);
            self.abandoned.pop_front();
        }
    }
}

/// A file to which the processes of a node append hashes of ids. It begins with a number that grows each time it is begun
/// anew.
struct SharedFile {
    file: File,
    /// The number with which it began when it was last read, and how much of it was read.
    beginning: u64,
    read_bytes: usize,
}

impl SharedFile {
    fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).append(true).create(true).open(path)?;
        let opened = Self { file, beginning: 0, read_bytes: 0 };
        if opened.length()? == 0 {
            opened.write(1)?;
        }
        Ok(opened)
    }

    fn write(&self, entry: u64) -> io::Result<()> {
        (&self.file).write_all(&entry.to_le_bytes())
    }

    /// The number with which it begins.
    fn read_beginning(&self) -> io::Result<u64> {
        let mut entry = [0; ENTRY_BYTES];
        self.file.read_exact_at(&mut entry, 0)?;
        Ok(u64::from_le_bytes(entry))
    }

    fn length(&self) -> io::Result<usize> {
        Ok(usize::try_from(self.file.metadata()?.len()).unwrap_or(usize::MAX))
    }

    /// Appends a hash. A full file is begun anew.
    fn append(&self, hash: u64) -> io::Result<()> {
        if self.length()? >= MAX_IDS * ENTRY_BYTES {
            let beginning = self.read_beginning()?;
            self.file.set_len(0)?;
            self.write(beginning.wrapping_add(1))?;
        }
        self.write(hash)
    }

    /// The hashes that were appended since the last call, those of this process too; none if the file cannot be read.
    fn read_new(&mut self) -> Vec<u64> {
        let (Ok(beginning), Ok(length)) = (self.read_beginning(), self.length()) else { return Vec::new() };
        if self.beginning != beginning {
            (self.beginning, self.read_bytes) = (beginning, ENTRY_BYTES);
        }
        let unread = length.saturating_sub(self.read_bytes);
        let mut bytes = vec![0; unread.min(MAX_IDS * ENTRY_BYTES)];
        let read = self.file.read_at(&mut bytes, self.read_bytes as u64).unwrap_or(0);
        let hash = |entry: &[u8]| entry.try_into().map(u64::from_le_bytes).ok();
        let hashes: Vec<u64> = bytes[..read].chunks_exact(ENTRY_BYTES).filter_map(hash).collect();
        self.read_bytes += hashes.len() * ENTRY_BYTES;
        hashes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// An id is known for a while, and no more ids than there is room for.
    #[test]
    fn ids_are_known_for_a_limited_time_and_in_a_limited_number() {
        let (mut ids, start) = (AbandonedIds::default(), Instant::now());
        ids.insert("first", start);
        let before_end = start + KEEP_TIME - Duration::from_millis(1);
        assert!(ids.contains("first", before_end) && !ids.contains("second", before_end));
        assert!(!ids.contains("first", start + KEEP_TIME));
        for number in 0..2 * MAX_IDS {
            ids.insert(&number.to_string(), start);
        }
        let newest = (2 * MAX_IDS - 1).to_string();
        assert!(ids.contains(&newest, start) && !ids.contains("0", start));
        assert!(ids.known.len() <= MAX_IDS && ids.abandoned.len() == ids.known.len());
    }

    /// Processes learn of each other's ids, also once the file was begun anew, which stays within its size.
    #[test]
    fn processes_share_ids_in_a_file_of_limited_size() {
        let folder = std::env::temp_dir().join(format!("abandoned-ids-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("created");
        let (mut first, now) = (AbandonedIds::shared(&folder, "n0"), Instant::now());
        first.insert("before", now);
        let mut second = AbandonedIds::shared(&folder, "n0");
        assert!(second.contains("before", now) && !second.contains("other", now));
        for number in 0..MAX_IDS {
            first.insert(&number.to_string(), now);
        }
        let newest = (MAX_IDS - 1).to_string();
        assert!(second.contains(&newest, now));
        second.insert("back", now);
        assert!(first.contains("back", now));
        let length = first.shared.as_ref().map(|shared| shared.length().expect("readable"));
        assert!(length.is_some_and(|length| length <= MAX_IDS * ENTRY_BYTES));
        std::fs::remove_dir_all(folder).expect("removed");
    }
}
