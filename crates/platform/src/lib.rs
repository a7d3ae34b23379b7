//! The platform's protocol as a state machine without I/O and clock: clients on one side, engines and discovery on the
//! other.
//!
//! A [`PlatformRouter`] is a [`Machine`](slipreel_state_machine::Machine). It holds the decision module
//! (`slipreel::Router`), queues events for it about what happens on the sockets, and dispatches the actions that it
//! decides. A request's way through the files:
//!
//! 1. `clients`: bytes of a client become one complete request; `parse_request` reads from its head what the decision
//!    module gets, and `request_error` says why a request is rejected before that;
//! 2. `dispatch`: the module's actions become attempts on connections (`engine_connection`), health checks, and
//!    releases of held state (`release`);
//! 3. `engines`: responses of engines (parsed by `response`) become events for the module, and the events of one stream the client's answer;
//! 4. `clients`: the one final answer is written.
//!
//! The router composes types that own their state, each with one job: `client_connections` and `engine_connections`
//! (connections with their timers, who is evicted, which connection is reused), `active_requests` (requests by id and by
//! client id, the memory that they hold, ids that were forwarded lately), `endpoints` and `watch` (the listed engines, and
//! how discovery is asked for them), `shutdown`, `decisions` (the module and its queue of events), `counters`,
//! `log_limiter` (what is logged is a `log_event`), and `resource_limits`. `router` takes the inputs and fires the timers; `discovery` does for discovery
//! what `clients` and `engines` do for theirs.
//!
//! `request` is one request in progress, `endpoint_list` and `load_report` parse what discovery and engines send, `proof`
//! is evidence that an attempt never ran, `recent_ids` a bounded memory of ids, `timer` says what timers are for, and
//! `config` what a router is started with.

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
