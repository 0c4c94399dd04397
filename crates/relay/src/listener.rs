//! A relay's listener, and its connections from accept to end.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinSet;

use crate::forward::{forward, ConnectionReset, StateView};
use crate::{ConnectionCounts, Forwarding, LinkFault, State, MAX_CONNECTIONS};

/// Length of the operating system's accept queue.
const ACCEPT_BACKLOG: i32 = 256;
/// Delay after the system could not accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A port that stays reserved while nothing listens at it.
pub(crate) struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

impl ReservedPort {
    /// Reserves a port and starts to listen at it.
    pub(crate) fn reserve(address: SocketAddr) -> io::Result<(Self, TcpListener)> {
        let socket = bind(address)?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let port = Self { address, _socket: socket };
        let listener = port.listen()?;
        Ok((port, listener))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    fn listen(&self) -> io::Result<TcpListener> {
        let socket = bind(self.address)?;
        socket.listen(ACCEPT_BACKLOG)?;
        TcpListener::from_std(socket.into())
    }
}

/// Accepts connections, unless the fault refuses them, until the relay is dropped.
pub(crate) async fn run(
    port: ReservedPort,
    listener: TcpListener,
    target: SocketAddr,
    mut state: watch::Receiver<State>,
    counter: Arc<watch::Sender<ConnectionCounts>>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    let mut listener = Some(listener);
    loop {
        if state.borrow_and_update().fault.refuse_connections {
            listener = None;
        } else if listener.is_none() {
            listener = port.listen().ok();
        }
        let accepted = async {
            let permit = permits.clone().acquire_owned().await.expect("the semaphore is closed");
            match &listener {
                Some(listener) => listener.accept().await.map(|(client, _)| (client, permit)),
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = state.changed() => if changed.is_err() { return },
            accepted = accepted => match accepted {
                Ok((client, permit)) => {
                    let (state, counter) = (state.clone(), counter.clone());
                    connections.spawn(async move {
                        relay_connection(client, target, state, &counter).await;
                        drop(permit);
                    });
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Makes the stream send a reset when it is dropped.
fn set_reset_on_drop(stream: &TcpStream) {
    // Fails only for a socket that is gone already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn relay_connection(
    mut client: TcpStream,
    target: SocketAddr,
    state: watch::Receiver<State>,
    counter: &watch::Sender<ConnectionCounts>,
) {
    let mut state = StateView::new(state);
    if !wait_until_delivering(&client, &mut state, counter).await {
        return set_reset_on_drop(&client);
    }
    let Ok(mut server) = TcpStream::connect(target).await else { return set_reset_on_drop(&client) };
    counter.send_modify(|counts| counts.opened += 1);
    // The relay adds no delay of its own.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let result = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        let (count_to_target, count_from_target) = (
            || counter.send_modify(|counts| counts.held_to_target += 1),
            || counter.send_modify(|counts| counts.held_from_target += 1),
        );
        let to_target =
            forward(from_client, to_server, state.clone(), |fault| fault.to_target, count_to_target);
        let from_target =
            forward(from_server, to_client, state, |fault| fault.from_target, count_from_target);
        tokio::try_join!(to_target, from_target)
    };
    if let Err(ConnectionReset) = result {
        set_reset_on_drop(&client);
        set_reset_on_drop(&server);
    }
}

/// Waits until bytes may flow to the target; returns `false` if the connection must be reset instead.
async fn wait_until_delivering(
    client: &TcpStream,
    state: &mut StateView,
    counter: &watch::Sender<ConnectionCounts>,
) -> bool {
    let mut lost_bytes = false;
    let mut counted = false;
    let mut discarded = [0; 4096];
    loop {
        let Ok(State { fault: LinkFault { to_target, .. }, .. }) = state.current() else { return false };
        if to_target.delivers() {
            return !lost_bytes;
        }
        if !counted {
            counter.send_modify(|counts| counts.held_to_target += 1);
            counted = true;
        }
        tokio::select! {
            () = state.changed() => {}
            readable = client.readable(), if to_target == Forwarding::Discard => {
                match readable.and_then(|()| client.try_read(&mut discarded)) {
                    Ok(0) => return false,
                    Ok(_) => lost_bytes = true,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return false,
                }
            }
        }
    }
}
