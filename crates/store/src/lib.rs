//! What a replica keeps on its disk: a log, a few named records, and one snapshot.
//!
//! Need: what was acknowledged survives a kill at any instant, a full disk and a torn last page, and damage is found,
//! named and never read as if it were whole. Shape: one embedded database file (redb: a copy-on-write tree with two
//! checksummed roots, so that a commit that was cut short leaves the one before), three tables, every call a
//! transaction that is on the disk when the call returns. Whose disk it is stands in it, and another's is refused.
//!
//! Rejected: files of our own with a log format of our own, which would have to earn by years of faults the trust
//! that the library has; and one table for all, as a snapshot of megabytes would share pages with a log of bytes.
