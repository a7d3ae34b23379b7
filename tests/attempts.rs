//! Attempts: patience, and what their ends mean for retries.

mod common;

use common::*;
use slipreel::*;

/// The engine goes on answering probes: with answers lost on the way, only the attempt itself is late.
#[test]
fn a_silent_prefill_is_retried_though_its_engine_answers_probes() {
    let engines = vec![engine(1, 0, 0), engine(2, 0, 0), engine(3, 1, 0)];
    let mut host = Host::new(settings(Idempotency::NotIdempotent), 1, engines);
    let out = host.ask(request(1, 0));
    let silent = sent_to(&out).unwrap();
    let (start, lost) = (host.now, Action::Cancel { request: RequestId(1), attempt: 0 });
    wait_for(&mut host, out, |out| out.contains(&lost));
    assert!(host.now - start < ms(2500), "{:?}", host.now - start);
    assert_eq!(sent_to(&host.end(1, 0, Outcome::Cancelled)), Some(3 - silent));
}

#[test]
fn a_silent_decode_is_retried_only_if_it_is_idempotent() {
    for effect in [Idempotency::Idempotent, Idempotency::NotIdempotent] {
        let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
        let mut host = Host::new(settings(effect), 1, engines);
        let mut out = host.ask(request(1, 0));
        out.extend(host.end(1, 0, Outcome::Prefilled));
        let cancels = |out: &[Action]| out.iter().any(|a| matches!(a, Action::Cancel { attempt: 1, .. }));
        let out = wait_for(&mut host, out, |out| cancels(out) || failed(out));
        assert_eq!(failed(&out), effect == Idempotency::NotIdempotent, "{out:?}");
    }
}

#[test]
fn a_lost_decode_with_two_attempts_left_is_prefilled_again_where_the_prompt_is_cached() {
    let mut host = Host::new(
        settings(Idempotency::Idempotent),
        1,
        vec![engine(1, 0, 0), engine(2, 0, 0), engine(3, 1, 0)],
    );
    let reader = sent_to(&host.ask(request(1, 0)));
    assert_eq!(sent_to(&host.end(1, 0, Outcome::Prefilled)), Some(3));
    host.now += ms(10);
    assert_eq!(sent_to(&host.end(1, 1, Outcome::Reset)), reader);
}

/// Found on thess-journey-later: half of the engines turned one class away though they had room.
#[test]
fn an_engine_that_rejects_one_class_is_passed_over_by_that_class_only() {
    let engines = vec![engine(1, 0, 0), engine(2, 0, 0), engine(3, 1, 0)];
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, engines);
    [1, 2].into_iter().for_each(|id| host.report(id, 100.0));
    let full = sent_to(&host.ask(request(1, 0))).unwrap();
    host.end(1, 0, Outcome::Rejected { state_missing: false });
    let reads = |host: &mut Host, class, ids: std::ops::Range<u64>| {
        let mut sent = Vec::new();
        for id in ids {
            host.now += ms(200);
            sent.extend(sent_to(&host.ask(Request { session: id, ..request(id, class) })));
            host.end(id, 0, Outcome::TimedOut);
            host.tell(Event::ClientDisconnected(RequestId(id)));
        }
        sent
    };
    assert!(!reads(&mut host, 0, 10..40).contains(&full));
    assert!(reads(&mut host, 1, 40..70).contains(&full));
}

/// Of two writers one answers garbage. The other, which only found the state gone, is asked again once it is read anew.
#[test]
fn a_decode_engine_that_found_no_state_is_not_passed_over() {
    for seed in 0..20 {
        let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
        let limits = Limits { max_attempts: 6, ..settings(Idempotency::Idempotent).limits };
        let mut host = Host::new(Settings { limits, ..settings(Idempotency::Idempotent) }, seed, engines);
        assert_eq!(sent_to(&host.ask(request(1, 0))), Some(1));
        let first = sent_to(&host.end(1, 0, Outcome::Prefilled)).expect("a writer");
        let second = sent_to(&host.end(1, 1, Outcome::Error)).expect("the other writer");
        assert_ne!(first, second);
        assert_eq!(
            sent_to(&host.end(1, 2, Outcome::Rejected { state_missing: true })),
            Some(1),
            "it is read again"
        );
        assert_eq!(sent_to(&host.end(1, 3, Outcome::Prefilled)), Some(second), "seed {seed}");
    }
}

/// A reader of half its role's speed and a queue: its reads were cancelled just before they ended, at twice the cost.
#[test]
fn a_slow_engine_has_its_own_patience() {
    let mut host = Host::new(
        settings(Idempotency::Idempotent),
        3,
        vec![engine(1, 0, 0), engine(2, 0, 0), engine(9, 1, 0)],
    );
    let draining = |id: u64, drains: bool| Engine {
        state: if drains { EngineState::Draining } else { EngineState::Ready },
        ..engine(id, 0, 0)
    };
    let mut next = 0;
    let mut read = |host: &mut Host, times: u64, latency: std::time::Duration| {
        let mut last = Vec::new();
        for _ in 0..times {
            next += 1;
            host.now += ms(10);
            last = host.ask(request(next, 0));
            let (request, report) = (RequestId(next), LoadReport::default());
            let ended = AttemptEnded {
                request,
                attempt: 0,
                outcome: Outcome::Prefilled,
                latency,
                request_finished: false,
                cached_tokens: 0.0,
                report,
            };
            host.tell(Event::AttemptEnded(ended));
            host.end(next, 1, Outcome::Completed);
        }
        last
    };
    host.list(Listing::Changes, vec![draining(1, true)]);
    read(&mut host, 5, ms(3_000));
    host.list(Listing::Changes, vec![draining(1, false), draining(2, true)]);
    let fast = read(&mut host, 150, ms(50));
    host.list(Listing::Changes, vec![draining(1, true), draining(2, false)]);
    let slow = read(&mut host, 1, ms(3_000));
    let patience = |out: &[Action]| timers(out).into_iter().map(|(_, after)| after).min();
    assert_eq!((sent_to(&fast), sent_to(&slow)), (Some(1), Some(2)));
    assert_eq!(patience(&fast), Some(ms(900)));
    assert!(patience(&slow) >= Some(ms(3_000)), "{:?}", patience(&slow));
}
