//! A router dies before or after each write and before or after each message of a change, in turn: whoever it is, nobody acts by two epochs, and
//! what was decided stays so when it is back.

mod common;

use common::{ms, CrashPoint, Fleet};
use slipreel_consensus::policy_state::Proposal;
use slipreel_consensus::wire::OperatorRequest;
use slipreel_consensus::ProposalStatus;
use std::time::Duration;

/// Longer than a short lease on any clock.
const OVERLAP: Duration = Duration::from_millis(81);

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

/// Three voters and a router that does not vote yet, all acting by the first epoch.
fn settled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(4, 3, seed);
    (0..4).for_each(|r| fleet.start(r, "one"));
    fleet.run(ms(4_000));
    assert_eq!(fleet.epochs(), [1; 4]);
    fleet
}

/// What a run of one change showed.
struct ChangeRun {
    /// Steps of the armed kind that the crashing router took.
    steps: u64,
    /// The longest time for which two epochs were acted by at once.
    overlap: Duration,
}

/// Runs a change in which `victim` crashes at a step, and starts again.
fn run_change(victim: usize, at: CrashPoint) -> ChangeRun {
    let mut fleet = settled_fleet(5);
    fleet.arm(victim, at);
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
    ChangeRun { steps: fleet.steps(victim), overlap }
}

#[test]
fn crash_before_or_after_any_write_or_message_keeps_one_outcome_and_a_short_overlap() {
    let runs: Vec<_> = (0..4)
        .map(|victim| {
            std::thread::spawn(move || {
                let mut worst = Duration::ZERO;
                let mut crashes = 0;
                for kind in [
                    CrashPoint::BeforeWrite as fn(u64) -> CrashPoint,
                    CrashPoint::AfterWrite,
                    CrashPoint::BeforeMessage,
                    CrashPoint::AfterMessage,
                ] {
                    // The change is over after some sixty messages of a router.
                    for step in (0..10).chain((10..60).step_by(5)) {
                        let ChangeRun { steps, overlap } = run_change(victim, kind(step));
                        worst = worst.max(overlap);
                        crashes += u64::from(steps > step);
                        if steps <= step {
                            break;
                        }
                    }
                }
                (victim, crashes, worst)
            })
        })
        .collect();
    for run in runs {
        let (victim, crashes, worst) = run.join().expect("a run");
        println!("r{victim}: {crashes} crashes, two epochs for {} ms at most", worst.as_millis());
        assert!(crashes >= 20, "r{victim} crashed {crashes} times");
        assert!(worst <= OVERLAP, "r{victim}: two epochs for {worst:?}");
    }
}
