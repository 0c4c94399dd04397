//! The calls: which path takes what, and what comes of it.

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

use super::actor::Unanswered;
use super::answer::{json, raw, Outgoing, Refused};
use super::{http, watch, Edge};
use crate::command::{Command, Outcome, PolicyCommand, RosterCommand};
use crate::config::is_name;
use crate::gate::Shut;
use crate::leader::Refusal;
use crate::roster::NAME_MOST;

/// How long a body may take to come.
const BODY_TIME: Duration = Duration::from_secs(5);
/// The largest beat, in bytes.
const BEAT_MOST: usize = 64 * 1024;
/// What is added to the time that a change may take, for elections and writes.
const MARGIN: Duration = Duration::from_secs(3);

type Answered = Result<Response<Outgoing>, Refused>;

/// What a path names.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place<'a> {
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
    Letter,
}

impl<'a> Place<'a> {
    fn of(path: &'a str) -> Option<Self> {
        let mut parts = path.strip_prefix('/')?.splitn(4, '/');
        let parts = [parts.next(), parts.next(), parts.next(), parts.next()];
        Some(match parts {
            [Some("ready"), None, ..] => Self::Ready,
            [Some("raft"), Some("append" | "vote" | "snapshot"), None, _] => Self::Letter,
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

    /// The methods that it takes.
    fn methods(self) -> &'static str {
        match self {
            Self::Session | Self::Letter => "POST",
            Self::Watch | Self::Nodes | Self::Verdicts | Self::Status | Self::Ready => "GET",
            Self::Policy => "GET, PUT",
            Self::Change | Self::Node(_) => "DELETE",
            Self::Replica(_) => "PUT, DELETE",
        }
    }
}

/// What operators propose.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    base: Epoch,
    policy: Policy,
}

/// Where a replica is.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct At {
    address: SocketAddr,
}

impl Edge {
    /// Answers a call.
    pub(super) async fn handle(
        self: &Arc<Self>,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Response<Outgoing> {
        self.call(peer, request).await.unwrap_or_else(Response::from)
    }

    async fn call(self: &Arc<Self>, peer: SocketAddr, request: Request<Incoming>) -> Answered {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let Some(place) = Place::of(path) else {
            let advice = "docs/ON-CALL.md lists the calls";
            return Err(Refused::new(StatusCode::NOT_FOUND, "no such path", advice));
        };
        if !place.methods().split(", ").any(|method| method == head.method.as_str()) {
            return Err(Refused::method(place.methods()));
        }
        let put = head.method == Method::PUT;
        match place {
            Place::Letter => {
                let _pass = self.letters.enter().map_err(shut)?;
                let body = whole(body, MAX_BODY_BYTES).await?;
                let (status, answer) = self.replica.handle_message(path, body).await;
                Ok(raw(status, answer))
            }
            Place::Session => self.beat(peer, parse(&whole(body, BEAT_MOST).await?)?).await,
            Place::Watch => self.watch(head.uri.query()),
            Place::Policy if put => {
                self.propose(parse(&whole(body, self.config.limits.body_bytes).await?)?).await
            }
            Place::Policy => Ok(json(StatusCode::OK, &self.policy())),
            Place::Change => self.call_off().await,
            Place::Nodes => match self.actor.nodes().await {
                Ok(nodes) => Ok(json(StatusCode::OK, &nodes)),
                Err(unanswered) => Err(self.unanswered(unanswered)),
            },
            Place::Verdicts => self.verdicts().await,
            Place::Node(name) => self.remove(name).await,
            Place::Replica(id) if put => {
                let At { address } = parse(&whole(body, self.config.limits.body_bytes).await?)?;
                self.set_replica(number(id)?, Some(address)).await
            }
            Place::Replica(id) => self.set_replica(number(id)?, None).await,
            Place::Status => Ok(json(StatusCode::OK, &self.status().await)),
            Place::Ready => self.ready(),
        }
    }

    async fn beat(&self, peer: SocketAddr, beat: Heartbeat) -> Answered {
        if !is_name(&beat.process.name, NAME_MOST) {
            let advice =
                format!("a node's name has 1 to {NAME_MOST} letters, digits, dots, dashes or underscores");
            return Err(Refused::bad("process.name is no name", advice));
        }
        let life = beat.liveness_addr;
        // A connection to it that is refused is taken for the process's end: it must be an address of that process.
        if life.port() == 0
            || life.ip().is_unspecified()
            || (life.ip().is_loopback() && !peer.ip().is_loopback())
        {
            let advice = "life must be an address, with its port, at which this replica reaches the process";
            return Err(Refused::bad(format!("life {life} can't be reached from here"), advice));
        }
        match self.actor.beat(beat).await {
            Ok(answer) => Ok(json(StatusCode::OK, &answer)),
            Err(unanswered) => Err(self.unanswered(unanswered)),
        }
    }

    fn watch(&self, query: Option<&str>) -> Answered {
        if !*self.in_touch.borrow() {
            let error = "this replica has not heard of a leader of late";
            return Err(Refused::unavailable(error, "watch at another replica"));
        }
        // What can't be read is as good as none: the whole state comes first.
        let from = query.and_then(|query| query.split('&').find_map(|pair| pair.strip_prefix("from=")));
        let watcher = self.hub.watch(from.and_then(|from| from.parse().ok()));
        let mut response = Response::new(Either::Right(watch::Lines::new(watcher, http::WATCH)));
        let kind = hyper::header::HeaderValue::from_static("application/x-ndjson");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
        Ok(response)
    }

    fn policy(&self) -> serde_json::Value {
        let in_touch = *self.in_touch.borrow();
        self.replica.read(|agreement, version| {
            let book = agreement.book();
            let ended: Vec<&EndedChange> = book.ended().collect();
            json!({
                "version": version, "in_touch": in_touch, "epoch": book.epoch(), "policy": book.policy(),
                "change": book.change(), "ended": ended,
            })
        })
    }

    /// What is on the log, and at the leader what it knows of votes besides.
    async fn verdicts(&self) -> Answered {
        let votes = self.actor.votes().await;
        let leading = self.replica.watch_leadership().borrow().clone();
        let leader = leading.leader.map(|(_, address)| address);
        let (leads, votes) = (votes.is_ok(), votes.ok().flatten());
        let in_touch = *self.in_touch.borrow();
        let said = self.replica.read(|agreement, version| {
            let verdicts = agreement.verdicts();
            let past: Vec<_> = verdicts.past().collect();
            let removed: BTreeMap<_, _> = verdicts.entries().collect();
            json!({
                "version": version, "in_touch": in_touch, "leads": leads, "leader": leader,
                "on": agreement.book().policy().0.contains_key("Votes"), "changed": verdicts.version(),
                "removed": removed, "ended": past, "votes": votes,
            })
        });
        Ok(json(StatusCode::OK, &said))
    }

    async fn propose(self: &Arc<Self>, proposal: Proposal) -> Answered {
        let Proposal { base, policy } = proposal;
        policy.check().map_err(|e| Refused::bad(&e, e.advice()))?;
        match self.write(Command::Policy(PolicyCommand::Propose { base, policy })).await? {
            Outcome::Proposed { change, epoch } => self.outcome(change, epoch).await,
            Outcome::Stale { epoch } => {
                let error = format!("the agreed epoch is {epoch}, not {base}");
                let advice =
                    "look at GET /v1/policy, make your change to that, and propose it with its epoch as base";
                Err(Refused::conflict(error, advice).with("outcome", "stale").with("epoch", epoch))
            }
            Outcome::Busy { change } => {
                let advice = "wait for its end (GET /v1/policy), or call it off: DELETE /v1/policy/change";
                let refused = Refused::conflict(format!("change {} is under way", change.0), advice);
                Err(refused.with("outcome", "busy").with("change", change))
            }
            other => Err(unexpected(&other)),
        }
    }

    /// Waits for the end of a change.
    async fn outcome(&self, change: ChangeId, epoch: Epoch) -> Answered {
        let terms = &self.config.terms;
        let most = terms.stage_ms + 2.0 * terms.promise_ms.max(terms.lease_ms) + terms.session_ms;
        let end = Instant::now() + Duration::from_secs_f64(most / 1000.0) + MARGIN;
        let mut applied = self.replica.watch_applied();
        let mut stopping = self.stopping.subscribe();
        let ended = loop {
            applied.borrow_and_update();
            let found = self.replica.read(|agreement, _| {
                agreement.book().ended().rev().find(|ended| ended.id == change).cloned()
            });
            if let Some(ended) = found {
                break ended;
            }
            let went_on = tokio::select! {
                changed = timeout_at(end, applied.changed()) => matches!(changed, Ok(Ok(()))),
                _ = stopping.wait_for(|stopping| *stopping) => false,
            };
            if !went_on {
                let error = format!("change {} is under way, and its end is not known here", change.0);
                let advice = "read its end at GET /v1/policy of the leader, by its number in \"ended\"";
                return Err(Refused::unavailable(error, advice).with("change", change).with("epoch", epoch));
            }
        };
        match ended.abort_reason {
            None => {
                let done = json!({"epoch": epoch, "outcome": "committed", "change": change});
                Ok(json(StatusCode::OK, &done))
            }
            Some(why) => {
                let (error, advice) = words(&why);
                let refused = Refused::conflict(error, advice).with("outcome", "aborted");
                Err(refused.with("why", why).with("change", change).with("epoch", epoch))
            }
        }
    }

    async fn call_off(self: &Arc<Self>) -> Answered {
        let none = || Refused::conflict("no change is under way", "look at GET /v1/policy");
        let change = self.replica.read(|agreement, _| agreement.book().change().map(|change| change.id));
        let Some(change) = change else {
            // What this replica knows may be old.
            self.replica.confirm_leadership().await?;
            return Err(none());
        };
        match self.write(Command::Policy(PolicyCommand::Abort { change, why: AbortReason::Operator })).await?
        {
            Outcome::Done => Ok(json(StatusCode::OK, &json!({"outcome": "aborted", "change": change}))),
            Outcome::Over => Err(none()),
            other => Err(unexpected(&other)),
        }
    }

    async fn remove(self: &Arc<Self>, name: &str) -> Answered {
        let remove = RosterCommand::Remove { name: name.to_owned() };
        let unknown = || {
            let error = format!("no node {name:?} is a member");
            Refused::new(StatusCode::NOT_FOUND, error, "GET /v1/nodes lists them")
        };
        if !is_name(name, NAME_MOST) {
            return Err(unknown());
        }
        match self.write(Command::Roster(remove)).await? {
            Outcome::Done => Ok(json(StatusCode::OK, &json!({"outcome": "removed", "name": name}))),
            Outcome::Unknown => Err(unknown()),
            other => Err(unexpected(&other)),
        }
    }

    async fn set_replica(self: &Arc<Self>, id: u64, address: Option<SocketAddr>) -> Answered {
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
            self.replica.read(|agreement, _| (agreement.book().epoch(), agreement.roster().len()));
        json!({
            "replica": self.replica.status(), "listen": self.address, "ready": self.is_ready(),
            "in_touch": *self.in_touch.borrow(), "epoch": epoch, "members": members,
            "disk_bytes": disk_bytes, "connections": self.connections.count(),
            "watchers": self.hub.watchers(), "calls": self.calls.count(),
        })
    }

    fn ready(&self) -> Answered {
        if self.is_ready() {
            return Ok(json(StatusCode::OK, &json!({"ready": true})));
        }
        let error = "this replica knows no leader, or has not applied yet what it has on its disk";
        Err(Refused::unavailable(error, "see that a majority of the replicas runs; look at GET /v1/status"))
    }

    /// Writes a command, at the leader; goes on to its end if the caller leaves, and holds up a stop until then.
    async fn write(self: &Arc<Self>, command: Command) -> Result<Outcome, Refused> {
        let replica = self.replica.clone();
        let (_, outcome) = self.in_flight(async move { replica.write(command).await }).await?;
        Ok(outcome)
    }

    async fn in_flight<T: Send + 'static>(
        &self,
        work: impl std::future::Future<Output = Result<T, WriteError>> + Send + 'static,
    ) -> Result<T, Refused> {
        let pass = self.calls.enter().map_err(shut)?;
        let done = tokio::spawn(async move {
            let done = work.await;
            drop(pass);
            done
        });
        match done.await {
            Ok(done) => Ok(done?),
            Err(_) => {
                Err(Refused::unavailable("the call was cut short", "look whether it was done, and ask again"))
            }
        }
    }

    fn unanswered(&self, unanswered: Unanswered) -> Refused {
        match unanswered {
            Unanswered::NotLeader => {
                let leading = self.replica.watch_leadership().borrow().clone();
                Refused::not_leader(leading.leader.filter(|_| !leading.is_local).map(|(_, address)| address))
            }
            Unanswered::Busy => Refused::unavailable("too many calls at a time", "ask again soon"),
            Unanswered::Refused(why) => {
                let advice = match why {
                    Refusal::Full => "GET /v1/nodes lists members, DELETE /v1/nodes/NAME removes one",
                    Refusal::Alive => "end the other process, or wait until its session is over",
                    Refusal::Name => "mend the node's name",
                    Refusal::Late | Refusal::Replaced => "send another beat",
                };
                match why {
                    Refusal::Name => Refused::bad(why, advice),
                    Refusal::Alive | Refusal::Replaced => Refused::conflict(why, advice),
                    Refusal::Full | Refusal::Late => Refused::unavailable(why, advice),
                }
            }
        }
    }
}

/// Why a change was aborted, and what to do about it.
fn words(why: &AbortReason) -> (String, &'static str) {
    match why {
        AbortReason::Refused { node, reason: words } => {
            (format!("node {node} refused it: {words}"), "mend the policy, or that node's settings, and propose again")
        }
        AbortReason::Unresponsive { nodes } => (
            format!("not staged in time by {}", nodes.join(", ")),
            "see whether they run and reach the leader; one that is gone for good is removed: DELETE /v1/nodes/NAME",
        ),
        AbortReason::Operator => ("operators called it off".to_owned(), "propose again when you are ready"),
        AbortReason::NoLeader => ("the group could not end it in time".to_owned(), "propose again"),
    }
}

fn shut(shut: Shut) -> Refused {
    match shut {
        Shut::Full => Refused::unavailable("too many calls at a time", "ask again soon"),
        Shut::Stopped => Refused::unavailable("this replica is stopping", "ask another replica"),
    }
}

fn unexpected(outcome: &Outcome) -> Refused {
    if *outcome == Outcome::TooMuch {
        return Refused::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the policy is too large",
            "leave out what is as in the settings",
        );
    }
    let error = format!("the log answered {outcome:?}");
    Refused::new(StatusCode::INTERNAL_SERVER_ERROR, error, "report it with the replica's log")
}

fn number(id: &str) -> Result<u64, Refused> {
    let number = id.parse().ok().filter(|id| *id > 0);
    number.ok_or_else(|| Refused::bad("a replica's number is needed", "PUT or DELETE /v1/replicas/4"))
}

/// The whole body.
async fn whole(body: Incoming, most: usize) -> Result<Bytes, Refused> {
    match timeout(BODY_TIME, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let error = format!("the body has more than {most} bytes");
            Err(Refused::new(StatusCode::PAYLOAD_TOO_LARGE, error, "make it smaller"))
        }
        Ok(Err(_)) => Err(Refused::bad("the body ended early", "send it whole")),
        Err(_) => {
            let error = format!("the body took more than {} s to come", BODY_TIME.as_secs());
            Err(Refused::new(StatusCode::REQUEST_TIMEOUT, error, "send it at once"))
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        Refused::bad(format!("{path}: {}", e.inner()), "mend this field of the body")
    })?;
    json.end().map_err(|e| Refused::bad(e, "send one JSON object"))?;
    Ok(value)
}
