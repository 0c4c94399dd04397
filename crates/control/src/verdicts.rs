//! The replicated verdicts: which servers are removed by votes, the removal caps, and how past verdicts ended.
//!
//! Goal: a cap on the number of removed servers can be enforced only where all removals are seen in one order. Design: the
//! leader's [`crate::tally`] counts votes and writes commands; this state machine counts removals in the log's order, and
//! refuses those that exceed a zone's cap. It has no clock: the leader measures the terms, and each command about a
//! verdict names the version at which the verdict last changed, so that a delayed command has no effect.
//!
//! - *Cap.* The agreed policy's `Cap` times the number of servers that are up in the zone (draining ones are not),
//!   always rounded down: with 0.34, 1 of 3 servers, and none of 2 or 1. Fleets with two servers per zone set 0.5. A
//!   verdict counts once, in its server's zone, however many zones it applies to. Earlier verdicts have priority; a
//!   leader writes those on the worst servers first.
//! - *Settings.* Only the cap is read here, on its own, so that replicas whose programs know different settings do not
//!   diverge. A policy without `Votes` ends all verdicts; one with a smaller cap ends the newest ones that exceed it.
//! - *Process.* A verdict is about one process of a server; one about another process of the same server replaces it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use member::votes::{Evidence, Verdict, Verdicts, VoteSettings, MAX_NAME_BYTES, MAX_ZONES};
use member::Policy;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::command::{Outcome, VerdictCommand};
use crate::roster::MAX_NODE_NAME_BYTES;

/// The maximum number of verdicts in force.
pub const MAX_VERDICTS: usize = 256;
/// The number of ended verdicts that are kept.
pub const MAX_ENDED_VERDICTS: usize = 64;
/// The maximum number of nodes that probe a server.
pub const MAX_PROBERS: usize = 16;
/// The maximum number of voters of each side that a [`VoteResult`] names.
pub const MAX_NAMED_VOTERS: usize = 16;
/// The highest term index that is counted for a verdict.
pub const MAX_TERM_INDEX: u32 = 1000;

/// The sum of the votes for or against a removal.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VoteSide {
    /// The number of voters.
    pub voters: u32,
    /// The total weight of their evidence.
    pub weight: u32,
    /// The total number of failures that count, each voter's capped by its weight.
    #[serde(rename = "failed")]
    pub failures: u32,
    /// The sum of their evidence.
    pub evidence: Evidence,
    /// The voters with the most evidence, at most [`MAX_NAMED_VOTERS`].
    #[serde(rename = "named")]
    pub voter_names: Vec<String>,
}

/// The votes on a server, for operators.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VoteResult {
    /// The votes for its removal, or for extending it.
    #[serde(rename = "for")]
    pub in_favor: VoteSide,
    /// The votes against.
    pub against: VoteSide,
}

/// Why a verdict ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The probers voted for its return.
    #[serde(rename = "probed")]
    ProbesPassed,
    /// No prober has cast a ballot: without a vote no server stays removed.
    #[serde(rename = "unprobed")]
    NoProbeVotes,
    /// The server has restarted.
    Restarted,
    /// The cap has become smaller, because there are fewer servers or because the policy says so.
    #[serde(rename = "cap")]
    CapReduced,
    /// The agreed policy no longer enables votes.
    #[serde(rename = "off")]
    VotesDisabled,
}

/// A verdict in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VerdictEntry {
    /// The start time of the server process that it is about.
    pub born_ms: f64,
    /// The server's zone.
    pub zone: String,
    /// It applies to nodes of these zones only; to all nodes if empty.
    pub zones: Vec<String>,
    /// The number of servers that were up in its zone when it was written.
    #[serde(rename = "up")]
    pub up_servers: u32,
    /// The log version of its first command.
    #[serde(rename = "since")]
    pub created_at: u64,
    /// The log version at which it last changed.
    #[serde(rename = "at")]
    pub changed_at: u64,
    /// The index of its current term, counted from 0.
    #[serde(rename = "terms")]
    pub term_index: u32,
    /// The nodes that probe the server; empty until the term ends.
    pub probers: Vec<String>,
    /// The last vote on it.
    #[serde(rename = "case")]
    pub vote_result: VoteResult,
}

/// A verdict that has ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndedVerdict {
    /// The server.
    pub server: String,
    /// The start time of the server process that it was about.
    pub born_ms: f64,
    /// The server's zone.
    pub zone: String,
    /// The zones that it applied to; all if empty.
    pub zones: Vec<String>,
    /// The log version of its first command.
    #[serde(rename = "since")]
    pub created_at: u64,
    /// The log version at which it ended.
    #[serde(rename = "until")]
    pub ended_at: u64,
    /// The index of its last term, counted from 0.
    #[serde(rename = "terms")]
    pub term_index: u32,
    /// Why it ended.
    #[serde(rename = "why")]
    pub reason: EndReason,
    /// The last vote on it.
    #[serde(rename = "case")]
    pub vote_result: VoteResult,
}

/// The replicated state of all verdicts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VerdictState {
    /// The log version at which they last changed.
    version: u64,
    entries: BTreeMap<String, VerdictEntry>,
    #[serde(rename = "past")]
    ended: VecDeque<EndedVerdict>,
}

/// Returns the policy's vote settings, if it enables votes. Settings that are invalid disable them.
pub fn vote_settings(policy: &Policy) -> Option<VoteSettings> {
    let settings: VoteSettings = serde_json::from_value(policy.0.get("Votes")?.clone()).ok()?;
    settings.check().ok().map(|()| settings)
}

/// Returns the cap, if the policy enables votes, without parsing any other field; the default if it is missing or invalid.
fn removal_cap(policy: &Policy) -> Option<f64> {
    let cap = policy.0.get("Votes")?.as_object()?.get("Cap").and_then(Value::as_f64);
    Some(cap.filter(|cap| *cap > 0.0 && *cap <= 1.0).unwrap_or(VoteSettings::default().removal_cap))
}

/// Returns how many servers of a zone may be removed at the same time, given the number that are up.
pub fn max_removed(cap: f64, up_servers: u32) -> usize {
    // The epsilon absorbs floating-point rounding errors.
    (cap * f64::from(up_servers) + 1e-9) as usize
}

impl VerdictState {
    /// Applies a command at a version of the log; `policy` is the agreed one at this entry.
    pub fn apply(&mut self, version: u64, command: &VerdictCommand, policy: &Policy) -> Outcome {
        let Some(cap) = removal_cap(policy) else { return Outcome::Obsolete };
        match command {
            VerdictCommand::Remove { server, born_ms, zone, zones, up_servers, term_index, vote_result } => {
                let too_long = |name: &String| name.len() > MAX_NAME_BYTES;
                let current = self.entries.get(server).filter(|entry| entry.born_ms == *born_ms);
                if current.is_some_and(|entry| is_covered(zones, &entry.zones)) {
                    return Outcome::Done;
                }
                let is_new = !self.entries.contains_key(server);
                if !born_ms.is_finite()
                    || too_long(server)
                    || too_long(zone)
                    || zones.len() > MAX_ZONES
                    || zones.iter().any(too_long)
                    || (is_new && self.entries.len() >= MAX_VERDICTS)
                {
                    return Outcome::LimitExceeded;
                }
                let others =
                    self.entries.iter().filter(|(other, entry)| *other != server && entry.zone == *zone);
                if others.count() >= max_removed(cap, *up_servers) {
                    return Outcome::CapReached;
                }
                let (created_at, up_servers, zones) = match current {
                    Some(entry) => (entry.created_at, entry.up_servers, union_of_zones(zones, &entry.zones)),
                    None => (version, *up_servers, zones.clone()),
                };
                if current.is_none() {
                    self.end(version, server, EndReason::Restarted, None);
                }
                let entry = VerdictEntry {
                    born_ms: *born_ms,
                    zone: zone.clone(),
                    zones,
                    up_servers,
                    created_at,
                    changed_at: version,
                    term_index: (*term_index).min(MAX_TERM_INDEX),
                    probers: Vec::new(),
                    vote_result: truncated(vote_result),
                };
                self.entries.insert(server.clone(), entry);
            }
            VerdictCommand::Probe { server, changed_at, probers } => {
                let Some(entry) = self.entry_mut(server, *changed_at) else { return Outcome::Obsolete };
                let names = probers.iter().filter(|name| name.len() <= MAX_NODE_NAME_BYTES);
                entry.probers = names.take(MAX_PROBERS).cloned().collect();
                entry.changed_at = version;
            }
            VerdictCommand::Extend { server, changed_at, vote_result } => {
                let Some(entry) = self.entry_mut(server, *changed_at) else { return Outcome::Obsolete };
                entry.probers.clear();
                (entry.changed_at, entry.vote_result) = (version, truncated(vote_result));
                entry.term_index = (entry.term_index + 1).min(MAX_TERM_INDEX);
            }
            VerdictCommand::Return { server, changed_at, reason, vote_result } => {
                if self.entry_mut(server, *changed_at).is_none() {
                    return Outcome::Obsolete;
                }
                self.end(version, server, *reason, vote_result.as_ref());
            }
        }
        self.version = version;
        Outcome::Done
    }

    /// Ends the verdicts that the policy agreed at this version does not allow.
    pub fn apply_policy(&mut self, version: u64, policy: &Policy) {
        let cap = removal_cap(policy);
        let mut newest_first: Vec<(u64, String)> =
            self.entries.iter().map(|(server, entry)| (entry.created_at, server.clone())).collect();
        newest_first.sort_unstable_by(|a, b| b.cmp(a));
        // A zone's number of servers is taken from the newest verdict there.
        let mut up_by_zone = BTreeMap::new();
        for (_, server) in newest_first {
            let entry = &self.entries[&server];
            let up_servers = *up_by_zone.entry(entry.zone.clone()).or_insert(entry.up_servers);
            let reason = match cap {
                None => EndReason::VotesDisabled,
                Some(cap) if self.removed_count(&entry.zone) > max_removed(cap, up_servers) => {
                    EndReason::CapReduced
                }
                Some(_) => continue,
            };
            self.end(version, &server, reason, None);
            self.version = version;
        }
    }

    /// Returns the verdicts in force, ordered by server.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = (&String, &VerdictEntry)> {
        self.entries.iter()
    }

    /// Returns the verdict on a server.
    pub fn get(&self, server: &str) -> Option<&VerdictEntry> {
        self.entries.get(server)
    }

    /// Returns how many of a zone's servers are removed.
    pub fn removed_count(&self, zone: &str) -> usize {
        self.entries.values().filter(|entry| entry.zone == zone).count()
    }

    /// Returns the last ended verdicts, newest last.
    pub fn ended(&self) -> impl DoubleEndedIterator<Item = &EndedVerdict> {
        self.ended.iter()
    }

    /// Returns the log version at which the verdicts last changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the verdicts in force as they are sent to nodes.
    pub fn in_force(&self) -> Verdicts {
        let verdict = |(server, entry): (&String, &VerdictEntry)| Verdict {
            server: server.clone(),
            born_ms: entry.born_ms,
            zones: entry.zones.clone(),
            probers: entry.probers.clone(),
        };
        Verdicts { version: self.version, verdicts: self.entries.iter().map(verdict).collect() }
    }

    fn entry_mut(&mut self, server: &str, changed_at: u64) -> Option<&mut VerdictEntry> {
        self.entries.get_mut(server).filter(|entry| entry.changed_at == changed_at)
    }

    fn end(&mut self, version: u64, server: &str, reason: EndReason, vote_result: Option<&VoteResult>) {
        let Some(entry) = self.entries.remove(server) else { return };
        self.ended.push_back(EndedVerdict {
            server: server.to_owned(),
            born_ms: entry.born_ms,
            zone: entry.zone,
            zones: entry.zones,
            created_at: entry.created_at,
            ended_at: version,
            term_index: entry.term_index,
            reason,
            vote_result: vote_result.map_or(entry.vote_result, truncated),
        });
        if self.ended.len() > MAX_ENDED_VERDICTS {
            self.ended.pop_front();
        }
    }
}

/// Returns whether a verdict for `existing` zones also covers `zones`; empty means all zones.
fn is_covered(zones: &[String], existing: &[String]) -> bool {
    existing.is_empty() || (!zones.is_empty() && zones.iter().all(|zone| existing.contains(zone)))
}

/// Returns the zones that either verdict applies to; empty means all zones.
fn union_of_zones(zones: &[String], others: &[String]) -> Vec<String> {
    if zones.is_empty() || others.is_empty() {
        return Vec::new();
    }
    let all: BTreeSet<&String> = zones.iter().chain(others).collect();
    all.into_iter().take(MAX_ZONES).cloned().collect()
}

/// Returns the result with its lists truncated to their limits.
fn truncated(result: &VoteResult) -> VoteResult {
    let truncate = |side: &VoteSide| {
        let names = side.voter_names.iter().filter(|name| name.len() <= MAX_NODE_NAME_BYTES);
        let voter_names = names.take(MAX_NAMED_VOTERS).cloned().collect();
        VoteSide { voter_names, ..side.clone() }
    };
    VoteResult { in_favor: truncate(&result.in_favor), against: truncate(&result.against) }
}
