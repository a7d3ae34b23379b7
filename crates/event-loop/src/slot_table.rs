//! The table of descriptors: a slot for each, counted uses, and the readiness that each asks for.

use super::{token, Loop, Slot, RESERVE};
use crate::conn::Conn;
use rustix::event::epoll::{self, EventFlags};
use rustix::fd::AsFd;
use slipreel_state_machine::Machine;

impl<M: Machine> Loop<M> {
    pub(super) fn slot(&mut self) -> usize {
        self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot::Free);
            self.uses.push(0);
            self.slots.len() - 1
        })
    }

    pub(super) fn insert(&mut self, mut conn: Conn) {
        while self.slots.len() - self.free.len() - self.doors.len() >= self.most {
            let Some((_, slot, uses)) = self.lingering.pop_front() else { break };
            if self.uses[slot] == uses {
                self.close(slot);
            }
        }
        let slot = self.slot();
        conn.interest = conn.wanted();
        let added = epoll::add(&self.epoll, conn.fd.as_fd(), token(slot, self.uses[slot]), conn.interest);
        debug_assert!(added.is_ok());
        self.nodes[conn.node].by_id.insert(conn.id, slot);
        self.slots[slot] = Slot::Conn(Box::new(conn));
    }

    pub(super) fn set_interest(&mut self, slot: usize) {
        let Slot::Conn(conn) = &mut self.slots[slot] else { return };
        let wanted = if self.nodes[conn.node].frozen { EventFlags::empty() } else { conn.wanted() };
        if wanted != conn.interest {
            conn.interest = wanted;
            let _ = epoll::modify(&self.epoll, &conn.fd, token(slot, self.uses[slot]), wanted);
        }
    }

    /// Closes the socket of a slot and frees it.
    pub(super) fn close(&mut self, slot: usize) {
        match std::mem::replace(&mut self.slots[slot], Slot::Free) {
            Slot::Conn(conn) => {
                if self.nodes[conn.node].by_id.get(&conn.id) == Some(&slot) {
                    self.nodes[conn.node].by_id.remove(&conn.id);
                }
            }
            Slot::Listener(_) | Slot::Mailbox(_) => self.doors.retain(|&door| door != slot),
            Slot::Free => return,
        }
        self.uses[slot] = self.uses[slot].wrapping_add(1);
        self.free.push(slot);
        if self.reserve.len() < RESERVE {
            self.refill();
        }
    }
}
