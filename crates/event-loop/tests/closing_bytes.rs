//! What peers do not read of connections that the machine has closed is bounded.

use slipreel_event_loop::{Clock, EventLoop};
use slipreel_state_machine::{Input, Machine, Output};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The bytes that the machine writes on each connection: more than the system buffers.
const ANSWER_BYTES: usize = 16 << 20;
/// The most unsent bytes of closed connections: as much as one answer.
const MAX_CLOSING_BYTES: usize = ANSWER_BYTES;
const CONNECTIONS: usize = 3;
/// How long clients wait before they read.
const READ_DELAY: Duration = Duration::from_millis(200);

/// Answers each connection at once and closes it; stops at the last one.
#[derive(Default)]
struct AnswersAndCloses {
    accepted: usize,
}

impl Machine for AnswersAndCloses {
    fn handle(&mut self, _now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        let Input::Accepted(conn, _) = input else { return };
        self.accepted += 1;
        out.push(Output::Write(conn, vec![b'x'; ANSWER_BYTES]));
        out.push(Output::CloseWhenSent(conn));
        if self.accepted == CONNECTIONS {
            out.push(Output::Stopped);
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        None
    }
}

/// Reads to the end of a connection, however it ends. Returns the number of bytes.
fn read_to_end(stream: &mut TcpStream) -> usize {
    let (mut buffer, mut total) = (vec![0; 1 << 20], 0);
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        total += count;
    }
    total
}

/// Guards against unsent answers of closed connections that no limit counts: clients that ask for a close and
/// do not read made a router hold all of their answers at once.
#[test]
fn unread_answers_of_closed_connections_are_bounded_and_the_oldest_is_cut_off() {
    let mut event_loop = EventLoop::new(Clock::start()).expect("an event loop");
    event_loop.bound_closing_bytes(MAX_CLOSING_BYTES);
    let machine = event_loop.add(AnswersAndCloses::default());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = event_loop.listen(machine, any_port).expect("a listener");
    let connect = |_| TcpStream::connect(address).expect("a connection");
    // All read before the connections have waited as long as they may: only the limit cuts them off.
    let read_late = |mut client: TcpStream| {
        std::thread::spawn(move || {
            std::thread::sleep(READ_DELAY);
            read_to_end(&mut client)
        })
    };
    let clients: Vec<TcpStream> = (0..CONNECTIONS).map(connect).collect();
    let readers: Vec<_> = clients.into_iter().map(read_late).collect();
    event_loop.run().expect("a run");
    let mut read: Vec<usize> = readers.into_iter().map(|reader| reader.join().expect("a reader")).collect();
    assert_eq!(read.pop(), Some(ANSWER_BYTES), "the newest answer is complete");
    assert!(read.iter().all(|&length| length < ANSWER_BYTES), "older answers are cut off: {read:?}");
}
