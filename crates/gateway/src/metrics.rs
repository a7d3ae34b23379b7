//! The metrics that a router publishes at `GET /metrics` on its operators' port, with the Prometheus client
//! library: requests by class, including rejected ones, their outcomes and their latencies. Capacity planning
//! sums these over routers. Counters start at 0 with each process.

use crate::request::{ActiveRequest, RequestEnd};
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use slipreel::Outcome;
use std::time::Duration;

/// The media type of the published metrics.
pub(crate) const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Labels with their values, in the order in which they are written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Labels<const N: usize>([(&'static str, String); N]);

impl<const N: usize> EncodeLabelSet for Labels<N> {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        self.0.iter().try_for_each(|pair| {
            prometheus_client::encoding::EncodeLabel::encode(pair, encoder.encode_label())
        })
    }
}

fn class_label(class_name: &str) -> Labels<1> {
    Labels([("class", class_name.to_owned())])
}

type Counts<const N: usize> = Family<Labels<N>, Counter>;
type Times = Family<Labels<1>, Histogram, fn() -> Histogram>;

/// Buckets from 1 ms to 65 s, doubling, for the time to the first token.
fn first_token_buckets() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

/// Buckets from 10 us to 0.3 s, doubling, for the latency that the router itself adds.
fn router_latency_buckets() -> Histogram {
    Histogram::new(exponential_buckets(0.000_01, 2.0, 16))
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectionReason {
    /// By admission control or as unlikely to succeed in time, before any attempt.
    Admission,
    /// Before any attempt, with its tenant over its quota.
    OverQuota,
    /// After attempts that all failed.
    AttemptsFailed,
    /// By the gateway's own limit of concurrent requests.
    TooManyRequests,
    /// The router is shutting down.
    Stopping,
}

impl RejectionReason {
    /// The value of the label `reason`.
    fn label(self) -> &'static str {
        match self {
            RejectionReason::Admission => "door",
            RejectionReason::OverQuota => "over_share",
            RejectionReason::AttemptsFailed => "attempts",
            RejectionReason::TooManyRequests => "bound",
            RejectionReason::Stopping => "stopping",
        }
    }
}

/// The value of the label `outcome`.
fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Completed => "ok",
        Outcome::Prefilled => "read",
        Outcome::Error => "error",
        Outcome::Rejected { state_missing: false } => "full",
        Outcome::Rejected { state_missing: true } => "no_state",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
    }
}

/// The current values of the gauges, taken when metrics are requested.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// Engines by role and state.
    pub(crate) engines: Vec<(&'static str, &'static str)>,
    pub(crate) clients: usize,
    pub(crate) engine_connections: usize,
    pub(crate) active_requests: usize,
    pub(crate) releases: usize,
}

/// The metrics of one router.
pub(crate) struct Metrics {
    registry: Registry,
    answers: Counts<2>,
    rejections: Counts<2>,
    attempts: Counts<2>,
    probes: Counter,
    disconnections: Counter,
    rejections_before_admission: Counter,
    admitted: Counts<1>,
    prefills: Counts<1>,
    prefill_tokens: Counts<1>,
    completed_answers: Counts<1>,
    answer_tokens: Counts<1>,
    first_token: Times,
    router_latency: Times,
    engines: Family<Labels<2>, Gauge>,
    open_items: Family<Labels<1>, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("slipreel"),
            answers: Family::default(),
            rejections: Family::default(),
            attempts: Family::default(),
            probes: Counter::default(),
            disconnections: Counter::default(),
            rejections_before_admission: Counter::default(),
            admitted: Family::default(),
            prefills: Family::default(),
            prefill_tokens: Family::default(),
            completed_answers: Family::default(),
            answer_tokens: Family::default(),
            first_token: Family::new_with_constructor(first_token_buckets),
            router_latency: Family::new_with_constructor(router_latency_buckets),
            engines: Family::default(),
            open_items: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Final answers of requests that were taken", self.answers.clone());
        registry.register("refusals", "Requests refused or turned away, by reason", self.rejections.clone());
        registry.register("attempts", "Attempts at engines that ended", self.attempts.clone());
        registry.register("probes", "Probes sent to engines", self.probes.clone());
        registry.register("left", "Clients that left before their answer ended", self.disconnections.clone());
        registry.register(
            "turned",
            "Answers that needed no engine, bad input among them",
            self.rejections_before_admission.clone(),
        );
        registry.register("class_asked", "Requests told to the decision module", self.admitted.clone());
        registry.register("class_reads", "Reads that ended", self.prefills.clone());
        registry.register(
            "class_read_tokens",
            "Prompt tokens that reads had to read",
            self.prefill_tokens.clone(),
        );
        registry.register("class_answers", "Whole answers", self.completed_answers.clone());
        registry.register("class_answer_tokens", "Tokens of whole answers", self.answer_tokens.clone());
        let (first_token, router_latency) = (self.first_token.clone(), self.router_latency.clone());
        registry.register_with_unit(
            "first_token",
            "From a whole request to its first token",
            Unit::Seconds,
            first_token,
        );
        registry.register_with_unit(
            "added",
            "Of that, what no engine was at work in",
            Unit::Seconds,
            router_latency,
        );
        registry.register("engines", "Engines in the list", self.engines.clone());
        registry.register(
            "open",
            "Connections, requests and words to let go that are open",
            self.open_items.clone(),
        );
    }

    /// Counts a request that was passed to the decision module.
    pub(crate) fn request_admitted(&self, class_name: &str) {
        self.admitted.get_or_create(&class_label(class_name)).inc();
        // The other counters of the class are published as 0, so that whoever sums them sees the class.
        for counts in [&self.prefills, &self.prefill_tokens, &self.completed_answers, &self.answer_tokens] {
            drop(counts.get_or_create(&class_label(class_name)));
        }
    }

    /// Counts a completed prefill, with the prompt tokens that were not cached.
    pub(crate) fn prefill_completed(&self, class_name: &str, tokens: u64) {
        self.prefills.get_or_create(&class_label(class_name)).inc();
        self.prefill_tokens.get_or_create(&class_label(class_name)).inc_by(tokens);
    }

    /// Counts a complete answer and its tokens.
    pub(crate) fn answer_completed(&self, class_name: &str, tokens: u64) {
        self.completed_answers.get_or_create(&class_label(class_name)).inc();
        self.answer_tokens.get_or_create(&class_label(class_name)).inc_by(tokens);
    }

    /// Counts a final answer.
    pub(crate) fn request_ended(&self, class_name: &str, end: RequestEnd) {
        let end = match end {
            RequestEnd::Completed => "served",
            RequestEnd::Rejected => "refused",
            RequestEnd::Failed => "failed",
        };
        self.answers
            .get_or_create(&Labels([("class", class_name.to_owned()), ("end", end.to_owned())]))
            .inc();
    }

    /// Counts a rejected request.
    pub(crate) fn request_rejected(&self, class_name: &str, reason: RejectionReason) {
        let labels = Labels([("class", class_name.to_owned()), ("reason", reason.label().to_owned())]);
        self.rejections.get_or_create(&labels).inc();
    }

    /// Counts an attempt that has ended.
    pub(crate) fn attempt_ended(&self, is_prefill: bool, outcome: Outcome) {
        let stage = if is_prefill { "read" } else { "write" };
        let labels = Labels([("stage", stage.to_owned()), ("outcome", outcome_label(outcome).to_owned())]);
        self.attempts.get_or_create(&labels).inc();
    }

    /// Counts a probe.
    pub(crate) fn probe_sent(&self) {
        self.probes.inc();
    }

    /// Counts a client that disconnected before its answer ended.
    pub(crate) fn client_disconnected(&self) {
        self.disconnections.inc();
    }

    /// Counts an answer that did not need the decision module.
    pub(crate) fn rejected_before_admission(&self) {
        self.rejections_before_admission.inc();
    }

    /// Records the time from the complete request to its first token, and the part of it without an engine at
    /// work.
    pub(crate) fn first_token_received(&self, class_name: &str, now: Duration, request: &ActiveRequest) {
        let latency = now.saturating_sub(request.received_at);
        self.first_token.get_or_create(&class_label(class_name)).observe(latency.as_secs_f64());
        let router_latency = latency.saturating_sub(request.time_at_engines(now));
        self.router_latency.get_or_create(&class_label(class_name)).observe(router_latency.as_secs_f64());
    }

    /// All metrics as `OpenMetrics` text.
    pub(crate) fn write(&self, snapshot: &Snapshot) -> String {
        self.engines.clear();
        for (role, state) in &snapshot.engines {
            let labels = Labels([("role", (*role).to_owned()), ("state", (*state).to_owned())]);
            self.engines.get_or_create(&labels).inc();
        }
        let open_items = [
            ("clients", snapshot.clients),
            ("engine_connections", snapshot.engine_connections),
            ("requests", snapshot.active_requests),
            ("words", snapshot.releases),
        ];
        for (what, count) in open_items {
            self.open_items
                .get_or_create(&Labels([("what", what.to_owned())]))
                .set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        let mut out = String::new();
        // Writing to a `String` does not fail.
        let _ = prometheus_client::encoding::text::encode(&mut out, &self.registry);
        sort_samples(&out)
    }
}

/// Inserts further lines before the end mark of an `OpenMetrics` text.
pub(crate) fn append(text: String, more: Option<String>) -> String {
    let Some(more) = more else { return text };
    let lines = text.strip_suffix("# EOF\n").unwrap_or(&text);
    format!("{lines}{more}# EOF\n")
}

/// Sorts the samples of each metric by their labels. The library keeps them in hash maps, but simulations of
/// the same day have to give the same bytes. The samples of one histogram stay together in their own order.
fn sort_samples(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    let mut samples: Vec<Vec<&str>> = Vec::new();
    let mut is_histogram = false;
    for line in text.lines().chain(["#"]) {
        if line.starts_with('#') {
            samples.sort();
            samples.drain(..).flatten().for_each(|sample| out.extend([sample, "\n"]));
            is_histogram = line.ends_with(" histogram") || (is_histogram && line.starts_with("# UNIT"));
            if line != "#" {
                out.extend([line, "\n"]);
            }
        } else {
            match samples.last_mut() {
                Some(last) if is_histogram && !line.contains("_sum{") => last.push(line),
                _ => samples.push(vec![line]),
            }
        }
    }
    out
}

#[cfg(test)]
mod tests;
