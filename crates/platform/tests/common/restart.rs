//! A planned restart of one router in virtual time, drawn from a seed: clients that go on sending, engines with
//! long streams, crowds of idle clients and series of signals.

use super::{
    chunk, config_for_restart, event, ms, opened, request, stream_end, Harness, PREFILLED, RELEASED,
    STREAM_HEAD,
};
use slipreel_platform::Config;
use slipreel_state_machine::{ConnId, Input, ListenerId, Output};
use slipreel_test_servers::platform::Random;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

/// When the stop signal is sent, after the start.
const STOP_AT: Duration = ms(2_000);
/// A request counts if it arrives this long after the stop signal: 0.7 s, and 50 ms that every limit on
/// sockets gets.
const LATE_AFTER: Duration = ms(750);
/// How long after the stop signal new connections keep arriving.
const ARRIVALS_AFTER_STOP: u64 = 400;
/// How long the process may be held up between the signal and its handling.
const MAX_HOLD_UP: u64 = 150;
/// Connections of a crowd: more than the router has slots for.
const CROWD_SIZE: u64 = 150;
const CLIENTS: usize = 40;

/// What a run draws from its seed.
#[derive(Debug)]
pub struct Plan {
    seed: u64,
    resumes: bool,
    longest_deadline: Duration,
    /// How long the router's process is held up when the signal arrives.
    hold_up: Duration,
    /// The time between two events of a stream, and the largest number of events.
    event_interval: Duration,
    max_events: usize,
    /// Share of prefills that are never answered.
    hanging: f64,
    /// Whether idle clients fill the descriptors just before the stop signal.
    is_crowded: bool,
    /// Further stop signals and reloads, after the first.
    signals: usize,
}

impl Plan {
    /// The plan of a seed.
    pub fn drawn(seed: u64) -> Plan {
        let mut random = Random::new(seed);
        Plan {
            seed,
            resumes: random.chance(0.5),
            longest_deadline: ms(random.one_of(&[600, 1_000, 2_000, 3_000, 7_500])),
            hold_up: if random.chance(0.5) { random.millis(0, MAX_HOLD_UP) } else { Duration::ZERO },
            event_interval: random.millis(20, 250),
            max_events: 2 + random.below(60),
            hanging: if random.chance(0.3) { 0.3 } else { 0.0 },
            is_crowded: random.chance(0.3),
            signals: random.below(4),
        }
    }

    fn kill_at(&self) -> Duration {
        STOP_AT + self.longest_deadline.min(ms(3_000)) + ms(700)
    }
}

/// What happens at a time of the run.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Stop,
    Reload,
    /// A client that idles connects.
    IdleClient(u64),
    /// A client connects.
    Connect(usize),
    /// A client writes a part of its request; with the last part the request is complete.
    Write {
        client: usize,
        is_last: bool,
    },
    /// A connection to an engine is established.
    Established(ConnId),
    /// An engine sends bytes.
    EngineSends(ConnId, Vec<u8>),
}

/// One client and its present request.
struct Client {
    conn: ConnId,
    is_connected: bool,
    /// How long it takes to write a request.
    write_time: Duration,
    requests_sent: usize,
    /// When the last byte of its open request arrived.
    arrived: Option<Duration>,
    received: Vec<u8>,
}

/// What was found when the process was killed.
pub struct Kill {
    /// Requests that were lost, as texts.
    pub lost: Vec<String>,
    /// How often what the plan asks for took effect.
    pub counts: BTreeMap<&'static str, usize>,
}

/// A run of a plan.
pub struct Restart<'a> {
    plan: &'a Plan,
    random: Random,
    harness: Harness,
    start: Duration,
    steps: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    step_count: u64,
    clients: Vec<Client>,
    /// Connections to engines that the router has closed.
    closed: BTreeSet<ConnId>,
    has_ended: bool,
    lost: Vec<String>,
    counts: BTreeMap<&'static str, usize>,
}

impl<'a> Restart<'a> {
    /// A router with its clients, before the stop signal.
    pub fn new(plan: &'a Plan) -> Self {
        let harness = Harness::with(&config_for_restart(plan.resumes, plan.longest_deadline));
        let mut run = Restart {
            plan,
            random: Random::new(plan.seed ^ 0x5eed),
            start: harness.now,
            harness,
            steps: BinaryHeap::new(),
            step_count: 0,
            clients: Vec::new(),
            closed: BTreeSet::new(),
            has_ended: false,
            lost: Vec::new(),
            counts: BTreeMap::new(),
        };
        run.plan_clients();
        run.plan_signals();
        run
    }

    fn plan_clients(&mut self) {
        for client in 0..CLIENTS {
            let is_slow = self.random.chance(0.4);
            let write_time = if is_slow { self.random.millis(200, 2_300) } else { Duration::ZERO };
            self.clients.push(Client {
                conn: ConnId(1 + client as u64),
                is_connected: false,
                write_time,
                requests_sent: 0,
                arrived: None,
                received: Vec::new(),
            });
            let at = self.random.millis(0, 2_000 + ARRIVALS_AFTER_STOP);
            self.plan(at, Step::Connect(client));
        }
        if self.plan.is_crowded {
            for number in 0..CROWD_SIZE {
                let at = STOP_AT - self.random.millis(1, 300);
                self.plan(at, Step::IdleClient(10_000 + number));
            }
        }
    }

    fn plan_signals(&mut self) {
        self.plan(STOP_AT, Step::Stop);
        for _ in 0..self.plan.signals {
            let step = if self.random.chance(0.5) { Step::Stop } else { Step::Reload };
            let at = STOP_AT + self.random.millis(0, 1_500);
            self.plan(at, step);
        }
    }

    /// Plans a step at a time since the start.
    fn plan(&mut self, at: Duration, step: Step) {
        self.step_count += 1;
        self.steps.push(Reverse((at, self.step_count, step)));
    }

    fn plan_after(&mut self, delay: Duration, step: Step) {
        self.plan(self.now() + delay, step);
    }

    fn now(&self) -> Duration {
        self.harness.now - self.start
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Runs until the process is killed or has ended, and judges each open request.
    pub fn run_to_kill(mut self) -> Kill {
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            if at >= self.plan.kill_at() || self.has_ended {
                break;
            }
            // While the process is held up, neither inputs nor timers are handled.
            let is_held_up = at >= STOP_AT && at < STOP_AT + self.plan.hold_up;
            if !is_held_up {
                self.advance_to(at);
            } else if self.now() < STOP_AT + self.plan.hold_up {
                self.harness.now = self.start + STOP_AT + self.plan.hold_up;
            }
            if !self.has_ended {
                self.take(at, step);
            }
        }
        if !self.has_ended {
            self.advance_to(self.plan.kill_at());
        }
        for client in 0..CLIENTS {
            self.judge_open_request(client);
        }
        Kill { lost: self.lost, counts: self.counts }
    }

    fn advance_to(&mut self, at: Duration) {
        let time = (self.start + at).saturating_sub(self.harness.now);
        let out = self.harness.advance(time);
        self.handle_outputs(out);
    }

    fn take(&mut self, at: Duration, step: Step) {
        let out = match step {
            Step::Stop => {
                self.count(if at == STOP_AT { "stopped" } else { "stopped twice" });
                self.harness.handle(Input::Stop)
            }
            Step::Reload => {
                let text = config_for_restart(self.plan.resumes, self.plan.longest_deadline);
                let config = Config::parse(&text).expect("a configuration that can be read");
                self.harness.handle(Input::OwnerMessage(&config))
            }
            Step::IdleClient(conn) => {
                self.count("crowded");
                self.harness.handle(Input::Accepted(ConnId(conn), ListenerId(0)))
            }
            Step::Connect(client) => {
                self.clients[client].is_connected = true;
                self.plan_request(client, Duration::ZERO);
                self.harness.handle(Input::Accepted(self.clients[client].conn, ListenerId(0)))
            }
            Step::Write { client, is_last } => self.write(at, client, is_last),
            Step::Established(conn) if !self.closed.contains(&conn) => self.harness.connected(conn),
            Step::EngineSends(conn, bytes) if !self.closed.contains(&conn) => {
                self.harness.receive(conn, bytes)
            }
            Step::Established(_) | Step::EngineSends(..) => Vec::new(),
        };
        self.handle_outputs(out);
    }

    /// Plans the parts of a client's next request.
    fn plan_request(&mut self, client: usize, delay: Duration) {
        let write_time = self.clients[client].write_time;
        self.plan_after(delay, Step::Write { client, is_last: false });
        self.plan_after(delay + write_time, Step::Write { client, is_last: true });
    }

    /// A client writes all of its request but the last byte, or the last byte.
    fn write(&mut self, at: Duration, client: usize, is_last: bool) -> Vec<Output> {
        let state = &mut self.clients[client];
        if !state.is_connected || state.arrived.is_some() {
            return Vec::new();
        }
        let text = request("chat", &format!("c{client}-{}", state.requests_sent));
        let (first, last) = text.split_at(text.len() - 1);
        if is_last {
            state.arrived = Some(at);
            state.requests_sent += 1;
            state.received.clear();
            if at > STOP_AT + LATE_AFTER {
                self.count("arrived late");
            }
        }
        let conn = self.clients[client].conn;
        self.harness.receive(conn, if is_last { last } else { first })
    }

    fn handle_outputs(&mut self, outputs: Vec<Output>) {
        for (conn, _) in opened(&outputs) {
            self.plan_after(ms(1), Step::Established(conn));
        }
        for output in outputs {
            match output {
                Output::Write(conn, bytes) if conn.is_opened() => self.engine_receives(conn, &bytes),
                Output::Write(conn, bytes) => self.client_receives(conn, &bytes),
                Output::Abort(conn) | Output::CloseWhenSent(conn) if conn.is_opened() => {
                    self.closed.insert(conn);
                }
                Output::Abort(conn) | Output::CloseWhenSent(conn) => self.client_closed(conn),
                Output::Stopped => self.has_ended = true,
                _ => {}
            }
        }
    }

    /// An engine answers a request: with a prefill, a stream or an acknowledgement.
    fn engine_receives(&mut self, conn: ConnId, bytes: &[u8]) {
        if bytes.starts_with(b"DELETE ") {
            return self.plan_after(ms(1), Step::EngineSends(conn, RELEASED.into()));
        }
        if !bytes.starts_with(b"POST ") {
            return;
        }
        let is_prefill = String::from_utf8_lossy(bytes).contains("host: 127.0.0.1:1\r\n");
        if is_prefill && self.random.chance(self.plan.hanging) {
            return;
        }
        let mut at = self.random.millis(5, 60);
        if is_prefill {
            return self.plan_after(at, Step::EngineSends(conn, PREFILLED.into()));
        }
        self.plan_after(at, Step::EngineSends(conn, STREAM_HEAD.into()));
        for _ in 0..=self.random.below(self.plan.max_events) {
            self.plan_after(at, Step::EngineSends(conn, chunk(&event("word")).into()));
            at += self.plan.event_interval;
        }
        self.plan_after(at, Step::EngineSends(conn, stream_end().into()));
    }

    fn client_of(&self, conn: ConnId) -> Option<usize> {
        self.clients.iter().position(|client| client.conn == conn)
    }

    fn client_receives(&mut self, conn: ConnId, bytes: &[u8]) {
        let out = self.harness.handle(Input::Sent(conn, bytes.len()));
        self.handle_outputs(out);
        let Some(client) = self.client_of(conn) else { return };
        self.clients[client].received.extend_from_slice(bytes);
        let Some(status) = self.complete_answer(client) else { return };
        let is_late = self.clients[client].arrived.is_some_and(|at| at > STOP_AT + LATE_AFTER);
        if is_late {
            self.count(if status == 200 { "served late" } else { "rejected late" });
        }
        self.clients[client].arrived = None;
        // It goes on sending for as long as its connection stays open.
        let pause = self.random.millis(0, 400);
        self.plan_request(client, pause);
    }

    /// The status of the answer to a client's open request, if the answer is complete.
    fn complete_answer(&self, client: usize) -> Option<u16> {
        let state = &self.clients[client];
        state.arrived?;
        let text = String::from_utf8_lossy(&state.received);
        let status = text.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()?;
        let is_complete = if status == 200 { text.ends_with("0\r\n\r\n") } else { text.ends_with('}') };
        is_complete.then_some(status)
    }

    /// The router closes a client's connection. A request that is open then is lost, unless its client resumes
    /// the stream.
    fn client_closed(&mut self, conn: ConnId) {
        let Some(client) = self.client_of(conn) else { return };
        let state = &mut self.clients[client];
        state.is_connected = false;
        let Some(arrived) = state.arrived.take() else { return };
        let is_migrated = self.plan.resumes && state.received.starts_with(b"HTTP/1.1 200 ");
        if is_migrated {
            return self.count("migrated");
        }
        let closed = self.now();
        self.lost.push(format!("client {client}: arrived {arrived:?}, closed {closed:?} without an answer"));
    }

    /// A request that is open as the process ends is lost if it arrived late, or if the router ended by itself.
    fn judge_open_request(&mut self, client: usize) {
        let Some(arrived) = self.clients[client].arrived else { return };
        if self.has_ended || arrived > STOP_AT + LATE_AFTER {
            let received = String::from_utf8_lossy(&self.clients[client].received).len();
            self.lost.push(format!(
                "client {client}: arrived {arrived:?}, cut off at {:?} after {received} bytes",
                self.now()
            ));
        }
    }
}
