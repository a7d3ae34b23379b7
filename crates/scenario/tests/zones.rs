//! Days at size: 96 engines in four zones, 12 routers, and several troubles at once, in memory.

mod common;

use common::*;
use slipreel_invariants::Ending;
use slipreel_scenario::{read_scenario, run_in_memory, Scenario};

fn zones(seed: u64) -> Scenario {
    let text = include_str!("../../../deploy/days/zones.ini").replace("seed = 3", &format!("seed = {seed}"));
    read_scenario(&text, "zones.ini").unwrap_or_else(|faults| panic!("{faults:?}"))
}

/// New connections take longer than state may lie, at half of the engines, while others die, drain, are cut off or
/// lose answers: what is held is let go of all the same, on connections that stood.
#[test]
fn every_rule_holds_when_connections_are_slow_to_open_in_four_zones() {
    for seed in [3, 4] {
        let played = run_in_memory(&zones(seed));
        assert_clean(&format!("seed {seed}"), &played);
        let served = played.results.iter().filter(|r| r.ending == Some(Ending::Served)).count();
        assert!(served * 10 > played.results.len() * 7, "seed {seed}: {served} of {}", played.results.len());
    }
}
