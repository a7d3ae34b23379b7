use super::*;
use crate::engine_index::test_support::random_positions;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[test]
fn remaining_positions_equal_those_of_a_scan() {
    for seed in 0..200 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let n = (rng.next_u64() % 60) as usize;
        let a = random_positions(&mut rng, n, 3);
        let (_, b) = split_by_membership(&a, &random_positions(&mut rng, n, 4));
        let remaining = RemainingPositions::new(n, [&a, &b]);
        let expected: Vec<usize> =
            (0..n).filter(|&at| !a.contains(&(at as u32)) && !b.contains(&(at as u32))).collect();
        assert_eq!(remaining.len(), expected.len());
        assert_eq!(
            (0..expected.len()).map(|k| remaining.nth(k)).collect::<Vec<_>>(),
            expected,
            "seed {seed}"
        );
    }
}
