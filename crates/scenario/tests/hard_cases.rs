//! Failure cases on the whole path: clients, router, prefill and decode engines. Each case runs in memory and
//! over sockets. Every request must end as expected on both, and all invariants must hold.

mod common;

use common::*;
use slipreel_invariants::Ending::{self, Failed, Refused, Served};
use slipreel_scenario::{run_in_memory, run_over_sockets, RunResult, Scenario};
use slipreel_test_servers::client::ClientBehaviour;

struct Case {
    name: &'static str,
    scenario: Scenario,
    /// How each request has to end; `None` if its client disconnects or its connection breaks.
    endings: Vec<(u64, Option<Ending>)>,
}

fn case(name: &'static str, scenario: Scenario, endings: &[(u64, Option<Ending>)]) -> Case {
    Case { name, scenario, endings: endings.to_vec() }
}

/// A `garbage` trouble with the kind of broken answer by number, as in scenario files.
fn garbage(kind: u32, targets: &str) -> String {
    trouble("garbage", targets, 0, 4_000, f64::from(kind))
}

fn client_disconnects() -> Vec<Case> {
    let leaves = |n, after| with_behaviour(request(n, "plain", 100), ClientBehaviour::LeavesAfter(ms(after)));
    let slow_prefill = trouble("slow", "r-0", 0, 5_000, 20.0);
    let unresponsive_decode = trouble("deaf", "w-0", 0, 5_000, 1.0);
    vec![
        case(
            "disconnects before prefill ends",
            small_scenario(1, 1, &slow_prefill, vec![leaves(1, 60)]),
            &[(1, None)],
        ),
        case(
            "disconnects between prefill and decode",
            small_scenario(1, 1, &unresponsive_decode, vec![leaves(1, 400)]),
            &[(1, None)],
        ),
        case(
            "disconnects in the middle of the stream",
            small_scenario(
                1,
                1,
                "",
                vec![
                    with_behaviour(request(1, "plain", 100), ClientBehaviour::LeavesAtToken(5)),
                    request(2, "plain", 600),
                ],
            ),
            &[(1, None), (2, Some(Served))],
        ),
        case(
            "half-closes where that counts as a disconnect",
            small_scenario(
                1,
                1,
                "",
                vec![with_behaviour(request(1, "plain", 100), ClientBehaviour::HalfCloses)],
            ),
            &[(1, None)],
        ),
        case(
            "half-closes where it still waits for the answer",
            small_scenario(
                1,
                1,
                "[bounds]\nhalf_close = yes\n",
                vec![with_behaviour(request(1, "plain", 100), ClientBehaviour::HalfCloses)],
            ),
            &[(1, Some(Served))],
        ),
        case(
            "sends a byte each millisecond",
            small_scenario(
                1,
                1,
                "",
                vec![with_behaviour(request(1, "plain", 0), ClientBehaviour::SendsSlowly(ms(1)))],
            ),
            &[(1, Some(Served))],
        ),
        case(
            "sends too slowly to complete its request",
            small_scenario(
                1,
                1,
                "[bounds]\nreceive = 300ms\n",
                vec![with_behaviour(request(1, "plain", 0), ClientBehaviour::SendsSlowly(ms(100)))],
            ),
            &[(1, Some(Failed))],
        ),
        case(
            "stops reading for a while",
            small_scenario(
                1,
                1,
                "",
                vec![with_behaviour(request(1, "plain", 0), ClientBehaviour::StopsReading(ms(700)))],
            ),
            &[(1, Some(Served))],
        ),
    ]
}

fn engine_failures() -> Vec<Case> {
    let join = |a: &str, b: &str| format!("{a}{b}");
    let one_per_class =
        |n: u64| vec![request(n, "plain", 100), request(n + 1, "order", 100), request(n + 2, "filing", 100)];
    let served = |n: u64| [(n, Some(Served)), (n + 1, Some(Served)), (n + 2, Some(Served))];
    vec![
        case(
            "one of two decode engines refuses connections",
            small_scenario(2, 2, &trouble("crash", "w-0", 0, 4_000, 1.0), one_per_class(1)),
            &served(1),
        ),
        case(
            "a prefill engine crashes during prefill",
            small_scenario(
                2,
                1,
                &join(&trouble("slow", "r-0,r-1", 0, 3_000, 6.0), &trouble("crash", "r-0", 150, 4_000, 1.0)),
                (1..6).map(|n| request(n, "plain", 100)).collect(),
            ),
            &(1..6).map(|n| (n, Some(Served))).collect::<Vec<_>>(),
        ),
        case(
            "a decode engine never answers: safe requests are retried elsewhere",
            small_scenario(
                1,
                2,
                &trouble("deaf", "w-0", 0, 5_000, 1.0),
                (1..5).map(|n| request(n, "plain", 100)).collect(),
            ),
            &(1..5).map(|n| (n, Some(Served))).collect::<Vec<_>>(),
        ),
        case(
            "an answer is lost and the request must not run twice",
            small_scenario(
                1,
                1,
                &trouble("answer_lost", "w-0", 0, 5_000, 1.0),
                vec![request(1, "filing", 100)],
            ),
            &[(1, Some(Failed))],
        ),
        case(
            "a drain is announced between send and first byte",
            small_scenario(
                1,
                2,
                &join(&trouble("slow", "w-0,w-1", 0, 900, 30.0), &trouble("drain", "w-0", 120, 2_500, 1.0)),
                (1..9).map(|n| request(n, "plain", 100 + n * 20)).collect(),
            ),
            &(1..9).map(|n| (n, Some(Served))).collect::<Vec<_>>(),
        ),
        case(
            "one decode engine can't reach the prefill engine",
            small_scenario(
                1,
                2,
                &trouble("link_cut", "w-0,r-0", 0, 5_000, 1.0),
                (1..6).map(|n| request(n, "plain", 100)).collect(),
            ),
            &(1..6).map(|n| (n, Some(Served))).collect::<Vec<_>>(),
        ),
    ]
}

fn broken_answers() -> Vec<Case> {
    let single_engine =
        |kind, targets, model| small_scenario(1, 1, &garbage(kind, targets), vec![request(1, model, 100)]);
    let with_alternative = |kind| {
        small_scenario(1, 2, &garbage(kind, "w-0"), (1..5).map(|n| request(n, "plain", 100)).collect())
    };
    let four_served: Vec<(u64, Option<Ending>)> = (1..5).map(|n| (n, Some(Served))).collect();
    vec![
        case("a decode engine that answers without HTTP: another serves", with_alternative(0), &four_served),
        case("an endless head: another serves", with_alternative(1), &four_served),
        case("a wrong length: another serves", with_alternative(2), &four_served),
        case("two lengths: another serves", with_alternative(4), &four_served),
        case(
            "an answer without HTTP, and the request must not run twice",
            single_engine(0, "w-0", "filing"),
            &[(1, Some(Failed))],
        ),
        case("breaks after the first event", single_engine(5, "w-0", "plain"), &[(1, Some(Failed))]),
        case("breaks before its last event", single_engine(6, "w-0", "plain"), &[(1, Some(Failed))]),
        case(
            "breaks after its last event, before the mark",
            single_engine(7, "w-0", "plain"),
            &[(1, Some(Served))],
        ),
        case("a chunk whose size is not a number", single_engine(3, "w-0", "plain"), &[(1, Some(Failed))]),
        case("an event that is not JSON", single_engine(9, "w-0", "plain"), &[(1, Some(Failed))]),
        case(
            "stops in the middle of the stream and keeps the connection open",
            small_scenario(
                1,
                1,
                &format!("[bounds]\nsilent_stream = 500ms\n{}", garbage(8, "w-0")),
                vec![request(1, "plain", 100)],
            ),
            &[(1, Some(Failed))],
        ),
        case(
            "a connection is closed as soon as it is used",
            small_scenario(
                1,
                2,
                &trouble("closes_on_use", "w-0", 0, 4_000, 1.0),
                (1..5).map(|n| request(n, "plain", 100)).collect(),
            ),
            &four_served,
        ),
        case(
            "a connection is closed as soon as it is used, and the request must not run twice",
            small_scenario(
                1,
                1,
                &trouble("closes_on_use", "w-0", 0, 4_000, 1.0),
                vec![request(1, "filing", 100)],
            ),
            &[(1, Some(Failed))],
        ),
    ]
}

fn unstreamed_answers() -> Vec<Case> {
    let unstreamed =
        |n, at| slipreel_test_servers::client::ScriptedRequest { stream: false, ..request(n, "plain", at) };
    vec![
        case(
            "an unstreamed answer",
            small_scenario(1, 1, "", vec![unstreamed(1, 100)]),
            &[(1, Some(Served))],
        ),
        case(
            "an unstreamed answer that breaks on every attempt",
            small_scenario(1, 1, &garbage(5, "w-0"), vec![unstreamed(1, 100)]),
            &[(1, Some(Refused))],
        ),
        case(
            "unstreamed answers break at one engine: another serves, as the client got nothing yet",
            small_scenario(1, 2, &garbage(5, "w-0"), (1..6).map(|n| unstreamed(n, 100)).collect()),
            &(1..6).map(|n| (n, Some(Served))).collect::<Vec<_>>(),
        ),
        case(
            "a decode engine crashes during unstreamed answers",
            small_scenario(
                1,
                2,
                &trouble("crash", "w-0", 300, 4_000, 1.0),
                (1..9)
                    .map(|n| slipreel_test_servers::client::ScriptedRequest {
                        length: 40,
                        ..unstreamed(n, 100)
                    })
                    .collect(),
            ),
            &(1..9).map(|n| (n, Some(Served))).collect::<Vec<_>>(),
        ),
        case(
            "an unstreamed answer breaks, and the request must not run twice",
            small_scenario(
                1,
                1,
                &garbage(5, "w-0"),
                vec![slipreel_test_servers::client::ScriptedRequest {
                    model: "filing".into(),
                    ..unstreamed(1, 100)
                }],
            ),
            &[(1, Some(Failed))],
        ),
        case(
            "an unstreamed answer whose deadline passes during decode",
            small_scenario(
                1,
                1,
                &trouble("slow", "w-0", 0, 4_000, 20.0),
                vec![slipreel_test_servers::client::ScriptedRequest {
                    length: 40,
                    patience: ms(2_000),
                    ..unstreamed(1, 100)
                }],
            ),
            &[(1, Some(Failed))],
        ),
    ]
}

fn cases() -> Vec<Case> {
    [client_disconnects(), engine_failures(), broken_answers(), unstreamed_answers()]
        .into_iter()
        .flatten()
        .collect()
}

fn assert_endings(case: &Case, run: &RunResult, transport: &str) {
    let name = format!("{} ({transport})", case.name);
    for (request, expected) in &case.endings {
        let last = run.results.iter().rfind(|r| r.attempt.request == *request);
        assert_eq!(
            last.and_then(|r| r.ending),
            *expected,
            "{name}: request {request}: {last:?} {:?}",
            run.log
        );
    }
    assert_clean(&name, run);
}

#[test]
fn each_request_ends_as_expected_in_memory() {
    for case in cases() {
        assert_endings(&case, &run_in_memory(&case.scenario), "memory");
    }
}

/// The same cases over loopback sockets. They run concurrently, as they take real time.
#[test]
fn each_request_ends_as_expected_over_sockets() {
    let cases = cases();
    std::thread::scope(|scope| {
        let runs: Vec<_> =
            cases.iter().map(|case| (case, scope.spawn(|| run_over_sockets(&case.scenario, None)))).collect();
        for (case, handle) in runs {
            let run = handle.join().expect("a run that does not panic").expect("a fleet that starts");
            assert_endings(case, &run, "sockets");
        }
    });
}
