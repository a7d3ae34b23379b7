//! What the engines say and do: it becomes events for the module and pieces of the client's answer.

use crate::call::Final;
use crate::carry::load_report;
use crate::front::{loss_outcome, Front};
use crate::limits;
use crate::link::{Said, State, Use};
use crate::translate::Writer;
use slipreel::{Event, LoadReport, Outcome, RequestId};
use slipreel_protocol::engine::Chunk;
use slipreel_protocol::messages::{ApiError, ErrorKind};
use slipreel_state_machine::{ConnId, ConnectionLoss, Output};
use std::time::Duration;

impl Front {
    pub(crate) fn link_connected(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&conn).filter(|l| l.state == State::Connecting) else { return };
        if let Use::Attempt { call, .. } = link.used_for {
            // Where the module may not cancel, an attempt for a client that has left is not begun any more.
            if self.calls.get(&RequestId(call)).is_none_or(|call| call.over) {
                return self.drop_link(conn, out, Outcome::NotSent);
            }
        }
        (link.state, link.since) = (State::Busy, now);
        out.push(Output::Write(conn, std::mem::take(&mut link.pending)));
        self.arm_link(conn);
    }

    pub(crate) fn link_data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&conn) else { return };
        if link.state != State::Busy {
            // Bytes that nobody asked for: what follows could be taken for the next answer.
            return self.drop_link(conn, out, Outcome::Error);
        }
        link.since = now;
        let mut said = Vec::new();
        link.feed(bytes, &mut said);
        self.heard(conn, said, out);
    }

    pub(crate) fn link_eof(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        let mut said = Vec::new();
        if link.state == State::Busy && link.eof(&mut said) {
            self.heard(conn, said, out);
        }
        self.drop_link(conn, out, Outcome::Reset);
    }

    pub(crate) fn link_lost(&mut self, conn: ConnId, why: ConnectionLoss, out: &mut Vec<Output>) {
        if let Some(link) = self.forget_link(conn) {
            self.carried_ended(&link, loss_outcome(why), out);
        }
    }

    /// Its time is up: by its state, a connection that did not stand, an exchange without an answer, a stream that
    /// fell silent, or an idle connection.
    pub(crate) fn link_late(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(link) = self.links.get(&conn) else { return };
        match link.state {
            State::Connecting => self.drop_link(conn, out, Outcome::ConnectFailed),
            State::Busy => self.drop_link(conn, out, Outcome::TimedOut),
            State::Idle if self.pool.keeps_last_idle(link.engine) => {
                if let Some(link) = self.links.get_mut(&conn) {
                    link.since = self.now;
                }
                self.arm_link(conn);
            }
            State::Idle => {
                self.forget_link(conn);
                out.push(Output::CloseWhenSent(conn));
            }
        }
    }

    pub(crate) fn attempt_late(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(&id).filter(|c| c.begun.is_none()) else { return };
        let conn = call.attempts.get(attempt).filter(|a| a.out).and_then(|a| a.conn);
        if let Some(conn) = conn {
            self.drop_link(conn, out, Outcome::TimedOut);
        }
    }

    /// Takes what one connection said, in order.
    fn heard(&mut self, conn: ConnId, said: Vec<Said>, out: &mut Vec<Output>) {
        let mut piece = Vec::new();
        for said in said {
            let Some(link) = self.links.get(&conn) else { break };
            let (engine, used_for, load) = (link.engine, link.used_for, link.load);
            if link.state != State::Busy {
                // More than was asked for.
                self.drop_link(conn, out, Outcome::Error);
                break;
            }
            match (said, used_for) {
                (Said::Report(told), Use::Attempt { read: false, .. }) => {
                    // The head of a stream comes long before its end: what it tells of load is told now.
                    let report = self.report(&told);
                    if report != LoadReport::default() {
                        self.probed(engine, Outcome::Completed, report);
                    }
                }
                (Said::Report(told), _) => {
                    if let Some(link) = self.links.get_mut(&conn) {
                        link.load = Some(told);
                    }
                }
                (Said::Load(told), Use::Probe) => {
                    self.exchange_over(conn, out);
                    self.probed(engine, Outcome::Completed, load_report(&told));
                    self.note_start(engine, told.started);
                }
                (Said::Read { transfer, usage }, Use::Attempt { call, attempt, .. }) => {
                    self.exchange_over(conn, out);
                    let id = RequestId(call);
                    if let Some(call) = self.calls.get_mut(&id) {
                        call.has_read(attempt, transfer, usage);
                        let tokens = usage.prompt_tokens.saturating_sub(usage.cached_tokens());
                        self.gauges.read(call.class_name(), tokens);
                    }
                    self.ended(id, attempt, Outcome::Prefilled, usage.cached_tokens() as f64, load);
                }
                (Said::Chunk(chunk), Use::Attempt { call, attempt, .. }) => {
                    if !self.chunk(RequestId(call), attempt, &chunk, &mut piece, out) {
                        self.drop_link(conn, out, Outcome::Cancelled);
                    }
                }
                (Said::Done, Use::Attempt { call, attempt, read: false }) => {
                    self.flush(RequestId(call), &mut piece, out);
                    self.exchange_over(conn, out);
                    self.stream_done(RequestId(call), attempt, out);
                }
                (Said::Full { no_state }, Use::Attempt { call, attempt, .. }) => {
                    self.turned_away(conn, out);
                    self.ended(
                        RequestId(call),
                        attempt,
                        Outcome::Rejected { state_missing: no_state },
                        0.0,
                        load,
                    );
                }
                (Said::Wrong(status, message), Use::Attempt { call, attempt, .. }) => {
                    self.turned_away(conn, out);
                    self.wrong(RequestId(call), attempt, status, message, out);
                }
                (Said::Failed(why), _) => {
                    if let Use::Attempt { call, .. } = used_for {
                        self.flush(RequestId(call), &mut piece, out);
                    }
                    out.push(Output::Log(format!("engine {}: {why}", self.engine_name(engine))));
                    self.drop_link(conn, out, Outcome::Error);
                }
                (_, Use::Abort(n)) => {
                    self.releases.record_acknowledged(n, self.now);
                    self.exchange_over(conn, out);
                }
                (_, Use::Probe) => {
                    self.exchange_over(conn, out);
                    self.probed(engine, Outcome::Error, LoadReport::default());
                }
                (_, Use::Attempt { .. }) => self.drop_link(conn, out, Outcome::Error),
            }
        }
        if let Some(Use::Attempt { call, .. }) = self.links.get(&conn).map(|l| l.used_for) {
            self.flush(RequestId(call), &mut piece, out);
            self.check_pace(RequestId(call), out);
        }
    }

    /// An attempt was turned away. On a kept connection that may be an answer left over from the exchange before, with this
    /// attempt still at work: it is given up by closing the connection.
    fn turned_away(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if self.links.get(&conn).is_some_and(|link| !link.is_reused) {
            return self.exchange_over(conn, out);
        }
        self.forget_link(conn);
        out.push(Output::Abort(conn));
    }

    /// An exchange has ended in order: its connection is kept for the next, or closed.
    fn exchange_over(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let most = self.site.bounds.idle_per_engine;
        let Some(link) = self.links.get_mut(&conn) else { return };
        let engine = link.engine;
        (link.state, link.since) = (State::Idle, now);
        link.opened_for_release = false;
        if std::mem::take(&mut link.paused) {
            out.push(Output::Resume(conn));
        }
        let reusable = link.reusable;
        if reusable && self.pool.put_idle(engine, conn, most, now) {
            self.arm_link(conn);
            let waiting = self.releases.oldest_waiting_for(engine);
            if let Some((id, release)) = waiting.and_then(|id| Some((id, self.releases.get(id)?.clone()))) {
                self.send_release(id, &release, out);
            }
        } else {
            self.forget_link(conn);
            out.push(Output::CloseWhenSent(conn));
        }
    }

    fn note_start(&mut self, engine: slipreel::EngineId, started: Option<f64>) {
        let Some(wall) = started.and_then(|s| Duration::try_from_secs_f64(s).ok()) else { return };
        let started = wall.saturating_sub(self.epoch_ahead);
        let cold = self.site.settings.warmup_time;
        if let Some(event) = self.members.note_start(self.now, engine, started, cold) {
            self.tell_all(event);
        }
    }

    /// A piece of an answer. False if nobody wants it any more.
    fn chunk(
        &mut self, id: RequestId, attempt: usize, chunk: &Chunk, piece: &mut Vec<u8>, out: &mut Vec<Output>,
    ) -> bool {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.over) else { return false };
        if call.begun.is_none() && Writer::begins(chunk) {
            let taken = call.has_begun(attempt);
            let name = self.site.classes.get(call.class).map_or("", |c| &c.name);
            // Of a whole answer that begins anew the first beginning counts.
            if !call.has_begun_before() {
                self.gauges.first_token(name, now, call);
            }
            self.pool.state_released(taken);
            let latency = now.saturating_sub(call.attempts[attempt].sent);
            let (generation, conn, stream, whole_by) =
                (call.generation, call.attempts[attempt].conn, call.stream, call.whole_by);
            self.tell(generation, Event::FirstToken { request: id, attempt, latency });
            if stream {
                self.begin_stream(id, out);
            } else if let Some(at) = whole_by {
                self.wheel.set(at, crate::front::Alarm::Whole(id));
            }
            if let Some(conn) = conn {
                self.arm_link(conn);
            }
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.writer.chunk(chunk, piece);
        }
        true
    }

    /// The end of a stream: whole if the engine said why it ended.
    fn stream_done(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Output>) {
        let whole = self.calls.get(&id).is_some_and(|c| c.begun == Some(attempt) && c.writer.is_whole());
        if whole {
            self.serve_whole(id, out);
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
        let begun = self.calls.get(&id).filter(|c| c.begun == Some(attempt) && !c.over);
        let Some(call) = begun else { return self.ended(id, attempt, outcome, 0.0, None) };
        if call.writer.is_whole() {
            self.serve_whole(id, out);
            return self.ended(id, attempt, Outcome::Completed, 0.0, None);
        }
        if !call.stream {
            // Nothing of it has gone out: the module settles whether another attempt follows.
            if let Some(call) = self.calls.get_mut(&id) {
                call.begins_anew();
            }
            return self.ended(id, attempt, outcome, 0.0, None);
        }
        let error = match outcome {
            Outcome::TimedOut => ApiError::new(ErrorKind::Timeout, "the answer stopped coming"),
            _ => ApiError::new(ErrorKind::Api, "the answer broke off"),
        };
        self.answer_error(id, &error, None, Final::Failed, out);
        self.ended(id, attempt, outcome, 0.0, None);
    }

    fn wrong(&mut self, id: RequestId, attempt: usize, status: u16, message: String, out: &mut Vec<Output>) {
        let error = ApiError::new(ErrorKind::of_status(status), message);
        self.answer_error(id, &error, None, Final::Failed, out);
        self.ended(id, attempt, Outcome::Error, 0.0, None);
    }

    /// Pauses or resumes the engine's connection by what waits for the client.
    pub(crate) fn check_pace(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(&id) else { return };
        let Some(conn) = call.begun.and_then(|a| call.attempts[a].conn) else { return };
        let Some(unsent) = self.clients.get(&call.client).map(|c| c.unsent) else { return };
        let (now, bounds) = (self.now, &self.site.bounds);
        let Some(link) = self.links.get_mut(&conn) else { return };
        let pauses = limits::pauses(bounds, unsent, link.paused);
        if pauses != link.paused {
            (link.paused, link.since) = (pauses, now);
            out.push(if pauses { Output::Pause(conn) } else { Output::Resume(conn) });
            self.arm_link(conn);
        }
    }
}
