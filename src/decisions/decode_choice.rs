//! The candidates for a decode: power of two choices, near the prefill engine that holds the state.
//!
//! Decides at random among the usable engines. Reads the endpoint list and where the state is held. See
//! docs/design.md, "The mechanism", and the exception "near writers".

use super::router::Router;
use crate::engine_index::{split_by_membership, two_at_random, Capability, RemainingPositions};
use crate::interface::{EngineId, RequestId};
use std::time::Duration;

impl Router {
    /// Power of two choices: two random decode engines. Exception: moving state to another cell is slow and
    /// charged, so that two engines of the prefill engine's cell (else of its zone) are preferred, and two
    /// others are the spill.
    pub(super) fn decode_candidates(
        &mut self, now: Duration, id: RequestId,
    ) -> (Vec<EngineId>, Vec<EngineId>) {
        let (candidates, excluded) = self.eligible_engines(now, id, Capability::Decode);
        let prefill_engine = self.requests.get(&id).and_then(|active| self.engines.get(&active.held?.engine));
        let location = prefill_engine.map(|record| (record.entry.cell, record.entry.zone));
        let same_cell =
            location.map(|(cell, zone)| candidates.in_cell_and_zone(cell, zone)).unwrap_or_default();
        let same_zone =
            location.map(|(cell, zone)| candidates.in_cell_or_zone(cell, zone)).unwrap_or_default();
        for near in [&same_cell[..], &same_zone] {
            let (excluded_near, excluded_elsewhere) = split_by_membership(near, &excluded);
            if excluded_near.len() == near.len() {
                continue;
            }
            let (near_remaining, others_remaining) = (
                RemainingPositions::new(near.len(), [&excluded_near, &[]]),
                RemainingPositions::new(candidates.len(), [near, &excluded_elsewhere]),
            );
            let two = two_at_random(near_remaining.len(), || self.sample_probability()).into_iter();
            let pair = two.map(|k| candidates.id(near[near_remaining.nth(k)] as usize)).collect();
            let two = two_at_random(others_remaining.len(), || self.sample_probability()).into_iter();
            return (pair, two.map(|k| candidates.id(others_remaining.nth(k))).collect());
        }
        let all = RemainingPositions::new(candidates.len(), [&excluded, &[]]);
        let two = two_at_random(all.len(), || self.sample_probability()).into_iter();
        (two.map(|k| candidates.id(all.nth(k))).collect(), Vec::new())
    }
}
