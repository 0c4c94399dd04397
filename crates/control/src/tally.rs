//! Ballots on servers and what follows from them, beside the [`crate::leader`] and like it for one term. Pure: a time and
//! an event in, commands to be written out.

use member::votes::Votes;
use member::{Millis, Process, Stamp};
use serde::Serialize;

use crate::command::{Outcome, VerdictCommand};
use crate::machine::Agreement;

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A beat came.
    Beat {
        /// Who speaks.
        process: Process,
        /// The stamp that it echoes.
        echo: Option<Stamp>,
        /// What it says of servers.
        votes: Option<Votes>,
    },
    /// How a command ended that was to be written; comes for each.
    Written {
        /// Which.
        command: VerdictCommand,
        /// What came of it; `None`: it may have been written or not.
        outcome: Option<Outcome>,
    },
    /// The agreement has changed.
    Applied,
    /// Time has passed.
    Tick,
}

/// What operators are shown of votes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Shown {}

/// Ballots of one leader's term. Started when the replica has become leader, dropped when the term is over.
#[derive(Clone, Debug, PartialEq)]
pub struct Tally {
    term: u64,
    began: Millis,
    asked: Vec<String>,
}

impl Tally {
    /// `term` as in the stamps of this leader's answers; it has begun before `now`.
    pub fn new(term: u64, now: Millis) -> Self {
        Self { term, began: now, asked: Vec::new() }
    }

    /// Takes what has happened up to `now`, in its order; `agreement` is the replica's state at this moment. What comes
    /// out is to be written, and how it ended said by [`Input::Written`]. Called before the leader gives its answers, so that they
    /// hold what is asked now.
    pub fn handle_all(
        &mut self,
        now: Millis,
        inputs: impl IntoIterator<Item = Input>,
        agreement: &Agreement,
    ) -> Vec<VerdictCommand> {
        let _ = (self.term, self.began, now, agreement, inputs.into_iter().count());
        Vec::new()
    }

    /// Servers that each answer asks about (`Answer.asked`).
    pub fn asked(&self) -> &[String] {
        &self.asked
    }

    /// When [`Input::Tick`] is due.
    pub fn next(&self) -> Option<Millis> {
        None
    }

    /// What operators are shown.
    pub fn shown(&self, _now: Millis, _agreement: &Agreement) -> Shown {
        Shown {}
    }
}
