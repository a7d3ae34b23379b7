//! The judge of the acceptance's terms: for each, what is just inside and what is just beyond.

use slipreel_invariants::terms::shares::{shares, Floors, Group, Share, Traits};
use slipreel_invariants::terms::{judge, Answer, ColdBudget, Fact, Seen, Term, Terms};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn at(n: u64, seen: Seen) -> Fact {
    Fact { at: ms(n), seen }
}

fn begun(n: u64, engine: &str, request: &str) -> Fact {
    at(n, Seen::AttemptArrived { engine: engine.into(), request: request.into(), work: 1.0 })
}

fn closed(n: u64, engine: &str, closed: bool) -> Fact {
    at(n, Seen::EngineListed { engine: engine.into(), closed })
}

fn broken(facts: &[Fact], terms: &Terms, end: u64) -> Vec<Term> {
    judge(facts, terms, ms(end)).into_iter().map(|b| b.term).collect()
}

#[test]
fn a_drain_counts_from_when_discovery_had_it_and_could_be_reached() {
    let terms = Terms::default();
    let last = 1_000 + 6_000 + 250 + 5;
    assert_eq!(broken(&[closed(1_000, "e", true), begun(last, "e", "a")], &terms, 20_000), []);
    assert_eq!(broken(&[closed(1_000, "e", true), begun(last + 1, "e", "a")], &terms, 20_000), [Term::Told]);
    // Out of reach until 5 s: from then on.
    let outage = [
        at(500, Seen::Reachable(false)),
        closed(1_000, "e", true),
        at(5_000, Seen::Reachable(true)),
        begun(last + 3_999, "e", "a"),
    ];
    assert_eq!(broken(&outage, &terms, 20_000), []);
    let late = [&outage[..], &[begun(last + 4_001, "e", "b")]].concat();
    assert_eq!(broken(&late, &terms, 20_000), [Term::Told]);
    // Never in reach again, and taken back.
    assert_eq!(broken(&[outage[0].clone(), outage[1].clone(), begun(90_000, "e", "a")], &terms, 99_000), []);
    let back = [closed(1_000, "e", true), closed(9_000, "e", false), begun(9_001, "e", "a")];
    assert_eq!(broken(&back, &terms, 20_000), []);
}

#[test]
fn who_has_asked_before_asks_again_in_time_once_discovery_is_back() {
    let asked = |n| at(n, Seen::Asked { router: "r".into() });
    let outage = [asked(10), at(1_000, Seen::Reachable(false)), at(2_000, Seen::Reachable(true))];
    let with = |n| [&outage[..], &[asked(n)]].concat();
    assert_eq!(broken(&with(8_005), &Terms::default(), 20_000), []);
    assert_eq!(broken(&with(8_006), &Terms::default(), 20_000), [Term::Asked]);
    assert_eq!(broken(&outage, &Terms::default(), 8_000), [], "the run was over before its time was");
}

/// Ten requests whose clients left before any attempt at 1 s; the first `sent` are sent on at this time.
fn left_while_waiting(sent: usize, sent_at: u64) -> Vec<Fact> {
    let name = |n: usize| format!("r{n}");
    let gone = (0..10).map(|n| at(1_000, Seen::ClientGone { request: name(n) }));
    let begun = (0..sent).map(|n| begun(sent_at, "e", &name(n)));
    gone.chain(begun).collect()
}

#[test]
fn requests_that_waited_as_their_clients_left_are_not_sent_on_but_for_a_few() {
    // The other term, on each single attempt, is left out here.
    let terms = Terms { gone: ms(60_000), ..Terms::default() };
    assert_eq!(broken(&left_while_waiting(4, 1_306), &terms, 9_000), [], "fewer than five");
    assert_eq!(broken(&left_while_waiting(5, 1_305), &terms, 9_000), [], "in time");
    assert_eq!(broken(&left_while_waiting(5, 1_306), &terms, 9_000), [Term::SentOn]);
    // One that had been sent before its client left did not wait.
    let mut sent_before = left_while_waiting(5, 1_306);
    sent_before.extend((0..5).map(|n| begun(900, "e", &format!("r{n}"))));
    assert_eq!(broken(&sent_before, &terms, 9_000), []);
    // Five of twenty are a quarter and no more.
    let mut many = left_while_waiting(5, 1_306);
    many.extend((10..20).map(|n| at(1_000, Seen::ClientGone { request: format!("r{n}") })));
    assert_eq!(broken(&many, &terms, 9_000), []);
}

/// Streams of two events each; the second of the first `late` ones takes `delay` to its client.
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
    assert_eq!(broken(&streams(19, 1, 305), &terms, 9_000), []);
    assert_eq!(broken(&streams(20, 1, 306), &terms, 9_000), []);
    assert_eq!(broken(&streams(19, 1, 306), &terms, 9_000), [Term::Passed]);
    // Lumped together with the next one an event is as late as that.
    let lumped = [
        at(1_000, Seen::EventsWritten { request: "a".into(), events: 1 }),
        at(1_400, Seen::EventsWritten { request: "a".into(), events: 2 }),
        at(1_401, Seen::EventsPassed { request: "a".into(), events: 2 }),
    ];
    assert_eq!(broken(&lumped, &terms, 9_000), [Term::Passed]);
    // One that never came belongs to a stream that broke.
    assert_eq!(broken(&lumped[..2], &terms, 9_000), []);
}

#[test]
fn an_attempt_begins_no_later_than_a_tenth_of_a_second_after_its_client_has_gone() {
    let gone = at(1_000, Seen::ClientGone { request: "a".into() });
    assert_eq!(
        broken(&[gone.clone(), begun(1_105, "e", "a"), begun(9_000, "e", "b")], &Terms::default(), 9_999),
        []
    );
    assert_eq!(broken(&[gone, begun(1_106, "e", "a")], &Terms::default(), 9_999), [Term::Gone]);
}

#[test]
fn a_cold_engine_gets_its_budget_and_chance_in_any_window_and_no_more() {
    let budget =
        ColdBudget { window: ms(2_000), multiple: 2.5, from: 0.25, warm_after: ms(10_000), warm: 10.0 };
    let terms = Terms { cold: Some(budget), ..Terms::default() };
    // 12.5 at the start, and 2 root 12.5 + 2 of chance: 21.57.
    let start = at(1_000, Seen::Started { engine: "e".into() });
    let sent = |count: u64, from: u64| (0..count).map(move |n| begun(from + n, "e", &format!("{from}-{n}")));
    let of = |all: Vec<Fact>| [&[start.clone()][..], &all].concat();
    assert_eq!(broken(&of(sent(21, 1_000).collect()), &terms, 20_000), []);
    assert_eq!(broken(&of(sent(23, 1_000).collect()), &terms, 20_000), [Term::Cold]);
    // Spread over two windows that share nothing; then warm.
    let spread = sent(20, 1_000).chain(sent(20, 3_100)).chain(sent(90, 11_100)).collect();
    assert_eq!(broken(&of(spread), &terms, 20_000), []);
    // Later it may have more: 32.5 in a window four seconds on.
    assert_eq!(broken(&of(sent(40, 5_000).collect()), &terms, 20_000), []);
    assert!((budget.at(ms(4_000)) - 27.5).abs() < 1e-9 && (budget.at(ms(99_000)) - 50.0).abs() < 1e-9);
}

#[test]
fn nine_in_ten_of_those_started_are_ready_in_time() {
    let starts = |late: usize| -> Vec<Fact> {
        let one = |n: usize| {
            let router = format!("r{n}");
            let ready = if n < late { 11_000 } else { 9_000 };
            [at(0, Seen::Launched { router: router.clone() }), at(ready, Seen::Ready { router })]
        };
        (0..20).flat_map(one).collect()
    };
    assert_eq!(broken(&starts(2), &Terms::default(), 20_000), []);
    assert_eq!(broken(&starts(3), &Terms::default(), 20_000), [Term::Ready]);
    // Ended before it could be: judged as long as it ran.
    let again = [
        at(0, Seen::Launched { router: "r".into() }),
        at(4_000, Seen::Launched { router: "r".into() }),
        at(5_000, Seen::Ready { router: "r".into() }),
    ];
    assert_eq!(broken(&again, &Terms::default(), 20_000), []);
}

/// Requests to one router, one every 100 ms from 1 s on, each due 3 s later, and what each is answered after 50 ms.
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
fn requests_have_their_answer_in_time_but_for_a_few() {
    let watched = Terms { unanswered_in: Some(500), ..Terms::default() };
    let served = Some(Answer::Served);
    let with = |left: usize, of: usize| {
        let mut answers = vec![served; of];
        answers[..left].fill(None);
        broken(&asked("n", &answers), &watched, 200_000)
    };
    assert_eq!([with(5, 400), with(6, 400)], [vec![], vec![Term::Unanswered]]);
    assert_eq!([with(6, 500), with(7, 500)], [vec![], vec![Term::Unanswered]], "one in 500 more");
    // A stream that has begun in time may end later.
    let late = |when| {
        let passed = |n| at(when, Seen::EventsPassed { request: format!("n-{n}"), events: 1 });
        let facts =
            [asked("n", &[&[None; 6][..], &[served; 20]].concat()), (0..6).map(passed).collect()].concat();
        broken(&facts, &watched, 60_000)
    };
    assert_eq!([late(3_900), late(4_600)], [vec![], vec![Term::Unanswered]]);
    // What a router held as it was killed is its client's to send again; another router's end excuses none.
    let ended = |router: &str| {
        let ending = at(2_000, Seen::RouterEnding { router: router.into() });
        broken(&[asked("n", &[None; 10]), vec![ending]].concat(), &watched, 60_000)
    };
    assert_eq!([ended("n"), ended("m")], [vec![], vec![Term::Unanswered]]);
    // Those whose clients left are owed none, and neither are those whose time is not up.
    let mut facts = asked("n", &[&[None; 6][..], &[served; 20]].concat());
    assert_eq!(broken(&facts, &watched, 4_000), []);
    facts.push(at(1_010, Seen::ClientGone { request: "n-0".into() }));
    assert_eq!(broken(&facts, &watched, 60_000), []);
}

#[test]
fn a_router_that_serves_nobody_is_found() {
    let failed = [Some(Answer::Failed); 15];
    assert_eq!(broken(&asked("n", &failed), &Terms::default(), 60_000), [Term::ServesNobody]);
    assert_eq!(broken(&asked("n", &failed[1..]), &Terms::default(), 60_000), [], "too few to tell");
    let one = [&failed[..], &[Some(Answer::Served)]].concat();
    assert_eq!(broken(&asked("n", &one), &Terms::default(), 60_000), []);
}

#[test]
fn routers_that_turn_all_away_for_long_are_found_on_quiet_days() {
    let quiet = Terms { turns_away: Some(ms(4_000)), ..Terms::default() };
    let (served, refused) = ([Some(Answer::Served)], [Some(Answer::Refused)]);
    let all = [&served[..], &refused.repeat(41)].concat();
    assert_eq!(broken(&asked("n", &all), &quiet, 60_000), [Term::TurnsAway]);
    assert_eq!(broken(&asked("n", &all), &Terms::default(), 60_000), [], "the day is not quiet");
    assert_eq!(broken(&asked("n", &all[..41]), &quiet, 60_000), [], "for 3.9 s");
    let mut tried = asked("n", &all);
    tried.push(begun(3_000, "e", "n-20"));
    assert_eq!(broken(&tried, &quiet, 60_000), [], "with an attempt in between");
    // One router in ten may.
    let mut ten = asked("n", &all);
    (0..9).for_each(|n| ten.extend(asked(&format!("m{n}"), &served)));
    assert_eq!(broken(&ten, &quiet, 60_000), []);
}

#[test]
fn an_engine_is_told_no_more_time_than_its_client_still_waits() {
    let sent = at(1_000, Seen::Sent { router: "r".into(), request: "a".into(), due: ms(3_000) });
    let told =
        |n, left| at(n, Seen::DeadlineTold { engine: "e".into(), request: "a".into(), left: ms(left) });
    assert_eq!(broken(&[sent.clone(), told(2_000, 1_155)], &Terms::default(), 9_000), []);
    assert_eq!(broken(&[sent.clone(), told(2_000, 1_156)], &Terms::default(), 9_000), [Term::Deadline]);
    assert_eq!(
        broken(&[sent, told(3_500, 156)], &Terms::default(), 9_000),
        [Term::Deadline],
        "its time is up"
    );
}

#[test]
fn a_request_that_was_read_is_not_closed_without_an_answer() {
    let closed = |n, first_on_connection| {
        let (router, request) = ("r".to_owned(), "a".to_owned());
        at(n, Seen::ClosedUnanswered { router, request, first_on_connection })
    };
    let killed = |n| at(n, Seen::Killed { router: "r".into() });
    let terms = Terms::default();
    assert_eq!(
        broken(&[closed(2_000, true)], &terms, 9_000),
        [Term::ClosedUnanswered],
        "on a new connection"
    );
    assert_eq!(broken(&[closed(2_000, false)], &terms, 9_000), [], "a close that crossed it");
    let sent_on = [begun(1_500, "e", "a"), closed(2_000, false)];
    assert_eq!(broken(&sent_on, &terms, 9_000), [Term::ClosedUnanswered], "it was read and sent on");
    assert_eq!(broken(&[killed(1_990), closed(2_000, true)], &terms, 9_000), [], "its router was killed");
    let later = [killed(500), closed(2_000, true)];
    assert_eq!(broken(&later, &terms, 9_000), [Term::ClosedUnanswered], "long before");
}

#[test]
fn a_small_cold_budget_has_more_slack_in_the_acceptance() {
    let near = |n: f64, slack: f64| (ColdBudget::accepted_slack(n) - slack).abs() < 1e-9;
    assert!(near(1.0, 6.0) && near(25.0, 18.0));
    assert!(near(36.0, 14.0) && near(30.0, 2.0 * 30.0_f64.sqrt() + 2.0));
}

/// Requests of one class: session, length and answer of each, one every 10 ms.
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

/// A hundred requests of which the `long` longest, 25 of them a quarter, are served so often.
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
    // 15 of 25 are 0.6, of the class 0.9: two thirds; one less is under it.
    let terms = |part| Terms { long_prompts: Some(part), ..Terms::default() };
    assert_eq!(broken(&served_among_the_longest(15), &terms(2.0 / 3.0 - 1e-9), 9_000), []);
    assert_eq!(broken(&served_among_the_longest(14), &terms(2.0 / 3.0), 9_000), [Term::LongPrompts]);
    assert_eq!(broken(&served_among_the_longest(14), &terms(0.5), 9_000), [], "on a day that is not quiet");
    assert_eq!(broken(&served_among_the_longest(0), &Terms::default(), 9_000), [], "not judged");
}

#[test]
fn refusals_are_fresh_draws_for_each_turn() {
    let terms = Terms { refused_sessions: Some(0.12), ..Terms::default() };
    // Fifty sessions of two turns. With 13 refused throughout, 0.38 of all turns are refused: 7.2 sessions by chance, and
    // 6 more are let pass. With 14 it is 7.6 by chance.
    let sessions = |throughout: u64| {
        let turns = (0..50).flat_map(|session| {
            let both = session < throughout;
            let one = !both && session < 50 - throughout && session >= 25;
            let first = if both { Answer::Refused } else { Answer::Served };
            let second = if both || one { Answer::Refused } else { Answer::Served };
            [(session, 100.0, first), (session, 100.0, second)]
        });
        described(&turns.collect::<Vec<_>>())
    };
    assert_eq!(broken(&sessions(13), &terms, 9_000), []);
    assert_eq!(broken(&sessions(14), &terms, 9_000), [Term::RefusedSessions]);
}

#[test]
fn every_group_has_its_floor() {
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
    assert_eq!(broken(&facts, &floors(0.2), 9_000), []);
    assert_eq!(broken(&facts, &floors(0.5), 9_000), [Term::Floor], "the last third");
}
