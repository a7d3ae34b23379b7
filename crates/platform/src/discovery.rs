//! The discovery side: opens, reads and reopens the watch of the endpoint list, and applies the lists that it
//! receives.

use crate::config::Config;
use crate::endpoint_list::EndpointList;
use crate::log_event::LogEvent;
use crate::router::PlatformRouter;
use crate::watch::{DueStep, WatchFailure};
use slipreel::Outcome;
use slipreel_state_machine::{ConnId, ConnectionLoss, Output};

impl PlatformRouter {
    /// Handles the firing of the watch's timer: opens the watch, or closes it if it has timed out.
    pub(crate) fn watch_due(&mut self, out: &mut Vec<Output>) {
        self.watch.timer_fired();
        match self.watch.due_step(self.now) {
            Some(DueStep::Open) => {
                let conn = self.engines.next_id();
                self.watch.connecting(conn, self.now);
                out.push(Output::Connect(conn, self.watch.addr()));
            }
            Some(DueStep::Fail(timeout)) => {
                self.watch_failed(WatchFailure::TimedOut(timeout), out);
                if timeout.reopens_at_once() {
                    return self.watch_due(out);
                }
            }
            None => {}
        }
        self.watch.arm_timer(&mut self.timers);
    }

    /// Sends the request of the watch on its established connection.
    pub(crate) fn watch_connected(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let request = self.watch.connected(conn, self.now);
        out.push(Output::Write(conn, request));
        self.watch.arm_timer(&mut self.timers);
    }

    /// Closes a watch that has failed, and schedules the next after a backoff or at once.
    pub(crate) fn watch_failed(&mut self, failure: WatchFailure, out: &mut Vec<Output>) {
        if let Some(conn) = self.watch.conn() {
            out.push(Output::Abort(conn));
        }
        let reopens_at_once = failure.reopens_at_once();
        self.log_limited(|| LogEvent::WatchFailed(failure), out);
        self.watch.failed(self.now, reopens_at_once);
        self.watch.arm_timer(&mut self.timers);
    }

    /// Handles the loss of the watch's connection. If there was no descriptor for it, an idle connection of a
    /// client or to an engine is closed for the next attempt: the endpoint list takes precedence.
    pub(crate) fn watch_lost(&mut self, loss: ConnectionLoss, out: &mut Vec<Output>) {
        let failure = if loss == ConnectionLoss::Exhausted {
            self.free_descriptor(out);
            WatchFailure::NoDescriptor
        } else {
            WatchFailure::ConnectionLost
        };
        self.watch_failed(failure, out);
    }

    /// Closes a connection to free a descriptor: that of a client that can be evicted, else an idle one to an
    /// engine.
    pub(crate) fn free_descriptor(&mut self, out: &mut Vec<Output>) {
        if !self.evict(out) {
            self.close_oldest_idle(out);
        }
    }

    /// Handles bytes from the watch: applies the lists that they complete.
    pub(crate) fn watch_data(&mut self, bytes: &[u8], out: &mut Vec<Output>) {
        let mut lists = Vec::new();
        let result = self.watch.feed(self.now, bytes, &mut lists);
        for list in lists {
            self.apply_endpoint_list(list, out);
            // The actions for one list are dispatched before the next list is applied.
            self.run_decisions(out);
        }
        match result {
            Ok(()) => self.watch.arm_timer(&mut self.timers),
            Err(error) => self.watch_failed(WatchFailure::Unusable(error), out),
        }
    }

    fn apply_endpoint_list(&mut self, list: EndpointList, out: &mut Vec<Output>) {
        let changes = self.endpoints.apply(list, false);
        for event in changes.skipped {
            self.log_limited(|| event, out);
        }
        self.queue_event(changes.event);
        // Cancels attempts at engines that are unavailable or changed, unless their request was written
        // completely. They provably never ran, so they can be retried elsewhere.
        let is_affected = |engine| changes.unavailable.contains(&engine) || changes.changed.contains(&engine);
        for conn in self.engines.unwritten_attempts(is_affected) {
            self.cancel_connection(conn, Outcome::Cancelled, out);
        }
        for engine in changes.unavailable.into_iter().chain(changes.changed) {
            self.engines.forget_reuse_history(engine);
            self.close_idle(engine, out);
        }
    }

    /// Applies a new configuration file: reopens the watch at the new address. The current list stays in use
    /// until one is received from there.
    pub(crate) fn reload(&mut self, config: &Config, out: &mut Vec<Output>) {
        let event = LogEvent::ConfigReloaded { discovery: config.discovery };
        out.push(Output::Log(event.to_string()));
        if config.discovery != self.watch.addr() {
            if let Some(conn) = self.watch.conn() {
                out.push(Output::Abort(conn));
            }
            self.watch.change_address(config.discovery, self.now);
            self.watch.arm_timer(&mut self.timers);
            self.watch_due(out);
        }
    }
}
