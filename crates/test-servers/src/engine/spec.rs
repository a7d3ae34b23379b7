//! The figures of a stand-in engine. Starting values are plausible, not measured on any real one.

use std::net::SocketAddr;
use std::time::Duration;

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts.
    Prefill,
    /// Writes answers.
    Decode,
    /// Both.
    Mixed,
}

impl Role {
    /// Its name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Role::Prefill => "read",
            Role::Decode => "write",
            Role::Mixed => "both",
        }
    }

    /// The role of that name.
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

/// What one engine is like.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Its name in records.
    pub name: String,
    /// Where it listens, so that writers can be told where state waits.
    pub addr: SocketAddr,
    /// What it does.
    pub role: Role,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Memory, tokens.
    pub memory: u64,
    /// Prompt tokens read in one step at most.
    pub chunk: u64,
    /// Prompt tokens read a second.
    pub prefill_tokens_per_s: f64,
    /// Shortest step.
    pub step: Duration,
    /// What each running answer adds to a step.
    pub per_answer: Duration,
    /// Share of its speed at its start.
    pub cold_share: f64,
    /// Time until it is warm.
    pub cold_time: Duration,
    /// Sent more than this multiple of what it can do while cold ...
    pub fall_multiple: f64,
    /// ... for so long, it falls over.
    pub fall_time: Duration,
    /// Beginnings of prompts that it keeps.
    pub kept: usize,
    /// Engines of one group drop each other's repeats of a key ...
    pub group: String,
    /// ... for so long.
    pub key_window: Duration,
    /// It lets go of state that nobody asks for after this.
    pub hold_time: Duration,
    /// How long it has been up when it begins.
    pub age: Duration,
}

impl EngineSpec {
    /// An engine of ordinary size.
    pub fn new(name: &str, addr: SocketAddr, role: Role) -> Self {
        let reads = role != Role::Decode;
        EngineSpec {
            name: name.into(),
            addr,
            role,
            slots: if role == Role::Prefill { 8 } else { 64 },
            queue: 32,
            memory: 200_000,
            chunk: 2_048,
            prefill_tokens_per_s: if reads { 20_000.0 } else { 6_000.0 },
            step: Duration::from_millis(10),
            per_answer: Duration::from_micros(100),
            cold_share: 0.3,
            cold_time: Duration::from_secs(10),
            fall_multiple: 3.0,
            fall_time: Duration::from_secs(2),
            kept: 512,
            group: "all".into(),
            key_window: Duration::from_secs(60),
            hold_time: Duration::from_secs(30),
            age: Duration::ZERO,
        }
    }

    /// Answer tokens a second that it can write with all slots in use.
    pub fn decode_tokens_per_s(&self) -> f64 {
        let step = self.step + self.per_answer * self.slots as u32;
        self.slots as f64 / step.as_secs_f64()
    }
}
