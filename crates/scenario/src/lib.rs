//! Scripted days. A [`Scenario`] is a fleet of stand-in engines, routers, traffic and troubles. It is played in memory in
//! virtual time ([`run_in_memory`]) or over loopback sockets ([`run_over_sockets`]), by the same director, and the rules are
//! judged from what clients and engines saw.
//!
//! `script` reads a day from INI, `fleet` builds its machines, `trouble` turns troubles into acts at times, `stage`
//! carries acts out on either driver, `report` counts.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod actor;
mod fleet;
mod report;
mod script;
mod stage;
mod trouble;

pub use actor::{Actor, Sabotage};
pub use fleet::{spread_traffic, EnginePlan, Scenario, Traffic};
pub use report::{checker_limits, Group, Groups, Report};
pub use script::{read_scenario, read_scenario_sections, SCENARIO_SECTIONS};
pub use stage::{run_in_memory, run_over_sockets, LiveFleet, RunResult};
pub use trouble::{Kind, Trouble};
