//! The clients' side of the sockets: a request is written when it is due, and what comes back is told.

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

use super::Stage;
use crate::draw::us_from_s;
use crate::plan::Idempotency;
use crate::world::TryOutcome;

/// The largest body of an answer.
const BODY_MOST: usize = 64 * 1024;
/// A connection that does not come up in this time is not waited for.
const CONNECT: Duration = Duration::from_secs(3);

/// The connections that clients have to one node.
pub struct Pool {
    node: SocketAddr,
    idle: RefCell<Vec<Conn>>,
    /// Connections at a time.
    most: Semaphore,
}

/// A connection; it ends when this is dropped.
struct Conn {
    send: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Pool {
    /// No connections yet.
    pub fn new(node: SocketAddr, most: usize) -> Self {
        Self { node, idle: RefCell::default(), most: Semaphore::new(most) }
    }

    fn idle(&self) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        while let Some(conn) = idle.pop() {
            if conn.send.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    async fn open(&self) -> Option<Conn> {
        let stream = tokio::time::timeout(CONNECT, TcpStream::connect(self.node)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (send, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // What breaks the connection breaks its request too, and is seen there.
        let driver = tokio::task::spawn_local(async move { drop(conn.await) });
        Some(Conn { send, driver })
    }
}

/// Writes a client's request and tells what came of it.
pub async fn run_try(stage: Rc<Stage>, try_id: usize) {
    let got = converse(&stage, try_id).await;
    stage.with(|world, now| world.try_ended(now, try_id, got));
    stage.asked_for(try_id);
}

async fn converse(stage: &Rc<Stage>, try_id: usize) -> TryOutcome {
    let pool = stage.pool(try_id);
    let Ok(_place) = pool.most.acquire().await else { return TryOutcome::NoConnection };
    if let Some(mut conn) = pool.idle() {
        // A node may close a connection between requests: a request that crosses that goes out once more.
        if let Ok(answer) = conn.send.send_request(request(stage, try_id)).await {
            return hear(stage, &pool, try_id, conn, answer).await;
        }
    }
    let Some(mut conn) = pool.open().await else { return TryOutcome::NoConnection };
    match conn.send.send_request(request(stage, try_id)).await {
        Ok(answer) => hear(stage, &pool, try_id, conn, answer).await,
        Err(_) => TryOutcome::ConnectionLost { partial_answer: false },
    }
}

async fn hear(
    stage: &Rc<Stage>,
    pool: &Pool,
    try_id: usize,
    conn: Conn,
    answer: Response<hyper::body::Incoming>,
) -> TryOutcome {
    let (head, body) = answer.into_parts();
    let Ok(body) = Limited::new(body, BODY_MOST).collect().await else {
        return TryOutcome::ConnectionLost { partial_answer: true };
    };
    stage.admitted(try_id, &head);
    let after = head.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
    let body = body.to_bytes();
    pool.idle.borrow_mut().push(conn);
    let attempt = stage.world().attempt_of_body(&body);
    TryOutcome::Answer { status: head.status.as_u16(), retry_after: after.map(us_from_s), attempt }
}

fn request(stage: &Stage, try_id: usize) -> Request<Full<Bytes>> {
    let world = stage.world();
    let asked = world.client_try(try_id);
    let class = &world.draw().classes[asked.class];
    let (method, body) = match class.idempotency {
        Idempotency::Safe => (Method::GET, Bytes::new()),
        Idempotency::Keyed | Idempotency::Unsafe => {
            (Method::POST, Bytes::from(format!("{:.<100}", asked.request)))
        }
    };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    let path = format!("/{}/{}", class.name, asked.request);
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    let mut header = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            request.headers_mut().insert(name, value);
        }
    };
    header("host", "service.internal".into());
    header("x-txn", world.txn(try_id));
    header("x-remaining-ms", (asked.timeout / 1000).to_string());
    header("x-estimate", format!("{:.0}", asked.work_estimate));
    if asked.is_retry {
        header("x-resent", "1".into());
    }
    if class.idempotency == Idempotency::Keyed {
        header("idempotency-key", format!("{:016x}{:016x}", world.draw().seed, asked.request));
    }
    request
}

/// Strangers that connect and say nothing; those that the node closes do not come again.
pub async fn crowd(node: SocketAddr, count: usize, stay: Duration) {
    let mut held = Vec::new();
    for _ in 0..count {
        // A node that takes no more is a node that looks after itself.
        if let Ok(Ok(stream)) = tokio::time::timeout(CONNECT, TcpStream::connect(node)).await {
            held.push(stream);
        }
    }
    tokio::time::sleep(stay).await;
    drop(held);
}
