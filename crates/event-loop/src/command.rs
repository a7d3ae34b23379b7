//! What an event loop is told from other threads.

use rustix::fd::OwnedFd;
use std::any::Any;
use std::sync::{mpsc, Arc};

/// A machine in an event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub usize);

/// What an event loop is told from another thread.
pub enum Command<M> {
    /// A message for a machine, handed over as [`OwnerMessage`](slipreel_state_machine::Input::OwnerMessage).
    Message(MachineId, Arc<dyn Any + Send + Sync>),
    /// A machine is to shut down gracefully.
    Stop(MachineId),
    /// A machine dies at once, as if its process were killed: its connections are reset and its state is lost.
    Kill(MachineId),
    /// A machine takes the place of one that was killed, on the same addresses.
    Revive(MachineId, M),
    /// A machine is not run until [`Thaw`](Command::Thaw); its connections stay open.
    Freeze(MachineId),
    /// Runs a frozen machine again.
    Thaw(MachineId),
    /// The event loop ends now.
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

    /// Takes back the wake-up that commands have left.
    pub(crate) fn clear_wake(&self) {
        let mut count = [0; size_of::<u64>()];
        let _ = rustix::io::read(&*self.wake, &mut count);
    }
}
