//! The client connections of a router: their timeouts, and which one is evicted when no slot is free.

use crate::resource_limits::ResourceLimits;
use crate::timer::{Timer, Timers};
use slipreel_connections::{BufferSizes, ClientConnection, ClientState, ConnectionMap};
use slipreel_state_machine::ConnId;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// A connection is closed if its first request is still incomplete after this. The protocol allows 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Maximum time from the first byte of a request to its last, for the same reason.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2_400);
/// A client that reads nothing for this long while bytes wait for it is disconnected.
const STALL_TIMEOUT: Duration = Duration::from_millis(10_000);
/// How long a connection counts as new after it was accepted. Its first request may still be in transit, so
/// it is evicted only if there is no other candidate, and a shutdown does not close it yet.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(400);

/// Why a connection may be closed to free a slot. The variant that is declared first is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Its first request is still incomplete after [`NEW_CONNECTION_GRACE`].
    SlowFirstRequest,
    /// It has had an answer and is idle.
    Idle,
    /// It is new and has sent nothing.
    NewAndSilent,
    /// It is new, and part of its first request was received.
    NewAndReceiving,
}

/// An idle connection that a shutdown may close.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleClient {
    pub(crate) conn: ConnId,
    /// Until when its first request may be in transit; `None` if it has sent a request before.
    pub(crate) grace_until: Option<Duration>,
}

/// The client connections with their timers.
#[derive(Debug, Default)]
pub(crate) struct ClientConnections {
    by_id: ConnectionMap<ClientConnection>,
    /// Connections whose first request is incomplete, with the time at which they were accepted.
    awaiting_first_request: HashMap<ConnId, Duration>,
    buffer_sizes: BufferSizes,
}

impl ClientConnections {
    /// Adds a connection that was just accepted.
    pub(crate) fn insert(&mut self, client: ClientConnection, now: Duration) {
        self.awaiting_first_request.insert(client.conn, now);
        self.buffer_sizes.mark_changed(client.conn);
        self.by_id.insert(client.conn, client);
    }

    pub(crate) fn get(&self, conn: ConnId) -> Option<&ClientConnection> {
        self.by_id.get(conn)
    }

    pub(crate) fn get_mut(&mut self, conn: ConnId) -> Option<&mut ClientConnection> {
        self.buffer_sizes.mark_changed(conn);
        self.by_id.get_mut(conn)
    }

    pub(crate) fn contains(&self, conn: ConnId) -> bool {
        self.by_id.contains(conn)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Removes a connection and its timer.
    pub(crate) fn remove(&mut self, conn: ConnId, timers: &mut Timers) {
        self.buffer_sizes.mark_changed(conn);
        self.by_id.remove(conn, timers);
        self.awaiting_first_request.remove(&conn);
    }

    /// Records that a connection has received a complete request.
    pub(crate) fn request_received(&mut self, conn: ConnId) {
        self.awaiting_first_request.remove(&conn);
    }

    pub(crate) fn awaits_first_request(&self, conn: ConnId) -> bool {
        self.awaiting_first_request.contains_key(&conn)
    }

    /// Number of connections that have not sent a complete request yet.
    pub(crate) fn awaiting_first_request_count(&self) -> usize {
        self.awaiting_first_request.len()
    }

    /// Has each connection close after its next answer.
    pub(crate) fn close_after_next_answer(&mut self) {
        self.by_id.values_mut().for_each(ClientConnection::close_after_answer);
    }

    /// The connections between requests, in the order of their ids.
    pub(crate) fn idle(&self) -> Vec<IdleClient> {
        let idle = self.by_id.sorted_ids(|client| client.state == ClientState::Idle);
        let with_grace = |conn: ConnId| {
            let accepted_at = self.awaiting_first_request.get(&conn);
            IdleClient { conn, grace_until: accepted_at.map(|&at| at + NEW_CONNECTION_GRACE) }
        };
        idle.into_iter().map(with_grace).collect()
    }

    /// The connection to close to free a slot: one whose first request is slow, else the one that has been
    /// idle longest, else a new one. `None` if all are busy with requests.
    pub(crate) fn eviction_candidate(&self, now: Duration) -> Option<ConnId> {
        let ranked = self.by_id.values().filter_map(|client| {
            let rank = self.eviction_rank(client, now)?;
            Some((rank, client.since, client.conn))
        });
        ranked.min().map(|(_, _, conn)| conn)
    }

    fn eviction_rank(&self, client: &ClientConnection, now: Duration) -> Option<EvictionRank> {
        let accepted_at = self.awaiting_first_request.get(&client.conn).copied();
        let is_past_grace = |accepted_at: Duration| now >= accepted_at + NEW_CONNECTION_GRACE;
        match (accepted_at, client.state) {
            (_, ClientState::Serving(_)) | (None, ClientState::Receiving) => None,
            (None, ClientState::Idle) => Some(EvictionRank::Idle),
            (Some(accepted_at), _) if is_past_grace(accepted_at) => Some(EvictionRank::SlowFirstRequest),
            (Some(_), ClientState::Idle) => Some(EvictionRank::NewAndSilent),
            (Some(_), ClientState::Receiving) => Some(EvictionRank::NewAndReceiving),
        }
    }

    /// Memory that the buffers of all connections take, in bytes.
    pub(crate) fn buffered_bytes(&mut self) -> usize {
        let by_id = &self.by_id;
        self.buffer_sizes.total(|conn| by_id.get(conn).map_or(0, ClientConnection::buffered_bytes))
    }

    /// The connection whose incomplete request has cost most memory so far: its size times its age. Most
    /// requests are complete within milliseconds, so this is one whose client has stopped sending, or sends
    /// slowly. `None` if no request is incomplete.
    pub(crate) fn costliest_incomplete_request(&self, now: Duration) -> Option<ConnId> {
        let receiving = self.by_id.values().filter(|client| client.state == ClientState::Receiving);
        let cost = |client: &ClientConnection| {
            let age = now.saturating_sub(client.since).as_micros();
            (age * client.received_size() as u128, client.received_size(), Reverse(client.conn))
        };
        receiving.max_by_key(|client| cost(client)).map(|client| client.conn)
    }

    /// The connection whose buffers take most memory, and how many bytes they take.
    pub(crate) fn largest_buffers(&self) -> Option<(usize, ConnId)> {
        self.by_id.values().map(|client| (client.buffered_bytes(), client.conn)).max()
    }

    /// When a connection times out; `None` if it has no timeout in its present state.
    pub(crate) fn deadline(&self, conn: ConnId, limits: &ResourceLimits) -> Option<Duration> {
        let client = self.by_id.get(conn)?;
        let accepted_at = self.awaiting_first_request.get(&conn).copied();
        let stall_deadline = (client.unsent > 0).then(|| client.last_sent_at + STALL_TIMEOUT);
        let state_deadline = match client.state {
            ClientState::Idle if accepted_at.is_some() => Some(client.since + FIRST_REQUEST_TIMEOUT),
            ClientState::Idle => Some(client.since + limits.client_idle_timeout(self.by_id.len())),
            ClientState::Receiving => {
                let first_request = accepted_at.map_or(Duration::MAX, |at| at + FIRST_REQUEST_TIMEOUT);
                Some((client.since + RECEIVE_TIMEOUT).min(first_request))
            }
            ClientState::Serving(_) => None,
        };
        state_deadline.into_iter().chain(stall_deadline).min()
    }

    /// Sets a connection's timer in place of the one that it had.
    pub(crate) fn arm_timer(&mut self, conn: ConnId, limits: &ResourceLimits, timers: &mut Timers) {
        let deadline = self.deadline(conn, limits);
        self.by_id.arm_timer(conn, deadline, timers, Timer::Client(conn));
    }

    /// Handles the firing of a connection's timer.
    pub(crate) fn timer_fired(&mut self, conn: ConnId) {
        self.by_id.timer_fired(conn);
    }
}
