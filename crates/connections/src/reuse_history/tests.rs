use super::*;

const ENGINE: EngineId = EngineId(1);

#[test]
fn idle_connections_are_reused_until_many_break() {
    let mut history = ReuseHistory::default();
    assert!(history.allows_reuse(ENGINE));
    history.record(ENGINE, true);
    assert!(history.allows_reuse(ENGINE), "one break among many uses");
    (0..3).for_each(|_| history.record(ENGINE, true));
    assert!(
        !history.allows_reuse(ENGINE) && !history.allows_reuse(EngineId(2)),
        "the overall share counts for all engines"
    );
    (0..40).for_each(|_| history.record(ENGINE, false));
    assert!(history.allows_reuse(ENGINE), "recovered");
}

#[test]
fn a_few_reuses_are_tried_while_most_break_and_reuse_resumes_after_recovery() {
    let mut history = ReuseHistory::default();
    (0..30).for_each(|_| history.record(ENGINE, true));
    let tried = (0..80).filter(|_| history.allows_reuse(ENGINE)).count();
    assert_eq!(tried, 10);
    (0..200).for_each(|_| history.record(ENGINE, false));
    assert!(history.allows_reuse(ENGINE) && history.is_empty(), "no entry is kept after recovery");
}
