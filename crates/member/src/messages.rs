//! What goes over the wire between a node and the control group: JSON over HTTP/1.1.
//!
//! | call | who answers | |
//! | --- | --- | --- |
//! | `POST /v1/session`, a [`Heartbeat`] | the leader; others 503 with a [`NotLeader`] | an [`HeartbeatReply`] |
//! | `GET /v1/watch?from=VERSION` | every replica | a chunked body of [`WatchEvent`], one JSON object a line; an empty line each 2 s |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::votes::{Verdicts, VoteReport};
use crate::{Millis, Policy};

/// The number of an agreed policy; 0 is the settings that each node was started with. Grows with each commit; the
/// number of a change that was aborted is never given again.
pub type Epoch = u64;

/// Which process of a node speaks.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Process {
    /// The node's name.
    pub name: String,
    /// Drawn by the process at its start; never the same again.
    pub boot: u64,
}

/// What a member tells the leader, now and then. The first one of a process asks to join.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Who speaks.
    pub process: Process,
    /// Where this very process listens as long as it lives: a connection refused there proves that it has ended.
    #[serde(rename = "life")]
    pub liveness_addr: SocketAddr,
    /// An older process of this node may go on beside this one until its own session ends (a hot upgrade).
    #[serde(default, rename = "beside")]
    pub coexists_with_previous: bool,
    /// The [`Stamp`] of the newest answer that this process has had from any leader.
    #[serde(default, rename = "echo")]
    pub echoed_stamp: Option<Stamp>,
    /// The epoch that it judges new requests by; `None` while it knows none and takes nothing.
    #[serde(default, rename = "active")]
    pub active_epoch: Option<Epoch>,
    /// The newest state of what is agreed that it has taken: it need not be told that again.
    #[serde(default, rename = "known")]
    pub known_state: Option<StateId>,
    /// What it says of the change that is under way.
    #[serde(default, rename = "change")]
    pub stage_reply: Option<StageReply>,
    /// It has nothing open and ends: its session closes.
    #[serde(default, rename = "bye")]
    pub leaving: bool,
    /// What it says of servers, while the policy that it judges by has votes.
    #[serde(default, rename = "votes", skip_serializing_if = "Option::is_none")]
    pub vote_report: Option<VoteReport>,
    /// The version of the verdicts that it knows, beside `votes`.
    #[serde(default, rename = "verdicts", skip_serializing_if = "Option::is_none")]
    pub verdicts_version: Option<u64>,
}

/// What a member says of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StageReply {
    /// It keeps the change beside the present policy, and takes nothing new from `remaining_ms` after this beat's sending
    /// on unless it knows by then what became of it.
    Staged {
        /// The change.
        change: ChangeId,
        /// What is left of its promise when this beat is sent.
        #[serde(rename = "left_ms")]
        remaining_ms: Millis,
    },
    /// It can't bear the change.
    Refused {
        /// The change.
        change: ChangeId,
        /// Why, for the operator: one line.
        #[serde(rename = "words")]
        reason: String,
    },
}

/// A change, never the same again: the version of the log at which it was proposed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ChangeId(pub u64);

/// A leader's own time when it wrote an answer, and in which term it leads. Another term's clock says nothing.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Stamp {
    /// The term.
    pub term: u64,
    /// Its time.
    #[serde(rename = "at")]
    pub time: Millis,
}

/// What the leader answers to a beat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// To be echoed.
    pub stamp: Stamp,
    /// What is agreed.
    #[serde(rename = "told")]
    pub update: AgreedUpdate,
    /// How long after this one the next beat should be sent.
    #[serde(rename = "beat_ms")]
    pub heartbeat_interval_ms: Millis,
    /// For how long after the beat's sending the member may take new requests, where the fleet is fenced; counts only
    /// for a process that judges by the epoch that `update` shows. `None` in a beat's answer of a fenced fleet grants nothing.
    #[serde(default)]
    pub lease_ms: Option<Millis>,
    /// This process is fenced, from its join to its end: without a lease it takes nothing new.
    #[serde(default)]
    pub fenced: bool,
    /// For how long after the beat's sending a promise about a change lasts.
    pub promise_ms: Millis,
    /// A newer process of this node has taken its place (or operators have removed it): it takes nothing new any more.
    #[serde(default)]
    pub superseded: bool,
    /// Servers that the leader would hear good of, too; of all others it is told only what is bad.
    #[serde(default, rename = "asked", skip_serializing_if = "Vec::is_empty")]
    pub queried_servers: Vec<String>,
    /// What is in force for servers, where the beat had votes and knew another version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdicts: Option<Verdicts>,
}

/// What is agreed, as an answer tells it: a policy is long, beats are many, and most of them are answered with nothing new.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AgreedUpdate {
    /// All of it, as the beat named another state or none.
    #[serde(rename = "news")]
    Changed(AgreedState),
    /// It is what the beat has named: as good a proof as all of it.
    #[serde(rename = "same")]
    Unchanged(StateId),
}

/// Names a state of what is agreed, by the figures of the [`AgreedState`] that tells of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StateId {
    /// Its version.
    pub version: u64,
    /// Its sum: a group that was set up again from a backup gives versions a second time.
    #[serde(rename = "sum")]
    pub fingerprint: u64,
}

/// What the log says of policy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgreedState {
    /// Grows with each change's proposal and end, and with nothing else: while a change is under way it is the
    /// change's number, after that greater. Of two, the one with the greater version is newer.
    pub version: u64,
    /// Drawn from all that is told here by whoever tells it, only to be named again; another program may draw another.
    #[serde(default, rename = "sum")]
    pub fingerprint: u64,
    /// The agreed epoch.
    pub epoch: Epoch,
    /// Its policy.
    pub policy: Policy,
    /// The change under way.
    #[serde(default)]
    pub change: Option<Change>,
    /// How the last changes ended, newest last; at least the newest one, where there was one.
    #[serde(default, rename = "ended")]
    pub ended_changes: Vec<EndedChange>,
}

impl AgreedState {
    /// What names this state.
    pub fn state_id(&self) -> StateId {
        StateId { version: self.version, fingerprint: self.fingerprint }
    }
}

/// A change under way.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Which.
    pub id: ChangeId,
    /// The epoch that it becomes when it commits.
    pub epoch: Epoch,
    /// The policy.
    pub policy: Policy,
}

/// How a change ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndedChange {
    /// Which.
    pub id: ChangeId,
    /// The epoch that it became, or would have.
    pub epoch: Epoch,
    /// `None`: it was committed.
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
        /// Its words.
        #[serde(rename = "words")]
        reason: String,
    },
    /// Members were silent, or did not stage it in time.
    #[serde(rename = "silent")]
    Unresponsive {
        /// The nodes; the first few where there are many.
        nodes: Vec<String>,
    },
    /// Operators called it off.
    Operator,
    /// The group had no leader that could end it in time.
    #[serde(rename = "late")]
    NoLeader,
}

/// A line of the watch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WatchEvent {
    /// What is agreed on policy; `None` where the line tells of something else.
    #[serde(default, rename = "agreed")]
    pub agreed_state: Option<AgreedState>,
    /// The log's version that the line brings the watcher to.
    pub version: u64,
    /// What is in force for servers, where the agreed policy has votes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdicts: Option<Verdicts>,
}

/// Said by a replica that does not lead, with status 503.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NotLeader {
    /// What failed, and what to do.
    pub error: String,
    /// Where the leader is, as far as this replica knows.
    #[serde(default)]
    pub leader: Option<SocketAddr>,
}
