//! Seeded random choices.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::SplitMix64;

/// A source of choices that depend on its seed alone.
#[derive(Clone)]
pub struct Random(SplitMix64);

impl Random {
    /// The choices of a seed.
    pub fn new(seed: u64) -> Self {
        Self(SplitMix64::seed_from_u64(seed))
    }

    /// A source of its own, for another thread.
    pub fn fork(&mut self) -> Self {
        Self::new(self.0.next_u64())
    }

    /// A number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0.next_u64() % limit
    }

    /// True once in `n` times.
    pub fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    /// One of the choices.
    pub fn pick<'a, T>(&mut self, choices: &'a [T]) -> &'a T {
        &choices[self.below(choices.len() as u64) as usize]
    }
}
