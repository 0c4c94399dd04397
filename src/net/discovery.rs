//! Discovery: one call to the service, each step of it told to the node, whose follower knows all else.

use std::rc::Rc;

use bytes::Bytes;
use endpoints::{CallId, Event};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::Request;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};

use super::node::Node;
use super::sock::{Io, Sock};

/// Asks for a path, on a connection of its own that ends with the call.
pub async fn call(node: Rc<Node>, id: CallId, path: String) {
    match answer(&node, id, &path).await {
        Ok(()) => node.discover(Event::ResponseEnded(id)),
        Err(error) => node.discover(Event::CallFailed(id, &error.to_string())),
    }
}

/// Whatever breaks a call, it is made again; the words are for the log.
type Broken = Box<dyn std::error::Error>;

async fn answer(node: &Rc<Node>, id: CallId, path: &str) -> Result<(), Broken> {
    let to = node.discovery.get();
    let sock = Sock::new(TcpStream::connect(to).await?)?;
    let (mut send, conn) = http1::handshake(Io(sock)).await?;
    // What breaks the connection breaks the call too, and is seen there.
    let _driver = Driver(spawn_local(async move { drop(conn.await) }));
    let request = Request::get(path).header("host", to.to_string()).body(Empty::<Bytes>::new())?;
    node.discover(Event::Connected(id));
    let mut answer = send.send_request(request).await?;
    node.discover(Event::ResponseHead(id, answer.status().as_u16()));
    while let Some(frame) = answer.frame().await {
        if let Ok(data) = frame?.into_data() {
            node.discover(Event::ResponseBytes(id, &data));
        }
    }
    Ok(())
}

/// The task that drives a connection; it ends with the call.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}
