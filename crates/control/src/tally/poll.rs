//! What stands of all ballots at one moment, and what it amounts to for a server: the counting.

use std::collections::{BTreeMap, BTreeSet};

use member::votes::{Ballot, Vote, VoteSettings};
use member::Millis;

use crate::roster::Roster;
use crate::verdicts::{Case, Side, NAMED};

/// A node's voice.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Voter {
    pub boot: u64,
    /// Boots of other processes of this name that it has taken the place of.
    pub older: Vec<u64>,
    /// When its last beat came.
    pub heard: Millis,
    /// The stamp that its votes count from.
    pub echo: Option<Millis>,
    pub zone: Option<String>,
    pub up: Vec<(String, u32)>,
    pub doubts: bool,
    /// By server.
    pub ballots: BTreeMap<String, Ballot>,
}

/// A ballot that stands.
#[derive(Clone, Copy)]
pub(super) struct Voice<'a> {
    pub name: &'a str,
    pub zone: Option<&'a str>,
    pub ballot: &'a Ballot,
    /// When it lapses.
    pub until: Millis,
}

/// A member that was heard of late: it may have to be waited for.
struct Member<'a> {
    name: &'a str,
    /// Its zone; `None` where it may be of any.
    zone: Option<Option<&'a str>>,
    echo: Option<Millis>,
}

/// What stands at one moment.
pub(super) struct Poll<'a> {
    pub now: Millis,
    pub figures: &'a VoteSettings,
    /// Voters that have said something of late.
    pub standing: BTreeMap<&'a str, &'a Voter>,
    /// Ballots of those that don't doubt themselves, by server.
    voices: BTreeMap<&'a str, Vec<Voice<'a>>>,
    members: Vec<Member<'a>>,
    up: BTreeMap<&'a str, u32>,
}

/// What some ballots on a server amount to.
pub(super) struct Count {
    pub case: Case,
    /// What those weigh that are waited for.
    pub waited: u32,
    /// Zones of those for the removal, and of all.
    zones: (usize, usize),
}

impl<'a> Poll<'a> {
    /// `began`: when the first beat may have come.
    pub fn new(
        now: Millis,
        began: Millis,
        figures: &'a VoteSettings,
        voters: &'a BTreeMap<String, Voter>,
        roster: &'a Roster,
    ) -> Self {
        let mut standing = BTreeMap::new();
        let mut voices: BTreeMap<&str, Vec<Voice>> = BTreeMap::new();
        let mut told: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for (name, voter) in voters {
            let until = voter.echo.map_or(Millis::NEG_INFINITY, |echo| echo + figures.ballot_ttl);
            if now >= until {
                continue;
            }
            standing.insert(name.as_str(), voter);
            for (zone, up) in &voter.up {
                told.entry(zone).or_default().push(*up);
            }
            for (server, ballot) in voter.ballots.iter().filter(|_| !voter.doubts) {
                let voice = Voice { name, zone: voter.zone.as_deref(), ballot, until };
                voices.entry(server).or_default().push(voice);
            }
        }
        let mut members = Vec::new();
        let mut last = None;
        for (process, _) in
            roster.members().filter(|(process, _)| last.replace(&process.name) != Some(&process.name))
        {
            let voter = voters.get(&process.name);
            let until = voter.map_or(began, |voter| voter.heard) + figures.ballot_ttl;
            if now < until {
                let zone = voter.map(|voter| voter.zone.as_deref());
                members.push(Member { name: &process.name, zone, echo: voter.and_then(|voter| voter.echo) });
            }
        }
        let up = told.into_iter().map(|(zone, mut told)| (zone, median(&mut told))).collect();
        Self { now, figures, standing, voices, members, up }
    }

    /// Servers that something is said of.
    pub fn servers(&self) -> impl Iterator<Item = (&'a str, &[Voice<'a>])> {
        self.voices.iter().map(|(server, voices)| (*server, voices.as_slice()))
    }

    /// All ballots on a server, whichever process they are about.
    pub fn on(&self, server: &str) -> &[Voice<'a>] {
        self.voices.get(server).map_or(&[], Vec::as_slice)
    }

    /// How many servers are up in a zone, by the one in the middle of all voters.
    pub fn up(&self, zone: &str) -> Option<u32> {
        self.up.get(zone).copied()
    }

    /// What a voice weighs at the most.
    fn lid(&self, voices: &[Voice]) -> u32 {
        let mut attempts: Vec<u32> = voices.iter().map(|voice| voice.ballot.evidence.attempts).collect();
        median(&mut attempts).clamp(1, self.figures.max_voter_weight)
    }

    /// Counts ballots about one process of a server that was asked about since `asked`, in one zone or in all.
    pub fn count(&self, voices: &[Voice], asked: Millis, zone: Option<&str>) -> Count {
        let lid = self.lid(voices);
        let spoken: BTreeSet<&str> = voices.iter().map(|voice| voice.name).collect();
        let silent = self.members.iter().filter(|member| {
            let may = zone.is_none() || member.zone.is_none_or(|its| its == zone);
            may && !spoken.contains(member.name)
                && member.echo.is_none_or(|echo| echo <= asked)
                && self.now < asked + self.figures.ballot_ttl
        });
        let waited = lid.saturating_mul(silent.count() as u32);
        let zones = |favour: bool| {
            let some = voices.iter().filter(|voice| !favour || voice.ballot.vote == Vote::For);
            some.map(|voice| voice.zone).collect::<BTreeSet<_>>().len()
        };
        Count { case: case(voices, lid), waited, zones: (zones(true), zones(false)) }
    }

    /// Whether what was counted is enough to remove a server; `before` are those who have condemned it for other zones.
    pub fn condemns(&self, count: &Count, before: Option<&Side>) -> bool {
        let Case { favour, against } = &count.case;
        let (voters, failed) = before.map_or((0, 0), |side| (side.voters, side.failed));
        let all = f64::from(favour.weight) + f64::from(against.weight) + f64::from(count.waited);
        favour.voters > 0
            && favour.voters.saturating_add(voters) >= self.figures.min_voters
            && favour.failed.saturating_add(failed) >= self.figures.min_failures
            && f64::from(favour.weight) >= self.figures.majority * all - 1e-9
    }
}

impl Count {
    /// Those for it are of two zones, where the voters are.
    pub fn spans(&self) -> bool {
        self.zones.0 >= self.zones.1.min(2)
    }

    /// Nobody is waited for, and far from enough is for the removal.
    pub fn hopeless(&self, figures: &VoteSettings) -> bool {
        let Case { favour, against } = &self.case;
        let all = f64::from(favour.weight) + f64::from(against.weight);
        self.waited == 0 && 2.0 * f64::from(favour.weight) < figures.majority * all
    }
}

/// Both sides, each voice weighing no more than `lid`.
pub(super) fn case(voices: &[Voice], lid: u32) -> Case {
    let side = |stand: Vote| {
        let mut of: Vec<&Voice> = voices.iter().filter(|voice| voice.ballot.vote == stand).collect();
        of.sort_by_key(|voice| std::cmp::Reverse(voice.ballot.evidence.attempts));
        let mut side = Side { voters: of.len() as u32, ..Side::default() };
        for voice in &of {
            let evidence = &voice.ballot.evidence;
            side.weight = side.weight.saturating_add(evidence.attempts.min(lid));
            side.failed = side.failed.saturating_add(evidence.failures().min(lid));
            side.evidence = side.evidence.combined(evidence);
        }
        side.named = of.iter().take(NAMED).map(|voice| voice.name.to_owned()).collect();
        side
    };
    Case { favour: side(Vote::For), against: side(Vote::Against) }
}

/// The one in the middle; of two the smaller one, of none 0.
fn median(figures: &mut [u32]) -> u32 {
    if figures.is_empty() {
        return 0;
    }
    let middle = (figures.len() - 1) / 2;
    *figures.select_nth_unstable(middle).1
}

/// Who probes: drawn by what is agreed, so that nobody chooses itself. Those that `prefer` names come first.
pub(super) fn draw<'a>(
    at: u64,
    server: &str,
    names: impl Iterator<Item = &'a str>,
    prefer: &Case,
) -> Vec<&'a str> {
    let hash = |name: &str| {
        // FNV-1a, then mixed: the same at every replica and in every version of the program.
        let bytes = at.to_be_bytes().into_iter().chain(server.bytes()).chain([0]).chain(name.bytes());
        let mut hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        for shift in [33, 29] {
            hash = (hash ^ (hash >> shift)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        }
        hash ^ (hash >> 32)
    };
    let sends = |name: &str| {
        [&prefer.favour, &prefer.against].iter().any(|side| side.named.iter().any(|n| n == name))
    };
    let mut names: Vec<&str> = names.collect();
    names.sort_by_cached_key(|name| (!sends(name), hash(name)));
    names
}
