//! The bad day in memory: every rule holds for every seed, the same seed gives the same bytes, and a router that is
//! broken on purpose is caught.

mod common;

use common::*;
use slipreel_invariants::{Ending, Rule};
use slipreel_scenario::{read_scenario, run_in_memory, Sabotage, Scenario};
use std::time::Duration;

fn bad_day(seed: u64) -> Scenario {
    let text = include_str!("../../../deploy/days/bad.ini").replace("seed = 11", &format!("seed = {seed}"));
    read_scenario(&text, "bad.ini").unwrap_or_else(|faults| panic!("{faults:?}"))
}

#[test]
fn every_rule_holds_through_the_bad_day() {
    for seed in 1..5 {
        let played = run_in_memory(&bad_day(seed));
        assert_clean(&format!("seed {seed}"), &played);
        let served = played.results.iter().filter(|r| r.ending == Some(Ending::Served)).count();
        assert!(served * 10 > played.results.len() * 8, "seed {seed}: {served} of {}", played.results.len());
    }
}

#[test]
fn the_same_seed_gives_the_same_bytes() {
    let (a, b, c) = (run_in_memory(&bad_day(3)), run_in_memory(&bad_day(3)), run_in_memory(&bad_day(4)));
    assert_eq!((a.digest, a.results), (b.digest, b.results));
    assert_ne!(a.digest, c.digest);
}

fn broken_rules(day: &Scenario) -> Vec<Rule> {
    let mut rules: Vec<Rule> = run_in_memory(day).violations.iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

fn some(model: &str) -> Vec<slipreel_test_servers::client::ScriptedRequest> {
    (1..40).map(|n| plan(n, model, n * 50)).collect()
}

#[test]
fn a_router_that_loses_ends_is_caught() {
    let mut day = day(2, 2, "", some("plain"));
    assert_eq!(broken_rules(&day), []);
    day.sabotage = Some(Sabotage::LosesEnds);
    assert!(broken_rules(&day).contains(&Rule::OneAnswer));
}

#[test]
fn a_router_that_repeats_what_must_not_run_twice_is_caught() {
    let lost = trouble("answer_lost", "w-0", 0, 60_000, 1.0);
    let mut day = day(2, 2, &lost, some("filing"));
    assert_eq!(broken_rules(&day), []);
    // The router takes the class for a safe one; its clients and engines know better.
    day.settings.decisions.classes[2].idempotency = slipreel::Idempotency::Idempotent;
    assert!(broken_rules(&day).contains(&Rule::NoEffectTwice));
}

#[test]
fn a_router_that_ignores_drains_is_caught() {
    let mut day = day(
        2,
        2,
        &trouble("drain", "w-0", 100, 4_000, 1.0),
        (1..60).map(|n| plan(n, "plain", n * 60)).collect(),
    );
    day.length = Duration::from_secs(4);
    assert_eq!(broken_rules(&day), []);
    day.sabotage = Some(Sabotage::IgnoresLists);
    assert!(broken_rules(&day).contains(&Rule::Drains));
}

#[test]
fn a_router_that_never_lets_go_is_caught() {
    let leaves = |n| {
        with(plan(n, "plain", n * 50), slipreel_test_servers::client::ClientBehaviour::LeavesAfter(ms(300)))
    };
    let mut day = day(2, 1, &trouble("deaf", "w-0", 0, 9_000, 1.0), (1..10).map(leaves).collect());
    assert_eq!(broken_rules(&day), []);
    day.sabotage = Some(Sabotage::NeverLetsGo);
    assert!(broken_rules(&day).contains(&Rule::Pinned));
}

#[test]
fn a_router_that_floods_a_cold_engine_is_caught() {
    let crash = trouble("crash", "w-0,w-1", 100, 700, 1.0);
    let plans = (1..1200).map(|n| slipreel_test_servers::client::ScriptedRequest {
        length: 40,
        ..plan(n, "plain", 200 + n * 3)
    });
    let mut day = day(4, 2, &crash, plans.collect());
    for engine in &mut day.engines {
        engine.spec.cold_time = Duration::from_secs(8);
        engine.spec.cold_share = 0.1;
        (engine.spec.slots, engine.spec.queue) = (engine.spec.slots.min(16), 2_000);
    }
    day.settings.decisions.warmup_time = Duration::from_secs(8);
    day.settings.decisions.warmup_initial_share = 0.1;
    assert_eq!(broken_rules(&day), []);
    // The router knows nothing of cold engines.
    day.settings.decisions.warmup_time = Duration::ZERO;
    assert!(broken_rules(&day).contains(&Rule::Cold));
}
