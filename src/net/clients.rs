//! The clients' side: the listener, reading requests, and the one final answer of each.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use percent_encoding::percent_decode_str;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::time::timeout;
use tulipmount::{Idempotency, Millis, RequestId};

use super::bodies::{gather, Cut, Fate, Gathered, Outgoing, Pace, Paced, Side};
use super::log;
use super::metrics::{End, Taken};
use super::node::Node;
use super::request::{end_to_end, Answer, Asked, Reply, REMAINING, TXN};
use super::sock::{Io, Length, Phase, Sock};

/// How long before the client's deadline the module's ends: the answer still has to be written and to
/// arrive.
const MARGIN: Duration = Duration::from_millis(20);
/// How long before the client's deadline the node answers in the module's place.
const GUARD: Duration = Duration::from_millis(9);
/// The longest deadline that is believed.
const LONGEST: u64 = 600_000;
/// How long a request's head may take to come, the first from the connection's beginning on.
/// Whoever sends nothing proper is owed a close within 3 s; one without a request may be closed after 2 s.
const READING: Duration = Duration::from_millis(2200);
/// How long a client may read nothing of an answer.
const UNREAD: Duration = Duration::from_secs(10);
/// How slowly the body of a request may come: at half of the pace that clients may have, and whoever sends a head
/// and no more is still owed its close.
const SENDING: Pace =
    Pace { wait: Duration::from_millis(2000), per_kib: Duration::from_millis(32), most: BODY_MOST };
/// A request that takes longer to come is logged.
const SLOW: Duration = Duration::from_millis(10);
/// How long a connection is read after its last answer, so that a reset does not overtake it.
const LINGER: Duration = Duration::from_millis(2000);
/// The longest body of a request.
const BODY_MOST: usize = 32 << 20;
/// The largest head of a request.
const HEAD_MOST: usize = 32 * 1024;
/// A connection that has just come gets this long to bring its request, before it is closed as idle, and a request
/// that is coming gets this long for its next piece, before it makes room for others.
const FRESH: Duration = Duration::from_millis(200);
/// How long the log keeps quiet of the same trouble.
const QUIET: Duration = Duration::from_secs(5);
/// How long accepting rests when descriptors have run out.
const EXHAUSTED: Duration = Duration::from_millis(20);

const ORG: HeaderName = HeaderName::from_static("x-org");
/// A client's guess at the work.
const ESTIMATE: HeaderName = HeaderName::from_static("x-estimate");
/// Marks a client's repeat.
const RESENT: HeaderName = HeaderName::from_static("x-resent");
/// Under which epoch a request was taken.
const POLICY_EPOCH: HeaderName = HeaderName::from_static("x-policy-epoch");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");

struct Client {
    sock: Rc<Sock>,
    close: Notify,
    /// It has to make room, and its socket is about to go.
    evicted: Cell<bool>,
}

/// The connections of clients.
pub struct Clients {
    node: Rc<Node>,
    open: RefCell<HashMap<u64, Rc<Client>>>,
    /// How many of them are evicted.
    evicted: Cell<usize>,
    last: Cell<u64>,
    freed: Notify,
    /// One that was accepted and waits for room.
    waiting: Cell<Option<TcpStream>>,
}

impl Clients {
    /// No connections yet.
    pub fn new(node: Rc<Node>) -> Rc<Self> {
        let (open, evicted, last) = (RefCell::default(), Cell::new(0), Cell::new(0));
        Rc::new(Self { node, open, evicted, last, freed: Notify::new(), waiting: Cell::default() })
    }

    /// How many connections there are: each holds a descriptor until its task has ended, evicted or not.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes idle connections until there are no more than there may be, or none is idle.
    pub fn shrink(&self) {
        while self.count() - self.evicted.get() > self.node.client_connections() && self.evict(false) {}
    }

    /// Accepts connections; never ends.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let mut logged: Option<Instant> = None;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // Room is made once it is needed, and never by a connection that has just come. Where accepting
                    // ends meanwhile, that one is still served.
                    self.waiting.set(Some(stream));
                    while self.count() >= self.node.client_connections() {
                        if self.evicted.get() == 0 {
                            self.evict(true);
                        }
                        // One that is busy now may be idle soon, which nobody tells.
                        let _ = timeout(EXHAUSTED, self.freed.notified()).await;
                    }
                    self.serve_waiting();
                }
                Err(error) => {
                    // Out of descriptors, as a rule: what is idle makes room, and the backlog waits.
                    if logged.is_none_or(|at| at.elapsed() >= QUIET) {
                        logged = Some(Instant::now());
                        log::line(format!("accept: {error}"));
                    }
                    if !self.node.pool.evict() {
                        self.evict(true);
                    }
                    tokio::time::sleep(EXHAUSTED).await;
                }
            }
        }
    }

    /// Accepts what the backlog still holds.
    pub async fn empty_backlog(self: &Rc<Self>, listener: &TcpListener) {
        while let Ok(Ok((stream, _))) = timeout(EXHAUSTED, listener.accept()).await {
            self.serve(stream);
        }
    }

    /// Serves the connection that waits for room, if there is one.
    pub fn serve_waiting(self: &Rc<Self>) {
        if let Some(stream) = self.waiting.take() {
            self.serve(stream);
        }
    }

    /// Closes connections on which a request's head takes too long to come, or an answer is not read.
    pub fn sweep(&self) {
        self.close(|sock, phase, since| match phase {
            Phase::New | Phase::Reading => since.elapsed() >= READING,
            Phase::Answering => sock.stalled() >= UNREAD,
            _ => false,
        });
    }

    /// Closes connections that are between requests and have nothing to read.
    pub fn close_idle(&self) {
        let idle = |sock: &Sock, phase, since: Instant| {
            matches!(phase, Phase::New | Phase::Idle) && since.elapsed() >= FRESH && sock.quiet()
        };
        self.close(idle);
    }

    /// Closes all connections on which no answer is on its way; behind one that has just been written the connection
    /// is still read for a moment.
    pub fn close_unanswered(&self) {
        self.close(|_, phase, since| match phase {
            Phase::Busy | Phase::Answering => false,
            Phase::Ending => since.elapsed() >= FRESH,
            _ => true,
        });
    }

    /// Closes all connections.
    pub fn close_all(&self) {
        self.close(|_, _, _| true);
    }

    fn close(&self, which: impl Fn(&Sock, Phase, Instant) -> bool) {
        for client in self.open.borrow().values() {
            let (phase, since) = client.sock.phase();
            if which(&client.sock, phase, since) {
                client.close.notify_one();
            }
        }
    }

    /// Closes the connection that has been idle for longest, or else, if `coming` says so, the one whose request has
    /// come no further for longest; false where there is none.
    fn evict(&self, coming: bool) -> bool {
        let (open, now) = (self.open.borrow(), Instant::now());
        let waits = |since: Instant| now.saturating_duration_since(since) >= FRESH;
        let rank = |c: &Client| match c.sock.phase() {
            _ if c.evicted.get() => None,
            (Phase::New, since) if !waits(since) => None,
            (Phase::New | Phase::Idle | Phase::Ending, since) => Some((0, since)),
            (Phase::Reading | Phase::Body, _) if coming && waits(c.sock.heard()) => Some((1, c.sock.heard())),
            _ => None,
        };
        let mut ranked: BinaryHeap<_> =
            open.iter().filter_map(|(n, c)| Some(Reverse((rank(c)?, *n)))).collect();
        // The kernel is asked of as few as it takes: to ask of each at every connection of a crowd is all that the
        // node would find time for.
        let idle = |c: &Client| !matches!(c.sock.phase().0, Phase::New | Phase::Idle) || c.sock.quiet();
        let least =
            std::iter::from_fn(|| ranked.pop()).find_map(|Reverse((_, n))| open.get(&n).filter(|c| idle(c)));
        let Some(client) = least else { return false };
        client.evicted.set(true);
        self.evicted.set(self.evicted.get() + 1);
        client.sock.enter(Phase::Ending);
        client.close.notify_one();
        true
    }

    fn serve(self: &Rc<Self>, stream: TcpStream) {
        let Ok(sock) = Sock::new(stream) else { return };
        let number = self.last.get() + 1;
        self.last.set(number);
        let client = Rc::new(Client { sock, close: Notify::new(), evicted: Cell::new(false) });
        self.open.borrow_mut().insert(number, client.clone());
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            clients.converse(client.clone()).await;
            clients.open.borrow_mut().remove(&number);
            clients.evicted.set(clients.evicted.get() - usize::from(client.evicted.get()));
            drop(client);
            clients.freed.notify_one();
        });
    }

    async fn converse(self: &Rc<Self>, client: Rc<Client>) {
        let service = service_fn(|request| {
            let (node, sock) = (self.node.clone(), client.sock.clone());
            async move { Ok::<_, Infallible>(respond(node, sock, request).await) }
        });
        let conn = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .auto_date_header(false)
            .serve_connection(Io(client.sock.clone()), service);
        let sock = &client.sock;
        let talk = async {
            let broke = {
                let (mut conn, mut left) = (pin!(conn), pin!(sock.left()));
                let mut gone = false;
                poll_fn(|cx| {
                    if let Poll::Ready(ended) = conn.as_mut().poll(cx) {
                        return Poll::Ready(ended.is_err());
                    }
                    // While it has bytes that came behind the request, hyper does not look for the end behind them.
                    gone = gone || left.as_mut().poll(cx).is_ready();
                    if gone && matches!(sock.phase().0, Phase::Busy | Phase::Answering) {
                        return Poll::Ready(true);
                    }
                    Poll::Pending
                })
                .await
            };
            if broke && sock.phase().0 == Phase::Answering {
                // Whatever the answer's framing, its end must not look like a whole one's.
                sock.reset();
                return;
            }
            sock.enter(Phase::Ending);
            let _ = timeout(LINGER, sock.linger()).await;
        };
        tokio::select! {
            // Once it is decided that it closes, nothing more is read that would be lost then.
            biased;
            () = client.close.notified() => {}
            () = talk => return,
        }
        match sock.phase().0 {
            Phase::Answering => return sock.reset(),
            Phase::Ending => {}
            _ => {
                // A request may come in this very moment: nobody has read it, and its client is told so in order.
                sock.enter(Phase::Ending);
                tokio::select! {
                    biased;
                    () = client.close.notified() => {}
                    _ = timeout(FRESH, sock.linger()) => return,
                }
            }
        }
        // It makes room now.
        sock.finish();
    }
}

/// Answers one request.
async fn respond(node: Rc<Node>, sock: Rc<Sock>, request: Request<Incoming>) -> Response<Outgoing> {
    let began = sock.arrived();
    let head = *request.method() == Method::HEAD;
    let mut answer = if asks_readiness(&node, &request) {
        plain(node.readiness())
    } else {
        let ambiguous = sock.ambiguous();
        sock.enter(Phase::Body);
        match read(&node, request, ambiguous).await {
            Ok((asked, remaining)) => {
                sock.enter(Phase::Busy);
                let coming = began.elapsed();
                if coming >= SLOW {
                    log::trouble(|| format!("{}: took {coming:.1?} to come", asked.txn()));
                }
                settle(&node, asked, remaining, sock.heard()).await
            }
            Err(Bad { status, closes }) => {
                let mut answer = plain(status);
                if closes {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                answer
            }
        }
    };
    if node.closing.get().is_some() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    sock.begin(if head { Length::Of(0) } else { Length::of(answer.body()) }, None);
    sock.enter(Phase::Answering);
    answer
}

/// Is it the question whether the node can serve? A class may be named so too; its requests bring an id.
fn asks_readiness(node: &Node, request: &Request<Incoming>) -> bool {
    let class =
        || request.headers().contains_key(TXN) && node.config.told.class_names.iter().any(|c| c == "ready");
    request.uri().path() == "/ready" && !class()
}

/// An answer without a body.
pub fn plain(status: StatusCode) -> Response<Outgoing> {
    let mut answer = Response::new(Outgoing::held(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Gives up the request when the client's connection ends before its answer.
struct Owed {
    node: Rc<Node>,
    id: RequestId,
    txn: String,
    came: Instant,
    answered: bool,
}

impl Drop for Owed {
    fn drop(&mut self) {
        if !self.answered {
            let after = self.came.elapsed();
            log::trouble(|| format!("{}: left by its client, or out of time, after {after:.1?}", self.txn));
            self.node.client_gone(self.id);
        }
    }
}

/// Takes a request in, if one may be taken right now, and waits for its final answer. Its time counts from its last
/// byte, which `came` then or sooner: one that came right behind another has waited for the answer to that.
async fn settle(node: &Rc<Node>, asked: Asked, remaining: Duration, came: Instant) -> Response<Outgoing> {
    let mut taken = node.metrics.take(asked.class);
    if !node.has_room() {
        taken.end = End::Overload;
        return refusal(0.0);
    }
    let epoch = match node.admit() {
        Ok(epoch) => epoch,
        Err(stop) => {
            log::trouble(|| format!("{}: refused, {}", asked.txn(), stop.words()));
            taken.end = End::Overload;
            return refusal(node.held_away());
        }
    };
    let mut answer = answered(node, asked, remaining, came, taken).await;
    if let Some(epoch) = epoch {
        answer.headers_mut().insert(POLICY_EPOCH, HeaderValue::from(epoch));
    }
    answer
}

/// Hands the request to the node and waits for its final answer.
async fn answered(
    node: &Rc<Node>,
    asked: Asked,
    remaining: Duration,
    came: Instant,
    taken: Taken,
) -> Response<Outgoing> {
    let (margin, guard) = margins(remaining);
    let (txn, passage) = (asked.txn().to_string(), asked.body.passage().cloned());
    let (id, mut answered) = node.request(asked, came + remaining - margin);
    let mut owed = Owed { node: node.clone(), id, txn, came, answered: false };
    if let Some(passage) = passage {
        let whole = tokio::select! {
            biased;
            fate = passage.ended() => fate == Fate::Whole,
            early = &mut answered => {
                owed.answered = true;
                return early.map_or_else(|_| plain(StatusCode::BAD_GATEWAY), |answer| word(answer, taken));
            }
        };
        owed.came = Instant::now();
        if whole {
            node.whole(id, owed.came + remaining - margin);
        }
    }
    let Some(answer) = in_time(owed.came + remaining - guard, answered).await else {
        return plain(StatusCode::GATEWAY_TIMEOUT);
    };
    owed.answered = true;
    word(answer, taken)
}

/// Words the final answer. What is passed on as it comes ends the request when it ends.
fn word(answer: Answer, mut taken: Taken) -> Response<Outgoing> {
    match answer {
        Answer::Served(reply) => {
            let Reply { headers, body } = *reply;
            let body = match body {
                Gathered::Whole(kept) => {
                    taken.end = End::Success;
                    Outgoing::held(kept)
                }
                Gathered::Coming(mut coming) => {
                    coming.ends(taken);
                    Outgoing::Coming(coming)
                }
            };
            let mut answer = Response::new(body);
            *answer.headers_mut() = headers;
            answer
        }
        Answer::Refused(stay_away) => {
            taken.end = End::Overload;
            refusal(stay_away)
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY),
    }
}

/// How long before the client's deadline the module's ends, and the node answers in its place. A request with
/// little time left keeps most of it: its answer, too, may come late.
fn margins(remaining: Duration) -> (Duration, Duration) {
    (MARGIN.min(remaining / 8), GUARD.min(remaining / 16))
}

/// The answer, if it comes in time. Whatever becomes of the module's timers and attempts, the client is not
/// kept waiting past that.
async fn in_time(last: Instant, answered: oneshot::Receiver<Answer>) -> Option<Answer> {
    tokio::time::timeout_at(last.into(), answered).await.ok()?.ok()
}

/// A refusal, with the module's word on when to come back in decimal seconds.
fn refusal(stay_away: Millis) -> Response<Outgoing> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    if stay_away > 0.0 {
        if let Ok(span) = HeaderValue::from_str(&format!("{:.3}", stay_away / 1000.0)) {
            answer.headers_mut().insert(RETRY_AFTER, span);
        }
    }
    answer
}

/// What is wrong with a request, and whether its connection is of further use.
struct Bad {
    status: StatusCode,
    closes: bool,
}

impl From<StatusCode> for Bad {
    fn from(status: StatusCode) -> Self {
        Self { status, closes: false }
    }
}

/// The one value of a header, if it has one that can be read.
fn header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Bad> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| StatusCode::BAD_REQUEST.into()),
        _ => Err(StatusCode::BAD_REQUEST.into()),
    }
}

/// Ids and keys: some visible characters.
fn token(value: Option<&str>) -> Result<&str, Bad> {
    let fits = |v: &&str| (1..=256).contains(&v.len()) && v.bytes().all(|b| b.is_ascii_graphic());
    value.filter(fits).ok_or(StatusCode::BAD_REQUEST.into())
}

async fn read(node: &Node, request: Request<Incoming>, ambiguous: bool) -> Result<(Asked, Duration), Bad> {
    let told = &node.config.told;
    let (parts, body) = request.into_parts();
    let mut encodings = parts.headers.get_all(TRANSFER_ENCODING).iter();
    if let Some(encoding) = encodings.next() {
        // Two readings of where such a request ends are one too many: it may hide another.
        let plain = encodings.next().is_none() && encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
        if ambiguous || !plain {
            return Err(Bad { status: StatusCode::BAD_REQUEST, closes: true });
        }
    }
    let declared = parts.headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    // What has not been read when the answer goes out makes the connection useless.
    let unread =
        |status| Bad { status, closes: declared != Some(0) && !hyper::body::Body::is_end_stream(&body) };
    if declared.is_some_and(|n| n > BODY_MOST as u64) {
        return Err(unread(StatusCode::PAYLOAD_TOO_LARGE));
    }
    // A name stands there as it is, or percent-encoded; no class has an empty one.
    let name = parts.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = |name: &str| told.class_names.iter().position(|c| c == name);
    let decoded = || class(&percent_decode_str(name).decode_utf8().ok()?);
    let class = class(name).or_else(decoded).ok_or_else(|| unread(StatusCode::NOT_FOUND))?;
    let checked = check(&parts.method, &parts.headers, told.settings.classes[class].idempotency);
    let remaining = checked.map_err(|bad| unread(bad.status))?;
    // A name may have letters beyond ASCII; two of them are none.
    let mut orgs = parts.headers.get_all(&ORG).iter();
    let org = orgs.next().filter(|_| orgs.next().is_none());
    let tenant = org.and_then(|org| told.tenant_names.iter().position(|t| t.as_bytes() == org.as_bytes()));
    let mut uri = Uri::builder();
    if let Some(path) = parts.uri.path_and_query() {
        uri = uri.path_and_query(path.clone());
    }
    let uri = uri.build().map_err(|_| unread(StatusCode::BAD_REQUEST))?;
    let body = match gather(Paced::new(body, SENDING), &node.budget, Side::Request).await {
        Ok(body) => body.into(),
        Err(Cut::Slow) => return Err(Bad { status: StatusCode::REQUEST_TIMEOUT, closes: true }),
        Err(Cut::Long) => return Err(Bad { status: StatusCode::PAYLOAD_TOO_LARGE, closes: true }),
        Err(Cut::NoRoom) => return Err(Bad { status: StatusCode::SERVICE_UNAVAILABLE, closes: true }),
        Err(Cut::Broken(_)) => return Err(Bad { status: StatusCode::BAD_REQUEST, closes: true }),
    };
    let mut headers = end_to_end(&parts.headers);
    headers.remove(REMAINING);
    // Microseconds; a guess that can't be read is none.
    let work = headers.get(ESTIMATE).and_then(|v| v.to_str().ok()?.parse::<u32>().ok());
    let work = work.map(|us| f64::from(us) / 1000.0);
    let again = headers.get(RESENT).is_some_and(|v| v == "1");
    if !headers.contains_key(HOST) {
        headers.insert(HOST, HeaderValue::from_static("service.internal"));
    }
    Ok((Asked { class, tenant, again, work, method: parts.method, uri, headers, body }, remaining))
}

/// Checks what a request must bring, and gives its time.
fn check(method: &Method, headers: &HeaderMap, effect: Idempotency) -> Result<Duration, Bad> {
    token(header(headers, &TXN)?)?;
    let remaining = header(headers, &REMAINING)?.filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    let remaining = remaining.and_then(|v| v.parse::<u64>().ok()).ok_or(StatusCode::BAD_REQUEST)?;
    let wanted = if effect == Idempotency::Safe { Method::GET } else { Method::POST };
    if *method != wanted {
        return Err(StatusCode::BAD_REQUEST.into());
    }
    if matches!(effect, Idempotency::Keyed { .. }) {
        token(header(headers, &KEY)?)?;
    }
    Ok(Duration::from_millis(remaining.min(LONGEST)))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Half of what a request with little time has left must not be kept back for the way to the client.
    #[test]
    fn little_time_is_left_to_the_servers() {
        let ms = Duration::from_millis;
        assert_eq!(margins(ms(1000)), (MARGIN, GUARD));
        for left in [1, 20, 40, 80] {
            let (margin, guard) = margins(ms(left));
            assert!(margin <= ms(left) / 5 && guard < margin, "{margin:?} and {guard:?} of {left} ms");
        }
    }

    /// An answer that never comes must not keep the client past its deadline.
    #[test]
    fn the_guard_ends_the_wait_for_an_answer() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let (module, answered) = oneshot::channel();
            let guarded = in_time(Instant::now() + Duration::from_millis(50), answered);
            let ended = timeout(Duration::from_secs(20), guarded).await;
            assert!(matches!(ended, Ok(None)));
            drop(module);
            let (module, answered) = oneshot::channel();
            assert!(module.send(Answer::Refused(1.0)).is_ok());
            let guarded = in_time(Instant::now() + Duration::from_secs(20), answered);
            assert!(matches!(guarded.await, Some(Answer::Refused(_))));
        });
    }
}
