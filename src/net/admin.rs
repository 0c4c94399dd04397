//! The operators' second address: HTTP/1.1, one call to a connection.

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

use super::bodies::Outgoing;
use super::clients::plain;
use super::fault::Advice;
use super::log;
use super::node::Node;
use super::sock::{Io, Sock};

/// Callers at a time; their descriptors are kept aside. One more takes the place of the one that came first.
const CALLERS: usize = 8;
/// How long a caller may take for its call, and to read the answer.
const PATIENCE: Duration = Duration::from_millis(2000);
/// How long a connection is read after its answer, so that a reset does not overtake it.
const LINGER: Duration = Duration::from_millis(200);
/// How long accepting rests when descriptors have run out all the same.
const EXHAUSTED: Duration = Duration::from_millis(20);
/// The largest head of a call.
const HEAD_MOST: usize = 8 * 1024;

/// The second address.
pub struct Admin {
    node: Rc<Node>,
    /// The callers, in the order in which they came.
    open: RefCell<BTreeMap<u64, Rc<Notify>>>,
    last: Cell<u64>,
}

impl Admin {
    /// No callers yet.
    pub fn new(node: Rc<Node>) -> Rc<Self> {
        Rc::new(Self { node, open: RefCell::default(), last: Cell::new(0) })
    }

    /// Takes calls; never ends.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.serve(stream),
                Err(error) => {
                    log::trouble(|| format!("accept at the second address: {error}"));
                    tokio::time::sleep(EXHAUSTED).await;
                }
            }
            // Whoever has come gets to say its call before the next one can take its place.
            tokio::task::yield_now().await;
        }
    }

    fn serve(self: &Rc<Self>, stream: TcpStream) {
        let Ok(sock) = Sock::new(stream) else { return };
        let (number, close) = (self.last.get() + 1, Rc::new(Notify::new()));
        self.last.set(number);
        let mut open = self.open.borrow_mut();
        if open.len() >= CALLERS {
            if let Some((_, first)) = open.pop_first() {
                first.notify_one();
            }
        }
        open.insert(number, close.clone());
        let admin = self.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                _ = timeout(PATIENCE, admin.converse(sock)) => {}
                () = close.notified() => {}
            }
            admin.open.borrow_mut().remove(&number);
        });
    }

    async fn converse(&self, sock: Rc<Sock>) {
        let service = service_fn(|call| async move {
            let (method, path) = (call.method(), call.uri().path());
            Ok::<_, Infallible>(self.answer(method, path))
        });
        let conn = http1::Builder::new()
            .keep_alive(false)
            .max_buf_size(HEAD_MOST)
            .auto_date_header(false)
            .serve_connection(Io(sock.clone()), service);
        // What breaks a caller's connection is the caller's to see.
        let _ = conn.await;
        let _ = timeout(LINGER, sock.linger()).await;
    }

    fn answer(&self, method: &Method, path: &str) -> Response<Outgoing> {
        match path {
            "/metrics" => only(Method::GET, method, || {
                let mut answer = Response::new(Outgoing::held(Bytes::from(self.node.figures())));
                answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
                answer
            }),
            "/ready" => only(Method::GET, method, || plain(self.node.readiness())),
            _ => self.maintain(method, path).unwrap_or_else(|| plain(StatusCode::NOT_FOUND)),
        }
    }

    /// A call that takes a server out or gives it back; `None` where the path is no such call.
    fn maintain(&self, method: &Method, path: &str) -> Option<Response<Outgoing>> {
        let (what, id) = path.strip_prefix("/app-servers/")?.split_once('/')?;
        let out = match what {
            "disable" => true,
            "enable" => false,
            _ => return None,
        };
        Some(only(Method::PUT, method, || {
            let Ok(name) = percent_decode_str(id).decode_utf8() else {
                return plain(StatusCode::BAD_REQUEST);
            };
            let known = if out { Ok(self.node.disable(&name)) } else { self.node.enable(&name) };
            plain(match known {
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

/// The answer to a call that has just one method.
fn only(wanted: Method, method: &Method, answer: impl FnOnce() -> Response<Outgoing>) -> Response<Outgoing> {
    if *method == wanted {
        return answer();
    }
    let mut refusal = plain(StatusCode::METHOD_NOT_ALLOWED);
    let allowed = if wanted == Method::GET { "GET" } else { "PUT" };
    refusal.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    refusal
}
