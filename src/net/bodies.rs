//! Bodies on their way through the node.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{sleep_until, Sleep};

/// How slowly a body may come.
#[derive(Clone, Copy)]
pub struct Pace {
    /// How long it may be waited for in all, ...
    pub wait: Duration,
    /// ... and how much longer for each KiB that has come.
    pub per_kib: Duration,
}

/// Why a body ended early.
#[derive(Debug)]
pub enum Cut {
    /// It came too slowly.
    Slow,
    /// Its connection broke, or it can't be read.
    Broken(hyper::Error),
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Slow => write!(f, "came too slowly"),
            Self::Broken(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for Cut {}

/// A body whose sender is waited for only as long as it keeps its pace. While nobody asks for more, no time
/// counts against it.
pub struct Paced {
    body: Incoming,
    pace: Pace,
    /// What was waited in all, and since when it is waited now.
    waited: Duration,
    since: Option<Instant>,
    came: usize,
    late: Pin<Box<Sleep>>,
}

impl Paced {
    /// Nothing has come yet, and nothing was asked for.
    pub fn new(body: Incoming, pace: Pace) -> Self {
        let late = Box::pin(sleep_until(Instant::now().into()));
        Self { body, pace, waited: Duration::ZERO, since: None, came: 0, late }
    }
}

impl Body for Paced {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let this = &mut *self;
        let frame = match Pin::new(&mut this.body).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                if this.since.is_none() {
                    let now = Instant::now();
                    let kib = u32::try_from(this.came / 1024).unwrap_or(u32::MAX);
                    let allowed = this.pace.wait + this.pace.per_kib * kib;
                    this.since = Some(now);
                    this.late.as_mut().reset((now + allowed.saturating_sub(this.waited)).into());
                }
                ready!(this.late.as_mut().poll(cx));
                return Poll::Ready(Some(Err(Cut::Slow)));
            }
        };
        if let Some(since) = this.since.take() {
            this.waited += since.elapsed();
        }
        if let Some(data) = frame.as_ref().and_then(|f| f.as_ref().ok()?.data_ref()) {
            this.came += data.len();
        }
        Poll::Ready(frame.map(|f| f.map_err(Cut::Broken)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
