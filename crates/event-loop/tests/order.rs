//! What a machine asks for on hearing that one connection's bytes were sent comes before the next connection's bytes go.

use slipreel_event_loop::{Clock, EventLoop};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Opens two connections, writes on both at once, and gives the second up as soon as it hears that the first was sent.
struct Two {
    peers: [SocketAddr; 2],
    stand: usize,
}

const FIRST: u64 = 1;
const SECOND: u64 = 2;

impl Machine for Two {
    fn handle(&mut self, _: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Wake => {
                out.push(Output::Connect(ConnId::opened(FIRST), self.peers[0]));
                out.push(Output::Connect(ConnId::opened(SECOND), self.peers[1]));
            }
            Input::Connected(_) => {
                self.stand += 1;
                if self.stand == 2 {
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
        (self.stand == 0).then_some(Duration::ZERO)
    }
}

/// A connection given up with its request told as never sent must not send it after all.
#[test]
fn a_connection_given_up_on_hearing_of_another_sends_nothing() {
    let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
    let peers = [0, 1].map(|i: usize| listeners[i].local_addr().expect("an address"));
    let seen = listeners.map(|listener| {
        std::thread::spawn(move || {
            let (mut conn, _) = listener.accept().expect("a connection");
            let mut bytes = Vec::new();
            // A connection given up ends with a reset; what came before counts.
            let mut buf = [0; 64];
            while let Ok(n @ 1..) = conn.read(&mut buf) {
                bytes.extend_from_slice(&buf[..n]);
            }
            bytes
        })
    });
    let mut turn = EventLoop::new(Clock::start()).expect("an event loop");
    turn.add(Two { peers, stand: 0 });
    turn.run().expect("a run");
    drop(turn);
    let [first, second] = seen.map(|peer| peer.join().expect("a peer"));
    assert_eq!(first, b"first");
    assert_eq!(second, b"", "it was given up before it was sent");
}
