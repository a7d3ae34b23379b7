use super::*;

fn bounds() -> Bounds {
    let second = Duration::from_secs(1);
    Bounds {
        connections: 10,
        requests: 2,
        body: 100,
        unsent: 1000,
        per_engine: 4,
        idle_per_engine: 2,
        engine_idle: second,
        client_idle: second,
        receive: second,
        stalled_peer: second,
        silent_stream: second,
        probe: second,
        stop: second,
        half_close: false,
    }
}

#[test]
fn admits_up_to_the_limit_and_nothing_during_shutdown() {
    let bounds = bounds();
    assert_eq!(check_admission(&bounds, 1, false), Ok(()));
    assert_eq!(check_admission(&bounds, 2, false), Err(AdmissionError::TooManyRequests));
    assert_eq!(check_admission(&bounds, 0, true), Err(AdmissionError::Stopping));
}

#[test]
fn a_paused_source_resumes_at_half_the_limit() {
    let bounds = bounds();
    let steps = [(1000, false, false), (1001, false, true), (501, true, true), (500, true, false)];
    for (unsent_bytes, paused, expected) in steps {
        assert_eq!(should_pause(&bounds, unsent_bytes, paused), expected, "{unsent_bytes} {paused}");
    }
}
