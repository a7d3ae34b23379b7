//! Which records and heartbeats a message carries.

use super::{MemberEntry, MemberTable};
use slipreel_protocol::membership::{
    Heartbeat, MemberRecord, MAX_HEARTBEAT_LEN, MAX_NAME_LEN, MAX_RECORD_LEN_WITHOUT_NAME,
};
use std::cmp::Reverse;
use std::time::Duration;

/// Bytes that an encoded heartbeat usually takes: rounds of some days and ages of some seconds.
const USUAL_HEARTBEAT_LEN: usize = 8 + 4 + 2;

/// Records and heartbeats for one message.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    /// Full records of members.
    pub records: Vec<MemberRecord>,
    /// Latest rounds of members.
    pub heartbeats: Vec<Heartbeat>,
}

impl Gossip {
    /// The most bytes that the lists take when encoded, each record having its heartbeat.
    pub fn max_encoded_len(&self) -> usize {
        self.records.iter().map(|record| max_encoded_len(record) + MAX_HEARTBEAT_LEN).sum()
    }

    fn push(&mut self, now: Duration, entry: &MemberEntry) {
        self.records.push(entry.record.clone());
        self.heartbeats.push(heartbeat_of(now, entry));
    }
}

impl MemberTable {
    /// Selects what goes into a message of at most `max_len` bytes: records that are still to be retransmitted, then
    /// heartbeats, the latest ones in one half of the capacity and randomly drawn ones in the other, so that in a large fleet
    /// no member's rounds wait for long. `random_index` draws an index below its argument.
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

    /// All members that are not gone.
    pub fn full_state(&self, now: Duration) -> Gossip {
        let mut gossip = Gossip::default();
        self.present().for_each(|entry| gossip.push(now, entry));
        gossip
    }

    /// The members with these ids, as far as they are known and fit in `max_len` bytes.
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

/// At most `capacity` of the entries: half of them the latest heard of, the others drawn at random.
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

/// The most bytes that an encoded record takes.
pub(crate) fn max_encoded_len(record: &MemberRecord) -> usize {
    MAX_RECORD_LEN_WITHOUT_NAME + record.name.len()
}

/// The heartbeat by which other members are told of an entry's latest round.
pub(crate) fn heartbeat_of(now: Duration, entry: &MemberEntry) -> Heartbeat {
    let age = now.saturating_sub(entry.last_heard).as_millis();
    Heartbeat { record_id: entry.id, round: entry.round, age_ms: u32::try_from(age).unwrap_or(u32::MAX) }
}
