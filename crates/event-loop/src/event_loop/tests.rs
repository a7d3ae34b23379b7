use super::*;
use rustix::net::sockopt;
use std::io::{Read, Write};
use std::net::TcpListener;

/// Connects to a peer when it is first woken.
struct ConnectsOnWake {
    to: Option<SocketAddr>,
}

impl Machine for ConnectsOnWake {
    fn handle(&mut self, _: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        if matches!(input, Input::Wake) {
            out.extend(self.to.take().map(|to| Output::Connect(ConnId::opened(1), to)));
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.to.map(|_| Duration::ZERO)
    }
}

#[test]
fn small_writes_are_not_held_back_by_the_system_on_any_connection() {
    let peer = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = peer.local_addr().expect("an address");
    let mut event_loop = EventLoop::new(Clock::start()).expect("an event loop");
    let machine = event_loop.add(ConnectsOnWake { to: Some(to) });
    let address = event_loop.listen(machine, "127.0.0.1:0".parse().expect("an address")).expect("a port");
    let mut client = std::net::TcpStream::connect(address).expect("accepted");
    client.write_all(b"x").expect("sent");
    let mut events = Vec::with_capacity(16);
    for _ in 0..2 {
        event_loop.turn(&mut events).expect("a turn");
    }
    assert_eq!(
        event_loop.machines[machine.0].connections.len(),
        2,
        "one that was accepted and one that was opened"
    );
    for &slot in event_loop.machines[machine.0].connections.values() {
        let Some(connection) = event_loop.sockets.connection(slot) else {
            unreachable!("the slot holds a connection")
        };
        let no_delay = sockopt::tcp_nodelay(&connection.fd).expect("a TCP option");
        assert!(no_delay, "connection {:?}", connection.id);
    }
    drop(event_loop);
    let _ = client.read(&mut [0]);
}
