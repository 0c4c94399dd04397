//! What this node tells of servers with its beats, and what the group's word on servers means to it. Pure.
//!
//! Nothing of it is there unless the agreed policy has the figures of the votes.

use std::collections::BTreeMap;
use std::fmt;

use member::votes::{
    Ballot, Evidence, Verdict, Verdicts, Vote, VoteReport, MAX_BALLOTS, MAX_NAME_BYTES, MAX_ZONES,
};
use member::Millis;

/// What the control group has said of servers, as far as this process knows.
#[derive(Debug, Default)]
pub struct Word {
    /// What is in force.
    verdicts: Verdicts,
    /// Servers that the leader would hear good of, too.
    asked: Vec<String>,
    /// When a leader answered last.
    heard: Option<Millis>,
    /// What held here last, and whether this node probes.
    held: BTreeMap<String, bool>,
}

/// What has changed for a server here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It is removed.
    Removed,
    /// It is removed, and this node sends it a little.
    Probed,
    /// No verdict holds any more.
    Back,
}

impl fmt::Display for Turn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Removed => "is removed by votes",
            Self::Probed => "is removed by votes, and probed from here",
            Self::Back => "is back: no verdict on it holds any more",
        })
    }
}

impl Word {
    /// What the next beat says: all that this node is for, and what it is against where the leader asks, or where a
    /// verdict is about an earlier process of the server; the worst first where there is too much. `up` are the zones of
    /// the servers that are listed as up, one for each.
    pub fn votes<'a>(
        &self,
        zone: Option<&str>,
        up: impl Iterator<Item = &'a str>,
        doubts: bool,
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
        let short =
            |ballot: &Ballot| ballot.server.len() <= MAX_NAME_BYTES && ballot.zone.len() <= MAX_NAME_BYTES;
        let anew = |ballot: &Ballot| {
            let mut verdicts = self.verdicts.verdicts.iter();
            verdicts.any(|verdict| verdict.server == ballot.server && verdict.born_ms != ballot.born_ms)
        };
        let told =
            |ballot: &Ballot| ballot.vote == Vote::For || self.asked.contains(&ballot.server) || anew(ballot);
        ballots.retain(|ballot| short(ballot) && told(ballot));
        ballots.sort_by(|a, b| {
            let order = |ballot: &Ballot| (ballot.vote, std::cmp::Reverse(ballot.evidence.failures()));
            order(a).cmp(&order(b)).then_with(|| a.server.cmp(&b.server))
        });
        ballots.truncate(MAX_BALLOTS);
        VoteReport { zone: zone.map(str::to_owned), up_servers: zones, abstains: doubts, ballots }
    }

    /// The version of what is known to be in force.
    pub fn version(&self) -> u64 {
        self.verdicts.version
    }

    /// A leader has answered. What it says of verdicts holds, also where it is older than what was known: the group
    /// was then set up again.
    pub fn answered(&mut self, asked: Vec<String>, verdicts: Option<Verdicts>, now: Millis) {
        self.heard = Some(now);
        self.asked = asked;
        if let Some(verdicts) = verdicts {
            self.verdicts = verdicts;
        }
    }

    /// A replica's watch has told of verdicts; whether that is newer than what was known.
    pub fn news(&mut self, verdicts: Verdicts) -> bool {
        let newer = verdicts.version > self.verdicts.version;
        if newer {
            self.verdicts = verdicts;
        }
        newer
    }

    /// How long ago a leader answered.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.heard.map(|heard| now - heard)
    }

    /// The verdicts that hold for this node, and whether it is to probe the server: `born` tells when a listed server's
    /// process started, and one about another process is not meant.
    pub fn rulings<'a>(
        &'a self,
        me: &'a str,
        zone: Option<&'a str>,
        born: impl Fn(&str) -> Option<f64> + 'a,
    ) -> impl Iterator<Item = (&'a str, bool)> + 'a {
        let here = move |verdict: &&Verdict| {
            let zones = &verdict.zones;
            (zones.is_empty() || zone.is_some_and(|zone| zones.iter().any(|z| z == zone)))
                && born(&verdict.server) == Some(verdict.born_ms)
        };
        let ruling = move |verdict: &'a Verdict| {
            (verdict.server.as_str(), verdict.probers.iter().any(|prober| prober == me))
        };
        self.verdicts.verdicts.iter().filter(here).map(ruling)
    }

    /// Notes what holds now; what has changed by that.
    pub fn note(&mut self, held: BTreeMap<String, bool>) -> Vec<(String, Turn)> {
        let before = std::mem::replace(&mut self.held, held);
        let turn = |probe: bool| if probe { Turn::Probed } else { Turn::Removed };
        let come = self.held.iter().filter(|(server, probe)| before.get(*server) != Some(probe));
        let mut turns: Vec<(String, Turn)> =
            come.map(|(server, probe)| (server.clone(), turn(*probe))).collect();
        let gone = before.into_keys().filter(|server| !self.held.contains_key(server));
        turns.extend(gone.map(|server| (server, Turn::Back)));
        turns
    }

    /// How many verdicts hold here.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}

/// Evidence in words, for the log.
pub fn words(evidence: Evidence) -> String {
    let Evidence { attempts, connect_failures: connects, connection_resets: breaks, timeouts, errors } =
        evidence;
    format!(
        "{attempts} attempts, {} failed ({connects} not connected, {breaks} broke, {timeouts} late, {errors} errors)",
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
    fn a_beat_tells_the_worst_first_and_good_only_where_asked() {
        let mut word = Word::default();
        let told = |word: &Word, ballots: Vec<Ballot>| {
            let votes = word.votes(Some("a"), ["a", "b", "a"].into_iter(), false, ballots);
            assert_eq!(votes.up_servers, [("a".to_owned(), 2), ("b".to_owned(), 1)]);
            votes.ballots.into_iter().map(|ballot| ballot.server).collect::<Vec<_>>()
        };
        let three =
            || vec![ballot("x", Vote::For, 11), ballot("y", Vote::Against, 0), ballot("z", Vote::For, 19)];
        assert_eq!(told(&word, three()), ["z", "x"]);
        word.answered(vec!["y".into(), "x".into()], None, 5.0);
        assert_eq!(told(&word, three()), ["z", "x", "y"]);
        let earlier = Verdict { born_ms: 0.5, ..verdict("y", &[], &[]) };
        word.answered(Vec::new(), Some(Verdicts { version: 3, verdicts: vec![earlier] }), 6.0);
        assert_eq!(told(&word, three()), ["z", "x", "y"]);
        let mut many: Vec<Ballot> = (0..100).map(|n| ballot(&format!("s{n}"), Vote::For, 11)).collect();
        many.extend([ballot("worst", Vote::For, 20), ballot(&"s".repeat(MAX_NAME_BYTES + 1), Vote::For, 20)]);
        let told = told(&word, many);
        assert_eq!((told.len(), told[0].as_str()), (MAX_BALLOTS, "worst"));
    }

    #[test]
    fn a_verdict_holds_for_its_zones_and_its_process() {
        let mut word = Word::default();
        let all = vec![
            verdict("all", &[], &["n1"]),
            verdict("in-a", &["a"], &["n0"]),
            verdict("in-b", &["b"], &[]),
            verdict("anew", &[], &[]),
            verdict("unlisted", &[], &[]),
        ];
        word.answered(Vec::new(), Some(Verdicts { version: 7, verdicts: all }), 5.0);
        let born = |server: &str| match server {
            "unlisted" => None,
            "anew" => Some(2.0),
            _ => Some(1.0),
        };
        let held = |zone| word.rulings("n0", zone, born).collect::<Vec<_>>();
        assert_eq!(held(Some("a")), [("all", false), ("in-a", true)]);
        assert_eq!(held(None), [("all", false)]);
    }

    #[test]
    fn each_change_is_told_once() {
        let mut word = Word::default();
        let held =
            |of: &[(&str, bool)]| of.iter().map(|(server, probe)| ((*server).to_owned(), *probe)).collect();
        assert_eq!(word.note(held(&[("x", false)])), [("x".to_owned(), Turn::Removed)]);
        assert_eq!(word.note(held(&[("x", false)])), []);
        assert_eq!(word.note(held(&[("x", true)])), [("x".to_owned(), Turn::Probed)]);
        assert_eq!(word.note(held(&[])), [("x".to_owned(), Turn::Back)]);
    }

    #[test]
    fn a_watch_brings_what_is_newer_and_a_leader_what_holds() {
        let mut word = Word::default();
        let at = |version| Verdicts { version, verdicts: Vec::new() };
        assert!(word.news(at(7)) && !word.news(at(7)) && !word.news(at(6)));
        word.answered(Vec::new(), Some(at(3)), 5.0);
        assert!(word.news(at(4)));
        assert_eq!((word.age(9.0), Word::default().age(9.0)), (Some(4.0), None));
    }
}
