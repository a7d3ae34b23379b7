//! The connections to engines, their timers, and the pool that chooses the connection of the next exchange.

use crate::engine_connection::{ConnectionPurpose, EngineConnection};
use crate::timer::{Timer, Timers};
use slipreel::EngineId;
use slipreel_connections::{ConnectionMap, Pool, Purpose, Slot};
use slipreel_state_machine::ConnId;
use std::time::Duration;

/// The connections to engines.
#[derive(Default)]
pub(crate) struct EngineConnections {
    by_id: ConnectionMap<EngineConnection>,
    pool: Pool,
    /// Connections that carry an answer whose client has disconnected; closed before the next decision.
    abandoned: Vec<ConnId>,
    last_id: u64,
}

impl EngineConnections {
    /// The id for a new connection to an engine.
    pub(crate) fn next_id(&mut self) -> ConnId {
        self.last_id += 1;
        ConnId::opened(self.last_id)
    }

    pub(crate) fn insert(&mut self, connection: EngineConnection) {
        self.by_id.insert(connection.conn, connection);
    }

    pub(crate) fn get(&self, conn: ConnId) -> Option<&EngineConnection> {
        self.by_id.get(conn)
    }

    pub(crate) fn get_mut(&mut self, conn: ConnId) -> Option<&mut EngineConnection> {
        self.by_id.get_mut(conn)
    }

    /// Removes a connection, its timer and its place in the pool.
    pub(crate) fn remove(&mut self, conn: ConnId, timers: &mut Timers) -> Option<EngineConnection> {
        let connection = self.by_id.remove(conn, timers)?;
        self.pool.remove(connection.engine, conn);
        Some(connection)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The ids of the connections that match, in ascending order.
    pub(crate) fn sorted_ids(&self, matches: impl Fn(&EngineConnection) -> bool) -> Vec<ConnId> {
        self.by_id.sorted_ids(matches)
    }

    /// The idle connections to an engine.
    pub(crate) fn idle_to(&self, engine: EngineId) -> Vec<ConnId> {
        self.pool.idle(engine)
    }

    pub(crate) fn has_idle_to(&self, engine: EngineId) -> bool {
        self.pool.has_idle(engine)
    }

    /// How many connections to an engine are open or being opened.
    pub(crate) fn count_to(&self, engine: EngineId) -> usize {
        self.pool.open_count(engine)
    }

    /// Whether the last idle connection to an engine stays open, because the engine holds state that has to
    /// be released.
    pub(crate) fn keeps_last_idle(&self, engine: EngineId) -> bool {
        self.pool.keeps_last_idle(engine)
    }

    /// Reserves a connection for an exchange: one that has been idle since `idle_since` or earlier, or one to
    /// be opened.
    pub(crate) fn reserve(
        &mut self, engine: EngineId, purpose: ConnectionPurpose, max_connections: usize, idle_since: Duration,
    ) -> Slot {
        let pool_purpose = match purpose {
            ConnectionPurpose::Attempt { .. } => Purpose::Attempt,
            ConnectionPurpose::Probe => Purpose::Probe,
            ConnectionPurpose::Release(_) => Purpose::Release,
        };
        self.pool.reserve(engine, max_connections, pool_purpose, idle_since)
    }

    /// Makes a connection available for further exchanges. Returns false if the limit of idle connections is
    /// reached.
    pub(crate) fn keep_idle(
        &mut self, engine: EngineId, conn: ConnId, max_idle: usize, now: Duration,
    ) -> bool {
        self.pool.put_idle(engine, conn, max_idle, now)
    }

    /// Counts one more state that an engine possibly holds.
    pub(crate) fn state_held(&mut self, engine: EngineId) {
        self.pool.state_held(engine);
    }

    /// Subtracts one from the states that an engine possibly holds; does nothing for `None`.
    pub(crate) fn state_released(&mut self, engine: Option<EngineId>) {
        self.pool.state_released(engine);
    }

    /// Marks a connection whose client has disconnected, to be closed.
    pub(crate) fn abandon(&mut self, conn: ConnId) {
        self.abandoned.push(conn);
    }

    /// Returns the connections that were abandoned since the last call.
    pub(crate) fn take_abandoned(&mut self) -> Vec<ConnId> {
        std::mem::take(&mut self.abandoned)
    }

    /// Replaces a connection's timer; removes it if there is no deadline.
    pub(crate) fn arm_timer(&mut self, conn: ConnId, deadline: Option<Duration>, timers: &mut Timers) {
        self.by_id.arm_timer(conn, deadline, timers, Timer::Engine(conn));
    }

    /// Records that a connection's timer has fired.
    pub(crate) fn timer_fired(&mut self, conn: ConnId) {
        self.by_id.timer_fired(conn);
    }
}
