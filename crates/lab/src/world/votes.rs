//! Votes on servers: what is wrong with each, what the group says of it, and what a liar would say.

use std::collections::BTreeMap;

use member::votes::{Ballot, Evidence, Figures, Stand, BALLOTS_MOST};

use super::*;
use crate::removals::{Told, VoteFigures, Word};

/// What a liar claims to have seen of each server.
const CLAIMED: u32 = 1000;

/// How long evidence on a server counts by the policies of a plan, ballots' own time with it.
pub(super) fn grace(draw: &Draw) -> Us {
    let figures = draw.faults.iter().filter_map(|f| f.policy.get("Votes"));
    let figures = figures.filter_map(|told| serde_json::from_value::<Figures>(told.clone()).ok());
    let spans = figures.map(|f| crate::draw::ms(f.window + f.ballot));
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
        let told = word.verdicts.into_iter().map(|(name, born_ms, zones, probed)| Told {
            server: numbers.get(&name).copied(),
            name,
            born_ms,
            zones: (!zones.is_empty()).then(|| {
                (0..self.draw.zones.len()).filter(|z| zones.contains(&self.draw.zones[*z])).collect()
            }),
            probed,
        });
        self.removals.told(now, told.collect());
    }

    /// What came of votes on servers; `None` where the group was never heard of them.
    pub fn votes(&self) -> Option<VoteFigures> {
        self.removals.figures()
    }

    /// How many servers of each zone are listed as in service, and ballots for the removal of those of `targets`.
    pub fn lies(&self, targets: &[usize]) -> (Vec<(String, u32)>, Vec<Ballot>) {
        let listed =
            || (0..self.servers.len()).filter_map(|server| Some((server, self.list.newest(server)?)));
        let active = || listed().filter(|(_, entry)| entry.health == Health::Active);
        let mut up = BTreeMap::new();
        for (_, entry) in active() {
            *up.entry(entry.zone.clone()).or_default() += 1;
        }
        let evidence = Evidence { attempts: CLAIMED, errors: CLAIMED, ..Evidence::default() };
        let ballots = active().filter(|(server, _)| targets.contains(server)).map(|(_, entry)| Ballot {
            server: entry.name.clone(),
            born_ms: entry.born_ms,
            zone: entry.zone.clone(),
            stand: Stand::For,
            evidence,
        });
        (up.into_iter().collect(), ballots.take(BALLOTS_MOST).collect())
    }
}
