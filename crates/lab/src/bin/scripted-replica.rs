//! A control group of one that breaks a rule, told by the name that it is started under (`scripted-replica-forget` and
//! so on), to see that the referee sees it. It keeps nothing on a disk and asks no node. As `gullible` it removes what
//! any one member wants removed, for as long as that member says so, and as `accuse` a server that there is none of.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use member::votes::{Vote, VoteReport};
use member::{AbortReason, AgreedState, ChangeId, EndedChange, Policy};
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

type Failure = Box<dyn std::error::Error + Send + Sync>;
type Answer = Response<Full<Bytes>>;

/// How long the script `forget` knows what it has committed.
const KNOWS: Duration = Duration::from_millis(1000);

struct Replica {
    script: String,
    agreed: RefCell<(AgreedState, Instant)>,
    /// The servers that a member wants removed.
    accused: RefCell<BTreeMap<String, f64>>,
}

/// What matters of a beat.
#[derive(Deserialize)]
struct Beat {
    bye: bool,
    votes: VoteReport,
}

#[derive(Deserialize)]
struct Proposal {
    base: u64,
    policy: Policy,
}

fn main() -> Result<(), Failure> {
    let own = std::env::args().next().unwrap_or_default();
    let script = own.rsplit('-').next().unwrap_or_default().to_string();
    let file = std::env::args().nth(3).ok_or("control --config FILE expected")?;
    let config: toml::Table = std::fs::read_to_string(file)?.parse()?;
    let listen = config.get("listen").and_then(toml::Value::as_str).ok_or("listen is missing")?.parse()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(script, listen))
}

async fn serve(script: String, listen: SocketAddr) -> Result<(), Failure> {
    let policy = Policy::default();
    let agreed =
        AgreedState { version: 1, fingerprint: 0, epoch: 0, policy, change: None, ended_changes: Vec::new() };
    let agreed = RefCell::new((agreed, Instant::now()));
    let replica = Rc::new(Replica { script, agreed, accused: RefCell::default() });
    let listener = TcpListener::bind(listen).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let replica = replica.clone();
        spawn_local(async move {
            let service = service_fn(|request| replica.answer(request));
            // Whoever breaks off has no more to say.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl Replica {
    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, Failure> {
        let (status, words) = match (request.method(), request.uri().path()) {
            (&Method::GET, "/ready") => (StatusCode::OK, json!({})),
            (&Method::GET, "/v1/status") => (StatusCode::OK, json!({"replica": {"role": "leader"}})),
            (&Method::GET, "/v1/policy") => (StatusCode::OK, serde_json::to_value(self.agreed())?),
            (&Method::PUT, "/v1/policy") => {
                let body = request.into_body().collect().await?.to_bytes();
                self.propose(serde_json::from_slice(&body)?)
            }
            (&Method::GET, "/v1/verdicts") if self.script == "accuse" => {
                (StatusCode::OK, json!({"version": 1, "removed": {"nobody": {}}}))
            }
            (&Method::GET, "/v1/verdicts") if self.script == "gullible" => {
                let entry =
                    |(server, born_ms): (&String, &f64)| (server.clone(), json!({"born_ms": born_ms}));
                let removed: serde_json::Map<_, _> = self.accused.borrow().iter().map(entry).collect();
                (StatusCode::OK, json!({"version": 1, "removed": removed}))
            }
            (&Method::POST, "/v1/session") => {
                let body = request.into_body().collect().await?.to_bytes();
                (StatusCode::OK, self.hear(serde_json::from_slice(&body)?)?)
            }
            _ => (StatusCode::NOT_FOUND, json!({})),
        };
        let mut answer = Response::new(Full::new(Bytes::from(words.to_string())));
        *answer.status_mut() = status;
        Ok(answer)
    }

    fn hear(&self, beat: Beat) -> Result<serde_json::Value, Failure> {
        let against = beat.votes.ballots.into_iter().filter(|b| b.vote == Vote::For && !beat.bye);
        *self.accused.borrow_mut() = against.map(|b| (b.server, b.born_ms)).collect();
        let (stamp, told) = (json!({"term": 1, "at": 0}), json!({"news": self.agreed()}));
        Ok(json!({"stamp": stamp, "told": told, "beat_ms": 100, "promise_ms": 300}))
    }

    fn agreed(&self) -> AgreedState {
        let (agreed, since) = &*self.agreed.borrow();
        let forgets = self.script == "forget" && since.elapsed() > KNOWS;
        AgreedState { epoch: if forgets { 0 } else { agreed.epoch }, ..agreed.clone() }
    }

    fn propose(&self, proposal: Proposal) -> (StatusCode, serde_json::Value) {
        let (agreed, since) = &mut *self.agreed.borrow_mut();
        if proposal.base != agreed.epoch {
            return (StatusCode::CONFLICT, json!({"error": "stale"}));
        }
        agreed.version += 1;
        let aborted = (self.script == "abort").then_some(AbortReason::Operator);
        let done = aborted.is_none();
        agreed.ended_changes.push(EndedChange {
            id: ChangeId(agreed.version),
            epoch: agreed.epoch + 1,
            abort_reason: aborted,
        });
        if !done {
            return (StatusCode::CONFLICT, json!({"error": "aborted"}));
        }
        (agreed.epoch, agreed.policy, *since) = (agreed.epoch + 1, proposal.policy, Instant::now());
        (StatusCode::OK, json!({"epoch": agreed.epoch}))
    }
}
