//! The clients' side: whole requests come in, one final answer goes out.

use crate::parse_request::{self, ParsedRequest};
use crate::proof::AttemptEnd;
use crate::request::{ActiveRequest, RequestTerms};
use crate::request_error::RequestError;
use crate::resource_limits::MAX_HEAD_BYTES;
use crate::router::PlatformRouter;
use slipreel::{Event, Idempotency, Outcome, RequestId};
use slipreel_connections::{Client, Received, State};
use slipreel_protocol::http::{self, Limits};
use slipreel_state_machine::{ConnId, Output};
use std::time::Duration;

/// The largest body of a client's request, in bytes. From the protocol.
const MAX_REQUEST_BODY_BYTES: u64 = 256 << 10;
/// Bytes of pipelined requests that may wait while one is being answered.
const MAX_PIPELINED_BYTES: usize = 16 << 10;
/// A connection that has sent nothing for less is not closed to free a slot: its first request may be on its way.
pub(crate) const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(400);

/// Connections of clients that may be closed to make room, those that go first before the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Eviction {
    /// Its first request has not come whole for a while.
    LongUnheard,
    /// It was answered and stands idle.
    Idle,
    /// It came a moment ago and has said nothing.
    JustCome,
    /// It came a moment ago, and a part of its first request is here.
    JustReceiving,
}

impl PlatformRouter {
    // ---- In -----------------------------------------------------------------------------------

    pub(crate) fn accepted(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if self.clients.len() >= self.resource_limits.client_connections && !self.evict(out) {
            self.counters.rejected_before_admission += 1;
            return out.push(Output::Abort(conn));
        }
        let limits = Limits { head: MAX_HEAD_BYTES, body: MAX_REQUEST_BODY_BYTES, ..Limits::default() };
        let mut client =
            Client::new(conn, slipreel_state_machine::ListenerId(0), self.now, limits, MAX_PIPELINED_BYTES);
        if self.stopping.is_some() {
            client.last_answer();
        }
        self.clients.insert(conn, client);
        self.awaiting_first_request.insert(conn, self.now);
        self.arm_client_timer(conn);
    }

    /// Frees a slot for one more client by closing one whose first request has not come in whole after a while, else the one
    /// that stands idle longest, else one that came a moment ago. False if all are at work.
    pub(crate) fn evict(&mut self, out: &mut Vec<Output>) -> bool {
        let ranked = self.clients.values().filter_map(|c| Some((self.eviction_rank(c)?, c.since, c.conn)));
        let Some((_, _, conn)) = ranked.min() else { return false };
        let Some(client) = self.clients.get_mut(&conn) else { return false };
        if client.state == State::Receiving {
            // Its last byte may be on its way: no request is read in part and then closed without an answer.
            client.last_answer();
            self.reject(conn, &RequestError::Evicted, out);
            return true;
        }
        self.counters.rejected_before_admission += 1;
        // One that was answered ends in order: a reset would take the answer with it if that is still on its way, and a
        // request that comes in just now is one that was never read.
        let silent = self.awaiting_first_request.contains_key(&conn);
        out.push(if silent { Output::Abort(conn) } else { Output::CloseWhenSent(conn) });
        self.remove_client(conn);
        true
    }

    /// Which connections make room first; none that is at work.
    fn eviction_rank(&self, client: &Client) -> Option<Eviction> {
        let unheard_since = self.awaiting_first_request.get(&client.conn).copied();
        let is_old = |since: Duration| self.now >= since + NEW_CONNECTION_GRACE;
        match (unheard_since, client.state) {
            (_, State::Serving(_)) | (None, State::Receiving) => None,
            (None, State::Idle) => Some(Eviction::Idle),
            (Some(since), _) if is_old(since) => Some(Eviction::LongUnheard),
            (Some(_), State::Idle) => Some(Eviction::JustCome),
            (Some(_), State::Receiving) => Some(Eviction::JustReceiving),
        }
    }

    pub(crate) fn client_data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let before = client.state;
        client.feed(now, bytes, out);
        self.read_requests(conn, out);
        if self.clients.get(&conn).is_some_and(|c| c.state != before) {
            self.arm_client_timer(conn);
        }
    }

    /// Takes the requests that have come in whole, one after another as each is answered.
    fn read_requests(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        loop {
            let now = self.now;
            let Some(client) = self.clients.get_mut(&conn) else { return };
            match client.receive(now, out) {
                Ok(None) => return,
                Ok(Some(received)) => {
                    self.awaiting_first_request.remove(&conn);
                    self.route(conn, received, out);
                }
                Err(malformed) => {
                    client.last_answer();
                    return self.reject(conn, &RequestError::Malformed(malformed), out);
                }
            }
        }
    }

    fn route(&mut self, conn: ConnId, received: Received, out: &mut Vec<Output>) {
        match (received.method(), received.path()) {
            ("GET", "/-/ready") => {
                let status = if self.ready { 200 } else { 503 };
                self.answer(conn, status, &[], b"{}", out);
            }
            (_, path) if path.starts_with("/-/") => self.reject(conn, &RequestError::UnknownPath, out),
            _ => self.admit(conn, received, out),
        }
    }

    fn admit(&mut self, conn: ConnId, received: Received, out: &mut Vec<Output>) {
        match self.check_admissible(&received) {
            Ok(parsed) => self.start_request(conn, parsed, received),
            Err(error) => {
                // Counted here and by `reject` as well.
                self.counters.rejected_before_admission += u64::from(error == RequestError::OutOfMemory);
                self.reject(conn, &error, out);
            }
        }
    }

    /// Parses a request and checks whether this router may take it now.
    fn check_admissible(&mut self, received: &Received) -> Result<ParsedRequest, RequestError> {
        let parsed = parse_request::parse(&self.profile, received)?;
        if self.shutting_down_for(self.shutdown_deadline()) {
            return Err(RequestError::ShuttingDown);
        }
        if self.open_by_client_id.contains_key(&parsed.client_id) {
            // The other one's attempts and answer go on unharmed.
            return Err(RequestError::IdInUse);
        }
        if self.recently_forwarded.contains(self.now, &parsed.client_id) {
            return Err(RequestError::IdRecentlyForwarded);
        }
        if self.held_bytes + received.body.len() > self.resource_limits.request_bytes {
            return Err(RequestError::OutOfMemory);
        }
        Ok(parsed)
    }

    /// Records an admitted request and tells the decision module of it.
    fn start_request(&mut self, conn: ConnId, parsed: ParsedRequest, received: Received) {
        let ParsedRequest { client_id, mut request } = parsed;
        self.next_request += 1;
        let id = RequestId(self.next_request);
        request.id = id;
        // Its client's time runs from its last byte, also while it waits behind the request before it.
        let deadline = received.arrived.saturating_add(request.client_timeout);
        request.client_timeout = deadline.saturating_sub(self.now);
        let class = self.profile.settings.classes.get(request.class.0);
        let idempotency = class.map_or(Idempotency::NotIdempotent, |class| class.idempotency);
        let objective = class.map_or(Duration::MAX, |class| {
            let per_token = class.latency_objective_per_1000_tokens.mul_f64(request.prompt_tokens / 1e3);
            class.latency_objective + per_token
        });
        if let Some(client) = self.clients.get_mut(&conn) {
            client.state = State::Serving(Some(id.0));
        }
        let terms = RequestTerms {
            runs_once: idempotency != Idempotency::Idempotent,
            deadline,
            first_event_due: self.now.saturating_add(objective),
            prompt_tokens: request.prompt_tokens as u64,
        };
        self.held_bytes += received.body.len();
        self.requests.insert(id, ActiveRequest::new(client_id.clone(), conn, terms, received));
        self.open_by_client_id.insert(client_id, id);
        self.counters.admitted += 1;
        self.queue_event(Event::Request(request));
    }

    pub(crate) fn client_eof(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        // A client that closes its connection has gone away, whatever it still waits for.
        if self.clients.contains_key(&conn) {
            out.push(Output::CloseWhenSent(conn));
            self.client_gone(conn, out);
        }
    }

    pub(crate) fn client_gone(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let request = match self.clients.get(&conn).map(|c| c.state) {
            Some(State::Serving(Some(request))) => Some(RequestId(request)),
            _ => None,
        };
        self.remove_client(conn);
        let Some(id) = request.filter(|id| self.requests.get(id).is_some_and(|c| !c.over)) else { return };
        self.counters.disconnected += 1;
        self.counters.ended_without_event +=
            u64::from(self.requests.get(&id).is_some_and(|c| c.streaming_attempt.is_none()));
        self.close(id);
        self.queue_event(Event::ClientDisconnected(id));
        let streaming_attempt = self.requests.get(&id).and_then(|c| c.attempts[c.streaming_attempt?].conn);
        if let Some(connection) = streaming_attempt {
            // A stream that nobody reads.
            self.abort_connection(connection, AttemptEnd::may_have_run(Outcome::Cancelled), out);
        }
    }

    pub(crate) fn client_sent(&mut self, conn: ConnId, n: usize, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.unsent = client.unsent.saturating_sub(n);
        client.moved = now;
        if let State::Serving(Some(request)) = client.state {
            self.check_pace(RequestId(request), out);
        }
    }

    /// Its time is up, by its state.
    pub(crate) fn client_timed_out(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        match client.state {
            State::Receiving => {
                client.last_answer();
                self.reject(conn, &RequestError::ReceiveTimeout, out);
            }
            State::Idle => {
                out.push(Output::CloseWhenSent(conn));
                self.remove_client(conn);
            }
            // It takes nothing of what waits for it.
            State::Serving(_) => {
                out.push(Output::Abort(conn));
                self.client_gone(conn, out);
            }
        }
    }

    // ---- Out ----------------------------------------------------------------------------------

    /// Answers a request that the decision module is not told of.
    fn reject(&mut self, conn: ConnId, error: &RequestError, out: &mut Vec<Output>) {
        self.counters.rejected_before_admission += 1;
        let body = serde_json::json!({ "error": error.to_string() }).to_string();
        self.answer(conn, error.status(), &[], body.as_bytes(), out);
    }

    fn answer(
        &mut self, conn: ConnId, status: u16, fields: &[(&str, &str)], body: &[u8], out: &mut Vec<Output>,
    ) {
        let stopping = self.stopping.is_some();
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if stopping {
            client.last_answer();
        }
        client.answer(status, fields, body, out);
        self.client_done(conn, out);
    }

    fn client_done(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.done(now, out) {
            self.arm_client_timer(conn);
        } else {
            self.remove_client(conn);
        }
    }

    /// A request has its final answer, or needs none any more.
    fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut request.over, true) {
            if request.streaming_attempt.is_none() {
                self.held_bytes = self.held_bytes.saturating_sub(request.bytes());
            }
            self.open_by_client_id.remove(&request.client_id);
            self.finished.push(id);
        }
    }

    /// Writes a final answer that is no stream, and goes on with what the client has sent ahead.
    fn answer_request(
        &mut self, id: RequestId, status: u16, fields: &[(&str, &str)], why: &str, out: &mut Vec<Output>,
    ) {
        let Some(conn) = self.requests.get(&id).filter(|c| !c.over).map(|c| c.client) else { return };
        self.close(id);
        let body = serde_json::json!({ "error": why }).to_string();
        self.answer(conn, status, fields, body.as_bytes(), out);
        self.read_requests(conn, out);
    }

    pub(crate) fn reject_request(
        &mut self, id: RequestId, after: Option<Duration>, over_share: bool, out: &mut Vec<Output>,
    ) {
        self.counters.rejected += 1;
        let tried = self.requests.get(&id).is_some_and(|c| !c.attempts.is_empty());
        *(if tried {
            &mut self.counters.ended_without_event
        } else {
            &mut self.counters.rejected_without_attempt
        }) += 1;
        self.log_request_end("refused", id, out);
        let after = after.map(|after| format!("{:.3}", after.as_secs_f64()));
        let fields: Vec<(&str, &str)> = after.iter().map(|after| ("retry-after", after.as_str())).collect();
        let status = if over_share { 429 } else { 503 };
        self.answer_request(id, status, &fields, "turned away; trying again is harmless", out);
    }

    pub(crate) fn fail_request(&mut self, id: RequestId, out: &mut Vec<Output>) {
        self.counters.failed += 1;
        self.counters.ended_without_event += 1;
        self.log_request_end("failed", id, out);
        self.answer_request(id, 502, &[], "failed; it may have run", out);
    }

    /// How a request came to its end, for the staff.
    fn log_request_end(&mut self, what: &str, id: RequestId, out: &mut Vec<Output>) {
        let Some(trace) = self.requests.get(&id).map(|c| c.trace(self.now)) else { return };
        self.log_limited(|| format!("{what}: {trace}"), out);
    }

    pub(crate) fn begin_stream(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(client) = self.requests.get(&id).map(|c| c.client) else { return };
        if let Some(client) = self.clients.get_mut(&client) {
            if self.stopping.is_some() {
                client.last_answer();
            }
            client.begin_stream(&[], out);
        }
    }

    pub(crate) fn write_events(&mut self, id: RequestId, events: &[u8], out: &mut Vec<Output>) {
        let Some(client) = self.requests.get(&id).map(|c| c.client) else { return };
        if let Some(client) = self.clients.get_mut(&client) {
            client.write(http::chunk(events), out);
        }
    }

    /// A stream has come whole.
    pub(crate) fn complete_stream(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(conn) = self.requests.get(&id).filter(|c| !c.over).map(|c| c.client) else { return };
        self.close(id);
        self.counters.completed += 1;
        if let Some(client) = self.clients.get_mut(&conn) {
            client.write(http::LAST_CHUNK.to_vec(), out);
        }
        self.client_done(conn, out);
        self.read_requests(conn, out);
    }

    /// A stream has broken: the client's connection ends in order, without the last chunk.
    pub(crate) fn abort_stream(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(conn) = self.requests.get(&id).filter(|c| !c.over).map(|c| c.client) else { return };
        self.log_request_end("broke off", id, out);
        self.close(id);
        self.counters.failed += 1;
        self.counters.broken_streams += 1;
        if self.clients.contains_key(&conn) {
            out.push(Output::CloseWhenSent(conn));
            self.remove_client(conn);
        }
    }

    /// A stream is moved: it ends where it stands, and its client asks for the rest.
    pub(crate) fn migrate_stream(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(conn) =
            self.requests.get(&id).filter(|c| !c.over).and_then(|c| c.attempts[c.streaming_attempt?].conn)
        else {
            return;
        };
        self.abort_stream(id, out);
        self.abort_connection(conn, AttemptEnd::may_have_run(Outcome::Cancelled), out);
    }
}
