//! The store: its tables and transactions, and reopening after a failure.

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

/// Log entries by index.
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Records by name.
const RECORDS_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
/// The snapshot: row 0 is its head (checksum and description), the following rows are its data in order.
const SNAPSHOT_TABLE: TableDefinition<u32, &[u8]> = TableDefinition::new("snapshot");
/// Properties of the store: schema version, owner and start of the log, under the names below.
const PROPERTIES_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("about");

const SCHEMA_PROPERTY: &str = "schema";
const CLUSTER_PROPERTY: &str = "cluster";
const REPLICA_PROPERTY: &str = "replica";
/// Lower bound of the log's indices, and the next index of an empty log. Absent before the first purge or truncation.
const LOG_START_PROPERTY: &str = "start";

/// Size of a snapshot's rows, in bytes.
const SNAPSHOT_ROW_BYTES: usize = 64 << 10;
/// Size of the library's page cache, in bytes.
const CACHE_BYTES: usize = 16 << 20;

/// The replica that owns a store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// Name of the cluster.
    pub cluster: String,
    /// Id of the replica.
    pub replica: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Index in the log.
    pub index: u64,
    /// Contents.
    pub bytes: Vec<u8>,
}

/// The snapshot that was saved last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Description of the snapshot, in a form of the caller's.
    pub meta: Vec<u8>,
    /// Contents.
    pub data: Vec<u8>,
}

/// Durable storage of one replica.
///
/// Calls block until their changes are durable. Clones share one store; it is closed, and available to another process,
/// when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Store(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    /// For messages: the directory, or "the disk" for a store on another backend.
    location: String,
    owner: Owner,
    backend: SharedBackend,
    /// `None` after a failure: the next call reopens the database.
    database: RwLock<Option<Database>>,
    /// Locked as long as the store is open, so that another process finds it in use. The file holds a line once the
    /// database was created: a database that is empty after that is not a new one.
    lock_file: Option<File>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.close();
    }
}

/// The file underneath the library; it outlives a single opening of the database.
#[derive(Clone, Debug)]
struct SharedBackend(Arc<dyn StorageBackend>);

impl StorageBackend for SharedBackend {
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

/// Why a transaction failed.
enum TransactionError {
    /// The library failed; the database must be reopened.
    Library(redb::Error),
    /// The stored data or the call is invalid; the database itself works.
    Store(StoreError),
}

impl<E: Into<redb::Error>> From<E> for TransactionError {
    fn from(error: E) -> Self {
        Self::Library(error.into())
    }
}

impl Store {
    /// Opens the store in a directory, creating the directory and its parents if needed.
    ///
    /// # Errors
    /// Any but [`StoreError::OutOfOrder`] and [`StoreError::TooLarge`].
    pub fn open(dir: &Path, owner: &Owner) -> Result<Self, StoreError> {
        let location = dir.display().to_string();
        let failed = |source| io_error(&location, source);
        std::fs::create_dir_all(dir).map_err(failed)?;
        let open_or_create = |name: &str| {
            File::options().read(true).write(true).create(true).truncate(false).open(dir.join(name))
        };
        let lock_file = open_or_create("lock").map_err(failed)?;
        match lock_file.try_lock() {
            Ok(()) => {}
            Err(std::fs::TryLockError::WouldBlock) => return Err(StoreError::InUse { location }),
            Err(std::fs::TryLockError::Error(source)) => return Err(io_error(&location, source)),
        }
        let file = open_or_create("replica.redb").map_err(failed)?;
        // Makes the directory entry durable before anything in the file is acknowledged.
        File::open(dir).and_then(|dir| dir.sync_all()).map_err(failed)?;
        let file = FileBackend::new(file).map_err(|error| library_error(&location, error.into()))?;
        Self::open_backend(location, SharedBackend(Arc::new(file)), owner, Some(lock_file))
    }

    /// Opens the store on a given storage backend, such as [`crate::faults::FaultyDisk`].
    ///
    /// A backend that begins with zeros becomes a new store. Only [`Store::open`] can tell whether there was one before.
    ///
    /// # Errors
    /// As [`Store::open`], without [`StoreError::InUse`].
    pub fn open_on(backend: impl StorageBackend, owner: &Owner) -> Result<Self, StoreError> {
        Self::open_backend("the disk".to_owned(), SharedBackend(Arc::new(backend)), owner, None)
    }

    fn open_backend(
        location: String,
        backend: SharedBackend,
        owner: &Owner,
        lock_file: Option<File>,
    ) -> Result<Self, StoreError> {
        let inner = Inner { location, owner: owner.clone(), backend, database: RwLock::new(None), lock_file };
        inner.reopen()?;
        Ok(Self(Arc::new(inner)))
    }

    /// Appends entries to the log, each with the index after the previous one. A log that never held an entry may start
    /// at any index.
    ///
    /// # Errors
    /// [`StoreError::OutOfOrder`], [`StoreError::TooLarge`], or an error of the disk.
    pub fn append(&self, entries: &[Entry]) -> Result<(), StoreError> {
        let Some(first) = entries.first() else { return Ok(()) };
        for entry in entries {
            self.0.check_size("an entry", entry.bytes.len(), MAX_VALUE_BYTES)?;
        }
        self.0.write(|transaction| {
            let next = transaction.next_index()?.unwrap_or(first.index);
            let mut log = transaction.inner.open_table(LOG_TABLE)?;
            for (expected, Entry { index, bytes }) in (next..).zip(entries) {
                if *index != expected {
                    return Err(TransactionError::Store(StoreError::OutOfOrder {
                        location: transaction.location.into(),
                        expected,
                        actual: *index,
                    }));
                }
                log.insert(index, frame::pack(&log_key(*index), bytes).as_slice())?;
            }
            Ok(())
        })
    }

    /// Removes the entry with this index and all later ones.
    ///
    /// # Errors
    /// An error of the disk.
    pub fn truncate_from(&self, index: u64) -> Result<(), StoreError> {
        self.0.write(|transaction| {
            // An emptied log must still know its next index.
            if transaction.start()?.is_none() {
                if let Some(first) =
                    transaction.inner.open_table(LOG_TABLE)?.first()?.map(|(first, _)| first.value())
                {
                    transaction.set_start(first.min(index))?;
                }
            }
            Ok(transaction.inner.open_table(LOG_TABLE)?.retain_in(index.., |_, _| false)?)
        })
    }

    /// Removes the entry with this index and all earlier ones. The first entry after an emptied log has the index after
    /// the greatest purged one.
    ///
    /// # Errors
    /// An error of the disk.
    pub fn purge_to(&self, index: u64) -> Result<(), StoreError> {
        self.0.write(|transaction| {
            transaction.inner.open_table(LOG_TABLE)?.retain_in(..=index, |_, _| false)?;
            let start = index.saturating_add(1);
            if transaction.start()?.is_none_or(|old| old < start) {
                transaction.set_start(start)?;
            }
            Ok(())
        })
    }

    /// Returns the entries with an index in the range, in order. Entries may be missing only at the ends of the range.
    ///
    /// # Errors
    /// [`StoreError::Damaged`] if an entry is missing between two others or is not what was written, or an error of the
    /// disk.
    pub fn entries(&self, range: Range<u64>) -> Result<Vec<Entry>, StoreError> {
        if range.is_empty() {
            return Ok(Vec::new());
        }
        self.0.read(|transaction| {
            let mut entries: Vec<Entry> = Vec::new();
            for row in transaction.inner.open_table(LOG_TABLE)?.range(range.clone())? {
                let (index, framed) = row?;
                let entry = transaction.entry(index.value(), framed.value())?;
                if entries.last().is_some_and(|last| last.index + 1 != entry.index) {
                    return Err(transaction
                        .damaged(format!("entries are missing before entry {} of the log", entry.index)));
                }
                entries.push(entry);
            }
            Ok(entries)
        })
    }

    /// Returns the last entry of the log.
    ///
    /// # Errors
    /// As [`Store::entries`].
    pub fn last_entry(&self) -> Result<Option<Entry>, StoreError> {
        self.0.read(|transaction| {
            let log = transaction.inner.open_table(LOG_TABLE)?;
            let last = log.last()?;
            last.map(|(index, framed)| transaction.entry(index.value(), framed.value())).transpose()
        })
    }

    /// Returns the index of the first entry of the log. For an empty log, returns the index that comes next, or 0 if it
    /// never held an entry.
    ///
    /// # Errors
    /// An error of the disk.
    pub fn first_index(&self) -> Result<u64, StoreError> {
        self.0.read(|transaction| {
            let log = transaction.inner.open_table(LOG_TABLE)?;
            let first = log.first()?.map(|(index, _)| index.value());
            Ok(match first {
                Some(first) => first,
                None => transaction.start()?.unwrap_or(0),
            })
        })
    }

    /// Saves a record under a name, replacing the previous one.
    ///
    /// # Errors
    /// [`StoreError::TooLarge`], or an error of the disk.
    pub fn put(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.0.check_size("a record", bytes.len(), MAX_VALUE_BYTES)?;
        self.0.write(|transaction| {
            let mut records = transaction.inner.open_table(RECORDS_TABLE)?;
            records.insert(name, frame::pack(name.as_bytes(), bytes).as_slice())?;
            Ok(())
        })
    }

    /// Returns the record under a name.
    ///
    /// # Errors
    /// [`StoreError::Damaged`], or an error of the disk.
    pub fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.0.read(|transaction| {
            let records = transaction.inner.open_table(RECORDS_TABLE)?;
            let Some(framed) = records.get(name)? else { return Ok(None) };
            let bytes = frame::unpack(name.as_bytes(), framed.value());
            bytes.map_or_else(
                || Err(transaction.damaged(format!("record {name:?}"))),
                |bytes| Ok(Some(bytes.to_vec())),
            )
        })
    }

    /// Saves a snapshot, replacing the previous one.
    ///
    /// # Errors
    /// [`StoreError::TooLarge`], or an error of the disk.
    pub fn save_snapshot(&self, meta: &[u8], data: &[u8]) -> Result<(), StoreError> {
        self.0.check_size("a snapshot's description", meta.len(), MAX_VALUE_BYTES)?;
        self.0.check_size("a snapshot", data.len(), MAX_SNAPSHOT_BYTES)?;
        self.0.write(|transaction| {
            let mut rows = transaction.inner.open_table(SNAPSHOT_TABLE)?;
            rows.retain(|_, _| false)?;
            let mut head = frame::checksum(meta, &[data]).to_le_bytes().to_vec();
            head.extend_from_slice(meta);
            rows.insert(0, head.as_slice())?;
            for (number, row) in (1..).zip(data.chunks(SNAPSHOT_ROW_BYTES)) {
                rows.insert(number, row)?;
            }
            Ok(())
        })
    }

    /// Returns the snapshot that was saved last.
    ///
    /// # Errors
    /// [`StoreError::Damaged`], or an error of the disk.
    pub fn snapshot(&self) -> Result<Option<Snapshot>, StoreError> {
        self.0.read(|transaction| {
            let mut head = None;
            let mut data = Vec::new();
            for row in transaction.inner.open_table(SNAPSHOT_TABLE)?.range(0..)? {
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
                    Err(transaction.damaged("the snapshot has no head".into()))
                };
            };
            match head.split_first_chunk() {
                Some((checksum, meta))
                    if u64::from_le_bytes(*checksum) == frame::checksum(meta, &[&data]) =>
                {
                    Ok(Some(Snapshot { meta: meta.to_vec(), data }))
                }
                _ => Err(transaction.damaged("the snapshot".into())),
            }
        })
    }

    /// Returns the size of the database file in bytes.
    ///
    /// # Errors
    /// An error of the disk.
    pub fn file_size(&self) -> Result<u64, StoreError> {
        self.0.backend.len().map_err(|source| io_error(&self.0.location, source))
    }
}

/// A transaction of the library, and the store's location for messages.
struct Transaction<'a, T> {
    inner: T,
    location: &'a str,
}

impl<T> Transaction<'_, T> {
    fn damaged(&self, detail: String) -> TransactionError {
        TransactionError::Store(StoreError::Damaged { location: self.location.to_owned(), detail })
    }

    fn decode_start(&self, framed: &[u8]) -> Result<u64, TransactionError> {
        self.decode_number(
            LOG_START_PROPERTY,
            frame::unpack(LOG_START_PROPERTY.as_bytes(), framed).unwrap_or_default(),
        )
    }

    fn decode_number(&self, name: &str, bytes: &[u8]) -> Result<u64, TransactionError> {
        bytes.try_into().map(u64::from_le_bytes).map_err(|_| self.damaged(format!("its {name}")))
    }
}

impl Transaction<'_, ReadTransaction> {
    /// Returns whether the tables exist.
    ///
    /// # Errors
    /// They have a newer schema or belong to another owner, or an error of the disk.
    fn check_owner(&self, owner: &Owner) -> Result<bool, TransactionError> {
        if self.inner.list_tables()?.next().is_none() {
            return Ok(false);
        }
        let properties = self.inner.open_table(PROPERTIES_TABLE)?;
        let row = |name: &str| -> Result<Vec<u8>, TransactionError> {
            let row = properties.get(name)?;
            let bytes = row.as_ref().and_then(|row| frame::unpack(name.as_bytes(), row.value()));
            bytes.map(<[u8]>::to_vec).ok_or_else(|| self.damaged(format!("its {name}")))
        };
        let location = self.location.to_owned();
        let schema = self.decode_number(SCHEMA_PROPERTY, &row(SCHEMA_PROPERTY)?)?;
        if schema > SCHEMA_VERSION {
            return Err(TransactionError::Store(StoreError::NewerSchema {
                location,
                found: schema,
                supported: SCHEMA_VERSION,
            }));
        }
        let found = Owner {
            cluster: String::from_utf8_lossy(&row(CLUSTER_PROPERTY)?).into_owned(),
            replica: self.decode_number(REPLICA_PROPERTY, &row(REPLICA_PROPERTY)?)?,
        };
        if found != *owner {
            return Err(TransactionError::Store(StoreError::WrongOwner {
                location,
                found,
                expected: owner.clone(),
            }));
        }
        Ok(true)
    }

    /// The stored start of the log, see [`LOG_START_PROPERTY`]; `None` before the first purge or truncation.
    fn start(&self) -> Result<Option<u64>, TransactionError> {
        let properties = self.inner.open_table(PROPERTIES_TABLE)?;
        let row = properties.get(LOG_START_PROPERTY)?;
        row.map(|row| self.decode_start(row.value())).transpose()
    }

    fn entry(&self, index: u64, framed: &[u8]) -> Result<Entry, TransactionError> {
        match frame::unpack(&log_key(index), framed) {
            Some(bytes) => Ok(Entry { index, bytes: bytes.to_vec() }),
            None => Err(self.damaged(format!("entry {index} of the log"))),
        }
    }
}

impl Transaction<'_, WriteTransaction> {
    /// The stored start of the log, see [`LOG_START_PROPERTY`]; `None` before the first purge or truncation.
    fn start(&self) -> Result<Option<u64>, TransactionError> {
        let properties = self.inner.open_table(PROPERTIES_TABLE)?;
        let row = properties.get(LOG_START_PROPERTY)?;
        row.map(|row| self.decode_start(row.value())).transpose()
    }

    fn set_start(&self, start: u64) -> Result<(), TransactionError> {
        let framed = frame::pack(LOG_START_PROPERTY.as_bytes(), &start.to_le_bytes());
        self.inner.open_table(PROPERTIES_TABLE)?.insert(LOG_START_PROPERTY, framed.as_slice())?;
        Ok(())
    }

    /// The index that comes next in the log; `None` if it never held an entry.
    fn next_index(&self) -> Result<Option<u64>, TransactionError> {
        let last = self.inner.open_table(LOG_TABLE)?.last()?.map(|(index, _)| index.value());
        match last {
            Some(last) => Ok(Some(last.saturating_add(1))),
            None => self.start(),
        }
    }

    /// Creates the tables of a new store.
    fn create_tables(&self, owner: &Owner) -> Result<(), TransactionError> {
        let mut properties = self.inner.open_table(PROPERTIES_TABLE)?;
        for (name, bytes) in [
            (SCHEMA_PROPERTY, &SCHEMA_VERSION.to_le_bytes()[..]),
            (CLUSTER_PROPERTY, owner.cluster.as_bytes()),
            (REPLICA_PROPERTY, &owner.replica.to_le_bytes()),
        ] {
            properties.insert(name, frame::pack(name.as_bytes(), bytes).as_slice())?;
        }
        self.inner.open_table(LOG_TABLE)?;
        self.inner.open_table(RECORDS_TABLE)?;
        self.inner.open_table(SNAPSHOT_TABLE)?;
        Ok(())
    }
}

impl Inner {
    fn check_size(&self, item: &'static str, bytes: usize, max: usize) -> Result<(), StoreError> {
        if bytes > max {
            return Err(StoreError::TooLarge { location: self.location.clone(), item, bytes, max });
        }
        Ok(())
    }

    /// Runs a call in a write transaction, which is durable when this returns.
    fn write<T>(
        &self,
        call: impl Fn(&Transaction<'_, WriteTransaction>) -> Result<T, TransactionError>,
    ) -> Result<T, StoreError> {
        self.run(|database| {
            let transaction =
                Transaction { inner: begin_two_phase_write(database)?, location: &self.location };
            let result = call(&transaction)?;
            transaction.inner.commit()?;
            Ok(result)
        })
    }

    /// Runs a call in a read transaction.
    fn read<T>(
        &self,
        call: impl Fn(&Transaction<'_, ReadTransaction>) -> Result<T, TransactionError>,
    ) -> Result<T, StoreError> {
        self.run(|database| call(&Transaction { inner: database.begin_read()?, location: &self.location }))
    }

    /// Runs a call on the open database. After a failure the library refuses all further calls, so the database is
    /// closed; the next call reopens it, which verifies it and recovers the last complete commit.
    fn run<T>(&self, call: impl Fn(&Database) -> Result<T, TransactionError>) -> Result<T, StoreError> {
        let mut may_retry = true;
        loop {
            let result = {
                let database = self.database.read().unwrap_or_else(|poisoned| poisoned.into_inner());
                database.as_ref().map(|database| catch_panic(|| call(database)))
            };
            match result {
                Some(Ok(Ok(result))) => return Ok(result),
                Some(Ok(Err(TransactionError::Store(error)))) => return Err(error),
                Some(Ok(Err(TransactionError::Library(error)))) => {
                    self.close();
                    // Another call failed before this one changed anything.
                    let earlier = matches!(error, redb::Error::PreviousIo | redb::Error::DatabaseClosed);
                    if !earlier || !std::mem::take(&mut may_retry) {
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

    /// Whether no database was ever created here, as far as is known.
    fn is_new(&self) -> io::Result<bool> {
        self.lock_file.as_ref().map_or(Ok(true), |lock_file| Ok(lock_file.metadata()?.len() == 0))
    }

    /// Whether the creation of the database was interrupted. The library writes the first bytes of a file last, when
    /// everything else is synced.
    fn is_creation_incomplete(&self) -> io::Result<bool> {
        let mut start = [0; 9];
        if self.backend.len()? < start.len() as u64 {
            return Ok(true);
        }
        self.backend.read(0, &mut start)?;
        Ok(start == [0; 9])
    }

    /// Records in the lock file that the database was created.
    fn mark_created(&self) -> io::Result<()> {
        let Some(mut lock_file) = self.lock_file.as_ref() else { return Ok(()) };
        writeln!(lock_file, "replica {} of cluster {:?}", self.owner.replica, self.owner.cluster)?;
        lock_file.sync_all()
    }

    fn close(&self) {
        let database = self.database.write().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
        // A panic while closing a damaged file adds nothing to the error that was already reported.
        let _ = catch_panic(|| drop(database));
    }

    fn reopen(&self) -> Result<(), StoreError> {
        let mut slot = self.database.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        if slot.is_some() {
            return Ok(());
        }
        let opened = catch_panic(|| -> Result<Database, TransactionError> {
            let location = self.location.as_str();
            let io = |source| TransactionError::Store(io_error(location, source));
            let is_new = self.is_new().map_err(io)?;
            if is_new && self.is_creation_incomplete().map_err(io)? {
                self.backend.set_len(0).map_err(io)?;
            }
            let database = Builder::new()
                .set_cache_size(CACHE_BYTES)
                .set_check_integrity_on_open(true)
                .create_with_backend(self.backend.clone())?;
            let transaction = Transaction { inner: database.begin_read()?, location };
            if !transaction.check_owner(&self.owner)? {
                if !is_new {
                    return Err(transaction.damaged("its contents are gone".into()));
                }
                let transaction = Transaction { inner: begin_two_phase_write(&database)?, location };
                transaction.create_tables(&self.owner)?;
                transaction.inner.commit()?;
            }
            if is_new {
                self.mark_created().map_err(io)?;
            }
            Ok(database)
        });
        *slot = Some(match opened {
            Ok(Ok(database)) => database,
            Ok(Err(TransactionError::Store(error))) => return Err(error),
            Ok(Err(TransactionError::Library(error))) => return Err(library_error(&self.location, error)),
            Err(panic) => return Err(StoreError::Damaged { location: self.location.clone(), detail: panic }),
        });
        Ok(())
    }
}

fn begin_two_phase_write(database: &Database) -> Result<WriteTransaction, TransactionError> {
    let mut transaction = database.begin_write()?;
    transaction.set_two_phase_commit(true);
    Ok(transaction)
}

/// The key that the checksum of a log entry covers.
fn log_key(index: u64) -> [u8; 8] {
    index.to_le_bytes()
}

/// Runs a call, and returns the message of its panic if it panics. Some checks of the library panic on a damaged file,
/// which must not end the program.
fn catch_panic<T>(call: impl FnOnce() -> T) -> Result<T, String> {
    catch_unwind(AssertUnwindSafe(call)).map_err(|panic| {
        let message = panic.downcast_ref::<String>().map(String::as_str);
        let message = message.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no message");
        format!("the storage library panicked ({message})")
    })
}

fn library_error(location: &str, error: redb::Error) -> StoreError {
    let location = location.to_owned();
    match error {
        redb::Error::Io(source) => io_error(&location, source),
        redb::Error::Corrupted(detail) => StoreError::Damaged { location, detail },
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
        // The library reports these for a file that is not a database, and for one that ends too early.
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
    fn a_newer_schema_version_is_refused() {
        let disk = FaultyDisk::new();
        let owner = Owner { cluster: "north".to_owned(), replica: 1 };
        let store = Store::open_on(disk.clone(), &owner).expect("a new disk was refused");
        let newer = frame::pack(SCHEMA_PROPERTY.as_bytes(), &(SCHEMA_VERSION + 1).to_le_bytes());
        let written = store.0.write(|transaction| {
            transaction.inner.open_table(PROPERTIES_TABLE)?.insert(SCHEMA_PROPERTY, newer.as_slice())?;
            Ok(())
        });
        written.expect("the newer version was not written");
        drop(store);
        let refused = Store::open_on(disk, &owner).expect_err("a newer schema was accepted");
        assert!(matches!(refused, StoreError::NewerSchema { found: 2, supported: 1, .. }), "{refused}");
    }
}
