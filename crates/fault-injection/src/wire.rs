//! The wire between routers: one relay for each directed link, so that each pair has addresses of its own. What a link does wrong is
//! told by news; the same machine serves over sockets and in memory.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_state_machine::{ConnId, Input, ListenerId, Machine, Output};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What a link does to what passes it. The usual link does nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Nothing passes: datagrams are lost, connections stand or open and are silent.
    pub cut: bool,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that arrive twice.
    pub double: f64,
    /// Added to each way.
    pub delay: Duration,
    /// Up to so much more, drawn for each datagram: what differs overtakes.
    pub jitter: Duration,
    /// Of connections one byte passes in this time.
    pub trickle: Option<Duration>,
    /// Connections are taken and nothing passes.
    pub mute: bool,
}

/// News for a [`Wire`]: these links, by sender and receiver, are so from now on.
#[derive(Clone, Debug, Default)]
pub struct Links(pub Vec<(usize, usize, Link)>);

/// News for a [`Wire`]: these bytes go to a member as a datagram, from the link of its first peer.
#[derive(Clone, Debug)]
pub struct Noise(pub usize, pub Vec<u8>);

/// Bytes of one direction of a connection that wait in a relay; what is beyond is dropped with the connection.
const HELD: usize = 4 << 20;

#[derive(Default)]
struct Way {
    held: VecDeque<u8>,
    next: Duration,
    ended: bool,
}

/// A connection through a link: `a` came in, `b` goes on.
struct Pair {
    from: usize,
    to: usize,
    a: ConnId,
    b: ConnId,
    open: bool,
    /// To `b` and to `a`.
    ways: [Way; 2],
}

/// A datagram on its way: the link's door, where to.
type Late = (usize, SocketAddr, Vec<u8>);

/// All links between so many members.
pub struct Wire {
    members: usize,
    /// Where members listen.
    targets: Vec<SocketAddr>,
    links: Vec<Link>,
    late: BinaryHeap<Reverse<(Duration, u64)>>,
    bytes: BTreeMap<u64, Late>,
    pairs: Vec<Pair>,
    seq: u64,
    opened: u64,
    rng: Xoshiro256PlusPlus,
    /// Datagrams that came in and that were lost on purpose.
    pub passed: (u64, u64),
}

impl Wire {
    /// Links between members at `targets`. Its doors, of datagrams and of connections, are in the order of [`Wire::ways`].
    pub fn new(targets: Vec<SocketAddr>, seed: u64) -> Self {
        let members = targets.len();
        Wire {
            members,
            targets,
            links: vec![Link::default(); members * members],
            late: BinaryHeap::new(),
            bytes: BTreeMap::new(),
            pairs: Vec::new(),
            seq: 0,
            opened: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            passed: (0, 0),
        }
    }

    /// The directed links between so many members, in the order of the doors.
    pub fn ways(members: usize) -> impl Iterator<Item = (usize, usize)> {
        (0..members)
            .flat_map(move |from| (0..members).filter(move |to| *to != from).map(move |to| (from, to)))
    }

    fn way(&self, door: ListenerId) -> (usize, usize) {
        let rest = self.members - 1;
        let (from, at) = (door.0 / rest, door.0 % rest);
        (from, at + usize::from(at >= from))
    }

    fn link(&self, from: usize, to: usize) -> Link {
        self.links[from * self.members + to]
    }

    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn datagram(&mut self, now: Duration, door: ListenerId, bytes: &[u8], out: &mut Vec<Output>) {
        let (from, to) = self.way(door);
        let link = self.link(from, to);
        self.passed.0 += 1;
        if link.cut || self.chance() < link.loss {
            self.passed.1 += 1;
            return;
        }
        let times = if self.chance() < link.double { 2 } else { 1 };
        for _ in 0..times {
            let part = self.chance();
            let after = link.delay + link.jitter.mul_f64(part);
            if after.is_zero() {
                out.push(Output::Datagram(door, self.targets[to], bytes.to_vec()));
                continue;
            }
            self.seq += 1;
            self.late.push(Reverse((now + after, self.seq)));
            self.bytes.insert(self.seq, (door.0, self.targets[to], bytes.to_vec()));
        }
    }

    fn wake(&mut self, now: Duration, out: &mut Vec<Output>) {
        while self.late.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, seq))) = self.late.pop() else { break };
            if let Some((door, to, bytes)) = self.bytes.remove(&seq) {
                out.push(Output::Datagram(ListenerId(door), to, bytes));
            }
        }
        for at in 0..self.pairs.len() {
            self.pass(now, at, out);
        }
        self.pairs.retain(|p| !(p.ways[0].ended && p.ways[1].ended));
    }

    /// Hands on what a connection's two ways let through now.
    fn pass(&mut self, now: Duration, at: usize, out: &mut Vec<Output>) {
        let links = [
            self.link(self.pairs[at].from, self.pairs[at].to),
            self.link(self.pairs[at].to, self.pairs[at].from),
        ];
        let pair = &mut self.pairs[at];
        if !pair.open {
            return;
        }
        for (way, link) in links.iter().enumerate() {
            let to = if way == 0 { pair.b } else { pair.a };
            let way = &mut pair.ways[way];
            if link.cut || link.mute || way.held.is_empty() || now < way.next {
                continue;
            }
            let n = if link.trickle.is_some() { 1 } else { way.held.len() };
            way.next = now + link.trickle.unwrap_or(link.delay);
            out.push(Output::Write(to, way.held.drain(..n).collect()));
        }
    }

    fn data(&mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(at) = self.pairs.iter().position(|p| p.a == conn || p.b == conn) else { return };
        let pair = &mut self.pairs[at];
        let (way, from, to) = if pair.a == conn { (0, pair.from, pair.to) } else { (1, pair.to, pair.from) };
        let delay = self.links[from * self.members + to].delay;
        let way = &mut pair.ways[way];
        if way.held.is_empty() {
            way.next = way.next.max(now + delay);
        }
        way.held.extend(bytes);
        if way.held.len() > HELD {
            return self.end(conn, out);
        }
        self.pass(now, at, out);
    }

    /// One side has ended: the other is told when what it wrote has passed, as far as the link lets it.
    fn end(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(at) = self.pairs.iter().position(|p| p.a == conn || p.b == conn) else { return };
        let pair = self.pairs.swap_remove(at);
        let other = if pair.a == conn { pair.b } else { pair.a };
        let way = &pair.ways[usize::from(pair.a != conn)];
        let link = if pair.a == conn { self.link(pair.from, pair.to) } else { self.link(pair.to, pair.from) };
        if pair.open && !way.held.is_empty() && !link.cut && !link.mute && link.trickle.is_none() {
            out.push(Output::Write(other, way.held.iter().copied().collect()));
        }
        out.push(Output::CloseWhenSent(other));
        out.push(Output::CloseWhenSent(conn));
    }
}

impl Machine for Wire {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Datagram(door, _, bytes) => self.datagram(now, door, bytes, out),
            Input::Accepted(conn, door) => {
                let (from, to) = self.way(door);
                self.opened += 1;
                let b = ConnId::opened(self.opened);
                self.pairs.push(Pair { from, to, a: conn, b, open: false, ways: Default::default() });
                if !self.link(from, to).cut {
                    out.push(Output::Connect(b, self.targets[to]));
                }
            }
            Input::Connected(conn) => {
                if let Some(at) = self.pairs.iter().position(|p| p.b == conn) {
                    self.pairs[at].open = true;
                    self.pass(now, at, out);
                }
            }
            Input::Data(conn, bytes) => self.data(now, conn, bytes, out),
            Input::PeerClosedWhilePaused(_) | Input::DescriptorsExhausted(_) => {}
            Input::Eof(conn) | Input::Lost(conn, _) => self.end(conn, out),
            Input::OwnerMessage(news) => {
                if let Some(Links(links)) = news.downcast_ref::<Arc<Links>>().map(|l| &**l) {
                    for &(from, to, link) in links {
                        self.links[from * self.members + to] = link;
                    }
                } else if let Some(Noise(to, bytes)) = news.downcast_ref::<Noise>() {
                    let door = Wire::ways(self.members).position(|(_, at)| at == *to).unwrap_or(0);
                    out.push(Output::Datagram(ListenerId(door), self.targets[*to], bytes.clone()));
                }
            }
            Input::Stop => out.push(Output::Stopped),
            Input::Sent(..) | Input::Wake => {}
        }
        self.wake(now, out);
    }

    fn wake_at(&self) -> Option<Duration> {
        let late = self.late.peek().map(|Reverse((at, _))| *at);
        let waits = |p: &&Pair| p.open && p.ways.iter().any(|w| !w.held.is_empty());
        let slow = self.pairs.iter().filter(waits).flat_map(|p| {
            let links = [self.link(p.from, p.to), self.link(p.to, p.from)];
            let passes = move |(w, l): &(&Way, Link)| !w.held.is_empty() && !l.cut && !l.mute;
            p.ways.iter().zip(links).filter(passes).map(|(w, _)| w.next)
        });
        late.into_iter().chain(slow).min()
    }
}

#[cfg(test)]
mod tests;
