//! The operators' view of votes: the ballots with their evidence and expiry, and the removals that only a cap prevents.

use member::votes::{Evidence, Vote};
use member::Millis;
use serde::Serialize;

use super::poll::{Count, Poll, ValidBallot};
use super::{server_zone, term_length, Tally};
use crate::machine::FleetState;
use crate::verdicts::{max_removed, vote_settings, VerdictEntry, VoteResult};

/// The maximum number of ballots listed per server, and of abstaining nodes.
const MAX_LISTED: usize = 64;

/// The state of all votes at one moment of a leader's term.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TallyView {
    /// The agreed policy enables votes.
    #[serde(rename = "on")]
    pub enabled: bool,
    /// The log version at which verdicts last changed.
    pub version: u64,
    /// The number of nodes whose votes are valid.
    pub voters: usize,
    /// The nodes that suspect too many servers and abstain; the first ones if there are many.
    #[serde(rename = "doubting")]
    pub abstaining_nodes: Vec<String>,
    /// The verdicts in force.
    pub verdicts: Vec<VerdictView>,
    /// The servers that nodes were queried about.
    #[serde(rename = "questions")]
    pub queries: Vec<QueryView>,
}

/// A verdict in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct VerdictView {
    /// The server.
    pub server: String,
    /// The verdict's entry in the log's state.
    #[serde(flatten)]
    pub entry: VerdictEntry,
    /// The time left of its term or probing; 0 if it ends as soon as this leader knows the voters.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Millis,
    /// The probers' ballots.
    pub ballots: Vec<BallotView>,
}

/// A server that nodes were queried about.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QueryView {
    /// The server.
    pub server: String,
    /// The start time of the server process that the query is about.
    pub born_ms: f64,
    /// Its zone according to most ballots.
    pub zone: String,
    /// The time since the query was opened.
    #[serde(rename = "asked_ms")]
    pub age_ms: Millis,
    /// How long it stays suspended, because too few were in favor or the cap was reached.
    #[serde(rename = "rests_ms")]
    pub suspended_for_ms: Option<Millis>,
    /// If only the zone's cap prevents the removal: the number of servers that the cap allows.
    #[serde(rename = "held_back_by")]
    pub blocking_cap: Option<usize>,
    /// The current votes.
    #[serde(rename = "case")]
    pub vote_result: VoteResult,
    /// The assumed weight of the outstanding answers, which count as against.
    #[serde(rename = "waited_for")]
    pub pending_weight: u32,
    /// The ballots; those with the most evidence if there are many.
    pub ballots: Vec<BallotView>,
}

/// A valid ballot.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BallotView {
    /// The node.
    pub node: String,
    /// Its zone.
    pub zone: Option<String>,
    /// For or against the removal.
    #[serde(rename = "stand")]
    pub vote: Vote,
    /// The evidence that the vote is based on.
    pub evidence: Evidence,
    /// The time until it expires, unless it is renewed.
    #[serde(rename = "lapses_ms")]
    pub expires_in_ms: Millis,
}

impl Tally {
    /// Returns the operators' view of all votes at `now`.
    pub fn view(&self, now: Millis, state: &FleetState) -> TallyView {
        let verdicts = state.verdicts();
        let version = verdicts.version();
        let Some(settings) = vote_settings(state.policy_state().policy()).filter(|_| self.enabled) else {
            return TallyView { version, ..TallyView::default() };
        };
        let poll = Poll::new(now, self.started_at, &settings, &self.voters, state.roster());
        let verdict_views = verdicts.entries().map(|(server, entry)| {
            let since = self.verdict_clocks.get(server).map_or(now, |(_, since)| *since);
            let duration = match entry.probers.is_empty() {
                true => term_length(&settings, entry.term_index),
                false => settings.evidence_window + settings.ballot_ttl,
            };
            let is_probers = |valid: &&ValidBallot| entry.probers.iter().any(|name| name == valid.voter);
            let ballots = ballot_views(now, poll.ballots_on(server).iter().filter(is_probers));
            let remaining_ms = (since + duration - now).max(0.0).round();
            VerdictView { server: server.clone(), entry: entry.clone(), remaining_ms, ballots }
        });
        let queries = self.queries.iter().map(|(server, query)| {
            let is_about = |valid: &&ValidBallot| valid.ballot.born_ms == query.born_ms;
            let ballots: Vec<ValidBallot> =
                poll.ballots_on(server).iter().filter(is_about).copied().collect();
            let Count { result, pending_weight, .. } = poll.count(&ballots, query.queried_at, None);
            let zone = server_zone(&ballots);
            let cap = max_removed(settings.removal_cap, poll.up_servers(&zone).unwrap_or(0));
            QueryView {
                server: server.clone(),
                born_ms: query.born_ms,
                zone,
                age_ms: (now - query.queried_at).round(),
                suspended_for_ms: query.suspended.map(|(until, _)| (until - now).max(0.0).round()),
                blocking_cap: query.blocked_by_cap.then_some(cap),
                vote_result: result,
                pending_weight,
                ballots: ballot_views(now, ballots.iter()),
            }
        });
        let abstaining =
            poll.voters.iter().filter(|(_, voter)| voter.abstains).map(|(name, _)| (*name).to_owned());
        TallyView {
            enabled: true,
            version,
            voters: poll.voters.len(),
            abstaining_nodes: abstaining.take(MAX_LISTED).collect(),
            verdicts: verdict_views.collect(),
            queries: queries.collect(),
        }
    }
}

fn ballot_views<'a>(now: Millis, ballots: impl Iterator<Item = &'a ValidBallot<'a>>) -> Vec<BallotView> {
    let mut ballots: Vec<&ValidBallot> = ballots.collect();
    ballots.sort_by_key(|valid| std::cmp::Reverse(valid.ballot.evidence.attempts));
    let view = |valid: &ValidBallot| BallotView {
        node: valid.voter.to_owned(),
        zone: valid.zone.map(str::to_owned),
        vote: valid.ballot.vote,
        evidence: valid.ballot.evidence,
        expires_in_ms: (valid.expires_at - now).round(),
    };
    ballots.into_iter().take(MAX_LISTED).map(view).collect()
}
