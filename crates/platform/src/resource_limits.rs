//! The bounds on what a router process holds, and how long idle client connections may use them.
//!
//! None of this looks at load or priority: that is the decision module's concern. A router runs on a small machine with
//! a fixed number of descriptors and a fixed amount of memory; what exceeds them is rejected before admission.

use std::time::Duration;

/// Descriptors that a process has before any peer connects: standard streams, epoll, wake-up, signals, listener, two
/// for discovery while it reconnects, a file that is read, the driver's reserve.
const RESERVED_DESCRIPTORS: usize = 20;
/// The largest head of a message, in bytes: as common servers take.
pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;
/// How long a client's connection may be idle between requests: longer than usual pauses of conversations, short enough
/// that connections whose clients never come back are reclaimed.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);
/// The same while more than half of the clients' descriptors are in use. The protocol allows it from 2 s.
const CROWDED_CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// What a router process may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Descriptors in all.
    pub descriptors: usize,
    /// Client connections at once.
    pub client_connections: usize,
    /// Connections to engines at once.
    pub engine_connections: usize,
    /// Bytes of request bodies that are held for further attempts, in all.
    pub request_bytes: usize,
}

impl ResourceLimits {
    /// Shares out `descriptors` descriptors and `memory_mb` MB of memory.
    ///
    /// Clients hold at most a third of the descriptors for requests, and each request has one attempt in flight, so half
    /// for each side is enough; some are left for connections that are closing and for releases.
    pub fn new(descriptors: usize, memory_mb: usize) -> Self {
        let usable = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let per_side = (usable * 45 / 100).max(2);
        ResourceLimits {
            descriptors,
            client_connections: per_side,
            engine_connections: per_side,
            request_bytes: (memory_mb << 20) / 4,
        }
    }

    /// Descriptors of connections that the driver may hold, those that are closing included.
    pub fn driver_connections(&self) -> usize {
        self.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(4)
    }

    /// How long a client's connection may be idle while `client_connections` are open.
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
