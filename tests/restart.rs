//! The start of the node's program, with and without a saved list, while discovery is down, silent, slow or cut off.

mod peers;

use std::net::SocketAddr;
use std::time::Duration;

use peers::*;
use serde_json::{json, Value};

/// The values of the setting `Discovery`.
const MODES: [&str; 2] = ["automatic", "subscribe"];
/// Time within which a restarted process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A configuration with this `Discovery` mode and saved list.
fn start_config(discovery: SocketAddr, mode: &str, known: Option<&str>) -> Value {
    let mut config = config(discovery);
    config["settings"]["Discovery"] = json!(mode);
    config["known"] = known.map_or(Value::Null, |list| serde_json::from_str(list).expect("not JSON"));
    config
}

fn is_ready(node: &Node) -> bool {
    Client::connect(node).exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200
}

/// With a saved list a node is ready in time and serves by it, whether discovery refuses connections, is silent, is
/// slow or breaks off; without one it is ready once discovery has sent a list, and not before.
#[test]
fn a_start_with_a_saved_list_is_ready_in_time_whatever_discovery_does() {
    type Script = fn(&str) -> Reply;
    let states: [(&str, Option<Script>); 4] = [
        ("down", None),
        ("silent", Some(|_| Reply::Silence)),
        ("slow", Some(|list| Reply::SendAfter(Duration::from_secs(4), http_response(200, "", list)))),
        ("cut off", Some(|list| Reply::SendAndClose(http_response(200, "", list)[..60].to_vec()))),
    ];
    // In parallel, as each takes seconds.
    std::thread::scope(|scope| {
        for ((mode, saved), (state, script)) in MODES
            .into_iter()
            .flat_map(|mode| [(mode, true), (mode, false)])
            .flat_map(|start| states.map(|state| (start, state)))
        {
            scope.spawn(move || {
                let server = TestServer::ok("a");
                let list = list_line(7, true, &[host("s0", server.address, "active", 1)]);
                // Bound but not listening, so connections are refused.
                let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
                let socket = socket.expect("no socket can be created");
                let any_port = "127.0.0.1:0".parse::<SocketAddr>().expect("not an address");
                socket.bind(&any_port.into()).expect("no free port");
                let address = socket
                    .local_addr()
                    .ok()
                    .and_then(|a| a.as_socket())
                    .expect("the local address is unknown");
                let listen = || {
                    socket
                        .listen(128)
                        .and_then(|()| socket.try_clone())
                        .expect("the socket cannot listen")
                        .into()
                };
                let discovery = script.map(|script| {
                    let list = list.clone();
                    TestServer::with_listener(listen(), move |_| script(&list))
                });
                let timer = WorkTimer::start();
                let node = Node::start_listening(&start_config(address, mode, saved.then_some(&list)), None);
                if saved {
                    node.wait_ready();
                    let took = timer.elapsed(&node);
                    assert!(took < READY_TIMEOUT, "{mode}, {state}: {took:?}");
                } else {
                    wait_until("the node has called discovery", || {
                        node.has_logged("discovery: ")
                            || discovery.as_ref().is_some_and(|d| !d.requests().is_empty())
                    });
                    assert!(!is_ready(&node), "{mode}, {state}: without a list");
                    if discovery.is_some() {
                        return;
                    }
                    let whole = list.clone();
                    let _discovery = TestServer::with_listener(listen(), move |_| {
                        Reply::SendAndClose(http_response(200, "", &whole))
                    });
                    let timer = WorkTimer::start_at(&node);
                    node.wait_ready();
                    let took = timer.elapsed(&node);
                    assert!(took < Duration::from_millis(6050), "{mode}, back: {took:?}");
                }
                let response = Client::connect(&node).exchange(&request("look", "t1", 15_000));
                assert_eq!((response.status(), &response.body[..]), (200, &b"a"[..]), "{mode}, {state}");
            });
        }
    });
}

/// A node without a list is not ready until it receives a list with at least one server.
#[test]
fn an_empty_line_or_change_does_not_make_a_node_ready() {
    for mode in MODES {
        let (discovery, server) = (ManualRegistry::new(), TestServer::ok("a"));
        let node = Node::start_listening(&start_config(discovery.address, mode, None), None);
        let mut watch = discovery.next_call();
        watch.send_head();
        watch.send_chunk("\n{\"seq\":0,\"whole\":false,\"hosts\":[]}\n");
        wait_until("the line was read", || node.has_logged("list 0 heard "));
        assert!(!is_ready(&node), "{mode}");
        watch.send_chunk(&list_line(1, true, &[host("s0", server.address, "active", 1)]));
        node.wait_ready();
    }
}

/// A saved list is taken as a whole one, whatever its `whole` says, and discovery is asked for later changes.
#[test]
fn a_saved_list_is_used_whole_and_replaced_by_what_discovery_sends() {
    for mode in MODES {
        let (discovery, old, new) = (ManualRegistry::new(), TestServer::ok("old"), TestServer::ok("new"));
        let saved = list_line(7, false, &[host("s0", old.address, "active", 1)]);
        let node = Node::start_listening(&start_config(discovery.address, mode, Some(&saved)), None);
        let mut watch = discovery.next_call();
        assert_eq!(watch.path, "/v1/endpoints?watch=1&from=7", "{mode}");
        watch.send_head();
        watch.send_chunk(&list_line(8, true, &[host("s1", new.address, "active", 1)]));
        node.wait_ready();
        let send_request = |_| Client::connect(&node).exchange(&request("look", "t1", 15_000)).body;
        assert!((0..4).map(send_request).all(|body| body == b"new"), "{mode}");
    }
}

/// The program ends with one line that names the field.
#[test]
fn a_bad_saved_list_or_discovery_address_ends_the_start_and_is_named() {
    let entry = |rest: &str| format!(r#"{{"seq":1,"whole":true,"hosts":[{{"host":"s\n0",{rest}}}]}}"#);
    let cases = [
        ("known.seq", r#"{"seq":-1,"whole":true,"hosts":[]}"#.to_string(), "127.0.0.1:9"),
        ("known", r#"{"seq":1,"whole":true}"#.into(), "127.0.0.1:9"),
        ("known", entry(r#""health":"active""#), "127.0.0.1:9"),
        ("known.hosts[0].health", entry(r#""health":"odd""#), "127.0.0.1:9"),
        ("discovery", "null".into(), "127.0.0.1:0"),
    ];
    for (field, known, address) in cases {
        let config = start_config(address.parse().expect("not an address"), "automatic", Some(&known));
        let (code, errors) = run_to_exit(&config, &[]);
        assert_eq!(code, Some(1), "{field}: {errors}");
        assert!(
            errors.starts_with(&format!("glenwood: {field}: ")) && errors.contains("; "),
            "{field}: {errors}"
        );
        assert_eq!(errors.trim().lines().count(), 1, "{errors}");
    }
}
