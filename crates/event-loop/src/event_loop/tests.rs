use super::*;
use rustix::net::sockopt;
use std::io::{Read, Write};
use std::net::TcpListener;

/// Connects to a peer as it is woken, and to nobody else.
struct Connects {
    to: Option<SocketAddr>,
}

impl Machine for Connects {
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
    let mut looped = EventLoop::new(Clock::start()).expect("a loop");
    let node = looped.add(Connects { to: Some(to) });
    let listen = looped.listen(node, "127.0.0.1:0".parse().expect("an address")).expect("a port");
    let mut client = std::net::TcpStream::connect(listen).expect("accepted");
    client.write_all(b"x").expect("sent");
    let mut events = Vec::with_capacity(16);
    for _ in 0..2 {
        looped.turn(&mut events).expect("a turn");
    }
    assert_eq!(looped.machines[node.0].connections.len(), 2, "one that was accepted and one that was opened");
    for &slot in looped.machines[node.0].connections.values() {
        let Some(conn) = looped.sockets.connection(slot) else { unreachable!("a connection's slot") };
        let no_delay = sockopt::tcp_nodelay(&conn.fd).expect("an option of TCP");
        assert!(no_delay, "connection {:?}", conn.id);
    }
    drop(looped);
    let _ = client.read(&mut [0]);
}
