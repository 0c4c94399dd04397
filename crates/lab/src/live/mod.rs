//! Runs an experiment on sockets and in real time: starts the nodes and replicas, carries out the world's effects, and
//! reports to the world what the nodes do. Everything but the control group's links runs on one thread, woken by a
//! kernel timer with microsecond resolution.

mod addresses;
mod clients;
mod discovery;
mod faulty_voter;
mod group;
mod links;
mod process;
mod servers;

use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::resource::{getrlimit, setrlimit, Resource};
use nix::unistd::Pid;
use thiserror::Error;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle, LocalSet};

use self::addresses::{AddressBlock, Addresses};
use self::clients::ConnectionPool;
use self::discovery::DiscoveryAgent;
use self::group::ReplicaGroup;
use self::process::NodeLauncher;
use self::servers::ServerSockets;
use crate::draw::{us_from_ms, Draw};
use crate::plan::Plan;
use crate::server::Us;
use crate::world::{Effect, Signal, World};

/// Delay between the last node's readiness and the first client.
const START_DELAY: Duration = Duration::from_millis(300);
/// Interval of samples of the nodes' memory and descriptors and of the progress report.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(1000);
/// How long a killed process may take to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why a run failed.
#[derive(Debug, Error)]
pub enum LabError {
    /// No block of loopback addresses is free.
    #[error("no block of loopback addresses is free: {0}")]
    Addresses(String),
    /// An address cannot be listened at.
    #[error("{at} can't be listened at: {source}")]
    Listen {
        /// The address.
        at: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// A process could not be started, or ended before it was ready.
    #[error("{process} could not be started: {reason}")]
    Start {
        /// The node or replica.
        process: String,
        /// What happened.
        reason: String,
    },
    /// A process was not ready within its time.
    #[error("{process} was not ready within {timeout_s} s; its last log line: {last_log_line}")]
    NotReady {
        /// The node or replica.
        process: String,
        /// The time, in seconds.
        timeout_s: f64,
        /// The last line of its log.
        last_log_line: String,
    },
    /// A file or the runtime failed.
    #[error("{what}: {source}")]
    Io {
        /// Which part of the run.
        what: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A task still runs although the run is over.
    #[error("a task outlived the run")]
    TaskLeak,
}

impl LabError {
    /// Advice for the user.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Addresses(_) => "wait for other runs on this machine to end",
            Self::Listen { .. } => "end the process that listens there, or run it again with other addresses",
            Self::Start { .. } => "start the program by hand; its log is in the run's logs",
            Self::NotReady { .. } => "read its log in the run's logs; node.ready_s gives it more time",
            Self::Io { .. } => "check that the folder is writable and that file descriptors are available",
            Self::TaskLeak => "run it again, and report this bug of the lab",
        }
    }

    fn start(node: usize, reason: impl std::fmt::Display) -> Self {
        Self::Start { process: format!("node n{node}"), reason: reason.to_string() }
    }
}

/// Options of a run.
pub struct Options<'a> {
    /// Path of the node's program.
    pub program: PathBuf,
    /// Path of the replicas' program, for plans with a control group.
    pub control: PathBuf,
    /// Folder for the processes' logs.
    pub logs: &'a Path,
    /// Called once a second with the share of the run that is done and the share of recent requests served.
    pub progress: &'a dyn Fn(f64, f64),
}

/// Result of a run.
pub struct CompletedRun {
    /// The world at the end of the run.
    pub world: World,
    /// Whether it was interrupted.
    pub interrupted: bool,
    /// Highest memory use of a node in MiB, and highest number of descriptors.
    pub node_peak_usage: (f64, u64),
    /// CPU time of the lab itself, as a share of one core.
    pub lab_cpu_share: f64,
}

/// Shared state of a run.
pub(crate) struct RunContext {
    world: RefCell<World>,
    start: Cell<Option<Instant>>,
    /// Set when the run is over: no more effects are carried out.
    closed: Cell<bool>,
    changed: Notify,
    pub(crate) addresses: Addresses,
    pub(crate) sockets: ServerSockets,
    pub(crate) agents: Vec<DiscoveryAgent>,
    pools: Vec<Rc<ConnectionPool>>,
    active_tries: RefCell<HashMap<usize, AbortHandle>>,
    nodes: Vec<NodeState>,
    launcher: NodeLauncher,
    pub(crate) group: Option<ReplicaGroup>,
    pub(crate) server_idle_timeout: Duration,
    ready_timeout: Duration,
    peak_usage: Cell<(f64, u64)>,
    first_error: RefCell<Option<LabError>>,
}

#[derive(Default)]
struct NodeState {
    pid: Cell<Option<Pid>>,
    incarnation: Cell<u32>,
    exited: Notify,
}

/// Runs a draw on sockets.
///
/// # Errors
/// Fails if the run cannot be started or completed; all child processes have ended by then.
pub fn play(plan: &Plan, draw: Rc<Draw>, options: &Options) -> Result<CompletedRun, LabError> {
    raise_descriptors();
    let io = |what: &str| {
        let what = what.to_string();
        move |source: std::io::Error| LabError::Io { what, source }
    };
    std::fs::create_dir_all(options.logs).map_err(io("logs"))?;
    let folder =
        tempfile::Builder::new().prefix("stoneshift-lab-").tempdir().map_err(io("temporary folder"))?;
    let block = AddressBlock::claim()?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io("runtime"))?;
    let addresses = block.addresses();
    let launcher = NodeLauncher::new(&options.program, folder.path(), options.logs, addresses, plan, &draw);
    let dial = Rc::new(move |server, zone| addresses.server(server, zone));
    let max_client_connections = (plan.node.sockets / 3).max(1) as usize;
    let nodes = draw.nodes.len();
    let control = plan.control.as_ref().map(toml::Spanned::get_ref);
    let group = control
        .map(|c| {
            ReplicaGroup::new(c, &options.control, folder.path(), options.logs, addresses, draw.nodes.len())
        })
        .transpose()?;
    let mut world = World::new(draw, plan.rules.clone(), 0.0, dial);
    if let Some(control) = control {
        world.expect_epochs(us_from_ms(control.max_mixed_ms() + plan.rules.slack_ms));
    }
    let run = Rc::new(RunContext {
        world: RefCell::new(world),
        start: Cell::new(None),
        closed: Cell::new(false),
        changed: Notify::new(),
        addresses,
        sockets: ServerSockets::default(),
        agents: (0..nodes).map(|_| DiscoveryAgent::default()).collect(),
        pools: (0..nodes)
            .map(|n| Rc::new(ConnectionPool::new(addresses.node(n), max_client_connections)))
            .collect(),
        active_tries: RefCell::default(),
        nodes: (0..nodes).map(|_| NodeState::default()).collect(),
        launcher,
        group,
        server_idle_timeout: Duration::from_secs_f64(plan.server.get_ref().idle_s.max(0.1)),
        ready_timeout: Duration::from_secs_f64(plan.node.ready_s.max(0.1)),
        peak_usage: Cell::default(),
        first_error: RefCell::default(),
    });
    let local = LocalSet::new();
    let cpu_before = cpu_time();
    let began = Instant::now();
    let played = local.block_on(&runtime, run.clone().play(options));
    let lab_cpu_share = (cpu_time() - cpu_before).as_secs_f64() / began.elapsed().as_secs_f64();
    local.block_on(&runtime, run.kill_all());
    // Tasks hold references to the run; after they are dropped this is the only one, and all child processes have
    // ended.
    drop(local);
    let interrupted = played?;
    let node_peak_usage = run.peak_usage.get();
    let run = Rc::into_inner(run).ok_or(LabError::TaskLeak)?;
    Ok(CompletedRun { world: run.world.into_inner(), interrupted, node_peak_usage, lab_cpu_share })
}

/// Raises the limit of descriptors to the hard limit, since a run has many sockets.
fn raise_descriptors() {
    if let Ok((_, hard_limit)) = getrlimit(Resource::RLIMIT_NOFILE) {
        // If the limit cannot be raised, the run uses the current one.
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard_limit, hard_limit);
    }
}

/// Completes on Ctrl-C or SIGTERM.
async fn wait_for_interrupt() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            _ = terminate.recv() => {}
        },
        // Without a handler SIGTERM ends the lab at once; Ctrl-C may still be there.
        Err(_) => drop(tokio::signal::ctrl_c().await),
    }
}

/// CPU time that this process has used.
fn cpu_time() -> Duration {
    use nix::sys::resource::{getrusage, UsageWho};
    let Ok(usage) = getrusage(UsageWho::RUSAGE_SELF) else { return Duration::ZERO };
    let us = |t: nix::sys::time::TimeVal| t.tv_sec() as u64 * 1_000_000 + t.tv_usec() as u64;
    Duration::from_micros(us(usage.user_time()) + us(usage.system_time()))
}

impl RunContext {
    /// Time since the start of the run, 0 before it.
    fn now(&self) -> Us {
        self.start.get().map_or(0, |start| Instant::now().saturating_duration_since(start).as_micros() as Us)
    }

    /// Shared access to the world.
    pub(crate) fn world(&self) -> Ref<'_, World> {
        self.world.borrow()
    }

    /// Updates the world, carries out the resulting effects, and wakes the timer loop if an event is now due earlier.
    pub(crate) fn update<T>(self: &Rc<Self>, update: impl FnOnce(&mut World, Us) -> T) -> T {
        let (result, due_sooner) = {
            let mut world = self.world.borrow_mut();
            let due = world.next_due();
            let result = update(&mut world, self.now());
            (result, world.next_due() < due)
        };
        self.carry_out_effects();
        if due_sooner {
            self.changed.notify_one();
        }
        result
    }

    /// Carries out the world's effects until there are none left.
    fn carry_out_effects(self: &Rc<Self>) {
        while !self.closed.get() {
            let Some(effect) = self.world.borrow_mut().next_effect() else { return };
            match effect {
                Effect::DeliverRequest(try_id) => {
                    let task = spawn_local(clients::run_try(self.clone(), try_id));
                    self.active_tries.borrow_mut().insert(try_id, task.abort_handle());
                }
                Effect::ClientDisconnect(try_id) => {
                    if let Some(task) = self.active_tries.borrow_mut().remove(&try_id) {
                        task.abort();
                    }
                }
                Effect::DeliverReply { attempt, reply } => self.sockets.reply(attempt, reply),
                Effect::SetReachability { server, zone, reachability } => {
                    if let Err(error) = self.sockets.set_reachability(self, server, zone, reachability) {
                        self.fail(error);
                    }
                }
                Effect::CloseConnections { server, zone } => self.sockets.drop_connections(server, zone),
                Effect::SendListUpdate { node, from, to } => discovery::send_update(self, node, from, to),
                Effect::CloseWatches(node) => discovery::end_watches(self, node),
                Effect::OpenIdleConnections { node, count, until } => {
                    let stay = Duration::from_micros(until.saturating_sub(self.now()));
                    drop(spawn_local(clients::hold_idle_connections(self.addresses.node(node), count, stay)));
                }
                Effect::SignalNode(node, signal) => {
                    if let Some(pid) = self.nodes[node].pid.get() {
                        process::signal(pid, signal);
                    }
                }
                Effect::StartNode(node) => drop(spawn_local(self.clone().restart_node(node))),
                Effect::BeginGroupFault(fault) => drop(spawn_local(group::begin_fault(self.clone(), fault))),
                Effect::EndGroupFault(fault) => group::end_fault(self, fault),
            }
        }
    }

    /// Records the epoch under which a node's answer says that its request was admitted.
    fn record_admission(self: &Rc<Self>, try_id: usize, head: &hyper::http::response::Parts) {
        if self.group.is_none() {
            return;
        }
        let epoch = head.headers.get("x-policy-epoch").and_then(|v| v.to_str().ok()?.parse().ok());
        // A node without an epoch refuses with 503; other answers without an epoch did not go through admission.
        if epoch.is_some() || head.status.as_u16() == 503 {
            self.update(|world, now| world.record_admission(now, try_id, epoch));
        }
    }

    /// Connection pool of the node of a try.
    fn pool(&self, try_id: usize) -> Rc<ConnectionPool> {
        self.pools[self.world().client_try(try_id).node].clone()
    }

    /// Removes a finished try from the active ones.
    fn try_finished(&self, try_id: usize) {
        self.active_tries.borrow_mut().remove(&try_id);
    }

    // ---- Nodes ----

    /// Starts a node, and waits in the background until it exits.
    fn start_node(self: &Rc<Self>, node: usize) -> Result<(), LabError> {
        let state = &self.nodes[node];
        let saved_list = {
            let world = self.world();
            serde_json::to_value(world.list_update(node, 0, world.agent_version(node)))
        };
        let saved_list = saved_list.map_err(|e| LabError::start(node, e))?;
        let control = self.group.as_ref().map(|group| {
            let world = self.world();
            group.node_config(node, &world.draw().zones[world.node_zone(node)])
        });
        let process = self.launcher.start(
            node,
            state.incarnation.replace(state.incarnation.get() + 1),
            saved_list,
            control,
        )?;
        state.pid.set(Some(process.id()));
        let run = self.clone();
        spawn_local(async move {
            let exit_status = process.wait().await;
            tracing::debug!(node, exit_status, "node ended");
            run.nodes[node].pid.set(None);
            run.nodes[node].exited.notify_waiters();
            if run.start.get().is_some() && !run.closed.get() {
                run.update(|world, now| world.node_ended(now, node));
            }
        });
        Ok(())
    }

    /// Waits until a node is ready, or fails if it exits or takes too long.
    async fn wait_until_ready(&self, node: usize) -> Result<(), LabError> {
        let exited = self.nodes[node].exited.notified();
        let last_line = || process::last_line(&self.launcher.log_path(node));
        tokio::select! {
            () = process::wait_until_ready(self.addresses.node(node)) => Ok(()),
            () = exited => Err(LabError::start(node, format!("it ended at once: {}", last_line()))),
            () = tokio::time::sleep(self.ready_timeout) => {
                Err(LabError::NotReady {
                    process: format!("node n{node}"),
                    timeout_s: self.ready_timeout.as_secs_f64(),
                    last_log_line: last_line(),
                })
            }
        }
    }

    /// Starts a node again once its previous process has exited, and waits until it is ready.
    async fn restart_node(self: Rc<Self>, node: usize) {
        let exited = self.nodes[node].exited.notified();
        if self.nodes[node].pid.get().is_some() {
            // A killed process takes a moment to exit, and holds its address until then.
            let _ = tokio::time::timeout(EXIT_TIMEOUT, exited).await;
        }
        let started = match self.start_node(node) {
            Ok(()) => self.wait_until_ready(node).await,
            Err(error) => Err(error),
        };
        match started {
            Ok(()) => self.update(|world, now| world.node_ready(now, node)),
            Err(error) => self.fail(error),
        }
    }

    /// Makes the run fail; the first error is reported.
    pub(crate) fn fail(&self, error: LabError) {
        self.first_error.borrow_mut().get_or_insert(error);
    }

    /// Kills all nodes and replicas and waits until they have exited; their exits are not reported to the world.
    async fn kill_all(&self) {
        self.closed.set(true);
        for node in &self.nodes {
            let exited = node.exited.notified();
            if let Some(pid) = node.pid.get() {
                process::signal(pid, Signal::Kill);
                let _ = tokio::time::timeout(EXIT_TIMEOUT, exited).await;
            }
        }
        if let Some(group) = &self.group {
            group.kill_all().await;
        }
    }

    // ---- The run ----

    /// Runs from the first listener to the last answer; returns whether it was interrupted.
    #[expect(
        clippy::disallowed_methods,
        reason = "the list sent to nodes has dates, derived from one reading of the clock"
    )]
    async fn play(self: Rc<Self>, options: &Options<'_>) -> Result<bool, LabError> {
        for server in 0..self.world().server_count() {
            for zone in 0..self.world().draw().zones.len() {
                let reachability = self.world().reachability(server, zone);
                self.sockets.set_reachability(&self, server, zone, reachability)?;
            }
        }
        for node in 0..self.nodes.len() {
            discovery::serve(self.clone(), node).await?;
        }
        let interrupt = wait_for_interrupt();
        tokio::pin!(interrupt);
        let prepare = async {
            group::start(&self).await?;
            for node in 0..self.nodes.len() {
                self.start_node(node)?;
            }
            for node in 0..self.nodes.len() {
                self.wait_until_ready(node).await?;
            }
            Ok(())
        };
        tokio::select! {
            prepared = prepare => prepared?,
            _ = &mut interrupt => return Ok(true),
        }
        tokio::time::sleep(START_DELAY).await;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.world.borrow_mut().set_unix_start(unix.as_secs_f64() * 1e3);
        self.start.set(Some(Instant::now()));
        if self.world().voting_enabled() {
            spawn_local(group::watch_verdicts(self.clone()));
        }
        tokio::select! {
            played = self.drive() => played?,
            () = self.sample(options) => {}
            _ = &mut interrupt => return Ok(true),
        }
        if self.group.is_some() {
            let acknowledged = self.world().acknowledged_epoch();
            let agreed = group::agreed_at_end(&self, acknowledged).await;
            self.update(|world, now| world.record_final_epoch(now, agreed));
        }
        Ok(false)
    }

    /// Advances the world whenever an event is due, until the run is over.
    async fn drive(self: &Rc<Self>) -> Result<(), LabError> {
        let io = |source: std::io::Error| LabError::Io { what: "timer".into(), source };
        let start = self.start.get().unwrap_or_else(Instant::now);
        let mut timer = tokio_timerfd::Delay::new(start).map_err(io)?;
        loop {
            self.update(World::advance);
            if let Some(error) = self.first_error.borrow_mut().take() {
                return Err(error);
            }
            if self.world().is_over() {
                return Ok(());
            }
            let due = self.world().next_due().map_or(SAMPLE_INTERVAL, Duration::from_micros);
            timer.reset(start + due);
            tokio::select! {
                woken = &mut timer => woken.map_err(io)?,
                () = self.changed.notified() => {}
            }
        }
    }

    /// Samples the nodes' memory and descriptors; never returns.
    async fn sample(self: &Rc<Self>, options: &Options<'_>) {
        let limits = self.launcher.limits();
        loop {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            for (node, state) in self.nodes.iter().enumerate() {
                let Some((memory, descriptors)) = state.pid.get().and_then(process::resource_usage) else {
                    continue;
                };
                let peak = self.peak_usage.get();
                self.peak_usage.set((peak.0.max(memory), peak.1.max(descriptors)));
                if memory > limits.0 || descriptors > limits.1 {
                    let reason = format!("the process uses {memory:.1} MiB and {descriptors} descriptors");
                    self.update(|world, now| world.record_limit_breach(now, node, reason));
                }
            }
            let (now, world) = (self.now(), self.world());
            let second = (now / 1_000_000) as usize;
            let served =
                world.tally().served_share(0..world.draw().classes.len(), second.saturating_sub(3)..second);
            (options.progress)(now as f64 / world.draw().length as f64, served);
        }
    }
}
