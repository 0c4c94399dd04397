//! The leader killed after each message that leaves it in a change of policy, one after the other, none left out.
//!
//! Each replica has a runtime of its own, which is ended in the middle of whatever it does, and a relay before it that
//! sees all that goes there. Counted is what leaves the leader once the proposal is on its way: messages to replicas,
//! answers to nodes and to the operator. After the `k`-th nothing more passes, and the leader is killed; `k` grows
//! until the change was over, and known to all nodes, before.

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
use support::{free, try_call, Node, Said, Told, PATIENCE};
use tempfile::TempDir;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout, Instant};

/// As short as the terms may be.
const PROMISE_MS: f64 = 2180.0;
const TERMS: &str = "[terms]\nbeat_ms = 50\nstage_ms = 4000\npromise_ms = 2180\nreserve_ms = 50\n\
                     [election]\nafter_ms = [860, 900]";
/// What a node may be off by that is asked on busy cores: its time is read before or after it answers.
const SLACK_MS: f64 = 5.0;
/// Groups that share the steps between them.
const LANES: usize = 6;
/// More steps than a change has; those of heartbeats and beats are among them, more where cores are busy.
const STEPS_MOST: usize = 400;
/// Between two questions to a node.
const PAUSE: Duration = Duration::from_millis(4);

/// What becomes of what the leader sends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    Off,
    /// So many pieces may leave this replica.
    After(usize, u64),
    /// They have, and no more leaves it.
    Done(u64),
}

/// Passes pieces on to a replica and back.
#[derive(Clone)]
struct Link {
    id: u64,
    target: SocketAddr,
    cut: watch::Sender<Cut>,
}

impl Link {
    async fn run(self, listener: TcpListener) {
        let mut open = JoinSet::new();
        loop {
            let (client, _) = listener.accept().await.expect("it listens");
            let link = self.clone();
            open.spawn(async move {
                let Ok(server) = TcpStream::connect(link.target).await else { return };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (from_client, to_client) = client.into_split();
                let (from_server, to_server) = server.into_split();
                tokio::select! {
                    () = link.pass(from_client, to_server, true) => {}
                    () = link.pass(from_server, to_client, false) => {}
                }
            });
            while open.try_join_next().is_some() {}
        }
    }

    async fn pass(&self, mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin, there: bool) {
        let mut bytes = vec![0; 64 << 10];
        let mut letters = None;
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            let letters = *letters.get_or_insert(bytes.starts_with(b"POST /raft/"));
            // Only who leads writes to replicas as long as it does.
            let leads = |leader| if there { letters && leader != self.id } else { leader == self.id };
            let (mut passes, mut last) = (true, None);
            self.cut.send_if_modified(|cut| match *cut {
                Cut::After(left, leader) if leads(leader) => {
                    passes = left > 0;
                    last = (left == 1).then_some(leader);
                    *cut = Cut::After(left.saturating_sub(1), leader);
                    passes
                }
                Cut::Done(leader) if leads(leader) => {
                    passes = false;
                    false
                }
                _ => false,
            });
            if !passes || to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
            if let Some(leader) = last {
                self.cut.send_replace(Cut::Done(leader));
            }
        }
    }
}

/// Three replicas, each behind its link.
struct Group {
    /// Where each is reached, and where it listens.
    places: BTreeMap<u64, (SocketAddr, SocketAddr)>,
    running: BTreeMap<u64, (oneshot::Sender<()>, JoinHandle<()>)>,
    links: Vec<AbortHandle>,
    cut: watch::Sender<Cut>,
    folder: TempDir,
}

impl Group {
    async fn start() -> Self {
        let places: BTreeMap<_, _> = (1..=3).map(|id| (id, (free(), free()))).collect();
        let cut = watch::Sender::new(Cut::Off);
        let mut links = Vec::new();
        for (&id, &(reached, target)) in &places {
            let listener = TcpListener::bind(reached).await.expect("it is free");
            links.push(tokio::spawn(Link { id, target, cut: cut.clone() }.run(listener)).abort_handle());
        }
        let folder = tempfile::tempdir().expect("a folder");
        let mut group = Self { places, running: BTreeMap::new(), links, cut, folder };
        for id in 1..=3 {
            group.run(id).await;
        }
        group
    }

    async fn run(&mut self, id: u64) {
        let peers: Vec<String> = self.places.iter().map(|(id, (at, _))| format!("{id} = \"{at}\"")).collect();
        let (listen, dir) = (self.places[&id].1, self.folder.path().join(id.to_string()));
        let text = format!(
            "cluster = \"t\"\nid = {id}\nlisten = \"{listen}\"\ndir = {dir:?}\n[peers]\n{}\n{TERMS}",
            peers.join("\n")
        );
        let config = Config::parse(Path::new("test"), &text).expect("a good configuration");
        let (end, ended) = oneshot::channel();
        let (started, up) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let _control = Control::start(config).await.expect("it starts");
                started.send(()).expect("the test waits");
                let _ = ended.await;
            });
            // What is at the disk goes on to its end, as the kernel's work does for a killed process.
            runtime.shutdown_timeout(PATIENCE);
        });
        up.await.expect("it starts");
        self.running.insert(id, (end, thread));
    }

    async fn kill(&mut self, id: u64) {
        let (end, thread) = self.running.remove(&id).expect("it runs");
        let _ = end.send(());
        tokio::task::spawn_blocking(|| thread.join().expect("no replica panics"))
            .await
            .expect("it is joined");
    }

    /// Waits until all replicas that run follow one leader of them and have applied all that is in their logs, with no change under way;
    /// who leads, and what they all say of policy.
    async fn settled(&self) -> (u64, Value) {
        let end = Instant::now() + PATIENCE;
        loop {
            let mut said = Vec::new();
            for (at, _) in self.running.keys().map(|id| &self.places[id]) {
                let status = try_call(*at, "GET", "/v1/status", "").await;
                let policy = try_call(*at, "GET", "/v1/policy", "").await;
                if let (Ok(Told { body: status, .. }), Ok(Told { body: policy, .. })) = (status, policy) {
                    let whole = status["replica"]["applied"] == status["replica"]["last"]
                        && status["in_touch"] == true
                        && policy["change"].is_null();
                    let leader = status["replica"]["leader"].as_u64();
                    let leader = leader.filter(|leader| self.running.contains_key(leader));
                    said.extend(leader.filter(|_| whole).map(|leader| (leader, policy)));
                }
            }
            if said.len() == self.running.len() && said.iter().all(|one| *one == said[0]) {
                return said.swap_remove(0);
            }
            assert!(Instant::now() < end, "the replicas don't agree: {said:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for link in &self.links {
            link.abort();
        }
    }
}

/// Holds what nodes say when they are asked, again and again, against the rules.
#[derive(Default)]
struct Referee {
    /// Who refuses: one that has promised nothing is never in doubt.
    refuses: Option<usize>,
    /// When each epoch was first admitted under by any node, and last by each.
    first: BTreeMap<Epoch, Instant>,
    newest: BTreeMap<usize, Epoch>,
    doubts: usize,
    faults: Vec<String>,
}

impl Referee {
    fn hear(&mut self, node: usize, asked: Instant, said: &Said) {
        self.doubts += usize::from(said.admitted == Err(AdmissionError::InDoubt));
        let Ok(epoch) = said.admitted else { return };
        if said.in_change && said.heard_ms > PROMISE_MS && self.refuses != Some(node) {
            self.faults.push(format!("node {node} takes requests in doubt: {said:?}"));
        }
        let newest = self.newest.entry(node).or_default();
        if epoch < *newest {
            self.faults.push(format!("node {node} went from epoch {newest} back to {epoch}"));
        }
        *newest = epoch;
        self.first.entry(epoch).or_insert_with(Instant::now);
        let newer = self.first.range(epoch + 1..).next();
        if let Some((newer, late)) =
            newer.map(|(newer, first)| (newer, asked.saturating_duration_since(*first)))
        {
            if late.as_secs_f64() * 1000.0 > PROMISE_MS * (1.0 + 2.0 * MAX_CLOCK_DRIFT) + SLACK_MS {
                self.faults.push(format!("node {node} at {epoch} {late:?} after {newer}"));
            }
        }
    }
}

/// What is proposed is staged by all, or refused by one.
#[derive(Clone, Copy, Debug)]
enum Story {
    Staged,
    Refused,
}

/// Kills leaders after `first`, `first + stride` … messages; the first count at which the change was over before,
/// and how often a node said that it is in doubt.
async fn lane(story: Story, first: usize, stride: usize, most: usize) -> (Option<usize>, usize) {
    let mut group = Group::start().await;
    let (mut leader, mut policy) = group.settled().await;
    let replicas: Arc<[SocketAddr]> = group.places.values().map(|(at, _)| *at).collect();
    let mut nodes = Vec::new();
    for (name, words) in [("a", None), ("b", None), ("c", Some("no class of that name"))] {
        let words = words.filter(|_| matches!(story, Story::Refused));
        nodes.push(Node::join(replicas.clone(), name, words).await);
    }
    let nodes = Arc::new(nodes);
    let refuses = matches!(story, Story::Refused).then_some(2);
    let referee = Arc::new(Mutex::new(Referee { refuses, ..Referee::default() }));
    let (asked, judge) = (nodes.clone(), referee.clone());
    let asking = tokio::spawn(async move {
        loop {
            for (index, node) in asked.iter().enumerate() {
                let at = Instant::now();
                judge.lock().expect("no test panics with it").hear(index, at, &node.ask());
            }
            sleep(PAUSE).await;
        }
    });
    let mut committed = BTreeSet::from([0]);
    let mut over = None;
    for step in (first..=most).step_by(stride) {
        let base = policy["epoch"].as_u64().expect("an epoch");
        let before = policy["ended"].as_array().expect("a list").last().cloned();
        group.cut.send_replace(Cut::After(step, leader));
        let proposal = format!("{{\"base\":{base},\"policy\":{{\"Limits\":{{\"AttemptsCap\":{step}}}}}}}");
        let at = group.places[&leader].0;
        let operator = tokio::spawn(async move { try_call(at, "PUT", "/v1/policy", &proposal).await.ok() });
        let mut cut = group.cut.subscribe();
        let killed = tokio::select! {
            _ = cut.wait_for(|cut| matches!(cut, Cut::Done(_))) => true,
            () = async {
                // Over where the operator and all nodes know the end.
                while !operator.is_finished() || nodes.iter().any(|node| node.ask().in_change) {
                    sleep(PAUSE).await;
                }
                sleep(Duration::from_millis(250)).await;
            } => false,
        };
        if killed {
            group.kill(leader).await;
        }
        group.cut.send_replace(Cut::Off);
        let told = timeout(PATIENCE, operator).await.expect("in time").expect("it ends");
        if killed {
            // Those who are left end the change without it.
            let (_, left) = group.settled().await;
            group.run(leader).await;
            let (_, all) = group.settled().await;
            assert_eq!(left["ended"], all["ended"], "{story:?}, step {step}");
        }
        (leader, policy) = group.settled().await;
        let now = policy["epoch"].as_u64().expect("an epoch");
        let last = policy["ended"].as_array().expect("a list").last().cloned();
        let case = || format!("{story:?}, step {step}: told {told:?}, agreed {policy}");
        let ended = last.filter(|last| Some(last) != before.as_ref());
        let commits = ended.as_ref().is_some_and(|ended| ended["aborted"].is_null());
        assert_eq!(now > base, commits, "{}", case());
        match told.as_ref().map(|told| (told.status, told.body["outcome"].as_str())) {
            Some((StatusCode::OK, _)) => {
                assert!(commits && told.as_ref().is_some_and(|told| told.body["epoch"] == now), "{}", case());
            }
            Some((_, Some("aborted"))) => assert!(ended.is_some() && !commits, "{}", case()),
            _ => {}
        }
        committed.insert(now);
        let end = Instant::now() + PATIENCE;
        loop {
            let (faults, admitted) = {
                let judged = referee.lock().expect("no test panics with it");
                (judged.faults.clone(), judged.first.keys().copied().collect::<BTreeSet<_>>())
            };
            assert!(faults.is_empty(), "{}: {faults:?}", case());
            assert!(admitted.is_subset(&committed), "{}: {admitted:?}, not {committed:?}", case());
            let said: Vec<Said> = nodes.iter().map(Node::ask).collect();
            if said.iter().all(|said| !said.in_change && said.admitted == Ok(now)) {
                break;
            }
            assert!(Instant::now() < end, "{}: {said:?}", case());
            sleep(PAUSE).await;
        }
        if !killed && ended.is_some() {
            over = Some(step);
            break;
        }
    }
    asking.abort();
    for id in 1..=3 {
        group.kill(id).await;
    }
    let doubts = referee.lock().expect("no test panics with it").doubts;
    (over, doubts)
}

/// All steps, each lane with a group of its own.
async fn every_step(story: Story, lanes: usize, most: usize) {
    let mut running = JoinSet::new();
    for first in 1..=lanes {
        running.spawn(lane(story, first, lanes, most));
    }
    let ends = running.join_all().await;
    let doubts: usize = ends.iter().map(|(_, doubts)| doubts).sum();
    let steps: Vec<_> = ends.iter().map(|(over, _)| *over).collect();
    println!("{story:?}: over before the kill at step {steps:?}; {doubts} times in doubt");
    assert!(steps.iter().all(Option::is_some), "more than {most} steps");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_killed_after_each_message_of_a_change_that_all_stage_leaves_one_outcome() {
    every_step(Story::Staged, LANES, STEPS_MOST).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_killed_after_each_message_of_a_change_that_one_refuses_leaves_one_outcome() {
    every_step(Story::Refused, LANES, STEPS_MOST).await;
}
