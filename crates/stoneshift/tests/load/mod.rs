//! Clients that put load on a fleet, and the check of the policy epochs in the answers.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::peers::request;

/// What clock drift (100 ms) and the client's own delay (250 ms) may add to a promise.
const SLACK: Duration = Duration::from_millis(100 + 250);
/// The most requests that one client makes.
const MAX_REQUESTS: usize = 12_000;
/// The time between an answer and the client's next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// A request that a node admitted under a policy epoch.
#[derive(Clone, Copy, Debug)]
pub struct AdmittedRequest {
    pub sent: Instant,
    pub answered: Instant,
    /// The epoch in the answer.
    pub epoch: u64,
}

/// A client that sends requests to one node continuously, and records those that were admitted.
pub struct LoadClient {
    admitted: Arc<Mutex<Vec<AdmittedRequest>>>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Sends one request. Returns the status and the epoch of the answer.
pub fn send_request(at: SocketAddr) -> std::io::Result<(u16, Option<u64>)> {
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

impl LoadClient {
    pub fn start(at: SocketAddr) -> Self {
        let (admitted, stopped) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let (records, stop) = (admitted.clone(), stopped.clone());
        let thread = std::thread::spawn(move || {
            for _ in 0..MAX_REQUESTS {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let sent = Instant::now();
                if let Ok((_, Some(epoch))) = send_request(at) {
                    let request = AdmittedRequest { sent, answered: Instant::now(), epoch };
                    records.lock().expect("no panic").push(request);
                }
                std::thread::sleep(REQUEST_INTERVAL);
            }
        });
        Self { admitted, stopped, thread: Some(thread) }
    }

    /// Stops the client. Returns the admitted requests.
    pub fn stop(mut self) -> Vec<AdmittedRequest> {
        self.stopped.store(true, Ordering::SeqCst);
        self.thread.take().expect("once").join().expect("no panic");
        let admitted = self.admitted.lock().expect("no panic");
        admitted.clone()
    }
}

/// Checks the epochs of a fleet's admitted requests, by node: the epochs of a node only grow, each is a committed one, and
/// no request is admitted under an epoch for longer than a promise after another was admitted under the next.
///
/// Each of the checks was seen to fail with a faulty node: one that applies a commit 8 s late and goes on after its
/// promise has expired (admitted under an epoch too late), one that applies a staged change (an epoch went back), and one
/// that applies an aborted change (an epoch that was not committed).
pub fn check_epochs(fleet: &[Vec<AdmittedRequest>], committed: &BTreeSet<u64>, promise: Duration) {
    for node in fleet {
        assert!(node.windows(2).all(|pair| pair[0].epoch <= pair[1].epoch), "an epoch went back");
    }
    let all: Vec<&AdmittedRequest> = fleet.iter().flatten().collect();
    for &epoch in committed {
        let first = all.iter().filter(|request| request.epoch > epoch).map(|request| request.answered).min();
        let last = all.iter().filter(|request| request.epoch <= epoch).map(|request| request.sent).max();
        if let (Some(first), Some(last)) = (first, last) {
            let overlap = last.saturating_duration_since(first);
            assert!(
                overlap <= promise + SLACK,
                "admitted under epoch {epoch} {overlap:?} after the first answer under a newer one"
            );
        }
    }
    let seen: BTreeSet<u64> = all.iter().map(|request| request.epoch).collect();
    assert!(seen.is_subset(committed), "epochs in answers: {seen:?}, committed: {committed:?}");
}
