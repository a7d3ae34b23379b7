//! Selection of the records and heartbeats that a message carries.

use super::{MemberEntry, MemberTable};
use slipreel_protocol::membership::{
    Heartbeat, MemberRecord, MAX_HEARTBEAT_LEN, MAX_NAME_LEN, MAX_RECORD_LEN_WITHOUT_NAME,
};
use std::cmp::Reverse;
use std::time::Duration;

/// Usual length of an encoded heartbeat in bytes: its id, a round after a few days, and an age of a few
/// seconds.
const USUAL_HEARTBEAT_LEN: usize = 8 + 4 + 2;

/// The records and heartbeats of one message.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    /// Full records of members.
    pub records: Vec<MemberRecord>,
    /// Latest rounds of members.
    pub heartbeats: Vec<Heartbeat>,
}

impl Gossip {
    /// The maximum encoded length in bytes, if each record has its heartbeat and there are no other
    /// heartbeats.
    pub fn max_encoded_len(&self) -> usize {
        self.records.iter().map(|record| max_encoded_len(record) + MAX_HEARTBEAT_LEN).sum()
    }

    fn push(&mut self, now: Duration, entry: &MemberEntry) {
        self.records.push(entry.record.clone());
        self.heartbeats.push(heartbeat_of(now, entry));
    }
}

impl MemberTable {
    /// Selects records and heartbeats for a message, up to `max_len` bytes: first records that are still to
    /// be retransmitted, then heartbeats. Half of the heartbeats are the most recent ones and half are drawn
    /// at random, so that in a large fleet no member's rounds are delayed for long. `random_index` draws an
    /// index below its argument.
    pub fn select_gossip(
        &mut self, now: Duration, max_len: usize, random_index: impl FnMut(usize) -> usize,
    ) -> Gossip {
        let mut remaining_len = max_len;
        let mut gossip = Gossip::default();
        for entry in self.entries.values_mut().filter(|entry| entry.retransmissions_left > 0) {
            if remaining_len < max_len / 2 + MAX_RECORD_LEN_WITHOUT_NAME + MAX_NAME_LEN + MAX_HEARTBEAT_LEN {
                break;
            }
            entry.retransmissions_left -= 1;
            remaining_len -= max_encoded_len(&entry.record) + MAX_HEARTBEAT_LEN;
            gossip.push(now, entry);
        }
        let selected: Vec<u64> = gossip.heartbeats.iter().map(|heartbeat| heartbeat.record_id).collect();
        let others = self.present().filter(|entry| !selected.contains(&entry.id)).collect();
        let others = select_heartbeats(others, remaining_len / USUAL_HEARTBEAT_LEN, random_index);
        gossip.heartbeats.extend(others.into_iter().map(|entry| heartbeat_of(now, entry)));
        gossip
    }

    /// The records and heartbeats of all members that are not gone.
    pub fn full_state(&self, now: Duration) -> Gossip {
        let mut gossip = Gossip::default();
        self.present().for_each(|entry| gossip.push(now, entry));
        gossip
    }

    /// The records and heartbeats of the members with these ids, as far as they are known and fit in
    /// `max_len` bytes.
    pub fn records_by_id(&self, now: Duration, ids: &[u64], max_len: usize) -> Gossip {
        let mut remaining_len = max_len;
        let mut gossip = Gossip::default();
        for entry in ids.iter().filter_map(|id| self.entries.get(self.names_by_id.get(id)?)) {
            let len = max_encoded_len(&entry.record) + MAX_HEARTBEAT_LEN;
            if len > remaining_len {
                break;
            }
            remaining_len -= len;
            gossip.push(now, entry);
        }
        gossip
    }
}

/// Selects at most `capacity` entries: half of them with the most recent rounds, the others drawn at random.
fn select_heartbeats(
    mut entries: Vec<&MemberEntry>, capacity: usize, mut random_index: impl FnMut(usize) -> usize,
) -> Vec<&MemberEntry> {
    if entries.len() > capacity {
        let latest = capacity / 2;
        if latest > 0 {
            entries.select_nth_unstable_by_key(latest, |entry| Reverse(entry.last_heard));
        }
        for index in latest..capacity {
            let other = index + random_index(entries.len() - index);
            entries.swap(index, other);
        }
        entries.truncate(capacity);
    }
    entries
}

/// The maximum encoded length of a record, in bytes.
pub(crate) fn max_encoded_len(record: &MemberRecord) -> usize {
    MAX_RECORD_LEN_WITHOUT_NAME + record.name.len()
}

/// The heartbeat that reports an entry's latest round to other members.
pub(crate) fn heartbeat_of(now: Duration, entry: &MemberEntry) -> Heartbeat {
    let age = now.saturating_sub(entry.last_heard).as_millis();
    Heartbeat { record_id: entry.id, round: entry.round, age_ms: u32::try_from(age).unwrap_or(u32::MAX) }
}
