//! The discovery agent on each node's host: serves the list of servers over the platform's protocol (`/v1/endpoints`).

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::{LabError, RunContext};

/// Interval of empty lines on a watch without changes; the platform's is 2 s.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1000);
/// Maximum number of unread lines of a watch; one more closes it.
const MAX_QUEUED_LINES: usize = 64;

/// The open watches of one node.
#[derive(Default)]
pub struct DiscoveryAgent {
    watches: RefCell<Vec<Watch>>,
}

/// An open watch.
struct Watch {
    lines: Sender<Bytes, Infallible>,
}

type HttpResponse = Response<UnsyncBoxBody<Bytes, Infallible>>;

/// Serves a node's discovery calls.
///
/// # Errors
/// Fails if its address cannot be listened at.
pub async fn serve(run: Rc<RunContext>, node: usize) -> Result<(), LabError> {
    let address = run.addresses.discovery(node);
    let fail = |source: std::io::Error| LabError::Listen { at: address, source };
    let listener = TcpListener::bind(address).await.map_err(fail)?;
    tokio::task::spawn_local(send_keep_alives(run.clone(), node));
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    drop(tokio::task::spawn_local(serve_connection(run.clone(), node, stream)))
                }
                Err(_) => tokio::time::sleep(KEEP_ALIVE_INTERVAL).await,
            }
        }
    });
    Ok(())
}

/// Serves one connection of a node.
async fn serve_connection(run: Rc<RunContext>, node: usize, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| respond(&run, node, request));
    // An error means that the node closed the connection.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Answers a call for the list, or opens a watch.
async fn respond(
    run: &Rc<RunContext>,
    node: usize,
    request: Request<Incoming>,
) -> Result<HttpResponse, Infallible> {
    if request.uri().path() != "/v1/endpoints" {
        return Ok(response(StatusCode::NOT_FOUND, Bytes::new()));
    }
    if run.world().list_unavailable() {
        std::future::pending::<()>().await;
    }
    let from =
        request.uri().query().filter(|q| q.contains("watch=1")).map(|q| {
            q.split('&').find_map(|part| part.strip_prefix("from=")?.parse::<u64>().ok()).unwrap_or(0)
        });
    let version = run.world().agent_version(node);
    let Some(from) = from else {
        let line = line(run, node, 0, version);
        run.update(|world, now| world.list_delivered(now, node, version));
        return Ok(response(StatusCode::OK, line));
    };
    let (lines, body) = Channel::new(MAX_QUEUED_LINES);
    let mut watch = Watch { lines };
    // A node with a newer version than the (stale) list gets the full list.
    if from == version || watch.send_update(run, node, if from < version { from } else { 0 }, version) {
        run.agents[node].watches.borrow_mut().push(watch);
    }
    Ok(Response::new(body.boxed_unsync()))
}

/// A list update as a line of JSON.
fn line(run: &RunContext, node: usize, from: u64, to: u64) -> Bytes {
    // Plain data can always be serialized.
    let mut text = serde_json::to_string(&run.world().list_update(node, from, to)).unwrap_or_default();
    text.push('\n');
    text.into()
}

fn response(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut answer = Response::new(Full::new(body).boxed_unsync());
    *answer.status_mut() = status;
    answer
}

impl Watch {
    /// Sends the update from one version to another; returns false if the watch is closed.
    fn send_update(&mut self, run: &Rc<RunContext>, node: usize, from: u64, to: u64) -> bool {
        let sent = self.lines.try_send(Frame::data(line(run, node, from, to))).is_ok();
        if sent {
            run.update(|world, now| world.list_delivered(now, node, to));
        }
        sent
    }
}

/// Sends an update on all watches of a node. Reporting the delivery may cause the next update at once, so the watches
/// must be back in place before it.
pub fn send_update(run: &Rc<RunContext>, node: usize, from: u64, to: u64) {
    let line = line(run, node, from, to);
    let delivered = {
        let mut watches = run.agents[node].watches.borrow_mut();
        watches.retain_mut(|watch| watch.lines.try_send(Frame::data(line.clone())).is_ok());
        !watches.is_empty()
    };
    if delivered {
        run.update(|world, now| world.list_delivered(now, node, to));
    }
}

/// Closes a node's watches.
pub fn end_watches(run: &RunContext, node: usize) {
    run.agents[node].watches.borrow_mut().clear();
}

/// Sends empty lines on idle watches as keep-alives.
async fn send_keep_alives(run: Rc<RunContext>, node: usize) {
    loop {
        tokio::time::sleep(KEEP_ALIVE_INTERVAL).await;
        if !run.world().list_unavailable() {
            let empty_line = || Frame::data(Bytes::from_static(b"\n"));
            run.agents[node]
                .watches
                .borrow_mut()
                .retain_mut(|watch| watch.lines.try_send(empty_line()).is_ok());
        }
    }
}
