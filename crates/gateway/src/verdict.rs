//! What an engine's refusal of an exchange proves: whether anything can have run, and whose fault it is.
//!
//! Only an engine that says itself that nothing ran is believed; every other failure counts as may have run.

use slipreel_protocol::engine;

/// What an answer other than success means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Turned away; it never ran.
    Full { no_state: bool },
    /// The request is wrong, and would be at every engine: its client is told.
    Wrong(String),
    /// It failed and may have run.
    Failed,
}

/// Judges an answer by its status and body.
pub(crate) fn judge(status: u16, body: &[u8]) -> Verdict {
    match engine::error_type(body) {
        Some((kind, _)) if kind == engine::FULL => Verdict::Full { no_state: false },
        Some((kind, _)) if kind == engine::NO_STATE => Verdict::Full { no_state: true },
        Some((_, message)) if matches!(status, 400 | 413 | 422) => Verdict::Wrong(message),
        _ => Verdict::Failed,
    }
}

#[cfg(test)]
mod tests;
