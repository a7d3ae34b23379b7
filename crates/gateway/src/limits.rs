//! The gateway's own resource limits, which bound its memory and descriptors under any input, and default
//! settings.
//!
//! These limits ignore load and priority, which are the decision module's concern. They are the minimum that
//! keeps the process alive. Requests that they reject never reach the decision module.

use crate::settings::{Bounds, KINDS};
use slipreel::{Limits, ReportSource, Settings, ZoneId};
use slipreel_connections::ReleaseTiming;
use std::time::Duration;

/// When a client may retry after one of these limits rejected its request: long enough for a few requests to
/// end.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// The largest answer body to a prefill, probe or release, the largest error body, and the largest event of a
/// stream, bytes. Far above what engines send, and far below what would strain the router's memory.
pub(crate) const MAX_ENGINE_BODY_BYTES: usize = 256 << 10;
/// Bytes of pipelined requests that are buffered while one is served.
pub(crate) const MAX_PIPELINED_BYTES: usize = 64 << 10;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Default for Bounds {
    /// Defaults for one thread on a small machine: at most some 20,000 streams of 64 KiB each.
    fn default() -> Self {
        Bounds {
            connections: 20_000,
            requests: 20_000,
            body: 32 << 20,
            unsent: 64 << 10,
            per_engine: 1_024,
            idle_per_engine: 64,
            // Below the idle timeout of common servers, so that the engine rarely closes first.
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

/// Default settings of a class.
pub struct ClassDefaults {
    /// Latency objective of the first token for an empty prompt.
    pub latency_objective: Duration,
    /// Increase of the objective for each 1,000 prompt tokens.
    pub latency_objective_per_1000_tokens: Duration,
    /// How long clients wait for an answer to begin.
    pub client_timeout: Duration,
    /// How long engines remember an idempotency key.
    pub deduplication_window: Duration,
}

/// The default settings of a class, which suit a chat.
pub fn class_defaults() -> ClassDefaults {
    ClassDefaults {
        latency_objective: ms(1_000),
        latency_objective_per_1000_tokens: ms(40),
        client_timeout: ms(6_000),
        deduplication_window: ms(5_000),
    }
}

/// The default settings of the decision module for one router, without classes and tenants.
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
        release_spares_awaited_state: false,
    }
}

/// How releases are retried: several times within the half second that the held-state limit allows once a
/// link is back. A release also ends the request's work at this gateway's engines, so a release that was
/// acknowledged needs no repeat.
pub(crate) const RELEASE_TIMING: ReleaseTiming =
    ReleaseTiming { retry: ms(200), repeat: ms(500), give_up: Duration::from_secs(30) };
/// How long a connection that was opened for a release may take to connect, and again to get its answer: as
/// long as slow handshakes take. A connection that was already established keeps the release until the release
/// is given up, since it is the first to work again when a link is back.
pub(crate) const RELEASE_EXCHANGE_TIMEOUT: Duration = ms(2_000);

/// Why the gateway does not admit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionError {
    /// The limit of concurrent requests is reached.
    TooManyRequests,
    /// The gateway is shutting down.
    Stopping,
}

/// Checks whether one more request may be admitted.
pub(crate) fn check_admission(
    bounds: &Bounds, active_requests: usize, stopping: bool,
) -> Result<(), AdmissionError> {
    if stopping {
        return Err(AdmissionError::Stopping);
    }
    if active_requests >= bounds.requests {
        return Err(AdmissionError::TooManyRequests);
    }
    Ok(())
}

/// Whether to pause reading from the source of data while `unsent_bytes` wait for the peer. A paused source
/// resumes at half of the limit, so that a peer with a steady rate does not toggle it with each write.
pub(crate) fn should_pause(bounds: &Bounds, unsent_bytes: usize, paused: bool) -> bool {
    if paused {
        unsent_bytes > bounds.unsent / 2
    } else {
        unsent_bytes > bounds.unsent
    }
}

#[cfg(test)]
mod tests;
