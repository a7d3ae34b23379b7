//! Prefill affinity: which prefill engines a prompt prefers, so that those which have cached its beginning
//! get it.
//!
//! Decides by rendezvous hashing with weights. May read the endpoint list and the request, never the load:
//! that comes into it in `placement.rs`. See docs/design.md, "The mechanism", and the exceptions "homes by
//! writers" and "own zone".

use super::router::Router;
use crate::engine_index::{Capability, ListedEngine};
use crate::interface::{CellId, Engine, EngineId, RequestId, Role};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bounds of the weight of a prefill engine; no unit. Prefill engines have capacity for a quarter more.
const AFFINITY_WEIGHT_BOUNDS: [f64; 2] = [0.75, 1.25];
/// How much more an engine of the own zone weighs; no unit. Most prompts prefer that zone, not all.
const OWN_ZONE_WEIGHT: f64 = 2.5;

impl Router {
    /// Rendezvous hashing of the shared prefix, else of the session: the first two usable prefill engines are
    /// preferred, in the order of the session; the next two are the spill. With one attempt left only an
    /// engine that does both stages in one will do.
    pub(super) fn prefill_candidates(
        &mut self, now: Duration, id: RequestId, left: usize,
    ) -> (Vec<EngineId>, Vec<EngineId>) {
        let capability = if left >= 2 { Capability::Prefill } else { Capability::PrefillAndDecode };
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

    /// Rebuilds the index from the endpoint list. A prefill engine weighs in proportion to the decode engines
    /// of its cell, in bounds, as state that finds none there is moved to another cell. Exception: one in the
    /// router's own zone weighs more, as any other makes a request cross zones twice. Done when the list
    /// changes, as weights depend on it alone.
    pub(super) fn rebuild_index(&mut self) {
        let mut fleet = [0.0; 2];
        let mut cells: BTreeMap<CellId, [f64; 2]> = BTreeMap::new();
        for record in self.engines.values().filter(|record| record.is_ready()) {
            let parts = match record.role {
                Role::Prefill => [2.0, 0.0],
                Role::Decode => [0.0, 2.0],
                Role::Mixed => [1.0, 1.0],
            };
            for counts in [&mut fleet, cells.entry(record.entry.cell).or_default()] {
                *counts = [counts[0] + parts[0], counts[1] + parts[1]];
            }
        }
        let ratio = |[read, write]: [f64; 2]| write.max(1.0) / read.max(1.0);
        self.engine_index.rebuild(self.engines.iter().map(|(&id, record)| {
            let Engine { cell, zone, .. } = record.entry;
            let (role, ready) = (record.role as usize, record.is_ready());
            let [least, most] = if record.role == Role::Prefill { AFFINITY_WEIGHT_BOUNDS } else { [1.0; 2] };
            let in_cell = cells.get(&cell).copied().unwrap_or_default();
            let zone_weight = if zone == self.settings.zone { OWN_ZONE_WEIGHT } else { 1.0 };
            let weight = zone_weight * (ratio(in_cell) / ratio(fleet)).clamp(least, most);
            let does_both = record.role == Role::Mixed
                || record.role == Role::Decode && self.settings.decode_engines_prefill;
            let capabilities =
                [does_both || record.role == Role::Prefill, does_both, record.role != Role::Prefill];
            ListedEngine { id, role, ready, weight, cell, zone, capabilities }
        }));
    }
}
