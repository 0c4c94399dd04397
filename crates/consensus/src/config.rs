//! Configuration of a replica: its group, timeouts and limits.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use openraft::SnapshotPolicy;
use store::MAX_SNAPSHOT_BYTES;

use crate::ConsensusError;

/// Maximum number of replicas whose first start forms a group. Replicas that are added later are not counted.
const MAX_FOUNDING_PEERS: usize = 9;
/// Maximum length of a cluster's name, in bytes.
const MAX_CLUSTER_NAME_BYTES: usize = 64;
/// Upper limit of [`ReplicaConfig::max_command_bytes`]: twice this fits in a body of [`crate::MAX_BODY_BYTES`] with the
/// rest of the message.
const COMMAND_BYTES_LIMIT: usize = 2 << 20;
/// Longest election timeout, in ms.
const MAX_ELECTION_MS: u64 = 60_000;
/// Time for one chunk of a snapshot to be installed, in ms.
const INSTALL_SNAPSHOT_TIMEOUT_MS: u64 = 5000;
/// Maximum number of entries in one message.
const MAX_ENTRIES_PER_MESSAGE: u64 = 300;
/// Number of entries that are purged at a time.
const PURGE_BATCH_ENTRIES: u64 = 64;

/// Configuration of a replica. [`ReplicaConfig::new`] sets the defaults; all durations are in milliseconds.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Id of this replica. The id of one that has left the group or lost its disk must not be used again.
    pub id: u64,
    /// Name of the cluster; replicas of other clusters are refused.
    pub cluster: String,
    /// Address at which the other replicas reach this one.
    pub address: SocketAddr,
    /// The replicas whose first start forms the group, including this one; the same map at each of them. On later starts
    /// the membership on disk counts. A replica that is not in the map waits until [`crate::Replica::set_peer`] adds it.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Interval of the leader's heartbeats, and the timeout of each message to a replica.
    pub heartbeat_ms: u64,
    /// Range of the election timeout. A replica refuses candidates for the upper end of the range after a leader's
    /// heartbeat. It becomes a candidate itself after that time and a random timeout from the range, drawn at its start.
    /// So writes stop for up to twice the upper end and two heartbeats when a leader is lost.
    pub election_ms: (u64, u64),
    /// Timeout of a write.
    pub write_ms: u64,
    /// Time for a replica that is added to catch up with the log.
    pub catch_up_ms: u64,
    /// Number of entries after which a snapshot is taken.
    pub snapshot_after: u64,
    /// Number of entries that are kept behind the snapshot, so that a replica that was away briefly needs no snapshot.
    pub retained_entries: u64,
    /// Maximum size of a snapshot, in bytes, at most [`store::MAX_SNAPSHOT_BYTES`].
    pub max_snapshot_bytes: usize,
    /// Maximum number of writes in flight.
    pub max_concurrent_writes: usize,
    /// Maximum size of a command as JSON, in bytes. A command must reach a replica and its disk within one heartbeat
    /// interval, or it is never acknowledged: raise the heartbeat interval with it.
    pub max_command_bytes: usize,
}

impl ReplicaConfig {
    /// Creates a configuration with the defaults for replicas near each other: a heartbeat every 100 ms, elections after
    /// 300 to 600 ms.
    pub fn new(id: u64, cluster: &str, address: SocketAddr, peers: BTreeMap<u64, SocketAddr>) -> Self {
        Self {
            id,
            cluster: cluster.to_owned(),
            address,
            peers,
            heartbeat_ms: 100,
            election_ms: (300, 600),
            write_ms: 5000,
            catch_up_ms: 30_000,
            snapshot_after: 5000,
            retained_entries: 1000,
            max_snapshot_bytes: 16 << 20,
            max_concurrent_writes: 256,
            max_command_bytes: 1 << 20,
        }
    }

    /// Returns the library's configuration.
    ///
    /// Validates all fields but `id`, `address` and `retained_entries`, for which any value is accepted; `address` is
    /// only compared with this replica's entry in `peers`.
    ///
    /// # Errors
    /// [`ConsensusError::Config`] with the first invalid field.
    pub(crate) fn raft_config(&self) -> Result<openraft::Config, ConsensusError> {
        let invalid = |field, reason: String| Err(ConsensusError::Config { field, reason });
        if self.cluster.is_empty() || self.cluster.len() > MAX_CLUSTER_NAME_BYTES {
            return invalid("cluster", format!("a name of 1 to {MAX_CLUSTER_NAME_BYTES} bytes is required"));
        }
        if self.peers.len() > MAX_FOUNDING_PEERS {
            return invalid(
                "peers",
                format!("{} replicas, and at most {MAX_FOUNDING_PEERS} can form a group", self.peers.len()),
            );
        }
        if self.peers.get(&self.id).is_some_and(|address| *address != self.address) {
            return invalid(
                "peers",
                format!("replica {} is this one, but its address differs from this replica's own", self.id),
            );
        }
        let (min, max) = self.election_ms;
        if self.heartbeat_ms == 0 || min < 2 * self.heartbeat_ms || max <= min || max > MAX_ELECTION_MS {
            return invalid(
                "election_ms",
                format!(
                    "{min} to {max} ms: the range must start at 2 heartbeats ({} ms) or more, increase, and end at \
                     {MAX_ELECTION_MS} or less",
                    2 * self.heartbeat_ms
                ),
            );
        }
        for (field, value) in [
            ("snapshot_after", self.snapshot_after),
            ("write_ms", self.write_ms),
            ("catch_up_ms", self.catch_up_ms),
            ("max_concurrent_writes", self.max_concurrent_writes as u64),
        ] {
            if value == 0 {
                return invalid(field, "it must be above 0".to_owned());
            }
        }
        // The store would refuse a larger snapshot each time that one is taken, and the log would grow without end.
        if self.max_snapshot_bytes == 0 || self.max_snapshot_bytes > MAX_SNAPSHOT_BYTES {
            return invalid("max_snapshot_bytes", format!("it must be 1 to {MAX_SNAPSHOT_BYTES} bytes"));
        }
        if self.max_command_bytes == 0 || self.max_command_bytes > COMMAND_BYTES_LIMIT {
            return invalid("max_command_bytes", format!("it must be 1 to {COMMAND_BYTES_LIMIT} bytes"));
        }
        let config = openraft::Config {
            cluster_name: self.cluster.clone(),
            heartbeat_interval: self.heartbeat_ms,
            election_timeout_min: min,
            election_timeout_max: max,
            install_snapshot_timeout: INSTALL_SNAPSHOT_TIMEOUT_MS,
            max_payload_entries: MAX_ENTRIES_PER_MESSAGE,
            replication_lag_threshold: self.snapshot_after.saturating_add(self.retained_entries),
            snapshot_policy: SnapshotPolicy::LogsSinceLast(self.snapshot_after),
            snapshot_max_chunk_size: crate::wire::SNAPSHOT_CHUNK_BYTES,
            max_in_snapshot_log_to_keep: self.retained_entries,
            purge_batch_size: PURGE_BATCH_ENTRIES,
            ..Default::default()
        };
        config.validate().or_else(|e| invalid("election_ms", e.to_string()))
    }
}
