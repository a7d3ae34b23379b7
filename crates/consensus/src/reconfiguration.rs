//! Who votes. Up to [`timing::MAX_VOTERS`] routers all do; in a larger fleet those that were there first do, and the others learn from them.
//!
//! One membership changes at a time, and only while a majority of the members that come of it are held by routers that are there. A router that has
//! lost its folder takes its own membership again, as another voter: what it had promised is gone, so the old one must never speak again. A voter
//! that is only silent keeps its membership until an operator says that it is gone for good.

use crate::timing;
use crate::voter_identity::VoterIdentity;
use std::time::Duration;

/// A router that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveRouter {
    /// Name and disk; a disk of 0 is none, and can't hold promises.
    pub member: VoterIdentity,
    /// For how long it has held leases without a gap.
    pub held: Duration,
}

/// An operator's request to replace a voter that is gone for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterReplacement {
    /// The voter.
    pub old: String,
    /// Who takes its place, if that is said.
    pub new: Option<String>,
}

/// The members of the next configuration; `None`: they stay.
pub fn next(
    members: &[VoterIdentity], live: &[LiveRouter], replacing: Option<&VoterReplacement>,
) -> Option<Vec<VoterIdentity>> {
    let sits = |member: &VoterIdentity| members.iter().any(|s| s.name == member.name);
    let mut waiting: Vec<&LiveRouter> =
        live.iter().filter(|l| l.member.disk != 0 && !sits(&l.member)).collect();
    waiting.sort_by_key(|l| (std::cmp::Reverse(l.held), &l.member));
    if let Some(VoterReplacement { old, new }) = replacing {
        let at = members.iter().position(|s| s.name == *old)?;
        let mut changed = members.to_vec();
        changed.remove(at);
        let heir = waiting.iter().find(|l| new.as_ref().is_none_or(|n| l.member.name == *n));
        changed.extend(heir.map(|l| l.member.clone()));
        return sound(&changed, live).then_some(changed);
    }
    let lost = live.iter().find_map(|l| {
        let at = members.iter().position(|s| s.name == l.member.name && s.disk != l.member.disk)?;
        // Its old life may still hold a lease; that of the membership itself being there means that it is no loss.
        let there = live.iter().any(|other| other.member == members[at] && other.held > l.held);
        (l.member.disk != 0 && !there && l.held >= timing::MIN_LEASE_BEFORE_VOTING)
            .then(|| (at, l.member.clone()))
    });
    if let Some((at, member)) = lost {
        let mut changed = members.to_vec();
        changed[at] = member;
        return sound(&changed, live).then_some(changed);
    }
    let proven = waiting.iter().find(|l| l.held >= timing::MIN_LEASE_BEFORE_VOTING)?;
    if members.len() >= timing::MAX_VOTERS {
        return None;
    }
    let changed: Vec<VoterIdentity> = members.iter().cloned().chain([proven.member.clone()]).collect();
    sound(&changed, live).then_some(changed)
}

/// Whether a majority of these members are there.
fn sound(members: &[VoterIdentity], live: &[LiveRouter]) -> bool {
    let there = members.iter().filter(|s| live.iter().any(|l| l.member == **s)).count();
    !members.is_empty() && there > members.len() / 2
}

#[cfg(test)]
mod tests;
