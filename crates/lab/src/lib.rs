//! The fleet lab: real nodes between emulated clients, app servers, links and discovery, with faults on a timeline
//! and a referee of the rules.
//!
//! The lab measures what a fleet does through failures, gives one verdict, and can play the same draw again.
//! [`plan`] is the experiment file, and [`draw`] generates every value and every first try from a seed. [`world`] is all
//! parties around the nodes as one pure state machine in virtual time; its parts are [`server`], [`server_list`],
//! [`referee`], [`epochs`], [`removals`] and [`tally`]. [`live`] runs the world on sockets with real nodes, [`modules`]
//! runs it in virtual time with the nodes' decision modules, and [`baseline`] with simple policies for comparison.
//! [`result`] evaluates a run, [`plot`] draws it, [`compare`] compares sets of runs, and [`curve`] measures goodput
//! against offered load.
//!
//! Rejected: a thread or task with its own clock for each emulated party, as neither could be tested without waiting or
//! played twice alike; and servers as processes, as two hundred of them take the cores from the nodes.

pub mod baseline;
pub mod compare;
pub mod curve;
pub mod draw;
pub mod epochs;
pub mod error;
pub mod live;
pub mod modules;
pub mod plan;
pub mod plot;
pub mod referee;
pub mod removals;
pub mod result;
pub mod server;
pub mod server_list;
pub mod settings;
pub mod tally;
pub mod world;
