//! The node as a machine: takes inputs in turn, fires timers, and lets the module decide until nothing is left.

use crate::clients::NEW_CONNECTION_GRACE;
use crate::config::Config;
use crate::counters::Counters;
use crate::endpoint_list::EndpointList;
use crate::endpoints::Endpoints;
use crate::engine_connection::{ConnectionPurpose, EngineConnection, State as ConnectionState};
use crate::load_report::ReportLayout;
use crate::log_limiter::LogLimiter;
use crate::proof::{AttemptEnd, NeverRan};
use crate::recent_ids::RecentIds;
use crate::release;
use crate::request::ActiveRequest;
use crate::resource_limits::ResourceLimits;
use crate::watch::{State as WatchState, Watch};
use slipreel::{EngineId, Event, Outcome, RequestId, Router, StateSizes, TimerId};
use slipreel_connections::{
    Client, Due, Pool, ReleaseId, ReleaseQueue, State as ClientState, TimerKey, Trust, Wheel,
};
use slipreel_platform_settings::Profile;
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Machine, Output};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// A connection whose first request has not come in whole is closed after this: within the 3 s that the protocol allows.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_400);
/// From when something of a request has come it has to be complete within this; same reason.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2_400);
/// A client that takes nothing for so long while something waits for it is cut off.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_millis(10_000);
/// A stream that is silent for so long is given up: under the 5 s after which its client would be left waiting.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(4_200);
/// A health check is answered within this, or counts as lost.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection for a release may take to carry it.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// An idle connection to an engine is closed at this fraction of the engine's own idle timeout.
const ENGINE_IDLE_FRACTION: f64 = 0.5;
/// The engine's idle timeout where the settings name none.
const DEFAULT_ENGINE_IDLE_TIMEOUT: Duration = Duration::from_millis(8_000);
/// The last byte of a request that must not be repeated is held back for so long: a peer that resets the connection as a
/// request comes in is seen to do so in this time.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(3);
/// After it was told to stop, a router goes on taking requests for so long: who comes still has to be answered. From the
/// protocol.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(700);
/// So long after the start of a shutdown streams are migrated, where clients resume them: late enough for most to end by
/// themselves, and early enough that the next router in a rolling restart is still up.
const STREAM_MIGRATION_DELAY: Duration = Duration::from_millis(2_400);
/// The longest wait of a client that the time until the kill goes by. From the protocol.
const MAX_CLIENT_WAIT: Duration = Duration::from_millis(3_000);
/// So long before the kill nothing is left unanswered.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(450);
/// The least time after which a machine is woken again rather than in the same moment.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);
/// The time between two status lines.
const STATUS_INTERVAL: Duration = Duration::from_millis(10_000);

/// Why a timer was set.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    Module(TimerId),
    Client(ConnId),
    EngineConnection(ConnId),
    /// An attempt's time-out, where the module gives one.
    Attempt(RequestId, usize),
    /// A release may be due again.
    Release(ReleaseId),
    Watch,
    /// The next step of a stop is due.
    Stop,
    /// Nothing was left to do after a stop, and whoever had just connected has been handed over.
    StoppedListening,
    /// To say how things stand.
    Standing,
}

/// How far a router that ends is with its listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listening {
    Open,
    /// The driver was told to close it, and hands over those who wait at it.
    Closing,
    Closed,
}

/// A router on the platform, without I/O and clock.
///
/// Takes as [`Input::OwnerMessage`]: a [`Config`], when the file was replaced.
pub struct PlatformRouter {
    pub(crate) now: Duration,
    pub(crate) resource_limits: ResourceLimits,
    pub(crate) profile: Profile,
    pub(crate) report_layout: ReportLayout,
    router: Router,
    pub(crate) endpoints: Endpoints,
    pub(crate) watch: Watch,
    pub(crate) clients: HashMap<ConnId, Client>,
    client_timers: Due,
    /// Clients whose first request has not come yet.
    pub(crate) awaiting_first_request: HashMap<ConnId, Duration>,
    pub(crate) engine_connections: HashMap<ConnId, EngineConnection>,
    engine_timers: Due,
    pub(crate) pool: Pool,
    pub(crate) trust: Trust,
    pub(crate) requests: BTreeMap<RequestId, ActiveRequest>,
    /// Open requests by the name their clients gave them.
    pub(crate) open_by_client_id: HashMap<String, RequestId>,
    /// Ids of requests that were sent on to engines lately.
    pub(crate) recently_forwarded: RecentIds,
    pub(crate) timers: Wheel<Timer>,
    watch_timer: Option<TimerKey>,
    pub(crate) events: VecDeque<Event>,
    pub(crate) finished: Vec<RequestId>,
    pub(crate) releases: ReleaseQueue,
    pub(crate) held_bytes: usize,
    next_conn: u64,
    pub(crate) next_request: u64,
    pub(crate) ready: bool,
    pub(crate) stopping: Option<Duration>,
    stopped: bool,
    listening: Listening,
    log: LogLimiter,
    /// Stories of writes that never ran since it last said how things stand.
    pub(crate) never_ran_lines: u32,
    pub(crate) counters: Counters,
}

impl PlatformRouter {
    /// A node at its start. `wall` is the wall clock, since the epoch, at the clock's time `now`.
    pub fn new(config: Config, now: Duration, wall: Duration) -> Self {
        let Config { discovery, seed, resource_limits, known, profile, .. } = config;
        let mut node = PlatformRouter {
            now,
            resource_limits,
            report_layout: ReportLayout::of(&profile),
            router: Router::new(profile.settings.clone(), seed),
            endpoints: Endpoints::new(&profile, now, wall),
            watch: Watch::new(discovery, now, seed),
            clients: HashMap::new(),
            client_timers: Due::default(),
            awaiting_first_request: HashMap::new(),
            engine_connections: HashMap::new(),
            engine_timers: Due::default(),
            pool: Pool::default(),
            trust: Trust::default(),
            requests: BTreeMap::new(),
            open_by_client_id: HashMap::new(),
            recently_forwarded: RecentIds::default(),
            timers: Wheel::default(),
            watch_timer: None,
            events: VecDeque::new(),
            finished: Vec::new(),
            releases: ReleaseQueue::new(release::release_timing(&profile.settings)),
            held_bytes: 0,
            next_conn: 0,
            next_request: 0,
            ready: false,
            stopping: None,
            stopped: false,
            listening: Listening::Open,
            log: LogLimiter::default(),
            never_ran_lines: 0,
            counters: Counters::default(),
            profile,
        };
        if let Some(known) = known {
            node.watch.holds(known.index);
            node.ready = true;
            let change = node.endpoints.take(known, true);
            node.events.push_back(change.event);
        }
        node.arm_watch_timer();
        node.timers.set(now + STATUS_INTERVAL, Timer::Standing);
        node
    }

    /// What it has done so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// What it holds: client connections, engine connections, requests under way, timers, releases.
    pub fn holds(&self) -> [usize; 5] {
        [
            self.clients.len(),
            self.engine_connections.len(),
            self.requests.len(),
            self.timers.len(),
            self.releases.len(),
        ]
    }

    /// Attempts that are out on connections, by engine: what the module counts as under way there.
    pub fn under_way(&self) -> BTreeMap<EngineId, usize> {
        let mut counts = BTreeMap::new();
        for connection in self.engine_connections.values().filter(|l| l.state != ConnectionState::Idle) {
            if matches!(connection.purpose, ConnectionPurpose::Attempt { .. }) {
                *counts.entry(connection.engine).or_default() += 1;
            }
        }
        counts
    }

    /// The same as the module counts them, of the engines that it lists.
    pub fn counted(&self) -> BTreeMap<EngineId, usize> {
        self.router.attempts_in_flight().map(|(engine, out)| (engine, out as usize)).collect()
    }

    /// What the module keeps: requests, timers, engines.
    pub fn decision_state_sizes(&self) -> StateSizes {
        self.router.state_sizes()
    }

    /// Entries of the node's other books, which go by engine and by client.
    pub fn books(&self) -> usize {
        self.endpoints.len()
            + self.open_by_client_id.len()
            + self.awaiting_first_request.len()
            + self.pool.len()
            + self.trust.len()
    }

    pub(crate) fn queue_event(&mut self, event: Event) {
        self.events.push_back(event);
    }

    pub(crate) fn next_connection_id(&mut self) -> ConnId {
        self.next_conn += 1;
        ConnId::opened(self.next_conn)
    }

    /// Lets the module decide until it has been told all; then forgets calls that are done.
    fn run_decisions(&mut self, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.router.handle(self.now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.dispatch(action, out);
            }
        }
        for id in std::mem::take(&mut self.finished) {
            if self.requests.get(&id).is_some_and(ActiveRequest::is_done) {
                self.requests.remove(&id);
            }
        }
        self.stop_when_done(out);
    }

    /// Ends in two steps once nothing is left to do after a stop: first it stops listening, so that who has just connected
    /// is still answered, and it stops for good when nobody had, or all of them have left.
    fn stop_when_done(&mut self, out: &mut Vec<Output>) {
        let released = self.releases.is_empty() || self.shutting_down_for(self.shutdown_deadline());
        let is_done = self.shutting_down_for(SHUTDOWN_GRACE)
            && self.requests.is_empty()
            && self.clients.is_empty()
            && released;
        if !is_done || self.stopped {
            return;
        }
        match self.listening {
            Listening::Open => {
                self.listening = Listening::Closing;
                out.push(Output::StopListening);
                self.await_end_of_listening();
            }
            Listening::Closing => {}
            Listening::Closed => {
                self.stopped = true;
                self.log_status(out);
                out.push(Output::Stopped);
            }
        }
    }

    /// Has the router woken once its driver has carried out all that was asked for.
    fn await_end_of_listening(&mut self) {
        if self.listening == Listening::Closing {
            self.timers.set(self.now + MIN_WAKE_DELAY, Timer::StoppedListening);
        }
    }

    /// Logs a line on a fault of a peer, at a limited rate.
    pub(crate) fn log_limited(&mut self, line: impl FnOnce() -> String, out: &mut Vec<Output>) {
        if let Some(line) = self.log.limit(self.now, line) {
            out.push(Output::Log(line));
        }
    }

    // ---- Timers -----------------------------------------------------------------------------

    fn client_deadline(&self, client: &Client) -> Option<Duration> {
        let stalled = (client.unsent > 0).then(|| client.moved + CLIENT_STALL_TIMEOUT);
        let due = match client.state {
            ClientState::Idle if self.awaiting_first_request.contains_key(&client.conn) => {
                Some(client.since + FIRST_REQUEST_TIMEOUT)
            }
            ClientState::Idle => {
                Some(client.since + self.resource_limits.client_idle_timeout(self.clients.len()))
            }
            ClientState::Receiving => {
                let first =
                    self.awaiting_first_request.get(&client.conn).map(|&at| at + FIRST_REQUEST_TIMEOUT);
                Some((client.since + RECEIVE_TIMEOUT).min(first.unwrap_or(Duration::MAX)))
            }
            ClientState::Serving(_) => None,
        };
        due.into_iter().chain(stalled).min()
    }

    fn engine_deadline(&self, connection: &EngineConnection) -> Option<Duration> {
        match (connection.state, connection.purpose) {
            (ConnectionState::Idle, _) => {
                let theirs = self.profile.idle_close.unwrap_or(DEFAULT_ENGINE_IDLE_TIMEOUT);
                Some(connection.since + theirs.mul_f64(ENGINE_IDLE_FRACTION))
            }
            (_, ConnectionPurpose::Release(_)) => Some(connection.since + RELEASE_TIMEOUT),
            (ConnectionState::Connecting, _) => {
                Some(connection.since + self.profile.settings.limits.connect_timeout)
            }
            (ConnectionState::Busy, ConnectionPurpose::Probe) => Some(connection.since + PROBE_TIMEOUT),
            (ConnectionState::Busy, ConnectionPurpose::Attempt { .. })
                if connection.is_holding_last_byte() =>
            {
                Some(connection.since + LAST_BYTE_DELAY)
            }
            (ConnectionState::Busy, ConnectionPurpose::Attempt { request, attempt }) => {
                let streaming_attempt =
                    self.requests.get(&request).is_some_and(|c| c.streaming_attempt == Some(attempt));
                (streaming_attempt && !connection.paused).then(|| connection.since + STREAM_SILENCE_TIMEOUT)
            }
        }
    }

    pub(crate) fn arm_client_timer(&mut self, conn: ConnId) {
        let due = self.clients.get(&conn).and_then(|c| self.client_deadline(c));
        self.client_timers.arm(&mut self.timers, conn, due, Timer::Client(conn));
    }

    pub(crate) fn arm_engine_timer(&mut self, conn: ConnId) {
        let due = self.engine_connections.get(&conn).and_then(|l| self.engine_deadline(l));
        self.engine_timers.arm(&mut self.timers, conn, due, Timer::EngineConnection(conn));
    }

    fn arm_watch_timer(&mut self) {
        if let Some(key) = self.watch_timer.take() {
            self.timers.cancel(key);
        }
        self.watch_timer = Some(self.timers.set(self.watch.due(), Timer::Watch));
    }

    fn fire(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Module(timer) => self.queue_event(Event::TimerFired(timer)),
            Timer::Client(conn) => {
                self.client_timers.fired(conn);
                match self.clients.get(&conn).and_then(|c| self.client_deadline(c)) {
                    Some(at) if at <= self.now => self.client_timed_out(conn, out),
                    _ => self.arm_client_timer(conn),
                }
            }
            Timer::EngineConnection(conn) => {
                self.engine_timers.fired(conn);
                match self.engine_connections.get(&conn).and_then(|l| self.engine_deadline(l)) {
                    Some(at) if at <= self.now => self.engine_timed_out(conn, out),
                    _ => self.arm_engine_timer(conn),
                }
            }
            Timer::Attempt(id, attempt) => self.attempt_timed_out(id, attempt, out),
            Timer::Release(id) => self.release_due(id, out),
            Timer::Watch => self.watch_due(out),
            Timer::Stop => self.shutdown_step(out),
            // What follows is settled after each input.
            Timer::StoppedListening => self.await_end_of_listening(),
            Timer::Standing => self.on_status_timer(out),
        }
    }

    fn run_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop(self.now) {
            self.fire(timer, out);
            self.run_decisions(out);
        }
    }

    fn on_status_timer(&mut self, out: &mut Vec<Output>) {
        self.timers.set(self.now + STATUS_INTERVAL, Timer::Standing);
        self.never_ran_lines = 0;
        self.log_status(out);
    }

    fn log_status(&self, out: &mut Vec<Output>) {
        let busy = self.engine_connections.values().filter(|l| l.state != ConnectionState::Idle).count();
        let [clients, engine_connections, requests, timers, releases] = self.holds();
        let sizes = self.router.state_sizes();
        out.push(Output::Log(format!(
            "clients {clients}, requests {requests}, connections to engines {engine_connections} ({busy} busy), engines {}, timers {timers}, \
             releases {releases}, module keeps {:?}; {}",
            self.endpoints.len(),
            (sizes.requests, sizes.timers, sizes.engines),
            self.counters
        )));
    }

    // ---- Discovery ----------------------------------------------------------------------------

    fn watch_due(&mut self, out: &mut Vec<Output>) {
        self.watch_timer = None;
        if self.watch.due() <= self.now {
            match self.watch.state {
                WatchState::Waiting(_) => {
                    let conn = self.next_connection_id();
                    self.watch.state = WatchState::Connecting(conn, self.now);
                    out.push(Output::Connect(conn, self.watch.addr));
                }
                WatchState::Connecting(..) | WatchState::Open(..) => {
                    let (why, at_once) = self.watch.overdue(self.now);
                    self.watch_failed(why, at_once, out);
                    if at_once {
                        return self.watch_due(out);
                    }
                }
            }
        }
        self.arm_watch_timer();
    }

    /// The watch is given up and opened anew, after a while or at once.
    fn watch_failed(&mut self, why: &str, at_once: bool, out: &mut Vec<Output>) {
        if let Some(conn) = self.watch.conn() {
            out.push(Output::Abort(conn));
        }
        self.log_limited(|| format!("the watch of the list ends: {why}"), out);
        self.watch.failed(self.now, at_once);
        self.arm_watch_timer();
    }

    /// Its connection is over. Without a descriptor for it, clients that stand idle and engines' idle connections make
    /// room for the next: the list comes before them.
    fn watch_lost(&mut self, why: ConnectionLoss, out: &mut Vec<Output>) {
        if why == ConnectionLoss::Exhausted && !self.evict(out) {
            self.close_oldest_idle(out);
        }
        self.watch_failed(
            if why == ConnectionLoss::Exhausted { "no descriptor is left" } else { "its connection broke" },
            false,
            out,
        );
    }

    fn watch_data(&mut self, bytes: &[u8], out: &mut Vec<Output>) {
        let mut lists = Vec::new();
        let fed = self.watch.feed(self.now, bytes, &mut lists);
        for list in lists {
            self.apply_endpoint_list(list, out);
            // What one list makes the module decide is carried out by that list, not by the next.
            self.run_decisions(out);
        }
        match fed {
            Ok(()) => self.arm_watch_timer(),
            Err(why) => self.watch_failed(&why, false, out),
        }
    }

    fn apply_endpoint_list(&mut self, list: EndpointList, out: &mut Vec<Output>) {
        let change = self.endpoints.take(list, false);
        self.ready = true;
        for line in change.odd {
            self.log_limited(|| line, out);
        }
        self.queue_event(change.event);
        // What has not left for an engine that drains or is gone goes elsewhere, also if only its last byte has not.
        let mut unsent: Vec<ConnId> = self
            .engine_connections
            .values()
            .filter(|l| l.state == ConnectionState::Connecting || l.is_holding_last_byte())
            .filter(|l| matches!(l.purpose, ConnectionPurpose::Attempt { .. }))
            .filter(|l| change.closed.contains(&l.engine) || change.moved.contains(&l.engine))
            .map(|l| l.conn)
            .collect();
        unsent.sort();
        for conn in unsent {
            self.cancel_connection(conn, Outcome::Cancelled, out);
        }
        for engine in change.closed.into_iter().chain(change.moved) {
            self.trust.forget(engine);
            self.close_idle(engine, out);
        }
    }

    /// The file was replaced: the watch goes over to the new address; what it held stays until that has told more.
    fn reload(&mut self, config: &Config, out: &mut Vec<Output>) {
        out.push(Output::Log(format!(
            "the configuration was read again; discovery is at {}",
            config.discovery
        )));
        if config.discovery != self.watch.addr {
            self.watch.addr = config.discovery;
            if let Some(conn) = self.watch.conn() {
                out.push(Output::Abort(conn));
            }
            self.watch.again(self.now);
            self.arm_watch_timer();
            self.watch_due(out);
        }
    }

    // ---- Stop ---------------------------------------------------------------------------------

    fn stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(self.now);
        // Each answer from now on says that its connection ends.
        self.clients.values_mut().for_each(Client::last_answer);
        for step in [SHUTDOWN_GRACE, STREAM_MIGRATION_DELAY, self.shutdown_deadline()] {
            self.timers.set(self.now + step, Timer::Stop);
        }
    }

    /// When after a stop all has to be answered: the process is killed soon after.
    pub(crate) fn shutdown_deadline(&self) -> Duration {
        let longest = self.profile.longest_wait.unwrap_or(Duration::MAX).min(MAX_CLIENT_WAIT);
        (longest + SHUTDOWN_GRACE).saturating_sub(SHUTDOWN_MARGIN)
    }

    /// Whether it was told to stop so long ago.
    pub(crate) fn shutting_down_for(&self, time: Duration) -> bool {
        self.stopping.is_some_and(|since| self.now >= since + time)
    }

    /// Closes connections between requests. Guards against a close that crosses the first request of a connection that has
    /// just come: such a one has a moment to say something.
    fn close_idle_clients(&mut self, out: &mut Vec<Output>) {
        let is_idle = |client: &&Client| client.state == ClientState::Idle;
        let mut idle: Vec<ConnId> = self.clients.values().filter(is_idle).map(|client| client.conn).collect();
        idle.sort();
        for conn in idle {
            let may_speak_until =
                self.awaiting_first_request.get(&conn).map(|&since| since + NEW_CONNECTION_GRACE);
            if let Some(until) = may_speak_until.filter(|&until| until > self.now) {
                self.timers.set(until, Timer::Stop);
            } else {
                out.push(Output::CloseWhenSent(conn));
                self.remove_client(conn);
            }
        }
    }

    /// The steps of a stop: idle connections end; streams that would be cut off are moved, where their clients ask for
    /// the rest; at the last moment, what has not begun is answered.
    fn shutdown_step(&mut self, out: &mut Vec<Output>) {
        self.close_idle_clients(out);
        let streaming_attempt = |c: &&ActiveRequest| c.streaming_attempt.is_some();
        let open: Vec<(RequestId, bool)> = self
            .requests
            .iter()
            .filter(|(_, c)| !c.over)
            .map(|(&id, c)| (id, streaming_attempt(&c)))
            .collect();
        let moves = self.profile.resumes && self.shutting_down_for(STREAM_MIGRATION_DELAY);
        let shutdown_deadline = self.shutting_down_for(self.shutdown_deadline());
        for (id, streaming_attempt) in open {
            match streaming_attempt {
                true if moves => self.migrate_stream(id, out),
                false if shutdown_deadline => {
                    self.fail_request(id, out);
                    self.queue_event(Event::ClientDisconnected(id));
                }
                _ => {}
            }
        }
    }

    // ---- Books --------------------------------------------------------------------------------

    pub(crate) fn remove_client(&mut self, conn: ConnId) {
        self.clients.remove(&conn);
        self.awaiting_first_request.remove(&conn);
        self.client_timers.cancel(&mut self.timers, conn);
    }

    pub(crate) fn remove_engine_connection(&mut self, conn: ConnId) -> Option<EngineConnection> {
        self.engine_timers.cancel(&mut self.timers, conn);
        let connection = self.engine_connections.remove(&conn)?;
        self.pool.gone(connection.engine, conn);
        Some(connection)
    }

    fn is_watch(&self, conn: ConnId) -> bool {
        self.watch.conn() == Some(conn)
    }
}

impl Machine for PlatformRouter {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        // The driver hands over who waits at the listener before it says that time has passed. Guards against an end
        // between the two, whose connections nobody would serve.
        if self.listening == Listening::Closing && matches!(input, Input::Wake) {
            self.listening = Listening::Closed;
        }
        // What a client has sent was there before its idle time was up, or the end of a stop: it has been taken, and
        // its connection is not to be closed as an idle one under it.
        if let Input::Data(conn, bytes) = input {
            if !conn.is_opened() {
                self.client_data(conn, bytes, out);
                self.run_decisions(out);
                return self.run_timers(out);
            }
        }
        // Else what is due comes before what has just come in, whatever order the driver found them in.
        self.run_timers(out);
        match input {
            Input::Accepted(conn, _) => self.accepted(conn, out),
            // The bounds of `room` hold for what the settings allow; the system may allow less. Who comes is worth more than
            // who stands idle longest.
            Input::DescriptorsExhausted(_) => {
                if !self.evict(out) {
                    self.close_oldest_idle(out);
                }
            }
            Input::Connected(conn) if self.is_watch(conn) => {
                let asked = self.watch.ask(conn, self.now);
                out.push(Output::Write(conn, asked));
                self.arm_watch_timer();
            }
            Input::Connected(conn) => self.engine_connected(conn, out),
            Input::Data(conn, bytes) if self.is_watch(conn) => self.watch_data(bytes, out),
            Input::Data(conn, bytes) if conn.is_opened() => self.engine_data(conn, bytes, out),
            Input::Data(..) => {}
            Input::Eof(conn) if self.is_watch(conn) => self.watch_failed("it was closed", false, out),
            Input::Eof(conn) if conn.is_opened() => self.engine_eof(conn, out),
            // Half-closed counts as closed: the protocol knows no client that asks and then only listens.
            Input::Eof(conn) => self.client_eof(conn, out),
            Input::PeerClosedWhilePaused(conn) if !conn.is_opened() => self.client_eof(conn, out),
            Input::PeerClosedWhilePaused(_) => {}
            Input::Sent(conn, n) if conn.is_opened() => self.engine_sent(conn, n),
            Input::Sent(conn, n) => self.client_sent(conn, n, out),
            Input::Lost(conn, why) if self.is_watch(conn) => self.watch_lost(why, out),
            Input::Lost(conn, why) if conn.is_opened() => self.engine_lost(conn, why, out),
            Input::Lost(conn, _) => self.client_gone(conn, out),
            Input::Wake | Input::Datagram(..) => {}
            Input::Stop => self.stop(),
            Input::OwnerMessage(news) => {
                if let Some(config) = news.downcast_ref::<Config>() {
                    self.reload(config, out);
                }
            }
        }
        self.run_decisions(out);
    }

    fn wake_at(&self) -> Option<Duration> {
        self.timers.next_at()
    }
}

/// How what a connection carried ends as the connection is lost. What had not been written whole never ran.
pub(crate) fn end_of_lost(why: ConnectionLoss, connection: &EngineConnection) -> AttemptEnd {
    match (why, connection.proof_of_never_written()) {
        (ConnectionLoss::NotConnected, Some(_)) => AttemptEnd::never_ran(NeverRan::NotConnected),
        (ConnectionLoss::Exhausted, Some(_)) => AttemptEnd::never_ran(NeverRan::NotTried),
        // It stood, so its engine could be reached: told as a failure to connect, each such reset would have the engine
        // left alone for a second.
        (ConnectionLoss::Reset, Some(proof)) => AttemptEnd::never_ran(proof),
        (_, None) => AttemptEnd::may_have_run(Outcome::Reset),
    }
}
