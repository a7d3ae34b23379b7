//! A process that was challenged for its name and then did not run for a while does not take the name from the one that holds it.

use slipreel_membership::{MemberStatus, Membership, MembershipSettings, Peers, SavedState, SharedView};
use slipreel_state_machine::{Input, ListenerId, Machine, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(name: &str, port: u16, incarnation: u64, now: Duration) -> Membership {
    let settings = MembershipSettings {
        fleet: "test".into(),
        name: name.into(),
        address: addr(port),
        routers: 1,
        min_routers: 1,
        max_datagram: 1_200,
    };
    let peers = Peers { seeds: vec![addr(1)], address_table: BTreeMap::new() };
    let saved_state = SavedState { incarnation, ..SavedState::default() };
    Membership::new(settings, peers, &saved_state, u64::from(port), now, Arc::new(SharedView::default()))
}

fn sent(from: u16, output: Output) -> Option<(SocketAddr, SocketAddr, Vec<u8>)> {
    match output {
        Output::Datagram(_, to, bytes) => Some((addr(from), to, bytes)),
        _ => None,
    }
}

/// Runs those that are not asleep for so long; datagrams arrive at once, those for sleepers are lost.
fn run(members: &mut [(u16, Membership)], asleep: &[u16], now: &mut Duration, time: Duration) {
    let end = *now + time;
    while *now < end {
        *now += ms(10);
        let mut mail = Vec::new();
        for (port, m) in members.iter_mut().filter(|(port, _)| !asleep.contains(port)) {
            let mut out = Vec::new();
            m.handle(*now, Input::Wake, &mut out);
            mail.extend(out.into_iter().filter_map(|o| sent(*port, o)));
        }
        while let Some((from, to, bytes)) = mail.pop() {
            let there = |(port, _): &&mut (u16, Membership)| addr(*port) == to && !asleep.contains(port);
            let Some((port, m)) = members.iter_mut().find(there) else { continue };
            let mut out = Vec::new();
            m.handle(*now, Input::Datagram(ListenerId(0), from, &bytes), &mut out);
            mail.extend(out.into_iter().filter_map(|o| sent(*port, o)));
        }
    }
}

#[test]
fn a_challenged_process_that_was_stopped_does_not_take_the_name() {
    let mut now = Duration::from_secs(1 << 20);
    let mut members = vec![(1, member("a", 1, 0, now)), (2, member("b", 2, 4, now))];
    run(&mut members, &[], &mut now, ms(8_000));
    // A second b, without the first one's folder, is challenged, and stopped before it knows more.
    members.push((3, member("b", 3, 0, now)));
    run(&mut members, &[], &mut now, ms(700));
    assert_eq!(members[2].1.status(), MemberStatus::Challenged);
    run(&mut members, &[3], &mut now, ms(20_000));
    run(&mut members, &[], &mut now, ms(5_000));
    assert_eq!(members[2].1.status(), MemberStatus::Yielded);
    assert_eq!((members[1].1.status(), members[1].1.incarnation()), (MemberStatus::Ready, 5));
}
