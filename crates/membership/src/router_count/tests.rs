use super::*;
use slipreel_protocol::membership::MemberRecord;
use std::net::SocketAddr;

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn table_of(member_count: usize, at: Duration) -> MemberTable {
    let mut table = MemberTable::default();
    for n in 0..member_count {
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

/// For each second from `from` to `to`, merges a heartbeat of the members for which `is_alive` is true and
/// updates all states.
fn run_seconds(table: &mut MemberTable, from: u64, to: u64, is_alive: impl Fn(usize) -> bool) {
    for t in from..=to {
        let alive: Vec<u64> =
            table.iter().enumerate().filter(|(n, _)| is_alive(*n)).map(|(_, entry)| entry.id).collect();
        for id in alive {
            table.merge_heartbeat(s(t), id, t as u32, Duration::ZERO, "test");
        }
        table.update_states(s(t), |_| true);
    }
}

const OWN: LocalRouters = LocalRouters { routers: 1, min_routers: 1, since: Duration::ZERO };

#[test]
fn joined_routers_count_at_once_and_gone_ones_until_the_hold_ends() {
    let mut table = table_of(9, s(100));
    assert_eq!(router_count(s(100), OWN, &table), 10);
    run_seconds(&mut table, 101, 130, |n| n < 6);
    assert_eq!(table.present_count(), 6, "three are gone");
    assert_eq!(router_count(s(130), OWN, &table), 10, "gone members still count");
    run_seconds(&mut table, 131, 170, |n| n < 6);
    assert_eq!(router_count(s(170), OWN, &table), 7);
    run_seconds(&mut table, 171, 172, |_| true);
    assert_eq!(router_count(s(172), OWN, &table), 10, "returned members count at once");
}

#[test]
fn count_does_not_shrink_without_a_present_majority() {
    let mut table = table_of(9, s(100));
    // Five of ten members are silent: neither half of a partition may use the whole quota.
    run_seconds(&mut table, 101, 4_000, |n| n < 4);
    assert_eq!((table.present_count(), router_count(s(4_000), OWN, &table)), (4, 10));
    assert!(silent_outweigh_present(OWN, &table), "silent members are not forgotten");
    // An operator declares two of them gone for good: now five of eight are present.
    assert!(table.mark_left("r8", "an operator") && table.mark_left("r7", "an operator"));
    table.update_states(s(4_001), |_| true);
    assert_eq!(router_count(s(4_001), OWN, &table), 5);
}

#[test]
fn configured_minimum_counts_until_the_hold_after_the_start_ends() {
    let own = LocalRouters { routers: 1, min_routers: 12, since: s(100) };
    let table = table_of(3, s(100));
    assert_eq!(router_count(s(101), own, &table), 12);
    assert_eq!(router_count(s(160), own, &table), 4);
}
