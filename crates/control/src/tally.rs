//! Ballots on servers and what follows from them, beside the [`crate::leader`] and like it for one term. Pure: a time and
//! an event in, commands to be written out.
//!
//! Need: one node's evidence says as much of its own links as of the server, and is often thin: a verdict must rest on
//! those who have sent to the server of late. Shape: nodes say of their own accord what they are *for* removing; once
//! enough of that has come together, the leader *asks* about the server, and each node that has evidence says where it
//! stands. So a calm fleet says nothing, and no removal is decided on the word of those alone that complain.
//!
//! - *Standing.* A name has one voter: its process that came last; an older one that lives on has no voice. Its beat
//!   replaces all it said before, counts from the stamp that it echoes (which is before its sending) and lapses
//!   `Ballot` after it. So a late or repeated beat makes nothing stand longer, one from before this term says nothing,
//!   and whoever was stopped for that long says nothing until it has had an answer again.
//! - *Silence.* Members that were asked and have not answered count as against, each with a full voice, for `Ballot` from
//!   the question on. By then whoever stands has echoed an answer that asked. That holds for a new leader, too, which
//!   knows nobody: all of the roster are waited for.
//! - *Weight.* The attempts that a ballot tells of, up to `Weight` and up to the median of all ballots on that server:
//!   where evidence is thin, a liar that claims much weighs no more than the one in the middle.
//! - *Removal.* At least `Voters` are for it, they tell of `Evidence` failures (none of more than it weighs), their weight
//!   is `Majority` of all, and they are of two zones where the voters are of two or more. Otherwise zones are looked at one
//!   by one, and those where the first three rules hold lose it. Fewer than `Voters` liars bring nothing about, not even a
//!   question; more of them not while they weigh less than `Majority` of a zone's voters and of all.
//! - *Widening.* Those who brought about a verdict for some zones send nothing there any more, so that they have no voice
//!   left: the verdict's own case stands for them where the others are counted. A zone in which a single node sends to
//!   the server would else never lose it.
//! - *Term.* Counted from when this leader has seen the verdict; one that finds a verdict does not know how long it has
//!   held and takes its term to be over. Each further term is twice as long, up to [`TERM_GROWTH`] times.
//! - *Return.* A term over, a few nodes probe. If they agree early, that decides; if not, what they weigh after `Window` and
//!   `Ballot`. If none has said anything, the server is back: nobody stays removed without a vote, and if it is bad
//!   still, it is removed again by what it then costs. (Rejected: to draw again, as that adds up to a long time
//!   without a vote just where nodes are in trouble.)
//! - *Restart.* Nodes heed no verdict about another process of the server; the entry goes once ballots about the new one
//!   have come, or with its term.
//!
//! One task holds this beside the leader, so nothing here is shared between threads.

use std::collections::{BTreeMap, BTreeSet};

use member::votes::{Vote, VoteReport, VoteSettings, MAX_BALLOTS, MAX_NAME_BYTES, MAX_ZONES};
use member::{Millis, Process, Stamp};

use crate::command::{Outcome, VerdictCommand};
use crate::machine::Agreement;
use crate::roster::PROCESSES_MOST;
use crate::verdicts::{allowed, figures, Case, Entry, Verdicts, Why, PROBERS_MOST};

use poll::{case, draw, Poll, Voice, Voter};

mod poll;
pub mod shown;

/// The most questions at a time, and the most servers that are probed at a time.
pub const ASKED_MOST: usize = 64;
/// How much longer than the first one a verdict's terms become.
pub const TERM_GROWTH: u32 = 8;
/// From one judgement to the next; a write that failed is tried again after ten times that.
const PACE: Millis = 25.0;
/// For how many terms after its return a server's earlier terms count.
const RECALL: Millis = 12.0;

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A beat came.
    Beat {
        /// Who speaks.
        process: Process,
        /// The stamp that it echoes.
        echo: Option<Stamp>,
        /// What it says of servers.
        votes: Option<VoteReport>,
    },
    /// How a command ended that was to be written; comes for each, and with an agreement that holds it where it has an
    /// outcome.
    Written {
        /// Which.
        command: VerdictCommand,
        /// What came of it; `None`: it may have been written or not.
        outcome: Option<Outcome>,
    },
    /// The agreement has changed.
    Applied,
    /// Time has passed.
    Tick,
}

/// A question to all nodes.
#[derive(Clone, Debug, PartialEq)]
struct Question {
    /// About the process that started then.
    born_ms: f64,
    /// Answers written after this ask it.
    since: Millis,
    /// It led to nothing: it rests until then, or until twice this weight is for the removal.
    rests: Option<(Millis, u32)>,
    /// The server was condemned, but its zone's cap is reached.
    capped: bool,
}

/// Ballots of one leader's term. Started when the replica has become leader, dropped when the term is over.
#[derive(Clone, Debug, PartialEq)]
pub struct Tally {
    term: u64,
    /// When it began to listen: the term's begin, or when votes were put on.
    began: Millis,
    on: bool,
    synced: Option<u64>,
    voters: BTreeMap<String, Voter>,
    questions: BTreeMap<String, Question>,
    asked: Vec<String>,
    /// Each verdict's version, and when its term or probe began here.
    held: BTreeMap<String, (u64, Millis)>,
    /// Servers that came back of late, when, and after how many terms.
    back: BTreeMap<String, (Millis, u32)>,
    /// Servers with a command on its way; the zone that it takes one of, where it is a removal.
    writing: BTreeMap<String, Option<String>>,
    write_at: Millis,
    judged: Millis,
    dirty: bool,
}

impl Tally {
    /// `term` as in the stamps of this leader's answers; it has begun before `now`.
    pub fn new(term: u64, now: Millis) -> Self {
        Self {
            term,
            began: now,
            on: false,
            synced: None,
            voters: BTreeMap::new(),
            questions: BTreeMap::new(),
            asked: Vec::new(),
            held: BTreeMap::new(),
            back: BTreeMap::new(),
            writing: BTreeMap::new(),
            write_at: now,
            judged: now - PACE,
            dirty: false,
        }
    }

    /// Takes what has happened up to `now`, in its order; `agreement` is the replica's state at this moment. What comes
    /// out is to be written, and how it ended said by [`Input::Written`]. It is called before the leader gives its
    /// answers, so that they hold what is asked now.
    pub fn handle_all(
        &mut self,
        now: Millis,
        inputs: impl IntoIterator<Item = Input>,
        agreement: &Agreement,
    ) -> Vec<VerdictCommand> {
        let figures = self.sync(now, agreement);
        for input in inputs {
            match input {
                Input::Beat { process, echo, votes } if figures.is_some() => {
                    self.beat(now, process, echo, votes, agreement);
                }
                Input::Written { command, outcome } => self.written(now, &command, outcome),
                Input::Beat { .. } | Input::Applied | Input::Tick => {}
            }
        }
        let Some(figures) = figures.filter(|_| now >= self.judged + PACE) else { return Vec::new() };
        (self.judged, self.dirty) = (now, false);
        self.judge(now, &figures, agreement)
    }

    /// Servers that each answer asks about (`Answer.asked`).
    pub fn asked(&self) -> &[String] {
        &self.asked
    }

    /// When [`Input::Tick`] is due.
    pub fn next(&self) -> Option<Millis> {
        let busy = self.dirty || !self.questions.is_empty() || !self.held.is_empty();
        (self.on && busy).then_some(self.judged + PACE)
    }

    /// Voters are of the roster, clocks are of the verdicts; without figures nothing is kept.
    fn sync(&mut self, now: Millis, agreement: &Agreement) -> Option<VoteSettings> {
        let figures = figures(agreement.book().policy());
        if figures.is_some() != self.on {
            *self =
                Self { on: figures.is_some(), writing: self.writing.clone(), ..Self::new(self.term, now) };
        }
        let figures = figures?;
        if self.synced != Some(agreement.version()) {
            let first = self.synced.is_none();
            let roster = agreement.roster();
            self.voters.retain(|name, _| roster.of(name).next().is_some());
            let verdicts = agreement.verdicts();
            for past in verdicts.past().filter(|past| self.synced.is_some_and(|synced| past.until > synced)) {
                if matches!(past.why, Why::Probed | Why::Unprobed) {
                    self.back.insert(past.server.clone(), (now, past.terms));
                }
            }
            let held = std::mem::take(&mut self.held);
            for (server, entry) in verdicts.entries() {
                let clock = held.get(server).filter(|(at, _)| *at == entry.at).copied();
                // It has held for nobody knows how long: its term is over, its probing starts anew.
                let since = if first && entry.probers.is_empty() { Millis::NEG_INFINITY } else { now };
                self.held.insert(server.clone(), clock.unwrap_or((entry.at, since)));
            }
            self.synced = Some(agreement.version());
            self.dirty = true;
        }
        self.back.retain(|_, (at, _)| now - *at < RECALL * figures.verdict_term * Millis::from(TERM_GROWTH));
        Some(figures)
    }

    fn beat(
        &mut self,
        now: Millis,
        process: Process,
        echo: Option<Stamp>,
        votes: Option<VoteReport>,
        agreement: &Agreement,
    ) {
        let roster = agreement.roster();
        if roster.seat(&process).is_none() {
            return;
        }
        let echo = echo.filter(|echo| echo.term == self.term && echo.time <= now).map(|echo| echo.time);
        let Process { name, boot } = process;
        let older = match self.voters.get(&name) {
            Some(known) if known.boot == boot => {
                if echo < known.echo {
                    return; // It was overtaken.
                }
                known.older.clone()
            }
            Some(known) => {
                let lives = |boot: u64| roster.seat(&Process { name: name.clone(), boot }).is_some();
                if known.older.contains(&boot) && lives(known.boot) {
                    return;
                }
                let others = known.older.iter().chain([&known.boot]).copied();
                others.filter(|&other| other != boot && lives(other)).take(PROCESSES_MOST).collect()
            }
            None => Vec::new(),
        };
        let VoteReport { zone, up_servers: up, abstains: doubts, ballots } = votes.unwrap_or_default();
        let fits = |text: &String| text.len() <= MAX_NAME_BYTES;
        let mut standing = BTreeMap::new();
        for ballot in ballots.into_iter().take(MAX_BALLOTS) {
            let sane = ballot.born_ms.is_finite() && ballot.evidence.attempts > 0;
            if sane && fits(&ballot.server) && fits(&ballot.zone) && echo.is_some() {
                standing.entry(ballot.server.clone()).or_insert(ballot);
            }
        }
        let up = up.into_iter().take(MAX_ZONES).filter(|(zone, _)| fits(zone)).collect();
        let (zone, ballots) = (zone.filter(fits), standing);
        self.dirty = true;
        self.voters.insert(name, Voter { boot, older, heard: now, echo, zone, up, doubts, ballots });
    }

    fn written(&mut self, now: Millis, command: &VerdictCommand, outcome: Option<Outcome>) {
        self.writing.remove(command.server());
        if outcome != Some(Outcome::Done) {
            self.write_at = now + 10.0 * PACE;
        }
        self.dirty = true;
    }

    /// Looks at all that stands: what is asked from now on, and what is to be written.
    fn judge(&mut self, now: Millis, figures: &VoteSettings, agreement: &Agreement) -> Vec<VerdictCommand> {
        let voters = std::mem::take(&mut self.voters);
        let poll = Poll::new(now, self.began, figures, &voters, agreement.roster());
        self.ask(&poll, agreement.verdicts());
        let mut commands = Vec::new();
        if now >= self.write_at {
            self.review(&poll, agreement.verdicts(), &mut commands);
            self.remove(&poll, agreement.verdicts(), &mut commands);
        }
        self.voters = voters;
        commands
    }

    /// Opens and ends questions.
    fn ask(&mut self, poll: &Poll, verdicts: &Verdicts) {
        let VoteSettings { min_voters: voters, min_failures: evidence, max_voter_weight: weight, .. } =
            *poll.figures;
        let mut suspects = BTreeMap::new();
        for (server, voices) in poll.servers() {
            let entry = verdicts.get(server);
            let mut by_process: BTreeMap<u64, (u32, u32)> = BTreeMap::new();
            for voice in uncovered(voices, entry).filter(|v| v.ballot.vote == Vote::For) {
                let (count, sum) = by_process.entry(voice.ballot.born_ms.to_bits()).or_default();
                *count += 1;
                *sum += voice.ballot.evidence.failures().min(weight);
            }
            if let Some((&process, &(count, sum))) = by_process.iter().max_by_key(|(_, counted)| **counted) {
                let born_ms = f64::from_bits(process);
                let before = entry.filter(|entry| entry.born_ms == born_ms).map(|entry| &entry.case.favour);
                let (known, failed) = before.map_or((0, 0), |side| (side.voters, side.failed));
                if count.saturating_add(known) >= voters && sum.saturating_add(failed) >= evidence {
                    suspects.insert(server, (born_ms, sum));
                }
            }
        }
        let now = poll.now;
        self.questions.retain(|server, question| {
            let still =
                suspects.get(server.as_str()).is_some_and(|(born_ms, _)| *born_ms == question.born_ms);
            still || question.rests.is_some_and(|(until, _)| now < until)
        });
        let mut suspects: Vec<_> = suspects.into_iter().collect();
        suspects.sort_by_key(|(_, (_, sum))| std::cmp::Reverse(*sum));
        for (server, (born_ms, sum)) in suspects {
            let known = self.questions.get(server);
            if known.is_some_and(|known| {
                known.born_ms == born_ms
                    && known.rests.is_none_or(|(until, weight)| now < until && sum < 2 * weight)
            }) {
                continue;
            }
            let open = self.questions.values().filter(|question| question.rests.is_none()).count();
            if open < ASKED_MOST && (known.is_some() || self.questions.len() < 8 * ASKED_MOST) {
                let question = Question { born_ms, since: now, rests: None, capped: false };
                self.questions.insert(server.to_owned(), question);
            }
        }
        let open = self.questions.iter().filter(|(_, question)| question.rests.is_none());
        let probed = verdicts.entries().filter(|(_, entry)| !entry.probers.is_empty());
        let asked: BTreeSet<&String> =
            open.map(|(server, _)| server).chain(probed.map(|(server, _)| server)).collect();
        self.asked = asked.into_iter().cloned().collect();
    }

    /// Servers that are condemned, the worst first.
    fn remove(&mut self, poll: &Poll, verdicts: &Verdicts, commands: &mut Vec<VerdictCommand>) {
        let mut condemned = Vec::new();
        for (server, question) in self.questions.iter_mut().filter(|(_, question)| question.rests.is_none()) {
            if self.writing.contains_key(server) {
                continue;
            }
            let known = verdicts.get(server).filter(|entry| entry.born_ms == question.born_ms);
            let voices: Vec<Voice> = uncovered(poll.on(server), known)
                .filter(|voice| voice.ballot.born_ms == question.born_ms)
                .collect();
            let whole = poll.count(&voices, question.since, None);
            let before = known.map(|entry| &entry.case.favour);
            let zones = if poll.condemns(&whole, before) && whole.spans() {
                Some(Vec::new())
            } else {
                let zones: Vec<String> = zones_of(&voices)
                    .filter(|zone| {
                        let of: Vec<Voice> =
                            voices.iter().filter(|v| v.zone == Some(zone)).copied().collect();
                        poll.condemns(&poll.count(&of, question.since, Some(zone)), before)
                    })
                    .take(MAX_ZONES)
                    .map(str::to_owned)
                    .collect();
                Some(zones).filter(|zones| !zones.is_empty())
            };
            let over = poll.now >= question.since + poll.figures.ballot_ttl || whole.hopeless(poll.figures);
            let weight = whole.case.favour.weight;
            match zones {
                Some(zones) => {
                    condemned.push((server.clone(), question.born_ms, zones, whole.case, zone_of(&voices)))
                }
                None if over => {
                    question.rests = Some((poll.now + poll.figures.evidence_window, weight));
                    question.capped = false;
                }
                None => {}
            }
        }
        condemned.sort_by_key(|(.., case, _)| std::cmp::Reverse(case.favour.weight));
        for (server, born_ms, zones, case, zone) in condemned {
            let up = poll.up(&zone).unwrap_or(0);
            let coming = self.writing.values().flatten().filter(|other| **other == zone).count();
            let others =
                verdicts.entries().filter(|(other, entry)| **other != server && entry.zone == zone).count();
            if others + coming >= allowed(poll.figures.removal_cap, up) {
                let question = self.questions.get_mut(&server).expect("it was condemned by one");
                question.rests = Some((poll.now + poll.figures.evidence_window, case.favour.weight));
                question.capped = true;
                continue;
            }
            self.writing.insert(server.clone(), Some(zone.clone()));
            let terms = self.back.get(&server).map_or(0, |(_, terms)| terms + 1);
            commands.push(VerdictCommand::Remove { server, born_ms, zone, zones, up, terms, case });
        }
    }

    /// Verdicts whose term or probing is over, whose server has started anew, or that are over the cap.
    fn review(&mut self, poll: &Poll, verdicts: &Verdicts, commands: &mut Vec<VerdictCommand>) {
        let now = poll.now;
        let mut probed = verdicts.entries().filter(|(_, entry)| !entry.probers.is_empty()).count();
        // A leader that knows nobody yet would take all for silent.
        let learnt = now >= self.began + poll.figures.ballot_ttl;
        for (server, entry) in verdicts.entries().filter(|_| learnt) {
            if self.writing.contains_key(server) {
                continue;
            }
            let Some((_, since)) = self.held.get(server).copied() else { continue };
            let back =
                |why, case| Some(VerdictCommand::Return { server: server.clone(), at: entry.at, why, case });
            let command = if restarted(poll, server, entry) {
                back(Why::Restarted, None)
            } else if over_cap(poll, verdicts, entry) {
                back(Why::Cap, None)
            } else if !entry.probers.is_empty() {
                match probed_so_far(poll, server, entry, since) {
                    Some(Heard::Nothing) => back(Why::Unprobed, None),
                    Some(Heard::Good(case)) => back(Why::Probed, Some(case)),
                    Some(Heard::Bad(case)) => {
                        Some(VerdictCommand::Extend { server: server.clone(), at: entry.at, case })
                    }
                    None => None,
                }
            } else if now >= since + term(poll.figures, entry.terms) && probed < ASKED_MOST {
                let may = |voter: &Voter| {
                    let zone = voter.zone.as_ref();
                    !voter.doubts && (entry.zones.is_empty() || zone.is_some_and(|z| entry.zones.contains(z)))
                };
                let names = poll.standing.iter().filter(|(_, voter)| may(voter)).map(|(name, _)| *name);
                let most = (poll.figures.prober_count as usize).min(PROBERS_MOST);
                let drawn = draw(entry.at, server, names, &entry.case).into_iter().take(most);
                let probers: Vec<String> = drawn.map(str::to_owned).collect();
                if probers.is_empty() {
                    back(Why::Unprobed, None)
                } else {
                    probed += 1;
                    Some(VerdictCommand::Probe { server: server.clone(), at: entry.at, probers })
                }
            } else {
                None
            };
            if let Some(command) = command {
                self.writing.insert(server.clone(), None);
                commands.push(command);
            }
        }
    }
}

/// What came of probing.
enum Heard {
    Nothing,
    Good(Case),
    Bad(Case),
}

/// How long the term is that follows so many.
fn term(figures: &VoteSettings, terms: u32) -> Millis {
    figures.verdict_term * Millis::from(2_u32.saturating_pow(terms).min(TERM_GROWTH))
}

/// Ballots of voters that no verdict keeps from the server that they are about.
fn uncovered<'a, 'b>(
    voices: &'b [Voice<'a>],
    entry: Option<&'b Entry>,
) -> impl Iterator<Item = Voice<'a>> + 'b {
    voices.iter().copied().filter(move |voice| {
        entry.filter(|entry| entry.born_ms == voice.ballot.born_ms).is_none_or(|entry| {
            let names = |zone| entry.zones.iter().any(|name| name == zone);
            !entry.zones.is_empty() && !voice.zone.is_some_and(names)
        })
    })
}

/// The voters' zones.
fn zones_of<'a>(voices: &[Voice<'a>]) -> impl Iterator<Item = &'a str> {
    voices.iter().filter_map(|voice| voice.zone).collect::<BTreeSet<_>>().into_iter()
}

/// The server's zone, as most say.
fn zone_of(voices: &[Voice]) -> String {
    let mut said: BTreeMap<&str, usize> = BTreeMap::new();
    voices.iter().for_each(|voice| *said.entry(&voice.ballot.zone).or_default() += 1);
    said.into_iter().max_by_key(|(_, count)| *count).map_or(String::new(), |(zone, _)| zone.to_owned())
}

/// Enough voters know another process of the server, and more than know this one.
fn restarted(poll: &Poll, server: &str, entry: &Entry) -> bool {
    let voices = poll.on(server);
    let other = voices.iter().filter(|voice| voice.ballot.born_ms != entry.born_ms).count();
    other >= poll.figures.min_voters as usize && 2 * other > voices.len()
}

/// More are removed of its zone than may be now, and it is the newest of them.
fn over_cap(poll: &Poll, verdicts: &Verdicts, entry: &Entry) -> bool {
    let up = poll.up(&entry.zone);
    let newest =
        || verdicts.entries().all(|(_, other)| other.zone != entry.zone || other.since <= entry.since);
    up.is_some_and(|up| verdicts.removed(&entry.zone) > allowed(poll.figures.removal_cap, up)) && newest()
}

/// What probers say, once that decides.
fn probed_so_far(poll: &Poll, server: &str, entry: &Entry, since: Millis) -> Option<Heard> {
    let of = |voice: &&Voice| {
        voice.ballot.born_ms == entry.born_ms && entry.probers.iter().any(|name| name == voice.name)
    };
    let voices: Vec<Voice> = poll.on(server).iter().filter(of).copied().collect();
    let case = case(&voices, poll.figures.max_voter_weight);
    let (favour, against) = (&case.favour, &case.against);
    let over = poll.now >= since + poll.figures.evidence_window + poll.figures.ballot_ttl;
    let live = entry.probers.iter().filter(|name| poll.standing.contains_key(name.as_str())).count();
    let agree = favour.voters == 0 || against.voters == 0;
    let enough = voices.len() >= live.max(1) && favour.weight + against.weight >= poll.figures.min_failures;
    if voices.is_empty() {
        return over.then_some(Heard::Nothing);
    }
    if !(over || agree && enough) {
        return None;
    }
    let all = f64::from(favour.weight) + f64::from(against.weight);
    let bad = f64::from(favour.weight) >= poll.figures.majority * all - 1e-9;
    Some(if bad { Heard::Bad(case) } else { Heard::Good(case) })
}
