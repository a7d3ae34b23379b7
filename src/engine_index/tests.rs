use super::test_support::random_positions;
use super::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[test]
fn top_ranked_engines_equal_a_sorted_list_without_the_excluded() {
    for seed in 0..60 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let n = rng.next_u64() % 80;
        let listed = |id: u64| ListedEngine {
            id: EngineId(id * 3),
            role: 0,
            ready: true,
            weight: 0.75 + (id % 5) as f64 / 8.0,
            cell: CellId(0),
            zone: ZoneId(0),
            capabilities: [true, false, false],
        };
        let mut index = EngineIndex::default();
        index.rebuild((0..n).map(listed));
        for round in 0..30 {
            let key = rng.next_u64() % 5;
            let hash =
                |id: EngineId| (id.0 + 1).wrapping_mul(key * 2 + 0x9e37_79b9_7f4a_7c15).rotate_left(31) >> 11;
            let excluded = random_positions(&mut rng, n as usize, 1 + round % 4);
            let mut sorted: Vec<(f64, u64)> = (0..n)
                .filter(|id| !excluded.contains(&(*id as u32)))
                .map(|id| {
                    (-(hash(EngineId(id * 3)) as f64 / (1u64 << 53) as f64).ln() / listed(id).weight, id * 3)
                })
                .collect();
            sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
            let expected: Vec<EngineId> = sorted.into_iter().take(4).map(|(_, id)| EngineId(id)).collect();
            assert_eq!(
                index.top_ranked(Capability::Prefill, key, 4, &excluded, hash),
                expected,
                "seed {seed}"
            );
        }
    }
}

#[test]
fn repeated_changes_of_an_engine_take_bounded_memory() {
    let mut index = EngineIndex::default();
    (0..100_000).for_each(|n| index.mark_changed(EngineId(n % 3)));
    assert!(index.changed.len() <= CHANGED_MARGIN + 1, "{}", index.changed.len());
}
