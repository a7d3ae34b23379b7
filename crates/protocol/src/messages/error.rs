//! Errors of the Messages API: types, statuses and bodies.

use serde_json::json;

/// The error types of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// 400: the request is invalid.
    InvalidRequest,
    /// 401: the API key is missing or invalid.
    Authentication,
    /// 403: the API key does not permit this.
    Permission,
    /// 404: no such path or model.
    NotFound,
    /// 413: the body is too large.
    TooLarge,
    /// 429: the tenant has exceeded its share.
    RateLimit,
    /// 500: the request failed.
    Api,
    /// 504: a time limit was exceeded.
    Timeout,
    /// 503: this router can't accept requests at present; another one may.
    Unavailable,
    /// 529: the fleet is overloaded.
    Overloaded,
}

impl ErrorKind {
    /// The HTTP status of a response with this type.
    pub fn status(self) -> u16 {
        match self {
            ErrorKind::InvalidRequest => 400,
            ErrorKind::Authentication => 401,
            ErrorKind::Permission => 403,
            ErrorKind::NotFound => 404,
            ErrorKind::TooLarge => 413,
            ErrorKind::RateLimit => 429,
            ErrorKind::Api => 500,
            ErrorKind::Timeout => 504,
            ErrorKind::Unavailable => 503,
            ErrorKind::Overloaded => 529,
        }
    }

    /// The name in the `type` field.
    pub fn name(self) -> &'static str {
        match self {
            ErrorKind::InvalidRequest => "invalid_request_error",
            ErrorKind::Authentication => "authentication_error",
            ErrorKind::Permission => "permission_error",
            ErrorKind::NotFound => "not_found_error",
            ErrorKind::TooLarge => "request_too_large",
            ErrorKind::RateLimit => "rate_limit_error",
            ErrorKind::Api => "api_error",
            ErrorKind::Timeout => "timeout_error",
            ErrorKind::Unavailable => "unavailable_error",
            ErrorKind::Overloaded => "overloaded_error",
        }
    }

    /// The type of an error of which only the HTTP status is known, as from an engine or the HTTP decoder.
    pub fn of_status(status: u16) -> Self {
        match status {
            401 => ErrorKind::Authentication,
            403 => ErrorKind::Permission,
            404 => ErrorKind::NotFound,
            413 => ErrorKind::TooLarge,
            429 => ErrorKind::RateLimit,
            504 => ErrorKind::Timeout,
            529 => ErrorKind::Overloaded,
            400..=499 => ErrorKind::InvalidRequest,
            _ => ErrorKind::Api,
        }
    }
}

/// An error of the API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// Its type.
    pub kind: ErrorKind,
    /// Names the field, the value and what was expected.
    pub message: String,
}

impl ApiError {
    /// Creates an error.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        ApiError { kind, message: message.into() }
    }

    /// The body of the response, and the data of an `error` event.
    pub fn body(&self, request_id: &str) -> String {
        json!({"type": "error", "error": {"type": self.kind.name(), "message": self.message}, "request_id": request_id})
            .to_string()
    }
}

/// Returns the error of an invalid request.
pub(super) fn invalid<T>(message: impl Into<String>) -> Result<T, ApiError> {
    Err(ApiError::new(ErrorKind::InvalidRequest, message))
}
