//! Clients of a fleet, and the rules that what they were told must keep.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::peers::request;

/// What clocks' rates and a client's own delay may add to a promise.
const SLACK: Duration = Duration::from_millis(100 + 250);
/// The most requests that one client makes.
const REQUESTS: usize = 12_000;
/// What a client waits between two.
const PAUSE: Duration = Duration::from_millis(10);

/// A request that was taken: when it was sent and answered, and the epoch that it was judged by.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    pub sent: Instant,
    pub answered: Instant,
    pub epoch: u64,
}

/// A client that asks one node, steadily, and remembers what was taken.
pub struct Client {
    taken: Arc<Mutex<Vec<Taken>>>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// The status and the epoch of one answer.
pub fn ask(at: SocketAddr) -> std::io::Result<(u16, Option<u64>)> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.write_all(
        request("look", "t1", 10_000).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n").as_bytes(),
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let epoch = text
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("x-policy-epoch: ")?.parse().ok());
    Ok((status, epoch))
}

impl Client {
    pub fn of(at: SocketAddr) -> Self {
        let (taken, over) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let (list, end) = (taken.clone(), over.clone());
        let thread = std::thread::spawn(move || {
            for _ in 0..REQUESTS {
                if end.load(Ordering::SeqCst) {
                    return;
                }
                let sent = Instant::now();
                if let Ok((_, Some(epoch))) = ask(at) {
                    list.lock().expect("no panic").push(Taken { sent, answered: Instant::now(), epoch });
                }
                std::thread::sleep(PAUSE);
            }
        });
        Self { taken, over, thread: Some(thread) }
    }

    /// Ends it; what was taken.
    pub fn end(mut self) -> Vec<Taken> {
        self.over.store(true, Ordering::SeqCst);
        self.thread.take().expect("once").join().expect("no panic");
        let taken = self.taken.lock().expect("no panic");
        taken.clone()
    }
}

/// The rules: a node's epochs only grow, only committed ones are met, and none takes anything under an epoch later
/// than a promise lasts after another has taken something under the next.
///
/// Seen to fail, each under a throw-away node: one that heeds a commit 8 s late and goes on in doubt (taken under an
/// epoch too late), one that takes what is staged for active (an epoch went back), and one that takes an aborted change
/// for committed (what was met).
pub fn judge(fleet: &[Vec<Taken>], committed: &BTreeSet<u64>, promise: Duration) {
    for node in fleet {
        assert!(node.windows(2).all(|pair| pair[0].epoch <= pair[1].epoch), "an epoch went back");
    }
    let all: Vec<&Taken> = fleet.iter().flatten().collect();
    for &epoch in committed {
        let first = all.iter().filter(|taken| taken.epoch > epoch).map(|taken| taken.answered).min();
        let last = all.iter().filter(|taken| taken.epoch <= epoch).map(|taken| taken.sent).max();
        if let (Some(first), Some(last)) = (first, last) {
            let late = last.saturating_duration_since(first);
            assert!(late <= promise + SLACK, "taken under epoch {epoch} {late:?} after the next was met");
        }
    }
    let met: BTreeSet<u64> = all.iter().map(|taken| taken.epoch).collect();
    assert!(met.is_subset(committed), "{met:?} were met, {committed:?} committed");
}
