//! Probes and load reports: which engines are asked for their load, and what their answers change.
//!
//! Decides by the age of the reports of a request's candidates. May read those ages and who is being probed.
//! See docs/design.md, the exceptions "ask first" and "a refused request asks too".

use super::router::Router;
use super::timers::Timer;
use crate::engine_index::two_at_random;
use crate::interface::{Action, EjectionCause, EngineId, LoadReport, Outcome, RequestId};
use std::time::Duration;

/// Age from which load reports are asked for anew.
pub(super) const RECENT_NEWS_AGE: Duration = Duration::from_millis(600);
/// Longest wait for answers to probes, and for an engine to become usable: a round trip with a new
/// connection.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(30);

impl Router {
    /// Probes the preferred candidates, or those of the spill, whose reports are old: the request is then
    /// placed by recent load though this router rarely sends to an engine. The spill is probed once. Whether
    /// there is an answer to wait for.
    pub(super) fn probe_candidates(
        &mut self, now: Duration, id: RequestId, spill: bool, actions: &mut Vec<Action>,
    ) -> bool {
        let candidates = self.requests.get_mut(&id).filter(|_| self.settings.limits.probes);
        let candidates = candidates.and_then(|j| j.candidates.as_mut());
        let Some(candidates) =
            candidates.filter(|c| !c.includes_spill && c.preferred.len() + c.spill.len() > 1)
        else {
            return false;
        };
        candidates.includes_spill = spill;
        let engines = if spill { candidates.spill.clone() } else { candidates.preferred.clone() };
        let mut waits = false;
        for engine in engines {
            let Some(record) = self.engines.get_mut(&engine).filter(|record| !record.has_recent_news(now))
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

    /// Probes two engines without recent news. A router that rejects all requests would otherwise get no
    /// reports any more, and go on rejecting.
    pub(super) fn probe_stale_engines(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.refresh_index(now);
        for k in two_at_random(self.engine_index.stale_count(), || self.sample_probability()) {
            self.probe(self.engine_index.nth_stale(k), actions);
        }
    }

    /// Takes a load report, unless it is empty.
    pub(super) fn record_report(&mut self, now: Duration, engine: EngineId, report: LoadReport) {
        let reported = report != LoadReport::default();
        if let Some(record) = self.engines.get_mut(&engine).filter(|_| reported) {
            record.report = Some((now, report));
            record.tokens_sent_since_report = 0.0;
        }
    }

    /// A probe has ended: requests that wait for no other one take their next step.
    pub(super) fn on_probed(
        &mut self, now: Duration, engine: EngineId, outcome: Outcome, report: LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        record.probing = false;
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
            let probing = |id: &EngineId| engines.get(id).is_some_and(|record| record.probing);
            let Some(active) = self.requests.get_mut(&id) else { continue };
            let Some(candidates) =
                active.candidates.as_ref().filter(|c| c.attempt_count == active.attempts.len())
            else {
                continue;
            };
            let spill = candidates.spill.iter().filter(|_| candidates.includes_spill);
            if active.waiting_until.is_some() && !candidates.preferred.iter().chain(spill).any(probing) {
                active.waiting_until = None;
                self.advance(now, id, actions);
            }
        }
    }

    /// Probes an engine, unless it is being probed or there are no probes.
    pub(super) fn probe(&mut self, engine: EngineId, actions: &mut Vec<Action>) {
        let allowed = self.settings.limits.probes;
        if let Some(record) = self.engines.get_mut(&engine).filter(|record| allowed && !record.probing) {
            record.probing = true;
            self.engine_index.mark_changed(engine);
            actions.push(Action::Probe(engine));
        }
    }

    /// An attempt has begun to answer, or has ended before that.
    pub(super) fn stop_waiting(&mut self, engine: EngineId, sent: Duration, prompt: f64) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        record.attempts_waiting -= 1.0;
        if record.report.as_ref().is_none_or(|(at, _)| sent > *at) {
            record.tokens_sent_since_report = (record.tokens_sent_since_report - prompt).max(0.0);
        }
    }
}
