//! An emulator of the fleet, for designs that have to be tried at sizes that sockets and bytes don't reach.
//!
//! A [`Scenario`](slipreel_scenario::Scenario) is played in virtual time like in `slipreel-scenario`, with the real decision module in every
//! router and the inside of the stand-in engine (queue, slots, memory, kept beginnings, steps, cold start) in every engine.
//! Left out is what lies between them: HTTP, connections, JSON and text. A message takes a fixed time one way, a
//! connection none. So it says nothing of connections, slow peers, garbage or of the front; troubles of a day other than
//! deaths and slowness of engines are not played, and [`EmulationReport::not_played`] names them.
//!
//! `engine` is an engine without bytes, `host` a router with its module, `play` the events in order, `roles` a planner
//! over the whole fleet. `tests/fidelity.rs` compares it with the same days in bytes.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod engine;
mod host;
mod play;
mod roles;

pub use host::Change;
pub use play::{emulate, emulate_with_settings_change, EmulationReport, Served};
