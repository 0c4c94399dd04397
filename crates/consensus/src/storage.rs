//! Log and vote on the store, off the event loop, through a full disk.
//!
//! Each call of the store blocks until it is on the disk, so each runs on a thread for blocking work, and the library
//! waits for it before it acknowledges anything. A full disk stalls the call until there is room: the replica neither
//! leads nor votes nor acknowledges meanwhile, as its core waits here, and goes on by itself. Any other failure ends
//! the replica: the library stops for good on it, and so does the process, with one line.

#![allow(clippy::result_large_err, reason = "the library's traits have it")]

use std::fmt::Debug;
use std::future::Future;
use std::ops::{Bound, Range, RangeBounds};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{
    AnyError, ErrorSubject, ErrorVerb, LogId, LogState, OptionalSend, RaftLogReader, StorageError,
    StorageIOError, Vote,
};
use serde::de::DeserializeOwned;
use store::{Store, StoreError};
use tokio::sync::watch;

use crate::state_machine::{LogEntry, Types};
use crate::{FatalError, StateMachine};

/// The time between tries on a full disk.
const FULL_RETRY: Duration = Duration::from_millis(250);
/// The bytes of entries after which no more are read for one message: the library gives each message one heartbeat's
/// time, and sends what did not get through in it anew.
const ENTRIES_BYTES: usize = 128 << 10;
/// Entries that are read in one step, so that large ones don't pile up in memory.
const ENTRIES_STEP: u64 = 8;

const VOTE: &str = "vote";
const PURGED: &str = "purged";

/// The store of one replica, and how it fares.
pub(crate) struct Disk {
    store: Store,
    /// Why nothing can be written at the moment.
    stalled: watch::Sender<Option<String>>,
    failure: OnceLock<FatalError>,
    closing: watch::Sender<bool>,
    /// Closed when the last user of the disk has let it go.
    _open: watch::Sender<()>,
}

impl Disk {
    /// The disk, and a receiver that fails once all have let the disk go.
    pub(crate) fn new(store: Store) -> (Arc<Self>, watch::Receiver<()>) {
        let (open, gone) = watch::channel(());
        let disk = Self {
            store,
            stalled: watch::Sender::new(None),
            failure: OnceLock::new(),
            closing: watch::Sender::new(false),
            _open: open,
        };
        (Arc::new(disk), gone)
    }

    /// Why nothing can be written at the moment, if so.
    pub(crate) fn stalled(&self) -> watch::Receiver<Option<String>> {
        self.stalled.subscribe()
    }

    /// Why the disk failed for good, if it did.
    pub(crate) fn fatal_error(&self) -> Option<&FatalError> {
        self.failure.get()
    }

    /// Ends waits for room on the disk.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Runs `work` on a thread for blocking work.
    pub(crate) async fn run<T: Send + 'static>(
        self: &Arc<Self>,
        work: impl FnOnce(&Store) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StoreError> {
        let disk = Arc::clone(self);
        match tokio::task::spawn_blocking(move || work(&disk.store)).await {
            Ok(result) => result,
            // The runtime is ending, or the store panicked.
            Err(e) => {
                Err(StoreError::Io { location: "the disk".to_owned(), source: std::io::Error::other(e) })
            }
        }
    }

    /// Writes, and waits as long as the disk is full. `work` may run more than once.
    pub(crate) async fn write(
        self: &Arc<Self>,
        work: impl Fn(&Store) -> Result<(), StoreError> + Send + Sync + 'static,
    ) -> Result<(), StoreError> {
        let work = Arc::new(work);
        let mut closing = self.closing.subscribe();
        loop {
            let again = Arc::clone(&work);
            match self.run(move |store| again(store)).await {
                Err(e @ StoreError::Full { .. }) if !*closing.borrow() => {
                    if self.stalled.borrow().is_none() {
                        tracing::error!("{e}: {}; this replica stands aside", e.advice());
                    }
                    self.stalled.send_replace(Some(e.to_string()));
                    let _ = tokio::time::timeout(FULL_RETRY, closing.wait_for(|closing| *closing)).await;
                }
                result => {
                    if self.stalled.send_replace(None).is_some() && result.is_ok() {
                        tracing::info!("the disk takes writes again");
                    }
                    return result;
                }
            }
        }
    }

    /// Notes that this replica can't go on, and says so as the library has it.
    pub(crate) fn broken(
        &self,
        what: impl std::error::Error + 'static,
        advice: &'static str,
        subject: ErrorSubject<u64>,
        verb: ErrorVerb,
    ) -> StorageError<u64> {
        let _ = self.failure.set(FatalError { reason: what.to_string(), advice });
        StorageIOError::new(subject, verb, AnyError::new(&what)).into()
    }

    /// The same for a failure of the store.
    pub(crate) fn failed(
        &self,
        e: StoreError,
        subject: ErrorSubject<u64>,
        verb: ErrorVerb,
    ) -> StorageError<u64> {
        let advice = e.advice();
        self.broken(e, advice, subject, verb)
    }

    /// Decodes what is on the disk.
    pub(crate) fn decode<T: DeserializeOwned>(
        &self,
        bytes: &[u8],
        subject: ErrorSubject<u64>,
    ) -> Result<T, StorageError<u64>> {
        serde_json::from_slice(bytes).map_err(|e| {
            let advice = "start the version of the program that wrote it, or replace this replica by a new one under a new id";
            self.broken(e, advice, subject, ErrorVerb::Read)
        })
    }

    async fn record<T: DeserializeOwned>(
        self: &Arc<Self>,
        name: &'static str,
        subject: ErrorSubject<u64>,
    ) -> Result<Option<T>, StorageError<u64>> {
        let bytes = self
            .run(move |store| store.get(name))
            .await
            .map_err(|e| self.failed(e, subject.clone(), ErrorVerb::Read))?;
        bytes.map(|bytes| self.decode(&bytes, subject)).transpose()
    }

    async fn put<T: serde::Serialize>(
        self: &Arc<Self>,
        name: &'static str,
        value: &T,
        subject: ErrorSubject<u64>,
    ) -> Result<(), StorageError<u64>> {
        let bytes = encode(value);
        self.write(move |store| store.put(name, &bytes))
            .await
            .map_err(|e| self.failed(e, subject, ErrorVerb::Write))
    }
}

/// As JSON.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("messages and records have string keys and no failing parts")
}

/// The library's log on the disk; also its reader.
pub(crate) struct LogStore<M> {
    disk: Arc<Disk>,
    machine: std::marker::PhantomData<fn() -> M>,
}

impl<M> LogStore<M> {
    pub(crate) fn new(disk: Arc<Disk>) -> Self {
        Self { disk, machine: std::marker::PhantomData }
    }
}

impl<M: StateMachine> LogStore<M> {
    async fn read<T: Send + 'static>(
        &self,
        work: impl FnOnce(&Store) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StorageError<u64>> {
        self.disk.run(work).await.map_err(|e| self.disk.failed(e, ErrorSubject::Logs, ErrorVerb::Read))
    }

    async fn write(
        &self,
        work: impl Fn(&Store) -> Result<(), StoreError> + Send + Sync + 'static,
    ) -> Result<(), StorageError<u64>> {
        self.disk.write(work).await.map_err(|e| self.disk.failed(e, ErrorSubject::Logs, ErrorVerb::Write))
    }

    /// Entries of the range, the first ones up to about `bytes`, at least one if there are any.
    async fn entries(&self, range: Range<u64>, bytes: usize) -> Result<Vec<LogEntry<M>>, StorageError<u64>> {
        let found = self
            .read(move |store| {
                let mut found = Vec::new();
                let mut size = 0;
                let mut start = range.start.max(store.first_index()?);
                while start < range.end && size < bytes {
                    let step = store.entries(start..range.end.min(start.saturating_add(ENTRIES_STEP)))?;
                    let Some(last) = step.last() else { break };
                    start = last.index + 1;
                    size += step.iter().map(|entry| entry.bytes.len()).sum::<usize>();
                    found.extend(step);
                }
                Ok(found)
            })
            .await?;
        let mut left = bytes;
        let mut entries = Vec::with_capacity(found.len());
        for entry in found {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(entry.bytes.len());
            entries.push(self.disk.decode(&entry.bytes, ErrorSubject::LogIndex(entry.index))?);
        }
        Ok(entries)
    }
}

impl<M: StateMachine> RaftLogReader<Types<M>> for LogStore<M> {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<LogEntry<M>>, StorageError<u64>> {
        let start = match range.start_bound() {
            Bound::Included(index) => *index,
            Bound::Excluded(index) => index.saturating_add(1),
            Bound::Unbounded => 0,
        };
        let end = match range.end_bound() {
            Bound::Included(index) => index.saturating_add(1),
            Bound::Excluded(index) => *index,
            Bound::Unbounded => u64::MAX,
        };
        self.entries(start..end, usize::MAX).await
    }

    async fn limited_get_log_entries(
        &mut self,
        start: u64,
        end: u64,
    ) -> Result<Vec<LogEntry<M>>, StorageError<u64>> {
        self.entries(start..end, ENTRIES_BYTES).await
    }
}

impl<M: StateMachine> RaftLogStorage<Types<M>> for LogStore<M> {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<Types<M>>, StorageError<u64>> {
        let purged: Option<LogId<u64>> = self.disk.record(PURGED, ErrorSubject::Logs).await?;
        if let Some(purged) = purged {
            // The process may have ended between the record and the purge.
            self.write(move |store| {
                if store.first_index()? <= purged.index {
                    store.purge_to(purged.index)
                } else {
                    Ok(())
                }
            })
            .await?;
        }
        let last = match self.read(Store::last_entry).await? {
            Some(entry) => {
                let entry: LogEntry<M> =
                    self.disk.decode(&entry.bytes, ErrorSubject::LogIndex(entry.index))?;
                Some(entry.log_id)
            }
            None => purged,
        };
        Ok(LogState { last_purged_log_id: purged, last_log_id: last })
    }

    async fn get_log_reader(&mut self) -> Self {
        Self::new(Arc::clone(&self.disk))
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StorageError<u64>> {
        self.disk.put(VOTE, vote, ErrorSubject::Vote).await
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StorageError<u64>> {
        self.disk.record(VOTE, ErrorSubject::Vote).await
    }

    // The library's core waits for `callback` in any case, so it is called before this returns.
    #[allow(clippy::manual_async_fn)]
    fn append<I>(
        &mut self,
        entries: I,
        callback: LogFlushed<Types<M>>,
    ) -> impl Future<Output = Result<(), StorageError<u64>>> + Send
    where
        I: IntoIterator<Item = LogEntry<M>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut batch = Vec::new();
        for entry in entries {
            if let openraft::EntryPayload::Normal(command) = &entry.payload {
                command.taken();
            }
            batch.push(store::Entry { index: entry.log_id.index, bytes: encode(&entry) });
        }
        async move {
            self.write(move |store| {
                // A try on a full disk may have been kept after all.
                let done = match store.last_entry()? {
                    Some(last) => batch.iter().take_while(|entry| entry.index <= last.index).count(),
                    None => 0,
                };
                store.append(&batch[done..])
            })
            .await?;
            callback.log_io_completed(Ok(()));
            Ok(())
        }
    }

    async fn truncate(&mut self, log_id: LogId<u64>) -> Result<(), StorageError<u64>> {
        self.write(move |store| store.truncate_from(log_id.index)).await
    }

    async fn purge(&mut self, log_id: LogId<u64>) -> Result<(), StorageError<u64>> {
        // The record first: entries without it would be a log that begins nowhere.
        self.disk.put(PURGED, &log_id, ErrorSubject::Logs).await?;
        self.write(move |store| store.purge_to(log_id.index)).await
    }
}
