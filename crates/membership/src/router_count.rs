//! How many routers to reckon with: what the module divides quotas and cold budgets by.
//!
//! Too high a count makes each router take less than its part, which costs service; too low a one lets all together push a cold engine over
//! or grant a tenant more than its quota. The second is worse and can't be undone, so growth counts at once and shrinking late:
//!
//! - who is alive or suspect counts;
//! - who said goodbye, or was declared gone by an operator, counts no more at once: it takes no new work;
//! - who fell silent goes on counting for [`HOLD`], as it may be cut off and serving;
//! - after that it stops counting only where those in sight are more than half of all that count. At most one side of a cut is that, so
//!   that both sides together reckon with more than the true number however long the cut lasts: the larger side divides by itself, every
//!   other one by all. The smaller side of a crash of most serves with its old parts until the others return or an operator says
//!   `slipreel fleet forget`;
//! - at its start a router reckons with at least what its settings say, or what it knew before, until it has seen the fleet for [`HOLD`].

use crate::table::{MemberState, MemberTable};
use std::time::Duration;

/// How long one that fell silent goes on counting.
pub const HOLD: Duration = Duration::from_secs(60);

/// What a count is worked out from beside the table.
#[derive(Clone, Copy, Debug)]
pub struct LocalRouters {
    /// Routers that this process runs.
    pub routers: u32,
    /// What the settings say, or was known before the start, whichever is more.
    pub min_routers: u32,
    /// Since when this process has seen the fleet.
    pub since: Duration,
}

/// The number of routers to reckon with, this process's own counted.
pub fn router_count(now: Duration, own: LocalRouters, table: &MemberTable) -> u32 {
    let silent = |e: &&crate::table::MemberEntry| e.state == MemberState::Gone && !e.record.has_left;
    let sum = |weights: u64| u32::try_from(weights).unwrap_or(u32::MAX);
    let weight = |e: &crate::table::MemberEntry| u64::from(e.record.routers);
    let present = u64::from(own.routers)
        + table.iter().filter(|e| e.state != MemberState::Gone).map(weight).sum::<u64>();
    let fresh = table.iter().filter(silent).filter(|e| now < e.since + HOLD).map(weight).sum::<u64>();
    let old = table.iter().filter(silent).filter(|e| now >= e.since + HOLD).map(weight).sum::<u64>();
    let all = present + fresh + old;
    let counted = if present * 2 > all { present + fresh } else { all };
    let min_routers = if now < own.since + HOLD { own.min_routers } else { 0 };
    sum(counted).max(min_routers).max(1)
}

/// Whether those that fell silent are so many that they go on counting whatever time passes: then they are not forgotten.
pub fn silent_outweigh_present(own: LocalRouters, table: &MemberTable) -> bool {
    let (mut present, mut silent) = (u64::from(own.routers), 0);
    for entry in table.iter().filter(|e| !e.record.has_left || e.state != MemberState::Gone) {
        let side = if entry.state == MemberState::Gone { &mut silent } else { &mut present };
        *side += u64::from(entry.record.routers);
    }
    silent >= present
}

#[cfg(test)]
mod tests;
