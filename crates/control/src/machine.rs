//! Roster, policy and verdicts on the log: what [`consensus`] drives.

use consensus::StateMachine;
use member::AgreedState;
use serde::{Deserialize, Serialize};

use crate::command::{Command, Outcome, RosterCommand};
use crate::policy::Book;
use crate::roster::Roster;
use crate::verdicts::Verdicts;

/// The newest schema of snapshots that this program reads. It writes the oldest one that tells all, so that a fleet
/// which never had votes can go back to a program without them.
const SCHEMA: u32 = 2;

/// All that the fleet agrees on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Agreement {
    version: u64,
    roster: Roster,
    book: Book,
    verdicts: Verdicts,
}

/// A snapshot as JSON; a later schema may be another shape, but keeps this field.
#[derive(Deserialize)]
struct Header {
    schema: u32,
}

/// Schema 1; with verdicts, schema 2.
#[derive(Deserialize, Serialize)]
struct Snapshot {
    schema: u32,
    version: u64,
    roster: Roster,
    policy: Book,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    verdicts: Option<Verdicts>,
}

impl Agreement {
    /// Nobody and epoch 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// The version of the last command that was taken.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The members.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// What is agreed on policy.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// What is agreed on servers.
    pub fn verdicts(&self) -> &Verdicts {
        &self.verdicts
    }

    /// What nodes are told of policy.
    pub fn agreed(&self) -> AgreedState {
        self.book.agreed()
    }
}

impl StateMachine for Agreement {
    type Command = Command;
    type Reply = Outcome;

    fn apply(&mut self, version: u64, command: &Command) -> Outcome {
        self.version = version;
        match command {
            Command::Roster(command) => {
                if let RosterCommand::Join { active: Some(active), .. } = command {
                    self.book.raise(*active);
                }
                self.roster.apply(command)
            }
            Command::Policy(command) => {
                let outcome = self.book.apply(version, command, &self.roster);
                self.verdicts.policy(version, self.book.policy());
                outcome
            }
            Command::Verdict(command) => self.verdicts.apply(version, command, self.book.policy()),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let verdicts = Some(&self.verdicts).filter(|verdicts| **verdicts != Verdicts::default());
        let snapshot = Snapshot {
            schema: if verdicts.is_some() { SCHEMA } else { 1 },
            version: self.version,
            roster: self.roster.clone(),
            policy: self.book.clone(),
            verdicts: verdicts.cloned(),
        };
        serde_json::to_vec(&snapshot).expect("names and JSON values always serialize")
    }

    fn restore(bytes: &[u8]) -> Result<Self, String> {
        let header: Header =
            serde_json::from_slice(bytes).map_err(|e| format!("snapshot is damaged: {e}"))?;
        if header.schema > SCHEMA {
            return Err(format!(
                "snapshot has schema {}, this program reads up to {SCHEMA}: start the newer program again",
                header.schema
            ));
        }
        let Snapshot { version, roster, policy, verdicts, .. } =
            serde_json::from_slice(bytes).map_err(|e| format!("snapshot is damaged: {e}"))?;
        Ok(Self { version, roster, book: policy, verdicts: verdicts.unwrap_or_default() })
    }
}
