//! The hard cases of the view and faults drawn by seed, in virtual time. `crates/cli/tests/ground.rs` plays the same scripts with processes.

use slipreel_fault_injection::{play_in_memory, read_script, Outcome};
use std::path::{Path, PathBuf};

fn grounds() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/grounds")
}

fn play(name: &str, seed: u64) -> Outcome {
    let file = grounds().join(format!("{name}.ini"));
    let text = std::fs::read_to_string(&file).expect("a script");
    let script = read_script(&text, &file.display().to_string(), Some(seed)).expect("no faults");
    play_in_memory(&script).expect("it plays")
}

fn holds(name: &str, seeds: std::ops::Range<u64>) {
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
            holds($name, $seeds);
        }
    )*};
}

cases! {
    thirty_start_at_once "start" 1..2;
    the_seed_is_dead "seed-dead" 1..4;
    all_are_killed_and_start_again "all-restart" 1..4;
    back_soon_later_and_without_folder "back-soon" 1..6;
    halves_are_cut_and_healed "halves" 1..4;
    one_is_not_heard "one-way" 1..4;
    two_do_not_see_each_other "pair" 1..4;
    one_stands_still_for_a_second "stop-short" 1..6;
    one_stands_still_for_long "stop-long" 1..4;
    a_minute_of_loss_and_delay "loss" 1..2;
    seven_of_ten_die "seven" 1..4;
    a_cut_longer_than_silent_ones_count "long-cut" 1..2;
    seven_die_for_good "long-crash" 1..2;
    four_die_for_good "long-loss" 1..2;
    ten_join_and_ten_leave "join-leave" 1..2;
    thirty_with_faults_by_seed "thirty" 1..2;
    a_name_used_twice "twin" 1..8;
    a_name_used_twice_from_the_start "twin-young" 13..15;
    noise "noise" 1..3;
    seeds_and_book_change "reload" 1..3;
    peers_that_trickle_or_never_answer "slow-peers" 1..2;
    a_folder_that_cannot_be_written "folder" 1..3;
    faults_by_seed_first "ten" 1..9;
    faults_by_seed_second "ten" 9..17;
    faults_by_seed_third "ten" 17..21;
}

#[test]
fn the_same_script_gives_the_same_bytes() {
    let (a, b) = (play("back-soon", 3), play("back-soon", 3));
    assert_eq!(a.digest, b.digest);
    assert_eq!(a.history.events, b.history.events);
    assert_ne!(a.digest, play("back-soon", 4).digest);
}

/// Every script that comes with the program is played here.
#[test]
fn no_script_is_left_out() {
    let own = [include_str!("hard_cases.rs"), include_str!("policy.rs"), include_str!("bent.rs")].concat();
    for file in std::fs::read_dir(grounds()).expect("scripts") {
        let name = file.expect("a file").path().file_stem().expect("a name").to_string_lossy().into_owned();
        assert!(name == "two" || own.contains(&format!("\"{name}\"")), "{name}");
    }
}
