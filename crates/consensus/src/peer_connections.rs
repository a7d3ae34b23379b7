//! Connections to peers, for frames that must arrive in order or that are too long for a datagram. Each peer
//! has one connection, and each frame is acknowledged. A connection with a frame that is not acknowledged in
//! time is aborted, and the caller learns the peer to which frames may have been lost.

use crate::timing;
use slipreel_state_machine::{ConnId, Output};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// A frame that the peer has not acknowledged.
struct UnackedFrame {
    len: usize,
    sent_at: Duration,
}

/// The connection to one peer.
struct PeerConnection {
    conn: ConnId,
    open: bool,
    /// Frames that wait for the connection to be established.
    queue: VecDeque<Vec<u8>>,
    unacked: VecDeque<UnackedFrame>,
    /// The sum of the lengths of the unacknowledged frames.
    unacked_bytes: usize,
    last_used: Duration,
}

impl PeerConnection {
    fn is_overdue(&self, now: Duration) -> bool {
        self.unacked.front().is_some_and(|frame| now >= frame.sent_at + timing::ACK_TIMEOUT)
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.unacked.is_empty() && now >= self.last_used + IDLE_TIMEOUT
    }

    /// Whether a further frame of this length would exceed the limit. A frame is always accepted if no other
    /// is unacknowledged.
    fn is_full_for(&self, frame_len: usize) -> bool {
        self.unacked_bytes > 0 && self.unacked_bytes + frame_len > timing::MAX_UNACKED_BYTES
    }
}

/// The connections to all peers, by name.
pub struct PeerConnections {
    connections: BTreeMap<String, PeerConnection>,
    peer_by_conn: BTreeMap<ConnId, String>,
    last_id: u64,
}

/// Set in the ids of connections that consensus opens, so that they differ from those of membership.
const CONSENSUS_CONNECTION_BIT: u64 = 1 << 40;
/// How long a connection may be idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

impl Default for PeerConnections {
    fn default() -> Self {
        PeerConnections {
            connections: BTreeMap::new(),
            peer_by_conn: BTreeMap::new(),
            last_id: CONSENSUS_CONNECTION_BIT,
        }
    }
}

impl PeerConnections {
    /// Whether a connection is open or being opened to a peer.
    pub fn contains(&self, conn: ConnId) -> bool {
        self.peer_by_conn.contains_key(&conn)
    }

    /// Whether consensus opened the connection of this id.
    pub fn is_consensus_connection(conn: ConnId) -> bool {
        conn.is_opened() && conn.0 & CONSENSUS_CONNECTION_BIT != 0
    }

    /// Sends a frame. Returns false if too many bytes are unacknowledged by this peer; its connection is then
    /// aborted, and this frame and all of them may be lost.
    pub fn send(
        &mut self, now: Duration, name: &str, to: SocketAddr, frame: Vec<u8>, out: &mut Vec<Output>,
    ) -> bool {
        if self.connections.get(name).is_some_and(|connection| connection.is_full_for(frame.len())) {
            self.abort(name, out);
            return false;
        }
        let connection = self.connection_to(now, name, to, out);
        connection.last_used = now;
        connection.unacked_bytes += frame.len();
        connection.unacked.push_back(UnackedFrame { len: frame.len(), sent_at: now });
        if connection.open {
            out.push(Output::Write(connection.conn, frame));
        } else {
            connection.queue.push_back(frame);
        }
        true
    }

    /// The connection to a peer, which is opened if there is none.
    fn connection_to(
        &mut self, now: Duration, name: &str, to: SocketAddr, out: &mut Vec<Output>,
    ) -> &mut PeerConnection {
        let (last_id, peer_by_conn) = (&mut self.last_id, &mut self.peer_by_conn);
        self.connections.entry(name.to_owned()).or_insert_with(|| {
            *last_id += 1;
            let conn = ConnId::opened(*last_id);
            peer_by_conn.insert(conn, name.to_owned());
            out.push(Output::Connect(conn, to));
            PeerConnection {
                conn,
                open: false,
                queue: VecDeque::new(),
                unacked: VecDeque::new(),
                unacked_bytes: 0,
                last_used: now,
            }
        })
    }

    /// Handles an established connection: sends the frames that wait for it.
    pub fn connected(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let connection = self.peer_by_conn.get(&conn).and_then(|name| self.connections.get_mut(name));
        let Some(connection) = connection else { return out.push(Output::Abort(conn)) };
        connection.open = true;
        out.extend(connection.queue.drain(..).map(|frame| Output::Write(conn, frame)));
    }

    /// Records that the peer has acknowledged the oldest `frames` frames.
    pub fn acknowledge(&mut self, conn: ConnId, frames: usize) {
        let Some(connection) = self.peer_by_conn.get(&conn).and_then(|name| self.connections.get_mut(name))
        else {
            return;
        };
        for _ in 0..frames {
            connection.unacked_bytes -= connection.unacked.pop_front().map_or(0, |frame| frame.len);
        }
    }

    /// Removes a connection that is lost. Returns the name of its peer if frames may have been lost.
    pub fn lost(&mut self, conn: ConnId) -> Option<String> {
        let name = self.peer_by_conn.remove(&conn)?;
        let connection = self.connections.remove(&name)?;
        (!connection.unacked.is_empty()).then_some(name)
    }

    fn abort(&mut self, name: &str, out: &mut Vec<Output>) {
        if let Some(connection) = self.connections.remove(name) {
            self.peer_by_conn.remove(&connection.conn);
            out.push(Output::Abort(connection.conn));
        }
    }

    /// Aborts connections with overdue acknowledgements, and idle ones. Returns the names of the peers to
    /// which frames may have been lost.
    pub fn close_overdue(&mut self, now: Duration, out: &mut Vec<Output>) -> Vec<String> {
        let overdue = self.peers_where(|connection| connection.is_overdue(now));
        let idle = self.peers_where(|connection| connection.is_idle(now));
        for name in overdue.iter().chain(&idle) {
            self.abort(name, out);
        }
        overdue
    }

    fn peers_where(&self, condition: impl Fn(&PeerConnection) -> bool) -> Vec<String> {
        let matching = self.connections.iter().filter(|(_, connection)| condition(connection));
        matching.map(|(name, _)| name.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
