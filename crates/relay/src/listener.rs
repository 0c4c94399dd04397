//! The listener, and a connection's way from its acceptance to its end.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinSet;

use crate::forward::{pump, End, Seen};
use crate::{Forwarding, LinkFault, State, MAX_CONNECTIONS};

/// Connections that the system keeps ready to be accepted.
const BACKLOG: i32 = 256;
/// How long to wait after the system had no way to accept one.
const PAUSE: Duration = Duration::from_millis(20);

/// A port that stays ours also while nothing listens there.
pub(crate) struct Port {
    address: SocketAddr,
    _held: Socket,
}

fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

impl Port {
    /// Takes a port, and listens there already.
    pub(crate) fn hold(address: SocketAddr) -> io::Result<(Self, TcpListener)> {
        let held = bound(address)?;
        let address = held.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let port = Self { address, _held: held };
        let listener = port.listen()?;
        Ok((port, listener))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    fn listen(&self) -> io::Result<TcpListener> {
        let socket = bound(self.address)?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    }
}

/// Accepts connections, unless new ones are refused, until the relay is dropped.
pub(crate) async fn run(
    port: Port,
    listener: TcpListener,
    target: SocketAddr,
    mut state: watch::Receiver<State>,
) {
    let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut open = JoinSet::new();
    let mut listener = Some(listener);
    loop {
        if state.borrow_and_update().fault.refuse_connections {
            listener = None;
        } else if listener.is_none() {
            listener = port.listen().ok();
        }
        let accepted = async {
            let room = room.clone().acquire_owned().await.expect("it is never closed");
            match &listener {
                Some(listener) => listener.accept().await.map(|(client, _)| (client, room)),
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = state.changed() => if changed.is_err() { return },
            accepted = accepted => match accepted {
                Ok((client, room)) => {
                    let state = state.clone();
                    open.spawn(async move {
                        connection(client, target, state).await;
                        drop(room);
                    });
                }
                Err(_) => tokio::time::sleep(PAUSE).await,
            },
            Some(_) = open.join_next() => {}
        }
    }
}

/// Ends a connection at once, so that its peer sees a reset.
fn reset(stream: &TcpStream) {
    // A socket that can't be told to is gone already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn connection(mut client: TcpStream, target: SocketAddr, state: watch::Receiver<State>) {
    let mut seen = Seen::new(state);
    if !until_bytes_may_go(&client, &mut seen).await {
        return reset(&client);
    }
    let Ok(mut server) = TcpStream::connect(target).await else { return reset(&client) };
    // Both ends are as quick as without the relay.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let end = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        let there = pump(from_client, to_server, seen.clone(), |fault| fault.to_target);
        let back = pump(from_server, to_client, seen, |fault| fault.from_target);
        tokio::try_join!(there, back)
    };
    if let Err(End::Reset) = end {
        reset(&client);
        reset(&server);
    }
}

/// Waits until the target may hear of a client; `false` if it never will.
async fn until_bytes_may_go(client: &TcpStream, seen: &mut Seen) -> bool {
    let mut lost = false;
    let mut scrap = [0; 4096];
    loop {
        let Ok(State { fault: LinkFault { to_target: there, .. }, .. }) = seen.now() else { return false };
        if there.delivers() {
            return !lost;
        }
        tokio::select! {
            () = seen.changed() => {}
            readable = client.readable(), if there == Forwarding::Discard => {
                match readable.and_then(|()| client.try_read(&mut scrap)) {
                    Ok(0) => return false,
                    Ok(_) => lost = true,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return false,
                }
            }
        }
    }
}
