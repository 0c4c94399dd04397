//! Model of the control group's vote handling in virtual time: the real agreement state machine and tally, as one
//! replica whose log takes no time. No message between it and the nodes is lost, and it is available unless a fault
//! stops it.

use std::net::SocketAddr;

use consensus::StateMachine;
use control::command::{Command, Outcome, PolicyCommand, RosterCommand};
use control::machine::FleetState;
use control::tally::{Input, Tally};
use member::votes::{Verdict, Verdicts, VoteReport};
use member::{Epoch, Policy, Process, Stamp};

use crate::removals::GroupVerdicts;
use crate::server::Us;

/// Time between two heartbeats of a member.
pub const HEARTBEAT_INTERVAL_US: Us = 250_000;

/// Model of the control group.
#[derive(Default)]
pub struct ControlGroup {
    agreement: FleetState,
    term: u64,
    /// Present while the group runs.
    tally: Option<Tally>,
}

impl ControlGroup {
    /// Starts the group as the leader of a new term.
    pub fn start(&mut self, now: Us) {
        self.term += 1;
        self.tally = Some(Tally::new(self.term, now as f64 / 1e3));
    }

    /// Stops the group.
    pub fn stop(&mut self) {
        self.tally = None;
    }

    fn commit(&mut self, command: &Command) -> Outcome {
        self.agreement.apply(self.agreement.version() + 1, command)
    }

    /// Adds a process, which replaces earlier ones of its name.
    pub fn join(&mut self, process: Process) {
        let life = SocketAddr::from(([127, 0, 0, 1], 1));
        let join = RosterCommand::Join {
            process,
            liveness_addr: life,
            coexists_with_previous: false,
            fenced: false,
            active_epoch: None,
        };
        self.commit(&Command::Roster(join));
    }

    /// Removes a member.
    pub fn leave(&mut self, name: String) {
        self.commit(&Command::Roster(RosterCommand::RemoveNode { name }));
    }

    /// Commits a policy at once for all members; returns its epoch if the proposal is accepted.
    pub fn commit_policy(&mut self, policy: Policy) -> Option<Epoch> {
        let base = self.agreement.policy_state().epoch();
        let proposed = self.commit(&Command::Policy(PolicyCommand::Propose { base_epoch: base, policy }));
        let Outcome::Proposed { change, epoch } = proposed else { return None };
        let staged = self.agreement.roster().members().map(|(process, _)| process.clone()).collect();
        let commit = PolicyCommand::Commit { change, staged_members: staged, fenced_members: Vec::new() };
        (self.commit(&Command::Policy(commit)) == Outcome::Done).then_some(epoch)
    }

    /// Handles a heartbeat. Returns the stamp to echo and the servers for which ballots are requested, or `None` if
    /// the group is stopped.
    pub fn heartbeat(
        &mut self,
        now: Us,
        process: Process,
        echo: Option<Stamp>,
        votes: VoteReport,
    ) -> Option<(Stamp, Vec<String>)> {
        let at = now as f64 / 1e3;
        let mut inputs = vec![Input::Heartbeat { process, echoed_stamp: echo, report: Some(votes) }];
        loop {
            let commands = self.tally.as_mut()?.handle_all(at, inputs, &self.agreement);
            if commands.is_empty() {
                break;
            }
            inputs = Vec::new();
            for command in commands {
                let outcome = Some(self.commit(&Command::Verdict(command.clone())));
                inputs.push(Input::WriteResult { command, outcome });
            }
        }
        Some((Stamp { term: self.term, time: at }, self.tally.as_ref()?.queried_servers().to_vec()))
    }

    /// Current verdicts; `None` while the group is stopped.
    pub fn verdicts(&self) -> Option<Verdicts> {
        self.tally.as_ref().map(|_| self.agreement.verdicts().in_force())
    }
}

/// Converts verdicts to the form in which an operator reads them.
pub fn group_verdicts(verdicts: Verdicts) -> GroupVerdicts {
    let verdict = |Verdict { server, born_ms, zones, probers }| (server, born_ms, zones, !probers.is_empty());
    GroupVerdicts {
        version: verdicts.version,
        verdicts: verdicts.verdicts.into_iter().map(verdict).collect(),
    }
}
