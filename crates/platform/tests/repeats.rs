//! No request is repeated that must not be: a search over seeds that prints the shortest failing day.

mod common;
use common::day::Day;

/// Days that are searched in every run.
const SEARCHED: u64 = 60;
/// The variable that asks for more of them: `REPEAT_DAYS=1000 cargo test --release -p slipreel-platform --test repeats`.
const SEARCHED_VARIABLE: &str = "REPEAT_DAYS";

#[test]
fn no_searched_day_repeats_a_request_that_must_not_be_repeated() {
    let days = std::env::var(SEARCHED_VARIABLE).ok().map(|text| text.parse().expect("a number of days"));
    let (mut broken, mut served, mut asked) = (Vec::new(), 0, 0);
    for seed in 1..=days.unwrap_or(SEARCHED) {
        let day = Day::of(seed);
        let played = day.play();
        served += played.served;
        asked += played.served + played.refused + played.failed;
        if let Some(first) = played.breaks.first() {
            println!("seed {seed}: {} breaks, first {first:?}", played.breaks.len());
            broken.push(day);
        }
    }
    println!("{served} of {asked} requests were served");
    if let Some(day) = broken.first().cloned() {
        let shortest = day.shortest();
        let played = shortest.play();
        println!("shortest: {shortest:?}\n{:?}\n{:#?}", shortest.settings(), played.breaks);
        println!("{:#?}", played.log);
    }
    assert!(f64::from(served) > 0.3 * f64::from(asked), "too few were served to show anything");
    assert!(broken.is_empty(), "{} days break", broken.len());
}
