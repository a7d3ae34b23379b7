//! Discovery's side: the watch of the endpoint list is opened, read and opened again, and its lists are applied.

use crate::config::Config;
use crate::endpoint_list::EndpointList;
use crate::log_event::LogEvent;
use crate::router::PlatformRouter;
use crate::watch::{DueStep, WatchFailure};
use slipreel::Outcome;
use slipreel_state_machine::{ConnId, ConnectionLoss, Output};

impl PlatformRouter {
    /// The watch's timer has fired: it is opened, or closed if it has timed out.
    pub(crate) fn watch_due(&mut self, out: &mut Vec<Output>) {
        self.watch.timer_fired();
        match self.watch.due_step(self.now) {
            Some(DueStep::Open) => {
                let conn = self.engines.next_id();
                self.watch.connecting(conn, self.now);
                out.push(Output::Connect(conn, self.watch.addr()));
            }
            Some(DueStep::GiveUp(timeout)) => {
                self.watch_failed(WatchFailure::TimedOut(timeout), out);
                if timeout.reopens_at_once() {
                    return self.watch_due(out);
                }
            }
            None => {}
        }
        self.watch.arm_timer(&mut self.timers);
    }

    /// The watch's connection is established.
    pub(crate) fn watch_connected(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let request = self.watch.connected(conn, self.now);
        out.push(Output::Write(conn, request));
        self.watch.arm_timer(&mut self.timers);
    }

    /// The watch has failed: it is opened again, after a backoff or at once.
    pub(crate) fn watch_failed(&mut self, failure: WatchFailure, out: &mut Vec<Output>) {
        if let Some(conn) = self.watch.conn() {
            out.push(Output::Abort(conn));
        }
        let reopens_at_once = failure.reopens_at_once();
        self.log_limited(|| LogEvent::WatchFailed(failure), out);
        self.watch.failed(self.now, reopens_at_once);
        self.watch.arm_timer(&mut self.timers);
    }

    /// The watch's connection is lost. Without a descriptor for it, idle client connections and idle connections to
    /// engines are closed for the next: the list takes precedence.
    pub(crate) fn watch_lost(&mut self, why: ConnectionLoss, out: &mut Vec<Output>) {
        let failure = if why == ConnectionLoss::Exhausted {
            self.free_descriptor(out);
            WatchFailure::NoDescriptor
        } else {
            WatchFailure::ConnectionLost
        };
        self.watch_failed(failure, out);
    }

    /// Closes a connection so that the process has a descriptor for another: an idle client's, else an engine's.
    pub(crate) fn free_descriptor(&mut self, out: &mut Vec<Output>) {
        if !self.evict(out) {
            self.close_oldest_idle(out);
        }
    }

    /// Bytes of the watch were received: applies the lists that they complete.
    pub(crate) fn watch_data(&mut self, bytes: &[u8], out: &mut Vec<Output>) {
        let mut lists = Vec::new();
        let fed = self.watch.feed(self.now, bytes, &mut lists);
        for list in lists {
            self.apply_endpoint_list(list, out);
            // The actions that follow from one list are dispatched by that list, not by the next.
            self.run_decisions(out);
        }
        match fed {
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
        // Attempts to an engine that drains or is gone are cancelled unless they were written to their last byte, and so can be
        // retried elsewhere.
        let is_affected = |engine| changes.closed.contains(&engine) || changes.moved.contains(&engine);
        for conn in self.engines.unwritten_attempts(is_affected) {
            self.cancel_connection(conn, Outcome::Cancelled, out);
        }
        for engine in changes.closed.into_iter().chain(changes.moved) {
            self.engines.forget_reuse_history(engine);
            self.close_idle(engine, out);
        }
    }

    /// The configuration file was replaced: the watch is opened at the new address; the current list stays until one comes from
    /// there.
    pub(crate) fn reload(&mut self, config: &Config, out: &mut Vec<Output>) {
        let event = LogEvent::ConfigReloaded { discovery: config.discovery };
        out.push(Output::Log(event.to_string()));
        if config.discovery != self.watch.addr() {
            if let Some(conn) = self.watch.conn() {
                out.push(Output::Abort(conn));
            }
            self.watch.move_to(config.discovery, self.now);
            self.watch.arm_timer(&mut self.timers);
            self.watch_due(out);
        }
    }
}
