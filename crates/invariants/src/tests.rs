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
const ATTEMPT: ClientAttempt = ClientAttempt { request: 1, number: 0 };

fn violated_rules(records: &[(u64, Seen)]) -> Vec<Rule> {
    let records: Vec<Record> =
        records.iter().map(|(at, seen)| Record { at: ms(*at), seen: seen.clone() }).collect();
    judge(&records, &LIMITS).into_iter().map(|v| v.rule).collect()
}

fn asked(effect: Effect) -> (u64, Seen) {
    (0, Seen::Asked { attempt: ATTEMPT, effect, deadline: ms(1000) })
}

fn arrived(at: u64) -> (u64, Seen) {
    (at, Seen::Arrived { engine: "e".into(), router: "r".into(), attempt: ATTEMPT, stage: Stage::Decode })
}

fn finished(at: u64) -> (u64, Seen) {
    (at, Seen::Finished { engine: "e".into(), attempt: ATTEMPT, stage: Stage::Decode })
}

#[test]
fn each_attempt_gets_one_final_answer_by_its_deadline() {
    let served = |at| (at, Seen::Ended(ATTEMPT, Ending::Served));
    assert_eq!(violated_rules(&[asked(Effect::Safe), served(900)]), []);
    assert_eq!(violated_rules(&[asked(Effect::Safe), served(900), served(901)]), [Rule::OneAnswer]);
    assert_eq!(violated_rules(&[asked(Effect::Safe), served(1100)]), [Rule::OneAnswer]);
    assert_eq!(
        violated_rules(&[asked(Effect::Safe), (900, Seen::Began(ATTEMPT)), served(5000)]),
        [],
        "a stream has no deadline"
    );
    assert_eq!(violated_rules(&[asked(Effect::Safe)]), [Rule::OneAnswer]);
    assert_eq!(violated_rules(&[asked(Effect::Safe), (500, Seen::Left(ATTEMPT))]), []);
    assert_eq!(
        violated_rules(&[asked(Effect::Safe), (1100, Seen::Left(ATTEMPT))]),
        [Rule::OneAnswer],
        "its deadline passed without an answer"
    );
    assert_eq!(violated_rules(&[asked(Effect::Safe), (500, Seen::Cut(ATTEMPT))]), [Rule::OneAnswer]);
    let crashed = (490, Seen::RouterDied("r".into()));
    assert_eq!(violated_rules(&[asked(Effect::Safe), crashed, (500, Seen::Cut(ATTEMPT))]), []);
}

#[test]
fn unsafe_and_keyed_requests_take_effect_once() {
    let ran = |at| (at, Seen::Ran { engine: "e".into(), attempt: ATTEMPT });
    let served = (900, Seen::Ended(ATTEMPT, Ending::Served));
    assert_eq!(violated_rules(&[asked(Effect::Safe), ran(1), ran(2), served.clone()]), []);
    assert_eq!(
        violated_rules(&[asked(Effect::Keyed), ran(1), ran(2), served.clone()]),
        [Rule::NoEffectTwice]
    );
    assert_eq!(violated_rules(&[asked(Effect::Unsafe), ran(1), ran(2), served]), [Rule::NoEffectTwice]);
    let refused = (5, Seen::Ended(ATTEMPT, Ending::Refused));
    assert_eq!(violated_rules(&[asked(Effect::Unsafe), ran(1), refused]), [Rule::NoEffectTwice]);
}

#[test]
fn no_work_reaches_a_draining_engine_after_the_grace_period() {
    let notified = |closed| Seen::RouterNotified { router: "r".into(), engine: "e".into(), closed };
    assert_eq!(violated_rules(&[(0, notified(true)), arrived(1900), finished(1901)]), []);
    assert_eq!(violated_rules(&[(0, notified(true)), arrived(2100), finished(2101)]), [Rule::Drains]);
    assert_eq!(
        violated_rules(&[(0, notified(true)), (500, notified(false)), arrived(2100), finished(2101)]),
        []
    );
}

/// A router that is killed while its prefill ends can't release the state, which must not be reported as
/// pinned: the engine has to free it.
#[test]
fn state_left_by_a_crashed_router_is_not_reported_as_pinned() {
    let held = |at| (at, Seen::StateHeld { engine: "e".into(), attempt: ATTEMPT, state: 7 });
    let crashed = |at| (at, Seen::RouterDied("r".into()));
    let end = (9_000, Seen::RunOver);
    assert_eq!(violated_rules(&[arrived(10), finished(20), held(20), end.clone()]), [Rule::Pinned]);
    assert_eq!(violated_rules(&[arrived(10), finished(20), held(20), crashed(21), end.clone()]), []);
    assert_eq!(violated_rules(&[arrived(10), crashed(19), finished(20), held(20), end.clone()]), []);
    assert_eq!(
        violated_rules(&[crashed(5), arrived(10), finished(20), held(20), end]),
        [Rule::Pinned],
        "the router sent the work after its restart"
    );
}

#[test]
fn state_is_pinned_when_no_work_of_its_attempt_is_active() {
    let held = (100, Seen::StateHeld { engine: "e".into(), attempt: ATTEMPT, state: 7 });
    let released = |at| (at, Seen::StateReleased { engine: "e".into(), state: 7 });
    assert_eq!(violated_rules(&[held.clone(), released(600)]), []);
    assert_eq!(violated_rules(&[held.clone(), released(700)]), [Rule::Pinned]);
    assert_eq!(
        violated_rules(&[held.clone(), arrived(400), released(2000), finished(2001)]),
        [],
        "decode is active"
    );
    assert_eq!(violated_rules(&[held.clone(), arrived(400), finished(900), released(1500)]), [Rule::Pinned]);
    assert_eq!(
        violated_rules(&[held, (800, Seen::EngineOverloaded("x".into()))]),
        [Rule::Cold, Rule::Pinned],
        "never released"
    );
}
