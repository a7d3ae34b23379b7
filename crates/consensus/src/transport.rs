//! Sends and receives frames: datagrams and ordered connections to peers, connections from peers, and limits
//! on both.

use crate::peer_connections::PeerConnections;
use crate::startup::PeerDirectory;
use crate::timing;
use crate::wire::{Body, DecodedFrame, Frame, FrameError, Peer, MAX_FRAME_LEN};
use omnipaxos::messages::Message;
use slipreel_state_machine::{ConnId, ListenerId, Output};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most concurrent connections from peers.
const MAX_INBOUND_CONNECTIONS: usize = 64;
/// The most peers for which the time of the last configuration message is kept.
const MAX_CONFIGURATION_PEERS: usize = 4_096;
/// Bytes that a connection may buffer beyond the longest content of a frame.
const FRAME_OVERHEAD: usize = 64;
/// The least time between two log lines about invalid frames.
const FRAME_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// The byte that acknowledges a frame.
const ACK: u8 = 1;
const LISTENER: ListenerId = ListenerId(0);

/// A connection from a peer.
struct InboundConnection {
    /// The received part of an incomplete frame.
    buffer: Vec<u8>,
    last_received: Duration,
}

/// Whether a frame was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// The frame was sent, or discarded because the address of the peer is not known.
    Sent,
    /// The connection to the peer was aborted, along with all frames that the peer had not acknowledged.
    ConnectionDropped,
}

/// All traffic of one router with its peers.
pub(crate) struct Transport {
    fleet: String,
    max_datagram_len: usize,
    directory: Box<dyn PeerDirectory>,
    pub(crate) connections: PeerConnections,
    inbound: BTreeMap<ConnId, InboundConnection>,
    /// When a configuration was last sent to a peer or requested from it.
    configuration_exchanged_at: BTreeMap<String, Duration>,
    frame_error_logged_at: Option<Duration>,
}

impl Transport {
    pub(crate) fn new(fleet: String, max_datagram_len: usize, directory: Box<dyn PeerDirectory>) -> Self {
        Transport {
            fleet,
            max_datagram_len,
            directory,
            connections: PeerConnections::default(),
            inbound: BTreeMap::new(),
            configuration_exchanged_at: BTreeMap::new(),
            frame_error_logged_at: None,
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

    /// Sends a message to the router of this name: in a datagram if it fits and need not arrive in order,
    /// otherwise on a connection.
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

    /// Whether a configuration may be sent to a peer or requested from it now. This is limited in rate, as
    /// each message of the peer could be a reason for it.
    pub(crate) fn may_exchange_configuration(&mut self, now: Duration, name: &str) -> bool {
        let last = self.configuration_exchanged_at.get(name).copied();
        let allowed = last.is_none_or(|at| now >= at + timing::BOOTSTRAP_INTERVAL);
        if allowed {
            if self.configuration_exchanged_at.len() >= MAX_CONFIGURATION_PEERS {
                self.configuration_exchanged_at.clear();
            }
            self.configuration_exchanged_at.insert(name.to_owned(), now);
        }
        allowed
    }

    /// Accepts a connection from a peer. If there are too many, the one that has been silent longest is
    /// closed, as a peer that was cut off leaves connections that are never closed.
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

    /// Buffers the bytes that a connection has received. Returns false if it is not a connection from a peer.
    pub(crate) fn buffer_received(&mut self, now: Duration, conn: ConnId, bytes: &[u8]) -> bool {
        let Some(inbound) = self.inbound.get_mut(&conn) else { return false };
        inbound.last_received = now;
        inbound.buffer.extend(bytes);
        true
    }

    /// Takes and acknowledges the next complete frame of a connection. A connection with an invalid frame is
    /// closed. `received_len`: the number of bytes that arrived last, for the log.
    pub(crate) fn next_frame(
        &mut self, now: Duration, conn: ConnId, received_len: usize, out: &mut Vec<Output>,
    ) -> Option<Frame> {
        let buffer = &mut self.inbound.get_mut(&conn)?.buffer;
        let error = match Frame::decode(buffer) {
            Ok(None) if buffer.len() <= MAX_FRAME_LEN + FRAME_OVERHEAD => return None,
            Ok(None) => FrameError::TooLong(received_len),
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

    /// Decodes the frame in a datagram.
    pub(crate) fn decode_datagram(
        &mut self, now: Duration, bytes: &[u8], out: &mut Vec<Output>,
    ) -> Option<Frame> {
        let error = match Frame::decode(bytes) {
            Ok(Some(decoded)) => return Some(decoded.frame),
            Ok(None) => FrameError::Checksum,
            Err(error) => error,
        };
        self.log_frame_error(now, &error, out);
        None
    }

    fn log_frame_error(&mut self, now: Duration, error: &FrameError, out: &mut Vec<Output>) {
        if self.frame_error_logged_at.is_none_or(|at| now >= at + FRAME_ERROR_LOG_INTERVAL) {
            self.frame_error_logged_at = Some(now);
            out.push(Output::Log(format!("policy: not taken: {error}")));
        }
    }

    /// Handles a connection that the peer has closed. Returns the name of the peer if frames to it may have
    /// been lost.
    pub(crate) fn closed_by_peer(&mut self, conn: ConnId, out: &mut Vec<Output>) -> Option<String> {
        if self.inbound.remove(&conn).is_some() || self.connections.contains(conn) {
            out.push(Output::Abort(conn));
        }
        self.connections.lost(conn)
    }

    /// Handles a connection that is lost. Returns the name of the peer if frames to it may have been lost.
    pub(crate) fn lost(&mut self, conn: ConnId) -> Option<String> {
        self.inbound.remove(&conn);
        self.connections.lost(conn)
    }
}
