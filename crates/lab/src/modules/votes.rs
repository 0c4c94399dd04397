//! The control group's part in votes on servers, in the virtual clock: its machine and its tally themselves, as one
//! replica whose log takes no time. Nothing is lost between it and the nodes, and it is there unless a fault takes it.

use std::net::SocketAddr;

use consensus::StateMachine;
use control::command::{Command, Outcome, PolicyCommand, RosterCommand};
use control::machine::Agreement;
use control::tally::{Input, Tally};
use member::votes::{Verdict, Verdicts, VoteReport};
use member::{Epoch, Policy, Process, Stamp};

use crate::removals::Word;
use crate::server::Us;

/// Between two beats of a member.
pub const BEAT: Us = 250_000;

/// The group.
#[derive(Default)]
pub struct Group {
    agreement: Agreement,
    term: u64,
    /// While it is there.
    tally: Option<Tally>,
}

impl Group {
    /// It comes, and leads in a new term.
    pub fn come(&mut self, now: Us) {
        self.term += 1;
        self.tally = Some(Tally::new(self.term, now as f64 / 1e3));
    }

    /// It is lost.
    pub fn go(&mut self) {
        self.tally = None;
    }

    fn write(&mut self, command: &Command) -> Outcome {
        self.agreement.apply(self.agreement.version() + 1, command)
    }

    /// A process joins, in the place of older ones of its name.
    pub fn join(&mut self, process: Process) {
        let life = SocketAddr::from(([127, 0, 0, 1], 1));
        let join = RosterCommand::Join { process, life, beside: false, fenced: false, active: None };
        self.write(&Command::Roster(join));
    }

    /// A node is gone.
    pub fn leave(&mut self, name: String) {
        self.write(&Command::Roster(RosterCommand::Remove { name }));
    }

    /// All members agree on a policy at once; its epoch, where that is one.
    pub fn agree(&mut self, policy: Policy) -> Option<Epoch> {
        let base = self.agreement.book().epoch();
        let proposed = self.write(&Command::Policy(PolicyCommand::Propose { base, policy }));
        let Outcome::Proposed { change, epoch } = proposed else { return None };
        let staged = self.agreement.roster().members().map(|(process, _)| process.clone()).collect();
        let commit = PolicyCommand::Commit { change, staged, fenced: Vec::new() };
        (self.write(&Command::Policy(commit)) == Outcome::Done).then_some(epoch)
    }

    /// A beat; the stamp to echo and the servers asked about, where the group is there.
    pub fn beat(
        &mut self,
        now: Us,
        process: Process,
        echo: Option<Stamp>,
        votes: VoteReport,
    ) -> Option<(Stamp, Vec<String>)> {
        let at = now as f64 / 1e3;
        let mut inputs = vec![Input::Beat { process, echo, votes: Some(votes) }];
        loop {
            let commands = self.tally.as_mut()?.handle_all(at, inputs, &self.agreement);
            if commands.is_empty() {
                break;
            }
            inputs = Vec::new();
            for command in commands {
                let outcome = Some(self.write(&Command::Verdict(command.clone())));
                inputs.push(Input::Written { command, outcome });
            }
        }
        Some((Stamp { term: self.term, time: at }, self.tally.as_ref()?.asked().to_vec()))
    }

    /// What is in force for servers; `None` while the group is lost.
    pub fn told(&self) -> Option<Verdicts> {
        self.tally.as_ref().map(|_| self.agreement.verdicts().told())
    }
}

/// The group's word, as an operator would read it.
pub fn word(told: Verdicts) -> Word {
    let verdict = |Verdict { server, born_ms, zones, probers }| (server, born_ms, zones, !probers.is_empty());
    Word { version: told.version, verdicts: told.verdicts.into_iter().map(verdict).collect() }
}
