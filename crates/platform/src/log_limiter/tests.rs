use super::*;

#[test]
fn lines_within_the_interval_are_suppressed_and_counted() {
    let mut limiter = LogLimiter::default();
    let event = || LogEvent::RequestFailed { trace: "a fault".to_owned() };
    let start = Duration::from_secs(1);
    assert_eq!(limiter.limit(start, event), Some("failed: a fault".to_owned()));
    for _ in 0..2 {
        let not_built = || unreachable!("a suppressed event is not built");
        assert_eq!(limiter.limit(start + LOG_INTERVAL / 2, not_built), None);
    }
    let expected = "failed: a fault (and 2 lines before it)".to_owned();
    assert_eq!(limiter.limit(start + LOG_INTERVAL, event), Some(expected));
    assert_eq!(limiter.limit(start + LOG_INTERVAL * 2, event), Some("failed: a fault".to_owned()));
}
