//! A connection to an engine: the client side of HTTP, one exchange at a time, and what its bytes mean.
//!
//! States and their timeouts: `Connecting` (the decision module's connect time), `Busy` (the exchange's own: the decision module's
//! patience for attempts, `probe` for probes, `silent_stream` once an answer has begun), `Idle` (`engine_idle`). A
//! release has `limits::RELEASE_EXCHANGE_TIMEOUT` for both connecting and its answer.

use crate::engine_error::{self, EngineError};
use crate::limits::{self, MAX_ENGINE_BODY};
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
    /// An attempt: of which request, which of its attempts, and whether it is a prefill.
    Attempt { request: u64, attempt: usize, is_prefill: bool },
    /// A probe of the engine's load.
    Probe,
    /// A release; the id is that of the release queue.
    Release(ReleaseId),
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Connecting,
    Busy,
    Idle,
}

/// What the bytes of an exchange said.
#[derive(Debug)]
pub(crate) enum EngineEvent {
    /// The head of an answer came, with a load report if there is one.
    LoadReport(Load),
    /// The prompt is read.
    Prefilled { transfer: Value, usage: Usage },
    /// A part of a streamed answer.
    Chunk(Chunk),
    /// The stream's end mark.
    Done,
    /// A probe was answered.
    Metrics(Load),
    /// Rejected; it never ran.
    Rejected { state_missing: bool },
    /// The engine says that the request is wrong: status and message.
    InvalidRequest(u16, String),
    /// The engine failed, or what it said can't be read.
    Failed(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Body {
    None,
    Whole(u16),
    Stream,
}

/// One connection to an engine.
#[derive(Debug)]
pub(crate) struct EngineConnection {
    pub(crate) conn: ConnId,
    pub(crate) engine: EngineId,
    pub(crate) state: State,
    pub(crate) purpose: ConnectionPurpose,
    /// Since when the state lasts; in an answer: when it last said something.
    pub(crate) since: Duration,
    /// Written when the connection stands.
    pub(crate) pending: Vec<u8>,
    pub(crate) paused: bool,
    /// The load report in the head of the present answer.
    pub(crate) load: Option<Load>,
    decoder: Decoder,
    events: sse::Decoder,
    body: Body,
    held: Vec<u8>,
    /// It has carried an exchange before: a late second answer to that can't be told from the answer to the present one.
    pub(crate) is_reused: bool,
    /// The exchange is over and the connection can be used again.
    pub(crate) reusable: bool,
    /// It was opened to send a release, and has not answered yet.
    pub(crate) opened_for_release: bool,
}

impl EngineConnection {
    pub(crate) fn new(
        conn: ConnId, engine: EngineId, purpose: ConnectionPurpose, now: Duration, pending: Vec<u8>,
    ) -> Self {
        let limits = Limits { body: u64::MAX, ..Limits::default() };
        EngineConnection {
            conn,
            engine,
            state: State::Connecting,
            purpose,
            since: now,
            pending,
            paused: false,
            load: None,
            decoder: Decoder::new(Side::Client, limits),
            events: sse::Decoder::new(MAX_ENGINE_BODY),
            body: Body::None,
            held: Vec::new(),
            is_reused: false,
            reusable: false,
            opened_for_release: matches!(purpose, ConnectionPurpose::Release(_)),
        }
    }

    /// When it times out; `None` if it does not in its present state. `is_streaming`: it carries an answer that has begun.
    pub(crate) fn deadline(&self, settings: &GatewaySettings, is_streaming: bool) -> Option<Duration> {
        let bounds = &settings.bounds;
        match (self.state, self.purpose) {
            (State::Idle, _) => Some(self.since + bounds.engine_idle),
            (_, ConnectionPurpose::Release(_)) if self.opened_for_release => {
                Some(self.since + limits::RELEASE_EXCHANGE_TIMEOUT)
            }
            (_, ConnectionPurpose::Release(_)) => Some(self.since + limits::RELEASE_TIMING.give_up),
            (State::Connecting, _) => Some(self.since + settings.decisions.limits.connect_timeout),
            (State::Busy, ConnectionPurpose::Probe) => Some(self.since + bounds.probe),
            (State::Busy, ConnectionPurpose::Attempt { .. }) => {
                (is_streaming && !self.paused).then(|| self.since + bounds.silent_stream)
            }
        }
    }

    /// Starts another exchange on an idle connection.
    pub(crate) fn reuse(&mut self, purpose: ConnectionPurpose, now: Duration) {
        (self.purpose, self.state, self.since) = (purpose, State::Busy, now);
        (self.reusable, self.is_reused) = (false, true);
        (self.events, self.load) = (sse::Decoder::new(MAX_ENGINE_BODY), None);
    }

    /// Takes bytes and appends what they say. After `Failed` the connection is of no use.
    pub(crate) fn feed(&mut self, bytes: &[u8], out: &mut Vec<EngineEvent>) {
        self.decoder.feed(bytes);
        loop {
            match self.decoder.next_item() {
                Ok(None) => return,
                Ok(Some(item)) => self.item(item, out),
                Err(why) => return out.push(EngineEvent::Failed(why.to_string())),
            }
            if matches!(out.last(), Some(EngineEvent::Failed(_))) {
                return;
            }
        }
    }

    /// The engine sends no more. Whether that ends the exchange in order.
    pub(crate) fn eof(&mut self, out: &mut Vec<EngineEvent>) -> bool {
        match self.decoder.eof() {
            Ok(Some(item)) => {
                self.item(item, out);
                self.reusable = false;
                true
            }
            Ok(None) | Err(_) => false,
        }
    }

    fn item(&mut self, item: Item, out: &mut Vec<EngineEvent>) {
        match item {
            Item::Head(head) => {
                let Start::Response { status } = head.start else { return };
                if status < 200 {
                    self.body = Body::None;
                    return;
                }
                if let Some(report) = head.get("endpoint-load-metrics") {
                    out.push(EngineEvent::LoadReport(engine::parse_orca(report)));
                }
                self.reusable = head.keep_alive;
                let streams = head.get("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
                let writes = matches!(self.purpose, ConnectionPurpose::Attempt { is_prefill: false, .. });
                self.body =
                    if status == 200 && writes && streams { Body::Stream } else { Body::Whole(status) };
            }
            Item::Body(piece) if self.body == Body::Stream => self.stream(&piece, out),
            Item::Body(piece) => {
                self.held.extend_from_slice(&piece);
                if self.held.len() > MAX_ENGINE_BODY {
                    out.push(EngineEvent::Failed(format!("an answer over {MAX_ENGINE_BODY} bytes")));
                }
            }
            Item::End => match std::mem::replace(&mut self.body, Body::None) {
                Body::Whole(status) => {
                    let body = std::mem::take(&mut self.held);
                    out.push(self.whole(status, &body));
                }
                Body::Stream if self.events.is_inside_event() => {
                    out.push(EngineEvent::Failed("a stream that ends in an event".into()));
                }
                Body::Stream => out.push(EngineEvent::Done),
                Body::None => {}
            },
        }
    }

    fn stream(&mut self, piece: &[u8], out: &mut Vec<EngineEvent>) {
        let mut events = Vec::new();
        if self.events.feed(piece, &mut events).is_err() {
            return out.push(EngineEvent::Failed(format!("an event over {MAX_ENGINE_BODY} bytes")));
        }
        for event in events.iter().filter(|e| e.data != "[DONE]") {
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

    /// What a complete answer says.
    fn whole(&self, status: u16, body: &[u8]) -> EngineEvent {
        match (status, self.purpose) {
            (200, ConnectionPurpose::Attempt { is_prefill: true, .. }) => {
                match engine::parse_prefill_response(body) {
                    Ok(read) => EngineEvent::Prefilled {
                        transfer: read.kv_transfer_params,
                        usage: read.usage.unwrap_or_default(),
                    },
                    Err(why) => EngineEvent::Failed(why),
                }
            }
            (200, ConnectionPurpose::Probe) => {
                EngineEvent::Metrics(engine::parse_metrics(&String::from_utf8_lossy(body)))
            }
            (200, ConnectionPurpose::Release(_)) => EngineEvent::Done,
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
