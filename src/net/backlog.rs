//! The listener's backlog: connections that the kernel has taken and the node has not accepted yet.
//!
//! The kernel does not tell since when a connection has waited there. The last moment at which the backlog was seen
//! empty is a bound: nothing in it can be older.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::task::unconstrained;

use super::socket::{has_unread_head, is_quiet};

/// How long the backlog may stand, never empty, before connections in it have waited for too long: as long as the time that
/// a server is told may exceed what its client has left.
const MAX_STANDING_TIME: Duration = Duration::from_millis(150);

/// A connection that was accepted and is not served yet.
pub struct AcceptedConnection {
    stream: TcpStream,
    /// The earliest moment at which bytes that wait to be read may have arrived; `None` if the connection was
    /// accepted as soon as it came, and has not waited since.
    queued_since: Option<Instant>,
}

impl AcceptedConnection {
    /// Notes that the connection has to wait. Must be called again while it waits, as what arrives between two calls
    /// counts from the first of them.
    pub fn record_wait(&mut self) {
        if self.queued_since.is_none() || is_quiet(&self.stream) {
            self.queued_since = Some(Instant::now());
        }
    }

    /// Whether its client has sent the whole head of a request.
    pub fn has_request(&self) -> bool {
        has_unread_head(&self.stream)
    }

    /// The stream, and the earliest moment at which bytes that can be read from it now may have arrived, if that may
    /// have been before now.
    pub fn into_parts(self) -> (TcpStream, Option<Instant>) {
        let queued_since = self.queued_since.filter(|_| !is_quiet(&self.stream));
        (self.stream, queued_since)
    }
}

/// A listener, and when its backlog was last seen empty.
pub struct Backlog {
    listener: TcpListener,
    last_empty: Cell<Instant>,
}

impl Backlog {
    /// The backlog of a listener that no other process has used.
    pub fn new(listener: TcpListener) -> Self {
        Self { listener, last_empty: Cell::new(Instant::now()) }
    }

    /// Notes that another process has accepted from it until now, and let connections wait as long as this one may: what
    /// it holds by now counts as having come that long ago.
    pub fn take_over(&self) {
        let now = Instant::now();
        self.last_empty.set(now.checked_sub(MAX_STANDING_TIME).unwrap_or(now));
    }

    /// Accepts the next connection, once there is one.
    ///
    /// # Errors
    /// The system's error, usually that there are too many descriptors.
    pub async fn accept(&self) -> io::Result<AcceptedConnection> {
        let mut was_empty = false;
        let next = poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            was_empty |= accepted.is_pending();
            accepted
        });
        // A task that has used up its share of a turn would be told that there is none.
        let (stream, _) = unconstrained(next).await?;
        if was_empty {
            self.last_empty.set(Instant::now());
        }
        let queued_since = (!was_empty).then(|| self.last_empty.get());
        Ok(AcceptedConnection { stream, queued_since })
    }

    /// Whether connections may have waited in it for too long.
    pub fn is_overdue(&self) -> bool {
        self.last_empty.get().elapsed() >= MAX_STANDING_TIME
    }
}
