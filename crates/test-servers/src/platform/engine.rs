//! An engine that runs either prefill or decode.

use super::{lock_shared, Shared};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_connections::{ClientConnection, ClientState, ReceivedRequest, TimerWheel};
use slipreel_invariants::terms::Seen;
use slipreel_protocol::http::{self, Limits, LAST_CHUNK};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::BTreeMap;
use std::time::Duration;

/// How often an engine fails, as shares of attempts, and how slow it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// 503 with `X-Not-Run: 1`: the attempt did not run.
    pub full: f64,
    /// Status 500.
    pub error: f64,
    /// The connection is reset before or during the answer.
    pub reset: f64,
    /// Noise in place of the head of the answer, a malformed chunk, or a chunk with a size of 3 GB that does
    /// not end.
    pub garble: f64,
    /// A good answer with additions: an interim response before it, a malformed load report and a second
    /// response after it.
    pub more: f64,
    /// Nothing more is sent, on a connection that stays open.
    pub silence: f64,
    /// After some events of a stream, bytes that complete no event keep coming until the connection is closed.
    pub endless: f64,
    /// Not a share: the extra time that every attempt takes before its answer begins.
    pub slow: Duration,
    /// Not a share: the extra time between two events of a stream.
    pub event_delay: Duration,
}

/// An attempt in progress.
struct ActiveAttempt {
    conn: ConnId,
    request: String,
    /// Events still to be sent; `None` for a prefill.
    events: Option<u32>,
    /// Events sent so far.
    written: usize,
    has_begun: bool,
    fault: Fault,
    /// Whether the noise of an endless stream has begun.
    has_noise: bool,
}

/// The fault of one attempt.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Reset,
    Garble,
    More,
    Silence,
    Endless,
}

/// One engine. It serves every attempt after a random delay.
pub struct Engine {
    name: String,
    is_prefill: bool,
    shared: Shared,
    faults: Faults,
    now: Duration,
    rng: Xoshiro256PlusPlus,
    clients: BTreeMap<ConnId, ClientConnection>,
    attempts: BTreeMap<u64, ActiveAttempt>,
    timers: TimerWheel<u64>,
    last_number: u64,
}

/// The load report of every answer.
const LOAD_REPORT: &str = "queue=1,x0=0.2";
/// How many events an endless stream has before its noise.
const EVENTS_BEFORE_NOISE: usize = 2;
/// The time between two writes of an endless stream's noise.
const NOISE_INTERVAL: Duration = Duration::from_millis(100);
/// The head of a chunk that is too large for an event and that the noise of one stream does not fill.
const LARGE_CHUNK_HEAD: &[u8] = b"8000\r\n";

/// The bytes that an endless stream sends next. Streams differ by the number of their attempt: a comment in
/// a chunk of its own, or noise or an event without an end inside of a large chunk.
fn endless_bytes(attempt_number: u64, is_first: bool) -> Vec<u8> {
    let piece: &[u8] = match attempt_number % 3 {
        0 => return http::chunk(b": still working\n\n"),
        1 => b"\x01\x02 noise that never ends \x03",
        _ if is_first => b"data: ",
        _ => b"an event that never ends",
    };
    let head = if is_first { LARGE_CHUNK_HEAD } else { b"" };
    [head, piece].concat()
}

impl Engine {
    /// An engine that runs prefill or, if not `is_prefill`, decode.
    pub fn new(name: &str, is_prefill: bool, shared: Shared, faults: Faults, seed: u64) -> Self {
        Engine {
            name: name.to_owned(),
            is_prefill,
            shared,
            faults,
            now: Duration::ZERO,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            clients: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: TimerWheel::default(),
            last_number: 0,
        }
    }

    /// A number from 0 up to but not including 1.
    fn random_share(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A delay of at least `min_ms` and less than `min_ms + range_ms`.
    fn random_delay(&mut self, min_ms: u64, range_ms: u64) -> Duration {
        Duration::from_micros(min_ms * 1_000 + (self.random_share() * range_ms as f64 * 1e3) as u64)
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
            ("GET", "/-/load") => self.answer(conn, 200, &[], LOAD_REPORT.as_bytes(), out),
            ("DELETE", target) if target.starts_with("/v1/holds/") => {
                let request = &target["/v1/holds/".len()..];
                let mut shared = lock_shared(&self.shared);
                if !shared.open_attempts.contains_key(request) {
                    shared.held_states.remove(request);
                }
                drop(shared);
                self.answer(conn, 204, &[], b"", out);
            }
            ("POST", _) => self.start_attempt(conn, received, out),
            _ => self.answer(conn, 404, &[], b"", out),
        }
    }

    fn start_attempt(&mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>) {
        let Some(request) = received.head.get("x-request-id").map(str::to_owned) else {
            return self.answer(conn, 404, &[], b"", out);
        };
        let mut shared = lock_shared(&self.shared);
        let work = shared.work.get(&request).copied().unwrap_or(1.0);
        shared.see(
            self.now,
            Seen::AttemptArrived { engine: self.name.clone(), request: request.clone(), work },
        );
        if let Some(left) = received.head.get("x-deadline").and_then(super::parse_time) {
            let (engine, request) = (self.name.clone(), request.clone());
            shared.see(self.now, Seen::DeadlineTold { engine, request, left });
        }
        drop(shared);
        let faults = self.faults;
        let draw = self.random_share();
        let mut threshold = 0.0;
        let mut falls_in = |share: f64| {
            threshold += share;
            draw < threshold
        };
        if falls_in(faults.full) {
            return self.answer(conn, 503, &[("x-not-run", "1"), ("x-load", LOAD_REPORT)], b"", out);
        }
        if !self.is_prefill && !lock_shared(&self.shared).held_states.contains_key(&request) {
            return self.answer(conn, 410, &[("x-not-run", "1")], b"", out);
        }
        if falls_in(faults.error) {
            return self.answer(conn, 500, &[], b"", out);
        }
        let fault = match () {
            () if falls_in(faults.reset) => Fault::Reset,
            () if falls_in(faults.garble) => Fault::Garble,
            () if falls_in(faults.more) => Fault::More,
            () if falls_in(faults.silence) => Fault::Silence,
            () if falls_in(faults.endless) => Fault::Endless,
            () => Fault::None,
        };
        lock_shared(&self.shared).begin(&request, &self.name, self.now);
        self.last_number += 1;
        let events = (!self.is_prefill).then_some(3 + self.last_number as u32 % 5);
        self.attempts.insert(
            self.last_number,
            ActiveAttempt { conn, request, events, written: 0, has_begun: false, fault, has_noise: false },
        );
        let at = self.now + self.faults.slow + self.random_delay(10, 40);
        self.timers.set(at, self.last_number);
    }

    /// Takes the next step of an attempt: a fault, or the next part of its answer.
    fn step(&mut self, n: u64, out: &mut Vec<Output>) {
        let Some(attempt) = self.attempts.get_mut(&n) else { return };
        let (conn, fault, has_begun) = (attempt.conn, attempt.fault, attempt.has_begun);
        let may_fail_now = has_begun || attempt.events.is_none();
        match fault {
            Fault::Silence if may_fail_now => return,
            Fault::Reset if may_fail_now => {
                let is_prefill = attempt.events.is_none();
                out.push(Output::Abort(conn));
                return self.connection_closed(conn, is_prefill);
            }
            Fault::Garble if may_fail_now => {
                let noise: &[u8] = match (has_begun, n % 3) {
                    (false, 0) => b"\x01\x02\x03 noise\r\n\r\n",
                    (false, _) => b"HTTP/1.1 200 OK\r\nX-Endless: ",
                    (true, 0) => b"zz\r\n",
                    (true, 1) => b"2\r\ndata: much more than two\n\n\r\n",
                    (true, _) => b"b2d05e00\r\ndata: aaaaaaaaaaaa",
                };
                out.push(Output::Write(conn, noise.to_vec()));
                let request = attempt.request.clone();
                lock_shared(&self.shared).end(&request, &self.name, self.now);
                self.attempts.remove(&n);
                return;
            }
            Fault::Endless if attempt.written >= EVENTS_BEFORE_NOISE => {
                let is_first = !std::mem::replace(&mut attempt.has_noise, true);
                out.push(Output::Write(conn, endless_bytes(n, is_first)));
                self.timers.set(self.now + NOISE_INTERVAL, n);
                return;
            }
            _ => {}
        }
        let request = attempt.request.clone();
        let Some(left) = attempt.events else {
            let mut shared = lock_shared(&self.shared);
            shared.held_states.insert(request.clone(), (self.name.clone(), self.now));
            shared.end(&request, &self.name, self.now);
            drop(shared);
            self.attempts.remove(&n);
            return self.answer(conn, 202, &[("x-load", LOAD_REPORT)], b"{\"cached_tokens\":4}", out);
        };
        if !has_begun {
            attempt.has_begun = true;
            if fault == Fault::More {
                out.push(Output::Write(conn, b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec()));
            }
            let mut shared = lock_shared(&self.shared);
            shared.held_states.remove(&request);
            if !shared.decoded.insert(request.clone()) {
                shared.broken.push(format!("{request}: decoded twice"));
                shared.decoded_twice.push(request.clone());
            }
            drop(shared);
            if let Some(client) = self.clients.get_mut(&conn) {
                client.begin_stream(&[], out);
            }
        }
        let text = match left {
            0 => "data: {\"choices\":[],\"usage\":{}}\n\ndata: [DONE]\n\n".to_owned(),
            n => format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{request} {n}\"}}}}]}}\n\n"),
        };
        out.push(Output::Write(conn, http::chunk(text.as_bytes())));
        attempt.written += super::events_in(text.as_bytes());
        let written = Seen::EventsWritten { request: request.clone(), events: attempt.written };
        lock_shared(&self.shared).see(self.now, written);
        if left > 0 {
            attempt.events = Some(left - 1);
            let at = self.now + self.faults.event_delay + self.random_delay(2, 20);
            self.timers.set(at, n);
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
        lock_shared(&self.shared).end(&request, &self.name, self.now);
        self.attempts.remove(&n);
        let now = self.now;
        if let Some(client) = self.clients.get_mut(&conn) {
            if !client.finish_answer(now, out) {
                self.clients.remove(&conn);
            }
        }
    }

    /// A connection has closed, and its attempts have ended. `is_prefilled`: their prefill had been
    /// completed.
    fn connection_closed(&mut self, conn: ConnId, is_prefilled: bool) {
        self.clients.remove(&conn);
        let its_attempts: Vec<u64> =
            self.attempts.iter().filter(|(_, a)| a.conn == conn).map(|(&n, _)| n).collect();
        for n in its_attempts {
            let Some(attempt) = self.attempts.remove(&n) else { continue };
            let mut shared = lock_shared(&self.shared);
            if is_prefilled {
                shared.held_states.insert(attempt.request.clone(), (self.name.clone(), self.now));
            }
            shared.end(&attempt.request, &self.name, self.now);
        }
    }
}

impl Machine for Engine {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = now;
        while let Some(n) = self.timers.pop(now) {
            self.step(n, out);
        }
        match input {
            Input::Accepted(conn, listener) => {
                self.clients
                    .insert(conn, ClientConnection::new(conn, listener, now, Limits::default(), 1 << 20));
            }
            Input::Data(conn, bytes) => {
                let Some(client) = self.clients.get_mut(&conn) else { return };
                client.feed(now, bytes, out);
                while let Some(client) = self.clients.get_mut(&conn) {
                    match client.receive(now, out) {
                        Ok(Some(received)) => self.serve(conn, &received, out),
                        Ok(None) => break,
                        Err(why) => {
                            lock_shared(&self.shared)
                                .broken
                                .push(format!("a request that can't be read: {why}"));
                            out.push(Output::Abort(conn));
                            self.connection_closed(conn, false);
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
                self.connection_closed(conn, false);
            }
            Input::Lost(conn, _) => self.connection_closed(conn, false),
            _ => {}
        }
        debug_assert!(self.clients.values().all(|c| c.state != ClientState::Serving(Some(0))));
    }

    fn wake_at(&self) -> Option<Duration> {
        self.timers.next_at()
    }
}
