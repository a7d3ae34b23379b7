use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_removed_connection_leaves_no_timer() {
    let mut wheel = TimerWheel::default();
    let mut connections = ConnectionMap::default();
    let conn = ConnId::opened(1);
    connections.insert(conn, "first");
    connections.arm_timer(conn, Some(SECOND), &mut wheel, "timer");
    assert_eq!(wheel.len(), 1);
    assert_eq!(connections.remove(conn, &mut wheel), Some("first"));
    assert_eq!(wheel.len(), 0);
    assert!(connections.is_empty() && !connections.contains(conn));
}

#[test]
fn a_timer_that_is_armed_again_replaces_the_earlier_one() {
    let mut wheel = TimerWheel::default();
    let mut connections = ConnectionMap::default();
    let conn = ConnId::opened(1);
    connections.insert(conn, ());
    connections.arm_timer(conn, Some(SECOND), &mut wheel, "earlier");
    connections.arm_timer(conn, Some(SECOND * 2), &mut wheel, "later");
    assert_eq!(wheel.pop(SECOND), None);
    assert_eq!(wheel.pop(SECOND * 2), Some("later"));
}

#[test]
fn ids_are_sorted_whatever_the_order_of_insertion() {
    let mut connections = ConnectionMap::default();
    for number in [5, 1, 9, 3, 7] {
        connections.insert(ConnId::opened(number), number);
    }
    let ids = connections.sorted_ids(|&number| number != 3);
    assert_eq!(ids, [1, 5, 7, 9].map(ConnId::opened));
}
