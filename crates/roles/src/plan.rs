//! The planner's result: changes of role, each with its explanation.

use slipreel::{EngineId, Role};
use std::fmt;
use std::time::Duration;

/// One change, explained.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleChange {
    /// Which engine.
    pub engine: EngineId,
    /// Its role.
    pub from: Role,
    /// The role to take.
    pub to: Role,
    /// The epoch that it replaces.
    pub replaces: u64,
    /// Share of requests that can be served before it, and once it has worked.
    pub served: (f64, f64),
    /// What it costs, seconds of full service.
    pub cost: f64,
    /// What it gains, seconds of full service.
    pub gain: f64,
    /// How long the imbalance is likely to last.
    pub likely: Duration,
}

impl fmt::Display for RoleChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:x}: {:?} to {:?} (epoch {}): serves {:.1}% in place of {:.1}%, likely for {:.0} s; costs {:.2}, gains {:.2} s of full service",
            self.engine.0, self.from, self.to, self.replaces, 100.0 * self.served.1, 100.0 * self.served.0,
            self.likely.as_secs_f64(), self.cost, self.gain
        )
    }
}

/// What is to be done, and why nothing more.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolePlan {
    /// The changes, first things first.
    pub changes: Vec<RoleChange>,
    /// Why it holds no more, or none.
    pub because: String,
}
