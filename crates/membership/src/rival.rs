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

use crate::pace;
use slipreel_protocol::membership::MemberRecord;
use std::time::Duration;

/// Another process of this one's name that holds it.
#[derive(Clone, Debug)]
pub struct Rival {
    /// Its life.
    pub life: MemberRecord,
    /// The furthest round heard of.
    pub round: u32,
    /// When it was last heard to have moved on, on this process's clock.
    pub heard: Duration,
}

/// What follows from news of one's own name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing: the other has to yield and will be told so.
    Holds,
    /// Wait: it may be dead or alive.
    Challenged,
    /// It lives and holds the name.
    Yields,
}

/// A life and how far it has come.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// The life.
    pub life: &'a MemberRecord,
    /// Its rounds; of another's those that were heard of, which are never more than it has counted.
    pub round: u32,
}

/// Rounds by which one of two lives of one incarnation has to be ahead to count as the older: 5 s, more than news are late as a rule. Each sees
/// itself further ahead of the other than it is, so that it can't be that both yield; who sees it differently for a while
/// holds, and hears the other's true round soon.
const AHEAD: u32 = 25;

/// Whether one's own claim stands against another's.
fn stands(own: Claim<'_>, other: Claim<'_>) -> bool {
    if own.life.incarnation != other.life.incarnation {
        return own.life.incarnation > other.life.incarnation;
    }
    if own.round.abs_diff(other.round) > AHEAD {
        return own.round > other.round;
    }
    own.life.nonce > other.life.nonce
}

/// Weighs news of another life of one's own name; keeps what is known of it in `rival`.
pub fn weigh(
    now: Duration, started: Duration, own: Claim<'_>, rival: &mut Option<Rival>, told: Claim<'_>,
    age: Duration,
) -> Verdict {
    if stands(own, told) {
        return Verdict::Holds;
    }
    let heard = now.saturating_sub(age);
    match rival {
        Some(known) if known.life.id() == told.life.id() => {
            known.heard = known.heard.max(heard);
            known.round = known.round.max(told.round);
            known.life.has_left |= told.life.has_left;
        }
        Some(known) if known.life.incarnation > told.life.incarnation => {}
        _ => *rival = Some(Rival { life: told.life.clone(), round: told.round, heard }),
    }
    let records = rival.as_ref().is_some_and(|r| !r.life.has_left && r.heard > started + pace::LATE_NEWS);
    if records {
        Verdict::Yields
    } else {
        Verdict::Challenged
    }
}

/// Whether a rival has been silent for so long that the name is free, in a fleet of so many.
pub fn is_over(now: Duration, rival: &Rival, members: usize) -> bool {
    rival.life.has_left || now.saturating_sub(rival.heard) >= pace::gone_after(members)
}

#[cfg(test)]
mod tests;
