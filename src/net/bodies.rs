//! Request and response bodies on their way through the node: buffered, or streamed within limits.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Sleep};

use super::memory::{MemoryBudget, OutOfMemory, Purpose, Reservation};
use super::metrics::{RequestGuard, RequestOutcome};

/// How slowly a body may arrive, and how long it may be.
#[derive(Clone, Copy)]
pub struct BodyLimits {
    /// How long its sender may be waited for.
    pub max_wait: MaxWait,
    /// The most bytes.
    pub max_bytes: usize,
}

/// How long the sender of a body may be waited for.
#[derive(Clone, Copy)]
pub enum MaxWait {
    /// In total.
    Total {
        /// Before anything was received.
        initial: Duration,
        /// How much longer with each KiB received.
        extra_per_kib: Duration,
    },
    /// For the next bytes, however long it takes until the end.
    Silence(Duration),
}

impl MaxWait {
    /// How long the sender of a body may be waited for now of which this many bytes were received, after this time of
    /// waiting in total.
    fn left(self, received: usize, waited: Duration) -> Duration {
        match self {
            Self::Total { initial, extra_per_kib } => {
                let kib = u32::try_from(received / 1024).unwrap_or(u32::MAX);
                (initial + extra_per_kib * kib).saturating_sub(waited)
            }
            Self::Silence(max) => max,
        }
    }
}

/// Why a body ended early.
#[derive(Debug)]
pub enum BodyError {
    /// It arrived too slowly.
    TooSlow,
    /// It exceeds its limit.
    TooLong,
    /// The memory budget had no room to stream it.
    NoMemory,
    /// Its connection failed, or its framing is invalid.
    Connection(hyper::Error),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooSlow => write!(f, "arrived too slowly"),
            Self::TooLong => write!(f, "longer than the limit"),
            Self::NoMemory => write!(f, "no memory left to stream it"),
            Self::Connection(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for BodyError {}

impl From<OutOfMemory> for BodyError {
    fn from(_: OutOfMemory) -> Self {
        Self::NoMemory
    }
}

/// A body with limits on its length and on the time that its sender may be waited for. Time counts only while the
/// reader asks for more.
pub struct LimitedBody {
    body: Incoming,
    limits: BodyLimits,
    /// The time waited so far, and since when the reader has been waiting.
    waited: Duration,
    waiting_since: Option<Instant>,
    received: usize,
    /// Created at the first wait: most bodies arrive at once, or are empty.
    timeout: Option<Pin<Box<Sleep>>>,
}

impl LimitedBody {
    /// A body of which nothing has been read.
    pub fn new(body: Incoming, limits: BodyLimits) -> Self {
        Self { body, limits, waited: Duration::ZERO, waiting_since: None, received: 0, timeout: None }
    }
}

impl LimitedBody {
    /// Whether it may be too long to be held as a whole.
    pub fn may_be_long(&self) -> bool {
        self.length().is_none_or(|length| length > MAX_BUFFERED_BYTES)
    }

    /// Its length, if it is known.
    fn length(&self) -> Option<usize> {
        self.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX))
    }
}

impl Body for LimitedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let frame = match Pin::new(&mut this.body).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                let timeout =
                    this.timeout.get_or_insert_with(|| Box::pin(sleep_until(Instant::now().into())));
                if this.waiting_since.is_none() {
                    let now = Instant::now();
                    this.waiting_since = Some(now);
                    let left = this.limits.max_wait.left(this.received, this.waited);
                    timeout.as_mut().reset((now + left).into());
                }
                ready!(timeout.as_mut().poll(cx));
                return Poll::Ready(Some(Err(BodyError::TooSlow)));
            }
        };
        if let Some(since) = this.waiting_since.take() {
            this.waited += since.elapsed();
        }
        if let Some(data) = frame.as_ref().and_then(|f| f.as_ref().ok()?.data_ref()) {
            this.received += data.len();
            if this.received > this.limits.max_bytes {
                return Poll::Ready(Some(Err(BodyError::TooLong)));
            }
        }
        Poll::Ready(frame.map(|f| f.map_err(BodyError::Connection)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// How far a streamed body has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// More of it is to come.
    Streaming,
    /// All of it was passed on.
    Complete,
    /// Its sender broke off, was too slow, or sent too much.
    Failed,
    /// The receiver is gone before its end.
    Dropped,
}

/// Observes a streamed body: its state, and since when all of it may have been sent.
#[derive(Clone)]
pub struct BodyMonitor(Rc<MonitorState>);

struct MonitorState {
    state: Cell<BodyState>,
    arrived_at: Cell<Option<Instant>>,
    changed: Notify,
}

impl BodyMonitor {
    /// A monitor for a body of which nothing has been passed on.
    fn new() -> Self {
        let state = Cell::new(BodyState::Streaming);
        Self(Rc::new(MonitorState { state, arrived_at: Cell::new(None), changed: Notify::new() }))
    }

    /// The body's state.
    pub fn state(&self) -> BodyState {
        self.0.state.get()
    }

    /// Waits until the body is no longer streaming, and returns its state.
    pub async fn ended(&self) -> BodyState {
        while self.state() == BodyState::Streaming {
            self.changed().await;
        }
        self.state()
    }

    /// Waits until the state or the time of arrival changes.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    /// Since when the whole body may have been sent, passed on or not; `None` while more of it must come.
    pub fn arrived_at(&self) -> Option<Instant> {
        self.0.arrived_at.get()
    }

    /// Sets since when the whole body may have been sent, while it is streaming.
    pub fn set_arrived_at(&self, at: Option<Instant>) {
        if self.state() == BodyState::Streaming && self.0.arrived_at.replace(at) != at {
            self.0.changed.notify_waiters();
        }
    }

    fn finish(&self, state: BodyState) {
        if self.state() == BodyState::Streaming {
            self.0.arrived_at.set(self.arrived_at().or_else(|| Some(Instant::now())));
            self.0.state.set(state);
            self.0.changed.notify_waiters();
        }
    }
}

/// Longer than any request lasts.
const FOREVER: Duration = Duration::from_secs(86_400);
/// The memory that a streamed body takes: pieces in hand, and those that a connection has queued to be written.
const STREAMING_BYTES: usize = 48 * 1024;
/// The memory of a body of unknown length: it is copied into a buffer that doubles as it grows.
const UNKNOWN_LENGTH_BYTES: usize = 2 * MAX_BUFFERED_BYTES;
/// The longest body that is buffered.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// A body as far as it was read before it is passed on.
pub enum ReceivedBody {
    /// All of it. Keeps its part of the budget until it is dropped.
    Buffered(Bytes),
    /// Its beginning; the rest is streamed.
    Streaming(StreamingBody),
}

/// What memory for a body is reserved for.
#[derive(Clone, Copy)]
pub struct BodyPurpose {
    /// To hold a short one as a whole.
    short: Purpose,
    /// To stream a long one.
    long: Purpose,
}

impl BodyPurpose {
    /// For the body of a request.
    pub const REQUEST: Self = Self { short: Purpose::RequestBody, long: Purpose::LongRequestBody };
    /// For the body of a response.
    pub const RESPONSE: Self = Self { short: Purpose::ResponseBody, long: Purpose::LongResponseBody };

    /// Reserves memory for a body. `None` if there is none: then it has to be streamed in single pieces, which is within the
    /// memory of its request.
    pub fn try_reserve(self, body: &LimitedBody, budget: &MemoryBudget) -> Option<Reservation> {
        let (bytes, purpose) = self.needed(body);
        budget.try_reserve(bytes, purpose).ok()
    }

    /// Reserves memory for a body as [`Self::try_reserve`] does, but a long one waits for it until `deadline`.
    ///
    /// # Errors
    /// [`OutOfMemory`] for a long one.
    pub async fn reserve(
        self,
        body: &LimitedBody,
        budget: &MemoryBudget,
        deadline: Instant,
    ) -> Result<Option<Reservation>, OutOfMemory> {
        match self.needed(body) {
            (bytes, purpose) if purpose == self.long => {
                budget.reserve(bytes, purpose, deadline).await.map(Some)
            }
            _ => Ok(self.try_reserve(body, budget)),
        }
    }

    fn needed(self, body: &LimitedBody) -> (usize, Purpose) {
        match body.length() {
            Some(length) if length > MAX_BUFFERED_BYTES => (STREAMING_BYTES, self.long),
            length => (length.unwrap_or(UNKNOWN_LENGTH_BYTES), self.short),
        }
    }
}

/// Reads a body as a whole if it is short and has memory reserved for it, else only up to its first bytes. One of unknown
/// length is buffered for up to `buffer_time` after its first bytes, if that is limited. The rest is streamed in any case
/// once `until` is over, also if nothing has come yet.
///
/// # Errors
/// A [`BodyError`] if the body breaks one of its limits or its connection fails.
pub async fn receive(
    mut body: LimitedBody,
    reservation: Option<Reservation>,
    buffer_time: Option<Duration>,
    until: impl Future<Output = ()>,
) -> Result<ReceivedBody, BodyError> {
    let length = body.length();
    let buffer_time = buffer_time.unwrap_or(FOREVER);
    let mut until = pin!(until);
    let max_buffered = if length.is_some_and(|length| length > MAX_BUFFERED_BYTES) || reservation.is_none() {
        0
    } else {
        MAX_BUFFERED_BYTES
    };
    // Grown step by step it would be copied, and could take twice its length.
    let mut bytes = BytesMut::with_capacity(length.unwrap_or(0).min(max_buffered));
    let mut buffer_timeout = pin!(tokio::time::sleep(FOREVER));
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut buffer_timeout => break,
            () = &mut until => break,
        };
        let Some(frame) = frame else {
            let Some(mut reservation) = reservation else {
                return Ok(ReceivedBody::Buffered(bytes.freeze()));
            };
            reservation.shrink(bytes.len());
            return Ok(ReceivedBody::Buffered(Arc::new(reservation).hold(bytes.freeze())));
        };
        let Ok(data) = frame?.into_data() else { continue };
        if length.is_none() && bytes.is_empty() {
            buffer_timeout.as_mut().reset((Instant::now() + buffer_time).into());
        }
        bytes.extend_from_slice(&data);
        if bytes.len() > max_buffered {
            break;
        }
    }
    Ok(ReceivedBody::Streaming(StreamingBody::new(bytes.freeze(), body, reservation)))
}

/// A body to be sent.
pub enum OutgoingBody {
    /// Buffered; `None` once it was handed over, or if it is empty.
    Buffered(Option<Bytes>),
    /// Passed on as it arrives. Boxed, as each connection to a server has room for many of these.
    Streaming(Box<StreamingBody>),
}

/// What an open request holds until its response has ended.
pub struct RequestHold {
    /// Its place in the metrics.
    pub metrics: RequestGuard,
    /// The memory of the request itself, and of single pieces of its bodies.
    _memory: Reservation,
}

impl RequestHold {
    /// What a request holds that has just been taken.
    pub fn new(metrics: RequestGuard, memory: Reservation) -> Self {
        Self { metrics, _memory: memory }
    }
}

/// A body that is passed on as it arrives.
pub struct StreamingBody {
    /// The part that was read before.
    first: Option<Bytes>,
    rest: LimitedBody,
    monitor: BodyMonitor,
    /// What the request holds that ends with this body.
    request: Option<Box<RequestHold>>,
    /// Its part of the budget; a short body that found no room is streamed without one.
    reservation: Option<Arc<Reservation>>,
    /// Ends once the last piece was written, if there is no reservation.
    piece_in_hand: Option<oneshot::Receiver<Infallible>>,
}

/// A piece of a body without a reservation.
struct PieceInHand {
    bytes: Bytes,
    _written: oneshot::Sender<Infallible>,
}

impl AsRef<[u8]> for PieceInHand {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl StreamingBody {
    /// A body of which `first` has been read.
    fn new(first: Bytes, rest: LimitedBody, reservation: Option<Reservation>) -> Self {
        let first = Some(first).filter(|f| !f.is_empty());
        let reservation = reservation.map(Arc::new);
        Self { first, rest, monitor: BodyMonitor::new(), request: None, reservation, piece_in_hand: None }
    }

    /// The next piece, or the trailers. Without a reservation the node holds one piece at a time.
    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(written) = &mut self.piece_in_hand {
            let _ = ready!(Pin::new(written).poll(cx));
            self.piece_in_hand = None;
        }
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(self.hold(first)))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        match &frame {
            // Nothing follows trailers, and hyper does not ask for more.
            Some(Ok(frame)) if frame.is_data() && !self.rest.is_end_stream() => {}
            Some(Ok(_)) | None => self.finish(BodyState::Complete),
            Some(Err(_)) => self.finish(BodyState::Failed),
        }
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(|piece| self.hold(piece)))))
    }

    /// The same bytes, whose memory is counted until they are written.
    fn hold(&mut self, piece: Bytes) -> Bytes {
        if let Some(reservation) = &self.reservation {
            return reservation.hold(piece);
        }
        let (written, piece_in_hand) = oneshot::channel();
        self.piece_in_hand = Some(piece_in_hand);
        Bytes::from_owner(PieceInHand { bytes: piece, _written: written })
    }

    /// Whether some of it has been received.
    pub fn has_begun(&self) -> bool {
        self.rest.received > 0
    }

    /// The monitor of its state.
    pub fn monitor(&self) -> BodyMonitor {
        self.monitor.clone()
    }

    /// The length in bytes of what is still to be passed on, if it is known.
    pub fn length(&self) -> Option<u64> {
        let first = self.first.as_ref().map_or(0, |f| f.len() as u64);
        self.rest.size_hint().exact().map(|rest| first + rest)
    }

    /// Takes over what a request holds until this body ends or is dropped. The request is counted then: as a success if all
    /// of the body was passed on, else as an error.
    pub fn hold_request_until_end(&mut self, request: RequestHold) {
        self.request = Some(Box::new(request));
    }

    fn finish(&mut self, state: BodyState) {
        self.monitor.finish(state);
        if let Some(mut request) = self.request.take() {
            request.metrics.outcome = if self.monitor.state() == BodyState::Complete {
                RequestOutcome::Success
            } else {
                RequestOutcome::Error
            };
        }
    }
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        // A body of known length is not polled again after its last byte.
        let complete = self.first.is_none() && self.rest.is_end_stream();
        self.finish(if complete { BodyState::Complete } else { BodyState::Dropped });
    }
}

impl OutgoingBody {
    /// A body that is passed on as it arrives.
    pub fn streaming(body: StreamingBody) -> Self {
        Self::Streaming(Box::new(body))
    }

    /// A buffered body.
    pub fn buffered(body: Bytes) -> Self {
        Self::Buffered(Some(body).filter(|body| !body.is_empty()))
    }

    /// The monitor of a streamed body; `None` for a buffered one.
    pub fn monitor(&self) -> Option<BodyMonitor> {
        match self {
            Self::Buffered(..) => None,
            Self::Streaming(streaming) => Some(streaming.monitor()),
        }
    }

    /// The length in bytes, if it is known.
    pub fn length(&self) -> Option<u64> {
        self.size_hint().exact()
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Buffered(buffered) => Poll::Ready(buffered.take().map(|body| Ok(Frame::data(body)))),
            Self::Streaming(streaming) => streaming.poll_piece(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(buffered) => buffered.is_none(),
            Self::Streaming(streaming) => streaming.first.is_none() && streaming.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(buffered) => {
                SizeHint::with_exact(buffered.as_ref().map_or(0, |body| body.len() as u64))
            }
            Self::Streaming(streaming) => streaming.length().map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}
