//! Listeners and datagram sockets: opens them, accepts connections, receives datagrams, and closes listeners
//! without losing connections.

use super::outputs::family;
use super::{BoundDatagramSocket, EventLoop};
use crate::command::MachineId;
use crate::connection::{Connection, Phase};
use crate::slot_table::{DatagramSocket, Listener, Slot};
use crate::AddressError;
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{self, sockopt, RecvFlags, SocketFlags, SocketType};
use slipreel_state_machine::{ConnId, Input, ListenerId, Machine};
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of connections that the system holds for a listener until they are accepted.
const BACKLOG: i32 = 4096;
/// The maximum number of connections accepted from a listener before other sockets have their turn.
const ACCEPTS_PER_TURN: i32 = 64;
/// How long a listener is paused after descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The maximum number of datagrams received from a socket before other sockets have their turn.
const DATAGRAMS_PER_TURN: usize = 64;
/// The maximum length of a datagram, bytes.
const MAX_DATAGRAM: usize = 64 << 10;

/// Whether more connections may wait at a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Backlog {
    /// No connection can be accepted now.
    Empty,
    /// As many connections were accepted as one turn allows.
    MayHoldMore,
}

/// Whether several listeners may share an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AddressUse {
    /// The system spreads connections over all listeners of the address.
    Shared,
    /// No other listener may use the address.
    Exclusive,
}

/// The result of accepting a connection.
enum Accepted {
    Connection(OwnedFd),
    /// No connection waits.
    Nothing,
    /// It failed in a way that does not affect the next connection.
    TryAgain,
    NoDescriptor,
}

fn accept_one(listener: &OwnedFd) -> Accepted {
    match net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
        Ok(fd) => Accepted::Connection(fd),
        Err(Errno::AGAIN) => Accepted::Nothing,
        Err(Errno::INTR | Errno::CONNABORTED) => Accepted::TryAgain,
        Err(_) => Accepted::NoDescriptor,
    }
}

/// Opens and binds a listening socket.
fn open_listener(address: SocketAddr, address_use: AddressUse) -> Result<OwnedFd, Errno> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = net::socket_with(family(address), SocketType::STREAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&fd, true)?;
    if address_use == AddressUse::Shared {
        sockopt::set_socket_reuseport(&fd, true)?;
    }
    net::bind(&fd, &address)?;
    net::listen(&fd, BACKLOG)?;
    Ok(fd)
}

/// Opens and binds a datagram socket.
fn open_datagram_socket(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = net::socket_with(family(address), SocketType::DGRAM, flags, None)?;
    net::bind(&fd, &address)?;
    Ok(fd)
}

/// The address that a socket is bound to.
fn bound_address(fd: &OwnedFd) -> Result<SocketAddr, Errno> {
    SocketAddr::try_from(net::getsockname(fd)?)
}

impl<M: Machine> EventLoop<M> {
    /// Listens for a machine. Returns the address, with the port that the system chose if 0 was given.
    ///
    /// # Errors
    /// The address is not a loopback one, or in use.
    pub fn listen(&mut self, machine_id: MachineId, addr: SocketAddr) -> Result<SocketAddr, AddressError> {
        self.listen_with(machine_id, addr, AddressUse::Shared)
    }

    /// Listens for a machine at an address that no other listener uses: two processes that are given the same
    /// address by mistake must not share its connections.
    ///
    /// # Errors
    /// The address is not a loopback one, or in use.
    pub fn listen_alone(
        &mut self, machine_id: MachineId, addr: SocketAddr,
    ) -> Result<SocketAddr, AddressError> {
        self.listen_with(machine_id, addr, AddressUse::Exclusive)
    }

    /// Listens for a machine at an address, alone or together with other listeners.
    fn listen_with(
        &mut self, machine_id: MachineId, address: SocketAddr, address_use: AddressUse,
    ) -> Result<SocketAddr, AddressError> {
        self.check_address(address)?;
        let failed = |error: Errno| AddressError::System(address, error.into());
        let fd = open_listener(address, address_use).map_err(failed)?;
        let bound = bound_address(&fd).map_err(failed)?;
        let id = ListenerId(self.machines[machine_id.0].listeners.len());
        let listener = Listener { fd, machine: machine_id.0, id, paused_until: None };
        self.sockets.add_listener(listener).map_err(failed)?;
        self.machines[machine_id.0].listeners.push(bound);
        Ok(bound)
    }

    /// Opens a datagram socket for a machine. Returns its address, with the port that the system chose if 0
    /// was given.
    ///
    /// # Errors
    /// The address is not a loopback one, or in use.
    pub fn listen_datagrams(
        &mut self, machine_id: MachineId, addr: SocketAddr,
    ) -> Result<SocketAddr, AddressError> {
        self.check_address(addr)?;
        let failed = |error: Errno| AddressError::System(addr, error.into());
        let fd = open_datagram_socket(addr).map_err(failed)?;
        let address = bound_address(&fd).map_err(failed)?;
        let id = ListenerId(self.machines[machine_id.0].datagram_sockets.len());
        let socket = DatagramSocket { fd, machine: machine_id.0, id };
        let slot = self.sockets.add_datagram_socket(socket).map_err(failed)?;
        self.machines[machine_id.0].datagram_sockets.push(BoundDatagramSocket { address, slot });
        Ok(address)
    }

    /// Accepts the connections of a listener that is ready.
    pub(super) fn handle_ready_listener(&mut self, slot: usize) {
        self.accept(slot);
    }

    /// Closes the listeners of a machine after accepting all connections that the system holds for them.
    /// Closing a listener resets connections that are not accepted, and what their clients have sent is lost.
    pub(super) fn stop_listening(&mut self, machine: usize) {
        let is_own_listener =
            |slot: &Slot| matches!(slot, Slot::Listener(listener) if listener.machine == machine);
        for slot in self.sockets.slots_where(is_own_listener) {
            for _ in 0..BACKLOG / ACCEPTS_PER_TURN {
                if self.accept(slot) == Backlog::Empty {
                    break;
                }
            }
            self.close(slot);
        }
    }

    /// Accepts as many connections as one turn allows.
    fn accept(&mut self, slot: usize) -> Backlog {
        for _ in 0..ACCEPTS_PER_TURN {
            let Some(listener) = self.sockets.listener(slot) else { return Backlog::Empty };
            let machine = listener.machine;
            if self.is_frozen(machine) {
                // As with a process that does not run: the system completes connections and nothing accepts
                // them.
                self.pause_listener(slot);
                return Backlog::Empty;
            }
            match accept_one(&listener.fd) {
                Accepted::Connection(fd) => {
                    let listener = listener.id;
                    self.add_accepted(machine, listener, fd);
                }
                Accepted::Nothing => return Backlog::Empty,
                Accepted::TryAgain => {}
                Accepted::NoDescriptor => {
                    let listener = listener.id;
                    if self.make_room_for_accepted(machine, listener) {
                        continue;
                    }
                    if self.sockets.listener(slot).is_some() {
                        self.pause_listener(slot);
                        (self.log)(MachineId(machine), "no descriptors are left to accept connections");
                    }
                    return Backlog::Empty;
                }
            }
        }
        Backlog::MayHoldMore
    }

    fn add_accepted(&mut self, machine: usize, listener: ListenerId, fd: OwnedFd) {
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        let hosted = &mut self.machines[machine];
        hosted.accepted += 1;
        let id = ConnId(hosted.accepted);
        self.add_connection(Connection::new(fd, machine, id, Phase::Open));
        self.deliver(machine, Input::Accepted(id, listener));
    }

    /// Frees a descriptor: closes a connection that only waits for its peer, or else lets the machine close
    /// some. False if none was freed.
    fn make_room_for_accepted(&mut self, machine: usize, listener: ListenerId) -> bool {
        if self.close_oldest_lingering() {
            return true;
        }
        let free_before = self.sockets.free_count();
        self.deliver(machine, Input::DescriptorsExhausted(listener));
        self.close_oldest_lingering() || self.sockets.free_count() > free_before
    }

    /// Stops accepting from a listener for [`ACCEPT_PAUSE`].
    fn pause_listener(&mut self, slot: usize) {
        let until = self.clock.now() + ACCEPT_PAUSE;
        if let Some(listener) = self.sockets.listener_mut(slot) {
            listener.paused_until = Some(until);
        }
        self.sockets.watch_bound_socket(slot, false);
    }

    /// Accepts connections again from listeners whose pause is over.
    pub(super) fn resume_listeners(&mut self, now: Duration) {
        for slot in self.sockets.bound_sockets().to_vec() {
            let Some(listener) = self.sockets.listener_mut(slot) else { continue };
            if listener.paused_until.is_some_and(|until| until <= now) {
                listener.paused_until = None;
                self.sockets.watch_bound_socket(slot, true);
            }
        }
    }

    /// Receives the datagrams of a socket that is ready.
    pub(super) fn handle_ready_datagram_socket(&mut self, slot: usize) {
        let mut buffer = [0; MAX_DATAGRAM];
        for _ in 0..DATAGRAMS_PER_TURN {
            let Some(socket) = self.sockets.datagram_socket(slot) else { return };
            let (machine, id) = (socket.machine, socket.id);
            if self.is_frozen(machine) {
                return;
            }
            match net::recvfrom(&socket.fd, &mut buffer[..], RecvFlags::empty()) {
                Ok((length, _, Some(from))) => {
                    if let Ok(from) = SocketAddr::try_from(from) {
                        self.deliver(machine, Input::Datagram(id, from, &buffer[..length]));
                    }
                }
                Err(Errno::AGAIN) => return,
                // An earlier datagram reached no socket at its destination; the next call receives what is
                // there.
                Ok(_) | Err(_) => {}
            }
        }
    }
}
