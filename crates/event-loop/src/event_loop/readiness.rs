//! What a descriptor that is ready calls for: accepting, reading, sending, connecting and closing.

use super::{
    Loop, Slot, ACCEPTS_A_TURN, BACKLOG, DATAGRAMS, DATAGRAM_LENGTH, DISCARDS_A_TURN, NO_DESCRIPTORS,
    READ_A_TURN,
};
use crate::conn::{Conn, Flushed, Phase};
use crate::driver::{token, NodeId};
use rustix::event::epoll::{self, EventFlags};
use rustix::io::Errno;
use rustix::net::{self, sockopt, RecvFlags, Shutdown, SocketFlags};
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Machine};
use std::net::SocketAddr;

/// Whether more connections may wait at a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Waiting {
    /// None that can be taken now.
    Nobody,
    /// As many were taken as one turn allows.
    Perhaps,
}

impl<M: Machine> Loop<M> {
    /// Whether a slot holds a connection that a peer has opened.
    pub(super) fn is_accepted(&self, slot: usize) -> bool {
        matches!(&self.slots[slot], Slot::Conn(c) if !c.id.is_opened())
    }

    pub(super) fn ready(&mut self, slot: usize, flags: EventFlags) {
        match &self.slots[slot] {
            Slot::Listener(_) => {
                self.accept(slot);
            }
            Slot::Mailbox(_) => self.take_datagrams(slot),
            Slot::Conn(c) => match c.phase {
                Phase::Connecting => self.connected(slot),
                Phase::Open => {
                    if flags.intersects(EventFlags::OUT) {
                        self.flush(slot);
                    }
                    let ends = EventFlags::HUP | EventFlags::ERR | EventFlags::RDHUP;
                    if flags.intersects(ends) {
                        self.hung_up(slot, flags);
                    }
                    if flags.intersects(ends | EventFlags::IN) {
                        self.read(slot);
                    }
                }
                Phase::Finishing(_) => self.linger(slot),
            },
            Slot::Free => {}
        }
    }

    /// A peer has closed or reset a connection that may be paused. A reset one is read to its end all the same, which its
    /// socket bounds: the system reports it again and again until then.
    pub(super) fn hung_up(&mut self, slot: usize, flags: EventFlags) {
        let Slot::Conn(conn) = &mut self.slots[slot] else { return };
        if !conn.paused || conn.phase != Phase::Open || self.nodes[conn.node].frozen {
            return;
        }
        let (node, id) = (conn.node, conn.id);
        if flags.intersects(EventFlags::HUP | EventFlags::ERR) {
            conn.paused = false;
        }
        if !std::mem::replace(&mut conn.hung_up, true) {
            self.set_interest(slot);
            self.give(node, Input::PeerClosedWhilePaused(id));
        }
    }

    /// Closes the listeners of a machine once it has all connections that the system took for them. A close over
    /// connections that nobody has taken up would reset them, with whatever their clients had sent.
    pub(super) fn stop_listening(&mut self, node: usize) {
        let is_listener = |slot: &Slot| matches!(slot, Slot::Listener(listener) if listener.node == node);
        let listeners: Vec<usize> = (0..self.slots.len()).filter(|&s| is_listener(&self.slots[s])).collect();
        for slot in listeners {
            for _ in 0..BACKLOG / ACCEPTS_A_TURN {
                if self.accept(slot) == Waiting::Nobody {
                    break;
                }
            }
            self.close(slot);
        }
    }

    pub(super) fn accept(&mut self, slot: usize) -> Waiting {
        for _ in 0..ACCEPTS_A_TURN {
            let Slot::Listener(listener) = &mut self.slots[slot] else { return Waiting::Nobody };
            let (node, door) = (listener.node, listener.door);
            if self.nodes[node].frozen {
                // The kernel takes connections for a process that does not run; nobody takes them up.
                listener.resting = Some(self.clock.now() + NO_DESCRIPTORS);
                let _ = epoll::modify(
                    &self.epoll,
                    &listener.fd,
                    token(slot, self.uses[slot]),
                    EventFlags::empty(),
                );
                return Waiting::Nobody;
            }
            match net::accept_with(&listener.fd, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                Ok(fd) => {
                    let _ = sockopt::set_tcp_nodelay(&fd, true);
                    let n = &mut self.nodes[node];
                    n.accepted += 1;
                    let id = ConnId(n.accepted);
                    self.insert(Conn::new(fd, node, id, Phase::Open));
                    self.give(node, Input::Accepted(id, door));
                }
                Err(Errno::AGAIN) => return Waiting::Nobody,
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                Err(_) => {
                    // What only waits for its peer's end goes first, then what the machine ends to make room.
                    if self.close_lingering() {
                        continue;
                    }
                    let free = self.free.len();
                    self.give(node, Input::DescriptorsExhausted(door));
                    if self.close_lingering() || self.free.len() > free {
                        continue;
                    }
                    let Slot::Listener(listener) = &mut self.slots[slot] else { return Waiting::Nobody };
                    listener.resting = Some(self.clock.now() + NO_DESCRIPTORS);
                    let _ = epoll::modify(
                        &self.epoll,
                        &listener.fd,
                        token(slot, self.uses[slot]),
                        EventFlags::empty(),
                    );
                    (self.log)(NodeId(node), "no descriptors are left to accept connections");
                    return Waiting::Nobody;
                }
            }
        }
        Waiting::Perhaps
    }

    pub(super) fn take_datagrams(&mut self, slot: usize) {
        let mut buf = [0; DATAGRAM_LENGTH];
        for _ in 0..DATAGRAMS {
            let Slot::Mailbox(m) = &self.slots[slot] else { return };
            let (node, door) = (m.node, m.door);
            if self.nodes[node].frozen {
                return;
            }
            match net::recvfrom(&m.fd, &mut buf[..], RecvFlags::empty()) {
                Ok((n, _, Some(from))) => {
                    if let Ok(from) = SocketAddr::try_from(from) {
                        self.give(node, Input::Datagram(door, from, &buf[..n]));
                    }
                }
                Err(Errno::AGAIN) => return,
                // What was sent before met no socket: the next call takes what is there.
                Ok(_) | Err(_) => {}
            }
        }
    }

    pub(super) fn connected(&mut self, slot: usize) {
        let Slot::Conn(conn) = &mut self.slots[slot] else { return };
        let (node, id) = (conn.node, conn.id);
        if matches!(sockopt::socket_error(&conn.fd), Ok(Ok(()))) {
            conn.phase = Phase::Open;
            self.set_interest(slot);
            self.give(node, Input::Connected(id));
        } else {
            self.close(slot);
            self.give(node, Input::Lost(id, ConnectionLoss::NotConnected));
        }
    }

    pub(super) fn read(&mut self, slot: usize) {
        let Slot::Conn(conn) = &mut self.slots[slot] else { return };
        let (node, id) = (conn.node, conn.id);
        if conn.phase != Phase::Open || conn.paused || conn.eof || self.nodes[node].frozen {
            return;
        }
        let mut buf = [0; READ_A_TURN];
        match rustix::io::read(&conn.fd, &mut buf[..]) {
            Ok(0) => {
                conn.eof = true;
                self.set_interest(slot);
                self.give(node, Input::Eof(id));
            }
            Ok(n) => self.give(node, Input::Data(id, &buf[..n])),
            // The system reports it again as long as there is something to read.
            Err(Errno::AGAIN | Errno::INTR) => {}
            Err(_) => {
                self.close(slot);
                self.give(node, Input::Lost(id, ConnectionLoss::Reset));
            }
        }
    }

    /// A finished connection: what is unsent goes out, then the peer's end is awaited for a while.
    pub(super) fn linger(&mut self, slot: usize) {
        self.flush(slot);
        let Slot::Conn(conn) = &mut self.slots[slot] else { return };
        if conn.has_unsent() {
            return;
        }
        if !std::mem::replace(&mut conn.shut, true) {
            let _ = net::shutdown(&conn.fd, Shutdown::Write);
        }
        let mut buf = [0; 4096];
        for _ in 0..DISCARDS_A_TURN {
            match rustix::io::read(&conn.fd, &mut buf[..]) {
                Ok(n) if n > 0 => {}
                Err(Errno::AGAIN | Errno::INTR) => return,
                Ok(_) | Err(_) => return self.close(slot),
            }
        }
    }

    pub(super) fn flush(&mut self, slot: usize) {
        let Slot::Conn(conn) = &mut self.slots[slot] else { return };
        let (node, id, phase) = (conn.node, conn.id, conn.phase);
        if phase == Phase::Connecting {
            return;
        }
        match conn.flush() {
            Flushed::Sent(sent) => {
                if conn.shuts && !conn.has_unsent() && !std::mem::replace(&mut conn.shut, true) {
                    let _ = net::shutdown(&conn.fd, Shutdown::Write);
                }
                self.set_interest(slot);
                if sent > 0 && phase == Phase::Open {
                    self.give(node, Input::Sent(id, sent));
                }
            }
            Flushed::Broken => {
                self.close(slot);
                if phase == Phase::Open {
                    self.give(node, Input::Lost(id, ConnectionLoss::Reset));
                }
            }
        }
    }
}
