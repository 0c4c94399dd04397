//! Which servers are removed by votes, on the log: verdicts in force, the caps, how the last ones ended.
//!
//! Need: a cap that counts what was removed meanwhile can be held only where all removals are seen in one order. Shape:
//! the leader's [`crate::tally`] judges and writes; the machine here counts, in the log's order, and refuses what is
//! over a zone's cap. It has no clock: terms are counted by whoever leads, and each command about a verdict names the
//! version that it last changed at, so that one which was long on its way changes nothing.
//!
//! - *Cap.* `Cap` of the agreed policy, times the servers that are up in the zone (draining ones are not), rounded
//!   down and never up: of 3 servers 1 at 0.34, of 2 or 1 none. Fleets with two servers a zone set 0.5. A verdict counts
//!   in its server's zone once, in however many zones it holds. Who came first stays; a leader writes the worst first.
//! - *VoteSettings.* The cap alone is read here, and by itself: replicas whose programs know different figures don't part.
//!   A policy without `Votes` ends all verdicts, one with a smaller cap the newest that are over it.
//! - *Process.* A verdict is about one process of a server; one about another process of the server takes its place.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use member::votes::{Evidence, Verdict, Verdicts, VoteSettings, MAX_NAME_BYTES, MAX_ZONES};
use member::Policy;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::command::{Outcome, VerdictCommand};
use crate::roster::MAX_NODE_NAME_BYTES;

/// The most verdicts in force.
pub const MAX_VERDICTS: usize = 256;
/// How many ended verdicts are kept.
pub const MAX_ENDED_VERDICTS: usize = 64;
/// The most nodes that probe a server.
pub const MAX_PROBERS: usize = 16;
/// How many voters of each side a case names.
pub const MAX_NAMED_VOTERS: usize = 16;
/// The most terms that are counted of one verdict.
pub const MAX_TERM_INDEX: u32 = 1000;

/// What one side said of a server.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VoteSide {
    /// How many voters.
    pub voters: u32,
    /// What their evidence weighs together.
    pub weight: u32,
    /// How many failures that counts.
    #[serde(rename = "failed")]
    pub failures: u32,
    /// Their evidence, added up.
    pub evidence: Evidence,
    /// Who; those whose evidence weighs most, [`MAX_NAMED_VOTERS`] at most.
    #[serde(rename = "named")]
    pub voter_names: Vec<String>,
}

/// What was voted of a server, for operators.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VoteResult {
    /// For its removal, or for its staying removed.
    #[serde(rename = "for")]
    pub in_favor: VoteSide,
    /// Against.
    pub against: VoteSide,
}

/// EndReason a verdict ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// Those that probed it are for its return.
    #[serde(rename = "probed")]
    ProbesPassed,
    /// None of those that were to probe it has said anything: without a vote nobody stays removed.
    #[serde(rename = "unprobed")]
    NoProbeVotes,
    /// It has started anew.
    Restarted,
    /// The cap has become smaller, as there are fewer servers or as operators say.
    #[serde(rename = "cap")]
    CapReduced,
    /// The agreed policy has no votes any more.
    #[serde(rename = "off")]
    VotesDisabled,
}

/// A verdict in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VerdictEntry {
    /// When the process started that it is about.
    pub born_ms: f64,
    /// The server's zone.
    pub zone: String,
    /// It holds for nodes of these zones alone; for all where there are none.
    pub zones: Vec<String>,
    /// Servers up in its zone when it was written.
    #[serde(rename = "up")]
    pub up_servers: u32,
    /// The version of the log that it came at.
    #[serde(rename = "since")]
    pub created_at: u64,
    /// The version that it last changed at.
    #[serde(rename = "at")]
    pub changed_at: u64,
    /// Its how manieth term this is, counted from 0.
    #[serde(rename = "terms")]
    pub term_index: u32,
    /// Who probes the server; nobody while the term lasts.
    pub probers: Vec<String>,
    /// What was voted last.
    #[serde(rename = "case")]
    pub vote_result: VoteResult,
}

/// How a verdict ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndedVerdict {
    /// The server.
    pub server: String,
    /// When the process started that it was about.
    pub born_ms: f64,
    /// The server's zone.
    pub zone: String,
    /// The zones that it held in; all where there are none.
    pub zones: Vec<String>,
    /// The versions of the log that it came and ended at.
    #[serde(rename = "since")]
    pub created_at: u64,
    /// See `created_at`.
    #[serde(rename = "until")]
    pub ended_at: u64,
    /// How many terms it had, counted from 0.
    #[serde(rename = "terms")]
    pub term_index: u32,
    /// EndReason it ended.
    #[serde(rename = "why")]
    pub reason: EndReason,
    /// What was voted last.
    #[serde(rename = "case")]
    pub vote_result: VoteResult,
}

/// What is agreed on servers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VerdictState {
    /// The version that they last changed at.
    version: u64,
    entries: BTreeMap<String, VerdictEntry>,
    #[serde(rename = "past")]
    ended: VecDeque<EndedVerdict>,
}

/// The figures of the votes, where the policy has them on. One that can't be read has them off.
pub fn vote_settings(policy: &Policy) -> Option<VoteSettings> {
    let figures: VoteSettings = serde_json::from_value(policy.0.get("Votes")?.clone()).ok()?;
    figures.check().ok().map(|()| figures)
}

/// The cap alone, where the policy has votes on.
fn cap(policy: &Policy) -> Option<f64> {
    let cap = policy.0.get("Votes")?.as_object()?.get("Cap").and_then(Value::as_f64);
    Some(cap.filter(|cap| *cap > 0.0 && *cap <= 1.0).unwrap_or(VoteSettings::default().removal_cap))
}

/// How many of a zone's servers may be removed at a time, of so many that are up.
pub fn max_removed(cap: f64, up: u32) -> usize {
    (cap * f64::from(up) + 1e-9) as usize
}

impl VerdictState {
    /// Takes a command at a version of the log; `policy` is the agreed one at this entry.
    pub fn apply(&mut self, version: u64, command: &VerdictCommand, policy: &Policy) -> Outcome {
        let Some(cap) = cap(policy) else { return Outcome::Obsolete };
        match command {
            VerdictCommand::Remove {
                server,
                born_ms,
                zone,
                zones,
                up_servers: up,
                term_index: terms,
                vote_result: case,
            } => {
                let long = |name: &String| name.len() > MAX_NAME_BYTES;
                let known = self.entries.get(server).filter(|entry| entry.born_ms == *born_ms);
                if known.is_some_and(|entry| within(zones, &entry.zones)) {
                    return Outcome::Done;
                }
                let new = !self.entries.contains_key(server);
                if !born_ms.is_finite()
                    || long(server)
                    || long(zone)
                    || zones.len() > MAX_ZONES
                    || zones.iter().any(long)
                    || (new && self.entries.len() >= MAX_VERDICTS)
                {
                    return Outcome::LimitExceeded;
                }
                let others =
                    self.entries.iter().filter(|(other, entry)| *other != server && entry.zone == *zone);
                if others.count() >= max_removed(cap, *up) {
                    return Outcome::CapReached;
                }
                let (since, up, zones) = match known {
                    Some(entry) => (entry.created_at, entry.up_servers, both(zones, &entry.zones)),
                    None => (version, *up, zones.clone()),
                };
                if known.is_none() {
                    self.end(version, server, EndReason::Restarted, None);
                }
                let entry = VerdictEntry {
                    born_ms: *born_ms,
                    zone: zone.clone(),
                    zones,
                    up_servers: up,
                    created_at: since,
                    changed_at: version,
                    term_index: (*terms).min(MAX_TERM_INDEX),
                    probers: Vec::new(),
                    vote_result: bounded(case),
                };
                self.entries.insert(server.clone(), entry);
            }
            VerdictCommand::Probe { server, changed_at: at, probers } => {
                let Some(entry) = self.entry(server, *at) else { return Outcome::Obsolete };
                let names = probers.iter().filter(|name| name.len() <= MAX_NODE_NAME_BYTES);
                entry.probers = names.take(MAX_PROBERS).cloned().collect();
                entry.changed_at = version;
            }
            VerdictCommand::Extend { server, changed_at: at, vote_result: case } => {
                let Some(entry) = self.entry(server, *at) else { return Outcome::Obsolete };
                entry.probers.clear();
                (entry.changed_at, entry.vote_result) = (version, bounded(case));
                entry.term_index = (entry.term_index + 1).min(MAX_TERM_INDEX);
            }
            VerdictCommand::Return { server, changed_at: at, reason: why, vote_result: case } => {
                if self.entry(server, *at).is_none() {
                    return Outcome::Obsolete;
                }
                self.end(version, server, *why, case.as_ref());
            }
        }
        self.version = version;
        Outcome::Done
    }

    /// The agreed policy may be another one from this version on.
    pub fn apply_policy(&mut self, version: u64, policy: &Policy) {
        let cap = cap(policy);
        let mut newest: Vec<(u64, String)> =
            self.entries.iter().map(|(server, entry)| (entry.created_at, server.clone())).collect();
        newest.sort_unstable_by(|a, b| b.cmp(a));
        // What is up in a zone is what the newest one there says.
        let mut ups = BTreeMap::new();
        for (_, server) in newest {
            let entry = &self.entries[&server];
            let up = *ups.entry(entry.zone.clone()).or_insert(entry.up_servers);
            let why = match cap {
                None => EndReason::VotesDisabled,
                Some(cap) if self.removed_count(&entry.zone) > max_removed(cap, up) => EndReason::CapReduced,
                Some(_) => continue,
            };
            self.end(version, &server, why, None);
            self.version = version;
        }
    }

    /// Those in force, in the order of servers.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = (&String, &VerdictEntry)> {
        self.entries.iter()
    }

    /// The one about a server.
    pub fn get(&self, server: &str) -> Option<&VerdictEntry> {
        self.entries.get(server)
    }

    /// How many of a zone's servers are removed.
    pub fn removed_count(&self, zone: &str) -> usize {
        self.entries.values().filter(|entry| entry.zone == zone).count()
    }

    /// How the last ones ended, newest last.
    pub fn ended(&self) -> impl DoubleEndedIterator<Item = &EndedVerdict> {
        self.ended.iter()
    }

    /// The version that they last changed at.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What nodes are told.
    pub fn in_force(&self) -> Verdicts {
        let verdict = |(server, entry): (&String, &VerdictEntry)| Verdict {
            server: server.clone(),
            born_ms: entry.born_ms,
            zones: entry.zones.clone(),
            probers: entry.probers.clone(),
        };
        Verdicts { version: self.version, verdicts: self.entries.iter().map(verdict).collect() }
    }

    fn entry(&mut self, server: &str, at: u64) -> Option<&mut VerdictEntry> {
        self.entries.get_mut(server).filter(|entry| entry.changed_at == at)
    }

    fn end(&mut self, version: u64, server: &str, why: EndReason, case: Option<&VoteResult>) {
        let Some(entry) = self.entries.remove(server) else { return };
        self.ended.push_back(EndedVerdict {
            server: server.to_owned(),
            born_ms: entry.born_ms,
            zone: entry.zone,
            zones: entry.zones,
            created_at: entry.created_at,
            ended_at: version,
            term_index: entry.term_index,
            reason: why,
            vote_result: case.map_or(entry.vote_result, bounded),
        });
        if self.ended.len() > MAX_ENDED_VERDICTS {
            self.ended.pop_front();
        }
    }
}

/// Whether a verdict in these zones says nothing beyond one in those.
fn within(zones: &[String], those: &[String]) -> bool {
    those.is_empty() || (!zones.is_empty() && zones.iter().all(|zone| those.contains(zone)))
}

/// Zones that either verdict holds in.
fn both(zones: &[String], others: &[String]) -> Vec<String> {
    if zones.is_empty() || others.is_empty() {
        return Vec::new();
    }
    let all: BTreeSet<&String> = zones.iter().chain(others).collect();
    all.into_iter().take(MAX_ZONES).cloned().collect()
}

/// The case with its lists cut to their bounds.
fn bounded(case: &VoteResult) -> VoteResult {
    let side = |side: &VoteSide| {
        let named = side
            .voter_names
            .iter()
            .filter(|name| name.len() <= MAX_NODE_NAME_BYTES)
            .take(MAX_NAMED_VOTERS)
            .cloned()
            .collect();
        VoteSide { voter_names: named, ..side.clone() }
    };
    VoteResult { in_favor: side(&case.in_favor), against: side(&case.against) }
}
