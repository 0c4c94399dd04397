//! The replicated log: a few replicas apply the same commands in the same order and tolerate the loss of a minority.
//!
//! What the fleet agrees on (its roster and policy; later also votes, the server list and the catalog) must survive
//! replicas that are killed, suspended or cut off, and may be acknowledged only once it is on the disks of a majority. This
//! crate combines the protocol core of a consensus library, a [`StateMachine`] that it drives, the `store` crate for
//! log, vote and snapshot, and messages as JSON over HTTP/1.1, as in the discovery protocol. Everything on the log is one
//! state machine made of modules; a new subject only adds its commands.
//!
//! | module | contents |
//! | --- | --- |
//! | `config` | a replica's addresses, timeouts and limits |
//! | `identity` | disk ids: a replica that lost its disk is not accepted under its old id |
//! | `wire` | messages between replicas, and who may send them |
//! | `network` | persistent connections to the other replicas |
//! | `storage` | log and vote on the store, off the event loop, with retries on a full disk |
//! | `state_machine` | applies commands to the [`StateMachine`] and takes its snapshots |
//! | `leadership` | confirms leadership, with one quorum round for all waiting callers |
//! | `membership` | adds and removes replicas, one at a time |
//! | `replica` | one replica, made of the above |
//!
//! The library is `openraft` in its stable line 0.9: the protocol core alone, with storage and transport left to the
//! caller, so that the log stays on our own store and messages are JSON on the existing port. It has joint membership
//! changes, snapshots, read-index rounds and a lease against needless elections; its newer line 0.10 is not released yet.
//! `raft-rs` has the same core as a state machine without a driver (ticks, ready loops, protobuf messages), which we
//! would have to write and test. A separate coordination service (etcd, Consul) would be a second product to operate.
//!
//! Rejected: our own consensus implementation, as the library's edge cases are tested far beyond what we could do; and
//! one log per subject, which would need an order between the logs and as many elections.
//!
//! # Replicas that lost their disk
//!
//! A replica that lost its disk may do nothing under its old id. It would vote and acknowledge without its earlier
//! promises, so that an acknowledged command could be lost. Every disk has an id, generated at its first start. Replicas
//! remember the disk of each peer, pass this on with every message, and refuse a known replica id on another disk both in
//! requests and in responses. Such a replica is replaced: removed, and added under an id that was never used
//! ([`Replica::set_peer`]). What this cannot detect is a majority that lost its disks before the rest ever received a
//! message from it: that is a new group.

mod config;
mod error;
mod identity;
mod leadership;
mod membership;
mod network;
mod replica;
mod state_machine;
mod storage;
mod wire;

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;

pub use config::ReplicaConfig;
pub use error::{ConsensusError, FatalError, WriteError};
pub use replica::{Leadership, MemberStatus, Replica, Status};
pub use wire::MAX_BODY_BYTES;

/// A deterministic state machine that the log drives: the same commands in the same order lead to the same state at every
/// replica. It must not read clocks or random numbers.
pub trait StateMachine: Send + Sync + 'static {
    /// A command on the log.
    type Command: Clone + Debug + DeserializeOwned + PartialEq + Send + Serialize + Sync + 'static;
    /// Result of a command, returned to its writer.
    type Reply: Clone + Debug + DeserializeOwned + PartialEq + Send + Serialize + Sync + 'static;

    /// Applies the next command. `version` is its index in the log, and increases.
    fn apply(&mut self, version: u64, command: &Self::Command) -> Self::Reply;

    /// Serializes the whole state for a snapshot.
    fn snapshot(&self) -> Vec<u8>;

    /// Restores a state that [`StateMachine::snapshot`] wrote in this or an earlier version of the program.
    ///
    /// # Errors
    /// One line that says what cannot be read.
    fn restore(bytes: &[u8]) -> Result<Self, String>
    where
        Self: Sized;
}
