//! The event loop.

mod readiness;
mod slots;
#[cfg(test)]
mod tests;

use crate::conn::{Conn, Phase};
use crate::{check_loopback, NetError};
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::{eventfd, EventfdFlags, Timespec};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{self, sockopt, AddressFamily, SendFlags, SocketFlags, SocketType};
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, ListenerId, Machine, Output};
use std::any::Any;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// The clock does not begin at nothing, so that an engine's start can lie before the loop's.
const CLOCK_BASE: Duration = Duration::from_secs(1 << 20);
/// How long a finished connection waits for its peer to close too, so that the last answer is not lost to a reset.
const LINGER: Duration = Duration::from_millis(1_000);
/// Bytes taken from a connection before the others have their turn. Guards against floods: requests sent ahead by the
/// thousand on a few connections must not hold up timers, other clients' requests and the word that a client has gone.
const READ_A_TURN: usize = 16 << 10;
/// Reads that drop what still comes on a finished connection, before others have their turn.
const DISCARDS_A_TURN: usize = 4;
/// Wait before accepting goes on after descriptors ran out.
const NO_DESCRIPTORS: Duration = Duration::from_millis(50);
const BACKLOG: i32 = 4096;
/// Connections taken from a listener before others have their turn.
const ACCEPTS_A_TURN: i32 = 64;
/// Descriptors kept for connections that the machines open: those that come in may take all others.
const RESERVE: usize = 4;
/// Datagrams taken at once before others have their turn.
const DATAGRAMS: usize = 64;
/// Bytes of the longest datagram that there can be.
const DATAGRAM_LENGTH: usize = 64 << 10;

/// A clock that several loops share.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The present time.
    pub fn now(&self) -> Duration {
        CLOCK_BASE + self.0.elapsed()
    }
}

/// A machine in a loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub usize);

/// What a loop is told from another thread.
pub enum Command<M> {
    /// News for a machine.
    News(NodeId, Arc<dyn Any + Send + Sync>),
    /// A machine is to stop in good order.
    Stop(NodeId),
    /// A machine dies at once, as if its process were killed: its connections are reset, its state is gone.
    Kill(NodeId),
    /// A machine takes the place of one that was killed, on the same addresses.
    Revive(NodeId, M),
    /// A machine is not run until `Thaw`; its connections stay.
    Freeze(NodeId),
    /// Runs a frozen machine again.
    Thaw(NodeId),
    /// The loop ends now.
    End,
}

/// Tells a loop something from another thread.
pub struct Handle<M> {
    commands: mpsc::Sender<Command<M>>,
    wake: Arc<OwnedFd>,
}

impl<M> Clone for Handle<M> {
    fn clone(&self) -> Self {
        Handle { commands: self.commands.clone(), wake: self.wake.clone() }
    }
}

impl<M> Handle<M> {
    /// Tells it. False if the loop has ended.
    pub fn tell(&self, command: Command<M>) -> bool {
        let told = self.commands.send(command).is_ok();
        let _ = rustix::io::write(&*self.wake, &1u64.to_ne_bytes());
        told
    }
}

struct Node<M> {
    machine: M,
    listeners: Vec<SocketAddr>,
    /// Its datagram sockets: their addresses and slots.
    datagrams: Vec<(SocketAddr, usize)>,
    by_id: HashMap<ConnId, usize>,
    accepted: u64,
    dead: bool,
    frozen: bool,
    stopped: bool,
}

struct Listener {
    fd: OwnedFd,
    node: usize,
    door: ListenerId,
    /// Out of descriptors: not asked until then.
    resting: Option<Duration>,
}

/// A datagram socket.
struct Mailbox {
    fd: OwnedFd,
    node: usize,
    door: ListenerId,
}

enum Slot {
    Free,
    Mailbox(Mailbox),
    Conn(Box<Conn>),
    Listener(Listener),
}

type Log = Box<dyn FnMut(NodeId, &str) + Send>;

/// An event loop that drives machines over sockets.
pub struct Loop<M> {
    epoll: OwnedFd,
    clock: Clock,
    nodes: Vec<Node<M>>,
    slots: Vec<Slot>,
    /// Counts the uses of each slot: readiness of an earlier use is ignored.
    uses: Vec<u32>,
    free: Vec<usize>,
    /// Machines' outputs to carry out.
    todo: VecDeque<(usize, Output)>,
    dirty: VecDeque<usize>,
    /// Finished connections that wait for their peers, by when, with the use of the slot.
    lingering: VecDeque<(Duration, usize, u32)>,
    /// The slots of listeners.
    doors: Vec<usize>,
    /// Outputs are being carried out: what they cause is queued, not nested.
    busy: bool,
    commands: mpsc::Receiver<Command<M>>,
    handle: Handle<M>,
    log: Log,
    ended: bool,
    /// Whether other addresses than loopback's may be used.
    anywhere: bool,
    /// The most descriptors of connections; those that only wait for their peer's end go first.
    most: usize,
    /// Descriptors of nothing, given up one by one where the process has no other left to connect with.
    reserve: Vec<std::fs::File>,
}

const WAKE: u64 = u64::MAX;

fn family(addr: SocketAddr) -> AddressFamily {
    if addr.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    }
}

fn token(slot: usize, uses: u32) -> EventData {
    EventData::new_u64((u64::from(uses) << 32) | slot as u64)
}

impl<M: Machine> Loop<M> {
    /// A loop without machines.
    ///
    /// # Errors
    /// No descriptors for epoll; `Unsupported` on a kernel before 5.11, which knows no waits under a millisecond.
    pub fn new(clock: Clock) -> std::io::Result<Self> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        let mut none: [std::mem::MaybeUninit<epoll::Event>; 1] = [std::mem::MaybeUninit::uninit()];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        if matches!(epoll::wait(&epoll, &mut none, Some(&now)), Err(Errno::NOSYS)) {
            let why = "the event loop needs epoll_pwait2, which Linux has since 5.11";
            return Err(std::io::Error::new(std::io::ErrorKind::Unsupported, why));
        }
        let wake = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        epoll::add(&epoll, &*wake, EventData::new_u64(WAKE), EventFlags::IN)?;
        let (sender, commands) = mpsc::channel();
        Ok(Loop {
            epoll,
            clock,
            nodes: Vec::new(),
            slots: Vec::new(),
            uses: Vec::new(),
            free: Vec::new(),
            todo: VecDeque::new(),
            dirty: VecDeque::new(),
            lingering: VecDeque::new(),
            doors: Vec::new(),
            busy: false,
            commands,
            handle: Handle { commands: sender, wake },
            log: Box::new(|_, _| {}),
            ended: false,
            anywhere: false,
            most: usize::MAX,
            reserve: Vec::new(),
        })
    }

    /// Fills the reserve of descriptors as far as there are any.
    fn refill(&mut self) {
        while self.reserve.len() < RESERVE {
            let Ok(file) = std::fs::File::open("/dev/null") else { return };
            self.reserve.push(file);
        }
    }

    /// Closes the connection that has waited longest for its peer's end. False if none does.
    fn close_lingering(&mut self) -> bool {
        while let Some((_, slot, uses)) = self.lingering.pop_front() {
            if self.uses[slot] == uses {
                self.close(slot);
                return true;
            }
        }
        false
    }

    /// Lifts the guard that keeps this loop on loopback addresses: its caller vouches for every address that its machines
    /// name and that it listens on.
    pub fn allow_any_address(&mut self) {
        self.anywhere = true;
    }

    /// Bounds the descriptors of its connections. At the bound a finished connection that only waits for its peer's end
    /// is closed to make room; the machines bound the others.
    pub fn bound_connections(&mut self, most: usize) {
        self.most = most;
    }

    fn check(&self, addr: SocketAddr) -> Result<(), NetError> {
        if self.anywhere {
            Ok(())
        } else {
            check_loopback(addr)
        }
    }

    /// Where lines for the staff go.
    pub fn on_log(&mut self, log: impl FnMut(NodeId, &str) + Send + 'static) {
        self.log = Box::new(log);
    }

    /// Tells this loop something from another thread.
    pub fn handle(&self) -> Handle<M> {
        self.handle.clone()
    }

    /// Adds a machine.
    pub fn add(&mut self, machine: M) -> NodeId {
        self.nodes.push(Node {
            machine,
            listeners: Vec::new(),
            datagrams: Vec::new(),
            by_id: HashMap::new(),
            accepted: 0,
            dead: false,
            frozen: false,
            stopped: false,
        });
        NodeId(self.nodes.len() - 1)
    }

    /// Listens for a machine; gives the address, with the port that the system chose if 0 was asked for.
    ///
    /// # Errors
    /// The address is not a loopback one, or in use.
    pub fn listen(&mut self, node: NodeId, addr: SocketAddr) -> Result<SocketAddr, NetError> {
        self.listen_with(node, addr, true)
    }

    /// Listens for a machine at an address that no other listener has: two processes that are given the same one by mistake
    /// are not to share what comes in.
    ///
    /// # Errors
    /// The address is not a loopback one, or in use.
    pub fn listen_alone(&mut self, node: NodeId, addr: SocketAddr) -> Result<SocketAddr, NetError> {
        self.listen_with(node, addr, false)
    }

    fn listen_with(&mut self, node: NodeId, addr: SocketAddr, shared: bool) -> Result<SocketAddr, NetError> {
        self.check(addr)?;
        let system = |e: Errno| NetError::System(addr, e.into());
        let fd = net::socket_with(
            family(addr),
            SocketType::STREAM,
            SocketFlags::NONBLOCK | SocketFlags::CLOEXEC,
            None,
        )
        .map_err(system)?;
        sockopt::set_socket_reuseaddr(&fd, true).map_err(system)?;
        if shared {
            sockopt::set_socket_reuseport(&fd, true).map_err(system)?;
        }
        net::bind(&fd, &addr).map_err(system)?;
        net::listen(&fd, BACKLOG).map_err(system)?;
        let bound = net::getsockname(&fd).map_err(system)?;
        let bound = SocketAddr::try_from(bound).map_err(system)?;
        let slot = self.slot();
        epoll::add(&self.epoll, &fd, token(slot, self.uses[slot]), EventFlags::IN).map_err(system)?;
        let door = ListenerId(self.nodes[node.0].listeners.len());
        self.slots[slot] = Slot::Listener(Listener { fd, node: node.0, door, resting: None });
        self.doors.push(slot);
        self.nodes[node.0].listeners.push(bound);
        Ok(bound)
    }

    /// Opens a datagram socket for a machine; gives its address, with the port that the system chose if 0 was asked for.
    ///
    /// # Errors
    /// The address is not a loopback one, or in use.
    pub fn listen_datagrams(&mut self, node: NodeId, addr: SocketAddr) -> Result<SocketAddr, NetError> {
        self.check(addr)?;
        let system = |e: Errno| NetError::System(addr, e.into());
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd = net::socket_with(family(addr), SocketType::DGRAM, flags, None).map_err(system)?;
        net::bind(&fd, &addr).map_err(system)?;
        let bound = net::getsockname(&fd).map_err(system)?;
        let bound = SocketAddr::try_from(bound).map_err(system)?;
        let slot = self.slot();
        epoll::add(&self.epoll, &fd, token(slot, self.uses[slot]), EventFlags::IN).map_err(system)?;
        let door = ListenerId(self.nodes[node.0].datagrams.len());
        self.slots[slot] = Slot::Mailbox(Mailbox { fd, node: node.0, door });
        self.doors.push(slot);
        self.nodes[node.0].datagrams.push((bound, slot));
        Ok(bound)
    }

    /// Looks at a machine.
    pub fn machine(&self, node: NodeId) -> &M {
        &self.nodes[node.0].machine
    }

    /// Puts a machine in another's place, before the loop runs.
    pub fn machine_mut(&mut self, node: NodeId) -> &mut M {
        &mut self.nodes[node.0].machine
    }

    /// The machines, after the loop has ended.
    pub fn into_machines(self) -> Vec<M> {
        self.nodes.into_iter().map(|n| n.machine).collect()
    }

    /// Runs until all machines have stopped, or [`Command::End`].
    ///
    /// # Errors
    /// Epoll failed, which no input can cause.
    pub fn run(&mut self) -> std::io::Result<()> {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(1024);
        self.refill();
        while !self.ended && (self.nodes.iter().any(|n| !n.stopped) || !self.lingering.is_empty()) {
            self.turn(&mut events)?;
        }
        Ok(())
    }

    /// Waits for what comes next and handles it.
    fn turn(&mut self, events: &mut Vec<epoll::Event>) -> std::io::Result<()> {
        let timeout = self.next_wake().map(|at| at.saturating_sub(self.clock.now()));
        let timeout =
            timeout.map(|t| Timespec { tv_sec: t.as_secs() as i64, tv_nsec: i64::from(t.subsec_nanos()) });
        events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(events), timeout.as_ref()) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(why) => return Err(why.into()),
        }
        // What peers that connected to a machine did comes before what those did that it connected to: a client that has
        // gone is known before an engine's answer has the next attempt for it written.
        for accepted in [true, false] {
            for event in events.iter() {
                let (data, flags) = (event.data.u64(), event.flags);
                if data == WAKE {
                    continue;
                }
                let (slot, uses) = ((data & u64::from(u32::MAX)) as usize, (data >> 32) as u32);
                if self.uses.get(slot) == Some(&uses) && self.is_accepted(slot) == accepted {
                    self.ready(slot, flags);
                }
            }
        }
        if events.drain(..).any(|event| event.data.u64() == WAKE) {
            let mut count = [0; 8];
            let _ = rustix::io::read(&*self.handle.wake, &mut count);
        }
        while let Ok(command) = self.commands.try_recv() {
            self.command(command);
        }
        self.run_due();
        Ok(())
    }

    fn next_wake(&self) -> Option<Duration> {
        let machines = self.nodes.iter().filter(|n| !n.dead && !n.frozen).filter_map(|n| n.machine.wake_at());
        let resting = self.doors.iter().filter_map(|&slot| match &self.slots[slot] {
            Slot::Listener(l) => l.resting,
            _ => None,
        });
        let lingering = self.lingering.front().map(|&(until, ..)| until);
        machines.chain(resting).chain(lingering).min()
    }

    fn run_due(&mut self) {
        let now = self.clock.now();
        for at in 0..self.nodes.len() {
            let node = &self.nodes[at];
            if !node.dead && !node.frozen && node.machine.wake_at().is_some_and(|due| due <= now) {
                self.give(at, Input::Wake);
            }
        }
        while let Some(&(until, slot, uses)) = self.lingering.front() {
            let open = self.uses[slot] == uses;
            if open && until > now {
                break;
            }
            self.lingering.pop_front();
            if open {
                self.close(slot);
            }
        }
        for at in 0..self.doors.len() {
            let slot = self.doors[at];
            let Slot::Listener(l) = &mut self.slots[slot] else { continue };
            if l.resting.is_some_and(|until| until <= now) {
                l.resting = None;
                let _ = epoll::modify(&self.epoll, &l.fd, token(slot, self.uses[slot]), EventFlags::IN);
            }
        }
    }

    fn command(&mut self, command: Command<M>) {
        match command {
            Command::News(node, news) => self.give(node.0, Input::OwnerMessage(&*news)),
            Command::Stop(node) => self.give(node.0, Input::Stop),
            Command::Kill(node) => self.kill(node.0),
            Command::Revive(node, machine) => self.revive(node, machine),
            Command::Freeze(node) => self.freeze(node.0, true),
            Command::Thaw(node) => self.freeze(node.0, false),
            Command::End => self.ended = true,
        }
    }

    fn kill(&mut self, node: usize) {
        self.nodes[node].dead = true;
        let mine = |s: &Slot| match s {
            Slot::Conn(c) => c.node == node,
            Slot::Listener(l) => l.node == node,
            Slot::Mailbox(m) => m.node == node,
            Slot::Free => false,
        };
        let slots: Vec<usize> = (0..self.slots.len()).filter(|&s| mine(&self.slots[s])).collect();
        for slot in slots {
            if let Slot::Conn(c) = &self.slots[slot] {
                let _ = sockopt::set_socket_linger(&c.fd, Some(Duration::ZERO));
            }
            self.close(slot);
        }
        self.nodes[node].by_id.clear();
    }

    fn revive(&mut self, node: NodeId, machine: M) {
        let n = &mut self.nodes[node.0];
        (n.machine, n.dead, n.frozen, n.stopped) = (machine, false, false, false);
        let (listeners, datagrams) = (std::mem::take(&mut n.listeners), std::mem::take(&mut n.datagrams));
        for addr in listeners {
            if let Err(why) = self.listen(node, addr) {
                (self.log)(node, &format!("can't listen again: {why}"));
            }
        }
        for (addr, _) in datagrams {
            if let Err(why) = self.listen_datagrams(node, addr) {
                (self.log)(node, &format!("can't take datagrams again: {why}"));
            }
        }
    }

    fn freeze(&mut self, node: usize, frozen: bool) {
        self.nodes[node].frozen = frozen;
        let slots: Vec<usize> = self.nodes[node].by_id.values().copied().collect();
        slots.into_iter().for_each(|slot| self.set_interest(slot));
        // What comes for a process that does not run waits in its socket, as far as that holds it.
        let interest = if frozen { EventFlags::empty() } else { EventFlags::IN };
        for &(_, slot) in &self.nodes[node].datagrams {
            if let Slot::Mailbox(m) = &self.slots[slot] {
                let _ = epoll::modify(&self.epoll, &m.fd, token(slot, self.uses[slot]), interest);
            }
        }
    }

    // ---- Machines ------------------------------------------------------------------------------

    /// Gives an input to a machine and carries out what it asks for, until nothing is left.
    fn give(&mut self, node: usize, input: Input<'_>) {
        let now = self.clock.now();
        let n = &mut self.nodes[node];
        if n.dead {
            return;
        }
        let mut out = Vec::new();
        n.machine.handle(now, input, &mut out);
        self.todo.extend(out.into_iter().map(|o| (node, o)));
        if std::mem::replace(&mut self.busy, true) {
            return;
        }
        loop {
            if let Some((node, output)) = self.todo.pop_front() {
                self.carry_out(node, output);
                continue;
            }
            // One at a time: what the machine asks for on hearing that one was sent comes before the next goes out. Else a
            // connection given up by that word, with its request told as never sent, would still send it.
            let Some(slot) = self.dirty.pop_front() else { break };
            if let Slot::Conn(c) = &mut self.slots[slot] {
                c.dirty = false;
                if matches!(c.phase, Phase::Finishing(_)) {
                    self.linger(slot);
                } else {
                    self.flush(slot);
                }
            }
        }
        self.busy = false;
    }

    fn carry_out(&mut self, node: usize, output: Output) {
        match output {
            Output::Connect(id, addr) => self.connect(node, id, addr),
            Output::Write(id, bytes) => self.with(node, id, |conn| {
                conn.write(bytes);
                true
            }),
            Output::ShutdownWrite(id) => self.with(node, id, |conn| {
                conn.shuts = true;
                true
            }),
            Output::CloseWhenSent(id) => {
                let until = self.clock.now() + LINGER;
                let Some(&slot) = self.nodes[node].by_id.get(&id) else { return };
                if let Slot::Conn(conn) = &mut self.slots[slot] {
                    if conn.phase == Phase::Connecting {
                        return self.close(slot);
                    }
                    conn.phase = Phase::Finishing(until);
                }
                self.with(node, id, |_| true);
                self.nodes[node].by_id.remove(&id);
                self.lingering.push_back((until, slot, self.uses[slot]));
                self.set_interest(slot);
            }
            Output::Abort(id) => {
                if let Some(slot) = self.nodes[node].by_id.remove(&id) {
                    if let Slot::Conn(conn) = &self.slots[slot] {
                        let _ = sockopt::set_socket_linger(&conn.fd, Some(Duration::ZERO));
                    }
                    self.close(slot);
                }
            }
            Output::Datagram(ListenerId(door), to, bytes) => {
                let slot = self.nodes[node].datagrams.get(door).map(|&(_, slot)| slot);
                if let (Some(Slot::Mailbox(m)), Ok(())) = (slot.map(|s| &self.slots[s]), self.check(to)) {
                    // A full buffer or a peer that is not there loses it, as a network may.
                    let _ = net::sendto(&m.fd, &bytes, SendFlags::empty(), &to);
                }
            }
            Output::Pause(id) => self.pause(node, id, true),
            Output::Resume(id) => self.pause(node, id, false),
            Output::StopListening => self.stop_listening(node),
            Output::Stopped => {
                self.nodes[node].stopped = true;
                let mine = |s: &Slot| match s {
                    Slot::Listener(l) => l.node == node,
                    Slot::Mailbox(m) => m.node == node,
                    _ => false,
                };
                let slots: Vec<usize> = (0..self.slots.len()).filter(|&s| mine(&self.slots[s])).collect();
                slots.into_iter().for_each(|slot| self.close(slot));
            }
            Output::Log(line) => (self.log)(NodeId(node), &line),
        }
    }

    /// Finds a connection of a machine; if `change` says so, it is sent from when all outputs are taken.
    fn with(&mut self, node: usize, id: ConnId, change: impl FnOnce(&mut Conn) -> bool) {
        let Some(&slot) = self.nodes[node].by_id.get(&id) else { return };
        let Slot::Conn(conn) = &mut self.slots[slot] else { return };
        if change(conn) && !std::mem::replace(&mut conn.dirty, true) {
            self.dirty.push_back(slot);
        }
    }

    fn pause(&mut self, node: usize, id: ConnId, paused: bool) {
        let Some(&slot) = self.nodes[node].by_id.get(&id) else { return };
        if let Slot::Conn(conn) = &mut self.slots[slot] {
            conn.paused = paused;
        }
        self.set_interest(slot);
    }

    fn connect(&mut self, node: usize, id: ConnId, addr: SocketAddr) {
        let lost = |why| Input::Lost(id, why);
        if self.check(addr).is_err() {
            (self.log)(NodeId(node), &format!("{addr} is not a loopback address; not connected"));
            return self.give(node, lost(ConnectionLoss::NotConnected));
        }
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = || net::socket_with(family(addr), SocketType::STREAM, flags, None);
        let mut made = socket();
        if made.is_err() && self.reserve.pop().is_some() {
            made = socket();
        }
        let Ok(fd) = made else {
            return self.give(node, lost(ConnectionLoss::Exhausted));
        };
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        match net::connect(&fd, &addr) {
            Ok(()) | Err(Errno::INPROGRESS) => {
                self.insert(Conn::new(fd, node, id, Phase::Connecting));
            }
            Err(Errno::ADDRNOTAVAIL | Errno::NOBUFS) => self.give(node, lost(ConnectionLoss::Exhausted)),
            Err(_) => self.give(node, lost(ConnectionLoss::NotConnected)),
        }
    }
}
