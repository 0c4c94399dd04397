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

use member::votes::{Evidence, Verdict, Verdicts as Told, VoteSettings, MAX_NAME_BYTES, MAX_ZONES};
use member::Policy;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::command::{Outcome, VerdictCommand};
use crate::roster::NAME_MOST;

/// The most verdicts in force.
pub const VERDICTS_MOST: usize = 256;
/// How many ended verdicts are kept.
pub const HISTORY: usize = 64;
/// The most nodes that probe a server.
pub const PROBERS_MOST: usize = 16;
/// How many voters of each side a case names.
pub const NAMED: usize = 16;
/// The most terms that are counted of one verdict.
pub const TERMS_MOST: u32 = 1000;

/// What one side said of a server.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Side {
    /// How many voters.
    pub voters: u32,
    /// What their evidence weighs together.
    pub weight: u32,
    /// How many failures that counts.
    pub failed: u32,
    /// Their evidence, added up.
    pub evidence: Evidence,
    /// Who; those whose evidence weighs most, [`NAMED`] at most.
    pub named: Vec<String>,
}

/// What was voted of a server, for operators.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Case {
    /// For its removal, or for its staying removed.
    #[serde(rename = "for")]
    pub favour: Side,
    /// Against.
    pub against: Side,
}

/// Why a verdict ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// Those that probed it are for its return.
    Probed,
    /// None of those that were to probe it has said anything: without a vote nobody stays removed.
    Unprobed,
    /// It has started anew.
    Restarted,
    /// The cap has become smaller, as there are fewer servers or as operators say.
    Cap,
    /// The agreed policy has no votes any more.
    Off,
}

/// A verdict in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// When the process started that it is about.
    pub born_ms: f64,
    /// The server's zone.
    pub zone: String,
    /// It holds for nodes of these zones alone; for all where there are none.
    pub zones: Vec<String>,
    /// Servers up in its zone when it was written.
    pub up: u32,
    /// The version of the log that it came at.
    pub since: u64,
    /// The version that it last changed at.
    pub at: u64,
    /// Its how manieth term this is, counted from 0.
    pub terms: u32,
    /// Who probes the server; nobody while the term lasts.
    pub probers: Vec<String>,
    /// What was voted last.
    pub case: Case,
}

/// How a verdict ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Past {
    /// The server.
    pub server: String,
    /// When the process started that it was about.
    pub born_ms: f64,
    /// The server's zone.
    pub zone: String,
    /// The zones that it held in; all where there are none.
    pub zones: Vec<String>,
    /// The versions of the log that it came and ended at.
    pub since: u64,
    /// See `since`.
    pub until: u64,
    /// How many terms it had, counted from 0.
    pub terms: u32,
    /// Why it ended.
    pub why: Why,
    /// What was voted last.
    pub case: Case,
}

/// What is agreed on servers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Verdicts {
    /// The version that they last changed at.
    version: u64,
    entries: BTreeMap<String, Entry>,
    past: VecDeque<Past>,
}

/// The figures of the votes, where the policy has them on. One that can't be read has them off.
pub fn figures(policy: &Policy) -> Option<VoteSettings> {
    let figures: VoteSettings = serde_json::from_value(policy.0.get("Votes")?.clone()).ok()?;
    figures.check().ok().map(|()| figures)
}

/// The cap alone, where the policy has votes on.
fn cap(policy: &Policy) -> Option<f64> {
    let cap = policy.0.get("Votes")?.as_object()?.get("Cap").and_then(Value::as_f64);
    Some(cap.filter(|cap| *cap > 0.0 && *cap <= 1.0).unwrap_or(VoteSettings::default().removal_cap))
}

/// How many of a zone's servers may be removed at a time, of so many that are up.
pub fn allowed(cap: f64, up: u32) -> usize {
    (cap * f64::from(up) + 1e-9) as usize
}

impl Verdicts {
    /// Takes a command at a version of the log; `policy` is the agreed one at this entry.
    pub fn apply(&mut self, version: u64, command: &VerdictCommand, policy: &Policy) -> Outcome {
        let Some(cap) = cap(policy) else { return Outcome::Over };
        match command {
            VerdictCommand::Remove { server, born_ms, zone, zones, up, terms, case } => {
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
                    || (new && self.entries.len() >= VERDICTS_MOST)
                {
                    return Outcome::TooMuch;
                }
                let others =
                    self.entries.iter().filter(|(other, entry)| *other != server && entry.zone == *zone);
                if others.count() >= allowed(cap, *up) {
                    return Outcome::Capped;
                }
                let (since, up, zones) = match known {
                    Some(entry) => (entry.since, entry.up, both(zones, &entry.zones)),
                    None => (version, *up, zones.clone()),
                };
                if known.is_none() {
                    self.end(version, server, Why::Restarted, None);
                }
                let entry = Entry {
                    born_ms: *born_ms,
                    zone: zone.clone(),
                    zones,
                    up,
                    since,
                    at: version,
                    terms: (*terms).min(TERMS_MOST),
                    probers: Vec::new(),
                    case: bounded(case),
                };
                self.entries.insert(server.clone(), entry);
            }
            VerdictCommand::Probe { server, at, probers } => {
                let Some(entry) = self.entry(server, *at) else { return Outcome::Over };
                let names = probers.iter().filter(|name| name.len() <= NAME_MOST);
                entry.probers = names.take(PROBERS_MOST).cloned().collect();
                entry.at = version;
            }
            VerdictCommand::Extend { server, at, case } => {
                let Some(entry) = self.entry(server, *at) else { return Outcome::Over };
                entry.probers.clear();
                (entry.at, entry.case) = (version, bounded(case));
                entry.terms = (entry.terms + 1).min(TERMS_MOST);
            }
            VerdictCommand::Return { server, at, why, case } => {
                if self.entry(server, *at).is_none() {
                    return Outcome::Over;
                }
                self.end(version, server, *why, case.as_ref());
            }
        }
        self.version = version;
        Outcome::Done
    }

    /// The agreed policy may be another one from this version on.
    pub fn policy(&mut self, version: u64, policy: &Policy) {
        let cap = cap(policy);
        let mut newest: Vec<(u64, String)> =
            self.entries.iter().map(|(server, entry)| (entry.since, server.clone())).collect();
        newest.sort_unstable_by(|a, b| b.cmp(a));
        // What is up in a zone is what the newest one there says.
        let mut ups = BTreeMap::new();
        for (_, server) in newest {
            let entry = &self.entries[&server];
            let up = *ups.entry(entry.zone.clone()).or_insert(entry.up);
            let why = match cap {
                None => Why::Off,
                Some(cap) if self.removed(&entry.zone) > allowed(cap, up) => Why::Cap,
                Some(_) => continue,
            };
            self.end(version, &server, why, None);
            self.version = version;
        }
    }

    /// Those in force, in the order of servers.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = (&String, &Entry)> {
        self.entries.iter()
    }

    /// The one about a server.
    pub fn get(&self, server: &str) -> Option<&Entry> {
        self.entries.get(server)
    }

    /// How many of a zone's servers are removed.
    pub fn removed(&self, zone: &str) -> usize {
        self.entries.values().filter(|entry| entry.zone == zone).count()
    }

    /// How the last ones ended, newest last.
    pub fn past(&self) -> impl DoubleEndedIterator<Item = &Past> {
        self.past.iter()
    }

    /// The version that they last changed at.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What nodes are told.
    pub fn told(&self) -> Told {
        let verdict = |(server, entry): (&String, &Entry)| Verdict {
            server: server.clone(),
            born_ms: entry.born_ms,
            zones: entry.zones.clone(),
            probers: entry.probers.clone(),
        };
        Told { version: self.version, verdicts: self.entries.iter().map(verdict).collect() }
    }

    fn entry(&mut self, server: &str, at: u64) -> Option<&mut Entry> {
        self.entries.get_mut(server).filter(|entry| entry.at == at)
    }

    fn end(&mut self, version: u64, server: &str, why: Why, case: Option<&Case>) {
        let Some(entry) = self.entries.remove(server) else { return };
        self.past.push_back(Past {
            server: server.to_owned(),
            born_ms: entry.born_ms,
            zone: entry.zone,
            zones: entry.zones,
            since: entry.since,
            until: version,
            terms: entry.terms,
            why,
            case: case.map_or(entry.case, bounded),
        });
        if self.past.len() > HISTORY {
            self.past.pop_front();
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
fn bounded(case: &Case) -> Case {
    let side = |side: &Side| {
        let named = side.named.iter().filter(|name| name.len() <= NAME_MOST).take(NAMED).cloned().collect();
        Side { named, ..side.clone() }
    };
    Case { favour: side(&case.favour), against: side(&case.against) }
}
