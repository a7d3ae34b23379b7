//! The acceptance criteria with many processes of `slipreel node`, checked over what engines, clients and
//! discovery observed.

mod platform;
use platform::cluster::{Cluster, ClusterPlan};
use platform::{cold_starts, ms, terms_of_processes, COLD_RULES};
use slipreel_invariants::terms::{Term, Terms};
use slipreel_test_servers::platform::{DiscoveryMode, Ending};
use std::thread::sleep;
use std::time::Instant;

/// Twenty processes; an engine drains while discovery is silent, and half of the clients leave early. Guards
/// against attempts at a draining engine and work that goes on for clients that have left.
#[test]
fn twenty_processes_follow_the_list_and_cancel_for_clients_that_left() {
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
    // Twenty processes share the machine with their engines and clients, whose delays are not the routers'
    // fault.
    let terms = terms_of_processes();
    assert_eq!(facts.judge(&terms), []);
    assert!(facts.attempts_at("e4") > 100, "no work before the drain");
    assert!(endings[&Ending::Served] > 1_500 && endings[&Ending::Left] > 500, "{endings:?}");
    assert!(!endings.contains_key(&Ending::Mixed), "{endings:?}");
}

/// Thirty processes; seven in ten are killed at the same time while discovery is down, then a tenth at a time
/// gets SIGTERM; clients reconnect at once. Nine in ten of the started processes must be ready in 10 s, and
/// all in the time limit of a start.
#[test]
fn thirty_processes_are_ready_in_time_after_kills_and_stops_in_a_discovery_outage() {
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
    assert_eq!(times.len(), 60, "each start becomes ready: thirty first starts, thirty restarts");
    println!("from start to ready: {:?} to {:?}, median {:?}", times[0], times[59], times[30]);
    assert!(times[53] < ms(3_000), "nine in ten: {:?}", times[53]);
    assert!(endings[&Ending::Served] > 3_000, "{endings:?}");
}

/// A process that never becomes ready is a violation.
#[test]
fn the_judge_catches_starts_that_are_not_ready_in_time() {
    let mut cluster = Cluster::start(&ClusterPlan { routers: 3, requests: 0, ..ClusterPlan::default() });
    sleep(ms(200));
    cluster.kill(0);
    cluster.restart_without_list(0);
    sleep(ms(11_000));
    let (facts, _) = cluster.end();
    let violated: Vec<Term> =
        facts.judge(&Terms::default()).into_iter().map(|violation| violation.term).collect();
    assert_eq!(violated, [Term::Ready]);
}

/// Idle clients take all descriptors while discovery is down. The watch, the engines and clients with
/// requests must still get theirs, the list must arrive in time after the outage, and no loop may spin
/// meanwhile.
#[test]
fn idle_clients_that_take_all_descriptors_block_neither_requests_nor_the_list() {
    let plan = ClusterPlan { descriptors: Some(64), every: ms(40), requests: 330, ..ClusterPlan::default() };
    let cluster = Cluster::start(&plan);
    sleep(ms(2_000));
    cluster.set_discovery(DiscoveryMode::ResetsConnections);
    let before: Vec<_> = (0..3).map(|n| cluster.cpu(n)).collect();
    let mut idle = Vec::new();
    for _ in 0..4 {
        for n in 0..3 {
            idle.push(cluster.open_idle_connections(n, 60));
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
fn twenty_and_thirty_processes_keep_cold_engines_within_budget() {
    for (routers, seed) in [(20, 1), (30, 2)] {
        assert_eq!(cold_starts(routers, COLD_RULES, false, seed), [], "{routers} routers");
    }
}

#[test]
fn the_judge_catches_processes_that_treat_no_engine_as_cold() {
    let violations = cold_starts(20, "{}", false, 3);
    assert!(!violations.is_empty() && violations.iter().all(|v| v.term == Term::Cold), "{violations:?}");
}
