//! The client connections of a gateway and their timeouts.

use crate::settings::Bounds;
use crate::timer::{Timer, Timers};
use slipreel_connections::{ClientConnection, ClientState, ConnectionMap};
use slipreel_state_machine::ConnId;
use std::time::Duration;

/// The client connections with their timers.
#[derive(Default)]
pub(crate) struct ClientConnections(ConnectionMap<ClientConnection>);

impl ClientConnections {
    /// Adds a connection that was just accepted.
    pub(crate) fn insert(&mut self, client: ClientConnection) {
        self.0.insert(client.conn, client);
    }

    pub(crate) fn get(&self, conn: ConnId) -> Option<&ClientConnection> {
        self.0.get(conn)
    }

    pub(crate) fn get_mut(&mut self, conn: ConnId) -> Option<&mut ClientConnection> {
        self.0.get_mut(conn)
    }

    /// Removes a connection and its timer.
    pub(crate) fn remove(&mut self, conn: ConnId, timers: &mut Timers) {
        self.0.remove(conn, timers);
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The ids of all connections, in ascending order.
    pub(crate) fn ids(&self) -> Vec<ConnId> {
        self.0.sorted_ids(|_| true)
    }

    /// When a connection times out; `None` if its state has no timeout.
    pub(crate) fn deadline(&self, conn: ConnId, bounds: &Bounds) -> Option<Duration> {
        let client = self.get(conn)?;
        let stalled = (client.unsent > 0).then(|| client.last_sent_at + bounds.stalled_peer);
        let by_state = match client.state {
            ClientState::Idle => Some(client.since + bounds.client_idle),
            ClientState::Receiving => Some(client.since + bounds.receive),
            ClientState::Serving(_) => None,
        };
        by_state.into_iter().chain(stalled).min()
    }

    /// Replaces a connection's timer according to its state.
    pub(crate) fn arm_timer(&mut self, conn: ConnId, bounds: &Bounds, timers: &mut Timers) {
        let deadline = self.deadline(conn, bounds);
        self.0.arm_timer(conn, deadline, timers, Timer::Client(conn));
    }

    /// Records that a connection's timer has fired.
    pub(crate) fn timer_fired(&mut self, conn: ConnId) {
        self.0.timer_fired(conn);
    }
}
