//! Sockets of the app servers. Each pair of a server and a zone has its own listener, which identifies the caller's
//! zone; the world decides what a server does.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinSet};

use super::{LabError, RunContext};
use crate::world::{Reachability, ServerReply};

/// Length of the kernel's queue of connections to accept.
const LISTEN_BACKLOG: i32 = 1024;
/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Poll interval for idle connections, and delay after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// All listeners and connections of the servers.
#[derive(Default)]
pub struct ServerSockets {
    sockets: RefCell<HashMap<(usize, usize), ServerListener>>,
    /// Connections by server and zone of the nodes.
    connections: RefCell<HashMap<(usize, usize), JoinSet<()>>>,
    waiting: RefCell<HashMap<usize, oneshot::Sender<ServerReply>>>,
}

/// The listener of one server for one zone.
struct ServerListener {
    listener: Rc<TcpListener>,
    /// The accepting task, while the server is reachable.
    accepting: Option<AbortHandle>,
    /// The task that fills the kernel's accept queue, while the server is unreachable.
    filler: Option<AbortHandle>,
}

impl Drop for ServerListener {
    fn drop(&mut self) {
        // Aborted tasks hold the listener until they are polled once more. Without the shutdown, connections could
        // come in until then, and a server that restarts while the lab is late could not listen at its address.
        let _ = SockRef::from(&*self.listener).shutdown(Shutdown::Both);
        for task in [self.accepting.take(), self.filler.take()].into_iter().flatten() {
            task.abort();
        }
    }
}

/// Opens a listener.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

impl ServerSockets {
    /// Sets how new connections from a zone to a server fare.
    ///
    /// # Errors
    /// Fails if an address cannot be listened at.
    pub fn set_reachability(
        &self,
        run: &Rc<RunContext>,
        server: usize,
        zone: usize,
        reach: Reachability,
    ) -> Result<(), LabError> {
        let mut sockets = self.sockets.borrow_mut();
        if reach == Reachability::Refused {
            sockets.remove(&(server, zone));
            return Ok(());
        }
        let address = run.addresses.server(server, zone);
        let fail = |source: io::Error| LabError::Listen { at: address, source };
        let listener_state = match sockets.entry((server, zone)) {
            std::collections::hash_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::hash_map::Entry::Vacant(entry) => {
                let listener = Rc::new(listen(address).map_err(fail)?);
                entry.insert(ServerListener { listener, accepting: None, filler: None })
            }
        };
        match reach {
            Reachability::Open if listener_state.accepting.is_none() => {
                if let Some(filler) = listener_state.filler.take() {
                    filler.abort();
                }
                SockRef::from(&*listener_state.listener).listen(LISTEN_BACKLOG).map_err(fail)?;
                let accepting =
                    accept_connections(run.clone(), listener_state.listener.clone(), server, zone);
                listener_state.accepting = Some(tokio::task::spawn_local(accepting).abort_handle());
            }
            Reachability::Unreachable if listener_state.filler.is_none() => {
                if let Some(accepting) = listener_state.accepting.take() {
                    accepting.abort();
                }
                // While the accept queue is full, the kernel drops connection requests, so that connects time out.
                SockRef::from(&*listener_state.listener).listen(0).map_err(fail)?;
                listener_state.filler = Some(tokio::task::spawn_local(fill_backlog(address)).abort_handle());
            }
            _ => {}
        }
        Ok(())
    }

    /// Closes all connections to a server, or only those from one zone.
    pub fn drop_connections(&self, server: usize, zone: Option<usize>) {
        let matches = |(s, z): &(usize, usize)| *s == server && zone.is_none_or(|zone| zone == *z);
        for (_, mut connections) in self.connections.borrow_mut().extract_if(|key, _| matches(key)) {
            connections.abort_all();
            connections.detach_all();
        }
    }

    /// Delivers the reply to an attempt.
    pub fn reply(&self, attempt: usize, reply: ServerReply) {
        if let Some(to) = self.waiting.borrow_mut().remove(&attempt) {
            // An error means that the node has closed its connection.
            let _ = to.send(reply);
        }
    }
}

/// Fills the kernel's accept queue with connections and keeps them.
async fn fill_backlog(address: SocketAddr) {
    let mut streams = Vec::new();
    loop {
        match tokio::time::timeout(POLL_INTERVAL, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => streams.push(stream),
            // The queue is full, as intended.
            Ok(Err(_)) | Err(_) => std::future::pending::<()>().await,
        }
    }
}

/// Accepts the connections from a zone to a server.
async fn accept_connections(run: Rc<RunContext>, listener: Rc<TcpListener>, server: usize, zone: usize) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        // Connections end with a reset when their server ends, and when an idle one is closed.
        let configured = stream.set_nodelay(true).and_then(|()| stream.set_zero_linger());
        if configured.is_err() {
            continue;
        }
        let Some(incarnation) = run.update(|world, now| world.connect(now, server)) else { continue };
        tracing::trace!(server, zone, %from, "connection");
        let connection = ServerConnection {
            run: run.clone(),
            server,
            zone,
            incarnation,
            fresh: Cell::new(true),
            open_requests: Cell::new(0),
            last_used: Cell::new(Instant::now()),
        };
        let mut connections = run.sockets.connections.borrow_mut();
        let connections = connections.entry((server, zone)).or_default();
        while connections.try_join_next().is_some() {}
        connections.spawn_local(connection.serve(stream));
    }
}

/// A connection of a node to a server.
struct ServerConnection {
    run: Rc<RunContext>,
    server: usize,
    zone: usize,
    incarnation: u32,
    /// No request has arrived yet.
    fresh: Cell<bool>,
    open_requests: Cell<usize>,
    last_used: Cell<Instant>,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.run.update(|world, now| world.disconnect(now, self.server, self.incarnation));
    }
}

/// An attempt for whose reply a node waits; dropping it reports that the node no longer waits.
struct WaitingAttempt {
    run: Rc<RunContext>,
    attempt: usize,
}

impl Drop for WaitingAttempt {
    fn drop(&mut self) {
        self.run.sockets.waiting.borrow_mut().remove(&self.attempt);
        self.run.update(|world, now| world.attempt_closed(now, self.attempt));
    }
}

type HttpResponse = Response<UnsyncBoxBody<Bytes, io::Error>>;

impl ServerConnection {
    /// Serves the connection until it closes or has been idle for too long.
    async fn serve(self, stream: TcpStream) {
        let service = service_fn(|request| self.answer(request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // A node that closes the connection is noticed by its dropped attempt.
            _ = connection => {}
            () = self.idle() => {}
        }
    }

    /// Completes when the connection has been idle for the server's idle timeout.
    async fn idle(&self) {
        while self.open_requests.get() > 0 || self.last_used.get().elapsed() < self.run.server_idle_timeout {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Handles a request, and tracks when the connection is idle.
    async fn answer(&self, request: Request<Incoming>) -> io::Result<HttpResponse> {
        self.open_requests.set(self.open_requests.get() + 1);
        let answer = self.attempt(request).await;
        self.open_requests.set(self.open_requests.get() - 1);
        self.last_used.set(Instant::now());
        answer
    }

    /// Reports the request to the world, and answers with the reply that the world decides.
    async fn attempt(&self, request: Request<Incoming>) -> io::Result<HttpResponse> {
        let txn = request.headers().get("x-txn").and_then(|v| v.to_str().ok()).map(String::from);
        let invalid = |e| io::Error::new(io::ErrorKind::InvalidData, e);
        Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.map_err(invalid)?;
        let Some(txn) = txn else { return Ok(response(StatusCode::NOT_FOUND, "")) };
        let fresh = self.fresh.replace(false);
        let (server, zone) = (self.server, self.zone);
        let Some(attempt) = self.run.update(|world, now| world.start_attempt(now, server, zone, &txn, fresh))
        else {
            return Ok(response(StatusCode::BAD_REQUEST, ""));
        };
        let (answer, answered) = oneshot::channel();
        self.run.sockets.waiting.borrow_mut().insert(attempt, answer);
        let waiting = WaitingAttempt { run: self.run.clone(), attempt };
        let reply = answered.await;
        drop(waiting);
        match reply {
            Ok(ServerReply::Served) => Ok(response(StatusCode::OK, &self.run.world().answer_body(attempt))),
            Ok(ServerReply::Truncated) => {
                let full_length = self.run.world().answer_body(attempt);
                let first_half = Bytes::copy_from_slice(&full_length.as_bytes()[..full_length.len() / 2]);
                Ok(Response::new(
                    TruncatedBody { first_half: Some(first_half), full_length: full_length.len() as u64 }
                        .boxed_unsync(),
                ))
            }
            Ok(ServerReply::Error) => Ok(response(StatusCode::INTERNAL_SERVER_ERROR, "it failed")),
            Ok(ServerReply::TurnedAway) => {
                let mut answer = response(StatusCode::SERVICE_UNAVAILABLE, "");
                answer.headers_mut().insert("x-turned-away", hyper::header::HeaderValue::from_static("1"));
                Ok(answer)
            }
            Ok(ServerReply::Reset) | Err(_) => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }
}

fn response(status: StatusCode, body: &str) -> HttpResponse {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes())).map_err(|e: Infallible| match e {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    answer
}

/// A response body that is truncated half way.
struct TruncatedBody {
    first_half: Option<Bytes>,
    full_length: u64,
}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Poll::Ready(Some(match self.first_half.take() {
            Some(first_half) => Ok(Frame::data(first_half)),
            None => Err(io::ErrorKind::ConnectionReset.into()),
        }))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.full_length)
    }
}
