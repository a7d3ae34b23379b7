//! Tests of the checks on the acceptance terms: for each, a case just inside its limit and one just outside.

use slipreel_invariants::terms::shares::{shares, Floors, Group, Share, Traits};
use slipreel_invariants::terms::{judge, Answer, ColdBudget, Fact, Seen, Term, Terms};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn at(n: u64, seen: Seen) -> Fact {
    Fact { at: ms(n), seen }
}

fn arrived(n: u64, engine: &str, request: &str) -> Fact {
    at(n, Seen::AttemptArrived { engine: engine.into(), request: request.into(), work: 1.0 })
}

fn closed(n: u64, engine: &str, closed: bool) -> Fact {
    at(n, Seen::EngineListed { engine: engine.into(), closed })
}

fn violated_terms(facts: &[Fact], terms: &Terms, end: u64) -> Vec<Term> {
    judge(facts, terms, ms(end)).into_iter().map(|v| v.term).collect()
}

#[test]
fn a_drain_counts_from_when_discovery_lists_it_and_can_be_reached() {
    let terms = Terms::default();
    let last = 1_000 + 6_000 + 250 + 5;
    assert_eq!(violated_terms(&[closed(1_000, "e", true), arrived(last, "e", "a")], &terms, 20_000), []);
    assert_eq!(
        violated_terms(&[closed(1_000, "e", true), arrived(last + 1, "e", "a")], &terms, 20_000),
        [Term::Told]
    );
    // The discovery service can't be reached until 5 s, so the drain counts from then.
    let outage = [
        at(500, Seen::Reachable(false)),
        closed(1_000, "e", true),
        at(5_000, Seen::Reachable(true)),
        arrived(last + 3_999, "e", "a"),
    ];
    assert_eq!(violated_terms(&outage, &terms, 20_000), []);
    let late = [&outage[..], &[arrived(last + 4_001, "e", "b")]].concat();
    assert_eq!(violated_terms(&late, &terms, 20_000), [Term::Told]);
    // No violation if the discovery service is never reachable again, or if the engine opens again.
    assert_eq!(
        violated_terms(&[outage[0].clone(), outage[1].clone(), arrived(90_000, "e", "a")], &terms, 99_000),
        []
    );
    let back = [closed(1_000, "e", true), closed(9_000, "e", false), arrived(9_001, "e", "a")];
    assert_eq!(violated_terms(&back, &terms, 20_000), []);
}

#[test]
fn a_router_requests_the_list_in_time_once_discovery_is_back() {
    let asked = |n| at(n, Seen::Asked { router: "r".into() });
    let outage = [asked(10), at(1_000, Seen::Reachable(false)), at(2_000, Seen::Reachable(true))];
    let with = |n| [&outage[..], &[asked(n)]].concat();
    assert_eq!(violated_terms(&with(8_005), &Terms::default(), 20_000), []);
    assert_eq!(violated_terms(&with(8_006), &Terms::default(), 20_000), [Term::Asked]);
    assert_eq!(violated_terms(&outage, &Terms::default(), 8_000), [], "the run ended before the time limit");
}

/// Ten requests whose clients left at 1 s before any attempt. The first `sent` of them reach an engine at
/// `sent_at`.
fn left_while_waiting(sent: usize, sent_at: u64) -> Vec<Fact> {
    let name = |n: usize| format!("r{n}");
    let gone = (0..10).map(|n| at(1_000, Seen::ClientGone { request: name(n) }));
    let arrived_late = (0..sent).map(|n| arrived(sent_at, "e", &name(n)));
    gone.chain(arrived_late).collect()
}

#[test]
fn few_waiting_requests_are_sent_after_their_clients_left() {
    // This disables the other term, on each single attempt.
    let terms = Terms { client_left_delay: ms(60_000), ..Terms::default() };
    assert_eq!(violated_terms(&left_while_waiting(4, 1_306), &terms, 9_000), [], "fewer than five");
    assert_eq!(violated_terms(&left_while_waiting(5, 1_305), &terms, 9_000), [], "in time");
    assert_eq!(violated_terms(&left_while_waiting(5, 1_306), &terms, 9_000), [Term::SentOn]);
    // A request that was sent before its client left was not waiting.
    let mut sent_before = left_while_waiting(5, 1_306);
    sent_before.extend((0..5).map(|n| arrived(900, "e", &format!("r{n}"))));
    assert_eq!(violated_terms(&sent_before, &terms, 9_000), []);
    // Five of twenty are a quarter, which is the limit.
    let mut many = left_while_waiting(5, 1_306);
    many.extend((10..20).map(|n| at(1_000, Seen::ClientGone { request: format!("r{n}") })));
    assert_eq!(violated_terms(&many, &terms, 9_000), []);
}

/// Streams of two events each. In the first `late` streams the second event reaches its client after `delay`
/// ms.
fn streams(count: usize, late: usize, delay: u64) -> Vec<Fact> {
    let stream = |n: usize| {
        let request = format!("r{n}");
        let written = |when, events| at(when, Seen::EventsWritten { request: request.clone(), events });
        let passed = |when, events| at(when, Seen::EventsPassed { request: request.clone(), events });
        let second = if n < late { 2_000 + delay } else { 2_001 };
        vec![written(1_000, 1), passed(1_001, 1), written(2_000, 2), passed(second, 2)]
    };
    (0..count).flat_map(stream).collect()
}

#[test]
fn events_reach_their_clients_in_time_in_all_streams_but_one_of_twenty() {
    let terms = Terms::default();
    assert_eq!(violated_terms(&streams(19, 1, 305), &terms, 9_000), []);
    assert_eq!(violated_terms(&streams(20, 1, 306), &terms, 9_000), []);
    assert_eq!(violated_terms(&streams(19, 1, 306), &terms, 9_000), [Term::Passed]);
    // An event that arrives together with the next one is as late as the next one.
    let lumped = [
        at(1_000, Seen::EventsWritten { request: "a".into(), events: 1 }),
        at(1_400, Seen::EventsWritten { request: "a".into(), events: 2 }),
        at(1_401, Seen::EventsPassed { request: "a".into(), events: 2 }),
    ];
    assert_eq!(violated_terms(&lumped, &terms, 9_000), [Term::Passed]);
    // An event that never arrived belongs to a stream that broke.
    assert_eq!(violated_terms(&lumped[..2], &terms, 9_000), []);
}

#[test]
fn an_attempt_arrives_at_most_a_tenth_of_a_second_after_its_client_left() {
    let gone = at(1_000, Seen::ClientGone { request: "a".into() });
    assert_eq!(
        violated_terms(
            &[gone.clone(), arrived(1_105, "e", "a"), arrived(9_000, "e", "b")],
            &Terms::default(),
            9_999
        ),
        []
    );
    assert_eq!(violated_terms(&[gone, arrived(1_106, "e", "a")], &Terms::default(), 9_999), [Term::Gone]);
}

#[test]
fn a_cold_engine_gets_at_most_its_budget_and_random_variation_in_any_window() {
    let budget =
        ColdBudget { window: ms(2_000), multiple: 2.5, from: 0.25, warm_after: ms(10_000), warm: 10.0 };
    let terms = Terms { cold: Some(budget), ..Terms::default() };
    // The budget is 12.5 at the start, and 2 * sqrt(12.5) + 2 of random variation makes it 21.57.
    let start = at(1_000, Seen::Started { engine: "e".into() });
    let sent =
        |count: u64, from: u64| (0..count).map(move |n| arrived(from + n, "e", &format!("{from}-{n}")));
    let of = |all: Vec<Fact>| [&[start.clone()][..], &all].concat();
    assert_eq!(violated_terms(&of(sent(21, 1_000).collect()), &terms, 20_000), []);
    assert_eq!(violated_terms(&of(sent(23, 1_000).collect()), &terms, 20_000), [Term::Cold]);
    // Two windows that don't overlap, then a warm engine.
    let spread = sent(20, 1_000).chain(sent(20, 3_100)).chain(sent(90, 11_100)).collect();
    assert_eq!(violated_terms(&of(spread), &terms, 20_000), []);
    // The budget grows with the engine's age: 32.5 in a window four seconds after the start.
    assert_eq!(violated_terms(&of(sent(40, 5_000).collect()), &terms, 20_000), []);
    assert!((budget.at(ms(4_000)) - 27.5).abs() < 1e-9 && (budget.at(ms(99_000)) - 50.0).abs() < 1e-9);
}

#[test]
fn nine_in_ten_started_routers_are_ready_in_time() {
    let starts = |late: usize| -> Vec<Fact> {
        let one = |n: usize| {
            let router = format!("r{n}");
            let ready = if n < late { 11_000 } else { 9_000 };
            [at(0, Seen::Launched { router: router.clone() }), at(ready, Seen::Ready { router })]
        };
        (0..20).flat_map(one).collect()
    };
    assert_eq!(violated_terms(&starts(2), &Terms::default(), 20_000), []);
    assert_eq!(violated_terms(&starts(3), &Terms::default(), 20_000), [Term::Ready]);
    // A router that was ended before its time limit is checked up to its end.
    let again = [
        at(0, Seen::Launched { router: "r".into() }),
        at(4_000, Seen::Launched { router: "r".into() }),
        at(5_000, Seen::Ready { router: "r".into() }),
    ];
    assert_eq!(violated_terms(&again, &Terms::default(), 20_000), []);
}

/// Requests to one router, one every 100 ms from 1 s on, each with a deadline 3 s later and its answer, if
/// any, after 50 ms.
fn asked(router: &str, answers: &[Option<Answer>]) -> Vec<Fact> {
    let one = |(n, answer): (usize, &Option<Answer>)| {
        let (request, when) = (format!("{router}-{n}"), 1_000 + 100 * n as u64);
        let sent = Seen::Sent { router: router.into(), request: request.clone(), due: ms(when + 3_000) };
        let answered = answer.map(|answer| at(when + 50, Seen::Answered { request, answer }));
        [Some(at(when, sent)), answered]
    };
    answers.iter().enumerate().flat_map(one).flatten().collect()
}

#[test]
fn few_requests_have_no_answer_by_their_deadline() {
    let watched = Terms { unanswered_in: Some(500), ..Terms::default() };
    let served = Some(Answer::Served);
    let with = |left: usize, of: usize| {
        let mut answers = vec![served; of];
        answers[..left].fill(None);
        violated_terms(&asked("n", &answers), &watched, 200_000)
    };
    assert_eq!([with(5, 400), with(6, 400)], [vec![], vec![Term::Unanswered]]);
    assert_eq!([with(6, 500), with(7, 500)], [vec![], vec![Term::Unanswered]], "one in 500 more");
    // A stream that began before its deadline may end after it.
    let late = |when| {
        let passed = |n| at(when, Seen::EventsPassed { request: format!("n-{n}"), events: 1 });
        let facts =
            [asked("n", &[&[None; 6][..], &[served; 20]].concat()), (0..6).map(passed).collect()].concat();
        violated_terms(&facts, &watched, 60_000)
    };
    assert_eq!([late(3_900), late(4_600)], [vec![], vec![Term::Unanswered]]);
    // A client has to retry what a router held when it was killed. The end of another router excuses nothing.
    let ended = |router: &str| {
        let ending = at(2_000, Seen::RouterEnding { router: router.into() });
        violated_terms(&[asked("n", &[None; 10]), vec![ending]].concat(), &watched, 60_000)
    };
    assert_eq!([ended("n"), ended("m")], [vec![], vec![Term::Unanswered]]);
    // Requests whose clients left, or whose deadline is after the end of the run, need no answer.
    let mut facts = asked("n", &[&[None; 6][..], &[served; 20]].concat());
    assert_eq!(violated_terms(&facts, &watched, 4_000), []);
    facts.push(at(1_010, Seen::ClientGone { request: "n-0".into() }));
    assert_eq!(violated_terms(&facts, &watched, 60_000), []);
}

#[test]
fn a_router_that_serves_no_request_is_reported() {
    let failed = [Some(Answer::Failed); 15];
    assert_eq!(violated_terms(&asked("n", &failed), &Terms::default(), 60_000), [Term::ServesNobody]);
    assert_eq!(violated_terms(&asked("n", &failed[1..]), &Terms::default(), 60_000), [], "too few requests");
    let one = [&failed[..], &[Some(Answer::Served)]].concat();
    assert_eq!(violated_terms(&asked("n", &one), &Terms::default(), 60_000), []);
}

#[test]
fn routers_that_refuse_all_requests_for_long_are_reported_on_quiet_days() {
    let quiet = Terms { turns_away: Some(ms(4_000)), ..Terms::default() };
    let (served, refused) = ([Some(Answer::Served)], [Some(Answer::Refused)]);
    let all = [&served[..], &refused.repeat(41)].concat();
    assert_eq!(violated_terms(&asked("n", &all), &quiet, 60_000), [Term::TurnsAway]);
    assert_eq!(violated_terms(&asked("n", &all), &Terms::default(), 60_000), [], "the day is not quiet");
    assert_eq!(violated_terms(&asked("n", &all[..41]), &quiet, 60_000), [], "for 3.9 s");
    let mut tried = asked("n", &all);
    tried.push(arrived(3_000, "e", "n-20"));
    assert_eq!(violated_terms(&tried, &quiet, 60_000), [], "with an attempt in between");
    // One router in ten is permitted to.
    let mut ten = asked("n", &all);
    (0..9).for_each(|n| ten.extend(asked(&format!("m{n}"), &served)));
    assert_eq!(violated_terms(&ten, &quiet, 60_000), []);
}

#[test]
fn an_attempt_names_no_more_time_than_its_client_still_waits() {
    let sent = at(1_000, Seen::Sent { router: "r".into(), request: "a".into(), due: ms(3_000) });
    let named =
        |n, left| at(n, Seen::DeadlineTold { engine: "e".into(), request: "a".into(), left: ms(left) });
    assert_eq!(violated_terms(&[sent.clone(), named(2_000, 1_155)], &Terms::default(), 9_000), []);
    assert_eq!(
        violated_terms(&[sent.clone(), named(2_000, 1_156)], &Terms::default(), 9_000),
        [Term::Deadline]
    );
    assert_eq!(
        violated_terms(&[sent, named(3_500, 156)], &Terms::default(), 9_000),
        [Term::Deadline],
        "the deadline has passed"
    );
}

#[test]
fn a_connection_is_not_closed_without_an_answer_to_a_request_that_was_read() {
    let closed = |n, first_on_connection| {
        let (router, request) = ("r".to_owned(), "a".to_owned());
        at(n, Seen::ClosedUnanswered { router, request, first_on_connection })
    };
    let killed = |n| at(n, Seen::Killed { router: "r".into() });
    let terms = Terms::default();
    assert_eq!(
        violated_terms(&[closed(2_000, true)], &terms, 9_000),
        [Term::ClosedUnanswered],
        "on a new connection"
    );
    assert_eq!(
        violated_terms(&[closed(2_000, false)], &terms, 9_000),
        [],
        "the close may have crossed the request"
    );
    let sent_on = [arrived(1_500, "e", "a"), closed(2_000, false)];
    assert_eq!(
        violated_terms(&sent_on, &terms, 9_000),
        [Term::ClosedUnanswered],
        "the router read it and sent it to an engine"
    );
    assert_eq!(
        violated_terms(&[killed(1_990), closed(2_000, true)], &terms, 9_000),
        [],
        "its router was killed"
    );
    let later = [killed(500), closed(2_000, true)];
    assert_eq!(
        violated_terms(&later, &terms, 9_000),
        [Term::ClosedUnanswered],
        "its router was killed long before"
    );
}

#[test]
fn a_small_cold_budget_has_more_slack_in_the_acceptance_terms() {
    let near = |n: f64, slack: f64| (ColdBudget::accepted_slack(n) - slack).abs() < 1e-9;
    assert!(near(1.0, 6.0) && near(25.0, 18.0));
    assert!(near(36.0, 14.0) && near(30.0, 2.0 * 30.0_f64.sqrt() + 2.0));
}

/// Requests of one class, one every 10 ms, given by session, prompt length and answer.
fn described(requests: &[(u64, f64, Answer)]) -> Vec<Fact> {
    let mut facts = Vec::new();
    for (n, &(session, prompt_tokens, answer)) in requests.iter().enumerate() {
        let (request, tenant) = (format!("r{n}"), format!("t{}", n % 2));
        let traits = Traits { class: "chat".into(), effect: "safe".into(), tenant, session, prompt_tokens };
        let time = 10 * n as u64;
        facts.push(at(time, Seen::Described { request: request.clone(), traits }));
        facts.push(at(time + 5, Seen::Answered { request, answer }));
    }
    facts
}

/// A hundred requests. Of the longest quarter, 25 requests, the first `served` are served, and of the others
/// all are.
fn served_among_the_longest(served: usize) -> Vec<Fact> {
    let requests: Vec<(u64, f64, Answer)> = (0..100)
        .map(|n| {
            let is_served = n >= 25 || n < served;
            (n as u64, 1_000.0 - n as f64, if is_served { Answer::Served } else { Answer::Failed })
        })
        .collect();
    described(&requests)
}

#[test]
fn the_longest_prompts_are_served_nearly_as_often_as_their_class() {
    // 15 of 25 are 0.6, which is two thirds of the class's 0.9. One less is under it.
    let terms = |part| Terms { long_prompts: Some(part), ..Terms::default() };
    assert_eq!(violated_terms(&served_among_the_longest(15), &terms(2.0 / 3.0 - 1e-9), 9_000), []);
    assert_eq!(violated_terms(&served_among_the_longest(14), &terms(2.0 / 3.0), 9_000), [Term::LongPrompts]);
    assert_eq!(
        violated_terms(&served_among_the_longest(14), &terms(0.5), 9_000),
        [],
        "the limit of a day that is not quiet"
    );
    assert_eq!(violated_terms(&served_among_the_longest(0), &Terms::default(), 9_000), [], "not checked");
}

#[test]
fn refusals_are_independent_draws_for_each_turn() {
    let terms = Terms { refused_sessions: Some(0.12), ..Terms::default() };
    // Fifty sessions of two turns. If 13 have all turns refused, 0.38 of all turns are refused: chance
    // predicts 7.2 sessions, and 6 more are permitted. For 14 chance predicts 7.6.
    let sessions = |all_refused: u64| {
        let turns = (0..50).flat_map(|session| {
            let both = session < all_refused;
            let one = !both && session < 50 - all_refused && session >= 25;
            let first = if both { Answer::Refused } else { Answer::Served };
            let second = if both || one { Answer::Refused } else { Answer::Served };
            [(session, 100.0, first), (session, 100.0, second)]
        });
        described(&turns.collect::<Vec<_>>())
    };
    assert_eq!(violated_terms(&sessions(13), &terms, 9_000), []);
    assert_eq!(violated_terms(&sessions(14), &terms, 9_000), [Term::RefusedSessions]);
}

#[test]
fn every_group_has_its_least_share() {
    let requests: Vec<(u64, f64, Answer)> = (0..90)
        .map(|n| (n, 100.0, if n < 60 || n % 3 == 0 { Answer::Served } else { Answer::Refused }))
        .collect();
    let facts = described(&requests);
    let shares = shares(&facts);
    assert_eq!(shares[&Group::Class("chat".into())], Share { asked: 90, served: 70 });
    assert_eq!(shares[&Group::Third(0)].part(), 1.0);
    assert!(shares[&Group::Third(2)].part() < 0.4, "{shares:?}");
    let floors = |third| Terms {
        floors: Some(Floors { class: 0.5, effect: 0.5, tenant: 0.5, third }),
        ..Terms::default()
    };
    assert_eq!(violated_terms(&facts, &floors(0.2), 9_000), []);
    assert_eq!(violated_terms(&facts, &floors(0.5), 9_000), [Term::Floor], "the last third");
}
