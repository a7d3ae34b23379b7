//! The event loop: waits for readiness, commands and timers, and delivers them to its machines.

mod lifecycle;
mod listeners;
mod outputs;
mod readiness;
#[cfg(test)]
mod tests;

use crate::clock::Clock;
use crate::command::{Command, EventLoopHandle, MachineId};
use crate::connection::Connection;
use crate::descriptor_reserve::DescriptorReserve;
use crate::lingering::LingeringConnections;
use crate::slot_table::{Readiness, Slot, SlotTable, SlotUse};
use crate::{check_loopback, AddressError};
use rustix::event::{epoll, eventfd, EventfdFlags};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{mpsc, Arc};
use std::time::Duration;

/// The maximum number of readiness events that one wait returns.
const EVENTS_PER_TURN: usize = 1024;

/// A datagram socket of a machine: its address and its slot.
struct BoundDatagramSocket {
    address: SocketAddr,
    slot: usize,
}

/// Whether the loop runs a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    Running,
    /// Suspended until it is thawed; its connections stay open.
    Frozen,
    /// Killed: it receives no further input.
    Dead,
}

/// A machine with its sockets.
struct HostedMachine<M> {
    machine: M,
    listeners: Vec<SocketAddr>,
    datagram_sockets: Vec<BoundDatagramSocket>,
    /// The slots of its connections.
    connections: HashMap<ConnId, usize>,
    /// How many connections it has accepted, which is also the number of the last one.
    accepted: u64,
    run_state: RunState,
    /// Whether it has emitted [`Output::Stopped`].
    stopped: bool,
}

impl<M: Machine> HostedMachine<M> {
    fn is_running(&self) -> bool {
        self.run_state == RunState::Running
    }

    /// When it wants to be woken, if it is running.
    fn wake_at(&self) -> Option<Duration> {
        if self.is_running() {
            self.machine.wake_at()
        } else {
            None
        }
    }
}

/// An output of a machine that is not carried out yet.
struct PendingOutput {
    machine: usize,
    output: Output,
}

type LogSink = Box<dyn FnMut(MachineId, &str) + Send>;

/// An event loop that drives machines over sockets, in one thread.
pub struct EventLoop<M> {
    clock: Clock,
    machines: Vec<HostedMachine<M>>,
    sockets: SlotTable,
    pending_outputs: VecDeque<PendingOutput>,
    /// The slots of connections that have something to send.
    pending_flushes: VecDeque<usize>,
    lingering: LingeringConnections,
    /// Whether outputs are being carried out; further outputs are then queued, so that calls don't nest.
    is_delivering: bool,
    commands: mpsc::Receiver<Command<M>>,
    handle: EventLoopHandle<M>,
    log: LogSink,
    ended: bool,
    /// Whether addresses other than loopback ones may be used.
    any_address_allowed: bool,
    max_connections: usize,
    /// The most unsent bytes of connections that the machines have closed.
    max_closing_bytes: usize,
    reserve: DescriptorReserve,
}

impl<M: Machine> EventLoop<M> {
    /// An event loop without machines.
    ///
    /// # Errors
    /// No descriptor is left for epoll; `Unsupported` on a kernel before 5.11, which has no waits shorter
    /// than a millisecond.
    pub fn new(clock: Clock) -> std::io::Result<Self> {
        let wake = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        let sockets = SlotTable::new(&wake)?;
        let (sender, commands) = mpsc::channel();
        Ok(EventLoop {
            clock,
            machines: Vec::new(),
            sockets,
            pending_outputs: VecDeque::new(),
            pending_flushes: VecDeque::new(),
            lingering: LingeringConnections::default(),
            is_delivering: false,
            commands,
            handle: EventLoopHandle::new(sender, wake),
            log: Box::new(|_, _| {}),
            ended: false,
            any_address_allowed: false,
            max_connections: usize::MAX,
            max_closing_bytes: usize::MAX,
            reserve: DescriptorReserve::default(),
        })
    }

    /// Lifts the restriction of this event loop to loopback addresses: the caller is responsible for every
    /// address that it listens on and that its machines connect to.
    pub fn allow_any_address(&mut self) {
        self.any_address_allowed = true;
    }

    /// Limits the number of connections. At the limit, connections that only wait for their peers to close
    /// are closed to make room; the machines limit the others.
    pub fn bound_connections(&mut self, most: usize) {
        self.max_connections = most;
    }

    /// Limits the unsent bytes of connections that the machines have closed. Beyond the limit, those that have
    /// waited longest are cut off; the machines limit the unsent bytes of the others.
    pub fn bound_closing_bytes(&mut self, most: usize) {
        self.max_closing_bytes = most;
    }

    fn check_address(&self, address: SocketAddr) -> Result<(), AddressError> {
        if self.any_address_allowed {
            Ok(())
        } else {
            check_loopback(address)
        }
    }

    /// Sets the receiver of log lines of the machines and of the event loop.
    pub fn on_log(&mut self, log: impl FnMut(MachineId, &str) + Send + 'static) {
        self.log = Box::new(log);
    }

    /// A handle that sends commands to this event loop from another thread.
    pub fn handle(&self) -> EventLoopHandle<M> {
        self.handle.clone()
    }

    /// Adds a machine.
    pub fn add(&mut self, machine: M) -> MachineId {
        self.machines.push(HostedMachine {
            machine,
            listeners: Vec::new(),
            datagram_sockets: Vec::new(),
            connections: HashMap::new(),
            accepted: 0,
            run_state: RunState::Running,
            stopped: false,
        });
        MachineId(self.machines.len() - 1)
    }

    /// The machine with this id.
    pub fn machine(&self, machine_id: MachineId) -> &M {
        &self.machines[machine_id.0].machine
    }

    /// The machine with this id, for changes before the event loop runs.
    pub fn machine_mut(&mut self, machine_id: MachineId) -> &mut M {
        &mut self.machines[machine_id.0].machine
    }

    /// Consumes the event loop after it has ended and returns its machines.
    pub fn into_machines(self) -> Vec<M> {
        self.machines.into_iter().map(|hosted| hosted.machine).collect()
    }

    /// Runs until all machines have stopped, or [`Command::End`].
    ///
    /// # Errors
    /// Epoll failed, which no peer can cause.
    pub fn run(&mut self) -> std::io::Result<()> {
        let mut events = Vec::with_capacity(EVENTS_PER_TURN);
        self.reserve.refill();
        while !self.ended && !self.is_done() {
            self.turn(&mut events)?;
        }
        Ok(())
    }

    fn is_done(&self) -> bool {
        self.machines.iter().all(|hosted| hosted.stopped) && self.lingering.is_empty()
    }

    /// Waits for readiness, a command or a timer, and handles what is due.
    fn turn(&mut self, events: &mut Vec<epoll::Event>) -> std::io::Result<()> {
        let timeout = self.next_wake().map(|at| at.saturating_sub(self.clock.now()));
        self.sockets.wait(events, timeout)?;
        let readiness: Vec<Readiness> = events.iter().map(Readiness::from).collect();
        // Accepted connections come before those that the machines have opened: a router learns that a client
        // has gone before an engine's answer makes it begin the next attempt for that client.
        self.handle_ready_sockets(&readiness, true);
        self.handle_ready_sockets(&readiness, false);
        if readiness.iter().any(|ready| matches!(ready, Readiness::Wake)) {
            self.handle.clear_wake();
        }
        while let Ok(command) = self.commands.try_recv() {
            self.run_command(command);
        }
        self.run_due();
        Ok(())
    }

    /// Handles the ready sockets of accepted connections, or all others.
    fn handle_ready_sockets(&mut self, readiness: &[Readiness], accepted: bool) {
        for ready in readiness {
            let &Readiness::Socket(slot_use, flags) = ready else { continue };
            if self.sockets.is_current(slot_use) && self.is_accepted(slot_use.slot) == accepted {
                self.handle_readiness(slot_use.slot, flags);
            }
        }
    }

    fn next_wake(&self) -> Option<Duration> {
        let machines = self.machines.iter().filter_map(HostedMachine::wake_at);
        let sockets = self.sockets.bound_sockets().iter();
        let listeners = sockets.filter_map(|&slot| self.sockets.listener(slot)?.paused_until);
        machines.chain(listeners).chain(self.lingering.next_deadline()).min()
    }

    /// Handles expired timers: wake-ups of machines, lingering connections and pauses of listeners.
    fn run_due(&mut self) {
        let now = self.clock.now();
        for machine in 0..self.machines.len() {
            if self.machines[machine].wake_at().is_some_and(|due| due <= now) {
                self.deliver(machine, Input::Wake);
            }
        }
        while let Some(slot_use) = self.lingering.pop_due(now, |slot_use| self.sockets.is_current(slot_use)) {
            if self.sockets.is_current(slot_use) {
                self.close(slot_use.slot);
            }
        }
        self.resume_listeners(now);
    }

    fn run_command(&mut self, command: Command<M>) {
        match command {
            Command::Message(machine_id, message) => {
                self.deliver(machine_id.0, Input::OwnerMessage(&*message));
            }
            Command::Stop(machine_id) => self.deliver(machine_id.0, Input::Stop),
            Command::Kill(machine_id) => self.kill(machine_id.0),
            Command::Revive(machine_id, machine) => self.revive(machine_id, machine),
            Command::Freeze(machine_id) => self.set_run_state(machine_id.0, RunState::Frozen),
            Command::Thaw(machine_id) => self.set_run_state(machine_id.0, RunState::Running),
            Command::End => self.ended = true,
        }
    }

    /// Delivers an input to a machine and carries out its outputs, and those that follow from them, until
    /// none is left.
    fn deliver(&mut self, machine: usize, input: Input<'_>) {
        let now = self.clock.now();
        let hosted = &mut self.machines[machine];
        if hosted.run_state == RunState::Dead {
            return;
        }
        let mut outputs = Vec::new();
        hosted.machine.handle(now, input, &mut outputs);
        self.pending_outputs.extend(outputs.into_iter().map(|output| PendingOutput { machine, output }));
        if std::mem::replace(&mut self.is_delivering, true) {
            return;
        }
        loop {
            if let Some(PendingOutput { machine, output }) = self.pending_outputs.pop_front() {
                self.carry_out(machine, output);
                continue;
            }
            // One connection is flushed at a time: the outputs of a machine that learns that bytes were sent
            // are carried out before the next connection sends. Otherwise a connection that is aborted by
            // them, with its request reported as never sent, would still send it.
            let Some(slot) = self.pending_flushes.pop_front() else { break };
            self.flush_pending(slot);
        }
        self.is_delivering = false;
    }

    /// Closes the socket of a slot and frees the slot.
    fn close(&mut self, slot: usize) {
        let removed = self.sockets.remove(slot);
        if matches!(removed, Slot::Free) {
            return;
        }
        if let Slot::Connection(connection) = &removed {
            let connections = &mut self.machines[connection.machine].connections;
            if connections.get(&connection.id) == Some(&slot) {
                connections.remove(&connection.id);
            }
        }
        // The descriptor has to be closed before the reserve can take it.
        drop(removed);
        self.reserve.refill();
    }

    /// Closes the connection that has waited longest for its peer to close. False if none waits.
    fn close_oldest_lingering(&mut self) -> bool {
        while let Some(slot_use) = self.lingering.pop_oldest() {
            if self.sockets.is_current(slot_use) {
                self.close(slot_use.slot);
                return true;
            }
        }
        false
    }

    /// Cuts off the closing connections that have waited longest, until the unsent bytes of all of them are
    /// within the limit.
    fn limit_closing_bytes(&mut self) {
        let unsent_bytes = |slot_use: SlotUse| {
            let connection = self.sockets.connection(slot_use.slot);
            let current = connection.filter(|_| self.sockets.is_current(slot_use));
            (slot_use, current.map_or(0, Connection::unsent_bytes))
        };
        let waiting: Vec<(SlotUse, usize)> = self.lingering.iter().map(unsent_bytes).collect();
        let mut total: usize = waiting.iter().map(|(_, unsent)| unsent).sum();
        for (slot_use, unsent) in waiting.into_iter().filter(|&(_, unsent)| unsent > 0) {
            if total <= self.max_closing_bytes {
                return;
            }
            self.close(slot_use.slot);
            total -= unsent;
        }
    }

    /// Updates the readiness that epoll reports for a connection.
    fn update_interest(&mut self, slot: usize) {
        let Some(connection) = self.sockets.connection(slot) else { return };
        let is_frozen = self.machines[connection.machine].run_state == RunState::Frozen;
        let wanted = if is_frozen { epoll::EventFlags::empty() } else { connection.wanted_readiness() };
        self.sockets.watch_connection(slot, wanted);
    }
}
