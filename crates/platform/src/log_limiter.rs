//! Limits how many log lines a router writes on faults of its peers and on attempts that never ran.

use crate::log_event::LogEvent;
use std::time::Duration;

/// The least time between two lines.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Log lines on non-idempotent attempts that never ran, between two status lines.
const MAX_NEVER_RAN_LINES: u32 = 200;

/// Lets through one line per [`LOG_INTERVAL`] and counts those that it suppresses.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    last_logged: Option<Duration>,
    /// Lines suppressed since the last one that was logged.
    suppressed: u64,
}

impl LogLimiter {
    /// The line to log now, with how many were suppressed before it; `None` if it is suppressed, and its event is not built
    /// then.
    pub(crate) fn limit(&mut self, now: Duration, event: impl FnOnce() -> LogEvent) -> Option<String> {
        if self.last_logged.is_some_and(|at| now < at + LOG_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last_logged = Some(now);
        let event = event();
        Some(match std::mem::take(&mut self.suppressed) {
            0 => event.to_string(),
            suppressed => format!("{event} (and {suppressed} lines before it)"),
        })
    }
}

/// Bounds the lines on non-idempotent attempts that never ran, between two status lines.
#[derive(Debug, Default)]
pub(crate) struct NeverRanLogBudget {
    logged: u32,
}

impl NeverRanLogBudget {
    /// Takes one line of the budget. False if none is left.
    pub(crate) fn take(&mut self) -> bool {
        let is_left = self.logged < MAX_NEVER_RAN_LINES;
        self.logged += u32::from(is_left);
        is_left
    }

    /// A status line was due: the whole budget is left again.
    pub(crate) fn reset(&mut self) {
        self.logged = 0;
    }
}

#[cfg(test)]
mod tests;
