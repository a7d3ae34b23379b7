//! Assigns engines to prefill and decode as the ratio of the two loads shifts.
//!
//! - [`Planner`]: decides from views which engines to change, in which order, and explains each change: its
//!   cause, cost and gain. A change is planned only if its gain outweighs its cost.
//! - [`RoleRecord`]: an engine's record of its own role. An order names the epoch that it replaces, so that
//!   two controllers, or one that was suspended, can't undo each other's changes.
//! - [`RoleController`]: a state machine that polls engines and routers, plans, and orders the changes.
//!
//! This crate does no I/O and reads no clock; the same views give the same plans. `docs/design-roles.md`
//! compares the options.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod capacity;
mod config;
mod controller;
mod demand;
mod integer_program;
mod load_history;
mod plan;
mod planner;
mod record;
mod stage_load;
mod view;

pub use config::{ChangeCosts, PlannerLimits, PlanningPolicy};
pub use controller::{
    ControllerConfig, ControllerMode, Freeze, FullLoadRequests, OrderCounts, RoleController, WatchedEngine,
    CACHED_TOKENS_AT_FULL_MEMORY,
};
pub use demand::{Demand, EngineThroughput};
pub use load_history::LoadHistory;
pub use plan::{RoleChange, RolePlan};
pub use planner::Planner;
pub use record::{ChangeProgress, Order, OrderRejection, RoleRecord, RoleState};
pub use stage_load::{ExpectedLoad, StageLoad};
pub use view::{EngineView, Phase, PlannerView};
