//! Faults that can be injected into an engine.

use std::time::Duration;

/// Owner message for an engine: a fault begins, changes or ends.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Steps take this many times as long; 1 ends the fault.
    Slow(f64),
    /// Requests are executed but never answered; probes are answered.
    AnswersLost(bool),
    /// It accepts connections but neither reads requests nor answers.
    Unresponsive(bool),
    /// It rejects prompts that contain this text as if it were full; `None` ends the fault.
    Throttle(Option<String>),
    /// Its load reports are out of date by this much.
    ReportDelay(Duration),
    /// It serves a new connection only after this delay.
    HandshakeDelay(Duration),
    /// It sends malformed answers; `None` ends the fault.
    Garbage(Option<Garbage>),
    /// It aborts a connection as soon as a request arrives on it.
    ClosesOnUse(bool),
    /// It aborts all present connections, once.
    DropConnections,
    /// Ends all faults.
    Clear,
}

/// Kinds of malformed answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Garbage {
    /// Bytes that are not HTTP.
    NotHttp,
    /// A head without an end.
    EndlessHead,
    /// A content length that is larger than the body.
    WrongLength,
    /// A chunk whose size is not a number.
    BrokenChunk,
    /// Two content lengths.
    TwoLengths,
    /// The stream ends after its first token.
    BreaksAfterFirst,
    /// The stream ends before its last token and without `[DONE]`.
    BreaksBeforeEnd,
    /// The stream ends after the whole answer, finish reason included, but without `[DONE]`.
    BreaksBeforeMark,
    /// The stream stops midway and the connection stays open.
    StopsInMidst,
    /// An event of the stream is not JSON.
    BadEvent,
}

impl Garbage {
    /// Whether it replaces the head of the answer.
    pub(super) fn before_head(self) -> bool {
        matches!(self, Garbage::NotHttp | Garbage::EndlessHead | Garbage::WrongLength | Garbage::TwoLengths)
    }

    /// Whether it replaces the events of a token. `begins`: the first token of the answer; `last`: the last
    /// one.
    pub(super) fn replaces_token(self, begins: bool, last: bool) -> bool {
        match self {
            Garbage::BreaksAfterFirst | Garbage::StopsInMidst | Garbage::BrokenChunk | Garbage::BadEvent => {
                !begins
            }
            Garbage::BreaksBeforeEnd => last,
            Garbage::BreaksBeforeMark => false,
            _ => false,
        }
    }

    /// Whether the connection stays open afterwards.
    pub(super) fn hangs(self) -> bool {
        self == Garbage::StopsInMidst
    }

    /// The malformed bytes; empty where the answer is only cut short.
    pub(super) fn bytes(self) -> Vec<u8> {
        match self {
            Garbage::NotHttp => b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 not http\r\n\r\n".to_vec(),
            Garbage::EndlessHead => {
                let mut head = b"HTTP/1.1 200 OK\r\n".to_vec();
                (0..4000).for_each(|n| head.extend_from_slice(format!("x-{n}: yes\r\n").as_bytes()));
                head
            }
            Garbage::WrongLength => b"HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n{\"id\":1".to_vec(),
            Garbage::TwoLengths => {
                b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 7\r\n\r\n{}".to_vec()
            }
            Garbage::BrokenChunk => b"zz;ext=1\r\nnothing\r\n".to_vec(),
            Garbage::BadEvent => b"f\r\ndata: {\"oops\n\n\r\n".to_vec(),
            Garbage::BreaksAfterFirst
            | Garbage::BreaksBeforeEnd
            | Garbage::BreaksBeforeMark
            | Garbage::StopsInMidst => Vec::new(),
        }
    }
}

/// The faults that are active at an engine.
#[derive(Clone, Debug)]
pub(super) struct Faults {
    pub(super) slowdown: f64,
    pub(super) answers_lost: bool,
    pub(super) unresponsive: bool,
    rejected_text: Option<String>,
    pub(super) report_delay: Duration,
    pub(super) handshake_delay: Duration,
    pub(super) garbage: Option<Garbage>,
    pub(super) closes_on_use: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            slowdown: 1.0,
            answers_lost: false,
            unresponsive: false,
            rejected_text: None,
            report_delay: Duration::ZERO,
            handshake_delay: Duration::ZERO,
            garbage: None,
            closes_on_use: false,
        }
    }
}

impl Faults {
    /// Applies a fault message.
    pub(super) fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Slow(factor) => self.slowdown = factor.max(0.01),
            Fault::AnswersLost(on) => self.answers_lost = *on,
            Fault::Unresponsive(on) => self.unresponsive = *on,
            Fault::Throttle(text) => self.rejected_text = text.clone(),
            Fault::ReportDelay(delay) => self.report_delay = *delay,
            Fault::HandshakeDelay(delay) => self.handshake_delay = *delay,
            Fault::Garbage(kind) => self.garbage = *kind,
            Fault::ClosesOnUse(on) => self.closes_on_use = *on,
            Fault::DropConnections => {}
            Fault::Clear => *self = Faults::default(),
        }
    }

    /// Whether `prompt` is rejected as if the engine were full.
    pub(super) fn rejects(&self, prompt: &str) -> bool {
        self.rejected_text.as_ref().is_some_and(|text| prompt.contains(text.as_str()))
    }
}
