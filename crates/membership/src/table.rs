//! What a member knows of the others: for each name one incarnation, its latest round and when that was first heard of.
//!
//! The rules of merging ([`merge`]) make all tables converge without coordination:
//!
//! - of two incarnations of one name the higher one stays for good; of two processes with one incarnation the one that was known first
//!   stays until it is gone: which of the two may go on they settle themselves ([`crate::name_conflict`]);
//! - of two rounds of one incarnation the higher stays, with the time at which it was *first* heard of here, less the age that was
//!   reported. An equal round changes nothing: otherwise the age of a dead member would shrink by the network delay with each exchange;
//! - leaving is final for an incarnation.

mod dissemination;
mod member;
mod merge;
mod suspicion;

pub use dissemination::Gossip;
pub(crate) use dissemination::{heartbeat_of, max_encoded_len};
pub use member::{MemberChange, MemberEntry, MemberState, MergeOutcome};

use slipreel_protocol::membership::MemberRecord;
use std::collections::{BTreeMap, HashMap, VecDeque};
use xxhash_rust::xxh3::Xxh3;

/// Ids of superseded incarnations that are remembered, so that their records are not requested.
const MAX_TOMBSTONES: usize = 512;

/// The other members by name.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<String, MemberEntry>,
    names_by_id: HashMap<u64, String>,
    tombstones: VecDeque<u64>,
    changes: Vec<MemberChange>,
}

impl MemberTable {
    /// All known members, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// The known members that are not gone, sorted by name.
    pub fn present(&self) -> impl Iterator<Item = &MemberEntry> {
        self.iter().filter(|entry| entry.state != MemberState::Gone)
    }

    /// The member of this name.
    pub fn get(&self, name: &str) -> Option<&MemberEntry> {
        self.entries.get(name)
    }

    /// The number of known members that are not gone.
    pub fn present_count(&self) -> usize {
        self.present().count()
    }

    /// The number of known members.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The name of the member whose present incarnation has this id.
    pub fn name_by_id(&self, id: u64) -> Option<&str> {
        self.names_by_id.get(&id).map(String::as_str)
    }

    /// Whether an id is that of an incarnation that was superseded by another one.
    pub fn has_tombstone(&self, id: u64) -> bool {
        self.tombstones.contains(&id)
    }

    /// The changes of state since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// A hash over the members that are not gone, suspects and `own` included; equal on all processes that know the same members.
    pub fn digest(&self, own: &MemberRecord) -> u64 {
        let mut hash = Xxh3::new();
        let mut own = Some(own);
        for entry in self.present() {
            if let Some(own) = own.take_if(|own| own.name < entry.record.name) {
                hash_record(&mut hash, own);
            }
            hash_record(&mut hash, &entry.record);
        }
        own.into_iter().for_each(|own| hash_record(&mut hash, own));
        hash.digest()
    }
}

fn hash_record(hash: &mut Xxh3, record: &MemberRecord) {
    hash.update(&(record.name.len() as u64).to_be_bytes());
    hash.update(record.name.as_bytes());
    hash.update(&record.incarnation.to_be_bytes());
    hash.update(&record.nonce.to_be_bytes());
    hash.update(record.address.to_string().as_bytes());
}
