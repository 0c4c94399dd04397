//! One replica: the library's core between the machine, the disk and the network.

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
use crate::leadership::{rounds, Waiting, WAITING_MOST};
use crate::network::{Links, Network};
use crate::state_machine::{Logged, Place, RaftStateMachineAdapter, Shared, Types};
use crate::storage::{encode, Disk, LogStore};
use crate::wire::{open, refuse, Reply, APPEND, MAX_BODY_BYTES, SNAPSHOT, VOTE};
use crate::{ConsensusError, FatalError, ReplicaConfig, StateMachine, WriteError};

/// The most messages of other replicas that are taken at a time.
const MESSAGES_MOST: usize = 64;
/// The most time that a message of another replica may take here.
const MESSAGE_BOUND: Duration = Duration::from_secs(10);
/// The most time that stopping waits for the disk to be let go.
const STOP_BOUND: Duration = Duration::from_secs(10);

/// Who leads, as this replica knows it; a leader that was cut off learns late that it leads no more
/// ([`Replica::confirm_leadership`] makes sure).
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Leadership {
    /// The term; grows, and has one leader at the most.
    pub term: u64,
    /// Who, and where it is reached.
    pub leader: Option<(u64, SocketAddr)>,
    /// This replica.
    #[serde(rename = "me")]
    pub is_local: bool,
}

/// How a replica fares, for operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Its number.
    pub id: u64,
    /// Its cluster.
    pub cluster: String,
    /// `leader`, `follower`, `candidate`, `learner` (takes the log and does not count), or `stopped`.
    pub role: String,
    /// The term.
    pub term: u64,
    /// Who leads, as far as it is known here.
    pub leader: Option<u64>,
    /// At a leader, milliseconds since a majority last answered it.
    #[serde(rename = "majority_ms")]
    pub since_quorum_ack_ms: Option<u64>,
    /// The last entry of its log.
    #[serde(rename = "last")]
    pub last_log_index: Option<u64>,
    /// The last entry that is applied here.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// The last entry in its snapshot.
    #[serde(rename = "snapshot")]
    pub snapshot_index: Option<u64>,
    /// The last entry that is no longer in its log.
    #[serde(rename = "purged")]
    pub purged_index: Option<u64>,
    /// A change of the group is half done; make the same call again.
    #[serde(rename = "changing")]
    pub membership_changing: bool,
    /// The group.
    pub replicas: Vec<PeerStatus>,
    /// Why its disk takes no writes at the moment; it neither leads nor votes then.
    #[serde(rename = "stalled")]
    pub stall_reason: Option<String>,
    /// Why it can't go on.
    #[serde(rename = "failure")]
    pub fatal_error: Option<String>,
    /// The last message or answer that did not count, as it came from a stranger.
    #[serde(rename = "refused")]
    pub last_refusal: Option<String>,
}

/// A replica of the group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Its number.
    pub id: u64,
    /// Where it is reached.
    pub address: SocketAddr,
    /// It counts.
    pub voter: bool,
    /// At a leader, the last entry that it is known to have.
    #[serde(rename = "matched")]
    pub matched_index: Option<u64>,
}

/// One replica of the log. Clones are the same replica.
pub struct Replica<M: StateMachine>(Arc<Inner<M>>);

impl<M: StateMachine> Clone for Replica<M> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

struct Inner<M: StateMachine> {
    config: ReplicaConfig,
    raft: Raft<Types<M>>,
    identity: Arc<Identity>,
    shared: Arc<Shared<M>>,
    leading: watch::Receiver<Leadership>,
    failure: watch::Receiver<Option<FatalError>>,
    confirm: mpsc::Sender<Waiting>,
    writes: Arc<Semaphore>,
    messages: Semaphore,
    stopping: watch::Sender<bool>,
    stalled: watch::Receiver<Option<String>>,
    gone: watch::Receiver<()>,
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
    /// Starts a replica on its disk, with the machine's first state.
    ///
    /// The first start of the replicas in `config.peers` forms the group. No order of their starts matters: each writes
    /// the same first entry (the group's members) at the same place of its own empty log and then asks for votes, and
    /// one that is reached by a candidate before that takes the same entry from the leader. Replicas whose `peers`
    /// differ refuse each other, as their first entries would look the same and be different. On later starts the log
    /// is not empty and nothing is formed.
    ///
    /// # Errors
    /// A bad configuration; a disk that does not work, or holds what can't be read.
    pub async fn start(config: ReplicaConfig, store: Store, machine: M) -> Result<Self, ConsensusError> {
        let library = Arc::new(config.library()?);
        let (disk, gone) = Disk::new(store);
        let identity = Arc::new(Identity::load(Arc::clone(&disk), &config).await?);
        let (state, shared) =
            RaftStateMachineAdapter::load(Arc::clone(&disk), machine, config.id, config.max_snapshot_bytes)
                .await?;
        let network =
            Arc::new(Network::new(Arc::clone(&identity), Duration::from_millis(config.heartbeat_ms)));
        let log = LogStore::new(Arc::clone(&disk));
        let core = |e: Fatal<u64>| ConsensusError::Core(e.to_string());
        let raft = Raft::new(config.id, library, Links::new(Arc::clone(&network)), log, state)
            .await
            .map_err(core)?;
        // The library calls it an error where a group is there already.
        if config.peers.contains_key(&config.id) && !raft.is_initialized().await.map_err(core)? {
            let members: std::collections::BTreeMap<u64, Place> =
                config.peers.iter().map(|(id, address)| (*id, Place(*address))).collect();
            match raft.initialize(members).await {
                Ok(()) => tracing::info!(replica = config.id, "formed the group on an empty disk"),
                // A leader came first.
                Err(RaftError::APIError(InitializeError::NotAllowed(_))) => {}
                Err(e) => return Err(ConsensusError::Core(e.to_string())),
            }
        }

        let stopping = watch::Sender::new(false);
        let (leading_sender, leading) = watch::channel(Leadership::default());
        let (failure_sender, failure) = watch::channel(None);
        let (confirm, asked) = mpsc::channel(WAITING_MOST);
        let bound = Duration::from_millis(config.election_ms.1);
        let stalled = disk.stalled();
        let tasks = vec![
            tokio::spawn(rounds(raft.clone(), asked, shared.version(), bound)),
            tokio::spawn(follow(
                raft.metrics(),
                disk,
                network,
                leading_sender,
                failure_sender,
                stopping.subscribe(),
            )),
        ];
        Ok(Self(Arc::new(Inner {
            writes: Arc::new(Semaphore::new(config.max_concurrent_writes)),
            messages: Semaphore::new(MESSAGES_MOST),
            config,
            raft,
            identity,
            shared,
            leading,
            failure,
            confirm,
            stopping,
            stalled,
            gone,
            tasks: Mutex::new(tasks),
        })))
    }

    /// Writes a command; returns once it is on the disks of a majority and applied here, with its version and reply.
    ///
    /// # Errors
    /// [`WriteError::NotLeader`], [`WriteError::Busy`] and [`WriteError::TooLarge`] say that nothing was written; after
    /// the others it may have been, or may be yet.
    pub async fn write(&self, command: M::Command) -> Result<(u64, M::Reply), WriteError> {
        let void = WriteError::Unavailable { reason: "the log took it as something else" };
        let (version, reply) = self.log(command, None).await?;
        Ok((version, reply.ok_or(void)?))
    }

    /// Writes what was decided while this replica led in `term`: an entry that it writes as the leader of another term
    /// is void at every replica, so a leader that was deposed and has come back writes nothing that it decided before.
    ///
    /// # Errors
    /// As [`Replica::write`]; [`WriteError::NotLeader`] for a void entry, too.
    pub async fn write_in_term(&self, term: u64, command: M::Command) -> Result<(u64, M::Reply), WriteError> {
        let (version, reply) = self.log(command, Some(term)).await?;
        Ok((version, reply.ok_or(WriteError::NotLeader { leader: None })?))
    }

    /// The version and the reply; none where the entry is void.
    async fn log(
        &self,
        command: M::Command,
        term: Option<u64>,
    ) -> Result<(u64, Option<M::Reply>), WriteError> {
        let inner = &self.0;
        let size = encode(&command).len();
        if size > inner.config.max_command_bytes {
            return Err(WriteError::TooLarge { size, max: inner.config.max_command_bytes });
        }
        let Ok(permit) = Arc::clone(&inner.writes).try_acquire_owned() else {
            return Err(WriteError::Busy { max: inner.config.max_concurrent_writes });
        };
        let (logged, taken) = Logged::new(command, term);
        let raft = inner.raft.clone();
        // The permit is held until the fate is known, so that a leader that is cut off doesn't fill its log.
        let written = tokio::spawn(async move {
            let result = raft.client_write(logged).await;
            drop(permit);
            result
        });
        let late = WriteError::Unavailable { reason: "no majority of replicas took it in time" };
        let result = timeout(self.write_bound(), written).await.map_err(|_| late)?;
        match result {
            Ok(Ok(response)) => Ok((response.log_id.index, response.data)),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(to)))) => {
                if taken.load(std::sync::atomic::Ordering::Acquire) {
                    return Err(WriteError::Unavailable {
                        reason: "another replica leads since it was written here",
                    });
                }
                Err(WriteError::NotLeader { leader: to.leader_id.zip(to.leader_node.map(|place| place.0)) })
            }
            Ok(Err(RaftError::APIError(ClientWriteError::ChangeMembershipError(_)))) => {
                Err(WriteError::Unavailable { reason: "the log took it as something else" })
            }
            Ok(Err(RaftError::Fatal(_))) | Err(_) => Err(self.stopped()),
        }
    }

    /// Makes sure that this replica led at some moment after the call began, and has applied all that was acknowledged
    /// before the call.
    ///
    /// # Errors
    /// [`WriteError::NotLeader`], or [`WriteError::Unavailable`] if no majority answered in time.
    pub async fn confirm_leadership(&self) -> Result<(), WriteError> {
        let busy = WriteError::Busy { max: WAITING_MOST };
        let (caller, answer) = oneshot::channel();
        self.0.confirm.try_send(caller).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => busy,
            mpsc::error::TrySendError::Closed(_) => self.stopped(),
        })?;
        match answer.await {
            Ok(result) => result,
            Err(_) => Err(self.stopped()),
        }
    }

    /// Who leads, as this replica knows it.
    pub fn watch_leadership(&self) -> watch::Receiver<Leadership> {
        self.0.leading.clone()
    }

    /// The version that is applied here. It changes with each entry applied and each snapshot installed; after a restart
    /// it starts at the snapshot and comes back with the first word of a leader.
    pub fn watch_applied(&self) -> watch::Receiver<u64> {
        self.0.shared.version()
    }

    /// Reads the state here, which may be behind; `f` gets its version. It must be short, as it keeps commands waiting.
    pub fn read<R>(&self, f: impl FnOnce(&M, u64) -> R) -> R {
        self.0.shared.read(f)
    }

    /// Returns once this replica can't go on; the process should end with the failure as its one line. While the
    /// replica works, or after [`Replica::stop`], it waits for ever.
    pub async fn fatal_error(&self) -> FatalError {
        let mut failure = self.0.failure.clone();
        let failed = failure.wait_for(Option::is_some).await.ok().and_then(|failure| failure.clone());
        match failed {
            Some(failure) => failure,
            None => std::future::pending().await,
        }
    }

    /// Takes a message of another replica: `POST path` with `body`, for the paths `/raft/append`, `/raft/vote` and
    /// `/raft/snapshot`. Bodies above [`MAX_BODY_BYTES`] are refused; an edge does so before it reads them.
    pub async fn handle_message(&self, path: &str, body: Bytes) -> (StatusCode, Bytes) {
        let inner = &self.0;
        if body.len() > MAX_BODY_BYTES {
            let reason = format!("a message of {} bytes, and at most {MAX_BODY_BYTES} are taken", body.len());
            return refuse(StatusCode::PAYLOAD_TOO_LARGE, &reason);
        }
        let stalled = inner.stalled.borrow().clone();
        if let Some(reason) = stalled {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, &reason);
        }
        let Ok(_permit) = inner.messages.try_acquire() else {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, &"too many messages at a time");
        };
        match timeout(MESSAGE_BOUND, self.message(path, &body)).await {
            Ok(answer) => answer,
            Err(_) => refuse(StatusCode::SERVICE_UNAVAILABLE, &"the replica is busy"),
        }
    }

    async fn message(&self, path: &str, body: &[u8]) -> (StatusCode, Bytes) {
        let raft = &self.0.raft;
        let me = &self.0.identity;
        match path {
            APPEND => match open(me, body).await {
                Ok(rpc) => self.answer(raft.append_entries(rpc).await),
                Err(refusal) => refusal,
            },
            VOTE => match open(me, body).await {
                Ok(rpc) => self.answer(raft.vote(rpc).await),
                Err(refusal) => refusal,
            },
            SNAPSHOT => match open::<openraft::raft::InstallSnapshotRequest<Types<M>>>(me, body).await {
                Ok(rpc)
                    if rpc.offset.saturating_add(rpc.data.len() as u64)
                        > self.0.config.max_snapshot_bytes as u64 =>
                {
                    let reason = format!("a snapshot above {} bytes", self.0.config.max_snapshot_bytes);
                    refuse(StatusCode::PAYLOAD_TOO_LARGE, &reason)
                }
                Ok(rpc) => self.answer(raft.install_snapshot(rpc).await),
                Err(refusal) => refusal,
            },
            _ => refuse(StatusCode::NOT_FOUND, &"no such message"),
        }
    }

    fn answer<T: Serialize, E: Serialize>(
        &self,
        answer: Result<T, RaftError<u64, E>>,
    ) -> (StatusCode, Bytes) {
        let answer = match answer {
            Ok(answer) => Ok(answer),
            Err(RaftError::APIError(e)) => Err(e),
            Err(RaftError::Fatal(_)) => {
                return refuse(StatusCode::SERVICE_UNAVAILABLE, &"the replica has stopped")
            }
        };
        (StatusCode::OK, encode(&Reply { from: self.0.identity.sender(), answer }).into())
    }

    /// How this replica fares.
    pub fn status(&self) -> Status {
        let inner = &self.0;
        let metrics = inner.raft.metrics().borrow().clone();
        let members = metrics.membership_config.membership();
        let voters: Vec<u64> = members.voter_ids().collect();
        let matched = |id: &u64| metrics.replication.as_ref()?.get(id)?.map(|log| log.index);
        let replicas = members
            .nodes()
            .map(|(id, place)| PeerStatus {
                id: *id,
                address: place.0,
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
            applied_index: *inner.shared.version().borrow(),
            snapshot_index: metrics.snapshot.map(|log| log.index),
            purged_index: metrics.purged.map(|log| log.index),
            membership_changing: members.get_joint_config().len() > 1,
            replicas,
            stall_reason: inner.stalled.borrow().clone(),
            fatal_error: inner.failure.borrow().as_ref().map(ToString::to_string),
            last_refusal: inner.identity.refused(),
        }
    }

    /// Stops the replica, and waits until its disk is let go. What waits for it gets an error.
    pub async fn stop(&self) {
        let inner = &self.0;
        inner.stopping.send_replace(true);
        let _ = timeout(STOP_BOUND, inner.raft.shutdown()).await;
        for task in inner.tasks.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            task.abort();
        }
        inner.identity.let_go();
        let mut gone = inner.gone.clone();
        let _ = timeout(STOP_BOUND, async { while gone.changed().await.is_ok() {} }).await;
    }

    pub(crate) fn raft(&self) -> &Raft<Types<M>> {
        &self.0.raft
    }

    pub(crate) fn config(&self) -> &ReplicaConfig {
        &self.0.config
    }

    pub(crate) fn knows(&self, id: u64) -> bool {
        self.0.identity.knows(id)
    }

    pub(crate) fn write_bound(&self) -> Duration {
        Duration::from_millis(self.0.config.write_ms)
    }

    /// Why nothing is written any more.
    pub(crate) fn stopped(&self) -> WriteError {
        match &*self.0.failure.borrow() {
            Some(failure) => WriteError::Fatal(failure.clone()),
            None => WriteError::Unavailable { reason: "the replica has stopped" },
        }
    }
}

/// Follows the library's word of itself, and passes on who leads and why it ended.
async fn follow(
    mut metrics: watch::Receiver<RaftMetrics<u64, Place>>,
    disk: Arc<Disk>,
    network: Arc<Network>,
    leading: watch::Sender<Leadership>,
    failure: watch::Sender<Option<FatalError>>,
    mut stopping: watch::Receiver<bool>,
) {
    let mut stalled = disk.stalled();
    let mut members = None;
    loop {
        let now = metrics.borrow_and_update().clone();
        if members != *now.membership_config.log_id() {
            members = *now.membership_config.log_id();
            let addresses: Vec<SocketAddr> =
                now.membership_config.nodes().map(|(_, place)| place.0).collect();
            network.retain(&addresses);
        }
        let ended = now.running_state.is_err() || metrics.has_changed().is_err();
        let aside = ended || stalled.borrow_and_update().is_some() || *stopping.borrow_and_update();
        let word = Leadership {
            term: now.current_term,
            leader: now
                .current_leader
                .filter(|_| !aside)
                .and_then(|id| Some((id, now.membership_config.membership().get_node(&id)?.0))),
            is_local: !aside && now.state == ServerState::Leader,
        };
        leading.send_if_modified(|leading| {
            let changed = *leading != word;
            *leading = word;
            changed
        });
        if *stopping.borrow() {
            disk.close();
            return;
        }
        if ended {
            let reason = match now.running_state {
                Err(e) => e.to_string(),
                Ok(()) => "the consensus core has ended".to_owned(),
            };
            let advice = "start it again; if it ends again, report it with its log";
            let failed = disk.fatal_error().cloned().unwrap_or(FatalError { reason, advice });
            tracing::error!("{failed}: {}", failed.advice);
            failure.send_replace(Some(failed));
            return;
        }
        tokio::select! {
            // An error is found above.
            _ = metrics.changed() => {}
            _ = stalled.changed() => {}
            _ = stopping.changed() => {}
        }
    }
}
