use super::*;

const NOW: Duration = Duration::from_secs(7);

#[test]
fn the_last_idle_connection_is_reserved_while_state_is_held() {
    let (engine, c) = (EngineId(1), |n| ConnId::opened(n));
    let mut pool = Pool::default();
    assert_eq!(pool.reserve(engine, 3, Purpose::Attempt, NOW), Slot::Open);
    pool.state_held(engine);
    assert!(pool.put_idle(engine, c(1), 3, NOW) && pool.keeps_last_idle(engine));
    assert_eq!(pool.reserve(engine, 3, Purpose::Attempt, NOW), Slot::Open, "an attempt opens another");
    assert_eq!(
        pool.reserve(engine, 2, Purpose::Attempt, NOW),
        Slot::Idle(c(1)),
        "unless the limit is reached"
    );
    assert!(pool.put_idle(engine, c(1), 3, NOW));
    assert_eq!(
        pool.reserve(engine, 3, Purpose::Probe, NOW),
        Slot::Open,
        "so does a probe, which may be lost with an idle connection"
    );
    pool.remove(engine, c(3));
    assert_eq!(pool.reserve(engine, 3, Purpose::Release, NOW), Slot::Idle(c(1)), "the release takes it");
    assert!(pool.put_idle(engine, c(1), 3, NOW));
    pool.state_released(Some(engine));
    assert!(!pool.keeps_last_idle(engine));
    assert_eq!(pool.reserve(engine, 3, Purpose::Attempt, NOW), Slot::Idle(c(1)));
    pool.remove(engine, c(1));
    pool.remove(engine, c(2));
    assert!(pool.engines.is_empty());
}

#[test]
fn the_connection_used_last_is_reused_within_limits() {
    let (engine, c) = (EngineId(1), |n| ConnId::opened(n));
    let mut pool = Pool::default();
    assert_eq!(pool.reserve(engine, 2, Purpose::Attempt, NOW), Slot::Open);
    assert_eq!(pool.reserve(engine, 2, Purpose::Attempt, NOW), Slot::Open);
    assert_eq!(pool.reserve(engine, 2, Purpose::Attempt, NOW), Slot::Full);
    assert_eq!(
        pool.reserve(engine, 2, Purpose::Probe, NOW),
        Slot::Open,
        "a probe may exceed the limit by one"
    );
    assert_eq!(pool.reserve(engine, 2, Purpose::Probe, NOW), Slot::Full);
    assert!(pool.put_idle(engine, c(1), 2, NOW) && pool.put_idle(engine, c(2), 2, NOW));
    assert!(!pool.put_idle(engine, c(3), 2, NOW), "enough are idle");
    pool.remove(engine, c(3));
    assert_eq!(pool.reserve(engine, 2, Purpose::Attempt, NOW), Slot::Idle(c(2)));
    pool.remove(engine, c(1));
    assert_eq!(pool.idle(engine), []);
    assert_eq!(pool.total_open_count(), 1);
}

#[test]
fn a_new_connection_is_opened_if_none_has_been_idle_long_enough() {
    let (engine, c, ms) = (EngineId(1), |n| ConnId::opened(n), Duration::from_millis);
    let mut pool = Pool::default();
    for n in 1..=3 {
        assert_eq!(pool.reserve(engine, 9, Purpose::Attempt, ms(0)), Slot::Open);
        assert!(pool.put_idle(engine, c(n), 9, ms(10 * n)));
    }
    assert_eq!(pool.reserve(engine, 9, Purpose::Attempt, ms(25)), Slot::Idle(c(2)));
    assert_eq!(pool.reserve(engine, 9, Purpose::Attempt, ms(25)), Slot::Idle(c(1)));
    assert_eq!(pool.reserve(engine, 9, Purpose::Attempt, ms(25)), Slot::Open);
    assert_eq!(pool.reserve(engine, 9, Purpose::Attempt, ms(30)), Slot::Idle(c(3)));
}
