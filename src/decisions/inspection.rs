//! What a router holds, for its host to show and to check against its sockets, and the one setting that
//! changes while it runs.
//!
//! Decides nothing.

use super::router::Router;
use crate::interface::EngineId;

/// How many entries of each kind a router holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSizes {
    /// Requests in progress.
    pub requests: usize,
    /// Timers that are set.
    pub timers: usize,
    /// Engines of the list.
    pub engines: usize,
}

impl Router {
    /// How many requests, timers and engines it holds.
    pub fn state_sizes(&self) -> StateSizes {
        StateSizes { requests: self.requests.len(), timers: self.timers.len(), engines: self.engines.len() }
    }

    /// From now on so many routers share the engines, this one included. All that was learnt stays: shares of
    /// quotas and of slow start budgets are computed from the count each time.
    pub fn set_router_count(&mut self, routers: u32) {
        self.settings.router_count = routers.max(1);
    }

    /// The attempts in flight that it counts for each engine of the endpoint list.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (EngineId, f64)> + '_ {
        self.engines.iter().map(|(&id, record)| (id, record.in_flight))
    }
}
