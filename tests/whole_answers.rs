//! Answers that are sent to the client only when they are complete.

mod common;

use common::*;
use slipreel::*;

/// Runs a request for a complete answer up to the first token of its decode.
fn host_with_started_answer(idempotency: Idempotency, seed: u64) -> Host {
    let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
    let mut host = Host::new(settings(idempotency), seed, engines);
    let timeout = Some(ms(20_000));
    assert_eq!(
        send_target(&host.submit(Request { complete_answer_timeout: timeout, ..request(1, 0) })),
        Some(1)
    );
    assert!(send_target(&host.end_attempt(1, 0, Outcome::Prefilled)).is_some());
    host.now += ms(50);
    host.handle(Event::FirstToken { request: RequestId(1), attempt: 1, latency: ms(50) });
    host
}

/// Ends an attempt with a broken connection.
fn reset_attempt(host: &mut Host, attempt: usize) -> Vec<Action> {
    let (request, latency) = (RequestId(1), ms(100));
    let (outcome, report) = (Outcome::Reset, LoadReport::default());
    host.handle(Event::AttemptEnded(AttemptEnded {
        request,
        attempt,
        outcome,
        latency,
        request_finished: false,
        cached_tokens: 0.0,
        report,
    }))
}

#[test]
fn a_complete_answer_that_breaks_off_is_retried_as_its_class_allows() {
    let scope = DeduplicationScope::All;
    let with_key = Idempotency::WithKey { scope, window: ms(30_000) };
    for (idempotency, retried) in
        [(Idempotency::Idempotent, true), (with_key, true), (Idempotency::NotIdempotent, false)]
    {
        let mut host = host_with_started_answer(idempotency, 3);
        let actions = reset_attempt(&mut host, 1);
        // The decode engine has fetched the state, so that the prompt is prefilled again.
        assert_eq!(send_target(&actions), retried.then_some(1), "{idempotency:?}: {actions:?}");
        assert_eq!(is_failed(&actions), !retried, "{idempotency:?}: {actions:?}");
    }
}

#[test]
fn a_complete_answer_is_retried_until_its_client_times_out() {
    for (after, retried) in [(10_000, true), (25_000, false)] {
        let mut host = host_with_started_answer(Idempotency::Idempotent, 3);
        host.now += ms(after);
        let actions = reset_attempt(&mut host, 1);
        assert_eq!(
            (send_target(&actions).is_some(), is_rejected(&actions)),
            (retried, !retried),
            "{after}: {actions:?}"
        );
    }
}

#[test]
fn a_complete_answer_that_is_being_decoded_is_neither_failed_nor_cancelled() {
    let engines = vec![engine(1, 0, 0), engine(2, 1, 0)];
    let mut host = Host::new(settings(Idempotency::Idempotent), 3, engines);
    let mut pending =
        timers(&host.submit(Request { complete_answer_timeout: Some(ms(20_000)), ..request(1, 0) }));
    pending.extend(timers(&host.end_attempt(1, 0, Outcome::Prefilled)));
    host.now += ms(50);
    host.handle(Event::FirstToken { request: RequestId(1), attempt: 1, latency: ms(50) });
    host.now += ms(30_000);
    while let Some((timer, _)) = pending.pop() {
        let actions = host.handle(Event::TimerFired(timer));
        assert!(
            !is_failed(&actions) && !actions.iter().any(|a| matches!(a, Action::Cancel { .. })),
            "{actions:?}"
        );
        pending.extend(timers(&actions));
    }
}
