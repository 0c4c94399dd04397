//! A share of turns close to nothing for suspects, agreed by the control group, and one app server that fails.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

const SERVERS: usize = 9;
const NODES: usize = 3;
/// The mean work of a request, in seconds.
const WORK: f64 = 0.055;
/// Nine servers with two cores each do 327 requests a second; this is seven tenths of it.
const RATE: f64 = 230.0;
const LOAD: Duration = Duration::from_secs(20);

pub fn run() -> bool {
    let failing = trouble();
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let (slots, random) = (Slots::new(2), Mutex::new(Random::new(i as u64 + 100)));
        let address = start_server(Arc::new(move |request, stream| {
            use std::io::Write;
            let work = random.lock().expect("random").exponential(WORK);
            let answer = if i == 0 && failing {
                // It fails quickly, and still counts as having run.
                thread::sleep(Duration::from_millis(5));
                response("500 Internal Server Error", b"")
            } else if slots.work(Duration::from_secs_f64(work), 30) {
                response("200 OK", request.header("x-txn").as_bytes())
            } else {
                b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".to_vec()
            };
            stream.write_all(&answer).is_ok()
        }));
        servers.push((format!("s-{i:08x}"), address, ["maipu", "providencia", "quilicura"][i % 3]));
    }
    let discovery = Discovery::start(&servers);
    let group = Group::start("");
    let names: Vec<String> = (0..NODES).map(|i| format!("n{i}")).collect();
    let nodes: Vec<Node> = (0..NODES)
        .map(|i| {
            Node::start(&NodeConfig {
                name: &names[i],
                discovery: discovery.address,
                memory_mb: 192,
                sockets: 1024,
                settings: settings(i, NODES),
                more: group.config(),
            })
        })
        .collect();
    nodes.iter().for_each(Node::wait_ready);
    group.agree(0, "{\"Votes\": {\"Trickle\": 1e-9}}");

    let tally = Arc::new(Tally::default());
    let (started, mut random, mut next) = (Instant::now(), Random::new(7), 0.0);
    while started.elapsed() < LOAD {
        next += random.exponential(1.0 / RATE);
        thread::sleep(Duration::from_secs_f64(next).saturating_sub(started.elapsed()));
        let node = (random.next() % NODES as u64) as usize;
        let (txn, is_lookup) = (new_txn(), random.unit() < 0.55);
        let remaining = if is_lookup { 600 } else { 1000 };
        let request = if is_lookup { lookup(&txn, remaining) } else { cert(&txn, remaining, 200) };
        let (tally, address) = (tally.clone(), nodes[node].address);
        background(move || tally.send(&format!("n{node}"), address, &txn, &request, remaining));
    }
    thread::sleep(Duration::from_secs(2));
    say(tally.summary());
    for (i, node) in nodes.iter().enumerate() {
        let ready = node.is_ready(Duration::from_secs(5));
        say(format!("n{i}: process runs: {}, GET /ready answers 200 within 5 s: {ready}", runs(node.pid)));
        node.note_log(3);
    }
    tally.lost.load(Ordering::Relaxed) > 0
}
