//! Sizes of the router's state, which its host displays and checks against its sockets, and the one setting
//! that can change while the router runs.
//!
//! Makes no decisions.

use super::router::Router;
use crate::interface::EngineId;

/// How many entries of each kind a router holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSizes {
    /// Requests in progress.
    pub requests: usize,
    /// Pending timers.
    pub timers: usize,
    /// Engines in the endpoint list.
    pub engines: usize,
}

impl Router {
    /// The numbers of requests, timers and engines that the router holds.
    pub fn state_sizes(&self) -> StateSizes {
        StateSizes { requests: self.requests.len(), timers: self.timers.len(), engines: self.engines.len() }
    }

    /// Sets how many routers share the engines, including this one. What was learnt stays valid, as shares of
    /// quotas and of slow start budgets are computed from the count each time.
    pub fn set_router_count(&mut self, routers: u32) {
        self.settings.router_count = routers.max(1);
    }

    /// For each engine of the endpoint list, the number of this router's attempts in flight.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (EngineId, f64)> + '_ {
        self.engines.iter().map(|(&id, record)| (id, record.in_flight))
    }
}
