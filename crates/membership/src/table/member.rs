//! What the table holds of one member, and what happens to it.

#[cfg(doc)]
use super::MemberTable;
use slipreel_protocol::membership::MemberRecord;
use std::fmt;
use std::time::Duration;

/// The state of a member as far as this process knows; the crate's documentation says what each state means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Its rounds advance.
    Alive,
    /// No new round was heard of for a while.
    Suspect,
    /// No new round was heard of for long, or it has left.
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

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The record of its present incarnation.
    pub record: MemberRecord,
    /// The record's [`MemberRecord::id`].
    pub id: u64,
    /// The latest round heard of.
    pub round: u32,
    /// When that round was first heard of here, less the age that it had then.
    pub last_heard: Duration,
    /// The state as of the last [`MemberTable::update_states`].
    pub state: MemberState,
    /// When it entered that state.
    pub state_since: Duration,
    /// The name of the member that last reported on it.
    pub reported_by: String,
    /// How many more messages carry its full record.
    pub(super) retransmissions_left: u32,
}

/// The outcome of merging a record or heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// A name or an incarnation that was not known.
    New,
    /// A later round of a known incarnation.
    Advanced,
    /// The member has left.
    Left,
    /// Nothing new.
    Unchanged,
    /// Another incarnation of this name takes precedence.
    Superseded,
    /// The table has no capacity for another name.
    TableFull,
    /// The member is not known and has been silent for so long that it counts as gone.
    Stale,
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The state before; `None`: the member was not known.
    pub from: Option<MemberState>,
    /// The state from now on.
    pub to: MemberState,
    /// The cause, for operators.
    pub why: String,
}
