//! Attempts of the real program at servers, and all that can cross them on the way.

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

/// A node of one server at whose failures it neither spares further attempts nor ejects.
fn patient(server: SocketAddr) -> (Registry, Value) {
    let registry = Registry::new(&[host("s0", server, "active", 1)]);
    let mut config = config_with_admin(&registry);
    config["settings"]["Retry"] = json!({"BudgetShare": 1.0, "BudgetMax": 1000.0});
    config["settings"]["Ejection"] = json!({"Failures": 1000});
    (registry, config)
}

/// How many attempts at that request came whole.
fn attempts(server: &TestServer, txn: &str) -> usize {
    server.requests().iter().filter(|m| m.header("x-txn") == Some(txn)).count()
}

/// A server that does `first` with the first attempt at each request, and serves further ones.
fn spoiling(first: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> TestServer {
    let tried = Mutex::new(BTreeSet::new());
    TestServer::new(move |m| {
        let txn = m.header("x-txn").unwrap_or_default().to_string();
        if m.path() != "/health" && tried.lock().expect("no panic").insert(txn) {
            first(m)
        } else {
            Reply::Send(http_response(200, "", "served"))
        }
    })
}

// ---- Connections that come up late ----

/// A listener that lets nobody in until it is opened: its backlog is full.
struct Shut {
    listener: TcpListener,
    fillers: Vec<TcpStream>,
    address: SocketAddr,
}

impl Shut {
    fn new() -> Self {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
        socket.listen(0).expect("it listens");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("bound");
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, 200 * MS) {
            fillers.push(filler);
        }
        Self { listener, fillers, address }
    }

    fn open(self, script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> TestServer {
        drop(self.fillers);
        TestServer::on(self.listener, script)
    }
}

/// How many connections to that address are in a state, by the kernel's number for it.
fn connections(to: SocketAddr, state: &str) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system tells");
    let port = format!(":{:04X}", to.port());
    let fields = |line: &str| line.split_whitespace().map(str::to_owned).collect::<Vec<_>>();
    table.lines().map(fields).filter(|f| f[2].ends_with(&port) && f[3] == state).count()
}

const SYN_SENT: &str = "02";
const ESTABLISHED: &str = "01";

/// A node, its client, and an unsafe request whose attempt waits for a connection.
fn connecting(shut: &Shut, remaining: u64, set: impl Fn(&mut Value)) -> (Registry, Node, Client, Instant) {
    let (registry, mut config) = patient(shut.address);
    config["settings"]["Limits"]["ConnectTimeout"] = json!(50_000.0);
    config["settings"]["Classes"][2]["Slo"] = json!(60_000.0);
    set(&mut config);
    let node = Node::start_ready(&config);
    let mut client = Client::connect(&node);
    let sent = Instant::now();
    client.send(&request("slip", "t1", remaining));
    wait_until("the attempt connects", || connections(shut.address, SYN_SENT) == 1);
    (registry, node, client, sent)
}

/// A server is told what is left when its connection is there, not what was left when the attempt began.
#[test]
fn a_late_connection_tells_what_is_left_by_then() {
    let shut = Shut::new();
    let (_registry, _node, mut client, sent) = connecting(&shut, 20_000, |_| ());
    std::thread::sleep((300 * MS).saturating_sub(sent.elapsed()));
    let late = sent.elapsed();
    let server = shut.open(|_| Reply::Send(http_response(200, "", "late")));
    assert_eq!(client.receive().expect("an answer").body, b"late");
    let told: u64 =
        server.requests()[0].header("x-remaining-ms").and_then(|v| v.parse().ok()).expect("the time");
    assert!(Duration::from_millis(told) + late <= 20_000 * MS, "{told} ms told {late:?} later");
}

/// The client of an attempt that still connects leaves: the connection is called off or, where attempts may not be,
/// brings the server nothing.
#[test]
fn a_late_connection_serves_nobody_who_has_left() {
    for cancel in [true, false] {
        let shut = Shut::new();
        let address = shut.address;
        let set = |config: &mut Value| config["settings"]["Limits"]["Cancel"] = json!(cancel);
        let (_registry, node, client, _) = connecting(&shut, 20_000, set);
        drop(client);
        wait_until("the client has left", || metric(&node, "concurrent") == 0);
        if cancel {
            wait_until("the attempt is called off", || connections(address, SYN_SENT) == 0);
        }
        let server = shut.open(|_| Reply::Send(http_response(200, "", "late")));
        wait_until("nothing is left of the attempt", || {
            let open = connections(address, SYN_SENT) + connections(address, ESTABLISHED);
            open == 0 || !server.requests().is_empty()
        });
        assert_eq!((server.requests().len(), metric(&node, "dispatches")), (0, 0), "cancel: {cancel}");
    }
}

/// A connection that never comes up has cost the request nothing but time.
#[test]
fn a_connection_that_never_comes_up_leaves_the_request_to_another_server() {
    let (shut, good) = (Shut::new(), TestServer::ok("good"));
    let hosts = [host("s0", shut.address, "active", 1), host("s1", good.address, "active", 2)];
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

// ---- Answers that break ----

/// What is not surely whole is passed on to nobody as an answer, and repeated only where that does no harm: an unsafe
/// request is sent once.
#[test]
fn spoilt_answers_are_passed_on_to_nobody() {
    type Spoil = fn() -> Reply;
    let cases: [(&str, Spoil); 19] = [
        ("before the head", || Reply::reset(b"")),
        ("in the head", || Reply::reset(b"HTTP/1.1 200 OK\r\nConte")),
        ("behind interim answers", || Reply::reset(&b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(50))),
        ("no length", || Reply::reset(b"HTTP/1.1 200 OK\r\n\r\npart")),
        ("no length, to close", || Reply::reset(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")),
        ("no length, empty", || Reply::reset(b"HTTP/1.1 200 OK\r\n\r\n")),
        ("length", || Reply::reset(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\npart")),
        ("chunks", || Reply::reset(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")),
        ("old", || Reply::reset(b"HTTP/1.0 200 OK\r\n\r\npart")),
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
    let spoils: Vec<Spoil> = cases.iter().map(|(_, spoil)| *spoil).collect();
    let server = spoiling(move |m| {
        let txn = m.header("x-txn").unwrap_or_default();
        spoils[txn.split('-').next().and_then(|n| n.parse::<usize>().ok()).expect("its case")]()
    });
    let (_registry, config) = patient(server.address);
    let node = Node::start_ready(&config);
    for (n, (case, _)) in cases.iter().enumerate() {
        for (class, heard, sent) in [("look", 200, 2), ("pay", 200, 2), ("slip", 502, 1)] {
            let txn = format!("{n}-{class}");
            let answer = Client::connect(&node).exchange(&request(class, &txn, 15_000));
            assert_eq!((answer.status(), attempts(&server, &txn)), (heard, sent), "{case}, {class}");
            assert!(heard != 200 || answer.body == b"served", "{case}, {class}");
        }
    }
    assert_eq!(metric(&node, "targets_disabled"), 0);
}

/// Interim answers, however many, are none; the one behind them counts.
#[test]
fn interim_answers_are_no_answer() {
    let many = [b"HTTP/1.1 100 Continue\r\n\r\n".repeat(20_000), http_response(200, "", "served")].concat();
    let server = TestServer::new(move |_| Reply::Send(many.clone()));
    let (_registry, config) = patient(server.address);
    let node = Node::start_ready(&config);
    let heard = Client::connect(&node).exchange(&request("slip", "t1", 15_000));
    assert_eq!((heard.status(), heard.body, server.requests().len()), (200, b"served".to_vec(), 1));
}

/// An answer that was begun, held as long as it may be, and reset long after its head: its client can tell.
#[test]
fn a_reset_long_after_the_head_is_no_end() {
    let heads = [
        ("length", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\npart"),
        ("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"),
        ("none", "HTTP/1.1 200 OK\r\n\r\npart"),
    ];
    for (framing, head) in heads {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let go = Arc::new(AtomicBool::new(false));
            let begun = go.clone();
            let server = TestServer::new(move |_| {
                let begun = begun.clone();
                Reply::Custom(Box::new(move |out| {
                    let _ = out.write_all(head.as_bytes());
                    wait_until("its client has some of it", || begun.load(Ordering::SeqCst));
                    socket2::SockRef::from(&*out).set_linger(Some(Duration::ZERO)).expect("a socket");
                }))
            });
            let (_registry, config) = patient(server.address);
            let node = Node::start_ready(&config);
            let mut client = Client::connect(&node);
            client.send(&request("slip", "t1", 4000).replace("HTTP/1.1", version));
            let mut bytes = Vec::new();
            while !bytes.windows(4).any(|w| w == b"part") {
                let more = client.read(1000);
                assert!(!more.is_empty(), "{framing}, {version}: {}", String::from_utf8_lossy(&bytes));
                bytes.extend(more);
            }
            go.store(true, Ordering::SeqCst);
            let (rest, in_order) = client.read_to_end();
            let whole = [bytes, rest].concat();
            let words = String::from_utf8_lossy(&whole).to_ascii_lowercase();
            assert!(words.starts_with("http/1.1 200") || words.starts_with("http/1.0 200"), "{words}");
            // Cut off where a length or chunks were said, and reset where not even the close tells.
            let framed = words.contains("content-length: 100000") || words.contains("chunked");
            assert!(framed || !in_order, "{framing}, {version}: {words}");
            assert!(!whole.ends_with(b"0\r\n\r\n"), "{framing}, {version}: {words}");
            assert_eq!(server.requests().len(), 1);
        }
    }
}

/// What turns a request away, or tells of an error, says so in its head, whatever becomes of its body.
#[test]
fn an_answer_that_is_none_is_not_waited_for() {
    let cases = [
        ("503 away length", 503, "X-Turned-Away: 1\r\nContent-Length: 10\r\n"),
        ("503 away long", 503, "X-Turned-Away: 1\r\nContent-Length: 100000\r\n"),
        ("504 away none", 504, "X-Turned-Away: 1\r\n"),
        ("500 length", 500, "Content-Length: 10\r\n"),
    ];
    let server = spoiling(move |m| {
        let case = m.header("x-txn").and_then(|txn| txn.split('-').next()?.parse::<usize>().ok());
        let (_, status, headers) = cases[case.expect("its case")];
        let begun = format!("HTTP/1.1 {status} X\r\n{headers}\r\npart");
        Reply::SendPieces(vec![(Duration::ZERO, begun.into_bytes())], false)
    });
    let (_registry, config) = patient(server.address);
    let node = Node::start_ready(&config);
    for (n, (case, status, _)) in cases.iter().enumerate() {
        for class in ["look", "pay", "slip"] {
            let txn = format!("{n}-{class}");
            let heard = Client::connect(&node).exchange(&request(class, &txn, 3000)).status();
            let ran = *status == 500 && class == "slip";
            let right = if ran { (502, 1) } else { (200, 2) };
            assert_eq!((heard, attempts(&server, &txn)), right, "{case}, {class}");
        }
    }
}

// ---- Connections that are kept ----

/// The server closes a kept connection when it has just read a request: it may have run.
#[test]
fn a_kept_connection_closed_under_a_request_counts_as_a_run() {
    for reset in [false, true] {
        let tried = Mutex::new(BTreeSet::new());
        let server = TestServer::new(move |m| {
            let txn = m.header("x-txn").unwrap_or_default().to_string();
            match (txn.starts_with("keep"), tried.lock().expect("no panic").insert(txn)) {
                (false, true) if reset => Reply::reset(b""),
                (false, true) => Reply::SendAndClose(Vec::new()),
                _ => Reply::Send(http_response(200, "", "served")),
            }
        });
        let (_registry, config) = patient(server.address);
        let node = Node::start_ready(&config);
        let mut client = Client::connect(&node);
        for (class, heard, sent) in [("look", 200, 2), ("pay", 200, 2), ("slip", 502, 1)] {
            assert_eq!(client.exchange(&request(class, &format!("keep-{class}"), 15_000)).status(), 200);
            std::thread::sleep(REUSE_DELAY);
            assert_eq!(client.exchange(&request(class, class, 15_000)).status(), heard, "{class}");
            assert_eq!(attempts(&server, class), sent, "{class}");
            let seen = server.requests();
            let on = |txn: &str| seen.iter().find(|m| m.header("x-txn") == Some(txn)).map(|m| m.connection);
            assert_eq!(on(class), on(&format!("keep-{class}")), "{class}: on the kept one");
            std::thread::sleep(REUSE_DELAY);
        }
    }
}

/// A second answer that comes when the next request is already out is not taken for the answer to that.
#[test]
fn a_late_second_answer_does_not_answer_the_next_request() {
    let next = Arc::new(Mutex::new(BTreeSet::new()));
    let come = next.clone();
    let server = TestServer::new(move |m| {
        let txn = m.header("x-txn").unwrap_or("?").to_string();
        come.lock().expect("no panic").insert(txn.clone());
        let Some(n) = txn.strip_prefix("first") else { return Reply::Send(http_response(200, "", &txn)) };
        let (come, then) = (come.clone(), format!("next{n}"));
        let mine = http_response(200, "", &txn);
        Reply::Custom(Box::new(move |out| {
            let _ = out.write_all(&mine);
            // Also where the next request comes on this very connection, and nobody reads it.
            let mut byte = [0; 1];
            out.set_nonblocking(true).expect("a socket");
            wait_until("the next request", || {
                come.lock().expect("no panic").contains(&then) || matches!(out.peek(&mut byte), Ok(1))
            });
            out.set_nonblocking(false).expect("a socket");
            let _ = out.write_all(&mine);
            let _ = out.read(&mut [0; 1000]);
        }))
    });
    let (_registry, config) = patient(server.address);
    let node = Node::start_ready(&config);
    let mut client = Client::connect(&node);
    let mut rounds = 0;
    while rounds < 5 {
        let withheld = node.cpu_wait();
        let (first, then) = (format!("first{rounds}"), format!("next{rounds}"));
        assert_eq!(client.exchange(&request("slip", &first, 15_000)).body, first.as_bytes());
        let heard = client.exchange(&request("slip", &then, 15_000));
        // A connection that has rested for as long as the machine gave no core would be used again.
        if node.cpu_wait() - withheld < 5 * MS {
            assert_eq!((heard.status(), heard.body), (200, then.into_bytes()));
            rounds += 1;
        }
        std::thread::sleep(REUSE_DELAY);
    }
}

/// A server begins once it has all of a request: an answer before that is to another one, or says that it was not
/// taken.
#[test]
fn an_answer_before_the_end_of_its_request_serves_nobody() {
    for (words, heard) in [
        (http_response(200, "", "another's"), 503),
        (http_response(503, "X-Turned-Away: 1\r\n", ""), 503),
        (http_response(500, "", ""), 502),
        (http_response(400, "", ""), 502),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                let mut came = Vec::new();
                while !came.windows(4).any(|w| w == b"\r\n\r\n") {
                    let mut some = [0; 1000];
                    let n = stream.read(&mut some).expect("the node writes");
                    came.extend_from_slice(&some[..n]);
                }
                stream.write_all(&words).expect("the node reads");
                let _ = std::io::copy(&mut stream, &mut std::io::sink());
            }
        });
        let (_registry, config) = patient(address);
        let node = Node::start_ready(&config);
        let mut client = Client::connect(&node);
        client.send(
            "POST /slip/7 HTTP/1.1\r\nHost: x\r\nX-Txn: t1\r\nX-Remaining-Ms: 5000\r\nContent-Length: 200000\r\n\r\n",
        );
        client.send_bytes(&[b'x'; 100_000]);
        assert_eq!(client.receive().map(|m| m.status()), Some(heard));
    }
}

/// Long answers for which there is no room here are held against no server, and not asked for again.
#[test]
fn want_of_room_is_held_against_no_server() {
    let servers = [(); 2].map(|()| {
        TestServer::new(|_| {
            let begun =
                [&b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n"[..], &[b'x'; 100_000]].concat();
            Reply::SendPieces(vec![(Duration::ZERO, begun)], false)
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
    let mut clients: Vec<Client> = (0..100)
        .map(|n| {
            let mut client = Client::connect(&node);
            client.send(&request("look", &format!("t{n}"), 100_000));
            client
        })
        .collect();
    let statuses: Vec<Vec<u8>> = clients.iter_mut().map(|client| client.read(12)).collect();
    let failed = statuses.iter().filter(|s| s.ends_with(b"502")).count();
    assert!(failed >= 10, "{failed}");
    let seen: usize = servers.iter().map(|s| s.requests().len()).sum();
    assert_eq!((seen, metric(&node, "targets_disabled")), (100, 0));
}

/// A request that came right behind another has waited since then: its server is told what is left by now, and nothing
/// is begun for which nothing is.
#[test]
fn the_time_of_what_came_behind_another_request_has_run_meanwhile() {
    const FIRST: Duration = Duration::from_millis(600);
    let server = TestServer::new(|m| {
        let first = m.header("x-txn") == Some("first");
        Reply::SendAfter(if first { FIRST } else { Duration::ZERO }, http_response(200, "", "served"))
    });
    let (_registry, config) = patient(server.address);
    let node = Node::start_ready(&config);
    let mut client = Client::connect(&node);
    client.send(
        &[("first", 15_000), ("second", 5000), ("third", 400)].map(|(t, n)| request("slip", t, n)).concat(),
    );
    assert_eq!([(); 2].map(|()| client.receive().expect("an answer").status()), [200, 200]);
    assert!(client.receive().expect("an answer").status() > 500);
    let seen = server.requests();
    assert_eq!(seen.len(), 2);
    let told: u64 = seen[1].header("x-remaining-ms").and_then(|v| v.parse().ok()).expect("the time");
    assert!(Duration::from_millis(told) + FIRST <= 5000 * MS, "{told} ms");
}
