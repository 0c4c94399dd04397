//! The node's side of the agreed policy: beats and a watch to the control group, and what the member says carried out.
//!
//! [`member::Member`] knows what may be taken and what to do; this knows the sockets, the disk and the node. All of it
//! runs beside requests: none ever waits for a replica or for the disk.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use member::policy::PolicyError;
use member::{Effect, Epoch, HeartbeatReply, Member, Millis, Policy, SavedEpoch};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::SplitMix64;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{sleep, sleep_until, timeout, timeout_at};
use tulipmount::wire::{settings_with_policy, NodeSettings};

use super::config::{Config, Control};
use super::fault::Advice;
use super::gate::Gate;
use super::listen::ListenError;
use super::log;
use super::node::Node;
use super::replica::{CallError, Line, Watch};
use super::saved::{Place, SavedError};

/// How long a beat may take, a connection for it included.
const BEAT: Duration = Duration::from_millis(500);
/// Waits after calls that brought nothing: the first one, and the longest; half of each is drawn. The longest is what
/// lies between beats: nodes that look for a leader cost the group what they cost it at rest, and a change that waits
/// for the last of them to find the new one does not wait for more than it must.
const AGAIN: Duration = Duration::from_millis(50);
const AGAIN_MOST: Duration = Duration::from_millis(250);
/// Waits after writes that failed.
const WRITE_AGAIN: Duration = Duration::from_millis(500);
const WRITE_AGAIN_MOST: Duration = Duration::from_secs(60);
/// How many times in a row a replica's word for who leads is followed at once.
const HINTS: u32 = 2;
/// How long the log keeps quiet of calls that bring nothing.
const QUIET: Duration = Duration::from_secs(5);

/// Why a policy can't be judged by.
#[derive(Debug, Error)]
enum Unfit {
    /// It does not go over this node's settings.
    #[error("policy: {0}")]
    Policy(#[from] PolicyError),
    /// More requests may be open than this process has room for.
    #[error("Limits.OpenCap: {asked} is more than the {room} that this node has room for")]
    OpenCap {
        /// What the policy asks.
        asked: usize,
        /// What there is room for.
        room: usize,
    },
}

impl Advice for Unfit {
    fn advice(&self) -> String {
        match self {
            Self::Policy(error) => error.advice().into(),
            Self::OpenCap { .. } => "propose less, or give the node more descriptors and memory".into(),
        }
    }
}

/// A process that is about to join.
pub struct Joining {
    gate: Rc<Gate>,
    control: Control,
    place: Option<Place>,
}

impl Joining {
    /// Reads what the disk holds; what is of no use there is logged and left out.
    ///
    /// # Errors
    /// Where the process can't listen at a port of its own.
    pub fn new(config: &Config, control: Control) -> Result<Self, ListenError> {
        let mut place = control.folder.as_deref().map(|folder| Place::new(folder, &config.name));
        let saved = match place.as_ref().map(Place::read) {
            None => None,
            Some(Ok(saved)) => saved,
            Some(Err(error)) => {
                log::line(error.line());
                // What is there is of use to somebody else.
                if matches!(error, SavedError::Foreign { .. } | SavedError::Newer { .. }) {
                    place = None;
                }
                None
            }
        };
        Ok(Self { gate: Rc::new(Gate::new(config, control.start, saved)?), control, place })
    }

    /// What the node asks at each admission.
    pub fn gate(&self) -> Rc<Gate> {
        self.gate.clone()
    }

    /// Begins to follow the control group.
    pub fn follow(self, node: &Rc<Node>) -> Rc<Membership> {
        let Self { gate, control, place } = self;
        let replicas: Vec<String> = control.replicas.iter().map(ToString::to_string).collect();
        log::line(format!("waits for the agreed epoch from {}", replicas.join(", ")));
        let membership = Rc::new(Membership {
            node: node.clone(),
            gate,
            control,
            policy: RefCell::default(),
            due: Notify::new(),
            left: Notify::new(),
            unwritten: RefCell::default(),
            write: Notify::new(),
            draw: RefCell::new(SplitMix64::seed_from_u64(node.config.seed)),
            logged: Cell::default(),
        });
        spawn_local(membership.clone().beats());
        spawn_local(membership.clone().watches());
        spawn_local(membership.clone().waits());
        if let Some(place) = place {
            spawn_local(membership.clone().writes(place));
        }
        membership
    }
}

/// A process that joins, and its node.
pub struct Membership {
    node: Rc<Node>,
    gate: Rc<Gate>,
    control: Control,
    /// What the node judges by.
    policy: RefCell<Policy>,
    /// The next beat is due at once.
    due: Notify,
    /// The session is over.
    left: Notify,
    /// What is to be written.
    unwritten: RefCell<Option<SavedEpoch>>,
    write: Notify,
    draw: RefCell<SplitMix64>,
    /// When a call that brought nothing was last logged.
    logged: Cell<Option<Instant>>,
}

impl Membership {
    /// Closes the session: nothing is taken any more. Returns once the leader knows, or at `last`.
    pub async fn leave(&self, last: Instant) {
        self.with(Member::leave);
        if !self.over() {
            let _ = timeout_at(last.into(), self.left.notified()).await;
        }
    }

    fn over(&self) -> bool {
        self.gate.member.borrow().is_superseded()
    }

    // ---- Calls ----

    /// Beats to whoever leads, one after another.
    async fn beats(self: Rc<Self>) {
        let (mut line, mut place): (Option<Line>, _) = (None, self.first());
        let (mut leader, mut hints, mut failed) = (None, 0, 0);
        while !self.over() {
            let at = leader.unwrap_or_else(|| self.replica(place));
            let kept = line.as_ref().is_some_and(|l| l.at() == at);
            let asked = timeout(BEAT, self.beat(&mut line, at)).await;
            match asked.unwrap_or(Err(CallError::Silent { at })) {
                Ok((sent, voted, mut answer)) => {
                    (hints, failed) = (0, 0);
                    let (asked, verdicts) =
                        (std::mem::take(&mut answer.queried_servers), answer.verdicts.take());
                    self.with(|member, now| member.on_reply(sent, answer, now));
                    if voted {
                        self.node.answered(self.control.zone.as_deref(), asked, verdicts);
                    }
                    self.until_due().await;
                }
                // The replica has closed what was idle, or is another one by now.
                Err(CallError::Broken { .. }) if kept => line = None,
                Err(CallError::NotLeader { leader: other, .. }) if hints < HINTS && other != at => {
                    (leader, hints, line) = (Some(other), hints + 1, None);
                }
                Err(error) => {
                    (hints, line) = (0, None);
                    // What the leader finds wrong with the call is wrong everywhere.
                    if !matches!(error, CallError::Refused { status, .. } if status.is_client_error()) {
                        (leader, place) = (None, place + 1);
                    }
                    self.log(&error);
                    sleep(self.pause(&mut failed)).await;
                }
            }
        }
        self.left.notify_one();
    }

    /// One beat, with when it was handed out and whether it had votes on servers.
    async fn beat(
        &self,
        line: &mut Option<Line>,
        at: SocketAddr,
    ) -> Result<(Millis, bool, HeartbeatReply), CallError> {
        let line = match line.take() {
            Some(kept) if kept.at() == at => line.insert(kept),
            _ => line.insert(Line::to(at).await?),
        };
        let sent = self.gate.now();
        let mut beat = self.gate.member.borrow_mut().heartbeat(sent);
        if !beat.leaving {
            (beat.vote_report, beat.verdicts_version) = self.node.votes(self.control.zone.as_deref()).unzip();
        }
        Ok((sent, beat.vote_report.is_some(), line.beat(&beat).await?))
    }

    async fn until_due(&self) {
        let at = self.gate.instant(self.gate.member.borrow().next_heartbeat_at());
        tokio::select! {
            () = sleep_until(at.into()) => {}
            () = self.due.notified() => {}
        }
    }

    /// Watches at one replica after another.
    async fn watches(self: Rc<Self>) {
        let (mut place, mut from, mut failed) = (self.first(), 0, 0);
        while !self.over() {
            if let Err(error) = self.watch(self.replica(place), &mut from, &mut failed).await {
                self.log(&error);
            }
            place += 1;
            sleep(self.pause(&mut failed)).await;
        }
    }

    async fn watch(&self, at: SocketAddr, from: &mut u64, failed: &mut u32) -> Result<(), CallError> {
        let mut watch = Watch::begin(at, *from).await?;
        while let Some(news) = watch.next().await? {
            (*from, *failed) = (news.version, 0);
            if let Some(agreed) = news.agreed_state {
                self.with(|member, now| member.on_agreed_state(agreed, now));
            }
            if let Some(verdicts) = news.verdicts {
                self.node.news(self.control.zone.as_deref(), verdicts);
            }
        }
        Ok(())
    }

    fn replica(&self, place: usize) -> SocketAddr {
        self.control.replicas[place % self.control.replicas.len()]
    }

    /// Nodes begin with different replicas.
    fn first(&self) -> usize {
        self.draw.borrow_mut().next_u32() as usize
    }

    /// How long to wait after a call that brought nothing, longer each time.
    fn pause(&self, failed: &mut u32) -> Duration {
        let longest = AGAIN_MOST.min(AGAIN * 2u32.pow((*failed).min(8)));
        *failed += 1;
        longest / 2 + longest.mul_f64(f64::from(self.draw.borrow_mut().next_u32()) / f64::from(u32::MAX)) / 2
    }

    fn log(&self, error: &CallError) {
        if self.logged.get().is_none_or(|at| at.elapsed() >= QUIET) {
            self.logged.set(Some(Instant::now()));
            log::line(error.line());
        }
    }

    // ---- What the member says ----

    /// A saved epoch may be due after a while.
    async fn waits(self: Rc<Self>) {
        let due = self.gate.member.borrow().timer_due_at();
        if let Some(at) = due {
            sleep_until(self.gate.instant(at).into()).await;
            self.with(Member::on_timer);
        }
    }

    /// One step of the member, and all that comes of it, at one go: nothing is admitted in between.
    fn with(&self, step: impl FnOnce(&mut Member, Millis) -> Vec<Effect>) {
        let now = self.gate.now();
        let mut effects = VecDeque::from(step(&mut self.gate.member.borrow_mut(), now));
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Check(change) => {
                    let words = self.fit(&change.policy).map(drop).map_err(|unfit| unfit.line());
                    let mut member = self.gate.member.borrow_mut();
                    effects.extend(member.on_check_result(change.id, words, self.gate.now()));
                }
                Effect::Activate { epoch, policy } => self.judge_by(epoch, policy),
                Effect::Save(saved) => {
                    self.unwritten.replace(Some(saved));
                    self.write.notify_one();
                }
                // What a check has read is read anew where the change takes hold.
                Effect::Discard(change) => {
                    log::line(format!("change {} was aborted, it takes hold nowhere", change.0))
                }
                Effect::SendHeartbeat => self.due.notify_one(),
                Effect::NotifyOperator(words) => log::line(words),
            }
        }
    }

    fn fit(&self, policy: &Policy) -> Result<NodeSettings, Unfit> {
        let told = settings_with_policy(&self.control.settings, policy)?;
        let (asked, room) = (told.max_open_requests, self.node.room());
        if asked > room {
            return Err(Unfit::OpenCap { asked, room });
        }
        Ok(told)
    }

    fn judge_by(&self, epoch: Epoch, policy: Policy) {
        if self.gate.unfit.get() || *self.policy.borrow() != policy {
            match self.fit(&policy) {
                Ok(told) => {
                    self.node.judge_by(told);
                    self.policy.replace(policy);
                    self.gate.unfit.set(false);
                }
                Err(unfit) => {
                    self.gate.unfit.set(true);
                    return log::line(format!("epoch {epoch} can't be judged by: {}", unfit.line()));
                }
            }
        }
        log::line(format!("judges by epoch {epoch}"));
    }

    // ---- The disk ----

    /// Writes what is to be saved, the newest only, away from the thread that serves.
    async fn writes(self: Rc<Self>, place: Place) {
        let (mut wait, mut failing) = (WRITE_AGAIN, false);
        loop {
            let Some(saved) = self.unwritten.take() else {
                self.write.notified().await;
                continue;
            };
            let (there, what) = (place.clone(), saved.clone());
            match spawn_blocking(move || there.write(&what)).await {
                Ok(Ok(())) => {
                    if std::mem::take(&mut failing) {
                        log::line(format!("state_dir: epoch {} is saved", saved.epoch));
                    }
                    wait = WRITE_AGAIN;
                }
                Ok(Err(error)) => {
                    if !std::mem::replace(&mut failing, true) {
                        log::line(error.line());
                    }
                    sleep(wait).await;
                    wait = WRITE_AGAIN_MOST.min(wait * 2);
                    self.unwritten.borrow_mut().get_or_insert(saved);
                }
                // The process ends.
                Err(_) => return,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::fault::tests::each_has_its_advice;
    use super::*;

    #[test]
    fn each_error_has_its_advice() {
        each_has_its_advice(|before| match before {
            None => Some(Unfit::Policy(PolicyError::Immutable("Me".into()))),
            Some(Unfit::Policy(_)) => Some(Unfit::OpenCap { asked: 9, room: 3 }),
            Some(Unfit::OpenCap { .. }) => None,
        });
    }
}
