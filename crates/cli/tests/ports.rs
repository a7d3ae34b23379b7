//! The reserved ports that tests with router processes use.

mod platform;

use platform::ports::ReservedPort;
use slipreel_event_loop::{Clock, EventLoop};
use slipreel_state_machine::{Input, Machine, Output};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::time::Duration;

struct Idle;

impl Machine for Idle {
    fn handle(&mut self, _now: Duration, _input: Input<'_>, _out: &mut Vec<Output>) {}

    fn wake_at(&self) -> Option<Duration> {
        None
    }
}

/// Two routers on one port would share the incoming connections, and a test would check the requests of one
/// router as those of the other.
#[test]
fn no_reserved_port_is_given_twice() {
    let reserved: Vec<ReservedPort> = (0..1_000).map(|_| ReservedPort::new()).collect();
    let others: Vec<TcpListener> =
        (0..1_000).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let mut ports: BTreeSet<u16> = reserved.iter().map(|port| port.address().port()).collect();
    assert_eq!(ports.len(), 1_000);
    ports.extend(others.iter().map(|other| other.local_addr().expect("an address").port()));
    assert_eq!(ports.len(), 2_000, "no other socket was given a reserved port");
}

#[test]
fn a_router_listens_where_its_port_is_reserved() {
    let port = ReservedPort::new();
    assert!(std::net::TcpStream::connect(port.address()).is_err(), "a reserved port takes no connections");
    let mut event_loop = EventLoop::new(Clock::start()).expect("an event loop");
    let node = event_loop.add(Idle);
    assert_eq!(event_loop.listen(node, port.address()).expect("a listener"), port.address());
    assert!(std::net::TcpStream::connect(port.address()).is_ok());
}
