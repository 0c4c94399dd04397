//! Processes: nodes, started from the program's own binary, and others; signalled by id, watched until they end.

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

use super::address::Addresses;
use super::LabError;
use crate::draw::Draw;
use crate::plan::Plan;
use crate::settings::{fleet_settings, node_seed, node_settings};
use crate::world::Signal;

/// How often a node that starts is asked whether it is ready.
const ASK: Duration = Duration::from_millis(25);
/// How long one such question may take.
const PATIENCE: Duration = Duration::from_millis(500);

/// How nodes are started.
pub struct Launch {
    program: PathBuf,
    folder: PathBuf,
    logs: PathBuf,
    addresses: Addresses,
    settings: Value,
    limits: Value,
    draw: Rc<Draw>,
}

/// A node's process.
pub struct Process {
    child: Child,
    id: Pid,
}

impl Launch {
    /// For the nodes of a draw; configurations and scratch space go under `folder`, logs under `logs`.
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

    /// Starts a node with a last list of servers, and what it is told of a control group.
    ///
    /// # Errors
    /// Names the node and what failed.
    pub fn start(
        &self,
        node: usize,
        life: u32,
        known: Value,
        control: Option<Value>,
    ) -> Result<Process, LabError> {
        let fail = |error: std::io::Error| LabError::start(node, error);
        let scratch = self.folder.join(format!("n{node}-{life}"));
        fs::create_dir_all(&scratch).map_err(fail)?;
        let settings = node_settings(&self.settings, &self.draw, node);
        let (listen, discovery) =
            (self.addresses.node(node).to_string(), self.addresses.list(node).to_string());
        let seed = node_seed(&self.draw, node, life);
        let mut config = json!({
            "name": format!("n{node}"), "listen": listen, "discovery": discovery,
            "seed": format!("{seed:016x}"), "limits": self.limits, "known": known, "settings": settings,
        });
        if let Some(control) = control {
            config["control"] = control;
            config["state_dir"] = json!(self.folder.join(format!("n{node}-state")));
        }
        let file = self.folder.join(format!("n{node}-{life}.json"));
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
        spawn(&format!("node n{node}"), command, &self.log(node))
    }

    /// The memory in MiB, and the descriptors, that a node may hold.
    pub fn limits(&self) -> (f64, u64) {
        let limit = |name: &str| self.limits[name].as_f64().unwrap_or(f64::INFINITY);
        (limit("memory_mb"), limit("sockets") as u64)
    }

    /// The file of a node's log lines.
    pub fn log(&self, node: usize) -> PathBuf {
        self.logs.join(format!("n{node}.log"))
    }
}

/// The last line of a log, for whoever wonders why a process did not come up.
pub fn last_line(log: &Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    text.lines().next_back().unwrap_or("it said nothing").to_string()
}

/// Starts a process whose words go to the end of a log. It is killed when what is given back is dropped.
///
/// # Errors
/// Names who could not be started.
pub fn spawn(who: &str, command: std::process::Command, log: &Path) -> Result<Process, LabError> {
    let fail = |reason: String| LabError::Start { process: who.into(), reason };
    let program = command.get_program().to_string_lossy().into_owned();
    let open = File::options().create(true).append(true).open(log);
    let (out, err) = open.and_then(|log| Ok((log.try_clone()?, log))).map_err(|e| fail(e.to_string()))?;
    let mut command = Command::from(command);
    command
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(err)
        .kill_on_drop(true)
        // A group of its own: a Ctrl-C at the terminal is the lab's to see, which then ends what it started.
        .process_group(0);
    let child = command.spawn().map_err(|e| fail(format!("{program}: {e}")))?;
    let id = child.id().map(|id| Pid::from_raw(id as i32));
    let id = id.ok_or_else(|| fail("it has no process id".into()))?;
    Ok(Process { child, id })
}

impl Process {
    /// Its id, for signals and for what it holds.
    pub fn id(&self) -> Pid {
        self.id
    }

    /// Waits until it ends; how it did.
    pub async fn ended(mut self) -> String {
        match self.child.wait().await {
            Ok(status) => status.to_string(),
            Err(error) => error.to_string(),
        }
    }
}

/// Sends a signal to a node that this run started and that has not been waited for.
pub fn signal(id: Pid, signal: Signal) {
    let signal = match signal {
        Signal::Kill => Sig::SIGKILL,
        Signal::Terminate => Sig::SIGTERM,
        Signal::Stop => Sig::SIGSTOP,
        Signal::Continue => Sig::SIGCONT,
    };
    // One that has just ended by itself is seen by whoever waits for it.
    let _ = kill(id, signal);
}

/// Resident memory in MiB, and descriptors; `None` where the process is gone.
pub fn holds(id: Pid) -> Option<(f64, u64)> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: f64 = resident.trim().trim_end_matches(" kB").parse().ok()?;
    let descriptors = fs::read_dir(format!("/proc/{id}/fd")).ok()?.count() as u64;
    Some((kib / 1024.0, descriptors))
}

/// Waits until a node says that it can serve.
pub async fn until_ready(at: SocketAddr) {
    loop {
        if let Ok(Ok(true)) = tokio::time::timeout(PATIENCE, ready(at)).await {
            return;
        }
        tokio::time::sleep(ASK).await;
    }
}

async fn ready(at: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n").await?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).await?;
    Ok(head.ends_with(b" 200"))
}
