//! What a gateway is handed at its start or at a reload: the settings as they were configured. Decides nothing.

use slipreel::{EngineState, Role, Settings};
use std::net::SocketAddr;

pub use crate::limits::{class_defaults, default_decision_settings, ClassDefaults};
use std::time::Duration;

/// Settings: what the decision module is handed, and what the gateway needs beside it.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Handed to the decision module as it is. Its kinds are [`KINDS`].
    pub decisions: Settings,
    /// The classes, in the order of `decisions.classes`.
    pub classes: Vec<ClassSettings>,
    /// The models that are offered.
    pub models: Vec<ModelSettings>,
    /// The tenants, in the order of `decisions.tenants`. Where there are none, any key or none is taken.
    pub tenants: Vec<TenantSettings>,
    /// The engines, unless a list comes from elsewhere.
    pub engines: Vec<EngineSettings>,
    /// What the gateway bounds.
    pub bounds: Bounds,
    /// Engines that take nothing new whatever the list says, by name.
    pub drained_engines: Vec<String>,
    /// Operators want no engine to change its role: shown to who changes them.
    pub roles_frozen: bool,
    /// The zone of this router, by name; it goes into `decisions.zone` as the list numbers it.
    pub zone: String,
    /// Names this router to engines (`via`), and begins its request ids.
    pub name: String,
}

/// The kinds of engine, by role: `KindId` is the position here.
pub const KINDS: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

/// What the gateway knows of a class beside what the decision module does.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// How long its clients wait for an answer to begin, unless they say less.
    pub client_timeout: Duration,
}

/// A model that is offered.
#[derive(Clone, Debug)]
pub struct ModelSettings {
    /// The name that clients ask for.
    pub name: String,
    /// Position of its class.
    pub class: usize,
    /// The name that the engines know it by.
    pub served_as: String,
}

/// A tenant and its keys.
#[derive(Clone, Debug)]
pub struct TenantSettings {
    /// Its name.
    pub name: String,
    /// The keys that name it.
    pub keys: Vec<String>,
    /// Whether its requests may name another class in `x-slipreel-class`.
    pub may_choose_class: bool,
}

/// An engine of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// For operators.
    pub name: String,
    /// Where it is.
    pub addr: SocketAddr,
    /// What it does.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: String,
    /// Whether it takes new work.
    pub state: EngineState,
}

/// What the gateway bounds. All of these have to be set; `slipreel-settings` names defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Client connections at once; further ones are closed.
    pub connections: usize,
    /// Requests under way at once; further ones are refused.
    pub requests: usize,
    /// Bytes of a request's body.
    pub body: u64,
    /// Bytes that may wait for one peer before its source is paused.
    pub unsent: usize,
    /// Connections to one engine.
    pub per_engine: usize,
    /// Idle ones of these that are kept.
    pub idle_per_engine: usize,
    /// After this an idle connection to an engine is closed.
    pub engine_idle: Duration,
    /// After this an idle connection of a client is closed.
    pub client_idle: Duration,
    /// In this time a head, and then a body, has to come in completely.
    pub receive: Duration,
    /// A peer that takes nothing for so long while something waits for it is cut off.
    pub stalled_peer: Duration,
    /// An engine that says nothing for so long in the midst of an answer is given up.
    pub silent_stream: Duration,
    /// In this time a probe or a release is answered, or counts as lost.
    pub probe: Duration,
    /// A request ends by then after the gateway was told to stop.
    pub stop: Duration,
    /// Whether a client that sends no more still waits for its answer.
    pub half_close: bool,
}
