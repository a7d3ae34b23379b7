//! The acceptance's terms with many processes of `slipreel node`: one judge over what engines, clients and
//! discovery saw.

mod platform;
use platform::cluster::{Cluster, ClusterPlan};
use platform::{cold_starts, ms, terms_of_processes, COLD};
use slipreel_invariants::terms::{Term, Terms};
use slipreel_test_servers::platform::{DiscoveryMode, Ending};
use std::thread::sleep;
use std::time::Instant;

/// Twenty processes, a drain while discovery is silent, clients that leave half of the time.
#[test]
fn twenty_processes_obey_the_list_and_leave_off_for_who_has_gone() {
    let cluster = Cluster::start(&ClusterPlan {
        routers: 20,
        every: ms(60),
        requests: 300,
        leaving: 0.5,
        ..ClusterPlan::default()
    });
    sleep(ms(2_500));
    cluster.set_discovery(DiscoveryMode::Silent);
    sleep(ms(1_000));
    cluster.set_status("e4", "Terminating");
    sleep(ms(2_000));
    cluster.set_discovery(DiscoveryMode::ResetsConnections);
    sleep(ms(1_500));
    cluster.set_discovery(DiscoveryMode::Healthy);
    sleep(ms(9_500));
    let (facts, endings) = cluster.end();
    // Twenty processes share the machine with all that they speak with: its delays are not the router's.
    let terms = terms_of_processes();
    assert_eq!(facts.judge(&terms), []);
    assert!(facts.begun("e4") > 100, "it had work before");
    assert!(endings[&Ending::Served] > 1_500 && endings[&Ending::Left] > 500, "{endings:?}");
    assert!(!endings.contains_key(&Ending::Mixed), "{endings:?}");
}

/// Thirty processes; seven in ten are killed in one moment while discovery is down, then a tenth at a time is
/// told to end; clients connect again at once. Nine in ten of those started are ready in 10 s, and all in the
/// time that a start takes.
#[test]
fn thirty_processes_are_ready_again_in_time_after_kills_and_stops_in_an_outage() {
    let mut cluster =
        Cluster::start(&ClusterPlan { routers: 30, every: ms(80), requests: 260, ..ClusterPlan::default() });
    sleep(ms(1_500));
    cluster.set_discovery(DiscoveryMode::Silent);
    let killed = Instant::now();
    for n in 0..21 {
        cluster.kill(n);
    }
    for n in 0..21 {
        cluster.restart(n);
    }
    sleep(ms(3_000));
    cluster.set_discovery(DiscoveryMode::Healthy);
    sleep(ms(1_000));
    for tenth in 0..3 {
        for n in 21 + tenth * 3..24 + tenth * 3 {
            cluster.stop(n);
        }
        sleep(ms(700));
        for n in 21 + tenth * 3..24 + tenth * 3 {
            cluster.restart(n);
        }
    }
    sleep(ms(4_000));
    assert!(killed.elapsed() < ms(60_000));
    let (facts, endings) = cluster.end();
    assert_eq!(facts.judge(&terms_of_processes()), []);
    let times = facts.times_to_ready();
    assert_eq!(times.len(), 60, "each start is ready: thirty at first, thirty again");
    println!("from start to ready: {:?} to {:?}, middle {:?}", times[0], times[59], times[30]);
    assert!(times[53] < ms(3_000), "nine in ten: {:?}", times[53]);
    assert!(endings[&Ending::Served] > 3_000, "{endings:?}");
}

/// A program that never becomes ready is caught.
#[test]
fn the_judge_catches_starts_that_are_not_ready_in_time() {
    let mut cluster = Cluster::start(&ClusterPlan { routers: 3, requests: 0, ..ClusterPlan::default() });
    sleep(ms(200));
    cluster.kill(0);
    cluster.restart_without_list(0);
    sleep(ms(11_000));
    let (facts, _) = cluster.end();
    let broken: Vec<Term> = facts.judge(&Terms::default()).into_iter().map(|b| b.term).collect();
    assert_eq!(broken, [Term::Ready]);
}

/// Idle clients fill all descriptors while discovery is down: watch, engines and who comes with a request
/// have theirs all the same, the list is here in time once it is back, and nothing turns round and round
/// meanwhile.
#[test]
fn idle_clients_that_take_all_descriptors_keep_out_neither_requests_nor_the_list() {
    let plan = ClusterPlan { descriptors: Some(64), every: ms(40), requests: 330, ..ClusterPlan::default() };
    let cluster = Cluster::start(&plan);
    sleep(ms(2_000));
    cluster.set_discovery(DiscoveryMode::ResetsConnections);
    let before: Vec<_> = (0..3).map(|n| cluster.cpu(n)).collect();
    let mut idle = Vec::new();
    for _ in 0..4 {
        for n in 0..3 {
            idle.push(cluster.stand_idle(n, 60));
        }
        sleep(ms(600));
    }
    cluster.set_status("e4", "Terminating");
    sleep(ms(500));
    let used: Vec<_> = (0..3).map(|n| cluster.cpu(n) - before[n]).collect();
    cluster.set_discovery(DiscoveryMode::Healthy);
    sleep(ms(8_500));
    let (facts, endings) = cluster.end();
    assert_eq!(facts.judge(&terms_of_processes()), []);
    let total: u32 = endings.values().sum();
    let served = endings[&Ending::Served];
    println!("{served} of {total} served; CPU in three seconds without descriptors {used:?}");
    assert!(f64::from(served) > 0.9 * f64::from(total), "{endings:?}");
    assert!(used.iter().all(|&cpu| cpu < ms(1_500)), "{used:?}");
}

#[test]
fn twenty_and_thirty_processes_push_no_started_engine_over_its_budget() {
    for (routers, seed) in [(20, 1), (30, 2)] {
        assert_eq!(cold_starts(routers, COLD, false, seed), [], "{routers} routers");
    }
}

#[test]
fn the_judge_catches_processes_that_take_no_engine_for_cold() {
    let broken = cold_starts(20, "{}", false, 3);
    assert!(!broken.is_empty() && broken.iter().all(|b| b.term == Term::Cold), "{broken:?}");
}
