//! Scripted discovery: one that follows a script, and one that a test answers itself.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use socket2::SockRef;

use super::{http_response, read_message, WAIT_TIMEOUT};

/// A server's entry in the list.
pub fn host(name: &str, at: SocketAddr, health: &str, cell: u64) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": "a", "class": "m", "block": cell,
        "health": health, "share": 1.0, "born_ms": 0})
}

/// One line of discovery: the whole list, or the entries that changed.
pub fn list_line(seq: u64, whole: bool, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()
}

/// What discovery sends, and what it has received.
#[derive(Default)]
struct RegistryState {
    /// Line that every watch and every request for the whole list gets first.
    whole_list: String,
    /// Lines for watches. A watch gets only those that are added after its request was read.
    updates: Vec<String>,
    /// Requests are read and their connections closed without a response.
    down: bool,
    /// After the whole list, watches stay open and send nothing; meanwhile no other setting ends them.
    watches_silent: bool,
    /// Requests are read and not answered; their connections are closed after [`WAIT_TIMEOUT`]. Takes precedence over
    /// `down`.
    unresponsive: bool,
    /// Incremented to end all watches that are not silent.
    watch_generation: usize,
    /// The target of every request received.
    calls: Vec<String>,
    watches_started: usize,
}

/// Scripted discovery: a watch gets the whole list first, then each update that is published later.
#[derive(Clone)]
pub struct Registry {
    pub address: SocketAddr,
    state: Arc<Mutex<RegistryState>>,
}

impl Registry {
    /// Starts discovery with this list as version (`seq`) 1.
    pub fn new(hosts: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let state = RegistryState { whole_list: list_line(1, true, hosts), ..RegistryState::default() };
        let address = listener.local_addr().expect("the local address is unknown");
        let registry = Self { address, state: Arc::new(Mutex::new(state)) };
        let this = registry.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        registry
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut RegistryState) -> T) -> T {
        f(&mut self.state.lock().expect("the lock is poisoned"))
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let request = read_message(&mut BufReader::new(stream), 0)?;
        let (whole_list, down, generation, mut sent, unresponsive) = self.with_state(|state| {
            state.calls.push(request.path().to_string());
            let (list, updates) = (state.whole_list.clone(), state.updates.len());
            (list, state.down, state.watch_generation, updates, state.unresponsive)
        });
        if unresponsive {
            std::thread::sleep(WAIT_TIMEOUT);
            return None;
        }
        if down {
            return None;
        }
        if !request.path().contains("watch") {
            return writer.write_all(&http_response(200, "", &whole_list)).ok();
        }
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut send_line = |line: &str| write!(writer, "{:x}\r\n{line}\n\r\n", line.len() + 1);
        send_line(&whole_list).ok()?;
        self.with_state(|state| state.watches_started += 1);
        let mut last_keep_alive = Instant::now();
        loop {
            if self.with_state(|state| state.watches_silent) {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            let (current, updates) =
                self.with_state(|state| (state.watch_generation, state.updates[sent..].to_vec()));
            if current != generation {
                return None;
            }
            sent += updates.len();
            for line in &updates {
                send_line(line).ok()?;
            }
            if last_keep_alive.elapsed() > Duration::from_millis(500) {
                send_line("").ok()?;
                last_keep_alive = Instant::now();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Makes `hosts` the whole list and sends `changes` to all watches, both as version `seq`.
    pub fn publish(&self, seq: u64, hosts: &[Value], changes: &[Value]) {
        self.with_state(|state| {
            state.whole_list = list_line(seq, true, hosts);
            state.updates.push(list_line(seq, false, changes));
        });
    }

    /// Sends any text as a line to all watches.
    pub fn send_raw(&self, line: &str) {
        self.with_state(|state| state.updates.push(line.to_string()));
    }

    /// Takes discovery down or brings it back; either ends all watches that are not silent.
    pub fn set_down(&self, down: bool) {
        self.with_state(|state| {
            state.down = down;
            state.watch_generation += 1;
        });
    }

    /// Leaves every later request without a response, or answers again; either ends all watches that are not silent. A
    /// request that is not answered keeps its connection open for [`WAIT_TIMEOUT`].
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.with_state(|state| {
            state.unresponsive = unresponsive;
            state.watch_generation += 1;
        });
    }

    /// Keeps all watches open without sending anything more, like a connection that is broken without a close. A watch
    /// that is started later still gets the whole list first.
    pub fn silence_watches(&self) {
        self.with_state(|state| state.watches_silent = true);
    }

    /// The target of every request received.
    pub fn calls(&self) -> Vec<String> {
        self.with_state(|state| state.calls.clone())
    }

    /// Number of watches started so far, open or not.
    pub fn watches_started(&self) -> usize {
        self.with_state(|state| state.watches_started)
    }
}

/// Discovery whose requests the test answers itself, one by one and byte by byte.
pub struct ManualRegistry {
    pub address: SocketAddr,
    calls: Receiver<Call>,
}

/// A received request; its connection stays open until this is dropped.
pub struct Call {
    pub path: String,
    writer: TcpStream,
}

impl ManualRegistry {
    /// Starts discovery on a free port.
    pub fn new() -> Self {
        Self::with_listener(TcpListener::bind("127.0.0.1:0").expect("no free port"))
    }

    /// Starts discovery on a given listener.
    pub fn with_listener(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("the local address is unknown");
        let (sender, calls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || {
                    stream.set_nodelay(true).ok()?;
                    let writer = stream.try_clone().ok()?;
                    let path = read_message(&mut BufReader::new(stream), 0)?.path().to_string();
                    sender.send(Call { path, writer }).ok()
                });
            }
        });
        Self { address, calls }
    }

    /// Waits for the next request.
    pub fn next_call(&self) -> Call {
        self.next_call_within(WAIT_TIMEOUT).expect("no request to discovery arrived")
    }

    /// The next request, if one arrives within `timeout`.
    pub fn next_call_within(&self, timeout: Duration) -> Option<Call> {
        self.calls.recv_timeout(timeout).ok()
    }
}

impl Call {
    /// Sends the head of a chunked response.
    pub fn send_head(&mut self) {
        assert!(self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }

    /// Sends one chunk; false if the node has closed the connection.
    pub fn send_chunk(&mut self, text: &str) -> bool {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    }

    /// Writes bytes as they are; false if the node has closed the connection.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.writer.write_all(bytes).is_ok()
    }

    /// Sends the last chunk, which completes the response, and closes the connection.
    pub fn finish(mut self) {
        self.write(b"0\r\n\r\n");
    }

    /// Resets the connection.
    pub fn reset(self) {
        SockRef::from(&self.writer).set_linger(Some(Duration::ZERO)).expect("SO_LINGER cannot be set");
    }
}
