//! Probes and load reports: which engines are probed for their load, and the effect of their answers.
//!
//! Decides by the age of the reports of a request's candidates. Reads those ages and which probes are in
//! flight. See docs/design.md, the exceptions "ask first" and "a refused request asks too".

use super::router::Router;
use super::timers::Timer;
use crate::engine_index::two_at_random;
use crate::interface::{Action, EjectionCause, EngineId, LoadReport, Outcome, RequestId};
use std::time::Duration;

/// Age from which a load report is stale, so that the engine is probed again.
pub(super) const STALE_AFTER: Duration = Duration::from_millis(600);
/// Longest wait for the answers to probes, and interval at which a request retries while no engine is usable:
/// a round trip with a new connection.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(30);

impl Router {
    /// Probes the stale engines among the preferred candidates, or among the spill, so that a request is
    /// placed by recent load even if this router rarely sends to these engines. The spill is probed only
    /// once. Returns whether the request has to wait for an answer.
    pub(super) fn probe_candidates(
        &mut self, now: Duration, id: RequestId, spill: bool, actions: &mut Vec<Action>,
    ) -> bool {
        let candidates = self.requests.get_mut(&id).filter(|_| self.settings.limits.probes);
        let candidates = candidates.and_then(|active| active.candidates.as_mut());
        let Some(candidates) =
            candidates.filter(|c| !c.includes_spill && c.preferred.len() + c.spill.len() > 1)
        else {
            return false;
        };
        candidates.includes_spill = spill;
        let engines = if spill { candidates.spill.clone() } else { candidates.preferred.clone() };
        let mut waits = false;
        for engine in engines {
            let Some(record) =
                self.engines.get_mut(&engine).filter(|record| !record.has_fresh_information(now))
            else {
                continue;
            };
            record.requests_awaiting_probe.push(id);
            self.probe(engine, actions);
            waits = true;
        }
        if let Some(active) = self.requests.get_mut(&id).filter(|_| waits) {
            active.waiting_until = Some(now + PROBE_TIMEOUT);
            self.set_timer(Timer::Wait(id), PROBE_TIMEOUT, actions);
        }
        waits
    }

    /// Probes two stale engines. Otherwise a router that rejects all requests would get no more reports and
    /// would go on rejecting.
    pub(super) fn probe_stale_engines(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.refresh_index(now);
        for k in two_at_random(self.engine_index.stale_count(), || self.sample_probability()) {
            self.probe(self.engine_index.nth_stale(k), actions);
        }
    }

    /// Stores a load report, unless it is empty.
    pub(super) fn record_report(&mut self, now: Duration, engine: EngineId, report: LoadReport) {
        let reported = report != LoadReport::default();
        if let Some(record) = self.engines.get_mut(&engine).filter(|_| reported) {
            record.report = Some((now, report));
            record.tokens_sent_since_report = 0.0;
        }
    }

    /// Handles the end of a probe: requests that wait for no other probe take their next step.
    pub(super) fn on_probe_ended(
        &mut self, now: Duration, engine: EngineId, outcome: Outcome, report: LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        record.probe_in_flight = false;
        self.engine_index.mark_changed(engine);
        let requests = std::mem::take(&mut record.requests_awaiting_probe);
        if outcome == Outcome::Completed {
            self.record_contact(now, engine);
            self.record_report(now, engine, report);
        } else if record.is_ejected() {
            self.eject(now, engine, EjectionCause::ProbeUnanswered, actions);
        }
        for id in requests {
            let engines = &self.engines;
            let probe_in_flight =
                |id: &EngineId| engines.get(id).is_some_and(|record| record.probe_in_flight);
            let Some(active) = self.requests.get_mut(&id) else { continue };
            let Some(candidates) =
                active.candidates.as_ref().filter(|c| c.attempt_count == active.attempts.len())
            else {
                continue;
            };
            let spill = candidates.spill.iter().filter(|_| candidates.includes_spill);
            if active.waiting_until.is_some()
                && !candidates.preferred.iter().chain(spill).any(probe_in_flight)
            {
                active.waiting_until = None;
                self.advance(now, id, actions);
            }
        }
    }

    /// Probes an engine, unless a probe of it is in flight or probes are not allowed.
    pub(super) fn probe(&mut self, engine: EngineId, actions: &mut Vec<Action>) {
        let allowed = self.settings.limits.probes;
        if let Some(record) =
            self.engines.get_mut(&engine).filter(|record| allowed && !record.probe_in_flight)
        {
            record.probe_in_flight = true;
            self.engine_index.mark_changed(engine);
            actions.push(Action::Probe(engine));
        }
    }

    /// Records that the answer to an attempt has begun, or that the attempt has ended before that.
    pub(super) fn stop_waiting(&mut self, engine: EngineId, sent_at: Duration, prompt: f64) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        record.attempts_waiting -= 1.0;
        if record.report.as_ref().is_none_or(|(at, _)| sent_at > *at) {
            record.tokens_sent_since_report = (record.tokens_sent_since_report - prompt).max(0.0);
        }
    }
}
