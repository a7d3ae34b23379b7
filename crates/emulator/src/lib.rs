//! An emulator of the fleet, for trying designs at sizes that are out of reach with sockets and real
//! messages.
//!
//! A [`Scenario`](slipreel_scenario::Scenario) runs in virtual time as in `slipreel-scenario`, with the real
//! decision module in every router and the scheduler of the simulated engine (queue, slots, memory, prefix
//! cache, steps, cold start) in every engine. What connects them is left out: HTTP, connections, JSON and
//! text. A message takes a fixed time one way, opening a connection takes none. So the emulator can't show
//! effects of connections, slow peers, malformed answers or the gateway. The troubles of a scenario are not
//! emulated; [`EmulationReport::not_played`] names their kinds.
//!
//! `engine` is an engine without I/O, `router` a router around its decision module, `emulation` handles all
//! events in order, `roles` runs a planner for the whole fleet. `tests/fidelity.rs` compares the emulator
//! with the same scenarios run in memory with all bytes.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod emulation;
mod engine;
mod roles;
mod router;

pub use emulation::{emulate, emulate_with_settings_change, EmulationReport, ModelResults};
pub use router::SettingsChange;
