//! The model against the same days in bytes, and that it is the same each time.

use slipreel_emulator::emulate;
use slipreel_invariants::Ending;
use slipreel_roles::PlanningPolicy;
use slipreel_scenario::{read_scenario, run_in_memory, Scenario};

fn shift(roles: Option<PlanningPolicy>) -> Scenario {
    let text = include_str!("../../../deploy/days/shift.ini");
    let mut day = read_scenario(text, "shift.ini").unwrap_or_else(|faults| panic!("{faults:?}"));
    day.roles = roles;
    day
}

/// Whole answers in bytes and in the model, by model of requests.
fn both(day: &Scenario) -> Vec<(String, usize, usize, usize)> {
    let (bytes, model) = (run_in_memory(day), emulate(day));
    assert_eq!(model.held_items, 0, "nothing is left");
    let served = |name: &str| {
        let its = bytes.results.iter().filter(|r| r.model == name && r.ending == Some(Ending::Served));
        its.count()
    };
    model.models.iter().map(|(name, m)| (name.clone(), m.asked, served(name), m.served)).collect()
}

#[test]
fn a_day_of_overload_is_served_as_in_bytes() {
    for (name, asked, bytes, model) in both(&shift(None)) {
        let apart = bytes.abs_diff(model) as f64 / asked as f64;
        assert!(apart < 0.03, "{name}: {bytes} in bytes and {model} in the model, of {asked}");
    }
}

#[test]
fn roles_bring_in_the_model_what_they_bring_in_bytes() {
    let sum = |all: &[(String, usize, usize, usize)]| {
        all.iter().fold((0, 0, 0), |s, (_, asked, bytes, model)| (s.0 + asked, s.1 + bytes, s.2 + model))
    };
    let (asked, bytes, model) = sum(&both(&shift(Some(PlanningPolicy::Greedy))));
    let apart = bytes.abs_diff(model) as f64 / asked as f64;
    assert!(apart < 0.05, "{bytes} in bytes and {model} in the model, of {asked}");
}

#[test]
fn the_same_day_gives_the_same_figures() {
    let day = shift(Some(PlanningPolicy::Greedy));
    assert_eq!(emulate(&day), emulate(&day));
}
