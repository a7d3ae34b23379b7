use super::*;

#[test]
fn lines_within_the_interval_are_suppressed_and_counted() {
    let mut limiter = LogLimiter::default();
    let line = || "a fault".to_owned();
    let start = Duration::from_secs(1);
    assert_eq!(limiter.limit(start, line), Some("a fault".to_owned()));
    for _ in 0..2 {
        let not_built = || unreachable!("a suppressed line is not put together");
        assert_eq!(limiter.limit(start + LOG_INTERVAL / 2, not_built), None);
    }
    let expected = "a fault (and 2 lines before it)".to_owned();
    assert_eq!(limiter.limit(start + LOG_INTERVAL, line), Some(expected));
    assert_eq!(limiter.limit(start + LOG_INTERVAL * 2, line), Some("a fault".to_owned()));
}
