//! Connections for which the node has no room: what becomes of requests that wait to be accepted, and of the room that a
//! crowd takes while processes replace each other.

mod peers;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

/// Descriptors of a node that has room for [`CLIENT_ROOM`] connections of clients.
const DESCRIPTORS: usize = 32;
/// 24 descriptors are for clients and servers together; clients may use four in seven of them.
const CLIENT_ROOM: usize = 13;
/// Connections of a crowd: far more than the node makes room for within [`CROWD_DEADLINE`].
const CROWD: usize = 500;
/// The time that a client gives a request in a crowd.
const CROWD_DEADLINE: Duration = Duration::from_millis(2000);
/// How long after its deadline a request may still be answered.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long a client's request may stay without progress before its connection makes room, the time between two state
/// lines, and slack.
const SHRINK_LIMIT: Duration = Duration::from_millis(200 + 500 + 300);

/// The configuration of a node that has room for [`CLIENT_ROOM`] connections.
fn small_config(registry: &Registry) -> Value {
    let mut config = config_with_admin(registry);
    config["limits"]["sockets"] = json!(DESCRIPTORS);
    config
}

fn send(node: &Node, request: &str) -> Client {
    let mut client = Client::connect(node);
    client.send(request);
    client
}

/// Sends a request on one new connection after the other, until one of them is answered.
fn send_until_answered(node: &Node, deadline: Duration) -> u16 {
    let started = Instant::now();
    loop {
        let remaining = deadline.saturating_sub(started.elapsed()).as_millis() as u64;
        let mut client = Client::connect(node);
        let sent = client.try_send(request("look", "wanted", remaining).as_bytes());
        if let Some(response) = sent.ok().and_then(|()| client.receive()) {
            return response.status();
        }
    }
}

/// Guards against requests that wait behind a crowd of clients that send nothing more until their time is over.
#[test]
fn a_request_behind_a_crowd_is_answered_in_time() {
    let registry = Registry::new(&[host("s0", TestServer::ok("s0").address, "active", 1)]);
    let node = Node::start_ready(&small_config(&registry));
    let _crowd: Vec<Client> = (0..CROWD).map(|_| send(&node, "GET /look")).collect();
    let timer = WorkTimer::start_at(&node);
    assert_eq!(send_until_answered(&node, CROWD_DEADLINE), 200);
    let elapsed = timer.elapsed(&node);
    assert!(elapsed <= CROWD_DEADLINE + ANSWER_SLACK, "answered after {elapsed:?}");
}

/// How many connections of clients the node has, by its last state line.
fn logged_clients(node: &Node) -> Option<usize> {
    node.last_state_line().split_once(" clients")?.0.parse().ok()
}

/// Guards against an old process that keeps the room of a crowd while its successor takes its own: both together hold no
/// more than the node may.
#[test]
fn a_process_with_a_successor_soon_gives_up_connections_whose_requests_do_not_progress() {
    // While processes may overlap, a new one has three quarters of the room, and an old one a quarter.
    const ROOM_BEFORE: usize = CLIENT_ROOM * 3 / 4;
    const ROOM_AFTER: usize = CLIENT_ROOM / 4;
    let registry = Registry::new(&[host("s0", TestServer::ok("s0").address, "active", 1)]);
    let config = small_config(&registry);
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    // A process that inherits its listener is taken to have a successor.
    let mut old = Node::start_inheriting(&config, &listener, &[]);
    old.wait_ready();
    let _crowd: Vec<Client> = (0..ROOM_BEFORE).map(|_| send(&old, "GET /look")).collect();
    wait_until("all room is taken", || logged_clients(&old) == Some(ROOM_BEFORE));
    old.terminate();
    let timer = WorkTimer::start_at(&old);
    wait_until("its share is left, or it ends", || {
        !old.is_running() || logged_clients(&old).is_some_and(|clients| clients <= ROOM_AFTER)
    });
    assert!(old.is_running(), "it has kept the room until its end");
    let elapsed = timer.elapsed(&old);
    assert!(elapsed <= SHRINK_LIMIT, "the room was given up after {elapsed:?}");
}
