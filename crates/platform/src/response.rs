//! Parses the responses of an engine: answers, streams of events, and the load reports that come with both.

use crate::load_report::ReportLayout;
use crate::resource_limits::MAX_HEAD_BYTES;
use slipreel::LoadReport;
use slipreel_protocol::http::{Decoder, Head, Item, Limits, Malformed, Side, Start};

/// The largest stream of an engine, in bytes: over what the protocol allows, far under what would exhaust memory. A chunk that claims
/// more is malformed as soon as its size is read.
const MAX_STREAM_BYTES: u64 = 1 << 20;
/// The largest event of a stream, and the largest answer that is not a stream, in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// How much of an unexpected line of a stream is logged, in bytes.
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
    /// It carries `X-Not-Run: 1`: nothing ran.
    pub(crate) not_run: bool,
    pub(crate) body: Vec<u8>,
    pub(crate) report: Option<LoadReport>,
}

impl Answer {
    /// Whether by the protocol it states that the attempt never ran.
    pub(crate) fn says_never_ran(&self) -> bool {
        self.not_run && matches!(self.status, UNAVAILABLE | DEADLINE_PASSED | STATE_MISSING)
    }

    /// Whether it states that there was no state to fetch.
    pub(crate) fn says_state_missing(&self) -> bool {
        self.status == STATE_MISSING
    }
}

/// Why a response cannot be parsed, or is not expected. `Display` gives the text of the log line.
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

/// A part of a response that is complete.
#[derive(Debug, PartialEq)]
pub(crate) enum ResponseEvent {
    /// Complete events of a stream, as they came.
    Events(Vec<u8>),
    /// The stream's last chunk, and the last report that came with it.
    End(Option<LoadReport>),
    /// A complete answer that is not a stream.
    Answer(Answer),
    /// The connection serves no further use.
    Malformed(ResponseError),
}

/// What a good response to an exchange is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExpectedResponse {
    /// With status 200 a stream of events, else an answer.
    Stream,
    /// An answer.
    Answer,
}

/// The body that is being received.
#[derive(Debug)]
enum Body {
    /// None: before the head, or after one that is to be skipped (1xx).
    None,
    Answer(Answer),
    /// Bytes since the last complete event.
    Stream(Vec<u8>),
}

/// The load reports of a response.
#[derive(Debug, Default)]
struct Reports {
    /// The last one that could be read.
    latest: Option<LoadReport>,
    /// Those that could not be read and were not counted yet.
    malformed: u64,
}

impl Reports {
    fn read(&mut self, text: &str, layout: &ReportLayout) {
        match layout.read(text) {
            Some(report) => self.latest = Some(report),
            None => self.malformed += 1,
        }
    }
}

/// Parses the responses on one connection, one exchange after another.
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

    /// A further exchange begins on the connection.
    pub(crate) fn begin(&mut self, expected: ExpectedResponse) {
        self.expected = expected;
        self.body = Body::None;
        self.keeps_alive = false;
    }

    /// Whether the connection can carry another exchange after a response that has ended: the engine keeps it open, and has
    /// sent nothing beyond the response. Bytes beyond it could not be attributed to a response.
    pub(crate) fn allows_reuse(&self) -> bool {
        self.keeps_alive && self.decoder.buffered() == 0
    }

    /// How many load reports could not be read since this was last asked.
    pub(crate) fn take_malformed_reports(&mut self) -> u64 {
        std::mem::take(&mut self.reports.malformed)
    }

    /// Parses bytes; appends the events that they complete. Nothing more is to be fed after [`ResponseEvent::Malformed`].
    pub(crate) fn feed(&mut self, bytes: &[u8], layout: &ReportLayout, events: &mut Vec<ResponseEvent>) {
        self.decoder.feed(bytes);
        if let Err(error) = self.read_items(layout, events) {
            events.push(ResponseEvent::Malformed(error));
        }
    }

    fn read_items(
        &mut self, layout: &ReportLayout, events: &mut Vec<ResponseEvent>,
    ) -> Result<(), ResponseError> {
        while let Some(item) = self.decoder.next_item().map_err(ResponseError::Malformed)? {
            match item {
                Item::Head(head) => self.read_head(&head, layout)?,
                Item::Body(piece) => self.read_body(&piece, layout, events)?,
                Item::End => {
                    if self.read_end(layout, events)? {
                        break;
                    }
                }
            }
        }
        Ok(())
    }

    fn read_head(&mut self, head: &Head, layout: &ReportLayout) -> Result<(), ResponseError> {
        let Start::Response { status } = head.start else { return Err(ResponseError::NotAResponse) };
        match status {
            // It would make it another protocol.
            101 => return Err(ResponseError::SwitchingProtocols),
            // Interim: the answer follows.
            ..200 => return Ok(()),
            _ => {}
        }
        self.keeps_alive = head.keep_alive;
        self.reports.latest = None;
        if let Some(text) = head.get("x-load") {
            self.reports.read(text, layout);
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

    fn read_body(
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
            Body::Stream(unread) => {
                unread.extend_from_slice(piece);
                let mut complete = Vec::new();
                let result = take_blocks(unread, layout, &mut self.reports, &mut complete);
                push_events(complete, events);
                result?;
                if unread.len() > MAX_EVENT_BYTES {
                    return Err(ResponseError::EventTooLarge);
                }
                Ok(())
            }
        }
    }

    /// The end of a message. Whether the exchange is over.
    fn read_end(
        &mut self, layout: &ReportLayout, events: &mut Vec<ResponseEvent>,
    ) -> Result<bool, ResponseError> {
        match std::mem::replace(&mut self.body, Body::None) {
            Body::None => return Ok(false),
            Body::Answer(answer) => events.push(ResponseEvent::Answer(answer)),
            Body::Stream(unread) => {
                if lines(&unread).any(|line| !is_event_line(line)) {
                    return Err(ResponseError::UnfinishedEvent);
                }
                let mut complete = Vec::new();
                take_block(&unread, layout, &mut self.reports, &mut complete);
                push_events(complete, events);
                events.push(ResponseEvent::End(self.reports.latest));
            }
        }
        Ok(true)
    }
}

/// Whether a line is valid in a stream of events.
fn is_event_line(line: &[u8]) -> bool {
    const STARTS: [&[u8]; 5] = [b":", b"data:", b"event:", b"id:", b"retry:"];
    line.is_empty() || STARTS.iter().any(|start| line.starts_with(start))
}

fn lines(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    block.split(|&byte| byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn push_events(complete: Vec<u8>, events: &mut Vec<ResponseEvent>) {
    if !complete.is_empty() {
        events.push(ResponseEvent::Events(complete));
    }
}

/// Takes the blocks that have ended off the front of a stream, and leaves what has come in part. Complete events go to
/// `complete`.
fn take_blocks(
    unread: &mut Vec<u8>, layout: &ReportLayout, reports: &mut Reports, complete: &mut Vec<u8>,
) -> Result<(), ResponseError> {
    let mut start = 0;
    for end in 1..=unread.len() {
        let block = &unread[start..end];
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
    unread.drain(..start);
    Ok(())
}

/// Appends an event as it came. A block of comments alone is none, and may hold a report.
fn take_block(block: &[u8], layout: &ReportLayout, reports: &mut Reports, complete: &mut Vec<u8>) {
    let mut has_event = false;
    for line in lines(block).filter(|line| !line.is_empty()) {
        match line.strip_prefix(b":") {
            Some(comment) => read_comment(comment, layout, reports),
            None => has_event = true,
        }
    }
    if has_event {
        complete.extend_from_slice(block);
    }
}

fn read_comment(comment: &[u8], layout: &ReportLayout, reports: &mut Reports) {
    let Ok(text) = std::str::from_utf8(comment) else { return };
    match text.trim().split_once(':') {
        Some((name, report)) if name.eq_ignore_ascii_case("x-load") => reports.read(report, layout),
        _ => {}
    }
}
