//! The policy checks detect each of the ten defects that routers can have, and report none for routers
//! without a defect.

use slipreel_fault_injection::{
    play_in_memory, play_with_defect, read_script, Defect, Outcome, Script, DEFECTS,
};
use slipreel_invariants::policy::Promise;
use std::path::Path;

fn script() -> Script {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../deploy/grounds")
        .join(format!("{}.ini", "policy-bent"));
    let text = std::fs::read_to_string(file).expect("the script is readable");
    read_script(&text, "policy-bent", Some(3)).expect("the script is valid")
}

fn promises(played: &Outcome) -> Vec<Promise> {
    let policy = played.policy.as_ref().expect("the script has founders of a policy");
    let mut all: Vec<Promise> = policy.verdict.broken.iter().map(|b| b.promise).collect();
    all.sort_unstable();
    all.dedup();
    all
}

#[test]
fn routers_without_a_defect_break_no_promise() {
    let played = play_in_memory(&script()).expect("the run completes");
    assert!(played.passed(), "{:?} {:?}", played.policy, played.verdict.failures);
}

#[test]
fn each_defect_breaks_the_expected_promise() {
    let runs: Vec<_> = DEFECTS
        .into_iter()
        .map(|defect| {
            // A disk that loses data only has an effect if a majority of the voters has one. The other
            // defects show at one router.
            let affected: &[usize] = match defect {
                Defect::NoSync | Defect::ForgetsVotes | Defect::EmptySnapshot => &[0, 1, 2],
                _ => &[1],
            };
            std::thread::spawn(move || {
                (defect, play_with_defect(&script(), defect, affected).expect("the run completes"))
            })
        })
        .collect();
    for run in runs {
        let (defect, played) = run.join().expect("the thread does not panic");
        let promises = promises(&played);
        let expected = match defect {
            Defect::NoSync
            | Defect::ForgetsVotes
            | Defect::ServesBeforeConfirmation
            | Defect::AppliesUndecidedChange
            | Defect::RevertsToOldEpoch => Promise::OneOrder,
            Defect::LongLease | Defect::WrongEpochHeader => Promise::NoTwoAtOnce,
            Defect::EmptySnapshot | Defect::ReportsDroppedAsInForce => Promise::EverywhereOrNowhere,
            Defect::DifferingEpochHeaders => Promise::OneEpochEach,
        };
        println!("{defect:?}: {promises:?}");
        assert!(promises.contains(&expected), "{defect:?}: {promises:?}: expected {expected:?} among them");
    }
}
