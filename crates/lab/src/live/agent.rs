//! The agent of discovery on each node's machine: the list as it was sent to it, over the platform's protocol.

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

use super::{LabError, Stage};

/// An empty line comes this often while nothing changes; the platform's is every 2 s.
const QUIET: Duration = Duration::from_millis(1000);
/// Lines that wait for a watch to be read; one more ends it.
const LINES: usize = 64;

/// The watches of one node.
#[derive(Default)]
pub struct Agent {
    watches: RefCell<Vec<Watch>>,
}

struct Watch {
    lines: Sender<Bytes, Infallible>,
}

type Answer = Response<UnsyncBoxBody<Bytes, Infallible>>;

/// Takes a node's calls.
///
/// # Errors
/// Where its address can't be listened at.
pub async fn serve(stage: Rc<Stage>, node: usize) -> Result<(), LabError> {
    let at = stage.addresses.list(node);
    let fail = |source: std::io::Error| LabError::Listen { at, source };
    let listener = TcpListener::bind(at).await.map_err(fail)?;
    tokio::task::spawn_local(quiet(stage.clone(), node));
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(tokio::task::spawn_local(converse(stage.clone(), node, stream))),
                Err(_) => tokio::time::sleep(QUIET).await,
            }
        }
    });
    Ok(())
}

async fn converse(stage: Rc<Stage>, node: usize, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| answer(&stage, node, request));
    // A node that breaks off has no more to say.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn answer(stage: &Rc<Stage>, node: usize, request: Request<Incoming>) -> Result<Answer, Infallible> {
    if request.uri().path() != "/v1/endpoints" {
        return Ok(plain(StatusCode::NOT_FOUND, Bytes::new()));
    }
    if stage.world().list_unavailable() {
        std::future::pending::<()>().await;
    }
    let from =
        request.uri().query().filter(|q| q.contains("watch=1")).map(|q| {
            q.split('&').find_map(|part| part.strip_prefix("from=")?.parse::<u64>().ok()).unwrap_or(0)
        });
    let version = stage.world().agent_version(node);
    let Some(from) = from else {
        let line = line(stage, node, 0, version);
        stage.with(|world, now| world.list_delivered(now, node, version));
        return Ok(plain(StatusCode::OK, line));
    };
    let (lines, body) = Channel::new(LINES);
    let mut watch = Watch { lines };
    // One from the future, as from before the list fell behind, gets the whole list.
    if from == version || watch.tell(stage, node, if from < version { from } else { 0 }, version) {
        stage.agents[node].watches.borrow_mut().push(watch);
    }
    Ok(Response::new(body.boxed_unsync()))
}

fn line(stage: &Stage, node: usize, from: u64, to: u64) -> Bytes {
    // Plain data always has a text.
    let mut text = serde_json::to_string(&stage.world().list_update(node, from, to)).unwrap_or_default();
    text.push('\n');
    text.into()
}

fn plain(status: StatusCode, words: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(words).boxed_unsync());
    *answer.status_mut() = status;
    answer
}

impl Watch {
    /// Says the line that brings a node from one version to another; false where the watch has ended.
    fn tell(&mut self, stage: &Rc<Stage>, node: usize, from: u64, to: u64) -> bool {
        let said = self.lines.try_send(Frame::data(line(stage, node, from, to))).is_ok();
        if said {
            stage.with(|world, now| world.list_delivered(now, node, to));
        }
        said
    }
}

/// A node's agent has a line: its watches bring it. What follows from that may be the next line, so no watch may be
/// away meanwhile.
pub fn tell(stage: &Rc<Stage>, node: usize, from: u64, to: u64) {
    let line = line(stage, node, from, to);
    let told = {
        let mut watches = stage.agents[node].watches.borrow_mut();
        watches.retain_mut(|watch| watch.lines.try_send(Frame::data(line.clone())).is_ok());
        !watches.is_empty()
    };
    if told {
        stage.with(|world, now| world.list_delivered(now, node, to));
    }
}

/// A node's watches end.
pub fn end_watches(stage: &Stage, node: usize) {
    stage.agents[node].watches.borrow_mut().clear();
}

/// Says now and then that there is nothing new.
async fn quiet(stage: Rc<Stage>, node: usize) {
    loop {
        tokio::time::sleep(QUIET).await;
        if !stage.world().list_unavailable() {
            let empty = || Frame::data(Bytes::from_static(b"\n"));
            stage.agents[node].watches.borrow_mut().retain_mut(|watch| watch.lines.try_send(empty()).is_ok());
        }
    }
}
