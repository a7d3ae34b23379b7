//! New settings while a router runs: a successor starts with all that the old router has learnt and takes new
//! requests. The old router finishes the requests that it has, by its own settings.
//!
//! Makes no decisions, but copies state. See docs/design-policy.md.

use super::requests::ActiveRequest;
use super::router::Router;
use super::timers::Timer;
use crate::interface::{Action, ClassId, Settings};
use std::time::Duration;

/// Maps entries of the new settings to those of the old ones; `None` for entries that are new.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsMapping {
    /// For each new class its old index.
    pub classes: Vec<Option<usize>>,
    /// For each new tenant its old index.
    pub tenants: Vec<Option<usize>>,
}

impl SettingsMapping {
    fn new_class(&self, old: ClassId) -> ClassId {
        let at = self.classes.iter().position(|&old_index| old_index == Some(old.0));
        ClassId(at.unwrap_or(0))
    }
}

impl Router {
    /// A router with other settings that knows what this one has learnt: load, pace, slow start budgets,
    /// ejections, pauses by class, and what is left of quotas by tenant. It also counts this router's
    /// attempts as in flight: the host has to pass their ends to both routers, and must not carry out the
    /// actions that the successor returns for them. Timers that the successor needs are appended to
    /// `actions`.
    #[must_use]
    pub fn successor(
        &self, now: Duration, settings: Settings, mapping: &SettingsMapping, seed: u64,
        actions: &mut Vec<Action>,
    ) -> Router {
        let mut successor = Router::new(settings, seed);
        successor.mean_prompt = self.mean_prompt;
        successor.uncached_share = self.uncached_share;
        successor.means = self.means;
        for (old_index, quota) in mapping.tenants.iter().zip(&mut successor.quotas) {
            if let Some(old) = old_index.and_then(|at| self.quotas.get(at)) {
                *quota = *old;
            }
        }
        successor.engines.clone_from(&self.engines);
        for record in successor.engines.values_mut() {
            let until = |old_index: &Option<usize>| {
                old_index.and_then(|at| record.passed_over_until.get(at).copied())
            };
            let passed_over_until =
                mapping.classes.iter().map(|old_index| until(old_index).unwrap_or_default()).collect();
            record.passed_over_until = passed_over_until;
            record.requests_awaiting_probe.clear();
        }
        for (&id, active) in
            self.requests.iter().filter(|(_, active)| active.attempts.iter().any(|a| a.in_flight))
        {
            let mut request = active.request.clone();
            request.class = mapping.new_class(request.class);
            let attempts = active.attempts.clone();
            successor
                .requests
                .insert(id, ActiveRequest { request, attempts, ended: true, ..ActiveRequest::default() });
        }
        successor.engine_index.note_list_change(true);
        let ejected: Vec<_> = successor
            .engines
            .iter()
            .filter_map(|(&id, record)| Some((id, record.ejected_until?.saturating_sub(now))))
            .collect();
        for (id, left) in ejected {
            successor.set_timer(Timer::EjectionEnd(id), left, actions);
        }
        successor
    }
}
