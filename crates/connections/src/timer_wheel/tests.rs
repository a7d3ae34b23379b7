use super::*;
use std::collections::BTreeSet;

fn draw(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

/// Against an ordered map: the same timers fire in the same order, at most one tick late, never early.
#[test]
fn timers_fire_as_from_an_ordered_map() {
    for seed in 1..40u64 {
        let (mut wheel, mut plain) = (TimerWheel::default(), BTreeSet::new());
        let (mut state, mut now, mut keys) = (seed * 0x9e37_79b9, 0u64, Vec::new());
        for n in 0..3000u64 {
            match draw(&mut state) % 4 {
                0 | 1 => {
                    let span = 1u64 << (draw(&mut state) % 28);
                    let at = now + draw(&mut state) % span;
                    keys.push((wheel.set(Duration::from_millis(at), n), at, n));
                    plain.insert((at.max(now), n));
                }
                2 if !keys.is_empty() => {
                    let (key, at, n) = keys.swap_remove(draw(&mut state) as usize % keys.len());
                    let was = plain.iter().find(|k| k.1 == n).copied();
                    assert_eq!(wheel.cancel(key), was.map(|_| n), "at {at}");
                    was.map(|k| plain.remove(&k));
                }
                _ => {
                    now += draw(&mut state) % (1 << (draw(&mut state) % 20));
                    while let Some(n) = wheel.pop(Duration::from_millis(now)) {
                        let &(at, first) = plain.first().expect("a timer that was set");
                        assert!(at <= now && n == first, "{n} fired at {now}, not {first} of {at}");
                        plain.remove(&(at, first));
                    }
                    let next = plain.first().map(|&(at, _)| at);
                    assert!(next.is_none_or(|at| at > now), "late");
                    assert_eq!(wheel.len(), plain.len());
                    let told = wheel.next_at().map(|at| at.as_millis() as u64);
                    assert!(match (told, next) {
                        (Some(told), Some(next)) => told <= next,
                        (None, None) => true,
                        _ => false,
                    });
                }
            }
        }
    }
}

#[test]
fn a_timer_within_a_tick_does_not_fire_early() {
    let mut wheel = TimerWheel::default();
    wheel.set(Duration::from_micros(1_500), 'a');
    assert_eq!(wheel.pop(Duration::from_micros(1_900)), None);
    assert_eq!(wheel.pop(Duration::from_micros(2_000)), Some('a'));
    wheel.set(Duration::from_nanos(3_000_019), 'b');
    assert_eq!(wheel.pop(Duration::from_nanos(3_000_018)), None);
    assert_eq!(wheel.pop(Duration::from_nanos(4_000_000)), Some('b'));
}
