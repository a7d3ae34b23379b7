//! Received messages: merging them into the table, and replies.

use super::Membership;
use crate::state_sync::SyncProgress;
use crate::table::{heartbeat_of, Gossip};
use crate::{timing, MemberStatus, MergeOutcome};
use slipreel_protocol::membership::{DecodeError, Flags, Heartbeat, MemberRecord, Message};
use slipreel_state_machine::{ConnId, Output};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The maximum number of records that one message requests by their ids.
const MAX_REQUESTED_IDS: usize = 32;
/// Logged as the peer address of a connection, as the machine does not know that address.
const UNKNOWN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

impl Membership {
    pub(super) fn receive_datagram(
        &mut self, now: Duration, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>,
    ) {
        match Message::decode(bytes) {
            Ok(message) => {
                if let Some(requested_ids) = self.merge_message(now, &message, out) {
                    self.reply(now, &message, requested_ids, out);
                }
            }
            Err(error) => self.reject_undecodable(now, error, from, out),
        }
    }

    /// Handles bytes received on a synchronisation connection.
    pub(super) fn receive_stream(
        &mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>,
    ) {
        match self.synchronisation.connections.receive(conn, bytes, out) {
            SyncProgress::Incomplete => {}
            SyncProgress::Invalid(error) => self.reject_undecodable(now, error, UNKNOWN_ADDRESS, out),
            SyncProgress::Complete { message, needs_reply } => {
                self.counters.synchronisations += 1;
                if needs_reply {
                    out.push(Output::Write(conn, self.full_state_frame(now)));
                    out.push(Output::CloseWhenSent(conn));
                }
                if self.local.status != MemberStatus::Yielded {
                    self.merge_message(now, &message, out);
                }
            }
        }
    }

    fn reject_undecodable(
        &mut self, now: Duration, error: DecodeError, from: SocketAddr, out: &mut Vec<Output>,
    ) {
        match error {
            DecodeError::Version(_) => self.counters.other_version += 1,
            _ => self.counters.malformed += 1,
        }
        self.log_rejection(now, &format!("from {from}: {error}"), out);
    }

    fn reject_other_fleet(&mut self, now: Duration, message: &Message, out: &mut Vec<Output>) {
        self.counters.other_fleet += 1;
        let Message { fleet, sender, .. } = message;
        let expected = &self.settings.fleet;
        let what =
            format!("{} at {} is of fleet {fleet:?}: expected {expected:?}", sender.name, sender.address);
        self.log_rejection(now, &what, out);
    }

    /// Merges a message. Returns the ids of unknown members to request from its sender, or `None` if the
    /// message was not merged.
    fn merge_message(&mut self, now: Duration, message: &Message, out: &mut Vec<Output>) -> Option<Vec<u64>> {
        if message.fleet != self.settings.fleet {
            self.reject_other_fleet(now, message, out);
            return None;
        }
        let sender = &message.sender;
        let has_own_name = sender.name == self.local.record.name;
        if has_own_name && sender.nonce == self.local.record.nonce {
            return None; // Its own message, sent to a seed that is an address of this member.
        }
        self.counters.received += 1;
        if has_own_name {
            self.resolve_conflict(now, sender, message.round, Duration::ZERO, out);
            return None;
        }
        if self.merge_record(now, sender, message.round, Duration::ZERO, &sender.name)
            == MergeOutcome::Superseded
        {
            self.notify_superseded(now, sender, out);
            return None;
        }
        self.merge_records(now, message, out);
        let requested_ids = self.merge_heartbeats(now, message, out);
        self.apply_changes(now, out);
        if message.digest != self.agreement.digest {
            self.agreement.last_disagreement = now;
        }
        if message.flags.is_full_state && self.local.status == MemberStatus::Joining {
            self.local.status = MemberStatus::Ready;
        }
        if message.flags.exceeds_datagram {
            self.synchronisation.connections.begin(now, self.addresses.address_of(sender), out);
        }
        Some(requested_ids)
    }

    fn merge_record(
        &mut self, now: Duration, record: &MemberRecord, round: u32, age: Duration, reported_by: &str,
    ) -> MergeOutcome {
        let outcome = self.table.merge_record(now, record, round, age, reported_by);
        self.counters.table_full += u64::from(outcome == MergeOutcome::TableFull);
        outcome
    }

    /// Informs a process that another one holds its name. The message goes to the address in the sender's
    /// record, as the address table may lead to the holder.
    fn notify_superseded(&mut self, now: Duration, sender: &MemberRecord, out: &mut Vec<Output>) {
        let Some(entry) = self.table.get(&sender.name) else { return };
        let gossip =
            Gossip { records: vec![entry.record.clone()], heartbeats: vec![heartbeat_of(now, entry)] };
        let message = self.message(Flags::default(), gossip);
        self.send(sender.address, &message, out);
    }

    fn merge_records(&mut self, now: Duration, message: &Message, out: &mut Vec<Output>) {
        let heartbeats: BTreeMap<u64, &Heartbeat> =
            message.heartbeats.iter().map(|heartbeat| (heartbeat.record_id, heartbeat)).collect();
        for record in &message.records {
            let heartbeat = heartbeats.get(&record.id()).copied();
            if record.name == self.local.record.name {
                self.merge_own_name(now, record, heartbeat, out);
            } else if let Some(heartbeat) = heartbeat {
                self.merge_record(now, record, heartbeat.round, age_of(heartbeat), &message.sender.name);
            }
        }
    }

    /// Merges heartbeats. Returns the ids of unknown members, at most [`MAX_REQUESTED_IDS`].
    fn merge_heartbeats(&mut self, now: Duration, message: &Message, out: &mut Vec<Output>) -> Vec<u64> {
        let mut unknown_ids = Vec::new();
        for heartbeat in &message.heartbeats {
            let id = heartbeat.record_id;
            let holder = self.conflict.holder.as_ref().filter(|holder| holder.record.id() == id);
            if self.table.name_by_id(id).is_some() {
                let reported_by = &message.sender.name;
                self.table.merge_heartbeat(now, id, heartbeat.round, age_of(heartbeat), reported_by);
            } else if let Some(holder) = holder {
                let record = holder.record.clone();
                self.merge_own_name(now, &record, Some(heartbeat), out);
            } else if unknown_ids.len() < MAX_REQUESTED_IDS
                && id != self.local.record.id()
                && !self.table.has_tombstone(id)
            {
                unknown_ids.push(id);
            }
        }
        unknown_ids
    }

    /// Replies to a datagram with what its sender requested, and requests what is missing here.
    fn reply(&mut self, now: Duration, message: &Message, requested_ids: Vec<u64>, out: &mut Vec<Output>) {
        let to = self.address_of(&message.sender);
        if message.flags.wants_full_state {
            self.send_full_state(now, to, out);
        }
        if !message.requested_ids.is_empty() {
            let gossip = self.table.records_by_id(now, &message.requested_ids, self.max_gossip_len());
            if !gossip.records.is_empty() {
                let reply = self.message(Flags::default(), gossip);
                self.send(to, &reply, out);
            }
        }
        let wants_full_state = self.should_request_full_state(now, message.digest);
        if wants_full_state || !requested_ids.is_empty() {
            let flags = Flags { wants_full_state, ..Flags::default() };
            let request = Message { requested_ids, ..self.message(flags, Gossip::default()) };
            self.send(to, &request, out);
        }
    }

    /// Whether to request the full state of a member now; if so, the time is recorded. It is requested if
    /// that member's view differs although this view is stable: one of the two has missed a record that is no
    /// longer retransmitted.
    fn should_request_full_state(&mut self, now: Duration, digest: u64) -> bool {
        let last_request = &mut self.synchronisation.last_request;
        let is_due =
            last_request.is_none_or(|requested| now >= requested + timing::FULL_STATE_REQUEST_INTERVAL);
        let views_differ = digest != self.agreement.digest && self.agreement.is_unchanged(now);
        let should_request = views_differ && self.local.status == MemberStatus::Ready && is_due;
        if should_request {
            *last_request = Some(now);
        }
        should_request
    }
}

fn age_of(heartbeat: &Heartbeat) -> Duration {
    Duration::from_millis(u64::from(heartbeat.age_ms))
}
