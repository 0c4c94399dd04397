//! Connections for which the node has no room: what becomes of the room that a crowd takes while processes replace each
//! other.

mod peers;

use std::net::TcpListener;
use std::time::Duration;

use peers::*;
use serde_json::{json, Value};

/// Descriptors of a node that has room for [`CLIENT_ROOM`] connections of clients.
const DESCRIPTORS: usize = 32;
/// 24 descriptors are for clients and servers together; clients may use four in seven of them.
const CLIENT_ROOM: usize = 13;
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
