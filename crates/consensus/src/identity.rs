//! Identity of a replica's disk.
//!
//! A replica that comes back under its old id on an empty disk has lost its vote and its acknowledgements; counted in a
//! majority, it could cause the loss of acknowledged commands. A message may also come from a replica of another group,
//! through a wrong address or a reused port. So every disk has an id, generated at its first start. All messages and
//! responses carry it, with the peers that formed the group and the disks of the replicas that the sender knows. What a
//! replica learns this way is on its disk before the message counts, and is never forgotten, as ids are not reused.

use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use serde::{Deserialize, Serialize};
use store::StoreError;

use crate::storage::{encode, Storage};
use crate::{ConsensusError, ReplicaConfig};

/// Name of the stored record.
const IDENTITY_RECORD: &str = "identity";
/// Maximum number of replicas that are remembered, including all that were ever replaced.
const MAX_KNOWN_REPLICAS: usize = 256;

/// Id of a disk: 32 hexadecimal digits.
pub(crate) type DiskId = String;

/// Identity of a message's sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Sender {
    pub(crate) cluster: String,
    pub(crate) id: u64,
    #[serde(rename = "disk")]
    pub(crate) disk_id: DiskId,
    /// The peers that formed the group. A replica that was added later learns it from the others.
    #[serde(rename = "group")]
    pub(crate) founding_peers: Option<String>,
    /// The disks of all replicas that the sender knows, including its own.
    #[serde(rename = "known")]
    pub(crate) known_disks: BTreeMap<u64, DiskId>,
}

/// Why a message is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum IdentityError {
    #[error("replica {id} belongs to cluster {theirs:?}, and this replica to cluster {ours:?}")]
    OtherCluster { id: u64, theirs: String, ours: String },
    #[error("replica {id} belongs to a group formed by {theirs}, and this replica to one formed by {ours}")]
    OtherGroup { id: u64, theirs: String, ours: String },
    #[error("the message is for replica {wanted}, and this is replica {here}")]
    Misdirected { wanted: u64, here: u64 },
    #[error(
        "replica {0} received a message from its own id: two replicas have this id, or a peer's address is this replica's \
         own"
    )]
    OwnId(u64),
    #[error(
        "replica {0} has come back on another disk and has lost what it acknowledged: remove it, and add it under an id \
         that was never used"
    )]
    OtherDisk(u64),
    #[error(
        "other replicas know this replica, {0}, with another disk: remove it from the group, and add it under an id that \
         was never used"
    )]
    OwnDiskReplaced(u64),
    #[error("more than {MAX_KNOWN_REPLICAS} replica ids were used: replica {0} is refused")]
    TooManyReplicas(u64),
    #[error("the identity of replica {id} can't be saved: {reason}")]
    Storage { id: u64, reason: String },
}

/// Identity of this replica, and the identities that it knows.
pub(crate) struct Identity {
    /// `None` once the replica stops.
    storage: Mutex<Option<Arc<Storage>>>,
    sender: RwLock<Sender>,
    /// Held while a change is saved, so that there is one at a time.
    saving: tokio::sync::Mutex<()>,
    /// Why a sender was last refused.
    last_refusal: Mutex<Option<String>>,
}

/// The stored identity.
#[derive(Deserialize, Serialize)]
struct IdentityRecord {
    #[serde(rename = "disk")]
    disk_id: DiskId,
    #[serde(rename = "group")]
    founding_peers: Option<String>,
    #[serde(rename = "known")]
    known_disks: BTreeMap<u64, DiskId>,
}

impl Identity {
    /// Reads the identity from the disk. At its first start, generates the disk's id and saves it.
    pub(crate) async fn load(storage: Arc<Storage>, config: &ReplicaConfig) -> Result<Self, ConsensusError> {
        let record = match storage.run(|store| store.get(IDENTITY_RECORD)).await? {
            Some(bytes) => serde_json::from_slice(&bytes)
                .map_err(|e| ConsensusError::Decode { item: "identity record", reason: e.to_string() })?,
            None => {
                let random = || RandomState::new().hash_one(std::process::id());
                let disk_id = format!("{:016x}{:016x}", random(), random());
                let founding_peers =
                    config.peers.contains_key(&config.id).then(|| describe_peers(&config.peers));
                let known_disks = BTreeMap::from([(config.id, disk_id.clone())]);
                let record = IdentityRecord { disk_id, founding_peers, known_disks };
                save(&storage, &record).await?;
                record
            }
        };
        let sender = Sender {
            cluster: config.cluster.clone(),
            id: config.id,
            disk_id: record.disk_id,
            founding_peers: record.founding_peers,
            known_disks: record.known_disks,
        };
        Ok(Self {
            storage: Mutex::new(Some(storage)),
            sender: RwLock::new(sender),
            saving: tokio::sync::Mutex::new(()),
            last_refusal: Mutex::default(),
        })
    }

    /// The identity that this replica sends.
    pub(crate) fn sender(&self) -> Sender {
        self.sender.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Id of this replica.
    pub(crate) fn id(&self) -> u64 {
        self.sender.read().unwrap_or_else(PoisonError::into_inner).id
    }

    /// Whether replica `id` was ever a peer.
    pub(crate) fn is_known(&self, id: u64) -> bool {
        self.sender.read().unwrap_or_else(PoisonError::into_inner).known_disks.contains_key(&id)
    }

    /// Checks a sender, and saves what its message adds to the known identities before this returns.
    pub(crate) async fn check_and_learn(&self, from: &Sender) -> Result<(), IdentityError> {
        let checked = self.learn(from).await;
        if let Err(e) = &checked {
            let line = e.to_string();
            let mut last_refusal = self.last_refusal.lock().unwrap_or_else(PoisonError::into_inner);
            if last_refusal.as_ref() != Some(&line) {
                tracing::warn!("{line}");
                *last_refusal = Some(line);
            }
        }
        checked
    }

    /// Why the sender of a message or response was last refused.
    pub(crate) fn last_refusal(&self) -> Option<String> {
        self.last_refusal.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Releases the disk; unknown senders are refused from now on.
    pub(crate) fn release_storage(&self) {
        self.storage.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    async fn learn(&self, from: &Sender) -> Result<(), IdentityError> {
        // Nearly always nothing is new.
        if merged(&self.sender.read().unwrap_or_else(PoisonError::into_inner), from)?.is_none() {
            return Ok(());
        }
        let _saving = self.saving.lock().await;
        let changed = merged(&self.sender.read().unwrap_or_else(PoisonError::into_inner), from)?;
        let Some(sender) = changed else { return Ok(()) };
        let record = IdentityRecord {
            disk_id: sender.disk_id.clone(),
            founding_peers: sender.founding_peers.clone(),
            known_disks: sender.known_disks.clone(),
        };
        let failed = |reason: String| IdentityError::Storage { id: from.id, reason };
        let storage = self.storage.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let storage = storage.ok_or_else(|| failed("the replica is stopping".to_owned()))?;
        save(&storage, &record).await.map_err(|e| failed(e.to_string()))?;
        *self.sender.write().unwrap_or_else(PoisonError::into_inner) = sender;
        Ok(())
    }
}

/// The own identity after learning from `from`; `None` if nothing changes.
fn merged(own: &Sender, from: &Sender) -> Result<Option<Sender>, IdentityError> {
    let id = from.id;
    if from.cluster != own.cluster {
        return Err(IdentityError::OtherCluster {
            id,
            theirs: from.cluster.clone(),
            ours: own.cluster.clone(),
        });
    }
    if let (Some(theirs), Some(ours)) = (&from.founding_peers, &own.founding_peers) {
        if theirs != ours {
            return Err(IdentityError::OtherGroup { id, theirs: theirs.clone(), ours: ours.clone() });
        }
    }
    if id == own.id {
        return Err(IdentityError::OwnId(id));
    }
    if own.known_disks.get(&id).is_some_and(|disk_id| *disk_id != from.disk_id) {
        return Err(IdentityError::OtherDisk(id));
    }
    if from.known_disks.get(&own.id).is_some_and(|disk_id| *disk_id != own.disk_id) {
        return Err(IdentityError::OwnDiskReplaced(own.id));
    }
    let mut after = own.clone();
    after.founding_peers = after.founding_peers.or_else(|| from.founding_peers.clone());
    after.known_disks.entry(id).or_insert_with(|| from.disk_id.clone());
    for (id, disk_id) in &from.known_disks {
        after.known_disks.entry(*id).or_insert_with(|| disk_id.clone());
    }
    if after.known_disks.len() > MAX_KNOWN_REPLICAS {
        return Err(IdentityError::TooManyReplicas(id));
    }
    Ok((after != *own).then_some(after))
}

async fn save(storage: &Arc<Storage>, record: &IdentityRecord) -> Result<(), StoreError> {
    let bytes = encode(record);
    storage.write(move |store| store.put(IDENTITY_RECORD, &bytes)).await
}

/// The peers that form a group, in one line.
fn describe_peers(peers: &BTreeMap<u64, SocketAddr>) -> String {
    peers.iter().map(|(id, address)| format!("{id}={address}")).collect::<Vec<_>>().join(",")
}
