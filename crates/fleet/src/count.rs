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

use crate::table::{State, Table};
use std::time::Duration;

/// How long one that fell silent goes on counting.
pub const HOLD: Duration = Duration::from_secs(60);

/// What a count is worked out from beside the table.
#[derive(Clone, Copy, Debug)]
pub struct Own {
    /// Routers that this process runs.
    pub routers: u32,
    /// What the settings say, or was known before the start, whichever is more.
    pub floor: u32,
    /// Since when this process has seen the fleet.
    pub since: Duration,
}

/// The number of routers to reckon with, this process's own counted.
pub fn believe(now: Duration, own: Own, table: &Table) -> u32 {
    let silent = |e: &&crate::table::Entry| e.state == State::Gone && !e.life.left;
    let sum = |weights: u64| u32::try_from(weights).unwrap_or(u32::MAX);
    let weight = |e: &crate::table::Entry| u64::from(e.life.routers);
    let present =
        u64::from(own.routers) + table.iter().filter(|e| e.state != State::Gone).map(weight).sum::<u64>();
    let fresh = table.iter().filter(silent).filter(|e| now < e.since + HOLD).map(weight).sum::<u64>();
    let old = table.iter().filter(silent).filter(|e| now >= e.since + HOLD).map(weight).sum::<u64>();
    let all = present + fresh + old;
    let counted = if present * 2 > all { present + fresh } else { all };
    let floor = if now < own.since + HOLD { own.floor } else { 0 };
    sum(counted).max(floor).max(1)
}

/// Whether those that fell silent are so many that they go on counting whatever time passes: then they are not forgotten.
pub fn holds(own: Own, table: &Table) -> bool {
    let (mut present, mut silent) = (u64::from(own.routers), 0);
    for entry in table.iter().filter(|e| !e.life.left || e.state != State::Gone) {
        let side = if entry.state == State::Gone { &mut silent } else { &mut present };
        *side += u64::from(entry.life.routers);
    }
    silent >= present
}

#[cfg(test)]
mod tests {
    use super::*;
    use slipreel_protocol::fleet::Life;
    use std::net::SocketAddr;

    fn s(n: u64) -> Duration {
        Duration::from_secs(n)
    }

    fn table(names: usize, at: Duration) -> Table {
        let mut table = Table::default();
        for n in 0..names {
            let address = SocketAddr::from(([127, 0, 0, 1], 1 + n as u16));
            let life =
                Life { name: format!("r{n}"), incarnation: 1, nonce: 1, address, routers: 1, left: false };
            table.learn(at, &life, 1, Duration::ZERO, "test");
        }
        table
    }

    /// Those that `lives` names move on; all states are worked out.
    fn pass(table: &mut Table, from: u64, to: u64, lives: impl Fn(usize) -> bool) {
        for t in from..=to {
            let moved: Vec<u64> =
                table.iter().enumerate().filter(|(n, _)| lives(*n)).map(|(_, e)| e.id).collect();
            for id in moved {
                table.beat(s(t), id, t as u32, Duration::ZERO, "test");
            }
            table.look(s(t), |_| true);
        }
    }

    const OWN: Own = Own { routers: 1, floor: 1, since: Duration::ZERO };

    #[test]
    fn growth_counts_at_once_and_shrinking_after_the_hold() {
        let mut t = table(9, s(100));
        assert_eq!(believe(s(100), OWN, &t), 10);
        pass(&mut t, 101, 130, |n| n < 6);
        assert_eq!(t.present(), 6, "three are gone");
        assert_eq!(believe(s(130), OWN, &t), 10, "and still count");
        pass(&mut t, 131, 170, |n| n < 6);
        assert_eq!(believe(s(170), OWN, &t), 7);
        pass(&mut t, 171, 172, |_| true);
        assert_eq!(believe(s(172), OWN, &t), 10, "back at once");
    }

    #[test]
    fn without_a_majority_in_sight_nothing_shrinks() {
        let mut t = table(9, s(100));
        // Five of ten are out of sight: neither half of a cut may take the whole.
        pass(&mut t, 101, 4_000, |n| n < 4);
        assert_eq!((t.present(), believe(s(4_000), OWN, &t)), (4, 10));
        assert!(holds(OWN, &t), "and they are not forgotten");
        // An operator says that two of them are gone for good: now five of eight are in sight.
        assert!(t.forget("r8", "an operator") && t.forget("r7", "an operator"));
        t.look(s(4_001), |_| true);
        assert_eq!(believe(s(4_001), OWN, &t), 5);
    }

    #[test]
    fn a_start_reckons_with_what_it_was_told_until_it_has_seen_the_fleet() {
        let own = Own { routers: 1, floor: 12, since: s(100) };
        let t = table(3, s(100));
        assert_eq!(believe(s(101), own, &t), 12);
        assert_eq!(believe(s(160), own, &t), 4);
    }
}
