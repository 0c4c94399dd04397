//! A disk in memory that fails as disks do, for tests.
