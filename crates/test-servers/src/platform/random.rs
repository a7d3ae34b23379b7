//! Chances drawn from a seed.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// A source of chances that is the same for the same seed.
#[derive(Clone, Debug)]
pub struct Random(Xoshiro256PlusPlus);

impl Random {
    /// A source of its own for each seed.
    pub fn new(seed: u64) -> Self {
        Random(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// From 0 up to 1.
    pub fn share(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Whether something of this probability happens.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.share() < probability
    }

    /// A number below `bound`, which is at least 1.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.0.next_u64() % bound as u64) as usize
    }

    /// One of `choices`, which are not empty.
    pub fn one_of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }

    /// A time from `least` to `most` milliseconds.
    pub fn millis(&mut self, least: u64, most: u64) -> Duration {
        let micros = (least * 1_000) as f64 + self.share() * ((most - least) * 1_000) as f64;
        Duration::from_micros(micros as u64)
    }

    /// A number for a seed or an id.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }
}
