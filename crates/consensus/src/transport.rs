//! Frames out and in: datagrams and ordered connections to peers, connections from peers, and limits on both.

use crate::peer_connections::PeerConnections;
use crate::startup::PeerDirectory;
use crate::timing;
use crate::wire::{Body, DecodedFrame, Frame, FrameError, Peer, MAX_FRAME_LEN};
use omnipaxos::messages::Message;
use slipreel_state_machine::{ConnId, ListenerId, Output};
use std::collections::BTreeMap;
use std::time::Duration;

/// Connections from peers at once.
const MAX_INBOUND_CONNECTIONS: usize = 64;
/// Peers whose last configuration message is remembered.
const MAX_CONFIGURATION_RECIPIENTS: usize = 4_096;
/// Bytes beside the content that a connection may have buffered of one frame.
const FRAME_OVERHEAD: usize = 64;
/// Least time between two log lines about bytes that are no frames.
const FRAME_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// The byte that acknowledges a frame.
const ACK: u8 = 1;
const LISTENER: ListenerId = ListenerId(0);

/// A connection from a peer.
struct InboundConnection {
    /// The part of a frame that has come.
    buffer: Vec<u8>,
    last_received: Duration,
}

/// Whether a frame was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// It is on its way, or the peer has no known address.
    Sent,
    /// The connection to the peer was given up, with all frames that it had not acknowledged.
    ConnectionDropped,
}

/// All traffic of one router with its peers.
pub(crate) struct Transport {
    fleet: String,
    max_datagram_len: usize,
    directory: Box<dyn PeerDirectory>,
    pub(crate) connections: PeerConnections,
    inbound: BTreeMap<ConnId, InboundConnection>,
    /// When a peer was last sent a configuration, or asked for one.
    configuration_sent: BTreeMap<String, Duration>,
    frame_error_logged: Option<Duration>,
}

impl Transport {
    pub(crate) fn new(fleet: String, max_datagram_len: usize, directory: Box<dyn PeerDirectory>) -> Self {
        Transport {
            fleet,
            max_datagram_len,
            directory,
            connections: PeerConnections::default(),
            inbound: BTreeMap::new(),
            configuration_sent: BTreeMap::new(),
            frame_error_logged: None,
        }
    }

    /// The names of all known routers.
    pub(crate) fn known_routers(&self) -> Vec<String> {
        self.directory.names()
    }

    /// Whether a frame is of this router's fleet.
    pub(crate) fn is_own_fleet(&self, fleet: &str) -> bool {
        self.fleet == fleet
    }

    /// Sends a message to the router of a name: in a datagram if it fits and order does not count, otherwise on a connection.
    pub(crate) fn send(
        &mut self, now: Duration, from: &Peer, to: &str, body: Body, out: &mut Vec<Output>,
    ) -> Delivery {
        let Some(address) = self.directory.address(to) else { return Delivery::Sent };
        let in_order = matches!(body, Body::Vote { message: Message::SequencePaxos(_), .. });
        let frame = Frame { fleet: self.fleet.clone(), from: from.clone(), body }.encode();
        if !in_order && frame.len() <= self.max_datagram_len {
            out.push(Output::Datagram(LISTENER, address, frame));
            return Delivery::Sent;
        }
        if self.connections.send(now, to, address, frame, out) {
            Delivery::Sent
        } else {
            Delivery::ConnectionDropped
        }
    }

    /// Whether a peer may be sent a configuration or asked for one, which is not done for each of its messages.
    pub(crate) fn may_exchange_configuration(&mut self, now: Duration, name: &str) -> bool {
        let last = self.configuration_sent.get(name).copied();
        let may = last.is_none_or(|at| now >= at + timing::BOOTSTRAP_INTERVAL);
        if may {
            if self.configuration_sent.len() >= MAX_CONFIGURATION_RECIPIENTS {
                self.configuration_sent.clear();
            }
            self.configuration_sent.insert(name.to_owned(), now);
        }
        may
    }

    /// A peer has connected. If there are too many, the connection that has been silent longest is closed: a peer that was cut off leaves
    /// connections that never end.
    pub(crate) fn accept(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        if self.inbound.len() >= MAX_INBOUND_CONNECTIONS {
            let oldest = self.inbound.iter().min_by_key(|(_, inbound)| inbound.last_received);
            if let Some(oldest) = oldest.map(|(conn, _)| *conn) {
                self.inbound.remove(&oldest);
                out.push(Output::Abort(oldest));
            }
        }
        self.inbound.insert(conn, InboundConnection { buffer: Vec::new(), last_received: now });
    }

    /// Adds bytes to what a connection has received. False: it is not one of these.
    pub(crate) fn receive(&mut self, now: Duration, conn: ConnId, bytes: &[u8]) -> bool {
        let Some(inbound) = self.inbound.get_mut(&conn) else { return false };
        inbound.last_received = now;
        inbound.buffer.extend(bytes);
        true
    }

    /// The next complete frame of a connection, which is acknowledged. A connection that sends no frames is closed. `received`: bytes that
    /// came last, for the log.
    pub(crate) fn next_frame(
        &mut self, now: Duration, conn: ConnId, received: usize, out: &mut Vec<Output>,
    ) -> Option<Frame> {
        let buffer = &mut self.inbound.get_mut(&conn)?.buffer;
        let error = match Frame::decode(buffer) {
            Ok(None) if buffer.len() <= MAX_FRAME_LEN + FRAME_OVERHEAD => return None,
            Ok(None) => FrameError::TooLong(received),
            Err(error) => error,
            Ok(Some(DecodedFrame { frame, encoded_len })) => {
                buffer.drain(..encoded_len);
                out.push(Output::Write(conn, vec![ACK]));
                return Some(frame);
            }
        };
        self.inbound.remove(&conn);
        out.push(Output::Abort(conn));
        self.log_frame_error(now, &error, out);
        None
    }

    /// The frame of a datagram.
    pub(crate) fn datagram(&mut self, now: Duration, bytes: &[u8], out: &mut Vec<Output>) -> Option<Frame> {
        let error = match Frame::decode(bytes) {
            Ok(Some(decoded)) => return Some(decoded.frame),
            Ok(None) => FrameError::Checksum,
            Err(error) => error,
        };
        self.log_frame_error(now, &error, out);
        None
    }

    fn log_frame_error(&mut self, now: Duration, error: &FrameError, out: &mut Vec<Output>) {
        if self.frame_error_logged.is_none_or(|at| now >= at + FRAME_ERROR_LOG_INTERVAL) {
            self.frame_error_logged = Some(now);
            out.push(Output::Log(format!("policy: not taken: {error}")));
        }
    }

    /// The peer has closed a connection. The router that it led to, if frames may be lost with it.
    pub(crate) fn closed_by_peer(&mut self, conn: ConnId, out: &mut Vec<Output>) -> Option<String> {
        if self.inbound.remove(&conn).is_some() || self.connections.contains(conn) {
            out.push(Output::Abort(conn));
        }
        self.connections.lost(conn)
    }

    /// A connection is lost. The router that it led to, if frames may be lost with it.
    pub(crate) fn lost(&mut self, conn: ConnId) -> Option<String> {
        self.inbound.remove(&conn);
        self.connections.lost(conn)
    }
}
