//! The real program on loopback sockets, between scripted peers.

mod peers;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

/// Servers that answer the first attempt of every request in one way, and serve further ones.
fn twice(first: impl Fn() -> Reply + Send + Sync + Clone + 'static) -> [TestServer; 2] {
    let tried = std::sync::Arc::new(Mutex::new(BTreeSet::new()));
    [(); 2].map(|()| {
        let (tried, first) = (tried.clone(), first.clone());
        TestServer::new(move |m| {
            let txn = m.header("x-txn").unwrap_or_default().to_string();
            if m.path() != "/health" && tried.lock().expect("no panic").insert(txn) {
                first()
            } else {
                Reply::Send(http_response(200, "", "served"))
            }
        })
    })
}

/// Asks once in a class and gives the status, and how many attempts reached servers.
fn outcome(
    class: &str,
    cells: [u64; 2],
    first: impl Fn() -> Reply + Send + Sync + Clone + 'static,
) -> (u16, usize) {
    let first_never_ran = matches!(first(), Reply::Send(bytes) if bytes.windows(13).any(|w| w == b"X-Turned-Away")
        && !bytes.starts_with(b"HTTP/1.1 404"));
    let servers = twice(first);
    let hosts: Vec<Value> =
        (0..2).map(|n| host(&format!("s{n}"), servers[n].address, "active", cells[n])).collect();
    let registry = Registry::new(&hosts);
    let node = Node::start_ready(&config(registry.address));
    let heard = Client::connect(&node).exchange(&request(class, "t1", 15_000));
    if heard.status() == 200 {
        assert_eq!(heard.body, b"served");
    }
    let seen = servers.each_ref().map(|s| s.requests().len());
    if class == "pay" && cells[0] != cells[1] && !matches!(seen, [0, _] | [_, 0]) {
        assert!(first_never_ran, "a keyed request left its cell: {seen:?}");
    }
    (heard.status(), seen.iter().sum())
}

/// What proves that the request never ran is repeated in every class; anything else only where a repeat does
/// no harm.
#[test]
fn outcomes_that_may_have_run_are_repeated_only_where_that_is_harmless() {
    let away = "X-Turned-Away: 1\r\n";
    let may_have_run: [fn() -> Reply; 8] = [
        || Reply::Send(http_response(500, "", "")),
        || Reply::Send(http_response(503, "", "")),
        || Reply::Send(http_response(404, "X-Turned-Away: 1\r\n", "")),
        || Reply::SendAndClose(Vec::new()),
        || Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ncut".to_vec()),
        || Reply::SendAndClose(b"HTP/banana\r\n\r\n".to_vec()),
        // Chunks that can't be read, on a connection that stands.
        || Reply::Send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nserved\r\n".to_vec()),
        || Reply::Send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n".to_vec()),
    ];
    for (n, first) in may_have_run.into_iter().enumerate() {
        assert_eq!(outcome("look", [1, 1], first), (200, 2), "safe, case {n}");
        assert_eq!(outcome("pay", [1, 1], first), (200, 2), "keyed, one cell, case {n}");
        // Alone in its cell, a server that is up gets the repeat itself; no other may.
        assert_eq!(outcome("pay", [1, 2], first), (200, 2), "keyed, two cells, case {n}");
        assert_eq!(outcome("slip", [1, 1], first), (502, 1), "unsafe, case {n}");
    }
    for status in [503, 504] {
        for class in ["look", "pay", "slip"] {
            let first = move || Reply::Send(http_response(status, away, ""));
            assert_eq!(outcome(class, [1, 2], first), (200, 2), "{class} turned away with {status}");
        }
    }
}

/// A refused connection never ran: the request goes to the other server, also an unsafe one.
/// Such a request was sent to five servers in turn, and its failures ejected them.
#[test]
fn a_request_that_servers_find_at_fault_is_sent_once_and_held_against_none() {
    let servers = [(); 2].map(|()| {
        TestServer::new(|m| {
            let unknown = m.header("x-txn").is_some_and(|txn| txn.starts_with("unknown"));
            Reply::Send(if unknown { http_response(400, "", "") } else { http_response(200, "", "served") })
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
    let seen: usize = servers.iter().map(|s| s.requests().len()).sum();
    assert_eq!((seen, metric(&node, "targets_disabled")), (12, 0));
    assert_eq!(client.exchange(&request("slip", "t1", 5000)).status(), 200);
}

#[test]
fn a_refused_connection_costs_no_request() {
    let dead = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let good = TestServer::ok("good");
    let registry = Registry::new(&[host("s0", dead, "active", 1), host("s1", good.address, "active", 2)]);
    let node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    for n in 0..4 {
        assert_eq!(client.exchange(&request("slip", &format!("t{n}"), 15_000)).status(), 200);
    }
    assert_eq!(good.requests().len(), 4);
}

/// Request and answer go through unchanged, and each request on a kept connection gets one answer.
#[test]
fn bytes_pass_unchanged_and_each_request_has_one_answer() {
    let server = TestServer::new(|m| {
        Reply::Send(http_response(200, "", &format!("for {}", m.header("x-txn").unwrap_or("?"))))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    for n in 0..5 {
        let heard = client.exchange(&request("pay", &format!("t{n}"), 15_000));
        assert_eq!((heard.status(), heard.body), (200, format!("for t{n}").into_bytes()));
        // A connection rests behind an answer.
        std::thread::sleep(REUSE_DELAY);
    }
    let seen = server.requests();
    assert_eq!(seen.len(), 5);
    for (n, m) in seen.iter().enumerate() {
        assert!(m.head.starts_with("POST /pay/7?q=a%20b HTTP/1.1\r\n"), "{}", m.head);
        assert_eq!(m.header("x-txn"), Some(format!("t{n}").as_str()));
        assert_eq!(m.header("idempotency-key"), Some("k1"));
        assert_eq!(m.body, b"work");
        let left: u64 = m.header("x-remaining-ms").and_then(|v| v.parse().ok()).expect("the time left");
        assert!((1..15_000).contains(&left), "{left}");
    }
    // One connection serves them all, the one used last.
    assert!(seen.iter().all(|m| m.connection == seen[0].connection));
}

/// A server that never answers: the client has its answer when its time is up, and it is no refusal.
#[test]
fn a_silent_server_does_not_hold_the_answer_past_the_deadline() {
    let server = TestServer::new(|_| Reply::Silence);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let asked = Instant::now();
    let heard = Client::connect(&node).exchange(&request("slip", "t1", 1500));
    assert!(asked.elapsed() < Duration::from_millis(4000), "{:?}", asked.elapsed());
    assert_eq!(heard.status(), 502);
    assert_eq!(server.requests().len(), 1);
    wait_until("the attempt's connection is closed", || server.open_connections() == 0);
}

/// A refusal comes at once and says when to come back.
#[test]
fn a_refusal_carries_the_modules_span() {
    let registry = Registry::new(&[]);
    let node = Node::start_ready(&config(registry.address));
    let heard = Client::connect(&node).exchange(&request("slip", "t1", 15_000));
    assert_eq!(heard.status(), 503);
    let span: f64 = heard.header("retry-after").and_then(|v| v.parse().ok()).expect("a span");
    assert!(span > 0.0 && span <= 2.0, "{span}");
}

/// From the line that tells of it, a server that drains or is gone gets nothing new.
#[test]
fn a_drain_holds_from_the_line_that_tells_it() {
    let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
    let (at_a, at_b) = (a.address, b.address);
    let both = [host("s0", at_a, "active", 1), host("s1", at_b, "active", 1)];
    for health in ["leaving", "left"] {
        let registry = Registry::new(&both);
        let node = Node::start_ready(&config(registry.address));
        let mut client = Client::connect(&node);
        let mut ask = |n: usize| {
            let heard = client.exchange(&request("look", &format!("t{n}"), 15_000));
            assert_eq!(heard.status(), 200);
            heard.body
        };
        let first: BTreeSet<Vec<u8>> = (0..4).map(&mut ask).collect();
        assert_eq!(first.len(), 2, "both have turns");
        registry.publish(2, &both[1..], &[host("s0", at_a, health, 1)]);
        // The line is read when the turns stop going to both.
        wait_until("the drain is known", || ask(0) == b"b" && ask(0) == b"b");
        assert!((0..10).all(|n| ask(n) == b"b"));
    }
}

/// A connection to where a server was is of no use once the list has it elsewhere, also if it was busy then.
#[test]
fn a_server_that_moves_is_not_reached_where_it_was() {
    let open = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let gate = open.clone();
    let old = TestServer::new(move |m| {
        while m.header("x-txn") == Some("slow") && !gate.load(std::sync::atomic::Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        Reply::Send(http_response(200, "", "old"))
    });
    let new = TestServer::ok("new");
    let registry = Registry::new(&[host("s0", old.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let (mut slow, mut client) = (Client::connect(&node), Client::connect(&node));
    slow.send(&request("slip", "slow", 15_000));
    wait_until("the slow one is out", || old.requests().len() == 1);
    let moved = [host("s0", new.address, "active", 1)];
    registry.publish(2, &moved, &moved);
    wait_until("the move is known", || client.exchange(&request("look", "t1", 15_000)).body == b"new");
    open.store(true, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(slow.receive().expect("an answer").body, b"old");
    assert_eq!(client.exchange(&request("look", "t2", 15_000)).body, b"new");
}

/// A send that waits for its connection is not written to a server that drains meanwhile.
#[test]
fn a_drain_reaches_sends_that_wait_for_a_connection() {
    // A listener whose backlog is full lets nobody in until it accepts.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(0).expect("it listens");
    let full: TcpListener = socket.into();
    let at_full = full.local_addr().expect("bound");
    let fillers: Vec<_> = (0..3)
        .filter_map(|_| std::net::TcpStream::connect_timeout(&at_full, Duration::from_millis(300)).ok())
        .collect();
    let registry = Registry::new(&[host("s0", at_full, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["ConnectTimeout"] = json!(50_000.0);
    config["settings"]["Classes"][2]["Slo"] = json!(60_000.0);
    // Those that ask whether the list is known give up soon.
    config["settings"]["Classes"][0]["Slo"] = json!(800.0);
    let node = Node::start_ready(&config);
    let mut client = Client::connect(&node);
    client.send(&request("slip", "t1", 60_000));
    std::thread::sleep(Duration::from_millis(300));
    let good = TestServer::ok("good");
    let hosts = [host("s1", good.address, "active", 1)];
    registry.publish(2, &hosts, &[host("s0", at_full, "left", 1), hosts[0].clone()]);
    // Known once others are served by the new one.
    wait_until("the list is known", || {
        Client::connect(&node).exchange(&request("look", "t2", 500)).status() == 200
    });
    drop(fillers);
    let late = TestServer::on(full, |_| Reply::Send(http_response(200, "", "late")));
    assert_eq!(client.receive().expect("an answer").body, b"good");
    assert!(late.requests().is_empty(), "{:?}", late.requests());
}

/// Discovery goes down: the list is kept, calls back off; back up, its news count.
#[test]
fn discovery_lost_and_back() {
    let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    registry.set_down(true);
    wait_until("the node calls again", || registry.calls().len() >= 2);
    let (calls, start) = (registry.calls().len(), Instant::now());
    while start.elapsed() < Duration::from_secs(3) {
        assert_eq!(Client::connect(&node).exchange(&request("look", "t1", 15_000)).body, b"a");
        std::thread::sleep(Duration::from_millis(50));
    }
    let storm = registry.calls().len() - calls;
    assert!(storm <= 8, "{storm} calls in 3 s");
    let hosts = [host("s1", b.address, "active", 1)];
    registry.publish(9, &hosts, &[]);
    registry.set_down(false);
    wait_until("the new list counts", || {
        let heard = Client::connect(&node).exchange(&request("look", "t2", 15_000));
        heard.body == b"b"
    });
}

/// Where the settings say that changes come unprompted, they still come over a watch, which the node keeps up.
#[test]
fn a_pushed_list_is_watched_and_watched_again() {
    let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Discovery"] = json!("automatic");
    let hosts = [host("s1", b.address, "active", 1)];
    config["known"] = json!({"seq": 1, "whole": true, "hosts": hosts});
    let node = Node::start_ready(&config);
    let mut client = Client::connect(&node);
    let mut ask = || client.exchange(&request("look", "t1", 15_000)).body;
    assert_eq!(ask(), b"a", "ready once discovery has answered, not by the saved list");
    registry.set_down(true);
    wait_until("the node calls again, and again", || registry.calls().len() >= 4);
    assert_eq!(ask(), b"a");
    registry.publish(9, &hosts, &[]);
    registry.set_down(false);
    wait_until("the new list counts", || ask() == b"b");
}

/// Where changes come unprompted, discovery answers without delay: a call that it leaves unanswered is soon given up.
#[test]
fn a_call_that_stays_unanswered_is_soon_made_again() {
    let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Discovery"] = json!("automatic");
    let node = Node::start_ready(&config);
    registry.set_unresponsive(true);
    let (calls, start) = (registry.calls().len(), Instant::now());
    wait_until("the node calls again", || registry.calls().len() >= calls + 4);
    // Three calls that were left: 13.5 s and more before.
    assert!(start.elapsed() < Duration::from_secs(11), "{:?}", start.elapsed());
    registry.publish(9, &[host("s1", b.address, "active", 1)], &[]);
    registry.set_unresponsive(false);
    wait_until("the new list counts", || {
        Client::connect(&node).exchange(&request("look", "t1", 15_000)).body == b"b"
    });
}

/// SIGHUP: discovery is followed to where the file says that it is now; a file that can't be read ends nothing.
#[test]
fn sighup_moves_discovery_and_ends_nothing() {
    for way in ["subscribe", "automatic"] {
        let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
        let old = Registry::new(&[host("s0", a.address, "active", 1)]);
        let new = Registry::new(&[host("s1", b.address, "active", 1)]);
        let mut config = config(old.address);
        config["settings"]["Discovery"] = json!(way);
        let mut node = Node::start_ready(&config);
        let mut client = Client::connect(&node);
        let mut ask = || client.exchange(&request("look", "t1", 15_000)).body;
        assert_eq!(ask(), b"a");
        for bad in ["", "{", "{\"discovery\": \"nowhere\"}", "{\"discovery\": 7}"] {
            node.reload(bad);
        }
        wait_until("the file is refused", || node.has_logged("SIGHUP"));
        assert_eq!(ask(), b"a");
        config["discovery"] = json!(new.address.to_string());
        node.reload(&config.to_string());
        wait_until("the new list counts", || ask() == b"b");
        wait_until("a watch stands there", || new.watches_started() == 1);
        // The move holds for the watches to come.
        new.set_down(true);
        let calls = old.calls().len();
        wait_until("the node calls again", || new.calls().len() >= 2);
        new.set_down(false);
        wait_until("a watch stands", || new.watches_started() >= 2);
        assert_eq!(old.calls().len(), calls);
        assert!(node.is_running());
    }
}

/// A list that falls behind what it told before brings no server back that was told to drain; that one drains, and
/// news, still count.
#[test]
fn an_older_list_brings_no_drained_server_back() {
    let [a, b, c] = ["a", "b", "c"].map(TestServer::ok);
    let [s0, s1, s2] =
        [("s0", &a), ("s1", &b), ("s2", &c)].map(|(name, p)| host(name, p.address, "active", 1));
    let registry = Registry::new(&[s0.clone(), s1.clone()]);
    let node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    let mut ask = || client.exchange(&request("look", "t1", 4_000)).body;
    let leaving = |name: &str, p: &TestServer| host(name, p.address, "leaving", 1);
    registry.publish(5, &[leaving("s0", &a), s1], &[leaving("s0", &a)]);
    wait_until("the drain counts", || (0..4).all(|_| ask() == b"b"));
    registry.send_raw(&list_line(3, true, &[s0, leaving("s1", &b)]));
    wait_until("the older list counts", || ask() != b"b");
    assert_ne!(ask(), b"a");
    registry.send_raw(&list_line(6, false, &[s2]));
    wait_until("the news count", || ask() == b"c");
}

/// A line that can't be read is dropped, and the whole list asked for.
#[test]
fn a_bad_line_makes_the_node_ask_for_the_whole_list() {
    let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    registry.publish(2, &[host("s1", b.address, "active", 1)], &[]);
    registry.send_raw("{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":7}]}");
    wait_until("the whole list is asked for", || registry.calls().iter().any(|c| c == "/v1/endpoints"));
    wait_until("it counts", || Client::connect(&node).exchange(&request("look", "t1", 15_000)).body == b"b");
    assert!(node.has_logged("unreadable"));
}

/// A client that leaves has its attempts called off.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let server = TestServer::new(|_| Reply::Silence);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    client.send(&request("slip", "t1", 20_000));
    wait_until("the attempt is out", || server.requests().len() == 1);
    assert_eq!(server.open_connections(), 1);
    let left = Instant::now();
    drop(client);
    wait_until("the attempt is called off", || server.open_connections() == 0);
    assert!(left.elapsed() < Duration::from_secs(15), "that was the deadline, not the close");
}

/// A kept connection that its server has closed is not written to, however late that shows: an unsafe request
/// would fail for nothing.
#[test]
fn a_stale_kept_connection_fails_nobody() {
    let server = TestServer::new(|_| Reply::SendAndClose(http_response(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    for n in 0..10 {
        let heard = Client::connect(&node).exchange(&request("slip", &format!("t{n}"), 15_000));
        assert_eq!(heard.status(), 200, "request {n}");
        wait_until("the server has closed", || server.open_connections() == 0);
    }
    assert_eq!(server.requests().len(), 10);
}

/// Idle connections are closed well before their server would.
#[test]
fn idle_connections_end_before_the_servers_keep_alive() {
    let server = TestServer::ok("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["Keepalive"] = json!(1500.0);
    let node = Node::start_ready(&config);
    assert_eq!(Client::connect(&node).exchange(&request("look", "t1", 15_000)).status(), 200);
    assert_eq!(server.open_connections(), 1);
    wait_until("the node closes it", || server.open_connections() == 0);
}

/// SIGTERM: what was taken is served, connections still come for a while, then the node ends with 0.
#[test]
fn sigterm_finishes_what_was_taken() {
    let server = TestServer::new(|m| {
        let long = m.header("x-txn") == Some("slow");
        Reply::SendAfter(Duration::from_millis(if long { 1500 } else { 0 }), http_response(200, "", "served"))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::start_ready(&config(registry.address));
    let (mut slow, mut kept) = (Client::connect(&node), Client::connect(&node));
    assert_eq!(kept.exchange(&request("slip", "before", 15_000)).status(), 200);
    slow.send(&request("slip", "slow", 15_000));
    wait_until("the slow one is out", || server.requests().len() == 2);
    node.terminate();
    // A connection that comes behind the signal is served, and so is one that was kept.
    wait_until("the signal has come", || {
        Client::connect(&node).exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 503
    });
    let heard = Client::connect(&node).exchange(&request("slip", "after", 15_000));
    assert_eq!((heard.status(), heard.header("connection")), (200, Some("close")));
    let heard = slow.receive().expect("what was taken is answered");
    assert_eq!((heard.status(), heard.header("connection")), (200, Some("close")));
    assert!(kept.closed(), "idle connections are closed");
    assert_eq!(node.wait_exit_code(), Some(0));
}

/// More connections than descriptors: idle ones make room, and the node goes on serving.
#[test]
fn descriptors_that_run_out_do_not_stop_the_node() {
    let server = TestServer::ok("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    // The kernel's limit is lower than the told one: accepting fails, too.
    for (told, real) in [(64, 256), (256, 48)] {
        let mut config = config(registry.address);
        config["limits"]["sockets"] = json!(told);
        let mut node = Node::start_listening(&config, Some(real));
        node.wait_ready();
        let mut crowd = Vec::new();
        for n in 0..200 {
            crowd.push(Client::connect(&node));
            if n % 20 == 0 {
                let heard = Client::connect(&node).exchange(&request("slip", &format!("t{n}"), 20_000));
                assert_eq!(heard.status(), 200, "told {told}, real {real}, connection {n}");
            }
        }
        assert!(node.is_running());
        assert!(node.descriptors() <= told, "{} of {told}", node.descriptors());
    }
}

/// A burst of connections on a house full of idle ones, while discovery is down: no more descriptors are taken than there
/// are, and those of discovery and of servers are left to them. The list is taken at the return.
#[test]
fn a_crowd_takes_no_descriptor_that_is_not_free_yet() {
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
    let ask = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut crowd: Vec<Client> = (0..140).map(|_| Client::connect(&node)).collect();
    crowd.iter_mut().for_each(|client| assert_eq!(client.exchange(ask).status(), 200));
    registry.set_down(true);
    // All that it finds in its backlog comes in one turn.
    node.signal("-STOP");
    let mut burst: Vec<Client> = (0..200).map(|_| Client::connect(&node)).collect();
    burst.iter_mut().for_each(|client| client.send(ask));
    node.signal("-CONT");
    burst.iter_mut().for_each(|client| assert_eq!(client.receive().map(|m| m.status()), Some(200)));
    assert!(!node.has_logged("accept:"), "it ran out of descriptors");
    registry.publish(2, &list("leaving"), &list("leaving")[..1]);
    registry.set_down(false);
    wait_until("the list is taken", || node.has_logged("list 2"));
    let before = servers[0].requests().len();
    for n in 0..8 {
        assert_eq!(Client::connect(&node).exchange(&request("slip", &format!("t{n}"), 20_000)).status(), 200);
    }
    assert_eq!((servers[0].requests().len(), servers[1].requests().len()), (before, 8));
}

/// All connections busy, and one more waits: once they are idle again, one of them makes room for it.
#[test]
fn a_crowd_of_busy_connections_does_not_shut_out_the_next() {
    let open = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let gate = open.clone();
    let server = TestServer::new(move |_| {
        while !gate.load(std::sync::atomic::Ordering::SeqCst) {
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
    let mut crowd: Vec<Client> = (0..16)
        .map(|n| {
            let mut client = Client::connect(&node);
            client.send(&request("slip", &format!("t{n}"), 100_000));
            client
        })
        .collect();
    wait_until("attempts are out", || server.requests().len() == 8);
    let mut next = Client::connect(&node);
    next.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    open.store(true, std::sync::atomic::Ordering::SeqCst);
    for client in &mut crowd {
        assert_eq!(client.receive().map(|m| m.status()), Some(200));
    }
    assert_eq!(next.receive().map(|m| m.status()), Some(200));
}

/// Idle and half-written connections, many times more than there is room for, cost neither a request on a new
/// connection nor one that takes 2 s to come, but keeps coming.
#[test]
fn a_crowd_costs_no_request_that_keeps_coming() {
    let server = TestServer::ok("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["limits"]["sockets"] = json!(64);
    let node = Node::start_listening(&config, Some(64));
    node.wait_ready();
    let words = request("slip", "slow", 900);
    let mut slow: Vec<Client> = (0..8).map(|_| Client::connect(&node)).collect();
    let mut crowd = Vec::new();
    // The node gives a request 2.2 s to come: on a busy machine ten pieces take a good part of that.
    for (n, piece) in words.as_bytes().chunks(words.len().div_ceil(10)).enumerate() {
        for client in &mut slow {
            client.send_bytes(piece);
        }
        for begun in ["", "GET /look/1 HT", &words[..words.len() - 2]].repeat(3) {
            let mut stranger = Client::connect(&node);
            stranger.send(begun);
            crowd.push(stranger);
        }
        let asked = Instant::now();
        assert_eq!(Client::connect(&node).exchange(&request("look", &format!("t{n}"), 5000)).status(), 200);
        assert!(asked.elapsed() < Duration::from_secs(2), "{:?}", asked.elapsed());
        std::thread::sleep(Duration::from_millis(30));
    }
    for client in &mut slow {
        assert_eq!(client.receive().map(|m| m.status()), Some(200));
    }
}

/// Whoever sends no whole request is let go soon; who has had an answer may stay.
#[test]
fn connections_without_a_request_are_closed_soon() {
    let server = TestServer::ok("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let mut kept = Client::connect(&node);
    assert_eq!(kept.exchange(&request("look", "t1", 15_000)).status(), 200);
    let whole = request("slip", "t2", 15_000);
    let mut strangers: Vec<Client> = ["", "G", "GET /look", &whole[..whole.len() - 2]]
        .iter()
        .map(|words| {
            let mut client = Client::connect(&node);
            client.send(words);
            client
        })
        .collect();
    let came = Instant::now();
    for client in &mut strangers {
        // An answer is owed to none; one that brought a whole head is told.
        assert!(matches!(client.receive().map(|m| m.status()), None | Some(408)));
        assert!(client.closed());
    }
    // 3 s are allowed and the old limit was 10 s; between them lies what a busy machine needs.
    assert!(came.elapsed() < Duration::from_secs(7), "{:?}", came.elapsed());
    assert_eq!(kept.exchange(&request("look", "t3", 15_000)).status(), 200);
    assert_eq!(server.requests().len(), 2);
}

/// What comes behind an answer is not the answer to the next request.
#[test]
fn bytes_behind_an_answer_do_not_answer_the_next_request() {
    for chunked in [false, true] {
        let server = TestServer::new(move |m| {
            let txn = m.header("x-txn").unwrap_or("?");
            let one = if chunked {
                format!(
                    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{txn}\r\n0\r\n\r\n",
                    txn.len()
                )
            } else {
                String::from_utf8(http_response(200, "", txn)).expect("text")
            };
            Reply::Send(one.repeat(2).into_bytes())
        });
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let node = Node::start_ready(&config(registry.address));
        let mut client = Client::connect(&node);
        for n in 0..6 {
            let txn = format!("t{n}");
            let heard = client.exchange(&request("slip", &txn, 15_000));
            assert_eq!((heard.status(), heard.body), (200, txn.into_bytes()));
        }
    }
}

/// A request whose deadline lies beyond the end has its answer all the same.
#[test]
fn sigterm_answers_what_can_not_be_finished() {
    let server = TestServer::new(|_| Reply::Silence);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    client.send(&request("slip", "t1", 25_000));
    wait_until("the attempt is out", || server.requests().len() == 1);
    node.terminate();
    assert_eq!(client.receive().expect("an answer").status(), 502);
    assert_eq!(node.wait_exit_code(), Some(0));
}

/// A watch that stays open and says nothing is a dead link: the node calls again.
#[test]
fn a_silent_watch_is_given_up() {
    let server = TestServer::ok("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    wait_until("the watch stands", || registry.watches_started() == 1);
    registry.silence_watches();
    wait_until("the node calls again", || registry.watches_started() >= 2);
    assert_eq!(Client::connect(&node).exchange(&request("look", "t1", 15_000)).status(), 200);
}

/// What can't be used is answered at once, without an attempt, and the connection stays of use.
#[test]
fn bad_requests_are_answered_at_once() {
    let server = TestServer::ok("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let good = request("slip", "t1", 15_000);
    let keyed = request("pay", "t1", 15_000);
    let cases = [
        (400, good.replace("X-Txn: t1\r\n", "")),
        (400, good.replace("X-Txn: t1", "X-Txn:")),
        (400, good.replace("X-Txn: t1", "X-Txn: a b")),
        (400, good.replace("X-Txn: t1", "X-Txn: t1\r\nX-Txn: t2")),
        (400, good.replace("X-Remaining-Ms: 15000\r\n", "")),
        (400, good.replace("X-Remaining-Ms: 15000", "X-Remaining-Ms: soon")),
        (400, good.replace("X-Remaining-Ms: 15000", "X-Remaining-Ms: -5")),
        (400, good.replace("POST", "PUT")),
        (400, request("look", "t1", 15_000).replace("GET", "POST")),
        (400, keyed.replace("Idempotency-Key: k1\r\n", "")),
        (404, good.replace("/slip/", "/slipper/")),
        (404, good.replace("/slip/7?q=a%20b", "/")),
    ];
    for (status, words) in cases {
        let mut client = Client::connect(&node);
        let asked = Instant::now();
        assert_eq!(client.exchange(&words).status(), status, "{words}");
        assert!(asked.elapsed() < Duration::from_secs(10), "{words}");
        assert_eq!(server.requests().len(), 0, "{words}");
    }
    let long = good.replace("Content-Length: 4\r\n\r\nwork", "Content-Length: 33554433\r\n\r\n");
    assert_eq!(Client::connect(&node).exchange(&long).status(), 413);
    assert_eq!(Client::connect(&node).exchange(&(long + &"x".repeat(65_537))).status(), 413);
    assert_eq!(server.requests().len(), 0);
    // A connection that was answered so still serves what comes next.
    let mut client = Client::connect(&node);
    assert_eq!(client.exchange(&request("look", "t1", 15_000).replace("/look/", "/lock/")).status(), 404);
    assert_eq!(client.exchange(&good).status(), 200);
}

/// A node starts again with an old list while discovery is down: it serves by what it has.
#[test]
fn a_restart_with_an_old_list_serves_without_discovery() {
    let dead = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let good = TestServer::ok("a");
    let registry = Registry::new(&[]);
    registry.set_down(true);
    let mut config = config(registry.address);
    let hosts = [host("s0", dead, "active", 1), host("s1", good.address, "active", 1)];
    config["known"] = json!({"seq": 41, "whole": true, "hosts": hosts});
    let node = Node::start_ready(&config);
    for n in 0..4 {
        assert_eq!(Client::connect(&node).exchange(&request("slip", &format!("t{n}"), 15_000)).body, b"a");
    }
    wait_until("it watches from the saved version", || {
        registry.calls().iter().any(|c| c.contains("from=41"))
    });
}

/// Every node sorts the servers alike, whatever the order in which it hears of them.
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
    assert_eq!(first[..4].iter().collect::<BTreeSet<_>>().len(), 4, "each has its turn");
    hosts.reverse();
    assert_eq!(turns(&hosts), first);
}

/// A bad configuration ends the program with one line that names the field.
#[test]
fn a_log_that_nobody_reads_holds_up_no_request_and_tells_what_it_dropped() {
    let refusing = TestServer::new(|_| Reply::Send(http_response(500, "", "")));
    let registry = Registry::new(&[host("s0", refusing.address, "active", 0)]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (node, log) = Node::start_with_full_log(&config(registry.address), &listener);
    let mut client = Client::connect(&node);
    // Half a second's lines are 21 at most, and 256 may wait: they are passed in 6.5 s, or in less than 12 where the
    // machine has half its time for this.
    let start = Instant::now();
    let mut asked = 0;
    while start.elapsed() < Duration::from_secs(12) {
        asked += 1;
        let asking = Instant::now();
        client.exchange(&request("slip", &format!("t{asked}"), 5000));
        assert!(asking.elapsed() < Duration::from_secs(2), "request {asked} was held up");
        std::thread::sleep(Duration::from_millis(5));
    }
    log.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("lines dropped so far")));
}

#[test]
fn a_bad_configuration_names_the_field() {
    let good = config("127.0.0.1:1".parse().expect("an address"));
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
        let mut config = good.clone();
        spoil(&mut config);
        let (code, words) = run_to_exit(&config, &[]);
        assert!(code.is_some_and(|c| c != 0), "{field}: {code:?}");
        assert!(words.contains(field) && words.contains("; "), "{field}: {words}");
        assert_eq!(words.trim().lines().count(), 1, "{words}");
    }
}
