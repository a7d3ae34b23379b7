//! Engines change between prefill and decode under load. Work in flight must complete, attempts that are sent
//! by a stale list are rejected and must not run twice, and an engine that is new in its role must not be
//! flooded.

mod common;

use common::*;
use slipreel_invariants::Ending::Served;
use slipreel_scenario::{run_in_memory, run_over_sockets, Scenario};
use slipreel_test_servers::client::ScriptedRequest;
use std::time::Duration;

fn under_load(extra: &str, rate: u64, seconds: u64) -> Scenario {
    let models = ["plain", "order", "filing"];
    let requests = (1..rate * seconds)
        .map(|n| ScriptedRequest { max_attempts: 3, ..request(n, models[n as usize % 3], n * 1000 / rate) });
    let mut scenario = small_scenario(4, 4, extra, requests.collect());
    scenario.length = Duration::from_secs(seconds);
    scenario
}

fn role_change(targets: &str, at: u64, duration: u64) -> String {
    trouble("role_change", targets, at, duration, 1.0)
}

/// Asserts that at least this share of requests is served and all invariants hold.
fn assert_served(name: &str, scenario: &Scenario, min_share: f64) {
    let run = run_in_memory(scenario);
    assert_clean(name, &run);
    let served = scenario.requests.iter().filter(|r| ending(&run, r.request) == Some(Served)).count();
    assert!(
        served as f64 >= min_share * scenario.requests.len() as f64,
        "{name}: {served} of {}",
        scenario.requests.len()
    );
}

#[test]
fn a_prefill_and_a_decode_engine_swap_roles() {
    assert_served(
        "one each way",
        &under_load(&(role_change("r-0", 1000, 1500) + &role_change("w-0", 3000, 1500)), 60, 7),
        1.0,
    );
}

#[test]
fn roles_change_back_and_forth_within_ten_seconds() {
    let forth = role_change("r-0,r-1", 1000, 1200);
    let back = role_change("r-0,r-1", 5000, 1200);
    assert_served("twice", &under_load(&(forth + &back), 60, 10), 1.0);
}

#[test]
fn a_late_engine_list_causes_rejected_attempts() {
    let mut scenario = under_load(&role_change("r-0,w-0", 1000, 400), 60, 6);
    scenario.list_delay = Duration::from_millis(1_500);
    assert_served("late list", &scenario, 0.98);
}

#[test]
fn an_engine_changes_role_while_it_holds_unfetched_states() {
    let extra = trouble("deaf", "w-0,w-1", 500, 2_500, 1.0) + &role_change("r-0", 1000, 3000);
    assert_served("held states", &under_load(&extra, 30, 6), 0.6);
}

#[test]
fn an_engine_crashes_while_it_drains_for_a_role_change() {
    let extra = trouble("slow", "w-0", 500, 2_000, 8.0)
        + &role_change("w-0", 1000, 2000)
        + &trouble("crash", "w-0", 1400, 1000, 1.0);
    assert_served("dies draining", &under_load(&extra, 40, 6), 0.9);
}

#[test]
fn roles_change_over_sockets() {
    let scenario = under_load(&role_change("r-0,w-0", 800, 800), 40, 4);
    let run = run_over_sockets(&scenario, None).expect("a fleet that starts");
    assert_clean("sockets", &run);
    let served = scenario.requests.iter().filter(|r| ending(&run, r.request) == Some(Served)).count();
    assert!(served * 100 >= scenario.requests.len() * 98, "{served} of {}", scenario.requests.len());
}

/// The role controller responds to a shifting mix of requests: engines change in both directions and all
/// invariants hold.
#[test]
fn a_role_controller_follows_a_shifting_mix() {
    let text = include_str!("../../../deploy/days/shift.ini")
        .replace("length = 120s", "length = 80s")
        .replace("60s", "40s");
    let scenario =
        slipreel_scenario::read_scenario(&text, "shift.ini").unwrap_or_else(|errors| panic!("{errors:?}"));
    let run = run_in_memory(&scenario);
    assert_clean("shift", &run);
    let (accepted, rejected) = run.orders;
    assert!(accepted >= 2 && rejected == 0, "{:?} {:?}", run.orders, run.log);
    for change in ["Write to Read", "Read to Write"] {
        assert!(run.log.iter().any(|line| line.contains(change)), "no {change}: {:?}", run.log);
    }
}
