//! The client side: accepts connections, reads requests, and sends one final response to each.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout};
use tulipmount::{Millis, RequestId};

use super::backlog::{AcceptedConnection, Backlog};
use super::bodies::{BodyMonitor, BodyState, OutgoingBody, ReceivedBody, RequestHold};
use super::head_memory::MAX_HEAD_BYTES;
use super::incoming::{read_request, ReceivedRequest, Rejection};
use super::log;
use super::memory::{ConnectionMemory, PeerKind};
use super::metrics::RequestOutcome;
use super::node::Node;
use super::request::{FinalResponse, ForwardedRequest, RequestBody, ServerResponse, TXN};
use super::socket::{BodyLength, HyperIo, Phase, TrackedSocket};

/// How long before the client's deadline the decision module's ends: the response still has to be written and to
/// arrive.
const MODULE_MARGIN: Duration = Duration::from_millis(20);
/// How long before the client's deadline the node responds if the decision module has not.
const NODE_MARGIN: Duration = Duration::from_millis(9);
/// How long a request's head may take to arrive; for the first one, from the connection's start. Clients that send
/// nothing valid must be disconnected within 3 s; those without a request may be after 2 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// How long a client may read nothing of a response.
const UNREAD_RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests that take longer to arrive are logged.
const SLOW_ARRIVAL: Duration = Duration::from_millis(10);
/// How long a connection is read, and its bytes discarded, after its write side was shut down behind the last
/// response: unread bytes would cause a reset, which may overtake the response. Ends early when the peer closes.
const LINGER_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long a connection is left alone before it is closed to stop the node or to make room: a new or idle one waits
/// this long for a request, an arriving request for its next bytes, and a closing one for the peer's close.
const GRACE_TIME: Duration = Duration::from_millis(200);
/// How long a client has sent nothing when it counts as silent: longer than it takes to read what has arrived.
const SILENT_AFTER: Duration = Duration::from_millis(75);
/// How long after its first bytes a request is refused that finds no memory for its head.
const REFUSAL_DELAY: Duration = Duration::from_millis(200);
/// The least time between log lines about the same error.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// The pause before accepting again when descriptors have run out, and between checks for room.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// How often it is checked whether a body that is passed on may have arrived.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The response header with the epoch of the policy under which the request was taken.
const POLICY_EPOCH: HeaderName = HeaderName::from_static("x-policy-epoch");

/// The connection of one client.
struct Client {
    socket: Rc<TrackedSocket>,
    close: Notify,
    /// Whether the connection is being closed to make room.
    evicted: Cell<bool>,
    _memory: ConnectionMemory,
}

impl Client {
    /// Since when the node has waited for the client to send or to close; `None` while it serves a request.
    fn silent_since(&self) -> Option<Instant> {
        match self.socket.phase() {
            (Phase::New | Phase::Idle | Phase::Closing, since) => Some(since),
            (Phase::ReadingHead | Phase::ReadingBody, _) => Some(self.socket.last_received()),
            (Phase::WaitingForMemory | Phase::Serving | Phase::Responding, _) => None,
        }
    }
}

/// How long connections are left alone before they are closed in favour of others.
#[derive(Clone, Copy)]
struct EvictionGrace {
    /// How long a client may send nothing of a request.
    silent: Duration,
    /// How long a client may take to close behind its last response.
    closing: Duration,
}

impl EvictionGrace {
    /// In favour of any connection.
    const FOR_ROOM: Self = Self { silent: GRACE_TIME, closing: Duration::ZERO };
    /// In favour of a connection with a request, where most clients are silent.
    const IN_CROWD: Self = Self { silent: SILENT_AFTER, closing: Duration::ZERO };
    /// In favour of the connections of the next process.
    const AT_HANDOVER: Self = Self { silent: GRACE_TIME, closing: GRACE_TIME };
}

/// The connections of clients.
pub struct Clients {
    node: Rc<Node>,
    open: RefCell<HashMap<u64, Rc<Client>>>,
    /// How many of them are being evicted.
    evicted: Cell<usize>,
    last_number: Cell<u64>,
    closed: Notify,
    /// An accepted connection that waits for room.
    waiting: Cell<Option<AcceptedConnection>>,
    /// How many connections were closed unread, as they had no request in a crowd, since that was last logged.
    closed_unread: Cell<usize>,
}

impl Clients {
    /// No connections yet.
    pub fn new(node: Rc<Node>) -> Rc<Self> {
        Rc::new(Self {
            node,
            open: RefCell::default(),
            evicted: Cell::new(0),
            last_number: Cell::new(0),
            closed: Notify::new(),
            waiting: Cell::default(),
            closed_unread: Cell::new(0),
        })
    }

    /// How many connections are open. Each holds a descriptor until its task has ended, also while it is evicted.
    pub fn open_connections(&self) -> usize {
        self.open.borrow().len()
    }

    /// How many connections are in each phase, for the log.
    pub fn describe_phases(&self) -> String {
        let open = self.open.borrow();
        let count = |phase| open.values().filter(|client| client.socket.phase().0 == phase).count();
        let counts = Phase::ALL.map(|phase| (count(phase), phase.name()));
        let present = counts.iter().filter(|(count, _)| *count > 0);
        let described: Vec<String> = present.map(|(count, name)| format!("{count} {name}")).collect();
        if described.is_empty() {
            "none".into()
        } else {
            described.join(", ")
        }
    }

    /// Closes connections until no more than the limit are open: idle ones, and those whose request does not progress.
    pub fn shrink(&self) {
        while self.open_connections() - self.evicted.get() > self.node.capacity.max_client_connections()
            && self.evict(EvictionGrace::AT_HANDOVER)
        {}
    }

    /// Accepts connections; never returns.
    pub async fn accept(self: &Rc<Self>, backlog: &Backlog) {
        let mut last_logged: Option<Instant> = None;
        loop {
            match backlog.accept().await {
                Ok(connection) => self.serve_with_room(connection, backlog).await,
                Err(error) => {
                    // Usually out of descriptors: idle connections make room, and the backlog waits.
                    if last_logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
                        last_logged = Some(Instant::now());
                        log::line(format!("accept: {error}"));
                    }
                    if !self.node.pool.evict() {
                        self.evict(EvictionGrace::FOR_ROOM);
                    }
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Accepts the connections that are left in the backlog, as far as there is room for them.
    pub async fn accept_queued(self: &Rc<Self>, backlog: &Backlog) {
        while let Ok(Ok(connection)) = timeout(ACCEPT_BACKOFF, backlog.accept()).await {
            self.serve_with_room(connection, backlog).await;
        }
    }

    /// Serves a connection that was just accepted. Makes room for it first, where there is none, and never by closing
    /// a connection as new as this. If the call is dropped meanwhile, the connection waits in `waiting`.
    async fn serve_with_room(self: &Rc<Self>, connection: AcceptedConnection, backlog: &Backlog) {
        self.waiting.set(Some(connection));
        while !self.node.capacity.has_client_room(self.open_connections()) {
            self.record_wait();
            let crowded = backlog.is_overdue() && self.is_mostly_silent();
            if crowded && !self.waiting_has_request() {
                self.closed_unread.set(self.closed_unread.get() + 1);
                self.waiting.take();
                // More may come without end, and must not hold up other tasks.
                return tokio::task::yield_now().await;
            }
            if self.evicted.get() == 0 {
                self.evict(if crowded { EvictionGrace::IN_CROWD } else { EvictionGrace::FOR_ROOM });
            }
            // A busy connection may become idle without a notification.
            let _ = timeout(ACCEPT_BACKOFF, self.closed.notified()).await;
        }
        self.serve_waiting();
    }

    /// Whether at least half of the open connections are held by clients that send nothing: by a crowd, and not by load.
    /// Where connections also wait for long, those with a request go before those without.
    fn is_mostly_silent(&self) -> bool {
        let (open, now) = (self.open.borrow(), Instant::now());
        let lasts = |since: Instant| now.saturating_duration_since(since) >= SILENT_AFTER;
        let is_silent = |client: &&Rc<Client>| client.silent_since().is_some_and(lasts);
        open.values().filter(is_silent).count() * 2 >= open.len()
    }

    fn waiting_has_request(&self) -> bool {
        let waiting = self.waiting.take();
        let has_request = waiting.as_ref().is_some_and(AcceptedConnection::has_request);
        self.waiting.set(waiting);
        has_request
    }

    fn record_wait(&self) {
        if let Some(mut connection) = self.waiting.take() {
            connection.record_wait();
            self.waiting.set(Some(connection));
        }
    }

    /// Serves the connection that waits for room, if there is one.
    pub fn serve_waiting(self: &Rc<Self>) {
        if let Some(connection) = self.waiting.take() {
            self.serve(connection);
        }
    }

    /// Closes connections on which a request's head takes too long, or on which the client does not read its
    /// response. A head that is left unread waits for the node.
    pub fn sweep(&self) {
        self.log_closed_unread();
        let slow = self.close_where(|socket, phase, since| {
            let is_head = matches!(phase, Phase::New | Phase::ReadingHead);
            is_head && since.elapsed() >= HEAD_TIMEOUT && socket.is_quiet()
        });
        let unread = self.close_where(|socket, phase, _| {
            phase == Phase::Responding && socket.write_stalled_for() >= UNREAD_RESPONSE_TIMEOUT
        });
        if slow + unread > 0 {
            log::line(format!(
                "closes connections: {slow} without a request's head in time, {unread} whose response is not read"
            ));
        }
    }

    fn log_closed_unread(&self) {
        let closed = self.closed_unread.take();
        if closed > 0 {
            let phases = self.describe_phases();
            log::line(format!(
                "closed {closed} new connections without a request, as clients are silent: {phases}"
            ));
        }
    }

    /// Closes connections that are between requests and have nothing to read.
    pub fn close_idle(&self) {
        let idle = |socket: &TrackedSocket, phase, since: Instant| {
            matches!(phase, Phase::New | Phase::Idle) && since.elapsed() >= GRACE_TIME && socket.is_quiet()
        };
        self.close_where(idle);
    }

    /// Closes all connections whose clients are waited for, and ends all waits for memory with a refusal. A connection that
    /// has just sent its last response is still read for a moment.
    pub fn close_unanswered(&self) {
        self.node.capacity.memory_budget().end_waits();
        self.close_where(|socket, phase, since| match phase {
            Phase::WaitingForMemory | Phase::Serving | Phase::Responding => false,
            Phase::Closing => since.elapsed() >= GRACE_TIME,
            Phase::New | Phase::Idle | Phase::ReadingHead | Phase::ReadingBody => socket.is_quiet(),
        });
    }

    /// Closes all connections.
    pub fn close_all(&self) {
        self.close_where(|_, _, _| true);
    }

    /// Closes the connections that match, and returns how many these are.
    fn close_where(&self, matches: impl Fn(&TrackedSocket, Phase, Instant) -> bool) -> usize {
        let mut closed = 0;
        for client in self.open.borrow().values() {
            let (phase, since) = client.socket.phase();
            if matches(&client.socket, phase, since) {
                client.close.notify_one();
                closed += 1;
            }
        }
        closed
    }

    /// Closes the connection that has been idle for longest; if there is none, the one whose request has not
    /// progressed for longest. False if no connection can be closed.
    fn evict(&self, grace: EvictionGrace) -> bool {
        let (open, now) = (self.open.borrow(), Instant::now());
        let lasts = |since: Instant, time: Duration| now.saturating_duration_since(since) >= time;
        let rank = |c: &Client| match c.socket.phase() {
            _ if c.evicted.get() => None,
            (Phase::New, since) if !lasts(since, grace.silent) => None,
            (Phase::Closing, since) if !lasts(since, grace.closing) => None,
            (Phase::New | Phase::Idle | Phase::Closing, since) => Some((0, since)),
            (Phase::ReadingHead | Phase::ReadingBody, _) if lasts(c.socket.last_received(), grace.silent) => {
                Some((1, c.socket.last_received()))
            }
            _ => None,
        };
        let mut ranked: BinaryHeap<_> =
            open.iter().filter_map(|(n, c)| Some(Reverse((rank(c)?, *n)))).collect();
        // Checks as few sockets as possible: a system call for each of them at every new connection of a crowd
        // would take all of the node's time. What has arrived and was not read waits for the node.
        let idle = |c: &Client| c.socket.phase().0 == Phase::Closing || c.socket.is_quiet();
        let candidate =
            std::iter::from_fn(|| ranked.pop()).find_map(|Reverse((_, n))| open.get(&n).filter(|c| idle(c)));
        let Some(client) = candidate else { return false };
        client.evicted.set(true);
        self.evicted.set(self.evicted.get() + 1);
        client.socket.enter(Phase::Closing);
        client.close.notify_one();
        true
    }

    fn serve(self: &Rc<Self>, connection: AcceptedConnection) {
        let (stream, unread_since) = connection.into_parts();
        let memory_budget = self.node.capacity.memory_budget();
        let Ok(socket) = TrackedSocket::with_budget(stream, memory_budget, unread_since) else { return };
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (close, evicted) = (Notify::new(), Cell::new(false));
        let memory = memory_budget.add_connection(PeerKind::Client);
        let client = Rc::new(Client { socket, close, evicted, _memory: memory });
        self.open.borrow_mut().insert(number, client.clone());
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            clients.serve_connection(client.clone()).await;
            clients.open.borrow_mut().remove(&number);
            clients.evicted.set(clients.evicted.get() - usize::from(client.evicted.get()));
            drop(client);
            clients.closed.notify_one();
        });
    }

    async fn serve_connection(self: &Rc<Self>, client: Rc<Client>) {
        let service = service_fn(|request| {
            let (node, socket) = (self.node.clone(), client.socket.clone());
            async move { Ok::<_, Infallible>(respond(node, socket, request).await) }
        });
        let connection = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .auto_date_header(false)
            .serve_connection(HyperIo(client.socket.clone()), service);
        let socket = &client.socket;
        let conversation = async {
            let failed = {
                let (mut connection, mut peer_closed) = (pin!(connection), pin!(socket.peer_closed()));
                let mut peer_gone = false;
                poll_fn(|cx| {
                    if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                        return Poll::Ready(ended.is_err());
                    }
                    // While unread bytes follow the request, hyper does not look for the end behind them.
                    peer_gone =
                        peer_gone || socket.has_read_end() || peer_closed.as_mut().poll(cx).is_ready();
                    let phase = socket.phase().0;
                    if peer_gone
                        && matches!(phase, Phase::WaitingForMemory | Phase::Serving | Phase::Responding)
                    {
                        return Poll::Ready(true);
                    }
                    Poll::Pending
                })
                .await
            };
            if failed && socket.phase().0 == Phase::Responding {
                // Whatever the framing of the response, it must not look complete.
                socket.reset_on_close();
                return;
            }
            if failed && socket.lacks_head_memory() {
                // A crowd of such clients would come again at once.
                sleep(REFUSAL_DELAY).await;
                socket.refuse_unread_head();
            }
            socket.enter(Phase::Closing);
            let _ = timeout(LINGER_TIMEOUT, socket.linger()).await;
        };
        tokio::select! {
            // Once the connection is to be closed, no further request is read: it would get no response.
            biased;
            () = client.close.notified() => {}
            () = conversation => return,
        }
        match socket.phase().0 {
            Phase::Responding => return socket.reset_on_close(),
            Phase::Closing => {}
            _ => {
                // A request may arrive at this moment. It is not read, and its client sees an orderly close.
                socket.enter(Phase::Closing);
                tokio::select! {
                    biased;
                    () = client.close.notified() => {}
                    _ = timeout(GRACE_TIME, socket.linger()) => return,
                }
            }
        }
        // The descriptor is needed at once.
        socket.close_now();
    }
}

/// Responds to one request.
async fn respond(
    node: Rc<Node>,
    socket: Rc<TrackedSocket>,
    request: Request<Incoming>,
) -> Response<OutgoingBody> {
    let started = socket.request_started();
    let is_head = *request.method() == Method::HEAD;
    let mut response = if asks_readiness(&node, &request) {
        empty_response(node.ready_status())
    } else {
        let ambiguous_framing = socket.has_ambiguous_framing();
        match read_request(&node, &socket, request, ambiguous_framing).await {
            Ok(received) => {
                socket.enter(Phase::Serving);
                let arrival = started.elapsed();
                if arrival >= SLOW_ARRIVAL {
                    log::limited(|| {
                        format!("{}: request took {arrival:.1?} to arrive", received.request.txn())
                    });
                }
                // Boxed: each connection has room for all of its response's future, also between requests.
                Box::pin(admit_and_serve(&node, &socket, received)).await
            }
            Err(Rejection { status, close }) => {
                let mut response = empty_response(status);
                if close {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                response
            }
        }
    };
    if node.stopping_since.get().is_some() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    socket.note_unread();
    socket.begin_message(if is_head { BodyLength::Known(0) } else { BodyLength::of(response.body()) }, None);
    socket.enter(Phase::Responding);
    response
}

/// Whether the request asks for the node's readiness. A class may have the same name; its requests have an id.
fn asks_readiness(node: &Node, request: &Request<Incoming>) -> bool {
    let for_class = || {
        request.headers().contains_key(TXN)
            && node.config.node_settings.class_names.iter().any(|c| c == "ready")
    };
    request.uri().path() == "/ready" && !for_class()
}

/// A response without a body.
pub fn empty_response(status: StatusCode) -> Response<OutgoingBody> {
    let mut response = Response::new(OutgoingBody::buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Cancels the request if the client's connection ends before its response.
struct CancelOnDrop {
    node: Rc<Node>,
    id: RequestId,
    txn: String,
    since: Instant,
    answered: bool,
    /// Whether the request was answered by its deadline, without the decision module.
    overdue: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.answered {
            let after = self.since.elapsed();
            let reason = if self.overdue { "deadline passed" } else { "client disconnected" };
            log::limited(|| format!("{}: {reason} after {after:.1?}", self.txn));
            self.node.client_gone(self.id);
        }
    }
}

/// Admits a request, if possible, and waits for its final response.
async fn admit_and_serve(
    node: &Rc<Node>,
    socket: &TrackedSocket,
    received: ReceivedRequest,
) -> Response<OutgoingBody> {
    let ReceivedRequest { request, remaining, memory } = received;
    let mut metrics = node.metrics.begin_request(request.class);
    if !node.has_request_capacity() {
        metrics.outcome = RequestOutcome::Overload;
        return refusal(0.0);
    }
    if node.may_have_run(&request) {
        log::limited(|| format!("{}: failed, as it may have run for a client that has left", request.txn()));
        return empty_response(StatusCode::CONFLICT);
    }
    let epoch = match node.admit() {
        Ok(epoch) => epoch,
        Err(reason) => {
            log::limited(|| format!("{}: refused, {}", request.txn(), reason.description()));
            metrics.outcome = RequestOutcome::Overload;
            return refusal(node.held_retry_after());
        }
    };
    let hold = RequestHold::new(metrics, memory);
    let mut response = serve_request(node, socket, request, remaining, hold).await;
    if let Some(epoch) = epoch {
        response.headers_mut().insert(POLICY_EPOCH, HeaderValue::from(epoch));
    }
    response
}

/// Passes the request to the node and waits for its final response. Its time counts from its last byte. A pipelined
/// request may have arrived earlier, and waited for the response to the one before it.
async fn serve_request(
    node: &Rc<Node>,
    socket: &TrackedSocket,
    request: ForwardedRequest,
    remaining: Duration,
    mut hold: RequestHold,
) -> Response<OutgoingBody> {
    let received = socket.last_arrival();
    let (module_margin, node_margin) = margins(remaining);
    let (txn, streamed) = (request.txn().to_string(), StreamedRequest::of(&request, socket));
    let (id, mut receiver) = node.start_request(request, received + remaining - module_margin);
    let mut cancel =
        CancelOnDrop { node: node.clone(), id, txn, since: received, answered: false, overdue: false };
    if let Some(streamed) = streamed {
        tokio::select! {
            biased;
            state = streamed.monitor.ended() => {
                cancel.since = streamed.monitor.arrived_at().unwrap_or_else(Instant::now);
                if state == BodyState::Complete {
                    node.body_complete(id, cancel.since + remaining - module_margin);
                }
            }
            early = &mut receiver => {
                cancel.answered = true;
                return early.map_or_else(
                    |_| empty_response(StatusCode::BAD_GATEWAY),
                    |response| into_http(response, hold),
                );
            }
            () = streamed.until_overdue(received, remaining - node_margin) => {
                // No server has all of it, so none has begun it.
                cancel.overdue = true;
                hold.metrics.outcome = RequestOutcome::Overload;
                return refusal(0.0);
            }
        }
    }
    let Some(response) = by_deadline(cancel.since + remaining - node_margin, receiver).await else {
        cancel.overdue = true;
        return empty_response(StatusCode::GATEWAY_TIMEOUT);
    };
    cancel.answered = true;
    into_http(response, hold)
}

/// A request whose body is passed on as it comes.
struct StreamedRequest<'a> {
    monitor: BodyMonitor,
    length: Option<u64>,
    socket: &'a TrackedSocket,
}

impl<'a> StreamedRequest<'a> {
    /// The request that comes on a socket; `None` if its body is held as a whole.
    fn of(request: &ForwardedRequest, socket: &'a TrackedSocket) -> Option<Self> {
        let RequestBody::Streaming { monitor, length, .. } = &request.body else { return None };
        Some(Self { monitor: monitor.clone(), length: *length, socket })
    }

    /// Tells the monitor since when the client may have sent all of the body. A server that does not read leaves its end
    /// unread at the node, so that the last moment counts at which more of it had to come; `received` is the first.
    /// Returns once the body may have been there for `time`.
    async fn until_overdue(&self, received: Instant, time: Duration) {
        let mut last_incomplete = received;
        loop {
            sleep(ARRIVAL_CHECK_INTERVAL).await;
            if !self.socket.may_have_arrived(self.length) {
                last_incomplete = Instant::now();
                self.monitor.set_arrived_at(None);
            } else if last_incomplete.elapsed() >= time {
                return;
            } else {
                self.monitor.set_arrived_at(Some(last_incomplete));
            }
        }
    }
}

/// Converts the final response to HTTP. A streamed one ends the request when its body ends.
fn into_http(response: FinalResponse, mut hold: RequestHold) -> Response<OutgoingBody> {
    match response {
        FinalResponse::Served(response) => {
            let ServerResponse { headers, body } = *response;
            let body = match body {
                ReceivedBody::Buffered(buffered) => {
                    hold.metrics.outcome = RequestOutcome::Success;
                    OutgoingBody::buffered(buffered)
                }
                ReceivedBody::Streaming(mut streaming) => {
                    streaming.hold_request_until_end(hold);
                    OutgoingBody::streaming(streaming)
                }
            };
            let mut response = Response::new(body);
            *response.headers_mut() = headers;
            response
        }
        FinalResponse::Refused(retry_after) => {
            hold.metrics.outcome = RequestOutcome::Overload;
            refusal(retry_after)
        }
        FinalResponse::Failed => empty_response(StatusCode::BAD_GATEWAY),
    }
}

/// How long before the client's deadline the decision module's deadline is, and the node's own. A request with
/// little time left keeps most of it, even if its response may then arrive late.
fn margins(remaining: Duration) -> (Duration, Duration) {
    (MODULE_MARGIN.min(remaining / 8), NODE_MARGIN.min(remaining / 16))
}

/// The response, if it comes by `deadline`. The client waits no longer, whatever happens to the decision module's
/// timers and attempts.
async fn by_deadline(deadline: Instant, receiver: oneshot::Receiver<FinalResponse>) -> Option<FinalResponse> {
    tokio::time::timeout_at(deadline.into(), receiver).await.ok()?.ok()
}

/// A refusal, with the decision module's `Retry-After` in decimal seconds.
fn refusal(retry_after: Millis) -> Response<OutgoingBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    if retry_after > 0.0 {
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after / 1000.0)) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A request with little time left keeps most of it for the servers.
    #[test]
    fn a_request_with_little_time_keeps_most_of_it_for_the_servers() {
        let ms = Duration::from_millis;
        assert_eq!(margins(ms(1000)), (MODULE_MARGIN, NODE_MARGIN));
        for left in [1, 20, 40, 80] {
            let (module_margin, node_margin) = margins(ms(left));
            assert!(
                module_margin <= ms(left) / 5 && node_margin < module_margin,
                "{module_margin:?} and {node_margin:?} of {left} ms"
            );
        }
    }

    /// If the decision module never responds, the client is answered by its deadline.
    #[test]
    fn a_response_that_never_comes_is_waited_for_until_the_deadline() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let (module, receiver) = oneshot::channel();
            let response = by_deadline(Instant::now() + Duration::from_millis(50), receiver);
            let ended = timeout(Duration::from_secs(20), response).await;
            assert!(matches!(ended, Ok(None)));
            drop(module);
            let (module, receiver) = oneshot::channel();
            assert!(module.send(FinalResponse::Refused(1.0)).is_ok());
            let response = by_deadline(Instant::now() + Duration::from_secs(20), receiver);
            assert!(matches!(response.await, Some(FinalResponse::Refused(_))));
        });
    }
}
