//! Client connections: sends each request when it is due, and reports the outcome to the world.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use super::RunContext;
use crate::draw::us_from_s;
use crate::plan::Idempotency;
use crate::world::TryOutcome;

/// Largest accepted response body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Timeout of a connect to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Pool of client connections to one node.
pub struct ConnectionPool {
    node: SocketAddr,
    idle: RefCell<Vec<ClientConnection>>,
    /// Each try in progress holds a permit, which limits the connections in use at a time.
    permits: Semaphore,
}

/// A connection; closed on drop.
struct ClientConnection {
    send: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ConnectionPool {
    /// Creates an empty pool of at most `max_connections` connections.
    pub fn new(node: SocketAddr, max_connections: usize) -> Self {
        Self { node, idle: RefCell::default(), permits: Semaphore::new(max_connections) }
    }

    /// Takes the newest idle connection that is still open, and drops the closed ones that come before it.
    fn take_idle(&self) -> Option<ClientConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.send.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection.
    async fn open(&self) -> Option<ClientConnection> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.node)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (send, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // An error of the connection also fails its request and is reported there.
        let driver = tokio::task::spawn_local(async move { drop(connection.await) });
        Some(ClientConnection { send, driver })
    }
}

/// Sends a client's request and reports its outcome.
pub async fn run_try(run: Rc<RunContext>, try_id: usize) {
    let outcome = exchange(&run, try_id).await;
    run.update(|world, now| world.try_ended(now, try_id, outcome));
    run.try_finished(try_id);
}

/// Sends the request of a try on an idle or a new connection, and reads the answer.
async fn exchange(run: &Rc<RunContext>, try_id: usize) -> TryOutcome {
    let pool = run.pool(try_id);
    let Ok(_permit) = pool.permits.acquire().await else { return TryOutcome::NoConnection };
    if let Some(mut connection) = pool.take_idle() {
        // If sending fails, the node may have closed the idle connection at that moment: the request is sent again
        // below, on a new connection.
        if let Ok(answer) = connection.send.send_request(request(run, try_id)).await {
            return read_answer(run, &pool, try_id, connection, answer).await;
        }
    }
    let Some(mut connection) = pool.open().await else { return TryOutcome::NoConnection };
    match connection.send.send_request(request(run, try_id)).await {
        Ok(answer) => read_answer(run, &pool, try_id, connection, answer).await,
        Err(_) => TryOutcome::ConnectionLost { partial_answer: false },
    }
}

/// Reads an answer, and returns the connection to the pool.
async fn read_answer(
    run: &Rc<RunContext>,
    pool: &ConnectionPool,
    try_id: usize,
    connection: ClientConnection,
    answer: Response<hyper::body::Incoming>,
) -> TryOutcome {
    let (head, body) = answer.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return TryOutcome::ConnectionLost { partial_answer: true };
    };
    run.record_admission(try_id, &head);
    let retry_after = head.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
    let body = body.to_bytes();
    pool.idle.borrow_mut().push(connection);
    let attempt = run.world().attempt_of_body(&body);
    TryOutcome::Answer { status: head.status.as_u16(), retry_after: retry_after.map(us_from_s), attempt }
}

/// The HTTP request of a try.
fn request(run: &RunContext, try_id: usize) -> Request<Full<Bytes>> {
    let world = run.world();
    let client_try = world.client_try(try_id);
    let class = &world.draw().classes[client_try.class];
    let (method, body) = match class.idempotency {
        Idempotency::Safe => (Method::GET, Bytes::new()),
        Idempotency::Keyed | Idempotency::Unsafe => {
            (Method::POST, Bytes::from(format!("{:.<100}", client_try.request)))
        }
    };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    let path = format!("/{}/{}", class.name, client_try.request);
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    let mut set_header = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            request.headers_mut().insert(name, value);
        }
    };
    set_header("host", "service.internal".into());
    set_header("x-txn", world.txn(try_id));
    set_header("x-remaining-ms", (client_try.timeout / 1000).to_string());
    set_header("x-estimate", format!("{:.0}", client_try.work_estimate));
    if client_try.is_retry {
        set_header("x-resent", "1".into());
    }
    if class.idempotency == Idempotency::Keyed {
        set_header("idempotency-key", format!("{:016x}{:016x}", world.draw().seed, client_try.request));
    }
    request
}

/// Opens connections that send nothing and keeps them for `stay`; those that the node closes are not reopened.
pub async fn hold_idle_connections(node: SocketAddr, count: usize, stay: Duration) {
    let mut streams = Vec::new();
    for _ in 0..count {
        // A node may refuse further connections to protect itself.
        if let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(node)).await {
            streams.push(stream);
        }
    }
    tokio::time::sleep(stay).await;
    drop(streams);
}
