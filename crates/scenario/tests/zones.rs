//! A large scenario in memory: 96 engines in four zones, 12 routers, and several troubles at once.

mod common;

use common::*;
use slipreel_invariants::Ending;
use slipreel_scenario::{read_scenario, run_in_memory, Scenario};

fn zones_scenario(seed: u64) -> Scenario {
    let text = include_str!("../../../deploy/days/zones.ini").replace("seed = 3", &format!("seed = {seed}"));
    read_scenario(&text, "zones.ini").unwrap_or_else(|errors| panic!("{errors:?}"))
}

/// At half of the engines, opening a connection takes longer than state may be held, while others crash,
/// drain, are partitioned or lose answers. Held state must still be released in time, on connections that are
/// already open.
#[test]
fn all_invariants_hold_when_connections_open_slowly_in_four_zones() {
    for seed in [3, 4] {
        let run = run_in_memory(&zones_scenario(seed));
        assert_clean(&format!("seed {seed}"), &run);
        let served = run.results.iter().filter(|r| r.ending == Some(Ending::Served)).count();
        assert!(served * 10 > run.results.len() * 7, "seed {seed}: {served} of {}", run.results.len());
    }
}
