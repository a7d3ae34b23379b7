//! Changes of policy through faults, in virtual time. `crates/cli/tests/policy.rs` plays the same scripts with processes.

use slipreel_fault_injection::{play_in_memory, read_script, Outcome, Script};
use std::path::{Path, PathBuf};

fn grounds() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/grounds")
}

fn script(name: &str, seed: u64) -> Script {
    let file = grounds().join(format!("{name}.ini"));
    let text = std::fs::read_to_string(&file).expect("a script");
    read_script(&text, &file.display().to_string(), Some(seed)).expect("no faults")
}

fn play(name: &str, seed: u64) -> Outcome {
    play_in_memory(&script(name, seed)).expect("it plays")
}

fn holds(name: &str, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let played = play(name, seed);
        assert!(
            played.passed(),
            "{name}, seed {seed}: {:?} {:?} {:?}",
            played.verdict.failures,
            played.violations,
            played.policy
        );
    }
}

macro_rules! cases {
    ($($test:ident $name:literal $seeds:expr;)*) => {$(
        #[test]
        fn $test() {
            holds($name, $seeds);
        }
    )*};
}

cases! {
    two_routers_agree "policy-two" 1..4;
    each_voter_is_killed_at_a_change "policy-leader" 1..3;
    routers_stand_still_over_a_change "policy-stop" 1..3;
    a_cut_and_two_operators "policy-cut" 1..3;
    most_voters_die "policy-most" 1..3;
    full_lost_and_torn_disks "policy-disks" 1..3;
    loss_delay_and_slow_peers "policy-slow" 1..3;
    restarts_and_a_way_back "policy-restarts" 1..3;
    a_voter_is_replaced "policy-gone" 1..3;
    one_is_a_hundred_epochs_behind "policy-behind" 1..2;
    nine_can_and_one_cannot "policy-nine" 1..3;
    cut_off_routers_serve_if_operators_chose_so "policy-serve" 1..2;
    drawn_faults_first "policy-five" 1..14;
    drawn_faults_second "policy-five" 14..27;
    drawn_faults_third "policy-five" 27..40;
    // 46: a configuration that was ending when two of its voters were away never came back.
    drawn_faults_fourth "policy-five" 40..51;
    ten_with_drawn_faults "policy-ten" 1..3;
}

/// With many requests a second the time in which two epochs are acted by shows.
#[test]
fn two_epochs_overlap_by_less_than_a_short_lease() {
    let played = play("policy-dense", 1);
    assert!(played.passed(), "{:?} {:?}", played.verdict.failures, played.policy);
    let policy = played.policy.expect("a policy");
    assert_eq!((policy.ended, policy.verdict.uncertain), ((6, 0), 0), "no request is refused for a change");
    assert!(policy.verdict.taken.values().all(|n| *n > 100), "{:?}", policy.verdict.taken);
}

#[test]
fn without_founders_there_is_no_epoch_and_no_stamp() {
    let played = play("two", 1);
    assert!(played.policy.is_none());
    assert!(played.passed());
}
