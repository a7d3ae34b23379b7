//! Engines that change between reading and writing under load: work in flight ends whole, what comes by a stale list is
//! turned away and never runs twice, and no engine newly in its role is flooded.

mod common;

use common::*;
use slipreel_invariants::Ending::Served;
use slipreel_scenario::{run_in_memory, run_over_sockets, Scenario};
use slipreel_test_servers::client::ScriptedRequest;
use std::time::Duration;

fn under_load(extra: &str, rate: u64, seconds: u64) -> Scenario {
    let models = ["plain", "order", "filing"];
    let plans = (1..rate * seconds)
        .map(|n| ScriptedRequest { max_attempts: 3, ..plan(n, models[n as usize % 3], n * 1000 / rate) });
    let mut day = day(4, 4, extra, plans.collect());
    day.length = Duration::from_secs(seconds);
    day
}

fn change(whom: &str, at: u64, lasts: u64) -> String {
    trouble("role_change", whom, at, lasts, 1.0)
}

/// All but a few are served, and every rule holds.
fn assert_served(name: &str, day: &Scenario, least: f64) {
    let played = run_in_memory(day);
    assert_clean(name, &played);
    let served = day.requests.iter().filter(|p| ending(&played, p.request) == Some(Served)).count();
    assert!(served as f64 >= least * day.requests.len() as f64, "{name}: {served} of {}", day.requests.len());
}

#[test]
fn a_reader_becomes_a_writer_and_a_writer_a_reader() {
    assert_served(
        "one each way",
        &under_load(&(change("r-0", 1000, 1500) + &change("w-0", 3000, 1500)), 60, 7),
        1.0,
    );
}

#[test]
fn the_mix_flips_twice_within_ten_seconds() {
    let there = change("r-0,r-1", 1000, 1200);
    let back = change("r-0,r-1", 5000, 1200);
    assert_served("twice", &under_load(&(there + &back), 60, 10), 1.0);
}

#[test]
fn the_list_comes_late_and_work_is_turned_away() {
    let mut day = under_load(&change("r-0,w-0", 1000, 400), 60, 6);
    day.notice = Duration::from_millis(1_500);
    assert_served("late list", &day, 0.98);
}

#[test]
fn it_changes_while_it_holds_states_that_nobody_fetches() {
    let extra = trouble("deaf", "w-0,w-1", 500, 2_500, 1.0) + &change("r-0", 1000, 3000);
    assert_served("held states", &under_load(&extra, 30, 6), 0.6);
}

#[test]
fn it_dies_while_it_drains() {
    let extra = trouble("slow", "w-0", 500, 2_000, 8.0)
        + &change("w-0", 1000, 2000)
        + &trouble("crash", "w-0", 1400, 1000, 1.0);
    assert_served("dies draining", &under_load(&extra, 40, 6), 0.9);
}

#[test]
fn it_goes_the_same_way_over_sockets() {
    let day = under_load(&change("r-0,w-0", 800, 800), 40, 4);
    let played = run_over_sockets(&day, None).expect("a fleet that starts");
    assert_clean("sockets", &played);
    let served = day.requests.iter().filter(|p| ending(&played, p.request) == Some(Served)).count();
    assert!(served * 100 >= day.requests.len() * 98, "{served} of {}", day.requests.len());
}

/// A conductor answers a mix that shifts: it changes engines, in both directions, and every rule holds.
#[test]
fn a_conductor_follows_a_shifting_mix() {
    let text = include_str!("../../../deploy/days/shift.ini")
        .replace("length = 120s", "length = 80s")
        .replace("60s", "40s");
    let day =
        slipreel_scenario::read_scenario(&text, "shift.ini").unwrap_or_else(|faults| panic!("{faults:?}"));
    let played = run_in_memory(&day);
    assert_clean("shift", &played);
    let (taken, turned) = played.orders;
    assert!(taken >= 2 && turned == 0, "{:?} {:?}", played.orders, played.log);
    for word in ["Write to Read", "Read to Write"] {
        assert!(played.log.iter().any(|line| line.contains(word)), "no {word}: {:?}", played.log);
    }
}
