use super::*;

const ENGINE: EngineId = EngineId(1);

#[test]
fn kept_connections_are_used_until_many_broke() {
    let mut trust = Trust::default();
    assert!(trust.may_use(ENGINE));
    trust.used(ENGINE, true);
    assert!(trust.may_use(ENGINE), "one break among many uses");
    (0..3).for_each(|_| trust.used(ENGINE, true));
    assert!(!trust.may_use(ENGINE) && !trust.may_use(EngineId(2)), "what one engine does others may do");
    (0..40).for_each(|_| trust.used(ENGINE, false));
    assert!(trust.may_use(ENGINE), "mended");
}

#[test]
fn where_most_break_a_few_are_still_tried_and_trust_comes_back() {
    let mut trust = Trust::default();
    (0..30).for_each(|_| trust.used(ENGINE, true));
    let tried = (0..80).filter(|_| trust.may_use(ENGINE)).count();
    assert_eq!(tried, 10);
    (0..200).for_each(|_| trust.used(ENGINE, false));
    assert!(trust.may_use(ENGINE) && trust.is_empty(), "nothing is kept of it then");
}
