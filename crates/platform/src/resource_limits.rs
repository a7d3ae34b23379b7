//! The limits on what a router process holds, and on how long client connections may be idle.
//!
//! These limits do not consider load or priority, which the decision module handles. A router runs on a small
//! machine with a fixed number of descriptors and a fixed amount of memory; what exceeds them is rejected
//! before admission.

use std::time::Duration;

/// Descriptors that a process uses besides those of clients and engines: standard streams, epoll, wake-up,
/// signals, listener, two for discovery while it reconnects, a file that is read, the driver's reserve.
const RESERVED_DESCRIPTORS: usize = 20;
/// Maximum size of a message head, in bytes: the limit of common servers.
pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Memory is scarce while more than this many eighths of the memory for buffers are in use.
const SCARCITY_BEGIN_EIGHTHS: usize = 6;
/// Scarcity ends at this many eighths, so that it does not begin and end with each input.
const SCARCITY_END_EIGHTHS: usize = 5;
/// Maximum size of an object from discovery, in bytes, however much memory there is.
const MAX_LIST_OBJECT_BYTES: usize = 4 << 20;
/// How long a client connection may be idle between requests: longer than usual pauses in conversations, and
/// short enough to reclaim connections whose clients do not return.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);
/// The same while more than half of the descriptors for clients are in use. The protocol allows a minimum of
/// 2 s.
const CROWDED_CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The limits of a router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Descriptors in total.
    pub descriptors: usize,
    /// Concurrent client connections.
    pub client_connections: usize,
    /// Concurrent connections to engines.
    pub engine_connections: usize,
    /// Memory of all requests that are held for further attempts, in bytes.
    pub request_bytes: usize,
    /// Memory of all buffers of connections and requests, in bytes.
    pub buffer_bytes: usize,
    /// Size of an object from discovery, in bytes.
    pub list_object_bytes: usize,
}

impl ResourceLimits {
    /// Divides `descriptors` descriptors and `memory_mb` MB of memory.
    ///
    /// Buffers get half of the memory, and half of that is for requests: each may be copied once, for the
    /// attempt in flight. The other half of the memory is for the program, the state of the decision module, the
    /// endpoint list, connections that are closing, and what the allocator can't use.
    ///
    /// Requests of clients use at most a third of the descriptors, and each request has one attempt in
    /// flight, so just under half for each side is enough. The rest is left for connections that are closing
    /// and for releases.
    pub fn new(descriptors: usize, memory_mb: usize) -> Self {
        let usable = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let memory = memory_mb << 20;
        let per_side = (usable * 45 / 100).max(2);
        ResourceLimits {
            descriptors,
            client_connections: per_side,
            engine_connections: per_side,
            request_bytes: memory / 4,
            buffer_bytes: memory / 2,
            list_object_bytes: (memory / 16).min(MAX_LIST_OBJECT_BYTES),
        }
    }

    /// Whether so much of the memory for buffers is in use that they must not grow further with what clients do
    /// not read. `was_scarce`: whether it was so before.
    pub(crate) fn is_memory_scarce(&self, buffered_bytes: usize, was_scarce: bool) -> bool {
        let eighths = if was_scarce { SCARCITY_END_EIGHTHS } else { SCARCITY_BEGIN_EIGHTHS };
        buffered_bytes > self.buffer_bytes / 8 * eighths
    }

    /// The memory for buffers if all connections took the same, in bytes.
    pub(crate) fn equal_share(&self) -> usize {
        self.buffer_bytes / (self.client_connections + self.engine_connections)
    }

    /// Unsent bytes that the driver may hold for connections that are closing.
    pub fn closing_bytes(&self) -> usize {
        self.buffer_bytes / 4
    }

    /// Connections that the driver may hold, closing ones included.
    pub fn driver_connections(&self) -> usize {
        self.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(4)
    }

    /// How long a client connection may be idle while `client_connections` are open.
    pub(crate) fn client_idle_timeout(&self, client_connections: usize) -> Duration {
        if client_connections * 2 > self.client_connections {
            CROWDED_CLIENT_IDLE_TIMEOUT
        } else {
            CLIENT_IDLE_TIMEOUT
        }
    }
}

#[cfg(test)]
mod tests;
