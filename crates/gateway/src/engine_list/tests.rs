use super::*;

fn settings(port: u16, role: Role, state: EngineState) -> EngineSettings {
    let addr = SocketAddr::from(([127, 0, 0, 1], port));
    EngineSettings { name: format!("e{port}"), addr, role, zone: "a".into(), cell: "a1".into(), state }
}

fn listed_engines(event: Event) -> Vec<Engine> {
    match event {
        Event::Engines { engines, .. } => engines,
        other => panic!("expected Event::Engines: {other:?}"),
    }
}

const WARMUP_TIME: Duration = Duration::from_secs(10);

#[test]
fn a_restart_is_reported_once_and_an_old_start_is_not() {
    let seconds = Duration::from_secs;
    let mut engine_list = EngineList::default();
    engine_list.replace(Duration::ZERO, &[settings(1, Role::Prefill, EngineState::Ready)]);
    let id = engine_id(SocketAddr::from(([127, 0, 0, 1], 1)));
    assert!(
        engine_list.record_engine_start(seconds(1000), id, seconds(100), WARMUP_TIME).is_none(),
        "started long ago"
    );
    let event =
        engine_list.record_engine_start(seconds(1100), id, seconds(1099), WARMUP_TIME).expect("a restart");
    assert_eq!(listed_engines(event)[0].started_at, Some(seconds(1099)));
    assert!(
        engine_list.record_engine_start(seconds(1101), id, seconds(1099), WARMUP_TIME).is_none(),
        "already reported"
    );
    assert!(
        engine_list.record_engine_start(seconds(1101), id, seconds(1098), WARMUP_TIME).is_none(),
        "the same start, rounded differently"
    );
    let event = engine_list.record_engine_start(seconds(1300), id, seconds(1290), WARMUP_TIME);
    assert!(event.is_some(), "another restart, reported after the warm-up, still voids what was known");
}

#[test]
fn an_added_engine_counts_as_cold_until_it_reports_its_start() {
    let seconds = Duration::from_secs;
    let mut engine_list = EngineList::default();
    engine_list.replace(seconds(1), &[settings(1, Role::Prefill, EngineState::Ready)]);
    let (event, _) = engine_list
        .replace(seconds(50), &[1, 2].map(|port| settings(port, Role::Prefill, EngineState::Ready)));
    let start_times: Vec<_> = listed_engines(event).iter().map(|e| e.started_at).collect();
    assert_eq!(start_times, [None, Some(seconds(50))]);
    let id = engine_id(SocketAddr::from(([127, 0, 0, 1], 2)));
    let event = engine_list
        .record_engine_start(seconds(51), id, seconds(2), WARMUP_TIME)
        .expect("it started long ago");
    assert_eq!(listed_engines(event)[0].started_at, Some(seconds(2)));
    assert!(engine_list.record_engine_start(seconds(52), id, seconds(2), WARMUP_TIME).is_none());
}

#[test]
fn engines_that_drain_leave_or_change_role_are_returned() {
    let mut engine_list = EngineList::default();
    let all = [1, 2, 3].map(|port| settings(port, Role::Prefill, EngineState::Ready));
    engine_list.replace(Duration::ZERO, &all);
    let list =
        [settings(1, Role::Prefill, EngineState::Draining), settings(2, Role::Decode, EngineState::Ready)];
    let (event, no_longer_ready) = engine_list.replace(Duration::from_secs(5), &list);
    let id = |port| engine_id(SocketAddr::from(([127, 0, 0, 1], port)));
    assert_eq!(no_longer_ready, [id(1), id(3)]);
    let entries = listed_engines(event);
    assert_eq!(
        entries.iter().map(|e| (e.state, e.kind.0)).collect::<Vec<_>>(),
        [(EngineState::Draining, 0), (EngineState::Ready, 1)]
    );
    assert_eq!(entries[1].started_at, Some(Duration::from_secs(5)), "a changed role counts as a new start");
    assert!(engine_list.role(id(3)).is_none());
}
