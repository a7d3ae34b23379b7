//! Carries out the actions of the decision modules: attempts, cancellations, probes, releases, timers.
//! Contains no decisions.

use crate::engine_connection::{ConnectionPurpose, EngineConnection, State};
use crate::gateway::Gateway;
use crate::limits;
use crate::request::{RequestEnd, POLICY_FIELD};
use crate::timer::Timer;
use slipreel::{Action, EngineId, Event, Idempotency, LoadReport, Outcome, ReportSource, RequestId};
use slipreel_connections::{Release, ReleaseId, ReleaseStep, Slot};
use slipreel_protocol::engine::{self, Load};
use slipreel_protocol::http::{self, Framing};
use slipreel_state_machine::{ConnId, Output};
use std::net::SocketAddr;
use std::time::Duration;

/// Whether an exchange may use a connection that carried another one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionReuse {
    /// It uses an idle connection, or a new one if there is none.
    Allowed,
    /// It uses a new connection, on which no answer to another request can arrive. For decode attempts that
    /// must not be repeated: a rejection, which says that nothing ran, has to be the answer to this attempt.
    Forbidden,
}

impl Gateway {
    /// Carries out one action of the decision module of a generation.
    pub(crate) fn dispatch(&mut self, generation: u64, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { request, engine, timeout } => self.start_attempt(request, engine, timeout, out),
            Action::Cancel { request, attempt } => self.cancel(request, attempt, out),
            Action::Reject { request, retry_after, over_quota } => {
                self.reject_request(request, retry_after, over_quota, out);
            }
            Action::Fail(request) => self.fail_request(request, out),
            Action::Release(request) => self.release_held_state(request, out),
            Action::SetTimer { timer, after } => {
                self.timers.set(self.now.saturating_add(after), Timer::Decision(generation, timer));
            }
            Action::Probe(engine) => self.send_probe(engine, out),
            Action::CloseIdleConnections(engine) => self.close_idle(engine, out),
            Action::Log(event) => out.push(Output::Log(event.to_string())),
            // The gateway receives each list without asking and has passed it to the decision module already.
            Action::WatchEngines(_) | Action::FetchEngines => {}
            // The settings enable no peers, reservations or stream migration, so the decision module does not
            // use them.
            Action::SendToPeer { .. } | Action::Reserve { .. } | Action::MigrateStream(_) => {}
        }
    }

    /// Starts an attempt of a request at an engine.
    fn start_attempt(
        &mut self, id: RequestId, engine: EngineId, timeout: Option<Duration>, out: &mut Vec<Output>,
    ) {
        let Some(role) = self.engine_list.role(engine) else { return self.record_unsent_attempt(id, engine) };
        let Some(addr) = self.engine_list.addr(engine) else { return self.record_unsent_attempt(id, engine) };
        let (now, via) = (self.now, format!("1.1 {}", self.settings.name));
        let Some(request) = self.requests.get_mut(id) else { return };
        let (attempt, bytes) = request.add_attempt(now, engine, addr, role, &via);
        let runs_at_most_once = request.idempotency != Idempotency::Idempotent;
        self.counters.attempts += 1;
        let is_prefill = role == slipreel::Role::Prefill;
        if is_prefill {
            self.engine_connections.state_held(engine);
        }
        let purpose = ConnectionPurpose::Attempt { request: id.0, attempt, is_prefill };
        let reuse = if is_prefill || !runs_at_most_once {
            ConnectionReuse::Allowed
        } else {
            ConnectionReuse::Forbidden
        };
        match self.start_exchange(engine, addr, purpose, bytes, reuse, out) {
            Some(conn) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.attempts[attempt].conn = Some(conn);
                }
                if let Some(timeout) = timeout {
                    self.timers.set(now.saturating_add(timeout), Timer::Attempt(id, attempt));
                }
            }
            // The limit of connections to the engine is reached: this counts as a rejection by the engine.
            None => self.attempt_ended(id, attempt, Outcome::Rejected { state_missing: false }, 0.0, None),
        }
    }

    /// Records an attempt that is not sent, because its engine has just left the list.
    fn record_unsent_attempt(&mut self, id: RequestId, engine: EngineId) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(id) else { return };
        let attempt = request.attempts.len();
        request.attempts.push(crate::request::Attempt {
            engine,
            conn: None,
            sent_at: now,
            is_prefill: false,
            in_flight: true,
        });
        self.attempt_ended(id, attempt, Outcome::NotSent, 0.0, None);
    }

    /// Sends a request to an engine on an idle connection or a new one. `None` if the limit of connections is
    /// reached.
    fn start_exchange(
        &mut self, engine: EngineId, addr: SocketAddr, purpose: ConnectionPurpose, bytes: Vec<u8>,
        reuse: ConnectionReuse, out: &mut Vec<Output>,
    ) -> Option<ConnId> {
        let max_connections = self.settings.bounds.per_engine;
        let slot = match reuse {
            ConnectionReuse::Allowed => {
                self.engine_connections.reserve(engine, purpose, max_connections, self.now)
            }
            ConnectionReuse::Forbidden => {
                self.free_connection_slot(engine, max_connections, out);
                // No connection has been idle since time 0, so none is reused.
                self.engine_connections.reserve(engine, purpose, max_connections, Duration::ZERO)
            }
        };
        let conn = match slot {
            Slot::Full => return None,
            Slot::Idle(conn) => {
                let connection = self.engine_connections.get_mut(conn)?;
                connection.reuse(purpose, self.now);
                out.push(Output::Write(conn, bytes));
                conn
            }
            Slot::Open => {
                let conn = self.engine_connections.next_id();
                self.engine_connections.insert(EngineConnection::new(conn, engine, purpose, self.now, bytes));
                out.push(Output::Connect(conn, addr));
                conn
            }
        };
        self.arm_engine_timer(conn);
        Some(conn)
    }

    /// Closes an idle connection to an engine if the limit of connections is reached, to make room for a new
    /// one.
    fn free_connection_slot(&mut self, engine: EngineId, max_connections: usize, out: &mut Vec<Output>) {
        if self.engine_connections.count_to(engine) < max_connections {
            return;
        }
        if let Some(&idle) = self.engine_connections.idle_to(engine).first() {
            self.engine_connections.remove(idle, &mut self.timers);
            out.push(Output::CloseWhenSent(idle));
        }
    }

    /// Cancels an attempt whose answer has not begun.
    fn cancel(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id) else { return };
        // An answer that has begun goes to the client; the decision module does not cancel it either.
        if request.streaming_attempt == Some(attempt) {
            return;
        }
        let Some(conn) = request
            .attempts
            .get(attempt)
            .filter(|attempt| attempt.in_flight)
            .and_then(|attempt| attempt.conn)
        else {
            return;
        };
        let unsent =
            self.engine_connections.get(conn).is_some_and(|connection| connection.state == State::Connecting);
        self.abort_connection(conn, out, if unsent { Outcome::NotSent } else { Outcome::Cancelled });
    }

    /// Closes a connection at once; its exchange ends with this outcome.
    pub(crate) fn abort_connection(&mut self, conn: ConnId, out: &mut Vec<Output>, outcome: Outcome) {
        let Some(connection) = self.engine_connections.remove(conn, &mut self.timers) else { return };
        out.push(Output::Abort(conn));
        self.exchange_interrupted(&connection, outcome, out);
    }

    /// Ends the exchange of a connection that was closed or lost.
    pub(crate) fn exchange_interrupted(
        &mut self, connection: &EngineConnection, outcome: Outcome, out: &mut Vec<Output>,
    ) {
        match (connection.state, connection.purpose) {
            (State::Idle, _) => {}
            // The release is sent again when its timer fires.
            (_, ConnectionPurpose::Release(_)) => {}
            (_, ConnectionPurpose::Probe) => {
                self.probe_ended(connection.engine, outcome, LoadReport::default());
            }
            (_, ConnectionPurpose::Attempt { request, attempt, .. }) => {
                self.attempt_interrupted(RequestId(request), attempt, outcome, out);
            }
        }
    }

    /// Releases the state that is held for a request.
    fn release_held_state(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        for (engine, addr, name) in request.take_releasable_state() {
            self.engine_connections.state_released(Some(engine));
            let release_id = self.releases.add(self.now, engine, addr, name);
            self.release_due(release_id, out);
        }
    }

    /// Sends a release if it is due, and sets the timer of its next step until it is over.
    pub(crate) fn release_due(&mut self, id: ReleaseId, out: &mut Vec<Output>) {
        match self.releases.step(id, self.now) {
            ReleaseStep::Over => {}
            ReleaseStep::Wait(at) => {
                self.timers.set(at, Timer::Release(id));
            }
            ReleaseStep::Send(release) => {
                self.timers.set(self.now + limits::RELEASE_TIMING.retry, Timer::Release(id));
                self.send_release(id, &release, out);
            }
        }
    }

    /// Sends a release on an idle connection, else on a new one.
    pub(crate) fn send_release(&mut self, id: ReleaseId, release: &Release, out: &mut Vec<Output>) {
        let has_idle_connection = self.engine_connections.has_idle_to(release.holder);
        if !has_idle_connection
            && !self.releases.may_open(release.holder, self.now, limits::RELEASE_TIMING.retry)
        {
            return;
        }
        let (body, host) = (engine::abort_body(&release.name), release.addr.to_string());
        let mut fields = vec![("host", host.as_str()), ("content-type", "application/json")];
        // The release is this router's own request, so it carries the present epoch and not that of the
        // released request.
        let epoch = self.epoch().map(|epoch| epoch.to_string());
        fields.extend(epoch.as_ref().map(|epoch| (POLICY_FIELD, epoch.as_str())));
        let mut bytes = http::request_head("POST", "/abort_requests", &fields, Framing::Length(body.len()));
        bytes.extend_from_slice(body.as_bytes());
        // A new connection may take long to open, so the release counts as sent only on an established one. A
        // connection that becomes idle earlier then carries it.
        if self
            .start_exchange(
                release.holder,
                release.addr,
                ConnectionPurpose::Release(id),
                bytes,
                ConnectionReuse::Allowed,
                out,
            )
            .is_some()
            && has_idle_connection
        {
            self.releases.record_sent(id, release.holder, self.now);
        }
    }

    /// Requests the metrics of an engine.
    fn send_probe(&mut self, engine: EngineId, out: &mut Vec<Output>) {
        let Some(addr) = self.engine_list.addr(engine) else {
            return self.probe_ended(engine, Outcome::NotSent, LoadReport::default());
        };
        let (host, epoch) = (addr.to_string(), self.epoch().map(|epoch| epoch.to_string()));
        let mut fields = vec![("host", host.as_str())];
        fields.extend(epoch.as_ref().map(|epoch| (POLICY_FIELD, epoch.as_str())));
        let bytes = http::request_head("GET", "/metrics", &fields, Framing::Length(0));
        self.counters.probes += 1;
        self.metrics.probe_sent();
        if self
            .start_exchange(engine, addr, ConnectionPurpose::Probe, bytes, ConnectionReuse::Allowed, out)
            .is_none()
        {
            self.probe_ended(engine, Outcome::NotSent, LoadReport::default());
        }
    }

    /// Notifies the decision modules of the outcome of a probe, or of a load report that comes without one.
    pub(crate) fn probe_ended(&mut self, engine: EngineId, outcome: Outcome, report: LoadReport) {
        self.queue_event_for_all(Event::ProbeEnded { engine, outcome, report });
    }

    /// Closes all idle connections to an engine.
    pub(crate) fn close_idle(&mut self, engine: EngineId, out: &mut Vec<Output>) {
        for conn in self.engine_connections.idle_to(engine) {
            self.engine_connections.remove(conn, &mut self.timers);
            out.push(Output::CloseWhenSent(conn));
        }
    }

    /// Notifies the decision module of how an attempt ended, unless it was notified before.
    pub(crate) fn attempt_ended(
        &mut self, id: RequestId, attempt: usize, outcome: Outcome, cached_tokens: f64,
        load_report: Option<Load>,
    ) {
        let now = self.now;
        let report = load_report.map(|load| self.answer_load_report(&load)).unwrap_or_default();
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(ended) = request.attempts.get_mut(attempt).filter(|attempt| attempt.in_flight) else {
            return;
        };
        (ended.in_flight, ended.conn) = (false, None);
        let latency = now.saturating_sub(ended.sent_at);
        self.metrics.attempt_ended(ended.is_prefill, outcome);
        request.add_engine_time(latency);
        self.engine_connections.state_released(request.drop_holder_of(attempt, outcome));
        let ended = slipreel::AttemptEnded {
            request: id,
            attempt,
            outcome,
            latency,
            request_finished: request.is_closed,
            cached_tokens,
            report,
        };
        let generation = request.generation;
        self.requests.mark_maybe_finished(id);
        self.queue_event(generation, Event::AttemptEnded(ended));
    }

    /// The load report of an answer in the decision module's terms; empty if the settings say that answers
    /// carry none.
    pub(crate) fn answer_load_report(&self, load: &Load) -> LoadReport {
        if self.settings.decisions.report_source != ReportSource::Answers {
            return LoadReport::default();
        }
        to_load_report(load)
    }

    /// Records that a request has its final answer.
    pub(crate) fn record_end(&mut self, id: RequestId, end: RequestEnd) {
        if let Some(request) = self.requests.get_mut(id) {
            request.is_closed = true;
            self.metrics.request_ended(request.class_name(), end);
            self.requests.mark_maybe_finished(id);
            self.count_end(end);
        }
    }
}

/// The metrics of an engine in the decision module's terms.
pub(crate) fn to_load_report(load: &Load) -> LoadReport {
    LoadReport {
        in_flight: load.running.zip(load.waiting).map(|(running, waiting)| running + waiting),
        queued: load.waiting,
        slot_share: None,
        memory_share: load.memory,
        waiting_tokens: None,
    }
}
