//! Attempts: patience, and retries after their ends.

mod common;

use common::*;
use slipreel::*;

/// When answers are lost on the way, the engine still answers probes, and only the attempt itself stays
/// silent.
#[test]
fn a_silent_prefill_is_retried_though_its_engine_answers_probes() {
    let engines = vec![engine(1, 0, 0), engine(2, 0, 0), engine(3, 1, 0)];
    let mut host = Host::new(settings(Idempotency::NotIdempotent), 1, engines);
    let actions = host.submit(request(1, 0));
    let silent_engine = send_target(&actions).unwrap();
    let (start, cancel) = (host.now, Action::Cancel { request: RequestId(1), attempt: 0 });
    run_timers_until(&mut host, actions, |actions| actions.contains(&cancel));
    assert!(host.now - start < ms(2500), "{:?}", host.now - start);
    assert_eq!(send_target(&host.end_attempt(1, 0, Outcome::Cancelled)), Some(3 - silent_engine));
}

#[test]
fn a_silent_decode_is_retried_only_if_it_is_idempotent() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NotIdempotent] {
        let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
        let mut host = Host::new(settings(idempotency), 1, engines);
        let mut actions = host.submit(request(1, 0));
        actions.extend(host.end_attempt(1, 0, Outcome::Prefilled));
        let cancels =
            |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { attempt: 1, .. }));
        let actions = run_timers_until(&mut host, actions, |actions| cancels(actions) || is_failed(actions));
        assert_eq!(is_failed(&actions), idempotency == Idempotency::NotIdempotent, "{actions:?}");
    }
}

#[test]
fn a_lost_decode_with_two_attempts_left_is_prefilled_again_where_the_prompt_is_cached() {
    let mut host = Host::new(
        settings(Idempotency::Idempotent),
        1,
        vec![engine(1, 0, 0), engine(2, 0, 0), engine(3, 1, 0)],
    );
    let prefill_engine = send_target(&host.submit(request(1, 0)));
    assert_eq!(send_target(&host.end_attempt(1, 0, Outcome::Prefilled)), Some(3));
    host.now += ms(10);
    assert_eq!(send_target(&host.end_attempt(1, 1, Outcome::Reset)), prefill_engine);
}

/// Guards against a class being sent again and again to engines that throttle it: half of the engines
/// rejected one class although they had capacity left.
#[test]
fn an_engine_that_rejects_one_class_is_passed_over_by_that_class_only() {
    let engines = vec![engine(1, 0, 0), engine(2, 0, 0), engine(3, 1, 0)];
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, engines);
    [1, 2].into_iter().for_each(|id| host.report_load(id, 100.0));
    let rejecting = send_target(&host.submit(request(1, 0))).unwrap();
    host.end_attempt(1, 0, Outcome::Rejected { state_missing: false });
    let prefill_targets = |host: &mut Host, class, ids: std::ops::Range<u64>| {
        let mut targets = Vec::new();
        for id in ids {
            host.now += ms(200);
            targets.extend(send_target(&host.submit(Request { session: id, ..request(id, class) })));
            host.end_attempt(id, 0, Outcome::TimedOut);
            host.handle(Event::ClientDisconnected(RequestId(id)));
        }
        targets
    };
    assert!(!prefill_targets(&mut host, 0, 10..40).contains(&rejecting));
    assert!(prefill_targets(&mut host, 1, 40..70).contains(&rejecting));
}

/// One of two decode engines fails. The other, which only found that the state was gone, gets the request
/// again after another prefill.
#[test]
fn a_decode_engine_that_found_no_state_is_not_passed_over() {
    for seed in 0..20 {
        let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
        let limits = Limits { max_attempts: 6, ..settings(Idempotency::Idempotent).limits };
        let mut host = Host::new(Settings { limits, ..settings(Idempotency::Idempotent) }, seed, engines);
        assert_eq!(send_target(&host.submit(request(1, 0))), Some(1));
        let first = send_target(&host.end_attempt(1, 0, Outcome::Prefilled)).expect("a decode engine");
        let second = send_target(&host.end_attempt(1, 1, Outcome::Error)).expect("the other decode engine");
        assert_ne!(first, second);
        assert_eq!(
            send_target(&host.end_attempt(1, 2, Outcome::Rejected { state_missing: true })),
            Some(1),
            "it is prefilled again"
        );
        assert_eq!(send_target(&host.end_attempt(1, 3, Outcome::Prefilled)), Some(second), "seed {seed}");
    }
}

/// Guards against cancelling prefills just before they end: an engine with a queue and half the speed of its
/// role completed none in time, and each prompt was prefilled twice.
#[test]
fn a_slow_engine_has_a_longer_patience() {
    let mut host = Host::new(
        settings(Idempotency::Idempotent),
        3,
        vec![engine(1, 0, 0), engine(2, 0, 0), engine(9, 1, 0)],
    );
    let with_draining = |id: u64, is_draining: bool| Engine {
        state: if is_draining { EngineState::Draining } else { EngineState::Ready },
        ..engine(id, 0, 0)
    };
    let mut id = 0;
    let mut prefill = |host: &mut Host, times: u64, latency: std::time::Duration| {
        let mut actions = Vec::new();
        for _ in 0..times {
            id += 1;
            host.now += ms(10);
            actions = host.submit(request(id, 0));
            let (request, report) = (RequestId(id), LoadReport::default());
            let ended = AttemptEnded {
                request,
                attempt: 0,
                outcome: Outcome::Prefilled,
                latency,
                request_finished: false,
                cached_tokens: 0.0,
                report,
            };
            host.handle(Event::AttemptEnded(ended));
            host.end_attempt(id, 1, Outcome::Completed);
        }
        actions
    };
    host.update_endpoints(Listing::Changes, vec![with_draining(1, true)]);
    prefill(&mut host, 5, ms(3_000));
    host.update_endpoints(Listing::Changes, vec![with_draining(1, false), with_draining(2, true)]);
    let fast = prefill(&mut host, 150, ms(50));
    host.update_endpoints(Listing::Changes, vec![with_draining(1, true), with_draining(2, false)]);
    let slow = prefill(&mut host, 1, ms(3_000));
    let patience = |actions: &[Action]| timers(actions).into_iter().map(|(_, after)| after).min();
    assert_eq!((send_target(&fast), send_target(&slow)), (Some(1), Some(2)));
    assert_eq!(patience(&fast), Some(ms(900)));
    assert!(patience(&slow) >= Some(ms(3_000)), "{:?}", patience(&slow));
}
