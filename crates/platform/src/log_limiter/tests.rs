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

#[test]
fn a_budget_counts_the_lines_that_it_suppresses_until_it_is_restored() {
    let mut budget = LineBudget::default();
    let taken = (0..MAX_BUDGETED_LINES + 3).filter(|_| budget.take()).count();
    assert_eq!((taken, budget.suppressed()), (MAX_BUDGETED_LINES as usize, 3));
    budget.reset();
    assert!(budget.take());
    assert_eq!(budget.suppressed(), 0);
}
