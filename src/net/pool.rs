//! Connections to servers, kept open between requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{self, Connection, SendRequest};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;
use tulipmount::{Outcome, ServerId};

use super::bodies::OutgoingBody;
use super::config::Config;
use super::head_memory::MAX_HEAD_BYTES;
use super::log;
use super::memory::{ConnectionMemory, MemoryBudget, PeerKind};
use super::socket::{HyperIo, TrackedSocket};

/// The fraction of the servers' keep-alive time after which a connection is not used any more: one that is written
/// to while its server closes it ends in a reset, which fails requests that must not be repeated.
const KEEPALIVE_FRACTION: f64 = 0.5;
/// How long a connection is not reused after a response. A second response that arrives late would be taken for the
/// response to the next request, and nothing tells the two apart.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// Errors of a connect that are not the server's fault: ENFILE, EMFILE, EADDRNOTAVAIL, ENOBUFS, ENOMEM.
const LOCAL_ERRNOS: [i32; 5] = [23, 24, 99, 105, 12];

/// A connection to a server. Between requests it is not polled; its state is checked before it is used.
pub struct ServerConnection {
    /// The socket.
    pub socket: Rc<TrackedSocket>,
    /// Sends requests on it.
    pub sender: SendRequest<OutgoingBody>,
    /// The future that drives it.
    pub driver: Connection<HyperIo, OutgoingBody>,
    /// When the connection was made, or last put into the pool.
    pub idle_since: Instant,
    _slot: Slot,
}

/// How many connections are open, and a notification for tasks that wait for one.
#[derive(Default)]
struct ConnectionCount {
    open: Cell<usize>,
    released: Notify,
}

/// The place of one open connection in the count, and its memory.
struct Slot {
    count: Rc<ConnectionCount>,
    _memory: ConnectionMemory,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.count.open.set(self.count.open.get() - 1);
        self.count.released.notify_one();
    }
}

/// Holds the idle connections to each server, and counts all open ones, idle or in use.
pub struct Pool {
    idle: RefCell<HashMap<ServerId, Vec<ServerConnection>>>,
    count: Rc<ConnectionCount>,
    memory_budget: MemoryBudget,
    /// A connection that has been idle for longer is closed.
    max_idle_time: Duration,
    /// Maximum time that an attempt waits for room for one more connection, and then, counted anew, for the connect.
    pub connect_timeout: Duration,
}

impl Pool {
    /// An empty pool, whose connections count towards the budget. Both of its times are clamped to 1 ms to 1 h.
    pub fn new(config: &Config, memory_budget: MemoryBudget) -> Self {
        let ms = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3_600_000.0) / 1000.0);
        Self {
            idle: RefCell::default(),
            count: Rc::default(),
            memory_budget,
            max_idle_time: ms(config.node_settings.keepalive * KEEPALIVE_FRACTION),
            connect_timeout: ms(config.node_settings.settings.limits.connect_timeout),
        }
    }

    /// How many connections are open, idle or in use.
    pub fn open_connections(&self) -> usize {
        self.count.open.get()
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes connections that have been idle for too long or were closed by their server, to free their
    /// descriptors.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|c| c.idle_since.elapsed() < self.max_idle_time && c.socket.is_quiet());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Takes the most recently used of the usable idle connections to a server that have been idle for at least
    /// [`REUSE_DELAY`].
    pub fn take(&self, server: ServerId) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        while let Some(index) = connections.iter().rposition(|c| c.idle_since.elapsed() >= REUSE_DELAY) {
            let connection = connections.remove(index);
            if connection.idle_since.elapsed() < self.max_idle_time && connection.socket.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection back into the pool as idle.
    pub fn put(&self, server: ServerId, mut connection: ServerConnection) {
        connection.idle_since = Instant::now();
        self.idle.borrow_mut().entry(server).or_default().push(connection);
        self.count.released.notify_one();
    }

    /// Closes idle connections until no more than `limit` are open, or none is idle.
    pub fn shrink(&self, limit: usize) {
        while self.open_connections() > limit && self.evict() {}
    }

    /// Closes the connection that has been idle for longest; false if none is idle.
    pub fn evict(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle
            .values_mut()
            .filter(|c| !c.is_empty())
            .min_by_key(|connections| connections.first().map(|c| c.idle_since))
        else {
            return false;
        };
        connections.remove(0);
        true
    }

    /// Opens a connection, or returns the outcome of the attempt without one. If this node has run out of
    /// descriptors or ports, nothing was sent, but it is not the server's fault: as a failed connect it would count
    /// towards the ejection of a healthy server.
    pub async fn connect(&self, addr: SocketAddr, limit: usize) -> Result<ServerConnection, Outcome> {
        let wait_for_room = async {
            while self.open_connections() >= limit && !self.evict() {
                self.count.released.notified().await;
            }
        };
        // All connections are in use and one may be free soon. Ending the attempt at once would only use up the
        // request's other attempts.
        timeout(self.connect_timeout, wait_for_room).await.map_err(|_| Outcome::NotSent)?;
        self.count.open.set(self.open_connections() + 1);
        let memory = self.memory_budget.add_connection(PeerKind::Server);
        let slot = Slot { count: self.count.clone(), _memory: memory };
        let stream = match timeout(self.connect_timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if LOCAL_ERRNOS.contains(&error.raw_os_error().unwrap_or(0)) => {
                self.evict();
                return Err(Outcome::NotSent);
            }
            Ok(Err(error)) => {
                log::limited(|| format!("connect to {addr} failed: {error}"));
                return Err(Outcome::ConnectFailed);
            }
            Err(_) => return Err(Outcome::ConnectFailed),
        };
        let connect_failed = Outcome::ConnectFailed;
        let socket =
            TrackedSocket::with_budget(stream, &self.memory_budget, None).map_err(|_| connect_failed)?;
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(HyperIo(socket.clone())).await;
        let (sender, driver) = handshake.map_err(|_| connect_failed)?;
        Ok(ServerConnection { socket, sender, driver, idle_since: Instant::now(), _slot: slot })
    }
}
