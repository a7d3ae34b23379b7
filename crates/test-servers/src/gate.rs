//! Cuts a machine off from some peers, as a lost link does: connections opened to them stay open and silent, new
//! ones do not come to stand. What was under way goes on when the link is back.

use crate::ledger::Ledger;
use crate::mark::Mark;
use slipreel_invariants::{ClientAttempt, Seen};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// News for a [`Gate`]: the addresses that can't be reached from now on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cut(pub BTreeSet<SocketAddr>);

enum Held {
    In(ConnId, Vec<u8>),
    Eof(ConnId),
    Out(Output),
}

/// A machine behind a link that can be cut.
pub struct Gate<M> {
    machine: M,
    cut: BTreeSet<SocketAddr>,
    peers: BTreeMap<ConnId, SocketAddr>,
    held: Vec<Held>,
    ledger: Option<Ledger>,
    /// Work that waits on a cut link, by connection.
    on_the_way: BTreeMap<ConnId, ClientAttempt>,
}

impl<M: Machine> Gate<M> {
    /// A machine whose links all stand.
    pub fn new(machine: M) -> Self {
        Gate {
            machine,
            cut: BTreeSet::new(),
            peers: BTreeMap::new(),
            held: Vec::new(),
            ledger: None,
            on_the_way: BTreeMap::new(),
        }
    }

    /// Notes work that its machine sends and that waits on a cut link.
    #[must_use]
    pub fn watched(mut self, ledger: Ledger) -> Self {
        self.ledger = Some(ledger);
        self
    }

    fn note_way(&mut self, now: Duration, conn: ConnId, what: Option<ClientAttempt>) {
        let way = conn.0;
        if let Some(what) = self.on_the_way.remove(&conn) {
            self.ledger.iter().for_each(|l| l.note(now, Seen::TransitEnded { attempt: what, transfer: way }));
        }
        if let Some(what) = what {
            self.on_the_way.insert(conn, what);
            self.ledger.iter().for_each(|l| l.note(now, Seen::InTransit { attempt: what, transfer: way }));
        }
    }

    /// The machine.
    pub fn inner(&self) -> &M {
        &self.machine
    }

    fn is_cut(&self, conn: ConnId) -> bool {
        self.peers.get(&conn).is_some_and(|addr| self.cut.contains(addr))
    }

    fn filter(&mut self, now: Duration, asked: Vec<Output>, out: &mut Vec<Output>) {
        for output in asked {
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
            let cut = conn.is_some_and(|c| self.is_cut(c));
            let last = matches!(output, Output::CloseWhenSent(_) | Output::Abort(_));
            if let (true, Some(conn)) = (cut, conn) {
                match &output {
                    Output::Write(_, bytes) => {
                        if let Some(mark) = Mark::find(&String::from_utf8_lossy(bytes)) {
                            self.note_way(now, conn, Some(mark.what));
                        }
                    }
                    _ if last => self.note_way(now, conn, None),
                    _ => {}
                }
            }
            if cut {
                // A connection that never stood is forgotten; one that stood learns of its end with the link.
                let unknown = |h: &Held| matches!(h, Held::Out(Output::Connect(c, _)) if Some(*c) == conn);
                if last && self.held.iter().any(unknown) {
                    self.held.retain(|h| {
                        !unknown(h) && !matches!(h, Held::Out(Output::Write(c, _)) if Some(*c) == conn)
                    });
                } else {
                    self.held.push(Held::Out(output));
                }
            } else {
                out.push(output);
            }
            if let (true, false, Some(conn)) = (last, cut, conn) {
                self.peers.remove(&conn);
            }
        }
    }

    fn tell(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        let mut asked = Vec::new();
        self.machine.handle(now, input, &mut asked);
        self.filter(now, asked, out);
    }

    fn set(&mut self, now: Duration, cut: &Cut, out: &mut Vec<Output>) {
        self.cut = cut.0.clone();
        for held in std::mem::take(&mut self.held) {
            let conn = match &held {
                Held::In(conn, _) | Held::Eof(conn) => *conn,
                Held::Out(Output::Connect(conn, _) | Output::Write(conn, _)) => *conn,
                Held::Out(
                    Output::ShutdownWrite(conn) | Output::CloseWhenSent(conn) | Output::Abort(conn),
                ) => *conn,
                Held::Out(_) => continue,
            };
            if self.is_cut(conn) {
                self.held.push(held);
                continue;
            }
            match held {
                Held::In(conn, bytes) => self.tell(now, Input::Data(conn, &bytes), out),
                Held::Eof(conn) => self.tell(now, Input::Eof(conn), out),
                Held::Out(output) => {
                    self.note_way(now, conn, None);
                    out.push(output);
                }
            }
        }
    }
}

impl<M: Machine> Machine for Gate<M> {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::OwnerMessage(news) if news.is::<Cut>() => {
                if let Some(cut) = news.downcast_ref::<Cut>() {
                    self.set(now, cut, out);
                }
            }
            Input::Data(conn, bytes) if self.is_cut(conn) => self.held.push(Held::In(conn, bytes.to_vec())),
            Input::Eof(conn) if self.is_cut(conn) => self.held.push(Held::Eof(conn)),
            Input::Lost(conn, _) => {
                self.held.retain(|h| !matches!(h, Held::In(c, _) | Held::Eof(c) if *c == conn));
                self.tell(now, input, out);
                self.peers.remove(&conn);
            }
            _ => self.tell(now, input, out),
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.machine.wake_at()
    }
}
