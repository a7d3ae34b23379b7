//! What a router holds, for its host to show and to check against its sockets, and the one setting that changes while it runs.
//! Decides nothing.

mod heir;

use super::Router;
use crate::interface::EngineId;
pub use heir::Places;

impl Router {
    /// How many requests, timers and engines are kept.
    pub fn kept(&self) -> (usize, usize, usize) {
        (self.jobs.len(), self.alarms.len(), self.servers.len())
    }

    /// So many routers share the fleet from now on, this one counted. All that was learnt stays: parts of quotas and of cold
    /// budgets are worked out from the count each time.
    pub fn share_with(&mut self, routers: u32) {
        self.settings.routers = routers.max(1);
    }

    /// Its own attempts that it counts as out, by engine of the list.
    pub fn under_way(&self) -> impl Iterator<Item = (EngineId, f64)> + '_ {
        self.servers.iter().map(|(&id, server)| (id, server.out))
    }
}
