//! An index of the engines, so that no decision scans the whole list: engines by what they can do, by cell and by zone;
//! sums of their saturation that are updated engine by engine; and when what is known of an engine runs out.
//!
//! Nothing here decides: each structure answers what a scan over all engines in the order of their ids would, and the
//! tests compare it with that scan.

mod candidates;
mod due_times;
mod marks;
mod mean;
mod positions;
mod sums;

pub(crate) use candidates::CandidateIndex;
pub(crate) use mean::RunningMean;
pub(crate) use positions::{split_by_membership, two_at_random, RemainingPositions};

use crate::interface::{CellId, EngineId, ZoneId};
use due_times::DueTimes;
use marks::MarkedPositions;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use sums::{ExactSum, SumOfMaxima};

/// Positions that are cached for a key: enough that some of them are usable nearly always.
const CACHED_POSITIONS: usize = 12;

/// Changed engines beyond twice the size of the list before duplicates are removed.
const CHANGED_MARGIN: usize = 64;

/// Keys for which positions are cached at most, half a megabyte; when it is reached the cache is cleared.
const MAX_CACHED_KEYS: usize = 4_096;

/// How the saturation of an engine enters the sums of its role.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum SaturationTerm {
    /// Not at all.
    #[default]
    Unknown,
    /// With this value until there is news of the engine.
    Fixed(f64),
    /// With the larger of `count` times the weight of a request, which changes, and `minimum`.
    CountWeighted {
        /// Which kind of count, 0 or 1; each has a weight of its own.
        kind: usize,
        /// Requests that the engine reports.
        count: f64,
        /// Saturation of its memory.
        minimum: f64,
    },
    /// It changes without news of the engine and is worked out for each query.
    Varying,
}

/// What an engine has to be capable of to be a candidate for an attempt.
#[derive(Clone, Copy)]
pub(crate) enum Capability {
    /// It can prefill.
    Prefill,
    /// It can prefill and decode in one attempt.
    PrefillAndDecode,
    /// It can decode.
    Decode,
}

/// One entry of the endpoint list, as the index needs it.
pub(crate) struct ListedEngine {
    pub(crate) id: EngineId,
    /// [`Role`](crate::Role) as a number.
    pub(crate) role: usize,
    pub(crate) ready: bool,
    /// Weight in rendezvous hashing; no unit.
    pub(crate) weight: f64,
    pub(crate) cell: CellId,
    pub(crate) zone: ZoneId,
    /// Whether it has each [`Capability`]; counts only if it is ready.
    pub(crate) capabilities: [bool; 3],
}

/// What the router knows of one engine at present, as the index needs it.
pub(crate) struct EngineStatus {
    pub(crate) role: usize,
    pub(crate) term: SaturationTerm,
    /// There is no recent news of it, so that asking for its load is of use.
    pub(crate) stale: bool,
    /// It is ejected, warming up or passed over for some class.
    pub(crate) maybe_restricted: bool,
    /// When any of this changes by time alone.
    pub(crate) due: Option<Duration>,
}

/// The index. Whoever changes an engine or the list reports it here. Before a query, every engine that
/// [`next_outdated`](Self::next_outdated) gives has to be updated.
#[derive(Default)]
pub(crate) struct EngineIndex {
    candidates: [Arc<CandidateIndex>; 3],
    /// By capability and key: the positions of the first few, so that a key seen before costs no scan.
    ranked_cache: [HashMap<u64, Vec<u32>>; 3],
    engine_ids: Vec<EngineId>,
    /// The role and term with which each engine is in the sums.
    terms: Vec<(usize, SaturationTerm)>,
    ready: [usize; 3],
    sums: [ExactSum; 3],
    count_weighted: [[SumOfMaxima; 2]; 3],
    varying: [BTreeSet<EngineId>; 3],
    /// Engines that may be ejected, warming up or passed over: a few more than are.
    pub(crate) maybe_restricted: BTreeSet<EngineId>,
    stale: MarkedPositions,
    due_times: DueTimes,
    /// Engines that changed since they were last updated.
    changed: Vec<EngineId>,
    list_changed: bool,
}

impl EngineIndex {
    /// Reports that something of an engine has changed.
    pub(crate) fn mark_changed(&mut self, id: EngineId) {
        self.changed.push(id);
        // An idle router is probed for days without a query: duplicates are removed so that this stays bounded.
        if self.changed.len() > 2 * self.engine_ids.len() + CHANGED_MARGIN {
            self.changed.sort_unstable();
            self.changed.dedup();
        }
    }

    /// Reports whether the list has changed.
    pub(crate) fn note_list_change(&mut self, list_changed: bool) {
        self.list_changed |= list_changed;
    }

    /// Whether the list has changed since the last call, so that the index has to be rebuilt.
    pub(crate) fn take_list_change(&mut self) -> bool {
        std::mem::take(&mut self.list_changed)
    }

    /// Rebuilds the index from all engines in the order of their ids. Each has to be updated afterwards.
    pub(crate) fn rebuild(&mut self, all: impl Iterator<Item = ListedEngine>) {
        let mut candidates: [CandidateIndex; 3] = Default::default();
        (self.engine_ids, self.ready) = Default::default();
        (self.sums, self.varying, self.due_times) = Default::default();
        self.count_weighted = Default::default();
        for engine in all {
            self.engine_ids.push(engine.id);
            self.ready[engine.role] += usize::from(engine.ready);
            for (index, capable) in candidates.iter_mut().zip(engine.capabilities) {
                if engine.ready && capable {
                    index.push(engine.id, engine.weight, engine.cell, engine.zone);
                }
            }
        }
        self.candidates = candidates.map(Arc::new);
        self.ranked_cache = Default::default();
        self.terms = vec![Default::default(); self.engine_ids.len()];
        self.stale = MarkedPositions::new(self.engine_ids.len());
        self.changed.clone_from(&self.engine_ids);
    }

    /// An engine that has to be updated by now.
    pub(crate) fn next_outdated(&mut self, now: Duration) -> Option<EngineId> {
        self.due_times.pop(now).or_else(|| self.changed.pop())
    }

    /// Replaces what the index holds of one engine.
    pub(crate) fn update(&mut self, id: EngineId, status: EngineStatus) {
        let Ok(at) = self.engine_ids.binary_search(&id) else { return };
        let EngineStatus { role, term, stale, maybe_restricted, due } = status;
        let (role_before, term_before) = std::mem::replace(&mut self.terms[at], (role, term));
        self.remove_term(id, role_before, term_before);
        self.add_term(id, role, term);
        if maybe_restricted {
            self.maybe_restricted.insert(id);
        }
        self.stale.put(at, stale);
        self.due_times.set(id, due);
    }

    fn remove_term(&mut self, id: EngineId, role: usize, term: SaturationTerm) {
        match term {
            SaturationTerm::Fixed(load) => self.sums[role].subtract(load),
            SaturationTerm::CountWeighted { kind, count, minimum } => {
                self.count_weighted[role][kind].subtract(id, count, minimum);
            }
            SaturationTerm::Varying => {
                self.varying[role].remove(&id);
            }
            SaturationTerm::Unknown => {}
        }
    }

    fn add_term(&mut self, id: EngineId, role: usize, term: SaturationTerm) {
        match term {
            SaturationTerm::Fixed(load) => self.sums[role].add(load),
            SaturationTerm::CountWeighted { kind, count, minimum } => {
                self.count_weighted[role][kind].add(id, count, minimum);
            }
            SaturationTerm::Varying => {
                self.varying[role].insert(id);
            }
            SaturationTerm::Unknown => {}
        }
    }

    /// The ready engines with a capability.
    pub(crate) fn candidates(&self, capability: Capability) -> Arc<CandidateIndex> {
        self.candidates[capability as usize].clone()
    }

    /// The first `n` engines with a capability for this key (see [`CandidateIndex::top_ranked`]), without those at the
    /// ascending positions `excluded`.
    pub(crate) fn top_ranked(
        &mut self, capability: Capability, key: u64, n: usize, excluded: &[u32],
        hash: impl Fn(EngineId) -> u64,
    ) -> Vec<EngineId> {
        let candidates = &self.candidates[capability as usize];
        let cache = &mut self.ranked_cache[capability as usize];
        let ids = |positions: Vec<u32>| positions.into_iter().map(|at| candidates.id(at as usize)).collect();
        if candidates.len() <= CACHED_POSITIONS {
            return ids(candidates.top_ranked(n, excluded, hash));
        }
        if cache.len() >= MAX_CACHED_KEYS {
            cache.clear();
        }
        let cached = cache.entry(key).or_insert_with(|| candidates.top_ranked(CACHED_POSITIONS, &[], &hash));
        let usable = cached.iter().copied().filter(|at| excluded.binary_search(at).is_err());
        let usable: Vec<u32> = usable.take(n).collect();
        if usable.len() == n {
            return ids(usable);
        }
        ids(candidates.top_ranked(n, excluded, hash))
    }

    /// Whether there is a ready decode engine in a cell.
    pub(crate) fn has_decode_engine(&self, cell: CellId) -> bool {
        self.candidates[Capability::Decode as usize].has_cell(cell)
    }

    /// How many of a role are ready.
    pub(crate) fn ready_count(&self, role: usize) -> usize {
        self.ready[role]
    }

    /// The sum of saturations over the engines of a role whose term the index holds, at these weights of the two kinds
    /// of counts; how many engines that are; and those that have to be worked out one by one.
    pub(crate) fn saturation_sums(
        &self, role: usize, weights: [f64; 2],
    ) -> (f64, usize, &BTreeSet<EngineId>) {
        let (mut sum, mut count) = (self.sums[role].value(), self.sums[role].count);
        for (maxima, weight) in self.count_weighted[role].iter().zip(weights) {
            (sum, count) = (sum + maxima.sum(weight), count + maxima.len());
        }
        (sum, count, &self.varying[role])
    }

    /// How many engines there is no recent news of.
    pub(crate) fn stale_count(&self) -> usize {
        self.stale.len()
    }

    /// Number `k` of these, from 0, which has to exist.
    pub(crate) fn nth_stale(&self, k: usize) -> EngineId {
        self.engine_ids[self.stale.nth(k)]
    }
}

#[cfg(test)]
mod test_support;
#[cfg(test)]
mod tests;
