//! The settings of a router: request classes, tenants, engine kinds, and limits of the deployment.

use super::ZoneId;
use std::time::Duration;

/// Whether requests of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Each request has an idempotency key: the engines of `scope` drop duplicates for `window`, which the
    /// router counts from when it sent the first attempt that may have run.
    WithKey {
        /// The engines among which duplicates are recognised.
        scope: DeduplicationScope,
        /// How long duplicates are recognised.
        window: Duration,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// The engines among which duplicates of a request with an idempotency key are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Objective for the time to the first token with an empty prompt.
    pub latency_objective: Duration,
    /// What is added to the objective for each 1,000 prompt tokens.
    pub latency_objective_per_1000_tokens: Duration,
    /// Relative priority of its requests: under overload those below the highest weight are rejected first;
    /// no unit.
    pub priority_weight: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Whether answers are streamed, so that [`Event::FirstToken`](super::Event::FirstToken) is reported.
    pub streams: bool,
}

/// One tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all routers, that are within its quota; `None` if unlimited.
    pub quota_per_s: Option<f64>,
}

/// Which stages of a request an engine works on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Prefill: reads prompts.
    #[default]
    Prefill,
    /// Decode: generates answers.
    Decode,
    /// Both stages.
    Mixed,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// In the ends of attempts and of probes.
    Answers,
    /// In the ends of probes alone.
    Probes,
    /// Nowhere.
    None,
}

/// Limits of the deployment that a router has to keep to.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    pub max_attempts: usize,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether engines may be probed.
    pub probes: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub hedged_requests: bool,
    /// The longest Retry-After that clients honour; `None` if they ignore it.
    pub max_retry_after: Option<Duration>,
    /// Time to establish a connection, after which an attempt ends as
    /// [`Outcome::ConnectFailed`](super::Outcome::ConnectFailed).
    pub connect_timeout: Duration,
}

/// The settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many routers share the engines, including this one.
    pub router_count: u32,
    /// The zone of this router.
    pub zone: ZoneId,
    /// Minimum time between two batches of events that the host hands over.
    pub tick: Duration,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; empty if there are none.
    pub tenants: Vec<Tenant>,
    /// Factor on the priority weight of a request over its tenant's quota; no unit.
    pub over_quota_weight: f64,
    /// The role of each kind of engine.
    pub kind_roles: Vec<Role>,
    /// Capacity of the memory of each kind of engine, tokens; empty if unknown.
    pub memory_tokens: Vec<f64>,
    /// Whether a decode engine prefills a prompt itself when there is no state to fetch.
    pub decode_engines_prefill: bool,
    /// Whether the endpoint list has to be requested with
    /// [`Action::WatchEngines`](super::Action::WatchEngines).
    pub requests_engine_list: bool,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// Limits of the deployment.
    pub limits: Limits,
    /// Minimum share of its full capacity that an engine has just after its start.
    pub warmup_initial_share: f64,
    /// Time from its start until an engine is warmed up.
    pub warmup_time: Duration,
    /// Work that an engine that is warming up may get in one burst from all routers together, expressed as
    /// time at the capacity that it has by then; zero if unknown.
    pub warmup_budget: Duration,
    /// Maximum time for which an engine may hold state before it is fetched or released.
    pub held_state_limit: Duration,
    /// Whether a release spares the state that an attempt which has arrived at its engine waits for. If so,
    /// state is released in time while an attempt that is to fetch it has no answer.
    pub release_spares_awaited_state: bool,
}
