//! The graceful shutdown of a router: from the stop signal until nothing is left to do.

use crate::router::PlatformRouter;
use crate::timer::Timer;
use slipreel::{Event, RequestId};
use slipreel_state_machine::Output;
use std::time::Duration;

/// After the stop signal a router still accepts requests for so long: new clients have to be answered. From the protocol.
const GRACE: Duration = Duration::from_millis(700);
/// So long after the start of a shutdown streams are migrated, where clients resume them: late enough for most to end by
/// themselves, and early enough that the next router in a rolling restart is still up.
const STREAM_MIGRATION_DELAY: Duration = Duration::from_millis(2_400);
/// The longest client wait that counts for the time until the kill. From the protocol.
const MAX_CLIENT_WAIT: Duration = Duration::from_millis(3_000);
/// How long before the kill everything has to be answered.
const MARGIN: Duration = Duration::from_millis(450);
/// The shortest delay after which the router is woken by its driver rather than at the same time.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);

/// How far a router that shuts down is with its listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerState {
    Open,
    /// The driver closes it, and hands over the connections that wait at it.
    Closing,
    Closed,
}

/// What a router does once nothing is left to do in a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalStep {
    /// Close the listener, so that clients which have just connected are still answered.
    StopListening,
    /// The listener is being closed.
    Wait,
    /// End.
    Stop,
    /// It has ended.
    Stopped,
}

/// The state of a shutdown.
#[derive(Debug)]
pub(crate) struct Shutdown {
    /// When it began; `None` while the router runs.
    began: Option<Duration>,
    listener: ListenerState,
    is_stopped: bool,
    /// The time after its start by which all has to be answered: the process is killed soon after.
    deadline: Duration,
}

impl Shutdown {
    /// A router that is not shutting down. `longest_wait`: how long a client of any class waits at most, if that is known.
    pub(crate) fn new(longest_wait: Option<Duration>) -> Self {
        let longest_wait = longest_wait.unwrap_or(Duration::MAX).min(MAX_CLIENT_WAIT);
        Shutdown {
            began: None,
            listener: ListenerState::Open,
            is_stopped: false,
            deadline: (longest_wait + GRACE).saturating_sub(MARGIN),
        }
    }

    /// Begins a shutdown. Returns the times at which its steps are due; `None` if it had begun before.
    pub(crate) fn begin(&mut self, now: Duration) -> Option<[Duration; 3]> {
        if self.has_begun() {
            return None;
        }
        self.began = Some(now);
        Some([GRACE, STREAM_MIGRATION_DELAY, self.deadline].map(|step| now + step))
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.began.is_some()
    }

    fn has_lasted(&self, now: Duration, time: Duration) -> bool {
        self.began.is_some_and(|began| now >= began + time)
    }

    /// Whether streams that are still open are to be migrated.
    pub(crate) fn migrates_streams(&self, now: Duration) -> bool {
        self.has_lasted(now, STREAM_MIGRATION_DELAY)
    }

    /// Whether all has to be answered by now.
    pub(crate) fn is_past_deadline(&self, now: Duration) -> bool {
        self.has_lasted(now, self.deadline)
    }

    /// Whether a router that has nothing left to do may end.
    pub(crate) fn may_end(&self, now: Duration) -> bool {
        self.has_lasted(now, GRACE)
    }

    /// Nothing is left to do: the router ends in two steps. First it stops listening, so that clients which have just
    /// connected are still answered; it stops for good when there were none, or all of them have left.
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

    /// The driver has handed over the connections that waited at the listener, if that is being closed.
    pub(crate) fn connections_handed_over(&mut self) {
        if self.is_listener_closing() {
            self.listener = ListenerState::Closed;
        }
    }
}

impl PlatformRouter {
    /// The router is stopped: sets the timers of the steps of its shutdown.
    pub(crate) fn begin_shutdown(&mut self) {
        let Some(steps) = self.shutdown.begin(self.now) else { return };
        self.clients.close_after_next_answer();
        for step in steps {
            self.timers.set(step, Timer::Shutdown);
        }
    }

    /// Closes idle connections. One that was accepted just now is kept for a moment: its first request may be in transit.
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

    /// The steps of a shutdown: idle connections are closed; streams that would be cut off are migrated, where clients
    /// resume them; at the deadline, requests whose stream has not begun are answered.
    pub(crate) fn shutdown_step(&mut self, out: &mut Vec<Output>) {
        self.close_idle_clients(out);
        let migrates_streams = self.profile.resumes && self.shutdown.migrates_streams(self.now);
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

    /// Ends once nothing is left to do in a shutdown.
    pub(crate) fn end_when_done(&mut self, out: &mut Vec<Output>) {
        let is_released = self.releases.is_empty() || self.shutdown.is_past_deadline(self.now);
        let is_done = self.requests.is_empty() && self.clients.is_empty() && is_released;
        if !is_done || !self.shutdown.may_end(self.now) {
            return;
        }
        match self.shutdown.next_final_step() {
            FinalStep::StopListening => {
                out.push(Output::StopListening);
                self.await_end_of_listening();
            }
            FinalStep::Wait | FinalStep::Stopped => {}
            FinalStep::Stop => {
                self.log_status(out);
                out.push(Output::Stopped);
            }
        }
    }

    /// Wakes the router once its driver has executed all outputs.
    pub(crate) fn await_end_of_listening(&mut self) {
        if self.shutdown.is_listener_closing() {
            self.timers.set(self.now + MIN_WAKE_DELAY, Timer::ListenerClosed);
        }
    }
}
