//! A concurrency limiter that counts the calls in flight: it bounds them, and once it is stopped it admits no more calls
//! and lets a caller wait until the last one has ended.
//!
//! The count and the stop flag are under one lock: with two locks, a call that had read the flag but not yet counted
//! itself would be missed by the stop, with its write in flight.

use std::future::poll_fn;
use std::sync::{Arc, Mutex};
use std::task::{Poll, Waker};

use crate::sync::Lock;

/// A concurrency limiter; clones share it.
pub struct Limiter<L: Lock<LimiterState> = Mutex<LimiterState>>(Arc<L>);

/// The state under the limiter's lock.
pub struct LimiterState {
    in_use: usize,
    limit: usize,
    stopped: bool,
    waiting: Vec<Waker>,
}

/// Why no permit is available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitError {
    /// The limit is reached.
    Full,
    /// The limiter was stopped.
    Stopped,
}

impl<L: Lock<LimiterState>> Clone for Limiter<L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<L: Lock<LimiterState>> Limiter<L> {
    /// Creates a limiter for at most `limit` permits at the same time.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(L::new(LimiterState { in_use: 0, limit, stopped: false, waiting: Vec::new() })))
    }

    /// Returns a permit, which is released when it is dropped.
    ///
    /// # Errors
    /// If the limit is reached or the limiter was stopped.
    pub fn acquire(&self) -> Result<Permit<L>, LimitError> {
        self.0.with(|state| {
            if state.stopped {
                return Err(LimitError::Stopped);
            }
            if state.in_use >= state.limit {
                return Err(LimitError::Full);
            }
            state.in_use += 1;
            Ok(Permit(self.clone()))
        })
    }

    /// Returns the number of permits in use.
    pub fn in_use(&self) -> usize {
        self.0.with(|state| state.in_use)
    }

    /// Grants no more permits from now on.
    pub fn stop(&self) {
        self.0.with(|state| state.stopped = true);
    }

    /// Waits until no permit is in use.
    pub async fn drained(&self) {
        let poll = |waker: &Waker| {
            self.0.with(|state| {
                if state.in_use == 0 {
                    return Poll::Ready(());
                }
                state.waiting.push(waker.clone());
                Poll::Pending
            })
        };
        poll_fn(|cx| poll(cx.waker())).await;
    }
}

/// The right to one call in flight.
pub struct Permit<L: Lock<LimiterState> = Mutex<LimiterState>>(Limiter<L>);

impl<L: Lock<LimiterState>> Drop for Permit<L> {
    fn drop(&mut self) {
        let woken = self.0 .0.with(|state| {
            state.in_use -= 1;
            if state.in_use == 0 {
                std::mem::take(&mut state.waiting)
            } else {
                Vec::new()
            }
        });
        woken.into_iter().for_each(Waker::wake);
    }
}

#[cfg(test)]
mod tests {
    use shuttle::sync::atomic::{AtomicUsize, Ordering};
    use shuttle::{future, thread};

    use super::*;

    /// A write races with a stop: once the limiter is stopped and drained, no write is in flight, and none starts.
    #[test]
    fn a_stop_waits_for_a_write_in_flight() {
        let run = || {
            let limiter = Limiter::<shuttle::sync::Mutex<LimiterState>>::new(2);
            let writing = Arc::new(AtomicUsize::new(0));
            let (shared, count) = (limiter.clone(), writing.clone());
            let writer = thread::spawn(move || {
                let Ok(permit) = shared.acquire() else { return };
                count.fetch_add(1, Ordering::SeqCst);
                count.fetch_sub(1, Ordering::SeqCst);
                drop(permit);
            });
            limiter.stop();
            future::block_on(limiter.drained());
            assert_eq!(writing.load(Ordering::SeqCst), 0, "a write is in flight");
            assert_eq!(limiter.acquire().err(), Some(LimitError::Stopped));
            writer.join().expect("the thread does not panic");
        };
        shuttle::check_dfs(run, None);
    }

    #[test]
    fn permits_are_limited() {
        let limiter = Limiter::<Mutex<LimiterState>>::new(2);
        let first = limiter.acquire().expect("below the limit");
        let _second = limiter.acquire().expect("below the limit");
        assert_eq!((limiter.acquire().err(), limiter.in_use()), (Some(LimitError::Full), 2));
        drop(first);
        assert!(limiter.acquire().is_ok());
    }
}
