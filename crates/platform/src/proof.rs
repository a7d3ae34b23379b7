//! How attempts end, and proof that one never ran. Whoever tells the module so has to hold a [`NeverRan`]; all else may have
//! run.

use slipreel::{LoadReport, Outcome};
use std::fmt;

/// What it rests on that an attempt never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NeverRan {
    /// The engine has left the list, or there is no room for a connection: nothing was tried.
    NotTried,
    /// The connection never stood, so that nothing was written to it.
    NotConnected,
    /// The connection was given up before it stood.
    GivenUp,
    /// The last byte of the request is still held back here. A write that failed, or that was not reported yet, is no such
    /// proof: the engine may have all of it.
    LastByteHeld,
    /// The engine said so, on a connection that carried no exchange before, so that the answer can be to no other request.
    TurnedAway {
        /// There was no state to fetch.
        no_state: bool,
    },
}

impl NeverRan {
    /// What the module is told.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            NeverRan::NotConnected => Outcome::ConnectFailed,
            NeverRan::NotTried | NeverRan::GivenUp | NeverRan::LastByteHeld => Outcome::NotSent,
            NeverRan::TurnedAway { no_state } => Outcome::Rejected { state_missing: no_state },
        }
    }
}

impl fmt::Display for NeverRan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NeverRan::NotTried => "it was not tried",
            NeverRan::NotConnected => "its connection never stood",
            NeverRan::GivenUp => "its connection was given up before it stood",
            NeverRan::LastByteHeld => "its last byte was held back here",
            NeverRan::TurnedAway { .. } => "its engine turned it away",
        })
    }
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub(crate) struct AttemptEnd {
    outcome: Outcome,
    proof: Option<NeverRan>,
    kept_tokens: f64,
    report: LoadReport,
}

impl AttemptEnd {
    fn new(outcome: Outcome, proof: Option<NeverRan>) -> Self {
        AttemptEnd { outcome, proof, kept_tokens: 0.0, report: LoadReport::default() }
    }

    /// It provably never ran.
    pub(crate) fn never_ran(proof: NeverRan) -> Self {
        AttemptEnd::new(proof.outcome(), Some(proof))
    }

    /// It failed, broke off or was given up, and may have run. An outcome that would prove more counts as an error.
    pub(crate) fn may_have_run(outcome: Outcome) -> Self {
        AttemptEnd::new(if outcome.proves_not_run() { Outcome::Error } else { outcome }, None)
    }

    /// A stream came whole.
    pub(crate) fn served() -> Self {
        AttemptEnd::new(Outcome::Completed, None)
    }

    /// A reader has read the prompt, of which it had kept so many tokens. Only for attempts at readers, which have no effect.
    pub(crate) fn read(kept_tokens: f64) -> Self {
        AttemptEnd { kept_tokens, ..AttemptEnd::new(Outcome::Prefilled, None) }
    }

    /// The same with the engine's load.
    #[must_use]
    pub(crate) fn with_report(self, report: LoadReport) -> Self {
        AttemptEnd { report, ..self }
    }

    /// What the module is told.
    pub(crate) fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// What proves that it never ran.
    pub(crate) fn proof(&self) -> Option<NeverRan> {
        self.proof
    }

    /// Prompt tokens that a read found kept.
    pub(crate) fn kept_tokens(&self) -> f64 {
        self.kept_tokens
    }

    /// The engine's load, where told.
    pub(crate) fn report(&self) -> LoadReport {
        self.report
    }
}
