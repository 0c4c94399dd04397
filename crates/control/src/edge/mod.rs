//! A replica's edge: HTTP/1.1 for nodes, operators and the other replicas, and the task that leads.
//!
//! | module | what it knows |
//! | --- | --- |
//! | `http` | connections and their bounds |
//! | `sock` | a connection that does not stand still |
//! | `calls` | which path takes what, and what comes of it |
//! | `answer` | answers, and errors with what to do about them |
//! | `watch` | the body of a watch |
//! | `actor` | [`crate::leader::Leader`] while this replica leads |
//!
//! Whoever reaches the listening address may do all that operators may: it belongs on a network that only nodes,
//! operators and replicas reach.

mod actor;
mod answer;
mod calls;
mod http;
mod sock;
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
use crate::gate::Gate;
use crate::hub::Hub;
use crate::machine::Agreement;

/// How many of operators' writes may be under way.
const CALLS_MOST: usize = 64;
/// How many messages of other replicas may be read at a time.
const LETTERS_MOST: usize = 32;
/// After so long without a word of a leader watches end, so that their watchers go to another replica.
const OUT_OF_TOUCH: Duration = Duration::from_secs(3);
/// How often that is looked at.
const TOUCH: Duration = Duration::from_millis(500);
/// The record of how often the replica was started.
const STARTS: &str = "starts";
/// How long a stop waits for calls in flight.
const STOP: Duration = Duration::from_secs(2);

/// Why a replica does not run, or not any more.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// Its address can't be had.
    #[error("listen: {address}: {error}; end the process that has it, or give this replica another address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        error: io::Error,
    },
    /// The system.
    #[error("{what}: {error}; see the system's limits")]
    System {
        /// What was asked for.
        what: &'static str,
        /// What it says.
        error: io::Error,
    },
    /// Its disk.
    #[error("{0}; {advice}", advice = .0.advice())]
    Store(#[from] StoreError),
    /// Its start.
    #[error("{0}; {advice}", advice = .0.advice())]
    Start(#[from] ConsensusError),
    /// It can't go on.
    #[error("{0}; {advice}", advice = .0.advice)]
    Failed(FatalError),
    /// A part of it has ended.
    #[error("the part that {0} has ended; start the replica again, and report it with its log")]
    Ended(&'static str),
}

/// What the calls share.
struct Edge {
    config: Config,
    address: SocketAddr,
    replica: Replica<Agreement>,
    store: Store,
    hub: Hub,
    actor: actor::Handle,
    connections: Gate,
    calls: Gate,
    letters: Gate,
    in_touch: Receiver<bool>,
    stopping: Sender<bool>,
    /// The last entry that was on the disk at the start.
    begun_with: u64,
}

impl Edge {
    /// It has applied what it had on its disk, and knows a leader. What it had may be cut off by a leader.
    fn is_ready(&self) -> bool {
        let status = self.replica.status();
        let had = self.begun_with.min(status.last_log_index.unwrap_or_default());
        self.replica.watch_leadership().borrow().leader.is_some()
            && status.applied_index >= had
            && !*self.stopping.borrow()
    }
}

/// A replica that runs.
pub struct Control {
    edge: Arc<Edge>,
    tasks: JoinSet<&'static str>,
}

impl Control {
    /// Starts a replica, which from then on takes calls.
    ///
    /// # Errors
    /// Its address or its disk.
    pub async fn start(config: Config) -> Result<Self, ControlError> {
        let at = config.listen;
        let listen = |error| ControlError::Listen { address: at, error };
        // Before the disk: a second process of the same replica is told so by its address.
        let listener = http::listen(at).map_err(listen)?;
        let address = listener.local_addr().map_err(listen)?;
        let owner = Owner { cluster: config.cluster.clone(), replica: config.id };
        let dir = config.dir.clone();
        let opened = tokio::task::spawn_blocking(move || Store::open(&dir, &owner)).await;
        let store = opened.map_err(|_| ControlError::Ended("opens the disk"))??;
        let mut place = ReplicaConfig::new(config.id, &config.cluster, config.address, config.peers.clone());
        place.heartbeat_ms = config.election.heartbeat_ms;
        place.election_ms = config.election.after_ms;
        let starts = count_start(&store).await?;
        let replica = Replica::start(place, store.clone(), Agreement::new()).await?;
        let begun_with = replica.status().last_log_index.unwrap_or_default();

        let (stopping, _) = channel(false);
        let (touch, in_touch) = channel(false);
        let (handle, actor) = actor::new(replica.clone(), starts, config.terms.clone());
        let hub = Hub::default();
        let mut tasks = JoinSet::new();
        let stop = stopping.subscribe();
        tasks.spawn(async move {
            actor.run(stop).await;
            "leads"
        });
        let (shown, followed) = (hub.clone(), replica.clone());
        tasks.spawn(async move {
            follow(followed, shown).await;
            "shows what is agreed"
        });
        let (shown, watched) = (hub.clone(), replica.clone());
        tasks.spawn(async move {
            keep_touch(watched, shown, touch).await;
            "looks for the leader"
        });
        let edge = Arc::new(Edge {
            connections: Gate::new(config.limits.connections),
            calls: Gate::new(CALLS_MOST),
            letters: Gate::new(LETTERS_MOST),
            config,
            address,
            replica,
            store,
            hub,
            actor: handle,
            in_touch,
            stopping,
            begun_with,
        });
        let accepting = edge.clone();
        tasks.spawn(async move {
            http::accept(accepting, listener).await;
            "takes connections"
        });
        tracing::info!(cluster = edge.config.cluster, id = edge.config.id, %address, "replica runs");
        Ok(Self { edge, tasks })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.edge.address
    }

    /// Returns once the replica can't go on.
    pub async fn failed(&mut self) -> ControlError {
        let replica = &self.edge.replica;
        tokio::select! {
            failure = replica.fatal_error() => ControlError::Failed(failure),
            // The replica's failure may be what ended it.
            Some(ended) = self.tasks.join_next() => match timeout(STOP, replica.fatal_error()).await {
                Ok(failure) => ControlError::Failed(failure),
                Err(_) => ControlError::Ended(ended.unwrap_or("panicked")),
            }
        }
    }

    /// Takes nothing new, ends watches, finishes writes in flight, and lets go of disk and address.
    pub async fn stop(mut self) {
        let edge = &self.edge;
        edge.stopping.send_replace(true);
        edge.calls.stop();
        edge.hub.close();
        if timeout(STOP, edge.calls.empty()).await.is_err() {
            tracing::warn!("calls in flight at the stop: what they wrote may hold");
        }
        edge.replica.stop().await;
        // Last answers are on their way.
        if timeout(STOP, edge.connections.empty()).await.is_err() {
            tracing::debug!(left = edge.connections.count(), "connections are cut off");
        }
        self.tasks.shutdown().await;
        tracing::info!(id = self.edge.config.id, "replica has stopped");
    }
}

/// Counts the starts of a replica on its disk; this one's number.
async fn count_start(store: &Store) -> Result<u64, ControlError> {
    let store = store.clone();
    let counted = tokio::task::spawn_blocking(move || {
        let before = store.get(STARTS)?.and_then(|bytes| <[u8; 8]>::try_from(bytes).ok());
        let starts = before.map_or(0, u64::from_le_bytes) + 1;
        store.put(STARTS, &starts.to_le_bytes()).map(|()| starts)
    });
    Ok(counted.await.map_err(|_| ControlError::Ended("counts its starts"))??)
}

/// Runs a replica until SIGTERM or SIGINT.
///
/// # Errors
/// Why it did not start, or could not go on.
pub fn run(config: Config) -> Result<(), ControlError> {
    let system = |what| move |error| ControlError::System { what, error };
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(system("runtime"))?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(system("signal"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(system("signal"))?;
        let mut control = Control::start(config).await?;
        let failed = tokio::select! {
            error = control.failed() => Err(error),
            _ = terminate.recv() => Ok(()),
            _ = interrupt.recv() => Ok(()),
        };
        control.stop().await;
        failed
    })
}

/// Shows each change of policy and of verdicts to whoever watches, and each change of policy to the log.
async fn follow(replica: Replica<Agreement>, hub: Hub) {
    let mut applied = replica.watch_applied();
    let mut shown = None;
    loop {
        applied.borrow_and_update();
        let fresh = replica.read(|agreement, _| {
            let mark = (agreement.book().version(), agreement.verdicts().version());
            let told = || (mark, agreement.agreed(), agreement.verdicts().told());
            (shown != Some(mark)).then(told)
        });
        if let Some((mark, agreed, verdicts)) = fresh {
            let policy = shown.is_none_or(|(policy, _): (u64, u64)| policy != mark.0);
            match (&agreed.change, agreed.ended_changes.last()) {
                _ if !policy => {}
                (Some(change), _) => {
                    tracing::info!(change = change.id.0, epoch = change.epoch, "a change is under way");
                }
                (None, Some(ended)) => {
                    let (change, epoch) = (ended.id.0, ended.epoch);
                    match &ended.abort_reason {
                        None => tracing::info!(change, epoch, "the change is committed"),
                        Some(why) => tracing::info!(change, epoch, ?why, "the change is aborted"),
                    }
                }
                (None, None) => {}
            }
            let version = mark.0.max(mark.1);
            shown = Some(mark);
            let verdicts = Some(verdicts).filter(|verdicts| verdicts.version > 0);
            let news = WatchEvent { agreed_state: Some(agreed), version, verdicts };
            match serde_json::to_vec(&news) {
                Ok(mut line) => {
                    line.push(b'\n');
                    hub.publish(version, line.into());
                }
                Err(error) => tracing::error!(%error, "what is agreed has no form in JSON"),
            }
        }
        if applied.changed().await.is_err() {
            return;
        }
    }
}

/// Follows whether this replica is in touch with a leader that a majority follows; ends watches where it is not.
async fn keep_touch(replica: Replica<Agreement>, hub: Hub, touch: Sender<bool>) {
    let mut leading = replica.watch_leadership();
    let mut heard: Option<Instant> = None;
    loop {
        let led = leading.borrow_and_update().clone();
        let began = Instant::now();
        let known = match led.is_local {
            true => matches!(timeout(OUT_OF_TOUCH, replica.confirm_leadership()).await, Ok(Ok(()))),
            false => led.leader.is_some(),
        };
        if known {
            heard = Some(began);
        }
        let now = heard.is_some_and(|heard| heard.elapsed() < OUT_OF_TOUCH);
        let changed = touch.send_if_modified(|touch| std::mem::replace(touch, now) != now);
        if changed && !now {
            tracing::warn!("out of touch with the leader: watches end");
            hub.cut();
        }
        tokio::select! {
            () = sleep(TOUCH) => {}
            // Not more often than that where leadership changes back and forth.
            changed = leading.changed() => match changed {
                Ok(()) => sleep(TOUCH / 10).await,
                Err(_) => return,
            }
        }
    }
}
