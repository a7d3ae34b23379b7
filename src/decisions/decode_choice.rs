//! The candidates for decode: power of two choices, near the prefill engine that holds the state.
//!
//! Decides at random between the usable engines. May read the endpoint list and where the state is held. See
//! docs/design.md, "The mechanism", and the exception "near writers".

use super::router::Router;
use crate::engine_index::{split_by_membership, two_at_random, Capability, RemainingPositions};
use crate::interface::{EngineId, RequestId};
use std::time::Duration;

impl Router {
    /// Power of two choices: two writers at random. Exception: moving state far is slow and priced, so a
    /// pair of the reader's cell (else its zone) comes first, others only as spill.
    pub(super) fn writers(&mut self, now: Duration, id: RequestId) -> (Vec<EngineId>, Vec<EngineId>) {
        let (shelf, gone) = self.pool(now, id, Capability::Decode);
        let reader = self.requests.get(&id).and_then(|job| self.engines.get(&job.held?.engine));
        let place = reader.map(|s| (s.entry.cell, s.entry.zone));
        let here = place.map(|(cell, zone)| shelf.in_cell_and_zone(cell, zone)).unwrap_or_default();
        let around = place.map(|(cell, zone)| shelf.in_cell_or_zone(cell, zone)).unwrap_or_default();
        for near in [&here[..], &around] {
            let (missing, beyond) = split_by_membership(near, &gone);
            if missing.len() == near.len() {
                continue;
            }
            let (pair, other) = (
                RemainingPositions::new(near.len(), [&missing, &[]]),
                RemainingPositions::new(shelf.len(), [near, &beyond]),
            );
            let two = two_at_random(pair.len(), || self.chance()).into_iter();
            let pair = two.map(|k| shelf.id(near[pair.nth(k)] as usize)).collect();
            let two = two_at_random(other.len(), || self.chance()).into_iter();
            return (pair, two.map(|k| shelf.id(other.nth(k))).collect());
        }
        let all = RemainingPositions::new(shelf.len(), [&gone, &[]]);
        let two = two_at_random(all.len(), || self.chance()).into_iter();
        (two.map(|k| shelf.id(all.nth(k))).collect(), Vec::new())
    }
}
