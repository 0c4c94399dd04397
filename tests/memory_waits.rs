//! Requests that the node has not read whole, as it waits for memory: each gets its answer, whatever makes room or ends.

mod peers;

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

/// The length of bodies that hold memory, and what their clients send of them.
const HELD_BYTES: usize = 1_000_000;
const SENT_BYTES: usize = 100_000;
/// A request that has not been taken after this time waits for memory.
const TAKEN_WITHIN: Duration = Duration::from_millis(300);
/// Clients whose requests wait for memory.
const WAITING: usize = 10;
/// The length of their bodies: they are long ones.
const BODY_BYTES: usize = 80_000;
/// Connections that send half a head: more than there is room for.
const CROWD: usize = 140;
/// Clients with a short request, for which connections of silent clients make room.
const NEWCOMERS: usize = 30;
/// The time that a client gives a request in a crowd, and at the end of a process.
const CROWD_DEADLINE_MS: u64 = 1500;
const LONG_DEADLINE_MS: u64 = 15_000;
/// Uploads that are held as a whole, more than there is memory for.
const SHORT_UPLOADS: usize = 100;
const SHORT_BYTES: usize = 60_000;
/// Servers that have room for all of them.
const SERVERS: usize = 14;
/// How long the last of them wait, and the slack on the time that a server is told.
const BUSY_TIME: Duration = Duration::from_millis(1000);
const REMAINING_SLACK: Duration = Duration::from_millis(150 + 50);
/// How long after the signal to end a request comes that still waits when the process has to end.
const BEFORE_END: Duration = Duration::from_millis(2600);

/// A configuration with room for 132 clients and little memory, under which no request is refused for being late.
fn small_config(registry: &Registry) -> Value {
    let mut config = config_with_admin(registry);
    config["limits"]["memory_mb"] = json!(16);
    config["limits"]["sockets"] = json!(256);
    config
}

fn upload(txn: &str, remaining_ms: u64, length: usize, sent: usize) -> Vec<u8> {
    let head = format!(
        "POST /pay/7 HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Remaining-Ms: {remaining_ms}\r\n\
         Idempotency-Key: {txn}\r\nContent-Length: {length}\r\n\r\n"
    );
    [head.into_bytes(), vec![b'x'; sent]].concat()
}

/// Clients that have stopped in the middle of long bodies and hold all memory for them; the last one waits for it.
fn hold_memory(node: &Node) -> Vec<Client> {
    let mut holders = Vec::new();
    let mut taken = true;
    while taken {
        let mut client = Client::connect(node);
        let txn = format!("held{}", holders.len());
        client.send_bytes(&upload(&txn, LONG_DEADLINE_MS, HELD_BYTES, SENT_BYTES));
        holders.push(client);
        let (sent_at, expected) = (Instant::now(), holders.len() as u64);
        taken = false;
        while !taken && sent_at.elapsed() < TAKEN_WITHIN {
            taken = metric(node, "concurrent") >= expected;
        }
    }
    holders
}

fn half_head(node: &Node) -> Client {
    let mut client = Client::connect(node);
    client.send("GET /look");
    client
}

fn send_short(node: &Node, number: usize) -> Client {
    let mut client = Client::connect(node);
    client.send(&request("look", &format!("n{number}"), CROWD_DEADLINE_MS));
    client
}

/// Fails the test if the client gets no whole answer, or another than 200 or a refusal.
fn assert_answered(client: &mut Client, what: &str) {
    let status = client.receive().map(|response| response.status());
    assert!(matches!(status, Some(200 | 503)), "{what}: {status:?}");
}

/// Guards against requests that wait for memory and are taken for silent clients: connections of a crowd made room by
/// closing them without an answer.
#[test]
fn a_request_that_waits_for_memory_beside_a_crowd_is_answered() {
    let registry = Registry::new(&[host("s0", TestServer::ok("s0").address, "active", 1)]);
    let node = Node::start_ready(&small_config(&registry));
    let holders = hold_memory(&node);
    let mut waiting: Vec<Client> = (0..WAITING).map(|_| Client::connect(&node)).collect();
    for (number, client) in waiting.iter_mut().enumerate() {
        client.send_bytes(&upload(&format!("w{number}"), CROWD_DEADLINE_MS, BODY_BYTES, BODY_BYTES));
    }
    let crowd: Vec<Client> = (0..CROWD).map(|_| half_head(&node)).collect();
    let newcomers: Vec<Client> = (0..NEWCOMERS).map(|number| send_short(&node, number)).collect();
    for (number, client) in waiting.iter_mut().enumerate() {
        assert_answered(client, &format!("w{number}"));
    }
    drop((holders, crowd, newcomers));
}

/// Guards against servers that are told more time than the client has: what a request waits for memory uses up its time, as
/// its body may have arrived before.
#[test]
fn time_spent_waiting_for_memory_is_taken_off_the_time_told_to_servers() {
    let released = Arc::new(AtomicBool::new(false));
    let servers = [(); SERVERS].map(|()| {
        let released = released.clone();
        TestServer::new(move |_| {
            wait_until("the server is released", || released.load(Ordering::SeqCst));
            Reply::Send(http_response(200, "", "served"))
        })
    });
    let hosts = servers.iter().enumerate().map(|(n, s)| host(&format!("s{n}"), s.address, "active", 1));
    let registry = Registry::new(&hosts.collect::<Vec<_>>());
    let mut config = small_config(&registry);
    config["settings"]["Classes"][1]["Slo"] = json!(100_000.0);
    let node = Node::start_ready(&config);
    let mut clients: Vec<Client> = (0..SHORT_UPLOADS).map(|_| Client::connect(&node)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_bytes(&upload(&format!("u{number}"), LONG_DEADLINE_MS, SHORT_BYTES, SHORT_BYTES));
    }
    let sent_at = Instant::now();
    wait_until("the last ones have waited", || sent_at.elapsed() >= BUSY_TIME);
    released.store(true, Ordering::SeqCst);
    for client in &mut clients {
        assert_eq!(client.receive().map(|response| response.status()), Some(200));
    }
    let last = format!("u{}", SHORT_UPLOADS - 1);
    let received = servers.iter().flat_map(TestServer::requests).find(|m| m.header("x-txn") == Some(&last));
    let told: Option<u64> = received.and_then(|m| m.header("x-remaining-ms")?.parse().ok());
    let left = Duration::from_millis(LONG_DEADLINE_MS) - BUSY_TIME + REMAINING_SLACK;
    assert!(told.is_some_and(|told| Duration::from_millis(told) <= left), "{told:?} ms, of {left:?}");
}

/// Guards against requests that are closed without an answer at the end of a process, which closed all requests that it had not read whole.
#[test]
fn a_request_that_waits_for_memory_at_the_end_of_a_process_is_answered() {
    let registry = Registry::new(&[host("s0", TestServer::ok("s0").address, "active", 1)]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let mut node = Node::start_inheriting(&small_config(&registry), &listener, &[]);
    wait_admin_ready(&node);
    let mut client = Client::connect(&node);
    assert_eq!(client.exchange(&request("look", "first", LONG_DEADLINE_MS)).status(), 200);
    let _holders = hold_memory(&node);
    node.terminate();
    let told_at = Instant::now();
    wait_until("the end is near", || told_at.elapsed() >= BEFORE_END);
    client.send_bytes(&upload("late", LONG_DEADLINE_MS, BODY_BYTES, BODY_BYTES));
    assert_answered(&mut client, "late");
    assert_eq!(node.wait_exit_code(), Some(0));
}
