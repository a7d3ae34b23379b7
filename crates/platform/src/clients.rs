//! The clients' side: whole requests come in, one final answer goes out.

use crate::ask;
use crate::call::Call;
use crate::node::Node;
use crate::proof::AttemptEnd;
use crate::room;
use slipreel::{Event, Idempotency, Outcome, RequestId};
use slipreel_connections::{Client, Received, State};
use slipreel_protocol::http::{self, Limits};
use slipreel_state_machine::{ConnId, Output};
use std::time::Duration;

/// Connections of clients that may be closed to make room, those that go first before the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Eviction {
    /// Its first request has not come whole for a while.
    LongUnheard,
    /// It was answered and stands idle.
    Idle,
    /// It came a moment ago and has said nothing.
    JustCome,
    /// It came a moment ago, and a part of its first request is here.
    JustReceiving,
}

impl Node {
    // ---- In -----------------------------------------------------------------------------------

    pub(crate) fn accepted(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if self.clients.len() >= self.room.clients && !self.evict(out) {
            self.tally.turned += 1;
            return out.push(Output::Abort(conn));
        }
        let limits = Limits { head: room::HEAD, body: room::BODY, ..Limits::default() };
        let mut client =
            Client::new(conn, slipreel_state_machine::ListenerId(0), self.now, limits, room::AHEAD);
        if self.stopping.is_some() {
            client.last_answer();
        }
        self.clients.insert(conn, client);
        self.unheard.insert(conn, self.now);
        self.arm_client(conn);
    }

    /// Room for one more client is made by closing one whose first request has not come whole after a while, else the one
    /// that stands idle longest, else one that came a moment ago. False if all are at work.
    pub(crate) fn evict(&mut self, out: &mut Vec<Output>) -> bool {
        let ranked = self.clients.values().filter_map(|c| Some((self.eviction_rank(c)?, c.since, c.conn)));
        let Some((_, _, conn)) = ranked.min() else { return false };
        let Some(client) = self.clients.get_mut(&conn) else { return false };
        if client.state == State::Receiving {
            // Its last byte may be on its way: no request is read in part and then closed without an answer.
            client.last_answer();
            self.turn(conn, 503, "no room is left for it", out);
            return true;
        }
        self.tally.turned += 1;
        // One that was answered ends in order: a reset would take the answer with it if that is still on its way, and a
        // request that comes in just now is one that was never read.
        let silent = self.unheard.contains_key(&conn);
        out.push(if silent { Output::Abort(conn) } else { Output::CloseWhenSent(conn) });
        self.forget_client(conn);
        true
    }

    /// Which connections make room first; none that is at work.
    fn eviction_rank(&self, client: &Client) -> Option<Eviction> {
        let unheard_since = self.unheard.get(&client.conn).copied();
        let is_old = |since: Duration| self.now >= since + room::YOUNG;
        match (unheard_since, client.state) {
            (_, State::Serving(_)) | (None, State::Receiving) => None,
            (None, State::Idle) => Some(Eviction::Idle),
            (Some(since), _) if is_old(since) => Some(Eviction::LongUnheard),
            (Some(_), State::Idle) => Some(Eviction::JustCome),
            (Some(_), State::Receiving) => Some(Eviction::JustReceiving),
        }
    }

    pub(crate) fn client_data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let before = client.state;
        client.feed(now, bytes, out);
        self.read_requests(conn, out);
        if self.clients.get(&conn).is_some_and(|c| c.state != before) {
            self.arm_client(conn);
        }
    }

    /// Takes the requests that have come in whole, one after another as each is answered.
    fn read_requests(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        loop {
            let now = self.now;
            let Some(client) = self.clients.get_mut(&conn) else { return };
            match client.receive(now, out) {
                Ok(None) => return,
                Ok(Some(received)) => {
                    self.unheard.remove(&conn);
                    self.route(conn, received, out);
                }
                Err(why) => {
                    client.last_answer();
                    return self.turn(conn, why.status, &why.why, out);
                }
            }
        }
    }

    fn route(&mut self, conn: ConnId, received: Received, out: &mut Vec<Output>) {
        match (received.method(), received.path()) {
            ("GET", "/-/ready") => {
                let status = if self.ready { 200 } else { 503 };
                self.answer(conn, status, &[], b"{}", out);
            }
            (_, path) if path.starts_with("/-/") => self.turn(conn, 404, "no such path", out),
            _ => self.ask(conn, received, out),
        }
    }

    fn ask(&mut self, conn: ConnId, received: Received, out: &mut Vec<Output>) {
        let ask = match ask::read(&self.profile, &received) {
            Ok(ask) => ask,
            Err(ask::Bad(status, why)) => return self.turn(conn, status, &why, out),
        };
        if self.stopping_for(self.leaves()) {
            // All that was taken before has its answer by now, and the process may be killed at any time.
            return self.turn(conn, 503, "this router is about to end", out);
        }
        if self.names.contains_key(&ask.name) {
            // The other one's attempts and answer go on unharmed.
            return self.turn(conn, 409, "X-Request-Id: a request of this id is open", out);
        }
        if self.sent_on.contains(self.now, &ask.name) {
            return self.turn(conn, 409, "X-Request-Id: a request of this id was sent on before", out);
        }
        let bytes = received.body.len();
        if self.held_bytes + bytes > self.room.bytes {
            self.tally.turned += 1;
            return self.turn(conn, 503, "no memory is left for it", out);
        }
        self.next_call += 1;
        let id = RequestId(self.next_call);
        let mut request = ask.request;
        request.id = id;
        // Its client's time runs from its last byte, also while it waits behind the request before it.
        let deadline = received.arrived.saturating_add(request.client_timeout);
        request.client_timeout = deadline.saturating_sub(self.now);
        let class = self.profile.settings.classes.get(request.class.0);
        let effect = class.map_or(Idempotency::NotIdempotent, |c| c.idempotency);
        let aim = class.map(|c| {
            c.latency_objective + c.latency_objective_per_1000_tokens.mul_f64(request.prompt_tokens / 1e3)
        });
        let wanted = self.now.saturating_add(aim.unwrap_or(Duration::MAX));
        if let Some(client) = self.clients.get_mut(&conn) {
            client.state = State::Serving(Some(id.0));
        }
        let (times, prompt) = ([deadline, wanted], request.prompt_tokens as u64);
        let call =
            Call::new(ask.name.clone(), conn, effect != Idempotency::Idempotent, times, prompt, received);
        self.held_bytes += bytes;
        self.calls.insert(id, call);
        self.names.insert(ask.name, id);
        self.tally.taken += 1;
        self.tell(Event::Request(request));
    }

    pub(crate) fn client_eof(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        // A client that closes its connection has gone away, whatever it still waits for.
        if self.clients.contains_key(&conn) {
            out.push(Output::CloseWhenSent(conn));
            self.client_gone(conn, out);
        }
    }

    pub(crate) fn client_gone(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let call = match self.clients.get(&conn).map(|c| c.state) {
            Some(State::Serving(Some(call))) => Some(RequestId(call)),
            _ => None,
        };
        self.forget_client(conn);
        let Some(id) = call.filter(|id| self.calls.get(id).is_some_and(|c| !c.over)) else { return };
        self.tally.left += 1;
        self.tally.fruitless += u64::from(self.calls.get(&id).is_some_and(|c| c.begun.is_none()));
        self.close(id);
        self.tell(Event::ClientDisconnected(id));
        let begun = self.calls.get(&id).and_then(|c| c.attempts[c.begun?].conn);
        if let Some(link) = begun {
            // A stream that nobody reads.
            self.drop_link(link, AttemptEnd::may_have_run(Outcome::Cancelled), out);
        }
    }

    pub(crate) fn client_sent(&mut self, conn: ConnId, n: usize, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.unsent = client.unsent.saturating_sub(n);
        client.moved = now;
        if let State::Serving(Some(call)) = client.state {
            self.check_pace(RequestId(call), out);
        }
    }

    /// Its time is up, by its state.
    pub(crate) fn client_late(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        match client.state {
            State::Receiving => {
                client.last_answer();
                self.turn(conn, 408, "the request did not come whole in time", out);
            }
            State::Idle => {
                out.push(Output::CloseWhenSent(conn));
                self.forget_client(conn);
            }
            // It takes nothing of what waits for it.
            State::Serving(_) => {
                out.push(Output::Abort(conn));
                self.client_gone(conn, out);
            }
        }
    }

    // ---- Out ----------------------------------------------------------------------------------

    /// An answer that the module has not been asked for.
    fn turn(&mut self, conn: ConnId, status: u16, why: &str, out: &mut Vec<Output>) {
        self.tally.turned += 1;
        let body = serde_json::json!({ "error": why }).to_string();
        self.answer(conn, status, &[], body.as_bytes(), out);
    }

    fn answer(
        &mut self, conn: ConnId, status: u16, fields: &[(&str, &str)], body: &[u8], out: &mut Vec<Output>,
    ) {
        let stopping = self.stopping.is_some();
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if stopping {
            client.last_answer();
        }
        client.answer(status, fields, body, out);
        self.client_done(conn, out);
    }

    fn client_done(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.done(now, out) {
            self.arm_client(conn);
        } else {
            self.forget_client(conn);
        }
    }

    /// A request has its final answer, or needs none any more.
    fn close(&mut self, id: RequestId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if !std::mem::replace(&mut call.over, true) {
            if call.begun.is_none() {
                self.held_bytes = self.held_bytes.saturating_sub(call.bytes());
            }
            self.names.remove(&call.name);
            self.reap.push(id);
        }
    }

    /// Writes a final answer that is no stream, and goes on with what the client has sent ahead.
    fn answer_call(
        &mut self, id: RequestId, status: u16, fields: &[(&str, &str)], why: &str, out: &mut Vec<Output>,
    ) {
        let Some(conn) = self.calls.get(&id).filter(|c| !c.over).map(|c| c.client) else { return };
        self.close(id);
        let body = serde_json::json!({ "error": why }).to_string();
        self.answer(conn, status, fields, body.as_bytes(), out);
        self.read_requests(conn, out);
    }

    pub(crate) fn refuse(
        &mut self, id: RequestId, after: Option<Duration>, over_share: bool, out: &mut Vec<Output>,
    ) {
        self.tally.refused += 1;
        let tried = self.calls.get(&id).is_some_and(|c| !c.attempts.is_empty());
        *(if tried { &mut self.tally.fruitless } else { &mut self.tally.refused_early }) += 1;
        self.say_why("refused", id, out);
        let after = after.map(|after| format!("{:.3}", after.as_secs_f64()));
        let fields: Vec<(&str, &str)> = after.iter().map(|after| ("retry-after", after.as_str())).collect();
        let status = if over_share { 429 } else { 503 };
        self.answer_call(id, status, &fields, "turned away; trying again is harmless", out);
    }

    pub(crate) fn fail(&mut self, id: RequestId, out: &mut Vec<Output>) {
        self.tally.failed += 1;
        self.tally.fruitless += 1;
        self.say_why("failed", id, out);
        self.answer_call(id, 502, &[], "failed; it may have run", out);
    }

    /// How a request came to its end, for the staff.
    fn say_why(&mut self, what: &str, id: RequestId, out: &mut Vec<Output>) {
        let Some(story) = self.calls.get(&id).map(|c| c.story(self.now)) else { return };
        self.note(|| format!("{what}: {story}"), out);
    }

    pub(crate) fn begin_stream(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(client) = self.calls.get(&id).map(|c| c.client) else { return };
        if let Some(client) = self.clients.get_mut(&client) {
            if self.stopping.is_some() {
                client.last_answer();
            }
            client.begin_stream(&[], out);
        }
    }

    pub(crate) fn stream_on(&mut self, id: RequestId, events: &[u8], out: &mut Vec<Output>) {
        let Some(client) = self.calls.get(&id).map(|c| c.client) else { return };
        if let Some(client) = self.clients.get_mut(&client) {
            client.write(http::chunk(events), out);
        }
    }

    /// A stream has come whole.
    pub(crate) fn serve_whole(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(conn) = self.calls.get(&id).filter(|c| !c.over).map(|c| c.client) else { return };
        self.close(id);
        self.tally.served += 1;
        if let Some(client) = self.clients.get_mut(&conn) {
            client.write(http::LAST_CHUNK.to_vec(), out);
        }
        self.client_done(conn, out);
        self.read_requests(conn, out);
    }

    /// A stream has broken: the client's connection ends in order, without the last chunk.
    pub(crate) fn break_off(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(conn) = self.calls.get(&id).filter(|c| !c.over).map(|c| c.client) else { return };
        self.say_why("broke off", id, out);
        self.close(id);
        self.tally.failed += 1;
        self.tally.broken += 1;
        if self.clients.contains_key(&conn) {
            out.push(Output::CloseWhenSent(conn));
            self.forget_client(conn);
        }
    }

    /// A stream is moved: it ends where it stands, and its client asks for the rest.
    pub(crate) fn move_stream(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(conn) = self.calls.get(&id).filter(|c| !c.over).and_then(|c| c.attempts[c.begun?].conn)
        else {
            return;
        };
        self.break_off(id, out);
        self.drop_link(conn, AttemptEnd::may_have_run(Outcome::Cancelled), out);
    }
}
