//! One way of one connection.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use crate::{Forwarding, LinkFault, State, MAX_BUFFERED_BYTES};

/// Bytes that are read at a time.
const CHUNK: usize = 16 << 10;
/// How many writes a second a slow way makes, so that it is slow evenly.
const STEPS: u64 = 100;

/// Why a connection ends before both ways are done.
pub(crate) enum End {
    /// To be reset at both ends.
    Reset,
}

/// The relay's state as one connection sees it.
#[derive(Clone)]
pub(crate) struct Seen {
    state: watch::Receiver<State>,
    /// Resets before this connection.
    resets: u64,
}

impl Seen {
    pub(crate) fn new(state: watch::Receiver<State>) -> Self {
        let resets = state.borrow().resets;
        Self { state, resets }
    }

    /// What holds now.
    ///
    /// # Errors
    /// The connection is to be reset.
    pub(crate) fn now(&mut self) -> Result<State, End> {
        let state = *self.state.borrow_and_update();
        if state.resets > self.resets {
            return Err(End::Reset);
        }
        Ok(state)
    }

    /// Waits until something else holds; never returns once the relay has ended, as its connections end with it.
    pub(crate) async fn changed(&mut self) {
        if self.state.changed().await.is_err() {
            std::future::pending().await
        }
    }
}

/// Bytes, and when they came; none are the sender's end.
struct Piece {
    at: Instant,
    bytes: Vec<u8>,
    /// How many have passed.
    passed: usize,
}

/// Passes bytes on until the sender's end has passed too.
///
/// # Errors
/// The connection is to be reset.
pub(crate) async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut seen: Seen,
    way: fn(&LinkFault) -> Forwarding,
) -> Result<(), End> {
    let mut held: VecDeque<Piece> = VecDeque::new();
    let mut bytes_held = 0;
    let mut ended = false;
    let mut lost = false;
    let mut sets = None;
    let mut left = u64::MAX;
    let mut next_write = Instant::now();
    let mut chunk = vec![0; CHUNK];
    loop {
        let state = seen.now()?;
        let flow = way(&state.fault);
        if sets.replace(state.sets) != Some(state.sets) {
            left = if let Forwarding::ResetAfter(bytes) = flow { bytes } else { u64::MAX };
        }
        if left == 0 || (lost && flow != Forwarding::Discard) {
            return Err(End::Reset);
        }
        let due = held.front().filter(|_| flow.delivers()).map(|piece| match flow {
            Forwarding::Delay(delay) => piece.at + delay,
            Forwarding::RateLimit(_) => next_write,
            _ => piece.at,
        });
        let reads = !ended && flow != Forwarding::Block && bytes_held < MAX_BUFFERED_BYTES;
        let write = async {
            match (due, held.front()) {
                (Some(due), Some(piece)) => {
                    sleep_until(due).await;
                    let rest = &piece.bytes[piece.passed..];
                    let most = match flow {
                        Forwarding::RateLimit(rate) => (rate / STEPS).max(1).min(left),
                        _ => left,
                    };
                    let some = &rest[..rest.len().min(usize::try_from(most).unwrap_or(usize::MAX))];
                    if some.is_empty() {
                        to.shutdown().await.map(|()| 0)
                    } else {
                        to.write(some).await
                    }
                }
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            () = seen.changed() => {}
            written = write => {
                let written = written.map_err(|_| End::Reset)?;
                let piece = held.front_mut().expect("some of it was written");
                if piece.bytes.is_empty() {
                    return Ok(());
                }
                piece.passed += written;
                left -= written as u64;
                bytes_held -= written;
                if piece.passed == piece.bytes.len() {
                    held.pop_front();
                }
                if let Forwarding::RateLimit(rate) = flow {
                    next_write = Instant::now() + Duration::from_secs(1).mul_f64(written as f64 / rate.max(1) as f64);
                }
            }
            read = from.read(&mut chunk), if reads => {
                let read = read.map_err(|_| End::Reset)?;
                ended = read == 0;
                if flow == Forwarding::Discard {
                    lost = true;
                } else {
                    bytes_held += read;
                    held.push_back(Piece { at: Instant::now(), bytes: chunk[..read].to_vec(), passed: 0 });
                }
            }
        }
    }
}
