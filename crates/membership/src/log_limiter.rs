//! Rate limit for log lines about rejected messages, as a faulty peer can send any number of them.

use crate::timing;
use std::time::Duration;

/// Allows one line per [`timing::REJECTION_LOG_INTERVAL`] and counts the events in between.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    last_logged: Option<Duration>,
    events_since_last_line: u64,
}

impl LogLimiter {
    /// Counts an event. If a line may be logged now, returns the number of events since the last line, this
    /// one included.
    pub(crate) fn count(&mut self, now: Duration) -> Option<u64> {
        self.events_since_last_line += 1;
        let is_due = self.last_logged.is_none_or(|logged| now >= logged + timing::REJECTION_LOG_INTERVAL);
        is_due.then(|| {
            self.last_logged = Some(now);
            std::mem::take(&mut self.events_since_last_line)
        })
    }
}
