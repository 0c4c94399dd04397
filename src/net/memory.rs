//! The memory that connections, heads, requests and bodies may take together.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use thiserror::Error;
use tokio::sync::{Mutex, Notify};
use tokio::time::timeout_at;

/// What a client's connection takes by itself once it has been used, in bytes: its task, and the HTTP library's buffers.
const CLIENT_CONNECTION_BYTES: usize = 24 * 1024;
/// The same of a connection to a server, for which the HTTP library also keeps a queue of requests.
const SERVER_CONNECTION_BYTES: usize = 32 * 1024;
/// The parts of the budget, 1 / 16 each, that connections of clients and to servers may take.
const CLIENT_CONNECTION_PARTS: usize = 9;
const SERVER_CONNECTION_PARTS: usize = 3;
const CONNECTION_PARTS: usize = 16;
/// What the process takes without any connection, in bytes.
const PROCESS_BYTES: usize = 4 << 20;
/// The longest time that a request or a body waits for memory.
pub const MAX_RESERVE_WAIT: Duration = Duration::from_secs(2);

/// What memory is reserved for. It decides how much has to stay free for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The head of a message that comes in parts.
    Head,
    /// The rest of such a head, if it is long.
    LongHead,
    /// The head of a request that waits for the memory of an open one.
    WaitingHead,
    /// An open request.
    Request,
    /// A request's body that is held as a whole.
    RequestBody,
    /// A request's body that is streamed.
    LongRequestBody,
    /// A response's body that is held as a whole.
    ResponseBody,
    /// A response's body that is streamed.
    LongResponseBody,
}

impl Purpose {
    const COUNT: usize = 8;

    /// How many quarters of the usable memory may be taken, by all purposes together, after a reservation for this one.
    fn max_quarters(self) -> usize {
        match self {
            // Responses need memory while requests are held.
            Self::Head | Self::LongHead | Self::Request | Self::RequestBody | Self::LongRequestBody => 3,
            // A response without a reservation is streamed in single pieces.
            Self::WaitingHead | Self::ResponseBody | Self::LongResponseBody => 4,
        }
    }

    /// The group whose share is limited too, and how many quarters of the usable memory it may take then.
    fn group(self) -> Option<(Group, usize)> {
        match self {
            Self::LongHead => Some((Group::Heads, 1)),
            Self::Head | Self::WaitingHead => Some((Group::Heads, 2)),
            Self::LongRequestBody => Some((Group::LongBodies, 2)),
            // Those without a reservation are streamed in single pieces, and requests need the memory more.
            Self::LongResponseBody => Some((Group::LongBodies, 1)),
            Self::Request | Self::RequestBody | Self::ResponseBody => None,
        }
    }
}

/// Purposes that share a limit.
#[derive(Clone, Copy)]
enum Group {
    Heads,
    LongBodies,
}

impl Group {
    const COUNT: usize = 2;
}

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// A client.
    Client,
    /// A server.
    Server,
}

impl PeerKind {
    /// What a connection takes by itself.
    fn connection_bytes(self) -> usize {
        match self {
            Self::Client => CLIENT_CONNECTION_BYTES,
            Self::Server => SERVER_CONNECTION_BYTES,
        }
    }

    /// How many parts of the budget such connections may take.
    fn connection_parts(self) -> usize {
        match self {
            Self::Client => CLIENT_CONNECTION_PARTS,
            Self::Server => SERVER_CONNECTION_PARTS,
        }
    }
}

/// A budget of memory for this process.
#[derive(Clone)]
pub struct MemoryBudget(Arc<BudgetState>);

/// Only one thread uses it. Bytes that hold a reservation must be `Send`, and so must this.
struct BudgetState {
    total: usize,
    /// What is set aside for connections, and what those that are open take.
    set_aside: AtomicUsize,
    taken_by_connections: AtomicUsize,
    /// What is reserved. May exceed what may be used since more connections are expected or open.
    reserved: AtomicUsize,
    /// What of that is reserved for each group.
    reserved_for_groups: [AtomicUsize; Group::COUNT],
    released: Notify,
    /// Those who wait for memory, in the order in which they came: the first of each purpose waits for `released`.
    queues: [Mutex<()>; Purpose::COUNT],
    /// Whether nobody may wait any more, and a notification of that.
    closed: AtomicBool,
    waits_ended: Notify,
}

/// No memory was released in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the node's memory is taken")]
pub struct OutOfMemory;

impl From<OutOfMemory> for io::Error {
    fn from(error: OutOfMemory) -> Self {
        Self::new(io::ErrorKind::OutOfMemory, error)
    }
}

impl MemoryBudget {
    /// The budget of one of the processes of a node that may take this many bytes together. A third of what is left beside
    /// the process itself is for what the allocator loses between blocks of many sizes.
    pub fn of_process(limit: usize, processes: usize) -> Self {
        Self::of(limit.saturating_sub(PROCESS_BYTES) / 3 * 2 / processes)
    }

    /// A budget of this many bytes.
    pub fn of(bytes: usize) -> Self {
        Self(Arc::new(BudgetState {
            total: bytes,
            set_aside: AtomicUsize::new(0),
            taken_by_connections: AtomicUsize::new(0),
            reserved: AtomicUsize::new(0),
            reserved_for_groups: Default::default(),
            released: Notify::new(),
            queues: Default::default(),
            closed: AtomicBool::new(false),
            waits_ended: Notify::new(),
        }))
    }

    /// Sets aside the memory of this many connections, whether they are open or not.
    pub fn expect_connections(&self, clients: usize, servers: usize) {
        let set_aside = clients * CLIENT_CONNECTION_BYTES + servers * SERVER_CONNECTION_BYTES;
        self.0.set_aside.store(set_aside, Ordering::Relaxed);
        self.0.released.notify_waiters();
    }

    /// Whether there is memory for one more connection of a client: set aside, or free.
    pub fn has_client_connection_room(&self) -> bool {
        let taken = self.0.taken_by_connections.load(Ordering::Relaxed) + CLIENT_CONNECTION_BYTES;
        taken <= self.0.set_aside.load(Ordering::Relaxed)
            || self.0.reserved.load(Ordering::Relaxed) + taken <= self.0.total
    }

    /// How many connections with such peers there may be at the most.
    pub fn max_connections(&self, peer: PeerKind) -> usize {
        (self.0.total / CONNECTION_PARTS * peer.connection_parts() / peer.connection_bytes()).max(1)
    }

    /// Counts a connection until the result is dropped.
    pub fn add_connection(&self, peer: PeerKind) -> ConnectionMemory {
        let bytes = peer.connection_bytes();
        self.0.taken_by_connections.fetch_add(bytes, Ordering::Relaxed);
        ConnectionMemory { budget: self.clone(), bytes }
    }

    /// What connections leave for all else.
    fn usable(&self) -> usize {
        let set_aside = self.0.set_aside.load(Ordering::Relaxed);
        let connections = self.0.taken_by_connections.load(Ordering::Relaxed).max(set_aside);
        self.0.total.saturating_sub(connections)
    }

    /// What is reserved, and of how much, for the log.
    pub fn describe(&self) -> String {
        let reserved = self.0.reserved.load(Ordering::Relaxed);
        format!("{} of {} KiB reserved", reserved / 1024, self.usable() / 1024)
    }

    /// Reserves memory if enough stays free for other purposes.
    ///
    /// # Errors
    /// [`OutOfMemory`].
    pub fn try_reserve(&self, bytes: usize, purpose: Purpose) -> Result<Reservation, OutOfMemory> {
        let quarter = self.usable() / 4;
        let reserved = self.0.reserved.load(Ordering::Relaxed) + bytes;
        if reserved > quarter * purpose.max_quarters() {
            return Err(OutOfMemory);
        }
        if let Some((group, quarters)) = purpose.group() {
            let reserved_for_group = &self.0.reserved_for_groups[group as usize];
            let reserved = reserved_for_group.load(Ordering::Relaxed) + bytes;
            if reserved > quarter * quarters {
                return Err(OutOfMemory);
            }
            reserved_for_group.store(reserved, Ordering::Relaxed);
        }
        self.0.reserved.store(reserved, Ordering::Relaxed);
        Ok(Reservation { budget: self.clone(), purpose, bytes })
    }

    /// Reserves memory as [`Self::try_reserve`] does, unless others wait for it.
    ///
    /// # Errors
    /// [`OutOfMemory`].
    pub fn try_reserve_in_turn(&self, bytes: usize, purpose: Purpose) -> Result<Reservation, OutOfMemory> {
        let _turn = self.0.queues[purpose as usize].try_lock().map_err(|_| OutOfMemory)?;
        self.try_reserve(bytes, purpose)
    }

    /// Reserves memory as [`Self::try_reserve`] does, waiting for it until `deadline`, in turn with others.
    ///
    /// # Errors
    /// [`OutOfMemory`].
    pub async fn reserve(
        &self,
        bytes: usize,
        purpose: Purpose,
        deadline: Instant,
    ) -> Result<Reservation, OutOfMemory> {
        let reserved = async {
            let _turn = self.0.queues[purpose as usize].lock().await;
            loop {
                let released = self.0.released.notified();
                match self.try_reserve(bytes, purpose) {
                    Err(OutOfMemory) if !self.0.closed.load(Ordering::Relaxed) => released.await,
                    result => return result,
                }
            }
        };
        timeout_at(deadline.into(), reserved).await.unwrap_or(Err(OutOfMemory))
    }

    /// Ends all waits for memory, now and later.
    pub fn end_waits(&self) {
        self.0.closed.store(true, Ordering::Relaxed);
        self.0.released.notify_waiters();
        self.0.waits_ended.notify_waiters();
    }

    /// Waits until `deadline`, or until all waits for memory end.
    pub async fn pause_until(&self, deadline: Instant) {
        let ended = self.0.waits_ended.notified();
        if !self.0.closed.load(Ordering::Relaxed) {
            let _ = timeout_at(deadline.into(), ended).await;
        }
    }
}

/// The memory of one connection, released when dropped.
pub struct ConnectionMemory {
    budget: MemoryBudget,
    bytes: usize,
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        let state = &self.budget.0;
        state.taken_by_connections.fetch_sub(self.bytes, Ordering::Relaxed);
        state.released.notify_waiters();
    }
}

/// A reserved part of the budget, released when dropped.
pub struct Reservation {
    budget: MemoryBudget,
    purpose: Purpose,
    bytes: usize,
}

impl Reservation {
    /// How many bytes are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds another reservation of the same budget and for the same head or body to this one.
    pub fn absorb(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases all but the given number of bytes.
    pub fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        let state = &self.budget.0;
        state.reserved.fetch_sub(excess, Ordering::Relaxed);
        if let Some((group, _)) = self.purpose.group() {
            state.reserved_for_groups[group as usize].fetch_sub(excess, Ordering::Relaxed);
        }
        state.released.notify_waiters();
    }

    /// The same bytes, which keep the reservation until the last copy of them is dropped.
    pub fn hold(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self.clone() })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// Bytes, and the reservation that they are part of.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Arc<Reservation>,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    use Purpose::*;

    fn can_reserve(budget: &MemoryBudget, bytes: usize, purpose: Purpose) -> bool {
        budget.try_reserve(bytes, purpose).is_ok()
    }

    fn run<T>(test: impl std::future::Future<Output = T>) -> T {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(test)
    }

    /// One of two processes has half of what a single one has; long bodies leave half of it to short ones, and find room
    /// beside open requests.
    #[test]
    fn half_of_the_budget_is_left_to_another_process() {
        let limit = PROCESS_BYTES + 3000;
        let (single, half) = (MemoryBudget::of_process(limit, 1), MemoryBudget::of_process(limit, 2));
        assert!(can_reserve(&single, 2000, ResponseBody) && !can_reserve(&single, 2001, ResponseBody));
        assert!(can_reserve(&half, 1000, ResponseBody) && !can_reserve(&half, 1001, ResponseBody));
        let long = half.try_reserve(500, LongRequestBody).expect("half of its half");
        assert!(!can_reserve(&half, 1, LongRequestBody) && !can_reserve(&half, 1, LongResponseBody));
        assert!(!can_reserve(&half, 501, ResponseBody));
        let short = half.try_reserve(500, ResponseBody).expect("the rest");
        assert!(!can_reserve(&half, 1, ResponseBody));
        drop((long, short));
        let requests = half.try_reserve(750, Request).expect("three quarters");
        assert!(!can_reserve(&half, 1, Request) && !can_reserve(&half, 1, LongRequestBody));
        assert!(can_reserve(&half, 250, LongResponseBody) && !can_reserve(&half, 251, LongResponseBody));
        drop(requests);
        assert!(can_reserve(&half, 500, LongRequestBody) && !can_reserve(&half, 501, LongRequestBody));
        assert!(can_reserve(&half, 250, LongResponseBody) && !can_reserve(&half, 251, LongResponseBody));
        assert!(MemoryBudget::of_process(PROCESS_BYTES / 2, 1).try_reserve(1, ResponseBody).is_err());
    }

    /// A reservation is granted as soon as there is room, and refused if there is none in time.
    #[test]
    fn a_reservation_waits_for_memory() {
        run(async {
            let budget = MemoryBudget::of(1000);
            let held = budget.try_reserve(800, ResponseBody).expect("room");
            let reserve = || budget.reserve(300, ResponseBody, Instant::now() + MAX_RESERVE_WAIT);
            assert!(matches!(reserve().await, Err(OutOfMemory)));
            let (granted, ()) = tokio::join!(reserve(), async move { drop(held) });
            assert!(granted.is_ok());
        });
    }

    /// Whoever waits for memory gets it in turn, and is told at once when there is to be no more waiting.
    #[test]
    fn memory_is_granted_in_turn() {
        run(async {
            let budget = MemoryBudget::of(1000);
            let held = budget.try_reserve(1000, ResponseBody).expect("room");
            let deadline = Instant::now() + Duration::from_secs(60);
            let mut large = Box::pin(budget.reserve(700, Request, deadline));
            let mut small = Box::pin(budget.reserve(200, Request, deadline));
            tokio::select! {
                biased;
                _ = &mut large => panic!("nothing is free"),
                _ = &mut small => panic!("nothing is free"),
                () = async {} => {}
            }
            drop(held);
            let granted = tokio::select! {
                biased;
                _ = &mut small => panic!("it came second"),
                granted = &mut large => granted,
            };
            assert!(granted.is_ok());
            budget.end_waits();
            assert!(matches!(small.await, Err(OutOfMemory)));
        });
    }

    /// The memory of the expected connections is set aside; more are counted as they come, if they find room.
    #[test]
    fn connections_leave_less_for_bodies() {
        let budget = MemoryBudget::of(4 * CLIENT_CONNECTION_BYTES);
        let rest = 2 * CLIENT_CONNECTION_BYTES;
        budget.expect_connections(2, 0);
        assert!(!can_reserve(&budget, rest + 1, ResponseBody));
        assert!(!can_reserve(&budget, rest / 2 + 1, LongRequestBody));
        assert!(!can_reserve(&budget, rest / 4 + 1, LongResponseBody));
        let two = [budget.add_connection(PeerKind::Client), budget.add_connection(PeerKind::Client)];
        let body = budget.try_reserve(rest, ResponseBody).expect("room");
        assert!(!budget.has_client_connection_room());
        drop(body);
        assert!(budget.has_client_connection_room());
        let more = [budget.add_connection(PeerKind::Client), budget.add_connection(PeerKind::Client)];
        assert!(!budget.has_client_connection_room());
        assert!(!can_reserve(&budget, 1, ResponseBody));
        drop((two, more));
        let body = budget.try_reserve(rest, ResponseBody).expect("room");
        assert!(budget.has_client_connection_room());
        drop(body);
        assert!(can_reserve(&budget, rest, ResponseBody) && !can_reserve(&budget, rest + 1, ResponseBody));
    }

    /// Connections to servers and of clients have room for each other, and leave some of the budget to requests.
    #[test]
    fn connections_never_take_all_of_the_budget() {
        let limits = |bytes| {
            let budget = MemoryBudget::of(bytes);
            [PeerKind::Client, PeerKind::Server].map(|peer| budget.max_connections(peer))
        };
        assert_eq!(limits(16 * CLIENT_CONNECTION_BYTES), [9, 2]);
        assert_eq!(limits(16 * SERVER_CONNECTION_BYTES), [12, 3]);
        assert_eq!(limits(4 * CLIENT_CONNECTION_BYTES), [2, 1]);
    }

    /// Heads of requests that wait find room beside those that hold all memory that requests may take, and nobody passes them.
    #[test]
    fn requests_wait_beside_those_that_hold_memory() {
        run(async {
            let budget = MemoryBudget::of(1000);
            let requests = budget.try_reserve(750, Request).expect("three quarters");
            assert!(!can_reserve(&budget, 1, Head));
            assert!(can_reserve(&budget, 250, WaitingHead) && !can_reserve(&budget, 251, WaitingHead));
            let mut first = Box::pin(budget.reserve(700, Request, Instant::now() + Duration::from_secs(60)));
            tokio::select! {
                biased;
                _ = &mut first => panic!("nothing is free"),
                () = async {} => {}
            }
            drop(requests);
            assert!(budget.try_reserve_in_turn(1, Request).is_err(), "another one waits");
            let first = first.await.expect("room");
            assert!(budget.try_reserve_in_turn(50, Request).is_ok());
            drop(first);
            assert!(can_reserve(&budget, 500, WaitingHead) && !can_reserve(&budget, 501, WaitingHead));
        });
    }

    /// Memory is released with the last copy of the bytes that take it.
    #[test]
    fn bytes_keep_their_reservation_until_the_last_copy_is_dropped() {
        let budget = MemoryBudget::of(1000);
        let reservation = Arc::new(budget.try_reserve(1000, ResponseBody).expect("room"));
        let bytes = reservation.hold(Bytes::from_static(b"body"));
        drop(reservation);
        let mut copy = bytes.clone();
        drop(bytes);
        let end = copy.split_off(2);
        drop(copy);
        assert!(end == "dy" && !can_reserve(&budget, 1, ResponseBody));
        drop(end);
        assert!(can_reserve(&budget, 1000, ResponseBody));
    }
}
