//! What may go wrong, and what an operator can do about it.

use std::net::SocketAddr;

use store::StoreError;

/// Why a replica does not start.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusError {
    /// The configuration.
    #[error("{field}: {reason}")]
    Config {
        /// Which field.
        field: &'static str,
        /// What about it.
        reason: String,
    },
    /// The disk.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// What the disk holds can't be read by this program.
    #[error("the replica's {item} can't be read: {reason}")]
    Decode {
        /// Which part.
        item: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// The consensus library.
    #[error("the consensus core did not start: {0}")]
    Core(String),
}

impl ConsensusError {
    /// What an operator can do about it: one line.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Config { .. } => "mend this field of the configuration",
            Self::Store(e) => e.advice(),
            Self::Decode { .. } => {
                "start the version of the program that wrote it, or replace this replica by a new one under a new id"
            }
            Self::Core(_) => "check the replica's disk, then start it again",
        }
    }
}

/// Why a write is not acknowledged, or leadership not confirmed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum WriteError {
    /// This replica does not lead. Nothing was written.
    #[error("this replica does not lead{}", leader.map_or_else(String::new, |(id, at)| format!(": replica {id} at {at} does")))]
    NotLeader {
        /// Who does, as far as it is known here.
        leader: Option<(u64, SocketAddr)>,
    },
    /// As many writes as are allowed are under way. Nothing was written.
    #[error("{max} writes are under way, as many as may be at a time")]
    Busy {
        /// The bound.
        max: usize,
    },
    /// The command is too large. Nothing was written.
    #[error("a command of {size} bytes, and at most {max} are taken")]
    TooLarge {
        /// Its size as JSON.
        size: usize,
        /// The bound.
        max: usize,
    },
    /// No majority has answered, or leadership was lost meanwhile. A write may have been taken, or may be yet.
    #[error("{reason}")]
    Unavailable {
        /// What was missing.
        reason: &'static str,
    },
    /// The replica has stopped for good. A write may have been taken.
    #[error(transparent)]
    Fatal(#[from] FatalError),
    /// A change of the group that is not possible. Nothing was written.
    #[error("{reason}")]
    InvalidChange {
        /// Why.
        reason: String,
    },
}

impl WriteError {
    /// What the caller can do about it: one line.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::NotLeader { leader: Some(_) } => "ask the leader",
            Self::NotLeader { leader: None } => "ask again soon: the replicas are choosing a leader",
            Self::Busy { .. } => "ask again soon",
            Self::TooLarge { .. } => "make it smaller",
            Self::Unavailable { .. } => {
                "look whether it was taken before asking again; check that a majority of replicas runs"
            }
            Self::Fatal(error) => error.advice,
            Self::InvalidChange { .. } => "look at the replicas' status, and mend the call",
        }
    }
}

/// Why a replica can't go on. Its process ends with this as one line, and is started again by its supervisor.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("the replica can't go on: {reason}")]
pub struct FatalError {
    /// What failed.
    pub reason: String,
    /// What an operator can do about it: one line.
    pub advice: &'static str,
}
