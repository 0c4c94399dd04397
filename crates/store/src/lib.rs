//! Durable storage of one replica: a log, a few named records, and one snapshot.
//!
//! Acknowledged data must survive a killed process or a power failure at any instant, a full disk and a partly written
//! page, and damage must be detected and reported, never read as valid data. The store is one embedded database file
//! (redb: a copy-on-write tree with two checksummed roots, so that an interrupted commit leaves the previous one
//! intact). Every call is a transaction that is durable when the call returns, and every value has a checksum of this
//! crate's own. The database records which replica owns it, and any other is refused.
//!
//! Two settings of the library are essential, and a test fails without either:
//! - Commits have two phases. With one phase, damage to the newest root would be taken for an interrupted commit, and its
//!   data, acknowledged long before, would be dropped silently.
//! - Each opening reads the whole file and verifies every page. Otherwise the library trusts a file that was closed
//!   cleanly and may panic on a damaged one. The file is small, as the log is purged behind the snapshot.
//!
//! One kind of damage is not detected, and loses the last commit: a flipped bit in the library's flag for which root
//! is the newer one, in a file that was not closed cleanly. The file then has the same bytes as in the middle of a
//! commit, so the last commit is taken for an interrupted one.
//!
//! Rejected: files with a log format of our own, as the library's recovery has been tested by years of use and ours
//! would not be; and the snapshot as a single value, which would need megabytes of pages in one row.

mod database;
mod error;
pub mod faults;
mod frame;

pub use database::{Entry, Owner, Snapshot, Store};
pub use error::StoreError;

/// Newest schema version of the tables that this program supports.
pub const SCHEMA_VERSION: u64 = 1;
/// Maximum size of one entry, record or snapshot description, in bytes.
pub const MAX_VALUE_BYTES: usize = 16 << 20;
/// Maximum size of a snapshot's contents, in bytes. `ReplicaConfig::max_snapshot_bytes` of the `consensus` crate may
/// set a lower limit, and no higher one.
pub const MAX_SNAPSHOT_BYTES: usize = 256 << 20;
