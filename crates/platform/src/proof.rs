//! How attempts end, and proof that one never ran. Only an attempt with a [`NeverRan`] is reported to the
//! decision module as not run; every other attempt may have run.

use slipreel::{LoadReport, Outcome};
use std::fmt;

/// Proof that an attempt never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NeverRan {
    /// The engine has left the list, or there was no slot for a connection: nothing was tried.
    NotTried,
    /// The connection was never established, so nothing was written to it.
    NotConnected,
    /// The router closed the connection before it was established.
    Cancelled,
    /// The router still holds back the last byte of the request. A write that failed, or was not reported
    /// yet, is no such proof: the engine may have received all of it.
    LastByteHeld,
    /// The engine rejected the request, on a connection without an earlier exchange, so the answer cannot
    /// belong to another request.
    Rejected {
        /// Whether the reason was that there was no state to fetch.
        state_missing: bool,
    },
}

impl NeverRan {
    /// The outcome that is reported to the decision module.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            NeverRan::NotConnected => Outcome::ConnectFailed,
            NeverRan::NotTried | NeverRan::Cancelled | NeverRan::LastByteHeld => Outcome::NotSent,
            NeverRan::Rejected { state_missing } => Outcome::Rejected { state_missing },
        }
    }
}

impl fmt::Display for NeverRan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NeverRan::NotTried => "it was not tried",
            NeverRan::NotConnected => "its connection never stood",
            NeverRan::Cancelled => "its connection was given up before it stood",
            NeverRan::LastByteHeld => "its last byte was held back here",
            NeverRan::Rejected { .. } => "its engine turned it away",
        })
    }
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub(crate) struct AttemptEnd {
    outcome: Outcome,
    proof: Option<NeverRan>,
    cached_tokens: f64,
    report: LoadReport,
}

impl AttemptEnd {
    fn new(outcome: Outcome, proof: Option<NeverRan>) -> Self {
        AttemptEnd { outcome, proof, cached_tokens: 0.0, report: LoadReport::default() }
    }

    /// The end of an attempt that provably never ran.
    pub(crate) fn never_ran(proof: NeverRan) -> Self {
        AttemptEnd::new(proof.outcome(), Some(proof))
    }

    /// The end of an attempt that failed, or was interrupted or cancelled, and may have run. An outcome that
    /// would prove the contrary is replaced by an error.
    pub(crate) fn may_have_run(outcome: Outcome) -> Self {
        AttemptEnd::new(if outcome.proves_not_run() { Outcome::Error } else { outcome }, None)
    }

    /// The end of a complete stream.
    pub(crate) fn completed() -> Self {
        AttemptEnd::new(Outcome::Completed, None)
    }

    /// The end of a prefill, with the number of prompt tokens that the engine had cached. Only for attempts
    /// at prefill engines: a prefill has no side effects.
    pub(crate) fn prefilled(cached_tokens: f64) -> Self {
        AttemptEnd { cached_tokens, ..AttemptEnd::new(Outcome::Prefilled, None) }
    }

    /// Adds the engine's load report.
    #[must_use]
    pub(crate) fn with_report(self, report: LoadReport) -> Self {
        AttemptEnd { report, ..self }
    }

    /// The outcome that is reported to the decision module.
    pub(crate) fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// The proof that it never ran, if there is one.
    pub(crate) fn proof(&self) -> Option<NeverRan> {
        self.proof
    }

    /// Prompt tokens that the prefill engine had cached.
    pub(crate) fn cached_tokens(&self) -> f64 {
        self.cached_tokens
    }

    /// The engine's load report; empty if there was none.
    pub(crate) fn report(&self) -> LoadReport {
        self.report
    }
}
