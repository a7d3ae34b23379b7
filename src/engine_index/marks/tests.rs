use super::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[test]
fn marks_equal_those_of_a_scan() {
    for seed in 0..100 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let n = 1 + (rng.next_u64() % 70) as usize;
        let (mut marks, mut reference) = (MarkedPositions::new(n), vec![false; n]);
        for _ in 0..200 {
            let (at, mark) = ((rng.next_u64() % n as u64) as usize, rng.next_u64() % 2 == 0);
            marks.put(at, mark);
            reference[at] = mark;
        }
        let expected: Vec<usize> = (0..n).filter(|&at| reference[at]).collect();
        assert_eq!(marks.len(), expected.len());
        assert_eq!((0..expected.len()).map(|k| marks.nth(k)).collect::<Vec<_>>(), expected, "seed {seed}");
    }
}
