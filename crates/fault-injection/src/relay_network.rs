//! The network between the routers: one relay for each directed link, so that each pair of routers has
//! addresses of its own. The faults of the links are set by owner messages. The same state machine runs over
//! sockets and in virtual time.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_state_machine::{ConnId, Input, ListenerId, Machine, Output};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What a link does to the traffic on it. The default link passes everything at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Nothing passes: datagrams are lost, connections open or stay open and carry no data.
    pub cut: bool,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that arrive twice.
    pub duplication: f64,
    /// Delay in this direction.
    pub delay: Duration,
    /// Upper bound of a further delay, drawn for each datagram, by which datagrams overtake each other.
    pub jitter: Duration,
    /// If set, connections pass one byte per this time.
    pub byte_interval: Option<Duration>,
    /// Connections are accepted and carry no data.
    pub stalls_connections: bool,
}

/// Owner message for a [`RelayNetwork`]: sets the state of links, given by sender and receiver.
#[derive(Clone, Debug, Default)]
pub struct LinkUpdates(pub Vec<(usize, usize, Link)>);

/// Owner message for a [`RelayNetwork`]: sends these bytes to a member as a datagram, from the link of its
/// first peer.
#[derive(Clone, Debug)]
pub struct InjectedDatagram(pub usize, pub Vec<u8>);

/// Bytes of one direction of a connection that a relay buffers; a connection that needs more is closed.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

#[derive(Default)]
struct Direction {
    buffer: VecDeque<u8>,
    next: Duration,
    ended: bool,
}

/// A connection through a link: `accepted` comes from the sender, `opened` leads to the receiver.
struct RelayedConnection {
    from: usize,
    to: usize,
    accepted: ConnId,
    opened: ConnId,
    is_open: bool,
    /// The data to `opened` and the data to `accepted`.
    directions: [Direction; 2],
}

/// A delayed datagram: the listener of its link, the destination, the bytes.
type DelayedDatagram = (usize, SocketAddr, Vec<u8>);

/// The links between all members.
pub struct RelayNetwork {
    members: usize,
    /// The addresses at which members listen.
    targets: Vec<SocketAddr>,
    links: Vec<Link>,
    delayed: BinaryHeap<Reverse<(Duration, u64)>>,
    datagrams: BTreeMap<u64, DelayedDatagram>,
    connections: Vec<RelayedConnection>,
    seq: u64,
    opened: u64,
    rng: Xoshiro256PlusPlus,
    /// Datagrams that came in, and of those the ones that were lost on purpose.
    pub datagram_counts: (u64, u64),
}

impl RelayNetwork {
    /// The links between members at `targets`. The listeners, for datagrams and for connections, are in the
    /// order of [`RelayNetwork::directed_links`].
    pub fn new(targets: Vec<SocketAddr>, seed: u64) -> Self {
        let members = targets.len();
        RelayNetwork {
            members,
            targets,
            links: vec![Link::default(); members * members],
            delayed: BinaryHeap::new(),
            datagrams: BTreeMap::new(),
            connections: Vec::new(),
            seq: 0,
            opened: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            datagram_counts: (0, 0),
        }
    }

    /// The directed links between so many members, in the order of the listeners.
    pub fn directed_links(members: usize) -> impl Iterator<Item = (usize, usize)> {
        (0..members)
            .flat_map(move |from| (0..members).filter(move |to| *to != from).map(move |to| (from, to)))
    }

    /// The link of a listener: sender and receiver.
    fn link_of(&self, listener: ListenerId) -> (usize, usize) {
        let rest = self.members - 1;
        let (from, at) = (listener.0 / rest, listener.0 % rest);
        (from, at + usize::from(at >= from))
    }

    fn link(&self, from: usize, to: usize) -> Link {
        self.links[from * self.members + to]
    }

    /// A random number from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn relay_datagram(&mut self, now: Duration, listener: ListenerId, bytes: &[u8], out: &mut Vec<Output>) {
        let (from, to) = self.link_of(listener);
        let link = self.link(from, to);
        self.datagram_counts.0 += 1;
        if link.cut || self.random_fraction() < link.loss {
            self.datagram_counts.1 += 1;
            return;
        }
        let copies = if self.random_fraction() < link.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let fraction = self.random_fraction();
            let delay = link.delay + link.jitter.mul_f64(fraction);
            if delay.is_zero() {
                out.push(Output::Datagram(listener, self.targets[to], bytes.to_vec()));
                continue;
            }
            self.seq += 1;
            self.delayed.push(Reverse((now + delay, self.seq)));
            self.datagrams.insert(self.seq, (listener.0, self.targets[to], bytes.to_vec()));
        }
    }

    /// Sends the delayed datagrams and the buffered bytes that are due.
    fn send_due(&mut self, now: Duration, out: &mut Vec<Output>) {
        while self.delayed.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, seq))) = self.delayed.pop() else { break };
            if let Some((listener, to, bytes)) = self.datagrams.remove(&seq) {
                out.push(Output::Datagram(ListenerId(listener), to, bytes));
            }
        }
        for at in 0..self.connections.len() {
            self.forward(now, at, out);
        }
        self.connections.retain(|c| !(c.directions[0].ended && c.directions[1].ended));
    }

    /// Forwards what the links let through at this time in both directions of a connection.
    fn forward(&mut self, now: Duration, at: usize, out: &mut Vec<Output>) {
        let links = [
            self.link(self.connections[at].from, self.connections[at].to),
            self.link(self.connections[at].to, self.connections[at].from),
        ];
        let connection = &mut self.connections[at];
        if !connection.is_open {
            return;
        }
        for (index, link) in links.iter().enumerate() {
            let to = if index == 0 { connection.opened } else { connection.accepted };
            let direction = &mut connection.directions[index];
            if link.cut || link.stalls_connections || direction.buffer.is_empty() || now < direction.next {
                continue;
            }
            let n = if link.byte_interval.is_some() { 1 } else { direction.buffer.len() };
            direction.next = now + link.byte_interval.unwrap_or(link.delay);
            out.push(Output::Write(to, direction.buffer.drain(..n).collect()));
        }
    }

    fn buffer_data(&mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(at) = self.connections.iter().position(|c| c.accepted == conn || c.opened == conn) else {
            return;
        };
        let connection = &mut self.connections[at];
        let (index, from, to) = if connection.accepted == conn {
            (0, connection.from, connection.to)
        } else {
            (1, connection.to, connection.from)
        };
        let delay = self.links[from * self.members + to].delay;
        let direction = &mut connection.directions[index];
        if direction.buffer.is_empty() {
            direction.next = direction.next.max(now + delay);
        }
        direction.buffer.extend(bytes);
        if direction.buffer.len() > MAX_BUFFERED_BYTES {
            return self.end(conn, out);
        }
        self.forward(now, at, out);
    }

    /// Ends a connection of which one side has ended. The other side first gets the buffered bytes, unless
    /// the link holds them back.
    fn end(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(at) = self.connections.iter().position(|c| c.accepted == conn || c.opened == conn) else {
            return;
        };
        let connection = self.connections.swap_remove(at);
        let other = if connection.accepted == conn { connection.opened } else { connection.accepted };
        let direction = &connection.directions[usize::from(connection.accepted != conn)];
        let link = if connection.accepted == conn {
            self.link(connection.from, connection.to)
        } else {
            self.link(connection.to, connection.from)
        };
        if connection.is_open
            && !direction.buffer.is_empty()
            && !link.cut
            && !link.stalls_connections
            && link.byte_interval.is_none()
        {
            out.push(Output::Write(other, direction.buffer.iter().copied().collect()));
        }
        out.push(Output::CloseWhenSent(other));
        out.push(Output::CloseWhenSent(conn));
    }
}

impl Machine for RelayNetwork {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Datagram(listener, _, bytes) => self.relay_datagram(now, listener, bytes, out),
            Input::Accepted(conn, listener) => {
                let (from, to) = self.link_of(listener);
                self.opened += 1;
                let opened = ConnId::opened(self.opened);
                self.connections.push(RelayedConnection {
                    from,
                    to,
                    accepted: conn,
                    opened,
                    is_open: false,
                    directions: Default::default(),
                });
                if !self.link(from, to).cut {
                    out.push(Output::Connect(opened, self.targets[to]));
                }
            }
            Input::Connected(conn) => {
                if let Some(at) = self.connections.iter().position(|c| c.opened == conn) {
                    self.connections[at].is_open = true;
                    self.forward(now, at, out);
                }
            }
            Input::Data(conn, bytes) => self.buffer_data(now, conn, bytes, out),
            Input::PeerClosedWhilePaused(_) | Input::DescriptorsExhausted(_) => {}
            Input::Eof(conn) | Input::Lost(conn, _) => self.end(conn, out),
            Input::OwnerMessage(message) => {
                if let Some(LinkUpdates(links)) = message.downcast_ref::<Arc<LinkUpdates>>().map(|l| &**l) {
                    for &(from, to, link) in links {
                        self.links[from * self.members + to] = link;
                    }
                } else if let Some(InjectedDatagram(to, bytes)) = message.downcast_ref::<InjectedDatagram>() {
                    let listener =
                        RelayNetwork::directed_links(self.members).position(|(_, at)| at == *to).unwrap_or(0);
                    out.push(Output::Datagram(ListenerId(listener), self.targets[*to], bytes.clone()));
                }
            }
            Input::Stop => out.push(Output::Stopped),
            Input::Sent(..) | Input::Wake => {}
        }
        self.send_due(now, out);
    }

    fn wake_at(&self) -> Option<Duration> {
        let delayed = self.delayed.peek().map(|Reverse((at, _))| *at);
        let has_data =
            |c: &&RelayedConnection| c.is_open && c.directions.iter().any(|d| !d.buffer.is_empty());
        let buffered = self.connections.iter().filter(has_data).flat_map(|c| {
            let links = [self.link(c.from, c.to), self.link(c.to, c.from)];
            let passes =
                move |(d, l): &(&Direction, Link)| !d.buffer.is_empty() && !l.cut && !l.stalls_connections;
            c.directions.iter().zip(links).filter(passes).map(|(d, _)| d.next)
        });
        delayed.into_iter().chain(buffered).min()
    }
}

#[cfg(test)]
mod tests;
