//! Kills the leader after each message that it sends during a policy change, for every message in turn.
//!
//! Each replica has a runtime of its own, which can be shut down at any point, and a proxy in front of it that sees all
//! its traffic. From the proposal on, the messages that leave the leader are counted: messages to replicas, and responses
//! to nodes and the operator. After the `k`-th message nothing more passes, and the leader is killed; `k` grows until the
//! change ends, and all nodes know its outcome, before that.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use control::config::Config;
use control::edge::Control;
use hyper::StatusCode;
use member::{AdmissionError, Epoch, MAX_CLOCK_DRIFT};
use serde_json::Value;
use support::{free_address, try_call, Admission, Node, Reply, TEST_TIMEOUT};
use tempfile::TempDir;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout, Instant};

/// Just above the shortest promise that the configuration allows for these settings (2172 ms).
const PROMISE_MS: f64 = 2180.0;
const SETTINGS: &str = "[terms]\nbeat_ms = 50\nstage_ms = 4000\npromise_ms = 2180\nreserve_ms = 50\n\
                     [election]\nafter_ms = [860, 900]";
/// The tolerance of time measurements: the time is read before or after a node answers, on a busy machine.
const TOLERANCE_MS: f64 = 5.0;
/// The number of groups of replicas that run in parallel; each runs a part of the steps.
const PARALLEL_GROUPS: usize = 6;
/// The test fails if a change has not ended after this many messages of its leader. That is more than a change and the
/// heartbeats during it take, also on a busy machine.
const MAX_STEPS: usize = 400;
/// The interval at which the test requests admission from the nodes and polls for conditions.
const POLL_INTERVAL: Duration = Duration::from_millis(4);

/// Which messages of the leader the proxies pass on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Filter {
    /// All messages pass.
    PassAll,
    /// This many more messages of this replica pass.
    PassNext(usize, u64),
    /// No more messages of this replica pass.
    Block(u64),
}

/// A TCP proxy between a replica's callers and the replica.
#[derive(Clone)]
struct Proxy {
    id: u64,
    target: SocketAddr,
    filter: watch::Sender<Filter>,
}

impl Proxy {
    async fn run(self, listener: TcpListener) {
        let mut open = JoinSet::new();
        loop {
            let (client, _) = listener.accept().await.expect("a connection");
            let proxy = self.clone();
            open.spawn(async move {
                let Ok(server) = TcpStream::connect(proxy.target).await else { return };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (from_client, to_client) = client.into_split();
                let (from_server, to_server) = server.into_split();
                tokio::select! {
                    () = proxy.pass(from_client, to_server, true) => {}
                    () = proxy.pass(from_server, to_client, false) => {}
                }
            });
            while open.try_join_next().is_some() {}
        }
    }

    async fn pass(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        to_replica: bool,
    ) {
        let mut bytes = vec![0; 64 << 10];
        let mut from_replica = None;
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            let from_replica = *from_replica.get_or_insert(bytes.starts_with(b"POST /raft/"));
            // As long as there is a leader, only it sends messages to replicas.
            let from_leader =
                |leader| if to_replica { from_replica && leader != self.id } else { leader == self.id };
            let (mut passes, mut last_from) = (true, None);
            self.filter.send_if_modified(|filter| match *filter {
                Filter::PassNext(remaining, leader) if from_leader(leader) => {
                    passes = remaining > 0;
                    last_from = (remaining == 1).then_some(leader);
                    *filter = Filter::PassNext(remaining.saturating_sub(1), leader);
                    passes
                }
                Filter::Block(leader) if from_leader(leader) => {
                    passes = false;
                    false
                }
                _ => false,
            });
            if !passes || to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
            if let Some(leader) = last_from {
                self.filter.send_replace(Filter::Block(leader));
            }
        }
    }
}

/// Three replicas, each behind its proxy.
struct Group {
    /// The addresses of each replica's proxy and listener.
    addresses: BTreeMap<u64, (SocketAddr, SocketAddr)>,
    running: BTreeMap<u64, (oneshot::Sender<()>, JoinHandle<()>)>,
    proxies: Vec<AbortHandle>,
    filter: watch::Sender<Filter>,
    state_dir: TempDir,
}

impl Group {
    async fn start() -> Self {
        let addresses: BTreeMap<_, _> = (1..=3).map(|id| (id, (free_address(), free_address()))).collect();
        let filter = watch::Sender::new(Filter::PassAll);
        let mut proxies = Vec::new();
        for (&id, &(address, target)) in &addresses {
            let listener = TcpListener::bind(address).await.expect("an unused address");
            proxies.push(
                tokio::spawn(Proxy { id, target, filter: filter.clone() }.run(listener)).abort_handle(),
            );
        }
        let state_dir = tempfile::tempdir().expect("a temporary folder");
        let mut group = Self { addresses, running: BTreeMap::new(), proxies, filter, state_dir };
        for id in 1..=3 {
            group.run(id).await;
        }
        group
    }

    async fn run(&mut self, id: u64) {
        let peers: Vec<String> =
            self.addresses.iter().map(|(id, (at, _))| format!("{id} = \"{at}\"")).collect();
        let (listen, dir) = (self.addresses[&id].1, self.state_dir.path().join(id.to_string()));
        let text = format!(
            "cluster = \"t\"\nid = {id}\nlisten = \"{listen}\"\ndir = {dir:?}\n[peers]\n{}\n{SETTINGS}",
            peers.join("\n")
        );
        let config = Config::parse(Path::new("test"), &text).expect("a valid configuration");
        let (end, ended) = oneshot::channel();
        let (started, up) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let _control = Control::start(config).await.expect("the replica starts");
                started.send(()).expect("the test waits");
                let _ = ended.await;
            });
            // Disk writes in progress complete, as the kernel's would for a killed process.
            runtime.shutdown_timeout(TEST_TIMEOUT);
        });
        up.await.expect("the replica starts");
        self.running.insert(id, (end, thread));
    }

    async fn kill(&mut self, id: u64) {
        let (end, thread) = self.running.remove(&id).expect("a running replica");
        let _ = end.send(());
        tokio::task::spawn_blocking(|| thread.join().expect("no replica panics"))
            .await
            .expect("the thread ends");
    }

    /// Waits until all running replicas follow one leader and have applied their whole logs, with no change pending.
    /// Returns the leader, and the policy state that all of them report.
    async fn settled(&self) -> (u64, Value) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let mut reports = Vec::new();
            for (at, _) in self.running.keys().map(|id| &self.addresses[id]) {
                let status = try_call(*at, "GET", "/v1/status", "").await;
                let policy = try_call(*at, "GET", "/v1/policy", "").await;
                if let (Ok(Reply { body: status, .. }), Ok(Reply { body: policy, .. })) = (status, policy) {
                    let is_settled = status["replica"]["applied"] == status["replica"]["last"]
                        && status["in_touch"] == true
                        && policy["change"].is_null();
                    let leader = status["replica"]["leader"].as_u64();
                    let leader = leader.filter(|leader| self.running.contains_key(leader));
                    reports.extend(leader.filter(|_| is_settled).map(|leader| (leader, policy)));
                }
            }
            if reports.len() == self.running.len() && reports.iter().all(|report| *report == reports[0]) {
                return reports.swap_remove(0);
            }
            assert!(Instant::now() < deadline, "the replicas do not agree: {reports:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for proxy in &self.proxies {
            proxy.abort();
        }
    }
}

/// Checks the nodes' answers to requests for admission against the rules.
#[derive(Default)]
struct AdmissionChecker {
    /// The node that refuses changes: it makes no promise, so it is never in doubt.
    refusing_node: Option<usize>,
    /// When any node first admitted a request under each epoch.
    first_admissions: BTreeMap<Epoch, Instant>,
    /// The newest epoch of each node.
    newest_epochs: BTreeMap<usize, Epoch>,
    /// The number of requests refused because the node was in doubt.
    in_doubt_count: usize,
    violations: Vec<String>,
}

impl AdmissionChecker {
    fn check(&mut self, node: usize, requested_at: Instant, admission: &Admission) {
        self.in_doubt_count += usize::from(admission.admitted == Err(AdmissionError::InDoubt));
        let Ok(epoch) = admission.admitted else { return };
        if admission.has_pending_change
            && admission.since_last_reply_ms > PROMISE_MS
            && self.refusing_node != Some(node)
        {
            self.violations.push(format!("node {node} admits requests in doubt: {admission:?}"));
        }
        let newest = self.newest_epochs.entry(node).or_default();
        if epoch < *newest {
            self.violations.push(format!("node {node} went from epoch {newest} back to {epoch}"));
        }
        *newest = epoch;
        self.first_admissions.entry(epoch).or_insert_with(Instant::now);
        let newer = self.first_admissions.range(epoch + 1..).next();
        if let Some((newer, delay)) =
            newer.map(|(newer, first)| (newer, requested_at.saturating_duration_since(*first)))
        {
            if delay.as_secs_f64() * 1000.0 > PROMISE_MS * (1.0 + 2.0 * MAX_CLOCK_DRIFT) + TOLERANCE_MS {
                self.violations
                    .push(format!("node {node} admits at epoch {epoch} {delay:?} after epoch {newer}"));
            }
        }
    }
}

/// Whether all nodes stage the changes, or one refuses them.
#[derive(Clone, Copy, Debug)]
enum Scenario {
    Staged,
    Refused,
}

/// Runs the steps `first`, `first + stride`, … up to `max_steps` with one group of replicas: step `k` kills the leader after
/// `k` messages. Returns the first step at which the change ended before the kill, and the number of requests for admission
/// that were refused because the node was in doubt.
async fn run_group(
    scenario: Scenario,
    first: usize,
    stride: usize,
    max_steps: usize,
) -> (Option<usize>, usize) {
    let mut group = Group::start().await;
    let (mut leader, mut policy) = group.settled().await;
    let replicas: Arc<[SocketAddr]> = group.addresses.values().map(|(at, _)| *at).collect();
    let mut nodes = Vec::new();
    for (name, refusal) in [("a", None), ("b", None), ("c", Some("no class of that name"))] {
        let refusal = refusal.filter(|_| matches!(scenario, Scenario::Refused));
        nodes.push(Node::join(replicas.clone(), name, refusal).await);
    }
    let nodes = Arc::new(nodes);
    let refusing_node = matches!(scenario, Scenario::Refused).then_some(2);
    let checker = Arc::new(Mutex::new(AdmissionChecker { refusing_node, ..AdmissionChecker::default() }));
    let (polled_nodes, polled_checker) = (nodes.clone(), checker.clone());
    let polling = tokio::spawn(async move {
        loop {
            for (index, node) in polled_nodes.iter().enumerate() {
                let requested_at = Instant::now();
                let admission = node.request_admission();
                polled_checker.lock().expect("the lock is not poisoned").check(
                    index,
                    requested_at,
                    &admission,
                );
            }
            sleep(POLL_INTERVAL).await;
        }
    });
    let mut committed = BTreeSet::from([0]);
    let mut end_step = None;
    for step in (first..=max_steps).step_by(stride) {
        let base_epoch = policy["epoch"].as_u64().expect("an epoch");
        let last_before = policy["ended"].as_array().expect("a JSON array").last().cloned();
        group.filter.send_replace(Filter::PassNext(step, leader));
        let proposal =
            format!("{{\"base\":{base_epoch},\"policy\":{{\"Limits\":{{\"AttemptsCap\":{step}}}}}}}");
        let at = group.addresses[&leader].0;
        let operator = tokio::spawn(async move { try_call(at, "PUT", "/v1/policy", &proposal).await.ok() });
        let mut filter = group.filter.subscribe();
        let killed = tokio::select! {
            _ = filter.wait_for(|filter| matches!(filter, Filter::Block(_))) => true,
            () = async {
                // The change has ended once the operator and all nodes know the outcome.
                while !operator.is_finished() || nodes.iter().any(|node| node.request_admission().has_pending_change) {
                    sleep(POLL_INTERVAL).await;
                }
                sleep(Duration::from_millis(250)).await;
            } => false,
        };
        if killed {
            group.kill(leader).await;
        }
        group.filter.send_replace(Filter::PassAll);
        let reply =
            timeout(TEST_TIMEOUT, operator).await.expect("within TEST_TIMEOUT").expect("the call ends");
        if killed {
            // The remaining replicas end the change without it.
            let (_, remaining) = group.settled().await;
            group.run(leader).await;
            let (_, all) = group.settled().await;
            assert_eq!(remaining["ended"], all["ended"], "{scenario:?}, step {step}");
        }
        (leader, policy) = group.settled().await;
        let epoch = policy["epoch"].as_u64().expect("an epoch");
        let last = policy["ended"].as_array().expect("a JSON array").last().cloned();
        let context = || format!("{scenario:?}, step {step}: reply {reply:?}, agreed {policy}");
        let ended = last.filter(|last| Some(last) != last_before.as_ref());
        let is_committed = ended.as_ref().is_some_and(|ended| ended["aborted"].is_null());
        assert_eq!(epoch > base_epoch, is_committed, "{}", context());
        match reply.as_ref().map(|reply| (reply.status, reply.body["outcome"].as_str())) {
            Some((StatusCode::OK, _)) => {
                let replied_epoch = reply.as_ref().map(|reply| &reply.body["epoch"]);
                assert!(
                    is_committed && replied_epoch.is_some_and(|replied| *replied == epoch),
                    "{}",
                    context()
                );
            }
            Some((_, Some("aborted"))) => assert!(ended.is_some() && !is_committed, "{}", context()),
            _ => {}
        }
        committed.insert(epoch);
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let (violations, admitted) = {
                let checker = checker.lock().expect("the lock is not poisoned");
                (
                    checker.violations.clone(),
                    checker.first_admissions.keys().copied().collect::<BTreeSet<_>>(),
                )
            };
            assert!(violations.is_empty(), "{}: {violations:?}", context());
            assert!(admitted.is_subset(&committed), "{}: {admitted:?}, not {committed:?}", context());
            let admissions: Vec<Admission> = nodes.iter().map(Node::request_admission).collect();
            let is_settled =
                |admission: &Admission| !admission.has_pending_change && admission.admitted == Ok(epoch);
            if admissions.iter().all(is_settled) {
                break;
            }
            assert!(Instant::now() < deadline, "{}: {admissions:?}", context());
            sleep(POLL_INTERVAL).await;
        }
        if !killed && ended.is_some() {
            end_step = Some(step);
            break;
        }
    }
    polling.abort();
    for id in 1..=3 {
        group.kill(id).await;
    }
    let in_doubt_count = checker.lock().expect("the lock is not poisoned").in_doubt_count;
    (end_step, in_doubt_count)
}

/// Divides the steps among `groups` groups of replicas that run in parallel.
async fn run_all_steps(scenario: Scenario, groups: usize, max_steps: usize) {
    let mut running = JoinSet::new();
    for first in 1..=groups {
        running.spawn(run_group(scenario, first, groups, max_steps));
    }
    let ends = running.join_all().await;
    let in_doubt_count: usize = ends.iter().map(|(_, count)| count).sum();
    let steps: Vec<_> = ends.iter().map(|(end_step, _)| *end_step).collect();
    println!("{scenario:?}: changes ended before the kill at steps {steps:?}; {in_doubt_count} requests refused in doubt");
    assert!(steps.iter().all(Option::is_some), "a change takes more than {max_steps} messages");
}

#[tokio::test(flavor = "multi_thread")]
async fn killing_the_leader_at_any_message_of_a_staged_change_leaves_one_outcome() {
    run_all_steps(Scenario::Staged, PARALLEL_GROUPS, MAX_STEPS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killing_the_leader_at_any_message_of_a_refused_change_leaves_one_outcome() {
    run_all_steps(Scenario::Refused, PARALLEL_GROUPS, MAX_STEPS).await;
}
