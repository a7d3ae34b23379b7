//! Failure detection: which members are suspect or gone, from the age of their latest rounds.

use super::{MemberChange, MemberEntry, MemberState, MemberTable};
use crate::timing;
use std::time::Duration;

impl MemberTable {
    /// Works out the state of each member, and forgets members that have been gone for [`timing::GONE_MEMBER_RETENTION`] unless
    /// `retains` holds for them.
    pub fn update_states(&mut self, now: Duration, retains: impl Fn(&MemberEntry) -> bool) {
        let members = self.present_count() + 1;
        let suspect_after = timing::suspect_after(members);
        let gone_after = timing::gone_after(members);
        for entry in self.entries.values_mut() {
            let silence = now.saturating_sub(entry.last_heard);
            let state = match () {
                () if entry.record.has_left || silence >= gone_after => MemberState::Gone,
                () if silence >= suspect_after => MemberState::Suspect,
                () => MemberState::Alive,
            };
            // A gone member stays gone until its round advances: as the fleet grows the time limits grow too, which must
            // not turn it into a suspect again.
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
            let forgets = has_expired(entry) && !retains(entry);
            if forgets {
                names_by_id.remove(&entry.id);
            }
            !forgets
        });
    }

    /// Discounts a time in which this process did not run: that nothing was heard in it says nothing of the others.
    pub fn discount_suspension(&mut self, gap: Duration) {
        for entry in self.entries.values_mut().filter(|entry| entry.state != MemberState::Gone) {
            entry.last_heard += gap;
        }
    }
}

fn state_change(entry: &MemberEntry, to: MemberState, silence: Duration) -> MemberChange {
    let why = match to {
        MemberState::Gone if entry.record.has_left => format!("its goodbye, told by {}", entry.reported_by),
        MemberState::Gone | MemberState::Suspect => {
            format!("no round for {} ms, the last one told by {}", silence.as_millis(), entry.reported_by)
        }
        MemberState::Alive => format!("round {}, told by {}", entry.round, entry.reported_by),
    };
    MemberChange {
        name: entry.record.name.clone(),
        incarnation: entry.record.incarnation,
        from: Some(entry.state),
        to,
        why,
    }
}
