//! The real program at its start, between lists that were saved and discovery that does not answer as it should.

mod peers;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

const WAYS: [&str; 2] = ["automatic", "subscribe"];
/// By when a process that was started anew has to be ready.
const READY: Duration = Duration::from_secs(10);

fn started(discovery: SocketAddr, way: &str, known: Option<&str>) -> Value {
    let mut config = config(discovery);
    config["settings"]["Discovery"] = json!(way);
    config["known"] = known.map_or(Value::Null, |list| serde_json::from_str(list).expect("JSON"));
    config
}

fn is_ready(node: &Node) -> bool {
    Client::connect(node).exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200
}

/// With a saved list a node is ready in time and serves by it, whether discovery refuses, is silent, is slow, or breaks
/// off; without one it is once discovery has a list for it, and not before.
#[test]
fn a_start_is_ready_in_time_whatever_discovery_does() {
    type Script = fn(&str) -> Reply;
    let states: [(&str, Option<Script>); 4] = [
        ("down", None),
        ("silent", Some(|_| Reply::Silence)),
        ("slow", Some(|list| Reply::SendAfter(Duration::from_secs(4), http_response(200, "", list)))),
        ("cut off", Some(|list| Reply::SendAndClose(http_response(200, "", list)[..60].to_vec()))),
    ];
    // Side by side: each takes seconds.
    std::thread::scope(|scope| {
        for ((way, saved), (state, script)) in WAYS
            .into_iter()
            .flat_map(|way| [(way, true), (way, false)])
            .flat_map(|start| states.map(|state| (start, state)))
        {
            scope.spawn(move || {
                let server = TestServer::ok("a");
                let list = list_line(7, true, &[host("s0", server.address, "active", 1)]);
                // Bound and not listening: it refuses.
                let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
                let socket = socket.expect("a socket");
                let any = "127.0.0.1:0".parse::<SocketAddr>().expect("an address");
                socket.bind(&any.into()).expect("a port");
                let at = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("bound");
                let open =
                    || socket.listen(128).and_then(|()| socket.try_clone()).expect("it listens").into();
                let bad = script.map(|script| {
                    let list = list.clone();
                    TestServer::on(open(), move |_| script(&list))
                });
                let start = Instant::now();
                let node = Node::start_listening(&started(at, way, saved.then_some(&list)), None);
                if saved {
                    node.wait_ready();
                    let took = start.elapsed().saturating_sub(node.cpu_wait());
                    assert!(took < READY, "{way}, {state}: {took:?}");
                } else {
                    wait_until("it has asked", || {
                        node.has_logged("discovery: ")
                            || bad.as_ref().is_some_and(|b| !b.requests().is_empty())
                    });
                    assert!(!is_ready(&node), "{way}, {state}: without a list");
                    if bad.is_some() {
                        return;
                    }
                    let words = list.clone();
                    let (_back, since) = (
                        TestServer::on(open(), move |_| Reply::SendAndClose(http_response(200, "", &words))),
                        Instant::now(),
                    );
                    node.wait_ready();
                    let took = since.elapsed().saturating_sub(node.cpu_wait());
                    assert!(took < Duration::from_millis(6050), "{way}, back: {took:?}");
                }
                let heard = Client::connect(&node).exchange(&request("look", "t1", 15_000));
                assert_eq!((heard.status(), &heard.body[..]), (200, &b"a"[..]), "{way}, {state}");
            });
        }
    });
}

/// No news is no list: a node without one is not ready by it, and is by the list that follows.
#[test]
fn an_empty_line_makes_nobody_ready() {
    for way in WAYS {
        let (agent, server) = (ManualRegistry::new(), TestServer::ok("a"));
        let node = Node::start_listening(&started(agent.address, way, None), None);
        let mut watch = agent.next_call();
        watch.send_head();
        watch.send_chunk("\n{\"seq\":0,\"whole\":false,\"hosts\":[]}\n");
        wait_until("the line was read", || node.has_logged("list 0 heard "));
        assert!(!is_ready(&node), "{way}");
        watch.send_chunk(&list_line(1, true, &[host("s0", server.address, "active", 1)]));
        node.wait_ready();
    }
}

/// A saved list counts whole, whatever it says of itself, and discovery is asked for what came since.
#[test]
fn a_saved_list_is_no_answer_of_discovery() {
    for way in WAYS {
        let (agent, old, new) = (ManualRegistry::new(), TestServer::ok("old"), TestServer::ok("new"));
        let saved = list_line(7, false, &[host("s0", old.address, "active", 1)]);
        let node = Node::start_listening(&started(agent.address, way, Some(&saved)), None);
        let mut watch = agent.next_call();
        assert_eq!(watch.path, "/v1/endpoints?watch=1&from=7", "{way}");
        watch.send_head();
        watch.send_chunk(&list_line(8, true, &[host("s1", new.address, "active", 1)]));
        node.wait_ready();
        let ask = |_| Client::connect(&node).exchange(&request("look", "t1", 15_000)).body;
        assert!((0..4).map(ask).all(|body| body == b"new"), "{way}");
    }
}

/// What can't be used of a saved list, or of where discovery is, ends the start in one line that names it.
#[test]
fn a_bad_list_or_address_ends_the_start() {
    let entry = |rest: &str| format!(r#"{{"seq":1,"whole":true,"hosts":[{{"host":"s\n0",{rest}}}]}}"#);
    let cases = [
        ("known.seq", r#"{"seq":-1,"whole":true,"hosts":[]}"#.to_string(), "127.0.0.1:9"),
        ("known", r#"{"seq":1,"whole":true}"#.into(), "127.0.0.1:9"),
        ("known", entry(r#""health":"active""#), "127.0.0.1:9"),
        ("known.hosts[0].health", entry(r#""health":"odd""#), "127.0.0.1:9"),
        ("discovery", "null".into(), "127.0.0.1:0"),
    ];
    for (field, known, at) in cases {
        let config = started(at.parse().expect("an address"), "automatic", Some(&known));
        let (code, words) = run_to_exit(&config, &[]);
        assert_eq!(code, Some(1), "{field}: {words}");
        assert!(
            words.starts_with(&format!("glenwood: {field}: ")) && words.contains("; "),
            "{field}: {words}"
        );
        assert_eq!(words.trim().lines().count(), 1, "{words}");
    }
}
