//! A node as a member of its fleet: what it and the control group say to each other, and the node's side of a change
//! of policy.
//!
//! Need: a change of policy takes hold at every node or at none, also when links are cut, replicas die or a node was
//! down while it was made. Shape: a change is one entry of the agreed log that either commits or aborts it. Before
//! that each member has *staged* it: it has checked it, keeps it beside the present one, and has promised to take
//! nothing new from a deadline on, unless it has learnt by then what became of the change. So from the entry's write
//! on, a member takes new requests under the old policy no longer than its promise lasts, however it is cut off.
//!
//! Time is only ever a duration on one process's monotonic clock:
//! - A *beat* ([`Heartbeat`]) goes to the group's leader; its answer ([`HeartbeatReply`]) carries the leader's `stamp`, its own time
//!   when it wrote the answer, which the next beat echoes. So the leader knows a time of its own clock that lies
//!   before that beat's sending, and a promise counted from the echo ends no later than the member's own: a commit
//!   that keeps clear of the first keeps clear of the second. Late, repeated or reordered beats only make it earlier.
//! - A member counts what it is granted (a promise made anew, a lease) from when it *sent* the beat that was answered.
//!   The leader answers only after it has made sure, after the beat came, that it still leads: a leader that was
//!   stopped, or cut from the majority, grants nothing.
//! - Clocks may differ in rate by [`MAX_CLOCK_DRIFT`].
//!
//! What has become of a change may be heard from any replica by watch ([`WatchEvent`]): a committed entry stays one.
//!
//! Rejected: two policies told apart by a date from which the new one holds, as that trusts clocks of other machines;
//! and a promise counted by the leader from the beat's coming, which a late beat makes longer than the member's own.

pub mod messages;
pub mod policy;
pub mod session;
pub mod votes;

pub use messages::*;
pub use policy::Policy;
pub use session::{AdmissionError, Effect, Member, MemberConfig, SavedEpoch, StartMode};

/// A time or a span on one process's monotonic clock, in milliseconds.
pub type Millis = f64;

/// By what part two clocks' rates may differ.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
