//! The counters of a router, and the keys under which the log lists them.

use std::fmt;

/// Counters of requests, attempts and connections since the start of the process. They only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that were passed to the decision module.
    pub admitted: u64,
    /// Streams that were forwarded completely.
    pub completed: u64,
    /// Requests rejected by the decision module.
    pub rejected: u64,
    /// Requests that failed: the decision module gave up on them, or their stream broke.
    pub failed: u64,
    /// Requests whose clients disconnected before the end of the answer.
    pub disconnected: u64,
    /// Requests and connections that were rejected without the decision module: malformed, or over capacity.
    pub rejected_before_admission: u64,
    /// Attempts sent to engines.
    pub attempts: u64,
    /// Health checks sent.
    pub probes: u64,
    /// Releases sent to engines, retries and repeats included.
    pub releases: u64,
    /// Streams and answers of engines that could not be read.
    pub malformed_responses: u64,
    /// Connections opened to engines.
    pub engine_connections_opened: u64,
    /// Load reports in answers and health checks that were passed to the decision module.
    pub load_reports: u64,
    /// Load reports that could not be read.
    pub malformed_load_reports: u64,
    /// Requests rejected before any attempt: load shedding, an unreachable deadline, or no eligible engine.
    pub rejected_without_attempt: u64,
    /// Requests that ended before the first event of an answer: failed, rejected after attempts, or
    /// disconnected.
    pub ended_without_event: u64,
    /// First events that were later than the latency objective of their class.
    pub late_first_events: u64,
    /// Streams that broke after their first event.
    pub broken_streams: u64,
    /// Attempts that were cancelled or failed.
    pub wasted_attempts: u64,
    /// Attempts sent to engines in another zone.
    pub cross_zone_attempts: u64,
    /// Prompt tokens of successful prefills.
    pub prefilled_tokens: u64,
    /// Those of `prefilled_tokens` that the prefill engines had cached.
    pub cached_tokens: u64,
    /// Prompt tokens whose state was decoded outside the cell of their prefill engine.
    pub transferred_tokens: u64,
}

impl Counters {
    /// The counters in the order of the log line, each with the key that `slipreel losses` reads.
    fn log_entries(&self) -> [(&'static str, u64); 22] {
        [
            ("taken", self.admitted),
            ("served", self.completed),
            ("refused", self.rejected),
            ("failed", self.failed),
            ("left", self.disconnected),
            ("turned", self.rejected_before_admission),
            ("attempts", self.attempts),
            ("probes", self.probes),
            ("releases", self.releases),
            ("spoilt", self.malformed_responses),
            ("opened", self.engine_connections_opened),
            ("reports", self.load_reports),
            ("odd_reports", self.malformed_load_reports),
            ("refused_early", self.rejected_without_attempt),
            ("fruitless", self.ended_without_event),
            ("late", self.late_first_events),
            ("broken", self.broken_streams),
            ("wasted", self.wasted_attempts),
            ("crossed", self.cross_zone_attempts),
            ("read_tokens", self.prefilled_tokens),
            ("kept_tokens", self.cached_tokens),
            ("moved_tokens", self.transferred_tokens),
        ]
    }
}

/// The counters as the status line lists them and `slipreel losses` reads them: `Tally { taken: 5, served: 4,
/// .. }`. The keys are older than the names of the fields and stay, so that logs of all versions can be read
/// together.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Tally { ")?;
        for (index, (key, count)) in self.log_entries().into_iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{key}: {count}")?;
        }
        f.write_str(" }")
    }
}

#[cfg(test)]
mod tests;
