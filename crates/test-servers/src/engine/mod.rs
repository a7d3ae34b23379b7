//! An engine as a state machine: an HTTP server around a scheduler with a queue, slots, memory and steps.
//!
//! It speaks the published protocol of the open engine (chat completions with `kv_transfer_params`,
//! `/metrics`, `/health`, ORCA headers). Its extensions, how states are fetched and released and how requests
//! are rejected, are described in `docs/protocols.md`. `spec` holds its parameters, `scheduler` schedules its
//! requests, `fetch` fetches states and `faults` injects faults.

mod answers;
mod faults;
mod fetch;
#[doc(hidden)]
pub mod scheduler;
mod spec;

pub use faults::{Fault, Garbage};
pub use spec::{EngineSpec, Role};

use crate::ledger::Ledger;
use crate::mark::Mark;
use faults::Faults;
use fetch::{Fetched, Fetches};
use scheduler::{ActiveRequest, RequestKind, Scheduler, State, Transfer};
use serde_json::{json, Value};
use slipreel_invariants::{ClientAttempt, Seen, Stage};
use slipreel_protocol::engine::{write_metrics, Load, ENGINE_FULL, NO_STATE};
use slipreel_protocol::http::{self, Decoder, Framing, Head, Item, Limits, Side, Start};
use slipreel_roles::{Order, RoleRecord};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Once this many bytes wait to be sent to a client, its answer gets no more tokens.
const MAX_UNSENT_BYTES: usize = 256 << 10;

/// The most past loads that are kept for delayed reports.
const MAX_PAST_LOADS: usize = 4_096;

/// A connection from a client: a router or another engine.
struct Conn {
    decoder: Decoder,
    head: Option<Head>,
    body: Vec<u8>,
    /// The request that is being answered.
    active_request: Option<u64>,
    unsent: usize,
    /// The state that is being sent: it is released once all of it has been sent.
    serves_state: Option<u64>,
    /// Requests are not read before then.
    ready_at: Duration,
    /// An attempt that has arrived and that the engine has not read yet.
    unread_attempt: Option<ClientAttempt>,
}

/// A test engine. As owner messages it accepts a [`Fault`], or a [`Role`] to change to.
pub struct Engine {
    spec: EngineSpec,
    ledger: Ledger,
    scheduler: Scheduler,
    role: RoleRecord,
    /// Wall time when the clock of the run is zero.
    wall: Duration,
    faults: Faults,
    conns: BTreeMap<ConnId, Conn>,
    fetches: Fetches,
    /// Past loads, for delayed reports.
    past_loads: VecDeque<(Duration, Load)>,
    stopping: bool,
    stopped: bool,
    crashed: bool,
}

/// The header that names the policy epoch under which the router accepted a request.
const POLICY_HEADER: &str = "x-slipreel-policy";

impl Engine {
    /// An engine that starts at `now`, empty and not at full speed yet. `wall` is the wall time then.
    pub fn new(spec: EngineSpec, ledger: Ledger, now: Duration, wall: Duration) -> Self {
        let scheduler = Scheduler::new(&spec, now, wall);
        Engine {
            role: RoleRecord::started(spec.role.into(), 0, now),
            wall: wall.saturating_sub(now),
            spec,
            ledger,
            scheduler,
            faults: Faults::default(),
            conns: BTreeMap::new(),
            fetches: Fetches::default(),
            past_loads: VecDeque::new(),
            stopping: false,
            stopped: false,
            crashed: false,
        }
    }

    /// An engine that has run long enough to be at full speed.
    pub fn warm(mut spec: EngineSpec, ledger: Ledger, now: Duration, wall: Duration) -> Self {
        let age = spec.cold_time * 4;
        spec.age = age;
        Engine::new(spec, ledger, now.saturating_sub(age), wall.saturating_sub(age))
    }

    /// Its name in records.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// The states that it holds for decode engines. They are released when it dies.
    pub fn held(&self) -> Vec<u64> {
        self.scheduler.states.keys().copied().collect()
    }

    fn note(&self, now: Duration, seen: Seen) {
        self.ledger.note(now, seen);
    }

    /// The load to report: the current one, or the one of `report_delay` ago.
    fn load(&self, now: Duration) -> Load {
        let delay = self.faults.report_delay;
        let past =
            self.past_loads.iter().rev().find(|(at, _)| *at + delay <= now).or(self.past_loads.front());
        past.filter(|_| !delay.is_zero()).map_or_else(|| self.scheduler.load(), |&(_, load)| load)
    }

    /// Stores the current load for delayed reports.
    fn record_load(&mut self, now: Duration) {
        let delay = self.faults.report_delay;
        if delay.is_zero() {
            return self.past_loads.clear();
        }
        self.past_loads.push_back((now, self.scheduler.load()));
        while self.past_loads.len() > 1 && self.past_loads[1].0 + delay <= now
            || self.past_loads.len() > MAX_PAST_LOADS
        {
            self.past_loads.pop_front();
        }
    }

    // ---- Connections --------------------------------------------------------------------------

    fn receive(&mut self, now: Duration, id: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.decoder.feed(bytes);
        if self.faults.unresponsive || now < conn.ready_at {
            // The attempt has arrived all the same. It is open until its connection ends or the engine reads
            // it.
            let text = String::from_utf8_lossy(bytes);
            conn.unread_attempt = Mark::find(&text).map(|m| m.attempt).or(conn.unread_attempt);
            let via = text.split_once("via: 1.1 ").and_then(|(_, rest)| rest.split("\r\n").next());
            if let (Some(what), Some(router)) = (conn.unread_attempt, via) {
                let (engine, router) = (self.spec.name.clone(), router.to_owned());
                self.note(now, Seen::Arrived { engine, router, attempt: what, stage: Stage::Decode });
            }
        }
        self.read_requests(now, id, out);
    }

    /// Ends an attempt that the engine had not read: it is being read now, or its connection has closed.
    fn end_unread(&mut self, now: Duration, id: ConnId) {
        if let Some(what) = self.conns.get_mut(&id).and_then(|c| c.unread_attempt.take()) {
            self.note(
                now,
                Seen::Finished { engine: self.spec.name.clone(), attempt: what, stage: Stage::Decode },
            );
        }
    }

    /// Reads and handles complete requests, unless the connection still waits for an answer.
    fn read_requests(&mut self, now: Duration, id: ConnId, out: &mut Vec<Output>) {
        loop {
            let Some(conn) = self.conns.get_mut(&id) else { return };
            if conn.active_request.is_some()
                || conn.serves_state.is_some()
                || now < conn.ready_at
                || self.faults.unresponsive
            {
                return;
            }
            match conn.decoder.next_item() {
                Ok(Some(Item::Head(head))) => conn.head = Some(head),
                Ok(Some(Item::Body(piece))) => conn.body.extend_from_slice(&piece),
                Ok(Some(Item::End)) => {
                    let (Some(head), body) = (conn.head.take(), std::mem::take(&mut conn.body)) else {
                        return;
                    };
                    self.end_unread(now, id);
                    self.handle_request(now, id, &head, &body, out);
                }
                Ok(None) => return,
                Err(_) => return self.abort_connection(now, id, out),
            }
        }
    }

    fn write(&mut self, id: ConnId, bytes: Vec<u8>, out: &mut Vec<Output>) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.unsent += bytes.len();
            out.push(Output::Write(id, bytes));
        }
    }

    fn answer(&mut self, id: ConnId, status: u16, body: &str, out: &mut Vec<Output>) {
        let mut bytes =
            http::response_head(status, &[("content-type", "application/json")], Framing::Length(body.len()));
        bytes.extend_from_slice(body.as_bytes());
        self.write(id, bytes, out);
    }

    fn error(&mut self, id: ConnId, status: u16, kind: &str, message: &str, out: &mut Vec<Output>) {
        let body = json!({"error": {"type": kind, "message": message, "code": status}}).to_string();
        self.answer(id, status, &body, out);
    }

    fn abort_connection(&mut self, now: Duration, id: ConnId, out: &mut Vec<Output>) {
        out.push(Output::Abort(id));
        self.connection_closed(now, id, out);
    }

    /// A connection has closed: its request is cancelled, and the state that was being sent on it stays held.
    fn connection_closed(&mut self, now: Duration, id: ConnId, out: &mut Vec<Output>) {
        self.end_unread(now, id);
        let Some(conn) = self.conns.remove(&id) else { return };
        if let Some(state) = conn.serves_state {
            if let Some(state) = self.scheduler.states.get_mut(&state) {
                state.is_being_sent = false;
            }
        }
        if let Some(request) = conn.active_request {
            self.cancel(now, request, out);
        }
    }

    /// Cancels a request, queued or running.
    fn cancel(&mut self, now: Duration, id: u64, out: &mut Vec<Output>) {
        let Some(request) = self.scheduler.remove(id) else { return };
        self.note_over(now, &request);
        self.fetches.cancel(id, out);
    }

    /// Records that an attempt is over at this engine.
    fn note_over(&self, now: Duration, request: &ActiveRequest) {
        if let Some(what) = request.attempt() {
            self.note(
                now,
                Seen::Finished { engine: self.spec.name.clone(), attempt: what, stage: request.stage() },
            );
        }
    }

    // ---- Requests -----------------------------------------------------------------------------

    fn handle_request(&mut self, now: Duration, id: ConnId, head: &Head, body: &[u8], out: &mut Vec<Output>) {
        let Start::Request { method, target } = &head.start else { return };
        match (method.as_str(), target.as_str()) {
            ("GET", "/health") => self.answer(id, 200, "", out),
            ("GET", "/metrics") => {
                let load =
                    Load { started: Some(self.scheduler.started_wall.as_secs_f64()), ..self.load(now) };
                let text = write_metrics(&load);
                let mut bytes = http::response_head(
                    200,
                    &[("content-type", "text/plain; version=0.0.4")],
                    Framing::Length(text.len()),
                );
                bytes.extend_from_slice(text.as_bytes());
                self.write(id, bytes, out);
            }
            ("POST", "/abort_requests") => self.abort_requests(now, id, body, out),
            ("GET", "/role") => self.answer_role(id, 200, out),
            ("POST", "/role") => self.handle_role_order(now, id, body, out),
            ("GET", path) if path.starts_with("/state/") => {
                let state = path["/state/".len()..].parse().unwrap_or(0);
                self.serve_state(id, state, out);
            }
            ("POST", "/v1/chat/completions") => self.chat(now, id, head, body, out),
            _ => self.error(id, 404, "not_found", "no such path", out),
        }
    }

    fn abort_requests(&mut self, now: Duration, id: ConnId, body: &[u8], out: &mut Vec<Output>) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        for name in value["request_ids"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            let matches_name =
                |(&state, s): (&u64, &State)| (s.request_id == name && !s.is_being_sent).then_some(state);
            let matching: Vec<u64> = self.scheduler.states.iter().filter_map(matches_name).collect();
            for state in matching {
                self.release_state(now, state);
            }
            let requests: Vec<(u64, ConnId)> = self
                .scheduler
                .requests
                .values()
                .filter(|r| r.request_id == name)
                .map(|r| (r.id, r.conn))
                .collect();
            for (request, conn) in requests {
                self.cancel(now, request, out);
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.active_request = None;
                }
                self.abort_connection(now, conn, out);
            }
        }
        self.answer(id, 200, "{}", out);
    }

    fn answer_role(&mut self, id: ConnId, status: u16, out: &mut Vec<Output>) {
        let state = self.role.state();
        let body = json!({"role": Role::from(state.role).name(), "epoch": state.epoch,
                          "started": (state.started + self.wall).as_secs_f64(),
                          "serving": self.role.takes_work()});
        self.answer(id, status, &body.to_string(), out);
    }

    /// Handles an order to change the role: `{"to": "write", "replaces": 3}`. Answers 409 and the current
    /// role if it is rejected.
    fn handle_role_order(&mut self, now: Duration, id: ConnId, body: &[u8], out: &mut Vec<Output>) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let to = value["to"].as_str().and_then(Role::from_name);
        let (Some(to), Some(replaces)) = (to, value["replaces"].as_u64()) else {
            return self.error(
                id,
                400,
                "BadRequestError",
                "expected to (read, write, both) and replaces",
                out,
            );
        };
        let accepted = self.role.order(now, Order { replaces, to: to.into() }).is_ok();
        self.report_role();
        self.answer_role(id, if accepted { 202 } else { 409 }, out);
        self.change_role(now);
    }

    /// Takes on the new role once no request or state of the old one is left. The engine is then like a newly
    /// started one: empty, with no cached prefixes and not at full speed.
    fn change_role(&mut self, now: Duration) {
        let Some(state) =
            self.role.report_remaining_work(now, self.scheduler.requests.len(), self.scheduler.states.len())
        else {
            return;
        };
        self.spec.role = state.role.into();
        self.scheduler = Scheduler::new(&self.spec, state.started, state.started + self.wall);
        self.report_role();
    }

    /// Reports the role and whether the engine accepts work in it.
    fn report_role(&self) {
        let state = self.role.state();
        self.ledger.report_role(&self.spec.name, state.role.into(), self.role.takes_work());
    }

    fn release_state(&mut self, now: Duration, state: u64) {
        if self.scheduler.release(state) {
            self.note(now, Seen::StateReleased { engine: self.spec.name.clone(), state });
        }
    }

    fn serve_state(&mut self, id: ConnId, state: u64, out: &mut Vec<Output>) {
        let Some(held) = self.scheduler.states.get_mut(&state).filter(|s| !s.is_being_sent) else {
            return self.error(id, 404, NO_STATE, "no such state", out);
        };
        held.is_being_sent = true;
        let bytes = held.tokens as usize;
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.serves_state = Some(state);
        }
        let mut answer = http::response_head(200, &[], Framing::Length(bytes));
        answer.resize(answer.len() + bytes, b'k');
        self.write(id, answer, out);
    }

    fn sent(&mut self, now: Duration, id: ConnId, n: usize, out: &mut Vec<Output>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.unsent = conn.unsent.saturating_sub(n);
        if conn.unsent == 0 {
            if let Some(state) = conn.serves_state.take() {
                self.release_state(now, state);
                self.read_requests(now, id, out);
            }
        }
    }

    fn chat(&mut self, now: Duration, id: ConnId, head: &Head, body: &[u8], out: &mut Vec<Output>) {
        let Some(request) = self.parse_request(id, head, body) else {
            return self.error(id, 400, "BadRequestError", "expected a chat completion", out);
        };
        let what = request.attempt();
        if let Some(what) = what {
            let (engine, router) = (self.spec.name.clone(), request.router.clone());
            let epoch = head.get(POLICY_HEADER).and_then(|e| e.parse().ok());
            let (by, on) = (router.clone(), slipreel_invariants::policy::StampedMessage::Attempt);
            self.note(now, Seen::Stamped { router: by, attempt: what, epoch, on });
            self.note(now, Seen::Arrived { engine, router, attempt: what, stage: request.stage() });
        }
        if self.scheduler.overloads_cold_engine(now, &self.spec, &request) && !self.crashed {
            self.crashed = true;
            self.note(now, Seen::EngineOverloaded(self.spec.name.clone()));
        }
        if self.crashed {
            self.note_over(now, &request);
            return self.abort_connection(now, id, out);
        }
        if self.faults.closes_on_use {
            self.note_over(now, &request);
            return self.abort_connection(now, id, out);
        }
        // A request for the wrong phase comes from a router whose engine list is out of date.
        let is_wrong_phase = match request.kind {
            RequestKind::Prefill => self.spec.role == Role::Decode,
            RequestKind::Decode => self.spec.role == Role::Prefill,
        };
        let is_rejected =
            self.faults.rejects(&String::from_utf8_lossy(body)) || self.stopping || is_wrong_phase;
        let is_rejected = is_rejected || !self.role.takes_work();
        if is_rejected || self.scheduler.is_full(&self.spec) {
            self.note_over(now, &request);
            return self.error(id, 503, ENGINE_FULL, "slots and queue are full", out);
        }
        let no_state = request.kind == RequestKind::Decode
            && request.transfer.is_none()
            && self.spec.role == Role::Decode;
        if no_state {
            self.note_over(now, &request);
            return self.error(id, 409, NO_STATE, "there is no state to fetch", out);
        }
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.active_request = Some(request.id);
        }
        self.scheduler.enqueue(request);
        self.run_due_steps(now, out);
    }

    fn parse_request(&mut self, conn: ConnId, head: &Head, body: &[u8]) -> Option<ActiveRequest> {
        let value: Value = serde_json::from_slice(body).ok()?;
        let messages = value["messages"].as_array()?;
        let params = &value["kv_transfer_params"];
        let is_prefill = params["do_remote_decode"] == true;
        let kind = if is_prefill { RequestKind::Prefill } else { RequestKind::Decode };
        let fetch_from = if params["do_remote_prefill"] == true {
            let port = u16::try_from(params["remote_port"].as_u64()?).ok()?;
            let host = params["remote_host"].as_str()?.parse().ok()?;
            Some(Transfer {
                addr: SocketAddr::new(host, port),
                state: params["remote_block_ids"][0].as_u64()?,
            })
        } else {
            None
        };
        let texts: Vec<String> = messages.iter().map(|m| m["content"].to_string()).collect();
        let mark = texts.last().and_then(|t| Mark::find(t));
        let max_tokens = u32::try_from(value["max_tokens"].as_u64()?).ok()?;
        let via = head.get("via").and_then(|v| v.split_once(' ')).map_or("", |(_, name)| name);
        let mut request = ActiveRequest {
            id: self.scheduler.next_id(),
            conn,
            request_id: head.get("x-request-id").unwrap_or_default().to_owned(),
            router: via.to_owned(),
            idempotency_key: head.get("idempotency-key").map(str::to_owned),
            mark,
            kind,
            prompt_tokens: 0,
            cached: 0,
            prefill_left: 0,
            max_tokens,
            length: mark.map_or(16, |m| m.length).min(max_tokens),
            emitted: 0,
            stream: value["stream"] == true,
            has_begun: false,
            has_run: false,
            is_answer_lost: false,
            transfer: fetch_from,
            prefixes: Vec::new(),
        };
        self.scheduler.measure(&mut request, &texts);
        Some(request)
    }

    // ---- Steps --------------------------------------------------------------------------------

    /// Admits requests for which there is room, completes the steps that are due and starts the next one.
    fn run_due_steps(&mut self, now: Duration, out: &mut Vec<Output>) {
        loop {
            self.admit(now, out);
            if !self.scheduler.step_due(now) {
                break;
            }
            let done = self.scheduler.end_step();
            for id in done.prefilled {
                self.finish_prefill(now, id, out);
            }
            for id in done.decoded {
                self.emit_token(now, id, out);
            }
            for id in self.scheduler.over_memory() {
                self.scheduler.requeue(id);
            }
        }
        let factor = self.scheduler.speed_factor(now, &self.spec) / self.faults.slowdown;
        let stalled: Vec<u64> =
            self.scheduler.running.iter().copied().filter(|id| self.is_stalled(*id)).collect();
        self.scheduler.start_step(now, &self.spec, factor, &stalled);
    }

    /// Whether the client of a request does not read its answer.
    fn is_stalled(&self, id: u64) -> bool {
        let conn = self.scheduler.requests.get(&id).and_then(|r| self.conns.get(&r.conn));
        conn.is_some_and(|c| c.unsent > MAX_UNSENT_BYTES)
    }

    fn admit(&mut self, now: Duration, out: &mut Vec<Output>) {
        while let Some(id) = self.scheduler.admit(&self.spec) {
            let Some(request) = self.scheduler.requests.get(&id) else { continue };
            if let Some(transfer) = request.transfer {
                self.fetches.start(now, id, transfer, out);
            } else {
                self.record_run(now, id);
            }
        }
    }

    /// Records that a request has run, when its decode begins. A repeat of an idempotency key is not recorded.
    fn record_run(&mut self, now: Duration, id: u64) {
        let Some(request) = self.scheduler.requests.get_mut(&id) else { return };
        if request.kind == RequestKind::Prefill || std::mem::replace(&mut request.has_run, true) {
            return;
        }
        let new = match &request.idempotency_key {
            Some(key) => self.ledger.first_use(now, &self.spec.group, key, self.spec.key_window),
            None => true,
        };
        if let Some(what) = request.attempt().filter(|_| new) {
            self.note(now, Seen::Ran { engine: self.spec.name.clone(), attempt: what });
        }
    }

    /// Handles the result of a fetch.
    fn fetched(&mut self, now: Duration, ended: Option<Fetched>, out: &mut Vec<Output>) {
        match ended {
            Some(Fetched::Done(request)) => {
                self.scheduler.fetched(request);
                self.record_run(now, request);
                self.run_due_steps(now, out);
            }
            Some(Fetched::Failed(request)) => self.fail_fetch(now, request, out),
            None => {}
        }
    }

    /// Answers 409 to a request whose state could not be fetched.
    fn fail_fetch(&mut self, now: Duration, id: u64, out: &mut Vec<Output>) {
        let Some(request) = self.scheduler.remove(id) else { return };
        self.note_over(now, &request);
        if let Some(conn) = self.conns.get_mut(&request.conn) {
            conn.active_request = None;
            self.error(request.conn, 409, NO_STATE, "the state could not be fetched", out);
        }
        self.run_due_steps(now, out);
    }

    /// Ends the exchange of a request and reads the next one from its connection.
    fn finish_exchange(&mut self, now: Duration, request: &ActiveRequest, out: &mut Vec<Output>) {
        self.note_over(now, request);
        if let Some(conn) = self.conns.get_mut(&request.conn) {
            conn.active_request = None;
        }
        self.read_requests(now, request.conn, out);
    }

    fn apply_fault(&mut self, now: Duration, fault: &Fault, out: &mut Vec<Output>) {
        self.faults.apply(fault);
        if let Fault::DropConnections = fault {
            let ids: Vec<ConnId> = self.conns.keys().copied().collect();
            ids.into_iter().for_each(|id| self.abort_connection(now, id, out));
        }
        if !self.faults.unresponsive {
            let ids: Vec<ConnId> = self.conns.keys().copied().collect();
            ids.into_iter().for_each(|id| self.read_requests(now, id, out));
        }
        self.run_due_steps(now, out);
    }
}

impl Machine for Engine {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        // Steps that are due come first, in whatever order the driver delivers inputs, so that reported loads
        // are current.
        self.run_due_steps(now, out);
        match input {
            Input::Accepted(id, _) => {
                if self.crashed {
                    out.push(Output::Abort(id));
                    return;
                }
                let limits = Limits { body: 64 << 20, ..Limits::default() };
                let conn = Conn {
                    decoder: Decoder::new(Side::Server, limits),
                    head: None,
                    body: Vec::new(),
                    active_request: None,
                    unsent: 0,
                    serves_state: None,
                    ready_at: now + self.faults.handshake_delay,
                    unread_attempt: None,
                };
                self.conns.insert(id, conn);
            }
            Input::Connected(id) => self.fetches.connected(id, out),
            Input::Data(id, bytes) if id.is_opened() => {
                let ended = self.fetches.receive(now, id, bytes, out);
                self.fetched(now, ended, out);
            }
            Input::Data(id, bytes) => self.receive(now, id, bytes, out),
            Input::Eof(id) | Input::Lost(id, _) if id.is_opened() => {
                if let Input::Eof(id) = input {
                    out.push(Output::Abort(id));
                }
                let ended = self.fetches.lost(id, out);
                self.fetched(now, ended, out);
            }
            Input::Eof(id) => {
                out.push(Output::CloseWhenSent(id));
                self.connection_closed(now, id, out);
            }
            Input::Lost(id, _) => self.connection_closed(now, id, out),
            Input::PeerClosedWhilePaused(_) | Input::DescriptorsExhausted(_) => {}
            Input::Sent(id, n) => self.sent(now, id, n, out),
            Input::Wake => {
                for request in self.fetches.expire(now, out) {
                    self.fail_fetch(now, request, out);
                }
                let expired: Vec<u64> = self.scheduler.expired_states(now, self.spec.hold_time);
                expired.into_iter().for_each(|state| self.release_state(now, state));
                let waiting: Vec<ConnId> = self
                    .conns
                    .iter()
                    .filter(|(_, c)| c.active_request.is_none() && c.decoder.buffered() > 0)
                    .map(|(&c, _)| c)
                    .collect();
                waiting.into_iter().for_each(|id| self.read_requests(now, id, out));
            }
            Input::Stop => self.stopping = true,
            Input::Datagram(..) => {}
            Input::OwnerMessage(message) => {
                if let Some(fault) = message.downcast_ref::<Fault>() {
                    self.apply_fault(now, fault, out);
                }
                if let Some(to) = message.downcast_ref::<Role>() {
                    let replaces = self.role.state().epoch;
                    // The order is rejected if the engine already has the role.
                    let _ = self.role.order(now, Order { replaces, to: (*to).into() });
                }
            }
        }
        self.run_due_steps(now, out);
        self.record_load(now);
        self.change_role(now);
        if self.stopping
            && !self.stopped
            && self.scheduler.requests.is_empty()
            && self.scheduler.states.is_empty()
        {
            self.stopped = true;
            out.push(Output::Stopped);
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        let fetch_timeout = self.fetches.next_timeout();
        let serve_at = self
            .conns
            .values()
            .filter(|c| c.decoder.buffered() > 0 && c.active_request.is_none())
            .map(|c| c.ready_at)
            .min();
        let serve_at = serve_at.filter(|_| !self.faults.unresponsive);
        let state_expiry = self.scheduler.oldest_state().map(|at| at + self.spec.hold_time);
        [self.scheduler.step_at(), fetch_timeout, serve_at, state_expiry].into_iter().flatten().min()
    }
}

/// The attempt that the marker in a chat request names, for tests that inspect requests.
pub fn attempt_in(body: &[u8]) -> Option<ClientAttempt> {
    Mark::find(&String::from_utf8_lossy(body)).map(|m| m.attempt)
}
