//! A scripted control group of one replica, which leads and answers heartbeats and watches as the test sets it to.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use member::{
    AbortReason, AgreedState, AgreedUpdate, Change, ChangeId, EndedChange, Heartbeat, HeartbeatReply,
    NotLeader, Policy, StageReply, Stamp, WatchEvent,
};
use serde_json::{json, Value};

use crate::peers::{http_response, read_message, wait_until, WAIT_TIMEOUT};

/// How long a node's promise lasts after the heartbeat that renewed it, in milliseconds.
pub const PROMISE_MS: f64 = 1000.0;

/// How the replica answers, and what it has received.
struct GroupState {
    agreed: AgreedState,
    /// Every heartbeat received.
    heartbeats: Vec<Heartbeat>,
    /// Heartbeats get no response.
    heartbeats_silent: bool,
    /// Watches send nothing.
    watches_silent: bool,
    /// The leader that heartbeats are redirected to, if it is not this replica.
    leader: Option<SocketAddr>,
    /// Interval from a response to the next heartbeat, as told to nodes.
    heartbeat_ms: f64,
}

/// A handle to the scripted replica.
#[derive(Clone)]
pub struct Group {
    pub address: SocketAddr,
    state: Arc<Mutex<GroupState>>,
}

/// A policy from the JSON object of its settings.
pub fn policy(settings: Value) -> Policy {
    Policy(settings.as_object().expect("not an object").clone())
}

impl Group {
    /// Starts a replica on a free port, with epoch 0 agreed and no change in progress.
    pub fn new() -> Self {
        let policy = Policy::default();
        let agreed = AgreedState {
            version: 5,
            fingerprint: 0,
            epoch: 0,
            policy,
            change: None,
            ended_changes: Vec::new(),
        };
        let state = GroupState {
            agreed,
            heartbeats: Vec::new(),
            heartbeats_silent: false,
            watches_silent: false,
            leader: None,
            heartbeat_ms: 20.0,
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("the local address is unknown");
        let group = Self { address, state: Arc::new(Mutex::new(state)) };
        let this = group.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        group
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut GroupState) -> T) -> T {
        f(&mut self.state.lock().expect("the lock is poisoned"))
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let start = Instant::now();
        loop {
            let request = read_message(&mut reader, 0)?;
            if request.path().starts_with("/v1/watch") {
                return self.watch(writer);
            }
            let heartbeat: Heartbeat =
                serde_json::from_slice(&request.body).expect("the request is not a heartbeat");
            let response = self.with_state(|state| {
                state.heartbeats.push(heartbeat.clone());
                if let Some(leader) = state.leader {
                    let error = NotLeader { error: "not the leader".into(), leader: Some(leader) };
                    return Some((503, serde_json::to_string(&error)));
                }
                let stamp = Stamp { term: 1, time: start.elapsed().as_secs_f64() * 1000.0 };
                let known = state.agreed.state_id();
                let up_to_date = heartbeat.known_state == Some(known);
                let answer = HeartbeatReply {
                    stamp,
                    update: if up_to_date {
                        AgreedUpdate::Unchanged(known)
                    } else {
                        AgreedUpdate::Changed(state.agreed.clone())
                    },
                    heartbeat_interval_ms: state.heartbeat_ms,
                    lease_ms: None,
                    fenced: false,
                    promise_ms: PROMISE_MS,
                    superseded: heartbeat.leaving,
                    queried_servers: Vec::new(),
                    verdicts: None,
                };
                (!state.heartbeats_silent).then(|| (200, serde_json::to_string(&answer)))
            });
            match response {
                Some((status, body)) => writer
                    .write_all(&http_response(status, "", &body.expect("the value cannot be serialized")))
                    .ok()?,
                None => std::thread::sleep(WAIT_TIMEOUT),
            }
        }
    }

    fn watch(&self, mut writer: TcpStream) -> Option<()> {
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut last_sent = 0;
        loop {
            let agreed = self.with_state(|state| {
                (!state.watches_silent && state.agreed.version != last_sent).then(|| state.agreed.clone())
            });
            if let Some(agreed) = agreed {
                last_sent = agreed.version;
                let news = WatchEvent { version: last_sent, agreed_state: Some(agreed), verdicts: None };
                let line = serde_json::to_string(&news).expect("the value cannot be serialized");
                write!(writer, "{:x}\r\n{line}\n\r\n", line.len() + 1).ok()?;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Proposes a policy, which becomes the next epoch if it is committed.
    pub fn propose(&self, settings: Value) -> ChangeId {
        self.with_state(|state| {
            state.agreed.version += 1;
            let id = ChangeId(state.agreed.version);
            state.agreed.change =
                Some(Change { id, epoch: state.agreed.epoch + 1, policy: policy(settings) });
            id
        })
    }

    /// Commits the change in progress, or aborts it as an operator would.
    pub fn finish_change(&self, committed: bool) {
        self.with_state(|state| {
            let Change { id, epoch, policy } = state.agreed.change.take().expect("no change is in progress");
            state.agreed.version += 1;
            if committed {
                (state.agreed.epoch, state.agreed.policy) = (epoch, policy);
            }
            state.agreed.ended_changes.push(EndedChange {
                id,
                epoch,
                abort_reason: (!committed).then_some(AbortReason::Operator),
            });
        });
    }

    /// Proposes a policy, waits until the node has staged it, and commits it.
    pub fn commit_change(&self, settings: Value) {
        self.stage_change(settings);
        self.finish_change(true);
    }

    /// Proposes a policy and waits until the node has staged it.
    pub fn stage_change(&self, settings: Value) {
        let proposed = self.propose(settings);
        wait_until(
            "the change is staged",
            || matches!(self.last_change_reply(), Some(StageReply::Staged { change, .. }) if change == proposed),
        );
    }

    /// The node's reply to a change in its last heartbeat.
    pub fn last_change_reply(&self) -> Option<StageReply> {
        self.with_state(|state| state.heartbeats.last().and_then(|heartbeat| heartbeat.stage_reply.clone()))
    }

    /// Silences responses to heartbeats, or watches, or restores them.
    pub fn set_silent(&self, heartbeats: bool, watches: bool) {
        self.with_state(|state| (state.heartbeats_silent, state.watches_silent) = (heartbeats, watches));
    }

    /// Sets so long an interval that heartbeats come only when the node has something to report.
    pub fn slow_heartbeats(&self) {
        self.with_state(|state| state.heartbeat_ms = 600_000.0);
    }

    /// Answers heartbeats by naming another replica as the leader.
    pub fn redirect_to(&self, leader: SocketAddr) {
        self.with_state(|state| state.leader = Some(leader));
    }

    /// Every heartbeat received.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        self.with_state(|state| state.heartbeats.clone())
    }

    /// The `control` section of the configuration of a node that follows this group.
    pub fn control_config(&self) -> Value {
        json!({"replicas": [self.address.to_string()]})
    }
}
