//! Membership views under scripted faults and under faults drawn by seed, in virtual time.
//! `crates/cli/tests/ground.rs` plays the same scripts with processes.

use slipreel_fault_injection::{play_in_memory, read_script, Outcome};
use std::path::{Path, PathBuf};

fn scripts_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/grounds")
}

fn play(name: &str, seed: u64) -> Outcome {
    let file = scripts_folder().join(format!("{name}.ini"));
    let text = std::fs::read_to_string(&file).expect("the script is readable");
    let script = read_script(&text, &file.display().to_string(), Some(seed)).expect("the script is valid");
    play_in_memory(&script).expect("the run completes")
}

fn check(name: &str, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let played = play(name, seed);
        assert!(
            played.passed(),
            "{name}, seed {seed}: {:?} {:?}",
            played.verdict.failures,
            played.violations
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
    thirty_routers_start_at_once "start" 1..2;
    the_seed_is_never_started "seed-dead" 1..4;
    all_routers_are_killed_and_restarted "all-restart" 1..4;
    restarts_after_short_and_long_outages_and_without_folder "back-soon" 1..6;
    a_partition_into_halves_heals "halves" 1..4;
    one_router_cannot_send "one-way" 1..4;
    the_link_between_two_routers_is_cut "pair" 1..4;
    one_router_is_paused_for_a_second "stop-short" 1..6;
    one_router_is_paused_for_long "stop-long" 1..4;
    a_minute_of_loss_and_delay "loss" 1..2;
    seven_of_ten_routers_are_killed "seven" 1..4;
    a_partition_outlasts_the_counting_of_silent_routers "long-cut" 1..2;
    seven_routers_are_killed_for_good "long-crash" 1..2;
    four_routers_are_killed_for_good "long-loss" 1..2;
    ten_routers_join_and_ten_leave "join-leave" 1..2;
    thirty_routers_with_random_faults "thirty" 1..2;
    a_name_used_twice "twin" 1..8;
    a_name_used_twice_from_the_start "twin-young" 13..15;
    invalid_datagrams "noise" 1..3;
    seeds_and_address_table_change "reload" 1..3;
    slow_and_stalled_connections "slow-peers" 1..2;
    a_folder_that_cannot_be_written "folder" 1..3;
    random_faults_first "ten" 1..9;
    random_faults_second "ten" 9..17;
    random_faults_third "ten" 17..21;
}

#[test]
fn the_same_script_gives_the_same_bytes() {
    let (a, b) = (play("back-soon", 3), play("back-soon", 3));
    assert_eq!(a.digest, b.digest);
    assert_eq!(a.history.events, b.history.events);
    assert_ne!(a.digest, play("back-soon", 4).digest);
}

/// Guards against a script in `deploy/grounds` that no test of this crate plays.
#[test]
fn every_script_is_played() {
    let tests =
        [include_str!("hard_cases.rs"), include_str!("policy.rs"), include_str!("defects.rs")].concat();
    for file in std::fs::read_dir(scripts_folder()).expect("the folder of scripts") {
        let name = file
            .expect("a folder entry")
            .path()
            .file_stem()
            .expect("a file name")
            .to_string_lossy()
            .into_owned();
        assert!(name == "two" || tests.contains(&format!("\"{name}\"")), "{name}");
    }
}
