//! What the client side, the node and the server side pass to each other: a request, one attempt at it, its final
//! response.

use std::cell::RefCell;
use std::time::Instant;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, HOST, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Uri};
use tulipmount::{Millis, RequestId, ServerId};

use super::bodies::{BodyMonitor, OutgoingBody, ReceivedBody, StreamingBody};

/// The header with a request's id.
pub const TXN: HeaderName = HeaderName::from_static("x-txn");
/// The header with the milliseconds that are left for a request.
pub const REMAINING_MS: HeaderName = HeaderName::from_static("x-remaining-ms");

/// The transfer encoding that a message's headers name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferEncoding {
    /// None.
    Absent,
    /// `chunked` and nothing else: the end of the message is clear.
    Chunked,
    /// Another one, or several.
    Other,
}

impl TransferEncoding {
    /// The one of these headers.
    pub fn of(headers: &HeaderMap) -> Self {
        let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
        match (encodings.next(), encodings.next()) {
            (None, _) => Self::Absent,
            (Some(one), None) if one.as_bytes().eq_ignore_ascii_case(b"chunked") => Self::Chunked,
            _ => Self::Other,
        }
    }
}

/// A request in the form that is sent to a server.
pub struct ForwardedRequest {
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant, if it has a known one.
    pub tenant: Option<usize>,
    /// Whether its client marked it as resent.
    pub resent: bool,
    /// Its client's estimate of its work, in milliseconds.
    pub estimated_work: Option<Millis>,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
}

/// The body of a request.
pub enum RequestBody {
    /// Held in memory, for any number of attempts.
    Buffered(Bytes),
    /// Streamed from the client, for a single attempt.
    Streaming {
        /// The body; `None` once it was handed over.
        body: RefCell<Option<StreamingBody>>,
        /// Its monitor.
        monitor: BodyMonitor,
        /// Its length, if it is known.
        length: Option<u64>,
    },
}

impl RequestBody {
    /// The body for one attempt; `None` if an earlier attempt has used a streamed one.
    pub fn outgoing(&self) -> Option<OutgoingBody> {
        match self {
            Self::Buffered(bytes) => Some(OutgoingBody::buffered(bytes.clone())),
            Self::Streaming { body, .. } => body.take().map(OutgoingBody::streaming),
        }
    }

    /// The monitor of a streamed body; `None` for a buffered one.
    pub fn monitor(&self) -> Option<&BodyMonitor> {
        match self {
            Self::Buffered(..) => None,
            Self::Streaming { monitor, .. } => Some(monitor),
        }
    }
}

impl From<ReceivedBody> for RequestBody {
    fn from(body: ReceivedBody) -> Self {
        match body {
            ReceivedBody::Buffered(buffered) => Self::Buffered(buffered),
            ReceivedBody::Streaming(streaming) => {
                let (monitor, length) = (streaming.monitor(), streaming.length());
                Self::Streaming { body: RefCell::new(Some(streaming)), monitor, length }
            }
        }
    }
}

impl ForwardedRequest {
    /// The request that probes a server.
    pub fn probe() -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_static("service.internal"));
        let uri = Uri::from_static("/health");
        Self {
            class: 0,
            tenant: None,
            resent: false,
            estimated_work: None,
            method: Method::GET,
            uri,
            headers,
            body: RequestBody::Buffered(Bytes::new()),
        }
    }

    /// Its id, for the log.
    pub fn txn(&self) -> &str {
        self.headers.get(TXN).and_then(|v| v.to_str().ok()).unwrap_or("no id")
    }
}

/// The headers without those that concern one connection only (RFC 9110, section 7.6.1).
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    const HOP_BY_HOP: [&str; 10] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let forwarded =
        |name: &HeaderName| !HOP_BY_HOP.contains(&name.as_str()) && !named.iter().any(|n| n == name.as_str());
    headers.iter().filter(|(name, _)| forwarded(name)).map(|(n, v)| (n.clone(), v.clone())).collect()
}

/// The final response of a request.
pub enum FinalResponse {
    /// A server's response.
    Served(Box<ServerResponse>),
    /// Refused: the client may safely retry after this many milliseconds.
    Refused(Millis),
    /// Failed.
    Failed,
}

/// A server's response.
pub struct ServerResponse {
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The body.
    pub body: ReceivedBody,
}

/// The server, number and deadline of one attempt.
#[derive(Clone, Copy)]
pub struct AttemptTarget {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: usize,
    /// The server.
    pub server: ServerId,
    /// When the attempt times out.
    pub deadline: Instant,
}
