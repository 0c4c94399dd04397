//! The log's commands, and what comes of them.

use std::net::SocketAddr;

use member::{Abort, ChangeId, Epoch, Policy, Process};
use serde::{Deserialize, Serialize};

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// For the roster.
    Roster(RosterCommand),
    /// For the policy.
    Policy(PolicyCommand),
}

/// What changes the roster.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RosterCommand {
    /// A process becomes a member. Unless it comes `beside`, older processes of its name are members no more: a leader
    /// writes it only when these were silent for a session (a name belongs to one node). Repeated, it changes no
    /// member; from a process that has left, it is refused.
    Join {
        /// Who.
        process: Process,
        /// Where it listens as long as it lives.
        life: SocketAddr,
        /// An older process of its name stays a member.
        beside: bool,
        /// It takes nothing without a lease, from now to its end.
        #[serde(default)]
        fenced: bool,
        /// The epoch that it knows: none of the numbers up to this is given to another policy.
        #[serde(default)]
        active: Option<Epoch>,
    },
    /// A process is no member any more.
    Ended {
        /// Who.
        process: Process,
        /// How it is known.
        proof: Proof,
    },
    /// Operators say that a node is gone, with all its processes.
    Remove {
        /// The node.
        name: String,
    },
}

/// How it is known that a process takes nothing new any more.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Proof {
    /// It closed its session.
    Closed,
    /// The address that it listens at as long as it lives refuses connections.
    Refused,
}

/// What changes the policy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyCommand {
    /// Operators propose. Refused unless `base` is the agreed epoch and no change is under way.
    Propose {
        /// The epoch that they know.
        base: Epoch,
        /// What they want.
        policy: Policy,
    },
    /// The change becomes the agreed policy. Void (nothing changes, [`Outcome::Uncovered`] tells who is missing) unless
    /// every member of the roster at this entry is in `staged` or in `fenced`.
    Commit {
        /// Which.
        change: ChangeId,
        /// Members that have staged it and whose promise still holds.
        staged: Vec<Process>,
        /// Members whose lease is surely over (a fenced fleet only).
        fenced: Vec<Process>,
    },
    /// The change takes hold nowhere.
    Abort {
        /// Which.
        change: ChangeId,
        /// Why.
        why: Abort,
    },
}

/// What comes of a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Done, or done before.
    Done,
    /// A change is under way as this one.
    Proposed {
        /// Which.
        change: ChangeId,
        /// The epoch that it becomes when it commits.
        epoch: Epoch,
    },
    /// Not the agreed epoch.
    Stale {
        /// The agreed one.
        epoch: Epoch,
    },
    /// Another change is under way.
    Busy {
        /// Which.
        change: ChangeId,
    },
    /// Members that neither staged the change nor are fenced; nothing has changed.
    Uncovered {
        /// Who.
        missing: Vec<Process>,
    },
    /// No such change is under way: it has ended.
    Over,
    /// A newer process has taken this one's place, or operators have removed it.
    Superseded,
    /// The roster is full, or what came is too large; nothing has changed.
    TooMuch,
    /// Nobody by that name.
    Unknown,
}
