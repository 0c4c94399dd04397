//! Errors of the store, with advice for operators.

use std::io;

use crate::Owner;

/// Why a call to the store failed.
///
/// A change that failed was applied either completely or not at all; a read shows which. After
/// [`StoreError::OutOfOrder`] and [`StoreError::TooLarge`] nothing has changed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk is full, or the user's disk quota is used up. Existing data can still be read.
    #[error("{location}: no space left (disk full or quota exceeded)")]
    Full {
        /// Directory of the store, or "the disk" for a store on another backend.
        location: String,
    },
    /// The data on disk is not what was written.
    #[error("{location} is damaged: {detail}")]
    Damaged {
        /// Directory of the store, or "the disk" for a store on another backend.
        location: String,
        /// Which part is damaged, in a few words.
        detail: String,
    },
    /// The store belongs to another replica.
    #[error(
        "{location} belongs to replica {} of cluster {:?}, not to replica {} of cluster {:?}",
        found.replica, found.cluster, expected.replica, expected.cluster
    )]
    WrongOwner {
        /// Directory of the store, or "the disk" for a store on another backend.
        location: String,
        /// Owner of the store.
        found: Owner,
        /// Owner that the caller expected.
        expected: Owner,
    },
    /// The store was written by a later version of the program.
    #[error("{location} has schema version {found}, and this program supports versions up to {supported}")]
    NewerSchema {
        /// Directory of the store, or "the disk" for a store on another backend.
        location: String,
        /// Schema version of the store.
        found: u64,
        /// Newest schema version that this program supports.
        supported: u64,
    },
    /// The store is already open, in this process or another one.
    #[error("{location} is already open, in this process or another one")]
    InUse {
        /// Directory of the store, or "the disk" for a store on another backend.
        location: String,
    },
    /// Another I/O error of the disk or the directory, or another error of the storage library.
    #[error("{location}: {source}")]
    Io {
        /// Directory of the store, or "the disk" for a store on another backend.
        location: String,
        /// Error of the operating system or the storage library.
        source: io::Error,
    },
    /// The entries to append do not continue the log without a gap. Nothing has changed.
    #[error("{location}: entry {actual} is out of order: index {expected} is expected")]
    OutOfOrder {
        /// Directory of the store, or "the disk" for a store on another backend.
        location: String,
        /// Index that the entry at this place should have.
        expected: u64,
        /// Index that it has.
        actual: u64,
    },
    /// A value exceeds its size limit. Nothing has changed.
    #[error("{location}: {item} has {bytes} bytes, and the limit is {max}")]
    TooLarge {
        /// Directory of the store, or "the disk" for a store on another backend.
        location: String,
        /// Kind of the value.
        item: &'static str,
        /// Its size in bytes.
        bytes: usize,
        /// The limit in bytes.
        max: usize,
    },
}

impl StoreError {
    /// What an operator can do about the error, in one line.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Full { .. } => {
                "make room on this disk, or raise the quota: the replica then continues by itself, without a restart"
            }
            Self::Damaged { .. } => {
                "do not repair it: check the hardware, move this directory away, and replace this replica by a new one \
                 under a new id, which copies everything from the others"
            }
            Self::WrongOwner { .. } => "give this replica its own directory, or an empty one",
            Self::NewerSchema { .. } => "start the version of the program that wrote it, or a later one",
            Self::InUse { .. } => "end the process that has it open, or give this replica a directory of its own",
            Self::Io { .. } => "check that the directory exists and is writable, and that the disk is healthy",
            Self::OutOfOrder { .. } => "this is a bug in the program: report it with the replica's log",
            Self::TooLarge { .. } => "reduce the size of the data: a limit of the program was reached",
        }
    }
}
