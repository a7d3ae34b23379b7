//! Simulates a network partition between a machine and some of its peers: connections to them stay open but
//! carry nothing, and new ones are not established. What was held back is delivered when the partition heals.

use crate::ledger::Ledger;
use crate::mark::Mark;
use slipreel_invariants::{ClientAttempt, Seen};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Owner message for a [`PartitionedMachine`]: the peer addresses that are unreachable from now on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreachablePeers(pub BTreeSet<SocketAddr>);

/// An input from or an output to an unreachable peer.
enum HeldBack {
    Data(ConnId, Vec<u8>),
    Eof(ConnId),
    Output(Output),
}

/// A machine whose peers can be made unreachable.
pub struct PartitionedMachine<M> {
    machine: M,
    unreachable: BTreeSet<SocketAddr>,
    /// Peer addresses of the connections that the machine opened.
    peers: BTreeMap<ConnId, SocketAddr>,
    held_back: Vec<HeldBack>,
    ledger: Option<Ledger>,
    /// Attempts whose bytes are held back, by connection.
    in_transit: BTreeMap<ConnId, ClientAttempt>,
}

impl<M: Machine> PartitionedMachine<M> {
    /// Wraps a machine whose peers are all reachable.
    pub fn new(machine: M) -> Self {
        PartitionedMachine {
            machine,
            unreachable: BTreeSet::new(),
            peers: BTreeMap::new(),
            held_back: Vec::new(),
            ledger: None,
            in_transit: BTreeMap::new(),
        }
    }

    /// Records the attempts that are held back on their way to an unreachable peer.
    #[must_use]
    pub fn watched(mut self, ledger: Ledger) -> Self {
        self.ledger = Some(ledger);
        self
    }

    fn set_in_transit(&mut self, now: Duration, conn: ConnId, what: Option<ClientAttempt>) {
        let way = conn.0;
        if let Some(what) = self.in_transit.remove(&conn) {
            self.ledger.iter().for_each(|l| l.note(now, Seen::TransitEnded { attempt: what, transfer: way }));
        }
        if let Some(what) = what {
            self.in_transit.insert(conn, what);
            self.ledger.iter().for_each(|l| l.note(now, Seen::InTransit { attempt: what, transfer: way }));
        }
    }

    /// The wrapped machine.
    pub fn inner(&self) -> &M {
        &self.machine
    }

    fn is_unreachable(&self, conn: ConnId) -> bool {
        self.peers.get(&conn).is_some_and(|addr| self.unreachable.contains(addr))
    }

    fn filter_outputs(&mut self, now: Duration, outputs: Vec<Output>, out: &mut Vec<Output>) {
        for output in outputs {
            let conn = match &output {
                Output::Connect(conn, addr) => {
                    self.peers.insert(*conn, *addr);
                    Some(*conn)
                }
                Output::Write(conn, _)
                | Output::ShutdownWrite(conn)
                | Output::CloseWhenSent(conn)
                | Output::Abort(conn) => Some(*conn),
                _ => None,
            };
            let unreachable = conn.is_some_and(|c| self.is_unreachable(c));
            let closes = matches!(output, Output::CloseWhenSent(_) | Output::Abort(_));
            if let (true, Some(conn)) = (unreachable, conn) {
                match &output {
                    Output::Write(_, bytes) => {
                        if let Some(mark) = Mark::find(&String::from_utf8_lossy(bytes)) {
                            self.set_in_transit(now, conn, Some(mark.attempt));
                        }
                    }
                    _ if closes => self.set_in_transit(now, conn, None),
                    _ => {}
                }
            }
            if unreachable {
                // A connection that was never established is dropped. The peer of an established one learns
                // of the close when the partition heals.
                let is_unestablished =
                    |h: &HeldBack| matches!(h, HeldBack::Output(Output::Connect(c, _)) if Some(*c) == conn);
                if closes && self.held_back.iter().any(is_unestablished) {
                    self.held_back.retain(|h| {
                        !is_unestablished(h)
                            && !matches!(h, HeldBack::Output(Output::Write(c, _)) if Some(*c) == conn)
                    });
                } else {
                    self.held_back.push(HeldBack::Output(output));
                }
            } else {
                out.push(output);
            }
            if let (true, false, Some(conn)) = (closes, unreachable, conn) {
                self.peers.remove(&conn);
            }
        }
    }

    fn pass_input(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        let mut outputs = Vec::new();
        self.machine.handle(now, input, &mut outputs);
        self.filter_outputs(now, outputs, out);
    }

    fn set_unreachable(&mut self, now: Duration, peers: &UnreachablePeers, out: &mut Vec<Output>) {
        self.unreachable = peers.0.clone();
        for held in std::mem::take(&mut self.held_back) {
            let conn = match &held {
                HeldBack::Data(conn, _) | HeldBack::Eof(conn) => *conn,
                HeldBack::Output(Output::Connect(conn, _) | Output::Write(conn, _)) => *conn,
                HeldBack::Output(
                    Output::ShutdownWrite(conn) | Output::CloseWhenSent(conn) | Output::Abort(conn),
                ) => *conn,
                HeldBack::Output(_) => continue,
            };
            if self.is_unreachable(conn) {
                self.held_back.push(held);
                continue;
            }
            match held {
                HeldBack::Data(conn, bytes) => self.pass_input(now, Input::Data(conn, &bytes), out),
                HeldBack::Eof(conn) => self.pass_input(now, Input::Eof(conn), out),
                HeldBack::Output(output) => {
                    self.set_in_transit(now, conn, None);
                    out.push(output);
                }
            }
        }
    }
}

impl<M: Machine> Machine for PartitionedMachine<M> {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::OwnerMessage(message) if message.is::<UnreachablePeers>() => {
                if let Some(peers) = message.downcast_ref::<UnreachablePeers>() {
                    self.set_unreachable(now, peers, out);
                }
            }
            Input::Data(conn, bytes) if self.is_unreachable(conn) => {
                self.held_back.push(HeldBack::Data(conn, bytes.to_vec()));
            }
            Input::Eof(conn) if self.is_unreachable(conn) => self.held_back.push(HeldBack::Eof(conn)),
            Input::Lost(conn, _) => {
                self.held_back
                    .retain(|h| !matches!(h, HeldBack::Data(c, _) | HeldBack::Eof(c) if *c == conn));
                self.pass_input(now, input, out);
                self.peers.remove(&conn);
            }
            _ => self.pass_input(now, input, out),
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.machine.wake_at()
    }
}
