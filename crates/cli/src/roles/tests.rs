use super::*;

fn engine(port: u16) -> EngineSettings {
    EngineSettings {
        name: port.to_string(),
        addr: ([127, 0, 0, 1], port).into(),
        role: slipreel::Role::Prefill,
        zone: "z".into(),
        cell: "c".into(),
        state: EngineState::Ready,
    }
}

fn view(port: u16, role: slipreel::Role, phase: Phase) -> EngineView {
    EngineView {
        id: engine_id(([127, 0, 0, 1], port).into()),
        role,
        epoch: 1,
        cell: CellId(0),
        zone: ZoneId(0),
        phase,
        since: Duration::ZERO,
        busy: 0.0,
        cached_tokens: 0.0,
    }
}

#[test]
fn the_list_follows_reported_roles_and_keeps_engines_that_do_not_answer() {
    use slipreel::Role::{Decode, Prefill};
    let mut list = vec![engine(1), engine(2), engine(3)];
    assert!(!follow_roles(&mut list, &[view(1, Prefill, Phase::Warming)]));
    let reported = [view(1, Prefill, Phase::Changing(Decode)), view(2, Decode, Phase::Serving)];
    assert!(follow_roles(&mut list, &reported));
    let now: Vec<_> = list.iter().map(|e| (e.role, e.state)).collect();
    let expected =
        [(Prefill, EngineState::Draining), (Decode, EngineState::Ready), (Prefill, EngineState::Ready)];
    assert_eq!(now, expected);
    assert!(!follow_roles(&mut list, &reported), "nothing has changed");
}

#[test]
fn a_list_is_replaced_atomically() {
    let folder = std::env::temp_dir().join(format!("slipreel-roles-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("engines.json");
    write_atomically(&file, "one").expect("written");
    write_atomically(&file, "two").expect("written");
    assert_eq!(std::fs::read_to_string(&file).expect("read"), "two");
    assert_eq!(std::fs::read_dir(&folder).expect("a folder").count(), 1, "no temporary file is left");
    std::fs::remove_dir_all(&folder).expect("removed");
}
