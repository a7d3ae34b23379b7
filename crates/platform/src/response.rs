//! Parses the responses of an engine: answers, event streams, and the load reports in both.

use crate::load_report::ReportLayout;
use crate::resource_limits::MAX_HEAD_BYTES;
use slipreel::LoadReport;
use slipreel_protocol::http::{Decoder, Head, Item, Limits, Malformed, Side, Start};

/// Maximum size of a stream, in bytes: above what the protocol allows, far below what would exhaust memory. A
/// chunk that states more is malformed as soon as its size is read.
const MAX_STREAM_BYTES: u64 = 1 << 20;
/// Maximum size of an event of a stream, and of an answer that is not a stream, in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Capacity of a stream's buffer above which it is given back once its events are complete, in bytes.
const MAX_SPARE_BYTES: usize = 4 << 10;
/// Maximum number of bytes that are logged of an unexpected line in a stream.
const MAX_LOGGED_LINE_BYTES: usize = 40;

/// The statuses with which an engine rejects an attempt, each with `X-Not-Run: 1`.
const UNAVAILABLE: u16 = 503;
const DEADLINE_PASSED: u16 = 504;
/// A decode engine found no state to fetch.
const STATE_MISSING: u16 = 410;

/// An answer that is not a stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Whether it has the field `X-Not-Run: 1`: nothing ran.
    pub(crate) not_run: bool,
    pub(crate) body: Vec<u8>,
    pub(crate) report: Option<LoadReport>,
}

impl Answer {
    /// Whether it claims, by the protocol, that the attempt never ran.
    pub(crate) fn claims_never_ran(&self) -> bool {
        self.not_run && matches!(self.status, UNAVAILABLE | DEADLINE_PASSED | STATE_MISSING)
    }

    /// Whether it claims that there was no state to fetch.
    pub(crate) fn claims_state_missing(&self) -> bool {
        self.status == STATE_MISSING
    }
}

/// Why a response is malformed or unexpected. `Display` writes the text of the log line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ResponseError {
    #[error("{}", .0.why)]
    Malformed(Malformed),
    #[error("no answer")]
    NotAResponse,
    #[error("status 101")]
    SwitchingProtocols,
    #[error("content type {0:?}: expected text/event-stream")]
    UnexpectedContentType(String),
    #[error("an answer over {MAX_EVENT_BYTES} bytes")]
    AnswerTooLarge,
    #[error("an event over {MAX_EVENT_BYTES} bytes")]
    EventTooLarge,
    #[error("{0:?} in a stream of events")]
    UnexpectedLine(String),
    #[error("the last event has no end")]
    UnfinishedEvent,
}

/// A complete part of a response.
#[derive(Debug, PartialEq)]
pub(crate) enum ResponseEvent {
    /// Complete events of a stream, unchanged.
    Events(Vec<u8>),
    /// The end of a stream, with its last load report.
    End(Option<LoadReport>),
    /// A complete answer that is not a stream.
    Answer(Answer),
    /// The response cannot be used, and neither can the connection.
    Malformed(ResponseError),
}

/// The response that is expected to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExpectedResponse {
    /// An event stream if the status is 200, else an answer.
    Stream,
    /// An answer.
    Answer,
}

/// The body that is being received.
#[derive(Debug)]
enum Body {
    /// No body: before the head, or after an interim head (1xx).
    None,
    Answer(Answer),
    /// A stream: the bytes since its last complete event.
    Stream(Vec<u8>),
}

/// The load reports of a response.
#[derive(Debug, Default)]
struct Reports {
    /// The last valid one.
    latest: Option<LoadReport>,
    /// Number of malformed ones that were not counted yet.
    malformed: u64,
}

impl Reports {
    fn record(&mut self, text: &str, layout: &ReportLayout) {
        match layout.parse(text) {
            Some(report) => self.latest = Some(report),
            None => self.malformed += 1,
        }
    }
}

/// Parses the responses on one connection, one after another.
#[derive(Debug)]
pub(crate) struct ResponseParser {
    expected: ExpectedResponse,
    decoder: Decoder,
    body: Body,
    reports: Reports,
    keeps_alive: bool,
}

impl ResponseParser {
    pub(crate) fn new(expected: ExpectedResponse) -> Self {
        let limits = Limits { head: MAX_HEAD_BYTES, body: MAX_STREAM_BYTES, ..Limits::default() };
        ResponseParser {
            expected,
            decoder: Decoder::new(Side::Client, limits),
            body: Body::None,
            reports: Reports::default(),
            keeps_alive: false,
        }
    }

    /// Begins another exchange on the connection.
    pub(crate) fn begin(&mut self, expected: ExpectedResponse) {
        self.expected = expected;
        self.body = Body::None;
        self.keeps_alive = false;
    }

    /// Whether the connection can carry another exchange after a complete response: the engine keeps it open,
    /// and has sent nothing beyond the response. Further bytes could not be attributed to a response.
    pub(crate) fn allows_reuse(&self) -> bool {
        self.keeps_alive && self.decoder.buffered() == 0
    }

    /// Memory that the received part of a response takes, in bytes.
    pub(crate) fn buffered_bytes(&self) -> usize {
        let body = match &self.body {
            Body::None => 0,
            Body::Answer(answer) => answer.body.capacity(),
            Body::Stream(buffered) => buffered.capacity(),
        };
        self.decoder.capacity() + body
    }

    /// Number of malformed load reports since the last call.
    pub(crate) fn take_malformed_reports(&mut self) -> u64 {
        std::mem::take(&mut self.reports.malformed)
    }

    /// Parses bytes and appends the events that they complete. Must not be called again after
    /// [`ResponseEvent::Malformed`].
    pub(crate) fn feed(&mut self, bytes: &[u8], layout: &ReportLayout, events: &mut Vec<ResponseEvent>) {
        self.decoder.feed(bytes);
        if let Err(error) = self.handle_items(layout, events) {
            events.push(ResponseEvent::Malformed(error));
        }
    }

    fn handle_items(
        &mut self, layout: &ReportLayout, events: &mut Vec<ResponseEvent>,
    ) -> Result<(), ResponseError> {
        while let Some(item) = self.decoder.next_item().map_err(ResponseError::Malformed)? {
            match item {
                Item::Head(head) => self.handle_head(&head, layout)?,
                Item::Body(piece) => self.handle_body(&piece, layout, events)?,
                Item::End => {
                    if self.handle_end(layout, events)? {
                        break;
                    }
                }
            }
        }
        Ok(())
    }

    fn handle_head(&mut self, head: &Head, layout: &ReportLayout) -> Result<(), ResponseError> {
        let Start::Response { status } = head.start else { return Err(ResponseError::NotAResponse) };
        match status {
            // The connection would switch to another protocol.
            101 => return Err(ResponseError::SwitchingProtocols),
            // An interim response: the final one follows.
            ..200 => return Ok(()),
            _ => {}
        }
        self.keeps_alive = head.keep_alive;
        self.reports.latest = None;
        if let Some(text) = head.get("x-load") {
            self.reports.record(text, layout);
        }
        self.body = if status == 200 && self.expected == ExpectedResponse::Stream {
            let content_type = head.get("content-type").unwrap_or_default();
            if !content_type.starts_with("text/event-stream") {
                return Err(ResponseError::UnexpectedContentType(content_type.to_owned()));
            }
            Body::Stream(Vec::new())
        } else {
            let not_run = head.get("x-not-run") == Some("1");
            Body::Answer(Answer { status, not_run, body: Vec::new(), report: self.reports.latest })
        };
        Ok(())
    }

    fn handle_body(
        &mut self, piece: &[u8], layout: &ReportLayout, events: &mut Vec<ResponseEvent>,
    ) -> Result<(), ResponseError> {
        match &mut self.body {
            Body::None => Ok(()),
            Body::Answer(answer) => {
                answer.body.extend_from_slice(piece);
                if answer.body.len() > MAX_EVENT_BYTES {
                    return Err(ResponseError::AnswerTooLarge);
                }
                Ok(())
            }
            Body::Stream(buffered) => {
                buffered.extend_from_slice(piece);
                let mut complete = Vec::new();
                let result = take_blocks(buffered, layout, &mut self.reports, &mut complete);
                push_unless_empty(complete, events);
                result?;
                if buffered.len() > MAX_EVENT_BYTES {
                    return Err(ResponseError::EventTooLarge);
                }
                Ok(())
            }
        }
    }

    /// Handles the end of a message. Returns whether the exchange is over.
    fn handle_end(
        &mut self, layout: &ReportLayout, events: &mut Vec<ResponseEvent>,
    ) -> Result<bool, ResponseError> {
        match std::mem::replace(&mut self.body, Body::None) {
            Body::None => return Ok(false),
            Body::Answer(answer) => events.push(ResponseEvent::Answer(answer)),
            Body::Stream(buffered) => {
                if lines(&buffered).any(|line| !is_event_line(line)) {
                    return Err(ResponseError::UnfinishedEvent);
                }
                let mut complete = Vec::new();
                take_block(&buffered, layout, &mut self.reports, &mut complete);
                push_unless_empty(complete, events);
                events.push(ResponseEvent::End(self.reports.latest));
            }
        }
        Ok(true)
    }
}

/// Whether a line is valid in a stream of events.
fn is_event_line(line: &[u8]) -> bool {
    const PREFIXES: [&[u8]; 5] = [b":", b"data:", b"event:", b"id:", b"retry:"];
    line.is_empty() || PREFIXES.iter().any(|prefix| line.starts_with(prefix))
}

fn lines(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    block.split(|&byte| byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn push_unless_empty(complete: Vec<u8>, events: &mut Vec<ResponseEvent>) {
    if !complete.is_empty() {
        events.push(ResponseEvent::Events(complete));
    }
}

/// Removes the complete blocks at the front of a stream and appends their events to `complete`. An incomplete
/// block stays.
fn take_blocks(
    buffered: &mut Vec<u8>, layout: &ReportLayout, reports: &mut Reports, complete: &mut Vec<u8>,
) -> Result<(), ResponseError> {
    let mut start = 0;
    for end in 1..=buffered.len() {
        let block = &buffered[start..end];
        if !block.ends_with(b"\n\n") && !block.ends_with(b"\n\r\n") {
            continue;
        }
        if let Some(line) = lines(block).find(|line| !is_event_line(line)) {
            let logged = &line[..line.len().min(MAX_LOGGED_LINE_BYTES)];
            return Err(ResponseError::UnexpectedLine(String::from_utf8_lossy(logged).into_owned()));
        }
        take_block(block, layout, reports, complete);
        start = end;
    }
    buffered.drain(..start);
    if buffered.capacity() > MAX_SPARE_BYTES {
        buffered.shrink_to_fit();
    }
    Ok(())
}

/// Appends an event unchanged. A block that only holds comments is not an event, but may hold a load report.
fn take_block(block: &[u8], layout: &ReportLayout, reports: &mut Reports, complete: &mut Vec<u8>) {
    let mut has_event = false;
    for line in lines(block).filter(|line| !line.is_empty()) {
        match line.strip_prefix(b":") {
            Some(comment) => parse_comment(comment, layout, reports),
            None => has_event = true,
        }
    }
    if has_event {
        complete.extend_from_slice(block);
    }
}

fn parse_comment(comment: &[u8], layout: &ReportLayout, reports: &mut Reports) {
    let Ok(text) = std::str::from_utf8(comment) else { return };
    match text.trim().split_once(':') {
        Some((name, report)) if name.eq_ignore_ascii_case("x-load") => reports.record(report, layout),
        _ => {}
    }
}
