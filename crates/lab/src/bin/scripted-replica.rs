//! A scripted control group of one replica that breaks a rule, chosen by the name under which the program is started
//! (`scripted-replica-forget` and so on), to test that the referee reports it. It stores nothing on disk and
//! coordinates with no node. As `gullible` it removes any server for which the reporting member votes, for as long as
//! that member does so; as `accuse` it removes a server that does not exist.

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

type BoxError = Box<dyn std::error::Error + Send + Sync>;
type HttpResponse = Response<Full<Bytes>>;

/// How long the script `forget` remembers a committed change.
const FORGET_AFTER: Duration = Duration::from_millis(1000);

/// State of the replica.
struct Replica {
    script: String,
    agreed: RefCell<(AgreedState, Instant)>,
    /// Servers that the last reporting member votes to remove, with their start times.
    accused: RefCell<BTreeMap<String, f64>>,
}

/// The fields of a heartbeat that are used.
#[derive(Deserialize)]
struct Heartbeat {
    #[serde(rename = "bye")]
    leaving: bool,
    votes: VoteReport,
}

#[derive(Deserialize)]
struct Proposal {
    base: u64,
    policy: Policy,
}

fn main() -> Result<(), BoxError> {
    let program = std::env::args().next().unwrap_or_default();
    let script = program.rsplit('-').next().unwrap_or_default().to_string();
    let file = std::env::args().nth(3).ok_or("control --config FILE expected")?;
    let config: toml::Table = std::fs::read_to_string(file)?.parse()?;
    let listen = config.get("listen").and_then(toml::Value::as_str).ok_or("listen is missing")?.parse()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(script, listen))
}

async fn serve(script: String, listen: SocketAddr) -> Result<(), BoxError> {
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
            let service = service_fn(|request| replica.respond(request));
            // An error means that the caller closed the connection.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl Replica {
    async fn respond(&self, request: Request<Incoming>) -> Result<HttpResponse, BoxError> {
        let (status, body) = match (request.method(), request.uri().path()) {
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
                (StatusCode::OK, self.handle_heartbeat(serde_json::from_slice(&body)?)?)
            }
            _ => (StatusCode::NOT_FOUND, json!({})),
        };
        let mut answer = Response::new(Full::new(Bytes::from(body.to_string())));
        *answer.status_mut() = status;
        Ok(answer)
    }

    /// Notes the votes for removal, and replies with the agreed state.
    fn handle_heartbeat(&self, heartbeat: Heartbeat) -> Result<serde_json::Value, BoxError> {
        let against =
            heartbeat.votes.ballots.into_iter().filter(|b| b.vote == Vote::For && !heartbeat.leaving);
        *self.accused.borrow_mut() = against.map(|b| (b.server, b.born_ms)).collect();
        let (stamp, update) = (json!({"term": 1, "at": 0}), json!({"news": self.agreed()}));
        Ok(json!({"stamp": stamp, "told": update, "beat_ms": 100, "promise_ms": 300}))
    }

    /// The agreed state that is reported.
    fn agreed(&self) -> AgreedState {
        let (agreed, since) = &*self.agreed.borrow();
        let forgets = self.script == "forget" && since.elapsed() > FORGET_AFTER;
        AgreedState { epoch: if forgets { 0 } else { agreed.epoch }, ..agreed.clone() }
    }

    /// Commits or aborts a proposed policy at once.
    fn propose(&self, proposal: Proposal) -> (StatusCode, serde_json::Value) {
        let (agreed, since) = &mut *self.agreed.borrow_mut();
        if proposal.base != agreed.epoch {
            return (StatusCode::CONFLICT, json!({"error": "stale"}));
        }
        agreed.version += 1;
        let aborted = (self.script == "abort").then_some(AbortReason::Operator);
        let committed = aborted.is_none();
        agreed.ended_changes.push(EndedChange {
            id: ChangeId(agreed.version),
            epoch: agreed.epoch + 1,
            abort_reason: aborted,
        });
        if !committed {
            return (StatusCode::CONFLICT, json!({"error": "aborted"}));
        }
        (agreed.epoch, agreed.policy, *since) = (agreed.epoch + 1, proposal.policy, Instant::now());
        (StatusCode::OK, json!({"epoch": agreed.epoch}))
    }
}
