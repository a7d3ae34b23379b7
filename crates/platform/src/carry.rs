//! Carries out what the module decides: attempts, probes, final answers.

use crate::link::{Link, State, Use};
use crate::node::{Alarm, Node};
use crate::proof::{AttemptEnd, NeverRan};
use crate::room;
use slipreel::{Action, AttemptEnded, EngineId, Event, LoadReport, Outcome, ReportSource, RequestId, Role};
use slipreel_connections::{Errand, Slot};
use slipreel_protocol::http::{self, Framing};
use slipreel_state_machine::{ConnId, Output};
use std::net::SocketAddr;
use std::time::Duration;

impl Node {
    pub(crate) fn carry_out(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { request, engine, timeout: limit } => self.send(request, engine, limit, out),
            Action::Cancel { request, attempt } => self.cancel(request, attempt, out),
            Action::Reject { request, retry_after, over_quota: over_share } => {
                self.refuse(request, retry_after, over_share, out);
            }
            Action::Fail(request) => self.fail(request, out),
            Action::Release(request) => self.release(request, out),
            Action::SetTimer { timer, after } => {
                self.wheel.set(self.now + after, Alarm::Module(timer));
            }
            Action::Probe(engine) => self.probe(engine, out),
            Action::CloseIdleConnections(engine) => self.close_idle(engine, out),
            Action::MigrateStream(request) => self.move_stream(request, out),
            Action::Log(line) => self.note(|| line, out),
            // The platform has no places to hold ahead and no way to talk to other routers, and its watch is always open.
            Action::Reserve { request, engine } => {
                self.tell(Event::ReservationAnswered { request, engine, granted: false });
            }
            Action::WatchEngines(_) | Action::FetchEngines | Action::SendToPeer { .. } => {}
        }
    }

    // ---- Attempts -----------------------------------------------------------------------------

    fn send(&mut self, id: RequestId, engine: EngineId, limit: Option<Duration>, out: &mut Vec<Output>) {
        let now = self.now;
        let member = self.members.get(engine);
        let cell = member.map(|m| m.cell);
        let crosses = member.is_some_and(|m| m.zone != self.profile.settings.zone);
        let member = member.map(|m| (m.addr, m.role == Role::Prefill));
        let Some(call) = self.calls.get_mut(&id) else { return };
        let runs_once = call.runs_once;
        let (addr, reads) = member.unwrap_or((SocketAddr::from(([0, 0, 0, 0], 0)), false));
        if let Some(holder) = call.release.and_then(|release| self.releases.withdraw(release)) {
            call.release_withdrawn(holder);
        }
        let (attempt, bytes) = (call.begin_attempt(now, engine, reads), call.message(now, addr));
        if member.is_none() {
            // It has left the list in this very moment.
            return self.ended(id, attempt, AttemptEnd::never_ran(NeverRan::NotTried));
        }
        self.sent_on.add(now, &call.name);
        let from =
            call.reader().filter(|_| !reads).and_then(|reader| self.members.get(reader)).map(|m| m.cell);
        self.tally.moved_tokens += if from.is_some() && from != cell { call.prompt } else { 0 };
        self.tally.crossed += u64::from(crosses);
        self.tally.attempts += 1;
        let used_for = Use::Attempt { call: id.0, attempt };
        let Some(conn) = self.open_for_attempt(engine, addr, used_for, bytes, runs_once && !reads, out)
        else {
            return self.ended(id, attempt, AttemptEnd::never_ran(NeverRan::NotTried));
        };
        if let Some(a) = self.calls.get_mut(&id).and_then(|c| c.attempts.get_mut(attempt)) {
            a.conn = Some(conn);
        }
        if let Some(limit) = limit {
            self.wheel.set(now + limit, Alarm::Attempt(id, attempt));
        }
    }

    /// Opens a connection for an attempt. `None` if there is no room for one.
    ///
    /// An attempt goes out on a connection that carried nothing before. Answers name no request: on a kept connection a
    /// second answer to the exchange before, however late, can't be told from the answer to the present one. Taken for that,
    /// it would prove that an attempt never ran which is at work, or leave a copy of it out at its engine.
    fn open_for_attempt(
        &mut self, engine: EngineId, addr: SocketAddr, used_for: Use, bytes: Vec<u8>, holds_last_byte: bool,
        out: &mut Vec<Output>,
    ) -> Option<ConnId> {
        if !self.make_room(&used_for, out) {
            return None;
        }
        self.pool.opens(engine);
        let conn = self.opened();
        let link = Link::new(conn, engine, addr, used_for, self.now, bytes);
        let link = if holds_last_byte { link.holding_last_byte() } else { link };
        self.open(link, out);
        Some(conn)
    }

    /// Puts a probe or a release on an idle connection or on a new one. False if there is no room for one.
    pub(crate) fn exchange(
        &mut self, engine: EngineId, addr: SocketAddr, used_for: Use, bytes: Vec<u8>, out: &mut Vec<Output>,
    ) -> bool {
        let now = self.now;
        // A release is sent again if it breaks, and goes out as soon as it can.
        let (errand, rested) = match used_for {
            Use::Release(_) => (Errand::Release, now),
            _ if self.trust.may_use(engine) => (Errand::Probe, now.saturating_sub(room::REST)),
            _ => (Errand::Probe, Duration::ZERO),
        };
        match self.pool.take(engine, usize::MAX - 1, errand, rested) {
            Slot::Idle(conn) => {
                if let Some(link) = self.links.get_mut(&conn) {
                    out.push(Output::Write(conn, link.begin(used_for, now, bytes)));
                }
                self.arm_link(conn);
                true
            }
            Slot::Open if self.make_room(&used_for, out) => {
                let conn = self.opened();
                self.open(Link::new(conn, engine, addr, used_for, now, bytes), out);
                true
            }
            Slot::Open | Slot::Full => {
                // The place taken in the pool is given back; the number is none of a connection.
                self.pool.gone(engine, ConnId::opened(0));
                false
            }
        }
    }

    fn open(&mut self, link: Link, out: &mut Vec<Output>) {
        let (conn, addr) = (link.conn, link.addr);
        self.tally.opened += 1;
        self.links.insert(conn, link);
        out.push(Output::Connect(conn, addr));
        self.arm_link(conn);
    }

    /// Whether one more connection to an engine may be opened: at the bound the one that stands idle longest makes room.
    /// Releases have a few beyond it: they must not wait until an attempt ends.
    fn make_room(&mut self, used_for: &Use, out: &mut Vec<Output>) -> bool {
        let extra = if matches!(used_for, Use::Release(_)) { room::RELEASE_LINKS } else { 0 };
        self.links.len() < self.room.links + extra || self.close_oldest_idle(out)
    }

    /// Closes the connection to an engine that stands idle longest. False if none does.
    pub(crate) fn close_oldest_idle(&mut self, out: &mut Vec<Output>) -> bool {
        let idle = self.links.values().filter(|l| l.state == State::Idle);
        let Some(oldest) = idle.min_by_key(|l| (l.since, l.conn)).map(|l| l.conn) else { return false };
        self.forget_link(oldest);
        out.push(Output::Abort(oldest));
        true
    }

    fn cancel(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(&id) else { return };
        // A stream that has begun is the client's; the module does not cancel it either.
        if call.begun == Some(attempt) {
            return;
        }
        let Some(conn) = call.attempts.get(attempt).filter(|a| a.out).and_then(|a| a.conn) else { return };
        self.give_up_link(conn, Outcome::Cancelled, out);
    }

    /// Closes a connection at once; what it carried ends as given up, or as never run if that is proven.
    pub(crate) fn give_up_link(&mut self, conn: ConnId, outcome: Outcome, out: &mut Vec<Output>) {
        if let Some(end) = self.links.get(&conn).map(|link| link.given_up(outcome)) {
            self.drop_link(conn, end, out);
        }
    }

    /// Closes a connection at once; what it carried ends so.
    pub(crate) fn drop_link(&mut self, conn: ConnId, end: AttemptEnd, out: &mut Vec<Output>) {
        let Some(link) = self.forget_link(conn) else { return };
        out.push(Output::Abort(conn));
        self.carried_ended(&link, end, out);
    }

    /// What a connection carried is over.
    pub(crate) fn carried_ended(&mut self, link: &Link, end: AttemptEnd, out: &mut Vec<Output>) {
        match (link.state, link.used_for) {
            // A word is said again when its time comes.
            (State::Idle, _) | (_, Use::Release(_)) => {}
            (_, Use::Probe) => self.probed(link.engine, end.outcome(), LoadReport::default()),
            (_, Use::Attempt { call, attempt }) => {
                if let Some(proof) = end.proof() {
                    self.say_never_ran(RequestId(call), attempt, proof, link.since, out);
                }
                self.attempt_broke(RequestId(call), attempt, end, out);
            }
        }
    }

    /// For the staff: why a write that must not be repeated is taken as never run, and so may go out again. If an effect
    /// is ever seen twice, this is where to look.
    pub(crate) fn say_never_ran(
        &mut self, id: RequestId, attempt: usize, proof: NeverRan, since: Duration, out: &mut Vec<Output>,
    ) {
        let Some(call) = self.calls.get(&id).filter(|c| c.runs_once) else { return };
        if call.attempts.get(attempt).is_none_or(|a| a.reads) || self.stories >= room::STORIES {
            return;
        }
        self.stories += 1;
        let ago = self.now.saturating_sub(since).as_micros();
        out.push(Output::Log(format!(
            "never ran: {} attempt {attempt}: {proof}, {ago} us in this state; {}",
            call.name,
            call.story(self.now)
        )));
    }

    pub(crate) fn close_idle(&mut self, engine: EngineId, out: &mut Vec<Output>) {
        for conn in self.pool.idle(engine) {
            self.forget_link(conn);
            out.push(Output::CloseWhenSent(conn));
        }
    }

    /// Tells the module how an attempt ended, once.
    pub(crate) fn ended(&mut self, id: RequestId, attempt: usize, end: AttemptEnd) {
        let (now, outcome, kept_tokens) = (self.now, end.outcome(), end.kept_tokens());
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(a) = call.attempts.get(attempt).filter(|a| a.out) else { return };
        let latency = now.saturating_sub(a.sent);
        call.ended(now, attempt, &end);
        match outcome {
            Outcome::Prefilled => {
                self.tally.read_tokens += call.prompt;
                self.tally.kept_tokens += kept_tokens as u64;
            }
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                self.tally.wasted += 1;
            }
            _ => {}
        }
        let finished = call.over;
        self.reap.push(id);
        let report = self.allowed(end.report());
        self.tally.reports += u64::from(report != LoadReport::default());
        self.tell(Event::AttemptEnded(AttemptEnded {
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
        let Some(addr) = self.members.get(engine).map(|m| m.addr) else {
            return self.probed(engine, Outcome::NotSent, LoadReport::default());
        };
        let reports = self.profile.settings.report_source != ReportSource::None && !self.layout.is_empty();
        let path = if reports { "/-/load" } else { "/-/healthy" };
        let bytes = http::request_head("GET", path, &[("host", &addr.to_string())], Framing::Length(0));
        self.tally.probes += 1;
        if !self.exchange(engine, addr, Use::Probe, bytes, out) {
            self.probed(engine, Outcome::NotSent, LoadReport::default());
        }
    }

    pub(crate) fn probed(&mut self, engine: EngineId, outcome: Outcome, report: LoadReport) {
        self.tally.reports += u64::from(report != LoadReport::default());
        self.tell(Event::ProbeEnded { engine, outcome, report });
    }
}
