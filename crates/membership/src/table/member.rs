//! An entry of the table, and the outcomes and changes of merging.

#[cfg(doc)]
use super::MemberTable;
use slipreel_protocol::membership::MemberRecord;
use std::fmt;
use std::time::Duration;

/// The state of a member as far as this process knows. The crate's documentation explains each state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Its round advances.
    Alive,
    /// No new round was received for [`crate::timing::suspect_after`].
    Suspect,
    /// No new round was received for [`crate::timing::gone_after`], or the member has left.
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

/// What the table holds of one member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The record of its current incarnation.
    pub record: MemberRecord,
    /// The record's [`MemberRecord::id`].
    pub id: u64,
    /// The latest round that was received.
    pub round: u32,
    /// When that round was first received here, less the age that was reported with it.
    pub last_heard: Duration,
    /// The state as of the last [`MemberTable::update_states`].
    pub state: MemberState,
    /// When the member entered that state.
    pub state_since: Duration,
    /// The name of the member that reported the latest round, or that the member left.
    pub reported_by: String,
    /// The number of further messages that carry the full record.
    pub(super) retransmissions_left: u32,
}

/// The outcome of merging a record or heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The name or incarnation was not known and was added.
    New,
    /// The round of a known incarnation advanced.
    Advanced,
    /// The member has left.
    Left,
    /// The report contained nothing new.
    Unchanged,
    /// Another incarnation of this name takes precedence.
    Superseded,
    /// The table is full, and the name was not known.
    TableFull,
    /// An unknown member that has left or whose round is so old that it counts as gone, or a heartbeat of an
    /// unknown id.
    Stale,
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The state before, or `None` if the member was not known.
    pub from: Option<MemberState>,
    /// The state after the change.
    pub to: MemberState,
    /// The reason, for the log.
    pub reason: String,
}
