//! A connection to an engine: the client side of HTTP with one exchange at a time, and the parsing of
//! engines' answers.
//!
//! States and their timeouts: `Connecting` (the decision module's connect timeout), `Busy` (by the exchange:
//! the timeout that the decision module gives an attempt, `probe` for probes, `silent_stream` once an answer
//! has begun), `Idle` (`engine_idle`). A release has `limits::RELEASE_EXCHANGE_TIMEOUT` for connecting, and
//! again for its answer, if the connection was opened for it, else until it is given up.

use crate::engine_error::{self, EngineError};
use crate::limits::{self, MAX_ENGINE_BODY_BYTES};
use crate::settings::GatewaySettings;
use serde_json::Value;
use slipreel::EngineId;
use slipreel_connections::ReleaseId;
use slipreel_protocol::engine::{self, Chunk, Load, Usage};
use slipreel_protocol::http::{Decoder, Item, Limits, Side, Start};
use slipreel_protocol::sse;
use slipreel_state_machine::ConnId;
use std::time::Duration;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPurpose {
    /// An attempt: the number of its request, its index among the request's attempts, and whether it is a
    /// prefill.
    Attempt { request: u64, attempt: usize, is_prefill: bool },
    /// A probe of the engine's load.
    Probe,
    /// A release, with its id in the release queue.
    Release(ReleaseId),
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Being opened.
    Connecting,
    /// An exchange is in progress.
    Busy,
    /// Open and without an exchange.
    Idle,
}

/// An event parsed from the bytes of an exchange.
#[derive(Debug)]
pub(crate) enum EngineEvent {
    /// The head of an answer carries a load report.
    LoadReport(Load),
    /// The prefill is completed.
    Prefilled { transfer: Value, usage: Usage },
    /// A chunk of a streamed answer.
    Chunk(Chunk),
    /// The end of a streamed answer, or a successful answer to a release.
    Completed,
    /// A probe was answered.
    Metrics(Load),
    /// Rejected by the engine; it never ran.
    Rejected { state_missing: bool },
    /// The engine reports that the request is invalid, with this status and message.
    InvalidRequest(u16, String),
    /// The engine failed, or its answer can't be parsed.
    Failed(String),
}

/// How the body of the present answer is parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseBody {
    /// No answer is in progress.
    None,
    /// As a whole, once it is complete; with the answer's status.
    Complete(u16),
    /// As a stream of events.
    Stream,
}

/// One connection to an engine.
#[derive(Debug)]
pub(crate) struct EngineConnection {
    pub(crate) conn: ConnId,
    pub(crate) engine: EngineId,
    pub(crate) state: State,
    pub(crate) purpose: ConnectionPurpose,
    /// When the state began, which is when its timeout starts.
    pub(crate) state_since: Duration,
    /// When its stream last made progress: output for the client arrived, or reading was paused or resumed.
    /// Bytes alone are no progress: an engine may send without ever completing anything.
    pub(crate) last_progress: Duration,
    /// The request that is written once the connection is established.
    pub(crate) unsent_request: Vec<u8>,
    /// Reading is paused, since the client takes its answer too slowly.
    pub(crate) paused: bool,
    /// The load report in the head of the present answer.
    pub(crate) load_report: Option<Load>,
    decoder: Decoder,
    events: sse::Decoder,
    body: ResponseBody,
    /// The part of a `ResponseBody::Complete` that has arrived.
    buffered: Vec<u8>,
    /// It has carried an exchange before. A late second answer to that one can't be distinguished from the
    /// answer to the present one.
    pub(crate) is_reused: bool,
    /// The exchange is over and the connection can be used again.
    pub(crate) reusable: bool,
    /// It was opened to send a release, and no exchange on it has completed yet.
    pub(crate) opened_for_release: bool,
}

impl EngineConnection {
    pub(crate) fn new(
        conn: ConnId, engine: EngineId, purpose: ConnectionPurpose, now: Duration, unsent_request: Vec<u8>,
    ) -> Self {
        let limits = Limits { body: u64::MAX, ..Limits::default() };
        EngineConnection {
            conn,
            engine,
            state: State::Connecting,
            purpose,
            state_since: now,
            last_progress: now,
            unsent_request,
            paused: false,
            load_report: None,
            decoder: Decoder::new(Side::Client, limits),
            events: sse::Decoder::new(MAX_ENGINE_BODY_BYTES),
            body: ResponseBody::None,
            buffered: Vec::new(),
            is_reused: false,
            reusable: false,
            opened_for_release: matches!(purpose, ConnectionPurpose::Release(_)),
        }
    }

    /// When it times out; `None` if its state has no timeout. `is_streaming`: it carries an answer that has
    /// begun.
    pub(crate) fn deadline(&self, settings: &GatewaySettings, is_streaming: bool) -> Option<Duration> {
        let bounds = &settings.bounds;
        match (self.state, self.purpose) {
            (State::Idle, _) => Some(self.state_since + bounds.engine_idle),
            (_, ConnectionPurpose::Release(_)) if self.opened_for_release => {
                Some(self.state_since + limits::RELEASE_EXCHANGE_TIMEOUT)
            }
            (_, ConnectionPurpose::Release(_)) => Some(self.state_since + limits::RELEASE_TIMING.give_up),
            (State::Connecting, _) => Some(self.state_since + settings.decisions.limits.connect_timeout),
            (State::Busy, ConnectionPurpose::Probe) => Some(self.state_since + bounds.probe),
            (State::Busy, ConnectionPurpose::Attempt { .. }) => {
                (is_streaming && !self.paused).then(|| self.last_progress + bounds.silent_stream)
            }
        }
    }

    /// Starts another exchange on an idle connection.
    pub(crate) fn reuse(&mut self, purpose: ConnectionPurpose, now: Duration) {
        (self.purpose, self.state, self.state_since) = (purpose, State::Busy, now);
        (self.reusable, self.is_reused) = (false, true);
        (self.events, self.load_report) = (sse::Decoder::new(MAX_ENGINE_BODY_BYTES), None);
    }

    /// Parses received bytes and appends their events to `out`. After `Failed` the connection can't be used
    /// any more.
    pub(crate) fn feed(&mut self, bytes: &[u8], out: &mut Vec<EngineEvent>) {
        self.decoder.feed(bytes);
        loop {
            match self.decoder.next_item() {
                Ok(None) => return,
                Ok(Some(item)) => self.handle_item(item, out),
                Err(error) => return out.push(EngineEvent::Failed(error.to_string())),
            }
            if matches!(out.last(), Some(EngineEvent::Failed(_))) {
                return;
            }
        }
    }

    /// Handles the end of what the engine sends. Returns whether that completes the exchange.
    pub(crate) fn eof(&mut self, out: &mut Vec<EngineEvent>) -> bool {
        match self.decoder.eof() {
            Ok(Some(item)) => {
                self.handle_item(item, out);
                self.reusable = false;
                true
            }
            Ok(None) | Err(_) => false,
        }
    }

    /// Handles one part of an HTTP answer.
    fn handle_item(&mut self, item: Item, out: &mut Vec<EngineEvent>) {
        match item {
            Item::Head(head) => {
                let Start::Response { status } = head.start else { return };
                if status < 200 {
                    self.body = ResponseBody::None;
                    return;
                }
                if let Some(report) = head.get("endpoint-load-metrics") {
                    out.push(EngineEvent::LoadReport(engine::parse_orca(report)));
                }
                self.reusable = head.keep_alive;
                let is_event_stream = head
                    .get("content-type")
                    .is_some_and(|media_type| media_type.starts_with("text/event-stream"));
                let is_decode = matches!(self.purpose, ConnectionPurpose::Attempt { is_prefill: false, .. });
                self.body = if status == 200 && is_decode && is_event_stream {
                    ResponseBody::Stream
                } else {
                    ResponseBody::Complete(status)
                };
            }
            Item::Body(piece) if self.body == ResponseBody::Stream => self.parse_stream(&piece, out),
            Item::Body(piece) => {
                self.buffered.extend_from_slice(&piece);
                if self.buffered.len() > MAX_ENGINE_BODY_BYTES {
                    out.push(EngineEvent::Failed(format!("an answer over {MAX_ENGINE_BODY_BYTES} bytes")));
                }
            }
            Item::End => match std::mem::replace(&mut self.body, ResponseBody::None) {
                ResponseBody::Complete(status) => {
                    let body = std::mem::take(&mut self.buffered);
                    out.push(self.parse_complete_body(status, &body));
                }
                ResponseBody::Stream if self.events.is_inside_event() => {
                    out.push(EngineEvent::Failed("a stream that ends in an event".into()));
                }
                ResponseBody::Stream => out.push(EngineEvent::Completed),
                ResponseBody::None => {}
            },
        }
    }

    /// Parses a part of a streamed answer.
    fn parse_stream(&mut self, piece: &[u8], out: &mut Vec<EngineEvent>) {
        let mut events = Vec::new();
        if self.events.feed(piece, &mut events).is_err() {
            return out.push(EngineEvent::Failed(format!("an event over {MAX_ENGINE_BODY_BYTES} bytes")));
        }
        for event in events.iter().filter(|event| event.data != "[DONE]") {
            match serde_json::from_str::<Chunk>(&event.data) {
                Ok(Chunk { error: Some(error), .. }) => {
                    return out.push(EngineEvent::Failed(error.to_string()))
                }
                Ok(chunk) => out.push(EngineEvent::Chunk(chunk)),
                Err(why) => {
                    return out.push(EngineEvent::Failed(format!("an event that is no chunk: {why}")))
                }
            }
        }
    }

    /// The event of an answer that has been received completely.
    fn parse_complete_body(&self, status: u16, body: &[u8]) -> EngineEvent {
        match (status, self.purpose) {
            (200, ConnectionPurpose::Attempt { is_prefill: true, .. }) => {
                match engine::parse_prefill_response(body) {
                    Ok(answer) => EngineEvent::Prefilled {
                        transfer: answer.kv_transfer_params,
                        usage: answer.usage.unwrap_or_default(),
                    },
                    Err(error) => EngineEvent::Failed(error),
                }
            }
            (200, ConnectionPurpose::Probe) => {
                EngineEvent::Metrics(engine::parse_metrics(&String::from_utf8_lossy(body)))
            }
            (200, ConnectionPurpose::Release(_)) => EngineEvent::Completed,
            (200, ConnectionPurpose::Attempt { .. }) => {
                EngineEvent::Failed("no stream where one was asked for".into())
            }
            _ => match engine_error::classify(status, body) {
                EngineError::Rejected { state_missing } => EngineEvent::Rejected { state_missing },
                EngineError::InvalidRequest(message) => EngineEvent::InvalidRequest(status, message),
                EngineError::Failed => EngineEvent::Failed(format!("status {status}")),
            },
        }
    }
}
