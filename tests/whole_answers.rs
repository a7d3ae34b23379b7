//! Answers of which nothing goes out before they are whole.

mod common;

use common::*;
use slipreel::*;

/// A request whose answer goes out whole, up to the first token of its write.
fn up_to_a_whole_answer(effect: Idempotency, seed: u64) -> Host {
    let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
    let mut host = Host::new(settings(effect), seed, engines);
    let whole = Some(ms(20_000));
    assert_eq!(sent_to(&host.ask(Request { complete_answer_timeout: whole, ..request(1, 0) })), Some(1));
    assert!(sent_to(&host.end(1, 0, Outcome::Prefilled)).is_some());
    host.now += ms(50);
    host.tell(Event::FirstToken { request: RequestId(1), attempt: 1, latency: ms(50) });
    host
}

fn breaks(host: &mut Host, attempt: usize) -> Vec<Action> {
    let (request, latency) = (RequestId(1), ms(100));
    let (outcome, report) = (Outcome::Reset, LoadReport::default());
    host.tell(Event::AttemptEnded(AttemptEnded {
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
fn a_whole_answer_that_breaks_is_tried_again_as_its_class_allows() {
    let group = DeduplicationScope::All;
    let keyed = Idempotency::WithKey { scope: group, window: ms(30_000) };
    for (effect, again) in
        [(Idempotency::Idempotent, true), (keyed, true), (Idempotency::NotIdempotent, false)]
    {
        let mut host = up_to_a_whole_answer(effect, 3);
        let out = breaks(&mut host, 1);
        // The state went with the writer: the prompt is read again.
        assert_eq!(sent_to(&out), again.then_some(1), "{effect:?}: {out:?}");
        assert_eq!(failed(&out), !again, "{effect:?}: {out:?}");
    }
}

#[test]
fn a_whole_answer_has_the_time_that_its_client_gives_it() {
    for (after, again) in [(10_000, true), (25_000, false)] {
        let mut host = up_to_a_whole_answer(Idempotency::Idempotent, 3);
        host.now += ms(after);
        let out = breaks(&mut host, 1);
        assert_eq!((sent_to(&out).is_some(), refused(&out)), (again, !again), "{after}: {out:?}");
    }
}

#[test]
fn a_whole_answer_that_is_being_written_is_neither_cut_nor_cancelled() {
    let engines = vec![engine(1, 0, 0), engine(2, 1, 0)];
    let mut host = Host::new(settings(Idempotency::Idempotent), 3, engines);
    let mut set = timers(&host.ask(Request { complete_answer_timeout: Some(ms(20_000)), ..request(1, 0) }));
    set.extend(timers(&host.end(1, 0, Outcome::Prefilled)));
    host.now += ms(50);
    host.tell(Event::FirstToken { request: RequestId(1), attempt: 1, latency: ms(50) });
    host.now += ms(30_000);
    while let Some((timer, _)) = set.pop() {
        let out = host.tell(Event::TimerFired(timer));
        assert!(!failed(&out) && !out.iter().any(|a| matches!(a, Action::Cancel { .. })), "{out:?}");
        set.extend(timers(&out));
    }
}
