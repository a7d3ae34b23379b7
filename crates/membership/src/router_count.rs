//! The router count: the number of routers by which quotas and the load budgets of engines in slow start are
//! divided.
//!
//! If the count is too high, each router uses less than its share, which reduces service. If it is too low,
//! the routers together overload an engine in slow start or grant a tenant more than its quota. The second is
//! worse and can't be undone, so the count grows at once and shrinks late:
//!
//! - members that are alive or suspect count;
//! - a member that has left, or was declared gone by an operator, stops counting at once, as it takes no new
//!   work;
//! - a member that fell silent still counts for [`SILENT_MEMBER_HOLD`], as it may be serving on the other
//!   side of a partition;
//! - after that it stops counting only if the present members (alive or suspect) run more than half of all
//!   routers that count. This holds on at most one side of a partition. However long the partition lasts,
//!   that side divides by its own routers and every other side by all, so the counts of the sides add up to
//!   more than the true number. After a crash of most members the remaining ones keep their former shares
//!   until the others return or an operator runs `slipreel fleet forget`;
//! - for [`SILENT_MEMBER_HOLD`] after its start a router divides by at least the number from its settings or
//!   its saved state.

use crate::table::{MemberEntry, MemberState, MemberTable};
use std::time::Duration;

/// How long a member that fell silent still counts.
pub const SILENT_MEMBER_HOLD: Duration = Duration::from_secs(60);

/// What the router count depends on in addition to the table.
#[derive(Clone, Copy, Debug)]
pub struct LocalRouters {
    /// The number of routers that this process runs.
    pub routers: u32,
    /// The minimum from the settings or the router count from the saved state, whichever is higher.
    pub min_routers: u32,
    /// When this process started.
    pub since: Duration,
}

/// The number of routers to divide by, those of this process included.
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

/// Whether the silent members run at least as many routers as the present members and this process. If so,
/// they count without a time limit and are not forgotten.
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
