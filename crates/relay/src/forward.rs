//! Forwards one direction of a connection.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use crate::{Forwarding, LinkFault, State, MAX_BUFFERED_BYTES};

/// Maximum number of bytes that are read at a time.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Number of writes per second under a rate limit, so that the flow is even.
const RATE_LIMIT_WRITES_PER_S: u64 = 100;

/// The connection must be reset at both ends.
pub(crate) struct ConnectionReset;

/// The relay's state as one connection sees it.
#[derive(Clone)]
pub(crate) struct StateView {
    state: watch::Receiver<State>,
    /// The relay's reset count when the connection was accepted.
    reset_count: u64,
}

impl StateView {
    pub(crate) fn new(state: watch::Receiver<State>) -> Self {
        let reset_count = state.borrow().reset_count;
        Self { state, reset_count }
    }

    /// The current state.
    ///
    /// # Errors
    /// The connections were reset since this one was accepted.
    pub(crate) fn current(&mut self) -> Result<State, ConnectionReset> {
        let state = *self.state.borrow_and_update();
        if state.reset_count > self.reset_count {
            return Err(ConnectionReset);
        }
        Ok(state)
    }

    /// Waits for a change of the state. Never returns once the relay has ended, as its connections end with it.
    pub(crate) async fn changed(&mut self) {
        if self.state.changed().await.is_err() {
            std::future::pending().await
        }
    }
}

/// Buffered bytes with their arrival time; no bytes stand for the sender's end of stream.
struct Chunk {
    received_at: Instant,
    bytes: Vec<u8>,
    /// Number of its bytes that were forwarded.
    forwarded: usize,
}

/// What has arrived from the sender.
enum Arrival {
    /// Bytes or the end of stream, which are left unread.
    Unread,
    /// So many bytes, none at the end of stream.
    Read(std::io::Result<usize>),
}

/// Forwards bytes until the sender's end of stream is forwarded too. `count_held` is called once for each fault that
/// holds back what has arrived.
///
/// # Errors
/// The connection must be reset.
pub(crate) async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut state: StateView,
    direction: fn(&LinkFault) -> Forwarding,
    count_held: impl Fn(),
) -> Result<(), ConnectionReset> {
    let mut buffer: VecDeque<Chunk> = VecDeque::new();
    let mut buffered_bytes = 0;
    let mut end_of_stream = false;
    let mut lost_bytes = false;
    let mut fault_generation = None;
    let mut held_is_counted = false;
    let mut remaining_bytes = u64::MAX;
    let mut next_write_at = Instant::now();
    let mut read_buffer = vec![0; READ_CHUNK_BYTES];
    loop {
        let current = state.current()?;
        let forwarding = direction(&current.fault);
        if fault_generation.replace(current.fault_generation) != Some(current.fault_generation) {
            remaining_bytes = if let Forwarding::ResetAfter(bytes) = forwarding { bytes } else { u64::MAX };
            held_is_counted = false;
        }
        if !forwarding.delivers() && !buffer.is_empty() && !held_is_counted {
            count_held();
            held_is_counted = true;
        }
        if remaining_bytes == 0 || (lost_bytes && forwarding != Forwarding::Discard) {
            return Err(ConnectionReset);
        }
        let write_at = buffer.front().filter(|_| forwarding.delivers()).map(|chunk| match forwarding {
            Forwarding::Delay(delay) => chunk.received_at + delay,
            Forwarding::RateLimit(_) => next_write_at,
            _ => chunk.received_at,
        });
        let may_read =
            !end_of_stream && forwarding != Forwarding::Block && buffered_bytes < MAX_BUFFERED_BYTES;
        let write = async {
            match (write_at, buffer.front()) {
                (Some(write_at), Some(chunk)) => {
                    sleep_until(write_at).await;
                    let pending = &chunk.bytes[chunk.forwarded..];
                    let max = match forwarding {
                        Forwarding::RateLimit(rate) => {
                            (rate / RATE_LIMIT_WRITES_PER_S).max(1).min(remaining_bytes)
                        }
                        _ => remaining_bytes,
                    };
                    let bytes = &pending[..pending.len().min(usize::try_from(max).unwrap_or(usize::MAX))];
                    if bytes.is_empty() {
                        to.shutdown().await.map(|()| 0)
                    } else {
                        to.write(bytes).await
                    }
                }
                _ => std::future::pending().await,
            }
        };
        let arrival = async {
            if may_read {
                Arrival::Read(from.read(&mut read_buffer).await)
            } else if forwarding == Forwarding::Block && !held_is_counted {
                let _ = from.readable().await;
                Arrival::Unread
            } else {
                std::future::pending().await
            }
        };
        tokio::select! {
            () = state.changed() => {}
            written = write => {
                let written = written.map_err(|_| ConnectionReset)?;
                let chunk = buffer.front_mut().expect("the buffer is empty");
                if chunk.bytes.is_empty() {
                    return Ok(());
                }
                chunk.forwarded += written;
                remaining_bytes -= written as u64;
                buffered_bytes -= written;
                if chunk.forwarded == chunk.bytes.len() {
                    buffer.pop_front();
                }
                if let Forwarding::RateLimit(rate) = forwarding {
                    next_write_at =
                        Instant::now() + Duration::from_secs(1).mul_f64(written as f64 / rate.max(1) as f64);
                }
            }
            arrival = arrival => match arrival {
                // A blocked direction is not read: that it has bytes is all that is known of them.
                Arrival::Unread => {
                    count_held();
                    held_is_counted = true;
                }
                Arrival::Read(read) => {
                    let read = read.map_err(|_| ConnectionReset)?;
                    end_of_stream = read == 0;
                    if forwarding != Forwarding::Discard {
                        buffered_bytes += read;
                        buffer.push_back(Chunk {
                            received_at: Instant::now(),
                            bytes: read_buffer[..read].to_vec(),
                            forwarded: 0,
                        });
                    } else if !std::mem::replace(&mut lost_bytes, true) {
                        count_held();
                    }
                }
            }
        }
    }
}
