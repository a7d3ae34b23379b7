//! What can be made to go wrong at an engine.

use std::time::Duration;

/// News for an engine: a trouble begins, changes or ends.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// It works this many times slower; 1 ends it.
    Slow(f64),
    /// Its answers to work never arrive, though the work is done; probes are answered.
    AnswersLost(bool),
    /// It takes connections and says nothing at all.
    Unresponsive(bool),
    /// It turns away prompts that hold this text as if it were full; `None` ends it.
    Throttle(Option<String>),
    /// Its load reports are so old.
    ReportDelay(Duration),
    /// A new connection is not served before this time has passed.
    HandshakeDelay(Duration),
    /// It answers garbage; `None` ends it.
    Garbage(Option<Garbage>),
    /// It closes a connection in the moment that a request arrives on it.
    ClosesOnUse(bool),
    /// All its connections break, once.
    DropConnections,
    /// All is well again.
    Clear,
}

/// Kinds of garbage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Garbage {
    /// Bytes that are no HTTP.
    NotHttp,
    /// A head that never ends.
    EndlessHead,
    /// A length that is longer than what comes.
    WrongLength,
    /// A chunk whose size is no number.
    BrokenChunk,
    /// Two lengths.
    TwoLengths,
    /// The stream breaks after its first token.
    BreaksAfterFirst,
    /// The stream breaks after its last token and before its end mark.
    BreaksBeforeEnd,
    /// The stream breaks after all of the answer, its reason to end included, and before its end mark.
    BreaksBeforeMark,
    /// The stream stops in the midst and the connection stays.
    StopsInMidst,
    /// An event of the stream is no JSON.
    BadEvent,
}

impl Garbage {
    pub(super) fn before_head(self) -> bool {
        matches!(self, Garbage::NotHttp | Garbage::EndlessHead | Garbage::WrongLength | Garbage::TwoLengths)
    }

    /// Whether it takes the place of this token's events.
    pub(super) fn spoils(self, begins: bool, last: bool) -> bool {
        match self {
            Garbage::BreaksAfterFirst | Garbage::StopsInMidst | Garbage::BrokenChunk | Garbage::BadEvent => {
                !begins
            }
            Garbage::BreaksBeforeEnd => last,
            Garbage::BreaksBeforeMark => false,
            _ => false,
        }
    }

    pub(super) fn hangs(self) -> bool {
        self == Garbage::StopsInMidst
    }

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

#[derive(Clone, Debug)]
pub(super) struct Faults {
    pub(super) slow: f64,
    pub(super) answers_lost: bool,
    pub(super) deaf: bool,
    throttle: Option<String>,
    pub(super) report_late: Duration,
    pub(super) handshake: Duration,
    pub(super) garbage: Option<Garbage>,
    pub(super) closes_on_use: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            slow: 1.0,
            answers_lost: false,
            deaf: false,
            throttle: None,
            report_late: Duration::ZERO,
            handshake: Duration::ZERO,
            garbage: None,
            closes_on_use: false,
        }
    }
}

impl Faults {
    pub(super) fn set(&mut self, fault: &Fault) {
        match fault {
            Fault::Slow(times) => self.slow = times.max(0.01),
            Fault::AnswersLost(on) => self.answers_lost = *on,
            Fault::Unresponsive(on) => self.deaf = *on,
            Fault::Throttle(text) => self.throttle = text.clone(),
            Fault::ReportDelay(by) => self.report_late = *by,
            Fault::HandshakeDelay(by) => self.handshake = *by,
            Fault::Garbage(kind) => self.garbage = *kind,
            Fault::ClosesOnUse(on) => self.closes_on_use = *on,
            Fault::DropConnections => {}
            Fault::Clear => *self = Faults::default(),
        }
    }

    pub(super) fn turns_away(&self, prompt: &str) -> bool {
        self.throttle.as_ref().is_some_and(|text| prompt.contains(text.as_str()))
    }
}
