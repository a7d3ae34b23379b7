use super::*;

#[test]
fn an_id_is_kept_until_it_expires_or_the_capacity_is_exceeded() {
    let mut ids = RecentIds::default();
    let start = Duration::from_secs(100);
    ids.add(start, "first");
    assert!(ids.contains(start + RETENTION - Duration::from_millis(1), "first"));
    assert!(!ids.contains(start + RETENTION, "first"));
    assert!(!ids.contains(start, "second"));
    for n in 0..2 * CAPACITY {
        ids.add(start + RETENTION, &n.to_string());
    }
    assert_eq!((ids.order.len(), ids.hashes.len()), (CAPACITY, CAPACITY));
    assert!(ids.contains(start + RETENTION, &(2 * CAPACITY - 1).to_string()), "the last is known");
}
