//! Changes of the policy under faults, in virtual time. `crates/cli/tests/policy.rs` plays the same scripts
//! with processes.

use slipreel_fault_injection::{play_in_memory, read_script, Outcome, Script};
use std::path::{Path, PathBuf};

fn scripts_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/grounds")
}

fn script(name: &str, seed: u64) -> Script {
    let file = scripts_folder().join(format!("{name}.ini"));
    let text = std::fs::read_to_string(&file).expect("the script is readable");
    read_script(&text, &file.display().to_string(), Some(seed)).expect("the script is valid")
}

fn play(name: &str, seed: u64) -> Outcome {
    play_in_memory(&script(name, seed)).expect("the run completes")
}

fn check(name: &str, seeds: std::ops::Range<u64>) {
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
            check($name, $seeds);
        }
    )*};
}

cases! {
    two_routers_agree "policy-two" 1..4;
    each_voter_is_killed_during_a_change "policy-leader" 1..3;
    routers_are_paused_during_a_change "policy-stop" 1..3;
    a_partition_and_two_operators "policy-cut" 1..3;
    most_voters_are_killed "policy-most" 1..3;
    full_lost_and_torn_disks "policy-disks" 1..3;
    loss_delay_and_slow_peers "policy-slow" 1..3;
    restarts_and_a_rollback "policy-restarts" 1..3;
    a_voter_is_replaced "policy-gone" 1..3;
    one_router_is_a_hundred_epochs_behind "policy-behind" 1..2;
    one_of_ten_routers_cannot_apply_a_policy "policy-nine" 1..3;
    partitioned_routers_serve_in_serve_mode "policy-serve" 1..2;
    random_faults_first "policy-five" 1..14;
    random_faults_second "policy-five" 14..27;
    random_faults_third "policy-five" 27..40;
    // Seed 46 guards against this: a configuration was being replaced while two of its voters were down, and
    // never recovered.
    random_faults_fourth "policy-five" 40..51;
    ten_routers_with_random_faults "policy-ten" 1..3;
}

/// The script sends many requests per second, so that the time in which routers apply two different epochs
/// can be measured.
#[test]
fn two_epochs_overlap_by_less_than_a_short_lease() {
    let played = play("policy-dense", 1);
    assert!(played.passed(), "{:?} {:?}", played.verdict.failures, played.policy);
    let policy = played.policy.expect("the script has founders of a policy");
    assert_eq!((policy.ended, policy.verdict.uncertain), ((6, 0), 0), "no request is refused for a change");
    assert!(policy.verdict.taken.values().all(|n| *n > 100), "{:?}", policy.verdict.taken);
}

#[test]
fn without_founders_there_is_no_policy() {
    let played = play("two", 1);
    assert!(played.policy.is_none());
    assert!(played.passed());
}
