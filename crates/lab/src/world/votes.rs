//! Votes on servers: what is wrong with each, what the group says of it, and what a liar would say.

use std::collections::BTreeMap;

use member::votes::{Ballot, Evidence, Vote, VoteSettings, MAX_BALLOTS};

use super::*;
use crate::removals::{Told, VoteFigures, Word};

/// What a liar claims to have seen of each server.
const CLAIMED: u32 = 1000;

/// How long evidence on a server counts by the policies of a plan, ballots' own time with it.
pub(super) fn grace(draw: &Draw) -> Us {
    let figures = draw.faults.iter().filter_map(|f| f.policy.get("Votes"));
    let figures = figures.filter_map(|told| serde_json::from_value::<VoteSettings>(told.clone()).ok());
    let spans = figures.map(|f| crate::draw::ms(f.evidence_window + f.ballot_ttl));
    spans.max().unwrap_or(0)
}

impl World {
    /// Does a policy of the plan let nodes vote on servers?
    pub fn votes_wanted(&self) -> bool {
        self.draw.faults.iter().any(|f| f.policy.contains_key("Votes"))
    }

    /// Looks at what is wrong with each server, after anything that may have changed it.
    pub(super) fn look_over(&mut self) {
        for server in 0..self.servers.len() {
            for zone in 0..self.draw.zones.len() {
                let wrong = self.ails(server, zone);
                self.removals.ails(self.now, server, zone, wrong);
            }
        }
    }

    fn ails(&self, server: usize, zone: usize) -> bool {
        let place = &self.servers[server];
        let (late, _, garbled) = place.gray;
        let (to, from) = (self.links[zone][place.spec.zone], self.links[place.spec.zone][zone]);
        place.power != Power::Up
            || place.slower > 1.0
            || [place.taken, place.errors, place.build, place.resets, late, garbled].iter().any(|s| *s > 0.0)
            || [to, from].iter().any(|link| link.cuts > 0 || link.us_per_byte > 0.0)
    }

    /// What the group says of servers by now.
    pub fn group_says(&mut self, now: Us, word: Word) {
        self.advance(now);
        let numbers: BTreeMap<String, usize> =
            (0..self.servers.len()).map(|server| (name_of(&self.draw, server), server)).collect();
        // Nodes heed no verdict about another process than the one that is listed.
        let anew = |name: &str, born_ms| self.born_ms(name).is_some_and(|listed| listed != born_ms);
        let told = word.verdicts.into_iter().filter(|(name, born_ms, ..)| !anew(name, *born_ms)).map(
            |(name, born_ms, zones, probed)| Told {
                server: numbers.get(&name).copied(),
                name,
                born_ms,
                zones: (!zones.is_empty()).then(|| {
                    (0..self.draw.zones.len()).filter(|z| zones.contains(&self.draw.zones[*z])).collect()
                }),
                probed,
            },
        );
        self.removals.told(now, told.collect());
    }

    /// What came of votes on servers; `None` where the group was never heard of them.
    pub fn votes(&self) -> Option<VoteFigures> {
        self.removals.figures()
    }

    /// How many servers of each zone are listed as in service.
    pub fn up(&self) -> Vec<(String, u32)> {
        let mut up = BTreeMap::new();
        for entry in (0..self.servers.len()).filter_map(|server| self.active(server)) {
            *up.entry(entry.zone.clone()).or_default() += 1;
        }
        up.into_iter().collect()
    }

    fn active(&self, server: usize) -> Option<&Entry> {
        self.list.newest(server).filter(|entry| entry.health == Health::Active)
    }

    /// A ballot on a server as it is listed, where it is in service.
    pub fn ballot(&self, server: usize, vote: Vote, evidence: Evidence) -> Option<Ballot> {
        let Entry { name, zone, born_ms, .. } = self.active(server)?.clone();
        Some(Ballot { server: name, born_ms, zone, vote, evidence })
    }

    /// When the process started that is listed by a name.
    pub fn born_ms(&self, name: &str) -> Option<f64> {
        let listed = (0..self.servers.len()).filter_map(|server| self.list.newest(server));
        listed.filter(|entry| entry.name == name).map(|entry| entry.born_ms).next()
    }

    /// What a liar says: servers up, and ballots for the removal of those of `targets`.
    pub fn lies(&self, targets: &[usize]) -> (Vec<(String, u32)>, Vec<Ballot>) {
        let evidence = Evidence { attempts: CLAIMED, errors: CLAIMED, ..Evidence::default() };
        let ballots = targets.iter().filter_map(|server| self.ballot(*server, Vote::For, evidence));
        (self.up(), ballots.take(MAX_BALLOTS).collect())
    }
}
