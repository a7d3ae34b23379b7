//! The connections to engines: their timers, which idle connection carries the next exchange, and whether
//! reuse has worked so far.

use crate::engine_connection::{ConnectionPurpose, EngineConnection, State};
use crate::timer::{Timer, Timers};
use slipreel::EngineId;
use slipreel_connections::{BufferSizes, ConnectionMap, Pool, Purpose, ReuseHistory, Slot};
use slipreel_state_machine::ConnId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time for which a connection is idle before it is reused. An engine that closes it after an answer,
/// or sends a second answer, does so within this time.
const IDLE_BEFORE_REUSE: Duration = Duration::from_millis(8);
/// Maximum number of idle connections to one engine.
const MAX_IDLE_PER_ENGINE: usize = 1;
/// Limit of connections to one engine: none, as the resource limits bound their total. One less than the
/// maximum of the type, because the pool allows one more for health checks and releases.
const MAX_CONNECTIONS_PER_ENGINE: usize = usize::MAX - 1;

/// The connections to engines.
#[derive(Debug, Default)]
pub(crate) struct EngineConnections {
    by_id: ConnectionMap<EngineConnection>,
    pool: Pool,
    reuse_history: ReuseHistory,
    last_id: u64,
    buffer_sizes: BufferSizes,
}

impl EngineConnections {
    /// Returns a new id for a connection that this router opens, to an engine or to discovery.
    pub(crate) fn next_id(&mut self) -> ConnId {
        self.last_id += 1;
        ConnId::opened(self.last_id)
    }

    pub(crate) fn insert(&mut self, connection: EngineConnection) {
        self.buffer_sizes.mark_changed(connection.conn());
        self.by_id.insert(connection.conn(), connection);
    }

    pub(crate) fn get(&self, conn: ConnId) -> Option<&EngineConnection> {
        self.by_id.get(conn)
    }

    pub(crate) fn get_mut(&mut self, conn: ConnId) -> Option<&mut EngineConnection> {
        self.buffer_sizes.mark_changed(conn);
        self.by_id.get_mut(conn)
    }

    /// Removes a connection, its timer and its slot in the pool.
    pub(crate) fn remove(&mut self, conn: ConnId, timers: &mut Timers) -> Option<EngineConnection> {
        self.buffer_sizes.mark_changed(conn);
        let connection = self.by_id.remove(conn, timers)?;
        self.pool.remove(connection.engine(), conn);
        Some(connection)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Memory that the buffers of all connections take, in bytes.
    pub(crate) fn buffered_bytes(&mut self) -> usize {
        let by_id = &self.by_id;
        self.buffer_sizes.total(|conn| by_id.get(conn).map_or(0, EngineConnection::buffered_bytes))
    }

    /// The connection whose response takes most memory, and how many bytes it takes.
    pub(crate) fn largest_response(&self) -> Option<(usize, ConnId)> {
        self.by_id.values().map(|connection| (connection.response_bytes(), connection.conn())).max()
    }

    /// Number of connections that carry an exchange or are being opened for one.
    pub(crate) fn busy_count(&self) -> usize {
        self.by_id.values().filter(|connection| connection.state() != State::Idle).count()
    }

    /// Number of entries of engines in the pool and in the reuse history.
    pub(crate) fn tracked_engines(&self) -> usize {
        self.pool.len() + self.reuse_history.len()
    }

    /// Attempts in flight on connections, by engine.
    pub(crate) fn attempts_in_flight(&self) -> BTreeMap<EngineId, usize> {
        let mut counts = BTreeMap::new();
        for connection in self.by_id.values().filter(|connection| connection.state() != State::Idle) {
            if matches!(connection.purpose(), ConnectionPurpose::Attempt { .. }) {
                *counts.entry(connection.engine()).or_default() += 1;
            }
        }
        counts
    }

    /// Connections with attempts at these engines whose requests have not been written completely, in the
    /// order of their ids.
    pub(crate) fn unwritten_attempts(&self, is_to: impl Fn(EngineId) -> bool) -> Vec<ConnId> {
        self.by_id.sorted_ids(|connection| {
            let is_unwritten = connection.state() == State::Connecting || connection.is_holding_last_byte();
            let is_attempt = matches!(connection.purpose(), ConnectionPurpose::Attempt { .. });
            is_unwritten && is_attempt && is_to(connection.engine())
        })
    }

    /// The connection that has been idle longest.
    pub(crate) fn oldest_idle(&self) -> Option<ConnId> {
        let idle = self.by_id.values().filter(|connection| connection.state() == State::Idle);
        idle.min_by_key(|connection| (connection.since(), connection.conn())).map(EngineConnection::conn)
    }

    /// The idle connections to an engine.
    pub(crate) fn idle_to(&self, engine: EngineId) -> Vec<ConnId> {
        self.pool.idle(engine)
    }

    pub(crate) fn has_idle_to(&self, engine: EngineId) -> bool {
        self.pool.has_idle(engine)
    }

    /// Reserves a slot in the pool for an attempt, which always opens a new connection.
    pub(crate) fn reserve_new(&mut self, engine: EngineId) {
        self.pool.reserve_new(engine);
    }

    /// Reserves a slot in the pool for a health check or a release: an idle connection, or one to be opened.
    pub(crate) fn reserve(&mut self, engine: EngineId, purpose: ConnectionPurpose, now: Duration) -> Slot {
        // Releases are urgent, and are retried if the connection breaks: they may reuse any idle connection.
        let (pool_purpose, idle_since) = match purpose {
            ConnectionPurpose::Release(_) => (Purpose::Release, now),
            _ if self.reuse_history.allows_reuse(engine) => {
                (Purpose::Probe, now.saturating_sub(IDLE_BEFORE_REUSE))
            }
            _ => (Purpose::Probe, Duration::ZERO),
        };
        self.pool.reserve(engine, MAX_CONNECTIONS_PER_ENGINE, pool_purpose, idle_since)
    }

    /// Frees a reserved slot for which no connection could be opened.
    pub(crate) fn cancel_reservation(&mut self, engine: EngineId) {
        // No connection has this id.
        self.pool.remove(engine, ConnId::opened(0));
    }

    /// Makes a connection available for further exchanges.
    pub(crate) fn keep_idle(&mut self, engine: EngineId, conn: ConnId, now: Duration) {
        self.pool.put_idle(engine, conn, MAX_IDLE_PER_ENGINE, now);
    }

    /// Records that a reused connection received an answer.
    pub(crate) fn record_reuse_success(&mut self, engine: EngineId) {
        self.reuse_history.record(engine, false);
    }

    /// Records the loss of a connection. It counts against reuse if the connection was reused and had
    /// received nothing of the answer.
    pub(crate) fn record_loss(&mut self, connection: &EngineConnection) {
        if connection.is_reuse_unproven() {
            self.reuse_history.record(connection.engine(), true);
        }
    }

    /// Forgets whether reuse worked with an engine that is unavailable or has another address or role.
    pub(crate) fn forget_reuse_history(&mut self, engine: EngineId) {
        self.reuse_history.forget(engine);
    }

    /// Replaces a connection's timer; sets none if `deadline` is `None`.
    pub(crate) fn arm_timer(&mut self, conn: ConnId, deadline: Option<Duration>, timers: &mut Timers) {
        self.by_id.arm_timer(conn, deadline, timers, Timer::Engine(conn));
    }

    /// Handles the firing of a connection's timer.
    pub(crate) fn timer_fired(&mut self, conn: ConnId) {
        self.by_id.timer_fired(conn);
    }
}
