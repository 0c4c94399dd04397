//! The control group: real replica processes, the faults applied to them, and the operator who proposes policies.
//!
//! The operator's own calls go directly to the replicas and bypass all partitions, since the referee judges by their
//! results.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use member::{AgreedState, Epoch, Policy};
use nix::unistd::Pid;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use super::addresses::Addresses;
use super::links::{Links, Party};
use super::process::{self, spawn};
use super::{faulty_voter, LabError, RunContext, EXIT_TIMEOUT};
use crate::draw::FaultSpec;
use crate::epochs::Outcome;
use crate::plan::{ControlGroup, FaultKind, StartMode};
use crate::removals::GroupVerdicts;
use crate::server::Us;
use crate::world::Signal;

/// Timeout of one call to a replica.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call that proposes a change and waits for its end.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the operator repeats a call, or a faulty voter repeats a failed heartbeat.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay between two writes that measure for how long no write succeeds after a fault hit the leader.
const WRITE_PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the group's verdicts are read.
const VERDICT_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long the group may take at the end of the run until a majority knows the acknowledged epoch.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest accepted response body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The control group's replicas in a run.
pub(crate) struct ReplicaGroup {
    program: PathBuf,
    folder: PathBuf,
    logs: PathBuf,
    addresses: Addresses,
    control: ControlGroup,
    replicas: Vec<Replica>,
    links: Links,
    /// Targets of each fault that has not ended.
    fault_targets: RefCell<BTreeMap<usize, Vec<usize>>>,
}

#[derive(Default)]
struct Replica {
    pid: Cell<Option<Pid>>,
    /// Whether the process should be running; cleared before it is ended on purpose.
    expected: Cell<bool>,
    exited: Notify,
}

impl ReplicaGroup {
    /// Creates a group with its links; no replica is started yet. State folders go under `folder`.
    ///
    /// # Errors
    /// Fails if a link cannot be created.
    pub fn new(
        control: &ControlGroup,
        program: &Path,
        folder: &Path,
        logs: &Path,
        addresses: Addresses,
        nodes: usize,
    ) -> Result<Self, LabError> {
        Ok(Self {
            program: program.into(),
            folder: folder.into(),
            logs: logs.into(),
            addresses,
            control: control.clone(),
            replicas: (0..control.replicas).map(|_| Replica::default()).collect(),
            links: Links::new(addresses, nodes, control.replicas)?,
            fault_targets: RefCell::default(),
        })
    }

    /// The control section of the configuration of a node in a zone.
    pub fn node_config(&self, node: usize, zone: &str) -> Value {
        let replicas = self.replica_indexes().map(|r| self.addresses.replica_for_node(node, r).to_string());
        let mut config = json!({"replicas": replicas.collect::<Vec<_>>(), "zone": zone});
        match self.control.start {
            StartMode::Wait => config["start"] = json!("wait"),
            StartMode::Saved => {
                config["start"] = json!("saved");
                config["saved_after_ms"] = json!(self.control.saved_after_ms);
            }
        }
        config
    }

    /// Indexes of the replicas.
    fn replica_indexes(&self) -> std::ops::Range<usize> {
        0..self.replicas.len()
    }

    /// Addresses of the replicas that bypass all partitions.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.replica_indexes().map(|replica| self.address(replica))
    }

    /// Address of a replica that bypasses all partitions.
    fn address(&self, replica: usize) -> SocketAddr {
        self.addresses.replica(replica)
    }

    /// Configuration of a replica.
    fn config(&self, replica: usize) -> toml::Table {
        let address = |other: usize| {
            let at = self.addresses.replica_advertised(other);
            ((other + 1).to_string(), toml::Value::from(at.to_string()))
        };
        let mut terms = self.control.terms.clone();
        let unreachable = format!("{:?}", self.control.unreachable).to_lowercase();
        terms.entry("unreachable").or_insert(unreachable.into());
        let dir = self.folder.join(format!("r{}", replica + 1));
        let fields = [
            ("cluster", "lab".into()),
            ("id", (replica as i64 + 1).into()),
            ("listen", self.address(replica).to_string().into()),
            ("dir", dir.display().to_string().into()),
            ("peers", toml::Value::Table(self.replica_indexes().map(address).collect())),
            ("terms", toml::Value::Table(terms)),
        ];
        fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect()
    }

    fn log_path(&self, replica: usize) -> PathBuf {
        self.logs.join(format!("r{}.log", replica + 1))
    }

    fn signal(&self, replica: usize, signal: Signal) {
        if let Some(pid) = self.replicas[replica].pid.get() {
            process::signal(pid, signal);
        }
    }

    /// Kills all replicas and waits until they have exited.
    pub async fn kill_all(&self) {
        for (n, replica) in self.replicas.iter().enumerate() {
            replica.expected.set(false);
            let exited = replica.exited.notified();
            if replica.pid.get().is_some() {
                self.signal(n, Signal::Kill);
                let _ = tokio::time::timeout(EXIT_TIMEOUT, exited).await;
            }
        }
    }
}

/// Starts all replicas and waits until each is ready.
///
/// # Errors
/// Names the replica that could not be started or was not ready in time.
pub async fn start(run: &Rc<RunContext>) -> Result<(), LabError> {
    let Some(group) = &run.group else { return Ok(()) };
    for replica in group.replica_indexes() {
        start_replica(run, group, replica)?;
    }
    for replica in group.replica_indexes() {
        let exited = group.replicas[replica].exited.notified();
        let name = || format!("replica r{}", replica + 1);
        let last = || process::last_line(&group.log_path(replica));
        tokio::select! {
            () = process::wait_until_ready(group.address(replica)) => {}
            () = exited => {
                return Err(LabError::Start {
                    process: name(),
                    reason: format!("it ended at once: {}", last()),
                });
            }
            () = tokio::time::sleep(run.ready_timeout) => {
                let timeout_s = run.ready_timeout.as_secs_f64();
                return Err(LabError::NotReady { process: name(), timeout_s, last_log_line: last() });
            }
        }
    }
    Ok(())
}

/// Starts a replica, and waits in the background until it exits.
fn start_replica(run: &Rc<RunContext>, group: &ReplicaGroup, replica: usize) -> Result<(), LabError> {
    let name = format!("replica r{}", replica + 1);
    let file = group.folder.join(format!("r{}.toml", replica + 1));
    std::fs::write(&file, group.config(replica).to_string())
        .map_err(|e| LabError::Start { process: name.clone(), reason: e.to_string() })?;
    let mut command = Command::new(&group.program);
    command.arg("control").arg("--config").arg(&file);
    let process = spawn(&name, command, &group.log_path(replica))?;
    let state = &group.replicas[replica];
    state.pid.set(Some(process.id()));
    state.expected.set(true);
    let run = run.clone();
    spawn_local(async move {
        let exit_status = process.wait().await;
        tracing::debug!(replica, exit_status, "replica ended");
        let Some(group) = &run.group else { return };
        let state = &group.replicas[replica];
        state.pid.set(None);
        state.exited.notify_waiters();
        if state.expected.replace(false) && run.start.get().is_some() && !run.closed.get() {
            let reason =
                format!("the process ended by itself: {}", process::last_line(&group.log_path(replica)));
            run.update(|world, now| world.replica_ended(now, replica + 1, reason));
        }
    });
    Ok(())
}

/// Starts a replica again once its previous process has exited.
async fn restart_after_exit(run: Rc<RunContext>, replica: usize) {
    let Some(group) = &run.group else { return };
    let exited = group.replicas[replica].exited.notified();
    if group.replicas[replica].pid.get().is_some() {
        // A killed process takes a moment to exit, and holds its address and state until then.
        let _ = tokio::time::timeout(EXIT_TIMEOUT, exited).await;
    }
    if run.closed.get() {
        return;
    }
    if let Err(error) = start_replica(&run, group, replica) {
        run.fail(error);
    }
}

/// Begins a fault of the control group.
pub async fn begin_fault(run: Rc<RunContext>, number: usize) {
    let Some(group) = &run.group else { return };
    let draw = run.world().draw().clone();
    let fault = &draw.faults[number];
    match fault.kind {
        FaultKind::Policy => return propose(&run, group, fault).await,
        FaultKind::PartitionControl => {
            let nodes: Vec<Party> = fault.targets.iter().copied().map(Party::Node).collect();
            return group.links.partition(number, &nodes, fault.direction);
        }
        FaultKind::FaultyVoters => {
            for index in 0..fault.factor as usize {
                let zone = draw.zones[index % draw.zones.len()].clone();
                let name = format!("liar-{number}-{index}");
                spawn_local(faulty_voter::run_member(run.clone(), fault.clone(), name, zone));
            }
            return;
        }
        _ => {}
    }
    let leader = leader(group).await;
    let targets: Vec<usize> = match fault.kind {
        FaultKind::GroupOutage => group.replica_indexes().collect(),
        _ if fault.targets_leader => leader.into_iter().collect(),
        _ => fault.targets.clone(),
    };
    group.fault_targets.borrow_mut().insert(number, targets.clone());
    if leader.is_some_and(|leader| targets.contains(&leader)) {
        probe_writes(&run, fault.at);
    }
    if fault.kind == FaultKind::PartitionReplica {
        let replicas: Vec<Party> = targets.iter().copied().map(Party::Replica).collect();
        group.links.partition(number, &replicas, fault.direction);
    }
    let step_length = (fault.until - fault.at) / fault.steps as u64;
    for (k, replica) in targets.iter().copied().enumerate() {
        match fault.kind {
            FaultKind::ReplicaKill | FaultKind::GroupOutage => {
                group.replicas[replica].expected.set(false);
                group.signal(replica, Signal::Kill);
            }
            FaultKind::ReplicaPause => group.signal(replica, Signal::Stop),
            FaultKind::ReplicaRestart => {
                let step = (k * fault.steps / targets.len()) as u64;
                spawn_local(restart_after(run.clone(), replica, Duration::from_micros(step * step_length)));
            }
            _ => {}
        }
    }
}

/// Ends a fault of the control group.
pub fn end_fault(run: &Rc<RunContext>, number: usize) {
    let Some(group) = &run.group else { return };
    let draw = run.world().draw().clone();
    let fault = &draw.faults[number];
    group.links.heal(number);
    let targets = group.fault_targets.borrow_mut().remove(&number).unwrap_or_default();
    for replica in targets {
        match fault.kind {
            FaultKind::ReplicaKill | FaultKind::GroupOutage => {
                spawn_local(restart_after_exit(run.clone(), replica));
            }
            FaultKind::ReplicaPause => group.signal(replica, Signal::Continue),
            _ => {}
        }
    }
}

/// Restarts a replica with SIGTERM after a delay.
async fn restart_after(run: Rc<RunContext>, replica: usize, after: Duration) {
    tokio::time::sleep(after).await;
    let Some(group) = &run.group else { return };
    if !run.closed.get() && group.replicas[replica].pid.get().is_some() {
        group.replicas[replica].expected.set(false);
        group.signal(replica, Signal::Terminate);
        restart_after_exit(run.clone(), replica).await;
    }
}

/// Finds the leader: of the replicas that claim to lead, the one with the newest term.
async fn leader(group: &ReplicaGroup) -> Option<usize> {
    let mut newest = None;
    for replica in group.replica_indexes() {
        let response = call(group.address(replica), Method::GET, "/v1/status", None, CALL_TIMEOUT).await;
        let Some((_, status)) = response else { continue };
        if status["replica"]["role"] == "leader" {
            newest = newest.max(Some((status["replica"]["term"].as_u64(), replica)));
        }
    }
    Some(newest?.1)
}

/// Tries a write without effect at each replica until one accepts it, and reports how long that took since the fault
/// hit the leader.
fn probe_writes(run: &Rc<RunContext>, leader_failed_at: Us) {
    let Some(group) = &run.group else { return };
    let done = Rc::new(Cell::new(false));
    for replica in group.replica_indexes() {
        let (run, done, at) = (run.clone(), done.clone(), group.address(replica));
        spawn_local(async move {
            // No epoch matches this base: the proposal is rejected, but by an entry of the log.
            let body = json!({"base": u64::MAX, "policy": {}});
            while !done.get() && !run.closed.get() {
                let response = call(at, Method::PUT, "/v1/policy", Some(&body), CALL_TIMEOUT).await;
                let over = run.world().is_over();
                let written = response.is_some_and(|(status, _)| status == 409);
                if (written || over) && !done.replace(true) {
                    let gap = run.now().saturating_sub(leader_failed_at);
                    run.update(|world, _| world.record_write_gap(written.then_some(gap)));
                }
                tokio::time::sleep(WRITE_PROBE_INTERVAL).await;
            }
        });
    }
}

/// Proposes a policy until its outcome is known or the fault's time is over.
async fn propose(run: &Rc<RunContext>, group: &ReplicaGroup, fault: &FaultSpec) {
    let proposal = run.update(|world, now| world.policy_proposed(now));
    let policy = Policy(fault.policy.clone());
    // The agreed state when the change was first sent: a change that ended since then is this one.
    let mut sent: Option<AgreedState> = None;
    let mut first = true;
    let outcome = loop {
        if let Some(outcome) = poll_outcome(group, &policy, &mut sent).await {
            break outcome;
        }
        if !std::mem::take(&mut first) && run.now() >= fault.until {
            break Outcome::Unknown;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    };
    if !run.closed.get() {
        run.update(|world, now| world.policy_ended(now, proposal, outcome));
    }
}

/// One round of the operator's calls; returns the outcome of the change if it is known.
async fn poll_outcome(
    group: &ReplicaGroup,
    policy: &Policy,
    sent: &mut Option<AgreedState>,
) -> Option<Outcome> {
    let agreed = newest_agreed_state(group).await?;
    if let Some(sent) = sent {
        let last = sent.ended_changes.last().map(|e| e.id);
        if let Some(ended) = agreed.ended_changes.iter().find(|e| last.is_none_or(|last| e.id > last)) {
            return Some(match &ended.abort_reason {
                None => Outcome::Committed(ended.epoch),
                Some(reason) => Outcome::Aborted(serde_json::to_string(reason).unwrap_or_default()),
            });
        }
    }
    if agreed.change.is_some() {
        return None;
    }
    let body = json!({"base": agreed.epoch, "policy": policy});
    sent.get_or_insert(agreed);
    for replica in group.replica_indexes() {
        match call(group.address(replica), Method::PUT, "/v1/policy", Some(&body), PROPOSAL_TIMEOUT).await {
            // The outcome is read from the agreed state, as it is after a call that failed.
            Some((200 | 409, _)) | None => {}
            Some((503, _)) => continue,
            Some((status, body)) => return Some(Outcome::Aborted(format!("{status} {body}"))),
        }
        break;
    }
    None
}

/// Newest agreed state of all replicas that answer.
async fn newest_agreed_state(group: &ReplicaGroup) -> Option<AgreedState> {
    let mut newest: Option<AgreedState> = None;
    for replica in group.replica_indexes() {
        let response = call(group.address(replica), Method::GET, "/v1/policy", None, CALL_TIMEOUT).await;
        let agreed = response.and_then(|(_, body)| serde_json::from_value::<AgreedState>(body).ok());
        newest = newest.into_iter().chain(agreed).max_by_key(|a| a.version);
    }
    newest
}

/// Reads the group's verdicts until the run is over, and records those with the highest version.
pub async fn watch_verdicts(run: Rc<RunContext>) {
    let Some(group) = &run.group else { return };
    while !run.closed.get() {
        let mut newest: Option<GroupVerdicts> = None;
        for replica in group.replica_indexes().filter(|r| group.replicas[*r].pid.get().is_some()) {
            let response =
                call(group.address(replica), Method::GET, "/v1/verdicts", None, CALL_TIMEOUT).await;
            let verdicts = response.and_then(|(_, body)| GroupVerdicts::read(&body));
            newest = newest.into_iter().chain(verdicts).max_by_key(|verdicts| verdicts.version);
        }
        if let Some(verdicts) = newest {
            run.update(|world, now| world.record_verdicts(now, verdicts));
        }
        tokio::time::sleep(VERDICT_POLL_INTERVAL).await;
    }
}

/// The epoch that a majority of the replicas knows at the end of the run, once it has reached the acknowledged one or
/// the time is up; `None` if no majority runs.
pub async fn agreed_at_end(run: &Rc<RunContext>, acknowledged: Epoch) -> Option<Epoch> {
    let group = run.group.as_ref()?;
    let majority = group.replicas.len() / 2 + 1;
    if group.replicas.iter().filter(|r| r.pid.get().is_some()).count() < majority {
        return None;
    }
    let started = tokio::time::Instant::now();
    loop {
        let mut epochs = Vec::new();
        for replica in group.replica_indexes() {
            let response = call(group.address(replica), Method::GET, "/v1/policy", None, CALL_TIMEOUT).await;
            epochs.push(response.and_then(|(_, body)| body["epoch"].as_u64()));
        }
        // Sorted in descending order: the entry at majority - 1 is known to a majority.
        epochs.sort_unstable_by(|a, b| b.cmp(a));
        let agreed = epochs[majority - 1];
        if agreed.is_some_and(|epoch| epoch >= acknowledged) || started.elapsed() > CATCH_UP_TIMEOUT {
            return Some(agreed.unwrap_or(0));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Makes one call; returns its status and JSON body, or `None` if no complete answer arrived in time.
pub(super) async fn call(
    at: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&Value>,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let exchange = async {
        let stream = TcpStream::connect(at).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (mut send, conn) = http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await.ok()?;
        let driver = spawn_local(async move { drop(conn.await) });
        let body = body.map_or_else(Bytes::new, |body| body.to_string().into());
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", at.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body))
            .ok()?;
        let answer = send.send_request(request).await;
        let response = async {
            let (head, body) = answer.ok()?.into_parts();
            let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?.to_bytes();
            Some((head.status.as_u16(), serde_json::from_slice(&body).unwrap_or(Value::Null)))
        };
        let response = response.await;
        driver.abort();
        response
    };
    tokio::time::timeout(timeout, exchange).await.ok()?
}
