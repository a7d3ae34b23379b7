//! Helpers that several test modules of the index share.

use rand_core::RngCore;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Ascending positions below `n`; each is included with a probability of one in `one_in`.
pub(super) fn random_positions(rng: &mut Xoshiro256PlusPlus, n: usize, one_in: u64) -> Vec<u32> {
    (0..n as u32).filter(|_| rng.next_u64() % one_in == 0).collect()
}
