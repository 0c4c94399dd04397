//! The lock behind all state that threads share, as a trait so that tests can substitute a lock that explores every
//! interleaving.

use std::sync::{Mutex, PoisonError};

/// A mutual-exclusion lock around a value.
pub trait Lock<T>: Send + Sync + 'static {
    /// Creates an unlocked lock.
    fn new(value: T) -> Self;

    /// Calls `f` with exclusive access to the value.
    fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R;
}

impl<T: Send + 'static> Lock<T> for Mutex<T> {
    fn new(value: T) -> Self {
        Self::new(value)
    }

    fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        // No code under these locks panics halfway through an update, so the value is consistent even if poisoned.
        f(&mut self.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

#[cfg(test)]
impl<T: Send + 'static> Lock<T> for shuttle::sync::Mutex<T> {
    fn new(value: T) -> Self {
        Self::new(value)
    }

    fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        f(&mut self.lock().expect("the lock is not poisoned"))
    }
}
