use super::*;

#[test]
fn a_connection_has_one_timer_and_the_last_one_set_counts() {
    let (mut wheel, mut timers, ms) =
        (TimerWheel::default(), ConnectionTimers::default(), Duration::from_millis);
    timers.arm(&mut wheel, ConnId(1), Some(ms(5)), 'a');
    timers.arm(&mut wheel, ConnId(1), Some(ms(9)), 'b');
    timers.arm(&mut wheel, ConnId(2), Some(ms(7)), 'c');
    timers.cancel(&mut wheel, ConnId(2));
    assert_eq!((wheel.pop(ms(8)), wheel.pop(ms(9))), (None, Some('b')));
    timers.fired(ConnId(1));
    timers.arm(&mut wheel, ConnId(1), None, 'd');
    assert!(wheel.is_empty() && timers.0.is_empty());
}
