//! What a replica keeps on its disk: a log, a few named records, and one snapshot.
//!
//! Need: what was acknowledged survives a kill at any instant, a full disk and a torn last page, and damage is found,
//! named and never read as if it were whole. Shape: one embedded database file (redb: a copy-on-write tree with two
//! checksummed roots, so that a commit that was cut short leaves the one before), every call a transaction that is on
//! the disk when the call returns, and a checksum of our own round each value. Whose disk it is stands in it, and
//! another's is refused.
//!
//! Two settings of the library matter, and a test fails without either:
//! - Commits have two phases. With one phase, damage to the newest root would be taken for a commit that was cut
//!   short, and what it held, acknowledged long before, would be dropped in silence.
//! - Each opening reads the whole file and checks each page, as without that the library trusts a file that was closed
//!   in good order and may panic on a damaged one. The file is small: the log is purged behind the snapshot.
//!
//! One bit stays that can hide the last commit: the library's mark of which root is the newer one, changed on a disk
//! that was not closed in good order. The same bytes stand there in the midst of a commit.
//!
//! Rejected: files of our own with a log format of our own, which would have to earn by years of faults the trust
//! that the library has; and the snapshot as one value, which would need megabytes of pages in one row.

mod database;
mod error;
pub mod faults;
mod frame;

pub use database::{Entry, Owner, Snapshot, Store};
pub use error::StoreError;

/// The newest layout of the tables that this program knows.
pub const SCHEMA_VERSION: u64 = 1;
/// The most bytes of one entry or record.
pub const MAX_VALUE_BYTES: usize = 16 << 20;
/// The most bytes of a snapshot.
pub const MAX_SNAPSHOT_BYTES: usize = 256 << 20;
