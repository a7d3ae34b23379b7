//! An engine that fails at each step of an exchange, and notes what it received for the judge of repeats.

use super::Random;
use slipreel_connections::{ClientConnection, ReceivedRequest, TimerWheel};
use slipreel_invariants::repeats::{AttemptId, Fact, Place, Seen};
use slipreel_protocol::http::{self, Limits, LAST_CHUNK};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What hostile engines and repeating clients of one day share.
#[derive(Debug, Default)]
pub struct Ledger {
    /// What the judge goes by.
    pub facts: Vec<Fact>,
    /// By request: whether its prompt was read and its state waits somewhere.
    states: BTreeMap<String, String>,
    attempts: u64,
    /// Routers that were killed, and when: what they had read is not sent again by itself. A killed process's connections
    /// may end as if they were closed in order.
    killed: BTreeMap<SocketAddr, Duration>,
}

/// A ledger in many hands.
pub type SharedLedger = Arc<Mutex<Ledger>>;

/// The ledger, whoever else has panicked.
pub fn open_ledger(ledger: &SharedLedger) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The connections of a killed router have ended within this.
const KILL_SEEN: Duration = Duration::from_secs(1);

impl Ledger {
    /// Something was seen.
    pub fn see(&mut self, at: Duration, seen: Seen) {
        self.facts.push(Fact { at, seen });
    }

    /// A router is killed.
    pub fn kills(&mut self, at: Duration, router: SocketAddr) {
        self.killed.insert(router, at);
    }

    /// Whether a router was killed a moment ago.
    pub fn was_killed(&self, now: Duration, router: SocketAddr) -> bool {
        self.killed.get(&router).is_some_and(|&at| now <= at + KILL_SEEN)
    }
}

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRole {
    /// Reads prompts.
    Reads,
    /// Writes answers.
    Writes,
    /// Does both.
    Mixed,
}

/// A fault at one step of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExchangeFault {
    /// The connection is reset as the first bytes of the request come.
    ResetAtFirstByte,
    /// The connection is reset as the last byte comes. The attempt has run.
    ResetAtLastByte,
    /// The connection is ended in order as the last byte comes. The attempt has run.
    EndAtLastByte,
    /// Nothing is ever answered.
    Silence,
    /// 503 with `X-Not-Run: 1`.
    TurnedAway,
    /// 504 with `X-Not-Run: 1`.
    TurnedAwayLate,
    /// 500 after it has run.
    Error,
    /// The connection is reset within the head of the answer.
    ResetInHead,
    /// The connection is reset after the first event.
    ResetInStream,
    /// A good answer, and on the kept connection a while later one that nobody asked for: 503 with `X-Not-Run: 1`.
    StrayTurnedAway,
    /// The same with 410 and `X-Not-Run: 1`.
    StrayNoState,
    /// The same with 202.
    StrayRead,
    /// A good answer, and the connection is ended in order a while later.
    CloseIdle,
    /// A good answer, and the connection is reset a while later.
    ResetIdle,
}

/// All faults.
pub const EXCHANGE_FAULTS: [ExchangeFault; 14] = [
    ExchangeFault::ResetAtFirstByte,
    ExchangeFault::ResetAtLastByte,
    ExchangeFault::EndAtLastByte,
    ExchangeFault::Silence,
    ExchangeFault::TurnedAway,
    ExchangeFault::TurnedAwayLate,
    ExchangeFault::Error,
    ExchangeFault::ResetInHead,
    ExchangeFault::ResetInStream,
    ExchangeFault::StrayTurnedAway,
    ExchangeFault::StrayNoState,
    ExchangeFault::StrayRead,
    ExchangeFault::CloseIdle,
    ExchangeFault::ResetIdle,
];

/// News for an engine: its process is about to be killed, and all that it has at work with it.
#[derive(Clone, Copy, Debug)]
pub struct EngineDies;

/// How an engine is laid out.
#[derive(Clone, Debug)]
pub struct EngineLayout {
    /// Its name.
    pub name: String,
    /// What it does.
    pub role: EngineRole,
    /// Where it stands.
    pub place: Place,
    /// The faults that it may have.
    pub faults: Vec<ExchangeFault>,
    /// The share of attempts that meet one of them.
    pub fault_share: f64,
    /// How long after a good answer its stray answers and closes come, at most, milliseconds.
    pub stray_most_ms: u64,
    /// For its chances.
    pub seed: u64,
}

struct Work {
    conn: ConnId,
    attempt: AttemptId,
    request: String,
    fault: Option<ExchangeFault>,
}

enum Due {
    Answer(u64),
    Stray(ConnId, ExchangeFault),
}

/// One engine.
pub struct HostileEngine {
    layout: EngineLayout,
    ledger: SharedLedger,
    now: Duration,
    random: Random,
    connections: BTreeMap<ConnId, ClientConnection>,
    work: BTreeMap<u64, Work>,
    wheel: TimerWheel<u64>,
    due: BTreeMap<u64, Due>,
    next: u64,
}

const STREAM_EVENTS: usize = 3;

impl HostileEngine {
    /// An engine of this layout.
    pub fn new(layout: EngineLayout, ledger: &SharedLedger) -> Self {
        HostileEngine {
            random: Random::new(layout.seed),
            layout,
            ledger: ledger.clone(),
            now: Duration::ZERO,
            connections: BTreeMap::new(),
            work: BTreeMap::new(),
            wheel: TimerWheel::default(),
            due: BTreeMap::new(),
            next: 0,
        }
    }

    fn see(&self, seen: Seen) {
        open_ledger(&self.ledger).see(self.now, seen);
    }

    fn after(&mut self, time: Duration, due: Due) {
        self.next += 1;
        self.due.insert(self.next, due);
        self.wheel.set(self.now + time, self.next);
    }

    fn draw_fault(&mut self) -> Option<ExchangeFault> {
        let has_fault = !self.layout.faults.is_empty() && self.random.chance(self.layout.fault_share);
        has_fault.then(|| self.random.one_of(&self.layout.faults))
    }

    fn answer(&mut self, conn: ConnId, status: u16, not_run: bool, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        let fields: &[(&str, &str)] = if not_run { &[("x-not-run", "1")] } else { &[] };
        connection.answer(status, fields, b"", out);
        if !connection.finish_answer(now, out) {
            self.connections.remove(&conn);
        }
    }

    fn serve(&mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>) {
        match (received.method(), received.target()) {
            ("GET", "/-/load" | "/-/healthy") => self.answer(conn, 200, false, out),
            ("DELETE", target) => {
                if let Some(request) = target.strip_prefix("/v1/holds/") {
                    open_ledger(&self.ledger).states.remove(request);
                }
                self.answer(conn, 204, false, out);
            }
            ("POST", _) => self.attempt(conn, received, out),
            _ => self.answer(conn, 404, false, out),
        }
    }

    fn attempt(&mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>) {
        let Some(request) = received.head.get("x-request-id").map(str::to_owned) else {
            return self.answer(conn, 404, false, out);
        };
        let (attempt, has_state) = {
            let mut ledger = open_ledger(&self.ledger);
            ledger.attempts += 1;
            (AttemptId(ledger.attempts), ledger.states.contains_key(&request))
        };
        let reads = self.layout.role == EngineRole::Reads;
        let (engine, place) = (self.layout.name.clone(), self.layout.place.clone());
        self.see(Seen::Arrived { attempt, request: request.clone(), engine, place, reads });
        let fault = self.draw_fault();
        match fault {
            Some(ExchangeFault::TurnedAway) => return self.turn_away(conn, attempt, 503, out),
            Some(ExchangeFault::TurnedAwayLate) => return self.turn_away(conn, attempt, 504, out),
            Some(ExchangeFault::ResetAtLastByte) => return self.close(conn, attempt, true, out),
            Some(ExchangeFault::EndAtLastByte) => return self.close(conn, attempt, false, out),
            _ if self.layout.role == EngineRole::Writes && !has_state => {
                return self.turn_away(conn, attempt, 410, out);
            }
            _ => {}
        }
        let takes = self.random.millis(2, 60);
        self.after(takes, Due::Answer(attempt.0));
        self.work.insert(attempt.0, Work { conn, attempt, request, fault });
    }

    fn turn_away(&mut self, conn: ConnId, attempt: AttemptId, status: u16, out: &mut Vec<Output>) {
        self.see(Seen::TurnedAway(attempt));
        self.answer(conn, status, true, out);
    }

    fn close(&mut self, conn: ConnId, attempt: AttemptId, resets: bool, out: &mut Vec<Output>) {
        self.see(Seen::Over(attempt));
        self.connections.remove(&conn);
        out.push(if resets { Output::Abort(conn) } else { Output::CloseWhenSent(conn) });
    }

    fn finish(&mut self, number: u64, out: &mut Vec<Output>) {
        let Some(work) = self.work.get(&number) else { return };
        if work.fault == Some(ExchangeFault::Silence) {
            return;
        }
        let Some(Work { conn, attempt, request, fault }) = self.work.remove(&number) else { return };
        match fault {
            Some(ExchangeFault::Error) => {
                self.see(Seen::Over(attempt));
                return self.answer(conn, 500, false, out);
            }
            Some(ExchangeFault::ResetInHead) => {
                out.push(Output::Write(conn, b"HTTP/1.1 200 O".to_vec()));
                return self.close(conn, attempt, true, out);
            }
            _ => {}
        }
        if self.layout.role == EngineRole::Reads {
            open_ledger(&self.ledger).states.insert(request, self.layout.name.clone());
            self.see(Seen::Over(attempt));
            self.answer(conn, 202, false, out);
        } else {
            open_ledger(&self.ledger).states.remove(&request);
            self.stream(conn, &request, fault, out);
            self.see(Seen::Over(attempt));
        }
        let stray = fault.filter(|fault| fault.follows_a_good_answer());
        if let Some(stray) = stray {
            let time = self.random.millis(0, self.layout.stray_most_ms);
            self.after(time, Due::Stray(conn, stray));
        }
    }

    fn stream(&mut self, conn: ConnId, request: &str, fault: Option<ExchangeFault>, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.begin_stream(&[], out);
        for n in 0..STREAM_EVENTS {
            let event =
                format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{request} {n}\"}}}}]}}\n\n");
            connection.write(http::chunk(event.as_bytes()), out);
            if fault == Some(ExchangeFault::ResetInStream) {
                self.connections.remove(&conn);
                return out.push(Output::Abort(conn));
            }
        }
        connection.write(http::chunk(b"data: [DONE]\n\n"), out);
        connection.write(LAST_CHUNK.to_vec(), out);
        if !connection.finish_answer(now, out) {
            self.connections.remove(&conn);
        }
    }

    fn stray(&mut self, conn: ConnId, fault: ExchangeFault, out: &mut Vec<Output>) {
        if !self.connections.contains_key(&conn) {
            return;
        }
        let answer: &[u8] = match fault {
            ExchangeFault::StrayTurnedAway => {
                b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            }
            ExchangeFault::StrayNoState => b"HTTP/1.1 410 Gone\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
            ExchangeFault::StrayRead => b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
            _ => {
                out.push(if fault == ExchangeFault::ResetIdle {
                    Output::Abort(conn)
                } else {
                    Output::CloseWhenSent(conn)
                });
                return self.gone(conn);
            }
        };
        out.push(Output::Write(conn, answer.to_vec()));
    }

    /// A connection is over, and with it what was at work on it.
    fn gone(&mut self, conn: ConnId) {
        self.connections.remove(&conn);
        let mine: Vec<u64> = self.work.iter().filter(|(_, w)| w.conn == conn).map(|(&n, _)| n).collect();
        for number in mine {
            if let Some(work) = self.work.remove(&number) {
                self.see(Seen::Over(work.attempt));
            }
        }
    }

    fn data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.feed(now, bytes, out);
        loop {
            let Some(connection) = self.connections.get_mut(&conn) else { return };
            match connection.receive(now, out) {
                Ok(Some(received)) => self.serve(conn, &received, out),
                Ok(None) => break,
                Err(_) => {
                    out.push(Output::Abort(conn));
                    return self.gone(conn);
                }
            }
        }
        let in_part = self
            .connections
            .get(&conn)
            .is_some_and(|c| c.state == slipreel_connections::ClientState::Receiving);
        let may_reset = self.layout.faults.contains(&ExchangeFault::ResetAtFirstByte);
        if in_part && may_reset && self.random.chance(self.layout.fault_share / 4.0) {
            out.push(Output::Abort(conn));
            self.gone(conn);
        }
    }
}

impl ExchangeFault {
    fn follows_a_good_answer(self) -> bool {
        use ExchangeFault::{CloseIdle, ResetIdle, StrayNoState, StrayRead, StrayTurnedAway};
        matches!(self, StrayTurnedAway | StrayNoState | StrayRead | CloseIdle | ResetIdle)
    }
}

impl Machine for HostileEngine {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = now;
        while let Some(number) = self.wheel.pop(now) {
            match self.due.remove(&number) {
                Some(Due::Answer(attempt)) => self.finish(attempt, out),
                Some(Due::Stray(conn, fault)) => self.stray(conn, fault, out),
                None => {}
            }
        }
        match input {
            Input::Accepted(conn, door) => {
                let connection = ClientConnection::new(conn, door, now, Limits::default(), 1 << 20);
                self.connections.insert(conn, connection);
            }
            Input::Data(conn, bytes) => self.data(conn, bytes, out),
            Input::Sent(conn, n) => {
                if let Some(connection) = self.connections.get_mut(&conn) {
                    connection.unsent = connection.unsent.saturating_sub(n);
                }
            }
            Input::Eof(conn) => {
                out.push(Output::CloseWhenSent(conn));
                self.gone(conn);
            }
            Input::Lost(conn, _) => self.gone(conn),
            Input::OwnerMessage(news) if news.is::<EngineDies>() => {
                let connections: Vec<ConnId> = self.connections.keys().copied().collect();
                connections.into_iter().for_each(|conn| self.gone(conn));
            }
            _ => {}
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.wheel.next_at()
    }
}
