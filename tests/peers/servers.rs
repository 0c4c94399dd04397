//! Scripted app servers.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

use super::{http_response, read_message, Message};

/// How a scripted server handles a request.
pub enum Reply {
    /// Writes the bytes and keeps the connection.
    Send(Vec<u8>),
    /// Writes the bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Writes the bytes after a delay and keeps the connection.
    SendAfter(Duration, Vec<u8>),
    /// Writes each piece after its delay, then closes the connection if the flag is set.
    SendPieces(Vec<(Duration, Vec<u8>)>, bool),
    /// Writes nothing and keeps the connection.
    Silence,
    /// Runs the function on the connection, then drops it.
    Custom(Box<dyn FnOnce(&mut TcpStream)>),
}

impl Reply {
    /// Writes the bytes and resets the connection.
    pub fn reset(bytes: &[u8]) -> Self {
        let bytes = bytes.to_vec();
        Self::Custom(Box::new(move |writer| {
            let _ = writer.write_all(&bytes);
            SockRef::from(&*writer).set_linger(Some(Duration::ZERO)).expect("SO_LINGER cannot be set");
        }))
    }
}

/// An address that refuses connections as long as this is held: its port is taken, so that nothing else listens there.
pub struct RefusingAddress {
    pub address: SocketAddr,
    _bound: Socket,
}

impl RefusingAddress {
    /// Takes a free port.
    pub fn new() -> Self {
        let bound = Socket::new(Domain::IPV4, Type::STREAM, None).expect("no socket can be created");
        bound.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("no free port");
        let address = bound.local_addr().expect("the local address is unknown");
        Self { address: address.as_socket().expect("not an IP address"), _bound: bound }
    }
}

/// A scripted app server.
pub struct TestServer {
    pub address: SocketAddr,
    /// Every message received, probes included.
    received: Arc<Mutex<Vec<Message>>>,
    open_connections: Arc<AtomicUsize>,
}

impl TestServer {
    /// Starts a server on a free port that handles each request as `script` says.
    pub fn new(script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        Self::with_listener(TcpListener::bind("127.0.0.1:0").expect("no free port"), script)
    }

    /// Starts a server on a given listener.
    pub fn with_listener(
        listener: TcpListener,
        script: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("the local address is unknown");
        let (received, open) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
        let server = Self { address, received: received.clone(), open_connections: open.clone() };
        let script = Arc::new(script);
        std::thread::spawn(move || {
            for (connection, stream) in (1..).zip(listener.incoming()) {
                let (received, open, script) = (received.clone(), open.clone(), script.clone());
                let Ok(stream) = stream else { return };
                open.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    serve_connection(stream, connection, &received, &*script);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    /// Starts a server that answers every request with 200 and its name as the body.
    pub fn ok(name: &'static str) -> Self {
        Self::new(move |_| Reply::Send(http_response(200, "", name)))
    }

    /// The requests received so far, without health probes.
    pub fn requests(&self) -> Vec<Message> {
        let received = self.received.lock().expect("the lock is poisoned");
        received.iter().filter(|m| m.path() != "/health").cloned().collect()
    }

    /// Number of health probes received.
    pub fn probes(&self) -> usize {
        self.received.lock().expect("the lock is poisoned").len() - self.requests().len()
    }

    /// Number of connections open now.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::SeqCst)
    }
}

fn serve_connection(
    stream: TcpStream,
    connection: usize,
    received: &Mutex<Vec<Message>>,
    script: &dyn Fn(&Message) -> Reply,
) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader, connection) {
        received.lock().expect("the lock is poisoned").push(message.clone());
        let (bytes, close) = match script(&message) {
            Reply::Send(bytes) => (bytes, false),
            Reply::SendAndClose(bytes) => (bytes, true),
            Reply::SendAfter(delay, bytes) => {
                std::thread::sleep(delay);
                (bytes, false)
            }
            Reply::SendPieces(pieces, close) => {
                for (delay, piece) in pieces {
                    std::thread::sleep(delay);
                    if writer.write_all(&piece).is_err() {
                        break;
                    }
                }
                (Vec::new(), close)
            }
            Reply::Silence => (Vec::new(), false),
            Reply::Custom(action) => return action(&mut writer),
        };
        if writer.write_all(&bytes).is_err() || close {
            break;
        }
    }
    let _ = writer.shutdown(std::net::Shutdown::Both);
}
