//! What a router publishes of itself at `GET /metrics` of its operators' port, by the Prometheus client library: what was
//! asked of it, by class, the refused too, what became of it, and how long it took. Who plans for the fleet sums these
//! over routers; counters start anew with a process.

use crate::request::{ActiveRequest, RequestEnd};
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use slipreel::Outcome;
use std::time::Duration;

/// The media type of what is published.
pub(crate) const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Labels with their values, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Labels<const N: usize>([(&'static str, String); N]);

impl<const N: usize> EncodeLabelSet for Labels<N> {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        self.0.iter().try_for_each(|pair| {
            prometheus_client::encoding::EncodeLabel::encode(pair, encoder.encode_label())
        })
    }
}

fn class(name: &str) -> Labels<1> {
    Labels([("class", name.to_owned())])
}

type Counts<const N: usize> = Family<Labels<N>, Counter>;
type Times = Family<Labels<1>, Histogram, fn() -> Histogram>;

/// From 1 ms to 65 s, doubling: first tokens.
fn first_token_buckets() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

/// From 10 us to 0.3 s, doubling: what the router itself adds.
fn added_buckets() -> Histogram {
    Histogram::new(exponential_buckets(0.000_01, 2.0, 16))
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectionReason {
    /// By the curve or as hopeless, before any attempt.
    Admission,
    /// The same, and its tenant was over its share.
    OverQuota,
    /// After attempts that came to nothing.
    AttemptsFailed,
    /// The gateway's own bound on requests under way.
    TooManyRequests,
    /// The router is stopping.
    Stopping,
}

impl RejectionReason {
    fn name(self) -> &'static str {
        match self {
            RejectionReason::Admission => "door",
            RejectionReason::OverQuota => "over_share",
            RejectionReason::AttemptsFailed => "attempts",
            RejectionReason::TooManyRequests => "bound",
            RejectionReason::Stopping => "stopping",
        }
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
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

/// What stands now; taken when it is asked for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// Engines by role and state.
    pub(crate) engines: Vec<(&'static str, &'static str)>,
    pub(crate) clients: usize,
    pub(crate) engine_connections: usize,
    pub(crate) under_way: usize,
    pub(crate) releases: usize,
}

/// The metrics of one router.
pub(crate) struct Metrics {
    registry: Registry,
    answers: Counts<2>,
    refusals: Counts<2>,
    attempts: Counts<2>,
    probes: Counter,
    left: Counter,
    turned: Counter,
    admitted: Counts<1>,
    reads: Counts<1>,
    read_tokens: Counts<1>,
    whole: Counts<1>,
    answer_tokens: Counts<1>,
    first_token: Times,
    added: Times,
    engines: Family<Labels<2>, Gauge>,
    open: Family<Labels<1>, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("slipreel"),
            answers: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            probes: Counter::default(),
            left: Counter::default(),
            turned: Counter::default(),
            admitted: Family::default(),
            reads: Family::default(),
            read_tokens: Family::default(),
            whole: Family::default(),
            answer_tokens: Family::default(),
            first_token: Family::new_with_constructor(first_token_buckets),
            added: Family::new_with_constructor(added_buckets),
            engines: Family::default(),
            open: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("answers", "Final answers of requests that were taken", self.answers.clone());
        r.register("refusals", "Requests refused or turned away, by reason", self.refusals.clone());
        r.register("attempts", "Attempts at engines that ended", self.attempts.clone());
        r.register("probes", "Probes sent to engines", self.probes.clone());
        r.register("left", "Clients that left before their answer ended", self.left.clone());
        r.register("turned", "Answers that needed no engine, bad input among them", self.turned.clone());
        r.register("class_asked", "Requests told to the decision module", self.admitted.clone());
        r.register("class_reads", "Reads that ended", self.reads.clone());
        r.register("class_read_tokens", "Prompt tokens that reads had to read", self.read_tokens.clone());
        r.register("class_answers", "Whole answers", self.whole.clone());
        r.register("class_answer_tokens", "Tokens of whole answers", self.answer_tokens.clone());
        let (first, added) = (self.first_token.clone(), self.added.clone());
        r.register_with_unit("first_token", "From a whole request to its first token", Unit::Seconds, first);
        r.register_with_unit("added", "Of that, what no engine was at work in", Unit::Seconds, added);
        r.register("engines", "Engines in the list", self.engines.clone());
        r.register("open", "Connections, requests and words to let go that are open", self.open.clone());
    }

    /// A request was handed to the decision module.
    pub(crate) fn admitted(&self, name: &str) {
        self.admitted.get_or_create(&class(name)).inc();
        // What has not happened yet is told as 0, so that who sums knows the class.
        for counts in [&self.reads, &self.read_tokens, &self.whole, &self.answer_tokens] {
            drop(counts.get_or_create(&class(name)));
        }
    }

    pub(crate) fn read(&self, name: &str, tokens: u64) {
        self.reads.get_or_create(&class(name)).inc();
        self.read_tokens.get_or_create(&class(name)).inc_by(tokens);
    }

    pub(crate) fn answered(&self, name: &str, tokens: u64) {
        self.whole.get_or_create(&class(name)).inc();
        self.answer_tokens.get_or_create(&class(name)).inc_by(tokens);
    }

    /// A request has its final answer.
    pub(crate) fn ended(&self, name: &str, end: RequestEnd) {
        let end = match end {
            RequestEnd::Completed => "served",
            RequestEnd::Rejected => "refused",
            RequestEnd::Failed => "failed",
        };
        self.answers.get_or_create(&Labels([("class", name.to_owned()), ("end", end.to_owned())])).inc();
    }

    pub(crate) fn refused(&self, name: &str, why: RejectionReason) {
        let labels = Labels([("class", name.to_owned()), ("reason", why.name().to_owned())]);
        self.refusals.get_or_create(&labels).inc();
    }

    pub(crate) fn attempt(&self, is_prefill: bool, outcome: Outcome) {
        let stage = if is_prefill { "read" } else { "write" };
        let labels = Labels([("stage", stage.to_owned()), ("outcome", outcome_name(outcome).to_owned())]);
        self.attempts.get_or_create(&labels).inc();
    }

    pub(crate) fn probe(&self) {
        self.probes.inc();
    }

    pub(crate) fn left(&self) {
        self.left.inc();
    }

    pub(crate) fn turned(&self) {
        self.turned.inc();
    }

    /// The first token of a request has come, so long after it was whole.
    pub(crate) fn first_token(&self, name: &str, now: Duration, request: &ActiveRequest) {
        let took = now.saturating_sub(request.since);
        self.first_token.get_or_create(&class(name)).observe(took.as_secs_f64());
        let added = took.saturating_sub(request.time_at_engines(now));
        self.added.get_or_create(&class(name)).observe(added.as_secs_f64());
    }

    /// All as `OpenMetrics` text.
    pub(crate) fn write(&self, now: &Snapshot) -> String {
        self.engines.clear();
        for (role, state) in &now.engines {
            let labels = Labels([("role", (*role).to_owned()), ("state", (*state).to_owned())]);
            self.engines.get_or_create(&labels).inc();
        }
        let open = [
            ("clients", now.clients),
            ("engine_connections", now.engine_connections),
            ("requests", now.under_way),
            ("words", now.releases),
        ];
        for (what, count) in open {
            self.open
                .get_or_create(&Labels([("what", what.to_owned())]))
                .set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        let mut out = String::new();
        // Writing to a text does not fail.
        let _ = prometheus_client::encoding::text::encode(&mut out, &self.registry);
        in_order(&out)
    }
}

/// A published text with further lines before its end.
pub(crate) fn with(text: String, more: Option<String>) -> String {
    let Some(more) = more else { return text };
    let end = text.strip_suffix("# EOF\n").unwrap_or(&text);
    format!("{end}{more}# EOF\n")
}

/// The same text with the samples of each metric in the order of their labels: the library keeps them in hash maps, and
/// the same day has to give the same bytes. The samples of one histogram stay together, as their own order counts.
fn in_order(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    let mut samples: Vec<Vec<&str>> = Vec::new();
    let mut histogram = false;
    for line in text.lines().chain(["#"]) {
        if line.starts_with('#') {
            samples.sort();
            samples.drain(..).flatten().for_each(|l| out.extend([l, "\n"]));
            histogram = line.ends_with(" histogram") || (histogram && line.starts_with("# UNIT"));
            if line != "#" {
                out.extend([line, "\n"]);
            }
        } else {
            match samples.last_mut() {
                Some(last) if histogram && !line.contains("_sum{") => last.push(line),
                _ => samples.push(vec![line]),
            }
        }
    }
    out
}

#[cfg(test)]
mod tests;
