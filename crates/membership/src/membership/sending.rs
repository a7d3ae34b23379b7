//! Dissemination: the messages that this member sends, and their receivers.

use super::{random_index, Membership};
use crate::table::{max_encoded_len, Gossip};
use crate::{timing, MemberStatus};
use slipreel_protocol::membership::{frame, Flags, Message};
use slipreel_state_machine::{ListenerId, Output};
use std::net::SocketAddr;
use std::time::Duration;

/// The UDP socket of this machine.
const SOCKET: ListenerId = ListenerId(0);
/// The maximum number of members that are informed at once that this one leaves; the others learn it from
/// them.
const MAX_IMMEDIATE_LEAVE_MESSAGES: usize = 32;

const WANTS_FULL_STATE: Flags =
    Flags { wants_full_state: true, exceeds_datagram: false, is_full_state: false };
const EXCEEDS_DATAGRAM: Flags =
    Flags { wants_full_state: false, exceeds_datagram: true, is_full_state: false };
const IS_FULL_STATE: Flags = Flags { wants_full_state: false, exceeds_datagram: false, is_full_state: true };

impl Membership {
    pub(super) fn message(&self, flags: Flags, gossip: Gossip) -> Message {
        Message {
            fleet: self.settings.fleet.clone(),
            sender: self.local.record.clone(),
            round: self.local.round,
            digest: self.agreement.digest,
            flags,
            records: gossip.records,
            heartbeats: gossip.heartbeats,
            requested_ids: Vec::new(),
        }
    }

    /// The maximum encoded length of the records and heartbeats in a datagram, in bytes.
    pub(super) fn max_gossip_len(&self) -> usize {
        let sender_len = max_encoded_len(&self.local.record);
        let header_len = 9 + 1 + self.settings.fleet.len() + sender_len + 5 + 8 + 1 + 3 * 2;
        self.settings.max_datagram.saturating_sub(header_len)
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: &Message, out: &mut Vec<Output>) {
        let bytes = message.encode();
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        out.push(Output::Datagram(SOCKET, to, bytes));
    }

    fn send_gossip(&mut self, now: Duration, to: SocketAddr, flags: Flags, out: &mut Vec<Output>) {
        let max_len = self.max_gossip_len();
        let rng = &mut self.rng;
        let gossip = self.table.select_gossip(now, max_len, |len| random_index(rng, len));
        let message = self.message(flags, gossip);
        self.send(to, &message, out);
    }

    /// Sends the full state. If it does not fit in a datagram, sends as much as fits and a request to
    /// synchronise over TCP.
    pub(super) fn send_full_state(&mut self, now: Duration, to: SocketAddr, out: &mut Vec<Output>) {
        let full_state = self.table.full_state(now);
        if full_state.max_encoded_len() > self.max_gossip_len() {
            return self.send_gossip(now, to, EXCEEDS_DATAGRAM, out);
        }
        let message = self.message(IS_FULL_STATE, full_state);
        self.send(to, &message, out);
    }

    /// The full state, framed for TCP.
    pub(super) fn full_state_frame(&self, now: Duration) -> Vec<u8> {
        frame(&self.message(IS_FULL_STATE, self.table.full_state(now)))
    }

    /// Informs some members at once that this one leaves.
    pub(super) fn send_leave_messages(&mut self, out: &mut Vec<Output>) {
        let present = self.table.present().map(|entry| self.address_of(&entry.record));
        let receivers: Vec<SocketAddr> = present.take(MAX_IMMEDIATE_LEAVE_MESSAGES).collect();
        let message = self.message(Flags::default(), Gossip::default());
        receivers.into_iter().for_each(|to| self.send(to, &message, out));
    }

    /// Sends the messages of one round: to randomly drawn members of the view and, while joining or in one of
    /// [`timing::ROUNDS_PER_RECONNECT`] rounds, to members that are not in the view, which reconnects the
    /// sides of a partition.
    pub(super) fn send_round(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.local.round += 1;
        let mut present: Vec<SocketAddr> =
            self.table.present().map(|entry| self.address_of(&entry.record)).collect();
        let is_joining = matches!(self.local.status, MemberStatus::Joining | MemberStatus::Challenged);
        let flags = Flags { wants_full_state: is_joining, ..Flags::default() };
        for _ in 0..timing::GOSSIP_FANOUT {
            let Some(to) = self.draw(&mut present) else { break };
            self.send_gossip(now, to, flags, out);
        }
        if is_joining || self.local.round % timing::ROUNDS_PER_RECONNECT == 1 {
            let mut absent = self.absent_members();
            let attempts = if is_joining { timing::GOSSIP_FANOUT } else { 1 };
            for _ in 0..attempts {
                let Some(to) = self.draw(&mut absent) else { break };
                self.send_gossip(now, to, WANTS_FULL_STATE, out);
            }
        }
    }

    /// The addresses of members that are not in the view and may be running.
    pub(super) fn absent_members(&self) -> Vec<SocketAddr> {
        self.addresses.absent(&self.local.record, &self.table)
    }

    /// Removes a random address from the list.
    fn draw(&mut self, addresses: &mut Vec<SocketAddr>) -> Option<SocketAddr> {
        if addresses.is_empty() {
            return None;
        }
        let index = random_index(&mut self.rng, addresses.len());
        Some(addresses.swap_remove(index))
    }
}
