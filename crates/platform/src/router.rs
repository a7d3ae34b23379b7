//! The router as a state machine: takes one input at a time, fires timers, and runs the decision module until
//! its queue is empty.

use crate::active_requests::ActiveRequests;
use crate::client_connections::ClientConnections;
use crate::config::Config;
use crate::counters::Counters;
use crate::decisions::Decisions;
use crate::endpoints::Endpoints;
use crate::engine_connection::EngineTimeouts;
use crate::engine_connections::EngineConnections;
use crate::load_report::ReportLayout;
use crate::log_event::{LogEvent, Status};
use crate::log_limiter::{LineBudget, LogLimiter};
use crate::release;
use crate::resource_limits::ResourceLimits;
use crate::shutdown::Shutdown;
use crate::timer::{Timer, Timers};
use crate::watch::{Watch, WatchFailure};
use slipreel::{EngineId, Event, StateSizes};
use slipreel_connections::ReleaseQueue;
use slipreel_platform_settings::Profile;
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::BTreeMap;
use std::time::Duration;

/// The time between two status lines.
const STATUS_INTERVAL: Duration = Duration::from_millis(10_000);

/// A router of the platform, without I/O and clock.
///
/// Accepts a [`Config`] as [`Input::OwnerMessage`] when the configuration file was replaced.
pub struct PlatformRouter {
    pub(crate) now: Duration,
    pub(crate) resource_limits: ResourceLimits,
    pub(crate) profile: Profile,
    pub(crate) report_layout: ReportLayout,
    engine_timeouts: EngineTimeouts,
    decisions: Decisions,
    pub(crate) endpoints: Endpoints,
    pub(crate) watch: Watch,
    pub(crate) clients: ClientConnections,
    pub(crate) engines: EngineConnections,
    pub(crate) requests: ActiveRequests,
    pub(crate) releases: ReleaseQueue,
    pub(crate) timers: Timers,
    pub(crate) shutdown: Shutdown,
    pub(crate) counters: Counters,
    pub(crate) never_ran_log: LineBudget,
    pub(crate) release_log: LineBudget,
    log_limiter: LogLimiter,
    /// Memory that buffers took after the last input, in bytes.
    pub(crate) buffered_bytes: usize,
    /// Whether streams are read from engines only as fast as clients read them, to save memory.
    pub(crate) memory_is_scarce: bool,
}

/// How much state a router holds, by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldState {
    /// Client connections.
    pub client_connections: usize,
    /// Connections to engines, those that are being opened included.
    pub engine_connections: usize,
    /// Requests in progress.
    pub requests: usize,
    /// Timers that are set.
    pub timers: usize,
    /// Unacknowledged releases.
    pub releases: usize,
    /// Memory of the buffers of connections and requests, in bytes.
    pub buffered_bytes: usize,
}

impl PlatformRouter {
    /// Creates a router. `wall` is the wall time, since the epoch, at the clock's time `now`.
    pub fn new(config: Config, now: Duration, wall: Duration) -> Self {
        let Config { discovery, seed, resource_limits, cached_endpoints, profile, .. } = config;
        let mut router = PlatformRouter {
            now,
            resource_limits,
            report_layout: ReportLayout::of(&profile),
            engine_timeouts: EngineTimeouts::new(&profile),
            decisions: Decisions::new(&profile.settings, seed),
            endpoints: Endpoints::new(&profile, now, wall),
            watch: Watch::new(discovery, resource_limits.list_object_bytes, now, seed),
            clients: ClientConnections::default(),
            engines: EngineConnections::default(),
            requests: ActiveRequests::default(),
            releases: ReleaseQueue::new(release::release_timing(&profile.settings)),
            timers: Timers::default(),
            shutdown: Shutdown::new(profile.longest_wait, profile.resumes),
            counters: Counters::default(),
            never_ran_log: LineBudget::default(),
            release_log: LineBudget::default(),
            log_limiter: LogLimiter::default(),
            buffered_bytes: 0,
            memory_is_scarce: false,
            profile,
        };
        if let Some(list) = cached_endpoints {
            router.watch.resume_from(list.index);
            let changes = router.endpoints.apply(list, true);
            router.queue_event(changes.event);
        }
        router.watch.arm_timer(&mut router.timers);
        router.timers.set(now + STATUS_INTERVAL, Timer::Status);
        router
    }

    /// Its counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// How much state the router holds.
    pub fn held_state(&self) -> HeldState {
        HeldState {
            client_connections: self.clients.len(),
            engine_connections: self.engines.len(),
            requests: self.requests.len(),
            timers: self.timers.len(),
            releases: self.releases.len(),
            buffered_bytes: self.buffered_bytes,
        }
    }

    /// Number of attempts in flight on connections, by engine.
    pub fn attempts_on_connections(&self) -> BTreeMap<EngineId, usize> {
        self.engines.attempts_in_flight()
    }

    /// Number of attempts in flight as the decision module counts them, by listed engine.
    pub fn attempts_by_decision_module(&self) -> BTreeMap<EngineId, usize> {
        self.decisions.attempts_in_flight()
    }

    /// Sizes of the state that the decision module keeps.
    pub fn decision_state_sizes(&self) -> StateSizes {
        self.decisions.state_sizes()
    }

    /// Number of entries in the tables by engine and by client that [`PlatformRouter::held_state`] does not
    /// count.
    pub fn table_entries(&self) -> usize {
        self.endpoints.len()
            + self.requests.client_id_count()
            + self.clients.awaiting_first_request_count()
            + self.engines.tracked_engines()
    }

    /// Queues an event for the decision module.
    pub(crate) fn queue_event(&mut self, event: Event) {
        self.decisions.queue(event);
    }

    /// Runs the decision module until its queue is empty, then removes requests that are done.
    pub(crate) fn run_decisions(&mut self, out: &mut Vec<Output>) {
        while let Some(actions) = self.decisions.handle_next(self.now) {
            for action in actions {
                self.dispatch(action, out);
            }
        }
        self.requests.remove_done();
        self.end_when_done(out);
    }

    /// Logs an event at a limited rate. For events that peers can cause.
    pub(crate) fn log_limited(&mut self, event: impl FnOnce() -> LogEvent, out: &mut Vec<Output>) {
        if let Some(line) = self.log_limiter.limit(self.now, event) {
            out.push(Output::Log(line));
        }
    }

    // ---- Timers -----------------------------------------------------------------------------

    /// Sets a client connection's timer to its next timeout.
    pub(crate) fn arm_client_timer(&mut self, conn: ConnId) {
        self.clients.arm_timer(conn, &self.resource_limits, &mut self.timers);
    }

    /// Sets the timer of a connection to an engine to its next timeout.
    pub(crate) fn arm_engine_timer(&mut self, conn: ConnId) {
        let deadline = self.engine_deadline(conn);
        self.engines.arm_timer(conn, deadline, &mut self.timers);
    }

    fn engine_deadline(&self, conn: ConnId) -> Option<Duration> {
        let is_streaming = |request, attempt| self.requests.is_streaming(request, attempt);
        self.engines.get(conn)?.deadline(&self.engine_timeouts, is_streaming)
    }

    fn handle_timer(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Decision(timer) => self.queue_event(Event::TimerFired(timer)),
            Timer::Client(conn) => self.client_timer_fired(conn, out),
            Timer::Engine(conn) => self.engine_timer_fired(conn, out),
            Timer::Attempt(id, attempt) => self.attempt_timed_out(id, attempt, out),
            Timer::Release(id) => self.release_due(id, out),
            Timer::Watch => self.watch_due(out),
            Timer::Shutdown => self.shutdown_step(out),
            // Whether the router can end is checked after each input.
            Timer::ListenerClosed => self.arm_listener_timer(),
            Timer::Status => self.status_due(out),
        }
    }

    fn client_timer_fired(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        self.clients.timer_fired(conn);
        match self.clients.deadline(conn, &self.resource_limits) {
            Some(deadline) if deadline <= self.now => self.client_timed_out(conn, out),
            _ => self.arm_client_timer(conn),
        }
    }

    fn engine_timer_fired(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        self.engines.timer_fired(conn);
        match self.engine_deadline(conn) {
            Some(deadline) if deadline <= self.now => self.engine_timed_out(conn, out),
            _ => self.arm_engine_timer(conn),
        }
    }

    fn run_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop(self.now) {
            self.handle_timer(timer, out);
            self.run_decisions(out);
        }
    }

    // ---- Status -----------------------------------------------------------------------------

    fn status_due(&mut self, out: &mut Vec<Output>) {
        self.timers.set(self.now + STATUS_INTERVAL, Timer::Status);
        self.log_status(out);
        self.never_ran_log.reset();
        self.release_log.reset();
    }

    pub(crate) fn log_status(&self, out: &mut Vec<Output>) {
        let status = Status {
            held: self.held_state(),
            busy_engine_connections: self.engines.busy_count(),
            engines: self.endpoints.len(),
            decision_module: self.decisions.state_sizes(),
            counters: self.counters,
            longest_held_state: self.requests.longest_held_state(self.now),
            suppressed_release_lines: self.release_log.suppressed(),
        };
        out.push(Output::Log(LogEvent::Status(Box::new(status)).to_string()));
    }

    // ---- Inputs -----------------------------------------------------------------------------

    /// Handles an input and the timers that are due, in the order that loses nothing.
    fn handle_input_and_timers(&mut self, input: &Input<'_>, out: &mut Vec<Output>) {
        // The driver passes on the connections that were pending at the listener before it wakes the router.
        // If the router ended between the two, nothing would serve these connections.
        if matches!(input, Input::Wake) {
            self.shutdown.pending_connections_received();
        }
        // Bytes from a client are handled before timers: the driver has already read them, so neither the
        // idle timeout nor the end of a shutdown may close the connection as idle first.
        if let Input::Data(conn, bytes) = *input {
            if !conn.is_opened() {
                self.client_data(conn, bytes, out);
                self.run_decisions(out);
                return self.run_timers(out);
            }
        }
        // For all other inputs, due timers come first, in whatever order the driver found them.
        self.run_timers(out);
        self.handle_input(input, out);
        self.run_decisions(out);
    }

    /// Handles an input of any kind, after the timers that were due.
    fn handle_input(&mut self, input: &Input<'_>, out: &mut Vec<Output>) {
        match *input {
            Input::Accepted(conn, _) => self.accepted(conn, out),
            // The configuration sets the resource limits, but the system may allow fewer descriptors.
            Input::DescriptorsExhausted(_) => self.free_descriptor(out),
            Input::Connected(conn) | Input::Data(conn, _) | Input::Eof(conn) | Input::Lost(conn, _)
                if self.watch.is_connection(conn) =>
            {
                self.handle_watch_input(input, out);
            }
            Input::Connected(_) => self.handle_engine_input(input, out),
            Input::Data(conn, _)
            | Input::Eof(conn)
            | Input::Sent(conn, _)
            | Input::Lost(conn, _)
            | Input::PeerClosedWhilePaused(conn) => {
                if conn.is_opened() {
                    self.handle_engine_input(input, out);
                } else {
                    self.handle_client_input(input, out);
                }
            }
            Input::Wake | Input::Datagram(..) => {}
            Input::Stop => self.begin_shutdown(),
            Input::OwnerMessage(message) => {
                if let Some(config) = message.downcast_ref::<Config>() {
                    self.reload(config, out);
                }
            }
        }
    }

    /// Handles an input on a client connection, except bytes, which are handled before the timers.
    fn handle_client_input(&mut self, input: &Input<'_>, out: &mut Vec<Output>) {
        match *input {
            // A half-closed connection counts as closed: by the protocol, no client closes its sending side
            // and still reads.
            Input::Eof(conn) | Input::PeerClosedWhilePaused(conn) => self.client_eof(conn, out),
            Input::Sent(conn, sent) => self.client_sent(conn, sent, out),
            Input::Lost(conn, _) => self.client_disconnected(conn, out),
            _ => {}
        }
    }

    /// Handles an input on the connection to discovery.
    fn handle_watch_input(&mut self, input: &Input<'_>, out: &mut Vec<Output>) {
        match *input {
            Input::Connected(conn) => self.watch_connected(conn, out),
            Input::Data(_, bytes) => self.watch_data(bytes, out),
            Input::Eof(_) => self.watch_failed(WatchFailure::Closed, out),
            Input::Lost(_, loss) => self.watch_lost(loss, out),
            _ => {}
        }
    }

    /// Handles an input on a connection to an engine.
    fn handle_engine_input(&mut self, input: &Input<'_>, out: &mut Vec<Output>) {
        match *input {
            Input::Connected(conn) => self.engine_connected(conn, out),
            Input::Data(conn, bytes) => self.engine_data(conn, bytes, out),
            Input::Eof(conn) => self.engine_eof(conn, out),
            Input::Sent(conn, sent) => self.engine_sent(conn, sent),
            Input::Lost(conn, loss) => self.engine_lost(conn, loss, out),
            _ => {}
        }
    }
}

impl Machine for PlatformRouter {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.handle_input_and_timers(&input, out);
        self.limit_memory(out);
    }

    fn wake_at(&self) -> Option<Duration> {
        self.timers.next_at()
    }
}
