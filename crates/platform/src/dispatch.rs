//! Carries out what the module decides: attempts, probes, final answers.

use crate::engine_connection::{ConnectionPurpose, EngineConnection, State};
use crate::proof::{AttemptEnd, NeverRan};
use crate::router::{PlatformRouter, Timer};
use slipreel::{Action, AttemptEnded, EngineId, Event, LoadReport, Outcome, ReportSource, RequestId, Role};
use slipreel_connections::{Errand, Slot};
use slipreel_protocol::http::{self, Framing};
use slipreel_state_machine::{ConnId, Output};
use std::net::SocketAddr;
use std::time::Duration;

/// Connections for releases beyond the bound of those to engines.
const EXTRA_RELEASE_CONNECTIONS: usize = 4;
/// A connection is idle for at least so long after an answer before it is used again: an engine that closes it, or sends
/// a second answer, is seen to do so in this time.
const IDLE_BEFORE_REUSE: Duration = Duration::from_millis(8);
/// Log lines on non-idempotent attempts that never ran, between two status lines.
const MAX_NEVER_RAN_LINES: u32 = 200;

impl PlatformRouter {
    pub(crate) fn dispatch(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { request, engine, timeout: limit } => self.send(request, engine, limit, out),
            Action::Cancel { request, attempt } => self.cancel(request, attempt, out),
            Action::Reject { request, retry_after, over_quota: over_share } => {
                self.reject_request(request, retry_after, over_share, out);
            }
            Action::Fail(request) => self.fail_request(request, out),
            Action::Release(request) => self.release(request, out),
            Action::SetTimer { timer, after } => {
                self.timers.set(self.now + after, Timer::Module(timer));
            }
            Action::Probe(engine) => self.probe(engine, out),
            Action::CloseIdleConnections(engine) => self.close_idle(engine, out),
            Action::MigrateStream(request) => self.migrate_stream(request, out),
            Action::Log(line) => self.log_limited(|| line, out),
            // The platform has no places to hold ahead and no way to talk to other routers, and its watch is always open.
            Action::Reserve { request, engine } => {
                self.queue_event(Event::ReservationAnswered { request, engine, granted: false });
            }
            Action::WatchEngines(_) | Action::FetchEngines | Action::SendToPeer { .. } => {}
        }
    }

    // ---- Attempts -----------------------------------------------------------------------------

    fn send(&mut self, id: RequestId, engine: EngineId, limit: Option<Duration>, out: &mut Vec<Output>) {
        let now = self.now;
        let endpoint = self.endpoints.get(engine);
        let cell = endpoint.map(|m| m.cell);
        let crosses = endpoint.is_some_and(|m| m.zone != self.profile.settings.zone);
        let endpoint = endpoint.map(|m| (m.addr, m.role == Role::Prefill));
        let Some(request) = self.requests.get_mut(&id) else { return };
        let runs_once = request.terms.runs_once;
        let (addr, reads) = endpoint.unwrap_or((SocketAddr::from(([0, 0, 0, 0], 0)), false));
        if let Some(holder) = request.release.and_then(|release| self.releases.withdraw(release)) {
            request.release_withdrawn(holder);
        }
        let (attempt, bytes) = (request.begin_attempt(now, engine, reads), request.message(now, addr));
        if endpoint.is_none() {
            // It has left the list in this very moment.
            return self.ended(id, attempt, AttemptEnd::never_ran(NeverRan::NotTried));
        }
        self.recently_forwarded.add(now, &request.client_id);
        let from =
            request.reader().filter(|_| !reads).and_then(|reader| self.endpoints.get(reader)).map(|m| m.cell);
        self.counters.transferred_tokens +=
            if from.is_some() && from != cell { request.terms.prompt_tokens } else { 0 };
        self.counters.cross_zone_attempts += u64::from(crosses);
        self.counters.attempts += 1;
        let purpose = ConnectionPurpose::Attempt { request: id, attempt };
        let Some(conn) = self.open_for_attempt(engine, addr, purpose, bytes, runs_once && !reads, out) else {
            return self.ended(id, attempt, AttemptEnd::never_ran(NeverRan::NotTried));
        };
        if let Some(a) = self.requests.get_mut(&id).and_then(|c| c.attempts.get_mut(attempt)) {
            a.conn = Some(conn);
        }
        if let Some(limit) = limit {
            self.timers.set(now + limit, Timer::Attempt(id, attempt));
        }
    }

    /// Opens a connection for an attempt. `None` if there is no room for one.
    ///
    /// An attempt goes out on a connection that carried nothing before. Answers name no request: on a kept connection a
    /// second answer to the exchange before, however late, can't be told from the answer to the present one. Taken for that,
    /// it would prove that an attempt never ran which is at work, or leave a copy of it out at its engine.
    fn open_for_attempt(
        &mut self, engine: EngineId, addr: SocketAddr, purpose: ConnectionPurpose, bytes: Vec<u8>,
        holds_last_byte: bool, out: &mut Vec<Output>,
    ) -> Option<ConnId> {
        if !self.free_connection_slot(&purpose, out) {
            return None;
        }
        self.pool.opens(engine);
        let conn = self.next_connection_id();
        let connection = EngineConnection::new(conn, engine, addr, purpose, self.now, bytes);
        let connection = if holds_last_byte { connection.holding_last_byte() } else { connection };
        self.open(connection, out);
        Some(conn)
    }

    /// Puts a probe or a release on an idle connection or on a new one. False if there is no room for one.
    pub(crate) fn exchange(
        &mut self, engine: EngineId, addr: SocketAddr, purpose: ConnectionPurpose, bytes: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> bool {
        let now = self.now;
        // A release is sent again if it breaks, and goes out as soon as it can.
        let (errand, rested) = match purpose {
            ConnectionPurpose::Release(_) => (Errand::Release, now),
            _ if self.trust.may_use(engine) => (Errand::Probe, now.saturating_sub(IDLE_BEFORE_REUSE)),
            _ => (Errand::Probe, Duration::ZERO),
        };
        match self.pool.take(engine, usize::MAX - 1, errand, rested) {
            Slot::Idle(conn) => {
                if let Some(connection) = self.engine_connections.get_mut(&conn) {
                    out.push(Output::Write(conn, connection.begin(purpose, now, bytes)));
                }
                self.arm_engine_timer(conn);
                true
            }
            Slot::Open if self.free_connection_slot(&purpose, out) => {
                let conn = self.next_connection_id();
                self.open(EngineConnection::new(conn, engine, addr, purpose, now, bytes), out);
                true
            }
            Slot::Open | Slot::Full => {
                // The place taken in the pool is given back; the number is none of a connection.
                self.pool.gone(engine, ConnId::opened(0));
                false
            }
        }
    }

    fn open(&mut self, connection: EngineConnection, out: &mut Vec<Output>) {
        let (conn, addr) = (connection.conn, connection.addr);
        self.counters.engine_connections_opened += 1;
        self.engine_connections.insert(conn, connection);
        out.push(Output::Connect(conn, addr));
        self.arm_engine_timer(conn);
    }

    /// Whether one more connection to an engine may be opened: at the bound the one that stands idle longest makes room.
    /// Releases have a few beyond it: they must not wait until an attempt ends.
    fn free_connection_slot(&mut self, purpose: &ConnectionPurpose, out: &mut Vec<Output>) -> bool {
        let extra =
            if matches!(purpose, ConnectionPurpose::Release(_)) { EXTRA_RELEASE_CONNECTIONS } else { 0 };
        self.engine_connections.len() < self.resource_limits.engine_connections + extra
            || self.close_oldest_idle(out)
    }

    /// Closes the connection to an engine that stands idle longest. False if none does.
    pub(crate) fn close_oldest_idle(&mut self, out: &mut Vec<Output>) -> bool {
        let idle = self.engine_connections.values().filter(|l| l.state == State::Idle);
        let Some(oldest) = idle.min_by_key(|l| (l.since, l.conn)).map(|l| l.conn) else { return false };
        self.remove_engine_connection(oldest);
        out.push(Output::Abort(oldest));
        true
    }

    fn cancel(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else { return };
        // A stream that has begun is the client's; the module does not cancel it either.
        if request.streaming_attempt == Some(attempt) {
            return;
        }
        let Some(conn) = request.attempts.get(attempt).filter(|a| a.out).and_then(|a| a.conn) else { return };
        self.cancel_connection(conn, Outcome::Cancelled, out);
    }

    /// Closes a connection at once; what it carried ends as given up, or as never run if that is proven.
    pub(crate) fn cancel_connection(&mut self, conn: ConnId, outcome: Outcome, out: &mut Vec<Output>) {
        if let Some(end) = self.engine_connections.get(&conn).map(|connection| connection.given_up(outcome)) {
            self.abort_connection(conn, end, out);
        }
    }

    /// Closes a connection at once; what it carried ends so.
    pub(crate) fn abort_connection(&mut self, conn: ConnId, end: AttemptEnd, out: &mut Vec<Output>) {
        let Some(connection) = self.remove_engine_connection(conn) else { return };
        out.push(Output::Abort(conn));
        self.exchange_ended(&connection, end, out);
    }

    /// What a connection carried is over.
    pub(crate) fn exchange_ended(
        &mut self, connection: &EngineConnection, end: AttemptEnd, out: &mut Vec<Output>,
    ) {
        match (connection.state, connection.purpose) {
            // A word is said again when its time comes.
            (State::Idle, _) | (_, ConnectionPurpose::Release(_)) => {}
            (_, ConnectionPurpose::Probe) => {
                self.probe_ended(connection.engine, end.outcome(), LoadReport::default());
            }
            (_, ConnectionPurpose::Attempt { request, attempt }) => {
                if let Some(proof) = end.proof() {
                    self.log_never_ran(request, attempt, proof, connection.since, out);
                }
                self.attempt_broke(request, attempt, end, out);
            }
        }
    }

    /// For the staff: why a write that must not be repeated is taken as never run, and so may go out again. If an effect
    /// is ever seen twice, this is where to look.
    pub(crate) fn log_never_ran(
        &mut self, id: RequestId, attempt: usize, proof: NeverRan, since: Duration, out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&id).filter(|c| c.terms.runs_once) else { return };
        if request.attempts.get(attempt).is_none_or(|a| a.reads)
            || self.never_ran_lines >= MAX_NEVER_RAN_LINES
        {
            return;
        }
        self.never_ran_lines += 1;
        let ago = self.now.saturating_sub(since).as_micros();
        out.push(Output::Log(format!(
            "never ran: {} attempt {attempt}: {proof}, {ago} us in this state; {}",
            request.client_id,
            request.trace(self.now)
        )));
    }

    pub(crate) fn close_idle(&mut self, engine: EngineId, out: &mut Vec<Output>) {
        for conn in self.pool.idle(engine) {
            self.remove_engine_connection(conn);
            out.push(Output::CloseWhenSent(conn));
        }
    }

    /// Tells the module how an attempt ended, once.
    pub(crate) fn ended(&mut self, id: RequestId, attempt: usize, end: AttemptEnd) {
        let (now, outcome, kept_tokens) = (self.now, end.outcome(), end.kept_tokens());
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(a) = request.attempts.get(attempt).filter(|a| a.out) else { return };
        let latency = now.saturating_sub(a.sent);
        request.ended(now, attempt, &end);
        match outcome {
            Outcome::Prefilled => {
                self.counters.prefilled_tokens += request.terms.prompt_tokens;
                self.counters.cached_tokens += kept_tokens as u64;
            }
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                self.counters.wasted_attempts += 1;
            }
            _ => {}
        }
        let finished = request.over;
        self.finished.push(id);
        let report = self.allowed(end.report());
        self.counters.load_reports += u64::from(report != LoadReport::default());
        self.queue_event(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            outcome,
            latency,
            request_finished: finished,
            cached_tokens: kept_tokens,
            report,
        }));
    }

    /// A report in an answer; none where the settings say that answers hold none.
    fn allowed(&self, report: LoadReport) -> LoadReport {
        match self.profile.settings.report_source {
            ReportSource::Answers => report,
            ReportSource::Probes | ReportSource::None => LoadReport::default(),
        }
    }

    // ---- Probes -------------------------------------------------------------------------------

    fn probe(&mut self, engine: EngineId, out: &mut Vec<Output>) {
        let Some(addr) = self.endpoints.get(engine).map(|m| m.addr) else {
            return self.probe_ended(engine, Outcome::NotSent, LoadReport::default());
        };
        let reports =
            self.profile.settings.report_source != ReportSource::None && !self.report_layout.is_empty();
        let path = if reports { "/-/load" } else { "/-/healthy" };
        let bytes = http::request_head("GET", path, &[("host", &addr.to_string())], Framing::Length(0));
        self.counters.probes += 1;
        if !self.exchange(engine, addr, ConnectionPurpose::Probe, bytes, out) {
            self.probe_ended(engine, Outcome::NotSent, LoadReport::default());
        }
    }

    pub(crate) fn probe_ended(&mut self, engine: EngineId, outcome: Outcome, report: LoadReport) {
        self.counters.load_reports += u64::from(report != LoadReport::default());
        self.queue_event(Event::ProbeEnded { engine, outcome, report });
    }
}
