//! A simulated network with virtual time: it hosts machines and carries their bytes. The same seed gives the
//! same run.
//!
//! It behaves like TCP: order, back-pressure (a window for each direction), half-close, resets that arrive
//! after what was sent before them, and connections that the operating system accepts for a process that does
//! not run. It loses nothing by itself; faults are up to the test.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, ListenerId, Machine, Output};
use std::any::Any;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Once this many bytes of one direction are in flight or unread, no more are sent.
const WINDOW: usize = 256 << 10;
/// Interval between attempts to connect to a machine that is cut off.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The most datagrams that wait for a process that does not run.
const MAX_QUEUED_DATAGRAMS: usize = 160;

/// Delays of the network.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// Time from one machine to another.
    pub one_way: Duration,
    /// The most that is added to it, drawn for each transfer.
    pub jitter: Duration,
    /// Time from a write until its machine is told that the bytes have been sent.
    pub sent: Duration,
    /// The share of connections that are established late.
    pub late_share: f64,
    /// The most by which they are late, drawn for each connection.
    pub late_most: Duration,
}

impl Default for Delays {
    /// Delays like those of a loopback interface.
    fn default() -> Self {
        Delays {
            one_way: Duration::from_micros(50),
            jitter: Duration::from_micros(50),
            sent: Duration::ZERO,
            late_share: 0.0,
            late_most: Duration::ZERO,
        }
    }
}

/// What a link carries.
enum Piece {
    Data(Vec<u8>),
    Fin,
    Reset,
}

/// One direction of a link.
#[derive(Default)]
struct Flow {
    unsent: VecDeque<Piece>,
    /// Sent while the machines were cut off from each other: it arrives when the cut ends, unless its sender
    /// aborts the connection before.
    stalled: VecDeque<Piece>,
    /// Bytes in flight or unread.
    window: usize,
    arrived: VecDeque<Piece>,
    paused: bool,
    /// The machine was told that the other end has closed the connection while it was paused.
    close_reported: bool,
    /// When the last piece sent so far arrives.
    last_arrival: Duration,
    /// The sender has closed this direction.
    closed: bool,
}

/// One end of a link.
#[derive(Clone, Copy)]
struct End {
    node: usize,
    id: ConnId,
    /// Whether the machine still knows the connection.
    open: bool,
}

/// A connection between two machines.
struct Link {
    ends: [End; 2],
    /// `flows[i]` leads to `ends[i]`.
    flows: [Flow; 2],
    connected: bool,
    /// The listener that accepted it.
    listener: ListenerId,
}

enum Event {
    Wake(usize),
    Connecting { link: u64, addr: SocketAddr },
    Connected(u64),
    Refused { node: usize, id: ConnId, why: ConnectionLoss },
    Arrive { link: u64, to: usize, piece: Piece },
    Deliver { link: u64, to: usize },
    Sent { link: u64, from: usize, n: usize },
    Datagram { from: SocketAddr, to: SocketAddr, bytes: Vec<u8> },
}

struct Node<M> {
    machine: M,
    addrs: Vec<SocketAddr>,
    accepted: u64,
    dead: bool,
    frozen: bool,
    stopped: bool,
    next_wake: Option<Duration>,
    /// Established links that the frozen machine has not been told of.
    backlog: Vec<u64>,
    by_id: HashMap<ConnId, (u64, usize)>,
    /// Addresses of its datagram sockets, and the datagrams that wait while it is frozen.
    datagram_sockets: Vec<SocketAddr>,
    queued_datagrams: VecDeque<(ListenerId, SocketAddr, Vec<u8>)>,
}

/// A simulated network that hosts machines in virtual time.
pub struct World<M> {
    now: Duration,
    seq: u64,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    nodes: Vec<Node<M>>,
    listeners: BTreeMap<SocketAddr, usize>,
    datagram_sockets: BTreeMap<SocketAddr, (usize, ListenerId)>,
    links: HashMap<u64, Link>,
    next_link: u64,
    /// Pairs of machines that are cut off from each other; the lower number first.
    cuts: BTreeSet<(usize, usize)>,
    delays: Delays,
    rng: Xoshiro256PlusPlus,
    digest: u64,
    log: Vec<(Duration, usize, String)>,
    inputs_handled: u64,
}

impl<M: Machine> World<M> {
    /// An empty network at the time `start`.
    pub fn new(start: Duration, delays: Delays, seed: u64) -> Self {
        World {
            now: start,
            seq: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            nodes: Vec::new(),
            listeners: BTreeMap::new(),
            datagram_sockets: BTreeMap::new(),
            links: HashMap::new(),
            next_link: 0,
            cuts: BTreeSet::new(),
            delays,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            digest: seed,
            log: Vec::new(),
            inputs_handled: 0,
        }
    }

    /// The current virtual time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// A hash over every delivered byte, the time of its delivery and its receiver.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Log lines of the machines: time, machine and line.
    pub fn log(&self) -> &[(Duration, usize, String)] {
        &self.log
    }

    /// Number of inputs delivered to machines so far.
    pub fn inputs_handled(&self) -> u64 {
        self.inputs_handled
    }

    /// Adds a machine that listens on these addresses. Returns its number.
    pub fn add(&mut self, machine: M, addrs: &[SocketAddr]) -> usize {
        let node = self.nodes.len();
        self.nodes.push(Node {
            machine,
            addrs: addrs.to_vec(),
            accepted: 0,
            dead: false,
            frozen: false,
            stopped: false,
            next_wake: None,
            backlog: Vec::new(),
            by_id: HashMap::new(),
            datagram_sockets: Vec::new(),
            queued_datagrams: VecDeque::new(),
        });
        addrs.iter().for_each(|a| {
            self.listeners.insert(*a, node);
        });
        self.schedule_wake(node);
        node
    }

    /// Opens datagram sockets for a machine, at these addresses.
    pub fn open_datagram_sockets(&mut self, node: usize, addrs: &[SocketAddr]) {
        for &addr in addrs {
            let listener = ListenerId(self.nodes[node].datagram_sockets.len());
            self.nodes[node].datagram_sockets.push(addr);
            self.datagram_sockets.insert(addr, (node, listener));
        }
    }

    /// Returns a machine.
    pub fn machine(&self, node: usize) -> &M {
        &self.nodes[node].machine
    }

    /// Whether a machine has reported that it stopped.
    pub fn stopped(&self, node: usize) -> bool {
        self.nodes[node].stopped
    }

    /// Sends a machine a message from its owner.
    pub fn send_owner_message(&mut self, node: usize, message: &(dyn Any + Send + Sync)) {
        self.deliver_input(node, Input::OwnerMessage(message));
    }

    /// Tells a machine to stop gracefully.
    pub fn stop(&mut self, node: usize) {
        self.deliver_input(node, Input::Stop);
    }

    /// Kills a machine: its connections are reset.
    pub fn kill(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        n.dead = true;
        n.backlog.clear();
        n.queued_datagrams.clear();
        n.by_id.clear();
        self.datagram_sockets.retain(|_, (n, _)| *n != node);
        self.listeners.retain(|_, n| *n != node);
        let mut its_links: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, l)| l.ends.iter().any(|e| e.node == node && e.open))
            .map(|(&k, _)| k)
            .collect();
        its_links.sort_unstable();
        for link in its_links {
            for end in 0..2 {
                let l = self.links.get(&link);
                if l.is_some_and(|l| l.ends[end].node == node && l.ends[end].open) {
                    self.reset(link, end);
                }
            }
        }
    }

    /// Starts a machine in place of one that was killed.
    pub fn revive(&mut self, node: usize, machine: M) {
        let n = &mut self.nodes[node];
        (n.machine, n.dead, n.frozen, n.stopped, n.next_wake) = (machine, false, false, false, None);
        for addr in n.addrs.clone() {
            self.listeners.insert(addr, node);
        }
        for (at, addr) in n.datagram_sockets.clone().into_iter().enumerate() {
            self.datagram_sockets.insert(addr, (node, ListenerId(at)));
        }
        self.schedule_wake(node);
    }

    /// Suspends or resumes a machine.
    pub fn freeze(&mut self, node: usize, frozen: bool) {
        self.nodes[node].frozen = frozen;
        if frozen || self.nodes[node].dead {
            return;
        }
        for link in std::mem::take(&mut self.nodes[node].backlog) {
            self.accept(link);
        }
        let mut its_links: Vec<(u64, usize)> = self.nodes[node].by_id.values().copied().collect();
        its_links.sort_unstable();
        its_links.into_iter().for_each(|(link, end)| self.deliver(link, end));
        for (listener, from, bytes) in std::mem::take(&mut self.nodes[node].queued_datagrams) {
            self.deliver_input(node, Input::Datagram(listener, from, &bytes));
        }
        self.deliver_input(node, Input::Wake);
    }

    /// Cuts two machines off from each other, or reconnects them. As with TCP they are not told, what was
    /// sent during the cut arrives late, and new connections are retried.
    pub fn cut(&mut self, one: usize, other: usize, is_cut: bool) {
        let pair = (one.min(other), one.max(other));
        if is_cut {
            self.cuts.insert(pair);
            return;
        }
        self.cuts.remove(&pair);
        let is_between =
            |l: &Link| pair == (l.ends[0].node.min(l.ends[1].node), l.ends[0].node.max(l.ends[1].node));
        let mut between: Vec<u64> =
            self.links.iter().filter(|(_, l)| is_between(l)).map(|(&k, _)| k).collect();
        between.sort_unstable();
        for link in between {
            self.resend(link, 0);
            self.resend(link, 1);
        }
    }

    /// Delivers what was sent to `to` during a cut.
    fn resend(&mut self, link: u64, to: usize) {
        let at = self.now + self.delay();
        let Some(l) = self.links.get_mut(&link) else { return };
        let flow = &mut l.flows[to];
        let stalled = std::mem::take(&mut flow.stalled);
        let at = flow.last_arrival.max(at);
        flow.last_arrival = at;
        for piece in stalled {
            self.schedule(at, Event::Arrive { link, to, piece });
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cuts.contains(&(one.min(other), one.max(other)))
    }

    /// Runs until the given time.
    pub fn run_until(&mut self, until: Duration) {
        while self.queue.peek().is_some_and(|Reverse((at, _))| *at <= until) {
            self.step();
        }
        self.now = self.now.max(until);
    }

    /// Handles the next event, if there is one.
    pub fn step(&mut self) -> bool {
        let Some(Reverse((at, seq))) = self.queue.pop() else { return false };
        self.now = self.now.max(at);
        let Some(event) = self.events.remove(&seq) else { return true };
        match event {
            Event::Wake(node) => {
                let n = &mut self.nodes[node];
                if n.next_wake == Some(at) {
                    n.next_wake = None;
                }
                if !n.frozen {
                    self.deliver_input(node, Input::Wake);
                }
            }
            Event::Connecting { link, addr } => self.connecting(link, addr),
            Event::Connected(link) => self.connected(link),
            Event::Refused { node, id, why } => {
                if self.nodes[node].by_id.remove(&id).is_some() {
                    self.deliver_input(node, Input::Lost(id, why));
                }
            }
            Event::Arrive { link, to, piece } => {
                if let Some(l) = self.links.get_mut(&link) {
                    l.flows[to].arrived.push_back(piece);
                    self.deliver(link, to);
                }
            }
            Event::Deliver { link, to } => self.deliver(link, to),
            Event::Datagram { from, to, bytes } => self.deliver_datagram(from, to, bytes),
            Event::Sent { link, from, n } => {
                let end = self.links.get(&link).map(|l| l.ends[from]);
                if let Some(end) = end.filter(|e| e.open) {
                    self.deliver_input(end.node, Input::Sent(end.id, n));
                }
            }
        }
        true
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn delay(&mut self) -> Duration {
        let share = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        self.delays.one_way + self.delays.jitter.mul_f64(share)
    }

    /// By how much the establishment of a connection is late.
    fn connect_lateness(&mut self) -> Duration {
        // Draws no random number where no connection is late, so that runs without lateness keep their random
        // sequence.
        if self.delays.late_share == 0.0 {
            return Duration::ZERO;
        }
        let draw = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let share = self.delays.late_share;
        if draw < share {
            self.delays.late_most.mul_f64(draw / share)
        } else {
            Duration::ZERO
        }
    }

    fn schedule_wake(&mut self, node: usize) {
        let n = &self.nodes[node];
        if n.dead {
            return;
        }
        let Some(at) = n.machine.wake_at() else { return };
        // Always in the future: a machine that asks to be woken now or in the past would stop the clock.
        let at = at.max(self.now + Duration::from_micros(1));
        if n.next_wake.is_none_or(|planned| at < planned) {
            self.nodes[node].next_wake = Some(at);
            self.schedule(at, Event::Wake(node));
        }
    }

    // ---- Links ---------------------------------------------------------------------------------

    fn connecting(&mut self, link: u64, addr: SocketAddr) {
        let Some(l) = self.links.get(&link) else { return };
        let from = l.ends[0];
        let Some(&node) = self.listeners.get(&addr).filter(|_| from.open) else {
            self.links.remove(&link);
            let at = self.now + self.delay();
            return self.schedule(
                at,
                Event::Refused { node: from.node, id: from.id, why: ConnectionLoss::NotConnected },
            );
        };
        if self.is_cut(from.node, node) {
            return self.schedule(self.now + CONNECT_RETRY_INTERVAL, Event::Connecting { link, addr });
        }
        if let Some(l) = self.links.get_mut(&link) {
            l.ends[1].node = node;
            l.listener = ListenerId(self.nodes[node].addrs.iter().position(|a| *a == addr).unwrap_or(0));
        }
        let at = self.now + self.delay() + self.connect_lateness();
        self.schedule(at, Event::Connected(link));
        if self.nodes[node].frozen {
            self.nodes[node].backlog.push(link);
        } else {
            self.accept(link);
        }
    }

    fn accept(&mut self, link: u64) {
        let Some(l) = self.links.get_mut(&link) else { return };
        let (node, listener) = (l.ends[1].node, l.listener);
        let n = &mut self.nodes[node];
        n.accepted += 1;
        let id = ConnId(n.accepted);
        l.ends[1] = End { node, id, open: true };
        n.by_id.insert(id, (link, 1));
        self.deliver_input(node, Input::Accepted(id, listener));
        self.deliver(link, 1);
    }

    fn deliver_datagram(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let Some(&(node, listener)) = self.datagram_sockets.get(&to) else { return };
        let n = &mut self.nodes[node];
        if n.frozen {
            // The socket holds this many; later datagrams are lost.
            if n.queued_datagrams.len() < MAX_QUEUED_DATAGRAMS {
                n.queued_datagrams.push_back((listener, from, bytes));
            }
            return;
        }
        let when = self.now.as_nanos() as u64 ^ (node as u64) << 56;
        self.digest = xxh3_64_with_seed(&bytes, self.digest ^ when);
        self.deliver_input(node, Input::Datagram(listener, from, &bytes));
    }

    fn connected(&mut self, link: u64) {
        let Some(l) = self.links.get_mut(&link) else { return };
        if l.ends[0].open && !std::mem::replace(&mut l.connected, true) {
            let End { node, id, .. } = l.ends[0];
            self.deliver_input(node, Input::Connected(id));
            self.deliver(link, 0);
        }
    }

    /// Sends as much to `to` as the window allows.
    fn transmit(&mut self, link: u64, to: usize) {
        loop {
            let delay = self.delay();
            let Some(l) = self.links.get(&link) else { return };
            let is_cut = self.is_cut(l.ends[0].node, l.ends[1].node);
            let Some(l) = self.links.get_mut(&link) else { return };
            let flow = &mut l.flows[to];
            let fits = match flow.unsent.front() {
                Some(Piece::Data(_)) => flow.window < WINDOW,
                Some(_) => true,
                None => return,
            };
            if !fits {
                return;
            }
            let Some(piece) = flow.unsent.pop_front() else { return };
            let at = flow.last_arrival.max(self.now + delay);
            flow.last_arrival = at;
            if let Piece::Data(bytes) = &piece {
                let n = bytes.len();
                flow.window += n;
                self.schedule(self.now + self.delays.sent, Event::Sent { link, from: 1 - to, n });
            }
            if !is_cut {
                self.schedule(at, Event::Arrive { link, to, piece });
                continue;
            }
            if let Some(l) = self.links.get_mut(&link) {
                l.flows[to].stalled.push_back(piece);
            }
        }
    }

    /// Delivers what has arrived at an end, unless its machine is frozen or has paused the connection.
    fn deliver(&mut self, link: u64, to: usize) {
        loop {
            let Some(l) = self.links.get_mut(&link) else { return };
            let end = l.ends[to];
            if self.nodes[end.node].frozen || (to == 0 && !l.connected) || (to == 1 && end.id == ConnId(0)) {
                return;
            }
            if !end.open {
                l.flows[to].arrived.clear();
                return;
            }
            let flow = &mut l.flows[to];
            let is_data = matches!(flow.arrived.front(), Some(Piece::Data(_) | Piece::Fin));
            if flow.paused && is_data {
                let is_end = |piece: &Piece| matches!(piece, Piece::Fin | Piece::Reset);
                if flow.arrived.iter().any(is_end) && !std::mem::replace(&mut flow.close_reported, true) {
                    self.deliver_input(end.node, Input::PeerClosedWhilePaused(end.id));
                }
                return;
            }
            let Some(piece) = flow.arrived.pop_front() else { return };
            match piece {
                Piece::Data(bytes) => {
                    flow.window -= bytes.len().min(flow.window);
                    let when = self.now.as_nanos() as u64 ^ (end.node as u64) << 56 ^ end.id.0;
                    self.digest = xxh3_64_with_seed(&bytes, self.digest ^ when);
                    self.deliver_input(end.node, Input::Data(end.id, &bytes));
                    self.transmit(link, to);
                }
                Piece::Fin => self.deliver_input(end.node, Input::Eof(end.id)),
                Piece::Reset => {
                    self.close_end(link, to);
                    self.deliver_input(end.node, Input::Lost(end.id, ConnectionLoss::Reset));
                }
            }
        }
    }

    /// Closes an end at once. The other end learns of it after what was sent before.
    fn reset(&mut self, link: u64, end: usize) {
        let Some(l) = self.links.get_mut(&link) else { return };
        let flow = &mut l.flows[1 - end];
        flow.unsent.clear();
        flow.stalled.clear();
        if !std::mem::replace(&mut flow.closed, true) {
            flow.unsent.push_back(Piece::Reset);
        }
        self.transmit(link, 1 - end);
        self.close_end(link, end);
    }

    fn close_end(&mut self, link: u64, end: usize) {
        let Some(l) = self.links.get_mut(&link) else { return };
        l.ends[end].open = false;
        let End { node, id, .. } = l.ends[end];
        self.nodes[node].by_id.remove(&id);
        if !l.ends[1 - end].open {
            // Pieces in flight are dropped.
            self.links.remove(&link);
        }
    }

    // ---- Machines ------------------------------------------------------------------------------

    fn deliver_input(&mut self, node: usize, input: Input<'_>) {
        if self.nodes[node].dead {
            return;
        }
        self.inputs_handled += 1;
        let mut out = Vec::new();
        self.nodes[node].machine.handle(self.now, input, &mut out);
        for output in out {
            self.apply_output(node, output);
        }
        self.schedule_wake(node);
    }

    fn apply_output(&mut self, node: usize, output: Output) {
        let found = |id: &ConnId| self.nodes[node].by_id.get(id).copied();
        match output {
            Output::Connect(id, addr) => {
                self.next_link += 1;
                let link = self.next_link;
                let (from, to) = (End { node, id, open: true }, End { node: 0, id: ConnId(0), open: false });
                self.links.insert(
                    link,
                    Link {
                        ends: [from, to],
                        flows: Default::default(),
                        connected: false,
                        listener: ListenerId(0),
                    },
                );
                self.nodes[node].by_id.insert(id, (link, 0));
                let at = self.now + self.delay();
                self.schedule(at, Event::Connecting { link, addr });
            }
            // An empty write has no effect on a socket.
            Output::Write(_, bytes) if bytes.is_empty() => {}
            Output::Write(id, bytes) => {
                let Some((link, end)) = found(&id) else { return };
                if let Some(l) = self.links.get_mut(&link) {
                    l.flows[1 - end].unsent.push_back(Piece::Data(bytes));
                    self.transmit(link, 1 - end);
                }
            }
            Output::ShutdownWrite(id) => {
                let Some((link, end)) = found(&id) else { return };
                if let Some(l) = self.links.get_mut(&link) {
                    if !std::mem::replace(&mut l.flows[1 - end].closed, true) {
                        l.flows[1 - end].unsent.push_back(Piece::Fin);
                    }
                }
                self.transmit(link, 1 - end);
            }
            Output::CloseWhenSent(id) => {
                let Some((link, end)) = found(&id) else { return };
                if let Some(l) = self.links.get_mut(&link) {
                    if !std::mem::replace(&mut l.flows[1 - end].closed, true) {
                        l.flows[1 - end].unsent.push_back(Piece::Fin);
                    }
                    // Later input is dropped, so that the other side is not blocked.
                    l.flows[end].paused = false;
                }
                self.transmit(link, 1 - end);
                self.close_end(link, end);
                self.deliver(link, end);
            }
            Output::Abort(id) => {
                let Some((link, end)) = found(&id) else { return };
                self.reset(link, end);
            }
            Output::Datagram(ListenerId(listener), to, bytes) => {
                let Some(&from) = self.nodes[node].datagram_sockets.get(listener) else { return };
                let at = self.now + self.delay();
                self.schedule(at, Event::Datagram { from, to, bytes });
            }
            Output::Pause(id) | Output::Resume(id) => {
                let Some((link, end)) = found(&id) else { return };
                let paused = matches!(output, Output::Pause(_));
                if let Some(l) = self.links.get_mut(&link) {
                    l.flows[end].paused = paused;
                }
                if !paused {
                    // As an event of its own: the outputs of the machine are still being applied.
                    self.schedule(self.now, Event::Deliver { link, to: end });
                }
            }
            Output::StopListening => self.listeners.retain(|_, n| *n != node),
            Output::Stopped => {
                self.nodes[node].stopped = true;
                self.listeners.retain(|_, n| *n != node);
                self.datagram_sockets.retain(|_, (n, _)| *n != node);
            }
            Output::Log(line) => self.log.push((self.now, node, line)),
        }
    }
}
