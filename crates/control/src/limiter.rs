//! A gate that counts who is inside: bounded, and once it is stopped nobody enters and the last to leave is waited for.
//!
//! Count and stop flag are under one lock: a call that has looked at a flag and not yet counted itself would be left
//! behind with its write in flight.

use std::future::poll_fn;
use std::sync::{Arc, Mutex};
use std::task::{Poll, Waker};

use crate::sync::Lock;

/// Shared by all who go through.
pub struct Limiter<L: Lock<LimiterState> = Mutex<LimiterState>>(Arc<L>);

/// What is under the gate's lock.
pub struct LimiterState {
    count: usize,
    most: usize,
    stopped: bool,
    waiting: Vec<Waker>,
}

/// Why somebody may not enter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitError {
    /// As many are inside as may be.
    Full,
    /// It was stopped.
    Stopped,
}

impl<L: Lock<LimiterState>> Clone for Limiter<L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<L: Lock<LimiterState>> Limiter<L> {
    /// A gate that lets so many in at once.
    pub fn new(most: usize) -> Self {
        Self(Arc::new(L::new(LimiterState { count: 0, most, stopped: false, waiting: Vec::new() })))
    }

    /// Enters, until the pass is dropped.
    ///
    /// # Errors
    /// Where it is full or stopped.
    pub fn acquire(&self) -> Result<Permit<L>, LimitError> {
        self.0.with(|inside| {
            if inside.stopped {
                return Err(LimitError::Stopped);
            }
            if inside.count >= inside.most {
                return Err(LimitError::Full);
            }
            inside.count += 1;
            Ok(Permit(self.clone()))
        })
    }

    /// How many are inside.
    pub fn in_use(&self) -> usize {
        self.0.with(|inside| inside.count)
    }

    /// Lets nobody in any more.
    pub fn stop(&self) {
        self.0.with(|inside| inside.stopped = true);
    }

    /// Until nobody is inside.
    pub async fn drained(&self) {
        let look = |waker: &Waker| {
            self.0.with(|inside| {
                if inside.count == 0 {
                    return Poll::Ready(());
                }
                inside.waiting.push(waker.clone());
                Poll::Pending
            })
        };
        poll_fn(|cx| look(cx.waker())).await;
    }
}

/// Somebody's stay inside.
pub struct Permit<L: Lock<LimiterState> = Mutex<LimiterState>>(Limiter<L>);

impl<L: Lock<LimiterState>> Drop for Permit<L> {
    fn drop(&mut self) {
        let woken = self.0 .0.with(|inside| {
            inside.count -= 1;
            if inside.count == 0 {
                std::mem::take(&mut inside.waiting)
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

    /// A write and a stop: once the gate is stopped and empty no write is in flight, and none begins.
    #[test]
    fn a_stop_waits_for_a_write_in_flight() {
        let run = || {
            let gate = Limiter::<shuttle::sync::Mutex<LimiterState>>::new(2);
            let writing = Arc::new(AtomicUsize::new(0));
            let (through, count) = (gate.clone(), writing.clone());
            let writer = thread::spawn(move || {
                let Ok(pass) = through.acquire() else { return };
                count.fetch_add(1, Ordering::SeqCst);
                count.fetch_sub(1, Ordering::SeqCst);
                drop(pass);
            });
            gate.stop();
            future::block_on(gate.drained());
            assert_eq!(writing.load(Ordering::SeqCst), 0, "a write is in flight");
            assert_eq!(gate.acquire().err(), Some(LimitError::Stopped));
            writer.join().expect("ends");
        };
        shuttle::check_dfs(run, None);
    }

    #[test]
    fn no_more_than_may_are_inside() {
        let gate = Limiter::<Mutex<LimiterState>>::new(2);
        let first = gate.acquire().expect("has room");
        let _second = gate.acquire().expect("has room");
        assert_eq!((gate.acquire().err(), gate.in_use()), (Some(LimitError::Full), 2));
        drop(first);
        assert!(gate.acquire().is_ok());
    }
}
