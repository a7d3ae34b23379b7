//! The counters of a router, and the keys by which the log lists them.

use std::fmt;

/// Counters of requests, attempts and connections since the start of the process. They only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that reached the decision module.
    pub admitted: u64,
    /// Complete streams that were forwarded.
    pub completed: u64,
    /// Requests rejected by the decision module.
    pub rejected: u64,
    /// Requests that failed, by the decision module or as a stream broke.
    pub failed: u64,
    /// Requests whose clients left before their answer ended.
    pub disconnected: u64,
    /// Requests and connections answered or closed without the decision module: malformed, or for want of capacity.
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
    /// Load reports that came with answers or health checks and went to the decision module.
    pub load_reports: u64,
    /// Load reports that could not be read.
    pub malformed_load_reports: u64,
    /// Requests rejected before any attempt: load shed, deadline unreachable, or no engine to send to.
    pub rejected_without_attempt: u64,
    /// Requests that failed or were rejected after attempts, or whose clients left while some were in flight.
    pub ended_without_event: u64,
    /// First events that came later than the latency objective of their class.
    pub late_first_events: u64,
    /// Streams that broke after their first event.
    pub broken_streams: u64,
    /// Attempts that were cancelled, broke or ended as errors.
    pub wasted_attempts: u64,
    /// Attempts at engines of another zone.
    pub cross_zone_attempts: u64,
    /// Prompt tokens of prefills that ended well.
    pub prefilled_tokens: u64,
    /// How many of these their prefill engines had cached.
    pub cached_tokens: u64,
    /// Prompt tokens whose state was decoded outside the cell of their prefill engine.
    pub transferred_tokens: u64,
}

impl Counters {
    /// The counters in the order of the log line, each under the key by which `slipreel losses` knows it.
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

/// The text of the status line, which `slipreel losses` reads: `Tally { taken: 5, served: 4, .. }`. Its keys are older than
/// the names of the fields and stay, so that logs of all versions can be read together.
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
