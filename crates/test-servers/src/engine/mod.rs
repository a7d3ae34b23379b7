//! An engine as a state machine: HTTP on the outside, a queue, slots, memory and steps on the inside.
//!
//! It speaks what the open engine publishes (chat completions with `kv_transfer_params`, `/metrics`, `/health`, ORCA
//! headers). What it needs beyond that, how state is fetched and let go of and how it turns work away, is named in
//! `docs/protocols.md`. `spec` holds its figures, `work` its inside, `faults` what can be made to go wrong.

mod faults;
mod fetch;
mod spec;
#[doc(hidden)]
pub mod work;

pub use faults::{Fault, Garbage};
pub use spec::{EngineSpec, Role};

use crate::ledger::Ledger;
use crate::mark::{self, Mark};
use faults::Faults;
use fetch::{Fetched, Fetches};
use serde_json::{json, Value};
use slipreel_invariants::{Seen, Stage, Try};
use slipreel_protocol::engine::{write_metrics, write_orca, Load, ENGINE_FULL, NO_STATE};
use slipreel_protocol::http::{self, Decoder, Framing, Head, Item, Limits, Side, Start};
use slipreel_protocol::sse;
use slipreel_roles::{Order, RoleRecord};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use work::{Job, Kind, State, Transfer, Work};

/// Bytes that may wait for a peer before an answer's tokens wait too.
const UNSENT: usize = 256 << 10;

/// Loads that are kept for late reports.
const REMEMBERED: usize = 4_096;

struct Conn {
    decoder: Decoder,
    head: Option<Head>,
    body: Vec<u8>,
    /// The job that it waits for.
    job: Option<u64>,
    unsent: usize,
    /// Serves this state: let go of when all is sent.
    serves: Option<u64>,
    /// Not looked at before then.
    ready_at: Duration,
    /// It has come in and the engine has not looked at it.
    unheard: Option<Try>,
}

/// A stand-in engine. Takes as news a [`Fault`], or a [`Role`] to change to.
pub struct Engine {
    spec: EngineSpec,
    ledger: Ledger,
    work: Work,
    role: RoleRecord,
    /// Wall time at the clock's beginning.
    wall: Duration,
    faults: Faults,
    conns: BTreeMap<ConnId, Conn>,
    fetches: Fetches,
    /// Loads as of some while ago, for reports that are late.
    past: VecDeque<(Duration, Load)>,
    stopping: bool,
    stopped: bool,
    fallen: bool,
}

/// The field that names the epoch of policy by which a request was taken.
const POLICY: &str = "x-slipreel-policy";

impl Engine {
    /// An engine that starts at `now`, empty and cold. `wall` is the wall clock at that time.
    pub fn new(spec: EngineSpec, ledger: Ledger, now: Duration, wall: Duration) -> Self {
        let work = Work::new(&spec, now, wall);
        Engine {
            role: RoleRecord::started(spec.role.into(), 0, now),
            wall: wall.saturating_sub(now),
            spec,
            ledger,
            work,
            faults: Faults::default(),
            conns: BTreeMap::new(),
            fetches: Fetches::default(),
            past: VecDeque::new(),
            stopping: false,
            stopped: false,
            fallen: false,
        }
    }

    /// An engine that has been up for long.
    pub fn warm(mut spec: EngineSpec, ledger: Ledger, now: Duration, wall: Duration) -> Self {
        let age = spec.cold_time * 4;
        spec.age = age;
        Engine::new(spec, ledger, now.saturating_sub(age), wall.saturating_sub(age))
    }

    /// Its name in records.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// The states that it holds for writers to fetch: let go of when it dies.
    pub fn held(&self) -> Vec<u64> {
        self.work.states.keys().copied().collect()
    }

    fn note(&self, now: Duration, seen: Seen) {
        self.ledger.note(now, seen);
    }

    /// Its load, or what it was as long ago as reports are late.
    fn load(&self, now: Duration) -> Load {
        let late = self.faults.report_late;
        let told = self.past.iter().rev().find(|(at, _)| *at + late <= now).or(self.past.front());
        told.filter(|_| !late.is_zero()).map_or_else(|| self.work.load(), |&(_, load)| load)
    }

    /// Keeps what late reports will tell, at each change.
    fn remember(&mut self, now: Duration) {
        let late = self.faults.report_late;
        if late.is_zero() {
            return self.past.clear();
        }
        self.past.push_back((now, self.work.load()));
        while self.past.len() > 1 && self.past[1].0 + late <= now || self.past.len() > REMEMBERED {
            self.past.pop_front();
        }
    }

    // ---- Connections --------------------------------------------------------------------------

    fn data(&mut self, now: Duration, id: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.decoder.feed(bytes);
        if self.faults.deaf || now < conn.ready_at {
            // It has arrived all the same, and is out until its connection ends or the engine hears it.
            let text = String::from_utf8_lossy(bytes);
            conn.unheard = Mark::find(&text).map(|m| m.what).or(conn.unheard);
            let via = text.split_once("via: 1.1 ").and_then(|(_, rest)| rest.split("\r\n").next());
            if let (Some(what), Some(router)) = (conn.unheard, via) {
                let (engine, router) = (self.spec.name.clone(), router.to_owned());
                self.note(now, Seen::Arrived { engine, router, what, stage: Stage::Write });
            }
        }
        self.pump(now, id, out);
    }

    /// What a deaf engine had not heard is heard now, or is over.
    fn heard_at_last(&mut self, now: Duration, id: ConnId) {
        if let Some(what) = self.conns.get_mut(&id).and_then(|c| c.unheard.take()) {
            self.note(now, Seen::Over { engine: self.spec.name.clone(), what, stage: Stage::Write });
        }
    }

    /// Takes whole requests off a connection that waits for none.
    fn pump(&mut self, now: Duration, id: ConnId, out: &mut Vec<Output>) {
        loop {
            let Some(conn) = self.conns.get_mut(&id) else { return };
            if conn.job.is_some() || conn.serves.is_some() || now < conn.ready_at || self.faults.deaf {
                return;
            }
            match conn.decoder.next_item() {
                Ok(Some(Item::Head(head))) => conn.head = Some(head),
                Ok(Some(Item::Body(piece))) => conn.body.extend_from_slice(&piece),
                Ok(Some(Item::End)) => {
                    let (Some(head), body) = (conn.head.take(), std::mem::take(&mut conn.body)) else {
                        return;
                    };
                    self.heard_at_last(now, id);
                    self.request(now, id, &head, &body, out);
                }
                Ok(None) => return,
                Err(_) => return self.drop_conn(now, id, out),
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

    fn drop_conn(&mut self, now: Duration, id: ConnId, out: &mut Vec<Output>) {
        out.push(Output::Abort(id));
        self.gone(now, id, out);
    }

    /// A connection is over: its job is cancelled, wherever it is; state being served on it stays held.
    fn gone(&mut self, now: Duration, id: ConnId, out: &mut Vec<Output>) {
        self.heard_at_last(now, id);
        let Some(conn) = self.conns.remove(&id) else { return };
        if let Some(state) = conn.serves {
            if let Some(state) = self.work.states.get_mut(&state) {
                state.taken = false;
            }
        }
        if let Some(job) = conn.job {
            self.cancel(now, job, out);
        }
    }

    fn cancel(&mut self, now: Duration, id: u64, out: &mut Vec<Output>) {
        let Some(job) = self.work.remove(id) else { return };
        self.over(now, &job);
        self.fetches.cancel(id, out);
    }

    fn over(&self, now: Duration, job: &Job) {
        if let Some(what) = job.what() {
            self.note(now, Seen::Over { engine: self.spec.name.clone(), what, stage: job.stage() });
        }
    }

    // ---- Requests -----------------------------------------------------------------------------

    fn request(&mut self, now: Duration, id: ConnId, head: &Head, body: &[u8], out: &mut Vec<Output>) {
        let Start::Request { method, target } = &head.start else { return };
        match (method.as_str(), target.as_str()) {
            ("GET", "/health") => self.answer(id, 200, "", out),
            ("GET", "/metrics") => {
                let load = Load { started: Some(self.work.started_wall.as_secs_f64()), ..self.load(now) };
                let text = write_metrics(&load);
                let mut bytes = http::response_head(
                    200,
                    &[("content-type", "text/plain; version=0.0.4")],
                    Framing::Length(text.len()),
                );
                bytes.extend_from_slice(text.as_bytes());
                self.write(id, bytes, out);
            }
            ("POST", "/abort_requests") => self.abort(now, id, body, out),
            ("GET", "/role") => self.tell_role(id, 200, out),
            ("POST", "/role") => self.order_role(now, id, body, out),
            ("GET", path) if path.starts_with("/state/") => {
                let state = path["/state/".len()..].parse().unwrap_or(0);
                self.serve_state(id, state, out);
            }
            ("POST", "/v1/chat/completions") => self.chat(now, id, head, body, out),
            _ => self.error(id, 404, "not_found", "no such path", out),
        }
    }

    fn abort(&mut self, now: Duration, id: ConnId, body: &[u8], out: &mut Vec<Output>) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        for name in value["request_ids"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            let named = |(&state, s): (&u64, &State)| (s.name == name && !s.taken).then_some(state);
            let free: Vec<u64> = self.work.states.iter().filter_map(named).collect();
            for state in free {
                self.let_go(now, state);
            }
            let jobs: Vec<(u64, ConnId)> =
                self.work.jobs.values().filter(|j| j.name == name).map(|j| (j.id, j.conn)).collect();
            for (job, conn) in jobs {
                self.cancel(now, job, out);
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.job = None;
                }
                self.drop_conn(now, conn, out);
            }
        }
        self.answer(id, 200, "{}", out);
    }

    fn tell_role(&mut self, id: ConnId, status: u16, out: &mut Vec<Output>) {
        let state = self.role.state();
        let body = json!({"role": Role::from(state.role).name(), "epoch": state.epoch,
                          "started": (state.started + self.wall).as_secs_f64(), "serving": self.role.takes_work()});
        self.answer(id, status, &body.to_string(), out);
    }

    /// An order to change the role: `{"to": "write", "replaces": 3}`. 409 and the present state if it is not taken.
    fn order_role(&mut self, now: Duration, id: ConnId, body: &[u8], out: &mut Vec<Output>) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let to = value["to"].as_str().and_then(Role::named);
        let (Some(to), Some(replaces)) = (to, value["replaces"].as_u64()) else {
            return self.error(
                id,
                400,
                "BadRequestError",
                "expected to (read, write, both) and replaces",
                out,
            );
        };
        let taken = self.role.order(now, Order { replaces, to: to.into() }).is_ok();
        self.tell_list();
        self.tell_role(id, if taken { 202 } else { 409 }, out);
        self.change_role(now);
    }

    /// Takes the new role once nothing of the old one is left: empty, with nothing kept, cold, newly started.
    fn change_role(&mut self, now: Duration) {
        let Some(state) = self.role.left(now, self.work.jobs.len(), self.work.states.len()) else { return };
        self.spec.role = state.role.into();
        self.work = Work::new(&self.spec, state.started, state.started + self.wall);
        self.tell_list();
    }

    fn tell_list(&self) {
        let state = self.role.state();
        self.ledger.tell_role(&self.spec.name, state.role.into(), self.role.takes_work());
    }

    fn let_go(&mut self, now: Duration, state: u64) {
        if self.work.let_go(state) {
            self.note(now, Seen::Released { engine: self.spec.name.clone(), state });
        }
    }

    fn serve_state(&mut self, id: ConnId, state: u64, out: &mut Vec<Output>) {
        let Some(held) = self.work.states.get_mut(&state).filter(|s| !s.taken) else {
            return self.error(id, 404, NO_STATE, "no such state", out);
        };
        held.taken = true;
        let bytes = held.tokens as usize;
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.serves = Some(state);
        }
        let mut answer = http::response_head(200, &[], Framing::Length(bytes));
        answer.resize(answer.len() + bytes, b'k');
        self.write(id, answer, out);
    }

    fn sent(&mut self, now: Duration, id: ConnId, n: usize, out: &mut Vec<Output>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.unsent = conn.unsent.saturating_sub(n);
        if conn.unsent == 0 {
            if let Some(state) = conn.serves.take() {
                self.let_go(now, state);
                self.pump(now, id, out);
            }
        }
    }

    fn chat(&mut self, now: Duration, id: ConnId, head: &Head, body: &[u8], out: &mut Vec<Output>) {
        let Some(job) = self.job(id, head, body) else {
            return self.error(id, 400, "BadRequestError", "expected a chat completion", out);
        };
        let what = job.what();
        if let Some(what) = what {
            let (engine, router) = (self.spec.name.clone(), job.router.clone());
            let epoch = head.get(POLICY).and_then(|e| e.parse().ok());
            let (by, on) = (router.clone(), slipreel_invariants::policy::On::Call);
            self.note(now, Seen::Stamped { router: by, what, epoch, on });
            self.note(now, Seen::Arrived { engine, router, what, stage: job.stage() });
        }
        if self.work.falls(now, &self.spec, &job) && !self.fallen {
            self.fallen = true;
            self.note(now, Seen::Fell(self.spec.name.clone()));
        }
        if self.fallen {
            self.over(now, &job);
            return self.drop_conn(now, id, out);
        }
        if self.faults.closes_on_use {
            self.over(now, &job);
            return self.drop_conn(now, id, out);
        }
        // Work of another stage than its role's comes from a list that is out of date.
        let misfit = match job.kind {
            Kind::Read => self.spec.role == Role::Write,
            Kind::Write => self.spec.role == Role::Read,
        };
        let turned = self.faults.turns_away(&String::from_utf8_lossy(body)) || self.stopping || misfit;
        let turned = turned || !self.role.takes_work();
        if turned || self.work.is_full(&self.spec) {
            self.over(now, &job);
            return self.error(id, 503, ENGINE_FULL, "slots and queue are full", out);
        }
        let no_state = job.kind == Kind::Write && job.transfer.is_none() && self.spec.role == Role::Write;
        if no_state {
            self.over(now, &job);
            return self.error(id, 409, NO_STATE, "there is no state to fetch", out);
        }
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.job = Some(job.id);
        }
        self.work.enqueue(job);
        self.turn(now, out);
    }

    fn job(&mut self, conn: ConnId, head: &Head, body: &[u8]) -> Option<Job> {
        let value: Value = serde_json::from_slice(body).ok()?;
        let messages = value["messages"].as_array()?;
        let transfer = &value["kv_transfer_params"];
        let reads = transfer["do_remote_decode"] == true;
        let kind = if reads { Kind::Read } else { Kind::Write };
        let fetch = if transfer["do_remote_prefill"] == true {
            let port = u16::try_from(transfer["remote_port"].as_u64()?).ok()?;
            let host = transfer["remote_host"].as_str()?.parse().ok()?;
            Some(Transfer {
                addr: SocketAddr::new(host, port),
                state: transfer["remote_block_ids"][0].as_u64()?,
            })
        } else {
            None
        };
        let texts: Vec<String> = messages.iter().map(|m| m["content"].to_string()).collect();
        let mark = texts.last().and_then(|t| Mark::find(t));
        let cap = u32::try_from(value["max_tokens"].as_u64()?).ok()?;
        let via = head.get("via").and_then(|v| v.split_once(' ')).map_or("", |(_, name)| name);
        let mut job = Job {
            id: self.work.next_id(),
            conn,
            name: head.get("x-request-id").unwrap_or_default().to_owned(),
            router: via.to_owned(),
            key: head.get("idempotency-key").map(str::to_owned),
            mark,
            kind,
            prompt: 0,
            kept: 0,
            to_read: 0,
            cap,
            length: mark.map_or(16, |m| m.length).min(cap),
            emitted: 0,
            stream: value["stream"] == true,
            begun: false,
            ran: false,
            lost: false,
            transfer: fetch,
            prefixes: Vec::new(),
        };
        self.work.measure(&mut job, &texts);
        Some(job)
    }

    // ---- Steps --------------------------------------------------------------------------------

    /// Admits what has room, and lets steps that are due have their effect.
    fn turn(&mut self, now: Duration, out: &mut Vec<Output>) {
        loop {
            self.admit(now, out);
            if !self.work.step_due(now) {
                break;
            }
            let done = self.work.end_step();
            for id in done.read {
                self.read_done(now, id, out);
            }
            for id in done.wrote {
                self.token(now, id, out);
            }
            for id in self.work.over_memory() {
                self.work.send_back(id);
            }
        }
        let factor = self.work.factor(now, &self.spec) / self.faults.slow;
        let stalled: Vec<u64> = self.work.running.iter().copied().filter(|id| self.is_stalled(*id)).collect();
        self.work.start_step(now, &self.spec, factor, &stalled);
    }

    /// Whether its client takes nothing.
    fn is_stalled(&self, id: u64) -> bool {
        let conn = self.work.jobs.get(&id).and_then(|j| self.conns.get(&j.conn));
        conn.is_some_and(|c| c.unsent > UNSENT)
    }

    fn admit(&mut self, now: Duration, out: &mut Vec<Output>) {
        while let Some(id) = self.work.admit(&self.spec) {
            let Some(job) = self.work.jobs.get(&id) else { continue };
            if let Some(transfer) = job.transfer {
                self.fetches.start(now, id, transfer, out);
            } else {
                self.run(now, id);
            }
        }
    }

    /// A write begins: its effect happens now, unless its key says that it has happened.
    fn run(&mut self, now: Duration, id: u64) {
        let Some(job) = self.work.jobs.get_mut(&id) else { return };
        if job.kind == Kind::Read || std::mem::replace(&mut job.ran, true) {
            return;
        }
        let new = match &job.key {
            Some(key) => self.ledger.first_use(now, &self.spec.group, key, self.spec.key_window),
            None => true,
        };
        if let Some(what) = job.what().filter(|_| new) {
            self.note(now, Seen::Ran { engine: self.spec.name.clone(), what });
        }
    }

    fn fetched(&mut self, now: Duration, ended: Option<Fetched>, out: &mut Vec<Output>) {
        match ended {
            Some(Fetched::Whole(job)) => {
                self.work.fetched(job);
                self.run(now, job);
                self.turn(now, out);
            }
            Some(Fetched::Failed(job)) => self.no_state(now, job, out),
            None => {}
        }
    }

    fn no_state(&mut self, now: Duration, id: u64, out: &mut Vec<Output>) {
        let Some(job) = self.work.remove(id) else { return };
        self.over(now, &job);
        if let Some(conn) = self.conns.get_mut(&job.conn) {
            conn.job = None;
            self.error(job.conn, 409, NO_STATE, "the state could not be fetched", out);
        }
        self.turn(now, out);
    }

    /// The end of a job's exchange: its connection takes the next one.
    fn exchange_over(&mut self, now: Duration, job: &Job, out: &mut Vec<Output>) {
        self.over(now, job);
        if let Some(conn) = self.conns.get_mut(&job.conn) {
            conn.job = None;
        }
        self.pump(now, job.conn, out);
    }

    fn read_done(&mut self, now: Duration, id: u64, out: &mut Vec<Output>) {
        let Some(job) = self.work.remove(id) else { return };
        if self.faults.answers_lost {
            // The work is done and its answer never arrives; its state goes with the connection.
            self.over(now, &job);
            return;
        }
        let state = self.work.hold(&job, now);
        if let Some(what) = job.what() {
            self.note(now, Seen::Holds { engine: self.spec.name.clone(), what, state });
        }
        if let Some(garbage) = self.faults.garbage.filter(|g| g.before_head()) {
            let conn = job.conn;
            self.over(now, &job);
            if let Some(c) = self.conns.get_mut(&conn) {
                c.job = None;
            }
            return self.talk_garbage(now, conn, garbage, out);
        }
        let body = json!({
            "id": job.name, "object": "chat.completion", "choices": [{"index": 0, "finish_reason": "length",
            "message": {"role": "assistant", "content": ""}}],
            "usage": job.usage(),
            "kv_transfer_params": {"do_remote_prefill": true, "do_remote_decode": false, "remote_engine_id": self.spec.name,
                "remote_block_ids": [state], "remote_host": self.spec.addr.ip().to_string(), "remote_port": self.spec.addr.port()},
        });
        let (body, orca) = (body.to_string(), write_orca(&self.load(now)));
        let fields = [("content-type", "application/json"), ("endpoint-load-metrics", orca.as_str())];
        let mut bytes = http::response_head(200, &fields, Framing::Length(body.len()));
        bytes.extend_from_slice(body.as_bytes());
        self.write(job.conn, bytes, out);
        self.exchange_over(now, &job, out);
    }

    /// A writing job has made its next token.
    fn token(&mut self, now: Duration, id: u64, out: &mut Vec<Output>) {
        let load = write_orca(&self.load(now));
        let Some(job) = self.work.jobs.get_mut(&id) else { return };
        let (conn, n, request) = (job.conn, job.emitted, job.what().map_or(0, |w| w.request));
        let begins = !std::mem::replace(&mut job.begun, true);
        job.emitted += 1;
        let last = job.emitted >= job.length;
        // An answer whose beginning was lost stays lost.
        job.lost |= self.faults.answers_lost;
        if job.lost {
            if last {
                if let Some(job) = self.work.remove(id) {
                    self.over(now, &job);
                }
            }
            return;
        }
        let (name, cap) = (job.name.clone(), job.cap);
        if !job.stream {
            let garbage = self.faults.garbage.filter(|g| g.before_head());
            return match garbage {
                Some(garbage) if last => self.talk_garbage(now, conn, garbage, out),
                _ if last => self.whole(now, id, &load, out),
                _ => {}
            };
        }
        let mut bytes = Vec::new();
        if begins {
            if let Some(garbage) = self.faults.garbage.filter(|g| g.before_head()) {
                return self.talk_garbage(now, conn, garbage, out);
            }
            let fields = [("content-type", "text/event-stream"), ("endpoint-load-metrics", load.as_str())];
            bytes = http::response_head(200, &fields, Framing::Chunked);
        }
        let chunk = |delta: Value, finish: Value| json!({"id": name, "object": "chat.completion.chunk", "choices": [{"index": 0, "delta": delta, "finish_reason": finish}]});
        let mut events = Vec::new();
        sse::write(
            "",
            &chunk(json!({"content": mark::token(request, n)}), Value::Null).to_string(),
            &mut events,
        );
        if last {
            let finish = if job.length == cap { "length" } else { "stop" };
            sse::write("", &chunk(json!({}), finish.into()).to_string(), &mut events);
            let usage =
                json!({"id": name, "object": "chat.completion.chunk", "choices": [], "usage": job.usage()});
            if self.faults.garbage == Some(Garbage::BreaksBeforeMark) {
                bytes.extend_from_slice(&http::chunk(&events));
                self.write(conn, bytes, out);
                return self.talk_garbage(now, conn, Garbage::BreaksBeforeMark, out);
            }
            sse::write("", &usage.to_string(), &mut events);
            sse::write("", "[DONE]", &mut events);
        }
        if let Some(garbage) = self.faults.garbage.filter(|g| g.spoils(begins, last)) {
            self.write(conn, bytes, out);
            return self.talk_garbage(now, conn, garbage, out);
        }
        bytes.extend_from_slice(&http::chunk(&events));
        if last {
            bytes.extend_from_slice(http::LAST_CHUNK);
        }
        self.write(conn, bytes, out);
        if last {
            if let Some(job) = self.work.remove(id) {
                self.exchange_over(now, &job, out);
            }
        }
    }

    /// The answer of a job that does not stream.
    fn whole(&mut self, now: Duration, id: u64, load: &str, out: &mut Vec<Output>) {
        let Some(job) = self.work.remove(id) else { return };
        let request = job.what().map_or(0, |w| w.request);
        let text: String = (0..job.emitted).map(|n| mark::token(request, n)).collect();
        let finish = if job.length == job.cap { "length" } else { "stop" };
        let body = json!({
            "id": job.name, "object": "chat.completion", "choices": [{"index": 0, "finish_reason": finish,
            "message": {"role": "assistant", "content": text}}], "usage": job.usage(),
        });
        let body = body.to_string();
        let fields = [("content-type", "application/json"), ("endpoint-load-metrics", load)];
        let mut bytes = http::response_head(200, &fields, Framing::Length(body.len()));
        bytes.extend_from_slice(body.as_bytes());
        self.write(job.conn, bytes, out);
        self.exchange_over(now, &job, out);
    }

    fn talk_garbage(&mut self, now: Duration, conn: ConnId, garbage: Garbage, out: &mut Vec<Output>) {
        self.write(conn, garbage.bytes(), out);
        if garbage.hangs() {
            return;
        }
        out.push(Output::CloseWhenSent(conn));
        self.gone(now, conn, out);
    }

    fn fault(&mut self, now: Duration, fault: &Fault, out: &mut Vec<Output>) {
        self.faults.set(fault);
        if let Fault::DropConnections = fault {
            let ids: Vec<ConnId> = self.conns.keys().copied().collect();
            ids.into_iter().for_each(|id| self.drop_conn(now, id, out));
        }
        if !self.faults.deaf {
            let ids: Vec<ConnId> = self.conns.keys().copied().collect();
            ids.into_iter().for_each(|id| self.pump(now, id, out));
        }
        self.turn(now, out);
    }
}

impl Machine for Engine {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        // What is due comes first, whatever the driver found first: who asks for the load is told of it as it is now.
        self.turn(now, out);
        match input {
            Input::Accepted(id, _) => {
                if self.fallen {
                    out.push(Output::Abort(id));
                    return;
                }
                let limits = Limits { body: 64 << 20, ..Limits::default() };
                let conn = Conn {
                    decoder: Decoder::new(Side::Server, limits),
                    head: None,
                    body: Vec::new(),
                    job: None,
                    unsent: 0,
                    serves: None,
                    ready_at: now + self.faults.handshake,
                    unheard: None,
                };
                self.conns.insert(id, conn);
            }
            Input::Connected(id) => self.fetches.connected(id, out),
            Input::Data(id, bytes) if id.is_opened() => {
                let ended = self.fetches.data(now, id, bytes, out);
                self.fetched(now, ended, out);
            }
            Input::Data(id, bytes) => self.data(now, id, bytes, out),
            Input::Eof(id) | Input::Lost(id, _) if id.is_opened() => {
                if let Input::Eof(id) = input {
                    out.push(Output::Abort(id));
                }
                let ended = self.fetches.lost(id, out);
                self.fetched(now, ended, out);
            }
            Input::Eof(id) => {
                out.push(Output::CloseWhenSent(id));
                self.gone(now, id, out);
            }
            Input::Lost(id, _) => self.gone(now, id, out),
            Input::PeerClosedWhilePaused(_) | Input::DescriptorsExhausted(_) => {}
            Input::Sent(id, n) => self.sent(now, id, n, out),
            Input::Wake => {
                for job in self.fetches.late(now, out) {
                    self.no_state(now, job, out);
                }
                let forgotten: Vec<u64> = self.work.forgotten(now, self.spec.hold_time);
                forgotten.into_iter().for_each(|state| self.let_go(now, state));
                let waiting: Vec<ConnId> = self
                    .conns
                    .iter()
                    .filter(|(_, c)| c.job.is_none() && c.decoder.buffered() > 0)
                    .map(|(&c, _)| c)
                    .collect();
                waiting.into_iter().for_each(|id| self.pump(now, id, out));
            }
            Input::Stop => self.stopping = true,
            Input::Datagram(..) => {}
            Input::OwnerMessage(news) => {
                if let Some(fault) = news.downcast_ref::<Fault>() {
                    self.fault(now, fault, out);
                }
                if let Some(to) = news.downcast_ref::<Role>() {
                    let replaces = self.role.state().epoch;
                    // One that has the role already keeps it.
                    let _ = self.role.order(now, Order { replaces, to: (*to).into() });
                }
            }
        }
        self.turn(now, out);
        self.remember(now);
        self.change_role(now);
        if self.stopping && !self.stopped && self.work.jobs.is_empty() && self.work.states.is_empty() {
            self.stopped = true;
            out.push(Output::Stopped);
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        let fetch = self.fetches.due();
        let shy = self
            .conns
            .values()
            .filter(|c| c.decoder.buffered() > 0 && c.job.is_none())
            .map(|c| c.ready_at)
            .min();
        let shy = shy.filter(|_| !self.faults.deaf);
        let held = self.work.oldest_state().map(|at| at + self.spec.hold_time);
        [self.work.step_at(), fetch, shy, held].into_iter().flatten().min()
    }
}

/// The try that a chat request carries, for tests that look into requests.
pub fn try_of(body: &[u8]) -> Option<Try> {
    Mark::find(&String::from_utf8_lossy(body)).map(|m| m.what)
}
