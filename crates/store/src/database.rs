//! The disk itself: tables, transactions, and opening anew after a failure.

use std::fs::File;
use std::io::{self, Write};
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::{Arc, RwLock};

use redb::backends::FileBackend;
use redb::{
    Builder, Database, ReadTransaction, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition,
    WriteTransaction,
};

use crate::{frame, StoreError, MAX_SNAPSHOT_BYTES, MAX_VALUE_BYTES, SCHEMA_VERSION};

/// Entries by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Records by name.
const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
/// Row 0 is the snapshot's head, the rows after it its data in order.
const SNAPSHOT: TableDefinition<u32, &[u8]> = TableDefinition::new("snapshot");
/// Schema, owner and the log's start, each by its name below.
const ABOUT: TableDefinition<&str, &[u8]> = TableDefinition::new("about");

const ABOUT_SCHEMA: &str = "schema";
const ABOUT_CLUSTER: &str = "cluster";
const ABOUT_REPLICA: &str = "replica";
/// The index after the last purged one; absent while nothing was purged.
const ABOUT_START: &str = "start";

/// Bytes of a snapshot in one row.
const ROW: usize = 64 << 10;
/// Bytes of pages that the library may keep in memory.
const CACHE: usize = 16 << 20;

/// Whose disk it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The cluster's name.
    pub cluster: String,
    /// The replica's number.
    pub replica: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Its place in the log.
    pub index: u64,
    /// What it holds.
    pub bytes: Vec<u8>,
}

/// The snapshot that was saved last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// What it is of, in the caller's words.
    pub meta: Vec<u8>,
    /// What it holds.
    pub data: Vec<u8>,
}

/// A replica's disk. Calls block until what they did is on the disk; clones share one disk. It is closed, and free
/// for another process, when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Store(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    /// For messages: the directory, or "the disk".
    location: String,
    owner: Owner,
    file: Shared,
    /// `None` after a failure: the next call opens it anew.
    open: RwLock<Option<Database>>,
    /// Held as long as the store lives, so that another process finds it taken. It holds a line once the database
    /// was made: an empty one after that is not a new disk.
    lock: Option<File>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.close();
    }
}

/// The file below the library, which outlives one opening of it.
#[derive(Clone, Debug)]
struct Shared(Arc<dyn StorageBackend>);

impl StorageBackend for Shared {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}

/// What stopped a transaction.
enum Failed {
    /// The library, which must be opened anew.
    Library(redb::Error),
    /// Something that the tables hold, or the call asked for; the library is well.
    Call(StoreError),
}

impl<E: Into<redb::Error>> From<E> for Failed {
    fn from(error: E) -> Self {
        Self::Library(error.into())
    }
}

impl Store {
    /// Opens the disk in a directory, which is created if need be, as its parents are.
    ///
    /// # Errors
    /// All but [`StoreError::OutOfOrder`] and [`StoreError::TooLarge`].
    pub fn open(dir: &Path, owner: &Owner) -> Result<Self, StoreError> {
        let location = dir.display().to_string();
        let failed = |source| io_error(&location, source);
        std::fs::create_dir_all(dir).map_err(failed)?;
        let made = |name: &str| {
            File::options().read(true).write(true).create(true).truncate(false).open(dir.join(name))
        };
        let lock = made("lock").map_err(failed)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(std::fs::TryLockError::WouldBlock) => return Err(StoreError::InUse { location }),
            Err(std::fs::TryLockError::Error(source)) => return Err(io_error(&location, source)),
        }
        let file = made("replica.redb").map_err(failed)?;
        // The file's name is on the disk before anything in it is acknowledged.
        File::open(dir).and_then(|dir| dir.sync_all()).map_err(failed)?;
        let file = FileBackend::new(file).map_err(|error| library_error(&location, error.into()))?;
        Self::open_shared(location, Shared(Arc::new(file)), owner, Some(lock))
    }

    /// Opens the disk on a storage of the caller's, such as [`crate::faults::FaultyDisk`]. One that begins
    /// with zeros is made a new one: only beside a real file is it known whether there was one before.
    ///
    /// # Errors
    /// As [`Store::open`], without [`StoreError::InUse`].
    pub fn open_on(backend: impl StorageBackend, owner: &Owner) -> Result<Self, StoreError> {
        Self::open_shared("the disk".to_owned(), Shared(Arc::new(backend)), owner, None)
    }

    fn open_shared(
        location: String,
        file: Shared,
        owner: &Owner,
        lock: Option<File>,
    ) -> Result<Self, StoreError> {
        let inner = Inner { location, owner: owner.clone(), file, open: RwLock::new(None), lock };
        inner.reopen()?;
        Ok(Self(Arc::new(inner)))
    }

    /// Adds entries behind the log's last one, each with the index after the one before it. A log that never held an
    /// entry may begin at any index.
    ///
    /// # Errors
    /// [`StoreError::OutOfOrder`], [`StoreError::TooLarge`], or the disk's.
    pub fn append(&self, entries: &[Entry]) -> Result<(), StoreError> {
        let Some(first) = entries.first() else { return Ok(()) };
        for entry in entries {
            self.0.bounded("an entry", entry.bytes.len(), MAX_VALUE_BYTES)?;
        }
        self.0.write(|disk| {
            let next = disk.next()?.unwrap_or(first.index);
            let mut log = disk.transaction.open_table(LOG)?;
            for (expected, Entry { index, bytes }) in (next..).zip(entries) {
                if *index != expected {
                    return Err(Failed::Call(StoreError::OutOfOrder {
                        location: disk.location.into(),
                        expected,
                        actual: *index,
                    }));
                }
                log.insert(index, frame::pack(&log_place(*index), bytes).as_slice())?;
            }
            Ok(())
        })
    }

    /// Removes the entry with this index and all after it.
    ///
    /// # Errors
    /// The disk's.
    pub fn truncate_from(&self, index: u64) -> Result<(), StoreError> {
        self.0.write(|disk| {
            // An emptied log still knows where it goes on.
            if disk.start()?.is_none() {
                if let Some(first) =
                    disk.transaction.open_table(LOG)?.first()?.map(|(first, _)| first.value())
                {
                    disk.set_start(first.min(index))?;
                }
            }
            Ok(disk.transaction.open_table(LOG)?.retain_in(index.., |_, _| false)?)
        })
    }

    /// Removes the entry with this index and all before it. What comes next after an emptied log has the index after
    /// the greatest one that was purged.
    ///
    /// # Errors
    /// The disk's.
    pub fn purge_to(&self, index: u64) -> Result<(), StoreError> {
        self.0.write(|disk| {
            disk.transaction.open_table(LOG)?.retain_in(..=index, |_, _| false)?;
            let start = index.saturating_add(1);
            if disk.start()?.is_none_or(|old| old < start) {
                disk.set_start(start)?;
            }
            Ok(())
        })
    }

    /// The entries with an index in the range, in order; those that are not there are left out, at the range's ends
    /// only.
    ///
    /// # Errors
    /// [`StoreError::Damaged`] where one is missing between two others or is not what was written, or the disk's.
    pub fn entries(&self, range: Range<u64>) -> Result<Vec<Entry>, StoreError> {
        if range.is_empty() {
            return Ok(Vec::new());
        }
        self.0.read(|disk| {
            let mut entries: Vec<Entry> = Vec::new();
            for row in disk.transaction.open_table(LOG)?.range(range.clone())? {
                let (index, framed) = row?;
                let entry = disk.entry(index.value(), framed.value())?;
                if entries.last().is_some_and(|last| last.index + 1 != entry.index) {
                    return Err(
                        disk.damaged(format!("entries are missing before {} of the log", entry.index))
                    );
                }
                entries.push(entry);
            }
            Ok(entries)
        })
    }

    /// The log's last entry.
    ///
    /// # Errors
    /// As [`Store::entries`].
    pub fn last_entry(&self) -> Result<Option<Entry>, StoreError> {
        self.0.read(|disk| {
            let log = disk.transaction.open_table(LOG)?;
            let last = log.last()?;
            last.map(|(index, framed)| disk.entry(index.value(), framed.value())).transpose()
        })
    }

    /// The index of the log's first entry; of an empty log, the one that comes next (0 where it never held any).
    ///
    /// # Errors
    /// The disk's.
    pub fn first_index(&self) -> Result<u64, StoreError> {
        self.0.read(|disk| {
            let log = disk.transaction.open_table(LOG)?;
            let first = log.first()?.map(|(index, _)| index.value());
            Ok(match first {
                Some(first) => first,
                None => disk.start()?.unwrap_or(0),
            })
        })
    }

    /// Keeps a record under a name, in the place of what was there.
    ///
    /// # Errors
    /// [`StoreError::TooLarge`], or the disk's.
    pub fn put(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.0.bounded("a record", bytes.len(), MAX_VALUE_BYTES)?;
        self.0.write(|disk| {
            let mut records = disk.transaction.open_table(RECORDS)?;
            records.insert(name, frame::pack(name.as_bytes(), bytes).as_slice())?;
            Ok(())
        })
    }

    /// The record under a name.
    ///
    /// # Errors
    /// [`StoreError::Damaged`], or the disk's.
    pub fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.0.read(|disk| {
            let records = disk.transaction.open_table(RECORDS)?;
            let Some(framed) = records.get(name)? else { return Ok(None) };
            let bytes = frame::unpack(name.as_bytes(), framed.value());
            bytes.map_or_else(
                || Err(disk.damaged(format!("record {name:?}"))),
                |bytes| Ok(Some(bytes.to_vec())),
            )
        })
    }

    /// Keeps a snapshot in the place of the one before it.
    ///
    /// # Errors
    /// [`StoreError::TooLarge`], or the disk's.
    pub fn save_snapshot(&self, meta: &[u8], data: &[u8]) -> Result<(), StoreError> {
        self.0.bounded("a snapshot's description", meta.len(), MAX_VALUE_BYTES)?;
        self.0.bounded("a snapshot", data.len(), MAX_SNAPSHOT_BYTES)?;
        self.0.write(|disk| {
            let mut rows = disk.transaction.open_table(SNAPSHOT)?;
            rows.retain(|_, _| false)?;
            let mut head = frame::sum(meta, &[data]).to_le_bytes().to_vec();
            head.extend_from_slice(meta);
            rows.insert(0, head.as_slice())?;
            for (number, row) in (1..).zip(data.chunks(ROW)) {
                rows.insert(number, row)?;
            }
            Ok(())
        })
    }

    /// The snapshot that was saved last.
    ///
    /// # Errors
    /// [`StoreError::Damaged`], or the disk's.
    pub fn snapshot(&self) -> Result<Option<Snapshot>, StoreError> {
        self.0.read(|disk| {
            let mut head = None;
            let mut data = Vec::new();
            for row in disk.transaction.open_table(SNAPSHOT)?.range(0..)? {
                let (number, row) = row?;
                match number.value() {
                    0 => head = Some(row.value().to_vec()),
                    _ => data.extend_from_slice(row.value()),
                }
            }
            let Some(head) = head else {
                return if data.is_empty() {
                    Ok(None)
                } else {
                    Err(disk.damaged("the snapshot has no head".into()))
                };
            };
            match head.split_first_chunk() {
                Some((sum, meta)) if u64::from_le_bytes(*sum) == frame::sum(meta, &[&data]) => {
                    Ok(Some(Snapshot { meta: meta.to_vec(), data }))
                }
                _ => Err(disk.damaged("the snapshot".into())),
            }
        })
    }

    /// Bytes of the file.
    ///
    /// # Errors
    /// The disk's.
    pub fn file_size(&self) -> Result<u64, StoreError> {
        self.0.file.len().map_err(|source| io_error(&self.0.location, source))
    }
}

/// A transaction, and the name of its disk.
struct On<'a, T> {
    transaction: T,
    location: &'a str,
}

impl<T> On<'_, T> {
    fn damaged(&self, detail: String) -> Failed {
        Failed::Call(StoreError::Damaged { location: self.location.to_owned(), detail })
    }

    fn unpacked_start(&self, framed: &[u8]) -> Result<u64, Failed> {
        self.number(ABOUT_START, frame::unpack(ABOUT_START.as_bytes(), framed).unwrap_or_default())
    }

    fn number(&self, name: &str, bytes: &[u8]) -> Result<u64, Failed> {
        bytes.try_into().map(u64::from_le_bytes).map_err(|_| self.damaged(format!("its {name}")))
    }
}

impl On<'_, ReadTransaction> {
    /// Whether the tables of a disk are there, and this owner's.
    fn claimed(&self, owner: &Owner) -> Result<bool, Failed> {
        if self.transaction.list_tables()?.next().is_none() {
            return Ok(false);
        }
        let about = self.transaction.open_table(ABOUT)?;
        let row = |name: &str| -> Result<Vec<u8>, Failed> {
            let row = about.get(name)?;
            let bytes = row.as_ref().and_then(|row| frame::unpack(name.as_bytes(), row.value()));
            bytes.map(<[u8]>::to_vec).ok_or_else(|| self.damaged(format!("its {name}")))
        };
        let location = self.location.to_owned();
        let schema = self.number(ABOUT_SCHEMA, &row(ABOUT_SCHEMA)?)?;
        if schema > SCHEMA_VERSION {
            return Err(Failed::Call(StoreError::NewerSchema {
                location,
                found: schema,
                supported: SCHEMA_VERSION,
            }));
        }
        let found = Owner {
            cluster: String::from_utf8_lossy(&row(ABOUT_CLUSTER)?).into_owned(),
            replica: self.number(ABOUT_REPLICA, &row(ABOUT_REPLICA)?)?,
        };
        if found != *owner {
            return Err(Failed::Call(StoreError::WrongOwner { location, found, expected: owner.clone() }));
        }
        Ok(true)
    }

    fn start(&self) -> Result<Option<u64>, Failed> {
        let about = self.transaction.open_table(ABOUT)?;
        let row = about.get(ABOUT_START)?;
        row.map(|row| self.unpacked_start(row.value())).transpose()
    }

    fn entry(&self, index: u64, framed: &[u8]) -> Result<Entry, Failed> {
        match frame::unpack(&log_place(index), framed) {
            Some(bytes) => Ok(Entry { index, bytes: bytes.to_vec() }),
            None => Err(self.damaged(format!("entry {index} of the log"))),
        }
    }
}

impl On<'_, WriteTransaction> {
    /// The index after the last purged one.
    fn start(&self) -> Result<Option<u64>, Failed> {
        let about = self.transaction.open_table(ABOUT)?;
        let row = about.get(ABOUT_START)?;
        row.map(|row| self.unpacked_start(row.value())).transpose()
    }

    fn set_start(&self, start: u64) -> Result<(), Failed> {
        let framed = frame::pack(ABOUT_START.as_bytes(), &start.to_le_bytes());
        self.transaction.open_table(ABOUT)?.insert(ABOUT_START, framed.as_slice())?;
        Ok(())
    }

    /// The index that comes next; `None` where the log never held an entry.
    fn next(&self) -> Result<Option<u64>, Failed> {
        let last = self.transaction.open_table(LOG)?.last()?.map(|(index, _)| index.value());
        match last {
            Some(last) => Ok(Some(last.saturating_add(1))),
            None => self.start(),
        }
    }

    /// Makes the tables of a new disk.
    fn claim(&self, owner: &Owner) -> Result<(), Failed> {
        let mut about = self.transaction.open_table(ABOUT)?;
        for (name, bytes) in [
            (ABOUT_SCHEMA, &SCHEMA_VERSION.to_le_bytes()[..]),
            (ABOUT_CLUSTER, owner.cluster.as_bytes()),
            (ABOUT_REPLICA, &owner.replica.to_le_bytes()),
        ] {
            about.insert(name, frame::pack(name.as_bytes(), bytes).as_slice())?;
        }
        self.transaction.open_table(LOG)?;
        self.transaction.open_table(RECORDS)?;
        self.transaction.open_table(SNAPSHOT)?;
        Ok(())
    }
}

impl Inner {
    fn bounded(&self, what: &'static str, bytes: usize, most: usize) -> Result<(), StoreError> {
        if bytes > most {
            return Err(StoreError::TooLarge {
                location: self.location.clone(),
                item: what,
                bytes,
                max: most,
            });
        }
        Ok(())
    }

    /// Runs a call in a transaction of its own; what it did is on the disk when this returns.
    fn write<T>(
        &self,
        call: impl Fn(&On<'_, WriteTransaction>) -> Result<T, Failed>,
    ) -> Result<T, StoreError> {
        self.run(|database| {
            let disk = On { transaction: two_phased(database)?, location: &self.location };
            let done = call(&disk)?;
            disk.transaction.commit()?;
            Ok(done)
        })
    }

    fn read<T>(&self, call: impl Fn(&On<'_, ReadTransaction>) -> Result<T, Failed>) -> Result<T, StoreError> {
        self.run(|database| call(&On { transaction: database.begin_read()?, location: &self.location }))
    }

    /// Runs a call on the open database. After the library has failed it is closed, as it does nothing more, and the
    /// next call opens it anew, which checks it and takes up the last commit that is whole.
    fn run<T>(&self, call: impl Fn(&Database) -> Result<T, Failed>) -> Result<T, StoreError> {
        let mut again = true;
        loop {
            let result = {
                let open = self.open.read().unwrap_or_else(|poisoned| poisoned.into_inner());
                open.as_ref().map(|database| guarded(|| call(database)))
            };
            match result {
                Some(Ok(Ok(done))) => return Ok(done),
                Some(Ok(Err(Failed::Call(error)))) => return Err(error),
                Some(Ok(Err(Failed::Library(error)))) => {
                    self.close();
                    // Another call's failure, met before this one did anything.
                    let earlier = matches!(error, redb::Error::PreviousIo | redb::Error::DatabaseClosed);
                    if !earlier || !std::mem::take(&mut again) {
                        return Err(library_error(&self.location, error));
                    }
                }
                Some(Err(panic)) => {
                    self.close();
                    return Err(StoreError::Damaged { location: self.location.clone(), detail: panic });
                }
                None => self.reopen()?,
            }
        }
    }

    /// Whether no database was ever made here, as far as is known.
    fn is_new(&self) -> io::Result<bool> {
        self.lock.as_ref().map_or(Ok(true), |lock| Ok(lock.metadata()?.len() == 0))
    }

    /// Whether making the database was cut short: the library writes a file's first bytes when all else is synced.
    fn is_unmade(&self) -> io::Result<bool> {
        let mut start = [0; 9];
        if self.file.len()? < start.len() as u64 {
            return Ok(true);
        }
        self.file.read(0, &mut start)?;
        Ok(start == [0; 9])
    }

    fn mark_made(&self) -> io::Result<()> {
        let Some(mut lock) = self.lock.as_ref() else { return Ok(()) };
        writeln!(lock, "replica {} of cluster {:?}", self.owner.replica, self.owner.cluster)?;
        lock.sync_all()
    }

    fn close(&self) {
        let database = self.open.write().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
        // Nothing of it is needed: a panic on the way out of a damaged file says no more than the error did.
        let _ = guarded(|| drop(database));
    }

    fn reopen(&self) -> Result<(), StoreError> {
        let mut open = self.open.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        if open.is_some() {
            return Ok(());
        }
        let opened = guarded(|| -> Result<Database, Failed> {
            let location = self.location.as_str();
            let io = |source| Failed::Call(io_error(location, source));
            let new = self.is_new().map_err(io)?;
            if new && self.is_unmade().map_err(io)? {
                self.file.set_len(0).map_err(io)?;
            }
            let database = Builder::new()
                .set_cache_size(CACHE)
                .set_check_integrity_on_open(true)
                .create_with_backend(self.file.clone())?;
            let disk = On { transaction: database.begin_read()?, location };
            if !disk.claimed(&self.owner)? {
                if !new {
                    return Err(disk.damaged("what was in it is gone".into()));
                }
                let disk = On { transaction: two_phased(&database)?, location };
                disk.claim(&self.owner)?;
                disk.transaction.commit()?;
            }
            if new {
                self.mark_made().map_err(io)?;
            }
            Ok(database)
        });
        *open = Some(match opened {
            Ok(Ok(database)) => database,
            Ok(Err(Failed::Call(error))) => return Err(error),
            Ok(Err(Failed::Library(error))) => return Err(library_error(&self.location, error)),
            Err(panic) => return Err(StoreError::Damaged { location: self.location.clone(), detail: panic }),
        });
        Ok(())
    }
}

fn two_phased(database: &Database) -> Result<WriteTransaction, Failed> {
    let mut transaction = database.begin_write()?;
    transaction.set_two_phase_commit(true);
    Ok(transaction)
}

/// What an entry's checksum covers beside its bytes.
fn log_place(index: u64) -> [u8; 8] {
    index.to_le_bytes()
}

/// The library's checks end in a panic here and there, which a damaged file must not turn into the end of the program.
fn guarded<T>(call: impl FnOnce() -> T) -> Result<T, String> {
    catch_unwind(AssertUnwindSafe(call)).map_err(|panic| {
        let words = panic.downcast_ref::<String>().map(String::as_str);
        let words = words.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no words");
        format!("the storage library gave up on it ({words})")
    })
}

fn library_error(location: &str, error: redb::Error) -> StoreError {
    let location = location.to_owned();
    match error {
        redb::Error::Io(source) => io_error(&location, source),
        redb::Error::Corrupted(what) => StoreError::Damaged { location, detail: what },
        redb::Error::DatabaseAlreadyOpen => StoreError::InUse { location },
        redb::Error::TableDoesNotExist(_)
        | redb::Error::TableTypeMismatch { .. }
        | redb::Error::TypeDefinitionChanged { .. }
        | redb::Error::UpgradeRequired(_) => StoreError::Damaged { location, detail: error.to_string() },
        other => StoreError::Io { location, source: io::Error::other(other.to_string()) },
    }
}

fn io_error(location: &str, source: io::Error) -> StoreError {
    let location = location.to_owned();
    match source.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => StoreError::Full { location },
        // The library's words for a file that is none of its own, and for one that ends too early.
        io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof => {
            StoreError::Damaged { location, detail: source.to_string() }
        }
        _ => StoreError::Io { location, source },
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::faults::FaultyDisk;

    #[test]
    fn a_later_schema_is_refused() {
        let disk = FaultyDisk::new();
        let owner = Owner { cluster: "north".to_owned(), replica: 1 };
        let store = Store::open_on(disk.clone(), &owner).expect("a new disk");
        let later = frame::pack(ABOUT_SCHEMA.as_bytes(), &(SCHEMA_VERSION + 1).to_le_bytes());
        let written = store.0.write(|disk| {
            disk.transaction.open_table(ABOUT)?.insert(ABOUT_SCHEMA, later.as_slice())?;
            Ok(())
        });
        written.expect("written");
        drop(store);
        let refused = Store::open_on(disk, &owner).expect_err("this program can't know it");
        assert!(matches!(refused, StoreError::NewerSchema { found: 2, supported: 1, .. }), "{refused}");
    }
}
