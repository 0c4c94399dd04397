//! The agreed log: a few replicas that apply the same commands in the same order, through the loss of a minority.
//!
//! Need: what the fleet agrees on (its roster and policy; later votes, the list, the catalog) must survive replicas
//! that are killed, stopped or cut off, and be acknowledged only once it is on the disks of a majority. Shape: the
//! consensus library's protocol core, a [`StateMachine`] that it feeds, `store` below for log, vote and snapshot, and
//! messages as JSON over HTTP/1.1, as the discovery protocol has it. All that runs on the log is one machine made of
//! modules; adding one is adding its commands.
//!
//! | module | what it knows |
//! | --- | --- |
//! | `config` | a replica's place, times and bounds |
//! | `identity` | whose disk answers: a replica that lost its disk is a stranger |
//! | `wire` | what replicas say to each other, and who may say it |
//! | `network` | kept connections to the other replicas |
//! | `storage` | log and vote on the store, off the event loop, through a full disk |
//! | `state_machine` | commands into the [`StateMachine`], its snapshots |
//! | `leadership` | leadership made sure, one round for all who wait |
//! | `membership` | replicas added and removed one at a time |
//! | `replica` | all of it together |
//!
//! The library is `openraft` in its stable line 0.9: the protocol core alone, with storage and transport left to the
//! caller, which is what lets us keep one log of our own on a disk of our own and speak JSON on the port that is
//! there. It has joint membership changes, snapshots, read rounds and a lease against needless elections; its newer
//! line 0.10 is not released yet. `raft-rs` has the same core as a state machine without its driver (ticks, ready
//! loops, protobuf messages), which would be ours to write and to test; a coordinator beside the fleet (etcd, Consul)
//! is a second product to run.
//!
//! Rejected: a consensus of our own (the library's edge cases are tested far beyond what we could); and a log for each
//! subject, which would need an order between logs and as many elections.
//!
//! # What a replica that lost its disk may do
//!
//! Nothing under its old id. It would vote and acknowledge as if it knew nothing, and an acknowledged command could be
//! lost. Each disk has an id of its own, drawn at its first start; replicas remember the disk of each peer, pass on
//! what they know with each message, and refuse a known id on another disk in both directions, as its request and as
//! its answer. Such a replica is replaced: removed, and added under an id that was never used ([`Replica::set_peer`]).
//! What this can't see is a majority that was wiped before the rest ever spoke to it: that is a new group.

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
pub use replica::{Leadership, PeerStatus, Replica, Status};
pub use wire::MAX_BODY_BYTES;

/// What the log drives: the same commands in the same order make the same state at every replica. It reads no clock
/// and draws no random numbers.
pub trait StateMachine: Send + Sync + 'static {
    /// What the log holds.
    type Command: Clone + Debug + DeserializeOwned + PartialEq + Send + Serialize + Sync + 'static;
    /// What comes of a command; given to whoever wrote it.
    type Reply: Clone + Debug + DeserializeOwned + PartialEq + Send + Serialize + Sync + 'static;

    /// Takes the next command; `version` is its index in the log, and grows.
    fn apply(&mut self, version: u64, command: &Self::Command) -> Self::Reply;

    /// All state as bytes, for a snapshot.
    fn snapshot(&self) -> Vec<u8>;

    /// The state that was written by [`StateMachine::snapshot`], of this or an earlier version of the program.
    ///
    /// # Errors
    /// One line that says what can't be read.
    fn restore(bytes: &[u8]) -> Result<Self, String>
    where
        Self: Sized;
}
