//! The engine side: turns responses into events for the decision module, and forwards the events of one
//! stream to the client.

use crate::engine_connection::{ConnectionPurpose, EngineConnection, State};
use crate::log_event::LogEvent;
use crate::parse_request::MAX_TOKENS;
use crate::proof::{AttemptEnd, NeverRan};
use crate::request::{ActiveRequest, Attempt};
use crate::response::{Answer, ResponseError, ResponseEvent};
use crate::router::PlatformRouter;
use slipreel::{EngineId, Event, LoadReport, Outcome, RequestId};
use slipreel_connections::ReleaseId;
use slipreel_state_machine::{ConnId, ConnectionLoss, Output};
use std::net::SocketAddr;

/// Bytes waiting for a client above which its engine's connection is paused.
const MAX_UNSENT_BYTES: usize = 64 << 10;
/// The status with which a prefill engine confirms that it has prefilled a prompt.
const PREFILLED: u16 = 202;
/// The status with which an engine acknowledges a release.
const RELEASED: u16 = 204;

impl PlatformRouter {
    /// Sends the request on an established connection to an engine.
    pub(crate) fn engine_connected(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        if self.request_is_over(conn) {
            return self.cancel_connection(conn, Outcome::Cancelled, out);
        }
        let connecting = self.engines.get(conn).filter(|connection| connection.state() == State::Connecting);
        let Some((purpose, addr)) = connecting.map(|connection| (connection.purpose(), connection.addr()))
        else {
            return;
        };
        let message = match purpose {
            ConnectionPurpose::Attempt { request, .. } => {
                let Some(message) = self.attempt_message(request, addr, out) else {
                    return self.cancel_connection(conn, Outcome::Cancelled, out);
                };
                Some(message)
            }
            ConnectionPurpose::Probe | ConnectionPurpose::Release(_) => None,
        };
        let Some(connection) = self.engines.get_mut(conn) else { return };
        if let Some(message) = message {
            connection.replace_request(message);
        }
        out.push(Output::Write(conn, connection.connected(now)));
        self.arm_engine_timer(conn);
    }

    /// The message of an attempt. `None` if there is no memory for it, or if another attempt has begun to answer
    /// the client.
    fn attempt_message(
        &mut self, request: RequestId, addr: SocketAddr, out: &mut Vec<Output>,
    ) -> Option<Vec<u8>> {
        let size = self.requests.get(request)?.held_bytes();
        if !self.reserve_memory(size, out) {
            return None;
        }
        self.requests.get(request)?.message(self.now, addr)
    }

    /// Whether a connection carries an attempt for a request that is over: its client has left, or it has its
    /// answer. Even where the settings forbid the decision module to cancel attempts in flight, an attempt
    /// that is not written yet is no longer sent.
    fn request_is_over(&self, conn: ConnId) -> bool {
        match self.engines.get(conn).map(EngineConnection::purpose) {
            Some(ConnectionPurpose::Attempt { request, .. }) => {
                self.requests.get(request).is_none_or(ActiveRequest::is_closed)
            }
            _ => false,
        }
    }

    /// Records that the driver has sent bytes to an engine.
    pub(crate) fn engine_sent(&mut self, conn: ConnId, sent: usize) {
        if let Some(connection) = self.engines.get_mut(conn) {
            connection.bytes_sent(sent);
        }
    }

    /// Handles bytes from an engine.
    pub(crate) fn engine_data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let now = self.now;
        let Some(connection) = self.engines.get_mut(conn) else { return };
        if connection.state() != State::Busy {
            // Unsolicited bytes: later ones could be mistaken for the next answer.
            return self.abort_connection(conn, AttemptEnd::may_have_run(Outcome::Error), out);
        }
        let engine = connection.engine();
        let was_holding_last_byte = connection.is_holding_last_byte();
        let proves_reuse = connection.take_reuse_proof();
        let mut events = Vec::new();
        connection.feed(now, bytes, &self.report_layout, &mut events);
        self.counters.malformed_load_reports += connection.take_malformed_reports();
        if proves_reuse {
            self.engines.record_reuse_success(engine);
        }
        self.endpoints.record_contact(engine, now);
        // Until the last byte of a request is written, its only possible answer is a rejection. Guards
        // against mistaking a late second answer of the previous exchange for a stream, or for proof that
        // this attempt never ran.
        if was_holding_last_byte && !matches!(&events[..], [ResponseEvent::Answer(answer)] if answer.not_run)
        {
            self.counters.malformed_responses += 1;
            return self.abort_connection(conn, AttemptEnd::never_ran(NeverRan::LastByteHeld), out);
        }
        for event in events {
            self.handle_response(conn, event, out);
        }
        let purpose = self.engines.get(conn).map(EngineConnection::purpose);
        if let Some(ConnectionPurpose::Attempt { request, .. }) = purpose {
            self.apply_backpressure(request, out);
        }
    }

    /// Handles a connection to an engine that was lost or could not be opened.
    pub(crate) fn engine_lost(&mut self, conn: ConnId, loss: ConnectionLoss, out: &mut Vec<Output>) {
        if let Some(connection) = self.engines.remove(conn, &mut self.timers) {
            if loss == ConnectionLoss::Exhausted {
                // Frees a descriptor for the next attempt: connections to engines take precedence over idle
                // clients.
                self.evict(out);
            }
            self.engines.record_loss(&connection);
            self.exchange_ended(&connection, end_after_loss(loss, &connection), out);
        }
    }

    /// Handles the close of an engine's sending side.
    pub(crate) fn engine_eof(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if let Some(connection) = self.engines.remove(conn, &mut self.timers) {
            out.push(Output::Abort(conn));
            self.engines.record_loss(&connection);
            self.exchange_ended(&connection, end_after_loss(ConnectionLoss::Reset, &connection), out);
        }
    }

    /// Handles the timeout of a connection, depending on its state.
    pub(crate) fn engine_timed_out(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(connection) = self.engines.get(conn) else { return };
        match connection.state() {
            State::Connecting => {
                self.abort_connection(conn, AttemptEnd::never_ran(NeverRan::NotConnected), out);
            }
            State::Busy if connection.is_holding_last_byte() => self.write_last_byte(conn, out),
            State::Busy => self.abort_connection(conn, AttemptEnd::may_have_run(Outcome::TimedOut), out),
            State::Idle => {
                self.engines.remove(conn, &mut self.timers);
                out.push(Output::CloseWhenSent(conn));
            }
        }
    }

    /// Writes the last byte of a request that was held back, unless the request is over.
    fn write_last_byte(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if self.request_is_over(conn) {
            return self.cancel_connection(conn, Outcome::Cancelled, out);
        }
        if let Some(connection) = self.engines.get_mut(conn) {
            out.push(Output::Write(conn, connection.take_last_byte()));
        }
        self.arm_engine_timer(conn);
    }

    /// Handles the timeout that the decision module set for an attempt. It does not apply once the stream has
    /// begun.
    pub(crate) fn attempt_timed_out(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id).filter(|request| request.streaming_attempt().is_none())
        else {
            return;
        };
        if let Some(conn) = request.connection_in_flight(attempt) {
            self.cancel_connection(conn, Outcome::TimedOut, out);
        }
    }

    /// Handles a response, or part of one, depending on the purpose of its connection.
    fn handle_response(&mut self, conn: ConnId, event: ResponseEvent, out: &mut Vec<Output>) {
        let Some(connection) = self.engines.get(conn) else { return };
        let engine = connection.engine();
        match (event, connection.purpose()) {
            (ResponseEvent::Malformed(error), _) => self.malformed_response(conn, engine, error, out),
            (ResponseEvent::Events(events), ConnectionPurpose::Attempt { request, attempt }) => {
                if !self.forward_events(request, attempt, &events, out) {
                    self.abort_connection(conn, AttemptEnd::may_have_run(Outcome::Cancelled), out);
                }
            }
            (ResponseEvent::End(report), ConnectionPurpose::Attempt { request, attempt }) => {
                self.exchange_completed(conn, out);
                self.stream_ended(request, attempt, report.unwrap_or_default(), out);
            }
            (ResponseEvent::Answer(answer), ConnectionPurpose::Attempt { request, attempt }) => {
                self.attempt_answered(conn, request, attempt, &answer, out);
            }
            (ResponseEvent::Answer(answer), ConnectionPurpose::Probe) => {
                self.probe_answered(conn, engine, &answer, out);
            }
            (ResponseEvent::Answer(answer), ConnectionPurpose::Release(release)) => {
                self.release_answered(conn, release, &answer, out);
            }
            (
                ResponseEvent::Events(_) | ResponseEvent::End(_),
                ConnectionPurpose::Probe | ConnectionPurpose::Release(_),
            ) => self.abort_connection(conn, AttemptEnd::may_have_run(Outcome::Error), out),
        }
    }

    fn malformed_response(
        &mut self, conn: ConnId, engine: EngineId, error: ResponseError, out: &mut Vec<Output>,
    ) {
        self.counters.malformed_responses += 1;
        let name = self.endpoints.name(engine);
        self.log_limited(|| LogEvent::MalformedResponse { engine: name, error }, out);
        self.abort_connection(conn, AttemptEnd::may_have_run(Outcome::Error), out);
    }

    fn probe_answered(&mut self, conn: ConnId, engine: EngineId, answer: &Answer, out: &mut Vec<Output>) {
        self.exchange_completed(conn, out);
        let body = std::str::from_utf8(&answer.body).ok();
        let report = answer.report.or_else(|| self.report_layout.parse(body?));
        let outcome = if answer.status == 200 { Outcome::Completed } else { Outcome::Error };
        self.probe_ended(engine, outcome, report.unwrap_or_default());
    }

    fn release_answered(&mut self, conn: ConnId, release: ReleaseId, answer: &Answer, out: &mut Vec<Output>) {
        // No other status acknowledges a release. Guards against mistaking a late second answer of the
        // previous exchange for an acknowledgement.
        if answer.status != RELEASED {
            self.counters.malformed_responses += 1;
            return self.abort_connection(conn, AttemptEnd::may_have_run(Outcome::Error), out);
        }
        let acknowledged_by = self.engines.get(conn).map(EngineConnection::engine);
        if let (Some(engine), Some(acknowledged)) = (acknowledged_by, self.releases.get(release)) {
            let (request_id, engine) = (acknowledged.name.clone(), self.endpoints.name(engine));
            self.log_release(LogEvent::ReleaseAcknowledged { request_id, engine }, out);
        }
        self.releases.record_acknowledged(release, self.now);
        self.suspend_repeats(release);
        self.exchange_completed(conn, out);
    }

    /// Handles a completed exchange: the connection is kept for the next one, or closed.
    fn exchange_completed(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(connection) = self.engines.get_mut(conn) else { return };
        let engine = connection.engine();
        if connection.become_idle(now) {
            out.push(Output::Resume(conn));
        }
        let is_listed = self.endpoints.get(engine).is_some_and(|endpoint| endpoint.addr == connection.addr());
        if !is_listed || !connection.is_reusable() {
            return self.close_connection(conn, out);
        }
        // Attempts never reuse connections. For health checks and releases only the connection with the
        // latest answer is kept: it is the likeliest to work.
        for older in self.engines.idle_to(engine) {
            self.close_connection(older, out);
        }
        self.engines.keep_idle(engine, conn, now);
        self.arm_engine_timer(conn);
        self.send_waiting_release(conn, out);
    }

    /// Closes a connection that carries no exchange.
    fn close_connection(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        self.engines.remove(conn, &mut self.timers);
        out.push(Output::Abort(conn));
    }

    /// Handles an answer to an attempt that is not a stream. Its outcome follows the protocol's table of
    /// statuses.
    fn attempt_answered(
        &mut self, conn: ConnId, id: RequestId, attempt: usize, answer: &Answer, out: &mut Vec<Output>,
    ) {
        let Some(connection) = self.engines.get(conn) else { return };
        let proof = connection.proof_of_rejection(answer);
        let since = connection.since();
        let is_prefill = self
            .requests
            .get(id)
            .and_then(|request| request.attempt(attempt))
            .is_some_and(Attempt::is_prefill);
        let end = match proof {
            Some(proof) => AttemptEnd::never_ran(proof),
            None if answer.status == PREFILLED && is_prefill => {
                AttemptEnd::prefilled(cached_tokens(&answer.body))
            }
            None => AttemptEnd::may_have_run(Outcome::Error),
        };
        let end = end.with_report(answer.report.unwrap_or_default());
        if let Some(proof) = proof {
            self.log_never_ran(id, attempt, proof, since, out);
        }
        if answer.status == PREFILLED && !is_prefill {
            self.log_limited(|| LogEvent::PrefilledAnswerToDecode, out);
            self.close_connection(conn, out);
        } else {
            self.exchange_completed(conn, out);
        }
        if end.outcome() == Outcome::Error {
            return self.attempt_failed(id, attempt, end, out);
        }
        self.attempt_ended(id, attempt, end);
    }

    /// Handles the failure of an attempt. If its stream had begun, the request fails as well.
    pub(crate) fn attempt_failed(
        &mut self, id: RequestId, attempt: usize, end: AttemptEnd, out: &mut Vec<Output>,
    ) {
        if self
            .requests
            .get(id)
            .is_some_and(|request| request.streaming_attempt() == Some(attempt) && !request.is_closed())
        {
            self.abort_stream(id, out);
        }
        self.attempt_ended(id, attempt, end);
    }

    /// Forwards events of a stream to the client. False if the request is over.
    fn forward_events(
        &mut self, id: RequestId, attempt: usize, events: &[u8], out: &mut Vec<Output>,
    ) -> bool {
        let Some(request) = self.requests.get_open(id) else { return false };
        if request.streaming_attempt().is_none() {
            self.first_event(id, attempt, out);
        }
        self.write_events(id, events, out);
        true
    }

    /// Handles the first event of a request's stream.
    fn first_event(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(request) = self.requests.begin_stream(id, attempt) else { return };
        self.counters.late_first_events += u64::from(now > request.params().first_event_due);
        let Some(streaming) = request.attempt(attempt) else { return };
        let conn = streaming.conn();
        let latency = now.saturating_sub(streaming.sent_at());
        self.queue_event(Event::FirstToken { request: id, attempt, latency });
        self.begin_stream(id, out);
        if let Some(conn) = conn {
            self.arm_engine_timer(conn);
        }
    }

    /// Handles the last chunk of a stream.
    fn stream_ended(&mut self, id: RequestId, attempt: usize, report: LoadReport, out: &mut Vec<Output>) {
        if self.requests.get(id).is_some_and(|request| request.streaming_attempt() == Some(attempt)) {
            self.complete_stream(id, out);
            self.attempt_ended(id, attempt, AttemptEnd::completed().with_report(report));
        } else {
            // A stream without any event is not an answer.
            let end = AttemptEnd::may_have_run(Outcome::Error).with_report(report);
            self.attempt_failed(id, attempt, end, out);
        }
    }

    /// Pauses or resumes reading from the engine, depending on how many bytes wait for the client.
    pub(crate) fn apply_backpressure(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(conn) = request.streaming_connection() else { return };
        let client = request.client_conn();
        let Some(unsent) = self.clients.get(client).map(|client| client.unsent) else { return };
        let now = self.now;
        let max_unsent = if self.memory_is_scarce { 0 } else { MAX_UNSENT_BYTES };
        let Some(connection) = self.engines.get_mut(conn) else { return };
        // Hysteresis, so that a client that reads steadily does not toggle the connection with each write.
        let limit = if connection.is_paused() { max_unsent / 2 } else { max_unsent };
        let should_pause = unsent > limit;
        if should_pause != connection.is_paused() {
            connection.set_paused(should_pause, now);
            out.push(if should_pause { Output::Pause(conn) } else { Output::Resume(conn) });
            self.arm_engine_timer(conn);
            self.arm_client_timer(client);
        }
    }
}

/// Prompt tokens that the prefill engine had cached; 0 if the body holds no valid number.
fn cached_tokens(body: &[u8]) -> f64 {
    let value = serde_json::from_slice::<serde_json::Value>(body).ok();
    let tokens = value.as_ref().and_then(|value| value.get("cached_tokens")?.as_f64());
    tokens.filter(|tokens| (0.0..=MAX_TOKENS).contains(tokens)).unwrap_or(0.0)
}

/// How an exchange ends whose connection is lost. A request that was not written completely never ran.
fn end_after_loss(loss: ConnectionLoss, connection: &EngineConnection) -> AttemptEnd {
    match (loss, connection.proof_of_never_written()) {
        (ConnectionLoss::NotConnected, Some(_)) => AttemptEnd::never_ran(NeverRan::NotConnected),
        (ConnectionLoss::Exhausted, Some(_)) => AttemptEnd::never_ran(NeverRan::NotTried),
        // The connection was established, so the engine is reachable. If it were reported as a failure to
        // connect, each such reset would eject the engine for a second.
        (ConnectionLoss::Reset, Some(proof)) => AttemptEnd::never_ran(proof),
        (_, None) => AttemptEnd::may_have_run(Outcome::Reset),
    }
}
