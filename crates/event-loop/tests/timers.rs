//! The event loop wakes machines in time: its waits are not rounded up to whole milliseconds.

use slipreel_event_loop::{Clock, EventLoop};
use slipreel_state_machine::{Input, Machine, Output};
use std::time::Duration;

const INTERVAL: Duration = Duration::from_micros(200);
const WAKE_COUNT: usize = 60;

/// Asks to be woken at an interval and records how late each wake-up is.
struct Ticker {
    due: Duration,
    delays: Vec<Duration>,
}

impl Machine for Ticker {
    fn handle(&mut self, now: Duration, _: Input<'_>, out: &mut Vec<Output>) {
        if now >= self.due {
            self.delays.push(now - self.due);
            self.due = now + INTERVAL;
        }
        if self.delays.len() == WAKE_COUNT {
            out.push(Output::Stopped);
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        Some(self.due)
    }
}

#[test]
fn waits_are_finer_than_a_millisecond() {
    let clock = Clock::start();
    let mut event_loop = EventLoop::new(clock).expect("an event loop");
    let machine = event_loop.add(Ticker { due: clock.now() + INTERVAL, delays: Vec::new() });
    event_loop.run().expect("a run");
    let delays = &event_loop.machine(machine).delays;
    // The smallest of many delays, as the computer may be busy with something else at any of them.
    let least = delays.iter().min().expect("a wake-up");
    assert!(delays.len() == WAKE_COUNT && *least < Duration::from_micros(500), "{least:?}");
}
