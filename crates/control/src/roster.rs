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
pub const MEMBERS_MOST: usize = 4096;
/// The most processes of one node.
pub const PROCESSES_MOST: usize = 4;
/// The longest name of a node, in bytes.
pub const NAME_MOST: usize = 128;
/// How many processes that have left are known.
pub const PAST_MOST: usize = 1024;

/// A member's place.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Seat {
    /// Where it listens as long as it lives.
    pub life: SocketAddr,
    /// It takes nothing without a lease, from its join to its end.
    pub fenced: bool,
}

/// The members.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(from = "Record", into = "Record")]
pub struct Roster {
    seats: BTreeMap<Process, Seat>,
    past: VecDeque<Process>,
}

/// As it stands in a snapshot.
#[derive(Deserialize, Serialize)]
struct Record {
    members: Vec<(Process, Seat)>,
    past: VecDeque<Process>,
}

impl From<Record> for Roster {
    fn from(record: Record) -> Self {
        Self { seats: record.members.into_iter().collect(), past: record.past }
    }
}

impl From<Roster> for Record {
    fn from(roster: Roster) -> Self {
        Self { members: roster.seats.into_iter().collect(), past: roster.past }
    }
}

impl Roster {
    /// Takes a command.
    pub fn apply(&mut self, command: &RosterCommand) -> Outcome {
        match command {
            RosterCommand::Join { process, life, beside, fenced, .. } => {
                self.join(process, Seat { life: *life, fenced: *fenced }, *beside)
            }
            RosterCommand::Ended { process, .. } => match self.seats.contains_key(process) {
                true => {
                    self.end(process.clone());
                    Outcome::Done
                }
                false if self.left(process) => Outcome::Done,
                false => Outcome::Unknown,
            },
            RosterCommand::Remove { name } => {
                let gone: Vec<Process> = self.of(name).map(|(process, _)| process.clone()).collect();
                let outcome = if gone.is_empty() { Outcome::Unknown } else { Outcome::Done };
                gone.into_iter().for_each(|process| self.end(process));
                outcome
            }
        }
    }

    /// The members, in order.
    pub fn members(&self) -> impl Iterator<Item = (&Process, &Seat)> {
        self.seats.iter()
    }

    /// The processes of one node.
    pub fn of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = (&'a Process, &'a Seat)> {
        let first = Process { name: name.to_owned(), boot: 0 };
        self.seats.range(first..).take_while(move |(process, _)| process.name == name)
    }

    /// A member's place.
    pub fn seat(&self, process: &Process) -> Option<&Seat> {
        self.seats.get(process)
    }

    /// It was a member and is none any more (as far back as is known).
    pub fn left(&self, process: &Process) -> bool {
        self.past.contains(process)
    }

    /// How many.
    pub fn len(&self) -> usize {
        self.seats.len()
    }

    /// Nobody.
    pub fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }

    fn join(&mut self, process: &Process, seat: Seat, beside: bool) -> Outcome {
        if self.seats.contains_key(process) {
            return Outcome::Done;
        }
        if self.left(process) {
            return Outcome::Superseded;
        }
        let older: Vec<Process> = self.of(&process.name).map(|(older, _)| older.clone()).collect();
        let staying = if beside { older.len() } else { 0 };
        let gone = older.len() - staying;
        if process.name.is_empty()
            || process.name.len() > NAME_MOST
            || staying >= PROCESSES_MOST
            || self.seats.len() - gone >= MEMBERS_MOST
        {
            return Outcome::TooMuch;
        }
        older.into_iter().take(gone).for_each(|process| self.end(process));
        self.seats.insert(process.clone(), seat);
        Outcome::Done
    }

    fn end(&mut self, process: Process) {
        self.seats.remove(&process);
        self.past.push_back(process);
        if self.past.len() > PAST_MOST {
            self.past.pop_front();
        }
    }
}
