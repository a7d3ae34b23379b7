//! Kills, replaces, freezes and thaws machines, for tests and injected faults.

use super::{EventLoop, RunState};
use crate::command::MachineId;
use slipreel_state_machine::Machine;

impl<M: Machine> EventLoop<M> {
    /// Ends a machine as if its process were killed: its connections are reset and its sockets closed.
    pub(super) fn kill(&mut self, machine: usize) {
        self.machines[machine].run_state = RunState::Dead;
        for slot in self.sockets.slots_where(|slot| slot.machine() == Some(machine)) {
            if let Some(connection) = self.sockets.connection(slot) {
                connection.reset_on_close();
            }
            self.close(slot);
        }
        self.machines[machine].connections.clear();
    }

    /// Replaces a killed machine by another on the same addresses.
    pub(super) fn revive(&mut self, machine_id: MachineId, machine: M) {
        let hosted = &mut self.machines[machine_id.0];
        hosted.machine = machine;
        hosted.run_state = RunState::Running;
        hosted.stopped = false;
        let listeners = std::mem::take(&mut hosted.listeners);
        let datagram_sockets = std::mem::take(&mut hosted.datagram_sockets);
        for address in listeners {
            if let Err(error) = self.listen(machine_id, address) {
                (self.log)(machine_id, &format!("can't listen again: {error}"));
            }
        }
        for socket in datagram_sockets {
            if let Err(error) = self.listen_datagrams(machine_id, socket.address) {
                (self.log)(machine_id, &format!("can't bind the datagram socket again: {error}"));
            }
        }
    }

    /// Freezes or thaws a machine. Input for a frozen one waits in its sockets, as far as their buffers hold
    /// it.
    pub(super) fn set_run_state(&mut self, machine: usize, run_state: RunState) {
        if self.machines[machine].run_state != RunState::Dead {
            self.machines[machine].run_state = run_state;
        }
        let connections: Vec<usize> = self.machines[machine].connections.values().copied().collect();
        connections.into_iter().for_each(|slot| self.update_interest(slot));
        let is_watched = run_state == RunState::Running;
        for socket in &self.machines[machine].datagram_sockets {
            self.sockets.watch_bound_socket(socket.slot, is_watched);
        }
    }
}
