//! Long and slow bodies through the real program.

mod peers;

use std::time::{Duration, Instant};

use peers::*;
use serde_json::json;

const MS: Duration = Duration::from_millis(1);

/// A keyed request with so long a body, without the body.
fn head(txn: &str, remaining: u64, framing: &str) -> String {
    format!(
        "POST /pay/7 HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Remaining-Ms: {remaining}\r\n\
         Idempotency-Key: k\r\n{framing}\r\n\r\n"
    )
}

/// Sends the pieces, so long one after another: one that goes out late makes the next no later.
fn paced<'a>(client: &mut Client, pieces: impl Iterator<Item = &'a [u8]>, every: Duration) {
    let began = Instant::now();
    for (piece, n) in pieces.zip(1..) {
        std::thread::sleep((every * n).saturating_sub(began.elapsed()));
        client.send_bytes(piece);
    }
}

/// However long a request takes to come, its time counts from its last byte.
#[test]
fn a_request_has_its_time_from_its_last_byte() {
    let server = TestServer::ok("s0");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    let words = request("look", "t1", 900);
    paced(&mut client, words.as_bytes().chunks(words.len().div_ceil(12)), 100 * MS);
    assert_eq!(client.receive().expect("an answer").status(), 200);
    // A body at less than a slow client's pace, longer than a stalled one is waited for.
    client.send(&head("t2", 2500, "Content-Length: 61440"));
    let began = Instant::now();
    paced(&mut client, [b'x'; 61_440].chunks(2048), 90 * MS);
    assert!(began.elapsed() > 2500 * MS);
    assert_eq!(client.receive().expect("an answer").status(), 200);
    assert_eq!(server.requests()[1].body.len(), 61440);
}

fn one(script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> (TestServer, Registry) {
    let server = TestServer::new(script);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    (server, registry)
}

/// So many bytes that differ from place to place.
fn long(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n / 7 % 251) as u8).collect()
}

fn of_length(body: &[u8]) -> Vec<u8> {
    [format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(), body].concat()
}

/// A head and then chunks, with the last one or without.
fn chunked(head: &str, body: &[u8], whole: bool) -> Vec<u8> {
    let mut bytes = head.as_bytes().to_vec();
    for chunk in body.chunks(10_000) {
        bytes.extend([format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat());
    }
    bytes.extend_from_slice(if whole { b"0\r\n\r\n" } else { b"" });
    bytes
}

const OK_CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const OK_TO_THE_END: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// In every framing, to every kind of client, a long answer comes through unchanged.
#[test]
fn long_answers_pass_unchanged() {
    let body = long(3_000_000);
    let sent = body.clone();
    let (server, registry) = one(move |m| match m.header("x-txn") {
        Some("length") => Reply::Send(of_length(&sent)),
        Some("chunks") => Reply::Send(chunked(OK_CHUNKED, &sent, true)),
        _ => Reply::SendAndClose([OK_TO_THE_END.as_bytes(), &sent].concat()),
    });
    let node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    for (n, txn) in ["length", "chunks", "end", "length", "chunks"].iter().enumerate() {
        let heard = client.exchange(&request("look", txn, 15_000));
        assert_eq!((heard.status(), heard.body == body), (200, true), "{txn}");
        let known = heard.header("content-length").is_some();
        assert_eq!(known, *txn == "length", "{n}");
        std::thread::sleep(REUSE_DELAY);
    }
    assert_eq!(
        server.requests()[4].connection,
        2,
        "a connection is kept behind a long answer that has ended"
    );
    for txn in ["length", "chunks", "end"] {
        let old = request("look", txn, 15_000).replace("HTTP/1.1", "HTTP/1.0");
        let mut client = Client::connect(&node);
        client.send(&old);
        let (bytes, in_order) = client.read_to_end();
        assert!(bytes.starts_with(b"HTTP/1.") && bytes.ends_with(&body) && in_order, "{txn}");
    }
}

/// The first bytes of a long answer do not wait for the others, nor for its deadline.
#[test]
fn a_long_answer_is_passed_on_as_it_comes() {
    let body = long(200_000);
    let (first, rest) = (body[..500].to_vec(), body[500..].to_vec());
    let (_server, registry) = one(move |m| {
        let head = match m.header("x-txn") {
            Some("length") => "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n",
            _ => OK_TO_THE_END,
        };
        let start = [head.as_bytes(), &first].concat();
        Reply::SendPieces(vec![(Duration::ZERO, start), (2500 * MS, rest.clone())], true)
    });
    let node = Node::start_ready(&config(registry.address));
    for txn in ["length", "end"] {
        let mut client = Client::connect(&node);
        let asked = Instant::now();
        client.send(&request("look", txn, 1000));
        let start = client.read(64);
        assert!(
            start.starts_with(b"HTTP/1.1 200 OK") && asked.elapsed() < 2000 * MS,
            "{:?}",
            asked.elapsed()
        );
        let mut whole = start;
        while !whole.windows(8).any(|w| w == &body[199_992..]) {
            let more = client.read(64 * 1024);
            assert!(!more.is_empty(), "cut off after {} bytes", whole.len());
            whole.extend(more);
        }
        assert!(asked.elapsed() > 2400 * MS, "past its deadline");
    }
}

/// What breaks in the middle never looks whole, in any framing; a short one is asked for again.
#[test]
fn a_break_in_the_middle_is_seen_by_the_client() {
    let body = long(300_000);
    let sent = body.clone();
    let (server, registry) = one(move |m| match m.header("x-txn") {
        Some("length") => Reply::SendAndClose(of_length(&sent)[..200_000].to_vec()),
        _ => Reply::SendAndClose(chunked(OK_CHUNKED, &sent[..200_000], false)),
    });
    let node = Node::start_ready(&config(registry.address));
    for txn in ["length", "chunks"] {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let mut client = Client::connect(&node);
            client.send(&request("look", txn, 15_000).replace("HTTP/1.1", version));
            let (bytes, in_order) = client.read_to_end();
            let cut = bytes.len() < body.len();
            let told = bytes.windows(15).any(|w| w.eq_ignore_ascii_case(b"content-length:"));
            let chunks = bytes.windows(8).any(|w| w.eq_ignore_ascii_case(b"chunked\r"));
            assert!(cut && (told || chunks || !in_order), "{txn} {version}: {} bytes", bytes.len());
            assert!(!bytes.ends_with(b"0\r\n\r\n"));
        }
    }
    assert_eq!(server.requests().len(), 4, "none was asked for again");
}

/// A long answer counts once, when it has ended: as served where all of it went out, else as failed. Until then its
/// request is in progress.
#[test]
fn a_long_answer_counts_by_its_end() {
    let body = long(300_000);
    let (_server, registry) = one(move |m| match m.header("x-txn") {
        Some("breaks") => Reply::SendAndClose(of_length(&body)[..200_000].to_vec()),
        Some("waits") => {
            Reply::SendPieces(vec![(Duration::ZERO, of_length(&body)[..200_000].to_vec())], false)
        }
        _ => Reply::Send(of_length(&body)),
    });
    let node = Node::start_ready(&config_with_admin(&registry));
    assert_eq!(Client::connect(&node).exchange(&request("look", "whole", 5000)).status(), 200);
    wait_until("it is served", || metric(&node, "replies.look.success") == 1);
    let mut client = Client::connect(&node);
    client.send(&request("look", "breaks", 5000));
    assert!(client.read_to_end().0.len() < 300_000);
    wait_until("it has failed", || metric(&node, "replies.look.error") == 1);
    let mut client = Client::connect(&node);
    client.send(&request("look", "waits", 5000));
    assert!(client.read(15).starts_with(b"HTTP/1.1 200"));
    assert_eq!((metric(&node, "concurrent"), metric(&node, "dispatches")), (1, 3));
    drop(client);
    wait_until("it was left", || metric(&node, "concurrent") == 0);
    assert_eq!(metric(&node, "replies.look.success"), 1);
    assert_eq!(metric(&node, "replies.look.error"), 2);
}

/// In every framing a long request comes through unchanged, and is sent once.
#[test]
fn long_requests_pass_unchanged() {
    let body = long(1_000_000);
    let (server, registry) = one(|m| match m.header("x-txn") {
        Some("fails") => Reply::Send(http_response(500, "", "")),
        _ => Reply::Send(http_response(200, "", "got it")),
    });
    let node = Node::start_ready(&config(registry.address));
    let mut client = Client::connect(&node);
    for txn in ["length", "chunks", "fails"] {
        if txn == "chunks" {
            client.send_bytes(&chunked(&head(txn, 5000, "Transfer-Encoding: chunked"), &body, true));
        } else {
            client.send(&head(txn, 5000, "Content-Length: 1000000"));
            client.send_bytes(&body);
        }
        let heard = client.receive().expect("an answer");
        assert_eq!(heard.status(), if txn == "fails" { 502 } else { 200 }, "{txn}");
    }
    let seen = server.requests();
    assert!(seen.iter().all(|m| m.body == body));
    assert_eq!(seen.len(), 3, "one that may have run, and is not kept, is not sent again");
    // In small pieces, slower than its time, and with a pause in which the server takes nothing.
    client.send(&head("slow", 2000, "Content-Length: 100000"));
    paced(&mut client, body[..100_000].chunks(5000), 120 * MS);
    assert_eq!(client.receive().expect("an answer").status(), 200);
    assert_eq!(server.requests()[3].body, body[..100_000]);
}

/// A client that stops in the middle of a long request is told, or let go, and its server is not blamed.
#[test]
fn a_long_request_that_stalls_is_given_up() {
    let (server, registry) = one(|_| Reply::Send(http_response(200, "", "got it")));
    let node = Node::start_ready(&config(registry.address));
    let mut begun: Vec<Client> = (0..8)
        .map(|n| {
            let mut client = Client::connect(&node);
            client.send(&head(&format!("t{n}"), 5000, "Content-Length: 1000000"));
            client.send_bytes(&long(70_000));
            client
        })
        .collect();
    begun.truncate(4);
    for mut stalls in begun {
        let heard = stalls.receive().map(|m| m.status());
        assert!(matches!(heard, None | Some(400..=599)), "{heard:?}");
    }
    assert!(server.requests().is_empty(), "none came whole");
    assert_eq!(
        Client::connect(&node).exchange(&request("look", "t3", 5000)).status(),
        200,
        "it was not ejected"
    );
    assert!(!node.has_logged("1 ejected"));
}

/// Answers and requests of more bytes than memory holds, to and from peers that do not read.
#[test]
fn memory_is_bounded_by_the_limit() {
    let sent = of_length(&long(8 << 20));
    let (_server, registry) = one(move |_| Reply::Send(sent.clone()));
    let mut config = config_with_admin(&registry);
    config["limits"]["memory_mb"] = json!(32);
    config["limits"]["sockets"] = json!(1024);
    config["settings"]["Classes"][0]["Slo"] = json!(100_000.0);
    let node = Node::start_ready(&config);
    let clients: Vec<Client> = (0..200)
        .map(|n| {
            let mut client = Client::connect(&node);
            client.send(&request("look", &format!("t{n}"), 100_000));
            client
        })
        .collect();
    wait_until("as many answers as there is room for have begun", || metric(&node, "dispatches") >= 100);
    std::thread::sleep(1000 * MS);
    assert!(node.peak_memory_kib() < 32 << 10, "{} KiB", node.peak_memory_kib());
    // Once those that read nothing have left, others are served.
    drop(clients);
    let heard = Client::connect(&node).exchange(&request("look", "last", 100_000));
    assert_eq!((heard.status(), heard.body.len()), (200, 8 << 20));
}

/// Where a request's end can be read in two ways it is refused, and nothing of it reaches a server.
#[test]
fn ambiguous_framing_is_refused() {
    let (server, registry) = one(|_| Reply::Send(http_response(200, "", "got it")));
    let node = Node::start_ready(&config(registry.address));
    let smuggled = "0\r\n\r\nGET /look/1 HTTP/1.1\r\nX-Txn: s\r\nX-Remaining-Ms: 900\r\nHost: x\r\n\r\n";
    for framing in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "transfer-encoding:chunked\r\nX-Other: 1\r\nCONTENT-LENGTH:5",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: 5, 5",
        "Content-Length: +5",
        "Content-Length : 5",
    ] {
        let mut client = Client::connect(&node);
        client.send(&(head("t1", 5000, framing) + smuggled));
        assert_eq!(client.receive().map(|m| m.status()), Some(400), "{framing}");
        assert!(client.closed_or_reset(), "{framing}: nothing more is read from there");
    }
    assert!(server.requests().is_empty());
    let mut client = Client::connect(&node);
    client.send_bytes(&chunked(
        &head("t2", 5000, "transfer-encoding: Chunked"),
        b"content-length: 5\r\n",
        true,
    ));
    assert_eq!(client.receive().map(|m| m.status()), Some(200));
    assert_eq!(server.requests()[0].body, b"content-length: 5\r\n");
}
