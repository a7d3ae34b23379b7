//! One address for the view of the fleet and the agreement on policy: each datagram and connection goes to the one that its first bytes name.

use crate::consensus::Consensus;
use crate::peer_connections::PeerConnections;
use crate::startup::PeerDirectory;
use crate::wire::MAGIC;
use slipreel_membership::{Membership, SharedView as ViewBoard};
use slipreel_state_machine::{ConnId, Input, ListenerId, Machine, Output};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Connections that have not said whom they are for, at most, and how long they may take.
const MAX_UNIDENTIFIED_CONNECTIONS: usize = 64;
const IDENTIFICATION_DEADLINE: Duration = Duration::from_secs(2);

/// A member of a fleet: its view, and its part in the policy where that is on.
pub struct Member {
    fleet: Membership,
    consensus: Option<Consensus>,
    fresh: BTreeMap<ConnId, (ListenerId, Duration, Vec<u8>)>,
    ours: BTreeSet<ConnId>,
}

/// Others as the view of the fleet has them.
pub struct MembershipDirectory(pub Arc<ViewBoard>);

impl PeerDirectory for MembershipDirectory {
    fn address(&self, name: &str) -> Option<SocketAddr> {
        self.0.view().members.iter().find(|m| m.name == name).map(|m| m.address)
    }

    fn names(&self) -> Vec<String> {
        self.0.view().members.iter().map(|m| m.name.clone()).collect()
    }
}

impl Member {
    /// Both behind one address.
    pub fn new(fleet: Membership, consensus: Option<Consensus>) -> Member {
        Member { fleet, consensus, fresh: BTreeMap::new(), ours: BTreeSet::new() }
    }

    /// The view's machine.
    pub fn fleet(&self) -> &Membership {
        &self.fleet
    }

    /// The agreement's machine.
    pub fn consensus(&self) -> Option<&Consensus> {
        self.consensus.as_ref()
    }

    fn pass_on(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        if let Some(consensus) = &mut self.consensus {
            consensus.handle(now, input, out);
        }
    }

    fn is_ours(&self, conn: ConnId) -> bool {
        self.ours.contains(&conn) || PeerConnections::is_ours(conn)
    }

    /// The first bytes of a connection: it goes to whom they name, with all that came.
    fn first_bytes(&mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some((door, _, got)) = self.fresh.get_mut(&conn) else { return };
        got.extend(bytes);
        if got.len() < MAGIC.len() {
            return;
        }
        let (door, got) = (*door, std::mem::take(got));
        self.fresh.remove(&conn);
        if got.starts_with(&MAGIC) {
            self.ours.insert(conn);
            self.pass_on(now, Input::Accepted(conn, door), out);
            self.pass_on(now, Input::Data(conn, &got), out);
        } else {
            self.fleet.handle(now, Input::Accepted(conn, door), out);
            self.fleet.handle(now, Input::Data(conn, &got), out);
        }
    }

    fn drop_late(&mut self, now: Duration, out: &mut Vec<Output>) {
        let late: Vec<ConnId> = self
            .fresh
            .iter()
            .filter(|(_, (_, at, _))| now >= *at + IDENTIFICATION_DEADLINE)
            .map(|(c, _)| *c)
            .collect();
        for conn in late {
            self.fresh.remove(&conn);
            out.push(Output::Abort(conn));
        }
    }
}

impl Machine for Member {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        if self.consensus.is_none() {
            return self.fleet.handle(now, input, out);
        }
        self.drop_late(now, out);
        match input {
            Input::Datagram(_, _, bytes) if bytes.starts_with(&MAGIC) => self.pass_on(now, input, out),
            Input::Accepted(conn, door) => {
                if self.fresh.len() < MAX_UNIDENTIFIED_CONNECTIONS {
                    self.fresh.insert(conn, (door, now, Vec::new()));
                } else {
                    out.push(Output::Abort(conn));
                }
            }
            Input::Data(conn, bytes) if self.fresh.contains_key(&conn) => {
                self.first_bytes(now, conn, bytes, out);
            }
            Input::Eof(conn) if self.fresh.remove(&conn).is_some() => out.push(Output::Abort(conn)),
            Input::Lost(conn, _) if self.fresh.remove(&conn).is_some() => {}
            Input::Connected(conn) | Input::Data(conn, _) | Input::Eof(conn) | Input::Sent(conn, _)
                if self.is_ours(conn) =>
            {
                self.pass_on(now, input, out);
            }
            Input::Lost(conn, _) if self.is_ours(conn) => {
                self.ours.remove(&conn);
                self.pass_on(now, input, out);
            }
            Input::Wake | Input::Stop | Input::OwnerMessage(_) => {
                self.pass_on(now, input, out);
                self.fleet.handle(now, input, out);
            }
            _ => self.fleet.handle(now, input, out),
        }
        // What either ends without hearing of it again is nobody's.
        for output in out.iter() {
            if let Output::Abort(conn) | Output::CloseWhenSent(conn) = output {
                self.ours.remove(conn);
            }
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        let fresh = self.fresh.values().map(|(_, at, _)| *at + IDENTIFICATION_DEADLINE).min();
        let consensus = self.consensus.as_ref().and_then(Machine::wake_at);
        [self.fleet.wake_at(), consensus, fresh].into_iter().flatten().min()
    }
}
