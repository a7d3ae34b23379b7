//! An engine's own record of its role and of the role's epoch. It alone is authoritative.
//!
//! Routers share no state, and there may be several controllers or none, so no other record can be
//! authoritative. An order names the epoch that it replaces (compare and swap). An order for another epoch is
//! rejected with the present state, from which its controller can plan again.

use slipreel::Role;
use std::time::Duration;

/// The progress of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeProgress {
    /// The engine serves in its role.
    Serving,
    /// It was ordered to take another role: it takes no new work, and completes its work in the old role.
    Draining {
        /// The new role.
        to: Role,
        /// When it was ordered.
        since: Duration,
    },
}

/// The role of an engine, as the engine reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleState {
    /// The role in which it serves or completes its work.
    pub role: Role,
    /// The epoch of the role; it grows by one with each change.
    pub epoch: u64,
    /// When the engine started in this role: its start time in the endpoint list, a new one for each role.
    pub started: Duration,
    /// The progress of a change.
    pub progress: ChangeProgress,
}

/// An order to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// The epoch that it replaces.
    pub replaces: u64,
    /// The role to take.
    pub to: Role,
}

/// Why an order was rejected, with the unchanged state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderRejection {
    /// It names another epoch than the present one.
    #[error("the order replaces another epoch than the present one")]
    OtherEpoch(RoleState),
    /// Another change is in progress.
    #[error("another change is in progress")]
    Changing(RoleState),
    /// The engine has that role.
    #[error("the engine has that role")]
    SameRole(RoleState),
}

/// An engine's record of its role.
#[derive(Clone, Debug)]
pub struct RoleRecord {
    state: RoleState,
}

impl RoleRecord {
    /// The record of an engine that has started in a role. After a restart, `epoch` is the engine's last one,
    /// or 0 if that is unknown: the new start time shows routers that their knowledge of the engine is
    /// obsolete.
    pub fn started(role: Role, epoch: u64, now: Duration) -> Self {
        RoleRecord { state: RoleState { role, epoch, started: now, progress: ChangeProgress::Serving } }
    }

    /// The state, as the engine reports it.
    pub fn state(&self) -> RoleState {
        self.state
    }

    /// Whether the engine takes new work.
    pub fn takes_work(&self) -> bool {
        self.state.progress == ChangeProgress::Serving
    }

    /// Takes an order. One that is repeated while its change is in progress is accepted again.
    ///
    /// # Errors
    /// The order replaces another epoch, another change is in progress, or the role is the same.
    pub fn order(&mut self, now: Duration, order: Order) -> Result<RoleState, OrderRejection> {
        if order.replaces != self.state.epoch {
            return Err(OrderRejection::OtherEpoch(self.state));
        }
        match self.state.progress {
            ChangeProgress::Draining { to, .. } if to == order.to => Ok(self.state),
            ChangeProgress::Draining { .. } => Err(OrderRejection::Changing(self.state)),
            ChangeProgress::Serving if order.to == self.state.role => {
                Err(OrderRejection::SameRole(self.state))
            }
            ChangeProgress::Serving => {
                self.state.progress = ChangeProgress::Draining { to: order.to, since: now };
                Ok(self.state)
            }
        }
    }

    /// Reports how much work and how many held states remain in the old role. Once neither remains, the
    /// engine takes the new role, with a start time that was never reported before, and the new state is
    /// returned.
    pub fn report_remaining_work(
        &mut self, now: Duration, work: usize, held_states: usize,
    ) -> Option<RoleState> {
        let ChangeProgress::Draining { to, .. } = self.state.progress else { return None };
        if work > 0 || held_states > 0 {
            return None;
        }
        // Start times are only compared for equality, so two within the same clock tick must differ.
        let started = now.max(self.state.started + Duration::from_millis(1));
        self.state =
            RoleState { role: to, epoch: self.state.epoch + 1, started, progress: ChangeProgress::Serving };
        Some(self.state)
    }
}
