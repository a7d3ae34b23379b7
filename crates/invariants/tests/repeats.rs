//! The judge of repeats: each clause catches a router that breaks it, and passes one just inside its bound.

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

/// Zone and cell of the engines that the tests name: `a1` stands in zone a and cell 1.
fn arrived(ms: u64, attempt: u64, request: &str, engine: &str) -> Fact {
    let place = Place { zone: engine[..1].into(), cell: engine[1..2].parse().expect("a cell") };
    let (attempt, request, engine) = (AttemptId(attempt), request.to_owned(), engine.to_owned());
    at(ms, Seen::Arrived { attempt, request, engine, place, is_prefill: false })
}

fn read(ms: u64, attempt: u64, request: &str) -> Fact {
    let place = Place { zone: "a".into(), cell: 1 };
    let (attempt, request, engine) = (AttemptId(attempt), request.to_owned(), "reader".to_owned());
    at(ms, Seen::Arrived { attempt, request, engine, place, is_prefill: true })
}

fn over(ms: u64, attempt: u64) -> Fact {
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
    judge(facts, &TERMS).into_iter().map(|b| b.clause).collect()
}

#[test]
fn an_unsafe_request_may_come_again_only_after_attempts_that_never_ran() {
    let proven = [
        asked("r", Effect::Unsafe),
        read(5, 1, "r"),
        over(9, 1),
        arrived(10, 2, "r", "a1"),
        turned_away(12, 2),
        read(15, 3, "r"),
        over(19, 3),
        arrived(20, 4, "r", "b2"),
        over(30, 4),
    ];
    assert_eq!(clauses(&proven), []);
    let again = [
        asked("r", Effect::Unsafe),
        arrived(10, 1, "r", "a1"),
        over(12, 1),
        arrived(20, 2, "r", "a1"),
        over(30, 2),
    ];
    assert_eq!(clauses(&again), [Clause::UnsafeAgain]);
}

#[test]
fn a_repeat_counts_also_if_it_is_turned_away_or_comes_before_its_original() {
    let turned = [
        asked("r", Effect::Unsafe),
        arrived(10, 1, "r", "a1"),
        over(12, 1),
        arrived(20, 2, "r", "b2"),
        turned_away(21, 2),
    ];
    assert_eq!(clauses(&turned), [Clause::UnsafeAgain]);
    // The first attempt's bytes were held up by a cut that lasted longer than the window.
    let late = [
        asked("r", keyed(Group::All)),
        arrived(20, 2, "r", "b2"),
        over(30, 2),
        arrived(900, 1, "r", "a1"),
        over(901, 1),
    ];
    assert_eq!(clauses(&late), [Clause::OutsideWindow]);
}

#[test]
fn a_request_that_nobody_asked_for_may_run_once() {
    let unknown = [arrived(10, 1, "r", "a1"), over(12, 1), arrived(20, 2, "r", "a1"), over(21, 2)];
    assert_eq!(clauses(&unknown), [Clause::UnsafeAgain]);
}

#[test]
fn a_safe_request_may_come_again_anywhere_and_at_any_time() {
    let facts = [
        asked("r", Effect::Safe),
        arrived(10, 1, "r", "a1"),
        over(12, 1),
        arrived(20_000, 2, "r", "b2"),
        over(20_001, 2),
        invited(20_002, "r"),
    ];
    assert_eq!(clauses(&facts), []);
}

#[test]
fn a_keyed_request_comes_again_only_within_its_group() {
    for (group, engine, is_broken) in [
        (Group::All, "b2", false),
        (Group::Zone, "a2", false),
        (Group::Zone, "b2", true),
        (Group::Cell, "a1", false),
        (Group::Cell, "a2", true),
    ] {
        let facts = [
            asked("r", keyed(group)),
            arrived(10, 1, "r", "a1"),
            over(12, 1),
            arrived(20, 2, "r", engine),
            over(30, 2),
        ];
        let expected = if is_broken { vec![Clause::OutsideGroup] } else { vec![] };
        assert_eq!(clauses(&facts), expected, "{group:?} {engine}");
    }
}

#[test]
fn a_keyed_request_comes_again_only_within_its_window() {
    for (ms, is_broken) in [(715, false), (716, true)] {
        let facts = [
            asked("r", keyed(Group::Zone)),
            arrived(10, 1, "r", "a1"),
            over(12, 1),
            arrived(ms, 2, "r", "a1"),
            over(ms + 5, 2),
        ];
        let expected = if is_broken { vec![Clause::OutsideWindow] } else { vec![] };
        assert_eq!(clauses(&facts), expected, "{ms}");
    }
    let at_once = Effect::Keyed { group: Group::All, window: Duration::ZERO };
    let facts =
        [asked("r", at_once), arrived(10, 1, "r", "a1"), over(12, 1), arrived(16, 2, "r", "a1"), over(17, 2)];
    assert_eq!(clauses(&facts), [Clause::OutsideWindow], "a window of zero allows no repeat");
}

#[test]
fn no_copy_comes_while_an_earlier_one_is_out() {
    for (over_at, is_broken) in [(25, false), (26, true)] {
        let facts = [
            asked("r", Effect::Safe),
            arrived(10, 1, "r", "a1"),
            arrived(20, 2, "r", "b2"),
            over(over_at, 1),
            over(40, 2),
        ];
        let expected = if is_broken { vec![Clause::SecondCopy] } else { vec![] };
        assert_eq!(clauses(&facts), expected, "{over_at}");
        let allowed = judge(&facts, &Terms { second_copies: true, ..TERMS });
        assert_eq!(allowed, [], "where the settings allow two");
    }
}

#[test]
fn what_may_have_run_and_must_not_be_repeated_is_not_turned_away() {
    for (effect, is_broken) in [
        (Effect::Unsafe, true),
        (keyed(Group::Cell), true),
        (keyed(Group::Zone), true),
        (keyed(Group::All), false),
        (Effect::Safe, false),
    ] {
        let ran = [asked("r", effect), arrived(10, 1, "r", "a1"), over(12, 1), invited(20, "r")];
        let expected = if is_broken { vec![Clause::Invited] } else { vec![] };
        assert_eq!(clauses(&ran), expected, "{effect:?}");
        let never_ran = [asked("r", effect), arrived(10, 1, "r", "a1"), turned_away(12, 1), invited(20, "r")];
        assert_eq!(clauses(&never_ran), [], "{effect:?}: it never ran");
        let after = [asked("r", effect), invited(20, "r"), arrived(30, 1, "r", "a1"), over(31, 1)];
        assert_eq!(clauses(&after), expected, "{effect:?}: it was still on its way");
    }
}

#[test]
fn an_invited_repeat_under_a_new_id_counts_with_its_original() {
    let facts = |ms| {
        [
            asked("r", keyed(Group::All)),
            arrived(10, 1, "r", "a1"),
            over(12, 1),
            invited(20, "r"),
            repeat_of(30, "s", keyed(Group::All), "r"),
            repeat_of(40, "t", keyed(Group::All), "s"),
            arrived(ms, 2, "t", "b2"),
            over(ms + 1, 2),
        ]
    };
    assert_eq!(clauses(&facts(715)), []);
    assert_eq!(clauses(&facts(716)), [Clause::OutsideWindow], "the repeat of a repeat, too late");
    let uninvited = [
        asked("r", Effect::Unsafe),
        arrived(10, 1, "r", "a1"),
        over(12, 1),
        asked("s", Effect::Unsafe),
        arrived(50, 2, "s", "a1"),
        over(60, 2),
    ];
    assert_eq!(clauses(&uninvited), [], "another request of its own");
}
