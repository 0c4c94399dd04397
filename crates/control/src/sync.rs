//! The one primitive that what threads share is made of, so that tests can put every interleaving's in its place.

use std::sync::{Mutex, PoisonError};

/// A lock round a value.
pub trait Lock<T>: Send + Sync + 'static {
    /// A lock that is open.
    fn new(value: T) -> Self;

    /// Calls `f` with the value, alone.
    fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R;
}

impl<T: Send + 'static> Lock<T> for Mutex<T> {
    fn new(value: T) -> Self {
        Self::new(value)
    }

    fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        // Nothing under these locks panics half way; a value is whole whoever held it.
        f(&mut self.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

#[cfg(test)]
impl<T: Send + 'static> Lock<T> for shuttle::sync::Mutex<T> {
    fn new(value: T) -> Self {
        Self::new(value)
    }

    fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        f(&mut self.lock().expect("no holder panics"))
    }
}
