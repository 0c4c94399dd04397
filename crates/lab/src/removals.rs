//! The judge of votes on servers: what was wrong with each server for the nodes of each zone, against what the group
//! said of it.
//!
//! A removal is right where something was wrong with the server for the nodes of every zone that it holds in, at that
//! moment or so shortly before that the evidence still counted. Times are as seen by whoever asks the replicas now and
//! then, so they are late by up to that interval.
//!
//! Rejected: a rule that a node sends nothing to what it was told is removed. The lab sees neither which answers to beats
//! reached a node nor how many servers a node would have left, and with too few, or with an old word of the group, it
//! rightly heeds none. Such attempts are counted as a figure instead.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::server::Us;

/// How long after a removal was first seen nodes may still send as if they had not heard of it.
const HEARD_WITHIN: Us = 1_000_000;

/// A span in which something was wrong.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: Us,
    until: Option<Us>,
}

/// What the group says of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedRemoval {
    /// Its name.
    pub name: String,
    /// Its number; `None` where there is no such server.
    pub server: Option<usize>,
    /// The start of the process that is meant.
    pub born_ms: f64,
    /// The zones whose nodes it is removed for; `None`: all.
    pub zones: Option<Vec<usize>>,
    /// Some nodes send to it again, to see how it does.
    pub probed: bool,
}

impl ReportedRemoval {
    fn same(&self, other: &Self) -> bool {
        (&self.name, self.born_ms, &self.zones) == (&other.name, other.born_ms, &other.zones)
    }
}

/// A removal, from when it was first seen until it was seen no more.
#[derive(Clone, Debug)]
struct Seen {
    told: ReportedRemoval,
    from: Us,
    until: Option<Us>,
    /// What was wrong: the places of the spans by zone; `None` where the removal was wrong.
    for_spans: Option<Vec<(usize, usize)>>,
    /// It is the first one for what was wrong.
    first: bool,
}

/// All that was wrong, and all removals.
#[derive(Debug)]
pub struct RemovalReferee {
    /// How long evidence counts.
    grace: Us,
    zones: Vec<String>,
    /// By server and zone of nodes.
    spans: BTreeMap<(usize, usize), Vec<Span>>,
    seen: Vec<Seen>,
    /// When the group was last heard.
    heard: Option<Us>,
    late: u64,
}

impl RemovalReferee {
    /// Nothing is wrong yet; evidence counts for so long, and nodes are in these zones.
    pub fn new(grace: Us, zones: &[String]) -> Self {
        Self { grace, zones: zones.to_vec(), spans: BTreeMap::new(), seen: Vec::new(), heard: None, late: 0 }
    }

    /// Whether something is wrong with a server for the nodes of a zone from now on.
    pub fn set_faulty(&mut self, now: Us, server: usize, zone: usize, wrong: bool) {
        if wrong == self.is_faulty(server, zone) {
            return;
        }
        let spans = self.spans.entry((server, zone)).or_default();
        match spans.last_mut().filter(|_| !wrong) {
            Some(last) => last.until = Some(now),
            None => spans.push(Span { from: now, until: None }),
        }
    }

    /// Is something wrong with a server for the nodes of a zone?
    pub fn is_faulty(&self, server: usize, zone: usize) -> bool {
        let last = self.spans.get(&(server, zone)).and_then(|spans| spans.last());
        last.is_some_and(|span| span.until.is_none())
    }

    /// The newest word of the group: all removals in force.
    pub fn record_verdicts(&mut self, now: Us, told: Vec<ReportedRemoval>) {
        self.heard = Some(now);
        for seen in self.seen.iter_mut().filter(|s| s.until.is_none()) {
            match told.iter().find(|t| t.same(&seen.told)) {
                Some(newer) => seen.told.probed = newer.probed,
                None => seen.until = Some(now),
            }
        }
        for told in told {
            if !self.seen.iter().any(|s| s.until.is_none() && s.told.same(&told)) {
                let for_spans = self.spans_of(now, &told);
                let first =
                    !self.seen.iter().any(|s| s.told.server == told.server && s.for_spans == for_spans);
                self.seen.push(Seen { told, from: now, until: None, for_spans, first });
            }
        }
    }

    /// What was wrong with a server for the nodes of each zone that a removal holds in.
    fn spans_of(&self, now: Us, told: &ReportedRemoval) -> Option<Vec<(usize, usize)>> {
        let server = told.server?;
        let zones = told.zones.clone().unwrap_or_else(|| (0..self.zones.len()).collect());
        let counts = |span: &Span| span.until.is_none_or(|until| until + self.grace >= now);
        zones
            .into_iter()
            .map(|zone| {
                let spans = self.spans.get(&(server, zone))?;
                let last = spans.len().checked_sub(1).filter(|last| counts(&spans[*last]))?;
                Some((zone, last))
            })
            .collect()
    }

    /// A node of a zone sends something to a server.
    pub fn record_attempt(&mut self, now: Us, server: usize, zone: usize) {
        let heard = self.heard.is_some_and(|heard| heard + HEARD_WITHIN >= now);
        let off = |s: &Seen| {
            s.until.is_none()
                && s.told.server == Some(server)
                && s.told.zones.as_ref().is_none_or(|zones| zones.contains(&zone))
                && !s.told.probed
                && now > s.from + HEARD_WITHIN
        };
        self.late += u64::from(heard && self.seen.iter().any(off));
    }

    /// The figures; `None` where the group was never heard of servers.
    pub fn metrics(&self) -> Option<VoteMetrics> {
        self.heard?;
        let mut bad: Vec<usize> = self.spans.keys().map(|(server, _)| *server).collect();
        bad.dedup();
        let removals: Vec<Removal> = self.seen.iter().map(|seen| self.removal(seen)).collect();
        let wrong = removals.iter().filter(|r| r.wrong).count();
        let mut right: Vec<&String> = removals.iter().filter(|r| !r.wrong).map(|r| &r.server).collect();
        right.sort_unstable();
        right.dedup();
        Some(VoteMetrics {
            faulty: bad.len(),
            removed: right.len(),
            wrong_removals: wrong,
            attempts_after_removal: self.late,
            removals,
        })
    }

    fn removal(&self, seen: &Seen) -> Removal {
        let (told, of) = (&seen.told, seen.for_spans.as_ref());
        let spans =
            || of.zip(told.server).into_iter().flat_map(|(of, server)| of.iter().map(move |o| (server, o)));
        let spans = || spans().map(|(server, (zone, place))| self.spans[&(server, *zone)][*place]);
        let mended = spans().map(|span| span.until).collect::<Option<Vec<_>>>().unwrap_or_default();
        let mended = mended.into_iter().max().filter(|at| seen.until.is_none_or(|until| until >= *at));
        let ms = |us: Us| us as f64 / 1e3;
        let zones = told.zones.as_ref().map_or(&[][..], |zones| zones);
        Removal {
            server: told.name.clone(),
            zones: zones.iter().map(|zone| self.zones[*zone].clone()).collect(),
            at_s: seen.from as f64 / 1e6,
            until_s: seen.until.map(|at| at as f64 / 1e6),
            wrong: of.is_none(),
            remove_ms: spans().map(|s| s.from).min().filter(|_| seen.first).map(|at| ms(seen.from - at)),
            mended: mended.is_some(),
            return_ms: mended.zip(seen.until).map(|(mended, until)| ms(until - mended)),
        }
    }
}

/// What came of votes on servers.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VoteMetrics {
    /// Servers that something was wrong with at some time, for nodes of some zone.
    #[serde(rename = "bad")]
    pub faulty: usize,
    /// Of those, how many were removed for it.
    pub removed: usize,
    /// Removals of servers that nothing was wrong with.
    #[serde(rename = "wrong")]
    pub wrong_removals: usize,
    /// Attempts at servers over a second after their removal was seen, but for the time in which they were probed. A
    /// node that heeds no verdict for lack of servers or of the group's word is counted here too.
    #[serde(rename = "late")]
    pub attempts_after_removal: u64,
    /// All removals, in the order in which they were seen.
    pub removals: Vec<Removal>,
}

impl VoteMetrics {
    /// From when something was wrong until the removal, the longest; `None` where nothing was removed for it.
    pub fn remove_ms(&self) -> Option<f64> {
        self.removals.iter().filter_map(|r| r.remove_ms).reduce(f64::max)
    }

    /// From when a removed server was mended until it was back, the longest; `None` where one stayed away to the end, or
    /// none was mended.
    pub fn return_ms(&self) -> Option<f64> {
        let back: Option<Vec<f64>> = self.removals.iter().filter(|r| r.mended).map(|r| r.return_ms).collect();
        back?.into_iter().reduce(f64::max)
    }
}

/// A removal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Removal {
    /// The server.
    pub server: String,
    /// The zones whose nodes it was removed for; all where there are none.
    pub zones: Vec<String>,
    /// When it was first seen.
    pub at_s: f64,
    /// When it was seen no more; `None` where it was there to the end.
    pub until_s: Option<f64>,
    /// Nothing was wrong with the server for the nodes of one of these zones.
    pub wrong: bool,
    /// From when something was wrong until it was seen; only for the first removal for the same thing.
    pub remove_ms: Option<f64>,
    /// The server was mended while it was removed.
    pub mended: bool,
    /// From then until it was seen no more.
    pub return_ms: Option<f64>,
}

/// The group's word of servers, as a replica tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupVerdicts {
    /// The log's version that it is of.
    pub version: u64,
    /// Server, start of its process, zones, and whether it is probed.
    pub verdicts: Vec<(String, f64, Vec<String>, bool)>,
}

impl GroupVerdicts {
    /// Reads what `GET /v1/verdicts` answers; further fields are no matter. `None` where it is no such answer.
    pub fn read(answer: &Value) -> Option<Self> {
        let verdicts = answer["removed"].as_object()?.iter().map(|(server, entry)| {
            let list = |name: &str| entry[name].as_array().into_iter().flatten().filter_map(Value::as_str);
            let zones = list("zones").map(String::from).collect();
            (
                server.clone(),
                entry["born_ms"].as_f64().unwrap_or(0.0),
                zones,
                list("probers").next().is_some(),
            )
        });
        Some(Self { version: answer["version"].as_u64().unwrap_or(0), verdicts: verdicts.collect() })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    const S: Us = 1_000_000;

    fn told(server: usize, zones: Option<&[usize]>) -> ReportedRemoval {
        let zones = zones.map(<[usize]>::to_vec);
        ReportedRemoval {
            name: format!("s{server}"),
            server: Some(server),
            born_ms: 0.0,
            zones,
            probed: false,
        }
    }

    fn judge() -> RemovalReferee {
        RemovalReferee::new(5 * S, &["a".into(), "b".into()])
    }

    /// Something is wrong with a server for the nodes of these zones, from and until.
    fn ails(judge: &mut RemovalReferee, server: usize, zones: &[usize], from: Us, until: Us) {
        for zone in zones {
            judge.set_faulty(from, server, *zone, true);
            judge.set_faulty(until, server, *zone, false);
        }
    }

    #[test]
    fn a_removal_is_wrong_where_nothing_was_wrong_in_one_of_its_zones_while_evidence_counts() {
        for (zones, at, wrong) in [
            (None, 2 * S, false),
            (None, 13 * S, false),
            (None, 13 * S + 1, true),
            (Some(&[0][..]), 2 * S, false),
        ] {
            let mut judge = judge();
            ails(&mut judge, 3, &[0, 1], S, 8 * S);
            judge.record_verdicts(at, vec![told(3, zones)]);
            assert_eq!(judge.metrics().expect("heard").wrong_removals, usize::from(wrong), "{zones:?} {at}");
        }
        let mut judge = judge();
        ails(&mut judge, 3, &[1], S, 8 * S);
        judge.record_verdicts(2 * S, vec![told(3, Some(&[1])), told(3, None), told(4, None)]);
        let stranger = ReportedRemoval { server: None, ..told(5, None) };
        judge.record_verdicts(3 * S, vec![stranger]);
        let figures = judge.metrics().expect("heard");
        let wrong: Vec<bool> = figures.removals.iter().map(|r| r.wrong).collect();
        assert_eq!((wrong, figures.removed, figures.faulty), (vec![false, true, true, true], 1, 1));
    }

    #[test]
    fn times_are_from_what_was_wrong_to_the_removal_and_from_its_mend_to_the_return() {
        let mut judge = judge();
        assert!(judge.metrics().is_none(), "the group was never heard");
        judge.set_faulty(S, 0, 0, true);
        judge.set_faulty(S, 0, 1, true);
        judge.record_verdicts(3 * S, vec![told(0, None)]);
        judge.record_verdicts(4 * S, vec![]);
        judge.record_verdicts(5 * S, vec![told(0, None)]);
        assert_eq!(judge.metrics().expect("heard").return_ms(), None, "nothing was mended");
        judge.set_faulty(9 * S, 0, 0, false);
        judge.set_faulty(9 * S, 0, 1, false);
        assert_eq!(judge.metrics().expect("heard").return_ms(), None, "it is not back");
        judge.record_verdicts(12 * S, vec![]);
        let figures = judge.metrics().expect("heard");
        assert_eq!((figures.remove_ms(), figures.return_ms()), (Some(2_000.0), Some(3_000.0)));
        assert_eq!((figures.removed, figures.wrong_removals, figures.removals.len()), (1, 0, 2));
    }

    #[test]
    fn attempts_at_a_removed_server_count_once_all_should_have_heard_and_not_while_it_is_probed() {
        let mut judge = judge();
        judge.record_verdicts(S, vec![told(0, Some(&[1]))]);
        judge.record_attempt(2 * S, 0, 1);
        judge.record_verdicts(2 * S, vec![told(0, Some(&[1]))]);
        judge.record_attempt(2 * S + 1, 0, 0);
        assert_eq!(judge.metrics().expect("heard").attempts_after_removal, 0);
        judge.record_attempt(2 * S + 1, 0, 1);
        judge.record_attempt(4 * S, 0, 1);
        assert_eq!(
            judge.metrics().expect("heard").attempts_after_removal,
            1,
            "the group was not heard by 4 s"
        );
        judge.record_verdicts(5 * S, vec![ReportedRemoval { probed: true, ..told(0, Some(&[1])) }]);
        judge.record_attempt(5 * S, 0, 1);
        assert_eq!(judge.metrics().expect("heard").attempts_after_removal, 1);
    }

    #[test]
    fn the_group_s_word_is_read_with_further_fields_and_without_what_may_be_left_out() {
        let answer = json!({"version": 7, "votes": null, "removed": {
            "s1": {"born_ms": 5.0, "zones": ["a"], "probers": ["n3"], "up": 3}, "s2": {}}});
        let verdicts = vec![("s1".into(), 5.0, vec!["a".into()], true), ("s2".into(), 0.0, vec![], false)];
        assert_eq!(GroupVerdicts::read(&answer), Some(GroupVerdicts { version: 7, verdicts }));
        assert_eq!(GroupVerdicts::read(&json!({"error": "unknown path"})), None);
    }
}
