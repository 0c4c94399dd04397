//! The one task that holds the [`Leader`] while this replica leads: what happens goes in, what it wants is carried out.
//! Beside it is the [`Tally`], while the agreed policy has votes on servers.
//!
//! Each term has a leader of its own. When a term is over, all that it waits for is dropped with it: whoever has a beat
//! there hears that this replica does not lead, and what was written stands or falls by the log.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use consensus::{Leadership, Replica};
use member::{Epoch, Heartbeat, HeartbeatReply, Millis, Process, StageReply};
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinError, JoinSet};
use tokio::time::{sleep, timeout, Instant};

use crate::command::{Command, Outcome, VerdictCommand};
use crate::leader::{Effect, Input, Leader, Refusal, Terms};
use crate::machine::Agreement;
use crate::tally::shown::Shown;
use crate::tally::{self, Tally};
use crate::verdicts::Case;

/// How many calls may wait to be taken.
const CALLS_MOST: usize = 4096;
/// How many events the leader takes at once.
const AT_ONCE: usize = 512;
/// How long a connection to where a process lives is tried.
const PROBE: Duration = Duration::from_millis(200);

/// A call to the leader here; dropped unanswered where this replica does not lead.
enum Call {
    Beat(Box<Heartbeat>, oneshot::Sender<Result<HeartbeatReply, Refusal>>),
    Nodes(oneshot::Sender<Nodes>),
    Votes(oneshot::Sender<Option<Shown>>),
}

/// Why the leader here gives no answer.
#[derive(Debug)]
pub enum Unanswered {
    /// It is not the leader, or not any more.
    NotLeader,
    /// As many calls wait as may.
    Busy,
    /// It says no.
    Refused(Refusal),
}

/// What the leader knows of the members.
#[derive(Debug, Serialize)]
pub struct Nodes {
    /// The log's version.
    pub version: u64,
    /// The leader's term.
    pub term: u64,
    /// The agreed epoch.
    pub epoch: Epoch,
    /// The change under way.
    pub change: Option<u64>,
    /// Each process.
    pub nodes: Vec<Node>,
}

/// A process of a node.
#[derive(Debug, Serialize)]
pub struct Node {
    /// The node.
    pub name: String,
    /// The process.
    pub boot: u64,
    /// Where it listens as long as it lives.
    pub life: SocketAddr,
    /// It takes nothing without a lease.
    pub fenced: bool,
    /// How long ago it was heard, by this leader's clock; since the term's begin where it was not.
    pub heard_ms: Millis,
    /// It was not heard for a session.
    pub silent: bool,
    /// The epoch that it takes requests under, as it last said to this leader.
    pub active: Option<Epoch>,
    /// It has staged the change under way.
    pub staged: bool,
    /// Why it refuses that change.
    pub refused: Option<String>,
}

/// The way to the actor.
#[derive(Clone)]
pub struct Handle(mpsc::Sender<Call>);

impl Handle {
    /// Has the leader here answer a beat.
    ///
    /// # Errors
    /// Where there is none here, or it says no.
    pub async fn beat(&self, beat: Heartbeat) -> Result<HeartbeatReply, Unanswered> {
        self.call(|answer| Call::Beat(Box::new(beat), answer)).await?.map_err(Unanswered::Refused)
    }

    /// What the leader here knows of the members.
    ///
    /// # Errors
    /// Where there is none here.
    pub async fn nodes(&self) -> Result<Nodes, Unanswered> {
        self.call(Call::Nodes).await
    }

    /// What the leader here knows of votes on servers; `None` while there are none.
    ///
    /// # Errors
    /// Where there is none here.
    pub async fn votes(&self) -> Result<Option<Shown>, Unanswered> {
        self.call(Call::Votes).await
    }

    async fn call<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> Result<T, Unanswered> {
        let (answer, answered) = oneshot::channel();
        self.0.try_send(call(answer)).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => Unanswered::Busy,
            mpsc::error::TrySendError::Closed(_) => Unanswered::NotLeader,
        })?;
        answered.await.map_err(|_| Unanswered::NotLeader)
    }
}

/// The bits of a stamp's term that tell apart the starts of one replica within a term.
const STARTS_BITS: u32 = 24;

/// The actor, to be run, and the way to it.
pub fn new(replica: Replica<Agreement>, starts: u64, terms: Terms) -> (Handle, Actor) {
    let (sender, calls) = mpsc::channel(CALLS_MOST);
    (Handle(sender), Actor { replica, starts, terms, calls, start: Instant::now() })
}

/// See the module.
pub struct Actor {
    replica: Replica<Agreement>,
    /// How often the replica was started, this time too.
    starts: u64,
    terms: Terms,
    calls: mpsc::Receiver<Call>,
    start: Instant,
}

impl Actor {
    /// Leads whenever this replica does; ends at the stop.
    pub async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        let mut leading = self.replica.watch_leadership();
        let mut applied = self.replica.watch_applied();
        let mut term: Option<Term> = None;
        loop {
            let led = leading.borrow_and_update().clone();
            if term.as_ref().is_some_and(|term| !term.goes_on(&led)) {
                tracing::info!(term = led.term, "leads no more");
                term = None;
            }
            if led.is_local && term.is_none() {
                tracing::info!(term = led.term, "leads");
                term = Some(Term::new(&self, led.term));
            }
            let event = tokio::select! {
                changed = leading.changed() => if changed.is_err() { return } else { continue },
                _ = stopping.wait_for(|stopping| *stopping) => return,
                call = self.calls.recv() => match call {
                    Some(call) => Event::Call(call),
                    None => return,
                },
                Some(input) = next(&mut term) => Event::Input(Box::new(input)),
                changed = applied.changed(), if term.is_some() => {
                    if changed.is_err() { return }
                    Event::Input(Box::new(Input::Applied))
                }
            };
            // What was done for a term counts for that term alone, which may have ended since.
            if let Some(term) = term.as_mut().filter(|term| term.goes_on(&leading.borrow())) {
                let events = term.with_waiting(event, &mut self.calls);
                term.take(events);
            }
        }
    }
}

enum Event {
    Call(Call),
    Input(Box<Input>),
}

/// What the term's own tasks and timer bring; waits for ever without a term.
async fn next(term: &mut Option<Term>) -> Option<Input> {
    let Some(term) = term else { return std::future::pending().await };
    let next = term.leader.next().into_iter().chain(term.tally.as_ref().and_then(Tally::next));
    let due = next.min_by(f64::total_cmp).map_or(Duration::MAX, |next| {
        let wait = (next - term.now()).clamp(0.0, 60_000.0);
        Duration::from_secs_f64(wait / 1000.0)
    });
    tokio::select! {
        Some(done) = term.tasks.join_next() => Some(done_input(done)),
        () = sleep(due) => Some(Input::Tick),
    }
}

/// What a task has brought.
fn done_input(done: Result<Input, JoinError>) -> Input {
    // Tasks don't panic, and are aborted with the term alone.
    done.unwrap_or_else(|error| {
        tracing::error!(%error, "a task of the leader ended early");
        Input::Tick
    })
}

/// What a leader's stamps are told apart by. A replica that led when it ended may lead on in the same term when it is
/// started anew, and its clock begins anew then: stamps of the term alone would be taken for those of another time.
fn reign(term: u64, starts: u64) -> u64 {
    (term << STARTS_BITS) | (starts & ((1 << STARTS_BITS) - 1))
}

/// Who waits for an answer to a beat.
struct Waiting {
    answer: oneshot::Sender<Result<HeartbeatReply, Refusal>>,
    /// The version of the verdicts that the beat knows, where it has votes.
    verdicts: Option<u64>,
}

/// One term that this replica leads.
struct Term {
    number: u64,
    /// The same as in the stamps of its answers.
    reign: u64,
    leader: Leader,
    /// While the agreed policy has votes.
    tally: Option<Tally>,
    replica: Replica<Agreement>,
    session_ms: Millis,
    start: Instant,
    /// Who waits for an answer, by token.
    waiting: HashMap<u64, Waiting>,
    token: u64,
    /// Writes, confirms and probes on their way; at most one a process, one change and one round.
    tasks: JoinSet<Input>,
    /// What each member last said of its epoch and of a change.
    said: BTreeMap<Process, (Option<Epoch>, Option<StageReply>)>,
}

impl Term {
    fn new(actor: &Actor, number: u64) -> Self {
        let (now, reign) = (ms(actor.start.elapsed()), reign(number, actor.starts));
        Self {
            number,
            reign,
            leader: Leader::new(actor.terms.clone(), reign, now),
            tally: None,
            replica: actor.replica.clone(),
            session_ms: actor.terms.session_ms,
            start: actor.start,
            waiting: HashMap::new(),
            token: 0,
            tasks: JoinSet::new(),
            said: BTreeMap::new(),
        }
    }

    fn now(&self) -> Millis {
        ms(self.start.elapsed())
    }

    fn goes_on(&self, leading: &Leadership) -> bool {
        leading.is_local && leading.term == self.number
    }

    /// An event with those that have come besides: the leader looks through all members once for all of them, so that
    /// a crowd of beats costs it no more than it can bear.
    fn with_waiting(&mut self, first: Event, calls: &mut mpsc::Receiver<Call>) -> Vec<Event> {
        let mut events = vec![first];
        while events.len() < AT_ONCE {
            match (calls.try_recv(), self.tasks.try_join_next()) {
                (Err(_), None) => break,
                (call, done) => {
                    events.extend(call.ok().map(Event::Call));
                    events.extend(done.map(|done| Event::Input(Box::new(done_input(done)))));
                }
            }
        }
        events
    }

    fn take(&mut self, events: Vec<Event>) {
        let mut inputs = Vec::with_capacity(events.len());
        let mut ballots = Vec::new();
        for event in events {
            match event {
                Event::Input(input) => match *input {
                    Input::Written { command: Command::Verdict(command), outcome } => {
                        log(&command, outcome.as_ref());
                        ballots.push(tally::Input::Written { command, outcome });
                    }
                    Input::Applied => {
                        ballots.push(tally::Input::Applied);
                        inputs.push(Input::Applied);
                    }
                    Input::Tick => {
                        ballots.push(tally::Input::Tick);
                        inputs.push(Input::Tick);
                    }
                    input => inputs.push(input),
                },
                // Who asked may have gone.
                Event::Call(Call::Nodes(answer)) => drop(answer.send(self.nodes())),
                Event::Call(Call::Votes(answer)) => drop(answer.send(self.votes())),
                Event::Call(Call::Beat(mut beat, answer)) => {
                    self.token += 1;
                    let verdicts =
                        beat.vote_report.as_ref().map(|_| beat.verdicts_version.unwrap_or_default());
                    self.waiting.insert(self.token, Waiting { answer, verdicts });
                    let (process, echo) = (beat.process.clone(), beat.echoed_stamp);
                    ballots.push(tally::Input::Beat { process, echo, votes: beat.vote_report.take() });
                    inputs.push(Input::Beat { token: self.token, beat: *beat });
                }
            }
        }
        let (now, reign) = (self.now(), self.reign);
        let (leader, tally, said, waiting) =
            (&mut self.leader, &mut self.tally, &mut self.said, &self.waiting);
        let (effects, commands) = self.replica.read(|agreement, _| {
            let votes = agreement.book().policy().0.contains_key("Votes");
            *tally = tally.take().filter(|_| votes);
            let commands = match votes {
                true => {
                    tally.get_or_insert_with(|| Tally::new(reign, now)).handle_all(now, ballots, agreement)
                }
                false => Vec::new(),
            };
            let member = |process: &Process| agreement.roster().seat(process).is_some();
            for input in &inputs {
                match input {
                    Input::Beat { beat, .. } if member(&beat.process) => {
                        said.insert(beat.process.clone(), (beat.active_epoch, beat.stage_reply.clone()));
                    }
                    Input::Applied => said.retain(|process, _| member(process)),
                    _ => {}
                }
            }
            let mut effects = leader.handle_all(now, inputs, agreement);
            if let Some(tally) = tally {
                for effect in &mut effects {
                    let Effect::Answer { token, answer } = effect else { continue };
                    let Some(known) = waiting.get(token).and_then(|waiting| waiting.verdicts) else {
                        continue;
                    };
                    answer.queried_servers = tally.asked().to_vec();
                    // Another one, not a newer one: a group that was set up again counts from less.
                    if known != agreement.verdicts().version() {
                        answer.verdicts = Some(agreement.verdicts().told());
                    }
                }
            }
            (effects, commands)
        });
        for command in commands {
            self.carry_out(now, Effect::Write(Command::Verdict(command)));
        }
        for effect in effects {
            self.carry_out(now, effect);
        }
    }

    fn carry_out(&mut self, now: Millis, effect: Effect) {
        let replica = self.replica.clone();
        match effect {
            Effect::Answer { token, answer } => self.answer(token, Ok(*answer)),
            Effect::Refuse { token, why } => self.answer(token, Err(why)),
            Effect::Write(command) => {
                let term = self.number;
                self.tasks.spawn(async move {
                    // What was decided in this term is void in the log of another one.
                    let written = replica.write_in_term(term, command.clone()).await;
                    let outcome = written.map(|(_, outcome)| outcome);
                    if let Err(error) = &outcome {
                        tracing::debug!(%error, ?command, "a write of the leader failed");
                    }
                    Input::Written { command, outcome: outcome.ok() }
                });
            }
            Effect::Confirm => {
                let term = self.number;
                self.tasks.spawn(async move {
                    let confirmed = replica.confirm_leadership().await.is_ok();
                    // The word of who leads comes by way of a task; this is the core's own. A replica that was deposed
                    // and has come back would confirm its next term.
                    let status = replica.status();
                    if confirmed && (status.role.as_str(), status.term) == ("leader", term) {
                        Input::Confirmed { asked: now }
                    } else {
                        Input::Unconfirmed { asked: now }
                    }
                });
            }
            Effect::Probe { process, life } => {
                self.tasks.spawn(async move {
                    let tried = timeout(PROBE, TcpStream::connect(life)).await;
                    let refused =
                        matches!(tried, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused);
                    Input::Probed { process, refused }
                });
            }
        }
    }

    fn answer(&mut self, token: u64, answer: Result<HeartbeatReply, Refusal>) {
        if let Some(waiting) = self.waiting.remove(&token) {
            // Who asked may have gone.
            let _ = waiting.answer.send(answer);
        }
    }

    fn votes(&self) -> Option<Shown> {
        let now = self.now();
        let tally = self.tally.as_ref()?;
        Some(self.replica.read(|agreement, _| tally.shown(now, agreement)))
    }

    fn nodes(&self) -> Nodes {
        let now = self.now();
        let heard: BTreeMap<&Process, Millis> = self.leader.sessions(now).collect();
        self.replica.read(|agreement, version| {
            let change = agreement.book().change().map(|change| change.id);
            let nodes = agreement.roster().members().map(|(process, seat)| {
                let heard_ms = heard.get(process).copied().unwrap_or_default();
                let (active, word) = self.said.get(process).cloned().unwrap_or_default();
                let (staged, refused) = match word {
                    Some(StageReply::Staged { change: about, .. }) => (change == Some(about), None),
                    Some(StageReply::Refused { change: about, reason: words }) if change == Some(about) => {
                        (false, Some(words))
                    }
                    _ => (false, None),
                };
                Node {
                    name: process.name.clone(),
                    boot: process.boot,
                    life: seat.life,
                    fenced: seat.fenced,
                    heard_ms: heard_ms.round(),
                    silent: heard_ms >= self.session_ms,
                    active,
                    staged,
                    refused,
                }
            });
            Nodes {
                version,
                term: self.number,
                epoch: agreement.book().epoch(),
                change: change.map(|change| change.0),
                nodes: nodes.collect(),
            }
        })
    }
}

/// One line for each server that is removed, probed or back, with what was voted.
fn log(command: &VerdictCommand, outcome: Option<&Outcome>) {
    let case = |case: &Case| serde_json::to_string(case).unwrap_or_default();
    match (command, outcome) {
        (VerdictCommand::Remove { server, zone, zones, case: by, .. }, Some(Outcome::Done)) => {
            tracing::info!(server, zone, ?zones, votes = case(by), "removed by votes");
        }
        (VerdictCommand::Remove { server, zone, up, .. }, Some(Outcome::Capped)) => {
            tracing::info!(server, zone, up, "not removed by votes: as many of its zone are as may be");
        }
        (VerdictCommand::Probe { server, probers, .. }, Some(Outcome::Done)) => {
            tracing::info!(server, ?probers, "removed by votes, its term is over: probed");
        }
        (VerdictCommand::Extend { server, case: by, .. }, Some(Outcome::Done)) => {
            tracing::info!(server, votes = case(by), "stays removed by votes for another term");
        }
        (VerdictCommand::Return { server, why, case: by, .. }, Some(Outcome::Done)) => {
            let votes = by.as_ref().map(case).unwrap_or_default();
            tracing::info!(server, ?why, votes, "back, no more removed by votes");
        }
        _ => {}
    }
}

fn ms(span: Duration) -> Millis {
    span.as_secs_f64() * 1000.0
}
