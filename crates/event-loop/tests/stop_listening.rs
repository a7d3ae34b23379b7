//! A machine that stops listening still receives the connections that were made before.

use slipreel_event_loop::{Clock, EventLoop};
use slipreel_state_machine::{Input, Machine, Output};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Stops listening at the first of many connections, and ends once it has answered all of them.
struct StopsAtFirstConnection {
    /// How many connections it expects.
    expected: usize,
    has_stopped_listening: bool,
    answered: usize,
    /// When it gives up, so that a missing connection fails the test.
    gives_up_at: Duration,
}

impl Machine for StopsAtFirstConnection {
    fn handle(&mut self, _now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Accepted(..) if !self.has_stopped_listening => {
                self.has_stopped_listening = true;
                out.push(Output::StopListening);
            }
            Input::Data(conn, _) => {
                out.push(Output::Write(conn, b"answer".to_vec()));
                out.push(Output::CloseWhenSent(conn));
                self.answered += 1;
                if self.answered == self.expected {
                    out.push(Output::Stopped);
                }
            }
            Input::Wake => out.push(Output::Stopped),
            _ => {}
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        Some(self.gives_up_at)
    }
}

/// Guards against a reset of connections that were not accepted when the router stopped: closing the listener
/// resets them without an answer.
#[test]
fn connections_made_before_the_listener_closes_are_answered() {
    let expected = 100;
    let clock = Clock::start();
    let gives_up_at = clock.now() + Duration::from_secs(2);
    let mut event_loop = EventLoop::new(clock).expect("an event loop");
    let machine = event_loop.add(StopsAtFirstConnection {
        expected,
        has_stopped_listening: false,
        answered: 0,
        gives_up_at,
    });
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = event_loop.listen(machine, any_port).expect("a listener");
    let mut clients: Vec<TcpStream> = (0..expected)
        .map(|_| {
            let mut client = TcpStream::connect(address).expect("a connection");
            client.write_all(b"request").expect("sent");
            client
        })
        .collect();
    event_loop.run().expect("a run");
    for client in &mut clients {
        let mut answer = String::new();
        client.read_to_string(&mut answer).expect("an answer, not a reset");
        assert_eq!(answer, "answer");
    }
    assert!(TcpStream::connect(address).is_err(), "the listener is closed");
}
