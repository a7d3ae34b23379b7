use super::*;

#[test]
fn only_an_engine_that_says_so_has_run_nothing() {
    let body = |kind: &str| format!("{{\"error\":{{\"type\":\"{kind}\",\"message\":\"m\"}}}}").into_bytes();
    assert_eq!(judge(503, &body(engine::FULL)), Verdict::Full { no_state: false });
    assert_eq!(judge(409, &body(engine::NO_STATE)), Verdict::Full { no_state: true });
    assert_eq!(judge(400, &body("BadRequestError")), Verdict::Wrong("m".into()));
    for (status, body) in
        [(503, body("Overloaded")), (429, body("busy")), (503, Vec::new()), (400, b"<html>".to_vec())]
    {
        assert_eq!(judge(status, &body), Verdict::Failed, "{status}");
    }
}
