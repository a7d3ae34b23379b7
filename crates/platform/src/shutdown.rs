//! The graceful shutdown of a router: from the stop signal until all work is done.

use crate::router::PlatformRouter;
use crate::timer::Timer;
use slipreel::{Event, RequestId};
use slipreel_state_machine::Output;
use std::time::Duration;

/// How long after the stop signal a request that the kill cuts off is not lost. Until then new clients arrive
/// and have to be answered, so a router does not end earlier. From the protocol.
const GRACE_PERIOD: Duration = Duration::from_millis(700);
/// How long the process may be held up between the signal, or a reading of the clock, and what follows. From
/// the protocol.
const MAX_HOLD_UP: Duration = Duration::from_millis(150);
/// Maximum time from the start of a shutdown to the migration of streams, if clients resume them: late enough
/// for most streams to end by themselves, and early enough that the next router in a rolling restart still
/// runs.
const MAX_STREAM_MIGRATION_DELAY: Duration = Duration::from_millis(2_400);
/// Limit of a client's wait in the time until the process is killed. From the protocol.
const MAX_CLIENT_WAIT: Duration = Duration::from_millis(3_000);
/// How long before the process is killed all requests have to be answered.
const KILL_MARGIN: Duration = Duration::from_millis(450);
/// The shortest timer with which the driver wakes the router again, instead of running it at the same time.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);

/// The state of the listener during a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerState {
    Open,
    /// The driver closes it, and passes on the connections that are pending at it.
    Closing,
    Closed,
}

/// The next step of a router in a shutdown once all work is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalStep {
    /// Close the listener. Clients that have just connected are still answered.
    StopListening,
    /// Wait until the listener is closed.
    Wait,
    /// End.
    Stop,
    /// It has ended.
    Stopped,
}

/// The state of a shutdown.
#[derive(Debug)]
pub(crate) struct Shutdown {
    /// When it began; `None` if it has not begun.
    began: Option<Duration>,
    listener: ListenerState,
    is_stopped: bool,
    /// Time from its start by which all requests have to be answered: the process is killed soon after.
    deadline: Duration,
    /// Time from its start until which requests are admitted.
    admission_period: Duration,
    /// Time from its start at which open streams are migrated; `None` if they run to their end, because
    /// clients do not resume them.
    stream_migration: Option<Duration>,
}

impl Shutdown {
    /// The state of a router that is not shutting down. `longest_wait` is the longest time that a client of
    /// any class waits, if known; `clients_resume` is whether clients resume streams that were cut off.
    pub(crate) fn new(longest_wait: Option<Duration>, clients_resume: bool) -> Self {
        let longest_wait = longest_wait.unwrap_or(Duration::MAX).min(MAX_CLIENT_WAIT);
        let deadline = (longest_wait + GRACE_PERIOD).saturating_sub(KILL_MARGIN);
        Shutdown {
            began: None,
            listener: ListenerState::Open,
            is_stopped: false,
            deadline,
            admission_period: if clients_resume {
                deadline
            } else {
                deadline.min(GRACE_PERIOD - MAX_HOLD_UP)
            },
            stream_migration: clients_resume.then_some(deadline.min(MAX_STREAM_MIGRATION_DELAY)),
        }
    }

    /// Begins a shutdown. Returns the times at which its steps are due; `None` if it had already begun.
    pub(crate) fn begin(&mut self, now: Duration) -> Option<Vec<Duration>> {
        if self.has_begun() {
            return None;
        }
        self.began = Some(now);
        let steps = [self.idle_close_delay(), GRACE_PERIOD, self.deadline];
        let steps = steps.into_iter().chain(self.stream_migration);
        Some(steps.map(|step| now + step).collect())
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.began.is_some()
    }

    fn has_lasted(&self, now: Duration, time: Duration) -> bool {
        self.began.is_some_and(|began| now >= began + time)
    }

    /// Time from its start at which idle connections are closed.
    fn idle_close_delay(&self) -> Duration {
        GRACE_PERIOD.min(self.admission_period)
    }

    /// Whether requests are still admitted.
    ///
    /// Until the deadline, if clients resume streams: what is open by then is failed or migrated. A stream
    /// that runs to its end has no deadline, so the kill may cut it off. It is only begun for requests whose
    /// loss the protocol does not count.
    pub(crate) fn admits_requests(&self, now: Duration) -> bool {
        !self.has_lasted(now, self.admission_period)
    }

    /// Whether open streams are to be migrated.
    pub(crate) fn migrates_streams(&self, now: Duration) -> bool {
        self.stream_migration.is_some_and(|delay| self.has_lasted(now, delay))
    }

    /// Whether all requests have to be answered by now.
    pub(crate) fn is_past_deadline(&self, now: Duration) -> bool {
        self.has_lasted(now, self.deadline)
    }

    /// Whether the grace period is over, so that a router without work may end.
    pub(crate) fn may_end(&self, now: Duration) -> bool {
        self.has_lasted(now, GRACE_PERIOD)
    }

    /// The next step of a router without work. It ends in two steps: it stops listening, and still answers
    /// clients that have just connected; it stops once there are none of these, or all have left.
    pub(crate) fn next_final_step(&mut self) -> FinalStep {
        if self.is_stopped {
            return FinalStep::Stopped;
        }
        match self.listener {
            ListenerState::Open => {
                self.listener = ListenerState::Closing;
                FinalStep::StopListening
            }
            ListenerState::Closing => FinalStep::Wait,
            ListenerState::Closed => {
                self.is_stopped = true;
                FinalStep::Stop
            }
        }
    }

    pub(crate) fn is_listener_closing(&self) -> bool {
        self.listener == ListenerState::Closing
    }

    /// Records that the driver has passed on all connections that were pending at a listener that is being
    /// closed.
    pub(crate) fn pending_connections_received(&mut self) {
        if self.is_listener_closing() {
            self.listener = ListenerState::Closed;
        }
    }
}

impl PlatformRouter {
    /// Handles the stop signal: sets the timers for the steps of the shutdown.
    pub(crate) fn begin_shutdown(&mut self) {
        let Some(steps) = self.shutdown.begin(self.now) else { return };
        self.clients.close_after_next_answer();
        for step in steps {
            self.timers.set(step, Timer::Shutdown);
        }
    }

    /// Closes idle connections. A new connection is kept for a short time: its first request may be in
    /// transit.
    fn close_idle_clients(&mut self, out: &mut Vec<Output>) {
        for client in self.clients.idle() {
            if let Some(until) = client.grace_until.filter(|&until| until > self.now) {
                self.timers.set(until, Timer::Shutdown);
            } else {
                out.push(Output::CloseWhenSent(client.conn));
                self.clients.remove(client.conn, &mut self.timers);
            }
        }
    }

    /// Runs the steps of a shutdown that are due: closes idle connections; migrates streams that would be cut
    /// off, if clients resume them; at the deadline, fails requests whose stream has not begun.
    pub(crate) fn shutdown_step(&mut self, out: &mut Vec<Output>) {
        self.close_idle_clients(out);
        let migrates_streams = self.shutdown.migrates_streams(self.now);
        let is_past_deadline = self.shutdown.is_past_deadline(self.now);
        let open: Vec<(RequestId, bool)> =
            self.requests.open().map(|(id, request)| (id, request.streaming_attempt().is_some())).collect();
        for (id, is_streaming) in open {
            if is_streaming && migrates_streams {
                self.migrate_stream(id, out);
            } else if !is_streaming && is_past_deadline {
                self.fail_request(id, out);
                self.queue_event(Event::ClientDisconnected(id));
            }
        }
    }

    /// Ends the router once all work of a shutdown is done.
    pub(crate) fn end_when_done(&mut self, out: &mut Vec<Output>) {
        let is_released = self.releases.is_empty() || self.shutdown.is_past_deadline(self.now);
        let is_done = self.requests.is_empty() && self.clients.is_empty() && is_released;
        if !is_done || !self.shutdown.may_end(self.now) {
            return;
        }
        match self.shutdown.next_final_step() {
            FinalStep::StopListening => {
                out.push(Output::StopListening);
                self.arm_listener_timer();
            }
            FinalStep::Wait | FinalStep::Stopped => {}
            FinalStep::Stop => {
                self.log_status(out);
                out.push(Output::Stopped);
            }
        }
    }

    /// Has the driver wake the router once it has executed all outputs.
    pub(crate) fn arm_listener_timer(&mut self) {
        if self.shutdown.is_listener_closing() {
            self.timers.set(self.now + MIN_WAKE_DELAY, Timer::ListenerClosed);
        }
    }
}
