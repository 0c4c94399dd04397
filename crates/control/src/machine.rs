//! The replicated state machine: roster, policy and verdicts combined, as [`consensus`] drives it.

use consensus::StateMachine;
use member::AgreedState;
use serde::{Deserialize, Serialize};

use crate::command::{Command, Outcome, RosterCommand};
use crate::policy::PolicyState;
use crate::roster::Roster;
use crate::verdicts::VerdictState;

/// The newest snapshot schema that this program reads. It writes the oldest one that can represent the state, so that a
/// fleet that never had votes can be downgraded to a program without them.
const SCHEMA: u32 = 2;

/// Everything that the fleet agrees on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetState {
    version: u64,
    roster: Roster,
    policy: PolicyState,
    verdicts: VerdictState,
}

/// The field of a JSON snapshot that every schema has, also later ones.
#[derive(Deserialize)]
struct Header {
    schema: u32,
}

/// Schema 1, or schema 2 if it has verdicts.
#[derive(Deserialize, Serialize)]
struct Snapshot {
    schema: u32,
    version: u64,
    roster: Roster,
    policy: PolicyState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    verdicts: Option<VerdictState>,
}

impl FleetState {
    /// Creates the initial state: no members and epoch 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version of the last applied command.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the members.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the state of the policy.
    pub fn policy_state(&self) -> &PolicyState {
        &self.policy
    }

    /// Returns the state of the verdicts on servers.
    pub fn verdicts(&self) -> &VerdictState {
        &self.verdicts
    }

    /// Returns the state of the policy as it is sent to nodes.
    pub fn agreed_state(&self) -> AgreedState {
        self.policy.agreed_state()
    }
}

impl StateMachine for FleetState {
    type Command = Command;
    type Reply = Outcome;

    fn apply(&mut self, version: u64, command: &Command) -> Outcome {
        self.version = version;
        match command {
            Command::Roster(command) => {
                if let RosterCommand::Join { active_epoch: Some(active_epoch), .. } = command {
                    self.policy.reserve_epochs_up_to(*active_epoch);
                }
                self.roster.apply(command)
            }
            Command::Policy(command) => {
                let outcome = self.policy.apply(version, command, &self.roster);
                self.verdicts.apply_policy(version, self.policy.policy());
                outcome
            }
            Command::Verdict(command) => self.verdicts.apply(version, command, self.policy.policy()),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let verdicts = Some(&self.verdicts).filter(|verdicts| **verdicts != VerdictState::default());
        let snapshot = Snapshot {
            schema: if verdicts.is_some() { SCHEMA } else { 1 },
            version: self.version,
            roster: self.roster.clone(),
            policy: self.policy.clone(),
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
        Ok(Self { version, roster, policy, verdicts: verdicts.unwrap_or_default() })
    }
}
