//! The memory of a message's head that comes in parts: the HTTP library holds what there is of it in a buffer that grows.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use super::memory::{MemoryBudget, OutOfMemory, Purpose, Reservation};

/// The largest head of a message, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The size of the buffer that each connection has, and what the HTTP library wants free in it before it reads more.
const BUFFER_BYTES: usize = 8 * 1024;
/// What the buffer takes beyond its first size while it holds part of a head that fits into that: it is doubled.
const SHORT_HEAD_BYTES: usize = BUFFER_BYTES;
/// The same for any longer head. The buffer is copied as it grows, which leaves holes.
const LONG_HEAD_BYTES: usize = (MAX_HEAD_BYTES - BUFFER_BYTES) * 3 / 2;
/// How long a head waits for memory before it is refused. Its client's deadline is not known yet.
const MAX_WAIT: Duration = Duration::from_millis(500);

type PendingReservation = Pin<Box<dyn Future<Output = Result<Reservation, OutOfMemory>>>>;

/// The memory of the head that a connection receives.
pub struct HeadMemory {
    /// `None` if it is not counted.
    budget: Option<MemoryBudget>,
    reservation: RefCell<Option<Reservation>>,
    /// What the head waits for.
    pending: RefCell<Option<PendingReservation>>,
    /// How many bytes may be read before the buffer grows.
    readable: Cell<usize>,
    refused: Cell<bool>,
}

impl HeadMemory {
    /// Nothing has been received yet.
    pub fn new(budget: Option<MemoryBudget>) -> Self {
        Self {
            budget,
            reservation: RefCell::default(),
            pending: RefCell::default(),
            readable: Cell::new(usize::MAX),
            refused: Cell::new(false),
        }
    }

    /// Asks for what an incomplete head takes of which this many bytes have come. More of it may be read once
    /// [`Self::poll_readable`] says so. A head is refused at once if there is no memory for its beginning, which its
    /// buffer takes already; a long one waits for the rest.
    pub fn grow(&self, received: usize) {
        let Some(budget) = &self.budget else { return };
        let (needed, purpose) = if received < BUFFER_BYTES {
            self.readable.set(BUFFER_BYTES - received);
            (SHORT_HEAD_BYTES, Purpose::Head)
        } else {
            self.readable.set(usize::MAX);
            (LONG_HEAD_BYTES, Purpose::LongHead)
        };
        let reserved = self.reservation.borrow().as_ref().map_or(0, Reservation::bytes);
        if needed <= reserved {
            return;
        }
        match budget.try_reserve(needed - reserved, purpose) {
            Ok(more) => self.add(more),
            Err(OutOfMemory) if reserved == 0 => self.refused.set(true),
            Err(OutOfMemory) => {
                let (budget, deadline) = (budget.clone(), Instant::now() + MAX_WAIT);
                let reserved = async move { budget.reserve(needed - reserved, purpose, deadline).await };
                self.pending.replace(Some(Box::pin(reserved)));
            }
        }
    }

    /// Waits until the head has the memory that it asked for; returns how many bytes may be read.
    ///
    /// # Errors
    /// [`OutOfMemory`] if there is none, or not in time; then the rest of the head must not be read.
    pub fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<Result<usize, OutOfMemory>> {
        let mut pending = self.pending.borrow_mut();
        if let Some(reservation) = &mut *pending {
            let reserved = ready!(reservation.as_mut().poll(cx));
            *pending = None;
            match reserved {
                Ok(more) => self.add(more),
                Err(OutOfMemory) => self.refused.set(true),
            }
        }
        Poll::Ready(if self.is_refused() { Err(OutOfMemory) } else { Ok(self.readable.get()) })
    }

    fn add(&self, more: Reservation) {
        match &mut *self.reservation.borrow_mut() {
            Some(reservation) => reservation.absorb(more),
            none => *none = Some(more),
        }
    }

    /// The head is no longer held.
    pub fn release(&self) {
        self.readable.set(usize::MAX);
        self.reservation.take();
    }

    /// Whether a head was not read to its end, as there was no memory for it.
    pub fn is_refused(&self) -> bool {
        self.refused.get()
    }
}

#[cfg(test)]
mod tests {
    use std::future::poll_fn;

    use super::*;

    async fn readable(head: &HeadMemory) -> Result<usize, OutOfMemory> {
        poll_fn(|cx| head.poll_readable(cx)).await
    }

    /// A head reserves more as it grows, each part once and before its buffer grows, gives all of it back, and is refused
    /// if there is none in time.
    #[test]
    fn a_head_reserves_what_its_buffer_takes() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            // Long heads take a quarter of the budget at the most.
            let budget = MemoryBudget::of(4 * LONG_HEAD_BYTES);
            let first = HeadMemory::new(Some(budget.clone()));
            let rest_of_buffer = BUFFER_BYTES - 100;
            for (received, allowed) in [
                (100, rest_of_buffer),
                (100, rest_of_buffer),
                (BUFFER_BYTES, usize::MAX),
                (30_000, usize::MAX),
            ] {
                first.grow(received);
                assert_eq!(readable(&first).await, Ok(allowed), "{received}");
            }
            let [second, third, fourth] = [(); 3].map(|()| HeadMemory::new(Some(budget.clone())));
            for head in [&second, &third] {
                head.grow(100);
                assert_eq!(readable(head).await, Ok(rest_of_buffer));
                head.grow(BUFFER_BYTES);
            }
            assert!(readable(&second).await == Err(OutOfMemory) && second.is_refused());
            second.release();
            third.grow(BUFFER_BYTES);
            let (granted, ()) = tokio::join!(readable(&third), async { first.release() });
            assert!(granted == Ok(usize::MAX) && !third.is_refused() && !first.is_refused());
            // Heads leave a quarter of the budget to others.
            let _others = budget.try_reserve(2 * LONG_HEAD_BYTES, Purpose::ResponseBody);
            fourth.grow(1);
            assert!(readable(&fourth).await == Err(OutOfMemory) && fourth.is_refused());
        });
    }
}
