//! The way to the servers: attempts and probes, and how each ended.

use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use hyper::body::Body;
use hyper::client::conn::http1::Connection;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, StatusCode};
use tokio::time::{timeout, timeout_at};
use tulipmount::{Outcome, RequestId, ServerId};

use super::bodies::{gather, Cut, Fate, Gathered, Outgoing, Pace, Paced, Passage, Side};
use super::log;
use super::node::Node;
use super::pool::Link;
use super::request::{end_to_end, Asked, Reply, To, REMAINING};
use super::sock::{Io, Length, Sock};

/// How slowly the body of an answer may come: whoever sends nothing for so long is taken for dead.
const ANSWERING: Pace =
    Pace { wait: Duration::from_secs(10), per_kib: Duration::from_millis(125), most: usize::MAX };
/// The part of an attempt's time for which an answer without a length is held after its first bytes, in case
/// it is a short one that breaks.
const HOLD_SHARE: u32 = 4;
/// How long a server may take nothing of a request that is coming.
const STALL: Duration = Duration::from_secs(10);

/// Turned away unseen.
const TURNED_AWAY: HeaderName = HeaderName::from_static("x-turned-away");

/// Makes one attempt and tells the node how it ended. What is left of an answer that has begun is passed on.
pub async fn attempt(node: Rc<Node>, to: To, asked: Rc<Asked>) {
    let (outcome, reply, rest) = exchange(&node, to.server, to.end, &asked, Some(to.id)).await;
    drop(asked);
    node.attempt_ended(to.id, to.attempt, outcome, reply);
    if let Some(rest) = rest {
        rest.pass_on(&node, to.server).await;
    }
}

/// Probes a server and tells the node how it ended.
pub async fn probe(node: Rc<Node>, server: ServerId) {
    let sent = Instant::now();
    // As long as a connection may take, and as long again for the answer.
    let end = sent + 2 * node.pool.connect;
    let (outcome, ..) = exchange(&node, server, end, &Asked::probe(), None).await;
    node.probed(server, outcome, sent.elapsed());
}

/// An answer that has begun, on its connection.
struct Rest {
    link: Link,
    dial: SocketAddr,
    passage: Passage,
    length: Option<u64>,
    keep: bool,
}

impl Rest {
    /// Has the connection go on until its answer has ended.
    async fn pass_on(mut self, node: &Node, server: ServerId) {
        let fate = drive(&mut self.link.conn, self.passage.ended()).await;
        if fate == Fate::Whole && self.keep && !over(&mut self.link.conn).await {
            keep(node, server, self.dial, self.link, self.length);
        }
    }
}

/// Keeps a connection for the next request. One that has more to read than the answer would answer the next
/// request with it; one to where the server is no more would bring it what is meant for it elsewhere.
fn keep(node: &Node, server: ServerId, dial: SocketAddr, link: Link, length: Option<u64>) {
    let sock = &link.sock;
    if sock.whole() && node.dial(server) == Some(dial) && sock.heard_just(length) && sock.quiet() {
        node.pool.put(server, link);
    }
}

/// One request to a server, and how it ended; with what is still to come of an answer that has begun. `id` is that
/// of the request, `None` for a probe.
async fn exchange(
    node: &Rc<Node>,
    server: ServerId,
    end: Instant,
    asked: &Asked,
    id: Option<RequestId>,
) -> (Outcome, Option<Reply>, Option<Rest>) {
    let over = |outcome| (outcome, None, None);
    let time = end.saturating_duration_since(Instant::now());
    let mut pooled = node.pool.take(server);
    loop {
        // A drain holds from the moment it is told, also for what waited on a connection until now.
        let Some(dial) = node.dial(server) else { return over(Outcome::NotSent) };
        let reused = pooled.is_some();
        let link = match pooled.take() {
            Some(link) => Ok(link),
            None => {
                let connecting = node.pool.connect(dial, node.server_connections());
                timeout_at(end.into(), connecting).await.unwrap_or(Err(Outcome::NotSent))
            }
        };
        let mut link = match link {
            Ok(link) => link,
            Err(outcome) => return over(outcome),
        };
        // The connection may have come up late: where the server drains by now, or nobody waits for the answer any
        // more.
        let unwanted = id.is_some_and(|id| !node.awaits(id));
        if node.dial(server) != Some(dial) || unwanted {
            return over(Outcome::NotSent);
        }
        let Some(body) = asked.body.outgoing() else { return over(Outcome::NotSent) };
        let (sock, passage, idle) = (link.sock.clone(), body.passage(), link.since.elapsed());
        sock.begin(Length::of(&body), id.map(|_| node.metrics.dispatches()));
        let given_up = async {
            match &passage {
                None => tokio::time::sleep_until(end.into()).await,
                Some(passage) => {
                    handed_on(passage, &sock).await;
                    tokio::time::sleep(time).await;
                }
            }
        };
        let ended = tokio::select! {
            biased;
            heard = converse(node, &mut link, || request(asked, body, end), time / HOLD_SHARE) => Some(heard),
            () = given_up => None,
        };
        let (any, whole) = (sock.any(), sock.whole());
        return match ended {
            // A kept connection that was closed before the first byte was written: nothing was sent, so this
            // is still the same attempt.
            Some(Err(_)) if reused && !any => continue,
            Some(Ok(heard)) => heard.judge(node, server, dial, link),
            // The request broke off, not the server.
            Some(Err(_)) if passage.is_some_and(|p| p.fate() == Fate::Cut) => over(Outcome::NotSent),
            Some(Err(Broken::Link)) if whole => {
                let kind = if reused { "kept" } else { "new" };
                log::trouble(|| format!("{kind} connection to {dial}, {idle:.1?} idle, broke"));
                over(Outcome::Reset)
            }
            Some(Err(Broken::Garbled)) if whole => over(Outcome::Error),
            // It may have run, and its server is not to blame.
            Some(Err(Broken::NoRoom)) if whole => over(Outcome::Cancelled),
            Some(Err(_)) => over(Outcome::ConnectFailed),
            None if whole => over(Outcome::TimedOut),
            None => over(Outcome::NotSent),
        };
    }
}

/// Waits until a request that is coming has been handed on, for as long as its server takes any of it.
async fn handed_on(passage: &Passage, sock: &Sock) {
    while timeout(STALL, passage.ended()).await.is_err() {
        if sock.stalled() >= STALL {
            return;
        }
    }
}

fn request(asked: &Asked, body: Outgoing, end: Instant) -> Request<Outgoing> {
    let left = end.saturating_duration_since(Instant::now()).as_millis() as u64;
    let mut request = Request::new(body);
    *request.method_mut() = asked.method.clone();
    *request.uri_mut() = asked.uri.clone();
    *request.headers_mut() = asked.headers.clone();
    request.headers_mut().insert(REMAINING, HeaderValue::from(left));
    request
}

/// What a server answered.
struct Heard {
    status: StatusCode,
    headers: HeaderMap,
    /// `None` where it did not come.
    body: Option<Gathered>,
    /// Its length; `None` for chunks.
    length: Option<u64>,
    keep: bool,
}

impl Heard {
    fn judge(
        self,
        node: &Node,
        server: ServerId,
        dial: SocketAddr,
        link: Link,
    ) -> (Outcome, Option<Reply>, Option<Rest>) {
        let Self { status, headers, body, length, keep: keeps } = self;
        let away = headers.get(TURNED_AWAY).is_some_and(|v| v == "1");
        let rest = match &body {
            Some(Gathered::Coming(coming)) => {
                link.sock.narrow();
                Some(Rest { link, dial, passage: coming.passage(), length, keep: keeps })
            }
            body => {
                if keeps && body.is_some() {
                    keep(node, server, dial, link, length);
                }
                None
            }
        };
        match (status, body) {
            (StatusCode::OK, Some(body)) => (Outcome::Success, Some(Reply { headers, body }), rest),
            (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, _) if away => {
                (Outcome::Rejected, None, None)
            }
            (status, _) => {
                log::trouble(|| format!("answered {status}"));
                // A request with an id that no client sent: no server would take it, and none is to blame.
                let at_fault = status == StatusCode::BAD_REQUEST;
                (if at_fault { Outcome::Cancelled } else { Outcome::Error }, None, None)
            }
        }
    }
}

enum Broken {
    /// The connection ended.
    Link,
    /// What came can't be read.
    Garbled,
    /// There was no room here to pass it on.
    NoRoom,
}

impl From<hyper::Error> for Broken {
    fn from(error: hyper::Error) -> Self {
        log::trouble(|| format!("answer not read: {error:?}"));
        // Chunks that can't be read come as an I/O error of hyper's own making; the server still runs.
        let invalid =
            |e: &io::Error| matches!(e.kind(), io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData);
        if error.is_parse() || error.source().and_then(|e| e.downcast_ref()).is_some_and(invalid) {
            Self::Garbled
        } else {
            Self::Link
        }
    }
}

impl From<Cut> for Broken {
    fn from(cut: Cut) -> Self {
        match cut {
            Cut::Broken(error) => error.into(),
            Cut::Slow | Cut::Long => Self::Garbled,
            Cut::NoRoom => Self::NoRoom,
        }
    }
}

/// Writes a request and reads the answer, whole or up to its first bytes. A second request on the connection is
/// never begun here, and nothing is sent again.
async fn converse(
    node: &Node,
    link: &mut Link,
    request: impl FnOnce() -> Request<Outgoing>,
    hold: Duration,
) -> Result<Heard, Broken> {
    let Link { sock, send, conn, .. } = link;
    let talk = async {
        send.ready().await?;
        // What has come before the request is no answer to it.
        if !sock.quiet() {
            return Err(Broken::Link);
        }
        let (parts, body) = send.send_request(request()).await?.into_parts();
        // A server begins once it has the last byte: what says sooner that it is done is another's answer.
        let early = parts.status == StatusCode::OK && !sock.whole();
        if early || !framed(&parts.headers) {
            return Err(Broken::Garbled);
        }
        let length = body.size_hint().exact();
        let body = gather(Paced::new(body, ANSWERING), &node.budget, Side::Answer(hold));
        // What any other answer says is in its head.
        let body = match parts.status {
            StatusCode::OK => Some(body.await?),
            _ => timeout(hold, body).await.ok().transpose()?,
        };
        Ok((parts, length, body))
    };
    let (parts, length, body) = drive(conn, talk).await?;
    let closes = parts.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    let headers: HeaderMap = end_to_end(&parts.headers);
    let keep = !closes && !over(conn).await;
    Ok(Heard { status: parts.status, headers, body, length, keep })
}

/// Can the end of an answer with these headers be read in one way alone? hyper takes any encoding that ends with
/// chunks, and a length beside it, and else reads to the end of the connection.
fn framed(headers: &HeaderMap) -> bool {
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    encodings.next().is_none_or(|encoding| {
        let chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
        chunked && encodings.next().is_none() && !headers.contains_key(CONTENT_LENGTH)
    })
}

/// Has the connection come to its end? hyper sees bytes behind the answer, and closes, only when polled.
async fn over(conn: &mut Connection<Io, Outgoing>) -> bool {
    let mut conn = pin!(conn);
    std::future::poll_fn(|cx| Poll::Ready(conn.as_mut().poll(cx).is_ready())).await
}

/// Polls the connection for as long as what goes on over it lasts.
async fn drive<T>(conn: &mut Connection<Io, Outgoing>, talk: impl Future<Output = T>) -> T {
    let mut talk = pin!(talk);
    tokio::select! {
        biased;
        done = &mut talk => return done,
        _ = conn => {}
    }
    // The connection is over; what it had to say has been handed on.
    talk.await
}
