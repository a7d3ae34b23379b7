//! The scenario `bad.ini` in memory: all invariants hold for each seed and equal seeds give equal bytes.
//! Also, the invariant checker detects routers with deliberate defects.

mod common;

use common::*;
use slipreel_invariants::{Ending, Rule};
use slipreel_scenario::{read_scenario, run_in_memory, RouterDefect, Scenario};
use std::time::Duration;

fn bad_day_scenario(seed: u64) -> Scenario {
    let text = include_str!("../../../deploy/days/bad.ini").replace("seed = 11", &format!("seed = {seed}"));
    read_scenario(&text, "bad.ini").unwrap_or_else(|errors| panic!("{errors:?}"))
}

#[test]
fn all_invariants_hold_in_the_bad_day_scenario() {
    for seed in 1..5 {
        let run = run_in_memory(&bad_day_scenario(seed));
        assert_clean(&format!("seed {seed}"), &run);
        let served = run.results.iter().filter(|r| r.ending == Some(Ending::Served)).count();
        assert!(served * 10 > run.results.len() * 8, "seed {seed}: {served} of {}", run.results.len());
    }
}

#[test]
fn equal_seeds_give_equal_bytes() {
    let (a, b, c) = (
        run_in_memory(&bad_day_scenario(3)),
        run_in_memory(&bad_day_scenario(3)),
        run_in_memory(&bad_day_scenario(4)),
    );
    assert_eq!((a.digest, a.results), (b.digest, b.results));
    assert_ne!(a.digest, c.digest);
}

fn violated_rules(scenario: &Scenario) -> Vec<Rule> {
    let mut rules: Vec<Rule> = run_in_memory(scenario).violations.iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

fn requests_for(model: &str) -> Vec<slipreel_test_servers::client::ScriptedRequest> {
    (1..40).map(|n| request(n, model, n * 50)).collect()
}

#[test]
fn a_router_that_loses_answer_ends_is_detected() {
    let mut scenario = small_scenario(2, 2, "", requests_for("plain"));
    assert_eq!(violated_rules(&scenario), []);
    scenario.router_defect = Some(RouterDefect::LosesAnswerEnds);
    assert!(violated_rules(&scenario).contains(&Rule::OneAnswer));
}

#[test]
fn a_router_that_repeats_unsafe_requests_is_detected() {
    let lost_answers = trouble("answer_lost", "w-0", 0, 60_000, 1.0);
    let mut scenario = small_scenario(2, 2, &lost_answers, requests_for("filing"));
    assert_eq!(violated_rules(&scenario), []);
    // The router's settings list the class as safe to repeat. Clients and engines know that it is not.
    scenario.settings.decisions.classes[2].idempotency = slipreel::Idempotency::Idempotent;
    assert!(violated_rules(&scenario).contains(&Rule::NoEffectTwice));
}

#[test]
fn a_router_that_ignores_drains_is_detected() {
    let mut scenario = small_scenario(
        2,
        2,
        &trouble("drain", "w-0", 100, 4_000, 1.0),
        (1..60).map(|n| request(n, "plain", n * 60)).collect(),
    );
    scenario.length = Duration::from_secs(4);
    assert_eq!(violated_rules(&scenario), []);
    scenario.router_defect = Some(RouterDefect::IgnoresEngineLists);
    assert!(violated_rules(&scenario).contains(&Rule::Drains));
}

#[test]
fn a_router_that_never_releases_state_is_detected() {
    let leaves = |n| {
        with_behaviour(
            request(n, "plain", n * 50),
            slipreel_test_servers::client::ClientBehaviour::LeavesAfter(ms(300)),
        )
    };
    let mut scenario =
        small_scenario(2, 1, &trouble("deaf", "w-0", 0, 9_000, 1.0), (1..10).map(leaves).collect());
    assert_eq!(violated_rules(&scenario), []);
    scenario.router_defect = Some(RouterDefect::NeverReleasesState);
    assert!(violated_rules(&scenario).contains(&Rule::Pinned));
}

#[test]
fn a_router_that_floods_a_cold_engine_is_detected() {
    let crash = trouble("crash", "w-0,w-1", 100, 700, 1.0);
    let requests = (1..1200).map(|n| slipreel_test_servers::client::ScriptedRequest {
        length: 40,
        ..request(n, "plain", 200 + n * 3)
    });
    let mut scenario = small_scenario(4, 2, &crash, requests.collect());
    for engine in &mut scenario.engines {
        engine.spec.cold_time = Duration::from_secs(8);
        engine.spec.cold_share = 0.1;
        (engine.spec.slots, engine.spec.queue) = (engine.spec.slots.min(16), 2_000);
    }
    scenario.settings.decisions.warmup_time = Duration::from_secs(8);
    scenario.settings.decisions.warmup_initial_share = 0.1;
    assert_eq!(violated_rules(&scenario), []);
    // The router treats cold engines as warm.
    scenario.settings.decisions.warmup_time = Duration::ZERO;
    assert!(violated_rules(&scenario).contains(&Rule::Cold));
}
