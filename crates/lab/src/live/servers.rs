//! The app servers' side of the sockets. One listener for each server and zone of nodes tells who calls from where;
//! all that a server decides is the world's.

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

use super::{LabError, Stage};
use crate::world::{Reachability, ServerReply};

/// Connections that the kernel may hold until they are accepted.
const BACKLOG: i32 = 1024;
/// The largest body of a request.
const BODY_MOST: usize = 64 * 1024;
/// How often idle connections are looked at.
const LOOK: Duration = Duration::from_millis(250);

/// All listeners and connections of the servers.
#[derive(Default)]
pub struct Doors {
    doors: RefCell<HashMap<(usize, usize), Door>>,
    /// By server, and zone of the nodes.
    conns: RefCell<HashMap<(usize, usize), JoinSet<()>>>,
    waiting: RefCell<HashMap<usize, oneshot::Sender<ServerReply>>>,
}

/// One listener.
struct Door {
    listener: Rc<TcpListener>,
    /// Accepts, while the door is open.
    accepting: Option<AbortHandle>,
    /// Fills the kernel's queue, while nothing may come up.
    filler: Option<AbortHandle>,
}

impl Drop for Door {
    fn drop(&mut self) {
        // The tasks hold the listener until they are run once more; nobody may come in by then, and where the lab is
        // late the server may have to listen here again.
        let _ = SockRef::from(&*self.listener).shutdown(Shutdown::Both);
        for task in [self.accepting.take(), self.filler.take()].into_iter().flatten() {
            task.abort();
        }
    }
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

impl Doors {
    /// From now on new connections fare so.
    ///
    /// # Errors
    /// Where an address can't be listened at.
    pub fn set(
        &self,
        stage: &Rc<Stage>,
        server: usize,
        zone: usize,
        reach: Reachability,
    ) -> Result<(), LabError> {
        let mut doors = self.doors.borrow_mut();
        if reach == Reachability::Refused {
            doors.remove(&(server, zone));
            return Ok(());
        }
        let at = stage.addresses.server(server, zone);
        let fail = |source: io::Error| LabError::Listen { at, source };
        let door = match doors.entry((server, zone)) {
            std::collections::hash_map::Entry::Occupied(door) => door.into_mut(),
            std::collections::hash_map::Entry::Vacant(place) => {
                let listener = Rc::new(listen(at).map_err(fail)?);
                place.insert(Door { listener, accepting: None, filler: None })
            }
        };
        match reach {
            Reachability::Open if door.accepting.is_none() => {
                if let Some(filler) = door.filler.take() {
                    filler.abort();
                }
                SockRef::from(&*door.listener).listen(BACKLOG).map_err(fail)?;
                let accept = accept(stage.clone(), door.listener.clone(), server, zone);
                door.accepting = Some(tokio::task::spawn_local(accept).abort_handle());
            }
            Reachability::Unreachable if door.filler.is_none() => {
                if let Some(accepting) = door.accepting.take() {
                    accepting.abort();
                }
                // With its queue full, the kernel answers no one who calls: the call never comes up.
                SockRef::from(&*door.listener).listen(0).map_err(fail)?;
                door.filler = Some(tokio::task::spawn_local(fill(at)).abort_handle());
            }
            _ => {}
        }
        Ok(())
    }

    /// All connections to a server end, or those from one zone.
    pub fn drop_connections(&self, server: usize, zone: Option<usize>) {
        let ends = |(s, z): &(usize, usize)| *s == server && zone.is_none_or(|zone| zone == *z);
        for (_, mut conns) in self.conns.borrow_mut().extract_if(|place, _| ends(place)) {
            conns.abort_all();
            conns.detach_all();
        }
    }

    /// What an attempt gets has reached its node.
    pub fn reply(&self, attempt: usize, reply: ServerReply) {
        if let Some(to) = self.waiting.borrow_mut().remove(&attempt) {
            // A node that no longer waits has closed its connection.
            let _ = to.send(reply);
        }
    }
}

/// Takes up the places of the kernel's queue, and keeps them.
async fn fill(at: SocketAddr) {
    let mut held = Vec::new();
    loop {
        match tokio::time::timeout(LOOK, TcpStream::connect(at)).await {
            Ok(Ok(stream)) => held.push(stream),
            // The queue is full: that is what is wanted.
            Ok(Err(_)) | Err(_) => std::future::pending::<()>().await,
        }
    }
}

async fn accept(stage: Rc<Stage>, listener: Rc<TcpListener>, server: usize, zone: usize) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(LOOK).await;
            continue;
        };
        // A server's connections end with a reset when it does, and so do idle ones that it closes.
        let ready = stream.set_nodelay(true).and_then(|()| stream.set_zero_linger());
        if ready.is_err() {
            continue;
        }
        let Some(life) = stage.with(|world, now| world.connect(now, server)) else { continue };
        tracing::trace!(server, zone, %from, "connection");
        let conn = Conn {
            stage: stage.clone(),
            server,
            zone,
            life,
            fresh: Cell::new(true),
            open: Cell::new(0),
            last: Cell::new(Instant::now()),
        };
        let mut conns = stage.doors.conns.borrow_mut();
        let conns = conns.entry((server, zone)).or_default();
        while conns.try_join_next().is_some() {}
        conns.spawn_local(conn.serve(stream));
    }
}

/// One connection of a node.
struct Conn {
    stage: Rc<Stage>,
    server: usize,
    zone: usize,
    life: u32,
    /// No request has come yet.
    fresh: Cell<bool>,
    open: Cell<usize>,
    last: Cell<Instant>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.stage.with(|world, now| world.disconnect(now, self.server, self.life));
    }
}

/// An attempt whose node waits; when it is dropped the node no longer does.
struct Held {
    stage: Rc<Stage>,
    attempt: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.stage.doors.waiting.borrow_mut().remove(&self.attempt);
        self.stage.with(|world, now| world.attempt_closed(now, self.attempt));
    }
}

type Answer = Response<UnsyncBoxBody<Bytes, io::Error>>;

impl Conn {
    async fn serve(self, stream: TcpStream) {
        let service = service_fn(|request| self.answer(request));
        let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // A node that breaks off is seen by what it had sent.
            _ = conn => {}
            () = self.idle() => {}
        }
    }

    /// Ends when the connection has been idle for as long as it may.
    async fn idle(&self) {
        while self.open.get() > 0 || self.last.get().elapsed() < self.stage.idle {
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> io::Result<Answer> {
        self.open.set(self.open.get() + 1);
        let answer = self.attempt(request).await;
        self.open.set(self.open.get() - 1);
        self.last.set(Instant::now());
        answer
    }

    async fn attempt(&self, request: Request<Incoming>) -> io::Result<Answer> {
        let txn = request.headers().get("x-txn").and_then(|v| v.to_str().ok()).map(String::from);
        let broken = |e| io::Error::new(io::ErrorKind::InvalidData, e);
        Limited::new(request.into_body(), BODY_MOST).collect().await.map_err(broken)?;
        let Some(txn) = txn else { return Ok(plain(StatusCode::NOT_FOUND, "")) };
        let fresh = self.fresh.replace(false);
        let (server, zone) = (self.server, self.zone);
        let Some(attempt) = self.stage.with(|world, now| world.start_attempt(now, server, zone, &txn, fresh))
        else {
            return Ok(plain(StatusCode::BAD_REQUEST, ""));
        };
        let (answer, answered) = oneshot::channel();
        self.stage.doors.waiting.borrow_mut().insert(attempt, answer);
        let held = Held { stage: self.stage.clone(), attempt };
        let reply = answered.await;
        drop(held);
        match reply {
            Ok(ServerReply::Served) => Ok(plain(StatusCode::OK, &self.stage.world().answer_body(attempt))),
            Ok(ServerReply::Truncated) => {
                let whole = self.stage.world().answer_body(attempt);
                let half = Bytes::copy_from_slice(&whole.as_bytes()[..whole.len() / 2]);
                Ok(Response::new(Broken { half: Some(half), whole: whole.len() as u64 }.boxed_unsync()))
            }
            Ok(ServerReply::Error) => Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, "it failed")),
            Ok(ServerReply::TurnedAway) => {
                let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "");
                answer.headers_mut().insert("x-turned-away", hyper::header::HeaderValue::from_static("1"));
                Ok(answer)
            }
            Ok(ServerReply::Reset) | Err(_) => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }
}

fn plain(status: StatusCode, words: &str) -> Answer {
    let body = Full::new(Bytes::copy_from_slice(words.as_bytes())).map_err(|e: Infallible| match e {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    answer
}

/// A body that breaks off half way.
struct Broken {
    half: Option<Bytes>,
    whole: u64,
}

impl Body for Broken {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Poll::Ready(Some(match self.half.take() {
            Some(half) => Ok(Frame::data(half)),
            None => Err(io::ErrorKind::ConnectionReset.into()),
        }))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.whole)
    }
}
