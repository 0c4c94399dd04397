//! What may go wrong on a disk, and what an operator can do about it.

use std::io;

use crate::Owner;

/// Why the disk did not do what was asked. After any of them but [`StoreError::OutOfOrder`] and [`StoreError::TooLarge`] a
/// change that was asked for has happened whole or not at all; reading tells which.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No room. What is there can still be read.
    #[error("{location}: the disk is full")]
    Full {
        /// Which disk.
        location: String,
    },
    /// What is there is not what was written.
    #[error("{location} is damaged: {detail}")]
    Damaged {
        /// Which disk.
        location: String,
        /// What does not hold, in a few words.
        detail: String,
    },
    /// Another replica's disk.
    #[error(
        "{location} belongs to replica {} of cluster {:?}, not to replica {} of cluster {:?}",
        found.replica, found.cluster, expected.replica, expected.cluster
    )]
    WrongOwner {
        /// Which disk.
        location: String,
        /// Whose it is.
        found: Owner,
        /// Who asked for it.
        expected: Owner,
    },
    /// Written by a later version of the program.
    #[error("{location} has schema {found}, and this program knows schemas up to {supported}")]
    NewerSchema {
        /// Which disk.
        location: String,
        /// Its schema.
        found: u64,
        /// The newest one that this program knows.
        supported: u64,
    },
    /// Another process has it open.
    #[error("{location} is in use by another process")]
    InUse {
        /// Which disk.
        location: String,
    },
    /// The disk or its directory failed otherwise.
    #[error("{location}: {source}")]
    Io {
        /// Which disk.
        location: String,
        /// What the system said.
        source: io::Error,
    },
    /// The caller's entries don't follow the log. Nothing has changed.
    #[error("{location}: entry {actual} does not follow the log, where {expected} comes next")]
    OutOfOrder {
        /// Which disk.
        location: String,
        /// The index that comes next.
        expected: u64,
        /// The index that came.
        actual: u64,
    },
    /// More than is kept in one piece. Nothing has changed.
    #[error("{location}: {item} of {bytes} bytes, and at most {max} are kept in one piece")]
    TooLarge {
        /// Which disk.
        location: String,
        /// What was to be kept.
        item: &'static str,
        /// Its size.
        bytes: usize,
        /// The bound.
        max: usize,
    },
}

impl StoreError {
    /// What an operator can do about it: one line.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Full { .. } => "make room on this disk: the replica goes on by itself, nothing has to be restarted",
            Self::Damaged { .. } => {
                "don't mend it: check the hardware, set this directory aside, and let this replica be replaced as a new \
                 one, which copies everything from the others"
            }
            Self::WrongOwner { .. } => "point this replica at its own directory, or give it an empty one",
            Self::NewerSchema { .. } => "start the version of the program that wrote it, or a later one",
            Self::InUse { .. } => "end the other process first, or give this replica a directory of its own",
            Self::Io { .. } => "check that the directory exists and may be written, and the disk's health",
            Self::OutOfOrder { .. } => "this is a fault of the program: report it with its log",
            Self::TooLarge { .. } => "make what is kept smaller: a bound of the program was reached",
        }
    }
}
