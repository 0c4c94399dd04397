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
use net::agreed::Joining;
use net::clients::Clients;
use net::config::{self, Config, ConfigError};
use net::fault::Advice;
use net::hands::Tasks;
use net::listen::{self, ListenError};
use net::log;
use net::node::Node;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tulipmount::SettingsError;

/// How long connections still come after SIGTERM, where no other process takes them.
const ACCEPT: Duration = Duration::from_millis(500);
/// How long what has come by then may take to be accepted.
const BACKLOG: Duration = Duration::from_millis(100);
/// SIGKILL comes no sooner than the longest deadline, which counts as 3 s at most, and this after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(700);
const LONGEST: Duration = Duration::from_secs(3);
/// How long before that the node closes what is still idle, and fails what is still open.
const CLOSE_BEFORE: Duration = Duration::from_millis(700);
const FAIL_BEFORE: Duration = Duration::from_millis(300);
/// How long after that the node ends, if nobody has killed it: however slowly an answer comes, or is read.
const LAST: Duration = Duration::from_secs(10);
/// How long the last beat may take, which closes the session with the control group.
const LEAVE: Duration = Duration::from_millis(500);
/// How often idle connections are looked at, and a line on the node's state is logged.
const SWEEP: Duration = Duration::from_millis(500);
/// How often bans are looked at: well within the grace of a drain.
const BANS: Duration = Duration::from_millis(50);

/// Why a node does not start.
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
            Self::Settings(_) => "mend it under \"settings\" in the configuration file".into(),
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
    // A task that panics leaves what it held unanswered, and perhaps the module half changed. A node that
    // ends is started again; one that is half dead is not.
    std::panic::set_hook(Box::new(|fault| {
        log::line(format!("panic: {fault}"));
        // Time for the line; a full pipe must not hold up the end.
        std::thread::sleep(Duration::from_millis(50));
        std::process::exit(101);
    }));
    // Before anything else opens a descriptor.
    let listener = match config.inherited {
        Some(fd) => listen::adopt(fd)?,
        None => listen::bind("listen", config.listen)?,
    };
    log::start();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    let ended = LocalSet::new().block_on(&runtime, serve(config, listener));
    // A disk that hangs must not hold up the end.
    runtime.shutdown_background();
    ended
}

async fn serve(mut config: Config, listener: StdListener) -> Result<(), StartError> {
    let caught = |kind| signal(kind).map_err(StartError::Signal);
    let (mut terminate, mut interrupt) = (caught(SignalKind::terminate())?, caught(SignalKind::interrupt())?);
    let hangup = caught(SignalKind::hangup())?;
    let (listener, address) = listen::take("listen", listener)?;
    let admin = config.admin.map(|at| listen::bind("admin_addr", at)).transpose()?;
    let admin = admin.map(|listener| listen::take("admin_addr", listener)).transpose()?;
    let joining = config.control.take().map(|control| Joining::new(&config, control)).transpose()?;
    let node = Node::new(config, joining.as_ref().map(Joining::gate), Box::new(Tasks))?;
    let membership = joining.map(|joining| joining.follow(&node));
    if let Some((listener, address)) = admin {
        log::line(format!("{} takes operators' calls at {address}", node.config.name));
        spawn_local(Admin::new(node.clone()).accept(listener));
        spawn_local(follow_bans(node.clone()));
    }
    log::line(format!("{} listens at {address}", node.config.name));
    let clients = Clients::new(node.clone());
    spawn_local(node.clone().run_timer());
    spawn_local(sweep(node.clone(), clients.clone()));
    spawn_local(reload(node.clone(), hangup));
    let accept = async {
        if node.config.inherited.is_some() {
            // Until this process can serve, an older one does.
            node.until_ready().await;
        }
        clients.accept(&listener).await;
    };
    tokio::select! {
        () = accept => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&node, &clients, listener).await;
    if let Some(membership) = membership {
        membership.leave(Instant::now() + LEAVE).await;
    }
    Ok(())
}

/// Follows discovery to the address that the configuration file names at each SIGHUP. One that can't be read
/// changes nothing.
async fn reload(node: Rc<Node>, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match config::moved() {
            Ok(to) => node.move_discovery(to),
            Err(error) => log::line(format!("SIGHUP: nothing changed: {}", error.line())),
        }
    }
}

/// Follows what a successor, or the process before, is told of maintenance.
async fn follow_bans(node: Rc<Node>) {
    loop {
        tokio::time::sleep(BANS).await;
        node.look_at_bans();
    }
}

async fn sweep(node: Rc<Node>, clients: Rc<Clients>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        log::refill();
        log::line(format!("{} clients, {}", clients.count(), node.status()));
        node.share_memory();
        node.pool.sweep();
        clients.sweep();
    }
}

/// Finishes all that was taken. Without a successor the front goes on connecting for a while; clients use what
/// they have for as long as it stays open.
async fn stop(node: &Rc<Node>, clients: &Rc<Clients>, listener: TcpListener) {
    let told = Instant::now();
    node.closing.set(Some(told));
    let longest = Duration::try_from_secs_f64(node.config.told.max_deadline / 1000.0).unwrap_or(LONGEST);
    let kill = told + longest.min(LONGEST) + KILL_AFTER;
    let mut close_idle = told;
    clients.serve_waiting();
    if node.config.inherited.is_some() {
        // New connections are the successor's, and what they need of the descriptors too. Clients go over to it
        // with the answers that close; an idle connection that is closed may cross a request.
        drop(listener);
        node.share_memory();
        node.pool.shrink(node.server_connections());
        clients.shrink();
        close_idle = kill - CLOSE_BEFORE;
    } else {
        let _ = tokio::time::timeout(ACCEPT, clients.accept(&listener)).await;
        clients.serve_waiting();
        // They may come without end.
        let _ = tokio::time::timeout(BACKLOG, clients.empty_backlog(&listener)).await;
        drop(listener);
    }
    // Whoever reads slowly gets its answer until SIGKILL comes: to end before would be to lose it.
    while clients.count() > 0 || node.open_requests() > 0 {
        if Instant::now() >= close_idle {
            clients.close_idle();
        }
        if Instant::now() >= kill - FAIL_BEFORE {
            node.fail_open();
            clients.close_unanswered();
        }
        if Instant::now() >= kill + LAST {
            clients.close_all();
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[cfg(test)]
mod tests {
    use net::fault::tests::each_has_its_advice;

    use super::*;

    #[test]
    fn each_error_has_its_advice() {
        use StartError::*;
        let error = || io::Error::from(io::ErrorKind::Other);
        each_has_its_advice(|before| match before {
            None => Some(Config(ConfigError::NoFile)),
            Some(Config(_)) => Some(Listen(ListenError::Runtime { field: "listen", error: error() })),
            Some(Listen(_)) => Some(Settings(SettingsError("tick: negative".into()))),
            Some(Settings(_)) => Some(Runtime(error())),
            Some(Runtime(_)) => Some(Signal(error())),
            Some(Signal(_)) => None,
        });
    }
}
