//! Uploads of a little over 64 KiB while idle clients fill the descriptors of a node.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;
const SERVERS: usize = 10;
/// Less than a third of the descriptors.
const CLIENTS: usize = 330;
/// Connections that send nothing.
const CROWD: usize = 600;
const UPLOAD_BYTES: usize = 100_000;
const REMAINING_MS: u64 = 1000;
const LOAD: Duration = Duration::from_secs(15);
/// A close this long after the request's last byte does not cross it: on loopback a byte takes well under 1 ms.
const CROSSING: f64 = 0.2;

struct Counts {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    crossed: AtomicU64,
    lost: AtomicU64,
}

/// One small request and, on the same connection at once, one upload.
fn visit(address: SocketAddr, counts: &Counts) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return };
    let _ = stream.set_nodelay(true);
    let small = exchange(&mut stream, &cert(&new_txn(), REMAINING_MS, 100), Duration::from_millis(1550));
    if !small.is_ok_and(|a| a.status() == 200 && a.header("connection") != "close") {
        // A new connection may be shut unread where idle clients fill the descriptors.
        return;
    }
    let txn = new_txn();
    let request = cert(&txn, REMAINING_MS, UPLOAD_BYTES);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(3)));
    let sent = now();
    if stream.write_all(&request).is_err() {
        // Its last byte was not written, so it was not taken.
        counts.crossed.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let written = now();
    let limit = Duration::from_millis(REMAINING_MS) + LOST_AFTER;
    let _ = stream.set_read_timeout(Some(limit));
    let answer = read_message(&mut stream, &mut Vec::new(), true);
    let took = now() - written;
    let (count, what) = match &answer {
        Ok(answer) if answer.status() == 200 => (&counts.served, "200"),
        Ok(answer) if matches!(answer.status(), 429 | 503) => (&counts.refused, "refused"),
        Ok(_) => (&counts.failed, "failed"),
        Err(e) if took < CROSSING && e.kind() != ErrorKind::WouldBlock => (&counts.crossed, "closed at once"),
        Err(e) if e.kind() == ErrorKind::WouldBlock => (&counts.lost, "LOST: no answer"),
        Err(_) => (&counts.lost, "LOST: the node ended the connection without an answer"),
    };
    count.fetch_add(1, Ordering::Relaxed);
    note(format!(
        "{txn}: second request of its connection, sent {sent:.3}, last byte written {written:.3}: {what} after {took:.3} s"
    ));
}

fn keep_crowd(address: SocketAddr, stop: &AtomicBool) {
    let mut crowd: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        while crowd.len() < CROWD {
            let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else { break };
            let _ = stream.set_nonblocking(true);
            crowd.push(stream);
        }
        crowd.retain_mut(|s| matches!(s.read(&mut [0; 64]), Err(e) if e.kind() == ErrorKind::WouldBlock));
        thread::sleep(Duration::from_millis(10));
    }
}

pub fn run() -> bool {
    let begun = Arc::new(AtomicU64::new(0));
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let (slots, random, begun) = (Slots::new(2), Mutex::new(Random::new(i as u64 + 100)), begun.clone());
        let address = start_server(Arc::new(move |request, stream| {
            begun.fetch_add(u64::from(request.body.len() == UPLOAD_BYTES), Ordering::Relaxed);
            let work = random.lock().expect("random").exponential(0.05);
            let answer = if slots.work(Duration::from_secs_f64(work), 30) {
                response("200 OK", request.header("x-txn").as_bytes())
            } else {
                b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".to_vec()
            };
            stream.write_all(&answer).is_ok()
        }));
        servers.push((format!("s-{i:08x}"), address, ["maipu", "providencia", "quilicura"][i % 3]));
    }
    let discovery = Discovery::start(&servers);
    let node = Node::start(&NodeConfig {
        name: "n0",
        discovery: discovery.address,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        settings: settings(0, 3),
        more: String::new(),
    });
    node.wait_ready();
    let stop = flag();
    let counts = Arc::new(Counts {
        served: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        failed: AtomicU64::new(0),
        crossed: AtomicU64::new(0),
        lost: AtomicU64::new(0),
    });
    if trouble() {
        let (stop, address) = (stop.clone(), node.address);
        note(format!("the crowd: {CROWD} connections that send nothing"));
        background(move || keep_crowd(address, &stop));
    }
    for i in 0..CLIENTS {
        let (stop, counts, address) = (stop.clone(), counts.clone(), node.address);
        background(move || {
            let mut random = Random::new(i as u64 + 1000);
            thread::sleep(Duration::from_secs_f64(1.0 + random.unit()));
            while !stop.load(Ordering::Relaxed) {
                visit(address, &counts);
                thread::sleep(Duration::from_secs_f64(0.2 + 0.4 * random.unit()));
            }
        });
    }
    let started = Instant::now();
    while started.elapsed() < LOAD {
        thread::sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));
    let get = |c: &AtomicU64| c.load(Ordering::Relaxed);
    say(format!(
        "uploads: {} served, {} refused, {} failed, {} crossed by a close, {} lost; {} begun at app servers",
        get(&counts.served),
        get(&counts.refused),
        get(&counts.failed),
        get(&counts.crossed),
        get(&counts.lost),
        get(&begun)
    ));
    say(format!(
        "the process runs: {}; memory {} KiB of {} KiB",
        runs(node.pid),
        memory_kib(node.pid, "VmHWM").unwrap_or(0),
        MEMORY_MB * 1024
    ));
    node.note_log(5);
    get(&counts.lost) > 0
}
