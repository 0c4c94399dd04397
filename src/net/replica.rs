//! Calls to the control group's replicas: one kept connection for beats, one for a watch.

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

use super::fault::Advice;
use super::sock::{Io, Sock};

/// How long a connection for a watch may take, and its answer to begin.
const PATIENCE: Duration = Duration::from_millis(1000);
/// A watch brings a line every 2 s: a longer silence is a dead link, which TCP alone would not notice.
const SILENCE: Duration = Duration::from_millis(3200);
/// The longest answer to a beat.
const ANSWER_MOST: usize = 1 << 20;
/// The longest words of a refusal that are passed on.
const WORDS_MOST: usize = 200;

/// Why a call to a replica has brought nothing.
#[derive(Debug, Error)]
pub enum CallError {
    /// There is no connection.
    #[error("control: {at}: not reached: {error}")]
    Unreached {
        /// The replica.
        at: SocketAddr,
        /// What the system says.
        error: std::io::Error,
    },
    /// It did not answer in time, or its watch fell silent.
    #[error("control: {at}: silent")]
    Silent {
        /// The replica.
        at: SocketAddr,
    },
    /// The connection broke.
    #[error("control: {at}: broke off: {words}")]
    Broken {
        /// The replica.
        at: SocketAddr,
        /// What hyper says.
        words: String,
    },
    /// Another replica leads.
    #[error("control: {at}: does not lead, {leader} should")]
    NotLeader {
        /// The replica.
        at: SocketAddr,
        /// Where the leader is, as far as it knows.
        leader: SocketAddr,
    },
    /// It refused the call.
    #[error("control: {at}: status {status}: {words}")]
    Refused {
        /// The replica.
        at: SocketAddr,
        /// The status.
        status: StatusCode,
        /// What it says.
        words: String,
    },
    /// What it said is not as agreed.
    #[error("control: {at}: not understood: {words}")]
    Unreadable {
        /// The replica.
        at: SocketAddr,
        /// What is wrong with it.
        words: String,
    },
}

impl Advice for CallError {
    fn advice(&self) -> String {
        match self {
            Self::Unreached { .. } | Self::Silent { .. } | Self::Broken { .. } => {
                "see whether that replica runs and can be reached; others are tried".into()
            }
            Self::NotLeader { .. } => {
                "the leader is sought; if this goes on, see whether that replica runs".into()
            }
            Self::Refused { status, .. } if status.is_server_error() => {
                "see whether most replicas run; others are tried".into()
            }
            Self::Refused { .. } => "do what it says; the node tries again".into(),
            Self::Unreadable { .. } => "see whether a replica of the same version listens there".into(),
        }
    }
}

fn broken(at: SocketAddr, error: &hyper::Error) -> CallError {
    CallError::Broken { at, words: error.to_string() }
}

/// A connection to a replica.
pub struct Line {
    at: SocketAddr,
    send: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Line {
    /// Connects; takes as long as the caller lets it.
    ///
    /// # Errors
    /// Where there is no connection.
    pub async fn to(at: SocketAddr) -> Result<Self, CallError> {
        let sock = TcpStream::connect(at).await.and_then(Sock::new);
        let sock = sock.map_err(|error| CallError::Unreached { at, error })?;
        let handshake = http1::handshake(Io(sock)).await;
        let (send, conn) = handshake.map_err(|e| broken(at, &e))?;
        let driver = spawn_local(async move {
            // What breaks the connection breaks the call too, and is seen there.
            let _ = conn.await;
        });
        Ok(Self { at, send, driver })
    }

    /// Where it leads to.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// Sends one beat; takes as long as the caller lets it.
    ///
    /// # Errors
    /// Where no answer to it has come. The line is then of no further use, unless the replica has refused.
    pub async fn beat(&mut self, beat: &Heartbeat) -> Result<HeartbeatReply, CallError> {
        let at = self.at;
        let unreadable = |words: String| CallError::Unreadable { at, words };
        let body = serde_json::to_vec(beat).map_err(|e| unreadable(e.to_string()))?;
        let request = Request::post("/v1/session").header(CONTENT_TYPE, "application/json");
        let request = request.header(HOST, at.to_string()).body(Full::new(Bytes::from(body)));
        let answer = self.call(request.map_err(|e| unreadable(e.to_string()))?).await?;
        if answer.status() != StatusCode::OK {
            return Err(self.refused(answer).await);
        }
        let body = Limited::new(answer.into_body(), ANSWER_MOST).collect().await;
        let body = body.map_err(|e| unreadable(e.to_string()))?.to_bytes();
        serde_json::from_slice(&body).map_err(|e| unreadable(e.to_string()))
    }

    async fn refused(&self, answer: Response<Incoming>) -> CallError {
        let (at, status) = (self.at, answer.status());
        let body = Limited::new(answer.into_body(), ANSWER_MOST).collect().await;
        let said = body.ok().and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
        match said {
            Some(NotLeader { leader: Some(leader), .. }) => CallError::NotLeader { at, leader },
            Some(NotLeader { error, .. }) => {
                CallError::Refused { at, status, words: error.chars().take(WORDS_MOST).collect() }
            }
            None => CallError::Refused { at, status, words: "no words".into() },
        }
    }

    async fn call(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        self.send.ready().await.map_err(|e| broken(self.at, &e))?;
        self.send.send_request(request).await.map_err(|e| broken(self.at, &e))
    }
}

/// A watch that stands.
pub struct Watch {
    line: Line,
    body: Incoming,
    lines: MessageSplitter,
}

impl Watch {
    /// Begins one from what is known.
    ///
    /// # Errors
    /// Where it does not stand within [`PATIENCE`] for the connection and for the answer.
    pub async fn begin(at: SocketAddr, from: u64) -> Result<Self, CallError> {
        let silent = |_| CallError::Silent { at };
        let mut line = timeout(PATIENCE, Line::to(at)).await.map_err(silent)??;
        let request = Request::get(format!("/v1/watch?from={from}")).header(HOST, at.to_string());
        let request = request.body(Full::default());
        let request = request.map_err(|e| CallError::Unreadable { at, words: e.to_string() })?;
        let answer = timeout(PATIENCE, line.call(request)).await.map_err(silent)??;
        if answer.status() != StatusCode::OK {
            return Err(timeout(PATIENCE, line.refused(answer)).await.unwrap_or(CallError::Silent { at }));
        }
        Ok(Self { line, body: answer.into_body(), lines: MessageSplitter::default() })
    }

    /// The next news; `None` where the watch has ended in order.
    ///
    /// # Errors
    /// Where it broke, fell silent, or brought what can't be read.
    pub async fn next(&mut self) -> Result<Option<WatchEvent>, CallError> {
        let at = self.line.at;
        let unreadable = |words: String| CallError::Unreadable { at, words };
        loop {
            // The bytes of a line that does not end show no life.
            let line = timeout(SILENCE, self.line()).await.map_err(|_| CallError::Silent { at })??;
            let Some(line) = line else { return Ok(None) };
            if !line.is_empty() {
                return serde_json::from_slice(&line).map(Some).map_err(|e| unreadable(e.to_string()));
            }
        }
    }

    async fn line(&mut self) -> Result<Option<Vec<u8>>, CallError> {
        let at = self.line.at;
        loop {
            if let Some(line) = self.lines.next() {
                return Ok(Some(line));
            }
            let Some(frame) = self.body.frame().await else { return Ok(None) };
            if let Ok(data) = frame.map_err(|e| broken(at, &e))?.into_data() {
                let pushed = self.lines.push(&data);
                pushed.map_err(|e| CallError::Unreadable { at, words: e.to_string() })?;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::fault::tests::each_has_its_advice;
    use super::*;

    #[test]
    fn each_error_has_its_advice() {
        use CallError::*;
        let at = SocketAddr::from(([127, 0, 0, 1], 9301));
        each_has_its_advice(|before| match before {
            None => Some(Unreached { at, error: std::io::ErrorKind::ConnectionRefused.into() }),
            Some(Unreached { .. }) => Some(Silent { at }),
            Some(Silent { .. }) => Some(Broken { at, words: "closed".into() }),
            Some(Broken { .. }) => Some(NotLeader { at, leader: at }),
            Some(NotLeader { .. }) => {
                Some(Refused { at, status: StatusCode::BAD_REQUEST, words: "no such name".into() })
            }
            Some(Refused { status, .. }) if status.is_client_error() => {
                Some(Refused { at, status: StatusCode::SERVICE_UNAVAILABLE, words: "no leader".into() })
            }
            Some(Refused { .. }) => Some(Unreadable { at, words: "not JSON".into() }),
            Some(Unreadable { .. }) => None,
        });
    }
}
