//! A crowd of half-written requests at a node with the least memory and the most descriptors that the pages allow.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;
const SERVERS: usize = 10;
/// A third of the descriptors, less a few.
const CLIENTS: usize = 340;
/// Connections that hold half a request, kept up for all of the load.
const CROWD: usize = 600;
const LOAD: Duration = Duration::from_secs(12);

pub fn run() -> bool {
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let (slots, random) = (Slots::new(2), Mutex::new(Random::new(i as u64 + 100)));
        let address = start_server(Arc::new(move |request, stream| {
            let work = random.lock().expect("random").exponential(0.05);
            let answer = if slots.work(Duration::from_secs_f64(work), 30) {
                let mut body = request.header("x-txn").as_bytes().to_vec();
                body.resize(60_000, b'r');
                response("200 OK", &body)
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
    let counts: Arc<[AtomicU64; 4]> = Arc::default();
    for i in 0..CLIENTS {
        let (stop, counts, address) = (stop.clone(), counts.clone(), node.address);
        background(move || {
            let mut random = Random::new(i as u64 + 1000);
            thread::sleep(Duration::from_secs_f64(1.5 * random.unit()));
            let mut kept: Option<TcpStream> = None;
            while !stop.load(Ordering::Relaxed) {
                let stream = kept.take().map_or_else(|| TcpStream::connect(address), Ok);
                let Ok(mut stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                let txn = new_txn();
                let answer = exchange(&mut stream, &cert(&txn, 1000, 60_000), Duration::from_millis(1600));
                let index = match &answer {
                    Ok(answer) if answer.status() == 200 => 0,
                    Ok(answer) if matches!(answer.status(), 429 | 503) => 1,
                    Ok(_) => 2,
                    Err(_) => 3,
                };
                counts[index].fetch_add(1, Ordering::Relaxed);
                if answer.is_ok_and(|a| a.header("connection") != "close") {
                    kept = Some(stream);
                }
                thread::sleep(Duration::from_secs_f64(1.0 + random.unit()));
            }
        });
    }
    let (opened, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    if trouble() {
        let (stop, address) = (stop.clone(), node.address);
        let (opened, answered) = (opened.clone(), answered.clone());
        background(move || {
            let mut head = b"GET /lot-lookup/half HTTP/1.1\r\nHost: service.internal\r\n".to_vec();
            for i in 0..5 {
                head.extend_from_slice(format!("X-Note-{i}: ").as_bytes());
                head.resize(head.len() + if i < 4 { 7000 } else { 2900 }, b'a');
                if i < 4 {
                    head.extend_from_slice(b"\r\n");
                }
            }
            note(format!("the crowd: {CROWD} connections, each with {} bytes of a head that never ends", head.len()));
            let mut crowd: Vec<(TcpStream, usize)> = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                while crowd.len() < CROWD {
                    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else { break };
                    let _ = stream.set_nonblocking(true);
                    opened.fetch_add(1, Ordering::Relaxed);
                    crowd.push((stream, 0));
                }
                crowd.retain_mut(|(stream, sent)| {
                    if !matches!(stream.read(&mut [0; 64]), Err(e) if e.kind() == ErrorKind::WouldBlock) {
                        // An error or a close, as such a peer is owed.
                        answered.fetch_add(1, Ordering::Relaxed);
                        return false;
                    }
                    if *sent < head.len() {
                        match stream.write(&head[*sent..head.len().min(*sent + 8000)]) {
                            Ok(n) => *sent += n,
                            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                            Err(_) => return false,
                        }
                    }
                    true
                });
                thread::sleep(Duration::from_millis(10));
            }
        });
    }
    let limit = u64::from(MEMORY_MB) * 1024;
    let (started, mut peak, mut peak_anonymous, mut over) = (Instant::now(), 0, 0, false);
    while started.elapsed() < LOAD {
        let Some(resident) = memory_kib(node.pid, "VmRSS") else { break };
        let anonymous = memory_kib(node.pid, "RssAnon").unwrap_or(0);
        if resident > peak {
            note(format!("the node's memory: {resident} KiB resident, {anonymous} KiB of it anonymous; limit {limit} KiB"));
        }
        (peak, peak_anonymous) = (peak.max(resident), peak_anonymous.max(anonymous));
        over |= resident > limit;
        thread::sleep(Duration::from_millis(20));
    }
    stop.store(true, Ordering::Relaxed);
    let get = |i: usize| counts[i].load(Ordering::Relaxed);
    say(format!("clients: {} served, {} refused, {} failed, {} without an answer", get(0), get(1), get(2), get(3)));
    say(format!(
        "crowd: {} connections made, {} of them answered or closed by the node",
        opened.load(Ordering::Relaxed),
        answered.load(Ordering::Relaxed)
    ));
    say(format!(
        "peak memory of the node: {peak} KiB resident, {peak_anonymous} KiB anonymous; limit {limit} KiB: {}",
        if over { "over it, the platform kills the node" } else { "kept" }
    ));
    node.note_log(3);
    over
}
