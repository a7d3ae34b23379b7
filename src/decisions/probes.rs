//! Probes and load reports: which engines are asked for their load, and what their answers change.
//!
//! Decides by the age of the reports of a request's candidates. May read those ages and who is being probed. See
//! docs/design.md, the exceptions "ask first" and "a refused request asks too".

use super::router::Router;
use super::timers::Alarm;
use super::Out;
use crate::engine_index::two_at_random;
use crate::interface::{Action, EngineId, LoadReport, Outcome, RequestId};
use std::time::Duration;

pub(super) const FRESH: Duration = Duration::from_millis(600); // Age from which reports are asked for anew.
/// Longest wait for the engines asked, and for one to become usable. A round trip with a new connection.
pub(super) const ASK_WAIT: Duration = Duration::from_millis(30);

impl Router {
    /// Asks those near or far of its choice whose reports are old, so that it goes by fresh load though this
    /// router rarely meets an engine; the far ones once. Whether there is one to wait for.
    pub(super) fn ask(&mut self, now: Duration, id: RequestId, far: bool, out: Out) -> bool {
        let choice = self.jobs.get_mut(&id).filter(|_| self.settings.limits.probes);
        let choice = choice.and_then(|j| j.choice.as_mut());
        let Some(choice) = choice.filter(|c| !c.wide && c.near.len() + c.far.len() > 1) else { return false };
        choice.wide = far;
        let pool = if far { choice.far.clone() } else { choice.near.clone() };
        let mut waits = false;
        for engine in pool {
            let Some(server) = self.servers.get_mut(&engine).filter(|s| !s.fresh(now)) else { continue };
            server.askers.push(id);
            self.probe(engine, out);
            waits = true;
        }
        if let Some(job) = self.jobs.get_mut(&id).filter(|_| waits) {
            job.parked = Some(now + ASK_WAIT);
            self.alarm(Alarm::Parked(id), ASK_WAIT, out);
        }
        waits
    }

    /// A refused request asks too, as a router that refuses all would hear nothing any more.
    pub(super) fn ask_anyone(&mut self, now: Duration, out: Out) {
        self.settle(now);
        for k in two_at_random(self.engine_index.stale_count(), || self.chance()) {
            self.probe(self.engine_index.nth_stale(k), out);
        }
    }

    pub(super) fn take_report(&mut self, now: Duration, engine: EngineId, report: LoadReport) {
        let told = report != LoadReport::default();
        if let Some(server) = self.servers.get_mut(&engine).filter(|_| told) {
            server.report = Some((now, report));
            server.since = 0.0;
        }
    }

    pub(super) fn on_probed(
        &mut self, now: Duration, engine: EngineId, outcome: Outcome, report: LoadReport, out: Out,
    ) {
        let Some(server) = self.servers.get_mut(&engine) else { return };
        server.probing = false;
        self.engine_index.mark_changed(engine);
        let askers = std::mem::take(&mut server.askers);
        if outcome == Outcome::Completed {
            self.reached(now, engine);
            self.take_report(now, engine, report);
        } else if server.unreachable() {
            self.eject(now, engine, "no answer to a probe", out);
        }
        for id in askers {
            let servers = &self.servers;
            let probing = |id: &EngineId| servers.get(id).is_some_and(|s| s.probing);
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let Some(choice) = job.choice.as_ref().filter(|c| c.step == job.attempts.len()) else { continue };
            let far = choice.far.iter().filter(|_| choice.wide);
            if job.parked.is_some() && !choice.near.iter().chain(far).any(probing) {
                job.parked = None;
                self.advance(now, id, out);
            }
        }
    }

    pub(super) fn probe(&mut self, engine: EngineId, out: Out) {
        let allowed = self.settings.limits.probes;
        if let Some(server) = self.servers.get_mut(&engine).filter(|s| allowed && !s.probing) {
            server.probing = true;
            self.engine_index.mark_changed(engine);
            out.push(Action::Probe(engine));
        }
    }

    pub(super) fn stop_waiting(&mut self, engine: EngineId, sent: Duration, prompt: f64) {
        let Some(server) = self.servers.get_mut(&engine) else { return };
        server.waiting -= 1.0;
        if server.report.as_ref().is_none_or(|(at, _)| sent > *at) {
            server.since = (server.since - prompt).max(0.0);
        }
    }
}
