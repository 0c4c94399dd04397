//! Persistent connections to the other replicas.
//!
//! A connection carries one message at a time. It is kept after a response and closed after anything else, so a response
//! always belongs to its message. A message that finds all connections to its replica in use opens another, so that a
//! round that confirms leadership never waits behind a snapshot; only a few are kept. Timeouts are the library's: it
//! drops a message that exceeds its timeout, and with it the connection.

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
use crate::state_machine::{NodeAddress, TypeConfig};
use crate::storage::encode;
use crate::wire::{Envelope, Refusal, Reply, APPEND_PATH, SNAPSHOT_PATH, VOTE_PATH};
use crate::StateMachine;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 10;
/// Maximum number of idle connections that are kept to one replica.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Initial backoff before an unreachable replica is tried again.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// Why there is no response.
#[derive(Debug, thiserror::Error)]
#[error("replica {replica} at {address}: {reason}")]
struct RequestError {
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
    identity: Arc<Identity>,
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
    /// Maximum backoff before an unreachable replica is tried again.
    max_retry_backoff: Duration,
}

impl Network {
    pub(crate) fn new(identity: Arc<Identity>, max_retry_backoff: Duration) -> Self {
        Self { identity, idle: Mutex::default(), max_retry_backoff }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| connection.sender.is_ready());
        connections.pop()
    }

    fn keep_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Closes idle connections to addresses other than these.
    pub(crate) fn retain(&self, addresses: &[SocketAddr]) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|address, _| addresses.contains(address));
    }

    /// Sends a message to a replica and returns its answer.
    async fn request<T: Serialize, A: DeserializeOwned>(
        &self,
        replica: u64,
        address: SocketAddr,
        path: &str,
        message: T,
    ) -> Result<A, RequestError> {
        let failed = |reason: &dyn Display| RequestError { replica, address, reason: reason.to_string() };
        let body = Bytes::from(encode(&Envelope { from: self.identity.sender(), to: replica, message }));
        let (status, response) = loop {
            let idle = self.take_idle(address);
            let is_new = idle.is_none();
            let mut connection = match idle {
                Some(connection) => connection,
                None => connect(address).await.map_err(|e| failed(&e))?,
            };
            match exchange(&mut connection, address, path, body.clone()).await {
                Ok(response) => {
                    self.keep_idle(address, connection);
                    break response;
                }
                // The replica may have closed the connection while it was idle. Messages may be delivered twice.
                Err(_) if !is_new => {}
                Err(e) => return Err(failed(&e)),
            }
        };
        if status != StatusCode::OK {
            let reason = serde_json::from_slice(&response)
                .map_or_else(|_| status.to_string(), |Refusal { error }| error);
            return Err(failed(&reason));
        }
        let reply: Reply<A> = serde_json::from_slice(&response).map_err(|e| failed(&e))?;
        if reply.from.id != replica {
            return Err(failed(&format_args!("replica {} answered at this address", reply.from.id)));
        }
        self.identity.check_and_learn(&reply.from).await.map_err(|e| failed(&e))?;
        Ok(reply.answer)
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    let task = tokio::spawn(async move {
        // The sender reports its failure.
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
    let response = connection.sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await?.to_bytes();
    // Without this the sender may not be marked as ready yet when the connection is used next.
    connection.sender.ready().await?;
    Ok((status, body))
}

/// The library's factory of clients to the other replicas.
pub(crate) struct RaftClientFactory<M> {
    network: Arc<Network>,
    machine: PhantomData<fn() -> M>,
}

impl<M> RaftClientFactory<M> {
    pub(crate) fn new(network: Arc<Network>) -> Self {
        Self { network, machine: PhantomData }
    }
}

impl<M: StateMachine> RaftNetworkFactory<TypeConfig<M>> for RaftClientFactory<M> {
    type Network = RaftClient<M>;

    async fn new_client(&mut self, target: u64, node: &NodeAddress) -> RaftClient<M> {
        RaftClient { network: Arc::clone(&self.network), target, address: node.0, machine: PhantomData }
    }
}

/// The library's client to one replica.
pub(crate) struct RaftClient<M> {
    network: Arc<Network>,
    target: u64,
    address: SocketAddr,
    machine: PhantomData<fn() -> M>,
}

type RaftResponse<A, E = openraft::error::Infallible> =
    Result<A, RPCError<u64, NodeAddress, RaftError<u64, E>>>;

impl<M: StateMachine> RaftClient<M> {
    async fn request<T: Serialize, A: DeserializeOwned, E: std::error::Error + DeserializeOwned>(
        &self,
        path: &str,
        message: T,
    ) -> RaftResponse<A, E> {
        let answer: Result<Result<A, E>, RequestError> =
            self.network.request(self.target, self.address, path, message).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(e)) => Err(RPCError::RemoteError(RemoteError::new(self.target, RaftError::APIError(e)))),
            Err(e) => Err(RPCError::Unreachable(Unreachable::new(&e))),
        }
    }
}

impl<M: StateMachine> RaftNetwork<TypeConfig<M>> for RaftClient<M> {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<TypeConfig<M>>,
        _: RPCOption,
    ) -> RaftResponse<AppendEntriesResponse<u64>> {
        self.request(APPEND_PATH, rpc).await
    }

    async fn vote(&mut self, rpc: VoteRequest<u64>, _: RPCOption) -> RaftResponse<VoteResponse<u64>> {
        self.request(VOTE_PATH, rpc).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig<M>>,
        _: RPCOption,
    ) -> RaftResponse<InstallSnapshotResponse<u64>, InstallSnapshotError> {
        self.request(SNAPSHOT_PATH, rpc).await
    }

    fn backoff(&self) -> Backoff {
        let max = self.network.max_retry_backoff.max(MIN_RETRY_BACKOFF);
        Backoff::new(
            std::iter::successors(Some(MIN_RETRY_BACKOFF), move |delay| Some((*delay * 2).min(max)))
                .map(with_jitter),
        )
    }
}

/// Returns a random delay between half of the given one and all of it.
fn with_jitter(delay: Duration) -> Duration {
    use std::hash::BuildHasher;
    let random = std::collections::hash_map::RandomState::new().hash_one(0u8);
    delay / 2 + (delay / 2).mul_f64(random as f64 / u64::MAX as f64)
}
