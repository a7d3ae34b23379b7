use super::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[test]
fn marks_are_numbered_as_by_a_scan() {
    for seed in 0..100 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let n = 1 + (rng.next_u64() % 70) as usize;
        let (mut marks, mut plain) = (MarkedPositions::new(n), vec![false; n]);
        for _ in 0..200 {
            let (at, mark) = ((rng.next_u64() % n as u64) as usize, rng.next_u64() % 2 == 0);
            marks.put(at, mark);
            plain[at] = mark;
        }
        let walk: Vec<usize> = (0..n).filter(|&at| plain[at]).collect();
        assert_eq!(marks.len(), walk.len());
        assert_eq!((0..walk.len()).map(|k| marks.nth(k)).collect::<Vec<_>>(), walk, "seed {seed}");
    }
}
