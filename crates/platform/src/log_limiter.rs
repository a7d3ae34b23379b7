//! Limits how many log lines a router writes on faults of its peers.

use std::time::Duration;

/// The least time between two lines.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Lets through one line per [`LOG_INTERVAL`] and counts those that it suppresses.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    last_logged: Option<Duration>,
    /// Lines suppressed since the last one that was logged.
    suppressed: u64,
}

impl LogLimiter {
    /// The line to log now, with how many were suppressed before it; `None` if it is suppressed, and not put together then.
    pub(crate) fn limit(&mut self, now: Duration, line: impl FnOnce() -> String) -> Option<String> {
        if self.last_logged.is_some_and(|at| now < at + LOG_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last_logged = Some(now);
        let line = line();
        Some(match std::mem::take(&mut self.suppressed) {
            0 => line,
            suppressed => format!("{line} (and {suppressed} lines before it)"),
        })
    }
}

#[cfg(test)]
mod tests;
