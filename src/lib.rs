//! Decision module of a load-balancing proxy in front of a fleet of HTTP servers.
//!
//! [`Balancer`] consumes [`Event`]s and returns [`Action`]s; it does no I/O and reads no clock. [`api`] is its
//! interface, [`wire`] an adapter that hosts many instances over lines of JSON for simulators.
//!
//! ```
//! use tulipmount::*;
//!
//! let class = Class { slo: 100.0, deadline: 500.0, worth: 1.0, late_worth: 0.0, idempotency: Idempotency::Unsafe };
//! let settings = Settings {
//!     node_index: 0,
//!     node_count: 1,
//!     classes: vec![class],
//!     tenants: Vec::new(),
//!     over_quota_worth: 1.0,
//!     goal: Goal { worth: 1.0, ..Goal::default() },
//!     limits: Limits {
//!         max_attempts: 3, hedging: false, cancel: true, probes: false, connect_timeout: 50.0,
//!         max_retry_after: 1_000.0,
//!     },
//!     retry_budget: RetryBudget::default(),
//!     ejection: Ejection::default(),
//!     votes: None,
//!     server_weights: Default::default(),
//!     rules: Rules {
//!         discovery_deadline: 10_000.0, cold_capacity: 0.2, warmup_time: 20_000.0, overload_multiple: 3.0, overload_window: 1_000.0,
//!     },
//!     discovery: Discovery::Pushed,
//!     weights: Weights::None,
//!     tick: 1.0,
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let (mut actions, server) = (Vec::new(), ServerId(7));
//! let up = Entry { server, zone: 0, cell: 0, kind: 0, state: ServerState::Up, weight: 1.0, started_at: None };
//! balancer.handle(0.0, Event::List { entries: vec![up], saved: false }, &mut actions);
//! let request = Event::Request { id: RequestId(1), class: 0, tenant: None, deadline: 500.0, streaming_body: false, is_retry: false, estimated_work: None };
//! balancer.handle(1.0, request, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: to, .. } if *to == server)));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod balance;
pub mod wire;

pub use api::*;
pub use balance::Balancer;
