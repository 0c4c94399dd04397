//! A replica's place in its group, its times and its bounds.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use openraft::SnapshotPolicy;

use crate::ConsensusError;

/// The most replicas that form a group.
const PEERS_MOST: usize = 9;
/// The most bytes of a cluster's name.
const NAME_MOST: usize = 64;
/// The most bytes that a command may be allowed: twice this fits in a body of [`crate::MAX_BODY_BYTES`] with all round it.
const COMMAND_MOST: usize = 2 << 20;

/// What a replica is started with. [`ReplicaConfig::new`] has the defaults; all durations are in milliseconds.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// This replica's number. One that has left the group, or lost its disk, must not be used again.
    pub id: u64,
    /// The cluster's name; replicas of another are refused.
    pub cluster: String,
    /// Where the other replicas reach this one.
    pub address: SocketAddr,
    /// The replicas whose first start forms the group, this one among them; the same map at each. On later starts what
    /// is on the disk counts. A replica that is not among them waits until it is added by [`crate::Replica::set_peer`].
    pub peers: BTreeMap<u64, SocketAddr>,
    /// The time between a leader's heartbeats, and the bound of each message to a replica.
    pub heartbeat_ms: u64,
    /// A replica refuses candidates for the upper end of this span after a leader's heartbeat, and wants to lead itself
    /// after that and a time that it draws from the span at its start. So writes stop for up to twice the upper end and
    /// two heartbeats when a leader is lost.
    pub election_ms: (u64, u64),
    /// The most time that a write waits for its majority.
    pub write_ms: u64,
    /// The most time that adding a replica waits until it is up to date.
    pub catch_up_ms: u64,
    /// A snapshot is taken after as many entries.
    pub snapshot_after: u64,
    /// Entries that are kept behind the snapshot, so that a replica that was away a little needs no snapshot.
    pub retained_entries: u64,
    /// The most bytes of a snapshot.
    pub max_snapshot_bytes: usize,
    /// The most writes under way at a time.
    pub max_concurrent_writes: usize,
    /// The most bytes of a command as JSON. It must reach a replica and its disk within a heartbeat's time, or it is
    /// never acknowledged: raise the heartbeat with it.
    pub max_command_bytes: usize,
}

impl ReplicaConfig {
    /// A replica with the defaults for replicas near each other: a heartbeat each 100 ms, elections after 300 to
    /// 600 ms.
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

    /// The library's configuration, after a check of each field.
    pub(crate) fn library(&self) -> Result<openraft::Config, ConsensusError> {
        let bad = |field, reason: String| Err(ConsensusError::Config { field, reason });
        if self.cluster.is_empty() || self.cluster.len() > NAME_MOST {
            return bad("cluster", format!("a name of 1 to {NAME_MOST} bytes is needed"));
        }
        if self.peers.len() > PEERS_MOST {
            return bad(
                "peers",
                format!("{} replicas, and at most {PEERS_MOST} form a group", self.peers.len()),
            );
        }
        if self.peers.get(&self.id).is_some_and(|address| *address != self.address) {
            return bad("peers", format!("replica {} is this one, at another address than its own", self.id));
        }
        let (low, high) = self.election_ms;
        if self.heartbeat_ms == 0 || low < 2 * self.heartbeat_ms || high <= low || high > 60_000 {
            return bad(
                "election_ms",
                format!(
                    "{low} to {high} ms, and it must start at 2 heartbeats ({} ms) or more, grow, and end within 60000",
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
                return bad(field, "it must be above 0".to_owned());
            }
        }
        if self.max_command_bytes == 0 || self.max_command_bytes > COMMAND_MOST {
            return bad("max_command_bytes", format!("1 to {COMMAND_MOST} bytes are possible"));
        }
        let config = openraft::Config {
            cluster_name: self.cluster.clone(),
            heartbeat_interval: self.heartbeat_ms,
            election_timeout_min: low,
            election_timeout_max: high,
            install_snapshot_timeout: 5000,
            max_payload_entries: 300,
            replication_lag_threshold: self.snapshot_after.saturating_add(self.retained_entries),
            snapshot_policy: SnapshotPolicy::LogsSinceLast(self.snapshot_after),
            snapshot_max_chunk_size: crate::wire::CHUNK,
            max_in_snapshot_log_to_keep: self.retained_entries,
            purge_batch_size: 64,
            ..Default::default()
        };
        config.validate().or_else(|e| bad("election_ms", e.to_string()))
    }
}
