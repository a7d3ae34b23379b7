//! The open connections of one kind, each with one timer.

use crate::connection_timers::ConnectionTimers;
use crate::timer_wheel::TimerWheel;
use slipreel_state_machine::ConnId;
use std::collections::HashMap;
use std::time::Duration;

/// Connections by id, each with at most one timer.
#[derive(Debug)]
pub struct ConnectionMap<C> {
    by_id: HashMap<ConnId, C>,
    timers: ConnectionTimers,
}

impl<C> Default for ConnectionMap<C> {
    fn default() -> Self {
        ConnectionMap { by_id: HashMap::new(), timers: ConnectionTimers::default() }
    }
}

impl<C> ConnectionMap<C> {
    /// Adds a connection, or replaces the one of this id.
    pub fn insert(&mut self, conn: ConnId, connection: C) {
        self.by_id.insert(conn, connection);
    }

    /// The connection of this id, if it is open.
    pub fn get(&self, conn: ConnId) -> Option<&C> {
        self.by_id.get(&conn)
    }

    /// The connection of this id, if it is open.
    pub fn get_mut(&mut self, conn: ConnId) -> Option<&mut C> {
        self.by_id.get_mut(&conn)
    }

    /// Whether a connection of this id is open.
    pub fn contains(&self, conn: ConnId) -> bool {
        self.by_id.contains_key(&conn)
    }

    /// Removes a connection and cancels its timer.
    pub fn remove<T>(&mut self, conn: ConnId, wheel: &mut TimerWheel<T>) -> Option<C> {
        self.timers.cancel(wheel, conn);
        self.by_id.remove(&conn)
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The connections, in no particular order.
    pub fn values(&self) -> impl Iterator<Item = &C> {
        self.by_id.values()
    }

    /// The connections, in no particular order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut C> {
        self.by_id.values_mut()
    }

    /// The ids of the connections that match, in ascending order, which is the same in every run.
    pub fn sorted_ids(&self, matches: impl Fn(&C) -> bool) -> Vec<ConnId> {
        let matching = self.by_id.iter().filter(|(_, connection)| matches(connection));
        let mut ids: Vec<ConnId> = matching.map(|(&conn, _)| conn).collect();
        ids.sort();
        ids
    }

    /// Replaces a connection's timer by one that fires at `due`, or by none.
    pub fn arm_timer<T>(&mut self, conn: ConnId, due: Option<Duration>, wheel: &mut TimerWheel<T>, item: T) {
        self.timers.arm(wheel, conn, due, item);
    }

    /// Forgets a connection's timer, which has fired.
    pub fn timer_fired(&mut self, conn: ConnId) {
        self.timers.fired(conn);
    }
}

#[cfg(test)]
mod tests;
