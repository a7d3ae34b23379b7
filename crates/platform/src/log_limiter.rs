//! Limits the number of log lines about faults of peers, attempts that never ran and releases.

use crate::log_event::LogEvent;
use std::time::Duration;

/// Minimum time between two lines.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of lines of one kind between two status lines.
const MAX_BUDGETED_LINES: u32 = 200;

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

/// Limits the lines of one kind between two status lines, and counts those that it suppresses.
#[derive(Debug, Default)]
pub(crate) struct LineBudget {
    logged: u32,
    suppressed: u64,
}

impl LineBudget {
    /// Takes one line from the budget. False if none is left.
    pub(crate) fn take(&mut self) -> bool {
        let is_left = self.logged < MAX_BUDGETED_LINES;
        self.logged += u32::from(is_left);
        self.suppressed += u64::from(!is_left);
        is_left
    }

    /// The number of lines that were suppressed since the budget was restored.
    pub(crate) fn suppressed(&self) -> u64 {
        self.suppressed
    }

    /// Restores the whole budget, with each status line.
    pub(crate) fn reset(&mut self) {
        *self = LineBudget::default();
    }
}

#[cfg(test)]
mod tests;
