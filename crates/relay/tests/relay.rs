//! Each link fault, between a plain client and a plain server.

use std::io::ErrorKind;
use std::time::Duration;

use relay::{Forwarding, LinkFault, Relay, MAX_BUFFERED_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Instant};

/// Timeout of every wait, far longer than anything here takes even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time without bytes after which none are expected.
const QUIET_PERIOD: Duration = Duration::from_millis(80);

/// Starts a server's listener, and a relay to it.
async fn start_link() -> (TcpListener, Relay) {
    let server = TcpListener::bind("127.0.0.1:0").await.expect("no free port");
    let relay =
        Relay::start(server.local_addr().expect("the local address is unknown")).expect("no free port");
    (server, relay)
}

/// Opens a connection through the relay; returns its client and server ends.
async fn connect(server: &TcpListener, relay: &Relay) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(relay.address()).await.expect("the connection failed");
    let (server_end, _) =
        timeout(TEST_TIMEOUT, server.accept()).await.expect("timed out").expect("accept failed");
    (client, server_end)
}

/// Asserts that these bytes arrive.
async fn assert_receives(stream: &mut TcpStream, expected: &[u8]) {
    let mut received = vec![0; expected.len()];
    timeout(TEST_TIMEOUT, stream.read_exact(&mut received))
        .await
        .expect("timed out")
        .expect("the stream ended early");
    assert!(received == expected, "{} bytes were received changed", expected.len());
}

/// Asserts that no byte arrives for a while.
async fn assert_receives_nothing(stream: &mut TcpStream) {
    let received = timeout(QUIET_PERIOD, stream.read_u8()).await;
    assert!(received.is_err(), "received {received:?}");
}

/// Asserts that bytes arrive in either direction.
async fn assert_both_ways_pass(client: &mut TcpStream, server_end: &mut TcpStream) {
    client.write_all(b"hello").await.expect("the write failed");
    assert_receives(server_end, b"hello").await;
    server_end.write_all(b"hello too").await.expect("the write failed");
    assert_receives(client, b"hello too").await;
}

/// Asserts that the connection is reset.
async fn assert_reset(stream: &mut TcpStream) {
    let read = timeout(TEST_TIMEOUT, stream.read_u8()).await.expect("timed out");
    assert_eq!(read.expect_err("bytes or an end of stream arrived").kind(), ErrorKind::ConnectionReset);
}

/// A fault in the direction from client to target only.
fn to_target(forwarding: Forwarding) -> LinkFault {
    LinkFault { to_target: forwarding, ..LinkFault::default() }
}

#[tokio::test]
async fn bytes_and_ends_of_stream_pass_each_way() {
    let (server, relay) = start_link().await;
    let (mut client, mut server_end) = connect(&server, &relay).await;
    let bytes: Vec<u8> = (0..1_000_000_u32).map(|number| (number % 251) as u8).collect();
    let ((), ()) = tokio::join!(
        async { client.write_all(&bytes).await.expect("the write failed") },
        assert_receives(&mut server_end, &bytes)
    );
    client.shutdown().await.expect("the shutdown failed");
    assert_eq!(server_end.read(&mut [0; 9]).await.expect("the connection was reset"), 0);
    server_end.write_all(b"still").await.expect("the other direction is closed");
    assert_receives(&mut client, b"still").await;
    drop(server_end);
    assert_eq!(client.read(&mut [0; 9]).await.expect("the connection was reset"), 0);
}

#[tokio::test]
async fn a_delay_applies_each_way_and_ends_at_once() {
    let (server, relay) = start_link().await;
    let (mut client, mut server_end) = connect(&server, &relay).await;
    relay.set_fault(LinkFault::symmetric(Forwarding::Delay(Duration::from_millis(60))));
    let start = Instant::now();
    assert_both_ways_pass(&mut client, &mut server_end).await;
    assert!(start.elapsed() >= Duration::from_millis(120), "{:?}", start.elapsed());
    relay.set_fault(LinkFault::symmetric(Forwarding::Delay(Duration::from_secs(600))));
    client.write_all(b"late").await.expect("the write failed");
    assert_receives_nothing(&mut server_end).await;
    relay.set_fault(LinkFault::default());
    assert_receives(&mut server_end, b"late").await;
}

#[tokio::test]
async fn a_rate_limit_slows_the_stream() {
    let (server, relay) = start_link().await;
    let (mut client, mut server_end) = connect(&server, &relay).await;
    relay.set_fault(to_target(Forwarding::RateLimit(20_000)));
    let start = Instant::now();
    client.write_all(&[7; 4000]).await.expect("the write failed");
    assert_receives(&mut server_end, &[7; 4000]).await;
    assert!(start.elapsed() >= Duration::from_millis(180), "{:?}", start.elapsed());
}

#[tokio::test]
async fn a_blocked_direction_passes_nothing_until_the_fault_is_cleared() {
    let (server, relay) = start_link().await;
    let (mut client, mut server_end) = connect(&server, &relay).await;
    relay.set_fault(LinkFault { from_target: Forwarding::Block, ..LinkFault::default() });
    client.write_all(b"question").await.expect("the write failed");
    assert_receives(&mut server_end, b"question").await;
    server_end.write_all(b"answer").await.expect("the write failed");
    assert_receives_nothing(&mut client).await;
    relay.set_fault(LinkFault::default());
    assert_receives(&mut client, b"answer").await;
}

#[tokio::test]
async fn a_blocked_direction_fills_the_senders_buffers() {
    let (server, relay) = start_link().await;
    let (mut client, mut server_end) = connect(&server, &relay).await;
    relay.set_fault(to_target(Forwarding::Block));
    let mut accepted = 0;
    while let Ok(written) = timeout(QUIET_PERIOD, client.write(&[7; 1 << 16])).await {
        accepted += written.expect("the write failed");
        assert!(accepted < 64 << 20, "bytes are accepted without limit");
    }
    assert_receives_nothing(&mut server_end).await;
    relay.set_fault(LinkFault::default());
    assert_receives(&mut server_end, &vec![7; accepted]).await;
}

#[tokio::test]
async fn buffered_bytes_pass_when_the_fault_is_cleared() {
    let (server, relay) = start_link().await;
    let (mut client, mut server_end) = connect(&server, &relay).await;
    relay.set_fault(to_target(Forwarding::Buffer));
    let bytes = vec![7; MAX_BUFFERED_BYTES];
    client.write_all(&bytes).await.expect("the write failed");
    client.shutdown().await.expect("the shutdown failed");
    assert_receives_nothing(&mut server_end).await;
    relay.set_fault(LinkFault::default());
    assert_receives(&mut server_end, &bytes).await;
    assert_eq!(server_end.read(&mut [0; 9]).await.expect("the connection was reset"), 0);
}

#[tokio::test]
async fn a_connection_with_discarded_bytes_is_reset() {
    let (server, relay) = start_link().await;
    let (mut client, mut server_end) = connect(&server, &relay).await;
    let (mut idle_client, mut idle_server_end) = connect(&server, &relay).await;
    relay.set_fault(to_target(Forwarding::Discard));
    client.write_all(&vec![7; 4 * MAX_BUFFERED_BYTES]).await.expect("the write failed");
    assert_receives_nothing(&mut server_end).await;
    server_end.write_all(b"back").await.expect("the write failed");
    assert_receives(&mut client, b"back").await;
    relay.set_fault(LinkFault::default());
    assert_reset(&mut server_end).await;
    assert_reset(&mut client).await;
    assert_both_ways_pass(&mut idle_client, &mut idle_server_end).await;
}

#[tokio::test]
async fn a_connection_is_reset_in_the_middle_of_a_message() {
    let (server, relay) = start_link().await;
    let (mut client, mut server_end) = connect(&server, &relay).await;
    assert_both_ways_pass(&mut client, &mut server_end).await;
    relay.set_fault(to_target(Forwarding::ResetAfter(3)));
    client.write_all(b"question").await.expect("the write failed");
    assert_receives(&mut server_end, b"que").await;
    assert_reset(&mut server_end).await;
    assert_reset(&mut client).await;
    relay.set_fault(to_target(Forwarding::ResetAfter(8)));
    let (mut client, mut server_end) = connect(&server, &relay).await;
    client.write_all(b"question").await.expect("the write failed");
    assert_receives(&mut server_end, b"question").await;
    assert_reset(&mut server_end).await;
}

#[tokio::test]
async fn new_connections_are_refused_and_open_ones_stay() {
    let (server, relay) = start_link().await;
    let (mut client, mut server_end) = connect(&server, &relay).await;
    relay.set_fault(LinkFault { refuse_connections: true, ..LinkFault::default() });
    // The system may accept some connections before the relay applies the fault.
    let refused = timeout(TEST_TIMEOUT, async {
        while TcpStream::connect(relay.address()).await.map_err(|error| error.kind()).err()
            != Some(ErrorKind::ConnectionRefused)
        {
            tokio::task::yield_now().await;
        }
    });
    refused.await.expect("timed out");
    assert_both_ways_pass(&mut client, &mut server_end).await;
    relay.set_fault(LinkFault::default());
    let accepted = timeout(TEST_TIMEOUT, async {
        loop {
            match TcpStream::connect(relay.address()).await {
                Ok(client) => break client,
                Err(_) => tokio::task::yield_now().await,
            }
        }
    });
    let mut client = accepted.await.expect("timed out");
    client.write_all(b"again").await.expect("the write failed");
    loop {
        // Connections that were accepted before come first, and carry no bytes.
        let (mut server_end, _) =
            timeout(TEST_TIMEOUT, server.accept()).await.expect("timed out").expect("accept failed");
        let mut received = [0; 5];
        if timeout(TEST_TIMEOUT, server_end.read_exact(&mut received)).await.expect("timed out").is_ok() {
            assert_eq!(&received, b"again");
            break;
        }
    }
}

#[tokio::test]
async fn open_connections_are_reset_at_both_ends() {
    let (server, relay) = start_link().await;
    let (mut client, mut server_end) = connect(&server, &relay).await;
    relay.set_fault(LinkFault::symmetric(Forwarding::Block));
    relay.reset_connections();
    assert_reset(&mut client).await;
    assert_reset(&mut server_end).await;
    relay.set_fault(LinkFault::default());
    let (mut client, mut server_end) = connect(&server, &relay).await;
    assert_both_ways_pass(&mut client, &mut server_end).await;
}

#[tokio::test]
async fn the_target_is_not_connected_while_its_direction_is_blocked() {
    let (server, relay) = start_link().await;
    relay.set_fault(to_target(Forwarding::Block));
    let mut client = TcpStream::connect(relay.address()).await.expect("the connection was refused");
    client.write_all(b"first").await.expect("the write failed");
    assert!(timeout(QUIET_PERIOD, server.accept()).await.is_err());
    relay.set_fault(LinkFault::default());
    let (mut server_end, _) =
        timeout(TEST_TIMEOUT, server.accept()).await.expect("timed out").expect("accept failed");
    assert_receives(&mut server_end, b"first").await;
}

#[tokio::test]
async fn a_missing_target_shows_as_a_reset() {
    let (server, relay) = start_link().await;
    drop(server);
    let mut client = TcpStream::connect(relay.address()).await.expect("the connection was refused");
    assert_reset(&mut client).await;
}

/// An observer learns from the counts that a fault holds bytes back, without waiting for a time in which none arrive.
#[tokio::test]
async fn the_counts_tell_what_is_opened_and_what_is_held() {
    for forwarding in [Forwarding::Block, Forwarding::Buffer, Forwarding::Discard] {
        let (server, relay) = start_link().await;
        let mut counts = relay.connection_counts();
        let (mut client, mut server_end) = connect(&server, &relay).await;
        assert_both_ways_pass(&mut client, &mut server_end).await;
        let before = *counts.borrow_and_update();
        relay.set_fault(LinkFault::symmetric(forwarding));
        client.write_all(b"held").await.expect("the write failed");
        let held = counts.wait_for(|now| now.held_to_target > before.held_to_target);
        let now = *timeout(TEST_TIMEOUT, held).await.expect("timed out").expect("the relay has ended");
        assert_eq!((now.opened, now.held_from_target), (before.opened, before.held_from_target));
        server_end.write_all(b"held").await.expect("the write failed");
        let held = counts.wait_for(|now| now.held_from_target > before.held_from_target);
        timeout(TEST_TIMEOUT, held).await.expect("timed out").expect("the relay has ended");
        // A new connection is held before it is opened.
        let _unopened = TcpStream::connect(relay.address()).await.expect("the connection failed");
        let held = counts.wait_for(|now| now.held_to_target > before.held_to_target + 1);
        let now = *timeout(TEST_TIMEOUT, held).await.expect("timed out").expect("the relay has ended");
        assert_eq!(now.opened, before.opened, "{forwarding:?}");
    }
}
