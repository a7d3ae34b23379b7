//! Crashes each router of a fleet in turn, before or after each of its writes and messages during a change,
//! and starts it again. Guards against crashes after which two epochs are in force at once for longer than a
//! short lease, routers disagree on the outcome of the change, or a decided change is lost.

mod common;

use common::{ms, CrashPoint, Fleet};
use slipreel_consensus::policy_state::Proposal;
use slipreel_consensus::wire::OperatorRequest;
use slipreel_consensus::ProposalStatus;
use std::time::Duration;

/// The longest time for which two epochs may overlap: a short lease on any clock.
const MAX_OVERLAP: Duration = Duration::from_millis(81);

fn propose(fleet: &Fleet, router: usize, id: &str, text: &str) -> bool {
    let proposal = Proposal {
        id: id.into(),
        text: text.into(),
        from: format!("r{router}"),
        submitted_unix_s: 0,
        base_epoch: 0,
        restores_epoch: None,
    };
    fleet.handles[router].submit(OperatorRequest::Propose(proposal))
}

/// Three voters and a router that does not vote yet, all of them in the first epoch.
fn settled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(4, 3, seed);
    (0..4).for_each(|r| fleet.start(r, "one"));
    fleet.run(ms(4_000));
    assert_eq!(fleet.epochs(), [1; 4]);
    fleet
}

/// The measurements of a run of one change.
struct ChangeRun {
    /// Steps of the armed kind that the victim took.
    steps: u64,
    /// The longest time for which routers were in two epochs at once.
    overlap: Duration,
}

/// Runs a change in which `victim` crashes at a step and starts again later.
fn run_change(victim: usize, at: CrashPoint) -> ChangeRun {
    let mut fleet = settled_fleet(5);
    fleet.arm_crash(victim, at);
    assert!(propose(&fleet, 3, "x", "two"));
    let mut newest: Option<(u64, Duration)> = None;
    let mut overlap = Duration::ZERO;
    let mut crashed = false;
    let mut restarted = false;
    let begin = fleet.world.now();
    while fleet.world.now() < begin + ms(12_000) {
        fleet.run(ms(1));
        let now = fleet.world.now();
        let epochs = fleet.epochs();
        let greatest = epochs.iter().copied().max().unwrap_or(0);
        match newest {
            Some((epoch, _)) if epoch >= greatest => {}
            _ => newest = Some((greatest, now)),
        }
        let (newest, since) = newest.expect("set above");
        if epochs.iter().any(|epoch| *epoch != 0 && *epoch < newest) {
            overlap = overlap.max(now - since);
        }
        crashed |= fleet.has_crashed(victim);
        if crashed && !restarted && now > begin + ms(5_000) {
            restarted = true;
            fleet.start(victim, "one");
        }
    }
    let epochs = fleet.epochs();
    assert!(epochs.iter().all(|epoch| *epoch == epochs[0] && *epoch > 0), "{at:?} of r{victim}: {epochs:?}");
    let statuses: Vec<ProposalStatus> =
        (0..3).map(|r| fleet.handles[r].status().proposal_status("x")).collect();
    assert!(statuses.iter().all(|status| *status == statuses[0]), "{at:?} of r{victim}: {statuses:?}");
    if epochs[0] == 2 {
        assert_eq!(statuses[0], ProposalStatus::InForce(2), "{at:?} of r{victim}");
    }
    ChangeRun { steps: fleet.steps_taken(victim), overlap }
}

#[test]
fn crash_before_or_after_any_write_or_message_keeps_one_outcome_and_a_short_overlap() {
    let runs: Vec<_> = (0..4)
        .map(|victim| {
            std::thread::spawn(move || {
                let mut longest_overlap = Duration::ZERO;
                let mut crashes = 0;
                for kind in [
                    CrashPoint::BeforeWrite as fn(u64) -> CrashPoint,
                    CrashPoint::AfterWrite,
                    CrashPoint::BeforeMessage,
                    CrashPoint::AfterMessage,
                ] {
                    // The change is over after about sixty messages of a router.
                    for step in (0..10).chain((10..60).step_by(5)) {
                        let ChangeRun { steps, overlap } = run_change(victim, kind(step));
                        longest_overlap = longest_overlap.max(overlap);
                        crashes += u64::from(steps > step);
                        if steps <= step {
                            break;
                        }
                    }
                }
                (victim, crashes, longest_overlap)
            })
        })
        .collect();
    for run in runs {
        let (victim, crashes, longest_overlap) = run.join().expect("a run that does not panic");
        println!("r{victim}: {crashes} crashes, two epochs for {} ms at most", longest_overlap.as_millis());
        assert!(crashes >= 20, "r{victim} crashed {crashes} times");
        assert!(longest_overlap <= MAX_OVERLAP, "r{victim}: two epochs for {longest_overlap:?}");
    }
}
