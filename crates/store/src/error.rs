//! Errors of the store, with advice for operators.

use std::io;

use crate::Owner;

/// Why a call to the store failed.
///
/// A change that failed was applied either completely or not at all; a read shows which. After
/// [`StoreError::OutOfOrder`] and [`StoreError::TooLarge`] nothing has changed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk is full. Existing data can still be read.
    #[error("{location}: the disk is full")]
    Full {
        /// Directory of the store, or "the disk".
        location: String,
    },
    /// The data on disk is not what was written.
    #[error("{location} is damaged: {detail}")]
    Damaged {
        /// Directory of the store, or "the disk".
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
        /// Directory of the store, or "the disk".
        location: String,
        /// Owner of the store.
        found: Owner,
        /// Owner that the caller expected.
        expected: Owner,
    },
    /// The store was written by a later version of the program.
    #[error("{location} has schema version {found}, and this program supports versions up to {supported}")]
    NewerSchema {
        /// Directory of the store, or "the disk".
        location: String,
        /// Schema version of the store.
        found: u64,
        /// Newest schema version that this program supports.
        supported: u64,
    },
    /// Another process has the store open.
    #[error("{location} is in use by another process")]
    InUse {
        /// Directory of the store, or "the disk".
        location: String,
    },
    /// Another I/O error of the disk or the directory.
    #[error("{location}: {source}")]
    Io {
        /// Directory of the store, or "the disk".
        location: String,
        /// Error of the operating system or the storage library.
        source: io::Error,
    },
    /// The entries to append do not follow the log. Nothing has changed.
    #[error("{location}: entry {actual} does not follow the log, where {expected} comes next")]
    OutOfOrder {
        /// Directory of the store, or "the disk".
        location: String,
        /// Index that comes next in the log.
        expected: u64,
        /// Index of the entry that was given.
        actual: u64,
    },
    /// A value exceeds its size limit. Nothing has changed.
    #[error("{location}: {item} has {bytes} bytes, and the limit is {max}")]
    TooLarge {
        /// Directory of the store, or "the disk".
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
            Self::Full { .. } => "make room on this disk: the replica then continues by itself, without a restart",
            Self::Damaged { .. } => {
                "do not repair it: check the hardware, move this directory away, and replace this replica by a new one, \
                 which copies everything from the others"
            }
            Self::WrongOwner { .. } => "give this replica its own directory, or an empty one",
            Self::NewerSchema { .. } => "start the version of the program that wrote it, or a later one",
            Self::InUse { .. } => "end the other process first, or give this replica a directory of its own",
            Self::Io { .. } => "check that the directory exists and is writable, and that the disk is healthy",
            Self::OutOfOrder { .. } => "this is a bug in the program: report it with the replica's log",
            Self::TooLarge { .. } => "reduce the size of the data: a limit of the program was reached",
        }
    }
}
