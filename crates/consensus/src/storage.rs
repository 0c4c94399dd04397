//! Log and vote on the store, off the event loop, with retries on a full disk.
//!
//! Each store call blocks until it is durable, so it runs on a thread for blocking work, and the library waits for it
//! before it acknowledges anything. A full disk stalls the call until there is space: meanwhile the replica neither leads
//! nor votes nor acknowledges, as the library's core waits here, and it continues by itself. Any other failure ends the
//! replica: the library stops for good, and so does the process, with one line.

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

use crate::state_machine::{LogEntry, TypeConfig};
use crate::{FatalError, StateMachine};

/// Interval between attempts on a full disk.
const FULL_DISK_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Size of entries after which no more are read for one message, in bytes. The library gives each message one heartbeat
/// interval, and sends everything again that did not get through in it.
const MESSAGE_ENTRIES_BYTES: usize = 128 << 10;
/// Number of entries that are read in one step, so that large ones do not accumulate in memory.
const READ_STEP_ENTRIES: u64 = 8;

/// Name of the record with the vote.
const VOTE_RECORD: &str = "vote";
/// Name of the record with the id of the last purged entry.
const PURGED_RECORD: &str = "purged";

/// The store of one replica, and its health.
pub(crate) struct Storage {
    store: Store,
    /// Why writes stall at the moment, if they do.
    stall_reason: watch::Sender<Option<String>>,
    fatal_error: OnceLock<FatalError>,
    closing: watch::Sender<bool>,
    /// Dropped with the last reference to the storage, which closes the channel.
    _release_signal: watch::Sender<()>,
}

impl Storage {
    /// Creates the storage, and a receiver that is closed when the last reference to the storage is dropped.
    pub(crate) fn new(store: Store) -> (Arc<Self>, watch::Receiver<()>) {
        let (release_signal, released) = watch::channel(());
        let storage = Self {
            store,
            stall_reason: watch::Sender::new(None),
            fatal_error: OnceLock::new(),
            closing: watch::Sender::new(false),
            _release_signal: release_signal,
        };
        (Arc::new(storage), released)
    }

    /// Watches why writes stall, if they do.
    pub(crate) fn watch_stall(&self) -> watch::Receiver<Option<String>> {
        self.stall_reason.subscribe()
    }

    /// Why the storage failed for good, if it did.
    pub(crate) fn fatal_error(&self) -> Option<&FatalError> {
        self.fatal_error.get()
    }

    /// Ends the waits for space on the disk.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Runs `work` on a thread for blocking work.
    pub(crate) async fn run<T: Send + 'static>(
        self: &Arc<Self>,
        work: impl FnOnce(&Store) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StoreError> {
        let storage = Arc::clone(self);
        match tokio::task::spawn_blocking(move || work(&storage.store)).await {
            Ok(result) => result,
            // The runtime is shutting down, or the store panicked.
            Err(e) => {
                Err(StoreError::Io { location: "the disk".to_owned(), source: std::io::Error::other(e) })
            }
        }
    }

    /// Runs `work`, and repeats it as long as the disk is full.
    pub(crate) async fn write(
        self: &Arc<Self>,
        work: impl Fn(&Store) -> Result<(), StoreError> + Send + Sync + 'static,
    ) -> Result<(), StoreError> {
        let work = Arc::new(work);
        let mut closing = self.closing.subscribe();
        loop {
            let attempt = Arc::clone(&work);
            match self.run(move |store| attempt(store)).await {
                Err(e @ StoreError::Full { .. }) if !*closing.borrow() => {
                    if self.stall_reason.borrow().is_none() {
                        tracing::error!("{e}: {}; this replica stops leading and voting", e.advice());
                    }
                    self.stall_reason.send_replace(Some(e.to_string()));
                    let _ = tokio::time::timeout(FULL_DISK_RETRY_DELAY, closing.wait_for(|closing| *closing))
                        .await;
                }
                result => {
                    if self.stall_reason.send_replace(None).is_some() && result.is_ok() {
                        tracing::info!("the disk accepts writes again");
                    }
                    return result;
                }
            }
        }
    }

    /// Records why this replica cannot continue, and converts it to the library's error.
    pub(crate) fn fail(
        &self,
        error: impl std::error::Error + 'static,
        advice: &'static str,
        subject: ErrorSubject<u64>,
        verb: ErrorVerb,
    ) -> StorageError<u64> {
        let _ = self.fatal_error.set(FatalError { reason: error.to_string(), advice });
        StorageIOError::new(subject, verb, AnyError::new(&error)).into()
    }

    /// The same for an error of the store.
    pub(crate) fn fail_store(
        &self,
        e: StoreError,
        subject: ErrorSubject<u64>,
        verb: ErrorVerb,
    ) -> StorageError<u64> {
        let advice = e.advice();
        self.fail(e, advice, subject, verb)
    }

    /// Decodes stored data.
    pub(crate) fn decode<T: DeserializeOwned>(
        &self,
        bytes: &[u8],
        subject: ErrorSubject<u64>,
    ) -> Result<T, StorageError<u64>> {
        serde_json::from_slice(bytes).map_err(|e| {
            let advice = "start the version of the program that wrote it, or replace this replica by a new one under a new id";
            self.fail(e, advice, subject, ErrorVerb::Read)
        })
    }

    async fn get_record<T: DeserializeOwned>(
        self: &Arc<Self>,
        name: &'static str,
        subject: ErrorSubject<u64>,
    ) -> Result<Option<T>, StorageError<u64>> {
        let bytes = self
            .run(move |store| store.get(name))
            .await
            .map_err(|e| self.fail_store(e, subject.clone(), ErrorVerb::Read))?;
        bytes.map(|bytes| self.decode(&bytes, subject)).transpose()
    }

    async fn put_record<T: serde::Serialize>(
        self: &Arc<Self>,
        name: &'static str,
        value: &T,
        subject: ErrorSubject<u64>,
    ) -> Result<(), StorageError<u64>> {
        let bytes = encode(value);
        self.write(move |store| store.put(name, &bytes))
            .await
            .map_err(|e| self.fail_store(e, subject, ErrorVerb::Write))
    }
}

/// Encodes a value as JSON.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("messages and records have string keys and no failing parts")
}

/// The library's log on the store; also its reader.
pub(crate) struct LogStore<M> {
    storage: Arc<Storage>,
    machine: std::marker::PhantomData<fn() -> M>,
}

impl<M> LogStore<M> {
    pub(crate) fn new(storage: Arc<Storage>) -> Self {
        Self { storage, machine: std::marker::PhantomData }
    }
}

impl<M: StateMachine> LogStore<M> {
    async fn read<T: Send + 'static>(
        &self,
        work: impl FnOnce(&Store) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StorageError<u64>> {
        self.storage
            .run(work)
            .await
            .map_err(|e| self.storage.fail_store(e, ErrorSubject::Logs, ErrorVerb::Read))
    }

    async fn write(
        &self,
        work: impl Fn(&Store) -> Result<(), StoreError> + Send + Sync + 'static,
    ) -> Result<(), StorageError<u64>> {
        self.storage
            .write(work)
            .await
            .map_err(|e| self.storage.fail_store(e, ErrorSubject::Logs, ErrorVerb::Write))
    }

    /// Reads the first entries of a range, up to about `max_bytes` but at least one if there are any.
    async fn entries(
        &self,
        range: Range<u64>,
        max_bytes: usize,
    ) -> Result<Vec<LogEntry<M>>, StorageError<u64>> {
        let stored = self
            .read(move |store| {
                let mut stored = Vec::new();
                let mut size = 0;
                let mut start = range.start.max(store.first_index()?);
                while start < range.end && size < max_bytes {
                    let step =
                        store.entries(start..range.end.min(start.saturating_add(READ_STEP_ENTRIES)))?;
                    let Some(last) = step.last() else { break };
                    start = last.index + 1;
                    size += step.iter().map(|entry| entry.bytes.len()).sum::<usize>();
                    stored.extend(step);
                }
                Ok(stored)
            })
            .await?;
        let mut remaining_bytes = max_bytes;
        let mut entries = Vec::with_capacity(stored.len());
        for entry in stored {
            if remaining_bytes == 0 {
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(entry.bytes.len());
            entries.push(self.storage.decode(&entry.bytes, ErrorSubject::LogIndex(entry.index))?);
        }
        Ok(entries)
    }
}

impl<M: StateMachine> RaftLogReader<TypeConfig<M>> for LogStore<M> {
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
        self.entries(start..end, MESSAGE_ENTRIES_BYTES).await
    }
}

impl<M: StateMachine> RaftLogStorage<TypeConfig<M>> for LogStore<M> {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig<M>>, StorageError<u64>> {
        let purged: Option<LogId<u64>> = self.storage.get_record(PURGED_RECORD, ErrorSubject::Logs).await?;
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
                    self.storage.decode(&entry.bytes, ErrorSubject::LogIndex(entry.index))?;
                Some(entry.log_id)
            }
            None => purged,
        };
        Ok(LogState { last_purged_log_id: purged, last_log_id: last })
    }

    async fn get_log_reader(&mut self) -> Self {
        Self::new(Arc::clone(&self.storage))
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StorageError<u64>> {
        self.storage.put_record(VOTE_RECORD, vote, ErrorSubject::Vote).await
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StorageError<u64>> {
        self.storage.get_record(VOTE_RECORD, ErrorSubject::Vote).await
    }

    // The library's core waits for `callback` in any case, so it is called before this returns.
    #[allow(clippy::manual_async_fn)]
    fn append<I>(
        &mut self,
        entries: I,
        callback: LogFlushed<TypeConfig<M>>,
    ) -> impl Future<Output = Result<(), StorageError<u64>>> + Send
    where
        I: IntoIterator<Item = LogEntry<M>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut batch = Vec::new();
        for entry in entries {
            if let openraft::EntryPayload::Normal(command) = &entry.payload {
                command.mark_appended();
            }
            batch.push(store::Entry { index: entry.log_id.index, bytes: encode(&entry) });
        }
        async move {
            self.write(move |store| {
                // An earlier attempt on a full disk may have been saved after all.
                let saved = match store.last_entry()? {
                    Some(last) => batch.iter().take_while(|entry| entry.index <= last.index).count(),
                    None => 0,
                };
                store.append(&batch[saved..])
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
        // The record is written first: without it, the remaining entries would be a log with an unknown start.
        self.storage.put_record(PURGED_RECORD, &log_id, ErrorSubject::Logs).await?;
        self.write(move |store| store.purge_to(log_id.index)).await
    }
}
