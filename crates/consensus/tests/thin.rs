//! The thin path: a change goes through, one that somebody can't take does not, and what was decided outlives every process.

mod common;

use common::{ms, Routers};
use slipreel_consensus::policy_state::Proposal;
use slipreel_consensus::wire::OperatorRequest;
use slipreel_consensus::ProposalStatus;

fn propose(routers: &Routers, at: usize, id: &str, text: &str) {
    let p = Proposal {
        id: id.into(),
        text: text.into(),
        from: format!("r{at}"),
        submitted_unix_s: 0,
        base_epoch: 0,
        restores_epoch: None,
    };
    assert!(routers.boards[at].submit(OperatorRequest::Propose(p)));
}

fn up(n: usize, founders: usize) -> Routers {
    let mut routers = Routers::new(n, founders, 7);
    (0..n).for_each(|r| routers.start(r, "one"));
    routers.run(ms(3_000));
    assert_eq!(routers.epochs(), vec![1; n], "{:?}", routers.boards[0]);
    routers
}

#[test]
fn one_two_three_and_twelve_routers_found_and_change() {
    for (n, founders) in [(1, 1), (2, 2), (3, 3), (5, 2), (12, 3)] {
        let mut routers = up(n, founders);
        // Voters join meanwhile, and each new configuration's leader waits for leases of the last one's.
        routers.run(ms(3_000));
        propose(&routers, n - 1, "x", "two");
        routers.run(ms(5_000));
        assert_eq!(routers.epochs(), vec![2; n], "{n} routers: {:?}", routers.boards[0]);
        assert_eq!(routers.boards[n - 1].status().proposal_status("x"), ProposalStatus::InForce(2));
        routers.run(ms(30_000));
        assert_eq!(routers.epochs(), vec![2; n]);
        let voters = routers.boards[0].status().voters.len();
        assert_eq!(voters, n.min(9), "up to nine vote");
    }
}

#[test]
fn one_no_drops_a_change_on_all() {
    let mut routers = up(3, 3);
    routers.run(ms(3_000));
    propose(&routers, 0, "x", "bad for r2");
    routers.run(ms(1_000));
    assert_eq!(routers.epochs(), [1, 1, 1]);
    for handle in &routers.boards {
        let ProposalStatus::Dropped(outcome) = handle.status().proposal_status("x") else {
            panic!("{handle:?}")
        };
        assert_eq!((outcome.rejections.len(), outcome.rejections[0].router.as_str()), (1, "r2"));
    }
}

#[test]
fn what_was_decided_outlives_every_process_and_files_say_nothing_against_it() {
    let mut routers = up(3, 3);
    routers.run(ms(3_000));
    propose(&routers, 1, "x", "two");
    routers.run(ms(1_000));
    assert_eq!(routers.epochs(), [2, 2, 2]);
    (0..3).for_each(|r| routers.kill(r));
    routers.run(ms(500));
    (0..3).for_each(|r| routers.start(r, "another"));
    assert_eq!(routers.epochs(), [0, 0, 0], "nobody knows yet");
    routers.run(ms(4_000));
    assert_eq!(routers.epochs(), [2, 2, 2]);
    assert_eq!(routers.boards[2].status().text, "two");
}

#[test]
fn the_leaders_death_stops_nobody_and_a_change_follows() {
    let mut routers = up(5, 5);
    routers.run(ms(5_000));
    let leader = routers.leader().expect("one leads");
    routers.kill(leader);
    for _ in 0..60 {
        routers.run(ms(50));
        let epochs = routers.epochs();
        let well = (0..5).filter(|r| *r != leader).all(|r| epochs[r] == 1);
        assert!(well, "{epochs:?}");
    }
    let other = (0..5).find(|r| *r != leader).expect("four are left");
    propose(&routers, other, "x", "two");
    routers.run(ms(5_000));
    let epochs = routers.epochs();
    assert!((0..5).filter(|r| *r != leader).all(|r| epochs[r] == 2), "{epochs:?}");
    routers.start(leader, "one");
    routers.run(ms(1_000));
    assert_eq!(routers.epochs(), [2; 5]);
}

#[test]
fn a_change_that_waits_for_a_lease_does_not_keep_the_leader_busy() {
    let mut routers = up(3, 3);
    routers.run(ms(5_000));
    let leader = routers.leader().expect("one leads");
    let dead = (leader + 1) % 3;
    routers.kill(dead);
    propose(&routers, leader, "x", "two");
    let before = routers.world.handled();
    routers.run(ms(2_000));
    // Its end waits for the dead one's lease. What is due by time alone is due once, not at every moment after.
    assert_eq!(
        routers.boards[leader].status().proposal_status("x"),
        ProposalStatus::Pending(vec![format!("r{dead}")])
    );
    let handled = routers.world.handled() - before;
    assert!(handled < 6_000, "{handled} inputs in two seconds");
}

#[test]
fn a_change_does_not_wait_for_one_that_was_told_to_stop() {
    let mut routers = up(3, 3);
    routers.run(ms(5_000));
    let leader = routers.leader().expect("one leads");
    let other = (leader + 1) % 3;
    routers.world.stop(other);
    routers.run(ms(20));
    assert_eq!(routers.epochs()[other], 0, "it takes nothing any more");
    propose(&routers, leader, "x", "two");
    routers.run(ms(200));
    assert_eq!(routers.boards[leader].status().proposal_status("x"), ProposalStatus::InForce(2));
}

#[test]
fn connections_that_never_end_keep_nobody_out() {
    use slipreel_state_machine::{ConnId, Input, ListenerId, Machine, Output};
    let mut routers = Routers::new(1, 1, 7);
    let (now, mut out) = (routers.world.now(), Vec::new());
    let mut consensus = routers.build(0, "one");
    for n in 0..200 {
        consensus.handle(now + ms(n), Input::Accepted(ConnId(1_000 + n), ListenerId(0)), &mut out);
    }
    let dropped = out.iter().filter(|o| matches!(o, Output::Abort(_))).count();
    assert_eq!(dropped, 136, "64 are kept");
    assert!(!out.contains(&Output::Abort(ConnId(1_199))), "the new one is taken");
}
