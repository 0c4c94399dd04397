//! The log's commands and their outcomes.

use std::net::SocketAddr;

use member::{AbortReason, ChangeId, Epoch, Policy, Process};
use serde::{Deserialize, Serialize};

use crate::verdicts::{EndReason, VoteResult};

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Changes the roster.
    Roster(RosterCommand),
    /// Changes the policy.
    Policy(PolicyCommand),
    /// Changes the verdicts on servers.
    Verdict(VerdictCommand),
}

/// A change of the roster.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RosterCommand {
    /// A process becomes a member. Unless it has `coexists_with_previous`, older processes of its name cease to be
    /// members: a leader writes it only once these were silent for a session timeout (a name belongs to one node). It
    /// changes nothing for a process that is a member already, and is refused for a process that has left.
    Join {
        /// The process.
        process: Process,
        /// The address that it listens on until it exits.
        #[serde(rename = "life")]
        liveness_addr: SocketAddr,
        /// An older process of its name remains a member.
        #[serde(rename = "beside")]
        coexists_with_previous: bool,
        /// It admits no request without a lease, from its join until it leaves the roster.
        #[serde(default)]
        fenced: bool,
        /// The epoch that it knows: no number up to this one is assigned to another policy.
        #[serde(default, rename = "active")]
        active_epoch: Option<Epoch>,
    },
    /// A process ceases to be a member.
    #[serde(rename = "ended")]
    MarkEnded {
        /// The process.
        process: Process,
        /// The proof that it admits nothing new.
        proof: Proof,
    },
    /// Operators remove a node with all its processes from the roster.
    #[serde(rename = "remove")]
    RemoveNode {
        /// The node.
        name: String,
    },
}

/// Proof that a process admits nothing new any more.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Proof {
    /// It closed its session.
    #[serde(rename = "closed")]
    SessionClosed,
    /// The address that it listens on until it exits refuses connections.
    #[serde(rename = "refused")]
    ConnectionRefused,
}

/// A change of the policy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyCommand {
    /// Operators propose a policy. Refused unless `base_epoch` is the agreed epoch and no change is pending.
    Propose {
        /// The epoch that the proposal was made from.
        #[serde(rename = "base")]
        base_epoch: Epoch,
        /// The proposed policy.
        policy: Policy,
    },
    /// The change becomes the agreed policy. Void ([`Outcome::MissingMembers`], nothing changes) unless every member of
    /// the roster at this entry is in `staged_members` or in `fenced_members`.
    Commit {
        /// The change.
        change: ChangeId,
        /// Members that have staged it and whose promise has not expired.
        #[serde(rename = "staged")]
        staged_members: Vec<Process>,
        /// Fenced members whose lease has expired, also by their own clocks.
        #[serde(rename = "fenced")]
        fenced_members: Vec<Process>,
    },
    /// The change takes effect nowhere.
    Abort {
        /// The change.
        change: ChangeId,
        /// Why.
        #[serde(rename = "why")]
        reason: AbortReason,
    },
}

/// A change of the verdicts on servers. All commands are void while the agreed policy has no `Votes`. `changed_at` is
/// the version at which the verdict last changed; if that is not its current one, the command is void too.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VerdictCommand {
    /// Removes a server, or extends its removal to more zones. Void ([`Outcome::CapReached`]) if it would exceed the
    /// cap of the server's zone.
    Remove {
        /// The server.
        server: String,
        /// The start time of the server process that is meant.
        born_ms: f64,
        /// The server's zone.
        zone: String,
        /// The verdict applies to nodes of these zones only; to all nodes if empty.
        zones: Vec<String>,
        /// The number of servers that are up in its zone.
        #[serde(rename = "up")]
        up_servers: u32,
        /// The number of terms of recent verdicts on this server, which the new verdict's term length continues.
        #[serde(rename = "terms")]
        term_index: u32,
        /// The votes that led to the removal.
        #[serde(rename = "case")]
        vote_result: VoteResult,
    },
    /// The verdict's term has ended: these nodes send the server a little traffic again, and vote.
    Probe {
        /// The server.
        server: String,
        /// See [`VerdictCommand`].
        #[serde(rename = "at")]
        changed_at: u64,
        /// The names of the probing nodes.
        probers: Vec<String>,
    },
    /// The probers have voted for another term.
    Extend {
        /// The server.
        server: String,
        /// See [`VerdictCommand`].
        #[serde(rename = "at")]
        changed_at: u64,
        /// The votes that led to the extension.
        #[serde(rename = "case")]
        vote_result: VoteResult,
    },
    /// Returns the server to the rotation.
    Return {
        /// The server.
        server: String,
        /// See [`VerdictCommand`].
        #[serde(rename = "at")]
        changed_at: u64,
        /// Why.
        #[serde(rename = "why")]
        reason: EndReason,
        /// The votes that led to the return, if there was a vote.
        #[serde(rename = "case")]
        vote_result: Option<VoteResult>,
    },
}

/// The outcome of a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Applied, now or earlier.
    Done,
    /// The proposed change is pending.
    Proposed {
        /// Its number.
        change: ChangeId,
        /// The epoch that it becomes if it commits.
        epoch: Epoch,
    },
    /// The proposal was not made from the agreed epoch.
    #[serde(rename = "stale")]
    StaleEpoch {
        /// The agreed epoch.
        epoch: Epoch,
    },
    /// Another change is pending.
    #[serde(rename = "busy")]
    ChangePending {
        /// Its number.
        change: ChangeId,
    },
    /// Some members neither staged the change nor are fenced; nothing has changed.
    #[serde(rename = "uncovered")]
    MissingMembers {
        /// The members.
        missing: Vec<Process>,
    },
    /// No such change is pending, or the verdict has changed meanwhile, or votes are disabled; nothing has changed.
    #[serde(rename = "over")]
    Obsolete,
    /// The cap on removed servers of the zone is reached; nothing has changed.
    #[serde(rename = "capped")]
    CapReached,
    /// The process is a former member, which cannot join again; nothing has changed.
    Superseded,
    /// The roster is full, or the command is too large; nothing has changed.
    #[serde(rename = "too_much")]
    LimitExceeded,
    /// No member has that name.
    #[serde(rename = "unknown")]
    UnknownNode,
}

impl VerdictCommand {
    /// Returns the server that the command is about.
    pub fn server(&self) -> &str {
        match self {
            Self::Remove { server, .. }
            | Self::Probe { server, .. }
            | Self::Extend { server, .. }
            | Self::Return { server, .. } => server,
        }
    }
}
