use super::*;

fn settings(port: u16, role: Role, state: EngineState) -> EngineSettings {
    let addr = SocketAddr::from(([127, 0, 0, 1], port));
    EngineSettings { name: format!("e{port}"), addr, role, zone: "a".into(), cell: "a1".into(), state }
}

fn entries(event: Event) -> Vec<Engine> {
    match event {
        Event::Engines { engines, .. } => engines,
        other => panic!("{other:?}"),
    }
}

const COLD: Duration = Duration::from_secs(10);

#[test]
fn a_restart_is_told_once_and_an_old_start_is_not() {
    let s = Duration::from_secs;
    let mut engine_list = EngineList::default();
    engine_list.replace(Duration::ZERO, &[settings(1, Role::Prefill, EngineState::Ready)]);
    let id = engine_id(SocketAddr::from(([127, 0, 0, 1], 1)));
    assert!(engine_list.note_start(s(1000), id, s(100), COLD).is_none(), "long ago");
    let event = engine_list.note_start(s(1100), id, s(1099), COLD).expect("a restart");
    assert_eq!(entries(event)[0].started_at, Some(s(1099)));
    assert!(engine_list.note_start(s(1101), id, s(1099), COLD).is_none(), "told already");
    assert!(
        engine_list.note_start(s(1101), id, s(1098), COLD).is_none(),
        "the same start, rounded otherwise"
    );
    let event = engine_list.note_start(s(1300), id, s(1290), COLD);
    assert!(event.is_some(), "another restart, heard of late, still voids what was known");
}

#[test]
fn one_that_joins_counts_as_cold_until_it_tells() {
    let s = Duration::from_secs;
    let mut engine_list = EngineList::default();
    engine_list.replace(s(1), &[settings(1, Role::Prefill, EngineState::Ready)]);
    let (event, _) =
        engine_list.replace(s(50), &[1, 2].map(|port| settings(port, Role::Prefill, EngineState::Ready)));
    let started: Vec<_> = entries(event).iter().map(|e| e.started_at).collect();
    assert_eq!(started, [None, Some(s(50))]);
    let id = engine_id(SocketAddr::from(([127, 0, 0, 1], 2)));
    let event = engine_list.note_start(s(51), id, s(2), COLD).expect("it has been up for long");
    assert_eq!(entries(event)[0].started_at, Some(s(2)));
    assert!(engine_list.note_start(s(52), id, s(2), COLD).is_none());
}

#[test]
fn one_that_drains_or_leaves_or_changes_role_is_named() {
    let mut engine_list = EngineList::default();
    let all = [1, 2, 3].map(|port| settings(port, Role::Prefill, EngineState::Ready));
    engine_list.replace(Duration::ZERO, &all);
    let list =
        [settings(1, Role::Prefill, EngineState::Draining), settings(2, Role::Decode, EngineState::Ready)];
    let (event, closed) = engine_list.replace(Duration::from_secs(5), &list);
    let id = |port| engine_id(SocketAddr::from(([127, 0, 0, 1], port)));
    assert_eq!(closed, [id(1), id(3)]);
    let entries = entries(event);
    assert_eq!(
        entries.iter().map(|e| (e.state, e.kind.0)).collect::<Vec<_>>(),
        [(EngineState::Draining, 0), (EngineState::Ready, 1)]
    );
    assert_eq!(entries[1].started_at, Some(Duration::from_secs(5)), "a new role comes with a new start");
    assert!(engine_list.role(id(3)).is_none());
}
