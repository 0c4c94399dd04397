//! The control group: state machines on one replicated log that hold what the fleet agrees on, and a replica's HTTP
//! interface to them.
//!
//! | module | content |
//! | --- | --- |
//! | [`command`] | the log's commands, one enum per state machine, and their outcomes |
//! | [`roster`] | which processes are members: join, leave, proven exit, removal |
//! | [`policy`] | the agreed epoch, the pending change, the outcomes of past changes |
//! | [`verdicts`] | servers that are removed by votes, and the removal caps |
//! | [`machine`] | the three of them combined, driven by [`consensus::StateMachine`] |
//! | [`leader`] | sessions, promises and leases by one leader's monotonic clock; pure like the others, but not replicated: it returns what to write, reply and probe |
//! | [`tally`] | ballots on servers and the verdicts that follow from them; next to the leader and built the same way |
//! | [`config`] | one replica's configuration, with complete validation |
//! | [`hub`], [`limiter`], [`sync`] | state shared between threads: the newest watch line, and the calls in flight |
//! | [`edge`] | HTTP: nodes' heartbeats and watches, operators' calls, messages between replicas |
//!
//! A new subject (the server list, the catalog) is a new module with its commands and its part of the snapshot.
//!
//! Rejected: acknowledging staged changes in the log, one entry per node. With 300 nodes a change would cost 300 synced
//! writes instead of one. The leader's memory is enough, because members repeat what they have staged to each new
//! leader.

pub mod command;
pub mod config;
pub mod edge;
pub mod hub;
pub mod leader;
pub mod limiter;
pub mod machine;
pub mod policy;
pub mod roster;
pub mod sync;
pub mod tally;
pub mod verdicts;
