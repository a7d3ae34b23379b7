//! New settings while a router runs: a successor that knows all that the first router has learnt, and takes
//! the requests from then on. The first ends what it has taken, by the settings under which it took it.
//!
//! Decides nothing: it copies. See docs/design-policy.md.

use super::requests::ActiveRequest;
use super::router::Router;
use super::timers::Timer;
use crate::interface::{Action, ClassId, Settings};
use std::time::Duration;

/// Where the new settings' entries stood in the old ones; what is new stands nowhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsMapping {
    /// For each new class its old place.
    pub classes: Vec<Option<usize>>,
    /// For each new tenant its old place.
    pub tenants: Vec<Option<usize>>,
}

impl SettingsMapping {
    fn new_class(&self, old: ClassId) -> ClassId {
        let at = self.classes.iter().position(|&place| place == Some(old.0));
        ClassId(at.unwrap_or(0))
    }
}

impl Router {
    /// A router with other settings that knows what this one has learnt: load, pace, slow start budgets,
    /// ejections, pauses by class, and what is left of quotas by tenant. It counts this router's attempts as
    /// in flight, too: it is to be told of their ends as this one is, and the actions that it asks for on
    /// their account are not to be carried out. Timers that it needs are appended to `actions`.
    #[must_use]
    pub fn successor(
        &self, now: Duration, settings: Settings, places: &SettingsMapping, seed: u64,
        actions: &mut Vec<Action>,
    ) -> Router {
        let mut successor = Router::new(settings, seed);
        successor.mean_prompt = self.mean_prompt;
        successor.uncached_share = self.uncached_share;
        successor.means = self.means;
        for (place, quota) in places.tenants.iter().zip(&mut successor.quotas) {
            if let Some(old) = place.and_then(|at| self.quotas.get(at)) {
                *quota = *old;
            }
        }
        successor.engines.clone_from(&self.engines);
        for record in successor.engines.values_mut() {
            let until =
                |place: &Option<usize>| place.and_then(|at| record.passed_over_until.get(at).copied());
            let passed_over_until =
                places.classes.iter().map(|place| until(place).unwrap_or_default()).collect();
            record.passed_over_until = passed_over_until;
            record.requests_awaiting_probe.clear();
        }
        for (&id, active) in self.requests.iter().filter(|(_, j)| j.attempts.iter().any(|a| a.in_flight)) {
            let mut request = active.request.clone();
            request.class = places.new_class(request.class);
            let attempts = active.attempts.clone();
            successor
                .requests
                .insert(id, ActiveRequest { request, attempts, ended: true, ..ActiveRequest::default() });
        }
        successor.engine_index.note_list_change(true);
        let ejected: Vec<_> = successor
            .engines
            .iter()
            .filter_map(|(&id, record)| Some((id, record.ejected?.saturating_sub(now))))
            .collect();
        for (id, left) in ejected {
            successor.set_timer(Timer::EjectionEnd(id), left, actions);
        }
        successor
    }
}
