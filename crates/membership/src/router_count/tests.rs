use super::*;
use slipreel_protocol::membership::MemberRecord;
use std::net::SocketAddr;

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn table(names: usize, at: Duration) -> MemberTable {
    let mut table = MemberTable::default();
    for n in 0..names {
        let address = SocketAddr::from(([127, 0, 0, 1], 1 + n as u16));
        let record = MemberRecord {
            name: format!("r{n}"),
            incarnation: 1,
            nonce: 1,
            address,
            routers: 1,
            has_left: false,
        };
        table.merge_record(at, &record, 1, Duration::ZERO, "test");
    }
    table
}

/// Those that `lives` names move on; all states are worked out.
fn pass(table: &mut MemberTable, from: u64, to: u64, moves_on: impl Fn(usize) -> bool) {
    for t in from..=to {
        let moved: Vec<u64> =
            table.iter().enumerate().filter(|(n, _)| moves_on(*n)).map(|(_, e)| e.id).collect();
        for id in moved {
            table.merge_heartbeat(s(t), id, t as u32, Duration::ZERO, "test");
        }
        table.update_states(s(t), |_| true);
    }
}

const OWN: LocalRouters = LocalRouters { routers: 1, min_routers: 1, since: Duration::ZERO };

#[test]
fn growth_counts_at_once_and_shrinking_after_the_hold() {
    let mut t = table(9, s(100));
    assert_eq!(router_count(s(100), OWN, &t), 10);
    pass(&mut t, 101, 130, |n| n < 6);
    assert_eq!(t.present_count(), 6, "three are gone");
    assert_eq!(router_count(s(130), OWN, &t), 10, "and still count");
    pass(&mut t, 131, 170, |n| n < 6);
    assert_eq!(router_count(s(170), OWN, &t), 7);
    pass(&mut t, 171, 172, |_| true);
    assert_eq!(router_count(s(172), OWN, &t), 10, "back at once");
}

#[test]
fn without_a_majority_in_sight_nothing_shrinks() {
    let mut t = table(9, s(100));
    // Five of ten are out of sight: neither half of a cut may take the whole.
    pass(&mut t, 101, 4_000, |n| n < 4);
    assert_eq!((t.present_count(), router_count(s(4_000), OWN, &t)), (4, 10));
    assert!(silent_outweigh_present(OWN, &t), "and they are not forgotten");
    // An operator says that two of them are gone for good: now five of eight are in sight.
    assert!(t.mark_left("r8", "an operator") && t.mark_left("r7", "an operator"));
    t.update_states(s(4_001), |_| true);
    assert_eq!(router_count(s(4_001), OWN, &t), 5);
}

#[test]
fn a_start_reckons_with_what_it_was_told_until_it_has_seen_the_fleet() {
    let own = LocalRouters { routers: 1, min_routers: 12, since: s(100) };
    let t = table(3, s(100));
    assert_eq!(router_count(s(101), own, &t), 12);
    assert_eq!(router_count(s(160), own, &t), 4);
}
