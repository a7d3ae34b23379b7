//! Handles connections that are ready: finishes connecting, reads, sends and closes.

use super::EventLoop;
use crate::connection::{Connection, Flushed, Phase};
use crate::slot_table::Slot;
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use rustix::net::sockopt;
use slipreel_state_machine::{ConnectionLoss, Input, Machine};

/// Bytes read from a connection before the others have their turn. Guards against floods: thousands of
/// requests pipelined on a few connections must not delay timers, requests of other clients, or the report
/// that a client has gone.
const READ_PER_TURN: usize = 16 << 10;
/// Bytes read at once to discard what still arrives on a closing connection.
const DISCARD_SIZE: usize = 4 << 10;
/// The maximum number of such reads before other connections have their turn.
const DISCARDS_PER_TURN: usize = 4;

impl<M: Machine> EventLoop<M> {
    /// Whether a slot holds a connection that a peer has opened.
    pub(super) fn is_accepted(&self, slot: usize) -> bool {
        self.sockets.connection(slot).is_some_and(|connection| !connection.id.is_opened())
    }

    pub(super) fn handle_readiness(&mut self, slot: usize, flags: EventFlags) {
        match self.sockets.get(slot) {
            Slot::Listener(_) => self.handle_ready_listener(slot),
            Slot::DatagramSocket(_) => self.handle_ready_datagram_socket(slot),
            Slot::Connection(connection) => match connection.phase {
                Phase::Connecting => self.finish_connecting(slot),
                Phase::Open => self.handle_open_connection(slot, flags),
                Phase::Closing => self.finish_closing(slot),
            },
            Slot::Free => {}
        }
    }

    fn handle_open_connection(&mut self, slot: usize, flags: EventFlags) {
        if flags.intersects(EventFlags::OUT) {
            self.flush(slot);
        }
        let peer_close = EventFlags::HUP | EventFlags::ERR | EventFlags::RDHUP;
        if flags.intersects(peer_close) {
            self.report_close_of_paused(slot, flags);
        }
        if flags.intersects(peer_close | EventFlags::IN) {
            self.read(slot);
        }
    }

    /// Reports that the peer has closed or reset a connection, if it is paused. A reset one is then read to
    /// its end, as epoll reports it again and again until then; the socket buffer limits how much that is.
    fn report_close_of_paused(&mut self, slot: usize, flags: EventFlags) {
        let Some(connection) = self.sockets.connection(slot) else { return };
        let (machine, id) = (connection.machine, connection.id);
        let is_paused = connection.paused && connection.phase == Phase::Open;
        if !is_paused || self.is_frozen(machine) {
            return;
        }
        let Some(connection) = self.sockets.connection_mut(slot) else { return };
        if flags.intersects(EventFlags::HUP | EventFlags::ERR) {
            connection.paused = false;
        }
        if !std::mem::replace(&mut connection.peer_close_reported, true) {
            self.update_interest(slot);
            self.deliver(machine, Input::PeerClosedWhilePaused(id));
        }
    }

    fn finish_connecting(&mut self, slot: usize) {
        let Some(connection) = self.sockets.connection_mut(slot) else { return };
        let (machine, id) = (connection.machine, connection.id);
        if matches!(sockopt::socket_error(&connection.fd), Ok(Ok(()))) {
            connection.phase = Phase::Open;
            self.update_interest(slot);
            self.deliver(machine, Input::Connected(id));
        } else {
            self.close(slot);
            self.deliver(machine, Input::Lost(id, ConnectionLoss::NotConnected));
        }
    }

    fn read(&mut self, slot: usize) {
        let Some(connection) = self.sockets.connection(slot) else { return };
        let (machine, id) = (connection.machine, connection.id);
        let takes_data = connection.phase == Phase::Open && !connection.paused && !connection.peer_finished;
        if !takes_data || self.is_frozen(machine) {
            return;
        }
        let mut buffer = [0; READ_PER_TURN];
        match rustix::io::read(&connection.fd, &mut buffer[..]) {
            Ok(0) => {
                if let Some(connection) = self.sockets.connection_mut(slot) {
                    connection.peer_finished = true;
                }
                self.update_interest(slot);
                self.deliver(machine, Input::Eof(id));
            }
            Ok(count) => self.deliver(machine, Input::Data(id, &buffer[..count])),
            // Epoll reports the connection again as long as there is something to read.
            Err(Errno::AGAIN | Errno::INTR) => {}
            Err(_) => {
                self.close(slot);
                self.deliver(machine, Input::Lost(id, ConnectionLoss::Reset));
            }
        }
    }

    /// Sends the unsent bytes of a connection that the machine has closed, then discards what arrives until
    /// the peer closes too.
    fn finish_closing(&mut self, slot: usize) {
        self.flush(slot);
        let Some(connection) = self.sockets.connection_mut(slot) else { return };
        if connection.has_unsent() {
            return;
        }
        connection.shut_down_when_sent();
        let mut buffer = [0; DISCARD_SIZE];
        for _ in 0..DISCARDS_PER_TURN {
            match rustix::io::read(&connection.fd, &mut buffer[..]) {
                Ok(count) if count > 0 => {}
                Err(Errno::AGAIN | Errno::INTR) => return,
                Ok(_) | Err(_) => return self.close(slot),
            }
        }
    }

    /// Flushes a connection from the queue of pending flushes.
    pub(super) fn flush_pending(&mut self, slot: usize) {
        let Some(connection) = self.sockets.connection_mut(slot) else { return };
        connection.queued_to_flush = false;
        if connection.phase == Phase::Closing {
            self.finish_closing(slot);
            if self.sockets.connection(slot).is_some_and(Connection::has_unsent) {
                self.limit_closing_bytes();
            }
        } else {
            self.flush(slot);
        }
    }

    fn flush(&mut self, slot: usize) {
        let Some(connection) = self.sockets.connection_mut(slot) else { return };
        let (machine, id, phase) = (connection.machine, connection.id, connection.phase);
        if phase == Phase::Connecting {
            return;
        }
        match connection.flush() {
            Flushed::Sent(sent) => {
                self.update_interest(slot);
                if sent > 0 && phase == Phase::Open {
                    self.deliver(machine, Input::Sent(id, sent));
                }
            }
            Flushed::Broken => {
                self.close(slot);
                if phase == Phase::Open {
                    self.deliver(machine, Input::Lost(id, ConnectionLoss::Reset));
                }
            }
        }
    }
}
