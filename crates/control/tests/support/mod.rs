//! A control group on loopback sockets, nodes that run the real [`Member`], and an HTTP client.
#![allow(dead_code, reason = "each test file uses only a part of it")]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use control::config::Config;
use control::edge::Control;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use member::{AdmissionError, Effect, Epoch, HeartbeatReply, Member, MemberConfig, Process, StartMode};
use serde_json::Value;
use tempfile::TempDir;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

/// The timeout of each wait in a test: long, so that only a failure reaches it, also on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// The timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Leader settings with a stage timeout of 8 s: on a busy machine nodes stage a change within it, and a change that waits
/// for a silent node stays pending long enough to be cancelled or interrupted.
pub const LONG_TIMEOUT_SETTINGS: &str = "beat_ms = 50\nstage_ms = 8000\npromise_ms = 5000\nreserve_ms = 200";
/// Leader settings with a stage timeout of 3 s, for tests that wait for it to expire or that compare another time with it.
pub const SHORT_TIMEOUT_SETTINGS: &str = "beat_ms = 50\nstage_ms = 3000\npromise_ms = 5000\nreserve_ms = 200";

/// Returns an unused address, with a loopback IP of its own for each call.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (pid, next) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let host = Ipv4Addr::new(127, (1 + pid % 250) as u8, (pid / 250 % 250) as u8, (1 + next % 250) as u8);
    let listener = std::net::TcpListener::bind((host, 0)).expect("a free port on loopback");
    listener.local_addr().expect("a bound socket")
}

/// A control group of three replicas.
pub struct Group {
    pub addresses: BTreeMap<u64, SocketAddr>,
    running: BTreeMap<u64, Control>,
    state_dir: TempDir,
    config: String,
}

impl Group {
    /// Starts three replicas; `leader_settings` and `more` are parts of their configuration files.
    pub async fn start(leader_settings: &str, more: &str) -> Self {
        let mut group = Self {
            addresses: (1..=3).map(|id| (id, free_address())).collect(),
            running: BTreeMap::new(),
            state_dir: tempfile::tempdir().expect("a temporary folder"),
            config: format!("[terms]\n{leader_settings}\n[election]\nafter_ms = [1000, 2000]\n{more}"),
        };
        for id in 1..=3 {
            group.run(id).await;
        }
        group.leader().await;
        group
    }

    /// Starts a replica: one of the first three, or a new one that joins the group.
    pub async fn run(&mut self, id: u64) {
        let at = *self.addresses.entry(id).or_insert_with(free_address);
        let peers: Vec<String> = (1..=3).map(|id| format!("{id} = \"{}\"", self.addresses[&id])).collect();
        let peers = if id > 3 { "joins = true".to_owned() } else { format!("[peers]\n{}", peers.join("\n")) };
        let dir = self.state_dir.path().join(id.to_string());
        let text =
            format!("cluster = \"t\"\nid = {id}\nlisten = \"{at}\"\ndir = {dir:?}\n{peers}\n{}", self.config);
        let config = Config::parse(Path::new("test"), &text).expect("a valid configuration");
        self.running.insert(id, Control::start(config).await.expect("the replica starts"));
    }

    pub async fn stop(&mut self, id: u64) {
        self.running.remove(&id).expect("a running replica").stop().await;
    }

    /// Waits for a leader that all running replicas know, except for those that have not been added yet. Returns its
    /// address.
    pub async fn leader(&self) -> SocketAddr {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let mut known = Vec::new();
            for id in self.running.keys() {
                let status = call(self.addresses[id], "GET", "/v1/status", "").await.body;
                let ready = call(self.addresses[id], "GET", "/ready", "").await.status == StatusCode::OK;
                if status["replica"]["role"] != "learner" {
                    known.push(
                        status["replica"]["leader"].as_u64().filter(|_| ready && status["in_touch"] == true),
                    );
                }
            }
            match known.first() {
                Some(Some(leader))
                    if self.running.contains_key(leader) && known.iter().all(|k| k == &known[0]) =>
                {
                    return self.addresses[leader];
                }
                _ => assert!(Instant::now() < deadline, "no leader: {known:?}"),
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the ID of the replica with this address.
    pub fn id_of(&self, address: SocketAddr) -> u64 {
        *self.addresses.iter().find(|(_, at)| **at == address).expect("a replica").0
    }

    /// Calls the leader, and retries if leadership has moved meanwhile.
    pub async fn call(&self, method: &str, path: &str, body: &str) -> Reply {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let reply = call(self.leader().await, method, path, body).await;
            if reply.body["error"] != "this replica does not lead" || Instant::now() >= deadline {
                return reply;
            }
        }
    }

    /// Proposes a policy to the leader.
    pub async fn propose(&self, base_epoch: Epoch, policy: &str) -> Reply {
        self.call("PUT", "/v1/policy", &format!("{{\"base\":{base_epoch},\"policy\":{policy}}}")).await
    }
}

/// A response.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: hyper::HeaderMap,
    pub body: Value,
}

/// Makes a call on a new connection, and returns the response before its body.
pub async fn open(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<Response<Incoming>, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(at).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::builder().method(method).uri(path).header("host", "control");
    Ok(sender.send_request(request.body(Full::new(Bytes::from(body.to_owned())))?).await?)
}

/// Makes a call; a body that is not JSON is null.
pub async fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> Reply {
    try_call(at, method, path, body).await.expect("a response")
}

/// Makes a call to a replica that may be gone.
pub async fn try_call(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<Reply, Box<dyn std::error::Error + Send + Sync>> {
    let call = async {
        let (head, body) = open(at, method, path, body).await?.into_parts();
        let bytes = body.collect().await?.to_bytes();
        let body = serde_json::from_slice(&bytes).unwrap_or_default();
        Ok(Reply { status: head.status, headers: head.headers, body })
    };
    timeout(TEST_TIMEOUT, call).await?
}

/// A command from a test to its node.
enum NodeCommand {
    /// Send no more heartbeats, but stay alive.
    FallSilent,
    /// Close the session.
    Leave,
}

/// A node that sends heartbeats, and listens on a liveness address of its own.
pub struct Node {
    pub name: String,
    admitted: watch::Receiver<Option<Epoch>>,
    commands: mpsc::UnboundedSender<NodeCommand>,
    shared: Arc<SharedMember>,
    task: JoinHandle<()>,
}

/// A member that the node's task and the test share.
struct SharedMember {
    /// The zero point of the member's clock.
    started_at: Instant,
    /// The member, and when it received its last reply, in milliseconds on its clock.
    member: Mutex<(Member, f64)>,
}

impl SharedMember {
    fn with<R>(&self, f: impl FnOnce(&mut Member, f64) -> R) -> R {
        let mut guard = self.member.lock().expect("the lock is not poisoned");
        f(&mut guard.0, self.started_at.elapsed().as_secs_f64() * 1000.0)
    }

    /// Handles a reply, and checks the change that it may contain. Returns the epoch that is admitted afterwards, and
    /// whether the session has ended.
    fn on_reply(
        &self,
        sent_at: f64,
        reply: HeartbeatReply,
        refusal: Option<&'static str>,
    ) -> (Option<Epoch>, bool) {
        let mut guard = self.member.lock().expect("the lock is not poisoned");
        let now = self.started_at.elapsed().as_secs_f64() * 1000.0;
        let (member, last_reply_at) = &mut *guard;
        *last_reply_at = now;
        for effect in member.on_reply(sent_at, reply, now) {
            if let Effect::Check(change) = effect {
                let result = refusal.map_or(Ok(()), |reason| Err(reason.to_owned()));
                member.on_check_result(change.id, result, now);
            }
        }
        (member.admit(now).ok(), member.is_session_ended())
    }
}

/// A node's answer to a request for admission.
#[derive(Clone, Debug)]
pub struct Admission {
    pub admitted: Result<Epoch, AdmissionError>,
    /// It is checking a change, or has staged or refused one whose outcome it does not know.
    pub has_pending_change: bool,
    /// The time since its last reply, in milliseconds.
    pub since_last_reply_ms: f64,
}

impl Node {
    /// Starts a node and waits until it is a member. With a `refusal` it refuses every change for that reason.
    pub async fn start(group: &Group, name: &str, refusal: Option<&'static str>) -> Self {
        Self::join(group.addresses.values().copied().collect(), name, refusal).await
    }

    /// Starts a node like [`Node::start`], with the replicas' addresses.
    pub async fn join(replicas: Arc<[SocketAddr]>, name: &str, refusal: Option<&'static str>) -> Self {
        static BOOT: AtomicU64 = AtomicU64::new(1);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let liveness_addr = listener.local_addr().expect("a bound socket");
        let process = Process { name: name.to_owned(), boot: BOOT.fetch_add(1, Ordering::Relaxed) };
        let config = MemberConfig {
            process,
            liveness_addr,
            coexists_with_previous: false,
            start_mode: StartMode::Wait,
        };
        let (admitted_sender, admitted) = watch::channel(None);
        let (commands, receiver) = mpsc::unbounded_channel();
        let member = Mutex::new((Member::new(config, None, 0.0), 0.0));
        let shared = Arc::new(SharedMember { started_at: Instant::now(), member });
        let task = tokio::spawn(run(listener, shared.clone(), replicas, refusal, admitted_sender, receiver));
        let mut node = Self { name: name.to_owned(), admitted, commands, shared, task };
        node.wait_for_epoch(|_| true).await;
        node
    }

    /// Requests admission at this moment.
    pub fn request_admission(&self) -> Admission {
        let guard = self.shared.member.lock().expect("the lock is not poisoned");
        let now = self.shared.started_at.elapsed().as_secs_f64() * 1000.0;
        let (member, last_reply_at) = &*guard;
        Admission {
            admitted: member.admit(now),
            has_pending_change: member.pending_change().is_some(),
            since_last_reply_ms: now - last_reply_at,
        }
    }

    /// Waits until it admits requests under an epoch that matches.
    pub async fn wait_for_epoch(&mut self, matches: impl Fn(Epoch) -> bool) {
        let reached = self.admitted.wait_for(|epoch| epoch.is_some_and(&matches));
        let reached = timeout(TEST_TIMEOUT, reached).await.map(|reached| reached.map(drop));
        reached
            .unwrap_or_else(|_| panic!("{}: {:?}", self.name, self.request_admission()))
            .expect("a running node");
    }

    /// Returns the epoch under which it admitted requests after its last reply.
    pub fn admitted_epoch(&self) -> Option<Epoch> {
        *self.admitted.borrow()
    }

    /// Stops sending heartbeats, but stays alive.
    pub fn fall_silent(&self) {
        self.commands.send(NodeCommand::FallSilent).expect("a running node");
    }

    /// Closes its session, and waits until the leader has confirmed it.
    pub async fn leave(self) {
        self.commands.send(NodeCommand::Leave).expect("a running node");
        timeout(TEST_TIMEOUT, self.task).await.expect("within TEST_TIMEOUT").expect("the node ends");
    }

    /// Ends immediately, like a killed process.
    pub async fn kill(self) {
        self.task.abort();
        // The listener is closed once the task is gone.
        assert!(self.task.await.expect_err("an aborted task").is_cancelled());
    }
}

async fn run(
    _liveness_listener: TcpListener,
    shared: Arc<SharedMember>,
    replicas: Arc<[SocketAddr]>,
    refusal: Option<&'static str>,
    admitted: watch::Sender<Option<Epoch>>,
    mut commands: mpsc::UnboundedReceiver<NodeCommand>,
) {
    let mut replica = 0;
    loop {
        let delay = shared.with(|member, now| (member.next_heartbeat_at() - now).clamp(0.0, 1000.0) / 1000.0);
        tokio::select! {
            () = sleep(Duration::from_secs_f64(delay)) => {}
            command = commands.recv() => match command {
                Some(NodeCommand::Leave) => drop(shared.with(Member::leave)),
                Some(NodeCommand::FallSilent) => return std::future::pending().await,
                None => return,
            }
        }
        let (sent_at, heartbeat) = shared.with(|member, now| (now, member.heartbeat(now)));
        let heartbeat = serde_json::to_string(&heartbeat).expect("a heartbeat serializes");
        let call = try_call(replicas[replica], "POST", "/v1/session", &heartbeat);
        match timeout(HEARTBEAT_TIMEOUT, call).await.unwrap_or_else(|late| Err(late.into())) {
            Ok(Reply { status: StatusCode::OK, body, .. }) => {
                let reply: HeartbeatReply = serde_json::from_value(body).expect("a valid reply");
                let (epoch, has_ended) = shared.on_reply(sent_at, reply, refusal);
                admitted.send_replace(epoch);
                if has_ended {
                    return;
                }
            }
            Ok(Reply { body, .. }) => {
                let leader = body["leader"].as_str().and_then(|leader| leader.parse::<SocketAddr>().ok());
                let named = replicas.iter().position(|address| Some(*address) == leader);
                replica = named.unwrap_or((replica + 1) % replicas.len());
            }
            Err(_) => replica = (replica + 1) % replicas.len(),
        }
    }
}
