//! The report of a run: which requests were served, by group.

use slipreel_invariants::{ClientAttempt, Effect, Ending};
use slipreel_scenario::RunResult;
use slipreel_test_servers::client::AttemptResult;
use std::time::Duration;

fn result(request: u64, due_ms: u64, router: usize, effect: Effect, ending: Option<Ending>) -> AttemptResult {
    AttemptResult {
        attempt: ClientAttempt { request, number: 0 },
        model: "chat".to_owned(),
        key: "key".to_owned(),
        effect,
        router,
        ending,
        is_unanswered: false,
        status: 0,
        error: String::new(),
        due: Duration::from_millis(due_ms),
        began: None,
        ended: Duration::from_millis(due_ms + 1),
        tokens: 0,
        fault: None,
        retry_after: None,
        should_retry: None,
    }
}

fn run_result(results: Vec<AttemptResult>) -> RunResult {
    RunResult {
        results,
        records: Vec::new(),
        violations: Vec::new(),
        counters: Vec::new(),
        held_requests: 0,
        orders: (0, 0),
        log: Vec::new(),
        digest: 0,
        inputs: 0,
        took: Duration::ZERO,
    }
}

#[test]
fn shares_are_counted_by_effect_third_and_router() {
    let unanswered = AttemptResult { is_unanswered: true, ..result(4, 900, 1, Effect::Unsafe, None) };
    let run = run_result(vec![
        result(1, 0, 0, Effect::Safe, Some(Ending::Served)),
        result(2, 299, 0, Effect::Keyed, Some(Ending::Refused)),
        result(3, 300, 1, Effect::Safe, None),
        unanswered,
    ]);
    let report = run.report();
    let effects: Vec<(&str, usize, usize)> =
        report.effects.iter().map(|(name, group)| (name.as_str(), group.asked, group.served)).collect();
    assert_eq!(effects, [("keyed", 1, 0), ("safe", 2, 1), ("unsafe", 1, 0)]);
    let thirds: Vec<(&str, usize)> =
        report.thirds.iter().map(|(name, group)| (name.as_str(), group.asked)).collect();
    assert_eq!(thirds, [("first", 2), ("second", 1), ("third", 1)]);
    assert_eq!(report.routers_that_served_nobody(), ["router-1"]);
    let router = &report.routers["router-1"];
    assert_eq!((router.left, router.unanswered, router.served_share()), (1, 1, Some(0.0)));
    let text = report.to_string();
    assert!(text.contains("router-1 served nobody") && !text.contains("router-0 served nobody"), "{text}");
}

#[test]
fn a_request_counts_in_the_group_of_its_last_attempt() {
    let mut second = result(1, 10, 1, Effect::Safe, Some(Ending::Served));
    second.attempt.number = 1;
    let run = run_result(vec![result(1, 10, 0, Effect::Safe, Some(Ending::Refused)), second]);
    let report = run.report();
    assert_eq!((report.routers["router-0"].asked, report.routers["router-0"].attempts), (0, 1));
    assert_eq!((report.routers["router-1"].asked, report.routers["router-1"].served), (1, 1));
    assert_eq!(report.routers_that_served_nobody(), [""; 0]);
}

/// Without requests there are no shares, and no division by zero.
#[test]
fn a_run_without_requests_has_no_groups() {
    let report = run_result(Vec::new()).report();
    assert!(report.thirds.is_empty() && report.routers.is_empty());
}
