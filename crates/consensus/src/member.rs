//! Membership and consensus behind one address: each datagram and connection goes to the machine that its
//! first bytes identify.

use crate::consensus::Consensus;
use crate::peer_connections::PeerConnections;
use crate::startup::PeerDirectory;
use crate::wire::MAGIC;
use slipreel_membership::{Membership, SharedView};
use slipreel_state_machine::{ConnId, Input, ListenerId, Machine, Output};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The most concurrent connections whose first bytes have not arrived yet.
const MAX_UNIDENTIFIED_CONNECTIONS: usize = 64;
/// How long the first bytes of a connection may take.
const IDENTIFICATION_DEADLINE: Duration = Duration::from_secs(2);

/// A connection whose first bytes have not arrived yet, so that it is not known which machine it is for.
struct UnidentifiedConnection {
    listener: ListenerId,
    accepted_at: Duration,
    buffer: Vec<u8>,
}

impl UnidentifiedConnection {
    fn deadline(&self) -> Duration {
        self.accepted_at + IDENTIFICATION_DEADLINE
    }
}

/// A member of a fleet: its membership machine, and its consensus machine if that is configured.
pub struct Member {
    membership: Membership,
    consensus: Option<Consensus>,
    unidentified: BTreeMap<ConnId, UnidentifiedConnection>,
    /// Connections from peers that the first bytes have identified as being for consensus.
    consensus_connections: BTreeSet<ConnId>,
}

/// The directory of the peers that membership knows.
pub struct MembershipDirectory(pub Arc<SharedView>);

impl PeerDirectory for MembershipDirectory {
    fn address(&self, name: &str) -> Option<SocketAddr> {
        self.0.view().members.iter().find(|member| member.name == name).map(|member| member.address)
    }

    fn names(&self) -> Vec<String> {
        self.0.view().members.iter().map(|member| member.name.clone()).collect()
    }
}

impl Member {
    /// Creates a member from these two machines.
    pub fn new(membership: Membership, consensus: Option<Consensus>) -> Member {
        Member {
            membership,
            consensus,
            unidentified: BTreeMap::new(),
            consensus_connections: BTreeSet::new(),
        }
    }

    /// The membership machine.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The consensus machine.
    pub fn consensus(&self) -> Option<&Consensus> {
        self.consensus.as_ref()
    }

    fn handle_consensus(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        if let Some(consensus) = &mut self.consensus {
            consensus.handle(now, input, out);
        }
    }

    fn is_for_consensus(&self, conn: ConnId) -> bool {
        self.consensus_connections.contains(&conn) || PeerConnections::is_consensus_connection(conn)
    }

    /// Buffers the first bytes of a connection. Once they identify the machine that it is for, that machine
    /// receives the connection and all its bytes.
    fn identify(&mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(unidentified) = self.unidentified.get_mut(&conn) else { return };
        unidentified.buffer.extend(bytes);
        if unidentified.buffer.len() < MAGIC.len() {
            return;
        }
        let (listener, buffer) = (unidentified.listener, std::mem::take(&mut unidentified.buffer));
        self.unidentified.remove(&conn);
        if buffer.starts_with(&MAGIC) {
            self.consensus_connections.insert(conn);
            self.handle_consensus(now, Input::Accepted(conn, listener), out);
            self.handle_consensus(now, Input::Data(conn, &buffer), out);
        } else {
            self.membership.handle(now, Input::Accepted(conn, listener), out);
            self.membership.handle(now, Input::Data(conn, &buffer), out);
        }
    }

    fn accept(&mut self, now: Duration, conn: ConnId, listener: ListenerId, out: &mut Vec<Output>) {
        if self.unidentified.len() >= MAX_UNIDENTIFIED_CONNECTIONS {
            return out.push(Output::Abort(conn));
        }
        let unidentified = UnidentifiedConnection { listener, accepted_at: now, buffer: Vec::new() };
        self.unidentified.insert(conn, unidentified);
    }

    /// Closes connections whose first bytes did not arrive in time.
    fn close_unidentified(&mut self, now: Duration, out: &mut Vec<Output>) {
        let overdue = self.unidentified.iter().filter(|(_, unidentified)| now >= unidentified.deadline());
        let overdue: Vec<ConnId> = overdue.map(|(conn, _)| *conn).collect();
        for conn in overdue {
            self.unidentified.remove(&conn);
            out.push(Output::Abort(conn));
        }
    }

    /// Passes an input to the machine that it is for, or to both.
    fn route(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Datagram(_, _, bytes) if bytes.starts_with(&MAGIC) => {
                self.handle_consensus(now, input, out);
            }
            Input::Accepted(conn, listener) => self.accept(now, conn, listener, out),
            Input::Data(conn, bytes) if self.unidentified.contains_key(&conn) => {
                self.identify(now, conn, bytes, out);
            }
            Input::Eof(conn) if self.unidentified.remove(&conn).is_some() => out.push(Output::Abort(conn)),
            Input::Lost(conn, _) if self.unidentified.remove(&conn).is_some() => {}
            Input::Connected(conn) | Input::Data(conn, _) | Input::Eof(conn) | Input::Sent(conn, _)
                if self.is_for_consensus(conn) =>
            {
                self.handle_consensus(now, input, out);
            }
            Input::Lost(conn, _) if self.is_for_consensus(conn) => {
                self.consensus_connections.remove(&conn);
                self.handle_consensus(now, input, out);
            }
            Input::Wake | Input::Stop | Input::OwnerMessage(_) => {
                self.handle_consensus(now, input, out);
                self.membership.handle(now, input, out);
            }
            _ => self.membership.handle(now, input, out),
        }
    }

    /// Forgets connections that a machine has closed, as no further input arrives for them.
    fn forget_closed(&mut self, out: &[Output]) {
        for output in out {
            if let Output::Abort(conn) | Output::CloseWhenSent(conn) = output {
                self.consensus_connections.remove(conn);
            }
        }
    }
}

impl Machine for Member {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        if self.consensus.is_none() {
            return self.membership.handle(now, input, out);
        }
        self.close_unidentified(now, out);
        self.route(now, input, out);
        self.forget_closed(out);
    }

    fn wake_at(&self) -> Option<Duration> {
        let unidentified = self.unidentified.values().map(UnidentifiedConnection::deadline).min();
        let consensus = self.consensus.as_ref().and_then(Machine::wake_at);
        [self.membership.wake_at(), consensus, unidentified].into_iter().flatten().min()
    }
}
