//! One replica: the library's core connected to the state machine, the storage and the network.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use openraft::error::{ClientWriteError, Fatal, InitializeError, RaftError};
use openraft::{Raft, RaftMetrics, ServerState};
use serde::{Deserialize, Serialize};
use store::Store;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::identity::Identity;
use crate::leadership::{run_rounds, WaitingCaller, MAX_WAITING_CALLERS};
use crate::network::{Network, RaftClientFactory};
use crate::state_machine::{LogCommand, NodeAddress, RaftStateMachineAdapter, SharedState, TypeConfig};
use crate::storage::{encode, LogStore, Storage};
use crate::wire::{open, refuse, Reply, APPEND_PATH, MAX_BODY_BYTES, SNAPSHOT_PATH, VOTE_PATH};
use crate::{ConsensusError, FatalError, ReplicaConfig, StateMachine, WriteError};

/// Maximum number of messages of other replicas that are handled at a time.
const MAX_CONCURRENT_MESSAGES: usize = 64;
/// Timeout for handling a message of another replica.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the core to stop, and for the disk to be released after that.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// The leader as this replica knows it.
///
/// A leader that was cut off learns late that it no longer leads; [`Replica::confirm_leadership`] makes sure.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Leadership {
    /// The term. It increases, and has at most one leader.
    pub term: u64,
    /// Id and address of the leader, if known.
    pub leader: Option<(u64, SocketAddr)>,
    /// Whether this replica is the leader.
    #[serde(rename = "me")]
    pub is_local: bool,
}

/// Status of a replica, for operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Id of the replica.
    pub id: u64,
    /// Name of the cluster.
    pub cluster: String,
    /// `leader`, `follower`, `candidate`, `learner` (receives the log and does not vote), or `stopped`.
    pub role: String,
    /// The current term.
    pub term: u64,
    /// Id of the leader, if this replica knows it.
    pub leader: Option<u64>,
    /// At a leader, milliseconds since a majority last answered it.
    #[serde(rename = "majority_ms")]
    pub since_quorum_ack_ms: Option<u64>,
    /// Index of the last entry of its log.
    #[serde(rename = "last")]
    pub last_log_index: Option<u64>,
    /// Index of the last entry that it has applied.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// Index of the last entry in its snapshot.
    #[serde(rename = "snapshot")]
    pub snapshot_index: Option<u64>,
    /// Index of the last entry that was purged from its log.
    #[serde(rename = "purged")]
    pub purged_index: Option<u64>,
    /// Whether a membership change is incomplete. Repeating the call completes it.
    #[serde(rename = "changing")]
    pub membership_changing: bool,
    /// The members of the group, including this replica if it is one.
    pub replicas: Vec<MemberStatus>,
    /// Why its disk accepts no writes at the moment; `None` if it accepts writes. Meanwhile it neither leads nor
    /// votes.
    #[serde(rename = "stalled")]
    pub stall_reason: Option<String>,
    /// Why it cannot continue; `None` if it can.
    #[serde(rename = "failure")]
    pub fatal_error: Option<String>,
    /// Why the sender of a message or response was last refused, such as another cluster or a replica that lost its
    /// disk; `None` if there was no such sender. Remains after the cause is gone.
    #[serde(rename = "refused")]
    pub last_refusal: Option<String>,
}

/// Status of a member of the group: this replica or another one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Id of the replica.
    pub id: u64,
    /// Address at which it is reached.
    pub address: SocketAddr,
    /// Whether it votes.
    pub voter: bool,
    /// At a leader, index of the last entry that the replica is known to have; `None` at other replicas, and at a
    /// leader as long as it knows of no entry.
    #[serde(rename = "matched")]
    pub matched_index: Option<u64>,
}

/// One replica of the log. Clones refer to the same replica.
pub struct Replica<M: StateMachine>(Arc<Inner<M>>);

impl<M: StateMachine> Clone for Replica<M> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

struct Inner<M: StateMachine> {
    config: ReplicaConfig,
    raft: Raft<TypeConfig<M>>,
    identity: Arc<Identity>,
    shared: Arc<SharedState<M>>,
    leadership: watch::Receiver<Leadership>,
    fatal_error: watch::Receiver<Option<FatalError>>,
    confirm_requests: mpsc::Sender<WaitingCaller>,
    write_permits: Arc<Semaphore>,
    message_permits: Semaphore,
    stopping: watch::Sender<bool>,
    stall_reason: watch::Receiver<Option<String>>,
    storage_released: watch::Receiver<()>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl<M: StateMachine> Drop for Inner<M> {
    fn drop(&mut self) {
        self.stopping.send_replace(true);
        for task in self.tasks.get_mut().unwrap_or_else(PoisonError::into_inner).drain(..) {
            task.abort();
        }
    }
}

impl<M: StateMachine> Replica<M> {
    /// Starts a replica on its store, with the initial state of the state machine.
    ///
    /// The first start of the replicas in `config.peers` forms the group, in any order. Each of them writes the same
    /// first entry (the group's members) at the same index of its own empty log and then requests votes; one that is
    /// reached by a candidate before that receives the same entry from the leader. Replicas whose `peers` differ refuse
    /// each other, as their first entries would look alike and differ. On later starts the log is not empty and no group
    /// is formed.
    ///
    /// # Errors
    /// An invalid configuration, an error of the store, or stored data that cannot be decoded.
    pub async fn start(config: ReplicaConfig, store: Store, machine: M) -> Result<Self, ConsensusError> {
        let raft_config = Arc::new(config.raft_config()?);
        let (storage, storage_released) = Storage::new(store);
        let identity = Arc::new(Identity::load(Arc::clone(&storage), &config).await?);
        let (adapter, shared) = RaftStateMachineAdapter::load(
            Arc::clone(&storage),
            machine,
            config.id,
            config.max_snapshot_bytes,
        )
        .await?;
        let network =
            Arc::new(Network::new(Arc::clone(&identity), Duration::from_millis(config.heartbeat_ms)));
        let log = LogStore::new(Arc::clone(&storage));
        let core_error = |e: Fatal<u64>| ConsensusError::Core(e.to_string());
        let clients = RaftClientFactory::new(Arc::clone(&network));
        let raft = Raft::new(config.id, raft_config, clients, log, adapter).await.map_err(core_error)?;
        // Checked first, as the library returns an error if the group exists already.
        if config.peers.contains_key(&config.id) && !raft.is_initialized().await.map_err(core_error)? {
            let members: std::collections::BTreeMap<u64, NodeAddress> =
                config.peers.iter().map(|(id, address)| (*id, NodeAddress(*address))).collect();
            match raft.initialize(members).await {
                Ok(()) => tracing::info!(replica = config.id, "formed the group on an empty disk"),
                // A message of a leader arrived first.
                Err(RaftError::APIError(InitializeError::NotAllowed(_))) => {}
                Err(e) => return Err(ConsensusError::Core(e.to_string())),
            }
        }

        let stopping = watch::Sender::new(false);
        let (leadership_sender, leadership) = watch::channel(Leadership::default());
        let (fatal_error_sender, fatal_error) = watch::channel(None);
        let (confirm_requests, callers) = mpsc::channel(MAX_WAITING_CALLERS);
        let round_timeout = Duration::from_millis(config.election_ms.1);
        let stall_reason = storage.watch_stall();
        let tasks = vec![
            tokio::spawn(run_rounds(raft.clone(), callers, shared.watch_version(), round_timeout)),
            tokio::spawn(follow_metrics(
                raft.metrics(),
                storage,
                network,
                leadership_sender,
                fatal_error_sender,
                stopping.subscribe(),
            )),
        ];
        Ok(Self(Arc::new(Inner {
            write_permits: Arc::new(Semaphore::new(config.max_concurrent_writes)),
            message_permits: Semaphore::new(MAX_CONCURRENT_MESSAGES),
            config,
            raft,
            identity,
            shared,
            leadership,
            fatal_error,
            confirm_requests,
            stopping,
            stall_reason,
            storage_released,
            tasks: Mutex::new(tasks),
        })))
    }

    /// Writes a command. Returns its version and reply once it is on the disks of a majority and applied here.
    ///
    /// # Errors
    /// After [`WriteError::NotLeader`], [`WriteError::Busy`] and [`WriteError::TooLarge`] nothing was written; after the
    /// others the command may have been applied, or may be later.
    pub async fn write(&self, command: M::Command) -> Result<(u64, M::Reply), WriteError> {
        let void = WriteError::Unavailable { reason: "the command was logged as another kind of entry" };
        let (version, reply) = self.write_command(command, None).await?;
        Ok((version, reply.ok_or(void)?))
    }

    /// Writes a command that was decided while this replica led in `term`.
    ///
    /// If this replica writes the entry as the leader of another term, the entry is void at every replica. So a leader
    /// that was deposed and elected again does not write what it decided before.
    ///
    /// # Errors
    /// As [`Replica::write`], and [`WriteError::NotLeader`] for a void entry.
    pub async fn write_in_term(&self, term: u64, command: M::Command) -> Result<(u64, M::Reply), WriteError> {
        let (version, reply) = self.write_command(command, Some(term)).await?;
        Ok((version, reply.ok_or(WriteError::NotLeader { leader: None })?))
    }

    /// Writes a command; returns its version and its reply, or no reply if the entry is void.
    async fn write_command(
        &self,
        command: M::Command,
        valid_term: Option<u64>,
    ) -> Result<(u64, Option<M::Reply>), WriteError> {
        let inner = &self.0;
        let size = encode(&command).len();
        if size > inner.config.max_command_bytes {
            return Err(WriteError::TooLarge { size, max: inner.config.max_command_bytes });
        }
        let Ok(permit) = Arc::clone(&inner.write_permits).try_acquire_owned() else {
            return Err(WriteError::Busy { max: inner.config.max_concurrent_writes });
        };
        let (command, appended) = LogCommand::new(command, valid_term);
        let raft = inner.raft.clone();
        // The permit is held until the outcome is known, so that a leader that is cut off does not fill its log.
        let written = tokio::spawn(async move {
            let result = raft.client_write(command).await;
            drop(permit);
            result
        });
        let timed_out = WriteError::Unavailable { reason: "no majority of replicas accepted it in time" };
        let result = timeout(self.write_timeout(), written).await.map_err(|_| timed_out)?;
        match result {
            Ok(Ok(response)) => Ok((response.log_id.index, response.data)),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(to)))) => {
                if appended.load(std::sync::atomic::Ordering::Acquire) {
                    return Err(WriteError::Unavailable {
                        reason: "another replica became the leader after it was written here",
                    });
                }
                Err(WriteError::NotLeader { leader: to.leader_id.zip(to.leader_node.map(|node| node.0)) })
            }
            Ok(Err(RaftError::APIError(ClientWriteError::ChangeMembershipError(_)))) => {
                Err(WriteError::Unavailable { reason: "the command was logged as another kind of entry" })
            }
            Ok(Err(RaftError::Fatal(_))) | Err(_) => Err(self.stopped_error()),
        }
    }

    /// Confirms that this replica led at some moment after the call started, and has applied everything that was
    /// acknowledged before the call.
    ///
    /// # Errors
    /// [`WriteError::NotLeader`], or [`WriteError::Unavailable`] if no majority answered in time.
    pub async fn confirm_leadership(&self) -> Result<(), WriteError> {
        let busy = WriteError::Busy { max: MAX_WAITING_CALLERS };
        let (caller, answer) = oneshot::channel();
        self.0.confirm_requests.try_send(caller).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => busy,
            mpsc::error::TrySendError::Closed(_) => self.stopped_error(),
        })?;
        match answer.await {
            Ok(result) => result,
            Err(_) => Err(self.stopped_error()),
        }
    }

    /// Watches who leads, as this replica knows it.
    pub fn watch_leadership(&self) -> watch::Receiver<Leadership> {
        self.0.leadership.clone()
    }

    /// Watches the version that is applied here. It changes with each applied entry and each installed snapshot. After a
    /// restart it starts at the snapshot and returns to the previous version with the first message of a leader.
    pub fn watch_applied(&self) -> watch::Receiver<u64> {
        self.0.shared.watch_version()
    }

    /// Reads the state here, which may be behind; `f` also receives its version. `f` must be short, as commands are not
    /// applied meanwhile.
    pub fn read<R>(&self, f: impl FnOnce(&M, u64) -> R) -> R {
        self.0.shared.read(f)
    }

    /// Returns once this replica cannot continue; the process should exit with the error as its one line. While the
    /// replica works, and after [`Replica::stop`], this never returns.
    pub async fn fatal_error(&self) -> FatalError {
        let mut fatal_error = self.0.fatal_error.clone();
        let failed = fatal_error.wait_for(Option::is_some).await.ok().and_then(|error| error.clone());
        match failed {
            Some(error) => error,
            None => std::future::pending().await,
        }
    }

    /// Handles a message of another replica: `POST path` with `body`, for the paths `/raft/append`, `/raft/vote` and
    /// `/raft/snapshot`. Returns the status and body of the response. Bodies larger than [`MAX_BODY_BYTES`] are refused;
    /// an HTTP server should do so before it reads them.
    pub async fn handle_message(&self, path: &str, body: Bytes) -> (StatusCode, Bytes) {
        let inner = &self.0;
        if body.len() > MAX_BODY_BYTES {
            let reason =
                format!("the message has {} bytes, and may have at most {MAX_BODY_BYTES}", body.len());
            return refuse(StatusCode::PAYLOAD_TOO_LARGE, &reason);
        }
        let stall_reason = inner.stall_reason.borrow().clone();
        if let Some(reason) = stall_reason {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, &reason);
        }
        let Ok(_permit) = inner.message_permits.try_acquire() else {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, &"too many messages are being handled");
        };
        match timeout(MESSAGE_TIMEOUT, self.dispatch_message(path, &body)).await {
            Ok(response) => response,
            Err(_) => refuse(StatusCode::SERVICE_UNAVAILABLE, &"the replica is busy"),
        }
    }

    async fn dispatch_message(&self, path: &str, body: &[u8]) -> (StatusCode, Bytes) {
        let raft = &self.0.raft;
        let identity = &self.0.identity;
        match path {
            APPEND_PATH => match open(identity, body).await {
                Ok(rpc) => self.reply(raft.append_entries(rpc).await),
                Err(refusal) => refusal,
            },
            VOTE_PATH => match open(identity, body).await {
                Ok(rpc) => self.reply(raft.vote(rpc).await),
                Err(refusal) => refusal,
            },
            SNAPSHOT_PATH => {
                match open::<openraft::raft::InstallSnapshotRequest<TypeConfig<M>>>(identity, body).await {
                    Ok(rpc)
                        if rpc.offset.saturating_add(rpc.data.len() as u64)
                            > self.0.config.max_snapshot_bytes as u64 =>
                    {
                        let reason =
                            format!("the snapshot exceeds {} bytes", self.0.config.max_snapshot_bytes);
                        refuse(StatusCode::PAYLOAD_TOO_LARGE, &reason)
                    }
                    Ok(rpc) => self.reply(raft.install_snapshot(rpc).await),
                    Err(refusal) => refusal,
                }
            }
            _ => refuse(StatusCode::NOT_FOUND, &"no message has this path"),
        }
    }

    fn reply<T: Serialize, E: Serialize>(&self, answer: Result<T, RaftError<u64, E>>) -> (StatusCode, Bytes) {
        let answer = match answer {
            Ok(answer) => Ok(answer),
            Err(RaftError::APIError(e)) => Err(e),
            Err(RaftError::Fatal(_)) => {
                return refuse(StatusCode::SERVICE_UNAVAILABLE, &"the replica has stopped")
            }
        };
        (StatusCode::OK, encode(&Reply { from: self.0.identity.sender(), answer }).into())
    }

    /// Returns the status of this replica.
    pub fn status(&self) -> Status {
        let inner = &self.0;
        let metrics = inner.raft.metrics().borrow().clone();
        let members = metrics.membership_config.membership();
        let voters: Vec<u64> = members.voter_ids().collect();
        let matched = |id: &u64| metrics.replication.as_ref()?.get(id)?.map(|log_id| log_id.index);
        let replicas = members
            .nodes()
            .map(|(id, node)| MemberStatus {
                id: *id,
                address: node.0,
                voter: voters.contains(id),
                matched_index: matched(id),
            })
            .collect();
        let role = match metrics.state {
            _ if metrics.running_state.is_err() => "stopped",
            ServerState::Learner => "learner",
            ServerState::Follower => "follower",
            ServerState::Candidate => "candidate",
            ServerState::Leader => "leader",
            ServerState::Shutdown => "stopped",
        };
        Status {
            id: inner.config.id,
            cluster: inner.config.cluster.clone(),
            role: role.to_owned(),
            term: metrics.current_term,
            leader: metrics.current_leader,
            since_quorum_ack_ms: metrics.millis_since_quorum_ack,
            last_log_index: metrics.last_log_index,
            applied_index: *inner.shared.watch_version().borrow(),
            snapshot_index: metrics.snapshot.map(|log_id| log_id.index),
            purged_index: metrics.purged.map(|log_id| log_id.index),
            membership_changing: members.get_joint_config().len() > 1,
            replicas,
            stall_reason: inner.stall_reason.borrow().clone(),
            fatal_error: inner.fatal_error.borrow().as_ref().map(ToString::to_string),
            last_refusal: inner.identity.last_refusal(),
        }
    }

    /// Stops the replica and waits until its disk is released. Pending calls return errors.
    pub async fn stop(&self) {
        let inner = &self.0;
        inner.stopping.send_replace(true);
        let _ = timeout(STOP_TIMEOUT, inner.raft.shutdown()).await;
        for task in inner.tasks.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            task.abort();
        }
        inner.identity.release_storage();
        let mut released = inner.storage_released.clone();
        let _ = timeout(STOP_TIMEOUT, async { while released.changed().await.is_ok() {} }).await;
    }

    pub(crate) fn raft(&self) -> &Raft<TypeConfig<M>> {
        &self.0.raft
    }

    pub(crate) fn config(&self) -> &ReplicaConfig {
        &self.0.config
    }

    /// Whether replica `id` was ever a peer.
    pub(crate) fn is_known(&self, id: u64) -> bool {
        self.0.identity.is_known(id)
    }

    pub(crate) fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.0.config.write_ms)
    }

    /// The error of calls to a replica that has stopped.
    pub(crate) fn stopped_error(&self) -> WriteError {
        match &*self.0.fatal_error.borrow() {
            Some(error) => WriteError::Fatal(error.clone()),
            None => WriteError::Unavailable { reason: "the replica has stopped" },
        }
    }
}

/// Follows the library's metrics: publishes who leads and why the core ended, and closes connections to former members.
async fn follow_metrics(
    mut metrics: watch::Receiver<RaftMetrics<u64, NodeAddress>>,
    storage: Arc<Storage>,
    network: Arc<Network>,
    leadership: watch::Sender<Leadership>,
    fatal_error: watch::Sender<Option<FatalError>>,
    mut stopping: watch::Receiver<bool>,
) {
    let mut stall_reason = storage.watch_stall();
    let mut membership_log_id = None;
    loop {
        let current = metrics.borrow_and_update().clone();
        if membership_log_id != *current.membership_config.log_id() {
            membership_log_id = *current.membership_config.log_id();
            let addresses: Vec<SocketAddr> =
                current.membership_config.nodes().map(|(_, node)| node.0).collect();
            network.retain(&addresses);
        }
        let ended = current.running_state.is_err() || metrics.has_changed().is_err();
        let cannot_lead =
            ended || stall_reason.borrow_and_update().is_some() || *stopping.borrow_and_update();
        let now = Leadership {
            term: current.current_term,
            leader: current
                .current_leader
                .filter(|_| !cannot_lead)
                .and_then(|id| Some((id, current.membership_config.membership().get_node(&id)?.0))),
            is_local: !cannot_lead && current.state == ServerState::Leader,
        };
        leadership.send_if_modified(|leadership| {
            let changed = *leadership != now;
            *leadership = now;
            changed
        });
        if *stopping.borrow() {
            storage.close();
            return;
        }
        if ended {
            let reason = match current.running_state {
                Err(e) => e.to_string(),
                Ok(()) => "the consensus core has ended".to_owned(),
            };
            let advice = "start it again; if it ends again, report it with its log";
            let error = storage.fatal_error().cloned().unwrap_or(FatalError { reason, advice });
            tracing::error!("{error}: {}", error.advice);
            fatal_error.send_replace(Some(error));
            return;
        }
        tokio::select! {
            // A closed channel is detected above.
            _ = metrics.changed() => {}
            _ = stall_reason.changed() => {}
            _ = stopping.changed() => {}
        }
    }
}
