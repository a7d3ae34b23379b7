//! How much is read from one connection before the others have their turn.

use slipreel_event_loop::{Clock, EventLoop};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Counts the bytes received on each connection, and stops at the first byte on the second one.
#[derive(Default)]
struct ByteCounter {
    received: BTreeMap<ConnId, usize>,
    accepted: Vec<ConnId>,
}

impl Machine for ByteCounter {
    fn handle(&mut self, _now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Accepted(conn, _) => self.accepted.push(conn),
            Input::Data(conn, bytes) => {
                *self.received.entry(conn).or_default() += bytes.len();
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

/// Writes as much as the system buffers while nothing is read. Returns the number of bytes.
fn fill(stream: &mut TcpStream) -> usize {
    stream.set_nonblocking(true).expect("a mode");
    let block = [b'x'; 64 << 10];
    let mut written = 0;
    loop {
        match stream.write(&block) {
            Ok(count) => written += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return written,
            Err(error) => panic!("{error}"),
        }
    }
}

#[test]
fn a_connection_with_much_to_read_keeps_the_next_one_waiting_for_16_kb_at_most() {
    let mut event_loop = EventLoop::new(Clock::start()).expect("an event loop");
    let machine = event_loop.add(ByteCounter::default());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = event_loop.listen(machine, any_port).expect("a listener");
    let mut flood = TcpStream::connect(address).expect("a connection");
    let written = fill(&mut flood);
    assert!(written > 256 << 10, "too few bytes are buffered for a flood: {written}");
    let mut second = TcpStream::connect(address).expect("a connection");
    second.write_all(b"y").expect("sent");
    event_loop.run().expect("a run");
    let counter = event_loop.machine(machine);
    let flood_bytes = counter.received.get(&counter.accepted[0]).copied().unwrap_or(0);
    assert!(
        flood_bytes <= 16 << 10,
        "{flood_bytes} bytes of the flood were delivered before the first byte of the second connection"
    );
    assert_eq!(counter.received[&counter.accepted[1]], 1);
}
