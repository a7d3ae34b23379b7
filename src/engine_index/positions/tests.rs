use super::*;
use crate::engine_index::test_support::random_positions;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[test]
fn remaining_positions_are_numbered_as_by_a_scan() {
    for seed in 0..200 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let n = (rng.next_u64() % 60) as usize;
        let a = random_positions(&mut rng, n, 3);
        let (_, b) = split_by_membership(&a, &random_positions(&mut rng, n, 4));
        let rest = RemainingPositions::new(n, [&a, &b]);
        let walk: Vec<usize> =
            (0..n).filter(|&at| !a.contains(&(at as u32)) && !b.contains(&(at as u32))).collect();
        assert_eq!(rest.len(), walk.len());
        assert_eq!((0..walk.len()).map(|k| rest.nth(k)).collect::<Vec<_>>(), walk, "seed {seed}");
    }
}
