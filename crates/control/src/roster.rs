//! The replicated roster: which processes are members.
//!
//! Goal: a commit must count every process that may admit requests, so a process leaves the roster only with a proof
//! that it admits nothing new, and one that has left cannot return unnoticed. Design: the current processes by node, and
//! the last ones that have left, so that a delayed heartbeat does not make a member of a dead process.
//!
//! The limits are constants and not configuration, because replicas with different limits would diverge.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use member::Process;
use serde::{Deserialize, Serialize};

use crate::command::{Outcome, RosterCommand};

/// The maximum number of members.
pub const MAX_MEMBERS: usize = 4096;
/// The maximum number of processes of one node.
pub const MAX_PROCESSES_PER_NODE: usize = 4;
/// The maximum length of a node's name, in bytes.
pub const MAX_NODE_NAME_BYTES: usize = 128;
/// The maximum number of former members that are remembered.
pub const MAX_FORMER_MEMBERS: usize = 1024;

/// A member's entry in the roster.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct MemberEntry {
    /// The address that the process listens on until it exits.
    #[serde(rename = "life")]
    pub liveness_addr: SocketAddr,
    /// It admits no request without a lease, from its join until it leaves the roster.
    pub fenced: bool,
}

/// The members and the last former members.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(from = "RosterSnapshot", into = "RosterSnapshot")]
pub struct Roster {
    members: BTreeMap<Process, MemberEntry>,
    former_members: VecDeque<Process>,
}

/// The roster's form in a snapshot.
#[derive(Deserialize, Serialize)]
struct RosterSnapshot {
    members: Vec<(Process, MemberEntry)>,
    #[serde(rename = "past")]
    former_members: VecDeque<Process>,
}

impl From<RosterSnapshot> for Roster {
    fn from(snapshot: RosterSnapshot) -> Self {
        Self { members: snapshot.members.into_iter().collect(), former_members: snapshot.former_members }
    }
}

impl From<Roster> for RosterSnapshot {
    fn from(roster: Roster) -> Self {
        Self { members: roster.members.into_iter().collect(), former_members: roster.former_members }
    }
}

impl Roster {
    /// Applies a command.
    pub fn apply(&mut self, command: &RosterCommand) -> Outcome {
        match command {
            RosterCommand::Join { process, liveness_addr, coexists_with_previous, fenced, .. } => {
                let entry = MemberEntry { liveness_addr: *liveness_addr, fenced: *fenced };
                self.join(process, entry, *coexists_with_previous)
            }
            RosterCommand::MarkEnded { process, .. } => match self.members.contains_key(process) {
                true => {
                    self.remove(process.clone());
                    Outcome::Done
                }
                false if self.has_left(process) => Outcome::Done,
                false => Outcome::UnknownNode,
            },
            RosterCommand::RemoveNode { name } => {
                let removed: Vec<Process> =
                    self.processes_of(name).map(|(process, _)| process.clone()).collect();
                let outcome = if removed.is_empty() { Outcome::UnknownNode } else { Outcome::Done };
                removed.into_iter().for_each(|process| self.remove(process));
                outcome
            }
        }
    }

    /// Returns the members, in order.
    pub fn members(&self) -> impl Iterator<Item = (&Process, &MemberEntry)> {
        self.members.iter()
    }

    /// Returns the processes of one node.
    pub fn processes_of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = (&'a Process, &'a MemberEntry)> {
        let first = Process { name: name.to_owned(), boot: 0 };
        self.members.range(first..).take_while(move |(process, _)| process.name == name)
    }

    /// Returns a member's entry.
    pub fn member(&self, process: &Process) -> Option<&MemberEntry> {
        self.members.get(process)
    }

    /// Returns whether the process is one of the last [`MAX_FORMER_MEMBERS`] former members.
    pub fn has_left(&self, process: &Process) -> bool {
        self.former_members.contains(process)
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn join(&mut self, process: &Process, entry: MemberEntry, coexists_with_previous: bool) -> Outcome {
        if self.members.contains_key(process) {
            return Outcome::Done;
        }
        if self.has_left(process) {
            return Outcome::Superseded;
        }
        let older: Vec<Process> = self.processes_of(&process.name).map(|(older, _)| older.clone()).collect();
        let remaining = if coexists_with_previous { older.len() } else { 0 };
        let replaced = older.len() - remaining;
        if process.name.is_empty()
            || process.name.len() > MAX_NODE_NAME_BYTES
            || remaining >= MAX_PROCESSES_PER_NODE
            || self.members.len() - replaced >= MAX_MEMBERS
        {
            return Outcome::LimitExceeded;
        }
        older.into_iter().take(replaced).for_each(|process| self.remove(process));
        self.members.insert(process.clone(), entry);
        Outcome::Done
    }

    fn remove(&mut self, process: Process) {
        self.members.remove(&process);
        self.former_members.push_back(process);
        if self.former_members.len() > MAX_FORMER_MEMBERS {
            self.former_members.pop_front();
        }
    }
}
