//! Commands into the [`StateMachine`], and its snapshots.

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

use crate::storage::{encode, Disk};
use crate::{ConsensusError, StateMachine};

/// The library's types for a machine.
pub(crate) struct Types<M>(PhantomData<fn() -> M>);

impl<M> Clone for Types<M> {
    fn clone(&self) -> Self {
        *self
    }
}
impl<M> Copy for Types<M> {}
impl<M> Default for Types<M> {
    fn default() -> Self {
        Self(PhantomData)
    }
}
impl<M> Debug for Types<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Types")
    }
}
impl<M> PartialEq for Types<M> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl<M> Eq for Types<M> {}
impl<M> PartialOrd for Types<M> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<M> Ord for Types<M> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<M: StateMachine> RaftTypeConfig for Types<M> {
    type D = Logged<M::Command>;
    type R = Option<M::Reply>;
    type NodeId = u64;
    type Node = Place;
    type Entry = LogEntry<M>;
    type SnapshotData = Cursor<Vec<u8>>;
    type AsyncRuntime = openraft::TokioRuntime;
    type Responder = openraft::impls::OneshotResponder<Self>;
}

pub(crate) type LogEntry<M> = openraft::Entry<Types<M>>;
pub(crate) type Meta = SnapshotMeta<u64, Place>;
pub(crate) type Members = StoredMembership<u64, Place>;

/// Where a replica is reached.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub(crate) struct Place(pub(crate) SocketAddr);

impl Default for Place {
    fn default() -> Self {
        Self((Ipv4Addr::UNSPECIFIED, 0).into())
    }
}

/// A command, the one term whose leader may write it, and whether the log of this replica has taken it: the library
/// answers "not the leader" both before it wrote anything and when it lost leadership after.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(bound(serialize = "C: Serialize", deserialize = "C: DeserializeOwned"))]
pub(crate) struct Logged<C> {
    command: C,
    /// An entry of another term's leader is void. Any may write where it is `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    term: Option<u64>,
    #[serde(skip)]
    taken: Arc<AtomicBool>,
}

impl<C> Logged<C> {
    /// The command, and what tells whether the log took it.
    pub(crate) fn new(command: C, term: Option<u64>) -> (Self, Arc<AtomicBool>) {
        let taken = Arc::new(AtomicBool::new(false));
        (Self { command, term, taken: Arc::clone(&taken) }, taken)
    }

    /// What an entry that was written in this term holds; `None` where it is void.
    fn written_in(&self, term: u64) -> Option<&C> {
        self.term.is_none_or(|only| only == term).then_some(&self.command)
    }

    /// The log takes it now.
    pub(crate) fn taken(&self) {
        self.taken.store(true, Ordering::Release);
    }
}

/// The machine and its version, for readers.
pub(crate) struct Shared<M> {
    state: RwLock<(M, u64)>,
    version: watch::Sender<u64>,
}

impl<M> Shared<M> {
    pub(crate) fn read<R>(&self, f: impl FnOnce(&M, u64) -> R) -> R {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        f(&state.0, state.1)
    }

    pub(crate) fn version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }
}

/// The library's state machine: the machine, and what it was last given.
pub(crate) struct RaftStateMachineAdapter<M> {
    shared: Arc<Shared<M>>,
    disk: Arc<Disk>,
    replica: u64,
    max_snapshot_bytes: usize,
    last: Option<LogId<u64>>,
    members: Members,
}

impl<M: StateMachine> RaftStateMachineAdapter<M> {
    /// The state of the disk's snapshot, or `machine` if there is none.
    pub(crate) async fn load(
        disk: Arc<Disk>,
        machine: M,
        replica: u64,
        max_snapshot_bytes: usize,
    ) -> Result<(Self, Arc<Shared<M>>), ConsensusError> {
        let (machine, last, members) = match disk.run(|store| store.snapshot()).await? {
            None => (machine, None, Members::default()),
            Some(snapshot) => {
                let unreadable = |reason| ConsensusError::Decode { item: "snapshot", reason };
                let meta: Meta =
                    serde_json::from_slice(&snapshot.meta).map_err(|e| unreadable(e.to_string()))?;
                (M::restore(&snapshot.data).map_err(unreadable)?, meta.last_log_id, meta.last_membership)
            }
        };
        let version = last.map_or(0, |last| last.index);
        let shared =
            Arc::new(Shared { state: RwLock::new((machine, version)), version: watch::Sender::new(version) });
        Ok((Self { shared: Arc::clone(&shared), disk, replica, max_snapshot_bytes, last, members }, shared))
    }
}

impl<M: StateMachine> RaftStateMachine<Types<M>> for RaftStateMachineAdapter<M> {
    type SnapshotBuilder = Capture<M>;

    async fn applied_state(&mut self) -> Result<(Option<LogId<u64>>, Members), StorageError<u64>> {
        Ok((self.last, self.members.clone()))
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
                EntryPayload::Normal(logged) => {
                    let command = logged.written_in(entry.log_id.leader_id.term);
                    command.map(|command| state.0.apply(index, command))
                }
                EntryPayload::Membership(members) => {
                    self.members = Members::new(Some(entry.log_id), members);
                    None
                }
            });
            state.1 = index;
            self.last = Some(entry.log_id);
        }
        if let Some(last) = self.last {
            self.shared.version.send_replace(last.index);
        }
        Ok(replies)
    }

    async fn get_snapshot_builder(&mut self) -> Capture<M> {
        Capture {
            meta: Meta {
                last_log_id: self.last,
                last_membership: self.members.clone(),
                snapshot_id: format!(
                    "{}-{}",
                    self.last.map_or_else(String::new, |last| last.to_string()),
                    self.replica
                ),
            },
            data: self.shared.read(|machine, _| machine.snapshot()),
            disk: Arc::clone(&self.disk),
            most: self.max_snapshot_bytes,
            machine: PhantomData,
        }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError<u64>> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self,
        meta: &Meta,
        data: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<u64>> {
        let data = data.into_inner();
        let subject = || ErrorSubject::Snapshot(Some(meta.signature()));
        let machine = M::restore(&data).map_err(|reason| {
            let what = ConsensusError::Decode { item: "leader's snapshot", reason };
            self.disk.broken(
                what,
                "bring all replicas to one version of the program",
                subject(),
                ErrorVerb::Read,
            )
        })?;
        let head = encode(meta);
        self.disk
            .write(move |store| store.save_snapshot(&head, &data))
            .await
            .map_err(|e| self.disk.failed(e, subject(), ErrorVerb::Write))?;
        let version = meta.last_log_id.map_or(0, |last| last.index);
        *self.shared.state.write().unwrap_or_else(PoisonError::into_inner) = (machine, version);
        self.last = meta.last_log_id;
        self.members = meta.last_membership.clone();
        self.shared.version.send_replace(version);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types<M>>>, StorageError<u64>> {
        let failed = |e| self.disk.failed(e, ErrorSubject::Snapshot(None), ErrorVerb::Read);
        let Some(snapshot) = self.disk.run(|store| store.snapshot()).await.map_err(failed)? else {
            return Ok(None);
        };
        let meta = self.disk.decode(&snapshot.meta, ErrorSubject::Snapshot(None))?;
        Ok(Some(Snapshot { meta, snapshot: Box::new(Cursor::new(snapshot.data)) }))
    }
}

/// The state at one entry, to be written as the snapshot.
pub(crate) struct Capture<M> {
    meta: Meta,
    data: Vec<u8>,
    disk: Arc<Disk>,
    most: usize,
    machine: PhantomData<fn() -> M>,
}

impl<M: StateMachine> RaftSnapshotBuilder<Types<M>> for Capture<M> {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types<M>>, StorageError<u64>> {
        let subject = || ErrorSubject::Snapshot(Some(self.meta.signature()));
        if self.data.len() > self.most {
            let what = std::io::Error::other(format!(
                "a state of {} bytes, and at most {} are kept",
                self.data.len(),
                self.most
            ));
            return Err(self.disk.broken(
                what,
                "raise the bound of a snapshot, or remove what is not needed",
                subject(),
                ErrorVerb::Write,
            ));
        }
        let head = encode(&self.meta);
        let data = Arc::new(std::mem::take(&mut self.data));
        let kept = Arc::clone(&data);
        self.disk
            .write(move |store| store.save_snapshot(&head, &kept))
            .await
            .map_err(|e| self.disk.failed(e, subject(), ErrorVerb::Write))?;
        Ok(Snapshot { meta: self.meta.clone(), snapshot: Box::new(Cursor::new(data.to_vec())) })
    }
}
