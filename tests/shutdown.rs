//! SIGTERM while something goes on: nothing that was taken is lost, and the end comes whatever clients do.

mod peers;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::json;

const MS: Duration = Duration::from_millis(1);

/// A server that answers once it is let, and begins some answers before.
fn gated(open: &Arc<AtomicBool>) -> TestServer {
    let gate = open.clone();
    TestServer::new(move |m| {
        let wait = || {
            while !gate.load(Ordering::SeqCst) {
                std::thread::sleep(MS);
            }
        };
        match m.header("x-txn") {
            Some("long") => {
                let whole = http_response(200, "", &"x".repeat(200_000));
                Reply::SendPieces(
                    vec![(Duration::ZERO, whole[..100_000].to_vec()), (1500 * MS, whole[100_000..].to_vec())],
                    false,
                )
            }
            Some("quick") => Reply::Send(http_response(200, "", "served")),
            _ => {
                wait();
                Reply::Send(http_response(200, "", "served"))
            }
        }
    })
}

fn told(node: &Node) {
    node.terminate();
    wait_until("the signal has come", || {
        Client::connect(node).exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 503
    });
}

/// Wherever a request is when the signal comes, it is answered, and its answer closes the connection.
#[test]
fn sigterm_at_each_point_of_a_request_loses_none() {
    let open = Arc::new(AtomicBool::new(false));
    let server = gated(&open);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
        class["Slo"] = json!(100_000.0);
    }
    let mut node = Node::start_ready(&config);
    let words = |txn: &str| request("slip", txn, 20_000);
    let mut rested = Client::connect(&node);
    assert_eq!(rested.exchange(&words("quick")).status(), 200);
    let mut begun = Client::connect(&node);
    begun.send(&words("long"));
    assert!(begun.read(15).starts_with(b"HTTP/1.1 200"));
    // More are out than a server gets at a time: three wait for their turn. Behind the last comes a second command.
    let mut out: Vec<(Client, String)> =
        (0..11).map(|n| (Client::connect(&node), words(&format!("out{n}")))).collect();
    for (client, words) in &mut out {
        client.send(words);
    }
    wait_until("all are taken, and some wait", || {
        let state = node.last_state_line();
        state.contains(" 11 requests") && !state.contains(" 0 held")
    });
    // Others come as far as that: nothing, half a head, a head and half a body.
    let mut coming: Vec<(Client, String)> =
        (0..3).map(|n| (Client::connect(&node), words(&format!("coming{n}")))).collect();
    let cuts = [0, 40, coming[2].1.len() - 2];
    for ((client, words), cut) in coming.iter_mut().zip(cuts) {
        client.send(&words[..cut]);
    }
    wait_until("they have come", || node.last_state_line().starts_with("16 clients"));
    told(&node);
    for ((client, words), cut) in coming.iter_mut().zip(cuts) {
        client.send(&words[cut..]);
    }
    rested.send(&words("rested"));
    out[10].0.send(&words("second"));
    open.store(true, Ordering::SeqCst);
    for (client, words) in out.iter_mut().chain(&mut coming[1..]) {
        let heard = client.receive().expect("an answer");
        assert_eq!((heard.status(), heard.header("connection")), (200, Some("close")), "{words}");
        assert!(client.closed(), "the connection ends in order: {words}");
    }
    let (rest, in_order) = begun.read_to_end();
    assert!(rest.len() >= 200_000 && in_order, "{}", rest.len());
    let seen = |txn: &str| server.requests().iter().any(|m| m.header("x-txn") == Some(txn));
    assert!(!seen("second"), "read after the signal");
    // Where the machine was slow to send them, these had rested for too long, and were closed unread.
    for (client, txn) in [(&mut coming[0].0, "coming0"), (&mut rested, "rested")] {
        assert_eq!(client.receive().map(|m| m.status()), seen(txn).then_some(200), "{txn}");
    }
    assert_eq!(node.wait_exit_code(), Some(0));
}

/// A connection that was accepted and waits for room when the signal comes is served.
#[test]
fn a_connection_that_waits_for_room_at_sigterm_is_served() {
    let open = Arc::new(AtomicBool::new(false));
    let server = gated(&open);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["limits"]["sockets"] = json!(32);
    for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
        class["Slo"] = json!(100_000.0);
    }
    let mut node = Node::start_ready(&config);
    let ask = |txn: String| {
        let mut client = Client::connect(&node);
        client.send(&request("slip", &txn, 100_000));
        client
    };
    // 24 descriptors are for clients and servers, of which clients have four in seven.
    let mut crowd: Vec<Client> = (0..13).map(|n| ask(format!("t{n}"))).collect();
    wait_until("attempts are out", || server.requests().len() == 8);
    wait_until("all have been accepted", || node.last_state_line().starts_with("13 clients"));
    let held = node.descriptors();
    crowd.push(ask("next".into()));
    wait_until("one more waits", || node.descriptors() == held + 1);
    node.terminate();
    open.store(true, Ordering::SeqCst);
    for client in &mut crowd {
        assert_eq!(client.receive().map(|m| m.status()), Some(200));
    }
    assert_eq!(node.wait_exit_code(), Some(0));
}

/// An answer without a length that is not read is cut off by a reset: an end in order would make it look whole.
#[test]
fn an_answer_that_is_not_read_never_looks_whole() {
    let body = "x".repeat(16 << 20);
    let server = TestServer::new(move |_| {
        Reply::SendAndClose(format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}").into_bytes())
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    client.send(&request("look", "t1", 15_000).replace("HTTP/1.1", "HTTP/1.0"));
    assert!(client.read(15).starts_with(b"HTTP/1.0 200"));
    wait_until("the node has given it up", || node.last_state_line().starts_with("0 clients"));
    let (rest, in_order) = client.read_to_end();
    assert!(rest.len() < 16 << 20 && !in_order, "{} bytes", rest.len());
}

/// Clients that connect without end, never finish a request, or read an answer byte by byte hold up no end.
#[test]
fn the_end_comes_whatever_clients_do() {
    let body = "x".repeat(8 << 20);
    let server = TestServer::new(move |_| Reply::Send(http_response(200, "", &body)));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
        class["Deadline"] = json!(500.0);
    }
    let mut node = Node::start_ready(&config);
    let address = node.address;
    let ended = Arc::new(AtomicBool::new(false));
    let flag = ended.clone();
    let over = move || flag.load(Ordering::SeqCst);
    let mut slow = Client::connect(&node);
    slow.send(&request("look", "t1", 5000));
    assert!(slow.read(15).starts_with(b"HTTP/1.1 200"));
    let reader = over.clone();
    let mut clients = vec![std::thread::spawn(move || {
        while !reader() && !slow.read(16 << 10).is_empty() {
            std::thread::sleep(100 * MS);
        }
    })];
    let connects = over.clone();
    clients.push(std::thread::spawn(move || {
        for _ in (0..4000).take_while(|_| !connects()) {
            drop(TcpStream::connect(address));
            std::thread::sleep(5 * MS);
        }
    }));
    clients.push(std::thread::spawn(move || {
        let Ok(mut flood) = TcpStream::connect(address) else { return };
        while !over() && flood.write_all(&[b'x'; 64 << 10]).is_ok() {}
    }));
    let half = [
        "",
        "G",
        "GET /look",
        "POST /slip/1 HTTP/1.1\r\nX-Txn: t\r\nX-Remaining-Ms: 9\r\nContent-Length: 9\r\n\r\n",
    ];
    let _half = half.map(|words| {
        let mut client = Client::connect(&node);
        client.send(words);
        client
    });
    let told = Instant::now();
    node.terminate();
    assert_eq!(node.wait_exit_code(), Some(0));
    // 1.2 s until it may be killed, and 10 s for an answer that is still being read.
    assert!(told.elapsed() < Duration::from_secs(20), "{:?}", told.elapsed());
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("no panic");
    }
}
