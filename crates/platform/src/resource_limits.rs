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
    /// Total bytes of request bodies that are held for further attempts.
    pub request_bytes: usize,
}

impl ResourceLimits {
    /// Divides `descriptors` descriptors and `memory_mb` MB of memory.
    ///
    /// Requests of clients use at most a third of the descriptors, and each request has one attempt in
    /// flight, so just under half for each side is enough. The rest is left for connections that are closing
    /// and for releases.
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
