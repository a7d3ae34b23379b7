//! Client requests, and how their attempts end.

use super::{ClassId, LoadReport, RequestId, TenantId};
use std::time::Duration;

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Identifies the request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Hash of the session that it belongs to.
    pub session: u64,
    /// Hash of the prompt prefix that it shares with other sessions, if there is one.
    pub shared_prefix: Option<u64>,
    /// Length of the prompt, tokens.
    pub prompt_tokens: f64,
    /// Maximum length of the answer, tokens.
    pub max_output_tokens: f64,
    /// How long until the client gives up.
    pub client_timeout: Duration,
    /// For an answer that is sent only when it is complete: how long until the client gives up on it. `None`
    /// if the answer is streamed, or if its class reports no first token.
    pub complete_answer_timeout: Option<Duration>,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// Whether it asks for the rest of a stream that broke or was migrated.
    pub is_resumption: bool,
}

/// How an attempt or a probe has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt is complete, or the probe was answered.
    Completed,
    /// The prompt is prefilled, and the prefill engine holds its state.
    Prefilled,
    /// The engine failed; the attempt may have run.
    Error,
    /// The engine rejected it; it never ran.
    Rejected {
        /// Whether it was rejected because there was no state to fetch.
        state_missing: bool,
    },
    /// No answer in time; it may have run or still be running.
    TimedOut,
    /// No connection in time; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled by the router; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the attempt had no effect: it never ran, or it was a prefill, which has no
    /// effect.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Outcome::Prefilled | Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// The end of one attempt; each attempt has exactly one.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    /// Identifies the request.
    pub request: RequestId,
    /// Number of the attempt within the request, from 0.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub latency: Duration,
    /// Whether the request ends with it and needs no further answer.
    pub request_finished: bool,
    /// Prompt tokens that the prefill found in the engine's cache.
    pub cached_tokens: f64,
    /// The load that the engine reported with its answer.
    pub report: LoadReport,
}
