//! The body of a watch: the hub's lines as they are published, and an empty line at intervals as keep-alive.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::time::{sleep_until, Instant, Sleep};

use crate::hub::Watcher;

/// The interval between empty lines while no other line is sent.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// One watcher's lines; ends with the watch, or at its maximum age.
pub struct WatchBody {
    watcher: Watcher,
    keep_alive: Pin<Box<Sleep>>,
    ends_at: Instant,
}

impl WatchBody {
    /// Creates the body of a watch that ends after `max_age` at the latest.
    pub fn new(watcher: Watcher, max_age: Duration) -> Self {
        let now = Instant::now();
        let keep_alive = Box::pin(sleep_until(now + KEEP_ALIVE_INTERVAL));
        Self { watcher, keep_alive, ends_at: now + max_age }
    }
}

impl Body for WatchBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let line = match self.watcher.poll_next_line(cx) {
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(line)) => line,
            Poll::Pending if self.keep_alive.as_mut().poll(cx).is_pending() => return Poll::Pending,
            Poll::Pending if Instant::now() >= self.ends_at => return Poll::Ready(None),
            Poll::Pending => Bytes::from_static(b"\n"),
        };
        self.keep_alive.as_mut().reset(Instant::now() + KEEP_ALIVE_INTERVAL);
        Poll::Ready(Some(Ok(Frame::data(line))))
    }
}
