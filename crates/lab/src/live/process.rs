//! Child processes (nodes and replicas): start, signals by process id, exit, and resource usage.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::{kill, Signal as Sig};
use nix::unistd::Pid;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

use super::addresses::Addresses;
use super::LabError;
use crate::draw::Draw;
use crate::plan::Plan;
use crate::settings::{fleet_settings, node_seed, node_settings};
use crate::world::Signal;

/// Interval at which a starting node's readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout of one readiness request.
const READY_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts nodes with their configuration.
pub struct NodeLauncher {
    program: PathBuf,
    folder: PathBuf,
    logs: PathBuf,
    addresses: Addresses,
    settings: Value,
    limits: Value,
    draw: Rc<Draw>,
}

/// A child process.
pub struct Process {
    child: Child,
    id: Pid,
}

impl NodeLauncher {
    /// Creates a launcher for the nodes of a draw; configurations and scratch folders go under `folder`, logs under
    /// `logs`.
    pub fn new(
        program: &Path,
        folder: &Path,
        logs: &Path,
        addresses: Addresses,
        plan: &Plan,
        draw: &Rc<Draw>,
    ) -> Self {
        Self {
            program: program.into(),
            folder: folder.into(),
            logs: logs.into(),
            addresses,
            settings: fleet_settings(plan, draw),
            limits: json!({"cores": 1.0, "memory_mb": plan.node.memory_mb, "sockets": plan.node.sockets}),
            draw: draw.clone(),
        }
    }

    /// Starts a node with a saved list of servers and its control section.
    ///
    /// # Errors
    /// Names the node and the cause.
    pub fn start(
        &self,
        node: usize,
        incarnation: u32,
        saved_list: Value,
        control: Option<Value>,
    ) -> Result<Process, LabError> {
        let fail = |error: std::io::Error| LabError::start(node, error);
        let scratch = self.folder.join(format!("n{node}-{incarnation}"));
        fs::create_dir_all(&scratch).map_err(fail)?;
        let settings = node_settings(&self.settings, &self.draw, node);
        let (listen, discovery) =
            (self.addresses.node(node).to_string(), self.addresses.discovery(node).to_string());
        let seed = node_seed(&self.draw, node, incarnation);
        let mut config = json!({
            "name": format!("n{node}"), "listen": listen, "discovery": discovery,
            "seed": format!("{seed:016x}"), "limits": self.limits, "known": saved_list, "settings": settings,
        });
        if let Some(control) = control {
            config["control"] = control;
            config["state_dir"] = json!(self.folder.join(format!("n{node}-state")));
        }
        let file = self.folder.join(format!("n{node}-{incarnation}.json"));
        fs::write(&file, config.to_string()).map_err(fail)?;
        let mut command = std::process::Command::new(&self.program);
        for name in ["ADMIN_ADDR", "INHERITED_FD"] {
            command.env_remove(format!("BALANCER_{name}"));
        }
        command
            .env("BALANCER_CONFIG", &file)
            .env("BALANCER_NAME", format!("n{node}"))
            .env("BALANCER_LISTEN", listen)
            .env("BALANCER_DISCOVERY", discovery)
            .env("TMPDIR", &scratch);
        spawn(&format!("node n{node}"), command, &self.log_path(node))
    }

    /// Limits of a node: memory in MiB, and descriptors.
    pub fn limits(&self) -> (f64, u64) {
        let limit = |name: &str| self.limits[name].as_f64().unwrap_or(f64::INFINITY);
        (limit("memory_mb"), limit("sockets") as u64)
    }

    /// Path of a node's log file.
    pub fn log_path(&self, node: usize) -> PathBuf {
        self.logs.join(format!("n{node}.log"))
    }
}

/// Last line of a log, for the error message of a process that did not start.
pub fn last_line(log: &Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    text.lines().next_back().unwrap_or("its log is empty").to_string()
}

/// Starts a process with its output appended to a log. It is killed when the returned value is dropped.
///
/// # Errors
/// Names the process and the cause.
pub fn spawn(process: &str, command: std::process::Command, log: &Path) -> Result<Process, LabError> {
    let fail = |reason: String| LabError::Start { process: process.into(), reason };
    let program = command.get_program().to_string_lossy().into_owned();
    let open = File::options().create(true).append(true).open(log);
    let (out, err) = open.and_then(|log| Ok((log.try_clone()?, log))).map_err(|e| fail(e.to_string()))?;
    let mut command = Command::from(command);
    command
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(err)
        .kill_on_drop(true)
        // Its own process group: Ctrl-C at the terminal goes only to the lab, which then ends what it started.
        .process_group(0);
    let child = command.spawn().map_err(|e| fail(format!("{program}: {e}")))?;
    let id = child.id().map(|id| Pid::from_raw(id as i32));
    let id = id.ok_or_else(|| fail("the process has no id".into()))?;
    Ok(Process { child, id })
}

impl Process {
    /// Process id.
    pub fn id(&self) -> Pid {
        self.id
    }

    /// Waits until the process exits; returns its exit status as text.
    pub async fn wait(mut self) -> String {
        match self.child.wait().await {
            Ok(status) => status.to_string(),
            Err(error) => error.to_string(),
        }
    }
}

/// Sends a signal to a child process that has not been waited for.
pub fn signal(id: Pid, signal: Signal) {
    let signal = match signal {
        Signal::Kill => Sig::SIGKILL,
        Signal::Terminate => Sig::SIGTERM,
        Signal::Stop => Sig::SIGSTOP,
        Signal::Continue => Sig::SIGCONT,
    };
    // If the process has just exited, its waiter notices that.
    let _ = kill(id, signal);
}

/// Resident memory in MiB, and open descriptors; `None` if the process is gone.
pub fn resource_usage(id: Pid) -> Option<(f64, u64)> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: f64 = resident.trim().trim_end_matches(" kB").parse().ok()?;
    let descriptors = fs::read_dir(format!("/proc/{id}/fd")).ok()?.count() as u64;
    Some((kib / 1024.0, descriptors))
}

/// Waits until a node's `/ready` answers 200.
pub async fn wait_until_ready(at: SocketAddr) {
    loop {
        if let Ok(Ok(true)) = tokio::time::timeout(READY_REQUEST_TIMEOUT, ready(at)).await {
            return;
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
}

/// Whether `/ready` answers 200.
async fn ready(at: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n").await?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).await?;
    Ok(head.ends_with(b" 200"))
}
