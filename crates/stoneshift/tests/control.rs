//! `stoneshift control` as a process: exit codes and error messages, shutdown by signals, and the state on disk.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::new(127, 3, 0, 1), 0)).expect("a free port is bound");
    listener.local_addr().expect("the listener has an address")
}

/// Writes a replica's configuration, for a group of this replica alone. All share one state folder.
fn write_config(folder: &Path, cluster: &str, id: u64, at: SocketAddr, more: &str) -> std::path::PathBuf {
    let dir = folder.join("state");
    let text = format!(
        "cluster = \"{cluster}\"\nid = {id}\nlisten = \"{at}\"\ndir = {dir:?}\n[peers]\n{id} = \"{at}\"\n{more}"
    );
    let path = folder.join(format!("{cluster}.toml"));
    std::fs::write(&path, text).expect("the configuration is written");
    path
}

fn control(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoneshift"));
    command.arg("control").arg("--config").arg(file).stdin(Stdio::null());
    command
}

/// The exit code and the message, one line, of a replica that does not start.
fn failure_of(output: &Output) -> (Option<i32>, String) {
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(message.lines().count(), 1, "{message}");
    (output.status.code(), message)
}

/// A replica's process, which is killed when this is dropped.
struct ReplicaProcess(Child);

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        // An error means that the process has ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl ReplicaProcess {
    /// Starts a replica and waits until it is ready.
    fn start(file: &Path, at: SocketAddr) -> Self {
        let running = Self(control(file).stderr(Stdio::piped()).spawn().expect("the program is started"));
        let deadline = Instant::now() + Duration::from_secs(40);
        while !send_request(at, "GET /ready").starts_with("HTTP/1.1 200") {
            assert!(Instant::now() < deadline, "the replica is not ready in time");
            std::thread::sleep(Duration::from_millis(20));
        }
        running
    }

    /// Sends a signal and waits for the end. Returns the exit code and the text on standard error.
    fn end(mut self, signal: Signal) -> (Option<i32>, String) {
        kill(Pid::from_raw(self.0.id() as i32), signal).expect("the signal is sent");
        let mut text = String::new();
        let read = self.0.stderr.take().expect("standard error is a pipe").read_to_string(&mut text);
        read.expect("standard error is UTF-8");
        (self.0.wait().expect("the exit code is read").code(), text)
    }
}

/// Timeout of a call to a replica, longer than one takes even on a busy machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a request with a fixed policy as its body, and returns the raw response: empty if there is none, and partial
/// if the connection breaks off or reaches [`CALL_TIMEOUT`].
fn send_request(at: SocketAddr, request: &str) -> String {
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect(at) {
        stream.set_read_timeout(Some(CALL_TIMEOUT)).expect("the read timeout is set");
        let head = format!("{request} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
        let body = "{\"base\":0,\"policy\":{\"Limits\":{\"AttemptsCap\":2}}}";
        let _ = write!(stream, "{head}content-length: {}\r\n\r\n{body}", body.len());
        let _ = stream.read_to_string(&mut answer);
    }
    answer
}

#[test]
fn a_replica_keeps_acknowledged_changes_and_ends_on_signals() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let at = free_address();
    let east = write_config(folder.path(), "east", 1, at, "");
    let running = ReplicaProcess::start(&east, at);
    let answer = send_request(at, "PUT /v1/policy");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("\"committed\""), "{answer}");

    let (code, message) = failure_of(&control(&east).output().expect("the program is started"));
    assert!(code == Some(1) && message.contains(&format!("listen: {at}: ")), "{message}");
    let second = write_config(folder.path(), "east2", 1, free_address(), "");
    let text = std::fs::read_to_string(&second).expect("the configuration is read").replace("east2", "east");
    std::fs::write(&second, text).expect("the configuration is written");
    let (code, message) = failure_of(&control(&second).output().expect("the program is started"));
    assert!(code == Some(1) && message.contains("end the process that has it open"), "{message}");

    assert_eq!(running.end(Signal::SIGTERM).0, Some(0));
    let west = write_config(folder.path(), "west", 1, at, "");
    let (code, message) = failure_of(&control(&west).output().expect("the program is started"));
    assert!(code == Some(1) && message.contains("give this replica its own directory"), "{message}");

    let running = ReplicaProcess::start(&east, at);
    let answer = send_request(at, "GET /v1/policy");
    assert!(answer.contains("\"epoch\":1,\"policy\":{\"Limits\":{\"AttemptsCap\":2}}"), "{answer}");
    // A start on an intact disk logs nothing at warn or above.
    assert_eq!(running.end(Signal::SIGINT), (Some(0), String::new()));
}

#[test]
fn a_wrong_configuration_gives_one_line_and_exit_code_2() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let wrong = write_config(folder.path(), "east", 1, free_address(), "[terms]\nlease = 3\n");
    let (code, message) = failure_of(&control(&wrong).output().expect("the program is started"));
    assert!(code == Some(2) && message.contains("east.toml: terms.lease: unknown field"), "{message}");
    let (code, message) =
        failure_of(&control(&folder.path().join("none")).output().expect("the program is started"));
    assert!(code == Some(2) && message.contains("none: No such file"), "{message}");
}
