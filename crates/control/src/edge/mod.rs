//! A replica's HTTP/1.1 interface for nodes, operators and the other replicas, and the task that runs the leader.
//!
//! | module | content |
//! | --- | --- |
//! | `http` | connections and their limits |
//! | `stalled_write` | a connection with a timeout for stalled writes |
//! | `calls` | the paths, and how each call is handled |
//! | `response` | responses, and errors with advice |
//! | `watch` | the body of a watch |
//! | `actor` | the task that runs a [`crate::leader::Leader`] while this replica leads |
//!
//! There is no authentication: anyone who can reach the listening address can make every call, including the operators'.
//! The address must be on a network that only nodes, operators and replicas can reach.

mod actor;
mod calls;
mod http;
mod response;
mod stalled_write;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use consensus::{ConsensusError, FatalError, Replica, ReplicaConfig};
use member::WatchEvent;
use store::{Owner, Store, StoreError};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch::{channel, Receiver, Sender};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

use crate::config::Config;
use crate::hub::WatchHub;
use crate::limiter::Limiter;
use crate::machine::FleetState;

/// The maximum number of operators' writes in flight.
const MAX_WRITES: usize = 64;
/// The maximum number of messages of other replicas that are read at the same time.
const MAX_PEER_MESSAGES: usize = 32;
/// After this long without contact with a leader, all watches end, so that their watchers go to another replica. Contact
/// means on a follower that the consensus library names a leader, and on the leader that a majority has confirmed its
/// leadership. This is also the timeout of one such confirmation.
const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval between two checks of the contact with a leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The name of the stored record that counts the starts of the replica.
const STARTS_RECORD: &str = "starts";
/// How long a stop waits for calls in flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a replica did not start or has stopped running.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// It cannot listen on its address.
    #[error(
        "listen: {address}: {error}; stop the process that uses it, or give this replica another address"
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// A system call failed.
    #[error("{what}: {error}; check the system's limits")]
    System {
        /// What the process tried to do.
        what: &'static str,
        /// The system's error.
        error: io::Error,
    },
    /// Its store failed.
    #[error("{0}; {advice}", advice = .0.advice())]
    Store(#[from] StoreError),
    /// The consensus library did not start.
    #[error("{0}; {advice}", advice = .0.advice())]
    Start(#[from] ConsensusError),
    /// The consensus library failed while running.
    #[error("{0}; {advice}", advice = .0.advice)]
    Failed(FatalError),
    /// One of its tasks has ended or panicked; the text says what the task does.
    #[error("the task that {0} has ended unexpectedly; restart the replica, and report this with its log")]
    Ended(&'static str),
}

/// The state that all calls share.
struct Edge {
    config: Config,
    address: SocketAddr,
    replica: Replica<FleetState>,
    store: Store,
    hub: WatchHub,
    actor: actor::Handle,
    connections: Limiter,
    writes: Limiter,
    peer_messages: Limiter,
    /// See [`LEADER_CONTACT_TIMEOUT`].
    has_leader_contact: Receiver<bool>,
    stopping: Sender<bool>,
    /// The last log entry on disk at the start.
    last_entry_at_start: u64,
}

impl Edge {
    /// Returns whether this replica has applied the log entries that were on its disk at the start (except those that a
    /// leader has truncated since), knows a leader, and is not stopping.
    fn is_ready(&self) -> bool {
        let status = self.replica.status();
        let required = self.last_entry_at_start.min(status.last_log_index.unwrap_or_default());
        self.replica.watch_leadership().borrow().leader.is_some()
            && status.applied_index >= required
            && !*self.stopping.borrow()
    }
}

/// A running replica.
pub struct Control {
    edge: Arc<Edge>,
    tasks: JoinSet<&'static str>,
}

impl Control {
    /// Starts a replica, which accepts calls from then on.
    ///
    /// # Errors
    /// If its address or its store is not usable.
    pub async fn start(config: Config) -> Result<Self, ControlError> {
        let requested = config.listen;
        let listen_error = |error| ControlError::Listen { address: requested, error };
        // Listens before opening the store, so that a second process of the same replica fails because of the address.
        let listener = http::listen(requested).map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let owner = Owner { cluster: config.cluster.clone(), replica: config.id };
        let state_dir = config.state_dir.clone();
        let opened = tokio::task::spawn_blocking(move || Store::open(&state_dir, &owner)).await;
        let store = opened.map_err(|_| ControlError::Ended("opens the store"))??;
        let mut replica_config =
            ReplicaConfig::new(config.id, &config.cluster, config.address, config.peers.clone());
        replica_config.heartbeat_ms = config.election.heartbeat_ms;
        replica_config.election_ms = config.election.timeout_range_ms;
        let starts = count_start(&store).await?;
        let replica = Replica::start(replica_config, store.clone(), FleetState::new()).await?;
        let last_entry_at_start = replica.status().last_log_index.unwrap_or_default();

        let (stopping, _) = channel(false);
        let (contact_sender, has_leader_contact) = channel(false);
        let (handle, actor) = actor::new(replica.clone(), starts, config.leader.clone());
        let hub = WatchHub::default();
        let mut tasks = JoinSet::new();
        let stop = stopping.subscribe();
        tasks.spawn(async move {
            actor.run(stop).await;
            "runs the leader"
        });
        let (task_hub, task_replica) = (hub.clone(), replica.clone());
        tasks.spawn(async move {
            publish_changes(task_replica, task_hub).await;
            "publishes the agreed state"
        });
        let (task_hub, task_replica) = (hub.clone(), replica.clone());
        tasks.spawn(async move {
            monitor_leader_contact(task_replica, task_hub, contact_sender).await;
            "monitors the contact with a leader"
        });
        let edge = Arc::new(Edge {
            connections: Limiter::new(config.limits.max_connections),
            writes: Limiter::new(MAX_WRITES),
            peer_messages: Limiter::new(MAX_PEER_MESSAGES),
            config,
            address,
            replica,
            store,
            hub,
            actor: handle,
            has_leader_contact,
            stopping,
            last_entry_at_start,
        });
        let accepting = edge.clone();
        tasks.spawn(async move {
            http::accept(accepting, listener).await;
            "accepts connections"
        });
        tracing::info!(cluster = edge.config.cluster, id = edge.config.id, %address, "replica started");
        Ok(Self { edge, tasks })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.edge.address
    }

    /// Returns once the replica has failed.
    pub async fn failed(&mut self) -> ControlError {
        let replica = &self.edge.replica;
        tokio::select! {
            failure = replica.fatal_error() => ControlError::Failed(failure),
            // If a failure of the consensus library has ended the task, that is reported instead.
            Some(ended) = self.tasks.join_next() => match timeout(STOP_TIMEOUT, replica.fatal_error()).await {
                Ok(failure) => ControlError::Failed(failure),
                Err(_) => ControlError::Ended(ended.unwrap_or("panicked")),
            }
        }
    }

    /// Refuses new calls, ends watches, finishes writes in flight, and releases the store and the address.
    pub async fn stop(mut self) {
        let edge = &self.edge;
        edge.stopping.send_replace(true);
        edge.writes.stop();
        edge.hub.close();
        if timeout(STOP_TIMEOUT, edge.writes.drained()).await.is_err() {
            tracing::warn!("stopped with writes in flight: they may or may not take effect");
        }
        edge.replica.stop().await;
        // The last responses are still being sent.
        if timeout(STOP_TIMEOUT, edge.connections.drained()).await.is_err() {
            tracing::debug!(left = edge.connections.in_use(), "open connections are closed");
        }
        self.tasks.shutdown().await;
        tracing::info!(id = self.edge.config.id, "replica stopped");
    }
}

/// Increments the stored number of the replica's starts, and returns it.
async fn count_start(store: &Store) -> Result<u64, ControlError> {
    let store = store.clone();
    let counted = tokio::task::spawn_blocking(move || {
        let previous = store.get(STARTS_RECORD)?.and_then(|bytes| <[u8; 8]>::try_from(bytes).ok());
        let starts = previous.map_or(0, u64::from_le_bytes) + 1;
        store.put(STARTS_RECORD, &starts.to_le_bytes()).map(|()| starts)
    });
    Ok(counted.await.map_err(|_| ControlError::Ended("counts the starts"))??)
}

/// Runs a replica until SIGTERM or SIGINT.
///
/// # Errors
/// Why it did not start, or has failed.
pub fn run(config: Config) -> Result<(), ControlError> {
    let system_error = |what| move |error| ControlError::System { what, error };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(system_error("start the async runtime"))?;
    runtime.block_on(async {
        let mut terminate =
            signal(SignalKind::terminate()).map_err(system_error("install a signal handler"))?;
        let mut interrupt =
            signal(SignalKind::interrupt()).map_err(system_error("install a signal handler"))?;
        let mut control = Control::start(config).await?;
        let result = tokio::select! {
            error = control.failed() => Err(error),
            _ = terminate.recv() => Ok(()),
            _ = interrupt.recv() => Ok(()),
        };
        control.stop().await;
        result
    })
}

/// Publishes each change of the policy and of the verdicts to watchers, and logs each change of the policy.
async fn publish_changes(replica: Replica<FleetState>, hub: WatchHub) {
    let mut applied = replica.watch_applied();
    let mut published = None;
    loop {
        applied.borrow_and_update();
        let fresh = replica.read(|state, _| {
            let versions = (state.policy_state().version(), state.verdicts().version());
            let read = || (versions, state.agreed_state(), state.verdicts().in_force());
            (published != Some(versions)).then(read)
        });
        if let Some((versions, agreed, verdicts)) = fresh {
            let policy_changed = published.is_none_or(|(policy, _): (u64, u64)| policy != versions.0);
            match (&agreed.change, agreed.ended_changes.last()) {
                _ if !policy_changed => {}
                (Some(change), _) => {
                    tracing::info!(change = change.id.0, epoch = change.epoch, "change pending");
                }
                (None, Some(ended)) => {
                    let (change, epoch) = (ended.id.0, ended.epoch);
                    match &ended.abort_reason {
                        None => tracing::info!(change, epoch, "change committed"),
                        Some(reason) => tracing::info!(change, epoch, ?reason, "change aborted"),
                    }
                }
                (None, None) => {}
            }
            let version = versions.0.max(versions.1);
            published = Some(versions);
            let verdicts = Some(verdicts).filter(|verdicts| verdicts.version > 0);
            let event = WatchEvent { agreed_state: Some(agreed), version, verdicts };
            match serde_json::to_vec(&event) {
                Ok(mut line) => {
                    line.push(b'\n');
                    hub.publish(version, line.into());
                }
                Err(error) => tracing::error!(%error, "the agreed state cannot be encoded as JSON"),
            }
        }
        if applied.changed().await.is_err() {
            return;
        }
    }
}

/// Checks periodically whether this replica has contact with a leader (see [`LEADER_CONTACT_TIMEOUT`]), publishes the
/// result by `has_leader_contact`, and ends all watches when the contact is lost.
async fn monitor_leader_contact(
    replica: Replica<FleetState>,
    hub: WatchHub,
    has_leader_contact: Sender<bool>,
) {
    let mut leading = replica.watch_leadership();
    let mut last_contact: Option<Instant> = None;
    loop {
        let current = leading.borrow_and_update().clone();
        let started = Instant::now();
        let has_leader = match current.is_local {
            true => matches!(timeout(LEADER_CONTACT_TIMEOUT, replica.confirm_leadership()).await, Ok(Ok(()))),
            false => current.leader.is_some(),
        };
        if has_leader {
            last_contact = Some(started);
        }
        let is_in_contact = last_contact.is_some_and(|contact| contact.elapsed() < LEADER_CONTACT_TIMEOUT);
        let changed = has_leader_contact.send_if_modified(|has_leader_contact| {
            std::mem::replace(has_leader_contact, is_in_contact) != is_in_contact
        });
        if changed && !is_in_contact {
            tracing::warn!("contact with the leader lost: all watches end");
            hub.disconnect_all();
        }
        tokio::select! {
            () = sleep(LEADER_CHECK_INTERVAL) => {}
            // Limits the rate of checks if leadership changes back and forth.
            changed = leading.changed() => match changed {
                Ok(()) => sleep(LEADER_CHECK_INTERVAL / 10).await,
                Err(_) => return,
            }
        }
    }
}
