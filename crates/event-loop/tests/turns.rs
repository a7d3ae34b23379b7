//! How much of one connection is taken before the others have their turn.

use slipreel_event_loop::{Clock, EventLoop};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Counts what comes on each connection, and stops at the first byte of the second one.
#[derive(Default)]
struct Counter {
    taken: BTreeMap<ConnId, usize>,
    accepted: Vec<ConnId>,
}

impl Machine for Counter {
    fn handle(&mut self, _now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Accepted(conn, _) => self.accepted.push(conn),
            Input::Data(conn, bytes) => {
                *self.taken.entry(conn).or_default() += bytes.len();
                if conn == self.accepted[1] {
                    out.extend(self.accepted.iter().map(|&conn| Output::Abort(conn)));
                    out.push(Output::Stopped);
                }
            }
            _ => {}
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        None
    }
}

/// Writes as much as the system takes without anybody who reads.
fn fill(stream: &mut TcpStream) -> usize {
    stream.set_nonblocking(true).expect("a mode");
    let piece = [b'x'; 64 << 10];
    let mut written = 0;
    loop {
        match stream.write(&piece) {
            Ok(n) => written += n,
            Err(why) if why.kind() == ErrorKind::WouldBlock => return written,
            Err(why) => panic!("{why}"),
        }
    }
}

#[test]
fn a_connection_with_much_to_read_keeps_the_next_one_waiting_for_16_kb_at_most() {
    let mut event_loop = EventLoop::new(Clock::start()).expect("an event loop");
    let node = event_loop.add(Counter::default());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = event_loop.listen(node, any_port).expect("a listener");
    let mut flood = TcpStream::connect(address).expect("a connection");
    let written = fill(&mut flood);
    assert!(written > 256 << 10, "the flood is one: {written}");
    let mut usual = TcpStream::connect(address).expect("a connection");
    usual.write_all(b"y").expect("sent");
    event_loop.run().expect("a run");
    let counter = event_loop.machine(node);
    let of_flood = counter.taken.get(&counter.accepted[0]).copied().unwrap_or(0);
    assert!(of_flood <= 16 << 10, "{of_flood} bytes of the flood came before the other's first");
    assert_eq!(counter.taken[&counter.accepted[1]], 1);
}
