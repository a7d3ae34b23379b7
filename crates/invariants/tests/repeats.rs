//! Tests of the check on repeated requests: each clause reports a case just outside its limit and accepts one
//! just inside.

use slipreel_invariants::repeats::{judge, AttemptId, Clause, Effect, Fact, Group, Place, Seen, Terms};
use std::time::Duration;

const TERMS: Terms = Terms { second_copies: false, wire: Duration::from_millis(5) };
const WINDOW: Duration = Duration::from_millis(700);

fn at(ms: u64, seen: Seen) -> Fact {
    Fact { at: Duration::from_millis(ms), seen }
}

fn keyed(group: Group) -> Effect {
    Effect::Keyed { group, window: WINDOW }
}

fn asked(request: &str, effect: Effect) -> Fact {
    at(0, Seen::Asked { request: request.into(), effect, repeats: None })
}

/// An attempt arrived at an engine. The engine's name gives its zone and cell: `a1` is in zone a and cell 1.
fn arrived(ms: u64, attempt: u64, request: &str, engine: &str) -> Fact {
    let place = Place { zone: engine[..1].into(), cell: engine[1..2].parse().expect("a cell") };
    let (attempt, request, engine) = (AttemptId(attempt), request.to_owned(), engine.to_owned());
    at(ms, Seen::Arrived { attempt, request, engine, place, is_prefill: false })
}

fn prefill_arrived(ms: u64, attempt: u64, request: &str) -> Fact {
    let place = Place { zone: "a".into(), cell: 1 };
    let (attempt, request, engine) = (AttemptId(attempt), request.to_owned(), "prefill".to_owned());
    at(ms, Seen::Arrived { attempt, request, engine, place, is_prefill: true })
}

fn finished(ms: u64, attempt: u64) -> Fact {
    at(ms, Seen::Finished(AttemptId(attempt)))
}

fn turned_away(ms: u64, attempt: u64) -> Fact {
    at(ms, Seen::TurnedAway(AttemptId(attempt)))
}

fn invited(ms: u64, request: &str) -> Fact {
    at(ms, Seen::Invited { request: request.into() })
}

fn repeat_of(ms: u64, request: &str, effect: Effect, original: &str) -> Fact {
    at(ms, Seen::Asked { request: request.into(), effect, repeats: Some(original.into()) })
}

fn clauses(facts: &[Fact]) -> Vec<Clause> {
    judge(facts, &TERMS).into_iter().map(|v| v.clause).collect()
}

#[test]
fn an_unsafe_request_may_be_repeated_only_after_attempts_that_never_ran() {
    let never_ran = [
        asked("r", Effect::Unsafe),
        prefill_arrived(5, 1, "r"),
        finished(9, 1),
        arrived(10, 2, "r", "a1"),
        turned_away(12, 2),
        prefill_arrived(15, 3, "r"),
        finished(19, 3),
        arrived(20, 4, "r", "b2"),
        finished(30, 4),
    ];
    assert_eq!(clauses(&never_ran), []);
    let repeated = [
        asked("r", Effect::Unsafe),
        arrived(10, 1, "r", "a1"),
        finished(12, 1),
        arrived(20, 2, "r", "a1"),
        finished(30, 2),
    ];
    assert_eq!(clauses(&repeated), [Clause::UnsafeAgain]);
}

#[test]
fn a_repeat_counts_even_if_it_is_refused_or_arrives_before_its_original() {
    let refused = [
        asked("r", Effect::Unsafe),
        arrived(10, 1, "r", "a1"),
        finished(12, 1),
        arrived(20, 2, "r", "b2"),
        turned_away(21, 2),
    ];
    assert_eq!(clauses(&refused), [Clause::UnsafeAgain]);
    // A cut link delayed the first attempt for longer than the window.
    let late = [
        asked("r", keyed(Group::All)),
        arrived(20, 2, "r", "b2"),
        finished(30, 2),
        arrived(900, 1, "r", "a1"),
        finished(901, 1),
    ];
    assert_eq!(clauses(&late), [Clause::OutsideWindow]);
}

#[test]
fn a_request_that_no_client_noted_may_run_once() {
    let unknown = [arrived(10, 1, "r", "a1"), finished(12, 1), arrived(20, 2, "r", "a1"), finished(21, 2)];
    assert_eq!(clauses(&unknown), [Clause::UnsafeAgain]);
}

#[test]
fn a_safe_request_may_be_repeated_anywhere_and_at_any_time() {
    let facts = [
        asked("r", Effect::Safe),
        arrived(10, 1, "r", "a1"),
        finished(12, 1),
        arrived(20_000, 2, "r", "b2"),
        finished(20_001, 2),
        invited(20_002, "r"),
    ];
    assert_eq!(clauses(&facts), []);
}

#[test]
fn a_keyed_request_is_repeated_only_within_its_group() {
    for (group, engine, is_violation) in [
        (Group::All, "b2", false),
        (Group::Zone, "a2", false),
        (Group::Zone, "b2", true),
        (Group::Cell, "a1", false),
        (Group::Cell, "a2", true),
    ] {
        let facts = [
            asked("r", keyed(group)),
            arrived(10, 1, "r", "a1"),
            finished(12, 1),
            arrived(20, 2, "r", engine),
            finished(30, 2),
        ];
        let expected = if is_violation { vec![Clause::OutsideGroup] } else { vec![] };
        assert_eq!(clauses(&facts), expected, "{group:?} {engine}");
    }
}

#[test]
fn a_keyed_request_is_repeated_only_within_its_window() {
    for (ms, is_violation) in [(715, false), (716, true)] {
        let facts = [
            asked("r", keyed(Group::Zone)),
            arrived(10, 1, "r", "a1"),
            finished(12, 1),
            arrived(ms, 2, "r", "a1"),
            finished(ms + 5, 2),
        ];
        let expected = if is_violation { vec![Clause::OutsideWindow] } else { vec![] };
        assert_eq!(clauses(&facts), expected, "{ms}");
    }
    let zero_window = Effect::Keyed { group: Group::All, window: Duration::ZERO };
    let facts = [
        asked("r", zero_window),
        arrived(10, 1, "r", "a1"),
        finished(12, 1),
        arrived(16, 2, "r", "a1"),
        finished(17, 2),
    ];
    assert_eq!(clauses(&facts), [Clause::OutsideWindow], "a window of zero allows no repeat");
}

#[test]
fn no_attempt_arrives_while_an_earlier_one_is_active() {
    for (finished_at, is_violation) in [(25, false), (26, true)] {
        let facts = [
            asked("r", Effect::Safe),
            arrived(10, 1, "r", "a1"),
            arrived(20, 2, "r", "b2"),
            finished(finished_at, 1),
            finished(40, 2),
        ];
        let expected = if is_violation { vec![Clause::SecondCopy] } else { vec![] };
        assert_eq!(clauses(&facts), expected, "{finished_at}");
        let allowed = judge(&facts, &Terms { second_copies: true, ..TERMS });
        assert_eq!(allowed, [], "the settings permit two active attempts");
    }
}

#[test]
fn a_request_that_may_have_run_and_must_not_be_repeated_is_not_refused_as_harmless() {
    for (effect, is_violation) in [
        (Effect::Unsafe, true),
        (keyed(Group::Cell), true),
        (keyed(Group::Zone), true),
        (keyed(Group::All), false),
        (Effect::Safe, false),
    ] {
        let ran = [asked("r", effect), arrived(10, 1, "r", "a1"), finished(12, 1), invited(20, "r")];
        let expected = if is_violation { vec![Clause::Invited] } else { vec![] };
        assert_eq!(clauses(&ran), expected, "{effect:?}");
        let never_ran = [asked("r", effect), arrived(10, 1, "r", "a1"), turned_away(12, 1), invited(20, "r")];
        assert_eq!(clauses(&never_ran), [], "{effect:?}: it never ran");
        let after = [asked("r", effect), invited(20, "r"), arrived(30, 1, "r", "a1"), finished(31, 1)];
        assert_eq!(clauses(&after), expected, "{effect:?}: the attempt was still in transit");
    }
}

#[test]
fn an_invited_repeat_under_a_new_id_counts_with_its_original() {
    let facts = |ms| {
        [
            asked("r", keyed(Group::All)),
            arrived(10, 1, "r", "a1"),
            finished(12, 1),
            invited(20, "r"),
            repeat_of(30, "s", keyed(Group::All), "r"),
            repeat_of(40, "t", keyed(Group::All), "s"),
            arrived(ms, 2, "t", "b2"),
            finished(ms + 1, 2),
        ]
    };
    assert_eq!(clauses(&facts(715)), []);
    assert_eq!(clauses(&facts(716)), [Clause::OutsideWindow], "the repeat of a repeat arrived too late");
    let uninvited = [
        asked("r", Effect::Unsafe),
        arrived(10, 1, "r", "a1"),
        finished(12, 1),
        asked("s", Effect::Unsafe),
        arrived(50, 2, "s", "a1"),
        finished(60, 2),
    ];
    assert_eq!(clauses(&uninvited), [], "an independent request");
}
