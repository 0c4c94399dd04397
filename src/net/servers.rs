//! The server side: attempts and probes, and the outcome of each.

use std::error::Error;
use std::future::{pending, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::Connection;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH};
use hyper::{HeaderMap, Request, StatusCode};
use tokio::time::{sleep_until, timeout, timeout_at};
use tulipmount::{Outcome, RequestId, ServerId};

use super::bodies::{
    receive, BodyError, BodyLimits, BodyMonitor, BodyPurpose, BodyState, LimitedBody, MaxWait, OutgoingBody,
    ReceivedBody,
};
use super::log;
use super::memory::OutOfMemory;
use super::node::Node;
use super::pool::ServerConnection;
use super::request::{
    end_to_end, AttemptTarget, ForwardedRequest, ServerResponse, TransferEncoding, REMAINING_MS,
};
use super::socket::{BodyLength, HyperIo, TrackedSocket};

/// How slowly the body of a response may arrive: a server that sends nothing for that long counts as dead.
const RESPONSE_BODY_LIMITS: BodyLimits =
    BodyLimits { max_wait: MaxWait::Silence(Duration::from_secs(10)), max_bytes: usize::MAX };
/// A response of unknown length is buffered after its first bytes for this fraction of the attempt's time, 1 / n,
/// in case it is a short one that breaks off.
const BUFFER_TIME_DIVISOR: u32 = 4;
/// How long a server may accept nothing of a streamed request.
const UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Marks a response to a request that the server rejected without reading it.
const TURNED_AWAY: HeaderName = HeaderName::from_static("x-turned-away");

/// Makes one attempt and reports its outcome to the node. The rest of a streamed response is then passed on.
pub async fn attempt(node: Rc<Node>, target: AttemptTarget, request: Rc<ForwardedRequest>) {
    let (outcome, response, rest) =
        exchange(&node, target.server, target.deadline, &request, Some(target.id)).await;
    drop(request);
    node.attempt_ended(target.id, target.attempt, outcome, response);
    if let Some(rest) = rest {
        rest.pass_on(&node, target.server).await;
    }
}

/// Probes a server and reports the outcome to the node.
pub async fn probe(node: Rc<Node>, server: ServerId) {
    let started = Instant::now();
    // As long as a connect may take, and as long again for the response.
    let deadline = started + 2 * node.pool.connect_timeout;
    let (outcome, ..) = exchange(&node, server, deadline, &ForwardedRequest::probe(), None).await;
    node.probe_ended(server, outcome, started.elapsed());
}

/// A response that is being streamed, and its connection.
struct StreamingResponse {
    connection: ServerConnection,
    addr: SocketAddr,
    monitor: BodyMonitor,
    length: Option<u64>,
    reusable: bool,
}

impl StreamingResponse {
    /// Drives the connection until the response has ended.
    async fn pass_on(mut self, node: &Node, server: ServerId) {
        let state = drive(&mut self.connection.driver, self.monitor.ended()).await;
        if state == BodyState::Failed {
            let form =
                self.length.map_or("chunks or no length".to_owned(), |length| format!("{length} bytes"));
            let addr = self.addr;
            log::limited(|| format!("response of {form} from {addr} broke off while it was passed on"));
        }
        if state == BodyState::Complete && self.reusable && !has_ended(&mut self.connection.driver).await {
            return_to_pool(node, server, self.addr, self.connection, self.length);
        }
    }
}

/// Returns a connection to the pool, unless it has more to read than the response, which would be taken for the
/// response to the next request, or the server is no longer at its address, where it would bring requests meant for
/// another one.
fn return_to_pool(
    node: &Node,
    server: ServerId,
    addr: SocketAddr,
    connection: ServerConnection,
    length: Option<u64>,
) {
    let socket = &connection.socket;
    if socket.all_sent()
        && node.server_addr(server) == Some(addr)
        && socket.received_exactly(length)
        && socket.is_quiet()
    {
        node.pool.put(server, connection);
    }
}

/// Sends one request to a server; returns the outcome, the response, and what is still to be streamed of it. `id`
/// is `None` for a probe.
async fn exchange(
    node: &Rc<Node>,
    server: ServerId,
    deadline: Instant,
    request: &ForwardedRequest,
    id: Option<RequestId>,
) -> (Outcome, Option<ServerResponse>, Option<StreamingResponse>) {
    let ended_with = |outcome| (outcome, None, None);
    let time = deadline.saturating_duration_since(Instant::now());
    let mut pooled = node.pool.take(server);
    loop {
        // A drain takes effect at once, also for attempts that have been waiting for a connection.
        let Some(addr) = node.server_addr(server) else { return ended_with(Outcome::NotSent) };
        let reused = pooled.is_some();
        let connection = match pooled.take() {
            Some(connection) => Ok(connection),
            None => {
                let connecting = node.pool.connect(addr, node.capacity.max_server_connections());
                timeout_at(deadline.into(), connecting).await.unwrap_or(Err(Outcome::NotSent))
            }
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(outcome) => return ended_with(outcome),
        };
        // Connecting may have taken a while: the server may be draining by now, or the response may not be needed
        // any more.
        let unwanted = id.is_some_and(|id| !node.awaits_response(id));
        if node.server_addr(server) != Some(addr) || unwanted {
            return ended_with(Outcome::NotSent);
        }
        let Some(body) = request.body.outgoing() else { return ended_with(Outcome::NotSent) };
        let (socket, monitor, idle) =
            (connection.socket.clone(), body.monitor(), connection.idle_since.elapsed());
        socket.begin_message(BodyLength::of(&body), id.map(|_| node.metrics.dispatches()));
        let timed_out = async {
            match &monitor {
                None => sleep_until(deadline.into()).await,
                Some(monitor) => until_time_is_over(monitor, &socket, time).await,
            }
        };
        let result = send_request(
            node,
            &mut connection,
            || build_request(request, body, deadline),
            time / BUFFER_TIME_DIVISOR,
            timed_out,
        )
        .await;
        let (any_sent, all_sent) = (socket.any_sent(), socket.all_sent());
        return match result {
            Ok(response) => response.into_outcome(node, server, addr, connection),
            Err(ExchangeError::TimedOut) if all_sent => ended_with(Outcome::TimedOut),
            Err(ExchangeError::TimedOut) => ended_with(Outcome::NotSent),
            // A pooled connection was closed before anything was written to it, so the attempt can start again.
            Err(_) if reused && !any_sent => continue,
            // The client's request broke off; the server is not at fault.
            Err(_) if monitor.is_some_and(|m| m.state() == BodyState::Failed) => ended_with(Outcome::NotSent),
            Err(ExchangeError::Connection) if all_sent => {
                let kind = if reused { "reused" } else { "new" };
                log::limited(|| format!("{kind} connection to {addr} broke after {idle:.1?} idle"));
                ended_with(Outcome::Reset)
            }
            Err(ExchangeError::Malformed) if all_sent => ended_with(Outcome::Error),
            // The request may have been executed, and the server is not at fault.
            Err(ExchangeError::NoMemory) if all_sent => ended_with(Outcome::Cancelled),
            Err(_) => ended_with(Outcome::ConnectFailed),
        };
    }
}

/// Waits until the time of an attempt with a streamed body is over. It counts from when the client may have sent all of
/// the body. A server that still accepts the body has more.
async fn until_time_is_over(monitor: &BodyMonitor, socket: &TrackedSocket, time: Duration) {
    tokio::select! {
        biased;
        _ = monitor.ended() => {
            let arrived_at = monitor.arrived_at().unwrap_or_else(Instant::now);
            sleep_until((arrived_at + time).into()).await;
        }
        () = until_stalled(monitor, socket, time) => {}
    }
}

/// Waits until the server has accepted nothing for [`UPLOAD_STALL_TIMEOUT`], or, where its client waits for the response
/// alone, for the time of the attempt.
async fn until_stalled(monitor: &BodyMonitor, socket: &TrackedSocket, time: Duration) {
    loop {
        let stalled_at = match monitor.arrived_at() {
            Some(arrived_at) => arrived_at.max(socket.last_write()) + time.min(UPLOAD_STALL_TIMEOUT),
            None => socket.last_write() + UPLOAD_STALL_TIMEOUT,
        };
        if stalled_at <= Instant::now() {
            return;
        }
        let _ = timeout_at(stalled_at.into(), monitor.changed()).await;
    }
}

fn build_request(
    forwarded: &ForwardedRequest,
    body: OutgoingBody,
    deadline: Instant,
) -> Request<OutgoingBody> {
    let left = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
    let mut request = Request::new(body);
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    *request.headers_mut() = forwarded.headers.clone();
    request.headers_mut().insert(REMAINING_MS, HeaderValue::from(left));
    request
}

/// A server's response.
struct ExchangeResponse {
    status: StatusCode,
    headers: HeaderMap,
    /// `None` if it did not arrive.
    body: Option<ReceivedBody>,
    /// Its length; `None` if it is chunked.
    length: Option<u64>,
    reusable: bool,
}

impl ExchangeResponse {
    fn into_outcome(
        self,
        node: &Node,
        server: ServerId,
        addr: SocketAddr,
        connection: ServerConnection,
    ) -> (Outcome, Option<ServerResponse>, Option<StreamingResponse>) {
        let Self { status, headers, body, length, reusable } = self;
        let turned_away = headers.get(TURNED_AWAY).is_some_and(|v| v == "1");
        let rest = match &body {
            Some(ReceivedBody::Streaming(streaming)) => {
                if !streaming.has_begun() {
                    log::limited(|| format!("response from {addr} is passed on before its body has begun"));
                }
                connection.socket.shrink_kernel_buffers();
                Some(StreamingResponse { connection, addr, monitor: streaming.monitor(), length, reusable })
            }
            body => {
                if reusable && body.is_some() {
                    return_to_pool(node, server, addr, connection, length);
                }
                None
            }
        };
        match (status, body) {
            (StatusCode::OK, Some(body)) => (Outcome::Success, Some(ServerResponse { headers, body }), rest),
            (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, _) if turned_away => {
                (Outcome::Rejected, None, None)
            }
            (status, _) => {
                log::limited(|| format!("server responded with status {status}"));
                // The request has an id that no client sent. No server would accept it, and none is at fault.
                let request_at_fault = status == StatusCode::BAD_REQUEST;
                (if request_at_fault { Outcome::Cancelled } else { Outcome::Error }, None, None)
            }
        }
    }
}

/// Why a request got no complete response.
enum ExchangeError {
    /// The connection ended.
    Connection,
    /// The response is malformed.
    Malformed,
    /// The memory budget had no room for its head.
    NoMemory,
    /// The attempt's time was over before the response, or the end of a short one.
    TimedOut,
}

/// Whether reading has failed for want of memory.
fn is_out_of_memory(error: &(dyn Error + 'static)) -> bool {
    let error = error.downcast_ref::<io::Error>();
    error.and_then(|e| e.get_ref()).is_some_and(|inner| inner.is::<OutOfMemory>())
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> Self {
        log::limited(|| format!("response not read: {error:?}"));
        // hyper reports invalid chunks as an I/O error of its own; the server is still running.
        let invalid =
            |e: &io::Error| matches!(e.kind(), io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData);
        if error.source().is_some_and(is_out_of_memory) {
            return Self::NoMemory;
        }
        if error.is_parse() || error.source().and_then(|e| e.downcast_ref()).is_some_and(invalid) {
            Self::Malformed
        } else {
            Self::Connection
        }
    }
}

impl From<BodyError> for ExchangeError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Connection(error) => error.into(),
            BodyError::TooSlow | BodyError::TooLong => Self::Malformed,
            BodyError::NoMemory => Self::NoMemory,
        }
    }
}

/// Writes a request and reads the response: a short one completely, before `timed_out` is over, and one that may be long up
/// to its first bytes, or up to its head if they have not come by then. Sends one request only, and nothing twice.
async fn send_request(
    node: &Node,
    connection: &mut ServerConnection,
    make_request: impl FnOnce() -> Request<OutgoingBody>,
    buffer_time: Duration,
    timed_out: impl Future<Output = ()>,
) -> Result<ExchangeResponse, ExchangeError> {
    let ServerConnection { socket, sender, driver, .. } = connection;
    let exchange = async {
        let mut timed_out = pin!(timed_out);
        let response = async {
            sender.ready().await?;
            // Data that arrived before the request cannot be its response.
            if !socket.is_quiet() {
                return Err(ExchangeError::Connection);
            }
            Ok(sender.send_request(make_request()).await?)
        };
        let (parts, body) = in_time(timed_out.as_mut(), response).await?.into_parts();
        // A server responds only after it has received the last byte. An earlier success is the response to another
        // request.
        let premature = parts.status == StatusCode::OK && !socket.all_sent();
        if premature || !has_clear_framing(&parts.headers) {
            return Err(ExchangeError::Malformed);
        }
        let length = body.size_hint().exact();
        let body = receive_body(node, parts.status, body, buffer_time, timed_out).await?;
        Ok((parts, length, body))
    };
    let (parts, length, body) = drive(driver, exchange).await?;
    let closing = parts.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    let headers: HeaderMap = end_to_end(&parts.headers);
    let reusable = !closing && !has_ended(driver).await;
    Ok(ExchangeResponse { status: parts.status, headers, body, length, reusable })
}

/// Receives the body of a response with this status as [`send_request`] says; `None` if it did not arrive and is not needed.
async fn receive_body(
    node: &Node,
    status: StatusCode,
    body: Incoming,
    buffer_time: Duration,
    timed_out: Pin<&mut impl Future<Output = ()>>,
) -> Result<Option<ReceivedBody>, ExchangeError> {
    let body = LimitedBody::new(body, RESPONSE_BODY_LIMITS);
    let reservation = BodyPurpose::RESPONSE.try_reserve(&body, node.capacity.memory_budget());
    if status != StatusCode::OK {
        // Only the head matters.
        let body = receive(body, reservation, Some(buffer_time), pending());
        let body = async { Ok(timeout(buffer_time, body).await.ok().transpose()?) };
        return in_time(timed_out, body).await;
    }
    if body.may_be_long() {
        return Ok(Some(receive(body, reservation, Some(buffer_time), timed_out).await?));
    }
    let body = async { Ok(receive(body, reservation, None, pending()).await?) };
    in_time(timed_out, body).await.map(Some)
}

/// The result of `step`, unless the attempt's time is over before.
async fn in_time<T>(
    timed_out: Pin<&mut impl Future<Output = ()>>,
    step: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    tokio::select! {
        biased;
        result = step => result,
        () = timed_out => Err(ExchangeError::TimedOut),
    }
}

/// Whether the end of a response with these headers is unambiguous. hyper accepts any encoding that ends with
/// chunks, also beside a length, and otherwise reads to the end of the connection.
fn has_clear_framing(headers: &HeaderMap) -> bool {
    match TransferEncoding::of(headers) {
        TransferEncoding::Absent => true,
        TransferEncoding::Chunked => !headers.contains_key(CONTENT_LENGTH),
        TransferEncoding::Other => false,
    }
}

/// Whether the connection has ended. Only when polled does hyper see bytes behind the response and close.
async fn has_ended(driver: &mut Connection<HyperIo, OutgoingBody>) -> bool {
    let mut driver = pin!(driver);
    std::future::poll_fn(|cx| Poll::Ready(driver.as_mut().poll(cx).is_ready())).await
}

/// Drives the connection while `exchange` runs on it.
async fn drive<T>(driver: &mut Connection<HyperIo, OutgoingBody>, exchange: impl Future<Output = T>) -> T {
    let mut exchange = pin!(exchange);
    tokio::select! {
        biased;
        result = &mut exchange => return result,
        _ = driver => {}
    }
    // The connection has ended; what it received has been passed on.
    exchange.await
}
