//! The operators' interface at the second address: HTTP/1.1, one call per connection.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use percent_encoding::percent_decode_str;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::advice::Advice;
use super::bodies::OutgoingBody;
use super::clients::empty_response;
use super::log;
use super::node::Node;
use super::socket::{HyperIo, TrackedSocket};

/// The most callers at a time; their descriptors are reserved. One more takes the place of the oldest.
const MAX_CALLERS: usize = 8;
/// How long a caller may take to send its call and to read the response.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long a connection is read, and its bytes discarded, after its response: unread bytes would cause a reset, which
/// may overtake the response. Ends early when the peer closes.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// The pause before accepting again after an error, as when descriptors have run out despite the reserve.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The largest head of a call.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The server of the operators' interface.
pub struct Admin {
    node: Rc<Node>,
    /// The open connections, in the order in which they were accepted.
    callers: RefCell<BTreeMap<u64, Rc<Notify>>>,
    last_number: Cell<u64>,
}

impl Admin {
    /// A server without callers.
    pub fn new(node: Rc<Node>) -> Rc<Self> {
        Rc::new(Self { node, callers: RefCell::default(), last_number: Cell::new(0) })
    }

    /// Accepts calls; never returns.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.serve(stream),
                Err(error) => {
                    log::limited(|| format!("accept at the operators' address: {error}"));
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
            // A new caller gets to send its call before the next one can replace it.
            tokio::task::yield_now().await;
        }
    }

    fn serve(self: &Rc<Self>, stream: TcpStream) {
        let Ok(socket) = TrackedSocket::new(stream) else { return };
        let (number, close) = (self.last_number.get() + 1, Rc::new(Notify::new()));
        self.last_number.set(number);
        let mut callers = self.callers.borrow_mut();
        if callers.len() >= MAX_CALLERS {
            if let Some((_, oldest)) = callers.pop_first() {
                oldest.notify_one();
            }
        }
        callers.insert(number, close.clone());
        let admin = self.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                _ = timeout(CALL_TIMEOUT, admin.serve_connection(socket)) => {}
                () = close.notified() => {}
            }
            admin.callers.borrow_mut().remove(&number);
        });
    }

    async fn serve_connection(&self, socket: Rc<TrackedSocket>) {
        let service = service_fn(|call| async move {
            let (method, path) = (call.method(), call.uri().path());
            Ok::<_, Infallible>(self.respond(method, path))
        });
        let conn = http1::Builder::new()
            .keep_alive(false)
            .max_buf_size(MAX_HEAD_BYTES)
            .auto_date_header(false)
            .serve_connection(HyperIo(socket.clone()), service);
        // A failed connection concerns only its caller.
        let _ = conn.await;
        let _ = timeout(LINGER_TIMEOUT, socket.linger()).await;
    }

    fn respond(&self, method: &Method, path: &str) -> Response<OutgoingBody> {
        match path {
            "/metrics" => allow_only(Method::GET, method, || {
                let mut response =
                    Response::new(OutgoingBody::buffered(Bytes::from(self.node.metrics_text())));
                response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
                response
            }),
            "/ready" => allow_only(Method::GET, method, || empty_response(self.node.ready_status())),
            _ => self.maintenance_call(method, path).unwrap_or_else(|| empty_response(StatusCode::NOT_FOUND)),
        }
    }

    /// Bans a server or lifts its ban; `None` if the path is neither call.
    fn maintenance_call(&self, method: &Method, path: &str) -> Option<Response<OutgoingBody>> {
        let (operation, id) = path.strip_prefix("/app-servers/")?.split_once('/')?;
        let ban = match operation {
            "disable" => true,
            "enable" => false,
            _ => return None,
        };
        Some(allow_only(Method::PUT, method, || {
            let Ok(name) = percent_decode_str(id).decode_utf8() else {
                return empty_response(StatusCode::BAD_REQUEST);
            };
            let known = if ban { Ok(self.node.disable(&name)) } else { self.node.enable(&name) };
            empty_response(match known {
                Ok(true) => StatusCode::OK,
                Ok(false) => StatusCode::NOT_FOUND,
                Err(error) => {
                    log::line(error.line());
                    StatusCode::INTERNAL_SERVER_ERROR
                }
            })
        }))
    }
}

/// The response to a call that allows one method only.
fn allow_only(
    allowed: Method,
    method: &Method,
    respond: impl FnOnce() -> Response<OutgoingBody>,
) -> Response<OutgoingBody> {
    if *method == allowed {
        return respond();
    }
    let mut refusal = empty_response(StatusCode::METHOD_NOT_ALLOWED);
    let allow = if allowed == Method::GET { "GET" } else { "PUT" };
    refusal.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
    refusal
}
