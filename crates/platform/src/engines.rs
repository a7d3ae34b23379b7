//! What the engines say and do: it becomes events for the module and the client's answer.

use crate::link::{Answer, Link, Said, State, Use};
use crate::node::{end_of_lost, Node};
use crate::proof::{AttemptEnd, NeverRan};
use crate::room;
use slipreel::{Event, LoadReport, Outcome, RequestId};
use slipreel_state_machine::{ConnId, ConnectionLoss, Output};

/// Idle connections that are kept to one engine.
const MOST_IDLE: usize = 1;
/// The status with which a reader says that it has read a prompt.
const READ: u16 = 202;
/// The status with which an engine acknowledges a release.
const RELEASED: u16 = 204;

impl Node {
    pub(crate) fn link_connected(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        if self.serves_nobody(conn) {
            return self.give_up_link(conn, Outcome::Cancelled, out);
        }
        let Some(link) = self.links.get_mut(&conn).filter(|l| l.state == State::Connecting) else { return };
        if let Use::Attempt { call, .. } = link.used_for {
            if let Some(call) = self.calls.get(&RequestId(call)) {
                link.replace_pending(call.message(now, link.addr));
            }
        }
        out.push(Output::Write(conn, link.stands(now)));
        self.arm_link(conn);
    }

    /// Whether a connection is to carry an attempt for a request that is over: its client has left, or it has its answer.
    /// Where the module may not cancel, such an attempt stays out, but one that has not begun is not begun any more.
    fn serves_nobody(&self, conn: ConnId) -> bool {
        match self.links.get(&conn).map(|link| link.used_for) {
            Some(Use::Attempt { call, .. }) => self.calls.get(&RequestId(call)).is_none_or(|call| call.over),
            _ => false,
        }
    }

    pub(crate) fn link_sent(&mut self, conn: ConnId, n: usize) {
        if let Some(link) = self.links.get_mut(&conn) {
            link.unsent = link.unsent.saturating_sub(n);
        }
    }

    pub(crate) fn link_data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&conn) else { return };
        if link.state != State::Busy {
            // Bytes that nobody asked for: what follows could be taken for the next answer.
            return self.drop_link(conn, AttemptEnd::may_have_run(Outcome::Error), out);
        }
        link.since = now;
        let engine = link.engine;
        if std::mem::take(&mut link.on_trust) {
            self.trust.used(engine, false);
        }
        let mut said = Vec::new();
        let early = link.holds_back();
        link.feed(bytes, &self.layout, &mut said);
        self.tally.odd_reports += std::mem::take(&mut link.odd_reports);
        self.members.heard(engine, now);
        // Before its last byte was written nothing can be the answer to a request, but that it is turned away: guards
        // against a late second answer of the exchange before, taken for a stream or a proof that this one never ran.
        if early && !matches!(&said[..], [Said::Answer(answer)] if answer.not_run) {
            self.tally.spoilt += 1;
            return self.drop_link(conn, AttemptEnd::never_ran(NeverRan::LastByteHeld), out);
        }
        for said in said {
            self.heard(conn, said, out);
        }
        if let Some(Use::Attempt { call, .. }) = self.links.get(&conn).map(|l| l.used_for) {
            self.check_pace(RequestId(call), out);
        }
    }

    pub(crate) fn link_lost(&mut self, conn: ConnId, why: ConnectionLoss, out: &mut Vec<Output>) {
        if let Some(link) = self.forget_link(conn) {
            if why == ConnectionLoss::Exhausted {
                // Room for the next one: engines' connections come before clients that stand idle.
                self.evict(out);
            }
            self.broke(&link);
            self.carried_ended(&link, end_of_lost(why, &link), out);
        }
    }

    pub(crate) fn link_eof(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if let Some(link) = self.forget_link(conn) {
            out.push(Output::Abort(conn));
            self.broke(&link);
            self.carried_ended(&link, end_of_lost(ConnectionLoss::Reset, &link), out);
        }
    }

    /// A connection broke: if it had been kept, kept ones are worth less.
    fn broke(&mut self, link: &Link) {
        if link.on_trust && link.state == State::Busy {
            self.trust.used(link.engine, true);
        }
    }

    /// Its time is up, by its state.
    pub(crate) fn link_late(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if self.links.get(&conn).is_some_and(Link::holds_back) && self.serves_nobody(conn) {
            return self.give_up_link(conn, Outcome::Cancelled, out);
        }
        if let Some(link) = self.links.get_mut(&conn).filter(|l| l.holds_back()) {
            out.push(Output::Write(conn, std::mem::take(&mut link.pending)));
            return self.arm_link(conn);
        }
        match self.links.get(&conn).map(|l| l.state) {
            Some(State::Connecting) => {
                self.drop_link(conn, AttemptEnd::never_ran(NeverRan::NotConnected), out);
            }
            Some(State::Busy) => self.drop_link(conn, AttemptEnd::may_have_run(Outcome::TimedOut), out),
            Some(State::Idle) => {
                self.forget_link(conn);
                out.push(Output::CloseWhenSent(conn));
            }
            None => {}
        }
    }

    pub(crate) fn attempt_late(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(&id).filter(|c| c.begun.is_none()) else { return };
        let conn = call.attempts.get(attempt).filter(|a| a.out).and_then(|a| a.conn);
        if let Some(conn) = conn {
            self.give_up_link(conn, Outcome::TimedOut, out);
        }
    }

    fn heard(&mut self, conn: ConnId, said: Said, out: &mut Vec<Output>) {
        let Some(link) = self.links.get(&conn) else { return };
        let (engine, used_for) = (link.engine, link.used_for);
        match (said, used_for) {
            (Said::Events(bytes), Use::Attempt { call, attempt }) => {
                if !self.pass_on(RequestId(call), attempt, &bytes, out) {
                    self.drop_link(conn, AttemptEnd::may_have_run(Outcome::Cancelled), out);
                }
            }
            (Said::End(report), Use::Attempt { call, attempt }) => {
                self.exchange_over(conn, out);
                self.stream_over(RequestId(call), attempt, report.unwrap_or_default(), out);
            }
            (Said::Answer(answer), Use::Attempt { call, attempt }) => {
                self.answered(conn, RequestId(call), attempt, &answer, out);
            }
            (Said::Answer(answer), Use::Probe) => {
                self.exchange_over(conn, out);
                let body = std::str::from_utf8(&answer.body).ok().and_then(|text| self.layout.read(text));
                let report = answer.report.or(body).unwrap_or_default();
                let outcome = if answer.status == 200 { Outcome::Completed } else { Outcome::Error };
                self.probed(engine, outcome, report);
            }
            // Any other status is none that a release is answered with: guards against a late second answer of the exchange
            // before, taken for an acknowledgement.
            (Said::Answer(answer), Use::Release(_)) if answer.status != RELEASED => {
                self.tally.spoilt += 1;
                self.drop_link(conn, AttemptEnd::may_have_run(Outcome::Error), out);
            }
            (Said::Answer(_), Use::Release(id)) => {
                self.releases.acknowledged(id, self.now);
                self.exchange_over(conn, out);
            }
            (Said::Spoilt(why), _) => {
                self.tally.spoilt += 1;
                let name =
                    self.members.get(engine).map_or_else(|| format!("{:x}", engine.0), |m| m.name.clone());
                self.note(|| format!("engine {name}: {why}"), out);
                self.drop_link(conn, AttemptEnd::may_have_run(Outcome::Error), out);
            }
            (Said::Events(_) | Said::End(_), Use::Probe | Use::Release(_)) => {
                self.drop_link(conn, AttemptEnd::may_have_run(Outcome::Error), out);
            }
        }
    }

    /// An exchange has ended in order: its connection is kept for the next, or closed.
    fn exchange_over(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&conn) else { return };
        let engine = link.engine;
        (link.state, link.since) = (State::Idle, now);
        if std::mem::take(&mut link.paused) {
            out.push(Output::Resume(conn));
        }
        let stays = self.members.get(engine).is_some_and(|m| m.addr == link.addr);
        if !stays || !link.reusable {
            return self.close_link(conn, out);
        }
        // Each attempt opens one. For probes and releases the one that answered last is kept: it is the likeliest to stand.
        for older in self.pool.idle(engine) {
            self.close_link(older, out);
        }
        self.pool.put(engine, conn, MOST_IDLE, now);
        self.arm_link(conn);
        self.release_next(conn, out);
    }

    /// Closes a connection that carries nothing any more.
    fn close_link(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        self.forget_link(conn);
        out.push(Output::Abort(conn));
    }

    /// An answer that is no stream, by the protocol's table.
    fn answered(
        &mut self, conn: ConnId, id: RequestId, attempt: usize, answer: &Answer, out: &mut Vec<Output>,
    ) {
        let Some(link) = self.links.get(&conn) else { return };
        let (proof, since) = (link.turned_away(answer), link.since);
        let reads = self
            .calls
            .get(&id)
            .and_then(|call| call.attempts.get(attempt))
            .is_some_and(|attempt| attempt.reads);
        let end = match proof {
            Some(proof) => AttemptEnd::never_ran(proof),
            None if answer.status == READ && reads => AttemptEnd::read(kept_tokens(&answer.body)),
            None => AttemptEnd::may_have_run(Outcome::Error),
        };
        let end = end.with_report(answer.report.unwrap_or_default());
        if let Some(proof) = proof {
            self.say_never_ran(id, attempt, proof, since, out);
        }
        if answer.status == READ && !reads {
            self.note(|| "an answer 202 to a write ends its connection: it may have run".to_owned(), out);
            self.close_link(conn, out);
        } else {
            self.exchange_over(conn, out);
        }
        if end.outcome() == Outcome::Error {
            return self.attempt_broke(id, attempt, end, out);
        }
        self.ended(id, attempt, end);
    }

    /// An attempt ended otherwise than in order. If its stream had begun, the request ends with it.
    pub(crate) fn attempt_broke(
        &mut self, id: RequestId, attempt: usize, end: AttemptEnd, out: &mut Vec<Output>,
    ) {
        if self.calls.get(&id).is_some_and(|c| c.begun == Some(attempt) && !c.over) {
            self.break_off(id, out);
        }
        self.ended(id, attempt, end);
    }

    /// Events of a stream go on to the client. False if nobody wants them.
    fn pass_on(&mut self, id: RequestId, attempt: usize, events: &[u8], out: &mut Vec<Output>) -> bool {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.over) else { return false };
        if call.begun.is_none() {
            self.held_bytes = self.held_bytes.saturating_sub(call.bytes());
            call.has_begun(attempt);
            self.tally.late += u64::from(now > call.wanted);
            let a = &call.attempts[attempt];
            let (latency, conn) = (now.saturating_sub(a.sent), a.conn);
            self.tell(Event::FirstToken { request: id, attempt, latency });
            self.begin_stream(id, out);
            if let Some(conn) = conn {
                self.arm_link(conn);
            }
        }
        self.stream_on(id, events, out);
        true
    }

    fn stream_over(&mut self, id: RequestId, attempt: usize, report: LoadReport, out: &mut Vec<Output>) {
        if self.calls.get(&id).is_some_and(|c| c.begun == Some(attempt)) {
            self.serve_whole(id, out);
            self.ended(id, attempt, AttemptEnd::served().with_report(report));
        } else {
            // A stream without an event serves nobody.
            let end = AttemptEnd::may_have_run(Outcome::Error).with_report(report);
            self.attempt_broke(id, attempt, end, out);
        }
    }

    /// Pauses or resumes the engine's connection by what waits for the client.
    pub(crate) fn check_pace(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(&id) else { return };
        let Some(conn) = call.begun.and_then(|a| call.attempts[a].conn) else { return };
        let client = call.client;
        let Some(unsent) = self.clients.get(&client).map(|c| c.unsent) else { return };
        let now = self.now;
        let Some(link) = self.links.get_mut(&conn) else { return };
        // Some hysteresis, so that a peer of steady pace does not make it change with each write.
        let pauses = if link.paused { unsent > room::UNSENT / 2 } else { unsent > room::UNSENT };
        if pauses != link.paused {
            (link.paused, link.since) = (pauses, now);
            out.push(if pauses { Output::Pause(conn) } else { Output::Resume(conn) });
            self.arm_link(conn);
            self.arm_client(client);
        }
    }
}

/// What a read found kept, tokens; none if its body does not say.
fn kept_tokens(body: &[u8]) -> f64 {
    let value = serde_json::from_slice::<serde_json::Value>(body).ok();
    let kept = value.as_ref().and_then(|v| v.get("cached_tokens")?.as_f64());
    kept.filter(|n| (0.0..=room::TOKENS).contains(n)).unwrap_or(0.0)
}
