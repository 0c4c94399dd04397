//! The soak's clients: what they send, in which manner, and how each of their requests ended.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::peers::{Client, Disconnect};
use super::random::Random;
use super::servers::ResponseKind;

/// How long after its deadline a request may still be answered.
pub const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// The longest pause of a client within a request, and between two.
const MAX_WRITE_PAUSE_MS: u64 = 120;
const MAX_REST_MS: u64 = 40;
/// Requests that are written at once where a client pipelines.
const PIPELINED_REQUESTS: usize = 3;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A whole response with this status came, and its body is right.
    Answered(u16),
    /// A whole response came with a body that no server made for this request.
    WrongBody,
    /// The connection ended before any byte of a response.
    Unanswered(String),
    /// The connection ended within the response.
    Cut,
    /// Nothing came by the deadline and [`ANSWER_SLACK`].
    TimedOut,
    /// The client ended the connection first.
    Left,
    /// The connection ended before the request was written whole.
    NotWritten,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its transaction id.
    pub txn: String,
    /// Whether it may run only once.
    pub is_unsafe: bool,
    /// Size of its body.
    pub body_bytes: usize,
    /// Whether it was the first on its connection.
    pub first_on_connection: bool,
    /// Whether it was written behind a request that had no response yet.
    pub pipelined: bool,
    /// When its last byte was written.
    pub written_at: Instant,
    /// How long from then its client waits.
    pub deadline: Duration,
    /// When it ended.
    pub ended_at: Instant,
    /// How long the client's thread waited for a core between the two.
    pub cpu_wait: Duration,
    /// How it ended.
    pub end: End,
}

/// What all clients of a run share.
#[derive(Default)]
pub struct ClientControl {
    stop: AtomicBool,
    keep_to_open_connections: AtomicBool,
    records: Mutex<Vec<RequestRecord>>,
    refused_connections: Mutex<Vec<String>>,
}

impl ClientControl {
    /// Lets each client end after its current request.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Lets each client end once its connection has ended.
    pub fn keep_to_open_connections(&self) {
        self.keep_to_open_connections.store(true, Ordering::SeqCst);
    }

    /// All requests that have ended.
    pub fn records(&self) -> Vec<RequestRecord> {
        self.records.lock().expect("the lock is poisoned").clone()
    }

    /// The errors of connections that could not be made.
    pub fn refused_connections(&self) -> Vec<String> {
        self.refused_connections.lock().expect("the lock is poisoned").clone()
    }

    fn add(&self, record: RequestRecord) {
        self.records.lock().expect("the lock is poisoned").push(record);
    }
}

/// A request that is about to be sent.
struct Draft {
    txn: String,
    class: &'static str,
    kind: ResponseKind,
    deadline: Duration,
    body_bytes: usize,
}

impl Draft {
    fn draw(random: &mut Random, txn: String, deadline: Duration) -> Self {
        let class = *random.pick(&["look", "look", "look", "pay", "slip"]);
        let piece_delay = Duration::from_millis(random.below(60));
        let kind = match random.below(10) {
            0..=3 => ResponseKind::Short,
            4..=5 => ResponseKind::Delayed(Duration::from_millis(random.below(200))),
            6..=7 => ResponseKind::LongWithLength(piece_delay),
            8 => ResponseKind::LongChunked(piece_delay),
            _ => ResponseKind::UntilClose,
        };
        let body_bytes = match (class, random.below(4)) {
            ("look", _) => 0,
            (_, 0) => 100_000,
            _ => 40,
        };
        Self { txn, class, kind, deadline, body_bytes }
    }

    fn bytes(&self) -> Vec<u8> {
        let Self { txn, class, deadline, body_bytes, .. } = self;
        let (path, remaining) = (self.kind.path(), deadline.as_millis());
        let (method, length) = match *body_bytes {
            0 => ("GET", String::new()),
            length => ("POST", format!("Content-Length: {length}\r\n")),
        };
        let key = if *class == "pay" { format!("Idempotency-Key: {txn}\r\n") } else { String::new() };
        let head = format!(
            "{method} /{class}/{path} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\n\
             X-Remaining-Ms: {remaining}\r\n{key}{length}\r\n"
        );
        [head.as_bytes(), &vec![b'b'; *body_bytes]].concat()
    }
}

/// One client, which sends one request after the other.
struct SoakClient {
    number: usize,
    address: SocketAddr,
    deadline: Duration,
    random: Random,
    control: Arc<ClientControl>,
    connection: Option<Client>,
    sent: usize,
}

/// Starts a client in a thread of its own.
pub fn start_client(
    number: usize,
    address: SocketAddr,
    deadline: Duration,
    random: Random,
    control: &Arc<ClientControl>,
) -> JoinHandle<()> {
    let control = control.clone();
    let mut client = SoakClient { number, address, deadline, random, control, connection: None, sent: 0 };
    std::thread::spawn(move || client.run())
}

impl SoakClient {
    fn run(&mut self) {
        while !self.control.stop.load(Ordering::SeqCst) {
            let kept = self.connection.take();
            if kept.is_none() && self.control.keep_to_open_connections.load(Ordering::SeqCst) {
                return;
            }
            let first_on_connection = kept.is_none();
            let Some(connection) = kept.or_else(|| self.connect()) else { continue };
            self.connection = self.use_connection(connection, first_on_connection);
            self.pause(MAX_REST_MS);
            if self.random.one_in(5) {
                self.connection = None;
            }
        }
    }

    fn pause(&mut self, longest_ms: u64) {
        std::thread::sleep(Duration::from_millis(self.random.below(longest_ms)));
    }

    fn connect(&self) -> Option<Client> {
        match Client::try_connect(self.address, self.deadline + ANSWER_SLACK) {
            Ok(client) => Some(client),
            Err(error) => {
                let mut refused = self.control.refused_connections.lock().expect("the lock is poisoned");
                refused.push(error.to_string());
                None
            }
        }
    }

    fn draft(&mut self) -> Draft {
        self.sent += 1;
        let txn = format!("c{}-{}-", self.number, self.sent);
        Draft::draw(&mut self.random, txn, self.deadline)
    }

    /// Sends one or several requests; returns the connection if it can be used again.
    fn use_connection(&mut self, mut connection: Client, first_on_connection: bool) -> Option<Client> {
        let draft = self.draft();
        let bytes = draft.bytes();
        let manner = self.random.below(12);
        if manner == 0 {
            return self.pipeline(connection, draft, first_on_connection);
        }
        let split_at = match manner {
            // Within the head, or before the last byte.
            1..=2 => 1 + self.random.below(60) as usize,
            3 => bytes.len() - 1,
            _ => 0,
        };
        if split_at > 0 && connection.try_send(&bytes[..split_at]).is_ok() {
            self.pause(MAX_WRITE_PAUSE_MS);
        }
        let watch = Stopwatch::start();
        if connection.try_send(&bytes[split_at..]).is_err() {
            self.record(&draft, first_on_connection, false, watch, End::NotWritten);
            return None;
        }
        if manner == 4 {
            self.pause(MAX_WRITE_PAUSE_MS);
            self.record(&draft, first_on_connection, false, watch, End::Left);
            self.leave(connection);
            return None;
        }
        let (end, reusable) = receive_response(&mut connection, &draft);
        self.record(&draft, first_on_connection, false, watch, end);
        reusable.then_some(connection)
    }

    fn leave(&mut self, connection: Client) {
        match self.random.below(3) {
            0 => drop(connection.disconnect(Disconnect::Close)),
            1 => drop(connection.disconnect(Disconnect::Reset)),
            _ => {
                // The node may have closed the connection already.
                let _ = connection.half_close();
                self.pause(MAX_WRITE_PAUSE_MS);
            }
        }
    }

    /// Writes several requests at once and reads their responses in order.
    fn pipeline(
        &mut self,
        mut connection: Client,
        first: Draft,
        first_on_connection: bool,
    ) -> Option<Client> {
        let mut drafts = vec![first];
        while drafts.len() < PIPELINED_REQUESTS {
            drafts.push(self.draft());
        }
        let bytes: Vec<u8> = drafts.iter().flat_map(Draft::bytes).collect();
        let written = connection.try_send(&bytes).is_ok();
        let mut usable = written;
        for (position, draft) in drafts.iter().enumerate() {
            let watch = Stopwatch::start();
            let end = if usable {
                let (end, reusable) = receive_response(&mut connection, draft);
                usable = reusable;
                end
            } else if written {
                End::Unanswered("the connection ended behind an earlier response".into())
            } else {
                End::NotWritten
            };
            self.record(draft, first_on_connection && position == 0, position > 0, watch, end);
        }
        usable.then_some(connection)
    }

    fn record(&self, draft: &Draft, first_on_connection: bool, pipelined: bool, watch: Stopwatch, end: End) {
        self.control.add(RequestRecord {
            txn: draft.txn.clone(),
            is_unsafe: draft.class == "slip",
            body_bytes: draft.body_bytes,
            first_on_connection,
            pipelined,
            written_at: watch.started_at,
            deadline: draft.deadline,
            ended_at: Instant::now(),
            cpu_wait: watch.cpu_wait(),
            end,
        });
    }
}

/// Reads one response; returns how the request ended, and whether its connection can be used again.
fn receive_response(connection: &mut Client, draft: &Draft) -> (End, bool) {
    match connection.wait_for_bytes() {
        Ok([]) => return (End::Unanswered("closed".into()), false),
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return (End::TimedOut, false),
        Err(error) => return (End::Unanswered(error.to_string()), false),
        Ok(_) => {}
    }
    let Some(response) = connection.receive() else { return (End::Cut, false) };
    let closes = response.header("connection") == Some("close");
    let status = response.status();
    if status == 200 && response.body != draft.kind.body(&draft.txn) {
        return (End::WrongBody, false);
    }
    (End::Answered(status), !closes)
}

/// A time span, and how long the thread was runnable without getting a core within it.
#[derive(Clone, Copy)]
struct Stopwatch {
    started_at: Instant,
    waited_before: Duration,
}

impl Stopwatch {
    fn start() -> Self {
        Self { started_at: Instant::now(), waited_before: super::peers::thread_cpu_wait() }
    }

    fn cpu_wait(&self) -> Duration {
        super::peers::thread_cpu_wait().saturating_sub(self.waited_before)
    }
}
