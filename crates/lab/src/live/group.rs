//! The control group: real replicas, what faults do to them, and the operator who asks for policies.
//!
//! The operator's own calls go straight to the replicas, past all cuts: what he is told is what the referee judges by.

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

use super::address::Addresses;
use super::links::{Links, Party};
use super::process::{self, spawn};
use super::{liar, LabError, Stage, GONE};
use crate::draw::FaultSpec;
use crate::epochs::Outcome;
use crate::plan::{Control, Start, Trouble};
use crate::removals::Word;
use crate::server::Us;
use crate::world::Signal;

/// How long a replica may take to answer a question.
pub(super) const PATIENCE: Duration = Duration::from_millis(500);
/// How long an operator waits for the end of a change in one call.
const PROPOSAL: Duration = Duration::from_secs(10);
/// Between an operator's calls.
pub(super) const AGAIN: Duration = Duration::from_millis(50);
/// Between two tries at a write while the leader is struck.
const PROBE: Duration = Duration::from_millis(20);
/// Between two looks at what the group says of servers.
const LOOK: Duration = Duration::from_millis(250);
/// How long the group may take at the run's end until a majority tells what it has acknowledged.
const CATCH_UP: Duration = Duration::from_secs(10);
/// The largest answer that is read.
const BODY_MOST: usize = 4 << 20;

/// The replicas of a run.
pub(crate) struct Group {
    program: PathBuf,
    folder: PathBuf,
    logs: PathBuf,
    addresses: Addresses,
    control: Control,
    replicas: Vec<Replica>,
    links: Links,
    /// Whom the faults struck that are not over.
    struck: RefCell<BTreeMap<usize, Vec<usize>>>,
}

#[derive(Default)]
struct Replica {
    id: Cell<Option<Pid>>,
    /// It is to be there: whoever ends it first says that it is not.
    wanted: Cell<bool>,
    gone: Notify,
}

impl Group {
    /// Nobody has started yet, but for the links; state folders go under `folder`.
    ///
    /// # Errors
    /// Where a link can't be had.
    pub fn new(
        control: &Control,
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
            struck: RefCell::default(),
        })
    }

    /// What the configuration of a node in a zone says of the group.
    pub fn node_config(&self, node: usize, zone: &str) -> Value {
        let replicas = self.numbers().map(|r| self.addresses.replica_for_node(node, r).to_string());
        let mut config = json!({"replicas": replicas.collect::<Vec<_>>(), "zone": zone});
        match self.control.start {
            Start::Wait => config["start"] = json!("wait"),
            Start::Saved => {
                config["start"] = json!("saved");
                config["saved_after_ms"] = json!(self.control.saved_after_ms);
            }
        }
        config
    }

    /// The replicas, by place.
    fn numbers(&self) -> std::ops::Range<usize> {
        0..self.replicas.len()
    }

    /// Where replicas listen, past all cuts.
    pub(super) fn all(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.numbers().map(|replica| self.at(replica))
    }

    fn at(&self, replica: usize) -> SocketAddr {
        self.addresses.replica(replica)
    }

    /// A replica's configuration.
    fn config(&self, replica: usize) -> toml::Table {
        let address = |other: usize| {
            let at = self.addresses.replica_of_group(other);
            ((other + 1).to_string(), toml::Value::from(at.to_string()))
        };
        let mut terms = self.control.terms.clone();
        let unreachable = format!("{:?}", self.control.unreachable).to_lowercase();
        terms.entry("unreachable").or_insert(unreachable.into());
        let dir = self.folder.join(format!("r{}", replica + 1));
        let fields = [
            ("cluster", "lab".into()),
            ("id", (replica as i64 + 1).into()),
            ("listen", self.at(replica).to_string().into()),
            ("dir", dir.display().to_string().into()),
            ("peers", toml::Value::Table(self.numbers().map(address).collect())),
            ("terms", toml::Value::Table(terms)),
        ];
        fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect()
    }

    fn log(&self, replica: usize) -> PathBuf {
        self.logs.join(format!("r{}.log", replica + 1))
    }

    fn signal(&self, replica: usize, signal: Signal) {
        if let Some(id) = self.replicas[replica].id.get() {
            process::signal(id, signal);
        }
    }

    /// Ends every replica, and waits for that.
    pub async fn clear(&self) {
        for (n, replica) in self.replicas.iter().enumerate() {
            replica.wanted.set(false);
            let gone = replica.gone.notified();
            if replica.id.get().is_some() {
                self.signal(n, Signal::Kill);
                let _ = tokio::time::timeout(GONE, gone).await;
            }
        }
    }
}

/// Starts all replicas and waits until each is ready.
///
/// # Errors
/// Names the replica that could not be started, or did not get ready.
pub async fn start(stage: &Rc<Stage>) -> Result<(), LabError> {
    let Some(group) = &stage.group else { return Ok(()) };
    for replica in group.numbers() {
        start_one(stage, group, replica)?;
    }
    for replica in group.numbers() {
        let gone = group.replicas[replica].gone.notified();
        let who = || format!("replica r{}", replica + 1);
        let last = || process::last_line(&group.log(replica));
        tokio::select! {
            () = process::until_ready(group.at(replica)) => {}
            () = gone => {
                return Err(LabError::Start { who: who(), words: format!("it ended at once: {}", last()) });
            }
            () = tokio::time::sleep(stage.ready_within) => {
                let within = stage.ready_within.as_secs_f64();
                return Err(LabError::NotReady { who: who(), within, last: last() });
            }
        }
    }
    Ok(())
}

fn start_one(stage: &Rc<Stage>, group: &Group, replica: usize) -> Result<(), LabError> {
    let who = format!("replica r{}", replica + 1);
    let file = group.folder.join(format!("r{}.toml", replica + 1));
    std::fs::write(&file, group.config(replica).to_string())
        .map_err(|e| LabError::Start { who: who.clone(), words: e.to_string() })?;
    let mut command = Command::new(&group.program);
    command.arg("control").arg("--config").arg(&file);
    let process = spawn(&who, command, &group.log(replica))?;
    let state = &group.replicas[replica];
    state.id.set(Some(process.id()));
    state.wanted.set(true);
    let stage = stage.clone();
    spawn_local(async move {
        let how = process.ended().await;
        tracing::debug!(replica, how, "replica ended");
        let Some(group) = &stage.group else { return };
        let state = &group.replicas[replica];
        state.id.set(None);
        state.gone.notify_waiters();
        if state.wanted.replace(false) && stage.start.get().is_some() && !stage.closed.get() {
            let words = format!("the process ended by itself: {}", process::last_line(&group.log(replica)));
            stage.with(|world, now| world.replica_ended(now, replica + 1, words));
        }
    });
    Ok(())
}

async fn start_again(stage: Rc<Stage>, replica: usize) {
    let Some(group) = &stage.group else { return };
    let gone = group.replicas[replica].gone.notified();
    if group.replicas[replica].id.get().is_some() {
        // A killed process takes a moment to be gone, and holds its address and state until then.
        let _ = tokio::time::timeout(GONE, gone).await;
    }
    if stage.closed.get() {
        return;
    }
    if let Err(error) = start_one(&stage, group, replica) {
        stage.fail(error);
    }
}

/// The group's part in a fault begins.
pub async fn strike(stage: Rc<Stage>, number: usize) {
    let Some(group) = &stage.group else { return };
    let draw = stage.world().draw().clone();
    let fault = &draw.faults[number];
    match fault.kind {
        Trouble::Policy => return propose(&stage, group, fault).await,
        Trouble::CutControl => {
            let nodes: Vec<Party> = fault.targets.iter().copied().map(Party::Node).collect();
            return group.links.cut(number, &nodes, fault.way);
        }
        Trouble::Liar => {
            for liar in 0..fault.factor as usize {
                let zone = draw.zones[liar % draw.zones.len()].clone();
                let name = format!("liar-{number}-{liar}");
                spawn_local(liar::lie(stage.clone(), fault.clone(), name, zone));
            }
            return;
        }
        _ => {}
    }
    let leader = leader(group).await;
    let targets: Vec<usize> = match fault.kind {
        Trouble::GroupLost => group.numbers().collect(),
        _ if fault.leader => leader.into_iter().collect(),
        _ => fault.targets.clone(),
    };
    group.struck.borrow_mut().insert(number, targets.clone());
    if leader.is_some_and(|leader| targets.contains(&leader)) {
        probe(&stage, fault.at);
    }
    if fault.kind == Trouble::CutReplica {
        let replicas: Vec<Party> = targets.iter().copied().map(Party::Replica).collect();
        group.links.cut(number, &replicas, fault.way);
    }
    let pause = (fault.until - fault.at) / fault.steps as u64;
    for (k, replica) in targets.iter().copied().enumerate() {
        match fault.kind {
            Trouble::ReplicaKill | Trouble::GroupLost => {
                group.replicas[replica].wanted.set(false);
                group.signal(replica, Signal::Kill);
            }
            Trouble::ReplicaStop => group.signal(replica, Signal::Stop),
            Trouble::ReplicaRestart => {
                let step = (k * fault.steps / targets.len()) as u64;
                spawn_local(restart(stage.clone(), replica, Duration::from_micros(step * pause)));
            }
            _ => {}
        }
    }
}

/// It ends.
pub fn heal(stage: &Rc<Stage>, number: usize) {
    let Some(group) = &stage.group else { return };
    let draw = stage.world().draw().clone();
    let fault = &draw.faults[number];
    group.links.mend(number);
    let targets = group.struck.borrow_mut().remove(&number).unwrap_or_default();
    for replica in targets {
        match fault.kind {
            Trouble::ReplicaKill | Trouble::GroupLost => {
                spawn_local(start_again(stage.clone(), replica));
            }
            Trouble::ReplicaStop => group.signal(replica, Signal::Continue),
            _ => {}
        }
    }
}

async fn restart(stage: Rc<Stage>, replica: usize, after: Duration) {
    tokio::time::sleep(after).await;
    let Some(group) = &stage.group else { return };
    if !stage.closed.get() && group.replicas[replica].id.get().is_some() {
        group.replicas[replica].wanted.set(false);
        group.signal(replica, Signal::Terminate);
        start_again(stage.clone(), replica).await;
    }
}

/// Who leads: of those that say so of themselves, the one of the newest term.
async fn leader(group: &Group) -> Option<usize> {
    let mut newest = None;
    for replica in group.numbers() {
        let told = call(group.at(replica), Method::GET, "/v1/status", None, PATIENCE).await;
        let Some((_, status)) = told else { continue };
        if status["replica"]["role"] == "leader" {
            newest = newest.max(Some((status["replica"]["term"].as_u64(), replica)));
        }
    }
    Some(newest?.1)
}

/// Tries a write that changes nothing at each replica until one takes it, and tells how long that took since the leader
/// was struck.
fn probe(stage: &Rc<Stage>, struck: Us) {
    let Some(group) = &stage.group else { return };
    let done = Rc::new(Cell::new(false));
    for replica in group.numbers() {
        let (stage, done, at) = (stage.clone(), done.clone(), group.at(replica));
        spawn_local(async move {
            // No policy has such a base: it is refused, by an entry of the log.
            let body = json!({"base": u64::MAX, "policy": {}});
            while !done.get() && !stage.closed.get() {
                let told = call(at, Method::PUT, "/v1/policy", Some(&body), PATIENCE).await;
                let over = stage.world().over();
                let written = told.is_some_and(|(status, _)| status == 409);
                if (written || over) && !done.replace(true) {
                    let gap = stage.now().saturating_sub(struck);
                    stage.with(|world, _| world.write_gap(written.then_some(gap)));
                }
                tokio::time::sleep(PROBE).await;
            }
        });
    }
}

/// Asks for a policy, until somebody says what became of it or the fault's time is over.
async fn propose(stage: &Rc<Stage>, group: &Group, fault: &FaultSpec) {
    let wish = stage.with(|world, now| world.policy_proposed(now));
    let policy = Policy(fault.policy.clone());
    // What was agreed when the change was first sent: what ended since is this one.
    let mut sent: Option<AgreedState> = None;
    let mut first = true;
    let outcome = loop {
        if let Some(outcome) = told(group, &policy, &mut sent).await {
            break outcome;
        }
        if !std::mem::take(&mut first) && stage.now() >= fault.until {
            break Outcome::Unknown;
        }
        tokio::time::sleep(AGAIN).await;
    };
    if !stage.closed.get() {
        stage.with(|world, now| world.policy_ended(now, wish, outcome));
    }
}

/// One round of an operator's: what became of his change, as far as it can be told.
async fn told(group: &Group, policy: &Policy, sent: &mut Option<AgreedState>) -> Option<Outcome> {
    let agreed = newest(group).await?;
    if let Some(sent) = sent {
        let last = sent.ended_changes.last().map(|e| e.id);
        if let Some(ended) = agreed.ended_changes.iter().find(|e| last.is_none_or(|last| e.id > last)) {
            return Some(match &ended.abort_reason {
                None => Outcome::Committed(ended.epoch),
                Some(why) => Outcome::Aborted(serde_json::to_string(why).unwrap_or_default()),
            });
        }
    }
    if agreed.change.is_some() {
        return None;
    }
    let body = json!({"base": agreed.epoch, "policy": policy});
    sent.get_or_insert(agreed);
    for replica in group.numbers() {
        match call(group.at(replica), Method::PUT, "/v1/policy", Some(&body), PROPOSAL).await {
            // What was answered is read from the agreed state, as after a call that broke.
            Some((200 | 409, _)) | None => {}
            Some((503, _)) => continue,
            Some((status, words)) => return Some(Outcome::Aborted(format!("{status} {words}"))),
        }
        break;
    }
    None
}

/// The newest agreed state that a replica tells.
async fn newest(group: &Group) -> Option<AgreedState> {
    let mut newest: Option<AgreedState> = None;
    for replica in group.numbers() {
        let told = call(group.at(replica), Method::GET, "/v1/policy", None, PATIENCE).await;
        let agreed = told.and_then(|(_, told)| serde_json::from_value::<AgreedState>(told).ok());
        newest = newest.into_iter().chain(agreed).max_by_key(|a| a.version);
    }
    newest
}

/// Looks at what the group says of servers until the play is over; the replica that knows most is believed.
pub async fn watch_verdicts(stage: Rc<Stage>) {
    let Some(group) = &stage.group else { return };
    while !stage.closed.get() {
        let mut newest: Option<Word> = None;
        for replica in group.numbers().filter(|r| group.replicas[*r].id.get().is_some()) {
            let told = call(group.at(replica), Method::GET, "/v1/verdicts", None, PATIENCE).await;
            let word = told.and_then(|(_, told)| Word::read(&told));
            newest = newest.into_iter().chain(word).max_by_key(|word| word.version);
        }
        if let Some(word) = newest {
            stage.with(|world, now| world.group_says(now, word));
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// The epoch that a majority of the replicas knows at the run's end, once it is the acknowledged one or the time is
/// up; `None` where no majority runs.
pub async fn agreed_at_end(stage: &Rc<Stage>, acknowledged: Epoch) -> Option<Epoch> {
    let group = stage.group.as_ref()?;
    let majority = group.replicas.len() / 2 + 1;
    if group.replicas.iter().filter(|r| r.id.get().is_some()).count() < majority {
        return None;
    }
    let begun = tokio::time::Instant::now();
    loop {
        let mut known = Vec::new();
        for replica in group.numbers() {
            let told = call(group.at(replica), Method::GET, "/v1/policy", None, PATIENCE).await;
            known.push(told.and_then(|(_, told)| told["epoch"].as_u64()));
        }
        // The greatest first: of so many the last is known to a majority.
        known.sort_unstable_by(|a, b| b.cmp(a));
        let agreed = known[majority - 1];
        if agreed.is_some_and(|epoch| epoch >= acknowledged) || begun.elapsed() > CATCH_UP {
            return Some(agreed.unwrap_or(0));
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// One call; its status and JSON, `None` where no whole answer came in time.
pub(super) async fn call(
    at: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&Value>,
    patience: Duration,
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
        let told = async {
            let (head, body) = answer.ok()?.into_parts();
            let body = Limited::new(body, BODY_MOST).collect().await.ok()?.to_bytes();
            Some((head.status.as_u16(), serde_json::from_slice(&body).unwrap_or(Value::Null)))
        };
        let told = told.await;
        driver.abort();
        told
    };
    tokio::time::timeout(patience, exchange).await.ok()?
}
