//! Why a request is rejected before it reaches the decision module.

use crate::parse_request::MAX_TOKENS;
use slipreel_protocol::http::Malformed;

/// Why a request is rejected before admission. `Display` writes the text of the answer,
/// [`RequestError::status`] returns its status.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RequestError {
    /// The bytes are not an HTTP/1.1 request, or exceed a limit.
    #[error("{}", .0.why)]
    Malformed(Malformed),
    /// The request was still incomplete at its timeout.
    #[error("the request did not come whole in time")]
    ReceiveTimeout,
    /// The connection is closed to free a slot for another client.
    #[error("no room is left for it")]
    Evicted,
    #[error("no such path")]
    UnknownPath,
    /// A shutdown is in progress, and the process may be killed before the request has its complete answer.
    #[error("this router is about to end")]
    ShuttingDown,
    #[error("X-Request-Id: a request of this id is open")]
    IdInUse,
    /// A request of this id was forwarded to an engine before; it could run a second time.
    #[error("X-Request-Id: a request of this id was sent on before")]
    IdRecentlyForwarded,
    #[error("no memory is left for it")]
    OutOfMemory,
    #[error("{field}: given twice")]
    RepeatedField { field: &'static str },
    #[error("X-Request-Id: missing")]
    MissingId,
    #[error("X-Request-Id: expected up to 128 visible characters")]
    InvalidId,
    #[error("X-Class: {0:?}: no such class")]
    UnknownClass(String),
    #[error("X-Tenant: missing")]
    MissingTenant,
    #[error("X-Tenant: {0:?}: no such tenant")]
    UnknownTenant(String),
    #[error("X-Deadline: {0:?}: expected a number and m or u")]
    InvalidDeadline(String),
    #[error("X-Extras: {0:?}: expected name=value")]
    InvalidExtra(String),
    #[error("X-Extras {name}: {value:?}: expected 0 to {MAX_TOKENS} tokens")]
    InvalidTokens { name: String, value: String },
}

impl RequestError {
    /// The HTTP status of the answer.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::Malformed(malformed) => malformed.status,
            Self::ReceiveTimeout => 408,
            Self::UnknownPath => 404,
            Self::IdInUse | Self::IdRecentlyForwarded => 409,
            Self::Evicted | Self::ShuttingDown | Self::OutOfMemory => 503,
            Self::RepeatedField { .. }
            | Self::MissingId
            | Self::InvalidId
            | Self::UnknownClass(_)
            | Self::MissingTenant
            | Self::UnknownTenant(_)
            | Self::InvalidDeadline(_)
            | Self::InvalidExtra(_)
            | Self::InvalidTokens { .. } => 400,
        }
    }
}

#[cfg(test)]
mod tests;
