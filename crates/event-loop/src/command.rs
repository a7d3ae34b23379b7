//! Commands that other threads send to an event loop.

use rustix::fd::OwnedFd;
use std::any::Any;
use std::sync::{mpsc, Arc};

/// Identifies a machine of an event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub usize);

/// A command to an event loop from another thread.
pub enum Command<M> {
    /// Delivers a message to a machine as [`OwnerMessage`](slipreel_state_machine::Input::OwnerMessage).
    Message(MachineId, Arc<dyn Any + Send + Sync>),
    /// Tells a machine to shut down gracefully.
    Stop(MachineId),
    /// Ends a machine at once, as if its process were killed: its connections are reset and its state is
    /// lost.
    Kill(MachineId),
    /// Replaces a killed machine by another on the same addresses.
    Revive(MachineId, M),
    /// Suspends a machine until [`Thaw`](Command::Thaw); its connections stay open.
    Freeze(MachineId),
    /// Runs a frozen machine again.
    Thaw(MachineId),
    /// Ends the event loop at once.
    End,
}

/// Sends commands to an event loop from another thread.
pub struct EventLoopHandle<M> {
    commands: mpsc::Sender<Command<M>>,
    wake: Arc<OwnedFd>,
}

impl<M> Clone for EventLoopHandle<M> {
    fn clone(&self) -> Self {
        EventLoopHandle { commands: self.commands.clone(), wake: self.wake.clone() }
    }
}

impl<M> EventLoopHandle<M> {
    pub(crate) fn new(commands: mpsc::Sender<Command<M>>, wake: Arc<OwnedFd>) -> Self {
        EventLoopHandle { commands, wake }
    }

    /// Sends a command and wakes the event loop. False if the loop has ended.
    pub fn send(&self, command: Command<M>) -> bool {
        let sent = self.commands.send(command).is_ok();
        let _ = rustix::io::write(&*self.wake, &1u64.to_ne_bytes());
        sent
    }

    /// Clears the wake-up that sent commands have caused.
    pub(crate) fn clear_wake(&self) {
        let mut count = [0; size_of::<u64>()];
        let _ = rustix::io::read(&*self.wake, &mut count);
    }
}
