//! What an engine's refusal of an exchange proves: whether anything can have run, and whose fault it is.
//!
//! Only an engine that says itself that nothing ran is believed; every other failure counts as may have run.

use slipreel_protocol::engine;

/// What an answer other than success means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EngineError {
    /// Rejected; it never ran.
    Rejected { state_missing: bool },
    /// The request is wrong, and would be at every engine: its client gets the error.
    InvalidRequest(String),
    /// It failed and may have run.
    Failed,
}

/// Judges an answer by its status and body.
pub(crate) fn classify(status: u16, body: &[u8]) -> EngineError {
    match engine::parse_error(body) {
        Some((kind, _)) if kind == engine::ENGINE_FULL => EngineError::Rejected { state_missing: false },
        Some((kind, _)) if kind == engine::NO_STATE => EngineError::Rejected { state_missing: true },
        Some((_, message)) if matches!(status, 400 | 413 | 422) => EngineError::InvalidRequest(message),
        _ => EngineError::Failed,
    }
}

#[cfg(test)]
mod tests;
