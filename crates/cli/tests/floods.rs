//! Floods beside usual clients. In a test binary of its own, because a flood uses the whole machine.

mod platform;
use platform::cluster::{Cluster, ClusterPlan};
use platform::ms;
use slipreel_invariants::terms::Terms;
use slipreel_test_servers::platform::Ending;
use std::thread::sleep;

/// Some connections pipeline hundreds of requests and read all answers, beside the usual clients, which must
/// be served as well as without them.
#[test]
fn a_flood_on_some_connections_leaves_the_others_served() {
    let plan = ClusterPlan { routers: 1, every: ms(25), requests: 320, ..ClusterPlan::default() };
    let share_served = |floods: usize| {
        let cluster = Cluster::start(&plan);
        sleep(ms(1_500));
        let flooding = cluster.flood(0, floods, ms(5_000));
        sleep(ms(8_500));
        let answered: usize = flooding.into_iter().map(|thread| thread.join().expect("a flood")).sum();
        let (facts, endings) = cluster.end();
        // Events and deadlines are checked against the unrelaxed terms: nothing else runs on the machine.
        let terms = Terms { wire: ms(60), ..Terms::default() };
        assert_eq!(facts.judge(&terms), [], "{floods} floods");
        assert!(!endings.contains_key(&Ending::Lost), "{endings:?}");
        let total: u32 = endings.values().sum();
        (f64::from(endings[&Ending::Served]) / f64::from(total), answered)
    };
    let (quiet, _) = share_served(0);
    let (flooded, answered) = share_served(8);
    println!("{quiet:.3} served without, {flooded:.3} beside {answered} answers to floods");
    assert!(answered > 2_000, "too few requests for a flood: {answered}");
    assert!(flooded > quiet - 0.05, "{quiet} {flooded}");
}
