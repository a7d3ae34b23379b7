//! Fetching read state from other engines, on connections that are kept: one new connection for each state would use
//! the machine's ports up within a minute of heavy load.

use super::scheduler::Transfer;
use slipreel_protocol::http::{self, Decoder, Framing, Item, Limits, Side, Start};
use slipreel_state_machine::{ConnId, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A fetch that has not ended in this time is given up.
const FETCH_TIME: Duration = Duration::from_millis(2_000);
/// A connection without a fetch is closed after this ...
const IDLE_TIME: Duration = Duration::from_millis(4_000);
/// ... and at once where so many to the same engine are idle.
const IDLE_MOST: usize = 8;

struct Wire {
    addr: SocketAddr,
    decoder: Decoder,
    /// The job and state that it fetches; none: it is idle.
    fetches: Option<(u64, u64)>,
    stands: bool,
    /// It has carried a fetch before, and nothing of the present one's answer has come.
    worn: bool,
    ok: bool,
    /// By when the fetch has to have ended, or the idle connection closes.
    deadline: Duration,
}

/// How a fetch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fetched {
    /// The job has its state.
    Whole(u64),
    /// There was none, or it could not be had.
    Failed(u64),
}

/// An engine's connections to others.
#[derive(Default)]
pub(super) struct Fetches {
    wires: BTreeMap<ConnId, Wire>,
    idle: BTreeMap<SocketAddr, Vec<ConnId>>,
    opened: u64,
}

fn request(addr: SocketAddr, state: u64) -> Vec<u8> {
    let host = addr.to_string();
    http::request_head("GET", &format!("/state/{state}"), &[("host", &host)], Framing::Length(0))
}

impl Fetches {
    /// Fetches the state of a job, on the connection used last that is idle, else on a new one.
    pub(super) fn start(&mut self, now: Duration, job: u64, transfer: Transfer, out: &mut Vec<Output>) {
        let Transfer { addr, state } = transfer;
        let deadline = now + FETCH_TIME;
        if let Some(conn) = self.idle.get_mut(&addr).and_then(Vec::pop) {
            if let Some(wire) = self.wires.get_mut(&conn) {
                (wire.fetches, wire.worn, wire.ok, wire.deadline) =
                    (Some((job, state)), true, false, deadline);
                return out.push(Output::Write(conn, request(addr, state)));
            }
        }
        self.open(job, transfer, deadline, out);
    }

    fn open(&mut self, job: u64, transfer: Transfer, deadline: Duration, out: &mut Vec<Output>) {
        let Transfer { addr, state } = transfer;
        self.opened += 1;
        let conn = ConnId::opened(self.opened);
        let decoder = Decoder::new(Side::Client, Limits { body: u64::MAX, ..Limits::default() });
        let fetches = Some((job, state));
        let wire = Wire { addr, decoder, fetches, stands: false, worn: false, ok: false, deadline };
        self.wires.insert(conn, wire);
        out.push(Output::Connect(conn, addr));
    }

    pub(super) fn connected(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(wire) = self.wires.get_mut(&conn).filter(|w| !w.stands) else { return };
        wire.stands = true;
        if let Some((_, state)) = wire.fetches {
            out.push(Output::Write(conn, request(wire.addr, state)));
        }
    }

    /// Takes bytes of an answer.
    pub(super) fn data(
        &mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>,
    ) -> Option<Fetched> {
        let wire = self.wires.get_mut(&conn)?;
        let Some((job, _)) = wire.fetches else {
            self.drop_wire(conn, out);
            return None;
        };
        wire.worn = false;
        wire.decoder.feed(bytes);
        loop {
            match wire.decoder.next_item() {
                Ok(Some(Item::Head(head))) => wire.ok = head.start == Start::Response { status: 200 },
                Ok(Some(Item::Body(_))) => {}
                Ok(Some(Item::End)) => break,
                Ok(None) => return None,
                Err(_) => {
                    self.drop_wire(conn, out);
                    return Some(Fetched::Failed(job));
                }
            }
        }
        let ended = if wire.ok { Fetched::Whole(job) } else { Fetched::Failed(job) };
        let idle = self.idle.entry(wire.addr).or_default();
        if idle.len() < IDLE_MOST {
            (wire.fetches, wire.deadline) = (None, now + IDLE_TIME);
            idle.push(conn);
        } else {
            self.wires.remove(&conn);
            out.push(Output::CloseWhenSent(conn));
        }
        Some(ended)
    }

    /// A connection is over. A fetch on one that the other side had closed meanwhile goes out again on a new one.
    pub(super) fn lost(&mut self, conn: ConnId, out: &mut Vec<Output>) -> Option<Fetched> {
        let wire = self.forget(conn)?;
        let (job, state) = wire.fetches?;
        if wire.worn {
            self.open(job, Transfer { addr: wire.addr, state }, wire.deadline, out);
            return None;
        }
        Some(Fetched::Failed(job))
    }

    /// Ends what has taken too long; gives the jobs whose fetches have.
    pub(super) fn late(&mut self, now: Duration, out: &mut Vec<Output>) -> Vec<u64> {
        let late = |(&conn, wire): (&ConnId, &Wire)| (wire.deadline <= now).then_some(conn);
        let late: Vec<ConnId> = self.wires.iter().filter_map(late).collect();
        let mut jobs = Vec::new();
        for conn in late {
            jobs.extend(self.wires.get(&conn).and_then(|w| w.fetches).map(|(job, _)| job));
            self.drop_wire(conn, out);
        }
        jobs
    }

    /// A job wants its state no more.
    pub(super) fn cancel(&mut self, job: u64, out: &mut Vec<Output>) {
        let its = |w: &Wire| w.fetches.is_some_and(|(j, _)| j == job);
        let conn = self.wires.iter().find(|(_, w)| its(w)).map(|(&c, _)| c);
        conn.into_iter().for_each(|conn| self.drop_wire(conn, out));
    }

    /// When `late` has something to do.
    pub(super) fn due(&self) -> Option<Duration> {
        self.wires.values().map(|w| w.deadline).min()
    }

    fn drop_wire(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if self.forget(conn).is_some() {
            out.push(Output::Abort(conn));
        }
    }

    fn forget(&mut self, conn: ConnId) -> Option<Wire> {
        let wire = self.wires.remove(&conn)?;
        if let Some(idle) = self.idle.get_mut(&wire.addr) {
            idle.retain(|&c| c != conn);
            if idle.is_empty() {
                self.idle.remove(&wire.addr);
            }
        }
        Some(wire)
    }
}

#[cfg(test)]
mod tests;
