//! The real program between discovery that misbehaves and servers that drain: what crosses on the way of the list.

mod peers;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

/// The ways of `Discovery` in the settings.
const WAYS: [&str; 2] = ["automatic", "subscribe"];
/// What a change of the list may take until it counts as told, also after a move, and the grace of a drain, with the rules' slack.
const TOLD: Duration = Duration::from_millis(6000 + 50);
const MOVED: Duration = Duration::from_millis(4000 + 50);
const GRACE: Duration = Duration::from_millis(300 + 50);

/// Two servers, and a node that has had its list of both.
struct Fleet {
    agent: ManualRegistry,
    a: TestServer,
    b: TestServer,
    node: Node,
    config: Value,
}

impl Fleet {
    /// The node's first watch stands, and has brought the whole list at version 1.
    fn new(way: &str) -> (Self, Call) {
        Self::told(way, |words| words.to_string() + "\n")
    }

    /// The same, and the list came in a form of its own.
    fn told(way: &str, form: fn(&str) -> String) -> (Self, Call) {
        let (agent, a, b) = (ManualRegistry::new(), TestServer::ok("a"), TestServer::ok("b"));
        let mut config = config(agent.address);
        config["settings"]["Discovery"] = json!(way);
        let node = Node::start_listening(&config, None);
        let fleet = Self { agent, a, b, node, config };
        let mut watch = fleet.agent.next_call();
        watch.send_head();
        watch.send_chunk(&form(&list_line(1, true, &fleet.hosts())));
        fleet.node.wait_ready();
        wait_until("both have turns", || fleet.ask() == b"a");
        (fleet, watch)
    }

    fn hosts(&self) -> [Value; 2] {
        [host("s0", self.a.address, "active", 1), host("s1", self.b.address, "active", 1)]
    }

    /// A list that leaves out the first server.
    fn without_a(&self, seq: u64) -> String {
        list_line(seq, true, &self.hosts()[1..])
    }

    fn ask(&self) -> Vec<u8> {
        static TXN: AtomicUsize = AtomicUsize::new(0);
        let txn = format!("t{}", TXN.fetch_add(1, Ordering::SeqCst));
        let heard = Client::connect(&self.node).exchange(&request("look", &txn, 15_000));
        assert_eq!(heard.status(), 200);
        heard.body
    }

    /// Waits until turns go to the second server alone, and looks that they stay there.
    fn until_a_is_left(&self) {
        wait_until("the first has no turns", || (0..3).all(|_| self.ask() == b"b"));
        let seen = self.a.requests().len();
        assert!((0..10).all(|_| self.ask() == b"b"));
        assert_eq!(self.a.requests().len(), seen);
    }

    /// Answers the calls that come, also such as were given up, until turns go to the second server alone.
    fn tell_all(&self, agent: &ManualRegistry, seq: u64) -> Vec<Call> {
        let mut told = Vec::new();
        wait_until("the first has no turns", || {
            while let Some(mut call) = agent.next_call_within(Duration::from_millis(1)) {
                self.tell(&mut call, seq);
                told.push(call);
            }
            (0..3).all(|_| self.ask() == b"b")
        });
        told
    }

    /// Answers a call, by the list without the first server.
    fn tell(&self, call: &mut Call, seq: u64) {
        call.send_head();
        call.send_chunk(&(self.without_a(seq) + "\n"));
    }
}

/// The same words, over several lines.
fn indented(words: &str) -> String {
    let list: Value = serde_json::from_str(words).expect("JSON");
    serde_json::to_string_pretty(&list).expect("plain data")
}

/// A whole list counts in each form that it may come in, at the same version too, and the watch stays; a server that it
/// leaves out gets nothing new, though it answers.
#[test]
fn a_whole_list_on_a_watch_counts_in_any_form() {
    let forms: [fn(&str) -> String; 3] = [
        |words| indented(words) + "\n",
        |words| indented(words).replace('\n', "\r\n") + "\r\n",
        |words| words.to_string(),
    ];
    for way in WAYS {
        for (n, form) in forms.iter().enumerate() {
            let (fleet, mut watch) = Fleet::told(way, *form);
            for byte in form(&fleet.without_a(1)).chars() {
                assert!(watch.send_chunk(&byte.to_string()), "{way}, form {n}");
            }
            fleet.until_a_is_left();
            while let Some(call) = fleet.agent.next_call_within(Duration::ZERO) {
                // One beside the first, where the machine was slow; the watch stands.
                assert!(call.path.ends_with("from=0"), "{way}, form {n}: {}", call.path);
            }
        }
    }
}

/// A watch falls silent, at each place, or is ended or reset there; the server has drained by the next call, which comes
/// in time, and nothing new goes to it.
#[test]
fn a_drain_that_a_broken_watch_misses_counts_in_time() {
    let places: [(&str, &str); 4] =
        [("at its start", ""), ("after a line", "\n"), ("in a line", "{\"seq\""), ("blanks", " ")];
    let ends = ["silence", "end", "reset"];
    // Side by side: each silence takes seconds.
    std::thread::scope(|scope| {
        for (way, (place, words), end) in
            WAYS.into_iter().flat_map(|w| places.map(|p| (w, p))).flat_map(|(w, p)| ends.map(|e| (w, p, e)))
        {
            scope.spawn(move || {
                let (fleet, first) = Fleet::new(way);
                // A watch that has just begun, and one that has not told anything.
                first.reset();
                let mut watch = fleet.agent.next_call();
                watch.send_head();
                watch.send_chunk(words);
                let (fell, withheld) = (Instant::now(), fleet.node.cpu_wait());
                let mut watch = Some(watch);
                match end {
                    "end" => watch.take().expect("it stands").finish(),
                    "reset" => watch.take().expect("it stands").reset(),
                    _ => {}
                }
                let mut next = None;
                wait_until("the node calls again", || {
                    if let Some(watch) = watch.as_mut().filter(|_| place == "blanks") {
                        watch.send_chunk(words);
                    }
                    next = fleet.agent.next_call_within(Duration::from_millis(500));
                    next.is_some()
                });
                fleet.tell(next.as_mut().expect("it came"), 2);
                let _told = fleet.tell_all(&fleet.agent, 2);
                fleet.until_a_is_left();
                let took = fell.elapsed().saturating_sub(fleet.node.cpu_wait() - withheld);
                assert!(took < TOLD + GRACE, "{way}, {end} {place}: {took:?}");
            });
        }
    });
}

/// Pushed, and the agent silent: its machine takes calls and answers none, and some are reset. There is a fresh call all
/// the time, never many, and what is had by the first after the return counts at once.
#[test]
fn what_the_agent_has_at_its_return_counts_at_once() {
    for every in [1, 2, 3, 100] {
        let (fleet, watch) = Fleet::new("automatic");
        let start = Instant::now();
        watch.reset();
        let mut held = Vec::new();
        for n in 1..=12 {
            let call = fleet.agent.next_call();
            match n % every {
                0 => call.reset(),
                _ => held.push(call),
            }
        }
        assert!(
            start.elapsed() > Duration::from_millis(12 * 100),
            "{every}: a storm in {:?}",
            start.elapsed()
        );
        let (back, withheld) = (Instant::now(), fleet.node.cpu_wait());
        let _told = fleet.tell_all(&fleet.agent, 2);
        let took = back.elapsed().saturating_sub(fleet.node.cpu_wait() - withheld);
        // A call that had to be given up first would be 1 s old, and a watch 3.2 s.
        assert!(took < Duration::from_millis(900), "{every}: {took:?}");
        fleet.until_a_is_left();
    }
}

/// SIGHUP: in an outage, with a list under way from the old address, twice in a row, and to the same address. The list
/// of the last address counts whole within 4 s, whatever its version, and nothing that comes late from elsewhere.
#[test]
fn a_move_counts_in_time_whatever_it_crosses() {
    for way in WAYS {
        // Where the node is sent in turn, 0 is where it was; and the version of the list at the last.
        for (turns, seq) in [(&[1][..], 1), (&[1], 0), (&[1, 2], 1), (&[1, 0], 1), (&[0], 1), (&[1, 2], 2)] {
            let (mut fleet, watch) = Fleet::new(way);
            watch.reset();
            let stray = list_line(99, true, &fleet.hosts()[..1]) + "\n";
            let (half, rest) = stray.split_at(stray.len() / 2);
            let others = [ManualRegistry::new(), ManualRegistry::new()];
            // At each there is an outage in the middle of an answer, before the node is sent on.
            let begin = |agent: &ManualRegistry, path: &str| {
                let mut call = agent.next_call();
                while !call.path.starts_with(path) || call.path.contains("watch") != path.contains("watch") {
                    call = agent.next_call();
                }
                call.send_head();
                call.send_chunk(half);
                call
            };
            let mut late = vec![begin(&fleet.agent, "/v1/endpoints?watch")];
            let (mut last, mut told) = (0, Instant::now());
            for turn in turns {
                last = *turn;
                let agent = if last == 0 { &fleet.agent } else { &others[last - 1] };
                fleet.config["discovery"] = json!(agent.address.to_string());
                told = Instant::now();
                fleet.node.reload(&fleet.config.to_string());
                late.push(begin(agent, "/v1/endpoints"));
            }
            late.pop().expect("the last").reset();
            for call in &mut late {
                call.send_chunk(rest);
            }
            let withheld = fleet.node.cpu_wait();
            let agent = if last == 0 { &fleet.agent } else { &others[last - 1] };
            let _told = fleet.tell_all(agent, seq);
            let took = told.elapsed().saturating_sub(fleet.node.cpu_wait() - withheld);
            assert!(took < MOVED + GRACE, "{way} {turns:?} {seq}: {took:?}");
            fleet.until_a_is_left();
        }
    }
}

/// A file that can't be used is one line that names what is wrong, and changes nothing: the watch stands.
#[test]
fn a_bad_file_changes_nothing() {
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
    for (file, words) in cases {
        fleet.node.reload(file);
        wait_until(words, || fleet.node.has_logged(&format!("SIGHUP: nothing changed: {words}")));
    }
    std::fs::remove_file(&fleet.node.config_path).expect("a file");
    fleet.node.signal("-HUP");
    let unread = format!("SIGHUP: nothing changed: BALANCER_CONFIG: {}: ", fleet.node.config_path);
    wait_until("the file is missed", || fleet.node.has_logged(&unread));
    watch.send_chunk(&(fleet.without_a(2) + "\n"));
    fleet.until_a_is_left();
    assert!(fleet.agent.next_call_within(Duration::ZERO).is_none(), "the watch stands");
}

/// What discovery says badly leaves the last good list in service, takes bounded memory and one line of the log, and
/// the whole list is asked for until it can be read.
#[test]
fn bad_lists_leave_the_last_good_one() {
    let (fleet, mut watch) = Fleet::new("automatic");
    let unknown = |word: &str| list_line(9, true, &[host("s0", fleet.a.address, word, 1)]);
    watch.send_chunk("<html>\n");
    for bad in ["<html>".to_string(), unknown("do\nze"), unknown(&"x".repeat(2_000_000))] {
        let mut asked = 0;
        while asked < 3 {
            let mut call = fleet.agent.next_call();
            call.write(&http_response(200, "", &bad));
            asked += usize::from(call.path == "/v1/endpoints");
        }
        wait_until("both have turns", || fleet.ask() == b"a");
    }
    let (before, endless) = (fleet.node.peak_memory_kib(), "x".repeat(1 << 20));
    wait_until("a line without end is cut off", || {
        let mut call = fleet.agent.next_call();
        call.send_head();
        call.send_chunk("{\"seq\":\"");
        assert!((0..64).any(|_| !call.send_chunk(&endless)), "it was read to the end");
        fleet.node.has_logged("longer than a line may be")
    });
    let grown = fleet.node.peak_memory_kib() - before;
    assert!(grown < 24 * 1024, "{grown} KiB for a line without end");
    // Figures that can be read, and can't be: they count as others would.
    let mut hosts = fleet.hosts();
    (hosts[0]["share"], hosts[0]["born_ms"]) = (json!(-1e308), json!(1e300));
    (hosts[1]["share"], hosts[1]["born_ms"]) = (json!(1.7e308), json!(-1e300));
    let words = list_line(10, true, &[&hosts[..], &hosts[..]].concat());
    let mut watch = loop {
        let mut call = fleet.agent.next_call();
        if call.path.ends_with("from=10") {
            break call;
        }
        call.write(&http_response(200, "", &words));
    };
    assert!((0..20).all(|_| [&b"a"[..], b"b"].contains(&&fleet.ask()[..])));
    fleet.tell(&mut watch, 11);
    let _told = fleet.tell_all(&fleet.agent, 11);
    for line in fleet.node.log_lines() {
        assert!(line.len() < 2000 && !line.starts_with("ze"), "{} bytes: {line:.100}", line.len());
    }
}
