//! The node's program with misbehaving discovery: broken watches, moves to another address and unreadable lists, while
//! a server is removed from the list.

mod peers;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

/// The values of the setting `Discovery`.
const MODES: [&str; 2] = ["automatic", "subscribe"];
/// Time within which a node must know a change of the list, with the slack that the rules allow.
const LIST_DEADLINE: Duration = Duration::from_millis(6000 + 50);
/// The same after SIGHUP has named another address.
const MOVE_DEADLINE: Duration = Duration::from_millis(4000 + 50);
/// Time for which a draining server may still get requests, with the slack that the rules allow.
const DRAIN_GRACE: Duration = Duration::from_millis(300 + 50);

/// Two servers, discovery under the test's control, and a node that has received a list of both.
struct Fleet {
    discovery: ManualRegistry,
    a: TestServer,
    b: TestServer,
    node: Node,
    config: Value,
}

impl Fleet {
    /// Starts the node; returns its first watch, too, which is open and has sent the whole list as version 1.
    fn new(mode: &str) -> (Self, Call) {
        Self::with_list_layout(mode, |list| list.to_string() + "\n")
    }

    /// The same, with a layout of the list's JSON.
    fn with_list_layout(mode: &str, layout: fn(&str) -> String) -> (Self, Call) {
        let (discovery, a, b) = (ManualRegistry::new(), TestServer::ok("a"), TestServer::ok("b"));
        let mut config = config(discovery.address);
        config["settings"]["Discovery"] = json!(mode);
        let node = Node::start_listening(&config, None);
        let fleet = Self { discovery, a, b, node, config };
        let mut watch = fleet.discovery.next_call();
        watch.send_head();
        watch.send_chunk(&layout(&list_line(1, true, &fleet.hosts())));
        fleet.node.wait_ready();
        wait_until("both servers get requests", || fleet.send_request() == b"a");
        (fleet, watch)
    }

    fn hosts(&self) -> [Value; 2] {
        [host("s0", self.a.address, "active", 1), host("s1", self.b.address, "active", 1)]
    }

    /// A whole list without the first server.
    fn without_a(&self, seq: u64) -> String {
        list_line(seq, true, &self.hosts()[1..])
    }

    /// Sends a request; the name of the server that answered it.
    fn send_request(&self) -> Vec<u8> {
        static TXN: AtomicUsize = AtomicUsize::new(0);
        let txn = format!("t{}", TXN.fetch_add(1, Ordering::SeqCst));
        let response = Client::connect(&self.node).exchange(&request("look", &txn, 15_000));
        assert_eq!(response.status(), 200);
        response.body
    }

    /// Waits until only the second server gets requests, and asserts that this stays so.
    fn wait_a_removed(&self) {
        wait_until("the first server gets no requests", || (0..3).all(|_| self.send_request() == b"b"));
        let before = self.a.requests().len();
        assert!((0..10).all(|_| self.send_request() == b"b"));
        assert_eq!(self.a.requests().len(), before);
    }

    /// Answers every call with the list without the first server, even those that the node has given up, until only the
    /// second server gets requests; returns the calls, which stay open.
    fn answer_until_a_removed(&self, discovery: &ManualRegistry, seq: u64) -> Vec<Call> {
        let mut answered = Vec::new();
        wait_until("the first server gets no requests", || {
            while let Some(mut call) = discovery.next_call_within(Duration::from_millis(1)) {
                self.answer(&mut call, seq);
                answered.push(call);
            }
            (0..3).all(|_| self.send_request() == b"b")
        });
        answered
    }

    /// Answers a call with the list without the first server.
    fn answer(&self, call: &mut Call, seq: u64) {
        call.send_head();
        call.send_chunk(&(self.without_a(seq) + "\n"));
    }
}

/// The same JSON over several lines.
fn indented(json: &str) -> String {
    let list: Value = serde_json::from_str(json).expect("not JSON");
    serde_json::to_string_pretty(&list).expect("the value cannot be serialized")
}

/// A whole list is applied in each layout of its JSON, even with an unchanged version, and the watch stays open. A
/// server that is missing from the list gets no new request, though it still answers.
#[test]
fn a_whole_list_on_a_watch_is_applied_in_any_layout() {
    let layouts: [fn(&str) -> String; 3] = [
        |list| indented(list) + "\n",
        |list| indented(list).replace('\n', "\r\n") + "\r\n",
        |list| list.to_string(),
    ];
    for mode in MODES {
        for (n, layout) in layouts.iter().enumerate() {
            let (fleet, mut watch) = Fleet::with_list_layout(mode, *layout);
            for byte in layout(&fleet.without_a(1)).chars() {
                assert!(watch.send_chunk(&byte.to_string()), "{mode}, layout {n}");
            }
            fleet.wait_a_removed();
            while let Some(call) = fleet.discovery.next_call_within(Duration::ZERO) {
                // On a slow machine the node may have opened a second watch at its start; the first stays open.
                assert!(call.path.ends_with("from=0"), "{mode}, layout {n}: {}", call.path);
            }
        }
    }
}

/// A watch falls silent, ends or is reset, each at four places of the stream, while a server is removed. The node calls
/// again in time, receives the change, and sends the server no new request.
#[test]
fn a_removal_missed_by_a_broken_watch_is_applied_in_time() {
    let places: [(&str, &str); 4] =
        [("at its start", ""), ("after a line", "\n"), ("in a line", "{\"seq\""), ("in blanks", " ")];
    let ends = ["silence", "end", "reset"];
    // In parallel, as each silence takes seconds.
    std::thread::scope(|scope| {
        for (mode, (place, text), end) in
            MODES.into_iter().flat_map(|w| places.map(|p| (w, p))).flat_map(|(w, p)| ends.map(|e| (w, p, e)))
        {
            scope.spawn(move || {
                let (fleet, first) = Fleet::new(mode);
                // The watch that breaks is one that has not sent a list yet.
                first.reset();
                let mut watch = fleet.discovery.next_call();
                watch.send_head();
                watch.send_chunk(text);
                let timer = WorkTimer::start_at(&fleet.node);
                let mut watch = Some(watch);
                match end {
                    "end" => watch.take().expect("the watch is not open").finish(),
                    "reset" => watch.take().expect("the watch is not open").reset(),
                    _ => {}
                }
                let mut next = None;
                wait_until("the node calls again", || {
                    if let Some(watch) = watch.as_mut().filter(|_| place == "in blanks") {
                        watch.send_chunk(text);
                    }
                    next = fleet.discovery.next_call_within(Duration::from_millis(500));
                    next.is_some()
                });
                fleet.answer(next.as_mut().expect("the node did not call again"), 2);
                let _open_calls = fleet.answer_until_a_removed(&fleet.discovery, 2);
                fleet.wait_a_removed();
                let took = timer.elapsed(&fleet.node);
                assert!(took < LIST_DEADLINE + DRAIN_GRACE, "{mode}, {end} {place}: {took:?}");
            });
        }
    });
}

/// With `Discovery` set to `automatic`, discovery accepts connections but answers none, and resets some. The node
/// always has a recent call open, without a reconnect storm, and applies the first answer after the return at once.
#[test]
fn the_list_is_applied_at_once_when_unresponsive_discovery_returns() {
    for reset_every in [1, 2, 3, 100] {
        let (fleet, watch) = Fleet::new("automatic");
        let start = Instant::now();
        watch.reset();
        let mut unanswered = Vec::new();
        for n in 1..=12 {
            let call = fleet.discovery.next_call();
            match n % reset_every {
                0 => call.reset(),
                _ => unanswered.push(call),
            }
        }
        assert!(
            start.elapsed() > Duration::from_millis(12 * 100),
            "every {reset_every}: a reconnect storm, {:?}",
            start.elapsed()
        );
        let timer = WorkTimer::start_at(&fleet.node);
        let _open_calls = fleet.answer_until_a_removed(&fleet.discovery, 2);
        let took = timer.elapsed(&fleet.node);
        // A call that had to time out first would take 1 s, and a watch 3.2 s.
        assert!(took < Duration::from_millis(900), "every {reset_every}: {took:?}");
        fleet.wait_a_removed();
    }
}

/// Covers SIGHUP during an outage, with half a list received from the old address, twice in a row, and to the same
/// address. The whole list of the last address is applied within 4 s, whatever its version, and nothing that arrives
/// late from another address is.
#[test]
fn sighup_applies_the_list_of_the_new_address_in_time_whatever_is_in_flight() {
    for mode in MODES {
        // The addresses that the node is moved to in turn, 0 being its first one, and the version of the last list.
        for (addresses, seq) in
            [(&[1][..], 1), (&[1], 0), (&[1, 2], 1), (&[1, 0], 1), (&[0], 1), (&[1, 2], 2)]
        {
            let (mut fleet, watch) = Fleet::new(mode);
            watch.reset();
            let late_list = list_line(99, true, &fleet.hosts()[..1]) + "\n";
            let (half, rest) = late_list.split_at(late_list.len() / 2);
            let others = [ManualRegistry::new(), ManualRegistry::new()];
            // At each address discovery stops in the middle of a response before the node is moved on.
            let send_half = |discovery: &ManualRegistry, path: &str| {
                let mut call = discovery.next_call();
                while !call.path.starts_with(path) || call.path.contains("watch") != path.contains("watch") {
                    call = discovery.next_call();
                }
                call.send_head();
                call.send_chunk(half);
                call
            };
            let mut unfinished = vec![send_half(&fleet.discovery, "/v1/endpoints?watch")];
            let (mut last, mut moved_at) = (0, Instant::now());
            for address in addresses {
                last = *address;
                let discovery = if last == 0 { &fleet.discovery } else { &others[last - 1] };
                fleet.config["discovery"] = json!(discovery.address.to_string());
                moved_at = Instant::now();
                fleet.node.reload(&fleet.config.to_string());
                unfinished.push(send_half(discovery, "/v1/endpoints"));
            }
            unfinished.pop().expect("no call is unfinished").reset();
            for call in &mut unfinished {
                call.send_chunk(rest);
            }
            let cpu_wait = fleet.node.cpu_wait();
            let discovery = if last == 0 { &fleet.discovery } else { &others[last - 1] };
            let _open_calls = fleet.answer_until_a_removed(discovery, seq);
            let took = moved_at.elapsed().saturating_sub(fleet.node.cpu_wait() - cpu_wait);
            assert!(took < MOVE_DEADLINE + DRAIN_GRACE, "{mode} {addresses:?} {seq}: {took:?}");
            fleet.wait_a_removed();
        }
    }
}

/// One line says what is wrong with the file.
#[test]
fn sighup_with_a_bad_file_logs_the_reason_and_keeps_the_watch() {
    let (fleet, mut watch) = Fleet::new("subscribe");
    let cases = [
        ("", "BALANCER_CONFIG: not JSON"),
        ("[]", "BALANCER_CONFIG: not JSON"),
        ("{}", "discovery: missing"),
        ("{\"discovery\": null}", "discovery: missing"),
        ("{\"discovery\": 7}", "discovery: invalid type"),
        ("{\"discovery\": \"nowhere\"}", "discovery: IP address and port expected"),
        ("{\"discovery\": \"127.0.0.1:0\"}", "discovery: a port above 0 expected"),
    ];
    for (content, reason) in cases {
        fleet.node.reload(content);
        wait_until(reason, || fleet.node.has_logged(&format!("SIGHUP: nothing changed: {reason}")));
    }
    std::fs::remove_file(&fleet.node.config_path).expect("the file cannot be removed");
    fleet.node.signal("-HUP");
    let missing = format!("SIGHUP: nothing changed: BALANCER_CONFIG: {}: ", fleet.node.config_path);
    wait_until("the missing file is logged", || fleet.node.has_logged(&missing));
    watch.send_chunk(&(fleet.without_a(2) + "\n"));
    fleet.wait_a_removed();
    assert!(fleet.discovery.next_call_within(Duration::ZERO).is_none(), "the watch stays open");
}

/// An unreadable list takes bounded memory and one log line, and the node requests the whole list until it can read it.
#[test]
fn unreadable_lists_leave_the_last_good_list_in_use() {
    let (fleet, mut watch) = Fleet::new("automatic");
    let unknown_health = |health: &str| list_line(9, true, &[host("s0", fleet.a.address, health, 1)]);
    watch.send_chunk("<html>\n");
    for bad in ["<html>".to_string(), unknown_health("do\nze"), unknown_health(&"x".repeat(2_000_000))] {
        let mut list_requests = 0;
        while list_requests < 3 {
            let mut call = fleet.discovery.next_call();
            call.write(&http_response(200, "", &bad));
            list_requests += usize::from(call.path == "/v1/endpoints");
        }
        wait_until("both servers get requests", || fleet.send_request() == b"a");
    }
    let (before, endless) = (fleet.node.peak_memory_kib(), "x".repeat(1 << 20));
    wait_until("an endless line is cut off", || {
        let mut call = fleet.discovery.next_call();
        call.send_head();
        call.send_chunk("{\"seq\":\"");
        assert!((0..64).any(|_| !call.send_chunk(&endless)), "the endless line was read on");
        fleet.node.has_logged("message exceeds 4194304 bytes")
    });
    let grown = fleet.node.peak_memory_kib() - before;
    assert!(grown < 24 * 1024, "{grown} KiB for an endless line");
    // Numbers that are valid JSON but make no sense: the list is applied as any other.
    let mut hosts = fleet.hosts();
    (hosts[0]["share"], hosts[0]["born_ms"]) = (json!(-1e308), json!(1e300));
    (hosts[1]["share"], hosts[1]["born_ms"]) = (json!(1.7e308), json!(-1e300));
    let list = list_line(10, true, &[&hosts[..], &hosts[..]].concat());
    let mut watch = loop {
        let mut call = fleet.discovery.next_call();
        if call.path.ends_with("from=10") {
            break call;
        }
        call.write(&http_response(200, "", &list));
    };
    assert!((0..20).all(|_| [&b"a"[..], b"b"].contains(&&fleet.send_request()[..])));
    fleet.answer(&mut watch, 11);
    let _open_calls = fleet.answer_until_a_removed(&fleet.discovery, 11);
    for line in fleet.node.log_lines() {
        assert!(line.len() < 2000 && !line.starts_with("ze"), "{} bytes: {line:.100}", line.len());
    }
}
