//! Routers that are broken on purpose, in ten ways: the judge names a broken promise for each, and none where nobody is broken.

use slipreel_fault_injection::{play_broken, play_in_memory, read_script, Bend, Outcome, Script, BENDS};
use slipreel_invariants::policy::Promise;
use std::path::Path;

fn script() -> Script {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../deploy/grounds")
        .join(format!("{}.ini", "policy-bent"));
    let text = std::fs::read_to_string(file).expect("a script");
    read_script(&text, "policy-bent", Some(3)).expect("no faults")
}

fn promises(played: &Outcome) -> Vec<Promise> {
    let policy = played.policy.as_ref().expect("a policy is agreed on");
    let mut all: Vec<Promise> = policy.verdict.broken.iter().map(|b| b.promise).collect();
    all.sort_unstable();
    all.dedup();
    all
}

#[test]
fn the_same_script_breaks_nothing_where_nobody_is_broken() {
    let played = play_in_memory(&script()).expect("it plays");
    assert!(played.passed(), "{:?} {:?}", played.policy, played.verdict.failures);
}

#[test]
fn each_way_of_being_broken_is_caught() {
    let runs: Vec<_> = BENDS
        .into_iter()
        .map(|bend| {
            // What a disk forgets shows where a majority forgets; the others are caught at one router.
            let whom: &[usize] = match bend {
                Bend::NoSync | Bend::ForgetsVotes | Bend::EmptySnapshot => &[0, 1, 2],
                _ => &[1],
            };
            std::thread::spawn(move || (bend, play_broken(&script(), bend, whom).expect("it plays")))
        })
        .collect();
    for run in runs {
        let (bend, played) = run.join().expect("a run");
        let promises = promises(&played);
        let expected = match bend {
            Bend::NoSync | Bend::ForgetsVotes | Bend::Eager | Bend::Undecided | Bend::GoesBack => {
                Promise::OneOrder
            }
            Bend::LongLease | Bend::WrongStamp => Promise::NoTwoAtOnce,
            Bend::EmptySnapshot | Bend::Liar => Promise::EverywhereOrNowhere,
            Bend::TwoStamps => Promise::OneEpochEach,
        };
        println!("{bend:?}: {promises:?}");
        assert!(promises.contains(&expected), "{bend:?}: {promises:?}: expected {expected:?} among them");
    }
}
