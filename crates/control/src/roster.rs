//! Which processes are members, on the log.
//!
//! Need: a commit must count every process that may take requests, so one leaves the roster only with a proof that it
//! takes nothing more, and none that has left comes back unseen. Shape: processes by node, and the last ones that
//! have left, so that a beat which was long on its way does not make a member of a dead process.
//!
//! Bounds are constants of the program and not configuration: replicas that differ in them would part ways.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use member::Process;
use serde::{Deserialize, Serialize};

use crate::command::{Outcome, RosterCommand};

/// The most members.
pub const MAX_MEMBERS: usize = 4096;
/// The most processes of one node.
pub const MAX_PROCESSES_PER_NODE: usize = 4;
/// The longest name of a node, in bytes.
pub const MAX_NODE_NAME_BYTES: usize = 128;
/// How many processes that have left are known.
pub const MAX_FORMER_MEMBERS: usize = 1024;

/// A member's place.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct MemberEntry {
    /// Where it listens as long as it lives.
    #[serde(rename = "life")]
    pub liveness_addr: SocketAddr,
    /// It takes nothing without a lease, from its join to its end.
    pub fenced: bool,
}

/// The members.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(from = "RosterSnapshot", into = "RosterSnapshot")]
pub struct Roster {
    members: BTreeMap<Process, MemberEntry>,
    former_members: VecDeque<Process>,
}

/// As it stands in a snapshot.
#[derive(Deserialize, Serialize)]
struct RosterSnapshot {
    members: Vec<(Process, MemberEntry)>,
    past: VecDeque<Process>,
}

impl From<RosterSnapshot> for Roster {
    fn from(record: RosterSnapshot) -> Self {
        Self { members: record.members.into_iter().collect(), former_members: record.past }
    }
}

impl From<Roster> for RosterSnapshot {
    fn from(roster: Roster) -> Self {
        Self { members: roster.members.into_iter().collect(), past: roster.former_members }
    }
}

impl Roster {
    /// Takes a command.
    pub fn apply(&mut self, command: &RosterCommand) -> Outcome {
        match command {
            RosterCommand::Join { process, liveness_addr, coexists_with_previous, fenced, .. } => self.join(
                process,
                MemberEntry { liveness_addr: *liveness_addr, fenced: *fenced },
                *coexists_with_previous,
            ),
            RosterCommand::MarkEnded { process, .. } => match self.members.contains_key(process) {
                true => {
                    self.end(process.clone());
                    Outcome::Done
                }
                false if self.has_left(process) => Outcome::Done,
                false => Outcome::UnknownNode,
            },
            RosterCommand::RemoveNode { name } => {
                let gone: Vec<Process> =
                    self.processes_of(name).map(|(process, _)| process.clone()).collect();
                let outcome = if gone.is_empty() { Outcome::UnknownNode } else { Outcome::Done };
                gone.into_iter().for_each(|process| self.end(process));
                outcome
            }
        }
    }

    /// The members, in order.
    pub fn members(&self) -> impl Iterator<Item = (&Process, &MemberEntry)> {
        self.members.iter()
    }

    /// The processes of one node.
    pub fn processes_of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = (&'a Process, &'a MemberEntry)> {
        let first = Process { name: name.to_owned(), boot: 0 };
        self.members.range(first..).take_while(move |(process, _)| process.name == name)
    }

    /// A member's place.
    pub fn member(&self, process: &Process) -> Option<&MemberEntry> {
        self.members.get(process)
    }

    /// It was a member and is none any more (as far back as is known).
    pub fn has_left(&self, process: &Process) -> bool {
        self.former_members.contains(process)
    }

    /// How many.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Nobody.
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
        let staying = if coexists_with_previous { older.len() } else { 0 };
        let gone = older.len() - staying;
        if process.name.is_empty()
            || process.name.len() > MAX_NODE_NAME_BYTES
            || staying >= MAX_PROCESSES_PER_NODE
            || self.members.len() - gone >= MAX_MEMBERS
        {
            return Outcome::LimitExceeded;
        }
        older.into_iter().take(gone).for_each(|process| self.end(process));
        self.members.insert(process.clone(), entry);
        Outcome::Done
    }

    fn end(&mut self, process: Process) {
        self.members.remove(&process);
        self.former_members.push_back(process);
        if self.former_members.len() > MAX_FORMER_MEMBERS {
            self.former_members.pop_front();
        }
    }
}
