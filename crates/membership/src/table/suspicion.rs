//! Failure detection: which members are suspect or gone, from the age of their latest rounds.

use super::{MemberChange, MemberEntry, MemberState, MemberTable};
use crate::timing;
use std::time::Duration;

impl MemberTable {
    /// Updates the state of each member. Forgets members that have been gone for
    /// [`timing::GONE_MEMBER_RETENTION`], unless `retains` is true for them.
    pub fn update_states(&mut self, now: Duration, retains: impl Fn(&MemberEntry) -> bool) {
        let member_count = self.present_count() + 1;
        let suspect_after = timing::suspect_after(member_count);
        let gone_after = timing::gone_after(member_count);
        for entry in self.entries.values_mut() {
            let silence = now.saturating_sub(entry.last_heard);
            let state = match () {
                () if entry.record.has_left || silence >= gone_after => MemberState::Gone,
                () if silence >= suspect_after => MemberState::Suspect,
                () => MemberState::Alive,
            };
            // A gone member stays gone until its round advances: the time limits grow with the fleet, which
            // must not make it a suspect again.
            let stays_gone = entry.state == MemberState::Gone && state == MemberState::Suspect;
            if state != entry.state && !stays_gone {
                self.changes.push(state_change(entry, state, silence));
                entry.state = state;
                entry.state_since = now;
            }
        }
        self.forget_gone_members(now, retains);
    }

    fn forget_gone_members(&mut self, now: Duration, retains: impl Fn(&MemberEntry) -> bool) {
        let has_expired = |entry: &MemberEntry| {
            entry.state == MemberState::Gone && now >= entry.state_since + timing::GONE_MEMBER_RETENTION
        };
        let names_by_id = &mut self.names_by_id;
        self.entries.retain(|_, entry| {
            let is_forgotten = has_expired(entry) && !retains(entry);
            if is_forgotten {
                names_by_id.remove(&entry.id);
            }
            !is_forgotten
        });
    }

    /// Discounts a time in which this process was suspended: the silence of other members in it does not
    /// count.
    pub fn discount_suspension(&mut self, gap: Duration) {
        for entry in self.entries.values_mut().filter(|entry| entry.state != MemberState::Gone) {
            entry.last_heard += gap;
        }
    }
}

fn state_change(entry: &MemberEntry, to: MemberState, silence: Duration) -> MemberChange {
    let reason = match to {
        MemberState::Gone if entry.record.has_left => format!("it left, reported by {}", entry.reported_by),
        MemberState::Gone | MemberState::Suspect => {
            format!("no round for {} ms, the last one reported by {}", silence.as_millis(), entry.reported_by)
        }
        MemberState::Alive => format!("round {}, reported by {}", entry.round, entry.reported_by),
    };
    MemberChange {
        name: entry.record.name.clone(),
        incarnation: entry.record.incarnation,
        from: Some(entry.state),
        to,
        reason,
    }
}
