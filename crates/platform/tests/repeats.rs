//! No request is repeated that must not be: a search over random days, one for each seed, that prints the
//! shortest failing day.

mod common;
use common::day::Day;

/// How many days are run by default.
const DEFAULT_DAY_COUNT: u64 = 60;
/// The environment variable that sets another number of days, as in
/// `REPEAT_DAYS=1000 cargo test --release -p slipreel-platform --test repeats`.
const DAY_COUNT_VARIABLE: &str = "REPEAT_DAYS";

#[test]
fn no_searched_day_repeats_a_request_that_must_not_be_repeated() {
    let days = std::env::var(DAY_COUNT_VARIABLE).ok().map(|text| text.parse().expect("a number of days"));
    let (mut failing_days, mut served, mut total) = (Vec::new(), 0, 0);
    for seed in 1..=days.unwrap_or(DEFAULT_DAY_COUNT) {
        let day = Day::of(seed);
        let result = day.run();
        served += result.served;
        total += result.served + result.refused + result.failed;
        if let Some(first) = result.violations.first() {
            println!("seed {seed}: {} violations, first {first:?}", result.violations.len());
            failing_days.push(day);
        }
    }
    println!("{served} of {total} requests were served");
    if let Some(day) = failing_days.first().cloned() {
        let shortest = day.shortest();
        let result = shortest.run();
        println!("shortest: {shortest:?}\n{:?}\n{:#?}", shortest.settings(), result.violations);
        println!("{:#?}", result.log);
    }
    assert!(f64::from(served) > 0.3 * f64::from(total), "too few requests were served for a conclusive test");
    assert!(failing_days.is_empty(), "{} days have violations", failing_days.len());
}
