//! The number of routers to reckon with, by which the decisions divide quotas and the load budgets of engines in slow start.
//!
//! Too high a count makes each router take less than its part, which costs service; too low a one lets all routers together overload an
//! engine in slow start or grant a tenant more than its quota. The second is worse and can't be undone, so growth counts at once and
//! shrinking late:
//!
//! - members that are alive or suspect count;
//! - a member that has left, or was declared gone by an operator, stops counting at once: it takes no new work;
//! - a member that fell silent still counts for [`SILENT_MEMBER_HOLD`], as it may be partitioned and serving;
//! - after that it stops counting only where the members in view are more than half of all that count. At most one side of a partition
//!   is, so both sides together reckon with more than the true number however long the partition lasts: the larger side divides by itself,
//!   every other one by all. After a crash of most members the smaller side serves with its former parts until the others return or an
//!   operator runs `slipreel fleet forget`;
//! - after its start a router reckons with at least the number of its settings or its saved state, until it has seen the fleet for
//!   [`SILENT_MEMBER_HOLD`].

use crate::table::{MemberEntry, MemberState, MemberTable};
use std::time::Duration;

/// How long a member that fell silent still counts.
pub const SILENT_MEMBER_HOLD: Duration = Duration::from_secs(60);

/// What a count depends on beside the table.
#[derive(Clone, Copy, Debug)]
pub struct LocalRouters {
    /// The number of routers that this process runs.
    pub routers: u32,
    /// The number of the settings or of the saved state, whichever is more.
    pub min_routers: u32,
    /// When this process began to see the fleet.
    pub since: Duration,
}

/// The number of routers to reckon with, this process's own included.
pub fn router_count(now: Duration, own: LocalRouters, table: &MemberTable) -> u32 {
    let present = u64::from(own.routers) + table.present().map(routers_of).sum::<u64>();
    let mut recently_silent = 0;
    let mut long_silent = 0;
    for entry in table.iter().filter(|entry| is_silent(entry)) {
        let is_recent = now < entry.state_since + SILENT_MEMBER_HOLD;
        let sum = if is_recent { &mut recently_silent } else { &mut long_silent };
        *sum += routers_of(entry);
    }
    let all = present + recently_silent + long_silent;
    let has_majority = present * 2 > all;
    let counted = if has_majority { present + recently_silent } else { all };
    let min_routers = if now < own.since + SILENT_MEMBER_HOLD { own.min_routers } else { 0 };
    u32::try_from(counted).unwrap_or(u32::MAX).max(min_routers).max(1)
}

/// Whether the silent members run at least as many routers as the members in view, so that they count without a time limit and are
/// not forgotten.
pub fn silent_outweigh_present(own: LocalRouters, table: &MemberTable) -> bool {
    let present = u64::from(own.routers) + table.present().map(routers_of).sum::<u64>();
    let silent = table.iter().filter(|entry| is_silent(entry)).map(routers_of).sum::<u64>();
    silent >= present
}

fn is_silent(entry: &MemberEntry) -> bool {
    entry.state == MemberState::Gone && !entry.record.has_left
}

fn routers_of(entry: &MemberEntry) -> u64 {
    u64::from(entry.record.routers)
}

#[cfg(test)]
mod tests;
