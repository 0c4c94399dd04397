//! What this node reports about servers with its heartbeats, and which of the group's verdicts apply to it. No I/O.
//!
//! None of it exists unless the agreed policy has votes.

use std::collections::BTreeMap;
use std::fmt;

use member::votes::{
    Ballot, Evidence, Verdict, Verdicts, Vote, VoteReport, MAX_BALLOTS, MAX_NAME_BYTES, MAX_ZONES,
};
use member::Millis;

/// What the control group has said about servers, as far as this process knows.
#[derive(Debug, Default)]
pub struct VoteState {
    /// The verdicts in force.
    verdicts: Verdicts,
    /// Servers about which the leader also wants ballots against removal.
    queried: Vec<String>,
    /// When a leader last answered.
    last_answer: Option<Millis>,
    /// The removed servers that apply here, and whether this node probes them.
    applying: BTreeMap<String, bool>,
}

/// A change in how verdicts apply to a server here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VerdictChange {
    /// It is removed.
    Removed,
    /// It is removed, and this node probes it with a few requests.
    Probed,
    /// No verdict applies to it any more.
    Lifted,
}

impl fmt::Display for VerdictChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Removed => "is removed by votes",
            Self::Probed => "is removed by votes, and probed from here",
            Self::Lifted => "is back: no verdict applies to it any more",
        })
    }
}

impl VoteState {
    /// The votes of the next heartbeat: all ballots for removal, and those against it if the leader asks for them
    /// or if a verdict is about an earlier process of the server. If there are too many, those with the most
    /// failures are kept. `up` has the zone of each server that is listed as up.
    pub fn heartbeat_votes<'a>(
        &self,
        zone: Option<&str>,
        up: impl Iterator<Item = &'a str>,
        abstains: bool,
        mut ballots: Vec<Ballot>,
    ) -> VoteReport {
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for zone in up.filter(|zone| zone.len() <= MAX_NAME_BYTES) {
            *zones.entry(zone).or_default() += 1;
        }
        let mut zones: Vec<(String, u32)> = zones.into_iter().map(|(zone, up)| (zone.into(), up)).collect();
        if zones.len() > MAX_ZONES {
            zones.sort_by_key(|(_, up)| std::cmp::Reverse(*up));
            zones.truncate(MAX_ZONES);
        }
        let fits =
            |ballot: &Ballot| ballot.server.len() <= MAX_NAME_BYTES && ballot.zone.len() <= MAX_NAME_BYTES;
        let about_earlier_process = |ballot: &Ballot| {
            let mut verdicts = self.verdicts.verdicts.iter();
            verdicts.any(|verdict| verdict.server == ballot.server && verdict.born_ms != ballot.born_ms)
        };
        let wanted = |ballot: &Ballot| {
            ballot.vote == Vote::For || self.queried.contains(&ballot.server) || about_earlier_process(ballot)
        };
        ballots.retain(|ballot| fits(ballot) && wanted(ballot));
        ballots.sort_by(|a, b| {
            let order = |ballot: &Ballot| (ballot.vote, std::cmp::Reverse(ballot.evidence.failures()));
            order(a).cmp(&order(b)).then_with(|| a.server.cmp(&b.server))
        });
        ballots.truncate(MAX_BALLOTS);
        VoteReport { zone: zone.map(str::to_owned), up_servers: zones, abstains, ballots }
    }

    /// The version of the verdicts in force.
    pub fn version(&self) -> u64 {
        self.verdicts.version
    }

    /// Applies a leader's answer. Its verdicts replace the known ones even if they are older: then the group was
    /// set up anew.
    pub fn leader_answered(&mut self, queried: Vec<String>, verdicts: Option<Verdicts>, now: Millis) {
        self.last_answer = Some(now);
        self.queried = queried;
        if let Some(verdicts) = verdicts {
            self.verdicts = verdicts;
        }
    }

    /// Applies verdicts from a replica's watch if they are newer than the known ones; returns whether they are.
    pub fn update(&mut self, verdicts: Verdicts) -> bool {
        let newer = verdicts.version > self.verdicts.version;
        if newer {
            self.verdicts = verdicts;
        }
        newer
    }

    /// How long ago a leader last answered.
    pub fn last_contact(&self, now: Millis) -> Option<Millis> {
        self.last_answer.map(|at| now - at)
    }

    /// The verdicts that apply to this node, with whether it is to probe the server. `start_date` is the listed start
    /// date of a server's process; a verdict about another process does not apply.
    pub fn verdicts_here<'a>(
        &'a self,
        node_name: &'a str,
        zone: Option<&'a str>,
        start_date: impl Fn(&str) -> Option<f64> + 'a,
    ) -> impl Iterator<Item = (&'a str, bool)> + 'a {
        let here = move |verdict: &&Verdict| {
            let zones = &verdict.zones;
            (zones.is_empty() || zone.is_some_and(|zone| zones.iter().any(|z| z == zone)))
                && start_date(&verdict.server) == Some(verdict.born_ms)
        };
        let with_probing = move |verdict: &'a Verdict| {
            (verdict.server.as_str(), verdict.probers.iter().any(|prober| prober == node_name))
        };
        self.verdicts.verdicts.iter().filter(here).map(with_probing)
    }

    /// Sets which verdicts apply, and returns what changed.
    pub fn set_applying(&mut self, applying: BTreeMap<String, bool>) -> Vec<(String, VerdictChange)> {
        let before = std::mem::replace(&mut self.applying, applying);
        let change = |probe: bool| if probe { VerdictChange::Probed } else { VerdictChange::Removed };
        let added = self.applying.iter().filter(|(server, probe)| before.get(*server) != Some(probe));
        let mut changes: Vec<(String, VerdictChange)> =
            added.map(|(server, probe)| (server.clone(), change(*probe))).collect();
        let lifted = before.into_keys().filter(|server| !self.applying.contains_key(server));
        changes.extend(lifted.map(|server| (server, VerdictChange::Lifted)));
        changes
    }

    /// How many verdicts apply.
    pub fn applying(&self) -> usize {
        self.applying.len()
    }
}

/// A description of the evidence for the log.
pub fn describe_evidence(evidence: Evidence) -> String {
    let Evidence { attempts, connect_failures, connection_resets, timeouts, errors } = evidence;
    format!(
        "{attempts} attempts, {} failed ({connect_failures} failed connects, \
         {connection_resets} broken connections, {timeouts} timeouts, {errors} errors)",
        evidence.failures()
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ballot(server: &str, vote: Vote, errors: u32) -> Ballot {
        let evidence = Evidence { attempts: 20, errors, ..Evidence::default() };
        Ballot { server: server.into(), born_ms: 1.0, zone: "a".into(), vote, evidence }
    }

    fn verdict(server: &str, zones: &[&str], probers: &[&str]) -> Verdict {
        let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        Verdict { server: server.into(), born_ms: 1.0, zones: names(zones), probers: names(probers) }
    }

    #[test]
    fn a_heartbeat_has_the_worst_ballots_and_those_against_removal_only_on_request() {
        let mut state = VoteState::default();
        let reported = |state: &VoteState, ballots: Vec<Ballot>| {
            let votes = state.heartbeat_votes(Some("a"), ["a", "b", "a"].into_iter(), false, ballots);
            assert_eq!(votes.up_servers, [("a".to_owned(), 2), ("b".to_owned(), 1)]);
            votes.ballots.into_iter().map(|ballot| ballot.server).collect::<Vec<_>>()
        };
        let three_ballots =
            || vec![ballot("x", Vote::For, 11), ballot("y", Vote::Against, 0), ballot("z", Vote::For, 19)];
        assert_eq!(reported(&state, three_ballots()), ["z", "x"]);
        state.leader_answered(vec!["y".into(), "x".into()], None, 5.0);
        assert_eq!(reported(&state, three_ballots()), ["z", "x", "y"]);
        let earlier = Verdict { born_ms: 0.5, ..verdict("y", &[], &[]) };
        state.leader_answered(Vec::new(), Some(Verdicts { version: 3, verdicts: vec![earlier] }), 6.0);
        assert_eq!(reported(&state, three_ballots()), ["z", "x", "y"]);
        let mut many: Vec<Ballot> = (0..100).map(|n| ballot(&format!("s{n}"), Vote::For, 11)).collect();
        many.extend([ballot("worst", Vote::For, 20), ballot(&"s".repeat(MAX_NAME_BYTES + 1), Vote::For, 20)]);
        let sent = reported(&state, many);
        assert_eq!((sent.len(), sent[0].as_str()), (MAX_BALLOTS, "worst"));
    }

    #[test]
    fn a_verdict_applies_to_its_zones_and_its_process() {
        let mut state = VoteState::default();
        let all = vec![
            verdict("all", &[], &["n1"]),
            verdict("in-a", &["a"], &["n0"]),
            verdict("in-b", &["b"], &[]),
            verdict("anew", &[], &[]),
            verdict("unlisted", &[], &[]),
        ];
        state.leader_answered(Vec::new(), Some(Verdicts { version: 7, verdicts: all }), 5.0);
        let born = |server: &str| match server {
            "unlisted" => None,
            "anew" => Some(2.0),
            _ => Some(1.0),
        };
        let applying = |zone| state.verdicts_here("n0", zone, born).collect::<Vec<_>>();
        assert_eq!(applying(Some("a")), [("all", false), ("in-a", true)]);
        assert_eq!(applying(None), [("all", false)]);
    }

    #[test]
    fn each_change_is_reported_once() {
        let mut state = VoteState::default();
        let applying =
            |of: &[(&str, bool)]| of.iter().map(|(server, probe)| ((*server).to_owned(), *probe)).collect();
        assert_eq!(state.set_applying(applying(&[("x", false)])), [("x".to_owned(), VerdictChange::Removed)]);
        assert_eq!(state.set_applying(applying(&[("x", false)])), []);
        assert_eq!(state.set_applying(applying(&[("x", true)])), [("x".to_owned(), VerdictChange::Probed)]);
        assert_eq!(state.set_applying(applying(&[])), [("x".to_owned(), VerdictChange::Lifted)]);
    }

    #[test]
    fn a_watch_adds_newer_verdicts_and_a_leader_replaces_them() {
        let mut state = VoteState::default();
        let at = |version| Verdicts { version, verdicts: Vec::new() };
        assert!(state.update(at(7)) && !state.update(at(7)) && !state.update(at(6)));
        state.leader_answered(Vec::new(), Some(at(3)), 5.0);
        assert!(state.update(at(4)));
        assert_eq!((state.last_contact(9.0), VoteState::default().last_contact(9.0)), (Some(4.0), None));
    }
}
