//! An engine that reads prompts or writes answers.

use super::{look, Shared};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_connections::{ClientConnection, ClientState, ReceivedRequest, TimerWheel};
use slipreel_invariants::terms::Seen;
use slipreel_protocol::http::{self, Limits, LAST_CHUNK};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::BTreeMap;
use std::time::Duration;

/// How often an engine fails, each as a share of attempts, and how slow it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Turned away: nothing ran.
    pub full: f64,
    /// 500.
    pub error: f64,
    /// The connection breaks, before or within the answer.
    pub reset: f64,
    /// Noise in place of an opening, or a chunk that can't be read, or one that claims 3 GB and keeps coming.
    pub garble: f64,
    /// Good, but with more than belongs to it: an interim answer ahead, an odd report, a second answer behind.
    pub more: f64,
    /// Nothing more is said, on a connection that stays open.
    pub silence: f64,
    /// No fault: so much longer than usual an attempt takes until it begins to answer.
    pub slow: Duration,
}

struct Work {
    conn: ConnId,
    request: String,
    /// Events still to come; `None`: a read.
    events: Option<u32>,
    /// Events written so far.
    written: usize,
    begun: bool,
    fault: Fault,
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Reset,
    Garble,
    More,
    Silence,
}

/// One engine. It serves whatever comes, each after a while of its own.
pub struct Engine {
    name: String,
    reads: bool,
    shared: Shared,
    faults: Faults,
    now: Duration,
    rng: Xoshiro256PlusPlus,
    clients: BTreeMap<ConnId, ClientConnection>,
    work: BTreeMap<u64, Work>,
    wheel: TimerWheel<u64>,
    next: u64,
}

const REPORT: &str = "queue=1,x0=0.2";

impl Engine {
    /// An engine that reads prompts, or writes answers.
    pub fn new(name: &str, reads: bool, shared: Shared, faults: Faults, seed: u64) -> Self {
        Engine {
            name: name.to_owned(),
            reads,
            shared,
            faults,
            now: Duration::ZERO,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            clients: BTreeMap::new(),
            work: BTreeMap::new(),
            wheel: TimerWheel::default(),
            next: 0,
        }
    }

    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn while_of(&mut self, least: u64, more: u64) -> Duration {
        Duration::from_micros(least * 1_000 + (self.chance() * more as f64 * 1e3) as u64)
    }

    fn answer(
        &mut self, conn: ConnId, status: u16, fields: &[(&str, &str)], body: &[u8], out: &mut Vec<Output>,
    ) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.answer(status, fields, body, out);
        if !client.finish_answer(now, out) {
            self.clients.remove(&conn);
        }
    }

    fn serve(&mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>) {
        let target = received.target().to_owned();
        match (received.method(), target.as_str()) {
            ("GET", "/-/load") => self.answer(conn, 200, &[], REPORT.as_bytes(), out),
            ("DELETE", target) if target.starts_with("/v1/holds/") => {
                let request = &target["/v1/holds/".len()..];
                let mut fabric = look(&self.shared);
                if !fabric.out.contains_key(request) {
                    fabric.states.remove(request);
                }
                drop(fabric);
                self.answer(conn, 204, &[], b"", out);
            }
            ("POST", _) => self.attempt(conn, received, out),
            _ => self.answer(conn, 404, &[], b"", out),
        }
    }

    fn attempt(&mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>) {
        let Some(request) = received.head.get("x-request-id").map(str::to_owned) else {
            return self.answer(conn, 404, &[], b"", out);
        };
        let mut fabric = look(&self.shared);
        let work = fabric.work.get(&request).copied().unwrap_or(1.0);
        fabric.see(self.now, Seen::Begun { engine: self.name.clone(), request: request.clone(), work });
        if let Some(left) = received.head.get("x-deadline").and_then(super::deadline) {
            let (engine, request) = (self.name.clone(), request.clone());
            fabric.see(self.now, Seen::DeadlineTold { engine, request, left });
        }
        drop(fabric);
        let faults = self.faults;
        let draw = self.chance();
        let mut under = 0.0;
        let mut drawn = |share: f64| {
            under += share;
            draw < under
        };
        if drawn(faults.full) {
            return self.answer(conn, 503, &[("x-not-run", "1"), ("x-load", REPORT)], b"", out);
        }
        if !self.reads && !look(&self.shared).states.contains_key(&request) {
            return self.answer(conn, 410, &[("x-not-run", "1")], b"", out);
        }
        if drawn(faults.error) {
            return self.answer(conn, 500, &[], b"", out);
        }
        let fault = match () {
            () if drawn(faults.reset) => Fault::Reset,
            () if drawn(faults.garble) => Fault::Garble,
            () if drawn(faults.more) => Fault::More,
            () if drawn(faults.silence) => Fault::Silence,
            () => Fault::None,
        };
        look(&self.shared).begin(&request, &self.name, self.now);
        self.next += 1;
        let events = (!self.reads).then_some(3 + self.next as u32 % 5);
        self.work.insert(self.next, Work { conn, request, events, written: 0, begun: false, fault });
        let at = self.now + self.faults.slow + self.while_of(10, 40);
        self.wheel.set(at, self.next);
    }

    /// The next step of a work is due.
    fn step(&mut self, n: u64, out: &mut Vec<Output>) {
        let Some(work) = self.work.get_mut(&n) else { return };
        let (conn, fault, begun) = (work.conn, work.fault, work.begun);
        let midway = begun || work.events.is_none();
        match fault {
            Fault::Silence if midway => return,
            Fault::Reset if midway => {
                let finished = work.events.is_none();
                out.push(Output::Abort(conn));
                return self.gone(conn, finished);
            }
            Fault::Garble if midway => {
                let noise: &[u8] = match (begun, n % 3) {
                    (false, 0) => b"\x01\x02\x03 noise\r\n\r\n",
                    (false, _) => b"HTTP/1.1 200 OK\r\nX-Endless: ",
                    (true, 0) => b"zz\r\n",
                    (true, 1) => b"2\r\ndata: much more than two\n\n\r\n",
                    (true, _) => b"b2d05e00\r\ndata: aaaaaaaaaaaa",
                };
                out.push(Output::Write(conn, noise.to_vec()));
                let request = work.request.clone();
                look(&self.shared).end(&request, &self.name, self.now);
                self.work.remove(&n);
                return;
            }
            _ => {}
        }
        let request = work.request.clone();
        let Some(left) = work.events else {
            let mut fabric = look(&self.shared);
            fabric.states.insert(request.clone(), (self.name.clone(), self.now));
            fabric.end(&request, &self.name, self.now);
            drop(fabric);
            self.work.remove(&n);
            return self.answer(conn, 202, &[("x-load", REPORT)], b"{\"cached_tokens\":4}", out);
        };
        if !begun {
            work.begun = true;
            if fault == Fault::More {
                out.push(Output::Write(conn, b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec()));
            }
            let mut fabric = look(&self.shared);
            fabric.states.remove(&request);
            if !fabric.written.insert(request.clone()) {
                fabric.broken.push(format!("{request}: written twice"));
            }
            drop(fabric);
            if let Some(client) = self.clients.get_mut(&conn) {
                client.begin_stream(&[], out);
            }
        }
        let text = match left {
            0 => "data: {\"choices\":[],\"usage\":{}}\n\ndata: [DONE]\n\n".to_owned(),
            n => format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{request} {n}\"}}}}]}}\n\n"),
        };
        out.push(Output::Write(conn, http::chunk(text.as_bytes())));
        work.written += super::events_in(text.as_bytes());
        let written = Seen::EventsWritten { request: request.clone(), events: work.written };
        look(&self.shared).see(self.now, written);
        if left > 0 {
            work.events = Some(left - 1);
            let at = self.now + self.while_of(2, 20);
            self.wheel.set(at, n);
            return;
        }
        let report =
            if fault == Fault::More { ": X-Load: queue=~,\n\n" } else { ": X-Load: queue=1,x0=0.3\n\n" };
        let mut end = http::chunk(report.as_bytes());
        end.extend_from_slice(LAST_CHUNK);
        if fault == Fault::More {
            end.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        out.push(Output::Write(conn, end));
        look(&self.shared).end(&request, &self.name, self.now);
        self.work.remove(&n);
        let now = self.now;
        if let Some(client) = self.clients.get_mut(&conn) {
            if !client.finish_answer(now, out) {
                self.clients.remove(&conn);
            }
        }
    }

    /// A connection is over, and with it its work. `read`: the read was finished at that moment.
    fn gone(&mut self, conn: ConnId, read: bool) {
        self.clients.remove(&conn);
        let mine: Vec<u64> = self.work.iter().filter(|(_, w)| w.conn == conn).map(|(&n, _)| n).collect();
        for n in mine {
            let Some(work) = self.work.remove(&n) else { continue };
            let mut fabric = look(&self.shared);
            if read {
                fabric.states.insert(work.request.clone(), (self.name.clone(), self.now));
            }
            fabric.end(&work.request, &self.name, self.now);
        }
    }
}

impl Machine for Engine {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = now;
        while let Some(n) = self.wheel.pop(now) {
            self.step(n, out);
        }
        match input {
            Input::Accepted(conn, door) => {
                self.clients.insert(conn, ClientConnection::new(conn, door, now, Limits::default(), 1 << 20));
            }
            Input::Data(conn, bytes) => {
                let Some(client) = self.clients.get_mut(&conn) else { return };
                client.feed(now, bytes, out);
                while let Some(client) = self.clients.get_mut(&conn) {
                    match client.receive(now, out) {
                        Ok(Some(received)) => self.serve(conn, &received, out),
                        Ok(None) => break,
                        Err(why) => {
                            look(&self.shared).broken.push(format!("a request that can't be read: {why}"));
                            out.push(Output::Abort(conn));
                            self.gone(conn, false);
                        }
                    }
                }
            }
            Input::Sent(conn, n) => {
                if let Some(client) = self.clients.get_mut(&conn) {
                    client.unsent = client.unsent.saturating_sub(n);
                }
            }
            Input::Eof(conn) => {
                out.push(Output::CloseWhenSent(conn));
                self.gone(conn, false);
            }
            Input::Lost(conn, _) => self.gone(conn, false),
            _ => {}
        }
        debug_assert!(self.clients.values().all(|c| c.state != ClientState::Serving(Some(0))));
    }

    fn wake_at(&self) -> Option<Duration> {
        self.wheel.next_at()
    }
}
