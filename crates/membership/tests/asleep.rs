//! A process that was challenged for its name and then did not run for a while does not take the name from the one that holds it.

use slipreel_membership::{Board, Fleet, Kept, Peers, Settings, Standing};
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

fn member(name: &str, port: u16, incarnation: u64, now: Duration) -> Fleet {
    let settings = Settings {
        fleet: "test".into(),
        name: name.into(),
        address: addr(port),
        routers: 1,
        floor: 1,
        datagram: 1_200,
    };
    let peers = Peers { seeds: vec![addr(1)], book: BTreeMap::new() };
    let kept = Kept { incarnation, ..Kept::default() };
    Fleet::new(settings, peers, &kept, u64::from(port), now, Arc::new(Board::default()))
}

fn sent(from: u16, output: Output) -> Option<(SocketAddr, SocketAddr, Vec<u8>)> {
    match output {
        Output::Datagram(_, to, bytes) => Some((addr(from), to, bytes)),
        _ => None,
    }
}

/// Runs those that are not asleep for so long; datagrams arrive at once, those for sleepers are lost.
fn run(members: &mut [(u16, Fleet)], asleep: &[u16], now: &mut Duration, time: Duration) {
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
            let there = |(port, _): &&mut (u16, Fleet)| addr(*port) == to && !asleep.contains(port);
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
    assert_eq!(members[2].1.standing(), Standing::Challenged);
    run(&mut members, &[3], &mut now, ms(20_000));
    run(&mut members, &[], &mut now, ms(5_000));
    assert_eq!(members[2].1.standing(), Standing::Yielded);
    assert_eq!((members[1].1.standing(), members[1].1.incarnation()), (Standing::Ready, 5));
}
