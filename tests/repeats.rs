//! What the module may send again, and when it may tell a client that trying again is harmless.

mod common;
use common::*;
use slipreel::*;
use std::time::Duration;

fn keyed(group: DeduplicationScope, window: Duration) -> Idempotency {
    Idempotency::WithKey { scope: group, window }
}

fn host(effect: Idempotency, engines: Vec<Engine>) -> Host {
    let mut settings = settings(effect);
    settings.limits.max_attempts = 6;
    Host::new(settings, 1, engines)
}

/// A request that was read at engine 1 and whose write to engine 2 has broken.
fn after_a_broken_write(effect: Idempotency, engines: Vec<Engine>) -> (Host, Vec<Action>) {
    let mut host = host(effect, engines);
    assert_eq!(sent_to(&host.ask(request(1, 0))), Some(1));
    assert_eq!(sent_to(&host.end(1, 0, Outcome::Prefilled)), Some(2));
    host.now += ms(10);
    let out = host.end(1, 1, Outcome::Reset);
    (host, out)
}

fn in_zone(zone: u32, cell: u32, engine: Engine) -> Engine {
    Engine { zone: ZoneId(zone), cell: CellId(cell), ..engine }
}

#[test]
fn a_keyed_request_that_may_have_run_fails_as_its_client_may_come_again_after_the_window() {
    for group in [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let effect = keyed(group, ms(20));
        let (_, out) = after_a_broken_write(effect, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        assert!(failed(&out) && !refused(&out), "{group:?}: {out:?}");
    }
    let (_, out) = after_a_broken_write(Idempotency::Idempotent, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    assert!(!failed(&out), "a safe one goes again: {out:?}");
}

#[test]
fn a_window_of_zero_allows_no_repeat() {
    let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
    let (_, out) = after_a_broken_write(keyed(DeduplicationScope::All, Duration::ZERO), engines);
    assert_eq!((sent_to(&out), failed(&out)), (None, true));
}

#[test]
fn a_repeat_of_a_keyed_request_is_given_up_before_its_window_ends() {
    let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
    let (_, out) = after_a_broken_write(keyed(DeduplicationScope::All, ms(1_000)), engines);
    let limit = out.iter().find_map(|action| match action {
        Action::Send { timeout: limit, .. } => Some(*limit),
        _ => None,
    });
    let limit = limit.expect("it goes again").expect("with a limit of its own");
    assert!(limit < ms(990) && limit > ms(900), "the window began 10 ms ago: {limit:?}");
}

#[test]
fn the_first_attempt_and_reads_have_no_limit_of_their_own() {
    let mut host = host(keyed(DeduplicationScope::All, ms(1_000)), vec![engine(1, 0, 0), engine(2, 1, 0)]);
    for out in [host.ask(request(1, 0)), host.end(1, 0, Outcome::Prefilled)] {
        assert!(out.iter().any(|action| matches!(action, Action::Send { timeout: None, .. })), "{out:?}");
    }
}

/// The engine that may have run it comes back under its name in another zone or cell: the group is that of the time of
/// the first attempt.
#[test]
fn the_group_is_where_the_first_engine_stood_when_it_was_sent_to() {
    for group in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let mut host = host(
            keyed(group, ms(5_000)),
            vec![
                in_zone(0, 1, engine(1, 0, 0)),
                in_zone(0, 1, engine(2, 1, 0)),
                in_zone(7, 8, engine(3, 1, 0)),
            ],
        );
        host.ask(request(1, 0));
        assert_eq!(sent_to(&host.end(1, 0, Outcome::Prefilled)), Some(2));
        host.list(Listing::Changes, vec![in_zone(7, 8, engine(2, 1, 0))]);
        let out = host.end(1, 1, Outcome::Reset);
        assert_eq!(sent_to(&out), None, "{group:?}: neither engine stood in that group: {out:?}");
    }
}

#[test]
fn the_group_is_known_though_the_first_engine_has_left() {
    let mut host = host(
        keyed(DeduplicationScope::Zone, ms(5_000)),
        vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 9), engine(4, 1, 0)],
    );
    host.ask(request(1, 0));
    let first = sent_to(&host.end(1, 0, Outcome::Prefilled)).expect("a writer");
    let other = if first == 2 { 4 } else { 2 };
    host.list(Listing::Changes, vec![Engine { state: EngineState::Gone, ..engine(first, 1, 0) }]);
    assert_eq!(sent_to(&host.end(1, 1, Outcome::Reset)), Some(other));
}

/// An engine that started after the first attempt may have forgotten the key.
#[test]
fn a_keyed_request_is_not_repeated_at_an_engine_that_started_since() {
    let mut host = host(keyed(DeduplicationScope::All, ms(5_000)), vec![engine(1, 0, 0), engine(2, 1, 0)]);
    host.ask(request(1, 0));
    assert_eq!(sent_to(&host.end(1, 0, Outcome::Prefilled)), Some(2));
    host.now += ms(50);
    let restarted = Engine { started_at: Some(host.now - ms(10)), ..engine(2, 1, 0) };
    host.list(Listing::Changes, vec![restarted]);
    assert_eq!(sent_to(&host.end(1, 1, Outcome::Reset)), None);
}

/// An engine that comes back under its name and start as one that writes: what goes there has an effect.
#[test]
fn an_engine_listed_with_another_role_is_taken_for_what_it_is() {
    let mut host = host(Idempotency::NotIdempotent, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    // Reader and writer change places under their names and starts.
    host.list(Listing::Changes, vec![engine(1, 1, 0), engine(2, 0, 0)]);
    assert_eq!(sent_to(&host.ask(request(1, 0))), Some(2), "the reader by now");
    assert_eq!(sent_to(&host.end(1, 0, Outcome::Prefilled)), Some(1));
    let out = host.end(1, 1, Outcome::Reset);
    assert!(failed(&out) && sent_to(&out).is_none(), "it may have run: {out:?}");
}

#[test]
fn a_role_that_changes_while_a_read_is_out_leaves_a_read_what_it_was() {
    let mut host = host(Idempotency::NotIdempotent, vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 0, 0)]);
    let reader = sent_to(&host.ask(request(1, 0))).expect("a reader");
    host.list(Listing::Changes, vec![engine(reader, 1, 0)]);
    let out = host.end(1, 0, Outcome::Reset);
    assert!(!failed(&out), "a read has no effect: {out:?}");
}

#[test]
fn an_unsafe_write_that_may_have_run_is_not_sent_again() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut] {
        let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
        let mut host = Host::new(settings(Idempotency::NotIdempotent), 1, engines);
        host.ask(request(1, 0));
        host.end(1, 0, Outcome::Prefilled);
        let out = host.end(1, 1, outcome);
        assert_eq!(sent_to(&out), None);
        assert!(failed(&out) && released(&out) && !refused(&out), "{out:?}");
    }
}

#[test]
fn an_unsafe_write_that_never_ran_is_sent_elsewhere() {
    for outcome in [Outcome::ConnectFailed, Outcome::Rejected { state_missing: false }] {
        let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
        let mut host = Host::new(settings(Idempotency::NotIdempotent), 1, engines);
        host.ask(request(1, 0));
        let first = sent_to(&host.end(1, 0, Outcome::Prefilled)).unwrap();
        assert_eq!(sent_to(&host.end(1, 1, outcome)), Some(5 - first));
    }
}

/// Found by the random sequences: a repeat to the same engine within one tick, proven not to have run,
/// wiped out that the attempt before it may have.
#[test]
fn proof_for_a_later_attempt_says_nothing_of_an_earlier_one() {
    let keyed = Idempotency::WithKey { scope: DeduplicationScope::Cell, window: ms(1000) };
    let mut s = settings(keyed);
    s.limits.max_attempts = 5;
    let mut host = Host::new(s, 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    host.ask(request(1, 0));
    host.end(1, 0, Outcome::Prefilled);
    assert_eq!(sent_to(&host.end(1, 1, Outcome::Reset)), Some(2));
    host.now += ms(10);
    assert_eq!(sent_to(&host.end(1, 2, Outcome::Rejected { state_missing: false })), Some(2));
    assert_eq!(sent_to(&host.end(1, 3, Outcome::Rejected { state_missing: false })), Some(2));
    let out = host.end(1, 4, Outcome::Rejected { state_missing: false });
    assert!(failed(&out) && !refused(&out), "{out:?}");
}

#[test]
fn a_keyed_write_goes_again_only_to_its_group_and_within_its_window() {
    let keyed = |group| Idempotency::WithKey { scope: group, window: ms(1000) };
    let again = |group, wait| {
        let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 1)];
        let mut s = settings(keyed(group));
        s.limits.max_attempts = 5;
        let mut host = Host::new(s, 1, engines);
        host.ask(request(1, 0));
        assert_eq!(sent_to(&host.end(1, 0, Outcome::Prefilled)), Some(2));
        host.now += ms(wait);
        sent_to(&host.end(1, 1, Outcome::Reset))
    };
    assert_eq!(again(DeduplicationScope::All, 10), Some(3));
    assert_eq!(again(DeduplicationScope::Zone, 10), Some(2));
    assert_eq!(again(DeduplicationScope::Cell, 10), Some(2));
    assert_eq!(again(DeduplicationScope::All, 1000), None);
}

/// Found with the made-up deployment of long limits: a keyed request whose write broke was read anew at a reader of another
/// cell, whose engines know nothing of the first attempt.
#[test]
fn a_keyed_request_that_may_have_run_is_read_anew_only_in_its_group() {
    let again = |group| {
        let engines = vec![engine(1, 0, 1), engine(2, 1, 1), engine(3, 0, 0)];
        let mut s = settings(Idempotency::WithKey { scope: group, window: ms(1000) });
        s.limits.max_attempts = 5;
        let mut host = Host::new(s, 1, engines);
        assert_eq!(sent_to(&host.ask(request(1, 0))), Some(1), "at home in the writer's cell");
        assert_eq!(sent_to(&host.end(1, 0, Outcome::Prefilled)), Some(2));
        host.now += ms(10);
        // It may have run, and the only other reader stands in another zone and cell.
        host.list(Listing::Changes, vec![Engine { state: EngineState::Draining, ..engine(1, 0, 1) }]);
        assert_eq!(sent_to(&host.end(1, 1, Outcome::Reset)), Some(2), "the state may still wait");
        sent_to(&host.end(1, 2, Outcome::Rejected { state_missing: true }))
    };
    assert_eq!(
        [DeduplicationScope::Cell, DeduplicationScope::Zone, DeduplicationScope::All].map(again),
        [None, None, Some(3)]
    );
}

#[test]
fn a_keyed_request_is_not_sent_again_where_its_connection_may_come_up_after_the_window() {
    let again = |wait| {
        let keyed = Idempotency::WithKey { scope: DeduplicationScope::All, window: ms(1000) };
        let mut s = settings(keyed);
        (s.limits.connect_timeout, s.limits.max_attempts) = (ms(250), 5);
        let mut host = Host::new(s, 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        host.ask(request(1, 0));
        host.end(1, 0, Outcome::Prefilled);
        host.now += ms(wait);
        sent_to(&host.end(1, 1, Outcome::Reset))
    };
    assert_eq!([again(740), again(760)], [Some(2), None]);
}
