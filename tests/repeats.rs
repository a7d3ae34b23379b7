//! Which requests a router may send again, and when it may tell a client that a retry is safe.

mod common;
use common::*;
use slipreel::*;
use std::time::Duration;

fn with_key(scope: DeduplicationScope, window: Duration) -> Idempotency {
    Idempotency::WithKey { scope, window }
}

/// A host whose requests may have six attempts.
fn new_host(idempotency: Idempotency, engines: Vec<Engine>) -> Host {
    let mut settings = settings(idempotency);
    settings.limits.max_attempts = 6;
    Host::new(settings, 1, engines)
}

/// Runs a request that is prefilled at engine 1 and whose decode at engine 2 ends with a broken connection.
fn run_to_reset_decode(idempotency: Idempotency, engines: Vec<Engine>) -> (Host, Vec<Action>) {
    let mut host = new_host(idempotency, engines);
    assert_eq!(send_target(&host.submit(request(1, 0))), Some(1));
    assert_eq!(send_target(&host.end_attempt(1, 0, Outcome::Prefilled)), Some(2));
    host.now += ms(10);
    let actions = host.end_attempt(1, 1, Outcome::Reset);
    (host, actions)
}

fn in_zone(zone: u32, cell: u32, engine: Engine) -> Engine {
    Engine { zone: ZoneId(zone), cell: CellId(cell), ..engine }
}

#[test]
fn a_request_with_a_key_that_may_have_run_fails_as_its_client_may_retry_after_the_window() {
    for scope in [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let idempotency = with_key(scope, ms(20));
        let (_, actions) = run_to_reset_decode(idempotency, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        assert!(is_failed(&actions) && !is_rejected(&actions), "{scope:?}: {actions:?}");
    }
    let (_, actions) = run_to_reset_decode(Idempotency::Idempotent, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    assert!(!is_failed(&actions), "an idempotent request is repeated: {actions:?}");
}

#[test]
fn a_window_of_zero_allows_no_repeat() {
    let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
    let (_, actions) = run_to_reset_decode(with_key(DeduplicationScope::All, Duration::ZERO), engines);
    assert_eq!((send_target(&actions), is_failed(&actions)), (None, true));
}

#[test]
fn a_retry_of_a_request_with_a_key_times_out_before_its_window_ends() {
    let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
    let (_, actions) = run_to_reset_decode(with_key(DeduplicationScope::All, ms(1_000)), engines);
    let timeout = actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    let timeout = timeout.expect("a retry").expect("a timeout of the attempt");
    assert!(timeout < ms(990) && timeout > ms(900), "the window began 10 ms ago: {timeout:?}");
}

#[test]
fn the_first_attempt_and_prefills_have_no_timeout() {
    let mut host =
        new_host(with_key(DeduplicationScope::All, ms(1_000)), vec![engine(1, 0, 0), engine(2, 1, 0)]);
    for actions in [host.submit(request(1, 0)), host.end_attempt(1, 0, Outcome::Prefilled)] {
        assert!(
            actions.iter().any(|action| matches!(action, Action::Send { timeout: None, .. })),
            "{actions:?}"
        );
    }
}

/// The engine that may have run the request is listed again under the same id in another zone or cell. The
/// scope is that of its place at the time of the first attempt.
#[test]
fn the_deduplication_scope_is_that_of_the_first_engine_when_it_was_sent_the_request() {
    for scope in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let mut host = new_host(
            with_key(scope, ms(5_000)),
            vec![
                in_zone(0, 1, engine(1, 0, 0)),
                in_zone(0, 1, engine(2, 1, 0)),
                in_zone(7, 8, engine(3, 1, 0)),
            ],
        );
        host.submit(request(1, 0));
        assert_eq!(send_target(&host.end_attempt(1, 0, Outcome::Prefilled)), Some(2));
        host.update_endpoints(Listing::Changes, vec![in_zone(7, 8, engine(2, 1, 0))]);
        let actions = host.end_attempt(1, 1, Outcome::Reset);
        assert_eq!(send_target(&actions), None, "{scope:?}: neither engine is in that scope: {actions:?}");
    }
}

#[test]
fn the_deduplication_scope_is_known_after_the_first_engine_has_left() {
    let mut host = new_host(
        with_key(DeduplicationScope::Zone, ms(5_000)),
        vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 9), engine(4, 1, 0)],
    );
    host.submit(request(1, 0));
    let first = send_target(&host.end_attempt(1, 0, Outcome::Prefilled)).expect("a decode engine");
    let other = if first == 2 { 4 } else { 2 };
    host.update_endpoints(Listing::Changes, vec![Engine { state: EngineState::Gone, ..engine(first, 1, 0) }]);
    assert_eq!(send_target(&host.end_attempt(1, 1, Outcome::Reset)), Some(other));
}

/// An engine that started after the first attempt may have lost the key.
#[test]
fn a_request_with_a_key_is_not_repeated_at_an_engine_that_started_later() {
    let mut host =
        new_host(with_key(DeduplicationScope::All, ms(5_000)), vec![engine(1, 0, 0), engine(2, 1, 0)]);
    host.submit(request(1, 0));
    assert_eq!(send_target(&host.end_attempt(1, 0, Outcome::Prefilled)), Some(2));
    host.now += ms(50);
    let restarted = Engine { started_at: Some(host.now - ms(10)), ..engine(2, 1, 0) };
    host.update_endpoints(Listing::Changes, vec![restarted]);
    assert_eq!(send_target(&host.end_attempt(1, 1, Outcome::Reset)), None);
}

/// An engine is listed again with the same id and start time, but as a decode engine: attempts there have an
/// effect.
#[test]
fn an_engine_listed_with_another_role_is_used_in_that_role() {
    let mut host = new_host(Idempotency::NotIdempotent, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    // The two engines swap their roles under the same ids and start times.
    host.update_endpoints(Listing::Changes, vec![engine(1, 1, 0), engine(2, 0, 0)]);
    assert_eq!(send_target(&host.submit(request(1, 0))), Some(2), "the prefill engine by now");
    assert_eq!(send_target(&host.end_attempt(1, 0, Outcome::Prefilled)), Some(1));
    let actions = host.end_attempt(1, 1, Outcome::Reset);
    assert!(is_failed(&actions) && send_target(&actions).is_none(), "it may have run: {actions:?}");
}

#[test]
fn a_prefill_stays_a_prefill_if_its_engine_changes_its_role_meanwhile() {
    let mut host =
        new_host(Idempotency::NotIdempotent, vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 0, 0)]);
    let prefill_engine = send_target(&host.submit(request(1, 0))).expect("a prefill engine");
    host.update_endpoints(Listing::Changes, vec![engine(prefill_engine, 1, 0)]);
    let actions = host.end_attempt(1, 0, Outcome::Reset);
    assert!(!is_failed(&actions), "a prefill has no effect: {actions:?}");
}

#[test]
fn a_non_idempotent_decode_that_may_have_run_is_not_repeated() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut] {
        let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
        let mut host = Host::new(settings(Idempotency::NotIdempotent), 1, engines);
        host.submit(request(1, 0));
        host.end_attempt(1, 0, Outcome::Prefilled);
        let actions = host.end_attempt(1, 1, outcome);
        assert_eq!(send_target(&actions), None);
        assert!(is_failed(&actions) && is_released(&actions) && !is_rejected(&actions), "{actions:?}");
    }
}

#[test]
fn a_non_idempotent_decode_that_never_ran_is_sent_elsewhere() {
    for outcome in [Outcome::ConnectFailed, Outcome::Rejected { state_missing: false }] {
        let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 0)];
        let mut host = Host::new(settings(Idempotency::NotIdempotent), 1, engines);
        host.submit(request(1, 0));
        let first = send_target(&host.end_attempt(1, 0, Outcome::Prefilled)).unwrap();
        assert_eq!(send_target(&host.end_attempt(1, 1, outcome)), Some(5 - first));
    }
}

/// Guards against forgetting that an attempt may have run when a repeat of it, sent to the same engine within
/// one tick, is proven not to have run.
#[test]
fn proof_that_a_later_attempt_never_ran_does_not_cover_an_earlier_one() {
    let with_key = Idempotency::WithKey { scope: DeduplicationScope::Cell, window: ms(1000) };
    let mut s = settings(with_key);
    s.limits.max_attempts = 5;
    let mut host = Host::new(s, 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    host.submit(request(1, 0));
    host.end_attempt(1, 0, Outcome::Prefilled);
    assert_eq!(send_target(&host.end_attempt(1, 1, Outcome::Reset)), Some(2));
    host.now += ms(10);
    assert_eq!(send_target(&host.end_attempt(1, 2, Outcome::Rejected { state_missing: false })), Some(2));
    assert_eq!(send_target(&host.end_attempt(1, 3, Outcome::Rejected { state_missing: false })), Some(2));
    let actions = host.end_attempt(1, 4, Outcome::Rejected { state_missing: false });
    assert!(is_failed(&actions) && !is_rejected(&actions), "{actions:?}");
}

#[test]
fn a_decode_with_a_key_is_repeated_only_in_its_scope_and_within_its_window() {
    let with_key = |scope| Idempotency::WithKey { scope, window: ms(1000) };
    let repeat_target = |scope, wait_ms| {
        let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 1)];
        let mut s = settings(with_key(scope));
        s.limits.max_attempts = 5;
        let mut host = Host::new(s, 1, engines);
        host.submit(request(1, 0));
        assert_eq!(send_target(&host.end_attempt(1, 0, Outcome::Prefilled)), Some(2));
        host.now += ms(wait_ms);
        send_target(&host.end_attempt(1, 1, Outcome::Reset))
    };
    assert_eq!(repeat_target(DeduplicationScope::All, 10), Some(3));
    assert_eq!(repeat_target(DeduplicationScope::Zone, 10), Some(2));
    assert_eq!(repeat_target(DeduplicationScope::Cell, 10), Some(2));
    assert_eq!(repeat_target(DeduplicationScope::All, 1000), None);
}

/// Guards against prefilling a request with a key, whose decode broke off, at an engine of another cell: the
/// engines there have no record of the first attempt.
#[test]
fn a_request_with_a_key_that_may_have_run_is_prefilled_again_only_in_its_scope() {
    let repeat_target = |scope| {
        let engines = vec![engine(1, 0, 1), engine(2, 1, 1), engine(3, 0, 0)];
        let mut s = settings(Idempotency::WithKey { scope, window: ms(1000) });
        s.limits.max_attempts = 5;
        let mut host = Host::new(s, 1, engines);
        assert_eq!(
            send_target(&host.submit(request(1, 0))),
            Some(1),
            "the affinity target in the cell of the decode engine"
        );
        assert_eq!(send_target(&host.end_attempt(1, 0, Outcome::Prefilled)), Some(2));
        host.now += ms(10);
        // It may have run, and the only other prefill engine is in another zone and cell.
        host.update_endpoints(
            Listing::Changes,
            vec![Engine { state: EngineState::Draining, ..engine(1, 0, 1) }],
        );
        assert_eq!(
            send_target(&host.end_attempt(1, 1, Outcome::Reset)),
            Some(2),
            "the state may still be held"
        );
        send_target(&host.end_attempt(1, 2, Outcome::Rejected { state_missing: true }))
    };
    assert_eq!(
        [DeduplicationScope::Cell, DeduplicationScope::Zone, DeduplicationScope::All].map(repeat_target),
        [None, None, Some(3)]
    );
}

#[test]
fn a_request_with_a_key_is_not_repeated_if_its_connection_may_be_established_after_the_window() {
    let repeat_target = |wait_ms| {
        let with_key = Idempotency::WithKey { scope: DeduplicationScope::All, window: ms(1000) };
        let mut s = settings(with_key);
        (s.limits.connect_timeout, s.limits.max_attempts) = (ms(250), 5);
        let mut host = Host::new(s, 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        host.submit(request(1, 0));
        host.end_attempt(1, 0, Outcome::Prefilled);
        host.now += ms(wait_ms);
        send_target(&host.end_attempt(1, 1, Outcome::Reset))
    };
    // By then its state counts as released, so the repeat begins with a prefill.
    assert_eq!([repeat_target(740), repeat_target(760)], [Some(1), None]);
}
