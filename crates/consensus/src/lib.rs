//! The agreed log: a few replicas that apply the same commands in the same order, through the loss of a minority.
//!
//! Need: what the fleet agrees on (its roster and policy; later votes, the list, the catalog) must survive replicas
//! that are killed, stopped or cut off, and be acknowledged only once it is on the disks of a majority. Shape: the
//! consensus library's protocol core, a [`Machine`] that it feeds, `store` below for log, vote and snapshot, and
//! messages as JSON over HTTP/1.1, as the discovery protocol has it. All that runs on the log is one machine made of
//! modules; adding one is adding its commands.
//!
//! Rejected: a consensus of our own (the library's edge cases are tested far beyond what we could); and a log for each
//! subject, which would need an order between logs and as many elections.

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// What the log drives: the same commands in the same order make the same state at every replica. It reads no clock
/// and draws no random numbers.
pub trait Machine: Send + Sync + 'static {
    /// What the log holds.
    type Command: Clone + Debug + DeserializeOwned + PartialEq + Send + Serialize + Sync + 'static;
    /// What comes of a command; given to whoever wrote it.
    type Reply: Clone + Debug + DeserializeOwned + PartialEq + Send + Serialize + Sync + 'static;

    /// Takes the next command; `version` is its index in the log, and grows.
    fn apply(&mut self, version: u64, command: &Self::Command) -> Self::Reply;

    /// All state as bytes, for a snapshot.
    fn snapshot(&self) -> Vec<u8>;

    /// The state that was written by [`Machine::snapshot`], of this or an earlier version of the program.
    ///
    /// # Errors
    /// One line that says what can't be read.
    fn restore(bytes: &[u8]) -> Result<Self, String>
    where
        Self: Sized;
}
