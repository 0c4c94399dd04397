//! An address that several parties share and are told apart at, so that each has a link of its own behind it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, JoinSet};

use crate::{RelayError, MAX_CONNECTIONS};

/// The bytes within which a first request tells who it is from.
const TOLD_WITHIN: usize = 4096;
/// How long that may take, and between two looks.
const TOLD_IN: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(1);
/// How long to wait after the system had no way to accept a connection.
const PAUSE: Duration = Duration::from_millis(20);

/// A listener that passes each connection on by what is said first on it. It ends, with its connections, when dropped.
#[derive(Debug)]
pub struct ConnectionRouter {
    task: AbortHandle,
}

impl ConnectionRouter {
    /// Listens at an address. `route` gets what a connection has said so far, and tells where it goes to; `None` as
    /// long as it can't be known. Must be called in a tokio runtime.
    ///
    /// # Errors
    /// The address is not free.
    pub fn start(
        listen: SocketAddr,
        route: impl Fn(&str) -> Option<SocketAddr> + Send + Sync + 'static,
    ) -> Result<Self, RelayError> {
        let fail = |source| RelayError { address: listen, source };
        let listener = std::net::TcpListener::bind(listen).map_err(fail)?;
        listener.set_nonblocking(true).map_err(fail)?;
        let listener = TcpListener::from_std(listener).map_err(fail)?;
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
    let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut open = JoinSet::new();
    loop {
        let accepted = async {
            let room = room.clone().acquire_owned().await.expect("it is never closed");
            listener.accept().await.map(|(stream, _)| (stream, room))
        };
        tokio::select! {
            accepted = accepted => match accepted {
                Ok((stream, room)) => {
                    let route = route.clone();
                    open.spawn(async move {
                        if let Some(to) = told(&stream, &*route).await {
                            pass_on(stream, to).await;
                        }
                        drop(room);
                    });
                }
                Err(_) => tokio::time::sleep(PAUSE).await,
            },
            Some(_) = open.join_next() => {}
        }
    }
}

/// Where a connection goes to; `None` where its first request does not tell.
async fn told(stream: &TcpStream, route: &impl Fn(&str) -> Option<SocketAddr>) -> Option<SocketAddr> {
    let mut seen = [0; TOLD_WITHIN];
    let told = async {
        loop {
            let count = stream.peek(&mut seen).await.ok().filter(|count| *count > 0)?;
            let to = route(&String::from_utf8_lossy(&seen[..count]));
            if to.is_some() || count == TOLD_WITHIN {
                return to;
            }
            tokio::time::sleep(LOOK).await;
        }
    };
    tokio::time::timeout(TOLD_IN, told).await.ok()?
}

async fn pass_on(mut from: TcpStream, to: SocketAddr) {
    let Ok(mut to) = TcpStream::connect(to).await else { return };
    if from.set_nodelay(true).is_ok() && to.set_nodelay(true).is_ok() {
        // Whatever ends one side ends the other.
        let _ = tokio::io::copy_bidirectional(&mut from, &mut to).await;
    }
}
