//! The check of the membership views detects faulty members: histories of correct runs in virtual time, each
//! altered in one way.

use slipreel_fault_injection::{judge, play_in_memory, read_script, Event, History, ReportedView, Script};
use std::path::Path;
use std::time::Duration;

fn script(name: &str) -> Script {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../deploy/grounds/{name}.ini"));
    let text = std::fs::read_to_string(file).expect("the script is readable");
    read_script(&text, name, Some(1)).expect("the script is valid")
}

/// Alters every view that a router reports from `from` on.
fn alter_views(history: &mut History, router: usize, from: Duration, alter: impl Fn(&mut ReportedView)) {
    for (at, event) in &mut history.events {
        if let Event::ViewReported(by, Some(view)) = event {
            if *by == router && *at >= from {
                alter(view);
            }
        }
    }
}

/// Lists a member in another state.
fn set_state(view: &mut ReportedView, name: &str, state: &str) {
    if let Some(member) = view.members.get_mut(name) {
        member.0 = state.into();
    }
}

#[test]
fn altered_views_fail_the_check() {
    let script = script("loss");
    let script = Script { length: Duration::from_secs(12), faults: Vec::new(), traffic: false, ..script };
    let played = play_in_memory(&script).expect("the run completes");
    assert_eq!(judge(&script, &played.history).failures, Vec::<String>::new(), "unaltered");
    let from = Duration::from_secs(6);
    type Alteration = fn(&mut ReportedView);
    let alterations: [(&str, Alteration); 7] = [
        ("lists a healthy member as gone", |v| set_state(v, "r2", "gone")),
        ("does not list a member", |v| drop(v.members.remove("r2"))),
        ("lists a member that does not exist", |v| drop(v.members.insert("r77".into(), ("alive".into(), 1)))),
        ("has a different view", |v| v.digest = "0123456789abcdef".into()),
        ("is never settled", |v| v.settled = false),
        ("is not ready", |v| v.status = "joining".into()),
        ("has yielded although no second process exists", |v| v.status = "yielded".into()),
    ];
    for (description, alteration) in alterations {
        let mut history = played.history.clone();
        // The history only holds views that differ from the previous one, so the last view is repeated at
        // `from` to be altered.
        let last = history.events.iter().rev().find_map(|(_, e)| match e {
            Event::ViewReported(1, Some(view)) => Some(view.clone()),
            _ => None,
        });
        history.record(from, Event::ViewReported(1, last));
        history.events.sort_by_key(|(at, _)| *at);
        alter_views(&mut history, 1, from, alteration);
        assert_ne!(judge(&script, &history).failures, Vec::<String>::new(), "{description}");
    }
    let mut unanswered = played.history.clone();
    unanswered.record(Duration::from_secs(11), Event::ViewReported(1, None));
    assert_ne!(judge(&script, &unanswered).failures, Vec::<String>::new(), "does not answer");
}

#[test]
fn a_missing_gone_report_and_a_duplicate_that_does_not_yield_fail_the_check() {
    let long_pause = script("stop-long");
    let played = play_in_memory(&long_pause).expect("the run completes");
    assert_eq!(judge(&long_pause, &played.history).failures, Vec::<String>::new());
    let mut unreported = played.history.clone();
    alter_views(&mut unreported, 1, Duration::ZERO, |v| set_state(v, "r2", "alive"));
    assert_ne!(judge(&long_pause, &unreported).failures, Vec::<String>::new(), "never reports it as gone");

    let duplicate = script("twin");
    let played = play_in_memory(&duplicate).expect("the run completes");
    assert_eq!(judge(&duplicate, &played.history).failures, Vec::<String>::new());
    let mut both_serve = played.history.clone();
    for (_, event) in &mut both_serve.events {
        if let Event::DuplicateViewReported(_, Some(view)) = event {
            view.status = "ready".into();
        }
    }
    assert_ne!(judge(&duplicate, &both_serve).failures, Vec::<String>::new(), "neither yields");
}
