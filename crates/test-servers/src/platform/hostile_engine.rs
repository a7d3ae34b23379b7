//! An engine that can fail at each step of an exchange, and records what it received for the checker of
//! repeats.

use super::Random;
use slipreel_connections::{ClientConnection, ReceivedRequest, TimerWheel};
use slipreel_invariants::repeats::{AttemptId, Fact, Place, Seen};
use slipreel_protocol::http::{self, Limits, LAST_CHUNK};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What the hostile engines and repeating clients of one test day share.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Observations for the checker of repeats.
    pub facts: Vec<Fact>,
    /// By request: the engine that holds the state of its prompt.
    held_states: BTreeMap<String, String>,
    attempts: u64,
    /// When each router was killed. Clients don't send again what a killed router may have read: the
    /// connections of a killed process may end as if they were closed gracefully.
    killed: BTreeMap<SocketAddr, Duration>,
}

/// Shared access to a ledger.
pub type SharedLedger = Arc<Mutex<Ledger>>;

/// Locks the ledger, also after a panic of another holder.
pub fn lock_ledger(ledger: &SharedLedger) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The time within which all connections of a killed router have ended.
const KILL_EFFECT_TIME: Duration = Duration::from_secs(1);

impl Ledger {
    /// Records an observation.
    pub fn see(&mut self, at: Duration, seen: Seen) {
        self.facts.push(Fact { at, seen });
    }

    /// Records that a router is killed.
    pub fn router_killed(&mut self, at: Duration, router: SocketAddr) {
        self.killed.insert(router, at);
    }

    /// Whether a router was killed so recently that its connections may still be ending.
    pub fn was_killed(&self, now: Duration, router: SocketAddr) -> bool {
        self.killed.get(&router).is_some_and(|&at| now <= at + KILL_EFFECT_TIME)
    }
}

/// Which phases an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRole {
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Both phases.
    Mixed,
}

/// A fault at one step of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExchangeFault {
    /// The connection is reset when the first bytes of the request arrive.
    ResetAtFirstByte,
    /// The connection is reset when the last byte of the request arrives. The attempt has run.
    ResetAtLastByte,
    /// The connection is closed gracefully when the last byte of the request arrives. The attempt has run.
    EndAtLastByte,
    /// No answer is sent.
    Silence,
    /// 503 with `X-Not-Run: 1`.
    TurnedAway,
    /// 504 with `X-Not-Run: 1`.
    TurnedAwayLate,
    /// 500 after the attempt has run.
    Error,
    /// The connection is reset within the head of the answer.
    ResetInHead,
    /// The connection is reset after the first event.
    ResetInStream,
    /// A good answer, and some time later an unsolicited response on the idle connection: 503 with
    /// `X-Not-Run: 1`.
    StrayTurnedAway,
    /// The same with 410 and `X-Not-Run: 1`.
    StrayNoState,
    /// The same with 202.
    StrayRead,
    /// A good answer, and the connection is closed gracefully some time later.
    CloseIdle,
    /// A good answer, and the connection is reset some time later.
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

/// Owner message for an engine: its process is about to be killed, and with it all of its attempts.
#[derive(Clone, Copy, Debug)]
pub struct EngineKilled;

/// The parameters of an engine.
#[derive(Clone, Debug)]
pub struct EngineLayout {
    /// Its name.
    pub name: String,
    /// Which phases it runs.
    pub role: EngineRole,
    /// Its zone and cell.
    pub place: Place,
    /// The faults that may be injected.
    pub faults: Vec<ExchangeFault>,
    /// The share of attempts that get one of them.
    pub fault_share: f64,
    /// The most milliseconds from a good answer to a stray response or the close of the connection.
    pub stray_most_ms: u64,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// An attempt in progress.
struct ActiveAttempt {
    conn: ConnId,
    attempt: AttemptId,
    request: String,
    fault: Option<ExchangeFault>,
}

/// What to do when a timer is due.
enum TimerAction {
    Answer(u64),
    Stray(ConnId, ExchangeFault),
}

/// An engine that fails at random.
pub struct HostileEngine {
    layout: EngineLayout,
    ledger: SharedLedger,
    now: Duration,
    random: Random,
    connections: BTreeMap<ConnId, ClientConnection>,
    active_attempts: BTreeMap<u64, ActiveAttempt>,
    timers: TimerWheel<u64>,
    timer_actions: BTreeMap<u64, TimerAction>,
    last_timer: u64,
}

/// Events in the stream of an answer, without `[DONE]`.
const EVENTS_PER_STREAM: usize = 3;

impl HostileEngine {
    /// An engine with these parameters.
    pub fn new(layout: EngineLayout, ledger: &SharedLedger) -> Self {
        HostileEngine {
            random: Random::new(layout.seed),
            layout,
            ledger: ledger.clone(),
            now: Duration::ZERO,
            connections: BTreeMap::new(),
            active_attempts: BTreeMap::new(),
            timers: TimerWheel::default(),
            timer_actions: BTreeMap::new(),
            last_timer: 0,
        }
    }

    fn see(&self, seen: Seen) {
        lock_ledger(&self.ledger).see(self.now, seen);
    }

    /// Sets a timer.
    fn schedule(&mut self, time: Duration, action: TimerAction) {
        self.last_timer += 1;
        self.timer_actions.insert(self.last_timer, action);
        self.timers.set(self.now + time, self.last_timer);
    }

    /// Draws the fault of an attempt.
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
                    lock_ledger(&self.ledger).held_states.remove(request);
                }
                self.answer(conn, 204, false, out);
            }
            ("POST", _) => self.start_attempt(conn, received, out),
            _ => self.answer(conn, 404, false, out),
        }
    }

    fn start_attempt(&mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>) {
        let Some(request) = received.head.get("x-request-id").map(str::to_owned) else {
            return self.answer(conn, 404, false, out);
        };
        let (attempt, has_state) = {
            let mut ledger = lock_ledger(&self.ledger);
            ledger.attempts += 1;
            (AttemptId(ledger.attempts), ledger.held_states.contains_key(&request))
        };
        let reads = self.layout.role == EngineRole::Prefill;
        let (engine, place) = (self.layout.name.clone(), self.layout.place.clone());
        self.see(Seen::Arrived { attempt, request: request.clone(), engine, place, is_prefill: reads });
        let fault = self.draw_fault();
        match fault {
            Some(ExchangeFault::TurnedAway) => return self.turn_away(conn, attempt, 503, out),
            Some(ExchangeFault::TurnedAwayLate) => return self.turn_away(conn, attempt, 504, out),
            Some(ExchangeFault::ResetAtLastByte) => return self.end_connection(conn, attempt, true, out),
            Some(ExchangeFault::EndAtLastByte) => return self.end_connection(conn, attempt, false, out),
            _ if self.layout.role == EngineRole::Decode && !has_state => {
                return self.turn_away(conn, attempt, 410, out);
            }
            _ => {}
        }
        let time = self.random.millis(2, 60);
        self.schedule(time, TimerAction::Answer(attempt.0));
        self.active_attempts.insert(attempt.0, ActiveAttempt { conn, attempt, request, fault });
    }

    fn turn_away(&mut self, conn: ConnId, attempt: AttemptId, status: u16, out: &mut Vec<Output>) {
        self.see(Seen::TurnedAway(attempt));
        self.answer(conn, status, true, out);
    }

    fn end_connection(&mut self, conn: ConnId, attempt: AttemptId, is_reset: bool, out: &mut Vec<Output>) {
        self.see(Seen::Finished(attempt));
        self.connections.remove(&conn);
        out.push(if is_reset { Output::Abort(conn) } else { Output::CloseWhenSent(conn) });
    }

    fn finish(&mut self, number: u64, out: &mut Vec<Output>) {
        let Some(active) = self.active_attempts.get(&number) else { return };
        if active.fault == Some(ExchangeFault::Silence) {
            return;
        }
        let Some(ActiveAttempt { conn, attempt, request, fault }) = self.active_attempts.remove(&number)
        else {
            return;
        };
        match fault {
            Some(ExchangeFault::Error) => {
                self.see(Seen::Finished(attempt));
                return self.answer(conn, 500, false, out);
            }
            Some(ExchangeFault::ResetInHead) => {
                out.push(Output::Write(conn, b"HTTP/1.1 200 O".to_vec()));
                return self.end_connection(conn, attempt, true, out);
            }
            _ => {}
        }
        if self.layout.role == EngineRole::Prefill {
            lock_ledger(&self.ledger).held_states.insert(request, self.layout.name.clone());
            self.see(Seen::Finished(attempt));
            self.answer(conn, 202, false, out);
        } else {
            lock_ledger(&self.ledger).held_states.remove(&request);
            self.send_stream(conn, &request, fault, out);
            self.see(Seen::Finished(attempt));
        }
        let stray = fault.filter(|fault| fault.follows_a_good_answer());
        if let Some(stray) = stray {
            let time = self.random.millis(0, self.layout.stray_most_ms);
            self.schedule(time, TimerAction::Stray(conn, stray));
        }
    }

    fn send_stream(
        &mut self, conn: ConnId, request: &str, fault: Option<ExchangeFault>, out: &mut Vec<Output>,
    ) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.begin_stream(&[], out);
        for n in 0..EVENTS_PER_STREAM {
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

    fn send_stray(&mut self, conn: ConnId, fault: ExchangeFault, out: &mut Vec<Output>) {
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
                return self.connection_closed(conn);
            }
        };
        out.push(Output::Write(conn, answer.to_vec()));
    }

    /// A connection has closed, and its attempts have ended.
    fn connection_closed(&mut self, conn: ConnId) {
        self.connections.remove(&conn);
        let its_attempts: Vec<u64> =
            self.active_attempts.iter().filter(|(_, a)| a.conn == conn).map(|(&n, _)| n).collect();
        for number in its_attempts {
            if let Some(active) = self.active_attempts.remove(&number) {
                self.see(Seen::Finished(active.attempt));
            }
        }
    }

    fn receive(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
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
                    return self.connection_closed(conn);
                }
            }
        }
        let is_incomplete = self
            .connections
            .get(&conn)
            .is_some_and(|c| c.state == slipreel_connections::ClientState::Receiving);
        let may_reset = self.layout.faults.contains(&ExchangeFault::ResetAtFirstByte);
        if is_incomplete && may_reset && self.random.chance(self.layout.fault_share / 4.0) {
            out.push(Output::Abort(conn));
            self.connection_closed(conn);
        }
    }
}

impl ExchangeFault {
    /// Whether the engine first answers well and injects the fault later.
    fn follows_a_good_answer(self) -> bool {
        use ExchangeFault::{CloseIdle, ResetIdle, StrayNoState, StrayRead, StrayTurnedAway};
        matches!(self, StrayTurnedAway | StrayNoState | StrayRead | CloseIdle | ResetIdle)
    }
}

impl Machine for HostileEngine {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = now;
        while let Some(number) = self.timers.pop(now) {
            match self.timer_actions.remove(&number) {
                Some(TimerAction::Answer(attempt)) => self.finish(attempt, out),
                Some(TimerAction::Stray(conn, fault)) => self.send_stray(conn, fault, out),
                None => {}
            }
        }
        match input {
            Input::Accepted(conn, listener) => {
                let connection = ClientConnection::new(conn, listener, now, Limits::default(), 1 << 20);
                self.connections.insert(conn, connection);
            }
            Input::Data(conn, bytes) => self.receive(conn, bytes, out),
            Input::Sent(conn, n) => {
                if let Some(connection) = self.connections.get_mut(&conn) {
                    connection.unsent = connection.unsent.saturating_sub(n);
                }
            }
            Input::Eof(conn) => {
                out.push(Output::CloseWhenSent(conn));
                self.connection_closed(conn);
            }
            Input::Lost(conn, _) => self.connection_closed(conn),
            Input::OwnerMessage(message) if message.is::<EngineKilled>() => {
                let connections: Vec<ConnId> = self.connections.keys().copied().collect();
                connections.into_iter().for_each(|conn| self.connection_closed(conn));
            }
            _ => {}
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.timers.next_at()
    }
}
