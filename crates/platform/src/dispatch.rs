//! Dispatches the actions of the decision module: attempts, health checks, final answers.

use crate::engine_connection::{ConnectionPurpose, EngineConnection, Exchange, State};
use crate::log_event::LogEvent;
use crate::proof::{AttemptEnd, NeverRan};
use crate::request::Attempt;
use crate::router::PlatformRouter;
use crate::timer::Timer;
use slipreel::{Action, AttemptEnded, EngineId, Event, LoadReport, Outcome, ReportSource, RequestId, Role};
use slipreel_connections::Slot;
use slipreel_protocol::http::{self, Framing};
use slipreel_state_machine::{ConnId, Output};
use std::time::Duration;

/// Connections for releases that may be opened beyond the limit of connections to engines.
const EXTRA_RELEASE_CONNECTIONS: usize = 4;

impl PlatformRouter {
    /// Dispatches one action.
    pub(crate) fn dispatch(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { request, engine, timeout } => self.send(request, engine, timeout, out),
            Action::Cancel { request, attempt } => self.cancel(request, attempt, out),
            Action::Reject { request, retry_after, over_quota } => {
                self.reject_request(request, retry_after, over_quota, out);
            }
            Action::Fail(request) => self.fail_request(request, out),
            Action::Release(request) => self.release(request, out),
            Action::SetTimer { timer, after } => {
                self.timers.set(self.now + after, Timer::Decision(timer));
            }
            Action::Probe(engine) => self.probe(engine, out),
            Action::CloseIdleConnections(engine) => self.close_idle(engine, out),
            Action::MigrateStream(request) => self.migrate_stream(request, out),
            Action::Log(event) => self.log_limited(|| LogEvent::Decision(event), out),
            // The platform has no reservations and no messages between routers, and its watch of the engines
            // always runs.
            Action::Reserve { request, engine } => {
                self.queue_event(Event::ReservationAnswered { request, engine, granted: false });
            }
            Action::WatchEngines(_) | Action::FetchEngines | Action::SendToPeer { .. } => {}
        }
    }

    // ---- Attempts -----------------------------------------------------------------------------

    /// Sends an attempt to an engine.
    fn send(&mut self, id: RequestId, engine: EngineId, timeout: Option<Duration>, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(endpoint) = self.endpoints.get(engine) else {
            // The engine has just left the list.
            let attempt = request.begin_attempt(now, engine, false);
            return self.attempt_ended(id, attempt, AttemptEnd::never_ran(NeverRan::NotTried));
        };
        let (addr, is_prefill) = (endpoint.addr, endpoint.role == Role::Prefill);
        let attempt = request.begin_attempt(now, engine, is_prefill);
        let holds_last_byte = request.params().at_most_once && !is_prefill;
        let prefill_engine = request.prefill_engine().filter(|_| !is_prefill);
        let prompt_tokens = request.params().prompt_tokens;
        self.count_attempt(engine, prefill_engine, prompt_tokens);
        self.requests.record_forwarded(now, id);
        let purpose = ConnectionPurpose::Attempt { request: id, attempt };
        let exchange = Exchange { engine, addr, purpose, request: Vec::new(), holds_last_byte };
        let Some(conn) = self.open_for_attempt(exchange, out) else {
            return self.attempt_ended(id, attempt, AttemptEnd::never_ran(NeverRan::NotTried));
        };
        if let Some(request) = self.requests.get_mut(id) {
            request.set_connection(attempt, conn);
        }
        if let Some(timeout) = timeout {
            self.timers.set(now + timeout, Timer::Attempt(id, attempt));
        }
    }

    /// Counts an attempt. `prefill_engine` is the engine whose state it fetches, if it is a decode.
    fn count_attempt(&mut self, engine: EngineId, prefill_engine: Option<EngineId>, prompt_tokens: u64) {
        self.counters.attempts += 1;
        let Some(endpoint) = self.endpoints.get(engine) else { return };
        self.counters.cross_zone_attempts += u64::from(endpoint.zone != self.profile.settings.zone);
        let prefill_endpoint = prefill_engine.and_then(|engine| self.endpoints.get(engine));
        if prefill_endpoint.is_some_and(|prefill| prefill.cell != endpoint.cell) {
            self.counters.transferred_tokens += prompt_tokens;
        }
    }

    /// Opens a connection for an attempt. `None` if no slot is free.
    ///
    /// An attempt always gets a new connection. Answers do not name their request: on a reused connection, a
    /// late second answer to the previous exchange cannot be distinguished from the answer to the current
    /// one. Mistaken for it, it would falsely prove that a running attempt never ran, or leave a duplicate of
    /// the attempt in flight at its engine.
    fn open_for_attempt(&mut self, exchange: Exchange, out: &mut Vec<Output>) -> Option<ConnId> {
        if !self.free_connection_slot(exchange.purpose, out) {
            return None;
        }
        self.engines.reserve_new(exchange.engine);
        Some(self.open(exchange, out))
    }

    /// Starts a health check or a release on an idle connection or a new one. False if no slot is free.
    pub(crate) fn exchange(&mut self, exchange: Exchange, out: &mut Vec<Output>) -> bool {
        let now = self.now;
        match self.engines.reserve(exchange.engine, exchange.purpose, now) {
            Slot::Idle(conn) => {
                if let Some(connection) = self.engines.get_mut(conn) {
                    out.push(Output::Write(conn, connection.reuse(exchange, now)));
                }
                self.arm_engine_timer(conn);
                true
            }
            Slot::Open if self.free_connection_slot(exchange.purpose, out) => {
                self.open(exchange, out);
                true
            }
            Slot::Open | Slot::Full => {
                self.engines.cancel_reservation(exchange.engine);
                false
            }
        }
    }

    /// Opens a connection for an exchange.
    fn open(&mut self, exchange: Exchange, out: &mut Vec<Output>) -> ConnId {
        let conn = self.engines.next_id();
        let addr = exchange.addr;
        self.counters.engine_connections_opened += 1;
        self.engines.insert(EngineConnection::new(conn, exchange, self.now));
        out.push(Output::Connect(conn, addr));
        self.arm_engine_timer(conn);
        conn
    }

    /// Whether one more connection to an engine may be opened. At the limit, the connection that has been
    /// idle longest is closed. Releases may exceed the limit by [`EXTRA_RELEASE_CONNECTIONS`]: they must not
    /// wait until an attempt ends.
    fn free_connection_slot(&mut self, purpose: ConnectionPurpose, out: &mut Vec<Output>) -> bool {
        let extra =
            if matches!(purpose, ConnectionPurpose::Release(_)) { EXTRA_RELEASE_CONNECTIONS } else { 0 };
        self.engines.len() < self.resource_limits.engine_connections + extra || self.close_oldest_idle(out)
    }

    /// Closes the engine connection that has been idle longest. False if none is idle.
    pub(crate) fn close_oldest_idle(&mut self, out: &mut Vec<Output>) -> bool {
        let Some(oldest) = self.engines.oldest_idle() else { return false };
        self.engines.remove(oldest, &mut self.timers);
        out.push(Output::Abort(oldest));
        true
    }

    /// Cancels an attempt in flight.
    fn cancel(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id) else { return };
        // The stream is being forwarded to the client; the decision module does not cancel it either.
        if request.streaming_attempt() == Some(attempt) {
            return;
        }
        if let Some(conn) = request.connection_in_flight(attempt) {
            self.cancel_connection(conn, Outcome::Cancelled, out);
        }
    }

    /// Closes a connection at once. Its exchange ends with `outcome`, or as never run if there is proof of
    /// that.
    pub(crate) fn cancel_connection(&mut self, conn: ConnId, outcome: Outcome, out: &mut Vec<Output>) {
        if let Some(end) = self.engines.get(conn).map(|connection| connection.end_if_aborted(outcome)) {
            self.abort_connection(conn, end, out);
        }
    }

    /// Closes a connection at once. Its exchange ends with `end`.
    pub(crate) fn abort_connection(&mut self, conn: ConnId, end: AttemptEnd, out: &mut Vec<Output>) {
        let Some(connection) = self.engines.remove(conn, &mut self.timers) else { return };
        out.push(Output::Abort(conn));
        self.exchange_ended(&connection, end, out);
    }

    /// Handles the end of the exchange on a connection that was closed or lost.
    pub(crate) fn exchange_ended(
        &mut self, connection: &EngineConnection, end: AttemptEnd, out: &mut Vec<Output>,
    ) {
        match (connection.state(), connection.purpose()) {
            // A release is retried by its own timer.
            (State::Idle, _) | (_, ConnectionPurpose::Release(_)) => {}
            (_, ConnectionPurpose::Probe) => {
                self.probe_ended(connection.engine(), end.outcome(), LoadReport::default());
            }
            (_, ConnectionPurpose::Attempt { request, attempt }) => {
                if let Some(proof) = end.proof() {
                    self.log_never_ran(request, attempt, proof, connection.since(), out);
                }
                self.attempt_failed(request, attempt, end, out);
            }
        }
    }

    /// Logs why a decode that must not be repeated counts as never run, and so may be retried. If such a
    /// request takes effect twice, these lines explain why.
    pub(crate) fn log_never_ran(
        &mut self, id: RequestId, attempt: usize, proof: NeverRan, since: Duration, out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(id).filter(|request| request.params().at_most_once) else {
            return;
        };
        if request.attempt(attempt).is_none_or(Attempt::is_prefill) || !self.never_ran_log.take() {
            return;
        }
        let event = LogEvent::NeverRan {
            client_id: request.client_id().to_owned(),
            attempt,
            proof,
            time_in_state: self.now.saturating_sub(since),
            trace: request.trace(self.now),
        };
        out.push(Output::Log(event.to_string()));
    }

    /// Closes the idle connections to an engine.
    pub(crate) fn close_idle(&mut self, engine: EngineId, out: &mut Vec<Output>) {
        for conn in self.engines.idle_to(engine) {
            self.engines.remove(conn, &mut self.timers);
            out.push(Output::CloseWhenSent(conn));
        }
    }

    /// Reports the end of an attempt to the decision module, at most once.
    pub(crate) fn attempt_ended(&mut self, id: RequestId, attempt: usize, end: AttemptEnd) {
        let (now, outcome, cached_tokens) = (self.now, end.outcome(), end.cached_tokens());
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(ended) = request.attempt(attempt).filter(|attempt| attempt.in_flight()) else { return };
        let latency = now.saturating_sub(ended.sent_at());
        request.attempt_ended(now, attempt, &end);
        match outcome {
            Outcome::Prefilled => {
                // If a release of an earlier prefill were retried now, it could free the state that this one
                // has left for a decode. It is sent again after that decode.
                if let Some(holder) = request.release().and_then(|release| self.releases.withdraw(release)) {
                    request.release_withdrawn(holder);
                }
                self.counters.prefilled_tokens += request.params().prompt_tokens;
                self.counters.cached_tokens += cached_tokens as u64;
            }
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                self.counters.wasted_attempts += 1;
            }
            _ => {}
        }
        let request_finished = request.is_closed();
        self.requests.mark_maybe_done(id);
        let report = self.report_from_answer(end.report());
        self.counters.load_reports += u64::from(report != LoadReport::default());
        self.queue_event(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            outcome,
            latency,
            request_finished,
            cached_tokens,
            report,
        }));
    }

    /// The load report of an answer; empty if the settings do not take reports from answers.
    fn report_from_answer(&self, report: LoadReport) -> LoadReport {
        match self.profile.settings.report_source {
            ReportSource::Answers => report,
            ReportSource::Probes | ReportSource::None => LoadReport::default(),
        }
    }

    // ---- Probes -------------------------------------------------------------------------------

    /// Sends a health check to an engine.
    fn probe(&mut self, engine: EngineId, out: &mut Vec<Output>) {
        let Some(addr) = self.endpoints.get(engine).map(|endpoint| endpoint.addr) else {
            return self.probe_ended(engine, Outcome::NotSent, LoadReport::default());
        };
        let requests_report =
            self.profile.settings.report_source != ReportSource::None && !self.report_layout.is_empty();
        let path = if requests_report { "/-/load" } else { "/-/healthy" };
        let request = http::request_head("GET", path, &[("host", &addr.to_string())], Framing::Length(0));
        self.counters.probes += 1;
        let purpose = ConnectionPurpose::Probe;
        let exchange = Exchange { engine, addr, purpose, request, holds_last_byte: false };
        if !self.exchange(exchange, out) {
            self.probe_ended(engine, Outcome::NotSent, LoadReport::default());
        }
    }

    /// Reports the end of a health check to the decision module.
    pub(crate) fn probe_ended(&mut self, engine: EngineId, outcome: Outcome, report: LoadReport) {
        self.counters.load_reports += u64::from(report != LoadReport::default());
        self.queue_event(Event::ProbeEnded { engine, outcome, report });
    }
}
