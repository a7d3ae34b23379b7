use super::*;

const NOW: Duration = Duration::from_secs(7);

#[test]
fn the_last_idle_connection_is_kept_back_while_state_is_held() {
    let (engine, c) = (EngineId(1), |n| ConnId::opened(n));
    let mut pool = Pool::default();
    assert_eq!(pool.take(engine, 3, Errand::Attempt, NOW), Slot::Open);
    pool.holds(engine);
    assert!(pool.put(engine, c(1), 3, NOW) && pool.keeps(engine));
    assert_eq!(pool.take(engine, 3, Errand::Attempt, NOW), Slot::Open, "an attempt opens another");
    assert_eq!(pool.take(engine, 2, Errand::Attempt, NOW), Slot::Idle(c(1)), "unless there may be no more");
    assert!(pool.put(engine, c(1), 3, NOW));
    assert_eq!(
        pool.take(engine, 3, Errand::Probe, NOW),
        Slot::Open,
        "and so does a probe, which may be lost with it"
    );
    pool.gone(engine, c(3));
    assert_eq!(pool.take(engine, 3, Errand::Release, NOW), Slot::Idle(c(1)), "the release takes it");
    assert!(pool.put(engine, c(1), 3, NOW));
    pool.freed(Some(engine));
    assert!(!pool.keeps(engine));
    assert_eq!(pool.take(engine, 3, Errand::Attempt, NOW), Slot::Idle(c(1)));
    pool.gone(engine, c(1));
    pool.gone(engine, c(2));
    assert!(pool.lanes.is_empty());
}

#[test]
fn reuses_the_last_and_keeps_bounds() {
    let (engine, c) = (EngineId(1), |n| ConnId::opened(n));
    let mut pool = Pool::default();
    assert_eq!(pool.take(engine, 2, Errand::Attempt, NOW), Slot::Open);
    assert_eq!(pool.take(engine, 2, Errand::Attempt, NOW), Slot::Open);
    assert_eq!(pool.take(engine, 2, Errand::Attempt, NOW), Slot::Full);
    assert_eq!(pool.take(engine, 2, Errand::Probe, NOW), Slot::Open, "a probe goes one over");
    assert_eq!(pool.take(engine, 2, Errand::Probe, NOW), Slot::Full);
    assert!(pool.put(engine, c(1), 2, NOW) && pool.put(engine, c(2), 2, NOW));
    assert!(!pool.put(engine, c(3), 2, NOW), "enough are idle");
    pool.gone(engine, c(3));
    assert_eq!(pool.take(engine, 2, Errand::Attempt, NOW), Slot::Idle(c(2)));
    pool.gone(engine, c(1));
    assert_eq!(pool.idle(engine), []);
    assert_eq!(pool.open(), 1);
}

#[test]
fn the_last_that_has_rested_is_taken_and_a_new_one_before_one_that_has_not() {
    let (engine, c, ms) = (EngineId(1), |n| ConnId::opened(n), Duration::from_millis);
    let mut pool = Pool::default();
    for n in 1..=3 {
        assert_eq!(pool.take(engine, 9, Errand::Attempt, ms(0)), Slot::Open);
        assert!(pool.put(engine, c(n), 9, ms(10 * n)));
    }
    assert_eq!(pool.take(engine, 9, Errand::Attempt, ms(25)), Slot::Idle(c(2)));
    assert_eq!(pool.take(engine, 9, Errand::Attempt, ms(25)), Slot::Idle(c(1)));
    assert_eq!(pool.take(engine, 9, Errand::Attempt, ms(25)), Slot::Open);
    assert_eq!(pool.take(engine, 9, Errand::Attempt, ms(30)), Slot::Idle(c(3)));
}
