//! Two processes of one name: which one yields, and how a predecessor that is dead is told from a twin that lives.
//!
//! Of two lives the one of the higher incarnation holds the name. Of one incarnation, as where a second process is started without the folder of
//! the first, the one that has run for clearly longer holds it: a stray newcomer is not to push out a router that serves. Started at about one
//! time, the higher nonce does.
//!
//! Who learns of another life that holds its name is challenged: it may be a predecessor, where the folder was lost, or a twin. A challenged
//! process is not ready. If the other is heard to have moved on since this one's start, it lives, and this one yields for good: which of two may
//! run is the operators' affair. If it stays silent for as long as makes a member gone, it was a predecessor, and this one takes the
//! next incarnation.

use crate::timing;
use slipreel_protocol::membership::MemberRecord;
use std::time::Duration;

/// Another process of this one's name that holds it.
#[derive(Clone, Debug)]
pub struct NameConflict {
    /// Its life.
    pub record: MemberRecord,
    /// The furthest round heard of.
    pub round: u32,
    /// When it was last heard to have moved on, on this process's clock.
    pub last_heard: Duration,
}

/// What follows from news of one's own name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConflictOutcome {
    /// Nothing: the other has to yield and will be told so.
    Holds,
    /// Wait: it may be dead or alive.
    Challenged,
    /// It lives and holds the name.
    Yields,
}

/// A life and how far it has come.
#[derive(Clone, Copy, Debug)]
pub struct NameClaim<'a> {
    /// The life.
    pub record: &'a MemberRecord,
    /// Its rounds; of another's those that were heard of, which are never more than it has counted.
    pub round: u32,
}

/// Rounds by which one of two lives of one incarnation has to be ahead to count as the older: 5 s, more than news are late as a rule. Each sees
/// itself further ahead of the other than it is, so that it can't be that both yield; who sees it differently for a while
/// holds, and hears the other's true round soon.
const AHEAD: u32 = 25;

/// Whether one's own claim stands against another's.
fn takes_precedence(own: NameClaim<'_>, other: NameClaim<'_>) -> bool {
    if own.record.incarnation != other.record.incarnation {
        return own.record.incarnation > other.record.incarnation;
    }
    if own.round.abs_diff(other.round) > AHEAD {
        return own.round > other.round;
    }
    own.record.nonce > other.record.nonce
}

/// Weighs news of another life of one's own name; keeps what is known of it in `rival`.
pub fn evaluate_claim(
    now: Duration, started: Duration, own: NameClaim<'_>, conflict: &mut Option<NameConflict>,
    told: NameClaim<'_>, age: Duration,
) -> ConflictOutcome {
    if takes_precedence(own, told) {
        return ConflictOutcome::Holds;
    }
    let last_heard = now.saturating_sub(age);
    match conflict {
        Some(known) if known.record.id() == told.record.id() => {
            known.last_heard = known.last_heard.max(last_heard);
            known.round = known.round.max(told.round);
            known.record.has_left |= told.record.has_left;
        }
        Some(known) if known.record.incarnation > told.record.incarnation => {}
        _ => *conflict = Some(NameConflict { record: told.record.clone(), round: told.round, last_heard }),
    }
    let is_alive = conflict
        .as_ref()
        .is_some_and(|r| !r.record.has_left && r.last_heard > started + timing::DELAYED_MESSAGE_MARGIN);
    if is_alive {
        ConflictOutcome::Yields
    } else {
        ConflictOutcome::Challenged
    }
}

/// Whether a rival has been silent for so long that the name is free, in a fleet of so many.
pub fn is_resolved(now: Duration, conflict: &NameConflict, members: usize) -> bool {
    conflict.record.has_left || now.saturating_sub(conflict.last_heard) >= timing::gone_after(members)
}

#[cfg(test)]
mod tests;
