//! A network in memory with virtual time: hosts machines, carries their bytes, and is the same for the same seed.
//!
//! It keeps what TCP keeps: order, back-pressure (a window for each direction), half-close, resets after what was
//! sent before them, connections that the system takes up for a process that does not run. It loses nothing by
//! itself; what goes wrong is the script's affair.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, ListenerId, Machine, Output};
use std::any::Any;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of one direction that may be on their way or unread.
const WINDOW: usize = 256 << 10;
/// From one try to connect into a cut to the next.
const CONNECT_RETRY: Duration = Duration::from_secs(1);
/// Datagrams that wait in a socket whose process does not run.
const MAILBOX: usize = 160;

/// How long things take.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// One way between two machines.
    pub one_way: Duration,
    /// Up to so much more, drawn for each piece.
    pub jitter: Duration,
    /// How long after a write its machine is told that the bytes have left.
    pub sent: Duration,
    /// The share of connections that come up late.
    pub late_share: f64,
    /// By up to how much, drawn for each.
    pub late_most: Duration,
}

impl Default for Delays {
    /// About a loopback's.
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

enum Piece {
    Data(Vec<u8>),
    Fin,
    Reset,
}

/// One direction of a link; it leads to `to`.
#[derive(Default)]
struct Flow {
    unsent: VecDeque<Piece>,
    /// Sent into a cut: it arrives when the cut is over, unless its sender closes the connection at once before.
    stalled: VecDeque<Piece>,
    window: usize,
    arrived: VecDeque<Piece>,
    paused: bool,
    /// The machine knows that the other end has closed it though it is paused.
    hung_up: bool,
    last: Duration,
    /// The sender has ended it; nothing follows.
    closed: bool,
}

#[derive(Clone, Copy)]
struct End {
    node: usize,
    id: ConnId,
    /// Whether the machine still knows the connection.
    open: bool,
}

struct Link {
    ends: [End; 2],
    /// `flows[i]` leads to `ends[i]`.
    flows: [Flow; 2],
    connected: bool,
    /// By which listener it came.
    door: ListenerId,
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
    wake: Option<Duration>,
    /// Links that stand and that the frozen machine has not been told of.
    backlog: Vec<u64>,
    by_id: HashMap<ConnId, (u64, usize)>,
    /// Its datagram sockets, and what waits in them while it does not run.
    mailboxes: Vec<SocketAddr>,
    waiting: VecDeque<(ListenerId, SocketAddr, Vec<u8>)>,
}

/// Hosts machines in virtual time.
pub struct World<M> {
    now: Duration,
    seq: u64,
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    nodes: Vec<Node<M>>,
    listeners: BTreeMap<SocketAddr, usize>,
    mailboxes: BTreeMap<SocketAddr, (usize, ListenerId)>,
    links: HashMap<u64, Link>,
    next_link: u64,
    /// Pairs of machines between which nothing passes; the lower number first.
    cuts: BTreeSet<(usize, usize)>,
    delays: Delays,
    rng: Xoshiro256PlusPlus,
    digest: u64,
    log: Vec<(Duration, usize, String)>,
    handled: u64,
}

impl<M: Machine> World<M> {
    /// An empty world at the time `start`.
    pub fn new(start: Duration, delays: Delays, seed: u64) -> Self {
        World {
            now: start,
            seq: 0,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            nodes: Vec::new(),
            listeners: BTreeMap::new(),
            mailboxes: BTreeMap::new(),
            links: HashMap::new(),
            next_link: 0,
            cuts: BTreeSet::new(),
            delays,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            digest: seed,
            log: Vec::new(),
            handled: 0,
        }
    }

    /// The present time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// A hash over every byte that was delivered, when and to whom.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Lines that machines wrote for the staff.
    pub fn log(&self) -> &[(Duration, usize, String)] {
        &self.log
    }

    /// Inputs that machines were given so far.
    pub fn inputs_handled(&self) -> u64 {
        self.handled
    }

    /// Adds a machine that listens on these addresses.
    pub fn add(&mut self, machine: M, addrs: &[SocketAddr]) -> usize {
        let node = self.nodes.len();
        self.nodes.push(Node {
            machine,
            addrs: addrs.to_vec(),
            accepted: 0,
            dead: false,
            frozen: false,
            stopped: false,
            wake: None,
            backlog: Vec::new(),
            by_id: HashMap::new(),
            mailboxes: Vec::new(),
            waiting: VecDeque::new(),
        });
        addrs.iter().for_each(|a| {
            self.listeners.insert(*a, node);
        });
        self.plan_wake(node);
        node
    }

    /// Opens datagram sockets for a machine, at these addresses.
    pub fn open_datagram_sockets(&mut self, node: usize, addrs: &[SocketAddr]) {
        for &addr in addrs {
            let door = ListenerId(self.nodes[node].mailboxes.len());
            self.nodes[node].mailboxes.push(addr);
            self.mailboxes.insert(addr, (node, door));
        }
    }

    /// A machine.
    pub fn machine(&self, node: usize) -> &M {
        &self.nodes[node].machine
    }

    /// Whether a machine has said that it stopped.
    pub fn stopped(&self, node: usize) -> bool {
        self.nodes[node].stopped
    }

    /// Gives news to a machine.
    pub fn send_owner_message(&mut self, node: usize, news: &(dyn Any + Send + Sync)) {
        self.give(node, Input::OwnerMessage(news));
    }

    /// Tells a machine to stop in good order.
    pub fn stop(&mut self, node: usize) {
        self.give(node, Input::Stop);
    }

    /// A machine dies at once.
    pub fn kill(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        n.dead = true;
        n.backlog.clear();
        n.waiting.clear();
        n.by_id.clear();
        self.mailboxes.retain(|_, (n, _)| *n != node);
        self.listeners.retain(|_, n| *n != node);
        let mut mine: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, l)| l.ends.iter().any(|e| e.node == node && e.open))
            .map(|(&k, _)| k)
            .collect();
        mine.sort_unstable();
        for link in mine {
            for end in 0..2 {
                let l = self.links.get(&link);
                if l.is_some_and(|l| l.ends[end].node == node && l.ends[end].open) {
                    self.reset(link, end);
                }
            }
        }
    }

    /// A machine takes the place of one that was killed.
    pub fn revive(&mut self, node: usize, machine: M) {
        let n = &mut self.nodes[node];
        (n.machine, n.dead, n.frozen, n.stopped, n.wake) = (machine, false, false, false, None);
        for addr in n.addrs.clone() {
            self.listeners.insert(addr, node);
        }
        for (at, addr) in n.mailboxes.clone().into_iter().enumerate() {
            self.mailboxes.insert(addr, (node, ListenerId(at)));
        }
        self.plan_wake(node);
    }

    /// A machine is not run, or run again.
    pub fn freeze(&mut self, node: usize, frozen: bool) {
        self.nodes[node].frozen = frozen;
        if frozen || self.nodes[node].dead {
            return;
        }
        for link in std::mem::take(&mut self.nodes[node].backlog) {
            self.accept(link);
        }
        let mut mine: Vec<(u64, usize)> = self.nodes[node].by_id.values().copied().collect();
        mine.sort_unstable();
        mine.into_iter().for_each(|(link, end)| self.deliver(link, end));
        for (door, from, bytes) in std::mem::take(&mut self.nodes[node].waiting) {
            self.give(node, Input::Datagram(door, from, &bytes));
        }
        self.give(node, Input::Wake);
    }

    /// Nothing passes between two machines any more, or passes again. As with TCP nobody is told, what was sent meanwhile
    /// arrives late, and who tries to connect tries again.
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

    /// What was sent into a cut in the direction to `to` arrives after all.
    fn resend(&mut self, link: u64, to: usize) {
        let at = self.now + self.delay();
        let Some(l) = self.links.get_mut(&link) else { return };
        let flow = &mut l.flows[to];
        let stalled = std::mem::take(&mut flow.stalled);
        let at = flow.last.max(at);
        flow.last = at;
        for piece in stalled {
            self.plan(at, Event::Arrive { link, to, piece });
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cuts.contains(&(one.min(other), one.max(other)))
    }

    /// Runs until the given time.
    pub fn run_until(&mut self, until: Duration) {
        while self.heap.peek().is_some_and(|Reverse((at, _))| *at <= until) {
            self.step();
        }
        self.now = self.now.max(until);
    }

    /// Handles the next event, if there is one.
    pub fn step(&mut self) -> bool {
        let Some(Reverse((at, seq))) = self.heap.pop() else { return false };
        self.now = self.now.max(at);
        let Some(event) = self.events.remove(&seq) else { return true };
        match event {
            Event::Wake(node) => {
                let n = &mut self.nodes[node];
                if n.wake == Some(at) {
                    n.wake = None;
                }
                if !n.frozen {
                    self.give(node, Input::Wake);
                }
            }
            Event::Connecting { link, addr } => self.connecting(link, addr),
            Event::Connected(link) => self.connected(link),
            Event::Refused { node, id, why } => {
                if self.nodes[node].by_id.remove(&id).is_some() {
                    self.give(node, Input::Lost(id, why));
                }
            }
            Event::Arrive { link, to, piece } => {
                if let Some(l) = self.links.get_mut(&link) {
                    l.flows[to].arrived.push_back(piece);
                    self.deliver(link, to);
                }
            }
            Event::Deliver { link, to } => self.deliver(link, to),
            Event::Datagram { from, to, bytes } => self.take_datagram(from, to, bytes),
            Event::Sent { link, from, n } => {
                let end = self.links.get(&link).map(|l| l.ends[from]);
                if let Some(end) = end.filter(|e| e.open) {
                    self.give(end.node, Input::Sent(end.id, n));
                }
            }
        }
        true
    }

    fn plan(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        self.heap.push(Reverse((at, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn delay(&mut self) -> Duration {
        let part = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        self.delays.one_way + self.delays.jitter.mul_f64(part)
    }

    /// How much later than usual a connection comes up.
    fn lateness(&mut self) -> Duration {
        // Nothing is drawn where nothing is late, so that worlds without it keep their chances.
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

    fn plan_wake(&mut self, node: usize) {
        let n = &self.nodes[node];
        if n.dead {
            return;
        }
        let Some(at) = n.machine.wake_at() else { return };
        // Never in the past, and never now again: a machine that asks for it would stop the clock.
        let at = at.max(self.now + Duration::from_micros(1));
        if n.wake.is_none_or(|planned| at < planned) {
            self.nodes[node].wake = Some(at);
            self.plan(at, Event::Wake(node));
        }
    }

    // ---- Links ---------------------------------------------------------------------------------

    fn connecting(&mut self, link: u64, addr: SocketAddr) {
        let Some(l) = self.links.get(&link) else { return };
        let from = l.ends[0];
        let Some(&node) = self.listeners.get(&addr).filter(|_| from.open) else {
            self.links.remove(&link);
            let at = self.now + self.delay();
            return self.plan(
                at,
                Event::Refused { node: from.node, id: from.id, why: ConnectionLoss::NotConnected },
            );
        };
        if self.is_cut(from.node, node) {
            return self.plan(self.now + CONNECT_RETRY, Event::Connecting { link, addr });
        }
        if let Some(l) = self.links.get_mut(&link) {
            l.ends[1].node = node;
            l.door = ListenerId(self.nodes[node].addrs.iter().position(|a| *a == addr).unwrap_or(0));
        }
        let at = self.now + self.delay() + self.lateness();
        self.plan(at, Event::Connected(link));
        if self.nodes[node].frozen {
            self.nodes[node].backlog.push(link);
        } else {
            self.accept(link);
        }
    }

    fn accept(&mut self, link: u64) {
        let Some(l) = self.links.get_mut(&link) else { return };
        let (node, door) = (l.ends[1].node, l.door);
        let n = &mut self.nodes[node];
        n.accepted += 1;
        let id = ConnId(n.accepted);
        l.ends[1] = End { node, id, open: true };
        n.by_id.insert(id, (link, 1));
        self.give(node, Input::Accepted(id, door));
        self.deliver(link, 1);
    }

    fn take_datagram(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let Some(&(node, door)) = self.mailboxes.get(&to) else { return };
        let n = &mut self.nodes[node];
        if n.frozen {
            // As much as a socket holds; what comes after that is lost.
            if n.waiting.len() < MAILBOX {
                n.waiting.push_back((door, from, bytes));
            }
            return;
        }
        let when = self.now.as_nanos() as u64 ^ (node as u64) << 56;
        self.digest = xxh3_64_with_seed(&bytes, self.digest ^ when);
        self.give(node, Input::Datagram(door, from, &bytes));
    }

    fn connected(&mut self, link: u64) {
        let Some(l) = self.links.get_mut(&link) else { return };
        if l.ends[0].open && !std::mem::replace(&mut l.connected, true) {
            let End { node, id, .. } = l.ends[0];
            self.give(node, Input::Connected(id));
            self.deliver(link, 0);
        }
    }

    /// Sends what the window takes in the direction to `to`.
    fn launch(&mut self, link: u64, to: usize) {
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
            let at = flow.last.max(self.now + delay);
            flow.last = at;
            if let Piece::Data(bytes) = &piece {
                let n = bytes.len();
                flow.window += n;
                self.plan(self.now + self.delays.sent, Event::Sent { link, from: 1 - to, n });
            }
            if !is_cut {
                self.plan(at, Event::Arrive { link, to, piece });
                continue;
            }
            if let Some(l) = self.links.get_mut(&link) {
                l.flows[to].stalled.push_back(piece);
            }
        }
    }

    /// Hands over what has arrived at an end, while its machine takes it.
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
                let closed = |piece: &Piece| matches!(piece, Piece::Fin | Piece::Reset);
                if flow.arrived.iter().any(closed) && !std::mem::replace(&mut flow.hung_up, true) {
                    self.give(end.node, Input::PeerClosedWhilePaused(end.id));
                }
                return;
            }
            let Some(piece) = flow.arrived.pop_front() else { return };
            match piece {
                Piece::Data(bytes) => {
                    flow.window -= bytes.len().min(flow.window);
                    let when = self.now.as_nanos() as u64 ^ (end.node as u64) << 56 ^ end.id.0;
                    self.digest = xxh3_64_with_seed(&bytes, self.digest ^ when);
                    self.give(end.node, Input::Data(end.id, &bytes));
                    self.launch(link, to);
                }
                Piece::Fin => self.give(end.node, Input::Eof(end.id)),
                Piece::Reset => {
                    self.close_end(link, to);
                    self.give(end.node, Input::Lost(end.id, ConnectionLoss::Reset));
                }
            }
        }
    }

    /// An end is closed at once: the other learns of it after what was sent before.
    fn reset(&mut self, link: u64, end: usize) {
        let Some(l) = self.links.get_mut(&link) else { return };
        let flow = &mut l.flows[1 - end];
        flow.unsent.clear();
        flow.stalled.clear();
        if !std::mem::replace(&mut flow.closed, true) {
            flow.unsent.push_back(Piece::Reset);
        }
        self.launch(link, 1 - end);
        self.close_end(link, end);
    }

    fn close_end(&mut self, link: u64, end: usize) {
        let Some(l) = self.links.get_mut(&link) else { return };
        l.ends[end].open = false;
        let End { node, id, .. } = l.ends[end];
        self.nodes[node].by_id.remove(&id);
        if !l.ends[1 - end].open {
            // What is still on its way finds nobody.
            self.links.remove(&link);
        }
    }

    // ---- Machines ------------------------------------------------------------------------------

    fn give(&mut self, node: usize, input: Input<'_>) {
        if self.nodes[node].dead {
            return;
        }
        self.handled += 1;
        let mut out = Vec::new();
        self.nodes[node].machine.handle(self.now, input, &mut out);
        for output in out {
            self.carry_out(node, output);
        }
        self.plan_wake(node);
    }

    fn carry_out(&mut self, node: usize, output: Output) {
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
                        door: ListenerId(0),
                    },
                );
                self.nodes[node].by_id.insert(id, (link, 0));
                let at = self.now + self.delay();
                self.plan(at, Event::Connecting { link, addr });
            }
            // A socket knows no empty writes.
            Output::Write(_, bytes) if bytes.is_empty() => {}
            Output::Write(id, bytes) => {
                let Some((link, end)) = found(&id) else { return };
                if let Some(l) = self.links.get_mut(&link) {
                    l.flows[1 - end].unsent.push_back(Piece::Data(bytes));
                    self.launch(link, 1 - end);
                }
            }
            Output::ShutdownWrite(id) => {
                let Some((link, end)) = found(&id) else { return };
                if let Some(l) = self.links.get_mut(&link) {
                    if !std::mem::replace(&mut l.flows[1 - end].closed, true) {
                        l.flows[1 - end].unsent.push_back(Piece::Fin);
                    }
                }
                self.launch(link, 1 - end);
            }
            Output::CloseWhenSent(id) => {
                let Some((link, end)) = found(&id) else { return };
                if let Some(l) = self.links.get_mut(&link) {
                    if !std::mem::replace(&mut l.flows[1 - end].closed, true) {
                        l.flows[1 - end].unsent.push_back(Piece::Fin);
                    }
                    // What comes in from now on is dropped, so that the other side is not held up.
                    l.flows[end].paused = false;
                }
                self.launch(link, 1 - end);
                self.close_end(link, end);
                self.deliver(link, end);
            }
            Output::Abort(id) => {
                let Some((link, end)) = found(&id) else { return };
                self.reset(link, end);
            }
            Output::Datagram(ListenerId(door), to, bytes) => {
                let Some(&from) = self.nodes[node].mailboxes.get(door) else { return };
                let at = self.now + self.delay();
                self.plan(at, Event::Datagram { from, to, bytes });
            }
            Output::Pause(id) | Output::Resume(id) => {
                let Some((link, end)) = found(&id) else { return };
                let paused = matches!(output, Output::Pause(_));
                if let Some(l) = self.links.get_mut(&link) {
                    l.flows[end].paused = paused;
                }
                if !paused {
                    // In a moment of its own: the machine is in the midst of its outputs.
                    self.plan(self.now, Event::Deliver { link, to: end });
                }
            }
            Output::StopListening => self.listeners.retain(|_, n| *n != node),
            Output::Stopped => {
                self.nodes[node].stopped = true;
                self.listeners.retain(|_, n| *n != node);
                self.mailboxes.retain(|_, (n, _)| *n != node);
            }
            Output::Log(line) => self.log.push((self.now, node, line)),
        }
    }
}
