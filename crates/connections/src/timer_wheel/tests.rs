use super::*;
use std::collections::BTreeSet;

/// A xorshift random generator.
fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

/// The same timers fire in the same order as from an ordered set, at most one tick late and never early.
#[test]
fn timers_fire_as_from_an_ordered_set() {
    for seed in 1..40u64 {
        let (mut wheel, mut reference) = (TimerWheel::default(), BTreeSet::new());
        let (mut state, mut now, mut keys) = (seed * 0x9e37_79b9, 0u64, Vec::new());
        for n in 0..3000u64 {
            match next_random(&mut state) % 4 {
                0 | 1 => {
                    let span = 1u64 << (next_random(&mut state) % 28);
                    let at = now + next_random(&mut state) % span;
                    keys.push((wheel.set(Duration::from_millis(at), n), at, n));
                    reference.insert((at.max(now), n));
                }
                2 if !keys.is_empty() => {
                    let (key, at, n) = keys.swap_remove(next_random(&mut state) as usize % keys.len());
                    let pending = reference.iter().find(|timer| timer.1 == n).copied();
                    assert_eq!(wheel.cancel(key), pending.map(|_| n), "at {at}");
                    pending.map(|timer| reference.remove(&timer));
                }
                _ => {
                    now += next_random(&mut state) % (1 << (next_random(&mut state) % 20));
                    while let Some(n) = wheel.pop(Duration::from_millis(now)) {
                        let &(at, first) = reference.first().expect("a timer that was set");
                        assert!(at <= now && n == first, "{n} fired at {now}, not {first} of {at}");
                        reference.remove(&(at, first));
                    }
                    let next = reference.first().map(|&(at, _)| at);
                    assert!(next.is_none_or(|at| at > now), "late");
                    assert_eq!(wheel.len(), reference.len());
                    let reported = wheel.next_at().map(|at| at.as_millis() as u64);
                    assert!(match (reported, next) {
                        (Some(reported), Some(next)) => reported <= next,
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
