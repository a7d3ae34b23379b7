//! 300 routers take new settings at one moment of a busy day: with heirs nothing is lost; routers that learn anew are the baseline.

use slipreel_emulator::{emulate, emulate_with_settings_change, Change, EmulationReport};
use slipreel_scenario::{read_scenario, Scenario};
use std::time::Duration;

const AT: u64 = 20;

/// 300 routers before engines that are nearly full.
fn busy(routers: usize) -> Scenario {
    let text = format!(
        "[day]\nlength = 40s\nrouters = {routers}\nseed = 5\n\
         [class chat]\naim = 1s\npatience = 6s\nworth = 3\n[class batch]\naim = 3s\npatience = 8s\nworth = 1\n\
         [model chat-1]\nclass = chat\n[model batch-1]\nclass = batch\n[tenant t]\nkeys = k\n\
         [engines reader]\nrole = read\ncount = 14\nzone = west\ncell = west-1\n\
         [engines writer]\nrole = write\ncount = 14\nzone = west\ncell = west-1\n\
         [traffic chats]\nmodel = chat-1\nkey = k\nrate = 260\nprompt = 600\nprefix = 300\nprefixes = 20\n\
         [traffic batches]\nmodel = batch-1\nkey = k\nrate = 200\nprompt = 600\nprefix = 300\nprefixes = 20\n"
    );
    read_scenario(&text, "busy").unwrap_or_else(|faults| panic!("{faults:?}"))
}

/// The share of requests served of those asked in the ten seconds from this one on.
fn share(figures: &EmulationReport, from: u64) -> f64 {
    let ten = figures.by_second.range(from..from + 10).fold((0, 0), |s, (_, (a, d))| (s.0 + a, s.1 + d));
    ten.1 as f64 / ten.0.max(1) as f64
}

#[test]
fn three_hundred_routers_change_together_without_a_dip() {
    let day = busy(300);
    let at = Duration::from_secs(AT);
    let (as_is, heirs, anew) = (
        emulate(&day),
        emulate_with_settings_change(&day, Some((at, Change::Heir))),
        emulate_with_settings_change(&day, Some((at, Change::Anew))),
    );
    let before = share(&as_is, AT - 10);
    let (without, with, learning) = (share(&as_is, AT), share(&heirs, AT), share(&anew, AT));
    println!("served: {before:.4} before; after: {without:.4} without a change, {with:.4} with heirs, {learning:.4} learning anew");
    assert!(before < 0.999, "the day is to be busy enough for something to be lost: {before}");
    assert_eq!((heirs.held_items, anew.held_items), (0, 0), "nothing is left");
    assert!(with > without - 0.01, "{with} with heirs, {without} without a change");
    assert!(with > before - 0.01, "{with} after the change, {before} before");
}
