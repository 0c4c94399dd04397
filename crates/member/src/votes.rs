//! Ballots and verdicts: how nodes and the control group agree that a server is bad and removed from the rotation.
//!
//! Goal: a node that ejects servers on its own pays for each bad server itself, and a node with a bad link of its own
//! ejects good servers. Design: with votes enabled, a node's own evidence makes a server a *suspect* on that node only.
//! Its *ballot* goes to the leader with its heartbeats; the leader keeps one ballot per node and server in memory, and
//! lets it expire. If those nodes that have sent to the server recently agree, the leader writes a verdict. The log,
//! which sees all verdicts in one order, enforces the removal caps. Verdicts in force are distributed together with the
//! agreed policy.
//!
//! Votes are enabled if the agreed policy has an object `Votes` ([`VoteSettings`]), so every parameter changes on all
//! nodes or on none.
//!
//! Rejected: ballots as log entries, because 300 nodes that renew them every second would write more than everything
//! else that is agreed; and gossiped suspicions, because two nodes would then act on different counts.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The maximum number of ballots per heartbeat; the worst suspects come first.
pub const MAX_BALLOTS: usize = 32;
/// The maximum length of a server's or zone's name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The maximum number of zones that a node reports.
pub const MAX_ZONES: usize = 16;

/// The parameters of votes: `Votes` in a policy. A field that is left out has its default.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "PascalCase")]
pub struct VoteSettings {
    /// The window over which attempts count as evidence, in ms.
    #[serde(rename = "Window")]
    pub evidence_window: Millis,
    /// The time after which a ballot that is not renewed expires, in ms.
    #[serde(rename = "Ballot")]
    pub ballot_ttl: Millis,
    /// The minimum number of attempts within the window for a node to cast a ballot. One is enough by default: evidence
    /// that is thin on each node is still clear in the sum.
    #[serde(rename = "Attempts")]
    pub min_attempts: u32,
    /// The fraction of a node's attempts within the window that must have failed for it to vote for the removal, from 0
    /// to 1.
    #[serde(rename = "Failed")]
    pub failure_ratio: f64,
    /// The minimum number of votes for a removal.
    #[serde(rename = "Voters")]
    pub min_voters: u32,
    /// The minimum number of failures that the voters for a removal have seen together.
    #[serde(rename = "Evidence")]
    pub min_failures: u32,
    /// The fraction of the total voting weight that must be for a removal, above 0.5, up to 1.
    pub majority: f64,
    /// The maximum weight of one voter, in attempts. The median of all voters' attempts caps it too, so a faulty voter
    /// gains nothing by claiming many.
    #[serde(rename = "Weight")]
    pub max_voter_weight: u32,
    /// A node that suspects more than this fraction of its servers, and at least two, assumes that it is faulty itself
    /// and abstains, from 0 to 1.
    #[serde(rename = "Doubt")]
    pub abstain_ratio: f64,
    /// The maximum fraction of a zone's servers that votes may remove at the same time, from 0 to 1.
    #[serde(rename = "Cap")]
    pub removal_cap: f64,
    /// How long a verdict is in force before the server is probed, in ms.
    #[serde(rename = "Term")]
    pub verdict_term: Millis,
    /// The number of nodes that probe a server when a verdict's term has ended.
    #[serde(rename = "Probers")]
    pub prober_count: u32,
    /// How long a node sends nothing to a server that it alone suspects, in ms.
    #[serde(rename = "Aside")]
    pub suspect_pause: Millis,
    /// The fraction of its turns that a suspect gets after that pause, above 0, up to 1.
    #[serde(rename = "Trickle")]
    pub suspect_share: f64,
    /// The maximum age of the last contact with the group for verdicts to stay in force, in ms.
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

/// A parameter of votes is out of its range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("Votes.{field}: {expected} expected")]
pub struct VoteSettingsError {
    /// The field's name in the policy.
    pub field: &'static str,
    /// The allowed values.
    pub expected: &'static str,
}

impl VoteSettings {
    /// Checks the range of every parameter.
    ///
    /// # Errors
    /// Names the first parameter that is out of its range.
    pub fn check(&self) -> Result<(), VoteSettingsError> {
        let is_duration = |ms: Millis| (100.0..=600_000.0).contains(&ms);
        let is_fraction = |fraction: f64| fraction > 0.0 && fraction <= 1.0;
        const DURATION: &str = "a time from 100 to 600,000 ms";
        const FRACTION: &str = "a number above 0, up to 1";
        const COUNT: &str = "a whole number from 1 to 1,000";
        let is_count = |count: u32| (1..=1000).contains(&count);
        let rules = [
            ("Window", is_duration(self.evidence_window), DURATION),
            ("Ballot", is_duration(self.ballot_ttl), DURATION),
            ("Attempts", is_count(self.min_attempts), COUNT),
            ("Failed", is_fraction(self.failure_ratio), FRACTION),
            ("Voters", is_count(self.min_voters), COUNT),
            ("Evidence", is_count(self.min_failures), COUNT),
            ("Majority", self.majority > 0.5 && self.majority <= 1.0, "a number above 0.5, up to 1"),
            (
                "Weight",
                is_count(self.max_voter_weight) && self.max_voter_weight >= self.min_attempts,
                "no less than Attempts, up to 1,000",
            ),
            ("Doubt", is_fraction(self.abstain_ratio), FRACTION),
            ("Cap", is_fraction(self.removal_cap), FRACTION),
            ("Term", is_duration(self.verdict_term), DURATION),
            ("Probers", is_count(self.prober_count), COUNT),
            ("Aside", is_duration(self.suspect_pause), DURATION),
            ("Trickle", is_fraction(self.suspect_share), FRACTION),
            ("Word", is_duration(self.contact_timeout), DURATION),
        ];
        match rules.iter().find(|(_, valid, _)| !valid) {
            Some(&(field, _, expected)) => Err(VoteSettingsError { field, expected }),
            None => Ok(()),
        }
    }
}

/// A node's vote on the removal of a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Vote {
    /// It should be removed, or stay removed.
    For,
    /// It should stay in the rotation, or return to it.
    Against,
}

/// The outcomes of a node's attempts at a server within the evidence window. Attempts that were cancelled, or that had
/// too little time to prove anything, are not counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Evidence {
    /// Attempts that ended.
    pub attempts: u32,
    /// Of these, connections that were refused or not made in time.
    #[serde(default, rename = "connects")]
    pub connect_failures: u32,
    /// Connections that broke.
    #[serde(default, rename = "breaks")]
    pub connection_resets: u32,
    /// Attempts without an answer in time.
    #[serde(default)]
    pub timeouts: u32,
    /// Errors, and answers that cannot be parsed.
    #[serde(default)]
    pub errors: u32,
}

impl Evidence {
    /// Returns the sum of both.
    pub fn combined(&self, more: &Self) -> Self {
        Self {
            attempts: self.attempts.saturating_add(more.attempts),
            connect_failures: self.connect_failures.saturating_add(more.connect_failures),
            connection_resets: self.connection_resets.saturating_add(more.connection_resets),
            timeouts: self.timeouts.saturating_add(more.timeouts),
            errors: self.errors.saturating_add(more.errors),
        }
    }

    /// Returns the number of attempts that failed.
    pub fn failures(&self) -> u32 {
        self.connect_failures
            .saturating_add(self.connection_resets)
            .saturating_add(self.timeouts)
            .saturating_add(self.errors)
    }
}

/// One node's vote on one server. A node that has too few attempts, or abstains, casts none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ballot {
    /// The server.
    pub server: String,
    /// The start time of the server process that the evidence is about (`born_ms` of the list).
    pub born_ms: f64,
    /// The server's zone.
    #[serde(default)]
    pub zone: String,
    /// For or against the removal.
    #[serde(rename = "stand")]
    pub vote: Vote,
    /// The evidence that the vote is based on.
    pub evidence: Evidence,
}

/// What a heartbeat reports about servers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VoteReport {
    /// The node's own zone, if it is configured.
    #[serde(default)]
    pub zone: Option<String>,
    /// The number of servers listed as up, by zone.
    #[serde(default, rename = "up")]
    pub up_servers: Vec<(String, u32)>,
    /// It suspects too many servers, and abstains.
    #[serde(default, rename = "doubts")]
    pub abstains: bool,
    /// Its current ballots, at most [`MAX_BALLOTS`]; they replace those of its previous heartbeat.
    #[serde(default)]
    pub ballots: Vec<Ballot>,
}

/// The verdict in force on a server, as sent to nodes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Verdict {
    /// The server.
    pub server: String,
    /// The start time of the server process that the verdict is about; it does not apply to a process with another one.
    pub born_ms: f64,
    /// It applies to nodes of these zones only; to all nodes if empty.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The nodes that probe the server with a little traffic now that the term has ended. Other nodes send nothing.
    #[serde(default)]
    pub probers: Vec<String>,
}

/// All verdicts in force at one version of the log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Verdicts {
    /// The log version at which they last changed.
    pub version: u64,
    /// The verdicts, ordered by server.
    pub verdicts: Vec<Verdict>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parameters_out_of_range_are_rejected_by_name() {
        assert_eq!(VoteSettings::default().check(), Ok(()));
        let parse = |json: &str| serde_json::from_str::<VoteSettings>(json);
        assert!(parse(r#"{"Speed": 1}"#).is_err());
        for (json, message) in [
            (r#"{"Majority": 0.5}"#, "Votes.Majority: a number above 0.5, up to 1 expected"),
            (r#"{"Attempts": 3, "Weight": 2}"#, "Votes.Weight: no less than Attempts, up to 1,000 expected"),
            (r#"{"Cap": 0}"#, "Votes.Cap: a number above 0, up to 1 expected"),
            (r#"{"Term": 1e9}"#, "Votes.Term: a time from 100 to 600,000 ms expected"),
            (r#"{"Voters": 0}"#, "Votes.Voters: a whole number from 1 to 1,000 expected"),
        ] {
            let error = parse(json).expect("valid JSON").check().expect_err(json);
            assert_eq!(error.to_string(), message);
        }
    }
}
