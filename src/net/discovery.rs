//! Calls to the discovery service. Each step of a call is reported to the node, whose list watcher decides what to
//! do.

use std::rc::Rc;

use bytes::Bytes;
use endpoints::{CallId, Event};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::Request;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};

use super::node::Node;
use super::socket::{HyperIo, TrackedSocket};

/// Requests a path on a connection of its own, which is closed with the call.
pub async fn call(node: Rc<Node>, id: CallId, path: String) {
    match read_response(&node, id, &path).await {
        Ok(()) => node.handle_discovery(Event::ResponseEnded(id)),
        Err(error) => node.handle_discovery(Event::CallFailed(id, &error.to_string())),
    }
}

/// Any error ends the call, and the list watcher repeats it; the text is for the log.
type CallError = Box<dyn std::error::Error>;

async fn read_response(node: &Rc<Node>, id: CallId, path: &str) -> Result<(), CallError> {
    let address = node.discovery_addr.get();
    let socket = TrackedSocket::new(TcpStream::connect(address).await?)?;
    let (mut sender, connection) = http1::handshake(HyperIo(socket)).await?;
    // An error of the connection also fails the call, and is reported there.
    let _driver = DriverTask(spawn_local(async move { drop(connection.await) }));
    let request = Request::get(path).header("host", address.to_string()).body(Empty::<Bytes>::new())?;
    node.handle_discovery(Event::Connected(id));
    let mut response = sender.send_request(request).await?;
    node.handle_discovery(Event::ResponseHead(id, response.status().as_u16()));
    while let Some(frame) = response.frame().await {
        if let Ok(data) = frame?.into_data() {
            node.handle_discovery(Event::ResponseBytes(id, &data));
        }
    }
    Ok(())
}

/// The task that drives a connection; dropped with the call.
struct DriverTask(JoinHandle<()>);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
