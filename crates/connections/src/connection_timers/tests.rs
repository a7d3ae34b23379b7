use super::*;

#[test]
fn a_connection_has_one_timer_and_the_last_one_set_counts() {
    let (mut wheel, mut due, ms) =
        (TimerWheel::default(), ConnectionTimers::default(), Duration::from_millis);
    due.arm(&mut wheel, ConnId(1), Some(ms(5)), 'a');
    due.arm(&mut wheel, ConnId(1), Some(ms(9)), 'b');
    due.arm(&mut wheel, ConnId(2), Some(ms(7)), 'c');
    due.cancel(&mut wheel, ConnId(2));
    assert_eq!((wheel.pop(ms(8)), wheel.pop(ms(9))), (None, Some('b')));
    due.fired(ConnId(1));
    due.arm(&mut wheel, ConnId(1), None, 'd');
    assert!(wheel.is_empty() && due.0.is_empty());
}
