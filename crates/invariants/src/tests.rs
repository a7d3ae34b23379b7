use super::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const LIMITS: Limits = Limits {
    answer_slack: Duration::from_millis(16),
    drain_grace: Duration::from_millis(2000),
    held_state_limit: Duration::from_millis(500),
    wire: Duration::from_millis(50),
};
const T: ClientAttempt = ClientAttempt { request: 1, number: 0 };

fn broken(records: &[(u64, Seen)]) -> Vec<Rule> {
    let records: Vec<Record> =
        records.iter().map(|(at, seen)| Record { at: ms(*at), seen: seen.clone() }).collect();
    judge(&records, &LIMITS).into_iter().map(|b| b.rule).collect()
}

fn asked(effect: Effect) -> (u64, Seen) {
    (0, Seen::Asked { attempt: T, effect, deadline: ms(1000) })
}

fn arrived(at: u64) -> (u64, Seen) {
    (at, Seen::Arrived { engine: "e".into(), router: "r".into(), attempt: T, stage: Stage::Decode })
}

fn over(at: u64) -> (u64, Seen) {
    (at, Seen::Finished { engine: "e".into(), attempt: T, stage: Stage::Decode })
}

#[test]
fn answers_are_counted_and_timed() {
    let served = |at| (at, Seen::Ended(T, Ending::Served));
    assert_eq!(broken(&[asked(Effect::Safe), served(900)]), []);
    assert_eq!(broken(&[asked(Effect::Safe), served(900), served(901)]), [Rule::OneAnswer]);
    assert_eq!(broken(&[asked(Effect::Safe), served(1100)]), [Rule::OneAnswer]);
    assert_eq!(
        broken(&[asked(Effect::Safe), (900, Seen::Began(T)), served(5000)]),
        [],
        "a stream has no deadline"
    );
    assert_eq!(broken(&[asked(Effect::Safe)]), [Rule::OneAnswer]);
    assert_eq!(broken(&[asked(Effect::Safe), (500, Seen::Left(T))]), []);
    assert_eq!(broken(&[asked(Effect::Safe), (1100, Seen::Left(T))]), [Rule::OneAnswer], "it had to leave");
    assert_eq!(broken(&[asked(Effect::Safe), (500, Seen::Cut(T))]), [Rule::OneAnswer]);
    let died = (490, Seen::RouterDied("r".into()));
    assert_eq!(broken(&[asked(Effect::Safe), died, (500, Seen::Cut(T))]), []);
}

#[test]
fn effects_are_counted() {
    let ran = |at| (at, Seen::Ran { engine: "e".into(), attempt: T });
    let served = (900, Seen::Ended(T, Ending::Served));
    assert_eq!(broken(&[asked(Effect::Safe), ran(1), ran(2), served.clone()]), []);
    assert_eq!(broken(&[asked(Effect::Keyed), ran(1), ran(2), served.clone()]), [Rule::NoEffectTwice]);
    assert_eq!(broken(&[asked(Effect::Unsafe), ran(1), ran(2), served]), [Rule::NoEffectTwice]);
    let refused = (5, Seen::Ended(T, Ending::Refused));
    assert_eq!(broken(&[asked(Effect::Unsafe), ran(1), refused]), [Rule::NoEffectTwice]);
}

#[test]
fn work_after_the_grace_breaks_a_drain() {
    let told = |closed| Seen::RouterNotified { router: "r".into(), engine: "e".into(), closed };
    assert_eq!(broken(&[(0, told(true)), arrived(1900), over(1901)]), []);
    assert_eq!(broken(&[(0, told(true)), arrived(2100), over(2101)]), [Rule::Drains]);
    assert_eq!(broken(&[(0, told(true)), (500, told(false)), arrived(2100), over(2101)]), []);
}

/// Found on the proving ground: a router was killed while its read ended, and the state was called pinned for ever.
#[test]
fn what_a_dead_router_asked_for_is_for_its_engine_to_free() {
    let holds = |at| (at, Seen::StateHeld { engine: "e".into(), attempt: T, state: 7 });
    let died = |at| (at, Seen::RouterDied("r".into()));
    let end = (9_000, Seen::RunOver);
    assert_eq!(broken(&[arrived(10), over(20), holds(20), end.clone()]), [Rule::Pinned]);
    assert_eq!(broken(&[arrived(10), over(20), holds(20), died(21), end.clone()]), []);
    assert_eq!(broken(&[arrived(10), died(19), over(20), holds(20), end.clone()]), []);
    assert_eq!(
        broken(&[died(5), arrived(10), over(20), holds(20), end]),
        [Rule::Pinned],
        "another life sent it"
    );
}

#[test]
fn state_is_pinned_when_nothing_is_at_work() {
    let holds = (100, Seen::StateHeld { engine: "e".into(), attempt: T, state: 7 });
    let let_go = |at| (at, Seen::StateReleased { engine: "e".into(), state: 7 });
    assert_eq!(broken(&[holds.clone(), let_go(600)]), []);
    assert_eq!(broken(&[holds.clone(), let_go(700)]), [Rule::Pinned]);
    assert_eq!(broken(&[holds.clone(), arrived(400), let_go(2000), over(2001)]), [], "it waits for a writer");
    assert_eq!(broken(&[holds.clone(), arrived(400), over(900), let_go(1500)]), [Rule::Pinned]);
    assert_eq!(
        broken(&[holds, (800, Seen::EngineOverloaded("x".into()))]),
        [Rule::Cold, Rule::Pinned],
        "never let go of"
    );
}
