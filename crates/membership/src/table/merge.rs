//! Merging of records and heartbeats that other members report. The documentation of the table states the
//! rules.

use super::{MemberChange, MemberEntry, MemberState, MemberTable, MergeOutcome, MAX_TOMBSTONES};
use crate::timing;
use slipreel_protocol::membership::MemberRecord;
use std::time::Duration;

/// How a reported record relates to the entry of its name.
enum Precedence {
    /// The record is of the known incarnation, which has this id.
    SameIncarnation(u64),
    /// The record replaces the entry, or is the first of its name.
    Replaces,
    /// The record is not merged.
    Rejected(MergeOutcome),
}

impl MemberTable {
    /// Merges a full record with its latest round, as reported by the member `reported_by`. The local
    /// member's own record is never in this table.
    pub fn merge_record(
        &mut self, now: Duration, record: &MemberRecord, round: u32, age: Duration, reported_by: &str,
    ) -> MergeOutcome {
        match self.precedence(record, age) {
            Precedence::Rejected(outcome) => outcome,
            Precedence::SameIncarnation(id) => {
                if record.has_left && self.mark_left(&record.name, reported_by) {
                    return MergeOutcome::Left;
                }
                self.merge_heartbeat(now, id, round, age, reported_by)
            }
            Precedence::Replaces => {
                self.replace(now, record, round, age, reported_by);
                MergeOutcome::New
            }
        }
    }

    fn precedence(&self, record: &MemberRecord, age: Duration) -> Precedence {
        let member_count = self.present_count() + 1;
        let Some(known) = self.entries.get(&record.name) else {
            if self.entries.len() >= timing::MAX_MEMBERS {
                return Precedence::Rejected(MergeOutcome::TableFull);
            }
            // Other members may still report a long-gone member that this one has forgotten; it is not added
            // again.
            if record.has_left || age >= timing::gone_after(member_count) {
                return Precedence::Rejected(MergeOutcome::Stale);
            }
            return Precedence::Replaces;
        };
        if known.record.incarnation != record.incarnation {
            return if known.record.incarnation > record.incarnation {
                Precedence::Rejected(MergeOutcome::Superseded)
            } else {
                Precedence::Replaces
            };
        }
        if known.record.nonce == record.nonce {
            return Precedence::SameIncarnation(known.id);
        }
        if known.state == MemberState::Gone && age < timing::suspect_after(member_count) {
            Precedence::Replaces
        } else {
            Precedence::Rejected(MergeOutcome::Superseded)
        }
    }

    /// Adds a record, or replaces the entry of its name by it.
    fn replace(
        &mut self, now: Duration, record: &MemberRecord, round: u32, age: Duration, reported_by: &str,
    ) {
        let member_count = self.present_count() + 1;
        let state = if record.has_left { MemberState::Gone } else { MemberState::Alive };
        let id = record.id();
        let entry = MemberEntry {
            id,
            record: record.clone(),
            round,
            last_heard: now.saturating_sub(age),
            state,
            state_since: now,
            reported_by: reported_by.to_owned(),
            retransmissions_left: timing::retransmissions(member_count),
        };
        let previous = self.entries.insert(record.name.clone(), entry);
        if let Some(previous) = &previous {
            self.names_by_id.remove(&previous.id);
            self.add_tombstone(previous.id);
        }
        self.names_by_id.insert(id, record.name.clone());
        self.changes.push(MemberChange {
            name: record.name.clone(),
            incarnation: record.incarnation,
            from: previous.map(|previous| previous.state),
            to: state,
            reason: format!("a new incarnation at {}, reported by {reported_by}", record.address),
        });
    }

    fn add_tombstone(&mut self, id: u64) {
        self.tombstones.push_back(id);
        if self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.pop_front();
        }
    }

    /// Merges the latest round of a known incarnation, by its id.
    pub fn merge_heartbeat(
        &mut self, now: Duration, id: u64, round: u32, age: Duration, reported_by: &str,
    ) -> MergeOutcome {
        let Some(entry) = self.names_by_id.get(&id).and_then(|name| self.entries.get_mut(name)) else {
            return MergeOutcome::Stale;
        };
        if round <= entry.round {
            return MergeOutcome::Unchanged;
        }
        entry.round = round;
        // The time never moves back: a later round may have taken a slower path.
        entry.last_heard = entry.last_heard.max(now.saturating_sub(age));
        reported_by.clone_into(&mut entry.reported_by);
        MergeOutcome::Advanced
    }

    /// Marks a member as having left, also where an operator declares it gone for good. Returns false if it
    /// is not known or has left already.
    pub fn mark_left(&mut self, name: &str, reported_by: &str) -> bool {
        let member_count = self.present_count() + 1;
        let Some(entry) = self.entries.get_mut(name).filter(|entry| !entry.record.has_left) else {
            return false;
        };
        entry.record.has_left = true;
        reported_by.clone_into(&mut entry.reported_by);
        entry.retransmissions_left = timing::retransmissions(member_count);
        true
    }
}
