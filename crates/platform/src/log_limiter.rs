//! Limits the number of log lines about faults of peers and about attempts that never ran.

use crate::log_event::LogEvent;
use std::time::Duration;

/// Minimum time between two lines.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of lines about non-idempotent attempts that never ran, between two status lines.
const MAX_NEVER_RAN_LINES: u32 = 200;

/// Passes one line per [`LOG_INTERVAL`] and counts those that it suppresses.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    last_logged: Option<Duration>,
    /// Lines suppressed since the last one that was logged.
    suppressed: u64,
}

impl LogLimiter {
    /// Returns the line to log, with the number of lines suppressed before it. `None` if it is suppressed;
    /// its event is not built then.
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

/// Limits the lines about non-idempotent attempts that never ran, between two status lines.
#[derive(Debug, Default)]
pub(crate) struct NeverRanLogBudget {
    logged: u32,
}

impl NeverRanLogBudget {
    /// Takes one line from the budget. False if none is left.
    pub(crate) fn take(&mut self) -> bool {
        let is_left = self.logged < MAX_NEVER_RAN_LINES;
        self.logged += u32::from(is_left);
        is_left
    }

    /// Restores the whole budget, with each status line.
    pub(crate) fn reset(&mut self) {
        self.logged = 0;
    }
}

#[cfg(test)]
mod tests;
