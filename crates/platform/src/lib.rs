//! The platform's protocol as a state machine without I/O and clock: clients on one side, engines and discovery on the
//! other.
//!
//! A [`PlatformRouter`] is a [`Machine`](slipreel_state_machine::Machine). It holds the decision module
//! (`slipreel::Router`), queues events for it about what happens on the sockets, and dispatches the actions that it
//! decides. A request's way through the files:
//!
//! 1. `clients`: bytes of a client become one complete request; `parse_request` reads from its head what the decision
//!    module is told, and `request_error` says why a request is rejected before that;
//! 2. `dispatch`: the module's actions become attempts on connections (`engine_connection`), health checks, and
//!    releases of held state (`release`);
//! 3. `engines`: responses of engines become events for the module, and the events of one stream the client's answer;
//! 4. `clients`: the one final answer is written.
//!
//! Beside that way stand `request` (one request in progress), `endpoints` and `endpoint_list` (the engines that discovery
//! lists), `watch` (how discovery is asked), `load_report` (the text of a load report), `proof` (evidence that an attempt
//! never ran), `recent_ids` (ids that were forwarded lately), `resource_limits` (bounds of the process), `counters` and
//! `log_limiter` (what the log says), and `config` (what a router is started with).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clients;
pub mod config;
mod counters;
mod dispatch;
mod endpoint_list;
mod endpoints;
mod engine_connection;
mod engines;
mod load_report;
mod log_limiter;
mod parse_request;
mod proof;
mod recent_ids;
mod release;
mod request;
mod request_error;
mod resource_limits;
mod router;
mod watch;

pub use config::{Config, ConfigError};
pub use counters::Counters;
pub use endpoints::engine_id;
pub use resource_limits::ResourceLimits;
pub use router::PlatformRouter;
