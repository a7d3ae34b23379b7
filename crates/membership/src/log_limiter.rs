//! A limit on log lines about rejected messages, which a faulty peer could send without end.

use crate::timing;
use std::time::Duration;

/// Lets one line pass in each [`timing::REJECTION_LOG_INTERVAL`] and counts the others.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    last_logged: Option<Duration>,
    since_last_line: u64,
}

impl LogLimiter {
    /// Counts an event; the number of events since the last line if one may be logged now.
    pub(crate) fn count(&mut self, now: Duration) -> Option<u64> {
        self.since_last_line += 1;
        let is_due = self.last_logged.is_none_or(|logged| now >= logged + timing::REJECTION_LOG_INTERVAL);
        is_due.then(|| {
            self.last_logged = Some(now);
            std::mem::take(&mut self.since_last_line)
        })
    }
}
