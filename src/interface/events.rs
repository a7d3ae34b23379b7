//! Events: the inputs of a router.

use super::{AttemptEnded, Engine, EngineId, Listing, LoadReport, Outcome, Request, RequestId, TimerId};
use std::time::Duration;

/// An input of a router, passed to [`Router::handle`](crate::Router::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    Engines {
        /// How to read it.
        listing: Listing,
        /// The entries.
        engines: Vec<Engine>,
    },
    /// A client has sent a request, which must get exactly one final answer.
    Request(Request),
    /// The first token of an answer has arrived.
    FirstToken {
        /// Identifies the request.
        request: RequestId,
        /// Number of the attempt within the request, from 0.
        attempt: usize,
        /// Time since the attempt was sent.
        latency: Duration,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// The answer to a request for a reservation at a decode engine.
    ReservationAnswered {
        /// Identifies the request.
        request: RequestId,
        /// The engine.
        engine: EngineId,
        /// Whether the reservation was made.
        granted: bool,
    },
    /// The client has disconnected; its request needs no answer any more.
    ClientDisconnected(RequestId),
    /// A timer has fired.
    TimerFired(TimerId),
    /// A probe has ended.
    ProbeEnded {
        /// The engine that was probed.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// The load that the engine reported with it.
        report: LoadReport,
    },
    /// A message from another router.
    PeerMessage {
        /// The number of the sender.
        from: u32,
        /// The message.
        body: Vec<u8>,
    },
}
