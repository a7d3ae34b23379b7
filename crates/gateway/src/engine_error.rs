//! Classifies error answers of engines: whether the request may have run, and whether the request itself is
//! invalid.
//!
//! Only an explicit rejection by the engine proves that nothing ran; after every other failure the request
//! may have run.

use slipreel_protocol::engine;

/// The meaning of an error answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EngineError {
    /// Rejected by the engine; it never ran.
    Rejected { state_missing: bool },
    /// The request is invalid at every engine; its client gets the error message.
    InvalidRequest(String),
    /// It failed and may have run.
    Failed,
}

/// Classifies an error answer by its status and body.
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
