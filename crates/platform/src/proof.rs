//! How attempts end, and proof that one never ran. Only with a [`NeverRan`] can an attempt be reported to the decision module
//! as not run; every other attempt may have run.

use slipreel::{LoadReport, Outcome};
use std::fmt;

/// Evidence that an attempt never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NeverRan {
    /// The engine has left the list, or there is no slot for a connection: nothing was tried.
    NotTried,
    /// The connection was never established, so that nothing was written to it.
    NotConnected,
    /// The connection was closed here before it was established.
    Cancelled,
    /// The last byte of the request is still held back here. A write that failed, or that was not reported yet, is no such
    /// proof: the engine may have all of it.
    LastByteHeld,
    /// The engine answered so, on a connection that carried no exchange before, so that the answer can be to no other request.
    Rejected {
        /// There was no state to fetch.
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

    /// It provably never ran.
    pub(crate) fn never_ran(proof: NeverRan) -> Self {
        AttemptEnd::new(proof.outcome(), Some(proof))
    }

    /// It failed, was interrupted or cancelled, and may have run. An outcome that would prove more counts as an error.
    pub(crate) fn may_have_run(outcome: Outcome) -> Self {
        AttemptEnd::new(if outcome.proves_not_run() { Outcome::Error } else { outcome }, None)
    }

    /// A stream came to its end.
    pub(crate) fn completed() -> Self {
        AttemptEnd::new(Outcome::Completed, None)
    }

    /// A prefill engine has prefilled the prompt, of which it had so many tokens cached. Only for attempts at prefill
    /// engines, which have no effect.
    pub(crate) fn prefilled(cached_tokens: f64) -> Self {
        AttemptEnd { cached_tokens, ..AttemptEnd::new(Outcome::Prefilled, None) }
    }

    /// The same with the engine's load.
    #[must_use]
    pub(crate) fn with_report(self, report: LoadReport) -> Self {
        AttemptEnd { report, ..self }
    }

    /// The outcome that is reported to the decision module.
    pub(crate) fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// What proves that it never ran.
    pub(crate) fn proof(&self) -> Option<NeverRan> {
        self.proof
    }

    /// Prompt tokens that a prefill found cached.
    pub(crate) fn cached_tokens(&self) -> f64 {
        self.cached_tokens
    }

    /// The engine's load; empty if it was not reported.
    pub(crate) fn report(&self) -> LoadReport {
        self.report
    }
}
