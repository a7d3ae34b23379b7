//! Small days for tests: a site in INI, requests by hand.
#![allow(dead_code)]

use slipreel_invariants::{Effect, Ending};
use slipreel_scenario::{read_scenario, RunResult, Scenario};
use slipreel_test_servers::client::{ClientBehaviour, ScriptedRequest};
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const SITE: &str = "
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

/// A day of so many readers and writers in one cell, with these troubles and requests.
pub fn day(readers: usize, writers: usize, extra: &str, plans: Vec<ScriptedRequest>) -> Scenario {
    let fleet = format!(
        "[engines r]\nrole = read\ncount = {readers}\ncold_time = 3s\n[engines w]\nrole = write\ncount = {writers}\ncold_time = 3s\n"
    );
    let text = format!("{SITE}{fleet}[day]\nlength = 1s\nrouters = 1\nnotice = 200ms\nseed = 5\n{extra}");
    let mut day = read_scenario(&text, "test").unwrap_or_else(|faults| panic!("{faults:?}"));
    day.requests = plans;
    for plan in &mut day.requests {
        plan.effect = Scenario::effect_of(&day.settings, &plan.model);
    }
    day
}

/// A trouble in INI.
pub fn trouble(kind: &str, whom: &str, at: u64, lasts: u64, size: f64) -> String {
    format!("[trouble {kind}-{at}]\nkind = {kind}\nwhom = {whom}\nat = {at}ms\nlasts = {lasts}ms\nsize = {size}\n")
}

/// A request of a model at a time of the day.
pub fn plan(request: u64, model: &str, at: u64) -> ScriptedRequest {
    ScriptedRequest {
        at: ms(at),
        request,
        model: model.into(),
        effect: Effect::Safe,
        key: "k".into(),
        session: format!("s{request}"),
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

pub fn with(plan: ScriptedRequest, habit: ClientBehaviour) -> ScriptedRequest {
    ScriptedRequest { behaviour: habit, ..plan }
}

/// How the last try of a request ended.
pub fn ending(played: &RunResult, request: u64) -> Option<Ending> {
    played
        .results
        .iter()
        .rfind(|r| r.attempt.request == request)
        .unwrap_or_else(|| panic!("{request} never ended"))
        .ending
}

/// No rule broke, no answer was wrong, nothing is held.
pub fn assert_clean(name: &str, played: &RunResult) {
    assert!(played.violations.is_empty(), "{name}: {:?}", played.violations);
    let faults: Vec<_> = played.results.iter().filter(|r| r.fault.is_some()).collect();
    assert!(faults.is_empty(), "{name}: {faults:?}");
    assert_eq!(played.held_requests, 0, "{name}: requests are still held");
}
