use super::*;

fn bounds() -> Bounds {
    let s = Duration::from_secs(1);
    Bounds {
        connections: 10,
        requests: 2,
        body: 100,
        unsent: 1000,
        per_engine: 4,
        idle_per_engine: 2,
        engine_idle: s,
        client_idle: s,
        receive: s,
        stalled_peer: s,
        silent_stream: s,
        probe: s,
        stop: s,
        half_close: false,
    }
}

#[test]
fn takes_up_to_the_bound_and_nothing_when_stopping() {
    let b = bounds();
    assert_eq!(check_admission(&b, 1, false), Ok(()));
    assert_eq!(check_admission(&b, 2, false), Err(AdmissionError::TooManyRequests));
    assert_eq!(check_admission(&b, 0, true), Err(AdmissionError::Stopping));
}

#[test]
fn a_paused_source_goes_on_at_half() {
    let b = bounds();
    let steps = [(1000, false, false), (1001, false, true), (501, true, true), (500, true, false)];
    for (unsent, paused, expected) in steps {
        assert_eq!(pauses(&b, unsent, paused), expected, "{unsent} {paused}");
    }
}
