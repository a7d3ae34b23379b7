//! The settings of 300 routers change at the same moment under high load. With successors of the decision
//! modules no requests may be lost by it; modules that learn from scratch are the baseline.

use slipreel_emulator::{emulate, emulate_with_settings_change, EmulationReport, SettingsChange};
use slipreel_scenario::{read_scenario, Scenario};
use std::time::Duration;

const CHANGE_SECOND: u64 = 20;

/// A scenario in which the routers, 300 in the test, share engines that are nearly full.
fn busy_scenario(routers: usize) -> Scenario {
    let text = format!(
        "[day]\nlength = 40s\nrouters = {routers}\nseed = 5\n\
         [class chat]\naim = 1s\npatience = 6s\nworth = 3\n[class batch]\naim = 3s\npatience = 8s\nworth = 1\n\
         [model chat-1]\nclass = chat\n[model batch-1]\nclass = batch\n[tenant t]\nkeys = k\n\
         [engines reader]\nrole = read\ncount = 14\nzone = west\ncell = west-1\n\
         [engines writer]\nrole = write\ncount = 14\nzone = west\ncell = west-1\n\
         [traffic chats]\nmodel = chat-1\nkey = k\nrate = 260\nprompt = 600\nprefix = 300\nprefixes = 20\n\
         [traffic batches]\nmodel = batch-1\nkey = k\nrate = 200\nprompt = 600\nprefix = 300\nprefixes = 20\n"
    );
    read_scenario(&text, "busy").unwrap_or_else(|errors| panic!("{errors:?}"))
}

/// The share of served requests among those that were due in the ten seconds from this one on.
fn served_share(report: &EmulationReport, from: u64) -> f64 {
    let (sent, served) = report
        .by_second
        .range(from..from + 10)
        .fold((0, 0), |s, (_, (sent, served))| (s.0 + sent, s.1 + served));
    served as f64 / sent.max(1) as f64
}

#[test]
fn settings_change_of_300_routers_causes_no_dip_with_successors() {
    let scenario = busy_scenario(300);
    let at = Duration::from_secs(CHANGE_SECOND);
    let (unchanged, successors, fresh) = (
        emulate(&scenario),
        emulate_with_settings_change(&scenario, Some((at, SettingsChange::Successor))),
        emulate_with_settings_change(&scenario, Some((at, SettingsChange::Fresh))),
    );
    let before = served_share(&unchanged, CHANGE_SECOND - 10);
    let (without_change, with_successors, with_fresh) = (
        served_share(&unchanged, CHANGE_SECOND),
        served_share(&successors, CHANGE_SECOND),
        served_share(&fresh, CHANGE_SECOND),
    );
    println!(
        "served: {before:.4} before; after: {without_change:.4} without a change, \
         {with_successors:.4} with successors, {with_fresh:.4} with fresh modules"
    );
    assert!(before < 0.999, "the load has to be high enough for some requests to be lost: {before}");
    assert_eq!((successors.held_items, fresh.held_items), (0, 0), "nothing is held at the end");
    assert!(
        with_successors > without_change - 0.01,
        "{with_successors} with successors, {without_change} without a change"
    );
    assert!(with_successors > before - 0.01, "{with_successors} after the change, {before} before");
}
