//! Random numbers drawn from a seed.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// A random number generator: the same seed gives the same sequence.
#[derive(Clone, Debug)]
pub struct Random(Xoshiro256PlusPlus);

impl Random {
    /// A generator with this seed.
    pub fn new(seed: u64) -> Self {
        Random(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// A number from 0 up to but not including 1.
    pub fn share(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns true with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.share() < probability
    }

    /// A number below `bound`, which must be at least 1.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.0.next_u64() % bound as u64) as usize
    }

    /// One of `choices`, which must not be empty.
    pub fn one_of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }

    /// A time from `min` to `max` milliseconds.
    pub fn millis(&mut self, min: u64, max: u64) -> Duration {
        let micros = (min * 1_000) as f64 + self.share() * ((max - min) * 1_000) as f64;
        Duration::from_micros(micros as u64)
    }

    /// A number for a seed or an id.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }
}
