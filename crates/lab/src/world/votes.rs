//! Votes on servers: which servers are faulty, the group's verdicts, and the report of a faulty voter.

use std::collections::BTreeMap;

use member::votes::{Ballot, Evidence, Vote, VoteSettings, MAX_BALLOTS};

use super::*;
use crate::removals::{GroupVerdicts, ReportedRemoval, VoteMetrics};

/// Number of attempts and errors that a faulty voter reports for each server.
const CLAIMED_ATTEMPTS: u32 = 1000;

/// How long evidence on a server counts under the policies of a plan, plus the lifetime of a ballot.
pub(super) fn evidence_lifetime(draw: &Draw) -> Us {
    let settings = draw.faults.iter().filter_map(|f| f.policy.get("Votes"));
    let settings = settings.filter_map(|value| serde_json::from_value::<VoteSettings>(value.clone()).ok());
    let lifetimes = settings.map(|s| crate::draw::us_from_ms(s.evidence_window + s.ballot_ttl));
    lifetimes.max().unwrap_or(0)
}

impl World {
    /// Whether a policy of the plan enables votes on servers.
    pub fn voting_enabled(&self) -> bool {
        self.draw.faults.iter().any(|f| f.policy.contains_key("Votes"))
    }

    /// Updates which servers are faulty for which zones, after anything that may have changed it.
    pub(super) fn update_faulty_servers(&mut self) {
        for server in 0..self.servers.len() {
            for zone in 0..self.draw.zones.len() {
                let faulty = self.is_faulty(server, zone);
                self.removals.set_faulty(self.now, server, zone, faulty);
            }
        }
    }

    fn is_faulty(&self, server: usize, zone: usize) -> bool {
        let instance = &self.servers[server];
        let (late_share, _, truncated_share) = instance.gray_failure;
        let (to, from) = (self.links[zone][instance.spec.zone], self.links[instance.spec.zone][zone]);
        instance.process_state != ProcessState::Up
            || instance.slowdown > 1.0
            || [
                instance.stolen_share,
                instance.error_rate,
                instance.release_error_rate,
                instance.reset_rate,
                late_share,
                truncated_share,
            ]
            .iter()
            .any(|s| *s > 0.0)
            || [to, from].iter().any(|link| link.cuts > 0 || link.us_per_byte > 0.0)
    }

    /// Records the group's current verdicts on servers.
    pub fn record_verdicts(&mut self, now: Us, group: GroupVerdicts) {
        self.advance(now);
        let numbers: BTreeMap<String, usize> =
            (0..self.servers.len()).map(|server| (name_of(&self.draw, server), server)).collect();
        // Nodes ignore a verdict about a process other than the listed one.
        let restarted = |name: &str, born_ms| self.born_ms(name).is_some_and(|listed| listed != born_ms);
        let removals =
            group.verdicts.into_iter().filter(|(name, born_ms, ..)| !restarted(name, *born_ms)).map(
                |(name, born_ms, zones, probed)| ReportedRemoval {
                    server: numbers.get(&name).copied(),
                    name,
                    born_ms,
                    zones: (!zones.is_empty()).then(|| {
                        (0..self.draw.zones.len()).filter(|z| zones.contains(&self.draw.zones[*z])).collect()
                    }),
                    probed,
                },
            );
        self.removals.record_verdicts(now, removals.collect());
    }

    /// Metrics of the votes on servers; `None` if the group never had verdicts.
    pub fn vote_metrics(&self) -> Option<VoteMetrics> {
        self.removals.metrics()
    }

    /// Number of servers listed as in service, by zone.
    pub fn active_by_zone(&self) -> Vec<(String, u32)> {
        let mut active = BTreeMap::new();
        for entry in (0..self.servers.len()).filter_map(|server| self.active_entry(server)) {
            *active.entry(entry.zone.clone()).or_default() += 1;
        }
        active.into_iter().collect()
    }

    fn active_entry(&self, server: usize) -> Option<&ServerEntry> {
        self.list.newest_entry(server).filter(|entry| entry.health == Health::Active)
    }

    /// Creates a ballot on a server as it is listed; `None` if it is not in service.
    pub fn ballot(&self, server: usize, vote: Vote, evidence: Evidence) -> Option<Ballot> {
        let ServerEntry { name, zone, born_ms, .. } = self.active_entry(server)?.clone();
        Some(Ballot { server: name, born_ms, zone, vote, evidence })
    }

    /// Start time of the process that is listed under a name.
    pub fn born_ms(&self, name: &str) -> Option<f64> {
        let listed = (0..self.servers.len()).filter_map(|server| self.list.newest_entry(server));
        listed.filter(|entry| entry.name == name).map(|entry| entry.born_ms).next()
    }

    /// Report of a faulty voter: the number of servers in service, and ballots for the removal of all `targets`.
    pub fn false_vote_report(&self, targets: &[usize]) -> (Vec<(String, u32)>, Vec<Ballot>) {
        let evidence =
            Evidence { attempts: CLAIMED_ATTEMPTS, errors: CLAIMED_ATTEMPTS, ..Evidence::default() };
        let ballots = targets.iter().filter_map(|server| self.ballot(*server, Vote::For, evidence));
        (self.active_by_zone(), ballots.take(MAX_BALLOTS).collect())
    }
}
