//! Which engines should read and which should write, as the mix of work shifts.
//!
//! - [`Planner`]: from what is seen it settles which engines to change, in which order, and explains each change: what
//!   was seen, what it costs, what it gains. A change is paid only when its gain outweighs its cost.
//! - [`RoleRecord`]: what an engine holds of its own role. A change names the epoch that it replaces, so that two
//!   planners, or one that comes back from the dead, can't undo each other.
//! - [`Conductor`]: a machine that asks engines how they are, plans, and orders the changes that pay.
//!
//! No I/O and no clock; the same views give the same plans. `docs/design-roles.md` weighs the options.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod conductor;
mod demand;
mod mix;
mod planner;
mod program;
mod record;

pub use conductor::{Conductor, Freeze, Places, Watched, KEPT_AT_FULL};
pub use demand::{Demand, Speeds};
pub use mix::{Mix, MixHistory};
pub use planner::{Change, Costs, EngineView, Limits, Phase, Plan, Planner, Policy, View};
pub use record::{Order, Rejected, RoleRecord, RoleState, Step};
