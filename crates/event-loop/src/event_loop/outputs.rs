//! Carries out the outputs of machines.

use super::{EventLoop, RunState};
use crate::command::MachineId;
use crate::connection::{Connection, Phase};
use rustix::io::Errno;
use rustix::net::{self, sockopt, AddressFamily, SendFlags, SocketFlags, SocketType};
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, ListenerId, Machine, Output};
use std::net::SocketAddr;

/// The address family of an address.
pub(super) fn family(address: SocketAddr) -> AddressFamily {
    if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    }
}

impl<M: Machine> EventLoop<M> {
    pub(super) fn carry_out(&mut self, machine: usize, output: Output) {
        match output {
            Output::Connect(id, address) => self.connect(machine, id, address),
            Output::Write(id, bytes) => {
                self.change_and_flush(machine, id, |connection| connection.write(bytes));
            }
            Output::ShutdownWrite(id) => {
                self.change_and_flush(machine, id, Connection::request_shutdown);
            }
            Output::CloseWhenSent(id) => self.close_when_sent(machine, id),
            Output::Abort(id) => self.abort(machine, id),
            Output::Datagram(socket, to, bytes) => self.send_datagram(machine, socket, to, &bytes),
            Output::Pause(id) => self.set_paused(machine, id, true),
            Output::Resume(id) => self.set_paused(machine, id, false),
            Output::StopListening => self.stop_listening(machine),
            Output::Stopped => self.mark_stopped(machine),
            Output::Log(line) => (self.log)(MachineId(machine), &line),
        }
    }

    /// Changes a connection of a machine and queues it for sending.
    fn change_and_flush(&mut self, machine: usize, id: ConnId, change: impl FnOnce(&mut Connection)) {
        let Some(&slot) = self.machines[machine].connections.get(&id) else { return };
        let Some(connection) = self.sockets.connection_mut(slot) else { return };
        change(connection);
        if !std::mem::replace(&mut connection.queued_to_flush, true) {
            self.pending_flushes.push_back(slot);
        }
    }

    fn close_when_sent(&mut self, machine: usize, id: ConnId) {
        let Some(&slot) = self.machines[machine].connections.get(&id) else { return };
        if let Some(connection) = self.sockets.connection_mut(slot) {
            if connection.phase == Phase::Connecting {
                return self.close(slot);
            }
            connection.phase = Phase::Closing;
        }
        self.change_and_flush(machine, id, |_| {});
        self.machines[machine].connections.remove(&id);
        self.lingering.add(self.clock.now(), self.sockets.current_use(slot));
        self.update_interest(slot);
    }

    fn abort(&mut self, machine: usize, id: ConnId) {
        let Some(slot) = self.machines[machine].connections.remove(&id) else { return };
        if let Some(connection) = self.sockets.connection(slot) {
            connection.reset_on_close();
        }
        self.close(slot);
    }

    /// Sends a datagram. It is lost if the buffer is full or the peer does not exist, as it may be in a
    /// network.
    fn send_datagram(&mut self, machine: usize, socket: ListenerId, to: SocketAddr, bytes: &[u8]) {
        let Some(bound) = self.machines[machine].datagram_sockets.get(socket.0) else { return };
        let Some(socket) = self.sockets.datagram_socket(bound.slot) else { return };
        if self.check_address(to).is_ok() {
            let _ = net::sendto(&socket.fd, bytes, SendFlags::empty(), &to);
        }
    }

    fn set_paused(&mut self, machine: usize, id: ConnId, paused: bool) {
        let Some(&slot) = self.machines[machine].connections.get(&id) else { return };
        if let Some(connection) = self.sockets.connection_mut(slot) {
            connection.paused = paused;
        }
        self.update_interest(slot);
    }

    fn mark_stopped(&mut self, machine: usize) {
        self.machines[machine].stopped = true;
        let is_own_bound_socket =
            |slot: &crate::slot_table::Slot| slot.is_bound_socket() && slot.machine() == Some(machine);
        let slots = self.sockets.slots_where(is_own_bound_socket);
        slots.into_iter().for_each(|slot| self.close(slot));
    }

    fn connect(&mut self, machine: usize, id: ConnId, address: SocketAddr) {
        if self.check_address(address).is_err() {
            let line = format!("{address} is not a loopback address; not connected");
            (self.log)(MachineId(machine), &line);
            return self.deliver(machine, Input::Lost(id, ConnectionLoss::NotConnected));
        }
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let open_socket = || net::socket_with(family(address), SocketType::STREAM, flags, None);
        let mut opened = open_socket();
        if opened.is_err() && self.reserve.give_up_one() {
            opened = open_socket();
        }
        let Ok(fd) = opened else {
            return self.deliver(machine, Input::Lost(id, ConnectionLoss::Exhausted));
        };
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        match net::connect(&fd, &address) {
            Ok(()) | Err(Errno::INPROGRESS) => {
                self.add_connection(Connection::new(fd, machine, id, Phase::Connecting));
            }
            Err(Errno::ADDRNOTAVAIL | Errno::NOBUFS) => {
                self.deliver(machine, Input::Lost(id, ConnectionLoss::Exhausted));
            }
            Err(_) => self.deliver(machine, Input::Lost(id, ConnectionLoss::NotConnected)),
        }
    }

    /// Adds a connection. At the limit, connections that only wait for their peers to close are closed first.
    pub(super) fn add_connection(&mut self, connection: Connection) {
        while self.sockets.connection_count() >= self.max_connections {
            let Some(slot_use) = self.lingering.pop_oldest() else { break };
            if self.sockets.is_current(slot_use) {
                self.close(slot_use.slot);
            }
        }
        let (machine, id) = (connection.machine, connection.id);
        let slot = self.sockets.add_connection(connection);
        self.machines[machine].connections.insert(id, slot);
    }

    pub(super) fn is_frozen(&self, machine: usize) -> bool {
        self.machines[machine].run_state == RunState::Frozen
    }
}
