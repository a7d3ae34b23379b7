//! The settings of a gateway as they were configured, which it receives at its start and at each reload.

use slipreel::{EngineState, Role, Settings};
use std::net::SocketAddr;

pub use crate::limits::{class_defaults, default_decision_settings, ClassDefaults};
use std::time::Duration;

/// The settings of the decision module, and those that the gateway itself needs.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The settings of the decision module. Their engine kinds are [`KINDS`].
    pub decisions: Settings,
    /// The classes, in the order of `decisions.classes`.
    pub classes: Vec<ClassSettings>,
    /// The models that clients may request.
    pub models: Vec<ModelSettings>,
    /// The tenants, in the order of `decisions.tenants`. If there are none, requests with any key or none are
    /// accepted.
    pub tenants: Vec<TenantSettings>,
    /// The engines, unless the owner of the gateway sends a list.
    pub engines: Vec<EngineSettings>,
    /// The gateway's own limits.
    pub bounds: Bounds,
    /// Names of engines that operators drain, whatever their state in the list.
    pub drained_engines: Vec<String>,
    /// Whether operators want no engine to change its role; published for the process that changes roles.
    pub roles_frozen: bool,
    /// The name of this router's zone. `decisions.zone` gets the number that the engine list assigns to it.
    pub zone: String,
    /// The name of this router for engines, in the `via` field.
    pub name: String,
}

/// The kinds of engines by role; a `KindId` is an index into this array.
pub const KINDS: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

/// The settings of a class beyond those of the decision module.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// The name.
    pub name: String,
    /// How long its clients wait for an answer to begin, unless a client sends a shorter timeout.
    pub client_timeout: Duration,
}

/// A model that clients may request.
#[derive(Clone, Debug)]
pub struct ModelSettings {
    /// The name in clients' requests.
    pub name: String,
    /// The index of its class.
    pub class: usize,
    /// The name of the model at the engines.
    pub served_as: String,
}

/// A tenant and its API keys.
#[derive(Clone, Debug)]
pub struct TenantSettings {
    /// The name.
    pub name: String,
    /// The keys that identify it.
    pub keys: Vec<String>,
    /// Whether its requests may choose another class with `x-slipreel-class`.
    pub may_choose_class: bool,
}

/// An engine of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// The name for operators.
    pub name: String,
    /// The address.
    pub addr: SocketAddr,
    /// The role: prefill, decode or both.
    pub role: Role,
    /// The name of its zone.
    pub zone: String,
    /// The name of its cell.
    pub cell: String,
    /// Whether it accepts new work, drains or is gone.
    pub state: EngineState,
}

/// The gateway's own limits. All have to be set; `slipreel-settings` fills in the defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Concurrent client connections; further ones are closed.
    pub connections: usize,
    /// Concurrent requests; further ones are rejected.
    pub requests: usize,
    /// Bytes of a request's body; larger ones are rejected.
    pub body: u64,
    /// Bytes that may wait for one peer before reading from their source is paused.
    pub unsent: usize,
    /// Concurrent connections to one engine.
    pub per_engine: usize,
    /// Idle connections to one engine that are kept open.
    pub idle_per_engine: usize,
    /// Time after which an idle connection to an engine is closed.
    pub engine_idle: Duration,
    /// Time after which an idle connection of a client is closed.
    pub client_idle: Duration,
    /// Time within which a request's head, and then its body, has to be received completely.
    pub receive: Duration,
    /// A client connection that accepts no data for this time while some is waiting is closed.
    pub stalled_peer: Duration,
    /// An answer during which the engine sends no further output for this time is aborted.
    pub silent_stream: Duration,
    /// Time within which a probe has to be answered.
    pub probe: Duration,
    /// Time after the start of a shutdown at which requests that still run are ended.
    pub stop: Duration,
    /// Whether a client that has closed its sending side still gets its answer.
    pub half_close: bool,
}
