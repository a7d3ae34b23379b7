//! Small scenarios for tests: settings in INI, requests written by hand.
#![allow(dead_code)]

use slipreel_invariants::{Effect, Ending};
use slipreel_scenario::{read_scenario, RunResult, Scenario};
use slipreel_test_servers::client::{ClientBehaviour, ScriptedRequest};
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const SETTINGS: &str = "
[class plain]
aim = 1s
patience = 4s
[class order]
effect = keyed
window = 30s
aim = 1s
patience = 4s
[class filing]
effect = unsafe
aim = 1s
patience = 4s
[model plain]
class = plain
[model order]
class = order
[model filing]
class = filing
[limits]
cold_time = 3s
";

/// A scenario with this many prefill and decode engines in one cell, with additional INI sections and these
/// requests.
pub fn small_scenario(
    prefill_engines: usize, decode_engines: usize, extra: &str, requests: Vec<ScriptedRequest>,
) -> Scenario {
    let fleet = format!(
        "[engines r]\nrole = read\ncount = {prefill_engines}\ncold_time = 3s\n[engines w]\nrole = write\ncount = {decode_engines}\ncold_time = 3s\n"
    );
    let text = format!("{SETTINGS}{fleet}[day]\nlength = 1s\nrouters = 1\nnotice = 200ms\nseed = 5\n{extra}");
    let mut scenario = read_scenario(&text, "test").unwrap_or_else(|errors| panic!("{errors:?}"));
    scenario.requests = requests;
    for request in &mut scenario.requests {
        request.effect = Scenario::effect_of(&scenario.settings, &request.model);
    }
    scenario
}

/// The INI section of a trouble; times are in milliseconds.
pub fn trouble(kind: &str, targets: &str, at: u64, duration: u64, magnitude: f64) -> String {
    format!("[trouble {kind}-{at}]\nkind = {kind}\nwhom = {targets}\nat = {at}ms\nlasts = {duration}ms\nsize = {magnitude}\n")
}

/// A request for a model at a time in milliseconds since the start of the scenario.
pub fn request(number: u64, model: &str, at: u64) -> ScriptedRequest {
    ScriptedRequest {
        at: ms(at),
        request: number,
        model: model.into(),
        effect: Effect::Safe,
        key: "k".into(),
        session: format!("s{number}"),
        system: "system ".repeat(40),
        prompt: "prompt ".repeat(100),
        length: 20,
        max_tokens: 40,
        stream: true,
        patience: ms(3_000),
        max_attempts: 1,
        backoff: ms(50),
        honours_retry_after: true,
        behaviour: ClientBehaviour::Plain,
    }
}

pub fn with_behaviour(request: ScriptedRequest, behaviour: ClientBehaviour) -> ScriptedRequest {
    ScriptedRequest { behaviour, ..request }
}

/// How the last attempt of a request ended.
pub fn ending(run: &RunResult, request: u64) -> Option<Ending> {
    run.results
        .iter()
        .rfind(|r| r.attempt.request == request)
        .unwrap_or_else(|| panic!("{request} never ended"))
        .ending
}

/// Asserts that no invariant was violated, no answer was wrong and no request is still held.
pub fn assert_clean(name: &str, run: &RunResult) {
    assert!(run.violations.is_empty(), "{name}: {:?}", run.violations);
    let wrong_answers: Vec<_> = run.results.iter().filter(|r| r.fault.is_some()).collect();
    assert!(wrong_answers.is_empty(), "{name}: {wrong_answers:?}");
    assert_eq!(run.held_requests, 0, "{name}: requests are still held");
}
