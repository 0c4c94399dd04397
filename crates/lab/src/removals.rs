//! The referee of votes on servers: compares the control group's removals with the servers' real state, which may
//! differ for the nodes of each zone.
//!
//! A removal is right where the server was faulty for the nodes of every zone that the removal covers, at that moment
//! or so shortly before that the evidence still counted. The lab polls the replicas, so times are late by up to the
//! polling interval.
//!
//! Rejected: a rule that a node sends nothing to a server after it was notified of the removal. The lab sees neither
//! which answers to heartbeats reached a node nor how many servers the node would have left, and a node rightly ignores
//! verdicts where too few servers would be left or its last message from the group is too old. Such attempts are counted
//! as a metric instead.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::server::Us;

/// How long after a removal was first seen nodes may still send to the server, as they may not have received it.
const VERDICT_DELAY: Us = 1_000_000;

/// A time span in which a server was faulty.
#[derive(Clone, Copy, Debug)]
struct FaultySpan {
    from: Us,
    until: Option<Us>,
}

/// A removal as a replica reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedRemoval {
    /// The server's name.
    pub name: String,
    /// The server's number; `None` where there is no such server.
    pub server: Option<usize>,
    /// The start time of the server process that is removed.
    pub born_ms: f64,
    /// The zones whose nodes the removal is for; `None`: all.
    pub zones: Option<Vec<usize>>,
    /// Some nodes send to the server again, to probe it.
    pub probed: bool,
}

impl ReportedRemoval {
    /// Whether both are reports of one removal.
    fn is_same(&self, other: &Self) -> bool {
        (&self.name, self.born_ms, &self.zones) == (&other.name, other.born_ms, &other.zones)
    }
}

/// A removal, from the first to the last report of it.
#[derive(Clone, Debug)]
struct TrackedRemoval {
    report: ReportedRemoval,
    from: Us,
    until: Option<Us>,
    /// The faulty spans that justify the removal, as zone and index; `None` where the removal was wrong.
    justified_by: Option<Vec<(usize, usize)>>,
    /// The first removal that these spans justify.
    first: bool,
}

/// The faulty spans of all servers, and all removals.
#[derive(Debug)]
pub struct RemovalReferee {
    /// How long evidence of a fault still counts after its end.
    grace: Us,
    zones: Vec<String>,
    /// The spans in which a server was faulty for the nodes of a zone, by server and zone.
    faulty_spans: BTreeMap<(usize, usize), Vec<FaultySpan>>,
    removals: Vec<TrackedRemoval>,
    /// When a replica last reported the removals.
    last_report: Option<Us>,
    attempts_after_removal: u64,
}

impl RemovalReferee {
    /// A referee at the start of a run, with no faulty server. `grace` is how long evidence of a fault still counts after
    /// its end.
    pub fn new(grace: Us, zones: &[String]) -> Self {
        Self {
            grace,
            zones: zones.to_vec(),
            faulty_spans: BTreeMap::new(),
            removals: Vec::new(),
            last_report: None,
            attempts_after_removal: 0,
        }
    }

    /// Records whether a server is faulty for the nodes of a zone from now on.
    pub fn set_faulty(&mut self, now: Us, server: usize, zone: usize, faulty: bool) {
        if faulty == self.is_faulty(server, zone) {
            return;
        }
        let spans = self.faulty_spans.entry((server, zone)).or_default();
        match spans.last_mut().filter(|_| !faulty) {
            Some(last) => last.until = Some(now),
            None => spans.push(FaultySpan { from: now, until: None }),
        }
    }

    /// Whether a server is faulty for the nodes of a zone.
    pub fn is_faulty(&self, server: usize, zone: usize) -> bool {
        let last = self.faulty_spans.get(&(server, zone)).and_then(|spans| spans.last());
        last.is_some_and(|span| span.until.is_none())
    }

    /// Records a report of all removals in force.
    pub fn record_verdicts(&mut self, now: Us, reports: Vec<ReportedRemoval>) {
        self.last_report = Some(now);
        for removal in self.removals.iter_mut().filter(|r| r.until.is_none()) {
            match reports.iter().find(|report| report.is_same(&removal.report)) {
                Some(newer) => removal.report.probed = newer.probed,
                None => removal.until = Some(now),
            }
        }
        for report in reports {
            if !self.removals.iter().any(|r| r.until.is_none() && r.report.is_same(&report)) {
                let justified_by = self.justification(now, &report);
                let first = !self
                    .removals
                    .iter()
                    .any(|r| r.report.server == report.server && r.justified_by == justified_by);
                self.removals.push(TrackedRemoval { report, from: now, until: None, justified_by, first });
            }
        }
    }

    /// The newest faulty span of the server for each zone that a removal covers; `None` where there is none for one of
    /// the zones, or its evidence no longer counts.
    fn justification(&self, now: Us, report: &ReportedRemoval) -> Option<Vec<(usize, usize)>> {
        let server = report.server?;
        let zones = report.zones.clone().unwrap_or_else(|| (0..self.zones.len()).collect());
        let counts = |span: &FaultySpan| span.until.is_none_or(|until| until + self.grace >= now);
        zones
            .into_iter()
            .map(|zone| {
                let spans = self.faulty_spans.get(&(server, zone))?;
                let last = spans.len().checked_sub(1).filter(|last| counts(&spans[*last]))?;
                Some((zone, last))
            })
            .collect()
    }

    /// Records an attempt of a node of a zone at a server.
    pub fn record_attempt(&mut self, now: Us, server: usize, zone: usize) {
        let report_is_fresh = self.last_report.is_some_and(|at| at + VERDICT_DELAY >= now);
        let removed = |r: &TrackedRemoval| {
            r.until.is_none()
                && r.report.server == Some(server)
                && r.report.zones.as_ref().is_none_or(|zones| zones.contains(&zone))
                && !r.report.probed
                && now > r.from + VERDICT_DELAY
        };
        self.attempts_after_removal += u64::from(report_is_fresh && self.removals.iter().any(removed));
    }

    /// What the votes of the run came to; `None` where no replica ever reported removals.
    pub fn metrics(&self) -> Option<VoteMetrics> {
        self.last_report?;
        let mut faulty: Vec<usize> = self.faulty_spans.keys().map(|(server, _)| *server).collect();
        faulty.dedup();
        let removals: Vec<Removal> = self.removals.iter().map(|removal| self.result_of(removal)).collect();
        let wrong_removals = removals.iter().filter(|r| r.wrong).count();
        let mut right: Vec<&String> = removals.iter().filter(|r| !r.wrong).map(|r| &r.server).collect();
        right.sort_unstable();
        right.dedup();
        Some(VoteMetrics {
            faulty: faulty.len(),
            removed: right.len(),
            wrong_removals,
            attempts_after_removal: self.attempts_after_removal,
            removals,
        })
    }

    fn result_of(&self, removal: &TrackedRemoval) -> Removal {
        let (report, justified_by) = (&removal.report, removal.justified_by.as_ref());
        let spans = || {
            justified_by
                .zip(report.server)
                .into_iter()
                .flat_map(|(spans, server)| spans.iter().map(move |span| (server, span)))
                .map(|(server, (zone, index))| self.faulty_spans[&(server, *zone)][*index])
        };
        let recovered = spans().map(|span| span.until).collect::<Option<Vec<_>>>().unwrap_or_default();
        let recovered =
            recovered.into_iter().max().filter(|at| removal.until.is_none_or(|until| until >= *at));
        let ms = |us: Us| us as f64 / 1e3;
        let zones = report.zones.as_ref().map_or(&[][..], |zones| zones);
        let faulty_from = spans().map(|span| span.from).min();
        Removal {
            server: report.name.clone(),
            zones: zones.iter().map(|zone| self.zones[*zone].clone()).collect(),
            at_s: removal.from as f64 / 1e6,
            until_s: removal.until.map(|at| at as f64 / 1e6),
            wrong: justified_by.is_none(),
            remove_ms: faulty_from.filter(|_| removal.first).map(|at| ms(removal.from - at)),
            recovered: recovered.is_some(),
            return_ms: recovered.zip(removal.until).map(|(recovered, until)| ms(until - recovered)),
        }
    }
}

/// What votes on servers came to.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VoteMetrics {
    /// Servers that were faulty at some time, for the nodes of some zone.
    #[serde(rename = "bad")]
    pub faulty: usize,
    /// The faulty servers that were removed for it.
    pub removed: usize,
    /// Removals of servers that were not faulty.
    #[serde(rename = "wrong")]
    pub wrong_removals: usize,
    /// Attempts at servers over a second after their removal was seen, except while they were probed. This counts also
    /// the attempts of a node that rightly ignores verdicts, as it has too few servers or its last message from the group
    /// is too old.
    #[serde(rename = "late")]
    pub attempts_after_removal: u64,
    /// All removals, in the order in which they were seen.
    pub removals: Vec<Removal>,
}

impl VoteMetrics {
    /// The longest time from when a server became faulty until its removal; `None` where no faulty server was removed.
    pub fn remove_ms(&self) -> Option<f64> {
        self.removals.iter().filter_map(|r| r.remove_ms).reduce(f64::max)
    }

    /// The longest time from when a removed server had recovered until it was back; `None` where one stayed removed to
    /// the end, or none recovered.
    pub fn return_ms(&self) -> Option<f64> {
        let times: Option<Vec<f64>> =
            self.removals.iter().filter(|r| r.recovered).map(|r| r.return_ms).collect();
        times?.into_iter().reduce(f64::max)
    }
}

/// A removal of a server by votes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Removal {
    /// The server's name.
    pub server: String,
    /// The zones whose nodes it was removed for; empty: all zones.
    pub zones: Vec<String>,
    /// When the removal was first seen, in seconds from the start of the run.
    pub at_s: f64,
    /// When the removal was seen to be over; `None` where it lasted to the end.
    pub until_s: Option<f64>,
    /// The server was not faulty for the nodes of one of these zones.
    pub wrong: bool,
    /// The time from when the server became faulty until the removal was seen; only for the first removal for a fault.
    pub remove_ms: Option<f64>,
    /// The server recovered while it was removed.
    #[serde(rename = "mended")]
    pub recovered: bool,
    /// The time from the recovery until the removal was seen to be over.
    pub return_ms: Option<f64>,
}

/// The control group's verdicts on servers, as a replica reports them.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupVerdicts {
    /// The version of the agreed log that they are from.
    pub version: u64,
    /// The server's name, the start time of its process, the zones, and whether it is probed.
    pub verdicts: Vec<(String, f64, Vec<String>, bool)>,
}

impl GroupVerdicts {
    /// Parses the answer to `GET /v1/verdicts`; unknown fields are ignored. `None` where it is not such an answer.
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

    fn report(server: usize, zones: Option<&[usize]>) -> ReportedRemoval {
        let zones = zones.map(<[usize]>::to_vec);
        ReportedRemoval {
            name: format!("s{server}"),
            server: Some(server),
            born_ms: 0.0,
            zones,
            probed: false,
        }
    }

    /// A referee of two zones, with evidence that counts for 5 s.
    fn referee() -> RemovalReferee {
        RemovalReferee::new(5 * S, &["a".into(), "b".into()])
    }

    /// A server is faulty for the nodes of these zones, from and until.
    fn faulty_span(referee: &mut RemovalReferee, server: usize, zones: &[usize], from: Us, until: Us) {
        for zone in zones {
            referee.set_faulty(from, server, *zone, true);
            referee.set_faulty(until, server, *zone, false);
        }
    }

    #[test]
    fn a_removal_is_wrong_without_a_recent_fault_in_each_of_its_zones() {
        for (zones, at, wrong) in [
            (None, 2 * S, false),
            (None, 13 * S, false),
            (None, 13 * S + 1, true),
            (Some(&[0][..]), 2 * S, false),
        ] {
            let mut referee = referee();
            faulty_span(&mut referee, 3, &[0, 1], S, 8 * S);
            referee.record_verdicts(at, vec![report(3, zones)]);
            assert_eq!(
                referee.metrics().expect("reported").wrong_removals,
                usize::from(wrong),
                "{zones:?} {at}"
            );
        }
        let mut referee = referee();
        faulty_span(&mut referee, 3, &[1], S, 8 * S);
        referee.record_verdicts(2 * S, vec![report(3, Some(&[1])), report(3, None), report(4, None)]);
        let unknown_server = ReportedRemoval { server: None, ..report(5, None) };
        referee.record_verdicts(3 * S, vec![unknown_server]);
        let metrics = referee.metrics().expect("reported");
        let wrong: Vec<bool> = metrics.removals.iter().map(|r| r.wrong).collect();
        assert_eq!((wrong, metrics.removed, metrics.faulty), (vec![false, true, true, true], 1, 1));
    }

    #[test]
    fn times_go_from_the_fault_to_the_removal_and_from_the_recovery_to_the_return() {
        let mut referee = referee();
        assert!(referee.metrics().is_none(), "there was no report");
        referee.set_faulty(S, 0, 0, true);
        referee.set_faulty(S, 0, 1, true);
        referee.record_verdicts(3 * S, vec![report(0, None)]);
        referee.record_verdicts(4 * S, vec![]);
        referee.record_verdicts(5 * S, vec![report(0, None)]);
        assert_eq!(referee.metrics().expect("reported").return_ms(), None, "no server recovered");
        referee.set_faulty(9 * S, 0, 0, false);
        referee.set_faulty(9 * S, 0, 1, false);
        assert_eq!(referee.metrics().expect("reported").return_ms(), None, "the server is not back");
        referee.record_verdicts(12 * S, vec![]);
        let metrics = referee.metrics().expect("reported");
        assert_eq!((metrics.remove_ms(), metrics.return_ms()), (Some(2_000.0), Some(3_000.0)));
        assert_eq!((metrics.removed, metrics.wrong_removals, metrics.removals.len()), (1, 0, 2));
    }

    #[test]
    fn attempts_at_a_removed_server_count_after_a_second_unless_it_is_probed() {
        let mut referee = referee();
        referee.record_verdicts(S, vec![report(0, Some(&[1]))]);
        referee.record_attempt(2 * S, 0, 1);
        referee.record_verdicts(2 * S, vec![report(0, Some(&[1]))]);
        referee.record_attempt(2 * S + 1, 0, 0);
        assert_eq!(referee.metrics().expect("reported").attempts_after_removal, 0);
        referee.record_attempt(2 * S + 1, 0, 1);
        referee.record_attempt(4 * S, 0, 1);
        assert_eq!(
            referee.metrics().expect("reported").attempts_after_removal,
            1,
            "the last report is too old at 4 s"
        );
        referee.record_verdicts(5 * S, vec![ReportedRemoval { probed: true, ..report(0, Some(&[1])) }]);
        referee.record_attempt(5 * S, 0, 1);
        assert_eq!(referee.metrics().expect("reported").attempts_after_removal, 1);
    }

    #[test]
    fn verdicts_may_have_unknown_fields_and_lack_optional_ones() {
        let answer = json!({"version": 7, "votes": null, "removed": {
            "s1": {"born_ms": 5.0, "zones": ["a"], "probers": ["n3"], "up": 3}, "s2": {}}});
        let verdicts = vec![("s1".into(), 5.0, vec!["a".into()], true), ("s2".into(), 0.0, vec![], false)];
        assert_eq!(GroupVerdicts::read(&answer), Some(GroupVerdicts { version: 7, verdicts }));
        assert_eq!(GroupVerdicts::read(&json!({"error": "unknown path"})), None);
    }
}
