use super::*;

#[test]
fn an_engine_is_due_once_at_its_last_set_time() {
    let (mut due_times, ms) = (DueTimes::default(), Duration::from_millis);
    due_times.set(EngineId(1), Some(ms(5)));
    due_times.set(EngineId(2), Some(ms(7)));
    due_times.set(EngineId(1), Some(ms(9)));
    due_times.set(EngineId(3), Some(ms(1)));
    due_times.set(EngineId(3), None);
    assert_eq!(
        [
            due_times.pop(ms(6)),
            due_times.pop(ms(8)),
            due_times.pop(ms(8)),
            due_times.pop(ms(9)),
            due_times.pop(ms(99))
        ],
        [None, Some(EngineId(2)), None, Some(EngineId(1)), None]
    );
    assert!(due_times.by_time.is_empty() && due_times.by_engine.is_empty());
}
