//! The listener's backlog: connections that the kernel has taken and the node has not accepted yet.
//!
//! The kernel does not tell since when a connection has waited there. The last moment at which the backlog was seen
//! empty is a bound: nothing in it can be older.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::unconstrained;

use super::listen::ACCEPT_BACKLOG;

/// How long the backlog may stand, never empty, before what it holds has waited for too long: as long as the time that
/// a server is told may exceed what its client has left.
const MAX_STANDING_TIME: Duration = Duration::from_millis(150);

/// A listener, and when its backlog was last seen empty.
pub struct Backlog {
    listener: TcpListener,
    last_empty: Cell<Instant>,
}

impl Backlog {
    /// The backlog of a listener. What it holds by now counts as having come now.
    pub fn new(listener: TcpListener) -> Self {
        Self { listener, last_empty: Cell::new(Instant::now()) }
    }

    /// Accepts the next connection, once there is one.
    ///
    /// # Errors
    /// The system's error, usually that there are too many descriptors.
    pub async fn accept(&self) -> io::Result<TcpStream> {
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
        Ok(stream)
    }

    /// Whether connections may have waited in it for too long.
    pub fn is_overdue(&self) -> bool {
        self.last_empty.get().elapsed() >= MAX_STANDING_TIME
    }

    /// Closes unread what waits in it; returns how many connections. More may come meanwhile, without end, so that it
    /// is not empty after as many as it holds.
    pub fn close_queued(&self) -> usize {
        let listener = SockRef::from(&self.listener);
        for closed in 0..ACCEPT_BACKLOG {
            match listener.accept() {
                Ok(_) => {}
                Err(error) => {
                    if error.kind() == io::ErrorKind::WouldBlock {
                        self.last_empty.set(Instant::now());
                    }
                    return closed;
                }
            }
        }
        ACCEPT_BACKLOG
    }
}
