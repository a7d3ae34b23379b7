//! Fetches states from prefill engines over connections that are reused: a new connection for each state
//! would exhaust the machine's ports within a minute of heavy load.

use super::scheduler::Transfer;
use slipreel_protocol::http::{self, Decoder, Framing, Item, Limits, Side, Start};
use slipreel_state_machine::{ConnId, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A fetch that takes longer than this fails.
const FETCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// An idle connection is closed after this time ...
const IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// ... and at once if this many to the same engine are already idle.
const MAX_IDLE: usize = 8;

/// A connection to another engine.
struct Connection {
    addr: SocketAddr,
    decoder: Decoder,
    /// The request and the state that it fetches; `None` while it is idle.
    fetch: Option<(u64, u64)>,
    is_established: bool,
    /// It has served a fetch before and no bytes of the current answer have arrived: the other side may have
    /// closed it while it was idle.
    may_be_stale: bool,
    /// The answer has status 200.
    ok: bool,
    /// When the fetch times out, or the idle connection is closed.
    deadline: Duration,
}

/// The result of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fetched {
    /// This request has its state.
    Done(u64),
    /// The state of this request does not exist or could not be fetched.
    Failed(u64),
}

/// The connections of an engine over which it fetches states.
#[derive(Default)]
pub(super) struct Fetches {
    connections: BTreeMap<ConnId, Connection>,
    idle: BTreeMap<SocketAddr, Vec<ConnId>>,
    opened: u64,
}

fn state_request(addr: SocketAddr, state: u64) -> Vec<u8> {
    let host = addr.to_string();
    http::request_head("GET", &format!("/state/{state}"), &[("host", &host)], Framing::Length(0))
}

impl Fetches {
    /// Fetches the state of a request, on the most recently used idle connection or else on a new one.
    pub(super) fn start(&mut self, now: Duration, request: u64, transfer: Transfer, out: &mut Vec<Output>) {
        let Transfer { addr, state } = transfer;
        let deadline = now + FETCH_TIMEOUT;
        if let Some(conn) = self.idle.get_mut(&addr).and_then(Vec::pop) {
            if let Some(connection) = self.connections.get_mut(&conn) {
                (connection.fetch, connection.may_be_stale, connection.ok, connection.deadline) =
                    (Some((request, state)), true, false, deadline);
                return out.push(Output::Write(conn, state_request(addr, state)));
            }
        }
        self.open(request, transfer, deadline, out);
    }

    fn open(&mut self, request: u64, transfer: Transfer, deadline: Duration, out: &mut Vec<Output>) {
        let Transfer { addr, state } = transfer;
        self.opened += 1;
        let conn = ConnId::opened(self.opened);
        let decoder = Decoder::new(Side::Client, Limits { body: u64::MAX, ..Limits::default() });
        let fetch = Some((request, state));
        let connection = Connection {
            addr,
            decoder,
            fetch,
            is_established: false,
            may_be_stale: false,
            ok: false,
            deadline,
        };
        self.connections.insert(conn, connection);
        out.push(Output::Connect(conn, addr));
    }

    /// Sends the request for a state on a connection that has been established.
    pub(super) fn connected(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(connection) = self.connections.get_mut(&conn).filter(|c| !c.is_established) else { return };
        connection.is_established = true;
        if let Some((_, state)) = connection.fetch {
            out.push(Output::Write(conn, state_request(connection.addr, state)));
        }
    }

    /// Handles received bytes. Returns the result if the fetch has ended.
    pub(super) fn receive(
        &mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>,
    ) -> Option<Fetched> {
        let connection = self.connections.get_mut(&conn)?;
        let Some((request, _)) = connection.fetch else {
            self.abort(conn, out);
            return None;
        };
        connection.may_be_stale = false;
        connection.decoder.feed(bytes);
        loop {
            match connection.decoder.next_item() {
                Ok(Some(Item::Head(head))) => connection.ok = head.start == Start::Response { status: 200 },
                Ok(Some(Item::Body(_))) => {}
                Ok(Some(Item::End)) => break,
                Ok(None) => return None,
                Err(_) => {
                    self.abort(conn, out);
                    return Some(Fetched::Failed(request));
                }
            }
        }
        let ended = if connection.ok { Fetched::Done(request) } else { Fetched::Failed(request) };
        let idle = self.idle.entry(connection.addr).or_default();
        if idle.len() < MAX_IDLE {
            (connection.fetch, connection.deadline) = (None, now + IDLE_TIMEOUT);
            idle.push(conn);
        } else {
            self.connections.remove(&conn);
            out.push(Output::CloseWhenSent(conn));
        }
        Some(ended)
    }

    /// Handles the end of a connection. If the other side closed it while it was idle, its fetch is sent
    /// again on a new one.
    pub(super) fn lost(&mut self, conn: ConnId, out: &mut Vec<Output>) -> Option<Fetched> {
        let connection = self.forget(conn)?;
        let (request, state) = connection.fetch?;
        if connection.may_be_stale {
            self.open(request, Transfer { addr: connection.addr, state }, connection.deadline, out);
            return None;
        }
        Some(Fetched::Failed(request))
    }

    /// Drops fetches and idle connections that have timed out. Returns the requests of these fetches.
    pub(super) fn expire(&mut self, now: Duration, out: &mut Vec<Output>) -> Vec<u64> {
        let is_expired =
            |(&conn, connection): (&ConnId, &Connection)| (connection.deadline <= now).then_some(conn);
        let expired: Vec<ConnId> = self.connections.iter().filter_map(is_expired).collect();
        let mut requests = Vec::new();
        for conn in expired {
            requests.extend(self.connections.get(&conn).and_then(|c| c.fetch).map(|(request, _)| request));
            self.abort(conn, out);
        }
        requests
    }

    /// Cancels the fetch for a request.
    pub(super) fn cancel(&mut self, request: u64, out: &mut Vec<Output>) {
        let serves_request = |c: &Connection| c.fetch.is_some_and(|(fetching, _)| fetching == request);
        let conn = self.connections.iter().find(|(_, c)| serves_request(c)).map(|(&c, _)| c);
        conn.into_iter().for_each(|conn| self.abort(conn, out));
    }

    /// When the next fetch or idle connection times out.
    pub(super) fn next_timeout(&self) -> Option<Duration> {
        self.connections.values().map(|c| c.deadline).min()
    }

    fn abort(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if self.forget(conn).is_some() {
            out.push(Output::Abort(conn));
        }
    }

    fn forget(&mut self, conn: ConnId) -> Option<Connection> {
        let connection = self.connections.remove(&conn)?;
        if let Some(idle) = self.idle.get_mut(&connection.addr) {
            idle.retain(|&c| c != conn);
            if idle.is_empty() {
                self.idle.remove(&connection.addr);
            }
        }
        Some(connection)
    }
}

#[cfg(test)]
mod tests;
