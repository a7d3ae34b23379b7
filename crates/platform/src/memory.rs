//! Keeps the memory that buffers take within its limit, whatever clients and engines send.
//!
//! Buffers grow with what peers send and with what they do not read: requests that are incomplete or wait for
//! further attempts, pipelined bytes, answers and requests that are not sent yet, responses and endpoint lists
//! that are incomplete. They are counted after each input, and the limit is on their sum.

use crate::log_event::LogEvent;
use crate::proof::AttemptEnd;
use crate::request_error::RequestError;
use crate::router::PlatformRouter;
use slipreel::{Outcome, RequestId};
use slipreel_state_machine::{ConnId, Output};

/// The connection whose buffers take most memory.
enum LargestBuffer {
    /// A client's: what it has pipelined, and what it does not read.
    Client(ConnId),
    /// An engine's: a response whose next event is incomplete.
    Engine(ConnId),
}

impl PlatformRouter {
    /// The memory that buffers take now, in bytes.
    pub(crate) fn measure_buffers(&mut self) -> usize {
        self.clients.buffered_bytes()
            + self.engines.buffered_bytes()
            + self.requests.held_bytes()
            + self.watch.buffered_bytes()
    }

    /// Frees memory for `bytes` more by rejecting incomplete requests. Returns whether there is enough.
    ///
    /// A complete request takes precedence over incomplete ones: their clients may never send the rest.
    pub(crate) fn reserve_memory(&mut self, bytes: usize, out: &mut Vec<Output>) -> bool {
        while self.measure_buffers() + bytes > self.resource_limits.buffer_bytes {
            if !self.reject_incomplete_request(out) {
                return false;
            }
        }
        true
    }

    /// Counts the memory that buffers take, and keeps it within the limit.
    pub(crate) fn limit_memory(&mut self, out: &mut Vec<Output>) {
        self.buffered_bytes = self.measure_buffers();
        if self.buffered_bytes > self.resource_limits.buffer_bytes {
            self.enforce_memory_limit(out);
        }
        let was_scarce = self.memory_is_scarce;
        self.memory_is_scarce = self.resource_limits.is_memory_scarce(self.buffered_bytes, was_scarce);
        if self.memory_is_scarce && !was_scarce {
            self.pause_slow_streams(out);
        }
    }

    /// Pauses the streams whose clients do not read as fast as their engines write.
    fn pause_slow_streams(&mut self, out: &mut Vec<Output>) {
        let open: Vec<RequestId> = self.requests.open().map(|(id, _)| id).collect();
        open.into_iter().for_each(|id| self.apply_backpressure(id, out));
    }

    /// Brings the memory that buffers take back within the limit: rejects incomplete requests, and if there are
    /// none left, ends the connection with the largest buffers.
    fn enforce_memory_limit(&mut self, out: &mut Vec<Output>) {
        let (held, limit) = (self.buffered_bytes, self.resource_limits.buffer_bytes);
        self.log_limited(|| LogEvent::MemoryLimitExceeded { held, limit }, out);
        while self.measure_buffers() > limit {
            if !self.reject_incomplete_request(out) && !self.end_largest_connection(out) {
                break;
            }
        }
        self.run_decisions(out);
        self.buffered_bytes = self.measure_buffers();
    }

    /// Rejects the incomplete request that has cost most memory. The rest of it may be in transit, so it is
    /// answered before its connection is closed. False if no request is incomplete.
    fn reject_incomplete_request(&mut self, out: &mut Vec<Output>) -> bool {
        let Some(conn) = self.clients.costliest_incomplete_request(self.now) else { return false };
        self.reject_and_close(conn, &RequestError::OutOfMemory, out);
        true
    }

    /// The connection with the largest buffers, if they take more than an equal share of the limit. Ending
    /// smaller ones would cost many clients their answers and free little.
    fn largest_buffer(&self) -> Option<LargestBuffer> {
        let (client_bytes, client) = self.clients.largest_buffers().unzip();
        let (engine_bytes, engine) = self.engines.largest_response().unzip();
        if client_bytes.max(engine_bytes)? <= self.resource_limits.equal_share() {
            return None;
        }
        if engine_bytes > client_bytes {
            engine.map(LargestBuffer::Engine)
        } else {
            client.map(LargestBuffer::Client)
        }
    }

    /// Ends the connection with the largest buffers. False if none takes more than an equal share.
    fn end_largest_connection(&mut self, out: &mut Vec<Output>) -> bool {
        match self.largest_buffer() {
            Some(LargestBuffer::Client(conn)) => {
                out.push(Output::Abort(conn));
                self.client_disconnected(conn, out);
            }
            Some(LargestBuffer::Engine(conn)) => {
                self.abort_connection(conn, AttemptEnd::may_have_run(Outcome::Error), out);
            }
            None => return false,
        }
        true
    }
}
