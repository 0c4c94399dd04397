//! A shared address at which connections are told apart by their first bytes, so that each party has its own link behind
//! it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, JoinSet};

use crate::{RelayError, MAX_CONNECTIONS};

/// Number of first bytes that must determine the route of a connection.
const MAX_PEEK_BYTES: usize = 4096;
/// Time for the route of a connection to be determined.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks whether more bytes have arrived.
const PEEK_INTERVAL: Duration = Duration::from_millis(1);
/// Delay after the system could not accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A listener that forwards each connection to a destination chosen by its first bytes. It ends, with its connections,
/// when dropped.
#[derive(Debug)]
pub struct ConnectionRouter {
    task: AbortHandle,
}

impl ConnectionRouter {
    /// Listens at an address. `route` receives the first bytes of a connection and returns its destination, or `None` as
    /// long as it cannot be determined. Must be called in a tokio runtime.
    ///
    /// # Errors
    /// The address cannot be bound or listened at, for instance because it is in use.
    pub fn start(
        listen: SocketAddr,
        route: impl Fn(&str) -> Option<SocketAddr> + Send + Sync + 'static,
    ) -> Result<Self, RelayError> {
        let listen_error = |source| RelayError { address: listen, source };
        let listener = std::net::TcpListener::bind(listen).map_err(listen_error)?;
        listener.set_nonblocking(true).map_err(listen_error)?;
        let listener = TcpListener::from_std(listener).map_err(listen_error)?;
        let task = tokio::spawn(run(listener, Arc::new(route))).abort_handle();
        Ok(Self { task })
    }
}

impl Drop for ConnectionRouter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(listener: TcpListener, route: Arc<impl Fn(&str) -> Option<SocketAddr> + Send + Sync + 'static>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        let accepted = async {
            let permit = permits.clone().acquire_owned().await.expect("the semaphore is closed");
            listener.accept().await.map(|(stream, _)| (stream, permit))
        };
        tokio::select! {
            accepted = accepted => match accepted {
                Ok((stream, permit)) => {
                    let route = route.clone();
                    connections.spawn(async move {
                        if let Some(destination) = find_destination(&stream, &*route).await {
                            forward(stream, destination).await;
                        }
                        drop(permit);
                    });
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// The destination of a connection; `None` if its first bytes do not determine one in time.
async fn find_destination(
    stream: &TcpStream,
    route: &impl Fn(&str) -> Option<SocketAddr>,
) -> Option<SocketAddr> {
    let mut peeked = [0; MAX_PEEK_BYTES];
    let destination = async {
        loop {
            let count = stream.peek(&mut peeked).await.ok().filter(|count| *count > 0)?;
            let destination = route(&String::from_utf8_lossy(&peeked[..count]));
            if destination.is_some() || count == MAX_PEEK_BYTES {
                return destination;
            }
            tokio::time::sleep(PEEK_INTERVAL).await;
        }
    };
    tokio::time::timeout(ROUTE_TIMEOUT, destination).await.ok()?
}

async fn forward(mut client: TcpStream, destination: SocketAddr) {
    let Ok(mut server) = TcpStream::connect(destination).await else { return };
    if client.set_nodelay(true).is_ok() && server.set_nodelay(true).is_ok() {
        // An error on either side ends both.
        let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
    }
}
