//! Plays an experiment on sockets and in real time: starts the nodes, carries out what the world gives, and tells it
//! what the nodes do. One thread does it all; a timer of the kernel's wakes it to the microsecond.

mod address;
mod agent;
mod clients;
mod group;
mod liar;
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

use self::address::{Addresses, Block};
use self::agent::Agent;
use self::clients::Pool;
use self::group::Group;
use self::process::Launch;
use self::servers::Doors;
use crate::draw::{us_from_ms, Draw};
use crate::plan::Plan;
use crate::server::Us;
use crate::world::{Effect, Signal, World};

/// Between the last node's being ready and the first client.
const SETTLE: Duration = Duration::from_millis(300);
/// How often nodes' memory and descriptors, and the run's progress, are looked at.
const SAMPLE: Duration = Duration::from_millis(1000);
/// How long a node that was killed may take to be gone.
const GONE: Duration = Duration::from_secs(5);

/// Why a run could not be played.
#[derive(Debug, Error)]
pub enum LabError {
    /// No block of addresses is free.
    #[error("no block of loopback addresses is free: {0}")]
    Addresses(String),
    /// An address can't be listened at.
    #[error("{at} can't be listened at: {source}")]
    Listen {
        /// The address.
        at: SocketAddr,
        /// Why not.
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
    /// A process did not get ready in its time.
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
        /// What of the run.
        what: String,
        /// Why.
        source: std::io::Error,
    },
    /// A task of the run goes on though it is over.
    #[error("a task outlived the run")]
    TaskLeak,
}

impl LabError {
    /// What to do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Addresses(_) => "wait for other runs on this machine to end",
            Self::Listen { .. } => "end what listens there, or play it again at other addresses",
            Self::Start { .. } => "try the program by hand; its log is in the run's logs",
            Self::NotReady { .. } => "read its log in the run's logs; node.ready_s gives it more time",
            Self::Io { .. } => "see that the folder can be written and descriptors are left",
            Self::TaskLeak => "play it again, and report it: this is a fault of the lab's",
        }
    }

    fn start(node: usize, reason: impl std::fmt::Display) -> Self {
        Self::Start { process: format!("node n{node}"), reason: reason.to_string() }
    }
}

/// How a run is to be played.
pub struct Options<'a> {
    /// The node's program.
    pub program: PathBuf,
    /// The replicas' program, for plans with a control group.
    pub control: PathBuf,
    /// Where the nodes' logs go.
    pub logs: &'a Path,
    /// Hears once a second how far the run is: the share of it, and what is served.
    pub progress: &'a dyn Fn(f64, f64),
}

/// What a run leaves.
pub struct CompletedRun {
    /// The world at its end.
    pub world: World,
    /// It was broken off.
    pub interrupted: bool,
    /// The most memory that a node held, in MiB, and the most descriptors.
    pub node_peak_usage: (f64, u64),
    /// Processor time of the lab itself, as a share of one core.
    pub lab_cpu_share: f64,
}

/// All that the parties on sockets share.
pub(crate) struct Stage {
    world: RefCell<World>,
    start: Cell<Option<Instant>>,
    /// The play is over: nothing is carried out any more.
    closed: Cell<bool>,
    changed: Notify,
    pub(crate) addresses: Addresses,
    pub(crate) doors: Doors,
    pub(crate) agents: Vec<Agent>,
    pools: Vec<Rc<Pool>>,
    asking: RefCell<HashMap<usize, AbortHandle>>,
    nodes: Vec<NodeState>,
    launch: Launch,
    pub(crate) group: Option<Group>,
    pub(crate) idle: Duration,
    ready_within: Duration,
    held: Cell<(f64, u64)>,
    failed: RefCell<Option<LabError>>,
}

#[derive(Default)]
struct NodeState {
    id: Cell<Option<Pid>>,
    life: Cell<u32>,
    gone: Notify,
}

/// Plays a draw on sockets.
///
/// # Errors
/// Where it could not be played; all that was started has ended then.
pub fn play(plan: &Plan, draw: Rc<Draw>, options: &Options) -> Result<CompletedRun, LabError> {
    raise_descriptors();
    let io = |what: &str| {
        let what = what.to_string();
        move |source: std::io::Error| LabError::Io { what, source }
    };
    std::fs::create_dir_all(options.logs).map_err(io("logs"))?;
    let folder =
        tempfile::Builder::new().prefix("stoneshift-lab-").tempdir().map_err(io("temporary folder"))?;
    let block = Block::claim()?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io("runtime"))?;
    let addresses = block.addresses();
    let launch = Launch::new(&options.program, folder.path(), options.logs, addresses, plan, &draw);
    let dial = Rc::new(move |server, zone| addresses.server(server, zone));
    let clients_most = (plan.node.sockets / 3).max(1) as usize;
    let nodes = draw.nodes.len();
    let control = plan.control.as_ref().map(toml::Spanned::get_ref);
    let group = control
        .map(|c| Group::new(c, &options.control, folder.path(), options.logs, addresses, draw.nodes.len()))
        .transpose()?;
    let mut world = World::new(draw, plan.rules.clone(), 0.0, dial);
    if let Some(control) = control {
        world.expect_epochs(us_from_ms(control.max_mixed_ms() + plan.rules.slack_ms));
    }
    let stage = Rc::new(Stage {
        world: RefCell::new(world),
        start: Cell::new(None),
        closed: Cell::new(false),
        changed: Notify::new(),
        addresses,
        doors: Doors::default(),
        agents: (0..nodes).map(|_| Agent::default()).collect(),
        pools: (0..nodes).map(|n| Rc::new(Pool::new(addresses.node(n), clients_most))).collect(),
        asking: RefCell::default(),
        nodes: (0..nodes).map(|_| NodeState::default()).collect(),
        launch,
        group,
        idle: Duration::from_secs_f64(plan.server.get_ref().idle_s.max(0.1)),
        ready_within: Duration::from_secs_f64(plan.node.ready_s.max(0.1)),
        held: Cell::default(),
        failed: RefCell::default(),
    });
    let local = LocalSet::new();
    let busy = cpu_time();
    let began = Instant::now();
    let played = local.block_on(&runtime, stage.clone().play(options));
    let busy = (cpu_time() - busy).as_secs_f64() / began.elapsed().as_secs_f64();
    local.block_on(&runtime, stage.clear());
    // Tasks hold the stage; with them gone it is the only one, and every child has been ended.
    drop(local);
    let interrupted = played?;
    let held = stage.held.get();
    let stage = Rc::into_inner(stage).ok_or(LabError::TaskLeak)?;
    Ok(CompletedRun {
        world: stage.world.into_inner(),
        interrupted,
        node_peak_usage: held,
        lab_cpu_share: busy,
    })
}

/// As many descriptors as the system gives: there are many parties.
fn raise_descriptors() {
    if let Ok((_, most)) = getrlimit(Resource::RLIMIT_NOFILE) {
        // What is there is used, where it can't be raised.
        let _ = setrlimit(Resource::RLIMIT_NOFILE, most, most);
    }
}

/// Ends when someone breaks the run off, with Ctrl-C or SIGTERM.
async fn broken_off() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            _ = terminate.recv() => {}
        },
        // Without a handler SIGTERM ends the lab at once; Ctrl-C may still be there.
        Err(_) => drop(tokio::signal::ctrl_c().await),
    }
}

/// Processor time that this process has used.
fn cpu_time() -> Duration {
    use nix::sys::resource::{getrusage, UsageWho};
    let Ok(usage) = getrusage(UsageWho::RUSAGE_SELF) else { return Duration::ZERO };
    let us = |t: nix::sys::time::TimeVal| t.tv_sec() as u64 * 1_000_000 + t.tv_usec() as u64;
    Duration::from_micros(us(usage.user_time()) + us(usage.system_time()))
}

impl Stage {
    fn now(&self) -> Us {
        self.start.get().map_or(0, |start| Instant::now().saturating_duration_since(start).as_micros() as Us)
    }

    /// The world, to look at.
    pub(crate) fn world(&self) -> Ref<'_, World> {
        self.world.borrow()
    }

    /// Tells the world something, and carries out what follows.
    pub(crate) fn with<T>(self: &Rc<Self>, tell: impl FnOnce(&mut World, Us) -> T) -> T {
        let (told, sooner) = {
            let mut world = self.world.borrow_mut();
            let due = world.next_due();
            let told = tell(&mut world, self.now());
            (told, world.next_due() < due)
        };
        self.carry_out();
        if sooner {
            self.changed.notify_one();
        }
        told
    }

    fn carry_out(self: &Rc<Self>) {
        while !self.closed.get() {
            let Some(out) = self.world.borrow_mut().next_effect() else { return };
            match out {
                Effect::DeliverRequest(try_id) => {
                    let task = spawn_local(clients::run_try(self.clone(), try_id));
                    self.asking.borrow_mut().insert(try_id, task.abort_handle());
                }
                Effect::ClientDisconnect(try_id) => {
                    if let Some(task) = self.asking.borrow_mut().remove(&try_id) {
                        task.abort();
                    }
                }
                Effect::DeliverReply { attempt, reply } => self.doors.reply(attempt, reply),
                Effect::SetReachability { server, zone, reachability } => {
                    if let Err(error) = self.doors.set(self, server, zone, reachability) {
                        self.fail(error);
                    }
                }
                Effect::CloseConnections { server, zone } => self.doors.drop_connections(server, zone),
                Effect::SendListUpdate { node, from, to } => agent::tell(self, node, from, to),
                Effect::CloseWatches(node) => agent::end_watches(self, node),
                Effect::OpenIdleConnections { node, count, until } => {
                    let stay = Duration::from_micros(until.saturating_sub(self.now()));
                    drop(spawn_local(clients::crowd(self.addresses.node(node), count, stay)));
                }
                Effect::SignalNode(node, signal) => {
                    if let Some(id) = self.nodes[node].id.get() {
                        process::signal(id, signal);
                    }
                }
                Effect::StartNode(node) => drop(spawn_local(self.clone().start_again(node))),
                Effect::BeginGroupFault(fault) => drop(spawn_local(group::strike(self.clone(), fault))),
                Effect::EndGroupFault(fault) => group::heal(self, fault),
            }
        }
    }

    /// Under which epoch a node's answer says that its request was admitted.
    fn admitted(self: &Rc<Self>, try_id: usize, head: &hyper::http::response::Parts) {
        if self.group.is_none() {
            return;
        }
        let told = head.headers.get("x-policy-epoch").and_then(|v| v.to_str().ok()?.parse().ok());
        // A node that admits under no epoch refuses; whatever else answers so was not asked to be admitted.
        if told.is_some() || head.status.as_u16() == 503 {
            self.with(|world, now| world.record_admission(now, try_id, told));
        }
    }

    fn pool(&self, try_id: usize) -> Rc<Pool> {
        self.pools[self.world().client_try(try_id).node].clone()
    }

    fn asked_for(&self, try_id: usize) {
        self.asking.borrow_mut().remove(&try_id);
    }

    // ---- Nodes ----

    /// Starts a node, and watches it until it ends.
    fn start_node(self: &Rc<Self>, node: usize) -> Result<(), LabError> {
        let state = &self.nodes[node];
        let known = {
            let world = self.world();
            serde_json::to_value(world.list_update(node, 0, world.agent_version(node)))
        };
        let known = known.map_err(|e| LabError::start(node, e))?;
        let control = self.group.as_ref().map(|group| {
            let world = self.world();
            group.node_config(node, &world.draw().zones[world.node_zone(node)])
        });
        let process = self.launch.start(node, state.life.replace(state.life.get() + 1), known, control)?;
        state.id.set(Some(process.id()));
        let stage = self.clone();
        spawn_local(async move {
            let how = process.ended().await;
            tracing::debug!(node, how, "node ended");
            stage.nodes[node].id.set(None);
            stage.nodes[node].gone.notify_waiters();
            if stage.start.get().is_some() && !stage.closed.get() {
                stage.with(|world, now| world.node_ended(now, node));
            }
        });
        Ok(())
    }

    /// Waits until a node is ready, or has failed to get there.
    async fn until_ready(&self, node: usize) -> Result<(), LabError> {
        let gone = self.nodes[node].gone.notified();
        let last = || process::last_line(&self.launch.log(node));
        tokio::select! {
            () = process::until_ready(self.addresses.node(node)) => Ok(()),
            () = gone => Err(LabError::start(node, format!("it ended at once: {}", last()))),
            () = tokio::time::sleep(self.ready_within) => {
                Err(LabError::NotReady {
                    process: format!("node n{node}"),
                    timeout_s: self.ready_within.as_secs_f64(),
                    last_log_line: last(),
                })
            }
        }
    }

    async fn start_again(self: Rc<Self>, node: usize) {
        let gone = self.nodes[node].gone.notified();
        if self.nodes[node].id.get().is_some() {
            // A killed process takes a moment to be gone, and holds its address until then.
            let _ = tokio::time::timeout(GONE, gone).await;
        }
        let started = match self.start_node(node) {
            Ok(()) => self.until_ready(node).await,
            Err(error) => Err(error),
        };
        match started {
            Ok(()) => self.with(|world, now| world.node_ready(now, node)),
            Err(error) => self.fail(error),
        }
    }

    /// The run can't go on; the first reason counts.
    pub(crate) fn fail(&self, error: LabError) {
        self.failed.borrow_mut().get_or_insert(error);
    }

    /// Ends every node and replica, and waits for that; the play is over, and their ends mean nothing.
    async fn clear(&self) {
        self.closed.set(true);
        for node in &self.nodes {
            let gone = node.gone.notified();
            if let Some(id) = node.id.get() {
                process::signal(id, Signal::Kill);
                let _ = tokio::time::timeout(GONE, gone).await;
            }
        }
        if let Some(group) = &self.group {
            group.clear().await;
        }
    }

    // ---- The play ----

    /// From the first listener to the last answer; whether it was broken off.
    #[expect(
        clippy::disallowed_methods,
        reason = "the list that nodes are told has dates, counted on from one look"
    )]
    async fn play(self: Rc<Self>, options: &Options<'_>) -> Result<bool, LabError> {
        for server in 0..self.world().server_count() {
            for zone in 0..self.world().draw().zones.len() {
                let reachability = self.world().reachability(server, zone);
                self.doors.set(&self, server, zone, reachability)?;
            }
        }
        for node in 0..self.nodes.len() {
            agent::serve(self.clone(), node).await?;
        }
        let interrupt = broken_off();
        tokio::pin!(interrupt);
        let prepare = async {
            group::start(&self).await?;
            for node in 0..self.nodes.len() {
                self.start_node(node)?;
            }
            for node in 0..self.nodes.len() {
                self.until_ready(node).await?;
            }
            Ok(())
        };
        tokio::select! {
            prepared = prepare => prepared?,
            _ = &mut interrupt => return Ok(true),
        }
        tokio::time::sleep(SETTLE).await;
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
            self.with(|world, now| world.record_final_epoch(now, agreed));
        }
        Ok(false)
    }

    async fn drive(self: &Rc<Self>) -> Result<(), LabError> {
        let io = |source: std::io::Error| LabError::Io { what: "timer".into(), source };
        let start = self.start.get().unwrap_or_else(Instant::now);
        let mut timer = tokio_timerfd::Delay::new(start).map_err(io)?;
        loop {
            self.with(World::advance);
            if let Some(error) = self.failed.borrow_mut().take() {
                return Err(error);
            }
            if self.world().is_over() {
                return Ok(());
            }
            let due = self.world().next_due().map_or(SAMPLE, Duration::from_micros);
            timer.reset(start + due);
            tokio::select! {
                woken = &mut timer => woken.map_err(io)?,
                () = self.changed.notified() => {}
            }
        }
    }

    /// Looks at what nodes hold; never ends.
    async fn sample(self: &Rc<Self>, options: &Options<'_>) {
        let limits = self.launch.limits();
        loop {
            tokio::time::sleep(SAMPLE).await;
            for (node, state) in self.nodes.iter().enumerate() {
                let Some((memory, descriptors)) = state.id.get().and_then(process::holds) else { continue };
                let most = self.held.get();
                self.held.set((most.0.max(memory), most.1.max(descriptors)));
                if memory > limits.0 || descriptors > limits.1 {
                    let words = format!("it holds {memory:.1} MiB and {descriptors} descriptors");
                    self.with(|world, now| world.record_limit_breach(now, node, words));
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
