//! Long and slow bodies through the real program.

mod peers;

use std::time::{Duration, Instant};

use peers::*;

const MS: Duration = Duration::from_millis(1);

/// A keyed request with so long a body, without the body.
fn head(txn: &str, remaining: u64, framing: &str) -> String {
    format!(
        "POST /pay/7 HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Remaining-Ms: {remaining}\r\n\
         Idempotency-Key: k\r\n{framing}\r\n\r\n"
    )
}

/// However long a request takes to come, its time counts from its last byte.
#[test]
fn a_request_has_its_time_from_its_last_byte() {
    let server = Peer::good("s0");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    let words = request("look", "t1", 900);
    for piece in words.as_bytes().chunks(words.len().div_ceil(12)) {
        std::thread::sleep(100 * MS);
        client.send(std::str::from_utf8(piece).expect("text"));
    }
    assert_eq!(client.hear().expect("an answer").status(), 200);
    // A body at less than a slow client's pace, longer than a stalled one is waited for.
    client.send(&head("t2", 900, "Content-Length: 61440"));
    let began = Instant::now();
    for _ in 0..30 {
        std::thread::sleep(90 * MS);
        client.send(&"x".repeat(2048));
    }
    assert!(began.elapsed() > 2500 * MS);
    assert_eq!(client.hear().expect("an answer").status(), 200);
    assert_eq!(server.seen()[1].body.len(), 61440);
}
