//! Selects the voters. In a fleet of up to [`timing::MAX_VOTERS`] routers, all routers vote; in a larger one,
//! those that joined first vote and the others learn from them.
//!
//! A reconfiguration changes one voter, and only while a majority of the new voters is live. A router that
//! has lost its disk becomes a voter under a new identity in place of the old one: its promises are lost, so
//! the old identity must never vote again. A voter that is merely silent remains a voter until an operator
//! replaces it.

use crate::timing;
use crate::voter_identity::VoterIdentity;
use std::time::Duration;

/// A router that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveRouter {
    /// Its name and disk. Disk 0 means that it has none and can't store promises.
    pub identity: VoterIdentity,
    /// How long it has held leases without interruption.
    pub held_for: Duration,
}

impl LiveRouter {
    /// Whether it has held leases for long enough to become a voter, see [`timing::MIN_LEASE_BEFORE_VOTING`].
    fn has_min_lease_time(&self) -> bool {
        self.held_for >= timing::MIN_LEASE_BEFORE_VOTING
    }

    fn has_disk(&self) -> bool {
        self.identity.disk != 0
    }
}

/// An operator's request to replace a voter that is gone for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterReplacement {
    /// The name of the voter.
    pub old: String,
    /// The name of the router that takes its place; `None`: the one that has held leases longest.
    pub new: Option<String>,
}

/// The voters of the next configuration; `None`: the voters do not change.
pub fn next_voters(
    voters: &[VoterIdentity], live: &[LiveRouter], replacement: Option<&VoterReplacement>,
) -> Option<Vec<VoterIdentity>> {
    let candidates = candidates(voters, live);
    let changed = match replacement {
        Some(replacement) => replace_voter(voters, &candidates, replacement)?,
        None => match replace_lost_disk(voters, live) {
            Some(changed) => changed,
            None => add_voter(voters, &candidates)?,
        },
    };
    has_live_majority(&changed, live).then_some(changed)
}

/// Live routers with a disk that are not voters; the one that has held leases longest comes first.
fn candidates<'a>(voters: &[VoterIdentity], live: &'a [LiveRouter]) -> Vec<&'a LiveRouter> {
    let is_voter = |router: &LiveRouter| voters.iter().any(|voter| voter.name == router.identity.name);
    let mut candidates: Vec<&LiveRouter> =
        live.iter().filter(|router| router.has_disk() && !is_voter(router)).collect();
    candidates.sort_by_key(|router| (std::cmp::Reverse(router.held_for), &router.identity));
    candidates
}

/// The voters without the one that an operator replaces, and with its successor if there is one.
fn replace_voter(
    voters: &[VoterIdentity], candidates: &[&LiveRouter], replacement: &VoterReplacement,
) -> Option<Vec<VoterIdentity>> {
    let VoterReplacement { old, new } = replacement;
    let index = voters.iter().position(|voter| voter.name == *old)?;
    let is_wanted = |router: &LiveRouter| new.as_ref().is_none_or(|new| router.identity.name == *new);
    let successor = candidates.iter().find(|router| is_wanted(router));
    let mut changed = voters.to_vec();
    changed.remove(index);
    changed.extend(successor.map(|router| router.identity.clone()));
    Some(changed)
}

/// The voters with a new identity for one that is live with a different disk than it votes with.
fn replace_lost_disk(voters: &[VoterIdentity], live: &[LiveRouter]) -> Option<Vec<VoterIdentity>> {
    live.iter().find_map(|router| {
        let identity = &router.identity;
        let has_other_disk =
            |voter: &VoterIdentity| voter.name == identity.name && voter.disk != identity.disk;
        let index = voters.iter().position(has_other_disk)?;
        // The router may still hold a lease under its old identity. If the old identity has held leases for
        // longer, the disk is not lost.
        let voter_is_live =
            live.iter().any(|other| other.identity == voters[index] && other.held_for > router.held_for);
        if !router.has_disk() || voter_is_live || !router.has_min_lease_time() {
            return None;
        }
        let mut changed = voters.to_vec();
        changed[index] = identity.clone();
        Some(changed)
    })
}

/// The voters and one more, if there are fewer than the maximum and a candidate has held leases for long
/// enough.
fn add_voter(voters: &[VoterIdentity], candidates: &[&LiveRouter]) -> Option<Vec<VoterIdentity>> {
    let joining = candidates.iter().find(|router| router.has_min_lease_time())?;
    if voters.len() >= timing::MAX_VOTERS {
        return None;
    }
    Some(voters.iter().cloned().chain([joining.identity.clone()]).collect())
}

/// Whether a majority of these voters is live.
fn has_live_majority(voters: &[VoterIdentity], live: &[LiveRouter]) -> bool {
    let is_live = |voter: &VoterIdentity| live.iter().any(|router| router.identity == *voter);
    let live_voters = voters.iter().filter(|voter| is_live(voter)).count();
    !voters.is_empty() && live_voters > voters.len() / 2
}

#[cfg(test)]
mod tests;
