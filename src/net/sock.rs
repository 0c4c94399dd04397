//! A TCP socket that hyper drives and that we can watch: what the kernel took of a message, and whether the
//! other side has closed.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;

use super::bodies::{Fate, Outgoing, Passage, HELD_MOST};

/// How much one read takes at the most.
const CHUNK: usize = 16 * 1024;
/// How much the kernel keeps of a long body on its way, in each direction.
const KERNEL_MOST: usize = 128 * 1024;

/// How long the body of a message is that is written.
pub enum Length {
    /// So many bytes.
    Of(u64),
    /// In chunks, until what is passed on is whole.
    Chunks(Passage),
}

impl Length {
    /// That of a body.
    pub fn of(body: &Outgoing) -> Self {
        match (body.length(), body.passage()) {
            (None, Some(passage)) => Self::Chunks(passage),
            (length, _) => Self::Of(length.unwrap_or(0)),
        }
    }
}

/// How the last of a message's chunks ends.
const LAST_CHUNK: &[u8; 5] = b"0\r\n\r\n";

/// How much of one HTTP message has gone by.
#[derive(Default)]
struct Progress {
    any: bool,
    /// The last five bytes so far.
    last: [u8; 5],
    /// How many bytes have come after the head; `None` until the head is over.
    body: Option<u64>,
}

impl Progress {
    fn took(&mut self, bytes: &[u8]) {
        self.any |= !bytes.is_empty();
        let mut rest = bytes;
        while self.body.is_none() {
            let Some((byte, after)) = rest.split_first() else { return };
            self.last.rotate_left(1);
            self.last[4] = *byte;
            rest = after;
            if self.last.ends_with(b"\r\n\r\n") {
                self.body = Some(0);
            }
        }
        self.body = self.body.map(|body| body + rest.len() as u64);
        let tail = &rest[rest.len().saturating_sub(5)..];
        self.last.copy_within(tail.len().., 0);
        self.last[5 - tail.len()..].copy_from_slice(tail);
    }
}

/// Which headers on the framing of its body a request's head has brought, as they stand there: hyper drops one
/// of two that contradict each other.
#[derive(Default)]
struct Framing {
    /// The beginning of the present line.
    line: Vec<u8>,
    length: bool,
    encoding: bool,
    over: bool,
}

impl Framing {
    const ENCODING: &[u8] = b"transfer-encoding:";
    const LENGTH: &[u8] = b"content-length:";

    fn came(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                _ if self.over => return,
                b'\r' => {}
                b'\n' => {
                    self.over = self.line.is_empty();
                    self.encoding |= self.line == Self::ENCODING;
                    self.length |= self.line.starts_with(Self::LENGTH);
                    self.line.clear();
                }
                byte if self.line.len() < Self::ENCODING.len() => self.line.push(byte.to_ascii_lowercase()),
                _ => {}
            }
        }
    }
}

/// What a client's connection is in the middle of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing has come yet.
    New,
    /// Between requests.
    Idle,
    /// A request has begun to come.
    Reading,
    /// Its head is there, and its body is coming.
    Body,
    /// A request is being served.
    Busy,
    /// Its answer is on its way out.
    Answering,
    /// The last answer is out; what still comes is read for nobody.
    Ending,
}

/// A watched socket.
pub struct Sock {
    stream: TcpStream,
    out: RefCell<Progress>,
    /// The length of the body that is written.
    length: RefCell<Length>,
    /// When the kernel last took something.
    moved: Cell<Instant>,
    /// Raised once the kernel has taken the message's last byte.
    written: RefCell<Option<Rc<Cell<u64>>>>,
    /// What came back since the message was begun.
    back: RefCell<Progress>,
    phase: Cell<Phase>,
    /// When the phase began; for reading the first request, when the connection came.
    since: Cell<Instant>,
    /// When the request that is being read or served began to come, ...
    began: Cell<Instant>,
    /// ... when something last came, ...
    heard: Cell<Instant>,
    /// ... and what its head says of its framing.
    framing: RefCell<Framing>,
}

impl Sock {
    /// Takes over a connected stream and turns off Nagle's delay.
    ///
    /// # Errors
    /// Where the socket is already broken.
    pub fn new(stream: TcpStream) -> io::Result<Rc<Self>> {
        stream.set_nodelay(true)?;
        let now = Instant::now();
        Ok(Rc::new(Self {
            stream,
            out: RefCell::default(),
            length: RefCell::new(Length::Of(0)),
            moved: Cell::new(now),
            written: RefCell::default(),
            back: RefCell::default(),
            phase: Cell::new(Phase::New),
            since: Cell::new(now),
            began: Cell::new(now),
            heard: Cell::new(now),
            framing: RefCell::default(),
        }))
    }

    /// A message with so long a body is about to be written; `written` counts it once it is.
    pub fn begin(&self, length: Length, written: Option<Rc<Cell<u64>>>) {
        if !matches!(length, Length::Of(n) if n <= HELD_MOST as u64) {
            self.narrow();
        }
        self.written.replace(written);
        self.length.replace(length);
        self.moved.set(Instant::now());
        *self.out.borrow_mut() = Progress::default();
        *self.back.borrow_mut() = Progress::default();
    }

    /// Has the kernel keep little of what is on its way: else a peer that reads slowly would have megabytes lie
    /// there, and room for more, by which its progress is seen, would come in large steps.
    pub fn narrow(&self) {
        let sock = SockRef::from(&self.stream);
        // Where the kernel refuses, it goes on as before.
        let _ = sock.set_send_buffer_size(KERNEL_MOST).and_then(|()| sock.set_recv_buffer_size(KERNEL_MOST));
    }

    /// For how long the kernel has taken nothing.
    pub fn stalled(&self) -> Duration {
        self.moved.get().elapsed()
    }

    /// Has the connection end in a reset: what was written of an answer is not all of it.
    pub fn reset(&self) {
        // Where that fails the connection ends all the same.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Has the kernel taken any byte of the message?
    pub fn any(&self) -> bool {
        self.out.borrow().any
    }

    /// Has the kernel taken the message's last byte?
    pub fn whole(&self) -> bool {
        let out = self.out.borrow();
        match &*self.length.borrow() {
            Length::Of(length) => out.body.is_some_and(|body| body >= *length),
            Length::Chunks(passage) => {
                out.body.is_some() && passage.fate() == Fate::Whole && &out.last == LAST_CHUNK
            }
        }
    }

    /// What a client's connection is in the middle of, and since when.
    pub fn phase(&self) -> (Phase, Instant) {
        (self.phase.get(), self.since.get())
    }

    /// Enters a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// When the present request began to come; one that came right behind another was read with it.
    pub fn arrived(&self) -> Instant {
        if self.phase.get() == Phase::Reading {
            self.began.get()
        } else {
            Instant::now()
        }
    }

    /// When something last came.
    pub fn heard(&self) -> Instant {
        self.heard.get()
    }

    /// Has the head of the request that is being read both a length and an encoding? Of one that came right
    /// behind another that can't be told, so it may have.
    pub fn ambiguous(&self) -> bool {
        let framing = self.framing.borrow();
        self.phase.get() != Phase::Reading || (framing.length && framing.encoding)
    }

    /// Nothing to read, and not closed by the other side. Asks the kernel, as what the runtime knows may be
    /// a turn of its loop old.
    pub fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the other side has closed or reset the connection, or has ended its sending, also where bytes
    /// that nobody reads now lie before that.
    pub async fn left(&self) {
        // Whoever waits for reading is woken by those bytes; whoever waits for urgent data, which nobody here
        // asks the kernel for, only by the end of reading.
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Says that nothing more will be written, and reads what still comes until the other side closes.
    /// Closing a socket with unread bytes resets it, and the reset can overtake the answer.
    pub async fn linger(&self) {
        if SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        while self.stream.readable().await.is_ok() {
            match self.discard() {
                Ok(0) => return,
                // Whoever sends without end holds up nobody else.
                Ok(_) => tokio::task::yield_now().await,
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return,
                Err(_) => {}
            }
        }
    }

    /// Reads for nobody. The bytes lie on the stack: a connection that is kept open keeps no room for them.
    fn discard(&self) -> io::Result<usize> {
        self.stream.try_read(&mut [0; CHUNK])
    }

    /// Says that nothing more will be written, and reads what has come, for nobody: for a connection that has to be
    /// closed at once. Asks the kernel, like [`Self::quiet`].
    pub fn finish(&self) {
        let sock = SockRef::from(&self.stream);
        let mut sink = [MaybeUninit::uninit(); CHUNK];
        // Of more than the kernel keeps there the reset is the sender's own doing.
        let mut rounds = KERNEL_MOST / CHUNK;
        let _ = sock.shutdown(std::net::Shutdown::Write);
        while rounds > 0 && sock.recv(&mut sink).is_ok_and(|n| n > 0) {
            rounds -= 1;
        }
    }

    /// Was what came back one head and a body of this length, or else chunks up to the last? More than that
    /// would be taken for the answer to the next request.
    pub fn heard_just(&self, body: Option<u64>) -> bool {
        let back = self.back.borrow();
        match body {
            Some(_) => back.body == body,
            None => back.body.is_some() && &back.last == LAST_CHUNK,
        }
    }

    fn read(&self, came: &[u8]) {
        let bytes = came.len();
        self.back.borrow_mut().took(came);
        self.heard.set(Instant::now());
        if bytes > 0 && matches!(self.phase.get(), Phase::New | Phase::Idle) {
            self.began.set(self.heard.get());
            self.framing.take();
            if self.phase.replace(Phase::Reading) == Phase::Idle {
                self.since.set(self.began.get());
            }
        }
        self.framing.borrow_mut().came(came);
    }

    fn took(&self, bytes: &[u8]) {
        self.out.borrow_mut().took(bytes);
        self.moved.set(Instant::now());
        if !self.whole() {
            return;
        }
        if let Some(count) = self.written.take() {
            count.set(count.get() + 1);
        }
        if self.phase.get() == Phase::Answering {
            self.enter(Phase::Idle);
        }
    }
}

/// hyper's side of a watched socket.
pub struct Io(pub Rc<Sock>);

impl Read for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let sock = &self.0;
        let mut chunk = [0; CHUNK];
        let want = buf.remaining().min(CHUNK);
        loop {
            ready!(sock.stream.poll_read_ready(cx))?;
            match sock.stream.try_read(&mut chunk[..want]) {
                Ok(n) => {
                    sock.read(&chunk[..n]);
                    buf.put_slice(&chunk[..n]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Write for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let sock = &self.0;
        loop {
            ready!(sock.stream.poll_write_ready(cx))?;
            match sock.stream.try_write(buf) {
                Ok(n) => {
                    sock.took(&buf[..n]);
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
