//! One node of the load balancer: configuration, runtime, signals, exit code.
#![deny(unsafe_code)]
#![warn(missing_docs)]

mod net;

use std::io;
use std::net::TcpListener as StdListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use net::admin::Admin;
use net::advice::Advice;
use net::backlog::Backlog;
use net::clients::Clients;
use net::config::{self, Config, ConfigError};
use net::io_tasks::IoTasks;
use net::listen::{self, ListenError};
use net::log;
use net::membership::MembershipSetup;
use net::node::Node;
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tulipmount::SettingsError;

/// How long connections are still accepted after SIGTERM if no other process accepts them.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// How long accepting the connections queued by then may take.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(100);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as [`MAX_DEADLINE`] at most, plus this.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// How long before SIGKILL the node closes idle connections, and fails open requests.
const CLOSE_IDLE_BEFORE_KILL: Duration = Duration::from_millis(700);
const FAIL_BEFORE_KILL: Duration = Duration::from_millis(300);
/// How long after that time the node exits if it was not killed, however slowly responses arrive or are read.
const EXIT_AFTER_KILL: Duration = Duration::from_secs(10);
/// How long the last heartbeat may take, which closes the session with the control group.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often idle connections are checked and a line on the node's state is logged.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How often bans are read: well within the grace period of a drain.
const BAN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a node cannot start.
#[derive(Debug, Error)]
enum StartError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Listen(#[from] ListenError),
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    #[error("runtime: {0}")]
    Runtime(io::Error),
    #[error("signal: {0}")]
    Signal(io::Error),
}

impl Advice for StartError {
    fn advice(&self) -> String {
        match self {
            Self::Config(error) => error.advice(),
            Self::Listen(error) => error.advice(),
            Self::Settings(_) => "correct it under \"settings\" in the configuration file".into(),
            Self::Runtime(_) | Self::Signal(_) => "allow the process more descriptors".into(),
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("glenwood: {}", error.line());
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), StartError> {
    let config = config::load()?;
    // A task that panics leaves its requests unanswered and may leave the decision module in an inconsistent state.
    // A node that ends is restarted; one that half works is not.
    std::panic::set_hook(Box::new(|panic| {
        log::line(format!("panic: {panic}"));
        // Time to write the line; a full pipe must not delay the exit.
        std::thread::sleep(Duration::from_millis(50));
        std::process::exit(101);
    }));
    // Before any other descriptor is opened.
    let listener = match config.inherited_fd {
        Some(fd) => listen::adopt(fd)?,
        None => listen::bind("listen", config.listen)?,
    };
    log::start();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    let result = LocalSet::new().block_on(&runtime, serve(config, listener));
    // A disk that hangs must not delay the exit.
    runtime.shutdown_background();
    result
}

async fn serve(mut config: Config, listener: StdListener) -> Result<(), StartError> {
    let listen_for = |kind| signal(kind).map_err(StartError::Signal);
    let (mut terminate, mut interrupt) =
        (listen_for(SignalKind::terminate())?, listen_for(SignalKind::interrupt())?);
    let hangup = listen_for(SignalKind::hangup())?;
    let (listener, address) = listen::into_tokio("listen", listener)?;
    let admin = config.admin_addr.map(|at| listen::bind("admin_addr", at)).transpose()?;
    let admin = admin.map(|listener| listen::into_tokio("admin_addr", listener)).transpose()?;
    let membership_setup =
        config.control.take().map(|control| MembershipSetup::new(&config, control)).transpose()?;
    let node =
        Node::new(config, membership_setup.as_ref().map(MembershipSetup::admission), Box::new(IoTasks))?;
    let membership = membership_setup.map(|setup| setup.follow(&node));
    if let Some((listener, address)) = admin {
        log::line(format!("{} takes operators' calls at {address}", node.config.name));
        spawn_local(Admin::new(node.clone()).accept(listener));
        spawn_local(follow_bans(node.clone()));
    }
    log::line(format!("{} listens at {address}", node.config.name));
    let clients = Clients::new(node.clone());
    let backlog = Backlog::new(listener);
    spawn_local(node.clone().run_timer());
    spawn_local(sweep(node.clone(), clients.clone()));
    spawn_local(reload(node.clone(), hangup));
    let accept = async {
        if node.config.inherited_fd.is_some() {
            // An older process serves until this one can.
            node.until_ready().await;
            backlog.take_over();
        }
        clients.accept(&backlog).await;
    };
    tokio::select! {
        () = accept => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&node, &clients, backlog).await;
    if let Some(membership) = membership {
        membership.leave(Instant::now() + LEAVE_TIMEOUT).await;
    }
    Ok(())
}

/// Follows discovery to the address in the configuration file at each SIGHUP. An invalid file changes nothing.
async fn reload(node: Rc<Node>, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match config::reload_discovery_addr() {
            Ok(address) => node.change_discovery(address),
            Err(error) => log::line(format!("SIGHUP: nothing changed: {}", error.line())),
        }
    }
}

/// Follows the bans that the previous or the next process of this node changes.
async fn follow_bans(node: Rc<Node>) {
    loop {
        tokio::time::sleep(BAN_POLL_INTERVAL).await;
        node.poll_bans();
    }
}

async fn sweep(node: Rc<Node>, clients: Rc<Clients>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        log::refill_limit();
        let (open, phases) = (clients.open_connections(), clients.describe_phases());
        log::line(format!("{open} clients, {}, connections: {phases}", node.status()));
        node.capacity.expect_connections();
        node.pool.sweep();
        clients.sweep();
    }
}

/// Finishes all open requests. Without a successor, clients go on connecting for a while, and use the connections
/// that they have for as long as those stay open.
async fn stop(node: &Rc<Node>, clients: &Rc<Clients>, backlog: Backlog) {
    let stop_requested = Instant::now();
    node.stopping_since.set(Some(stop_requested));
    node.capacity.set_stopping();
    let max_deadline =
        Duration::try_from_secs_f64(node.config.node_settings.max_deadline / 1000.0).unwrap_or(MAX_DEADLINE);
    let kill_at = stop_requested + max_deadline.min(MAX_DEADLINE) + KILL_MARGIN;
    let mut close_idle_at = stop_requested;
    let name = &node.config.name;
    log::line(format!(
        "{name} is told to end: connections: {}; {} requests open",
        clients.describe_phases(),
        node.open_requests()
    ));
    clients.serve_waiting();
    let has_successor = node.config.inherited_fd.is_some();
    if has_successor {
        // New connections are the successor's, and so are the descriptors that they need. Clients move over to it
        // with responses that close their connection; closing an idle connection may cross a request on it.
        drop(backlog);
        node.pool.shrink(node.capacity.max_server_connections());
        close_idle_at = kill_at - CLOSE_IDLE_BEFORE_KILL;
    } else {
        let _ = tokio::time::timeout(ACCEPT_AFTER_SIGTERM, clients.accept(&backlog)).await;
        clients.serve_waiting();
        // They may keep arriving without end.
        let _ = tokio::time::timeout(BACKLOG_TIMEOUT, clients.accept_queued(&backlog)).await;
        clients.serve_waiting();
        drop(backlog);
    }
    // A client that reads slowly gets its response until SIGKILL comes: to exit earlier would lose it.
    while clients.open_connections() > 0 || node.open_requests() > 0 {
        if has_successor {
            clients.shrink();
        }
        if Instant::now() >= close_idle_at {
            clients.close_idle();
        }
        if Instant::now() >= kill_at - FAIL_BEFORE_KILL {
            let failed = node.fail_open_requests();
            if failed > 0 {
                log::limited(|| format!("{name} fails {failed} requests, as SIGKILL is near"));
            }
            clients.close_unanswered();
        }
        if Instant::now() >= kill_at + EXIT_AFTER_KILL {
            log::limited(|| format!("{name} closes what is left: {}", clients.describe_phases()));
            clients.close_all();
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[cfg(test)]
mod tests {
    use net::advice::tests::assert_each_has_advice;

    use super::*;

    #[test]
    fn each_error_is_one_line_with_advice() {
        use StartError::*;
        let error = || io::Error::from(io::ErrorKind::Other);
        assert_each_has_advice(|before| match before {
            None => Some(Config(ConfigError::FileNotSet)),
            Some(Config(_)) => Some(Listen(ListenError::Runtime { field: "listen", error: error() })),
            Some(Listen(_)) => Some(Settings(SettingsError("tick: negative".into()))),
            Some(Settings(_)) => Some(Runtime(error())),
            Some(Runtime(_)) => Some(Signal(error())),
            Some(Signal(_)) => None,
        });
    }
}
