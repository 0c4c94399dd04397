//! What the fleet agrees on, as pure state machines on one log, and the replica's edge round them.
//!
//! | module | what it knows |
//! | --- | --- |
//! | [`command`] | the log's commands, one enum a module, and what comes of them |
//! | [`roster`] | which processes are members: join, leave, proven ended, removed |
//! | [`policy`] | the agreed epoch, the change under way, how changes ended |
//! | [`verdicts`] | servers that are removed by votes, and the caps |
//! | [`machine`] | all three on the log: [`consensus::StateMachine`] |
//! | [`leader`] | pure too, but not on the log: sessions, promises and leases by one leader's monotonic clock; what it would have written, answered and asked |
//! | [`tally`] | as the leader, beside it: ballots on servers, and the verdicts that follow from them |
//! | [`config`] | one replica's configuration, checked whole |
//! | [`hub`], [`gate`], [`sync`] | what threads share: the watch's newest line, and who is inside |
//! | [`edge`] | HTTP: nodes' beats and watches, operators' calls, the replicas' own messages |
//!
//! Adding a subject (the list, the catalog) is adding a module, its commands and its part of the snapshot.
//!
//! Rejected: staging acknowledged in the log, an entry a node: at 300 nodes a change would cost 300 synced writes where
//! one does; the leader's memory is enough, as members say again what they have staged to whoever leads next.

pub mod command;
pub mod config;
pub mod edge;
pub mod gate;
pub mod hub;
pub mod leader;
pub mod machine;
pub mod policy;
pub mod roster;
pub mod sync;
pub mod tally;
pub mod verdicts;
