//! StateSync over TCP: each side tells all that it knows, where that does not fit a datagram. Bounded in number, size and time, so that a
//! peer that trickles or never answers costs a connection for two seconds and nothing else.

use crate::timing;
use slipreel_protocol::membership::{unframe, DecodeError, Message, MAX_MESSAGE_LEN};
use slipreel_state_machine::{ConnId, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

struct SyncConnection {
    since: Duration,
    got: Vec<u8>,
}

/// The exchanges that are under way.
#[derive(Default)]
pub(crate) struct StateSync {
    /// The one that this member has asked for.
    asked: Option<(ConnId, SyncConnection)>,
    taken: BTreeMap<ConnId, SyncConnection>,
    opened: u64,
}

/// What bytes of an exchange came to.
pub(crate) enum SyncProgress {
    /// Nothing whole yet.
    Part,
    /// The other side's message; `answer`: ours is still owed.
    Whole { message: Box<Message>, answer: bool },
    /// No message.
    DecodeError(DecodeError),
}

impl StateSync {
    /// Asks a member, unless one is being asked.
    pub(crate) fn ask(&mut self, now: Duration, to: SocketAddr, out: &mut Vec<Output>) {
        if self.asked.is_none() {
            self.opened += 1;
            let conn = ConnId::opened(self.opened);
            self.asked = Some((conn, SyncConnection { since: now, got: Vec::new() }));
            out.push(Output::Connect(conn, to));
        }
    }

    /// A member asks.
    pub(crate) fn accept(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        if self.taken.len() >= timing::MAX_ACCEPTED_SYNCS {
            return out.push(Output::Abort(conn));
        }
        self.taken.insert(conn, SyncConnection { since: now, got: Vec::new() });
    }

    pub(crate) fn data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) -> SyncProgress {
        let asked = self.asked.as_mut().filter(|(c, _)| *c == conn).map(|(_, e)| e);
        let answer = asked.is_none();
        let Some(exchange) = asked.or(self.taken.get_mut(&conn)) else { return SyncProgress::Part };
        exchange.got.extend(bytes);
        let came = match unframe(&exchange.got) {
            Ok(None) if exchange.got.len() <= MAX_MESSAGE_LEN + 4 => return SyncProgress::Part,
            Ok(None) => SyncProgress::DecodeError(DecodeError::TooLong(exchange.got.len())),
            Ok(Some(message)) => SyncProgress::Whole { message: Box::new(message), answer },
            Err(bad) => SyncProgress::DecodeError(bad),
        };
        match &came {
            // The answer follows on it, and ends it.
            SyncProgress::Whole { answer: true, .. } => {
                self.taken.remove(&conn);
            }
            SyncProgress::Whole { .. } => self.end(conn, out),
            _ => {
                self.lost(conn);
                out.push(Output::Abort(conn));
            }
        }
        came
    }

    fn end(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        self.lost(conn);
        out.push(Output::CloseWhenSent(conn));
    }

    /// A connection is over.
    pub(crate) fn lost(&mut self, conn: ConnId) {
        self.taken.remove(&conn);
        self.asked = self.asked.take().filter(|(c, _)| *c != conn);
    }

    /// The peer sends no more: what is not whole by now never will be.
    pub(crate) fn eof(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let known = self.taken.contains_key(&conn) || self.asked.as_ref().is_some_and(|(c, _)| *c == conn);
        if known {
            self.lost(conn);
            out.push(Output::Abort(conn));
        }
    }

    /// Ends those that have taken too long.
    pub(crate) fn late(&mut self, now: Duration, out: &mut Vec<Output>) {
        let is_late = |e: &SyncConnection| now >= e.since + timing::SYNC_TIMEOUT;
        let asked = self.asked.iter().filter(|(_, e)| is_late(e)).map(|(c, _)| *c);
        let taken = self.taken.iter().filter(|(_, e)| is_late(e)).map(|(c, _)| *c);
        for conn in asked.chain(taken).collect::<Vec<_>>() {
            self.lost(conn);
            out.push(Output::Abort(conn));
        }
    }
}
