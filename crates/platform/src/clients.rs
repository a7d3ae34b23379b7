//! The client side: receives complete requests and gives each one final answer.

use crate::log_event::LogEvent;
use crate::parse_request::{self, ParsedRequest};
use crate::proof::AttemptEnd;
use crate::request::{ActiveRequest, RequestParams};
use crate::request_error::RequestError;
use crate::resource_limits::MAX_HEAD_BYTES;
use crate::router::PlatformRouter;
use slipreel::{Event, Idempotency, Outcome, RequestId};
use slipreel_connections::{ClientConnection, ClientState, ReceivedRequest};
use slipreel_protocol::http::{self, Limits};
use slipreel_state_machine::{ConnId, Output};
use std::time::Duration;

/// The largest body of a client's request, in bytes. From the protocol.
const MAX_REQUEST_BODY_BYTES: u64 = 256 << 10;
/// Maximum bytes of pipelined requests that wait while one is being answered.
const MAX_PIPELINED_BYTES: usize = 16 << 10;

impl PlatformRouter {
    // ---- Requests -----------------------------------------------------------------------------------

    /// Handles a new client connection. If no slot is free, another connection is evicted; if none can be,
    /// the new one is closed.
    pub(crate) fn accepted(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if self.clients.len() >= self.resource_limits.client_connections && !self.evict(out) {
            self.counters.rejected_before_admission += 1;
            return out.push(Output::Abort(conn));
        }
        let limits = Limits { head: MAX_HEAD_BYTES, body: MAX_REQUEST_BODY_BYTES, ..Limits::default() };
        let mut client = ClientConnection::new(
            conn,
            slipreel_state_machine::ListenerId(0),
            self.now,
            limits,
            MAX_PIPELINED_BYTES,
        );
        if self.shutdown.has_begun() {
            client.close_after_answer();
        }
        self.clients.insert(client, self.now);
        self.arm_client_timer(conn);
    }

    /// Frees a slot for one more client by closing the connection that
    /// `ClientConnections::eviction_candidate` returns. False if all are busy with requests.
    pub(crate) fn evict(&mut self, out: &mut Vec<Output>) -> bool {
        let Some(conn) = self.clients.eviction_candidate(self.now) else { return false };
        let Some(client) = self.clients.get_mut(conn) else { return false };
        if client.state == ClientState::Receiving {
            // The rest of its request may be in transit, so the request is answered before the connection is
            // closed.
            self.reject_and_close(conn, &RequestError::Evicted, out);
            return true;
        }
        self.counters.rejected_before_admission += 1;
        // A connection that has had an answer is closed gracefully: a reset would discard an answer that is
        // still in transit. A request that arrives at this moment has not been read.
        let awaits_first_request = self.clients.awaits_first_request(conn);
        out.push(if awaits_first_request { Output::Abort(conn) } else { Output::CloseWhenSent(conn) });
        self.clients.remove(conn, &mut self.timers);
        true
    }

    /// Handles bytes from a client.
    pub(crate) fn client_data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(conn) else { return };
        let previous_state = client.state;
        client.feed(now, bytes, out);
        self.read_requests(conn, out);
        self.limit_pipelining(conn, out);
        if self.clients.get(conn).is_some_and(|client| client.state != previous_state) {
            self.arm_client_timer(conn);
        }
    }

    /// Pauses reading from a client that pipelines requests while memory is scarce.
    fn limit_pipelining(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let is_scarce = self.memory_is_scarce;
        if let Some(client) = self.clients.get_mut(conn).filter(|_| is_scarce) {
            client.pause_pipelining(0, out);
        }
    }

    /// Handles the complete requests that were received, each after the previous one was answered.
    fn read_requests(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        loop {
            let now = self.now;
            let Some(client) = self.clients.get_mut(conn) else { return };
            match client.receive(now, out) {
                Ok(None) => return,
                Ok(Some(received)) => {
                    self.clients.request_received(conn);
                    self.route(conn, received, out);
                }
                Err(malformed) => {
                    return self.reject_and_close(conn, &RequestError::Malformed(malformed), out);
                }
            }
        }
    }

    /// Answers requests to the router itself and admits all others.
    fn route(&mut self, conn: ConnId, received: ReceivedRequest, out: &mut Vec<Output>) {
        match (received.method(), received.path()) {
            ("GET", "/-/ready") => {
                let status = if self.endpoints.has_list() { 200 } else { 503 };
                self.answer(conn, status, &[], b"{}", out);
            }
            (_, path) if path.starts_with("/-/") => self.reject(conn, &RequestError::UnknownPath, out),
            _ => self.admit(conn, received, out),
        }
    }

    /// Admits a request, or rejects it without involving the decision module.
    fn admit(&mut self, conn: ConnId, received: ReceivedRequest, out: &mut Vec<Output>) {
        match self.check_admissible(&received, out) {
            Ok(parsed) => self.start_request(conn, parsed, received),
            Err(error) => self.reject(conn, &error, out),
        }
    }

    /// Parses a request and checks whether this router may take it now.
    fn check_admissible(
        &mut self, received: &ReceivedRequest, out: &mut Vec<Output>,
    ) -> Result<ParsedRequest, RequestError> {
        let parsed = parse_request::parse(&self.profile, received)?;
        if !self.shutdown.admits_requests(self.now) {
            return Err(RequestError::ShuttingDown);
        }
        if self.requests.is_id_in_use(&parsed.client_id) {
            // The open request with this id goes on.
            return Err(RequestError::IdInUse);
        }
        if self.requests.was_forwarded(self.now, &parsed.client_id) {
            return Err(RequestError::IdRecentlyForwarded);
        }
        // The request, and its copy for the attempt in flight.
        let size = received.body.len();
        let has_memory = self.requests.held_bytes() + size <= self.resource_limits.request_bytes
            && self.reserve_memory(2 * size, out);
        if !has_memory {
            return Err(RequestError::OutOfMemory);
        }
        Ok(parsed)
    }

    /// Records an admitted request and queues it for the decision module.
    fn start_request(&mut self, conn: ConnId, parsed: ParsedRequest, received: ReceivedRequest) {
        let ParsedRequest { client_id, mut request } = parsed;
        let id = self.requests.next_id();
        request.id = id;
        // The deadline counts from the arrival of its last byte, including time in the queue behind the
        // previous request.
        let deadline = received.arrived.saturating_add(request.client_timeout);
        request.client_timeout = deadline.saturating_sub(self.now);
        let class = self.profile.settings.classes.get(request.class.0);
        let idempotency = class.map_or(Idempotency::NotIdempotent, |class| class.idempotency);
        let latency_objective = class.map_or(Duration::MAX, |class| {
            let per_token = class.latency_objective_per_1000_tokens.mul_f64(request.prompt_tokens / 1e3);
            class.latency_objective + per_token
        });
        if let Some(client) = self.clients.get_mut(conn) {
            client.state = ClientState::Serving(Some(id.0));
        }
        let params = RequestParams {
            at_most_once: idempotency != Idempotency::Idempotent,
            deadline,
            first_event_due: self.now.saturating_add(latency_objective),
            prompt_tokens: request.prompt_tokens as u64,
        };
        self.requests.insert(id, ActiveRequest::new(client_id, conn, params, received));
        self.counters.admitted += 1;
        self.queue_event(Event::Request(request));
    }

    /// Handles the close of a client's sending side.
    pub(crate) fn client_eof(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        // A client that closes its sending side counts as disconnected, even if an answer is still due.
        if self.clients.contains(conn) {
            out.push(Output::CloseWhenSent(conn));
            self.client_disconnected(conn, out);
        }
    }

    /// Handles the disconnect of a client: its request needs no answer any more.
    pub(crate) fn client_disconnected(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let request = match self.clients.get(conn).map(|client| client.state) {
            Some(ClientState::Serving(Some(request))) => Some(RequestId(request)),
            _ => None,
        };
        self.clients.remove(conn, &mut self.timers);
        let Some(id) = request.filter(|&id| self.requests.get_open(id).is_some()) else { return };
        self.counters.disconnected += 1;
        self.counters.ended_without_event +=
            u64::from(self.requests.get(id).is_some_and(|request| request.streaming_attempt().is_none()));
        self.requests.close(id);
        self.queue_event(Event::ClientDisconnected(id));
        if let Some(conn) = self.requests.get(id).and_then(ActiveRequest::streaming_connection) {
            // The client is gone; stop reading from the engine.
            self.abort_connection(conn, AttemptEnd::may_have_run(Outcome::Cancelled), out);
        }
    }

    /// Records that the driver has sent bytes to a client.
    pub(crate) fn client_sent(&mut self, conn: ConnId, sent: usize, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(conn) else { return };
        client.unsent = client.unsent.saturating_sub(sent);
        client.last_sent_at = now;
        if let ClientState::Serving(Some(request)) = client.state {
            self.apply_backpressure(RequestId(request), out);
        }
    }

    /// Handles the timeout of a client connection, depending on its state.
    pub(crate) fn client_timed_out(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(client) = self.clients.get_mut(conn) else { return };
        match client.state {
            ClientState::Receiving => self.reject_and_close(conn, &RequestError::ReceiveTimeout, out),
            ClientState::Idle => {
                out.push(Output::CloseWhenSent(conn));
                self.clients.remove(conn, &mut self.timers);
            }
            // The client reads nothing of what was written to it.
            ClientState::Serving(_) => {
                out.push(Output::Abort(conn));
                self.client_disconnected(conn, out);
            }
        }
    }

    // ---- Answers ----------------------------------------------------------------------------------

    /// Answers a request that does not reach the decision module.
    fn reject(&mut self, conn: ConnId, error: &RequestError, out: &mut Vec<Output>) {
        self.counters.rejected_before_admission += 1;
        let body = serde_json::json!({ "error": error.to_string() }).to_string();
        self.answer(conn, error.status(), &[], body.as_bytes(), out);
    }

    /// Answers a request that can't be received completely, and closes its connection.
    pub(crate) fn reject_and_close(&mut self, conn: ConnId, error: &RequestError, out: &mut Vec<Output>) {
        if let Some(client) = self.clients.get_mut(conn) {
            client.close_after_answer();
        }
        self.reject(conn, error, out);
    }

    /// Writes a complete answer.
    fn answer(
        &mut self, conn: ConnId, status: u16, fields: &[(&str, &str)], body: &[u8], out: &mut Vec<Output>,
    ) {
        let is_last = self.shutdown.has_begun();
        let Some(client) = self.clients.get_mut(conn) else { return };
        if is_last {
            client.close_after_answer();
        }
        client.answer(status, fields, body, out);
        self.after_answer(conn, out);
    }

    /// Keeps or closes the connection after a complete answer.
    fn after_answer(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(conn) else { return };
        if client.finish_answer(now, out) {
            self.arm_client_timer(conn);
        } else {
            self.clients.remove(conn, &mut self.timers);
        }
    }

    /// Writes a final answer that is not a stream, then handles pipelined requests.
    fn answer_request(
        &mut self, id: RequestId, status: u16, fields: &[(&str, &str)], message: &str, out: &mut Vec<Output>,
    ) {
        let Some(conn) = self.requests.get_open(id).map(ActiveRequest::client_conn) else { return };
        self.requests.close(id);
        let body = serde_json::json!({ "error": message }).to_string();
        self.answer(conn, status, fields, body.as_bytes(), out);
        self.read_requests(conn, out);
    }

    /// Rejects a request on behalf of the decision module.
    pub(crate) fn reject_request(
        &mut self, id: RequestId, retry_after: Option<Duration>, over_quota: bool, out: &mut Vec<Output>,
    ) {
        self.counters.rejected += 1;
        if self.requests.get(id).is_some_and(ActiveRequest::has_attempts) {
            self.counters.ended_without_event += 1;
        } else {
            self.counters.rejected_without_attempt += 1;
        }
        self.log_request_end(id, |trace| LogEvent::RequestRejected { trace }, out);
        let seconds = retry_after.map(|time| format!("{:.3}", time.as_secs_f64()));
        let fields: Vec<(&str, &str)> =
            seconds.iter().map(|seconds| ("retry-after", seconds.as_str())).collect();
        let status = if over_quota { 429 } else { 503 };
        self.answer_request(id, status, &fields, "turned away; trying again is harmless", out);
    }

    /// Answers a request that has failed and gets no further attempt.
    pub(crate) fn fail_request(&mut self, id: RequestId, out: &mut Vec<Output>) {
        self.counters.failed += 1;
        self.counters.ended_without_event += 1;
        self.log_request_end(id, |trace| LogEvent::RequestFailed { trace }, out);
        self.answer_request(id, 502, &[], "failed; it may have run", out);
    }

    /// Logs the end of a request with its attempts.
    fn log_request_end(&mut self, id: RequestId, event: fn(String) -> LogEvent, out: &mut Vec<Output>) {
        let Some(trace) = self.requests.get(id).map(|request| request.trace(self.now)) else { return };
        self.log_limited(|| event(trace), out);
    }

    /// Writes the head of a streamed answer.
    pub(crate) fn begin_stream(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(conn) = self.requests.get(id).map(ActiveRequest::client_conn) else { return };
        if let Some(client) = self.clients.get_mut(conn) {
            if self.shutdown.has_begun() {
                client.close_after_answer();
            }
            client.begin_stream(&[], out);
        }
    }

    /// Writes events of a stream.
    pub(crate) fn write_events(&mut self, id: RequestId, events: &[u8], out: &mut Vec<Output>) {
        let Some(conn) = self.requests.get(id).map(ActiveRequest::client_conn) else { return };
        if let Some(client) = self.clients.get_mut(conn) {
            client.write(http::chunk(events), out);
        }
    }

    /// Completes a stream.
    pub(crate) fn complete_stream(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(conn) = self.requests.get_open(id).map(ActiveRequest::client_conn) else { return };
        self.requests.close(id);
        self.counters.completed += 1;
        if let Some(client) = self.clients.get_mut(conn) {
            client.write(http::LAST_CHUNK.to_vec(), out);
        }
        self.after_answer(conn, out);
        self.read_requests(conn, out);
    }

    /// Ends a stream that broke: closes the client's connection gracefully, without the last chunk.
    pub(crate) fn abort_stream(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(conn) = self.requests.get_open(id).map(ActiveRequest::client_conn) else { return };
        self.log_request_end(id, |trace| LogEvent::StreamBroke { trace }, out);
        self.requests.close(id);
        self.counters.failed += 1;
        self.counters.broken_streams += 1;
        if self.clients.contains(conn) {
            out.push(Output::CloseWhenSent(conn));
            self.clients.remove(conn, &mut self.timers);
        }
    }

    /// Migrates a stream: cuts it off, so that its client resumes it at another router.
    pub(crate) fn migrate_stream(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(conn) = self.requests.get_open(id).and_then(ActiveRequest::streaming_connection) else {
            return;
        };
        self.abort_stream(id, out);
        self.abort_connection(conn, AttemptEnd::may_have_run(Outcome::Cancelled), out);
    }
}
