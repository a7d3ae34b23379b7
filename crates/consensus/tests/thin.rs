//! Basic behaviour of a fleet: a change comes into force on all routers, a change that one router rejects is
//! dropped, and decisions survive restarts.

mod common;

use common::{ms, Fleet};
use slipreel_consensus::policy_state::Proposal;
use slipreel_consensus::wire::OperatorRequest;
use slipreel_consensus::ProposalStatus;

fn propose(fleet: &Fleet, router: usize, id: &str, text: &str) {
    let proposal = Proposal {
        id: id.into(),
        text: text.into(),
        from: format!("r{router}"),
        submitted_unix_s: 0,
        base_epoch: 0,
        restores_epoch: None,
    };
    assert!(fleet.handles[router].submit(OperatorRequest::Propose(proposal)));
}

fn started_fleet(n: usize, founders: usize) -> Fleet {
    let mut fleet = Fleet::new(n, founders, 7);
    (0..n).for_each(|r| fleet.start(r, "one"));
    fleet.run(ms(3_000));
    assert_eq!(fleet.epochs(), vec![1; n], "{:?}", fleet.handles[0]);
    fleet
}

#[test]
fn fleets_of_one_to_twelve_routers_bootstrap_and_change_their_policy() {
    for (n, founders) in [(1, 1), (2, 2), (3, 3), (5, 2), (12, 3)] {
        let mut fleet = started_fleet(n, founders);
        // Voters join meanwhile, and the leader of each new configuration waits for the leases that its
        // predecessor granted.
        fleet.run(ms(3_000));
        propose(&fleet, n - 1, "x", "two");
        fleet.run(ms(5_000));
        assert_eq!(fleet.epochs(), vec![2; n], "{n} routers: {:?}", fleet.handles[0]);
        assert_eq!(fleet.handles[n - 1].status().proposal_status("x"), ProposalStatus::InForce(2));
        fleet.run(ms(30_000));
        assert_eq!(fleet.epochs(), vec![2; n]);
        let voters = fleet.handles[0].status().voters.len();
        assert_eq!(voters, n.min(9), "up to nine routers vote");
    }
}

#[test]
fn change_that_one_router_rejects_is_dropped_on_all() {
    let mut fleet = started_fleet(3, 3);
    fleet.run(ms(3_000));
    propose(&fleet, 0, "x", "bad for r2");
    fleet.run(ms(1_000));
    assert_eq!(fleet.epochs(), [1, 1, 1]);
    for handle in &fleet.handles {
        let ProposalStatus::Dropped(outcome) = handle.status().proposal_status("x") else {
            panic!("{handle:?}")
        };
        assert_eq!((outcome.rejections.len(), outcome.rejections[0].router.as_str()), (1, "r2"));
    }
}

#[test]
fn decided_policy_survives_a_restart_of_all_routers_with_other_files() {
    let mut fleet = started_fleet(3, 3);
    fleet.run(ms(3_000));
    propose(&fleet, 1, "x", "two");
    fleet.run(ms(1_000));
    assert_eq!(fleet.epochs(), [2, 2, 2]);
    (0..3).for_each(|r| fleet.kill(r));
    fleet.run(ms(500));
    (0..3).for_each(|r| fleet.start(r, "another"));
    assert_eq!(fleet.epochs(), [0, 0, 0], "no router has a lease yet");
    fleet.run(ms(4_000));
    assert_eq!(fleet.epochs(), [2, 2, 2]);
    assert_eq!(fleet.handles[2].status().text, "two");
}

#[test]
fn leader_crash_interrupts_no_router_and_the_next_leader_decides_a_change() {
    let mut fleet = started_fleet(5, 5);
    fleet.run(ms(5_000));
    let leader = fleet.leader().expect("a leader");
    fleet.kill(leader);
    for _ in 0..60 {
        fleet.run(ms(50));
        let epochs = fleet.epochs();
        let unaffected = (0..5).filter(|r| *r != leader).all(|r| epochs[r] == 1);
        assert!(unaffected, "{epochs:?}");
    }
    let other = (0..5).find(|r| *r != leader).expect("four routers are left");
    propose(&fleet, other, "x", "two");
    fleet.run(ms(5_000));
    let epochs = fleet.epochs();
    assert!((0..5).filter(|r| *r != leader).all(|r| epochs[r] == 2), "{epochs:?}");
    fleet.start(leader, "one");
    fleet.run(ms(1_000));
    assert_eq!(fleet.epochs(), [2; 5]);
}

#[test]
fn change_that_waits_for_a_lease_does_not_keep_the_leader_busy() {
    let mut fleet = started_fleet(3, 3);
    fleet.run(ms(5_000));
    let leader = fleet.leader().expect("a leader");
    let crashed = (leader + 1) % 3;
    fleet.kill(crashed);
    propose(&fleet, leader, "x", "two");
    let before = fleet.world.inputs_handled();
    fleet.run(ms(2_000));
    // The decision waits for the lease of the crashed router. A timer in the past must not be due again after
    // each input, or the leader would be busy all the time.
    assert_eq!(
        fleet.handles[leader].status().proposal_status("x"),
        ProposalStatus::Pending(vec![format!("r{crashed}")])
    );
    let handled = fleet.world.inputs_handled() - before;
    assert!(handled < 6_000, "{handled} inputs in two seconds");
}

#[test]
fn change_does_not_wait_for_a_router_that_was_stopped() {
    let mut fleet = started_fleet(3, 3);
    fleet.run(ms(5_000));
    let leader = fleet.leader().expect("a leader");
    let other = (leader + 1) % 3;
    fleet.world.stop(other);
    fleet.run(ms(20));
    assert_eq!(fleet.epochs()[other], 0, "it accepts no requests any more");
    propose(&fleet, leader, "x", "two");
    fleet.run(ms(200));
    assert_eq!(fleet.handles[leader].status().proposal_status("x"), ProposalStatus::InForce(2));
}

#[test]
fn new_connection_replaces_the_oldest_when_there_are_too_many() {
    use slipreel_state_machine::{ConnId, Input, ListenerId, Machine, Output};
    let mut fleet = Fleet::new(1, 1, 7);
    let (now, mut out) = (fleet.world.now(), Vec::new());
    let mut consensus = fleet.build(0, "one");
    for n in 0..200 {
        consensus.handle(now + ms(n), Input::Accepted(ConnId(1_000 + n), ListenerId(0)), &mut out);
    }
    let aborted = out.iter().filter(|o| matches!(o, Output::Abort(_))).count();
    assert_eq!(aborted, 136, "64 connections are kept");
    assert!(!out.contains(&Output::Abort(ConnId(1_199))), "the newest connection is kept");
}
