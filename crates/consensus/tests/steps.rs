//! A router dies before or after each write and before or after each message of a change, in turn: whoever it is, nobody acts by two epochs, and
//! what was decided stays so when it is back.

mod common;

use common::{ms, Killed, Routers};
use slipreel_consensus::policy_state::Proposal;
use slipreel_consensus::wire::OperatorRequest;
use slipreel_consensus::ProposalStatus;
use std::time::Duration;

/// Longer than a short lease on any clock.
const OVERLAP: Duration = Duration::from_millis(81);

fn propose(routers: &Routers, at: usize, id: &str, text: &str) -> bool {
    let p = Proposal {
        id: id.into(),
        text: text.into(),
        from: format!("r{at}"),
        submitted_unix_s: 0,
        base_epoch: 0,
        restores_epoch: None,
    };
    routers.boards[at].submit(OperatorRequest::Propose(p))
}

/// Three voters and one that does not vote yet, up and settled.
fn up(seed: u64) -> Routers {
    let mut routers = Routers::new(4, 3, seed);
    (0..4).for_each(|r| routers.start(r, "one"));
    routers.run(ms(4_000));
    assert_eq!(routers.epochs(), [1; 4]);
    routers
}

/// Plays a change in which `victim` dies at `step` of its steps, and comes back. How many steps it had, and the longest overlap.
fn change(victim: usize, at: Killed) -> (u64, Duration) {
    let mut routers = up(5);
    routers.arm(victim, at);
    assert!(propose(&routers, 3, "x", "two"));
    let mut newest: Option<(u64, Duration)> = None;
    let mut overlap = Duration::ZERO;
    let (mut died, mut back) = (false, false);
    let begin = routers.world.now();
    while routers.world.now() < begin + ms(12_000) {
        routers.run(ms(1));
        let now = routers.world.now();
        let epochs = routers.epochs();
        let most = epochs.iter().copied().max().unwrap_or(0);
        match newest {
            Some((epoch, _)) if epoch >= most => {}
            _ => newest = Some((most, now)),
        }
        let (newest, since) = newest.expect("set above");
        if epochs.iter().any(|e| *e != 0 && *e < newest) {
            overlap = overlap.max(now - since);
        }
        died |= routers.is_dead(victim);
        if died && !back && now > begin + ms(5_000) {
            back = true;
            routers.start(victim, "one");
        }
    }
    let epochs = routers.epochs();
    assert!(epochs.iter().all(|e| *e == epochs[0] && *e > 0), "{at:?} of r{victim}: {epochs:?}");
    let stands: Vec<ProposalStatus> =
        (0..3).map(|r| routers.boards[r].status().proposal_status("x")).collect();
    assert!(stands.iter().all(|s| *s == stands[0]), "{at:?} of r{victim}: {stands:?}");
    if epochs[0] == 2 {
        assert_eq!(stands[0], ProposalStatus::InForce(2), "{at:?} of r{victim}");
    }
    (routers.steps(victim), overlap)
}

#[test]
fn a_death_before_or_after_each_write_and_each_message_breaks_nothing() {
    let runs: Vec<_> = (0..4)
        .map(|victim| {
            std::thread::spawn(move || {
                let mut worst = Duration::ZERO;
                let mut deaths = 0;
                for kind in [
                    Killed::BeforeWrite as fn(u64) -> Killed,
                    Killed::AfterWrite,
                    Killed::BeforeMessage,
                    Killed::AfterMessage,
                ] {
                    // The change is over after some sixty messages of a router.
                    for step in (0..10).chain((10..60).step_by(5)) {
                        let (steps, overlap) = change(victim, kind(step));
                        worst = worst.max(overlap);
                        deaths += u64::from(steps > step);
                        if steps <= step {
                            break;
                        }
                    }
                }
                (victim, deaths, worst)
            })
        })
        .collect();
    for run in runs {
        let (victim, deaths, worst) = run.join().expect("a run");
        println!("r{victim}: {deaths} deaths, two epochs for {} ms at most", worst.as_millis());
        assert!(deaths >= 20, "r{victim} died {deaths} times");
        assert!(worst <= OVERLAP, "r{victim}: two epochs for {worst:?}");
    }
}
