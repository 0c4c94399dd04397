//! A policy that takes many servers of a large fleet out of use.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

const SERVERS: usize = 3200;
const NODES: usize = 900;
const RATE: f64 = 60.0;
/// What is left of a client's time, as of one that gives up early.
const REMAINING_MS: u64 = 150;

#[repr(C)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

extern "C" {
    fn poll(fds: *mut PollFd, count: u64, timeout: i32) -> i32;
}

/// Starts many servers in one thread, each with an address of its own.
fn start_servers(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port for each server")).collect();
    let addresses = listeners.iter().map(|l| l.local_addr().expect("an address")).collect();
    background(move || {
        let handler: Arc<dyn Fn(&Message, &mut std::net::TcpStream) -> bool + Send + Sync> =
            Arc::new(|request, stream| {
                thread::sleep(Duration::from_millis(40));
                stream.write_all(&response("200 OK", request.header("x-txn").as_bytes())).is_ok()
            });
        let mut fds: Vec<PollFd> =
            listeners.iter().map(|l| PollFd { fd: l.as_raw_fd(), events: 1, revents: 0 }).collect();
        loop {
            unsafe { poll(fds.as_mut_ptr(), fds.len() as u64, 1000) };
            for (listener, fd) in listeners.iter().zip(&mut fds) {
                if std::mem::take(&mut fd.revents) != 0 {
                    if let Ok((stream, _)) = listener.accept() {
                        let handler = handler.clone();
                        background(move || serve_connection(stream, &handler));
                    }
                }
            }
        }
    });
    addresses
}

pub fn run() -> bool {
    let zones = ["maipu", "providencia", "quilicura"];
    let servers: Vec<(String, SocketAddr, &str)> = start_servers(SERVERS)
        .into_iter()
        .enumerate()
        .map(|(i, address)| (format!("s-{:08x}", i * 7919), address, zones[i % 3]))
        .collect();
    let discovery = Discovery::start(&servers);
    let group = Group::start("");
    let node = Node::start(&NodeConfig {
        name: "n0",
        discovery: discovery.address,
        memory_mb: 192,
        sockets: 1024,
        settings: settings(0, NODES),
        more: group.config(),
    });
    node.wait_ready();
    let tally = Arc::new(Tally::default());
    let stop = flag();
    let load = {
        let (tally, stop, address) = (tally.clone(), stop.clone(), node.address);
        thread::spawn(move || {
            let (started, mut random, mut next) = (Instant::now(), Random::new(7), 0.0);
            while !stop.load(Ordering::Relaxed) {
                next += random.exponential(1.0 / RATE);
                thread::sleep(Duration::from_secs_f64(next).saturating_sub(started.elapsed()));
                let (tally, txn) = (tally.clone(), new_txn());
                background(move || {
                    tally.send("n0", address, &txn, &lookup(&txn, REMAINING_MS), REMAINING_MS);
                });
            }
        })
    };
    thread::sleep(Duration::from_secs(3));
    say(format!("before the change: {}", tally.summary()));
    // The servers of two of the three sites.
    let banned: Vec<String> =
        servers.iter().filter(|s| s.2 != "quilicura").map(|s| format!("\"{}\"", s.0)).collect();
    let policy = if trouble() {
        note(format!("bans {} servers", banned.len()));
        format!("{{\"ServerBans\": [{}]}}", banned.join(","))
    } else {
        "{\"Limits\": {\"AttemptsCap\": 4}}".to_string()
    };
    group.agree(0, &policy);
    thread::sleep(Duration::from_secs(12));
    stop.store(true, Ordering::Relaxed);
    load.join().expect("the load");
    thread::sleep(Duration::from_secs(2));
    say(format!("all: {}", tally.summary()));
    say(format!("the process runs: {}", runs(node.pid)));
    node.note_log(3);
    tally.lost.load(Ordering::Relaxed) > 0
}
