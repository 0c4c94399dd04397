//! A TCP socket that hyper drives and that the node observes: how much of a message the kernel has accepted, and
//! whether the peer has closed.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;

use super::bodies::{BodyMonitor, BodyState, OutgoingBody, MAX_BUFFERED_BYTES};
use super::head_memory::HeadMemory;
use super::memory::MemoryBudget;

/// The most bytes of one read. It stays below the 8 KiB with which hyper's read buffers begin: a read that fills a buffer
/// doubles it, and a connection keeps that buffer while it is idle.
const READ_BYTES: usize = 8 * 1024 - 1;
/// The size of the kernel's buffers in each direction for a long body.
const KERNEL_BUFFER_BYTES: usize = 128 * 1024;
/// The response to a request whose head cannot be read for want of memory.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// So many unread bytes may fill the kernel's buffer, and then the peer's close waits behind them at the peer.
const CLOSE_HIDING_BYTES: usize = 32 * 1024;
/// More unread bytes of a message than the kernels at both ends of a connection hold together.
const MAX_UNREAD_BYTES: u64 = 8 << 20;

/// The length of the body of a message that is written.
pub enum BodyLength {
    /// This many bytes.
    Known(u64),
    /// Chunked, until the streamed body is complete.
    Chunked(BodyMonitor),
}

impl BodyLength {
    /// The length of a body.
    pub fn of(body: &OutgoingBody) -> Self {
        match (body.length(), body.monitor()) {
            (None, Some(monitor)) => Self::Chunked(monitor),
            (length, _) => Self::Known(length.unwrap_or(0)),
        }
    }
}

/// How a chunked message without trailers ends.
const LAST_CHUNK: &[u8; 5] = b"0\r\n\r\n";
/// How any chunked message ends.
const EMPTY_LINE: &[u8; 4] = b"\r\n\r\n";

/// How much of one HTTP message has passed.
#[derive(Default)]
struct MessageProgress {
    started: bool,
    /// How many bytes of the head have passed.
    head_bytes: usize,
    /// The last five bytes so far.
    tail: [u8; 5],
    /// How many bytes have passed after the head; `None` until the head is complete.
    body_bytes: Option<u64>,
}

impl MessageProgress {
    fn record(&mut self, bytes: &[u8]) {
        self.started |= !bytes.is_empty();
        let mut rest = bytes;
        while self.body_bytes.is_none() {
            let Some((byte, after)) = rest.split_first() else { return };
            self.tail.rotate_left(1);
            self.tail[4] = *byte;
            self.head_bytes += 1;
            rest = after;
            if self.tail.ends_with(b"\r\n\r\n") {
                self.body_bytes = Some(0);
            }
        }
        self.body_bytes = self.body_bytes.map(|body| body + rest.len() as u64);
        let last = &rest[rest.len().saturating_sub(5)..];
        self.tail.copy_within(last.len().., 0);
        self.tail[5 - last.len()..].copy_from_slice(last);
    }
}

/// Which headers of a request's head frame its body, as sent: of two that contradict each other hyper drops one.
#[derive(Default)]
struct FramingHeaders {
    /// The beginning of the current line.
    line: Vec<u8>,
    has_length: bool,
    has_encoding: bool,
    complete: bool,
}

impl FramingHeaders {
    const ENCODING: &[u8] = b"transfer-encoding:";
    const LENGTH: &[u8] = b"content-length:";

    fn record(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                _ if self.complete => return,
                b'\r' => {}
                b'\n' => {
                    self.complete = self.line.is_empty();
                    self.has_encoding |= self.line == Self::ENCODING;
                    self.has_length |= self.line.starts_with(Self::LENGTH);
                    self.line.clear();
                }
                byte if self.line.len() < Self::ENCODING.len() => self.line.push(byte.to_ascii_lowercase()),
                _ => {}
            }
        }
    }
}

/// The state of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing has been received yet.
    New,
    /// Between requests.
    Idle,
    /// A request's head is being received.
    ReadingHead,
    /// The head is complete, and the node is not ready to read the body: mostly as there is no memory for the request yet.
    WaitingForMemory,
    /// The head is complete and the body is being received.
    ReadingBody,
    /// A request is being served.
    Serving,
    /// A response is being sent.
    Responding,
    /// The last response is sent; what still arrives is discarded.
    Closing,
}

impl Phase {
    /// All phases, in the order of a request.
    pub const ALL: [Self; 8] = [
        Self::New,
        Self::Idle,
        Self::ReadingHead,
        Self::WaitingForMemory,
        Self::ReadingBody,
        Self::Serving,
        Self::Responding,
        Self::Closing,
    ];

    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Idle => "idle",
            Self::ReadingHead => "reading a head",
            Self::WaitingForMemory => "waiting for memory",
            Self::ReadingBody => "reading a body",
            Self::Serving => "serving",
            Self::Responding => "responding",
            Self::Closing => "closing",
        }
    }
}

/// Whether there is nothing to read and the peer has not closed. Asks the kernel, as the runtime's knowledge may be one
/// turn of its loop old.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    let peeked = SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Whether the unread bytes hold the whole head of a request, or are more than one read takes.
pub fn has_unread_head(stream: &TcpStream) -> bool {
    let mut peeked = [MaybeUninit::uninit(); READ_BYTES];
    let Ok(length) = SockRef::from(stream).peek(&mut peeked) else { return false };
    // SAFETY: the kernel has written this many bytes of the buffer, which lives as long as the slice.
    #[allow(unsafe_code)]
    let bytes = unsafe { std::slice::from_raw_parts(peeked.as_ptr().cast::<u8>(), length) };
    let has_empty_line =
        bytes.windows(3).any(|end| end == b"\n\r\n") || bytes.windows(2).any(|end| end == b"\n\n");
    has_empty_line || length == READ_BYTES
}

/// A socket whose messages are tracked.
pub struct TrackedSocket {
    stream: TcpStream,
    sent: RefCell<MessageProgress>,
    /// The length of the body that is written.
    sent_length: RefCell<BodyLength>,
    /// When the kernel last accepted bytes.
    last_write: Cell<Instant>,
    /// Incremented once the kernel has accepted the message's last byte.
    sent_counter: RefCell<Option<Rc<Cell<u64>>>>,
    /// What was received since the message was begun.
    received: RefCell<MessageProgress>,
    phase: Cell<Phase>,
    /// When the phase began; for the first request's head, when the connection was accepted.
    phase_since: Cell<Instant>,
    /// When the request that is read or served began to arrive.
    request_started: Cell<Instant>,
    /// When bytes were last received.
    last_received: Cell<Instant>,
    /// When the last received bytes arrived, at the earliest.
    last_arrival: Cell<Instant>,
    /// The earliest moment at which the bytes that are read next may have arrived; `None` if they are read as they come.
    unread_since: Cell<Option<Instant>>,
    /// The framing headers of the request.
    framing: RefCell<FramingHeaders>,
    /// The memory of the head that is being received.
    head_memory: HeadMemory,
    may_hide_close: Cell<bool>,
    /// Whether a read has found the end of the connection, or its failure.
    read_ended: Cell<bool>,
}

impl TrackedSocket {
    /// Takes over a connected stream and turns off Nagle's algorithm.
    ///
    /// # Errors
    /// The system's error if the socket is already broken.
    pub fn new(stream: TcpStream) -> io::Result<Rc<Self>> {
        Self::build(stream, None, None)
    }

    /// Takes over a connected stream like [`Self::new`], and counts the heads that it receives towards the budget. If it
    /// holds unread bytes, they may have arrived as early as `unread_since`.
    ///
    /// # Errors
    /// The system's error if the socket is already broken.
    pub fn with_budget(
        stream: TcpStream,
        budget: &MemoryBudget,
        unread_since: Option<Instant>,
    ) -> io::Result<Rc<Self>> {
        Self::build(stream, Some(budget.clone()), unread_since)
    }

    fn build(
        stream: TcpStream,
        budget: Option<MemoryBudget>,
        unread_since: Option<Instant>,
    ) -> io::Result<Rc<Self>> {
        stream.set_nodelay(true)?;
        let now = Instant::now();
        Ok(Rc::new(Self {
            stream,
            sent: RefCell::default(),
            sent_length: RefCell::new(BodyLength::Known(0)),
            last_write: Cell::new(now),
            sent_counter: RefCell::default(),
            received: RefCell::default(),
            phase: Cell::new(Phase::New),
            phase_since: Cell::new(now),
            request_started: Cell::new(now),
            last_received: Cell::new(now),
            last_arrival: Cell::new(now),
            unread_since: Cell::new(unread_since),
            framing: RefCell::default(),
            head_memory: HeadMemory::new(budget),
            may_hide_close: Cell::new(false),
            read_ended: Cell::new(false),
        }))
    }

    /// Tracks a message that is about to be written; `sent_counter` is incremented once all of it is sent.
    pub fn begin_message(&self, length: BodyLength, sent_counter: Option<Rc<Cell<u64>>>) {
        if !matches!(length, BodyLength::Known(n) if n <= MAX_BUFFERED_BYTES as u64) {
            self.shrink_kernel_buffers();
        }
        self.sent_counter.replace(sent_counter);
        self.sent_length.replace(length);
        self.last_write.set(Instant::now());
        self.unread_since.set(None);
        *self.sent.borrow_mut() = MessageProgress::default();
        *self.received.borrow_mut() = MessageProgress::default();
        self.head_memory.release();
    }

    /// Makes the kernel's buffers small. Otherwise megabytes would wait there for a slow peer, and the free space
    /// by which its progress is observed would come in large steps.
    pub fn shrink_kernel_buffers(&self) {
        let socket = SockRef::from(&self.stream);
        // If the kernel refuses, the buffers keep their size.
        let _ = socket
            .set_send_buffer_size(KERNEL_BUFFER_BYTES)
            .and_then(|()| socket.set_recv_buffer_size(KERNEL_BUFFER_BYTES));
    }

    /// Whether the client may have sent all of the request that is being received; `length` is that of its body, `None` if
    /// it is chunked. While bytes are left unread, their end cannot be seen.
    pub fn may_have_arrived(&self, length: Option<u64>) -> bool {
        let received = self.received.borrow();
        // Unknown for a pipelined request, whose beginning was read with the request before it.
        let read = received.body_bytes;
        let missing = length.zip(read).map(|(length, read)| length.saturating_sub(read));
        let seems_read = match length {
            Some(_) => missing == Some(0),
            None => read.is_some_and(|read| read > 0) && received.tail.ends_with(EMPTY_LINE),
        };
        seems_read || (missing.is_none_or(|missing| missing <= MAX_UNREAD_BYTES) && !self.is_quiet())
    }

    /// When the kernel last accepted bytes, or the message was begun.
    pub fn last_write(&self) -> Instant {
        self.last_write.get()
    }

    /// For how long the kernel has accepted nothing.
    pub fn write_stalled_for(&self) -> Duration {
        self.last_write().elapsed()
    }

    /// Makes closing the connection reset it: the response that was begun is incomplete.
    pub fn reset_on_close(&self) {
        // If that fails, the connection is closed all the same.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Whether the kernel has accepted any byte of the message.
    pub fn any_sent(&self) -> bool {
        self.sent.borrow().started
    }

    /// Whether the kernel has accepted the message's last byte.
    pub fn all_sent(&self) -> bool {
        let sent = self.sent.borrow();
        match &*self.sent_length.borrow() {
            BodyLength::Known(length) => sent.body_bytes.is_some_and(|body| body >= *length),
            BodyLength::Chunked(monitor) => {
                sent.body_bytes.is_some()
                    && monitor.state() == BodyState::Complete
                    && &sent.tail == LAST_CHUNK
            }
        }
    }

    /// The phase of a client's connection, and when it began.
    pub fn phase(&self) -> (Phase, Instant) {
        (self.phase.get(), self.phase_since.get())
    }

    /// Enters a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_since.set(Instant::now());
    }

    /// When the current request began to arrive; now for a pipelined one, which was read together with the request
    /// before it.
    pub fn request_started(&self) -> Instant {
        if self.phase.get() == Phase::ReadingHead {
            self.request_started.get()
        } else {
            Instant::now()
        }
    }

    /// When bytes were last received.
    pub fn last_received(&self) -> Instant {
        self.last_received.get()
    }

    /// The earliest moment at which the last received bytes may have arrived: when they were read, unless they had
    /// waited with the connection to be accepted.
    pub fn last_arrival(&self) -> Instant {
        self.last_arrival.get()
    }

    /// Whether the head of the current request has both a `Content-Length` and a `Transfer-Encoding`. For a
    /// pipelined request this is unknown, and true.
    pub fn has_ambiguous_framing(&self) -> bool {
        let framing = self.framing.borrow();
        self.phase.get() != Phase::ReadingHead || (framing.has_length && framing.has_encoding)
    }

    /// Whether there is nothing to read and the peer has not closed.
    pub fn is_quiet(&self) -> bool {
        is_quiet(&self.stream)
    }

    /// Notes, before a response is written, whether so much is unread behind its request that a close of the peer could not
    /// be seen.
    pub fn note_unread(&self) {
        let mut peeked = [MaybeUninit::uninit(); CLOSE_HIDING_BYTES];
        let peeked = SockRef::from(&self.stream).peek(&mut peeked);
        self.may_hide_close.set(peeked.is_ok_and(|length| length == CLOSE_HIDING_BYTES));
    }

    /// Notes that bytes that are unread now may have arrived as early as `since`, as the node did not read meanwhile.
    pub fn set_unread_since(&self, since: Instant) {
        if self.unread_since.get().is_none() && !self.is_quiet() {
            self.unread_since.set(Some(since));
        }
    }

    /// What [`Self::note_unread`] has noted last.
    pub fn may_hide_close(&self) -> bool {
        self.may_hide_close.get()
    }

    /// Whether a read has found that the peer has closed or reset the connection or ended its sending. A read may do so before
    /// the runtime has heard of it, and with it [`Self::peer_closed`].
    pub fn has_read_end(&self) -> bool {
        self.read_ended.get()
    }

    /// Waits until the peer has closed or reset the connection or ended its sending, also if unread bytes are
    /// buffered before that.
    pub async fn peer_closed(&self) {
        // Waiting for readability would wake up for those bytes. Waiting for urgent data, which is not requested
        // from the kernel, wakes up only at the end of reading.
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Ends sending, and discards what arrives until the peer closes. Closing a socket with unread bytes resets it,
    /// and the reset may overtake the response.
    pub async fn linger(&self) {
        if SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        while self.stream.readable().await.is_ok() {
            match self.discard() {
                Ok(0) => return,
                // A peer that sends without end must not hold up other tasks.
                Ok(_) => tokio::task::yield_now().await,
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return,
                Err(_) => {}
            }
        }
    }

    /// Reads and discards. The buffer is on the stack: a connection that is kept open holds no memory for it.
    fn discard(&self) -> io::Result<usize> {
        self.stream.try_read(&mut [0; READ_BYTES])
    }

    /// Ends sending and discards what has arrived, for a connection that has to be closed at once. Asks the kernel,
    /// like [`Self::is_quiet`].
    pub fn close_now(&self) {
        let socket = SockRef::from(&self.stream);
        let mut sink = [MaybeUninit::uninit(); READ_BYTES];
        // If more arrives than the kernel buffers, the reset is the sender's fault.
        let mut rounds = KERNEL_BUFFER_BYTES / READ_BYTES;
        let _ = socket.shutdown(std::net::Shutdown::Write);
        while rounds > 0 && socket.recv(&mut sink).is_ok_and(|n| n > 0) {
            rounds -= 1;
        }
    }

    /// Whether exactly one head and a body of this length was received, or chunks up to the last one for `None`.
    /// Anything more would be taken for the response to the next request.
    pub fn received_exactly(&self, body: Option<u64>) -> bool {
        let received = self.received.borrow();
        match body {
            Some(_) => received.body_bytes == body,
            None => received.body_bytes.is_some() && &received.tail == LAST_CHUNK,
        }
    }

    /// Whether a request's head was not read to its end for want of memory.
    pub fn lacks_head_memory(&self) -> bool {
        self.head_memory.is_refused() && self.phase.get() == Phase::ReadingHead
    }

    /// Responds that a request was refused whose head could not be read. hyper has written nothing on it.
    pub fn refuse_unread_head(&self) {
        // It fits into the kernel's buffer, unless the peer has gone.
        let _ = self.stream.try_write(REFUSAL);
    }

    fn record_read(&self, bytes: &[u8]) {
        self.received.borrow_mut().record(bytes);
        let now = Instant::now();
        self.last_received.set(now);
        self.last_arrival.set(self.unread_since.get().unwrap_or(now));
        if !bytes.is_empty() && matches!(self.phase.get(), Phase::New | Phase::Idle) {
            self.request_started.set(self.last_received.get());
            self.framing.take();
            if self.phase.replace(Phase::ReadingHead) == Phase::Idle {
                self.phase_since.set(self.request_started.get());
            }
        }
        self.framing.borrow_mut().record(bytes);
        let received = self.received.borrow();
        if received.body_bytes.is_none() && self.phase.get() == Phase::ReadingHead {
            self.head_memory.grow(received.head_bytes);
        }
    }

    /// Records that the kernel has accepted the first `written` bytes of these slices.
    fn record_write(&self, slices: &[IoSlice<'_>], written: usize) {
        let mut left = written;
        for slice in slices {
            let accepted = &slice[..left.min(slice.len())];
            self.sent.borrow_mut().record(accepted);
            left -= accepted.len();
        }
        self.last_write.set(Instant::now());
        if !self.all_sent() {
            return;
        }
        if let Some(counter) = self.sent_counter.take() {
            counter.set(counter.get() + 1);
        }
        if self.phase.get() == Phase::Responding {
            self.enter(Phase::Idle);
        }
    }
}

/// The socket as hyper's I/O.
pub struct HyperIo(pub Rc<TrackedSocket>);

impl Read for HyperIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.0;
        let mut chunk = [0; READ_BYTES];
        let readable = ready!(socket.head_memory.poll_readable(cx))?;
        let max_len = buf.remaining().min(READ_BYTES).min(readable);
        loop {
            ready!(socket.stream.poll_read_ready(cx))?;
            match socket.stream.try_read(&mut chunk[..max_len]) {
                Ok(n) => {
                    socket.read_ended.set(n == 0 && max_len > 0);
                    socket.record_read(&chunk[..n]);
                    buf.put_slice(&chunk[..n]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => socket.unread_since.set(None),
                Err(e) => {
                    socket.read_ended.set(true);
                    return Poll::Ready(Err(e));
                }
            }
        }
    }
}

impl Write for HyperIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    /// hyper would copy each body into a buffer that its connection keeps, if slices could not be written.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let socket = &self.0;
        loop {
            ready!(socket.stream.poll_write_ready(cx))?;
            match socket.stream.try_write_vectored(slices) {
                Ok(n) => {
                    socket.record_write(slices, n);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests {
    use std::future::Future;
    use std::io::Write as _;
    use std::pin::pin;

    use super::*;

    /// Reads what is there, without waiting.
    fn read_now(io: &mut HyperIo, cx: &mut Context<'_>) -> Option<usize> {
        let mut bytes = [MaybeUninit::uninit(); 16];
        let mut buffer = hyper::rt::ReadBuf::uninit(&mut bytes);
        let read = Pin::new(io).poll_read(cx, buffer.unfilled());
        matches!(read, Poll::Ready(Ok(()))).then(|| buffer.filled().len())
    }

    /// Guards against a client that is taken for present after the end of its connection was read: the runtime tells of the
    /// end only when it asks the system for events again.
    #[test]
    fn an_end_that_was_read_is_known_before_the_runtime_tells_of_it() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("no free port");
            let address = listener.local_addr().expect("the local address is unknown");
            let mut peer = std::net::TcpStream::connect(address).expect("the connection failed");
            let (stream, _) = listener.accept().await.expect("no connection");
            let socket = TrackedSocket::new(stream).expect("the socket is broken");
            peer.write_all(b"half").expect("the socket is broken");
            socket.stream.readable().await.expect("the socket is broken");
            drop(peer);
            let mut io = HyperIo(socket.clone());
            std::future::poll_fn(|cx| {
                assert_eq!(read_now(&mut io, cx), Some(4));
                assert!(!socket.has_read_end());
                assert_eq!(read_now(&mut io, cx), Some(0));
                assert!(pin!(socket.peer_closed()).poll(cx).is_pending(), "the runtime knows already");
                Poll::Ready(())
            })
            .await;
            assert!(socket.has_read_end());
        });
    }
}
