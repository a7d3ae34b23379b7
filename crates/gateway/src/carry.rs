//! Carries out what the module decides: attempts, cancels, probes, aborts, timers. Decides nothing itself.

use crate::call::{Final, POLICY};
use crate::front::{Alarm, Decided, Front};
use crate::limits;
use crate::link::{Link, State, Use};
use slipreel::{Action, EngineId, Event, Idempotency, LoadReport, Outcome, ReportSource, RequestId};
use slipreel_connections::{Purpose, Release, ReleaseId, ReleaseStep, Slot};
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

impl Front {
    pub(crate) fn carry_out(&mut self, generation: u64, action: Decided, out: &mut Vec<Output>) {
        match action {
            Action::Send { request, engine, timeout: limit } => self.send(request, engine, limit, out),
            Action::Cancel { request, attempt } => self.cancel(request, attempt, out),
            Action::Reject { request, retry_after, over_quota: over_share } => {
                self.refuse(request, retry_after, over_share, out);
            }
            Action::Fail(request) => self.fail(request, out),
            Action::Release(request) => self.release(request, out),
            Action::SetTimer { timer, after } => {
                self.wheel.set(self.now.saturating_add(after), Alarm::Module(generation, timer));
            }
            Action::Probe(engine) => self.probe(engine, out),
            Action::CloseIdleConnections(engine) => self.close_idle(engine, out),
            Action::Log(event) => out.push(Output::Log(event.to_string())),
            // The list is pushed to the front; it is at the module's hands already.
            Action::WatchEngines(_) | Action::FetchEngines => {}
            // Settings say that there are no peers, places ahead or moved streams; the module asks for none.
            Action::SendToPeer { .. } | Action::Reserve { .. } | Action::MigrateStream(_) => {}
        }
    }

    fn send(&mut self, id: RequestId, engine: EngineId, limit: Option<Duration>, out: &mut Vec<Output>) {
        let Some(role) = self.members.role(engine) else { return self.never_sent(id, engine) };
        let Some(addr) = self.members.addr(engine) else { return self.never_sent(id, engine) };
        let (now, via) = (self.now, format!("1.1 {}", self.site.name));
        let Some(call) = self.calls.get_mut(&id) else { return };
        let (attempt, bytes) = call.send(now, engine, addr, role, &via);
        let call_runs_once = call.effect != Idempotency::Idempotent;
        self.tally.attempts += 1;
        let read = role == slipreel::Role::Prefill;
        if read {
            self.pool.state_held(engine);
        }
        let used_for = Use::Attempt { call: id.0, attempt, read };
        let connection = if read || !call_runs_once { Wanted::Any } else { Wanted::New };
        match self.exchange(engine, addr, used_for, bytes, connection, out) {
            Some(conn) => {
                if let Some(call) = self.calls.get_mut(&id) {
                    call.attempts[attempt].conn = Some(conn);
                }
                if let Some(limit) = limit {
                    self.wheel.set(now.saturating_add(limit), Alarm::Attempt(id, attempt));
                }
            }
            // As many connections as the engine may have: it has no room for this router.
            None => self.ended(id, attempt, Outcome::Rejected { state_missing: false }, 0.0, None),
        }
    }

    /// An attempt at an engine that has left the list in this very moment.
    fn never_sent(&mut self, id: RequestId, engine: EngineId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let attempt = call.attempts.len();
        call.attempts.push(crate::call::Attempt { engine, conn: None, sent: now, read: false, out: true });
        self.ended(id, attempt, Outcome::NotSent, 0.0, None);
    }

    /// Sends bytes to an engine on an idle connection or a new one. `None` if it may have no more.
    fn exchange(
        &mut self, engine: EngineId, addr: SocketAddr, used_for: Use, bytes: Vec<u8>, connection: Wanted,
        out: &mut Vec<Output>,
    ) -> Option<ConnId> {
        let errand = match used_for {
            Use::Attempt { .. } => Purpose::Attempt,
            Use::Probe => Purpose::Probe,
            Use::Abort(_) => Purpose::Release,
        };
        let most = self.site.bounds.per_engine;
        let slot = match connection {
            Wanted::Any => self.pool.reserve(engine, most, errand, self.now),
            Wanted::New => {
                self.make_room_at(engine, most, out);
                // None has rested for long enough.
                self.pool.reserve(engine, most, errand, Duration::ZERO)
            }
        };
        let conn = match slot {
            Slot::Full => return None,
            Slot::Idle(conn) => {
                let link = self.links.get_mut(&conn)?;
                link.reuse(used_for, self.now);
                out.push(Output::Write(conn, bytes));
                conn
            }
            Slot::Open => {
                let conn = self.opened();
                self.links.insert(conn, Link::new(conn, engine, used_for, self.now, bytes));
                out.push(Output::Connect(conn, addr));
                conn
            }
        };
        self.arm_link(conn);
        Some(conn)
    }

    /// Where an engine may have no more connections, an idle one makes room for a new one.
    fn make_room_at(&mut self, engine: EngineId, most: usize, out: &mut Vec<Output>) {
        if self.pool.open_count(engine) < most {
            return;
        }
        if let Some(&idle) = self.pool.idle(engine).first() {
            self.forget_link(idle);
            out.push(Output::CloseWhenSent(idle));
        }
    }

    fn cancel(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(&id) else { return };
        // A stream that has begun is the client's; the module does not cancel it either.
        if call.begun == Some(attempt) {
            return;
        }
        let Some(conn) = call.attempts.get(attempt).filter(|a| a.out).and_then(|a| a.conn) else { return };
        let unsent = self.links.get(&conn).is_some_and(|l| l.state == State::Connecting);
        self.drop_link(conn, out, if unsent { Outcome::NotSent } else { Outcome::Cancelled });
    }

    /// Closes a connection at once; what it carried ends so.
    pub(crate) fn drop_link(&mut self, conn: ConnId, out: &mut Vec<Output>, outcome: Outcome) {
        let Some(link) = self.forget_link(conn) else { return };
        out.push(Output::Abort(conn));
        self.carried_ended(&link, outcome, out);
    }

    /// What a connection carried is over.
    pub(crate) fn carried_ended(&mut self, link: &Link, outcome: Outcome, out: &mut Vec<Output>) {
        match (link.state, link.used_for) {
            (State::Idle, _) => {}
            // It is said again when its time comes.
            (_, Use::Abort(_)) => {}
            (_, Use::Probe) => self.probed(link.engine, outcome, LoadReport::default()),
            (_, Use::Attempt { call, attempt, .. }) => {
                self.attempt_broke(RequestId(call), attempt, outcome, out);
            }
        }
    }

    fn release(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        for (engine, addr, name) in call.release() {
            self.pool.state_released(Some(engine));
            let id = self.releases.add(self.now, engine, addr, name);
            self.release_due(id, out);
        }
    }

    /// A release may be due: it is sent again until it is over.
    pub(crate) fn release_due(&mut self, id: ReleaseId, out: &mut Vec<Output>) {
        match self.releases.step(id, self.now) {
            ReleaseStep::Over => {}
            ReleaseStep::Wait(at) => {
                self.wheel.set(at, Alarm::Release(id));
            }
            ReleaseStep::Send(release) => {
                self.wheel.set(self.now + limits::RELEASES.retry, Alarm::Release(id));
                self.send_release(id, &release, out);
            }
        }
    }

    /// Sends a release on a connection that stands, else on a new one.
    pub(crate) fn send_release(&mut self, id: ReleaseId, release: &Release, out: &mut Vec<Output>) {
        let stands = self.pool.has_idle(release.holder);
        if !stands && !self.releases.may_open(release.holder, self.now, limits::RELEASES.retry) {
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
        if self.exchange(release.holder, release.addr, Use::Abort(id), bytes, Wanted::Any, out).is_some()
            && stands
        {
            self.releases.record_sent(id, release.holder, self.now);
        }
    }

    fn probe(&mut self, engine: EngineId, out: &mut Vec<Output>) {
        let Some(addr) = self.members.addr(engine) else {
            return self.probed(engine, Outcome::NotSent, LoadReport::default());
        };
        let (host, epoch) = (addr.to_string(), self.epoch().map(|e| e.to_string()));
        let mut fields = vec![("host", host.as_str())];
        fields.extend(epoch.as_ref().map(|e| (POLICY, e.as_str())));
        let bytes = http::request_head("GET", "/metrics", &fields, Framing::Length(0));
        self.tally.probes += 1;
        self.gauges.probe();
        if self.exchange(engine, addr, Use::Probe, bytes, Wanted::Any, out).is_none() {
            self.probed(engine, Outcome::NotSent, LoadReport::default());
        }
    }

    pub(crate) fn probed(&mut self, engine: EngineId, outcome: Outcome, report: LoadReport) {
        self.tell_all(Event::ProbeEnded { engine, outcome, report });
    }

    pub(crate) fn close_idle(&mut self, engine: EngineId, out: &mut Vec<Output>) {
        for conn in self.pool.idle(engine) {
            self.forget_link(conn);
            out.push(Output::CloseWhenSent(conn));
        }
    }

    /// Tells the module how an attempt ended, once.
    pub(crate) fn ended(
        &mut self, id: RequestId, attempt: usize, outcome: Outcome, kept: f64, load: Option<Load>,
    ) {
        let now = self.now;
        let report = load.map(|l| self.report(&l)).unwrap_or_default();
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(a) = call.attempts.get_mut(attempt).filter(|a| a.out) else { return };
        (a.out, a.conn) = (false, None);
        let latency = now.saturating_sub(a.sent);
        self.gauges.attempt(a.read, outcome);
        call.worked(latency);
        self.pool.state_released(call.holds_nothing(attempt, outcome));
        let ended = slipreel::AttemptEnded {
            request: id,
            attempt,
            outcome,
            latency,
            request_finished: call.over,
            cached_tokens: kept,
            report,
        };
        let generation = call.generation;
        self.reap.push(id);
        self.tell(generation, Event::AttemptEnded(ended));
    }

    /// A load report as the module takes it; nothing where the site says that answers carry none.
    pub(crate) fn report(&self, load: &Load) -> LoadReport {
        if self.site.settings.report_source != ReportSource::Answers {
            return LoadReport::default();
        }
        load_report(load)
    }

    pub(crate) fn final_of(&mut self, id: RequestId, end: Final) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.over = true;
            self.reap.push(id);
            self.gauges.ended(call.class_name(), end);
            self.count(end);
        }
    }
}

/// The published gauges in the module's terms.
pub(crate) fn load_report(load: &Load) -> LoadReport {
    LoadReport {
        in_flight: load.running.zip(load.waiting).map(|(running, waiting)| running + waiting),
        queued: load.waiting,
        slot_share: None,
        memory_share: load.memory,
        waiting_tokens: None,
    }
}
