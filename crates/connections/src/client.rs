//! The server side of a client's HTTP connection, which serves one request at a time.
//!
//! The owner of a connection sets its timeouts by its state. Pipelined requests wait in the decoder until the
//! response to the request before them is complete.

use crate::body_buffer::BodyBuffer;
use slipreel_protocol::http::{self, Decoder, Framing, Head, Item, Limits, Malformed, Side, Start};
use slipreel_state_machine::{ConnId, ListenerId, Output};
use std::collections::VecDeque;
use std::time::Duration;

/// The most arrival times that are recorded for waiting bytes; later bytes count as having arrived at the
/// last of these.
const MAX_ARRIVALS: usize = 64;

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// Between requests.
    Idle,
    /// A part of a request has been received.
    Receiving,
    /// A complete request has not been answered yet. The number is the id that the owner gave it, if it was
    /// admitted.
    Serving(Option<u64>),
}

/// A complete request.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Its head.
    pub head: Head,
    /// Its body, without framing.
    pub body: Vec<u8>,
    /// When its last byte arrived. Since then it may have waited for the response to the request before it.
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
    /// The id of the connection.
    pub conn: ConnId,
    /// The listener that accepted it.
    pub listener: ListenerId,
    /// Its state.
    pub state: ClientState,
    decoder: Decoder,
    head: Option<Head>,
    /// Memory that `head` takes, in bytes.
    head_size: usize,
    body: BodyBuffer,
    /// Whether the connection stays open after the current response.
    keeps_alive: bool,
    /// Bytes that were written, but not sent by the driver yet.
    pub unsent: usize,
    /// When the driver last sent some of them.
    pub last_sent_at: Duration,
    /// When the current state began, from which its timeout counts.
    pub since: Duration,
    /// The client has closed its sending side.
    pub is_closed_by_peer: bool,
    /// Reading is paused: pipelined requests fill the buffer.
    paused: bool,
    max_pipelined_bytes: usize,
    /// Bytes received so far.
    received_bytes: u64,
    /// The arrivals of bytes that may still wait: all bytes received by then, and the time.
    arrivals: VecDeque<(u64, Duration)>,
}

impl ClientConnection {
    /// Creates the state of a connection that was accepted at `now`. `max_pipelined_bytes`: the most bytes of
    /// pipelined requests that may wait.
    pub fn new(
        conn: ConnId, listener: ListenerId, now: Duration, limits: Limits, max_pipelined_bytes: usize,
    ) -> Self {
        ClientConnection {
            conn,
            listener,
            state: ClientState::Idle,
            decoder: Decoder::new(Side::Server, limits),
            head: None,
            head_size: 0,
            body: BodyBuffer::default(),
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

    /// Adds received bytes. They wait while a request is served; beyond a limit the connection is paused.
    pub fn feed(&mut self, now: Duration, bytes: &[u8], out: &mut Vec<Output>) {
        self.decoder.feed(bytes);
        self.record_arrival(now, bytes.len());
        if self.state == ClientState::Idle {
            (self.state, self.since) = (ClientState::Receiving, now);
        }
        self.pause_pipelining(self.max_pipelined_bytes, out);
    }

    /// Pauses reading while a request is served and more than `max_bytes` of the requests after it wait.
    pub fn pause_pipelining(&mut self, max_bytes: usize, out: &mut Vec<Output>) {
        let serving = matches!(self.state, ClientState::Serving(_));
        if serving && !self.paused && self.decoder.buffered() > max_bytes {
            self.paused = true;
            out.push(Output::Pause(self.conn));
        }
    }

    /// Memory that received bytes take which are not part of a complete request yet, in bytes.
    pub fn received_size(&self) -> usize {
        self.decoder.capacity() + self.head_size + self.body.capacity()
    }

    fn record_arrival(&mut self, now: Duration, length: usize) {
        self.received_bytes += length as u64;
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut().filter(|_| is_full) {
            Some((received_so_far, _)) => *received_so_far = self.received_bytes,
            None => self.arrivals.push_back((self.received_bytes, now)),
        }
    }

    /// When the last byte arrived that the decoder has consumed so far.
    fn last_consumed_arrival(&mut self) -> Option<Duration> {
        let consumed = self.received_bytes - self.decoder.buffered() as u64;
        while self.arrivals.front().is_some_and(|&(received_so_far, _)| received_so_far < consumed) {
            self.arrivals.pop_front();
        }
        self.arrivals.front().map(|&(_, at)| at)
    }

    /// Memory that all its buffers take, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.received_size() + self.unsent
    }

    /// The next complete request, if the bytes received so far contain one and no request is being served.
    ///
    /// # Errors
    /// The bytes are not a valid HTTP/1.1 request, or exceed a limit.
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
                    self.head_size = head.size();
                    self.head = Some(head);
                }
                Item::Body(piece) => self.body.push(&piece),
                Item::End => {
                    let Some(head) = self.head.take() else { continue };
                    self.head_size = 0;
                    (self.state, self.since) = (ClientState::Serving(None), now);
                    let arrived = self.last_consumed_arrival().unwrap_or(now);
                    let body = self.body.take();
                    return Ok(Some(ReceivedRequest { head, body, arrived }));
                }
            }
        }
        Ok(None)
    }

    /// Writes bytes of a response, and counts them until they are sent.
    pub fn write(&mut self, bytes: Vec<u8>, out: &mut Vec<Output>) {
        if !bytes.is_empty() {
            self.unsent += bytes.len();
            out.push(Output::Write(self.conn, bytes));
        }
    }

    /// Writes a complete response. [`ClientConnection::finish_answer`] has to follow.
    pub fn answer(&mut self, status: u16, fields: &[(&str, &str)], body: &[u8], out: &mut Vec<Output>) {
        let connection = if self.keeps_alive { "keep-alive" } else { "close" };
        let mut all_fields = vec![("connection", connection)];
        if !fields.iter().any(|(name, _)| *name == "content-type") {
            all_fields.push(("content-type", "application/json"));
        }
        all_fields.extend_from_slice(fields);
        let mut bytes = http::response_head(status, &all_fields, Framing::Length(body.len()));
        bytes.extend_from_slice(body);
        self.write(bytes, out);
    }

    /// Writes the head of a streamed response.
    pub fn begin_stream(&mut self, fields: &[(&str, &str)], out: &mut Vec<Output>) {
        let connection = if self.keeps_alive { "keep-alive" } else { "close" };
        let mut all_fields = vec![
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
            ("connection", connection),
        ];
        all_fields.extend_from_slice(fields);
        self.write(http::response_head(200, &all_fields, Framing::Chunked), out);
    }

    /// Makes the current response the last one on this connection.
    pub fn close_after_answer(&mut self) {
        self.keeps_alive = false;
    }

    /// Completes the current response: the next request may be read, or the connection is closed. Returns
    /// whether it stays open.
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
