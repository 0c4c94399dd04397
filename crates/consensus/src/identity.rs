//! Whose disk answers.
//!
//! Need: a replica that comes back under its old id on an empty disk has forgotten its vote and what it acknowledged;
//! counted in a majority, it could lose acknowledged commands. And a message may come from a replica of another
//! group, by a wrong address or a reused port. Shape: each disk has an id, drawn at its first start; all messages and
//! answers carry it, with the peers that formed the group and the disks of the replicas that the sender knows. What
//! is learned is on the disk before the message counts, and is never forgotten, as ids aren't used again.

use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use serde::{Deserialize, Serialize};
use store::StoreError;

use crate::storage::{encode, Disk};
use crate::{ConsensusError, ReplicaConfig};

const RECORD: &str = "identity";
/// The most replicas that are remembered, with all that were ever replaced.
const KNOWN_MOST: usize = 256;

/// A disk's id: 32 hexadecimal digits.
pub(crate) type DiskId = String;

/// What a message or answer says of its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Sender {
    pub(crate) cluster: String,
    pub(crate) id: u64,
    pub(crate) disk: DiskId,
    /// The peers that formed the group; a replica that was added later learns it from the others.
    pub(crate) group: Option<String>,
    /// The disks of replicas that the sender knows, its own among them.
    pub(crate) known: BTreeMap<u64, DiskId>,
}

/// Why a message does not count.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum Stranger {
    #[error("replica {id} is of cluster {theirs:?}, and this is cluster {ours:?}")]
    Cluster { id: u64, theirs: String, ours: String },
    #[error("replica {id} is of a group that was formed by {theirs}, and this one by {ours}")]
    Group { id: u64, theirs: String, ours: String },
    #[error("a message for replica {wanted}, and this is replica {here}")]
    Misdirected { wanted: u64, here: u64 },
    #[error(
        "replica {0} answers itself: two replicas have this id, or a peer's address is this replica's own"
    )]
    Itself(u64),
    #[error(
        "replica {0} has come back on another disk and knows nothing of what it acknowledged: remove it, and add it under \
         an id that was never used"
    )]
    OtherDisk(u64),
    #[error(
        "this replica, {0}, is known on another disk: remove it from the group, and add it under an id that was never used"
    )]
    Forgot(u64),
    #[error("more than {KNOWN_MOST} ids of replicas were used: replica {0} is not taken")]
    TooMany(u64),
    #[error("who replica {id} is can't be kept: {reason}")]
    Disk { id: u64, reason: String },
}

/// Who this replica is, and whom it knows.
pub(crate) struct Identity {
    /// Until the replica stops.
    disk: Mutex<Option<Arc<Disk>>>,
    sender: RwLock<Sender>,
    /// One change at a time.
    changing: tokio::sync::Mutex<()>,
    /// The last that did not count.
    refused: Mutex<Option<String>>,
}

#[derive(Deserialize, Serialize)]
struct Record {
    disk: DiskId,
    group: Option<String>,
    known: BTreeMap<u64, DiskId>,
}

impl Identity {
    /// Reads the disk, and draws the disk's id at its first start.
    pub(crate) async fn load(disk: Arc<Disk>, config: &ReplicaConfig) -> Result<Self, ConsensusError> {
        let record = match disk.run(|store| store.get(RECORD)).await? {
            Some(bytes) => serde_json::from_slice(&bytes).map_err(|e| ConsensusError::Decode {
                item: "record of its identity",
                reason: e.to_string(),
            })?,
            None => {
                let draw = || RandomState::new().hash_one(std::process::id());
                let id = format!("{:016x}{:016x}", draw(), draw());
                let group = config.peers.contains_key(&config.id).then(|| group(&config.peers));
                let record = Record { known: BTreeMap::from([(config.id, id.clone())]), disk: id, group };
                keep(&disk, &record).await?;
                record
            }
        };
        let sender = Sender {
            cluster: config.cluster.clone(),
            id: config.id,
            disk: record.disk,
            group: record.group,
            known: record.known,
        };
        Ok(Self {
            disk: Mutex::new(Some(disk)),
            sender: RwLock::new(sender),
            changing: tokio::sync::Mutex::new(()),
            refused: Mutex::default(),
        })
    }

    /// What this replica says of itself.
    pub(crate) fn sender(&self) -> Sender {
        self.sender.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// This replica's number.
    pub(crate) fn id(&self) -> u64 {
        self.sender.read().unwrap_or_else(PoisonError::into_inner).id
    }

    /// Whether replica `id` was ever a peer.
    pub(crate) fn knows(&self, id: u64) -> bool {
        self.sender.read().unwrap_or_else(PoisonError::into_inner).known.contains_key(&id)
    }

    /// Takes what another says of itself; once it returns, what was new is on the disk.
    pub(crate) async fn meet(&self, from: &Sender) -> Result<(), Stranger> {
        let met = self.meet_quietly(from).await;
        if let Err(e) = &met {
            let line = e.to_string();
            let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
            if refused.as_ref() != Some(&line) {
                tracing::warn!("{line}");
                *refused = Some(line);
            }
        }
        met
    }

    /// The last message or answer that did not count.
    pub(crate) fn refused(&self) -> Option<String> {
        self.refused.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Lets the disk go; who is new after this is refused.
    pub(crate) fn let_go(&self) {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    async fn meet_quietly(&self, from: &Sender) -> Result<(), Stranger> {
        // Nearly always nothing is new.
        if learn(&self.sender.read().unwrap_or_else(PoisonError::into_inner), from)?.is_none() {
            return Ok(());
        }
        let _one = self.changing.lock().await;
        let news = learn(&self.sender.read().unwrap_or_else(PoisonError::into_inner), from)?;
        let Some(sender) = news else { return Ok(()) };
        let record =
            Record { disk: sender.disk.clone(), group: sender.group.clone(), known: sender.known.clone() };
        let failed = |reason: String| Stranger::Disk { id: from.id, reason };
        let disk = self.disk.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let disk = disk.ok_or_else(|| failed("the replica is stopping".to_owned()))?;
        keep(&disk, &record).await.map_err(|e| failed(e.to_string()))?;
        *self.sender.write().unwrap_or_else(PoisonError::into_inner) = sender;
        Ok(())
    }
}

/// What `me` says of itself after `from`, if anything changes.
fn learn(me: &Sender, from: &Sender) -> Result<Option<Sender>, Stranger> {
    let id = from.id;
    if from.cluster != me.cluster {
        return Err(Stranger::Cluster { id, theirs: from.cluster.clone(), ours: me.cluster.clone() });
    }
    if let (Some(theirs), Some(ours)) = (&from.group, &me.group) {
        if theirs != ours {
            return Err(Stranger::Group { id, theirs: theirs.clone(), ours: ours.clone() });
        }
    }
    if id == me.id {
        return Err(Stranger::Itself(id));
    }
    if me.known.get(&id).is_some_and(|disk| *disk != from.disk) {
        return Err(Stranger::OtherDisk(id));
    }
    if from.known.get(&me.id).is_some_and(|disk| *disk != me.disk) {
        return Err(Stranger::Forgot(me.id));
    }
    let mut after = me.clone();
    after.group = after.group.or_else(|| from.group.clone());
    after.known.entry(id).or_insert_with(|| from.disk.clone());
    for (id, disk) in &from.known {
        after.known.entry(*id).or_insert_with(|| disk.clone());
    }
    if after.known.len() > KNOWN_MOST {
        return Err(Stranger::TooMany(id));
    }
    Ok((after != *me).then_some(after))
}

async fn keep(disk: &Arc<Disk>, record: &Record) -> Result<(), StoreError> {
    let bytes = encode(record);
    disk.write(move |store| store.put(RECORD, &bytes)).await
}

/// The peers that form a group, in one line.
fn group(peers: &BTreeMap<u64, SocketAddr>) -> String {
    peers.iter().map(|(id, address)| format!("{id}={address}")).collect::<Vec<_>>().join(",")
}
