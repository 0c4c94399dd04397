//! The log's commands, and what comes of them.

use std::net::SocketAddr;

use member::{AbortReason, ChangeId, Epoch, Policy, Process};
use serde::{Deserialize, Serialize};

use crate::verdicts::{Case, Why};

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// For the roster.
    Roster(RosterCommand),
    /// For the policy.
    Policy(PolicyCommand),
    /// For servers that are removed by votes.
    Verdict(VerdictCommand),
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
        why: AbortReason,
    },
}

/// What changes verdicts on servers. All are void while the agreed policy has no `Votes`. `at` is the version that the
/// verdict last changed at: at another one the command is void, too.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VerdictCommand {
    /// A server is removed, or from more zones than it was. Void ([`Outcome::Capped`]) where it would be over the cap
    /// of its zone.
    Remove {
        /// The server.
        server: String,
        /// When the process started that is meant.
        born_ms: f64,
        /// The server's zone.
        zone: String,
        /// For nodes of these zones alone; for all where there are none.
        zones: Vec<String>,
        /// Servers that are up in its zone.
        up: u32,
        /// Terms that it had of late: the next one is as long as if these were this verdict's.
        terms: u32,
        /// By what.
        case: Case,
    },
    /// Its term is over: these nodes send it a little again, and vote.
    Probe {
        /// The server.
        server: String,
        /// See above.
        at: u64,
        /// Names of nodes.
        probers: Vec<String>,
    },
    /// Those that probed it are for another term.
    Extend {
        /// The server.
        server: String,
        /// See above.
        at: u64,
        /// By what.
        case: Case,
    },
    /// It is back.
    Return {
        /// The server.
        server: String,
        /// See above.
        at: u64,
        /// Why.
        why: Why,
        /// By what, where there was a vote.
        case: Option<Case>,
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
    /// No such change is under way, or the verdict is not as it was, or votes are off: nothing has changed.
    Over,
    /// As many of the zone's servers are removed as may be; nothing has changed.
    Capped,
    /// A newer process has taken this one's place, or operators have removed it.
    Superseded,
    /// The roster is full, or what came is too large; nothing has changed.
    TooMuch,
    /// Nobody by that name.
    Unknown,
}

impl VerdictCommand {
    /// The server that it is about.
    pub fn server(&self) -> &str {
        match self {
            Self::Remove { server, .. }
            | Self::Probe { server, .. }
            | Self::Extend { server, .. }
            | Self::Return { server, .. } => server,
        }
    }
}
