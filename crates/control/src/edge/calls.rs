//! The calls: paths and methods, and how each call is handled.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use consensus::{WriteError, MAX_BODY_BYTES};
use http_body_util::{BodyExt, Either, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use member::{AbortReason, ChangeId, EndedChange, Epoch, Heartbeat, Policy};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::json;
use tokio::time::{timeout, timeout_at, Instant};

use super::actor::CallError;
use super::response::{json, json_bytes, ErrorResponse, ResponseBody};
use super::{http, watch, Edge};
use crate::command::{Command, Outcome, PolicyCommand, RosterCommand};
use crate::config::is_valid_name;
use crate::leader::Refusal;
use crate::limiter::LimitError;
use crate::roster::MAX_NODE_NAME_BYTES;

/// The timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum size of a heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;
/// Added to the maximum duration of a change when waiting for its outcome, for elections and writes.
const ELECTION_MARGIN: Duration = Duration::from_secs(3);

type CallResult = Result<Response<ResponseBody>, ErrorResponse>;

/// What a path refers to.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Resource<'a> {
    Session,
    Watch,
    Policy,
    Change,
    Nodes,
    Verdicts,
    Node(&'a str),
    Replica(&'a str),
    Status,
    Ready,
    /// A message of another replica.
    PeerMessage,
}

impl<'a> Resource<'a> {
    fn parse(path: &'a str) -> Option<Self> {
        let mut parts = path.strip_prefix('/')?.splitn(4, '/');
        let parts = [parts.next(), parts.next(), parts.next(), parts.next()];
        Some(match parts {
            [Some("ready"), None, ..] => Self::Ready,
            [Some("raft"), Some("append" | "vote" | "snapshot"), None, _] => Self::PeerMessage,
            [Some("v1"), Some("session"), None, _] => Self::Session,
            [Some("v1"), Some("watch"), None, _] => Self::Watch,
            [Some("v1"), Some("policy"), None, _] => Self::Policy,
            [Some("v1"), Some("policy"), Some("change"), None] => Self::Change,
            [Some("v1"), Some("nodes"), None, _] => Self::Nodes,
            [Some("v1"), Some("verdicts"), None, _] => Self::Verdicts,
            [Some("v1"), Some("nodes"), Some(name), None] => Self::Node(name),
            [Some("v1"), Some("replicas"), Some(id), None] => Self::Replica(id),
            [Some("v1"), Some("status"), None, _] => Self::Status,
            _ => return None,
        })
    }

    /// Returns the methods that it allows.
    fn methods(self) -> &'static str {
        match self {
            Self::Session | Self::PeerMessage => "POST",
            Self::Watch | Self::Nodes | Self::Verdicts | Self::Status | Self::Ready => "GET",
            Self::Policy => "GET, PUT",
            Self::Change | Self::Node(_) => "DELETE",
            Self::Replica(_) => "PUT, DELETE",
        }
    }
}

/// An operator's proposal.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    #[serde(rename = "base")]
    base_epoch: Epoch,
    policy: Policy,
}

/// The body of a call that adds a replica.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplicaAddress {
    address: SocketAddr,
}

impl Edge {
    /// Handles a call.
    pub(super) async fn handle(
        self: &Arc<Self>,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        self.call(peer, request).await.unwrap_or_else(Response::from)
    }

    async fn call(self: &Arc<Self>, peer: SocketAddr, request: Request<Incoming>) -> CallResult {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let Some(resource) = Resource::parse(path) else {
            let advice = "docs/ON-CALL.md lists the calls";
            return Err(ErrorResponse::new(StatusCode::NOT_FOUND, "no such path", advice));
        };
        if !resource.methods().split(", ").any(|method| method == head.method.as_str()) {
            return Err(ErrorResponse::method_not_allowed(resource.methods()));
        }
        let is_put = head.method == Method::PUT;
        match resource {
            Resource::PeerMessage => {
                let _permit = self.peer_messages.acquire().map_err(limit_error)?;
                let body = read_body(body, MAX_BODY_BYTES).await?;
                let (status, answer) = self.replica.handle_message(path, body).await;
                Ok(json_bytes(status, answer))
            }
            Resource::Session => {
                self.heartbeat(peer, parse(&read_body(body, MAX_HEARTBEAT_BYTES).await?)?).await
            }
            Resource::Watch => self.watch(head.uri.query()),
            Resource::Policy if is_put => {
                self.propose(parse(&read_body(body, self.config.limits.max_body_bytes).await?)?).await
            }
            Resource::Policy => Ok(json(StatusCode::OK, &self.policy())),
            Resource::Change => self.cancel_change().await,
            Resource::Nodes => match self.actor.nodes().await {
                Ok(nodes) => Ok(json(StatusCode::OK, &nodes)),
                Err(error) => Err(self.call_error(error)),
            },
            Resource::Verdicts => self.verdicts().await,
            Resource::Node(name) => self.remove(name).await,
            Resource::Replica(id) if is_put => {
                let ReplicaAddress { address } =
                    parse(&read_body(body, self.config.limits.max_body_bytes).await?)?;
                self.set_replica(parse_replica_id(id)?, Some(address)).await
            }
            Resource::Replica(id) => self.set_replica(parse_replica_id(id)?, None).await,
            Resource::Status => Ok(json(StatusCode::OK, &self.status().await)),
            Resource::Ready => self.ready(),
        }
    }

    async fn heartbeat(&self, peer: SocketAddr, heartbeat: Heartbeat) -> CallResult {
        if !is_valid_name(&heartbeat.process.name, MAX_NODE_NAME_BYTES) {
            let advice = format!(
                "a node's name has 1 to {MAX_NODE_NAME_BYTES} letters, digits, dots, dashes or underscores"
            );
            return Err(ErrorResponse::bad_request("process.name is not a valid name", advice));
        }
        let liveness_addr = heartbeat.liveness_addr;
        // A refused connection to it counts as the process's exit, so it must be an address of that process.
        if liveness_addr.port() == 0
            || liveness_addr.ip().is_unspecified()
            || (liveness_addr.ip().is_loopback() && !peer.ip().is_loopback())
        {
            let advice = "life must be an address, with its port, at which this replica reaches the process";
            return Err(ErrorResponse::bad_request(
                format!("life {liveness_addr} can't be reached from here"),
                advice,
            ));
        }
        match self.actor.heartbeat(heartbeat).await {
            Ok(answer) => Ok(json(StatusCode::OK, &answer)),
            Err(error) => Err(self.call_error(error)),
        }
    }

    fn watch(&self, query: Option<&str>) -> CallResult {
        if !*self.has_leader_contact.borrow() {
            let error = "this replica has had no contact with a leader recently";
            return Err(ErrorResponse::unavailable(error, "watch at another replica"));
        }
        // An invalid version counts as none: the full state is sent first.
        let from = query.and_then(|query| query.split('&').find_map(|pair| pair.strip_prefix("from=")));
        let watcher = self.hub.subscribe(from.and_then(|from| from.parse().ok()));
        let mut response = Response::new(Either::Right(watch::WatchBody::new(watcher, http::MAX_WATCH_AGE)));
        let content_type = hyper::header::HeaderValue::from_static("application/x-ndjson");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
        Ok(response)
    }

    fn policy(&self) -> serde_json::Value {
        let has_leader_contact = *self.has_leader_contact.borrow();
        self.replica.read(|state, version| {
            let policy_state = state.policy_state();
            let ended: Vec<&EndedChange> = policy_state.ended_changes().collect();
            json!({
                "version": version, "in_touch": has_leader_contact, "epoch": policy_state.epoch(), "policy": policy_state.policy(),
                "change": policy_state.pending_change(), "ended": ended,
            })
        })
    }

    /// Returns the verdicts in the log and, on the leader, also its view of the votes.
    async fn verdicts(&self) -> CallResult {
        let votes = self.actor.votes().await;
        let leading = self.replica.watch_leadership().borrow().clone();
        let leader = leading.leader.map(|(_, address)| address);
        let (is_leader, votes) = (votes.is_ok(), votes.ok().flatten());
        let has_leader_contact = *self.has_leader_contact.borrow();
        let body = self.replica.read(|state, version| {
            let verdicts = state.verdicts();
            let ended: Vec<_> = verdicts.ended().collect();
            let removed: BTreeMap<_, _> = verdicts.entries().collect();
            json!({
                "version": version, "in_touch": has_leader_contact, "leads": is_leader, "leader": leader,
                "on": state.policy_state().policy().0.contains_key("Votes"), "changed": verdicts.version(),
                "removed": removed, "ended": ended, "votes": votes,
            })
        });
        Ok(json(StatusCode::OK, &body))
    }

    async fn propose(self: &Arc<Self>, proposal: Proposal) -> CallResult {
        let Proposal { base_epoch, policy } = proposal;
        policy.check().map_err(|e| ErrorResponse::bad_request(&e, e.advice()))?;
        match self.write(Command::Policy(PolicyCommand::Propose { base_epoch, policy })).await? {
            Outcome::Proposed { change, epoch } => self.outcome(change, epoch).await,
            Outcome::StaleEpoch { epoch } => {
                let error = format!("the agreed epoch is {epoch}, not {base_epoch}");
                let advice =
                    "read GET /v1/policy, make your change to that policy, and propose it with its epoch as base";
                Err(ErrorResponse::conflict(error, advice).with("outcome", "stale").with("epoch", epoch))
            }
            Outcome::ChangePending { change } => {
                let advice = "wait for its end (GET /v1/policy), or cancel it: DELETE /v1/policy/change";
                let error = ErrorResponse::conflict(format!("change {} is pending", change.0), advice);
                Err(error.with("outcome", "busy").with("change", change))
            }
            other => Err(unexpected(&other)),
        }
    }

    /// Waits for the outcome of a change.
    async fn outcome(&self, change: ChangeId, epoch: Epoch) -> CallResult {
        let settings = &self.config.leader;
        let max_ms = settings.stage_timeout_ms
            + 2.0 * settings.promise_ms.max(settings.lease_ms)
            + settings.session_timeout_ms;
        let deadline = Instant::now() + Duration::from_secs_f64(max_ms / 1000.0) + ELECTION_MARGIN;
        let mut applied = self.replica.watch_applied();
        let mut stopping = self.stopping.subscribe();
        let ended = loop {
            applied.borrow_and_update();
            let found = self.replica.read(|state, _| {
                state.policy_state().ended_changes().rev().find(|ended| ended.id == change).cloned()
            });
            if let Some(ended) = found {
                break ended;
            }
            let has_changed = tokio::select! {
                changed = timeout_at(deadline, applied.changed()) => matches!(changed, Ok(Ok(()))),
                _ = stopping.wait_for(|stopping| *stopping) => false,
            };
            if !has_changed {
                let error = format!("change {} is pending, and its outcome is not known here", change.0);
                let advice =
                    "look up its outcome at GET /v1/policy of the leader, by its number in \"ended\"";
                return Err(ErrorResponse::unavailable(error, advice)
                    .with("change", change)
                    .with("epoch", epoch));
            }
        };
        match ended.abort_reason {
            None => {
                let done = json!({"epoch": epoch, "outcome": "committed", "change": change});
                Ok(json(StatusCode::OK, &done))
            }
            Some(reason) => {
                let (error, advice) = describe_abort(&reason);
                let error = ErrorResponse::conflict(error, advice).with("outcome", "aborted");
                Err(error.with("why", reason).with("change", change).with("epoch", epoch))
            }
        }
    }

    async fn cancel_change(self: &Arc<Self>) -> CallResult {
        let no_change = || ErrorResponse::conflict("no change is pending", "see GET /v1/policy");
        let change =
            self.replica.read(|state, _| state.policy_state().pending_change().map(|change| change.id));
        let Some(change) = change else {
            // This replica's state may be outdated.
            self.replica.confirm_leadership().await?;
            return Err(no_change());
        };
        match self
            .write(Command::Policy(PolicyCommand::Abort { change, reason: AbortReason::Operator }))
            .await?
        {
            Outcome::Done => Ok(json(StatusCode::OK, &json!({"outcome": "aborted", "change": change}))),
            Outcome::Obsolete => Err(no_change()),
            other => Err(unexpected(&other)),
        }
    }

    async fn remove(self: &Arc<Self>, name: &str) -> CallResult {
        let remove = RosterCommand::RemoveNode { name: name.to_owned() };
        let unknown = || {
            let error = format!("no node {name:?} is a member");
            ErrorResponse::new(StatusCode::NOT_FOUND, error, "GET /v1/nodes lists them")
        };
        if !is_valid_name(name, MAX_NODE_NAME_BYTES) {
            return Err(unknown());
        }
        match self.write(Command::Roster(remove)).await? {
            Outcome::Done => Ok(json(StatusCode::OK, &json!({"outcome": "removed", "name": name}))),
            Outcome::UnknownNode => Err(unknown()),
            other => Err(unexpected(&other)),
        }
    }

    async fn set_replica(self: &Arc<Self>, id: u64, address: Option<SocketAddr>) -> CallResult {
        let replica = self.replica.clone();
        let done = self.in_flight(async move {
            match address {
                Some(address) => replica.set_peer(id, address).await,
                None => replica.remove_peer(id).await,
            }
        });
        done.await?;
        Ok(json(StatusCode::OK, &json!({"replicas": self.replica.status().replicas})))
    }

    async fn status(&self) -> serde_json::Value {
        let store = self.store.clone();
        let disk_bytes = tokio::task::spawn_blocking(move || store.file_size().ok()).await.ok().flatten();
        let (epoch, members) =
            self.replica.read(|state, _| (state.policy_state().epoch(), state.roster().len()));
        json!({
            "replica": self.replica.status(), "listen": self.address, "ready": self.is_ready(),
            "in_touch": *self.has_leader_contact.borrow(), "epoch": epoch, "members": members,
            "disk_bytes": disk_bytes, "connections": self.connections.in_use(),
            "watchers": self.hub.watcher_count(), "calls": self.writes.in_use(),
        })
    }

    fn ready(&self) -> CallResult {
        if self.is_ready() {
            return Ok(json(StatusCode::OK, &json!({"ready": true})));
        }
        let error = "this replica knows no leader, or has not yet applied its stored log";
        Err(ErrorResponse::unavailable(
            error,
            "check that a majority of the replicas runs; see GET /v1/status",
        ))
    }

    /// Writes a command, on the leader. The write completes even if the caller leaves, and a stop waits for it.
    async fn write(self: &Arc<Self>, command: Command) -> Result<Outcome, ErrorResponse> {
        let replica = self.replica.clone();
        let (_, outcome) = self.in_flight(async move { replica.write(command).await }).await?;
        Ok(outcome)
    }

    async fn in_flight<T: Send + 'static>(
        &self,
        work: impl std::future::Future<Output = Result<T, WriteError>> + Send + 'static,
    ) -> Result<T, ErrorResponse> {
        let permit = self.writes.acquire().map_err(limit_error)?;
        let task = tokio::spawn(async move {
            let result = work.await;
            drop(permit);
            result
        });
        match task.await {
            Ok(result) => Ok(result?),
            Err(_) => Err(ErrorResponse::unavailable(
                "the call was aborted",
                "check whether it took effect, and ask again",
            )),
        }
    }

    fn call_error(&self, error: CallError) -> ErrorResponse {
        match error {
            CallError::NotLeader => {
                let leading = self.replica.watch_leadership().borrow().clone();
                ErrorResponse::not_leader(
                    leading.leader.filter(|_| !leading.is_local).map(|(_, address)| address),
                )
            }
            CallError::QueueFull => ErrorResponse::unavailable("too many calls at a time", "ask again soon"),
            CallError::Refused(refusal) => {
                let advice = match refusal {
                    Refusal::RosterFull => "GET /v1/nodes lists members, DELETE /v1/nodes/NAME removes one",
                    Refusal::NameInUse => "stop the other process, or wait until its session has ended",
                    Refusal::InvalidName => "correct the node's name",
                    Refusal::TimedOut | Refusal::Superseded => "send another heartbeat",
                };
                match refusal {
                    Refusal::InvalidName => ErrorResponse::bad_request(refusal, advice),
                    Refusal::NameInUse | Refusal::Superseded => ErrorResponse::conflict(refusal, advice),
                    Refusal::RosterFull | Refusal::TimedOut => ErrorResponse::unavailable(refusal, advice),
                }
            }
        }
    }
}

/// Returns why a change was aborted, and what to do about it.
fn describe_abort(reason: &AbortReason) -> (String, &'static str) {
    match reason {
        AbortReason::Refused { node, reason } => {
            (format!("node {node} refused it: {reason}"), "correct the policy, or that node's settings, and propose again")
        }
        AbortReason::Unresponsive { nodes } => (
            format!("not staged in time by {}", nodes.join(", ")),
            "check that they run and reach the leader; remove a node that is gone for good: DELETE /v1/nodes/NAME",
        ),
        AbortReason::Operator => ("operators cancelled it".to_owned(), "propose again when you are ready"),
        AbortReason::NoLeader => ("the group could not end it in time".to_owned(), "propose again"),
    }
}

fn limit_error(error: LimitError) -> ErrorResponse {
    match error {
        LimitError::Full => ErrorResponse::unavailable("too many calls at a time", "ask again soon"),
        LimitError::Stopped => ErrorResponse::unavailable("this replica is stopping", "ask another replica"),
    }
}

fn unexpected(outcome: &Outcome) -> ErrorResponse {
    if *outcome == Outcome::LimitExceeded {
        return ErrorResponse::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the policy is too large",
            "leave out the fields that equal the nodes' settings",
        );
    }
    let error = format!("unexpected outcome in the log: {outcome:?}");
    ErrorResponse::new(StatusCode::INTERNAL_SERVER_ERROR, error, "report it with the replica's log")
}

fn parse_replica_id(id: &str) -> Result<u64, ErrorResponse> {
    let id = id.parse().ok().filter(|id| *id > 0);
    id.ok_or_else(|| {
        ErrorResponse::bad_request("a replica's number is needed", "PUT or DELETE /v1/replicas/4")
    })
}

/// Receives a body of at most `max_bytes`.
async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, ErrorResponse> {
    match timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let error = format!("the body has more than {max_bytes} bytes");
            Err(ErrorResponse::new(StatusCode::PAYLOAD_TOO_LARGE, error, "make it smaller"))
        }
        Ok(Err(_)) => Err(ErrorResponse::bad_request("the body ended early", "send it whole")),
        Err(_) => {
            let error = format!("the body took more than {} s to arrive", BODY_TIMEOUT.as_secs());
            Err(ErrorResponse::new(StatusCode::REQUEST_TIMEOUT, error, "send it without pauses"))
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ErrorResponse> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        ErrorResponse::bad_request(format!("{path}: {}", e.inner()), "correct this field of the body")
    })?;
    json.end().map_err(|e| ErrorResponse::bad_request(e, "send one JSON object"))?;
    Ok(value)
}
