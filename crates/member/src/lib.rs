//! Fleet membership: the protocol between a node and the control group, and the state machine of a node process for it.
//!
//! Goal: a policy change takes effect on every node or on none, even if links fail, replicas crash or a node is down
//! while the change is made. Design: a change is one entry of the replicated log that either commits or aborts. Before
//! the entry is written, every member has *staged* the change: it has validated it, keeps it next to the current policy,
//! and has promised to admit no new requests after a deadline unless it has learned the outcome by then. Once the entry
//! is written, a member therefore admits requests under the old policy for at most the length of its promise, even if
//! it is partitioned from the group.
//!
//! All times are durations on one process's monotonic clock:
//! - A [`Heartbeat`] goes to the group's leader. The [`HeartbeatReply`] carries the leader's [`Stamp`], its own time
//!   when it wrote the reply, and the next heartbeat echoes it. The leader thus knows a time on its own clock that lies
//!   before that heartbeat was sent. A promise counted from the echoed stamp ends no later than the member counts it,
//!   so a commit that respects the former respects the latter. Late, duplicated or reordered heartbeats only make the
//!   leader's deadline earlier.
//! - A member counts a grant (an extended promise, a lease) from when it *sent* the heartbeat that was answered. The
//!   leader replies only after it has confirmed, after receiving the heartbeat, that it still leads. A leader that was
//!   paused, or partitioned from the majority, grants nothing.
//! - Clock rates may differ by [`MAX_CLOCK_DRIFT`].
//!
//! The outcome of a change may come from any replica by watch ([`WatchEvent`]), because a committed entry stays
//! committed.
//!
//! Rejected: activating the new policy at a wall-clock time, which trusts other machines' clocks; and counting a promise
//! from when the leader receives the heartbeat, which makes it longer than the member's own if the heartbeat is late.

pub mod messages;
pub mod policy;
pub mod session;
pub mod votes;

pub use messages::*;
pub use policy::Policy;
pub use session::{AdmissionError, Effect, Member, MemberConfig, SavedEpoch, StartMode};

/// A point in time or a duration on one process's monotonic clock, in milliseconds.
pub type Millis = f64;

/// The maximum relative difference between the rates of two clocks.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
