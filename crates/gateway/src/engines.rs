//! Turns what engines send into events for the decision module and pieces of the client's answer.

use crate::dispatch::load_report;
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
    load: Option<Load>,
}

impl Gateway {
    pub(crate) fn engine_connected(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(connection) = self.engines.get_mut(conn).filter(|l| l.state == State::Connecting) else {
            return;
        };
        if let ConnectionPurpose::Attempt { request, .. } = connection.purpose {
            // Where the decision module may not cancel, an attempt for a client that has left is not begun any more.
            if self.requests.get(RequestId(request)).is_none_or(|request| request.is_closed) {
                return self.abort_connection(conn, out, Outcome::NotSent);
            }
        }
        (connection.state, connection.since) = (State::Busy, now);
        out.push(Output::Write(conn, std::mem::take(&mut connection.pending)));
        self.arm_engine_timer(conn);
    }

    pub(crate) fn engine_data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let now = self.now;
        let Some(connection) = self.engines.get_mut(conn) else { return };
        if connection.state != State::Busy {
            // Bytes that nobody asked for: what follows could be taken for the next answer.
            return self.abort_connection(conn, out, Outcome::Error);
        }
        connection.since = now;
        let mut events = Vec::new();
        connection.feed(bytes, &mut events);
        self.handle_engine_events(conn, events, out);
    }

    pub(crate) fn engine_eof(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(connection) = self.engines.get_mut(conn) else { return };
        let mut events = Vec::new();
        if connection.state == State::Busy && connection.eof(&mut events) {
            self.handle_engine_events(conn, events, out);
        }
        self.abort_connection(conn, out, Outcome::Reset);
    }

    pub(crate) fn engine_connection_lost(
        &mut self, conn: ConnId, why: ConnectionLoss, out: &mut Vec<Output>,
    ) {
        if let Some(connection) = self.engines.remove(conn, &mut self.timers) {
            self.exchange_ended(&connection, loss_outcome(why), out);
        }
    }

    /// Its time is up: by its state, a connection that did not stand, an exchange without an answer, a stream that
    /// fell silent, or an idle connection.
    pub(crate) fn engine_timed_out(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(connection) = self.engines.get(conn) else { return };
        match connection.state {
            State::Connecting => self.abort_connection(conn, out, Outcome::ConnectFailed),
            State::Busy => self.abort_connection(conn, out, Outcome::TimedOut),
            State::Idle if self.engines.keeps_last_idle(connection.engine) => {
                if let Some(connection) = self.engines.get_mut(conn) {
                    connection.since = self.now;
                }
                self.arm_engine_timer(conn);
            }
            State::Idle => {
                self.engines.remove(conn, &mut self.timers);
                out.push(Output::CloseWhenSent(conn));
            }
        }
    }

    pub(crate) fn attempt_timed_out(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id).filter(|c| c.streaming_attempt.is_none()) else { return };
        let conn = request.attempts.get(attempt).filter(|a| a.in_flight).and_then(|a| a.conn);
        if let Some(conn) = conn {
            self.abort_connection(conn, out, Outcome::TimedOut);
        }
    }

    /// Handles what one connection received, in order.
    fn handle_engine_events(&mut self, conn: ConnId, events: Vec<EngineEvent>, out: &mut Vec<Output>) {
        let mut piece = Vec::new();
        for event in events {
            let Some(connection) = self.engines.get(conn) else { break };
            if connection.state != State::Busy {
                // More than was asked for.
                self.abort_connection(conn, out, Outcome::Error);
                break;
            }
            self.handle_engine_event(conn, event, &mut piece, out);
        }
        let purpose = self.engines.get(conn).map(|connection| connection.purpose);
        if let Some(ConnectionPurpose::Attempt { request, .. }) = purpose {
            self.write_stream(RequestId(request), &mut piece, out);
            self.check_pace(RequestId(request), out);
        }
    }

    /// Handles one event of a busy connection. `piece` collects what is written to the client.
    fn handle_engine_event(
        &mut self, conn: ConnId, event: EngineEvent, piece: &mut Vec<u8>, out: &mut Vec<Output>,
    ) {
        let Some(connection) = self.engines.get_mut(conn) else { return };
        let (engine, purpose, load) = (connection.engine, connection.purpose, connection.load);
        match (event, purpose) {
            (EngineEvent::LoadReport(load), ConnectionPurpose::Attempt { is_prefill: false, .. }) => {
                // The head of a stream comes long before its end: its load report is handed on now.
                let report = self.report(&load);
                if report != LoadReport::default() {
                    self.probe_ended(engine, Outcome::Completed, report);
                }
            }
            (EngineEvent::LoadReport(load), _) => connection.load = Some(load),
            (EngineEvent::Failed(why), _) => {
                if let ConnectionPurpose::Attempt { request, .. } = purpose {
                    self.write_stream(RequestId(request), piece, out);
                }
                out.push(Output::Log(format!("engine {}: {why}", self.engine_name(engine))));
                self.abort_connection(conn, out, Outcome::Error);
            }
            (event, ConnectionPurpose::Attempt { request, attempt, is_prefill }) => {
                let exchange =
                    AttemptExchange { conn, request: RequestId(request), attempt, is_prefill, load };
                self.handle_attempt_event(&exchange, event, piece, out);
            }
            (EngineEvent::Metrics(load), ConnectionPurpose::Probe) => {
                self.finish_exchange(conn, out);
                self.probe_ended(engine, Outcome::Completed, load_report(&load));
                self.note_start(engine, load.started);
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
        let AttemptExchange { conn, request: id, attempt, is_prefill, load } = *exchange;
        match event {
            EngineEvent::Prefilled { transfer, usage } => {
                self.finish_exchange(conn, out);
                if let Some(request) = self.requests.get_mut(id) {
                    request.prefill_completed(attempt, transfer, usage);
                    let tokens = usage.prompt_tokens.saturating_sub(usage.cached_tokens());
                    self.metrics.read(request.class_name(), tokens);
                }
                self.ended(id, attempt, Outcome::Prefilled, usage.cached_tokens() as f64, load);
            }
            EngineEvent::Chunk(chunk) => {
                if !self.chunk(id, attempt, &chunk, piece, out) {
                    self.abort_connection(conn, out, Outcome::Cancelled);
                }
            }
            EngineEvent::Done if !is_prefill => {
                self.write_stream(id, piece, out);
                self.finish_exchange(conn, out);
                self.stream_done(id, attempt, out);
            }
            EngineEvent::Rejected { state_missing } => {
                self.end_rejected_exchange(conn, out);
                self.ended(id, attempt, Outcome::Rejected { state_missing }, 0.0, load);
            }
            EngineEvent::InvalidRequest(status, message) => {
                self.end_rejected_exchange(conn, out);
                self.request_is_invalid(id, attempt, status, message, out);
            }
            EngineEvent::Done
            | EngineEvent::Metrics(_)
            | EngineEvent::LoadReport(_)
            | EngineEvent::Failed(_) => self.abort_connection(conn, out, Outcome::Error),
        }
    }

    /// An attempt was rejected. On a kept connection that may be an answer left over from the exchange before, with this
    /// attempt still at work: it is given up by closing the connection.
    fn end_rejected_exchange(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if self.engines.get(conn).is_some_and(|connection| !connection.is_reused) {
            return self.finish_exchange(conn, out);
        }
        self.engines.remove(conn, &mut self.timers);
        out.push(Output::Abort(conn));
    }

    /// An exchange has ended in order: its connection is kept for the next, or closed.
    fn finish_exchange(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let most = self.settings.bounds.idle_per_engine;
        let Some(connection) = self.engines.get_mut(conn) else { return };
        let engine = connection.engine;
        (connection.state, connection.since) = (State::Idle, now);
        connection.opened_for_release = false;
        if std::mem::take(&mut connection.paused) {
            out.push(Output::Resume(conn));
        }
        let reusable = connection.reusable;
        if reusable && self.engines.keep_idle(engine, conn, most, now) {
            self.arm_engine_timer(conn);
            let waiting = self.releases.oldest_waiting_for(engine);
            if let Some((id, release)) = waiting.and_then(|id| Some((id, self.releases.get(id)?.clone()))) {
                self.send_release(id, &release, out);
            }
        } else {
            self.engines.remove(conn, &mut self.timers);
            out.push(Output::CloseWhenSent(conn));
        }
    }

    fn note_start(&mut self, engine: slipreel::EngineId, started: Option<f64>) {
        let Some(wall) = started.and_then(|s| Duration::try_from_secs_f64(s).ok()) else { return };
        let started = wall.saturating_sub(self.epoch_ahead);
        let cold = self.settings.decisions.warmup_time;
        if let Some(event) = self.engine_list.note_start(self.now, engine, started, cold) {
            self.queue_event_for_all(event);
        }
    }

    /// A piece of an answer. False if nobody wants it any more.
    fn chunk(
        &mut self, id: RequestId, attempt: usize, chunk: &Chunk, piece: &mut Vec<u8>, out: &mut Vec<Output>,
    ) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get_open_mut(id) else { return false };
        if request.streaming_attempt.is_none() && MessageWriter::begins(chunk) {
            let taken = request.answer_began(attempt);
            let name = self.settings.classes.get(request.class).map_or("", |c| &c.name);
            // Of a complete answer that begins anew the first beginning counts.
            if !request.is_restarted() {
                self.metrics.first_token(name, now, request);
            }
            self.engines.state_released(taken);
            let latency = now.saturating_sub(request.attempts[attempt].sent);
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
            request.writer.chunk(chunk, piece);
        }
        true
    }

    /// The end of a stream: whole if the engine said why it ended.
    fn stream_done(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let whole = self
            .requests
            .get(id)
            .is_some_and(|c| c.streaming_attempt == Some(attempt) && c.writer.is_whole());
        if whole {
            self.complete_request(id, out);
            self.ended(id, attempt, Outcome::Completed, 0.0, None);
        } else {
            self.attempt_broke(id, attempt, Outcome::Error, out);
        }
    }

    /// An attempt ended otherwise than in order. If its answer had begun the request ends with it: whole, if the
    /// engine had said so and only its end mark is missing, else failed.
    pub(crate) fn attempt_broke(
        &mut self, id: RequestId, attempt: usize, outcome: Outcome, out: &mut Vec<Output>,
    ) {
        let streaming_attempt =
            self.requests.get(id).filter(|c| c.streaming_attempt == Some(attempt) && !c.is_closed);
        let Some(request) = streaming_attempt else { return self.ended(id, attempt, outcome, 0.0, None) };
        if request.writer.is_whole() {
            self.complete_request(id, out);
            return self.ended(id, attempt, Outcome::Completed, 0.0, None);
        }
        if !request.stream {
            // Nothing of it has gone out: the decision module settles whether another attempt follows.
            if let Some(request) = self.requests.get_mut(id) {
                request.restart_answer();
            }
            return self.ended(id, attempt, outcome, 0.0, None);
        }
        let error = match outcome {
            Outcome::TimedOut => ApiError::new(ErrorKind::Timeout, "the answer stopped coming"),
            _ => ApiError::new(ErrorKind::Api, "the answer broke off"),
        };
        self.answer_with_error(id, &error, None, RequestEnd::Failed, out);
        self.ended(id, attempt, outcome, 0.0, None);
    }

    fn request_is_invalid(
        &mut self, id: RequestId, attempt: usize, status: u16, message: String, out: &mut Vec<Output>,
    ) {
        let error = ApiError::new(ErrorKind::of_status(status), message);
        self.answer_with_error(id, &error, None, RequestEnd::Failed, out);
        self.ended(id, attempt, Outcome::Error, 0.0, None);
    }

    /// Pauses or resumes the engine's connection by what waits for the client.
    pub(crate) fn check_pace(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(conn) = request.streaming_attempt.and_then(|a| request.attempts[a].conn) else { return };
        let Some(unsent) = self.clients.get(request.client).map(|c| c.unsent) else { return };
        let (now, bounds) = (self.now, &self.settings.bounds);
        let Some(connection) = self.engines.get_mut(conn) else { return };
        let pauses = limits::pauses(bounds, unsent, connection.paused);
        if pauses != connection.paused {
            (connection.paused, connection.since) = (pauses, now);
            out.push(if pauses { Output::Pause(conn) } else { Output::Resume(conn) });
            self.arm_engine_timer(conn);
        }
    }
}
