//! Held state with processes of `slipreel node`: engines release it in time while decode engines do not run.

mod platform;
use platform::cluster::{Cluster, ClusterPlan};
use platform::ms;
use slipreel_test_servers::platform::{Ending, Faults};
use std::thread::sleep;
use std::time::Duration;

/// How long state may be held without an attempt at a running engine: `let_go_by` of the configuration, 50 ms
/// that the protocol adds to each limit and 300 ms that it adds to this one.
const MAX_HELD: Duration = Duration::from_millis(850);

/// Guards against state that stays held while a decode attempt, written completely, lies unread at an engine
/// whose process does not run: it was held until the attempt was cancelled, after 0.9 s or at the deadline.
#[test]
fn state_is_released_in_time_while_decode_engines_do_not_read() {
    for (seed, frozen) in [(1, &["e4", "e5"][..]), (2, &["e4", "e5", "e6", "e7", "e8"])] {
        let cluster = Cluster::start(&ClusterPlan {
            routers: 2,
            prefill_engines: 3,
            decode_engines: 5,
            faults: Faults::default(),
            requests: 220,
            every: ms(25),
            seed,
            ..ClusterPlan::default()
        });
        sleep(ms(1_000));
        frozen.iter().for_each(|engine| cluster.freeze(engine, true));
        let mut held_too_long = cluster.states_held_too_long(ms(4_000), MAX_HELD);
        frozen.iter().for_each(|engine| cluster.freeze(engine, false));
        held_too_long.extend(cluster.states_held_too_long(ms(3_000), MAX_HELD));
        let decoded_twice = cluster.decoded_twice_of("once");
        let (_, endings) = cluster.end();
        println!(
            "seed {seed}, {} of 5 frozen: {} held too long, {endings:?}",
            frozen.len(),
            held_too_long.len()
        );
        assert_eq!(decoded_twice, [""; 0], "seed {seed}");
        assert!(!endings.contains_key(&Ending::Mixed), "seed {seed}: {endings:?}");
        let unserved = endings.contains_key(&Ending::Refused) || endings.contains_key(&Ending::Failed);
        assert!(unserved, "seed {seed}: the frozen engines took no attempt: {endings:?}");
        assert!(held_too_long.is_empty(), "seed {seed}: {} requests: {held_too_long:?}", held_too_long.len());
    }
}
