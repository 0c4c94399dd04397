//! What operators are shown of votes: who voted what on what evidence, when it lapses, what the cap holds back.

use member::votes::{Evidence, Vote};
use member::Millis;
use serde::Serialize;

use super::poll::{Count, Poll, Voice};
use super::{term, zone_of, Tally};
use crate::machine::FleetState;
use crate::verdicts::{max_removed, vote_settings, VerdictEntry, VoteResult};

/// How many voters of a server are shown; how many nodes that doubt themselves are named.
const MAX_LISTED: usize = 64;

/// All of it, at one moment of a leader's term.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TallyView {
    /// The agreed policy has votes.
    #[serde(rename = "on")]
    pub enabled: bool,
    /// The version of the log that verdicts last changed at.
    pub version: u64,
    /// Nodes whose votes stand.
    pub voters: usize,
    /// Nodes that suspect too many servers, and abstain; the first ones where there are many.
    #[serde(rename = "doubting")]
    pub abstaining_nodes: Vec<String>,
    /// In force.
    pub verdicts: Vec<VerdictView>,
    /// Servers that nodes were asked about.
    #[serde(rename = "questions")]
    pub queries: Vec<QueryView>,
}

/// A verdict in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct VerdictView {
    /// The server.
    pub server: String,
    /// As it is on the log.
    #[serde(flatten)]
    pub entry: VerdictEntry,
    /// What is left of its term, or of its probing; 0 where it ends as soon as nodes are known.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Millis,
    /// What probers say.
    pub ballots: Vec<BallotView>,
}

/// A server that nodes were asked about.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QueryView {
    /// The server.
    pub server: String,
    /// When its process started that the question is about.
    pub born_ms: f64,
    /// Its zone, as most say.
    pub zone: String,
    /// How long ago it was asked.
    #[serde(rename = "asked_ms")]
    pub age_ms: Millis,
    /// For how long nothing comes of it, as too few were for the removal, or the cap was reached.
    #[serde(rename = "rests_ms")]
    pub suspended_for_ms: Option<Millis>,
    /// It would be removed, but its zone's cap is reached: so many may be.
    #[serde(rename = "held_back_by")]
    pub blocking_cap: Option<usize>,
    /// What is for it and against it now.
    #[serde(rename = "case")]
    pub vote_result: VoteResult,
    /// What those weigh that have not answered yet; they count as against.
    #[serde(rename = "waited_for")]
    pub pending_weight: u32,
    /// The ballots; those with most evidence where there are many.
    pub ballots: Vec<BallotView>,
}

/// A ballot that stands.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BallotView {
    /// The node.
    pub node: String,
    /// Its zone.
    pub zone: Option<String>,
    /// For or against.
    #[serde(rename = "stand")]
    pub vote: Vote,
    /// By what.
    pub evidence: Evidence,
    /// When it lapses, unless it is renewed.
    #[serde(rename = "lapses_ms")]
    pub expires_in_ms: Millis,
}

impl Tally {
    /// What operators are shown.
    pub fn view(&self, now: Millis, agreement: &FleetState) -> TallyView {
        let verdicts = agreement.verdicts();
        let version = verdicts.version();
        let Some(figures) = vote_settings(agreement.policy_state().policy()).filter(|_| self.on) else {
            return TallyView { version, ..TallyView::default() };
        };
        let poll = Poll::new(now, self.began, &figures, &self.voters, agreement.roster());
        let in_force = verdicts.entries().map(|(server, entry)| {
            let since = self.held.get(server).map_or(now, |(_, since)| *since);
            let span = match entry.probers.is_empty() {
                true => term(&figures, entry.term_index),
                false => figures.evidence_window + figures.ballot_ttl,
            };
            let probes = |voice: &&Voice| entry.probers.iter().any(|name| name == voice.name);
            let ballots = shots(now, poll.on(server).iter().filter(probes));
            let left_ms = (since + span - now).max(0.0).round();
            VerdictView { server: server.clone(), entry: entry.clone(), remaining_ms: left_ms, ballots }
        });
        let questions = self.questions.iter().map(|(server, question)| {
            let of = |voice: &&Voice| voice.ballot.born_ms == question.born_ms;
            let voices: Vec<Voice> = poll.on(server).iter().filter(of).copied().collect();
            let Count { case, waited, .. } = poll.count(&voices, question.since, None);
            let zone = zone_of(&voices);
            let most = max_removed(figures.removal_cap, poll.up(&zone).unwrap_or(0));
            QueryView {
                server: server.clone(),
                born_ms: question.born_ms,
                zone,
                age_ms: (now - question.since).round(),
                suspended_for_ms: question.rests.map(|(until, _)| (until - now).max(0.0).round()),
                blocking_cap: question.capped.then_some(most),
                vote_result: case,
                pending_weight: waited,
                ballots: shots(now, voices.iter()),
            }
        });
        let doubting =
            poll.standing.iter().filter(|(_, voter)| voter.doubts).map(|(name, _)| (*name).to_owned());
        TallyView {
            enabled: true,
            version,
            voters: poll.standing.len(),
            abstaining_nodes: doubting.take(MAX_LISTED).collect(),
            verdicts: in_force.collect(),
            queries: questions.collect(),
        }
    }
}

fn shots<'a>(now: Millis, voices: impl Iterator<Item = &'a Voice<'a>>) -> Vec<BallotView> {
    let mut voices: Vec<&Voice> = voices.collect();
    voices.sort_by_key(|voice| std::cmp::Reverse(voice.ballot.evidence.attempts));
    let shot = |voice: &Voice| BallotView {
        node: voice.name.to_owned(),
        zone: voice.zone.map(str::to_owned),
        vote: voice.ballot.vote,
        evidence: voice.ballot.evidence,
        expires_in_ms: (voice.until - now).round(),
    };
    voices.into_iter().take(MAX_LISTED).map(shot).collect()
}
