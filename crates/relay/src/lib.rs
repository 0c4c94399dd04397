//! A TCP relay between real processes that injects link faults.
//!
//! Tests need links between real processes that are slow, blocked in one direction, silent, reset or broken in the
//! middle of a message, without privileges that a test does not have. Each [`Relay`] stands for one link: it listens
//! at a loopback address and forwards bytes to one target, each direction independently. A fault can be set at any
//! time, and applies to open connections as well as to new ones.
//!
//! A blocked link differs from a real one in this: a client that connects is accepted, as the operating system does that
//! by itself, and the target is connected only when bytes may flow to it. A target that refuses a connection shows as a
//! reset. Only [`LinkFault::refuse_connections`] refuses a client.
//!
//! Rejected: firewall rules in the kernel, which need privileges and are shared with everything else on the machine; and
//! links inside the lab that act on whole messages, which cannot break one in the middle, nor accept data that is then
//! lost.

mod forward;
mod listener;
mod router;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::AbortHandle;

pub use router::ConnectionRouter;

/// Maximum number of connections at a time; further ones wait to be accepted.
pub const MAX_CONNECTIONS: usize = 1024;
/// Number of buffered bytes at which no more are read, for each connection and direction. The last read may exceed it,
/// by less than 16 KiB.
pub const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// How the relay treats bytes in one direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Forwarding {
    /// Forwards them.
    #[default]
    Pass,
    /// Forwards them in order after this delay. A shorter delay, or none, also applies to bytes that wait already.
    Delay(Duration),
    /// Forwards them at this rate, in bytes per second.
    RateLimit(u64),
    /// Reads nothing: the sender's own buffers fill, as on a link that is cut. Everything is forwarded once the fault is
    /// cleared.
    Block,
    /// Reads and buffers them, up to about [`MAX_BUFFERED_BYTES`]. Everything is forwarded once the fault is cleared.
    Buffer,
    /// Reads and drops them. A connection that has lost bytes is reset once the fault is cleared, as a stream cannot have
    /// a gap.
    Discard,
    /// Forwards this many more bytes on each connection, then resets it.
    ResetAfter(u64),
}

impl Forwarding {
    /// Whether received bytes are forwarded.
    fn delivers(self) -> bool {
        !matches!(self, Self::Block | Self::Buffer | Self::Discard)
    }
}

/// A fault of a link; the default is none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkFault {
    /// Treatment of bytes from the client to the target.
    pub to_target: Forwarding,
    /// Treatment of bytes from the target to the client.
    pub from_target: Forwarding,
    /// Refuses new connections. Open ones stay; see [`Relay::reset_connections`].
    pub refuse_connections: bool,
}

impl LinkFault {
    /// Creates a fault with the same treatment in both directions.
    pub fn symmetric(forwarding: Forwarding) -> Self {
        Self { to_target: forwarding, from_target: forwarding, refuse_connections: false }
    }
}

/// Why a relay did not start.
#[derive(Debug, thiserror::Error)]
#[error("can't listen at {address}: {source}")]
pub struct RelayError {
    /// The address.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub source: std::io::Error,
}

/// The current state of a relay.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    fault: LinkFault,
    /// Number of times that the fault was set.
    fault_generation: u64,
    /// Number of times that the open connections were reset.
    reset_count: u64,
}

/// What a relay has decided about its connections so far. An observer waits for these events instead of for a time in
/// which nothing arrives, which a busy machine makes any length.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionCounts {
    /// Connections to the target that were opened.
    pub opened: u64,
    /// Connections whose bytes to the target a fault has held back. One that was held several times counts each time.
    pub held_to_target: u64,
    /// Connections whose bytes from the target a fault has held back, counted likewise.
    pub held_from_target: u64,
}

/// A relay that forwards connections to one target, with the faults of a link. It ends, with its connections, when
/// dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: watch::Sender<State>,
    counts: watch::Receiver<ConnectionCounts>,
    task: AbortHandle,
}

impl Relay {
    /// Listens on a free loopback port and forwards connections to `target`. Must be called in a tokio runtime.
    ///
    /// # Errors
    /// The port cannot be bound or listened at.
    pub fn start(target: SocketAddr) -> Result<Self, RelayError> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), target)
    }

    /// As [`Relay::start`], at a given address.
    ///
    /// # Errors
    /// The address cannot be bound or listened at, for instance because it is in use.
    pub fn start_on(listen: SocketAddr, target: SocketAddr) -> Result<Self, RelayError> {
        let (port, listener) = listener::ReservedPort::reserve(listen)
            .map_err(|source| RelayError { address: listen, source })?;
        let address = port.address();
        let (state, state_receiver) = watch::channel(State::default());
        let (count_sender, counts) = watch::channel(ConnectionCounts::default());
        let counter = Arc::new(count_sender);
        let task =
            tokio::spawn(listener::run(port, listener, target, state_receiver, counter)).abort_handle();
        Ok(Self { address, state, counts, task })
    }

    /// The counts of the relay's connections, now and as they change.
    pub fn connection_counts(&self) -> watch::Receiver<ConnectionCounts> {
        self.counts.clone()
    }

    /// The address that the relay listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault that applies from now on, to open connections and new ones.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.send_modify(|state| {
            state.fault = fault;
            state.fault_generation += 1;
        });
    }

    /// Resets all open connections at both ends. Buffered bytes are lost.
    pub fn reset_connections(&self) {
        self.state.send_modify(|state| state.reset_count += 1);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}
