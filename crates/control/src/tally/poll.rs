//! Counting: the ballots that are valid at one moment, and the result they give for a server.

use std::collections::{BTreeMap, BTreeSet};

use member::votes::{Ballot, Vote, VoteSettings};
use member::Millis;

use crate::roster::Roster;
use crate::verdicts::{VoteResult, VoteSide, MAX_NAMED_VOTERS};

/// The last vote report of a node.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Voter {
    pub boot: u64,
    /// The boot numbers of other live processes of this name that this one has replaced as voter.
    pub replaced_boots: Vec<u64>,
    /// When its last heartbeat was received.
    pub last_heartbeat_at: Millis,
    /// The leader time that its last heartbeat echoed, from which its ballots are valid.
    pub echoed_time: Option<Millis>,
    pub zone: Option<String>,
    pub up_servers: Vec<(String, u32)>,
    pub abstains: bool,
    /// By server.
    pub ballots: BTreeMap<String, Ballot>,
}

/// A ballot that is valid, with its voter.
#[derive(Clone, Copy)]
pub(super) struct ValidBallot<'a> {
    pub voter: &'a str,
    pub zone: Option<&'a str>,
    pub ballot: &'a Ballot,
    /// When it expires.
    pub expires_at: Millis,
}

/// A member that sent a heartbeat recently, so its answer to a query may be outstanding.
struct ActiveMember<'a> {
    name: &'a str,
    /// Its zone; `None` if it is unknown and may be any.
    zone: Option<Option<&'a str>>,
    echoed_time: Option<Millis>,
}

/// All ballots that are valid at one moment.
pub(super) struct Poll<'a> {
    pub now: Millis,
    pub settings: &'a VoteSettings,
    /// Voters whose last report has not expired.
    pub voters: BTreeMap<&'a str, &'a Voter>,
    /// The ballots of voters that do not abstain, by server.
    ballots: BTreeMap<&'a str, Vec<ValidBallot<'a>>>,
    active_members: Vec<ActiveMember<'a>>,
    up_by_zone: BTreeMap<&'a str, u32>,
}

/// The result of counting some ballots on a server.
pub(super) struct Count {
    pub result: VoteResult,
    /// The assumed weight of the outstanding answers.
    pub pending_weight: u32,
    /// The number of zones of the voters for the removal, and of all voters.
    zones: (usize, usize),
}

impl<'a> Poll<'a> {
    /// Collects the valid ballots; `started_at` is when heartbeats were first received.
    pub fn new(
        now: Millis,
        started_at: Millis,
        settings: &'a VoteSettings,
        reports: &'a BTreeMap<String, Voter>,
        roster: &'a Roster,
    ) -> Self {
        let mut voters = BTreeMap::new();
        let mut ballots: BTreeMap<&str, Vec<ValidBallot>> = BTreeMap::new();
        let mut reported_up: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for (name, voter) in reports {
            let expires_at =
                voter.echoed_time.map_or(Millis::NEG_INFINITY, |time| time + settings.ballot_ttl);
            if now >= expires_at {
                continue;
            }
            voters.insert(name.as_str(), voter);
            for (zone, up_servers) in &voter.up_servers {
                reported_up.entry(zone).or_default().push(*up_servers);
            }
            for (server, ballot) in voter.ballots.iter().filter(|_| !voter.abstains) {
                let valid = ValidBallot { voter: name, zone: voter.zone.as_deref(), ballot, expires_at };
                ballots.entry(server).or_default().push(valid);
            }
        }
        let mut active_members = Vec::new();
        let mut previous_name = None;
        for (process, _) in roster
            .members()
            .filter(|(process, _)| previous_name.replace(&process.name) != Some(&process.name))
        {
            let voter = reports.get(&process.name);
            let active_until =
                voter.map_or(started_at, |voter| voter.last_heartbeat_at) + settings.ballot_ttl;
            if now < active_until {
                let zone = voter.map(|voter| voter.zone.as_deref());
                let echoed_time = voter.and_then(|voter| voter.echoed_time);
                active_members.push(ActiveMember { name: &process.name, zone, echoed_time });
            }
        }
        let up_by_zone =
            reported_up.into_iter().map(|(zone, mut counts)| (zone, lower_median(&mut counts))).collect();
        Self { now, settings, voters, ballots, active_members, up_by_zone }
    }

    /// Returns the servers that there are ballots on.
    pub fn servers(&self) -> impl Iterator<Item = (&'a str, &[ValidBallot<'a>])> {
        self.ballots.iter().map(|(server, ballots)| (*server, ballots.as_slice()))
    }

    /// Returns all ballots on a server, about any of its processes.
    pub fn ballots_on(&self, server: &str) -> &[ValidBallot<'a>] {
        self.ballots.get(server).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of servers that are up in a zone: the median of what voters report.
    pub fn up_servers(&self, zone: &str) -> Option<u32> {
        self.up_by_zone.get(zone).copied()
    }

    /// Returns the maximum weight of one ballot.
    fn max_weight(&self, ballots: &[ValidBallot]) -> u32 {
        let mut attempts: Vec<u32> = ballots.iter().map(|valid| valid.ballot.evidence.attempts).collect();
        lower_median(&mut attempts).clamp(1, self.settings.max_voter_weight)
    }

    /// Counts ballots about one process of a server that was queried at `queried_at`, in one zone or in all.
    pub fn count(&self, ballots: &[ValidBallot], queried_at: Millis, zone: Option<&str>) -> Count {
        let max_weight = self.max_weight(ballots);
        let answered: BTreeSet<&str> = ballots.iter().map(|valid| valid.voter).collect();
        let pending = self.active_members.iter().filter(|member| {
            let may_vote = zone.is_none() || member.zone.is_none_or(|member_zone| member_zone == zone);
            may_vote
                && !answered.contains(member.name)
                && member.echoed_time.is_none_or(|time| time <= queried_at)
                && self.now < queried_at + self.settings.ballot_ttl
        });
        let pending_weight = max_weight.saturating_mul(pending.count() as u32);
        let zone_count = |only_in_favor: bool| {
            let counted = ballots.iter().filter(|valid| !only_in_favor || valid.ballot.vote == Vote::For);
            counted.map(|valid| valid.zone).collect::<BTreeSet<_>>().len()
        };
        let zones = (zone_count(true), zone_count(false));
        Count { result: vote_result(ballots, max_weight), pending_weight, zones }
    }

    /// Returns whether the count suffices to remove a server; `earlier` are the voters of a verdict for other zones.
    pub fn suffices(&self, count: &Count, earlier: Option<&VoteSide>) -> bool {
        let VoteResult { in_favor, against } = &count.result;
        let (voters, failures) = earlier.map_or((0, 0), |side| (side.voters, side.failures));
        let total = f64::from(in_favor.weight) + f64::from(against.weight) + f64::from(count.pending_weight);
        in_favor.voters > 0
            && in_favor.voters.saturating_add(voters) >= self.settings.min_voters
            && in_favor.failures.saturating_add(failures) >= self.settings.min_failures
            && f64::from(in_favor.weight) >= self.settings.majority * total - 1e-9
    }
}

impl Count {
    /// Returns whether the voters in favor are from two zones, if the voters are.
    pub fn spans_zones(&self) -> bool {
        self.zones.0 >= self.zones.1.min(2)
    }

    /// Returns whether no answer is outstanding and the weight in favor is less than half of what a removal needs.
    pub fn is_far_from_majority(&self, settings: &VoteSettings) -> bool {
        let VoteResult { in_favor, against } = &self.result;
        let total = f64::from(in_favor.weight) + f64::from(against.weight);
        self.pending_weight == 0 && 2.0 * f64::from(in_favor.weight) < settings.majority * total
    }
}

/// Sums up both sides, with each ballot weighing at most `max_weight`.
pub(super) fn vote_result(ballots: &[ValidBallot], max_weight: u32) -> VoteResult {
    let sum = |vote: Vote| {
        let mut counted: Vec<&ValidBallot> =
            ballots.iter().filter(|valid| valid.ballot.vote == vote).collect();
        counted.sort_by_key(|valid| std::cmp::Reverse(valid.ballot.evidence.attempts));
        let mut side = VoteSide { voters: counted.len() as u32, ..VoteSide::default() };
        for valid in &counted {
            let evidence = &valid.ballot.evidence;
            side.weight = side.weight.saturating_add(evidence.attempts.min(max_weight));
            side.failures = side.failures.saturating_add(evidence.failures().min(max_weight));
            side.evidence = side.evidence.combined(evidence);
        }
        side.voter_names =
            counted.iter().take(MAX_NAMED_VOTERS).map(|valid| valid.voter.to_owned()).collect();
        side
    };
    VoteResult { in_favor: sum(Vote::For), against: sum(Vote::Against) }
}

/// Returns the median; the smaller one of two in the middle, and 0 for an empty slice.
fn lower_median(values: &mut [u32]) -> u32 {
    if values.is_empty() {
        return 0;
    }
    let middle = (values.len() - 1) / 2;
    *values.select_nth_unstable(middle).1
}

/// Orders candidates for probing by a hash of agreed values, so that no node can choose itself. Nodes that
/// `last_result` names come first, as they are known to send to the server.
pub(super) fn order_probers<'a>(
    changed_at: u64,
    server: &str,
    names: impl Iterator<Item = &'a str>,
    last_result: &VoteResult,
) -> Vec<&'a str> {
    let hash = |name: &str| {
        // FNV-1a with a finalizer: the same on every replica and in every version of the program.
        let bytes = changed_at.to_be_bytes().into_iter().chain(server.bytes()).chain([0]).chain(name.bytes());
        let mut hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        for shift in [33, 29] {
            hash = (hash ^ (hash >> shift)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        }
        hash ^ (hash >> 32)
    };
    let has_voted = |name: &str| {
        [&last_result.in_favor, &last_result.against]
            .iter()
            .any(|side| side.voter_names.iter().any(|n| n == name))
    };
    let mut names: Vec<&str> = names.collect();
    names.sort_by_cached_key(|name| (!has_voted(name), hash(name)));
    names
}
