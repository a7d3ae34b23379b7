//! Compares the emulator with the same scenarios run in memory with all bytes, and checks that it is
//! deterministic.

use slipreel_emulator::emulate;
use slipreel_invariants::Ending;
use slipreel_roles::PlanningPolicy;
use slipreel_scenario::{read_scenario, run_in_memory, Scenario};

fn shift_scenario(policy: Option<PlanningPolicy>) -> Scenario {
    let text = include_str!("../../../deploy/days/shift.ini");
    let mut scenario = read_scenario(text, "shift.ini").unwrap_or_else(|errors| panic!("{errors:?}"));
    scenario.role_policy = policy;
    scenario
}

/// For each model: its name, its requests, and how many were served in the run in bytes and in the emulation.
fn served_by_model(scenario: &Scenario) -> Vec<(String, usize, usize, usize)> {
    let (run, report) = (run_in_memory(scenario), emulate(scenario));
    assert_eq!(report.held_items, 0, "nothing is held at the end");
    let served_in_bytes = |name: &str| {
        let served = run.results.iter().filter(|r| r.model == name && r.ending == Some(Ending::Served));
        served.count()
    };
    report.models.iter().map(|(name, m)| (name.clone(), m.asked, served_in_bytes(name), m.served)).collect()
}

#[test]
fn as_many_requests_are_served_under_overload_as_in_bytes() {
    for (name, asked, in_bytes, emulated) in served_by_model(&shift_scenario(None)) {
        let difference = in_bytes.abs_diff(emulated) as f64 / asked as f64;
        assert!(difference < 0.03, "{name}: {in_bytes} in bytes and {emulated} emulated, of {asked}");
    }
}

#[test]
fn role_changes_have_the_same_effect_as_in_bytes() {
    let sum = |all: &[(String, usize, usize, usize)]| {
        all.iter().fold((0, 0, 0), |s, (_, asked, in_bytes, emulated)| {
            (s.0 + asked, s.1 + in_bytes, s.2 + emulated)
        })
    };
    let (asked, in_bytes, emulated) = sum(&served_by_model(&shift_scenario(Some(PlanningPolicy::Greedy))));
    let difference = in_bytes.abs_diff(emulated) as f64 / asked as f64;
    assert!(difference < 0.05, "{in_bytes} in bytes and {emulated} emulated, of {asked}");
}

#[test]
fn equal_scenarios_give_equal_reports() {
    let scenario = shift_scenario(Some(PlanningPolicy::Greedy));
    assert_eq!(emulate(&scenario), emulate(&scenario));
}
