//! Parameters of a test engine, with plausible defaults.

use std::net::SocketAddr;
use std::time::Duration;

/// Which phases of a request an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Prefill: computes the KV cache of prompts.
    Prefill,
    /// Decode: generates answers.
    Decode,
    /// Both phases.
    Mixed,
}

impl Role {
    /// The name of the role in the protocol.
    pub fn name(self) -> &'static str {
        match self {
            Role::Prefill => "read",
            Role::Decode => "write",
            Role::Mixed => "both",
        }
    }

    /// Parses the name of a role in the protocol.
    pub fn from_name(name: &str) -> Option<Role> {
        [Role::Prefill, Role::Decode, Role::Mixed].into_iter().find(|r| r.name() == name)
    }
}

impl From<Role> for slipreel::Role {
    fn from(role: Role) -> Self {
        match role {
            Role::Prefill => slipreel::Role::Prefill,
            Role::Decode => slipreel::Role::Decode,
            Role::Mixed => slipreel::Role::Mixed,
        }
    }
}

impl From<slipreel::Role> for Role {
    fn from(role: slipreel::Role) -> Self {
        match role {
            slipreel::Role::Prefill => Role::Prefill,
            slipreel::Role::Decode => Role::Decode,
            slipreel::Role::Mixed => Role::Mixed,
        }
    }
}

/// Parameters of one engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Its name in records.
    pub name: String,
    /// The address that it listens on, from which decode engines fetch the states that it holds.
    pub addr: SocketAddr,
    /// Its initial role.
    pub role: Role,
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
    /// Maximum number of requests in the queue.
    pub queue: usize,
    /// Memory for KV caches, in tokens.
    pub memory: u64,
    /// Maximum number of prompt tokens that one step prefills.
    pub chunk: u64,
    /// Prefill speed, in prompt tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Minimum duration of a step.
    pub step: Duration,
    /// Time that each answer in a step adds to its duration.
    pub per_answer: Duration,
    /// Share of its full speed that it has when it starts.
    pub cold_share: f64,
    /// Time from its start until it has full speed.
    pub cold_time: Duration,
    /// An engine that is not yet at full speed crashes when it is sent more than this multiple of its
    /// capacity ...
    pub fall_multiple: f64,
    /// ... within this time.
    pub fall_time: Duration,
    /// Maximum number of prompt prefixes in its cache.
    pub cached_prefixes: usize,
    /// Engines of one group run requests of the same idempotency key only once ...
    pub group: String,
    /// ... within this time.
    pub key_window: Duration,
    /// How long it holds a state that no decode engine fetches.
    pub hold_time: Duration,
    /// How long it has been running at the beginning of the test.
    pub age: Duration,
}

impl EngineSpec {
    /// An engine of ordinary size.
    pub fn new(name: &str, addr: SocketAddr, role: Role) -> Self {
        let runs_prefill = role != Role::Decode;
        EngineSpec {
            name: name.into(),
            addr,
            role,
            slots: if role == Role::Prefill { 8 } else { 64 },
            queue: 32,
            memory: 200_000,
            chunk: 2_048,
            prefill_tokens_per_s: if runs_prefill { 20_000.0 } else { 6_000.0 },
            step: Duration::from_millis(10),
            per_answer: Duration::from_micros(100),
            cold_share: 0.3,
            cold_time: Duration::from_secs(10),
            fall_multiple: 3.0,
            fall_time: Duration::from_secs(2),
            cached_prefixes: 512,
            group: "all".into(),
            key_window: Duration::from_secs(60),
            hold_time: Duration::from_secs(30),
            age: Duration::ZERO,
        }
    }

    /// Decode speed with all slots in use, in answer tokens per second.
    pub fn decode_tokens_per_s(&self) -> f64 {
        let step = self.step + self.per_answer * self.slots as u32;
        self.slots as f64 / step.as_secs_f64()
    }
}
