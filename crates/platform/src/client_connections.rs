//! The client connections of a router: their timeouts, and which of them is closed when slots run out.

use crate::resource_limits::ResourceLimits;
use crate::timer::{Timer, Timers};
use slipreel_connections::{Client, ConnectionMap, State};
use slipreel_state_machine::ConnId;
use std::collections::HashMap;
use std::time::Duration;

/// A connection whose first request is incomplete is closed after this: within the 3 s that the protocol allows.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_400);
/// A request has to be complete within this after its first byte; for the same reason.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2_400);
/// A client that reads nothing for so long while bytes wait for it is disconnected.
const STALL_TIMEOUT: Duration = Duration::from_millis(10_000);
/// A connection that has sent nothing for less is not closed to free a slot: its first request may be in transit.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(400);

/// Connections that may be closed to free a slot, in the order in which they are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Eviction {
    /// Its first request has been incomplete for a while.
    LongAwaited,
    /// It was answered and is idle.
    Idle,
    /// It has just been accepted and has sent nothing.
    JustAccepted,
    /// It has just been accepted, and a part of its first request was received.
    JustReceiving,
}

/// An idle connection, as a shutdown looks at it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleClient {
    pub(crate) conn: ConnId,
    /// Until then its first request may be in transit; `None` if it has had one.
    pub(crate) grace_until: Option<Duration>,
}

/// The client connections with their timers.
#[derive(Debug, Default)]
pub(crate) struct ClientConnections {
    by_id: ConnectionMap<Client>,
    /// Connections whose first request is incomplete, and when they were accepted.
    awaiting_first_request: HashMap<ConnId, Duration>,
}

impl ClientConnections {
    /// Adds a connection that was just accepted.
    pub(crate) fn insert(&mut self, client: Client, now: Duration) {
        self.awaiting_first_request.insert(client.conn, now);
        self.by_id.insert(client.conn, client);
    }

    pub(crate) fn get(&self, conn: ConnId) -> Option<&Client> {
        self.by_id.get(conn)
    }

    pub(crate) fn get_mut(&mut self, conn: ConnId) -> Option<&mut Client> {
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
        self.by_id.remove(conn, timers);
        self.awaiting_first_request.remove(&conn);
    }

    /// A connection's first request, or a further one, is complete.
    pub(crate) fn request_received(&mut self, conn: ConnId) {
        self.awaiting_first_request.remove(&conn);
    }

    pub(crate) fn awaits_first_request(&self, conn: ConnId) -> bool {
        self.awaiting_first_request.contains_key(&conn)
    }

    /// How many connections have not sent a complete request yet.
    pub(crate) fn awaiting_first_request_count(&self) -> usize {
        self.awaiting_first_request.len()
    }

    /// From now on each connection closes after its answer.
    pub(crate) fn close_after_next_answer(&mut self) {
        self.by_id.values_mut().for_each(Client::close_after_answer);
    }

    /// The connections between requests, in the order of their ids.
    pub(crate) fn idle(&self) -> Vec<IdleClient> {
        let idle = self.by_id.sorted_ids(|client| client.state == State::Idle);
        let with_grace = |conn: ConnId| {
            let accepted_at = self.awaiting_first_request.get(&conn);
            IdleClient { conn, grace_until: accepted_at.map(|&at| at + NEW_CONNECTION_GRACE) }
        };
        idle.into_iter().map(with_grace).collect()
    }

    /// The connection to close so that a slot is free: one whose first request is incomplete after a while, else the one
    /// that is idle longest, else one that has just been accepted. `None` if all are serving requests.
    pub(crate) fn eviction_candidate(&self, now: Duration) -> Option<ConnId> {
        let ranked = self.by_id.values().filter_map(|client| {
            let rank = self.eviction_rank(client, now)?;
            Some((rank, client.since, client.conn))
        });
        ranked.min().map(|(_, _, conn)| conn)
    }

    fn eviction_rank(&self, client: &Client, now: Duration) -> Option<Eviction> {
        let awaited_since = self.awaiting_first_request.get(&client.conn).copied();
        let is_old = |since: Duration| now >= since + NEW_CONNECTION_GRACE;
        match (awaited_since, client.state) {
            (_, State::Serving(_)) | (None, State::Receiving) => None,
            (None, State::Idle) => Some(Eviction::Idle),
            (Some(since), _) if is_old(since) => Some(Eviction::LongAwaited),
            (Some(_), State::Idle) => Some(Eviction::JustAccepted),
            (Some(_), State::Receiving) => Some(Eviction::JustReceiving),
        }
    }

    /// When a connection times out; `None` if it does not in its present state.
    pub(crate) fn deadline(&self, conn: ConnId, limits: &ResourceLimits) -> Option<Duration> {
        let client = self.by_id.get(conn)?;
        let awaited_since = self.awaiting_first_request.get(&conn).copied();
        let stalled = (client.unsent > 0).then(|| client.last_sent_at + STALL_TIMEOUT);
        let by_state = match client.state {
            State::Idle if awaited_since.is_some() => Some(client.since + FIRST_REQUEST_TIMEOUT),
            State::Idle => Some(client.since + limits.client_idle_timeout(self.by_id.len())),
            State::Receiving => {
                let first_request =
                    awaited_since.map_or(Duration::MAX, |since| since + FIRST_REQUEST_TIMEOUT);
                Some((client.since + RECEIVE_TIMEOUT).min(first_request))
            }
            State::Serving(_) => None,
        };
        by_state.into_iter().chain(stalled).min()
    }

    /// Sets a connection's timer in place of the one that it had.
    pub(crate) fn arm_timer(&mut self, conn: ConnId, limits: &ResourceLimits, timers: &mut Timers) {
        let deadline = self.deadline(conn, limits);
        self.by_id.arm_timer(conn, deadline, timers, Timer::Client(conn));
    }

    /// A connection's timer has fired.
    pub(crate) fn timer_fired(&mut self, conn: ConnId) {
        self.by_id.timer_fired(conn);
    }
}
