//! Calls to the replicas of the control group: one kept connection for heartbeats, one for a watch.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use endpoints::MessageSplitter;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, Response, StatusCode};
use member::{Heartbeat, HeartbeatReply, NotLeader, WatchEvent};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::timeout;

use super::advice::Advice;
use super::socket::{HyperIo, TrackedSocket};

/// How long connecting for a watch may take, and how long its response head.
const WATCH_START_TIMEOUT: Duration = Duration::from_millis(1000);
/// A watch sends a line every 2 s. A longer silence is a dead link, which TCP alone would not detect.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(3200);
/// The longest response to a heartbeat.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// The longest reason of a refusal that is logged, in characters.
const MAX_REASON_CHARS: usize = 200;

/// Why a call to a replica failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be made.
    #[error("control: {addr}: cannot connect: {error}")]
    ConnectFailed {
        /// The replica.
        addr: SocketAddr,
        /// The system's error.
        error: std::io::Error,
    },
    /// There was no response in time, or the watch stopped sending.
    #[error("control: {addr}: no response in time")]
    TimedOut {
        /// The replica.
        addr: SocketAddr,
    },
    /// The connection failed during the call.
    #[error("control: {addr}: connection failed: {reason}")]
    ConnectionFailed {
        /// The replica.
        addr: SocketAddr,
        /// hyper's error.
        reason: String,
    },
    /// The replica is not the leader.
    #[error("control: {addr}: not the leader, names {leader} as leader")]
    NotLeader {
        /// The replica.
        addr: SocketAddr,
        /// The address of the leader, as far as the replica knows.
        leader: SocketAddr,
    },
    /// The replica refused the call.
    #[error("control: {addr}: status {status}: {reason}")]
    Refused {
        /// The replica.
        addr: SocketAddr,
        /// The status.
        status: StatusCode,
        /// The reason that it gave.
        reason: String,
    },
    /// The response does not follow the protocol.
    #[error("control: {addr}: unreadable response: {reason}")]
    Unreadable {
        /// The replica.
        addr: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
}

impl Advice for CallError {
    fn advice(&self) -> String {
        match self {
            Self::ConnectFailed { .. } | Self::TimedOut { .. } | Self::ConnectionFailed { .. } => {
                "check whether that replica runs and can be reached; others are tried".into()
            }
            Self::NotLeader { .. } => {
                "the node looks for the leader; if this goes on, check whether that replica runs".into()
            }
            Self::Refused { status, .. } if status.is_server_error() => {
                "check whether a majority of replicas runs; others are tried".into()
            }
            Self::Refused { .. } => "do what it says; the node tries again".into(),
            Self::Unreadable { .. } => "check whether a replica of the same version listens there".into(),
        }
    }
}

fn connection_failed(addr: SocketAddr, error: &hyper::Error) -> CallError {
    CallError::ConnectionFailed { addr, reason: error.to_string() }
}

/// A connection to a replica.
pub struct ReplicaConnection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for ReplicaConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ReplicaConnection {
    /// Connects. The caller sets the timeout.
    ///
    /// # Errors
    /// [`CallError::ConnectFailed`] or [`CallError::ConnectionFailed`].
    pub async fn connect(addr: SocketAddr) -> Result<Self, CallError> {
        let socket = TcpStream::connect(addr).await.and_then(TrackedSocket::new);
        let socket = socket.map_err(|error| CallError::ConnectFailed { addr, error })?;
        let handshake = http1::handshake(HyperIo(socket)).await;
        let (sender, connection) = handshake.map_err(|e| connection_failed(addr, &e))?;
        let driver = spawn_local(async move {
            // An error of the connection also fails the call, and is reported there.
            let _ = connection.await;
        });
        Ok(Self { addr, sender, driver })
    }

    /// The address of the replica.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends one heartbeat. The caller sets the timeout.
    ///
    /// # Errors
    /// A [`CallError`] if no valid answer has arrived. The connection cannot be used any more then, unless the
    /// replica has refused the call.
    pub async fn send_heartbeat(&mut self, heartbeat: &Heartbeat) -> Result<HeartbeatReply, CallError> {
        let addr = self.addr;
        let unreadable = |reason: String| CallError::Unreadable { addr, reason };
        let body = serde_json::to_vec(heartbeat).map_err(|e| unreadable(e.to_string()))?;
        let request = Request::post("/v1/session").header(CONTENT_TYPE, "application/json");
        let request = request.header(HOST, addr.to_string()).body(Full::new(Bytes::from(body)));
        let response = self.call(request.map_err(|e| unreadable(e.to_string()))?).await?;
        if response.status() != StatusCode::OK {
            return Err(self.refusal(response).await);
        }
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|e| unreadable(e.to_string()))?.to_bytes();
        serde_json::from_slice(&body).map_err(|e| unreadable(e.to_string()))
    }

    async fn refusal(&self, response: Response<Incoming>) -> CallError {
        let (addr, status) = (self.addr, response.status());
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let refusal = body.ok().and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
        match refusal {
            Some(NotLeader { leader: Some(leader), .. }) => CallError::NotLeader { addr, leader },
            Some(NotLeader { error, .. }) => {
                CallError::Refused { addr, status, reason: error.chars().take(MAX_REASON_CHARS).collect() }
            }
            None => CallError::Refused { addr, status, reason: "no reason given".into() },
        }
    }

    async fn call(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        self.sender.ready().await.map_err(|e| connection_failed(self.addr, &e))?;
        self.sender.send_request(request).await.map_err(|e| connection_failed(self.addr, &e))
    }
}

/// An open watch.
pub struct Watch {
    connection: ReplicaConnection,
    body: Incoming,
    splitter: MessageSplitter,
}

impl Watch {
    /// Opens a watch for what is newer than version `from`.
    ///
    /// # Errors
    /// A [`CallError`] if the replica refuses, or if connecting or the response takes longer than
    /// [`WATCH_START_TIMEOUT`].
    pub async fn open(addr: SocketAddr, from: u64) -> Result<Self, CallError> {
        let timed_out = |_| CallError::TimedOut { addr };
        let mut connection =
            timeout(WATCH_START_TIMEOUT, ReplicaConnection::connect(addr)).await.map_err(timed_out)??;
        let request = Request::get(format!("/v1/watch?from={from}")).header(HOST, addr.to_string());
        let request = request.body(Full::default());
        let request = request.map_err(|e| CallError::Unreadable { addr, reason: e.to_string() })?;
        let response = timeout(WATCH_START_TIMEOUT, connection.call(request)).await.map_err(timed_out)??;
        if response.status() != StatusCode::OK {
            return Err(timeout(WATCH_START_TIMEOUT, connection.refusal(response))
                .await
                .unwrap_or(CallError::TimedOut { addr }));
        }
        Ok(Self { connection, body: response.into_body(), splitter: MessageSplitter::default() })
    }

    /// The next update; `None` once the replica has ended the watch regularly.
    ///
    /// # Errors
    /// A [`CallError`] if the connection failed, nothing arrived in time, or a line is invalid.
    pub async fn next(&mut self) -> Result<Option<WatchEvent>, CallError> {
        let addr = self.connection.addr;
        let unreadable = |reason: String| CallError::Unreadable { addr, reason };
        loop {
            // The timeout is for whole lines: bytes of a line that never ends do not show that the replica works.
            let line = timeout(WATCH_SILENCE_TIMEOUT, self.next_line())
                .await
                .map_err(|_| CallError::TimedOut { addr })??;
            let Some(line) = line else { return Ok(None) };
            if !line.is_empty() {
                return serde_json::from_slice(&line).map(Some).map_err(|e| unreadable(e.to_string()));
            }
        }
    }

    async fn next_line(&mut self) -> Result<Option<Vec<u8>>, CallError> {
        let addr = self.connection.addr;
        loop {
            if let Some(line) = self.splitter.next() {
                return Ok(Some(line));
            }
            let Some(frame) = self.body.frame().await else { return Ok(None) };
            if let Ok(data) = frame.map_err(|e| connection_failed(addr, &e))?.into_data() {
                let pushed = self.splitter.push(&data);
                pushed.map_err(|e| CallError::Unreadable { addr, reason: e.to_string() })?;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::advice::tests::assert_each_has_advice;
    use super::*;

    #[test]
    fn each_error_is_one_line_with_advice() {
        use CallError::*;
        let addr = SocketAddr::from(([127, 0, 0, 1], 9301));
        assert_each_has_advice(|before| match before {
            None => Some(ConnectFailed { addr, error: std::io::ErrorKind::ConnectionRefused.into() }),
            Some(ConnectFailed { .. }) => Some(TimedOut { addr }),
            Some(TimedOut { .. }) => Some(ConnectionFailed { addr, reason: "closed".into() }),
            Some(ConnectionFailed { .. }) => Some(NotLeader { addr, leader: addr }),
            Some(NotLeader { .. }) => {
                Some(Refused { addr, status: StatusCode::BAD_REQUEST, reason: "no such name".into() })
            }
            Some(Refused { status, .. }) if status.is_client_error() => {
                Some(Refused { addr, status: StatusCode::SERVICE_UNAVAILABLE, reason: "no leader".into() })
            }
            Some(Refused { .. }) => Some(Unreadable { addr, reason: "not JSON".into() }),
            Some(Unreadable { .. }) => None,
        });
    }
}
