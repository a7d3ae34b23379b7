//! When a machine learns that the bytes of one connection were sent, its outputs are carried out before the
//! next connection sends its own.

use slipreel_event_loop::{Clock, EventLoop};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Opens two connections, writes on both at once, and aborts the second as soon as the first has sent its
/// bytes.
struct TwoConnections {
    peers: [SocketAddr; 2],
    established_count: usize,
}

const FIRST: u64 = 1;
const SECOND: u64 = 2;

impl Machine for TwoConnections {
    fn handle(&mut self, _: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Wake => {
                out.push(Output::Connect(ConnId::opened(FIRST), self.peers[0]));
                out.push(Output::Connect(ConnId::opened(SECOND), self.peers[1]));
            }
            Input::Connected(_) => {
                self.established_count += 1;
                if self.established_count == 2 {
                    out.push(Output::Write(ConnId::opened(FIRST), b"first".to_vec()));
                    out.push(Output::Write(ConnId::opened(SECOND), b"second".to_vec()));
                }
            }
            Input::Sent(conn, _) if conn == ConnId::opened(FIRST) => {
                out.push(Output::Abort(ConnId::opened(SECOND)));
                out.push(Output::CloseWhenSent(conn));
                out.push(Output::Stopped);
            }
            _ => {}
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        (self.established_count == 0).then_some(Duration::ZERO)
    }
}

/// Guards against a connection that is aborted, with its request reported as never sent, and sends the
/// request after all.
#[test]
fn a_connection_aborted_when_another_has_sent_its_bytes_sends_nothing() {
    let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
    let peers = [0, 1].map(|index: usize| listeners[index].local_addr().expect("an address"));
    let receivers = listeners.map(|listener| {
        std::thread::spawn(move || {
            let (mut conn, _) = listener.accept().expect("a connection");
            let mut bytes = Vec::new();
            // An aborted connection ends with a reset; what arrived before counts.
            let mut buffer = [0; 64];
            while let Ok(count @ 1..) = conn.read(&mut buffer) {
                bytes.extend_from_slice(&buffer[..count]);
            }
            bytes
        })
    });
    let mut event_loop = EventLoop::new(Clock::start()).expect("an event loop");
    event_loop.add(TwoConnections { peers, established_count: 0 });
    event_loop.run().expect("a run");
    drop(event_loop);
    let [first, second] = receivers.map(|peer| peer.join().expect("a peer"));
    assert_eq!(first, b"first");
    assert_eq!(second, b"", "it was aborted before it was sent");
}
