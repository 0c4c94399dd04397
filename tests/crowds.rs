//! Connections for which the node has no room: what becomes of requests that wait to be accepted, and of the room that a
//! crowd takes while processes replace each other.

mod peers;

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
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
/// The time that a client gives each request else.
const DEADLINE: Duration = Duration::from_secs(15);
/// The platform's slack on the time that a server is told, and what it adds to every time limit.
const REMAINING_SLACK: Duration = Duration::from_millis(150 + 50);
/// How long the node stays busy while others wait: far longer than the slack.
const BUSY_TIME: Duration = Duration::from_millis(1000);

/// The moment until which a server was told that the client waits, by transaction id.
type ToldDeadlines = Arc<Mutex<Vec<(String, Instant)>>>;

/// A node all of whose room is taken by requests that are not answered before [`BusyNode::release`].
struct BusyNode {
    node: Node,
    told: ToldDeadlines,
    released: Arc<AtomicBool>,
    clients: Vec<Client>,
    _registry: Registry,
}

impl BusyNode {
    fn start() -> Self {
        let (told, released) = (ToldDeadlines::default(), Arc::new(AtomicBool::new(false)));
        let server = server(&told, &released);
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let mut config = small_config(&registry);
        for class in config["settings"]["Classes"].as_array_mut().expect("the settings have no classes") {
            class["Slo"] = json!(100_000.0);
        }
        let node = Node::start_ready(&config);
        let clients = (0..CLIENT_ROOM).map(|n| send(&node, &request("slip", &format!("busy{n}"), 100_000)));
        let clients = clients.collect();
        wait_until("all room is taken", || node.last_state_line().starts_with("13 clients, 13 requests"));
        Self { node, told, released, clients, _registry: registry }
    }

    /// Lets the servers answer; all requests that took the room are served.
    fn release(&mut self) {
        self.released.store(true, Ordering::SeqCst);
        for client in &mut self.clients {
            assert_eq!(client.receive().map(|m| m.status()), Some(200));
        }
    }

    /// The moment until which a server was told that this request's client waits.
    fn told_deadline(&self, txn: &str) -> Instant {
        let told = self.told.lock().expect("the lock is poisoned");
        told.iter().find(|(other, _)| other == txn).expect("no server has received it").1
    }
}

/// A server that answers requests called `busy...` once `released` is set, and others at once.
fn server(told: &ToldDeadlines, released: &Arc<AtomicBool>) -> TestServer {
    let (told, released) = (told.clone(), released.clone());
    TestServer::new(move |request| {
        let at = Instant::now();
        let txn = request.header("x-txn").unwrap_or_default().to_string();
        let remaining = request.header("x-remaining-ms").and_then(|ms| ms.parse().ok()).unwrap_or_default();
        told.lock().expect("the lock is poisoned").push((txn.clone(), at + Duration::from_millis(remaining)));
        while txn.starts_with("busy") && !released.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        Reply::Send(http_response(200, "", "served"))
    })
}

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

fn wait_for_time(since: Instant, time: Duration) {
    wait_until("some time has passed", || since.elapsed() >= time);
}

/// Guards against servers that are told more time than the client has: a request that waits to be accepted uses up its
/// time. None of those that wait behind busy connections may be closed unread, and the next request on such a connection
/// has all of its time.
#[test]
fn time_spent_waiting_for_room_is_taken_off_the_time_told_to_servers() {
    let mut busy = BusyNode::start();
    let waiting: Vec<(String, Instant, Client)> = (0..5)
        .map(|n| {
            let (txn, sent_at) = (format!("waiting{n}"), Instant::now());
            let client = send(&busy.node, &request("look", &txn, DEADLINE.as_millis() as u64));
            (txn, sent_at, client)
        })
        .collect();
    wait_for_time(waiting[4].1, BUSY_TIME);
    busy.release();
    for (txn, sent_at, mut client) in waiting {
        assert_eq!(client.receive().map(|m| m.status()), Some(200), "{txn}");
        let told = busy.told_deadline(&txn) - sent_at;
        assert!(told <= DEADLINE + REMAINING_SLACK, "{txn}: a server was told {told:?} of {DEADLINE:?}");
        let (next_txn, sent_at) = (format!("next-{txn}"), Instant::now());
        let response = client.exchange(&request("look", &next_txn, DEADLINE.as_millis() as u64));
        assert_eq!(response.status(), 200, "{next_txn}");
        let told = busy.told_deadline(&next_txn) - sent_at;
        assert!(told >= DEADLINE - BUSY_TIME / 2, "{next_txn}: a server was told {told:?} of {DEADLINE:?}");
    }
}

/// Guards against a request that is given less time than it has, as its connection had waited long before it came.
#[test]
fn time_for_which_a_waiting_connection_was_silent_is_left_to_its_request() {
    let mut busy = BusyNode::start();
    let before = busy.node.descriptors();
    let mut client = Client::connect(&busy.node);
    let connected_at = Instant::now();
    wait_until("it is accepted", || busy.node.descriptors() > before);
    wait_for_time(connected_at, BUSY_TIME);
    let sent_at = Instant::now();
    client.send(&request("look", "late", DEADLINE.as_millis() as u64));
    busy.release();
    assert_eq!(client.receive().map(|m| m.status()), Some(200));
    let told = busy.told_deadline("late") - sent_at;
    assert!(told >= DEADLINE - BUSY_TIME / 2, "a server was told {told:?} of {DEADLINE:?}");
}

/// Guards against a request that waits behind a crowd of clients that send nothing more until its time is over, or whose
/// connection is closed unread like theirs.
#[test]
fn a_request_behind_a_crowd_is_answered_in_time() {
    let registry = Registry::new(&[host("s0", TestServer::ok("s0").address, "active", 1)]);
    let node = Node::start_ready(&small_config(&registry));
    let _crowd: Vec<Client> = (0..CROWD).map(|_| send(&node, "GET /look")).collect();
    let timer = WorkTimer::start_at(&node);
    let mut client = send(&node, &request("look", "wanted", CROWD_DEADLINE.as_millis() as u64));
    assert_eq!(client.receive().map(|m| m.status()), Some(200));
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
