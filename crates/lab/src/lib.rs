//! The fleet lab: real nodes between emulated clients, app servers, links and discovery, with faults on a timeline
//! and a referee of the rules.
//!
//! Need: what a fleet does through failures has to be measured here, with one verdict, and the same draw must be
//! playable again. Shape: [`plan`] is the experiment's file, [`draw`] takes every figure and every first try from a
//! seed, [`world`] is all parties round the nodes as one pure state machine in virtual time (with [`server`],
//! [`server_list`], [`referee`], [`removals`] and [`tally`] as its parts), and [`baseline`] plays the draw with plain policies
//! in the nodes' place, for comparison. [`live`] carries the world on sockets round real nodes; [`result`] says what came
//! of it, [`plot`] shows it, and [`compare`] sets two runs or sets of plays side by side.
//!
//! Rejected: a thread or task for each emulated party with clocks of its own, as neither could be tested without
//! waiting, nor played twice alike; and servers as processes, as two hundred of them take the cores from the nodes.

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
