//! A connection of a client: the server side of HTTP, one request at a time.
//!
//! Its owner sets the timeouts by its state. Pipelined requests wait in the decoder until the one before is answered.

use slipreel_protocol::http::{self, Decoder, Framing, Head, Item, Limits, Malformed, Side, Start};
use slipreel_state_machine::{ConnId, ListenerId, Output};
use std::collections::VecDeque;
use std::time::Duration;

/// Times of arrival that are kept apart for bytes that wait; later bytes count as of the last of these.
const MAX_ARRIVALS: usize = 64;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// Between requests.
    Idle,
    /// Some of a request has come.
    Receiving,
    /// A request is complete and not answered. The number is its owner's, if it was admitted.
    Serving(Option<u64>),
}

/// A complete request.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Its head.
    pub head: Head,
    /// Its body, framing taken off.
    pub body: Vec<u8>,
    /// When its last byte came, though it may have waited since behind the request before it.
    pub arrived: Duration,
}

impl ReceivedRequest {
    /// Its method, as sent.
    pub fn method(&self) -> &str {
        match &self.head.start {
            Start::Request { method, .. } => method,
            Start::Response { .. } => "",
        }
    }

    /// Its target, as sent.
    pub fn target(&self) -> &str {
        match &self.head.start {
            Start::Request { target, .. } => target,
            Start::Response { .. } => "",
        }
    }

    /// The target's path without its query.
    pub fn path(&self) -> &str {
        match &self.head.start {
            Start::Request { target, .. } => http::path_of(target).unwrap_or(target),
            Start::Response { .. } => "",
        }
    }
}

/// One client connection.
#[derive(Debug)]
pub struct ClientConnection {
    /// Its id.
    pub conn: ConnId,
    /// The listener that accepted it.
    pub listener: ListenerId,
    /// Where it stands.
    pub state: ClientState,
    decoder: Decoder,
    head: Option<Head>,
    body: Vec<u8>,
    /// Whether the connection stays open after the present answer.
    keeps_alive: bool,
    /// Bytes that were written and have not left the driver.
    pub unsent: usize,
    /// When some of them last left.
    pub last_sent_at: Duration,
    /// Since when the present state lasts: its time-out counts from here.
    pub since: Duration,
    /// The client has closed its sending side.
    pub is_closed_by_peer: bool,
    /// Reading is paused: pipelined requests fill the buffer.
    paused: bool,
    max_pipelined_bytes: usize,
    /// Bytes that have come so far.
    received_bytes: u64,
    /// When bytes that may still wait came: how many had come in all by then, and the time.
    arrivals: VecDeque<(u64, Duration)>,
}

impl ClientConnection {
    /// A connection that has just been accepted. `max_pipelined_bytes`: bytes of pipelined requests that may wait.
    pub fn new(
        conn: ConnId, listener: ListenerId, now: Duration, limits: Limits, max_pipelined_bytes: usize,
    ) -> Self {
        ClientConnection {
            conn,
            listener,
            state: ClientState::Idle,
            decoder: Decoder::new(Side::Server, limits),
            head: None,
            body: Vec::new(),
            keeps_alive: true,
            unsent: 0,
            last_sent_at: now,
            since: now,
            is_closed_by_peer: false,
            paused: false,
            max_pipelined_bytes,
            received_bytes: 0,
            arrivals: VecDeque::new(),
        }
    }

    /// Takes bytes. While a request is served they wait, up to a bound; then the connection is paused.
    pub fn feed(&mut self, now: Duration, bytes: &[u8], out: &mut Vec<Output>) {
        self.decoder.feed(bytes);
        self.record_arrival(now, bytes.len());
        if self.state == ClientState::Idle {
            (self.state, self.since) = (ClientState::Receiving, now);
        }
        let serving = matches!(self.state, ClientState::Serving(_));
        if serving && !self.paused && self.decoder.buffered() > self.max_pipelined_bytes {
            self.paused = true;
            out.push(Output::Pause(self.conn));
        }
    }

    fn record_arrival(&mut self, now: Duration, length: usize) {
        self.received_bytes += length as u64;
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut().filter(|_| is_full) {
            Some((received_so_far, _)) => *received_so_far = self.received_bytes,
            None => self.arrivals.push_back((self.received_bytes, now)),
        }
    }

    /// When the last byte came of what the decoder has taken so far.
    fn last_taken_arrival(&mut self) -> Option<Duration> {
        let taken = self.received_bytes - self.decoder.buffered() as u64;
        while self.arrivals.front().is_some_and(|&(received_so_far, _)| received_so_far < taken) {
            self.arrivals.pop_front();
        }
        self.arrivals.front().map(|&(_, at)| at)
    }

    /// The next complete request, if the bytes so far hold one and none is being served.
    ///
    /// # Errors
    /// What has come is no request of HTTP/1.1, or over a limit.
    pub fn receive(
        &mut self, now: Duration, out: &mut Vec<Output>,
    ) -> Result<Option<ReceivedRequest>, Malformed> {
        if matches!(self.state, ClientState::Serving(_)) {
            return Ok(None);
        }
        while let Some(item) = self.decoder.next_item()? {
            match item {
                Item::Head(head) => {
                    (self.state, self.since) = (ClientState::Receiving, now);
                    self.keeps_alive = head.keep_alive;
                    if head.expects_continue && head.http11 && self.decoder.buffered() == 0 {
                        self.write(http::CONTINUE.to_vec(), out);
                    }
                    self.head = Some(head);
                }
                Item::Body(piece) => self.body.extend_from_slice(&piece),
                Item::End => {
                    let Some(head) = self.head.take() else { continue };
                    (self.state, self.since) = (ClientState::Serving(None), now);
                    let arrived = self.last_taken_arrival().unwrap_or(now);
                    return Ok(Some(ReceivedRequest { head, body: std::mem::take(&mut self.body), arrived }));
                }
            }
        }
        Ok(None)
    }

    /// Writes bytes of an answer, and counts them until they have gone.
    pub fn write(&mut self, bytes: Vec<u8>, out: &mut Vec<Output>) {
        if !bytes.is_empty() {
            self.unsent += bytes.len();
            out.push(Output::Write(self.conn, bytes));
        }
    }

    /// Writes a complete answer. [`ClientConnection::finish_answer`] has to follow.
    pub fn answer(&mut self, status: u16, fields: &[(&str, &str)], body: &[u8], out: &mut Vec<Output>) {
        let connection = if self.keeps_alive { "keep-alive" } else { "close" };
        let mut all = vec![("connection", connection)];
        if !fields.iter().any(|(name, _)| *name == "content-type") {
            all.push(("content-type", "application/json"));
        }
        all.extend_from_slice(fields);
        let mut bytes = http::response_head(status, &all, Framing::Length(body.len()));
        bytes.extend_from_slice(body);
        self.write(bytes, out);
    }

    /// Writes the head of a streamed answer.
    pub fn begin_stream(&mut self, fields: &[(&str, &str)], out: &mut Vec<Output>) {
        let connection = if self.keeps_alive { "keep-alive" } else { "close" };
        let mut all = vec![
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
            ("connection", connection),
        ];
        all.extend_from_slice(fields);
        self.write(http::response_head(200, &all, Framing::Chunked), out);
    }

    /// The present answer is the last on this connection.
    pub fn close_after_answer(&mut self) {
        self.keeps_alive = false;
    }

    /// The answer is written: the next request may be read, or the connection ends. Whether it goes on.
    pub fn finish_answer(&mut self, now: Duration, out: &mut Vec<Output>) -> bool {
        if !self.keeps_alive || (self.is_closed_by_peer && self.decoder.idle()) {
            out.push(Output::CloseWhenSent(self.conn));
            return false;
        }
        self.state = if self.decoder.idle() { ClientState::Idle } else { ClientState::Receiving };
        self.since = now;
        if std::mem::take(&mut self.paused) {
            out.push(Output::Resume(self.conn));
        }
        true
    }
}
