//! Deadlines, and the release of state that engines hold for requests.

mod common;

use common::*;
use slipreel::*;

#[test]
fn the_deadline_gives_one_answer_and_later_events_give_none() {
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    let actions = host.submit(request(1, 0));
    let &(timer, after) = timers(&actions).iter().max_by_key(|(_, after)| *after).unwrap();
    assert!(after <= ms(4000) && after >= ms(3980));
    host.now += after;
    let actions = host.handle(Event::TimerFired(timer));
    assert!(is_failed(&actions) && is_released(&actions));
    assert!(actions.contains(&Action::Cancel { request: RequestId(1), attempt: 0 }));
    // The prefill completed nevertheless: its state is released, and nothing else happens.
    let actions = host.end_attempt(1, 0, Outcome::Prefilled);
    assert!(
        is_released(&actions)
            && !is_failed(&actions)
            && !is_rejected(&actions)
            && send_target(&actions).is_none()
    );
    assert_eq!(host.router.state_sizes().requests, 0);
}

#[test]
fn held_state_is_released_when_the_client_disconnects() {
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    host.submit(request(1, 0));
    assert!(is_released(&host.handle(Event::ClientDisconnected(RequestId(1)))));
    assert!(is_released(&host.end_attempt(1, 0, Outcome::Prefilled)));
}

/// Guards against state that stays held: a decode engine that is partitioned from the prefill engine reports
/// that there is no state, and with one attempt left the request merely waited.
#[test]
fn state_that_could_not_be_fetched_is_released() {
    for max_attempts in [3, 4] {
        let mut s = settings(Idempotency::Idempotent);
        s.limits.max_attempts = max_attempts;
        let mut host = Host::new(s, 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        host.submit(request(1, 0));
        host.end_attempt(1, 0, Outcome::Prefilled);
        let actions = host.end_attempt(1, 1, Outcome::Rejected { state_missing: true });
        assert!(is_released(&actions), "{actions:?}");
        assert_eq!(is_rejected(&actions), max_attempts == 3, "{actions:?}");
        assert_eq!(send_target(&actions).is_some(), max_attempts == 4, "{actions:?}");
    }
}

#[test]
fn held_state_without_a_decode_engine_is_released_within_its_limit() {
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0)]);
    host.submit(request(1, 0));
    let (mut actions, start) = (host.end_attempt(1, 0, Outcome::Prefilled), host.now);
    while !is_released(&actions) {
        let (timer, after) = timers(&actions)[0];
        host.now += after;
        actions = host.handle(Event::TimerFired(timer));
    }
    assert!(host.now - start <= ms(450), "{:?}", host.now - start);
    assert!(is_rejected(&actions));
}

/// Guards against restarting the limit on held state with each attempt: during a zone failure with two
/// network cuts, attempts at unreachable decode engines took 250 ms each, and three of them kept the state
/// for 0.85 s.
#[test]
fn held_state_whose_decode_engines_are_unreachable_is_released_within_its_limit() {
    for (limit_ms, attempt_ms) in [(500, 250), (500, 1), (1_000, 250), (300, 100)] {
        let mut s = settings(Idempotency::NotIdempotent);
        (s.limits.max_attempts, s.held_state_limit) = (6, ms(limit_ms));
        let engines = (1..9).map(|id| engine(id, usize::from(id > 2), 0)).collect();
        let mut host = Host::new(s, 1, engines);
        host.submit(request(1, 0));
        let (mut actions, held_since, mut decode_attempts) =
            (host.end_attempt(1, 0, Outcome::Prefilled), host.now, 0);
        while !is_released(&actions) {
            assert!(send_target(&actions).is_some_and(|engine| engine > 2), "{actions:?}");
            decode_attempts += 1;
            host.now += ms(attempt_ms);
            actions = host.end_attempt(1, decode_attempts, Outcome::ConnectFailed);
        }
        assert!(
            host.now - held_since <= ms(limit_ms),
            "limit {limit_ms}, each {attempt_ms}: {:?}",
            host.now - held_since
        );
        assert!(
            is_rejected(&actions) || send_target(&actions).is_some_and(|engine| engine <= 2),
            "prefilled again, or rejected: {actions:?}"
        );
        assert_eq!(
            decode_attempts > 1,
            attempt_ms == 1 || limit_ms == 1_000,
            "limit {limit_ms}, each {attempt_ms}"
        );
    }
}

/// Lets time pass and fires the timers that were set, until an action matches. Returns the time it took; `None`
/// if it took longer than `limit`.
fn time_until(
    host: &mut Host, mut pending: Vec<(TimerId, std::time::Duration)>, limit: std::time::Duration,
    matches: impl Fn(&[Action]) -> bool,
) -> Option<std::time::Duration> {
    let start = host.now;
    let mut due: Vec<(std::time::Duration, TimerId)> =
        pending.drain(..).map(|(timer, after)| (start + after, timer)).collect();
    while let Some(at) = (0..due.len()).min_by_key(|&at| due[at]) {
        let (time, timer) = due.swap_remove(at);
        if time > start + limit {
            return None;
        }
        host.now = time;
        let actions = host.handle(Event::TimerFired(timer));
        if matches(&actions) {
            return Some(host.now - start);
        }
        due.extend(timers(&actions).into_iter().map(|(timer, after)| (time + after, timer)));
    }
    None
}

/// Guards against state that stays held while a decode attempt has no answer: the attempt may never have
/// arrived at an engine that runs, and was awaited for its whole patience or up to the client's deadline.
#[test]
fn state_is_released_in_time_while_a_decode_attempt_is_unanswered() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NotIdempotent] {
        let mut host = Host::new(settings(idempotency), 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        let mut pending = timers(&host.submit(request(1, 0)));
        let actions = host.end_attempt(1, 0, Outcome::Prefilled);
        assert_eq!(send_target(&actions), Some(2));
        pending.extend(timers(&actions));
        let cancelled = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
        let released = |actions: &[Action]| is_released(actions) && !cancelled(actions);
        let time = time_until(&mut host, pending, ms(500), released);
        assert!(time.is_some(), "{idempotency:?}: no release within the limit of 500 ms");
        // The engine that runs but answers late is still awaited, and its answer ends the request.
        let actions = host.handle(Event::FirstToken { request: RequestId(1), attempt: 1, latency: ms(800) });
        assert!(!is_failed(&actions) && send_target(&actions).is_none(), "{actions:?}");
    }
}
