//! A scripted replica of the control group: it leads, and says what it is told to.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use member::{
    AbortReason, AgreedState, AgreedUpdate, Change, ChangeId, EndedChange, Heartbeat, HeartbeatReply,
    NotLeader, Policy, StageReply, Stamp, WatchEvent,
};
use serde_json::{json, Value};

use crate::peers::{answer, read_message, until, PATIENCE};

/// How long a promise lasts.
pub const PROMISE_MS: f64 = 1000.0;

struct Told {
    agreed: AgreedState,
    beats: Vec<Heartbeat>,
    /// Beats are not answered.
    deaf: bool,
    /// Watches bring nothing.
    dumb: bool,
    /// Another replica leads.
    leader: Option<SocketAddr>,
    /// From an answer to the next beat.
    beat_ms: f64,
}

#[derive(Clone)]
pub struct Group {
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
}

pub fn policy(of: Value) -> Policy {
    Policy(of.as_object().expect("an object").clone())
}

impl Group {
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
        let told = Told { agreed, beats: Vec::new(), deaf: false, dumb: false, leader: None, beat_ms: 20.0 };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let group = Self { address, told: Arc::new(Mutex::new(told)) };
        let this = group.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        group
    }

    fn with<T>(&self, f: impl FnOnce(&mut Told) -> T) -> T {
        f(&mut self.told.lock().expect("no panic"))
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut out = stream.try_clone().ok()?;
        let mut from = BufReader::new(stream);
        let start = Instant::now();
        loop {
            let call = read_message(&mut from, 0)?;
            if call.path().starts_with("/v1/watch") {
                return self.watch(out);
            }
            let beat: Heartbeat = serde_json::from_slice(&call.body).expect("a beat");
            let said = self.with(|t| {
                t.beats.push(beat.clone());
                if let Some(leader) = t.leader {
                    let no = NotLeader { error: "not the leader".into(), leader: Some(leader) };
                    return Some((503, serde_json::to_string(&no)));
                }
                let stamp = Stamp { term: 1, time: start.elapsed().as_secs_f64() * 1000.0 };
                let known = t.agreed.state_id();
                let same = beat.known_state == Some(known);
                let said = HeartbeatReply {
                    stamp,
                    update: if same {
                        AgreedUpdate::Unchanged(known)
                    } else {
                        AgreedUpdate::Changed(t.agreed.clone())
                    },
                    heartbeat_interval_ms: t.beat_ms,
                    lease_ms: None,
                    fenced: false,
                    promise_ms: PROMISE_MS,
                    superseded: beat.leaving,
                    queried_servers: Vec::new(),
                    verdicts: None,
                };
                (!t.deaf).then(|| (200, serde_json::to_string(&said)))
            });
            match said {
                Some((status, body)) => {
                    out.write_all(&answer(status, "", &body.expect("plain data"))).ok()?
                }
                None => std::thread::sleep(PATIENCE),
            }
        }
    }

    fn watch(&self, mut out: TcpStream) -> Option<()> {
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut seen = 0;
        loop {
            let agreed = self.with(|t| (!t.dumb && t.agreed.version != seen).then(|| t.agreed.clone()));
            if let Some(agreed) = agreed {
                seen = agreed.version;
                let news = WatchEvent { version: seen, agreed_state: Some(agreed), verdicts: None };
                let line = serde_json::to_string(&news).expect("plain data");
                write!(out, "{:x}\r\n{line}\n\r\n", line.len() + 1).ok()?;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Proposes a policy: the next epoch, if it is committed.
    pub fn propose(&self, of: Value) -> ChangeId {
        self.with(|t| {
            t.agreed.version += 1;
            let id = ChangeId(t.agreed.version);
            t.agreed.change = Some(Change { id, epoch: t.agreed.epoch + 1, policy: policy(of) });
            id
        })
    }

    /// Ends the change under way.
    pub fn end(&self, committed: bool) {
        self.with(|t| {
            let Change { id, epoch, policy } = t.agreed.change.take().expect("under way");
            t.agreed.version += 1;
            if committed {
                (t.agreed.epoch, t.agreed.policy) = (epoch, policy);
            }
            t.agreed.ended_changes.push(EndedChange {
                id,
                epoch,
                abort_reason: (!committed).then_some(AbortReason::Operator),
            });
        });
    }

    /// Proposes a policy, waits until the node has staged it, and commits it.
    pub fn change(&self, of: Value) {
        self.stage(of);
        self.end(true);
    }

    /// Proposes a policy and waits until the node has staged it.
    pub fn stage(&self, of: Value) {
        let asked = self.propose(of);
        until(
            "the change is staged",
            || matches!(self.word(), Some(StageReply::Staged { change, .. }) if change == asked),
        );
    }

    /// What the last beat says of a change.
    pub fn word(&self) -> Option<StageReply> {
        self.with(|t| t.beats.last().and_then(|beat| beat.stage_reply.clone()))
    }

    /// Answers no beats, brings no news; or does again.
    pub fn cut(&self, deaf: bool, dumb: bool) {
        self.with(|t| (t.deaf, t.dumb) = (deaf, dumb));
    }

    /// Beats come only when the node has something to say.
    pub fn no_beats(&self) {
        self.with(|t| t.beat_ms = 600_000.0);
    }

    pub fn led_by(&self, leader: SocketAddr) {
        self.with(|t| t.leader = Some(leader));
    }

    pub fn beats(&self) -> Vec<Heartbeat> {
        self.with(|t| t.beats.clone())
    }

    /// The part of a node's configuration that has it follow this group.
    pub fn control(&self) -> Value {
        json!({"replicas": [self.address.to_string()]})
    }
}
