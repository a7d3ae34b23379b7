//! What a router publishes of itself at `GET /metrics` (Prometheus text format 0.0.4): what was asked of it, by class, the
//! refused too, and what became of it. Who plans for the fleet sums these over routers; counters start anew with a process.

use crate::front::Tally;
use std::fmt::Write as _;

/// What was asked of one class, and what it took. Only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Asked {
    /// Requests.
    pub(crate) asked: u64,
    /// Reads that ended, and the prompt tokens that they had to read.
    pub(crate) reads: u64,
    pub(crate) read_tokens: u64,
    /// Whole answers, and their tokens.
    pub(crate) answers: u64,
    pub(crate) answer_tokens: u64,
}

/// Writes the counters.
pub(crate) fn write(tally: &Tally, classes: &[(&str, Asked)]) -> String {
    let mut out = String::new();
    for (name, value) in [
        ("served", tally.served),
        ("refused", tally.refused),
        ("failed", tally.failed),
        ("left", tally.left),
        ("turned", tally.turned),
        ("attempts", tally.attempts),
        ("probes", tally.probes),
    ] {
        let _ = writeln!(out, "# TYPE slipreel_{name}_total counter\nslipreel_{name}_total {value}");
    }
    type Count = fn(&Asked) -> u64;
    let by_class: [(&str, Count); 5] = [
        ("asked", |a| a.asked),
        ("reads", |a| a.reads),
        ("read_tokens", |a| a.read_tokens),
        ("answers", |a| a.answers),
        ("answer_tokens", |a| a.answer_tokens),
    ];
    for (name, value) in by_class {
        let _ = writeln!(out, "# TYPE slipreel_class_{name}_total counter");
        for (class, asked) in classes {
            let _ = writeln!(out, "slipreel_class_{name}_total{{class=\"{class}\"}} {}", value(asked));
        }
    }
    out
}
