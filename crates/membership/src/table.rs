//! What a member knows of the others: one life a name, how far it had come and when that was first heard of.
//!
//! The rules of merging are what makes all tables alike without anybody being asked:
//!
//! - of two lives of one name the higher incarnation stays, for good; of one incarnation the one that was known first stays until it is
//!   gone: which of the two may go on they settle themselves ([`crate::rival`]);
//! - of two rounds of one life the higher stays, with the time at which it was *first* heard of here, less the age that was told. An equal
//!   round changes nothing: otherwise the age of a dead member would shrink by the time on the way each time that two tell each other;
//! - a goodbye is final for its life.

use crate::pace;
use slipreel_protocol::membership::{
    Heartbeat, MemberRecord, MAX_HEARTBEAT_LEN, MAX_NAME_LEN, MAX_RECORD_LEN_WITHOUT_NAME,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Numbers of lives that were followed by newer ones, kept so that nobody is asked for them.
const BURIED: usize = 512;

/// What is believed of a member; the crate's page says what each state claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It moves on.
    Alive,
    /// It has not moved on for a while.
    Suspect,
    /// It has not for long, or said goodbye.
    Gone,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Gone => "gone",
        })
    }
}

/// One member, as known.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its life.
    pub life: MemberRecord,
    /// The life's number.
    pub id: u64,
    /// The furthest round heard of.
    pub round: u32,
    /// When that round was first heard of here, less its age then.
    pub heard: Duration,
    /// The state as it was last worked out.
    pub state: State,
    /// Since when.
    pub since: Duration,
    /// Who told of it last.
    pub by: String,
    /// How often its life is still to be told in full.
    tellings: u32,
}

/// What came of something that was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learnt {
    /// A name or a life that was not known.
    New,
    /// It has moved on.
    Further,
    /// It has said goodbye.
    Goodbye,
    /// Known already.
    Known,
    /// A newer life of this name is known.
    Older,
    /// There is no room for another name.
    Full,
    /// It has not moved on for so long that it is gone, and it was not known.
    Stale,
}

/// A change of what is believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Of whom.
    pub name: String,
    /// Of which incarnation.
    pub incarnation: u64,
    /// Before; `None`: not known.
    pub from: Option<State>,
    /// Now.
    pub to: State,
    /// From what it follows, for the staff.
    pub why: String,
}

/// The other members by name.
#[derive(Debug, Default)]
pub struct Table {
    entries: BTreeMap<String, Entry>,
    names: HashMap<u64, String>,
    buried: VecDeque<u64>,
    changes: Vec<Change>,
}

impl Table {
    /// Everybody that is known, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// One of them.
    pub fn get(&self, name: &str) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// How many are known that are not gone.
    pub fn present(&self) -> usize {
        self.entries.values().filter(|e| e.state != State::Gone).count()
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
    pub fn name_of(&self, life: u64) -> Option<&str> {
        self.names.get(&life).map(String::as_str)
    }

    /// Whether a number is that of a life that a newer one has followed.
    pub fn is_buried(&self, life: u64) -> bool {
        self.buried.contains(&life)
    }

    /// What has changed since this was last asked.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Takes up a life that was told in full, with how far it had come. Its owner is not in this table.
    pub fn learn(
        &mut self, now: Duration, life: &MemberRecord, round: u32, age: Duration, by: &str,
    ) -> Learnt {
        let members = self.present() + 1;
        let known = self.entries.get(&life.name).map(|e| (e.life.incarnation, e.life.nonce, e.id));
        let (incarnation, nonce) = (life.incarnation, life.nonce);
        match known {
            Some((i, ..)) if i > incarnation => return Learnt::Older,
            Some((i, n, id)) if (i, n) == (incarnation, nonce) => {
                let entry = self.entries.get_mut(&life.name);
                if let Some(entry) = entry.filter(|e| life.has_left && !e.life.has_left) {
                    entry.life.has_left = true;
                    entry.by = by.to_owned();
                    entry.tellings = pace::tellings(members);
                    return Learnt::Goodbye;
                }
                return self.heartbeat(now, id, round, age, by);
            }
            Some((i, ..)) if i == incarnation => {
                let free = self.entries.get(&life.name).is_some_and(|e| e.state == State::Gone);
                if !free || age >= pace::suspect_after(members) {
                    return Learnt::Older;
                }
            }
            None if self.entries.len() >= pace::MEMBERS => return Learnt::Full,
            // Who is long gone is told of by those who have not forgotten it yet; it stays forgotten.
            None if life.has_left || age >= pace::gone_after(members) => return Learnt::Stale,
            _ => {}
        }
        if let Some((.., id)) = known {
            self.names.remove(&id);
            self.buried.push_back(id);
            if self.buried.len() > BURIED {
                self.buried.pop_front();
            }
        }
        let before = self.entries.get(&life.name).map(|e| e.state);
        let entry = Entry {
            id: life.id(),
            life: life.clone(),
            round,
            heard: now.saturating_sub(age),
            // Worked out with the next look, which tells of the change.
            state: before.unwrap_or(State::Alive),
            since: now,
            by: by.to_owned(),
            tellings: pace::tellings(members),
        };
        self.changes.push(Change {
            name: life.name.clone(),
            incarnation,
            from: before,
            to: if life.has_left { State::Gone } else { State::Alive },
            why: format!("a new life at {}, told by {by}", life.address),
        });
        self.names.insert(entry.id, life.name.clone());
        self.entries.insert(
            life.name.clone(),
            Entry { state: if life.has_left { State::Gone } else { State::Alive }, ..entry },
        );
        Learnt::New
    }

    /// Takes up how far a known life had come.
    pub fn heartbeat(&mut self, now: Duration, life: u64, round: u32, age: Duration, by: &str) -> Learnt {
        let Some(entry) = self.names.get(&life).and_then(|name| self.entries.get_mut(name)) else {
            return Learnt::Stale;
        };
        if round <= entry.round {
            return Learnt::Known;
        }
        entry.round = round;
        // Never back: a later round may come by a slower way.
        entry.heard = entry.heard.max(now.saturating_sub(age));
        by.clone_into(&mut entry.by);
        Learnt::Further
    }

    /// An operator says that a member is gone for good: as if it had said goodbye.
    pub fn forget(&mut self, name: &str, by: &str) -> bool {
        let members = self.present() + 1;
        let Some(entry) = self.entries.get_mut(name).filter(|e| !e.life.has_left) else { return false };
        entry.life.has_left = true;
        by.clone_into(&mut entry.by);
        entry.tellings = pace::tellings(members);
        true
    }

    /// Works out the states. `keeps` says whom to go on listing although it is long gone.
    pub fn look(&mut self, now: Duration, keeps: impl Fn(&Entry) -> bool) {
        let members = self.present() + 1;
        let (suspect, gone) = (pace::suspect_after(members), pace::gone_after(members));
        for entry in self.entries.values_mut() {
            let silent = now.saturating_sub(entry.heard);
            let to = match () {
                () if entry.life.has_left || silent >= gone => State::Gone,
                () if silent >= suspect => State::Suspect,
                () => State::Alive,
            };
            // Gone stays gone until it moves on: a fleet that grows waits longer, and the dead don't rise for that.
            let waits = entry.state == State::Gone && to == State::Suspect;
            if to == entry.state || waits {
                continue;
            }
            let why = match to {
                State::Gone if entry.life.has_left => format!("its goodbye, told by {}", entry.by),
                State::Gone | State::Suspect => {
                    format!("no round for {} ms, the last one told by {}", silent.as_millis(), entry.by)
                }
                State::Alive => format!("round {}, told by {}", entry.round, entry.by),
            };
            let (name, incarnation) = (entry.life.name.clone(), entry.life.incarnation);
            self.changes.push(Change { name, incarnation, from: Some(entry.state), to, why });
            (entry.state, entry.since) = (to, now);
        }
        let over: Vec<String> = self
            .entries
            .values()
            .filter(|e| e.state == State::Gone && now >= e.since + pace::FORGET && !keeps(e))
            .map(|e| e.life.name.clone())
            .collect();
        for name in over {
            if let Some(entry) = self.entries.remove(&name) {
                self.names.remove(&entry.id);
            }
        }
    }

    /// This process did not run for so long: that nothing was heard meanwhile says nothing.
    pub fn slept(&mut self, gap: Duration) {
        for entry in self.entries.values_mut().filter(|e| e.state != State::Gone) {
            entry.heard += gap;
        }
    }

    /// A hash over who is there, the same on all who believe the same. Suspects count as there; who is gone is not in it.
    pub fn digest(&self, me: &MemberRecord) -> u64 {
        let mut hash = Xxh3::new();
        let mut add = |life: &MemberRecord| {
            hash.update(&(life.name.len() as u64).to_be_bytes());
            hash.update(life.name.as_bytes());
            hash.update(&life.incarnation.to_be_bytes());
            hash.update(&life.nonce.to_be_bytes());
            hash.update(life.address.to_string().as_bytes());
        };
        let others = self.entries.values().filter(|e| e.state != State::Gone);
        let mut me = Some(me);
        for entry in others {
            if let Some(own) = me.take_if(|own| own.name < entry.life.name) {
                add(own);
            }
            add(&entry.life);
        }
        me.into_iter().for_each(add);
        hash.digest()
    }

    /// What goes into a message of at most `room` bytes: lives that are news, then how far lives had come, the latest rounds
    /// first in one half and by lot in the other, so that in a large fleet nobody's rounds wait for long.
    pub fn tell(
        &mut self, now: Duration, room: usize, mut lot: impl FnMut(usize) -> usize,
    ) -> (Vec<MemberRecord>, Vec<Heartbeat>) {
        let mut left = room;
        let (mut records, mut heartbeats) = (Vec::new(), Vec::new());
        for entry in self.entries.values_mut().filter(|e| e.tellings > 0) {
            if left < room / 2 + MAX_RECORD_LEN_WITHOUT_NAME + MAX_NAME_LEN + MAX_HEARTBEAT_LEN {
                break;
            }
            entry.tellings -= 1;
            left -= size(&entry.life) + MAX_HEARTBEAT_LEN;
            heartbeats.push(heartbeat_of(now, entry));
            records.push(entry.life.clone());
        }
        let told: Vec<u64> = heartbeats.iter().map(|b: &Heartbeat| b.record_id).collect();
        let mut rest: Vec<&Entry> =
            self.entries.values().filter(|e| e.state != State::Gone && !told.contains(&e.id)).collect();
        let fits = left / BEAT_USUAL;
        if rest.len() > fits {
            let newest = fits / 2;
            if newest > 0 {
                rest.select_nth_unstable_by_key(newest, |e| std::cmp::Reverse(e.heard));
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
    pub fn tell_all(&self, now: Duration) -> (Vec<MemberRecord>, Vec<Heartbeat>) {
        let known = || self.entries.values().filter(|e| e.state != State::Gone);
        (known().map(|e| e.life.clone()).collect(), known().map(|e| heartbeat_of(now, e)).collect())
    }

    /// Lives by their numbers, as far as they are known and fit.
    pub fn tell_asked(
        &self, now: Duration, asked: &[u64], room: usize,
    ) -> (Vec<MemberRecord>, Vec<Heartbeat>) {
        let mut left = room;
        let (mut records, mut heartbeats) = (Vec::new(), Vec::new());
        for entry in asked.iter().filter_map(|id| self.entries.get(self.names.get(id)?)) {
            let need = size(&entry.life) + MAX_HEARTBEAT_LEN;
            if need > left {
                break;
            }
            left -= need;
            records.push(entry.life.clone());
            heartbeats.push(heartbeat_of(now, entry));
        }
        (records, heartbeats)
    }
}

/// Bytes that a beat takes as a rule: rounds of some days and ages of some seconds.
const BEAT_USUAL: usize = 8 + 4 + 2;

/// Bytes that a life takes at most.
pub(crate) fn size(life: &MemberRecord) -> usize {
    MAX_RECORD_LEN_WITHOUT_NAME + life.name.len()
}

pub(crate) fn heartbeat_of(now: Duration, entry: &Entry) -> Heartbeat {
    let age = now.saturating_sub(entry.heard).as_millis();
    Heartbeat { record_id: entry.id, round: entry.round, age_ms: u32::try_from(age).unwrap_or(u32::MAX) }
}
