//! Keeps the index of engines up to date with what this router knows of them.
//!
//! Decides nothing: it sorts engines by how their saturation enters the sums. May read the state of each engine.

use super::engines::EngineRecord;
use super::probes::FRESH;
use super::router::Router;
use super::saturation::{MEMORY_THRESHOLD, REPORT_LIFE};
use crate::engine_index::{EngineStatus, SaturationTerm};
use crate::interface::ReportSource;
use std::time::Duration;

impl Router {
    /// Brings the bookkeeping up to date: lists, what has happened to engines, what has run out.
    pub(super) fn settle(&mut self, now: Duration) {
        if self.engine_index.take_list_change() {
            self.shelve();
        }
        while let Some(id) = self.engine_index.next_outdated(now) {
            if let Some(server) = self.engines.get(&id) {
                let standing = self.standing(now, server);
                self.engine_index.update(id, standing);
            }
        }
    }

    pub(super) fn standing(&self, now: Duration, server: &EngineRecord) -> EngineStatus {
        let report = server.report.as_ref();
        let told = report.filter(|_| self.settings.report_source != ReportSource::None).map(|(_, r)| r);
        let counted = match (self.load(now, server).filter(|_| server.ready()), told) {
            (None, _) => SaturationTerm::Unknown,
            // Counts of requests weigh by means over all engines, which move without news of any.
            (Some(_), Some(r)) if r.waiting_tokens.is_none() => {
                let least = r.memory_share.unwrap_or(0.0) / MEMORY_THRESHOLD;
                let (idle, kind) = (
                    server.in_flight <= 0.0 && server.attempts_waiting <= 0.0,
                    usize::from(r.queued.is_none()),
                );
                match r.queued.or(r.in_flight).unwrap_or(0.0) {
                    count if server.tokens_sent_since_report != 0.0 || kind == 1 && !idle && count != 0.0 => {
                        SaturationTerm::Varying
                    }
                    count if count > 0.0 && least >= 0.0 => {
                        SaturationTerm::CountWeighted { kind, count, minimum: least }
                    }
                    _ => SaturationTerm::Fixed(least.max(0.0)),
                }
            }
            (Some(load), _) => SaturationTerm::Fixed(load),
        };
        let old = server.ready() && !server.unreachable() && !server.probing && !server.fresh(now);
        let odd = server.is_passed_over(now) || server.unreachable() || self.is_cold(now, server);
        let stale = report.map_or(server.last_heard, |(at, _)| *at) + FRESH;
        let dead = report.map(|(at, _)| *at + REPORT_LIFE + Duration::from_nanos(1));
        let due = [Some(stale), dead].into_iter().flatten().filter(|&at| at > now).min();
        EngineStatus { role: server.role as usize, term: counted, stale: old, maybe_restricted: odd, due }
    }
}
