use super::*;

#[test]
fn a_written_engine_list_is_read_back() {
    let engine = |addr: &str, role, cell: &str, state| EngineSettings {
        name: addr.into(),
        addr: addr.parse().expect("an address"),
        role,
        zone: "west".into(),
        cell: cell.into(),
        state,
    };
    let mut engines = vec![
        engine("127.0.0.1:9001", Role::Prefill, "a", EngineState::Ready),
        engine("127.0.0.2:9001", Role::Prefill, "a", EngineState::Draining),
        engine("[::1]:9001", Role::Decode, "a", EngineState::Ready),
        engine("127.0.0.1:9004", Role::Mixed, "b", EngineState::Ready),
    ];
    let mut read = engines_from_slices(&engines_to_slices(&engines)).expect("a list that can be read");
    engines.sort_by_key(|e| e.addr);
    read.sort_by_key(|e| e.addr);
    assert_eq!(read, engines);
}
