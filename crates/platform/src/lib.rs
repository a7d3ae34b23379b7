//! The platform's protocol as a state machine without I/O and clock: clients on one side, engines and
//! discovery on the other.
//!
//! A [`PlatformRouter`] is a [`Machine`](slipreel_state_machine::Machine). It holds the decision module
//! (`slipreel::Router`), queues events for it about what happens on the sockets, and dispatches the actions
//! that it returns. A request passes through these files:
//!
//! 1. `clients`: a client's bytes become one complete request; `parse_request` takes from its head what the
//!    decision module needs, and `request_error` lists the reasons for which a request is rejected before
//!    that;
//! 2. `dispatch`: the module's actions become attempts on connections (`engine_connection`), health checks,
//!    and releases of held state (`release`);
//! 3. `engines`: responses of engines (parsed by `response`) become events for the module, and the events of
//!    one stream become the client's answer;
//! 4. `clients`: the one final answer is written.
//!
//! The router is composed of types that own their state, each with one responsibility:
//!
//! - `client_connections` and `engine_connections`: connections with their timers, which connection is
//!   evicted, and which one is reused;
//! - `active_requests`: requests by id and by client id, the memory that they hold, and recently forwarded
//!   ids;
//! - `endpoints` and `watch`: the listed engines, and the connection to discovery that keeps the list up to
//!   date;
//! - `memory`: keeps the memory that buffers take within its limit;
//! - `shutdown`, `decisions` (the module and its queue of events), `counters`, `log_limiter` (which limits
//!   the `log_event`s that are written), and `resource_limits`.
//!
//! `router` receives the inputs and fires the timers. `discovery` handles discovery as `clients` and
//! `engines` handle their sides.
//!
//! `request` is one request in progress. `endpoint_list` and `load_report` parse what discovery and engines
//! send. `proof` is evidence that an attempt never ran, `recent_ids` a bounded set of ids, `timer` lists the
//! purposes of timers, and `config` is the configuration that a router is started with.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod active_requests;
mod client_connections;
mod clients;
pub mod config;
mod counters;
mod decisions;
mod discovery;
mod dispatch;
mod endpoint_list;
mod endpoints;
mod engine_connection;
mod engine_connections;
mod engines;
mod load_report;
mod log_event;
mod log_limiter;
mod memory;
mod parse_request;
mod proof;
mod recent_ids;
mod release;
mod request;
mod request_error;
mod resource_limits;
mod response;
mod router;
mod shutdown;
mod timer;
mod watch;

pub use config::{Config, ConfigError};
pub use counters::Counters;
pub use endpoint_list::EndpointListError;
pub use endpoints::engine_id;
pub use resource_limits::ResourceLimits;
pub use router::{HeldState, PlatformRouter};
