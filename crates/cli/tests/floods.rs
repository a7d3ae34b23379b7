//! Floods beside usual clients. By itself, as a flood takes what the machine has.

mod platform;
use platform::cluster::{Cluster, ClusterPlan};
use platform::ms;
use slipreel_invariants::terms::Terms;
use slipreel_test_servers::platform::Ending;
use std::thread::sleep;

/// Requests sent ahead by the hundred on connections that are read to the end, beside the usual clients.
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
        // Events and deadlines are held to the terms themselves: the machine has nothing else to do.
        let terms = Terms { wire: ms(60), ..Terms::default() };
        assert_eq!(facts.judge(&terms), [], "{floods} floods");
        assert!(!endings.contains_key(&Ending::Lost), "{endings:?}");
        let total: u32 = endings.values().sum();
        (f64::from(endings[&Ending::Served]) / f64::from(total), answered)
    };
    let (quiet, _) = share_served(0);
    let (flooded, answered) = share_served(8);
    println!("{quiet:.3} served without, {flooded:.3} beside {answered} answers to floods");
    assert!(answered > 2_000, "the flood was one: {answered}");
    assert!(flooded > quiet - 0.05, "{quiet} {flooded}");
}
