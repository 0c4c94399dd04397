//! What a leader knows beside the log: sessions, promises and leases by its own monotonic clock. Pure: a time and an
//! event in, what is to be written, asked and answered out.
//!
//! Need: the log says who is a member and what a change is; whether all members have promised, and whether silent
//! ones have stopped, is a matter of time on one process's clock. Shape: a [`Leader`] lives for one term. The next
//! one starts from the log alone and counts every span anew, as members say again what they have staged.
//!
//! Why each span holds:
//! - *Promise.* A member's `left_ms` counts from its beat's sending, which is after it had the stamp that the beat
//!   echoes, so `stamp + left_ms * (1 - MAX_CLOCK_DRIFT)` is no later than the promise's end. A late or repeated beat makes it
//!   no later, one out of order changes nothing, as the latest end counts: promises about one change only grow. Stamps
//!   of another term say nothing and count for nothing. A commit is decided only while each has `reserve_ms` left.
//! - *Lease.* A member counts it from its beat's sending, the leader from its answer, which is later; with
//!   `* (1 + MAX_CLOCK_DRIFT)` it is over at the member first. A new leader counts from its own start: an earlier one confirmed
//!   after the beat came, so before this one was elected.
//! - *Answers.* Each goes out only after a confirm that was begun after the beat came, so a leader that was deposed
//!   without knowing makes no promise longer and grants no lease that its follower does not count. What is agreed is
//!   told whole unless the beat names just that state; [`AgreedUpdate::Unchanged`] then proves as much.
//! - *A commit in flight.* From its decision until its fate is known no fenced member that it counts on gets a lease,
//!   and where the write's fate stays unknown, not until the change ends. Answers go on making promises longer: they
//!   are counted from before the commit.
//! - *Joins.* A newcomer is answered once it stands in the roster. A commit written before its join is known to it by
//!   its first answer; one written after it must count it, and is void if it does not: the leader goes on waiting.
//! - *One name, two processes.* A newcomer that comes `beside` is a member as well as the older one until that one's
//!   session closes. Any other waits until the older one is proven ended (its address refuses connections) or was
//!   silent for a session and has no lease; as long as it is alive the newcomer is refused. What is left to operators
//!   (or to who gives out names) is an older process that lives, cut off, and is not fenced.
//!
//! A connection that is refused counts as proof that a process has ended; firewalls between must drop, not refuse.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use member::{
    AbortReason, AgreedUpdate, ChangeId, Epoch, Heartbeat, HeartbeatReply, Millis, Process, StageReply,
    Stamp, StateId, MAX_CLOCK_DRIFT,
};
use serde::{Deserialize, Serialize};

use crate::command::{Command, Outcome, PolicyCommand, Proof, RosterCommand};
use crate::machine::Agreement;
use crate::policy::{EPOCH_MOST, NAMED};
use crate::roster::{MEMBERS_MOST, NAME_MOST};

/// What becomes of a change when members can't be reached.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unreachable {
    /// It is aborted: nodes serve on under the old policy, also without the control group.
    #[default]
    Abort,
    /// It is committed once their leases are over: nodes take nothing while they don't reach the group.
    Fence,
}

/// A leader's terms. All replicas of a group should have the same.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Terms {
    /// What becomes of a change when members can't be reached. Holds for processes that join from now on.
    pub unreachable: Unreachable,
    /// From an answer to the next beat.
    pub beat_ms: Millis,
    /// For how long a member may be silent before its address is tried and a successor of its name taken.
    pub session_ms: Millis,
    /// How long members have to stage a change.
    pub stage_ms: Millis,
    /// How long a promise lasts: the longest that two policies can be in service at once.
    pub promise_ms: Millis,
    /// How long a lease lasts.
    pub lease_ms: Millis,
    /// What must be left of every promise when a commit is decided: the time that its write may take.
    pub reserve_ms: Millis,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            unreachable: Unreachable::Abort,
            beat_ms: 250.0,
            session_ms: 4000.0,
            stage_ms: 2000.0,
            promise_ms: 3000.0,
            lease_ms: 3000.0,
            reserve_ms: 200.0,
        }
    }
}

/// Terms that can't hold: the field, what is wrong with it, what to set.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field} = {is} must be at least {least} ({why}) and at most {MS_MOST}")]
pub struct TermsError {
    field: &'static str,
    is: Millis,
    least: Millis,
    why: &'static str,
}

/// The longest span, in milliseconds.
const MS_MOST: Millis = 600_000.0;

impl Terms {
    /// Whether the spans fit together.
    ///
    /// # Errors
    /// The first one that does not.
    pub fn check(&self) -> Result<(), TermsError> {
        let twice = 2.0 * self.beat_ms;
        let over = self.lease_ms * (1.0 + 2.0 * MAX_CLOCK_DRIFT);
        let rules = [
            ("beat_ms", self.beat_ms, 1.0, "a beat"),
            ("reserve_ms", self.reserve_ms, 1.0, "a write's time"),
            ("stage_ms", self.stage_ms, twice, "two beats"),
            (
                "promise_ms",
                self.promise_ms,
                (twice + self.reserve_ms) / (1.0 - MAX_CLOCK_DRIFT),
                "two beats and the reserve",
            ),
            ("lease_ms", self.lease_ms, twice, "two beats"),
            ("session_ms", self.session_ms, over.max(twice), "a lease, with clocks that differ"),
        ];
        for (field, is, least, why) in rules {
            if !(is >= least && is <= MS_MOST) {
                return Err(TermsError { field, is, least, why });
            }
        }
        Ok(())
    }
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A beat came. `token` is the caller's, to find whom to answer.
    Beat {
        /// Never the same again.
        token: u64,
        /// The beat.
        beat: Heartbeat,
    },
    /// The confirm that was asked for at `asked` has succeeded: the replica still led *in this term* at some moment
    /// after that, and the agreement given holds all that was committed by then.
    Confirmed {
        /// The time of the call that gave [`Effect::Confirm`].
        asked: Millis,
    },
    /// That confirm has failed. (If the term is over, drop this leader.)
    Unconfirmed {
        /// The time of the call that gave [`Effect::Confirm`].
        asked: Millis,
    },
    /// The agreement has changed.
    Applied,
    /// How an [`Effect::Probe`] ended.
    Probed {
        /// Whom it was for.
        process: Process,
        /// The connection was refused. Anything else (made, reset, timed out) proves nothing.
        refused: bool,
    },
    /// How an [`Effect::Write`] ended; comes for each, and with an agreement that holds it where it has an outcome.
    Written {
        /// What was to be written.
        command: Command,
        /// What came of it; `None`: it may have been written or not.
        outcome: Option<Outcome>,
    },
    /// Time has passed.
    Tick,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer a beat, now.
    Answer {
        /// Which.
        token: u64,
        /// With what.
        answer: Box<HeartbeatReply>,
    },
    /// Say no to a beat, or let go of it.
    Refuse {
        /// Which.
        token: u64,
        /// Why.
        why: Refusal,
    },
    /// Write this to the log, and say how it ended by [`Input::Written`].
    Write(Command),
    /// Make sure that this replica still leads, and say so by [`Input::Confirmed`] or [`Input::Unconfirmed`]. One is
    /// out at a time.
    Confirm,
    /// Try to connect to where a process listens as long as it lives, and say how it ended by [`Input::Probed`].
    Probe {
        /// Who.
        process: Process,
        /// Where.
        life: SocketAddr,
    },
}

/// Why a beat is not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// No more members.
    #[error("the roster is full, or this node has too many processes: remove nodes that are gone")]
    Full,
    /// Another process of this name is alive.
    #[error("another process of this name is alive: end it, or give this node another name")]
    Alive,
    /// The name is none.
    #[error("the node's name must have 1 to {NAME_MOST} bytes")]
    Name,
    /// It could not be made sure of in time that this replica leads, or that another process has ended.
    #[error("no answer could be given in time: try again")]
    Late,
    /// The same process has sent another beat since.
    #[error("a newer beat of this process has come")]
    Replaced,
}

/// What this leader knows of a member.
#[derive(Clone, Debug, PartialEq)]
struct Session {
    /// When its last beat came; the session's start where none has.
    heard: Millis,
    /// When its last answer that may hold a lease was written; the session's start where none was.
    granted: Millis,
    /// When its promise about the change under way ends, at the earliest.
    until: Option<Millis>,
    /// It can't bear that change.
    refused: Option<String>,
    /// When its address was tried last, and when it was found not to refuse.
    probed: Millis,
    alive: Option<Millis>,
}

/// A beat that waits for its answer.
#[derive(Clone, Debug, PartialEq)]
struct Waiting {
    token: u64,
    came: Millis,
    /// The first round of confirms that was begun after it came.
    round: u64,
    life: SocketAddr,
    beside: bool,
    active: Option<Epoch>,
    known: Option<StateId>,
    bye: bool,
}

/// The change under way.
#[derive(Clone, Debug, PartialEq)]
struct Staging {
    id: ChangeId,
    /// When this leader saw it first.
    began: Millis,
    /// Its commit or abort is being written.
    deciding: bool,
    /// Members that a commit which may be written counts as fenced.
    frozen: BTreeSet<Process>,
}

/// The leader of one term. Started when the replica has become leader, dropped when the term is over.
#[derive(Clone, Debug, PartialEq)]
pub struct Leader {
    terms: Terms,
    term: u64,
    /// The version that sessions and change were last taken from.
    synced: Option<u64>,
    /// The state of what is agreed that nodes are told, as of then.
    known: Option<StateId>,
    sessions: BTreeMap<Process, Session>,
    waiting: BTreeMap<Process, Waiting>,
    staging: Option<Staging>,
    /// Processes with a command about them on its way.
    writing: BTreeSet<Process>,
    /// Rounds of confirms begun and done; when the one on its way was asked for.
    begun: u64,
    done: u64,
    asked: Option<Millis>,
    /// Not before these is a confirm asked for, or anything written, as the last one failed.
    confirm_at: Millis,
    write_at: Millis,
    probe_at: Millis,
    now: Millis,
}

impl Leader {
    /// A leader whose term has begun before `now`.
    pub fn new(terms: Terms, term: u64, now: Millis) -> Self {
        Self {
            terms,
            term,
            synced: None,
            known: None,
            sessions: BTreeMap::new(),
            waiting: BTreeMap::new(),
            staging: None,
            writing: BTreeSet::new(),
            begun: 0,
            done: 0,
            asked: None,
            confirm_at: now,
            write_at: now,
            probe_at: now,
            now,
        }
    }

    /// Takes what has happened; `agreement` is the replica's state at this moment.
    pub fn handle(&mut self, now: Millis, input: Input, agreement: &Agreement) -> Vec<Effect> {
        self.handle_all(now, [input], agreement)
    }

    /// Takes what has happened up to `now`, in its order: what follows from it is looked for once, which costs time by
    /// the members.
    pub fn handle_all(
        &mut self,
        now: Millis,
        inputs: impl IntoIterator<Item = Input>,
        agreement: &Agreement,
    ) -> Vec<Effect> {
        self.now = now;
        let mut effects = Vec::new();
        self.sync(now, agreement);
        for input in inputs {
            self.take(now, input, agreement, &mut effects);
        }
        self.join(now, agreement, &mut effects);
        self.answer(now, agreement, &mut effects);
        self.decide(now, agreement, &mut effects);
        self.probe(now, agreement, &mut effects);
        if self.asked.is_none()
            && now >= self.confirm_at
            && self.waiting.values().any(|w| w.round > self.done)
        {
            self.begun += 1;
            self.asked = Some(now);
            effects.push(Effect::Confirm);
        }
        effects
    }

    fn take(&mut self, now: Millis, input: Input, agreement: &Agreement, effects: &mut Vec<Effect>) {
        match input {
            Input::Beat { token, beat } => self.beat(now, token, beat, agreement, effects),
            Input::Confirmed { asked } => {
                if self.asked == Some(asked) {
                    self.asked = None;
                    self.done = self.begun;
                }
            }
            Input::Unconfirmed { asked } => {
                if self.asked == Some(asked) {
                    self.asked = None;
                    self.confirm_at = now + self.pace();
                }
            }
            Input::Probed { process, refused } => self.probed(now, process, refused, effects),
            Input::Written { command, outcome } => self.written(now, &command, outcome, effects),
            Input::Applied | Input::Tick => {}
        }
    }

    /// When [`Input::Tick`] is due.
    pub fn next(&self) -> Option<Millis> {
        let busy = self.staging.is_some() || !self.waiting.is_empty();
        Some(self.now + if busy { self.pace() } else { self.terms.beat_ms })
    }

    /// Members, and for how long each has been silent.
    pub fn sessions(&self, now: Millis) -> impl Iterator<Item = (&Process, Millis)> {
        self.sessions.iter().map(move |(process, session)| (process, now - session.heard))
    }

    /// Members whose promise about the change under way holds at `now`.
    pub fn staged(&self, now: Millis) -> usize {
        self.sessions.values().filter(|session| session.until.is_some_and(|until| until > now)).count()
    }

    fn pace(&self) -> Millis {
        self.terms.beat_ms / 4.0
    }

    /// Sessions are those of the roster's members, and the change is the log's.
    fn sync(&mut self, now: Millis, agreement: &Agreement) {
        if self.synced == Some(agreement.version()) {
            return;
        }
        self.synced = Some(agreement.version());
        if self.known.map(|known| known.version) != Some(agreement.book().version()) {
            self.known = Some(agreement.agreed().state_id());
        }
        self.sessions.retain(|process, _| agreement.roster().seat(process).is_some());
        for (process, _) in agreement.roster().members() {
            if !self.sessions.contains_key(process) {
                let session = Session {
                    heard: now,
                    granted: now,
                    until: None,
                    refused: None,
                    probed: now - MS_MOST,
                    alive: None,
                };
                self.sessions.insert(process.clone(), session);
            }
        }
        let id = agreement.book().change().map(|change| change.id);
        if self.staging.as_ref().map(|staging| staging.id) != id {
            self.staging = id.map(|id| Staging { id, began: now, deciding: false, frozen: BTreeSet::new() });
            for session in self.sessions.values_mut() {
                (session.until, session.refused) = (None, None);
            }
        }
    }

    fn beat(
        &mut self,
        now: Millis,
        token: u64,
        beat: Heartbeat,
        agreement: &Agreement,
        effects: &mut Vec<Effect>,
    ) {
        let Heartbeat {
            process,
            liveness_addr: life,
            coexists_with_previous: beside,
            echoed_stamp: echo,
            active_epoch: active,
            known_state: known,
            stage_reply: change,
            leaving: bye,
            ..
        } = beat;
        if process.name.is_empty() || process.name.len() > NAME_MOST {
            effects.push(Effect::Refuse { token, why: Refusal::Name });
            return;
        }
        if let Some(session) = self.sessions.get_mut(&process) {
            session.heard = now;
            session.note(now, self.term, self.staging.as_ref(), echo, change, self.terms.promise_ms);
            if bye {
                let proof = Proof::Closed;
                self.write(&process, RosterCommand::Ended { process: process.clone(), proof }, effects);
            } else if active.is_some_and(|active| active > agreement.book().given() && active <= EPOCH_MOST) {
                let join = self.join_of(&process, life, beside, active);
                self.write(&process, join, effects);
            }
        } else if self.waiting.len() >= 2 * MEMBERS_MOST {
            effects.push(Effect::Refuse { token, why: Refusal::Full });
            return;
        }
        let round = self.begun + 1;
        let waiting = Waiting { token, came: now, round, life, beside, active, known, bye };
        if let Some(older) = self.waiting.insert(process, waiting) {
            effects.push(Effect::Refuse { token: older.token, why: Refusal::Replaced });
        }
    }

    fn join_of(
        &self,
        process: &Process,
        life: SocketAddr,
        beside: bool,
        active: Option<Epoch>,
    ) -> RosterCommand {
        let fenced = self.terms.unreachable == Unreachable::Fence;
        RosterCommand::Join { process: process.clone(), life, beside, fenced, active }
    }

    /// Writes about a process, unless something is on its way already.
    fn write(&mut self, process: &Process, command: RosterCommand, effects: &mut Vec<Effect>) {
        if self.writing.insert(process.clone()) {
            effects.push(Effect::Write(Command::Roster(command)));
        }
    }

    /// Newcomers that wait. Whoever has waited for a session is let go: it is gone, or sends another beat.
    fn join(&mut self, now: Millis, agreement: &Agreement, effects: &mut Vec<Effect>) {
        let session_ms = self.terms.session_ms;
        self.waiting.retain(|_, waiting| {
            let keep = now - waiting.came < session_ms;
            if !keep {
                effects.push(Effect::Refuse { token: waiting.token, why: Refusal::Late });
            }
            keep
        });
        if now < self.write_at {
            return;
        }
        let roster = agreement.roster();
        let newcomers: Vec<Process> = self
            .waiting
            .iter()
            .filter(|(process, waiting)| {
                !waiting.bye && roster.seat(process).is_none() && !roster.left(process)
            })
            .filter(|(process, _)| !self.writing.contains(*process))
            .map(|(process, _)| process.clone())
            .collect();
        for process in newcomers {
            let Waiting { token, came, life, beside, active, .. } = self.waiting[&process].clone();
            let mut blocked = false;
            let mut alive = false;
            let older = roster.of(&process.name).filter(|_| !beside);
            for (older, seat) in older.collect::<Vec<_>>() {
                let session = &self.sessions[older];
                let silent = now - session.heard >= self.terms.session_ms;
                if silent && (!seat.fenced || self.lease_over(now, session)) {
                    continue;
                }
                blocked = true;
                alive |= session.alive.is_some_and(|alive| alive >= came);
                self.try_life(now, self.terms.beat_ms, older, seat.life, effects);
            }
            if alive {
                self.waiting.remove(&process);
                effects.push(Effect::Refuse { token, why: Refusal::Alive });
            } else if !blocked {
                let join = self.join_of(&process, life, beside, active);
                self.write(&process, join, effects);
            }
        }
    }

    /// Answers whom it may: a member, or one that is none any more, whose beat came before a confirm was begun.
    fn answer(&mut self, now: Millis, agreement: &Agreement, effects: &mut Vec<Effect>) {
        let roster = agreement.roster();
        let ready = |process: &Process, waiting: &Waiting| {
            let member = roster.seat(process).is_some();
            waiting.round <= self.done && if waiting.bye { !member } else { member || roster.left(process) }
        };
        let ready: Vec<Process> =
            self.waiting.iter().filter(|(p, w)| ready(p, w)).map(|(process, _)| process.clone()).collect();
        if ready.is_empty() {
            return;
        }
        let agreed = OnceCell::new();
        for process in ready {
            let Waiting { token, known, .. } = self.waiting.remove(&process).expect("it was just found");
            let told = match known.filter(|_| known == self.known) {
                Some(known) => AgreedUpdate::Unchanged(known),
                None => AgreedUpdate::Changed(agreed.get_or_init(|| agreement.agreed()).clone()),
            };
            let seat = roster.seat(&process);
            let fenced = seat.is_some_and(|seat| seat.fenced);
            let frozen = self.staging.as_ref().is_some_and(|staging| staging.frozen.contains(&process));
            if let Some(session) = self.sessions.get_mut(&process).filter(|_| fenced && !frozen) {
                session.granted = now;
            }
            let answer = Box::new(HeartbeatReply {
                stamp: Stamp { term: self.term, time: now },
                update: told,
                heartbeat_interval_ms: self.terms.beat_ms,
                lease_ms: (fenced && !frozen).then_some(self.terms.lease_ms),
                fenced,
                promise_ms: self.terms.promise_ms,
                superseded: seat.is_none(),
                queried_servers: Vec::new(),
                verdicts: None,
            });
            effects.push(Effect::Answer { token, answer });
        }
    }

    /// Its lease is over at the member, too.
    fn lease_over(&self, now: Millis, session: &Session) -> bool {
        now > session.granted + self.terms.lease_ms * (1.0 + MAX_CLOCK_DRIFT)
    }

    /// Whether the change under way can end now.
    fn decide(&mut self, now: Millis, agreement: &Agreement, effects: &mut Vec<Effect>) {
        let Some(staging) = self.staging.as_ref().filter(|staging| !staging.deciding) else { return };
        if now < self.write_at {
            return;
        }
        let (change, began) = (staging.id, staging.began);
        let due = began + self.terms.stage_ms;
        let last = due + self.terms.lease_ms * (1.0 + MAX_CLOCK_DRIFT) + self.terms.beat_ms;
        let may_fence = self.terms.unreachable == Unreachable::Fence;
        let mut abort = None;
        let (mut staged, mut fenced, mut missing) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
        let mut waits = false;
        for (process, seat) in agreement.roster().members() {
            let session = &self.sessions[process];
            if let Some(words) = &session.refused {
                abort = Some(AbortReason::Refused { node: process.name.clone(), reason: words.clone() });
                break;
            }
            if session.until.is_some_and(|until| until > now + self.terms.reserve_ms) {
                staged.push(process.clone());
            } else if may_fence && seat.fenced && self.lease_over(now, session) {
                fenced.insert(process.clone());
            } else {
                missing.insert(process.name.clone());
                // Worth waiting for past the time: its lease runs out, as it does not come back.
                waits |= may_fence && seat.fenced && session.heard <= due && now < last;
            }
        }
        let command = if let Some(why) = abort {
            PolicyCommand::Abort { change, why }
        } else if missing.is_empty() {
            if !self.writing.is_empty() && now < due {
                return; // A join on its way would make it void, or be asked nothing.
            }
            PolicyCommand::Commit { change, staged, fenced: fenced.iter().cloned().collect() }
        } else if now >= due && !waits {
            let nodes = missing.into_iter().take(NAMED).collect();
            PolicyCommand::Abort { change, why: AbortReason::Unresponsive { nodes } }
        } else {
            return;
        };
        let staging = self.staging.as_mut().expect("a change is under way");
        staging.deciding = true;
        if matches!(command, PolicyCommand::Commit { .. }) {
            staging.frozen.append(&mut fenced);
        }
        effects.push(Effect::Write(Command::Policy(command)));
    }

    fn written(
        &mut self,
        now: Millis,
        command: &Command,
        outcome: Option<Outcome>,
        effects: &mut Vec<Effect>,
    ) {
        match command {
            Command::Roster(RosterCommand::Join { process, .. }) => {
                self.writing.remove(process);
                if outcome == Some(Outcome::TooMuch) {
                    if let Some(waiting) = self.waiting.remove(process) {
                        effects.push(Effect::Refuse { token: waiting.token, why: Refusal::Full });
                    }
                }
                if outcome.is_none() {
                    self.write_at = now + self.pace();
                }
            }
            Command::Roster(RosterCommand::Ended { process, .. }) => {
                self.writing.remove(process);
            }
            Command::Roster(RosterCommand::Remove { .. }) => {}
            Command::Policy(PolicyCommand::Commit { change, .. } | PolicyCommand::Abort { change, .. }) => {
                let Some(staging) = self.staging.as_mut().filter(|staging| staging.id == *change) else {
                    return;
                };
                staging.deciding = false;
                match outcome {
                    Some(Outcome::Uncovered { .. }) => staging.frozen.clear(),
                    Some(_) => {}
                    None => self.write_at = now + self.pace(),
                }
            }
            // Verdicts are the tally's, beside.
            Command::Policy(PolicyCommand::Propose { .. }) | Command::Verdict(_) => {}
        }
    }

    /// Tries the addresses of silent members: sooner where a change waits for them.
    fn probe(&mut self, now: Millis, agreement: &Agreement, effects: &mut Vec<Effect>) {
        if now < self.probe_at {
            return;
        }
        self.probe_at = now + self.terms.beat_ms / 2.0;
        let staged = |session: &Session| session.until.is_some_and(|until| until > now);
        for (process, seat) in agreement.roster().members() {
            let session = &self.sessions[process];
            let hurry = self.staging.is_some() && !staged(session);
            let pace = if hurry { 2.0 * self.terms.beat_ms } else { self.terms.session_ms };
            if now - session.heard >= pace {
                self.try_life(now, pace, process, seat.life, effects);
            }
        }
    }

    fn try_life(
        &mut self,
        now: Millis,
        pace: Millis,
        process: &Process,
        life: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        let session = self.sessions.get_mut(process).expect("each member has a session");
        if now - session.probed >= pace {
            session.probed = now;
            effects.push(Effect::Probe { process: process.clone(), life });
        }
    }

    fn probed(&mut self, now: Millis, process: Process, refused: bool, effects: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get_mut(&process) else { return };
        if refused {
            let proof = Proof::Refused;
            self.write(&process, RosterCommand::Ended { process: process.clone(), proof }, effects);
        } else {
            session.alive = Some(now);
        }
    }
}

impl Session {
    /// What a member says of the change under way.
    fn note(
        &mut self,
        now: Millis,
        term: u64,
        staging: Option<&Staging>,
        echo: Option<Stamp>,
        word: Option<StageReply>,
        promise_ms: Millis,
    ) {
        let about = |change: ChangeId| staging.is_some_and(|staging| staging.id == change);
        match word {
            Some(StageReply::Staged { change, remaining_ms: left_ms }) if about(change) => {
                let Some(echo) = echo.filter(|echo| echo.term == term && echo.time <= now) else { return };
                if left_ms.is_nan() {
                    return;
                }
                let until = echo.time + left_ms.clamp(0.0, promise_ms) * (1.0 - MAX_CLOCK_DRIFT);
                self.until = Some(self.until.map_or(until, |known| known.max(until)));
            }
            Some(StageReply::Refused { change, reason: words }) if about(change) => {
                self.refused = Some(words)
            }
            _ => {}
        }
    }
}
