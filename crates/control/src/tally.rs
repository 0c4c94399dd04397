//! Counting of ballots on servers, and the verdicts that follow. It runs next to the [`crate::leader`] and like it lives
//! for one term. It does no I/O: it takes times and inputs, and returns the commands to write.
//!
//! Goal: one node's evidence says as much about its own links as about the server, and is often thin. A verdict must
//! therefore rest on all nodes that have sent to the server recently. Design: nodes report unprompted only which servers
//! they want *removed*. Once there are enough such ballots, the leader *queries* the server, and every node that has
//! evidence reports its vote. A healthy fleet thus reports nothing, and no removal is decided only by the nodes that
//! complain.
//!
//! - *Voters.* A name has one voter: its newest process; an older process that is still alive has no vote. A heartbeat
//!   replaces the voter's previous report, is valid from the leader time that it echoes (which is before it was sent) and
//!   expires `Ballot` later. So a late or duplicated heartbeat does not extend a ballot's validity, one from before this
//!   term has no effect, and a node that was paused for that long has no vote until it has received a reply again.
//! - *Outstanding answers.* Members that were queried and have not answered count as against, each with the maximum
//!   weight, for `Ballot` from the query on. By then every valid voter has echoed a reply that contained the query. The
//!   same holds for a new leader, which knows no voters yet and counts the whole roster as outstanding.
//! - *Weight.* The number of attempts in a ballot, capped by `Weight` and by the median of all ballots on that server:
//!   where evidence is thin, a faulty voter that claims much weighs no more than the median voter.
//! - *Removal.* At least `Voters` are in favor, with `Evidence` failures in sum (none contributes more than its weight)
//!   and a `Majority` of the total weight, and they are from two zones if the voters are from two or more. Otherwise the
//!   zones are evaluated one by one, and the server is removed for those that meet the first three conditions. Fewer than
//!   `Voters` faulty voters cannot cause anything, not even a query; more of them cannot as long as they weigh less than
//!   `Majority` of a zone's voters and of all voters.
//! - *Extension to more zones.* The voters behind a verdict for some zones stop sending to the server, so they have no
//!   ballots left. The verdict's own vote result counts for them when other zones are evaluated. Otherwise a zone in
//!   which a single node sends to the server could never remove it.
//! - *Term.* Measured from when this leader first saw the verdict. A new leader does not know how long a verdict has
//!   been in force, and treats its term as ended. Each further term is twice as long, up to [`MAX_TERM_FACTOR`] times.
//! - *Return.* When a term has ended, a few nodes probe the server. If they agree early, that decides; otherwise their
//!   weight after `Window` and `Ballot` does. If none has cast a ballot, the server returns: no server stays removed
//!   without a vote, and if it is still bad, its new failures remove it again. (Rejected: choosing new probers, because
//!   that adds up to a long time without a vote exactly when nodes have problems.)
//! - *Restart.* Nodes ignore a verdict about another process of the server. The verdict ends once there are ballots
//!   about the new process, or with its term.
//!
//! One task owns both the tally and the leader, so nothing here is shared between threads.

use std::collections::{BTreeMap, BTreeSet};

use member::votes::{Vote, VoteReport, VoteSettings, MAX_BALLOTS, MAX_NAME_BYTES, MAX_ZONES};
use member::{Millis, Process, Stamp};

use crate::command::{Outcome, VerdictCommand};
use crate::machine::FleetState;
use crate::roster::MAX_PROCESSES_PER_NODE;
use crate::verdicts::{
    max_removed, vote_settings, EndReason, VerdictEntry, VerdictState, VoteResult, MAX_PROBERS,
};

use poll::{order_probers, vote_result, Poll, ValidBallot, Voter};

mod poll;
pub mod view;

/// The maximum number of open queries, and of servers that are probed at the same time.
pub const MAX_QUERIES: usize = 64;
/// The maximum length of a verdict's term, as a multiple of the first one.
pub const MAX_TERM_FACTOR: u32 = 8;
/// The interval between two evaluations; a failed write is retried after ten intervals.
const EVALUATION_INTERVAL_MS: Millis = 25.0;
/// How long a server's past terms count after its return, in terms of the maximum length.
const RETURN_MEMORY_TERMS: Millis = 12.0;

/// An event that the tally handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A heartbeat was received.
    Heartbeat {
        /// The sender.
        process: Process,
        /// The stamp that it echoes.
        echoed_stamp: Option<Stamp>,
        /// What it reports about servers.
        report: Option<VoteReport>,
    },
    /// The result of writing a command. There is one for each command; if there is an outcome, the fleet state already
    /// contains it.
    WriteResult {
        /// The command.
        command: VerdictCommand,
        /// Its outcome; `None` if it is unknown whether it was written.
        outcome: Option<Outcome>,
    },
    /// The fleet state has changed.
    Applied,
    /// Time has passed.
    Tick,
}

/// A query to all nodes about one server.
#[derive(Clone, Debug, PartialEq)]
struct Query {
    /// The start time of the server process that it is about.
    born_ms: f64,
    /// Replies written after this time contain the query.
    queried_at: Millis,
    /// It led to no removal: it is suspended until this time, or until twice this weight is in favor.
    suspended: Option<(Millis, u32)>,
    /// The votes suffice for a removal, but the zone's cap is reached.
    blocked_by_cap: bool,
}

/// The ballots of one leader's term. Created when the replica becomes leader, dropped when the term ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Tally {
    term: u64,
    /// When heartbeats were first received: the start of the term, or when votes were enabled.
    started_at: Millis,
    enabled: bool,
    synced_version: Option<u64>,
    voters: BTreeMap<String, Voter>,
    queries: BTreeMap<String, Query>,
    queried_servers: Vec<String>,
    /// The version of each verdict, and when this leader first saw its term or probing.
    verdict_clocks: BTreeMap<String, (u64, Millis)>,
    /// Servers that returned recently: when, and the index of their last term.
    recent_returns: BTreeMap<String, (Millis, u32)>,
    /// Servers with a command in flight; for a removal, with the zone that it counts in.
    in_flight: BTreeMap<String, Option<String>>,
    next_write_at: Millis,
    evaluated_at: Millis,
    needs_evaluation: bool,
}

impl Tally {
    /// Creates the tally of a leader that was elected before `now`; `term` is the one in the stamps of its replies.
    pub fn new(term: u64, now: Millis) -> Self {
        Self {
            term,
            started_at: now,
            enabled: false,
            synced_version: None,
            voters: BTreeMap::new(),
            queries: BTreeMap::new(),
            queried_servers: Vec::new(),
            verdict_clocks: BTreeMap::new(),
            recent_returns: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            next_write_at: now,
            evaluated_at: now - EVALUATION_INTERVAL_MS,
            needs_evaluation: false,
        }
    }

    /// Handles `inputs` in order, all at the time `now`; `state` is the replica's fleet state at this moment. Returns the commands
    /// to write, whose results must be reported by [`Input::WriteResult`]. It must be called before the leader writes
    /// its replies, so that they contain the current queries.
    pub fn handle_all(
        &mut self,
        now: Millis,
        inputs: impl IntoIterator<Item = Input>,
        state: &FleetState,
    ) -> Vec<VerdictCommand> {
        let settings = self.sync(now, state);
        for input in inputs {
            match input {
                Input::Heartbeat { process, echoed_stamp, report } if settings.is_some() => {
                    self.on_heartbeat(now, process, echoed_stamp, report, state);
                }
                Input::WriteResult { command, outcome } => self.on_write_result(now, &command, outcome),
                Input::Heartbeat { .. } | Input::Applied | Input::Tick => {}
            }
        }
        let is_due = now >= self.evaluated_at + EVALUATION_INTERVAL_MS;
        let Some(settings) = settings.filter(|_| is_due) else { return Vec::new() };
        (self.evaluated_at, self.needs_evaluation) = (now, false);
        self.evaluate(now, &settings, state)
    }

    /// Returns the servers that each reply must query ([`member::HeartbeatReply::queried_servers`]).
    pub fn queried_servers(&self) -> &[String] {
        &self.queried_servers
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick_at(&self) -> Option<Millis> {
        let is_busy = self.needs_evaluation || !self.queries.is_empty() || !self.verdict_clocks.is_empty();
        (self.enabled && is_busy).then_some(self.evaluated_at + EVALUATION_INTERVAL_MS)
    }

    /// Updates the voters from the roster and the clocks from the verdicts; without vote settings, drops everything.
    fn sync(&mut self, now: Millis, state: &FleetState) -> Option<VoteSettings> {
        let settings = vote_settings(state.policy_state().policy());
        if settings.is_some() != self.enabled {
            *self = Self {
                enabled: settings.is_some(),
                in_flight: self.in_flight.clone(),
                ..Self::new(self.term, now)
            };
        }
        let settings = settings?;
        if self.synced_version != Some(state.version()) {
            let is_first = self.synced_version.is_none();
            let roster = state.roster();
            self.voters.retain(|name, _| roster.processes_of(name).next().is_some());
            let verdicts = state.verdicts();
            let is_new = |ended_at: u64| self.synced_version.is_some_and(|synced| ended_at > synced);
            for ended in verdicts.ended().filter(|ended| is_new(ended.ended_at)) {
                if matches!(ended.reason, EndReason::ProbesPassed | EndReason::NoProbeVotes) {
                    self.recent_returns.insert(ended.server.clone(), (now, ended.term_index));
                }
            }
            let clocks = std::mem::take(&mut self.verdict_clocks);
            for (server, entry) in verdicts.entries() {
                let clock = clocks.get(server).filter(|(version, _)| *version == entry.changed_at).copied();
                // A new leader does not know how long the verdict has been in force: its term counts as ended, and its
                // probing starts again.
                let since = if is_first && entry.probers.is_empty() { Millis::NEG_INFINITY } else { now };
                self.verdict_clocks.insert(server.clone(), clock.unwrap_or((entry.changed_at, since)));
            }
            self.synced_version = Some(state.version());
            self.needs_evaluation = true;
        }
        let memory = RETURN_MEMORY_TERMS * settings.verdict_term * Millis::from(MAX_TERM_FACTOR);
        self.recent_returns.retain(|_, (returned_at, _)| now - *returned_at < memory);
        Some(settings)
    }

    fn on_heartbeat(
        &mut self,
        now: Millis,
        process: Process,
        echoed_stamp: Option<Stamp>,
        report: Option<VoteReport>,
        state: &FleetState,
    ) {
        let roster = state.roster();
        if roster.member(&process).is_none() {
            return;
        }
        let echoed_time =
            echoed_stamp.filter(|stamp| stamp.term == self.term && stamp.time <= now).map(|stamp| stamp.time);
        let Process { name, boot } = process;
        let replaced_boots = match self.voters.get(&name) {
            Some(known) if known.boot == boot => {
                if echoed_time < known.echoed_time {
                    return; // A heartbeat that was sent later has arrived earlier.
                }
                known.replaced_boots.clone()
            }
            Some(known) => {
                let is_member = |boot: u64| roster.member(&Process { name: name.clone(), boot }).is_some();
                if known.replaced_boots.contains(&boot) && is_member(known.boot) {
                    return;
                }
                let others = known.replaced_boots.iter().chain([&known.boot]).copied();
                others
                    .filter(|&other| other != boot && is_member(other))
                    .take(MAX_PROCESSES_PER_NODE)
                    .collect()
            }
            None => Vec::new(),
        };
        let VoteReport { zone, up_servers, abstains, ballots } = report.unwrap_or_default();
        let is_short = |text: &String| text.len() <= MAX_NAME_BYTES;
        let mut accepted = BTreeMap::new();
        for ballot in ballots.into_iter().take(MAX_BALLOTS) {
            let is_valid = ballot.born_ms.is_finite() && ballot.evidence.attempts > 0;
            if is_valid && is_short(&ballot.server) && is_short(&ballot.zone) && echoed_time.is_some() {
                accepted.entry(ballot.server.clone()).or_insert(ballot);
            }
        }
        let voter = Voter {
            boot,
            replaced_boots,
            last_heartbeat_at: now,
            echoed_time,
            zone: zone.filter(is_short),
            up_servers: up_servers.into_iter().take(MAX_ZONES).filter(|(zone, _)| is_short(zone)).collect(),
            abstains,
            ballots: accepted,
        };
        self.needs_evaluation = true;
        self.voters.insert(name, voter);
    }

    fn on_write_result(&mut self, now: Millis, command: &VerdictCommand, outcome: Option<Outcome>) {
        self.in_flight.remove(command.server());
        if outcome != Some(Outcome::Done) {
            self.next_write_at = now + 10.0 * EVALUATION_INTERVAL_MS;
        }
        self.needs_evaluation = true;
    }

    /// Evaluates all valid ballots: updates the queries, and returns the commands to write.
    fn evaluate(&mut self, now: Millis, settings: &VoteSettings, state: &FleetState) -> Vec<VerdictCommand> {
        let voters = std::mem::take(&mut self.voters);
        let poll = Poll::new(now, self.started_at, settings, &voters, state.roster());
        self.update_queries(&poll, state.verdicts());
        let mut commands = Vec::new();
        if now >= self.next_write_at {
            self.review_verdicts(&poll, state.verdicts(), &mut commands);
            self.remove_servers(&poll, state.verdicts(), &mut commands);
        }
        self.voters = voters;
        commands
    }

    /// Opens and closes queries.
    fn update_queries(&mut self, poll: &Poll, verdicts: &VerdictState) {
        let VoteSettings { min_voters, min_failures, max_voter_weight, .. } = *poll.settings;
        let mut suspects = BTreeMap::new();
        for (server, ballots) in poll.servers() {
            let entry = verdicts.get(server);
            let mut by_process: BTreeMap<u64, (u32, u32)> = BTreeMap::new();
            for valid in unaffected(ballots, entry).filter(|valid| valid.ballot.vote == Vote::For) {
                let (count, failures) = by_process.entry(valid.ballot.born_ms.to_bits()).or_default();
                *count += 1;
                *failures += valid.ballot.evidence.failures().min(max_voter_weight);
            }
            if let Some((&process, &(count, failures))) =
                by_process.iter().max_by_key(|(_, counted)| **counted)
            {
                let born_ms = f64::from_bits(process);
                let earlier =
                    entry.filter(|entry| entry.born_ms == born_ms).map(|entry| &entry.vote_result.in_favor);
                let (earlier_voters, earlier_failures) =
                    earlier.map_or((0, 0), |side| (side.voters, side.failures));
                if count.saturating_add(earlier_voters) >= min_voters
                    && failures.saturating_add(earlier_failures) >= min_failures
                {
                    suspects.insert(server, (born_ms, failures));
                }
            }
        }
        let now = poll.now;
        self.queries.retain(|server, query| {
            let is_suspect =
                suspects.get(server.as_str()).is_some_and(|(born_ms, _)| *born_ms == query.born_ms);
            is_suspect || query.suspended.is_some_and(|(until, _)| now < until)
        });
        let mut suspects: Vec<_> = suspects.into_iter().collect();
        suspects.sort_by_key(|(_, (_, failures))| std::cmp::Reverse(*failures));
        for (server, (born_ms, failures)) in suspects {
            let existing = self.queries.get(server);
            if existing.is_some_and(|query| {
                query.born_ms == born_ms
                    && query.suspended.is_none_or(|(until, weight)| now < until && failures < 2 * weight)
            }) {
                continue;
            }
            let open = self.queries.values().filter(|query| query.suspended.is_none()).count();
            if open < MAX_QUERIES && (existing.is_some() || self.queries.len() < 8 * MAX_QUERIES) {
                let query = Query { born_ms, queried_at: now, suspended: None, blocked_by_cap: false };
                self.queries.insert(server.to_owned(), query);
            }
        }
        let open = self.queries.iter().filter(|(_, query)| query.suspended.is_none());
        let probed = verdicts.entries().filter(|(_, entry)| !entry.probers.is_empty());
        let queried: BTreeSet<&String> =
            open.map(|(server, _)| server).chain(probed.map(|(server, _)| server)).collect();
        self.queried_servers = queried.into_iter().cloned().collect();
    }

    /// Removes the servers with sufficient votes, the worst first.
    fn remove_servers(&mut self, poll: &Poll, verdicts: &VerdictState, commands: &mut Vec<VerdictCommand>) {
        let mut removals = Vec::new();
        for (server, query) in self.queries.iter_mut().filter(|(_, query)| query.suspended.is_none()) {
            if self.in_flight.contains_key(server) {
                continue;
            }
            let current = verdicts.get(server).filter(|entry| entry.born_ms == query.born_ms);
            let ballots: Vec<ValidBallot> = unaffected(poll.ballots_on(server), current)
                .filter(|valid| valid.ballot.born_ms == query.born_ms)
                .collect();
            let total = poll.count(&ballots, query.queried_at, None);
            let earlier = current.map(|entry| &entry.vote_result.in_favor);
            let zones = if poll.suffices(&total, earlier) && total.spans_zones() {
                Some(Vec::new())
            } else {
                let zones: Vec<String> = voter_zones(&ballots)
                    .filter(|zone| {
                        let in_zone: Vec<ValidBallot> =
                            ballots.iter().filter(|valid| valid.zone == Some(zone)).copied().collect();
                        poll.suffices(&poll.count(&in_zone, query.queried_at, Some(zone)), earlier)
                    })
                    .take(MAX_ZONES)
                    .map(str::to_owned)
                    .collect();
                Some(zones).filter(|zones| !zones.is_empty())
            };
            let is_over = poll.now >= query.queried_at + poll.settings.ballot_ttl
                || total.is_far_from_majority(poll.settings);
            let weight = total.result.in_favor.weight;
            match zones {
                Some(zones) => {
                    let zone = server_zone(&ballots);
                    removals.push((server.clone(), query.born_ms, zones, total.result, zone))
                }
                None if is_over => {
                    query.suspended = Some((poll.now + poll.settings.evidence_window, weight));
                    query.blocked_by_cap = false;
                }
                None => {}
            }
        }
        removals.sort_by_key(|(.., result, _)| std::cmp::Reverse(result.in_favor.weight));
        for (server, born_ms, zones, vote_result, zone) in removals {
            let up_servers = poll.up_servers(&zone).unwrap_or(0);
            let in_flight = self.in_flight.values().flatten().filter(|other| **other == zone).count();
            let others =
                verdicts.entries().filter(|(other, entry)| **other != server && entry.zone == zone).count();
            if others + in_flight >= max_removed(poll.settings.removal_cap, up_servers) {
                let query = self.queries.get_mut(&server).expect("each server to remove has a query");
                let until = poll.now + poll.settings.evidence_window;
                query.suspended = Some((until, vote_result.in_favor.weight));
                query.blocked_by_cap = true;
                continue;
            }
            self.in_flight.insert(server.clone(), Some(zone.clone()));
            let term_index = self.recent_returns.get(&server).map_or(0, |(_, last)| last + 1);
            commands.push(VerdictCommand::Remove {
                server,
                born_ms,
                zone,
                zones,
                up_servers,
                term_index,
                vote_result,
            });
        }
    }

    /// Handles verdicts whose term or probing has ended, whose server has restarted, or that exceed the cap.
    fn review_verdicts(&mut self, poll: &Poll, verdicts: &VerdictState, commands: &mut Vec<VerdictCommand>) {
        let now = poll.now;
        let mut probed = verdicts.entries().filter(|(_, entry)| !entry.probers.is_empty()).count();
        // A new leader knows no voters yet, and would count every prober as silent.
        let knows_voters = now >= self.started_at + poll.settings.ballot_ttl;
        for (server, entry) in verdicts.entries().filter(|_| knows_voters) {
            if self.in_flight.contains_key(server) {
                continue;
            }
            let Some((_, since)) = self.verdict_clocks.get(server).copied() else { continue };
            let return_server = |reason, vote_result| {
                let (server, changed_at) = (server.clone(), entry.changed_at);
                Some(VerdictCommand::Return { server, changed_at, reason, vote_result })
            };
            let command = if has_restarted(poll, server, entry) {
                return_server(EndReason::Restarted, None)
            } else if exceeds_cap(poll, verdicts, entry) {
                return_server(EndReason::CapReduced, None)
            } else if !entry.probers.is_empty() {
                match probe_result(poll, server, entry, since) {
                    Some(ProbeResult::NoVotes) => return_server(EndReason::NoProbeVotes, None),
                    Some(ProbeResult::Good(result)) => return_server(EndReason::ProbesPassed, Some(result)),
                    Some(ProbeResult::Bad(vote_result)) => {
                        let (server, changed_at) = (server.clone(), entry.changed_at);
                        Some(VerdictCommand::Extend { server, changed_at, vote_result })
                    }
                    None => None,
                }
            } else if now >= since + term_length(poll.settings, entry.term_index) && probed < MAX_QUERIES {
                let may_probe = |voter: &Voter| {
                    let zone = voter.zone.as_ref();
                    !voter.abstains
                        && (entry.zones.is_empty() || zone.is_some_and(|z| entry.zones.contains(z)))
                };
                let names = poll.voters.iter().filter(|(_, voter)| may_probe(voter)).map(|(name, _)| *name);
                let count = (poll.settings.prober_count as usize).min(MAX_PROBERS);
                let ordered = order_probers(entry.changed_at, server, names, &entry.vote_result);
                let probers: Vec<String> = ordered.into_iter().take(count).map(str::to_owned).collect();
                if probers.is_empty() {
                    return_server(EndReason::NoProbeVotes, None)
                } else {
                    probed += 1;
                    let (server, changed_at) = (server.clone(), entry.changed_at);
                    Some(VerdictCommand::Probe { server, changed_at, probers })
                }
            } else {
                None
            };
            if let Some(command) = command {
                self.in_flight.insert(server.clone(), None);
                commands.push(command);
            }
        }
    }
}

/// The result of probing a server.
enum ProbeResult {
    NoVotes,
    Good(VoteResult),
    Bad(VoteResult),
}

/// Returns the length of the term with this index.
fn term_length(settings: &VoteSettings, term_index: u32) -> Millis {
    settings.verdict_term * Millis::from(2_u32.saturating_pow(term_index).min(MAX_TERM_FACTOR))
}

/// Returns the ballots of voters that the verdict does not keep from sending to the server.
fn unaffected<'a, 'b>(
    ballots: &'b [ValidBallot<'a>],
    entry: Option<&'b VerdictEntry>,
) -> impl Iterator<Item = ValidBallot<'a>> + 'b {
    ballots.iter().copied().filter(move |valid| {
        entry.filter(|entry| entry.born_ms == valid.ballot.born_ms).is_none_or(|entry| {
            let applies_to = |zone| entry.zones.iter().any(|name| name == zone);
            !entry.zones.is_empty() && !valid.zone.is_some_and(applies_to)
        })
    })
}

/// Returns the voters' zones.
fn voter_zones<'a>(ballots: &[ValidBallot<'a>]) -> impl Iterator<Item = &'a str> {
    ballots.iter().filter_map(|valid| valid.zone).collect::<BTreeSet<_>>().into_iter()
}

/// Returns the server's zone according to most ballots.
fn server_zone(ballots: &[ValidBallot]) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    ballots.iter().for_each(|valid| *counts.entry(&valid.ballot.zone).or_default() += 1);
    counts.into_iter().max_by_key(|(_, count)| *count).map_or(String::new(), |(zone, _)| zone.to_owned())
}

/// Returns whether enough voters know another process of the server, and more than know this one.
fn has_restarted(poll: &Poll, server: &str, entry: &VerdictEntry) -> bool {
    let ballots = poll.ballots_on(server);
    let others = ballots.iter().filter(|valid| valid.ballot.born_ms != entry.born_ms).count();
    others >= poll.settings.min_voters as usize && 2 * others > ballots.len()
}

/// Returns whether more servers of the zone are removed than the cap now allows, and this verdict is the newest.
fn exceeds_cap(poll: &Poll, verdicts: &VerdictState, entry: &VerdictEntry) -> bool {
    let up_servers = poll.up_servers(&entry.zone);
    let is_newest = || {
        verdicts.entries().all(|(_, other)| other.zone != entry.zone || other.created_at <= entry.created_at)
    };
    up_servers
        .is_some_and(|up| verdicts.removed_count(&entry.zone) > max_removed(poll.settings.removal_cap, up))
        && is_newest()
}

/// Returns the probers' result, once it is decided.
fn probe_result(poll: &Poll, server: &str, entry: &VerdictEntry, since: Millis) -> Option<ProbeResult> {
    let is_probers = |valid: &&ValidBallot| {
        valid.ballot.born_ms == entry.born_ms && entry.probers.iter().any(|name| name == valid.voter)
    };
    let ballots: Vec<ValidBallot> = poll.ballots_on(server).iter().filter(is_probers).copied().collect();
    let result = vote_result(&ballots, poll.settings.max_voter_weight);
    let (in_favor, against) = (&result.in_favor, &result.against);
    let is_over = poll.now >= since + poll.settings.evidence_window + poll.settings.ballot_ttl;
    let live_probers = entry.probers.iter().filter(|name| poll.voters.contains_key(name.as_str())).count();
    let is_unanimous = in_favor.voters == 0 || against.voters == 0;
    let is_complete = ballots.len() >= live_probers.max(1)
        && in_favor.weight + against.weight >= poll.settings.min_failures;
    if ballots.is_empty() {
        return is_over.then_some(ProbeResult::NoVotes);
    }
    if !(is_over || is_unanimous && is_complete) {
        return None;
    }
    let total = f64::from(in_favor.weight) + f64::from(against.weight);
    let is_bad = f64::from(in_favor.weight) >= poll.settings.majority * total - 1e-9;
    Some(if is_bad { ProbeResult::Bad(result) } else { ProbeResult::Good(result) })
}
