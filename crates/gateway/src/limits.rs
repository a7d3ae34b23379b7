//! What the gateway itself turns away, so that its own memory and descriptors are bounded whatever comes.
//!
//! None of this looks at load or worth: that is the decision module's affair. These are the smallest bounds that keep the
//! process alive, and what they turn away was never handed to the decision module.

use crate::settings::{Bounds, KINDS};
use slipreel::{Limits, ReportSource, Settings, ZoneId};
use slipreel_connections::ReleaseTiming;
use std::time::Duration;

/// When to come back after one of these bounds turned a request away. Long enough for a few requests to end.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// The longest answer to a read, a probe or a failure, and the longest event of a stream, bytes. Far over what engines
/// send, far under what would hurt.
pub(crate) const MAX_ENGINE_BODY: usize = 256 << 10;
/// Bytes of pipelined requests that are kept while one is served.
pub(crate) const MAX_PIPELINED: usize = 64 << 10;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Default for Bounds {
    /// Starting values for one thread on a small machine: some 20,000 streams of 64 KiB at the very most.
    fn default() -> Self {
        Bounds {
            connections: 20_000,
            requests: 20_000,
            body: 32 << 20,
            unsent: 64 << 10,
            per_engine: 1_024,
            idle_per_engine: 64,
            // Below the idle time of common servers, so that they seldom close first.
            engine_idle: ms(4_000),
            client_idle: ms(60_000),
            receive: ms(10_000),
            stalled_peer: ms(30_000),
            silent_stream: ms(20_000),
            probe: ms(250),
            stop: ms(30_000),
            half_close: false,
        }
    }
}

/// Starting values of a class that says nothing of its own.
pub struct ClassDefaults {
    /// First-token aim of an empty prompt.
    pub latency_objective: Duration,
    /// What it grows by for each 1,000 prompt tokens.
    pub latency_objective_per_1000_tokens: Duration,
    /// How long clients wait for the beginning.
    pub client_timeout: Duration,
    /// How long repeats of a key are remembered.
    pub window: Duration,
}

/// Starting values of a class: those of a chat.
pub fn class_defaults() -> ClassDefaults {
    ClassDefaults {
        latency_objective: ms(1_000),
        latency_objective_per_1000_tokens: ms(40),
        client_timeout: ms(6_000),
        window: ms(5_000),
    }
}

/// Starting values of what the decision module is handed, without classes and tenants: one router, what the brief's sites have
/// in common.
pub fn default_decision_settings() -> Settings {
    Settings {
        router_count: 1,
        zone: ZoneId(0),
        tick: ms(5),
        classes: Vec::new(),
        tenants: Vec::new(),
        over_quota_weight: 0.05,
        kind_roles: KINDS.to_vec(),
        memory_tokens: vec![],
        decode_engines_prefill: false,
        requests_engine_list: false,
        report_source: ReportSource::Answers,
        limits: Limits {
            max_attempts: 6,
            cancellation: true,
            probes: true,
            hedged_requests: false,
            max_retry_after: Some(ms(2_000)),
            connect_timeout: ms(250),
        },
        warmup_initial_share: 0.3,
        warmup_time: ms(13_000),
        warmup_budget: Duration::ZERO,
        held_state_limit: ms(500),
    }
}

/// How releases are retried: several times within the rule's half second once a link is back. The engines of this gateway
/// end a request's work with its release, so nothing is repeated.
pub(crate) const RELEASE_TIMING: ReleaseTiming =
    ReleaseTiming { retry: ms(200), repeat: ms(500), give_up: Duration::from_secs(30) };
/// How long a connection that is opened for a release may take to carry it: as long as slow hand-shakes last. One that
/// has answered before is left with the release until that is given up, as it is the first to work when a link is back.
pub(crate) const RELEASE_EXCHANGE_TIMEOUT: Duration = ms(2_000);

/// Why the gateway does not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionError {
    /// As many as may be under way are.
    TooManyRequests,
    /// It is stopping.
    Stopping,
}

/// Whether one more request may be taken.
pub(crate) fn check_admission(
    bounds: &Bounds, under_way: usize, stopping: bool,
) -> Result<(), AdmissionError> {
    if stopping {
        return Err(AdmissionError::Stopping);
    }
    if under_way >= bounds.requests {
        return Err(AdmissionError::TooManyRequests);
    }
    Ok(())
}

/// Whether the source of what waits for a peer is to be paused, given whether it is: some hysteresis, so that a
/// peer of steady pace does not make it change with each write.
pub(crate) fn pauses(bounds: &Bounds, unsent: usize, paused: bool) -> bool {
    if paused {
        unsent > bounds.unsent / 2
    } else {
        unsent > bounds.unsent
    }
}

#[cfg(test)]
mod tests;
