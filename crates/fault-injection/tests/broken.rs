//! The judge catches members that are broken on purpose: true histories of runs in virtual time, changed in one way each.

use slipreel_fault_injection::{judge, play_in_memory, read_script, Event, History, Script, Sight};
use std::path::Path;
use std::time::Duration;

fn script(name: &str) -> Script {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../deploy/grounds/{name}.ini"));
    let text = std::fs::read_to_string(file).expect("a script");
    read_script(&text, name, Some(1)).expect("a script that can be read")
}

/// Changes every sight that this router tells from a time on.
fn lies(history: &mut History, router: usize, from: Duration, lie: impl Fn(&mut Sight)) {
    for (at, event) in &mut history.events {
        if let Event::Told(by, Some(sight)) = event {
            if *by == router && *at >= from {
                lie(sight);
            }
        }
    }
}

fn call(sight: &mut Sight, name: &str, state: &str) {
    if let Some(member) = sight.members.get_mut(name) {
        member.0 = state.into();
    }
}

#[test]
fn broken_members_are_caught() {
    let calm = script("loss");
    let calm = Script { length: Duration::from_secs(12), faults: Vec::new(), traffic: false, ..calm };
    let played = play_in_memory(&calm).expect("a run");
    assert_eq!(judge(&calm, &played.history).failures, Vec::<String>::new(), "as it went");
    let from = Duration::from_secs(6);
    type Lie = fn(&mut Sight);
    let broken: [(&str, Lie); 7] = [
        ("calls one gone that is well", |s| call(s, "r2", "gone")),
        ("has never heard of one", |s| drop(s.members.remove("r2"))),
        ("lists one that is not there", |s| drop(s.members.insert("r77".into(), ("alive".into(), 1)))),
        ("holds a view of its own", |s| s.digest = "0123456789abcdef".into()),
        ("never settles", |s| s.settled = false),
        ("is not ready", |s| s.standing = "joining".into()),
        ("yields to nobody", |s| s.standing = "yielded".into()),
    ];
    for (what, lie) in broken {
        let mut history = played.history.clone();
        // Whatever was told before and after: noted once more at the end, as it would be.
        let last = history.events.iter().rev().find_map(|(_, e)| match e {
            Event::Told(1, Some(sight)) => Some(sight.clone()),
            _ => None,
        });
        history.note(from, Event::Told(1, last));
        history.events.sort_by_key(|(at, _)| *at);
        lies(&mut history, 1, from, lie);
        assert_ne!(judge(&calm, &history).failures, Vec::<String>::new(), "{what}");
    }
    let mut mute = played.history.clone();
    mute.note(Duration::from_secs(11), Event::Told(1, None));
    assert_ne!(judge(&calm, &mute).failures, Vec::<String>::new(), "does not answer");
}

#[test]
fn one_that_never_sees_a_death_and_a_twin_that_goes_on_are_caught() {
    let dies = script("stop-long");
    let played = play_in_memory(&dies).expect("a run");
    assert_eq!(judge(&dies, &played.history).failures, Vec::<String>::new());
    let mut blind = played.history.clone();
    lies(&mut blind, 1, Duration::ZERO, |s| call(s, "r2", "alive"));
    assert_ne!(judge(&dies, &blind).failures, Vec::<String>::new(), "never calls it gone");

    let twin = script("twin");
    let played = play_in_memory(&twin).expect("a run");
    assert_eq!(judge(&twin, &played.history).failures, Vec::<String>::new());
    let mut both = played.history.clone();
    for (_, event) in &mut both.events {
        if let Event::Twin(_, Some(sight)) = event {
            sight.standing = "ready".into();
        }
    }
    assert_ne!(judge(&twin, &both).failures, Vec::<String>::new(), "neither yields");
}
