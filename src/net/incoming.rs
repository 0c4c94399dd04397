//! Reads a client's request and checks it against the platform's protocol.

use std::future::pending;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use percent_encoding::percent_decode_str;
use tokio::time::timeout;
use tulipmount::wire::NodeSettings;
use tulipmount::Idempotency;

use super::bodies::{receive, BodyError, BodyLimits, BodyPurpose, LimitedBody, MaxWait, ReceivedBody};
use super::memory::{OutOfMemory, Reservation, MAX_RESERVE_WAIT};
use super::node::Node;
use super::request::{end_to_end, ForwardedRequest, TransferEncoding, REMAINING_MS, TXN};
use super::request_memory::reserve_request;
use super::socket::{Phase, TrackedSocket};

/// Longer deadlines are cut to this, in milliseconds.
const MAX_REMAINING_MS: u64 = 600_000;
/// How slowly a request's body may arrive: at half of the rate that clients are allowed. A client that sends a head
/// and no more must still be disconnected in time.
const REQUEST_BODY_LIMITS: BodyLimits = BodyLimits {
    max_wait: MaxWait::Total {
        initial: Duration::from_millis(2000),
        extra_per_kib: Duration::from_millis(32),
    },
    max_bytes: MAX_BODY_BYTES,
};
/// The longest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;

/// The fraction of its time, 1 / n, that a request keeps for its response while it waits for memory.
const RESPONSE_TIME_DIVISOR: u32 = 16;
/// How long a request without a body waits for its refusal, if there is no memory for its head: a crowd of such clients would
/// come again at once.
const REFUSAL_DELAY: Duration = Duration::from_millis(200);
/// How long a reset takes that answers a response to a client that has closed.
const RESET_TIME: Duration = Duration::from_millis(10);
/// The header with the name of the tenant.
const TENANT: HeaderName = HeaderName::from_static("x-org");
/// The header with the client's estimate of the request's work, in microseconds.
const ESTIMATE: HeaderName = HeaderName::from_static("x-estimate");
/// The header, with the value 1, of a request that its client has sent before.
const RESENT: HeaderName = HeaderName::from_static("x-resent");
/// The header with the idempotency key of a request that may be repeated by key.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Why a request is rejected, and whether its connection must be closed.
pub struct Rejection {
    /// The status of the response.
    pub status: StatusCode,
    /// Whether the connection must be closed.
    pub close: bool,
}

impl From<StatusCode> for Rejection {
    fn from(status: StatusCode) -> Self {
        Self { status, close: false }
    }
}

impl From<BodyError> for Rejection {
    fn from(error: BodyError) -> Self {
        let status = match error {
            BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::Connection(_) => StatusCode::BAD_REQUEST,
        };
        Self { status, close: true }
    }
}

/// The value of a header that may occur only once; an error if it is repeated or is not visible ASCII.
fn header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| StatusCode::BAD_REQUEST.into()),
        _ => Err(StatusCode::BAD_REQUEST.into()),
    }
}

/// Checks an id or key: 1 to 256 visible characters.
fn token(value: Option<&str>) -> Result<&str, Rejection> {
    let valid = |v: &&str| (1..=256).contains(&v.len()) && v.bytes().all(|b| b.is_ascii_graphic());
    value.filter(valid).ok_or(StatusCode::BAD_REQUEST.into())
}

/// A request that was read.
pub struct ReceivedRequest {
    /// In the form that is sent to a server.
    pub request: ForwardedRequest,
    /// The time that it has left.
    pub remaining: Duration,
    /// Its memory, to be held until its response has ended.
    pub memory: Reservation,
}

/// A request whose head was checked.
struct CheckedRequest {
    parts: Parts,
    body: Incoming,
    class: usize,
    tenant: Option<usize>,
    remaining: Duration,
}

impl CheckedRequest {
    /// A rejection with this status. If the body is not read before the response is sent, the connection cannot be reused.
    fn reject(&self, status: StatusCode) -> Rejection {
        Rejection { status, close: is_body_unread(&self.parts.headers, &self.body) }
    }
}

/// Reads a request whole, up to a long body, which is passed on as it comes. Waits first until there is memory for it, as
/// long as its time allows.
///
/// # Errors
/// A [`Rejection`] if the request is not one that the node serves, or if there is no memory for it in time.
pub async fn read_request(
    node: &Node,
    socket: &TrackedSocket,
    request: Request<Incoming>,
    ambiguous_framing: bool,
) -> Result<ReceivedRequest, Rejection> {
    let mut checked = check_request(node, request, ambiguous_framing)?;
    let remaining = checked.remaining;
    let max_wait = MAX_RESERVE_WAIT.min(remaining - remaining / RESPONSE_TIME_DIVISOR);
    let waiting_since = Instant::now();
    let reserve_until = waiting_since + max_wait;
    socket.enter(Phase::WaitingForMemory);
    if socket.may_hide_close() {
        // If the client has closed, the response before this request was answered by a reset. That ends this call.
        let _ = timeout(RESET_TIME, socket.peer_closed()).await;
    }
    let rejection = checked.reject(StatusCode::SERVICE_UNAVAILABLE);
    // A client that still sends its body would be reset behind the refusal.
    let refusal_delay = if rejection.close { remaining / 2 } else { REFUSAL_DELAY };
    let budget = node.capacity.memory_budget();
    let memory = reserve_request(budget, &mut checked.parts, reserve_until, refusal_delay).await;
    let memory = memory.map_err(|OutOfMemory| rejection)?;
    // Boxed, so that a request that waits takes little.
    Box::pin(async move {
        let body = LimitedBody::new(checked.body, REQUEST_BODY_LIMITS);
        let budget = node.capacity.memory_budget();
        let reservation = BodyPurpose::REQUEST.reserve(&body, budget, reserve_until).await;
        let reservation = reservation.map_err(BodyError::from)?;
        socket.set_unread_since(waiting_since);
        socket.enter(Phase::ReadingBody);
        let body = receive(body, reservation, None, pending()).await?;
        let request = into_forwarded(checked.parts, checked.class, checked.tenant, body);
        Ok(ReceivedRequest { request, remaining, memory })
    })
    .await
}

/// Checks all of a request that can be checked before its body is read.
fn check_request(
    node: &Node,
    request: Request<Incoming>,
    ambiguous_framing: bool,
) -> Result<CheckedRequest, Rejection> {
    let settings = &node.config.node_settings;
    let (mut parts, body) = request.into_parts();
    let encoding = TransferEncoding::of(&parts.headers);
    // A request whose end can be determined in two ways may hide another request (RFC 9112, section 6.1).
    if encoding == TransferEncoding::Other || (encoding == TransferEncoding::Chunked && ambiguous_framing) {
        return Err(Rejection { status: StatusCode::BAD_REQUEST, close: true });
    }
    let close = is_body_unread(&parts.headers, &body);
    let reject = |status| Rejection { status, close };
    if content_length(&parts.headers).is_some_and(|length| length > MAX_BODY_BYTES as u64) {
        return Err(reject(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let class = class_of(settings, parts.uri.path()).ok_or_else(|| reject(StatusCode::NOT_FOUND))?;
    let checked = check_headers(&parts.method, &parts.headers, settings.settings.classes[class].idempotency);
    let remaining = checked.map_err(|rejection| reject(rejection.status))?;
    // A tenant's name may have non-ASCII letters. A repeated header counts as none.
    let mut orgs = parts.headers.get_all(&TENANT).iter();
    let org = orgs.next().filter(|_| orgs.next().is_none());
    let tenant =
        org.and_then(|org| settings.tenant_names.iter().position(|t| t.as_bytes() == org.as_bytes()));
    parts.uri = origin_form(&parts.uri).ok_or_else(|| reject(StatusCode::BAD_REQUEST))?;
    Ok(CheckedRequest { parts, body, class, tenant, remaining })
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Whether a request has a body of which nothing has been read.
fn is_body_unread(headers: &HeaderMap, body: &Incoming) -> bool {
    content_length(headers) != Some(0) && !hyper::body::Body::is_end_stream(body)
}

/// A request in the form that is sent to a server.
fn into_forwarded(parts: Parts, class: usize, tenant: Option<usize>, body: ReceivedBody) -> ForwardedRequest {
    let mut headers = end_to_end(&parts.headers);
    headers.remove(REMAINING_MS);
    // An estimate that cannot be parsed is ignored.
    let estimated_work = headers.get(ESTIMATE).and_then(|v| v.to_str().ok()?.parse::<u32>().ok());
    let estimated_work = estimated_work.map(|us| f64::from(us) / 1000.0);
    let resent = headers.get(RESENT).is_some_and(|v| v == "1");
    if !headers.contains_key(HOST) {
        headers.insert(HOST, HeaderValue::from_static("service.internal"));
    }
    let Parts { method, uri, .. } = parts;
    ForwardedRequest { class, tenant, resent, estimated_work, method, uri, headers, body: body.into() }
}

/// Path and query of a URI, alone.
fn origin_form(uri: &Uri) -> Option<Uri> {
    let builder = Uri::builder();
    match uri.path_and_query() {
        Some(path) => builder.path_and_query(path.clone()).build().ok(),
        None => builder.build().ok(),
    }
}

/// The index of the class that a path names, literally or percent-encoded. No class has an empty name.
fn class_of(settings: &NodeSettings, path: &str) -> Option<usize> {
    let name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = |name: &str| settings.class_names.iter().position(|c| c == name);
    class(name).or_else(|| class(&percent_decode_str(name).decode_utf8().ok()?))
}

/// Checks the headers that a request must have, and returns the time that it has left.
fn check_headers(
    method: &Method,
    headers: &HeaderMap,
    idempotency: Idempotency,
) -> Result<Duration, Rejection> {
    token(header(headers, &TXN)?)?;
    let remaining = header(headers, &REMAINING_MS)?.filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    let remaining = remaining.and_then(|v| v.parse::<u64>().ok()).ok_or(StatusCode::BAD_REQUEST)?;
    let expected = if idempotency == Idempotency::Safe { Method::GET } else { Method::POST };
    if *method != expected {
        return Err(StatusCode::BAD_REQUEST.into());
    }
    if matches!(idempotency, Idempotency::Keyed { .. }) {
        token(header(headers, &IDEMPOTENCY_KEY)?)?;
    }
    Ok(Duration::from_millis(remaining.min(MAX_REMAINING_MS)))
}
