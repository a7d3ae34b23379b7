//! The events that a router logs. The operators' documentation quotes these texts and `slipreel losses` reads
//! some of them, so they keep the wording of earlier versions.

use crate::counters::Counters;
use crate::proof::NeverRan;
use crate::response::ResponseError;
use crate::router::HeldState;
use crate::watch::WatchFailure;
use slipreel::StateSizes;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// A log event. `Display` writes the text of its line.
#[derive(Debug)]
pub(crate) enum LogEvent {
    /// The decision module rejected a request. `trace` comes from
    /// [`ActiveRequest::trace`](crate::request::ActiveRequest::trace), as in all events.
    RequestRejected { trace: String },
    /// A request failed and gets no further attempt.
    RequestFailed { trace: String },
    /// The stream of a request broke after its first event.
    StreamBroke { trace: String },
    /// An engine's response could not be parsed.
    MalformedResponse { engine: String, error: ResponseError },
    /// An engine answered a decode with the status of a prefill.
    PrefilledAnswerToDecode,
    /// An attempt that must not be repeated provably never ran.
    NeverRan {
        client_id: String,
        attempt: usize,
        proof: NeverRan,
        /// How long its connection had been in its last state.
        time_in_state: Duration,
        trace: String,
    },
    /// A release of held state begins.
    ReleaseBegan {
        request_id: String,
        /// The engine that holds the state.
        engine: String,
        /// How long it has held the state.
        held: Duration,
        reason: ReleaseReason,
    },
    /// A release was sent to an engine.
    ReleaseSent { request_id: String, engine: String },
    /// An engine acknowledged a release.
    ReleaseAcknowledged { request_id: String, engine: String },
    /// An entry of the endpoint list was skipped: the settings do not name its kind of engine.
    UnknownEngineKind { engine: String, kind: String },
    /// The watch of the endpoint list failed; it is opened again.
    WatchFailed(WatchFailure),
    /// Buffers took more memory than their limit, in bytes.
    MemoryLimitExceeded { held: usize, limit: usize },
    /// The configuration file was replaced.
    ConfigReloaded { discovery: SocketAddr },
    /// An event of the decision module.
    Decision(slipreel::LogEvent),
    /// The periodic status.
    Status(Box<Status>),
}

/// Why held state is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReleaseReason {
    /// A decode that is to fetch it has no answer, and may never have arrived.
    DecodeUnanswered,
    /// The request has its final answer, or its client has left.
    RequestOver,
    /// The request is prefilled again.
    PrefilledAgain,
}

impl fmt::Display for ReleaseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReleaseReason::DecodeUnanswered => "decode_unanswered",
            ReleaseReason::RequestOver => "request_over",
            ReleaseReason::PrefilledAgain => "prefilled_again",
        })
    }
}

/// The content of the status line: how much state a router holds, and its counters.
#[derive(Debug)]
pub(crate) struct Status {
    pub(crate) held: HeldState,
    /// Connections to engines that carry an exchange, or are being opened for one.
    pub(crate) busy_engine_connections: usize,
    pub(crate) engines: usize,
    pub(crate) decision_module: StateSizes,
    pub(crate) counters: Counters,
    /// The longest time for which state has been held for a request in progress, as far as is known.
    pub(crate) longest_held_state: Duration,
    /// Lines on releases that were suppressed since the last status line.
    pub(crate) suppressed_release_lines: u64,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::RequestRejected { trace } => write!(f, "refused: {trace}"),
            LogEvent::RequestFailed { trace } => write!(f, "failed: {trace}"),
            LogEvent::StreamBroke { trace } => write!(f, "broke off: {trace}"),
            LogEvent::MalformedResponse { engine, error } => write!(f, "engine {engine}: {error}"),
            LogEvent::PrefilledAnswerToDecode => {
                f.write_str("an answer 202 to a write ends its connection: it may have run")
            }
            LogEvent::NeverRan { client_id, attempt, proof, time_in_state, trace } => {
                let micros = time_in_state.as_micros();
                write!(
                    f,
                    "never ran: {client_id} attempt {attempt}: {proof}, {micros} us in this state; {trace}"
                )
            }
            LogEvent::ReleaseBegan { request_id, engine, held, reason } => {
                let held_ms = held.as_millis();
                write!(
                    f,
                    "release begins: request_id={request_id} engine={engine} held_ms={held_ms} reason={reason}"
                )
            }
            LogEvent::ReleaseSent { request_id, engine } => {
                write!(f, "release sent: request_id={request_id} engine={engine}")
            }
            LogEvent::ReleaseAcknowledged { request_id, engine } => {
                write!(f, "release acknowledged: request_id={request_id} engine={engine}")
            }
            LogEvent::UnknownEngineKind { engine, kind } => {
                write!(f, "engine {engine}: type {kind:?} is none of the settings; passed over")
            }
            LogEvent::WatchFailed(failure) => write!(f, "the watch of the list ends: {failure}"),
            LogEvent::MemoryLimitExceeded { held, limit } => {
                write!(f, "buffers over their limit: buffered_bytes={held} limit_bytes={limit}")
            }
            LogEvent::ConfigReloaded { discovery } => {
                write!(f, "the configuration was read again; discovery is at {discovery}")
            }
            LogEvent::Decision(event) => write!(f, "{event}"),
            LogEvent::Status(status) => status.fmt(f),
        }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Status { held, busy_engine_connections, engines, decision_module, counters, .. } = self;
        let (longest_held_ms, suppressed) =
            (self.longest_held_state.as_millis(), self.suppressed_release_lines);
        write!(
            f,
            "clients {}, requests {}, connections to engines {} ({busy_engine_connections} busy), engines {engines}, \
             timers {}, releases {}, module keeps {:?}; {counters}; buffered bytes {}; \
             longest held state {longest_held_ms} ms, release lines suppressed {suppressed}",
            held.client_connections,
            held.requests,
            held.engine_connections,
            held.timers,
            held.releases,
            (decision_module.requests, decision_module.timers, decision_module.engines),
            held.buffered_bytes,
        )
    }
}

#[cfg(test)]
mod tests;
