//! Placement: prefill affinity, power of two choices for decode, probes and load reports.

mod common;

use common::*;
use slipreel::*;

#[test]
fn a_shared_prefix_is_prefilled_at_two_engines_at_most_by_all_routers() {
    let mut targets = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let engines = (1..=6).map(|id| engine(id, 0, 0)).chain([engine(9, 1, 0)]).collect();
        let mut host = Host::new(settings(Idempotency::Idempotent), seed, engines);
        targets.extend((0..4).filter_map(|id| send_target(&host.submit(request(id, 0)))));
    }
    assert_eq!(targets.len(), 2);
}

#[test]
fn the_decode_engine_is_chosen_after_the_prefill_and_near_it() {
    for seed in 0..20 {
        let engines = vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 1), engine(4, 1, 1)];
        let mut host = Host::new(settings(Idempotency::Idempotent), seed, engines);
        assert_eq!(send_target(&host.submit(request(1, 0))), Some(1));
        assert_eq!(send_target(&host.end_attempt(1, 0, Outcome::Prefilled)), Some(2));
    }
}

#[test]
fn a_near_decode_engine_with_much_more_load_is_passed_over() {
    let mut host = Host::new(
        settings(Idempotency::Idempotent),
        1,
        vec![engine(1, 0, 0), engine(2, 1, 0), engine(3, 1, 1)],
    );
    let targets: Vec<_> = (0..8)
        .filter_map(|id| {
            host.submit(request(id, 0));
            send_target(&host.end_attempt(id, 0, Outcome::Prefilled))
        })
        .collect();
    let near = targets.iter().filter(|&&engine| engine == 2).count();
    assert_eq!(targets[0], 2);
    assert!((4..8).contains(&near), "{targets:?}");
}

/// Guards against moving all state to other cells: in cells with many prefill engines and few decode engines,
/// most state finds no decode engine nearby.
#[test]
fn affinity_prefers_cells_with_decode_engines() {
    let engines: Vec<Engine> = (1..=4)
        .map(|id| engine(id, 0, 0))
        .chain([engine(5, 1, 0), engine(6, 0, 1), engine(7, 0, 1)])
        .chain((8..=11).map(|id| engine(id, 1, 1)))
        // Both cells are in one zone, as engines of the router's own zone have a larger weight.
        .map(|e| Engine { zone: ZoneId(0), ..e })
        .collect();
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, engines);
    let target = |id| {
        let actions = host.submit(Request { shared_prefix: None, ..request(id, 0) });
        host.handle(Event::ClientDisconnected(RequestId(id)));
        host.end_attempt(id, 0, Outcome::Cancelled);
        send_target(&actions)
    };
    let near = (0..1000).filter_map(target).filter(|engine| [6, 7].contains(engine)).count();
    assert!((390..620).contains(&near), "{near} of 1000 at two of six prefill engines");
}

/// Guards against charged moves of state between cells: where half of the cells have no decode engine, nearly
/// all state would be moved.
#[test]
fn of_two_affinity_targets_the_one_with_a_decode_engine_in_its_cell_is_chosen_unless_it_has_more_load() {
    for (decode_cell, waiting, expected) in [(0, 0.0, 0), (1, 0.0, 1), (0, 600.0, 0), (0, 2_500.0, 1)] {
        for id in 0..20 {
            let engines = vec![engine(1, 0, 0), engine(2, 0, 1), engine(3, 1, decode_cell)];
            let mut host = Host::new(settings(Idempotency::Idempotent), id, engines);
            host.report_load(2 - u64::from(decode_cell), 0.0);
            host.report_load(1 + u64::from(decode_cell), waiting);
            let chosen = send_target(&host.submit(request(id, 0)));
            assert_eq!(
                chosen,
                Some(1 + expected),
                "decode engine in cell {decode_cell}, {waiting} waiting there"
            );
        }
    }
}

/// Guards against taking an engine that prefills a long prompt for idle: a prompt of 40,000 tokens takes
/// seconds and is in no queue meanwhile. When it counted only by its share of the memory, 0.13, it counted as
/// 1,700 waiting tokens.
#[test]
fn the_load_of_a_prefill_engine_includes_the_prompts_in_its_memory() {
    let report = |queued, memory| LoadReport {
        queued: Some(queued),
        memory_share: Some(memory),
        ..LoadReport::default()
    };
    for (memory_tokens, busy_is_chosen) in [(vec![300_000.0, 900_000.0, 0.0], false), (vec![], true)] {
        let s = Settings { memory_tokens, ..settings(Idempotency::Idempotent) };
        let mut host = Host::new(s, 1, vec![engine(1, 0, 0), engine(2, 0, 0), engine(3, 1, 0)]);
        // Engine 1 prefills a long prompt and has an empty queue; at engine 2 two short prompts wait.
        for (id, load_report) in [(1, report(0.0, 0.13)), (2, report(2.0, 0.01))] {
            host.handle(Event::ProbeEnded {
                engine: EngineId(id),
                outcome: Outcome::Completed,
                report: load_report,
            });
        }
        let chosen = send_target(&host.submit(request(1, 0)));
        assert_eq!(chosen, Some(if busy_is_chosen { 1 } else { 2 }));
    }
}

/// Guards against useless probes: there were 6.8 for each request, half of them to engines that could not be
/// chosen.
#[test]
fn spill_engines_are_probed_only_where_the_affinity_targets_have_more_load_than_the_prompt() {
    for (waiting, probes) in [(0.0, 2), (900.0, 2), (1_100.0, 4)] {
        let engines = (1..9).map(|id| engine(id, 0, 0)).chain([engine(9, 1, 0)]).collect();
        let mut host = Host::new(settings(Idempotency::Idempotent), 1, engines);
        (host.now, host.waiting_tokens) = (host.now + ms(1_000), Some(waiting));
        let actions = host.submit(request(1, 0));
        let probe_count = actions.iter().filter(|a| matches!(a, Action::Probe(_))).count();
        assert_eq!((probe_count, send_target(&actions).is_some()), (probes, true), "{waiting}: {actions:?}");
    }
}

/// Guards against rejecting for ever: a router that rejects all requests gets no answers with reports, so
/// that it goes on taking the engines for full.
#[test]
fn a_rejected_request_probes_engines_with_stale_reports() {
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    let probe_count = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Probe(_))).count();
    host.probes_unanswered = true;
    host.now += ms(800);
    host.report_load(2, 60_000.0);
    let actions = host.submit(request(1, 1));
    assert_eq!(
        (is_rejected(&actions), probe_count(&actions)),
        (true, 1),
        "only the report of the prefill engine is stale: {actions:?}"
    );
    host.now += ms(1000);
    let actions = host.submit(request(2, 1));
    assert_eq!(
        (is_rejected(&actions), probe_count(&actions)),
        (true, 1),
        "a probe of the prefill engine is in flight already: {actions:?}"
    );
}

/// A router that rarely sends to an engine relies on the latest report.
#[test]
fn the_engine_that_reports_less_load_is_chosen() {
    for seed in 0..20 {
        let engines = vec![engine(1, 0, 0), engine(2, 0, 0), engine(3, 1, 0), engine(4, 1, 0)];
        let mut host = Host::new(settings(Idempotency::Idempotent), seed, engines);
        for (id, waiting) in [(1, 9_000.0), (2, 100.0), (3, 100.0), (4, 9_000.0)] {
            host.report_load(id, waiting);
        }
        assert_eq!(send_target(&host.submit(request(1, 0))), Some(2));
        assert_eq!(send_target(&host.end_attempt(1, 0, Outcome::Prefilled)), Some(3));
    }
}

/// Guards against breaking ties by the order of ids, which sends the requests of all routers to one decode
/// engine.
#[test]
fn ties_are_spread_over_all_decode_engines_and_both_affinity_targets() {
    let (mut prefill_targets, mut decode_targets) =
        (std::collections::BTreeSet::new(), std::collections::BTreeSet::new());
    for seed in 0..40 {
        let engines = (1..=3).map(|id| engine(id, 0, 0)).chain((4..=7).map(|id| engine(id, 1, 0))).collect();
        let mut host = Host::new(settings(Idempotency::Idempotent), seed, engines);
        prefill_targets.extend(send_target(&host.submit(Request { session: seed, ..request(1, 0) })));
        decode_targets.extend(send_target(&host.end_attempt(1, 0, Outcome::Prefilled)));
    }
    assert_eq!((prefill_targets.len(), decode_targets.len()), (2, 4));
}

/// An engine that does not answer is dead, unreachable, busy or not connected yet.
#[test]
fn probed_engines_that_do_not_answer_are_chosen_last() {
    for seed in 0..20 {
        let engines = vec![engine(1, 0, 0), engine(2, 0, 0), engine(3, 1, 0)];
        let mut host = Host::new(settings(Idempotency::Idempotent), seed, engines);
        // The last report of prefill engine 1 says that it is idle.
        host.report_load(1, 0.0);
        host.now += ms(1_000);
        host.probes_unanswered = true;
        let actions = host.submit(request(1, 0));
        assert_eq!(send_target(&actions), None, "{actions:?}");
        let pending = timers(&actions);
        host.report_load(2, 9_000.0);
        host.now += ms(30);
        let due: Vec<Action> = pending
            .iter()
            .flat_map(
                |&(timer, after)| {
                    if after <= ms(30) {
                        host.handle(Event::TimerFired(timer))
                    } else {
                        vec![]
                    }
                },
            )
            .collect();
        assert_eq!(send_target(&due), Some(2));
    }
}

#[test]
fn a_mixed_engine_serves_a_request_in_one_attempt() {
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 2, 0)]);
    assert_eq!(send_target(&host.submit(request(1, 0))), Some(1));
    let first = Event::FirstToken { request: RequestId(1), attempt: 0, latency: ms(80) };
    assert!(!is_failed(&host.handle(first)));
    host.end_attempt(1, 0, Outcome::Completed);
    assert_eq!(host.router.state_sizes().requests, 0);
}

/// Guards against a popular prefix overloading its two affinity targets while other prefill engines are idle.
#[test]
fn a_popular_shared_prefix_spills_from_its_two_affinity_targets() {
    let engines = (1..=4).map(|id| engine(id, 0, 0)).chain([engine(9, 1, 0)]).collect();
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, engines);
    let sent: Vec<_> = (0..12).filter_map(|id| send_target(&host.submit(request(id, 0)))).collect();
    let distinct = |sent: &[u64]| sent.iter().collect::<std::collections::BTreeSet<_>>().len();
    assert_eq!((distinct(&sent[..4]), distinct(&sent)), (2, 4), "{sent:?}");
}
