//! The table of sockets that epoll watches: each has a slot, and generations tell successive uses of a slot
//! apart.

use crate::connection::Connection;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::Timespec;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use slipreel_state_machine::ListenerId;
use std::time::Duration;

/// The token of the wake-up descriptor, which belongs to no slot.
const WAKE_TOKEN: u64 = u64::MAX;

/// A socket that listens for connections of one machine.
pub(crate) struct Listener {
    pub(crate) fd: OwnedFd,
    /// The index of its machine in the event loop.
    pub(crate) machine: usize,
    pub(crate) id: ListenerId,
    /// No connection is accepted before this time: descriptors ran out, or the machine is frozen.
    pub(crate) paused_until: Option<Duration>,
}

/// A datagram socket of one machine.
pub(crate) struct DatagramSocket {
    pub(crate) fd: OwnedFd,
    /// The index of its machine in the event loop.
    pub(crate) machine: usize,
    pub(crate) id: ListenerId,
}

/// What a slot holds.
pub(crate) enum Slot {
    Free,
    Connection(Box<Connection>),
    Listener(Listener),
    DatagramSocket(DatagramSocket),
}

impl Slot {
    /// The index of the machine that the socket belongs to.
    pub(crate) fn machine(&self) -> Option<usize> {
        match self {
            Slot::Free => None,
            Slot::Connection(connection) => Some(connection.machine),
            Slot::Listener(listener) => Some(listener.machine),
            Slot::DatagramSocket(socket) => Some(socket.machine),
        }
    }

    /// Whether it holds a listener or a datagram socket.
    pub(crate) fn is_bound_socket(&self) -> bool {
        matches!(self, Slot::Listener(_) | Slot::DatagramSocket(_))
    }
}

/// One use of a slot. It is outdated once the slot is freed, also if the slot is used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotUse {
    pub(crate) slot: usize,
    generation: u32,
}

impl SlotUse {
    fn token(self) -> EventData {
        EventData::new_u64((u64::from(self.generation) << 32) | self.slot as u64)
    }

    fn from_token(token: u64) -> SlotUse {
        SlotUse { slot: (token & u64::from(u32::MAX)) as usize, generation: (token >> 32) as u32 }
    }
}

/// Readiness that epoll has reported.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Readiness {
    /// Another thread has sent a command.
    Wake,
    /// The socket of a slot is ready.
    Socket(SlotUse, EventFlags),
}

impl From<&epoll::Event> for Readiness {
    fn from(event: &epoll::Event) -> Self {
        // The event is packed: its fields are copied out.
        let (data, flags) = (event.data, event.flags);
        match data.u64() {
            WAKE_TOKEN => Readiness::Wake,
            token => Readiness::Socket(SlotUse::from_token(token), flags),
        }
    }
}

/// The sockets of an event loop and the epoll instance that watches them.
pub(crate) struct SlotTable {
    epoll: OwnedFd,
    slots: Vec<Slot>,
    /// How often each slot was freed. Readiness reported for an earlier use is ignored.
    generations: Vec<u32>,
    free: Vec<usize>,
    /// The slots of listeners and datagram sockets, in the order in which they were opened.
    bound_sockets: Vec<usize>,
}

impl SlotTable {
    /// An empty table, woken by `wake`.
    ///
    /// # Errors
    /// No descriptor is left for epoll; `Unsupported` on a kernel before 5.11, which has no waits shorter
    /// than a millisecond.
    pub(crate) fn new(wake: &OwnedFd) -> std::io::Result<SlotTable> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        let mut events: [std::mem::MaybeUninit<epoll::Event>; 1] = [std::mem::MaybeUninit::uninit()];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        if matches!(epoll::wait(&epoll, &mut events, Some(&no_wait)), Err(Errno::NOSYS)) {
            let message = "the event loop needs epoll_pwait2, which Linux has since 5.11";
            return Err(std::io::Error::new(std::io::ErrorKind::Unsupported, message));
        }
        epoll::add(&epoll, wake, EventData::new_u64(WAKE_TOKEN), EventFlags::IN)?;
        Ok(SlotTable {
            epoll,
            slots: Vec::new(),
            generations: Vec::new(),
            free: Vec::new(),
            bound_sockets: Vec::new(),
        })
    }

    /// Waits for readiness, for `timeout` at most.
    ///
    /// # Errors
    /// Epoll failed, which no peer can cause.
    pub(crate) fn wait(
        &self, events: &mut Vec<epoll::Event>, timeout: Option<Duration>,
    ) -> std::io::Result<()> {
        let timeout = timeout.map(|timeout| Timespec {
            tv_sec: i64::try_from(timeout.as_secs()).unwrap_or(i64::MAX),
            tv_nsec: i64::from(timeout.subsec_nanos()),
        });
        events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(events), timeout.as_ref()) {
            Ok(_) | Err(Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// Takes a free slot, which the caller fills.
    fn take_slot(&mut self) -> usize {
        self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot::Free);
            self.generations.push(0);
            self.slots.len() - 1
        })
    }

    /// Adds a listener and watches it for connections.
    ///
    /// # Errors
    /// Epoll can't watch it.
    pub(crate) fn add_listener(&mut self, listener: Listener) -> Result<usize, Errno> {
        let slot = self.take_slot();
        epoll::add(&self.epoll, &listener.fd, self.current_use(slot).token(), EventFlags::IN)?;
        self.slots[slot] = Slot::Listener(listener);
        self.bound_sockets.push(slot);
        Ok(slot)
    }

    /// Adds a datagram socket and watches it for datagrams.
    ///
    /// # Errors
    /// Epoll can't watch it.
    pub(crate) fn add_datagram_socket(&mut self, socket: DatagramSocket) -> Result<usize, Errno> {
        let slot = self.take_slot();
        epoll::add(&self.epoll, &socket.fd, self.current_use(slot).token(), EventFlags::IN)?;
        self.slots[slot] = Slot::DatagramSocket(socket);
        self.bound_sockets.push(slot);
        Ok(slot)
    }

    /// Adds a connection and watches it for the readiness that it wants.
    pub(crate) fn add_connection(&mut self, mut connection: Connection) -> usize {
        let slot = self.take_slot();
        connection.interest = connection.wanted_readiness();
        let token = self.current_use(slot).token();
        let added = epoll::add(&self.epoll, connection.fd.as_fd(), token, connection.interest);
        debug_assert!(added.is_ok());
        self.slots[slot] = Slot::Connection(Box::new(connection));
        slot
    }

    /// Changes the readiness that epoll reports for a connection.
    pub(crate) fn watch_connection(&mut self, slot: usize, wanted: EventFlags) {
        let token = self.current_use(slot).token();
        let Slot::Connection(connection) = &mut self.slots[slot] else { return };
        if wanted != connection.interest {
            connection.interest = wanted;
            let _ = epoll::modify(&self.epoll, &connection.fd, token, wanted);
        }
    }

    /// Starts or stops watching a listener or a datagram socket.
    pub(crate) fn watch_bound_socket(&self, slot: usize, watched: bool) {
        let fd = match &self.slots[slot] {
            Slot::Listener(listener) => &listener.fd,
            Slot::DatagramSocket(socket) => &socket.fd,
            Slot::Connection(_) | Slot::Free => return,
        };
        let wanted = if watched { EventFlags::IN } else { EventFlags::empty() };
        let _ = epoll::modify(&self.epoll, fd, self.current_use(slot).token(), wanted);
    }

    /// Frees a slot for its next use and returns what it held.
    pub(crate) fn remove(&mut self, slot: usize) -> Slot {
        let removed = std::mem::replace(&mut self.slots[slot], Slot::Free);
        match removed {
            Slot::Free => return removed,
            Slot::Listener(_) | Slot::DatagramSocket(_) => {
                self.bound_sockets.retain(|&bound| bound != slot);
            }
            Slot::Connection(_) => {}
        }
        self.generations[slot] = self.generations[slot].wrapping_add(1);
        self.free.push(slot);
        removed
    }

    pub(crate) fn get(&self, slot: usize) -> &Slot {
        &self.slots[slot]
    }

    pub(crate) fn connection(&self, slot: usize) -> Option<&Connection> {
        match &self.slots[slot] {
            Slot::Connection(connection) => Some(connection),
            _ => None,
        }
    }

    pub(crate) fn connection_mut(&mut self, slot: usize) -> Option<&mut Connection> {
        match &mut self.slots[slot] {
            Slot::Connection(connection) => Some(connection),
            _ => None,
        }
    }

    pub(crate) fn listener(&self, slot: usize) -> Option<&Listener> {
        match &self.slots[slot] {
            Slot::Listener(listener) => Some(listener),
            _ => None,
        }
    }

    pub(crate) fn listener_mut(&mut self, slot: usize) -> Option<&mut Listener> {
        match &mut self.slots[slot] {
            Slot::Listener(listener) => Some(listener),
            _ => None,
        }
    }

    pub(crate) fn datagram_socket(&self, slot: usize) -> Option<&DatagramSocket> {
        match &self.slots[slot] {
            Slot::DatagramSocket(socket) => Some(socket),
            _ => None,
        }
    }

    /// The current use of a slot.
    pub(crate) fn current_use(&self, slot: usize) -> SlotUse {
        SlotUse { slot, generation: self.generations[slot] }
    }

    /// Whether a slot has not been freed since this use of it began.
    pub(crate) fn is_current(&self, slot_use: SlotUse) -> bool {
        self.generations.get(slot_use.slot) == Some(&slot_use.generation)
    }

    /// The slots of listeners and datagram sockets.
    pub(crate) fn bound_sockets(&self) -> &[usize] {
        &self.bound_sockets
    }

    /// The slots that satisfy a condition, in ascending order.
    pub(crate) fn slots_where(&self, is_wanted: impl Fn(&Slot) -> bool) -> Vec<usize> {
        (0..self.slots.len()).filter(|&slot| is_wanted(&self.slots[slot])).collect()
    }

    /// How many connections there are.
    pub(crate) fn connection_count(&self) -> usize {
        self.slots.len() - self.free.len() - self.bound_sockets.len()
    }

    /// How many slots are free.
    pub(crate) fn free_count(&self) -> usize {
        self.free.len()
    }
}
