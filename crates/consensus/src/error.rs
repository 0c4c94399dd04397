//! Errors of a replica, with advice for operators and callers.

use std::net::SocketAddr;

use store::StoreError;

/// Why a replica did not start.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusError {
    /// The configuration is invalid.
    #[error("{field}: {reason}")]
    Config {
        /// The invalid field.
        field: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Stored data cannot be decoded by this program.
    #[error("the replica's {item} cannot be decoded: {reason}")]
    Decode {
        /// Which data.
        item: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// The consensus library failed.
    #[error("the consensus core did not start: {0}")]
    Core(String),
}

impl ConsensusError {
    /// What an operator can do about the error, in one line.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Config { .. } => "correct this field of the configuration",
            Self::Store(e) => e.advice(),
            Self::Decode { .. } => {
                "start the version of the program that wrote it, or replace this replica by a new one under a new id"
            }
            Self::Core(_) => "check the replica's disk, then start it again",
        }
    }
}

/// Why a write was not acknowledged, or leadership not confirmed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum WriteError {
    /// This replica does not lead. Nothing was written.
    #[error("this replica does not lead{}", leader.map_or_else(String::new, |(id, at)| format!(": replica {id} at {at} does")))]
    NotLeader {
        /// Id and address of the leader, if this replica knows it.
        leader: Option<(u64, SocketAddr)>,
    },
    /// The limit of writes in flight is reached. Nothing was written.
    #[error("{max} writes are in flight, which is the limit")]
    Busy {
        /// The limit.
        max: usize,
    },
    /// The command is too large. Nothing was written.
    #[error("the command has {size} bytes, and the limit is {max}")]
    TooLarge {
        /// Size of the command as JSON, in bytes.
        size: usize,
        /// The limit in bytes.
        max: usize,
    },
    /// No majority answered, or leadership was lost meanwhile. The write may have been applied, or may be later.
    #[error("{reason}")]
    Unavailable {
        /// Why the outcome is unknown.
        reason: &'static str,
    },
    /// The replica has stopped for good. The write may have been applied.
    #[error(transparent)]
    Fatal(#[from] FatalError),
    /// The change of the group's membership is not possible. Nothing was written.
    #[error("{reason}")]
    InvalidChange {
        /// Why it is not possible.
        reason: String,
    },
}

impl WriteError {
    /// What the caller can do about the error, in one line.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::NotLeader { leader: Some(_) } => "call the leader",
            Self::NotLeader { leader: None } => "try again soon: the replicas are electing a leader",
            Self::Busy { .. } => "try again soon",
            Self::TooLarge { .. } => "make it smaller",
            Self::Unavailable { .. } => {
                "check whether it was applied before trying again; check that a majority of replicas runs"
            }
            Self::Fatal(error) => error.advice,
            Self::InvalidChange { .. } => "check the status of the replicas, and correct the call",
        }
    }
}

/// Why a replica cannot continue. Its process exits with this as its one line, and is restarted by its supervisor.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("the replica cannot continue: {reason}")]
pub struct FatalError {
    /// What failed.
    pub reason: String,
    /// What an operator can do about it, in one line.
    pub advice: &'static str,
}
