//! Deadlines, and the release of state that is held for requests.

mod common;

use common::*;
use slipreel::*;

#[test]
fn the_deadline_gives_one_answer_and_later_events_give_none() {
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    let out = host.ask(request(1, 0));
    let &(timer, after) = timers(&out).iter().max_by_key(|(_, after)| *after).unwrap();
    assert!(after <= ms(4000) && after >= ms(3980));
    host.now += after;
    let out = host.tell(Event::TimerFired(timer));
    assert!(failed(&out) && released(&out));
    assert!(out.contains(&Action::Cancel { request: RequestId(1), attempt: 0 }));
    // The read was done all the same: its state is let go, and nothing else happens.
    let out = host.end(1, 0, Outcome::Prefilled);
    assert!(released(&out) && !failed(&out) && !refused(&out) && sent_to(&out).is_none());
    assert_eq!(host.router.state_sizes().requests, 0);
}

#[test]
fn held_state_is_released_when_the_client_disconnects() {
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    host.ask(request(1, 0));
    assert!(released(&host.tell(Event::ClientDisconnected(RequestId(1)))));
    assert!(released(&host.end(1, 0, Outcome::Prefilled)));
}

/// Found on nairobi-highlights: a writer cut off from the reader says that there is no state, and
/// with one attempt left there was nothing to do but wait, while the state stayed pinned.
#[test]
fn state_that_could_not_be_fetched_is_released() {
    for attempts in [3, 4] {
        let mut s = settings(Idempotency::Idempotent);
        s.limits.max_attempts = attempts;
        let mut host = Host::new(s, 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        host.ask(request(1, 0));
        host.end(1, 0, Outcome::Prefilled);
        let out = host.end(1, 1, Outcome::Rejected { state_missing: true });
        assert!(released(&out), "{out:?}");
        assert_eq!(refused(&out), attempts == 3, "{out:?}");
        assert_eq!(sent_to(&out).is_some(), attempts == 4, "{out:?}");
    }
}

#[test]
fn held_state_without_a_decode_engine_is_released_within_its_limit() {
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0)]);
    host.ask(request(1, 0));
    let (mut out, start) = (host.end(1, 0, Outcome::Prefilled), host.now);
    while !released(&out) {
        let (timer, after) = timers(&out)[0];
        host.now += after;
        out = host.tell(Event::TimerFired(timer));
    }
    assert!(host.now - start <= ms(450), "{:?}", host.now - start);
    assert!(refused(&out));
}

/// Found on the standing test (a lost zone, two cuts): writers that could not be reached took 250 ms each, the time in
/// which the state is to be let go of began anew with each, and three of them kept it for 0.85 s.
#[test]
fn held_state_whose_decode_engines_are_unreachable_is_released_within_its_limit() {
    for (limit, takes) in [(500, 250), (500, 1), (1_000, 250), (300, 100)] {
        let mut s = settings(Idempotency::NotIdempotent);
        (s.limits.max_attempts, s.held_state_limit) = (6, ms(limit));
        let engines = (1..9).map(|id| engine(id, usize::from(id > 2), 0)).collect();
        let mut host = Host::new(s, 1, engines);
        host.ask(request(1, 0));
        let (mut out, held, mut writes) = (host.end(1, 0, Outcome::Prefilled), host.now, 0);
        while !released(&out) {
            assert!(sent_to(&out).is_some_and(|engine| engine > 2), "{out:?}");
            writes += 1;
            host.now += ms(takes);
            out = host.end(1, writes, Outcome::ConnectFailed);
        }
        assert!(host.now - held <= ms(limit), "limit {limit}, each {takes}: {:?}", host.now - held);
        assert!(
            refused(&out) || sent_to(&out).is_some_and(|engine| engine <= 2),
            "read again, or refused: {out:?}"
        );
        assert_eq!(writes > 1, takes == 1 || limit == 1_000, "limit {limit}, each {takes}");
    }
}
