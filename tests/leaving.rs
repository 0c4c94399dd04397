//! Clients that leave: nothing more is begun for them, and what was out is released.

mod peers;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

const WAYS: [Leave; 3] = [Leave::Close, Leave::Reset, Leave::HalfClose];
/// Far off, so that nothing ends by it here.
const DEADLINE: u64 = 100_000;
/// How many attempts a server gets at a time at first.
const AT_A_TIME: usize = 8;

fn patient(discovery: SocketAddr) -> Value {
    let mut config = config(discovery);
    config["settings"]["Limits"]["ConnectTimeout"] = json!(DEADLINE as f64);
    for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
        class["Slo"] = json!(DEADLINE as f64);
    }
    config
}

/// A server that never answers `f`, and turns `w` away once it is let; anything else is served.
fn server(turned_away: &Arc<AtomicBool>) -> Peer {
    let let_go = turned_away.clone();
    Peer::new(move |m| match m.header("x-txn").unwrap_or_default().as_bytes() {
        [b'f', ..] => Say::Nothing,
        b"w" => {
            while !let_go.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(1));
            }
            Say::This(answer(503, "X-Turned-Away: 1\r\n", ""))
        }
        _ => Say::This(answer(200, "", "served")),
    })
}

fn ask(node: &Node, txn: &str) -> Client {
    let mut client = Client::to(node);
    client.send(&request("slip", txn, DEADLINE));
    client
}

/// Has all attempts taken that the server may have, by clients that keep waiting.
fn fill(node: &Node, server: &Peer, from: usize) -> Vec<Client> {
    let crowd = (from..AT_A_TIME).map(|n| ask(node, &format!("f{n}"))).collect();
    until("all attempts are out", || server.seen().len() == AT_A_TIME);
    crowd
}

/// The client leaves, and the node soon knows: `txn` is what it waited for.
fn leaves(node: &Node, client: Client, way: Leave, txn: &str) {
    let left = Instant::now();
    let rest = client.leave(way);
    until("the node knows", || node.logged(&format!("{txn}: client disconnected")));
    assert!(left.elapsed() < Duration::from_secs(5) + node.withheld(), "{:?}", left.elapsed());
    if let Some(mut rest) = rest {
        assert_eq!(rest.rest().0, b"", "{txn} {way:?}: there is no answer for who has gone");
    }
}

/// How often the server has seen `w` and its like.
fn seen(server: &Peer) -> usize {
    server.seen().iter().filter(|m| m.header("x-txn").is_some_and(|t| t.starts_with('w'))).count()
}

/// Others are served, and of `w` and its like the server has seen no more than that.
fn assert_seen(node: &Node, server: &Peer, what: &str, most: usize) {
    for n in 0..4 {
        let heard = ask(node, &format!("after{n}")).hear().expect("an answer");
        assert_eq!(heard.status(), 200, "{what}");
    }
    assert!(seen(server) <= most, "{what}: sent on for a client that had gone");
    until("all is released", || node.state().contains(" 0 requests"));
}

/// A request whose body has come by half.
fn half_sent(txn: &str, length: usize) -> String {
    let head = request("slip", txn, DEADLINE);
    head.replace("Content-Length: 4\r\n\r\nwork", &format!("Content-Length: {length}\r\n\r\n"))
        + &"x".repeat(length / 2)
}

/// No attempt, first or further, is begun for a client that has closed, reset or half-closed its connection while its
/// request waited for a server, and none that was out goes on; of a half-sent request, no server has all.
#[test]
fn nothing_is_begun_for_a_client_that_has_left() {
    type Act = fn(&Node, &Peer, &AtomicBool, Leave) -> usize;
    let cases: [(&str, Act); 5] = [
        ("while it waits", |node, server, _, way| {
            let crowd = fill(node, server, 0);
            let client = ask(node, "w");
            until("it waits", || node.state().contains(" 1 held"));
            leaves(node, client, way, "w");
            drop(crowd);
            0
        }),
        ("while it waits, with a long body half sent", |node, server, _, way| {
            let crowd = fill(node, server, 0);
            let mut client = Client::to(node);
            client.send(&half_sent("w", 200_000));
            until("it waits", || node.state().contains(" 1 held"));
            leaves(node, client, way, "w");
            drop(crowd);
            0
        }),
        ("between two attempts", |node, server, let_go, way| {
            let client = ask(node, "w");
            until("it is out", || server.seen().len() == 1);
            let crowd = fill(node, server, 1);
            let next = ask(node, "f8");
            until("that one waits", || node.state().contains(" 1 held"));
            let_go.store(true, Ordering::SeqCst);
            until("both wait", || node.state().contains(" 2 held"));
            let most = seen(server);
            leaves(node, client, way, "w");
            drop((crowd, next));
            most
        }),
        ("with a long body half sent on", |node, server, _, way| {
            let mut client = Client::to(node);
            let before = server.open();
            client.send(&half_sent("w", 200_000));
            until("its attempt is out", || server.open() > before);
            leaves(node, client, way, "w");
            until("the attempt is given up", || server.open() == before);
            0
        }),
        ("with a short body half sent", |node, _, _, way| {
            let mut client = Client::to(node);
            client.send(&half_sent("w", 10));
            if let Some(mut rest) = client.leave(way) {
                assert!(!rest.rest().0.starts_with(b"HTTP/1.1 2"));
            }
            0
        }),
    ];
    std::thread::scope(|tests| {
        for way in WAYS {
            tests.spawn(move || {
                for (case, act) in cases {
                    let let_go = Arc::new(AtomicBool::new(false));
                    let server = server(&let_go);
                    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
                    let node = Node::ready(&patient(registry.address));
                    let most = act(&node, &server, &let_go, way);
                    assert_seen(&node, &server, &format!("{way:?} {case}"), most);
                }
            });
        }
    });
}

/// Whoever leaves while its attempt is still being connected has that end: nothing is written once it comes up.
#[test]
fn a_connection_that_comes_up_late_is_not_used_for_who_has_left() {
    for way in WAYS {
        // A listener whose backlog is full lets nobody in until it accepts.
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(0).expect("it listens");
        let full: TcpListener = socket.into();
        let at = full.local_addr().expect("bound");
        let connect = |_| std::net::TcpStream::connect_timeout(&at, Duration::from_millis(300)).ok();
        let fillers: Vec<_> = (0..3).filter_map(connect).collect();
        let registry = Registry::new(&[host("s0", at, "active", 1)]);
        let node = Node::ready(&patient(registry.address));
        until("the node is at rest", || node.state().starts_with("0 clients, 0 requests"));
        let before = node.descriptors();
        let client = ask(&node, "w");
        until("its attempt is being connected", || node.descriptors() == before + 2);
        leaves(&node, client, way, "w");
        until("what was out is released", || node.descriptors() == before);
        drop(fillers);
        let server = Peer::on(full, |_| Say::This(answer(200, "", "served")));
        assert_seen(&node, &server, &format!("{way:?}"), 0);
    }
}

/// Commands sent behind one that is being served hide the end behind them from whoever only reads on: none of them is
/// sent on for a client that has gone.
#[test]
fn many_commands_at_once_are_not_sent_on_for_who_has_left() {
    // All of them in the node's hands, and most of them unread in the kernel's.
    for (commands, way) in [3, 300].into_iter().flat_map(|n| WAYS.map(|way| (n, way))) {
        let server = server(&Arc::default());
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let node = Node::ready(&patient(registry.address));
        let mut client = Client::to(&node);
        let words: String = (1..commands).map(|n| request("slip", &format!("w{n}"), DEADLINE)).collect();
        client.send(&(request("slip", "f", DEADLINE) + &words));
        until("the first is out", || server.seen().len() == 1);
        leaves(&node, client, way, "f");
        until("its attempt is given up", || server.open() == 0);
        assert_seen(&node, &server, &format!("{commands} commands, {way:?}"), 0);
    }
}
