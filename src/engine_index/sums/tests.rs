use super::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[test]
fn subtracted_terms_leave_no_rounding_error() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let terms: Vec<f64> = (0..1_000).map(|_| rng.next_u64() as f64 / 1e17).collect();
    let (mut all, mut first_ten) = (ExactSum::default(), ExactSum::default());
    terms.iter().for_each(|&term| all.add(term));
    terms[..10].iter().for_each(|&term| first_ten.add(term));
    terms[10..].iter().for_each(|&term| all.subtract(term));
    assert_eq!(all, first_ten);
    assert!((first_ten.value() - terms[..10].iter().sum::<f64>()).abs() < 1e-9);
}

#[test]
fn sum_of_maxima_equals_a_scan_at_every_weight() {
    for seed in 0..100 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut random_fraction = || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let (mut maxima, mut reference) = (SumOfMaxima::default(), BTreeMap::new());
        for _ in 0..300 {
            let id = EngineId((random_fraction() * 80.0) as u64);
            if let Some((count, minimum)) = reference.remove(&id) {
                maxima.subtract(id, count, minimum);
            }
            if random_fraction() < 0.7 {
                let minimum = if random_fraction() < 0.2 { 0.0 } else { random_fraction() / 4.5 };
                let count = 1.0 + (random_fraction() * 30.0).floor();
                maxima.add(id, count, minimum);
                reference.insert(id, (count, minimum));
            }
            let weight = if random_fraction() < 0.1 { 0.0 } else { random_fraction() / 10.0 };
            let expected: f64 =
                reference.values().map(|(count, minimum)| (count * weight).max(*minimum)).sum();
            assert!((maxima.sum(weight) - expected).abs() < 1e-9, "seed {seed}");
            assert_eq!(maxima.len(), reference.len());
        }
        reference.iter().for_each(|(&id, &(count, minimum))| maxima.subtract(id, count, minimum));
        assert!(maxima.buckets.is_empty(), "all buckets are removed");
    }
}
