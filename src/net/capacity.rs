//! How many connections and open requests this process may have, by the node's descriptors and memory.

use std::cell::Cell;
use std::time::{Duration, Instant};

use super::config::Config;
use super::memory::{MemoryBudget, PeerKind};

/// How long after its start a process that inherited its listener may have an older one beside it: the older one is
/// asked to end within 6 s, once this one is ready, and is killed at most 3.7 s later.
const MAX_OVERLAP: Duration = Duration::from_secs(10);
/// Descriptors that clients and servers may not take, if there are enough: for the standard streams, the runtime,
/// the listeners, discovery and operators' calls.
const RESERVED_DESCRIPTORS: usize = 24;
/// The processes of a node while one replaces another. A listener that was inherited tells that this may happen at any time,
/// and memory that was taken once is not returned soon enough: each has its part of the memory all the time.
const MAX_PROCESSES: usize = 2;
/// The part of the descriptors, 1 / n, that clients may hold for their requests. Whoever else connects has what is left.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 3;
/// The memory of an open request besides its body, in bytes: mostly its heads.
const OPEN_REQUEST_BYTES: usize = 16 * 1024;

/// The role of this process. With a shared listener two processes serve as one node for a while, and their parts of
/// its limits must add up to no more than the whole.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ProcessRole {
    /// The only process of the node.
    Sole,
    /// Just started, perhaps beside an older process. Clients move over to it.
    Successor,
    /// Shutting down, perhaps beside a newer process.
    Predecessor,
}

/// The part of the node's limits that this process may use.
pub struct Capacity {
    descriptors: usize,
    memory_bytes: usize,
    memory_budget: MemoryBudget,
    inherited_listener: bool,
    started: Instant,
    stopping: Cell<bool>,
}

impl Capacity {
    /// That of a process that has just started.
    pub fn new(config: &Config) -> Self {
        let inherited_listener = config.inherited_fd.is_some();
        let processes = if inherited_listener { MAX_PROCESSES } else { 1 };
        let capacity = Self {
            descriptors: config.max_sockets,
            memory_bytes: config.memory_bytes,
            memory_budget: MemoryBudget::of_process(config.memory_bytes, processes),
            inherited_listener,
            started: Instant::now(),
            stopping: Cell::new(false),
        };
        capacity.expect_connections();
        capacity
    }

    /// The memory for connections, requests and bodies.
    pub fn memory_budget(&self) -> &MemoryBudget {
        &self.memory_budget
    }

    /// Leaves to the next process what it needs.
    pub fn set_stopping(&self) {
        self.stopping.set(true);
        self.expect_connections();
    }

    /// Sets aside memory for the connections that this process may have in its current role. To be called from time to time.
    pub fn expect_connections(&self) {
        let clients = (self.descriptors / CLIENT_DESCRIPTORS_DIVISOR).min(self.max_client_connections());
        self.memory_budget.expect_connections(clients, self.max_server_connections());
    }

    /// The current role of this process.
    fn role(&self) -> ProcessRole {
        if !self.inherited_listener {
            ProcessRole::Sole
        } else if self.stopping.get() {
            ProcessRole::Predecessor
        } else if self.started.elapsed() < MAX_OVERLAP {
            ProcessRole::Successor
        } else {
            ProcessRole::Sole
        }
    }

    /// How many descriptors clients and servers may take together.
    fn usable_descriptors(&self) -> usize {
        self.descriptors - RESERVED_DESCRIPTORS.min(self.descriptors / 4)
    }

    /// Whether clients may have one more connection beside this many.
    pub fn has_client_room(&self, open: usize) -> bool {
        open < self.max_client_connections() && self.memory_budget.has_client_connection_room()
    }

    /// How many connections clients may have. While an old and a new process of the node overlap, their shares add up
    /// to no more than the whole, here and for connections to servers. The new one's share suffices for all clients,
    /// which together hold a third of all descriptors.
    pub fn max_client_connections(&self) -> usize {
        let max = self.usable_descriptors() * 4 / 7;
        let max = match self.role() {
            ProcessRole::Sole => max,
            ProcessRole::Successor => max * 3 / 4,
            ProcessRole::Predecessor => max / 4,
        };
        max.min(self.memory_budget.max_connections(PeerKind::Client))
    }

    /// How many connections to servers there may be.
    pub fn max_server_connections(&self) -> usize {
        let max = self.usable_descriptors() * 3 / 7;
        let max = match self.role() {
            ProcessRole::Sole => max,
            ProcessRole::Successor => max / 2,
            ProcessRole::Predecessor => max / 4,
        };
        max.min(self.memory_budget.max_connections(PeerKind::Server))
    }

    /// How many open requests there is room for at the most: each takes a connection, and memory that bodies leave.
    pub fn max_open_requests(&self) -> usize {
        let connections = self.usable_descriptors() * 4 / 7;
        connections.min(self.memory_bytes / 3 / OPEN_REQUEST_BYTES)
    }
}
