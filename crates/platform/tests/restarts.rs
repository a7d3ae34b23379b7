//! Planned restarts: a stop signal, clients that keep using their connections, and the kill at the earliest
//! time that the protocol allows.

mod common;
use common::*;
use slipreel_state_machine::Input;
use std::time::Duration;

/// A harness whose clients resume broken streams if `resumes`, and wait at most `deadline` for a first event.
fn stopping_harness(resumes: bool, deadline: Duration) -> Harness {
    let mut harness = Harness::with(&config_for_restart(resumes, deadline));
    // A stream in progress keeps the router running.
    harness.streaming("chat");
    harness.handle(Input::Stop);
    harness
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
