//! Keeps the index of engines up to date with the state of the engines.
//!
//! Makes no decisions: it determines how the saturation of each engine enters the sums. Reads the state of
//! all engines.

use super::engines::EngineRecord;
use super::probes::STALE_AFTER;
use super::router::Router;
use super::saturation::{MEMORY_THRESHOLD, REPORT_LIFETIME};
use crate::engine_index::{EngineStatus, SaturationTerm};
use crate::interface::ReportSource;
use std::time::Duration;

impl Router {
    /// Updates the index after changes of the endpoint list, changes of engines, and expiries.
    pub(super) fn refresh_index(&mut self, now: Duration) {
        if self.engine_index.take_list_change() {
            self.rebuild_index();
        }
        while let Some(id) = self.engine_index.next_outdated(now) {
            if let Some(record) = self.engines.get(&id) {
                let status = self.engine_status(now, record);
                self.engine_index.update(id, status);
            }
        }
    }

    /// What the index needs to know of one engine.
    pub(super) fn engine_status(&self, now: Duration, record: &EngineRecord) -> EngineStatus {
        let report = record.report.as_ref();
        let reported = report.filter(|_| self.settings.report_source != ReportSource::None).map(|(_, r)| r);
        let term = match (self.saturation(now, record).filter(|_| record.is_ready()), reported) {
            (None, _) => SaturationTerm::Unknown,
            // The weight of a request count comes from means over all engines, which change without a report
            // of this engine.
            (Some(_), Some(r)) if r.waiting_tokens.is_none() => {
                let memory = r.memory_share.unwrap_or(0.0) / MEMORY_THRESHOLD;
                let (idle, kind) = (
                    record.in_flight <= 0.0 && record.attempts_waiting <= 0.0,
                    usize::from(r.queued.is_none()),
                );
                match r.queued.or(r.in_flight).unwrap_or(0.0) {
                    count if record.tokens_sent_since_report != 0.0 || kind == 1 && !idle && count != 0.0 => {
                        SaturationTerm::Varying
                    }
                    count if count > 0.0 && memory >= 0.0 => {
                        SaturationTerm::CountWeighted { kind, count, minimum: memory }
                    }
                    _ => SaturationTerm::Fixed(memory.max(0.0)),
                }
            }
            (Some(load), _) => SaturationTerm::Fixed(load),
        };
        let stale = record.is_ready()
            && !record.is_ejected()
            && !record.probe_in_flight
            && !record.has_fresh_information(now);
        let maybe_restricted =
            record.is_passed_over(now) || record.is_ejected() || self.is_warming_up(now, record);
        let stale_at = report.map_or(record.last_contact, |(at, _)| *at) + STALE_AFTER;
        let expires_at = report.map(|(at, _)| *at + REPORT_LIFETIME + Duration::from_nanos(1));
        let refresh_at = [Some(stale_at), expires_at].into_iter().flatten().filter(|&at| at > now).min();
        EngineStatus { role: record.role as usize, term, stale, maybe_restricted, refresh_at }
    }
}
