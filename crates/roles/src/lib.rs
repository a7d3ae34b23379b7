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

mod capacity;
mod conductor;
mod config;
mod demand;
mod integer_program;
mod load_history;
mod plan;
mod planner;
mod record;
mod stage_load;
mod view;

pub use conductor::{Conductor, Freeze, FullLoadRequests, Watched, CACHED_TOKENS_AT_FULL_MEMORY};
pub use config::{ChangeCosts, PlannerLimits, PlanningPolicy};
pub use demand::{Demand, EngineThroughput};
pub use load_history::LoadHistory;
pub use plan::{RoleChange, RolePlan};
pub use planner::Planner;
pub use record::{Order, Rejected, RoleRecord, RoleState, Step};
pub use stage_load::{ExpectedLoad, StageLoad};
pub use view::{EngineView, Phase, PlannerView};
