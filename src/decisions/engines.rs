//! What a router keeps for each engine and for each role of engines, and the endpoint list that names the engines.
//!
//! Decides when what was learnt of an engine is void: when the list tells another start or another role. Reads the
//! list alone.

use super::probes::FRESH;
use super::release::RETRY_AFTER;
use super::router::Router;
use super::timers::Alarm;
use super::Out;
use crate::interface::{Action, Engine, EngineId, EngineState, Listing, LoadReport, RequestId, Role};
use std::collections::BTreeSet;
use std::time::Duration;

pub(super) const FIRST_PACE: f64 = 0.000_3; // Pace before any was seen, seconds a token. A slow reader's.
pub(super) const MEAN_WEIGHT: f64 = 0.06; // Least weight of a sample in a mean; no unit. About the last seventeen.

#[derive(Clone, Default)]
pub(super) struct Server {
    pub(super) entry: Engine,
    pub(super) role: Role,
    pub(super) report: Option<(Duration, LoadReport)>,
    /// Own prompt tokens sent since the report and still waiting.
    pub(super) since: f64,
    /// Own tokens under way, own attempts out, and how many of these have not begun to answer.
    pub(super) tokens: f64,
    pub(super) out: f64,
    pub(super) waiting: f64,
    pub(super) heard: Duration,
    /// Until when it is left alone, as it could not be connected to.
    pub(super) ejected: Option<Duration>,
    /// When it was last reached again after it could not be.
    pub(super) returned: Option<Duration>,
    pub(super) doublings: u32,
    /// Its own mean pace, seconds a token; 0 until it is known.
    pub(super) pace: f64,
    /// Until when it is passed over for each class, as it was full.
    pub(super) rests: Vec<Duration>,
    /// The bucket of a cold engine, tokens, as of `bucket_at`: above nothing it lets one prompt through.
    pub(super) bucket: f64,
    pub(super) bucket_at: Duration,
    pub(super) probing: bool,
    /// The requests that wait for its answer to a probe.
    pub(super) askers: Vec<RequestId>,
}

impl Server {
    pub(super) fn ready(&self) -> bool {
        self.entry.state == EngineState::Ready
    }

    /// Whether its load was told a moment ago, or its life where it tells no load.
    pub(super) fn fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.report.as_ref().map_or(self.heard, |(at, _)| *at)) < FRESH
    }

    /// Whether it is passed over for any class.
    pub(super) fn rests(&self, now: Duration) -> bool {
        self.rests.iter().any(|&until| now < until)
    }

    pub(super) fn unreachable(&self) -> bool {
        self.ejected.is_some()
    }

    pub(super) fn cold_since(&self, now: Duration) -> Option<Duration> {
        self.unreachable().then_some(now).or(self.entry.started_at.max(self.returned))
    }

    /// What the bucket of a cold engine holds at this rate: no more than lets one prompt through.
    pub(super) fn bucket_level(&self, now: Duration, rate: f64) -> f64 {
        (self.bucket + rate * now.saturating_sub(self.bucket_at).as_secs_f64()).min(1.0)
    }
}

/// Means over the engines of one role, as this router sees them.
#[derive(Clone, Copy, Default)]
pub(super) struct Means {
    /// Latency by length, and its mean deviation, seconds a token.
    pub(super) pace: f64,
    pub(super) deviation: f64,
    /// Time that attempts wait, and that they take as a whole, seconds.
    pub(super) waited: f64,
    pub(super) whole: f64,
    /// Own tokens a second to warm engines, as of `rate_at`; what one bears, a mean that outlives outages.
    pub(super) rate: f64,
    pub(super) rate_at: Duration,
    pub(super) borne: f64,
}

impl Router {
    pub(super) fn on_list(&mut self, now: Duration, listing: Listing, engines: Vec<Engine>, out: Out) {
        if listing == Listing::Failed {
            if self.settings.polls_engine_list {
                let wait = RETRY_AFTER.mul_f64(0.5 + self.chance());
                self.alarm(Alarm::List, wait, out);
            }
            return;
        }
        // A router comes up with the list that it last held.
        if listing == Listing::Cached && self.settings.polls_engine_list {
            out.push(Action::WatchEngines(true));
        }
        if listing != Listing::Changes {
            let named: BTreeSet<EngineId> = engines.iter().map(|e| e.id).collect();
            let before = self.servers.len();
            self.servers.retain(|id, _| named.contains(id));
            self.engine_index.note_list_change(self.servers.len() != before);
        }
        for entry in engines {
            if entry.state == EngineState::Gone {
                self.engine_index.note_list_change(self.servers.remove(&entry.id).is_some());
                continue;
            }
            let Some(&role) = self.settings.kind_roles.get(entry.kind.0) else { continue };
            let (heard, bucket, bucket_at) = (now, 1.0, now);
            let fresh =
                || Server { entry: entry.clone(), role, heard, bucket, bucket_at, ..Server::default() };
            let place = |s: &Server| (s.role as usize, s.entry.state, s.entry.zone, s.entry.cell);
            let before = self.servers.get(&entry.id).map(place);
            let server = self.servers.entry(entry.id).or_insert_with(fresh);
            if (server.entry.started_at, server.role) != (entry.started_at, role) {
                // A restart, told or not: what was known of the engine is void, what is out there is not.
                let Server { tokens, out, waiting, .. } = *server;
                *server = Server { tokens, out, waiting, ..fresh() };
            }
            self.engine_index.mark_changed(entry.id);
            server.entry = entry;
            self.engine_index.note_list_change(before != Some(place(server)));
        }
    }
}
