//! What nodes and the control group say to each other about servers that look bad: ballots and verdicts.
//!
//! Need: a node that ejects alone pays for each bad server itself, and one with a bad link of its own takes good servers
//! out of its turns. Shape: with votes on, a node's own evidence makes a server a *suspect* there; its *ballot* goes
//! with its beats to the leader, which keeps one a node and server in its memory and lets it lapse. Where those who have
//! sent to the server of late agree, the leader writes a verdict, and the log, which sees all verdicts in one order,
//! holds the caps. What is in force is told with the agreed policy.
//!
//! Votes are on where the agreed policy has an object `Votes` ([`Figures`]): each figure that decides changes at every
//! node or at none.
//!
//! Rejected: ballots as entries of the log, as 300 nodes that renew them each second would write more than all else
//! that is agreed; and a gossip of suspicions, as two nodes would then act on different counts.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The most ballots of one beat; the worst suspects come first.
pub const BALLOTS_MOST: usize = 32;
/// The longest name of a server or zone, in bytes.
pub const SERVER_MOST: usize = 256;
/// The most zones that a node tells of.
pub const ZONES_MOST: usize = 16;

/// The figures of the votes, `Votes` in a policy. What is left out has the figure given here.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "PascalCase")]
pub struct Figures {
    /// Evidence counts that is no older, in ms.
    pub window: Millis,
    /// A ballot that is not renewed lapses after this time, in ms.
    pub ballot: Millis,
    /// Attempts within the window that a node needs for a ballot at all. One will do: where evidence is thin at each node,
    /// it is still plain in the sum.
    pub attempts: u32,
    /// Failed part of a node's attempts within the window from which on it is for the removal, from 0 to 1.
    pub failed: f64,
    /// Votes for a removal that are needed at the least.
    pub voters: u32,
    /// Failures that the voters for a removal need together, at the least.
    pub evidence: u32,
    /// Part of the weight of all evidence that must be for a removal, over 0.5 to 1.
    pub majority: f64,
    /// Attempts beyond which one voter's evidence weighs no more; nor does it beyond the median of all voters. So a liar
    /// gains nothing by claiming much.
    pub weight: u32,
    /// A node that suspects a larger part of its servers, and two of them at least, doubts itself and abstains, from 0
    /// to 1.
    pub doubt: f64,
    /// The most of a zone's servers that are removed by votes at a time, from 0 to 1.
    pub cap: f64,
    /// How long a verdict holds until the server is probed, in ms.
    pub term: Millis,
    /// Nodes that probe a server when its term is over.
    pub probers: u32,
    /// How long a suspect gets nothing from the node that suspects it, on that node's word alone, in ms.
    pub aside: Millis,
    /// Part of its turns that a suspect keeps after that, over 0 to 1.
    pub trickle: f64,
    /// How old the newest word of the group may be before verdicts lapse, in ms.
    pub word: Millis,
}

impl Default for Figures {
    fn default() -> Self {
        Self {
            window: 5_000.0,
            ballot: 2_000.0,
            attempts: 1,
            failed: 0.5,
            voters: 2,
            evidence: 6,
            majority: 0.6,
            weight: 20,
            doubt: 0.4,
            cap: 0.34,
            term: 5_000.0,
            probers: 3,
            aside: 1_000.0,
            trickle: 0.1,
            word: 5_000.0,
        }
    }
}

/// A figure that can't be.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("Votes.{field}: {expected} expected")]
pub struct FiguresError {
    /// Which.
    pub field: &'static str,
    /// What it must be.
    pub expected: &'static str,
}

impl Figures {
    /// Whether the figures make sense.
    ///
    /// # Errors
    /// The first one that does not.
    pub fn check(&self) -> Result<(), FiguresError> {
        let span = |ms: Millis| (100.0..=600_000.0).contains(&ms);
        let part = |part: f64| part > 0.0 && part <= 1.0;
        const SPAN: &str = "a time from 100 to 600,000 ms";
        const PART: &str = "a number above 0, up to 1";
        const COUNT: &str = "a whole number from 1 to 1,000";
        let count = |count: u32| (1..=1000).contains(&count);
        let rules = [
            ("Window", span(self.window), SPAN),
            ("Ballot", span(self.ballot), SPAN),
            ("Attempts", count(self.attempts), COUNT),
            ("Failed", part(self.failed), PART),
            ("Voters", count(self.voters), COUNT),
            ("Evidence", count(self.evidence), COUNT),
            ("Majority", self.majority > 0.5 && self.majority <= 1.0, "a number above 0.5, up to 1"),
            (
                "Weight",
                count(self.weight) && self.weight >= self.attempts,
                "no less than Attempts, up to 1,000",
            ),
            ("Doubt", part(self.doubt), PART),
            ("Cap", part(self.cap), PART),
            ("Term", span(self.term), SPAN),
            ("Probers", count(self.probers), COUNT),
            ("Aside", span(self.aside), SPAN),
            ("Trickle", part(self.trickle), PART),
            ("Word", span(self.word), SPAN),
        ];
        match rules.iter().find(|(_, good, _)| !good) {
            Some(&(field, _, expected)) => Err(FiguresError { field, expected }),
            None => Ok(()),
        }
    }
}

/// What a node holds of a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stand {
    /// It should be removed (or stay so).
    For,
    /// It should stay (or come back).
    Against,
}

/// What a node has seen of a server within the window. Attempts that were called off, or that had too little time to
/// say anything, count nowhere.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Evidence {
    /// Attempts that ended.
    pub attempts: u32,
    /// Of these, connections refused or not made in time.
    #[serde(default)]
    pub connects: u32,
    /// Connections that broke.
    #[serde(default)]
    pub breaks: u32,
    /// No answer in time.
    #[serde(default)]
    pub timeouts: u32,
    /// Errors, and answers that can't be read.
    #[serde(default)]
    pub errors: u32,
}

impl Evidence {
    /// This and more.
    pub fn and(&self, more: &Self) -> Self {
        Self {
            attempts: self.attempts.saturating_add(more.attempts),
            connects: self.connects.saturating_add(more.connects),
            breaks: self.breaks.saturating_add(more.breaks),
            timeouts: self.timeouts.saturating_add(more.timeouts),
            errors: self.errors.saturating_add(more.errors),
        }
    }

    /// How many of the attempts failed.
    pub fn failed(&self) -> u32 {
        self.connects.saturating_add(self.breaks).saturating_add(self.timeouts).saturating_add(self.errors)
    }
}

/// What one node says of one server. A node that has too few attempts, or doubts itself, says nothing of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ballot {
    /// The server.
    pub server: String,
    /// When the process started that the evidence is about (`born_ms` of the list).
    pub born_ms: f64,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// For or against.
    pub stand: Stand,
    /// By what.
    pub evidence: Evidence,
}

/// What a beat says of servers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Votes {
    /// The node's own zone, where its configuration tells one.
    #[serde(default)]
    pub zone: Option<String>,
    /// How many servers of each zone it has listed as up.
    #[serde(default)]
    pub up: Vec<(String, u32)>,
    /// It suspects too many servers, and abstains.
    #[serde(default)]
    pub doubts: bool,
    /// Its standing ballots, [`BALLOTS_MOST`] at most; they replace those of its beat before.
    #[serde(default)]
    pub ballots: Vec<Ballot>,
}

/// What is in force for a server, as nodes are told.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Verdict {
    /// The server.
    pub server: String,
    /// The process that it is about: one with another start is not meant.
    pub born_ms: f64,
    /// It holds for nodes of these zones alone; for all where there are none.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Nodes that are to send it a little again, now that its term is over. Others send nothing.
    #[serde(default)]
    pub probers: Vec<String>,
}

/// What the log says of servers, at one of its versions.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Verdicts {
    /// The log's version that they last changed at.
    pub version: u64,
    /// Those in force, in the order of servers.
    pub verdicts: Vec<Verdict>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_that_can_not_be_are_named() {
        assert_eq!(Figures::default().check(), Ok(()));
        let read = |json: &str| serde_json::from_str::<Figures>(json);
        assert!(read(r#"{"Speed": 1}"#).is_err());
        for (json, words) in [
            (r#"{"Majority": 0.5}"#, "Votes.Majority: a number above 0.5, up to 1 expected"),
            (r#"{"Attempts": 3, "Weight": 2}"#, "Votes.Weight: no less than Attempts, up to 1,000 expected"),
            (r#"{"Cap": 0}"#, "Votes.Cap: a number above 0, up to 1 expected"),
            (r#"{"Term": 1e9}"#, "Votes.Term: a time from 100 to 600,000 ms expected"),
            (r#"{"Voters": 0}"#, "Votes.Voters: a whole number from 1 to 1,000 expected"),
        ] {
            let error = read(json).expect("readable").check().expect_err(json);
            assert_eq!(error.to_string(), words);
        }
    }
}
