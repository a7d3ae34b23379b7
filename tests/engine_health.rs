//! The endpoint list, slow start and outlier ejection.

mod common;

use common::*;
use slipreel::*;

#[test]
fn nothing_is_sent_to_a_draining_or_removed_engine() {
    for state in [EngineState::Draining, EngineState::Gone] {
        let mut host = Host::new(
            settings(Idempotency::Idempotent),
            1,
            vec![engine(1, 0, 0), engine(2, 0, 0), engine(3, 1, 0)],
        );
        host.update_endpoints(Listing::Changes, vec![Engine { state, ..engine(1, 0, 0) }]);
        for id in 0..20 {
            assert_eq!(send_target(&host.submit(request(id, 0))), Some(2));
        }
    }
}

#[test]
fn an_engine_missing_in_a_complete_list_is_removed_and_a_failed_poll_changes_nothing() {
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    host.update_endpoints(Listing::Failed, vec![]);
    assert_eq!(send_target(&host.submit(request(1, 0))), Some(1));
    host.update_endpoints(Listing::Complete, vec![engine(2, 1, 0)]);
    assert_eq!(send_target(&host.submit(request(2, 0))), None);
}

/// A warming engine gets no more than a share of the load of a warm engine, even when requests are queued for
/// it.
#[test]
fn an_engine_that_warms_up_is_not_overloaded() {
    let prefill_target = |host: &mut Host, id: u64| {
        let target = send_target(&host.submit(request(id, 0)));
        host.end_attempt(id, 0, Outcome::Prefilled);
        host.end_attempt(id, 1, Outcome::Completed);
        target
    };
    let mut host = Host::new(
        settings(Idempotency::Idempotent),
        1,
        vec![engine(1, 0, 0), engine(2, 0, 0), engine(3, 1, 0)],
    );
    let mut sends = [0; 2];
    let mut id = 0;
    for _ in 0..500 {
        id += 1;
        host.now += ms(20);
        sends[prefill_target(&mut host, id).unwrap() as usize - 1] += 1;
    }
    let warm_rate = f64::from(sends[0].max(sends[1])) / 10.0;
    let started = Some(host.now);
    host.update_endpoints(
        Listing::Changes,
        (1..=2).map(|id| Engine { started_at: started, ..engine(id, 0, 0) }).collect(),
    );
    let mut sent = 0;
    for step in 0..1000 {
        id += 1;
        host.now += ms(u64::from(step % 10 == 0) * 20);
        let actions = host.submit(request(id, 0));
        sent += usize::from(send_target(&actions).is_some());
    }
    // In two seconds two engines get something, but at most 2.5 times the initial share of the load that one
    // had.
    let max = 2.0 * 2.0 * 2.5 * 0.3 * warm_rate;
    assert!(sent > 0 && (sent as f64) < max, "{sent} of {max}");
}

/// Guards against a failure from incident ia21940: all routers learnt of a start at once, and each sent a
/// prompt.
#[test]
fn hundreds_of_routers_do_not_send_to_a_warming_engine_at_once() {
    let mut s = settings(Idempotency::Idempotent);
    s.router_count = 200;
    // Ten prefill engines get 400 requests per second: 40 for each, and 0.3 of that for one that has just
    // started. Its budget for one second is 2.5 times that, although 200 routers without any samples learn of
    // it at once.
    let (mut sent, mut all) = (0, 0);
    for seed in 0..200 {
        let engines = (2..=10).map(|id| engine(id, 0, 0)).chain([engine(20, 1, 0)]).collect();
        let mut host = Host::new(s.clone(), seed, engines);
        let started = Some(host.now);
        host.update_endpoints(Listing::Changes, vec![Engine { started_at: started, ..engine(1, 0, 0) }]);
        for id in 0..2 {
            host.now += ms(450);
            let actions = host.submit(Request { shared_prefix: Some(seed * 2 + id + 1), ..request(id, 0) });
            all += usize::from(send_target(&actions).is_some());
            sent += usize::from(send_target(&actions) == Some(1));
        }
    }
    let budget = 2.5 * 0.3 * 40.0;
    assert!(all > 350 && sent > 0, "{sent} of {all}");
    assert!(
        (sent as f64) < budget / 2.0,
        "{sent} prompts within a second of the start, with a budget of {budget}"
    );
}

/// Guards against overloading engines that have restarted before the endpoint list shows it.
#[test]
fn an_engine_that_is_reachable_again_warms_up() {
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    for id in 0..50 {
        host.now += ms(100);
        host.submit(request(id, 0));
        host.end_attempt(id, 0, Outcome::Prefilled);
        host.end_attempt(id, 1, Outcome::Completed);
    }
    host.submit(request(90, 0));
    host.end_attempt(90, 0, Outcome::ConnectFailed);
    let probe_answered =
        Event::ProbeEnded { engine: EngineId(1), outcome: Outcome::Completed, report: LoadReport::default() };
    host.now += ms(3000);
    host.handle(probe_answered);
    let sent = (100..200).filter(|&id| send_target(&host.submit(request(id, 0))).is_some()).count();
    assert!(sent <= 3, "{sent} requests at once to an engine that has just become reachable");
}

#[test]
fn failed_connections_to_most_engines_suspend_ejection() {
    let engines = (1..=4).map(|id| engine(id, 0, 0)).chain([engine(9, 1, 0)]).collect();
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, engines);
    let mut failures = 0;
    for id in 0..6 {
        let mut actions = host.submit(request(id, 0));
        for attempt in 0..3 {
            if send_target(&actions).is_none() {
                break;
            }
            failures += 1;
            actions = host.end_attempt(id, attempt, Outcome::ConnectFailed);
        }
        host.handle(Event::ClientDisconnected(RequestId(id)));
    }
    host.now += ms(20_000);
    assert!(failures >= 3 && send_target(&host.submit(request(90, 0))).is_some(), "{failures} failures");
}

#[test]
fn the_endpoint_list_is_requested_again_after_a_failure() {
    let mut s = settings(Idempotency::Idempotent);
    s.requests_engine_list = true;
    let mut host =
        Host { router: Router::new(s, 1), now: ms(0), probes_unanswered: false, waiting_tokens: None };
    let actions = host.update_endpoints(Listing::Cached, vec![]);
    assert!(actions.contains(&Action::WatchEngines(true)));
    let actions = host.update_endpoints(Listing::Failed, vec![]);
    let (timer, after) = timers(&actions)[0];
    host.now += after;
    assert!(host.handle(Event::TimerFired(timer)).contains(&Action::WatchEngines(true)));
}

/// Attempts that a full decode engine rejects are no sustained load: they must not raise the budget of a
/// warming engine.
#[test]
fn rejected_attempts_give_a_warming_engine_no_budget() {
    let sends_to_warming_engine = |full: bool| {
        let engines = vec![engine(1, 0, 0), engine(2, 1, 0)];
        let mut host = Host::new(settings(Idempotency::Idempotent), 9, engines.clone());
        let mut count = 0;
        for id in 0..600 {
            host.now += ms(10);
            if id == 400 {
                let warming = Engine { started_at: Some(host.now), ..engine(3, 1, 0) };
                host.update_endpoints(Listing::Changes, vec![warming]);
            }
            host.submit(request(id, 0));
            let mut attempt = 0;
            let mut target = send_target(&host.end_attempt(id, 0, Outcome::Prefilled));
            while let Some(engine) = target {
                attempt += 1;
                count += u64::from(engine == 3);
                // The full engine goes on rejecting, and the warming one serves.
                let rejected = full && engine == 2;
                let outcome =
                    if rejected { Outcome::Rejected { state_missing: false } } else { Outcome::Completed };
                target = send_target(&host.end_attempt(id, attempt, outcome));
                if !rejected {
                    break;
                }
            }
        }
        count
    };
    let (rejecting, serving) = (sends_to_warming_engine(true), sends_to_warming_engine(false));
    assert!(
        rejecting > 0 && rejecting * 4 < serving,
        "{rejecting} after rejections, {serving} after completed attempts"
    );
}

/// Guards against engines that fail fast and so attract requests: two engines that answered with status 500
/// in half a millisecond got a quarter of all requests.
#[test]
fn a_failing_engine_is_passed_over_briefly_where_others_are_usable() {
    // A hundred requests in two seconds at a single router, or in two hundred seconds at one of many routers.
    // The engine is passed over for one second or for eight.
    for (routers, interval_ms, max_failures) in [(1, 20, 4), (300, 2_000, 18)] {
        let failing = 2;
        let decode_engines = [2, 3, 4, 5].map(|id| engine(id, 1, 0));
        let s = Settings { router_count: routers, ..settings(Idempotency::Idempotent) };
        let mut host = Host::new(s, 4, [vec![engine(1, 0, 0)], decode_engines.to_vec()].concat());
        let mut failures = 0;
        for id in 0..100 {
            host.now += ms(interval_ms);
            host.submit(request(id, 0));
            let actions = host.end_attempt(id, 0, Outcome::Prefilled);
            match send_target(&actions) {
                Some(engine) if engine == failing => {
                    failures += 1;
                    host.end_attempt(id, 1, Outcome::Error);
                    host.handle(Event::ClientDisconnected(RequestId(id)));
                }
                _ => {
                    host.end_attempt(id, 1, Outcome::Completed);
                }
            }
        }
        assert!(
            (1..=max_failures).contains(&failures),
            "{failures} of 100 at the failing engine, {routers} routers"
        );
    }
}
