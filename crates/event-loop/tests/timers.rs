//! The loop wakes machines in time: waits are not rounded up to whole milliseconds.

use slipreel_event_loop::{Clock, EventLoop};
use slipreel_state_machine::{Input, Machine, Output};
use std::time::Duration;

const STEP: Duration = Duration::from_micros(200);
const TIMES: usize = 60;

/// Asks to be woken every so often and notes how late it was.
struct Ticker {
    due: Duration,
    late: Vec<Duration>,
}

impl Machine for Ticker {
    fn handle(&mut self, now: Duration, _: Input<'_>, out: &mut Vec<Output>) {
        if now >= self.due {
            self.late.push(now - self.due);
            self.due = now + STEP;
        }
        if self.late.len() == TIMES {
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
    let mut turn = EventLoop::new(clock).expect("an event loop");
    let node = turn.add(Ticker { due: clock.now() + STEP, late: Vec::new() });
    turn.run().expect("a run");
    let late = &turn.machine(node).late;
    // The least of many, as the machine may be busy with something else at any one of them.
    let least = late.iter().min().expect("some");
    assert!(late.len() == TIMES && *least < Duration::from_micros(500), "{least:?}");
}
