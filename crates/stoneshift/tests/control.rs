//! A replica as a process: its exit codes and lines, its end by a signal, its disk.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

fn free() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::new(127, 3, 0, 1), 0)).expect("a free port");
    listener.local_addr().expect("it is bound")
}

fn file(folder: &Path, cluster: &str, id: u64, at: SocketAddr, more: &str) -> std::path::PathBuf {
    let dir = folder.join("state");
    let text = format!(
        "cluster = \"{cluster}\"\nid = {id}\nlisten = \"{at}\"\ndir = {dir:?}\n[peers]\n{id} = \"{at}\"\n{more}"
    );
    let path = folder.join(format!("{cluster}.toml"));
    std::fs::write(&path, text).expect("a file");
    path
}

fn control(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoneshift"));
    command.arg("control").arg("--config").arg(file).stdin(Stdio::null());
    command
}

/// What a replica that does not start says: its code, and its one line.
fn failed(output: &Output) -> (Option<i32>, String) {
    let words = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(words.lines().count(), 1, "{words}");
    (output.status.code(), words)
}

/// Asks until it answers; a process that is not ended by the test is ended with it.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Running {
    fn start(file: &Path, at: SocketAddr) -> Self {
        let running = Self(control(file).stderr(Stdio::piped()).spawn().expect("it starts"));
        let end = Instant::now() + Duration::from_secs(40);
        while !ask(at, "GET /ready").starts_with("HTTP/1.1 200") {
            assert!(Instant::now() < end, "it is ready in time");
            std::thread::sleep(Duration::from_millis(20));
        }
        running
    }

    /// Ends it; its code, and what it has said.
    fn end(mut self, signal: Signal) -> (Option<i32>, String) {
        kill(Pid::from_raw(self.0.id() as i32), signal).expect("it runs");
        let mut words = String::new();
        let said = self.0.stderr.take().expect("is a pipe").read_to_string(&mut words);
        said.expect("it speaks UTF-8");
        (self.0.wait().expect("it ends").code(), words)
    }
}

/// The answer to a call, or nothing.
fn ask(at: SocketAddr, call: &str) -> String {
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect(at) {
        let head = format!("{call} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
        let body = "{\"base\":0,\"policy\":{\"Limits\":{\"AttemptsCap\":2}}}";
        let _ = write!(stream, "{head}content-length: {}\r\n\r\n{body}", body.len());
        let _ = stream.read_to_string(&mut answer);
    }
    answer
}

#[test]
fn a_replica_keeps_what_it_acknowledged_and_ends_by_signals() {
    let folder = tempfile::tempdir().expect("a folder");
    let at = free();
    let east = file(folder.path(), "east", 1, at, "");
    let running = Running::start(&east, at);
    let told = ask(at, "PUT /v1/policy");
    assert!(told.starts_with("HTTP/1.1 200") && told.contains("\"committed\""), "{told}");

    let (code, words) = failed(&control(&east).output().expect("it runs"));
    assert!(code == Some(1) && words.contains(&format!("listen: {at}: ")), "{words}");
    let second = file(folder.path(), "east2", 1, free(), "");
    let text = std::fs::read_to_string(&second).expect("its file").replace("east2", "east");
    std::fs::write(&second, text).expect("its file");
    let (code, words) = failed(&control(&second).output().expect("it runs"));
    assert!(code == Some(1) && words.contains("end the other process first"), "{words}");

    assert_eq!(running.end(Signal::SIGTERM).0, Some(0));
    let west = file(folder.path(), "west", 1, at, "");
    let (code, words) = failed(&control(&west).output().expect("it runs"));
    assert!(code == Some(1) && words.contains("give this replica its own directory"), "{words}");

    let running = Running::start(&east, at);
    let told = ask(at, "GET /v1/policy");
    assert!(told.contains("\"epoch\":1,\"policy\":{\"Limits\":{\"AttemptsCap\":2}}"), "{told}");
    // Of a start on a disk that is in order nothing is said that an operator would have to look into.
    assert_eq!(running.end(Signal::SIGINT), (Some(0), String::new()));
}

#[test]
fn a_wrong_file_is_told_in_one_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let wrong = file(folder.path(), "east", 1, free(), "[terms]\nlease = 3\n");
    let (code, words) = failed(&control(&wrong).output().expect("it runs"));
    assert!(code == Some(2) && words.contains("east.toml: terms.lease: unknown field"), "{words}");
    let (code, words) = failed(&control(&folder.path().join("none")).output().expect("it runs"));
    assert!(code == Some(2) && words.contains("none: No such file"), "{words}");
}
