//! The soak's app servers: what each request asks of them, and a record of all that they received.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::peers::{Message, Reply, TestServer};

/// Size of a long response's body, in bytes.
const LONG_BODY_BYTES: usize = 200_000;
/// Number of pieces in which a long response is written.
const LONG_BODY_PIECES: usize = 4;

/// The response that a request asks for by its path.
#[derive(Clone, Copy, Debug)]
pub enum ResponseKind {
    /// Short, at once.
    Short,
    /// Short, after a delay.
    Delayed(Duration),
    /// Long and of known length, in pieces with a delay before each.
    LongWithLength(Duration),
    /// Long and chunked, in pieces with a delay before each.
    LongChunked(Duration),
    /// Short, and ended by the close of the connection.
    UntilClose,
}

impl ResponseKind {
    /// The path's last part, which asks for this response.
    pub fn path(self) -> String {
        match self {
            Self::Short => "short".into(),
            Self::Delayed(delay) => format!("delayed-{}", delay.as_millis()),
            Self::LongWithLength(delay) => format!("length-{}", delay.as_millis()),
            Self::LongChunked(delay) => format!("chunked-{}", delay.as_millis()),
            Self::UntilClose => "close".into(),
        }
    }

    fn from_path(path: &str) -> Self {
        let name = path.rsplit('/').next().expect("a path has a last part");
        let (kind, delay) = name.split_once('-').unwrap_or((name, "0"));
        let delay = Duration::from_millis(delay.parse().expect("the delay is no number"));
        match kind {
            "short" => Self::Short,
            "delayed" => Self::Delayed(delay),
            "length" => Self::LongWithLength(delay),
            "chunked" => Self::LongChunked(delay),
            "close" => Self::UntilClose,
            _ => panic!("no response is called {name}"),
        }
    }

    /// The body of the response to request `txn`.
    pub fn body(self, txn: &str) -> Vec<u8> {
        match self {
            Self::LongWithLength(_) | Self::LongChunked(_) => {
                txn.bytes().cycle().take(LONG_BODY_BYTES).collect()
            }
            _ => txn.into(),
        }
    }

    fn reply(self, txn: &str) -> Reply {
        let body = self.body(txn);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let whole = [head.as_bytes(), &body].concat();
        let pieces = |delay, pieces: Vec<Vec<u8>>| {
            Reply::SendPieces(pieces.into_iter().map(|piece| (delay, piece)).collect(), false)
        };
        let split =
            |bytes: &[u8]| bytes.chunks(bytes.len().div_ceil(LONG_BODY_PIECES)).map(<[u8]>::to_vec).collect();
        match self {
            Self::Short => Reply::Send(whole),
            Self::Delayed(delay) => Reply::SendAfter(delay, whole),
            Self::LongWithLength(delay) => pieces(delay, split(&whole)),
            Self::LongChunked(delay) => pieces(delay, split(&chunked(&body))),
            Self::UntilClose => {
                Reply::SendAndClose([b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", &body[..]].concat())
            }
        }
    }
}

/// A whole chunked response with this body.
fn chunked(body: &[u8]) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.chunks(10_000) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

/// A request that a server has received whole.
#[derive(Clone, Copy, Debug)]
pub struct Receipt {
    /// The server's index.
    pub server: usize,
    /// When it was received.
    pub at: Instant,
    /// How long the node will wait for the response, as it told the server.
    pub told_remaining: Duration,
}

/// All requests that the servers have received, by transaction id.
#[derive(Clone, Default)]
pub struct Receipts(Arc<Mutex<BTreeMap<String, Vec<Receipt>>>>);

impl Receipts {
    fn add(&self, txn: &str, receipt: Receipt) {
        self.0.lock().expect("the lock is poisoned").entry(txn.into()).or_default().push(receipt);
    }

    /// A copy of all receipts so far.
    pub fn all(&self) -> BTreeMap<String, Vec<Receipt>> {
        self.0.lock().expect("the lock is poisoned").clone()
    }
}

/// Starts the server with this index.
pub fn start_server(server: usize, receipts: &Receipts) -> TestServer {
    let receipts = receipts.clone();
    TestServer::new(move |request: &Message| {
        let at = Instant::now();
        let txn = request.header("x-txn").expect("the request has no id");
        let remaining = request.header("x-remaining-ms").and_then(|ms| ms.parse().ok());
        let told_remaining = Duration::from_millis(remaining.expect("the node tells no remaining time"));
        receipts.add(txn, Receipt { server, at, told_remaining });
        ResponseKind::from_path(request.path()).reply(txn)
    })
}
