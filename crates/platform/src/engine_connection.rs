//! A connection to an engine: the client side of HTTP, one exchange at a time.
//!
//! States and their timeouts: `Connecting` (the connect timeout of the settings), `Busy` (a health check or a release its
//! own; an attempt that of the decision module, then `STREAM_SILENCE_TIMEOUT` once its stream is being forwarded), `Idle`
//! (a fraction of the engine's).

use crate::load_report::ReportLayout;
use crate::proof::{AttemptEnd, NeverRan};
use crate::response::{Answer, ExpectedResponse, ResponseEvent, ResponseParser};
use slipreel::{EngineId, Outcome, RequestId};
use slipreel_connections::ReleaseId;
use slipreel_platform_settings::Profile;
use slipreel_state_machine::ConnId;
use std::net::SocketAddr;
use std::time::Duration;

/// A stream that is silent for so long is cancelled: under the 5 s after which its client would be left waiting.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(4_200);
/// A health check is answered within this, or counts as lost.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection for a release may take to carry it.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The last byte of a request that must not be repeated is held back for so long: a peer that resets the connection as a
/// request comes in is seen to do so in this time.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(3);
/// An idle connection to an engine is closed at this fraction of the engine's own idle timeout.
const IDLE_FRACTION: f64 = 0.5;
/// The engine's idle timeout where the settings name none.
const DEFAULT_ENGINE_IDLE_TIMEOUT: Duration = Duration::from_millis(8_000);

/// The timeouts of connections that come from the settings.
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

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPurpose {
    /// An attempt: of which request, and which of its attempts.
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
    /// It carries an exchange.
    Busy,
    Idle,
}

/// A request to an engine, as it is handed to a connection.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) engine: EngineId,
    pub(crate) addr: SocketAddr,
    pub(crate) purpose: ConnectionPurpose,
    /// The bytes of the request.
    pub(crate) request: Vec<u8>,
    /// The last byte of the request is written a moment after the rest.
    ///
    /// Some peers reset a connection as a request comes in; a request whose last byte was never written has not run, and
    /// may go elsewhere though it must not be repeated.
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
    /// Since when the state lasts; while busy: when something was last received.
    since: Duration,
    /// What of the request is still to be written: all until the connection is established, then the last byte if that is
    /// held back.
    pending: Vec<u8>,
    holds_last_byte: bool,
    /// Bytes of the request that have not left the driver.
    unsent: usize,
    paused: bool,
    /// It has carried an exchange before: a late second answer to that cannot be distinguished from the answer
    /// to the present one.
    is_reused: bool,
    /// The same, and nothing of the answer to the present one has come.
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

    /// What its present exchange is, or while it is idle, what the last one was.
    pub(crate) fn purpose(&self) -> ConnectionPurpose {
        self.purpose
    }

    /// Since when the state lasts; while busy: when something was last received.
    pub(crate) fn since(&self) -> Duration {
        self.since
    }

    /// A further exchange begins on an idle connection. Returns what to write now.
    pub(crate) fn reuse(&mut self, exchange: Exchange, now: Duration) -> Vec<u8> {
        self.purpose = exchange.purpose;
        self.holds_last_byte = exchange.holds_last_byte;
        self.replace_request(exchange.request);
        self.is_reused = true;
        self.reuse_unproven = true;
        self.response.begin(self.purpose.expected_response());
        self.connected(now)
    }

    /// Another form of the request is to be written, of which nothing has been.
    pub(crate) fn replace_request(&mut self, request: Vec<u8>) {
        self.unsent = request.len();
        self.pending = request;
    }

    /// It is established, and the exchange begins. Returns what to write now.
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

    /// The exchange has ended in order. Returns whether reading was paused, and has to be resumed.
    pub(crate) fn become_idle(&mut self, now: Duration) -> bool {
        self.state = State::Idle;
        self.since = now;
        std::mem::take(&mut self.paused)
    }

    /// Whether another exchange may follow one that has ended in order. An answer that came before all was sent is none to
    /// the whole request.
    pub(crate) fn is_reusable(&self) -> bool {
        self.response.allows_reuse() && self.unsent == 0
    }

    /// Bytes of the request have left the driver.
    pub(crate) fn bytes_sent(&mut self, sent: usize) {
        self.unsent = self.unsent.saturating_sub(sent);
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.paused
    }

    /// Reading is paused or resumed: silence counts from here.
    pub(crate) fn set_paused(&mut self, paused: bool, now: Duration) {
        self.paused = paused;
        self.since = now;
    }

    /// When it times out; `None` if it does not in its present state. `is_streaming` returns whether an attempt's
    /// stream is being forwarded.
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
                if self.paused || !is_streaming(request, attempt) {
                    return None;
                }
                STREAM_SILENCE_TIMEOUT
            }
        };
        Some(self.since + timeout)
    }

    /// Whether the last byte of its request is held back.
    pub(crate) fn is_holding_last_byte(&self) -> bool {
        self.state == State::Busy && !self.pending.is_empty()
    }

    /// The last byte of its request, to be written now.
    pub(crate) fn take_last_byte(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Proof that its request never came to the engine completely. That bytes were not reported as sent proves nothing:
    /// the report may be late, and a write that fails may have arrived.
    pub(crate) fn proof_of_never_written(&self) -> Option<NeverRan> {
        match self.state {
            State::Connecting => Some(NeverRan::Cancelled),
            State::Busy if self.is_holding_last_byte() => Some(NeverRan::LastByteHeld),
            State::Busy | State::Idle => None,
        }
    }

    /// How the exchange ends if the connection is closed here.
    pub(crate) fn given_up(&self, outcome: Outcome) -> AttemptEnd {
        self.proof_of_never_written().map_or_else(|| AttemptEnd::may_have_run(outcome), AttemptEnd::never_ran)
    }

    /// Proof by an answer which states that nothing ran: the first on its connection, which can be to no other request.
    pub(crate) fn proof_of_rejection(&self, answer: &Answer) -> Option<NeverRan> {
        let is_proof = answer.says_never_ran() && !self.is_reused;
        is_proof.then(|| NeverRan::Rejected { state_missing: answer.says_state_missing() })
    }

    /// Whether it was reused and broke before anything of the answer came.
    pub(crate) fn is_reuse_unproven(&self) -> bool {
        self.reuse_unproven && self.state == State::Busy
    }

    /// Something of the answer has come. Returns whether that proves that reusing it worked.
    pub(crate) fn prove_reuse(&mut self) -> bool {
        std::mem::take(&mut self.reuse_unproven)
    }

    /// Parses bytes of the engine; appends the response events that they complete. Nothing more is to be fed after [`ResponseEvent::Malformed`].
    pub(crate) fn feed(
        &mut self, now: Duration, bytes: &[u8], layout: &ReportLayout, events: &mut Vec<ResponseEvent>,
    ) {
        self.since = now;
        self.response.feed(bytes, layout, events);
    }

    /// How many load reports could not be read since this was last asked.
    pub(crate) fn take_malformed_reports(&mut self) -> u64 {
        self.response.take_malformed_reports()
    }
}
