//! Probes and load reports: which engines are asked for their load, and what their answers change.
//!
//! Decides by the age of the reports of a request's candidates. May read those ages and who is being probed. See
//! docs/design.md, the exceptions "ask first" and "a refused request asks too".

use super::router::Router;
use super::timers::Timer;
use crate::engine_index::two_at_random;
use crate::interface::{Action, EngineId, LoadReport, Outcome, RequestId};
use std::time::Duration;

pub(super) const FRESH: Duration = Duration::from_millis(600); // Age from which reports are asked for anew.
/// Longest wait for the engines asked, and for one to become usable. A round trip with a new connection.
pub(super) const ASK_WAIT: Duration = Duration::from_millis(30);

impl Router {
    /// Asks those near or far of its choice whose reports are old, so that it goes by fresh load though this
    /// router rarely meets an engine; the far ones once. Whether there is one to wait for.
    pub(super) fn ask(&mut self, now: Duration, id: RequestId, far: bool, actions: &mut Vec<Action>) -> bool {
        let choice = self.requests.get_mut(&id).filter(|_| self.settings.limits.probes);
        let choice = choice.and_then(|j| j.candidates.as_mut());
        let Some(choice) = choice.filter(|c| !c.includes_spill && c.preferred.len() + c.spill.len() > 1)
        else {
            return false;
        };
        choice.includes_spill = far;
        let pool = if far { choice.spill.clone() } else { choice.preferred.clone() };
        let mut waits = false;
        for engine in pool {
            let Some(server) = self.engines.get_mut(&engine).filter(|s| !s.fresh(now)) else { continue };
            server.requests_awaiting_probe.push(id);
            self.probe(engine, actions);
            waits = true;
        }
        if let Some(job) = self.requests.get_mut(&id).filter(|_| waits) {
            job.waiting_until = Some(now + ASK_WAIT);
            self.set_timer(Timer::Wait(id), ASK_WAIT, actions);
        }
        waits
    }

    /// A refused request asks too, as a router that refuses all would hear nothing any more.
    pub(super) fn ask_anyone(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.settle(now);
        for k in two_at_random(self.engine_index.stale_count(), || self.chance()) {
            self.probe(self.engine_index.nth_stale(k), actions);
        }
    }

    pub(super) fn take_report(&mut self, now: Duration, engine: EngineId, report: LoadReport) {
        let told = report != LoadReport::default();
        if let Some(server) = self.engines.get_mut(&engine).filter(|_| told) {
            server.report = Some((now, report));
            server.tokens_sent_since_report = 0.0;
        }
    }

    pub(super) fn on_probed(
        &mut self, now: Duration, engine: EngineId, outcome: Outcome, report: LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(server) = self.engines.get_mut(&engine) else { return };
        server.probing = false;
        self.engine_index.mark_changed(engine);
        let askers = std::mem::take(&mut server.requests_awaiting_probe);
        if outcome == Outcome::Completed {
            self.reached(now, engine);
            self.take_report(now, engine, report);
        } else if server.unreachable() {
            self.eject(now, engine, "no answer to a probe", actions);
        }
        for id in askers {
            let servers = &self.engines;
            let probing = |id: &EngineId| servers.get(id).is_some_and(|s| s.probing);
            let Some(job) = self.requests.get_mut(&id) else { continue };
            let Some(choice) = job.candidates.as_ref().filter(|c| c.attempt_count == job.attempts.len())
            else {
                continue;
            };
            let far = choice.spill.iter().filter(|_| choice.includes_spill);
            if job.waiting_until.is_some() && !choice.preferred.iter().chain(far).any(probing) {
                job.waiting_until = None;
                self.advance(now, id, actions);
            }
        }
    }

    pub(super) fn probe(&mut self, engine: EngineId, actions: &mut Vec<Action>) {
        let allowed = self.settings.limits.probes;
        if let Some(server) = self.engines.get_mut(&engine).filter(|s| allowed && !s.probing) {
            server.probing = true;
            self.engine_index.mark_changed(engine);
            actions.push(Action::Probe(engine));
        }
    }

    pub(super) fn stop_waiting(&mut self, engine: EngineId, sent: Duration, prompt: f64) {
        let Some(server) = self.engines.get_mut(&engine) else { return };
        server.attempts_waiting -= 1.0;
        if server.report.as_ref().is_none_or(|(at, _)| sent > *at) {
            server.tokens_sent_since_report = (server.tokens_sent_since_report - prompt).max(0.0);
        }
    }
}
