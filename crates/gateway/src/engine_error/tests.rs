use super::*;

#[test]
fn only_explicit_rejections_prove_that_nothing_ran() {
    let body = |kind: &str| format!("{{\"error\":{{\"type\":\"{kind}\",\"message\":\"m\"}}}}").into_bytes();
    assert_eq!(classify(503, &body(engine::ENGINE_FULL)), EngineError::Rejected { state_missing: false });
    assert_eq!(classify(409, &body(engine::NO_STATE)), EngineError::Rejected { state_missing: true });
    assert_eq!(classify(400, &body("BadRequestError")), EngineError::InvalidRequest("m".into()));
    for (status, body) in
        [(503, body("Overloaded")), (429, body("busy")), (503, Vec::new()), (400, b"<html>".to_vec())]
    {
        assert_eq!(classify(status, &body), EngineError::Failed, "{status}");
    }
}
