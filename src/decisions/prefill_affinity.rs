//! Prefill affinity: which prefill engines a prompt prefers, so that it goes to engines that have cached its
//! prefix.
//!
//! Decides by weighted rendezvous hashing. Reads the endpoint list and the request, but not the load, which
//! `placement.rs` takes into account. See docs/design.md, "The mechanism", and the exceptions "homes by
//! writers" and "own zone".

use super::router::Router;
use crate::engine_index::{Capability, ListedEngine};
use crate::interface::{CellId, Engine, EngineId, RequestId, Role};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bounds of the weight of a prefill engine; no unit. Prefill engines have a quarter of capacity in reserve.
const AFFINITY_WEIGHT_BOUNDS: [f64; 2] = [0.75, 1.25];
/// Factor on the weight of an engine in the router's own zone; no unit. Most prompts prefer that zone, not
/// all.
const OWN_ZONE_WEIGHT: f64 = 2.5;

impl Router {
    /// Rendezvous hashing of the shared prefix, else of the session: the first two usable prefill engines are
    /// preferred, in the order given by the session, and the next two are the spill. With only one attempt
    /// left, the engine has to do both stages in one attempt.
    pub(super) fn prefill_candidates(
        &mut self, now: Duration, id: RequestId, attempts_left: usize,
    ) -> (Vec<EngineId>, Vec<EngineId>) {
        let capability = if attempts_left >= 2 { Capability::Prefill } else { Capability::PrefillAndDecode };
        let (_, excluded) = self.eligible_engines(now, id, capability);
        let Some(active) = self.requests.get(&id) else { return Default::default() };
        let session = active.request.session;
        let key = active.request.shared_prefix.unwrap_or(session);
        let hash = |id: EngineId, key| xxh3_64_with_seed(&id.0.to_le_bytes(), key);
        let mut preferred =
            self.engine_index.top_ranked(capability, key, 4, &excluded, |id| hash(id, key) >> 11);
        let spill = preferred.split_off(preferred.len().min(2));
        preferred.sort_by_key(|&id| hash(id, session));
        (preferred, spill)
    }

    /// Rebuilds the index from the endpoint list. The weight of a prefill engine is proportional to the share
    /// of decode engines in its cell, within bounds, as state that finds none there has to be moved to
    /// another cell. Exception: an engine in the router's own zone has a larger weight, as with any other a
    /// request crosses zones twice. This is done only when the list changes, as weights depend on nothing
    /// else.
    pub(super) fn rebuild_index(&mut self) {
        let mut fleet = [0.0; 2];
        let mut cells: BTreeMap<CellId, [f64; 2]> = BTreeMap::new();
        for record in self.engines.values().filter(|record| record.is_ready()) {
            let shares = match record.role {
                Role::Prefill => [2.0, 0.0],
                Role::Decode => [0.0, 2.0],
                Role::Mixed => [1.0, 1.0],
            };
            for counts in [&mut fleet, cells.entry(record.entry.cell).or_default()] {
                *counts = [counts[0] + shares[0], counts[1] + shares[1]];
            }
        }
        let ratio = |[prefill, decode]: [f64; 2]| decode.max(1.0) / prefill.max(1.0);
        self.engine_index.rebuild(self.engines.iter().map(|(&id, record)| {
            let Engine { cell, zone, .. } = record.entry;
            let (role, ready) = (record.role as usize, record.is_ready());
            let [min_weight, max_weight] =
                if record.role == Role::Prefill { AFFINITY_WEIGHT_BOUNDS } else { [1.0; 2] };
            let in_cell = cells.get(&cell).copied().unwrap_or_default();
            let zone_weight = if zone == self.settings.zone { OWN_ZONE_WEIGHT } else { 1.0 };
            let weight = zone_weight * (ratio(in_cell) / ratio(fleet)).clamp(min_weight, max_weight);
            let does_both = record.role == Role::Mixed
                || record.role == Role::Decode && self.settings.decode_engines_prefill;
            let capabilities =
                [does_both || record.role == Role::Prefill, does_both, record.role != Role::Prefill];
            ListedEngine { id, role, ready, weight, cell, zone, capabilities }
        }));
    }
}
