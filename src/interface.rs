//! The module's types: what a [`Router`](crate::Router) is told and what it asks for.
//!
//! Times are [`Duration`]s on one clock of the host's choosing that never goes back. Lengths are
//! in tokens. Nothing here decides anything.

use std::time::Duration;

/// An engine, the same at every router and across restarts of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineId(pub u64);
/// A request; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);
/// A timer that the router has set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);
/// Position in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);
/// Position in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);
/// Position in [`Settings::kinds`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub usize);
/// A zone: a place that fails and is cut off as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u32);
/// A cell: a small set of engines with fast links among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u32);

/// What a request does when it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Repeats are dropped by the engines of `scope` for `window` after the first that may have run.
    WithKey {
        /// The engines that know each other's repeats.
        scope: DeduplicationScope,
        /// How long they remember.
        window: Duration,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// The engines that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// First-token aim of an empty prompt.
    pub latency_objective: Duration,
    /// What the aim grows by for each 1,000 prompt tokens.
    pub latency_objective_per_1000_tokens: Duration,
    /// What one request is worth.
    pub priority_weight: f64,
    /// What a request does when it runs.
    pub idempotency: Idempotency,
    /// Whether answers stream, so that a first token is told.
    pub streams: bool,
}

/// One customer and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all routers, that lie within its share; `None` if unlimited.
    pub quota_per_s: Option<f64>,
}

/// What an engine can do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts.
    #[default]
    Prefill,
    /// Writes answers.
    Decode,
    /// Does both.
    Mixed,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Inside outcomes and probe results.
    Answers,
    /// Inside probe results alone.
    Probes,
    /// Nowhere.
    None,
}

/// What a site allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The most attempts one request may have.
    pub max_attempts: usize,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether engines may be probed.
    pub probes: bool,
    /// Whether two attempts of one request may be out at once.
    pub hedged_requests: bool,
    /// The longest retry time that clients heed; `None` if they hear none.
    pub max_retry_after: Option<Duration>,
    /// After this an attempt without a connection ends as [`Outcome::ConnectFailed`].
    pub connect_timeout: Duration,
}

/// What a router is handed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many routers share the fleet, this one counted.
    pub router_count: u32,
    /// The zone of this router.
    pub zone: ZoneId,
    /// Least time between two batches of events.
    pub tick: Duration,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; empty if there are none.
    pub tenants: Vec<Tenant>,
    /// What a request over its tenant's share is worth, as a share of its class's worth.
    pub over_quota_weight: f64,
    /// The role of each kind of engine.
    pub kind_roles: Vec<Role>,
    /// The memory of each kind, tokens; empty where that is not told.
    pub memory_tokens: Vec<f64>,
    /// Whether a writer reads a prompt itself when there is no state to fetch.
    pub decode_engines_prefill: bool,
    /// Whether the list of engines has to be asked for.
    pub polls_engine_list: bool,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// What the site allows.
    pub limits: Limits,
    /// A started engine has at least this share of its capacity.
    pub warmup_initial_share: f64,
    /// And is warm within this time.
    pub warmup_time: Duration,
    /// Work of so long a time, at what it can do by then, that a cold engine may get at once from all routers; zero where
    /// that is not told.
    pub warmup_budget: Duration,
    /// Held state must be taken or let go within this time.
    pub held_state_limit: Duration,
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// It does.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Gone,
}

/// One entry of the list of engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Which engine.
    pub id: EngineId,
    /// Whether it takes new work.
    pub state: EngineState,
    /// Its kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// When it last started; `None` if long ago.
    pub started_at: Option<Duration>,
}

/// How a list of engines is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Changed entries only.
    Changes,
    /// All of them; who is absent has left.
    Complete,
    /// All of them as last held, perhaps out of date.
    Cached,
    /// The call failed; the list stays as it is.
    Failed,
}

/// What an engine tells of its load; what it does not tell is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait.
    pub queued: Option<f64>,
    /// Share of its slots in use.
    pub slot_share: Option<f64>,
    /// Share of its memory held.
    pub memory_share: Option<f64>,
    /// Prompt tokens that wait to be read or fetched.
    pub waiting_tokens: Option<f64>,
}

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Which request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The session.
    pub session: u64,
    /// The beginning shared with other sessions, if there is one.
    pub shared_prefix: Option<u64>,
    /// Length of the prompt, tokens.
    pub prompt_tokens: f64,
    /// The most tokens the answer may have.
    pub max_output_tokens: f64,
    /// How long until the client gives up.
    pub client_timeout: Duration,
    /// For an answer of which nothing goes out before it is whole: how long until the client gives up on that.
    /// `None` if it streams, or if its class tells no first token.
    pub complete_answer_timeout: Option<Duration>,
    /// Whether the client says that it has asked before.
    pub is_retry: bool,
    /// Whether it asks for the rest of a stream that broke or was moved.
    pub is_resumption: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served, or the probe was answered.
    Completed,
    /// The prompt is read and its state waits at the reader.
    Prefilled,
    /// The engine failed; the attempt may have run.
    Error,
    /// Turned away; it never ran. `state_missing`: there was no state to fetch.
    Rejected {
        /// There was no state to fetch.
        state_missing: bool,
    },
    /// No reply in time; it may have run or still run.
    TimedOut,
    /// No connection in time; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the attempt had no effect.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Outcome::Prefilled | Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// The end of one attempt; each has exactly one.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    /// Which request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Since its send.
    pub latency: Duration,
    /// The request is finished.
    pub request_finished: bool,
    /// Prompt tokens that a read found kept.
    pub cached_tokens: f64,
    /// The engine's load, where told.
    pub report: LoadReport,
}

/// What a router is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of engines.
    Engines {
        /// How to take it.
        listing: Listing,
        /// The entries.
        engines: Vec<Engine>,
    },
    /// A client's request has come in; it is owed one final answer.
    Request(Request),
    /// An answer has begun.
    FirstToken {
        /// Which request.
        request: RequestId,
        /// Which of its attempts, from 0.
        attempt: usize,
        /// Since its send.
        latency: Duration,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// The answer to a request for a place at a writer.
    ReservationAnswered {
        /// Which request.
        request: RequestId,
        /// The engine asked.
        engine: EngineId,
        /// Whether the place is held.
        granted: bool,
    },
    /// The client has left; no answer is owed any more.
    ClientDisconnected(RequestId),
    /// A timer has come due.
    TimerFired(TimerId),
    /// A probe has ended.
    ProbeEnded {
        /// The engine probed.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// The engine's load, where told.
        report: LoadReport,
    },
    /// A message from another router.
    PeerMessage {
        /// Its number.
        from: u32,
        /// What it sent.
        body: Vec<u8>,
    },
}

/// What a router asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an engine as its next attempt.
    Send {
        /// Which request.
        request: RequestId,
        /// Where to.
        engine: EngineId,
        /// Time-out of this attempt; `None`: until the client gives up.
        timeout: Option<Duration>,
    },
    /// Stop waiting for one attempt.
    Cancel {
        /// Which request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
    },
    /// Final answer: turned away, harmless to try again.
    Reject {
        /// Which request.
        request: RequestId,
        /// When the client may come again.
        retry_after: Option<Duration>,
        /// The tenant was over its share when it asked, so that its own restraint would help.
        over_quota: bool,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Let go of all state and places that are held for the request.
    Release(RequestId),
    /// Hold a place at a writer.
    Reserve {
        /// Which request.
        request: RequestId,
        /// At which engine.
        engine: EngineId,
    },
    /// End a running stream in good order so that it goes on elsewhere.
    MigrateStream(RequestId),
    /// Ask for a [`Event::TimerFired`].
    SetTimer {
        /// The timer's name.
        timer: TimerId,
        /// From now.
        after: Duration,
    },
    /// Probe an engine.
    Probe(EngineId),
    /// Close the idle connections to an engine.
    CloseIdleConnections(EngineId),
    /// Subscribe to changes of the list of engines, or end that.
    WatchEngines(bool),
    /// Ask once for the complete list of engines.
    FetchEngines,
    /// Send a message to one router, or to all.
    SendToPeer {
        /// Its number; `None`: all.
        to: Option<u16>,
        /// What to send.
        body: Vec<u8>,
    },
    /// A line for the staff.
    Log(String),
}
