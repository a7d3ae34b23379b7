//! The router as a state machine: takes inputs in turn, fires timers, and lets the decision module decide until no event
//! is left.

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
use crate::log_limiter::{LogLimiter, NeverRanLogBudget};
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

/// A router on the platform, without I/O and clock.
///
/// Takes as [`Input::OwnerMessage`]: a [`Config`], when the file was replaced.
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
    pub(crate) never_ran_log: NeverRanLogBudget,
    log: LogLimiter,
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
    /// Releases that are not acknowledged.
    pub releases: usize,
}

impl PlatformRouter {
    /// A router at its start. `wall` is the wall clock, since the epoch, at the clock's time `now`.
    pub fn new(config: Config, now: Duration, wall: Duration) -> Self {
        let Config { discovery, seed, resource_limits, known, profile, .. } = config;
        let mut router = PlatformRouter {
            now,
            resource_limits,
            report_layout: ReportLayout::of(&profile),
            engine_timeouts: EngineTimeouts::new(&profile),
            decisions: Decisions::new(&profile.settings, seed),
            endpoints: Endpoints::new(&profile, now, wall),
            watch: Watch::new(discovery, now, seed),
            clients: ClientConnections::default(),
            engines: EngineConnections::default(),
            requests: ActiveRequests::default(),
            releases: ReleaseQueue::new(release::release_timing(&profile.settings)),
            timers: Timers::default(),
            shutdown: Shutdown::new(profile.longest_wait),
            counters: Counters::default(),
            never_ran_log: NeverRanLogBudget::default(),
            log: LogLimiter::default(),
            profile,
        };
        if let Some(known) = known {
            router.watch.resume_from(known.index);
            let changes = router.endpoints.apply(known, true);
            router.queue_event(changes.event);
        }
        router.watch.arm_timer(&mut router.timers);
        router.timers.set(now + STATUS_INTERVAL, Timer::Status);
        router
    }

    /// What it has done so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// How much state it holds.
    pub fn held_state(&self) -> HeldState {
        HeldState {
            client_connections: self.clients.len(),
            engine_connections: self.engines.len(),
            requests: self.requests.len(),
            timers: self.timers.len(),
            releases: self.releases.len(),
        }
    }

    /// Attempts in flight on connections, by engine.
    pub fn attempts_on_connections(&self) -> BTreeMap<EngineId, usize> {
        self.engines.attempts_in_flight()
    }

    /// Attempts in flight as the decision module counts them, of the engines that are listed.
    pub fn attempts_by_decision_module(&self) -> BTreeMap<EngineId, usize> {
        self.decisions.attempts_in_flight()
    }

    /// How much state the decision module keeps.
    pub fn decision_state_sizes(&self) -> StateSizes {
        self.decisions.state_sizes()
    }

    /// Entries of the tables that go by engine and by client, beside those of [`PlatformRouter::held_state`].
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

    /// Lets the decision module handle all queued events; then removes requests that are done.
    pub(crate) fn run_decisions(&mut self, out: &mut Vec<Output>) {
        while let Some(actions) = self.decisions.handle_next(self.now) {
            for action in actions {
                self.dispatch(action, out);
            }
        }
        self.requests.remove_done();
        self.end_when_done(out);
    }

    /// Logs an event on a fault of a peer, at a limited rate.
    pub(crate) fn log_limited(&mut self, event: impl FnOnce() -> LogEvent, out: &mut Vec<Output>) {
        if let Some(line) = self.log.limit(self.now, event) {
            out.push(Output::Log(line));
        }
    }

    // ---- Timers -----------------------------------------------------------------------------

    /// Sets a client connection's timer for when it times out next.
    pub(crate) fn arm_client_timer(&mut self, conn: ConnId) {
        self.clients.arm_timer(conn, &self.resource_limits, &mut self.timers);
    }

    /// Sets the timer of a connection to an engine for when it times out next.
    pub(crate) fn arm_engine_timer(&mut self, conn: ConnId) {
        let deadline = self.engine_deadline(conn);
        self.engines.arm_timer(conn, deadline, &mut self.timers);
    }

    fn engine_deadline(&self, conn: ConnId) -> Option<Duration> {
        let is_streaming = |request, attempt| self.requests.is_streaming(request, attempt);
        self.engines.get(conn)?.deadline(&self.engine_timeouts, is_streaming)
    }

    fn fire(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Decision(timer) => self.queue_event(Event::TimerFired(timer)),
            Timer::Client(conn) => self.client_timer_fired(conn, out),
            Timer::Engine(conn) => self.engine_timer_fired(conn, out),
            Timer::Attempt(id, attempt) => self.attempt_timed_out(id, attempt, out),
            Timer::Release(id) => self.release_due(id, out),
            Timer::Watch => self.watch_due(out),
            Timer::Shutdown => self.shutdown_step(out),
            // Whether the router ends is decided after each input.
            Timer::ListenerClosed => self.await_end_of_listening(),
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
            self.fire(timer, out);
            self.run_decisions(out);
        }
    }

    // ---- Status -----------------------------------------------------------------------------

    fn status_due(&mut self, out: &mut Vec<Output>) {
        self.timers.set(self.now + STATUS_INTERVAL, Timer::Status);
        self.never_ran_log.reset();
        self.log_status(out);
    }

    pub(crate) fn log_status(&self, out: &mut Vec<Output>) {
        let status = Status {
            held: self.held_state(),
            busy_engine_connections: self.engines.busy_count(),
            engines: self.endpoints.len(),
            decision_module: self.decisions.state_sizes(),
            counters: self.counters,
        };
        out.push(Output::Log(LogEvent::Status(Box::new(status)).to_string()));
    }

    // ---- Inputs -----------------------------------------------------------------------------

    /// An input of any kind, after the timers that were due.
    fn handle_input(&mut self, input: &Input<'_>, out: &mut Vec<Output>) {
        match *input {
            Input::Accepted(conn, _) => self.accepted(conn, out),
            // The resource limits hold for what the settings allow; the system may allow less.
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

    /// An input on a client connection, other than its bytes, which come before the timers.
    fn handle_client_input(&mut self, input: &Input<'_>, out: &mut Vec<Output>) {
        match *input {
            // Half-closed counts as closed: in the protocol no client closes its sending side and still reads.
            Input::Eof(conn) | Input::PeerClosedWhilePaused(conn) => self.client_eof(conn, out),
            Input::Sent(conn, sent) => self.client_sent(conn, sent, out),
            Input::Lost(conn, _) => self.client_gone(conn, out),
            _ => {}
        }
    }

    /// An input on the connection to discovery.
    fn handle_watch_input(&mut self, input: &Input<'_>, out: &mut Vec<Output>) {
        match *input {
            Input::Connected(conn) => self.watch_connected(conn, out),
            Input::Data(_, bytes) => self.watch_data(bytes, out),
            Input::Eof(_) => self.watch_failed(WatchFailure::Closed, out),
            Input::Lost(_, why) => self.watch_lost(why, out),
            _ => {}
        }
    }

    /// An input on a connection to an engine.
    fn handle_engine_input(&mut self, input: &Input<'_>, out: &mut Vec<Output>) {
        match *input {
            Input::Connected(conn) => self.engine_connected(conn, out),
            Input::Data(conn, bytes) => self.engine_data(conn, bytes, out),
            Input::Eof(conn) => self.engine_eof(conn, out),
            Input::Sent(conn, sent) => self.engine_sent(conn, sent),
            Input::Lost(conn, why) => self.engine_lost(conn, why, out),
            _ => {}
        }
    }
}

impl Machine for PlatformRouter {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        // The driver hands over the connections that wait at the listener before it wakes the router. Guards against an end
        // between the two, after which nothing would serve these connections.
        if matches!(input, Input::Wake) {
            self.shutdown.connections_handed_over();
        }
        // A client's bytes were there before its idle timeout or the end of a shutdown: the driver has read them, so the
        // connection must not be closed as idle first.
        if let Input::Data(conn, bytes) = input {
            if !conn.is_opened() {
                self.client_data(conn, bytes, out);
                self.run_decisions(out);
                return self.run_timers(out);
            }
        }
        // Otherwise timers that are due come before the input, whatever order the driver found them in.
        self.run_timers(out);
        self.handle_input(&input, out);
        self.run_decisions(out);
    }

    fn wake_at(&self) -> Option<Duration> {
        self.timers.next_at()
    }
}
