//! Planned restarts: a stop signal, clients that keep using their connections, and the kill at the earliest
//! time that the protocol allows.

mod common;
use common::restart::{Kill, Plan, Restart};
use common::*;
use slipreel_state_machine::Input;
use std::collections::BTreeMap;
use std::time::Duration;

/// The seeds of a run in CI; `RESTART_SEEDS` names another number of them.
const DEFAULT_SEEDS: u64 = 400;

/// A harness whose clients resume broken streams if `resumes`, and wait at most `deadline` for a first event.
fn stopping_harness(resumes: bool, deadline: Duration) -> Harness {
    let mut harness = Harness::with(&config_for_restart(resumes, deadline));
    // A stream in progress keeps the router running.
    harness.streaming("chat");
    harness.handle(Input::Stop);
    harness
}

/// Guards against taking a request whose stream the kill cuts off: a stream has no deadline, so one that is
/// taken late ends in time only if its client resumes it elsewhere. The protocol counts requests from 0.7 s
/// after the signal on, and lets a process be held up for 0.15 s.
#[test]
fn a_request_late_after_the_stop_signal_is_rejected_where_streams_run_to_their_end() {
    for millis in [551, 650, 700, 900, 1_200, 2_400, 3_200] {
        let mut harness = stopping_harness(false, ms(7_500));
        harness.advance(ms(millis - 200));
        let slow_client = harness.connect_client();
        let complete = request("chat", "late");
        let (first, rest) = complete.split_at(complete.len() - 1);
        harness.receive(slow_client, first);
        harness.advance(ms(200));
        let out = harness.receive(slow_client, rest);
        assert_eq!((status(&out, slow_client), forwarded_count(&out)), (Some(503), 0), "{millis} ms");
        assert!(is_closed_when_sent(&out, slow_client), "{millis} ms");
        assert!(opened(&harness.advance(ms(3_700 - millis))).is_empty(), "{millis} ms: no attempt follows");
    }
}

#[test]
fn a_request_late_after_the_stop_signal_is_served_where_clients_resume_streams() {
    for millis in [551, 900, 3_200] {
        let mut harness = stopping_harness(true, ms(7_500));
        harness.advance(ms(millis));
        let client = harness.connect_client();
        assert_eq!(opened(&harness.receive(client, request("chat", "late"))).len(), 1, "{millis} ms");
    }
}

/// Guards against a stream that the kill cuts off where the longest deadline is short: the kill comes before
/// streams were migrated.
#[test]
fn streams_are_migrated_before_an_early_kill() {
    for deadline in [ms(600), ms(1_000), ms(2_000), ms(7_500)] {
        let mut harness = stopping_harness(true, deadline);
        let kill = deadline.min(ms(3_000)) + ms(700);
        harness.advance(ms(710));
        let client = harness.connect_client();
        let prefill = opened(&harness.receive(client, request("chat", "late")))[0].0;
        harness.connected(prefill);
        let decode = opened(&harness.receive(prefill, PREFILLED))[0].0;
        harness.connected(decode);
        harness.receive(decode, [STREAM_HEAD, &chunk(&event("one"))].concat());
        let out = harness.advance(kill - ms(710));
        assert!(is_closed_when_sent(&out, client), "{deadline:?}: its client resumes it elsewhere");
        assert!(aborted(&out, decode), "{deadline:?}");
    }
}

/// Every request that arrives late after the stop signal has its final answer when the process is killed, over
/// random deployments, clients, engines, crowds and series of signals.
#[test]
fn no_request_that_arrives_late_after_the_stop_signal_is_cut_off_by_the_kill() {
    let seeds = std::env::var("RESTART_SEEDS").ok().and_then(|text| text.parse().ok());
    let (mut totals, mut lost_by_seed) = (BTreeMap::new(), BTreeMap::new());
    for seed in 1..=seeds.unwrap_or(DEFAULT_SEEDS) {
        let plan = Plan::drawn(seed);
        let Kill { lost, counts } = Restart::new(&plan).run_to_kill();
        if !lost.is_empty() {
            lost_by_seed.insert(seed, (plan, lost));
        }
        counts.into_iter().for_each(|(what, count)| *totals.entry(what).or_insert(0) += count);
    }
    let lost: usize = lost_by_seed.values().map(|(_, lost)| lost.len()).sum();
    println!("{lost} requests lost on {} seeds; {totals:?}", lost_by_seed.len());
    assert!(lost_by_seed.is_empty(), "{lost_by_seed:#?}");
    for what in ["arrived late", "rejected late", "served late", "migrated", "stopped twice", "crowded"] {
        assert!(totals.get(what).is_some_and(|&count| count > 0), "{what} never took effect: {totals:?}");
    }
}
