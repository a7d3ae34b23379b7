//! What a router holds, for its host to show and to check against its sockets. Decides nothing.

use super::Router;
use crate::interface::EngineId;

impl Router {
    /// How many requests, timers and engines are kept.
    pub fn kept(&self) -> (usize, usize, usize) {
        (self.jobs.len(), self.alarms.len(), self.servers.len())
    }

    /// Its own attempts that it counts as out, by engine of the list.
    pub fn under_way(&self) -> impl Iterator<Item = (EngineId, f64)> + '_ {
        self.servers.iter().map(|(&id, server)| (id, server.out))
    }
}
