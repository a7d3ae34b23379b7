//! The hard cases on the whole path: client, router, readers, writers. Each is played in memory and over sockets, and
//! has to end alike for each request, with every rule kept.

mod common;

use common::*;
use slipreel_invariants::Ending::{self, Failed, Refused, Served};
use slipreel_scenario::{run_in_memory, run_over_sockets, RunResult, Scenario};
use slipreel_test_servers::client::ClientBehaviour;

struct Case {
    name: &'static str,
    day: Scenario,
    /// How each request has to end; `None`: its client leaves or is cut off.
    ends: Vec<(u64, Option<Ending>)>,
}

fn case(name: &'static str, day: Scenario, ends: &[(u64, Option<Ending>)]) -> Case {
    Case { name, day, ends: ends.to_vec() }
}

/// Garbage by number, as in scripts.
fn garbage(kind: u32, whom: &str) -> String {
    trouble("garbage", whom, 0, 4_000, f64::from(kind))
}

fn clients_that_leave() -> Vec<Case> {
    let leaves = |n, after| with(plan(n, "plain", 100), ClientBehaviour::LeavesAfter(ms(after)));
    let slow_reader = trouble("slow", "r-0", 0, 5_000, 20.0);
    let deaf_writer = trouble("deaf", "w-0", 0, 5_000, 1.0);
    vec![
        case("leaves before the read ends", day(1, 1, &slow_reader, vec![leaves(1, 60)]), &[(1, None)]),
        case("leaves between read and write", day(1, 1, &deaf_writer, vec![leaves(1, 400)]), &[(1, None)]),
        case(
            "leaves in the midst of the stream",
            day(
                1,
                1,
                "",
                vec![with(plan(1, "plain", 100), ClientBehaviour::LeavesAtToken(5)), plan(2, "plain", 600)],
            ),
            &[(1, None), (2, Some(Served))],
        ),
        case(
            "half-closes where that is a leave",
            day(1, 1, "", vec![with(plan(1, "plain", 100), ClientBehaviour::HalfCloses)]),
            &[(1, None)],
        ),
        case(
            "half-closes where it still waits",
            day(
                1,
                1,
                "[bounds]\nhalf_close = yes\n",
                vec![with(plan(1, "plain", 100), ClientBehaviour::HalfCloses)],
            ),
            &[(1, Some(Served))],
        ),
        case(
            "sends a byte each millisecond",
            day(1, 1, "", vec![with(plan(1, "plain", 0), ClientBehaviour::SendsSlowly(ms(1)))]),
            &[(1, Some(Served))],
        ),
        case(
            "sends too slowly to come in whole",
            day(
                1,
                1,
                "[bounds]\nreceive = 300ms\n",
                vec![with(plan(1, "plain", 0), ClientBehaviour::SendsSlowly(ms(100)))],
            ),
            &[(1, Some(Failed))],
        ),
        case(
            "stops reading for a while",
            day(1, 1, "", vec![with(plan(1, "plain", 0), ClientBehaviour::StopsReading(ms(700)))]),
            &[(1, Some(Served))],
        ),
    ]
}

fn engines_that_die() -> Vec<Case> {
    let both = |a: &str, b: &str| format!("{a}{b}");
    let all = |n: u64| vec![plan(n, "plain", 100), plan(n + 1, "order", 100), plan(n + 2, "filing", 100)];
    let served = |n: u64| [(n, Some(Served)), (n + 1, Some(Served)), (n + 2, Some(Served))];
    vec![
        case(
            "a writer refuses connections, another does not",
            day(2, 2, &trouble("crash", "w-0", 0, 4_000, 1.0), all(1)),
            &served(1),
        ),
        case(
            "a reader dies in the midst of reading",
            day(
                2,
                1,
                &both(&trouble("slow", "r-0,r-1", 0, 3_000, 6.0), &trouble("crash", "r-0", 150, 4_000, 1.0)),
                (1..6).map(|n| plan(n, "plain", 100)).collect(),
            ),
            &(1..6).map(|n| (n, Some(Served))).collect::<Vec<_>>(),
        ),
        case(
            "a writer is deaf: what may run twice goes elsewhere",
            day(
                1,
                2,
                &trouble("deaf", "w-0", 0, 5_000, 1.0),
                (1..5).map(|n| plan(n, "plain", 100)).collect(),
            ),
            &(1..5).map(|n| (n, Some(Served))).collect::<Vec<_>>(),
        ),
        case(
            "an answer is lost and the request must not run twice",
            day(1, 1, &trouble("answer_lost", "w-0", 0, 5_000, 1.0), vec![plan(1, "filing", 100)]),
            &[(1, Some(Failed))],
        ),
        case(
            "a drain is told between send and first byte",
            day(
                1,
                2,
                &both(&trouble("slow", "w-0,w-1", 0, 900, 30.0), &trouble("drain", "w-0", 120, 2_500, 1.0)),
                (1..9).map(|n| plan(n, "plain", 100 + n * 20)).collect(),
            ),
            &(1..9).map(|n| (n, Some(Served))).collect::<Vec<_>>(),
        ),
        case(
            "a reader is cut off from one writer only",
            day(
                1,
                2,
                &trouble("link_cut", "w-0,r-0", 0, 5_000, 1.0),
                (1..6).map(|n| plan(n, "plain", 100)).collect(),
            ),
            &(1..6).map(|n| (n, Some(Served))).collect::<Vec<_>>(),
        ),
    ]
}

fn garbage_and_breaks() -> Vec<Case> {
    let one = |kind, whom, model| day(1, 1, &garbage(kind, whom), vec![plan(1, model, 100)]);
    let other = |kind| day(1, 2, &garbage(kind, "w-0"), (1..5).map(|n| plan(n, "plain", 100)).collect());
    let four: Vec<(u64, Option<Ending>)> = (1..5).map(|n| (n, Some(Served))).collect();
    vec![
        case("a writer that is no HTTP: another serves", other(0), &four),
        case("an endless head: another serves", other(1), &four),
        case("a wrong length: another serves", other(2), &four),
        case("two lengths: another serves", other(4), &four),
        case("no HTTP, and it must not run twice", one(0, "w-0", "filing"), &[(1, Some(Failed))]),
        case("breaks after the first event", one(5, "w-0", "plain"), &[(1, Some(Failed))]),
        case("breaks before its last event", one(6, "w-0", "plain"), &[(1, Some(Failed))]),
        case("breaks after its last event, before the mark", one(7, "w-0", "plain"), &[(1, Some(Served))]),
        case("a chunk whose size is no number", one(3, "w-0", "plain"), &[(1, Some(Failed))]),
        case("an event that is no JSON", one(9, "w-0", "plain"), &[(1, Some(Failed))]),
        case(
            "stops in the midst and stays",
            day(
                1,
                1,
                &format!("[bounds]\nsilent_stream = 500ms\n{}", garbage(8, "w-0")),
                vec![plan(1, "plain", 100)],
            ),
            &[(1, Some(Failed))],
        ),
        case(
            "a connection is closed in the moment that it is used",
            day(
                1,
                2,
                &trouble("closes_on_use", "w-0", 0, 4_000, 1.0),
                (1..5).map(|n| plan(n, "plain", 100)).collect(),
            ),
            &four,
        ),
        case(
            "closed in the moment of use, and it must not run twice",
            day(1, 1, &trouble("closes_on_use", "w-0", 0, 4_000, 1.0), vec![plan(1, "filing", 100)]),
            &[(1, Some(Failed))],
        ),
    ]
}

fn whole_answers() -> Vec<Case> {
    let whole =
        |n, at| slipreel_test_servers::client::ScriptedRequest { stream: false, ..plan(n, "plain", at) };
    vec![
        case("a whole answer", day(1, 1, "", vec![whole(1, 100)]), &[(1, Some(Served))]),
        case(
            "a whole answer that breaks at every try",
            day(1, 1, &garbage(5, "w-0"), vec![whole(1, 100)]),
            &[(1, Some(Refused))],
        ),
        case(
            "whole answers that break at one writer: another serves, as nothing has gone out",
            day(1, 2, &garbage(5, "w-0"), (1..6).map(|n| whole(n, 100)).collect()),
            &(1..6).map(|n| (n, Some(Served))).collect::<Vec<_>>(),
        ),
        case(
            "a writer dies in the midst of whole answers",
            day(
                1,
                2,
                &trouble("crash", "w-0", 300, 4_000, 1.0),
                (1..9)
                    .map(|n| slipreel_test_servers::client::ScriptedRequest { length: 40, ..whole(n, 100) })
                    .collect(),
            ),
            &(1..9).map(|n| (n, Some(Served))).collect::<Vec<_>>(),
        ),
        case(
            "a whole answer breaks, and it must not run twice",
            day(
                1,
                1,
                &garbage(5, "w-0"),
                vec![slipreel_test_servers::client::ScriptedRequest {
                    model: "filing".into(),
                    ..whole(1, 100)
                }],
            ),
            &[(1, Some(Failed))],
        ),
        case(
            "a whole answer whose time is up while it is written",
            day(
                1,
                1,
                &trouble("slow", "w-0", 0, 4_000, 20.0),
                vec![slipreel_test_servers::client::ScriptedRequest {
                    length: 40,
                    patience: ms(2_000),
                    ..whole(1, 100)
                }],
            ),
            &[(1, Some(Failed))],
        ),
    ]
}

fn cases() -> Vec<Case> {
    [clients_that_leave(), engines_that_die(), garbage_and_breaks(), whole_answers()]
        .into_iter()
        .flatten()
        .collect()
}

fn assert_ends(case: &Case, played: &RunResult, how: &str) {
    let name = format!("{} ({how})", case.name);
    for (request, end) in &case.ends {
        let last = played.results.iter().rfind(|r| r.attempt.request == *request);
        assert_eq!(last.and_then(|r| r.ending), *end, "{name}: request {request}: {last:?} {:?}", played.log);
    }
    assert_clean(&name, played);
}

#[test]
fn each_ends_as_it_has_to_in_memory() {
    for case in cases() {
        assert_ends(&case, &run_in_memory(&case.day), "memory");
    }
}

/// The same cases over loopback sockets, all at once: some seconds in all.
#[test]
fn each_ends_alike_over_sockets() {
    let cases = cases();
    std::thread::scope(|scope| {
        let plays: Vec<_> =
            cases.iter().map(|case| (case, scope.spawn(|| run_over_sockets(&case.day, None)))).collect();
        for (case, play) in plays {
            let played = play.join().expect("a play that does not panic").expect("a fleet that starts");
            assert_ends(case, &played, "sockets");
        }
    });
}
