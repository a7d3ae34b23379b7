//! A connection to an engine: the client side of HTTP, one exchange at a time, and what its bytes say.
//!
//! States and their time-outs: `Connecting` (the module's connect time), `Busy` (a probe or a release its own; an attempt
//! the module's patience, then `STREAM_SILENCE_TIMEOUT` once its stream has begun), `Idle` (part of the engine's).

use crate::load_report::ReportLayout;
use crate::proof::{AttemptEnd, NeverRan};
use crate::resource_limits::MAX_HEAD_BYTES;
use slipreel::{EngineId, LoadReport, Outcome, RequestId};
use slipreel_connections::ReleaseId;
use slipreel_platform_settings::Profile;
use slipreel_protocol::http::{Decoder, Head, Item, Limits, Side, Start};
use slipreel_state_machine::ConnId;
use std::net::SocketAddr;
use std::time::Duration;

/// The largest stream of an engine, in bytes: over what the protocol allows, far under what would hurt. A chunk that claims
/// more is malformed as soon as its size is read.
const MAX_STREAM_BYTES: u64 = 1 << 20;
/// The largest event of a stream, and the largest answer that is not a stream, in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// A stream that is silent for so long is given up: under the 5 s after which its client would be left waiting.
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
    Probe,
    Release(ReleaseId),
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Connecting,
    Busy,
    Idle,
}

/// The statuses with which an engine turns an attempt away, each with `X-Not-Run: 1`.
const UNAVAILABLE: u16 = 503;
const TOO_LATE: u16 = 504;
/// A writer found no state to fetch.
const NO_STATE: u16 = 410;

/// An answer that is no stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// The engine says that nothing ran.
    pub(crate) not_run: bool,
    pub(crate) body: Vec<u8>,
    pub(crate) report: Option<LoadReport>,
}

impl Answer {
    /// Whether it says by the protocol that the attempt never ran.
    pub(crate) fn says_never_ran(&self) -> bool {
        self.not_run && matches!(self.status, UNAVAILABLE | TOO_LATE | NO_STATE)
    }
}

/// What the bytes of an exchange said.
#[derive(Debug, PartialEq)]
pub(crate) enum ResponseEvent {
    /// Whole events of a stream, as they came.
    Events(Vec<u8>),
    /// The stream's last chunk, and the report that came with it.
    End(Option<LoadReport>),
    Answer(Answer),
    /// What came can't be read, or can't be meant. The connection serves no further use.
    Spoilt(String),
}

#[derive(Debug)]
enum Body {
    /// Before the head, or one that is to be skipped (1xx).
    None,
    Whole(Answer),
    /// Bytes since the last whole event, and the last report.
    Stream(Vec<u8>, Option<LoadReport>),
}

/// One connection to an engine.
#[derive(Debug)]
pub(crate) struct EngineConnection {
    pub(crate) conn: ConnId,
    pub(crate) engine: EngineId,
    pub(crate) addr: SocketAddr,
    pub(crate) state: State,
    pub(crate) purpose: ConnectionPurpose,
    /// Since when the state lasts; in a stream: when it last said something.
    pub(crate) since: Duration,
    /// What of the request is still to be written: all until the connection stands, then the last byte that is held back.
    pub(crate) pending: Vec<u8>,
    /// The last byte of its request is written a moment after the rest.
    holds_last_byte: bool,
    /// Reports that could not be read, since it was last asked.
    pub(crate) odd_reports: u64,
    /// Bytes of the request that have not left the driver.
    pub(crate) unsent: usize,
    pub(crate) paused: bool,
    /// It has carried an exchange before: a late second answer to that can't be told from the answer to the present one.
    pub(crate) is_reused: bool,
    /// The same, and nothing of the answer to the present one has come.
    pub(crate) reuse_unproven: bool,
    /// The exchange is over, and another may follow.
    pub(crate) reusable: bool,
    decoder: Decoder,
    body: Body,
}

fn decoder() -> Decoder {
    let limits = Limits { head: MAX_HEAD_BYTES, body: MAX_STREAM_BYTES, ..Limits::default() };
    Decoder::new(Side::Client, limits)
}

/// Whether a line may stand in a stream of events.
fn is_event_line(line: &[u8]) -> bool {
    line.is_empty()
        || [&b":"[..], b"data:", b"event:", b"id:", b"retry:"].iter().any(|start| line.starts_with(start))
}

fn lines(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    block.split(|&b| b == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

impl EngineConnection {
    pub(crate) fn new(
        conn: ConnId, engine: EngineId, addr: SocketAddr, purpose: ConnectionPurpose, now: Duration,
        pending: Vec<u8>,
    ) -> Self {
        EngineConnection {
            conn,
            engine,
            addr,
            state: State::Connecting,
            purpose,
            since: now,
            unsent: pending.len(),
            pending,
            holds_last_byte: false,
            odd_reports: 0,
            paused: false,
            is_reused: false,
            reuse_unproven: false,
            reusable: false,
            decoder: decoder(),
            body: Body::None,
        }
    }

    /// A further exchange begins on it. Gives what to write now.
    pub(crate) fn begin(&mut self, purpose: ConnectionPurpose, now: Duration, bytes: Vec<u8>) -> Vec<u8> {
        (self.purpose, self.unsent, self.pending) = (purpose, bytes.len(), bytes);
        (self.reusable, self.body, self.holds_last_byte) = (false, Body::None, false);
        (self.is_reused, self.reuse_unproven) = (true, true);
        self.stands(now)
    }

    /// Another form of the request is to be written, of which nothing has been.
    pub(crate) fn replace_pending(&mut self, bytes: Vec<u8>) {
        (self.unsent, self.pending) = (bytes.len(), bytes);
    }

    /// It stands, and the exchange begins. Gives what to write now.
    ///
    /// Of a request that must not be repeated the last byte is held back for a moment. Some peers reset a connection as a
    /// request comes in; one whose last byte was never written has not run, and goes elsewhere.
    pub(crate) fn stands(&mut self, now: Duration) -> Vec<u8> {
        (self.state, self.since) = (State::Busy, now);
        let held = self.pending.len().saturating_sub(1);
        let held = if self.holds_last_byte { self.pending.split_off(held) } else { Vec::new() };
        std::mem::replace(&mut self.pending, held)
    }

    /// When it times out; `None` if it does not in its present state. `is_streaming` tells of an attempt whether its stream
    /// is being forwarded.
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

    /// Whether its last byte is held back.
    pub(crate) fn is_holding_last_byte(&self) -> bool {
        self.state == State::Busy && !self.pending.is_empty()
    }

    /// Proof that its request never came whole to the engine. That bytes were not reported as sent is none: the report may
    /// be late, and a write that fails may have arrived.
    pub(crate) fn proof_of_never_written(&self) -> Option<NeverRan> {
        match self.state {
            State::Connecting => Some(NeverRan::GivenUp),
            State::Busy if self.is_holding_last_byte() => Some(NeverRan::LastByteHeld),
            State::Busy | State::Idle => None,
        }
    }

    /// How what it carries ends as it is given up.
    pub(crate) fn given_up(&self, outcome: Outcome) -> AttemptEnd {
        self.proof_of_never_written().map_or_else(|| AttemptEnd::may_have_run(outcome), AttemptEnd::never_ran)
    }

    /// The same connection, with the last byte of its request held back.
    #[must_use]
    pub(crate) fn holding_last_byte(self) -> Self {
        EngineConnection { holds_last_byte: true, ..self }
    }

    /// Proof by an answer which says that nothing ran: the first on its connection, which can be to nothing else.
    pub(crate) fn turned_away(&self, answer: &Answer) -> Option<NeverRan> {
        let is_proof = answer.says_never_ran() && !self.is_reused;
        is_proof.then_some(NeverRan::TurnedAway { no_state: answer.status == NO_STATE })
    }

    /// Takes bytes; appends what they said. Nothing more is to be fed after `Spoilt`.
    pub(crate) fn feed(&mut self, bytes: &[u8], report_layout: &ReportLayout, said: &mut Vec<ResponseEvent>) {
        self.decoder.feed(bytes);
        loop {
            match self.decoder.next_item() {
                Ok(None) => return,
                Ok(Some(Item::Head(head))) => {
                    if let Err(why) = self.head(&head, report_layout) {
                        return said.push(ResponseEvent::Spoilt(why));
                    }
                }
                Ok(Some(Item::Body(piece))) => {
                    if let Err(why) = self.piece(&piece, report_layout, said) {
                        return said.push(ResponseEvent::Spoilt(why));
                    }
                }
                Ok(Some(Item::End)) => {
                    if self.ended(report_layout, said) {
                        return;
                    }
                }
                Err(why) => return said.push(ResponseEvent::Spoilt(why.why)),
            }
        }
    }

    fn head(&mut self, head: &Head, report_layout: &ReportLayout) -> Result<(), String> {
        let Start::Response { status } = head.start else { return Err("no answer".into()) };
        if status < 200 {
            // 101 would make it another protocol; the others only say that an answer is to come.
            return if status == 101 { Err("status 101".into()) } else { Ok(()) };
        }
        self.reusable = head.keep_alive;
        let report = head.get("x-load").map(|text| report_layout.read(text));
        self.odd_reports += u64::from(report == Some(None));
        let report = report.flatten();
        let kind = head.get("content-type").unwrap_or_default();
        self.body = if status == 200 && matches!(self.purpose, ConnectionPurpose::Attempt { .. }) {
            if !kind.starts_with("text/event-stream") {
                return Err(format!("content type {kind:?}: expected text/event-stream"));
            }
            Body::Stream(Vec::new(), report)
        } else {
            let not_run = head.get("x-not-run") == Some("1");
            Body::Whole(Answer { status, not_run, body: Vec::new(), report })
        };
        Ok(())
    }

    fn piece(
        &mut self, piece: &[u8], report_layout: &ReportLayout, said: &mut Vec<ResponseEvent>,
    ) -> Result<(), String> {
        match &mut self.body {
            Body::None => Ok(()),
            Body::Whole(answer) => {
                answer.body.extend_from_slice(piece);
                let long = answer.body.len() > MAX_EVENT_BYTES;
                if long {
                    Err(format!("an answer over {MAX_EVENT_BYTES} bytes"))
                } else {
                    Ok(())
                }
            }
            Body::Stream(held, report) => {
                held.extend_from_slice(piece);
                let mut whole = Vec::new();
                let mut streaming_attempt = 0;
                for at in 0..held.len() {
                    let ends = held[streaming_attempt..=at].ends_with(b"\n\n")
                        || held[streaming_attempt..=at].ends_with(b"\n\r\n");
                    if !ends {
                        continue;
                    }
                    let block = &held[streaming_attempt..=at];
                    if let Some(odd) = lines(block).find(|line| !is_event_line(line)) {
                        let odd = String::from_utf8_lossy(&odd[..odd.len().min(40)]).into_owned();
                        emit(whole, said);
                        return Err(format!("{odd:?} in a stream of events"));
                    }
                    take_block(block, report_layout, report, &mut self.odd_reports, &mut whole);
                    streaming_attempt = at + 1;
                }
                held.drain(..streaming_attempt);
                emit(whole, said);
                if held.len() > MAX_EVENT_BYTES {
                    return Err(format!("an event over {MAX_EVENT_BYTES} bytes"));
                }
                Ok(())
            }
        }
    }

    /// The end of a message. Whether the exchange is over.
    fn ended(&mut self, report_layout: &ReportLayout, said: &mut Vec<ResponseEvent>) -> bool {
        match std::mem::replace(&mut self.body, Body::None) {
            Body::None => return false,
            Body::Whole(answer) => said.push(ResponseEvent::Answer(answer)),
            Body::Stream(held, mut report) => {
                if lines(&held).any(|line| !is_event_line(line)) {
                    said.push(ResponseEvent::Spoilt("the last event has no end".into()));
                    return true;
                }
                let mut whole = Vec::new();
                take_block(&held, report_layout, &mut report, &mut self.odd_reports, &mut whole);
                emit(whole, said);
                said.push(ResponseEvent::End(report));
            }
        }
        // More than was asked for, or an answer before all was asked: what comes next can't be told apart.
        self.reusable &= self.decoder.buffered() == 0 && self.unsent == 0;
        true
    }
}

fn emit(whole: Vec<u8>, said: &mut Vec<ResponseEvent>) {
    if !whole.is_empty() {
        said.push(ResponseEvent::Events(whole));
    }
}

/// An event as it came; a block of comments alone is none, and may hold a report.
fn take_block(
    block: &[u8], report_layout: &ReportLayout, report: &mut Option<LoadReport>, odd: &mut u64,
    whole: &mut Vec<u8>,
) {
    let mut comments = true;
    for line in lines(block).filter(|line| !line.is_empty()) {
        let Some(comment) = line.strip_prefix(b":") else {
            comments = false;
            continue;
        };
        let told = std::str::from_utf8(comment).ok().and_then(|text| text.trim().split_once(':'));
        let told = told.filter(|(name, _)| name.eq_ignore_ascii_case("x-load"));
        if let Some((_, text)) = told {
            match report_layout.read(text) {
                Some(told) => *report = Some(told),
                None => *odd += 1,
            }
        }
    }
    if !comments {
        whole.extend_from_slice(block);
    }
}
