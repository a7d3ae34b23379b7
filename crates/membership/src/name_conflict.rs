//! Conflicts between two processes of one name: which one yields, and how a dead predecessor is distinguished
//! from a running process.
//!
//! The process of the higher incarnation holds the name. Two processes can have the same incarnation, for
//! example if the second was started without the folder of the first. Then the one that has run for clearly
//! longer holds the name, so that a process started by mistake does not displace a router that serves. If
//! they started at about the same time, the one with the higher nonce holds it.
//!
//! A process that learns of another one that holds its name is challenged, and not ready. The other one may
//! be a predecessor whose folder was lost, or a running process. If it counted a round after this process
//! started, it runs, and this process yields for good: operators have to decide which of the two may run. If
//! it stays silent for as long as makes a member gone, it was a predecessor, and this process takes the next
//! incarnation.

use crate::timing;
use slipreel_protocol::membership::MemberRecord;
use std::time::Duration;

/// Another process that holds this one's name.
#[derive(Clone, Debug)]
pub struct NameConflict {
    /// The record of that process.
    pub record: MemberRecord,
    /// The latest round of it that was received.
    pub round: u32,
    /// When its round last advanced, on this process's clock: the latest estimate from all reports.
    pub last_heard: Duration,
}

/// The outcome of a report that another process has this one's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConflictOutcome {
    /// This process holds the name, and the other one must yield.
    Holds,
    /// The other process takes precedence but may be dead: this process waits.
    Challenged,
    /// The other process runs and holds the name: this process yields.
    Yields,
}

/// A process's claim to a name, which is compared with that of another process.
#[derive(Clone, Copy, Debug)]
pub struct NameClaim<'a> {
    /// The record of the process.
    pub record: &'a MemberRecord,
    /// Its latest round. For another process this is the latest one received, which is never ahead of its
    /// current one.
    pub round: u32,
}

/// Of two processes with the same incarnation, one that is ahead by more than this many rounds counts as the
/// older one. That is 5 s, longer than reports are usually delayed. As reports are delayed, each process sees
/// itself further ahead than it is, so the two can't both yield. Both may hold the name for a while, until
/// one receives the other's current round.
const MIN_LEAD_ROUNDS: u32 = 25;

/// Whether this process's claim takes precedence over another one.
fn takes_precedence(own: NameClaim<'_>, other: NameClaim<'_>) -> bool {
    if own.record.incarnation != other.record.incarnation {
        return own.record.incarnation > other.record.incarnation;
    }
    if own.round.abs_diff(other.round) > MIN_LEAD_ROUNDS {
        return own.round > other.round;
    }
    own.record.nonce > other.record.nonce
}

/// Evaluates a report of another process of this one's name. `age` is the age of the report, `started` the
/// time at which this process started, and `conflict` what is known of the holder, which is updated.
pub fn evaluate_claim(
    now: Duration, started: Duration, own: NameClaim<'_>, conflict: &mut Option<NameConflict>,
    reported: NameClaim<'_>, age: Duration,
) -> ConflictOutcome {
    if takes_precedence(own, reported) {
        return ConflictOutcome::Holds;
    }
    let last_heard = now.saturating_sub(age);
    match conflict {
        Some(known) if known.record.id() == reported.record.id() => {
            known.last_heard = known.last_heard.max(last_heard);
            known.round = known.round.max(reported.round);
            known.record.has_left |= reported.record.has_left;
        }
        Some(known) if known.record.incarnation > reported.record.incarnation => {}
        _ => {
            let record = reported.record.clone();
            *conflict = Some(NameConflict { record, round: reported.round, last_heard });
        }
    }
    let runs = |holder: &NameConflict| {
        !holder.record.has_left && holder.last_heard > started + timing::DELAYED_MESSAGE_MARGIN
    };
    if conflict.as_ref().is_some_and(runs) {
        ConflictOutcome::Yields
    } else {
        ConflictOutcome::Challenged
    }
}

/// Whether the holder has left or been silent for so long that the name is free, in a fleet of this many
/// members.
pub fn is_resolved(now: Duration, conflict: &NameConflict, member_count: usize) -> bool {
    conflict.record.has_left || now.saturating_sub(conflict.last_heard) >= timing::gone_after(member_count)
}

#[cfg(test)]
mod tests;
