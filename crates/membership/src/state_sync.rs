//! State synchronisation over TCP (anti-entropy): two members exchange their full states if those do not fit
//! in a datagram.
//!
//! The connections are limited in number, size and time: a peer that sends its bytes slowly or never answers
//! takes up one connection for [`timing::SYNC_TIMEOUT`] and nothing else.

use crate::timing;
use slipreel_protocol::membership::{unframe, DecodeError, Message, MAX_MESSAGE_LEN};
use slipreel_state_machine::{ConnId, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Length of the prefix that states the length of a message on TCP, in bytes.
const LENGTH_PREFIX_LEN: usize = 4;

/// The bytes that one connection has received, and when it was opened.
struct SyncConnection {
    opened_at: Duration,
    received: Vec<u8>,
}

impl SyncConnection {
    fn new(now: Duration) -> Self {
        SyncConnection { opened_at: now, received: Vec::new() }
    }

    fn has_timed_out(&self, now: Duration) -> bool {
        now >= self.opened_at + timing::SYNC_TIMEOUT
    }
}

/// A synchronisation that this member has begun.
struct OutgoingSync {
    conn: ConnId,
    connection: SyncConnection,
}

/// The synchronisations in progress.
#[derive(Default)]
pub(crate) struct StateSync {
    outgoing: Option<OutgoingSync>,
    accepted: BTreeMap<ConnId, SyncConnection>,
    opened_count: u64,
}

/// The progress of a synchronisation after some bytes were received.
pub(crate) enum SyncProgress {
    /// The message is not complete yet.
    Incomplete,
    /// The peer's message. `needs_reply` is true if this member has not sent its own message yet.
    Complete { message: Box<Message>, needs_reply: bool },
    /// The bytes are not a message.
    Invalid(DecodeError),
}

impl StateSync {
    /// Begins a synchronisation with a member, unless one that this member began is in progress.
    pub(crate) fn begin(&mut self, now: Duration, to: SocketAddr, out: &mut Vec<Output>) {
        if self.outgoing.is_none() {
            self.opened_count += 1;
            let conn = ConnId::opened(self.opened_count);
            self.outgoing = Some(OutgoingSync { conn, connection: SyncConnection::new(now) });
            out.push(Output::Connect(conn, to));
        }
    }

    /// Accepts a connection of a member that begins one, up to [`timing::MAX_ACCEPTED_SYNCS`].
    pub(crate) fn accept(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        if self.accepted.len() >= timing::MAX_ACCEPTED_SYNCS {
            return out.push(Output::Abort(conn));
        }
        self.accepted.insert(conn, SyncConnection::new(now));
    }

    /// Handles received bytes. After a complete or invalid message the connection is no longer in progress.
    pub(crate) fn receive(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) -> SyncProgress {
        let outgoing = self.outgoing.as_mut().filter(|outgoing| outgoing.conn == conn);
        let outgoing = outgoing.map(|outgoing| &mut outgoing.connection);
        let needs_reply = outgoing.is_none();
        let Some(connection) = outgoing.or(self.accepted.get_mut(&conn)) else {
            return SyncProgress::Incomplete;
        };
        connection.received.extend(bytes);
        let received_len = connection.received.len();
        let progress = match unframe(&connection.received) {
            Ok(None) if received_len <= MAX_MESSAGE_LEN + LENGTH_PREFIX_LEN => {
                return SyncProgress::Incomplete;
            }
            Ok(None) => SyncProgress::Invalid(DecodeError::TooLong(received_len)),
            Ok(Some(message)) => SyncProgress::Complete { message: Box::new(message), needs_reply },
            Err(error) => SyncProgress::Invalid(error),
        };
        self.remove(conn);
        match &progress {
            // The caller sends the reply, then closes the connection.
            SyncProgress::Complete { needs_reply: true, .. } => {}
            SyncProgress::Complete { .. } => out.push(Output::CloseWhenSent(conn)),
            _ => out.push(Output::Abort(conn)),
        }
        progress
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&mut self, conn: ConnId) {
        self.accepted.remove(&conn);
        self.outgoing = self.outgoing.take().filter(|outgoing| outgoing.conn != conn);
    }

    /// Handles the end of the peer's stream. A message that is incomplete by then stays so, and the
    /// connection is aborted.
    pub(crate) fn end_of_stream(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let is_outgoing = self.outgoing.as_ref().is_some_and(|outgoing| outgoing.conn == conn);
        if is_outgoing || self.accepted.contains_key(&conn) {
            self.remove(conn);
            out.push(Output::Abort(conn));
        }
    }

    /// Aborts the connections that have taken longer than [`timing::SYNC_TIMEOUT`].
    pub(crate) fn abort_timed_out(&mut self, now: Duration, out: &mut Vec<Output>) {
        let outgoing = self.outgoing.iter().map(|outgoing| (outgoing.conn, &outgoing.connection));
        let accepted = self.accepted.iter().map(|(conn, connection)| (*conn, connection));
        let timed_out = outgoing.chain(accepted).filter(|(_, connection)| connection.has_timed_out(now));
        let timed_out: Vec<ConnId> = timed_out.map(|(conn, _)| conn).collect();
        for conn in timed_out {
            self.remove(conn);
            out.push(Output::Abort(conn));
        }
    }
}
