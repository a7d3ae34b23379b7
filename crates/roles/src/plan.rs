//! The planner's result: changes of role, each with its explanation.

use slipreel::{EngineId, Role};
use std::fmt;
use std::time::Duration;

/// A change of one engine's role, with the figures that justify it.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleChange {
    /// The engine.
    pub engine: EngineId,
    /// Its role.
    pub from: Role,
    /// The role to take.
    pub to: Role,
    /// The epoch of its present role, which the change replaces.
    pub replaces: u64,
    /// The share of requests that can be served without the planned changes; from 0 to 1.
    pub served_before: f64,
    /// The share of requests that can be served once the planned changes are complete; from 0 to 1.
    pub served_after: f64,
    /// What it costs, in seconds of full service.
    pub cost: f64,
    /// What it gains, in seconds of full service.
    pub gain: f64,
    /// How long the imbalance is likely to last.
    pub expected_duration: Duration,
}

impl fmt::Display for RoleChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:x}: {} to {} (epoch {}): serves {:.1}% in place of {:.1}%, likely for {:.0} s; costs {:.2}, gains {:.2} s of full service",
            self.engine.0, logged_role(self.from), logged_role(self.to), self.replaces, 100.0 * self.served_after, 100.0 * self.served_before,
            self.expected_duration.as_secs_f64(), self.cost, self.gain
        )
    }
}

/// The name of a role in log lines. Operators' tools match these names, which differ from those in the code.
fn logged_role(role: Role) -> &'static str {
    match role {
        Role::Prefill => "Read",
        Role::Decode => "Write",
        Role::Mixed => "Both",
    }
}

/// The changes to begin now, and the reason why there are no more.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolePlan {
    /// The changes, in order.
    pub changes: Vec<RoleChange>,
    /// Why there are no more, or none; shown to operators.
    pub reason: String,
}

impl RolePlan {
    /// A plan without changes.
    pub(crate) fn without_changes(reason: &str) -> RolePlan {
        RolePlan { changes: Vec::new(), reason: reason.into() }
    }
}
