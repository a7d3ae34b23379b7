//! A connection to an engine: the client side of HTTP, with one exchange at a time.
//!
//! States and their timeouts: `Connecting` (the connect timeout of the settings); `Busy` (`PROBE_TIMEOUT` or
//! `RELEASE_TIMEOUT`; for an attempt the timeout of the decision module, then `STREAM_STALL_TIMEOUT` once its
//! stream is being forwarded); `Idle` (a fraction of the engine's idle timeout).
//!
//! No timeout is restarted by bytes alone: an engine may send without ever completing anything.

use crate::load_report::ReportLayout;
use crate::proof::{AttemptEnd, NeverRan};
use crate::response::{Answer, ExpectedResponse, ResponseEvent, ResponseParser};
use slipreel::{EngineId, Outcome, RequestId};
use slipreel_connections::ReleaseId;
use slipreel_platform_settings::Profile;
use slipreel_state_machine::ConnId;
use std::net::SocketAddr;
use std::time::Duration;

/// A stream without a further event for this long is cancelled: below the 5 s after which its client counts
/// as left waiting.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_millis(4_200);
/// A health check without a complete answer after this has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum time to open a connection for a release, and maximum time to receive the complete answer on it.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the last byte of a request that must not be repeated is held back. A peer that resets the
/// connection when a request arrives does so within this time.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(3);
/// An idle connection to an engine is closed at this fraction of the engine's own idle timeout.
const IDLE_FRACTION: f64 = 0.5;
/// The engine's idle timeout where the settings name none.
const DEFAULT_ENGINE_IDLE_TIMEOUT: Duration = Duration::from_millis(8_000);

/// The timeouts of engine connections that depend on the settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineTimeouts {
    connect: Duration,
    idle: Duration,
}

impl EngineTimeouts {
    pub(crate) fn new(profile: &Profile) -> Self {
        let engine_idle = profile.idle_close.unwrap_or(DEFAULT_ENGINE_IDLE_TIMEOUT);
        EngineTimeouts {
            connect: profile.settings.limits.connect_timeout,
            idle: engine_idle.mul_f64(IDLE_FRACTION),
        }
    }
}

/// The purpose of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPurpose {
    /// An attempt, identified by its request and its number.
    Attempt {
        request: RequestId,
        attempt: usize,
    },
    /// A health check.
    Probe,
    Release(ReleaseId),
}

impl ConnectionPurpose {
    fn expected_response(self) -> ExpectedResponse {
        match self {
            ConnectionPurpose::Attempt { .. } => ExpectedResponse::Stream,
            ConnectionPurpose::Probe | ConnectionPurpose::Release(_) => ExpectedResponse::Answer,
        }
    }
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Connecting,
    /// An exchange is in progress.
    Busy,
    Idle,
}

/// A request to an engine, to be sent on a connection.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) engine: EngineId,
    pub(crate) addr: SocketAddr,
    pub(crate) purpose: ConnectionPurpose,
    /// The bytes of the request. Empty for an attempt, whose message is made once the connection is established:
    /// it states the time left, and takes no memory until then.
    pub(crate) request: Vec<u8>,
    /// Whether the last byte of the request is written `LAST_BYTE_DELAY` after the rest.
    ///
    /// Some peers reset a connection when a request arrives. A request whose last byte was never written has
    /// not run, so it can be sent to another engine even if it must not be repeated.
    pub(crate) holds_last_byte: bool,
}

/// One connection to an engine.
#[derive(Debug)]
pub(crate) struct EngineConnection {
    conn: ConnId,
    engine: EngineId,
    addr: SocketAddr,
    state: State,
    purpose: ConnectionPurpose,
    /// Since when the state lasts.
    since: Duration,
    /// When its stream last made progress: an event was received, or reading was paused or resumed.
    last_progress: Duration,
    /// The part of the request that is still to be written: all of it until the connection is established,
    /// then the last byte if it is held back.
    pending: Vec<u8>,
    holds_last_byte: bool,
    /// Length of the request, in bytes.
    request_len: usize,
    /// Bytes of the request that the driver has not sent yet.
    unsent: usize,
    paused: bool,
    /// Whether it has carried an exchange before: a late second answer to that one cannot be distinguished
    /// from the answer to the current one.
    is_reused: bool,
    /// Whether it is reused and nothing of the answer to the current exchange has been received.
    reuse_unproven: bool,
    response: ResponseParser,
}

impl EngineConnection {
    /// A connection that is being opened.
    pub(crate) fn new(conn: ConnId, exchange: Exchange, now: Duration) -> Self {
        let Exchange { engine, addr, purpose, request, holds_last_byte } = exchange;
        EngineConnection {
            conn,
            engine,
            addr,
            state: State::Connecting,
            purpose,
            since: now,
            last_progress: now,
            request_len: request.len(),
            unsent: request.len(),
            pending: request,
            holds_last_byte,
            paused: false,
            is_reused: false,
            reuse_unproven: false,
            response: ResponseParser::new(purpose.expected_response()),
        }
    }

    pub(crate) fn conn(&self) -> ConnId {
        self.conn
    }

    pub(crate) fn engine(&self) -> EngineId {
        self.engine
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// The purpose of the current exchange, or of the last one while the connection is idle.
    pub(crate) fn purpose(&self) -> ConnectionPurpose {
        self.purpose
    }

    /// Since when the state lasts.
    pub(crate) fn since(&self) -> Duration {
        self.since
    }

    /// Begins another exchange on an idle connection. Returns the bytes to write now.
    pub(crate) fn reuse(&mut self, exchange: Exchange, now: Duration) -> Vec<u8> {
        self.purpose = exchange.purpose;
        self.holds_last_byte = exchange.holds_last_byte;
        self.replace_request(exchange.request);
        self.is_reused = true;
        self.reuse_unproven = true;
        self.response.begin(self.purpose.expected_response());
        self.connected(now)
    }

    /// Replaces the request, of which nothing has been written yet.
    pub(crate) fn replace_request(&mut self, request: Vec<u8>) {
        self.request_len = request.len();
        self.unsent = request.len();
        self.pending = request;
    }

    /// Begins the exchange on the established connection. Returns the bytes to write now.
    pub(crate) fn connected(&mut self, now: Duration) -> Vec<u8> {
        self.state = State::Busy;
        self.since = now;
        let held = if self.holds_last_byte {
            self.pending.split_off(self.pending.len().saturating_sub(1))
        } else {
            Vec::new()
        };
        std::mem::replace(&mut self.pending, held)
    }

    /// Makes the connection idle after a completed exchange. Returns whether reading was paused and has to be
    /// resumed.
    pub(crate) fn become_idle(&mut self, now: Duration) -> bool {
        self.state = State::Idle;
        self.since = now;
        std::mem::take(&mut self.paused)
    }

    /// Whether another exchange may follow a completed one. An answer that was received before the whole
    /// request was sent does not answer the whole request.
    pub(crate) fn is_reusable(&self) -> bool {
        self.response.allows_reuse() && self.unsent == 0
    }

    /// Records that the driver has sent bytes of the request.
    pub(crate) fn bytes_sent(&mut self, sent: usize) {
        self.unsent = self.unsent.saturating_sub(sent);
    }

    /// Memory that the received part of a response takes, in bytes.
    pub(crate) fn response_bytes(&self) -> usize {
        self.response.buffered_bytes()
    }

    /// Memory that its buffers take, in bytes: the request until all of it is sent, and the response.
    pub(crate) fn buffered_bytes(&self) -> usize {
        let request = if self.unsent > 0 { self.request_len } else { 0 };
        request + self.response_bytes()
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.paused
    }

    /// Records that reading is paused or resumed. The stall timeout restarts.
    pub(crate) fn set_paused(&mut self, paused: bool, now: Duration) {
        self.paused = paused;
        self.last_progress = now;
    }

    /// When the connection times out; `None` if it has no timeout in its present state. `is_streaming`
    /// returns whether an attempt's stream is being forwarded.
    pub(crate) fn deadline(
        &self, timeouts: &EngineTimeouts, is_streaming: impl Fn(RequestId, usize) -> bool,
    ) -> Option<Duration> {
        let timeout = match (self.state, self.purpose) {
            (State::Idle, _) => timeouts.idle,
            (_, ConnectionPurpose::Release(_)) => RELEASE_TIMEOUT,
            (State::Connecting, _) => timeouts.connect,
            (State::Busy, ConnectionPurpose::Probe) => PROBE_TIMEOUT,
            (State::Busy, ConnectionPurpose::Attempt { .. }) if self.is_holding_last_byte() => {
                LAST_BYTE_DELAY
            }
            (State::Busy, ConnectionPurpose::Attempt { request, attempt }) => {
                let may_stall = !self.paused && is_streaming(request, attempt);
                return may_stall.then_some(self.last_progress + STREAM_STALL_TIMEOUT);
            }
        };
        Some(self.since + timeout)
    }

    /// Whether the last byte of its request is held back.
    pub(crate) fn is_holding_last_byte(&self) -> bool {
        self.state == State::Busy && !self.pending.is_empty()
    }

    /// Takes the held last byte of the request, to be written now.
    pub(crate) fn take_last_byte(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Proof that the engine never received the complete request. Bytes that were not reported as sent prove
    /// nothing: the report may be late, and a failed write may still have arrived.
    pub(crate) fn proof_of_never_written(&self) -> Option<NeverRan> {
        match self.state {
            State::Connecting => Some(NeverRan::Cancelled),
            State::Busy if self.is_holding_last_byte() => Some(NeverRan::LastByteHeld),
            State::Busy | State::Idle => None,
        }
    }

    /// How the exchange ends if the router closes the connection now.
    pub(crate) fn end_if_aborted(&self, outcome: Outcome) -> AttemptEnd {
        self.proof_of_never_written().map_or_else(|| AttemptEnd::may_have_run(outcome), AttemptEnd::never_ran)
    }

    /// Proof by an answer which states that nothing ran. Only the first exchange of a connection counts: its
    /// answer cannot belong to another request.
    pub(crate) fn proof_of_rejection(&self, answer: &Answer) -> Option<NeverRan> {
        let is_proof = answer.claims_never_ran() && !self.is_reused;
        is_proof.then(|| NeverRan::Rejected { state_missing: answer.claims_state_missing() })
    }

    /// Whether it was reused and has not received anything of the current answer.
    pub(crate) fn is_reuse_unproven(&self) -> bool {
        self.reuse_unproven && self.state == State::Busy
    }

    /// Records that part of the answer was received. Returns whether that is the first proof that reusing the
    /// connection worked.
    pub(crate) fn take_reuse_proof(&mut self) -> bool {
        std::mem::take(&mut self.reuse_unproven)
    }

    /// Parses bytes from the engine and appends the response events that they complete. Must not be called
    /// again after [`ResponseEvent::Malformed`].
    pub(crate) fn feed(
        &mut self, now: Duration, bytes: &[u8], layout: &ReportLayout, events: &mut Vec<ResponseEvent>,
    ) {
        let previous_count = events.len();
        self.response.feed(bytes, layout, events);
        let is_progress = |event: &ResponseEvent| matches!(event, ResponseEvent::Events(_));
        if events[previous_count..].iter().any(is_progress) {
            self.last_progress = now;
        }
    }

    /// Number of malformed load reports since the last call.
    pub(crate) fn take_malformed_reports(&mut self) -> u64 {
        self.response.take_malformed_reports()
    }
}
