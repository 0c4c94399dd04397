//! Attempts of the node's program at servers: late connections, broken responses and keep-alive connections.

mod peers;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

const MS: Duration = Duration::from_millis(1);

/// A configuration with one server whose failures neither use up the retry budget nor eject it.
fn tolerant_config(server: SocketAddr) -> (Registry, Value) {
    let registry = Registry::new(&[host("s0", server, "active", 1)]);
    let mut config = config_with_admin(&registry);
    config["settings"]["Retry"] = json!({"BudgetShare": 1.0, "BudgetMax": 1000.0});
    config["settings"]["Ejection"] = json!({"Failures": 1000});
    (registry, config)
}

/// How many attempts at this request the server received whole.
fn attempts(server: &TestServer, txn: &str) -> usize {
    server.requests().iter().filter(|m| m.header("x-txn") == Some(txn)).count()
}

/// A server that treats the first attempt at each request as `first` says and answers further ones with 200.
fn failing_first_attempts(first: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> TestServer {
    let attempted = Mutex::new(BTreeSet::new());
    TestServer::new(move |m| {
        let txn = m.header("x-txn").unwrap_or_default().to_string();
        if m.path() != "/health" && attempted.lock().expect("the lock is poisoned").insert(txn) {
            first(m)
        } else {
            Reply::Send(http_response(200, "", "served"))
        }
    })
}

// ---- Connections that are established late ----

/// A listener with a full backlog, which completes no further connection until it is opened.
struct FullListener {
    listener: TcpListener,
    fillers: Vec<TcpStream>,
    address: SocketAddr,
}

impl FullListener {
    fn new() -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("no socket can be created");
        socket
            .bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("not an address").into())
            .expect("no free port");
        socket.listen(0).expect("the socket cannot listen");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("the local address is unknown");
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, 200 * MS) {
            fillers.push(filler);
        }
        Self { listener, fillers, address }
    }

    /// Accepts connections from now on, as a server with this script.
    fn open(self, script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> TestServer {
        drop(self.fillers);
        TestServer::with_listener(self.listener, script)
    }
}

/// How many connections to this address are in a state, given as the hexadecimal code of `/proc/net/tcp`.
fn connections(address: SocketAddr, state: &str) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table cannot be read");
    let port = format!(":{:04X}", address.port());
    let fields = |line: &str| line.split_whitespace().map(str::to_owned).collect::<Vec<_>>();
    table.lines().map(fields).filter(|f| f[2].ends_with(&port) && f[3] == state).count()
}

const SYN_SENT: &str = "02";
const ESTABLISHED: &str = "01";

/// Starts a node and sends it an unsafe request whose attempt waits for its connection.
fn start_connecting(
    listener: &FullListener,
    remaining: u64,
    adjust: impl Fn(&mut Value),
) -> (Registry, Node, Client, Instant) {
    let (registry, mut config) = tolerant_config(listener.address);
    config["settings"]["Limits"]["ConnectTimeout"] = json!(50_000.0);
    config["settings"]["Classes"][2]["Slo"] = json!(60_000.0);
    adjust(&mut config);
    let node = Node::start_ready(&config);
    let mut client = Client::connect(&node);
    let sent_at = Instant::now();
    client.send(&request("slip", "t1", remaining));
    wait_until("the attempt is connecting", || connections(listener.address, SYN_SENT) == 1);
    (registry, node, client, sent_at)
}

/// `X-Remaining-Ms` is the time left when the connection is established, not when the attempt began.
#[test]
fn remaining_time_is_sent_as_of_when_the_connection_is_established() {
    let listener = FullListener::new();
    let (_registry, _node, mut client, sent_at) = start_connecting(&listener, 20_000, |_| ());
    std::thread::sleep((300 * MS).saturating_sub(sent_at.elapsed()));
    let delay = sent_at.elapsed();
    let server = listener.open(|_| Reply::Send(http_response(200, "", "late")));
    assert_eq!(client.receive().expect("no response").body, b"late");
    let remaining: u64 = server.requests()[0]
        .header("x-remaining-ms")
        .and_then(|v| v.parse().ok())
        .expect("X-Remaining-Ms is missing");
    assert!(Duration::from_millis(remaining) + delay <= 20_000 * MS, "{remaining} ms sent after {delay:?}");
}

/// If the client leaves while its attempt is connecting, the connect is cancelled or, where attempts may not be
/// cancelled, nothing is written to the connection.
#[test]
fn a_late_connection_carries_no_request_of_a_client_that_has_left() {
    for cancel in [true, false] {
        let listener = FullListener::new();
        let address = listener.address;
        let adjust = |config: &mut Value| config["settings"]["Limits"]["Cancel"] = json!(cancel);
        let (_registry, node, client, _) = start_connecting(&listener, 20_000, adjust);
        drop(client);
        wait_until("the client has left", || metric(&node, "concurrent") == 0);
        if cancel {
            wait_until("the attempt is cancelled", || connections(address, SYN_SENT) == 0);
        }
        let server = listener.open(|_| Reply::Send(http_response(200, "", "late")));
        wait_until("the attempt has ended", || {
            let open = connections(address, SYN_SENT) + connections(address, ESTABLISHED);
            open == 0 || !server.requests().is_empty()
        });
        assert_eq!((server.requests().len(), metric(&node, "dispatches")), (0, 0), "cancel: {cancel}");
    }
}

/// A request whose connection was never established never ran, so even an unsafe one is sent elsewhere.
#[test]
fn a_request_whose_connect_times_out_goes_to_another_server() {
    let (listener, good) = (FullListener::new(), TestServer::ok("good"));
    let hosts = [host("s0", listener.address, "active", 1), host("s1", good.address, "active", 2)];
    let registry = Registry::new(&hosts);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["ConnectTimeout"] = json!(300.0);
    let node = Node::start_ready(&config);
    let mut client = Client::connect(&node);
    for n in 0..3 {
        assert_eq!(client.exchange(&request("slip", &format!("t{n}"), 15_000)).body, b"good");
    }
    assert_eq!(good.requests().len(), 3);
}

// ---- Broken responses ----

/// A response that is not certainly complete is not passed on; its request is retried only where a repeat does no harm,
/// so an unsafe one is sent once.
#[test]
fn broken_responses_are_not_passed_on_and_retried_only_where_harmless() {
    type Break = fn() -> Reply;
    let cases: [(&str, Break); 19] = [
        ("before the head", || Reply::reset(b"")),
        ("in the head", || Reply::reset(b"HTTP/1.1 200 OK\r\nConte")),
        ("after interim responses", || Reply::reset(&b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(50))),
        ("no length", || Reply::reset(b"HTTP/1.1 200 OK\r\n\r\npart")),
        ("no length, until close", || Reply::reset(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")),
        ("no length, empty", || Reply::reset(b"HTTP/1.1 200 OK\r\n\r\n")),
        ("length", || Reply::reset(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\npart")),
        ("chunks", || Reply::reset(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")),
        ("HTTP/1.0", || Reply::reset(b"HTTP/1.0 200 OK\r\n\r\npart")),
        ("a length too long", || {
            Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nserved".to_vec())
        }),
        ("two lengths", || {
            Reply::Send(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Length: 4\r\n\r\nserved".to_vec())
        }),
        ("length and chunks", || {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 16\r\n\r\n";
            Reply::Send([head, "6\r\nserved\r\n0\r\n\r\n"].concat().into_bytes())
        }),
        ("another encoding", || {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n";
            Reply::Send([head, "6\r\nserved\r\n0\r\n\r\n"].concat().into_bytes())
        }),
        ("an unknown encoding", || {
            Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nserved".to_vec())
        }),
        ("a head without end", || Reply::Send([&b"HTTP/1.1 200 OK\r\nX: "[..], &[b'x'; 40_000]].concat())),
        ("no head", || Reply::Send(b"served\r\n\r\n".to_vec())),
        ("204", || Reply::Send(b"HTTP/1.1 204 No Content\r\n\r\n".to_vec())),
        ("304 and more", || Reply::Send(http_response(304, "", "served"))),
        ("101", || Reply::Send(b"HTTP/1.1 101 Over\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n".to_vec())),
    ];
    let replies: Vec<Break> = cases.iter().map(|(_, reply)| *reply).collect();
    let server = failing_first_attempts(move |m| {
        let txn = m.header("x-txn").unwrap_or_default();
        replies[txn
            .split('-')
            .next()
            .and_then(|n| n.parse::<usize>().ok())
            .expect("the request's id has no case number")]()
    });
    let (_registry, config) = tolerant_config(server.address);
    let node = Node::start_ready(&config);
    for (n, (case, _)) in cases.iter().enumerate() {
        for (class, status, sent) in [("look", 200, 2), ("pay", 200, 2), ("slip", 502, 1)] {
            let txn = format!("{n}-{class}");
            let response = Client::connect(&node).exchange(&request(class, &txn, 15_000));
            assert_eq!((response.status(), attempts(&server, &txn)), (status, sent), "{case}, {class}");
            assert!(status != 200 || response.body == b"served", "{case}, {class}");
        }
    }
    assert_eq!(metric(&node, "targets_disabled"), 0);
}

/// Any number of interim responses may come before the response.
#[test]
fn interim_responses_are_skipped() {
    let many = [b"HTTP/1.1 100 Continue\r\n\r\n".repeat(20_000), http_response(200, "", "served")].concat();
    let server = TestServer::new(move |_| Reply::Send(many.clone()));
    let (_registry, config) = tolerant_config(server.address);
    let node = Node::start_ready(&config);
    let response = Client::connect(&node).exchange(&request("slip", "t1", 15_000));
    assert_eq!((response.status(), response.body, server.requests().len()), (200, b"served".to_vec(), 1));
}

/// The server sends a head and part of the body, and resets the connection once the client has some of it.
#[test]
fn a_response_reset_long_after_its_head_never_looks_complete() {
    let heads = [
        ("length", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\npart"),
        ("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"),
        ("none", "HTTP/1.1 200 OK\r\n\r\npart"),
    ];
    for (framing, head) in heads {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let received = Arc::new(AtomicBool::new(false));
            let may_reset = received.clone();
            let server = TestServer::new(move |_| {
                let may_reset = may_reset.clone();
                Reply::Custom(Box::new(move |out| {
                    let _ = out.write_all(head.as_bytes());
                    wait_until("the client has some of it", || may_reset.load(Ordering::SeqCst));
                    socket2::SockRef::from(&*out)
                        .set_linger(Some(Duration::ZERO))
                        .expect("SO_LINGER cannot be set");
                }))
            });
            let (_registry, config) = tolerant_config(server.address);
            let node = Node::start_ready(&config);
            let mut client = Client::connect(&node);
            client.send(&request("slip", "t1", 4000).replace("HTTP/1.1", version));
            let mut bytes = Vec::new();
            while !bytes.windows(4).any(|w| w == b"part") {
                let more = client.read(1000);
                assert!(!more.is_empty(), "{framing}, {version}: {}", String::from_utf8_lossy(&bytes));
                bytes.extend(more);
            }
            received.store(true, Ordering::SeqCst);
            let (rest, in_order) = client.read_to_end();
            let bytes = [bytes, rest].concat();
            let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
            assert!(text.starts_with("http/1.1 200") || text.starts_with("http/1.0 200"), "{text}");
            // Cut off if the head has a length or chunks, and reset if a close would be the end of the body.
            let framed = text.contains("content-length: 100000") || text.contains("chunked");
            assert!(framed || !in_order, "{framing}, {version}: {text}");
            assert!(!bytes.ends_with(b"0\r\n\r\n"), "{framing}, {version}: {text}");
            assert_eq!(server.requests().len(), 1);
        }
    }
}

/// A response that turns a request away or reports an error says so in its head; its body may never be complete.
#[test]
fn an_error_response_is_handled_without_waiting_for_its_body() {
    let cases = [
        ("503 turned away, short", 503, "X-Turned-Away: 1\r\nContent-Length: 10\r\n"),
        ("503 turned away, long", 503, "X-Turned-Away: 1\r\nContent-Length: 100000\r\n"),
        ("504 turned away, no length", 504, "X-Turned-Away: 1\r\n"),
        ("500, short", 500, "Content-Length: 10\r\n"),
    ];
    let server = failing_first_attempts(move |m| {
        let case = m.header("x-txn").and_then(|txn| txn.split('-').next()?.parse::<usize>().ok());
        let (_, status, headers) = cases[case.expect("the request's id has no case number")];
        let beginning = format!("HTTP/1.1 {status} X\r\n{headers}\r\npart");
        Reply::SendPieces(vec![(Duration::ZERO, beginning.into_bytes())], false)
    });
    let (_registry, config) = tolerant_config(server.address);
    let node = Node::start_ready(&config);
    for (n, (case, status, _)) in cases.iter().enumerate() {
        for class in ["look", "pay", "slip"] {
            let txn = format!("{n}-{class}");
            let received = Client::connect(&node).exchange(&request(class, &txn, 3000)).status();
            let may_have_run = *status == 500 && class == "slip";
            let expected = if may_have_run { (502, 1) } else { (200, 2) };
            assert_eq!((received, attempts(&server, &txn)), expected, "{case}, {class}");
        }
    }
}

// ---- Keep-alive connections ----

/// The server closes or resets a keep-alive connection right after it has read a request.
#[test]
fn a_request_on_a_connection_that_its_server_closes_may_have_run() {
    for reset in [false, true] {
        let attempted = Mutex::new(BTreeSet::new());
        let server = TestServer::new(move |m| {
            let txn = m.header("x-txn").unwrap_or_default().to_string();
            match (txn.starts_with("keep"), attempted.lock().expect("the lock is poisoned").insert(txn)) {
                (false, true) if reset => Reply::reset(b""),
                (false, true) => Reply::SendAndClose(Vec::new()),
                _ => Reply::Send(http_response(200, "", "served")),
            }
        });
        let (_registry, config) = tolerant_config(server.address);
        let node = Node::start_ready(&config);
        let mut client = Client::connect(&node);
        for (class, status, sent) in [("look", 200, 2), ("pay", 200, 2), ("slip", 502, 1)] {
            assert_eq!(client.exchange(&request(class, &format!("keep-{class}"), 15_000)).status(), 200);
            std::thread::sleep(REUSE_DELAY);
            assert_eq!(client.exchange(&request(class, class, 15_000)).status(), status, "{class}");
            assert_eq!(attempts(&server, class), sent, "{class}");
            let requests = server.requests();
            let connection_of =
                |txn: &str| requests.iter().find(|m| m.header("x-txn") == Some(txn)).map(|m| m.connection);
            let reused = connection_of(&format!("keep-{class}"));
            assert_eq!(connection_of(class), reused, "{class}: on the reused connection");
            std::thread::sleep(REUSE_DELAY);
        }
    }
}

/// A server sends a second response to a request when the next request has already been sent.
#[test]
fn a_late_second_response_does_not_answer_the_next_request() {
    let arrived = Arc::new(Mutex::new(BTreeSet::new()));
    let server = TestServer::new(move |m| {
        let txn = m.header("x-txn").unwrap_or("?").to_string();
        arrived.lock().expect("the lock is poisoned").insert(txn.clone());
        let Some(n) = txn.strip_prefix("first") else { return Reply::Send(http_response(200, "", &txn)) };
        let (arrived, next) = (arrived.clone(), format!("next{n}"));
        let response = http_response(200, "", &txn);
        Reply::Custom(Box::new(move |out| {
            let _ = out.write_all(&response);
            // The next request may also come on this connection, where it is not read.
            let mut byte = [0; 1];
            out.set_nonblocking(true).expect("the blocking mode cannot be set");
            wait_until("the next request has arrived", || {
                arrived.lock().expect("the lock is poisoned").contains(&next)
                    || matches!(out.peek(&mut byte), Ok(1))
            });
            out.set_nonblocking(false).expect("the blocking mode cannot be set");
            let _ = out.write_all(&response);
            let _ = out.read(&mut [0; 1000]);
        }))
    });
    let (_registry, config) = tolerant_config(server.address);
    let node = Node::start_ready(&config);
    let mut client = Client::connect(&node);
    let mut rounds = 0;
    while rounds < 5 {
        let cpu_wait = node.cpu_wait();
        let (first, next) = (format!("first{rounds}"), format!("next{rounds}"));
        assert_eq!(client.exchange(&request("slip", &first, 15_000)).body, first.as_bytes());
        let response = client.exchange(&request("slip", &next, 15_000));
        // A round in which the node or this thread waited for a core is not counted: the connection may have been idle
        // for long enough to be reused.
        if node.cpu_wait() - cpu_wait < 5 * MS {
            assert_eq!((response.status(), response.body), (200, next.into_bytes()));
            rounds += 1;
        }
        std::thread::sleep(REUSE_DELAY);
    }
}

/// A server begins to work once it has all of a request: an earlier response belongs to another request, or says that
/// this one was not accepted.
#[test]
fn a_response_before_the_end_of_its_request_is_not_passed_on() {
    for (response, status) in [
        (http_response(200, "", "another's"), 503),
        (http_response(503, "X-Turned-Away: 1\r\n", ""), 503),
        (http_response(500, "", ""), 502),
        (http_response(400, "", ""), 502),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("the local address is unknown");
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("accept failed");
                let mut received = Vec::new();
                while !received.windows(4).any(|w| w == b"\r\n\r\n") {
                    let mut buffer = [0; 1000];
                    let n = stream.read(&mut buffer).expect("the request cannot be read");
                    received.extend_from_slice(&buffer[..n]);
                }
                stream.write_all(&response).expect("the response cannot be written");
                let _ = std::io::copy(&mut stream, &mut std::io::sink());
            }
        });
        let (_registry, config) = tolerant_config(address);
        let node = Node::start_ready(&config);
        let mut client = Client::connect(&node);
        client.send(
            "POST /slip/7 HTTP/1.1\r\nHost: x\r\nX-Txn: t1\r\nX-Remaining-Ms: 5000\r\nContent-Length: 200000\r\n\r\n",
        );
        client.send_bytes(&[b'x'; 100_000]);
        assert_eq!(client.receive().map(|m| m.status()), Some(status));
    }
}

/// Guards against long responses that are thrown away, or held back, as the node has no memory left: each that its server has
/// begun is passed on. Requests for which there is no memory are refused before they are sent; none is retried, and no server
/// is ejected.
#[test]
fn lack_of_memory_cuts_off_no_response_and_ejects_no_server() {
    let servers = [(); 2].map(|()| {
        TestServer::new(|_| {
            let beginning =
                [&b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n"[..], &[b'x'; 100_000]].concat();
            Reply::SendPieces(vec![(Duration::ZERO, beginning)], false)
        })
    });
    let hosts = [0, 1].map(|n| host(&format!("s{n}"), servers[n].address, "active", 1));
    let registry = Registry::new(&hosts);
    let mut config = config_with_admin(&registry);
    config["limits"]["memory_mb"] = json!(32);
    config["limits"]["sockets"] = json!(1024);
    config["settings"]["Classes"][0]["Slo"] = json!(100_000.0);
    config["settings"]["Ejection"] = json!({"AtMost": 1.0});
    let node = Node::start_ready(&config);
    let mut clients: Vec<Client> = (0..200)
        .map(|n| {
            let mut client = Client::connect(&node);
            client.send(&request("look", &format!("t{n}"), 100_000));
            client
        })
        .collect();
    let statuses: Vec<Vec<u8>> = clients.iter_mut().map(|client| client.read(12)).collect();
    let count = |status: &[u8]| statuses.iter().filter(|s| s.ends_with(status)).count();
    let (begun, refused) = (count(b"200"), count(b"503"));
    assert_eq!(begun + refused, 200, "{statuses:?}");
    assert!(refused >= 10, "{refused}");
    let sent: usize = servers.iter().map(|s| s.requests().len()).sum();
    assert_eq!((sent, metric(&node, "targets_disabled")), (begun, 0));
}

/// The time of a pipelined request counts from its arrival: `X-Remaining-Ms` at its server is what is left after the
/// wait for the requests before it, and a request with no time left is not sent.
#[test]
fn the_remaining_time_of_a_pipelined_request_runs_while_it_waits() {
    const FIRST_TAKES: Duration = Duration::from_millis(600);
    let server = TestServer::new(|m| {
        let first = m.header("x-txn") == Some("first");
        Reply::SendAfter(if first { FIRST_TAKES } else { Duration::ZERO }, http_response(200, "", "served"))
    });
    let (_registry, config) = tolerant_config(server.address);
    let node = Node::start_ready(&config);
    let mut client = Client::connect(&node);
    client.send(
        &[("first", 15_000), ("second", 5000), ("third", 400)].map(|(t, n)| request("slip", t, n)).concat(),
    );
    assert_eq!([(); 2].map(|()| client.receive().expect("no response").status()), [200, 200]);
    assert!(client.receive().expect("no response").status() > 500);
    let requests = server.requests();
    assert_eq!(requests.len(), 2);
    let remaining: u64 =
        requests[1].header("x-remaining-ms").and_then(|v| v.parse().ok()).expect("X-Remaining-Ms is missing");
    assert!(Duration::from_millis(remaining) + FIRST_TAKES <= 5000 * MS, "{remaining} ms");
}
