//! Kept connections to the other replicas.
//!
//! A connection carries one message at a time, is kept after an answer and closed by anything else, so an answer is
//! always the answer to its message. A message that finds all connections to its replica in use opens another, so that
//! a round that confirms leadership never waits behind a snapshot; only a few are kept. Time-outs are the library's:
//! it drops a message that takes longer than its bound, and with it the connection.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use openraft::error::{InstallSnapshotError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{Backoff, RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::identity::Identity;
use crate::state_machine::{Place, Types};
use crate::storage::encode;
use crate::wire::{Letter, Refusal, Reply, APPEND, SNAPSHOT, VOTE};
use crate::StateMachine;

/// The most bytes of an answer.
const ANSWER_MOST: usize = 256 << 10;
/// The most connections that are kept to one replica.
const KEPT_MOST: usize = 4;
/// The shortest pause before a replica that was not reached is tried again.
const RETRY_LEAST: Duration = Duration::from_millis(20);

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
#[error("replica {replica} at {address}: {reason}")]
struct NoAnswer {
    replica: u64,
    address: SocketAddr,
    reason: String,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The connections of one replica to all others.
pub(crate) struct Network {
    me: Arc<Identity>,
    kept: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
    /// The longest pause before a replica that was not reached is tried again.
    retry_most: Duration,
}

impl Network {
    pub(crate) fn new(me: Arc<Identity>, retry_most: Duration) -> Self {
        Self { me, kept: Mutex::default(), retry_most }
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = kept.get_mut(&address)?;
        connections.retain(|connection| connection.sender.is_ready());
        connections.pop()
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = kept.entry(address).or_default();
        if connections.len() < KEPT_MOST {
            connections.push(connection);
        }
    }

    /// Forgets connections to addresses that are no replica's.
    pub(crate) fn retain(&self, addresses: &[SocketAddr]) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.retain(|address, _| addresses.contains(address));
    }

    async fn ask<T: Serialize, A: DeserializeOwned>(
        &self,
        replica: u64,
        address: SocketAddr,
        path: &str,
        message: T,
    ) -> Result<A, NoAnswer> {
        let no = |reason: &dyn Display| NoAnswer { replica, address, reason: reason.to_string() };
        let body = Bytes::from(encode(&Letter { from: self.me.sender(), to: replica, message }));
        let (status, answer) = loop {
            let kept = self.take(address);
            let fresh = kept.is_none();
            let mut connection = match kept {
                Some(connection) => connection,
                None => connect(address).await.map_err(|e| no(&e))?,
            };
            match exchange(&mut connection, address, path, body.clone()).await {
                Ok(answer) => {
                    self.keep(address, connection);
                    break answer;
                }
                // The replica may have closed it while it was kept; messages may come twice.
                Err(_) if !fresh => {}
                Err(e) => return Err(no(&e)),
            }
        };
        if status != StatusCode::OK {
            let reason = serde_json::from_slice(&answer)
                .map_or_else(|_| status.to_string(), |Refusal { error }| error);
            return Err(no(&reason));
        }
        let reply: Reply<A> = serde_json::from_slice(&answer).map_err(|e| no(&e))?;
        if reply.from.id != replica {
            return Err(no(&format_args!("replica {} answers there", reply.from.id)));
        }
        self.me.meet(&reply.from).await.map_err(|e| no(&e))?;
        Ok(reply.answer)
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    let task = tokio::spawn(async move {
        // Its end shows at the sender.
        let _ = connection.await;
    });
    Ok(Connection { sender, task })
}

async fn exchange(
    connection: &mut Connection,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    let request = Request::post(path)
        .header(hyper::header::HOST, address.to_string())
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    let answer = connection.sender.send_request(request).await?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), ANSWER_MOST).collect().await?.to_bytes();
    // Without this the connection may not be told yet that it is free.
    connection.sender.ready().await?;
    Ok((status, body))
}

/// The way to all replicas.
pub(crate) struct Links<M> {
    network: Arc<Network>,
    machine: PhantomData<fn() -> M>,
}

impl<M> Links<M> {
    pub(crate) fn new(network: Arc<Network>) -> Self {
        Self { network, machine: PhantomData }
    }
}

impl<M: StateMachine> RaftNetworkFactory<Types<M>> for Links<M> {
    type Network = Link<M>;

    async fn new_client(&mut self, target: u64, node: &Place) -> Link<M> {
        Link { network: Arc::clone(&self.network), target, address: node.0, machine: PhantomData }
    }
}

/// The way to one replica.
pub(crate) struct Link<M> {
    network: Arc<Network>,
    target: u64,
    address: SocketAddr,
    machine: PhantomData<fn() -> M>,
}

type Sent<A, E = openraft::error::Infallible> = Result<A, RPCError<u64, Place, RaftError<u64, E>>>;

impl<M: StateMachine> Link<M> {
    async fn ask<T: Serialize, A: DeserializeOwned, E: std::error::Error + DeserializeOwned>(
        &self,
        path: &str,
        message: T,
    ) -> Sent<A, E> {
        let answer: Result<Result<A, E>, NoAnswer> =
            self.network.ask(self.target, self.address, path, message).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(e)) => Err(RPCError::RemoteError(RemoteError::new(self.target, RaftError::APIError(e)))),
            Err(e) => Err(RPCError::Unreachable(Unreachable::new(&e))),
        }
    }
}

impl<M: StateMachine> RaftNetwork<Types<M>> for Link<M> {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types<M>>,
        _: RPCOption,
    ) -> Sent<AppendEntriesResponse<u64>> {
        self.ask(APPEND, rpc).await
    }

    async fn vote(&mut self, rpc: VoteRequest<u64>, _: RPCOption) -> Sent<VoteResponse<u64>> {
        self.ask(VOTE, rpc).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types<M>>,
        _: RPCOption,
    ) -> Sent<InstallSnapshotResponse<u64>, InstallSnapshotError> {
        self.ask(SNAPSHOT, rpc).await
    }

    fn backoff(&self) -> Backoff {
        let most = self.network.retry_most.max(RETRY_LEAST);
        Backoff::new(
            std::iter::successors(Some(RETRY_LEAST), move |pause| Some((*pause * 2).min(most))).map(jittered),
        )
    }
}

/// Half of the pause to all of it.
fn jittered(pause: Duration) -> Duration {
    use std::hash::BuildHasher;
    let draw = std::collections::hash_map::RandomState::new().hash_one(0u8);
    pause / 2 + (pause / 2).mul_f64(draw as f64 / u64::MAX as f64)
}
