use super::*;

const ENGINE: EngineId = EngineId(1);

#[test]
fn idle_connections_are_reused_until_many_broke() {
    let mut trust = ReuseHistory::default();
    assert!(trust.allows_reuse(ENGINE));
    trust.record(ENGINE, true);
    assert!(trust.allows_reuse(ENGINE), "one break among many uses");
    (0..3).for_each(|_| trust.record(ENGINE, true));
    assert!(
        !trust.allows_reuse(ENGINE) && !trust.allows_reuse(EngineId(2)),
        "what one engine does others may do"
    );
    (0..40).for_each(|_| trust.record(ENGINE, false));
    assert!(trust.allows_reuse(ENGINE), "mended");
}

#[test]
fn where_most_reuses_break_a_few_are_still_tried_and_reuse_comes_back() {
    let mut trust = ReuseHistory::default();
    (0..30).for_each(|_| trust.record(ENGINE, true));
    let tried = (0..80).filter(|_| trust.allows_reuse(ENGINE)).count();
    assert_eq!(tried, 10);
    (0..200).for_each(|_| trust.record(ENGINE, false));
    assert!(trust.allows_reuse(ENGINE) && trust.is_empty(), "nothing is kept of it then");
}
