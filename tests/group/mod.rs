//! A scripted replica of the control group: it leads, and says what it is told to.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use member::{
    Abort, Agreed, Answer, Beat, Change, ChangeId, Ended, News, NotLeader, Policy, Stamp, Told, Word,
};
use serde_json::{json, Value};

use crate::peers::{http_response, read_message, wait_until, WAIT_TIMEOUT};

/// How long a promise lasts.
pub const PROMISE_MS: f64 = 1000.0;

struct GroupState {
    agreed: Agreed,
    heartbeats: Vec<Beat>,
    /// Beats are not answered.
    heartbeats_silent: bool,
    /// Watches bring nothing.
    watches_silent: bool,
    /// Another replica leads.
    leader: Option<SocketAddr>,
    /// From an answer to the next beat.
    heartbeat_ms: f64,
}

#[derive(Clone)]
pub struct Group {
    pub address: SocketAddr,
    state: Arc<Mutex<GroupState>>,
}

pub fn policy(of: Value) -> Policy {
    Policy(of.as_object().expect("an object").clone())
}

impl Group {
    pub fn new() -> Self {
        let policy = Policy::default();
        let agreed = Agreed { version: 5, sum: 0, epoch: 0, policy, change: None, ended: Vec::new() };
        let state = GroupState {
            agreed,
            heartbeats: Vec::new(),
            heartbeats_silent: false,
            watches_silent: false,
            leader: None,
            heartbeat_ms: 20.0,
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
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
        f(&mut self.state.lock().expect("no panic"))
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
            let beat: Beat = serde_json::from_slice(&call.body).expect("a beat");
            let said = self.with_state(|state| {
                state.heartbeats.push(beat.clone());
                if let Some(leader) = state.leader {
                    let no = NotLeader { error: "not the leader".into(), leader: Some(leader) };
                    return Some((503, serde_json::to_string(&no)));
                }
                let stamp = Stamp { term: 1, at: start.elapsed().as_secs_f64() * 1000.0 };
                let known = state.agreed.known();
                let same = beat.known == Some(known);
                let said = Answer {
                    stamp,
                    told: if same { Told::Same(known) } else { Told::News(state.agreed.clone()) },
                    beat_ms: state.heartbeat_ms,
                    lease_ms: None,
                    fenced: false,
                    promise_ms: PROMISE_MS,
                    superseded: beat.bye,
                    asked: Vec::new(),
                    verdicts: None,
                };
                (!state.heartbeats_silent).then(|| (200, serde_json::to_string(&said)))
            });
            match said {
                Some((status, body)) => {
                    out.write_all(&http_response(status, "", &body.expect("plain data"))).ok()?
                }
                None => std::thread::sleep(WAIT_TIMEOUT),
            }
        }
    }

    fn watch(&self, mut out: TcpStream) -> Option<()> {
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut last_sent = 0;
        loop {
            let agreed = self.with_state(|state| {
                (!state.watches_silent && state.agreed.version != last_sent).then(|| state.agreed.clone())
            });
            if let Some(agreed) = agreed {
                last_sent = agreed.version;
                let news = News { version: last_sent, agreed: Some(agreed), verdicts: None };
                let line = serde_json::to_string(&news).expect("plain data");
                write!(out, "{:x}\r\n{line}\n\r\n", line.len() + 1).ok()?;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Proposes a policy: the next epoch, if it is committed.
    pub fn propose(&self, of: Value) -> ChangeId {
        self.with_state(|state| {
            state.agreed.version += 1;
            let id = ChangeId(state.agreed.version);
            state.agreed.change = Some(Change { id, epoch: state.agreed.epoch + 1, policy: policy(of) });
            id
        })
    }

    /// Ends the change under way.
    pub fn finish_change(&self, committed: bool) {
        self.with_state(|state| {
            let Change { id, epoch, policy } = state.agreed.change.take().expect("under way");
            state.agreed.version += 1;
            if committed {
                (state.agreed.epoch, state.agreed.policy) = (epoch, policy);
            }
            state.agreed.ended.push(Ended { id, epoch, aborted: (!committed).then_some(Abort::Operator) });
        });
    }

    /// Proposes a policy, waits until the node has staged it, and commits it.
    pub fn commit_change(&self, of: Value) {
        self.stage_change(of);
        self.finish_change(true);
    }

    /// Proposes a policy and waits until the node has staged it.
    pub fn stage_change(&self, of: Value) {
        let proposed = self.propose(of);
        wait_until(
            "the change is staged",
            || matches!(self.last_change_reply(), Some(Word::Staged { change, .. }) if change == proposed),
        );
    }

    /// What the last beat says of a change.
    pub fn last_change_reply(&self) -> Option<Word> {
        self.with_state(|state| state.heartbeats.last().and_then(|beat| beat.change.clone()))
    }

    /// Answers no beats, brings no news; or does again.
    pub fn set_silent(&self, heartbeats: bool, watches: bool) {
        self.with_state(|state| (state.heartbeats_silent, state.watches_silent) = (heartbeats, watches));
    }

    /// Beats come only when the node has something to say.
    pub fn slow_heartbeats(&self) {
        self.with_state(|state| state.heartbeat_ms = 600_000.0);
    }

    pub fn redirect_to(&self, leader: SocketAddr) {
        self.with_state(|state| state.leader = Some(leader));
    }

    pub fn heartbeats(&self) -> Vec<Beat> {
        self.with_state(|state| state.heartbeats.clone())
    }

    /// The part of a node's configuration that has it follow this group.
    pub fn control_config(&self) -> Value {
        json!({"replicas": [self.address.to_string()]})
    }
}
