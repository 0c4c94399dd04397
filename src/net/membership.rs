//! The node as a member of its fleet: heartbeats and a watch to the control group, and the effects that the member
//! state asks for.
//!
//! [`member::Member`] decides what may be taken and what to do; this file does the I/O. All of it runs beside
//! requests: none ever waits for a replica or for the disk.

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

use super::admission::Admission;
use super::advice::Advice;
use super::config::{Config, Control};
use super::epoch_file::{EpochFile, EpochFileError};
use super::listen::ListenError;
use super::log;
use super::node::Node;
use super::replica::{CallError, ReplicaConnection, Watch};

/// How long a heartbeat may take, including a new connection for it.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// The backoff after calls that failed: at first, and at most; half of each is random. The maximum is the interval
/// of heartbeats: nodes that look for a leader cost the group no more than in normal operation, and a change that
/// waits for the last of them to find the new leader waits no longer than necessary.
const MIN_CALL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_CALL_BACKOFF: Duration = Duration::from_millis(250);
/// The backoff after writes that failed, at first and at most.
const MIN_WRITE_BACKOFF: Duration = Duration::from_millis(500);
const MAX_WRITE_BACKOFF: Duration = Duration::from_secs(60);
/// How many redirects to the leader are followed in a row without a pause.
const MAX_REDIRECTS: u32 = 2;
/// The least time between log lines about failed calls.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Why a policy cannot be applied on this node.
#[derive(Debug, Error)]
enum UnusablePolicy {
    /// It does not fit this node's settings.
    #[error("policy: {0}")]
    Policy(#[from] PolicyError),
    /// It allows more open requests than this process has capacity for.
    #[error("Limits.OpenCap: {requested} is more than this node's capacity of {capacity}")]
    OpenCap {
        /// The limit in the policy.
        requested: usize,
        /// What this process has capacity for.
        capacity: usize,
    },
}

impl Advice for UnusablePolicy {
    fn advice(&self) -> String {
        match self {
            Self::Policy(error) => error.advice().into(),
            Self::OpenCap { .. } => {
                "propose a lower limit, or give the node more descriptors and memory".into()
            }
        }
    }
}

/// A process that is about to become a member.
pub struct MembershipSetup {
    admission: Rc<Admission>,
    control: Control,
    epoch_file: Option<EpochFile>,
}

impl MembershipSetup {
    /// Reads the saved epoch. A file that cannot be used is logged and ignored.
    ///
    /// # Errors
    /// A [`ListenError`] if the process cannot listen at a port of its own.
    pub fn new(config: &Config, control: Control) -> Result<Self, ListenError> {
        let mut epoch_file = control.state_dir.as_deref().map(|folder| EpochFile::new(folder, &config.name));
        let saved = match epoch_file.as_ref().map(EpochFile::read) {
            None => None,
            Some(Ok(saved)) => saved,
            Some(Err(error)) => {
                log::line(error.line());
                // The file is useful to another node or version: it is not overwritten.
                if matches!(error, EpochFileError::OtherNode { .. } | EpochFileError::NewerFormat { .. }) {
                    epoch_file = None;
                }
                None
            }
        };
        Ok(Self { admission: Rc::new(Admission::new(config, control.start, saved)?), control, epoch_file })
    }

    /// Decides whether the node may take requests.
    pub fn admission(&self) -> Rc<Admission> {
        self.admission.clone()
    }

    /// Starts to follow the control group.
    pub fn follow(self, node: &Rc<Node>) -> Rc<Membership> {
        let Self { admission, control, epoch_file } = self;
        let replicas: Vec<String> = control.replicas.iter().map(ToString::to_string).collect();
        log::line(format!("waits for the agreed epoch from {}", replicas.join(", ")));
        let membership = Rc::new(Membership {
            node: node.clone(),
            admission,
            control,
            policy: RefCell::default(),
            heartbeat_due: Notify::new(),
            session_ended: Notify::new(),
            unsaved: RefCell::default(),
            save_requested: Notify::new(),
            rng: RefCell::new(SplitMix64::seed_from_u64(node.config.seed)),
            last_logged: Cell::default(),
        });
        spawn_local(membership.clone().heartbeat_loop());
        spawn_local(membership.clone().watch_loop());
        spawn_local(membership.clone().wake_timer());
        if let Some(epoch_file) = epoch_file {
            spawn_local(membership.clone().save_loop(epoch_file));
        }
        membership
    }
}

/// The membership of a process, and its node.
pub struct Membership {
    node: Rc<Node>,
    admission: Rc<Admission>,
    control: Control,
    /// The policy that the node applies.
    policy: RefCell<Policy>,
    /// A heartbeat is due at once.
    heartbeat_due: Notify,
    /// The session has ended.
    session_ended: Notify,
    /// The state to be saved next.
    unsaved: RefCell<Option<SavedEpoch>>,
    save_requested: Notify,
    rng: RefCell<SplitMix64>,
    /// When a failed call was last logged.
    last_logged: Cell<Option<Instant>>,
}

impl Membership {
    /// Closes the session; no new requests are taken from now on. Returns once the leader has confirmed, or at
    /// `deadline`.
    pub async fn leave(&self, deadline: Instant) {
        self.step(Member::leave);
        if !self.is_session_ended() {
            let _ = timeout_at(deadline.into(), self.session_ended.notified()).await;
        }
    }

    fn is_session_ended(&self) -> bool {
        self.admission.member.borrow().is_session_ended()
    }

    // ---- Calls ----

    /// Sends heartbeats to the leader, one after another.
    async fn heartbeat_loop(self: Rc<Self>) {
        let (mut connection, mut index): (Option<ReplicaConnection>, _) = (None, self.first_replica());
        let (mut leader, mut redirects, mut failures) = (None, 0, 0);
        while !self.is_session_ended() {
            let addr = leader.unwrap_or_else(|| self.replica(index));
            let reused = connection.as_ref().is_some_and(|c| c.addr() == addr);
            let result = timeout(HEARTBEAT_TIMEOUT, self.send_heartbeat(&mut connection, addr)).await;
            match result.unwrap_or(Err(CallError::TimedOut { addr })) {
                Ok((sent, voted, mut reply)) => {
                    (redirects, failures) = (0, 0);
                    let (queried, verdicts) =
                        (std::mem::take(&mut reply.queried_servers), reply.verdicts.take());
                    self.step(|member, now| member.on_reply(sent, reply, now));
                    if voted {
                        self.node.leader_answered(self.control.zone.as_deref(), queried, verdicts);
                    }
                    self.until_heartbeat_due().await;
                }
                // The replica has closed the idle connection, or was restarted.
                Err(CallError::ConnectionFailed { .. }) if reused => connection = None,
                Err(CallError::NotLeader { leader: other, .. })
                    if redirects < MAX_REDIRECTS && other != addr =>
                {
                    (leader, redirects, connection) = (Some(other), redirects + 1, None);
                }
                Err(error) => {
                    (redirects, connection) = (0, None);
                    // What the leader refuses as a faulty call, other replicas would refuse as well.
                    if !matches!(error, CallError::Refused { status, .. } if status.is_client_error()) {
                        (leader, index) = (None, index + 1);
                    }
                    self.log(&error);
                    sleep(self.backoff(&mut failures)).await;
                }
            }
        }
        self.session_ended.notify_one();
    }

    /// Sends one heartbeat; returns the answer, when the heartbeat was made, and whether it had votes on servers.
    async fn send_heartbeat(
        &self,
        connection: &mut Option<ReplicaConnection>,
        addr: SocketAddr,
    ) -> Result<(Millis, bool, HeartbeatReply), CallError> {
        let connection = match connection.take() {
            Some(kept) if kept.addr() == addr => connection.insert(kept),
            _ => connection.insert(ReplicaConnection::connect(addr).await?),
        };
        let sent = self.admission.now();
        let mut heartbeat = self.admission.member.borrow_mut().heartbeat(sent);
        if !heartbeat.leaving {
            (heartbeat.vote_report, heartbeat.verdicts_version) =
                self.node.heartbeat_votes(self.control.zone.as_deref()).unzip();
        }
        Ok((sent, heartbeat.vote_report.is_some(), connection.send_heartbeat(&heartbeat).await?))
    }

    async fn until_heartbeat_due(&self) {
        let at = self.admission.instant(self.admission.member.borrow().next_heartbeat_at());
        tokio::select! {
            () = sleep_until(at.into()) => {}
            () = self.heartbeat_due.notified() => {}
        }
    }

    /// Watches one replica after another.
    async fn watch_loop(self: Rc<Self>) {
        let (mut index, mut from, mut failures) = (self.first_replica(), 0, 0);
        while !self.is_session_ended() {
            if let Err(error) = self.watch(self.replica(index), &mut from, &mut failures).await {
                self.log(&error);
            }
            index += 1;
            sleep(self.backoff(&mut failures)).await;
        }
    }

    async fn watch(&self, addr: SocketAddr, from: &mut u64, failures: &mut u32) -> Result<(), CallError> {
        let mut watch = Watch::open(addr, *from).await?;
        while let Some(event) = watch.next().await? {
            (*from, *failures) = (event.version, 0);
            if let Some(state) = event.agreed_state {
                self.step(|member, now| member.on_agreed_state(state, now));
            }
            if let Some(verdicts) = event.verdicts {
                self.node.verdicts_reported(self.control.zone.as_deref(), verdicts);
            }
        }
        Ok(())
    }

    fn replica(&self, index: usize) -> SocketAddr {
        self.control.replicas[index % self.control.replicas.len()]
    }

    /// A random first replica, so that nodes spread over all of them.
    fn first_replica(&self) -> usize {
        self.rng.borrow_mut().next_u32() as usize
    }

    /// The backoff after a failed call, longer each time up to a maximum.
    fn backoff(&self, failures: &mut u32) -> Duration {
        let max = MAX_CALL_BACKOFF.min(MIN_CALL_BACKOFF * 2u32.pow((*failures).min(8)));
        *failures += 1;
        max / 2 + max.mul_f64(f64::from(self.rng.borrow_mut().next_u32()) / f64::from(u32::MAX)) / 2
    }

    fn log(&self, error: &CallError) {
        if self.last_logged.get().is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.last_logged.set(Some(Instant::now()));
            log::line(error.line());
        }
    }

    // ---- What the member says ----

    /// Wakes the member when a saved epoch may come into force.
    async fn wake_timer(self: Rc<Self>) {
        let due = self.admission.member.borrow().timer_due_at();
        if let Some(at) = due {
            sleep_until(self.admission.instant(at).into()).await;
            self.step(Member::on_timer);
        }
    }

    /// Performs one step of the member and all of its effects at once: no request is admitted in between.
    fn step(&self, step: impl FnOnce(&mut Member, Millis) -> Vec<Effect>) {
        let now = self.admission.now();
        let mut effects = VecDeque::from(step(&mut self.admission.member.borrow_mut(), now));
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Check(change) => {
                    let result = self.check_policy(&change.policy).map(drop).map_err(|error| error.line());
                    let mut member = self.admission.member.borrow_mut();
                    effects.extend(member.on_check_result(change.id, result, self.admission.now()));
                }
                Effect::Activate { epoch, policy } => self.activate(epoch, policy),
                Effect::Save(saved) => {
                    self.unsaved.replace(Some(saved));
                    self.save_requested.notify_one();
                }
                // The policy of a check is read again when its change takes effect.
                Effect::Discard(change) => {
                    log::line(format!("change {} was aborted and takes effect on no node", change.0))
                }
                Effect::SendHeartbeat => self.heartbeat_due.notify_one(),
                Effect::NotifyOperator(text) => log::line(text),
            }
        }
    }

    fn check_policy(&self, policy: &Policy) -> Result<NodeSettings, UnusablePolicy> {
        let settings = settings_with_policy(&self.control.settings, policy)?;
        let (requested, capacity) = (settings.max_open_requests, self.node.open_request_capacity());
        if requested > capacity {
            return Err(UnusablePolicy::OpenCap { requested, capacity });
        }
        Ok(settings)
    }

    fn activate(&self, epoch: Epoch, policy: Policy) {
        if self.admission.policy_unusable.get() || *self.policy.borrow() != policy {
            match self.check_policy(&policy) {
                Ok(settings) => {
                    self.node.apply_policy(settings);
                    self.policy.replace(policy);
                    self.admission.policy_unusable.set(false);
                }
                Err(error) => {
                    self.admission.policy_unusable.set(true);
                    return log::line(format!(
                        "epoch {epoch} cannot be applied on this node: {}",
                        error.line()
                    ));
                }
            }
        }
        log::line(format!("applies epoch {epoch}"));
    }

    // ---- The disk ----

    /// Saves the newest state on another thread than the one that serves.
    async fn save_loop(self: Rc<Self>, epoch_file: EpochFile) {
        let (mut backoff, mut failing) = (MIN_WRITE_BACKOFF, false);
        loop {
            let Some(saved) = self.unsaved.take() else {
                self.save_requested.notified().await;
                continue;
            };
            let (file, state) = (epoch_file.clone(), saved.clone());
            match spawn_blocking(move || file.write(&state)).await {
                Ok(Ok(())) => {
                    if std::mem::take(&mut failing) {
                        log::line(format!("state_dir: epoch {} is saved", saved.epoch));
                    }
                    backoff = MIN_WRITE_BACKOFF;
                }
                Ok(Err(error)) => {
                    if !std::mem::replace(&mut failing, true) {
                        log::line(error.line());
                    }
                    sleep(backoff).await;
                    backoff = MAX_WRITE_BACKOFF.min(backoff * 2);
                    self.unsaved.borrow_mut().get_or_insert(saved);
                }
                // The process is about to exit.
                Err(_) => return,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::advice::tests::assert_each_has_advice;
    use super::*;

    #[test]
    fn each_error_is_one_line_with_advice() {
        assert_each_has_advice(|before| match before {
            None => Some(UnusablePolicy::Policy(PolicyError::Immutable("Me".into()))),
            Some(UnusablePolicy::Policy(_)) => Some(UnusablePolicy::OpenCap { requested: 9, capacity: 3 }),
            Some(UnusablePolicy::OpenCap { .. }) => None,
        });
    }
}
