use super::*;

#[test]
fn the_sum_follows_connections_that_grow_shrink_and_end() {
    let mut sizes = BufferSizes::default();
    let mut connections = HashMap::from([(ConnId(1), 10), (ConnId(2), 30)]);
    connections.keys().for_each(|&conn| sizes.mark_changed(conn));
    let mut total = |connections: &HashMap<ConnId, usize>, changed: Option<u64>| {
        changed.into_iter().for_each(|conn| sizes.mark_changed(ConnId(conn)));
        sizes.total(|conn| connections.get(&conn).copied().unwrap_or(0))
    };
    assert_eq!(total(&connections, None), 40);
    connections.insert(ConnId(1), 25);
    assert_eq!(total(&connections, None), 40, "only connections that were marked are measured");
    assert_eq!(total(&connections, Some(1)), 55);
    connections.insert(ConnId(1), 5);
    assert_eq!(total(&connections, Some(1)), 35);
    connections.remove(&ConnId(2));
    assert_eq!(total(&connections, Some(2)), 5);
    connections.insert(ConnId(1), 0);
    assert_eq!(total(&connections, Some(1)), 0);
}
