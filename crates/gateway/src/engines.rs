//! Turns what engines send into events for the decision module and parts of the client's answer.

use crate::dispatch::to_load_report;
use crate::engine_connection::{ConnectionPurpose, EngineEvent, State};
use crate::gateway::{loss_outcome, Gateway};
use crate::limits;
use crate::message_writer::MessageWriter;
use crate::request::RequestEnd;
use crate::timer::Timer;
use slipreel::{Event, LoadReport, Outcome, RequestId};
use slipreel_protocol::engine::{Chunk, Load};
use slipreel_protocol::messages::{ApiError, ErrorKind};
use slipreel_state_machine::{ConnId, ConnectionLoss, Output};
use std::time::Duration;

/// An attempt on the connection that carries it.
#[derive(Clone, Copy, Debug)]
struct AttemptExchange {
    conn: ConnId,
    request: RequestId,
    attempt: usize,
    is_prefill: bool,
    /// The load report in the head of the answer.
    load_report: Option<Load>,
}

impl Gateway {
    /// Sends the request of a connection that is now established.
    pub(crate) fn engine_connected(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(connection) =
            self.engine_connections.get_mut(conn).filter(|connection| connection.state == State::Connecting)
        else {
            return;
        };
        if let ConnectionPurpose::Attempt { request, .. } = connection.purpose {
            // Without cancellation by the decision module, an attempt whose client has disconnected is not
            // sent.
            if self.requests.get(RequestId(request)).is_none_or(|request| request.is_closed) {
                return self.abort_connection(conn, out, Outcome::NotSent);
            }
        }
        (connection.state, connection.state_since) = (State::Busy, now);
        out.push(Output::Write(conn, std::mem::take(&mut connection.unsent_request)));
        self.arm_engine_timer(conn);
    }

    /// Handles bytes from an engine.
    pub(crate) fn engine_data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(connection) = self.engine_connections.get_mut(conn) else { return };
        if connection.state != State::Busy {
            // Bytes without a request: what follows could be taken for the next answer.
            return self.abort_connection(conn, out, Outcome::Error);
        }
        let mut events = Vec::new();
        connection.feed(bytes, &mut events);
        self.handle_engine_events(conn, events, out);
    }

    /// Handles the end of what an engine sends.
    pub(crate) fn engine_eof(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(connection) = self.engine_connections.get_mut(conn) else { return };
        let mut events = Vec::new();
        if connection.state == State::Busy && connection.eof(&mut events) {
            self.handle_engine_events(conn, events, out);
        }
        self.abort_connection(conn, out, Outcome::Reset);
    }

    /// Ends the exchange of a connection that was lost.
    pub(crate) fn engine_connection_lost(
        &mut self, conn: ConnId, loss: ConnectionLoss, out: &mut Vec<Output>,
    ) {
        if let Some(connection) = self.engine_connections.remove(conn, &mut self.timers) {
            self.exchange_interrupted(&connection, loss_outcome(loss), out);
        }
    }

    /// Handles a timeout of a connection. By its state: it was not established in time, its exchange got no
    /// answer in time, its stream stalled, or it was idle for too long.
    pub(crate) fn engine_timed_out(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(connection) = self.engine_connections.get(conn) else { return };
        match connection.state {
            State::Connecting => self.abort_connection(conn, out, Outcome::ConnectFailed),
            State::Busy => self.abort_connection(conn, out, Outcome::TimedOut),
            State::Idle if self.engine_connections.keeps_last_idle(connection.engine) => {
                if let Some(connection) = self.engine_connections.get_mut(conn) {
                    connection.state_since = self.now;
                }
                self.arm_engine_timer(conn);
            }
            State::Idle => {
                self.engine_connections.remove(conn, &mut self.timers);
                out.push(Output::CloseWhenSent(conn));
            }
        }
    }

    /// Aborts an attempt whose timeout has passed, if no answer of its request has begun.
    pub(crate) fn attempt_timed_out(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id).filter(|request| request.streaming_attempt.is_none())
        else {
            return;
        };
        let conn = request
            .attempts
            .get(attempt)
            .filter(|attempt| attempt.in_flight)
            .and_then(|attempt| attempt.conn);
        if let Some(conn) = conn {
            self.abort_connection(conn, out, Outcome::TimedOut);
        }
    }

    /// Handles the events of one connection, in order.
    fn handle_engine_events(&mut self, conn: ConnId, events: Vec<EngineEvent>, out: &mut Vec<Output>) {
        let mut piece = Vec::new();
        for event in events {
            let Some(connection) = self.engine_connections.get(conn) else { break };
            if connection.state != State::Busy {
                // The exchange has ended, so these bytes answer no request.
                self.abort_connection(conn, out, Outcome::Error);
                break;
            }
            self.handle_engine_event(conn, event, &mut piece, out);
        }
        let purpose = self.engine_connections.get(conn).map(|connection| connection.purpose);
        if let Some(ConnectionPurpose::Attempt { request, .. }) = purpose {
            self.write_stream(RequestId(request), &mut piece, out);
            self.apply_backpressure(RequestId(request), out);
        }
    }

    /// Handles one event of a busy connection. `piece` collects the part of the answer to write to the
    /// client.
    fn handle_engine_event(
        &mut self, conn: ConnId, event: EngineEvent, piece: &mut Vec<u8>, out: &mut Vec<Output>,
    ) {
        let Some(connection) = self.engine_connections.get_mut(conn) else { return };
        let (engine, purpose, load_report) = (connection.engine, connection.purpose, connection.load_report);
        match (event, purpose) {
            (EngineEvent::LoadReport(load), ConnectionPurpose::Attempt { is_prefill: false, .. }) => {
                // The head of a stream comes long before its end, so its load report is passed on now.
                let report = self.answer_load_report(&load);
                if report != LoadReport::default() {
                    self.probe_ended(engine, Outcome::Completed, report);
                }
            }
            (EngineEvent::LoadReport(load), _) => connection.load_report = Some(load),
            (EngineEvent::Failed(why), _) => {
                if let ConnectionPurpose::Attempt { request, .. } = purpose {
                    self.write_stream(RequestId(request), piece, out);
                }
                out.push(Output::Log(format!("engine {}: {why}", self.engine_name(engine))));
                self.abort_connection(conn, out, Outcome::Error);
            }
            (event, ConnectionPurpose::Attempt { request, attempt, is_prefill }) => {
                let exchange =
                    AttemptExchange { conn, request: RequestId(request), attempt, is_prefill, load_report };
                self.handle_attempt_event(&exchange, event, piece, out);
            }
            (EngineEvent::Metrics(load), ConnectionPurpose::Probe) => {
                self.finish_exchange(conn, out);
                self.probe_ended(engine, Outcome::Completed, to_load_report(&load));
                self.record_engine_start(engine, load.started);
            }
            (_, ConnectionPurpose::Probe) => {
                self.finish_exchange(conn, out);
                self.probe_ended(engine, Outcome::Error, LoadReport::default());
            }
            (_, ConnectionPurpose::Release(id)) => {
                self.releases.record_acknowledged(id, self.now);
                self.finish_exchange(conn, out);
            }
        }
    }

    /// Handles an event of a connection that carries an attempt.
    fn handle_attempt_event(
        &mut self, exchange: &AttemptExchange, event: EngineEvent, piece: &mut Vec<u8>, out: &mut Vec<Output>,
    ) {
        let AttemptExchange { conn, request: id, attempt, is_prefill, load_report } = *exchange;
        match event {
            EngineEvent::Prefilled { transfer, usage } => {
                self.finish_exchange(conn, out);
                if let Some(request) = self.requests.get_mut(id) {
                    request.prefill_completed(attempt, transfer, usage);
                    let tokens = usage.prompt_tokens.saturating_sub(usage.cached_tokens());
                    self.metrics.prefill_completed(request.class_name(), tokens);
                }
                self.attempt_ended(
                    id,
                    attempt,
                    Outcome::Prefilled,
                    usage.cached_tokens() as f64,
                    load_report,
                );
            }
            EngineEvent::Chunk(chunk) => {
                if MessageWriter::has_output(&chunk) {
                    self.record_stream_progress(conn);
                }
                if !self.handle_chunk(id, attempt, &chunk, piece, out) {
                    self.abort_connection(conn, out, Outcome::Cancelled);
                }
            }
            EngineEvent::Completed if !is_prefill => {
                self.write_stream(id, piece, out);
                self.finish_exchange(conn, out);
                self.stream_ended(id, attempt, out);
            }
            EngineEvent::Rejected { state_missing } => {
                self.end_rejected_exchange(conn, out);
                self.attempt_ended(id, attempt, Outcome::Rejected { state_missing }, 0.0, load_report);
            }
            EngineEvent::InvalidRequest(status, message) => {
                self.end_rejected_exchange(conn, out);
                self.fail_invalid_request(id, attempt, status, message, out);
            }
            EngineEvent::Completed
            | EngineEvent::Metrics(_)
            | EngineEvent::LoadReport(_)
            | EngineEvent::Failed(_) => self.abort_connection(conn, out, Outcome::Error),
        }
    }

    /// Restarts the stall timeout of a stream.
    fn record_stream_progress(&mut self, conn: ConnId) {
        let now = self.now;
        if let Some(connection) = self.engine_connections.get_mut(conn) {
            connection.last_progress = now;
        }
    }

    /// Ends the exchange of an attempt that was rejected. On a reused connection the rejection may be a late
    /// answer to an earlier exchange while this attempt still runs, so the connection is closed to abort it.
    fn end_rejected_exchange(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if self.engine_connections.get(conn).is_some_and(|connection| !connection.is_reused) {
            return self.finish_exchange(conn, out);
        }
        self.engine_connections.remove(conn, &mut self.timers);
        out.push(Output::Abort(conn));
    }

    /// Ends a completed exchange: its connection is kept for the next one, or closed.
    fn finish_exchange(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let max_idle = self.settings.bounds.idle_per_engine;
        let Some(connection) = self.engine_connections.get_mut(conn) else { return };
        let engine = connection.engine;
        (connection.state, connection.state_since) = (State::Idle, now);
        connection.opened_for_release = false;
        if std::mem::take(&mut connection.paused) {
            out.push(Output::Resume(conn));
        }
        let reusable = connection.reusable;
        if reusable && self.engine_connections.keep_idle(engine, conn, max_idle, now) {
            self.arm_engine_timer(conn);
            let waiting = self.releases.oldest_waiting_for(engine);
            if let Some((id, release)) = waiting.and_then(|id| Some((id, self.releases.get(id)?.clone()))) {
                self.send_release(id, &release, out);
            }
        } else {
            self.engine_connections.remove(conn, &mut self.timers);
            out.push(Output::CloseWhenSent(conn));
        }
    }

    /// Records the start time that an engine reports, in seconds since the Unix epoch.
    fn record_engine_start(&mut self, engine: slipreel::EngineId, start_time: Option<f64>) {
        let Some(wall_time) = start_time.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()) else {
            return;
        };
        let started_at = wall_time.saturating_sub(self.wall_clock_offset);
        let warmup_time = self.settings.decisions.warmup_time;
        if let Some(event) = self.engine_list.record_engine_start(self.now, engine, started_at, warmup_time) {
            self.queue_event_for_all(event);
        }
    }

    /// Handles a chunk of an answer. Returns false if the request has ended, so that its answer is not needed
    /// any more.
    fn handle_chunk(
        &mut self, id: RequestId, attempt: usize, chunk: &Chunk, piece: &mut Vec<u8>, out: &mut Vec<Output>,
    ) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get_open_mut(id) else { return false };
        if request.streaming_attempt.is_none() && MessageWriter::has_output(chunk) {
            let released_engine = request.answer_began(attempt);
            let class_name = self.settings.classes.get(request.class).map_or("", |class| &class.name);
            // If an unstreamed answer is restarted, only its first beginning is counted.
            if !request.is_restarted() {
                self.metrics.first_token_received(class_name, now, request);
            }
            self.engine_connections.state_released(released_engine);
            let latency = now.saturating_sub(request.attempts[attempt].sent_at);
            let (generation, conn, stream, complete_by) =
                (request.generation, request.attempts[attempt].conn, request.stream, request.complete_by);
            self.queue_event(generation, Event::FirstToken { request: id, attempt, latency });
            if stream {
                self.begin_stream(id, out);
            } else if let Some(at) = complete_by {
                self.timers.set(at, Timer::CompleteAnswer(id));
            }
            if let Some(conn) = conn {
                self.arm_engine_timer(conn);
            }
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.message_writer.write_chunk(chunk, piece);
        }
        true
    }

    /// Handles the end of a stream. The answer is complete if the engine sent a finish reason.
    fn stream_ended(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let is_complete = self.requests.get(id).is_some_and(|request| {
            request.streaming_attempt == Some(attempt) && request.message_writer.is_complete()
        });
        if is_complete {
            self.complete_request(id, out);
            self.attempt_ended(id, attempt, Outcome::Completed, 0.0, None);
        } else {
            self.attempt_interrupted(id, attempt, Outcome::Error, out);
        }
    }

    /// Ends an attempt that was interrupted. If its streamed answer had begun, the request ends with it:
    /// completed if the engine had sent the finish reason and only the end of the stream is missing, else
    /// failed.
    pub(crate) fn attempt_interrupted(
        &mut self, id: RequestId, attempt: usize, outcome: Outcome, out: &mut Vec<Output>,
    ) {
        let streaming_attempt = self
            .requests
            .get(id)
            .filter(|request| request.streaming_attempt == Some(attempt) && !request.is_closed);
        let Some(request) = streaming_attempt else {
            return self.attempt_ended(id, attempt, outcome, 0.0, None);
        };
        if request.message_writer.is_complete() {
            self.complete_request(id, out);
            return self.attempt_ended(id, attempt, Outcome::Completed, 0.0, None);
        }
        if !request.stream {
            // Nothing was sent to the client: the decision module decides whether another attempt follows.
            if let Some(request) = self.requests.get_mut(id) {
                request.restart_answer();
            }
            return self.attempt_ended(id, attempt, outcome, 0.0, None);
        }
        let error = match outcome {
            Outcome::TimedOut => ApiError::new(ErrorKind::Timeout, "the answer stopped coming"),
            _ => ApiError::new(ErrorKind::Api, "the answer broke off"),
        };
        self.answer_with_error(id, &error, None, RequestEnd::Failed, out);
        self.attempt_ended(id, attempt, outcome, 0.0, None);
    }

    /// Passes an engine's error on an invalid request to the client.
    fn fail_invalid_request(
        &mut self, id: RequestId, attempt: usize, status: u16, message: String, out: &mut Vec<Output>,
    ) {
        let error = ApiError::new(ErrorKind::of_status(status), message);
        self.answer_with_error(id, &error, None, RequestEnd::Failed, out);
        self.attempt_ended(id, attempt, Outcome::Error, 0.0, None);
    }

    /// Pauses or resumes reading from the engine, by the number of bytes that wait for the client.
    pub(crate) fn apply_backpressure(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(conn) = request.streaming_attempt.and_then(|attempt| request.attempts[attempt].conn) else {
            return;
        };
        let Some(unsent) = self.clients.get(request.client).map(|client| client.unsent) else { return };
        let (now, bounds) = (self.now, &self.settings.bounds);
        let Some(connection) = self.engine_connections.get_mut(conn) else { return };
        let should_pause = limits::should_pause(bounds, unsent, connection.paused);
        if should_pause != connection.paused {
            (connection.paused, connection.last_progress) = (should_pause, now);
            out.push(if should_pause { Output::Pause(conn) } else { Output::Resume(conn) });
            self.arm_engine_timer(conn);
        }
    }
}
