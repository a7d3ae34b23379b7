use super::*;

#[test]
fn doors_are_the_ways_in_order() {
    let wire = Wire::new(vec![SocketAddr::from(([127, 0, 0, 1], 1)); 4], 1);
    for (door, way) in Wire::ways(4).enumerate() {
        assert_eq!(wire.way(ListenerId(door)), way);
    }
    assert_eq!(Wire::ways(4).count(), 12);
}
