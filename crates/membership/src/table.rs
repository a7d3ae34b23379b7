//! The table of the other members: for each name one incarnation, its latest round and when that round was
//! first received.
//!
//! The rules of merging ([`merge`]) make all tables converge without coordination:
//!
//! - the higher of two incarnations of one name replaces the lower one for good. Of two processes with the
//!   same incarnation the one that was known first stays until it is gone; the two resolve the conflict
//!   between themselves ([`crate::name_conflict`]);
//! - the higher of two rounds of one incarnation replaces the lower one, with the time at which it was
//!   *first* received here, less its reported age. An equal round changes nothing: otherwise each exchange
//!   would make a dead member look younger by the network delay;
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

/// The maximum number of ids of superseded incarnations that are kept, so that their records are not
/// requested.
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

    /// The name of the member whose current incarnation has this id.
    pub fn name_by_id(&self, id: u64) -> Option<&str> {
        self.names_by_id.get(&id).map(String::as_str)
    }

    /// Whether this is the id of an incarnation that another one has superseded.
    pub fn has_tombstone(&self, id: u64) -> bool {
        self.tombstones.contains(&id)
    }

    /// The changes of state since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// A hash of the members that are not gone (suspects included) and of `own`. It is equal on all processes
    /// that know the same members.
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
