//! Frames to one peer that have to come in order, or that no datagram holds: one connection that is kept while it serves, with an
//! acknowledgement for each frame. What is not acknowledged in time is given up with its connection, and whoever sent it is told.

use crate::timing;
use slipreel_state_machine::{ConnId, Output};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

struct PeerConnection {
    conn: ConnId,
    open: bool,
    /// Frames that wait for the connection to stand.
    queue: VecDeque<Vec<u8>>,
    /// Lengths of frames that are not acknowledged, and since when they wait.
    unacked: VecDeque<(usize, Duration)>,
    bytes: usize,
    used: Duration,
}

/// The connections to all peers, by name.
pub struct PeerConnections {
    connections: BTreeMap<String, PeerConnection>,
    by_conn: BTreeMap<ConnId, String>,
    opened: u64,
}

/// Set in the numbers of connections that this package opens, beside those of the view of the fleet.
const CONSENSUS_CONNECTION_BIT: u64 = 1 << 40;
/// A connection that has carried nothing for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

impl Default for PeerConnections {
    fn default() -> Self {
        PeerConnections {
            connections: BTreeMap::new(),
            by_conn: BTreeMap::new(),
            opened: CONSENSUS_CONNECTION_BIT,
        }
    }
}

impl PeerConnections {
    /// Whether a connection is one of these.
    pub fn has(&self, conn: ConnId) -> bool {
        self.by_conn.contains_key(&conn)
    }

    /// Whether a number is one that these give out.
    pub fn is_ours(conn: ConnId) -> bool {
        conn.is_opened() && conn.0 & CONSENSUS_CONNECTION_BIT != 0
    }

    /// Sends a frame. False: what waits for this peer is too much, and was given up with its connection.
    pub fn send(
        &mut self, now: Duration, name: &str, to: SocketAddr, frame: Vec<u8>, out: &mut Vec<Output>,
    ) -> bool {
        if self
            .connections
            .get(name)
            .is_some_and(|l| l.bytes + frame.len() > timing::MAX_UNACKED_BYTES && l.bytes > 0)
        {
            self.give_up(name, out);
            return false;
        }
        let (opened, by_conn) = (&mut self.opened, &mut self.by_conn);
        let connection = self.connections.entry(name.to_owned()).or_insert_with(|| {
            *opened += 1;
            let conn = ConnId::opened(*opened);
            by_conn.insert(conn, name.to_owned());
            out.push(Output::Connect(conn, to));
            PeerConnection {
                conn,
                open: false,
                queue: VecDeque::new(),
                unacked: VecDeque::new(),
                bytes: 0,
                used: now,
            }
        });
        connection.used = now;
        connection.bytes += frame.len();
        connection.unacked.push_back((frame.len(), now));
        if connection.open {
            out.push(Output::Write(connection.conn, frame));
        } else {
            connection.queue.push_back(frame);
        }
        true
    }

    /// A connection stands.
    pub fn connected(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let connection = self.by_conn.get(&conn).and_then(|name| self.connections.get_mut(name));
        let Some(connection) = connection else { return out.push(Output::Abort(conn)) };
        connection.open = true;
        out.extend(connection.queue.drain(..).map(|frame| Output::Write(conn, frame)));
    }

    /// Acknowledgements: a byte for each frame.
    pub fn acked(&mut self, conn: ConnId, n: usize) {
        let Some(connection) = self.by_conn.get(&conn).and_then(|name| self.connections.get_mut(name)) else {
            return;
        };
        for _ in 0..n {
            connection.bytes -= connection.unacked.pop_front().map_or(0, |(len, _)| len);
        }
    }

    /// A connection is over. Whom it led to, if something may have been lost with it.
    pub fn lost(&mut self, conn: ConnId) -> Option<String> {
        let name = self.by_conn.remove(&conn)?;
        let connection = self.connections.remove(&name)?;
        (!connection.unacked.is_empty()).then_some(name)
    }

    fn give_up(&mut self, name: &str, out: &mut Vec<Output>) {
        if let Some(connection) = self.connections.remove(name) {
            self.by_conn.remove(&connection.conn);
            out.push(Output::Abort(connection.conn));
        }
    }

    /// Gives up what is late, and closes what is idle. Whom something may have been lost to.
    pub fn late(&mut self, now: Duration, out: &mut Vec<Output>) -> Vec<String> {
        let is_late = |l: &PeerConnection| {
            l.unacked.front().is_some_and(|(_, since)| now >= *since + timing::ACK_TIMEOUT)
        };
        let is_idle = |l: &PeerConnection| l.unacked.is_empty() && now >= l.used + IDLE_TIMEOUT;
        let late: Vec<String> =
            self.connections.iter().filter(|(_, l)| is_late(l)).map(|(n, _)| n.clone()).collect();
        let idle: Vec<String> =
            self.connections.iter().filter(|(_, l)| is_idle(l)).map(|(n, _)| n.clone()).collect();
        late.iter().chain(&idle).for_each(|name| self.give_up(name, out));
        late
    }
}

#[cfg(test)]
mod tests;
