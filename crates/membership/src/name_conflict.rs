//! Two processes of one name: which one yields, and how a dead predecessor is told from a process that runs.
//!
//! The process of the higher incarnation holds the name. Of two with one incarnation, as where a second process is started without the
//! folder of the first, the one that has run for clearly longer holds it: a stray newcomer must not push out a router that serves. If they
//! started at about the same time, the higher nonce does.
//!
//! A process that learns of another one that holds its name is challenged: it may be a predecessor, whose folder was lost, or a process
//! that runs. A challenged process is not ready. If a round of the other was counted after this one's start, it runs, and this one yields
//! for good: which of two may run is for the operators to decide. If it stays silent for as long as makes a member gone, it was a
//! predecessor, and this one takes the next incarnation.

use crate::timing;
use slipreel_protocol::membership::MemberRecord;
use std::time::Duration;

/// Another process that holds this one's name.
#[derive(Clone, Debug)]
pub struct NameConflict {
    /// Its record.
    pub record: MemberRecord,
    /// Its latest round that was heard of.
    pub round: u32,
    /// When it was last seen to have moved on, on this process's clock: the latest estimate of all reports of it.
    pub last_heard: Duration,
}

/// What follows from a report of another process of the own name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConflictOutcome {
    /// This process holds the name; the other one has to yield.
    Holds,
    /// The other process takes precedence but may be dead: wait.
    Challenged,
    /// The other process runs and holds the name: this one yields.
    Yields,
}

/// A process and its latest round, which decide who holds a name.
#[derive(Clone, Copy, Debug)]
pub struct NameClaim<'a> {
    /// The record of the process.
    pub record: &'a MemberRecord,
    /// Its latest round; for another process the latest one heard of, which is never later than its true one.
    pub round: u32,
}

/// Rounds by which one of two processes with one incarnation has to lead to count as the older: 5 s, more than reports are usually late.
/// Each process sees itself further ahead of the other than it is, so both can't yield; one that sees it differently for a while holds the
/// name, and soon hears the other's true round.
const MIN_LEAD_ROUNDS: u32 = 25;

/// Whether the own claim takes precedence over another one.
fn takes_precedence(own: NameClaim<'_>, other: NameClaim<'_>) -> bool {
    if own.record.incarnation != other.record.incarnation {
        return own.record.incarnation > other.record.incarnation;
    }
    if own.round.abs_diff(other.round) > MIN_LEAD_ROUNDS {
        return own.round > other.round;
    }
    own.record.nonce > other.record.nonce
}

/// Evaluates a report, so long old, of another process of the own name; `conflict` keeps what is known of the holder. `started` is when
/// this process started.
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

/// Whether the holder has left or been silent for so long that the name is free, in a fleet of `members`.
pub fn is_resolved(now: Duration, conflict: &NameConflict, members: usize) -> bool {
    conflict.record.has_left || now.saturating_sub(conflict.last_heard) >= timing::gone_after(members)
}

#[cfg(test)]
mod tests;
