//! Scripted scenarios. A [`Scenario`] describes simulated engines, routers, traffic and troubles (faults and
//! changes of the load). The same runner executes it in memory in virtual time ([`run_in_memory`]) or over
//! loopback sockets ([`run_over_sockets`]), and the invariant checker judges what clients and engines
//! observed.
//!
//! `parse` reads a scenario from INI, `scenario` defines it and generates its requests, `trouble` turns
//! troubles into timed actions, `runner` executes the actions on either driver, `machine` is the common type
//! of all state machines of a run, and `report` counts results.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod machine;
mod parse;
mod report;
mod runner;
mod scenario;
mod trouble;

pub use machine::{AnyMachine, RouterDefect};
pub use parse::{read_scenario, read_scenario_sections, SCENARIO_SECTIONS};
pub use report::{checker_limits, Group, Groups, Report};
pub use runner::{run_in_memory, run_over_sockets, LiveFleet, RunResult};
pub use scenario::{generate_requests, Scenario, ScenarioEngine, Traffic};
pub use trouble::{Trouble, TroubleKind};
