//! The node's program on loopback sockets, between scripted app servers, discovery and clients.

mod peers;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

/// Two servers that treat the first attempt at each request as `first` says and answer further ones with 200.
fn failing_first_attempts(first: impl Fn() -> Reply + Send + Sync + Clone + 'static) -> [TestServer; 2] {
    let attempted = std::sync::Arc::new(Mutex::new(BTreeSet::new()));
    [(); 2].map(|()| {
        let (attempted, first) = (attempted.clone(), first.clone());
        TestServer::new(move |m| {
            let txn = m.header("x-txn").unwrap_or_default().to_string();
            if m.path() != "/health" && attempted.lock().expect("the lock is poisoned").insert(txn) {
                first()
            } else {
                Reply::Send(http_response(200, "", "served"))
            }
        })
    })
}

/// Sends one request of a class; returns its status and the number of attempts that reached servers.
fn outcome(
    class: &str,
    cells: [u64; 2],
    first: impl Fn() -> Reply + Send + Sync + Clone + 'static,
) -> (u16, usize) {
    let first_never_ran = matches!(first(), Reply::Send(bytes) if bytes.windows(13).any(|w| w == b"X-Turned-Away")
        && !bytes.starts_with(b"HTTP/1.1 404"));
    let servers = failing_first_attempts(first);
    let hosts: Vec<Value> =
        (0..2).map(|n| host(&format!("s{n}"), servers[n].address, "active", cells[n])).collect();
    let registry = Registry::new(&hosts);
    let node = Node::start_ready(&config(registry.address));
    let response = Client::connect(&node).exchange(&request(class, "t1", 15_000));
    if response.status() == 200 {
        assert_eq!(response.body, b"served");
    }
    let attempts = servers.each_ref().map(|s| s.requests().len());
    if class == "pay" && cells[0] != cells[1] && !matches!(attempts, [0, _] | [_, 0]) {
        assert!(first_never_ran, "a keyed request left its cell: {attempts:?}");
    }
    (response.status(), attempts.iter().sum())
}

/// An outcome that proves the request never ran is retried in every class, any other one only where a repeat does no
/// harm.
#[test]
fn an_attempt_that_may_have_run_is_retried_only_where_a_repeat_is_harmless() {
    let turned_away = "X-Turned-Away: 1\r\n";
    let may_have_run: [fn() -> Reply; 8] = [
        || Reply::Send(http_response(500, "", "")),
        || Reply::Send(http_response(503, "", "")),
        || Reply::Send(http_response(404, "X-Turned-Away: 1\r\n", "")),
        || Reply::SendAndClose(Vec::new()),
        || Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ncut".to_vec()),
        || Reply::SendAndClose(b"HTP/banana\r\n\r\n".to_vec()),
        // Malformed chunks, on a connection that stays open.
        || Reply::Send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nserved\r\n".to_vec()),
        || Reply::Send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n".to_vec()),
    ];
    for (n, first) in may_have_run.into_iter().enumerate() {
        assert_eq!(outcome("look", [1, 1], first), (200, 2), "safe, case {n}");
        assert_eq!(outcome("pay", [1, 1], first), (200, 2), "keyed, one cell, case {n}");
        // A server that is alone in its cell gets the retry itself; no other server may.
        assert_eq!(outcome("pay", [1, 2], first), (200, 2), "keyed, two cells, case {n}");
        assert_eq!(outcome("slip", [1, 1], first), (502, 1), "unsafe, case {n}");
    }
    for status in [503, 504] {
        for class in ["look", "pay", "slip"] {
            let first = move || Reply::Send(http_response(status, turned_away, ""));
            assert_eq!(outcome(class, [1, 2], first), (200, 2), "{class} turned away with {status}");
        }
    }
}

/// A request that servers reject with 400 used to be sent to five servers in turn, and its failures ejected them.
#[test]
fn a_request_rejected_with_400_is_sent_once_and_ejects_no_server() {
    let servers = [(); 2].map(|()| {
        TestServer::new(|m| {
            let invalid = m.header("x-txn").is_some_and(|txn| txn.starts_with("unknown"));
            Reply::Send(if invalid { http_response(400, "", "") } else { http_response(200, "", "served") })
        })
    });
    let hosts: Vec<Value> = (0..2).map(|n| host(&format!("s{n}"), servers[n].address, "active", 0)).collect();
    let registry = Registry::new(&hosts);
    let node = Node::start_ready(&config_with_admin(&registry));
    let mut client = Client::connect(&node);
    for n in 0..12 {
        let class = ["look", "pay", "slip"][n % 3];
        assert_eq!(client.exchange(&request(class, &format!("unknown{n}"), 5000)).status(), 502);
    }
    let attempts: usize = servers.iter().map(|s| s.requests().len()).sum();
    assert_eq!((attempts, metric(&node, "targets_disabled")), (12, 0));
    assert_eq!(client.exchange(&request("slip", "t1", 5000)).status(), 200);
}

/// A request whose connection was refused never ran, so even an unsafe one goes to the other server.
#[test]
fn an_unsafe_request_survives_a_refused_connection() {
    let refusing = RefusingAddress::new();
    let good = TestServer::ok("good");
    let registry =
        Registry::new(&[host("s0", refusing.address, "active", 1), host("s1", good.address, "active", 2)]);
    let node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    for n in 0..4 {
        assert_eq!(client.exchange(&request("slip", &format!("t{n}"), 15_000)).status(), 200);
    }
    assert_eq!(good.requests().len(), 4);
}

/// Each request on a keep-alive connection gets one response.
#[test]
fn requests_and_responses_pass_unchanged_one_response_per_request() {
    let server = TestServer::new(|m| {
        Reply::Send(http_response(200, "", &format!("for {}", m.header("x-txn").unwrap_or("?"))))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    for n in 0..5 {
        let response = client.exchange(&request("pay", &format!("t{n}"), 15_000));
        assert_eq!((response.status(), response.body), (200, format!("for t{n}").into_bytes()));
        // A server connection is left unused for a while after a response.
        std::thread::sleep(REUSE_DELAY);
    }
    let requests = server.requests();
    assert_eq!(requests.len(), 5);
    for (n, m) in requests.iter().enumerate() {
        assert!(m.head.starts_with("POST /pay/7?q=a%20b HTTP/1.1\r\n"), "{}", m.head);
        assert_eq!(m.header("x-txn"), Some(format!("t{n}").as_str()));
        assert_eq!(m.header("idempotency-key"), Some("k1"));
        assert_eq!(m.body, b"work");
        let remaining_ms: u64 =
            m.header("x-remaining-ms").and_then(|v| v.parse().ok()).expect("X-Remaining-Ms is missing");
        assert!((1..15_000).contains(&remaining_ms), "{remaining_ms}");
    }
    // All of them use one connection, as the last used one is reused first.
    assert!(requests.iter().all(|m| m.connection == requests[0].connection));
}

/// If the server never answers, the client gets a 502 at its deadline, not a refusal.
#[test]
fn a_silent_server_does_not_delay_the_response_past_the_deadline() {
    let server = TestServer::new(|_| Reply::Silence);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let sent_at = Instant::now();
    let response = Client::connect(&node).exchange(&request("slip", "t1", 1500));
    assert!(sent_at.elapsed() < Duration::from_millis(4000), "{:?}", sent_at.elapsed());
    assert_eq!(response.status(), 502);
    assert_eq!(server.requests().len(), 1);
    wait_until("the attempt's connection is closed", || server.open_connections() == 0);
}

/// `Retry-After` of a refusal is the delay that the decision module gave, in seconds.
#[test]
fn a_refusal_carries_retry_after() {
    let registry = Registry::new(&[]);
    let node = Node::start_ready(&config(registry.address));
    let response = Client::connect(&node).exchange(&request("slip", "t1", 15_000));
    assert_eq!(response.status(), 503);
    let retry_after_s: f64 =
        response.header("retry-after").and_then(|v| v.parse().ok()).expect("Retry-After is not a number");
    assert!(retry_after_s > 0.0 && retry_after_s <= 2.0, "{retry_after_s}");
}

/// Once the node has read the line that lists a server as draining or gone, the server gets no new request.
#[test]
fn a_draining_or_removed_server_gets_no_new_requests() {
    let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
    let both = [host("s0", a.address, "active", 1), host("s1", b.address, "active", 1)];
    for health in ["leaving", "left"] {
        let registry = Registry::new(&both);
        let node = Node::start_ready(&config(registry.address));
        let mut client = Client::connect(&node);
        let mut get_body = |n: usize| {
            let response = client.exchange(&request("look", &format!("t{n}"), 15_000));
            assert_eq!(response.status(), 200);
            response.body
        };
        let first: BTreeSet<Vec<u8>> = (0..4).map(&mut get_body).collect();
        assert_eq!(first.len(), 2, "both servers get requests");
        registry.publish(2, &both[1..], &[host("s0", a.address, health, 1)]);
        // The node has read the line once the first server gets no more requests.
        wait_until("the drain is known", || get_body(0) == b"b" && get_body(0) == b"b");
        assert!((0..10).all(|n| get_body(n) == b"b"));
    }
}

/// A connection to a server's old address is not reused once the list has a new one, even if it was busy at the change.
#[test]
fn a_server_that_moves_is_not_reached_at_its_old_address() {
    let released = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let release = released.clone();
    let old = TestServer::new(move |m| {
        while m.header("x-txn") == Some("slow") && !released.load(std::sync::atomic::Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        Reply::Send(http_response(200, "", "old"))
    });
    let new = TestServer::ok("new");
    let registry = Registry::new(&[host("s0", old.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let (mut slow, mut client) = (Client::connect(&node), Client::connect(&node));
    slow.send(&request("slip", "slow", 15_000));
    wait_until("the slow request is sent", || old.requests().len() == 1);
    let moved = [host("s0", new.address, "active", 1)];
    registry.publish(2, &moved, &moved);
    wait_until("the move is known", || client.exchange(&request("look", "t1", 15_000)).body == b"new");
    release.store(true, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(slow.receive().expect("no response").body, b"old");
    assert_eq!(client.exchange(&request("look", "t2", 15_000)).body, b"new");
}

/// A request that waits for its connection is not written to a server that is removed meanwhile.
#[test]
fn a_request_that_waits_for_a_connection_is_not_sent_to_a_removed_server() {
    // A listener with a full backlog completes no further connection until it accepts one.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("no socket can be created");
    socket
        .bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().expect("not an address").into())
        .expect("no free port");
    socket.listen(0).expect("the socket cannot listen");
    let full: TcpListener = socket.into();
    let at_full = full.local_addr().expect("the local address is unknown");
    let fillers: Vec<_> = (0..3)
        .filter_map(|_| std::net::TcpStream::connect_timeout(&at_full, Duration::from_millis(300)).ok())
        .collect();
    let registry = Registry::new(&[host("s0", at_full, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["ConnectTimeout"] = json!(50_000.0);
    config["settings"]["Classes"][2]["Slo"] = json!(60_000.0);
    // The requests that check whether the new list is known give up soon.
    config["settings"]["Classes"][0]["Slo"] = json!(800.0);
    let node = Node::start_ready(&config);
    let mut client = Client::connect(&node);
    client.send(&request("slip", "t1", 60_000));
    std::thread::sleep(Duration::from_millis(300));
    let good = TestServer::ok("good");
    let hosts = [host("s1", good.address, "active", 1)];
    registry.publish(2, &hosts, &[host("s0", at_full, "left", 1), hosts[0].clone()]);
    // The list is known once the new server serves other requests.
    wait_until("the new list is known", || {
        Client::connect(&node).exchange(&request("look", "t2", 500)).status() == 200
    });
    drop(fillers);
    let removed = TestServer::with_listener(full, |_| Reply::Send(http_response(200, "", "late")));
    assert_eq!(client.receive().expect("no response").body, b"good");
    assert!(removed.requests().is_empty(), "{:?}", removed.requests());
}

/// While discovery is down the node serves by its last list and its reconnects back off.
#[test]
fn the_list_is_kept_while_discovery_is_down_and_updated_once_it_is_back() {
    let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    registry.set_down(true);
    wait_until("the node reconnects to discovery", || registry.calls().len() >= 2);
    let (calls, start) = (registry.calls().len(), Instant::now());
    while start.elapsed() < Duration::from_secs(3) {
        assert_eq!(Client::connect(&node).exchange(&request("look", "t1", 15_000)).body, b"a");
        std::thread::sleep(Duration::from_millis(50));
    }
    let reconnects = registry.calls().len() - calls;
    assert!(reconnects <= 8, "{reconnects} reconnects in 3 s");
    let hosts = [host("s1", b.address, "active", 1)];
    registry.publish(9, &hosts, &[]);
    registry.set_down(false);
    wait_until("the new list is applied", || {
        let response = Client::connect(&node).exchange(&request("look", "t2", 15_000));
        response.body == b"b"
    });
}

/// With `Discovery` set to `automatic`, changes still arrive over a watch, which the node restores when it ends.
#[test]
fn a_pushed_list_is_followed_by_a_watch_that_is_restored() {
    let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Discovery"] = json!("automatic");
    let hosts = [host("s1", b.address, "active", 1)];
    config["known"] = json!({"seq": 1, "whole": true, "hosts": hosts});
    let node = Node::start_ready(&config);
    let mut client = Client::connect(&node);
    let mut get_body = || client.exchange(&request("look", "t1", 15_000)).body;
    assert_eq!(get_body(), b"a", "ready by what discovery sends, not by the saved list");
    registry.set_down(true);
    wait_until("the node has reconnected several times", || registry.calls().len() >= 4);
    assert_eq!(get_body(), b"a");
    registry.publish(9, &hosts, &[]);
    registry.set_down(false);
    wait_until("the new list is applied", || get_body() == b"b");
}

/// With `Discovery` set to `automatic`, discovery answers without delay, so an unanswered request is soon given up.
#[test]
fn an_unanswered_discovery_request_is_retried_soon() {
    let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Discovery"] = json!("automatic");
    let node = Node::start_ready(&config);
    registry.set_unresponsive(true);
    let (calls, start) = (registry.calls().len(), Instant::now());
    wait_until("the node retries", || registry.calls().len() >= calls + 4);
    // Three unanswered requests used to take 13.5 s and more.
    assert!(start.elapsed() < Duration::from_secs(11), "{:?}", start.elapsed());
    registry.publish(9, &[host("s1", b.address, "active", 1)], &[]);
    registry.set_unresponsive(false);
    wait_until("the new list is applied", || {
        Client::connect(&node).exchange(&request("look", "t1", 15_000)).body == b"b"
    });
}

/// On SIGHUP the node follows discovery at the address that the file now names; an unreadable file changes nothing.
#[test]
fn sighup_moves_discovery_without_ending_the_node() {
    for mode in ["subscribe", "automatic"] {
        let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
        let old = Registry::new(&[host("s0", a.address, "active", 1)]);
        let new = Registry::new(&[host("s1", b.address, "active", 1)]);
        let mut config = config(old.address);
        config["settings"]["Discovery"] = json!(mode);
        let mut node = Node::start_ready(&config);
        let mut client = Client::connect(&node);
        let mut get_body = || client.exchange(&request("look", "t1", 15_000)).body;
        assert_eq!(get_body(), b"a");
        for bad in ["", "{", "{\"discovery\": \"nowhere\"}", "{\"discovery\": 7}"] {
            node.reload(bad);
        }
        wait_until("the file is refused", || node.has_logged("SIGHUP"));
        assert_eq!(get_body(), b"a");
        config["discovery"] = json!(new.address.to_string());
        node.reload(&config.to_string());
        wait_until("the new list is applied", || get_body() == b"b");
        wait_until("a watch is open at the new address", || new.watches_started() == 1);
        // Later watches go to the new address, too.
        new.set_down(true);
        let calls = old.calls().len();
        wait_until("the node reconnects", || new.calls().len() >= 2);
        new.set_down(false);
        wait_until("a watch is open again", || new.watches_started() >= 2);
        assert_eq!(old.calls().len(), calls);
        assert!(node.is_running());
    }
}

/// A whole list of an older version does not bring a drained server back, but the drains that it has, and later
/// changes, are applied.
#[test]
fn an_older_list_does_not_restore_a_drained_server() {
    let [a, b, c] = ["a", "b", "c"].map(TestServer::ok);
    let [s0, s1, s2] =
        [("s0", &a), ("s1", &b), ("s2", &c)].map(|(name, p)| host(name, p.address, "active", 1));
    let registry = Registry::new(&[s0.clone(), s1.clone()]);
    let node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    let mut get_body = || client.exchange(&request("look", "t1", 4_000)).body;
    let leaving = |name: &str, p: &TestServer| host(name, p.address, "leaving", 1);
    registry.publish(5, &[leaving("s0", &a), s1], &[leaving("s0", &a)]);
    wait_until("the drain is applied", || (0..4).all(|_| get_body() == b"b"));
    registry.send_raw(&list_line(3, true, &[s0, leaving("s1", &b)]));
    wait_until("the older list is applied", || get_body() != b"b");
    assert_ne!(get_body(), b"a");
    registry.send_raw(&list_line(6, false, &[s2]));
    wait_until("the change is applied", || get_body() == b"c");
}

/// An unreadable line is dropped, and the node requests the whole list.
#[test]
fn an_unreadable_line_makes_the_node_request_the_whole_list() {
    let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    registry.publish(2, &[host("s1", b.address, "active", 1)], &[]);
    registry.send_raw("{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":7}]}");
    wait_until("the whole list is requested", || registry.calls().iter().any(|c| c == "/v1/endpoints"));
    wait_until("it is applied", || {
        Client::connect(&node).exchange(&request("look", "t1", 15_000)).body == b"b"
    });
    assert!(node.has_logged("unreadable"));
}

#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    let server = TestServer::new(|_| Reply::Silence);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    client.send(&request("slip", "t1", 20_000));
    wait_until("the attempt is sent", || server.requests().len() == 1);
    assert_eq!(server.open_connections(), 1);
    let disconnected = Instant::now();
    drop(client);
    wait_until("the attempt is cancelled", || server.open_connections() == 0);
    assert!(disconnected.elapsed() < Duration::from_secs(15), "the deadline ended it, not the disconnect");
}

/// A keep-alive connection that its server has closed is not written to, however late the close shows: an unsafe
/// request would fail without need.
#[test]
fn a_keep_alive_connection_closed_by_its_server_fails_no_request() {
    let server = TestServer::new(|_| Reply::SendAndClose(http_response(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    for n in 0..10 {
        let response = Client::connect(&node).exchange(&request("slip", &format!("t{n}"), 15_000));
        assert_eq!(response.status(), 200, "request {n}");
        wait_until("the server has closed", || server.open_connections() == 0);
    }
    assert_eq!(server.requests().len(), 10);
}

/// The node closes idle connections well before their server would.
#[test]
fn idle_server_connections_close_before_the_keep_alive_time() {
    let server = TestServer::ok("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["Keepalive"] = json!(1500.0);
    let node = Node::start_ready(&config);
    assert_eq!(Client::connect(&node).exchange(&request("look", "t1", 15_000)).status(), 200);
    assert_eq!(server.open_connections(), 1);
    wait_until("the node closes the connection", || server.open_connections() == 0);
}

/// After SIGTERM accepted requests are served, new connections are accepted for a while, then the node exits with 0.
#[test]
fn sigterm_finishes_accepted_requests() {
    let server = TestServer::new(|m| {
        let slow = m.header("x-txn") == Some("slow");
        Reply::SendAfter(Duration::from_millis(if slow { 1500 } else { 0 }), http_response(200, "", "served"))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::start_ready(&config(registry.address));
    let (mut slow, mut idle) = (Client::connect(&node), Client::connect(&node));
    assert_eq!(idle.exchange(&request("slip", "before", 15_000)).status(), 200);
    slow.send(&request("slip", "slow", 15_000));
    wait_until("the slow request is sent", || server.requests().len() == 2);
    node.terminate();
    // A connection that arrives after the signal is served.
    wait_until("the signal has arrived", || {
        Client::connect(&node).exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 503
    });
    let response = Client::connect(&node).exchange(&request("slip", "after", 15_000));
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    let response = slow.receive().expect("no response to an accepted request");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(idle.closed(), "idle connections are closed");
    assert_eq!(node.wait_exit_code(), Some(0));
}

/// With more connections than descriptors, idle ones are closed for new ones and the node goes on serving.
#[test]
fn running_out_of_descriptors_does_not_stop_the_node() {
    let server = TestServer::ok("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    // In the second case the kernel's limit is below the configured one, so that accept fails, too.
    for (configured, actual) in [(64, 256), (256, 48)] {
        let mut config = config(registry.address);
        config["limits"]["sockets"] = json!(configured);
        let mut node = Node::start_listening(&config, Some(actual));
        node.wait_ready();
        let mut idle = Vec::new();
        for n in 0..200 {
            idle.push(Client::connect(&node));
            if n % 20 == 0 {
                let response = Client::connect(&node).exchange(&request("slip", &format!("t{n}"), 20_000));
                assert_eq!(
                    response.status(),
                    200,
                    "configured {configured}, actual {actual}, connection {n}"
                );
            }
        }
        assert!(node.is_running());
        assert!(node.descriptors() <= configured, "{} of {configured}", node.descriptors());
    }
}

/// A burst of new connections on top of many idle ones, while discovery is down, neither exceeds the limit of
/// descriptors nor takes those that are reserved for discovery and servers: when discovery is back, its list is
/// applied.
#[test]
fn a_burst_of_connections_leaves_the_descriptors_reserved_for_servers_and_discovery() {
    let servers = ["a", "b"].map(TestServer::ok);
    let list = |health| {
        ["s0", "s1"].map(|s| {
            host(s, servers[usize::from(s == "s1")].address, if s == "s0" { health } else { "active" }, 1)
        })
    };
    let registry = Registry::new(&list("active"));
    let mut config = config(registry.address);
    config["limits"]["sockets"] = json!(256);
    let node = Node::start_listening(&config, Some(200));
    node.wait_ready();
    let readiness = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut idle: Vec<Client> = (0..140).map(|_| Client::connect(&node)).collect();
    idle.iter_mut().for_each(|client| assert_eq!(client.exchange(readiness).status(), 200));
    registry.set_down(true);
    // Stopped, the node finds the whole burst in its backlog at once.
    node.signal("-STOP");
    let mut burst: Vec<Client> = (0..200).map(|_| Client::connect(&node)).collect();
    burst.iter_mut().for_each(|client| client.send(readiness));
    node.signal("-CONT");
    burst.iter_mut().for_each(|client| assert_eq!(client.receive().map(|m| m.status()), Some(200)));
    assert!(!node.has_logged("accept:"), "it ran out of descriptors");
    registry.publish(2, &list("leaving"), &list("leaving")[..1]);
    registry.set_down(false);
    wait_until("the list is applied", || node.has_logged("list 2"));
    let before = servers[0].requests().len();
    for n in 0..8 {
        assert_eq!(Client::connect(&node).exchange(&request("slip", &format!("t{n}"), 20_000)).status(), 200);
    }
    assert_eq!((servers[0].requests().len(), servers[1].requests().len()), (before, 8));
}

/// While all connections are busy one more waits; once they are idle again, one of them is closed for it.
#[test]
fn a_connection_that_waits_for_room_is_served_once_others_become_idle() {
    let released = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let release = released.clone();
    let server = TestServer::new(move |_| {
        while !released.load(std::sync::atomic::Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        Reply::Send(http_response(200, "", "served"))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["limits"]["sockets"] = json!(32);
    for class in 0..3 {
        config["settings"]["Classes"][class]["Slo"] = json!(100_000.0);
    }
    let node = Node::start_ready(&config);
    let mut busy: Vec<Client> = (0..16)
        .map(|n| {
            let mut client = Client::connect(&node);
            client.send(&request("slip", &format!("t{n}"), 100_000));
            client
        })
        .collect();
    wait_until("attempts are sent", || server.requests().len() == 8);
    let mut next = Client::connect(&node);
    next.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    release.store(true, std::sync::atomic::Ordering::SeqCst);
    for client in &mut busy {
        assert_eq!(client.receive().map(|m| m.status()), Some(200));
    }
    assert_eq!(next.receive().map(|m| m.status()), Some(200));
}

/// Idle connections and ones with half a request, many times more than there is room for, cost neither a request on a
/// new connection nor one that takes long to arrive but makes progress.
#[test]
fn idle_and_stalled_connections_cost_no_request_that_makes_progress() {
    let server = TestServer::ok("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["limits"]["sockets"] = json!(64);
    let node = Node::start_listening(&config, Some(64));
    node.wait_ready();
    let whole = request("slip", "slow", 900);
    let mut slow: Vec<Client> = (0..8).map(|_| Client::connect(&node)).collect();
    let mut stalled = Vec::new();
    // The node allows a request 2.2 s to arrive: on a busy machine ten pieces take a good part of that.
    for (n, piece) in whole.as_bytes().chunks(whole.len().div_ceil(10)).enumerate() {
        for client in &mut slow {
            client.send_bytes(piece);
        }
        for beginning in ["", "GET /look/1 HT", &whole[..whole.len() - 2]].repeat(3) {
            let mut client = Client::connect(&node);
            client.send(beginning);
            stalled.push(client);
        }
        let sent_at = Instant::now();
        assert_eq!(Client::connect(&node).exchange(&request("look", &format!("t{n}"), 5000)).status(), 200);
        assert!(sent_at.elapsed() < Duration::from_secs(2), "{:?}", sent_at.elapsed());
        std::thread::sleep(Duration::from_millis(30));
    }
    for client in &mut slow {
        assert_eq!(client.receive().map(|m| m.status()), Some(200));
    }
}

/// A connection that brings no whole request is closed soon; one that has had a response may stay idle.
#[test]
fn connections_without_a_whole_request_are_closed_soon() {
    let server = TestServer::ok("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let mut answered = Client::connect(&node);
    assert_eq!(answered.exchange(&request("look", "t1", 15_000)).status(), 200);
    let whole = request("slip", "t2", 15_000);
    let mut incomplete: Vec<Client> = ["", "G", "GET /look", &whole[..whole.len() - 2]]
        .iter()
        .map(|beginning| {
            let mut client = Client::connect(&node);
            client.send(beginning);
            client
        })
        .collect();
    let connected = Instant::now();
    for client in &mut incomplete {
        // A client that sent a whole head gets a 408, the others may get no response.
        assert!(matches!(client.receive().map(|m| m.status()), None | Some(408)));
        assert!(client.closed());
    }
    // The node allows 3 s, formerly 10 s; the bound lies between, to leave a busy machine some time.
    assert!(connected.elapsed() < Duration::from_secs(7), "{:?}", connected.elapsed());
    assert_eq!(answered.exchange(&request("look", "t3", 15_000)).status(), 200);
    assert_eq!(server.requests().len(), 2);
}

/// Bytes that a server sends after a response are not taken for the response to the next request.
#[test]
fn extra_bytes_after_a_response_do_not_answer_the_next_request() {
    for chunked in [false, true] {
        let server = TestServer::new(move |m| {
            let txn = m.header("x-txn").unwrap_or("?");
            let response = if chunked {
                format!(
                    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{txn}\r\n0\r\n\r\n",
                    txn.len()
                )
            } else {
                String::from_utf8(http_response(200, "", txn)).expect("not UTF-8")
            };
            Reply::Send(response.repeat(2).into_bytes())
        });
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let node = Node::start_ready(&config(registry.address));
        let mut client = Client::connect(&node);
        for n in 0..6 {
            let txn = format!("t{n}");
            let response = client.exchange(&request("slip", &txn, 15_000));
            assert_eq!((response.status(), response.body), (200, txn.into_bytes()));
        }
    }
}

/// After SIGTERM a request whose deadline lies beyond the end of the process is still answered.
#[test]
fn sigterm_answers_requests_that_cannot_finish_in_time() {
    let server = TestServer::new(|_| Reply::Silence);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    client.send(&request("slip", "t1", 25_000));
    wait_until("the attempt is sent", || server.requests().len() == 1);
    node.terminate();
    assert_eq!(client.receive().expect("no response").status(), 502);
    assert_eq!(node.wait_exit_code(), Some(0));
}

/// A watch that stays open without sending anything counts as a dead link: the node opens another.
#[test]
fn a_silent_watch_is_replaced() {
    let server = TestServer::ok("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    wait_until("the watch is open", || registry.watches_started() == 1);
    registry.silence_watches();
    wait_until("the node opens another watch", || registry.watches_started() >= 2);
    assert_eq!(Client::connect(&node).exchange(&request("look", "t1", 15_000)).status(), 200);
}

/// The connection stays usable after a rejected request.
#[test]
fn invalid_requests_are_rejected_at_once_without_an_attempt() {
    let server = TestServer::ok("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let valid = request("slip", "t1", 15_000);
    let keyed = request("pay", "t1", 15_000);
    let cases = [
        (400, valid.replace("X-Txn: t1\r\n", "")),
        (400, valid.replace("X-Txn: t1", "X-Txn:")),
        (400, valid.replace("X-Txn: t1", "X-Txn: a b")),
        (400, valid.replace("X-Txn: t1", "X-Txn: t1\r\nX-Txn: t2")),
        (400, valid.replace("X-Remaining-Ms: 15000\r\n", "")),
        (400, valid.replace("X-Remaining-Ms: 15000", "X-Remaining-Ms: soon")),
        (400, valid.replace("X-Remaining-Ms: 15000", "X-Remaining-Ms: -5")),
        (400, valid.replace("POST", "PUT")),
        (400, request("look", "t1", 15_000).replace("GET", "POST")),
        (400, keyed.replace("Idempotency-Key: k1\r\n", "")),
        (404, valid.replace("/slip/", "/slipper/")),
        (404, valid.replace("/slip/7?q=a%20b", "/")),
    ];
    for (status, invalid) in cases {
        let mut client = Client::connect(&node);
        let sent_at = Instant::now();
        assert_eq!(client.exchange(&invalid).status(), status, "{invalid}");
        assert!(sent_at.elapsed() < Duration::from_secs(10), "{invalid}");
        assert_eq!(server.requests().len(), 0, "{invalid}");
    }
    let too_long = valid.replace("Content-Length: 4\r\n\r\nwork", "Content-Length: 33554433\r\n\r\n");
    assert_eq!(Client::connect(&node).exchange(&too_long).status(), 413);
    assert_eq!(Client::connect(&node).exchange(&(too_long + &"x".repeat(65_537))).status(), 413);
    assert_eq!(server.requests().len(), 0);
    // A connection with a rejected request still serves the next one.
    let mut client = Client::connect(&node);
    assert_eq!(client.exchange(&request("look", "t1", 15_000).replace("/look/", "/lock/")).status(), 404);
    assert_eq!(client.exchange(&valid).status(), 200);
}

/// A node that starts with a saved list while discovery is down serves by that list.
#[test]
fn a_node_serves_by_its_saved_list_while_discovery_is_down() {
    let refusing = RefusingAddress::new();
    let good = TestServer::ok("a");
    let registry = Registry::new(&[]);
    registry.set_down(true);
    let mut config = config(registry.address);
    let hosts = [host("s0", refusing.address, "active", 1), host("s1", good.address, "active", 1)];
    config["known"] = json!({"seq": 41, "whole": true, "hosts": hosts});
    let node = Node::start_ready(&config);
    for n in 0..4 {
        assert_eq!(Client::connect(&node).exchange(&request("slip", &format!("t{n}"), 15_000)).body, b"a");
    }
    wait_until("it watches from the version of the saved list", || {
        registry.calls().iter().any(|c| c.contains("from=41"))
    });
}

/// All nodes sort the servers in the same order, whatever their order in the list.
#[test]
fn turns_do_not_depend_on_the_order_of_the_list() {
    let servers = ["a", "b", "c", "d"].map(TestServer::ok);
    let mut hosts: Vec<Value> =
        servers.iter().enumerate().map(|(n, s)| host(&format!("s{n}"), s.address, "active", 1)).collect();
    let turns = |hosts: &[Value]| -> Vec<Vec<u8>> {
        let registry = Registry::new(hosts);
        let node = Node::start_ready(&config(registry.address));
        let mut client = Client::connect(&node);
        (0..8).map(|n| client.exchange(&request("look", &format!("t{n}"), 15_000)).body).collect()
    };
    let first = turns(&hosts);
    assert_eq!(first[..4], first[4..], "round robin");
    assert_eq!(first[..4].iter().collect::<BTreeSet<_>>().len(), 4, "each server has its turn");
    hosts.reverse();
    assert_eq!(turns(&hosts), first);
}

/// Nobody reads the standard error of the node; once its queue of log lines is full, further ones are dropped.
#[test]
fn a_log_that_nobody_reads_delays_no_request_and_counts_dropped_lines() {
    let failing = TestServer::new(|_| Reply::Send(http_response(500, "", "")));
    let registry = Registry::new(&[host("s0", failing.address, "active", 0)]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let (node, log) = Node::start_with_full_log(&config(registry.address), &listener);
    let mut client = Client::connect(&node);
    // The node logs at most 21 lines in half a second and queues 256: the queue is full after 6.5 s, or in less than 12
    // if the machine has half its time for this test.
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < Duration::from_secs(12) {
        sent += 1;
        let sent_at = Instant::now();
        client.exchange(&request("slip", &format!("t{sent}"), 5000));
        assert!(sent_at.elapsed() < Duration::from_secs(2), "request {sent} was delayed");
        std::thread::sleep(Duration::from_millis(5));
    }
    log.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout cannot be set");
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("lines dropped so far")));
}

/// A bad configuration ends the program with one line that names the field.
#[test]
fn a_bad_configuration_names_the_field() {
    let valid = config("127.0.0.1:1".parse().expect("not an address"));
    type Spoil = fn(&mut Value);
    let cases: [(&str, Spoil); 6] = [
        ("listen", |c| c["listen"] = json!("nowhere")),
        ("discovery", |c| c["discovery"] = json!(null)),
        ("seed", |c| c["seed"] = json!("xyz")),
        ("ConnectTimeout", |c| c["settings"]["Limits"]["ConnectTimeout"] = json!("long")),
        ("limits.sockets", |c| c["limits"]["sockets"] = json!("many")),
        ("known", |c| c["known"] = json!({"seq": 1, "whole": true, "hosts": [{"host": "a"}]})),
    ];
    for (field, spoil) in cases {
        let mut config = valid.clone();
        spoil(&mut config);
        let (code, errors) = run_to_exit(&config, &[]);
        assert!(code.is_some_and(|c| c != 0), "{field}: {code:?}");
        assert!(errors.contains(field) && errors.contains("; "), "{field}: {errors}");
        assert_eq!(errors.trim().lines().count(), 1, "{errors}");
    }
}
