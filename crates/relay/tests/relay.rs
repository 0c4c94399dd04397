//! Each fault, between a plain client and a plain server.

use std::io::ErrorKind;
use std::time::Duration;

use relay::{Forwarding, LinkFault, Relay, MAX_BUFFERED_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Instant};

/// Longer than anything here takes on a busy machine.
const LONG: Duration = Duration::from_secs(20);
/// How long nothing must come for it to be held as nothing.
const NOTHING: Duration = Duration::from_millis(80);

/// A server's listener, and a relay to it.
async fn link() -> (TcpListener, Relay) {
    let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let relay = Relay::start(server.local_addr().expect("bound")).expect("a port");
    (server, relay)
}

/// A connection through the relay, at both ends.
async fn connected(server: &TcpListener, relay: &Relay) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(relay.address()).await.expect("connected");
    let (served, _) = timeout(LONG, server.accept()).await.expect("in time").expect("accepted");
    (client, served)
}

async fn hears(stream: &mut TcpStream, wanted: &[u8]) {
    let mut heard = vec![0; wanted.len()];
    timeout(LONG, stream.read_exact(&mut heard)).await.expect("in time").expect("bytes");
    assert!(heard == wanted, "{} bytes came changed", wanted.len());
}

async fn hears_nothing(stream: &mut TcpStream) {
    let heard = timeout(NOTHING, stream.read_u8()).await;
    assert!(heard.is_err(), "heard {heard:?}");
}

/// Says something one way, and it comes; then back.
async fn talk(client: &mut TcpStream, served: &mut TcpStream) {
    client.write_all(b"hello").await.expect("taken");
    hears(served, b"hello").await;
    served.write_all(b"hello too").await.expect("taken");
    hears(client, b"hello too").await;
}

async fn is_reset(stream: &mut TcpStream) {
    let read = timeout(LONG, stream.read_u8()).await.expect("in time");
    assert_eq!(read.expect_err("no more bytes").kind(), ErrorKind::ConnectionReset);
}

fn there(flow: Forwarding) -> LinkFault {
    LinkFault { to_target: flow, ..LinkFault::default() }
}

#[tokio::test]
async fn bytes_and_ends_pass_each_way() {
    let (server, relay) = link().await;
    let (mut client, mut served) = connected(&server, &relay).await;
    let bytes: Vec<u8> = (0..1_000_000_u32).map(|number| (number % 251) as u8).collect();
    let ((), ()) =
        tokio::join!(async { client.write_all(&bytes).await.expect("taken") }, hears(&mut served, &bytes));
    client.shutdown().await.expect("said");
    assert_eq!(served.read(&mut [0; 9]).await.expect("the end"), 0);
    served.write_all(b"still").await.expect("the other way is open");
    hears(&mut client, b"still").await;
    drop(served);
    assert_eq!(client.read(&mut [0; 9]).await.expect("the end"), 0);
}

#[tokio::test]
async fn a_delay_holds_each_way_and_ends_at_once() {
    let (server, relay) = link().await;
    let (mut client, mut served) = connected(&server, &relay).await;
    relay.set_fault(LinkFault::symmetric(Forwarding::Delay(Duration::from_millis(60))));
    let start = Instant::now();
    talk(&mut client, &mut served).await;
    assert!(start.elapsed() >= Duration::from_millis(120), "{:?}", start.elapsed());
    relay.set_fault(LinkFault::symmetric(Forwarding::Delay(Duration::from_secs(600))));
    client.write_all(b"late").await.expect("taken");
    hears_nothing(&mut served).await;
    relay.set_fault(LinkFault::default());
    hears(&mut served, b"late").await;
}

#[tokio::test]
async fn a_slow_way_takes_its_time() {
    let (server, relay) = link().await;
    let (mut client, mut served) = connected(&server, &relay).await;
    relay.set_fault(there(Forwarding::RateLimit(20_000)));
    let start = Instant::now();
    client.write_all(&[7; 4000]).await.expect("taken");
    hears(&mut served, &[7; 4000]).await;
    assert!(start.elapsed() >= Duration::from_millis(180), "{:?}", start.elapsed());
}

#[tokio::test]
async fn a_cut_way_passes_nothing_until_it_is_mended() {
    let (server, relay) = link().await;
    let (mut client, mut served) = connected(&server, &relay).await;
    relay.set_fault(LinkFault { from_target: Forwarding::Block, ..LinkFault::default() });
    client.write_all(b"question").await.expect("taken");
    hears(&mut served, b"question").await;
    served.write_all(b"answer").await.expect("taken");
    hears_nothing(&mut client).await;
    relay.set_fault(LinkFault::default());
    hears(&mut client, b"answer").await;
}

#[tokio::test]
async fn a_cut_way_fills_the_senders_buffers() {
    let (server, relay) = link().await;
    let (mut client, mut served) = connected(&server, &relay).await;
    relay.set_fault(there(Forwarding::Block));
    let mut taken = 0;
    while let Ok(written) = timeout(NOTHING, client.write(&[7; 1 << 16])).await {
        taken += written.expect("open");
        assert!(taken < 64 << 20, "it is taken without end");
    }
    hears_nothing(&mut served).await;
    relay.set_fault(LinkFault::default());
    hears(&mut served, &vec![7; taken]).await;
}

#[tokio::test]
async fn held_bytes_pass_when_it_is_mended() {
    let (server, relay) = link().await;
    let (mut client, mut served) = connected(&server, &relay).await;
    relay.set_fault(there(Forwarding::Buffer));
    let bytes = vec![7; MAX_BUFFERED_BYTES];
    client.write_all(&bytes).await.expect("taken");
    client.shutdown().await.expect("said");
    hears_nothing(&mut served).await;
    relay.set_fault(LinkFault::default());
    hears(&mut served, &bytes).await;
    assert_eq!(served.read(&mut [0; 9]).await.expect("the end"), 0);
}

#[tokio::test]
async fn what_a_hole_took_is_lost_with_its_connection() {
    let (server, relay) = link().await;
    let (mut client, mut served) = connected(&server, &relay).await;
    let (mut quiet, mut served_quiet) = connected(&server, &relay).await;
    relay.set_fault(there(Forwarding::Discard));
    client.write_all(&vec![7; 4 * MAX_BUFFERED_BYTES]).await.expect("all of it is taken");
    hears_nothing(&mut served).await;
    served.write_all(b"back").await.expect("taken");
    hears(&mut client, b"back").await;
    relay.set_fault(LinkFault::default());
    is_reset(&mut served).await;
    is_reset(&mut client).await;
    talk(&mut quiet, &mut served_quiet).await;
}

#[tokio::test]
async fn a_connection_breaks_in_the_midst_of_a_message() {
    let (server, relay) = link().await;
    let (mut client, mut served) = connected(&server, &relay).await;
    talk(&mut client, &mut served).await;
    relay.set_fault(there(Forwarding::ResetAfter(3)));
    client.write_all(b"question").await.expect("taken");
    hears(&mut served, b"que").await;
    is_reset(&mut served).await;
    is_reset(&mut client).await;
    relay.set_fault(there(Forwarding::ResetAfter(8)));
    let (mut client, mut served) = connected(&server, &relay).await;
    client.write_all(b"question").await.expect("taken");
    hears(&mut served, b"question").await;
    is_reset(&mut served).await;
}

#[tokio::test]
async fn new_connections_are_refused_and_open_ones_stay() {
    let (server, relay) = link().await;
    let (mut client, mut served) = connected(&server, &relay).await;
    relay.set_fault(LinkFault { refuse_connections: true, ..LinkFault::default() });
    // The system may have taken some before the relay heard of the change.
    let refused = timeout(LONG, async {
        while TcpStream::connect(relay.address()).await.map_err(|error| error.kind()).err()
            != Some(ErrorKind::ConnectionRefused)
        {
            tokio::task::yield_now().await;
        }
    });
    refused.await.expect("in time");
    talk(&mut client, &mut served).await;
    relay.set_fault(LinkFault::default());
    let accepted = timeout(LONG, async {
        loop {
            match TcpStream::connect(relay.address()).await {
                Ok(client) => break client,
                Err(_) => tokio::task::yield_now().await,
            }
        }
    });
    let mut client = accepted.await.expect("in time");
    client.write_all(b"again").await.expect("taken");
    loop {
        // Those that slipped through before come first, and say nothing.
        let (mut served, _) = timeout(LONG, server.accept()).await.expect("in time").expect("accepted");
        let mut heard = [0; 5];
        if timeout(LONG, served.read_exact(&mut heard)).await.expect("in time").is_ok() {
            assert_eq!(&heard, b"again");
            break;
        }
    }
}

#[tokio::test]
async fn open_connections_are_reset_at_both_ends() {
    let (server, relay) = link().await;
    let (mut client, mut served) = connected(&server, &relay).await;
    relay.set_fault(LinkFault::symmetric(Forwarding::Block));
    relay.reset_connections();
    is_reset(&mut client).await;
    is_reset(&mut served).await;
    relay.set_fault(LinkFault::default());
    let (mut client, mut served) = connected(&server, &relay).await;
    talk(&mut client, &mut served).await;
}

#[tokio::test]
async fn a_target_hears_of_nobody_while_the_way_there_is_cut() {
    let (server, relay) = link().await;
    relay.set_fault(there(Forwarding::Block));
    let mut client = TcpStream::connect(relay.address()).await.expect("the system accepts");
    client.write_all(b"first").await.expect("taken");
    assert!(timeout(NOTHING, server.accept()).await.is_err());
    relay.set_fault(LinkFault::default());
    let (mut served, _) = timeout(LONG, server.accept()).await.expect("in time").expect("accepted");
    hears(&mut served, b"first").await;
}

#[tokio::test]
async fn a_target_that_is_gone_shows_as_a_reset() {
    let (server, relay) = link().await;
    drop(server);
    let mut client = TcpStream::connect(relay.address()).await.expect("the system accepts");
    is_reset(&mut client).await;
}
