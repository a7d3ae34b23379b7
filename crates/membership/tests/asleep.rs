//! A challenged member does not take the name from its holder after it was suspended: the holder was not
//! silent in that time, the member just did not run to receive its rounds.

use slipreel_membership::{MemberStatus, Membership, MembershipSettings, Peers, SavedState, SharedView};
use slipreel_state_machine::{Input, ListenerId, Machine, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn address_of(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(name: &str, port: u16, incarnation: u64, now: Duration) -> Membership {
    let settings = MembershipSettings {
        fleet: "test".into(),
        name: name.into(),
        address: address_of(port),
        routers: 1,
        min_routers: 1,
        max_datagram: 1_200,
    };
    let peers = Peers { seeds: vec![address_of(1)], address_table: BTreeMap::new() };
    let saved_state = SavedState { incarnation, ..SavedState::default() };
    Membership::new(settings, peers, &saved_state, u64::from(port), now, Arc::new(SharedView::default()))
}

/// The sender, receiver and bytes of an output that is a datagram.
fn sent_datagram(from: u16, output: Output) -> Option<(SocketAddr, SocketAddr, Vec<u8>)> {
    match output {
        Output::Datagram(_, to, bytes) => Some((address_of(from), to, bytes)),
        _ => None,
    }
}

/// Runs the members that are not suspended for a time. Datagrams arrive at once; those to suspended members
/// are lost.
fn run(members: &mut [(u16, Membership)], suspended: &[u16], now: &mut Duration, time: Duration) {
    let end = *now + time;
    while *now < end {
        *now += ms(10);
        let mut datagrams = Vec::new();
        for (port, member) in members.iter_mut().filter(|(port, _)| !suspended.contains(port)) {
            let mut out = Vec::new();
            member.handle(*now, Input::Wake, &mut out);
            datagrams.extend(out.into_iter().filter_map(|output| sent_datagram(*port, output)));
        }
        while let Some((from, to, bytes)) = datagrams.pop() {
            let is_receiver =
                |(port, _): &&mut (u16, Membership)| address_of(*port) == to && !suspended.contains(port);
            let Some((port, member)) = members.iter_mut().find(is_receiver) else { continue };
            let mut out = Vec::new();
            member.handle(*now, Input::Datagram(ListenerId(0), from, &bytes), &mut out);
            datagrams.extend(out.into_iter().filter_map(|output| sent_datagram(*port, output)));
        }
    }
}

#[test]
fn challenged_member_that_was_suspended_does_not_take_the_name() {
    let mut now = Duration::from_secs(1 << 20);
    let mut members = vec![(1, member("a", 1, 0, now)), (2, member("b", 2, 4, now))];
    run(&mut members, &[], &mut now, ms(8_000));
    // A second process named b starts without the first one's folder. It is challenged, and suspended before
    // it knows more.
    members.push((3, member("b", 3, 0, now)));
    run(&mut members, &[], &mut now, ms(700));
    assert_eq!(members[2].1.status(), MemberStatus::Challenged);
    run(&mut members, &[3], &mut now, ms(20_000));
    run(&mut members, &[], &mut now, ms(5_000));
    assert_eq!(members[2].1.status(), MemberStatus::Yielded);
    assert_eq!((members[1].1.status(), members[1].1.incarnation()), (MemberStatus::Ready, 5));
}
