//! The ready engines that have one capability, by position, cell and zone.

use crate::interface::{CellId, EngineId, ZoneId};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// Engines in the order of their ids, with their weights for rendezvous hashing, cells and zones. A
/// *position* is an index into that order.
#[derive(Clone, Debug, Default)]
pub(crate) struct CandidateIndex {
    ids: Vec<EngineId>,
    weights: Vec<f64>,
    max_weight: f64,
    zones: Vec<ZoneId>,
    by_cell: BTreeMap<CellId, Vec<u32>>,
    by_zone: BTreeMap<ZoneId, Vec<u32>>,
}

impl CandidateIndex {
    /// Adds an engine, whose id has to be above those added before.
    pub(crate) fn push(&mut self, id: EngineId, weight: f64, cell: CellId, zone: ZoneId) {
        let position = self.ids.len() as u32;
        self.ids.push(id);
        self.weights.push(weight);
        self.max_weight = self.max_weight.max(weight);
        self.zones.push(zone);
        self.by_cell.entry(cell).or_default().push(position);
        self.by_zone.entry(zone).or_default().push(position);
    }

    /// How many engines there are.
    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    /// The engine at a position, which has to exist.
    pub(crate) fn id(&self, position: usize) -> EngineId {
        self.ids[position]
    }

    /// The positions of the `n` smallest scores -ln(hash / 2^53) / weight, ties in order of position, without
    /// the ascending positions `excluded`. `hash` returns 53 bits. As -ln(h) is at least 1 - h, nearly all
    /// engines are skipped without computing a logarithm.
    pub(crate) fn top_ranked(&self, n: usize, excluded: &[u32], hash: impl Fn(EngineId) -> u64) -> Vec<u32> {
        const HASH_RANGE: f64 = (1u64 << 53) as f64;
        let mut first: Vec<(f64, u32)> = Vec::with_capacity(n + 1);
        let mut min_bits = 0;
        for (position, &id) in self.ids.iter().enumerate() {
            let bits = hash(id);
            if bits < min_bits || excluded.binary_search(&(position as u32)).is_ok() {
                continue;
            }
            let score = -(bits as f64 / HASH_RANGE).ln() / self.weights[position];
            let place = first.partition_point(|(other, _)| *other <= score);
            first.insert(place, (score, position as u32));
            first.truncate(n);
            if first.len() == n {
                // Slightly below the exact bound, to allow for rounding.
                min_bits =
                    ((1.0 - first[n - 1].0 * self.max_weight * 1.000_001).max(0.0) * HASH_RANGE) as u64;
            }
        }
        first.into_iter().map(|(_, position)| position).collect()
    }

    /// The position of an engine, if it is a candidate.
    pub(crate) fn position(&self, id: EngineId) -> Option<u32> {
        self.ids.binary_search(&id).ok().map(|position| position as u32)
    }

    /// Whether any candidate is in a cell.
    pub(crate) fn has_cell(&self, cell: CellId) -> bool {
        self.by_cell.contains_key(&cell)
    }

    /// The ascending positions of the engines that are in both this cell and this zone.
    pub(crate) fn in_cell_and_zone(&self, cell: CellId, zone: ZoneId) -> Vec<u32> {
        let in_cell = self.by_cell.get(&cell).into_iter().flatten().copied();
        in_cell.filter(|&position| self.zones[position as usize] == zone).collect()
    }

    /// The ascending positions of the engines that are in this cell or in this zone.
    pub(crate) fn in_cell_or_zone(&self, cell: CellId, zone: ZoneId) -> Cow<'_, [u32]> {
        let in_zone = self.by_zone.get(&zone).map_or(&[][..], Vec::as_slice);
        let in_cell = self.by_cell.get(&cell).into_iter().flatten().copied();
        let in_cell_only: Vec<u32> =
            in_cell.filter(|&position| self.zones[position as usize] != zone).collect();
        if in_cell_only.is_empty() {
            return in_zone.into();
        }
        // The cell spans several zones.
        let mut all: Vec<u32> = in_zone.iter().copied().chain(in_cell_only).collect();
        all.sort_unstable();
        all.into()
    }
}

#[cfg(test)]
mod tests;
