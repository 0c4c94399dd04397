//! What operators are shown of votes: who voted what on what evidence, when it lapses, what the cap holds back.

use member::votes::{Evidence, Vote};
use member::Millis;
use serde::Serialize;

use super::poll::{Count, Poll, Voice};
use super::{figures, term, zone_of, Tally};
use crate::machine::Agreement;
use crate::verdicts::{allowed, Case, Entry};

/// How many voters of a server are shown; how many nodes that doubt themselves are named.
const SHOWN_MOST: usize = 64;

/// All of it, at one moment of a leader's term.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Shown {
    /// The agreed policy has votes.
    pub on: bool,
    /// The version of the log that verdicts last changed at.
    pub version: u64,
    /// Nodes whose votes stand.
    pub voters: usize,
    /// Nodes that suspect too many servers, and abstain; the first ones where there are many.
    pub doubting: Vec<String>,
    /// In force.
    pub verdicts: Vec<InForce>,
    /// Servers that nodes were asked about.
    pub questions: Vec<Asked>,
}

/// A verdict in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InForce {
    /// The server.
    pub server: String,
    /// As it is on the log.
    #[serde(flatten)]
    pub entry: Entry,
    /// What is left of its term, or of its probing; 0 where it ends as soon as nodes are known.
    pub left_ms: Millis,
    /// What probers say.
    pub ballots: Vec<Shot>,
}

/// A server that nodes were asked about.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Asked {
    /// The server.
    pub server: String,
    /// When its process started that the question is about.
    pub born_ms: f64,
    /// Its zone, as most say.
    pub zone: String,
    /// How long ago it was asked.
    pub asked_ms: Millis,
    /// For how long nothing comes of it, as too few were for the removal, or the cap was reached.
    pub rests_ms: Option<Millis>,
    /// It would be removed, but its zone's cap is reached: so many may be.
    pub held_back_by: Option<usize>,
    /// What is for it and against it now.
    pub case: Case,
    /// What those weigh that have not answered yet; they count as against.
    pub waited_for: u32,
    /// The ballots; those with most evidence where there are many.
    pub ballots: Vec<Shot>,
}

/// A ballot that stands.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Shot {
    /// The node.
    pub node: String,
    /// Its zone.
    pub zone: Option<String>,
    /// For or against.
    pub stand: Vote,
    /// By what.
    pub evidence: Evidence,
    /// When it lapses, unless it is renewed.
    pub lapses_ms: Millis,
}

impl Tally {
    /// What operators are shown.
    pub fn shown(&self, now: Millis, agreement: &Agreement) -> Shown {
        let verdicts = agreement.verdicts();
        let version = verdicts.version();
        let Some(figures) = figures(agreement.book().policy()).filter(|_| self.on) else {
            return Shown { version, ..Shown::default() };
        };
        let poll = Poll::new(now, self.began, &figures, &self.voters, agreement.roster());
        let in_force = verdicts.entries().map(|(server, entry)| {
            let since = self.held.get(server).map_or(now, |(_, since)| *since);
            let span = match entry.probers.is_empty() {
                true => term(&figures, entry.terms),
                false => figures.evidence_window + figures.ballot_ttl,
            };
            let probes = |voice: &&Voice| entry.probers.iter().any(|name| name == voice.name);
            let ballots = shots(now, poll.on(server).iter().filter(probes));
            let left_ms = (since + span - now).max(0.0).round();
            InForce { server: server.clone(), entry: entry.clone(), left_ms, ballots }
        });
        let questions = self.questions.iter().map(|(server, question)| {
            let of = |voice: &&Voice| voice.ballot.born_ms == question.born_ms;
            let voices: Vec<Voice> = poll.on(server).iter().filter(of).copied().collect();
            let Count { case, waited, .. } = poll.count(&voices, question.since, None);
            let zone = zone_of(&voices);
            let most = allowed(figures.removal_cap, poll.up(&zone).unwrap_or(0));
            Asked {
                server: server.clone(),
                born_ms: question.born_ms,
                zone,
                asked_ms: (now - question.since).round(),
                rests_ms: question.rests.map(|(until, _)| (until - now).max(0.0).round()),
                held_back_by: question.capped.then_some(most),
                case,
                waited_for: waited,
                ballots: shots(now, voices.iter()),
            }
        });
        let doubting =
            poll.standing.iter().filter(|(_, voter)| voter.doubts).map(|(name, _)| (*name).to_owned());
        Shown {
            on: true,
            version,
            voters: poll.standing.len(),
            doubting: doubting.take(SHOWN_MOST).collect(),
            verdicts: in_force.collect(),
            questions: questions.collect(),
        }
    }
}

fn shots<'a>(now: Millis, voices: impl Iterator<Item = &'a Voice<'a>>) -> Vec<Shot> {
    let mut voices: Vec<&Voice> = voices.collect();
    voices.sort_by_key(|voice| std::cmp::Reverse(voice.ballot.evidence.attempts));
    let shot = |voice: &Voice| Shot {
        node: voice.name.to_owned(),
        zone: voice.zone.map(str::to_owned),
        stand: voice.ballot.vote,
        evidence: voice.ballot.evidence,
        lapses_ms: (voice.until - now).round(),
    };
    voices.into_iter().take(SHOWN_MOST).map(shot).collect()
}
