//! What a member knows of the others: one life a name, how far it had come and when that was first heard of.
//!
//! The rules of merging are what makes all tables alike without anybody being asked:
//!
//! - of two lives of one name the higher incarnation stays, for good; of one incarnation the one that was known first stays until it is
//!   gone: which of the two may go on they settle themselves ([`crate::name_conflict`]);
//! - of two rounds of one life the higher stays, with the time at which it was *first* heard of here, less the age that was told. An equal
//!   round changes nothing: otherwise the age of a dead member would shrink by the time on the way each time that two tell each other;
//! - a goodbye is final for its life.

use crate::timing;
use slipreel_protocol::membership::{
    Heartbeat, MemberRecord, MAX_HEARTBEAT_LEN, MAX_NAME_LEN, MAX_RECORD_LEN_WITHOUT_NAME,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Numbers of lives that were followed by newer ones, kept so that nobody is asked for them.
const MAX_TOMBSTONES: usize = 512;

/// What is believed of a member; the crate's page says what each state claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It moves on.
    Alive,
    /// It has not moved on for a while.
    Suspect,
    /// It has not for long, or said goodbye.
    Gone,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Gone => "gone",
        })
    }
}

/// One member, as known.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Its life.
    pub record: MemberRecord,
    /// The life's number.
    pub id: u64,
    /// The furthest round heard of.
    pub round: u32,
    /// When that round was first heard of here, less its age then.
    pub last_heard: Duration,
    /// The state as it was last worked out.
    pub state: MemberState,
    /// Since when.
    pub since: Duration,
    /// Who told of it last.
    pub by: String,
    /// How often its life is still to be told in full.
    retransmissions_left: u32,
}

/// What came of something that was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// A name or a life that was not known.
    New,
    /// It has moved on.
    Advanced,
    /// It has said goodbye.
    Left,
    /// Known already.
    Unchanged,
    /// A newer life of this name is known.
    Superseded,
    /// There is no room for another name.
    TableFull,
    /// It has not moved on for so long that it is gone, and it was not known.
    Stale,
}

/// A change of what is believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Of whom.
    pub name: String,
    /// Of which incarnation.
    pub incarnation: u64,
    /// Before; `None`: not known.
    pub from: Option<MemberState>,
    /// Now.
    pub to: MemberState,
    /// From what it follows, for the staff.
    pub why: String,
}

/// The other members by name.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<String, MemberEntry>,
    names: HashMap<u64, String>,
    tombstones: VecDeque<u64>,
    changes: Vec<MemberChange>,
}

impl MemberTable {
    /// Everybody that is known, by name.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// One of them.
    pub fn get(&self, name: &str) -> Option<&MemberEntry> {
        self.entries.get(name)
    }

    /// How many are known that are not gone.
    pub fn present_count(&self) -> usize {
        self.entries.values().filter(|e| e.state != MemberState::Gone).count()
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nobody is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The name of a life by its number.
    pub fn name_by_id(&self, record: u64) -> Option<&str> {
        self.names.get(&record).map(String::as_str)
    }

    /// Whether a number is that of a life that a newer one has followed.
    pub fn has_tombstone(&self, record: u64) -> bool {
        self.tombstones.contains(&record)
    }

    /// What has changed since this was last asked.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Takes up a life that was told in full, with how far it had come. Its owner is not in this table.
    pub fn merge_record(
        &mut self, now: Duration, record: &MemberRecord, round: u32, age: Duration, by: &str,
    ) -> MergeOutcome {
        let members = self.present_count() + 1;
        let known = self.entries.get(&record.name).map(|e| (e.record.incarnation, e.record.nonce, e.id));
        let (incarnation, nonce) = (record.incarnation, record.nonce);
        match known {
            Some((i, ..)) if i > incarnation => return MergeOutcome::Superseded,
            Some((i, n, id)) if (i, n) == (incarnation, nonce) => {
                let entry = self.entries.get_mut(&record.name);
                if let Some(entry) = entry.filter(|e| record.has_left && !e.record.has_left) {
                    entry.record.has_left = true;
                    entry.by = by.to_owned();
                    entry.retransmissions_left = timing::retransmissions(members);
                    return MergeOutcome::Left;
                }
                return self.merge_heartbeat(now, id, round, age, by);
            }
            Some((i, ..)) if i == incarnation => {
                let free = self.entries.get(&record.name).is_some_and(|e| e.state == MemberState::Gone);
                if !free || age >= timing::suspect_after(members) {
                    return MergeOutcome::Superseded;
                }
            }
            None if self.entries.len() >= timing::MAX_MEMBERS => return MergeOutcome::TableFull,
            // Who is long gone is told of by those who have not forgotten it yet; it stays forgotten.
            None if record.has_left || age >= timing::gone_after(members) => return MergeOutcome::Stale,
            _ => {}
        }
        if let Some((.., id)) = known {
            self.names.remove(&id);
            self.tombstones.push_back(id);
            if self.tombstones.len() > MAX_TOMBSTONES {
                self.tombstones.pop_front();
            }
        }
        let before = self.entries.get(&record.name).map(|e| e.state);
        let entry = MemberEntry {
            id: record.id(),
            record: record.clone(),
            round,
            last_heard: now.saturating_sub(age),
            // Worked out with the next look, which tells of the change.
            state: before.unwrap_or(MemberState::Alive),
            since: now,
            by: by.to_owned(),
            retransmissions_left: timing::retransmissions(members),
        };
        self.changes.push(MemberChange {
            name: record.name.clone(),
            incarnation,
            from: before,
            to: if record.has_left { MemberState::Gone } else { MemberState::Alive },
            why: format!("a new life at {}, told by {by}", record.address),
        });
        self.names.insert(entry.id, record.name.clone());
        self.entries.insert(
            record.name.clone(),
            MemberEntry {
                state: if record.has_left { MemberState::Gone } else { MemberState::Alive },
                ..entry
            },
        );
        MergeOutcome::New
    }

    /// Takes up how far a known life had come.
    pub fn merge_heartbeat(
        &mut self, now: Duration, record: u64, round: u32, age: Duration, by: &str,
    ) -> MergeOutcome {
        let Some(entry) = self.names.get(&record).and_then(|name| self.entries.get_mut(name)) else {
            return MergeOutcome::Stale;
        };
        if round <= entry.round {
            return MergeOutcome::Unchanged;
        }
        entry.round = round;
        // Never back: a later round may come by a slower way.
        entry.last_heard = entry.last_heard.max(now.saturating_sub(age));
        by.clone_into(&mut entry.by);
        MergeOutcome::Advanced
    }

    /// An operator says that a member is gone for good: as if it had said goodbye.
    pub fn declare_left(&mut self, name: &str, by: &str) -> bool {
        let members = self.present_count() + 1;
        let Some(entry) = self.entries.get_mut(name).filter(|e| !e.record.has_left) else { return false };
        entry.record.has_left = true;
        by.clone_into(&mut entry.by);
        entry.retransmissions_left = timing::retransmissions(members);
        true
    }

    /// Works out the states. `keeps` says whom to go on listing although it is long gone.
    pub fn update_states(&mut self, now: Duration, keeps: impl Fn(&MemberEntry) -> bool) {
        let members = self.present_count() + 1;
        let (suspect, gone) = (timing::suspect_after(members), timing::gone_after(members));
        for entry in self.entries.values_mut() {
            let silent = now.saturating_sub(entry.last_heard);
            let to = match () {
                () if entry.record.has_left || silent >= gone => MemberState::Gone,
                () if silent >= suspect => MemberState::Suspect,
                () => MemberState::Alive,
            };
            // Gone stays gone until it moves on: a fleet that grows waits longer, and the dead don't rise for that.
            let waits = entry.state == MemberState::Gone && to == MemberState::Suspect;
            if to == entry.state || waits {
                continue;
            }
            let why = match to {
                MemberState::Gone if entry.record.has_left => format!("its goodbye, told by {}", entry.by),
                MemberState::Gone | MemberState::Suspect => {
                    format!("no round for {} ms, the last one told by {}", silent.as_millis(), entry.by)
                }
                MemberState::Alive => format!("round {}, told by {}", entry.round, entry.by),
            };
            let (name, incarnation) = (entry.record.name.clone(), entry.record.incarnation);
            self.changes.push(MemberChange { name, incarnation, from: Some(entry.state), to, why });
            (entry.state, entry.since) = (to, now);
        }
        let over: Vec<String> = self
            .entries
            .values()
            .filter(|e| {
                e.state == MemberState::Gone && now >= e.since + timing::GONE_MEMBER_RETENTION && !keeps(e)
            })
            .map(|e| e.record.name.clone())
            .collect();
        for name in over {
            if let Some(entry) = self.entries.remove(&name) {
                self.names.remove(&entry.id);
            }
        }
    }

    /// This process did not run for so long: that nothing was heard meanwhile says nothing.
    pub fn discount_suspension(&mut self, gap: Duration) {
        for entry in self.entries.values_mut().filter(|e| e.state != MemberState::Gone) {
            entry.last_heard += gap;
        }
    }

    /// A hash over who is there, the same on all who believe the same. Suspects count as there; who is gone is not in it.
    pub fn digest(&self, me: &MemberRecord) -> u64 {
        let mut hash = Xxh3::new();
        let mut add = |record: &MemberRecord| {
            hash.update(&(record.name.len() as u64).to_be_bytes());
            hash.update(record.name.as_bytes());
            hash.update(&record.incarnation.to_be_bytes());
            hash.update(&record.nonce.to_be_bytes());
            hash.update(record.address.to_string().as_bytes());
        };
        let others = self.entries.values().filter(|e| e.state != MemberState::Gone);
        let mut me = Some(me);
        for entry in others {
            if let Some(own) = me.take_if(|own| own.name < entry.record.name) {
                add(own);
            }
            add(&entry.record);
        }
        me.into_iter().for_each(add);
        hash.digest()
    }

    /// What goes into a message of at most `room` bytes: lives that are news, then how far lives had come, the latest rounds
    /// first in one half and by lot in the other, so that in a large fleet nobody's rounds wait for long.
    pub fn select_gossip(
        &mut self, now: Duration, room: usize, mut lot: impl FnMut(usize) -> usize,
    ) -> (Vec<MemberRecord>, Vec<Heartbeat>) {
        let mut left = room;
        let (mut records, mut heartbeats) = (Vec::new(), Vec::new());
        for entry in self.entries.values_mut().filter(|e| e.retransmissions_left > 0) {
            if left < room / 2 + MAX_RECORD_LEN_WITHOUT_NAME + MAX_NAME_LEN + MAX_HEARTBEAT_LEN {
                break;
            }
            entry.retransmissions_left -= 1;
            left -= size(&entry.record) + MAX_HEARTBEAT_LEN;
            heartbeats.push(heartbeat_of(now, entry));
            records.push(entry.record.clone());
        }
        let told: Vec<u64> = heartbeats.iter().map(|b: &Heartbeat| b.record_id).collect();
        let mut rest: Vec<&MemberEntry> =
            self.entries.values().filter(|e| e.state != MemberState::Gone && !told.contains(&e.id)).collect();
        let fits = left / BEAT_USUAL;
        if rest.len() > fits {
            let newest = fits / 2;
            if newest > 0 {
                rest.select_nth_unstable_by_key(newest, |e| std::cmp::Reverse(e.last_heard));
            }
            for at in newest..fits {
                let with = at + lot(rest.len() - at);
                rest.swap(at, with);
            }
            rest.truncate(fits);
        }
        heartbeats.extend(rest.into_iter().map(|e| heartbeat_of(now, e)));
        (records, heartbeats)
    }

    /// All that is known and not gone, for an exchange.
    pub fn full_state(&self, now: Duration) -> (Vec<MemberRecord>, Vec<Heartbeat>) {
        let known = || self.entries.values().filter(|e| e.state != MemberState::Gone);
        (known().map(|e| e.record.clone()).collect(), known().map(|e| heartbeat_of(now, e)).collect())
    }

    /// Lives by their numbers, as far as they are known and fit.
    pub fn records_by_id(
        &self, now: Duration, asked: &[u64], room: usize,
    ) -> (Vec<MemberRecord>, Vec<Heartbeat>) {
        let mut left = room;
        let (mut records, mut heartbeats) = (Vec::new(), Vec::new());
        for entry in asked.iter().filter_map(|id| self.entries.get(self.names.get(id)?)) {
            let need = size(&entry.record) + MAX_HEARTBEAT_LEN;
            if need > left {
                break;
            }
            left -= need;
            records.push(entry.record.clone());
            heartbeats.push(heartbeat_of(now, entry));
        }
        (records, heartbeats)
    }
}

/// Bytes that a beat takes as a rule: rounds of some days and ages of some seconds.
const BEAT_USUAL: usize = 8 + 4 + 2;

/// Bytes that a life takes at most.
pub(crate) fn size(record: &MemberRecord) -> usize {
    MAX_RECORD_LEN_WITHOUT_NAME + record.name.len()
}

pub(crate) fn heartbeat_of(now: Duration, entry: &MemberEntry) -> Heartbeat {
    let age = now.saturating_sub(entry.last_heard).as_millis();
    Heartbeat { record_id: entry.id, round: entry.round, age_ms: u32::try_from(age).unwrap_or(u32::MAX) }
}
