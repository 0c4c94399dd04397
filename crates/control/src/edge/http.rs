//! Connections: HTTP/1.1, bounded in number, head, idle time, time to write and length of life.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, sleep_until, Instant};

use super::sock::Guarded;
use super::Edge;

/// How long a connection may be idle, and a head may take to come.
const HEAD: Duration = Duration::from_secs(15);
/// How long the kernel may take nothing of an answer.
const STALL: Duration = Duration::from_secs(5);
/// How long a connection lives; after that it ends with the answer that is on its way.
const LIFE: Duration = Duration::from_secs(600);
/// How long a watch lives; it is begun anew on another connection.
pub(super) const WATCH: Duration = Duration::from_secs(590);
/// How long a last answer may take.
const LAST: Duration = Duration::from_secs(60);
/// How much the kernel keeps of what is on its way to one caller, in bytes.
const KERNEL_MOST: u32 = 128 * 1024;
const HEADERS_MOST: usize = 64;
const HEAD_MOST: usize = 16 * 1024;
const BACKLOG: u32 = 1024;
/// The pause after a connection that could not be taken.
const PAUSE: Duration = Duration::from_millis(50);

/// Listens.
///
/// # Errors
/// The system's.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Connections have it from the listener: a watcher that does not read is not to hold megabytes.
    socket.set_send_buffer_size(KERNEL_MOST)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Takes connections until the stop.
pub async fn accept(edge: Arc<Edge>, listener: TcpListener) {
    let mut stopping = edge.stopping.subscribe();
    let mut failing = false;
    loop {
        let taken = tokio::select! {
            taken = listener.accept() => taken,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        match taken {
            Ok((stream, peer)) => {
                failing = false;
                // Where there is no room the stream is dropped: the caller finds a closed connection and goes elsewhere.
                let Ok(pass) = edge.connections.acquire() else { continue };
                let edge = edge.clone();
                tokio::spawn(async move {
                    serve(edge, stream, peer).await;
                    drop(pass);
                });
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%error, "can't take connections: raise the process's limit of open files");
                }
                sleep(PAUSE).await;
            }
        }
    }
}

async fn serve(edge: Arc<Edge>, stream: TcpStream, peer: SocketAddr) {
    // A socket that is broken already fails at its first read.
    let _ = stream.set_nodelay(true);
    let mut stopping = edge.stopping.subscribe();
    let service = service_fn(move |request| {
        let edge = edge.clone();
        async move { Ok::<_, std::convert::Infallible>(edge.handle(peer, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD)
        .max_headers(HEADERS_MOST)
        .max_buf_size(HEAD_MOST);
    let connection = builder.serve_connection(TokioIo::new(Guarded::new(stream, STALL)), service);
    tokio::pin!(connection);
    let over = Instant::now() + LIFE;
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = sleep_until(over) => None,
        _ = stopping.wait_for(|stopping| *stopping) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = &mut connection => ended,
                () = sleep(LAST) => return,
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%peer, %error, "a connection ended");
    }
}
