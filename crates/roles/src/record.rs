//! An engine's own record of its role: the one place where a role is held, with the epoch in which it was taken.
//!
//! Routers share nothing and planners may be several or dead, so nobody else is the truth. An order names the epoch that
//! it replaces; one for an older epoch is turned away with the present state, from which its planner can go on.

use slipreel::Role;
use std::time::Duration;

/// Where a change stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It serves in its role.
    Serving,
    /// It was told of another role and takes nothing new; what runs in the old one ends whole.
    Draining {
        /// The role to come.
        to: Role,
        /// When it was told.
        since: Duration,
    },
}

/// The role that an engine tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleState {
    /// The role it serves in, or ends its work in.
    pub role: Role,
    /// Grows by one with each role taken.
    pub epoch: u64,
    /// When it started in this role: the start time that the list shows, a new one for each role.
    pub started: Duration,
    /// Where a change stands.
    pub step: Step,
}

/// An order to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// The epoch that it replaces.
    pub replaces: u64,
    /// The role to take.
    pub to: Role,
}

/// Why an order was not taken. Nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// It names another epoch than the present one.
    OtherEpoch(RoleState),
    /// Another change is under way.
    Changing(RoleState),
    /// It has that role.
    SameRole(RoleState),
}

/// What an engine holds of its role.
#[derive(Clone, Debug)]
pub struct RoleRecord {
    state: RoleState,
}

impl RoleRecord {
    /// An engine that has started in a role. After a restart it passes the epoch that it had, or 0 if it knows none:
    /// its start time tells routers that whatever they knew is void.
    pub fn started(role: Role, epoch: u64, now: Duration) -> Self {
        RoleRecord { state: RoleState { role, epoch, started: now, step: Step::Serving } }
    }

    /// Its state, as it tells it.
    pub fn state(&self) -> RoleState {
        self.state
    }

    /// Whether it takes new work.
    pub fn takes_work(&self) -> bool {
        self.state.step == Step::Serving
    }

    /// Takes an order, or says why not. An order that is repeated while it is carried out is taken again.
    ///
    /// # Errors
    /// The order replaces another epoch, another change is under way, or the role is the same.
    pub fn order(&mut self, now: Duration, order: Order) -> Result<RoleState, Rejected> {
        if order.replaces != self.state.epoch {
            return Err(Rejected::OtherEpoch(self.state));
        }
        match self.state.step {
            Step::Draining { to, .. } if to == order.to => Ok(self.state),
            Step::Draining { .. } => Err(Rejected::Changing(self.state)),
            Step::Serving if order.to == self.state.role => Err(Rejected::SameRole(self.state)),
            Step::Serving => {
                self.state.step = Step::Draining { to: order.to, since: now };
                Ok(self.state)
            }
        }
    }

    /// Tells it how much of its old role is left; gives the new state once it has taken the new role. The new role
    /// comes only when no work and no held state is left, and with a start time that was never told before.
    pub fn left(&mut self, now: Duration, work: usize, held_states: usize) -> Option<RoleState> {
        let Step::Draining { to, .. } = self.state.step else { return None };
        if work > 0 || held_states > 0 {
            return None;
        }
        // Start times are compared for change alone; two within one tick of a clock must still differ.
        let started = now.max(self.state.started + Duration::from_millis(1));
        self.state = RoleState { role: to, epoch: self.state.epoch + 1, started, step: Step::Serving };
        Some(self.state)
    }
}
