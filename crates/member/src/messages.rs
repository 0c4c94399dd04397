//! The messages between a node and the control group: JSON over HTTP/1.1.
//!
//! | call | answered by | response |
//! | --- | --- | --- |
//! | `POST /v1/session` with a [`Heartbeat`] | the leader; other replicas answer 503 with a [`NotLeader`] | a [`HeartbeatReply`] |
//! | `GET /v1/watch?from=VERSION` | every replica | a chunked body of [`WatchEvent`]s, one JSON object per line, with an empty line every 2 s as keep-alive |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::votes::{Verdicts, VoteReport};
use crate::{Millis, Policy};

/// The number of an agreed policy; 0 is the settings that each node was started with. It grows with each commit, and the
/// number of an aborted change is never reused.
pub type Epoch = u64;

/// Identifies one process of a node.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Process {
    /// The node's name.
    pub name: String,
    /// A random number that the process draws at its start, so that no two processes of a node share it.
    pub boot: u64,
}

/// The message that a member sends to the leader periodically. The first one of a process is its request to join.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sending process.
    pub process: Process,
    /// The address that this process listens on until it exits: a refused connection there proves that it has exited.
    #[serde(rename = "life")]
    pub liveness_addr: SocketAddr,
    /// An older process of this node may remain a member next to this one until its own session ends (hot upgrade).
    #[serde(default, rename = "beside")]
    pub coexists_with_previous: bool,
    /// The newest [`Stamp`] that this process has received from any leader.
    #[serde(default, rename = "echo")]
    pub echoed_stamp: Option<Stamp>,
    /// The epoch that new requests are admitted under; `None` while it knows none and admits nothing.
    #[serde(default, rename = "active")]
    pub active_epoch: Option<Epoch>,
    /// The newest agreed state that it has applied, which the reply need not repeat.
    #[serde(default, rename = "known")]
    pub known_state: Option<StateId>,
    /// Whether it has staged or refused the pending change; `None` if there is none or it is still being checked.
    #[serde(default, rename = "change")]
    pub stage_reply: Option<StageReply>,
    /// It has no open requests and is exiting: its session closes.
    #[serde(default, rename = "bye")]
    pub leaving: bool,
    /// Its ballots on servers, while its active policy enables votes.
    #[serde(default, rename = "votes", skip_serializing_if = "Option::is_none")]
    pub vote_report: Option<VoteReport>,
    /// The version of the verdicts that it knows; sent together with `vote_report`.
    #[serde(default, rename = "verdicts", skip_serializing_if = "Option::is_none")]
    pub verdicts_version: Option<u64>,
}

/// A member's answer to the request to stage a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StageReply {
    /// It keeps the change next to the current policy, and admits no new requests from `remaining_ms` after this
    /// heartbeat was sent unless it knows the outcome by then.
    Staged {
        /// The change.
        change: ChangeId,
        /// The time left until its promise ends, as of sending this heartbeat.
        #[serde(rename = "left_ms")]
        remaining_ms: Millis,
    },
    /// It cannot apply the change.
    Refused {
        /// The change.
        change: ChangeId,
        /// The reason, for the operator: one line.
        #[serde(rename = "words")]
        reason: String,
    },
}

/// Identifies a change: the log version at which it was proposed, which is never reused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ChangeId(pub u64);

/// A leader's own time when it wrote a reply, and the term it leads in. Times of different terms are not comparable.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Stamp {
    /// The leader's term; unlike the raft term, it also differs after a restart of the leader's replica.
    pub term: u64,
    /// The time on the leader's clock.
    #[serde(rename = "at")]
    pub time: Millis,
}

/// The leader's answer to a [`Heartbeat`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// To be echoed by the next heartbeat.
    pub stamp: Stamp,
    /// The agreed state.
    #[serde(rename = "told")]
    pub update: AgreedUpdate,
    /// The delay from this reply to the next heartbeat.
    #[serde(rename = "beat_ms")]
    pub heartbeat_interval_ms: Millis,
    /// How long after sending the heartbeat the member may admit new requests, if the fleet is fenced. It counts only
    /// for a process whose active epoch is the one in `update`. `None` in a fenced fleet grants nothing.
    #[serde(default)]
    pub lease_ms: Option<Millis>,
    /// This process is fenced, from its join until it leaves the roster: without a lease it admits nothing new.
    #[serde(default)]
    pub fenced: bool,
    /// How long a promise about a change lasts, from the end of the check or from sending the heartbeat that this answers.
    pub promise_ms: Millis,
    /// The process is no longer in the roster, and must admit nothing new: another process of this node has replaced it,
    /// operators have removed it, its address refused connections, or it has left.
    #[serde(default)]
    pub superseded: bool,
    /// Servers on which the leader also wants ballots against removal; on all others it gets ballots for removal only.
    #[serde(default, rename = "asked", skip_serializing_if = "Vec::is_empty")]
    pub queried_servers: Vec<String>,
    /// The verdicts in force, if the heartbeat had votes and named another version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdicts: Option<Verdicts>,
}

/// The agreed state in a reply: in full only if it differs from what the heartbeat named, because policies are long,
/// heartbeats frequent, and the state seldom changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AgreedUpdate {
    /// The full state, as the heartbeat named another one or none.
    #[serde(rename = "news")]
    Changed(AgreedState),
    /// The state is the one that the heartbeat named, which proves as much as the full state.
    #[serde(rename = "same")]
    Unchanged(StateId),
}

/// Identifies an [`AgreedState`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StateId {
    /// Its version.
    pub version: u64,
    /// Its fingerprint, because a group that was restored from a backup assigns versions a second time.
    #[serde(rename = "sum")]
    pub fingerprint: u64,
}

/// The log's state of the policy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgreedState {
    /// Grows when a change is proposed and when it ends, and at no other time: while a change is pending it is the
    /// change's number, and afterwards a greater one. Of two states, the one with the greater version is newer.
    pub version: u64,
    /// A hash over all other fields, computed by the sender and only ever compared; different program versions may
    /// compute different ones.
    #[serde(default, rename = "sum")]
    pub fingerprint: u64,
    /// The agreed epoch.
    pub epoch: Epoch,
    /// Its policy.
    pub policy: Policy,
    /// The pending change.
    #[serde(default)]
    pub change: Option<Change>,
    /// The outcomes of the last changes, newest last; at least the newest one, if there was one.
    #[serde(default, rename = "ended")]
    pub ended_changes: Vec<EndedChange>,
}

impl AgreedState {
    /// Returns what identifies this state.
    pub fn state_id(&self) -> StateId {
        StateId { version: self.version, fingerprint: self.fingerprint }
    }
}

/// A pending change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Its number.
    pub id: ChangeId,
    /// The epoch that it becomes if it commits.
    pub epoch: Epoch,
    /// The proposed policy.
    pub policy: Policy,
}

/// The outcome of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndedChange {
    /// The change's number.
    pub id: ChangeId,
    /// The epoch that it became, or would have become.
    pub epoch: Epoch,
    /// `None` if it was committed.
    #[serde(default, rename = "aborted")]
    pub abort_reason: Option<AbortReason>,
}

/// Why a change was aborted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AbortReason {
    /// A member refused it.
    Refused {
        /// The node.
        node: String,
        /// The reason that it gave.
        #[serde(rename = "words")]
        reason: String,
    },
    /// Members were silent, or did not stage it in time.
    #[serde(rename = "silent")]
    Unresponsive {
        /// The nodes; the first few if there are many.
        nodes: Vec<String>,
    },
    /// Operators cancelled it.
    Operator,
    /// The group had no leader that could end it in time.
    #[serde(rename = "late")]
    NoLeader,
}

/// One line of the watch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WatchEvent {
    /// The agreed state of the policy; `None` if the line is about something else.
    #[serde(default, rename = "agreed")]
    pub agreed_state: Option<AgreedState>,
    /// The log version that the watcher has received up to, after this line.
    pub version: u64,
    /// The verdicts in force, if the agreed policy enables votes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdicts: Option<Verdicts>,
}

/// The body of a 503 from a replica that does not lead.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NotLeader {
    /// What failed, and what to do about it.
    pub error: String,
    /// The leader's address, if this replica knows it.
    #[serde(default)]
    pub leader: Option<SocketAddr>,
}
