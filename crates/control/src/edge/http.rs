//! HTTP/1.1 connections, limited in number, head size, idle time, write time and age.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, sleep_until, Instant};

use super::stalled_write::StallTimeout;
use super::Edge;

/// The timeout for receiving a request's head, and so for an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// The timeout for a response of which the kernel accepts no data.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum age of a connection; after that it ends with the response in flight.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(600);
/// The maximum age of a watch, below that of a connection; the watcher starts a new one on another connection.
pub(super) const MAX_WATCH_AGE: Duration = Duration::from_secs(590);
/// The timeout for the last response of a connection.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// The size of the kernel's send buffer of a connection, in bytes.
const SEND_BUFFER_BYTES: u32 = 128 * 1024;
/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// The maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of connections that the kernel queues for accepting.
const BACKLOG: u32 = 1024;
/// The delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Creates the listener.
///
/// # Errors
/// The system's error.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Connections inherit it from the listener. It keeps watchers that do not read from holding megabytes each.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until the replica stops.
pub async fn accept(edge: Arc<Edge>, listener: TcpListener) {
    let mut stopping = edge.stopping.subscribe();
    let mut failing = false;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                failing = false;
                // Above the limit the stream is dropped: the caller sees a closed connection and tries another replica.
                let Ok(permit) = edge.connections.acquire() else { continue };
                let edge = edge.clone();
                tokio::spawn(async move {
                    serve(edge, stream, peer).await;
                    drop(permit);
                });
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%error, "can't take connections: raise the process's limit of open files");
                }
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(edge: Arc<Edge>, stream: TcpStream, peer: SocketAddr) {
    // If this fails the socket is broken, and its first read fails too.
    let _ = stream.set_nodelay(true);
    let mut stopping = edge.stopping.subscribe();
    let service = service_fn(move |request| {
        let edge = edge.clone();
        async move { Ok::<_, std::convert::Infallible>(edge.handle(peer, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES);
    let connection =
        builder.serve_connection(TokioIo::new(StallTimeout::new(stream, STALL_TIMEOUT)), service);
    tokio::pin!(connection);
    let max_age_reached = Instant::now() + MAX_CONNECTION_AGE;
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = sleep_until(max_age_reached) => None,
        _ = stopping.wait_for(|stopping| *stopping) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = &mut connection => ended,
                () = sleep(LAST_RESPONSE_TIMEOUT) => return,
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%peer, %error, "connection failed");
    }
}
