//! Actions: what a router asks its host to do.

use super::{EngineId, LogEvent, RequestId, TimerId};
use std::time::Duration;

/// What a router asks its host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an engine as its next attempt; attempts are numbered from 0.
    Send {
        /// Identifies the request.
        request: RequestId,
        /// The engine to send it to.
        engine: EngineId,
        /// Timeout of this attempt; `None` if it may last until the client gives up.
        timeout: Option<Duration>,
    },
    /// Cancel one attempt. The host still reports its end.
    Cancel {
        /// Identifies the request.
        request: RequestId,
        /// Number of the attempt within the request, from 0.
        attempt: usize,
    },
    /// Final answer: rejected; a retry by the client is safe.
    Reject {
        /// Identifies the request.
        request: RequestId,
        /// Time after which the client should retry; `None` if clients do not honour Retry-After.
        retry_after: Option<Duration>,
        /// Whether the tenant was over its quota when the request came in.
        over_quota: bool,
    },
    /// Final answer: failed; the request may have run.
    Fail(RequestId),
    /// Release all state and reservations that engines hold for the request.
    Release(RequestId),
    /// Make a reservation at a decode engine.
    Reserve {
        /// Identifies the request.
        request: RequestId,
        /// The engine.
        engine: EngineId,
    },
    /// End a running stream gracefully so that its client resumes it elsewhere.
    MigrateStream(RequestId),
    /// Set a timer. [`Event::TimerFired`](super::Event::TimerFired) reports that it has fired.
    SetTimer {
        /// Identifies the timer.
        timer: TimerId,
        /// Time from now until it fires.
        after: Duration,
    },
    /// Probe an engine.
    Probe(EngineId),
    /// Close the idle connections to an engine.
    CloseIdleConnections(EngineId),
    /// Subscribe to the endpoint list, or end the subscription.
    WatchEngines(bool),
    /// Request the complete endpoint list once.
    FetchEngines,
    /// Send a message to one router, or to all.
    SendToPeer {
        /// The number of the recipient; `None` for all.
        to: Option<u16>,
        /// The message.
        body: Vec<u8>,
    },
    /// Write an event to the operators' log.
    Log(LogEvent),
}
