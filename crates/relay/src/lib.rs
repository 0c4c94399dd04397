//! A relay of bytes between real processes, with faults.
//!
//! Need: links between real processes that are slow, cut one way, silent, reset or broken in mid-message, without
//! rights that a test does not have. Shape: a listener on a loopback address for each link, which passes bytes on to
//! one target, each way on its own, under a state that may be changed at any moment and then holds for
//! connections that are open as well as for new ones.
//!
//! What differs from a real link that is cut: a client that connects is accepted, as the system does that by itself;
//! the target hears of it only when bytes may go there. A target that refuses shows as a reset. Only
//! [`LinkFault::refuse_connections`] refuses a client.
//!
//! Rejected: rules in the kernel, which need rights and are shared with all else on the machine; and links inside the
//! lab that act on whole messages, which cannot break one in its middle nor accept what is then lost.

mod forward;
mod listener;
mod router;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::AbortHandle;

pub use router::ConnectionRouter;

/// The most connections at a time; further ones wait.
pub const MAX_CONNECTIONS: usize = 1024;
/// The most bytes that are held a connection and way.
pub const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// What becomes of bytes that go one way.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Forwarding {
    /// They pass.
    #[default]
    Pass,
    /// They pass this long after they came, in order. A shorter delay, or none, holds for those that wait as well.
    Delay(Duration),
    /// They pass at this many a second.
    RateLimit(u64),
    /// Nothing is taken: the sender's own buffers fill, as on a link that is cut. All passes once it is mended.
    Block,
    /// They are taken and held, up to [`MAX_BUFFERED_BYTES`]; all pass once it is mended.
    Buffer,
    /// They are taken and lost. A connection that has lost some is reset once it is mended, as no stream has a gap.
    Discard,
    /// This many more pass on each connection, then it is reset.
    ResetAfter(u64),
}

impl Forwarding {
    /// Whether bytes that came may pass.
    fn delivers(self) -> bool {
        !matches!(self, Self::Block | Self::Buffer | Self::Discard)
    }
}

/// What is wrong with a link; the default is nothing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkFault {
    /// From whoever connects to the target.
    pub to_target: Forwarding,
    /// From the target to whoever connected.
    pub from_target: Forwarding,
    /// New connections are refused. Open ones stay; see [`Relay::reset_connections`].
    pub refuse_connections: bool,
}

impl LinkFault {
    /// The same both ways.
    pub fn symmetric(flow: Forwarding) -> Self {
        Self { to_target: flow, from_target: flow, refuse_connections: false }
    }
}

/// Why a relay does not start.
#[derive(Debug, thiserror::Error)]
#[error("can't listen at {address}: {source}")]
pub struct RelayError {
    /// Where.
    pub address: SocketAddr,
    /// What the system said.
    pub source: std::io::Error,
}

/// What holds now.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    fault: LinkFault,
    /// How often the fault was set.
    sets: u64,
    /// How often open connections were reset.
    resets: u64,
}

/// A link to one target. It ends, with its connections, when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: watch::Sender<State>,
    task: AbortHandle,
}

impl Relay {
    /// Listens on a free loopback port for connections to pass on to `target`. Must be called in a tokio runtime.
    ///
    /// # Errors
    /// The system has no port.
    pub fn start(target: SocketAddr) -> Result<Self, RelayError> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), target)
    }

    /// As [`Relay::start`], at an address of the caller's.
    ///
    /// # Errors
    /// The address is not free.
    pub fn start_on(listen: SocketAddr, target: SocketAddr) -> Result<Self, RelayError> {
        let (port, listener) =
            listener::Port::hold(listen).map_err(|source| RelayError { address: listen, source })?;
        let address = port.address();
        let (state, watched) = watch::channel(State::default());
        let task = tokio::spawn(listener::run(port, listener, target, watched)).abort_handle();
        Ok(Self { address, state, task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on this is wrong with the link.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.send_modify(|state| {
            state.fault = fault;
            state.sets += 1;
        });
    }

    /// Resets all open connections, at both ends. What was held is lost.
    pub fn reset_connections(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}
