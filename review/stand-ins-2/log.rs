//! Replicas whose log nobody reads, and the leader's end.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

const NODES: usize = 3;
const SERVERS: usize = 9;
/// Changes of the policy, two lines of a replica's log each; fewer where they have become slow.
const CHANGES: u64 = 450;
/// How long the group and the nodes have to recover from the leader's end. An election takes under 1 s.
const RECOVERY: Duration = Duration::from_secs(30);

/// The role that a replica names within this time.
fn role(address: std::net::SocketAddr, within: Duration) -> Option<String> {
    let request = format!("GET /v1/status HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let answer = call(address, request.as_bytes(), within).ok()?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Some(text.split("\"role\":\"").nth(1)?.split('"').next()?.to_string())
}

pub fn run() -> bool {
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let address = start_server(Arc::new(|request, stream| {
            use std::io::Write;
            thread::sleep(Duration::from_millis(40));
            stream.write_all(&response("200 OK", request.header("x-txn").as_bytes())).is_ok()
        }));
        servers.push((format!("s-{i:08x}"), address, ["maipu", "providencia", "quilicura"][i % 3]));
    }
    let discovery = Discovery::start(&servers);
    let log = if trouble() { Log::Unread } else { Log::Read };
    let group = Group::start_with("[terms]\nunreachable = \"fence\"", log);
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

    // Changes of the policy, as operators make them over time.
    let (started, mut slow, mut made) = (Instant::now(), 0, 0);
    while made < CHANGES && slow < 8 && started.elapsed() < Duration::from_secs(40) {
        let begun = Instant::now();
        group.agree(made, &format!("{{\"Limits\": {{\"MaxRetryAfter\": {}}}}}", 100 + made % 400));
        made += 1;
        slow = if begun.elapsed() > Duration::from_millis(100) { slow + 1 } else { 0 };
    }
    say(format!("{made} changes of the policy were committed in {:.1} s", started.elapsed().as_secs_f64()));
    thread::sleep(Duration::from_secs(1));

    let leader = group.replicas.iter().position(|(_, a)| role(*a, Duration::from_secs(2)).as_deref() == Some("leader"));
    let leader = leader.expect("a leader");
    say(format!("replica {} leads and is killed", leader + 1));
    signal(group.replicas[leader].0, 9);
    let killed = Instant::now();

    // Meanwhile clients go on.
    let stop = flag();
    let tally = Arc::new(Tally::default());
    let clients: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(i, node)| {
            let (stop, tally, address): (Arc<AtomicBool>, _, _) = (stop.clone(), tally.clone(), node.address);
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let txn = new_txn();
                    tally.send(&format!("n{i}"), address, &txn, &lookup(&txn, 600), 600);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
    let mut recovered = None;
    while killed.elapsed() < RECOVERY {
        thread::sleep(Duration::from_millis(500));
        let leads = others
            .iter()
            .any(|i| role(group.replicas[*i].1, Duration::from_secs(1)).as_deref() == Some("leader"));
        let ready = nodes.iter().all(|node| node.is_ready(Duration::from_secs(1)));
        if leads && ready && killed.elapsed() > Duration::from_secs(6) {
            recovered = Some(killed.elapsed());
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().expect("a client"));
    say(format!("clients after the leader's end: {}", tally.summary()));
    for i in &others {
        let (pid, address) = group.replicas[*i];
        let role = role(address, Duration::from_secs(5));
        say(format!(
            "replica {}: process runs: {}, GET /v1/status within 5 s: {}",
            i + 1,
            runs(pid),
            role.map_or("no answer".to_string(), |role| format!("role {role}"))
        ));
    }
    for (i, node) in nodes.iter().enumerate() {
        say(format!("n{i}: GET /ready answers 200: {}", node.is_ready(Duration::from_secs(5))));
        node.note_log(2);
    }
    say(match recovered {
        Some(after) => format!("the group leads and the nodes are ready {:.1} s after the leader's end", after.as_secs_f64()),
        None => format!("two of three replicas run, and no leader serves the nodes within {} s", RECOVERY.as_secs()),
    });
    recovered.is_none()
}
