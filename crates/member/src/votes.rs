//! What nodes and the control group say to each other about servers that look bad: ballots and verdicts.
//!
//! Need: a node that ejects alone pays for each bad server itself, and one with a bad link of its own takes good servers
//! out of its turns. Shape: with votes on, a node's own evidence makes a server a *suspect* there; its *ballot* goes
//! with its beats to the leader, which keeps one a node and server in its memory and lets it lapse. Where those who have
//! sent to the server of late agree, the leader writes a verdict, and the log, which sees all verdicts in one order,
//! holds the caps. What is in force is told with the agreed policy.
//!
//! Votes are on where the agreed policy has an object `Votes` ([`VoteSettings`]): each figure that decides changes at every
//! node or at none.
//!
//! Rejected: ballots as entries of the log, as 300 nodes that renew them each second would write more than all else
//! that is agreed; and a gossip of suspicions, as two nodes would then act on different counts.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The most ballots of one beat; the worst suspects come first.
pub const MAX_BALLOTS: usize = 32;
/// The longest name of a server or zone, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The most zones that a node tells of.
pub const MAX_ZONES: usize = 16;

/// The figures of the votes, `Votes` in a policy. What is left out has the figure given here.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "PascalCase")]
pub struct VoteSettings {
    /// Evidence counts that is no older, in ms.
    #[serde(rename = "Window")]
    pub evidence_window: Millis,
    /// A ballot that is not renewed lapses after this time, in ms.
    #[serde(rename = "Ballot")]
    pub ballot_ttl: Millis,
    /// Attempts within the window that a node needs for a ballot at all. One will do: where evidence is thin at each node,
    /// it is still plain in the sum.
    #[serde(rename = "Attempts")]
    pub min_attempts: u32,
    /// Failed part of a node's attempts within the window from which on it is for the removal, from 0 to 1.
    #[serde(rename = "Failed")]
    pub failure_ratio: f64,
    /// Votes for a removal that are needed at the least.
    #[serde(rename = "Voters")]
    pub min_voters: u32,
    /// Failures that the voters for a removal need together, at the least.
    #[serde(rename = "Evidence")]
    pub min_failures: u32,
    /// Part of the weight of all evidence that must be for a removal, over 0.5 to 1.
    pub majority: f64,
    /// Attempts beyond which one voter's evidence weighs no more; nor does it beyond the median of all voters. So a liar
    /// gains nothing by claiming much.
    #[serde(rename = "Weight")]
    pub max_voter_weight: u32,
    /// A node that suspects a larger part of its servers, and two of them at least, doubts itself and abstains, from 0
    /// to 1.
    #[serde(rename = "Doubt")]
    pub abstain_ratio: f64,
    /// The most of a zone's servers that are removed by votes at a time, from 0 to 1.
    #[serde(rename = "Cap")]
    pub removal_cap: f64,
    /// How long a verdict holds until the server is probed, in ms.
    #[serde(rename = "Term")]
    pub verdict_term: Millis,
    /// Nodes that probe a server when its term is over.
    #[serde(rename = "Probers")]
    pub prober_count: u32,
    /// How long a suspect gets nothing from the node that suspects it, on that node's word alone, in ms.
    #[serde(rename = "Aside")]
    pub suspect_pause: Millis,
    /// Part of its turns that a suspect keeps after that, over 0 to 1.
    #[serde(rename = "Trickle")]
    pub suspect_share: f64,
    /// How old the newest word of the group may be before verdicts lapse, in ms.
    #[serde(rename = "Word")]
    pub contact_timeout: Millis,
}

impl Default for VoteSettings {
    fn default() -> Self {
        Self {
            evidence_window: 5_000.0,
            ballot_ttl: 2_000.0,
            min_attempts: 1,
            failure_ratio: 0.5,
            min_voters: 2,
            min_failures: 6,
            majority: 0.6,
            max_voter_weight: 20,
            abstain_ratio: 0.4,
            removal_cap: 0.34,
            verdict_term: 5_000.0,
            prober_count: 3,
            suspect_pause: 1_000.0,
            suspect_share: 0.1,
            contact_timeout: 5_000.0,
        }
    }
}

/// A figure that can't be.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("Votes.{field}: {expected} expected")]
pub struct VoteSettingsError {
    /// Which.
    pub field: &'static str,
    /// What it must be.
    pub expected: &'static str,
}

impl VoteSettings {
    /// Whether the figures make sense.
    ///
    /// # Errors
    /// The first one that does not.
    pub fn check(&self) -> Result<(), VoteSettingsError> {
        let span = |ms: Millis| (100.0..=600_000.0).contains(&ms);
        let part = |part: f64| part > 0.0 && part <= 1.0;
        const SPAN: &str = "a time from 100 to 600,000 ms";
        const PART: &str = "a number above 0, up to 1";
        const COUNT: &str = "a whole number from 1 to 1,000";
        let count = |count: u32| (1..=1000).contains(&count);
        let rules = [
            ("Window", span(self.evidence_window), SPAN),
            ("Ballot", span(self.ballot_ttl), SPAN),
            ("Attempts", count(self.min_attempts), COUNT),
            ("Failed", part(self.failure_ratio), PART),
            ("Voters", count(self.min_voters), COUNT),
            ("Evidence", count(self.min_failures), COUNT),
            ("Majority", self.majority > 0.5 && self.majority <= 1.0, "a number above 0.5, up to 1"),
            (
                "Weight",
                count(self.max_voter_weight) && self.max_voter_weight >= self.min_attempts,
                "no less than Attempts, up to 1,000",
            ),
            ("Doubt", part(self.abstain_ratio), PART),
            ("Cap", part(self.removal_cap), PART),
            ("Term", span(self.verdict_term), SPAN),
            ("Probers", count(self.prober_count), COUNT),
            ("Aside", span(self.suspect_pause), SPAN),
            ("Trickle", part(self.suspect_share), PART),
            ("Word", span(self.contact_timeout), SPAN),
        ];
        match rules.iter().find(|(_, good, _)| !good) {
            Some(&(field, _, expected)) => Err(VoteSettingsError { field, expected }),
            None => Ok(()),
        }
    }
}

/// What a node holds of a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Vote {
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
    #[serde(default, rename = "connects")]
    pub connect_failures: u32,
    /// Connections that broke.
    #[serde(default, rename = "breaks")]
    pub connection_resets: u32,
    /// No answer in time.
    #[serde(default)]
    pub timeouts: u32,
    /// Errors, and answers that can't be read.
    #[serde(default)]
    pub errors: u32,
}

impl Evidence {
    /// This and more.
    pub fn combined(&self, more: &Self) -> Self {
        Self {
            attempts: self.attempts.saturating_add(more.attempts),
            connect_failures: self.connect_failures.saturating_add(more.connect_failures),
            connection_resets: self.connection_resets.saturating_add(more.connection_resets),
            timeouts: self.timeouts.saturating_add(more.timeouts),
            errors: self.errors.saturating_add(more.errors),
        }
    }

    /// How many of the attempts failed.
    pub fn failures(&self) -> u32 {
        self.connect_failures
            .saturating_add(self.connection_resets)
            .saturating_add(self.timeouts)
            .saturating_add(self.errors)
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
    #[serde(rename = "stand")]
    pub vote: Vote,
    /// By what.
    pub evidence: Evidence,
}

/// What a beat says of servers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VoteReport {
    /// The node's own zone, where its configuration tells one.
    #[serde(default)]
    pub zone: Option<String>,
    /// How many servers of each zone it has listed as up.
    #[serde(default, rename = "up")]
    pub up_servers: Vec<(String, u32)>,
    /// It suspects too many servers, and abstains.
    #[serde(default, rename = "doubts")]
    pub abstains: bool,
    /// Its standing ballots, [`MAX_BALLOTS`] at most; they replace those of its beat before.
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
        assert_eq!(VoteSettings::default().check(), Ok(()));
        let read = |json: &str| serde_json::from_str::<VoteSettings>(json);
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
