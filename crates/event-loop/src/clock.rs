//! The monotonic clock that event loops and their machines share.

use std::time::{Duration, Instant};

/// The clock's time at its start. It is not zero, so that the start time of an engine may precede that of
/// this process.
const START: Duration = Duration::from_secs(1 << 20);

/// A monotonic clock that several event loops may share.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The current time.
    pub fn now(&self) -> Duration {
        START + self.0.elapsed()
    }
}
