use super::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[test]
fn subtracted_terms_leave_no_trace_in_a_sum() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let terms: Vec<f64> = (0..1_000).map(|_| rng.next_u64() as f64 / 1e17).collect();
    let (mut all, mut few) = (ExactSum::default(), ExactSum::default());
    terms.iter().for_each(|&t| all.add(t));
    terms[..10].iter().for_each(|&t| few.add(t));
    terms[10..].iter().for_each(|&t| all.subtract(t));
    assert_eq!(all, few);
    assert!((few.value() - terms[..10].iter().sum::<f64>()).abs() < 1e-9);
}

#[test]
fn sum_of_maxima_equals_a_scan_at_every_weight() {
    for seed in 0..100 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut part = || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let (mut maxima, mut plain) = (SumOfMaxima::default(), BTreeMap::new());
        for _ in 0..300 {
            let id = EngineId((part() * 80.0) as u64);
            if let Some((count, minimum)) = plain.remove(&id) {
                maxima.subtract(id, count, minimum);
            }
            if part() < 0.7 {
                let minimum = if part() < 0.2 { 0.0 } else { part() / 4.5 };
                let count = 1.0 + (part() * 30.0).floor();
                maxima.add(id, count, minimum);
                plain.insert(id, (count, minimum));
            }
            let weight = if part() < 0.1 { 0.0 } else { part() / 10.0 };
            let walk: f64 = plain.values().map(|(count, minimum)| (count * weight).max(*minimum)).sum();
            assert!((maxima.sum(weight) - walk).abs() < 1e-9, "seed {seed}");
            assert_eq!(maxima.len(), plain.len());
        }
        plain.iter().for_each(|(&id, &(count, minimum))| maxima.subtract(id, count, minimum));
        assert!(maxima.buckets.is_empty(), "nothing is kept");
    }
}
