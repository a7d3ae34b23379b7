//! Dispatches what the decision modules decide: attempts, cancellations, probes, releases, timers. Decides nothing itself.

use crate::engine_connection::{ConnectionPurpose, EngineConnection, State};
use crate::gateway::Gateway;
use crate::limits;
use crate::request::{RequestEnd, POLICY};
use crate::timer::Timer;
use slipreel::{Action, EngineId, Event, Idempotency, LoadReport, Outcome, ReportSource, RequestId};
use slipreel_connections::{Release, ReleaseId, ReleaseStep, Slot};
use slipreel_protocol::engine::{self, Load};
use slipreel_protocol::http::{self, Framing};
use slipreel_state_machine::{ConnId, Output};
use std::net::SocketAddr;
use std::time::Duration;

/// Which connection an exchange goes out on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wanted {
    /// An idle one, or a new one.
    Any,
    /// One that carried nothing before: what comes on it can be the answer to no other request. For writes that must not be
    /// repeated, as an answer which says that nothing ran has to be theirs.
    New,
}

impl Gateway {
    pub(crate) fn dispatch(&mut self, generation: u64, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { request, engine, timeout: limit } => self.send(request, engine, limit, out),
            Action::Cancel { request, attempt } => self.cancel(request, attempt, out),
            Action::Reject { request, retry_after, over_quota: over_share } => {
                self.reject_request(request, retry_after, over_share, out);
            }
            Action::Fail(request) => self.fail_request(request, out),
            Action::Release(request) => self.release(request, out),
            Action::SetTimer { timer, after } => {
                self.timers.set(self.now.saturating_add(after), Timer::Decision(generation, timer));
            }
            Action::Probe(engine) => self.probe(engine, out),
            Action::CloseIdleConnections(engine) => self.close_idle(engine, out),
            Action::Log(event) => out.push(Output::Log(event.to_string())),
            // The list is pushed to the gateway; it is at the decision module's hands already.
            Action::WatchEngines(_) | Action::FetchEngines => {}
            // Settings say that there are no peers, places ahead or moved streams; the decision module asks for none.
            Action::SendToPeer { .. } | Action::Reserve { .. } | Action::MigrateStream(_) => {}
        }
    }

    fn send(&mut self, id: RequestId, engine: EngineId, limit: Option<Duration>, out: &mut Vec<Output>) {
        let Some(role) = self.engine_list.role(engine) else { return self.never_sent(id, engine) };
        let Some(addr) = self.engine_list.addr(engine) else { return self.never_sent(id, engine) };
        let (now, via) = (self.now, format!("1.1 {}", self.settings.name));
        let Some(request) = self.requests.get_mut(id) else { return };
        let (attempt, bytes) = request.send(now, engine, addr, role, &via);
        let call_runs_once = request.idempotency != Idempotency::Idempotent;
        self.counters.attempts += 1;
        let is_prefill = role == slipreel::Role::Prefill;
        if is_prefill {
            self.engines.state_held(engine);
        }
        let purpose = ConnectionPurpose::Attempt { request: id.0, attempt, is_prefill };
        let connection = if is_prefill || !call_runs_once { Wanted::Any } else { Wanted::New };
        match self.exchange(engine, addr, purpose, bytes, connection, out) {
            Some(conn) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.attempts[attempt].conn = Some(conn);
                }
                if let Some(limit) = limit {
                    self.timers.set(now.saturating_add(limit), Timer::Attempt(id, attempt));
                }
            }
            // As many connections as the engine may have: it has no room for this router.
            None => self.ended(id, attempt, Outcome::Rejected { state_missing: false }, 0.0, None),
        }
    }

    /// An attempt at an engine that has left the list in this very moment.
    fn never_sent(&mut self, id: RequestId, engine: EngineId) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(id) else { return };
        let attempt = request.attempts.len();
        request.attempts.push(crate::request::Attempt {
            engine,
            conn: None,
            sent: now,
            is_prefill: false,
            in_flight: true,
        });
        self.ended(id, attempt, Outcome::NotSent, 0.0, None);
    }

    /// Sends bytes to an engine on an idle connection or a new one. `None` if it may have no more.
    fn exchange(
        &mut self, engine: EngineId, addr: SocketAddr, purpose: ConnectionPurpose, bytes: Vec<u8>,
        connection: Wanted, out: &mut Vec<Output>,
    ) -> Option<ConnId> {
        let most = self.settings.bounds.per_engine;
        let slot = match connection {
            Wanted::Any => self.engines.reserve(engine, purpose, most, self.now),
            Wanted::New => {
                self.free_connection_slot(engine, most, out);
                // None has rested for long enough.
                self.engines.reserve(engine, purpose, most, Duration::ZERO)
            }
        };
        let conn = match slot {
            Slot::Full => return None,
            Slot::Idle(conn) => {
                let connection = self.engines.get_mut(conn)?;
                connection.reuse(purpose, self.now);
                out.push(Output::Write(conn, bytes));
                conn
            }
            Slot::Open => {
                let conn = self.engines.next_id();
                self.engines.insert(EngineConnection::new(conn, engine, purpose, self.now, bytes));
                out.push(Output::Connect(conn, addr));
                conn
            }
        };
        self.arm_engine_timer(conn);
        Some(conn)
    }

    /// Where an engine may have no more connections, an idle one makes room for a new one.
    fn free_connection_slot(&mut self, engine: EngineId, most: usize, out: &mut Vec<Output>) {
        if self.engines.count_to(engine) < most {
            return;
        }
        if let Some(&idle) = self.engines.idle_to(engine).first() {
            self.engines.remove(idle, &mut self.timers);
            out.push(Output::CloseWhenSent(idle));
        }
    }

    fn cancel(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id) else { return };
        // A stream that has begun is the client's; the decision module does not cancel it either.
        if request.streaming_attempt == Some(attempt) {
            return;
        }
        let Some(conn) = request.attempts.get(attempt).filter(|a| a.in_flight).and_then(|a| a.conn) else {
            return;
        };
        let unsent = self.engines.get(conn).is_some_and(|l| l.state == State::Connecting);
        self.abort_connection(conn, out, if unsent { Outcome::NotSent } else { Outcome::Cancelled });
    }

    /// Closes a connection at once; what it carried ends so.
    pub(crate) fn abort_connection(&mut self, conn: ConnId, out: &mut Vec<Output>, outcome: Outcome) {
        let Some(connection) = self.engines.remove(conn, &mut self.timers) else { return };
        out.push(Output::Abort(conn));
        self.exchange_ended(&connection, outcome, out);
    }

    /// What a connection carried is over.
    pub(crate) fn exchange_ended(
        &mut self, connection: &EngineConnection, outcome: Outcome, out: &mut Vec<Output>,
    ) {
        match (connection.state, connection.purpose) {
            (State::Idle, _) => {}
            // It is said again when its time comes.
            (_, ConnectionPurpose::Release(_)) => {}
            (_, ConnectionPurpose::Probe) => {
                self.probe_ended(connection.engine, outcome, LoadReport::default());
            }
            (_, ConnectionPurpose::Attempt { request, attempt, .. }) => {
                self.attempt_broke(RequestId(request), attempt, outcome, out);
            }
        }
    }

    fn release(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        for (engine, addr, name) in request.release() {
            self.engines.state_released(Some(engine));
            let id = self.releases.add(self.now, engine, addr, name);
            self.release_due(id, out);
        }
    }

    /// A release may be due: it is sent again until it is over.
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

    /// Sends a release on a connection that stands, else on a new one.
    pub(crate) fn send_release(&mut self, id: ReleaseId, release: &Release, out: &mut Vec<Output>) {
        let stands = self.engines.has_idle_to(release.holder);
        if !stands && !self.releases.may_open(release.holder, self.now, limits::RELEASE_TIMING.retry) {
            return;
        }
        let (body, host) = (engine::abort_body(&release.name), release.addr.to_string());
        let mut fields = vec![("host", host.as_str()), ("content-type", "application/json")];
        // It is this router that lets go, by the epoch that it acts by now, whichever the request was of.
        let epoch = self.epoch().map(|e| e.to_string());
        fields.extend(epoch.as_ref().map(|e| (POLICY, e.as_str())));
        let mut bytes = http::request_head("POST", "/abort_requests", &fields, Framing::Length(body.len()));
        bytes.extend_from_slice(body.as_bytes());
        // On a new connection it may take long: what falls idle before takes it.
        if self
            .exchange(release.holder, release.addr, ConnectionPurpose::Release(id), bytes, Wanted::Any, out)
            .is_some()
            && stands
        {
            self.releases.record_sent(id, release.holder, self.now);
        }
    }

    fn probe(&mut self, engine: EngineId, out: &mut Vec<Output>) {
        let Some(addr) = self.engine_list.addr(engine) else {
            return self.probe_ended(engine, Outcome::NotSent, LoadReport::default());
        };
        let (host, epoch) = (addr.to_string(), self.epoch().map(|e| e.to_string()));
        let mut fields = vec![("host", host.as_str())];
        fields.extend(epoch.as_ref().map(|e| (POLICY, e.as_str())));
        let bytes = http::request_head("GET", "/metrics", &fields, Framing::Length(0));
        self.counters.probes += 1;
        self.metrics.probe();
        if self.exchange(engine, addr, ConnectionPurpose::Probe, bytes, Wanted::Any, out).is_none() {
            self.probe_ended(engine, Outcome::NotSent, LoadReport::default());
        }
    }

    pub(crate) fn probe_ended(&mut self, engine: EngineId, outcome: Outcome, report: LoadReport) {
        self.queue_event_for_all(Event::ProbeEnded { engine, outcome, report });
    }

    pub(crate) fn close_idle(&mut self, engine: EngineId, out: &mut Vec<Output>) {
        for conn in self.engines.idle_to(engine) {
            self.engines.remove(conn, &mut self.timers);
            out.push(Output::CloseWhenSent(conn));
        }
    }

    /// Notifies the decision module how an attempt ended, once.
    pub(crate) fn ended(
        &mut self, id: RequestId, attempt: usize, outcome: Outcome, cached_tokens: f64, load: Option<Load>,
    ) {
        let now = self.now;
        let report = load.map(|l| self.report(&l)).unwrap_or_default();
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(a) = request.attempts.get_mut(attempt).filter(|a| a.in_flight) else { return };
        (a.in_flight, a.conn) = (false, None);
        let latency = now.saturating_sub(a.sent);
        self.metrics.attempt(a.is_prefill, outcome);
        request.engine_time(latency);
        self.engines.state_released(request.drop_holder_of(attempt, outcome));
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
        self.requests.check_when_settled(id);
        self.queue_event(generation, Event::AttemptEnded(ended));
    }

    /// A load report as the decision module takes it; nothing where the settings say that answers carry none.
    pub(crate) fn report(&self, load: &Load) -> LoadReport {
        if self.settings.decisions.report_source != ReportSource::Answers {
            return LoadReport::default();
        }
        load_report(load)
    }

    pub(crate) fn record_end(&mut self, id: RequestId, end: RequestEnd) {
        if let Some(request) = self.requests.get_mut(id) {
            request.is_closed = true;
            self.metrics.ended(request.class_name(), end);
            self.requests.check_when_settled(id);
            self.count(end);
        }
    }
}

/// The published metrics of an engine in the decision module's terms.
pub(crate) fn load_report(load: &Load) -> LoadReport {
    LoadReport {
        in_flight: load.running.zip(load.waiting).map(|(running, waiting)| running + waiting),
        queued: load.waiting,
        slot_share: None,
        memory_share: load.memory,
        waiting_tokens: None,
    }
}
