//! The body of a watch: the hub's lines as they come, and an empty one now and then that shows that the link works.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::time::{sleep_until, Instant, Sleep};

use crate::hub::Watcher;

/// How often an empty line goes out while there is none.
pub const EMPTY_LINE: Duration = Duration::from_secs(2);

/// One watcher's lines; ends with the watch, or when its time is over.
pub struct Lines {
    watcher: Watcher,
    empty: Pin<Box<Sleep>>,
    until: Instant,
}

impl Lines {
    /// The lines of a watch, for so long at the most.
    pub fn new(watcher: Watcher, most: Duration) -> Self {
        let now = Instant::now();
        Self { watcher, empty: Box::pin(sleep_until(now + EMPTY_LINE)), until: now + most }
    }
}

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let line = match self.watcher.poll_next_line(cx) {
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(line)) => line,
            Poll::Pending if self.empty.as_mut().poll(cx).is_pending() => return Poll::Pending,
            Poll::Pending if Instant::now() >= self.until => return Poll::Ready(None),
            Poll::Pending => Bytes::from_static(b"\n"),
        };
        self.empty.as_mut().reset(Instant::now() + EMPTY_LINE);
        Poll::Ready(Some(Ok(Frame::data(line))))
    }
}
