//! The platform's protocol as a machine without I/O and clock: clients on one side, engines and discovery on the other.
//!
//! A [`Node`] is a [`Machine`](slipreel_state_machine::Machine). It holds `slipreel::Router`, tells it what happens on the
//! sockets and carries out what it decides. A request's way through the files:
//!
//! 1. `clients`: bytes become one whole request, `ask` reads off its head what the module is told;
//! 2. `carry`: the module's actions become attempts on connections (`link`), probes, and releases (`release`);
//! 3. `engines`: what engines say becomes events for the module, and the events of one stream the client's answer;
//! 4. `clients`: the one final answer is written.
//!
//! `call` is one request under way, `list` and `members` are what discovery told, `watch` how it is asked, `report` a
//! load report, `proof` what it rests on that an attempt never ran, `recent_ids` which ids were sent on lately,
//! `room` what is bounded and what goes first when it is short, `config` what a node is started with.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod ask;
mod call;
mod carry;
mod clients;
pub mod config;
mod engines;
mod link;
mod list;
mod members;
mod node;
mod proof;
mod recent_ids;
mod release;
mod report;
mod room;
mod watch;

pub use config::{Config, Unreadable};
pub use members::engine_id;
pub use node::{Node, Tally};
pub use room::Room;
