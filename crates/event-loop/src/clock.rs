//! The monotonic clock that event loops and their machines share.

use std::time::{Duration, Instant};

/// What the clock shows at its start. It is not zero, so that an engine's start can lie before that of the process.
const START: Duration = Duration::from_secs(1 << 20);

/// A monotonic clock that several event loops may share.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The present time.
    pub fn now(&self) -> Duration {
        START + self.0.elapsed()
    }
}
