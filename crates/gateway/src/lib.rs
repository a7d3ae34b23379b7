//! The gateway: a complete router between clients of the Messages API and engines that serve chat completions,
//! without I/O and clock.
//!
//! A [`Gateway`] is a [`Machine`](slipreel_state_machine::Machine). It owns the decision modules
//! (`slipreel::Router`), one for each generation of settings, queues events for them and dispatches the
//! actions that they return. Gateways in one process share nothing. A request passes these modules:
//!
//! 1. `Client` of `slipreel-connections` turns bytes into one complete HTTP request;
//! 2. `serve` routes it by its path, and `classify` extracts the attributes that the decision module needs;
//! 3. `dispatch` turns actions into attempts (`request`) on connections to engines (`engine_connection`);
//! 4. `engines` turns what engines send into events for the decision module and, with `message_writer`, into
//!    the answer;
//! 5. `answers` writes the final answer.
//!
//! `engine_error` classifies error answers of engines, `limits` holds the gateway's own resource limits,
//! `engine_list` the list of engines, `settings` the settings, `metrics` the published metrics. `operators`
//! handles operators' requests, and `policy` applies the fleet's policy.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod active_requests;
mod answers;
mod classify;
mod client_connections;
mod decisions;
mod dispatch;
mod engine_connection;
mod engine_connections;
mod engine_error;
mod engine_list;
mod engines;
mod gateway;
mod limits;
mod message_writer;
mod metrics;
mod operators;
mod policy;
mod request;
mod serve;
pub mod settings;
mod shutdown;
mod timer;

pub use engine_list::engine_id;
pub use gateway::{Counters, Gateway, HeldState, RouterCount};
pub use request::{RequestEnd, POLICY_FIELD};
pub use settings::GatewaySettings;
