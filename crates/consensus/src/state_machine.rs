//! Applies commands to the [`StateMachine`], and takes and installs its snapshots.

use std::fmt::{self, Debug};
use std::io::Cursor;
use std::marker::PhantomData;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use openraft::storage::RaftStateMachine;
use openraft::{
    EntryPayload, ErrorSubject, ErrorVerb, LogId, OptionalSend, RaftSnapshotBuilder, RaftTypeConfig,
    Snapshot, SnapshotMeta, StorageError, StoredMembership,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::storage::{encode, Storage};
use crate::{ConsensusError, StateMachine};

/// The library's types for a state machine.
pub(crate) struct TypeConfig<M>(PhantomData<fn() -> M>);

impl<M> Clone for TypeConfig<M> {
    fn clone(&self) -> Self {
        *self
    }
}
impl<M> Copy for TypeConfig<M> {}
impl<M> Default for TypeConfig<M> {
    fn default() -> Self {
        Self(PhantomData)
    }
}
impl<M> Debug for TypeConfig<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TypeConfig")
    }
}
impl<M> PartialEq for TypeConfig<M> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl<M> Eq for TypeConfig<M> {}
impl<M> PartialOrd for TypeConfig<M> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<M> Ord for TypeConfig<M> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<M: StateMachine> RaftTypeConfig for TypeConfig<M> {
    type D = LogCommand<M::Command>;
    type R = Option<M::Reply>;
    type NodeId = u64;
    type Node = NodeAddress;
    type Entry = LogEntry<M>;
    type SnapshotData = Cursor<Vec<u8>>;
    type AsyncRuntime = openraft::TokioRuntime;
    type Responder = openraft::impls::OneshotResponder<Self>;
}

pub(crate) type LogEntry<M> = openraft::Entry<TypeConfig<M>>;
pub(crate) type SnapshotInfo = SnapshotMeta<u64, NodeAddress>;
pub(crate) type Membership = StoredMembership<u64, NodeAddress>;

/// Address at which a replica is reached.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub(crate) struct NodeAddress(pub(crate) SocketAddr);

impl Default for NodeAddress {
    fn default() -> Self {
        Self((Ipv4Addr::UNSPECIFIED, 0).into())
    }
}

/// A command on the log, optionally valid in a single term only.
///
/// It also records whether this replica's log has accepted it: the library answers "not the leader" both before it wrote
/// anything and after it wrote and then lost leadership.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(bound(serialize = "C: Serialize", deserialize = "C: DeserializeOwned"))]
pub(crate) struct LogCommand<C> {
    command: C,
    /// The only term in which an entry with this command is valid; any term if `None`.
    #[serde(default, rename = "term", skip_serializing_if = "Option::is_none")]
    valid_term: Option<u64>,
    #[serde(skip)]
    appended: Arc<AtomicBool>,
}

impl<C> LogCommand<C> {
    /// Creates a command, and the flag that is set once the log accepts it.
    pub(crate) fn new(command: C, valid_term: Option<u64>) -> (Self, Arc<AtomicBool>) {
        let appended = Arc::new(AtomicBool::new(false));
        (Self { command, valid_term, appended: Arc::clone(&appended) }, appended)
    }

    /// The command of an entry that was written in this term; `None` if the entry is void.
    fn valid_in(&self, term: u64) -> Option<&C> {
        self.valid_term.is_none_or(|valid_term| valid_term == term).then_some(&self.command)
    }

    /// Notes that the log accepts the command.
    pub(crate) fn mark_appended(&self) {
        self.appended.store(true, Ordering::Release);
    }
}

/// The state machine and its version, shared with readers.
pub(crate) struct SharedState<M> {
    state: RwLock<(M, u64)>,
    version: watch::Sender<u64>,
}

impl<M> SharedState<M> {
    /// Reads the state machine and its version.
    pub(crate) fn read<R>(&self, f: impl FnOnce(&M, u64) -> R) -> R {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        f(&state.0, state.1)
    }

    /// Watches the version, which is the index of the last applied entry.
    pub(crate) fn watch_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }
}

/// Connects a [`StateMachine`] to the library.
pub(crate) struct RaftStateMachineAdapter<M> {
    shared: Arc<SharedState<M>>,
    storage: Arc<Storage>,
    replica: u64,
    max_snapshot_bytes: usize,
    last_applied: Option<LogId<u64>>,
    membership: Membership,
}

impl<M: StateMachine> RaftStateMachineAdapter<M> {
    /// Restores the stored snapshot, or starts with `machine` if there is none.
    pub(crate) async fn load(
        storage: Arc<Storage>,
        machine: M,
        replica: u64,
        max_snapshot_bytes: usize,
    ) -> Result<(Self, Arc<SharedState<M>>), ConsensusError> {
        let (machine, last_applied, membership) = match storage.run(|store| store.snapshot()).await? {
            None => (machine, None, Membership::default()),
            Some(snapshot) => {
                let decode_error = |reason| ConsensusError::Decode { item: "snapshot", reason };
                let info: SnapshotInfo =
                    serde_json::from_slice(&snapshot.meta).map_err(|e| decode_error(e.to_string()))?;
                let machine = M::restore(&snapshot.data).map_err(decode_error)?;
                (machine, info.last_log_id, info.last_membership)
            }
        };
        let version = last_applied.map_or(0, |log_id| log_id.index);
        let shared = Arc::new(SharedState {
            state: RwLock::new((machine, version)),
            version: watch::Sender::new(version),
        });
        let adapter = Self {
            shared: Arc::clone(&shared),
            storage,
            replica,
            max_snapshot_bytes,
            last_applied,
            membership,
        };
        Ok((adapter, shared))
    }
}

impl<M: StateMachine> RaftStateMachine<TypeConfig<M>> for RaftStateMachineAdapter<M> {
    type SnapshotBuilder = SnapshotBuilder<M>;

    async fn applied_state(&mut self) -> Result<(Option<LogId<u64>>, Membership), StorageError<u64>> {
        Ok((self.last_applied, self.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Option<M::Reply>>, StorageError<u64>>
    where
        I: IntoIterator<Item = LogEntry<M>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut replies = Vec::new();
        for entry in entries {
            let index = entry.log_id.index;
            let mut state = self.shared.state.write().unwrap_or_else(PoisonError::into_inner);
            replies.push(match entry.payload {
                EntryPayload::Blank => None,
                EntryPayload::Normal(command) => {
                    let command = command.valid_in(entry.log_id.leader_id.term);
                    command.map(|command| state.0.apply(index, command))
                }
                EntryPayload::Membership(membership) => {
                    self.membership = Membership::new(Some(entry.log_id), membership);
                    None
                }
            });
            state.1 = index;
            self.last_applied = Some(entry.log_id);
        }
        if let Some(last_applied) = self.last_applied {
            self.shared.version.send_replace(last_applied.index);
        }
        Ok(replies)
    }

    async fn get_snapshot_builder(&mut self) -> SnapshotBuilder<M> {
        SnapshotBuilder {
            info: SnapshotInfo {
                last_log_id: self.last_applied,
                last_membership: self.membership.clone(),
                snapshot_id: format!(
                    "{}-{}",
                    self.last_applied.map_or_else(String::new, |log_id| log_id.to_string()),
                    self.replica
                ),
            },
            data: self.shared.read(|machine, _| machine.snapshot()),
            storage: Arc::clone(&self.storage),
            max_bytes: self.max_snapshot_bytes,
            machine: PhantomData,
        }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError<u64>> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self,
        info: &SnapshotInfo,
        data: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<u64>> {
        let data = data.into_inner();
        let subject = || ErrorSubject::Snapshot(Some(info.signature()));
        let machine = M::restore(&data).map_err(|reason| {
            let error = ConsensusError::Decode { item: "leader's snapshot", reason };
            self.storage.fail(
                error,
                "bring all replicas to the same version of the program",
                subject(),
                ErrorVerb::Read,
            )
        })?;
        let meta = encode(info);
        self.storage
            .write(move |store| store.save_snapshot(&meta, &data))
            .await
            .map_err(|e| self.storage.fail_store(e, subject(), ErrorVerb::Write))?;
        let version = info.last_log_id.map_or(0, |log_id| log_id.index);
        *self.shared.state.write().unwrap_or_else(PoisonError::into_inner) = (machine, version);
        self.last_applied = info.last_log_id;
        self.membership = info.last_membership.clone();
        self.shared.version.send_replace(version);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<TypeConfig<M>>>, StorageError<u64>> {
        let failed = |e| self.storage.fail_store(e, ErrorSubject::Snapshot(None), ErrorVerb::Read);
        let Some(snapshot) = self.storage.run(|store| store.snapshot()).await.map_err(failed)? else {
            return Ok(None);
        };
        let meta = self.storage.decode(&snapshot.meta, ErrorSubject::Snapshot(None))?;
        Ok(Some(Snapshot { meta, snapshot: Box::new(Cursor::new(snapshot.data)) }))
    }
}

/// The state at one entry, to be saved as the snapshot.
pub(crate) struct SnapshotBuilder<M> {
    info: SnapshotInfo,
    data: Vec<u8>,
    storage: Arc<Storage>,
    max_bytes: usize,
    machine: PhantomData<fn() -> M>,
}

impl<M: StateMachine> RaftSnapshotBuilder<TypeConfig<M>> for SnapshotBuilder<M> {
    async fn build_snapshot(&mut self) -> Result<Snapshot<TypeConfig<M>>, StorageError<u64>> {
        let subject = || ErrorSubject::Snapshot(Some(self.info.signature()));
        if self.data.len() > self.max_bytes {
            let error = std::io::Error::other(format!(
                "the state has {} bytes, and the limit of a snapshot is {}",
                self.data.len(),
                self.max_bytes
            ));
            return Err(self.storage.fail(
                error,
                "raise the limit of a snapshot, or remove what is not needed",
                subject(),
                ErrorVerb::Write,
            ));
        }
        let meta = encode(&self.info);
        let data = Arc::new(std::mem::take(&mut self.data));
        let saved = Arc::clone(&data);
        self.storage
            .write(move |store| store.save_snapshot(&meta, &saved))
            .await
            .map_err(|e| self.storage.fail_store(e, subject(), ErrorVerb::Write))?;
        Ok(Snapshot { meta: self.info.clone(), snapshot: Box::new(Cursor::new(data.to_vec())) })
    }
}
